package agent

import (
	"sync"
	"time"

	"weldscale/internal/fleetwire"
)

const (
	// doubtsKept is how long doubts count without an answer of a controller: cut off, nobody is spoken against for long.
	doubtsKept = 3 * time.Second
	// mostObservations bounds what waits for the next poll; what is left out is said again by the router.
	mostObservations = 128
)

// evidence passes on what the router saw of workers, and what the controllers say of them.
type evidence struct {
	mutex    sync.Mutex
	waiting  []fleetwire.Observation
	doubted  []fleetwire.Doubt
	answered time.Time
}

// seen takes the router's observations.
func (h *evidence) seen(observations []fleetwire.Observation) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	room := max(0, mostObservations-len(h.waiting))
	h.waiting = append(h.waiting, observations[:min(room, len(observations))]...)
}

// take returns what waits to be passed on.
func (h *evidence) take() []fleetwire.Observation {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	waiting := h.waiting
	h.waiting = nil
	return waiting
}

// told takes a controller's doubts.
func (h *evidence) told(now time.Time, doubts []fleetwire.Doubt) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.doubted, h.answered = doubts, now
}

// doubts returns the newest doubts, none if they are old.
func (h *evidence) doubts(now time.Time) []fleetwire.Doubt {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if now.Sub(h.answered) > doubtsKept {
		return nil
	}
	return h.doubted
}
