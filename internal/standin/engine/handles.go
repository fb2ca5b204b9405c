package engine

import (
	"fmt"
	"time"
)

// handle keeps the KV memory of a prefilled prompt until a decode worker fetches it or it expires.
type handle struct {
	held          []*part
	privateBlocks int
	tokens        int
	job           string
	expiresAt     time.Duration
}

func (e *Engine) makeHandle(t *task) {
	e.handleCount++
	id := fmt.Sprintf("%s%06x", e.handleKey, e.handleCount)
	h := &handle{held: t.held, privateBlocks: t.privateBlocks, tokens: promptTokens(t.Job), job: t.ID,
		expiresAt: e.now + e.config.HandleLifetime}
	e.handles[id] = h
	t.held, t.privateBlocks = nil, 0
	e.emit(Event{Job: t.ID, Kind: KindPrefilled, Handle: id, Tokens: h.tokens})
	e.remove(t)
}

func (e *Engine) expireHandles() {
	for id, h := range e.handles {
		if h.expiresAt <= e.now {
			e.dropHandle(id)
			e.stats.HandlesExpired++
		}
	}
}

func (e *Engine) dropHandle(id string) {
	h := e.handles[id]
	for _, p := range h.held {
		p.references--
	}
	e.cache.privateBlocks -= h.privateBlocks
	delete(e.handles, id)
}

// FreeHandle releases a handle and reports whether it existed.
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

// ExpireHandles expires all handles at once, for fault injection.
func (e *Engine) ExpireHandles(now time.Duration) {
	e.Advance(now)
	for _, h := range e.handles {
		h.expiresAt = now
	}
	e.expireHandles()
	e.record()
}

// TakenHandle describes a handle that was handed over by the prefill worker.
type TakenHandle struct {
	Job    string        // the job that prefilled the prompt
	Tokens int           // of the prompt
	Wait   time.Duration // until the prefill worker's link is free
}

// TakeHandle consumes a handle and reserves the link for the transfer. It returns false if the handle doesn't exist or if
// the link is busy for longer than maxTransferWait.
func (e *Engine) TakeHandle(now time.Duration, id string, factor int) (TakenHandle, bool) {
	e.Advance(now)
	h := e.handles[id]
	if h == nil || e.linkFreeAt-now > maxTransferWait {
		return TakenHandle{}, false
	}
	taken := TakenHandle{Job: h.job, Tokens: h.tokens, Wait: max(0, e.linkFreeAt-now)}
	e.linkFreeAt = now + taken.Wait + e.transferTime(h.tokens, factor)
	e.dropHandle(id)
	e.beginStep()
	e.record()
	return taken, true
}

// ReserveTransfer reserves the link of the fetching worker for a transfer that the other side can begin after wait. It
// returns the time at which the transfer ends.
func (e *Engine) ReserveTransfer(now, wait time.Duration, tokens, factor int) time.Duration {
	begins := max(now+wait, e.linkFreeAt)
	e.linkFreeAt = begins + e.transferTime(tokens, factor)
	return e.linkFreeAt
}

// LinkWait returns how long a transfer would wait for this worker's link.
func (e *Engine) LinkWait(now time.Duration) time.Duration { return max(0, e.linkFreeAt-now) }

// CanTransfer reports whether the link of this worker is free within maxTransferWait.
func (e *Engine) CanTransfer(now time.Duration) bool { return e.LinkWait(now) <= maxTransferWait }

// transferTime returns the duration of a transfer. factor is 1 in a zone, 2 between zones and 10 between regions.
func (e *Engine) transferTime(tokens, factor int) time.Duration {
	bits := float64(tokens) * float64(e.config.KvTokenBytes) * 8
	seconds := bits / (e.config.LinkMbps * 1e6) * float64(factor)
	return e.config.TransferSetup + time.Duration(seconds*float64(time.Second))
}
