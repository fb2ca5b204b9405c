package jobs

import (
	"weldscale/decide"
	"weldscale/internal/engine"
	"weldscale/internal/http1"
)

// This file hands client connections over to another process of this scheduler and takes them over from one, with the
// open job and its attempt in flight. A connection is handed over only if its whole state can be transferred, and
// after that this process must not answer on it.

// maxHandoverResponse limits how much of a worker's response may have arrived for its attempt to be handed over,
// since the other process parses it again.
const maxHandoverResponse = 8 << 10

// HandoverJob is a client connection with an open job and its attempt in flight.
type HandoverJob struct {
	Service   string                 `json:"service"`
	Class     string                 `json:"class"`
	Method    string                 `json:"method"`
	Target    string                 `json:"target"`
	ID        string                 `json:"id"`
	Key       string                 `json:"key"`
	Body      []byte                 `json:"body"`
	KeepAlive bool                   `json:"keep_alive"`
	Ahead     []byte                 `json:"ahead"` // pipelined data of the client
	Job       engine.HandoverRequest `json:"job"`
	Answer    []byte                 `json:"answer"` // what has arrived of the worker's response
}

// HandOverIdle offers every connection that is between two requests to give. Those for which it returns true belong
// to the other process from then on. It returns the number of connections left. It may be called only while nothing
// is read from any connection.
func (s *Server) HandOverIdle(give func(c Conn) bool) int {
	for _, p := range s.Pace.Idle() {
		if x := p.Owner.(*client); !x.busy && x.parser.Idle() && len(x.pipelined) == 0 && give(x.conn) {
			x.close()
		}
	}
	return s.Pace.Counts().Peers
}

// HandOverJobs offers every connection with an open job to give, except those with bytes that are still in transit in
// this process. worker is nil if no attempt is in flight. It may be called only while nothing is read from any
// connection.
func (s *Server) HandOverJobs(give func(p *HandoverJob, client, worker Conn) bool) {
	for _, peer := range s.Pace.Working() {
		x := peer.Owner.(*client)
		if x.request == nil || x.closed {
			continue
		}
		p, worker, ok := x.export()
		if ok && give(p, x.conn, worker) {
			r, service := x.request, x.service
			x.request = nil
			s.releaseRequest(x)
			service.Engine.Release(r) // the attempt goes with the request, and the connections' descriptors here are closed
			x.close()
		}
	}
}

// export returns the state of a client connection for another process.
func (x *client) export() (p *HandoverJob, worker Conn, ok bool) {
	request, ok := x.service.Engine.Export(x.request)
	if !ok {
		return nil, nil, false
	}
	c := x.request.Payload.(*payload)
	p = &HandoverJob{Service: x.service.Name, Method: c.method, Target: c.target, ID: c.id, Key: c.key, Body: c.body,
		KeepAlive: x.keepAlive, Ahead: x.pipelined, Job: request}
	for name, i := range x.service.Classes {
		if i == x.class {
			p.Class = name
		}
	}
	if a := x.request.InFlight(); a != nil {
		e, isExchange := a.State.(*exchange)
		if !isExchange || e.ended || !e.written || e.closedEarly || e.finalLineSeen || e.conn == nil || len(e.rawResponse) > maxHandoverResponse {
			return nil, nil, false
		}
		p.Answer, worker = e.rawResponse, e.conn
	}
	return p, worker, true
}

// AdoptIdle takes over a client connection that was between two requests in another process.
func (s *Server) AdoptIdle(c Conn) {
	if c == nil {
		return
	}
	x := s.addClient(c)
	x.peer.Adopted(s.Loop.Now())
	x.armPaceTimer()
}

// Adopt continues a job of another process. worker is the connection of its attempt, or nil.
func (s *Server) Adopt(service *Service, p *HandoverJob, c, worker Conn) {
	client := s.addClient(c)
	now := s.Loop.Now()
	client.peer.Adopted(now)
	class, known := service.Classes[p.Class]
	client.busy, client.keepAlive = true, p.KeepAlive
	client.pipelined = append(client.pipelined, p.Ahead...)
	client.peer.JobAccepted(now)
	if !known || s.callIDInUse(p.ID) { // the job may have run, and its outcome can't be determined
		if worker != nil {
			worker.Close()
		}
		client.Failed()
		return
	}
	s.claimCallID(client, p.ID)
	client.service, client.class, client.bookedBytes = service, class, len(p.Body)
	if service.Pool != nil { // without the booking, its end would free capacity that others have booked
		client.unbooked = service.Pool.Adopt(class, client.bookedBytes)
	}
	p.Job.Class = class
	_ = client.reserveMemory(len(p.Body) + len(p.Target))
	request := &payload{method: p.Method, target: p.Target, id: p.ID, key: p.Key, body: p.Body, atMostOnce: service.Engine.Class(class).Effect == decide.Unsafe}
	r, attempt := service.Engine.Adopt(p.Job, request, client)
	if client.callID != "" { // not answered during Adopt
		client.request = r
	}
	if service.Engine.Trace != nil {
		service.Engine.Trace("taken", r.ID, "call_id", p.ID, "target", p.Target, "addr", c.Peer())
	}
	if attempt != nil {
		service.Workers.adopt(attempt, worker, p.Answer)
	}
}

// adopt continues an attempt of another process. What has arrived of its response is parsed again.
func (w *Workers) adopt(a *engine.Attempt, c Conn, answer []byte) {
	x := w.newExchange(a.Worker)
	x.attempt, a.State = a, x
	if c == nil {
		x.end(decide.Reset) // the connection was lost during the handover
		return
	}
	x.written, x.conn = true, c
	c.SetHandler(x)
	if len(answer) > 0 {
		x.Data(answer)
	}
}

// addClient makes a client of a connection and starts its pace accounting.
func (s *Server) addClient(c Conn) *client {
	x := &client{server: s, conn: c, parser: http1.NewRequestParser()}
	x.peer = s.Pace.Open(s.Loop.Now(), c.Peer(), x)
	c.SetHandler(x)
	return x
}
