package main

import (
	"log/slog"
	"slices"
	"time"

	"weldscale/internal/engine"
	"weldscale/internal/jobs"
	"weldscale/internal/mgmt"
)

// This file owns what those who operate the scheduler have it do, whichever way they reach it: the second address, the
// control socket and its commands. It must never wait for the loop longer than callWait.

// callWait is how long a call may wait for the loop: its answer is due within a second.
const callWait = 700 * time.Millisecond

// operate implements mgmt.Control.
type operate struct{ s *scheduler }

// soon has f run on the loop.
func (o operate) soon(f func()) error {
	if !o.s.loop.DoUrgent(callWait, f) {
		return mgmt.ErrTimeout
	}
	return nil
}

// Ready implements mgmt.Control.
func (o operate) Ready() (ready bool, err error) {
	err = o.soon(func() { ready = o.s.ready() })
	return ready, err
}

// ready reports whether the scheduler can serve now and will go on to.
func (s *scheduler) ready() bool { return s.stopping.IsZero() && (s.e.Ready() || s.anyReady()) }

// Figures implements mgmt.Control.
func (o operate) Figures() (f mgmt.Figures, err error) {
	err = o.soon(func() { f = o.s.figures() })
	return f, err
}

// part is one service's engine, with what stands over its list and the names of its classes.
type part struct {
	e       *engine.Engine
	overlay *jobs.Overlay
	classes []string
}

// parts are all of them: the platform's, those that the operator's file names and those that leave.
func (s *scheduler) parts() []part {
	all := []part{{s.e, s.overlay, s.c.classes}}
	for _, v := range s.services {
		all = append(all, part{v.e, v.overlay, v.conf.ClassNames()})
	}
	for _, v := range s.leaving {
		all = append(all, part{v.e, v.overlay, v.conf.ClassNames()})
	}
	return all
}

// figures are one consistent reading: the loop does nothing else meanwhile.
func (s *scheduler) figures() mgmt.Figures {
	f := mgmt.Figures{Served: map[string]int{}, Refused: map[string]int{}, Failed: map[string]int{}}
	for _, p := range s.parts() {
		for i, class := range p.classes {
			for outcome, by := range []map[string]int{f.Served, f.Refused, f.Failed} {
				by[class] += p.e.Counts.Ended[outcome][i]
			}
		}
		f.Attempts += p.e.Counts.Written
		f.InFlight += p.e.OpenRequests()
		f.WorkersKnown += p.overlay.KnownWorkers()
		f.WorkersExcluded += p.overlay.ExcludedWorkers()
	}
	return f
}

// SetOffline implements mgmt.Control.
func (o operate) SetOffline(worker string, out bool) error {
	known := false
	if err := o.soon(func() { known = o.s.setOut(worker, out) }); err != nil {
		return err
	}
	if !known {
		return mgmt.ErrUnknownWorker
	}
	if o.s.up != nil {
		return o.s.up.bind(worker, out)
	}
	return nil
}

// out are the workers that are out, of all services, in order.
func (s *scheduler) out() []string {
	var names []string
	for _, p := range s.parts() {
		names = append(names, p.overlay.Offline()...)
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// restore takes out whoever was out before, in every service, listed or not.
func (s *scheduler) restore(names []string) {
	for _, p := range s.parts() {
		p.overlay.RestoreOffline(names)
	}
}

// setOut takes a worker out of every service that lists it, or puts it back.
func (s *scheduler) setOut(worker string, out bool) bool {
	known := false
	for _, p := range s.parts() {
		known = p.overlay.SetOffline(worker, out) || known
	}
	slog.Info("worker by hand", "worker", worker, "out", out, "known", known)
	return known
}
