package sim

import (
	"time"
)

// Process is one run of a program on a machine. None of its callbacks runs after it has ended.
type Process struct {
	machine     *Machine
	world       *World
	incarnation int
	ended       bool

	onMessage func(from string, message any)
	onCall    func(from string, request any, answer func(reply any))
	calls     map[uint64]*pendingCall
	callID    uint64
}

// Name returns the name of the process's machine.
func (p *Process) Name() string { return p.machine.name }

// Incarnation returns how many programs were started on the machine so far, this one included. The first is 1.
func (p *Process) Incarnation() int { return p.incarnation }

// Monotonic returns the reading of the monotonic clock. Readings of different machines cannot be compared.
func (p *Process) Monotonic() time.Duration { return p.machine.monotonic() }

// MonotonicTime returns the reading of the monotonic clock as a time.Time, for programs that need this type. It is unrelated to
// the wall clock.
func (p *Process) MonotonicTime() time.Time { return epoch.Add(p.machine.monotonic()) }

// WallTime returns the reading of the wall clock, which StepWallClock may move forward or backward.
func (p *Process) WallTime() time.Time { return epoch.Add(p.world.now + p.machine.wallClockOffset) }

// World returns the world, whose random numbers a program may use.
func (p *Process) World() *World { return p.world }

// Disk returns the disk of the process's machine.
func (p *Process) Disk() *Disk { return p.machine.disk }

// Running reports whether the process has not ended and its machine is not frozen.
func (p *Process) Running() bool { return !p.ended && !p.machine.frozen }

// Timer is a callback that a program has scheduled.
type Timer struct{ stopped bool }

// Stop prevents the timer from firing if it has not fired yet. A nil timer is allowed.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped = true
	}
}

// After schedules callback to run once delay has passed on the monotonic clock. The timer may fire up to World.TimerSlack late.
func (p *Process) After(delay time.Duration, callback func()) *Timer {
	timer := &Timer{}
	p.scheduleTimer(p.Monotonic()+delay, timer, callback)
	return timer
}

// Every calls callback now, and again each time interval has passed since the last call.
func (p *Process) Every(interval time.Duration, callback func()) {
	callback()
	p.After(interval, func() { p.Every(interval, callback) })
}

// scheduleTimer schedules an event for the time at which the monotonic clock reaches due, plus the timer slack.
func (p *Process) scheduleTimer(due time.Duration, timer *Timer, callback func()) {
	delay := due - p.Monotonic() + p.world.Between(0, p.world.TimerSlack)
	p.world.After(delay, func() { p.run(func() { p.fire(due, timer, callback) }) })
}

// fire runs the callback of a due timer. It reschedules the timer if the monotonic clock was stopped in the meantime and has
// not reached due yet.
func (p *Process) fire(due time.Duration, timer *Timer, callback func()) {
	switch {
	case timer.stopped:
	case p.Monotonic() < due:
		p.scheduleTimer(due, timer, callback)
	default:
		timer.stopped = true
		callback()
	}
}

// run calls callback now. While the machine is frozen it defers the call until Thaw; after the end of the process it drops it.
func (p *Process) run(callback func()) {
	switch {
	case p.ended:
	case p.machine.frozen:
		p.machine.deferred = append(p.machine.deferred, func() { p.run(callback) })
	default:
		callback()
	}
}
