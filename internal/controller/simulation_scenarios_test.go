package controller

import (
	"context"
	"flag"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/coordination/sim/live"
)

// runScenario runs a scenario on a site that has formed, has committed one change and has settled.
func runScenario(t *testing.T, tolerance int, scenario func(s *simSite, operator *simOperator)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		s := newSimSite(t, 1, tolerance)
		defer s.failOnViolation()
		defer s.shutDown()
		sampling, stopSampling := context.WithCancel(s.ctx)
		defer stopSampling()
		go s.checks.sample(sampling)
		s.await(simFormTimeout, "formed", s.unformed)
		operator := s.newOperator("a", simOperatorIP, 1)
		s.mustChange(operator)
		s.await(simCatchUpBound, "the settled state", s.checks.unsettled)
		scenario(s, operator)
		s.checks.checkLinearizable()
	})
}

// mustChange sends a change and records a violation if it is not acknowledged within the bound.
func (s *simSite) mustChange(operator *simOperator) {
	begun := time.Now()
	if !operator.change(s.ctx) || time.Since(begun) > simAckBound {
		s.checks.failf("a change took %v", time.Since(begun))
	}
}

// frontendWithout returns a function that returns a frontend without the version, or an empty string if all have it.
func (s *simSite) frontendWithout(version int64) func() string {
	return func() string {
		for _, m := range s.frontends {
			snapshot := m.follower.Load().Current()
			if snapshot == nil || snapshot.Config == nil || snapshot.Config.Version != version {
				return m.machine.IP()
			}
		}
		return ""
	}
}

// partitionDuration is the duration of the partitions in scenarios.
const partitionDuration = 20 * time.Second

// A controller in a partition of twenty seconds must give no answer, or answer with 503. The other controllers continue, and
// their subscribers get acknowledged changes within the bound. After the partition the controller must have the newest state,
// also on its disk.
func TestPartitionedControllerNeitherServesNorConfirms(t *testing.T) {
	for name, partition := range map[string]func(*simSite, *simMachine) func(){
		"from all": (*simSite).partitionFromAll, "from the controllers": (*simSite).partitionFromCores,
		"no inbound traffic": (*simSite).blockInbound, "no outbound traffic": (*simSite).blockOutbound,
	} {
		for _, tolerance := range []int{1, 2} {
			t.Run(fmt.Sprintf("%s/%d", name, 2*tolerance+1), func(t *testing.T) {
				t.Parallel()
				runScenario(t, tolerance, func(s *simSite, operator *simOperator) {
					for _, target := range s.currentCores() {
						heal := partition(s, target)
						s.changeDuringPartition(operator, target)
						heal()
						s.await(simCatchUpBound, "the settled state", s.checks.unsettled)
						status, body := operator.call(s.ctx, http.MethodGet, target.control(), pathRead, 0, nil)
						require.Equal(t, http.StatusOK, status)
						operator.handleRead(time.Now(), body)
					}
				})
			})
		}
	}
}

// changeDuringPartition sends changes to the other controllers while one is partitioned, and calls that one all the time. The
// partitioned controller may still answer for contactGrace.
func (s *simSite) changeDuringPartition(operator *simOperator, target *simMachine) {
	const contactGrace = maxQuorumAge + heartbeatInterval
	begun := time.Now()
	caller := s.newOperator("b", "10.7.0.9", 2)
	for time.Since(begun) < partitionDuration {
		operator.avoid = target
		s.mustChange(operator)
		s.await(simPropagationBound, "the change at every frontend", s.frontendWithout(operator.version))
		read, body := caller.call(s.ctx, http.MethodGet, target.control(), pathRead, 0, nil)
		if read == http.StatusOK {
			caller.handleRead(time.Now().Add(-operatorCallTimeout), body)
		}
		requested := newChange(operator.version, operator.version+1, []byte(simConfig(operator.version+1, "to-partitioned")))
		changed, _ := caller.call(s.ctx, http.MethodPost, target.control(), pathReplace, requested.Base, requested.Body)
		if time.Since(begun) > contactGrace && (read != 0 && read != http.StatusServiceUnavailable ||
			changed != 0 && changed != http.StatusServiceUnavailable) {
			s.checks.failf("%s, partitioned for %v, answers a read with %d and a change with %d", target.settings.NodeName, time.Since(begun),
				read, changed)
		}
	}
	operator.avoid = nil
}

