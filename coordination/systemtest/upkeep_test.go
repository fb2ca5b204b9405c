package systemtest

import (
	"iter"
	"maps"
	"slices"
	"time"

	"github.com/samber/lo"

	"weldscale/coordination/register"
)

// targetReplicas is 2f+1 for the loss of one.
const targetReplicas = 3

func mapKeys[K comparable, V any](m map[K]V) iter.Seq[K] { return maps.Keys(m) }

func without[T comparable](list []T, gone T) []T { return lo.Without(list, gone) }

// tick sends heartbeats and takes the next step of the set if one is due.
func (n *node) tick() {
	interval := registerBeat
	if !n.placed() {
		interval = 2 * upkeepTick
	}
	if now := n.process.Monotonic(); n.lastBeat == 0 || now-n.lastBeat >= interval {
		n.lastBeat = now
		n.beat()
	}
	if n.acceptor == nil {
		return
	}
	n.keep()
	if n.upkeepRuns {
		return
	}
	change := n.due()
	if change == nil {
		return
	}
	n.upkeepRuns = true
	n.propose(change, upkeepBudget, func(register.Accepted, error) { n.upkeepRuns = false })
}

// keep has the own disk take a chosen value that it lacks for a while.
func (n *node) keep() {
	now := n.process.Monotonic()
	if !n.acceptor.Accepted().Ballot.Less(n.chosen.Ballot) || !n.chosen.Value.HasMember(n.id()) {
		n.behindSince = 0
		return
	}
	if n.behindSince == 0 {
		n.behindSince = now
	}
	if now-n.behindSince < keepAfter || n.writing {
		return
	}
	n.waiting = append(n.waiting, func() { n.perform(n.acceptor.Learn(n.chosen), func(register.Reply) {}) })
	n.nextWrite()
}

func (n *node) planner(delay time.Duration) register.Planner {
	return register.Planner{Self: n.self(), TargetReplicas: targetReplicas, MaxReplicas: 2 * targetReplicas,
		SilentFor: n.silence, RemoveAfter: removeAfter + delay}
}

func sameSets(a, b register.Value) bool {
	return slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Previous, b.Previous)
}

// due returns the change to make now, nil if there is none.
func (n *node) due() register.Change {
	chosen := n.chosen.Value
	if len(chosen.Replicas) == 0 {
		return n.settle()
	}
	planner := n.planner(rankDelay * time.Duration(n.rank(chosen)))
	if sameSets(chosen, planner.Next(chosen)) {
		return n.settle()
	}
	if !n.mayChange(chosen) {
		return nil
	}
	return func(value register.Value) (register.Value, error) {
		next := planner.Next(value)
		if n.site.broken.skipsJoint {
			next.Previous = nil
		}
		return next, nil
	}
}

func (n *node) mayChange(chosen register.Value) bool {
	now := n.process.Monotonic()
	if chosen.Joint() {
		if n.jointSeen != chosen.Origin {
			n.jointSeen, n.jointSince = chosen.Origin, now
		}
		return chosen.Origin.Proposer == n.number || now-n.jointSince >= rankDelay*time.Duration(1+n.rank(chosen))
	}
	if chosen.HasReplica(n.id()) {
		n.probeSince = 0
		return true
	}
	if n.probeSince == 0 {
		n.probeSince = now
	}
	return now-n.probeSince >= joinProbe || n.heardAll(chosen)
}

func (n *node) heardAll(value register.Value) bool {
	return lo.EveryBy(value.Replicas, func(r register.Replica) bool {
		p := n.peers[r.Address]
		return r.Address == n.process.Name() || p != nil && p.heard && p.answered >= n.probeSince
	})
}

// settle completes what stays in doubt, or learns the set's state after a start.
func (n *node) settle() register.Change {
	known := n.known()
	behind := lo.SomeBy(slices.Collect(maps.Values(n.peers)), func(p *peer) bool { return n.chosen.Ballot.Less(p.accepted) })
	now := n.process.Monotonic()
	if len(known.Value.Replicas) == 0 || known.Ballot == n.chosen.Ballot && !behind {
		n.doubtSince = 0
		return nil
	}
	if n.doubtSince == 0 {
		n.doubtSince = now
	}
	if now-n.doubtSince < doubtAfter+rankDelay*time.Duration(n.rank(known.Value)) {
		return nil
	}
	n.doubtSince = 0
	return register.Unchanged
}

// rank is the node's place among the members that are not silent.
func (n *node) rank(value register.Value) int {
	place := 0
	for _, replica := range value.Replicas {
		if replica.ID == n.id() {
			break
		}
		if n.silence(replica) == 0 {
			place++
		}
	}
	return place
}
