package watch

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/coordination/rendezvous"
	"weldscale/internal/fleetwire"
)

// propagation is the bound within which everyone in touch must hold the newest version.
const propagation = 2 * time.Second

// liveness is the time after the end of a cut from which a machine is held to the bounds.
const liveness = 3 * time.Second

// fleet is three hubs of controllers and a follower of them, under synctest.
type fleet struct {
	t        *testing.T
	network  *network
	order    []string // the follower's order
	hubs     map[string]*Hub
	quorums  map[string]*touch
	follower *Follower
	changes  []*Snapshot
}

func newFleet(t *testing.T, options FollowerOptions) *fleet {
	options.Self.Name = "frontend-1"
	f := &fleet{t: t, network: newNetwork(), order: rendezvous.Rank(options.Self.Name, controllerAddresses(3))}
	f.hubs = map[string]*Hub{}
	f.quorums = map[string]*touch{}
	for _, address := range f.order {
		f.quorums[address] = &touch{}
		f.hubs[address] = NewHub(HubOptions{QuorumAge: f.quorums[address].age})
		f.network.add(address, f.hubs[address])
	}
	if options.Sources == nil {
		options.Sources = func() []string { return f.order }
	}
	options.Client = f.network
	onChange := options.OnChange
	options.OnChange = func(snapshot *Snapshot) {
		f.changes = append(f.changes, snapshot)
		if onChange != nil {
			onChange(snapshot)
		}
	}
	f.follower = NewFollower(options)
	return f
}

// run starts the follower; it ends with the test's bubble.
func (f *fleet) run() { runUntilCleanup(f.t, f.follower) }

func runUntilCleanup(t *testing.T, follower *Follower) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { follower.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); <-ended })
}

// publish makes a configuration known at all hubs but some.
func (f *fleet) publish(revision uint64, except ...string) {
	f.t.Helper()
	for address, hub := range f.hubs {
		skip := false
		for _, excepted := range except {
			skip = skip || excepted == address
		}
		if !skip {
			require.NoError(f.t, hub.PublishConfig(revision, configOf(revision)))
		}
	}
}

// settle lets time pass.
func (f *fleet) settle(span time.Duration) {
	time.Sleep(span) // of the bubble's clock
	synctest.Wait()
}

func (f *fleet) requireRevision(revision uint64) {
	f.t.Helper()
	snapshot := f.follower.Current()
	require.NotNil(f.t, snapshot)
	require.Equal(f.t, revision, snapshot.Version.ConfigRevision)
	if revision != 0 {
		require.Equal(f.t, int64(revision), snapshot.Config.Version)
	}
}

func TestFollowerHasANewVersionAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, FollowerOptions{})
		f.publish(1)
		f.run()
		f.settle(10 * time.Millisecond)
		f.requireRevision(1)
		require.Equal(t, f.order[0], f.follower.Source())
		f.settle(time.Second)
		f.publish(2)
		f.settle(10 * time.Millisecond)
		f.requireRevision(2)
	})
}

// TestFollowerReachesTheNewestVersionAfterTrouble takes away the hub that is polled in each way, at any moment of a poll, while
// a configuration is acknowledged by the others.
func TestFollowerReachesTheNewestVersionAfterTrouble(t *testing.T) {
	troubles := map[string]func(f *fleet, address string){
		"cut from all":        func(f *fleet, address string) { f.network.set(address, linkSilent) },
		"frozen":              func(f *fleet, address string) { f.network.set(address, linkSilent) },
		"killed":              func(f *fleet, address string) { f.network.set(address, linkRefused) },
		"cut from the core":   func(f *fleet, address string) { f.quorums[address].lose() },
		"stopped in an order": func(f *fleet, address string) { f.hubs[address].Close() },
	}
	for name, trouble := range troubles {
		for moment := time.Duration(0); moment < DefaultMaxWait; moment += 100 * time.Millisecond {
			t.Run(name+" at "+moment.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					f := newFleet(t, FollowerOptions{})
					f.publish(1)
					f.run()
					f.settle(time.Second + moment)
					trouble(f, f.order[0])
					f.publish(2, f.order[0])
					f.settle(propagation - 200*time.Millisecond)
					f.requireRevision(2)
					require.Equal(t, f.order[1], f.follower.Source())
				})
			})
		}
	}
}

func TestFollowerPassesTwoSilentHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, FollowerOptions{})
		f.publish(1)
		f.run()
		f.settle(time.Second)
		f.network.set(f.order[0], linkSilent)
		f.network.set(f.order[1], linkSilent)
		f.publish(2, f.order[0], f.order[1])
		f.settle(propagation)
		f.requireRevision(2)
	})
}

func TestFollowerGoesBackToItsFirstHubOnceItIsGood(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, FollowerOptions{})
		f.publish(1)
		for _, hub := range f.hubs {
			hub.SetControllers(f.order)
		}
		f.run()
		f.settle(time.Second)
		f.network.set(f.order[0], linkSilent)
		f.settle(2 * time.Second)
		require.Equal(t, f.order[1], f.follower.Source())
		f.network.set(f.order[0], linkUp)
		f.settle(2 * probeInterval)
		require.Equal(t, f.order[0], f.follower.Source())
	})
}

func TestFollowerNeverGoesBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, FollowerOptions{})
		older := fleetwire.ListVersion{Token: 1, Sequence: 99}
		newest := fleetwire.ListVersion{Token: 2, Sequence: 1}
		f.publish(5)
		f.hubs[f.order[0]].PublishInstances(newest, listOf("new"))
		f.run()
		f.settle(time.Second)
		f.requireRevision(5)
		for _, address := range f.order[1:] { // as after their restart
			hub := NewHub(HubOptions{})
			require.NoError(t, hub.PublishConfig(4, configOf(4)))
			require.NoError(t, hub.PublishInstances(older, listOf("old")))
			f.network.add(address, hub)
		}
		f.network.set(f.order[0], linkRefused)
		f.settle(5 * time.Second)
		f.requireRevision(5)
		require.Equal(t, newest, f.follower.Current().Version.Instances)
		require.Equal(t, "new", f.follower.Current().Instances[0].ID)
		for i, change := range f.changes[1:] {
			require.False(t, newer(f.changes[i].Version, change.Version), "went back")
		}
	})
}

func TestFirstSnapshotComesFromAHubInTouch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, FollowerOptions{})
		f.publish(1)
		for _, address := range f.order {
			f.quorums[address].lose()
		}
		f.settle(2 * DefaultMaxQuorumAge)
		f.run()
		f.settle(5 * time.Second)
		require.Nil(t, f.follower.Current())
		for _, address := range f.order {
			require.Greater(t, f.network.callsOf(address), 3, "all are tried in turn")
		}
		f.publish(2, f.order[:2]...)
		f.quorums[f.order[2]].regain()
		f.settle(time.Second)
		f.requireRevision(2)
	})
}

func TestAHubOutOfTouchMayStillBringSomethingNewer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, FollowerOptions{})
		f.publish(1)
		f.run()
		f.settle(time.Second)
		for _, address := range f.order {
			f.quorums[address].lose()
		}
		f.settle(5 * time.Second)
		f.requireRevision(1)
		require.Empty(t, f.follower.Source())
		require.NoError(t, f.hubs[f.order[2]].PublishConfig(2, configOf(2)))
		f.settle(time.Second)
		f.requireRevision(2)
		require.Greater(t, f.follower.QuorumAge(), 5*time.Second, "it is as old as before")
	})
}

func TestSearchingCostsFewCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, FollowerOptions{})
		for _, address := range f.order {
			f.network.set(address, linkRefused)
		}
		f.run()
		f.settle(30 * time.Second)
		calls := 0
		for _, address := range f.order {
			calls += f.network.callsOf(address)
		}
		require.Less(t, calls, 250, "refusals come at once, and back-off must bound them")
		f.publish(1)
		f.network.set(f.order[1], linkUp)
		f.settle(3*maxBackoff + 50*time.Millisecond)
		f.requireRevision(1)
	})
}

func TestKnownControllersOutliveTheSeeds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var f *fleet
		seeds := []string{}
		f = newFleet(t, FollowerOptions{Sources: func() []string { return seeds }})
		seeds = []string{f.order[2]}
		for _, hub := range f.hubs {
			hub.SetControllers(f.order)
		}
		f.publish(1)
		f.run()
		f.settle(time.Second)
		require.Equal(t, f.order[0], f.follower.Source(), "it learnt of better ranked ones and moved")
		f.network.set(f.order[2], linkSilent)
		seeds = []string{"10.9.9.9:1"}
		f.network.set(f.order[0], linkSilent)
		f.publish(2, f.order[0], f.order[2])
		f.settle(propagation)
		f.requireRevision(2)
	})
}

func TestSnapshotTellsAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, FollowerOptions{})
		first := f.hubs[f.order[0]]
		require.NoError(t, first.PublishInstances(fleetwire.ListVersion{Token: 1, Sequence: 1}, listOf("a")))
		f.run()
		f.settle(3 * time.Second)
		snapshot := f.follower.Current()
		age := snapshot.ListAgeAt(time.Now())
		require.InDelta(t, 3*time.Second, age, float64(10*time.Millisecond))
		first.ConfirmInstances(time.Now())
		f.settle(DefaultMaxWait + 10*time.Millisecond)
		require.Less(t, f.follower.Current().ListAgeAt(time.Now()), time.Second)
		require.Less(t, f.follower.Current().QuorumAgeAt(time.Now()), DefaultMaxWait+20*time.Millisecond)
	})
}

// chain is a router's follower behind an agent's follower and hub.
type chain struct {
	*fleet
	relay  *Hub
	router *Follower
}

const agentAddress = "127.0.0.1:7721"

func newChain(t *testing.T) *chain {
	c := &chain{}
	c.relay = NewHub(HubOptions{
		QuorumAge:    func() time.Duration { return c.fleet.follower.QuorumAge() },
		MaxQuorumAge: RelayMaxQuorumAge,
	})
	c.fleet = newFleet(t, FollowerOptions{Relay: c.relay})
	c.fleet.follower.options.OnChange = nil // an agent decodes nothing
	c.fleet.network.add(agentAddress, c.relay)
	c.router = NewFollower(FollowerOptions{
		Self:         fleetwire.Member{Name: "router"},
		Sources:      func() []string { return []string{agentAddress} },
		Client:       c.fleet.network,
		OnChange:     func(*Snapshot) {},
		MaxQuorumAge: RelayMaxQuorumAge,
	})
	return c
}

func (c *chain) run() {
	c.fleet.run()
	runUntilCleanup(c.fleet.t, c.router)
}

func TestChainPassesVersionsOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChain(t)
		c.publish(1)
		c.run()
		c.settle(time.Second)
		require.EqualValues(t, 1, c.router.Current().Config.Version)
		require.Nil(t, c.follower.Current().Config, "the agent relays without decoding")
		c.network.set(c.order[0], linkSilent)
		c.publish(2, c.order[0])
		c.settle(propagation)
		require.EqualValues(t, 2, c.router.Current().Config.Version)
	})
}

func TestChainAddsUpAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChain(t)
		c.publish(1)
		c.run()
		c.settle(time.Second)
		for _, address := range c.order {
			c.network.set(address, linkSilent)
		}
		cut := time.Now()
		c.settle(4 * time.Second)
		age := c.router.QuorumAge()
		require.GreaterOrEqual(t, age, time.Since(cut), "never younger than it is")
		require.Less(t, age, time.Since(cut)+DefaultMaxWait+20*time.Millisecond)
		require.Empty(t, c.router.Source(), "the agent is known to be out of touch")

		restarted := NewFollower(c.router.options)
		runUntilCleanup(t, restarted)
		c.settle(2 * time.Second)
		require.Nil(t, restarted.Current(), "a fresh router takes nothing from an agent out of touch")
		c.network.set(c.order[1], linkUp)
		c.settle(liveness)
		require.NotNil(t, restarted.Current())
		require.Equal(t, agentAddress, c.router.Source())
	})
}

func TestRouterOutlivesItsAgent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newChain(t)
		c.publish(3)
		c.run()
		c.settle(time.Second)
		c.network.set(agentAddress, linkRefused)
		c.settle(time.Second)
		fresh := NewHub(HubOptions{QuorumAge: func() time.Duration { return unknownAge }})
		c.network.add(agentAddress, fresh)
		c.network.set(agentAddress, linkUp)
		c.settle(2 * time.Second)
		require.EqualValues(t, 3, c.router.Current().Config.Version, "it lives on with what it has")
	})
}
