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

// This file creates, updates and removes the services that the operator's file names. New services are built completely
// before anything changes. A service that is removed or replaced is closed once its last request has been answered. Requests
// are not handled here.

// service is a running service of the operator's file.
type service struct {
	conf      operator.Service
	jobs      *jobs.Service
	engine    *engine.Engine
	share     *pool.Share     // of the requests in flight of all services
	timeShare *pool.TimeShare // of the loop's time
	overlay   *jobs.Overlay
	dialer    *net.Dialer    // for connections to workers
	list      *member.Static // the workers, unless they come from discovery
	stop      func()         // stops updates of the worker list
	closed    bool           // set once it has drained
}

// serviceReports parses the load reports of the services in the operator's file. The fields are those of the protocol, in the
// order in which workers are asked for them.
var serviceReports = &jobs.LoadReportParser{Fields: []string{"inflight", "util", "x0"}, Make: func(v []float32) (r decide.Report) {
	for i, f := range []struct {
		has decide.Fields
		to  *float64
	}{{decide.HasInFlight, &r.InFlight}, {decide.HasUtil, &r.Util}, {decide.HasFreeSlots, &r.FreeSlots}} {
		if v[i] == v[i] { // missing values are NaN
			r.Has |= f.has
			*f.to = float64(v[i])
		}
	}
	return r
}}

// buildService creates a service that serves no requests yet. startService fetches its workers.
func (s *scheduler) buildService(conf operator.Service) (*service, error) {
	serviceEngine, err := engine.New(s.loop, engine.Config{Settings: conf.Settings(), Seed: s.config.engine.Seed})
	if err != nil {
		return nil, fmt.Errorf("service %q: %w", conf.Name, err)
	}
	dialer := s.driver.Dialer(conf.Connections)
	built := &service{conf: conf, engine: serviceEngine, dialer: dialer, jobs: jobs.NewService(conf.Name, serviceEngine, conf.ClassNames()), stop: func() {}}
	built.overlay = jobs.NewOverlay(serviceEngine)
	workers := &jobs.Workers{Engine: serviceEngine, Dialer: dialer, Reports: serviceReports, Host: conf.Name, Service: conf.Name, Pace: s.config.file.Workers, RetainResponses: s.config.listenFD >= 0}
	built.jobs.Workers = workers
	switch {
	case conf.Discovery != "":
		d := &jobs.Discovery{Engine: serviceEngine, Dialer: s.driver, Addr: conf.Discovery, Service: conf.Name}
		serviceEngine.SetBackends(workers, d)
		built.stop = d.Close
	case conf.File != "":
		f, err := member.WatchFile(serviceEngine, conf.Name, conf.File, operator.ListSettleTime)
		if err != nil {
			return nil, fmt.Errorf("service %q: %w", conf.Name, err)
		}
		serviceEngine.SetBackends(workers, f)
		built.list, built.stop = &f.Static, f.Close
	default:
		built.list = &member.Static{Engine: serviceEngine}
		serviceEngine.SetBackends(workers, built.list)
	}
	return built, nil
}

// listEntries returns the worker list of a service's block.
func listEntries(conf operator.Service) (out []engine.Entry) {
	for _, w := range conf.Workers {
		out = append(out, engine.Entry{Name: w.Name, Addr: w.Address, State: decide.Ready, Weight: 1})
	}
	return out
}

// startService allocates the service's shares of the common limits and fetches its workers.
func (s *scheduler) startService(v *service) {
	v.overlay.RestoreOffline(s.offlineWorkers()) // offline workers are offline in a new service too
	v.share, v.timeShare = s.inFlightBudget.Share(v.conf.Reserve), s.timeBudget.Share(s.loop.Now(), v.conf.Weight)
	p := pool.New(v.conf.Name, v.conf.Limits, v.conf.ClassLimits(), v.share, v.timeShare)
	if err := s.fleet.share(v.conf, p); err != nil { // the limits themselves were checked with the file
		slog.Error("no part of the fleet's limits", "service", v.conf.Name, "why", err)
	}
	s.attachPool(v.jobs, v.engine, p, v.timeShare)
	s.fleet.watch(v, s.loop)
	if s.metrics != nil {
		v.engine.Meter = s.metrics.Service(v.conf.Name, v.conf.ClassNames(), engine.StatusNames[:])
	}
	switch {
	case v.conf.Discovery != "":
		v.engine.Announce(decide.ListCached, nil) // from now on the dispatcher requests the list
	case v.conf.File != "":
		v.list.Reload()
	default:
		v.list.Set(listEntries(v.conf))
	}
}

