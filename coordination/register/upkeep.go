package register

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// upkeepInterval is the pace of what is urgent: a disk without an identity, a newcomer, a change of the set.
	upkeepInterval = 50 * time.Millisecond
	// joinProbeTimeout is how long a newcomer waits to hear of every member, to know which of them can give way.
	joinProbeTimeout = 500 * time.Millisecond
	// rankDelay spreads what any member may do, so that usually the first one alone does it.
	rankDelay = 400 * time.Millisecond
	// doubtTimeout is how long a value may stay in doubt before it is completed unasked.
	doubtTimeout  = time.Second
	upkeepTimeout = 3 * time.Second
)

// Run keeps the node in touch and in the set until ctx is done.
func (n *Node) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastBeat time.Time
	var upkeep upkeep
	var keeping diskCatchUp
	for {
		select {
		case <-timer.C:
		case <-n.wakeUp:
		case <-ctx.Done():
			return
		}
		if time.Since(lastBeat) >= n.heartbeatInterval() {
			lastBeat = time.Now()
			n.heartbeat()
		}
		if n.initializeDisk() {
			n.learnGenesis()
			upkeep.tick(ctx, n)
			keeping.tick(ctx, n, time.Now())
		}
		timer.Reset(n.nextDelay())
	}
}

// nextDelay is slow while all is settled: each wake-up costs.
func (n *Node) nextDelay() time.Duration {
	known, chosen := n.known()
	if known.Ballot == chosen && n.inSetOrStandby(&known.Value) && !known.Value.Joint() {
		return n.options.Heartbeat
	}
	return upkeepInterval
}

// heartbeatInterval is short while the node is on its way into the set.
func (n *Node) heartbeatInterval() time.Duration {
	if known, _ := n.known(); n.inSetOrStandby(&known.Value) {
		return n.options.Heartbeat
	}
	return 2 * upkeepInterval
}

// inSetOrStandby reports whether the node is in the set, or on standby for one that has no room.
func (n *Node) inSetOrStandby(value *Value) bool {
	return value.HasReplica(n.ID()) || len(value.Replicas) >= n.options.MaxReplicas
}

// Leave takes the own replica out of the set, if enough others stay: for a process that is stopped for good while its
// successor is already there. It does nothing otherwise.
func (n *Node) Leave(ctx context.Context) error {
	n.mu.Lock()
	n.leaving = true
	n.mu.Unlock()
	for {
		chosen := n.latestChosen().Value
		if !chosen.Joint() && !chosen.HasReplica(n.ID()) {
			return nil
		}
		plan := n.planner(0)
		if sameContent(&chosen, new(plan.Next(chosen))) {
			return nil
		}
		if _, err := n.propose(ctx, func(value Value) (Value, error) { return plan.Next(value), nil }); err != nil {
			return err
		}
	}
}

func (n *Node) latestChosen() Accepted {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.chosen
}

func (n *Node) planner(delay time.Duration) Planner {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	self := Replica{Address: n.options.Address}
	if n.acceptor != nil {
		self = n.acceptor.Self()
	}
	return Planner{
		Self:           self,
		TargetReplicas: n.options.TargetReplicas,
		MaxReplicas:    n.options.MaxReplicas,
		Leaving:        n.leaving,
		SilentFor: func(replica Replica) time.Duration {
			n.mu.Lock()
			defer n.mu.Unlock()
			return n.silentFor(replica, now)
		},
		RemoveAfter: n.options.RemoveAfter + delay,
	}
}

// upkeep is the state of the steps that Run takes beside the heartbeat.
type upkeep struct {
	proposal    backgroundTask
	jointOrigin Ballot // joint value that was seen last
	jointSince  time.Time
	doubtSince  time.Time
	probeSince  time.Time // when the node, not in the set, first knew it
}

// tick starts what is due, in the background: the heartbeat must not wait for it.
func (u *upkeep) tick(ctx context.Context, n *Node) {
	if u.proposal.busy() {
		return
	}
	change := u.dueChange(n, time.Now())
	if change == nil {
		return
	}
	u.proposal.start(func() {
		defer n.wake()
		n.proposeUpkeep(ctx, change)
	})
}

