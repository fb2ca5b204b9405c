package register

import (
	"context"
	"time"
)

// catchUpAfter is how long the local disk may lack a value that is known to be chosen before the node writes it there without
// a request. An accept that is delayed by the disk or the network usually arrives earlier, which saves a second write.
const catchUpAfter = 300 * time.Millisecond

// diskCatchUp writes the chosen value to the local disk if the replica did not accept it, because of a partition, a power loss
// or a full disk. A majority holds the value without this replica, but each missing copy reduces the number of disk losses
// that the register survives. Only the goroutine of Run uses it.
type diskCatchUp struct {
	behindSince time.Time // zero if the disk holds the chosen value
	write       backgroundTask
}

// tick starts to write the newest chosen value if that is due. The write runs in the background because a disk may hang.
func (c *diskCatchUp) tick(ctx context.Context, n *Node, now time.Time) {
	if c.write.busy() {
		return
	}
	if !n.diskLacksChosen() {
		c.behindSince = time.Time{}
		return
	}
	if c.behindSince.IsZero() {
		c.behindSince = now
	}
	if now.Sub(c.behindSince) < catchUpAfter {
		return
	}
	c.write.start(func() { n.catchUpDisk(ctx) })
}

// diskLacksChosen reports whether the local replica is a member and does not hold the chosen value.
func (n *Node) diskLacksChosen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acceptor != nil && n.acceptor.Accepted().Ballot.Less(n.chosen.Ballot) && n.chosen.Value.HasMember(n.acceptor.Self().ID)
}

// catchUpDisk writes the newest chosen value to the local disk.
func (n *Node) catchUpDisk(ctx context.Context) {
	select {
	case n.diskSlot <- struct{}{}:
		defer func() { <-n.diskSlot }()
	case <-ctx.Done():
		return
	}
	n.mu.Lock()
	step := n.acceptor.Learn(n.chosen)
	n.mu.Unlock()
	if step.Write != nil {
		n.persist(step)
	}
}
