// Package sim is a deterministic discrete-event simulator for testing distributed programs. It simulates machines, each with a
// monotonic clock, a wall clock and a disk, the network between them, and faults of all of these. One seed determines the
// whole run, so a failure can be reproduced.
//
// The simulator does not depend on the programs under test. A program is a set of callbacks: Machine.Start calls it with a
// Process, which is its only way to read a clock, set timers, send messages and use the disk. All callbacks run one at a time
// in the goroutine that runs the World. A program is no longer deterministic if it starts goroutines, reads another clock or
// ranges over a map where the order matters.
//
//	world := sim.New(seed)
//	machine := world.AddMachine("a")
//	machine.Start(func(process *sim.Process) {
//		process.OnCall(func(from string, request any, answer func(reply any)) { answer(request) })
//	})
//	world.After(time.Second, machine.LosePower)
//	world.Run(time.Minute)
//
// # Faults
//
//   - Network: delay, loss, duplication and reordering, set by the Link between two machines, and partitions, set by cuts in
//     one direction.
//   - Machine: Kill, LosePower, Freeze (the monotonic clock keeps running), Suspend (the monotonic clock stops), StepWallClock.
//   - Disk: slow, stalled, full, failing, wiped. After a power loss, writes that were not synced are lost, torn or kept, and
//     the operation in progress is partly done.
//
// Package simtest runs a simulation over fixed and fresh random seeds in tests.
package sim
