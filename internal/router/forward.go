package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"time"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
	"weldscale/internal/router/upstream"
)

// request is one try of a client on its way through the router. It is used by one goroutine.
type request struct {
	router   *Router
	view     *view
	route    *fleetwire.Route
	service  *fleetwire.Service
	incoming *http.Request
	id       string
	target   string      // path and query
	header   http.Header // as passed on
	body     []byte
	prompt   prompt
	arrived  time.Time
	giveUpAt time.Time
	abandon  context.CancelFunc // ends the placing
	reply    reply
	handle   *handle

	mayHaveRun bool             // a worker may have begun the work
	timedOut   bool             // the last push ended by time
	sentAt     time.Time        // when the last push was sent
	used       []*upstream.Conn // connections that carried this request, whose late answers would look like its own
}

// unsafeRestedAtMost is for requests that can't be repeated: a connection that rested longer may be closing under them.
const unsafeRestedAtMost = 2 * time.Second

// repeatable reports whether the request may run more than once.
func (q *request) repeatable() bool {
	return q.route.RouteType == routeSafe || q.streaming() && q.route.Resumable
}

func (q *request) streaming() bool { return q.route.RouteType == routeStreaming }

// Types of routes.
const (
	routeSafe      = "safe"
	routeStreaming = "streaming"
)

// job is what placement is told of one stage.
func (q *request) job(stage string) placement.Job {
	return placement.Job{
		Service:       q.service.Name,
		Stage:         stage,
		Route:         q.route,
		Arrived:       q.arrived,
		Deadline:      q.giveUpAt,
		PromptTokens:  q.prompt.input,
		OutputTokens:  q.prompt.output,
		PromptParts:   q.prompt.parts,
		Repeatable:    q.repeatable(),
		MaxRuns:       q.route.MaxAttempts,
		FirstPushFree: true,
	}
}

// place runs a request of a service without stages.
func (q *request) place(ctx context.Context) placement.JobOutcome {
	return q.router.options.Placer.Place(ctx, q.job(""), q.observed(q.pushAnswer(nil)))
}

// pushAnswer makes the push whose answer is the client's. prepare may change the fields for a worker.
func (q *request) pushAnswer(prepare func(target *fleetwire.Instance, header http.Header)) placement.Push {
	return func(ctx context.Context, target fleetwire.Instance, ready func() bool) placement.Result {
		header := q.header.Clone()
		if id := q.reply.lastEventID(); id != "" {
			header.Set(headerLastEventID, id)
		}
		if prepare != nil {
			prepare(&target, header)
		}
		answer, result := q.exchange(ctx, &target, header, ready)
		if answer == nil {
			return result
		}
		if q.streaming() && answer.response.StatusCode/100 == 2 {
			return q.returnStream(ctx, answer)
		}
		return q.returnAnswer(ctx, answer)
	}
}

// exchange sends the request to a worker and returns its answer. Without an answer that can be the client's it returns
// nil and the result of the push.
func (q *request) exchange(
	ctx context.Context, target *fleetwire.Instance, header http.Header, ready func() bool,
) (*answer, placement.Result) {
	q.timedOut = false
	conn, err := q.connect(ctx, target.Address)
	if errors.Is(err, upstream.ErrExhausted) {
		return nil, placement.ResultNotExecuted // says nothing of the worker
	}
	if err != nil {
		return nil, q.unsent(ctx)
	}
	left := time.Until(q.giveUpAt)
	if ctx.Err() != nil || left < time.Millisecond {
		conn.Release()
		return nil, q.unsent(ctx)
	}
	header.Set(headerExpectedInstance, target.ID)
	header.Set(headerDeadline, strconv.FormatInt(left.Milliseconds(), 10))
	outgoing := (&http.Request{
		Method:        q.incoming.Method,
		URL:           workerURL(target.Address, q.target),
		Host:          q.incoming.Host,
		Header:        header,
		ContentLength: int64(len(q.body)),
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}).WithContext(ctx)
	if len(q.body) > 0 {
		outgoing.Body = io.NopCloser(bytes.NewReader(q.body))
	} else {
		outgoing.Body = http.NoBody
	}
	if !ready() {
		conn.Release()
		return nil, placement.ResultNotExecuted
	}
	q.used = append(q.used, conn)
	q.sentAt = time.Now()
	response, err := conn.RoundTrip(outgoing)
	if err != nil {
		conn.Discard()
		if !conn.Sent() {
			return nil, q.unsent(ctx)
		}
		return nil, q.broken(ctx)
	}
	received := &answer{conn: conn, response: response}
	if response.Header.Get(headerRequestID) != q.id {
		received.discard() // a late answer to another request stands in the place of ours
		return nil, q.broken(ctx)
	}
	q.noteLoad(target, response)
	if notExecuted(response) {
		received.reject()
		return nil, placement.ResultNotExecuted
	}
	return received, placement.ResultServed
}

