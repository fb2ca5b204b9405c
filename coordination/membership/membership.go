// Package membership keeps the list of living members without a centre. Rendezvous hashing gives each member a few monitors;
// a member sends its heartbeats to those only, and a monitor that misses them asks, and then tells the others. What is told
// travels with the heartbeats, so the messages of a member don't grow with the fleet.
//
// A member that was thought dead, because it froze or was cut off, learns so from the first answer that it gets and begins a
// new incarnation, which overrides what was told of the older one.
package membership

import (
	"slices"

	"weldscale/coordination/rendezvous"
)

// Monitors returns the members that monitor the named one: the first few of the others in its rendezvous order.
func Monitors(name string, members []string, count int) []string {
	others := slices.DeleteFunc(slices.Clone(members), func(other string) bool { return other == name })
	order := rendezvous.Rank(name, others)
	return order[:min(count, len(order))]
}

// isMonitor reports whether one member is among the Monitors of the named one, without ranking them all.
func isMonitor(monitor, name string, members []string, count int) bool {
	own := rendezvous.Weight(name, monitor)
	better := 0
	for _, other := range members {
		if other == name || other == monitor {
			continue
		}
		weight := rendezvous.Weight(name, other)
		if weight > own || (weight == own && other < monitor) {
			better++
		}
		if better >= count {
			return false
		}
	}
	return true
}
