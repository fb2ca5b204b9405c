package placement

import (
	"context"
	"errors"
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
	// slackFraction is the part of the budget's slack that routers spend. The rest covers routers that restart with a new budget.
	slackFraction = 0.6
	// ratioFraction is the part of the budget's ratio that routers spend, since it is not known exactly what counts as a request.
	ratioFraction = 0.8
	// The Retry-After of refused clients is random between these bounds: a burst is over by then, but the target latency may
	// still be met.
	minRetryAfter = 150 * time.Millisecond
	maxRetryAfter = 600 * time.Millisecond
)

// AssumedRouters is the number of routers that are assumed to share the workers and budgets until the controllers report the
// actual number. It is high on purpose, so that each router spends too little rather than too much.
const AssumedRouters = 32

// Options configure a Placer.
type Options struct {
	Zone         string
	Zones        []string // all zones of the deployment
	BudgetRatio  float64
	BudgetSlack  float64
	BudgetWindow time.Duration
	Prober       Prober // nil: an HTTP prober
	Log          *zap.Logger
}

// Placer chooses workers for the jobs of all services of one router. It is safe for concurrent use.
type Placer struct {
	options     Options
	startedAt   time.Time      // origin of the dispatchers' clock
	zoneNumbers map[string]int // dispatchers number the zones; the own one is 0
	mu          sync.RWMutex   // guards pools, budgets, gates and routerCount
	pools       map[poolKey]*pool
	budgets     map[string]*RetryBudget
	gates       map[string]*urgencyGate // by service
	version     atomic.Pointer[fleetwire.Version]
	routerCount int
}

// poolKey identifies a pool. The stage is empty for a service without stages.
type poolKey struct{ service, stage string }

// New returns a placer that knows no workers yet.
func New(options Options) *Placer {
	if options.Prober == nil {
		options.Prober = NewHTTPProber()
	}
	p := &Placer{options: options, startedAt: time.Now(), zoneNumbers: map[string]int{}, pools: map[poolKey]*pool{},
		budgets: map[string]*RetryBudget{}, gates: map[string]*urgencyGate{}, routerCount: AssumedRouters}
	p.zoneNumbers[options.Zone] = 0
	for _, zone := range options.Zones {
		if _, known := p.zoneNumbers[zone]; !known {
			p.zoneNumbers[zone] = len(p.zoneNumbers)
		}
	}
	return p
}

func (p *Placer) now() decide.Time { return time.Since(p.startedAt).Microseconds() }

// Update applies a newer snapshot of the fleet.
func (p *Placer) Update(snapshot *watch.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setRouterCount(snapshot.Routers)
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
		if workerPool := p.poolFor(key); workerPool != nil {
			workerPool.setWorkers(list, slotsPerWorker(slots[key.service], list))
		}
	}
}

// configuredSlots returns the configured slots of a worker by service, for services that have an engine.
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

// slotsPerWorker returns the configured slots or, if there are none, those of the first listed worker.
func slotsPerWorker(configured int, list []fleetwire.Instance) int {
	if configured > 0 || len(list) == 0 {
		return max(1, configured)
	}
	return max(1, list[0].Slots)
}

// setRouterCount divides the budgets' slack among a new number of routers. The caller holds the lock.
func (p *Placer) setRouterCount(routers int) {
	if routers <= 0 || routers == p.routerCount {
		return
	}
	p.routerCount = routers
	for _, budget := range p.budgets {
		budget.SetSlack(p.slack())
	}
}

// slack returns this router's part of the budgets' slack.
func (p *Placer) slack() float64 {
	return p.options.BudgetSlack * slackFraction / float64(p.routerCount)
}

// poolFor returns the pool of a service and stage, and creates it on first use. The caller holds the lock.
func (p *Placer) poolFor(key poolKey) *pool {
	if existing := p.pools[key]; existing != nil {
		return existing
	}
	created, err := newPool(poolSettings{stage: key.stage, zoneNumbers: p.zoneNumbers, ownZone: 0, prober: p.options.Prober, now: p.now})
	if err != nil {
		p.options.Log.Error("no dispatcher", zap.String("service", key.service), zap.Error(err))
		return nil
	}
	p.pools[key] = created
	return created
}

