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

func startServer(t *testing.T, serve http.HandlerFunc) string {
	t.Helper()
	server := httptest.NewServer(serve)
	t.Cleanup(server.Close)
	return server.Listener.Addr().String()
}

func sendRequest(t *testing.T, conn *Conn, address string) {
	t.Helper()
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/", nil)
	require.NoError(t, err)
	response, err := conn.RoundTrip(request)
	require.NoError(t, err)
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
}

func TestIdleConnectionIsReused(t *testing.T) {
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	pool := New(Options{})
	first, err := pool.Acquire(context.Background(), address, 1, AnyIdleTime)
	require.NoError(t, err)
	require.False(t, first.Sent())
	_, err = pool.Acquire(context.Background(), address, 1, AnyIdleTime)
	require.ErrorIs(t, err, ErrExhausted)
	sendRequest(t, first, address)
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

func TestVerifyOpenRejectsConnectionResetAfterAccept(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	connected, reset := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(reset)
		conn, err := listener.Accept()
		<-connected
		if err == nil {
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	pool := New(Options{VerifyMargin: 50 * time.Millisecond})
	conn, err := pool.Acquire(t.Context(), listener.Addr().String(), 1, AnyIdleTime)
	require.NoError(t, err)
	close(connected)
	<-reset
	require.False(t, conn.VerifyOpen(t.Context()))
	require.False(t, conn.Sent())
	conn.Discard()
	require.Empty(t, pool.workers)
}

func TestVerifyOpenAcceptsOpenConnection(t *testing.T) {
	address := startServer(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") })
	pool := New(Options{})
	conn, err := pool.Acquire(t.Context(), address, 1, AnyIdleTime)
	require.NoError(t, err)
	require.True(t, conn.VerifyOpen(t.Context()))
	sendRequest(t, conn, address)
	conn.Release()
	reused, err := pool.Acquire(t.Context(), address, 1, AnyIdleTime)
	require.NoError(t, err)
	require.Same(t, conn, reused)
	require.True(t, reused.VerifyOpen(t.Context()))
	reused.Discard()
	cancelledCtx, cancel := context.WithCancel(t.Context())
	cancel()
	fresh, err := pool.Acquire(t.Context(), address, 1, AnyIdleTime)
	require.NoError(t, err)
	require.False(t, fresh.VerifyOpen(cancelledCtx))
	fresh.Discard()
}

func TestReleaseClosesUnreadOrClosingConnection(t *testing.T) {
	for name, serve := range map[string]http.HandlerFunc{
		"unread": func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "ok") },
		"closing": func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Connection", "close")
		},
	} {
		t.Run(name, func(t *testing.T) {
			address := startServer(t, serve)
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

func TestKeepAliveTimeoutLimitsIdleTime(t *testing.T) {
	require.Equal(t, 3500*time.Millisecond, keepAliveTimeout("timeout=5, max=100"))
	require.Equal(t, 700*time.Millisecond, keepAliveTimeout("max=3, Timeout = 1"))
	require.Zero(t, keepAliveTimeout(""))
	require.Zero(t, keepAliveTimeout("timeout=x"))
	conn := &Conn{idleTimeout: time.Second, idleSince: time.Now().Add(-2 * time.Second)}
	require.False(t, conn.usable(time.Now(), AnyIdleTime))
}

func TestSweepClosesConnectionsToUnlistedWorkers(t *testing.T) {
	address := startServer(t, func(http.ResponseWriter, *http.Request) {})
	pool := New(Options{})
	conn, err := pool.Acquire(context.Background(), address, 2, AnyIdleTime)
	require.NoError(t, err)
	sendRequest(t, conn, address)
	conn.Release()
	pool.Sweep(func(string) bool { return true })
	require.Len(t, pool.workers, 1)
	pool.Sweep(func(string) bool { return false })
	require.Empty(t, pool.workers)
}

func TestAcquireReturnsConnectError(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	cancel()
	pool := New(Options{})
	_, err := pool.Acquire(ctx, "127.0.0.1:1", 1, AnyIdleTime)
	require.ErrorIs(t, err, ErrConnect)
	require.Empty(t, pool.workers)
}
