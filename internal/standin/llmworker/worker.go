// Package llmworker is a stand-in of a fleet's workers, on real sockets: workers of a language model, which use the simulated
// engine of package engine, and plain workers, which answer after a fixed time. A worker reports to the judge what it receives,
// runs and answers. On demand it fails: it truncates, corrupts, withholds or duplicates an answer, spoils a part of it within a
// sound framing, or resets the connection.
package llmworker

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"weldscale/internal/standin/engine"
	"weldscale/internal/standin/judge"
	"weldscale/internal/standin/platform"
)

// Config describes a worker. The values in the comments are the defaults that replace zero values.
type Config struct {
	Name           string
	Service        string
	Address        string // 127.0.0.1:0
	Zone           string
	Region         string
	HealthCheck    string         // /healthz
	MaxConnections int            // 350
	IdleTimeout    time.Duration  // 5 s; sent in Keep-Alive
	TellsLoad      bool           // send Server-Load in answers
	Engine         *engine.Config // nil: a plain worker
	Slots          int            // of a plain worker; 4
	Queue          int            // of a plain worker; 16
	Work           time.Duration  // of a plain worker; the time that each request takes
	AnswerBytes    int            // of a plain worker; 100
	Judge          *judge.Checker
	Neighbours     *Neighbours // the workers that KV memory can be fetched from; nil: none
}

// Neighbours holds the workers that KV memory can be fetched from, by address.
type Neighbours struct{ workers sync.Map }

func (n *Neighbours) find(address string) *Worker {
	if n == nil {
		return nil
	}
	worker, _ := n.workers.Load(address)
	found, _ := worker.(*Worker)
	return found
}

// Worker is one incarnation of a worker. Restart creates another one.
type Worker struct {
	config    Config
	id        string
	address   string
	server    *http.Server
	driver    *driver    // nil for a plain worker
	slots     *slotQueue // nil for a worker with an engine
	draining  atomic.Bool
	unhealthy atomic.Bool
	ended     chan struct{} // closed by Stop and Crash
	endOnce   sync.Once
	stamps    atomic.Int64
	probes    atomic.Int64
	faults    faultPlan
}

var incarnations atomic.Int64

// Start starts a worker. Stop or Crash ends it.
func Start(config Config) (*Worker, error) {
	config.Address = cmp.Or(config.Address, "127.0.0.1:0")
	config.HealthCheck = cmp.Or(config.HealthCheck, "/healthz")
	config.MaxConnections = cmp.Or(config.MaxConnections, 350)
	config.IdleTimeout = cmp.Or(config.IdleTimeout, 5*time.Second)
	config.Slots = cmp.Or(config.Slots, 4)
	config.Queue = cmp.Or(config.Queue, 16)
	config.AnswerBytes = cmp.Or(config.AnswerBytes, 100)
	if config.Judge == nil {
		config.Judge = judge.New(judge.DefaultBounds)
	}
	listener, err := net.Listen("tcp", config.Address)
	if err != nil {
		return nil, err
	}
	w := &Worker{config: config, id: fmt.Sprintf("i-%s-%d", config.Name, incarnations.Add(1)), address: listener.Addr().String(),
		ended: make(chan struct{})}
	if config.Engine != nil {
		w.driver = startDriver(*config.Engine, w.id)
	} else {
		w.slots = newSlotQueue(config.Slots, config.Queue)
	}
	if config.Neighbours != nil {
		config.Neighbours.workers.Store(w.address, w)
	}
	w.server = &http.Server{Handler: w.routes(), IdleTimeout: config.IdleTimeout}
	go func() { _ = w.server.Serve(&cappedListener{Listener: listener, maxOpen: int64(config.MaxConnections)}) }()
	return w, nil
}

// ID returns the incarnation's id.
func (w *Worker) ID() string { return w.id }

// Address returns the worker's listening address.
func (w *Worker) Address() string { return w.address }

// Probes returns the number of load reports and health checks that were requested.
func (w *Worker) Probes() int { return int(w.probes.Load()) }

// Running returns the number of running requests.
func (w *Worker) Running() int {
	running, _, _ := w.load()
	return running
}

// Stats returns the engine's counters. They are zero for a plain worker.
func (w *Worker) Stats() engine.Stats {
	if w.driver == nil {
		return engine.Stats{}
	}
	return w.driver.stats()
}

// ExpireHandles lets all KV handles expire at once.
func (w *Worker) ExpireHandles() {
	if w.driver != nil {
		w.driver.withEngine(func(e *engine.Engine, now time.Duration) { e.ExpireHandles(now) })
	}
}

// Instance returns the worker as the platform lists it.
func (w *Worker) Instance() platform.Instance {
	out := platform.Instance{Service: w.config.Service, Address: w.address, Zone: w.config.Zone, Version: "v1",
		Slots: w.config.Slots,
		State: platform.StateReady, ID: w.id}
	if w.draining.Load() {
		out.State = platform.StateDraining
	}
	if w.driver != nil {
		report := w.driver.state()
		out.Slots, out.Stage = max(w.config.Engine.Slots, 1), report.Stage
		out.Models = []platform.Model{{Name: "m", Version: 1, Adapters: []string{}}}
	}
	return out
}