// Guards against committing two changes on one base version, and against rejecting a resent change that was committed. Two
// operators race for each version, lose most answers and resend acknowledged changes, also after newer ones.
func TestRacingOperatorsNeverCommitTheSameVersion(t *testing.T) {
	t.Parallel()
	const rounds = 60
	for _, tolerance := range []int{1, 2} {
		runScenario(t, tolerance, func(s *simSite, first *simOperator) {
			second := s.newOperator("b", "10.7.0.9", 2)
			operators := []*simOperator{first, second}
			for range rounds {
				second.version = first.version
				results := s.race(operators)
				committed, rejected := 0, 0
				for i, result := range results {
					switch result {
					case simCommitted:
						committed++
						first.version = operators[i].version
					case simRejected:
						rejected++
					}
				}
				require.Equal(t, []int{1, 1}, []int{committed, rejected}, s.eventLog())
				for _, operator := range operators {
					for _, earlier := range operator.acknowledged {
						if operator.random.Float64() < 0.1 {
							require.Equal(t, simCommitted, operator.post(s.ctx, earlier, true), "resent after it was acknowledged")
						}
					}
				}
			}
		})
	}
}

// race makes all operators send a change on top of one version at the same time.
func (s *simSite) race(operators []*simOperator) []simResult {
	results := make([]simResult, len(operators))
	var racing sync.WaitGroup
	for i, operator := range operators {
		operator.answerLossRate = 0.6
		racing.Go(func() { results[i] = operator.send(s.ctx, operator.version+1) })
	}
	racing.Wait()
	return results
}

// A replica misses changes in a partition, and no change follows that would bring it up to date. Guards against leaving its
// disk behind: if another disk is lost then, the changes could be gone.
func TestReplicaStoresMissedChangesAfterAPartition(t *testing.T) {
	t.Parallel()
	for _, tolerance := range []int{1, 2} {
		runScenario(t, tolerance, func(s *simSite, operator *simOperator) {
			target := s.currentCores()[0]
			heal := s.partitionFromAll(target)
			operator.avoid = target
			for range 3 {
				s.mustChange(operator)
			}
			time.Sleep(simCatchUpBound) // the roles that it held move to other controllers
			heal()
			s.await(simCatchUpBound, "the settled state", s.checks.unsettled)
		})
	}
}

// missedChanges is the number of changes that a machine misses.
var missedChanges = flag.Int("sim.changes", 500, "number of changes while a machine is without power")

// Hundreds of changes are committed while one machine is without power, and another machine restarts halfway through. Both must
// catch up within the bound, and the stored state must not grow with the number of changes.
func TestMachineCatchesUpAfterHundredsOfMissedChanges(t *testing.T) {
	t.Parallel()
	changes := *missedChanges
	runScenario(t, 1, func(s *simSite, operator *simOperator) {
		unpowered, restarted := s.currentCores()[1], s.currentCores()[2]
		s.crashCore(unpowered, (*live.Machine).LosePower)
		operator.avoid = unpowered
		diskSize := map[int]int{} // by the number of the change
		for i := range changes {
			s.mustChange(operator)
			switch i {
			case changes / 4, changes - 1:
				diskSize[i] = restarted.machine.Disk().Size()
			case changes / 2:
				s.kill(restarted)()
				s.await(simCatchUpBound, "the newest state at the restarted machine", func() string {
					if program := restarted.program(); program == nil || program.node.Latest().Revision < s.newestState().Revision {
						return "behind"
					}
					return ""
				})
			}
		}
		growth := diskSize[changes-1] - diskSize[changes/4]
		require.LessOrEqual(t, growth, digestBytes*min(changes, maxDigests)+1<<10, "only the digests may grow, up to their bound")
		s.startCore(unpowered)
		took := s.await(simCatchUpBound, "the settled state", s.checks.unsettled)
		t.Logf("after %d changes the site settled in %v; the disk of the machine that missed them has %d bytes",
			changes, took, unpowered.machine.Disk().Size())
	})
}

// Guards against serving an outdated state. One of three replicas misses a change in a partition. Of the other two, one loses
// its disk and one its power. The empty replica must not count for a quorum: with it, the first replica would serve the old
// state.
func TestEmptyReplicaDoesNotCountAsQuorumContact(t *testing.T) {
	t.Parallel()
	runScenario(t, 1, func(s *simSite, operator *simOperator) {
		behind, wiped, unpowered := s.currentCores()[0], s.currentCores()[1], s.currentCores()[2]
		heal := s.partitionFromCores(behind)
		operator.avoid = behind
		s.mustChange(operator)
		s.crashCore(wiped, (*live.Machine).Wipe)
		s.crashCore(unpowered, (*live.Machine).LosePower)
		s.powerOffFrontends()() // the followers restart without any state
		heal()
		s.startCore(wiped)
		time.Sleep(partitionDuration)
		if age := behind.program().node.QuorumAge(); age < partitionDuration {
			s.checks.failf("quorum contact %v ago, although no reachable replica knows the set", age)
		}
		status, _ := operator.call(s.ctx, http.MethodGet, behind.control(), pathRead, 0, nil)
		require.NotEqual(t, http.StatusOK, status)
		s.startCore(unpowered)
		s.await(simSettleTimeout, "the settled state", s.checks.unsettled)
	})
}

