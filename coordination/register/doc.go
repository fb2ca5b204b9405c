// Package register is a replicated compare-and-swap register of one value: CASPaxos, that is prepare and accept on a
// majority of the replicas, with no log and no leader. Any process may propose.
//
// # Rules
//
// The value carries the set of its replicas. A change of the set is a write like any other, in two steps: first a value
// with both sets (Previous and Replicas), for which prepares and accepts need a majority in both, then one with the new
// set alone. A change is made only on top of a value that is known to be chosen: a proposer that finds one in doubt
// completes it first. So each simple set follows a chosen joint one, and two sets that don't overlap can never both decide.
//
// A replica is known by the identity of its disk, not by its address. Messages name the identity they are meant for, so a
// replica that lost its disk does not answer for the promises it has forgotten: it is a newcomer at the same address, and
// joins by a write in which its old identity goes.
//
// A replica answers a prepare or an accept only when the promise or value is on its disk. One that can't write refuses.
//
// # Deciders and drivers
//
// Acceptor, Proposer and Reader are pure: messages in, messages and writes out, with no clock, socket, disk or goroutine.
// A simulation drives them as Node does:
//
//   - Acceptor: Begin(request) returns a Step. If its Write is nil, its Reply is sent at once. Otherwise the Write is made
//     durable first, then Finish(step) returns the reply; if it can't be written, Abandon(step, refusal) does. Disk keeps
//     the writes and loads the acceptor after a restart.
//   - Proposer: Start, Deliver(reply) and Retry return an Output. Its Messages are sent; if Retry is set, the driver calls
//     Retry after a back-off; it also calls Retry when a round takes too long; when Done is set, Result tells the end.
//   - Reader: Start and Deliver, the same way; it never writes, and Done says that a majority agreed.
//   - Planner: Next returns the next step of the set, which is proposed as a Change.
//
// Node drives them over HTTP with a disk.
package register
