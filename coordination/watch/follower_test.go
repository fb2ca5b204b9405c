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

// propagationBound is the time within which every follower with quorum contact must hold the newest version.
const propagationBound = 2 * time.Second

// recoveryBound is the time after the end of a partition from which a machine must meet the other bounds again.
const recoveryBound = 3 * time.Second

// hubFleet consists of the hubs of three controllers and a follower of them. It runs under synctest.
type hubFleet struct {
	t           *testing.T
	network     *network
	order       []string // addresses of the hubs in the follower's order of preference
	hubs        map[string]*Hub
	quorumLinks map[string]*quorumLink
	follower    *Follower
	changes     []*Snapshot
}

func newHubFleet(t *testing.T, options FollowerOptions) *hubFleet {
	options.Self.Name = "frontend-1"
	fleet := &hubFleet{t: t, network: newNetwork(), order: rendezvous.Rank(options.Self.Name, controllerAddresses(3))}
	fleet.hubs = map[string]*Hub{}
	fleet.quorumLinks = map[string]*quorumLink{}
	for _, address := range fleet.order {
		fleet.quorumLinks[address] = &quorumLink{}
		fleet.hubs[address] = NewHub(HubOptions{QuorumAge: fleet.quorumLinks[address].age})
		fleet.network.add(address, fleet.hubs[address])
	}
	if options.Sources == nil {
		options.Sources = func() []string { return fleet.order }
	}
	options.Client = fleet.network
	onChange := options.OnChange
	options.OnChange = func(snapshot *Snapshot) {
		fleet.changes = append(fleet.changes, snapshot)
		if onChange != nil {
			onChange(snapshot)
		}
	}
	fleet.follower = NewFollower(options)
	return fleet
}

// run starts the follower. It stops when the test ends.
func (f *hubFleet) run() { runUntilCleanup(f.t, f.follower) }

// runUntilCleanup runs a follower until the cleanup of the test.
func runUntilCleanup(t *testing.T, follower *Follower) {
	ctx, stop := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { follower.Run(ctx); close(ended) }()
	t.Cleanup(func() { stop(); <-ended })
}

// publish publishes a configuration at all hubs except the given ones.
func (f *hubFleet) publish(revision uint64, except ...string) {
	f.t.Helper()
	for address, hub := range f.hubs {
		skip := false
		for _, excepted := range except {
			skip = skip || excepted == address
		}
		if !skip {
			require.NoError(f.t, hub.PublishConfig(revision, testConfig(revision)))
		}
	}
}

// advance advances the clock of the synctest bubble and waits until all goroutines are blocked.
func (f *hubFleet) advance(span time.Duration) {
	time.Sleep(span)
	synctest.Wait()
}

// requireRevision requires that the follower holds the configuration of the given revision.
func (f *hubFleet) requireRevision(revision uint64) {
	f.t.Helper()
	snapshot := f.follower.Current()
	require.NotNil(f.t, snapshot)
	require.Equal(f.t, revision, snapshot.Version.ConfigRevision)
	if revision != 0 {
		require.Equal(f.t, int64(revision), snapshot.Config.Version)
	}
}

func TestFollowerReceivesNewVersionAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newHubFleet(t, FollowerOptions{})
		fleet.publish(1)
		fleet.run()
		fleet.advance(10 * time.Millisecond)
		fleet.requireRevision(1)
		require.Equal(t, fleet.order[0], fleet.follower.Source())
		fleet.advance(time.Second)
		fleet.publish(2)
		fleet.advance(10 * time.Millisecond)
		fleet.requireRevision(2)
	})
}

// TestFollowerFailsOverFromEachFault makes the source fail in several ways, at different moments of a poll, while the other
// hubs publish a new configuration. The follower must fail over and receive it within the propagation bound.
func TestFollowerFailsOverFromEachFault(t *testing.T) {
	faults := map[string]func(fleet *hubFleet, address string){
		"partitioned from the follower": func(fleet *hubFleet, address string) { fleet.network.setLink(address, linkSilent) },
		"frozen":                        func(fleet *hubFleet, address string) { fleet.network.setLink(address, linkSilent) },
		"killed":                        func(fleet *hubFleet, address string) { fleet.network.setLink(address, linkRefused) },
		"partitioned from the quorum":   func(fleet *hubFleet, address string) { fleet.quorumLinks[address].lose() },
		"stopped gracefully":            func(fleet *hubFleet, address string) { fleet.hubs[address].Close() },
	}
	for name, inject := range faults {
		for moment := time.Duration(0); moment < DefaultMaxWait; moment += 100 * time.Millisecond {
			t.Run(name+" at "+moment.String(), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					fleet := newHubFleet(t, FollowerOptions{})
					fleet.publish(1)
					fleet.run()
					fleet.advance(time.Second + moment)
					inject(fleet, fleet.order[0])
					fleet.publish(2, fleet.order[0])
					fleet.advance(propagationBound - 200*time.Millisecond)
					fleet.requireRevision(2)
					require.Equal(t, fleet.order[1], fleet.follower.Source())
				})
			})
		}
	}
}

func TestFollowerSkipsTwoSilentHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newHubFleet(t, FollowerOptions{})
		fleet.publish(1)
		fleet.run()
		fleet.advance(time.Second)
		fleet.network.setLink(fleet.order[0], linkSilent)
		fleet.network.setLink(fleet.order[1], linkSilent)
		fleet.publish(2, fleet.order[0], fleet.order[1])
		fleet.advance(propagationBound)
		fleet.requireRevision(2)
	})
}

func TestFollowerReturnsToPreferredHubAfterRecovery(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newHubFleet(t, FollowerOptions{})
		fleet.publish(1)
		for _, hub := range fleet.hubs {
			hub.SetControllers(fleet.order)
		}
		fleet.run()
		fleet.advance(time.Second)
		fleet.network.setLink(fleet.order[0], linkSilent)
		fleet.advance(2 * time.Second)
		require.Equal(t, fleet.order[1], fleet.follower.Source())
		fleet.network.setLink(fleet.order[0], linkUp)
		fleet.advance(2 * probeInterval)
		require.Equal(t, fleet.order[0], fleet.follower.Source())
	})
}

func TestFollowerVersionNeverDecreases(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newHubFleet(t, FollowerOptions{})
		older := fleetwire.ListVersion{Token: 1, Sequence: 99}
		newest := fleetwire.ListVersion{Token: 2, Sequence: 1}
		fleet.publish(5)
		fleet.hubs[fleet.order[0]].PublishInstances(newest, testList("new"))
		fleet.run()
		fleet.advance(time.Second)
		fleet.requireRevision(5)
		for _, address := range fleet.order[1:] { // these hubs restart with an older state
			hub := NewHub(HubOptions{})
			require.NoError(t, hub.PublishConfig(4, testConfig(4)))
			require.NoError(t, hub.PublishInstances(older, testList("old")))
			fleet.network.add(address, hub)
		}
		fleet.network.setLink(fleet.order[0], linkRefused)
		fleet.advance(5 * time.Second)
		fleet.requireRevision(5)
		require.Equal(t, newest, fleet.follower.Current().Version.Instances)
		require.Equal(t, "new", fleet.follower.Current().Instances[0].ID)
		for i, change := range fleet.changes[1:] {
			require.False(t, newer(fleet.changes[i].Version, change.Version), "the version decreased")
		}
	})
}

func TestFirstSnapshotRequiresQuorumContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newHubFleet(t, FollowerOptions{})
		fleet.publish(1)
		for _, address := range fleet.order {
			fleet.quorumLinks[address].lose()
		}
		fleet.advance(2 * DefaultMaxQuorumAge)
		fleet.run()
		fleet.advance(5 * time.Second)
		require.Nil(t, fleet.follower.Current())
		for _, address := range fleet.order {
			require.Greater(t, fleet.network.callCount(address), 3, "all hubs must be tried in turn")
		}
		fleet.publish(2, fleet.order[:2]...)
		fleet.quorumLinks[fleet.order[2]].regain()
		fleet.advance(time.Second)
		fleet.requireRevision(2)
	})
}

func TestNewerVersionIsAcceptedFromStaleHub(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newHubFleet(t, FollowerOptions{})
		fleet.publish(1)
		fleet.run()
		fleet.advance(time.Second)
		for _, address := range fleet.order {
			fleet.quorumLinks[address].lose()
		}
		fleet.advance(5 * time.Second)
		fleet.requireRevision(1)
		require.Empty(t, fleet.follower.Source())
		require.NoError(t, fleet.hubs[fleet.order[2]].PublishConfig(2, testConfig(2)))
		fleet.advance(time.Second)
		fleet.requireRevision(2)
		require.Greater(t, fleet.follower.QuorumAge(), 5*time.Second, "the quorum age must not be reset")
	})
}

func TestBackoffLimitsCallsToRefusingHubs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newHubFleet(t, FollowerOptions{})
		for _, address := range fleet.order {
			fleet.network.setLink(address, linkRefused)
		}
		fleet.run()
		fleet.advance(30 * time.Second)
		calls := 0
		for _, address := range fleet.order {
			calls += fleet.network.callCount(address)
		}
		require.Less(t, calls, 250, "refusals are immediate, so only the backoff limits the calls")
		fleet.publish(1)
		fleet.network.setLink(fleet.order[1], linkUp)
		fleet.advance(3*maxBackoff + 50*time.Millisecond)
		fleet.requireRevision(1)
	})
}

func TestKnownControllersAreUsedWhenSeedsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var fleet *hubFleet
		seeds := []string{}
		fleet = newHubFleet(t, FollowerOptions{Sources: func() []string { return seeds }})
		seeds = []string{fleet.order[2]}
		for _, hub := range fleet.hubs {
			hub.SetControllers(fleet.order)
		}
		fleet.publish(1)
		fleet.run()
		fleet.advance(time.Second)
		require.Equal(t, fleet.order[0], fleet.follower.Source(), "the follower must move to the preferred hub that a reply named")
		fleet.network.setLink(fleet.order[2], linkSilent)
		seeds = []string{"10.9.9.9:1"}
		fleet.network.setLink(fleet.order[0], linkSilent)
		fleet.publish(2, fleet.order[0], fleet.order[2])
		fleet.advance(propagationBound)
		fleet.requireRevision(2)
	})
}

func TestSnapshotAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fleet := newHubFleet(t, FollowerOptions{})
		first := fleet.hubs[fleet.order[0]]
		require.NoError(t, first.PublishInstances(fleetwire.ListVersion{Token: 1, Sequence: 1}, testList("a")))
		fleet.run()
		fleet.advance(3 * time.Second)
		snapshot := fleet.follower.Current()
		age := snapshot.ListAgeAt(time.Now())
		require.InDelta(t, 3*time.Second, age, float64(10*time.Millisecond))
		first.ConfirmInstances(time.Now())
		fleet.advance(DefaultMaxWait + 10*time.Millisecond)
		require.Less(t, fleet.follower.Current().ListAgeAt(time.Now()), time.Second)
		require.Less(t, fleet.follower.Current().QuorumAgeAt(time.Now()), DefaultMaxWait+20*time.Millisecond)
	})
}

// relayChain is the follower of a router that polls the hub of an agent. The agent's follower feeds that hub.
type relayChain struct {
	*hubFleet
	relay  *Hub
	router *Follower
}

const agentAddress = "127.0.0.1:7721"

func newRelayChain(t *testing.T) *relayChain {
	c := &relayChain{}
	c.relay = NewHub(HubOptions{
		QuorumAge:    func() time.Duration { return c.hubFleet.follower.QuorumAge() },
		MaxQuorumAge: RelayMaxQuorumAge,
	})
	c.hubFleet = newHubFleet(t, FollowerOptions{Relay: c.relay})
	c.hubFleet.follower.options.OnChange = nil // an agent relays without decoding
	c.hubFleet.network.add(agentAddress, c.relay)
	c.router = NewFollower(FollowerOptions{
		Self:         fleetwire.Member{Name: "router"},
		Sources:      func() []string { return []string{agentAddress} },
		Client:       c.hubFleet.network,
		OnChange:     func(*Snapshot) {},
		MaxQuorumAge: RelayMaxQuorumAge,
	})
	return c
}

func (c *relayChain) run() {
	c.hubFleet.run()
	runUntilCleanup(c.hubFleet.t, c.router)
}

func TestChainRelaysVersions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayChain(t)
		c.publish(1)
		c.run()
		c.advance(time.Second)
		require.EqualValues(t, 1, c.router.Current().Config.Version)
		require.Nil(t, c.follower.Current().Config, "the agent relays without decoding")
		c.network.setLink(c.order[0], linkSilent)
		c.publish(2, c.order[0])
		c.advance(propagationBound)
		require.EqualValues(t, 2, c.router.Current().Config.Version)
	})
}

func TestChainAddsUpQuorumAges(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayChain(t)
		c.publish(1)
		c.run()
		c.advance(time.Second)
		for _, address := range c.order {
			c.network.setLink(address, linkSilent)
		}
		cutAt := time.Now()
		c.advance(4 * time.Second)
		age := c.router.QuorumAge()
		require.GreaterOrEqual(t, age, time.Since(cutAt), "the age must not be underestimated")
		require.Less(t, age, time.Since(cutAt)+DefaultMaxWait+20*time.Millisecond)
		require.Empty(t, c.router.Source(), "the agent's quorum contact is stale")

		restarted := NewFollower(c.router.options)
		runUntilCleanup(t, restarted)
		c.advance(2 * time.Second)
		require.Nil(t, restarted.Current(), "a restarted router must not accept a first snapshot from a stale agent")
		c.network.setLink(c.order[1], linkUp)
		c.advance(recoveryBound)
		require.NotNil(t, restarted.Current())
		require.Equal(t, agentAddress, c.router.Source())
	})
}

func TestRouterKeepsSnapshotWhenAgentRestarts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRelayChain(t)
		c.publish(3)
		c.run()
		c.advance(time.Second)
		c.network.setLink(agentAddress, linkRefused)
		c.advance(time.Second)
		fresh := NewHub(HubOptions{QuorumAge: func() time.Duration { return unknownAge }})
		c.network.add(agentAddress, fresh)
		c.network.setLink(agentAddress, linkUp)
		c.advance(2 * time.Second)
		require.EqualValues(t, 3, c.router.Current().Config.Version, "the router must keep its snapshot")
	})
}
