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

// fakeConn records what is written. Writes end when the test calls done.
type fakeConn struct {
	Conn
	handler     Handler
	out         string
	done        func(WriteResult)
	writeAtOnce bool // writes end at once
	closed      bool
	peerClosed  bool   // the peer has closed
	unread      bool   // data has arrived that the handler has not received
	queued      int    // bytes that the system does not accept
	inKernel    int    // bytes accepted by the system that the peer has not received
	from        string // address of the peer
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

// fakeDialer returns one connection, or none.
type fakeDialer struct {
	conn  *fakeConn
	kept  int
	fresh int // number of fresh connections requested
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

// harness is an engine whose loop does not run, so that everything happens during the calls of the test.
type harness struct {
	engine     *engine.Engine
	dialer     *fakeDialer
	server     *Server
	workers    *Workers
	discovery  *Discovery
	pushed     []*engine.Attempt
	probes     []*engine.Probe
	holdProbes bool // probes are recorded and not answered
}

// Push implements engine.Workers. It records attempts; probes are answered at once unless holdProbes is set.
func (h *harness) Push(a *engine.Attempt)   { h.pushed = append(h.pushed, a) }
func (h *harness) Cancel(a *engine.Attempt) { h.workers.Cancel(a) }

// Withdraw implements engine.Workers.
func (h *harness) Withdraw(a *engine.Attempt) bool { return h.workers.Withdraw(a) }
func (h *harness) Probe(p *engine.Probe) {
	if h.holdProbes {
		h.probes = append(h.probes, p)
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
		Nodes: 1, Zones: 1, CanProbe: true, CanCancel: true, MaxAttempts: 4, ColdFrom: 0.3, ColdSpan: 1e6, OverloadMultiple: 4,
		OverloadSpan: 1e6, Tick: 4000, MustAsk: true, AskWithin: 1e7, MaxRetryAfter: 1500000, Classes: []decide.Class{
			{Effect: decide.Safe, Aim: 2e6, Stretch: 2, Deadline: 9e6, Worth: 1, Kind: -1},
			{Effect: decide.Unsafe, Aim: 2e6, Stretch: 2, Deadline: 9e6, Worth: 1, Kind: -1}}}})
	require.NoError(t, err)
	harness := &harness{engine: e, dialer: &fakeDialer{conn: &fakeConn{}}, server: NewServer(NewService("", e, []string{"view", "send"}))}
	harness.workers = &Workers{Engine: e, Dialer: harness.dialer, Reports: testReports, Host: "app.svc"}
	harness.discovery = &Discovery{Engine: e, Dialer: harness.dialer, Addr: "d"}
	e.SetBackends(harness, harness.discovery)
	require.NoError(t, harness.discovery.LoadKnown([]byte(`{"index":3,"snapshot":true,"endpoints":[{"name":"a","address":"x:1",
		"zone":"here","type":"box","status":"SERVING","weight":1,"since_ms":0}]}`)))
	return harness
}

