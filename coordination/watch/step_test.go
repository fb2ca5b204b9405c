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

// orderedList draws a list in the order of its ids, of few ids so that lists overlap.
func orderedList(t *rapid.T, label string) []fleetwire.Instance {
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

// What leads from one list to another makes the other of the one, with its digest.
func TestDeltaLeadsToTheList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to := orderedList(t, "from"), orderedList(t, "to")
		got, digest, err := applyDelta(from, listDigest(from), diffLists(from, to))
		require.NoError(t, err)
		require.Equal(t, to, got)
		require.Equal(t, listDigest(to), digest)
	})
}

// A delta holds nothing that stays.
func TestDeltaIsSmall(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := orderedList(t, "list")
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

// A change of any field, also of one that is added to the type later, is a change of the entry and of its digest.
func TestEachFieldCounts(t *testing.T) {
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
			t.Fatalf("a field of another kind: %s", kind.Field(i).Name)
		}
		require.False(t, equalInstances(&plain, &changed), kind.Field(i).Name)
		require.NotEqual(t, instanceDigest(&plain), instanceDigest(&changed), kind.Field(i).Name)
	}
}

// A delta that belongs to another list is refused or seen by the digest.
func TestStepsOfAnotherList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		from, to, other := orderedList(t, "from"), orderedList(t, "to"), orderedList(t, "other")
		body, err := pack(diffLists(from, to))
		require.NoError(t, err)
		step := fleetwire.ListStep{From: listVersion(1), To: listVersion(2), Digest: listDigest(to), Body: body}
		got, _, err := applySteps(other, listDigest(other), []fleetwire.ListStep{step})
		if err == nil {
			require.Equal(t, to, got, "where it fits, it leads to the same list")
		}
	})
}

func TestDeltaOutOfOrderIsRefused(t *testing.T) {
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
