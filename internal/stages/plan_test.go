package stages

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/internal/fleetwire"
)

// workers returns ready workers of both stages, spread over three zones.
func workers(prefill, decode int) []fleetwire.Instance {
	var instances []fleetwire.Instance
	for i := range prefill + decode {
		stage := fleetwire.StageDecode
		if i < prefill {
			stage = fleetwire.StagePrefill
		}
		instances = append(instances, fleetwire.Instance{ID: fmt.Sprintf("i-%02d", i), Service: "llm", Zone: fmt.Sprintf("z%d", i%3),
			State: fleetwire.InstanceReady, Stage: stage})
	}
	return instances
}

// applyOrders changes the stage of each worker that has an order.
func applyOrders(instances []fleetwire.Instance, orders []Order) {
	for _, order := range orders {
		for i := range instances {
			if instances[i].ID == order.Target.ID {
				instances[i].Stage = order.Stage
			}
		}
	}
}

// countInStage returns the number of workers that have the stage.
func countInStage(instances []fleetwire.Instance, stage string) (n int) {
	for _, worker := range instances {
		if worker.Stage == stage {
			n++
		}
	}
	return n
}

func TestPlanReachesShareAndStops(t *testing.T) {
	for _, share := range []float64{0.1, 0.3, 0.7, 0.9} {
		planner := NewPlanner()
		instances := workers(7, 11)
		now := time.Duration(0)
		for range 20 {
			applyOrders(instances, planner.Plan(now, instances, share))
			now += time.Second
		}
		require.InDelta(t, share*18, float64(countInStage(instances, fleetwire.StagePrefill)), 1.6, "share %v", share)
		require.Empty(t, planner.Plan(now, instances, share))
	}
}

func TestPlanLimitsConcurrentSwitches(t *testing.T) {
	planner := NewPlanner()
	instances := workers(2, 16)
	first := planner.Plan(0, instances, 0.7)
	require.Len(t, first, 3)
	require.Empty(t, planner.Plan(time.Second, instances, 0.7), "the ordered workers have not changed their stage yet")
	planner.OrderFailed(first[0].Target.ID)
	again := planner.Plan(2*time.Second, instances, 0.7)
	require.Len(t, again, 1)
}

func TestPendingOrdersTimeOut(t *testing.T) {
	planner := NewPlanner()
	instances := workers(2, 16)
	require.NotEmpty(t, planner.Plan(0, instances, 0.7))
	require.NotEmpty(t, planner.Plan(pendingTimeout+time.Second, instances, 0.7))
}

func TestPlanKeepsMinimumOfEachStage(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		planner := NewPlanner()
		instances := workers(rapid.IntRange(0, 20).Draw(t, "prefill"), rapid.IntRange(0, 20).Draw(t, "decode"))
		now := time.Duration(0)
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			share := rapid.Float64Range(0, 1).Draw(t, "share")
			before := map[string]int{fleetwire.StagePrefill: countInStage(instances, fleetwire.StagePrefill), fleetwire.StageDecode: countInStage(instances, fleetwire.StageDecode)}
			orders := planner.Plan(now, instances, share)
			applyOrders(instances, orders)
			for _, order := range orders {
				from := order.Target.Stage
				if countInStage(instances, from) < minWorkersPerStage {
					t.Fatalf("%d of %d workers are left to stage %s", countInStage(instances, from), before[from], from)
				}
				if order.Stage == from {
					t.Fatal("a worker was ordered to the stage that it has")
				}
			}
			now += time.Second
		}
	})
}

func TestPlanTakesWorkersFromLargestZone(t *testing.T) {
	planner := NewPlanner()
	instances := workers(0, 18)
	for i := range instances {
		instances[i].Zone = "small"
		if i >= 6 {
			instances[i].Zone = "large"
		}
	}
	for _, order := range planner.Plan(0, instances, 0.5) {
		require.Equal(t, "large", order.Target.Zone)
	}
}
