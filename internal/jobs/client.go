package jobs

import (
	"cmp"
	"errors"
	"hash/fnv"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	"weldscale/decide"
	"weldscale/internal/engine"
	"weldscale/internal/http1"
)

// This file owns the clients' side: from bytes to a request of the engine, and from its answer to bytes. It
// must answer each request whole and once, and must never close a connection that holds an accepted one.

const (
	maxAhead  = 16 << 10         // bytes that a client may send ahead of its answer
	sentAgo   = time.Millisecond // about what a request is on its way: its budget counts from its sending
	maxBudget = 24 * time.Hour
	maxSlots  = 1 << 20
	slowest   = 20 * time.Second // for a request to come in whole
)

// Server makes requests of what clients send.
type Server struct {
	Engine  *engine.Engine
	Classes map[string]int
	// Ready tells whether the front may send clients here.
	Ready func() bool
	// Stats is the text of the counters.
	Stats func() string

	closing bool
	idle    map[*client]struct{} // connections between two requests
	turn    uint64               // counts the times that one became so
}

// NewServer returns a server of the engine's requests; the classes are named in the order of the settings.
func NewServer(e *engine.Engine, classes []string) *Server {
	s := &Server{Engine: e, Classes: map[string]int{}, Ready: e.Ready, Stats: e.Counts.String,
		idle: map[*client]struct{}{}}
	for i, name := range classes {
		s.Classes[name] = i
	}
	return s
}

// Serve takes over a new connection of a client.
func (s *Server) Serve(c Conn) {
	x := &client{s: s, conn: c, parser: http1.NewRequestParser()}
	s.rest(x)
	c.SetHandler(x)
}

// Closing makes every answer from here on its connection's last.
func (s *Server) Closing() { s.closing = true }

// CloseIdle closes up to n connections that are between two requests, the longest idle first, and returns how
// many. On one that has just come or just been answered the next request may be on its way.
func (s *Server) CloseIdle(n int) int {
	var idle []*client
	for x := range s.idle {
		if x.parser.Idle() {
			idle = append(idle, x)
		}
	}
	slices.SortFunc(idle, func(a, b *client) int { return cmp.Compare(a.since, b.since) })
	idle = idle[:min(n, len(idle))]
	for _, x := range idle {
		delete(s.idle, x)
		x.conn.Close()
	}
	return len(idle)
}

func (s *Server) rest(x *client) {
	s.turn++
	x.since = s.turn
	s.idle[x] = struct{}{}
}

// client is one connection. It holds one request at a time; what comes ahead of an answer waits.
type client struct {
	s         *Server
	conn      Conn
	parser    *http1.Parser
	ahead     []byte
	request   *engine.Request
	busy      bool // a request is in hand
	over      bool
	keepAlive bool
	continued bool
	since     uint64        // the server's turn when it last became idle
	slow      *engine.Timer // runs while a request is coming in
}

// Data implements Handler.
func (x *client) Data(b []byte) {
	if x.over {
		return
	}
	if x.busy {
		if len(x.ahead)+len(b) > maxAhead {
			// Nothing that is in hand may be lost: the answer comes, then the connection ends.
			x.keepAlive = false
			return
		}
		x.ahead = append(x.ahead, b...)
		return
	}
	for len(b) > 0 && !x.busy && !x.over {
		n, whole, err := x.parser.Feed(b)
		b = b[n:]
		if err != nil {
			x.reject(err)
			return
		}
		if whole {
			x.ahead = append(x.ahead, b...)
			b = nil
			x.take()
			continue
		}
		if x.slow == nil {
			x.slow = x.s.Engine.After(slowest, x.tooSlow)
		}
		if x.parser.HeadDone() && !x.continued && strings.EqualFold(x.parser.Msg.Get("expect"), "100-continue") {
			x.continued = true
			x.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil)
		}
	}
}

// tooSlow ends a connection whose request does not get on: half requests must not hold descriptors for good.
func (x *client) tooSlow() {
	if !x.over && !x.busy {
		x.over = true
		delete(x.s.idle, x)
		x.conn.Close()
	}
}

// Closed implements Handler.
func (x *client) Closed() {
	x.over = true
	x.slow.Stop()
	delete(x.s.idle, x)
	if x.request != nil {
		x.s.Engine.Hangup(x.request)
	}
}

// reject answers what can't be read as a request. Where the next one would start is in doubt, so it's the end.
func (x *client) reject(err error) {
	status := 400
	var fault *http1.Error
	if errors.As(err, &fault) {
		status = fault.Status
	}
	x.keepAlive = false
	x.refuseInput(status, err.Error())
}

