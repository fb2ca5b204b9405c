package pace

import (
	"fmt"
	"net/netip"
	"slices"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms Time = 1000

var usual = Rate{Least: 4000, Grace: 2 * second, Span: second}

// Each case is a series of steps, the time and the bytes that pass then, and the state of the transfer after it.
func TestMeter(t *testing.T) {
	type step struct {
		at    Time
		bytes int
	}
	steady := func(from, to, every Time, n int) (out []step) {
		for at := from; at <= to; at += every {
			out = append(out, step{at, n})
		}
		return out
	}
	for name, c := range map[string]struct {
		rate  Rate
		steps []step
		at    Time
		want  State
	}{
		"silent, within its grace":       {usual, nil, second, Fine},
		"silent, late in its grace":      {usual, nil, 3 * second / 2, Slow},
		"silent from the start":          {usual, nil, 2 * second, Cut},
		"exactly its rate":               {usual, steady(100*ms, 60*second, 100*ms, 400), 60 * second, Fine},
		"exactly its rate, in bursts":    {usual, steady(second/2, 60*second, second/2, 2000), 60 * second, Fine},
		"5 % below its rate":             {usual, steady(100*ms, 60*second, 100*ms, 380), 60 * second, Cut},
		"stops":                          {usual, steady(100*ms, 10*second, 100*ms, 40000), 11*second + 1, Cut},
		"stops, resumes just in time":    {usual, append(steady(0, 10*second, 100*ms, 4000), step{11*second - 1, 4000}), 11*second + second/3, Fine},
		"a fast start allows no silence": {usual, []step{{0, 1 << 30}}, 2 * second, Cut},
		"alternates above its rate":      {usual, steady(0, 60*second, second*9/10, 3700), 60 * second, Slow},
		"alternates below its rate":      {usual, steady(0, 60*second, second*9/10, 3500), 60 * second, Cut},
		"no rate is required":            {Rate{}, nil, 1000 * second, Fine},
		"a ceiling":                      {Rate{Least: 1, Grace: second, Span: second, Ceiling: 3 * second}, steady(0, 3*second, 100*ms, 999), 3 * second, Cut},
		"a ceiling without a rate":       {Rate{Ceiling: 3 * second}, nil, 3*second - 1, Fine},
	} {
		var m Meter
		const from = 77 * second
		m.Begin(from, c.rate)
		cut := false
		for _, s := range c.steps {
			cut = cut || m.State(from+s.at) == Cut
			m.Add(from+s.at, s.bytes)
		}
		got := m.State(from + c.at)
		if cut {
			got = Cut
		}
		assert.Equal(t, c.want, got, name)
	}
	var m Meter
	m.Begin(0, usual)
	m.Extend(second)
	assert.Equal(t, 3*second, m.Deadline(), "Extend moves the deadline")
	m.Stop()
	assert.Equal(t, Never, m.Deadline())
}

// For any limits and any distribution of the bytes: a peer that is never more than half of the shorter of grace and
// span behind its rate is never slow, and one that stops is cut within the longer of them.
func TestKeptRateIsNeverSlow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := Rate{Least: rapid.Float64Range(1, 1e9).Draw(t, "least"), Grace: rapid.Int64Range(ms, 60*second).Draw(t, "grace"),
			Span: rapid.Int64Range(ms, 60*second).Draw(t, "span")}
		half := min(r.Grace, r.Span) / 2
		var m Meter
		now := rapid.Int64Range(0, 1<<50).Draw(t, "from")
		m.Begin(now, r)
		for range rapid.IntRange(1, 50).Draw(t, "steps") {
			gap := rapid.Int64Range(1, max(1, half-1)).Draw(t, "gap")
			now += gap
			if m.State(now) != Fine {
				t.Fatalf("%v after %d of at most %d us: %+v", m.State(now), gap, half, m)
			}
			m.Add(now, int(r.Least*float64(gap)/1e6)+1)
		}
		now += max(r.Grace, r.Span)
		if m.State(now+1) != Cut {
			t.Fatalf("silent peer not cut: %+v", m)
		}
	})
}