// Drain makes the health checks fail and the answers close their connections. The worker continues to serve.
func (w *Worker) Drain() { w.draining.Store(true) }

// SetUnhealthy makes the health checks fail, or succeed again.
func (w *Worker) SetUnhealthy(unhealthy bool) { w.unhealthy.Store(unhealthy) }

// Restart starts a new incarnation at the same address. It must be called after Stop or Crash.
func (w *Worker) Restart() (*Worker, error) {
	config := w.config
	config.Address = w.address
	return Start(config)
}

// Stop ends the worker and aborts its running requests.
func (w *Worker) Stop() {
	w.endOnce.Do(func() {
		w.config.Judge.ListedDraining(w.id, time.Now())
		w.config.Judge.WorkerExited(w.id)
		w.shutDown()
	})
}

// Crash ends the worker at once and aborts its streams within an event.
func (w *Worker) Crash() {
	w.endOnce.Do(func() {
		w.config.Judge.WorkerCrashed(w.id)
		w.shutDown()
	})
}

func (w *Worker) shutDown() {
	close(w.ended)
	if w.config.Neighbours != nil {
		w.config.Neighbours.workers.CompareAndDelete(w.address, w)
	}
	ctx, cancel := context.WithTimeout(context.Background(), abortGrace)
	defer cancel()
	_ = w.server.Shutdown(ctx) // the handlers see that ended is closed and abort their answers
	_ = w.server.Close()
	if w.driver != nil {
		w.driver.close()
	}
}

// abortGrace is how long the handlers may take to abort their answers.
const abortGrace = 100 * time.Millisecond

// routes returns the handler of the worker's own calls and of requests. Requests don't go through the ServeMux, which answers
// paths with empty or dot segments by a redirect.
func (w *Worker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+w.config.HealthCheck, w.serveHealth)
	if w.driver != nil {
		mux.HandleFunc("GET /report", w.serveReport)
		mux.HandleFunc("POST /order", w.serveOrder)
		mux.HandleFunc("DELETE /kv-handle/{id}", w.serveFreeHandle)
	}
	return http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if _, pattern := mux.Handler(r); pattern == "" {
			w.serveRequest(rw, r)
			return
		}
		mux.ServeHTTP(rw, r)
	})
}

// setCommonHeaders sets the headers that all answers have.
func (w *Worker) setCommonHeaders(rw http.ResponseWriter, r *http.Request) {
	header := rw.Header()
	header.Set("Instance-Id", w.id)
	if id := r.Header.Get("Request-Id"); id != "" {
		header.Set("Request-Id", id)
	}
	if w.config.TellsLoad {
		running, waiting, slots := w.load()
		header.Set("Server-Load", fmt.Sprintf("%d,%d,%d", running, waiting, slots))
	}
	if w.draining.Load() {
		header.Set("Connection", "close")
	} else if seconds := int(w.config.IdleTimeout / time.Second); seconds > 0 {
		header.Set("Keep-Alive", "timeout="+strconv.Itoa(seconds))
	}
}

func (w *Worker) load() (running, waiting, slots int) {
	if w.driver != nil {
		state := w.driver.state()
		return state.Running, state.Queued, max(w.config.Engine.Slots, 1)
	}
	running, waiting = w.slots.load()
	return running, waiting, w.config.Slots
}

// writeNotExecuted answers with a rejection: the request has not run.
func (w *Worker) writeNotExecuted(rw http.ResponseWriter, status int) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(status)
}

func (w *Worker) serveHealth(rw http.ResponseWriter, r *http.Request) {
	w.probes.Add(1)
	w.setCommonHeaders(rw, r)
	if w.draining.Load() || w.unhealthy.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// newStamp returns a unique Response-Signature for a run.
func (w *Worker) newStamp() string { return fmt.Sprintf("%s.%d", w.id, w.stamps.Add(1)) }

// matchesExpected reports whether the request is meant for this incarnation and version.
func (w *Worker) matchesExpected(r *http.Request) bool {
	expected := r.Header.Get("Expected-Instance")
	version := r.Header.Get("Expect-Version")
	return (expected == "" || expected == w.id) && slices.Contains([]string{"", "1"}, version)
}

// cappedListener resets connections beyond the maximum number of open connections.
type cappedListener struct {
	net.Listener
	maxOpen int64
	open    atomic.Int64
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.maxOpen {
			return &cappedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		reset(conn)
	}
}

type cappedConn struct {
	net.Conn
	listener  *cappedListener
	closeOnce sync.Once
}

// Close implements net.Conn.
func (c *cappedConn) Close() error {
	c.closeOnce.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// reset closes a TCP connection with a reset.
func reset(conn net.Conn) {
	if capped, ok := conn.(*cappedConn); ok {
		defer func() { _ = capped.Close() }()
		conn = capped.Conn
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