// Place chooses a worker for the job and calls push to send it there. If the push fails, Place retries on other workers within
// the job's limits and the retry budget. It returns when the job is served, refused or failed, or when ctx is done.
func (p *Placer) Place(ctx context.Context, job Job, push Push) JobOutcome {
	p.mu.RLock()
	workerPool := p.pools[poolKey{job.Service, job.Stage}]
	p.mu.RUnlock()
	p.countRequest(&job)
	if workerPool == nil {
		return p.refusedOutcome(&job, job.Runs)
	}
	gate := p.gateFor(job.Service)
	if !job.Continues && job.Runs == 0 && !gate.admits(job.Route.Priority, time.Now()) {
		if refused := gate.dueLog(time.Now()); refused > 0 {
			p.options.Log.Info("less urgent requests refused", zap.String("service", job.Service), zap.Int("requests", refused))
		}
		return p.refusedOutcome(&job, job.Runs)
	}
	outcome := p.placeOn(ctx, workerPool, &job, push)
	if countsForUrgency(ctx, &job, outcome) {
		gate.record(job.Route.Priority, outcome.Decision == DecisionServed, time.Now())
	}
	return outcome
}

// countsForUrgency reports whether an outcome tells how often jobs of its urgency find a worker. A prefill that is done leaves
// that to the next stage, a job that a worker has run failed for another reason, and a client that has left was not waiting.
func countsForUrgency(ctx context.Context, job *Job, outcome JobOutcome) bool {
	if outcome.Decision == DecisionServed {
		return job.Stage != fleetwire.StagePrefill
	}
	return outcome.Runs == 0 && !errors.Is(ctx.Err(), context.Canceled)
}

