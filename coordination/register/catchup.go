package register

import (
	"context"
	"time"
)

// catchUpAfter is how long the own disk may lack a value that is known to be chosen before it is written there unasked. An accept that
// is late by the disk or the path comes before, and costs no second write.
const catchUpAfter = 300 * time.Millisecond

// diskCatchUp brings what is chosen to the disk of a replica that was not asked to accept it: behind a cut, without power, or with a
// disk that was full. A majority holds it without this replica, but each copy that is missing is a loss that the register does not
// bear. It is used by the goroutine of Run.
type diskCatchUp struct {
	behindSince time.Time // zero: the disk holds what is chosen
	writing     backgroundTask
}

// tick writes the newest chosen value if it is due, in the background: a disk may hang.
func (k *diskCatchUp) tick(ctx context.Context, n *Node, now time.Time) {
	if k.writing.busy() {
		return
	}
	if !n.diskLacksChosen() {
		k.behindSince = time.Time{}
		return
	}
	if k.behindSince.IsZero() {
		k.behindSince = now
	}
	if now.Sub(k.behindSince) < catchUpAfter {
		return
	}
	k.writing.start(func() { n.catchUpDisk(ctx) })
}

// diskLacksChosen reports whether the own replica is in the set and does not hold what is chosen.
func (n *Node) diskLacksChosen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acceptor != nil && n.acceptor.Accepted().Ballot.Less(n.chosen.Ballot) && n.chosen.Value.HasMember(n.acceptor.Self().ID)
}

// catchUpDisk writes the newest chosen value to the own disk.
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
