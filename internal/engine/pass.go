package engine

import "weldscale/decide"

// This file hands open requests over to another process of this scheduler and takes them over from one, with the
// attempts made so far. A request must never belong to two processes at once.

// HandoverRequest is an open request in the form in which another process continues it. Times are those of the loop's
// clock, which starts at the wall clock's reading.
type HandoverRequest struct {
	Class         int
	Key           uint64
	GiveUpAt      decide.Time
	Came          decide.Time
	Hint          decide.Time
	Slots, Memory float64
	Tried         []HandoverAttempt
}

// HandoverAttempt is one attempt of a HandoverRequest.
type HandoverAttempt struct {
	Worker, Addr    string
	Sent, StartedAt decide.Time
	Out, Started    bool
	MayHaveRun      bool
}

// InFlight returns the request's attempt that has not ended, or nil.
func (r *Request) InFlight() *Attempt {
	for _, a := range r.attempts {
		if !a.ended {
			return a
		}
	}
	return nil
}

// Export returns what another process needs to continue a request. It fails if more than one attempt is in flight.
func (e *Engine) Export(r *Request) (h HandoverRequest, ok bool) {
	job, attempts, ok := e.dispatcher.OpenJob(r.ID)
	if !ok || !r.open || r.inFlight > 1 || len(attempts) != len(r.attempts) {
		return h, false
	}
	h = HandoverRequest{Class: r.Class, Key: job.Key, GiveUpAt: r.GiveUpAt, Came: r.arrivedAt, Hint: job.Hint, Slots: job.Slots, Memory: job.Memory}
	for i, state := range attempts {
		w := r.attempts[i].Worker
		h.Tried = append(h.Tried, HandoverAttempt{w.Name, w.Addr, state.Sent, state.StartedAt, state.Out, state.Started, state.MayHaveRun})
	}
	return h, true
}

// Release ends a request here without an answer, since another process has taken it over.
func (e *Engine) Release(r *Request) {
	if r.open {
		e.Counts.HandedOver++
		e.finish(r, 3)
		e.call(func() { e.dispatcher.Hangup(e.Now(), r.ID) })
	}
}

// Adopt continues a request of another process and returns its attempt in flight, or nil.
func (e *Engine) Adopt(h HandoverRequest, payload any, client Client) (*Request, *Attempt) {
	r := e.addRequest(h.Class, h.GiveUpAt, h.Came, payload, client)
	e.Counts.Adopted++
	var inFlight *Attempt
	attempts := make([]decide.AttemptState, len(h.Tried))
	for i, t := range h.Tried {
		w := e.workersByName[t.Worker]
		if w == nil { // no longer in the list
			e.lastWorkerID++
			w = &Worker{ID: e.lastWorkerID, Name: t.Worker, Addr: t.Addr, State: decide.Gone}
			e.workersByName[t.Worker], e.workersByID[w.ID] = w, w
		}
		attempts[i] = decide.AttemptState{Worker: w.ID, Sent: t.Sent, StartedAt: t.StartedAt, Out: t.Out, Started: t.Started, MayHaveRun: t.MayHaveRun}
		attempt := &Attempt{Request: r, Worker: w, index: i, incarnation: w.incarnation, sentAt: t.Sent, ended: !t.Out, mayHaveRun: t.MayHaveRun, engine: e}
		r.attempts = append(r.attempts, attempt)
		if t.Out {
			inFlight = attempt
			r.inFlight++
			w.inFlight++
			attempt.setTimeout(h.GiveUpAt - e.Now())
		}
	}
	if e.Trace != nil {
		e.Trace("adopted", r.ID, "class", h.Class, "left_us", h.GiveUpAt-e.Now(), "attempts", len(attempts), "out", inFlight != nil)
	}
	job := decide.Job{ID: r.ID, Class: h.Class, Key: h.Key, GiveUpAt: h.GiveUpAt, Hint: h.Hint, Slots: h.Slots, Memory: h.Memory}
	e.call(func() { e.dispatcher.Adopt(e.Now(), job, attempts) })
	return r, inFlight
}

// LearnedState is what the dispatcher has learned, with workers identified by name.
type LearnedState struct {
	decide.Learnt
	Names []string `json:"names"` // of Workers, in their order
}

// LearnedState returns what the dispatcher has learned so far.
func (e *Engine) LearnedState() LearnedState {
	l := LearnedState{Learnt: e.dispatcher.Learnt()}
	for _, w := range l.Workers {
		name := ""
		if known := e.workersByID[w.ID]; known != nil {
			name = known.Name
		}
		l.Names = append(l.Names, name)
	}
	return l
}

// RestoreLearned continues from the state that another process has learned. Workers that are not known here are left
// out.
func (e *Engine) RestoreLearned(l LearnedState) {
	if len(l.Names) != len(l.Workers) {
		return
	}
	var known []decide.LearntWorker
	for i, w := range l.Workers {
		if local := e.workersByName[l.Names[i]]; local != nil {
			w.ID = local.ID
			known = append(known, w)
		}
	}
	l.Workers = known
	e.call(func() { e.dispatcher.Learn(e.Now(), l.Learnt) })
}
