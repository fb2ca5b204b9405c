package watch

import (
	"fmt"
	"reflect"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/internal/fleetwire"
)

// drawSortedList draws a list that is sorted by ID. The range of IDs is small so that lists overlap.
func drawSortedList(t *rapid.T, label string) []fleetwire.Instance {
	ids := rapid.SliceOfNDistinct(rapid.IntRange(0, 30), 0, 20, rapid.ID[int]).Draw(t, label)
	slices.Sort(ids)
	list := []fleetwire.Instance{}
	for _, id := range ids {
		instance := fleetwire.Instance{
			ID:      fmt.Sprintf("w-%02d", id),
			Service: "service",
			Address: fmt.Sprintf("10.0.0.%d:80", id),
			State:   rapid.SampledFrom([]string{fleetwire.InstanceReady, fleetwire.InstanceDraining}).Draw(t, "state"),
			Version: rapid.SampledFrom([]string{"v1", "v2"}).Draw(t, "version"),
		}
		if rapid.Bool().Draw(t, "model") {
			instance.Models = []fleetwire.Model{{Name: "m", Version: rapid.Int64Range(1, 2).Draw(t, "model version")}}
		}
		list = append(list, instance)
	}
	return list
}

// TestDeltaProducesTargetList checks that applying the delta between two lists to the first yields the second and its digest.
func TestDeltaProducesTargetList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := drawSortedList(t, "from"), drawSortedList(t, "to")
		got, digest, err := applyDelta(from, listDigest(from), diffLists(from, to))
		require.NoError(t, err)
		require.Equal(t, to, got)
		require.Equal(t, listDigest(to), digest)
	})
}

// TestDeltaOmitsUnchangedInstances checks that a delta contains changed instances only.
func TestDeltaOmitsUnchangedInstances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := drawSortedList(t, "list")
		require.Zero(t, diffLists(list, list))
		changed := slices.Clone(list)
		if len(changed) == 0 {
			return
		}
		changed[rapid.IntRange(0, len(list)-1).Draw(t, "which")].Slots = 7
		require.Len(t, diffLists(list, changed).Put, 1)
		require.Empty(t, diffLists(list, changed).Removed)
	})
}

// TestEveryFieldIsComparedAndDigested guards against a field that is added to Instance but ignored by equalInstances or by the
// digest: followers would miss changes of it.
func TestEveryFieldIsComparedAndDigested(t *testing.T) {
	var plain fleetwire.Instance
	kind := reflect.TypeFor[fleetwire.Instance]()
	for i := range kind.NumField() {
		changed := plain
		field := reflect.ValueOf(&changed).Elem().Field(i)
		switch field.Kind() {
		case reflect.String:
			field.SetString("x")
		case reflect.Int, reflect.Int64:
			field.SetInt(1)
		case reflect.Slice:
			field.Set(reflect.MakeSlice(field.Type(), 1, 1))
		default:
			t.Fatalf("field %s has a kind that the test does not support", kind.Field(i).Name)
		}
		require.False(t, equalInstances(&plain, &changed), kind.Field(i).Name)
		require.NotEqual(t, instanceDigest(&plain), instanceDigest(&changed), kind.Field(i).Name)
	}
}

// TestStepsOfAnotherList checks that a step applied to a list other than its base is rejected, by the delta's form or by the
// digest, unless it produces the announced list.
func TestStepsOfAnotherList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to, other := drawSortedList(t, "from"), drawSortedList(t, "to"), drawSortedList(t, "other")
		body, err := pack(diffLists(from, to))
		require.NoError(t, err)
		step := fleetwire.ListStep{From: listVersion(1), To: listVersion(2), Digest: listDigest(to), Body: body}
		got, _, err := applySteps(other, listDigest(other), []fleetwire.ListStep{step})
		if err == nil {
			require.Equal(t, to, got, "a step that is accepted must produce the announced list")
		}
	})
}

func TestInvalidDeltaIsRejected(t *testing.T) {
	for _, delta := range []fleetwire.ListDelta{
		{Put: []fleetwire.Instance{{ID: "b"}, {ID: "a"}}},
		{Put: []fleetwire.Instance{{ID: "a"}, {ID: "a"}}},
		{Removed: []string{"b", "a"}},
		{Removed: []string{"absent"}},
	} {
		_, _, err := applyDelta([]fleetwire.Instance{{ID: "a"}, {ID: "b"}}, 0, delta)
		require.ErrorIs(t, err, ErrStepMismatch)
	}
}

func listVersion(sequence uint64) fleetwire.ListVersion {
	return fleetwire.ListVersion{Token: 1, Sequence: sequence}
}
