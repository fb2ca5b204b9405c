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
	// probeReuse is how long the report of a probe is reused for later choices. Workers report their load as it was some 100 ms
	// ago, so a new probe within this time tells little more, and the dispatcher adds this router's own pushes to the report.
	probeReuse = 100 * time.Millisecond
	// answerLoadReuse is how long the load that came with an answer is reused. It may be longer than probeReuse, since this load
	// was current when the answer was sent, not some 100 ms old, and took no probe.
	answerLoadReuse = 350 * time.Millisecond
	// maxReportAge is how long the loads of answers may update a report. They don't include memory, so an older report must be
	// requested again.
	maxReportAge      = time.Second
	maxPushes         = 8                     // limit for one stage of a request, including pushes rejected without a run
	probeLatencyNoise = 30 * time.Millisecond // delay that a router on a shared core may itself add to a probe
)

// pool chooses workers for the jobs of one service and stage. It drives a dispatcher: it serializes the calls, provides the
// clock and the timers, and carries out the dispatcher's actions.
type pool struct {
	settings           poolSettings
	mu                 sync.Mutex // guards the dispatcher and all fields below
	dispatcher         *decide.Dispatcher
	actions            []func() // to be carried out after the current call of the dispatcher
	jobs               map[uint32]*activeJob
	lastJobID          uint32
	workerIDs          map[string]decide.WorkerID
	workers            map[decide.WorkerID]*worker
	lastWorkerID       decide.WorkerID
	readyWorkers       []fleetwire.Instance // replaced as a whole, never modified
	classes            map[classKey]int
	slotsPerWorker     int     // as configured, or as the first worker states them
	meanPromptUnits    float64 // moving mean of the units that a prompt takes
	reportsUnsupported bool    // a worker without a stage answered a probe without a report; none is probed any more
}

// poolSettings are the fixed settings of a pool.
type poolSettings struct {
	stage       string
	zoneNumbers map[string]int // numbers by zone name
	ownZone     int            // number of this router's zone
	prober      Prober
	now         func() decide.Time
}

// worker holds a listed worker and its last load report.
type worker struct {
	instance      fleetwire.Instance
	report        Report
	reportAt      decide.Time
	reusableUntil decide.Time   // until then, the report is reused instead of a new probe
	pendingProbes []decide.Time // times of the probe requests that wait for the probe in flight
}

// activeJob connects the dispatcher's actions for a job to the call of Place that runs it.
type activeJob struct {
	pushes    chan pushCommand
	finished  chan bool // true: refused, false: failed
	timers    []*time.Timer
	cancel    context.CancelFunc // cancels the current push; nil between pushes
	pushCount int                // pushes requested so far
}

// pushCommand is the dispatcher's decision to push a job to a worker.
type pushCommand struct {
	attempt int
	worker  decide.WorkerID
}

// newPool returns a pool without workers.
func newPool(settings poolSettings) (*pool, error) {
	pool := &pool{settings: settings, jobs: map[uint32]*activeJob{}, workerIDs: map[string]decide.WorkerID{},
		workers: map[decide.WorkerID]*worker{}, classes: map[classKey]int{}, meanPromptUnits: initialPromptUnits}
	defaultClass := classKey{targetLatency: time.Second, deadline: time.Second}
	dispatcher, err := decide.New(decide.Settings{
		Nodes:            AssumedRouters,
		Zone:             settings.ownZone,
		Zones:            len(settings.zoneNumbers),
		Classes:          []decide.Class{defaultClass.class()},
		CanProbe:         true,
		Unpriced:         true, // workers don't report the start of a job, and without starts the price of slots would never fall again
		RTTNoise:         probeLatencyNoise.Microseconds(),
		CanCancel:        true,
		MaxAttempts:      maxPushes,
		MaxRetryAfter:    int64(time.Second / time.Microsecond),
		ColdFrom:         1,
		OverloadMultiple: 1,
		OverloadSpan:     int64(time.Second / time.Microsecond),
		Tick:             int64(time.Millisecond / time.Microsecond),
	}, rand.Uint64(), (*poolActions)(pool))
	if err != nil {
		return nil, err
	}
	pool.dispatcher = dispatcher
	pool.classes[defaultClass] = 0
	return pool, nil
}

