// Package lease decides which process of a group holds a singleton role. A role has a key; its holder is recorded in a
// linearizable register together with a fencing token that rises with every change of holder. The record alone does not
// let a holder act: it also needs grants, short promises of the voters, from a majority of them. A voter grants a role
// under one token at a time, so that a new holder begins to act only after the grants of the former one have run out or
// have been given back. A process that was frozen or cut off sees by its own steady clock that its grants have run out.
//
// The voters are the replicas of the register and may change. A voter grants only to members that know the same voters, and
// nothing while its replica has accepted a change of them that it doesn't know to be chosen. Each change is accepted by a
// majority of the former voters, so a holder that doesn't hear of it loses its majority; and since the new voters give new
// grants only after those of the former ones have run out, its successor acts after it.
//
// The package holds no clock, socket or disk. Times are readings of one steady clock of the process; durations of
// different processes are compared, their readings never are.
package lease

import (
	"hash/fnv"
	"slices"
	"time"
)

// Member is one life of a process: the address stays over a restart, the life does not.
type Member struct {
	Address string
	Life    string
}

// Record is what the register holds of a role. The zero value is a role that nobody has held.
type Record struct {
	Holder Member
	Token  uint64
}

// RoleToken names a role under a token.
type RoleToken struct {
	Key   string
	Token uint64
}

// Message is the heartbeat that every member sends to every other.
type Message struct {
	From    Member
	Healthy bool   // the sender hears a majority of the register's replicas
	Group   uint64 // names the voters that the sender knows
	// Asks are the roles that the register records for the sender: it asks the receiver for its grant.
	Asks []RoleToken
	// Holding are those of the asks for which the sender has the grants of a majority.
	Holding []RoleToken
	// Released are roles that the sender has given up for good.
	Released []RoleToken
}

// Reply answers a Message.
type Reply struct {
	From    Member
	Healthy bool
	Granted []RoleToken
	// Silent are the roles whose recorded holder has not been heard for the bound of silence.
	Silent []RoleToken
}

// Claim is a role to be taken by a write of the register, if its token is still Previous.
type Claim struct {
	Key      string
	Previous uint64
}

// Timing holds the spans of a group. All members must use the same.
type Timing struct {
	// Grant is how long a voter's grant holds.
	Grant time.Duration
	// Margin is how much earlier a holder takes a grant to have ended, for timers that fire late.
	Margin time.Duration
	// Silence is how long a holder must not have been heard before it is replaced. It is above Grant, so that the grants
	// of a holder that is gone have run out when its successor asks for them.
	Silence time.Duration
}

// DefaultTiming fits heartbeats each 200 ms: a grant outlives two lost heartbeats.
func DefaultTiming() Timing {
	return Timing{
		Grant:   600 * time.Millisecond,
		Margin:  50 * time.Millisecond,
		Silence: 700 * time.Millisecond,
	}
}

// groupOf names a set of voters, whatever their order. It is not 0.
func groupOf(voters []string) uint64 {
	hash := fnv.New64a()
	for _, address := range slices.Sorted(slices.Values(voters)) {
		_, _ = hash.Write([]byte(address))
		_, _ = hash.Write([]byte{0})
	}
	return max(1, hash.Sum64())
}
