package router

import (
	"sync"

	"github.com/samber/lo"
)

// requestsInHand are the requests that have been read and not answered to their end.
type requestsInHand struct {
	mutex    sync.Mutex
	requests map[*request]struct{}
	ended    bool
}

func newRequestsInHand() *requestsInHand {
	return &requestsInHand{requests: map[*request]struct{}{}}
}

// add takes a request in hand, unless the requests have been ended.
func (h *requestsInHand) add(q *request) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.ended {
		return false
	}
	h.requests[q] = struct{}{}
	return true
}

func (h *requestsInHand) remove(q *request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.requests, q)
}

func (h *requestsInHand) count() int {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return len(h.requests)
}

// end takes no further requests in hand and returns those that are. Only their fields that never change may be read.
func (h *requestsInHand) end() []*request {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.ended = true
	return lo.Keys(h.requests)
}

// hasEnded reports whether end was called.
func (h *requestsInHand) hasEnded() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	return h.ended
}
