package sim

import (
	"bytes"
	"io/fs"
	"maps"
	"slices"
	"syscall"

	"github.com/rotisserie/eris"
)

// errEnded aborts the rest of an operation whose process has ended. No program receives it.
var errEnded = eris.New("sim: process ended")

// Files is the only directory of a disk. It tracks the state that programs see and the state that survives a power loss. The
// content of a file and the directory entry of a new file are durable once Write has returned; renames and removals are
// durable once Sync has returned.
type Files struct {
	world *World
	// Full makes each Write fail with ENOSPC after half of the data.
	Full bool
	// FailSyncs makes each Sync fail with EIO. Write and Rename are not affected.
	FailSyncs bool
	// IgnoreSyncs makes Write and Sync succeed without making anything durable, like a disk that acknowledges a flush and does
	// not perform it.
	IgnoreSyncs bool

	entries map[string]*inode // as programs see them
	durable map[string]*inode // as of the last Sync, plus new files

	limited   bool // the process has ended, and only stepsLeft more steps are done
	stepsLeft int
}

// inode is the content of a file, independent of its name.
type inode struct {
	data       []byte
	synced     bool
	syncedData []byte // data as of the last sync
}

// NewFiles returns an empty directory. The random numbers of world determine what a power loss leaves of it.
func NewFiles(world *World) *Files {
	return &Files{world: world, entries: map[string]*inode{}, durable: map[string]*inode{}}
}

// List returns the names of all files in ascending order.
func (f *Files) List() ([]string, error) { return slices.Sorted(maps.Keys(f.entries)), nil }

// Read returns the content of a file.
func (f *Files) Read(name string) ([]byte, error) {
	file := f.entries[name]
	if file == nil {
		return nil, &fs.PathError{Op: "open", Path: name, Err: syscall.ENOENT}
	}
	return bytes.Clone(file.data), nil
}

// Write creates or replaces a file and syncs its content.
func (f *Files) Write(name string, parts ...[]byte) error {
	data := bytes.Join(parts, nil)
	if !f.step() {
		return errEnded
	}
	file := f.entries[name]
	if file == nil {
		file = &inode{}
		f.entries[name] = file
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
	file.synced, file.syncedData = true, data
	if !f.isDurable(file) {
		f.durable[name] = file
	}
	return nil
}

// Rename renames a file. It replaces a file that already has the new name.
func (f *Files) Rename(from, to string) error {
	if !f.step() {
		return errEnded
	}
	file := f.entries[from]
	if file == nil {
		return &fs.PathError{Op: "rename", Path: from, Err: syscall.ENOENT}
	}
	delete(f.entries, from)
	f.entries[to] = file
	return nil
}

// Remove removes a file.
func (f *Files) Remove(name string) error {
	if !f.step() {
		return errEnded
	}
	if f.entries[name] == nil {
		return &fs.PathError{Op: "remove", Path: name, Err: syscall.ENOENT}
	}
	delete(f.entries, name)
	return nil
}

// Sync makes all renames and removals durable.
func (f *Files) Sync() error {
	if !f.step() {
		return errEnded
	}
	if f.FailSyncs {
		return &fs.PathError{Op: "sync", Path: ".", Err: syscall.EIO}
	}
	if !f.IgnoreSyncs {
		f.durable = maps.Clone(f.entries)
	}
	return nil
}

// ApplyPartially runs work but does only its first steps, as happens if its process ends in the middle.
func (f *Files) ApplyPartially(steps int, work func(files *Files) error) error {
	f.limited, f.stepsLeft = true, steps
	defer func() { f.limited = false }()
	return work(f)
}

// step consumes one of the remaining steps and reports whether there was one.
func (f *Files) step() bool {
	if !f.limited {
		return true
	}
	f.stepsLeft--
	return f.stepsLeft >= 0
}

// isDurable reports whether a file has a directory entry, under any name, that survives a power loss.
func (f *Files) isDurable(file *inode) bool {
	for _, other := range f.durable {
		if other == file {
			return true
		}
	}
	return false
}

// Size returns the total size of all files in bytes.
func (f *Files) Size() int {
	size := 0
	for _, file := range f.entries {
		size += len(file.data)
	}
	return size
}

// Clone returns a copy of the directory as programs see it. All of its files are durable.
func (f *Files) Clone() *Files {
	cloned := NewFiles(f.world)
	for name, file := range f.entries {
		cloned.entries[name] = &inode{data: bytes.Clone(file.data), synced: true, syncedData: bytes.Clone(file.data)}
	}
	cloned.durable = maps.Clone(cloned.entries)
	return cloned
}

// LosePower simulates a power loss. For each file independently, it keeps at random either the durable directory entries or the
// current ones. Content that was not synced is replaced by the last synced content, truncated, or kept.
func (f *Files) LosePower() {
	kept := map[string]*inode{}
	keepsCurrent := map[*inode]bool{}
	for _, entries := range []map[string]*inode{f.durable, f.entries} {
		for _, name := range slices.Sorted(maps.Keys(entries)) {
			file := entries[name]
			if _, drawn := keepsCurrent[file]; !drawn {
				keepsCurrent[file] = f.world.Chance(0.5)
				f.resolveUnsynced(file)
			}
		}
	}
	keep := func(entries map[string]*inode, current bool) {
		for name, file := range entries {
			if keepsCurrent[file] == current {
				kept[name] = file
			}
		}
	}
	keep(f.durable, false)
	keep(f.entries, true)
	f.entries = kept
	f.durable = maps.Clone(kept)
}

// resolveUnsynced decides what a power loss leaves of the unsynced content of a file.
func (f *Files) resolveUnsynced(file *inode) {
	if file.synced {
		return
	}
	switch f.world.IntN(3) {
	case 0:
		file.data = file.syncedData
	case 1:
		file.data = file.data[:f.world.IntN(len(file.data)+1)]
	}
	file.synced, file.syncedData = true, file.data
}
