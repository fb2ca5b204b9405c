package client

import (
	"context"
	"net/http"
	"time"

	"weldscale/internal/standin/judge"
)

// attempt is one attempt of a request, with the connection that it uses.
type attempt struct {
	router   string    // address
	at       time.Time // zero: nothing was sent
	response *http.Response
	err      error

	pool *connectionPool
	conn *connection
}

// send sends one attempt. The first may use an idle connection; later ones open a new one.
func (q *request) send(ctx context.Context, number int, target, id string) *attempt {
	if !q.group.ReuseAnyConnection {
		return q.sendToSelected(ctx, number, target, id)
	}
	q.group.initTransports()
	sent := &attempt{pool: q.group.pool}
	if number == 0 {
		sent.conn = sent.pool.take()
	}
	if sent.conn == nil {
		sent.router = q.group.SelectRouter(q.group.Zone, q.client, number)
		if sent.conn, sent.err = sent.pool.open(ctx, sent.router); sent.err != nil {
			return sent
		}
	}
	sent.router, sent.at = sent.conn.address, time.Now()
	sent.response, sent.err = sent.conn.RoundTrip(q.newHTTPRequest(ctx, sent.router, target, id))
	return sent
}

// sendToSelected sends one attempt to the router that SelectRouter returns.
func (q *request) sendToSelected(ctx context.Context, number int, target, id string) *attempt {
	transport := q.group.transport()
	if number > 0 {
		transport = &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	}
	sent := &attempt{router: q.group.SelectRouter(q.group.Zone, q.client, number), at: time.Now()}
	sent.response, sent.err = transport.RoundTrip(q.newHTTPRequest(ctx, sent.router, target, id))
	return sent
}

// release returns the connection to the pool after a complete answer and closes it after any other.
func (a *attempt) release(complete bool) {
	switch {
	case a.conn == nil:
	case complete:
		a.pool.put(a.conn)
	default:
		_ = a.conn.Close()
	}
}

// reportAnswer reports the outcome of an attempt to the judge.
func (q *request) reportAnswer(got answer, sent *attempt) answer {
	q.group.Judge.Answered(got.Answer)
	if !got.Complete && !sent.at.IsZero() {
		q.group.Judge.ConnectionCut(judge.Cut{
			ID: got.ID, Router: sent.router, Sent: sent.at, Closed: time.Now(), DeadlineAt: q.began.Add(q.timeLimit()), Cause: got.cause,
		})
	}
	return got
}

// timeLimit returns how long a request may take: up to its deadline, or its route's timeout if that is shorter.
func (q *request) timeLimit() time.Duration {
	timeout := time.Duration(q.Route.TimeoutMs) * time.Millisecond
	return min(q.Deadline, timeout)
}
