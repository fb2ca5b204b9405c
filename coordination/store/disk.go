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
	temporarySuffix = ".tmp"
	versionDigits   = 20 // enough for every uint64
)

// FileStore is a Store that keeps its versions in files named NAME.VERSION in a directory. Several stores with different names
// may share a directory.
type FileStore struct {
	files   Files
	name    string
	version uint64 // highest version used so far, valid or not

	listed   bool     // versions lists all versions on the disk
	versions []uint64 // on the disk, oldest first
}

// Open opens the record with the given name in a directory.
func Open(files Files, name string) *FileStore { return &FileStore{files: files, name: name} }

// OpenPath opens the record with the given name in a directory of the file system. It creates the directory if it does not
// exist.
func OpenPath(path, name string) (*FileStore, error) {
	directory, err := OpenDirectory(path)
	if err != nil {
		return nil, err
	}
	return Open(directory, name), nil
}

// Load implements Store. It syncs the directory first, since a killed process may have left a renamed version that is not
// durable yet.
func (s *FileStore) Load() ([]byte, error) {
	if err := s.files.Sync(); err != nil {
		return nil, classify(err, "sync directory")
	}
	if err := s.list(); err != nil {
		return nil, err
	}
	for _, version := range slices.Backward(s.versions) {
		record, err := s.files.Read(s.fileName(version))
		if err != nil {
			return nil, eris.Wrapf(ErrIO, "read: %v", err)
		}
		if data, valid := decodeRecord(version, record); valid {
			return data, nil
		}
	}
	return nil, eris.Wrap(ErrNotFound, s.name)
}

// Save implements Store.
func (s *FileStore) Save(data []byte) error {
	if !s.listed {
		if err := s.list(); err != nil {
			return err
		}
	}
	s.version++
	s.listed = false // until all steps have succeeded
	temporary := s.fileName(s.version) + temporarySuffix
	if err := s.files.Write(temporary, encodeHeader(s.version, data), data); err != nil {
		_ = s.files.Remove(temporary)
		return classify(err, "write temporary file")
	}
	if err := s.files.Rename(temporary, s.fileName(s.version)); err != nil {
		_ = s.files.Remove(temporary)
		return classify(err, "rename")
	}
	if err := s.files.Sync(); err != nil {
		return classify(err, "sync directory")
	}
	s.listed = s.removeOlder()
	s.versions = []uint64{s.version}
	return nil
}

// removeOlder removes the older versions and reports whether all removals succeeded. The next Save removes the remaining ones.
func (s *FileStore) removeOlder() bool {
	allRemoved := true
	for _, version := range s.versions {
		if err := s.files.Remove(s.fileName(version)); err != nil {
			allRemoved = false
		}
	}
	return allRemoved
}

// list finds all versions on the disk and removes temporary files of interrupted saves.
func (s *FileStore) list() error {
	names, err := s.files.List()
	if err != nil {
		return eris.Wrapf(ErrIO, "list: %v", err)
	}
	s.versions = nil
	for _, name := range names {
		rest, matches := strings.CutPrefix(name, s.name+".")
		if !matches {
			continue
		}
		digits, temporary := strings.CutSuffix(rest, temporarySuffix)
		version, err := strconv.ParseUint(digits, 10, 64)
		if err != nil {
			continue
		}
		s.version = max(s.version, version)
		if temporary {
			_ = s.files.Remove(name)
			continue
		}
		s.versions = append(s.versions, version)
	}
	slices.Sort(s.versions)
	s.listed = true
	return nil
}

// fileName returns the name of the file of a version.
func (s *FileStore) fileName(version uint64) string {
	return fmt.Sprintf("%s.%0*d", s.name, versionDigits, version)
}

// classify returns an error with ErrFull or ErrIO as its root.
func classify(err error, action string) error {
	if errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) {
		return eris.Wrapf(ErrFull, "%s: %v", action, err)
	}
	return eris.Wrapf(ErrIO, "%s: %v", action, err)
}
