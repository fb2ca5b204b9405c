package placement

import "time"

// windowBuckets is the number of buckets that make up the sliding window.
const windowBuckets = 20

// RetryBudget limits the extra arrivals at a service, which are all arrivals beyond the first of each request, within a sliding
// window. Each router has its own budget: as long as every router spends at most the ratio of its own requests, the sum over
// all routers stays within the ratio, so routers need not coordinate. A RetryBudget is not safe for concurrent use.
type RetryBudget struct {
	ratio      float64
	slack      float64
	bucketSpan time.Duration // length of a bucket
	requests   [windowBuckets]float64
	extras     [windowBuckets]float64
	bucket     int64 // number of the current bucket, counted from time zero
}

// NewRetryBudget returns a budget that allows ratio extra arrivals per request, plus slack more, in each window.
func NewRetryBudget(ratio, slack float64, window time.Duration) *RetryBudget {
	return &RetryBudget{ratio: ratio, slack: slack, bucketSpan: max(window/windowBuckets, time.Millisecond)}
}

// SetSlack changes how many extra arrivals each window allows on top of the ratio.
func (b *RetryBudget) SetSlack(slack float64) { b.slack = slack }

// CountRequest counts a client request. The time is measured from any fixed origin, which must be the same for all calls.
func (b *RetryBudget) CountRequest(now time.Duration) {
	b.advance(now)
	b.requests[b.bucket%windowBuckets]++
}

// TrySpend counts an extra arrival if the budget allows it, and reports whether it did.
func (b *RetryBudget) TrySpend(now time.Duration) bool {
	b.advance(now)
	var requests, extras float64
	for i := range windowBuckets {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	if extras+1 > b.ratio*requests+b.slack {
		return false
	}
	b.extras[b.bucket%windowBuckets]++
	return true
}

// Charge counts an extra arrival that has already happened, even if it exceeds the budget, so that less is left for later ones.
func (b *RetryBudget) Charge(now time.Duration) {
	b.advance(now)
	b.extras[b.bucket%windowBuckets]++
}

// Refund removes the extra arrival that was counted last, because it did not happen.
func (b *RetryBudget) Refund() {
	if current := b.bucket % windowBuckets; b.extras[current] > 0 {
		b.extras[current]--
	}
}

// advance moves the window to the given time and clears the buckets that it enters.
func (b *RetryBudget) advance(now time.Duration) {
	bucket := int64(now / b.bucketSpan)
	for steps := min(bucket-b.bucket, windowBuckets); steps > 0; steps-- {
		i := (bucket - steps + 1) % windowBuckets
		b.requests[i], b.extras[i] = 0, 0
	}
	b.bucket = max(b.bucket, bucket)
}
