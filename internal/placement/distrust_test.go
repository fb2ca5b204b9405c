package placement

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

// inOneZone returns ready decode workers of the placer's own zone.
func inOneZone(n int) []fleetwire.Instance {
	list := workers("decode", n)
	for i := range list {
		list[i].Zone = "z0"
	}
	return list
}

// served places jobs and counts where they went.
func served(t *testing.T, placer *Placer, jobs int) map[string]int {
	counts := map[string]int{}
	for range jobs {
		verdict := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, w fleetwire.Instance, ready func() bool) Result {
			require.True(t, ready())
			counts[w.ID]++
			return ResultServed
		})
		require.Equal(t, DecisionServed, verdict.Decision)
	}
	return counts
}

func TestADistrustedWorkerGetsNothingForATerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, inOneZone(5)))
		placer.MarkSuspect([]string{"decode-2", "unknown"})
		counts := served(t, placer, 100)
		require.Zero(t, counts["decode-2"])
		require.Len(t, counts, 4)
	})
}

func TestDistrustOfAllLeavesMostInUse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, inOneZone(10)))
		for _, worker := range inOneZone(10) {
			placer.MarkSuspect([]string{worker.ID})
		}
		require.GreaterOrEqual(t, len(served(t, placer, 200)), 6)
	})
}