// Over slow paths a reply is already old when it arrives. Guards against counting the age of the quorum contact from the reply
// instead of from the request.
func TestQuorumAgeCountsFromTheRequest(t *testing.T) {
	t.Parallel()
	runScenario(t, 1, func(s *simSite, operator *simOperator) {
		target := s.currentCores()[0]
		defer s.slowPaths(target)()
		node := target.program().node
		time.Sleep(simCatchUpBound)
		for begun := time.Now(); time.Since(begun) < simCatchUpBound; time.Sleep(sampleInterval) {
			if age := node.QuorumAge(); age < 2*slowPathDelay {
				s.checks.failf("quorum contact %v ago, over paths with a delay of %v each way", age, slowPathDelay)
				return
			}
		}
	})
}

// A controller that starts in a partition has had no quorum contact, even right after its start.
func TestControllerStartedInAPartitionHasNoQuorum(t *testing.T) {
	t.Parallel()
	runScenario(t, 1, func(s *simSite, operator *simOperator) {
		target := s.currentCores()[0]
		defer s.partitionFromCores(target)()
		s.kill(target)()
		s.await(simCatchUpBound, "started", func() string {
			if target.program() == nil {
				return "its process"
			}
			return ""
		})
		node := target.program().node
		for begun := time.Now(); time.Since(begun) < maxQuorumAge; time.Sleep(sampleInterval) {
			if hasQuorum(node) {
				s.checks.failf("quorum contact %v after a start in a partition", time.Since(begun))
				return
			}
		}
	})
}

// Nine controllers run over paths whose delays change each second and reach 150 ms one way. The list of workers must stay fresh
// at each of them, and the reader's role must be held nearly all the time and rarely move.
func TestNineControllersKeepTheListFresh(t *testing.T) {
	t.Parallel()
	const (
		tolerance  = 4
		duration   = 20 * time.Second
		slowest    = 150 * time.Millisecond // a round trip stays within callTimeout
		maxListAge = 2 * time.Second        // the part of DrainMs that the delivery to the routers leaves
	)
	runScenario(t, tolerance, func(s *simSite, _ *simOperator) {
		tokens := map[uint64]bool{}
		vacant, samples, oldest := 0, 0, time.Duration(0)
		for begun := time.Now(); time.Since(begun) < duration; {
			s.randomizePathDelays(slowest)
			for second := time.Now(); time.Since(second) < time.Second; time.Sleep(simPollInterval) {
				oldest = max(oldest, s.oldestListAge())
				if oldest > maxListAge {
					s.checks.failf("a list is %v old", oldest)
					return
				}
				token := s.heldToken(roleReader)
				samples++
				if token == 0 {
					vacant++
				} else {
					tokens[token] = true
				}
			}
		}
		t.Logf("%d tokens, vacant in %d of %d samples, the oldest list was %v old",
			len(tokens), vacant, samples, oldest)
		require.LessOrEqual(t, len(tokens), 3)
		require.Less(t, 10*vacant, samples)
	})
}

// randomizePathDelays sets the delay of each path between controllers to a random value.
func (s *simSite) randomizePathDelays(slowest time.Duration) {
	for _, from := range s.currentCores() {
		for _, to := range s.currentCores() {
			if from != to {
				s.network.SetExtraDelay(from.machine.IP(), to.machine.IP(), s.randomDuration(0, slowest))
			}
		}
	}
}

// oldestListAge returns the age of the oldest list that a controller holds.
func (s *simSite) oldestListAge() (oldest time.Duration) {
	for _, m := range s.currentCores() {
		_, age := m.program().controller.lists.versionAndAge(time.Now())
		oldest = max(oldest, milliseconds(age))
	}
	return oldest
}

// heldToken returns the token under which a role is held, or 0 if it has no holder.
func (s *simSite) heldToken(role string) uint64 {
	for _, m := range s.currentCores() {
		if token, held := m.program().controller.leases.holds(role); held {
			return token
		}
	}
	return 0
}

// A machine that loses its disk repeatedly must get a new replica ID each time and soon be part of the replica set.
func TestWipedDiskGetsANewReplicaIdentity(t *testing.T) {
	t.Parallel()
	runScenario(t, 1, func(s *simSite, operator *simOperator) {
		target := s.currentCores()[0]
		seen := map[string]bool{}
		for range 4 {
			id, _ := target.diskState()
			require.False(t, seen[id], "replica ID %s was used again", id)
			seen[id] = true
			s.wipe(target)()
			s.await(simCatchUpBound, "the settled state", s.checks.unsettled)
			s.mustChange(operator)
		}
	})
}
