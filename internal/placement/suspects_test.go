package placement

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

// workersInOwnZone returns n ready decode workers in the placer's own zone.
func workersInOwnZone(n int) []fleetwire.Instance {
	instances := workers("decode", n)
	for i := range instances {
		instances[i].Zone = "z0"
	}
	return instances
}

// placeAndCount places jobs, requires that all are served, and returns how many each worker got.
func placeAndCount(t *testing.T, placer *Placer, jobs int) map[string]int {
	counts := map[string]int{}
	for range jobs {
		outcome := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, worker fleetwire.Instance, ready func() bool) Result {
			require.True(t, ready())
			counts[worker.ID]++
			return ResultServed
		})
		require.Equal(t, DecisionServed, outcome.Decision)
	}
	return counts
}

func TestSuspectWorkerGetsNoJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workersInOwnZone(5)))
		placer.MarkSuspect([]string{"decode-2", "unknown"})
		counts := placeAndCount(t, placer, 100)
		require.Zero(t, counts["decode-2"])
		require.Len(t, counts, 4)
	})
}

func TestSuspectingAllWorkersLeavesMostInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workersInOwnZone(10)))
		for _, worker := range workersInOwnZone(10) {
			placer.MarkSuspect([]string{worker.ID})
		}
		require.GreaterOrEqual(t, len(placeAndCount(t, placer, 200)), 6)
	})
}
