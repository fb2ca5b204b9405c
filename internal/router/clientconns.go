package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// clientConns tracks the client connections and closes idle ones. It replaces the idle timeout of http.Server for two reasons:
// that timeout can't change while the server runs, but the configuration does; and http.Server may close an idle connection
// just after it has read a request from it. clientConns marks a connection before closing it, and a request that was read from
// a marked connection is dropped without being forwarded.
type clientConns struct {
	mutex    sync.Mutex
	conns    map[net.Conn]*clientConn
	draining bool
}

// clientConn is the state of one client connection.
type clientConn struct {
	idleSince time.Time // zero: a request is in flight
	closed    atomic.Bool
	limited   *headLimitedConn // nil if heads are not limited
}

type clientConnKey struct{}

func newClientConns() *clientConns { return &clientConns{conns: map[net.Conn]*clientConn{}} }

// attach is the ConnContext hook of the server. It starts tracking a connection and adds its state to the context.
func (c *clientConns) attach(ctx context.Context, conn net.Conn) context.Context {
	attached := &clientConn{idleSince: time.Now()}
	attached.limited, _ = conn.(*headLimitedConn)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.conns[conn] = attached
	return context.WithValue(ctx, clientConnKey{}, attached)
}

// track is the ConnState hook of the server. A new connection counts as idle until its first request is read.
func (c *clientConns) track(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tracked := c.conns[conn]
	if tracked == nil {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		tracked.idleSince = time.Now()
		if c.draining {
			tracked.close(conn)
		}
	case http.StateActive:
		tracked.idleSince = time.Time{}
	default:
		delete(c.conns, conn)
	}
}

// closeIdle closes the connections that have been idle for longer than the timeout.
func (c *clientConns) closeIdle(timeout time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for conn, tracked := range c.conns {
		if !tracked.idleSince.IsZero() && now.Sub(tracked.idleSince) > timeout {
			tracked.close(conn)
		}
	}
}

// drain closes all idle connections now, and the others as soon as they become idle.
func (c *clientConns) drain() {
	c.mutex.Lock()
	c.draining = true
	c.mutex.Unlock()
	c.closeIdle(-1)
}

func (c *clientConn) close(conn net.Conn) {
	if c.closed.CompareAndSwap(false, true) {
		_ = conn.Close()
	}
}

// readFromClosedConn reports whether a request was read from a connection that is being closed, so that no response can be
// sent.
func readFromClosedConn(incoming *http.Request) bool {
	attached, ok := incoming.Context().Value(clientConnKey{}).(*clientConn)
	return ok && attached.closed.Load()
}

// headRead lifts the limit of the head from the connection of a request whose head has been read.
func headRead(incoming *http.Request) {
	if attached, ok := incoming.Context().Value(clientConnKey{}).(*clientConn); ok && attached.limited != nil {
		attached.limited.headRemaining.Store(noHeadLimit)
	}
}

// clientIdleTimeout returns the time after which an idle client connection is closed. It is the configured idle timeout plus
// the header timeout, because a client within these limits may still be sending a request's header.
func (r *Router) clientIdleTimeout() time.Duration {
	current := r.view.Load()
	if current == nil || current.snapshot.Config.Limits.IdleTimeoutMs <= 0 {
		return defaultIdleTimeout
	}
	limits := &current.snapshot.Config.Limits
	return time.Duration(limits.IdleTimeoutMs+limits.HeaderTimeoutMs) * time.Millisecond
}

const defaultIdleTimeout = 2 * time.Minute
