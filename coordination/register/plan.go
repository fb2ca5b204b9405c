package register

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// Planner plans changes of the set by what a process knows. It is pure.
type Planner struct {
	Self           Replica
	TargetReplicas int // replicas wanted; once reached, the set is never smaller
	MaxReplicas    int // bounds the set while replacements join
	Leaving        bool
	// SilentFor tells how long a replica has been silent, zero if it isn't.
	SilentFor   func(Replica) time.Duration
	RemoveAfter time.Duration // the silence after which a replica above Target goes
}

// Next returns the next step of the set from a chosen value. It returns the value as it is if there is nothing to do.
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

// change makes the joint value that leads to another set.
func (p Planner) change(value Value, next []Replica) Value {
	if len(next) == 0 || slices.Equal(next, value.Replicas) {
		return value
	}
	value.Previous, value.Replicas = value.Replicas, next
	return value
}

// leave takes the own replica out if enough others stay.
func (p Planner) leave(replicas []Replica) []Replica {
	next := lo.Reject(replicas, func(r Replica, _ int) bool { return r.ID == p.Self.ID })
	if len(next) < p.TargetReplicas {
		return replicas
	}
	return next
}

// join adds the own replica. Another identity at its address is a disk that was lost, and goes. In a set that is large
// enough, silent ones give way, the one silent for longest first.
func (p Planner) join(replicas []Replica) []Replica {
	next := lo.Reject(replicas, func(r Replica, _ int) bool { return r.Address == p.Self.Address })
	next = append(next, p.Self)
	next = p.dropSilent(next, 1)
	if len(next) > p.MaxReplicas {
		return replicas // there is no room until someone leaves
	}
	return next
}

// removeSilent takes one out that has been silent for long, if enough others stay.
func (p Planner) removeSilent(replicas []Replica) []Replica {
	return p.dropSilent(replicas, p.RemoveAfter)
}

// dropSilent removes one replica that has been silent for a time, if the set is larger than wanted. One at a time is enough:
// the next change removes the next.
func (p Planner) dropSilent(replicas []Replica, least time.Duration) []Replica {
	if len(replicas) <= p.TargetReplicas {
		return replicas
	}
	longest := slices.MaxFunc(replicas, func(a, b Replica) int { return cmp.Compare(p.SilentFor(a), p.SilentFor(b)) })
	if p.SilentFor(longest) < least {
		return replicas
	}
	return lo.Reject(replicas, func(r Replica, _ int) bool { return r.ID == longest.ID })
}
