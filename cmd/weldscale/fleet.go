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

// This file connects a scheduler to its fleet: the link to the other members, the shared budgets of its services and the
// shared evidence about workers. Without a fleet block none of it is created. The fleet's settings are fixed at the start; a
// reload does not change them.

// fleetMember is the scheduler's membership in a fleet. A nil *fleetMember is a scheduler without a fleet.
type fleetMember struct {
	conf     *operator.Fleet
	link     *fleet.Link
	budgets  *fleet.Budgets
	evidence *fleet.Evidence // nil if the file does not enable it
}

// newFleetMember joins the fleet of the operator's file. It returns nil if the file has no fleet block.
func newFleetMember(c *config) (*fleetMember, error) {
	conf := c.file.Fleet
	if conf == nil {
		return nil, nil
	}
	var key []byte
	if conf.KeyFile != "" {
		var err error
		if key, err = os.ReadFile(conf.KeyFile); err != nil {
			return nil, err
		}
		if n := len(key); n != 16 && n != 24 && n != 32 {
			return nil, fmt.Errorf("%s: the key has %d bytes; allowed are 16, 24 or 32", conf.KeyFile, n)
		}
	}
	member := &fleetMember{conf: conf}
	incarnation := rand.Uint64()
	// The link delivers messages as soon as it has started, and the budgets send through it. So the budgets are created first.
	member.budgets = fleet.NewBudgets(c.Name, incarnation, func(to string, data []byte) error { return member.link.Send(to, data) })
	if conf.Evidence {
		member.evidence = fleet.NewEvidence(c.Name, conf.Zone, incarnation, conf.Members, func() *fleet.Link { return member.link })
	}
	receive := func(from string, data []byte) (relay bool) {
		if member.evidence != nil {
			if isEvidence, isNew := member.evidence.HandleMessage(from, data); isEvidence {
				return isNew
			}
		}
		member.budgets.HandleMessage(from, data)
		return false
	}
	joined := func() {
		if member.evidence != nil {
			member.evidence.ResendAll()
		}
	}
	link, err := fleet.Start(fleet.Config{Fleet: conf.Name, Name: c.Name, Incarnation: incarnation, Zone: conf.Zone, Bind: conf.Bind, Relay: conf.Relay, Join: conf.Join, Key: key,
		MaxMembers: conf.Members, OnMessage: receive, OnJoin: joined})
	if err != nil {
		return nil, err
	}
	member.link = link
	slog.Info("in a fleet", "fleet", conf.Name, "name", c.Name, "bind", conf.Bind, "keeper", slices.Contains(conf.Keepers, c.Name))
	return member, nil
}

// evidenceInterval is the time between evaluations of the evidence about workers.
const evidenceInterval = 100 * time.Millisecond

// watch connects a service's engine to the evidence about its workers. Outcomes of the engine are added to the evidence, and
// workers with enough evidence against them are reported to the dispatcher as peer evidence. The dispatcher decides whether
// to avoid them. The evaluation ends when the service is closed.
func (m *fleetMember) watch(v *service, loop *engine.Loop) {
	if m == nil || m.evidence == nil {
		return
	}
	name := v.conf.Name
	v.engine.OnOutcome = func(worker string, job bool, s decide.Status) {
		switch {
		case s == decide.Served && job:
			m.evidence.Record(name, worker, evidence.Succeeded)
		case s == decide.Error && job || s == decide.Reset && job:
			m.evidence.Record(name, worker, evidence.Failed)
		case s == decide.TimedOut && job:
			m.evidence.Record(name, worker, evidence.TimedOut)
		case s == decide.TimedOut || s == decide.ConnectFailed:
			m.evidence.Record(name, worker, evidence.Unreachable)
		}
	}
	var evaluate func()
	evaluate = func() {
		if v.closed {
			return
		}
		for _, worker := range m.evidence.Tick(name, v.engine.ReadyWorkers()) {
			v.engine.AddPeerEvidence(worker)
		}
		loop.After(evidenceInterval, evaluate)
	}
	loop.After(evidenceInterval, evaluate)
}

// chunksPerMember is the number of chunks of a budget per member, so that an even share can be allocated almost completely.
const chunksPerMember = 8

