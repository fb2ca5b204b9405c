package router

import (
	"context"
	"net/http"
	"time"

	"go.uber.org/zap"
)

// Leaving within the grace of the platform.
const (
	drainAtMost  = 2500 * time.Millisecond // the platform sends no new clients after two missed seconds
	drainPart    = 3                       // of the grace, at most one in so many
	leaveReserve = 300 * time.Millisecond  // of the grace, for the end of the process
	answerTime   = 100 * time.Millisecond  // for the last answers to leave
	reservePart  = 5
	answerPart   = 10
)

// leaving is the timetable of a router that was told to end. Its times count from the signal.
type leaving struct {
	drain  time.Duration // until then new connections are taken
	finish time.Duration // then requests in hand are ended
	end    time.Duration // then all connections are closed
}

func leaveTimes(grace time.Duration) leaving {
	end := grace - min(leaveReserve, grace/reservePart)
	return leaving{
		drain:  min(drainAtMost, grace/drainPart),
		finish: end - min(answerTime, grace/answerPart),
		end:    end,
	}
}

// stop makes the router not ready. Until finish it serves what must be over by then, and asks clients to leave their connections.
func (r *Router) stop(finish time.Time) { r.finishAt.Store(&finish) }

// stopping reports whether the router was told to end.
func (r *Router) stopping() bool { return r.finishAt.Load() != nil }

// outlasts reports whether a request that may last until giveUpAt could be cut by the end of the process.
func (r *Router) outlasts(giveUpAt time.Time) bool {
	finish := r.finishAt.Load()
	return finish != nil && giveUpAt.After(*finish)
}

// leave stops in order: not ready at once, serving while the platform still sends clients, then the listeners and idle
// connections are closed, and last what has not ended.
func (r *Router) leave(clients, probes *http.Server, times leaving) {
	stopped := time.Now()
	r.stop(stopped.Add(times.finish))
	r.options.Log.Info("router leaves", zap.Int("in_hand", r.inHand.count()))
	time.Sleep(times.drain)
	r.conns.leave()
	ctx, cancel := context.WithDeadline(context.Background(), stopped.Add(times.end))
	defer cancel()
	finishing := time.AfterFunc(time.Until(stopped.Add(times.finish)), func() { r.endRequests(stopped) })
	defer finishing.Stop()
	if clients.Shutdown(ctx) != nil {
		_ = clients.Close()
	}
	_ = probes.Close()
	if r.options.Pool != nil {
		r.options.Pool.Close()
	}
	r.options.Log.Info("router left", zap.Int64("refused", r.refusedLeaving.Load()), zap.Duration("after", time.Since(stopped)))
}

// endRequests ends the requests in hand, so that each gets its last answer while the process is still there.
func (r *Router) endRequests(stopped time.Time) {
	ended := r.inHand.end()
	for i, q := range ended {
		if i < mostEndedLines {
			q.log("request ended with the process", zap.Duration("arrived_after_stop", q.arrived.Sub(stopped)))
		}
		q.abandon()
	}
}

// mostEndedLines bounds the lines about requests that the end of the process ends.
const mostEndedLines = 20
