package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strconv"

	"weldscale/internal/eventstream"
	"weldscale/internal/placement"
)

// maxEventBytes limits the buffered bytes of one event. Larger events are relayed in parts.
const maxEventBytes = 256 << 10

// relayStream relays a worker's events to the client, each one whole and without delay. If the worker breaks off, the client
// has received only whole events (except those above maxEventBytes), and a resumable stream continues at another worker after
// the last one, in the same response.
func (q *request) relayStream(ctx context.Context, received *workerResponse) placement.Result {
	if !isRelayable(received.response) {
		received.discard()
		return q.brokenResult(ctx)
	}
	if q.handle != nil && q.handle.offeredNow {
		q.handle.taken = true
	}
	relay := eventRelay{request: q, response: received, resumedAfter: q.clientResponse.lastID}
	relay.observed = eventstream.NewScanner(received.response.Request.Header.Get(headerLastEventID))
	err := relay.relayEvents()
	q.recordStream(ctx, received, relay.observe(err))
	switch {
	case errors.Is(err, io.EOF):
		return relay.finish()
	case errors.Is(err, errClientWrite):
		received.discard()
		return placement.ResultCancelled
	default:
		return relay.breakOff(ctx)
	}
}

// errClientWrite means that the relay of a stream ended because a write to the client failed.
var errClientWrite = errors.New("write to the client")

// eventRelay relays the events of one worker's stream.
type eventRelay struct {
	request      *request
	response     *workerResponse
	scanner      eventScanner
	resumedAfter string // ID of the event after which this stream resumes; empty: it starts at the beginning
	observed     *eventstream.Scanner
}

// observe returns what ended the stream: its first defect, or readErr, with which the reading of its body ended.
func (e *eventRelay) observe(readErr error) error {
	if e.observed.Err() != nil {
		return e.observed.Err()
	}
	if errors.Is(readErr, io.EOF) && e.observed.Finish() != nil {
		return e.observed.Finish()
	}
	return readErr
}

// relayEvents relays the stream until it ends. It returns the error with which the reading of the stream's body ended, which is
// io.EOF if the framing ended soundly, or errClientWrite.
func (e *eventRelay) relayEvents() error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		size, err := e.response.response.Body.Read(buffer[:])
		if size > 0 {
			e.observed.Feed(buffer[:size])
			for _, ok := e.observed.Next(); ok; _, ok = e.observed.Next() {
			}
			e.feed(buffer[:size])
		}
		switch {
		case err != nil:
			return err
		case e.request.clientResponse.writeFailed:
			return errClientWrite
		}
	}
}

// feed takes the next bytes of the stream and relays the events that they complete.
func (e *eventRelay) feed(data []byte) {
	e.request.mayHaveRun = true
	e.scanner.feed(data)
	relayed := false
	for {
		next, whole := e.scanner.next()
		if !whole {
			break
		}
		if !e.isNew(next.id) {
			continue
		}
		e.write(next.raw)
		e.request.clientResponse.eventCount++
		if next.id != nil {
			e.request.clientResponse.lastID = string(next.id)
		}
		relayed = true
	}
	if len(e.scanner.rest()) > maxEventBytes {
		e.write(e.scanner.takeRest())
		relayed = true
	}
	if relayed {
		e.request.clientResponse.flush()
	}
}

// write writes to the client. The first write is preceded by the worker's status and header.
func (e *eventRelay) write(data []byte) {
	client := &e.request.clientResponse
	if !client.started() {
		client.writeHead(e.response.response, false)
	}
	client.write(data)
}

// isNew reports whether the client has not received the event yet. A worker may resume at or before the requested event.
func (e *eventRelay) isNew(id []byte) bool {
	if e.resumedAfter == "" || id == nil {
		return true
	}
	lastReceived, err := strconv.ParseInt(e.resumedAfter, 10, 64)
	if err != nil {
		return !bytes.Equal(id, []byte(e.resumedAfter))
	}
	received, err := strconv.ParseInt(string(id), 10, 64)
	return err != nil || received > lastReceived
}

// finish completes the response after the worker's stream ended cleanly.
func (e *eventRelay) finish() placement.Result {
	e.response.conn.Release()
	e.request.mayHaveRun = true
	e.write(e.scanner.rest())
	e.request.clientResponse.complete = true
	return placement.ResultServed
}

// breakOff handles a worker's stream that broke. It stops placement if the stream can't be resumed at another worker.
func (e *eventRelay) breakOff(ctx context.Context) placement.Result {
	e.response.discard()
	q := e.request
	result := q.brokenResult(ctx)
	resumable := q.route.Resumable && (q.clientResponse.eventCount == 0 || q.clientResponse.lastID != "")
	if q.clientResponse.started() && !resumable {
		q.cancelPlacement() // no retry: part of the response has already been written to the client
	}
	return result
}
