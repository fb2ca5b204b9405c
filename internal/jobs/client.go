package jobs

import (
	"bytes"
	"errors"
	"hash/fnv"
	"log/slog"
	"math"
	"strconv"
	"strings"
	"time"

	"weldscale/decide"
	"weldscale/internal/engine"
	"weldscale/internal/http1"
	"weldscale/internal/pace"
	"weldscale/internal/pool"
	"weldscale/internal/route"
)

// This file owns the clients' side: from bytes to a request of the engine, and from its answer to bytes. It
// must answer each request whole and once, and must never close a connection that holds an accepted one.

const (
	maxPipelined     = 16 << 10         // bytes that a client may send ahead of its answer
	transitAllowance = time.Millisecond // about what a request is on its way: its budget counts from its sending
	maxBudget        = 24 * time.Hour
	maxSlots         = 1 << 20
	maxMethodLength  = 16
	maxIDLength      = 256  // of an id or a key
	maxRecentIDs     = 4096 // of requests answered lately
)

// stall is how late a look at a peer may come before it is our own lateness that is looked at.
const stallThreshold = decide.Time(50 * time.Millisecond / time.Microsecond)

// Service is one service: the names of its classes, the engine that runs its jobs, and what it may take.
type Service struct {
	Name    string
	Engine  *engine.Engine
	Classes map[string]int
	Workers *Workers   // nil: no attempts of other processes are adopted
	Pool    *pool.Pool // nil: no limits but the server's
}

// NewService returns a service without limits of its own; the classes are named in the order of the settings.
func NewService(name string, e *engine.Engine, classes []string) *Service {
	v := &Service{Name: name, Engine: e, Classes: map[string]int{}}
	for i, class := range classes {
		v.Classes[class] = i
	}
	return v
}

// Server makes requests of what clients send.
type Server struct {
	Loop *engine.Loop
	// Main is the service that the platform's configuration describes.
	Main *Service
	// Route finds the service of a request; nil: all are Main's.
	Route func(route.Request) (*Service, route.Miss)
	// Ready tells whether the front may send clients here.
	Ready func() bool
	// Stats is the text of the counters.
	Stats func() string
	// Metrics, if set, is what /-/metrics answers. It is called beside the loop.
	Metrics func() ([]byte, error)
	// Pace decides how slow a client may be, what may wait for it and who goes as room runs short.
	Pace *pace.Keeper

	closing      bool
	refusing     bool
	callIDs      map[string]struct{} // of the requests that are open or were answered lately
	recentIDs    []string            // the latter, a ring
	oldestRecent int                 // of the ring
}

// NewServer returns a server of the main service's requests.
func NewServer(main *Service) *Server {
	e := main.Engine
	s := &Server{Loop: e.Loop, Main: main, Ready: e.Ready, Stats: e.Counts.String, callIDs: map[string]struct{}{}}
	s.SetPace(pace.New(pace.Defaults(8 << 20)))
	return s
}

// Keep has the keeper decide about clients. It asks what has come on a connection and was not read yet.
func (s *Server) SetPace(k *pace.Keeper) {
	k.Unseen = func(owner any) bool { return owner.(*client).conn.Unread() }
	s.Pace = k
}

// Serve takes over a new connection of a client.
func (s *Server) Serve(c Conn) {
	s.addClient(c).armPaceTimer()
}

// StartClosing makes every answer from here on its connection's last.
func (s *Server) StartClosing() { s.closing = true }

// RefuseNew refuses what comes whole only from here on: there may be no time left to end it.
func (s *Server) RefuseNew() { s.closing, s.refusing = true, true }

// EvictClients lets go of up to n connections, those that are worth least first, and returns how many; with strangers only
// of those that never brought a job or are slower than is acceptable. It never touches one with a job in hand.
func (s *Server) EvictClients(n int, unprovenOnly bool) int {
	victims := s.Pace.Victims(s.Loop.Now(), n, unprovenOnly)
	for _, p := range victims {
		p.Owner.(*client).evict()
	}
	return len(victims)
}

