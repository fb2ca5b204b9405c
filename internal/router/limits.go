package router

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// idleConns closes the connections that clients leave idle for longer than the configuration allows. The time-outs of
// http.Server can't change while it serves, the configuration does.
type idleConns struct {
	mutex sync.Mutex
	since map[net.Conn]time.Time
}

func newIdleConns() *idleConns { return &idleConns{since: map[net.Conn]time.Time{}} }

// track is the ConnState hook of the server. A new connection counts as idle until its first request is read.
func (c *idleConns) track(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	switch state {
	case http.StateNew, http.StateIdle:
		c.since[conn] = time.Now()
	default:
		delete(c.since, conn)
	}
}

// close closes the connections that have been idle for longer than allowed.
func (c *idleConns) close(allowed time.Duration) {
	now := time.Now()
	var late []net.Conn
	c.mutex.Lock()
	for conn, since := range c.since {
		if now.Sub(since) > allowed {
			late = append(late, conn)
			delete(c.since, conn)
		}
	}
	c.mutex.Unlock()
	for _, conn := range late {
		_ = conn.Close()
	}
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
