package stages

import (
	"context"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

func observe(b *ShareAdjuster, load Load, times int) {
	for range times {
		b.Observe(load)
	}
}

func TestBalanceGivesWorkersToTheBusyStage(t *testing.T) {
	b := NewShareAdjuster()
	observe(b, Load{DecodeOccupancy: 0.5}, 1)
	require.InDelta(t, usualShare, b.Share(), 1e-9, "one look is not enough")
	observe(b, Load{DecodeOccupancy: 0.9}, 40)
	require.InDelta(t, leastShare, b.Share(), 1e-9)
	observe(b, Load{DecodeOccupancy: 0.1}, 40)
	require.InDelta(t, usualShare, b.Share(), shareStep)
	observe(b, Load{DecodeOccupancy: 0.1, PrefillQueued: 3}, 40)
	require.InDelta(t, mostShare, b.Share(), 1e-9)
}

func TestBalanceMovesAtOnceWhereWorkersTurnRequestsAway(t *testing.T) {
	b := NewShareAdjuster()
	observe(b, Load{DecodeOccupancy: 0.9}, 1)
	require.InDelta(t, usualShare-largestStep, b.Share(), 1e-9)
	b = NewShareAdjuster()
	observe(b, Load{DecodeOccupancy: fullDecode}, 1)
	require.Less(t, b.Share(), usualShare-shareStep, "the step goes by the load")
	b = NewShareAdjuster()
	observe(b, Load{DecodeOccupancy: 0.6}, confirmations)
	require.InDelta(t, usualShare-shareStep, b.Share(), 1e-9, "no more than busy: one small step")
}

func TestBalanceRestsBetweenItsBounds(t *testing.T) {
	b := NewShareAdjuster()
	observe(b, Load{DecodeOccupancy: (busyDecode + idleDecode) / 2, PrefillQueued: 5}, 40)
	require.InDelta(t, usualShare, b.Share(), 1e-9)
}

func TestBalanceStaysWithinItsBoundsAndStepsSlowly(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewShareAdjuster()
		for range rapid.IntRange(1, 200).Draw(t, "looks") {
			before := b.Share()
			b.Observe(Load{DecodeOccupancy: rapid.Float64Range(0, 2).Draw(t, "decode"), PrefillQueued: rapid.Float64Range(0, 9).Draw(t, "queued")})
			if b.Share() < leastShare || b.Share() > mostShare {
				t.Fatalf("share %v", b.Share())
			}
			if step := b.Share() - before; step > shareStep+1e-9 || step < -largestStep-1e-9 {
				t.Fatalf("step %v", step)
			}
		}
	})
}

// loadProber answers with a load by stage and counts.
type loadProber struct{ asked chan string }

func (p loadProber) Probe(_ context.Context, target fleetwire.Instance) (placement.Report, error) {
	p.asked <- target.ID
	if target.Stage == fleetwire.StagePrefill {
		return placement.Report{Queued: 3}, nil
	}
	return placement.Report{Running: 24, Queued: 8}, nil
}

func TestSurveyAsksABoundedSample(t *testing.T) {
	prober := loadProber{asked: make(chan string, 1000)}
	load, enough := survey(t.Context(), prober, workers(300, 100), 64)
	require.True(t, enough)
	require.Equal(t, Load{PrefillQueued: 3, DecodeOccupancy: 0.5}, load)
	require.Len(t, prober.asked, 2*surveySample)
	_, enough = survey(t.Context(), prober, workers(3, 0), 64)
	require.False(t, enough)
}
