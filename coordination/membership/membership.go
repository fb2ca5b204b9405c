// Package membership maintains the list of live members without a central server, with a failure detector similar to SWIM.
// Rendezvous hashing gives each member a few monitors, and a member sends its heartbeats only to them. A monitor that misses
// heartbeats probes the member and then declares it dead. State changes are gossiped with the heartbeats, so the number and
// size of a member's messages do not grow with the fleet.
//
// A member that was declared dead because it was suspended or partitioned learns of this from the first reply that it receives.
// It then starts a new incarnation, which overrides the notices about the older one.
package membership

import (
	"slices"

	"weldscale/coordination/rendezvous"
)

// Monitors returns the members that monitor the named one: the first count of the other members in its rendezvous order.
func Monitors(name string, members []string, count int) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(other string) bool { return other == name })
	order := rendezvous.Rank(name, others)
	return order[:min(count, len(order))]
}

// isMonitor reports whether a member is among the Monitors of the named one, without ranking all members.
func isMonitor(monitor, name string, members []string, count int) bool {
	ownWeight := rendezvous.Weight(name, monitor)
	higher := 0
	for _, other := range members {
		if other == name || other == monitor {
			continue
		}
		weight := rendezvous.Weight(name, other)
		if weight > ownWeight || (weight == ownWeight && other < monitor) {
			higher++
		}
		if higher >= count {
			return false
		}
	}
	return true
}
