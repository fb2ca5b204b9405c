package engine

import "weldscale/decide"

// This file owns requests that leave for another process of this scheduler, or come from one, with what they have behind
// them. It must never leave one request in two processes' hands.

// HandoverRequest is a request in hand as another process goes on with it. Times are of the loop's clock, which starts at the wall
// clock's reading.
type HandoverRequest struct {
	Class         int
	Key           uint64
	GiveUpAt      decide.Time
	Came          decide.Time
	Hint          decide.Time
	Slots, Memory float64
	Tried         []HandoverAttempt
}

// HandoverAttempt is one attempt of it.
type HandoverAttempt struct {
	Worker, Addr    string
	Sent, StartedAt decide.Time
	Out, Started    bool
	MayHaveRun      bool
}

// InFlight returns the attempt of the request that is out, or nil.
func (r *Request) InFlight() *Attempt {
	for _, a := range r.attempts {
		if !a.over {
			return a
		}
	}
	return nil
}

// Export returns what another process needs to go on with a request; not where more than one attempt is out.
func (e *Engine) Export(r *Request) (p HandoverRequest, ok bool) {
	j, tried, ok := e.d.OpenJob(r.ID)
	if !ok || !r.open || r.out > 1 || len(tried) != len(r.attempts) {
		return p, false
	}
	p = HandoverRequest{Class: r.Class, Key: j.Key, GiveUpAt: r.GiveUpAt, Came: r.came, Hint: j.Hint, Slots: j.Slots, Memory: j.Memory}
	for i, t := range tried {
		w := r.attempts[i].Worker
		p.Tried = append(p.Tried, HandoverAttempt{w.Name, w.Addr, t.Sent, t.StartedAt, t.Out, t.Started, t.MayHaveRun})
	}
	return p, true
}

// Release ends a request here, without an answer: another process has it.
func (e *Engine) Release(r *Request) {
	if r.open {
		e.Counts.HandedOver++
		e.finish(r, 3)
		e.call(func() { e.d.Hangup(e.Now(), r.ID) })
	}
}

// Adopt goes on with a request of another process, and returns its attempt that is out, if there is one.
func (e *Engine) Adopt(p HandoverRequest, payload any, c Client) (*Request, *Attempt) {
	r := e.take(p.Class, p.GiveUpAt, p.Came, payload, c)
	e.Counts.Adopted++
	var out *Attempt
	tried := make([]decide.AttemptState, len(p.Tried))
	for i, t := range p.Tried {
		w := e.byName[t.Worker]
		if w == nil { // the list has lost it
			e.nextID++
			w = &Worker{ID: e.nextID, Name: t.Worker, Addr: t.Addr, State: decide.Gone}
			e.byName[t.Worker], e.byID[w.ID] = w, w
		}
		tried[i] = decide.AttemptState{Worker: w.ID, Sent: t.Sent, StartedAt: t.StartedAt, Out: t.Out, Started: t.Started, MayHaveRun: t.MayHaveRun}
		a := &Attempt{Request: r, Worker: w, n: i, life: w.life, sentAt: t.Sent, over: !t.Out, ran: t.MayHaveRun, e: e}
		r.attempts = append(r.attempts, a)
		if t.Out {
			out = a
			r.out++
			w.out++
			a.limit(p.GiveUpAt - e.Now())
		}
	}
	if e.Trace != nil {
		e.Trace("adopted", r.ID, "class", p.Class, "left_us", p.GiveUpAt-e.Now(), "attempts", len(tried), "out", out != nil)
	}
	j := decide.Job{ID: r.ID, Class: p.Class, Key: p.Key, GiveUpAt: p.GiveUpAt, Hint: p.Hint, Slots: p.Slots, Memory: p.Memory}
	e.call(func() { e.d.Adopt(e.Now(), j, tried) })
	return r, out
}

// LearnedState is what the decisions have learnt, with workers by their names.
type LearnedState struct {
	decide.Learnt
	Names []string `json:"names"` // of Workers
}

// LearnedState returns what was learnt so far.
func (e *Engine) LearnedState() LearnedState {
	l := LearnedState{Learnt: e.d.Learnt()}
	for _, w := range l.Workers {
		name := ""
		if known := e.byID[w.ID]; known != nil {
			name = known.Name
		}
		l.Names = append(l.Names, name)
	}
	return l
}

// RestoreLearned goes on from what another process has learnt.
func (e *Engine) RestoreLearned(l LearnedState) {
	if len(l.Names) != len(l.Workers) {
		return
	}
	var known []decide.LearntWorker
	for i, w := range l.Workers {
		if here := e.byName[l.Names[i]]; here != nil {
			w.ID = here.ID
			known = append(known, w)
		}
	}
	l.Workers = known
	e.call(func() { e.d.Learn(e.Now(), l.Learnt) })
}
