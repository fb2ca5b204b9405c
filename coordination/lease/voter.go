package lease

import "time"

// voter is the part of a member that grants roles to others. It remembers grants in memory only: after a start it grants
// nothing until those of its former life have run out, and until it has read from the register which tokens there are.
type voter struct {
	grant    time.Duration
	mutedTil time.Duration
	// settledAt is when the grants that former voters gave have run out. Before it, grants are only renewed.
	settledAt time.Duration
	synced    bool
	grants    map[string]grant
}

type grant struct {
	token   uint64 // of the current or last grant
	highest uint64 // highest token that was asked for
	until   time.Duration
}

func newVoter(span time.Duration, mutedTil time.Duration) voter {
	return voter{grant: span, mutedTil: mutedTil, grants: make(map[string]grant)}
}

// ask reports whether the role is granted for the voter's span from now on.
func (v *voter) ask(now time.Duration, ask RoleToken) bool {
	current := v.grants[ask.Key]
	if ask.Token < current.highest {
		return false
	}
	current.highest = ask.Token
	running := now < current.until
	renewed := running && current.token == ask.Token
	free := !running && now >= v.mutedTil && now >= v.settledAt
	granted := v.synced && (renewed || free)
	if granted {
		current.token = ask.Token
		current.until = now + v.grant
	}
	v.grants[ask.Key] = current
	return granted
}

// regroup notes that there are other voters. A holder may have the grants of a majority of the former ones for a while.
func (v *voter) regroup(now time.Duration) { v.settledAt = now + v.grant }

// saw notes that a token is in the register: none below it is granted any more.
func (v *voter) saw(key string, token uint64) {
	current := v.grants[key]
	current.highest = max(current.highest, token)
	v.grants[key] = current
}

// release ends the grant of the role, if it was given under the token.
func (v *voter) release(now time.Duration, released RoleToken) {
	current := v.grants[released.Key]
	if current.token != released.Token || now >= current.until {
		return
	}
	current.until = now
	v.grants[released.Key] = current
}
