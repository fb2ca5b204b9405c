package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Shutdown times within the platform's grace period. The divisors limit each time to a fraction of it.
const (
	maxDrain             = 2500 * time.Millisecond // the platform sends no new clients after two seconds of failed readiness probes
	drainDivisor         = 3                       // limits the drain
	exitReserve          = 300 * time.Millisecond  // part of the grace period reserved for the exit of the process
	finalResponseTime    = 100 * time.Millisecond  // for sending the last responses
	exitReserveDivisor   = 5                       // limits exitReserve
	finalResponseDivisor = 10                      // limits finalResponseTime
)

// shutdownSchedule holds the times of the shutdown steps, counted from the termination signal.
type shutdownSchedule struct {
	drain    time.Duration // new connections are accepted until then
	abort    time.Duration // in-flight requests are aborted then
	closeAll time.Duration // all connections are closed then
}

func newShutdownSchedule(grace time.Duration) shutdownSchedule {
	closeAll := grace - min(exitReserve, grace/exitReserveDivisor)
	return shutdownSchedule{
		drain:    min(maxDrain, grace/drainDivisor),
		abort:    closeAll - min(finalResponseTime, grace/finalResponseDivisor),
		closeAll: closeAll,
	}
}

// beginShutdown makes the router not ready. From then on it refuses requests whose deadline is after abortAt, and it closes
// each client's connection after the response.
func (r *Router) beginShutdown(abortAt time.Time) { r.abortAt.Store(&abortAt) }

// shuttingDown reports whether the shutdown has begun.
func (r *Router) shuttingDown() bool { return r.abortAt.Load() != nil }

// mayOutlastShutdown reports whether a request with this deadline might be aborted by the shutdown.
func (r *Router) mayOutlastShutdown(deadline time.Time) bool {
	abortAt := r.abortAt.Load()
	return abortAt != nil && deadline.After(*abortAt)
}

// shutDown shuts the router down in steps: it becomes not ready at once, serves while the platform still sends new clients,
// closes the listeners and idle connections, then aborts the remaining requests and closes their connections.
func (r *Router) shutDown(clients, probes *http.Server, schedule shutdownSchedule) {
	signalled := time.Now()
	r.beginShutdown(signalled.Add(schedule.abort))
	r.options.Log.Info("router leaves", zap.Int("in_hand", r.inFlight.count()))
	time.Sleep(schedule.drain)
	r.conns.drain()
	ctx, cancel := context.WithDeadline(context.Background(), signalled.Add(schedule.closeAll))
	defer cancel()
	abortTimer := time.AfterFunc(time.Until(signalled.Add(schedule.abort)), func() { r.abortRequests(signalled) })
	defer abortTimer.Stop()
	if clients.Shutdown(ctx) != nil {
		_ = clients.Close()
	}
	_ = probes.Close()
	if r.options.Pool != nil {
		r.options.Pool.Close()
	}
	r.options.Log.Info("router left", zap.Int64("refused", r.refusedDraining.Load()), zap.Duration("after", time.Since(signalled)))
}

// abortRequests aborts the in-flight requests, so that each gets a response before the process exits.
func (r *Router) abortRequests(signalled time.Time) {
	aborted := r.inFlight.stop()
	for i, q := range aborted {
		if i < maxAbortLogLines {
			q.logWarning("request ended with the process", zap.Duration("arrived_after_stop", q.arrived.Sub(signalled)))
		}
		q.cancelPlacement()
	}
}

// maxAbortLogLines limits the log lines about requests that the shutdown aborts.
const maxAbortLogLines = 20
