package register

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/samber/lo"
)

// NoContact is the age of a contact that this process never had.
const NoContact = time.Duration(math.MaxInt64)

// QuorumAge returns the time since the last contact with a majority of the replica set, or of both sets of a joint value. A
// contact counts from the time when its request was sent. QuorumAge returns NoContact until a majority has replied.
func (n *Node) QuorumAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	return n.majorityAge(func(replica Replica) time.Duration { return n.contactAge(replica, now) })
}

// maxCompletionTime is how long a replica may hold a newer value than the chosen one before StateAge counts it as missed by this node.
// By then the value's proposer or, after doubtTimeout, another member has usually completed it.
const maxCompletionTime = doubtTimeout + rankDelay

// StateAge returns the time since Latest was last known to be the newest state: since a majority of the replicas last reported
// no value above it. It differs from QuorumAge while a replica holds a newer value that may be chosen. A value that is being
// written does not count, that is one of the last maxCompletionTime. StateAge returns NoContact if there was no such time.
func (n *Node) StateAge() time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	now := time.Now()
	n.noteOwnAgreement(now)
	return n.majorityAge(func(replica Replica) time.Duration { return n.agreementAge(replica, now) })
}

// noteOwnAgreement records that the own replica holds no value above the chosen one, if that is so. The caller holds n.mu.
func (n *Node) noteOwnAgreement(now time.Time) {
	if n.acceptor != nil && !n.chosen.Ballot.Less(n.acceptor.Accepted().Ballot) {
		n.ownAgreedAt = now
	}
}

// agreementAge returns the time since a replica last reported no value above the chosen one. The caller holds n.mu.
func (n *Node) agreementAge(replica Replica, now time.Time) time.Duration {
	if n.acceptor != nil && replica.ID == n.acceptor.Self().ID {
		return ageOfAgreement(now, n.ownAgreedAt, now)
	}
	p := n.peers[replica.Address]
	if p == nil || p.id != replica.ID || p.reportedAt.IsZero() {
		return NoContact
	}
	if !n.chosen.Ballot.Less(p.reported) {
		return now.Sub(p.reportedAt)
	}
	return ageOfAgreement(now, p.agreedAt, p.reportedAt)
}

// ageOfAgreement returns the age of the last agreement of a replica that holds a newer value, or the age of its last report
// while that value may still be in flight.
func ageOfAgreement(now, agreedAt, reportedAt time.Time) time.Duration {
	switch {
	case agreedAt.IsZero():
		return NoContact
	case now.Sub(agreedAt) <= maxCompletionTime:
		return now.Sub(reportedAt)
	}
	return now.Sub(agreedAt)
}

// majorityAge returns the highest age within the majority of the replica set that has the lowest ones, by an age of each replica.
// Of a joint value both sets need a majority. The caller holds n.mu.
func (n *Node) majorityAge(ageOf func(Replica) time.Duration) time.Duration {
	known := n.chosen.Value
	if n.acceptor != nil && len(known.Replicas) == 0 {
		known = n.acceptor.Accepted().Value
	}
	age := majorityAgeOf(known.Replicas, ageOf)
	if known.Joint() {
		age = max(age, majorityAgeOf(known.Previous, ageOf))
	}
	return age
}

func majorityAgeOf(replicas []Replica, ageOf func(Replica) time.Duration) time.Duration {
	if len(replicas) == 0 {
		return NoContact
	}
	ages := lo.Map(replicas, func(replica Replica, _ int) time.Duration { return ageOf(replica) })
	slices.SortFunc(ages, cmp.Compare[time.Duration])
	return ages[len(ages)/2] // the highest age in the most recent majority
}

func (n *Node) contactAge(replica Replica, now time.Time) time.Duration {
	if n.acceptor != nil && replica.ID == n.acceptor.Self().ID {
		return 0
	}
	p := n.peers[replica.Address]
	if p == nil || p.id != replica.ID || p.lastAnswered.IsZero() {
		return NoContact
	}
	return now.Sub(p.lastAnswered)
}
