package systemtest

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"weldscale/coordination/register"
)

// targetReplicas is 2f+1 with f = 1, to tolerate the loss of one replica.
const targetReplicas = 3

func mapKeys[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }

func without[T comparable](list []T, removed T) []T { return lo.Without(list, removed) }

// tick sends heartbeats, writes a missed value to the local disk, and proposes a reconfiguration or completion if one is due.
func (n *node) tick() {
	interval := registerHeartbeat
	if !n.inSetOrStandby() {
		interval = 2 * upkeepInterval
	}
	if now := n.process.Monotonic(); n.lastHeartbeat == 0 || now-n.lastHeartbeat >= interval {
		n.lastHeartbeat = now
		n.sendHeartbeats()
	}
	if n.acceptor == nil {
		return
	}
	n.catchUpDisk()
	if n.upkeepPending {
		return
	}
	change := n.dueChange()
	if change == nil {
		return
	}
	n.upkeepPending = true
	n.propose(change, upkeepTimeout, func(register.Accepted, error) { n.upkeepPending = false })
}

// catchUpDisk writes the chosen value to the local disk if the disk has lacked it for catchUpAfter.
func (n *node) catchUpDisk() {
	now := n.process.Monotonic()
	if !n.acceptor.Accepted().Ballot.Less(n.chosen.Ballot) || !n.chosen.Value.HasMember(n.id()) {
		n.behindSince = 0
		return
	}
	if n.behindSince == 0 {
		n.behindSince = now
	}
	if now-n.behindSince < catchUpAfter || n.writing {
		return
	}
	n.diskQueue = append(n.diskQueue, func() { n.persist(n.acceptor.Learn(n.chosen), func(register.Reply) {}) })
	n.startNextWrite()
}

func (n *node) planner(delay time.Duration) register.Planner {
	return register.Planner{Self: n.self(), TargetReplicas: targetReplicas, MaxReplicas: 2 * targetReplicas,
		SilentFor: n.silentFor, RemoveAfter: removeAfter + delay}
}

func sameSets(a, b register.Value) bool {
	return slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Previous, b.Previous)
}

// dueChange returns the change to propose now, or nil if there is none.
func (n *node) dueChange() register.Change {
	chosen := n.chosen.Value
	if len(chosen.Replicas) == 0 {
		return n.dueCompletion()
	}
	planner := n.planner(rankDelay * time.Duration(n.rank(chosen)))
	if sameSets(chosen, planner.Next(chosen)) {
		return n.dueCompletion()
	}
	if !n.mayChange(chosen) {
		return nil
	}
	return func(value register.Value) (register.Value, error) {
		next := planner.Next(value)
		if n.deployment.defects.skipsJoint {
			next.Previous = nil
		}
		return next, nil
	}
}

// mayChange reports whether a reconfiguration may be proposed now. A joint set is finished by its proposer unless that takes
// too long, and a joining node first waits for replies of all members.
func (n *node) mayChange(chosen register.Value) bool {
	now := n.process.Monotonic()
	if chosen.Joint() {
		if n.jointOrigin != chosen.Origin {
			n.jointOrigin, n.jointSince = chosen.Origin, now
		}
		return chosen.Origin.Proposer == n.proposerNumber || now-n.jointSince >= rankDelay*time.Duration(1+n.rank(chosen))
	}
	if chosen.HasReplica(n.id()) {
		n.probeSince = 0
		return true
	}
	if n.probeSince == 0 {
		n.probeSince = now
	}
	return now-n.probeSince >= joinProbeTimeout || n.contactedAll(chosen)
}

func (n *node) contactedAll(value register.Value) bool {
	return lo.EveryBy(value.Replicas, func(r register.Replica) bool {
		p := n.peers[r.Address]
		return r.Address == n.process.Name() || p != nil && p.replied && p.lastAnswered >= n.probeSince
	})
}

// dueCompletion returns the change that completes a value that stays in doubt, or that learns the chosen value after a start.
// It returns nil if none is due.
func (n *node) dueCompletion() register.Change {
	known := n.known()
	peerAhead := lo.SomeBy(slices.Collect(maps.Values(n.peers)), func(p *peer) bool { return n.chosen.Ballot.Less(p.accepted) })
	now := n.process.Monotonic()
	if len(known.Value.Replicas) == 0 || known.Ballot == n.chosen.Ballot && !peerAhead {
		n.doubtSince = 0
		return nil
	}
	if n.doubtSince == 0 {
		n.doubtSince = now
	}
	if now-n.doubtSince < doubtTimeout+rankDelay*time.Duration(n.rank(known.Value)) {
		return nil
	}
	n.doubtSince = 0
	return register.Unchanged
}

// rank returns the position of the node among the members that are not silent.
func (n *node) rank(value register.Value) int {
	position := 0
	for _, replica := range value.Replicas {
		if replica.ID == n.id() {
			break
		}
		if n.silentFor(replica) == 0 {
			position++
		}
	}
	return position
}
