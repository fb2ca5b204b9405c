package register

import "github.com/rotisserie/eris"

// Errors returned by Node.
var (
	// ErrNoQuorum reports that no majority was reached. No proposal of the operation was chosen or can be chosen later.
	ErrNoQuorum = eris.New("register: no quorum")
	// ErrInDoubt reports that the outcome of a change is unknown: its proposal may have been chosen or may be chosen later.
	ErrInDoubt = eris.New("register: outcome in doubt")
	// ErrNotFormed reports that the replica set did not reach its target size in time.
	ErrNotFormed = eris.New("register: replica set not formed")
)
