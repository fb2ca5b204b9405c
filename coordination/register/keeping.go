package register

import (
	"context"
	"time"
)

// keepAfter is how long the own disk may lack a value that is known to be chosen before it is written there unasked. An accept that
// is late by the disk or the path comes before, and costs no second write.
const keepAfter = 300 * time.Millisecond

// keeping brings what is chosen to the disk of a replica that was not asked to accept it: behind a cut, without power, or with a
// disk that was full. A majority holds it without this replica, but each copy that is missing is a loss that the register does not
// bear. It is used by the goroutine of Run.
type keeping struct {
	behindSince time.Time // zero: the disk holds what is chosen
	writing     background
}

// step writes the newest chosen value if it is due, in the background: a disk may hang.
func (k *keeping) step(ctx context.Context, n *Node, now time.Time) {
	if k.writing.busy() {
		return
	}
	if !n.lacksChosen() {
		k.behindSince = time.Time{}
		return
	}
	if k.behindSince.IsZero() {
		k.behindSince = now
	}
	if now.Sub(k.behindSince) < keepAfter {
		return
	}
	k.writing.start(func() { n.keepChosen(ctx) })
}

// lacksChosen reports whether the own replica is in the set and does not hold what is chosen.
func (n *Node) lacksChosen() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.acceptor != nil && n.acceptor.Accepted().Ballot.Less(n.chosen.Ballot) && n.chosen.Value.HasMember(n.acceptor.Self().ID)
}

// keepChosen writes the newest chosen value to the own disk.
func (n *Node) keepChosen(ctx context.Context) {
	select {
	case n.writing <- struct{}{}:
		defer func() { <-n.writing }()
	case <-ctx.Done():
		return
	}
	n.mu.Lock()
	step := n.acceptor.Learn(n.chosen)
	n.mu.Unlock()
	if step.Write != nil {
		n.finish(step)
	}
}
