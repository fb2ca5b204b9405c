// Package register implements a replicated compare-and-swap register with one value. It uses CASPaxos: a proposer runs a
// prepare and an accept phase on a majority of the replicas. There is no log and no leader, and any process may propose.
//
// # Protocol rules
//
// The value carries the set of its replicas. A reconfiguration is a write like any other, in two steps. The first value has
// both sets (Previous and Replicas), and its prepares and accepts need a majority in each. The second has the new set alone.
// A reconfiguration is proposed only on top of a value that is known to be chosen: a proposer that finds a value in doubt
// completes it first. Each simple set therefore follows a chosen joint one, so that two sets without a common member can
// never both decide.
//
// A replica is identified by its disk and not by its address. Messages name the identity of their recipient, so that a
// replica that lost its disk does not answer for the promises that it lost. It is a new replica at the same address, and
// joins by a write that removes its old identity.
//
// A replica grants a prepare or an accept only after the promise or the value is on its disk. If it can't write, it refuses.
//
// # State machines and drivers
//
// Acceptor, Proposer and Reader are pure state machines: they take messages and return messages and writes, and use no clock,
// socket, disk or goroutine. Node and the simulations drive them in the same way:
//
//   - Acceptor: Begin(request) returns a Step. If its Write is nil, the driver sends its Reply at once. Otherwise the driver
//     makes the Write durable and then calls Finish(step) for the reply, or Abandon(step, refusal) if the write fails. Disk
//     stores the writes and loads the acceptor after a restart.
//   - Proposer: Start, Deliver(reply) and Retry return an Output. The driver sends its Messages. If Retry is set, it calls
//     Retry after a backoff; it also calls Retry when a round takes too long. When Done is set, Result returns the outcome.
//   - Reader: Start and Deliver work in the same way. A Reader never writes, and Done means that a majority agreed.
//   - Planner: Next returns the next step of a reconfiguration, which the driver proposes as a Change.
//
// Node drives them over HTTP with a disk.
package register
