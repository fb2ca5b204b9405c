package pace

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// This file tracks all peers: the phase of each, the bytes buffered for it, which are slow and which are evicted first.
// The memory it uses must stay within the limits, whatever the peers do.

// Limits are the limits of a Keeper. Every one has a default; see Defaults.
type Limits struct {
	In, Out Rate // for what a client sends, and for what it reads
	// TotalBytes limits the bytes buffered for all peers: incomplete requests, requests in flight, and answers not yet
	// sent. PrefixBytes limits those of one network prefix, PeerBytes those of one peer.
	TotalBytes, PrefixBytes, PeerBytes int
	// SlowPeers limits how many peers may be slow at once, SlowPerPrefix how many of one prefix.
	SlowPeers, SlowPerPrefix int
	// V4Bits and V6Bits are the lengths of the network prefixes by which peers are grouped.
	V4Bits, V6Bits int
	// EvictionGrace is how long after its start a transfer is not evicted for being behind its rate, when memory or
	// descriptors run short.
	EvictionGrace Time
	// NewPeerGrace is how long a new connection is evicted only after all others, since its first request may be on the
	// way.
	NewPeerGrace Time
	// CrowdPercent is the percentage of all connections from which on both of these times are 0 for the peers of a
	// prefix, so that those that are behind their rate or have sent nothing yet may be evicted at once. It applies to
	// prefixes with at least minCrowd peers.
	CrowdPercent int
	// RememberedAddrs is how many addresses that were cut are remembered, for StrikeTTL each since the last cut. Each
	// cut halves the grace, down to LeastGrace.
	RememberedAddrs       int
	StrikeTTL, LeastGrace Time
	Links                 []Link
}

// Link is a network link that is known to be slow. Its peers have least rates of their own.
type Link struct {
	Name     string
	Prefixes []netip.Prefix
	In, Out  float64 // least rates in bytes per second
}

// Defaults returns the limits that apply unless the operator's file sets others, for a total of totalBytes.
func Defaults(totalBytes int) Limits {
	r := Rate{Least: 4 << 10, Grace: 5 * second / 2, Span: 5 * second / 2}
	return Limits{In: r, Out: r, TotalBytes: totalBytes, PrefixBytes: totalBytes / 2, PeerBytes: min(512<<10, totalBytes/2),
		SlowPeers: 256, SlowPerPrefix: 64, V4Bits: 24, V6Bits: 64, EvictionGrace: second / 4, NewPeerGrace: second / 10, CrowdPercent: 25,
		RememberedAddrs: 4096, StrikeTTL: 60 * second, LeastGrace: second}
}

// DefaultWorkerRate returns the default limits of a worker that receives a request or sends a line of an answer.
func DefaultWorkerRate() Rate { return Rate{Least: 4 << 10, Grace: 5 * second, Span: 5 * second} }

// Phase is the stage of a peer's current exchange.
type Phase uint8

// The phases of a peer.
const (
	Resting   Phase = iota // between two requests
	Receiving              // a request is arriving
	Working                // its request is complete and not answered yet
	Sending                // an answer is being sent, and part of it is buffered here
	Draining               // the system holds the rest of the answer: closing the connection loses nothing
)

func (p Phase) String() string {
	return [...]string{"resting", "receiving", "working", "sending", "draining"}[p]
}

// Peer is the state of one client connection.
type Peer struct {
	// Owner is for the caller, to find its own data of the connection.
	Owner any
	// Link is the name of the slow link that the peer uses, or "".
	Link string

	keeper    *Keeper
	addr      netip.Addr
	group     *prefixGroup
	in, out   Rate
	phase     Phase
	proven    bool // it has sent a job
	slow      bool // counted as slow
	meter     Meter
	heldIn    int
	heldOut   int
	opened    Time
	idleSince Time
	index     int // in the keeper's peers; -1 once closed
}

// prefixGroup counts the peers of one network prefix.
type prefixGroup struct {
	prefix             netip.Prefix
	peers, slow, bytes int
}

