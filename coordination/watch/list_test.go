package watch

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/internal/fleetwire"
)

// largeList returns a list with the given number of workers. The worker at index changed has the given version.
func largeList(workers, changed int, version string) []fleetwire.Instance {
	var list []fleetwire.Instance
	for i := range workers {
		instance := fleetwire.Instance{ID: fmt.Sprintf("w-%04d", i), Service: "service", Address: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			State: fleetwire.InstanceReady, Version: "v1"}
		if i == changed {
			instance.Version = version
		}
		list = append(list, instance)
	}
	return list
}

// pollHub polls a hub once without waiting. have is the sequence of the list that the subscriber holds, or 0.
func pollHub(t require.TestingT, hub *Hub, have uint64, steps bool) fleetwire.WatchReply {
	request := fleetwire.WatchRequest{Steps: steps}
	if have > 0 {
		request.Have.Instances = listVersion(have)
	}
	reply, err := hub.Serve(context.Background(), request)
	require.NoError(t, err)
	return reply
}

// TestHubSendsSteps checks that a subscriber receives the steps from its version, and the full list if it accepts no steps,
// holds no list or holds a version whose steps are no longer kept.
func TestHubSendsSteps(t *testing.T) {
	const last = 2*maxKeptSteps + 5
	hub := NewHub(HubOptions{})
	for sequence := uint64(1); sequence <= last; sequence++ {
		require.NoError(t, hub.PublishInstances(listVersion(sequence), largeList(900, int(sequence), fmt.Sprint(sequence))))
	}
	reply := pollHub(t, hub, last-1, true)
	require.Nil(t, reply.Instances)
	require.Len(t, reply.Steps, 1)
	require.Less(t, len(reply.Steps[0].Body), 200)
	require.Len(t, pollHub(t, hub, last-3, true).Steps, 3)
	for name, reply := range map[string]fleetwire.WatchReply{
		"accepts no steps": pollHub(t, hub, last-1, false), "no list": pollHub(t, hub, 0, true), "steps not kept": pollHub(t, hub, 2, true),
	} {
		require.Empty(t, reply.Steps, name)
		var list []fleetwire.Instance
		require.NoError(t, unpack(reply.Instances, &list))
		require.Equal(t, largeList(900, last, fmt.Sprint(last)), list, name)
	}
}

// TestHubSendsFullLists checks that a list is sent in full if it differs in most instances from the previous one or is not
// sorted.
func TestHubSendsFullLists(t *testing.T) {
	hub := NewHub(HubOptions{})
	require.NoError(t, hub.PublishInstances(listVersion(1), largeList(100, -1, "")))
	require.NoError(t, hub.PublishInstances(listVersion(2), largeList(900, -1, "")))
	require.NotNil(t, pollHub(t, hub, 1, true).Instances)
	reversed := largeList(900, -1, "")
	slices.Reverse(reversed)
	require.NoError(t, hub.PublishInstances(listVersion(3), reversed))
	require.NotNil(t, pollHub(t, hub, 2, true).Instances)
	require.NoError(t, hub.PublishInstances(listVersion(4), largeList(900, -1, "")))
	require.NotNil(t, pollHub(t, hub, 3, true).Instances)
}

// manualChain consists of a hub, an agent that relays it without decoding and a router that follows the agent. The tests call
// their polls directly.
type manualChain struct {
	origin, relay *Hub
	agent, router *Follower
}

func newManualChain() *manualChain {
	c := &manualChain{origin: NewHub(HubOptions{}), relay: NewHub(HubOptions{})}
	c.agent = NewFollower(FollowerOptions{Relay: c.relay, Sources: func() []string { return []string{"origin"} }})
	c.newRouter()
	return c
}

// newRouter replaces the router by a new one without a snapshot.
func (c *manualChain) newRouter() {
	c.router = NewFollower(FollowerOptions{OnChange: func(*Snapshot) {}, Sources: func() []string { return []string{"relay"} }})
}

// pollOnce makes a follower poll a hub once and applies change, if any, to the reply in transit.
func pollOnce(follower *Follower, hub *Hub, change func(*fleetwire.WatchReply)) {
	poll, request := follower.NextPoll(time.Now())
	request.WaitMs = 0
	sent := time.Now()
	reply, err := hub.Serve(context.Background(), request)
	if err != nil {
		follower.HandleFailure(time.Now(), poll)
		return
	}
	reply.Steps = slices.Clone(reply.Steps)
	if change != nil {
		change(&reply)
	}
	follower.HandleReply(time.Now(), sent, poll, &reply)
}

