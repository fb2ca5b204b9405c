package membership

import (
	"cmp"
	"math/bits"
	"slices"
)

// retransmitFactor times the logarithm of the fleet's size is the number of times that each member sends a notice. With it, a
// notice reaches all members with high probability.
const retransmitFactor = 4

// gossipQueue holds the notices that are still to be sent with other messages.
type gossipQueue struct {
	items []gossipItem
}

type gossipItem struct {
	notice            Notice
	transmissionsLeft int
}

// add queues a notice and removes an older one about the same member.
func (q *gossipQueue) add(notice Notice, fleet int) {
	q.items = slices.DeleteFunc(q.items, func(item gossipItem) bool { return item.notice.Member.Name == notice.Member.Name })
	q.items = append(q.items, gossipItem{notice: notice, transmissionsLeft: retransmitFactor * bits.Len(uint(fleet)+1)})
}

// pick returns the notices with the most transmissions left and decrements their counts. Notices without transmissions left
// are removed.
func (q *gossipQueue) pick(count int) []Notice {
	if len(q.items) == 0 {
		return nil
	}
	slices.SortStableFunc(q.items, func(a, b gossipItem) int { return cmp.Compare(b.transmissionsLeft, a.transmissionsLeft) })
	picked := make([]Notice, 0, min(count, len(q.items)))
	for i := range q.items[:min(count, len(q.items))] {
		picked = append(picked, q.items[i].notice)
		q.items[i].transmissionsLeft--
	}
	q.items = slices.DeleteFunc(q.items, func(item gossipItem) bool { return item.transmissionsLeft <= 0 })
	return picked
}