// client opens a client connection.
func (h *harness) client() *fakeConn {
	c := &fakeConn{writeAtOnce: true}
	h.server.Serve(c)
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

// Each worker response maps to a status. The client gets 200 with the result, 500 if the job may have run, and
// nothing yet if the request is retried.
func TestOutcomes(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	line := func(state string) string { return `{"id":"9b","state":"` + state + `","result":"a\"b"}` + "\n" }
	type ending int
	const (
		staysOpen ending = iota
		breaks
		writeIncomplete // the connection breaks, and the write was incomplete
		writeUnknown
	)
	for name, c := range map[string]struct {
		in   string
		end  ending
		want decide.Status
		kept int
	}{
		"done":                {ok + chunk(line("started")) + chunk(line("done")) + "0\r\n\r\n", staysOpen, decide.Served, 1},
		"done in pieces":      {ok + chunk(line("done")[:9]) + chunk(line("done")[9:]) + "0\r\n\r\n", staysOpen, decide.Served, 1},
		"no final newline":    {ok + chunk(strings.TrimSpace(line("done"))) + "0\r\n\r\n", staysOpen, decide.Served, 1},
		"done, then breaks":   {ok + chunk(line("done")), breaks, decide.Served, 0},
		"closes":              {"HTTP/1.1 200 OK\r\nConnection: close\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(line("done")) + "0\r\n\r\n", staysOpen, decide.Served, 0},
		"unknown state":       {ok + chunk(line("resting")) + chunk(line("done")) + "0\r\n\r\n", staysOpen, decide.Served, 1},
		"failed":              {ok + chunk(line("failed")) + "0\r\n\r\n", staysOpen, decide.Error, 1},
		"returned":            {ok + chunk(line("returned")) + "0\r\n\r\n", staysOpen, decide.Full, 1},
		"lost":                {ok + chunk(line("lost")) + "0\r\n\r\n", staysOpen, decide.Reset, 1},
		"500":                 {"HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", staysOpen, decide.Error, 1},
		"full":                {"HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", staysOpen, decide.Full, 1},
		"504, not started":    {"HTTP/1.1 504 No\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n", staysOpen, decide.Full, 1},
		"503 of the worker":   {"HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", staysOpen, decide.Error, 1},
		"no final line":       {ok + chunk(line("started")) + "0\r\n\r\n", staysOpen, decide.Reset, 1},
		"breaks":              {ok + chunk(line("started")), breaks, decide.Reset, 0},
		"breaks at once":      {"", breaks, decide.Reset, 0},
		"write incomplete":    {"", writeIncomplete, decide.ConnectFailed, 0},
		"write unknown":       {"", writeUnknown, decide.Reset, 0},
		"not HTTP":            {"hello\r\n\r\n", staysOpen, decide.Reset, 0},
		"not JSON":            {ok + chunk("{oops\n"), staysOpen, decide.Reset, 0},
		"line of another job": {ok + chunk(`{"id":"zz","state":"done","result":"x"}`+"\n"), staysOpen, decide.Reset, 0},
		"too long a line":     {ok + chunk(strings.Repeat("x", maxLineBytes+1)), staysOpen, decide.Reset, 0},
	} {
		for _, size := range []int{1 << 20, 1} {
			harness := newHarness(t)
			client := harness.client()
			client.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\nContent-Length: 2\r\n\r\nhi"))
			require.Len(t, harness.pushed, 1, name)
			harness.workers.Push(harness.pushed[0])
			conn := harness.dialer.conn
			assert.True(t, strings.HasPrefix(conn.out, "POST /api/7?q=1 HTTP/1.1\r\n"), name)
			assert.Contains(t, conn.out, "X-Call-Id: 9b\r\n")
			assert.Contains(t, conn.out, "Idempotency-Key: k\r\n")
			assert.True(t, strings.HasSuffix(conn.out, "Content-Length: 2\r\n\r\nhi"), name)
			switch c.end {
			case writeIncomplete, writeUnknown:
				conn.handler.Closed()
				conn.done(map[ending]WriteResult{writeIncomplete: WriteIncomplete, writeUnknown: WriteUnknown}[c.end])
				if c.end == writeIncomplete { // nor on its second connection
					conn.done(WriteIncomplete)
				}
			default:
				conn.done(Written)
				feedInPieces(func(p []byte) { conn.handler.Data(p) }, c.in, size)
				if c.end == breaks {
					conn.handler.Closed()
				}
			}
			assert.Equal(t, 1, harness.engine.Counts.Outcomes[c.want], "%s in pieces of %d: %s", name, size, harness.engine.Counts.String())
			assert.Equal(t, c.kept, harness.dialer.kept, "%s: connections kept", name)
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

// An attempt is not sent if its client disconnects or its worker drains or leaves during the dial.
func TestSendableIsCheckedAfterDial(t *testing.T) {
	for name, duringDial := range map[string]func(harness *harness, c *fakeConn){
		"client gone": func(harness *harness, c *fakeConn) { c.handler.Closed() },
		"worker drains": func(harness *harness, c *fakeConn) {
			harness.engine.Announce(decide.ListDelta, []engine.Entry{{Name: "a", State: decide.Draining}})
		},
		"worker gone": func(harness *harness, c *fakeConn) { harness.engine.Announce(decide.ListFull, nil) },
	} {
		harness := newHarness(t)
		client := harness.client()
		client.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\nContent-Length: 0\r\n\r\n"))
		require.Len(t, harness.pushed, 1, name)
		duringDial(harness, client)
		harness.workers.Push(harness.pushed[0])
		assert.Empty(t, harness.dialer.conn.out, name)
	}
}

// The load report of a probe is read under both names of its fields. Probes without OnBody once lost all of them.
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
		harness := newHarness(t)
		harness.holdProbes = true
		harness.client().handler.Data([]byte(requestHead + "X-Budget: 8000m\r\nContent-Length: 0\r\n\r\n"))
		require.Len(t, harness.probes, 1, name)
		harness.workers.Probe(harness.probes[0])
		assert.Equal(t, "GET /-/load HTTP/1.1\r\nHost: app.svc\r\n\r\n", harness.dialer.conn.out, name)
		harness.dialer.conn.done(Written)
		x := harness.dialer.conn.handler.(*exchange)
		feedInPieces(x.Data, "HTTP/1.1 "+c.in, 1)
		assert.Equal(t, 1, harness.engine.Counts.Probes[c.want], name)
		assert.Equal(t, c.has, x.report.Has, name)
	}
}

// A dead idle connection once made a worker lose its share of jobs, and failed a job that must not run twice. What
// can't have had an effect is retried once on a fresh connection, and a job that must not run twice never uses an
// idle connection.
func TestDeadConnections(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n" + `{"x0":3.5}`
	for name, c := range map[string]struct {
		first, second func(c *fakeConn)
		want          decide.Status
		dials         int
	}{
		"answers":              {func(c *fakeConn) { c.handler.Data([]byte(ok)) }, nil, decide.Served, 0},
		"breaks once":          {func(c *fakeConn) { c.handler.Closed() }, func(c *fakeConn) { c.handler.Data([]byte(ok)) }, decide.Served, 1},
		"breaks twice":         {func(c *fakeConn) { c.handler.Closed() }, func(c *fakeConn) { c.handler.Closed() }, decide.Reset, 1},
		"breaks in the answer": {func(c *fakeConn) { c.handler.Data([]byte(ok[:20])); c.handler.Closed() }, nil, decide.Reset, 0},
		"silent":               {func(c *fakeConn) { c.handler.(*exchange).retryOnFreshConn() }, func(c *fakeConn) { c.handler.Data([]byte(ok)) }, decide.Served, 1},
		"write unknown":        {func(c *fakeConn) { c.done(WriteUnknown) }, func(c *fakeConn) { c.handler.Data([]byte(ok)) }, decide.Served, 1},
		"write incomplete":     {func(c *fakeConn) { c.done(WriteIncomplete) }, func(c *fakeConn) { c.done(WriteIncomplete) }, decide.ConnectFailed, 1},
	} {
		harness := newHarness(t)
		harness.holdProbes = true
		harness.client().handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
		require.Len(t, harness.probes, 1)
		harness.workers.Probe(harness.probes[0])
		for _, step := range []func(*fakeConn){c.first, c.second} {
			if step != nil {
				conn := &fakeConn{}
				*conn = *harness.dialer.conn
				harness.dialer.conn = &fakeConn{}
				if !strings.HasPrefix(name, "write") {
					conn.done(Written)
				}
				step(conn)
			}
		}
		assert.Equal(t, 1, harness.engine.Counts.Probes[c.want], "%s: %s", name, harness.engine.Counts.String())
		assert.Equal(t, c.dials, harness.dialer.fresh, name)
	}
	for class, fresh := range map[string]int{"view": 0, "send": 1} {
		harness := newHarness(t)
		harness.client().handler.Data([]byte(strings.ReplaceAll(requestHead, "send", class) + "X-Budget: 8000m\r\n\r\n"))
		require.Len(t, harness.pushed, 1)
		harness.workers.Push(harness.pushed[0])
		assert.Equal(t, fresh, harness.dialer.fresh, class)
	}
}

// A worker that does not answer holds only a few probe connections, and one answer serves all probes that wait for
// it.
func TestProbesOfOneWorkerShareAnswers(t *testing.T) {
	harness := newHarness(t)
	harness.holdProbes = true
	for range 10 {
		harness.client().handler.Data([]byte(strings.Replace(requestHead, "9b", fmt.Sprint(len(harness.probes)), 1) + "X-Budget: 8000m\r\n\r\n"))
	}
	n := len(harness.probes)
	require.Greater(t, n, maxConcurrentProbes+1)
	harness.dialer.conn = nil // the dial fails, but later
	var ready []func(Conn)
	harness.workers.Dialer = manualDialer(func(f func(Conn)) { ready = append(ready, f) })
	for _, p := range harness.probes {
		harness.workers.Probe(p)
	}
	assert.Len(t, ready, maxConcurrentProbes)
	ready[0](nil)
	assert.Equal(t, 1, harness.engine.Counts.Probes[decide.ConnectFailed])
	for _, f := range ready[1:] {
		f(nil)
	}
	assert.Equal(t, n, harness.engine.Counts.Probes[decide.ConnectFailed])
	assert.Empty(t, harness.workers.pendingProbes)
}

// manualDialer is a dialer that gives connections when the test calls ready.
type manualDialer func(func(Conn))

func (d manualDialer) Get(_ string, _ bool, ready func(Conn)) func() { d(ready); return func() {} }
func (d manualDialer) Put(string, Conn)                              {}

// Invalid requests get the right status, and the connection stays open or is closed as needed.
func TestBadRequests(t *testing.T) {
	for name, c := range map[string]struct {
		in     string
		status int
		closed bool
	}{
		"ready":         {"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n", 200, false},
		"stats":         {"GET /-/stats HTTP/1.1\r\nHost: a\r\n\r\n", 200, false},
		"unknown path":  {"GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n", 404, false},
		"internal path": {"POST /-/x HTTP/1.1\r\nHost: a\r\nContent-Length: 0\r\n\r\n", 404, false},
		"HEAD":          {"HEAD / HTTP/1.1\r\nHost: a\r\n\r\n", 404, true},
		"malformed":     {"nonsense\r\n\r\n", 400, true},
		"too large":     {"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 99999\r\n\r\n", 413, true},
		"long head":     {"GET / HTTP/1.1\r\nHost: a\r\nA: " + strings.Repeat("x", 20000), 431, true},
		"unknown class": {"POST /a HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\nX-Call-Class: x\r\nX-Budget: 5m\r\n\r\n", 400, false},
		"no budget":     {requestHead + "\r\n", 400, false},
		"bad budget":    {requestHead + "X-Budget: 5s\r\n\r\n", 400, false},
		"huge budget":   {requestHead + "X-Budget: 1e300m\r\n\r\n", 400, false},
		"no id":         {"POST /a HTTP/1.1\r\nHost: a\r\nX-Call-Class: send\r\nX-Budget: 5m\r\n\r\n", 400, false},
		"id twice":      {requestHead + "X-Call-Id: 9c\r\nX-Budget: 5m\r\n\r\n", 400, false},
		"budget twice":  {requestHead + "X-Budget: 5m\r\nX-Budget: 5m\r\n\r\n", 400, false},
		"id not ASCII":  {"POST /a HTTP/1.1\r\nHost: a\r\nX-Call-Id: \xff\r\nX-Call-Class: send\r\nX-Budget: 5m\r\n\r\n", 400, false},
		"too late":      {requestHead + "X-Budget: 5m\r\n\r\n", 503, false},
	} {
		for _, size := range []int{1 << 20, 1} {
			harness := newHarness(t)
			conn := harness.client()
			feedInPieces(conn.handler.Data, c.in, size)
			assert.True(t, strings.HasPrefix(conn.out, fmt.Sprintf("HTTP/1.1 %d ", c.status)), "%s: %s", name, conn.out)
			assert.Equal(t, 1, strings.Count(conn.out, "HTTP/1.1"), name)
			assert.Equal(t, c.closed, conn.closed, name)
			assert.Zero(t, harness.engine.OpenRequests(), name)
		}
	}
	harness := newHarness(t)
	x := harness.client()
	x.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\nContent-Length: 2\r\n\r\nhi there"))
	assert.Contains(t, x.out, "HTTP/1.1 400 ", "the request's length is in doubt")
	assert.True(t, x.closed)
	assert.Empty(t, harness.pushed, "no part of it is passed on")
	x = harness.client()
	x.handler.Data([]byte(requestHead + "X-Budget: 5m\r\n\r\n"))
	assert.Contains(t, x.out, "Retry-After: 1.500\r\n", "the longest wait that the settings allow")
}

// Hundreds of silent clients once displaced active clients and the connections to workers. Silent clients are evicted
// first, except new ones, whose first request may still be on its way.
func TestUnprovenClientsAreEvictedFirst(t *testing.T) {
	harness := newHarness(t)
	silent, asked, working, newcomer := harness.client(), harness.client(), harness.client(), harness.client()
	asked.handler.Data([]byte("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"))
	working.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	harness.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
	closed := func() (out []bool) {
		for _, c := range []*fakeConn{silent, asked, working, newcomer} {
			out = append(out, c.closed)
		}
		return out
	}
	l := pace.Defaults(1 << 20)
	l.NewPeerGrace = 1 << 40
	harness.server.Pace.SetLimits(l)
	assert.Zero(t, harness.server.EvictClients(9, true))
	assert.Equal(t, 1, harness.server.EvictClients(1, false))
	assert.Equal(t, []bool{false, false, true, false}, closed())
	l.NewPeerGrace = 0
	harness.server.Pace.SetLimits(l)
	assert.Equal(t, 3, harness.server.EvictClients(9, true))
	assert.Equal(t, []bool{true, true, true, true}, closed())
}

// removeGrace gives clients and workers no time at all from now on.
func (h *harness) removeGrace() {
	l := pace.Defaults(1 << 20)
	l.In = pace.Rate{Least: 1, Ceiling: 1}
	l.Out = l.In
	h.server.Pace.SetLimits(l)
	h.workers.Pace = l.In
}

// A client gets an answer or is closed soon after it connects, even if its request is incomplete. No pace is required
// between requests or while a job is open.
func TestSlowClients(t *testing.T) {
	harness := newHarness(t)
	harness.removeGrace()
	silent, half, working := harness.client(), harness.client(), harness.client()
	half.handler.Data([]byte("POST /api HTTP/1.1\r\nHost: a\r\nX-Ca"))
	for _, c := range []*fakeConn{silent, half} { // the unread data may complete the request
		c.unread = true
		time.Sleep(time.Millisecond)
		c.handler.(*client).checkPace()
		assert.False(t, c.closed)
		assert.NotNil(t, c.handler.(*client).paceTimer, "another check is scheduled")
		c.unread = false
	}
	time.Sleep(60 * time.Millisecond)
	working.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	workingClient := working.handler.(*client)
	for _, c := range []*fakeConn{silent, half, working} {
		time.Sleep(time.Millisecond)
		c.handler.(*client).checkPace() // as the timer would
	}
	assert.True(t, silent.closed)
	assert.Empty(t, silent.out)
	assert.True(t, half.closed)
	assert.Contains(t, half.out, "HTTP/1.1 408 ")
	assert.False(t, working.closed)
	harness.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
	workingClient.checkPace()
	assert.False(t, working.closed)
	assert.Equal(t, pace.Never, workingClient.peer.NextCheck(harness.engine.Now()), "no pace is required between requests")
	assert.Nil(t, workingClient.paceTimer)
	assert.Equal(t, 1, harness.server.Pace.Counts().Peers)
}

// A client that does not read its answer is closed; the request counts as served and is not retried.
func TestSlowReaders(t *testing.T) {
	for name, c := range map[string]struct {
		queued, inKernel int
		closed           bool
	}{"all received": {0, 0, false}, "queued in the system": {0, 9, true}, "queued here": {9, 9, true}} {
		harness := newHarness(t)
		harness.removeGrace()
		conn := harness.client()
		conn.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
		x := conn.handler.(*client)
		conn.queued, conn.inKernel, conn.writeAtOnce = c.queued, c.inKernel, c.queued == 0
		harness.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
		assert.GreaterOrEqual(t, harness.server.Pace.Counts().Bytes, c.queued, name)
		time.Sleep(time.Millisecond)
		x.checkPace()
		assert.Equal(t, c.closed, conn.closed, name)
		assert.Equal(t, 1, harness.engine.Counts.Served, name)
		assert.Len(t, harness.pushed, 1, "%s: not retried", name)
		if c.closed {
			assert.Equal(t, 1, harness.server.Pace.Counts().CutOut, name)
			assert.Zero(t, harness.server.Pace.Counts().Bytes, name)
		}
	}
}

// A request that becomes complete while its sender is being cut becomes a job with one answer, or no job at all.
func TestRequestCompletesAsClientIsCut(t *testing.T) {
	for _, first := range []string{"cut", "whole"} {
		harness := newHarness(t)
		harness.removeGrace()
		conn := harness.client()
		text := requestHead + "X-Budget: 8000m\r\n\r\n"
		conn.handler.Data([]byte(text[:20]))
		clientState := conn.handler.(*client)
		time.Sleep(time.Millisecond)
		if first == "whole" {
			conn.handler.Data([]byte(text[20:]))
			clientState.checkPace()
			require.Len(t, harness.pushed, 1)
			harness.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
			assert.Equal(t, 1, strings.Count(conn.out, "HTTP/1.1"))
			assert.Contains(t, conn.out, "HTTP/1.1 200 ")
			continue
		}
		clientState.checkPace()
		conn.handler.Data([]byte(text[20:]))
		assert.Empty(t, harness.pushed)
		assert.Equal(t, 1, strings.Count(conn.out, "HTTP/1.1"))
		assert.Contains(t, conn.out, "HTTP/1.1 408 ")
		assert.True(t, conn.closed)
	}
}

// A worker that reads its request too slowly has not run the job; one that writes a line of its response too slowly
// may have.
func TestSlowWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		requestSent bool
		in          string
		ended       bool
		want        decide.Status
	}{
		"reads nothing":            {false, "", true, decide.ConnectFailed},
		"runs the job":             {true, "", false, 0},
		"runs the job, started":    {true, `{"id":"9b","state":"started"}` + "\n", false, 0},
		"writes a line too slowly": {true, `{"id":"9b","sta`, true, decide.Reset},
		"completes the line":       {true, `{"id":"9b","state":"done","result":"x"}` + "\n", true, decide.Served},
	} {
		harness := newHarness(t)
		harness.removeGrace()
		harness.client().handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
		conn := harness.dialer.conn
		if !c.requestSent {
			conn.queued = 9
		}
		harness.workers.Push(harness.pushed[0])
		exchange := harness.pushed[0].State.(*exchange)
		if c.requestSent {
			conn.done(Written)
			conn.handler.Data([]byte("HTTP/1.1 200 OK\r\n\r\n" + c.in))
		}
		time.Sleep(time.Millisecond)
		if exchange.paceTimer != nil {
			exchange.checkPace()
		}
		assert.Equal(t, c.ended, exchange.ended || exchange.finalLineSeen, name)
		if c.ended {
			assert.Equal(t, 1, harness.engine.Counts.Outcomes[c.want], "%s: %s", name, &harness.engine.Counts)
		}
	}
}

// A second job with the call ID of another could get the other job's answer or run its work twice.
func TestCallIDsAreUsedOnce(t *testing.T) {
	harness := newHarness(t)
	first, second := harness.client(), harness.client()
	first.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	second.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	assert.Contains(t, second.out, "HTTP/1.1 409 ")
	assert.Len(t, harness.pushed, 1)
	harness.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
	assert.Contains(t, first.out, "HTTP/1.1 200 ")
	second.out = ""
	second.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	assert.Contains(t, second.out, "HTTP/1.1 409 ", "answered recently")
	for i := range 2 * maxRecentIDs {
		harness.server.claimCallID(&client{}, fmt.Sprint(i))
		harness.server.releaseRequest(&client{callID: fmt.Sprint(i)})
	}
	assert.Len(t, harness.server.callIDs, maxRecentIDs)
	second.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	assert.Len(t, harness.pushed, 2, "no longer remembered")
}

// The next request waits until the answer before it has been sent, so answers do not accumulate for a client that
// does not read.
func TestAnswersDoNotPileUp(t *testing.T) {
	harness := newHarness(t)
	x := harness.client()
	x.writeAtOnce = false
	for range 1000 {
		x.handler.Data([]byte("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"))
	}
	assert.Equal(t, 1, strings.Count(x.out, "HTTP/1.1 404"))
	for !x.closed {
		x.done(Written)
	}
	assert.Less(t, strings.Count(x.out, "HTTP/1.1 404"), 1000, "data beyond the pipelining limit is dropped and the connection is closed")
	x = harness.client()
	x.writeAtOnce = false
	x.handler.Data([]byte("GET /nowhere HTTP/1.1\r\nHost: a\r\n\r\n"))
	x.done(WriteUnknown)
	assert.True(t, x.closed, "part of the answer may have been sent")
}

// All request bodies together have a limit, because many large ones could exhaust the memory.
func TestTotalBodyLimit(t *testing.T) {
	harness := newHarness(t)
	l := pace.Defaults(100 << 10)
	l.PrefixBytes, l.PeerBytes = l.TotalBytes, l.TotalBytes
	harness.server.Pace.SetLimits(l)
	half, large := harness.client(), harness.client()
	half.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 60<<10)))
	large.handler.Data([]byte(strings.Replace(requestHead, "9b", "9c", 1) + "X-Budget: 8000m\r\nContent-Length: 65536\r\n\r\n" + strings.Repeat("x", 50<<10)))
	assert.Contains(t, large.out, "HTTP/1.1 503 ")
	assert.True(t, large.closed)
	half.handler.Data([]byte(strings.Repeat("x", 4<<10)))
	require.Len(t, harness.pushed, 1)
	harness.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
	assert.Zero(t, harness.server.Pace.Counts().Bytes)
}

