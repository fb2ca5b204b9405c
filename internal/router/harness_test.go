package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
	"weldscale/internal/router/upstream"
)

const testTimeout = 10 * time.Second

// fakePlacer pushes a job to the targets of its stage, in order, by the rules of placement.
type fakePlacer struct {
	mutex   sync.Mutex
	targets map[string][]fleetwire.Instance // by stage
	jobs    []placement.Job
	results []placement.Result
	ready   func() bool
}

func (p *fakePlacer) Update(*watch.Snapshot) {}

func (p *fakePlacer) Place(ctx context.Context, job placement.Job, push placement.Push) placement.JobOutcome {
	p.mutex.Lock()
	p.jobs = append(p.jobs, job)
	targets := p.targets[job.Stage]
	ready := p.ready
	p.mutex.Unlock()
	if ready == nil {
		ready = func() bool { return true }
	}
	runs, arrivals := job.Runs, 0
	for _, target := range targets {
		if ctx.Err() != nil || runs >= max(1, job.MaxRuns) || runs > 0 && !job.Repeatable {
			break
		}
		result := push(ctx, target, ready)
		p.mutex.Lock()
		p.results = append(p.results, result)
		p.mutex.Unlock()
		if result != placement.ResultConnectFailed {
			arrivals++
		}
		switch result {
		case placement.ResultServed:
			return placement.JobOutcome{Decision: placement.DecisionServed, Runs: runs + 1, Arrivals: arrivals}
		case placement.ResultNotExecuted, placement.ResultConnectFailed:
		default:
			runs++
		}
	}
	if runs > 0 {
		return placement.JobOutcome{Decision: placement.DecisionFailed, Runs: runs, Arrivals: arrivals}
	}
	return placement.JobOutcome{Decision: placement.DecisionRefused, RetryAfter: 250 * time.Millisecond}
}

func (p *fakePlacer) seen() []placement.Result {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]placement.Result(nil), p.results...)
}

// fixture is a router with a configuration of one host and stand-ins for workers.
type fixture struct {
	t      *testing.T
	placer *fakePlacer
	router *Router
	server *httptest.Server
	config *fleetwire.Config
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	f := &fixture{t: t, placer: &fakePlacer{targets: map[string][]fleetwire.Instance{}}}
	plain := []fleetwire.WeightedService{{Service: "plain", Weight: 1}}
	engine := []fleetwire.WeightedService{{Service: "engine", Weight: 1}}
	stream := func(name string, target []fleetwire.WeightedService, resumable bool) fleetwire.Route {
		return fleetwire.Route{Name: name, Hostname: "a.example", PathPrefix: "/" + name + "/", RouteType: "streaming", TimeoutMs: 8000,
			Priority: 3, Split: target, MaxAttempts: 3, Resumable: resumable}
	}
	f.config = &fleetwire.Config{
		Version: 1,
		Routes: []fleetwire.Route{
			{Name: "unsafe", Hostname: "a.example", PathPrefix: "/unsafe/", RouteType: "unsafe", TimeoutMs: 8000, Split: plain, MaxAttempts: 3},
			{Name: "safe", Hostname: "a.example", PathPrefix: "/safe/", RouteType: "safe", TimeoutMs: 8000, Split: plain, MaxAttempts: 3},
			stream("stream", plain, false),
			stream("resume", plain, true),
			stream("generate", engine, false),
		},
		Services: []fleetwire.Service{
			{Name: "plain", MaxConnections: 100},
			{Name: "engine", MaxConnections: 100, Engine: &fleetwire.Engine{Slots: 4, HandleTTLS: 5}},
		},
		Limits: fleetwire.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	f.router = New(Options{Placer: f.placer, Pool: upstream.New(upstream.Options{})})
	f.server = httptest.NewServer(f.router)
	t.Cleanup(f.server.Close)
	f.update()
	return f
}

// update puts the configuration and all targets into force.
func (f *fixture) update() {
	snapshot := &watch.Snapshot{
		Version: fleetwire.Version{ConfigRevision: 1, Instances: fleetwire.ListVersion{Token: 1, Sequence: 1}},
		Config:  f.config,
		Routers: 1,
	}
	for _, targets := range f.placer.targets {
		snapshot.Instances = append(snapshot.Instances, targets...)
	}
	f.router.Update(snapshot)
}

// worker adds a stand-in to a stage.
func (f *fixture) worker(stage string, serve http.HandlerFunc) string {
	f.t.Helper()
	server := httptest.NewServer(serve)
	f.t.Cleanup(server.Close)
	return f.at(stage, server.Listener.Addr().String())
}

func (f *fixture) at(stage, address string) string {
	service := "plain"
	if stage != "" {
		service = "engine"
	}
	f.placer.mutex.Lock()
	f.placer.targets[stage] = append(f.placer.targets[stage], fleetwire.Instance{
		ID: "i-" + address, Service: service, Address: address, Zone: "z-" + address, State: fleetwire.InstanceReady, Stage: stage,
	})
	f.placer.mutex.Unlock()
	f.update()
	return address
}

// rawWorker adds a stand-in that speaks bytes: serve gets each connection with its requests.
func (f *fixture) rawWorker(stage string, serve func(conn net.Conn, next func() *http.Request)) string {
	f.t.Helper()
	return f.rawConn(stage, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		serve(conn, func() *http.Request { return readRequest(reader) })
	})
}

// rawConn adds a stand-in that gets each connection, which is closed after it.
func (f *fixture) rawConn(stage string, serve func(conn net.Conn)) string {
	f.t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				serve(conn)
			}()
		}
	}()
	return f.at(stage, listener.Addr().String())
}

// request makes a client's request with an id of its own.
func (f *fixture) request(method, path, id string, body string) *http.Request {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	f.t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, strings.NewReader(body))
	require.NoError(f.t, err)
	request.Host = "a.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "6000")
	return request
}

func (f *fixture) send(request *http.Request) *http.Response {
	f.t.Helper()
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// get sends a request and reads its answer whole.
func (f *fixture) get(method, path, id string) (*http.Response, string) {
	f.t.Helper()
	response := f.send(f.request(method, path, id, ""))
	body, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return response, string(body)
}

// stamped writes the head of a worker's proper answer.
func stamped(w http.ResponseWriter, r *http.Request, stamp string) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", stamp)
}

// answerTo is a worker's proper answer as bytes.
func answerTo(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s-" + id + "\r\nContent-Length: " +
		itoa(len(body)) + "\r\n\r\n" + body
}
