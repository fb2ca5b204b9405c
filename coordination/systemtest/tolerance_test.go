package systemtest

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"weldscale/coordination/sim"
	"weldscale/coordination/sim/simtest"
)

const (
	toleranceRounds = 6
	outage          = 3 * time.Second
)

// loss is a trouble that has to be borne from a site in order: while it lasts, changes are acknowledged in time and reach all
// frontends, and once it is over all is in order again in time.
type loss struct {
	name  string
	begin func(s *site, hit *seat) (over func())
	all   bool // all controllers are down for a moment
}

// losses are what may befall one of the controllers, or all of them at once without one disk more than that of one.
var losses = []loss{
	{name: "killed", begin: func(s *site, hit *seat) func() {
		hit.machine.Kill()
		return func() { s.start(hit) }
	}},
	{name: "without power", begin: func(s *site, hit *seat) func() {
		hit.machine.LosePower()
		return func() { s.start(hit) }
	}},
	{name: "disk lost", begin: func(s *site, hit *seat) func() {
		hit.machine.Wipe()
		return func() { s.start(hit) }
	}},
	{name: "replaced at another address", begin: func(s *site, hit *seat) func() {
		s.replace(hit)
		return func() {}
	}},
	{name: "frozen", begin: func(_ *site, hit *seat) func() {
		hit.machine.Freeze()
		return hit.machine.Thaw
	}},
	{name: "cut off", begin: func(s *site, hit *seat) func() {
		s.world.Network().Isolate(hit.machine.Name())
		return func() { s.rejoin(hit.machine.Name()) }
	}},
	{name: "not heard", begin: func(s *site, hit *seat) func() {
		for _, other := range s.seats {
			s.world.Network().Cut(hit.machine.Name(), other.machine.Name())
		}
		return func() { s.rejoin(hit.machine.Name()) }
	}},
	{name: "disk full", begin: func(_ *site, hit *seat) func() {
		hit.machine.Disk().Files().Full = true
		return hit.machine.Disk().ClearFaults
	}},
	{name: "disk hangs", begin: func(_ *site, hit *seat) func() {
		hit.machine.Disk().Stall()
		return hit.machine.Disk().ClearFaults
	}},
	{name: "disk fails", begin: func(_ *site, hit *seat) func() {
		hit.machine.Disk().Files().FailSyncs = true
		return hit.machine.Disk().ClearFaults
	}},
	{name: "all killed", all: true, begin: func(s *site, _ *seat) func() {
		lo.ForEach(s.cores(), func(seat *seat, _ int) { seat.machine.Kill() })
		return s.startAll
	}},
	{name: "all without power", all: true, begin: func(s *site, _ *seat) func() {
		lo.ForEach(s.cores(), func(seat *seat, _ int) { seat.machine.LosePower() })
		return s.startAll
	}},
	{name: "all without power, one disk lost", all: true, begin: func(s *site, hit *seat) func() {
		lo.ForEach(s.cores(), func(seat *seat, _ int) { seat.machine.LosePower() })
		hit.machine.Wipe()
		return s.startAll
	}},
}

func (s *site) startAll() {
	for _, seat := range s.cores() {
		s.world.After(s.world.Between(0, startWithin), func() { s.start(seat) })
	}
}

// bear has a loss befall the site, right after a change was acknowledged or at any time.
func (s *site) bear(l loss) error {
	hit := s.cores()[s.world.IntN(len(s.cores()))]
	afterChange := s.world.Chance(0.5)
	if afterChange {
		if err := s.acknowledge(); err != nil {
			return err
		}
	}
	over := l.begin(s, hit)
	if !l.all {
		if err := s.serveOn(afterChange); err != nil {
			return err
		}
	}
	over()
	if err := s.reach(catchUpWithin+startWithin, "formed again", s.formed); err != nil {
		return err
	}
	s.checks.acknowledgedSurvive()
	return s.verdict()
}

// serveOn checks that the others do the work while one is lost: what was acknowledged just before spreads, and changes are
// made.
func (s *site) serveOn(afterChange bool) error {
	if afterChange {
		if err := s.spread(s.frontends()); err != nil {
			return err
		}
	}
	if err := s.change(ackWithin, s.frontends()); err != nil {
		return err
	}
	return s.run(s.world.Between(0, outage))
}

// acknowledge makes a change and goes on at the moment of its acknowledgement.
func (s *site) acknowledge() error {
	acked := false
	s.ask(s.nextID(), 4, func(reply clientReply) { acked = reply.Error == nil })
	return s.reach(ackWithin, "an acknowledgement", func() bool { return acked })
}

// playLosses has a site bear one loss after the other.
func playLosses(seed uint64, broken mistakes, losses []loss) (*site, error) {
	s := newSite(seed, broken)
	s.asked = s.world.IntN(maxOperations) // the operator falls silent at some time
	s.world.Network().SetDefaultLink(sim.Link{MinDelay: 200 * time.Microsecond, MaxDelay: s.world.Between(time.Millisecond, 10*time.Millisecond)})
	if err := s.form(); err != nil {
		return s, err
	}
	s.bootstrap = false
	if err := s.recovered(); err != nil {
		return s, err
	}
	for range toleranceRounds {
		l := losses[s.world.IntN(len(losses))]
		if err := s.bear(l); err != nil {
			return s, errorIn(l.name, err)
		}
	}
	if err := s.recovered(); err != nil {
		return s, err
	}
	return s, s.end()
}

func TestASiteBearsTheLossOfAnyController(t *testing.T) {
	simtest.Run(t, simtest.Seeds{Fixed: 60, Fresh: 20}, func(t *testing.T, seed uint64) {
		_, err := playLosses(seed, mistakes{}, losses)
		require.NoError(t, err)
	})
}
