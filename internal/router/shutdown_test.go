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

func (p slowPlacer) Place(ctx context.Context, _ placement.Job, _ placement.Push) placement.JobOutcome {
	select {
	case <-time.After(p.span):
	case <-ctx.Done():
	}
	return placement.JobOutcome{Decision: placement.DecisionRefused}
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
	e.clientsS = e.router.newClientServer()
	e.probesS = &http.Server{Handler: e.router.ReadinessHandler()}
	go func() { _ = e.clientsS.Serve(e.clients) }()
	go func() { _ = e.probesS.Serve(e.probes) }()
	return e
}

func (e *ending) leave(times shutdownSchedule) {
	go func() {
		e.router.shutDown(e.clientsS, e.probesS, times)
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
		e.leave(newShutdownSchedule(8 * time.Second))
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
		e.leave(newShutdownSchedule(8 * time.Second))
		time.Sleep(2 * time.Second)
		answer := ask(e.clients.dial(), "/a/x") // may last a minute
		require.NotNil(t, answer, "the connection was closed without an answer")
		require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode)
		require.True(t, answer.Close)
		<-e.left
	})
}

func TestTheTimetableOfLeavingLiesWithinAnyGrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		grace := time.Duration(rapid.Int64Range(1, int64(time.Minute)).Draw(t, "grace"))
		times := newShutdownSchedule(grace)
		require.LessOrEqual(t, times.drain, times.abort)
		require.LessOrEqual(t, times.abort, times.closeAll)
		require.LessOrEqual(t, times.closeAll, grace)
	})
}

// A request that is sure to be over in time is served until the end of the drain.
func TestADrainTakesWhatIsOverInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEnding(time.Second)
		e.leave(newShutdownSchedule(8 * time.Second))
		conn := e.clients.dial()
		began := time.Now()
		_, err := io.WriteString(conn, "GET /a/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\nDeadline-Ms: 2500\r\n\r\n")
		require.NoError(t, err)
		answer, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, "by the placer of the test")
		require.Equal(t, time.Second, time.Since(began), "it was placed")
		<-e.left
	})
}

func TestWhatDoesNotEndIsAnsweredWithinTheGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const grace = 8 * time.Second
		e := startEnding(time.Hour)
		last := make(chan *http.Response, 1)
		go func() { last <- ask(e.clients.dial(), "/a/x") }()
		synctest.Wait()
		began := time.Now()
		e.leave(newShutdownSchedule(grace))
		answer := <-last
		require.NotNil(t, answer, "the connection was closed without an answer")
		require.Equal(t, http.StatusServiceUnavailable, answer.StatusCode, "no worker has seen it")
		require.Equal(t, 7600*time.Millisecond, time.Since(began).Round(100*time.Millisecond))
		<-e.left
		require.Less(t, time.Since(began), grace)
	})
}

// What the end of a process ends must be told from what clients, workers and time-outs cut.
func TestTheEndOfAProcessTellsWhatItEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		lines, observed := observer.New(zap.InfoLevel)
		e := startEnding(time.Hour)
		e.router.options.Log = zap.New(lines)
		go func() { _ = ask(e.clients.dial(), "/a/x") }()
		synctest.Wait()
		e.leave(newShutdownSchedule(8 * time.Second))
		_ = ask(e.clients.dial(), "/a/x")
		<-e.left
		ended := observed.FilterMessage("request ended with the process").All()
		require.Len(t, ended, 1)
		require.Equal(t, "id", ended[0].ContextMap()["request"])
		left := observed.FilterMessage("router left").All()
		require.Len(t, left, 1)
		require.EqualValues(t, 1, left[0].ContextMap()["refused"])
	})
}

// Guards against LOST: the write deadline of one request must not cut the answer to the next on the same connection.
func TestAnAnswerIsNotBoundByTheRequestBeforeIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		e := startEnding(10 * time.Millisecond)
		conn := e.clients.dial()
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
		time.Sleep(time.Second) // on the simulated clock: past the first request's deadline
		second := exchange("/none/x")
		require.NotNil(t, second, "the connection was closed without an answer")
		require.Equal(t, http.StatusNotFound, second.StatusCode)
		_ = conn.Close()
		e.leave(newShutdownSchedule(time.Second))
		<-e.left
	})
}
