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

// How a transfer stands after a course of bytes; each step is a moment and what passes then.
func TestMeter(t *testing.T) {
	type step struct {
		at Time
		n  int
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
		"says nothing, in its grace":      {usual, nil, second, Fine},
		"says nothing, late in its grace": {usual, nil, 3 * second / 2, Slow},
		"says nothing":                    {usual, nil, 2 * second, Cut},
		"exactly its rate":                {usual, steady(100*ms, 60*second, 100*ms, 400), 60 * second, Fine},
		"exactly its rate, in gulps":      {usual, steady(second/2, 60*second, second/2, 2000), 60 * second, Fine},
		"a twentieth below":               {usual, steady(100*ms, 60*second, 100*ms, 380), 60 * second, Cut},
		"stops":                           {usual, steady(100*ms, 10*second, 100*ms, 40000), 11*second + 1, Cut},
		"stops, resumes just in time":     {usual, append(steady(0, 10*second, 100*ms, 4000), step{11*second - 1, 4000}), 11*second + second/3, Fine},
		"a fast start buys no silence":    {usual, []step{{0, 1 << 30}}, 2 * second, Cut},
		"alternates above":                {usual, steady(0, 60*second, second*9/10, 3700), 60 * second, Slow},
		"alternates below":                {usual, steady(0, 60*second, second*9/10, 3500), 60 * second, Cut},
		"no rate is asked":                {Rate{}, nil, 1000 * second, Fine},
		"a ceiling":                       {Rate{Least: 1, Grace: second, Span: second, Ceiling: 3 * second}, steady(0, 3*second, 100*ms, 999), 3 * second, Cut},
		"a ceiling alone":                 {Rate{Ceiling: 3 * second}, nil, 3*second - 1, Fine},
	} {
		var m Meter
		const from = 77 * second
		m.Begin(from, c.rate)
		dead := false
		for _, s := range c.steps {
			dead = dead || m.State(from+s.at) == Cut
			m.Add(from+s.at, s.n)
		}
		got := m.State(from + c.at)
		if dead {
			got = Cut
		}
		assert.Equal(t, c.want, got, name)
	}
	var m Meter
	m.Begin(0, usual)
	m.Extend(second)
	assert.Equal(t, 3*second, m.Deadline(), "a span in which nobody looked is not held against it")
	m.Stop()
	assert.Equal(t, Never, m.Deadline())
}

// Whatever the terms and however the bytes are spread: a peer that is never more than half a span behind its rate is
// never slow, let alone cut; one that stops is cut within the longer of grace and span.
func TestARateThatIsKept(t *testing.T) {
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
			t.Fatalf("silent, and not cut: %+v", m)
		}
	})
}

