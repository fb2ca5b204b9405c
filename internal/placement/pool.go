package placement

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"weldscale/decide"
	"weldscale/internal/fleetwire"
)

const (
	// reportShare is how long the answer of a probe serves other draws of the same worker. Workers tell their load as it was
	// some 100 ms ago, so a probe within this time brings little that is new, and our own pushes are counted beside the report.
	reportShare = 100 * time.Millisecond
	// answerShare is how long the load that an answer told serves draws of that worker: it is of that moment, not of some
	// 100 ms before, and had without a probe.
	answerShare = 350 * time.Millisecond
	// reportKept is how long a report is completed by what answers tell since. They tell nothing of memory.
	reportKept = time.Second
	maxPushes  = 8                     // of one stage of a request, those included that were refused unseen
	guessedRun = 4                     // a stage is taken to need the aim divided by this, until one was seen
	echoNoise  = 30 * time.Millisecond // a router that shares its core answers late by that itself
	maxClasses = 512                   // beyond it a class is shared: routes come and go
)

// pool places the work of one service and stage. It gives the dispatcher what it owes it (one call at a time, a clock, timers)
// and carries out its actions once the call has returned.
type pool struct {
	settings poolSettings
	mu       sync.Mutex
	dispatch *decide.Dispatcher
	actions  []func()
	jobs     map[uint32]*placedJob
	lastJob  uint32
	ids      map[string]decide.WorkerID
	workers  map[decide.WorkerID]*worker
	lastID   decide.WorkerID
	ready    []fleetwire.Instance // replaced whole
	classes  map[classKey]int
	slots    int // of one worker, as configured
	units    float64
	blind    bool // its workers have no report
}

type poolSettings struct {
	stage  string
	zones  map[string]int // numbers of the zones
	zone   int            // our own
	prober Prober
	now    func() decide.Time
}

type worker struct {
	instance fleetwire.Instance
	report   Report
	reportAt decide.Time
	useUntil decide.Time   // the report serves draws until then
	probing  []decide.Time // when each probe was asked for that waits for the answer under way
}

type classKey struct {
	repeatable bool
	aim        time.Duration
	deadline   time.Duration
	priority   int
}

// placedJob is a job in Place's hands, as the dispatcher's actions reach it.
type placedJob struct {
	pushes chan pushOrder
	ended  chan bool // true: refused, false: failed
	timers []*time.Timer
	cancel context.CancelFunc // of the push under way; nil between pushes
	pushed int                // pushes ordered so far
}

type pushOrder struct {
	attempt int
	worker  decide.WorkerID
}

func newPool(settings poolSettings) (*pool, error) {
	p := &pool{settings: settings, jobs: map[uint32]*placedJob{}, ids: map[string]decide.WorkerID{},
		workers: map[decide.WorkerID]*worker{}, classes: map[classKey]int{}, units: usualUnits}
	first := classKey{aim: time.Second, deadline: time.Second}
	dispatch, err := decide.New(decide.Settings{
		Nodes:            AssumedRouters,
		Zone:             settings.zone,
		Zones:            len(settings.zones),
		Classes:          []decide.Class{first.class()},
		CanProbe:         true,
		Unpriced:         true, // no worker tells of a start, and without starts a price would not come down again
		RTTNoise:         echoNoise.Microseconds(),
		CanCancel:        true,
		MaxAttempts:      maxPushes,
		MaxRetryAfter:    int64(time.Second / time.Microsecond),
		ColdFrom:         1,
		OverloadMultiple: 1,
		OverloadSpan:     int64(time.Second / time.Microsecond),
		Tick:             int64(time.Millisecond / time.Microsecond),
	}, rand.Uint64(), (*poolActions)(p))
	if err != nil {
		return nil, err
	}
	p.dispatch = dispatch
	p.classes[first] = 0
	return p, nil
}

func (k classKey) class() decide.Class {
	effect := decide.Unsafe
	if k.repeatable {
		effect = decide.Safe
	}
	return decide.Class{Effect: effect, Aim: k.aim.Microseconds(), Deadline: k.deadline.Microseconds(),
		Worth: float64(max(1, 3-k.priority)), LateWorth: 0.3, Kind: -1}
}

