package register

import (
	"slices"

	"github.com/samber/lo"
)

// Ballot orders proposals. No ballot is used twice, because the number of the proposer is drawn at random at each start.
type Ballot struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Round    uint64
	Proposer uint64
}

// genesisBallot is the ballot of the initial value, which the founders hold and which is chosen by definition.
var genesisBallot = Ballot{Round: 1}

// Less reports whether b is lower than other.
func (b Ballot) Less(other Ballot) bool {
	if b.Round != other.Round {
		return b.Round < other.Round
	}
	return b.Proposer < other.Proposer
}

// Replica identifies a replica of the register.
type Replica struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	ID      string // identity of its disk
	Address string // internal address, IP:PORT
}

// NewReplica returns the replica with an identity and an address.
func NewReplica(id, address string) Replica { return Replica{ID: id, Address: address} }

// Value is a value of the register, with its replica set and its revision.
type Value struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Revision     uint64    // grows by one with each chosen write
	DataRevision uint64    // revision of the write that last changed Data
	Origin       Ballot    // ballot under which this write was first proposed
	Replicas     []Replica // the replica set, or the new set during a reconfiguration
	Previous     []Replica // the old set during a reconfiguration, else empty
	Data         []byte    // data of the user, opaque to the register
}

// Joint reports whether a reconfiguration is in progress, so that the value has two sets.
func (v *Value) Joint() bool { return len(v.Previous) > 0 }

// Members returns the replicas of the set, or of both sets of a joint value.
func (v *Value) Members() []Replica {
	if !v.Joint() {
		return v.Replicas
	}
	return lo.UniqBy(slices.Concat(v.Replicas, v.Previous), func(r Replica) string { return r.ID })
}

// HasMember reports whether the identity is in the set, or in either set of a joint value.
func (v *Value) HasMember(id string) bool {
	return slices.ContainsFunc(v.Members(), func(r Replica) bool { return r.ID == id })
}

// HasReplica reports whether the identity is in the set, or in the new set of a joint value.
func (v *Value) HasReplica(id string) bool {
	return slices.ContainsFunc(v.Replicas, func(r Replica) bool { return r.ID == id })
}

// Quorum reports whether the replicas that agree are a majority of the set, or of both sets of a joint value.
func (v *Value) Quorum(agrees func(id string) bool) bool {
	return hasMajority(v.Replicas, agrees) && (!v.Joint() || hasMajority(v.Previous, agrees))
}

func hasMajority(replicas []Replica, agrees func(id string) bool) bool {
	return 2*lo.CountBy(replicas, func(r Replica) bool { return agrees(r.ID) }) > len(replicas)
}

// Accepted is a value with the ballot under which it was accepted.
type Accepted struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Ballot Ballot
	Value  Value
}

// Genesis returns the initial value of a register with its ballot, as its founders hold it.
func Genesis(founders []Replica) Accepted {
	return Accepted{Ballot: genesisBallot, Value: Value{Replicas: founders}}
}

// FounderID returns the identity of the first disk of a founder.
func FounderID(address string) string { return "founder@" + address }