// noteLoad passes on the load that a worker states with its answer.
func (q *request) noteLoad(target *fleetwire.Instance, response *http.Response) {
	if q.router.options.OnLoadReport == nil {
		return
	}
	if load, ok := parseServerLoad(response.Header.Get(headerServerLoad)); ok {
		q.router.options.OnLoadReport(target, load)
	}
}

// connect returns a connection that has not carried this request before.
func (q *request) connect(ctx context.Context, address string) (*upstream.Conn, error) {
	restedAtMost := upstream.AnyIdleTime
	if !q.repeatable() {
		restedAtMost = unsafeRestedAtMost
	}
	for {
		conn, err := q.router.options.Pool.Acquire(ctx, address, q.view.connectionLimit(q.service), restedAtMost)
		if err != nil {
			return nil, err
		}
		if q.carried(conn) {
			conn.Discard()
			continue
		}
		if !q.repeatable() && !conn.VerifyOpen(ctx) {
			conn.Discard()
			return nil, upstream.ErrExhausted // the worker holds all the connections that it takes
		}
		return conn, nil
	}
}

func (q *request) carried(conn *upstream.Conn) bool {
	for _, used := range q.used {
		if used == conn {
			return true
		}
	}
	return false
}

// notExecuted reports whether the worker promises that the request has not run.
func notExecuted(response *http.Response) bool {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	_, named := response.Header[headerNotExecuted]
	return named && response.StatusCode/100 != 2
}

// unsent is the result of a push that ended before its first byte.
func (q *request) unsent(ctx context.Context) placement.Result {
	if ctx.Err() != nil && (q.clientGone() || q.router.inHand.hasEnded()) {
		return placement.ResultCancelled
	}
	return placement.ResultConnectFailed
}

// broken is the result of a push that ended after its first byte, without an answer.
func (q *request) broken(ctx context.Context) placement.Result {
	q.mayHaveRun = true
	switch {
	case q.clientGone() && !q.reply.started() && leftWaiting(q.aim(), time.Since(q.sentAt)):
		return placement.ResultTimedOut
	case q.clientGone(), q.router.inHand.hasEnded():
		return placement.ResultCancelled
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded), time.Until(q.giveUpAt) <= 0:
		q.timedOut = true
		return placement.ResultTimedOut
	default:
		return placement.ResultConnectionBroken
	}
}

// leftWaiting reports whether a client that left had waited for a worker for longer than is usual: it gives up a stream of
// which nothing comes long before its deadline.
func leftWaiting(aim, waited time.Duration) bool {
	return waited >= max(leftWaitingLeast, leftWaitingAims*aim)
}

// A client gives up a stream after a silence of two seconds, or four times its aim if that is longer.
const (
	leftWaitingLeast = 1500 * time.Millisecond
	leftWaitingAims  = 3
)

func (q *request) aim() time.Duration {
	return time.Duration(q.route.TargetLatencyMs) * time.Millisecond
}

func (q *request) clientGone() bool { return q.incoming.Context().Err() != nil }
