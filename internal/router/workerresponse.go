package router

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"sync"

	"weldscale/internal/placement"
	"weldscale/internal/router/upstream"
)

// Limits for reading a worker's response.
const (
	maxBufferedResponseBytes = 1 << 20  // a response below this size is read whole before any of it is relayed
	maxPooledBufferBytes     = 64 << 10 // larger buffers are not pooled
	maxRejectionBodyBytes    = 4 << 10  // read from a rejection, so that its connection can be reused
	copyBufferBytes          = 4 << 10
)

var (
	responseBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	copyBuffers     = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}
)

// workerResponse is a worker's response whose body has not been read yet.
type workerResponse struct {
	worker   string // ID of the instance that it was requested from
	conn     *upstream.Conn
	response *http.Response
}

// relayResponse reads a response that is not a stream and writes it to the client.
func (q *request) relayResponse(ctx context.Context, received *workerResponse) placement.Result {
	response := received.response
	if !isRelayable(response) {
		received.discard()
		return q.brokenResult(ctx)
	}
	buffer := responseBuffers.Get().(*bytes.Buffer)
	defer putBuffer(buffer)
	size, err := io.CopyN(buffer, response.Body, maxBufferedResponseBytes)
	switch {
	case err == nil && size == maxBufferedResponseBytes:
		return q.relayLargeResponse(ctx, received, buffer.Bytes())
	case !errors.Is(err, io.EOF):
		received.discard()
		return q.brokenResult(ctx)
	}
	received.conn.Release()
	q.mayHaveRun = true
	if isWorkerFailure(response.StatusCode) {
		q.clientResponse.saveFailure(response, buffer.Bytes())
		return placement.ResultFailed
	}
	if q.clientResponse.started() {
		return placement.ResultFailed // the header of a resumed stream has already been written
	}
	q.clientResponse.writeWhole(response, buffer.Bytes())
	return placement.ResultServed
}

// relayLargeResponse relays a response that is too large to buffer. first is the part that has been read.
func (q *request) relayLargeResponse(ctx context.Context, received *workerResponse, first []byte) placement.Result {
	q.mayHaveRun = true
	if q.clientResponse.started() || isWorkerFailure(received.response.StatusCode) {
		received.discard()
		return placement.ResultFailed
	}
	q.clientResponse.writeHead(received.response, true)
	q.clientResponse.write(first)
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		size, err := received.response.Body.Read(buffer[:])
		q.clientResponse.write(buffer[:size])
		if errors.Is(err, io.EOF) {
			received.conn.Release()
			q.clientResponse.complete = true
			return placement.ResultServed
		}
		if err != nil || q.clientResponse.writeFailed {
			received.discard()
			q.cancelPlacement() // no retry: part of the response has already been written to the client
			return q.brokenResult(ctx)
		}
	}
}

func putBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= maxPooledBufferBytes {
		buffer.Reset()
		responseBuffers.Put(buffer)
	}
}

// isRelayable reports whether a response may be relayed. A success must have a Response-Signature and no Content-Encoding, and
// its length must be known or its body chunked, so that a truncated body is detected. The response to a HEAD request has no body.
func isRelayable(response *http.Response) bool {
	if response.StatusCode/100 != 2 {
		return true
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0 || isHead(response)
	return framed && response.Header.Get(headerSignature) != "" && response.Header.Get("Content-Encoding") == ""
}

// isHead reports whether a response answers a HEAD request.
func isHead(response *http.Response) bool { return response.Request.Method == http.MethodHead }

// isWorkerFailure reports whether a status is a failure of the worker. 429 and 408 are included, because without Not-Executed
// they don't guarantee that the request has not run.
func isWorkerFailure(status int) bool {
	return status >= 500 || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// discard closes the response's body and its connection.
func (r *workerResponse) discard() {
	_ = r.response.Body.Close()
	r.conn.Discard()
}

// reject reads a rejection to its end, so that its connection can be reused. It closes the connection if the body is too long.
func (r *workerResponse) reject() {
	_, err := io.CopyN(io.Discard, r.response.Body, maxRejectionBodyBytes)
	_ = r.response.Body.Close()
	if errors.Is(err, io.EOF) {
		r.conn.Release()
		return
	}
	r.conn.Discard()
}
