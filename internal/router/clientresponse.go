package router

import (
	"net/http"
	"strconv"
	"time"

	"weldscale/internal/placement"
)

// clientResponse is the response to the client, as far as it has been written.
type clientResponse struct {
	writer      http.ResponseWriter
	controller  *http.ResponseController
	headWritten bool   // the status and header have been written
	complete    bool   // the whole response has been written
	writeFailed bool   // a write to the client failed
	lastID      string // ID of the last relayed event that has one
	eventCount  int    // number of relayed events

	workerFailure *workerFailure // a worker's error response, relayed if no other attempt succeeds
}

// workerFailure is an error response of a worker.
type workerFailure struct {
	status int
	header http.Header
	body   []byte
}

func (c *clientResponse) started() bool { return c.headWritten }

// lastEventID returns the ID of the event after which to resume the stream. It is empty if no event with an ID was relayed.
func (c *clientResponse) lastEventID() string { return c.lastID }

// writeHead writes the status and header of a worker's response, without its Content-Length unless keepLength is set.
func (c *clientResponse) writeHead(response *http.Response, keepLength bool) {
	copyResponseHeader(c.writer.Header(), response.Header)
	if !keepLength {
		c.writer.Header().Del("Content-Length")
	}
	c.writer.WriteHeader(response.StatusCode)
	c.headWritten = true
}

func (c *clientResponse) write(data []byte) {
	if c.writeFailed || len(data) == 0 {
		return
	}
	if _, err := c.writer.Write(data); err != nil {
		c.writeFailed = true
	}
}

func (c *clientResponse) flush() {
	if c.writeFailed {
		return
	}
	if c.controller.Flush() != nil {
		c.writeFailed = true
	}
}

// writeWhole writes a response whose whole body is known.
func (c *clientResponse) writeWhole(response *http.Response, body []byte) {
	c.writeHead(response, true)
	c.write(body)
	c.complete = true
}

// saveFailure saves a worker's error response to relay it later. It saves none with a status that tells a client that the
// request has not run, because the worker has not guaranteed that.
func (c *clientResponse) saveFailure(response *http.Response, body []byte) {
	c.workerFailure = nil
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return
	}
	c.workerFailure = &workerFailure{status: response.StatusCode, header: response.Header, body: append([]byte(nil), body...)}
}

// finish writes the final response if the client has none yet. It panics with http.ErrAbortHandler if the response must not
// look complete.
func (q *request) finish(outcome placement.JobOutcome) {
	switch {
	case q.clientResponse.complete:
	case q.clientResponse.started(), q.clientGone():
		q.logAbort()
		panic(http.ErrAbortHandler)
	case !q.mayHaveRun:
		q.respondError(ErrorNoWorker, outcome.RetryAfter)
	case q.clientResponse.workerFailure != nil:
		q.relayFailure(q.clientResponse.workerFailure)
	case q.timedOut, time.Until(q.deadline) <= 0:
		q.respondError(ErrorTimedOut, 0)
	case q.router.inFlight.isStopped():
		q.respondError(ErrorAborted, 0)
	case q.repeatable() && outcome.Decision == placement.DecisionRefused:
		q.respondError(ErrorNoWorker, outcome.RetryAfter)
	default:
		q.respondError(ErrorWorkerFailed, 0)
	}
}

func (q *request) respondError(kind ErrorKind, retryAfter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = q.router.options.RetryAfter
	}
	writeErrorResponse(q.clientResponse.writer, q.id, kind, retryAfter)
}

func (q *request) relayFailure(failure *workerFailure) {
	copyResponseHeader(q.clientResponse.writer.Header(), failure.header)
	q.clientResponse.writer.Header().Set("Content-Length", strconv.Itoa(len(failure.body)))
	q.clientResponse.writer.WriteHeader(failure.status)
	q.clientResponse.write(failure.body)
}