// Counts are the counters of a Keeper. Slowed counts transfers that fell behind their rate, Recovered those of them
// that caught up.
type Counts struct {
	Slowed, Recovered               int
	CutIn, CutOut                   int // behind their rate for too long
	CutCrowd                        int // slow while too many peers were slow
	Evicted                         int // slow or idle while memory or descriptors ran short
	Spared                          int // transfers of a slow link that would have been cut by the general rate
	Refused                         int // calls of HoldIn refused because a cap was reached
	Peers, Slow, Bytes, PeakBytes   int // current values, and the peak of Bytes
	StruckAddrs, Prefixes, PeakSlow int
}

// String returns the counts as name=value pairs.
func (c Counts) String() string {
	return fmt.Sprintf("peers=%d peers_slow=%d peers_slow_most=%d slowed=%d recovered=%d spared=%d cut_senders=%d cut_readers=%d "+
		"cut_crowd=%d given_up=%d bytes_held=%d bytes_held_most=%d bytes_refused=%d strikes=%d prefixes=%d",
		c.Peers, c.Slow, c.PeakSlow, c.Slowed, c.Recovered, c.Spared, c.CutIn, c.CutOut, c.CutCrowd, c.Evicted, c.Bytes,
		c.PeakBytes, c.Refused, c.StruckAddrs, c.Prefixes)
}

// Keeper tracks all peers. It is not safe for concurrent use.
type Keeper struct {
	// Unread, if set, reports whether data or the end of the connection of a peer, given by its Owner, has arrived that
	// the Keeper was not told of yet. Such a peer is not silent, and evicting it might lose a complete request.
	Unread func(owner any) bool

	limits  Limits
	peers   []*Peer
	groups  map[netip.Prefix]*prefixGroup
	slow    int
	bytes   int
	strikes *simplelru.LRU[netip.Addr, strike]
	counts  Counts
}

type strike struct {
	count int
	last  Time
}

// New returns a Keeper without peers. It does not validate the limits; the reader of the operator's file does.
func New(l Limits) *Keeper {
	k := &Keeper{groups: map[netip.Prefix]*prefixGroup{}}
	k.strikes, _ = simplelru.NewLRU[netip.Addr, strike](max(1, l.RememberedAddrs), nil)
	k.SetLimits(l)
	return k
}

// SetLimits changes the limits. Open connections keep their rates.
func (k *Keeper) SetLimits(l Limits) {
	k.limits = l
	k.strikes.Resize(max(1, l.RememberedAddrs))
}

// Counts returns the counters and the current values.
func (k *Keeper) Counts() Counts {
	c := k.counts
	c.Peers, c.Slow, c.Bytes, c.StruckAddrs, c.Prefixes = len(k.peers), k.slow, k.bytes, k.strikes.Len(), len(k.groups)
	return c
}

// Open registers a new connection and starts measuring its first request.
func (k *Keeper) Open(now Time, addr netip.Addr, owner any) *Peer {
	addr = addr.Unmap()
	p := &Peer{Owner: owner, keeper: k, addr: addr, in: k.limits.In, out: k.limits.Out, opened: now, idleSince: now, index: len(k.peers)}
	if l := k.link(addr); l != nil {
		p.Link, p.in.Least, p.out.Least = l.Name, l.In, l.Out
	}
	k.peers = append(k.peers, p)
	network := k.prefix(addr)
	if p.group = k.groups[network]; p.group == nil {
		p.group = &prefixGroup{prefix: network}
		k.groups[network] = p.group
	}
	p.group.peers++
	p.meter.Begin(now, k.shortenGrace(now, addr, p.in))
	return p
}

func (k *Keeper) prefix(addr netip.Addr) netip.Prefix {
	bits := k.limits.V6Bits
	if addr.Is4() {
		bits = k.limits.V4Bits
	}
	p, err := addr.Prefix(min(bits, addr.BitLen()))
	if err != nil {
		return netip.Prefix{}
	}
	return p
}

// link returns the link with the longest prefix that contains the address, or nil.
func (k *Keeper) link(addr netip.Addr) *Link {
	var best *Link
	bits := -1
	for i := range k.limits.Links {
		for _, p := range k.limits.Links[i].Prefixes {
			if p.Contains(addr) && p.Bits() > bits {
				best, bits = &k.limits.Links[i], p.Bits()
			}
		}
	}
	return best
}

