package router

import (
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"weldscale/internal/fleetwire"
)

const (
	// defaultHeaderBytes is the limit of a request's header without a configured one.
	defaultHeaderBytes = 256 << 10
	// headOverhead is what the request line and the separators of the fields may add to the header as headerTooLarge counts it.
	headOverhead = 8 << 10
	// noHeadLimit applies while no head is being read.
	noHeadLimit = math.MaxInt64

	refusalWriteTimeout = time.Second
	// refusalLinger is how long a refused client's bytes are still read, since closing over unread bytes may destroy the refusal.
	refusalLinger      = 500 * time.Millisecond
	refusalLingerBytes = 256 << 10

	headTooLargeResponse = "HTTP/1.1 431 Request Header Fields Too Large\r\nContent-Length: 0\r\nConnection: close\r\n\r\n"
)

var errHeadTooLarge = errors.New("the request's head exceeds the limit")

// headLimitListener accepts connections that limit the heads of requests by the configuration in force, which http.Server can't:
// its limit can't change while it runs.
type headLimitListener struct{ net.Listener }

// Accept returns the next connection as a *headLimitedConn.
func (l headLimitListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	limited := &headLimitedConn{Conn: conn}
	limited.headRemaining.Store(defaultHeaderBytes + headOverhead)
	return limited, nil
}

// headLimitedConn answers 431 and ends the connection when a client sends a larger head than is allowed.
type headLimitedConn struct {
	net.Conn
	headRemaining atomic.Int64 // bytes of the head that may still be read, or noHeadLimit
}

// Read reads at most what remains of the limit.
func (c *headLimitedConn) Read(buffer []byte) (int, error) {
	remaining := c.headRemaining.Load()
	if remaining <= 0 {
		c.refuse()
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: errHeadTooLarge}
	}
	size, err := c.Conn.Read(buffer[:min(int64(len(buffer)), remaining)])
	if remaining != noHeadLimit {
		c.headRemaining.Add(-int64(size))
	}
	return size, err
}

// refuse answers the request whose head is too large. The caller then ends the connection.
func (c *headLimitedConn) refuse() {
	_ = c.SetWriteDeadline(time.Now().Add(refusalWriteTimeout))
	_, _ = io.WriteString(c.Conn, headTooLargeResponse)
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = halfCloser.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(refusalLinger))
	_, _ = io.CopyN(io.Discard, c.Conn, refusalLingerBytes)
}

// maxHeadBytes returns how many bytes of a request's head are read under the limits.
func maxHeadBytes(limits *fleetwire.Limits) int64 {
	if limits.MaxHeaderBytes <= 0 {
		return defaultHeaderBytes + headOverhead
	}
	return min(int64(limits.MaxHeaderBytes), noHeadLimit-headOverhead) + headOverhead
}

// trackHead limits the next head on a connection that waits for one.
func (r *Router) trackHead(conn net.Conn, state http.ConnState) {
	limited, ok := conn.(*headLimitedConn)
	if !ok || state != http.StateNew && state != http.StateIdle {
		return
	}
	current := r.view.Load()
	if current == nil {
		limited.headRemaining.Store(defaultHeaderBytes + headOverhead)
		return
	}
	limited.headRemaining.Store(maxHeadBytes(&current.snapshot.Config.Limits))
}