// Checks a Keeper under random events against a simple model: no cap is exceeded, no peer with a job in flight or that
// kept its rate is cut or evicted, and closed peers leave nothing behind.
func TestKeeperInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{In: Rate{Least: 1000, Grace: second, Span: second}, Out: Rate{Least: 500, Grace: second, Span: second},
			TotalBytes: 5000, PrefixBytes: 3000, PeerBytes: 2000, SlowPeers: 4, SlowPerPrefix: 2, V4Bits: 24, V6Bits: 64,
			EvictionGrace: 200 * ms, NewPeerGrace: 100 * ms, CrowdPercent: 30, RememberedAddrs: 3, StrikeTTL: 10 * second, LeastGrace: 300 * ms,
			Links: []Link{{"murun", []netip.Prefix{netip.MustParsePrefix("127.0.3.0/24")}, 100, 100}}}
		k := New(limits)
		type model struct {
			peer     *Peer
			started  Time // start of the transfer
			keptRate bool // in no interval fewer bytes passed than the rate requires
			last     Time
			rate     float64
			closed   bool
		}
		var all []*model
		now := Time(1 << 40)
		byPeer := func(p *Peer) *model { return p.Owner.(*model) }
		end := func(p *Peer, why string, forSlowness bool) {
			m := byPeer(p)
			if p.Phase() == Working {
				t.Fatalf("%s: a peer with a job in flight is closed", why)
			}
			transfer := p.Phase() == Receiving || p.Phase() == Sending
			if transfer && m.keptRate && now-m.last < limits.LeastGrace/2 && now-m.started > 0 {
				t.Fatalf("%s: the peer kept its rate: %+v", why, *p)
			}
			if forSlowness {
				p.AddStrike(now)
			}
			p.Close()
			p.Close()
			m.closed = true
		}
		begin := func(m *model, rate float64) { m.started, m.last, m.keptRate, m.rate = now, now, true, rate }
		pass := func(m *model, n int) {
			if required := m.rate * float64(now-m.last) / 1e6; float64(n) < required || now-m.last >= limits.LeastGrace/2 {
				m.keptRate = false
			}
			m.last = now
		}
		for range rapid.IntRange(1, 120).Draw(t, "steps") {
			now += rapid.Int64Range(0, 400*ms).Draw(t, "gap")
			live := all[:0:0]
			for _, m := range all {
				if !m.closed {
					live = append(live, m)
				}
			}
			for _, m := range live { // as the timers do
				if !m.closed && now >= m.peer.NextCheck(now) {
					if p := m.peer.Check(now); p != nil {
						end(p, "check", true)
					}
				}
			}
			op := rapid.IntRange(0, 9).Draw(t, "op")
			if op == 0 || len(live) == 0 {
				m := &model{}
				addr := fmt.Sprintf("127.0.%d.%d", rapid.IntRange(1, 3).Draw(t, "net"), rapid.IntRange(1, 2).Draw(t, "host"))
				m.peer = k.Open(now, netip.MustParseAddr(addr), m)
				begin(m, m.peer.in.Least)
				all = append(all, m)
				continue
			}
			m := rapid.SampledFrom(live).Draw(t, "peer")
			if m.closed {
				continue
			}
			p := m.peer
			n := rapid.IntRange(0, 1500).Draw(t, "bytes")
			switch op {
			case 1, 2, 3:
				if p.Phase() == Resting && p.proven || p.Phase() == Draining {
					begin(m, p.in.Least)
				}
				if p.Phase() != Working && p.Phase() != Sending {
					p.Received(now, n)
					pass(m, n)
					before := k.Counts().Bytes
					held := p.heldIn
					if ok := p.HoldIn(n); ok && n > held && k.Counts().Bytes > limits.TotalBytes {
						t.Fatalf("%d bytes held, %d before", k.Counts().Bytes, before)
					} else if ok && n > held && p.group.bytes > limits.PrefixBytes {
						t.Fatalf("%d bytes held for a prefix", p.group.bytes)
					}
				}
			case 4:
				if p.Phase() == Receiving {
					p.JobAccepted(now)
				}
			case 5:
				if p.Phase() == Working {
					p.Send(now)
					begin(m, p.out.Least)
					p.HoldOut(n)
					for _, v := range k.VictimsForBytes(now, 0) {
						end(v, "excess", false)
					}
				}
			case 6:
				p.Acked(now, n)
				if p.Phase() == Sending {
					pass(m, n)
				}
			case 7:
				if p.Phase() == Sending {
					p.HoldIn(0)
					p.HoldOut(0)
					p.Sent(now)
				} else if p.Phase() == Draining {
					p.Rest(now)
				}
			case 8:
				for _, v := range k.Victims(now, rapid.IntRange(0, 3).Draw(t, "n"), rapid.Bool().Draw(t, "strangers")) {
					end(v, "victim", false)
				}
			case 9:
				p.Close()
				m.closed = true
			}
			c := k.Counts()
			if c.Slow > limits.SlowPeers+1 || c.StruckAddrs > limits.RememberedAddrs { // one more until the next check
				t.Fatalf("%+v", c)
			}
		}
		for _, m := range all {
			m.peer.Close()
		}
		if c := k.Counts(); c.Peers+c.Slow+c.Bytes+c.Prefixes != 0 {
			t.Fatalf("left behind: %+v", c)
		}
	})
}

func open(k *Keeper, now Time, addr string) *Peer { return k.Open(now, netip.MustParseAddr(addr), nil) }

