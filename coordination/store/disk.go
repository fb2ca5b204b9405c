package store

import (
	"errors"
	"fmt"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	asideSuffix   = ".tmp"
	versionDigits = 20 // all digits of a uint64
)

// FileStore is a Store in files NAME.VERSION of a folder. Several stores with different names may share a folder.
type FileStore struct {
	files   Files
	name    string
	version uint64 // highest version ever used, whole or not

	listed bool     // older is complete
	older  []uint64 // versions on the disk, oldest first
}

// Open opens the record called name in a folder.
func Open(files Files, name string) *FileStore { return &FileStore{files: files, name: name} }

// OpenPath opens the record called name in a folder of the file system, which is made if it isn't there.
func OpenPath(path, name string) (*FileStore, error) {
	folder, err := OpenDirectory(path)
	if err != nil {
		return nil, err
	}
	return Open(folder, name), nil
}

// Load implements Store. A process that was killed may have left a version that was renamed and is not durable yet, so the
// folder is synced before any is trusted.
func (d *FileStore) Load() ([]byte, error) {
	if err := d.files.Sync(); err != nil {
		return nil, typed(err, "sync folder")
	}
	if err := d.list(); err != nil {
		return nil, err
	}
	for _, version := range slices.Backward(d.older) {
		record, err := d.files.Read(d.file(version))
		if err != nil {
			return nil, eris.Wrapf(ErrIO, "read: %v", err)
		}
		if data, whole := decodeRecord(version, record); whole {
			return data, nil
		}
	}
	return nil, eris.Wrap(ErrNotFound, d.name)
}

// Save implements Store.
func (d *FileStore) Save(data []byte) error {
	if !d.listed {
		if err := d.list(); err != nil {
			return err
		}
	}
	d.version++
	d.listed = false // until all has gone well
	aside := d.file(d.version) + asideSuffix
	if err := d.files.Write(aside, encodeHeader(d.version, data), data); err != nil {
		_ = d.files.Remove(aside)
		return typed(err, "write aside")
	}
	if err := d.files.Rename(aside, d.file(d.version)); err != nil {
		_ = d.files.Remove(aside)
		return typed(err, "rename")
	}
	if err := d.files.Sync(); err != nil {
		return typed(err, "sync folder")
	}
	d.listed = d.removeOlder()
	d.older = []uint64{d.version}
	return nil
}

// removeOlder reports whether all went. What stays is removed by the next Save.
func (d *FileStore) removeOlder() bool {
	all := true
	for _, version := range d.older {
		if err := d.files.Remove(d.file(version)); err != nil {
			all = false
		}
	}
	return all
}

// list finds the versions there are, and removes what was left aside.
func (d *FileStore) list() error {
	names, err := d.files.List()
	if err != nil {
		return eris.Wrapf(ErrIO, "list: %v", err)
	}
	d.older = nil
	for _, name := range names {
		rest, ours := strings.CutPrefix(name, d.name+".")
		if !ours {
			continue
		}
		digits, aside := strings.CutSuffix(rest, asideSuffix)
		version, err := strconv.ParseUint(digits, 10, 64)
		if err != nil {
			continue
		}
		d.version = max(d.version, version)
		if aside {
			_ = d.files.Remove(name)
			continue
		}
		d.older = append(d.older, version)
	}
	slices.Sort(d.older)
	d.listed = true
	return nil
}

func (d *FileStore) file(version uint64) string {
	return fmt.Sprintf("%s.%0*d", d.name, versionDigits, version)
}

func typed(err error, action string) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return eris.Wrapf(ErrFull, "%s: %v", action, err)
	}
	return eris.Wrapf(ErrIO, "%s: %v", action, err)
}
