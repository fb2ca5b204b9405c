package register

import "github.com/rotisserie/eris"

// Errors of Node.
var (
	// ErrNoQuorum says that no majority was reached and that nothing was sent that could yet be chosen.
	ErrNoQuorum = eris.New("register: no quorum")
	// ErrInDoubt says that a change was sent out and may yet be chosen, or may have been.
	ErrInDoubt = eris.New("register: in doubt")
	// ErrNotFormed says that the set has not reached its size in time.
	ErrNotFormed = eris.New("register: set not formed")
)
