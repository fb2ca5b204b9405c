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

// syncPause separates the tries of the first read.
const syncPause = 50 * time.Millisecond

// followRegister passes each newly chosen state on to the watchers and the leases until the context is done.
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

// sync reads the register once after the start. From then on this controller votes on roles.
func (c *controller) sync(ctx context.Context) {
	for {
		attempt, cancel := context.WithTimeout(ctx, attemptTimeout)
		state, err := c.node.Read(attempt)
		cancel()
		if err == nil {
			c.publish(state)
			c.leases.with(func(decider *lease.Participant, _ time.Duration) { decider.MarkSynced() })
			c.synced.Store(true)
			return
		}
		if !pause.For(ctx, syncPause) {
			return
		}
	}
}

// publish takes a chosen state, if it is not older than the last one.
func (c *controller) publish(latest register.State) {
	c.publishing.Lock()
	defer c.publishing.Unlock()
	if latest.Revision < c.revision {
		return
	}
	c.revision = latest.Revision
	replicas := replicaAddresses(latest)
	c.roster.setReplicas(replicas)
	state, err := decodeState(latest.Data)
	if err != nil {
		c.log.Error("the register's state could not be read", zap.String("cause", err.Error()))
		return
	}
	c.leases.with(func(decider *lease.Participant, now time.Duration) { decider.Learn(now, replicas, state.Roles) })
	c.publishConfig(state)
	c.hurry()
}

func (c *controller) publishConfig(state controlState) {
	if state.Changes <= c.published {
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
	c.published = state.Changes
	c.log.Info("configuration published", zap.Int64("version", state.Version), zap.Uint64("change", state.Changes))
}
