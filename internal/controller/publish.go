package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"weldscale/coordination/lease"
	"weldscale/coordination/register"
	"weldscale/internal/fleetconfig"
	"weldscale/internal/pause"
)

// syncRetryPause is the pause between attempts of the initial read.
const syncRetryPause = 50 * time.Millisecond

// followRegister publishes each newly chosen state to the subscribers and the leases until ctx is done.
func (c *controller) followRegister(ctx context.Context) {
	for {
		changed := c.node.Changed()
		if latest := c.node.Latest(); len(latest.Replicas) > 0 {
			c.publish(latest)
		}
		select {
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

// initialSync reads the register after the start, with retries until it succeeds. From then on this controller grants leases.
func (c *controller) initialSync(ctx context.Context) {
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		state, err := c.node.Read(attempt)
		cancel()
		if err == nil {
			c.publish(state)
			c.leases.withParticipant(func(participant *lease.Participant, _ time.Duration) { participant.MarkSynced() })
			c.synced.Store(true)
			return
		}
		if !pause.For(ctx, syncRetryPause) {
			return
		}
	}
}

// publish updates the peers, the leases and the published configuration from a chosen state. It ignores a state that is older
// than the last one.
func (c *controller) publish(chosen register.State) {
	c.publishMutex.Lock()
	defer c.publishMutex.Unlock()
	if chosen.Revision < c.publishedRevision {
		return
	}
	c.publishedRevision = chosen.Revision
	replicas := replicaAddresses(chosen)
	c.peers.setReplicas(replicas)
	state, err := decodeState(chosen.Data)
	if err != nil {
		c.log.Error("the register's state could not be read", zap.String("cause", err.Error()))
		return
	}
	c.leases.withParticipant(func(participant *lease.Participant, now time.Duration) { participant.Learn(now, replicas, state.Roles) })
	c.publishConfig(state)
	c.triggerHeartbeat()
}

// publishConfig publishes the configuration of a state if it is newer than the last one published.
func (c *controller) publishConfig(state controlState) {
	if state.Changes <= c.publishedChange {
		return
	}
	config, err := fleetconfig.Parse(state.Config)
	if err == nil {
		err = c.hub.PublishConfig(state.Changes, config)
	}
	if err != nil {
		c.log.Error("the configuration could not be published", zap.Int64("version", state.Version), zap.String("cause", err.Error()))
		return
	}
	c.publishedChange = state.Changes
	c.log.Info("configuration published", zap.Int64("version", state.Version), zap.Uint64("change", state.Changes))
}
