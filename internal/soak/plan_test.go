package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

// A plan depends only on its seed and options, stays within the run and its machines, spaces disturbances of controllers, and
// contains stops and changes.
func TestPlanFollowsOptions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := PlanOptions{
			Routers:     rapid.IntRange(1, 120).Draw(t, "routers"),
			Controllers: rapid.SampledFrom([]int{3, 5, 9}).Draw(t, "controllers"),
			Length:      time.Duration(rapid.IntRange(5, 60).Draw(t, "seconds")) * time.Second,
			Kills:       rapid.Bool().Draw(t, "kills"),
		}
		seed := rapid.Uint64().Draw(t, "seed")
		events := Plan(seed, options)
		require.Equal(t, events, Plan(seed, options), "the same seed gives the same plan")
		seen := map[Action]int{}
		lastController := -controllerSpacing
		for i, event := range events {
			seen[event.Action]++
			require.Less(t, event.At, options.Length)
			require.True(t, i == 0 || events[i-1].At <= event.At)
			require.Less(t, event.Target, max(options.Routers, options.Controllers))
			if event.Action == ActionStopController || event.Action == ActionKillController {
				require.GreaterOrEqual(t, event.At-lastController, controllerSpacing)
				lastController = event.At
			}
		}
		require.Positive(t, seen[ActionStopFrontend])
		require.Positive(t, seen[ActionChange])
		if !options.Kills {
			require.Zero(t, seen[ActionKillFrontend]+seen[ActionKillController])
		}
	})
}

// Plans whose series don't overlap would test nothing beyond single disturbances.
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
