package decide

// What a job in hand has behind it, for a dispatcher that goes on with it in another process. Nothing is decided here.

// Tried is one attempt of a job.
type Tried struct {
	Worker          WorkerID
	Sent, StartedAt Time
	Out, Started    bool
	MayHaveRun      bool
}

// Held returns a job in hand and its attempts, in order.
func (d *Dispatcher) Held(id uint32) (Job, []Tried, bool) {
	j := d.jobs[id]
	if j == nil || j.closed {
		return Job{}, nil, false
	}
	tried := make([]Tried, len(j.attempts))
	for i, a := range j.attempts {
		tried[i] = Tried{Worker: a.w.ID, Sent: a.sent, StartedAt: a.startedAt, Out: a.out, Started: a.started, MayHaveRun: a.mayHaveRun}
	}
	return j.Job, tried, true
}

// Adopt goes on with a job that another dispatcher held. Its attempts keep their numbers; a worker that the list does not
// name is one that is gone.
func (d *Dispatcher) Adopt(now Time, in Job, tried []Tried) {
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
