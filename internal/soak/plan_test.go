package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestAPlanKeepsToItsShape(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		shape := PlanOptions{
			Routers:     rapid.IntRange(1, 120).Draw(t, "routers"),
			Controllers: rapid.SampledFrom([]int{3, 5, 9}).Draw(t, "controllers"),
			Length:      time.Duration(rapid.IntRange(5, 60).Draw(t, "seconds")) * time.Second,
			Kills:       rapid.Bool().Draw(t, "kills"),
		}
		seed := rapid.Uint64().Draw(t, "seed")
		events := Plan(seed, shape)
		require.Equal(t, events, Plan(seed, shape), "a seed names one plan")
		seen := map[Action]int{}
		lastController := -controllerSpacing
		for i, event := range events {
			seen[event.Action]++
			require.Less(t, event.At, shape.Length)
			require.True(t, i == 0 || events[i-1].At <= event.At)
			require.Less(t, event.Target, max(shape.Routers, shape.Controllers))
			if event.Action == ActionStopController || event.Action == ActionKillController {
				require.GreaterOrEqual(t, event.At-lastController, controllerSpacing)
				lastController = event.At
			}
		}
		require.Positive(t, seen[ActionStopFrontend])
		require.Positive(t, seen[ActionChange])
		if !shape.Kills {
			require.Zero(t, seen[ActionKillFrontend]+seen[ActionKillController])
		}
	})
}

// Series have to overlap, or nothing is tried that single troubles don't.
func TestMostPlansOverlapStopsAndChanges(t *testing.T) {
	const plans = 200
	overlapping := 0
	for seed := range uint64(plans) {
		first, last := map[Action]time.Duration{}, map[Action]time.Duration{}
		for _, event := range Plan(seed, PlanOptions{Routers: 8, Controllers: 3, Length: 20 * time.Second}) {
			if _, known := first[event.Action]; !known {
				first[event.Action] = event.At
			}
			last[event.Action] = event.At
		}
		if first[ActionStopFrontend] < last[ActionChange] && first[ActionChange] < last[ActionStopFrontend] {
			overlapping++
		}
	}
	require.Greater(t, overlapping, plans/2)
}
