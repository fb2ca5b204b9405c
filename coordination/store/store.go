// Package store keeps one record durable through crashes and power losses. It always loads the newest valid version.
//
// Each version is a file of its own. It is written to a temporary file, synced and renamed, and its directory is synced, before
// older versions are removed. A checksum detects torn files.
package store

import "github.com/rotisserie/eris"

// Errors of stores. Every error that a Store returns has one of these as its root.
var (
	// ErrNotFound means that there is no valid version.
	ErrNotFound = eris.New("store: no valid version")
	// ErrFull means that the disk is full. The last saved version remains, and a later Save may succeed.
	ErrFull = eris.New("store: disk full")
	// ErrIO means that the disk failed in another way. The version in question may or may not exist after a restart.
	ErrIO = eris.New("store: disk failed")
)

// Store keeps one record. It must not be used by several goroutines at once.
type Store interface {
	// Load returns the newest valid version, or ErrNotFound.
	Load() ([]byte, error)
	// Save stores data as the newest version. If it returns nil, the version survives a crash and a power loss.
	// If it returns an error, the previous version remains, and after a restart Load may return either of the two.
	Save(data []byte) error
}
