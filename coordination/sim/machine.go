package sim

import "time"

// maxSteadyOffset bounds the difference of the steady clocks of machines: their readings mean nothing to each other.
const maxSteadyOffset = time.Hour

// epoch is the time of day at which worlds begin.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Machine is a place with a name, clocks and a disk, on which one program runs at a time.
type Machine struct {
	world        *World
	name         string
	disk         *Disk
	process      *Process // nil while no program runs
	lives        int
	frozen       bool
	suspendedAt  time.Duration
	suspended    bool
	steadyOffset time.Duration
	skew         time.Duration
	held         []func() // what came while the process was frozen
}

// Name returns the name, which is the machine's address on the network.
func (m *Machine) Name() string { return m.name }

// Disk returns the disk.
func (m *Machine) Disk() *Disk { return m.disk }

// Process returns the running program's process, nil if none runs.
func (m *Machine) Process() *Process { return m.process }

// Up reports whether a program runs, frozen or not.
func (m *Machine) Up() bool { return m.process != nil }

// Frozen reports whether the program stands still.
func (m *Machine) Frozen() bool { return m.frozen }

// Start starts a program. It does nothing if one runs.
func (m *Machine) Start(program func(process *Process)) {
	if m.process != nil {
		return
	}
	m.lives++
	m.process = &Process{machine: m, world: m.world, life: m.lives, calls: map[uint64]*pendingCall{}}
	program(m.process)
}

// Kill ends the program. What it has written stays, synced or not.
func (m *Machine) Kill() {
	if m.process == nil {
		return
	}
	m.process.ended = true
	m.process = nil
	m.held = nil
	m.resumeClock()
	m.frozen = false
	m.disk.abandonJobs()
}

// LosePower ends the program, and what was not synced may be lost or torn.
func (m *Machine) LosePower() {
	m.Kill()
	m.disk.files.LosePower()
}

// Wipe ends the program and replaces the disk by an empty one, without its former troubles.
func (m *Machine) Wipe() {
	m.Kill()
	m.disk = newDisk(m.world)
}

// Freeze makes the program stand still while its clocks run on. Messages wait for it, and its timers fire when it thaws.
func (m *Machine) Freeze() {
	if m.process != nil {
		m.frozen = true
	}
}

// Suspend freezes the program and stops its steady clock.
func (m *Machine) Suspend() {
	m.Freeze()
	if m.frozen && !m.suspended {
		m.suspended, m.suspendedAt = true, m.world.now
	}
}

// Thaw ends a Freeze or Suspend.
func (m *Machine) Thaw() {
	if !m.frozen {
		return
	}
	m.resumeClock()
	m.frozen = false
	held := m.held
	m.held = nil
	for _, act := range held {
		m.world.After(0, act)
	}
}

func (m *Machine) resumeClock() {
	if m.suspended {
		m.steadyOffset -= m.world.now - m.suspendedAt
		m.suspended = false
	}
}

// StepWallClock steps the time of day. The steady clock doesn't notice.
func (m *Machine) StepWallClock(by time.Duration) { m.skew += by }

func (m *Machine) steady() time.Duration {
	if m.suspended {
		return m.suspendedAt + m.steadyOffset
	}
	return m.world.now + m.steadyOffset
}
