package jobs

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/decide"
	"weldscale/internal/engine"
	"weldscale/internal/pace"
)

// fakeConn keeps what is written. Writes end when the test says so.
type fakeConn struct {
	Conn
	handler     Handler
	out         string
	done        func(WriteResult)
	writeAtOnce bool // writes end at once
	closed      bool
	peerClosed  bool   // by the peer
	unread      bool   // something has come that the handler was not told
	queued      int    // what the system does not take
	inKernel    int    // what the peer does not take of it
	from        string // its address
}

func (c *fakeConn) SetHandler(h Handler) { c.handler = h }
func (c *fakeConn) Write(b []byte, done func(WriteResult)) {
	c.out += string(b)
	c.done = done
	if c.writeAtOnce && done != nil {
		done(Written)
	}
}
func (c *fakeConn) Close()           { c.closed = true }
func (c *fakeConn) Queued() int      { return c.queued }
func (c *fakeConn) Unacked() int     { return c.queued + c.inKernel }
func (c *fakeConn) Peer() netip.Addr { return netip.MustParseAddr(cmp.Or(c.from, "127.0.0.1")) }
func (c *fakeConn) CloseAfterWrite() { c.closed = true }
func (c *fakeConn) PeerClosed() bool { return c.peerClosed }
func (c *fakeConn) Unread() bool     { return c.unread }

// fakeDialer hands out one connection, or none.
type fakeDialer struct {
	conn  *fakeConn
	kept  int
	fresh int // fresh ones asked for
	last  func(Conn)
}

func (d *fakeDialer) Get(_ string, fresh bool, ready func(Conn)) func() {
	d.last = ready
	if fresh {
		d.fresh++
	}
	if d.conn == nil {
		ready(nil)
	} else {
		ready(d.conn)
	}
	return func() {}
}
func (d *fakeDialer) Put(string, Conn) { d.kept++ }

// bench is an engine whose loop does not run: everything happens within the calls of the test.
type harness struct {
	engine     *engine.Engine
	dialer     *fakeDialer
	server     *Server
	workers    *Workers
	discovery  *Discovery
	pushed     []*engine.Attempt
	probes     []*engine.Probe
	holdProbes bool // probes are left to the test
}

// Push implements engine.Workers: an attempt is left to the test, a probe answered at once unless held.
func (b *harness) Push(a *engine.Attempt)   { b.pushed = append(b.pushed, a) }
func (b *harness) Cancel(a *engine.Attempt) { b.workers.Cancel(a) }

// Withdraw implements engine.Workers.
func (b *harness) Withdraw(a *engine.Attempt) bool { return b.workers.Withdraw(a) }
func (b *harness) Probe(p *engine.Probe) {
	if b.holdProbes {
		b.probes = append(b.probes, p)
		return
	}
	p.End(decide.Served, decide.Report{Has: decide.HasFreeSlots, FreeSlots: 4})
}

var testReports = &LoadReportParser{Fields: []string{"active", "cpu", "x0"}, Make: func(v []float32) (r decide.Report) {
	for i, field := range []decide.Fields{decide.HasInFlight, decide.HasUtil, decide.HasFreeSlots} {
		if !math.IsNaN(float64(v[i])) {
			r.Has |= field
		}
	}
	r.FreeSlots = float64(v[2])
	return r
}}

func newHarness(t *testing.T) *harness {
	e, err := engine.New(engine.NewLoop(), engine.Config{Zones: []string{"here"}, Kinds: []string{"box"}, Settings: decide.Settings{
		Nodes: 1, Zones: 1, CanProbe: true, CanCancel: true, MaxAttempts: 4, ColdFrom: 0.3, ColdSpan: 1e6, FallMultiple: 4,
		FallSpan: 1e6, Tick: 4000, MustAsk: true, AskWithin: 1e7, MaxRetry: 1500000, Classes: []decide.Class{
			{Effect: decide.Safe, Aim: 2e6, Stretch: 2, Deadline: 9e6, Worth: 1, Kind: -1},
			{Effect: decide.Unsafe, Aim: 2e6, Stretch: 2, Deadline: 9e6, Worth: 1, Kind: -1}}}})
	require.NoError(t, err)
	b := &harness{engine: e, dialer: &fakeDialer{conn: &fakeConn{}}, server: NewServer(NewService("", e, []string{"view", "send"}))}
	b.workers = &Workers{Engine: e, Dialer: b.dialer, Reports: testReports, Host: "app.svc"}
	b.discovery = &Discovery{Engine: e, Dialer: b.dialer, Addr: "d"}
	e.SetBackends(b, b.discovery)
	require.NoError(t, b.discovery.LoadKnown([]byte(`{"index":3,"snapshot":true,"endpoints":[{"name":"a","address":"x:1",
		"zone":"here","type":"box","status":"SERVING","weight":1,"since_ms":0}]}`)))
	return b
}

// client opens a connection of a client.
func (b *harness) client() *fakeConn {
	c := &fakeConn{writeAtOnce: true}
	b.server.Serve(c)
	return c
}

