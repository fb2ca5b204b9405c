package live

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"weldscale/coordination/sim"
)

// Spans of a disk's work.
const (
	shortestStep = 100 * time.Microsecond
	longestStep  = time.Millisecond
	// mostParts is above the number of parts that a step has.
	mostParts = 3
)

// errEnded is what a process that has ended gets from its disk. It can tell nobody.
var errEnded = eris.New("live: process ended")

// Disk is a machine's disk.
type Disk struct {
	mutex   sync.Mutex
	random  *rand.Rand
	files   *sim.Files
	stepped func() // is told of each change
	current *Files // of the process that runs
	slow    time.Duration
	// underWay is the step that the present process waits for: its end may leave it done in part.
	underWay func(files *sim.Files) error
	resumed  chan struct{} // nil while the disk answers; else closed when it does again
}

func newDisk(seed uint64, stepped func()) *Disk {
	return &Disk{stepped: stepped, random: rand.New(rand.NewPCG(seed, 2)), files: sim.NewFiles(sim.New(seed))}
}

// SetFull makes each write fail for want of room, until it is called with false.
func (d *Disk) SetFull(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.files.Full = full
}

// SetFailSyncs makes each sync fail, until it is called with false.
func (d *Disk) SetFailSyncs(failing bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.files.FailSyncs = failing
}

// SetExtraLatency adds a time to each step; 0 ends it.
func (d *Disk) SetExtraLatency(by time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.slow = by
}

// Stall makes each step wait until Resume.
func (d *Disk) Stall() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.resumed == nil {
		d.resumed = make(chan struct{})
	}
}

// Resume ends a Stall.
func (d *Disk) Resume() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.resumed != nil {
		close(d.resumed)
		d.resumed = nil
	}
}

// Size returns the bytes of all files.
func (d *Disk) Size() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.files.Size()
}

// Snapshot returns a copy of the files as a program that starts now would find them.
func (d *Disk) Snapshot() *sim.Files {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.files.Clone()
}

func (d *Disk) begin() *Files {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.current = &Files{disk: d, ended: make(chan struct{})}
	return d.current
}

// end lets no more step of the present process be done.
func (d *Disk) end() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.current == nil {
		return
	}
	if d.underWay != nil && d.random.IntN(2) == 0 {
		_ = d.files.ApplyPartially(d.random.IntN(mostParts), d.underWay)
	}
	d.underWay = nil
	close(d.current.ended)
	d.current = nil
}

func (d *Disk) losePower() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.files.LosePower()
}

func (d *Disk) wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	full, failing := d.files.Full, d.files.FailSyncs
	d.files = sim.NewFiles(sim.New(d.random.Uint64()))
	d.files.Full, d.files.FailSyncs = full, failing
}

func (d *Disk) intend(process *Files, work func(files *sim.Files) error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.current == process {
		d.underWay = work
	}
}

func (d *Disk) span() (time.Duration, <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.slow + shortestStep + time.Duration(d.random.Int64N(int64(longestStep-shortestStep))), d.resumed
}

// Files are the files of a disk as one process sees them. It implements store.Files.
type Files struct {
	disk  *Disk
	ended chan struct{}
}

// step does one step after its time, unless the process has ended.
func (f *Files) step(work func(files *sim.Files) error) error {
	span, stalled := f.disk.span()
	f.disk.intend(f, work)
	time.Sleep(span)
	for stalled != nil {
		select {
		case <-stalled:
		case <-f.ended:
			return errEnded
		}
		_, stalled = f.disk.span()
	}
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.disk.current != f {
		return errEnded
	}
	f.disk.underWay = nil
	return work(f.disk.files)
}

// change is a step that changes the disk.
func (f *Files) change(work func(files *sim.Files) error) error {
	defer f.disk.stepped()
	return f.step(work)
}

// List implements store.Files.
func (f *Files) List() (names []string, err error) {
	err = f.step(func(files *sim.Files) (err error) {
		names, err = files.List()
		return err
	})
	return names, err
}

// Read implements store.Files.
func (f *Files) Read(name string) (data []byte, err error) {
	err = f.step(func(files *sim.Files) (err error) {
		data, err = files.Read(name)
		return err
	})
	return data, err
}

// Write implements store.Files.
func (f *Files) Write(name string, parts ...[]byte) error {
	return f.change(func(files *sim.Files) error { return files.Write(name, parts...) })
}

// Rename implements store.Files.
func (f *Files) Rename(from, to string) error {
	return f.change(func(files *sim.Files) error { return files.Rename(from, to) })
}

// Remove implements store.Files.
func (f *Files) Remove(name string) error {
	return f.change(func(files *sim.Files) error { return files.Remove(name) })
}

// Sync implements store.Files.
func (f *Files) Sync() error {
	return f.change(func(files *sim.Files) error { return files.Sync() })
}