// call makes one call of the dispatcher and then carries out what it asked for.
func (p *pool) call(f func(now decide.Time)) {
	p.mu.Lock()
	f(p.settings.now())
	actions := p.actions
	p.actions = nil
	p.mu.Unlock()
	for _, act := range actions {
		act()
	}
}

// setWorkers takes a whole new list.
func (p *pool) setWorkers(list []fleetwire.Instance, slots int) {
	p.call(func(now decide.Time) {
		p.slots = slots
		p.ready = readyOf(list)
		entries := make([]decide.Worker, 0, len(list))
		known := make(map[decide.WorkerID]*worker, len(list))
		for _, instance := range list {
			id := p.idOf(instance.ID)
			w := p.workers[id]
			if w == nil {
				w = &worker{}
			}
			w.instance = instance
			known[id] = w
			entries = append(entries, decide.Worker{ID: id, Zone: p.settings.zones[instance.Zone], State: stateOf(instance), Weight: 1})
		}
		for name, id := range p.ids {
			if known[id] == nil {
				delete(p.ids, name)
			}
		}
		p.workers = known
		p.dispatch.Announce(now, decide.ListFull, entries)
	})
}

func stateOf(instance fleetwire.Instance) decide.State {
	if instance.State == fleetwire.InstanceReady {
		return decide.Ready
	}
	return decide.Draining
}

func (p *pool) idOf(name string) decide.WorkerID {
	id, known := p.ids[name]
	if !known {
		p.lastID++
		id = p.lastID
		p.ids[name] = id
	}
	return id
}

// arrive hands a job to the dispatcher.
func (p *pool) arrive(job *Job) (uint32, *placedJob) {
	placed := &placedJob{pushes: make(chan pushOrder, 1), ended: make(chan bool, 1)}
	var id uint32
	p.call(func(now decide.Time) {
		p.lastJob++
		id = p.lastJob
		p.jobs[id] = placed
		in := decide.Job{ID: id, Class: p.classOf(job), GiveUpAt: now + time.Until(job.Deadline).Microseconds(), Slots: 1}
		p.weigh(job, &in)
		if zone, known := p.settings.zones[job.PreferredZone]; known {
			in.Zone = zone + 1
		}
		p.dispatch.Arrive(now, in)
	})
	return id, placed
}

func (p *pool) classOf(job *Job) int {
	key := classKey{
		repeatable: job.Repeatable,
		aim:        time.Duration(job.Route.TargetLatencyMs) * time.Millisecond,
		deadline:   time.Duration(job.Route.TimeoutMs) * time.Millisecond,
		priority:   job.Route.Priority,
	}
	if p.settings.stage == fleetwire.StageDecode {
		key.aim = key.deadline // its prompt is read: what is left is worth doing, late as well
	}
	class, known := p.classes[key]
	if known {
		return class
	}
	if len(p.classes) >= maxClasses {
		return 0
	}
	guess := time.Duration(job.Route.TargetLatencyMs) * time.Millisecond / guessedRun
	class = p.dispatch.AddClass(key.class(), guess.Microseconds())
	p.classes[key] = class
	return class
}

// forget ends a job's part in the books.
func (p *pool) forget(id uint32) {
	p.mu.Lock()
	placed := p.jobs[id]
	delete(p.jobs, id)
	p.mu.Unlock()
	for _, timer := range placed.timers {
		timer.Stop()
	}
}

// target is the worker that an order names, if it is still listed.
func (p *pool) target(id decide.WorkerID) (fleetwire.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if w == nil {
		return fleetwire.Instance{}, false
	}
	return w.instance, true
}

// usable tells whether a worker may still be sent something new.
func (p *pool) usable(id decide.WorkerID) bool {
	instance, listed := p.target(id)
	return listed && instance.State == fleetwire.InstanceReady
}

// outcome tells the dispatcher how an attempt ended.
func (p *pool) outcome(id uint32, order pushOrder, status decide.Status) {
	p.call(func(now decide.Time) {
		p.dispatch.Outcome(now, decide.Outcome{Job: id, Attempt: order.attempt, Worker: order.worker, Status: status,
			Closed: status == decide.Served})
	})
}

