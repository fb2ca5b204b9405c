package controller

import (
	"sync"
	"time"

	"weldscale/coordination/lease"
)

// roleReader is the key of the role whose holder reads the platform's list of instances.
const roleReader = "instances/reader"

// roleStages is the key of the role whose holder assigns the prefill and decode stages to workers.
const roleStages = "workers/stages"

// roles lists the keys of all roles.
var roles = []string{roleReader, roleStages}

// leases makes a lease.Participant safe for concurrent use and passes it the time.
type leases struct {
	started time.Time

	mutex   sync.Mutex
	decider *lease.Participant
}

func newLeases(self lease.Member, fresh bool) *leases {
	decider := lease.New(self, roles, lease.DefaultTiming(), 0, fresh)
	return &leases{started: time.Now(), decider: decider}
}

// now returns the monotonic time since the start.
func (l *leases) now() time.Duration { return time.Since(l.started) }

// withDecider calls use with the decider while it holds the lock.
func (l *leases) withDecider(use func(decider *lease.Participant, now time.Duration)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	use(l.decider, l.now())
}

// holds reports whether this controller may act in a role now, and under which token.
func (l *leases) holds(key string) (token uint64, held bool) {
	l.withDecider(func(decider *lease.Participant, now time.Duration) { token, held = decider.Holds(now, key) })
	return token, held
}

// recorded reports whether the register names this controller as the holder of a role, and under which token.
func (l *leases) recorded(key string) (token uint64, ok bool) {
	l.withDecider(func(decider *lease.Participant, _ time.Duration) { token, ok = decider.RecordedToken(key) })
	return token, ok
}

// giveUp gives up a role that is held under the token.
func (l *leases) giveUp(key string, token uint64) {
	l.withDecider(func(decider *lease.Participant, _ time.Duration) { decider.ReleaseRole(key, token) })
}

// live returns the addresses of the live members, this one included.
func (l *leases) live() (live []string) {
	l.withDecider(func(decider *lease.Participant, now time.Duration) { live = decider.LiveAddresses(now) })
	return live
}
