package router

import (
	"context"
	"errors"
	"time"

	"weldscale/internal/placement"
)

// unsentResult returns the result of a push that ended before any byte was sent.
func (q *request) unsentResult(ctx context.Context) placement.Result {
	if ctx.Err() != nil && (q.clientGone() || q.router.inFlight.isStopped()) {
		return placement.ResultCancelled
	}
	return placement.ResultConnectFailed
}

// brokenResult records that the request may have run. It returns the result of a push that ended after bytes were sent, without
// a complete response.
func (q *request) brokenResult(ctx context.Context) placement.Result {
	q.mayHaveRun = true
	switch {
	case q.clientGone() && !q.clientResponse.started() && gaveUpWaiting(q.targetLatency(), time.Since(q.sentAt)):
		return placement.ResultTimedOut
	case q.clientGone(), q.router.inFlight.isStopped():
		return placement.ResultCancelled
	case ctx.Err() != nil && errors.Is(ctx.Err(), context.DeadlineExceeded), time.Until(q.deadline) <= 0:
		q.timedOut = true
		return placement.ResultTimedOut
	default:
		return placement.ResultConnectionBroken
	}
}

// gaveUpWaiting reports whether a client that closed its connection had waited unusually long for the worker. A client gives up
// on a silent stream long before its deadline, so this counts as a timeout of the worker.
func gaveUpWaiting(targetLatency, waited time.Duration) bool {
	return waited >= max(minGiveUpWait, giveUpLatencyFactor*targetLatency)
}

// A client gives up on a stream after two seconds without data, or after four times its target latency if that is longer.
// These limits are lower, so that every such client counts.
const (
	minGiveUpWait       = 1500 * time.Millisecond
	giveUpLatencyFactor = 3
)

func (q *request) targetLatency() time.Duration {
	return time.Duration(q.route.TargetLatencyMs) * time.Millisecond
}

func (q *request) clientGone() bool { return q.incoming.Context().Err() != nil }