// CloseIdle closes every connection that is between two requests, and returns how many it has left since something has come
// on them that was not read yet: a request that is here whole gets its answer.
func (s *Server) CloseIdle() (unread int) {
	for _, p := range s.Pace.Idle() {
		if x := p.Owner.(*client); x.conn.Unread() {
			unread++
		} else {
			x.close()
		}
	}
	return unread
}

// client is one connection. It holds one request at a time; what comes ahead of an answer waits until that has
// gone out, so that a client that sends and does not read can't pile up answers here.
type client struct {
	server       *Server
	conn         Conn
	parser       *http1.Parser
	pipelined    []byte
	request      *engine.Request
	service      *Service // of the request in hand, while it is a job
	class        int      // of it
	bookedBytes  int      // bytes of it in the service's account
	unbooked     pool.Unbooked
	callID       string // of the request in hand, while it is a job
	busy         bool   // a request is in hand or its answer on the way out
	closed       bool
	keepAlive    bool
	sentContinue bool
	peer         *pace.Peer
	paceTimer    *engine.Timer // the next one at the peer
	paceDue      decide.Time
	unacked      int // bytes of the answer, as last seen
}

// Data implements Handler.
func (x *client) Data(b []byte) {
	if len(b) > 0 && !x.busy && !x.closed {
		x.peer.Received(x.server.Loop.Now(), len(b))
		x.armPaceTimer()
	}
	for len(b) > 0 && !x.busy && !x.closed {
		n, whole, err := x.parser.Feed(b)
		b = b[n:]
		if err != nil {
			x.reject(err)
			return
		}
		if whole && !mayStartRequest(b) {
			x.reject(errors.New("bytes after a request that start no other"))
			return
		}
		if whole {
			x.handleRequest()
			continue
		}
		if !x.reserveMemory(len(x.parser.Msg.Body)) {
			x.reject(&http1.Error{Status: 503, Reason: "too much in hand"})
			return
		}
		if x.parser.HeadDone() && !x.sentContinue && strings.EqualFold(x.parser.Msg.Get("expect"), "100-continue") {
			x.sentContinue = true
			x.conn.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n"), nil)
		}
	}
	switch {
	case x.closed || len(b) == 0:
	case len(x.pipelined)+len(b) > maxPipelined || !x.reserveMemory(len(x.parser.Msg.Body)+len(x.pipelined)+len(b)):
		x.keepAlive = false // nothing that is in hand may be lost: the answer comes, then the connection ends
	default:
		x.pipelined = append(x.pipelined, b...)
	}
}

// startsRequest reports whether what follows a request can be the next. Where it can't, the length of the first
// is in doubt too, and so is what a worker would make of it.
func mayStartRequest(b []byte) bool {
	b = bytes.TrimLeft(b, "\r\n")
	for i, c := range b[:min(len(b), maxMethodLength+1)] {
		if c == ' ' && i > 0 {
			return true
		}
		if c < 'A' || c > 'Z' {
			return false
		}
	}
	return len(b) <= maxMethodLength
}

// arm sets the timer for the next look at the peer, unless one comes soon enough: a look that has nothing to say costs
// less than a timer for each request.
func (x *client) armPaceTimer() {
	now := x.server.Loop.Now()
	due := x.peer.Next(now)
	if due == pace.Never || x.paceTimer != nil && x.paceDue <= due {
		return
	}
	x.paceTimer.Stop()
	x.paceDue = due
	x.paceTimer = x.server.Loop.After(time.Duration(due-now)*time.Microsecond, x.checkPace)
}

// looked takes a look at the peer. Neither silence nor half a request, nor an answer that nobody takes, may hold what
// others need for good.
func (x *client) checkPace() {
	x.paceTimer = nil
	now := x.server.Loop.Now()
	if late := now - x.paceDue; late > stallThreshold {
		x.peer.Extend(late) // what came meanwhile has not been seen yet
	}
	x.recordAcked(now)
	if p := x.peer.Check(now); p != nil {
		p.Struck(now)
		p.Owner.(*client).cutSlow()
	}
	if !x.closed {
		x.armPaceTimer()
	}
}

