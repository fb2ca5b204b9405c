package register

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func planner(id string, silent map[string]time.Duration) Planner {
	return Planner{
		Self: replicas(id)[0], TargetReplicas: 3, MaxReplicas: 6, RemoveAfter: time.Second,
		SilentFor: func(r Replica) time.Duration { return silent[r.ID] },
	}
}

func TestPlannerNext(t *testing.T) {
	cases := map[string]struct {
		planner Planner
		set     []Replica
		want    []Replica // nil: no change
	}{
		"joins":                              {planner("d", nil), replicas("a", "b"), replicas("a", "b", "d")},
		"joins a set of responsive replicas": {planner("d", nil), replicas("a", "b", "c"), replicas("a", "b", "c", "d")},
		"replaces a silent one": {planner("d", map[string]time.Duration{"b": 1}), replicas("a", "b", "c"),
			replicas("a", "c", "d")},
		"replaces the one silent for longest": {planner("d", map[string]time.Duration{"b": 1, "c": 2}), replicas("a", "b", "c"),
			replicas("a", "b", "d")},
		"keeps a silent one in a small set": {planner("d", map[string]time.Duration{"b": 1}), replicas("a", "b"), replicas("a", "b", "d")},
		"finds no room":                     {planner("g", nil), replicas("a", "b", "c", "d", "e", "f"), nil},
		"has nothing to do":                 {planner("a", nil), replicas("a", "b", "c"), nil},
		"never shrinks below target":        {planner("a", map[string]time.Duration{"b": time.Hour}), replicas("a", "b", "c"), nil},
		"removes a silent one": {planner("a", map[string]time.Duration{"b": time.Hour}), replicas("a", "b", "c", "d"),
			replicas("a", "c", "d")},
		"waits for a short silence": {planner("a", map[string]time.Duration{"b": time.Millisecond}), replicas("a", "b", "c", "d"), nil},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			value := Value{Replicas: c.set}
			next := c.planner.Next(value)
			if c.want == nil {
				require.Equal(t, value, next)
				return
			}
			require.Equal(t, c.set, next.Previous)
			require.ElementsMatch(t, c.want, next.Replicas)
			require.Equal(t, next.Replicas, c.planner.Next(next).Replicas)
			require.False(t, new(c.planner.Next(next)).Joint(), "the next step finishes the reconfiguration")
		})
	}
}

func TestPlannerReplacesTheFormerIdentityOfAWipedDisk(t *testing.T) {
	p := planner("b", nil)
	p.Self = Replica{ID: "new", Address: "at b"}
	next := p.Next(Value{Replicas: replicas("a", "b", "c")})
	require.ElementsMatch(t, append(replicas("a", "c"), p.Self), next.Replicas)
}

func TestPlannerLeaves(t *testing.T) {
	p := planner("a", nil)
	p.Leaving = true
	next := p.Next(Value{Replicas: replicas("a", "b", "c", "d")})
	require.Equal(t, replicas("b", "c", "d"), next.Replicas)
	few := Value{Replicas: replicas("a", "b", "c")}
	require.Equal(t, few, p.Next(few))
}

// Whichever replicas are silent, a set that has reached its target size must not shrink below it, and one step must remove at
// most one member.
func TestPlannerNeverShrinksASetBelowItsTarget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		names := []string{"a", "b", "c", "d", "e", "f", "g"}
		set := replicas(names[:rapid.IntRange(1, 6).Draw(t, "size")]...)
		silent := map[string]time.Duration{}
		for _, name := range names {
			silent[name] = time.Duration(rapid.IntRange(0, 3).Draw(t, name)) * time.Second
		}
		p := planner(rapid.SampledFrom(names).Draw(t, "self"), silent)
		p.Leaving = rapid.Bool().Draw(t, "leaving")
		next := p.Next(Value{Replicas: set})
		require.GreaterOrEqual(t, len(next.Replicas), min(len(set), p.TargetReplicas))
		require.LessOrEqual(t, len(next.Replicas), max(len(set), p.MaxReplicas))
		require.LessOrEqual(t, len(set)-len(next.Replicas), 1)
	})
}
