package sim

import "time"

// Disk is a machine's disk. Programs use it by Do, one job at a time in the order in which they were given.
type Disk struct {
	world *World
	files *Files
	jobs  []*job
	busy  bool
	// MinLatency and MaxLatency bound how long a job takes.
	MinLatency, MaxLatency time.Duration
	stalled                bool
}

// Times that a job on a good disk takes.
const (
	DefaultMinDiskLatency = time.Millisecond
	DefaultMaxDiskLatency = 4 * time.Millisecond
)

// maxPartialSteps bounds the steps that are done of a job whose process ends: a job has about as many.
const maxPartialSteps = 8

// job is a piece of work of a process.
type job struct {
	process *Process
	work    func(files *Files) error
	done    func(err error)
}

func newDisk(world *World) *Disk {
	return &Disk{world: world, files: NewFiles(world), MinLatency: DefaultMinDiskLatency, MaxLatency: DefaultMaxDiskLatency}
}

// Files returns the files for use at once, as at the start of a program.
func (d *Disk) Files() *Files { return d.files }

// Submit has a process work on the files. The work is done a while later, and its result is given to done. If the process ends
// before, the job under way is done in part, and those that wait are not begun.
func (d *Disk) Submit(process *Process, work func(files *Files) error, done func(err error)) {
	d.jobs = append(d.jobs, &job{process: process, work: work, done: done})
	d.next()
}

// Stall makes the job under way and those that wait take until Resume.
func (d *Disk) Stall() { d.stalled = true }

// Resume ends a Stall.
func (d *Disk) Resume() {
	d.stalled = false
	d.next()
}

// ClearFaults ends all troubles.
func (d *Disk) ClearFaults() {
	d.files.Full, d.files.FailSyncs, d.files.IgnoreSyncs = false, false, false
	d.MinLatency, d.MaxLatency = DefaultMinDiskLatency, DefaultMaxDiskLatency
	d.Resume()
}

func (d *Disk) next() {
	if d.busy || d.stalled || len(d.jobs) == 0 {
		return
	}
	d.busy = true
	current := d.jobs[0]
	d.world.After(d.world.Between(d.MinLatency, d.MaxLatency), func() { d.finish(current) })
}

func (d *Disk) finish(current *job) {
	if len(d.jobs) == 0 || d.jobs[0] != current {
		return // abandoned
	}
	d.busy = false
	if d.stalled {
		return // Resume begins it again
	}
	d.jobs = d.jobs[1:]
	err := current.work(d.files)
	current.process.do(func() { current.done(err) })
	d.next()
}

// abandonJobs does a part of the job under way, as its process has ended, and forgets the others.
func (d *Disk) abandonJobs() {
	if len(d.jobs) == 0 {
		return
	}
	current := d.jobs[0]
	d.jobs = nil
	d.busy = false
	_ = d.files.ApplyPartially(d.world.IntN(maxPartialSteps), current.work)
}
