package pace

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// This file owns the account of all peers: what each is at, what waits for it, who is slow and who goes first. It
// must hold no more than its limits allow, whatever the peers do.

// Limits are the terms of a Keeper. Every figure has a default; see Defaults.
type Limits struct {
	In, Out Rate // of what a client sends, and of what it takes
	// TotalBytes bounds the bytes that wait for all peers: requests coming in or in hand, answers not yet taken.
	// PrefixBytes bounds those of one network prefix, PeerBytes those of one peer.
	TotalBytes, PrefixBytes, PeerBytes int
	// SlowPeers is how many may be slow at once, SlowPerPrefix how many of one prefix.
	SlowPeers, SlowPerPrefix int
	// V4Bits and V6Bits are the length of a prefix.
	V4Bits, V6Bits int
	// EvictionGrace is the least time that a transfer is spared, behind its rate or not, while room runs short.
	EvictionGrace Time
	// NewPeerGrace is how long a new connection is spared then, since its first request may be on the way.
	NewPeerGrace Time
	// CrowdPercent is the share of all connections, in hundredths, from which on a prefix is not spared any time then: who is
	// not ahead of the rate there, or has said nothing yet, may be let go at once. It counts from a handful on.
	CrowdPercent int
	// RememberedAddrs is how many addresses that were cut off are remembered, for Forgive each since the last time. Each
	// time halves the grace, which is never less than LeastGrace.
	RememberedAddrs       int
	StrikeTTL, LeastGrace Time
	Links                 []Link
}

// Link is a line that is known to be slow: its peers are held to rates of their own.
type Link struct {
	Name     string
	Prefixes []netip.Prefix
	In, Out  float64 // least rates, bytes a second
}

// Defaults are the limits that hold where an operator's file says nothing, for so many bytes in all.
func Defaults(totalBytes int) Limits {
	r := Rate{Least: 4 << 10, Grace: 5 * second / 2, Span: 5 * second / 2}
	return Limits{In: r, Out: r, TotalBytes: totalBytes, PrefixBytes: totalBytes / 2, PeerBytes: min(512<<10, totalBytes/2),
		SlowPeers: 256, SlowPerPrefix: 64, V4Bits: 24, V6Bits: 64, EvictionGrace: second / 4, NewPeerGrace: second / 10, CrowdPercent: 25,
		RememberedAddrs: 4096, StrikeTTL: 60 * second, LeastGrace: second}
}

// DefaultWorkerRate is how slow a worker may be, at taking a request or writing a line of an answer.
func DefaultWorkerRate() Rate { return Rate{Least: 4 << 10, Grace: 5 * second, Span: 5 * second} }

// Phase is what a peer is at.
type Phase uint8

// The phases.
const (
	Resting   Phase = iota // between two requests
	Receiving              // a request comes in
	Working                // its request is a job in hand
	Sending                // an answer goes out, and a part of it waits here
	Draining               // the system holds the rest of an answer: to let go loses nothing
)

func (p Phase) String() string {
	return [...]string{"resting", "receiving", "working", "sending", "draining"}[p]
}

// Peer is one connection of a client.
type Peer struct {
	// Owner is the caller's, to find its own by.
	Owner any
	// Link is the name of the slow line that the peer comes by, or "".
	Link string

	k        *Keeper
	addr     netip.Addr
	group    *group
	in, out  Rate
	phase    Phase
	known    bool // it brought a job
	slow     bool // counted as such
	meter    Meter
	heldIn   int
	heldOut  int
	came     Time
	rested   Time
	position int // in the keeper's list
}

// group is the peers of one network prefix.
type group struct {
	prefix             netip.Prefix
	peers, slow, bytes int
}

// Counts is what a Keeper has seen. Slowed counts transfers that fell behind, Recovered those of them that caught up.
type Counts struct {
	Slowed, Recovered               int
	CutIn, CutOut                   int // behind the rate for too long
	CutCrowd                        int // slow, and more peers were than may be
	Evicted                         int // slow or idle, as room ran short
	Spared                          int // transfers of a slow line that by the usual rate would have been cut
	Refused                         int // bytes not taken, since a cap was reached
	Peers, Slow, Bytes, PeakBytes   int // just now; the most bytes at once
	StruckAddrs, Prefixes, PeakSlow int
}

