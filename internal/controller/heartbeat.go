package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"weldscale/coordination/lease"
)

const (
	// heartbeatInterval is the pace of the leases and of what controllers tell each other.
	heartbeatInterval = 200 * time.Millisecond
	// callTimeout bounds a call to another controller. It is below the bound of silence, so that one call that hangs
	// doesn't make this controller look silent.
	callTimeout = 400 * time.Millisecond
	// claimTimeout bounds the write that takes a role.
	claimTimeout = time.Second
)

// beat sends heartbeats and takes the roles that are due until the context is done.
func (c *controller) beat(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		c.sendHeartbeats(ctx, false)
		c.takeRoles(ctx)
		c.hub.SetRouters(c.routers(time.Now()))
		c.hub.SetControllers(c.roster.known(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.beatNow:
		}
	}
}

// hurry has the next heartbeat sent at once.
func (c *controller) hurry() {
	select {
	case c.beatNow <- struct{}{}:
	default:
	}
}

// sendHeartbeats sends one heartbeat to each controller that is due, or to everyone, and returns a group that is done
// when all are answered or given up.
func (c *controller) sendHeartbeats(ctx context.Context, everyone bool) *sync.WaitGroup {
	var message heartbeat
	var sentAt time.Duration
	c.leases.with(func(decider *lease.Participant, now time.Duration) {
		sentAt = now
		decider.SetVotersInDoubt(c.node.ReplicaSetInDoubt())
		message.Lease = decider.Heartbeat(now, inTouch(c.node))
	})
	message.Gossip = c.gossip()
	var calls sync.WaitGroup
	for _, address := range c.roster.due(time.Now(), everyone) {
		calls.Go(func() { c.sendHeartbeat(ctx, address, sentAt, message) })
	}
	if len(message.Lease.Asks) > 0 {
		c.poller.Wake() // alone, this controller grants itself the role
	}
	return &calls
}

func (c *controller) sendHeartbeat(ctx context.Context, address string, sentAt time.Duration, message heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply heartbeatReply
	err := c.client.Call(ctx, address, pathHeartbeat, message, &reply)
	c.roster.done(time.Now(), address, err)
	if err != nil {
		return
	}
	c.leases.with(func(decider *lease.Participant, now time.Duration) { decider.HandleReply(sentAt, now, reply.Lease) })
	if len(reply.Lease.Granted) > 0 {
		c.poller.Wake()
	}
	c.hear(reply.Lease.From.Address, reply.Gossip)
}

func (c *controller) serveHeartbeat(_ context.Context, message heartbeat) (heartbeatReply, error) {
	var reply heartbeatReply
	c.leases.with(func(decider *lease.Participant, now time.Duration) {
		decider.SetVotersInDoubt(c.node.ReplicaSetInDoubt())
		reply.Lease = decider.Receive(now, message.Lease)
	})
	c.hear(message.Lease.From.Address, message.Gossip)
	if len(message.Lease.Released) > 0 {
		c.hurry()
	}
	reply.Gossip = c.gossip()
	return reply, nil
}

func (c *controller) gossip() gossip {
	now := time.Now()
	version, age := c.lists.held(now)
	return gossip{
		Revision:  c.node.Latest().Revision,
		List:      version,
		ListAgeMs: age,
		Routers:   c.census.seenHere(now),
		Reports:   c.reports.passOn(),
	}
}

// hear takes what another controller tells.
func (c *controller) hear(address string, told gossip) {
	now := time.Now()
	c.roster.heard(now, address)
	c.census.told(now, told.Routers)
	if len(told.Reports) > 0 {
		c.reports.told(told.Reports, c.lists.services())
	}
	if c.lists.told(now, told.List, told.ListAgeMs) {
		c.fetchList(c.ctx, address)
	}
	c.handOver(now, address, told.List)
	if told.Revision > c.node.Latest().Revision {
		c.catchUp()
	}
}

// catchUp reads the register once, since another controller knows a newer state.
func (c *controller) catchUp() {
	if !c.catching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.catching.Store(false)
		ctx, cancel := context.WithTimeout(c.ctx, attemptTimeout)
		defer cancel()
		_, _ = c.node.Read(ctx)
	}()
}

// takeRoles writes the claims that are due to the register.
func (c *controller) takeRoles(ctx context.Context) {
	var claims []lease.Claim
	c.leases.with(func(decider *lease.Participant, now time.Duration) { claims = decider.Claims(now) })
	for _, claim := range claims {
		go c.takeRole(ctx, claim)
	}
}

func (c *controller) takeRole(ctx context.Context, claim lease.Claim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := update(ctx, c.node, func(state controlState) (controlState, error) { return applyClaim(state, claim, c.self) })
	if err != nil {
		c.log.Info("a role was not taken", zap.String("role", claim.Key), zap.String("cause", err.Error()))
		return
	}
	c.log.Info("role taken", zap.String("role", claim.Key), zap.Uint64("token", claim.Previous+1))
}
