package decide

import (
	"maps"
	"slices"
)

// What a job in hand has behind it, for a dispatcher that goes on with it in another process. Nothing is decided here.

// AttemptState is one attempt of a job.
type AttemptState struct {
	Worker          WorkerID
	Sent, StartedAt Time
	Out, Started    bool
	MayHaveRun      bool
}

// OpenJob returns a job in hand and its attempts, in order.
func (d *Dispatcher) OpenJob(id uint32) (Job, []AttemptState, bool) {
	j := d.jobs[id]
	if j == nil || j.closed {
		return Job{}, nil, false
	}
	tried := make([]AttemptState, len(j.attempts))
	for i, a := range j.attempts {
		tried[i] = AttemptState{Worker: a.w.ID, Sent: a.sent, StartedAt: a.startedAt, Out: a.inFlight, Started: a.started, MayHaveRun: a.mayHaveRun}
	}
	return j.Job, tried, true
}

// Adopt goes on with a job that another dispatcher held. Its attempts keep their numbers; a worker that the list does not
// name is one that is gone.
func (d *Dispatcher) Adopt(now Time, in Job, tried []AttemptState) {
	d.advance(now)
	if d.jobs[in.ID] != nil || in.Class < 0 || in.Class >= len(d.settings.Classes) {
		return
	}
	j := d.newJob(in)
	d.estimate(j)
	d.actions.Wake(max(0, in.GiveUpAt-2*d.settings.Tick-now), wakeGiveUp|uint64(in.ID))
	for n, t := range tried {
		w := d.workers[t.Worker]
		if w == nil {
			w = &worker{Worker: Worker{ID: t.Worker}, classEjections: make([]classEjection, len(d.settings.Classes))}
			d.workers[t.Worker] = w
		}
		j.attempts = append(j.attempts, attempt{w: w, sent: t.Sent, startedAt: t.StartedAt, inFlight: t.Out, started: t.Started, mayHaveRun: t.MayHaveRun})
		if !t.Out {
			d.forgetWorker(w)
			continue
		}
		j.inFlight++
		w.inFlight++
		w.heldSlots += j.Slots
		if !t.Started && d.settings.TellsStart {
			w.claims = append(w.claims, claim{d.now, j.ID, n, j.Slots, j.Memory})
			d.actions.Wake(startTimeout, wakeStartDue|uint64(n)<<32|uint64(j.ID))
		}
	}
	if j.inFlight == 0 {
		d.drawPair(j)
	}
}

// Learnt is what a dispatcher has learnt of the fleet since its start. Workers go by their IDs; moments are of the clock
// that both dispatchers share.
type Learnt struct {
	Runs    []float64       `json:"runs"` // mean run of each class, in us
	Run     float64         `json:"run"`
	Share   float64         `json:"share"`
	Bear    [2]float64      `json:"bear"`
	Lag     Time            `json:"lag"`
	Looked  float64         `json:"looked"`
	Changed float64         `json:"changed"`
	Usual   []float64       `json:"usual"` // median time of a probe, by zone
	Sizes   map[int]float64 `json:"sizes"` // slots of a worker, by kind
	Price   float64         `json:"price"`
	Busy    float64         `json:"busy"`
	Workers []LearntWorker  `json:"workers"`
}

// LearntWorker is what it has learnt of one worker.
type LearntWorker struct {
	ID        WorkerID `json:"-"`
	StartedAt Time     `json:"started_at"` // of another process of the worker nothing is known
	Size      float64  `json:"size"`
	BadUntil  Time     `json:"bad_until"`
	FullUntil Time     `json:"full_until"`
	Level     int      `json:"level"`
	Broken    int      `json:"broken"`
	Denied    int      `json:"denied"`
	Lost      int      `json:"lost"`
}

// Learnt returns what was learnt so far.
func (d *Dispatcher) Learnt() Learnt {
	l := Learnt{Runs: slices.Clone(d.meanRunByClass), Run: d.meanRun, Share: d.deadlineShare, Bear: d.warmRate, Lag: d.refresh, Looked: d.observedSpan, Changed: d.reportChanges,
		Usual: slices.Clone(d.medianRTT), Sizes: maps.Clone(d.capacityByKind), Price: d.price, Busy: d.noRoomShare}
	for _, w := range d.listed {
		l.Workers = append(l.Workers, LearntWorker{w.ID, w.StartedAt, w.capacity, w.ejectedUntil, w.fullUntil, w.ejectionLevel, w.resets, w.refusedProbes, w.lostProbes})
	}
	return l
}

// Learn goes on from what another dispatcher with the same settings has learnt; what does not fit these is passed over.
func (d *Dispatcher) Learn(now Time, l Learnt) {
	d.advance(now)
	if len(l.Runs) != len(d.meanRunByClass) || len(l.Usual) != len(d.medianRTT) || !(l.Changed > 0) || !(l.Run > 0) || !(l.Price > 0) || l.Lag <= 0 {
		return
	}
	copy(d.meanRunByClass, l.Runs)
	copy(d.medianRTT, l.Usual)
	d.meanRun, d.deadlineShare, d.warmRate, d.price, d.noRoomShare = l.Run, min(max(l.Share, 0), 1), l.Bear, l.Price, min(max(l.Busy, 0), 1)
	d.refresh, d.observedSpan, d.reportChanges = min(l.Lag, maxRefresh), l.Looked, l.Changed
	d.warmRateSamples = 1
	for kind, size := range l.Sizes {
		d.capacityByKind[kind] = size
	}
	for _, in := range l.Workers {
		w := d.workers[in.ID]
		if w == nil || w.StartedAt != in.StartedAt {
			continue
		}
		w.capacity, w.ejectedUntil, w.fullUntil = in.Size, min(in.BadUntil, now+2*ejectMax), min(in.FullUntil, now+2*ejectMax)
		w.ejectionLevel, w.resets, w.refusedProbes, w.lostProbes = in.Level, in.Broken, in.Denied, in.Lost
		w.coldCredit, w.coldCreditAt = 0, now // the other dispatcher spends what it has saved up
	}
}
