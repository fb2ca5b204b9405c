package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	// joinIntervals is enough for all to have learnt of all, and noticeIntervals for a death to be known to all.
	joinIntervals   = 60
	noticeIntervals = deadIntervals + 12
)

func TestAFleetLearnsOfAllAndKillsNobody(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, rapid.IntRange(2, 14).Draw(t, "fleet"))
		s.run(joinIntervals, nil)
		s.requireAgreement(t, "after joining")
		s.run(20, func() { s.requireAgreement(t, "in quiet") })
	})
}

func TestTheDeadAreNoticedWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(4, 14).Draw(t, "fleet")
		s := drawSimulation(t, fleet)
		s.run(joinIntervals, nil)
		victims := rapid.IntRange(1, fleet-3).Draw(t, "victims")
		for _, node := range s.nodes[:victims] {
			node.down = true
		}
		s.run(deadIntervals+2, nil)
		if victims < DefaultMonitors {
			s.requireNoticed(t, s.nodes[:victims])
		}
		// Those whose monitors died with them are noticed by the questions in turn.
		s.run(fleet+noticeIntervals, nil)
		s.requireAgreement(t, "after the deaths")
	})
}

// TestAGroupThatMonitoredOnlyItselfIsNoticed has most of a larger fleet die at once: then some of the dead have only dead
// monitors, in whatever way others take the places of those known to be dead.
func TestAGroupThatMonitoredOnlyItselfIsNoticed(t *testing.T) {
	const fleet, victims = 28, 25
	for seed := range uint64(5) {
		s := newSimulation(seed, fleet)
		s.run(joinIntervals, nil)
		for _, node := range s.nodes[:victims] {
			node.down = true
		}
		s.run(fleet+noticeIntervals, nil)
		require.Empty(t, s.disagreement())
	}
}

// requireNoticed demands that some running member holds each victim for dead.
func (s *simulation) requireNoticed(t *rapid.T, victims []*simulated) {
	for _, victim := range victims {
		noticed := false
		for _, node := range s.nodes {
			known, _ := node.detector.StateOf(victim.member.Name)
			noticed = noticed || (!node.down && known.State == StateDead)
		}
		if !noticed {
			t.Fatalf("nobody noticed the death of %s", victim.member.Name)
		}
	}
}

func TestAFrozenMemberReturnsInAHigherIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, rapid.IntRange(4, 14).Draw(t, "fleet"))
		s.run(joinIntervals, nil)
		before := s.nodes[0].detector.Incarnation()
		s.nodes[0].frozen = true
		s.run(2*noticeIntervals, nil)
		s.requireAgreement(t, "while it is frozen")
		s.nodes[0].frozen = false
		s.run(noticeIntervals, nil)
		s.requireAgreement(t, "after its return")
		if s.nodes[0].detector.Incarnation() <= before {
			t.Fatal("the same incarnation")
		}
	})
}

func TestAMemberThatWasCutOffReturns(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, rapid.IntRange(4, 14).Draw(t, "fleet"))
		s.run(joinIntervals, nil)
		s.nodes[0].side = 1
		s.run(2*noticeIntervals, nil)
		for _, node := range s.nodes[1:] {
			known, _ := s.nodes[0].detector.StateOf(node.member.Name)
			if known.State == StateDead {
				t.Fatal("a member that hears nobody holds others for dead")
			}
		}
		s.nodes[0].side = 0
		s.run(2*noticeIntervals, nil)
		s.requireAgreement(t, "after its return")
	})
}

func TestHalvesOfAFleetFindEachOtherAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(6, 14).Draw(t, "fleet")
		s := drawSimulation(t, fleet)
		s.run(joinIntervals, nil)
		for _, node := range s.nodes[:fleet/2] {
			node.side = 1
		}
		s.run(4*noticeIntervals, nil)
		for _, node := range s.nodes {
			node.side = 0
		}
		s.run(joinIntervals, nil)
		s.requireAgreement(t, "after the cut")
	})
}

func TestARestartedMemberIsTakenUpAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, rapid.IntRange(3, 14).Draw(t, "fleet"))
		s.run(joinIntervals, nil)
		node := s.nodes[0]
		node.down = true
		s.run(rapid.IntRange(0, 2*noticeIntervals).Draw(t, "down"), nil)
		node.down = false
		node.detector = NewDetector(Options{Self: node.member, Interval: interval})
		node.detector.AddMembers(s.now, []Member{s.nodes[1].member})
		s.run(joinIntervals, nil)
		s.requireAgreement(t, "after its restart")
	})
}

func TestLostDatagramsLeaveNoHarm(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, rapid.IntRange(3, 14).Draw(t, "fleet"))
		s.loss = 0.1
		s.run(joinIntervals, nil)
		s.loss = 0
		s.run(joinIntervals, nil)
		s.requireAgreement(t, "after the loss")
	})
}

// TestMessagesDoNotGrowWithTheFleet counts what a member sends of its own accord: heartbeats to its monitors, one question in
// turn, and in quiet nothing else.
func TestMessagesDoNotGrowWithTheFleet(t *testing.T) {
	for _, fleet := range []int{5, 20, 60} {
		s := newSimulation(uint64(fleet), fleet)
		s.run(2*joinIntervals, nil)
		s.run(10, func() {
			for _, node := range s.nodes {
				require.LessOrEqual(t, node.sent-node.received, DefaultMonitors+1, "in a fleet of %d", fleet)
			}
		})
	}
}

func TestAMessageFitsIntoADatagram(t *testing.T) {
	now := time.Now()
	detector := NewDetector(Options{Self: Member{Name: "frontend-hall-offset-1", Address: "10.101.102.103:17720"}})
	for _, name := range namesOf(200) {
		detector.AddMembers(now, []Member{{Name: name + "-of-a-long-name", Address: "10.101.102.103:17720"}})
	}
	for _, envelope := range detector.Tick(now) {
		body, err := encode(&envelope.Message)
		require.NoError(t, err)
		require.LessOrEqual(t, len(body), maxDatagram)
	}
}
