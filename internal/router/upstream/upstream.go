// Package upstream keeps the connections to workers. Each connection is a net/http ClientConn, which sends exactly what it
// is told to and never sends a request again by itself, as a Transport does on kept connections that turn out dead. A
// connection also knows whether the first byte of its request may have left.
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

// Errors of Acquire.
var (
	// ErrExhausted says that this process holds all the connections it may have to the worker.
	ErrExhausted = eris.New("all connections to the worker are in use")
	// ErrConnect is the root of errors of connections that did not come about.
	ErrConnect = eris.New("connect to worker")
)

// Defaults of Options.
const (
	defaultConnectTimeout = 600 * time.Millisecond
	defaultUserTimeout    = 1500 * time.Millisecond
	defaultBufferBytes    = 2 << 10
	defaultKeepFor        = 30 * time.Second
	defaultProvingMargin  = 3 * time.Millisecond // the worker's own part: a connection costs it a moment of work
)

// tcpUserTimeout is TCP_USER_TIMEOUT of tcp(7), which package syscall does not name on Linux.
const tcpUserTimeout = 0x12

// Options set up a Pool. Fields left zero take defaults.
type Options struct {
	ConnectTimeout time.Duration // bound of a connection's coming about
	UserTimeout    time.Duration // how long sent bytes may stay unacknowledged before the connection counts as dead
	BufferBytes    int           // size of the read and of the write buffer of a connection
	IdleTimeout    time.Duration // how long an idle connection is kept whose worker names no time of its own
	VerifyMargin   time.Duration // how much longer than it took to come about a new connection is watched by VerifyOpen
}

func (o Options) withDefaults() Options {
	if o.ConnectTimeout == 0 {
		o.ConnectTimeout = defaultConnectTimeout
	}
	if o.UserTimeout == 0 {
		o.UserTimeout = defaultUserTimeout
	}
	if o.BufferBytes == 0 {
		o.BufferBytes = defaultBufferBytes
	}
	if o.IdleTimeout == 0 {
		o.IdleTimeout = defaultKeepFor
	}
	if o.VerifyMargin == 0 {
		o.VerifyMargin = defaultProvingMargin
	}
	return o
}

// watchedConn notes that a write has begun.
type watchedConn struct {
	net.Conn
	wrote atomic.Bool
}

// Write notes the write before it begins: once it has begun, the peer may have some of it.
func (c *watchedConn) Write(data []byte) (int, error) {
	c.wrote.Store(true)
	return c.Conn.Write(data)
}

// dialSlot carries the dialled connection out of NewClientConn, which does not show it.
type dialSlot struct{ conn *watchedConn }

type dialSlotKey struct{}

func newTransport(o Options) *http.Transport {
	dialer := &net.Dialer{
		Timeout:   o.ConnectTimeout,
		KeepAlive: -1, // probes cost wake-ups; TCP_USER_TIMEOUT covers what is sent
		Control: func(_, _ string, raw syscall.RawConn) error {
			return raw.Control(func(descriptor uintptr) {
				// A system without the option keeps its own time-outs, which are only longer.
				_ = syscall.SetsockoptInt(int(descriptor), syscall.IPPROTO_TCP, tcpUserTimeout, int(o.UserTimeout/time.Millisecond))
			})
		},
	}
	return &http.Transport{
		DisableCompression: true,
		ReadBufferSize:     o.BufferBytes,
		WriteBufferSize:    o.BufferBytes,
		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := dialer.DialContext(ctx, network, address)
			if err != nil {
				return nil, err
			}
			watched := &watchedConn{Conn: conn}
			if slot, ok := ctx.Value(dialSlotKey{}).(*dialSlot); ok {
				slot.conn = watched
			}
			return watched, nil
		},
	}
}