// String gives the counts as name=value words.
func (c Counts) String() string {
	return fmt.Sprintf("peers=%d peers_slow=%d peers_slow_most=%d slowed=%d recovered=%d spared=%d cut_senders=%d cut_readers=%d "+
		"cut_crowd=%d given_up=%d bytes_held=%d bytes_held_most=%d bytes_refused=%d strikes=%d prefixes=%d",
		c.Peers, c.Slow, c.PeakSlow, c.Slowed, c.Recovered, c.Spared, c.CutIn, c.CutOut, c.CutCrowd, c.Evicted, c.Bytes,
		c.PeakBytes, c.Refused, c.StruckAddrs, c.Prefixes)
}

// Keeper is the account of all peers.
type Keeper struct {
	// Unread, if set, tells by a peer's Owner whether something has come from it that this account was not told yet. Such a
	// peer is not silent, and to let it go might be to lose a request that is here whole.
	Unread func(owner any) bool

	limits  Limits
	peers   []*Peer
	groups  map[netip.Prefix]*group
	slow    int
	bytes   int
	strikes *simplelru.LRU[netip.Addr, strike]
	counts  Counts
}

type strike struct {
	n    int
	last Time
}

// New returns a keeper without peers. Limits that make no sense are for the reader of the operator's file to refuse.
func New(l Limits) *Keeper {
	k := &Keeper{groups: map[netip.Prefix]*group{}}
	k.strikes, _ = simplelru.NewLRU[netip.Addr, strike](max(1, l.RememberedAddrs), nil)
	k.SetLimits(l)
	return k
}

// SetLimits changes the terms. Transfers under way end by the old ones.
func (k *Keeper) SetLimits(l Limits) {
	k.limits = l
	k.strikes.Resize(max(1, l.RememberedAddrs))
}

// Counts tells what was seen.
func (k *Keeper) Counts() Counts {
	c := k.counts
	c.Peers, c.Slow, c.Bytes, c.StruckAddrs, c.Prefixes = len(k.peers), k.slow, k.bytes, k.strikes.Len(), len(k.groups)
	return c
}

