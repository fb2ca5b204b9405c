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

// saturatedWorkers simulates workers that each run up to slots jobs at once, queue more by priority, and reject jobs when the
// queue is full.
type saturatedWorkers struct {
	slots, queue int
	runTime      time.Duration

	mutex   sync.Mutex
	workers map[string]*saturatedWorker
}

type saturatedWorker struct {
	running int
	waiting []*waitingJob
}

type waitingJob struct {
	priority int
	begin    chan struct{}
}

func (s *saturatedWorkers) Probe(_ context.Context, target fleetwire.Instance) (Report, error) {
	time.Sleep(time.Millisecond)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	worker := s.worker(target.ID)
	return Report{Running: worker.running, Queued: len(worker.waiting)}, nil
}

func (s *saturatedWorkers) worker(id string) *saturatedWorker {
	if s.workers[id] == nil {
		s.workers[id] = &saturatedWorker{}
	}
	return s.workers[id]
}

// take starts a job or queues it. It returns nil if the queue is full.
func (s *saturatedWorkers) take(id string, priority int) *waitingJob {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	worker := s.worker(id)
	job := &waitingJob{priority: priority, begin: make(chan struct{})}
	switch {
	case worker.running < s.slots:
		worker.running++
		close(job.begin)
	case len(worker.waiting) < s.queue:
		worker.waiting = append(worker.waiting, job)
		slices.SortStableFunc(worker.waiting, func(a, b *waitingJob) int { return a.priority - b.priority })
	default:
		return nil
	}
	return job
}

// leave removes a queued job, or passes the slot of a finished job to the first queued one.
func (s *saturatedWorkers) leave(id string, left *waitingJob) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	worker := s.worker(id)
	if index := slices.Index(worker.waiting, left); index >= 0 {
		worker.waiting = slices.Delete(worker.waiting, index, index+1)
		return
	}
	if len(worker.waiting) == 0 {
		worker.running--
		return
	}
	close(worker.waiting[0].begin)
	worker.waiting = worker.waiting[1:]
}

// push returns a Push for a job of the given priority.
func (s *saturatedWorkers) push(priority int) Push {
	return func(ctx context.Context, target fleetwire.Instance, ready func() bool) Result {
		if !ready() {
			return ResultNotExecuted
		}
		time.Sleep(time.Millisecond)
		job := s.take(target.ID, priority)
		if job == nil {
			return ResultNotExecuted
		}
		defer s.leave(target.ID, job)
		select {
		case <-job.begin:
		case <-ctx.Done():
			return ResultTimedOut
		}
		time.Sleep(s.runTime)
		return ResultServed
	}
}

// offerDuration is long enough that random variation of the shares is about a fifth of maxUrgencyGap.
const offerDuration = 200 * time.Second

// servedShares offers jobs of two kinds in turn and returns the share of each kind that was served.
func servedShares(t *testing.T, queue int, interval time.Duration, kinds [2]Job) [2]float64 {
	saturated := &saturatedWorkers{slots: 8, queue: queue, runTime: 400 * time.Millisecond, workers: map[string]*saturatedWorker{}}
	placer := newTestPlacer(saturated)
	placer.options.BudgetSlack = 1000
	placer.Update(snapshot(1, workers("decode", 2)))
	var mutex sync.Mutex
	var offered, served [2]int
	var jobs sync.WaitGroup
	for i := range int(offerDuration / interval) {
		kind := i % 2
		job := kinds[kind]
		job.Arrived = time.Now()
		job.Deadline = job.Arrived.Add(time.Duration(job.Route.TimeoutMs) * time.Millisecond)
		offered[kind]++
		jobs.Go(func() {
			ctx, cancel := context.WithDeadline(t.Context(), job.Deadline)
			defer cancel()
			outcome := placer.Place(ctx, job, saturated.push(job.Route.Priority))
			mutex.Lock()
			defer mutex.Unlock()
			if outcome.Decision == DecisionServed {
				served[kind]++
			}
		})
		time.Sleep(interval)
	}
	jobs.Wait()
	return [2]float64{float64(served[0]) / float64(offered[0]), float64(served[1]) / float64(offered[1])}
}

// engineQueue is the queue length of an engine: three jobs for each slot.
const engineQueue = 24

// maxUrgencyGap is how much lower the served share of a kind may be than that of a less urgent one while slots have no price.
const maxUrgencyGap = 0.05

// jobOfUrgency returns a job with the given priority, of which 0 is the most urgent, and latency limits in milliseconds.
func jobOfUrgency(priority int, targetLatency, timeout int64) Job {
	job := testJob("decode")
	job.Route = &fleetwire.Route{RouteType: "streaming", Priority: priority, TargetLatencyMs: targetLatency, TimeoutMs: timeout}
	return job
}

// requireUrgency offers two kinds of jobs, the more urgent one first, to overloaded workers. It requires that the more urgent
// kind is served no less often.
func requireUrgency(t *testing.T, kinds [2]Job) {
	for load, interval := range map[string]time.Duration{"a third too much": 19 * time.Millisecond, "twice too much": 12 * time.Millisecond} {
		t.Run(load, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				shares := servedShares(t, engineQueue, interval, kinds)
				t.Logf("served: urgent %.3f, others %.3f", shares[0], shares[1])
				require.GreaterOrEqual(t, shares[0], shares[1]-maxUrgencyGap)
				require.Less(t, shares[1], 1.0, "the workers are overloaded")
			})
		})
	}
}

func TestUrgentJobsAreServedNoLessOften(t *testing.T) {
	t.Run("same latency limits", func(t *testing.T) {
		requireUrgency(t, [2]Job{jobOfUrgency(0, 500, 2500), jobOfUrgency(1, 500, 2500)})
	})
	t.Run("urgent jobs with a longer timeout", func(t *testing.T) {
		requireUrgency(t, [2]Job{jobOfUrgency(0, 500, 8000), jobOfUrgency(2, 300, 2500)})
	})
}

// Guards against priority inversion under overload: slots have no price, so no job is held back for a more urgent one, and a
// job with a longer timeout tries workers more often than a more urgent one with a shorter timeout.
func TestTheMoreUrgentWithLessTimeAreServedNoLessOften(t *testing.T) {
	requireUrgency(t, [2]Job{jobOfUrgency(0, 300, 2500), jobOfUrgency(1, 500, 10_000)})
}
