package main

import (
	"cmp"
	"errors"
	"fmt"
	"log/slog"
	"slices"
	"strings"
	"time"

	"weldscale/decide"
	operator "weldscale/internal/config"
	"weldscale/internal/engine"
	"weldscale/internal/jobs"
	"weldscale/internal/member"
	"weldscale/internal/net"
	"weldscale/internal/pool"
	"weldscale/internal/route"
)

// This file owns the life of the services that the operator's file names: each is built whole before anything changes,
// runs on while its terms allow, and leaves once its last request has its answer. It must never touch a request.

// service is one that runs.
type service struct {
	conf    operator.Service
	jobs    *jobs.Service
	e       *engine.Engine
	share   *pool.Share
	lane    *pool.TimeShare
	overlay *jobs.Overlay
	dials   *net.Dialer    // of its connections to workers
	list    *member.Static // of workers that the file names itself
	stop    func()         // of its membership
	gone    bool           // nothing more is asked of it
}

// reports are the figures of PROTOCOL, in the order in which a service's workers are asked for them.
var reports = &jobs.LoadReportParser{Fields: []string{"inflight", "util", "x0"}, Make: func(v []float32) (r decide.Report) {
	for i, f := range []struct {
		has decide.Fields
		to  *float64
	}{{decide.HasInFlight, &r.InFlight}, {decide.HasUtil, &r.Util}, {decide.HasFreeSlots, &r.FreeSlots}} {
		if v[i] == v[i] { // not missing
			r.Has |= f.has
			*f.to = float64(v[i])
		}
	}
	return r
}}

// build makes a service that takes nothing yet. Its workers are asked for by begin.
func (s *scheduler) build(conf operator.Service) (*service, error) {
	e, err := engine.New(s.loop, engine.Config{Settings: conf.Settings(), Seed: s.c.engine.Seed})
	if err != nil {
		return nil, fmt.Errorf("service %q: %w", conf.Name, err)
	}
	dials := s.driver.Dialer(conf.Connections)
	v := &service{conf: conf, e: e, dials: dials, jobs: jobs.NewService(conf.Name, e, conf.ClassNames()), stop: func() {}}
	v.overlay = jobs.NewOverlay(e)
	workers := &jobs.Workers{Engine: e, Dialer: dials, Reports: reports, Host: conf.Name, Service: conf.Name, Pace: s.c.file.Workers, RetainResponses: s.c.passed >= 0}
	v.jobs.Workers = workers
	switch {
	case conf.Discovery != "":
		d := &jobs.Discovery{Engine: e, Dialer: s.driver, Addr: conf.Discovery, Service: conf.Name}
		e.SetBackends(workers, d)
		v.stop = d.Close
	case conf.File != "":
		f, err := member.WatchFile(e, conf.Name, conf.File, operator.ListSettleTime)
		if err != nil {
			return nil, fmt.Errorf("service %q: %w", conf.Name, err)
		}
		e.SetBackends(workers, f)
		v.list, v.stop = &f.Static, f.Close
	default:
		v.list = &member.Static{Engine: e}
		e.SetBackends(workers, v.list)
	}
	return v, nil
}

// entries is the list that a service's block names.
func entries(conf operator.Service) (out []engine.Entry) {
	for _, w := range conf.Workers {
		out = append(out, engine.Entry{Name: w.Name, Addr: w.Address, State: decide.Ready, Weight: 1})
	}
	return out
}

// begin gives a service its parts of what all share, and its workers.
func (s *scheduler) begin(v *service) {
	v.overlay.RestoreOffline(s.out()) // who is out is out of a new service too
	v.share, v.lane = s.open.Share(v.conf.Reserve), s.clock.Share(s.loop.Now(), v.conf.Weight)
	p := pool.New(v.conf.Name, v.conf.Limits, v.conf.ClassLimits(), v.share, v.lane)
	if err := s.fleet.share(v.conf, p); err != nil { // its terms were checked with the file
		slog.Error("no part of the fleet's limits", "service", v.conf.Name, "why", err)
	}
	s.account(v.jobs, v.e, p, v.lane)
	s.fleet.watch(v, s.loop)
	if s.metrics != nil {
		v.e.Meter = s.metrics.Service(v.conf.Name, v.conf.ClassNames(), engine.StatusNames[:])
	}
	switch {
	case v.conf.Discovery != "":
		v.e.Announce(decide.ListCached, nil) // the module asks from here on
	case v.conf.File != "":
		v.list.Reload()
	default:
		v.list.Set(entries(v.conf))
	}
}

