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
	// observationSpan is how long the latest try at a worker counts.
	observationSpan = 6 * time.Second
	// observationPace is how often the same is said again of a worker.
	observationPace = 500 * time.Millisecond
	// mostObservations bounds what is said at once; the rest is said with the next poll.
	mostObservations = 64
	// distrustPace is how often a worker that stays in doubt is distrusted anew.
	distrustPace  = 4 * time.Second
	mostWorkers   = 4096
	everyoneElse  = "others" // stands for the routers whose complaints the controllers pass on
	routersAtMost = 2
)

// observations keeps what this router saw last of each worker. Complaints are told to the controllers through the agent, and so
// is what went well at workers that others complain of. What comes back is whom enough routers complain of.
type observations struct {
	started time.Time
	life    uint64

	mutex      sync.Mutex
	book       *evidence.Book
	heard      uint64
	distrusted map[string]time.Duration // when each worker was distrusted last
}

func newObservations() *observations {
	book, _ := evidence.NewBook(evidence.Config{
		Members: routersAtMost, Workers: mostWorkers, Span: observationSpan, Every: observationPace, Latest: 1, Bad: 1, Most: 1,
	}, "", "", 0)
	return &observations{started: time.Now(), life: rand.Uint64(), book: book, distrusted: map[string]time.Duration{}}
}

// saw notes how a push ended.
func (o *observations) saw(worker string, result placement.Result) {
	kind, tells := kindOf(result)
	if !tells {
		return
	}
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.book.Saw(time.Since(o.started), worker, kind)
}

// kindOf is what a result says of the worker, if it says anything.
func kindOf(result placement.Result) (evidence.Kind, bool) {
	switch result {
	case placement.ResultServed:
		return evidence.Fine, true
	case placement.ResultFailed, placement.ResultConnectionBroken:
		return evidence.Failed, true
	case placement.ResultTimedOut:
		return evidence.Late, true
	case placement.ResultConnectFailed:
		return evidence.Lost, true
	default:
		return 0, false
	}
}

// hint adds to a poll what is to be said now.
func (o *observations) hint(request *fleetwire.WatchRequest) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	due := o.book.Due(time.Since(o.started))
	for _, report := range due[:min(len(due), mostObservations)] {
		request.Observations = append(request.Observations, fleetwire.Observation{
			Worker:   report.Worker,
			Kind:     int(report.Kind),
			AgeMs:    report.Age.Milliseconds(),
			Life:     o.life,
			Sequence: report.Seq,
		})
	}
}

// doubted takes what the controllers say and returns the workers to be distrusted now.
func (o *observations) doubted(doubts []fleetwire.Doubt) []string {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	now := time.Since(o.started)
	avoided := make(map[string]bool, len(doubts))
	var fresh []string
	for _, doubt := range doubts {
		o.heard++
		o.book.Take(now, evidence.Report{From: everyoneElse, Worker: doubt.Worker, Seq: o.heard, Kind: evidence.Failed})
		if !doubt.Avoid {
			continue
		}
		avoided[doubt.Worker] = true
		if last, known := o.distrusted[doubt.Worker]; !known || now-last >= distrustPace {
			o.distrusted[doubt.Worker] = now
			fresh = append(fresh, doubt.Worker)
		}
	}
	for worker := range o.distrusted {
		if !avoided[worker] {
			delete(o.distrusted, worker)
		}
	}
	return fresh
}

// observed notes how a push ends.
func (q *request) observed(push placement.Push) placement.Push {
	return func(ctx context.Context, target fleetwire.Instance, ready func() bool) placement.Result {
		result := push(ctx, target, ready)
		q.router.observations.saw(target.ID, result)
		return result
	}
}
