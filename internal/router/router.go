// Package router is the data plane of the fleet: it takes clients' requests, finds their route in the current snapshot,
// lets package placement choose workers, forwards the requests to them and returns their answers. It owns the HTTP side
// of all that; it never chooses a worker and never decides whether a request may be sent again.
package router

import (
	"context"
	"io"
	"log"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
	"weldscale/internal/router/upstream"
)

// Placer chooses workers. *placement.Placer is one.
type Placer interface {
	Update(snapshot *watch.Snapshot)
	Place(ctx context.Context, job placement.Job, push placement.Push) placement.JobOutcome
}

// Options set up a Router.
type Options struct {
	Placer Placer
	Pool   *upstream.Pool
	Log    *zap.Logger
	// OnSuspects is told of workers that enough other routers complain of. Nil: nobody is.
	OnSuspects func(workers []string)
	// OnLoadReport is told of the load that a worker states with an answer. Nil: nobody is.
	OnLoadReport func(target *fleetwire.Instance, load placement.Load)
	// RetryAfter is what a refusal says when nothing better is known; 0: defaultRetryAfter.
	RetryAfter time.Duration
}

// defaultRetryAfter is short: clients honour it only up to a third of the time they have left.
const defaultRetryAfter = 250 * time.Millisecond

// Router serves clients. It is an http.Handler.
type Router struct {
	options  Options
	view     atomic.Pointer[view]
	finishAt atomic.Pointer[time.Time] // when requests in hand are ended; nil: the router was not told to end

	conns        *clientConns
	observations *observations
	inHand       *requestsInHand
	cutLines     linePace
	// refusedLeaving counts the requests that were refused because the process would have ended under them.
	refusedLeaving atomic.Int64
	started        chan struct{} // closed once there are a configuration and a list
	starting       sync.Once
}

// New returns a router that is not ready until Update gives it a first snapshot.
func New(options Options) *Router {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.RetryAfter == 0 {
		options.RetryAfter = defaultRetryAfter
	}
	return &Router{
		options:      options,
		started:      make(chan struct{}),
		observations: newObservations(),
		conns:        newClientConns(),
		inHand:       newRequestsInHand(),
	}
}

// Update puts a newer snapshot into force. It is called by one goroutine.
func (r *Router) Update(snapshot *watch.Snapshot) {
	if snapshot == nil || snapshot.Config == nil {
		return
	}
	previous := r.view.Load()
	if previous != nil && snapshot.Version.ConfigRevision < previous.snapshot.Version.ConfigRevision {
		return
	}
	next, faults := newView(previous, snapshot)
	for _, fault := range faults {
		r.options.Log.Warn("route left out", zap.Error(fault))
	}
	r.options.Placer.Update(snapshot)
	r.view.Store(next)
	if next.hasList() {
		r.starting.Do(func() { close(r.started) })
	}
}

// awaitStart holds a request that came before the first configuration and list, which a restarted router has in a moment.
func (r *Router) awaitStart(ctx context.Context) *view {
	select {
	case <-r.started:
		return r.view.Load()
	default:
	}
	timer := time.NewTimer(startPatience)
	defer timer.Stop()
	select {
	case <-r.started:
	case <-timer.C:
	case <-ctx.Done():
	}
	return r.view.Load()
}

// startPatience is below the second after which a client gives up a request that has not been read.
const startPatience = 800 * time.Millisecond

// Ready reports whether new clients are welcome.
func (r *Router) Ready() bool {
	current := r.view.Load()
	return !r.stopping() && current != nil && current.hasList()
}

// ReadinessHandler answers the platform's probes.
func (r *Router) ReadinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		status := http.StatusOK
		if !r.Ready() {
			status = http.StatusServiceUnavailable
		}
		w.Header()["Date"] = nil
		w.WriteHeader(status)
	})
}

// sweep closes connections to workers that are gone.
func (r *Router) sweep() {
	current := r.view.Load()
	if current == nil {
		return
	}
	r.options.Pool.Sweep(func(address string) bool { return current.addresses[address] })
}

// quietNetHTTP drops the lines that net/http writes about each connection that misbehaves.
func quietNetHTTP() { log.SetOutput(io.Discard) }
