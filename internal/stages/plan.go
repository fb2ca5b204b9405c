// Package stages decides how many workers of an engine read prompts (prefill) and how many make tokens (decode), and orders
// workers to change. One process of the fleet does so at a time, under a fencing token.
package stages

import (
	"cmp"
	"slices"
	"time"

	"weldscale/internal/fleetwire"
)

const (
	// leastOfStage workers are left to each stage: one may be lost.
	leastOfStage = 2
	// switchingShare of a service's workers may be changing at once: they serve nobody meanwhile.
	switchingShare = 1.0 / 6
	// pendingTimeout is when an order counts as lost: its worker first lets what runs come to its end.
	pendingTimeout = 20 * time.Second
	// deadband is how many workers the shares may be off before anyone is ordered: each change costs seconds of a worker.
	deadband = 1
)

// Order asks a worker to take over a stage.
type Order struct {
	Target fleetwire.Instance
	Stage  string
}

// Planner is the pure decider of the orders of one service. Times are readings of one steady clock.
type Planner struct {
	pending map[string]pendingOrder // by instance
}

type pendingOrder struct {
	stage string
	since time.Duration
}

// NewPlanner returns a planner that has ordered nothing.
func NewPlanner() *Planner { return &Planner{pending: map[string]pendingOrder{}} }

// Plan returns the orders that bring the workers of a service nearer to the share of them that is to read prompts.
func (p *Planner) Plan(now time.Duration, workers []fleetwire.Instance, prefillShare float64) []Order {
	ready := slices.DeleteFunc(slices.Clone(workers), func(w fleetwire.Instance) bool {
		return w.State != fleetwire.InstanceReady || w.Stage == ""
	})
	p.settle(now, ready)
	if len(ready) < 2*leastOfStage {
		return nil
	}
	prefill := p.count(ready, fleetwire.StagePrefill)
	want := min(max(int(prefillShare*float64(len(ready))+0.5), leastOfStage), len(ready)-leastOfStage)
	from, to, missing := fleetwire.StageDecode, fleetwire.StagePrefill, want-prefill
	if missing < 0 {
		from, to, missing = to, from, -missing
	}
	if missing <= deadband {
		return nil
	}
	room := max(1, int(float64(len(ready))*switchingShare+0.5)) - len(p.pending)
	var orders []Order
	for range min(missing, room) {
		target, found := p.choose(ready, from)
		if !found {
			break
		}
		p.pending[target.ID] = pendingOrder{stage: to, since: now}
		orders = append(orders, Order{Target: target, Stage: to})
	}
	return orders
}

// OrderFailed takes back an order that the worker did not take.
func (p *Planner) OrderFailed(instance string) { delete(p.pending, instance) }

// settle drops the orders that are done, lost, or whose worker is gone.
func (p *Planner) settle(now time.Duration, ready []fleetwire.Instance) {
	stages := make(map[string]string, len(ready))
	for _, worker := range ready {
		stages[worker.ID] = worker.Stage
	}
	for id, order := range p.pending {
		stage, listed := stages[id]
		if !listed || stage == order.stage || now-order.since > pendingTimeout {
			delete(p.pending, id)
		}
	}
}

// stageOf is the stage that a worker has or is about to have.
func (p *Planner) stageOf(worker *fleetwire.Instance) string {
	if order, ordered := p.pending[worker.ID]; ordered {
		return order.stage
	}
	return worker.Stage
}

func (p *Planner) count(workers []fleetwire.Instance, stage string) int {
	count := 0
	for i := range workers {
		if p.stageOf(&workers[i]) == stage {
			count++
		}
	}
	return count
}

// choose returns a worker of the stage, from the zone that has most of that stage, so that both stages stay spread.
func (p *Planner) choose(workers []fleetwire.Instance, stage string) (fleetwire.Instance, bool) {
	zones := map[string]int{}
	for i := range workers {
		if p.stageOf(&workers[i]) == stage {
			zones[workers[i].Zone]++
		}
	}
	var candidates []fleetwire.Instance
	for _, worker := range workers {
		_, ordered := p.pending[worker.ID]
		if worker.Stage == stage && !ordered {
			candidates = append(candidates, worker)
		}
	}
	if len(candidates) == 0 {
		return fleetwire.Instance{}, false
	}
	return slices.MinFunc(candidates, func(a, b fleetwire.Instance) int {
		if byZone := cmp.Compare(zones[b.Zone], zones[a.Zone]); byZone != 0 {
			return byZone
		}
		return cmp.Compare(a.ID, b.ID)
	}), true
}