// Pipelined requests are answered one after another, in order.
func TestPipelining(t *testing.T) {
	harness := newHarness(t)
	x := harness.client()
	x.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\nGET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.Empty(t, x.out)
	harness.pushed[0].End(decide.Served, []byte("one"), decide.Report{})
	assert.Equal(t, "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\noneHTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nready\n", x.out)
}

// If descriptors run short, the connection that has been idle longest is closed first.
func TestLongestIdleIsEvictedFirst(t *testing.T) {
	harness := newHarness(t)
	conns := []*fakeConn{harness.client(), harness.client(), harness.client(), harness.client()}
	conns[0].handler.Data([]byte("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n")) // just answered
	l := pace.Defaults(1 << 20)
	l.NewPeerGrace = 0
	harness.server.Pace.SetLimits(l)
	assert.Equal(t, 2, harness.server.EvictClients(2, false))
	for i, want := range []bool{false, true, true, false} {
		assert.Equal(t, want, conns[i].closed, i)
	}
}

// During a shutdown the scheduler still serves requests, reports that it is not ready, and closes each connection
// after its answer.
func TestClosing(t *testing.T) {
	harness := newHarness(t)
	busy, idle, half := harness.client(), harness.client(), harness.client()
	busy.handler.Data([]byte(requestHead + "X-Budget: 8000m\r\n\r\n"))
	half.handler.Data([]byte("POST /a HT"))
	harness.server.StartClosing()
	harness.server.CloseIdle()
	assert.True(t, idle.closed)
	assert.False(t, busy.closed || half.closed, "one has an open request, the other is receiving one")
	harness.pushed[0].End(decide.Served, []byte("x"), decide.Report{})
	assert.Contains(t, busy.out, "Connection: close\r\n")
	assert.True(t, busy.closed)
	late := harness.client()
	late.handler.Data([]byte("GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n"))
	assert.Contains(t, late.out, "HTTP/1.1 503 ")
	harness.server.RefuseNew()
	half.handler.Data([]byte("TP/1.1\r\n" + strings.Replace(requestHead[strings.Index(requestHead, "\n")+1:], "9b", "9c", 1) + "X-Budget: 8000m\r\n\r\n"))
	assert.Contains(t, half.out, "HTTP/1.1 503 ", "complete too late to be accepted")
	assert.True(t, half.closed)
	assert.Len(t, harness.pushed, 1)
}

