package router

import (
	"context"
	"errors"
	"io"
	"net/http"

	"weldscale/internal/eventstream"
	"weldscale/internal/placement"
)

// relayStream relays a worker's events to the client, each one whole, checked and without delay. If the worker breaks off or
// sends what is not an event stream, the client has received only sound events, and a resumable stream continues at another
// worker after the last one, in the same response.
func (q *request) relayStream(ctx context.Context, received *workerResponse) placement.Result {
	if !isRelayable(received.response) {
		q.recordStream(ctx, received, errNotRelayable)
		received.discard()
		return q.brokenResult(ctx)
	}
	if q.handle != nil && q.handle.offeredNow {
		q.handle.taken = true
	}
	relay := eventRelay{request: q, response: received, scanner: eventstream.NewScanner(q.resume(received.response.Request.Header))}
	err := relay.relayEvents()
	q.recordStream(ctx, received, err)
	switch {
	case err == nil:
		return relay.finish()
	case errors.Is(err, errClientWrite):
		received.discard()
		return placement.ResultCancelled
	default:
		return relay.breakOff(ctx, err)
	}
}

// resume tells after which event a stream was requested with the header.
func (q *request) resume(header http.Header) eventstream.Resume {
	lastEventID := header.Get(headerLastEventID)
	resume := eventstream.Resume{Requested: lastEventID != "", Relayed: q.clientResponse.lastID != ""}
	if q.route.Resumable {
		resume.After = lastEventID
	}
	return resume
}

// errClientWrite means that the relay of a stream ended because a write to the client failed.
var errClientWrite = errors.New("write to the client")

// eventRelay relays the events of one worker's stream.
type eventRelay struct {
	request  *request
	response *workerResponse
	scanner  *eventstream.Scanner
}

// relayEvents relays the stream until it ends. It returns nil if the stream was whole, an *eventstream.MalformedError,
// errClientWrite, or the error with which the reading of the stream's body ended.
func (e *eventRelay) relayEvents() error {
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		size, err := e.response.response.Body.Read(buffer[:])
		if size > 0 {
			e.feed(buffer[:size])
		}
		switch {
		case e.scanner.Err() != nil:
			return e.scanner.Err()
		case errors.Is(err, io.EOF):
			return e.scanner.Finish()
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
	e.scanner.Feed(data)
	client := &e.request.clientResponse
	relayed := false
	for event, ok := e.scanner.Next(); ok; event, ok = e.scanner.Next() {
		e.writeHead()
		client.write(event.Raw)
		client.eventCount++
		client.lastID = event.ID
		relayed = true
	}
	if relayed {
		client.flush()
	}
}

// writeHead writes the worker's status and header, unless the response has begun.
func (e *eventRelay) writeHead() {
	if client := &e.request.clientResponse; !client.started() {
		client.writeHead(e.response.response, false)
	}
}

// finish completes the response after a whole stream.
func (e *eventRelay) finish() placement.Result {
	e.response.conn.Release()
	e.request.mayHaveRun = true
	e.writeHead() // a stream that resumes after its last event is empty
	e.request.clientResponse.complete = true
	return placement.ResultServed
}

// breakOff handles a worker's stream that broke or was malformed. It stops placement if the stream can't be resumed at another
// worker.
func (e *eventRelay) breakOff(ctx context.Context, err error) placement.Result {
	e.response.discard()
	q := e.request
	result := q.brokenResult(ctx)
	var malformed *eventstream.MalformedError
	if errors.As(err, &malformed) && result == placement.ResultConnectionBroken {
		result = placement.ResultMalformed
	}
	q.malformed = result == placement.ResultMalformed
	if q.clientResponse.started() && !q.route.Resumable {
		q.cancelPlacement() // no retry: part of the response has already been written to the client
	}
	return result
}
