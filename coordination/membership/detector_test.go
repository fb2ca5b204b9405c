package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	// joinIntervals is enough for every member to learn of all others, and detectIntervals for a death to become known to all.
	joinIntervals   = 60
	detectIntervals = deadIntervals + 12
)

func TestFleetConvergesWithoutFalsePositives(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, rapid.IntRange(2, 14).Draw(t, "fleet"))
		s.run(joinIntervals, nil)
		s.requireAgreement(t, "after joining")
		s.run(20, func() { s.requireAgreement(t, "without faults") })
	})
}

func TestDeadMembersAreDetectedInTime(t *testing.T) {
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
			s.requireDetected(t, s.nodes[:victims])
		}
		// Members whose monitors died with them are detected by the rotating probes.
		s.run(fleet+detectIntervals, nil)
		s.requireAgreement(t, "after the deaths")
	})
}

// TestMembersWithOnlyDeadMonitorsAreDetected stops most of a larger fleet at once. Some of the dead members then have only dead
// monitors, even after other members have replaced the monitors that are known to be dead.
func TestMembersWithOnlyDeadMonitorsAreDetected(t *testing.T) {
	const fleet, victims = 28, 25
	for seed := range uint64(5) {
		s := newSimulation(seed, fleet)
		s.run(joinIntervals, nil)
		for _, node := range s.nodes[:victims] {
			node.down = true
		}
		s.run(fleet+detectIntervals, nil)
		require.Empty(t, s.disagreement())
	}
}

// requireDetected fails the test unless at least one running member has declared each victim dead.
func (s *simulation) requireDetected(t *rapid.T, victims []*simulatedNode) {
	for _, victim := range victims {
		detected := false
		for _, node := range s.nodes {
			known, _ := node.detector.StateOf(victim.member.Name)
			detected = detected || (!node.down && known.State == StateDead)
		}
		if !detected {
			t.Fatalf("no member detected the death of %s", victim.member.Name)
		}
	}
}

func TestSuspendedMemberReturnsInHigherIncarnation(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, rapid.IntRange(4, 14).Draw(t, "fleet"))
		s.run(joinIntervals, nil)
		before := s.nodes[0].detector.Incarnation()
		s.nodes[0].suspended = true
		s.run(2*detectIntervals, nil)
		s.requireAgreement(t, "while the member is suspended")
		s.nodes[0].suspended = false
		s.run(detectIntervals, nil)
		s.requireAgreement(t, "after the member returned")
		if s.nodes[0].detector.Incarnation() <= before {
			t.Fatal("the member returned in the same incarnation")
		}
	})
}

func TestIsolatedMemberRejoins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, rapid.IntRange(4, 14).Draw(t, "fleet"))
		s.run(joinIntervals, nil)
		s.nodes[0].partition = 1
		s.run(2*detectIntervals, nil)
		for _, node := range s.nodes[1:] {
			known, _ := s.nodes[0].detector.StateOf(node.member.Name)
			if known.State == StateDead {
				t.Fatal("an isolated member declared another member dead")
			}
		}
		s.nodes[0].partition = 0
		s.run(2*detectIntervals, nil)
		s.requireAgreement(t, "after the member returned")
	})
}

func TestPartitionedHalvesMerge(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		fleet := rapid.IntRange(6, 14).Draw(t, "fleet")
		s := drawSimulation(t, fleet)
		s.run(joinIntervals, nil)
		for _, node := range s.nodes[:fleet/2] {
			node.partition = 1
		}
		s.run(4*detectIntervals, nil)
		for _, node := range s.nodes {
			node.partition = 0
		}
		s.run(joinIntervals, nil)
		s.requireAgreement(t, "after the partition healed")
	})
}

func TestRestartedMemberRejoins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, rapid.IntRange(3, 14).Draw(t, "fleet"))
		s.run(joinIntervals, nil)
		node := s.nodes[0]
		node.down = true
		s.run(rapid.IntRange(0, 2*detectIntervals).Draw(t, "down"), nil)
		node.down = false
		node.detector = NewDetector(Options{Self: node.member, Interval: interval})
		node.detector.AddMembers(s.now, []Member{s.nodes[1].member})
		s.run(joinIntervals, nil)
		s.requireAgreement(t, "after the restart")
	})
}

func TestFleetConvergesAfterDatagramLoss(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSimulation(t, rapid.IntRange(3, 14).Draw(t, "fleet"))
		s.loss = 0.1
		s.run(joinIntervals, nil)
		s.loss = 0
		s.run(joinIntervals, nil)
		s.requireAgreement(t, "after datagram loss ended")
	})
}

// TestMessageCountDoesNotGrowWithFleetSize counts the messages that a member sends unprompted. Without faults these are
// heartbeats to its monitors and one rotating probe.
func TestMessageCountDoesNotGrowWithFleetSize(t *testing.T) {
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

func TestMessageFitsIntoDatagram(t *testing.T) {
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
