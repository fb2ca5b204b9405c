package router

import (
	"sync"
	"time"

	"go.uber.org/zap"
)

// cutCause is why a client's connection is closed in place of a complete answer.
type cutCause string

// The closed list of causes.
const (
	cutByClient cutCause = "client" // it left
	cutByWrite  cutCause = "write"  // the client's connection takes no bytes
	cutByTime   cutCause = "time"   // the client's deadline or the route's timeout
	cutByWorker cutCause = "worker" // it broke off, and its answer can't be taken up elsewhere
	cutByEnd    cutCause = "end"    // this process ends
)

// cutCause tells why an answer can't be completed.
func (q *request) cutCause() cutCause {
	switch {
	case q.clientGone():
		return cutByClient
	case q.reply.failed:
		return cutByWrite
	case q.timedOut, time.Until(q.giveUpAt) <= 0:
		return cutByTime
	case q.router.inHand.hasEnded():
		return cutByEnd
	default:
		return cutByWorker
	}
}

// noteCut logs a cut, unless the client wanted it: clients leave often, and it says nothing of the fleet.
func (q *request) noteCut() {
	cause := q.cutCause()
	if cause == cutByClient || !q.router.cutLines.allow(time.Now()) {
		return
	}
	q.log("answer cut", zap.String("cause", string(cause)), zap.Bool("begun", q.reply.started()), zap.Int("events", q.reply.events))
}

// log writes a line about the request. It reads only fields that never change.
func (q *request) log(message string, more ...zap.Field) {
	q.router.options.Log.Warn(message, append([]zap.Field{
		zap.String("request", q.id),
		zap.String("route", q.route.Name),
		zap.Duration("used", time.Since(q.arrived)),
		zap.Duration("left", time.Until(q.giveUpAt)),
		zap.Int64("config", q.view.snapshot.Config.Version),
	}, more...)...)
}

// linesPerSecond bounds the lines about cuts: when many workers crash, one line a request would cost more than it tells.
const linesPerSecond = 5

// linePace lets so many lines a second through.
type linePace struct {
	mutex  sync.Mutex
	second int64
	lines  int
}

func (p *linePace) allow(now time.Time) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if second := now.Unix(); second != p.second {
		p.second, p.lines = second, 0
	}
	p.lines++
	return p.lines <= linesPerSecond
}
