package router

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// clientConns knows the connections of clients and closes those on which nothing is in hand. The time-outs of http.Server
// can't change while it serves, the configuration does; and http.Server closes an idle connection although a request may just
// have been read from it. Here a connection that is closed is marked first, and what was read from it goes nowhere.
type clientConns struct {
	mutex   sync.Mutex
	conns   map[net.Conn]*clientConn
	leaving bool
}

// clientConn is one connection of a client.
type clientConn struct {
	restingSince time.Time // zero: a request is in hand
	closed       atomic.Bool
}

type clientConnKey struct{}

func newClientConns() *clientConns { return &clientConns{conns: map[net.Conn]*clientConn{}} }

// attach is the ConnContext hook of the server.
func (c *clientConns) attach(ctx context.Context, conn net.Conn) context.Context {
	attached := &clientConn{restingSince: time.Now()}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.conns[conn] = attached
	return context.WithValue(ctx, clientConnKey{}, attached)
}

// track is the ConnState hook of the server. A new connection rests until its first request is read.
func (c *clientConns) track(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	tracked := c.conns[conn]
	if tracked == nil {
		return
	}
	switch state {
	case http.StateNew, http.StateIdle:
		tracked.restingSince = time.Now()
		if c.leaving {
			tracked.close(conn)
		}
	case http.StateActive:
		tracked.restingSince = time.Time{}
	default:
		delete(c.conns, conn)
	}
}

// closeResting closes the connections that have rested for longer than allowed.
func (c *clientConns) closeResting(allowed time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	now := time.Now()
	for conn, tracked := range c.conns {
		if !tracked.restingSince.IsZero() && now.Sub(tracked.restingSince) > allowed {
			tracked.close(conn)
		}
	}
}

// leave closes the connections that rest, now and as they come to rest.
func (c *clientConns) leave() {
	c.mutex.Lock()
	c.leaving = true
	c.mutex.Unlock()
	c.closeResting(-1)
}

func (c *clientConn) close(conn net.Conn) {
	if c.closed.CompareAndSwap(false, true) {
		_ = conn.Close()
	}
}

// abandoned reports whether a request was read from a connection that was being closed. Nobody can be answered on it.
func abandoned(incoming *http.Request) bool {
	attached, ok := incoming.Context().Value(clientConnKey{}).(*clientConn)
	return ok && attached.closed.Load()
}

// idleAllowed is the time after which an idle connection is closed: the limits of the configuration, the time in which a
// head may still be on its way included, so that no client is cut that keeps to them.
func (r *Router) idleAllowed() time.Duration {
	current := r.view.Load()
	if current == nil || current.snapshot.Config.Limits.IdleTimeoutMs <= 0 {
		return defaultIdleAllowed
	}
	limits := &current.snapshot.Config.Limits
	return time.Duration(limits.IdleTimeoutMs+limits.HeaderTimeoutMs) * time.Millisecond
}

const defaultIdleAllowed = 2 * time.Minute
