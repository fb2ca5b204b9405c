package controller

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"weldscale/coordination/lease"
)

const (
	// heartbeatInterval is the time between heartbeats, which carry lease messages and gossip.
	heartbeatInterval = 200 * time.Millisecond
	// callTimeout bounds a call to another controller. It is below the time after which a member counts as silent, so that
	// one call that hangs does not make this controller appear silent.
	callTimeout = 400 * time.Millisecond
	// claimTimeout bounds the register write that claims a role.
	claimTimeout = time.Second
)

// runHeartbeats sends heartbeats and claims the roles that are due until ctx is done.
func (c *controller) runHeartbeats(ctx context.Context) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		c.sendHeartbeats(ctx, false)
		c.claimRoles(ctx)
		c.hub.SetRouters(c.routerCount(time.Now()))
		c.hub.SetControllers(c.peers.addresses(time.Now()))
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-c.heartbeatNow:
		}
	}
}

// triggerHeartbeat makes runHeartbeats send the next heartbeat at once.
func (c *controller) triggerHeartbeat() {
	select {
	case c.heartbeatNow <- struct{}{}:
	default:
	}
}

// sendHeartbeats sends one heartbeat to each controller that is due, or to all if toAll is set. The returned group is done when
// every call was answered or has failed.
func (c *controller) sendHeartbeats(ctx context.Context, toAll bool) *sync.WaitGroup {
	var message heartbeat
	var sentAt time.Duration
	c.leases.withParticipant(func(participant *lease.Participant, now time.Duration) {
		sentAt = now
		participant.SetVotersInDoubt(c.node.ReplicaSetInDoubt())
		message.Lease = participant.Heartbeat(now, hasQuorum(c.node))
	})
	message.Gossip = c.gossip()
	var calls sync.WaitGroup
	for _, address := range c.peers.due(time.Now(), toAll) {
		calls.Go(func() { c.sendHeartbeat(ctx, address, sentAt, message) })
	}
	if len(message.Lease.Asks) > 0 {
		c.poller.Wake() // if it is the only voter, this controller has just granted itself the roles
	}
	return &calls
}

// sendHeartbeat sends one heartbeat and processes the reply.
func (c *controller) sendHeartbeat(ctx context.Context, address string, sentAt time.Duration, message heartbeat) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	var reply heartbeatReply
	err := c.client.Call(ctx, address, pathHeartbeat, message, &reply)
	c.peers.recordResult(time.Now(), address, err)
	if err != nil {
		return
	}
	c.leases.withParticipant(func(participant *lease.Participant, now time.Duration) {
		participant.HandleReply(sentAt, now, reply.Lease)
	})
	if len(reply.Lease.Granted) > 0 {
		c.poller.Wake()
	}
	c.handleGossip(reply.Lease.From.Address, reply.Gossip)
}

// serveHeartbeat answers the heartbeat of another controller.
func (c *controller) serveHeartbeat(_ context.Context, message heartbeat) (heartbeatReply, error) {
	var reply heartbeatReply
	c.leases.withParticipant(func(participant *lease.Participant, now time.Duration) {
		participant.SetVotersInDoubt(c.node.ReplicaSetInDoubt())
		reply.Lease = participant.Receive(now, message.Lease)
	})
	c.handleGossip(message.Lease.From.Address, message.Gossip)
	if len(message.Lease.Released) > 0 {
		c.triggerHeartbeat()
	}
	reply.Gossip = c.gossip()
	return reply, nil
}

// gossip returns the part of a heartbeat or its reply that does not concern leases.
func (c *controller) gossip() gossip {
	now := time.Now()
	version, age := c.lists.versionAndAge(now)
	return gossip{
		Revision:  c.node.Latest().Revision,
		List:      version,
		ListAgeMs: age,
		Routers:   c.agents.recentLocal(now),
		Reports:   c.reports.toForward(),
	}
}

// handleGossip processes the gossip of another controller. It fetches a newer list, sends a list that the other one has
// missed, and reads the register if the other one knows a newer revision.
func (c *controller) handleGossip(address string, received gossip) {
	now := time.Now()
	c.peers.recordContact(now, address)
	c.agents.recordRemote(now, received.Routers)
	if len(received.Reports) > 0 {
		c.reports.recordForwarded(received.Reports, c.lists.serviceByWorker())
	}
	if c.lists.observeVersion(now, received.List, received.ListAgeMs) {
		c.fetchList(c.ctx, address)
	}
	c.sendMissedList(now, address, received.List)
	if received.Revision > c.node.Latest().Revision {
		c.readNewerState()
	}
}

// readNewerState reads the register in the background to learn a newer state. It does nothing while an earlier read is in
// progress.
func (c *controller) readNewerState() {
	if !c.readingState.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer c.readingState.Store(false)
		ctx, cancel := context.WithTimeout(c.ctx, attemptTimeout)
		defer cancel()
		_, _ = c.node.Read(ctx)
	}()
}

// claimRoles starts a register write for each claim that is due.
func (c *controller) claimRoles(ctx context.Context) {
	var claims []lease.Claim
	c.leases.withParticipant(func(participant *lease.Participant, now time.Duration) { claims = participant.Claims(now) })
	for _, claim := range claims {
		go c.claimRole(ctx, claim)
	}
}

// claimRole writes one claim to the register.
func (c *controller) claimRole(ctx context.Context, claim lease.Claim) {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	err := updateState(ctx, c.node, func(state controlState) (controlState, error) { return applyClaim(state, claim, c.self) })
	if err != nil {
		c.log.Info("a role was not taken", zap.String("role", claim.Key), zap.String("cause", err.Error()))
		return
	}
	c.log.Info("role taken", zap.String("role", claim.Key), zap.Uint64("token", claim.Previous+1))
}
