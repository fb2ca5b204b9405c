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

// longList returns a list of workers, one of them at a version of its own.
func longList(workers, changed int, version string) []fleetwire.Instance {
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

func poll(t require.TestingT, hub *Hub, have uint64, steps bool) fleetwire.WatchReply {
	request := fleetwire.WatchRequest{Steps: steps}
	if have > 0 {
		request.Have.Instances = listVersion(have)
	}
	reply, err := hub.Serve(context.Background(), request)
	require.NoError(t, err)
	return reply
}

// A watcher gets the steps from what it has, or the whole list where it takes none, has nothing or was away for long.
func TestHubSendsSteps(t *testing.T) {
	const last = 2*maxSteps + 5
	hub := NewHub(HubOptions{})
	for sequence := uint64(1); sequence <= last; sequence++ {
		require.NoError(t, hub.PublishInstances(listVersion(sequence), longList(900, int(sequence), fmt.Sprint(sequence))))
	}
	reply := poll(t, hub, last-1, true)
	require.Nil(t, reply.Instances)
	require.Len(t, reply.Steps, 1)
	require.Less(t, len(reply.Steps[0].Body), 200)
	require.Len(t, poll(t, hub, last-3, true).Steps, 3)
	for name, reply := range map[string]fleetwire.WatchReply{
		"takes none": poll(t, hub, last-1, false), "has nothing": poll(t, hub, 0, true), "away": poll(t, hub, 2, true),
	} {
		require.Empty(t, reply.Steps, name)
		var list []fleetwire.Instance
		require.NoError(t, unpack(reply.Instances, &list))
		require.Equal(t, longList(900, last, fmt.Sprint(last)), list, name)
	}
}

// A list that differs in most entries, or is not in order, goes whole.
func TestHubSendsWholeLists(t *testing.T) {
	hub := NewHub(HubOptions{})
	require.NoError(t, hub.PublishInstances(listVersion(1), longList(100, -1, "")))
	require.NoError(t, hub.PublishInstances(listVersion(2), longList(900, -1, "")))
	require.NotNil(t, poll(t, hub, 1, true).Instances)
	backwards := longList(900, -1, "")
	slices.Reverse(backwards)
	require.NoError(t, hub.PublishInstances(listVersion(3), backwards))
	require.NotNil(t, poll(t, hub, 2, true).Instances)
	require.NoError(t, hub.PublishInstances(listVersion(4), longList(900, -1, "")))
	require.NotNil(t, poll(t, hub, 3, true).Instances)
}

// relayed is a hub, an agent that relays without decoding, and a router behind it, driven by hand.
type relayed struct {
	top, relay    *Hub
	agent, router *Follower
}

func newRelayed() *relayed {
	c := &relayed{top: NewHub(HubOptions{}), relay: NewHub(HubOptions{})}
	c.agent = NewFollower(FollowerOptions{Relay: c.relay, Sources: func() []string { return []string{"top"} }})
	c.newRouter()
	return c
}

func (c *relayed) newRouter() {
	c.router = NewFollower(FollowerOptions{OnChange: func(*Snapshot) {}, Sources: func() []string { return []string{"relay"} }})
}

// pollOnce has a follower poll a hub once, and a change done to the answer on its way.
func pollOnce(follower *Follower, hub *Hub, change func(*fleetwire.WatchReply)) {
	ask, request := follower.NextPoll(time.Now())
	request.WaitMs = 0
	sent := time.Now()
	reply, err := hub.Serve(context.Background(), request)
	if err != nil {
		follower.HandleFailure(time.Now(), ask)
		return
	}
	reply.Steps = slices.Clone(reply.Steps)
	if change != nil {
		change(&reply)
	}
	follower.HandleReply(time.Now(), sent, ask, &reply)
}

// Whatever the lists, the polls and the restarts, each who has polled has the newest list of what it polled.
func TestChainHoldsTheNewestList(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newRelayed()
		lists := [][]fleetwire.Instance{nil}
		held := func(snapshot *Snapshot) {
			if snapshot != nil {
				require.Equal(t, len(lists[snapshot.Version.Instances.Sequence]), len(snapshot.Instances))
				for i, instance := range lists[snapshot.Version.Instances.Sequence] {
					require.True(t, sameInstance(&instance, &snapshot.Instances[i]))
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"publish": func(t *rapid.T) {
				lists = append(lists, orderedList(t, "list"))
				require.NoError(t, c.top.PublishInstances(listVersion(uint64(len(lists)-1)), lists[len(lists)-1]))
			},
			"publish a small change": func(t *rapid.T) {
				next := longList(60, rapid.IntRange(0, 59).Draw(t, "worker"), fmt.Sprint(len(lists)))
				lists = append(lists, next)
				require.NoError(t, c.top.PublishInstances(listVersion(uint64(len(lists)-1)), next))
			},
			"agent polls": func(t *rapid.T) {
				pollOnce(c.agent, c.top, nil)
				require.Equal(t, c.top.Current().Version, c.relay.Current().Version)
			},
			"router polls": func(t *rapid.T) {
				pollOnce(c.router, c.relay, nil)
				require.Equal(t, c.relay.Current().Version, c.router.Current().Version)
			},
			"router starts again": func(*rapid.T) { c.newRouter() },
			"": func(t *rapid.T) {
				held(c.router.Current())
			},
		})
	})
}

