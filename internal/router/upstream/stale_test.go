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

func TestStaleConnLimitExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var limit staleConnLimit
		require.Equal(t, AnyIdleTime, limit.maxIdleTime(time.Now()))
		limit.recordFailure(time.Now(), 2*time.Second, time.Millisecond, errors.New("other"))
		limit.recordFailure(time.Now(), 2*time.Second, staleResetWithin+1, syscall.ECONNRESET)
		limit.recordFailure(time.Now(), 0, time.Millisecond, syscall.ECONNRESET)
		require.Equal(t, AnyIdleTime, limit.maxIdleTime(time.Now()), "none of these failures shows a stale connection")
		limit.recordFailure(time.Now(), 2*time.Second, time.Millisecond, &net.OpError{Err: syscall.ECONNRESET})
		require.Equal(t, 500*time.Millisecond, limit.maxIdleTime(time.Now()))
		limit.recordFailure(time.Now(), 4*time.Second, time.Millisecond, syscall.EPIPE)
		require.Equal(t, 500*time.Millisecond, limit.maxIdleTime(time.Now()), "the limit never rises before it expires")
		limit.recordFailure(time.Now(), 100*time.Millisecond, time.Millisecond, syscall.ECONNRESET)
		require.Equal(t, minIdleLimit, limit.maxIdleTime(time.Now()))
		time.Sleep(staleLimitDuration + 1)
		require.Equal(t, AnyIdleTime, limit.maxIdleTime(time.Now()))
	})
}

// startResettingServer starts a server that answers one request on each connection and resets the connection when it receives
// more data. It returns the server's address.
func startResettingServer(t *testing.T) string {
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

func TestStaleConnectionLimitsIdleTimeOfAllWorkers(t *testing.T) {
	resettingAddress, otherAddress := startResettingServer(t), startServer(t, func(http.ResponseWriter, *http.Request) {})
	pool := New(Options{})
	acquire := func(address string) *Conn {
		conn, err := pool.Acquire(context.Background(), address, 2, AnyIdleTime)
		require.NoError(t, err)
		return conn
	}
	otherConn := acquire(otherAddress)
	sendRequest(t, otherConn, otherAddress)
	otherConn.Release()
	conn := acquire(resettingAddress)
	sendRequest(t, conn, resettingAddress)
	conn.Release()
	conn.idleSince = conn.idleSince.Add(-time.Second) // idle for one second
	otherConn.idleSince = otherConn.idleSince.Add(-time.Second)
	reused := acquire(resettingAddress)
	require.Same(t, conn, reused)
	request, err := http.NewRequestWithContext(context.Background(), http.MethodPost, "http://"+resettingAddress+"/", nil)
	require.NoError(t, err)
	_, err = reused.RoundTrip(request)
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.True(t, reused.Sent(), "the request may have run")
	reused.Discard()
	require.NotSame(t, otherConn, acquire(otherAddress), "the lower limit also applies to the connections of other workers")
}
