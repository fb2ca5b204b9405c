package main

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"log/slog"
	"maps"
	"math"
	"math/rand/v2"
	"os"
	"slices"
	"strings"
	"time"

	"weldscale/decide"
	operator "weldscale/internal/config"
	"weldscale/internal/engine"
	"weldscale/internal/evidence"
	"weldscale/internal/fleet"
	"weldscale/internal/pool"
	"weldscale/internal/share"
)

// This file ties a scheduler to its fleet: the link, and the budgets that its services' limits name. Without a fleet block
// nothing of it is made. Terms of a fleet hold from the start on; a reload leaves them as they are.

type fleetPart struct {
	conf     *operator.Fleet
	link     *fleet.Link
	budgets  *fleet.Budgets
	evidence *fleet.Evidence // nil: the file does not want it
}

// joinFleet makes a scheduler's part in its fleet; nil where the file names none.
func joinFleet(c *config) (*fleetPart, error) {
	f := c.file.Fleet
	if f == nil {
		return nil, nil
	}
	var key []byte
	if f.KeyFile != "" {
		var err error
		if key, err = os.ReadFile(f.KeyFile); err != nil {
			return nil, err
		}
		if n := len(key); n != 16 && n != 24 && n != 32 {
			return nil, fmt.Errorf("%s: %d bytes; allowed is a key of 16, 24 or 32", f.KeyFile, n)
		}
	}
	part := &fleetPart{conf: f}
	life := rand.Uint64()
	// The link takes messages from its first moment on, and the budgets send by it.
	part.budgets = fleet.NewBudgets(c.Name, life, func(to string, data []byte) error { return part.link.Send(to, data) })
	if f.Evidence {
		part.evidence = fleet.NewEvidence(c.Name, f.Zone, life, f.Members, func() *fleet.Link { return part.link })
	}
	take := func(from string, data []byte) (passOn bool) {
		if part.evidence != nil {
			if mine, news := part.evidence.HandleMessage(from, data); mine {
				return news
			}
		}
		part.budgets.HandleMessage(from, data)
		return false
	}
	joined := func() {
		if part.evidence != nil {
			part.evidence.ResendAll()
		}
	}
	link, err := fleet.Start(fleet.Config{Fleet: f.Name, Name: c.Name, Incarnation: life, Zone: f.Zone, Bind: f.Bind, Relay: f.Relay, Join: f.Join, Key: key,
		MaxMembers: f.Members, OnMessage: take, OnJoin: joined})
	if err != nil {
		return nil, err
	}
	part.link = link
	slog.Info("in a fleet", "fleet", f.Name, "name", c.Name, "bind", f.Bind, "keeper", slices.Contains(f.Keepers, c.Name))
	return part, nil
}

// weighEvery is how often the evidence on workers is weighed.
const weighEvery = 100 * time.Millisecond

// watch ties a service's engine to the evidence on its workers: what it sees goes into it, and whom it speaks against the
// module is told of as by peers; what follows stays its decision. It ends with the service.
func (p *fleetPart) watch(v *service, loop *engine.Loop) {
	if p == nil || p.evidence == nil {
		return
	}
	name := v.conf.Name
	v.e.OnOutcome = func(worker string, job bool, s decide.Status) {
		switch {
		case s == decide.Served && job:
			p.evidence.Record(name, worker, evidence.Succeeded)
		case s == decide.Error && job || s == decide.Reset && job:
			p.evidence.Record(name, worker, evidence.Failed)
		case s == decide.TimedOut && job:
			p.evidence.Record(name, worker, evidence.TimedOut)
		case s == decide.TimedOut || s == decide.ConnectFailed:
			p.evidence.Record(name, worker, evidence.Unreachable)
		}
	}
	var weigh func()
	weigh = func() {
		if v.gone {
			return
		}
		for _, worker := range p.evidence.Tick(name, v.e.ReadyWorkers()) {
			v.e.AddPeerEvidence(worker)
		}
		loop.After(weighEvery, weigh)
	}
	loop.After(weighEvery, weigh)
}

// leastChunks is how many pieces of a budget there are for each member, so that an even part can be had nearly whole.
const leastChunks = 8

