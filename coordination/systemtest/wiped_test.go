package systemtest

import (
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"weldscale/coordination/sim/simtest"
)

const wipedRounds = 3

// playWiped has a change be chosen by two replicas of three, of which one is wiped and the other cut off. The third can't
// know the change, so that nothing may be answered from it and from a disk that has forgotten.
func playWiped(seed uint64, broken mistakes) (*site, error) {
	s := newSite(seed, broken)
	if err := s.form(); err != nil {
		return s, err
	}
	s.bootstrap = false
	for range wipedRounds {
		for _, act := range []func() error{s.forget, s.recovered} {
			if err := act(); err != nil {
				return s, err
			}
		}
	}
	return s, s.end()
}

func (s *site) forget() error {
	three := s.inSet()
	shuffle(s, three)
	late, wiped, kept := three[0].machine, three[1], three[2].machine
	s.world.Network().Isolate(late.Name())
	if err := s.acknowledge(); err != nil {
		return err
	}
	wiped.machine.Wipe()
	s.world.Network().Isolate(kept.Name())
	s.rejoin(late.Name())
	s.world.Network().Cut(kept.Name(), late.Name())
	s.world.Network().Cut(late.Name(), kept.Name())
	s.start(wiped)
	if err := s.run(outage); err != nil {
		return err
	}
	s.rejoin(kept.Name())
	return nil
}

// inSet returns the seats of the chosen set.
func (s *site) inSet() []*seat {
	set := s.checks.newest.Value
	return lo.Filter(s.cores(), func(seat *seat, _ int) bool { return set.HasReplica(seat.controller.node.id()) })
}

func shuffle(s *site, seats []*seat) {
	for i := len(seats) - 1; i > 0; i-- {
		j := s.world.IntN(i + 1)
		seats[i], seats[j] = seats[j], seats[i]
	}
}

func TestAWipedReplicaBreaksNothing(t *testing.T) {
	simtest.Run(t, simtest.Seeds{Fixed: 40, Fresh: 10}, func(t *testing.T, seed uint64) {
		_, err := playWiped(seed, mistakes{})
		require.NoError(t, err)
	})
}
