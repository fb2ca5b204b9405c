package instances

import (
	"cmp"
	"slices"

	"weldscale/internal/fleetwire"
)

// Merge joins the pages of one reading into a list in the order of the ids. A worker that moved between pages while they
// were read may stand on two of them: its later entry counts, but one that was seen draining stays so.
func Merge(pages [][]fleetwire.Instance) []fleetwire.Instance {
	byID := make(map[string]int)
	merged := []fleetwire.Instance{}
	for _, page := range pages {
		for _, instance := range page {
			at, seen := byID[instance.ID]
			if !seen {
				byID[instance.ID] = len(merged)
				merged = append(merged, instance)
				continue
			}
			if merged[at].State == fleetwire.InstanceDraining {
				instance.State = fleetwire.InstanceDraining
			}
			merged[at] = instance
		}
	}
	slices.SortFunc(merged, func(a, b fleetwire.Instance) int { return cmp.Compare(a.ID, b.ID) })
	return merged
}

// Equal reports whether two merged lists say the same. The time for which a worker remains cold falls by itself: only
// whether it is cold counts.
func Equal(a, b []fleetwire.Instance) bool {
	return slices.EqualFunc(a, b, sameInstance)
}

func sameInstance(a, b fleetwire.Instance) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Address == b.Address && a.Zone == b.Zone &&
		a.Version == b.Version && a.Slots == b.Slots && a.State == b.State && a.Stage == b.Stage &&
		(a.ColdRemainingMs > 0) == (b.ColdRemainingMs > 0) && slices.Equal(a.Models, b.Models)
}
