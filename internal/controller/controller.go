// Package controller implements the program of the core machines. It serves the operator's API on a replicated register,
// publishes the configuration and the platform's list of instances to subscribers, and competes with the other controllers
// for the singleton roles, which are guarded by leases.
package controller

import (
	"context"
	"crypto/rand"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"weldscale/coordination/lease"
	"weldscale/coordination/register"
	"weldscale/coordination/transport"
	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/instances"
	"weldscale/internal/settings"
	"weldscale/internal/stages"
)

// settleTime is how long after its start a controller reports the number of routers as unknown. Routers divide the connections
// to a worker by that number. Within this time the agent of every live router has polled this controller or was reported by
// another one.
const settleTime = time.Second

// controller connects the components of one process.
type controller struct {
	settings   *atomic.Pointer[settings.Settings]
	self       lease.Member
	log        *zap.Logger
	client     *transport.Client
	node       stateRegister
	operator   *operatorAPI
	hub        *watch.Hub
	leases     *leases
	lists      *listStore
	hints      *hints
	peers      *peers
	agents     *agentCounter
	reports    *reports
	poller     *instances.Poller
	rebalancer *stages.Rebalancer

	settledAt    time.Time       // the number of routers is unknown before this time
	ctx          context.Context // context of the whole run, for background work
	heartbeatNow chan struct{}
	fetchingList atomic.Bool
	readingState atomic.Bool
	synced       atomic.Bool // the register was read after the start

	publishMutex      sync.Mutex
	publishedRevision uint64 // revision of the newest published state
	publishedChange   uint64 // number of the newest published configuration change
}

func newController(
	ctx context.Context, latest *atomic.Pointer[settings.Settings], node stateRegister, client *transport.Client, dial transport.DialFunc,
	log *zap.Logger,
) *controller {
	current := latest.Load()
	c := &controller{
		settings:     latest,
		self:         lease.Member{Address: current.InternalAddress(), Life: rand.Text()},
		log:          log,
		client:       client,
		node:         node,
		operator:     newOperatorAPI(node, log),
		agents:       newAgentCounter(),
		hints:        newHints(),
		ctx:          ctx,
		heartbeatNow: make(chan struct{}, 1),
	}
	c.peers = newPeers(c.self.Address, current.SeedInternalAddresses())
	c.hub = watch.NewHub(watch.HubOptions{
		QuorumAge: c.quorumAge, MaxQuorumAge: maxQuorumAge, OnPoll: c.recordPoll, Doubts: c.doubts,
	})
	c.leases = newLeases(c.self, current.Bootstrap)
	c.reports = newReports(c.leases.started)
	c.settledAt = c.leases.started.Add(settleTime)
	c.lists = newListStore(c.hub, log)
	reader := instances.NewReaderWithDial(func() string { return latest.Load().Cloud.Address }, dial)
	c.poller = instances.NewPoller(reader, c.mayReadList, c.listHandler(ctx), log)
	c.rebalancer = stages.NewRebalancer(stages.Options{
		Holder:        current.NodeName,
		Lease:         func() (uint64, bool) { return c.leases.holds(roleStages) },
		OnFenced:      func(token uint64) { c.leases.releaseRole(roleStages, token) },
		Fleet:         c.publishedFleet,
		TakeoverDelay: current.Bounds.Lease() + current.Bounds.Thaw(),
		Bootstrap:     current.Bootstrap,
		Dial:          dial,
		Log:           log,
	})
	return c
}

// recordPoll counts the polling agents, one of which runs beside each router, and records the observations of a poll.
func (c *controller) recordPoll(request *fleetwire.WatchRequest) {
	if request.Member.Role == fleetwire.RoleAgent {
		c.agents.recordPoll(time.Now(), request.Member.Name)
	}
	if len(request.Observations) > 0 {
		c.reports.recordObservations(request.Member, request.Observations, c.lists.serviceByWorker())
	}
}

// quorumAge returns the time since a majority last agreed with the state of this controller, for the replies to subscribers.
// Before the first read of the register it returns register.NoContact: this controller may already exchange messages with the
// replicas, but it does not know their state yet.
func (c *controller) quorumAge() time.Duration {
	if !c.synced.Load() {
		return register.NoContact
	}
	return c.node.StateAge()
}

// doubts returns the workers that routers of the subscriber's zone complain about.
func (c *controller) doubts(request *fleetwire.WatchRequest) []fleetwire.Doubt {
	zones := max(1, len(c.settings.Load().Zones))
	return c.reports.doubts(request.Member.Zone, c.lists.serviceByWorker, c.routerCount(time.Now())/zones)
}

// routerCount returns the number of live routers, or 0 while it is unknown.
func (c *controller) routerCount(now time.Time) int {
	if now.Before(c.settledAt) {
		return 0
	}
	return c.agents.count(now)
}

// mayReadList reports whether this controller may read the platform's list now, and under which token. Normally that requires
// the lease. While this controller holds no list, the role's record in the register suffices: only the recorded holder reads
// under that token, and a list of any later holder replaces a list read under it. Otherwise, after a power loss of all
// machines, the first list would have to wait until the grants of the previous incarnations have expired.
func (c *controller) mayReadList() (uint64, bool) {
	if token, held := c.leases.holds(roleReader); held {
		return token, held
	}
	if version, _ := c.lists.versionAndAge(time.Now()); version != (fleetwire.ListVersion{}) || !hasQuorum(c.node) {
		return 0, false
	}
	return c.leases.recorded(roleReader)
}

// publishedFleet returns the configuration and the instances that this controller publishes to its subscribers.
func (c *controller) publishedFleet() stages.Fleet {
	current := c.hub.Current()
	return stages.Fleet{Config: current.Config, Instances: current.Instances}
}

// applySettings replaces the settings after the settings file has changed.
func (c *controller) applySettings(next *settings.Settings) {
	c.settings.Store(next)
	c.peers.setSeeds(next.SeedInternalAddresses())
}
