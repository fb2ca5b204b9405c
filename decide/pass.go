package decide

import (
	"maps"
	"slices"
)

// This file exports and imports jobs and learned state for a handover to another process. It makes no decisions.

// AttemptState is the state of one attempt of a job.
type AttemptState struct {
	Worker          WorkerID
	Sent, StartedAt Time
	Out, Started    bool
	MayHaveRun      bool
}

// OpenJob returns an unfinished job and its attempts in order. It returns false for an unknown or finished job.
func (d *Dispatcher) OpenJob(id uint32) (Job, []AttemptState, bool) {
	j := d.jobs[id]
	if j == nil || j.closed {
		return Job{}, nil, false
	}
	attempts := make([]AttemptState, len(j.attempts))
	for i, a := range j.attempts {
		attempts[i] = AttemptState{Worker: a.w.ID, Sent: a.sent, StartedAt: a.startedAt, Out: a.inFlight,
			Started: a.started, MayHaveRun: a.mayHaveRun}
	}
	return j.Job, attempts, true
}

// Adopt continues a job of another dispatcher. Its attempts keep their numbers. A worker that is not in the worker list counts
// as removed.
func (d *Dispatcher) Adopt(now Time, in Job, attempts []AttemptState) {
	d.advance(now)
	if d.jobs[in.ID] != nil || in.Class < 0 || in.Class >= len(d.settings.Classes) {
		return
	}
	j := d.newJob(in)
	d.estimate(j)
	d.actions.Wake(max(0, in.GiveUpAt-2*d.settings.Tick-now), wakeGiveUp|uint64(in.ID))
	for n, state := range attempts {
		w := d.workers[state.Worker]
		if w == nil {
			w = &worker{Worker: Worker{ID: state.Worker}, classEjections: make([]classEjection, len(d.settings.Classes))}
			d.workers[state.Worker] = w
		}
		j.attempts = append(j.attempts, attempt{w: w, sent: state.Sent, startedAt: state.StartedAt, inFlight: state.Out,
			started: state.Started, mayHaveRun: state.MayHaveRun})
		if !state.Out {
			d.forgetWorker(w)
			continue
		}
		j.inFlight++
		w.inFlight++
		w.heldSlots += j.Slots
		if !state.Started && d.settings.TellsStart {
			w.claims = append(w.claims, claim{d.now, j.ID, n, j.Slots, j.Memory})
			d.actions.Wake(startTimeout, wakeStartDue|uint64(n)<<32|uint64(j.ID))
		}
	}
	if j.inFlight == 0 {
		d.drawPair(j)
	}
}

// Learnt is what a dispatcher has learned about the fleet since its start. Workers are identified by their IDs; times are of
// the clock that both dispatchers share.
type Learnt struct {
	Runs    []float64       `json:"runs"`    // mean running time of each class, in us
	Run     float64         `json:"run"`     // mean running time of recent jobs, in us
	Share   float64         `json:"share"`   // largest part of a class's deadline that a client was seen to grant
	Bear    [2]float64      `json:"bear"`    // work in us sent per second to a warm worker: of this zone, of another
	Lag     Time            `json:"lag"`     // mean time for which a report stays the same
	Looked  float64         `json:"looked"`  // sum of the probe intervals behind Lag, in us
	Changed float64         `json:"changed"` // number of new reports behind Lag
	Usual   []float64       `json:"usual"`   // median round trip of a probe in us, by zone
	Sizes   map[int]float64 `json:"sizes"`   // mean number of slots of a worker, by kind
	Price   float64         `json:"price"`   // value per slot second from which a job is always admitted to a draw
	Busy    float64         `json:"busy"`    // share of recent draws that found no room
	Workers []LearntWorker  `json:"workers"`
}

// LearntWorker is what a dispatcher has learned about one worker.
type LearntWorker struct {
	ID        WorkerID `json:"-"`
	StartedAt Time     `json:"started_at"` // the rest applies to this process of the worker only
	Size      float64  `json:"size"`       // number of slots
	BadUntil  Time     `json:"bad_until"`  // end of its ejection
	FullUntil Time     `json:"full_until"` // end of the wait after a rejected job or a refused probe
	Level     int      `json:"level"`      // the term of the next ejection grows with it
	Broken    int      `json:"broken"`     // attempts in a row whose connection broke
	Denied    int      `json:"denied"`     // probes refused in a row
	Lost      int      `json:"lost"`       // probes lost in a row
}

// Learnt returns what the dispatcher has learned so far.
func (d *Dispatcher) Learnt() Learnt {
	learnt := Learnt{Runs: slices.Clone(d.meanRunByClass), Run: d.meanRun, Share: d.deadlineShare, Bear: d.warmRate,
		Lag: d.refresh, Looked: d.observedSpan, Changed: d.reportChanges, Usual: slices.Clone(d.medianRTT),
		Sizes: maps.Clone(d.capacityByKind), Price: d.price, Busy: d.noRoomShare}
	for _, w := range d.listed {
		learnt.Workers = append(learnt.Workers, LearntWorker{w.ID, w.StartedAt, w.capacity, w.ejectedUntil, w.fullUntil,
			w.ejectionLevel, w.resets, w.refusedProbes, w.lostProbes})
	}
	return learnt
}

// Learn continues from what another dispatcher with the same settings has learned. State that does not fit the settings is
// ignored.
func (d *Dispatcher) Learn(now Time, learnt Learnt) {
	d.advance(now)
	if len(learnt.Runs) != len(d.meanRunByClass) || len(learnt.Usual) != len(d.medianRTT) ||
		!(learnt.Changed > 0) || !(learnt.Run > 0) || !(learnt.Price > 0) || learnt.Lag <= 0 {
		return
	}
	copy(d.meanRunByClass, learnt.Runs)
	copy(d.medianRTT, learnt.Usual)
	d.meanRun, d.deadlineShare, d.warmRate, d.price, d.noRoomShare =
		learnt.Run, min(max(learnt.Share, 0), 1), learnt.Bear, learnt.Price, min(max(learnt.Busy, 0), 1)
	d.refresh, d.observedSpan, d.reportChanges = min(learnt.Lag, maxRefresh), learnt.Looked, learnt.Changed
	d.warmRateSamples = 1
	for kind, size := range learnt.Sizes {
		d.capacityByKind[kind] = size
	}
	for _, in := range learnt.Workers {
		w := d.workers[in.ID]
		if w == nil || w.StartedAt != in.StartedAt {
			continue
		}
		w.capacity, w.ejectedUntil, w.fullUntil = in.Size, min(in.BadUntil, now+2*ejectMax), min(in.FullUntil, now+2*ejectMax)
		w.ejectionLevel, w.resets, w.refusedProbes, w.lostProbes = in.Level, in.Broken, in.Denied, in.Lost
		w.coldCredit, w.coldCreditAt = 0, now // the other dispatcher uses up its credit
	}
}
