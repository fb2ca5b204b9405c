package engine

import (
	"fmt"
	"time"
)

// handle holds the memory of a prompt that was read until somebody fetches it.
type handle struct {
	held    []*part
	private int
	tokens  int
	job     string
	lapses  time.Duration
}

func (e *Engine) makeHandle(t *task) {
	e.madeUp++
	id := fmt.Sprintf("%s%06x", e.handleKey, e.madeUp)
	h := &handle{held: t.held, private: t.private, tokens: promptTokens(t.Job), job: t.ID, lapses: e.now + e.config.HandleLifetime}
	e.handles[id] = h
	t.held, t.private = nil, 0
	e.emit(Event{Job: t.ID, Kind: KindPrefilled, Handle: id, Tokens: h.tokens})
	e.remove(t)
}

func (e *Engine) lapseHandles() {
	for id, h := range e.handles {
		if h.lapses <= e.now {
			e.dropHandle(id)
			e.stats.HandlesExpired++
		}
	}
}

func (e *Engine) dropHandle(id string) {
	h := e.handles[id]
	for _, p := range h.held {
		p.holds--
	}
	e.cache.private -= h.private
	delete(e.handles, id)
}

// FreeHandle gives a handle up; it reports whether it was there.
func (e *Engine) FreeHandle(now time.Duration, id string) bool {
	e.Advance(now)
	if e.handles[id] == nil {
		return false
	}
	e.dropHandle(id)
	e.beginStep()
	e.record()
	return true
}

// ExpireHandles lets all handles lapse at once, a trouble of some days.
func (e *Engine) ExpireHandles(now time.Duration) {
	e.Advance(now)
	for _, h := range e.handles {
		h.lapses = now
	}
	e.lapseHandles()
	e.record()
}

// TakenHandle is what the reading worker says about a handle that was taken.
type TakenHandle struct {
	Job    string        // the job that read the prompt
	Tokens int           // of the prompt
	Wait   time.Duration // until its link is free
}

// TakeHandle takes a handle, once, and books the link for the move. It reports false if the handle is gone or the link is
// busy for too long.
func (e *Engine) TakeHandle(now time.Duration, id string, factor int) (TakenHandle, bool) {
	e.Advance(now)
	h := e.handles[id]
	if h == nil || e.linkFree-now > maxMoveWait {
		return TakenHandle{}, false
	}
	taken := TakenHandle{Job: h.job, Tokens: h.tokens, Wait: max(0, e.linkFree-now)}
	e.linkFree = now + taken.Wait + e.moveTime(h.tokens, factor)
	e.dropHandle(id)
	e.beginStep()
	e.record()
	return taken, true
}

// ReserveTransfer books the link of the fetching worker for a move that the other side can begin after wait, and returns when
// the memory is there.
func (e *Engine) ReserveTransfer(now, wait time.Duration, tokens, factor int) time.Duration {
	begins := max(now+wait, e.linkFree)
	e.linkFree = begins + e.moveTime(tokens, factor)
	return e.linkFree
}

// LinkWait is how long a move would wait for this worker's link.
func (e *Engine) LinkWait(now time.Duration) time.Duration { return max(0, e.linkFree-now) }

// CanTransfer reports whether a move may begin here within its bound.
func (e *Engine) CanTransfer(now time.Duration) bool { return e.LinkWait(now) <= maxMoveWait }

// moveTime is how long a move takes; factor is 1 in a zone, 2 between zones, 10 between regions.
func (e *Engine) moveTime(tokens, factor int) time.Duration {
	bits := float64(tokens) * float64(e.config.KvTokenBytes) * 8
	seconds := bits / (e.config.LinkMbps * 1e6) * float64(factor)
	return e.config.TransferSetup + time.Duration(seconds*float64(time.Second))
}
