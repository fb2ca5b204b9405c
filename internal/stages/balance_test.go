package stages

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// observe passes a load to the adjuster several times.
func observe(adjuster *ShareAdjuster, load Load, times int) {
	for range times {
		adjuster.Observe(load)
	}
}

func TestAdjusterShiftsWorkersToBusyStage(t *testing.T) {
	adjuster := NewShareAdjuster()
	observe(adjuster, Load{DecodeOccupancy: 0.5}, 1)
	require.InDelta(t, defaultPrefillShare, adjuster.Share(), 1e-9, "one observation must not be enough")
	observe(adjuster, Load{DecodeOccupancy: 0.9}, 40)
	require.InDelta(t, minPrefillShare, adjuster.Share(), 1e-9)
	observe(adjuster, Load{DecodeOccupancy: 0.1}, 40)
	require.InDelta(t, defaultPrefillShare, adjuster.Share(), shareStep)
	observe(adjuster, Load{DecodeOccupancy: 0.1, PrefillQueued: 3}, 40)
	require.InDelta(t, maxPrefillShare, adjuster.Share(), 1e-9)
}

func TestAdjusterStepsAtOnceIfDecodeIsFull(t *testing.T) {
	adjuster := NewShareAdjuster()
	observe(adjuster, Load{DecodeOccupancy: 0.9}, 1)
	require.InDelta(t, defaultPrefillShare-maxShareDecrease, adjuster.Share(), 1e-9)
	adjuster = NewShareAdjuster()
	observe(adjuster, Load{DecodeOccupancy: fullDecodeOccupancy}, 1)
	require.Less(t, adjuster.Share(), defaultPrefillShare-shareStep, "the load must determine the step")
	adjuster = NewShareAdjuster()
	observe(adjuster, Load{DecodeOccupancy: 0.6}, requiredConfirmations)
	require.InDelta(t, defaultPrefillShare-shareStep, adjuster.Share(), 1e-9, "busy but not full: one small step")
}

func TestAdjusterKeepsShareBetweenThresholds(t *testing.T) {
	adjuster := NewShareAdjuster()
	observe(adjuster, Load{DecodeOccupancy: (busyDecodeOccupancy + idleDecodeOccupancy) / 2, PrefillQueued: 5}, 40)
	require.InDelta(t, defaultPrefillShare, adjuster.Share(), 1e-9)
}

func TestAdjusterLimitsShareAndSteps(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		adjuster := NewShareAdjuster()
		for range rapid.IntRange(1, 200).Draw(t, "looks") {
			before := adjuster.Share()
			adjuster.Observe(Load{DecodeOccupancy: rapid.Float64Range(0, 2).Draw(t, "decode"), PrefillQueued: rapid.Float64Range(0, 9).Draw(t, "queued")})
			if adjuster.Share() < minPrefillShare || adjuster.Share() > maxPrefillShare {
				t.Fatalf("share %v", adjuster.Share())
			}
			if step := adjuster.Share() - before; step > shareStep+1e-9 || step < -maxShareDecrease-1e-9 {
				t.Fatalf("step %v", step)
			}
		}
	})
}

// loadProber answers probes with a fixed load for each stage and records the probed workers.
type loadProber struct{ probed chan string }

func (p loadProber) Probe(_ context.Context, target fleetwire.Instance) (placement.Report, error) {
	p.probed <- target.ID
	if target.Stage == fleetwire.StagePrefill {
		return placement.Report{Queued: 3}, nil
	}
	return placement.Report{Running: 24, Queued: 8}, nil
}

func TestSampleLoadLimitsProbes(t *testing.T) {
	prober := loadProber{probed: make(chan string, 1000)}
	load, enough := sampleLoad(t.Context(), prober, workers(300, 100), 64)
	require.True(t, enough)
	require.Equal(t, Load{PrefillQueued: 3, DecodeOccupancy: 0.5}, load)
	require.Len(t, prober.probed, 2*maxSampledWorkers)
	_, enough = sampleLoad(t.Context(), prober, workers(3, 0), 64)
	require.False(t, enough)
}
