package controller

import (
	"context"
	"time"

	"go.uber.org/zap"

	"weldscale/coordination/lease"
	"weldscale/coordination/register"
	"weldscale/internal/fleetconfig"
)

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

func (c *controller) publish(latest register.State) {
	replicas := replicaAddresses(latest)
	c.roster.setReplicas(replicas)
	state, err := decodeState(latest.Data)
	if err != nil {
		c.log.Error("the register's state could not be read", zap.String("cause", err.Error()))
		return
	}
	c.leases.with(func(decider *lease.Decider, now time.Duration) { decider.Learn(now, replicas, state.Roles) })
	c.publishConfig(state)
	c.hurry()
}

func (c *controller) publishConfig(state controlState) {
	if state.Changes <= c.published.Load() {
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
	c.published.Store(state.Changes)
	c.log.Info("configuration published", zap.Int64("version", state.Version), zap.Uint64("change", state.Changes))
}
