package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is a disturbance of the fleet or a change of its configuration.
type Action uint8

// The actions. The Target of an event is the index of a frontend machine or a controller; it is 0 for ActionChange and
// ActionRace.
const (
	ActionStopFrontend     Action = iota // SIGTERM to router and agent, which are restarted
	ActionReloadFrontend                 // SIGHUP to router and agent
	ActionKillFrontend                   // SIGKILL to router and agent, which are restarted
	ActionStopController                 // SIGTERM to the controller, which is restarted
	ActionReloadController               // SIGHUP to the controller
	ActionKillController                 // SIGKILL to the controller, which is restarted
	ActionChange                         // the operator sends a new configuration
	ActionRace                           // two operators send different configurations on top of the same version
)

var actionNames = map[Action]string{
	ActionStopFrontend: "stop frontend", ActionReloadFrontend: "reload frontend", ActionKillFrontend: "kill frontend",
	ActionStopController: "stop controller", ActionReloadController: "reload controller", ActionKillController: "kill controller",
	ActionChange: "change", ActionRace: "race",
}

func (a Action) String() string { return actionNames[a] }

// Event is an action with its target. At counts from the start of the load.
type Event struct {
	At     time.Duration
	Action Action
	Target int
}

func (e Event) String() string {
	return fmt.Sprintf("%.2f s %v %d", e.At.Seconds(), e.Action, e.Target)
}

// PlanOptions describes the fleet and the run that a plan is drawn for.
type PlanOptions struct {
	Routers, Controllers int
	Length               time.Duration
	Kills                bool // also send SIGKILL
}

// controllerSpacing is the least time between stops or kills of controllers. A controller that has exited counts as lost until
// it has caught up.
const controllerSpacing = 6 * time.Second

// seriesKind describes a series of events of one action.
type seriesKind struct {
	action Action
	gaps   []time.Duration // possible gaps between steps, one of which is drawn
	steps  int             // number of events; 0: one for each machine
}

const millisecond = time.Millisecond

var (
	stopSeries   = seriesKind{action: ActionStopFrontend, gaps: []time.Duration{700 * millisecond, time.Second, 2 * time.Second}}
	changeSeries = seriesKind{action: ActionChange, gaps: []time.Duration{300 * millisecond, 700 * millisecond, 1400 * millisecond},
		steps: 12}
	// optionalSeries are the kinds from which a plan draws further series, besides one each of stopSeries and changeSeries.
	optionalSeries = []seriesKind{
		stopSeries,
		changeSeries,
		{action: ActionReloadFrontend, gaps: []time.Duration{20 * millisecond, 100 * millisecond, 500 * millisecond}},
		{action: ActionReloadController, gaps: []time.Duration{20 * millisecond, 500 * millisecond}},
		{action: ActionRace, gaps: []time.Duration{700 * millisecond, 1500 * millisecond}, steps: 4},
		{action: ActionStopController, gaps: []time.Duration{controllerSpacing}},
	}
	killSeries = []seriesKind{
		{action: ActionKillFrontend, gaps: []time.Duration{500 * millisecond, 2 * time.Second}, steps: 4},
		{action: ActionKillController, gaps: []time.Duration{controllerSpacing}, steps: 2},
	}
)

const (
	minOptionalSeries = 2
	maxOptionalSeries = 4
	// widthDivisor sets the number of frontend machines that a step takes at once: 1/widthDivisor of them, at least one.
	widthDivisor = 8
)

// Plan draws the events of a run, sorted by time. They come from several series that may overlap, always including one of
// frontend stops and one of configuration changes. The same seed and options give the same plan.
func Plan(seed uint64, options PlanOptions) []Event {
	rng := rand.New(rand.NewPCG(seed, planStream))
	kinds := []seriesKind{stopSeries, changeSeries}
	for range minOptionalSeries + rng.IntN(maxOptionalSeries-minOptionalSeries+1) {
		kinds = append(kinds, optionalSeries[rng.IntN(len(optionalSeries))])
	}
	if options.Kills {
		kinds = append(kinds, killSeries[rng.IntN(len(killSeries))])
	}
	var events []Event
	for _, kind := range kinds {
		events = append(events, kind.draw(rng, options)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return spaceControllers(events)
}

// planStream is the random stream of plans. It keeps their draws apart from those of the load.
const planStream = 1 << 33

// draw draws the events of one series, which starts in the first half of the run.
func (s seriesKind) draw(rng *rand.Rand, options PlanOptions) []Event {
	machines, width := s.machines(options)
	order := rng.Perm(machines)
	steps := cmp.Or(s.steps, len(order))
	gap := s.gaps[rng.IntN(len(s.gaps))]
	at := time.Duration(rng.Int64N(int64(options.Length / 2)))
	var events []Event
	for i := 0; i < steps && at < options.Length; i++ {
		events = append(events, Event{At: at, Action: s.action, Target: order[i%len(order)]})
		if (i+1)%width == 0 {
			at += gap
		}
	}
	return events
}

// machines returns the number of machines that a series chooses from, and how many of them it takes at once.
func (s seriesKind) machines(options PlanOptions) (count, width int) {
	switch s.action {
	case ActionStopFrontend, ActionReloadFrontend, ActionKillFrontend:
		return options.Routers, max(1, options.Routers/widthDivisor)
	case ActionStopController, ActionReloadController, ActionKillController:
		return options.Controllers, 1
	default:
		return 1, 1
	}
}

// spaceControllers removes each stop or kill of a controller that follows the last one kept by less than controllerSpacing,
// because the controller which that one ended may still count as lost.
func spaceControllers(events []Event) []Event {
	last := -controllerSpacing
	return slices.DeleteFunc(events, func(event Event) bool {
		if event.Action != ActionStopController && event.Action != ActionKillController {
			return false
		}
		if event.At-last < controllerSpacing {
			return true
		}
		last = event.At
		return false
	})
}
