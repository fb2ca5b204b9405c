package agent

import (
	"sync"
	"time"

	"weldscale/internal/fleetwire"
)

const (
	// suspectTTL is how long suspects stay valid without a reply from a controller. An agent that is cut off must not keep
	// workers under suspicion for long.
	suspectTTL = 3 * time.Second
	// maxPendingObservations bounds the observations that wait for the next poll. The router repeats those that are dropped.
	maxPendingObservations = 128
)

// evidence buffers the router's observations of workers for the controllers, and holds the controllers' suspects for the
// router. It is safe for use by several goroutines.
type evidence struct {
	mutex     sync.Mutex
	pending   []fleetwire.Observation
	suspected []fleetwire.Doubt
	updatedAt time.Time // time of the controller's latest reply
}

// add appends the router's observations to those that wait for the next poll.
func (e *evidence) add(observations []fleetwire.Observation) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	free := max(0, maxPendingObservations-len(e.pending))
	e.pending = append(e.pending, observations[:min(free, len(observations))]...)
}

// take removes and returns the pending observations.
func (e *evidence) take() []fleetwire.Observation {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	pending := e.pending
	e.pending = nil
	return pending
}

// setSuspects stores the suspects that a controller reported.
func (e *evidence) setSuspects(now time.Time, suspects []fleetwire.Doubt) {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	e.suspected, e.updatedAt = suspects, now
}

// suspects returns the latest suspects, or nil if they are older than suspectTTL.
func (e *evidence) suspects(now time.Time) []fleetwire.Doubt {
	e.mutex.Lock()
	defer e.mutex.Unlock()
	if now.Sub(e.updatedAt) > suspectTTL {
		return nil
	}
	return e.suspected
}
