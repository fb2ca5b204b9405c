// Package store keeps the newest version of a record through crashes and losses of power.
//
// Each version is a file of its own: it is written aside, synced, renamed, and its folder is synced, before older
// versions are removed. A checksum tells a torn file; on opening, the newest whole version counts.
package store

import "github.com/rotisserie/eris"

// Errors of stores. Every error that a Store returns has one of these as its root.
var (
	// ErrNotFound says that there is no whole version.
	ErrNotFound = eris.New("store: no whole version")
	// ErrFull says that the disk has no room. The last version saved still stands, and a later Save may succeed.
	ErrFull = eris.New("store: disk full")
	// ErrIO says that the disk failed in another way. The version in question may or may not be there after a restart.
	ErrIO = eris.New("store: disk failed")
)

// Store keeps one record. It is not safe for use by several goroutines.
type Store interface {
	// Load returns the newest whole version, or ErrNotFound.
	Load() ([]byte, error)
	// Save makes data the newest version. When it returns nil, the version outlives a crash and a loss of power.
	// When it returns an error, the version before still stands, and after a restart either of them may count.
	Save(data []byte) error
}
