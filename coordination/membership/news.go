package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

// tellingsFactor times the logarithm of the fleet's size is how often a notice is passed on by each member: enough to reach
// all with a large probability.
const tellingsFactor = 4

// news is the notices that are still to be passed on.
type news struct {
	items []newsItem
}

type newsItem struct {
	notice Notice
	left   int // tellings
}

// add queues a notice in place of an older one of the same member.
func (n *news) add(notice Notice, fleet int) {
	n.items = slices.DeleteFunc(n.items, func(item newsItem) bool { return item.notice.Member.Name == notice.Member.Name })
	n.items = append(n.items, newsItem{notice: notice, left: tellingsFactor * bits.Len(uint(fleet)+1)})
}

// pick returns the notices that were told least so far, and counts them as told.
func (n *news) pick(count int) []Notice {
	if len(n.items) == 0 {
		return nil
	}
	slices.SortStableFunc(n.items, func(a, b newsItem) int { return cmp.Compare(b.left, a.left) })
	picked := make([]Notice, 0, min(count, len(n.items)))
	for i := range n.items[:min(count, len(n.items))] {
		picked = append(picked, n.items[i].notice)
		n.items[i].left--
	}
	n.items = slices.DeleteFunc(n.items, func(item newsItem) bool { return item.left <= 0 })
	return picked
}
