package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// Action is something that is done to the fleet.
type Action uint8

// The actions. Those on machines name one by its number.
const (
	ActionStopFrontend   Action = iota // SIGTERM to router and agent, which start again
	ActionReloadFrontend               // SIGHUP to router and agent
	ActionKillFrontend                 // SIGKILL to router and agent, which start again
	ActionStopController               // SIGTERM, and it starts again
	ActionReloadController
	ActionKillController
	ActionChange // the operator sends a configuration
	ActionRace   // two operators send one each on top of the same version
)

var actionNames = map[Action]string{
	ActionStopFrontend: "stop frontend", ActionReloadFrontend: "reload frontend", ActionKillFrontend: "kill frontend",
	ActionStopController: "stop controller", ActionReloadController: "reload controller", ActionKillController: "kill controller",
	ActionChange: "change", ActionRace: "race",
}

func (a Action) String() string { return actionNames[a] }

// Event is an action at a time from the start of the load.
type Event struct {
	At     time.Duration
	Action Action
	Target int
}

func (e Event) String() string {
	return fmt.Sprintf("%.2f s %v %d", e.At.Seconds(), e.Action, e.Target)
}

// PlanOptions is what a plan is made for.
type PlanOptions struct {
	Routers, Controllers int
	Length               time.Duration
	Kills                bool // whether processes are killed as well
}

// controllerSpacing lies between disturbances of controllers: one that has ended counts as lost until it has caught up.
const controllerSpacing = 6 * time.Second

// seriesShape is how a kind of series is drawn.
type seriesShape struct {
	action Action
	gaps   []time.Duration // between its steps
	steps  int             // 0: one for each machine
}

const millisecond = time.Millisecond

var (
	stopSeries   = seriesShape{action: ActionStopFrontend, gaps: []time.Duration{700 * millisecond, time.Second, 2 * time.Second}}
	changeSeries = seriesShape{action: ActionChange, gaps: []time.Duration{300 * millisecond, 700 * millisecond, 1400 * millisecond},
		steps: 12}
	// moreSeries may come besides.
	moreSeries = []seriesShape{
		stopSeries,
		changeSeries,
		{action: ActionReloadFrontend, gaps: []time.Duration{20 * millisecond, 100 * millisecond, 500 * millisecond}},
		{action: ActionReloadController, gaps: []time.Duration{20 * millisecond, 500 * millisecond}},
		{action: ActionRace, gaps: []time.Duration{700 * millisecond, 1500 * millisecond}, steps: 4},
		{action: ActionStopController, gaps: []time.Duration{controllerSpacing}},
	}
	killSeries = []seriesShape{
		{action: ActionKillFrontend, gaps: []time.Duration{500 * millisecond, 2 * time.Second}, steps: 4},
		{action: ActionKillController, gaps: []time.Duration{controllerSpacing}, steps: 2},
	}
)

const (
	moreSeriesLeast = 2
	moreSeriesMost  = 4
	// widthPart: a series on frontend machines takes one in so many at a time.
	widthPart = 8
)

// Plan draws the events of a run: series that overlap, always one of stops and one of changes among them.
func Plan(seed uint64, shape PlanOptions) []Event {
	rng := rand.New(rand.NewPCG(seed, planStream))
	kinds := []seriesShape{stopSeries, changeSeries}
	for range moreSeriesLeast + rng.IntN(moreSeriesMost-moreSeriesLeast+1) {
		kinds = append(kinds, moreSeries[rng.IntN(len(moreSeries))])
	}
	if shape.Kills {
		kinds = append(kinds, killSeries[rng.IntN(len(killSeries))])
	}
	var events []Event
	for _, kind := range kinds {
		events = append(events, kind.draw(rng, shape)...)
	}
	slices.SortStableFunc(events, func(a, b Event) int { return cmp.Compare(a.At, b.At) })
	return spaceControllers(events)
}

// planStream tells the numbers of plans from those of loads.
const planStream = 1 << 33

// draw draws one series that begins in the first half of the run.
func (s seriesShape) draw(rng *rand.Rand, shape PlanOptions) []Event {
	machines, width := s.machines(shape)
	order := rng.Perm(machines)
	steps := cmp.Or(s.steps, len(order))
	gap := s.gaps[rng.IntN(len(s.gaps))]
	at := time.Duration(rng.Int64N(int64(shape.Length / 2)))
	var events []Event
	for i := 0; i < steps && at < shape.Length; i++ {
		events = append(events, Event{At: at, Action: s.action, Target: order[i%len(order)]})
		if (i+1)%width == 0 {
			at += gap
		}
	}
	return events
}

// machines is how many machines a series has to choose from, and how many it takes at a time.
func (s seriesShape) machines(shape PlanOptions) (count, width int) {
	switch s.action {
	case ActionStopFrontend, ActionReloadFrontend, ActionKillFrontend:
		return shape.Routers, max(1, shape.Routers/widthPart)
	case ActionStopController, ActionReloadController, ActionKillController:
		return shape.Controllers, 1
	default:
		return 1, 1
	}
}

// spaceControllers leaves out what would disturb a controller while another may still be lost.
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