// A watch is renewed from the last index received. A failure is reported at once, and the next call uses the same
// index.
func TestWatch(t *testing.T) {
	harness := newHarness(t)
	conn := harness.dialer.conn
	answer := func(body string) {
		conn.out = ""
		conn.handler.Data([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
	}
	harness.discovery.Watch(true)
	assert.Contains(t, conn.out, "GET /api/targets?from=3&hold_ms=1 HTTP/1.1")
	answer(`{"index":5,"snapshot":false,"endpoints":[{"name":"z","address":"y:1","zone":"here","type":"box","status":"SERVING"}]}`)
	assert.Contains(t, conn.out, "from=5&hold_ms=8000")
	n := 0
	harness.engine.EachReadyAddr(func(string) { n++ })
	assert.Equal(t, 2, n)
	answer(`{"index":6,"snapshot":true,"endpoints":[]}`)
	harness.engine.EachReadyAddr(func(string) { n-- })
	assert.Equal(t, 2, n, "a whole list without the two workers removes them")
	conn.out = ""
	conn.handler.Closed()
	assert.Empty(t, conn.out, "the dispatcher decides when to call again")
	assert.Equal(t, 1, harness.engine.Counts.ListFailed)
	harness.discovery.Watch(true)
	assert.Contains(t, conn.out, "from=6&hold_ms=1 ")
}

// Another discovery has other indexes, so calls to it name none until its whole list has arrived, even after a
// failure. The old discovery's answers are ignored.
func TestMoveToAnotherDiscovery(t *testing.T) {
	harness := newHarness(t)
	harness.discovery.Watch(true)
	old := harness.dialer.conn
	held := old.handler
	harness.dialer.conn = &fakeConn{}
	harness.discovery.Move("e")
	assert.True(t, old.closed)
	assert.Contains(t, harness.dialer.conn.out, "GET /api/targets HTTP/1.1\r\nHost: e\r\n")
	held.Closed()
	held.Data([]byte("HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"))
	assert.Zero(t, harness.engine.Counts.ListFailed)
	failed := harness.dialer.conn
	failed.handler.Closed()
	assert.Equal(t, 1, harness.engine.Counts.ListFailed)
	harness.dialer.conn = &fakeConn{}
	harness.discovery.Watch(true)
	assert.Contains(t, harness.dialer.conn.out, "GET /api/targets HTTP/1.1\r\n")
	body := `{"index":1,"snapshot":true,"endpoints":[]}`
	harness.dialer.conn.handler.Data([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
	assert.Contains(t, harness.dialer.conn.out, "from=1&hold_ms=8000")
	n := 0
	harness.engine.EachReadyAddr(func(string) { n++ })
	assert.Zero(t, n, "the workers of the old discovery are removed")
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

// 80 schedulers start with an empty list of 60 workers, of which 9 change each second. Discovery writes 1,150 lines a
// second and handles calls one after another, including those whose callers have timed out after 2 s. Without the
// cadence half of the first calls fail, and again when all are repeated together.
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
				changedLines := min(workers, changes*int((begins-lastAnswer[i])/time.Second+1))
				busy = max(busy, now) + time.Duration(changedLines)*time.Second/lines
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
		assert.LessOrEqual(t, float64(failed), maxFailedShare*float64(calls), "%d schedulers: failed of %d calls", nodes, calls)
		assert.LessOrEqual(t, maxDelay, 3*time.Second, "%d schedulers: longest time until a change arrives", nodes)
	}
}

// Delays stay within the limits that follow from the settings, and are 0 for a few schedulers or for no settings at
// all.
func TestCadenceBounds(t *testing.T) {
	assert.Less(t, agentTimeout+agentRetryDelay, 300*time.Millisecond, "what an agent receives counts as delivered at once, and a drain must be obeyed 0.3 s later")
	for _, nodes := range []int{0, 1, 5, 80, 10000} {
		c := Cadence{Nodes: nodes, AskWithin: 10 * time.Second}
		assert.Less(t, c.FirstDelay(1), 9*time.Second)
		assert.LessOrEqual(t, c.NextDelay(1), 150*time.Millisecond, "a watch counts as open for 200 ms")
		assert.Equal(t, nodes <= 5, c.NextDelay(1) == 0, nodes)
		for range 20 {
			c.Failed()
			assert.LessOrEqual(t, c.NextDelay(1), 20*time.Second)
			assert.Positive(t, c.NextDelay(1), "not all schedulers repeat a failed call at once")
		}
		assert.LessOrEqual(t, c.Hold(0), maxHold)
		assert.GreaterOrEqual(t, c.Hold(1), watchHold)
		assert.LessOrEqual(t, c.HoldSlack(), 1500*time.Millisecond, "what a watch misses counts as delivered 2 s after its hold")
		assert.LessOrEqual(t, c.CallTimeout(), callTimeout)
		few := Cadence{Nodes: min(nodes, 8), AskWithin: 10 * time.Second}
		for range 3 { // if few share discovery, a timeout does not indicate a queue: no delay, and the next call within the limit of 6 s
			few.TimedOut()
			assert.Zero(t, few.NextDelay(1))
			assert.LessOrEqual(t, few.CallTimeout(), time.Second)
			// A watch without an answer and a call without an answer after it, with the dispatcher's longest pause
			// (decide.scheduleWatch), end before a drain that both have missed must be obeyed: 2 s after the hold plus its
			// grace of at least 0.3 s.
			pause := few.AskWithin / 16 * 5 / 4
			assert.Less(t, few.HoldSlack()+few.CallTimeout()+pause, 2300*time.Millisecond)
		}
	}
}

// Whatever discovery answers instead of a list, the last list stays in force, the failure is reported once, and the
// next call uses the same index after a longer delay. A worker's address may change under its name.
func TestDiscoveryFaults(t *testing.T) {
	longBody := strings.Repeat("x", maxListBytes+1)
	for name, answer := range map[string]string{
		"503":             "HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n",
		"status 404":      "HTTP/1.1 404 Not Found\r\nContent-Length: 2\r\n\r\n{}",
		"partial answer":  "HTTP/1.1 200 OK\r\nContent-Length: 90\r\n\r\n{\"index\":9,\"snapshot\":true,\"endpo",
		"truncated list":  "HTTP/1.1 200 OK\r\nContent-Length: 34\r\n\r\n{\"index\":9,\"snapshot\":true,\"endpoi",
		"not a list":      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
		"not HTTP":        "hello\r\n\r\n",
		"too long a list": fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(longBody), longBody),
		"nothing":         "",
	} {
		harness := newHarness(t)
		harness.discovery.Cadence = Cadence{Nodes: 80, AskWithin: 10 * time.Second}
		before := harness.discovery.Cadence.NextDelay(0.5)
		harness.discovery.Watch(true)
		conn := harness.dialer.conn
		conn.handler.Data([]byte(answer))
		conn.handler.Closed()
		assert.Equal(t, 1, harness.engine.Counts.ListFailed, name)
		assert.Greater(t, harness.discovery.Cadence.NextDelay(0.5), before, name)
		addrs := map[string]bool{}
		harness.engine.EachReadyAddr(func(addr string) { addrs[addr] = true })
		assert.Equal(t, map[string]bool{"x:1": true}, addrs, name)
		harness.dialer.conn = &fakeConn{}
		harness.discovery.Watch(true)
		assert.Contains(t, harness.dialer.conn.out, "from=3&", name)
		body := `{"index":4,"endpoints":[{"name":"a","address":"x:2","zone":"here","type":"box","status":"SERVING"}]}`
		harness.dialer.conn.handler.Data([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)))
		clear(addrs)
		harness.engine.EachReadyAddr(func(addr string) { addrs[addr] = true })
		assert.Equal(t, map[string]bool{"x:2": true}, addrs, "%s: the address changed under the name", name)
	}
	harness := newHarness(t)
	harness.dialer.conn = nil // the dial is refused
	harness.discovery.Watch(true)
	assert.Equal(t, 1, harness.engine.Counts.ListFailed, "dial refused")
}
