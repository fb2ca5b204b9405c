package upstream

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// A reset within this time of the sending comes from a worker that had forgotten the connection: it has done nothing else.
	forgottenWithin = 100 * time.Millisecond
	// restPart of the time that a forgotten connection had rested is taken to be safe. It may have been forgotten long before.
	restPart  = 4
	leastRest = 50 * time.Millisecond
	// forgetfulFor is how long connections rest shorter after one was forgotten.
	forgetfulFor = 15 * time.Second
)

// memory bounds how long connections may rest while workers forget them without a word. One such worker is taken as a sign of
// others: a request that is sent on a forgotten connection is lost if it may run only once, a new connection costs little.
type memory struct {
	mutex sync.Mutex
	most  time.Duration
	until time.Time
}

// restedAtMost returns the bound that holds now.
func (m *memory) restedAtMost(now time.Time) time.Duration {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	if now.After(m.until) {
		return AnyIdleTime
	}
	return m.most
}

// failed takes a failed request on a connection that had rested.
func (m *memory) failed(now time.Time, rested, took time.Duration, err error) {
	if rested < leastRest || took > forgottenWithin || !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return
	}
	m.mutex.Lock()
	defer m.mutex.Unlock()
	bound := max(leastRest, rested/restPart)
	if now.Before(m.until) {
		bound = min(bound, m.most)
	}
	m.most, m.until = bound, now.Add(forgetfulFor)
}