// gateFor returns the gate of a service, and creates it on first use.
func (p *Placer) gateFor(service string) *urgencyGate {
	p.mu.RLock()
	gate := p.gates[service]
	p.mu.RUnlock()
	if gate != nil {
		return gate
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.gates[service] == nil {
		p.gates[service] = newUrgencyGate()
	}
	return p.gates[service]
}

// placeOn places the job on the workers of a pool.
func (p *Placer) placeOn(ctx context.Context, workerPool *pool, submitted *Job, push Push) JobOutcome {
	job := *submitted
	id, active := workerPool.submit(&job)
	defer workerPool.removeJob(id)
	runs := job.Runs
	for pushes := 0; ; {
		outcome := JobOutcome{Decision: DecisionFailed, Runs: runs, Arrivals: pushes}
		select {
		case <-ctx.Done():
			workerPool.withDispatcher(func(now decide.Time) { workerPool.dispatcher.Hangup(now, id) })
			return outcome
		case refused := <-active.finished:
			if refused && runs == 0 {
				return p.refusedOutcome(&job, runs)
			}
			return outcome
		case command := <-active.pushes:
			if !p.mayPush(&job, pushes, runs) {
				workerPool.reportOutcome(id, command, decide.NotSent)
				workerPool.withDispatcher(func(now decide.Time) { workerPool.dispatcher.GiveUp(now, id) })
				if runs == 0 {
					return p.refusedOutcome(&job, runs)
				}
				return outcome
			}
			result, sent := workerPool.send(ctx, active, command, push)
			if !sent {
				workerPool.reportOutcome(id, command, decide.NotSent)
				p.refundPush(&job, pushes)
				continue
			}
			if result == ResultConnectFailed {
				p.refundPush(&job, pushes) // it reached no worker
			} else {
				p.settlePrefillBudget(&job, pushes, runs, result)
				pushes++
			}
			if result.mayHaveRun() {
				runs++
			}
			workerPool.reportOutcome(id, command, dispatchStatus[result])
			if result == ResultServed {
				return JobOutcome{Decision: DecisionServed, Runs: runs, Arrivals: pushes}
			}
		}
	}
}

// ObserveLoad records the load that a worker reported with an answer. For a short time the worker then needs no probe.
func (p *Placer) ObserveLoad(target *fleetwire.Instance, load Load) {
	p.mu.RLock()
	workerPool := p.pools[poolKey{target.Service, target.Stage}]
	p.mu.RUnlock()
	if workerPool != nil {
		workerPool.observeLoad(target.ID, load)
	}
}

// countRequest counts a request in the retry budget of its service. The prefill of a prompt does not count as a separate
// request.
func (p *Placer) countRequest(job *Job) {
	if job.Stage == fleetwire.StagePrefill {
		return
	}
	p.mu.Lock()
	p.budgetFor(job.Service).CountRequest(time.Since(p.startedAt))
	p.mu.Unlock()
}

// budgetFor returns the retry budget of a service, and creates it on first use. The caller holds the lock.
func (p *Placer) budgetFor(service string) *RetryBudget {
	budget := p.budgets[service]
	if budget == nil {
		budget = NewRetryBudget(p.options.BudgetRatio*ratioFraction, p.slack(), p.options.BudgetWindow)
		p.budgets[service] = budget
	}
	return budget
}

// mayPush reports whether the job's limits and the retry budget allow one more push, and takes it from the budget.
func (p *Placer) mayPush(job *Job, pushes, runs int) bool {
	if runs >= max(1, job.MaxRuns) || runs > 0 && !job.Repeatable {
		return false
	}
	if pushes == 0 && job.FirstPushFree {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budgetFor(job.Service).TrySpend(time.Since(p.startedAt))
}

// settlePrefillBudget corrects the retry budget after a push of a prefill. The first prefill that a worker accepts is no extra
// arrival, while rejected ones are.
func (p *Placer) settlePrefillBudget(job *Job, pushes, runs int, result Result) {
	if job.Stage != fleetwire.StagePrefill {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	free := pushes == 0 && job.FirstPushFree
	switch {
	case free && !result.mayHaveRun():
		p.budgetFor(job.Service).Charge(time.Since(p.startedAt))
	case !free && result.mayHaveRun() && runs == job.Runs:
		p.budgetFor(job.Service).Refund()
	}
}

// refundPush returns to the retry budget what mayPush took for a push that reached no worker.
func (p *Placer) refundPush(job *Job, pushes int) {
	if pushes == 0 && job.FirstPushFree {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.budgetFor(job.Service).Refund()
}

// refusedOutcome returns the outcome of a job that is not pushed any more: refused with a random Retry-After if no worker has
// run it, else failed.
func (p *Placer) refusedOutcome(job *Job, runs int) JobOutcome {
	if runs > 0 {
		return JobOutcome{Decision: DecisionFailed, Runs: runs}
	}
	retryAfter := minRetryAfter + rand.N(maxRetryAfter-minRetryAfter)
	return JobOutcome{Decision: DecisionRefused, RetryAfter: retryAfter, Runs: runs}
}

// dispatchStatus maps the result of a push to the dispatcher's status of an attempt.
var dispatchStatus = map[Result]decide.Status{
	ResultServed:           decide.Served,
	ResultNotExecuted:      decide.Full,
	ResultConnectFailed:    decide.ConnectFailed,
	ResultConnectionBroken: decide.Reset,
	ResultMalformed:        decide.Reset,
	ResultTimedOut:         decide.TimedOut,
	ResultFailed:           decide.Error,
	ResultCancelled:        decide.Cancelled,
}

// send calls push for the worker that the command names. It returns false if nothing was sent.
func (p *pool) send(ctx context.Context, active *activeJob, command pushCommand, push Push) (Result, bool) {
	instance, listed := p.instance(command.worker)
	if !listed {
		return ResultNotExecuted, false
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	active.cancel = cancel
	p.mu.Unlock()
	sent := false
	result := push(ctx, instance, func() bool {
		sent = p.usable(command.worker)
		return sent
	})
	p.mu.Lock()
	active.cancel = nil
	p.mu.Unlock()
	return result, sent || result != ResultNotExecuted
}
