package register

import (
	"cmp"
	"slices"
	"time"

	"github.com/samber/lo"
)

// membership is what a node knows when it plans a change of the set.
type membership struct {
	self    Replica
	target  int
	most    int
	leaving bool
	// silence tells how long a replica has been silent, zero if it isn't.
	silence     func(Replica) time.Duration
	removeAfter time.Duration
}

// plan returns the next step of the set from a chosen value. It returns the value as it is if there is nothing to do.
func (m membership) plan(value Value) Value {
	switch {
	case value.Joint():
		value.Previous = nil
		return value
	case m.leaving:
		return m.change(value, m.leave(value.Replicas))
	case value.Has(m.self.ID):
		return m.change(value, m.removeSilent(value.Replicas))
	}
	return m.change(value, m.join(value.Replicas))
}

// change makes the joint value that leads to another set.
func (m membership) change(value Value, next []Replica) Value {
	if len(next) == 0 || slices.Equal(next, value.Replicas) {
		return value
	}
	value.Previous, value.Replicas = value.Replicas, next
	return value
}

// leave takes the own replica out if enough others stay.
func (m membership) leave(replicas []Replica) []Replica {
	next := lo.Reject(replicas, func(r Replica, _ int) bool { return r.ID == m.self.ID })
	if len(next) < m.target {
		return replicas
	}
	return next
}

// join adds the own replica. Another identity at its address is a disk that was lost, and goes. In a set that is large
// enough, silent ones give way, the one silent for longest first.
func (m membership) join(replicas []Replica) []Replica {
	next := lo.Reject(replicas, func(r Replica, _ int) bool { return r.Address == m.self.Address })
	next = append(next, m.self)
	next = m.dropSilent(next, 1)
	if len(next) > m.most {
		return replicas // there is no room until someone leaves
	}
	return next
}

// removeSilent takes one out that has been silent for long, if enough others stay.
func (m membership) removeSilent(replicas []Replica) []Replica {
	return m.dropSilent(replicas, m.removeAfter)
}

// dropSilent removes one replica that has been silent for a time, if the set is larger than wanted. One at a time is enough:
// the next change removes the next.
func (m membership) dropSilent(replicas []Replica, least time.Duration) []Replica {
	if len(replicas) <= m.target {
		return replicas
	}
	longest := slices.MaxFunc(replicas, func(a, b Replica) int { return cmp.Compare(m.silence(a), m.silence(b)) })
	if m.silence(longest) < least {
		return replicas
	}
	return lo.Reject(replicas, func(r Replica, _ int) bool { return r.ID == longest.ID })
}
