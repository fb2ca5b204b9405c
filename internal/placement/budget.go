package placement

import "time"

// budgetSlots is the number of parts that a window is counted in.
const budgetSlots = 20

// RetryBudget bounds the arrivals at a service beyond the first of each request. Each router keeps its own: while every one spends
// at most the ratio of its own requests, the sum over all routers stays within the ratio, and no talk is needed.
type RetryBudget struct {
	ratio    float64
	slack    float64
	span     time.Duration // of one slot
	requests [budgetSlots]float64
	extras   [budgetSlots]float64
	slot     int64
}

// NewRetryBudget returns a budget of ratio extras a request, and slack of them free, in each window.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, span: max(window/budgetSlots, time.Millisecond)}
}

// SetSlack changes how many extras are free in each window.
func (b *RetryBudget) SetSlack(slack float64) { b.slack = slack }

// CountRequest counts a request of a client, at a time since any fixed moment.
func (b *RetryBudget) CountRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.slot%budgetSlots]++
}

// TrySpend counts an extra arrival if there is room for it, and reports whether there was.
func (b *RetryBudget) TrySpend(now time.Duration) bool {
	b.advance(now)
	var requests, extras float64
	for i := range budgetSlots {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	if extras+1 > b.ratio*requests+b.slack {
		return false
	}
	b.extras[b.slot%budgetSlots]++
	return true
}

// Charge counts an extra arrival that has happened, whether there was room for it or not: later ones wait for it.
func (b *RetryBudget) Charge(now time.Duration) {
	b.advance(now)
	b.extras[b.slot%budgetSlots]++
}

// Refund takes back the extra arrival counted last, which did not happen.
func (b *RetryBudget) Refund() {
	if at := b.slot % budgetSlots; b.extras[at] > 0 {
		b.extras[at]--
	}
}

func (b *RetryBudget) advance(now time.Duration) {
	slot := int64(now / b.span)
	for steps := min(slot-b.slot, budgetSlots); steps > 0; steps-- {
		i := (slot - steps + 1) % budgetSlots
		b.requests[i], b.extras[i] = 0, 0
	}
	b.slot = max(b.slot, slot)
}
