package register

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Planner plans the reconfiguration of the replica set from what one process knows. It has no side effects.
type Planner struct {
	Self           Replica
	TargetReplicas int // target size; once the set has reached it, it never shrinks below it
	MaxReplicas    int // limits the size of the set while replacements join
	Leaving        bool
	// SilentFor returns how long a replica has been silent, or zero if it is not.
	SilentFor   func(Replica) time.Duration
	RemoveAfter time.Duration // silence after which a replica is removed from a set above TargetReplicas
}

// Next returns the value that takes the next step of the reconfiguration from a chosen value. It returns an equal value if no
// step is needed.
func (p Planner) Next(value Value) Value {
	switch {
	case value.Joint():
		value.Previous = nil
		return value
	case p.Leaving:
		return p.change(value, p.leave(value.Replicas))
	case value.HasReplica(p.Self.ID):
		return p.change(value, p.removeSilent(value.Replicas))
	}
	return p.change(value, p.join(value.Replicas))
}

// change returns the joint value of the step to another set, or the value itself if the set stays.
func (p Planner) change(value Value, next []Replica) Value {
	if len(next) == 0 || slices.Equal(next, value.Replicas) {
		return value
	}
	value.Previous, value.Replicas = value.Replicas, next
	return value
}

// leave removes the local replica if at least TargetReplicas others remain.
func (p Planner) leave(replicas []Replica) []Replica {
	next := lo.Reject(replicas, func(r Replica, _ int) bool { return r.ID == p.Self.ID })
	if len(next) < p.TargetReplicas {
		return replicas
	}
	return next
}

// join adds the local replica. It removes another identity at the same address, whose disk was lost. If the set is
// then above its target size, join also removes the replica that has been silent for longest, if any is silent.
func (p Planner) join(replicas []Replica) []Replica {
	next := lo.Reject(replicas, func(r Replica, _ int) bool { return r.Address == p.Self.Address })
	next = append(next, p.Self)
	next = p.dropSilent(next, 1)
	if len(next) > p.MaxReplicas {
		return replicas // no room until a replica leaves
	}
	return next
}

// removeSilent removes one replica that has been silent for RemoveAfter, if the set is above its target size.
func (p Planner) removeSilent(replicas []Replica) []Replica {
	return p.dropSilent(replicas, p.RemoveAfter)
}

// dropSilent removes the replica that has been silent for longest, if that is at least minSilence and the set is above its
// target size. It removes one replica at a time: the next step removes the next one.
func (p Planner) dropSilent(replicas []Replica, minSilence time.Duration) []Replica {
	if len(replicas) <= p.TargetReplicas {
		return replicas
	}
	longestSilent := slices.MaxFunc(replicas, func(a, b Replica) int { return cmp.Compare(p.SilentFor(a), p.SilentFor(b)) })
	if p.SilentFor(longestSilent) < minSilence {
		return replicas
	}
	return lo.Reject(replicas, func(r Replica, _ int) bool { return r.ID == longestSilent.ID })
}
