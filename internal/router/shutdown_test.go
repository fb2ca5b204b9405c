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

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// pipeListener hands out in-memory connections, so that the clock of the test is the only one.
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

func (l *pipeListener) dial() net.Conn {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client
	case <-l.closed:
		return nil
	}
}

// ask sends a request for a path and returns the answer, or nil.
func ask(conn net.Conn, path string) *http.Response {
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

// slowPlacer takes its time, then refuses.
type slowPlacer struct{ span time.Duration }

func (p slowPlacer) Update(*watch.Snapshot) {}

func (p slowPlacer) Place(ctx context.Context, _ placement.Job, _ placement.Push) placement.Verdict {
	select {
	case <-time.After(p.span):
	case <-ctx.Done():
	}
	return placement.Verdict{Decision: placement.DecisionRefused}
}

type ending struct {
	router            *Router
	clients, probes   *pipeListener
	clientsS, probesS *http.Server
	left              chan struct{}
}

func startEnding(span time.Duration) *ending {
	e := &ending{clients: newPipeListener(), probes: newPipeListener(), left: make(chan struct{})}
	e.router = New(Options{Placer: slowPlacer{span}, Pool: nil, Log: zap.NewNop()})
	e.router.Update(&watch.Snapshot{
		Version: fleetwire.Version{ConfigRevision: 1, Instances: fleetwire.ListVersion{Token: 1}},
		Config: &fleetwire.Config{
			Routes: []fleetwire.Route{{Hostname: "a.example", PathPrefix: "/a/", TimeoutMs: 60000, RouteType: "unsafe",
				Split: []fleetwire.WeightedService{{Service: "s", Weight: 1}}}},
			Services: []fleetwire.Service{{Name: "s"}},
		},
	})
	e.clientsS = &http.Server{Handler: e.router}
	e.probesS = &http.Server{Handler: e.router.ReadinessHandler()}
	go func() { _ = e.clientsS.Serve(e.clients) }()
	go func() { _ = e.probesS.Serve(e.probes) }()
	return e
}

func (e *ending) leave(times leaving) {
	go func() {
		e.router.leave(e.clientsS, e.probesS, times)
		close(e.left)
	}()
	synctest.Wait()
}

func TestLeavingGoesStepByStep(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEnding(4 * time.Second)
		require.Equal(t, http.StatusOK, ask(e.probes.dial(), "/ready").StatusCode)
		running := make(chan *http.Response, 1)
		go func() { running <- ask(e.clients.dial(), "/a/x") }()
		synctest.Wait()
		began := time.Now()
		e.leave(leaveTimes(8 * time.Second))
		require.Equal(t, http.StatusServiceUnavailable, ask(e.probes.dial(), "/ready").StatusCode, "not ready at once")
		time.Sleep(2 * time.Second)
		late := ask(e.clients.dial(), "/none/x") // served on: the platform needs two missed seconds
		require.Equal(t, http.StatusNotFound, late.StatusCode)
		require.True(t, late.Close, "a client is asked to leave its connection")
		<-e.clients.closed
		require.Equal(t, 2500*time.Millisecond, time.Since(began).Round(100*time.Millisecond))
		require.Equal(t, http.StatusServiceUnavailable, (<-running).StatusCode, "what was read gets its answer")
		<-e.left
		require.Less(t, time.Since(began), 6*time.Second)
	})
}

// Guards against LOST: a request that a draining router took was cut as its process ended.
func TestADrainTakesNothingThatTheEndOfTheProcessWouldCut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEnding(6 * time.Second)
		e.leave(leaveTimes(8 * time.Second))
		time.Sleep(2 * time.Second)
		answer := ask(e.clients.dial(), "/a/x") // may last a minute
		require.NotNil(t, answer, "the connection was closed without an answer")
		require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
		require.True(t, answer.Close)
		<-e.left
	})
}

func TestWhatDoesNotEndIsCutWithinTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEnding(time.Hour)
		cut := make(chan *http.Response, 1)
		go func() { cut <- ask(e.clients.dial(), "/a/x") }()
		synctest.Wait()
		began := time.Now()
		e.leave(leaveTimes(8 * time.Second))
		<-e.left
		require.Equal(t, 7*time.Second, time.Since(began).Round(100*time.Millisecond))
		<-cut
	})
}

func TestIdleClientsAreClosedOnlyBeyondTheLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		idle := newIdleConns()
		client, server := net.Pipe()
		idle.track(server, http.StateNew)
		time.Sleep(time.Second)
		idle.track(server, http.StateActive)
		time.Sleep(time.Minute)
		idle.close(time.Second)
		idle.track(server, http.StateIdle)
		time.Sleep(10 * time.Second)
		idle.close(10 * time.Second)
		go func() { _, _ = io.WriteString(client, "x") }()
		_, err := server.Read(make([]byte, 1))
		require.NoError(t, err, "still open")
		time.Sleep(time.Second)
		idle.close(10 * time.Second)
		_, err = server.Read(make([]byte, 1))
		require.Error(t, err)
	})
}

// What the end of a process cuts must be told from what clients, workers and time-outs cut.
func TestTheEndOfAProcessTellsWhatItCuts(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines, observed := observer.New(zap.InfoLevel)
		e := startEnding(time.Hour)
		e.router.options.Log = zap.New(lines)
		go func() { _ = ask(e.clients.dial(), "/a/x") }()
		synctest.Wait()
		e.leave(leaveTimes(8 * time.Second))
		<-e.left
		cut := observed.FilterMessage("answer cut").All()
		require.Len(t, cut, 1)
		fields := cut[0].ContextMap()
		require.Equal(t, "end", fields["cause"])
		require.Equal(t, "id", fields["request"])
		left := observed.FilterMessage("router left").All()
		require.Len(t, left, 1)
		require.EqualValues(t, 1, left[0].ContextMap()["cut"])
	})
}
