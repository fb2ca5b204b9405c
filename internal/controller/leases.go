package controller

import (
	"sync"
	"time"

	"weldscale/coordination/lease"
)

// roleReader is the key of the role that reads the platform's list of instances.
const roleReader = "instances/reader"

// roleStages is the key of the role that orders workers to read prompts or to make tokens.
const roleStages = "workers/stages"

// roles are all keys.
var roles = []string{roleReader, roleStages}

// leases guards the lease decider and gives it the time.
type leases struct {
	started time.Time

	mutex   sync.Mutex
	decider *lease.Participant
}

func newLeases(self lease.Member, fresh bool) *leases {
	decider := lease.New(self, roles, lease.DefaultTiming(), 0, fresh)
	return &leases{started: time.Now(), decider: decider}
}

// now is the steady time since the start.
func (l *leases) now() time.Duration { return time.Since(l.started) }

func (l *leases) with(act func(decider *lease.Participant, now time.Duration)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	act(l.decider, l.now())
}

func (l *leases) holds(key string) (token uint64, held bool) {
	l.with(func(decider *lease.Participant, now time.Duration) { token, held = decider.Holds(now, key) })
	return token, held
}

func (l *leases) recorded(key string) (token uint64, is bool) {
	l.with(func(decider *lease.Participant, _ time.Duration) { token, is = decider.RecordedToken(key) })
	return token, is
}

func (l *leases) giveUp(key string, token uint64) {
	l.with(func(decider *lease.Participant, _ time.Duration) { decider.ReleaseRole(key, token) })
}

func (l *leases) live() (live []string) {
	l.with(func(decider *lease.Participant, now time.Duration) { live = decider.LiveAddresses(now) })
	return live
}
