// Command path plays case 2: a change of the configuration adds a route for all paths of a host, and clients send requests
// whose paths differ in their first segments. A worker that writes down what it reads shows which paths arrive.
package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"weldscale/internal/standin/fleet"
	"weldscale/internal/standin/operator"
	"weldscale/internal/standin/platform"
	"weldscale/review/harness"
)

const (
	routers = 3
	service = "archive"
	host    = "archive.example"
	// settle is the time from the acknowledgement to the first request. It is above ConfigPropagationMs (2,000) and above
	// LivenessMs (3,000), after which a machine counts as in touch.
	settle        = 4 * time.Second
	clientTimeout = 3 * time.Second
)

// targets are the paths of the requests, each sent to each router.
var targets = []string{
	"/plates/2026/12?x=1%2F2",
	"/plates/2026%2F12?x=1%2F2",
	"/plates//2026%2F12?x=1%2F2",
	"//plates/2026/12?x=1%2F2",
	"//plates/2026%2F12?x=1%2F2",
	"//plates/proof%20sheet",
}

func main() {
	harness.Main(fleet.Options{Zones: []string{"a", "b", "c"}, Controllers: 3, Routers: routers}, run)
}

// worker runs each request that names it, and keeps the method and target of each run by Request-Id.
type worker struct {
	id     string
	mu     sync.Mutex
	ran    map[string]string
	server *http.Server
	at     string
}

func startWorker(id, address string) (*worker, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	w := &worker{id: id, ran: map[string]string{}, at: listener.Addr().String()}
	w.server = &http.Server{Handler: w}
	go func() { _ = w.server.Serve(listener) }()
	return w, nil
}

func (w *worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	switch {
	case id == "" && r.RequestURI == "/report":
		rw.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(rw, `{"Busy":false,"Sequence":0,"Queued":0,"Running":0,"KvUsed":0,"KvCapacity":0,"KvHandles":0}`)
		return
	case id == "" && r.RequestURI == "/healthz":
		rw.Header().Set("Instance-Id", w.id)
		return
	}
	if id == "" {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	rw.Header().Set("Request-Id", id)
	if expected := r.Header.Get("Expected-Instance"); expected != "" && expected != w.id {
		rw.Header().Set("Not-Executed", "1")
		rw.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	w.mu.Lock()
	w.ran[id] = r.Method + " " + r.RequestURI
	w.mu.Unlock()
	rw.Header().Set("Response-Signature", w.id+"."+id)
	_, _ = io.WriteString(rw, "done")
}

// run of a request, or an empty text.
func (w *worker) run(id string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ran[id]
}

func run(record *harness.Record, f *fleet.Fleet) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), 90*time.Second)
	defer cancel()
	if _, err := f.AddSmallSiteWorkers(); err != nil {
		return 0, err
	}
	var workers []*worker
	for i := range 2 {
		w, err := startWorker(fmt.Sprintf("i-archive-%d", i+1), f.Subnet()+".200:0")
		if err != nil {
			return 0, err
		}
		defer func() { _ = w.server.Close() }()
		workers = append(workers, w)
		f.Platform.Put(platform.Instance{Service: service, Address: w.at, Zone: "a", Version: "v1", Slots: 6, State: platform.StateReady, ID: w.id})
	}
	config := fleet.SmallSiteConfig(1)
	config.Services = append(config.Services, operator.Service{Name: service, HealthCheck: "/healthz", MaxConnections: 350, Protocol: "h1"})
	config.Routes = append(config.Routes, route("r-plates", "/plates/"))
	if err := replace(ctx, record, f, 0, config); err != nil {
		return 0, err
	}
	if err := f.AwaitReady(ctx, routers); err != nil {
		return 0, err
	}
	if harness.Trouble() {
		config.Version = 2
		config.Routes = append(config.Routes, route("r-archive", "/"))
		if err := replace(ctx, record, f, 1, config); err != nil {
			return 0, err
		}
	}
	time.Sleep(settle)
	changed := 0
	for router, frontend := range f.FrontendAddresses() {
		for n, target := range targets {
			id := fmt.Sprintf("r%d-%d", router+1, n)
			status, err := send(frontend, target, id)
			if err != nil {
				return 0, err
			}
			ran := workers[0].run(id) + workers[1].run(id)
			verdict := "unchanged"
			switch {
			case ran == "":
				verdict = "not run"
			case ran != "POST "+target:
				verdict = "CHANGED"
				changed++
			}
			record.Line("%s sent to router %d: POST %s; answered %d; ran as: %s; %s", id, router+1, target, status, ran, verdict)
		}
	}
	record.Line("%d of %d requests ran with another path than the client sent (UNASKED)", changed, routers*len(targets))
	if changed > 0 {
		return harness.Broken, nil
	}
	return harness.Held, nil
}

// route returns a route of the host to the service, whose requests must not run twice.
func route(name, prefix string) operator.Route {
	return operator.Route{Name: name, Hostname: host, PathPrefix: prefix, RouteType: "unsafe",
		TimeoutMs: 3000, TargetLatencyMs: 300, Priority: 2, Service: service, MaxAttempts: 2}
}

func replace(ctx context.Context, record *harness.Record, f *fleet.Fleet, base int64, config operator.Config) error {
	status, err := f.Operator.Replace(ctx, base, config)
	if err != nil {
		return err
	}
	record.Line("configuration %d on top of %d: answered %d, %d routes", config.Version, base, status, len(config.Routes))
	if status != http.StatusOK {
		return fmt.Errorf("configuration %d was answered %d", config.Version, status)
	}
	return nil
}

// send sends one request on a connection of its own, with the target as it is, and returns the status of the answer.
func send(frontend, target, id string) (int, error) {
	conn, err := net.DialTimeout("tcp", frontend, time.Second)
	if err != nil {
		return 0, err
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(clientTimeout))
	lines := []string{"POST " + target + " HTTP/1.1", "Host: " + host, "Request-Id: " + id,
		fmt.Sprintf("Deadline-Ms: %d", clientTimeout.Milliseconds()), "Content-Length: 4", "", "body"}
	if _, err := io.WriteString(conn, strings.Join(lines, "\r\n")); err != nil {
		return 0, err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return 0, err
	}
	defer func() { _ = response.Body.Close() }()
	_, err = io.Copy(io.Discard, response.Body)
	return response.StatusCode, err
}
