package controller

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/coordination/sim/live"
	"weldscale/internal/pause"
)

// stepStride is the distance between the steps of a repair at which a second fault is injected. With 1 the test covers each
// step.
var stepStride = flag.Int("sim.every", 97, "number of steps of a repair from one second fault to the next")

const (
	maxSteps            = 5000 // a repair takes some hundreds of steps
	secondFaultDuration = 700 * time.Millisecond
	// lateRunsToStop is the number of runs whose repair was over before the second fault, after which the test ends. One such run
	// does not show that the whole repair was covered, because the number of its steps varies.
	lateRunsToStop = 3
)

// simRepair is a kind of repair after a loss. begin starts it and returns while it is in progress.
type simRepair struct {
	name  string
	begin func(s *simSite, target *simMachine)
}

var simRepairs = []simRepair{
	{"a lost disk", func(s *simSite, target *simMachine) {
		s.crashCore(target, (*live.Machine).Wipe)
		s.startCore(target)
	}},
	{"a replacement", func(s *simSite, target *simMachine) {
		s.crashCore(target, (*live.Machine).Wipe)
		s.remove(target)
		s.startCore(s.addCore(false))
	}},
	{"a planned replacement", func(s *simSite, target *simMachine) {
		s.startCore(s.addCore(false))
		s.running.Go(func() {
			pause.For(s.ctx, time.Second)
			s.terminate(target)
			if s.canLoseDisks(1) {
				s.crashCore(target, (*live.Machine).Wipe)
				s.remove(target)
			} else {
				s.startCore(target) // another disk was lost in the meantime, so this machine stays
			}
		})
	}},
	{"a machine after a power loss", func(s *simSite, target *simMachine) {
		s.crashCore(target, (*live.Machine).LosePower)
		s.startCore(target)
	}},
}

// simSecondFaults lists the faults that are injected during a repair. Disks are lost only as far as the site tolerates it.
var simSecondFaults = []simFault{
	{name: "kill", inject: (*simSite).kill},
	{name: "power loss", inject: (*simSite).losePower},
	{name: "power loss of all", inject: (*simSite).powerOffAll},
	{name: "partitioned from all", inject: (*simSite).partitionFromAll},
	{name: "disk lost", inject: (*simSite).wipe},
	{name: "disks lost, power loss of all others", inject: (*simSite).wipeAndPowerOff},
}

// Injects a second fault at each step of a repair, one step per run. Guards against losing an acknowledged change, and against
// a site that does not settle after the fault with the newest state on each disk.
func TestSecondFaultAtEachStepOfARepair(t *testing.T) {
	for _, tolerance := range []int{1, 2} {
		for _, repair := range simRepairs {
			for _, second := range simSecondFaults {
				t.Run(fmt.Sprintf("%d/%s/%s", 2*tolerance+1, repair.name, second.name), func(t *testing.T) {
					t.Parallel()
					runs, late := 0, 0
					for step := 1; step < maxSteps && late < lateRunsToStop; step += *stepStride {
						if runSecondFault(t, tolerance, repair, second, step) {
							runs++
						} else {
							late++
						}
						require.False(t, t.Failed())
					}
					t.Logf("%d runs", runs)
					require.Positive(t, runs)
				})
			}
		}
	}
}

// runSecondFault runs one repair with a second fault at a step. It reports whether the fault was injected before the repair was
// over.
func runSecondFault(t *testing.T, tolerance int, repair simRepair, second simFault, step int) (injected bool) {
	t.Helper()
	runScenario(t, tolerance, func(s *simSite, operator *simOperator) {
		cores := s.currentCores()
		target, other := cores[step%len(cores)], cores[(step+1)%len(cores)]
		s.logf("%s: %s, second fault at step %d", repair.name, target.settings.NodeName, step)
		due := make(chan struct{})
		s.network.AfterSteps(step, func() { close(due) })
		repair.begin(s, target)
		repaired := make(chan struct{})
		s.running.Go(func() {
			s.await(simSettleTimeout, "repaired", func() string { return s.unrepaired(due) })
			close(repaired)
		})
		select {
		case <-due:
			injected = true
			s.logf("second fault %s: %s", second.name, other.settings.NodeName)
			end := second.inject(s, other)
			pause.For(s.ctx, secondFaultDuration)
			if end != nil {
				end()
			}
		case <-repaired:
		}
		s.await(simSettleTimeout, "the settled state", s.checks.unsettled)
		operator.read(s.ctx)
		s.mustChange(operator)
		s.await(simPropagationBound, "the change at every frontend", s.frontendWithout(operator.version))
	})
	return injected
}

// unrepaired returns what the repair has not yet restored, or an empty string. Once the second fault is due it returns an empty
// string too, which ends the wait.
func (s *simSite) unrepaired(due <-chan struct{}) string {
	select {
	case <-due:
		return ""
	default:
		return s.checks.unsettled()
	}
}
