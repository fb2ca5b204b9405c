package lease

import "time"

// voter grants roles to members. It keeps grants in memory only. After a start it therefore grants nothing until the grants of
// its previous run have expired and until it has read the current tokens from the register.
type voter struct {
	grantDuration time.Duration
	mutedUntil    time.Duration // when the grants of the previous run have expired; nothing is granted before
	// formerGrantsExpireAt is when the grants given by the former voters have expired. Before it, grants are only renewed.
	formerGrantsExpireAt time.Duration
	synced               bool
	grants               map[string]grant
}

type grant struct {
	token            uint64 // of the current or last grant
	highestRequested uint64 // highest token that was requested or seen in the register; no lower one is granted
	expiresAt        time.Duration
}

func newVoter(grantDuration time.Duration, mutedUntil time.Duration) voter {
	return voter{grantDuration: grantDuration, mutedUntil: mutedUntil, grants: make(map[string]grant)}
}

// tryGrant grants or renews a role for grantDuration from now on, and reports whether it did.
func (v *voter) tryGrant(now time.Duration, requested RoleToken) bool {
	current := v.grants[requested.Key]
	if requested.Token < current.highestRequested {
		return false
	}
	current.highestRequested = requested.Token
	running := now < current.expiresAt
	renewed := running && current.token == requested.Token
	free := !running && now >= v.mutedUntil && now >= v.formerGrantsExpireAt
	granted := v.synced && (renewed || free)
	if granted {
		current.token = requested.Token
		current.expiresAt = now + v.grantDuration
	}
	v.grants[requested.Key] = current
	return granted
}

// delayNewGrants is called when the set of voters has changed. A holder may keep the grants of a majority of the former voters
// until they expire.
func (v *voter) delayNewGrants(now time.Duration) { v.formerGrantsExpireAt = now + v.grantDuration }

// observeToken records that a token is in the register. No lower token is granted from then on.
func (v *voter) observeToken(key string, token uint64) {
	current := v.grants[key]
	current.highestRequested = max(current.highestRequested, token)
	v.grants[key] = current
}

// release ends the grant of a role if it was given under the released token.
func (v *voter) release(now time.Duration, released RoleToken) {
	current := v.grants[released.Key]
	if current.token != released.Token || now >= current.expiresAt {
		return
	}
	current.expiresAt = now
	v.grants[released.Key] = current
}
