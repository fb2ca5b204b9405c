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

// everyStep is how many steps lie between the moments at which a second loss strikes. 1 plays each of them.
var everyStep = flag.Int("sim.every", 97, "a second loss strikes at every so manieth step of a repair")

const (
	mostSteps    = 5000 // a repair has some hundreds
	secondOutage = 700 * time.Millisecond
	// lateEnough is the number of plays in which the repair was over before the loss, to know that all of it was struck: how many
	// steps it takes varies.
	lateEnough = 3
)

// simRepair begins the repair of one loss. What it does is under way when it returns.
type simRepair struct {
	name  string
	begin func(s *simSite, hit *simMachine)
}

var simRepairs = []simRepair{
	{"a lost disk", func(s *simSite, hit *simMachine) {
		s.endCore(hit, (*live.Machine).Wipe)
		s.startCore(hit)
	}},
	{"a replacement", func(s *simSite, hit *simMachine) {
		s.endCore(hit, (*live.Machine).Wipe)
		s.remove(hit)
		s.startCore(s.addCore(false))
	}},
	{"a planned replacement", func(s *simSite, hit *simMachine) {
		s.startCore(s.addCore(false))
		s.running.Go(func() {
			pause.For(s.ended, time.Second)
			s.terminate(hit)
			if s.mayLose(1) {
				s.endCore(hit, (*live.Machine).Wipe)
				s.remove(hit)
			} else {
				s.startCore(hit) // another is lost meanwhile: this one stays
			}
		})
	}},
	{"a machine that was without power", func(s *simSite, hit *simMachine) {
		s.endCore(hit, (*live.Machine).LosePower)
		s.startCore(hit)
	}},
}

// simSecondLosses strike in the middle of a repair. Disks are lost only as far as the site bears it.
var simSecondLosses = []simTrouble{
	{name: "kill", strike: (*simSite).kill},
	{name: "power", strike: (*simSite).losePower},
	{name: "all without power", strike: (*simSite).darkenAll},
	{name: "cut off", strike: (*simSite).cutFromAll},
	{name: "disk lost", strike: (*simSite).wipe},
	{name: "disks lost, all others without power", strike: (*simSite).wipeAndDarken},
}

// A second loss strikes at every step of a repair, one step a play: what was acknowledged stays, and once it is over the site is in
// order again, with the newest state on each disk.
func TestASecondLossAtEachStepOfARepair(t *testing.T) {
	for _, tolerance := range []int{1, 2} {
		for _, repair := range simRepairs {
			for _, second := range simSecondLosses {
				t.Run(fmt.Sprintf("%d/%s/%s", 2*tolerance+1, repair.name, second.name), func(t *testing.T) {
					t.Parallel()
					plays, late := 0, 0
					for step := 1; step < mostSteps && late < lateEnough; step += *everyStep {
						if playSecondLoss(t, tolerance, repair, second, step) {
							plays++
						} else {
							late++
						}
						require.False(t, t.Failed())
					}
					t.Logf("%d plays", plays)
					require.Positive(t, plays)
				})
			}
		}
	}
}

// playSecondLoss reports whether the loss struck before the repair was over.
func playSecondLoss(t *testing.T, tolerance int, repair simRepair, second simTrouble, step int) (struck bool) {
	t.Helper()
	simScene(t, tolerance, func(s *simSite, operator *simOperator) {
		cores := s.present()
		hit, other := cores[step%len(cores)], cores[(step+1)%len(cores)]
		s.logf("%s of %s, step %d", repair.name, hit.settings.NodeName, step)
		due := make(chan struct{})
		s.network.AfterSteps(step, func() { close(due) })
		repair.begin(s, hit)
		repaired := make(chan struct{})
		s.running.Go(func() {
			s.await(simSettleWithin, "repaired", func() string { return s.repaired(due) })
			close(repaired)
		})
		select {
		case <-due:
			struck = true
			s.logf("%s of %s", second.name, other.settings.NodeName)
			end := second.strike(s, other)
			pause.For(s.ended, secondOutage)
			if end != nil {
				end()
			}
		case <-repaired:
		}
		s.await(simSettleWithin, "in order", s.checks.settled)
		operator.read(s.ended)
		s.mustChange(operator)
		s.await(simPropagation, "the change everywhere", s.everywhere(operator.version))
	})
	return struck
}

// repaired tells what is missing, and nothing more once the second loss is due.
func (s *simSite) repaired(due <-chan struct{}) string {
	select {
	case <-due:
		return ""
	default:
		return s.checks.settled()
	}
}
