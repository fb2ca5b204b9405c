// Package upstream pools the router's HTTP/1.1 connections to workers. Each connection is a net/http ClientConn, which never
// sends a request again by itself. An http.Transport does so on reused connections that turn out to be dead. A connection also
// records whether any byte of its request may have been sent.
package upstream

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// ErrSwitchedProtocols is the root of the error of a response with status 101, which no request asks for.
var ErrSwitchedProtocols = eris.New("the worker switched protocols")

// Errors returned by Pool.Acquire.
var (
	// ErrExhausted means that this process already holds its maximum number of connections to the worker.
	ErrExhausted = eris.New("all connections to the worker are in use")
	// ErrConnect is the root of the errors of connections that could not be established.
	ErrConnect = eris.New("connect to worker")
)

// Defaults for Options.
const (
	defaultConnectTimeout = 600 * time.Millisecond
	defaultUserTimeout    = 1500 * time.Millisecond
	defaultBufferBytes    = 2 << 10
	defaultIdleTimeout    = 30 * time.Second
	defaultVerifyMargin   = 3 * time.Millisecond // time the worker needs to handle a new connection
)

// tcpUserTimeout is TCP_USER_TIMEOUT from tcp(7). Package syscall does not define it on Linux.
const tcpUserTimeout = 0x12

// Options configure a Pool. Zero fields take their defaults.
type Options struct {
	ConnectTimeout time.Duration // limit for establishing a connection
	UserTimeout    time.Duration // how long sent bytes may stay unacknowledged before the connection is closed
	BufferBytes    int           // size of a connection's read buffer and of its write buffer
	IdleTimeout    time.Duration // how long an idle connection is kept if its worker sends no Keep-Alive timeout
	VerifyMargin   time.Duration // added to the connect time to get the time for which VerifyOpen watches a new connection
}

func (options Options) withDefaults() Options {
	if options.ConnectTimeout == 0 {
		options.ConnectTimeout = defaultConnectTimeout
	}
	if options.UserTimeout == 0 {
		options.UserTimeout = defaultUserTimeout
	}
	if options.BufferBytes == 0 {
		options.BufferBytes = defaultBufferBytes
	}
	if options.IdleTimeout == 0 {
		options.IdleTimeout = defaultIdleTimeout
	}
	if options.VerifyMargin == 0 {
		options.VerifyMargin = defaultVerifyMargin
	}
	return options
}

// trackedConn records whether a write has started.
type trackedConn struct {
	net.Conn
	writeStarted atomic.Bool
}

// Write records the write before it starts, because the peer may receive part of the data from then on.
func (c *trackedConn) Write(data []byte) (int, error) {
	c.writeStarted.Store(true)
	return c.Conn.Write(data)
}

// dialResult passes the dialled connection to the caller of NewClientConn, which does not expose it.
type dialResult struct{ conn *trackedConn }

type dialResultKey struct{}

func newTransport(options Options) *http.Transport {
	dialer := &net.Dialer{
		Timeout:   options.ConnectTimeout,
		KeepAlive: -1, // keep-alive probes cost wake-ups, and TCP_USER_TIMEOUT already covers sent data
		Control: func(_, _ string, rawConn syscall.RawConn) error {
			return rawConn.Control(func(descriptor uintptr) {
				// A system without this option uses its own timeouts, which are only longer.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(options.UserTimeout/time.Millisecond))
			})
		},
	}
	return &http.Transport{
		DisableCompression: true,
		ReadBufferSize:     options.BufferBytes,
		WriteBufferSize:    options.BufferBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			tracked := &trackedConn{Conn: conn}
			if result, ok := ctx.Value(dialResultKey{}).(*dialResult); ok {
				result.conn = tracked
			}
			return tracked, nil
		},
	}
}