// proposeUpkeep proposes a change of the set, or completes one that is in doubt.
func (n *Node) proposeUpkeep(ctx context.Context, change Change) {
	ctx, cancel := context.WithTimeout(ctx, upkeepTimeout)
	defer cancel()
	chosen, err := n.propose(ctx, change)
	if err != nil {
		return
	}
	n.options.Log.Debug("register: upkeep", zap.Uint64("revision", chosen.Value.Revision),
		zap.Int("replicas", len(chosen.Value.Replicas)), zap.Bool("joint", chosen.Value.Joint()))
}

// dueChange returns the change to make now, nil if there is none.
func (u *upkeep) dueChange(n *Node, now time.Time) Change {
	chosen := n.latestChosen().Value
	if len(chosen.Replicas) == 0 {
		return u.dueCompletion(n, now)
	}
	plan := n.planner(rankDelay * time.Duration(rank(&chosen, n)))
	if sameContent(&chosen, new(plan.Next(chosen))) {
		return u.dueCompletion(n, now)
	}
	if !u.mayChange(n, &chosen, now) {
		return nil
	}
	return func(value Value) (Value, error) { return plan.Next(value), nil }
}

// mayChange holds a change back: a joint set is finished by whoever made it, unless it takes too long; a newcomer hears of
// every member first.
func (u *upkeep) mayChange(n *Node, chosen *Value, now time.Time) bool {
	if chosen.Joint() {
		if u.jointOrigin != chosen.Origin {
			u.jointOrigin, u.jointSince = chosen.Origin, now
		}
		mine := chosen.Origin.Proposer == n.ballots.proposer
		return mine || now.Sub(u.jointSince) >= rankDelay*time.Duration(1+rank(chosen, n))
	}
	if chosen.HasReplica(n.ID()) {
		u.probeSince = time.Time{}
		return true
	}
	if u.probeSince.IsZero() {
		u.probeSince = now
	}
	return now.Sub(u.probeSince) >= joinProbeTimeout || n.contactedAll(chosen, u.probeSince)
}

// dueCompletion completes what stays in doubt, or learns the set's state after a start. It returns nil if nothing does.
func (u *upkeep) dueCompletion(n *Node, now time.Time) Change {
	if known, chosen := n.known(); len(known.Value.Replicas) == 0 || known.Ballot == chosen && !n.peerAhead(chosen) {
		u.doubtSince = time.Time{}
		return nil
	}
	if u.doubtSince.IsZero() {
		u.doubtSince = now
	}
	known, _ := n.known()
	if now.Sub(u.doubtSince) < doubtTimeout+rankDelay*time.Duration(rank(&known.Value, n)) {
		return nil
	}
	u.doubtSince = time.Time{}
	return Unchanged
}

// peerAhead reports whether a replica told of an accepted ballot above the chosen one.
func (n *Node) peerAhead(chosen Ballot) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, p := range n.peers {
		if chosen.Less(p.accepted) {
			return true
		}
	}
	return false
}

// contactedAll reports whether every member at another address has answered since a moment.
func (n *Node) contactedAll(value *Value, since time.Time) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, replica := range value.Replicas {
		if replica.Address == n.options.Address {
			continue
		}
		if p := n.peers[replica.Address]; p == nil || p.lastAnswered.Before(since) {
			return false
		}
	}
	return true
}

// rank is the node's place among the members that are not silent.
func rank(value *Value, n *Node) int {
	self := n.ID()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	place := 0
	for _, replica := range value.Replicas {
		if replica.ID == self {
			break
		}
		if n.silentFor(replica, now) == 0 {
			place++
		}
	}
	return place
}

// awaitReplicaSet waits until the node knows whom to ask.
func (n *Node) awaitReplicaSet(ctx context.Context) error {
	for {
		changed := n.Changed()
		if known, _ := n.known(); len(known.Value.Replicas) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return eris.Wrap(ErrNoQuorum, "no set known")
		}
	}
}
