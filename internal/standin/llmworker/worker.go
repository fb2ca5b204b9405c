// Package llmworker stands in for the workers of a fleet, on real sockets: those of a language model, around the pure
// model of package engine, and plain ones that work for a while and answer. A worker tells the judge what it saw and
// made; on demand it breaks off, garbles, falls silent, resets or answers twice.
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

// Config describes a worker. Zero values mean what the comments say.
type Config struct {
	Name           string
	Service        string
	Address        string // 127.0.0.1:0
	Zone           string
	Region         string
	HealthCheck    string         // /healthz
	MaxConnections int            // 350
	IdleTimeout    time.Duration  // 5 s, told by Keep-Alive
	TellsLoad      bool           // Server-Load in answers
	Engine         *engine.Config // nil: a plain worker
	Slots          int            // of a plain worker; 4
	Queue          int            // of a plain worker; 16
	Work           time.Duration  // of a plain worker, for each request
	AnswerBytes    int            // of a plain worker; 100
	Judge          *judge.Checker
	Neighbours     *Neighbours // where memory is fetched from; nil: nowhere
}

// Neighbours finds the workers whose memory can be fetched, by address.
type Neighbours struct{ workers sync.Map }

func (n *Neighbours) at(address string) *Worker {
	if n == nil {
		return nil
	}
	worker, _ := n.workers.Load(address)
	found, _ := worker.(*Worker)
	return found
}

// Worker is one incarnation of a worker.
type Worker struct {
	config   Config
	id       string
	address  string
	server   *http.Server
	driver   *driver // nil for a plain worker
	plain    *places // nil for a worker with an engine
	draining atomic.Bool
	unwell   atomic.Bool
	crashed  chan struct{}
	ended    sync.Once
	stamps   atomic.Int64
	probes   atomic.Int64
	faults   faultPlan
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
		crashed: make(chan struct{})}
	if config.Engine != nil {
		w.driver = startDriver(*config.Engine, w.id)
	} else {
		w.plain = newPlaces(config.Slots, config.Queue)
	}
	if config.Neighbours != nil {
		config.Neighbours.workers.Store(w.address, w)
	}
	w.server = &http.Server{Handler: w.routes(), IdleTimeout: config.IdleTimeout}
	go func() { _ = w.server.Serve(&cappedListener{Listener: listener, most: int64(config.MaxConnections)}) }()
	return w, nil
}

// ID is the incarnation's id.
func (w *Worker) ID() string { return w.id }

// Address is where it listens.
func (w *Worker) Address() string { return w.address }

// Probes is how often it was asked for its report or its health.
func (w *Worker) Probes() int { return int(w.probes.Load()) }

// Running is how many requests it works on.
func (w *Worker) Running() int {
	running, _, _ := w.load()
	return running
}

// Stats returns the engine's counts; of a plain worker, none.
func (w *Worker) Stats() engine.Stats {
	if w.driver == nil {
		return engine.Stats{}
	}
	return w.driver.stats()
}

// ExpireHandles lets all handles lapse at once.
func (w *Worker) ExpireHandles() {
	if w.driver != nil {
		w.driver.do(func(e *engine.Engine, now time.Duration) { e.ExpireHandles(now) })
	}
}

// Instance is the worker as the platform lists it.
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

// Drain makes it unhealthy and its answers close their connections; it serves on.
func (w *Worker) Drain() { w.draining.Store(true) }

// SetUnhealthy makes its health checks fail, or succeed again.
func (w *Worker) SetUnhealthy(unwell bool) { w.unwell.Store(unwell) }

// Restart starts a new incarnation at the same address, once this one has ended.
func (w *Worker) Restart() (*Worker, error) {
	config := w.config
	config.Address = w.address
	return Start(config)
}

// Stop ends it; what it works on is cut off.
func (w *Worker) Stop() {
	w.ended.Do(func() {
		w.config.Judge.ListedDraining(w.id, time.Now())
		w.config.Judge.WorkerExited(w.id)
		w.end()
	})
}

// Crash ends it at once: streams are cut off within an event.
func (w *Worker) Crash() {
	w.ended.Do(func() {
		w.config.Judge.WorkerCrashed(w.id)
		w.end()
	})
}

func (w *Worker) end() {
	close(w.crashed)
	if w.config.Neighbours != nil {
		w.config.Neighbours.workers.CompareAndDelete(w.address, w)
	}
	ctx, cancel := context.WithTimeout(context.Background(), cutGrace)
	defer cancel()
	_ = w.server.Shutdown(ctx) // the handlers see that it crashed and cut what they write
	_ = w.server.Close()
	if w.driver != nil {
		w.driver.close()
	}
}

// cutGrace is how long the handlers may take to cut their streams.
const cutGrace = 100 * time.Millisecond

func (w *Worker) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+w.config.HealthCheck, w.serveHealth)
	if w.driver != nil {
		mux.HandleFunc("GET /report", w.serveReport)
		mux.HandleFunc("POST /order", w.serveOrder)
		mux.HandleFunc("DELETE /kv-handle/{id}", w.serveFreeHandle)
	}
	mux.HandleFunc("/", w.serveRequest)
	return mux
}

// head sets what all answers carry.
func (w *Worker) head(rw http.ResponseWriter, r *http.Request) {
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
	running, waiting = w.plain.load()
	return running, waiting, w.config.Slots
}

// notExecuted answers with the promise that the request has not run.
func (w *Worker) notExecuted(rw http.ResponseWriter, status int) {
	rw.Header().Set("Not-Executed", "1")
	rw.WriteHeader(status)
}

func (w *Worker) serveHealth(rw http.ResponseWriter, r *http.Request) {
	w.probes.Add(1)
	w.head(rw, r)
	if w.draining.Load() || w.unwell.Load() {
		rw.WriteHeader(http.StatusServiceUnavailable)
	}
}

// stamp makes the Response-Signature of a run.
func (w *Worker) stamp() string { return fmt.Sprintf("%s.%d", w.id, w.stamps.Add(1)) }

// expected reports whether the request is for this incarnation.
func (w *Worker) expected(r *http.Request) bool {
	expected := r.Header.Get("Expected-Instance")
	version := r.Header.Get("Expect-Version")
	return (expected == "" || expected == w.id) && slices.Contains([]string{"", "1"}, version)
}

// cappedListener resets the connections beyond the most that it accepts.
type cappedListener struct {
	net.Listener
	most int64
	open atomic.Int64
}

// Accept implements net.Listener.
func (l *cappedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= l.most {
			return &cappedConn{Conn: conn, listener: l}, nil
		}
		l.open.Add(-1)
		reset(conn)
	}
}

type cappedConn struct {
	net.Conn
	listener *cappedListener
	closed   sync.Once
}

// Close implements net.Conn.
func (c *cappedConn) Close() error {
	c.closed.Do(func() { c.listener.open.Add(-1) })
	return c.Conn.Close()
}

// reset closes a connection with a reset.
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