// The keeper under any order of events, against a model that knows no more than the rules: no cap is passed, no peer
// with a job in hand and none that kept its rate is cut or let go, and nothing of a peer stays behind.
func TestKeeperKeepsItsRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := Limits{In: Rate{Least: 1000, Grace: second, Span: second}, Out: Rate{Least: 500, Grace: second, Span: second},
			TotalBytes: 5000, PrefixBytes: 3000, PeerBytes: 2000, SlowPeers: 4, SlowPerPrefix: 2, V4Bits: 24, V6Bits: 64,
			EvictionGrace: 200 * ms, NewPeerGrace: 100 * ms, CrowdPercent: 30, RememberedAddrs: 3, StrikeTTL: 10 * second, LeastGrace: 300 * ms,
			Links: []Link{{"murun", []netip.Prefix{netip.MustParsePrefix("127.0.3.0/24")}, 100, 100}}}
		k := New(l)
		type model struct {
			p      *Peer
			begun  Time // of the transfer
			quick  bool // no gap in which it brought less than the rate asks for
			last   Time
			rate   float64
			closed bool
		}
		var all []*model
		now := Time(1 << 40)
		byPeer := func(p *Peer) *model { return p.Owner.(*model) }
		end := func(p *Peer, why string, forRate bool) {
			m := byPeer(p)
			if p.Phase() == Working {
				t.Fatalf("%s: a job in hand is given up", why)
			}
			transfer := p.Phase() == Receiving || p.Phase() == Sending
			if transfer && m.quick && now-m.last < l.LeastGrace/2 && now-m.begun > 0 {
				t.Fatalf("%s: it kept its rate: %+v", why, *p)
			}
			if forRate {
				p.AddStrike(now)
			}
			p.Close()
			p.Close()
			m.closed = true
		}
		begin := func(m *model, rate float64) { m.begun, m.last, m.quick, m.rate = now, now, true, rate }
		pass := func(m *model, n int) {
			if asked := m.rate * float64(now-m.last) / 1e6; float64(n) < asked || now-m.last >= l.LeastGrace/2 {
				m.quick = false
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
			for _, m := range live { // as the timers would
				if !m.closed && now >= m.p.NextCheck(now) {
					if p := m.p.Check(now); p != nil {
						end(p, "check", true)
					}
				}
			}
			op := rapid.IntRange(0, 9).Draw(t, "op")
			if op == 0 || len(live) == 0 {
				m := &model{}
				at := fmt.Sprintf("127.0.%d.%d", rapid.IntRange(1, 3).Draw(t, "net"), rapid.IntRange(1, 2).Draw(t, "host"))
				m.p = k.Open(now, netip.MustParseAddr(at), m)
				begin(m, m.p.in.Least)
				all = append(all, m)
				continue
			}
			m := rapid.SampledFrom(live).Draw(t, "peer")
			if m.closed {
				continue
			}
			p := m.p
			n := rapid.IntRange(0, 1500).Draw(t, "bytes")
			switch op {
			case 1, 2, 3:
				if p.Phase() == Resting && p.known || p.Phase() == Draining {
					begin(m, p.in.Least)
				}
				if p.Phase() != Working && p.Phase() != Sending {
					p.Received(now, n)
					pass(m, n)
					before := k.Counts().Bytes
					held := p.heldIn
					if ok := p.HoldIn(n); ok && n > held && k.Counts().Bytes > l.TotalBytes {
						t.Fatalf("%d bytes held, %d before", k.Counts().Bytes, before)
					} else if ok && n > held && p.group.bytes > l.PrefixBytes {
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
			if c.Slow > l.SlowPeers+1 || c.StruckAddrs > l.RememberedAddrs { // one more until it is looked at
				t.Fatalf("%+v", c)
			}
		}
		for _, m := range all {
			m.p.Close()
		}
		if c := k.Counts(); c.Peers+c.Slow+c.Bytes+c.Prefixes != 0 {
			t.Fatalf("left behind: %+v", c)
		}
	})
}

func open(k *Keeper, now Time, addr string) *Peer { return k.Open(now, netip.MustParseAddr(addr), nil) }

// Who goes first: silent strangers, then those behind their rate (the prefix that crowds first), then idle clients,
// the longest idle first, then who has only come; never one with a job or one that keeps its rate.
func TestWhoGoesFirst(t *testing.T) {
	k := New(Defaults(1 << 20))
	idle := func(addr string, at Time) *Peer {
		p := open(k, at, addr)
		p.Received(at, 100)
		p.JobAccepted(at)
		p.Send(at)
		p.Sent(at)
		p.Rest(at)
		return p
	}
	now := 100 * second
	old, older := idle("127.0.0.1", 60*second), idle("127.0.0.1", 50*second)
	job := open(k, now-second, "127.0.2.1")
	job.JobAccepted(now)
	slow := open(k, now-second, "127.0.3.1")
	slow.Received(now-second, 10)
	honest := open(k, now-second, "127.0.3.1")
	honest.Received(now-ms, 4<<10)
	crowd := []*Peer{}
	for range 5 {
		p := open(k, now-second, "127.0.9.1")
		p.Received(now-second, 1000)
		crowd = append(crowd, p)
	}
	stranger := open(k, now-second, "127.0.4.1")
	young := open(k, now-10*ms, "127.0.5.1")
	assert.Equal(t, append(append([]*Peer{stranger}, crowd...), slow), k.Victims(now, 99, true))
	all := k.Victims(now, 99, false)
	require.Len(t, all, 10)
	assert.Equal(t, []*Peer{older, old, young}, all[7:])
	assert.NotContains(t, all, job)
	assert.NotContains(t, all, honest)
}

// Who has sent what was not looked at yet is not let go, nor cut as silent, until it has been looked at; one that has a whole
// answer waiting is judged by how it takes that.
func TestUnseenIsNotSilent(t *testing.T) {
	k := New(Defaults(1 << 20))
	var unseen []*Peer
	k.Unread = func(owner any) bool { return slices.Contains(unseen, *owner.(**Peer)) }
	add := func() *Peer {
		p := new(*Peer)
		*p = k.Open(0, netip.MustParseAddr("127.0.0.1"), p)
		return *p
	}
	silent, spoke, half, reads := add(), add(), add(), add()
	half.Received(0, 10)
	reads.JobAccepted(0)
	reads.Send(0)
	unseen = []*Peer{spoke, half, reads}
	now := 3 * second
	assert.Equal(t, []*Peer{silent, reads}, k.Victims(now, 9, false))
	assert.Equal(t, silent, silent.Check(now))
	assert.Equal(t, reads, reads.Check(now))
	for _, p := range []*Peer{spoke, half} {
		assert.Nil(t, p.Check(now))
		assert.Greater(t, p.NextCheck(now), now, "it is looked at again")
	}
	unseen = nil
	now += second
	assert.Equal(t, spoke, spoke.Check(now))
	assert.Equal(t, half, half.Check(now))
	assert.Len(t, k.Victims(now, 9, false), 4)
}

// A flood of slow peers from one prefix is bounded there, and costs a slow peer of another nothing.
func TestAFloodOfOnePrefix(t *testing.T) {
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
		if p.position >= 0 {
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

// A known slow line is held to its own rate, in both directions; the same course by another line is cut.
func TestSlowLine(t *testing.T) {
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

// An address that was cut off gets less grace, down to the least, and is forgiven after a while.
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