// attachPool makes a service and its engine charge their use to a pool and a share of the loop's time.
func (s *scheduler) attachPool(v *jobs.Service, e *engine.Engine, p *pool.Pool, timeShare *pool.TimeShare) {
	v.Pool = p
	e.MayRetry = func(class int) bool { return p.AdmitRetry(s.loop.Now(), class) }
	e.OnBusy = func(span time.Duration) { timeShare.Charge(s.loop.Now(), span.Microseconds()) }
}

// applyServices puts the services of an operator's file in force. It builds all new services first, and if one of them
// fails, nothing changes. A service whose worker source and classes are unchanged continues with its new limits; the others
// are replaced. Open requests finish in the service that accepted them.
func (s *scheduler) applyServices(file operator.File) error {
	next := map[string]*service{}
	var built []*service
	var errs []error
	for _, conf := range file.Services {
		if old := s.services[conf.Name]; old != nil && old.conf.Compatible(&conf) {
			next[conf.Name] = old
			continue
		}
		created, err := s.buildService(conf)
		if err != nil {
			errs = append(errs, err)
			continue
		}
		next[conf.Name] = created
		built = append(built, created)
	}
	if len(errs) > 0 {
		for _, v := range built {
			v.stop()
		}
		return errors.Join(errs...)
	}
	// An open request uses the descriptor of its client's connection and more for its attempt and probes.
	total := cmp.Or(file.InFlight, s.config.Limits.Sockets/3)
	if s.inFlightBudget == nil {
		s.inFlightBudget = pool.NewBudget(total)
	}
	s.inFlightBudget.SetTotal(total)
	for name, old := range s.services {
		if next[name] != old {
			s.draining = append(s.draining, old)
			old.share.SetReserve(0)
			old.timeShare.Close()
		}
	}
	for _, conf := range file.Services {
		current := next[conf.Name]
		if slices.Contains(built, current) {
			s.startService(current)
			continue
		}
		current.jobs.Pool.SetLimits(conf.Limits, conf.ClassLimits())
		current.share.SetReserve(conf.Reserve)
		current.timeShare.SetWeight(conf.Weight)
		current.dialer.SetLimit(conf.Connections)
		if conf.File == "" && conf.Discovery == "" && !slices.Equal(conf.Workers, current.conf.Workers) {
			current.list.Set(listEntries(conf))
		}
		current.conf = conf
	}
	s.services = next
	s.setRoutes(file)
	s.closeDrained()
	return nil
}

// setRoutes replaces the routing table.
func (s *scheduler) setRoutes(file operator.File) {
	if len(file.Services) == 0 {
		s.server.Route = nil // every request goes to the platform's service
		return
	}
	if main := s.server.Main; main.Pool == nil {
		timeShare := s.timeBudget.Share(s.loop.Now(), 1)
		s.attachPool(main, s.engine, pool.New("", pool.Limits{}, make([]pool.Limits, len(main.Classes)), s.inFlightBudget.Share(0), timeShare), timeShare)
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

// closeDrained closes draining services without open requests, and reschedules itself while others remain.
func (s *scheduler) closeDrained() {
	s.draining = slices.DeleteFunc(s.draining, func(v *service) bool {
		if v.engine.OpenRequests() > 0 {
			return false
		}
		v.stop()
		v.closed = true
		v.engine.Announce(decide.ListFull, nil) // an empty list stops probes of its workers
		return true
	})
	if len(s.draining) > 0 {
		s.loop.After(100*time.Millisecond, s.closeDrained)
	}
}

// openRequests returns the number of requests of all services without a final answer.
func (s *scheduler) openRequests() int {
	n := 0
	for _, e := range s.engines() {
		n += e.OpenRequests()
	}
	return n
}

// serviceStats returns a line of counters for each service, sorted by name.
func (s *scheduler) serviceStats() string {
	var b strings.Builder
	var names []string
	for name := range s.services {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		v := s.services[name]
		fmt.Fprintf(&b, "\n%s %s", v.line(name, v.jobs.Pool), &v.engine.Counts)
	}
	return b.String()
}

// line formats the counters of a service's pool. A nil pool counts as empty.
func (v *service) line(name string, p *pool.Pool) string {
	var c pool.Counts
	open := 0
	if p != nil {
		c, open = p.Counts, p.InFlight()
	}
	return fmt.Sprintf("service=%s open=%d begun=%d over_rate=%d over_fleet=%d over_open=%d over_bytes=%d over_shared=%d over_time=%d retries_denied=%d",
		name, open, c.Admitted, c.OverRate, c.OverFleet, c.OverInFlight, c.OverBytes, c.OverShared, c.OverTime, c.RetriesDenied)
}

// anyReady reports whether any service of the operator's file has ever had a ready worker.
func (s *scheduler) anyReady() bool {
	for _, v := range s.services {
		if v.engine.Ready() {
			return true
		}
	}
	return false
}
