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

	mutex       sync.Mutex
	participant *lease.Participant
}

func newLeases(self lease.Member, newGroup bool) *leases {
	participant := lease.New(self, roles, lease.DefaultTiming(), 0, newGroup)
	return &leases{started: time.Now(), participant: participant}
}

// now returns the monotonic time since the start.
func (l *leases) now() time.Duration { return time.Since(l.started) }

// withParticipant calls use with the participant and the current monotonic time while it holds the lock.
func (l *leases) withParticipant(use func(participant *lease.Participant, now time.Duration)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	use(l.participant, l.now())
}

// holds reports whether this controller may act in a role now, and under which token.
func (l *leases) holds(key string) (token uint64, held bool) {
	l.withParticipant(func(participant *lease.Participant, now time.Duration) { token, held = participant.Holds(now, key) })
	return token, held
}

// recorded reports whether the register names this controller as the holder of a role, and under which token.
func (l *leases) recorded(key string) (token uint64, ok bool) {
	l.withParticipant(func(participant *lease.Participant, _ time.Duration) { token, ok = participant.RecordedToken(key) })
	return token, ok
}

// releaseRole gives up a role of which this controller is the recorded holder under the token.
func (l *leases) releaseRole(key string, token uint64) {
	l.withParticipant(func(participant *lease.Participant, _ time.Duration) { participant.ReleaseRole(key, token) })
}

// live returns the addresses of the live members, this one included.
func (l *leases) live() (live []string) {
	l.withParticipant(func(participant *lease.Participant, now time.Duration) { live = participant.LiveAddresses(now) })
	return live
}
