package live

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"weldscale/coordination/sim"
)

// Bounds of a disk step.
const (
	minLatency = 100 * time.Microsecond
	maxLatency = time.Millisecond
	// maxPartialSteps is above the number of steps that sim.Files counts in one step of this package.
	maxPartialSteps = 3
)

// errEnded is the error of all disk accesses of a process that has ended.
var errEnded = eris.New("live: process ended")

// Disk is a machine's disk. Its methods may be called by several goroutines.
type Disk struct {
	mutex        sync.Mutex
	random       *rand.Rand
	files        *sim.Files
	onChange     func() // called after each write access
	current      *Files // of the running process
	extraLatency time.Duration
	// inProgress is the latest step that the running process waits for. If the process ends, the step may be partly done.
	inProgress func(files *sim.Files) error
	resumed    chan struct{} // closed by Resume; nil if the disk is not stalled
}

func newDisk(seed uint64, onChange func()) *Disk {
	return &Disk{onChange: onChange, random: rand.New(rand.NewPCG(seed, 2)), files: sim.NewFiles(sim.New(seed))}
}

// SetFull makes each write fail with ENOSPC until SetFull(false) is called.
func (d *Disk) SetFull(full bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.files.Full = full
}

// SetFailSyncs makes each sync of the directory fail with EIO until SetFailSyncs(false) is called.
func (d *Disk) SetFailSyncs(fail bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.files.FailSyncs = fail
}

// SetExtraLatency sets an additional latency of each step. 0 removes it.
func (d *Disk) SetExtraLatency(by time.Duration) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.extraLatency = by
}

// Stall blocks all steps until Resume.
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

// Size returns the total size of all files in bytes.
func (d *Disk) Size() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.files.Size()
}

// Snapshot returns a copy of the files as a program that starts now would see them.
func (d *Disk) Snapshot() *sim.Files {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.files.Clone()
}

// attach returns the files for a new process.
func (d *Disk) attach() *Files {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.current = &Files{disk: d, ended: make(chan struct{})}
	return d.current
}

// detach ends the access of the running process. The step in progress may be partly done, and no further step is done.
func (d *Disk) detach() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.current == nil {
		return
	}
	if d.inProgress != nil && d.random.IntN(2) == 0 {
		_ = d.files.ApplyPartially(d.random.IntN(maxPartialSteps), d.inProgress)
	}
	d.inProgress = nil
	close(d.current.ended)
	d.current = nil
}

// losePower lets unsynced data be lost or torn.
func (d *Disk) losePower() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.files.LosePower()
}

// wipe replaces the files by an empty directory. The faults SetFull and SetFailSyncs stay in effect.
func (d *Disk) wipe() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	full, failing := d.files.Full, d.files.FailSyncs
	d.files = sim.NewFiles(sim.New(d.random.Uint64()))
	d.files.Full, d.files.FailSyncs = full, failing
}

// setInProgress records the step that a process waits for, unless the process has ended.
func (d *Disk) setInProgress(process *Files, work func(files *sim.Files) error) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if d.current == process {
		d.inProgress = work
	}
}

// latency returns the random latency of a step, and the channel that Resume closes, which is nil if the disk is not stalled.
func (d *Disk) latency() (time.Duration, <-chan struct{}) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	return d.extraLatency + minLatency + time.Duration(d.random.Int64N(int64(maxLatency-minLatency))), d.resumed
}

// Files gives one process access to the files of a disk. It implements store.Files.
type Files struct {
	disk  *Disk
	ended chan struct{}
}

// step does one disk access after its latency, unless the process has ended by then.
func (f *Files) step(work func(files *sim.Files) error) error {
	latency, resumed := f.disk.latency()
	f.disk.setInProgress(f, work)
	time.Sleep(latency)
	for resumed != nil {
		select {
		case <-resumed:
		case <-f.ended:
			return errEnded
		}
		_, resumed = f.disk.latency()
	}
	f.disk.mutex.Lock()
	defer f.disk.mutex.Unlock()
	if f.disk.current != f {
		return errEnded
	}
	f.disk.inProgress = nil
	return work(f.disk.files)
}

// change does a write access and counts it for Network.AfterSteps.
func (f *Files) change(work func(files *sim.Files) error) error {
	defer f.disk.onChange()
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
