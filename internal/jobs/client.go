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

// This file implements the clients' side: it parses requests, submits them to the engine and writes the answers. Each
// request must get exactly one complete answer, and a connection with an accepted request must not be closed.

const (
	maxPipelined     = 16 << 10         // bytes that a client may send before it has its answer
	transitAllowance = time.Millisecond // estimated time from the client's sending, from which the budget counts, to the arrival
	maxBudget        = 24 * time.Hour
	maxSlots         = 1 << 20
	maxMethodLength  = 16
	maxIDLength      = 256  // of a call ID or an idempotency key
	maxRecentIDs     = 4096 // IDs of answered requests that are remembered
)

// stallThreshold is the delay of a pace check from which the delay is attributed to this process and not to the peer.
const stallThreshold = decide.Time(50 * time.Millisecond / time.Microsecond)

// Service is one service with the names of its classes, the engine that runs its jobs and its limits.
type Service struct {
	Name    string
	Engine  *engine.Engine
	Classes map[string]int
	Workers *Workers   // nil: no attempts of other processes are adopted
	Pool    *pool.Pool // nil: no limits but the server's
}

// NewService returns a service without limits of its own. The classes are in the order of the settings.
func NewService(name string, e *engine.Engine, classes []string) *Service {
	v := &Service{Name: name, Engine: e, Classes: map[string]int{}}
	for i, class := range classes {
		v.Classes[class] = i
	}
	return v
}

// Server turns HTTP requests of clients into engine requests.
type Server struct {
	Loop *engine.Loop
	// Main is the service that the platform's configuration describes.
	Main *Service
	// Route returns the service for a request. If nil, all requests are for Main.
	Route func(route.Request) (*Service, route.Miss)
	// Ready reports whether the front end may send clients to this scheduler.
	Ready func() bool
	// Stats returns the text of the counters.
	Stats func() string
	// Metrics, if set, returns the answer to /-/metrics. It is called outside the loop.
	Metrics func() ([]byte, error)
	// Pace decides how slow a client may be, how much may be buffered for it and which clients are closed first when
	// connections or memory run short.
	Pace *pace.Keeper

	closing      bool
	refusing     bool
	callIDs      map[string]struct{} // of open requests and of those in recentIDs
	recentIDs    []string            // ring buffer of the IDs answered last
	oldestRecent int                 // index of the oldest entry of recentIDs
}

// NewServer returns a server for the requests of the main service.
func NewServer(main *Service) *Server {
	e := main.Engine
	s := &Server{Loop: e.Loop, Main: main, Ready: e.Ready, Stats: e.Counts.String, callIDs: map[string]struct{}{}}
	s.SetPace(pace.New(pace.Defaults(8 << 20)))
	return s
}

// SetPace sets the keeper that decides how slow clients may be. The keeper can ask whether a connection has data that
// has not been read yet.
func (s *Server) SetPace(k *pace.Keeper) {
	k.Unread = func(owner any) bool { return owner.(*client).conn.Unread() }
	s.Pace = k
}

// Serve takes over a new client connection.
func (s *Server) Serve(c Conn) {
	s.addClient(c).armPaceTimer()
}

// StartClosing makes every further answer close its connection.
func (s *Server) StartClosing() { s.closing = true }

// RefuseNew refuses all requests that become complete from now on, because there may be no time left to finish them.
func (s *Server) RefuseNew() { s.closing, s.refusing = true, true }

// EvictClients closes up to n connections, those of least value first, and returns how many it closed. With
// unprovenOnly it closes only those that never sent a job or are slower than acceptable. It never closes a connection
// with an open job.
func (s *Server) EvictClients(n int, unprovenOnly bool) int {
	victims := s.Pace.Victims(s.Loop.Now(), n, unprovenOnly)
	for _, p := range victims {
		p.Owner.(*client).evict()
	}
	return len(victims)
}

// CloseIdle closes every connection that is between two requests. It keeps those with unread data, since a request
// that has arrived in full must be answered, and returns their number.
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

