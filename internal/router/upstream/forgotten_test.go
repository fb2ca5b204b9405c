package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestMemoryBoundsTheRestForAWhile(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var m memory
		require.Equal(t, AnyIdleTime, m.restedAtMost(time.Now()))
		m.failed(time.Now(), 2*time.Second, time.Millisecond, errors.New("other"))
		m.failed(time.Now(), 2*time.Second, forgottenWithin+1, syscall.ECONNRESET)
		m.failed(time.Now(), 0, time.Millisecond, syscall.ECONNRESET)
		require.Equal(t, AnyIdleTime, m.restedAtMost(time.Now()), "none of these was forgotten")
		m.failed(time.Now(), 2*time.Second, time.Millisecond, &net.OpError{Err: syscall.ECONNRESET})
		require.Equal(t, 500*time.Millisecond, m.restedAtMost(time.Now()))
		m.failed(time.Now(), 4*time.Second, time.Millisecond, syscall.EPIPE)
		require.Equal(t, 500*time.Millisecond, m.restedAtMost(time.Now()), "it is never relaxed while it holds")
		m.failed(time.Now(), 100*time.Millisecond, time.Millisecond, syscall.ECONNRESET)
		require.Equal(t, leastRest, m.restedAtMost(time.Now()))
		time.Sleep(forgetfulFor + 1)
		require.Equal(t, AnyIdleTime, m.restedAtMost(time.Now()))
	})
}

// forgetful serves one request on each connection, and resets it when more comes.
func forgetful(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				reader := bufio.NewReader(conn)
				if _, err := http.ReadRequest(reader); err != nil {
					return
				}
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
				_, _ = reader.Peek(1)
				_ = conn.(*net.TCPConn).SetLinger(0)
				_ = conn.Close()
			}()
		}
	}()
	return listener.Addr().String()
}

func TestAForgottenConnectionShortensTheRestOfAll(t *testing.T) {
	address, other := forgetful(t), serverOf(t, func(http.ResponseWriter, *http.Request) {})
	pool := New(Options{})
	acquire := func(address string) *Conn {
		conn, err := pool.Acquire(context.Background(), address, 2, AnyIdleTime)
		require.NoError(t, err)
		return conn
	}
	kept := acquire(other)
	call(t, kept, other)
	kept.Release()
	conn := acquire(address)
	call(t, conn, address)
	conn.Release()
	conn.idleSince = conn.idleSince.Add(-time.Second) // it rested for a second
	kept.idleSince = kept.idleSince.Add(-time.Second)
	again := acquire(address)
	require.Same(t, conn, again)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+address+"/", nil)
	require.NoError(t, err)
	_, err = again.RoundTrip(request)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.True(t, again.Sent(), "it may have run")
	again.Discard()
	require.NotSame(t, kept, acquire(other), "another worker's connection has rested too long as well")
}
