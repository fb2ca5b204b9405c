package sim

import "time"

// Disk is a machine's disk. Programs submit operations, which run one at a time in the order of submission.
type Disk struct {
	world      *World
	files      *Files
	operations []*operation
	busy       bool
	// MinLatency and MaxLatency bound how long an operation takes.
	MinLatency, MaxLatency time.Duration
	stalled                bool
}

// Default latency bounds of an operation on a disk without faults.
const (
	DefaultMinDiskLatency = time.Millisecond
	DefaultMaxDiskLatency = 4 * time.Millisecond
)

// maxPartialSteps bounds how many steps are done of an operation whose process ends. Operations have about that many steps.
const maxPartialSteps = 8

// operation is a sequence of file accesses that a process has submitted.
type operation struct {
	process *Process
	work    func(files *Files) error
	done    func(err error)
}

func newDisk(world *World) *Disk {
	return &Disk{world: world, files: NewFiles(world), MinLatency: DefaultMinDiskLatency, MaxLatency: DefaultMaxDiskLatency}
}

// Files returns the files for access without latency, such as at the start of a program.
func (d *Disk) Files() *Files { return d.files }

// Submit queues an operation of a process. work runs after the disk's latency, and done is called with its result. If the
// process ends before that, the operation in progress is partly done and the queued operations are dropped.
func (d *Disk) Submit(process *Process, work func(files *Files) error, done func(err error)) {
	d.operations = append(d.operations, &operation{process: process, work: work, done: done})
	d.startNext()
}

// Stall blocks the operation in progress and all queued operations until Resume.
func (d *Disk) Stall() { d.stalled = true }

// Resume ends a Stall.
func (d *Disk) Resume() {
	d.stalled = false
	d.startNext()
}

// ClearFaults ends all faults and restores the default latencies.
func (d *Disk) ClearFaults() {
	d.files.Full, d.files.FailSyncs, d.files.IgnoreSyncs = false, false, false
	d.MinLatency, d.MaxLatency = DefaultMinDiskLatency, DefaultMaxDiskLatency
	d.Resume()
}

// startNext starts the first queued operation unless one is in progress or the disk is stalled.
func (d *Disk) startNext() {
	if d.busy || d.stalled || len(d.operations) == 0 {
		return
	}
	d.busy = true
	current := d.operations[0]
	d.world.After(d.world.Between(d.MinLatency, d.MaxLatency), func() { d.finish(current) })
}

// finish runs an operation whose latency has passed.
func (d *Disk) finish(current *operation) {
	if len(d.operations) == 0 || d.operations[0] != current {
		return // aborted
	}
	d.busy = false
	if d.stalled {
		return // Resume starts the operation again
	}
	d.operations = d.operations[1:]
	err := current.work(d.files)
	current.process.run(func() { current.done(err) })
	d.startNext()
}

// abortOperations handles the end of the process: it does a random part of the operation in progress and drops the others.
func (d *Disk) abortOperations() {
	if len(d.operations) == 0 {
		return
	}
	current := d.operations[0]
	d.operations = nil
	d.busy = false
	_ = d.files.ApplyPartially(d.world.IntN(maxPartialSteps), current.work)
}
