package controller

import (
	"context"
	"time"

	"weldscale/coordination/lease"
	"weldscale/internal/fleetwire"
)

// serveStatus returns the status of this controller.
func (c *controller) serveStatus(context.Context, empty) (status, error) {
	now := time.Now()
	latest := c.node.Latest()
	state, err := decodeState(latest.Data)
	if err != nil {
		return status{}, err
	}
	list := c.lists.message(now)
	_, listAge := c.lists.versionAndAge(now)
	return status{
		Member:      c.member(),
		Revision:    latest.Revision,
		Version:     state.Version,
		Changes:     state.Changes,
		Replicas:    replicaAddresses(latest),
		Live:        c.leases.live(),
		Roles:       state.Roles,
		Held:        c.heldRoles(),
		List:        list.Version,
		Instances:   len(list.Instances),
		ListAgeMs:   listAge,
		QuorumAgeMs: c.node.QuorumAge().Milliseconds(),
		Routers:     c.agents.count(now),
	}, nil
}

// heldRoles returns the keys of the roles in which this controller may act now.
func (c *controller) heldRoles() []string {
	var held []string
	c.leases.withParticipant(func(participant *lease.Participant, now time.Duration) {
		for _, key := range roles {
			if _, ok := participant.Holds(now, key); ok {
				held = append(held, key)
			}
		}
	})
	return held
}

// member describes this controller to other processes.
func (c *controller) member() fleetwire.Member {
	current := c.settings.Load()
	return fleetwire.Member{
		Name:    current.NodeName,
		Address: c.self.Address,
		Role:    fleetwire.RoleController,
		Zone:    current.Zone,
		Region:  current.Region,
	}
}
