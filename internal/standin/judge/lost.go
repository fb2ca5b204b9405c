package judge

import (
	"fmt"
	"time"
)

// Cut is a try of a client whose connection was closed before the end of an answer.
type Cut struct {
	ID         string
	Router     string // address
	Sent       time.Time
	Closed     time.Time
	DeadlineAt time.Time // when the client's deadline or the route's timeout ends it anyway
	Cause      string    // as the client saw it
}

// routerLife is what was done to a router.
type routerLife struct {
	stops []time.Time // SIGTERM
	kills []time.Time
}

// Parts of spans within which a cut is allowed.
const (
	usedPart  = 0.7       // of the time of a request, that it must have used
	gracePart = 5.0 / 6.0 // of the grace, that must be over
	// stopSlack is the time after SIGTERM within which a request may come and still be cut late in the grace.
	stopSlack = 3 * time.Second
	// endSlack is how near to its end a request counts as having reached it.
	endSlack = 50 * time.Millisecond
	// killReach is the time around a kill of a router within which its cuts say nothing.
	killReach = 3 * time.Second
)

// RouterTerminated tells that a router gets SIGTERM.
func (j *Checker) RouterTerminated(router string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	life := j.life(router)
	life.stops = append(life.stops, at)
}

// RouterKilled tells that a router is killed.
func (j *Checker) RouterKilled(router string, at time.Time) {
	j.mu.Lock()
	defer j.mu.Unlock()
	life := j.life(router)
	life.kills = append(life.kills, at)
}

func (j *Checker) life(router string) *routerLife {
	if j.lives[router] == nil {
		j.lives[router] = &routerLife{}
	}
	return j.lives[router]
}

// ConnectionCut tells of a try that was cut.
func (j *Checker) ConnectionCut(cut Cut) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.cuts = append(j.cuts, cut)
}

// checkLost finds requests that had been read whole and got neither an answer nor a refusal.
func (j *Checker) checkLost() []Violation {
	var out []Violation
	for _, cut := range j.cuts {
		if j.lost(cut) {
			out = append(out, Violation{LostRequest, fmt.Sprintf("%s was cut at %s after %v of its %v: %s%s", cut.ID, cut.Router,
				cut.Closed.Sub(cut.Sent).Round(time.Millisecond), cut.DeadlineAt.Sub(cut.Sent).Round(time.Millisecond), cut.Cause,
				j.afterStop(cut))})
		}
	}
	return out
}

// afterStop tells when a cut try came and ended by the last SIGTERM of its router.
func (j *Checker) afterStop(cut Cut) string {
	stop, stopped := j.lastStop(cut)
	if !stopped {
		return ""
	}
	return fmt.Sprintf("; sent %v and cut %v after SIGTERM", cut.Sent.Sub(stop).Round(time.Millisecond),
		cut.Closed.Sub(stop).Round(time.Millisecond))
}

func (j *Checker) lost(cut Cut) bool {
	request := j.requests[cut.ID]
	if request == nil {
		return false
	}
	passedOn := len(request.arrivals) > 0
	held := cut.Closed.Sub(cut.Sent)
	switch {
	case !passedOn && held <= j.bounds.LossSlack:
		return false // it crossed the closing
	case cut.DeadlineAt.Sub(cut.Closed) <= endSlack:
		return false
	case j.killedNear(cut):
		return false
	case j.brokeOff(request):
		return false
	}
	return !j.cutLate(cut)
}

// cutLate reports whether a cut came so late in its router's grace and in its own time that nothing better could be done.
func (j *Checker) cutLate(cut Cut) bool {
	stop, stopped := j.lastStop(cut)
	if !stopped {
		return false
	}
	whole, used := cut.DeadlineAt.Sub(cut.Sent), cut.Closed.Sub(cut.Sent)
	late := cut.Closed.Sub(stop).Seconds() >= gracePart*j.bounds.Grace.Seconds()
	return late && cut.Sent.Sub(stop) <= stopSlack && used.Seconds() >= usedPart*whole.Seconds()
}

// lastStop returns when the router got its last SIGTERM before the cut.
func (j *Checker) lastStop(cut Cut) (time.Time, bool) {
	life := j.lives[cut.Router]
	if life == nil {
		return time.Time{}, false
	}
	for i := len(life.stops) - 1; i >= 0; i-- {
		if stop := life.stops[i]; !stop.After(cut.Closed) {
			return stop, true
		}
	}
	return time.Time{}, false
}

func (j *Checker) killedNear(cut Cut) bool {
	life := j.lives[cut.Router]
	if life == nil {
		return false
	}
	for _, kill := range life.kills {
		if kill.After(cut.Sent.Add(-killReach)) && kill.Before(cut.Closed.Add(killReach)) {
			return true
		}
	}
	return false
}

// AnswerAborted tells that a worker gives a request no whole answer.
func (j *Checker) AnswerAborted(id string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if request := j.requests[id]; request != nil {
		request.brokenOff = true
	}
}

// WorkerExited tells that a worker ends, and cuts what it works on.
func (j *Checker) WorkerExited(worker string) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.ended[worker] = true
}

// brokeOff reports whether a worker that ran the request has broken off.
func (j *Checker) brokeOff(request *record) bool {
	if request.brokenOff {
		return true
	}
	for _, run := range request.runs {
		if j.crashed[run.Worker] || j.ended[run.Worker] {
			return true
		}
	}
	return false
}