// client is one client connection. It handles one request at a time. Pipelined data waits until the answer has been
// sent, so that answers can't accumulate for a client that sends without reading.
type client struct {
	server       *Server
	conn         Conn
	parser       *http1.Parser
	pipelined    []byte
	request      *engine.Request
	service      *Service // of the current request, if it is a job
	class        int      // of the current job
	bookedBytes  int      // bytes of the current job that are booked in the service's pool
	unbooked     pool.Unbooked
	callID       string // of the current request, if it is a job
	busy         bool   // a request is being handled or its answer is being sent
	closed       bool
	keepAlive    bool
	sentContinue bool
	peer         *pace.Peer
	paceTimer    *engine.Timer // for the next call of checkPace
	paceDue      decide.Time
	unacked      int // bytes of the answer at the last check
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
		x.keepAlive = false // the current request must not be lost: it is answered, then the connection is closed
	default:
		x.pipelined = append(x.pipelined, b...)
	}
}

// mayStartRequest reports whether b can be the beginning of a request. If it can't, the length of the request before
// it is in doubt too, and a worker might see another boundary.
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

// armPaceTimer sets the timer for the next pace check, unless one is already due soon enough. An extra check costs
// less than a timer for each request.
func (x *client) armPaceTimer() {
	now := x.server.Loop.Now()
	due := x.peer.NextCheck(now)
	if due == pace.Never || x.paceTimer != nil && x.paceDue <= due {
		return
	}
	x.paceTimer.Stop()
	x.paceDue = due
	x.paceTimer = x.server.Loop.After(time.Duration(due-now)*time.Microsecond, x.checkPace)
}

// checkPace checks the progress of the peer. A peer that is silent, sends half a request or does not read its answer
// must not hold shared resources forever.
func (x *client) checkPace() {
	x.paceTimer = nil
	now := x.server.Loop.Now()
	if late := now - x.paceDue; late > stallThreshold {
		x.peer.Extend(late) // what arrived meanwhile has not been seen yet
	}
	x.recordAcked(now)
	if p := x.peer.Check(now); p != nil {
		p.AddStrike(now)
		p.Owner.(*client).cutSlow()
	}
	if !x.closed {
		x.armPaceTimer()
	}
}

// recordAcked tells the pace keeper how much of the answer the peer has received.
func (x *client) recordAcked(now decide.Time) {
	if phase := x.peer.Phase(); phase != pace.Sending && phase != pace.Draining {
		return
	}
	unacked := x.conn.Unacked()
	x.peer.Acked(now, max(0, x.unacked-unacked))
	x.unacked = unacked
	x.peer.HoldOut(x.conn.Queued())
	if unacked == 0 && x.peer.Phase() == pace.Draining {
		x.peer.Rest(now)
	}
}

// cutSlow closes a connection whose peer was too slow for too long.
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

// evict closes a connection because connections or memory run short. A partial request gets a refusal if the system
// accepts it at once.
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

// reserveMemory accounts for n bytes of request data that the connection holds, and reports whether they are within
// the limits. If necessary, idle unproven peers and peers that are too slow are evicted first.
func (x *client) reserveMemory(n int) bool {
	if x.peer.HoldIn(n) {
		return true
	}
	x.server.evictForMemory(n)
	return !x.closed && x.peer.HoldIn(n)
}

// evictForMemory evicts idle unproven and slow peers until n more bytes are within the limits, as far as there are any.
func (s *Server) evictForMemory(n int) {
	for _, p := range s.Pace.VictimsForBytes(s.Loop.Now(), n) {
		p.Owner.(*client).evict()
	}
}

// unregister marks the connection as closed and ends its pace accounting.
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

// reject answers data that can't be parsed as a request and closes the connection, since the start of the next
// request is unknown.
func (x *client) reject(err error) {
	status := 400
	var protocolError *http1.Error
	if errors.As(err, &protocolError) {
		status = protocolError.Status
	}
	x.keepAlive = false
	x.refuseRequest(status, err.Error())
}