// shortenGrace shortens the grace of a rate for an address that was cut recently.
func (k *Keeper) shortenGrace(now Time, addr netip.Addr, r Rate) Rate {
	s, ok := k.strikes.Get(addr)
	if !ok {
		return r
	}
	if now-s.last > k.limits.StrikeTTL {
		k.strikes.Remove(addr)
		return r
	}
	r.Grace = max(min(r.Grace, k.limits.LeastGrace), r.Grace>>min(s.count, 16))
	return r
}

// Received records that n bytes of a request have arrived. It starts the transfer unless one is in progress.
func (p *Peer) Received(now Time, n int) {
	if p.phase == Resting || p.phase == Draining {
		first := p.phase == Resting && p.meter.Running() // the first request of the connection is measured from its opening
		p.phase = Receiving
		if !first {
			p.begin(now, p.in)
		}
	}
	if p.phase == Receiving {
		p.meter.Add(now, n)
		p.updateSlow(now)
	}
}

// Adopted records that the connection was handed over from another process, where its peer has sent jobs. The peer
// becomes Resting.
func (p *Peer) Adopted(now Time) {
	p.stop(now)
	p.phase, p.proven, p.idleSince = Resting, true, now
}

// JobAccepted records that the request is complete and is a job. No rate is required until it is answered.
func (p *Peer) JobAccepted(now Time) {
	p.stop(now)
	p.phase, p.proven = Working, true
}

// RequestComplete records that the request is complete, or rejected, and not a job so far. No rate is required until it
// is answered.
func (p *Peer) RequestComplete(now Time) {
	p.stop(now)
	p.phase = Working
}

// Send records that the sending of an answer begins.
func (p *Peer) Send(now Time) {
	p.phase = Sending
	p.begin(now, p.out)
}

// Acked records that the peer has received n more bytes of the answer.
func (p *Peer) Acked(now Time, n int) {
	if p.phase == Sending || p.phase == Draining {
		p.meter.Add(now, n)
		p.updateSlow(now)
	}
}

// Sent records that the system has accepted the rest of the answer. The peer may send its next request.
func (p *Peer) Sent(now Time) {
	if p.phase == Sending {
		p.phase, p.idleSince = Draining, now
	}
}

// Rest records that the peer has received the whole answer.
func (p *Peer) Rest(now Time) {
	if p.phase != Receiving && p.phase != Working {
		p.stop(now)
		p.phase = Resting
		p.idleSince = max(p.idleSince, now)
	}
}

func (p *Peer) begin(now Time, r Rate) {
	p.clearSlow(false)
	p.meter.Begin(now, p.keeper.shortenGrace(now, p.addr, r))
}

// stop ends the measuring of a complete transfer. A transfer of a slow link that the general rate would have cut counts
// as Spared.
func (p *Peer) stop(now Time) {
	usual := p.keeper.limits.In
	if p.phase == Sending || p.phase == Draining {
		usual = p.keeper.limits.Out
	}
	if p.meter.rate.Least < usual.Least && p.meter.bytes < usual.Least*float64(now-p.meter.start-usual.Grace)/float64(second) {
		p.keeper.counts.Spared++
	}
	p.clearSlow(p.meter.Running())
	p.meter.Stop()
}

// Phase returns the phase of the peer.
func (p *Peer) Phase() Phase { return p.phase }

// State returns the state of the current transfer.
func (p *Peer) State(now Time) State { return p.meter.State(now) }

// NextCheck returns when Check must be called next if nothing passes until then, or Never if no transfer is measured.
func (p *Peer) NextCheck(now Time) Time {
	if p.meter.Running() && now < p.meter.slowAt() {
		return p.meter.slowAt()
	}
	return p.meter.Deadline()
}

// Extend moves the deadline of the current transfer by span: a time in which the caller could not observe it does not count.
func (p *Peer) Extend(span Time) {
	if p.meter.Running() {
		p.meter.Extend(span)
	}
}

// hasUnread reports whether the peer may be sending a request and data from it has arrived that was not processed yet.
func (k *Keeper) hasUnread(p *Peer) bool {
	return k.Unread != nil && p.phase != Working && p.phase != Sending && k.Unread(p.Owner)
}

