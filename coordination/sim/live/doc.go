// Package live simulates machines for programs that run as they are: with goroutines, net/http and the time functions of the
// standard library. A program is handed a Process in place of its sockets and its disk, and all of it runs in one bubble of
// testing/synctest, where time is virtual: minutes pass in a second.
//
// Package sim plays pure deciders in an order that a seed fixes. Here the seed fixes what befalls the machines, and when; the
// order of goroutines that are ready at the same moment is the scheduler's, and what programs draw by themselves is theirs.
// So a failure comes with a log of what happened, and its seed need not tell the same story again.
//
// A cut holds bytes up as TCP does: they come once it heals, unless their sender has reset the connection or lost power. A
// process that is killed resets its connections; a machine without power says nothing until a program runs there again.
package live
