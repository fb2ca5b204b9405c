package stages

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/internal/fleetwire"
)

func workers(prefill, decode int) []fleetwire.Instance {
	var list []fleetwire.Instance
	for i := range prefill + decode {
		stage := fleetwire.StageDecode
		if i < prefill {
			stage = fleetwire.StagePrefill
		}
		list = append(list, fleetwire.Instance{ID: fmt.Sprintf("i-%02d", i), Service: "llm", Zone: fmt.Sprintf("z%d", i%3),
			State: fleetwire.InstanceReady, Stage: stage})
	}
	return list
}

// obey gives each ordered worker its new stage.
func obey(list []fleetwire.Instance, orders []Order) {
	for _, order := range orders {
		for i := range list {
			if list[i].ID == order.Target.ID {
				list[i].Stage = order.Stage
			}
		}
	}
}

func count(list []fleetwire.Instance, stage string) (n int) {
	for _, worker := range list {
		if worker.Stage == stage {
			n++
		}
	}
	return n
}

func TestPlanReachesTheShareAndThenRests(t *testing.T) {
	for _, share := range []float64{0.1, 0.3, 0.7, 0.9} {
		planner := NewPlanner()
		list := workers(7, 11)
		now := time.Duration(0)
		for range 20 {
			obey(list, planner.Plan(now, list, share))
			now += time.Second
		}
		require.InDelta(t, share*18, float64(count(list, fleetwire.StagePrefill)), 1.6, "share %v", share)
		require.Empty(t, planner.Plan(now, list, share))
	}
}

func TestPlanBoundsWhatChangesAtOnce(t *testing.T) {
	planner := NewPlanner()
	list := workers(2, 16)
	first := planner.Plan(0, list, 0.7)
	require.Len(t, first, 3)
	require.Empty(t, planner.Plan(time.Second, list, 0.7), "the ordered ones have not changed yet")
	planner.OrderFailed(first[0].Target.ID)
	again := planner.Plan(2*time.Second, list, 0.7)
	require.Len(t, again, 1)
}

func TestOrdersThatAreNeverDoneCountAsLost(t *testing.T) {
	planner := NewPlanner()
	list := workers(2, 16)
	require.NotEmpty(t, planner.Plan(0, list, 0.7))
	require.NotEmpty(t, planner.Plan(pendingTimeout+time.Second, list, 0.7))
}

func TestPlanNeverStripsAStage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := NewPlanner()
		list := workers(rapid.IntRange(0, 20).Draw(t, "prefill"), rapid.IntRange(0, 20).Draw(t, "decode"))
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			share := rapid.Float64Range(0, 1).Draw(t, "share")
			before := map[string]int{fleetwire.StagePrefill: count(list, fleetwire.StagePrefill), fleetwire.StageDecode: count(list, fleetwire.StageDecode)}
			orders := planner.Plan(now, list, share)
			obey(list, orders)
			for _, order := range orders {
				from := order.Target.Stage
				if count(list, from) < leastOfStage {
					t.Fatalf("%d of %d workers are left to stage %s", count(list, from), before[from], from)
				}
				if order.Stage == from {
					t.Fatal("a worker was ordered to what it is")
				}
			}
			now += time.Second
		}
	})
}

func TestWorkersAreTakenFromTheZoneThatHasMost(t *testing.T) {
	planner := NewPlanner()
	list := workers(0, 18)
	for i := range list {
		list[i].Zone = "small"
		if i >= 6 {
			list[i].Zone = "large"
		}
	}
	for _, order := range planner.Plan(0, list, 0.5) {
		require.Equal(t, "large", order.Target.Zone)
	}
}
