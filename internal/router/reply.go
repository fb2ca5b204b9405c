package router

import (
	"net/http"
	"strconv"
	"time"

	"weldscale/internal/placement"
)

// reply is what the client has got so far.
type reply struct {
	writer     http.ResponseWriter
	controller *http.ResponseController
	begun      bool   // the head has been written
	complete   bool   // the whole answer has been written
	failed     bool   // the client can't be written to
	lastID     string // of the last event that was passed on whole
	events     int    // passed on

	failure *failure // a worker's own failure, kept in case that nothing better comes
}

// failure is a worker's answer that tells of a failure of its own.
type failure struct {
	status int
	header http.Header
	body   []byte
}

func (p *reply) started() bool { return p.begun }

// lastEventID names the event to go on after, empty if none was passed on.
func (p *reply) lastEventID() string { return p.lastID }

// begin writes a worker's head.
func (p *reply) begin(response *http.Response, keepLength bool) {
	returnedHeader(p.writer.Header(), response.Header)
	if !keepLength {
		p.writer.Header().Del("Content-Length")
	}
	p.writer.WriteHeader(response.StatusCode)
	p.begun = true
}

func (p *reply) write(data []byte) {
	if p.failed || len(data) == 0 {
		return
	}
	if _, err := p.writer.Write(data); err != nil {
		p.failed = true
	}
}

func (p *reply) flush() {
	if p.failed {
		return
	}
	if p.controller.Flush() != nil {
		p.failed = true
	}
}

// whole writes an answer that is there whole.
func (p *reply) whole(response *http.Response, body []byte) {
	p.begin(response, true)
	p.write(body)
	p.complete = true
}

// keepFailure keeps a worker's failure. Those whose status is a promise that it did not give are not kept.
func (p *reply) keepFailure(response *http.Response, body []byte) {
	p.failure = nil
	switch response.StatusCode {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusRequestTimeout:
		return
	}
	p.failure = &failure{status: response.StatusCode, header: response.Header, body: append([]byte(nil), body...)}
}

// finish gives the client its final answer, if it has none. It panics with http.ErrAbortHandler where the answer must
// not look complete.
func (q *request) finish(verdict placement.JobOutcome) {
	switch {
	case q.reply.complete:
	case q.reply.started(), q.clientGone():
		q.noteCut()
		panic(http.ErrAbortHandler)
	case !q.mayHaveRun:
		q.answer(ErrorNoWorker, verdict.RetryAfter)
	case q.reply.failure != nil:
		q.passFailure(q.reply.failure)
	case q.timedOut, time.Until(q.giveUpAt) <= 0:
		q.answer(ErrorTimedOut, 0)
	case q.router.inHand.hasEnded():
		q.answer(ErrorAborted, 0)
	case q.repeatable() && verdict.Decision == placement.DecisionRefused:
		q.answer(ErrorNoWorker, verdict.RetryAfter)
	default:
		q.answer(ErrorWorkerFailed, 0)
	}
}

func (q *request) answer(kind ErrorKind, retryAfter time.Duration) {
	if retryAfter <= 0 {
		retryAfter = q.router.options.RetryAfter
	}
	writeKind(q.reply.writer, q.id, kind, retryAfter)
}

func (q *request) passFailure(kept *failure) {
	returnedHeader(q.reply.writer.Header(), kept.header)
	q.reply.writer.Header().Set("Content-Length", strconv.Itoa(len(kept.body)))
	q.reply.writer.WriteHeader(kept.status)
	q.reply.write(kept.body)
}