// terms are those of a budget of that kind.
func (p *fleetPart) terms(k pool.FleetKind, budget float64) share.Config {
	f := p.conf
	c := share.Config{Budget: budget, Floor: f.Floor * budget / float64(f.Members), MaxMembers: f.Members, Voters: f.Keepers,
		Chunks: min(fleet.MaxChunks, leastChunks*f.Members), LeaseDuration: time.Duration(f.Term) * time.Microsecond, Drift: f.ClockDrift, Burst: f.Burst}
	if k == pool.FleetInFlight {
		c.Burst, c.MaxUse = 0, time.Duration(f.MaxHoldTime)*time.Microsecond
	}
	return c
}

// share gives a service's pool its parts of what its limits name. A budget begins with its first service and stays: what it
// has given out must not be given again.
func (p *fleetPart) share(conf operator.Service, to *pool.Pool) error {
	limits := append([]pool.Limits{conf.Limits}, conf.ClassLimits()...)
	if p == nil {
		if slices.ContainsFunc(limits, func(l pool.Limits) bool { return max(l.FleetRate, l.FleetInFlight, l.FleetRetries) > 0 }) {
			return errors.New("the fleet block came with a reload: it needs a restart, and until then the fleet's limits are not kept")
		}
		return nil
	}
	type key struct {
		k     pool.FleetKind
		class int
	}
	names := map[key]string{}
	var err error
	for i, l := range limits {
		name := conf.Name
		if i > 0 {
			name += "/" + conf.Classes[i-1].Name
		}
		for k, of := range []struct {
			suffix string
			budget float64
		}{{"", l.FleetRate}, {" open", l.FleetInFlight}, {" retries", l.FleetRetries}} {
			if of.budget <= 0 || math.IsInf(of.budget, 0) {
				continue
			}
			names[key{pool.FleetKind(k), i - 1}] = name + of.suffix
			if _, known := p.budgets.Status()[name+of.suffix]; !known {
				err = cmp.Or(err, p.budgets.Add(name+of.suffix, p.terms(pool.FleetKind(k), of.budget)))
			}
			if pool.FleetKind(k) == pool.FleetInFlight {
				to.MaxHoldTime = pool.Time(p.conf.MaxHoldTime)
			}
		}
	}
	to.TakeFleet = func(k pool.FleetKind, class int) bool {
		name, ok := names[key{k, class}]
		return !ok || p.budgets.Spend(name, 1)
	}
	to.ReturnFleet = func(class int) { p.budgets.Return(names[key{pool.FleetInFlight, class}], 1) }
	return err
}

// close leaves the fleet.
func (p *fleetPart) close() {
	if p != nil {
		p.budgets.Stop()
		p.link.Stop()
	}
}

// text is what an operator is shown.
func (p *fleetPart) text() string {
	if p == nil {
		return "this scheduler is in no fleet: its file has no fleet block\n"
	}
	var b strings.Builder
	c := p.link.Counts()
	fmt.Fprintf(&b, "fleet=%s sent=%d taken=%d bad=%d too_many=%d stranger=%d\n", p.conf.Name, c.Sent, c.Received, c.Malformed, c.OverLimit, c.UnknownSender)
	w := p.link.Traffic()
	fmt.Fprintf(&b, "wire bytes_in=%d bytes_out=%d dropped_in=%d dropped_out=%d\n", w.BytesIn, w.BytesOut, w.DroppedIn, w.DroppedOut)
	for _, m := range p.link.Members() {
		fmt.Fprintf(&b, "member=%s zone=%q address=%s life=%x heard_ms=%d\n", m.Name, m.Zone, m.Address, m.Incarnation, m.LastMessageAge.Milliseconds())
	}
	if p.evidence != nil {
		names, bad := p.evidence.Suspects()
		fmt.Fprintf(&b, "evidence against=%s bad=%d\n", strings.Join(names, ","), bad)
	}
	all := p.budgets.Status()
	for _, name := range slices.Sorted(maps.Keys(all)) {
		s := all[name]
		fmt.Fprintf(&b, "budget=%q part=%.3f floor=%.3f of=%.3f spent=%.0f denied=%d bad=%d keeper=%v\n", name, s.Share, s.Floor, s.Budget,
			s.Spent, s.Denied, s.Malformed, s.Voter)
	}
	return b.String()
}

type fleetCmd struct{ remote }

// Run implements the command.
func (c fleetCmd) Run(ctx context.Context) error { return c.call(ctx, "GET", "/fleet") }
