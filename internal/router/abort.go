package router

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// abortCause is the reason why a client's connection is closed before its response is complete.
type abortCause string

// All abort causes.
const (
	abortedByClient       abortCause = "client"    // the client closed its connection
	abortedByWriteFailure abortCause = "write"     // writing to the client failed
	abortedByDeadline     abortCause = "time"      // the client's deadline or the route's timeout passed
	abortedByWorker       abortCause = "worker"    // the worker broke off and its response can't be resumed at another worker
	abortedByMalformed    abortCause = "malformed" // the same, of a worker that sent what is not an event stream
	abortedByShutdown     abortCause = "end"       // the router shuts down
)

// abortCause returns the reason why the response can't be completed.
func (q *request) abortCause() abortCause {
	switch {
	case q.clientGone():
		return abortedByClient
	case q.clientResponse.writeFailed:
		return abortedByWriteFailure
	case q.timedOut, time.Until(q.deadline) <= 0:
		return abortedByDeadline
	case q.router.inFlight.isStopped():
		return abortedByShutdown
	case q.malformed:
		return abortedByMalformed
	default:
		return abortedByWorker
	}
}

// logAbort logs an aborted response. Aborts by the client are not logged, because they are frequent and say nothing about the
// fleet.
func (q *request) logAbort() {
	cause := q.abortCause()
	if cause == abortedByClient || !q.router.abortLogLimiter.allow(time.Now()) {
		return
	}
	q.logWarning("answer cut", zap.String("cause", string(cause)), zap.Bool("begun", q.clientResponse.started()),
		zap.Int("events", q.clientResponse.eventCount))
}

// logWarning logs a message with the request's identifying fields. It reads only immutable fields, so that any goroutine may
// call it.
func (q *request) logWarning(message string, fields ...zap.Field) {
	q.router.options.Log.Warn(message, append([]zap.Field{
		zap.String("request", q.id),
		zap.String("route", q.route.Name),
		zap.Duration("used", time.Since(q.arrived)),
		zap.Duration("left", time.Until(q.deadline)),
		zap.Int64("config", q.view.snapshot.Config.Version),
	}, fields...)...)
}

// maxLogLinesPerSecond limits the log lines about aborted responses. When many workers crash, one line per request costs too
// much for its value.
const maxLogLinesPerSecond = 5

// logLimiter allows up to maxLogLinesPerSecond log lines in each second.
type logLimiter struct {
	mutex  sync.Mutex
	second int64
	lines  int
}

func (l *logLimiter) allow(now time.Time) bool {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	if second := now.Unix(); second != l.second {
		l.second, l.lines = second, 0
	}
	l.lines++
	return l.lines <= maxLogLinesPerSecond
}
