// Package live simulates machines for programs that use goroutines, net/http and the time functions of the standard library and
// run unmodified. A program gets a Process in place of its sockets and its disk. The whole simulation runs in one bubble of
// testing/synctest, where time is virtual: minutes pass in a second.
//
// Package sim runs callbacks in an order that the seed determines. In this package the seed determines only the delays and
// faults. The Go scheduler orders goroutines that are ready at the same moment, and programs may use other random numbers. Runs
// with the same seed may therefore differ, so tests should log the events of a failed run.
//
// A cut delays bytes, as TCP does with retransmissions: they arrive after Heal, unless their sender has reset the connection or
// lost power. Killing a process resets its connections. A machine that has lost power sends nothing until a program is started
// on it again.
package live
