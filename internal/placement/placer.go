package placement

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"weldscale/coordination/watch"
	"weldscale/decide"
	"weldscale/internal/fleetwire"
)

const (
	// slackShare is the part of the budget's free extras that routers spend; the rest is for those that start anew.
	slackShare = 0.6
	// ratioShare is the part of the ratio that is spent: what a request counts as is known only roughly.
	ratioShare = 0.8
	// Refused clients come back after about this span, when a burst has moved on but their aim may yet be met.
	retryAfterLeast = 150 * time.Millisecond
	retryAfterMost  = 600 * time.Millisecond
)

// AssumedRouters is the number of routers that share workers and budgets until the controllers tell it: rather too many.
const AssumedRouters = 32

// Options are what a placer is made of.
type Options struct {
	Zone         string
	Zones        []string // all zones of the deployment
	BudgetRatio  float64
	BudgetSlack  float64
	BudgetWindow time.Duration
	Prober       Prober // nil: by HTTP
	Log          *zap.Logger
}

// Placer places the work of all services of one router.
type Placer struct {
	options Options
	start   time.Time
	zones   map[string]int
	mu      sync.RWMutex
	pools   map[poolKey]*pool
	budgets map[string]*RetryBudget
	version atomic.Pointer[fleetwire.Version]
	routers int
}

type poolKey struct{ service, stage string }

// New returns a placer that knows no workers yet.
func New(options Options) *Placer {
	if options.Prober == nil {
		options.Prober = NewHTTPProber()
	}
	p := &Placer{options: options, start: time.Now(), zones: map[string]int{}, pools: map[poolKey]*pool{},
		budgets: map[string]*RetryBudget{}, routers: AssumedRouters}
	p.zones[options.Zone] = 0
	for _, zone := range options.Zones {
		if _, known := p.zones[zone]; !known {
			p.zones[zone] = len(p.zones)
		}
	}
	return p
}

func (p *Placer) now() decide.Time { return time.Since(p.start).Microseconds() }

// Update takes a newer snapshot of the fleet.
func (p *Placer) Update(snapshot *watch.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRouters(snapshot.Routers)
	if old := p.version.Load(); old != nil && *old == snapshot.Version {
		return
	}
	version := snapshot.Version
	p.version.Store(&version)
	lists := map[poolKey][]fleetwire.Instance{}
	for key := range p.pools {
		lists[key] = nil
	}
	for _, instance := range snapshot.Instances {
		key := poolKey{instance.Service, instance.Stage}
		lists[key] = append(lists[key], instance)
	}
	slots := configuredSlots(snapshot.Config)
	for key, list := range lists {
		if target := p.pool(key); target != nil {
			target.setWorkers(list, slotsOf(slots[key.service], list))
		}
	}
}

func configuredSlots(config *fleetwire.Config) map[string]int {
	slots := map[string]int{}
	if config == nil {
		return slots
	}
	for _, service := range config.Services {
		if service.Engine != nil {
			slots[service.Name] = service.Engine.Slots
		}
	}
	return slots
}

func slotsOf(configured int, list []fleetwire.Instance) int {
	if configured > 0 || len(list) == 0 {
		return max(1, configured)
	}
	return max(1, list[0].Slots)
}

func (p *Placer) setRouters(routers int) {
	if routers <= 0 || routers == p.routers {
		return
	}
	p.routers = routers
	for _, budget := range p.budgets {
		budget.SetSlack(p.slack())
	}
}

func (p *Placer) slack() float64 { return p.options.BudgetSlack * slackShare / float64(p.routers) }

// pool returns the pool of a service and stage, made on first use. The caller holds the lock.
func (p *Placer) pool(key poolKey) *pool {
	if known := p.pools[key]; known != nil {
		return known
	}
	made, err := newPool(poolSettings{stage: key.stage, zones: p.zones, zone: 0, prober: p.options.Prober, now: p.now})
	if err != nil {
		p.options.Log.Error("no dispatcher", zap.String("service", key.service), zap.Error(err))
		return nil
	}
	p.pools[key] = made
	return made
}

