package upstream

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

func serverOf(t *testing.T, serve http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func call(t *testing.T, conn *Conn, address string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/", nil)
	require.NoError(t, err)
	response, err := conn.RoundTrip(request)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}

func TestAKeptConnectionIsUsedAgain(t *testing.T) {
	address := serverOf(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	pool := New(Options{})
	first, err := pool.Acquire(context.Background(), address, 1, AnyIdleTime)
	require.NoError(t, err)
	require.False(t, first.Sent())
	_, err = pool.Acquire(context.Background(), address, 1, AnyIdleTime)
	require.ErrorIs(t, err, ErrExhausted)
	call(t, first, address)
	require.True(t, first.Sent())
	first.Release()
	second, err := pool.Acquire(context.Background(), address, 1, AnyIdleTime)
	require.NoError(t, err)
	require.Same(t, first, second)
	second.Discard()
	third, err := pool.Acquire(context.Background(), address, 1, AnyIdleTime)
	require.NoError(t, err)
	require.NotSame(t, first, third)
	third.Discard()
	require.Empty(t, pool.workers)
}

func TestANewConnectionThatIsResetIsNotProven(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	up, reset := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(reset)
		conn, err := listener.Accept()
		<-up
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	pool := New(Options{VerifyMargin: 50 * time.Millisecond})
	conn, err := pool.Acquire(t.Context(), listener.Addr().String(), 1, AnyIdleTime)
	require.NoError(t, err)
	close(up)
	<-reset
	require.False(t, conn.VerifyOpen(t.Context()))
	require.False(t, conn.Sent())
	conn.Discard()
	require.Empty(t, pool.workers)
}

func TestAConnectionThatStandsIsProven(t *testing.T) {
	address := serverOf(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	pool := New(Options{})
	conn, err := pool.Acquire(t.Context(), address, 1, AnyIdleTime)
	require.NoError(t, err)
	require.True(t, conn.VerifyOpen(t.Context()))
	call(t, conn, address)
	conn.Release()
	kept, err := pool.Acquire(t.Context(), address, 1, AnyIdleTime)
	require.NoError(t, err)
	require.Same(t, conn, kept)
	require.True(t, kept.VerifyOpen(t.Context()))
	kept.Discard()
	ended, end := context.WithCancel(t.Context())
	end()
	fresh, err := pool.Acquire(t.Context(), address, 1, AnyIdleTime)
	require.NoError(t, err)
	require.False(t, fresh.VerifyOpen(ended))
	fresh.Discard()
}

func TestOnlyAConnectionThatWasReadWholeIsKept(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{
		"unread": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") },
		"leaving": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := serverOf(t, serve)
			pool := New(Options{})
			conn, err := pool.Acquire(context.Background(), address, 1, AnyIdleTime)
			require.NoError(t, err)
			request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/", nil)
			require.NoError(t, err)
			response, err := conn.RoundTrip(request)
			require.NoError(t, err)
			conn.Release()
			_ = response.Body.Close()
			require.Empty(t, pool.workers)
		})
	}
}

func TestAConnectionIsKeptNoLongerThanItsWorkerSays(t *testing.T) {
	require.Equal(t, 3500*time.Millisecond, keepAliveTime("timeout=5, max=100"))
	require.Equal(t, 700*time.Millisecond, keepAliveTime("max=3, Timeout = 1"))
	require.Zero(t, keepAliveTime(""))
	require.Zero(t, keepAliveTime("timeout=x"))
	conn := &Conn{keepFor: time.Second, idleSince: time.Now().Add(-2 * time.Second)}
	require.False(t, conn.usable(time.Now(), AnyIdleTime))
}

func TestSweepClosesConnectionsToWorkersThatAreGone(t *testing.T) {
	address := serverOf(t, func(http.ResponseWriter, *http.Request) {})
	pool := New(Options{})
	conn, err := pool.Acquire(context.Background(), address, 2, AnyIdleTime)
	require.NoError(t, err)
	call(t, conn, address)
	conn.Release()
	pool.Sweep(func(string) bool { return true })
	require.Len(t, pool.workers, 1)
	pool.Sweep(func(string) bool { return false })
	require.Empty(t, pool.workers)
}

func TestNoConnectionIsAnError(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pool := New(Options{})
	_, err := pool.Acquire(ctx, "127.0.0.1:1", 1, AnyIdleTime)
	require.ErrorIs(t, err, ErrConnect)
	require.Empty(t, pool.workers)
}
