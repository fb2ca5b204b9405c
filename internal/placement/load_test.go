package placement

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

// placedAt returns the worker that a job goes to where two have these reports.
func placedAt(t *testing.T, stage string, slots int, first, second Report) string {
	t.Helper()
	target := ""
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{reports: map[string]Report{stage + "-0": first, stage + "-1": second}})
		list := inOneZone(2)
		for i := range list {
			list[i].ID, list[i].Stage = stage+"-"+string(rune('0'+i)), stage
		}
		fleet := snapshot(1, list)
		fleet.Config.Services[0].Engine.Slots = slots
		placer.Update(fleet)
		verdict := placer.Place(t.Context(), testJob(stage), func(_ context.Context, w fleetwire.Instance, ready func() bool) Result {
			require.True(t, ready())
			target = w.ID
			return ResultServed
		})
		require.Equal(t, DecisionServed, verdict.Decision)
	})
	return target
}

func TestAPromptAvoidsTheWorkerThatReadsALongOne(t *testing.T) {
	long := Report{Running: 1, KvUsed: 56_000, KvCapacity: 900_000}
	short := Report{Running: 2, Queued: 1, KvUsed: 1_600, KvCapacity: 900_000}
	require.Equal(t, "prefill-1", placedAt(t, fleetwire.StagePrefill, 128, long, short))
	require.Equal(t, "prefill-0", placedAt(t, fleetwire.StagePrefill, 128, short, long))
}

func TestMemoryThatWaitsToBeTakenIsNoWork(t *testing.T) {
	waiting := Report{KvHandles: 2, KvUsed: 40_000, KvCapacity: 900_000}
	reading := Report{Running: 1, KvUsed: 8_000, KvCapacity: 900_000}
	require.Equal(t, "prefill-0", placedAt(t, fleetwire.StagePrefill, 128, waiting, reading))
}

func TestAFewSlotsHoldBackNoPromptThatMayWait(t *testing.T) {
	const slots = 16
	busy := Report{Running: 1, Queued: 3, KvUsed: 30_000, KvCapacity: 600_000}
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{reports: map[string]Report{"prefill-0": busy, "prefill-1": busy}})
		fleet := snapshot(1, workers("prefill", 2))
		fleet.Config.Services[0].Engine.Slots = slots
		placer.Update(fleet)
		began := time.Now()
		placer.Place(t.Context(), testJob("prefill"), func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			return ResultServed
		})
		require.Less(t, time.Since(began), 10*time.Millisecond, "it was held back")
	})
}
