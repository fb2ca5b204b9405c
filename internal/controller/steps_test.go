package controller

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

// workers returns a list of many workers, of which one drains.
func workers(draining int) []fleetwire.Instance {
	var list []fleetwire.Instance
	for i := range 300 {
		state := fleetwire.InstanceReady
		if i == draining {
			state = fleetwire.InstanceDraining
		}
		list = append(list, instance(fmt.Sprintf("w-%03d", i), state))
	}
	return list
}

func newHeldLists() (*lists, *watch.Hub) {
	hub := watch.NewHub(watch.HubOptions{})
	return newLists(hub, zap.NewNop()), hub
}

// Another controller that has the list before is brought to the newest by steps, with its age.
func TestStepsOfTheListReachAnotherController(t *testing.T) {
	reader, _ := newHeldLists()
	other, hub := newHeldLists()
	now := time.Now()
	reader.read(now, 1, workers(-1))
	require.Empty(t, reader.steps(now).Steps, "the first list goes whole")
	require.True(t, other.offer(now, reader.message(now)))

	reader.read(now, 1, workers(7))
	later := now.Add(300 * time.Millisecond)
	message := reader.steps(later)
	require.Len(t, message.Steps, 1)
	require.True(t, other.offerSteps(later, message))
	require.Equal(t, workers(7), hub.Current().Instances)
	version, age := other.held(later)
	require.Equal(t, fleetwire.ListVersion{Token: 1, Sequence: 2}, version)
	require.EqualValues(t, 300, age)
	require.Equal(t, workers(7), other.message(later).Instances)
	require.True(t, other.offerSteps(later, message), "once more changes nothing")
}

// A controller that lacks the list before, or holds another one under that version, asks for the whole list.
func TestStepsThatDoNotFitAreNotHeld(t *testing.T) {
	reader, _ := newHeldLists()
	now := time.Now()
	reader.read(now, 1, workers(-1))
	first := reader.message(now)
	reader.read(now, 1, workers(7))
	message := reader.steps(now)

	empty, _ := newHeldLists()
	require.False(t, empty.offerSteps(now, message))
	require.False(t, empty.offerSteps(now, stepsMessage{}))

	odd, hub := newHeldLists()
	first.Instances = workers(9)
	require.True(t, odd.offer(now, first))
	require.False(t, odd.offerSteps(now, message))
	require.Equal(t, workers(9), hub.Current().Instances)
	require.True(t, odd.offer(now, reader.message(now)))
	require.Equal(t, workers(7), hub.Current().Instances)
}

// Steps under an older token than that of the list held are passed over.
func TestStepsOfAFormerReaderAreNotTaken(t *testing.T) {
	former, _ := newHeldLists()
	now := time.Now()
	former.read(now, 1, workers(-1))
	other, hub := newHeldLists()
	other.offer(now, former.message(now))
	former.read(now, 1, workers(7))
	other.read(now, 2, workers(9))
	require.True(t, other.offerSteps(now, former.steps(now)), "a newer list is held")
	require.Equal(t, workers(9), hub.Current().Instances)
}