// withDispatcher runs a call of the dispatcher under the lock, and then carries out the requested actions without the lock.
func (p *pool) withDispatcher(f func(now decide.Time)) {
	p.mu.Lock()
	f(p.settings.now())
	actions := p.actions
	p.actions = nil
	p.mu.Unlock()
	for _, act := range actions {
		act()
	}
}

// setWorkers replaces the list of workers.
func (p *pool) setWorkers(list []fleetwire.Instance, slots int) {
	p.withDispatcher(func(now decide.Time) {
		p.slotsPerWorker = slots
		p.readyWorkers = readyInstances(list)
		entries := make([]decide.Worker, 0, len(list))
		listed := make(map[decide.WorkerID]*worker, len(list))
		for _, instance := range list {
			id := p.workerID(instance.ID)
			w := p.workers[id]
			if w == nil {
				w = &worker{}
			}
			w.instance = instance
			listed[id] = w
			entries = append(entries, decide.Worker{ID: id, Zone: p.settings.zoneNumbers[instance.Zone], State: dispatchState(instance), Weight: 1})
		}
		for name, id := range p.workerIDs {
			if listed[id] == nil {
				delete(p.workerIDs, name)
			}
		}
		p.workers = listed
		p.dispatcher.Announce(now, decide.ListFull, entries)
	})
}

// dispatchState maps the state of an instance to the dispatcher's state. Any state but ready counts as draining.
func dispatchState(instance fleetwire.Instance) decide.State {
	if instance.State == fleetwire.InstanceReady {
		return decide.Ready
	}
	return decide.Draining
}

// workerID returns the dispatcher's ID of an instance, and assigns one on first use. The caller holds the lock.
func (p *pool) workerID(name string) decide.WorkerID {
	id, known := p.workerIDs[name]
	if !known {
		p.lastWorkerID++
		id = p.lastWorkerID
		p.workerIDs[name] = id
	}
	return id
}

// submit passes a job to the dispatcher and returns its ID there.
func (p *pool) submit(job *Job) (uint32, *activeJob) {
	active := &activeJob{pushes: make(chan pushCommand, 1), finished: make(chan bool, 1)}
	var id uint32
	p.withDispatcher(func(now decide.Time) {
		p.lastJobID++
		id = p.lastJobID
		p.jobs[id] = active
		in := decide.Job{ID: id, Class: p.classFor(job), GiveUpAt: now + time.Until(job.Deadline).Microseconds(), Slots: 1}
		p.setDemand(job, &in)
		if zone, known := p.settings.zoneNumbers[job.PreferredZone]; known {
			in.Zone = zone + 1
		}
		p.dispatcher.Arrive(now, in)
	})
	return id, active
}

// removeJob forgets a job and stops its timers.
func (p *pool) removeJob(id uint32) {
	p.mu.Lock()
	active := p.jobs[id]
	delete(p.jobs, id)
	p.mu.Unlock()
	for _, timer := range active.timers {
		timer.Stop()
	}
}

// instance returns the worker with the given ID, if it is still listed.
func (p *pool) instance(id decide.WorkerID) (fleetwire.Instance, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.workers[id]
	if w == nil {
		return fleetwire.Instance{}, false
	}
	return w.instance, true
}

// usable reports whether a worker still accepts new jobs.
func (p *pool) usable(id decide.WorkerID) bool {
	instance, listed := p.instance(id)
	return listed && instance.State == fleetwire.InstanceReady
}

// reportOutcome reports the end of an attempt to the dispatcher.
func (p *pool) reportOutcome(id uint32, command pushCommand, status decide.Status) {
	p.withDispatcher(func(now decide.Time) {
		p.dispatcher.Outcome(now, decide.Outcome{Job: id, Attempt: command.attempt, Worker: command.worker, Status: status,
			Closed: status == decide.Served})
	})
}

// probe gets the load of a worker for the dispatcher. It reuses a recent report, and probes of a worker at the same time share
// one request.
func (p *pool) probe(id decide.WorkerID) {
	p.mu.Lock()
	w := p.workers[id]
	requestedAt := p.settings.now()
	if w == nil || p.reportsUnsupported {
		p.mu.Unlock()
		p.withDispatcher(func(now decide.Time) {
			p.dispatcher.ProbeResult(now, id, statusWithoutReport(w), now-requestedAt, decide.Report{})
		})
		return
	}
	if requestedAt < w.reusableUntil {
		load := p.dispatchReport(w.report, nil)
		p.mu.Unlock()
		p.withDispatcher(func(now decide.Time) { p.dispatcher.ProbeResult(now, id, decide.Served, max(1, now-requestedAt), load) })
		return
	}
	w.pendingProbes = append(w.pendingProbes, requestedAt)
	sendNow := len(w.pendingProbes) == 1
	instance := w.instance
	p.mu.Unlock()
	if sendNow {
		go p.sendProbe(id, w, instance)
	}
}

