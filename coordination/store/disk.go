package store

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"syscall"

	"github.com/rotisserie/eris"
)

const (
	asideSuffix   = ".tmp"
	versionDigits = 20 // all digits of a uint64
	filePerm      = 0o600
	folderPerm    = 0o700
)

// Disk is a Store in files NAME.VERSION of a folder. Several stores with different names may share a folder.
type Disk struct {
	folder  string
	name    string
	version uint64 // highest version ever used, whole or not

	listed bool     // older is complete
	older  []uint64 // versions on the disk, oldest first
}

// OpenDisk opens the record called name in folder, which is made if it isn't there.
func OpenDisk(folder, name string) (*Disk, error) {
	if _, err := os.Stat(folder); err != nil {
		if err := makeFolder(folder); err != nil {
			return nil, typed(err, "make folder")
		}
	}
	return &Disk{folder: folder, name: name}, nil
}

// Load implements Store.
func (d *Disk) Load() ([]byte, error) {
	if err := d.list(); err != nil {
		return nil, err
	}
	for _, version := range slices.Backward(d.older) {
		record, err := os.ReadFile(d.path(version))
		if err != nil {
			return nil, eris.Wrapf(ErrFailed, "read: %v", err)
		}
		if data, whole := decodeRecord(version, record); whole {
			return data, nil
		}
	}
	return nil, eris.Wrap(ErrNone, d.name)
}

// Save implements Store.
func (d *Disk) Save(data []byte) error {
	if !d.listed {
		if err := d.list(); err != nil {
			return err
		}
	}
	d.version++
	d.listed = false // until all has gone well
	aside := d.path(d.version) + asideSuffix
	if err := writeSynced(aside, encodeHeader(d.version, data), data); err != nil {
		_ = os.Remove(aside)
		return typed(err, "write aside")
	}
	if err := os.Rename(aside, d.path(d.version)); err != nil {
		_ = os.Remove(aside)
		return typed(err, "rename")
	}
	if err := syncFolder(d.folder); err != nil {
		return typed(err, "sync folder")
	}
	d.listed = d.removeOlder()
	d.older = []uint64{d.version}
	return nil
}

// removeOlder reports whether all went. What stays is removed by the next Save.
func (d *Disk) removeOlder() bool {
	all := true
	for _, version := range d.older {
		if err := os.Remove(d.path(version)); err != nil {
			all = false
		}
	}
	return all
}

// list finds the versions there are, and removes what was left aside.
func (d *Disk) list() error {
	entries, err := os.ReadDir(d.folder)
	if err != nil {
		return eris.Wrapf(ErrFailed, "list: %v", err)
	}
	d.older = nil
	for _, entry := range entries {
		rest, ours := strings.CutPrefix(entry.Name(), d.name+".")
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
			_ = os.Remove(filepath.Join(d.folder, entry.Name()))
			continue
		}
		d.older = append(d.older, version)
	}
	slices.Sort(d.older)
	d.listed = true
	return nil
}

func (d *Disk) path(version uint64) string {
	return filepath.Join(d.folder, fmt.Sprintf("%s.%0*d", d.name, versionDigits, version))
}

func writeSynced(path string, parts ...[]byte) (err error) {
	file, err := os.OpenFile(path, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return err
	}
	defer func() {
		if closed := file.Close(); err == nil {
			err = closed
		}
	}()
	for _, part := range parts {
		if _, err := file.Write(part); err != nil {
			return err
		}
	}
	return file.Sync()
}

func makeFolder(path string) error {
	if err := os.MkdirAll(path, folderPerm); err != nil {
		return err
	}
	return syncFolder(filepath.Dir(path))
}

func syncFolder(path string) error {
	folder, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = folder.Close() }()
	return folder.Sync()
}

func typed(err error, action string) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return eris.Wrapf(ErrFull, "%s: %v", action, err)
	}
	return eris.Wrapf(ErrFailed, "%s: %v", action, err)
}
