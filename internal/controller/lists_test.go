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
	store := newListStore(hub, zap.NewNop())
	now := time.Now()
	ready := []fleetwire.Instance{instance("i", fleetwire.InstanceReady)}
	draining := []fleetwire.Instance{instance("i", fleetwire.InstanceDraining)}

	require.True(t, store.acceptRead(now, 4, ready))
	require.False(t, store.acceptRead(now.Add(time.Second), 4, ready), "the list has not changed")
	require.True(t, store.acceptRead(now.Add(time.Second), 4, draining))
	require.Equal(t, fleetwire.ListVersion{Token: 4, Sequence: 2}, hub.Current().Version.Instances)

	outdated := listMessage{Version: fleetwire.ListVersion{Token: 3, Sequence: 90}, Instances: ready}
	require.False(t, store.acceptList(now, outdated), "the list comes from a former reader")
	require.False(t, store.acceptRead(now, 3, ready), "the token of this reader is outdated")
	require.Equal(t, draining, hub.Current().Instances)

	next := listMessage{Version: fleetwire.ListVersion{Token: 5, Sequence: 1}, Instances: ready}
	require.True(t, store.observeVersion(now, next.Version, 0))
	require.True(t, store.acceptList(now, next))
	require.False(t, store.observeVersion(now, next.Version, 0))
	require.Equal(t, ready, hub.Current().Instances)
}

func TestEmptyListHasAVersion(t *testing.T) {
	store := newListStore(watch.NewHub(watch.HubOptions{}), zap.NewNop())
	require.True(t, store.acceptRead(time.Now(), 1, nil))
	version, _ := store.versionAndAge(time.Now())
	require.Equal(t, fleetwire.ListVersion{Token: 1, Sequence: 1}, version)
}

func TestListAgeComesFromTheReader(t *testing.T) {
	store := newListStore(watch.NewHub(watch.HubOptions{}), zap.NewNop())
	now := time.Now()
	version := fleetwire.ListVersion{Token: 1, Sequence: 1}
	store.acceptList(now, listMessage{Version: version, AgeMs: 900})
	_, age := store.versionAndAge(now)
	require.Equal(t, int64(900), age)
	store.observeVersion(now.Add(time.Second), version, 200)
	_, age = store.versionAndAge(now.Add(time.Second))
	require.Equal(t, int64(200), age)
	store.observeVersion(now.Add(time.Second), version, 5000)
	_, age = store.versionAndAge(now.Add(time.Second))
	require.Equal(t, int64(200), age, "an older confirmation must not change the age")
}

func TestAgentCounterCountsEachAgentOnce(t *testing.T) {
	counter := newAgentCounter()
	now := time.Now()
	counter.recordPoll(now, "a")
	counter.recordPoll(now, "b")
	counter.recordRemote(now, []uint32{nameHash("b"), nameHash("c")})
	require.Equal(t, 3, counter.count(now))
	require.Len(t, counter.recentLocal(now), 2)
	counter.recordPoll(now.Add(agentTTL), "a")
	require.Equal(t, 1, counter.count(now.Add(agentTTL+1)))
}

func TestPeersBackOffForSilentAddresses(t *testing.T) {
	peers := newPeers("self", []string{"seed", "self"})
	peers.setReplicas([]string{"self", "replica"})
	now := time.Now()
	require.Equal(t, []string{"replica", "seed"}, peers.due(now, false))
	require.Empty(t, peers.due(now, false), "the heartbeats are in flight")
	for range 10 {
		peers.recordResult(now, "replica", errTokenMismatch)
		peers.recordResult(now, "seed", errTokenMismatch)
	}
	require.Empty(t, peers.due(now, false))
	require.Equal(t, []string{"replica", "seed"}, peers.due(now, true))
	peers.recordResult(now, "replica", errTokenMismatch)
	peers.recordResult(now, "seed", errTokenMismatch)
	require.Equal(t, []string{"replica"}, peers.due(now.Add(maxReplicaBackoff), false))
	require.Equal(t, []string{"seed"}, peers.due(now.Add(maxBackoff), false))

	peers.recordContact(now, "new")
	require.Equal(t, []string{"new", "replica", "self"}, peers.addresses(now))
	require.Equal(t, []string{"new", "replica"}, peers.others(now))
	require.Equal(t, []string{"replica", "self"}, peers.addresses(now.Add(contactTTL+1)))
}
