package register

import (
	"context"
	"time"

	"github.com/samber/lo"
)

const (
	heartbeatTimeout = 600 * time.Millisecond
	fetchTimeout     = 1500 * time.Millisecond
	// quorumLostAfter is the QuorumAge above which the node also sends heartbeats to seeds and to all known peers. The set may
	// have been reconfigured without this node, to machines that it does not know.
	quorumLostAfter = 600 * time.Millisecond
	// failedCallsForSilence is the number of consecutive failed calls after which a replica counts as silent, however long they
	// took. A single timeout does not suffice, because a process that was frozen finds each of its open calls timed out.
	failedCallsForSilence = 3
)

// peer is the state that a node keeps about the process at an address.
type peer struct {
	id               string    // identity in the last reply
	lastAnswered     time.Time // when the latest request with a reply was sent
	accepted         Ballot    // accepted ballot in the last reply that reported one
	reported         Ballot    // highest accepted or chosen ballot in the latest such reply
	reportedAt       time.Time // when the request of that reply was sent
	agreedAt         time.Time // latest reportedAt of a report that was not above the ballot that this node knew to be chosen
	failedCalls      int       // consecutive calls without a reply
	failingSince     time.Time // when the first of these calls ended
	heartbeatPending bool      // a heartbeat is in flight
	fetchPending     bool      // a fetch of the chosen value is in flight
}

// peerAt returns the peer at an address and adds it if needed. The caller holds n.mu.
func (n *Node) peerAt(address string) *peer {
	p := n.peers[address]
	if p == nil {
		p = &peer{}
		n.peers[address] = p
	}
	return p
}

// recordReply records a reply, and fetches the chosen value if the peer knows a newer one.
func (n *Node) recordReply(address string, sent time.Time, reply *Reply) {
	n.ballots.Observe(reply.Promised)
	n.mu.Lock()
	p := n.peerAt(address)
	if p.id != reply.From.ID { // another disk: what the former one reported says nothing about it
		p.id, p.reported, p.reportedAt, p.agreedAt = reply.From.ID, Ballot{}, time.Time{}, time.Time{}
	}
	p.failedCalls = 0
	if p.lastAnswered.Before(sent) {
		p.lastAnswered = sent
	}
	if reply.Refusal == NoRefusal && reply.Kind != FetchChosen && reply.Kind != Commit {
		p.accepted = reply.Accepted
		p.report(higher(reply.Accepted, reply.Chosen), sent, n.chosen.Ballot)
	}
	n.mu.Unlock()
	if !n.confirmChosen(reply.Chosen) && reply.Kind != FetchChosen {
		n.fetchChosen(reply.Chosen, address)
	}
}

// report records the highest ballot of a value that the peer had when a request was sent. A reply that was overtaken by the reply
// to a later request is ignored.
func (p *peer) report(ballot Ballot, sent time.Time, chosen Ballot) {
	if sent.Before(p.reportedAt) {
		return
	}
	if !p.reportedAt.IsZero() && !chosen.Less(p.reported) {
		p.agreedAt = p.reportedAt
	}
	p.reported, p.reportedAt = ballot, sent
	if !chosen.Less(ballot) {
		p.agreedAt = sent
	}
}

func higher(a, b Ballot) Ballot {
	if a.Less(b) {
		return b
	}
	return a
}

// recordFailedCall records a call without a reply.
func (n *Node) recordFailedCall(address string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peerAt(address)
	if p.failedCalls == 0 {
		p.failingSince = time.Now()
	}
	p.failedCalls++
}

