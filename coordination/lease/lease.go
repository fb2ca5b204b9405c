// Package lease elects the holder of each singleton role in a group of processes. A linearizable register records the holder
// of a role together with a fencing token that rises with every change of holder. The record alone does not let a holder act:
// it also needs unexpired grants, short-lived leases given by the voters, from a majority of them. A voter grants a role under
// one token at a time, so a new holder begins to act only after the grants of the former one have expired or were released. A
// process that was suspended or partitioned finds by its own monotonic clock that its grants have expired.
//
// The voters are the replicas of the register, and their set may change. A voter grants only to members that know the same set
// of voters, and grants nothing while its replica has accepted a change of the set that is not known to be chosen. Each change
// is accepted by a majority of the former voters, so a holder that has not learned of it loses its majority. The new voters
// give new grants only after those of the former voters have expired, so the successor acts only after the former holder.
//
// The package contains no clock, socket or disk. Times are readings of one monotonic clock of the process. Durations are
// compared between processes, clock readings never are.
package lease

import (
	"hash/fnv"
	"slices"
	"time"
)

// Member identifies one incarnation of a process, that is one run of it. The address survives a restart; Life differs for each
// incarnation.
type Member struct {
	Address string
	Life    string
}

// Record is the entry of a role in the register. The zero value is a role that has never had a holder.
type Record struct {
	Holder Member
	Token  uint64
}

// RoleToken names a role and the fencing token of one of its holders.
type RoleToken struct {
	Key   string
	Token uint64
}

// Message is the heartbeat that every member sends to every other member.
type Message struct {
	From    Member
	Healthy bool   // the sender is in contact with a majority of the register's replicas
	Group   uint64 // hash of the set of voters that the sender knows
	// Asks lists the roles whose recorded holder is the sender. The sender requests the receiver's grant for each.
	Asks []RoleToken
	// Holding lists those of Asks for which the sender has the grants of a majority.
	Holding []RoleToken
	// Released lists the roles that the sender has given up under these tokens.
	Released []RoleToken
}

// Reply answers a Message.
type Reply struct {
	From    Member
	Healthy bool
	Granted []RoleToken
	// Silent lists the roles whose recorded holder has been silent for the silence timeout.
	Silent []RoleToken
}

// Claim asks the embedder to take a role by a write of the register, on condition that its token is still Previous.
type Claim struct {
	Key      string
	Previous uint64
}

// Timing holds the durations of the protocol. All members of a group must use the same values.
type Timing struct {
	// GrantDuration is how long a voter's grant is valid.
	GrantDuration time.Duration
	// ExpiryMargin is how much earlier a holder considers a grant expired, to allow for timers that fire late.
	ExpiryMargin time.Duration
	// SilenceTimeout is how long a holder must be silent before it is replaced. It is longer than GrantDuration, so that
	// the grants of a failed holder have expired when its successor requests them.
	SilenceTimeout time.Duration
}

// DefaultTiming returns durations for heartbeats every 200 ms: a grant survives two lost heartbeats.
func DefaultTiming() Timing {
	return Timing{
		GrantDuration:  600 * time.Millisecond,
		ExpiryMargin:   50 * time.Millisecond,
		SilenceTimeout: 700 * time.Millisecond,
	}
}

// hashVoters returns a hash of a set of voters that does not depend on their order. It is never 0.
func hashVoters(voters []string) uint64 {
	hash := fnv.New64a()
	for _, address := range slices.Sorted(slices.Values(voters)) {
		_, _ = hash.Write([]byte(address))
		_, _ = hash.Write([]byte{0})
	}
	return max(1, hash.Sum64())
}
