package placement

import (
	"cmp"
	"time"

	"weldscale/decide"
	"weldscale/internal/fleetwire"
)

const (
	// maxClasses bounds the classes of a dispatcher, which are never removed while routes change. Jobs beyond it use a similar one.
	maxClasses = 512
	// runGuessDivisor divides the target latency of a stage into the expected duration of its first jobs.
	runGuessDivisor = 4
)

// classKey holds the properties of jobs that share a class of the dispatcher.
type classKey struct {
	repeatable    bool
	targetLatency time.Duration
	deadline      time.Duration
	priority      int
}

// class returns the dispatcher's class for the key.
func (k classKey) class() decide.Class {
	effect := decide.Unsafe
	if k.repeatable {
		effect = decide.Safe
	}
	return decide.Class{Effect: effect, Aim: k.targetLatency.Microseconds(), Deadline: k.deadline.Microseconds(),
		Worth: float64(max(1, 3-k.priority)), LateWorth: 0.3, Kind: -1}
}

// classFor returns the dispatcher's class of a job, and adds it on first use. The caller holds the lock.
func (p *pool) classFor(job *Job) int {
	key := classKey{
		repeatable:    job.Repeatable,
		targetLatency: time.Duration(job.Route.TargetLatencyMs) * time.Millisecond,
		deadline:      time.Duration(job.Route.TimeoutMs) * time.Millisecond,
		priority:      job.Route.Priority,
	}
	if p.settings.stage == fleetwire.StageDecode {
		key.targetLatency = key.deadline // the prefill is done, so the rest is worth doing even if it is late
	}
	class, known := p.classes[key]
	if known {
		return class
	}
	if len(p.classes) >= maxClasses {
		return p.similarClass(key)
	}
	expectedRun := time.Duration(job.Route.TargetLatencyMs) * time.Millisecond / runGuessDivisor
	class = p.dispatcher.AddClass(key.class(), expectedRun.Microseconds())
	p.classes[key] = class
	return class
}

// similarClass returns the class most like a key that gets none of its own: by repeatability, then priority, then times.
func (p *pool) similarClass(key classKey) int {
	best, bestClass := classKey{}, -1
	for candidate, class := range p.classes {
		order := key.compareLikeness(candidate, best)
		if bestClass < 0 || order < 0 || order == 0 && class < bestClass {
			best, bestClass = candidate, class
		}
	}
	return bestClass
}

// compareLikeness returns a negative number if a is more like the key than b, and a positive one if b is.
func (k classKey) compareLikeness(a, b classKey) int {
	differs := func(other classKey) int {
		if other.repeatable != k.repeatable {
			return 1
		}
		return 0
	}
	times := func(other classKey) time.Duration {
		return (k.deadline - other.deadline).Abs() + (k.targetLatency - other.targetLatency).Abs()
	}
	return cmp.Or(
		cmp.Compare(differs(a), differs(b)),
		cmp.Compare(max(k.priority-a.priority, a.priority-k.priority), max(k.priority-b.priority, b.priority-k.priority)),
		cmp.Compare(times(a), times(b)),
	)
}