// refuseRequest answers a request that is not passed to the engine.
func (x *client) refuseRequest(status int, reason string) {
	if x.closed {
		return
	}
	x.peer.RequestComplete(x.server.Loop.Now())
	x.server.Main.Engine.Counts.BadRequests++
	slog.Warn("bad request", "status", status, "why", reason)
	x.answer(status, []byte(reason+"\n"))
}

// handleRequest handles the request that the parser holds.
func (x *client) handleRequest() {
	message := x.parser.Msg
	x.busy, x.sentContinue = true, false
	x.keepAlive = message.KeepAlive
	path, _, _ := strings.Cut(message.Target, "?")
	switch {
	case strings.HasPrefix(path, "/-/") || message.Method != "POST":
		x.serveInternalPath(message.Method, path)
		return
	case !strings.HasPrefix(path, "/"):
		x.refuseRequest(404, "unknown path")
		return
	}
	if !x.reserveMemory(len(message.Body) + len(message.Target)) {
		x.reject(&http1.Error{Status: 503, Reason: "too much in hand"})
		return
	}
	service, status, reason := x.server.findService(&message, path)
	if service == nil {
		x.refuseRequest(status, reason)
		return
	}
	now := x.server.Loop.Now()
	job, reason := service.parseJob(&message, path, now)
	if reason != "" {
		x.refuseRequest(400, reason)
		return
	}
	requestPayload := &payload{method: message.Method, target: message.Target, id: message.Get("x-call-id"), key: message.Get("idempotency-key"), body: message.Body,
		atMostOnce: service.Engine.Class(job.Class).Effect == decide.Unsafe}
	x.peer.RequestComplete(now)
	if x.server.refusing {
		service.Engine.Counts.Ended[1][job.Class]++
		x.Refused(0)
		return
	}
	if x.server.callIDInUse(requestPayload.id) {
		x.refuseRequest(409, "call id is in use")
		return
	}
	if service.Pool != nil {
		if service.Pool.MaxHoldTime > 0 {
			job.GiveUpAt = min(job.GiveUpAt, now+service.Pool.MaxHoldTime)
		}
		if refusal := service.Pool.Admit(now, job.Class, len(message.Body)); refusal.Refused() {
			service.Engine.Counts.Ended[1][job.Class]++
			x.answer(refusal.Status, []byte(refusal.Reason+"\n"), retryAfter(time.Duration(refusal.RetryAfter)*time.Microsecond)...)
			return
		}
	}
	x.server.claimCallID(x, requestPayload.id)
	x.service, x.class, x.bookedBytes, x.unbooked = service, job.Class, len(message.Body), pool.Unbooked{}
	x.peer.JobAccepted(now)
	r := service.Engine.Submit(job, requestPayload, x)
	if service.Engine.Trace != nil {
		service.Engine.Trace("taken", r.ID, "call_id", requestPayload.id, "target", requestPayload.target, "addr", x.conn.Peer())
	}
	if x.callID != "" { // not answered during Submit
		x.request = r
	}
}

// findService returns the service that a request is for, or the status and the reason if there is none.
func (s *Server) findService(m *http1.Message, path string) (service *Service, status int, reason string) {
	if s.Route == nil {
		return s.Main, 0, ""
	}
	service, miss := s.Route(route.Request{Host: m.Get("host"), Path: path, Class: m.Get("x-call-class"), Header: m.Get})
	switch miss {
	case route.UnknownHost:
		return nil, 421, "no service for this host"
	case route.NoRoute:
		return nil, 404, "no service for this host, path and class"
	}
	return service, 0, ""
}

// callIDInUse reports whether a request with the ID is open or was answered recently.
func (s *Server) callIDInUse(id string) bool {
	_, taken := s.callIDs[id]
	return taken
}

// claimCallID records the ID of a request that becomes a job. IDs must be unique: a second job with the ID of an open
// or recent one could get the other job's answer or run its work twice.
func (s *Server) claimCallID(x *client, id string) {
	s.callIDs[id] = struct{}{}
	x.callID = id
}

