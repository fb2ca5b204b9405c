package engine

import (
	"sync/atomic"
	"time"

	"weldscale/decide"
)

// This file owns time: the clock, the timer wheel and the one loop on which everything of a scheduler runs.
// Other goroutines hand it work with Post and touch nothing else. It must never block on anything but its
// own queue, and nothing that runs on it may.

// tickSpan is the coarseness of all timers. The decisions were tuned on ticks of 4 ms; half of that keeps
// a timer's error under what the network itself adds.
const tickInterval = 2 * time.Millisecond

const wheelSlots = 1024 // about two seconds a turn

// Timer is one entry of the wheel.
type Timer struct {
	due  int64 // tick
	fire func()
	next *Timer
	prev **Timer
}

// Stop takes a timer back. Stopping one that is nil, stopped or fired does nothing.
func (t *Timer) Stop() {
	if t != nil && t.prev != nil {
		*t.prev = t.next
		if t.next != nil {
			t.next.prev = t.prev
		}
		t.prev, t.next = nil, nil
	}
}

// wheel holds timers in slots by their tick; one that is further off than a turn waits its turns out.
type wheel struct {
	slots   [wheelSlots]*Timer
	current int64 // all ticks up to this one have fired
}

func (w *wheel) add(due int64, fire func()) *Timer {
	t := &Timer{due: max(due, w.current+1), fire: fire}
	w.link(t)
	return t
}

func (w *wheel) link(t *Timer) {
	head := &w.slots[t.due%wheelSlots]
	t.next, t.prev = *head, head
	if t.next != nil {
		t.next.prev = &t.next
	}
	*head = t
}

// advance fires what is due up to the tick, in order of ticks. A timer set meanwhile fires in a later call.
func (w *wheel) advance(tick int64) {
	if tick-w.current > wheelSlots { // after a long stall one turn sees every slot
		w.current = tick - wheelSlots
	}
	for w.current < tick {
		w.current++
		var due *Timer // in the order they were set
		for t := w.slots[w.current%wheelSlots]; t != nil; {
			next := t.next
			if t.due <= w.current {
				t.Stop()
				t.next, due = due, t
			}
			t = next
		}
		for due != nil {
			t := due
			due, t.next = t.next, nil
			t.fire()
		}
	}
}

// next returns the first tick with a timer in its slot, at most a turn ahead, and whether there is one.
func (w *wheel) next() (int64, bool) {
	for i := int64(1); i <= wheelSlots; i++ {
		if w.slots[(w.current+i)%wheelSlots] != nil {
			return w.current + i, true
		}
	}
	return 0, false
}

// Loop runs what it is given, one at a time. Its clock is monotonic and starts at the wall clock's reading,
// so that a wall time told by others (a worker's last start) is a moment of this clock as it stands, and
// the same wall time always the same moment.
type Loop struct {
	queue    chan func()
	urgent   chan func() // goes before the queue
	start    time.Time
	wheel    wheel
	deferred []func() // to run after the work at hand
	stopping bool
	ended    chan struct{}  // closed after Run
	maxLag   *time.Duration // the longest that a piece of work has kept the loop
}

// NewLoop returns a loop that does not run yet.
func NewLoop() *Loop {
	return &Loop{queue: make(chan func(), 4096), urgent: make(chan func(), 64), ended: make(chan struct{}), start: time.Now()}
}

// Now is the present time in microseconds.
func (l *Loop) Now() decide.Time {
	return l.start.UnixMicro() + int64(time.Since(l.start)/time.Microsecond)
}

// Post hands work to the loop from another goroutine; it waits while the queue is full. Once the loop has ended the
// work is passed over. Code on the loop must not call it.
func (l *Loop) Post(f func()) {
	select {
	case l.queue <- f:
	case <-l.ended:
	}
}

// Do is Post and waits until the work is done, or will never be.
func (l *Loop) Do(f func()) {
	done := make(chan struct{})
	l.Post(func() { f(); close(done) })
	select {
	case <-done:
	case <-l.ended:
	}
}

// DoUrgent has f run before what waits in the queue, and reports whether it was, within the span. Where it was not it never
// will be.
func (l *Loop) DoUrgent(timeout time.Duration, f func()) bool {
	var claimed atomic.Bool // by the loop, or by giving up
	done, expired := make(chan struct{}), time.NewTimer(timeout)
	defer expired.Stop()
	work := func() {
		if claimed.CompareAndSwap(false, true) {
			f()
			close(done)
		}
	}
	select {
	case l.urgent <- work:
	case <-expired.C:
		return false
	case <-l.ended:
		return false
	}
	select {
	case <-done:
		return true
	case <-expired.C:
	case <-l.ended:
	}
	if claimed.CompareAndSwap(false, true) {
		return false
	}
	<-done // it has begun
	return true
}

// Defer runs f after the work at hand, before anything else. Only for code on the loop: what reports back to a caller
// that is still at work goes this way.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// settle runs what Next was given, in order, and what that asks for in turn.
func (l *Loop) runDeferred() {
	for i := 0; i < len(l.deferred); i++ {
		l.deferred[i]()
		l.deferred[i] = nil
	}
	l.deferred = l.deferred[:0]
}

// After calls f on the loop once the span has passed. Only for code on the loop.
func (l *Loop) After(delay time.Duration, f func()) *Timer {
	at := time.Since(l.start) + max(0, delay)
	return l.wheel.add(int64((at+tickInterval-1)/tickInterval), f)
}

// Stop ends Run after the work at hand. Only for code on the loop.
func (l *Loop) Stop() { l.stopping = true }

// Run works until Stop.
func (l *Loop) Run() {
	defer close(l.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	armedTick := int64(-1)
	l.runDeferred() // what was asked for before
	for !l.stopping {
		if tick, ok := l.wheel.next(); !ok {
			timer.Stop()
			armedTick = -1
		} else if tick != armedTick {
			timer.Reset(time.Until(l.start.Add(time.Duration(tick) * tickInterval)))
			armedTick = tick
		}
		var work func()
		select {
		case work = <-l.urgent:
		default:
			select {
			case work = <-l.urgent:
			case work = <-l.queue:
			case <-timer.C:
				armedTick = -1
			}
		}
		if work != nil {
			began := time.Now()
			work()
			l.runDeferred()
			if l.maxLag != nil {
				*l.maxLag = max(*l.maxLag, time.Since(began))
			}
		}
		l.wheel.advance(int64(time.Since(l.start) / tickInterval))
		l.runDeferred()
	}
}

// QueueLen is how many pieces of work wait in the queue.
func (l *Loop) QueueLen() int { return len(l.queue) }

// UrgentQueueLen is how many pieces of work wait before the queue.
func (l *Loop) UrgentQueueLen() int { return len(l.urgent) }