// Place finds a worker for a job and lets push send it, again as long as the rules allow, and returns how it ended.
func (p *Placer) Place(ctx context.Context, job Job, push Push) JobOutcome {
	p.mu.RLock()
	target := p.pools[poolKey{job.Service, job.Stage}]
	p.mu.RUnlock()
	p.countRequest(&job)
	if target == nil {
		return p.refused(&job, job.Runs)
	}
	id, placed := target.arrive(&job)
	defer target.forget(id)
	runs := job.Runs
	for pushes := 0; ; {
		verdict := JobOutcome{Decision: DecisionFailed, Runs: runs, Arrivals: pushes}
		select {
		case <-ctx.Done():
			target.call(func(now decide.Time) { target.dispatch.Hangup(now, id) })
			return verdict
		case refused := <-placed.ended:
			if refused && runs == 0 {
				return p.refused(&job, runs)
			}
			return verdict
		case order := <-placed.pushes:
			if !p.mayPush(&job, pushes, runs) {
				target.outcome(id, order, decide.NotSent)
				target.call(func(now decide.Time) { target.dispatch.GiveUp(now, id) })
				if runs == 0 {
					return p.refused(&job, runs)
				}
				return verdict
			}
			result, sent := target.send(ctx, placed, order, push)
			if !sent {
				target.outcome(id, order, decide.NotSent)
				p.unspend(&job, pushes)
				continue
			}
			if result == ResultConnectFailed {
				p.unspend(&job, pushes) // it arrived nowhere
			} else {
				p.settleReading(&job, pushes, runs, result)
				pushes++
			}
			if result.mayHaveRun() {
				runs++
			}
			target.outcome(id, order, statusOf[result])
			if result == ResultServed {
				return JobOutcome{Decision: DecisionServed, Runs: runs, Arrivals: pushes}
			}
		}
	}
}

// ObserveLoad takes in the load that a worker told with an answer: the next draws of that worker need no probe for a while.
func (p *Placer) ObserveLoad(target *fleetwire.Instance, load Load) {
	p.mu.RLock()
	known := p.pools[poolKey{target.Service, target.Stage}]
	p.mu.RUnlock()
	if known != nil {
		known.answered(target.ID, load)
	}
}

// countRequest notes a request in the budget of its service; the reading of a prompt is no request of its own.
func (p *Placer) countRequest(job *Job) {
	if job.Stage == fleetwire.StagePrefill {
		return
	}
	p.mu.Lock()
	p.budget(job.Service).CountRequest(time.Since(p.start))
	p.mu.Unlock()
}

func (p *Placer) budget(service string) *RetryBudget {
	budget := p.budgets[service]
	if budget == nil {
		budget = NewRetryBudget(p.options.BudgetRatio*ratioShare, p.slack(), p.options.BudgetWindow)
		p.budgets[service] = budget
	}
	return budget
}

// mayPush keeps the bounds of one request and of all.
func (p *Placer) mayPush(job *Job, pushes, runs int) bool {
	if runs >= max(1, job.MaxRuns) || runs > 0 && !job.Repeatable {
		return false
	}
	if pushes == 0 && job.FirstPushFree {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budget(job.Service).TrySpend(time.Since(p.start))
}

// settleReading corrects the budget after a reading of a prompt: the first one that a worker takes up is no extra arrival, the
// rejected ones are.
func (p *Placer) settleReading(job *Job, pushes, runs int, result Result) {
	if job.Stage != fleetwire.StagePrefill {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	free := pushes == 0 && job.FirstPushFree
	switch {
	case free && !result.mayHaveRun():
		p.budget(job.Service).Charge(time.Since(p.start))
	case !free && result.mayHaveRun() && runs == job.Runs:
		p.budget(job.Service).Refund()
	}
}

// unspend gives back what mayPush took from the budget for a push that was not sent.
func (p *Placer) unspend(job *Job, pushes int) {
	if pushes == 0 && job.FirstPushFree {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budget(job.Service).Refund()
}

// refused is the verdict on a job that no worker has run: its client may come back soon.
func (p *Placer) refused(job *Job, runs int) JobOutcome {
	if runs > 0 {
		return JobOutcome{Decision: DecisionFailed, Runs: runs}
	}
	span := retryAfterLeast + rand.N(retryAfterMost-retryAfterLeast)
	return JobOutcome{Decision: DecisionRefused, RetryAfter: span, Runs: runs}
}

// statusOf is the dispatcher's word for a result.
var statusOf = map[Result]decide.Status{
	ResultServed:           decide.Served,
	ResultNotExecuted:      decide.Full,
	ResultConnectFailed:    decide.ConnectFailed,
	ResultConnectionBroken: decide.Reset,
	ResultTimedOut:         decide.TimedOut,
	ResultFailed:           decide.Error,
	ResultCancelled:        decide.Cancelled,
}

// send lets push send the job to the worker that an order names. It reports false if nothing was sent.
func (p *pool) send(ctx context.Context, placed *placedJob, order pushOrder, push Push) (Result, bool) {
	instance, listed := p.target(order.worker)
	if !listed {
		return ResultNotExecuted, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	placed.cancel = cancel
	p.mu.Unlock()
	sent := false
	result := push(ctx, instance, func() bool {
		sent = p.usable(order.worker)
		return sent
	})
	p.mu.Lock()
	placed.cancel = nil
	p.mu.Unlock()
	return result, sent || result != ResultNotExecuted
}
