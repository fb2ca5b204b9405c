package placement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

// chosenWorker returns the ID of the worker that gets a job if two workers have these reports.
func chosenWorker(t *testing.T, stage string, slots int, first, second Report) string {
	t.Helper()
	target := ""
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{reports: map[string]Report{stage + "-0": first, stage + "-1": second}})
		instances := workersInOwnZone(2)
		for i := range instances {
			instances[i].ID, instances[i].Stage = stage+"-"+string(rune('0'+i)), stage
		}
		update := snapshot(1, instances)
		update.Config.Services[0].Engine.Slots = slots
		placer.Update(update)
		outcome := placer.Place(t.Context(), testJob(stage), func(_ context.Context, worker fleetwire.Instance, ready func() bool) Result {
			require.True(t, ready())
			target = worker.ID
			return ResultServed
		})
		require.Equal(t, DecisionServed, outcome.Decision)
	})
	return target
}

func TestPrefillAvoidsWorkerWithLongPrompt(t *testing.T) {
	longPrompt := Report{Running: 1, KvUsed: 56_000, KvCapacity: 900_000}
	shortPrompts := Report{Running: 2, Queued: 1, KvUsed: 1_600, KvCapacity: 900_000}
	require.Equal(t, "prefill-1", chosenWorker(t, fleetwire.StagePrefill, 128, longPrompt, shortPrompts))
	require.Equal(t, "prefill-0", chosenWorker(t, fleetwire.StagePrefill, 128, shortPrompts, longPrompt))
}

func TestUnfetchedKVCacheDoesNotCountAsLoad(t *testing.T) {
	unfetched := Report{KvHandles: 2, KvUsed: 40_000, KvCapacity: 900_000}
	processing := Report{Running: 1, KvUsed: 8_000, KvCapacity: 900_000}
	require.Equal(t, "prefill-0", chosenWorker(t, fleetwire.StagePrefill, 128, unfetched, processing))
}

func TestPrefillQueueIsNotLimitedByRequestSlots(t *testing.T) {
	const slots = 16
	busy := Report{Running: 1, Queued: 3, KvUsed: 30_000, KvCapacity: 600_000}
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{reports: map[string]Report{"prefill-0": busy, "prefill-1": busy}})
		update := snapshot(1, workers("prefill", 2))
		update.Config.Services[0].Engine.Slots = slots
		placer.Update(update)
		start := time.Now()
		placer.Place(t.Context(), testJob("prefill"), func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			return ResultServed
		})
		require.Less(t, time.Since(start), 10*time.Millisecond, "the job was delayed")
	})
}
