package client

import (
	"context"
	"net/http"
	"time"

	"weldscale/internal/standin/judge"
)

// sending is one try on its connection.
type sending struct {
	router   string    // its address
	at       time.Time // zero: nothing was sent
	response *http.Response
	err      error

	conns *connections
	conn  *connection
}

// send sends one try. The first may use a connection that is there; later ones open a new one.
func (q *request) send(ctx context.Context, number int, target, id string) *sending {
	if !q.crowd.ReuseAnyConnection {
		return q.sendPicked(ctx, number, target, id)
	}
	q.crowd.open()
	sent := &sending{conns: q.crowd.held}
	if number == 0 {
		sent.conn = sent.conns.take()
	}
	if sent.conn == nil {
		sent.router = q.crowd.SelectRouter(q.crowd.Zone, q.client, number)
		if sent.conn, sent.err = sent.conns.open(ctx, sent.router); sent.err != nil {
			return sent
		}
	}
	sent.router, sent.at = sent.conn.address, time.Now()
	sent.response, sent.err = sent.conn.RoundTrip(q.message(ctx, sent.router, target, id))
	return sent
}

// sendPicked sends one try to the router that the platform names.
func (q *request) sendPicked(ctx context.Context, number int, target, id string) *sending {
	transport := q.crowd.transport()
	if number > 0 {
		transport = &http.Transport{DisableCompression: true, DisableKeepAlives: true}
	}
	sent := &sending{router: q.crowd.SelectRouter(q.crowd.Zone, q.client, number), at: time.Now()}
	sent.response, sent.err = transport.RoundTrip(q.message(ctx, sent.router, target, id))
	return sent
}

// end gives the connection back after a whole answer and closes it after any other.
func (s *sending) end(whole bool) {
	switch {
	case s.conn == nil:
	case whole:
		s.conns.give(s.conn)
	default:
		_ = s.conn.Close()
	}
}

// judged tells the judge what became of a try.
func (q *request) judged(got answer, sent *sending) answer {
	q.crowd.Judge.Answered(got.Answer)
	if !got.Complete && !sent.at.IsZero() {
		q.crowd.Judge.ConnectionCut(judge.Cut{
			ID: got.ID, Router: sent.router, Sent: sent.at, Closed: time.Now(), DeadlineAt: q.began.Add(q.patience()), Cause: got.cause,
		})
	}
	return got
}

// patience is the time that a request may take: its deadline, or its route's timeout if that is shorter.
func (q *request) patience() time.Duration {
	timeout := time.Duration(q.Route.TimeoutMs) * time.Millisecond
	return min(q.Deadline, timeout)
}
