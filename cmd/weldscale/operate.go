package main

import (
	"log/slog"
	"slices"
	"time"

	"weldscale/internal/engine"
	"weldscale/internal/jobs"
	"weldscale/internal/mgmt"
)

// This file implements the operations of package mgmt, for the management address and for the control socket. A call waits at
// most operationTimeout for the loop.

// operationTimeout is how long a call may wait for the loop. Its answer is due within a second.
const operationTimeout = 700 * time.Millisecond

// operations implements mgmt.Control.
type operations struct{ scheduler *scheduler }

// do runs f on the loop, ahead of queued work. It returns mgmt.ErrTimeout if the loop does not reach f in time.
func (o operations) do(f func()) error {
	if !o.scheduler.loop.DoUrgent(operationTimeout, f) {
		return mgmt.ErrTimeout
	}
	return nil
}

// Ready implements mgmt.Control.
func (o operations) Ready() (ready bool, err error) {
	err = o.do(func() { ready = o.scheduler.ready() })
	return ready, err
}

// ready reports whether the scheduler can serve and is not shutting down.
func (s *scheduler) ready() bool { return s.stopping.IsZero() && (s.engine.Ready() || s.anyReady()) }

// Figures implements mgmt.Control.
func (o operations) Figures() (f mgmt.Figures, err error) {
	err = o.do(func() { f = o.scheduler.figures() })
	return f, err
}

// serviceView is the engine of one service, with its overlay and the names of its classes.
type serviceView struct {
	engine  *engine.Engine
	overlay *jobs.Overlay
	classes []string
}

// serviceViews returns all services: the platform's, those of the operator's file and the draining ones.
func (s *scheduler) serviceViews() []serviceView {
	all := []serviceView{{s.engine, s.overlay, s.config.classes}}
	for _, v := range s.services {
		all = append(all, serviceView{v.engine, v.overlay, v.conf.ClassNames()})
	}
	for _, v := range s.draining {
		all = append(all, serviceView{v.engine, v.overlay, v.conf.ClassNames()})
	}
	return all
}

// figures returns consistent totals of all services. It must be called on the loop.
func (s *scheduler) figures() mgmt.Figures {
	f := mgmt.Figures{Served: map[string]int{}, Refused: map[string]int{}, Failed: map[string]int{}}
	for _, view := range s.serviceViews() {
		for i, class := range view.classes {
			for outcome, totals := range []map[string]int{f.Served, f.Refused, f.Failed} {
				totals[class] += view.engine.Counts.Ended[outcome][i]
			}
		}
		f.Attempts += view.engine.Counts.Written
		f.InFlight += view.engine.OpenRequests()
		f.WorkersKnown += view.overlay.KnownWorkers()
		f.WorkersExcluded += view.overlay.ExcludedWorkers()
	}
	return f
}

// SetOffline implements mgmt.Control.
func (o operations) SetOffline(worker string, offline bool) error {
	known := false
	if err := o.do(func() { known = o.scheduler.setOffline(worker, offline) }); err != nil {
		return err
	}
	if !known {
		return mgmt.ErrUnknownWorker
	}
	if o.scheduler.upgrade != nil {
		return o.scheduler.upgrade.propagateOffline(worker, offline)
	}
	return nil
}

// offlineWorkers returns the sorted names of the offline workers of all services.
func (s *scheduler) offlineWorkers() []string {
	var names []string
	for _, view := range s.serviceViews() {
		names = append(names, view.overlay.Offline()...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// restoreOffline takes workers offline in every service, whether they are listed or not.
func (s *scheduler) restoreOffline(names []string) {
	for _, view := range s.serviceViews() {
		view.overlay.RestoreOffline(names)
	}
}

// setOffline takes a worker offline in every service that lists it, or puts it back online. It reports whether any service
// knows the worker.
func (s *scheduler) setOffline(worker string, offline bool) bool {
	known := false
	for _, view := range s.serviceViews() {
		known = view.overlay.SetOffline(worker, offline) || known
	}
	slog.Info("worker by hand", "worker", worker, "out", offline, "known", known)
	return known
}
