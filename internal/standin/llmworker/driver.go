package llmworker

import (
	"sync"
	"time"

	"weldscale/internal/standin/engine"
)

// driver runs an engine on the real clock and hands its events to those who wait for them.
type driver struct {
	began time.Time
	stop  chan struct{}
	kick  chan struct{} // something was submitted

	mu      sync.Mutex
	engine  *engine.Engine
	waiters map[string]*waiter
}

// waiter collects the events of one job.
type waiter struct {
	mu     sync.Mutex
	events []engine.Event
	news   chan struct{} // holds one token when there are events
}

func (w *waiter) add(event engine.Event) {
	w.mu.Lock()
	w.events = append(w.events, event)
	w.mu.Unlock()
	select {
	case w.news <- struct{}{}:
	default:
	}
}

func (w *waiter) take() []engine.Event {
	w.mu.Lock()
	defer w.mu.Unlock()
	out := w.events
	w.events = nil
	return out
}

func startDriver(config engine.Config, key string) *driver {
	d := &driver{began: time.Now(), stop: make(chan struct{}), kick: make(chan struct{}, 1), engine: engine.New(config, key+"-"),
		waiters: map[string]*waiter{}}
	go d.run()
	return d
}

func (d *driver) close() { close(d.stop) }

// do calls f with the engine at the present moment and hands out what came of it.
func (d *driver) do(f func(e *engine.Engine, now time.Duration)) {
	d.mu.Lock()
	now := time.Since(d.began)
	d.engine.Advance(now)
	f(d.engine, now)
	d.deliver()
	d.mu.Unlock()
	select {
	case d.kick <- struct{}{}:
	default:
	}
}

// deliver hands events out; mu is held.
func (d *driver) deliver() {
	for _, event := range d.engine.Events() {
		if waiting := d.waiters[event.Job]; waiting != nil {
			waiting.add(event)
		}
	}
}

func (d *driver) run() {
	timer := time.NewTimer(time.Hour)
	defer timer.Stop()
	for {
		d.mu.Lock()
		d.engine.Advance(time.Since(d.began))
		d.deliver()
		next, some := d.engine.Next()
		d.mu.Unlock()
		wait := time.Hour
		if some {
			wait = max(0, next-time.Since(d.began))
		}
		timer.Reset(wait)
		select {
		case <-d.stop:
			return
		case <-d.kick:
		case <-timer.C:
		}
	}
}

// submit hands a job in; job.ID must be unique.
func (d *driver) submit(job engine.Job) (*waiter, engine.Rejection) {
	waiting := &waiter{news: make(chan struct{}, 1)}
	reason := engine.Accepted
	d.do(func(e *engine.Engine, now time.Duration) {
		d.waiters[job.ID] = waiting
		if reason = e.Submit(now, job); reason != engine.Accepted {
			delete(d.waiters, job.ID)
		}
	})
	return waiting, reason
}

// forget ends a job, whether it is over or not.
func (d *driver) forget(id string) {
	d.do(func(e *engine.Engine, now time.Duration) {
		delete(d.waiters, id)
		e.Cancel(now, id)
	})
}

func (d *driver) state() (report engine.Report) {
	d.do(func(e *engine.Engine, _ time.Duration) { report = e.State() })
	return report
}

func (d *driver) report() (report engine.Report) {
	d.do(func(e *engine.Engine, now time.Duration) { report = e.Report(now) })
	return report
}

func (d *driver) stats() (stats engine.Stats) {
	d.do(func(e *engine.Engine, _ time.Duration) { stats = e.Stats() })
	return stats
}

func (d *driver) now() time.Duration { return time.Since(d.began) }

// next is when the engine does something by itself.
func (d *driver) next() (at time.Duration) {
	d.do(func(e *engine.Engine, _ time.Duration) { at, _ = e.Next() })
	return at
}
