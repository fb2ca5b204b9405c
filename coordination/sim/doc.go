// Package sim is a deterministic world for testing distributed programs: machines with a steady clock, a time of day, a disk
// and a network between them, and faults for each. One seed decides everything, so a failure can be played again.
//
// It knows nothing of what it simulates. A program is a set of callbacks: it is started on a Machine with a Process, through
// which alone it may take the time, set timers, send messages and use the disk. All callbacks run one at a time in the
// goroutine that runs the World; a program that starts goroutines, reads another clock or ranges over maps where the order
// matters is not deterministic any more.
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
//   - Network: delay, loss, duplication and reordering by the Link between two machines, and cuts in one direction.
//   - Machine: Kill, LosePower, Freeze (the steady clock runs on), Suspend (it stands still), StepTime.
//   - Disk: slow, stalled, full, failing, wiped. What was written and not synced is lost, torn or kept at a loss of power, and
//     a write under way is done in part.
//
// Package simtest runs a simulation over fixed and fresh seeds in tests.
package sim