// account ties an engine to a pool's account.
func (s *scheduler) account(v *jobs.Service, e *engine.Engine, p *pool.Pool, lane *pool.TimeShare) {
	v.Pool = p
	e.MayRetry = func(class int) bool { return p.AdmitRetry(s.loop.Now(), class) }
	e.OnBusy = func(span time.Duration) { lane.Charge(s.loop.Now(), span.Microseconds()) }
}

// apply puts the services of an operator's file in force. New ones are all built first; one that can't be leaves all as
// it was. One whose workers' place and classes are the same runs on under its new limits; the others are replaced.
// Requests in hand end where they are.
func (s *scheduler) apply(file operator.File) error {
	next := map[string]*service{}
	var built []*service
	var faults []error
	for _, conf := range file.Services {
		if old := s.services[conf.Name]; old != nil && old.conf.Compatible(&conf) {
			next[conf.Name] = old
			continue
		}
		v, err := s.build(conf)
		if err != nil {
			faults = append(faults, err)
			continue
		}
		next[conf.Name] = v
		built = append(built, v)
	}
	if len(faults) > 0 {
		for _, v := range built {
			v.stop()
		}
		return errors.Join(faults...)
	}
	// A request in hand holds a client's descriptor, and its attempt and probes some more.
	total := cmp.Or(file.InFlight, s.c.Limits.Sockets/3)
	if s.open == nil {
		s.open = pool.NewBudget(total)
	}
	s.open.SetTotal(total)
	for name, old := range s.services {
		if next[name] != old {
			s.leaving = append(s.leaving, old)
			old.share.SetReserve(0)
			old.lane.Close()
		}
	}
	for _, conf := range file.Services {
		v := next[conf.Name]
		if slices.Contains(built, v) {
			s.begin(v)
			continue
		}
		v.jobs.Pool.SetLimits(conf.Limits, conf.ClassLimits())
		v.share.SetReserve(conf.Reserve)
		v.lane.SetWeight(conf.Weight)
		v.dials.SetLimit(conf.Connections)
		if conf.File == "" && conf.Discovery == "" && !slices.Equal(conf.Workers, v.conf.Workers) {
			v.list.Set(entries(conf))
		}
		v.conf = conf
	}
	s.services = next
	s.routes(file)
	s.left()
	return nil
}

// routes swaps the table.
func (s *scheduler) routes(file operator.File) {
	if len(file.Services) == 0 {
		s.server.Route = nil // all is the platform's
		return
	}
	if main := s.server.Main; main.Pool == nil {
		lane := s.clock.Share(s.loop.Now(), 1)
		s.account(main, s.e, pool.New("", pool.Limits{}, make([]pool.Limits, len(main.Classes)), s.open.Share(0), lane), lane)
	}
	table, services := file.Routes, s.services
	s.server.Route = func(r route.Request) (*jobs.Service, route.Miss) {
		name, miss := table.Match(r)
		if miss != route.Matched {
			return nil, miss
		}
		if name == "" {
			return s.server.Main, miss
		}
		return services[name].jobs, miss
	}
}

// left ends services that are no longer named once nothing of theirs is in hand.
func (s *scheduler) left() {
	s.leaving = slices.DeleteFunc(s.leaving, func(v *service) bool {
		if v.e.OpenRequests() > 0 {
			return false
		}
		v.stop()
		v.gone = true
		v.e.Announce(decide.ListFull, nil) // no worker of it is asked for anything any more
		return true
	})
	if len(s.leaving) > 0 {
		s.loop.After(100*time.Millisecond, s.left)
	}
}

// inHand is how many requests of all services wait for their answer.
func (s *scheduler) inHand() int {
	n := 0
	for _, e := range s.engines() {
		n += e.OpenRequests()
	}
	return n
}

// serviceStats is a line of counters for each service, in order of names.
func (s *scheduler) serviceStats() string {
	var b strings.Builder
	var names []string
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		v := s.services[name]
		fmt.Fprintf(&b, "\n%s %s", v.line(name, v.jobs.Pool), &v.e.Counts)
	}
	return b.String()
}

// line is the counters of a service's account.
func (v *service) line(name string, p *pool.Pool) string {
	var c pool.Counts
	open := 0
	if p != nil {
		c, open = p.Counts, p.InFlight()
	}
	return fmt.Sprintf("service=%s open=%d begun=%d over_rate=%d over_fleet=%d over_open=%d over_bytes=%d over_shared=%d over_time=%d retries_denied=%d",
		name, open, c.Admitted, c.OverRate, c.OverFleet, c.OverInFlight, c.OverBytes, c.OverShared, c.OverTime, c.RetriesDenied)
}

// anyReady reports whether a service that the operator's file names has had a worker to serve with.
func (s *scheduler) anyReady() bool {
	for _, v := range s.services {
		if v.e.Ready() {
			return true
		}
	}
	return false
}
