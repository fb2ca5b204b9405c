// Package stages decides how many workers of an engine run prefill and how many run decode, and orders workers to change their
// stage. One process of the fleet does so at a time, under a lease with a fencing token.
package stages

import (
	"cmp"
	"slices"
	"time"

	"weldscale/internal/fleetwire"
)

const (
	// minWorkersPerStage is the number of workers that each stage keeps, so that it survives the loss of one.
	minWorkersPerStage = 2
	// maxSwitchingShare is the share of a service's workers that may change their stage at once. They serve no requests
	// meanwhile.
	maxSwitchingShare = 1.0 / 6
	// pendingTimeout is the time after which an order counts as lost. A worker first finishes its running jobs, which takes a
	// while.
	pendingTimeout = 20 * time.Second
	// deadband is by how many workers a stage may differ from its target without an order, since each change costs a worker
	// seconds.
	deadband = 1
)

// Order tells a worker to change to a stage.
type Order struct {
	Target fleetwire.Instance
	Stage  string
}

// Planner plans the orders for the workers of one service. It does no I/O and is not safe for concurrent use. All its times are
// readings of one monotonic clock.
type Planner struct {
	pending map[string]pendingOrder // by instance ID
}

// pendingOrder is an order that its worker has not carried out yet.
type pendingOrder struct {
	stage    string
	issuedAt time.Duration
}

// NewPlanner returns a planner without pending orders.
func NewPlanner() *Planner { return &Planner{pending: map[string]pendingOrder{}} }

// Plan returns the orders that bring the workers of a service closer to the given share of prefill workers. The orders become
// pending.
func (p *Planner) Plan(now time.Duration, workers []fleetwire.Instance, prefillShare float64) []Order {
	ready := slices.DeleteFunc(slices.Clone(workers), func(w fleetwire.Instance) bool {
		return w.State != fleetwire.InstanceReady || w.Stage == ""
	})
	p.dropSettled(now, ready)
	if len(ready) < 2*minWorkersPerStage {
		return nil
	}
	prefill := p.countStage(ready, fleetwire.StagePrefill)
	wantPrefill := min(max(int(prefillShare*float64(len(ready))+0.5), minWorkersPerStage), len(ready)-minWorkersPerStage)
	from, to, missing := fleetwire.StageDecode, fleetwire.StagePrefill, wantPrefill-prefill
	if missing < 0 {
		from, to, missing = to, from, -missing
	}
	if missing <= deadband {
		return nil
	}
	allowed := max(1, int(float64(len(ready))*maxSwitchingShare+0.5)) - len(p.pending)
	var orders []Order
	for range min(missing, allowed) {
		target, found := p.chooseWorker(ready, from)
		if !found {
			break
		}
		p.pending[target.ID] = pendingOrder{stage: to, issuedAt: now}
		orders = append(orders, Order{Target: target, Stage: to})
	}
	return orders
}

// OrderFailed removes a pending order that the worker did not accept.
func (p *Planner) OrderFailed(instance string) { delete(p.pending, instance) }

// dropSettled removes the pending orders that are done, timed out, or whose worker is no longer listed.
func (p *Planner) dropSettled(now time.Duration, ready []fleetwire.Instance) {
	stages := make(map[string]string, len(ready))
	for _, worker := range ready {
		stages[worker.ID] = worker.Stage
	}
	for id, order := range p.pending {
		stage, listed := stages[id]
		if !listed || stage == order.stage || now-order.issuedAt > pendingTimeout {
			delete(p.pending, id)
		}
	}
}

// effectiveStage returns the stage that a worker has, or the ordered one if an order is pending.
func (p *Planner) effectiveStage(worker *fleetwire.Instance) string {
	if order, ordered := p.pending[worker.ID]; ordered {
		return order.stage
	}
	return worker.Stage
}

// countStage returns the number of workers whose effective stage is the given one.
func (p *Planner) countStage(workers []fleetwire.Instance, stage string) int {
	count := 0
	for i := range workers {
		if p.effectiveStage(&workers[i]) == stage {
			count++
		}
	}
	return count
}

// chooseWorker returns a worker of the stage without a pending order, or false if there is none. It takes the worker from the
// zone with the most workers of that stage, so that both stages stay spread over the zones.
func (p *Planner) chooseWorker(workers []fleetwire.Instance, stage string) (fleetwire.Instance, bool) {
	zones := map[string]int{}
	for i := range workers {
		if p.effectiveStage(&workers[i]) == stage {
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