// unreadExtension is the extension for a peer with unread data. By its end the data has been read, or is checked for
// again.
const unreadExtension = second / 20

// Check returns the peer that is to be cut now, if any: p itself, or the costliest slow peer if too many are slow. The
// caller must call AddStrike and Close for it.
func (p *Peer) Check(now Time) (cut *Peer) {
	p.updateSlow(now)
	if p.meter.State(now) == Cut {
		if p.keeper.hasUnread(p) {
			p.meter.Extend(now + unreadExtension - p.meter.Deadline())
			return nil
		}
		if p.phase == Sending || p.phase == Draining {
			p.keeper.counts.CutOut++
		} else {
			p.keeper.counts.CutIn++
		}
		return p
	}
	return p.excessSlowPeer(now)
}

// updateSlow updates the counts of slow peers when the current transfer has become slow or has caught up.
func (p *Peer) updateSlow(now Time) {
	slow := p.meter.State(now) != Fine
	if slow == p.slow {
		return
	}
	if !slow {
		p.clearSlow(true)
		return
	}
	p.slow = true
	p.group.slow++
	p.keeper.slow++
	p.keeper.counts.Slowed++
	p.keeper.counts.PeakSlow = max(p.keeper.counts.PeakSlow, p.keeper.slow)
}

func (p *Peer) clearSlow(recovered bool) {
	if !p.slow {
		return
	}
	p.slow = false
	p.group.slow--
	p.keeper.slow--
	if recovered {
		p.keeper.counts.Recovered++
	}
}

// excessSlowPeer returns the slow peer of the highest cost if more peers are slow than allowed, in all or in p's
// prefix.
func (p *Peer) excessSlowPeer(now Time) *Peer {
	k := p.keeper
	if !p.slow || k.slow <= k.limits.SlowPeers && p.group.slow <= k.limits.SlowPerPrefix {
		return nil
	}
	var worst *Peer
	for _, v := range k.peers {
		if v.slow && v.phase != Working && (k.slow > k.limits.SlowPeers || v.group == p.group) &&
			(worst == nil || v.cost(now) > worst.cost(now)) {
			worst = v
		}
	}
	if worst == nil || k.hasUnread(worst) {
		return nil
	}
	k.counts.CutCrowd++
	return worst
}

// answerGraceFactor multiplies EvictionGrace for answers, since the progress of a reader shows only in whole TCP
// windows.
const answerGraceFactor = 4

// minCrowd is the number of peers of one prefix from which on CrowdPercent applies, however few peers there are in all.
const minCrowd = 16

// connCost is the cost of a connection in bytes, besides those buffered for it.
const connCost = 16 << 10

// cost weighs the memory that a peer occupies by how far it is behind its rate.
func (p *Peer) cost(now Time) float64 {
	return float64(connCost+p.heldIn+p.heldOut) * (2 - min(1, p.meter.Progress(now, 0)))
}

// HoldIn sets the number of request bytes that are buffered for the peer. It returns false and changes nothing if that
// would exceed a cap.
func (p *Peer) HoldIn(n int) bool {
	k := p.keeper
	more := n - p.heldIn
	if more > 0 && (n+p.heldOut > k.limits.PeerBytes || p.group.bytes+more > k.limits.PrefixBytes ||
		k.bytes+more > k.limits.TotalBytes) {
		k.counts.Refused++
		return false
	}
	p.heldIn = n
	p.addBytes(more)
	return true
}

// HoldOut sets the number of answer bytes that are buffered for the peer. It never refuses, since the work for the
// answer is done. If the caps are exceeded, VictimsForBytes returns the peers to evict.
func (p *Peer) HoldOut(n int) {
	more := n - p.heldOut
	p.heldOut = n
	p.addBytes(more)
}

func (p *Peer) addBytes(more int) {
	p.group.bytes += more
	p.keeper.bytes += more
	p.keeper.counts.PeakBytes = max(p.keeper.counts.PeakBytes, p.keeper.bytes)
}

