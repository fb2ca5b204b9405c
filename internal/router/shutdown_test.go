package router

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"
	"pgregory.net/rapid"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// pipeListener accepts in-memory connections, which, unlike sockets, work with the simulated clock of synctest.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	select {
	case <-l.closed:
	default:
		close(l.closed)
	}
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// dial returns the client side of a new connection, or nil if the listener is closed.
func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client
	case <-l.closed:
		return nil
	}
}

// sendGet sends a GET request and returns the response, or nil if there is none.
func sendGet(conn net.Conn, path string) *http.Response {
	if _, err := io.WriteString(conn, "GET "+path+" HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\n\r\n"); err != nil {
		return nil
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response
}

// slowPlacer refuses each job after a delay.
type slowPlacer struct{ delay time.Duration }

func (p slowPlacer) Update(*watch.Snapshot) {}

func (p slowPlacer) Place(ctx context.Context, _ placement.Job, _ placement.Push) placement.JobOutcome {
	select {
	case <-time.After(p.delay):
	case <-ctx.Done():
	}
	return placement.JobOutcome{Decision: placement.DecisionRefused}
}

// shutdownFixture is a router with servers for clients and readiness probes.
type shutdownFixture struct {
	router                        *Router
	clientListener, probeListener *pipeListener
	clientServer, probeServer     *http.Server
	done                          chan struct{} // closed when the shutdown is complete
}

// startShutdownFixture starts a router that refuses each request after the delay.
func startShutdownFixture(delay time.Duration) *shutdownFixture {
	fixture := &shutdownFixture{clientListener: newPipeListener(), probeListener: newPipeListener(), done: make(chan struct{})}
	fixture.router = New(Options{Placer: slowPlacer{delay}, Pool: nil, Log: zap.NewNop()})
	fixture.router.Update(&watch.Snapshot{
		Version: fleetwire.Version{ConfigRevision: 1, Instances: fleetwire.ListVersion{Token: 1}},
		Config: &fleetwire.Config{
			Routes: []fleetwire.Route{{Hostname: "a.example", PathPrefix: "/a/", TimeoutMs: 60000, RouteType: "unsafe",
				Split: []fleetwire.WeightedService{{Service: "s", Weight: 1}}}},
			Services: []fleetwire.Service{{Name: "s"}},
		},
	})
	fixture.clientServer = fixture.router.newClientServer()
	fixture.probeServer = &http.Server{Handler: fixture.router.ReadinessHandler()}
	go func() { _ = fixture.clientServer.Serve(fixture.clientListener) }()
	go func() { _ = fixture.probeServer.Serve(fixture.probeListener) }()
	return fixture
}

// shutDown starts the shutdown in a goroutine and waits until all goroutines are blocked.
func (f *shutdownFixture) shutDown(schedule shutdownSchedule) {
	go func() {
		f.router.shutDown(f.clientServer, f.probeServer, schedule)
		close(f.done)
	}()
	synctest.Wait()
}

func TestShutdownSteps(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := startShutdownFixture(4 * time.Second)
		require.Equal(t, http.StatusOK, sendGet(fixture.probeListener.dial(), "/ready").StatusCode)
		inFlight := make(chan *http.Response, 1)
		go func() { inFlight <- sendGet(fixture.clientListener.dial(), "/a/x") }()
		synctest.Wait()
		started := time.Now()
		fixture.shutDown(newShutdownSchedule(8 * time.Second))
		require.Equal(t, http.StatusServiceUnavailable, sendGet(fixture.probeListener.dial(), "/ready").StatusCode, "the router must become not ready at once")
		time.Sleep(2 * time.Second)
		// The platform sends new clients until the readiness probes have failed for two seconds, so new connections are still served.
		late := sendGet(fixture.clientListener.dial(), "/none/x")
		require.Equal(t, http.StatusNotFound, late.StatusCode)
		require.True(t, late.Close, "the response must close the connection")
		<-fixture.clientListener.closed
		require.Equal(t, 2500*time.Millisecond, time.Since(started).Round(100*time.Millisecond))
		require.Equal(t, http.StatusServiceUnavailable, (<-inFlight).StatusCode, "a request that was read must get a response")
		<-fixture.done
		require.Less(t, time.Since(started), 6*time.Second)
	})
}

