package placement

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

// crowdedWorkers run so many jobs at once, let some more wait, the more urgent first, and reject what comes beyond.
type crowdedWorkers struct {
	slots, queue int
	span         time.Duration

	mutex   sync.Mutex
	workers map[string]*crowdedWorker
}

type crowdedWorker struct {
	running int
	waiting []*waitingJob
}

type waitingJob struct {
	priority int
	begin    chan struct{}
}

func (c *crowdedWorkers) Probe(_ context.Context, target fleetwire.Instance) (Report, error) {
	time.Sleep(time.Millisecond)
	c.mutex.Lock()
	defer c.mutex.Unlock()
	worker := c.worker(target.ID)
	return Report{Running: worker.running, Queued: len(worker.waiting)}, nil
}

func (c *crowdedWorkers) worker(id string) *crowdedWorker {
	if c.workers[id] == nil {
		c.workers[id] = &crowdedWorker{}
	}
	return c.workers[id]
}

// take gives a job a slot, or a place to wait for one. It returns nil where there is neither.
func (c *crowdedWorkers) take(id string, priority int) *waitingJob {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	worker := c.worker(id)
	job := &waitingJob{priority: priority, begin: make(chan struct{})}
	switch {
	case worker.running < c.slots:
		worker.running++
		close(job.begin)
	case len(worker.waiting) < c.queue:
		worker.waiting = append(worker.waiting, job)
		slices.SortStableFunc(worker.waiting, func(a, b *waitingJob) int { return a.priority - b.priority })
	default:
		return nil
	}
	return job
}

// leave gives a slot to the job that waits first, or takes back a job that waits.
func (c *crowdedWorkers) leave(id string, left *waitingJob) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	worker := c.worker(id)
	if at := slices.Index(worker.waiting, left); at >= 0 {
		worker.waiting = slices.Delete(worker.waiting, at, at+1)
		return
	}
	if len(worker.waiting) == 0 {
		worker.running--
		return
	}
	close(worker.waiting[0].begin)
	worker.waiting = worker.waiting[1:]
}

// push sends a job of a priority.
func (c *crowdedWorkers) push(priority int) Push {
	return func(ctx context.Context, target fleetwire.Instance, ready func() bool) Result {
		if !ready() {
			return ResultNotExecuted
		}
		time.Sleep(time.Millisecond)
		job := c.take(target.ID, priority)
		if job == nil {
			return ResultNotExecuted
		}
		defer c.leave(target.ID, job)
		select {
		case <-job.begin:
		case <-ctx.Done():
			return ResultTimedOut
		}
		time.Sleep(c.span)
		return ResultServed
	}
}

// offeredFor is long enough for shares to differ by chance by a fifth of urgencyGap.
const offeredFor = 200 * time.Second

// servedShares offers jobs of two kinds by turns, and returns the share of each that was served.
func servedShares(t *testing.T, queue int, every time.Duration, kinds [2]Job) [2]float64 {
	crowded := &crowdedWorkers{slots: 8, queue: queue, span: 400 * time.Millisecond, workers: map[string]*crowdedWorker{}}
	placer := newTestPlacer(crowded)
	placer.options.BudgetSlack = 1000
	placer.Update(snapshot(1, workers("decode", 2)))
	var mutex sync.Mutex
	var offered, served [2]int
	var all sync.WaitGroup
	for i := range int(offeredFor / every) {
		kind := i % 2
		job := kinds[kind]
		job.Arrived = time.Now()
		job.Deadline = job.Arrived.Add(time.Duration(job.Route.TimeoutMs) * time.Millisecond)
		offered[kind]++
		all.Go(func() {
			ctx, cancel := context.WithDeadline(t.Context(), job.Deadline)
			defer cancel()
			verdict := placer.Place(ctx, job, crowded.push(job.Route.Priority))
			mutex.Lock()
			defer mutex.Unlock()
			if verdict.Decision == DecisionServed {
				served[kind]++
			}
		})
		time.Sleep(every)
	}
	all.Wait()
	return [2]float64{float64(served[0]) / float64(offered[0]), float64(served[1]) / float64(offered[1])}
}

// enginesQueue is the queue of an engine, three for each slot.
const enginesQueue = 24

// urgencyGap is how much less often a kind may be served than a less urgent one without a price.
const urgencyGap = 0.05

// urgencyKind is a kind of job that differs from others by its urgency, the more urgent the smaller, and by its time.
func urgencyKind(priority int, aim, timeout int64) Job {
	job := testJob("decode")
	job.Route = &fleetwire.Route{RouteType: "streaming", Priority: priority, TargetLatencyMs: aim, TimeoutMs: timeout}
	return job
}

// requireUrgency offers two kinds, the more urgent first, to workers that have too few slots for them.
func requireUrgency(t *testing.T, kinds [2]Job) {
	for load, every := range map[string]time.Duration{"a third too much": 19 * time.Millisecond, "twice too much": 12 * time.Millisecond} {
		t.Run(load, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shares := servedShares(t, enginesQueue, every, kinds)
				t.Logf("served: urgent %.3f, others %.3f", shares[0], shares[1])
				require.GreaterOrEqual(t, shares[0], shares[1]-urgencyGap)
				require.Less(t, shares[1], 1.0, "the workers are crowded")
			})
		})
	}
}

func TestTheMoreUrgentAreServedNoLessOften(t *testing.T) {
	t.Run("alike but for urgency", func(t *testing.T) {
		requireUrgency(t, [2]Job{urgencyKind(0, 500, 2500), urgencyKind(1, 500, 2500)})
	})
	t.Run("with more time", func(t *testing.T) {
		requireUrgency(t, [2]Job{urgencyKind(0, 500, 8000), urgencyKind(2, 300, 2500)})
	})
}

// Guards against a price: where slots are short, a job with more time draws more often than a more urgent one with less.
func TestTheMoreUrgentWithLessTimeAreServedNoLessOften(t *testing.T) {
	requireUrgency(t, [2]Job{urgencyKind(0, 300, 2500), urgencyKind(1, 500, 10_000)})
}