// Steps that were spoilt on their way are not taken, and the whole list heals the watcher.
func TestSpoiltStepsAreReplacedByTheWholeList(t *testing.T) {
	spoil := map[string]func(*fleetwire.WatchReply){
		"digest":  func(reply *fleetwire.WatchReply) { reply.Steps[0].Digest++ },
		"body":    func(reply *fleetwire.WatchReply) { reply.Steps[0].Body = fleetwire.Packed{9} },
		"version": func(reply *fleetwire.WatchReply) { reply.Steps[0].From = listVersion(77) },
		"end":     func(reply *fleetwire.WatchReply) { reply.Now.Instances = listVersion(99) },
	}
	for name, change := range spoil {
		c := newRelayed()
		require.NoError(t, c.top.PublishInstances(listVersion(1), longList(900, 1, "a")))
		pollOnce(c.router, c.top, nil)
		require.NoError(t, c.top.PublishInstances(listVersion(2), longList(900, 1, "b")))
		pollOnce(c.router, c.top, change)
		require.Equal(t, listVersion(1), c.router.Current().Version.Instances, name)
		require.Equal(t, longList(900, 1, "a"), c.router.Current().Instances, name)
		whole := false
		pollOnce(c.router, c.top, func(reply *fleetwire.WatchReply) { whole = reply.Instances != nil })
		require.True(t, whole, name)
		require.Equal(t, longList(900, 1, "b"), c.router.Current().Instances, name)
		require.NoError(t, c.top.PublishInstances(listVersion(3), longList(900, 1, "c")))
		pollOnce(c.router, c.top, func(reply *fleetwire.WatchReply) { require.Len(t, reply.Steps, 1, name) })
		require.Equal(t, longList(900, 1, "c"), c.router.Current().Instances, name)
	}
}

// A relay that was given spoilt steps finds out when it has to make the whole list. It refuses the poll and asks for the whole.
func TestRelayHealsAfterSpoiltSteps(t *testing.T) {
	c := newRelayed()
	require.NoError(t, c.top.PublishInstances(listVersion(1), longList(900, 1, "a")))
	pollOnce(c.agent, c.top, nil)
	require.NoError(t, c.top.PublishInstances(listVersion(2), longList(900, 1, "b")))
	pollOnce(c.agent, c.top, func(reply *fleetwire.WatchReply) { reply.Steps[0].Digest++ })
	require.Equal(t, listVersion(2), c.relay.Current().Version.Instances)

	pollOnce(c.router, c.relay, nil)
	require.Nil(t, c.router.Current(), "a list that can't be made is not sent")
	pollOnce(c.agent, c.top, nil)
	pollOnce(c.router, c.relay, nil)
	require.Equal(t, longList(900, 1, "b"), c.router.Current().Instances)
	require.False(t, c.relay.listBroken.Load())
}

// A router learns of a change of the list at once through a relay.
func TestStepsWakePolls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		hub := NewHub(HubOptions{})
		require.NoError(t, hub.PublishInstances(listVersion(1), longList(900, 1, "a")))
		time.AfterFunc(100*time.Millisecond, func() { _ = hub.PublishInstances(listVersion(2), longList(900, 1, "b")) })
		start := time.Now()
		request := fleetwire.WatchRequest{Have: fleetwire.Version{Instances: listVersion(1)}, WaitMs: 1000, Steps: true}
		reply, err := hub.Serve(t.Context(), request)
		require.NoError(t, err)
		require.Equal(t, 100*time.Millisecond, time.Since(start))
		require.Len(t, reply.Steps, 1)
	})
}
