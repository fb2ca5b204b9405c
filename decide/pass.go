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
		tried[i] = AttemptState{Worker: a.w.ID, Sent: a.sent, StartedAt: a.startedAt, Out: a.out, Started: a.started, MayHaveRun: a.mayHaveRun}
	}
	return j.Job, tried, true
}

// Adopt goes on with a job that another dispatcher held. Its attempts keep their numbers; a worker that the list does not
// name is one that is gone.
func (d *Dispatcher) Adopt(now Time, in Job, tried []AttemptState) {
	d.tick(now)
	if d.jobs[in.ID] != nil || in.Class < 0 || in.Class >= len(d.s.Classes) {
		return
	}
	j := d.newJob(in)
	d.appraise(j)
	d.act.Wake(max(0, in.GiveUpAt-2*d.s.Tick-now), wakeGiveUp|uint64(in.ID))
	for n, t := range tried {
		w := d.workers[t.Worker]
		if w == nil {
			w = &worker{Worker: Worker{ID: t.Worker}, shuns: make([]shunned, len(d.s.Classes))}
			d.workers[t.Worker] = w
		}
		j.attempts = append(j.attempts, attempt{w: w, sent: t.Sent, startedAt: t.StartedAt, out: t.Out, started: t.Started, mayHaveRun: t.MayHaveRun})
		if !t.Out {
			d.drop(w)
			continue
		}
		j.out++
		w.out++
		w.held += j.Slots
		if !t.Started && d.s.TellsStart {
			w.recent = append(w.recent, claim{d.now, j.ID, n, j.Slots, j.Memory})
			d.act.Wake(startSoon, wakeStart|uint64(n)<<32|uint64(j.ID))
		}
	}
	if j.out == 0 {
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
	l := Learnt{Runs: slices.Clone(d.runs), Run: d.run, Share: d.share, Bear: d.bear, Lag: d.lag, Looked: d.looked, Changed: d.changed,
		Usual: slices.Clone(d.usual), Sizes: maps.Clone(d.sizes), Price: d.price, Busy: d.busy}
	for _, w := range d.listed {
		l.Workers = append(l.Workers, LearntWorker{w.ID, w.StartedAt, w.size, w.badUntil, w.fullUntil, w.level, w.broken, w.denied, w.lost})
	}
	return l
}

// Learn goes on from what another dispatcher with the same settings has learnt; what does not fit these is passed over.
func (d *Dispatcher) Learn(now Time, l Learnt) {
	d.tick(now)
	if len(l.Runs) != len(d.runs) || len(l.Usual) != len(d.usual) || !(l.Changed > 0) || !(l.Run > 0) || !(l.Price > 0) || l.Lag <= 0 {
		return
	}
	copy(d.runs, l.Runs)
	copy(d.usual, l.Usual)
	d.run, d.share, d.bear, d.price, d.busy = l.Run, min(max(l.Share, 0), 1), l.Bear, l.Price, min(max(l.Busy, 0), 1)
	d.lag, d.looked, d.changed = min(l.Lag, lagMost), l.Looked, l.Changed
	d.measured = 1
	for kind, size := range l.Sizes {
		d.sizes[kind] = size
	}
	for _, in := range l.Workers {
		w := d.workers[in.ID]
		if w == nil || w.StartedAt != in.StartedAt {
			continue
		}
		w.size, w.badUntil, w.fullUntil = in.Size, min(in.BadUntil, now+2*ejectMax), min(in.FullUntil, now+2*ejectMax)
		w.level, w.broken, w.denied, w.lost = in.Level, in.Broken, in.Denied, in.Lost
		w.credit, w.creditAt = 0, now // the other dispatcher spends what it has saved up
	}
}
