package register

import (
	"slices"

	"github.com/samber/lo"
)

// Ballot orders proposals. A proposer never uses a ballot twice, since its identity is drawn anew at each start.
type Ballot struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Round    uint64
	Proposer uint64
}

// genesisBallot is the ballot under which the founders hold their first state, which is chosen by definition.
var genesisBallot = Ballot{Round: 1}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer < other.Proposer
}

// Replica is one holder of the register.
type Replica struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	ID      string // identity of its disk
	Address string // IP:PORT of its internal calls
}

// NewReplica returns a replica.
func NewReplica(id, address string) Replica { return Replica{ID: id, Address: address} }

// Value is what the register holds.
type Value struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Revision     uint64    // grows by one with each chosen write
	DataRevision uint64    // revision of the write that last changed Data
	Origin       Ballot    // ballot under which this write was proposed first
	Replicas     []Replica // the set, or the one that it changes to
	Previous     []Replica // the set that it changes from, while the change is not finished
	Data         []byte    // opaque
}

// Joint reports whether a change of the set is not finished.
func (v *Value) Joint() bool { return len(v.Previous) > 0 }

// Members returns the replicas of both sets.
func (v *Value) Members() []Replica {
	if !v.Joint() {
		return v.Replicas
	}
	return lo.UniqBy(slices.Concat(v.Replicas, v.Previous), func(r Replica) string { return r.ID })
}

// HasMember reports whether the identity is in one of both sets.
func (v *Value) HasMember(id string) bool {
	return slices.ContainsFunc(v.Members(), func(r Replica) bool { return r.ID == id })
}

// HasReplica reports whether the identity is in the set, or in the one that it changes to.
func (v *Value) HasReplica(id string) bool {
	return slices.ContainsFunc(v.Replicas, func(r Replica) bool { return r.ID == id })
}

// Quorum reports whether those that agree are a majority of the set, or of both sets.
func (v *Value) Quorum(agrees func(id string) bool) bool {
	return hasMajority(v.Replicas, agrees) && (!v.Joint() || hasMajority(v.Previous, agrees))
}

func hasMajority(replicas []Replica, agrees func(id string) bool) bool {
	return 2*lo.CountBy(replicas, func(r Replica) bool { return agrees(r.ID) }) > len(replicas)
}

// Accepted is a value under the ballot that it was accepted with.
type Accepted struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Ballot Ballot
	Value  Value
}

// Genesis returns the first state of a register, as its founders hold it.
func Genesis(founders []Replica) Accepted {
	return Accepted{Ballot: genesisBallot, Value: Value{Replicas: founders}}
}

// FounderID returns the identity of a founder's first disk.
func FounderID(address string) string { return "founder@" + address }
