package jobs

import (
	"weldscale/decide"
	"weldscale/internal/engine"
	"weldscale/internal/http1"
)

// This file owns clients' connections that go to another process of this scheduler or come from one, with the job in hand
// and the attempt that is out. It must never pass what it can't pass whole, and what was passed is no longer answered here.

// maxRaw is how much of a worker's answer may have come for its attempt to be passed: the other process reads it again.
const maxHandoverResponse = 8 << 10

// HandoverJob is a client's connection with a job in hand, and the attempt that is out.
type HandoverJob struct {
	Service   string                 `json:"service"`
	Class     string                 `json:"class"`
	Method    string                 `json:"method"`
	Target    string                 `json:"target"`
	ID        string                 `json:"id"`
	Key       string                 `json:"key"`
	Body      []byte                 `json:"body"`
	KeepAlive bool                   `json:"keep_alive"`
	Ahead     []byte                 `json:"ahead"` // what the client has sent beyond
	Job       engine.HandoverRequest `json:"job"`
	Answer    []byte                 `json:"answer"` // what has come of the worker's
}

// HandOverIdle gives away every connection that is between two requests, as far as give takes it: from then on it is another's.
// Only while nothing is read from any. It returns how many connections are left.
func (s *Server) HandOverIdle(give func(c Conn) bool) int {
	for _, p := range s.Pace.Idle() {
		if x := p.Owner.(*client); !x.busy && x.parser.Idle() && len(x.pipelined) == 0 && give(x.conn) {
			x.close()
		}
	}
	return s.Pace.Counts().Peers
}

// HandOverJobs gives away every connection with a job in hand of which no byte is under way here; worker is nil where no attempt
// is out. Only while nothing is read from any.
func (s *Server) HandOverJobs(give func(p *HandoverJob, client, worker Conn) bool) {
	for _, peer := range s.Pace.Working() {
		x := peer.Owner.(*client)
		if x.request == nil || x.closed {
			continue
		}
		p, worker, ok := x.export()
		if ok && give(p, x.conn, worker) {
			r, v := x.request, x.service
			x.request = nil
			s.releaseRequest(x)
			v.Engine.Release(r) // its attempt goes with it, and our copies of its connections
			x.close()
		}
	}
}

// passed is a client's connection as it goes to another process.
func (x *client) export() (p *HandoverJob, worker Conn, ok bool) {
	in, ok := x.service.Engine.Export(x.request)
	if !ok {
		return nil, nil, false
	}
	c := x.request.Payload.(*payload)
	p = &HandoverJob{Service: x.service.Name, Method: c.method, Target: c.target, ID: c.id, Key: c.key, Body: c.body,
		KeepAlive: x.keepAlive, Ahead: x.pipelined, Job: in}
	for name, i := range x.service.Classes {
		if i == x.class {
			p.Class = name
		}
	}
	if a := x.request.InFlight(); a != nil {
		e, is := a.State.(*exchange)
		if !is || e.ended || !e.written || e.closedEarly || e.finalLineSeen || e.conn == nil || len(e.rawResponse) > maxHandoverResponse {
			return nil, nil, false
		}
		p.Answer, worker = e.rawResponse, e.conn
	}
	return p, worker, true
}

// AdoptIdle takes over a connection of another process's client, between two requests.
func (s *Server) AdoptIdle(c Conn) {
	if c == nil {
		return
	}
	x := s.addClient(c)
	x.peer.Vouched(s.Loop.Now())
	x.armPaceTimer()
}

// Adopt goes on with a job of another process; worker is the connection of its attempt, or nil.
func (s *Server) Adopt(v *Service, p *HandoverJob, c, worker Conn) {
	x := s.addClient(c)
	now := s.Loop.Now()
	x.peer.Vouched(now)
	class, known := v.Classes[p.Class]
	x.busy, x.keepAlive = true, p.KeepAlive
	x.pipelined = append(x.pipelined, p.Ahead...)
	x.peer.Work(now)
	if !known || s.callIDInUse(p.ID) { // it may have run, and can't be followed
		if worker != nil {
			worker.Close()
		}
		x.Failed()
		return
	}
	s.claimCallID(x, p.ID)
	x.service, x.class, x.bookedBytes = v, class, len(p.Body)
	if v.Pool != nil { // or its end would be taken off what others have in hand
		x.unbooked = v.Pool.Adopt(class, x.bookedBytes)
	}
	p.Job.Class = class
	_ = x.reserveMemory(len(p.Body) + len(p.Target))
	in := &payload{method: p.Method, target: p.Target, id: p.ID, key: p.Key, body: p.Body, atMostOnce: v.Engine.Class(class).Effect == decide.Unsafe}
	r, a := v.Engine.Adopt(p.Job, in, x)
	if x.callID != "" { // not answered already
		x.request = r
	}
	if v.Engine.Trace != nil {
		v.Engine.Trace("taken", r.ID, "call_id", p.ID, "target", p.Target, "addr", c.Peer())
	}
	if a != nil {
		v.Workers.adopt(a, worker, p.Answer)
	}
}

// adopt goes on with an attempt of another process. What has come of its answer is read again.
func (w *Workers) adopt(a *engine.Attempt, c Conn, answer []byte) {
	x := w.newExchange(a.Worker)
	x.attempt, a.State = a, x
	if c == nil {
		x.end(decide.Reset) // its connection was lost on the way
		return
	}
	x.written, x.conn = true, c
	c.SetHandler(x)
	if len(answer) > 0 {
		x.Data(answer)
	}
}

// open makes a client of a connection.
func (s *Server) addClient(c Conn) *client {
	x := &client{server: s, conn: c, parser: http1.NewRequestParser()}
	x.peer = s.Pace.Open(s.Loop.Now(), c.Peer(), x)
	c.SetHandler(x)
	return x
}
