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
	decider *lease.Decider
}

func newLeases(self lease.Member, fresh bool) *leases {
	decider := lease.New(self, roles, lease.DefaultTiming(), 0, fresh)
	return &leases{started: time.Now(), decider: decider}
}

// now is the steady time since the start.
func (l *leases) now() time.Duration { return time.Since(l.started) }

func (l *leases) withDecider(use func(decider *lease.Decider, now time.Duration)) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	use(l.decider, l.now())
}

func (l *leases) holds(key string) (token uint64, held bool) {
	l.withDecider(func(decider *lease.Decider, now time.Duration) { token, held = decider.Holds(now, key) })
	return token, held
}

func (l *leases) recorded(key string) (token uint64, ok bool) {
	l.withDecider(func(decider *lease.Decider, _ time.Duration) { token, ok = decider.Recorded(key) })
	return token, ok
}

func (l *leases) giveUp(key string, token uint64) {
	l.withDecider(func(decider *lease.Decider, _ time.Duration) { decider.GiveUp(key, token) })
}

func (l *leases) live() (live []string) {
	l.withDecider(func(decider *lease.Decider, now time.Duration) { live = decider.Live(now) })
	return live
}
