package router

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/coordination/watch"
	"weldscale/internal/placement"
)

func TestIdleClientConnsAreClosedOnlyAfterTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		conns := newClientConns()
		client, server := net.Pipe()
		conns.attach(t.Context(), server)
		conns.track(server, http.StateNew)
		time.Sleep(time.Second)
		conns.track(server, http.StateActive)
		time.Sleep(time.Minute)
		conns.closeIdle(time.Second)
		conns.track(server, http.StateIdle)
		time.Sleep(10 * time.Second)
		conns.closeIdle(10 * time.Second)
		go func() { _, _ = io.WriteString(client, "x") }()
		_, err := server.Read(make([]byte, 1))
		require.NoError(t, err, "the connection must still be open")
		time.Sleep(time.Second)
		conns.closeIdle(10 * time.Second)
		_, err = server.Read(make([]byte, 1))
		require.Error(t, err)
	})
}

func TestDrainClosesConnsWhenTheyBecomeIdle(t *testing.T) {
	conns := newClientConns()
	_, server := net.Pipe()
	conns.attach(t.Context(), server)
	conns.track(server, http.StateActive)
	conns.drain()
	require.NoError(t, server.SetDeadline(time.Time{}), "the connection must stay open while a request is in flight")
	conns.track(server, http.StateIdle)
	_, err := server.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

// countingPlacer refuses all jobs at once and counts them.
type countingPlacer struct{ placed atomic.Int64 }

func (p *countingPlacer) Update(*watch.Snapshot) {}

func (p *countingPlacer) Place(context.Context, placement.Job, placement.Push) placement.JobOutcome {
	p.placed.Add(1)
	return placement.JobOutcome{Decision: placement.DecisionRefused}
}

// interruptedConn calls interrupt, if set, when the next bytes have been read but not yet returned to the reader.
type interruptedConn struct {
	net.Conn
	interrupt atomic.Pointer[func()]
}

func (c *interruptedConn) Read(buffer []byte) (int, error) {
	size, err := c.Conn.Read(buffer)
	if interrupt := c.interrupt.Swap(nil); size > 0 && interrupt != nil {
		(*interrupt)()
	}
	return size, err
}

// Guards against lost requests (rule LOST of package judge). A request was forwarded that had been read from a connection just
// as the connection was closed as idle, so that no response could be sent.
func TestRequestReadFromClosedConnIsNotForwarded(t *testing.T) {
	for name, closeConns := range map[string]func(*clientConns){
		"idle":  func(conns *clientConns) { conns.closeIdle(-1) },
		"drain": (*clientConns).drain,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				fixture := startShutdownFixture(0)
				placer := &countingPlacer{}
				fixture.router.options.Placer = placer
				client, server := net.Pipe()
				interrupted := &interruptedConn{Conn: server}
				fixture.clientListener.conns <- interrupted
				require.Equal(t, http.StatusServiceUnavailable, sendGet(client, "/a/x").StatusCode)
				synctest.Wait()
				interrupt := func() { closeConns(fixture.router.conns) }
				interrupted.interrupt.Store(&interrupt)
				require.Nil(t, sendGet(client, "/a/x"))
				fixture.shutDown(newShutdownSchedule(time.Second))
				<-fixture.done
				require.EqualValues(t, 1, placer.placed.Load())
			})
		})
	}
}