// Open takes in a new connection. Its first request is awaited from now on.
func (k *Keeper) Open(now Time, addr netip.Addr, owner any) *Peer {
	addr = addr.Unmap()
	p := &Peer{Owner: owner, k: k, addr: addr, in: k.limits.In, out: k.limits.Out, came: now, rested: now, position: len(k.peers)}
	if l := k.link(addr); l != nil {
		p.Link, p.in.Least, p.out.Least = l.Name, l.In, l.Out
	}
	k.peers = append(k.peers, p)
	at := k.prefix(addr)
	if p.group = k.groups[at]; p.group == nil {
		p.group = &group{prefix: at}
		k.groups[at] = p.group
	}
	p.group.peers++
	p.meter.Begin(now, k.strict(now, addr, p.in))
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

// link finds the line of the address: the one that names it most closely.
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

// strict shortens the grace for an address that was cut off before.
func (k *Keeper) strict(now Time, addr netip.Addr, r Rate) Rate {
	s, ok := k.strikes.Get(addr)
	if !ok {
		return r
	}
	if now-s.last > k.limits.StrikeTTL {
		k.strikes.Remove(addr)
		return r
	}
	r.Grace = max(min(r.Grace, k.limits.LeastGrace), r.Grace>>min(s.n, 16))
	return r
}

// Received takes in that n bytes of a request have come. It begins the transfer if none was under way.
func (p *Peer) Received(now Time, n int) {
	if p.phase == Resting || p.phase == Draining {
		fresh := p.phase == Resting && p.meter.Running() // the connection's first request: measured from its opening
		p.phase = Receiving
		if !fresh {
			p.begin(now, p.in)
		}
	}
	if p.phase == Receiving {
		p.meter.Add(now, n)
		p.census(now)
	}
}

// Adopted takes in that the peer is a known one, between two requests: its past was with another process.
func (p *Peer) Adopted(now Time) {
	p.stop(now)
	p.phase, p.known, p.rested = Resting, true, now
}

// JobAccepted takes in that the request has come whole: nothing is asked of the peer until it is answered.
func (p *Peer) JobAccepted(now Time) {
	p.stop(now)
	p.phase, p.known = Working, true
}

// RequestComplete takes in that what has come is no job: its answer is next.
func (p *Peer) RequestComplete(now Time) {
	p.stop(now)
	p.phase = Working
}

// Send takes in that an answer goes out.
func (p *Peer) Send(now Time) {
	p.phase = Sending
	p.begin(now, p.out)
}

// Acked takes in that the peer took n bytes of it.
func (p *Peer) Acked(now Time, n int) {
	if p.phase == Sending || p.phase == Draining {
		p.meter.Add(now, n)
		p.census(now)
	}
}

// Sent takes in that the system has the rest of the answer. The peer may send its next request.
func (p *Peer) Sent(now Time) {
	if p.phase == Sending {
		p.phase, p.rested = Draining, now
	}
}

// Rest takes in that the peer has taken all.
func (p *Peer) Rest(now Time) {
	if p.phase != Receiving && p.phase != Working {
		p.stop(now)
		p.phase = Resting
		p.rested = max(p.rested, now)
	}
}

func (p *Peer) begin(now Time, r Rate) {
	p.uncount(false)
	p.meter.Begin(now, p.k.strict(now, p.addr, r))
}

// stop ends a transfer that has come to its end.
func (p *Peer) stop(now Time) {
	usual := p.k.limits.In
	if p.phase == Sending || p.phase == Draining {
		usual = p.k.limits.Out
	}
	if p.meter.rate.Least < usual.Least && p.meter.bytes < usual.Least*float64(now-p.meter.begun-usual.Grace)/float64(second) {
		p.k.counts.Spared++
	}
	p.uncount(p.meter.Running())
	p.meter.Stop()
}

// Phase tells what the peer is at.
func (p *Peer) Phase() Phase { return p.phase }

// State tells how the present transfer stands.
func (p *Peer) State(now Time) State { return p.meter.State(now) }

// NextCheck is when Check has something to say if nothing passes until then; never while nothing is measured.
func (p *Peer) NextCheck(now Time) Time {
	if p.meter.Running() && now < p.meter.slowAt() {
		return p.meter.slowAt()
	}
	return p.meter.Deadline()
}

// Extend holds nothing against the peer for a span in which its caller could not look.
func (p *Peer) Extend(span Time) {
	if p.meter.Running() {
		p.meter.Extend(span)
	}
}

// unseen reports whether the peer, from which a request may come, has sent what was not looked at yet.
func (k *Keeper) unseen(p *Peer) bool {
	return k.Unread != nil && p.phase != Working && p.phase != Sending && k.Unread(p.Owner)
}

// unseenFor is how much longer such a peer is spared: what it has sent is seen by then, or looked for again.
const unseenFor = second / 20

// Check judges the present transfer and returns who is to be cut now: the peer itself, or one of a crowd of slow ones
// that has grown too large. For each the caller calls Struck and Close.
func (p *Peer) Check(now Time) (cut *Peer) {
	p.census(now)
	if p.meter.State(now) == Cut {
		if p.k.unseen(p) {
			p.meter.Extend(now + unseenFor - p.meter.Deadline())
			return nil
		}
		if p.phase == Sending || p.phase == Draining {
			p.k.counts.CutOut++
		} else {
			p.k.counts.CutIn++
		}
		return p
	}
	return p.crowd(now)
}

// census keeps the count of slow peers.
func (p *Peer) census(now Time) {
	slow := p.meter.State(now) != Fine
	if slow == p.slow {
		return
	}
	if !slow {
		p.uncount(true)
		return
	}
	p.slow = true
	p.group.slow++
	p.k.slow++
	p.k.counts.Slowed++
	p.k.counts.PeakSlow = max(p.k.counts.PeakSlow, p.k.slow)
}

func (p *Peer) uncount(recovered bool) {
	if !p.slow {
		return
	}
	p.slow = false
	p.group.slow--
	p.k.slow--
	if recovered {
		p.k.counts.Recovered++
	}
}

// crowd returns the least promising slow peer where more are slow than may be.
func (p *Peer) crowd(now Time) *Peer {
	k := p.k
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
	if worst == nil || k.unseen(worst) {
		return nil
	}
	k.counts.CutCrowd++
	return worst
}

// windows is how many times longer than a request an answer is spared: what a peer takes shows in whole TCP windows.
const windows = 4

// handful is how many connections of one prefix are no crowd yet, however few there are in all.
const handful = 16

// descriptor is what a connection costs besides the bytes that wait for it.
const descriptor = 16 << 10

// cost weighs what a peer holds by how little it has done of what the rate asks for.
func (p *Peer) cost(now Time) float64 {
	return float64(descriptor+p.heldIn+p.heldOut) * (2 - min(1, p.meter.Progress(now, 0)))
}

// HoldIn books that n bytes of a request are in memory for the peer. It reports false, and books nothing, where a cap
// would be passed.
func (p *Peer) HoldIn(n int) bool {
	k := p.k
	more := n - p.heldIn
	if more > 0 && (n+p.heldOut > k.limits.PeerBytes || p.group.bytes+more > k.limits.PrefixBytes ||
		k.bytes+more > k.limits.TotalBytes) {
		k.counts.Refused++
		return false
	}
	p.heldIn = n
	p.book(more)
	return true
}

// HoldOut books that n bytes of an answer wait for the peer. An answer is never refused: it has been earned. Over the
// caps, Excess names who makes room.
func (p *Peer) HoldOut(n int) {
	more := n - p.heldOut
	p.heldOut = n
	p.book(more)
}

func (p *Peer) book(more int) {
	p.group.bytes += more
	p.k.bytes += more
	p.k.counts.PeakBytes = max(p.k.counts.PeakBytes, p.k.bytes)
}

// VictimsForBytes returns slow peers whose going makes room for n more bytes, as far as there are such.
func (k *Keeper) VictimsForBytes(now Time, n int) []*Peer {
	over := k.bytes + n - k.limits.TotalBytes
	if over <= 0 {
		return nil
	}
	var out []*Peer
	for _, p := range k.ranked(now, true) {
		if over <= 0 {
			break
		}
		if held := p.heldIn + p.heldOut; held > 0 && !k.unseen(p) {
			over -= held
			out = append(out, p)
		}
	}
	k.counts.Evicted += len(out)
	return out
}

// Victims returns up to n peers to let go as descriptors run short, in this order: strangers that sit idle, peers
// behind their rate, clients that sit idle, and last strangers that have only just come. With strangersOnly it stops
// before the clients.
func (k *Keeper) Victims(now Time, n int, strangersOnly bool) []*Peer {
	var out []*Peer
	for _, p := range k.ranked(now, strangersOnly) {
		if len(out) >= n {
			break
		}
		if !k.unseen(p) {
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

// Working lists those with a request in hand.
func (k *Keeper) Working() []*Peer {
	var out []*Peer
	for _, p := range k.peers {
		if p.phase == Working {
			out = append(out, p)
		}
	}
	return out
}

// ranked lists who may be let go, the first to go first. Peers of the prefix that holds most go before others.
func (k *Keeper) ranked(now Time, strangersOnly bool) []*Peer {
	type candidate struct {
		p    *Peer
		rank int
		cost float64
	}
	var all []candidate
	for _, p := range k.peers {
		c := candidate{p: p, cost: float64(now - p.rested)}
		hurry, fresh := k.limits.EvictionGrace, k.limits.NewPeerGrace
		if n := p.group.peers; n >= handful && n*100 >= k.limits.CrowdPercent*len(k.peers) {
			hurry, fresh = 0, 0
		}
		if p.phase == Sending || p.phase == Draining {
			hurry *= windows
		}
		behind := p.meter.Progress(now, hurry) < 1
		switch {
		case p.phase == Working, !behind && (p.phase == Receiving || p.phase == Sending):
			continue
		case behind && p.phase != Resting:
			c.rank, c.cost = 1, p.cost(now)*float64(p.group.peers)
		case p.known: // what the system still holds of its answer is not lost
			c.rank = 2
		case now-p.came < fresh:
			c.rank = 3
		}
		if c.rank < 2 || !strangersOnly {
			all = append(all, c)
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.rank, b.rank), cmp.Compare(b.cost, a.cost), cmp.Compare(a.p.came, b.p.came))
	})
	out := make([]*Peer, len(all))
	for i, c := range all {
		out[i] = c.p
	}
	return out
}

// AddStrike remembers that the peer was cut for being slow: it gets less grace for a while.
func (p *Peer) AddStrike(now Time) {
	s, _ := p.k.strikes.Get(p.addr)
	if now-s.last > p.k.limits.StrikeTTL {
		s.n = 0
	}
	p.k.strikes.Add(p.addr, strike{min(s.n+1, 16), now})
}

// Close takes the peer out of the account. Closing twice does nothing.
func (p *Peer) Close() {
	k := p.k
	if p.position < 0 {
		return
	}
	p.uncount(false)
	p.meter.Stop()
	p.HoldOut(0)
	p.HoldIn(0)
	last := k.peers[len(k.peers)-1]
	k.peers[p.position], last.position = last, p.position
	k.peers[len(k.peers)-1] = nil
	k.peers = k.peers[:len(k.peers)-1]
	p.position = -1
	if p.group.peers--; p.group.peers == 0 {
		delete(k.groups, p.group.prefix)
	}
}
