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

func TestIdleClientsAreClosedOnlyBeyondTheLimit(t *testing.T) {
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
		require.NoError(t, err, "still open")
		time.Sleep(time.Second)
		conns.closeIdle(10 * time.Second)
		_, err = server.Read(make([]byte, 1))
		require.Error(t, err)
	})
}

func TestALeavingRouterClosesConnectionsAsTheyComeToRest(t *testing.T) {
	conns := newClientConns()
	_, server := net.Pipe()
	conns.attach(t.Context(), server)
	conns.track(server, http.StateActive)
	conns.drain()
	require.NoError(t, server.SetDeadline(time.Time{}), "open while a request is in hand")
	conns.track(server, http.StateIdle)
	_, err := server.Read(make([]byte, 1))
	require.ErrorIs(t, err, io.ErrClosedPipe)
}

// countingPlacer refuses at once and counts.
type countingPlacer struct{ placed atomic.Int64 }

func (p *countingPlacer) Update(*watch.Snapshot) {}

func (p *countingPlacer) Place(context.Context, placement.Job, placement.Push) placement.JobOutcome {
	p.placed.Add(1)
	return placement.JobOutcome{Decision: placement.DecisionRefused}
}

// interruptedConn calls a function once its next bytes have been read, before the reader has them.
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

// Guards against LOST: a request was passed on that had been read from a connection just as this was closed for resting.
func TestARequestReadFromAConnectionThatIsClosedGoesNowhere(t *testing.T) {
	for name, closing := range map[string]func(*clientConns){
		"idle":    func(conns *clientConns) { conns.closeIdle(-1) },
		"leaving": (*clientConns).drain,
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				e := startEnding(0)
				placer := &countingPlacer{}
				e.router.options.Placer = placer
				client, server := net.Pipe()
				interrupted := &interruptedConn{Conn: server}
				e.clients.conns <- interrupted
				require.Equal(t, http.StatusServiceUnavailable, ask(client, "/a/x").StatusCode)
				synctest.Wait()
				interrupt := func() { closing(e.router.conns) }
				interrupted.interrupt.Store(&interrupt)
				require.Nil(t, ask(client, "/a/x"))
				e.leave(newShutdownSchedule(time.Second))
				<-e.left
				require.EqualValues(t, 1, placer.placed.Load())
			})
		})
	}
}
