package controller

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

func instance(id, state string) fleetwire.Instance {
	return fleetwire.Instance{ID: id, Address: "10.0.0.1:80", State: state}
}

func TestListsAreOrderedByTokenAndSequence(t *testing.T) {
	hub := watch.NewHub(watch.HubOptions{})
	held := newLists(hub, zap.NewNop())
	now := time.Now()
	ready := []fleetwire.Instance{instance("i", fleetwire.InstanceReady)}
	draining := []fleetwire.Instance{instance("i", fleetwire.InstanceDraining)}

	require.True(t, held.read(now, 4, ready))
	require.False(t, held.read(now.Add(time.Second), 4, ready), "nothing new")
	require.True(t, held.read(now.Add(time.Second), 4, draining))
	require.Equal(t, fleetwire.ListVersion{Token: 4, Sequence: 2}, hub.Current().Version.Instances)

	late := listMessage{Version: fleetwire.ListVersion{Token: 3, Sequence: 90}, Instances: ready}
	require.False(t, held.offer(now, late), "of a former reader")
	require.False(t, held.read(now, 3, ready), "this controller was the former reader")
	require.Equal(t, draining, hub.Current().Instances)

	next := listMessage{Version: fleetwire.ListVersion{Token: 5, Sequence: 1}, Instances: ready}
	require.True(t, held.told(now, next.Version, 0))
	require.True(t, held.offer(now, next))
	require.False(t, held.told(now, next.Version, 0))
	require.Equal(t, ready, hub.Current().Instances)
}

func TestAnEmptyListIsAList(t *testing.T) {
	held := newLists(watch.NewHub(watch.HubOptions{}), zap.NewNop())
	require.True(t, held.read(time.Now(), 1, nil))
	version, _ := held.held(time.Now())
	require.Equal(t, fleetwire.ListVersion{Token: 1, Sequence: 1}, version)
}

func TestAListIsAsOldAsTheReaderSays(t *testing.T) {
	held := newLists(watch.NewHub(watch.HubOptions{}), zap.NewNop())
	now := time.Now()
	version := fleetwire.ListVersion{Token: 1, Sequence: 1}
	held.offer(now, listMessage{Version: version, AgeMs: 900})
	_, age := held.held(now)
	require.Equal(t, int64(900), age)
	held.told(now.Add(time.Second), version, 200)
	_, age = held.held(now.Add(time.Second))
	require.Equal(t, int64(200), age)
	held.told(now.Add(time.Second), version, 5000)
	_, age = held.held(now.Add(time.Second))
	require.Equal(t, int64(200), age, "an older word changes nothing")
}

func TestCensusCountsEachWatcherOnce(t *testing.T) {
	counted := newCensus()
	now := time.Now()
	counted.saw(now, "a")
	counted.saw(now, "b")
	counted.told(now, []uint32{nameHash("b"), nameHash("c")})
	require.Equal(t, 3, counted.count(now))
	require.Len(t, counted.seenHere(now), 2)
	counted.saw(now.Add(censusWindow), "a")
	require.Equal(t, 1, counted.count(now.Add(censusWindow+1)))
}

func TestRosterSlowsDownForSilentAddresses(t *testing.T) {
	known := newRoster("self", []string{"seed", "self"})
	known.setReplicas([]string{"self", "replica"})
	now := time.Now()
	require.Equal(t, []string{"replica", "seed"}, known.due(now, false))
	require.Empty(t, known.due(now, false), "under way")
	for range 10 {
		known.done(now, "replica", errRoleMoved)
		known.done(now, "seed", errRoleMoved)
	}
	require.Empty(t, known.due(now, false))
	require.Equal(t, []string{"replica", "seed"}, known.due(now, true))
	known.done(now, "replica", errRoleMoved)
	known.done(now, "seed", errRoleMoved)
	require.Equal(t, []string{"replica"}, known.due(now.Add(replicaSlowdown), false))
	require.Equal(t, []string{"seed"}, known.due(now.Add(maxSlowdown), false))

	known.heard(now, "new")
	require.Equal(t, []string{"new", "replica", "self"}, known.known(now))
	require.Equal(t, []string{"new", "replica"}, known.others(now))
	require.Equal(t, []string{"replica", "self"}, known.known(now.Add(rumourSpan+1)))
}
