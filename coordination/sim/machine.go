package sim

import "time"

// maxMonotonicOffset bounds the random start value of a machine's monotonic clock. The start values differ so that programs
// cannot compare readings of different machines.
const maxMonotonicOffset = time.Hour

// epoch is the reading of all wall clocks at the start of a simulation.
var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// Machine has a name, clocks and a disk. At most one program runs on it at a time.
type Machine struct {
	world           *World
	name            string
	disk            *Disk
	process         *Process // nil if no program runs
	incarnations    int
	frozen          bool
	suspendedAt     time.Duration
	suspended       bool
	monotonicOffset time.Duration
	wallClockOffset time.Duration
	deferred        []func() // callbacks that became due while the process was frozen
}

// Name returns the machine's name, which is also its network address.
func (m *Machine) Name() string { return m.name }

// Disk returns the machine's disk.
func (m *Machine) Disk() *Disk { return m.disk }

// Process returns the process of the running program, or nil if none runs.
func (m *Machine) Process() *Process { return m.process }

// Up reports whether a program is running or frozen.
func (m *Machine) Up() bool { return m.process != nil }

// Frozen reports whether the program is stopped by Freeze or Suspend.
func (m *Machine) Frozen() bool { return m.frozen }

// Start starts a program. It does nothing if one is running or frozen.
func (m *Machine) Start(program func(process *Process)) {
	if m.process != nil {
		return
	}
	m.incarnations++
	m.process = &Process{machine: m, world: m.world, incarnation: m.incarnations, calls: map[uint64]*pendingCall{}}
	program(m.process)
}

// Kill ends the program. Its writes are kept, synced or not, and its disk operation in progress is partly done.
func (m *Machine) Kill() {
	if m.process == nil {
		return
	}
	m.process.ended = true
	m.process = nil
	m.deferred = nil
	m.resumeClock()
	m.frozen = false
	m.disk.abortOperations()
}

// LosePower ends the program. Data that was not synced may be lost or torn.
func (m *Machine) LosePower() {
	m.Kill()
	m.disk.files.LosePower()
}

// Wipe ends the program and replaces the disk by an empty one without faults.
func (m *Machine) Wipe() {
	m.Kill()
	m.disk = newDisk(m.world)
}

// Freeze stops the program, but not its clocks. Messages that arrive and timers that become due are handled after Thaw.
func (m *Machine) Freeze() {
	if m.process != nil {
		m.frozen = true
	}
}

// Suspend is like Freeze, and also stops the monotonic clock.
func (m *Machine) Suspend() {
	m.Freeze()
	if m.frozen && !m.suspended {
		m.suspended, m.suspendedAt = true, m.world.now
	}
}

// Thaw ends a Freeze or Suspend and runs the deferred callbacks.
func (m *Machine) Thaw() {
	if !m.frozen {
		return
	}
	m.resumeClock()
	m.frozen = false
	deferred := m.deferred
	m.deferred = nil
	for _, callback := range deferred {
		m.world.After(0, callback)
	}
}

// resumeClock lets a suspended monotonic clock continue from the reading at which it stopped.
func (m *Machine) resumeClock() {
	if m.suspended {
		m.monotonicOffset -= m.world.now - m.suspendedAt
		m.suspended = false
	}
}

// StepWallClock moves the wall clock by a positive or negative duration. The monotonic clock is not affected.
func (m *Machine) StepWallClock(by time.Duration) { m.wallClockOffset += by }

// monotonic returns the reading of the monotonic clock.
func (m *Machine) monotonic() time.Duration {
	if m.suspended {
		return m.suspendedAt + m.monotonicOffset
	}
	return m.world.now + m.monotonicOffset
}
