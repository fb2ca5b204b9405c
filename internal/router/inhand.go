package router

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// requestsInHand are the requests that have been read and not answered to their end.
type requestsInHand struct {
	mutex    sync.Mutex
	requests map[*request]struct{}
}

func newRequestsInHand() *requestsInHand {
	return &requestsInHand{requests: map[*request]struct{}{}}
}

func (h *requestsInHand) add(q *request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.requests[q] = struct{}{}
}

func (h *requestsInHand) remove(q *request) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	delete(h.requests, q)
}

// all returns the requests in hand. Only their fields that never change may be read.
func (h *requestsInHand) all() []*request {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	all := make([]*request, 0, len(h.requests))
	for q := range h.requests {
		all = append(all, q)
	}
	return all
}

// mostCutLines bounds what the end of a process logs of single requests.
const mostCutLines = 20

// logCutByEnd tells of the requests that the end of the process cuts.
func (r *Router) logCutByEnd(stopped time.Time) {
	cut := r.inHand.all()
	for _, q := range cut[:min(len(cut), mostCutLines)] {
		q.logCut(cutByEnd, zap.Duration("arrived_after_stop", q.arrived.Sub(stopped)))
	}
	r.options.Log.Info("router left", zap.Int("cut", len(cut)), zap.Duration("after", time.Since(stopped)))
}
