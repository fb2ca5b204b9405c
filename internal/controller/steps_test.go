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

// testWorkers returns a list of many workers. The worker with the given index drains; -1 is none.
func testWorkers(draining int) []fleetwire.Instance {
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

func newTestListStore() (*listStore, *watch.Hub) {
	hub := watch.NewHub(watch.HubOptions{})
	return newListStore(hub, zap.NewNop()), hub
}

// A controller that holds the previous list reaches the newest one, and its age, by steps.
func TestStepsUpdateTheListOfAnotherController(t *testing.T) {
	reader, _ := newTestListStore()
	other, hub := newTestListStore()
	now := time.Now()
	reader.acceptRead(now, 1, testWorkers(-1))
	require.Empty(t, reader.latestSteps(now).Steps, "the first list must be sent in full")
	require.True(t, other.acceptList(now, reader.message(now)))

	reader.acceptRead(now, 1, testWorkers(7))
	later := now.Add(300 * time.Millisecond)
	message := reader.latestSteps(later)
	require.Len(t, message.Steps, 1)
	require.True(t, other.acceptSteps(later, message))
	require.Equal(t, testWorkers(7), hub.Current().Instances)
	version, age := other.versionAndAge(later)
	require.Equal(t, fleetwire.ListVersion{Token: 1, Sequence: 2}, version)
	require.EqualValues(t, 300, age)
	require.Equal(t, testWorkers(7), other.message(later).Instances)
	require.True(t, other.acceptSteps(later, message), "repeated steps must have no effect")
}

// A controller that lacks the previous list, or holds a different list under its version, needs the full list.
func TestStepsFromAnotherListAreRejected(t *testing.T) {
	reader, _ := newTestListStore()
	now := time.Now()
	reader.acceptRead(now, 1, testWorkers(-1))
	first := reader.message(now)
	reader.acceptRead(now, 1, testWorkers(7))
	message := reader.latestSteps(now)

	empty, _ := newTestListStore()
	require.False(t, empty.acceptSteps(now, message))
	require.False(t, empty.acceptSteps(now, stepsMessage{}))

	different, hub := newTestListStore()
	first.Instances = testWorkers(9)
	require.True(t, different.acceptList(now, first))
	require.False(t, different.acceptSteps(now, message))
	require.Equal(t, testWorkers(9), hub.Current().Instances)
	require.True(t, different.acceptList(now, reader.message(now)))
	require.Equal(t, testWorkers(7), hub.Current().Instances)
}

// Steps under an older token than that of the stored list are ignored.
func TestStepsOfAFormerReaderAreIgnored(t *testing.T) {
	former, _ := newTestListStore()
	now := time.Now()
	former.acceptRead(now, 1, testWorkers(-1))
	other, hub := newTestListStore()
	other.acceptList(now, former.message(now))
	former.acceptRead(now, 1, testWorkers(7))
	other.acceptRead(now, 2, testWorkers(9))
	require.True(t, other.acceptSteps(now, former.latestSteps(now)), "a newer list is stored")
	require.Equal(t, testWorkers(9), hub.Current().Instances)
}