// statusWithoutReport returns the result of a probe that is not sent: a failed connection if the worker is no longer listed.
func statusWithoutReport(w *worker) decide.Status {
	if w == nil {
		return decide.ConnectFailed
	}
	return decide.Served
}

// sendProbe probes a worker and reports the result for all pending probes of it.
func (p *pool) sendProbe(id decide.WorkerID, w *worker, instance fleetwire.Instance) {
	report, err := p.settings.prober.Probe(context.Background(), instance)
	// All workers of a stage have reports. One that answers otherwise says nothing about the others.
	noReports := errors.Is(err, ErrNoReport) && p.settings.stage == ""
	status := decide.Served
	switch {
	case err == nil:
	case noReports:
	case errors.Is(err, context.DeadlineExceeded):
		status = decide.TimedOut
	default:
		status = decide.ConnectFailed
	}
	p.withDispatcher(func(now decide.Time) {
		if noReports {
			p.reportsUnsupported = true
		}
		if err == nil {
			w.report, w.reportAt = report, now
			w.reusableUntil = now + probeReuse.Microseconds()
		}
		pending := w.pendingProbes
		w.pendingProbes = nil
		for _, requestedAt := range pending {
			p.dispatcher.ProbeResult(now, id, status, max(1, now-requestedAt), p.dispatchReport(report, err))
		}
	})
}

// observeLoad updates a worker's last report with the load that came with an answer. It does nothing if there is no recent
// report.
func (p *pool) observeLoad(name string, load Load) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.settings.now()
	w := p.workers[p.workerIDs[name]]
	if w == nil || w.report.Busy || w.reportAt == 0 || now-w.reportAt > maxReportAge.Microseconds() {
		return
	}
	w.report.Running, w.report.Queued = load.Running, load.Queued
	w.reusableUntil = now + answerLoadReuse.Microseconds()
}

// poolActions implements decide.Actions. The dispatcher calls it under the pool's lock, so actions that need the lock run
// later.
type poolActions pool

// afterCall queues an action until the current call of the dispatcher has returned.
func (a *poolActions) afterCall(act func()) { a.actions = append(a.actions, act) }

func (a *poolActions) Push(job uint32, worker decide.WorkerID, _ decide.Time) {
	// A load from before the push may be reused only as long as the dispatcher adds the push to it.
	if w := a.workers[worker]; w != nil {
		w.reusableUntil = min(w.reusableUntil, a.settings.now()+probeReuse.Microseconds())
	}
	if active := a.jobs[job]; active != nil {
		active.pushes <- pushCommand{attempt: a.nextAttempt(active), worker: worker}
	}
}

// nextAttempt returns the number of a job's next push, from 0.
func (a *poolActions) nextAttempt(active *activeJob) int {
	active.pushCount++
	return active.pushCount - 1
}

func (a *poolActions) Probe(worker decide.WorkerID) {
	a.afterCall(func() { (*pool)(a).probe(worker) })
}

func (a *poolActions) Cancel(job uint32, _ int) {
	if active := a.jobs[job]; active != nil && active.cancel != nil {
		active.cancel()
	}
}

func (a *poolActions) Refuse(job uint32, _ decide.Time) { a.finishJob(job, true) }
func (a *poolActions) Fail(job uint32)                  { a.finishJob(job, false) }

// finishJob ends the job's call of Place.
func (a *poolActions) finishJob(job uint32, refused bool) {
	if active := a.jobs[job]; active != nil {
		active.finished <- refused
	}
}

func (a *poolActions) Wake(after decide.Time, token uint64) {
	timer := time.AfterFunc(time.Duration(after)*time.Microsecond, func() {
		(*pool)(a).withDispatcher(func(now decide.Time) { a.dispatcher.Wake(now, token) })
	})
	if active := a.jobs[decide.JobOf(token)]; active != nil {
		active.timers = append(active.timers, timer)
	}
}

func (a *poolActions) Watch(bool)           {}
func (a *poolActions) Reload()              {}
func (a *poolActions) SendPeer(int, []byte) {}