// Guards against lost requests (rule LOST of package judge). A request that a draining router had accepted was aborted when the
// process exited.
func TestDrainRefusesRequestsThatMayOutlastShutdown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := startShutdownFixture(6 * time.Second)
		fixture.shutDown(newShutdownSchedule(8 * time.Second))
		time.Sleep(2 * time.Second)
		response := sendGet(fixture.clientListener.dial(), "/a/x") // without Deadline-Ms, its deadline is the route timeout of a minute
		require.NotNil(t, response, "the connection was closed without a response")
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		require.True(t, response.Close)
		<-fixture.done
	})
}

func TestShutdownScheduleFitsGracePeriod(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "grace"))
		schedule := newShutdownSchedule(grace)
		require.LessOrEqual(t, schedule.drain, schedule.abort)
		require.LessOrEqual(t, schedule.abort, schedule.closeAll)
		require.LessOrEqual(t, schedule.closeAll, grace)
	})
}

// A request whose deadline is before the abort time is served until the end of the drain.
func TestDrainServesRequestsThatEndInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := startShutdownFixture(time.Second)
		fixture.shutDown(newShutdownSchedule(8 * time.Second))
		conn := fixture.clientListener.dial()
		started := time.Now()
		_, err := io.WriteString(conn, "GET /a/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\nDeadline-Ms: 2500\r\n\r\n")
		require.NoError(t, err)
		response, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "the response must come from slowPlacer")
		require.Equal(t, time.Second, time.Since(started), "the request must reach the placer")
		<-fixture.done
	})
}

func TestAbortedRequestsGetResponsesWithinGracePeriod(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 8 * time.Second
		fixture := startShutdownFixture(time.Hour)
		aborted := make(chan *http.Response, 1)
		go func() { aborted <- sendGet(fixture.clientListener.dial(), "/a/x") }()
		synctest.Wait()
		started := time.Now()
		fixture.shutDown(newShutdownSchedule(grace))
		response := <-aborted
		require.NotNil(t, response, "the connection was closed without a response")
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode, "no worker has received the request")
		require.Equal(t, 7600*time.Millisecond, time.Since(started).Round(100*time.Millisecond))
		<-fixture.done
		require.Less(t, time.Since(started), grace)
	})
}

// The log must distinguish requests that the shutdown aborts from those that clients, workers or deadlines abort.
func TestShutdownLogsAbortedRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		core, logged := observer.New(zap.InfoLevel)
		fixture := startShutdownFixture(time.Hour)
		fixture.router.options.Log = zap.New(core)
		go func() { _ = sendGet(fixture.clientListener.dial(), "/a/x") }()
		synctest.Wait()
		fixture.shutDown(newShutdownSchedule(8 * time.Second))
		_ = sendGet(fixture.clientListener.dial(), "/a/x")
		<-fixture.done
		abortLines := logged.FilterMessage("request ended with the process").All()
		require.Len(t, abortLines, 1)
		require.Equal(t, "id", abortLines[0].ContextMap()["request"])
		endLines := logged.FilterMessage("router left").All()
		require.Len(t, endLines, 1)
		require.EqualValues(t, 1, endLines[0].ContextMap()["refused"])
	})
}

// Guards against lost requests (rule LOST of package judge). The write deadline of a request must not cut off the response to
// the next request on the same connection.
func TestWriteDeadlineDoesNotAffectNextRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		fixture := startShutdownFixture(10 * time.Millisecond)
		conn := fixture.clientListener.dial()
		reader := bufio.NewReader(conn)
		exchange := func(path string) *http.Response {
			head := "GET " + path + " HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\nDeadline-Ms: 100\r\n\r\n"
			if _, err := io.WriteString(conn, head); err != nil {
				return nil
			}
			response, err := http.ReadResponse(reader, nil)
			if err != nil {
				return nil
			}
			return response
		}
		require.NotNil(t, exchange("/a/x"))
		time.Sleep(time.Second) // simulated time, past the first request's deadline
		second := exchange("/none/x")
		require.NotNil(t, second, "the connection was closed without a response")
		require.Equal(t, http.StatusNotFound, second.StatusCode)
		_ = conn.Close()
		fixture.shutDown(newShutdownSchedule(time.Second))
		<-fixture.done
	})
}
