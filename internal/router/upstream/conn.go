package upstream

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"time"
)

// Conn is a connection to one worker, held by one caller at a time, from Acquire to Release or Discard.
type Conn struct {
	pool      *Pool
	address   string
	client    *http.ClientConn
	raw       *watchedConn
	idleSince time.Time
	rested    time.Duration // before its present use; 0: it is new
	cameIn    time.Duration // how long it took to come about
	keepFor   time.Duration
	leaving   bool // the last answer said Connection: close
}

// VerifyOpen reports whether the connection stands. A worker that holds too many connections accepts a new one and resets it at once,
// which a request that was sent meanwhile would be lost by. So a new one is watched for as long as it took to come about.
func (c *Conn) VerifyOpen(ctx context.Context) bool {
	if c.rested > 0 {
		return c.client.Available() == 1
	}
	select {
	case <-time.After(min(c.cameIn, longestConnect) + c.pool.options.VerifyMargin):
		return c.client.Available() == 1
	case <-ctx.Done():
		return false
	}
}

// longestConnect bounds what a slow start of a connection adds to the time that it is watched.
const longestConnect = 17 * time.Millisecond

// RoundTrip sends the request and returns the head of the answer. It sends at most once.
func (c *Conn) RoundTrip(request *http.Request) (*http.Response, error) {
	c.raw.wrote.Store(false)
	sent := time.Now()
	response, err := c.client.RoundTrip(request)
	if err != nil {
		now := time.Now()
		c.pool.memory.failed(now, c.rested, now.Sub(sent), err)
		return nil, err
	}
	c.leaving = response.Close
	if kept := keepAliveTime(response.Header.Get("Keep-Alive")); kept > 0 {
		c.keepFor = kept
	}
	return response, nil
}

// Sent reports whether any byte of the last request may have left. If not, the worker has not seen it.
func (c *Conn) Sent() bool { return c.raw.wrote.Load() }

// Release gives the connection back. It is kept only if its last answer was read whole and the worker is not leaving.
func (c *Conn) Release() {
	if c.leaving || c.client.Available() != 1 {
		c.Discard()
		return
	}
	c.idleSince = time.Now()
	c.pool.keep(c)
}

// Discard closes the connection.
func (c *Conn) Discard() {
	_ = c.client.Close()
	c.pool.forget(c)
}

// usable reports whether an idle connection may carry a request now.
func (c *Conn) usable(now time.Time, restedAtMost time.Duration) bool {
	rested := now.Sub(c.idleSince)
	return rested < c.keepFor && rested <= restedAtMost && c.client.Available() == 1
}

// keepAliveTime is the time that a Keep-Alive field names, less a margin so that the worker does not close first; 0 if none.
func keepAliveTime(field string) time.Duration {
	for parameter := range strings.SplitSeq(field, ",") {
		name, value, found := strings.Cut(strings.TrimSpace(parameter), "=")
		if !found || !strings.EqualFold(strings.TrimSpace(name), "timeout") {
			continue
		}
		seconds, err := strconv.Atoi(strings.TrimSpace(value))
		if err != nil || seconds <= 0 {
			return 0
		}
		return time.Duration(seconds) * time.Second * keepNumerator / keepDenominator
	}
	return 0
}

// An idle connection is used up to this part of the time that its worker keeps it.
const (
	keepNumerator   = 7
	keepDenominator = 10
)
