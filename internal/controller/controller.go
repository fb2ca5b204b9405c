// Package controller is the program of the core machines. It serves the operator's API on a replicated register, publishes
// the configuration and the platform's list of instances to watchers, and shares the singleton roles with the other
// controllers by leases.
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

// settleTime is how long a controller that was started tells no number of routers. Routers share the connections to a worker
// by that number: in this time, all that live have been seen polling or were told of.
const settleTime = time.Second

// controller ties the parts of one process together.
type controller struct {
	settings *atomic.Pointer[settings.Settings]
	self     lease.Member
	log      *zap.Logger
	client   *transport.Client
	node     stateRegister
	operator *operatorAPI
	hub      *watch.Hub
	leases   *leases
	lists    *listStore
	hints    *hints
	peers    *peers
	agents   *agentCounter
	reports  *reports
	poller   *instances.Poller
	keeper   *stages.Keeper

	settledAt    time.Time       // when the number of routers is known
	ctx          context.Context // of the whole run, for work that no caller waits for
	heartbeatNow chan struct{}
	fetchingList atomic.Bool
	catchingUp   atomic.Bool
	synced       atomic.Bool // the register was read since the start

	publishMutex      sync.Mutex
	publishedRevision uint64 // of the newest state that was published
	publishedChange   uint64 // number of the newest configuration that was published
}

func newController(
	ctx context.Context, latest *atomic.Pointer[settings.Settings], node stateRegister, client *transport.Client, dial transport.Dial,
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
		QuorumAge: c.quorumAge, MaxQuorumAge: maxQuorumAge, Seen: c.recordPoll, Doubts: c.doubts,
	})
	c.leases = newLeases(c.self, current.Bootstrap)
	c.reports = newReports(c.leases.started)
	c.settledAt = c.leases.started.Add(settleTime)
	c.lists = newListStore(c.hub, log)
	reader := instances.NewReaderDialing(func() string { return latest.Load().Cloud.Address }, dial)
	c.poller = instances.NewPoller(reader, c.mayReadList, c.listHandler(ctx), log)
	c.keeper = stages.NewKeeper(stages.Options{
		Holder: current.NodeName,
		Lease:  func() (uint64, bool) { return c.leases.holds(roleStages) },
		Fenced: func(token uint64) { c.leases.giveUp(roleStages, token) },
		Fleet:  c.publishedFleet,
		Quiet:  current.Bounds.Lease() + current.Bounds.Thaw(),
		Fresh:  current.Bootstrap,
		Dial:   dial,
		Log:    log,
	})
	return c
}

// sawWatcher counts the agents, of which there is one beside each router.
func (c *controller) recordPoll(request *fleetwire.WatchRequest) {
	if request.Member.Role == fleetwire.RoleAgent {
		c.agents.recordPoll(time.Now(), request.Member.Name)
	}
	if len(request.Observations) > 0 {
		c.reports.recordObservations(request.Member, request.Observations, c.lists.serviceByWorker())
	}
}

// watchAge is the age of the contact with a majority that watchers are told. Before the first read of the register there is
// none: this controller may have heard the others, but it knows nothing of what they hold.
func (c *controller) quorumAge() time.Duration {
	if !c.synced.Load() {
		return register.NeverHeard
	}
	return c.node.QuorumAge()
}

// doubts is what a watcher is told of workers that the routers of its zone complain of.
func (c *controller) doubts(request *fleetwire.WatchRequest) []fleetwire.Doubt {
	zones := max(1, len(c.settings.Load().Zones))
	return c.reports.doubts(request.Member.Zone, c.lists.serviceByWorker, c.routerCount(time.Now())/zones)
}

// routers is the number of live routers, or 0 while it is not known.
func (c *controller) routerCount(now time.Time) int {
	if now.Before(c.settledAt) {
		return 0
	}
	return c.agents.count(now)
}

// mayRead reports whether this controller may read the platform's list now, and under which token. Its holder by the record
// need not wait for grants while there is no list here: it alone reads under that token, and a list under it gives way to
// any of a later holder. After a loss of power of all, grants come only when those of the former lives have run out.
func (c *controller) mayReadList() (uint64, bool) {
	if token, held := c.leases.holds(roleReader); held {
		return token, held
	}
	if version, _ := c.lists.versionAndAge(time.Now()); version != (fleetwire.ListVersion{}) || !hasQuorum(c.node) {
		return 0, false
	}
	return c.leases.recorded(roleReader)
}

// knownFleet is what the watchers of this controller are told.
func (c *controller) publishedFleet() stages.Fleet {
	current := c.hub.Current()
	return stages.Fleet{Config: current.Config, Instances: current.Instances}
}

// settingsChanged takes a new settings file.
func (c *controller) applySettings(next *settings.Settings) {
	c.settings.Store(next)
	c.peers.setSeeds(next.SeedInternalAddresses())
}