// taken tells the peer's account what it has taken of an answer.
func (x *client) recordAcked(now decide.Time) {
	if phase := x.peer.Phase(); phase != pace.Sending && phase != pace.Draining {
		return
	}
	left := x.conn.Unacked()
	x.peer.Taken(now, max(0, x.unacked-left))
	x.unacked = left
	x.peer.HoldOut(x.conn.Queued())
	if left == 0 && x.peer.Phase() == pace.Draining {
		x.peer.Rest(now)
	}
}

// tooSlow ends a connection whose peer was too slow for too long.
func (x *client) cutSlow() {
	phase := x.peer.Phase()
	slog.Warn("slow peer cut", "addr", x.conn.Peer(), "phase", phase, "link", x.peer.Link)
	if phase == pace.Receiving && !x.parser.Idle() {
		x.keepAlive, x.busy = false, true
		x.refuseRequest(408, "request did not come in whole")
		return
	}
	x.close()
}

// letGo ends a connection as room runs short. A request that is not whole is refused, if the system takes the words.
func (x *client) evict() {
	if x.peer.Phase() == pace.Receiving && !x.parser.Idle() {
		slog.Warn("slow peer let go: room is short", "addr", x.conn.Peer(), "link", x.peer.Link)
		x.conn.Write(http1.AppendResponse(nil, 503, false, []byte("no room\n"), http1.Field{Name: "Retry-After", Value: "1"}), nil)
	}
	x.close()
}

func (x *client) close() {
	x.unregister()
	x.conn.Close()
}

// hold books what the connection has in memory of a request, and reports whether the server bears it. Peers that are
// too slow make room first.
func (x *client) reserveMemory(n int) bool {
	if x.peer.HoldIn(n) {
		return true
	}
	x.server.evictForMemory(n)
	return !x.closed && x.peer.HoldIn(n)
}

// makeSpace lets go of slow peers until n more bytes are within the caps, as far as there are such.
func (s *Server) evictForMemory(n int) {
	for _, p := range s.Pace.Excess(s.Loop.Now(), n) {
		p.Owner.(*client).evict()
	}
}

// end takes the connection out of the books.
func (x *client) unregister() {
	x.closed = true
	x.peer.Close()
	x.paceTimer.Stop()
	x.paceTimer = nil
}

