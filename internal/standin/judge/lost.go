package judge

import (
	"fmt"
	"time"
)

// Cut is an attempt of a client whose connection was closed before the end of an answer.
type Cut struct {
	ID         string
	Router     string // address
	Sent       time.Time
	Closed     time.Time
	DeadlineAt time.Time // when the client's deadline or the route's timeout ends the attempt
	Cause      string    // error that the client got
}

// routerSignals holds the times of the signals sent to a router.
type routerSignals struct {
	terminations []time.Time // SIGTERM
	kills        []time.Time
}

// Limits within which a cut is not a violation.
const (
	minUsedFraction  = 0.7       // fraction of the request's time that must have passed
	minGraceFraction = 5.0 / 6.0 // fraction of the grace period that must have passed
	// terminationSlack is the longest time after SIGTERM at which a request may be sent and still be cut late in the grace.
	terminationSlack = 3 * time.Second
	// deadlineTolerance is how close to its deadline a cut counts as caused by the deadline.
	deadlineTolerance = 50 * time.Millisecond
	// killMargin is the time around the kill of a router within which its cuts are ignored.
	killMargin = 3 * time.Second
)

// RouterTerminated records that a router gets SIGTERM.
func (c *Checker) RouterTerminated(router string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	signals := c.signals(router)
	signals.terminations = append(signals.terminations, at)
}

// RouterKilled records that a router is killed.
func (c *Checker) RouterKilled(router string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	signals := c.signals(router)
	signals.kills = append(signals.kills, at)
}

func (c *Checker) signals(router string) *routerSignals {
	if c.routers[router] == nil {
		c.routers[router] = &routerSignals{}
	}
	return c.routers[router]
}

// ConnectionCut records an attempt that was cut.
func (c *Checker) ConnectionCut(cut Cut) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cuts = append(c.cuts, cut)
}

// checkLost finds requests that had been received completely and got neither an answer nor a rejection.
func (c *Checker) checkLost() []Violation {
	var out []Violation
	for _, cut := range c.cuts {
		if c.lost(cut) {
			out = append(out, Violation{LostRequest, fmt.Sprintf("%s was cut at %s after %v of its %v: %s%s", cut.ID, cut.Router,
				cut.Closed.Sub(cut.Sent).Round(time.Millisecond), cut.DeadlineAt.Sub(cut.Sent).Round(time.Millisecond), cut.Cause,
				c.afterTermination(cut))})
		}
	}
	return out
}

// afterTermination describes when a cut attempt was sent and cut relative to the last SIGTERM of its router.
func (c *Checker) afterTermination(cut Cut) string {
	terminatedAt, terminated := c.lastTermination(cut)
	if !terminated {
		return ""
	}
	return fmt.Sprintf("; sent %v and cut %v after SIGTERM", cut.Sent.Sub(terminatedAt).Round(time.Millisecond),
		cut.Closed.Sub(terminatedAt).Round(time.Millisecond))
}

func (c *Checker) lost(cut Cut) bool {
	request := c.requests[cut.ID]
	if request == nil {
		return false
	}
	forwarded := len(request.arrivals) > 0
	held := cut.Closed.Sub(cut.Sent)
	switch {
	case !forwarded && held <= c.bounds.LossSlack:
		return false // the request was sent while the connection was being closed
	case cut.DeadlineAt.Sub(cut.Closed) <= deadlineTolerance:
		return false
	case c.killedNear(cut):
		return false
	case c.workerFailed(request):
		return false
	}
	return !c.cutLateInGrace(cut)
}

// cutLateInGrace reports whether a cut came so late in its router's grace period and in the request's own time that the
// router could not avoid it.
func (c *Checker) cutLateInGrace(cut Cut) bool {
	terminatedAt, terminated := c.lastTermination(cut)
	if !terminated {
		return false
	}
	whole, used := cut.DeadlineAt.Sub(cut.Sent), cut.Closed.Sub(cut.Sent)
	late := cut.Closed.Sub(terminatedAt).Seconds() >= minGraceFraction*c.bounds.Grace.Seconds()
	return late && cut.Sent.Sub(terminatedAt) <= terminationSlack && used.Seconds() >= minUsedFraction*whole.Seconds()
}

// lastTermination returns when the router got its last SIGTERM before the cut.
func (c *Checker) lastTermination(cut Cut) (time.Time, bool) {
	signals := c.routers[cut.Router]
	if signals == nil {
		return time.Time{}, false
	}
	for i := len(signals.terminations) - 1; i >= 0; i-- {
		if terminatedAt := signals.terminations[i]; !terminatedAt.After(cut.Closed) {
			return terminatedAt, true
		}
	}
	return time.Time{}, false
}

func (c *Checker) killedNear(cut Cut) bool {
	signals := c.routers[cut.Router]
	if signals == nil {
		return false
	}
	for _, kill := range signals.kills {
		if kill.After(cut.Sent.Add(-killMargin)) && kill.Before(cut.Closed.Add(killMargin)) {
			return true
		}
	}
	return false
}

// AnswerAborted records that a worker gives a request no complete answer.
func (c *Checker) AnswerAborted(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if request := c.requests[id]; request != nil {
		request.answerAborted = true
	}
}

// WorkerExited records that a worker exits and cuts the requests that it executes.
func (c *Checker) WorkerExited(worker string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.exited[worker] = true
}

// workerFailed reports whether a worker aborted the request's answer, or whether a worker that ran it crashed or exited.
func (c *Checker) workerFailed(request *requestState) bool {
	if request.answerAborted {
		return true
	}
	for _, run := range request.runs {
		if c.crashed[run.Worker] || c.exited[run.Worker] {
			return true
		}
	}
	return false
}
