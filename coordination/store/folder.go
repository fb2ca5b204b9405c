package store

import (
	"os"
	"path/filepath"

	"github.com/samber/lo"
)

// Files is one folder of a disk, for records. Folder is the real one; a simulated one stands in tests.
type Files interface {
	// List returns the names of all files.
	List() ([]string, error)
	// Read returns the content of a file.
	Read(name string) ([]byte, error)
	// Write makes or replaces a file. When it returns nil, the content is durable; that there is such a file is so after Sync.
	Write(name string, parts ...[]byte) error
	// Rename gives a file another name, at once or not at all.
	Rename(from, to string) error
	// Remove removes a file.
	Remove(name string) error
	// Sync makes durable which files there are.
	Sync() error
}

const (
	filePerm   = 0o600
	folderPerm = 0o700
)

// Directory is a folder of the file system.
type Directory struct{ path string }

// OpenDirectory makes the folder if it isn't there.
func OpenDirectory(path string) (Directory, error) {
	if _, err := os.Stat(path); err != nil {
		if err := makeFolder(path); err != nil {
			return Directory{}, typed(err, "make folder")
		}
	}
	return Directory{path: path}, nil
}

// List implements Files.
func (f Directory) List() ([]string, error) {
	entries, err := os.ReadDir(f.path)
	return lo.Map(entries, func(entry os.DirEntry, _ int) string { return entry.Name() }), err
}

// Read implements Files.
func (f Directory) Read(name string) ([]byte, error) { return os.ReadFile(f.at(name)) }

// Write implements Files.
func (f Directory) Write(name string, parts ...[]byte) (err error) {
	file, err := os.OpenFile(f.at(name), os.O_WRONLY|os.O_CREATE|os.O_TRUNC, filePerm)
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

// Rename implements Files.
func (f Directory) Rename(from, to string) error { return os.Rename(f.at(from), f.at(to)) }

// Remove implements Files.
func (f Directory) Remove(name string) error { return os.Remove(f.at(name)) }

// Sync implements Files.
func (f Directory) Sync() error { return syncFolder(f.path) }

func (f Directory) at(name string) string { return filepath.Join(f.path, name) }

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