// Closed implements Handler.
func (x *client) Closed() {
	x.unregister()
	if x.request != nil {
		x.server.releaseRequest(x)
		x.service.Engine.Hangup(x.request)
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
	x.refuseRequest(status, err.Error())
}

// refuseInput answers a request that does not become one of the engine's.
func (x *client) refuseRequest(status int, why string) {
	if x.closed {
		return
	}
	x.peer.Judge(x.server.Loop.Now())
	x.server.Main.Engine.Counts.BadRequests++
	slog.Warn("bad request", "status", status, "why", why)
	x.answer(status, []byte(why+"\n"))
}

// take handles the request that the parser holds.
func (x *client) handleRequest() {
	m := x.parser.Msg
	x.busy, x.sentContinue = true, false
	x.keepAlive = m.KeepAlive
	path, _, _ := strings.Cut(m.Target, "?")
	switch {
	case strings.HasPrefix(path, "/-/") || m.Method != "POST":
		x.serveInternalPath(m.Method, path)
		return
	case !strings.HasPrefix(path, "/"):
		x.refuseRequest(404, "unknown path")
		return
	}
	if !x.reserveMemory(len(m.Body) + len(m.Target)) {
		x.reject(&http1.Error{Status: 503, Reason: "too much in hand"})
		return
	}
	v, status, why := x.server.findService(&m, path)
	if v == nil {
		x.refuseRequest(status, why)
		return
	}
	now := x.server.Loop.Now()
	j, why := v.parseJob(&m, path, now)
	if why != "" {
		x.refuseRequest(400, why)
		return
	}
	c := &payload{method: m.Method, target: m.Target, id: m.Get("x-call-id"), key: m.Get("idempotency-key"), body: m.Body,
		atMostOnce: v.Engine.Class(j.Class).Effect == decide.Unsafe}
	x.peer.Judge(now)
	if x.server.refusing {
		v.Engine.Counts.Ended[1][j.Class]++
		x.Refused(0)
		return
	}
	if x.server.callIDInUse(c.id) {
		x.refuseRequest(409, "call id is in use")
		return
	}
	if v.Pool != nil {
		if v.Pool.Longest > 0 {
			j.GiveUpAt = min(j.GiveUpAt, now+v.Pool.Longest)
		}
		if no := v.Pool.Admit(now, j.Class, len(m.Body)); no.Refused() {
			v.Engine.Counts.Ended[1][j.Class]++
			x.answer(no.Status, []byte(no.Why+"\n"), retryAfter(time.Duration(no.After)*time.Microsecond)...)
			return
		}
	}
	x.server.claimCallID(x, c.id)
	x.service, x.class, x.bookedBytes, x.unbooked = v, j.Class, len(m.Body), pool.Unbooked{}
	x.peer.Work(now)
	r := v.Engine.Submit(j, c, x)
	if v.Engine.Trace != nil {
		v.Engine.Trace("taken", r.ID, "call_id", c.id, "target", c.target, "addr", x.conn.Peer())
	}
	if x.callID != "" { // not answered already
		x.request = r
	}
}

// find returns the service that a request is for, or says with which status there is none.
func (s *Server) findService(m *http1.Message, path string) (v *Service, status int, why string) {
	if s.Route == nil {
		return s.Main, 0, ""
	}
	v, miss := s.Route(route.Request{Host: m.Get("host"), Path: path, Class: m.Get("x-call-class"), Header: m.Get})
	switch miss {
	case route.UnknownHost:
		return nil, 421, "no service for this host"
	case route.NoRoute:
		return nil, 404, "no service for this host, path and class"
	}
	return v, 0, ""
}

// taken reports whether the id is in use or was until just now.
func (s *Server) callIDInUse(id string) bool {
	_, taken := s.callIDs[id]
	return taken
}

// claim takes the id of a request that is to become a job. Every request has a fresh one: a second job under the
// id of one that is open, or was until just now, would end in the other's answer or run its work twice.
func (s *Server) claimCallID(x *client, id string) {
	s.callIDs[id] = struct{}{}
	x.callID = id
}

// release ends the request in hand in the books. Its id stays known until maxIDs others have followed.
func (s *Server) releaseRequest(client *client) {
	if client.callID == "" {
		return
	}
	if len(s.recentIDs) < maxRecentIDs {
		s.recentIDs = append(s.recentIDs, client.callID)
	} else {
		delete(s.callIDs, s.recentIDs[s.oldestRecent])
		s.recentIDs[s.oldestRecent] = client.callID
		s.oldestRecent = (s.oldestRecent + 1) % maxRecentIDs
	}
	client.callID = ""
	if client.service != nil && client.service.Pool != nil {
		client.service.Pool.Done(client.class, client.bookedBytes, client.unbooked)
	}
}

func (x *client) serveInternalPath(method, path string) {
	if method != "GET" {
		if method == "HEAD" {
			x.keepAlive = false // its answer has no body, and ours has one
		}
		x.refuseRequest(404, "unknown path")
		return
	}
	x.peer.Judge(x.server.Loop.Now())
	switch path {
	case "/-/ready":
		if x.server.Ready() && !x.server.closing {
			x.answer(200, []byte("ready\n"))
		} else {
			x.answer(503, []byte("not ready\n"))
		}
	case "/-/metrics":
		if x.server.Metrics == nil {
			x.refuseRequest(404, "unknown path")
			return
		}
		go func() {
			text, err := x.server.Metrics()
			x.server.Loop.Post(func() {
				if err != nil {
					x.answer(500, []byte(err.Error()+"\n"))
				} else {
					x.answer(200, text, http1.Field{Name: "Content-Type", Value: "text/plain; version=0.0.4"})
				}
			})
		}()
	case "/-/stats":
		x.answer(200, []byte(x.server.Stats()+"\n"))
	default:
		x.refuseRequest(404, "unknown path")
	}
}

// job reads what the decisions need to know, or says what is wrong.
func (v *Service) parseJob(m *http1.Message, path string, now decide.Time) (j decide.Job, why string) {
	if name := repeatedField(m); name != "" {
		return j, "more than one " + name
	}
	class, ok := v.Classes[m.Get("x-call-class")]
	if !ok {
		return j, "unknown class"
	}
	left, ok := parseBudget(m.Get("x-budget"))
	if !ok {
		return j, "bad budget"
	}
	if id := m.Get("x-call-id"); id == "" {
		return j, "no call id"
	} else if key := m.Get("idempotency-key"); !isPrintable(id) || !isPrintable(key) {
		return j, "bad call id or key"
	}
	h := fnv.New64a()
	h.Write([]byte(path[strings.LastIndexByte(path, '/')+1:]))
	j = decide.Job{Class: class, Key: h.Sum64(), GiveUpAt: now + int64((left-transitAllowance)/time.Microsecond)}
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

// repeated names a field that may stand but once and does not: which one counts, the next reader may see otherwise.
func repeatedField(m *http1.Message) string {
	for i, f := range m.Fields {
		switch f.Name {
		case "host", "idempotency-key", "x-call-id", "x-call-class", "x-budget", "x-call-cost", "x-call-info":
			for _, g := range m.Fields[:i] {
				if g.Name == f.Name {
					return f.Name
				}
			}
		}
	}
	return ""
}

// isPlain reports whether an id or key can be passed on: short and printable, or empty.
func isPrintable(s string) bool {
	return len(s) <= maxIDLength && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' })
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
func (x *client) Refused(wait time.Duration) {
	x.answer(503, []byte("refused\n"), retryAfter(wait)...)
}

// Gone implements engine.Client. A client that has ended its sending has gone: it can't be told from one that closed.
func (x *client) Gone() bool { return x.closed || x.conn.PeerClosed() }

// retryAfter is the field that advises a wait, if there is one.
func retryAfter(wait time.Duration) []http1.Field {
	if wait <= 0 {
		return nil
	}
	return []http1.Field{{Name: "Retry-After", Value: strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}}
}

// Failed implements engine.Client.
func (x *client) Failed() { x.answer(500, []byte("failed\n")) }

// answer writes the one answer to the request in hand and goes on to the next. From here on the peer is paced again.
func (x *client) answer(status int, body []byte, fields ...http1.Field) {
	if x.closed {
		return
	}
	x.keepAlive = x.keepAlive && !x.server.closing
	x.request, x.busy = nil, true
	x.server.releaseRequest(x)
	b := http1.AppendResponse(nil, status, x.keepAlive, body, fields...)
	x.peer.Send(x.server.Loop.Now())
	x.unacked = len(b)
	x.conn.Write(b, x.answerWritten)
	if n := x.conn.Queued(); n > 0 {
		x.peer.HoldOut(n)
		x.server.evictForMemory(0)
		x.armPaceTimer()
	}
}

// answered goes on to the next request once an answer has gone out.
func (x *client) answerWritten(end WriteResult) {
	if x.closed {
		return
	}
	if end != Written { // what the client has got of it can't be told from the next answer
		x.close()
		return
	}
	if !x.keepAlive { // some of what came ahead was passed over meanwhile
		x.unregister()
		x.conn.CloseAfterWrite()
		return
	}
	x.busy = false
	x.peer.HoldOut(0)
	x.peer.HoldIn(0)
	x.peer.Sent(x.server.Loop.Now())
	x.armPaceTimer()
	x.parser.Reset()
	next := x.pipelined
	x.pipelined = nil
	x.Data(next)
}
