package sim

import (
	"bytes"
	"io/fs"
	"maps"
	"slices"
	"syscall"

	"github.com/rotisserie/eris"
)

// errEnded is what a process that has ended gets for the rest of its job. It never sees it.
var errEnded = eris.New("sim: process ended")

// Files is the folder of a disk. It keeps apart what programs see and what outlives a loss of power: a file's content, and
// that there is a new file, are durable once its Write has returned; renames and removals are durable after Sync.
type Files struct {
	world *World
	// Full makes each Write fail half-way with ENOSPC.
	Full bool
	// FailSyncs makes each Sync fail with EIO, after Write and Rename have done their work.
	FailSyncs bool
	// IgnoreSyncs makes Write and Sync return without making anything durable, as a disk that lies does.
	IgnoreSyncs bool

	names   map[string]*content
	durable map[string]*content

	limited   bool // the process has ended: only some more steps are done
	stepsLeft int
}

// content is that of a file. Its renames leave it where it is.
type content struct {
	data   []byte
	synced bool
	before []byte // the last synced data
}

// NewFiles returns an empty folder, for which the world draws what a loss of power leaves.
func NewFiles(world *World) *Files {
	return &Files{world: world, names: map[string]*content{}, durable: map[string]*content{}}
}

// List returns the names of all files in order.
func (f *Files) List() ([]string, error) { return slices.Sorted(maps.Keys(f.names)), nil }

// Read returns the content of a file.
func (f *Files) Read(name string) ([]byte, error) {
	file := f.names[name]
	if file == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: syscall.ENOENT}
	}
	return bytes.Clone(file.data), nil
}

// Write makes or replaces a file and syncs its content.
func (f *Files) Write(name string, parts ...[]byte) error {
	data := bytes.Join(parts, nil)
	if !f.step() {
		return errEnded
	}
	file := f.names[name]
	if file == nil {
		file = &content{}
		f.names[name] = file
	}
	file.synced = false
	if f.Full {
		file.data = data[:len(data)/2]
		return &fs.PathError{Op: "write", Path: name, Err: syscall.ENOSPC}
	}
	file.data = data
	if !f.step() {
		return errEnded
	}
	if f.IgnoreSyncs {
		return nil
	}
	file.synced, file.before = true, data
	if !f.isDurable(file) {
		f.durable[name] = file
	}
	return nil
}

// Rename gives a file another name.
func (f *Files) Rename(from, to string) error {
	if !f.step() {
		return errEnded
	}
	file := f.names[from]
	if file == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: syscall.ENOENT}
	}
	delete(f.names, from)
	f.names[to] = file
	return nil
}

// Remove removes a file.
func (f *Files) Remove(name string) error {
	if !f.step() {
		return errEnded
	}
	if f.names[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: syscall.ENOENT}
	}
	delete(f.names, name)
	return nil
}

// Sync makes durable which files there are.
func (f *Files) Sync() error {
	if !f.step() {
		return errEnded
	}
	if f.FailSyncs {
		return &fs.PathError{Op: "sync", Path: ".", Err: syscall.EIO}
	}
	if !f.IgnoreSyncs {
		f.durable = maps.Clone(f.names)
	}
	return nil
}

// ApplyPartially does some steps of a piece of work, as a process does that ends in the middle of it.
func (f *Files) ApplyPartially(steps int, work func(files *Files) error) error {
	f.limited, f.stepsLeft = true, steps
	defer func() { f.limited = false }()
	return work(f)
}

// step reports whether the process can do one more step.
func (f *Files) step() bool {
	if !f.limited {
		return true
	}
	f.stepsLeft--
	return f.stepsLeft >= 0
}

func (f *Files) isDurable(file *content) bool {
	for _, other := range f.durable {
		if other == file {
			return true
		}
	}
	return false
}

// Size returns the bytes of all files.
func (f *Files) Size() int {
	size := 0
	for _, file := range f.names {
		size += len(file.data)
	}
	return size
}

// Clone returns a copy of the folder as programs see it.
func (f *Files) Clone() *Files {
	cloned := NewFiles(f.world)
	for name, file := range f.names {
		cloned.names[name] = &content{data: bytes.Clone(file.data), synced: true, before: bytes.Clone(file.data)}
	}
	cloned.durable = maps.Clone(cloned.names)
	return cloned
}

// LosePower leaves of each file, on its own, the names that it had at the last Sync or those that it had at the end, and of
// unsynced content anything between what was there before and all of it.
func (f *Files) LosePower() {
	kept := map[string]*content{}
	atTheEnd := map[*content]bool{}
	for _, side := range []map[string]*content{f.durable, f.names} {
		for _, name := range slices.Sorted(maps.Keys(side)) {
			file := side[name]
			if _, drawn := atTheEnd[file]; !drawn {
				atTheEnd[file] = f.world.Chance(0.5)
				f.settle(file)
			}
		}
	}
	keep := func(side map[string]*content, end bool) {
		for name, file := range side {
			if atTheEnd[file] == end {
				kept[name] = file
			}
		}
	}
	keep(f.durable, false)
	keep(f.names, true)
	f.names = kept
	f.durable = maps.Clone(kept)
}

func (f *Files) settle(file *content) {
	if file.synced {
		return
	}
	switch f.world.IntN(3) {
	case 0:
		file.data = file.before
	case 1:
		file.data = file.data[:f.world.IntN(len(file.data)+1)]
	}
	file.synced, file.before = true, file.data
}