// refuseInput answers a request that does not become one of the engine's.
func (x *client) refuseInput(status int, why string) {
	x.s.Engine.Counts.BadRequests++
	warn("bad request", "status", status, "why", why)
	x.answer(status, []byte(why+"\n"))
}

// take handles the request that the parser holds.
func (x *client) take() {
	m := x.parser.Msg
	x.busy, x.continued = true, false
	x.slow.Stop()
	x.slow = nil
	delete(x.s.idle, x)
	x.keepAlive = m.KeepAlive
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case strings.HasPrefix(path, "/-/") || m.Method != "POST":
		x.serveOwn(m.Method, path)
		return
	case !strings.HasPrefix(path, "/"):
		x.refuseInput(404, "unknown path")
		return
	}
	j, why := x.s.job(&m, path)
	if why != "" {
		x.refuseInput(400, why)
		return
	}
	c := &call{method: m.Method, target: m.Target, id: m.Get("x-call-id"), key: m.Get("idempotency-key"), body: m.Body}
	x.request = x.s.Engine.Submit(j, c, x)
	if !x.busy { // answered already
		x.request = nil
	}
}

func (x *client) serveOwn(method, path string) {
	if method != "GET" {
		if method == "HEAD" {
			x.keepAlive = false // its answer has no body, and ours has one
		}
		x.refuseInput(404, "unknown path")
		return
	}
	switch path {
	case "/-/ready":
		if x.s.Ready() && !x.s.closing {
			x.answer(200, []byte("ready\n"))
		} else {
			x.answer(503, []byte("not ready\n"))
		}
	case "/-/stats":
		x.answer(200, []byte(x.s.Stats()+"\n"))
	default:
		x.refuseInput(404, "unknown path")
	}
}

// job reads what the decisions need to know, or says what is wrong.
func (s *Server) job(m *http1.Message, path string) (j decide.Job, why string) {
	class, ok := s.Classes[m.Get("x-call-class")]
	if !ok {
		return j, "unknown class"
	}
	left, ok := parseBudget(m.Get("x-budget"))
	if !ok {
		return j, "bad budget"
	}
	if m.Get("x-call-id") == "" {
		return j, "no call id"
	}
	h := fnv.New64a()
	h.Write([]byte(path[strings.LastIndexByte(path, '/')+1:]))
	j = decide.Job{Class: class, Key: h.Sum64(), GiveUpAt: s.Engine.Now() + int64((left-sentAgo)/time.Microsecond)}
	if v, err := strconv.ParseFloat(m.Get("x-call-cost"), 64); err == nil && v > 0 && v < 1e15 {
		j.Hint = decide.Time(v)
	}
	for pair := range strings.SplitSeq(m.Get("x-call-info"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(v) || v < 0 || v > maxSlots {
			continue // a hint that can't be read is no hint
		}
		switch name {
		case "slots":
			j.Slots = v
		case "memory":
			j.Memory = v
		}
	}
	return j, ""
}

// parseBudget reads a number with a unit: m milliseconds, u microseconds.
func parseBudget(text string) (time.Duration, bool) {
	if text == "" {
		return 0, false
	}
	unit := time.Microsecond
	switch text[len(text)-1] {
	case 'm':
		unit = time.Millisecond
	case 'u':
	default:
		return 0, false
	}
	v, err := strconv.ParseFloat(text[:len(text)-1], 64)
	if err != nil || !(v >= 0) || v > float64(maxBudget/unit) {
		return 0, false
	}
	return time.Duration(v * float64(unit)), true
}

// Served implements engine.Client.
func (x *client) Served(result []byte) { x.answer(200, result) }

// Refused implements engine.Client.
func (x *client) Refused(retryAfter time.Duration) {
	if retryAfter <= 0 {
		x.answer(503, []byte("refused\n"))
		return
	}
	x.answer(503, []byte("refused\n"), http1.Field{Name: "Retry-After",
		Value: strconv.FormatFloat(retryAfter.Seconds(), 'f', 3, 64)})
}

// Failed implements engine.Client.
func (x *client) Failed() { x.answer(500, []byte("failed\n")) }

// answer writes the one answer to the request in hand and goes on to the next.
func (x *client) answer(status int, body []byte, fields ...http1.Field) {
	if x.over {
		return
	}
	keep := x.keepAlive && !x.s.closing
	x.conn.Write(http1.AppendResponse(nil, status, keep, body, fields...), nil)
	x.request, x.busy = nil, false
	if !keep {
		x.over = true
		delete(x.s.idle, x)
		x.conn.CloseAfterWrite()
		return
	}
	x.parser.Reset()
	x.s.rest(x)
	if next := x.ahead; len(next) > 0 {
		x.ahead = nil
		x.Data(next)
	}
}