// shareConfig returns the configuration of a budget of kind k.
func (m *fleetMember) shareConfig(k pool.FleetKind, budget float64) share.Config {
	f := m.conf
	c := share.Config{Budget: budget, Floor: f.Floor * budget / float64(f.Members), MaxMembers: f.Members, Voters: f.Keepers,
		Chunks: min(fleet.MaxChunks, chunksPerMember*f.Members), LeaseDuration: time.Duration(f.Term) * time.Microsecond, Drift: f.ClockDrift, Burst: f.Burst}
	if k == pool.FleetInFlight {
		c.Burst, c.MaxUse = 0, time.Duration(f.MaxHoldTime)*time.Microsecond
	}
	return c
}

// share connects a service's pool to the fleet's budgets that its limits name. A budget is created with the first service that
// uses it and is never removed, because grants that it has issued must not be issued again.
func (m *fleetMember) share(conf operator.Service, to *pool.Pool) error {
	limits := append([]pool.Limits{conf.Limits}, conf.ClassLimits()...)
	if m == nil {
		if slices.ContainsFunc(limits, func(l pool.Limits) bool { return max(l.FleetRate, l.FleetInFlight, l.FleetRetries) > 0 }) {
			return errors.New("the fleet block was added by a reload and takes effect after a restart; until then the fleet's limits are not enforced")
		}
		return nil
	}
	type key struct {
		kind  pool.FleetKind
		class int
	}
	names := map[key]string{}
	var err error
	for i, l := range limits {
		name := conf.Name
		if i > 0 {
			name += "/" + conf.Classes[i-1].Name
		}
		for k, limit := range []struct {
			suffix string
			budget float64
		}{{"", l.FleetRate}, {" open", l.FleetInFlight}, {" retries", l.FleetRetries}} {
			if limit.budget <= 0 || math.IsInf(limit.budget, 0) {
				continue
			}
			names[key{pool.FleetKind(k), i - 1}] = name + limit.suffix
			if _, known := m.budgets.Status()[name+limit.suffix]; !known {
				err = cmp.Or(err, m.budgets.Add(name+limit.suffix, m.shareConfig(pool.FleetKind(k), limit.budget)))
			}
			if pool.FleetKind(k) == pool.FleetInFlight {
				to.MaxHoldTime = pool.Time(m.conf.MaxHoldTime)
			}
		}
	}
	to.TakeFleet = func(k pool.FleetKind, class int) bool {
		name, ok := names[key{k, class}]
		return !ok || m.budgets.Spend(name, 1)
	}
	to.ReturnFleet = func(class int) { m.budgets.Return(names[key{pool.FleetInFlight, class}], 1) }
	return err
}

// close stops the budgets and leaves the fleet.
func (m *fleetMember) close() {
	if m != nil {
		m.budgets.Stop()
		m.link.Stop()
	}
}

// text returns the state of the membership and the budgets, for the fleet command.
func (m *fleetMember) text() string {
	if m == nil {
		return "this scheduler is in no fleet: its file has no fleet block\n"
	}
	var b strings.Builder
	c := m.link.Counts()
	fmt.Fprintf(&b, "fleet=%s sent=%d taken=%d bad=%d too_many=%d stranger=%d\n", m.conf.Name, c.Sent, c.Received, c.Malformed, c.OverLimit, c.UnknownSender)
	w := m.link.Traffic()
	fmt.Fprintf(&b, "wire bytes_in=%d bytes_out=%d dropped_in=%d dropped_out=%d\n", w.BytesIn, w.BytesOut, w.DroppedIn, w.DroppedOut)
	for _, member := range m.link.Members() {
		fmt.Fprintf(&b, "member=%s zone=%q address=%s life=%x heard_ms=%d\n", member.Name, member.Zone, member.Address, member.Incarnation,
			member.LastMessageAge.Milliseconds())
	}
	if m.evidence != nil {
		names, bad := m.evidence.Suspects()
		fmt.Fprintf(&b, "evidence against=%s bad=%d\n", strings.Join(names, ","), bad)
	}
	all := m.budgets.Status()
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
