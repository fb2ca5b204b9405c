package router

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"weldscale/internal/eventstream"
)

// streamEnd is the way in which a worker's stream ended.
type streamEnd string

// All stream ends.
const (
	streamWhole     streamEnd = "whole"     // it ended after an event, as its framing did
	streamMalformed streamEnd = "malformed" // it was not what the protocol allows, see eventstream.Defect
	streamBroken    streamEnd = "broken"    // its connection or its framing broke
	streamUnusable  streamEnd = "unusable"  // its head says that it can't be relayed, see isRelayable
	streamLeft      streamEnd = "left"      // the router left it: the client has gone, time is over or the process ends
)

var streamEnds = []streamEnd{streamWhole, streamMalformed, streamBroken, streamUnusable, streamLeft}

// errNotRelayable means that a stream was not relayed because of its head.
var errNotRelayable = errors.New("no signature, no length or chunks, or an encoding")

// endOfStream classifies the end of a stream by the error that ended its relay, which is nil if the stream was whole.
func endOfStream(ctx context.Context, err error) streamEnd {
	var malformed *eventstream.MalformedError
	switch {
	case errors.As(err, &malformed):
		return streamMalformed
	case err == nil:
		return streamWhole
	case errors.Is(err, errNotRelayable):
		return streamUnusable
	case ctx.Err() != nil, errors.Is(err, errClientWrite):
		return streamLeft
	default:
		return streamBroken
	}
}

// recordStream counts a worker's stream and logs it if its worker has not sent it whole.
func (q *request) recordStream(ctx context.Context, received *workerResponse, err error) {
	end := endOfStream(ctx, err)
	q.router.counters.countStream(end, err)
	if end == streamWhole || end == streamLeft || !q.router.streamLogLimiter.allow(time.Now()) {
		return
	}
	q.logWarning("worker stream not whole",
		zap.String("end", string(end)),
		zap.Error(err),
		zap.String("worker", received.worker),
		zap.String("stamp", received.response.Header.Get(headerSignature)),
		zap.Bool("chunked", len(received.response.TransferEncoding) > 0),
		zap.Bool("reused_connection", received.conn.Reused()),
		zap.Int("events", q.clientResponse.eventCount),
		zap.String("last_id", q.clientResponse.lastID),
	)
}