// VictimsForBytes returns idle unproven and slow peers to evict until n more bytes are within TotalBytes, as far as
// there are such peers.
func (k *Keeper) VictimsForBytes(now Time, n int) []*Peer {
	over := k.bytes + n - k.limits.TotalBytes
	if over <= 0 {
		return nil
	}
	var out []*Peer
	for _, p := range k.rankVictims(now, true) {
		if over <= 0 {
			break
		}
		if held := p.heldIn + p.heldOut; held > 0 && !k.hasUnread(p) {
			over -= held
			out = append(out, p)
		}
	}
	k.counts.Evicted += len(out)
	return out
}

// Victims returns up to n peers to evict when descriptors run short, in this order: idle unproven peers, peers behind
// their rate, idle peers that have sent jobs, and unproven peers that have just connected. With unprovenOnly it returns
// only the first two kinds.
func (k *Keeper) Victims(now Time, n int, unprovenOnly bool) []*Peer {
	var out []*Peer
	for _, p := range k.rankVictims(now, unprovenOnly) {
		if len(out) >= n {
			break
		}
		if !k.hasUnread(p) {
			out = append(out, p)
		}
	}
	k.counts.Evicted += len(out)
	return out
}

// Idle returns the peers that are between two requests.
func (k *Keeper) Idle() []*Peer {
	var out []*Peer
	for _, p := range k.peers {
		if p.phase == Resting || p.phase == Draining {
			out = append(out, p)
		}
	}
	return out
}

// Working returns the peers whose request is complete and not answered yet.
func (k *Keeper) Working() []*Peer {
	var out []*Peer
	for _, p := range k.peers {
		if p.phase == Working {
			out = append(out, p)
		}
	}
	return out
}

// rankVictims returns the peers that may be evicted, in the order of eviction. Peers behind their rate are ordered by
// cost times the number of peers of their prefix, the highest first; peers of the other kinds by idle time, the longest
// first.
func (k *Keeper) rankVictims(now Time, unprovenOnly bool) []*Peer {
	type candidate struct {
		peer *Peer
		rank int
		cost float64
	}
	var all []candidate
	for _, p := range k.peers {
		c := candidate{peer: p, cost: float64(now - p.idleSince)}
		grace, newPeerGrace := k.limits.EvictionGrace, k.limits.NewPeerGrace
		if n := p.group.peers; n >= minCrowd && n*100 >= k.limits.CrowdPercent*len(k.peers) {
			grace, newPeerGrace = 0, 0
		}
		if p.phase == Sending || p.phase == Draining {
			grace *= answerGraceFactor
		}
		behind := p.meter.Progress(now, grace) < 1
		switch {
		case p.phase == Working, !behind && (p.phase == Receiving || p.phase == Sending):
			continue
		case behind && p.phase != Resting:
			c.rank, c.cost = 1, p.cost(now)*float64(p.group.peers)
		case p.proven: // what the system still holds of its answer is not lost
			c.rank = 2
		case now-p.opened < newPeerGrace:
			c.rank = 3
		}
		if c.rank < 2 || !unprovenOnly {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.cost, a.cost), cmp.Compare(a.peer.opened, b.peer.opened))
	})
	out := make([]*Peer, len(all))
	for i, c := range all {
		out[i] = c.peer
	}
	return out
}

// AddStrike records that the peer was cut for being slow. Its address gets less grace for a while.
func (p *Peer) AddStrike(now Time) {
	s, _ := p.keeper.strikes.Get(p.addr)
	if now-s.last > p.keeper.limits.StrikeTTL {
		s.count = 0
	}
	p.keeper.strikes.Add(p.addr, strike{min(s.count+1, 16), now})
}

// Close removes the peer from the Keeper. Closing twice has no effect.
func (p *Peer) Close() {
	k := p.keeper
	if p.index < 0 {
		return
	}
	p.clearSlow(false)
	p.meter.Stop()
	p.HoldOut(0)
	p.HoldIn(0)
	last := k.peers[len(k.peers)-1]
	k.peers[p.index], last.index = last, p.index
	k.peers[len(k.peers)-1] = nil
	k.peers = k.peers[:len(k.peers)-1]
	p.index = -1
	if p.group.peers--; p.group.peers == 0 {
		delete(k.groups, p.group.prefix)
	}
}
