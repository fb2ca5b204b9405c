package router

import (
	"sync"

	"github.com/samber/lo"
)

// inFlightRequests is the set of requests that have been read and whose responses are not complete. It is safe for concurrent
// use.
type inFlightRequests struct {
	mutex    sync.Mutex
	requests map[*request]struct{}
	stopped  bool
}

func newInFlightRequests() *inFlightRequests {
	return &inFlightRequests{requests: map[*request]struct{}{}}
}

// add adds a request to the set. It returns false after stop.
func (f *inFlightRequests) add(q *request) bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	if f.stopped {
		return false
	}
	f.requests[q] = struct{}{}
	return true
}

func (f *inFlightRequests) remove(q *request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	delete(f.requests, q)
}

func (f *inFlightRequests) count() int {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return len(f.requests)
}

// stop makes add refuse further requests and returns those in the set. The caller may read only their immutable fields.
func (f *inFlightRequests) stop() []*request {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	f.stopped = true
	return lo.Keys(f.requests)
}

// isStopped reports whether stop was called.
func (f *inFlightRequests) isStopped() bool {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	return f.stopped
}