// The order of eviction: silent unproven peers, then those behind their rate (of the prefix with most peers first),
// then idle proven peers, longest idle first, then those that have just connected. Peers with a job or that keep their
// rate are never evicted.
func TestVictimOrder(t *testing.T) {
	k := New(Defaults(1 << 20))
	idle := func(addr string, at Time) *Peer {
		peer := open(k, at, addr)
		peer.Received(at, 100)
		peer.JobAccepted(at)
		peer.Send(at)
		peer.Sent(at)
		peer.Rest(at)
		return peer
	}
	now := 100 * second
	old, older := idle("127.0.0.1", 60*second), idle("127.0.0.1", 50*second)
	job := open(k, now-second, "127.0.2.1")
	job.JobAccepted(now)
	slow := open(k, now-second, "127.0.3.1")
	slow.Received(now-second, 10)
	steady := open(k, now-second, "127.0.3.1")
	steady.Received(now-ms, 4<<10)
	crowd := []*Peer{}
	for range 5 {
		p := open(k, now-second, "127.0.9.1")
		p.Received(now-second, 1000)
		crowd = append(crowd, p)
	}
	unproven := open(k, now-second, "127.0.4.1")
	recent := open(k, now-10*ms, "127.0.5.1")
	assert.Equal(t, append(append([]*Peer{unproven}, crowd...), slow), k.Victims(now, 99, true))
	all := k.Victims(now, 99, false)
	require.Len(t, all, 10)
	assert.Equal(t, []*Peer{older, old, recent}, all[7:])
	assert.NotContains(t, all, job)
	assert.NotContains(t, all, steady)
}

// A peer with unread data must not be evicted, nor cut as silent, until the data has been read. A peer that is being
// sent an answer is judged only by how it reads that.
func TestUnreadDataDefersCut(t *testing.T) {
	k := New(Defaults(1 << 20))
	var unread []*Peer
	k.Unread = func(owner any) bool { return slices.Contains(unread, *owner.(**Peer)) }
	add := func() *Peer {
		p := new(*Peer)
		*p = k.Open(0, netip.MustParseAddr("127.0.0.1"), p)
		return *p
	}
	silent, hasData, partial, reader := add(), add(), add(), add()
	partial.Received(0, 10)
	reader.JobAccepted(0)
	reader.Send(0)
	unread = []*Peer{hasData, partial, reader}
	now := 3 * second
	assert.Equal(t, []*Peer{silent, reader}, k.Victims(now, 9, false))
	assert.Equal(t, silent, silent.Check(now))
	assert.Equal(t, reader, reader.Check(now))
	for _, p := range []*Peer{hasData, partial} {
		assert.Nil(t, p.Check(now))
		assert.Greater(t, p.NextCheck(now), now, "it is checked again")
	}
	unread = nil
	now += second
	assert.Equal(t, hasData, hasData.Check(now))
	assert.Equal(t, partial, partial.Check(now))
	assert.Len(t, k.Victims(now, 9, false), 4)
}

// The number of slow peers of one prefix is limited, and peers of other prefixes are not cut for it.
func TestSlowPeersOfOnePrefixAreLimited(t *testing.T) {
	l := Defaults(1 << 20)
	l.SlowPerPrefix = 3
	k := New(l)
	other := open(k, 0, "127.0.1.1")
	var cut []*Peer
	for i := range 50 {
		open(k, 0, fmt.Sprintf("127.0.2.%d", i+1))
	}
	now := 3 * second / 2
	for _, p := range append([]*Peer(nil), k.peers...) {
		if p.index >= 0 {
			if c := p.Check(now); c != nil {
				cut = append(cut, c)
				c.Close()
			}
		}
	}
	assert.Len(t, cut, 47)
	assert.NotContains(t, cut, other)
	assert.Equal(t, Slow, other.State(now))
}

// Peers of a known slow link are measured by its rates in both directions. The same course on another link is cut.
func TestSlowLink(t *testing.T) {
	l := Defaults(1 << 20)
	l.Links = []Link{{"all", []netip.Prefix{netip.MustParsePrefix("127.0.0.0/8")}, 4096, 4096},
		{"murun", []netip.Prefix{netip.MustParsePrefix("127.0.3.0/24")}, 256, 128}}
	k := New(l)
	for addr, want := range map[string]State{"127.0.3.7": Fine, "127.0.4.7": Cut} {
		in, out := open(k, 0, addr), open(k, 0, addr)
		out.JobAccepted(0)
		out.Send(0)
		cut := Fine
		for now := 100 * ms; now <= 30*second; now += 100 * ms {
			cut = max(cut, in.State(now), out.State(now))
			in.Received(now, 26)
			out.Acked(now, 13)
		}
		assert.Equal(t, want, cut, addr)
		in.JobAccepted(30 * second)
		out.Sent(30 * second)
		out.Rest(30 * second)
	}
	assert.Equal(t, 2, k.Counts().Spared)
}

// An address that was cut gets less grace, down to the least, until its strikes expire.
func TestStrikes(t *testing.T) {
	k := New(Defaults(1 << 20))
	for i, want := range []Time{5 * second / 2, 5 * second / 4, second, second} {
		p := open(k, Time(i), "127.0.0.1")
		assert.Equal(t, Time(i)+want, p.meter.Deadline())
		p.AddStrike(Time(i))
		p.Close()
	}
	now := 61 * second
	assert.Equal(t, now+5*second/2, open(k, now, "127.0.0.1").meter.Deadline())
	assert.Equal(t, now+5*second/2, open(k, now, "127.0.0.2").meter.Deadline())
	for i := range 5000 {
		p := open(k, now, fmt.Sprintf("127.1.%d.%d", i/250, i%250))
		p.AddStrike(now)
		p.Close()
	}
	assert.Equal(t, 4096, k.Counts().StruckAddrs)
}
