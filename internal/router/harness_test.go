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

// fakePlacer pushes a job to the targets of its stage in order. It retries by the rules of package placement.
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

// pushResults returns the results of all pushes so far.
func (p *fakePlacer) pushResults() []placement.Result {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return append([]placement.Result(nil), p.results...)
}

// fixture is a router behind an HTTP server, with a configuration of one host and with fake workers.
type fixture struct {
	t      *testing.T
	placer *fakePlacer
	router *Router
	server *httptest.Server
	config *fleetwire.Config
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	fixture := &fixture{t: t, placer: &fakePlacer{targets: map[string][]fleetwire.Instance{}}}
	plainSplit := []fleetwire.WeightedService{{Service: "plain", Weight: 1}}
	engineSplit := []fleetwire.WeightedService{{Service: "engine", Weight: 1}}
	streamRoute := func(name string, split []fleetwire.WeightedService, resumable bool) fleetwire.Route {
		return fleetwire.Route{Name: name, Hostname: "a.example", PathPrefix: "/" + name + "/", RouteType: "streaming", TimeoutMs: 8000,
			Priority: 3, Split: split, MaxAttempts: 3, Resumable: resumable}
	}
	fixture.config = &fleetwire.Config{
		Version: 1,
		Routes: []fleetwire.Route{
			{Name: "unsafe", Hostname: "a.example", PathPrefix: "/unsafe/", RouteType: "unsafe", TimeoutMs: 8000, Split: plainSplit, MaxAttempts: 3},
			{Name: "safe", Hostname: "a.example", PathPrefix: "/safe/", RouteType: "safe", TimeoutMs: 8000, Split: plainSplit, MaxAttempts: 3},
			streamRoute("stream", plainSplit, false),
			streamRoute("resume", plainSplit, true),
			streamRoute("generate", engineSplit, false),
		},
		Services: []fleetwire.Service{
			{Name: "plain", MaxConnections: 100},
			{Name: "engine", MaxConnections: 100, Engine: &fleetwire.Engine{Slots: 4, HandleTTLS: 5}},
		},
		Limits: fleetwire.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 1000, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
	fixture.router = New(Options{Placer: fixture.placer, Pool: upstream.New(upstream.Options{})})
	fixture.server = httptest.NewServer(fixture.router)
	t.Cleanup(fixture.server.Close)
	fixture.update()
	return fixture
}

// update applies the configuration and all targets to the router.
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

// addWorker starts an HTTP server as a worker of a stage and returns its address.
func (f *fixture) addWorker(stage string, serve http.HandlerFunc) string {
	f.t.Helper()
	server := httptest.NewServer(serve)
	f.t.Cleanup(server.Close)
	return f.addTarget(stage, server.Listener.Addr().String())
}

// addTarget lists a ready instance of a stage at the address. It returns the address.
func (f *fixture) addTarget(stage, address string) string {
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

// addRawWorker starts a worker that writes raw bytes: serve gets each connection and a function that reads its next request.
// That function returns nil if there is none.
func (f *fixture) addRawWorker(stage string, serve func(conn net.Conn, next func() *http.Request)) string {
	f.t.Helper()
	return f.addConnWorker(stage, func(conn net.Conn) {
		reader := bufio.NewReader(conn)
		serve(conn, func() *http.Request { return readRequest(reader) })
	})
}

// addConnWorker starts a worker that calls serve in a goroutine of its own for each connection and then closes the connection.
func (f *fixture) addConnWorker(stage string, serve func(conn net.Conn)) string {
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
	return f.addTarget(stage, listener.Addr().String())
}

// newRequest returns a client request with the Request-Id id and a deadline of six seconds.
func (f *fixture) newRequest(method, path, id string, body string) *http.Request {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	f.t.Cleanup(cancel)
	request, err := http.NewRequestWithContext(ctx, method, f.server.URL+path, strings.NewReader(body))
	require.NoError(f.t, err)
	request.Host = "a.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", "6000")
	return request
}

// send sends a client request and returns the response with its body unread.
func (f *fixture) send(request *http.Request) *http.Response {
	f.t.Helper()
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(f.t, err)
	f.t.Cleanup(func() { _ = response.Body.Close() })
	return response
}

// exchange sends a client request without a body and reads the whole response.
func (f *fixture) exchange(method, path, id string) (*http.Response, string) {
	f.t.Helper()
	response := f.send(f.newRequest(method, path, id, ""))
	body, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return response, string(body)
}

// setValidHeader sets the header fields that every valid worker response has.
func setValidHeader(w http.ResponseWriter, r *http.Request, signature string) {
	w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	w.Header().Set("Response-Signature", signature)
}

// validResponse returns the bytes of a valid worker response.
func validResponse(id, body string) string {
	return "HTTP/1.1 200 OK\r\nRequest-Id: " + id + "\r\nResponse-Signature: s-" + id + "\r\nContent-Length: " +
		itoa(len(body)) + "\r\n\r\n" + body
}
