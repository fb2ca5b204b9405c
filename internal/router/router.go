// Package router is the HTTP data plane of the fleet. It finds the route of each client request in the current snapshot and
// relays the request and its response. Package placement chooses the worker and decides whether a request may be sent again.
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

// Placer chooses workers for jobs. *placement.Placer implements it.
type Placer interface {
	Update(snapshot *watch.Snapshot)
	Place(ctx context.Context, job placement.Job, push placement.Push) placement.JobOutcome
}

// Options configure a Router.
type Options struct {
	Placer Placer
	Pool   *upstream.Pool
	Log    *zap.Logger
	// OnSuspects is called with the workers that enough other routers have reported as failing. It may be nil.
	OnSuspects func(workers []string)
	// OnLoadReport is called with the load that a worker reports in a response. It must be safe for concurrent use. It may be
	// nil.
	OnLoadReport func(target *fleetwire.Instance, load placement.Load)
	// RetryAfter is the Retry-After of a refusal for which placement gives none. 0 means defaultRetryAfter.
	RetryAfter time.Duration
}

// defaultRetryAfter is short because clients honour Retry-After only up to a third of their remaining time.
const defaultRetryAfter = 250 * time.Millisecond

// Router forwards client requests to workers. It implements http.Handler.
type Router struct {
	options Options
	view    atomic.Pointer[view]
	abortAt atomic.Pointer[time.Time] // when in-flight requests are aborted; nil: not shutting down

	conns           *clientConns
	observations    *observations
	inFlight        *inFlightRequests
	abortLogLimiter logLimiter
	// streamLogLimiter limits the log lines about workers' streams.
	streamLogLimiter logLimiter
	counters         *counters
	// refusedDraining counts the requests that were refused because the process might have exited before their end.
	refusedDraining atomic.Int64
	started         chan struct{} // closed once a configuration and an instance list are known
	startOnce       sync.Once
}

// New returns a router that is not ready until Update receives a snapshot with a configuration and an instance list.
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
		inFlight:     newInFlightRequests(),
		counters:     newCounters(),
	}
}

// Update applies a newer snapshot. It ignores a snapshot without a configuration or with an older one. Only one goroutine may
// call it.
func (r *Router) Update(snapshot *watch.Snapshot) {
	if snapshot == nil || snapshot.Config == nil {
		return
	}
	previous := r.view.Load()
	if previous != nil && snapshot.Version.ConfigRevision < previous.snapshot.Version.ConfigRevision {
		return
	}
	next := newView(previous, snapshot)
	if previous == nil || previous.snapshot.Config != snapshot.Config {
		r.options.Log.Info("configuration applied", zap.Int64("version", snapshot.Config.Version),
			zap.Int("routes", next.table.Len()))
	}
	r.options.Placer.Update(snapshot)
	r.view.Store(next)
	if next.hasInstanceList() {
		r.startOnce.Do(func() { close(r.started) })
	}
}

// awaitStart waits up to maxStartWait for the first configuration and instance list, which a restarted router receives within
// a moment. It returns the current view, which is nil if there is none yet.
func (r *Router) awaitStart(ctx context.Context) *view {
	select {
	case <-r.started:
		return r.view.Load()
	default:
	}
	timer := time.NewTimer(maxStartWait)
	defer timer.Stop()
	select {
	case <-r.started:
	case <-timer.C:
	case <-ctx.Done():
	}
	return r.view.Load()
}

// maxStartWait is less than the second after which a client gives up on a request that has not been read.
const maxStartWait = 800 * time.Millisecond

// Ready reports whether the platform should send new clients: the router has a configuration and an instance list, and it is
// not shutting down.
func (r *Router) Ready() bool {
	current := r.view.Load()
	return !r.shuttingDown() && current != nil && current.hasInstanceList()
}

// ReadinessHandler returns the handler of the readiness address. It answers the platform's readiness probes, on any path, with
// 200 if the router is ready, otherwise 503. /metrics has the router's counters in the Prometheus text format.
func (r *Router) ReadinessHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, incoming *http.Request) {
		if incoming.URL.Path == metricsPath {
			r.serveMetrics(w)
			return
		}
		status := http.StatusOK
		if !r.Ready() {
			status = http.StatusServiceUnavailable
		}
		w.Header()["Date"] = nil
		w.WriteHeader(status)
	})
}

// sweepPool closes dead and expired idle worker connections and those to workers that are no longer listed.
func (r *Router) sweepPool() {
	current := r.view.Load()
	if current == nil {
		return
	}
	r.options.Pool.Sweep(func(address string) bool { return current.addresses[address] })
}

// discardNetHTTPLog discards the standard log, in which net/http writes a line for each faulty connection.
func discardNetHTTPLog() { log.SetOutput(io.Discard) }
