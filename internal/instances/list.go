package instances

import (
	"cmp"
	"slices"

	"weldscale/internal/fleetwire"
)

// Merge joins the pages of one read into a list sorted by ID. A worker that moves between pages during the read may appear
// on two of them. Its last entry is kept, but its state is draining if any entry is draining.
func Merge(pages [][]fleetwire.Instance) []fleetwire.Instance {
	byID := make(map[string]int)
	merged := []fleetwire.Instance{}
	for _, page := range pages {
		for _, instance := range page {
			index, seen := byID[instance.ID]
			if !seen {
				byID[instance.ID] = len(merged)
				merged = append(merged, instance)
				continue
			}
			if merged[index].State == fleetwire.InstanceDraining {
				instance.State = fleetwire.InstanceDraining
			}
			merged[index] = instance
		}
	}
	slices.SortFunc(merged, func(a, b fleetwire.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return merged
}

// Equal reports whether two merged lists are equivalent. The remaining time of a cold start decreases on its own, so only
// whether it is above 0 is compared.
func Equal(a, b []fleetwire.Instance) bool {
	return slices.EqualFunc(a, b, equalInstances)
}

func equalInstances(a, b fleetwire.Instance) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Version == b.Version && a.Slots == b.Slots && a.State == b.State && a.Stage == b.Stage &&
		(a.ColdRemainingMs > 0) == (b.ColdRemainingMs > 0) && slices.Equal(a.Models, b.Models)
}
