package router

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"weldscale/internal/evidence"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

const (
	// observationSpan is how long the latest attempt at a worker counts.
	observationSpan = 6 * time.Second
	// observationInterval is the minimum time before the same observation of a worker is reported again.
	observationInterval = 500 * time.Millisecond
	// maxObservationsPerPoll limits the observations in one poll. The rest is reported only after a new attempt at the worker.
	maxObservationsPerPoll = 64
	// suspectInterval is how often a worker that stays under suspicion is passed to Options.OnSuspects again.
	suspectInterval = 4 * time.Second
	maxWorkers      = 4096     // limits the workers that have observations
	otherRouters    = "others" // stands for all routers whose reports the controllers forward
	maxReporters    = 2        // this router and otherRouters
)

// observations holds the latest outcome at each worker. The router reports failures to the controllers through the agent, and
// successes only at workers that other routers have reported as failing. In return the controllers name the workers that enough
// routers have reported. It is safe for concurrent use.
type observations struct {
	started     time.Time
	incarnation uint64

	mutex         sync.Mutex
	aggregator    *evidence.Aggregator
	doubtSequence uint64
	suspectedAt   map[string]time.Duration // when each suspected worker was last passed to Options.OnSuspects
}

func newObservations() *observations {
	aggregator, _ := evidence.NewAggregator(evidence.Config{
		MaxMembers: maxReporters, MaxWorkers: maxWorkers, MaxAge: observationSpan, MinRepeatInterval: observationInterval,
		SampleSize: 1, MinComplaintShare: 1, MaxSuspectShare: 1,
	}, "", "", 0)
	return &observations{started: time.Now(), incarnation: rand.Uint64(), aggregator: aggregator, suspectedAt: map[string]time.Duration{}}
}

// record records the result of a push to a worker.
func (o *observations) record(worker string, result placement.Result) {
	kind, relevant := evidenceKind(result)
	if !relevant {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.aggregator.Record(time.Since(o.started), worker, kind)
}

// evidenceKind returns what a result shows about the worker. It returns false if it shows nothing.
func evidenceKind(result placement.Result) (evidence.Kind, bool) {
	switch result {
	case placement.ResultServed:
		return evidence.Succeeded, true
	case placement.ResultFailed, placement.ResultConnectionBroken, placement.ResultMalformed:
		return evidence.Failed, true
	case placement.ResultTimedOut:
		return evidence.TimedOut, true
	case placement.ResultConnectFailed:
		return evidence.Unreachable, true
	default:
		return 0, false
	}
}

// addTo adds the observations that are due to a poll of the agent.
func (o *observations) addTo(request *fleetwire.WatchRequest) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	reports := o.aggregator.DueReports(time.Since(o.started))
	for _, report := range reports[:min(len(reports), maxObservationsPerPoll)] {
		request.Observations = append(request.Observations, fleetwire.Observation{
			Worker:   report.Worker,
			Kind:     int(report.Kind),
			AgeMs:    report.Age.Milliseconds(),
			Life:     o.incarnation,
			Sequence: report.Seq,
		})
	}
}

// newSuspects processes the controllers' doubts. It returns the workers to pass to Options.OnSuspects now.
func (o *observations) newSuspects(doubts []fleetwire.Doubt) []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Since(o.started)
	suspected := make(map[string]bool, len(doubts))
	var suspects []string
	for _, doubt := range doubts {
		o.doubtSequence++
		o.aggregator.Receive(now, evidence.Report{From: otherRouters, Worker: doubt.Worker, Seq: o.doubtSequence, Kind: evidence.Failed})
		if !doubt.Avoid {
			continue
		}
		suspected[doubt.Worker] = true
		if last, known := o.suspectedAt[doubt.Worker]; !known || now-last >= suspectInterval {
			o.suspectedAt[doubt.Worker] = now
			suspects = append(suspects, doubt.Worker)
		}
	}
	for worker := range o.suspectedAt {
		if !suspected[worker] {
			delete(o.suspectedAt, worker)
		}
	}
	return suspects
}

// recordResults returns a push that also records the result of push.
func (q *request) recordResults(push placement.Push) placement.Push {
	return func(ctx context.Context, target fleetwire.Instance, ready func() bool) placement.Result {
		result := push(ctx, target, ready)
		q.router.observations.record(target.ID, result)
		return result
	}
}
