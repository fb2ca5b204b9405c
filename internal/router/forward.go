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

// request is one client request and its state in the router. Only one goroutine uses it. Others may read its immutable fields
// and call cancelPlacement.
type request struct {
	router          *Router
	view            *view
	route           *fleetwire.Route
	service         *fleetwire.Service
	incoming        *http.Request
	id              string
	target          string      // path and query
	header          http.Header // as forwarded to workers
	body            []byte
	prompt          promptInfo
	arrived         time.Time
	deadline        time.Time
	cancelPlacement context.CancelFunc // stops placement
	clientResponse  clientResponse
	handle          *kvHandle

	mayHaveRun bool             // a worker may have started to process the request
	timedOut   bool             // the last push ended at the deadline
	malformed  bool             // the last stream was malformed
	sentAt     time.Time        // when the last push was sent
	usedConns  []*upstream.Conn // connections that carried this request; a late response on one would match its Request-Id
}

// nonRepeatableMaxIdle is the maximum idle time of a connection for a request that can't be repeated. A worker may be closing
// a connection that has been idle for longer.
const nonRepeatableMaxIdle = 2 * time.Second

// repeatable reports whether the request may run more than once.
func (q *request) repeatable() bool {
	return q.route.RouteType == routeTypeSafe || q.streaming() && q.route.Resumable
}

func (q *request) streaming() bool { return q.route.RouteType == routeTypeStreaming }

// Types of routes.
const (
	routeTypeSafe      = "safe"
	routeTypeStreaming = "streaming"
)

// placementJob returns the placement job for one stage of the request.
func (q *request) placementJob(stage string) placement.Job {
	return placement.Job{
		Service:       q.service.Name,
		Stage:         stage,
		Route:         q.route,
		Arrived:       q.arrived,
		Deadline:      q.deadline,
		PromptTokens:  q.prompt.inputTokens,
		OutputTokens:  q.prompt.outputTokens,
		PromptParts:   q.prompt.parts,
		Repeatable:    q.repeatable(),
		MaxRuns:       q.route.MaxAttempts,
		FirstPushFree: true,
	}
}

// place runs the request of a service without stages.
func (q *request) place(ctx context.Context) placement.JobOutcome {
	return q.router.options.Placer.Place(ctx, q.placementJob(""), q.recordResults(q.pushAndRelay(nil)))
}

// pushAndRelay returns a push that sends the request to a worker and relays the response to the client. prepare may change the
// header for the worker. It may be nil.
func (q *request) pushAndRelay(prepare func(target *fleetwire.Instance, header http.Header)) placement.Push {
	return func(ctx context.Context, target fleetwire.Instance, ready func() bool) placement.Result {
		header := q.header.Clone()
		if id := q.clientResponse.lastEventID(); id != "" {
			header.Set(headerLastEventID, id)
		}
		if prepare != nil {
			prepare(&target, header)
		}
		received, result := q.roundTrip(ctx, &target, header, ready)
		if received == nil {
			return result
		}
		if q.streaming() && received.response.StatusCode/100 == 2 && !isHead(received.response) {
			return q.relayStream(ctx, received)
		}
		return q.relayResponse(ctx, received)
	}
}

// roundTrip sends the request to a worker and returns its response. If there is no response that can be relayed, it returns nil
// and the result of the push. It stops before sending if ready returns false.
func (q *request) roundTrip(
	ctx context.Context, target *fleetwire.Instance, header http.Header, ready func() bool,
) (*workerResponse, placement.Result) {
	q.timedOut = false
	conn, err := q.connect(ctx, target.Address)
	if errors.Is(err, upstream.ErrExhausted) {
		return nil, placement.ResultNotExecuted // no evidence about the worker
	}
	if err != nil {
		return nil, q.unsentResult(ctx)
	}
	remaining := time.Until(q.deadline)
	if ctx.Err() != nil || remaining < time.Millisecond {
		conn.Release()
		return nil, q.unsentResult(ctx)
	}
	header.Set(headerExpectedInstance, target.ID)
	header.Set(headerDeadline, strconv.FormatInt(remaining.Milliseconds(), 10))
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
	q.usedConns = append(q.usedConns, conn)
	q.sentAt = time.Now()
	response, err := conn.RoundTrip(outgoing)
	if err != nil {
		conn.Discard()
		if !conn.Sent() {
			return nil, q.unsentResult(ctx)
		}
		return nil, q.brokenResult(ctx)
	}
	received := &workerResponse{worker: target.ID, conn: conn, response: response}
	if response.Header.Get(headerRequestID) != q.id {
		received.discard() // a late response to another request came first
		return nil, q.brokenResult(ctx)
	}
	q.reportLoad(target, response)
	if notExecuted(response) {
		received.reject()
		return nil, placement.ResultNotExecuted
	}
	return received, placement.ResultServed
}

// reportLoad passes the load report in a worker's response, if any, to Options.OnLoadReport.
func (q *request) reportLoad(target *fleetwire.Instance, response *http.Response) {
	if q.router.options.OnLoadReport == nil {
		return
	}
	if load, ok := parseServerLoad(response.Header.Get(headerServerLoad)); ok {
		q.router.options.OnLoadReport(target, load)
	}
}

// connect returns a connection to the address that has not carried this request before.
func (q *request) connect(ctx context.Context, address string) (*upstream.Conn, error) {
	maxIdleTime := upstream.AnyIdleTime
	if !q.repeatable() {
		maxIdleTime = nonRepeatableMaxIdle
	}
	for {
		conn, err := q.router.options.Pool.Acquire(ctx, address, q.view.connectionLimit(q.service), maxIdleTime)
		if err != nil {
			return nil, err
		}
		if q.usedBefore(conn) {
			conn.Discard()
			continue
		}
		if !q.repeatable() && !conn.VerifyOpen(ctx) {
			conn.Discard()
			return nil, upstream.ErrExhausted // the worker is at its connection limit
		}
		return conn, nil
	}
}

func (q *request) usedBefore(conn *upstream.Conn) bool {
	for _, used := range q.usedConns {
		if used == conn {
			return true
		}
	}
	return false
}

// notExecuted reports whether the response guarantees that the worker has not run the request.
func notExecuted(response *http.Response) bool {
	if response.StatusCode == http.StatusMisdirectedRequest {
		return true
	}
	_, present := response.Header[headerNotExecuted]
	return present && response.StatusCode/100 != 2
}