func feedInPieces(h func([]byte), text string, size int) {
	for len(text) > 0 {
		n := min(size, len(text))
		h([]byte(text[:n]))
		text = text[n:]
	}
}

const requestHead = "POST /api/7?q=1 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 9b\r\nIdempotency-Key: k\r\nX-Call-Class: send\r\n"

// What a worker's bytes stand for; to the client: 200 with the result, 500 where it may have run, and
// nothing yet where the request goes on.
func TestOutcomes(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	line := func(state string) string { return `{"id":"9b","state":"` + state + `","result":"a\"b"}` + "\n" }
	type ending int
	const (
		stays ending = iota
		breaks
		unwritten // breaks, and the write turns out not to have gone out
		unsure
	)
	for name, c := range map[string]struct {
		in   string
		end  ending
		want decide.Status
		kept int
	}{
		"done":             {ok + chunk(line("started")) + chunk(line("done")) + "0\r\n\r\n", stays, decide.Served, 1},
		"done in pieces":   {ok + chunk(line("done")[:9]) + chunk(line("done")[9:]) + "0\r\n\r\n", stays, decide.Served, 1},
		"no last line end": {ok + chunk(strings.TrimSpace(line("done"))) + "0\r\n\r\n", stays, decide.Served, 1},
		"done, then ends":  {ok + chunk(line("done")), breaks, decide.Served, 0},
		"closes":           {"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line("done")) + "0\r\n\r\n", stays, decide.Served, 0},
		"unknown state":    {ok + chunk(line("resting")) + chunk(line("done")) + "0\r\n\r\n", stays, decide.Served, 1},
		"failed":           {ok + chunk(line("failed")) + "0\r\n\r\n", stays, decide.Error, 1},
		"returned":         {ok + chunk(line("returned")) + "0\r\n\r\n", stays, decide.Full, 1},
		"lost":             {ok + chunk(line("lost")) + "0\r\n\r\n", stays, decide.Reset, 1},
		"500":              {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", stays, decide.Error, 1},
		"full":             {"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", stays, decide.Full, 1},
		"504, unstarted":   {"HTTP/1.1 504 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", stays, decide.Full, 1},
		"503 of its own":   {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", stays, decide.Error, 1},
		"no last line":     {ok + chunk(line("started")) + "0\r\n\r\n", stays, decide.Reset, 1},
		"breaks":           {ok + chunk(line("started")), breaks, decide.Reset, 0},
		"breaks at once":   {"", breaks, decide.Reset, 0},
		"never written":    {"", unwritten, decide.ConnectFailed, 0},
		"perhaps written":  {"", unsure, decide.Reset, 0},
		"not HTTP":         {"hello\r\n\r\n", stays, decide.Reset, 0},
		"not JSON":         {ok + chunk("{oops\n"), stays, decide.Reset, 0},
		"another's line":   {ok + chunk(`{"id":"zz","state":"done","result":"x"}`+"\n"), stays, decide.Reset, 0},
		"endless line":     {ok + chunk(strings.Repeat("x", maxLineBytes+1)), stays, decide.Reset, 0},
	} {
		for _, size := range []int{1 << 20, 1} {
			b := newHarness(t)
			client := b.client()
			client.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\nContent-Length: 2\r\n\r\nhi"))
			require.Len(t, b.pushed, 1, name)
			b.workers.Push(b.pushed[0])
			conn := b.dialer.conn
			assert.True(t, strings.HasPrefix(conn.out, "POST /api/7?q=1 HTTP/1.1\r\n"), name)
			assert.Contains(t, conn.out, "X-Call-Id: 9b\r\n")
			assert.Contains(t, conn.out, "Idempotency-Key: k\r\n")
			assert.True(t, strings.HasSuffix(conn.out, "Content-Length: 2\r\n\r\nhi"), name)
			switch c.end {
			case unwritten, unsure:
				conn.handler.Closed()
				conn.done(map[ending]WriteResult{unwritten: WriteIncomplete, unsure: WriteUnknown}[c.end])
				if c.end == unwritten { // nor on its second connection
					conn.done(WriteIncomplete)
				}
			default:
				conn.done(Written)
				feedInPieces(func(p []byte) { conn.handler.Data(p) }, c.in, size)
				if c.end == breaks {
					conn.handler.Closed()
				}
			}
			assert.Equal(t, 1, b.engine.Counts.Outcomes[c.want], "%s in pieces of %d: %s", name, size, b.engine.Counts.String())
			assert.Equal(t, c.kept, b.dialer.kept, "%s: connections kept", name)
			switch {
			case c.want == decide.Served:
				assert.Contains(t, client.out, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\na\"b", name)
			case c.want.NeverRan():
				assert.Empty(t, client.out, name)
			default:
				assert.Contains(t, client.out, "HTTP/1.1 500", name)
			}
		}
	}
}

// An attempt is not sent once its request has been answered or its worker told to drain while we dialled.
func TestSendableIsCheckedAfterDial(t *testing.T) {
	for name, between := range map[string]func(b *harness, c *fakeConn){
		"client gone": func(b *harness, c *fakeConn) { c.handler.Closed() },
		"worker drains": func(b *harness, c *fakeConn) {
			b.engine.Announce(decide.ListDelta, []engine.Entry{{Name: "a", State: decide.Draining}})
		},
		"worker departed": func(b *harness, c *fakeConn) { b.engine.Announce(decide.ListFull, nil) },
	} {
		b := newHarness(t)
		client := b.client()
		client.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\nContent-Length: 0\r\n\r\n"))
		require.Len(t, b.pushed, 1, name)
		between(b, client)
		b.workers.Push(b.pushed[0])
		assert.Empty(t, b.dialer.conn.out, name)
	}
}

// The load figures of a probe reach the module by either name; a probe without OnBody once lost them all.
func TestProbes(t *testing.T) {
	for name, c := range map[string]struct {
		in   string
		want decide.Status
		has  decide.Fields
	}{
		"not JSON":        {"200 OK\r\nContent-Length: 5\r\n\r\n{oops", decide.Served, 0},
		"settings' names": {"200 OK\r\nContent-Length: 29\r\n\r\n" + `{"active":1,"cpu":0,"x0":3.5}`, decide.Served, decide.HasInFlight | decide.HasUtil | decide.HasFreeSlots},
		"PROTOCOL's":      {"200 OK\r\nContent-Length: 16\r\n\r\n" + `{"inflight":1.5}`, decide.Served, decide.HasInFlight},
		"in a header":     {"200 OK\r\nX-Load-Report: {\"util\":0.5}\r\nContent-Length: 0\r\n\r\n", decide.Served, decide.HasUtil},
		"unwell":          {"503 No\r\nContent-Length: 0\r\n\r\n", decide.Error, 0},
	} {
		b := newHarness(t)
		b.holdProbes = true
		b.client().handler.Data([]byte(requestHead + "X-Budget: 8000m\r\nContent-Length: 0\r\n\r\n"))
		require.Len(t, b.probes, 1, name)
		b.workers.Probe(b.probes[0])
		assert.Equal(t, "GET /-/load HTTP/1.1\r\nHost: app.svc\r\n\r\n", b.dialer.conn.out, name)
		b.dialer.conn.done(Written)
		x := b.dialer.conn.handler.(*exchange)
		feedInPieces(x.Data, "HTTP/1.1 "+c.in, 1)
		assert.Equal(t, 1, b.engine.Counts.Probes[c.want], name)
		assert.Equal(t, c.has, x.report.Has, name)
	}
}

// A dead connection once cost a worker its place in the draws, and a job that must not run twice its answer. What
// can't have had an effect is tried once more, on a fresh connection; such a job never goes over a kept one.
func TestDeadConnections(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + `{"x0":3.5}`
	for name, c := range map[string]struct {
		first, second func(c *fakeConn)
		want          decide.Status
		dials         int
	}{
		"answers":            {func(c *fakeConn) { c.handler.Data([]byte(ok)) }, nil, decide.Served, 0},
		"breaks once":        {func(c *fakeConn) { c.handler.Closed() }, func(c *fakeConn) { c.handler.Data([]byte(ok)) }, decide.Served, 1},
		"breaks twice":       {func(c *fakeConn) { c.handler.Closed() }, func(c *fakeConn) { c.handler.Closed() }, decide.Reset, 1},
		"breaks half-way":    {func(c *fakeConn) { c.handler.Data([]byte(ok[:20])); c.handler.Closed() }, nil, decide.Reset, 0},
		"silent":             {func(c *fakeConn) { c.handler.(*exchange).retryOnFreshConn() }, func(c *fakeConn) { c.handler.Data([]byte(ok)) }, decide.Served, 1},
		"write is unsure":    {func(c *fakeConn) { c.done(WriteUnknown) }, func(c *fakeConn) { c.handler.Data([]byte(ok)) }, decide.Served, 1},
		"write is not whole": {func(c *fakeConn) { c.done(WriteIncomplete) }, func(c *fakeConn) { c.done(WriteIncomplete) }, decide.ConnectFailed, 1},
	} {
		b := newHarness(t)
		b.holdProbes = true
		b.client().handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
		require.Len(t, b.probes, 1)
		b.workers.Probe(b.probes[0])
		for _, step := range []func(*fakeConn){c.first, c.second} {
			if step != nil {
				conn := &fakeConn{}
				*conn = *b.dialer.conn
				b.dialer.conn = &fakeConn{}
				if !strings.HasPrefix(name, "write") {
					conn.done(Written)
				}
				step(conn)
			}
		}
		assert.Equal(t, 1, b.engine.Counts.Probes[c.want], "%s: %s", name, b.engine.Counts.String())
		assert.Equal(t, c.dials, b.dialer.fresh, name)
	}
	for class, fresh := range map[string]int{"view": 0, "send": 1} {
		b := newHarness(t)
		b.client().handler.Data([]byte(strings.ReplaceAll(requestHead, "send", class) + "X-Budget: 8000m\r\n\r\n"))
		require.Len(t, b.pushed, 1)
		b.workers.Push(b.pushed[0])
		assert.Equal(t, fresh, b.dialer.fresh, class)
	}
}

// A silent worker holds no more than a few connections of those that probe it, and one answer serves all that wait.
func TestProbesOfOneWorkerShareAnswers(t *testing.T) {
	b := newHarness(t)
	b.holdProbes = true
	for range 10 {
		b.client().handler.Data([]byte(strings.Replace(requestHead, "9b", fmt.Sprint(len(b.probes)), 1) + "X-Budget: 8000m\r\n\r\n"))
	}
	n := len(b.probes)
	require.Greater(t, n, maxConcurrentProbes+1)
	b.dialer.conn = nil // nobody listens, but that is told later
	var ready []func(Conn)
	b.workers.Dialer = manualDialer(func(f func(Conn)) { ready = append(ready, f) })
	for _, p := range b.probes {
		b.workers.Probe(p)
	}
	assert.Len(t, ready, maxConcurrentProbes)
	ready[0](nil)
	assert.Equal(t, 1, b.engine.Counts.Probes[decide.ConnectFailed])
	for _, f := range ready[1:] {
		f(nil)
	}
	assert.Equal(t, n, b.engine.Counts.Probes[decide.ConnectFailed])
	assert.Empty(t, b.workers.pendingProbes)
}

// later is a dialer whose connections come when the test says so.
type manualDialer func(func(Conn))

func (l manualDialer) Get(_ string, _ bool, ready func(Conn)) func() { l(ready); return func() {} }
func (l manualDialer) Put(string, Conn)                              {}

// What clients send that is no request: the status of the answer, and whether the connection stays.
func TestBadRequests(t *testing.T) {
	for name, c := range map[string]struct {
		in     string
		status int
		closed bool
	}{
		"ready":         {"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", 200, false},
		"stats":         {"GET /-/stats HTTP/1.1\r\nHost: a\r\n\r\n", 200, false},
		"unknown path":  {"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", 404, false},
		"own path":      {"POST /-/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 404, false},
		"HEAD":          {"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n", 404, true},
		"malformed":     {"nonsense\r\n\r\n", 400, true},
		"too large":     {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n", 413, true},
		"long head":     {"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 20000), 431, true},
		"unknown class": {"POST /a HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\nX-Call-Class: x\r\nX-Budget: 5m\r\n\r\n", 400, false},
		"no budget":     {requestHead + "\r\n", 400, false},
		"bad budget":    {requestHead + "X-Budget: 5s\r\n\r\n", 400, false},
		"vast budget":   {requestHead + "X-Budget: 1e300m\r\n\r\n", 400, false},
		"no id":         {"POST /a HTTP/1.1\r\nHost: a\r\nX-Call-Class: send\r\nX-Budget: 5m\r\n\r\n", 400, false},
		"id twice":      {requestHead + "X-Call-Id: 9c\r\nX-Budget: 5m\r\n\r\n", 400, false},
		"budget twice":  {requestHead + "X-Budget: 5m\r\nX-Budget: 5m\r\n\r\n", 400, false},
		"id not ASCII":  {"POST /a HTTP/1.1\r\nHost: a\r\nX-Call-Id: \xff\r\nX-Call-Class: send\r\nX-Budget: 5m\r\n\r\n", 400, false},
		"too late":      {requestHead + "X-Budget: 5m\r\n\r\n", 503, false},
	} {
		for _, size := range []int{1 << 20, 1} {
			b := newHarness(t)
			x := b.client()
			feedInPieces(x.handler.Data, c.in, size)
			assert.True(t, strings.HasPrefix(x.out, fmt.Sprintf("HTTP/1.1 %d ", c.status)), "%s: %s", name, x.out)
			assert.Equal(t, 1, strings.Count(x.out, "HTTP/1.1"), name)
			assert.Equal(t, c.closed, x.closed, name)
			assert.Zero(t, b.engine.OpenRequests(), name)
		}
	}
	b := newHarness(t)
	x := b.client()
	x.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\nContent-Length: 2\r\n\r\nhi there"))
	assert.Contains(t, x.out, "HTTP/1.1 400 ", "its length is in doubt")
	assert.True(t, x.closed)
	assert.Empty(t, b.pushed, "nothing of it is passed on")
	x = b.client()
	x.handler.Data([]byte(requestHead + "X-Budget: 5m\r\n\r\n"))
	assert.Contains(t, x.out, "Retry-After: 1.500\r\n", "as long as the settings allow")
}

// Silent clients by hundreds once pushed out those that work with us, and the connections to workers too. They go
// first themselves, but for one that has just come, on which the first request may be under way.
func TestUnprovenClientsAreEvictedFirst(t *testing.T) {
	b := newHarness(t)
	silent, asked, works, young := b.client(), b.client(), b.client(), b.client()
	asked.handler.Data([]byte("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"))
	works.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	b.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
	closed := func() (out []bool) {
		for _, c := range []*fakeConn{silent, asked, works, young} {
			out = append(out, c.closed)
		}
		return out
	}
	l := pace.Defaults(1 << 20)
	l.Fresh = 1 << 40
	b.server.Pace.SetLimits(l)
	assert.Zero(t, b.server.EvictClients(9, true))
	assert.Equal(t, 1, b.server.EvictClients(1, false))
	assert.Equal(t, []bool{false, false, true, false}, closed())
	l.Fresh = 0
	b.server.Pace.SetLimits(l)
	assert.Equal(t, 3, b.server.EvictClients(9, true))
	assert.Equal(t, []bool{true, true, true, true}, closed())
}

// hurried gives the clients that come from now on no time at all.
func (b *harness) removeGrace() {
	l := pace.Defaults(1 << 20)
	l.In = pace.Rate{Least: 1, Ceiling: 1}
	l.Out = l.In
	b.server.Pace.SetLimits(l)
	b.workers.Pace = l.In
}

// A client is owed an answer or a close soon after it connects, whole request or not; between requests it is not
// hurried, nor while its job is in hand.
func TestSlowClients(t *testing.T) {
	b := newHarness(t)
	b.removeGrace()
	silent, half, works := b.client(), b.client(), b.client()
	half.handler.Data([]byte("POST /api HTTP/1.1\r\nHost: a\r\nX-Ca"))
	for _, c := range []*fakeConn{silent, half} { // what has come may be the whole request
		c.unread = true
		time.Sleep(time.Millisecond)
		c.handler.(*client).checkPace()
		assert.False(t, c.closed)
		assert.NotNil(t, c.handler.(*client).paceTimer, "it is looked at again")
		c.unread = false
	}
	time.Sleep(60 * time.Millisecond)
	works.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	x := works.handler.(*client)
	for _, c := range []*fakeConn{silent, half, works} {
		time.Sleep(time.Millisecond)
		c.handler.(*client).checkPace() // as the timer would
	}
	assert.True(t, silent.closed)
	assert.Empty(t, silent.out)
	assert.True(t, half.closed)
	assert.Contains(t, half.out, "HTTP/1.1 408 ")
	assert.False(t, works.closed)
	b.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
	x.checkPace()
	assert.False(t, works.closed)
	assert.Equal(t, pace.Never, x.peer.Next(b.engine.Now()), "between requests no time runs")
	assert.Nil(t, x.paceTimer)
	assert.Equal(t, 1, b.server.Pace.Counts().Peers)
}

// A peer that takes nothing of its answer is let go; the answer was given, whatever became of it.
func TestSlowReaders(t *testing.T) {
	for name, c := range map[string]struct {
		queued, system int
		closed         bool
	}{"took all": {0, 0, false}, "the system has it": {0, 9, true}, "some waits here": {9, 9, true}} {
		b := newHarness(t)
		b.removeGrace()
		conn := b.client()
		conn.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
		x := conn.handler.(*client)
		conn.queued, conn.inKernel, conn.writeAtOnce = c.queued, c.system, c.queued == 0
		b.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
		assert.GreaterOrEqual(t, b.server.Pace.Counts().Bytes, c.queued, name)
		time.Sleep(time.Millisecond)
		x.checkPace()
		assert.Equal(t, c.closed, conn.closed, name)
		assert.Equal(t, 1, b.engine.Counts.Served, name)
		assert.Len(t, b.pushed, 1, "%s: no second try", name)
		if c.closed {
			assert.Equal(t, 1, b.server.Pace.Counts().CutOut, name)
			assert.Zero(t, b.server.Pace.Counts().Bytes, name)
		}
	}
}

// A request may become whole in the moment in which its sender is cut: it is a job with one answer, or none at all.
func TestRequestCompletesAsClientIsCut(t *testing.T) {
	for _, first := range []string{"cut", "whole"} {
		b := newHarness(t)
		b.removeGrace()
		conn := b.client()
		text := requestHead + "X-Budget: 8000m\r\n\r\n"
		conn.handler.Data([]byte(text[:20]))
		x := conn.handler.(*client)
		time.Sleep(time.Millisecond)
		if first == "whole" {
			conn.handler.Data([]byte(text[20:]))
			x.checkPace()
			require.Len(t, b.pushed, 1)
			b.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
			assert.Equal(t, 1, strings.Count(conn.out, "HTTP/1.1"))
			assert.Contains(t, conn.out, "HTTP/1.1 200 ")
			continue
		}
		x.checkPace()
		conn.handler.Data([]byte(text[20:]))
		assert.Empty(t, b.pushed)
		assert.Equal(t, 1, strings.Count(conn.out, "HTTP/1.1"))
		assert.Contains(t, conn.out, "HTTP/1.1 408 ")
		assert.True(t, conn.closed)
	}
}

// A worker that takes its request too slowly has not run it; one that dribbles a line of its answer may have.
func TestSlowWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		taken bool
		in    string
		ended bool
		want  decide.Status
	}{
		"takes nothing":         {false, "", true, decide.ConnectFailed},
		"is at work":            {true, "", false, 0},
		"is at work, started":   {true, `{"id":"9b","state":"started"}` + "\n", false, 0},
		"dribbles its line":     {true, `{"id":"9b","sta`, true, decide.Reset},
		"ends the line at last": {true, `{"id":"9b","state":"done","result":"x"}` + "\n", true, decide.Served},
	} {
		b := newHarness(t)
		b.removeGrace()
		b.client().handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
		conn := b.dialer.conn
		if !c.taken {
			conn.queued = 9
		}
		b.workers.Push(b.pushed[0])
		x := b.pushed[0].State.(*exchange)
		if c.taken {
			conn.done(Written)
			conn.handler.Data([]byte("HTTP/1.1 200 OK\r\n\r\n" + c.in))
		}
		time.Sleep(time.Millisecond)
		if x.paceTimer != nil {
			x.checkPace()
		}
		assert.Equal(t, c.ended, x.ended || x.finalLineSeen, name)
		if c.ended {
			assert.Equal(t, 1, b.engine.Counts.Outcomes[c.want], "%s: %s", name, &b.engine.Counts)
		}
	}
}

// A second job under the id of another would end in its answer, or run its work twice.
func TestCallIDsAreUsedOnce(t *testing.T) {
	b := newHarness(t)
	first, second := b.client(), b.client()
	first.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	second.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	assert.Contains(t, second.out, "HTTP/1.1 409 ")
	assert.Len(t, b.pushed, 1)
	b.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
	assert.Contains(t, first.out, "HTTP/1.1 200 ")
	second.out = ""
	second.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	assert.Contains(t, second.out, "HTTP/1.1 409 ", "just answered")
	for i := range 2 * maxRecentIDs {
		b.server.claimCallID(&client{}, fmt.Sprint(i))
		b.server.releaseRequest(&client{callID: fmt.Sprint(i)})
	}
	assert.Len(t, b.server.callIDs, maxRecentIDs)
	second.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	assert.Len(t, b.pushed, 2, "long ago")
}

// The next request waits until the answer before it has gone out: answers do not pile up for one who does not read.
func TestAnswersDoNotPileUp(t *testing.T) {
	b := newHarness(t)
	x := b.client()
	x.writeAtOnce = false
	for range 1000 {
		x.handler.Data([]byte("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"))
	}
	assert.Equal(t, 1, strings.Count(x.out, "HTTP/1.1 404"))
	for !x.closed {
		x.done(Written)
	}
	assert.Less(t, strings.Count(x.out, "HTTP/1.1 404"), 1000, "what came too far ahead is passed over, and that is the end")
	x = b.client()
	x.writeAtOnce = false
	x.handler.Data([]byte("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"))
	x.done(WriteUnknown)
	assert.True(t, x.closed, "half an answer may have gone out")
}

// Bodies together have a limit, whatever each may have: many large ones at once would fill a small memory.
func TestTotalBodyLimit(t *testing.T) {
	b := newHarness(t)
	l := pace.Defaults(100 << 10)
	l.PrefixBytes, l.PeerBytes = l.TotalBytes, l.TotalBytes
	b.server.Pace.SetLimits(l)
	half, large := b.client(), b.client()
	half.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 60<<10)))
	large.handler.Data([]byte(strings.Replace(requestHead, "9b", "9c", 1) + "X-Budget: 8000m\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 50<<10)))
	assert.Contains(t, large.out, "HTTP/1.1 503 ")
	assert.True(t, large.closed)
	half.handler.Data([]byte(strings.Repeat("x", 4<<10)))
	require.Len(t, b.pushed, 1)
	b.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
	assert.Zero(t, b.server.Pace.Counts().Bytes)
}

// Requests sent ahead wait for their turn and are answered in order.
func TestPipelining(t *testing.T) {
	b := newHarness(t)
	x := b.client()
	x.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\nGET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.Empty(t, x.out)
	b.pushed[0].End(decide.Served, []byte("one"), decide.Report{})
	assert.Equal(t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n", x.out)
}

// Where descriptors run short, the connection that has been idle longest is closed first.
func TestLongestIdleIsEvictedFirst(t *testing.T) {
	b := newHarness(t)
	conns := []*fakeConn{b.client(), b.client(), b.client(), b.client()}
	conns[0].handler.Data([]byte("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")) // just answered
	l := pace.Defaults(1 << 20)
	l.Fresh = 0
	b.server.Pace.SetLimits(l)
	assert.Equal(t, 2, b.server.EvictClients(2, false))
	for i, want := range []bool{false, true, true, false} {
		assert.Equal(t, want, conns[i].closed, i)
	}
}

// While the scheduler stops, it serves what comes, says that it is not ready, and each answer ends its connection.
func TestClosing(t *testing.T) {
	b := newHarness(t)
	busy, idle, half := b.client(), b.client(), b.client()
	busy.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	half.handler.Data([]byte("POST /a HT"))
	b.server.StartClosing()
	b.server.CloseIdle()
	assert.True(t, idle.closed)
	assert.False(t, busy.closed || half.closed, "one holds a request, on the other one is coming in")
	b.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
	assert.Contains(t, busy.out, "Connection: close\r\n")
	assert.True(t, busy.closed)
	late := b.client()
	late.handler.Data([]byte("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.Contains(t, late.out, "HTTP/1.1 503 ")
	b.server.RefuseNew()
	half.handler.Data([]byte("TP/1.1\r\n" + strings.Replace(requestHead[strings.Index(requestHead, "\n")+1:], "9b", "9c", 1) + "X-Budget: 8000m\r\n\r\n"))
	assert.Contains(t, half.out, "HTTP/1.1 503 ", "too late to be taken")
	assert.True(t, half.closed)
	assert.Len(t, b.pushed, 1)
}

// A watch is renewed from the version last heard; a failure is told at once, and the next call asks again.
func TestWatch(t *testing.T) {
	b := newHarness(t)
	conn := b.dialer.conn
	answer := func(body string) {
		conn.out = ""
		conn.handler.Data([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
	}
	b.discovery.Watch(true)
	assert.Contains(t, conn.out, "GET /api/targets?from=3&hold_ms=1 HTTP/1.1")
	answer(`{"index":5,"snapshot":false,"endpoints":[{"name":"z","address":"y:1","zone":"here","type":"box","status":"SERVING"}]}`)
	assert.Contains(t, conn.out, "from=5&hold_ms=8000")
	n := 0
	b.engine.EachReadyAddr(func(string) { n++ })
	assert.Equal(t, 2, n)
	answer(`{"index":6,"snapshot":true,"endpoints":[]}`)
	b.engine.EachReadyAddr(func(string) { n-- })
	assert.Equal(t, 2, n, "a whole list without them removes both")
	conn.out = ""
	conn.handler.Closed()
	assert.Empty(t, conn.out, "when to ask again is the module's decision")
	assert.Equal(t, 1, b.engine.Counts.ListFailed)
	b.discovery.Watch(true)
	assert.Contains(t, conn.out, "from=6&hold_ms=1 ")
}

// Another discovery has other indexes: until its whole list has come, calls name none, also after a failure.
// What the old one still says is not heard.
func TestMoveToAnotherDiscovery(t *testing.T) {
	b := newHarness(t)
	b.discovery.Watch(true)
	old := b.dialer.conn
	held := old.handler
	b.dialer.conn = &fakeConn{}
	b.discovery.Move("e")
	assert.True(t, old.closed)
	assert.Contains(t, b.dialer.conn.out, "GET /api/targets HTTP/1.1\r\nHost: e\r\n")
	held.Closed()
	held.Data([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	assert.Zero(t, b.engine.Counts.ListFailed)
	failed := b.dialer.conn
	failed.handler.Closed()
	assert.Equal(t, 1, b.engine.Counts.ListFailed)
	b.dialer.conn = &fakeConn{}
	b.discovery.Watch(true)
	assert.Contains(t, b.dialer.conn.out, "GET /api/targets HTTP/1.1\r\n")
	body := `{"index":1,"snapshot":true,"endpoints":[]}`
	b.dialer.conn.handler.Data([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
	assert.Contains(t, b.dialer.conn.out, "from=1&hold_ms=8000")
	n := 0
	b.engine.EachReadyAddr(func(string) { n++ })
	assert.Zero(t, n, "the old list is gone with its discovery")
}

func TestBudgets(t *testing.T) {
	for text, want := range map[string]time.Duration{"480m": 480 * time.Millisecond, "1500u": 1500 * time.Microsecond,
		"0.5m": 500 * time.Microsecond, "0m": 0, "": -1, "m": -1, "5": -1, "-5m": -1, "NaNm": -1, "5s": -1} {
		got, ok := parseBudget(text)
		assert.Equal(t, want >= 0, ok, text)
		if ok {
			assert.Equal(t, want, got, text)
		}
	}
	assert.Equal(t, "x", string(resultText("x", nil)))
	assert.Equal(t, `{"a":1}`, string(resultText(map[string]any{}, []byte(`{"result": {"a":1} }`))))
}

// Discovery that writes 1,150 lines a second, handles calls in turn, those too whose callers have gone after 2 s, and has 80
// schedulers that start with an empty list of 60 workers, of which 9 change each second. Without a cadence half of the
// first calls fail, and again as they come back together.
func TestCadenceWithManySchedulers(t *testing.T) {
	for nodes, maxFailedShare := range map[int]float64{80: 0.01, 8: 0, 1: 0} {
		const ms, workers, changes, lines = time.Millisecond, 60, 9, 1150
		rng := rand.New(rand.NewPCG(1, 2))
		cadences, nextCall, lastAnswer := make([]Cadence, nodes), make([]time.Duration, nodes), make([]time.Duration, nodes)
		for i := range cadences {
			cadences[i] = Cadence{Nodes: nodes, AskWithin: 10 * time.Second}
			nextCall[i], lastAnswer[i] = cadences[i].FirstDelay(rng.Float64()), -time.Hour
		}
		var busy, maxDelay time.Duration
		calls, failed := 0, 0
		for now := time.Duration(0); now < 30*time.Second; now += 10 * ms {
			changed := now / time.Second * time.Second
			for i := range cadences {
				if now < nextCall[i] {
					continue
				}
				calls++
				begins := max(busy, now)
				if lastAnswer[i] >= changed { // the call is held until the next change
					begins = max(busy, changed+time.Second+time.Duration(rng.IntN(300))*ms)
				} else {
					busy = begins
				}
				news := min(workers, changes*int((begins-lastAnswer[i])/time.Second+1))
				busy = max(busy, now) + time.Duration(news)*time.Second/lines
				if lastAnswer[i] < changed && busy-now > 2*time.Second {
					failed++
					cadences[i].Failed()
					nextCall[i] = now + 2*time.Second + cadences[i].NextDelay(rng.Float64())
					continue
				}
				answer := max(begins, busy)
				if now > 10*time.Second {
					maxDelay = max(maxDelay, answer-changed)
				}
				cadences[i].Answered(answer-now, lastAnswer[i] < changed)
				lastAnswer[i] = answer
				nextCall[i] = answer + cadences[i].NextDelay(rng.Float64())
			}
		}
		assert.LessOrEqual(t, float64(failed), maxFailedShare*float64(calls), "%d: of %d calls", nodes, calls)
		assert.LessOrEqual(t, maxDelay, 3*time.Second, "%d: a change not heard for long", nodes)
	}
}

// Pauses stay within what the settings count as silence, and are none for a few schedulers or no settings at all.
func TestCadenceBounds(t *testing.T) {
	assert.Less(t, agentTimeout+agentRetryDelay, 300*time.Millisecond, "what an agent gets counts as told at once, and a drain is obeyed 0.3 s later")
	for _, nodes := range []int{0, 1, 5, 80, 10000} {
		c := Cadence{Nodes: nodes, AskWithin: 10 * time.Second}
		assert.Less(t, c.FirstDelay(1), 9*time.Second)
		assert.LessOrEqual(t, c.NextDelay(1), 150*time.Millisecond, "a watch counts as standing for 200 ms")
		assert.Equal(t, nodes <= 5, c.NextDelay(1) == 0, nodes)
		for range 20 {
			c.Failed()
			assert.LessOrEqual(t, c.NextDelay(1), 20*time.Second)
			assert.Positive(t, c.NextDelay(1), "a failure is never answered by all at once")
		}
		assert.LessOrEqual(t, c.Hold(0), maxHold)
		assert.GreaterOrEqual(t, c.Hold(1), watchHold)
		assert.LessOrEqual(t, c.HoldSlack(), 1500*time.Millisecond, "what a silent watch misses counts as told 2 s after its hold")
		assert.LessOrEqual(t, c.CallTimeout(), callTimeout)
		few := Cadence{Nodes: min(nodes, 8), AskWithin: 10 * time.Second}
		for range 3 { // silence is no sign of a queue where few share discovery: no pause, and the next within the clock of 6 s
			few.TimedOut()
			assert.Zero(t, few.NextDelay(1))
			assert.LessOrEqual(t, few.CallTimeout(), time.Second)
			// A silent watch and a silent call after it, with the module's longest pause (decide.askLater), are over before a
			// drain that both have missed has to be obeyed: 2 s after the hold, and its grace of 0.3 s at least.
			pause := few.AskWithin / 16 * 5 / 4
			assert.Less(t, few.HoldSlack()+few.CallTimeout()+pause, 2300*time.Millisecond)
		}
	}
}

// Whatever discovery does instead of answering with a list: the last one stays in force, the failure is told once and
// the next call asks from the same version and after a longer pause. An address may change under a name.
func TestDiscoveryFaults(t *testing.T) {
	long := strings.Repeat("x", maxListBytes+1)
	for name, answer := range map[string]string{
		"503":              "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"a 404":            "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
		"half an answer":   "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"index\":9,\"snapshot\":true,\"endpo",
		"a truncated list": "HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"index\":9,\"snapshot\":true,\"endpoi",
		"not a list":       "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"not HTTP":         "hello\r\n\r\n",
		"an endless list":  fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(long), long),
		"nothing":          "",
	} {
		b := newHarness(t)
		b.discovery.Cadence = Cadence{Nodes: 80, AskWithin: 10 * time.Second}
		before := b.discovery.Cadence.NextDelay(0.5)
		b.discovery.Watch(true)
		conn := b.dialer.conn
		conn.handler.Data([]byte(answer))
		conn.handler.Closed()
		assert.Equal(t, 1, b.engine.Counts.ListFailed, name)
		assert.Greater(t, b.discovery.Cadence.NextDelay(0.5), before, name)
		addrs := map[string]bool{}
		b.engine.EachReadyAddr(func(addr string) { addrs[addr] = true })
		assert.Equal(t, map[string]bool{"x:1": true}, addrs, name)
		b.dialer.conn = &fakeConn{}
		b.discovery.Watch(true)
		assert.Contains(t, b.dialer.conn.out, "from=3&", name)
		body := `{"index":4,"endpoints":[{"name":"a","address":"x:2","zone":"here","type":"box","status":"SERVING"}]}`
		b.dialer.conn.handler.Data([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
		clear(addrs)
		b.engine.EachReadyAddr(func(addr string) { addrs[addr] = true })
		assert.Equal(t, map[string]bool{"x:2": true}, addrs, "%s: the address changed under the name", name)
	}
	b := newHarness(t)
	b.dialer.conn = nil // refused
	b.discovery.Watch(true)
	assert.Equal(t, 1, b.engine.Counts.ListFailed, "a refused dial")
}