// releaseRequest ends the accounting of the current request. Its ID stays known until maxRecentIDs others have
// followed.
func (s *Server) releaseRequest(x *client) {
	if x.callID == "" {
		return
	}
	if len(s.recentIDs) < maxRecentIDs {
		s.recentIDs = append(s.recentIDs, x.callID)
	} else {
		delete(s.callIDs, s.recentIDs[s.oldestRecent])
		s.recentIDs[s.oldestRecent] = x.callID
		s.oldestRecent = (s.oldestRecent + 1) % maxRecentIDs
	}
	x.callID = ""
	if x.service != nil && x.service.Pool != nil {
		x.service.Pool.Done(x.class, x.bookedBytes, x.unbooked)
	}
}

func (x *client) serveInternalPath(method, path string) {
	if method != "GET" {
		if method == "HEAD" {
			x.keepAlive = false // an answer to HEAD must have no body, but this one has
		}
		x.refuseRequest(404, "unknown path")
		return
	}
	x.peer.RequestComplete(x.server.Loop.Now())
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

// parseJob returns the job for the dispatcher, or the reason why the request is invalid.
func (v *Service) parseJob(m *http1.Message, path string, now decide.Time) (j decide.Job, reason string) {
	if name := repeatedField(m); name != "" {
		return j, "more than one " + name
	}
	class, ok := v.Classes[m.Get("x-call-class")]
	if !ok {
		return j, "unknown class"
	}
	budget, ok := parseBudget(m.Get("x-budget"))
	if !ok {
		return j, "bad budget"
	}
	if id := m.Get("x-call-id"); id == "" {
		return j, "no call id"
	} else if key := m.Get("idempotency-key"); !isPrintable(id) || !isPrintable(key) {
		return j, "bad call id or key"
	}
	hash := fnv.New64a()
	hash.Write([]byte(path[strings.LastIndexByte(path, '/')+1:]))
	j = decide.Job{Class: class, Key: hash.Sum64(), GiveUpAt: now + int64((budget-transitAllowance)/time.Microsecond)}
	if v, err := strconv.ParseFloat(m.Get("x-call-cost"), 64); err == nil && v > 0 && v < 1e15 {
		j.Hint = decide.Time(v)
	}
	for pair := range strings.SplitSeq(m.Get("x-call-info"), ",") {
		name, text, _ := strings.Cut(strings.TrimSpace(pair), "=")
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(v) || v < 0 || v > maxSlots {
			continue // an unreadable hint is ignored
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

// repeatedField returns the name of a field that must be unique but occurs more than once, since another reader might
// use the other value. It returns "" if there is none.
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

// isPrintable reports whether an ID or key is empty, or short and printable, so that it can be passed on.
func isPrintable(s string) bool {
	return len(s) <= maxIDLength && !strings.ContainsFunc(s, func(r rune) bool { return r < ' ' || r > '~' })
}

// parseBudget parses a number with a unit: m for milliseconds, u for microseconds.
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

// Gone implements engine.Client. A client that has shut down its sending side counts as disconnected, because it
// can't be distinguished from one that has closed the connection.
func (x *client) Gone() bool { return x.closed || x.conn.PeerClosed() }

// retryAfter returns the Retry-After field, or nil if there is no wait.
func retryAfter(wait time.Duration) []http1.Field {
	if wait <= 0 {
		return nil
	}
	return []http1.Field{{Name: "Retry-After", Value: strconv.FormatFloat(wait.Seconds(), 'f', 3, 64)}}
}

// Failed implements engine.Client.
func (x *client) Failed() { x.answer(500, []byte("failed\n")) }

// answer writes the answer to the current request. From then on the peer's pace is measured again.
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

// answerWritten continues with the next request once the answer has been sent.
func (x *client) answerWritten(result WriteResult) {
	if x.closed {
		return
	}
	if result != Written { // the part that the client has received can't be distinguished from the next answer
		x.close()
		return
	}
	if !x.keepAlive { // pipelined data may have been dropped
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
