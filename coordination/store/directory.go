package store

import (
	"os"
	"path/filepath"

	"github.com/samber/lo"
)

// Files is a directory that holds records. Directory implements it for the file system, and package sim for simulations.
type Files interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Write creates or replaces a file. If it returns nil, the content is durable. The directory entry is durable after Sync.
	Write(name string, parts ...[]byte) error
	// Rename atomically renames a file.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes all directory entries durable: creations, renames and removals.
	Sync() error
}

const (
	filePerm      = 0o600
	directoryPerm = 0o700
)

// Directory implements Files for a directory of the file system.
type Directory struct{ path string }

// OpenDirectory opens a directory and creates it if it does not exist.
func OpenDirectory(path string) (Directory, error) {
	if _, err := os.Stat(path); err != nil {
		if err := createDirectory(path); err != nil {
			return Directory{}, classify(err, "create directory")
		}
	}
	return Directory{path: path}, nil
}

// List implements Files.
func (d Directory) List() ([]string, error) {
	entries, err := os.ReadDir(d.path)
	return lo.Map(entries, func(entry os.DirEntry, _ int) string { return entry.Name() }), err
}

// Read implements Files.
func (d Directory) Read(name string) ([]byte, error) { return os.ReadFile(d.filePath(name)) }

// Write implements Files.
func (d Directory) Write(name string, parts ...[]byte) (err error) {
	file, err := os.OpenFile(d.filePath(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
	if err != nil {
		return err
	}
	defer func() {
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
	}()
	for _, part := range parts {
		if _, err := file.Write(part); err != nil {
			return err
		}
	}
	return file.Sync()
}

// Rename implements Files.
func (d Directory) Rename(from, to string) error { return os.Rename(d.filePath(from), d.filePath(to)) }

// Remove implements Files.
func (d Directory) Remove(name string) error { return os.Remove(d.filePath(name)) }

// Sync implements Files.
func (d Directory) Sync() error { return syncDirectory(d.path) }

// filePath returns the path of a file.
func (d Directory) filePath(name string) string { return filepath.Join(d.path, name) }

// createDirectory creates a directory, with its missing parents, and syncs its direct parent.
func createDirectory(path string) error {
	if err := os.MkdirAll(path, directoryPerm); err != nil {
		return err
	}
	return syncDirectory(filepath.Dir(path))
}

// syncDirectory syncs the entries of a directory.
func syncDirectory(path string) error {
	directory, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = directory.Close() }()
	return directory.Sync()
}
