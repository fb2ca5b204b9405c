package engine

import (
	"sync/atomic"
	"time"

	"weldscale/decide"
)

// This file holds the clock, the timer wheel and the event loop on which all code of a scheduler runs. Other
// goroutines pass work to the loop with Post, Do and DoUrgent and share no other state with it. Nothing that runs on
// the loop may block.

// tickInterval is the resolution of all timers. The decisions were tuned on ticks of 4 ms; half of that keeps a
// timer's error below the delay that the network itself adds.
const tickInterval = 2 * time.Millisecond

const wheelSlots = 1024 // about two seconds per turn

// Timer is one entry of the timer wheel.
type Timer struct {
	due  int64 // tick at which the timer fires
	fire func()
	next *Timer
	prev **Timer
}

// Stop cancels a timer. Stopping a timer that is nil, stopped or fired does nothing.
func (t *Timer) Stop() {
	if t != nil && t.prev != nil {
		*t.prev = t.next
		if t.next != nil {
			t.next.prev = t.prev
		}
		t.prev, t.next = nil, nil
	}
}

// wheel holds timers in slots by their tick. A timer that is due more than one turn ahead stays in its slot until its
// turn comes.
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

// advance fires all timers that are due up to tick, in order of ticks. A timer set while it runs fires in a later
// call.
func (w *wheel) advance(tick int64) {
	if tick-w.current > wheelSlots { // after a long stall one turn visits every slot
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

// next returns the first tick whose slot holds a timer, at most one turn ahead, and whether there is one.
func (w *wheel) next() (int64, bool) {
	for i := int64(1); i <= wheelSlots; i++ {
		if w.slots[(w.current+i)%wheelSlots] != nil {
			return w.current + i, true
		}
	}
	return 0, false
}

// Loop runs functions one at a time. Its clock is monotonic and starts at the wall clock's reading, so that a wall
// time received from another machine (a worker's last start) can be compared with it directly and always maps to the
// same time.
type Loop struct {
	queue    chan func()
	urgent   chan func() // runs before queue
	start    time.Time
	wheel    wheel
	deferred []func() // run after the current work
	stopping bool
	ended    chan struct{}  // closed when Run returns
	maxLag   *time.Duration // longest time that one piece of work has occupied the loop
}

// NewLoop returns a loop that does not run yet.
func NewLoop() *Loop {
	return &Loop{queue: make(chan func(), 4096), urgent: make(chan func(), 64), ended: make(chan struct{}), start: time.Now()}
}

// Now returns the current time in microseconds.
func (l *Loop) Now() decide.Time {
	return l.start.UnixMicro() + int64(time.Since(l.start)/time.Microsecond)
}

// Post queues f on the loop from another goroutine and blocks while the queue is full. Once the loop has ended, f is
// dropped. Code on the loop must not call Post.
func (l *Loop) Post(f func()) {
	select {
	case l.queue <- f:
	case <-l.ended:
	}
}

// Do posts f and waits until it has run or the loop has ended.
func (l *Loop) Do(f func()) {
	done := make(chan struct{})
	l.Post(func() { f(); close(done) })
	select {
	case <-done:
	case <-l.ended:
	}
}

// DoUrgent runs f ahead of the queue and reports whether it ran. If the loop does not reach f within the timeout, f
// never runs.
func (l *Loop) DoUrgent(timeout time.Duration, f func()) bool {
	var claimed atomic.Bool // set by the loop, or by the caller that gives up
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

// Defer runs f after the current work and before anything else. It is for code on the loop that must report back to a
// caller that is still running.
func (l *Loop) Defer(f func()) { l.deferred = append(l.deferred, f) }

// runDeferred runs the functions given to Defer, in order, including those that they add.
func (l *Loop) runDeferred() {
	for i := 0; i < len(l.deferred); i++ {
		l.deferred[i]()
		l.deferred[i] = nil
	}
	l.deferred = l.deferred[:0]
}

// After calls f on the loop after the delay. It is only for code on the loop.
func (l *Loop) After(delay time.Duration, f func()) *Timer {
	at := time.Since(l.start) + max(0, delay)
	return l.wheel.add(int64((at+tickInterval-1)/tickInterval), f)
}

// Stop makes Run return after the current work. It is only for code on the loop.
func (l *Loop) Stop() { l.stopping = true }

// Run executes work and timers until Stop is called.
func (l *Loop) Run() {
	defer close(l.ended)
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	armedTick := int64(-1)
	l.runDeferred() // deferred before Run started
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

// QueueLen returns the number of functions in the queue.
func (l *Loop) QueueLen() int { return len(l.queue) }

// UrgentQueueLen returns the number of functions waiting ahead of the queue.
func (l *Loop) UrgentQueueLen() int { return len(l.urgent) }
