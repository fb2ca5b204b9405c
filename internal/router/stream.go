package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"

	"weldscale/internal/placement"
)

// largestEvent bounds what is held of one event; what goes beyond is passed on as it is.
const largestEvent = 256 << 10

// returnStream passes a worker's events on, whole and at once. If the worker breaks off, the client keeps the whole events
// that it has; a resumable stream goes on at another worker after the last of them, within the same answer.
func (q *request) returnStream(ctx context.Context, received *answer) placement.Result {
	if !presentable(received.response) {
		received.discard()
		return q.broken(ctx)
	}
	if q.handle != nil && q.handle.offered {
		q.handle.taken = true
	}
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	relay := eventRelay{request: q, answer: received, resumedAfter: q.reply.lastID}
	for {
		size, err := received.response.Body.Read(buffer[:])
		if size > 0 {
			relay.pass(buffer[:size])
		}
		switch {
		case errors.Is(err, io.EOF):
			return relay.ended()
		case err != nil:
			return relay.cut(ctx)
		case q.reply.failed:
			received.discard()
			return placement.ResultCancelled
		}
	}
}

// eventRelay passes the events of one worker's stream on.
type eventRelay struct {
	request      *request
	answer       *answer
	scanner      eventScanner
	resumedAfter string // id of the event that this stream goes on after; empty: it is the first
}

// pass takes the next bytes and passes on the events that they complete.
func (e *eventRelay) pass(data []byte) {
	e.request.mayHaveRun = true
	e.scanner.feed(data)
	passed := false
	for {
		next, whole := e.scanner.next()
		if !whole {
			break
		}
		if !e.fresh(next.id) {
			continue
		}
		e.write(next.raw)
		e.request.reply.events++
		if next.id != nil {
			e.request.reply.lastID = string(next.id)
		}
		passed = true
	}
	if len(e.scanner.rest()) > largestEvent {
		e.write(e.scanner.take())
		passed = true
	}
	if passed {
		e.request.reply.flush()
	}
}

// write writes to the client, after the head of the first worker.
func (e *eventRelay) write(data []byte) {
	reply := &e.request.reply
	if !reply.started() {
		reply.begin(e.answer.response, false)
	}
	reply.write(data)
}

// fresh reports whether the client lacks the event: a worker may begin again at or before the event that it was told.
func (e *eventRelay) fresh(id []byte) bool {
	if e.resumedAfter == "" || id == nil {
		return true
	}
	had, err := strconv.ParseInt(e.resumedAfter, 10, 64)
	if err != nil {
		return !bytes.Equal(id, []byte(e.resumedAfter))
	}
	offered, err := strconv.ParseInt(string(id), 10, 64)
	return err != nil || offered > had
}

// ended finishes the answer after a clean end of the worker's.
func (e *eventRelay) ended() placement.Result {
	e.answer.conn.Release()
	e.request.mayHaveRun = true
	e.write(e.scanner.rest())
	e.request.reply.complete = true
	return placement.ResultServed
}

// cut ends this worker's part after its stream broke.
func (e *eventRelay) cut(ctx context.Context) placement.Result {
	e.answer.discard()
	q := e.request
	result := q.broken(ctx)
	resumable := q.route.Resumable && (q.reply.events == 0 || q.reply.lastID != "")
	if q.reply.started() && !resumable {
		q.abandon() // what the client has can't be taken back
	}
	return result
}