// TestChainHoldsNewestList runs random publications, polls and restarts. After each poll, the agent and the router must hold
// the newest list of the hub that they polled.
func TestChainHoldsNewestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newManualChain()
		lists := [][]fleetwire.Instance{nil}
		checkList := func(snapshot *Snapshot) {
			if snapshot != nil {
				require.Equal(t, len(lists[snapshot.Version.Instances.Sequence]), len(snapshot.Instances))
				for i, instance := range lists[snapshot.Version.Instances.Sequence] {
					require.True(t, equalInstances(&instance, &snapshot.Instances[i]))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				lists = append(lists, drawSortedList(t, "list"))
				require.NoError(t, c.origin.PublishInstances(listVersion(uint64(len(lists)-1)), lists[len(lists)-1]))
			},
			"publish a small change": func(t *rapid.T) {
				next := largeList(60, rapid.IntRange(0, 59).Draw(t, "worker"), fmt.Sprint(len(lists)))
				lists = append(lists, next)
				require.NoError(t, c.origin.PublishInstances(listVersion(uint64(len(lists)-1)), next))
			},
			"agent polls": func(t *rapid.T) {
				pollOnce(c.agent, c.origin, nil)
				require.Equal(t, c.origin.Current().Version, c.relay.Current().Version)
			},
			"router polls": func(t *rapid.T) {
				pollOnce(c.router, c.relay, nil)
				require.Equal(t, c.relay.Current().Version, c.router.Current().Version)
			},
			"router restarts": func(*rapid.T) { c.newRouter() },
			"": func(t *rapid.T) {
				checkList(c.router.Current())
			},
		})
	})
}

// TestFollowerRequestsFullListAfterInvalidSteps checks that steps that are corrupted in transit are rejected, and that the
// follower then requests the full list and accepts steps again.
func TestFollowerRequestsFullListAfterInvalidSteps(t *testing.T) {
	corruptions := map[string]func(*fleetwire.WatchReply){
		"digest":            func(reply *fleetwire.WatchReply) { reply.Steps[0].Digest++ },
		"body":              func(reply *fleetwire.WatchReply) { reply.Steps[0].Body = fleetwire.Packed{9} },
		"base version":      func(reply *fleetwire.WatchReply) { reply.Steps[0].From = listVersion(77) },
		"announced version": func(reply *fleetwire.WatchReply) { reply.Now.Instances = listVersion(99) },
	}
	for name, corrupt := range corruptions {
		c := newManualChain()
		require.NoError(t, c.origin.PublishInstances(listVersion(1), largeList(900, 1, "a")))
		pollOnce(c.router, c.origin, nil)
		require.NoError(t, c.origin.PublishInstances(listVersion(2), largeList(900, 1, "b")))
		pollOnce(c.router, c.origin, corrupt)
		require.Equal(t, listVersion(1), c.router.Current().Version.Instances, name)
		require.Equal(t, largeList(900, 1, "a"), c.router.Current().Instances, name)
		full := false
		pollOnce(c.router, c.origin, func(reply *fleetwire.WatchReply) { full = reply.Instances != nil })
		require.True(t, full, name)
		require.Equal(t, largeList(900, 1, "b"), c.router.Current().Instances, name)
		require.NoError(t, c.origin.PublishInstances(listVersion(3), largeList(900, 1, "c")))
		pollOnce(c.router, c.origin, func(reply *fleetwire.WatchReply) { require.Len(t, reply.Steps, 1, name) })
		require.Equal(t, largeList(900, 1, "c"), c.router.Current().Instances, name)
	}
}

// TestRelayRecoversFromInvalidSteps checks a relay that receives invalid steps. It detects them only when it builds the full
// list for a subscriber. It must then fail that poll and request the full list itself.
func TestRelayRecoversFromInvalidSteps(t *testing.T) {
	c := newManualChain()
	require.NoError(t, c.origin.PublishInstances(listVersion(1), largeList(900, 1, "a")))
	pollOnce(c.agent, c.origin, nil)
	require.NoError(t, c.origin.PublishInstances(listVersion(2), largeList(900, 1, "b")))
	pollOnce(c.agent, c.origin, func(reply *fleetwire.WatchReply) { reply.Steps[0].Digest++ })
	require.Equal(t, listVersion(2), c.relay.Current().Version.Instances)

	pollOnce(c.router, c.relay, nil)
	require.Nil(t, c.router.Current(), "a relay must not send a list that it can't build")
	pollOnce(c.agent, c.origin, nil)
	pollOnce(c.router, c.relay, nil)
	require.Equal(t, largeList(900, 1, "b"), c.router.Current().Instances)
	require.False(t, c.relay.listCorrupt.Load())
}

// TestStepsEndHeldPolls checks that a held poll is answered with steps as soon as the list changes.
func TestStepsEndHeldPolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(HubOptions{})
		require.NoError(t, hub.PublishInstances(listVersion(1), largeList(900, 1, "a")))
		time.AfterFunc(100*time.Millisecond, func() { _ = hub.PublishInstances(listVersion(2), largeList(900, 1, "b")) })
		start := time.Now()
		request := fleetwire.WatchRequest{Have: fleetwire.Version{Instances: listVersion(1)}, WaitMs: 1000, Steps: true}
		reply, err := hub.Serve(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, 100*time.Millisecond, time.Since(start))
		require.Len(t, reply.Steps, 1)
	})
}
