package upstream

import (
	"errors"
	"sync"
	"syscall"
	"time"
)

const (
	// A reset within staleResetWithin after sending means that the worker had already dropped the connection: a worker that
	// resets so early has not processed the request.
	staleResetWithin = 100 * time.Millisecond
	// After a stale connection, the new idle limit is its idle time divided by staleIdleDivisor, because the worker may have
	// dropped it long before it was used.
	staleIdleDivisor = 4
	// minIdleLimit is the lowest idle limit. A connection that was idle for less never counts as stale.
	minIdleLimit = 50 * time.Millisecond
	// staleLimitDuration is how long the lower idle limit applies after a stale connection.
	staleLimitDuration = 15 * time.Second
)

// staleConnLimit lowers the idle limit of all connections for a while after a worker has dropped an idle connection without
// closing it. One such worker lowers the limit for all workers: a request sent on a stale connection is lost if it may run
// only once, while a new connection costs little.
type staleConnLimit struct {
	mutex   sync.Mutex
	maxIdle time.Duration
	expires time.Time
}

// maxIdleTime returns the idle limit at time now.
func (l *staleConnLimit) maxIdleTime(now time.Time) time.Duration {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if now.After(l.expires) {
		return AnyIdleTime
	}
	return l.maxIdle
}

// recordFailure lowers the idle limit if the failure of a request shows that its connection was stale.
func (l *staleConnLimit) recordFailure(now time.Time, idleTime, elapsed time.Duration, err error) {
	if idleTime < minIdleLimit || elapsed > staleResetWithin || !errors.Is(err, syscall.ECONNRESET) && !errors.Is(err, syscall.EPIPE) {
		return
	}
	l.mutex.Lock()
	defer l.mutex.Unlock()
	limit := max(minIdleLimit, idleTime/staleIdleDivisor)
	if now.Before(l.expires) {
		limit = min(limit, l.maxIdle)
	}
	l.maxIdle, l.expires = limit, now.Add(staleLimitDuration)
}
