package llmworker

import (
	"sync"
	"time"

	"weldscale/internal/standin/engine"
)

// driver runs a simulated engine on the real clock and delivers its events to the queues of their jobs.
type driver struct {
	began time.Time
	stop  chan struct{}
	wake  chan struct{} // wakes run after a change from outside

	mu     sync.Mutex
	engine *engine.Engine
	queues map[string]*eventQueue
}

// eventQueue holds the events of one job that have not been taken yet.
type eventQueue struct {
	mu     sync.Mutex
	events []engine.Event
	ready  chan struct{} // capacity 1; signals new events
}

func (q *eventQueue) add(event engine.Event) {
	q.mu.Lock()
	q.events = append(q.events, event)
	q.mu.Unlock()
	select {
	case q.ready <- struct{}{}:
	default:
	}
}

func (q *eventQueue) take() []engine.Event {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := q.events
	q.events = nil
	return out
}

func startDriver(config engine.Config, key string) *driver {
	d := &driver{began: time.Now(), stop: make(chan struct{}), wake: make(chan struct{}, 1), engine: engine.New(config, key+"-"),
		queues: map[string]*eventQueue{}}
	go d.run()
	return d
}

func (d *driver) close() { close(d.stop) }

// withEngine advances the engine to the present, calls f and delivers the resulting events.
func (d *driver) withEngine(f func(e *engine.Engine, now time.Duration)) {
	d.mu.Lock()
	now := time.Since(d.began)
	d.engine.Advance(now)
	f(d.engine, now)
	d.deliver()
	d.mu.Unlock()
	select {
	case d.wake <- struct{}{}:
	default:
	}
}

// deliver moves the engine's new events to the queues of their jobs. The caller holds mu.
func (d *driver) deliver() {
	for _, event := range d.engine.Events() {
		if queue := d.queues[event.Job]; queue != nil {
			queue.add(event)
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
		next, ok := d.engine.Next()
		d.mu.Unlock()
		wait := time.Hour
		if ok {
			wait = max(0, next-time.Since(d.began))
		}
		timer.Reset(wait)
		select {
		case <-d.stop:
			return
		case <-d.wake:
		case <-timer.C:
		}
	}
}

// submit submits a job, whose ID must be unique, and returns the queue of its events or the reason for its rejection.
func (d *driver) submit(job engine.Job) (*eventQueue, engine.Rejection) {
	queue := &eventQueue{ready: make(chan struct{}, 1)}
	reason := engine.Accepted
	d.withEngine(func(e *engine.Engine, now time.Duration) {
		d.queues[job.ID] = queue
		if reason = e.Submit(now, job); reason != engine.Accepted {
			delete(d.queues, job.ID)
		}
	})
	return queue, reason
}

// cancel removes a job and its event queue, whether the job has ended or not.
func (d *driver) cancel(id string) {
	d.withEngine(func(e *engine.Engine, now time.Duration) {
		delete(d.queues, id)
		e.Cancel(now, id)
	})
}

func (d *driver) state() (report engine.Report) {
	d.withEngine(func(e *engine.Engine, _ time.Duration) { report = e.State() })
	return report
}

func (d *driver) report() (report engine.Report) {
	d.withEngine(func(e *engine.Engine, now time.Duration) { report = e.Report(now) })
	return report
}

func (d *driver) stats() (stats engine.Stats) {
	d.withEngine(func(e *engine.Engine, _ time.Duration) { stats = e.Stats() })
	return stats
}

func (d *driver) now() time.Duration { return time.Since(d.began) }

// next returns the time of the engine's next state change without new input.
func (d *driver) next() (at time.Duration) {
	d.withEngine(func(e *engine.Engine, _ time.Duration) { at, _ = e.Next() })
	return at
}