// recordRequester adds the sender of a request to the known peers.
func (n *Node) recordRequester(from Replica) {
	if from.Address == "" || from.Address == n.options.Address {
		return
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.peerAt(from.Address)
}

// silentFor returns how long a replica has been silent, or zero if it is not. A replica that never replied to this process
// counts as silent from the first failed call. The caller holds n.mu.
func (n *Node) silentFor(replica Replica, now time.Time) time.Duration {
	if replica.Address == n.options.Address {
		return 0
	}
	p := n.peers[replica.Address]
	if p == nil || p.failedCalls == 0 || p.failedCalls < failedCallsForSilence && !p.lastAnswered.IsZero() {
		return 0
	}
	return max(1, now.Sub(p.failingSince))
}

// heartbeat sends a Query to the members, without waiting for the replies. If the node is not in the set or has lost its
// quorum, heartbeat also queries the seeds and all known peers.
func (n *Node) heartbeat() {
	n.mu.Lock()
	n.noteOwnAgreement(time.Now())
	n.mu.Unlock()
	known, _ := n.known()
	addresses := lo.Map(known.Value.Members(), func(r Replica, _ int) string { return r.Address })
	if !known.Value.HasReplica(n.ID()) || n.QuorumAge() > quorumLostAfter {
		addresses = append(addresses, n.options.Seeds()...)
		addresses = append(addresses, n.peerAddresses()...)
	}
	for _, address := range lo.Uniq(addresses) {
		if address != n.options.Address && n.beginHeartbeat(address) {
			go n.sendHeartbeat(address)
		}
	}
}

// peerAddresses returns the addresses of all known peers, which include the senders of requests. They may know a newer set.
func (n *Node) peerAddresses() []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return lo.Keys(n.peers)
}

func (n *Node) beginHeartbeat(address string) bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	p := n.peerAt(address)
	if p.heartbeatPending {
		return false
	}
	p.heartbeatPending = true
	return true
}

func (n *Node) sendHeartbeat(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	n.call(ctx, Message{To: Replica{Address: address}, Request: Request{Kind: Query, From: n.self()}})
	n.mu.Lock()
	n.peerAt(address).heartbeatPending = false
	n.mu.Unlock()
	n.confirmByMajority()
}

// confirmByMajority learns that the accepted value of the local replica is chosen, if a majority last reported the same ballot.
func (n *Node) confirmByMajority() {
	n.mu.Lock()
	var accepted Accepted
	if n.acceptor != nil {
		accepted = n.acceptor.Accepted()
	}
	agreed := n.chosen.Ballot.Less(accepted.Ballot) && accepted.Value.Quorum(func(id string) bool {
		return id == n.acceptor.Self().ID || n.hasAccepted(id, accepted)
	})
	n.mu.Unlock()
	if agreed {
		n.learnChosen(accepted)
	}
}

// hasAccepted reports whether the member with this identity last reported the ballot of the accepted value. The caller holds
// n.mu.
func (n *Node) hasAccepted(id string, accepted Accepted) bool {
	for _, replica := range accepted.Value.Members() {
		p := n.peers[replica.Address]
		if replica.ID == id && p != nil && p.id == id && p.accepted == accepted.Ballot {
			return true
		}
	}
	return false
}

// fetchChosen fetches the chosen value from the process at an address if this node lacks the value of the ballot and no fetch
// from that address is in flight.
func (n *Node) fetchChosen(ballot Ballot, address string) {
	n.mu.Lock()
	p := n.peerAt(address)
	needed := n.chosen.Ballot.Less(ballot) && !p.fetchPending && address != "" && address != n.options.Address
	if needed {
		p.fetchPending = true
	}
	n.mu.Unlock()
	if needed {
		go n.fetch(address)
	}
}

func (n *Node) fetch(address string) {
	ctx, cancel := context.WithTimeout(context.Background(), fetchTimeout)
	defer cancel()
	_, chosen := n.known()
	request := Request{Kind: FetchChosen, From: n.self(), Known: chosen}
	reply := n.call(ctx, Message{To: Replica{Address: address}, Request: request})
	n.mu.Lock()
	n.peerAt(address).fetchPending = false
	n.mu.Unlock()
	if reply.Refusal == NoRefusal && reply.Value != nil {
		n.learnChosen(Accepted{Ballot: reply.Accepted, Value: *reply.Value})
		n.wake()
	}
}

func (n *Node) wake() {
	select {
	case n.wakeUp <- struct{}{}:
	default:
	}
}