// probe asks a worker for its load. Probes of one worker that are asked for while one is under way share its answer.
func (p *pool) probe(id decide.WorkerID) {
	p.mu.Lock()
	w := p.workers[id]
	asked := p.settings.now()
	if w == nil || p.blind {
		p.mu.Unlock()
		p.call(func(now decide.Time) { p.dispatch.ProbeResult(now, id, blindStatus(w), now-asked, decide.Report{}) })
		return
	}
	if asked < w.useUntil {
		load := p.load(w.report, nil)
		p.mu.Unlock()
		p.call(func(now decide.Time) { p.dispatch.ProbeResult(now, id, decide.Served, max(1, now-asked), load) })
		return
	}
	w.probing = append(w.probing, asked)
	first := len(w.probing) == 1
	instance := w.instance
	p.mu.Unlock()
	if first {
		go p.ask(id, w, instance)
	}
}

func blindStatus(w *worker) decide.Status {
	if w == nil {
		return decide.ConnectFailed
	}
	return decide.Served
}

func (p *pool) ask(id decide.WorkerID, w *worker, instance fleetwire.Instance) {
	report, err := p.settings.prober.Probe(context.Background(), instance)
	status := decide.Served
	switch {
	case err == nil:
	case errors.Is(err, ErrNoReport):
	case errors.Is(err, context.DeadlineExceeded):
		status = decide.TimedOut
	default:
		status = decide.ConnectFailed
	}
	p.call(func(now decide.Time) {
		if errors.Is(err, ErrNoReport) {
			p.blind = true
		}
		if err == nil {
			w.report, w.reportAt = report, now
			w.useUntil = now + reportShare.Microseconds()
		}
		probing := w.probing
		w.probing = nil
		for _, asked := range probing {
			p.dispatch.ProbeResult(now, id, status, max(1, now-asked), p.load(report, err))
		}
	})
}

// answered takes in the load that a worker told with an answer. It completes a report of that worker.
func (p *pool) answered(name string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.now()
	w := p.workers[p.ids[name]]
	if w == nil || w.report.Busy || w.reportAt == 0 || now-w.reportAt > reportKept.Microseconds() {
		return
	}
	w.report.Running, w.report.Queued = load.Running, load.Queued
	w.useUntil = now + answerShare.Microseconds()
}

// poolActions carries out the dispatcher's actions. Each is noted while the call runs and done after it.
type poolActions pool

func (a *poolActions) later(act func()) { a.actions = append(a.actions, act) }

func (a *poolActions) Push(job uint32, worker decide.WorkerID, _ decide.Time) {
	if w := a.workers[worker]; w != nil { // a load from before the push serves while the dispatcher counts the push beside it
		w.useUntil = min(w.useUntil, a.settings.now()+reportShare.Microseconds())
	}
	if placed := a.jobs[job]; placed != nil {
		placed.pushes <- pushOrder{attempt: a.attempts(placed), worker: worker}
	}
}

// attempts numbers the pushes of a job.
func (a *poolActions) attempts(placed *placedJob) int {
	placed.pushed++
	return placed.pushed - 1
}

func (a *poolActions) Probe(worker decide.WorkerID) {
	a.later(func() { (*pool)(a).probe(worker) })
}

func (a *poolActions) Cancel(job uint32, _ int) {
	if placed := a.jobs[job]; placed != nil && placed.cancel != nil {
		placed.cancel()
	}
}

func (a *poolActions) Refuse(job uint32, _ decide.Time) { a.end(job, true) }
func (a *poolActions) Fail(job uint32)                  { a.end(job, false) }

func (a *poolActions) end(job uint32, refused bool) {
	if placed := a.jobs[job]; placed != nil {
		placed.ended <- refused
	}
}

func (a *poolActions) Wake(after decide.Time, token uint64) {
	timer := time.AfterFunc(time.Duration(after)*time.Microsecond, func() {
		(*pool)(a).call(func(now decide.Time) { a.dispatch.Wake(now, token) })
	})
	if placed := a.jobs[decide.JobOf(token)]; placed != nil {
		placed.timers = append(placed.timers, timer)
	}
}

func (a *poolActions) Watch(bool)           {}
func (a *poolActions) Reload()              {}
func (a *poolActions) SendPeer(int, []byte) {}
