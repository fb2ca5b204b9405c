package register

import (
	"context"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"
)

const (
	// upkeepInterval is the tick of Run while the disk has no identity, the node joins, the set is reconfigured or a value is in
	// doubt.
	upkeepInterval = 50 * time.Millisecond
	// joinProbeTimeout is how long a joining node waits for replies of all members, to know which of them can be replaced.
	joinProbeTimeout = 500 * time.Millisecond
	// rankDelay staggers actions that any member may take by the rank of the member, so that usually only the first one acts.
	rankDelay = 400 * time.Millisecond
	// doubtTimeout is how long a value may stay in doubt before a node completes it without a client request.
	doubtTimeout  = time.Second
	upkeepTimeout = 3 * time.Second
)

// Run sends heartbeats, keeps the node in the replica set and writes missed values to its disk until ctx is done.
func (n *Node) Run(ctx context.Context) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	var lastHeartbeat time.Time
	var upkeep upkeep
	var catchUp diskCatchUp
	for {
		select {
		case <-timer.C:
		case <-n.wakeUp:
		case <-ctx.Done():
			return
		}
		if time.Since(lastHeartbeat) >= n.heartbeatInterval() {
			lastHeartbeat = time.Now()
			n.heartbeat()
		}
		if n.initializeDisk() {
			n.learnGenesis()
			upkeep.tick(ctx, n)
			catchUp.tick(ctx, n, time.Now())
		}
		timer.Reset(n.nextDelay())
	}
}

// nextDelay returns the time until the next tick. It is long while there is nothing to do, because wake-ups cost CPU time.
func (n *Node) nextDelay() time.Duration {
	known, chosen := n.known()
	if known.Ballot == chosen && n.inSetOrStandby(&known.Value) && !known.Value.Joint() {
		return n.options.Heartbeat
	}
	return upkeepInterval
}

// heartbeatInterval returns the time between heartbeats. It is short while the node joins the set.
func (n *Node) heartbeatInterval() time.Duration {
	if known, _ := n.known(); n.inSetOrStandby(&known.Value) {
		return n.options.Heartbeat
	}
	return 2 * upkeepInterval
}

// inSetOrStandby reports whether the node is in the set, or on standby because the set has no room.
func (n *Node) inSetOrStandby(value *Value) bool {
	return value.HasReplica(n.ID()) || len(value.Replicas) >= n.options.MaxReplicas
}

// Leave removes the local replica from the set if at least TargetReplicas others remain, and does nothing otherwise. It is meant
// for a process that stops for good after its successor has joined.
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

// upkeep is the state of the reconfigurations and completions that Run starts. Only the goroutine of Run uses it.
type upkeep struct {
	proposal    backgroundTask
	jointOrigin Ballot // origin of the last observed joint value
	jointSince  time.Time
	doubtSince  time.Time
	probeSince  time.Time // when the node, outside of the set, first knew the set
}

// tick starts the proposal that is due. It runs in the background because the heartbeat must not wait for it.
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

// proposeUpkeep proposes a reconfiguration, or completes a value in doubt.
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

// dueChange returns the change to propose now, or nil if there is none.
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

// mayChange reports whether a reconfiguration may be proposed now. A joint set is finished by its proposer unless that takes too
// long, and a joining node first waits for replies of all members.
func (u *upkeep) mayChange(n *Node, chosen *Value, now time.Time) bool {
	if chosen.Joint() {
		if u.jointOrigin != chosen.Origin {
			u.jointOrigin, u.jointSince = chosen.Origin, now
		}
		ownProposal := chosen.Origin.Proposer == n.ballots.proposer
		return ownProposal || now.Sub(u.jointSince) >= rankDelay*time.Duration(1+rank(chosen, n))
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

// dueCompletion returns the change that completes a value that stays in doubt, or that learns the chosen value after a start. It
// returns nil if none is due.
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

// peerAhead reports whether a peer has reported an accepted ballot above the chosen one.
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

// contactedAll reports whether every member at another address has replied to a request sent since the given time.
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

// rank returns the position of the node among the members that are not silent.
func rank(value *Value, n *Node) int {
	self := n.ID()
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	position := 0
	for _, replica := range value.Replicas {
		if replica.ID == self {
			break
		}
		if n.silentFor(replica, now) == 0 {
			position++
		}
	}
	return position
}

// awaitReplicaSet waits until the node knows a replica set. If ctx is done first, it returns ErrNoQuorum.
func (n *Node) awaitReplicaSet(ctx context.Context) error {
	for {
		changed := n.Changed()
		if known, _ := n.known(); len(known.Value.Replicas) > 0 {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return eris.Wrap(ErrNoQuorum, "no replica set known")
		}
	}
}
