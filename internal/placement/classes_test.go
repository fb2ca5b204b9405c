package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"weldscale/decide"
	"weldscale/internal/fleetwire"
)

// TestJobsOfManyRoutesKeepTheirKind guards against a repeatable or urgent route whose jobs are treated as another kind because
// a configuration has many routes, or many changes of time-outs have gone before.
func TestJobsOfManyRoutesKeepTheirKind(t *testing.T) {
	tested, err := newPool(poolSettings{now: func() decide.Time { return 0 }})
	require.NoError(t, err)
	const routes = maxClasses + 100
	for i := range routes {
		job := &Job{Repeatable: i%2 == 0, Route: &fleetwire.Route{TimeoutMs: int64(1000 + i), TargetLatencyMs: 300, Priority: i % 4}}
		class := tested.classFor(job)
		key := tested.keyOf(class)
		require.Equal(t, job.Repeatable, key.repeatable, "route %d", i)
		require.Equal(t, job.Route.Priority, key.priority, "route %d", i)
	}
	require.Len(t, tested.classes, maxClasses)
}

// keyOf returns the key of a class.
func (p *pool) keyOf(class int) classKey {
	for key, number := range p.classes {
		if number == class {
			return key
		}
	}
	return classKey{}
}
