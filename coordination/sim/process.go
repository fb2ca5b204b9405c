package sim

import (
	"time"
)

// Process is one life of a program on a machine. Nothing that it has set going happens to it after its end.
type Process struct {
	machine *Machine
	world   *World
	life    int
	ended   bool

	onMessage func(from string, message any)
	onCall    func(from string, request any, answer func(reply any))
	calls     map[uint64]*pendingCall
	callID    uint64
}

// Name returns the name of the machine.
func (p *Process) Name() string { return p.machine.name }

// Incarnation returns the number of this life on its machine, from 1.
func (p *Process) Incarnation() int { return p.life }

// Monotonic returns the reading of the steady clock. Readings of different machines can't be compared.
func (p *Process) Monotonic() time.Duration { return p.machine.steady() }

// MonotonicTime returns the reading of the steady clock for programs that keep it as a time. It is not the time of day.
func (p *Process) MonotonicTime() time.Time { return epoch.Add(p.machine.steady()) }

// WallTime returns the time of day, which may step.
func (p *Process) WallTime() time.Time { return epoch.Add(p.world.now + p.machine.skew) }

// World returns the world, for what a program draws at random.
func (p *Process) World() *World { return p.world }

// Disk returns the machine's disk.
func (p *Process) Disk() *Disk { return p.machine.disk }

// Running reports whether the process can act now.
func (p *Process) Running() bool { return !p.ended && !p.machine.frozen }

// Timer is something that a program has set for later.
type Timer struct{ stopped bool }

// Stop prevents the timer from firing, if it has not.
func (t *Timer) Stop() {
	if t != nil {
		t.stopped = true
	}
}

// After has the program do something after a time on its steady clock.
func (p *Process) After(delay time.Duration, act func()) *Timer {
	timer := &Timer{}
	p.fireAt(p.Monotonic()+delay, timer, act)
	return timer
}

// Every has the program do something now and then again each time the interval has passed.
func (p *Process) Every(interval time.Duration, act func()) {
	act()
	p.After(interval, func() { p.Every(interval, act) })
}

func (p *Process) fireAt(due time.Duration, timer *Timer, act func()) {
	delay := due - p.Monotonic() + p.world.Between(0, p.world.TimerSlack)
	p.world.After(delay, func() { p.do(func() { p.fire(due, timer, act) }) })
}

// fire puts a timer off if the steady clock was stopped meanwhile.
func (p *Process) fire(due time.Duration, timer *Timer, act func()) {
	switch {
	case timer.stopped:
	case p.Monotonic() < due:
		p.fireAt(due, timer, act)
	default:
		timer.stopped = true
		act()
	}
}

// do acts now, at the thaw, or never.
func (p *Process) do(act func()) {
	switch {
	case p.ended:
	case p.machine.frozen:
		p.machine.held = append(p.machine.held, func() { p.do(act) })
	default:
		act()
	}
}
