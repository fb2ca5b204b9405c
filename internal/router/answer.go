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

// Bounds of what is read of a worker's answer.
const (
	wholeAnswerBytes   = 1 << 20  // an answer up to this size is read whole before the client gets any of it
	pooledBufferBytes  = 64 << 10 // larger buffers are not kept
	rejectionBodyBytes = 4 << 10  // of a rejection, to keep its connection
	copyBufferBytes    = 4 << 10
)

var (
	answerBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}
	copyBuffers   = sync.Pool{New: func() any { return new([copyBufferBytes]byte) }}
)

// answer is a worker's answer whose body is still to be read.
type answer struct {
	conn     *upstream.Conn
	response *http.Response
}

// returnAnswer reads an answer that is no stream and gives it to the client.
func (q *request) returnAnswer(ctx context.Context, received *answer) placement.Result {
	response := received.response
	if !presentable(response) {
		received.discard()
		return q.broken(ctx)
	}
	buffer := answerBuffers.Get().(*bytes.Buffer)
	defer keepBuffer(buffer)
	size, err := io.CopyN(buffer, response.Body, wholeAnswerBytes)
	switch {
	case err == nil && size == wholeAnswerBytes:
		return q.returnLarge(ctx, received, buffer.Bytes())
	case !errors.Is(err, io.EOF):
		received.discard()
		return q.broken(ctx)
	}
	received.conn.Release()
	q.mayHaveRun = true
	if failed(response.StatusCode) {
		q.reply.keepFailure(response, buffer.Bytes())
		return placement.ResultFailed
	}
	if q.reply.started() {
		return placement.ResultFailed // the head of a resumed stream is out already
	}
	q.reply.whole(response, buffer.Bytes())
	return placement.ResultServed
}

// returnLarge passes on an answer that is too large to be held.
func (q *request) returnLarge(ctx context.Context, received *answer, first []byte) placement.Result {
	q.mayHaveRun = true
	if q.reply.started() || failed(received.response.StatusCode) {
		received.discard()
		return placement.ResultFailed
	}
	q.reply.begin(received.response, true)
	q.reply.write(first)
	buffer := copyBuffers.Get().(*[copyBufferBytes]byte)
	defer copyBuffers.Put(buffer)
	for {
		size, err := received.response.Body.Read(buffer[:])
		q.reply.write(buffer[:size])
		if errors.Is(err, io.EOF) {
			received.conn.Release()
			q.reply.complete = true
			return placement.ResultServed
		}
		if err != nil || q.reply.failed {
			received.discard()
			q.abandon() // what the client has can't be taken back
			return q.broken(ctx)
		}
	}
}

func keepBuffer(buffer *bytes.Buffer) {
	if buffer.Cap() <= pooledBufferBytes {
		buffer.Reset()
		answerBuffers.Put(buffer)
	}
}

// presentable reports whether an answer can be a worker's: a success is stamped and not encoded, and its end is told by a
// length or by chunks, so that a cut shows.
func presentable(response *http.Response) bool {
	if response.StatusCode/100 != 2 {
		return true
	}
	framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
	return framed && response.Header.Get(headerSignature) != "" && response.Header.Get("Content-Encoding") == ""
}

// failed reports whether a status tells of a worker's own failure. Without Not-Executed the promises of 429 and 408 are
// none that could be passed on.
func failed(status int) bool {
	return status >= 500 || status == http.StatusTooManyRequests || status == http.StatusRequestTimeout
}

// discard gives up an answer with its connection.
func (a *answer) discard() {
	_ = a.response.Body.Close()
	a.conn.Discard()
}

// reject reads a rejection to its end, so that its connection can be kept.
func (a *answer) reject() {
	_, err := io.CopyN(io.Discard, a.response.Body, rejectionBodyBytes)
	_ = a.response.Body.Close()
	if errors.Is(err, io.EOF) {
		a.conn.Release()
		return
	}
	a.conn.Discard()
}
