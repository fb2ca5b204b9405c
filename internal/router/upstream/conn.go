package upstream

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Conn is a connection to one worker. One caller at a time owns it, from Acquire to Release or Discard.
type Conn struct {
	pool           *Pool
	address        string
	clientConn     *http.ClientConn
	tracked        *trackedConn
	idleSince      time.Time
	idleTime       time.Duration // before its current use; 0: a new connection
	connectTime    time.Duration // time taken to establish it
	idleTimeout    time.Duration
	closeRequested bool // the last response had Connection: close
}

// VerifyOpen reports whether the connection is still open. A worker at its connection limit accepts a new connection and
// resets it at once, and a request sent in between would be lost. VerifyOpen therefore watches a new connection for its
// connect time (at most maxVerifyConnectTime) plus Options.VerifyMargin. A reused connection is checked without waiting.
func (c *Conn) VerifyOpen(ctx context.Context) bool {
	if c.Reused() {
		return c.clientConn.Available() == 1
	}
	select {
	case <-time.After(min(c.connectTime, maxVerifyConnectTime) + c.pool.options.VerifyMargin):
		return c.clientConn.Available() == 1
	case <-ctx.Done():
		return false
	}
}

// maxVerifyConnectTime limits how much of a slow connect counts toward the time for which VerifyOpen watches a connection.
const maxVerifyConnectTime = 17 * time.Millisecond

// RoundTrip sends the request at most once and returns the response with its body unread. A response that switches protocols is
// ErrSwitchedProtocols: its body is the connection itself, of which the reading would not end with the request's context.
func (c *Conn) RoundTrip(request *http.Request) (*http.Response, error) {
	c.tracked.writeStarted.Store(false)
	started := time.Now()
	response, err := c.clientConn.RoundTrip(request)
	if err != nil {
		now := time.Now()
		c.pool.staleLimit.recordFailure(now, c.idleTime, now.Sub(started), err)
		return nil, err
	}
	if response.StatusCode == http.StatusSwitchingProtocols {
		_ = response.Body.Close()
		return nil, eris.Wrap(ErrSwitchedProtocols, c.address)
	}
	c.closeRequested = response.Close
	if timeout := keepAliveTimeout(response.Header.Get("Keep-Alive")); timeout > 0 {
		c.idleTimeout = timeout
	}
	return response, nil
}

// Sent reports whether any byte of the last request may have been sent. If not, the worker has not received the request.
func (c *Conn) Sent() bool { return c.tracked.writeStarted.Load() }

// Reused reports whether the connection had carried a request before its current use.
func (c *Conn) Reused() bool { return c.idleTime > 0 }

// Release returns the connection to its pool. The connection is closed instead if its last response was not read to the end
// or the worker asked for it to be closed.
func (c *Conn) Release() {
	if c.closeRequested || c.clientConn.Available() != 1 {
		c.Discard()
		return
	}
	c.idleSince = time.Now()
	c.pool.putIdle(c)
}

// Discard closes the connection and removes it from its pool.
func (c *Conn) Discard() {
	_ = c.clientConn.Close()
	c.pool.removeConn(c)
}

// usable reports whether an idle connection may carry a request at time now.
func (c *Conn) usable(now time.Time, maxIdleTime time.Duration) bool {
	idleTime := now.Sub(c.idleSince)
	return idleTime < c.idleTimeout && idleTime <= maxIdleTime && c.clientConn.Available() == 1
}

// keepAliveTimeout returns the timeout of a Keep-Alive header field, reduced so that the worker does not close the connection
// first. It returns 0 if the field has no valid timeout.
func keepAliveTimeout(field string) time.Duration {
	for parameter := range strings.SplitSeq(field, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds <= 0 {
			return 0
		}
		return time.Duration(seconds) * time.Second * keepAliveNumerator / keepAliveDenominator
	}
	return 0
}

// An idle connection is used for at most keepAliveNumerator/keepAliveDenominator of its worker's Keep-Alive timeout.
const (
	keepAliveNumerator   = 7
	keepAliveDenominator = 10
)
