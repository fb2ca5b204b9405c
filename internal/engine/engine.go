// Package engine runs the decisions for one scheduler. It owns the Dispatcher, every open request and its
// attempts, the names and addresses of the workers, and the counters. It sees to it that a request gets
// exactly one final answer, that an attempt is sent only while it still may be, and that a shutdown loses
// nothing. It must never know a protocol, touch a socket or decide where a job goes: clients, workers and
// the worker list come through the small interfaces below, and all of it runs on the one Loop.
package engine

import (
	"cmp"
	"encoding/binary"
	"log/slog"
	"maps"
	"slices"
	"time"

	"weldscale/decide"
)

// Client is where one request came from. Exactly one of its methods is called, once, unless the client
// has gone away first.
type Client interface {
	// Served answers with the result that a worker gave.
	Served(result []byte)
	// Refused answers that nothing was done and trying again is harmless, after the wait if there is one.
	Refused(retryAfter time.Duration)
	// Failed answers without a promise.
	Failed()
	// Gone reports whether the client has gone away, told or not.
	Gone() bool
}

// Workers sends to workers. It reports back by the methods of Attempt and Probe, at once or later.
type Workers interface {
	// Push sends a.Request to a.Worker. Just before the first byte it asks a.Sendable.
	Push(a *Attempt)
	// Cancel abandons an attempt: once it returns, nothing of it is out on an open connection.
	Cancel(a *Attempt)
	// Withdraw abandons an attempt whose last byte has surely not left, and reports whether it was such.
	Withdraw(a *Attempt) bool
	// Probe asks p.Worker for its load.
	Probe(p *Probe)
}

// Meter observes spans, in microseconds.
type Meter interface {
	// Wait is from a request's arrival to its first attempt.
	Wait(class int, t decide.Time)
	Probe(s decide.Status, t decide.Time)
	Attempt(class int, s decide.Status, t decide.Time)
	// Answer is from a request's arrival to its final answer: 0 served, 1 refused, 2 failed, 3 none, since the client left.
	Answer(class, outcome int, t decide.Time)
}

// Directory asks for the worker list. It reports by Engine.Announce.
type Directory interface {
	Watch(on bool)
	Reload()
}

// Overlay stands between the list and the engine.
type Overlay interface {
	// Apply returns the entries as the engine is to see them.
	Apply(kind decide.ListKind, entries []Entry) []Entry
}

// Worker is one worker as the list names it. Its address may change; its name and ID do not.
type Worker struct {
	ID       decide.WorkerID
	Name     string
	Addr     string
	State    decide.State
	inFlight int // attempts and probes not yet ended

	startedAt   decide.Time
	incarnation int // grows as its address or its start changes: another process goes by the name
}

// Entry is a worker in news of the list.
type Entry struct {
	Name, Addr, Zone, Kind string
	Cell                   int
	State                  decide.State
	Weight                 float64
	StartedAt              decide.Time // 0: long ago
}

// Request is one request of a client, from its arrival to its final answer.
type Request struct {
	ID        uint32
	Class     int
	GiveUpAt  decide.Time
	Payload   any // what the client's protocol hands to the workers'
	client    Client
	arrivedAt decide.Time
	attempts  []*Attempt
	inFlight  int // attempts not yet ended
	open      bool
}

// Attempt is one push of a request to a worker.
type Attempt struct {
	Request      *Request
	Worker       *Worker
	State        any // for Workers
	index        int
	incarnation  int // of the worker, as it was chosen
	sentAt       decide.Time
	sendDeadline decide.Time // 0: whenever the client still waits
	ended        bool
	mayHaveRun   bool // it may have
	engine       *Engine
	timer        *Timer
}

// keyMargin is what a request may need from its first byte here to being looked up by its key at the worker.
const keyLookupMargin = decide.Time(50 * time.Millisecond / time.Microsecond)

// Probe is one question for a worker's load.
type Probe struct {
	Worker  *Worker
	request uint32 // the request that it is for; 0: none
	sentAt  decide.Time
	ended   bool
	engine  *Engine
}

// Engine is one scheduler.
type Engine struct {
	*Loop
	Counts Counts
	// MayRetry, if set, is asked before a second try is sent; where it says no, the try ends unsent.
	MayRetry func(class int) bool
	// Meter, if set, observes what requests go through.
	Meter Meter
	// Seen, if set, is told how each attempt (job) and each probe ended, by the worker's name.
	OnOutcome func(worker string, job bool, s decide.Status)
	// Trace, if set, is told what becomes of each request, by its number.
	Trace func(event string, request uint32, args ...any)
	// Overlay, if set, changes what news of the list means before anyone acts on it.
	Overlay Overlay
	// Used, if set, is told how long the loop was at work for this engine.
	OnBusy func(span time.Duration)

	dispatcher    *decide.Dispatcher
	classes       []decide.Class
	workers       Workers
	directory     Directory
	zones         map[string]int
	kinds         map[string]int
	workersByName map[string]*Worker
	workersByID   map[decide.WorkerID]*Worker
	lastWorkerID  decide.WorkerID
	requests      map[uint32]*Request // open, or with an attempt out
	openRequests  int
	lastRequestID uint32
	tracedRequest uint32   // the request that the module is at, as far as the call tells; for the trace
	pending       []func() // actions the module has asked for and that are not carried out yet
	dispatching   bool
	everReady     bool // a list has named a worker that takes jobs
}

// Config is what New needs besides the settings of the decisions.
type Config struct {
	Settings     decide.Settings
	Seed         uint64
	Zones, Kinds []string // in the order of the settings
}

// New returns an engine that knows no worker yet. Use sets the ways out.
func New(loop *Loop, c Config) (*Engine, error) {
	e := &Engine{Loop: loop, classes: c.Settings.Classes, zones: indexByName(c.Zones), kinds: indexByName(c.Kinds), workersByName: map[string]*Worker{},
		workersByID: map[decide.WorkerID]*Worker{}, requests: map[uint32]*Request{}}
	for i := range e.Counts.Ended {
		e.Counts.Ended[i] = make([]int, len(e.classes))
	}
	if loop.maxLag == nil { // the first engine shows it for all
		loop.maxLag = &e.Counts.Lag
	}
	var err error
	e.dispatcher, err = decide.New(c.Settings, c.Seed, actions{e})
	return e, err
}

func indexByName(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// SetBackends sets the ways to the workers and to the worker list.
func (e *Engine) SetBackends(w Workers, d Directory) { e.workers, e.directory = w, d }

// OpenRequests returns how many requests wait for their final answer.
func (e *Engine) OpenRequests() int { return e.openRequests }

// LongestDeadline is the longest that a client of any class waits.
func (e *Engine) LongestDeadline() (longest decide.Time) {
	for _, c := range e.classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// GiveUpAll has every open request given its last answer now: there is no time left.
func (e *Engine) GiveUpAll() {
	for _, r := range slices.SortedFunc(maps.Values(e.requests), func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) }) {
		if r.open {
			e.call(func() { e.dispatcher.GiveUp(e.Now(), r.ID) })
		}
	}
}

// Class is what is known of a class, by its number.
func (e *Engine) Class(i int) decide.Class { return e.classes[i] }

// Ready reports whether there has been a worker to serve with: the front may send clients from then on.
func (e *Engine) Ready() bool { return e.everReady }

// Submit takes a request of a client. The job's ID is set here.
func (e *Engine) Submit(job decide.Job, payload any, client Client) *Request {
	r := e.addRequest(job.Class, job.GiveUpAt, e.Now(), payload, client)
	job.ID = r.ID
	if e.Trace != nil {
		e.Trace("arrival", r.ID, "class", job.Class, "left_us", job.GiveUpAt-e.Now(), "work_us", job.Hint, "slots", job.Slots)
	}
	e.callForRequest(r.ID, func() { e.dispatcher.Arrive(e.Now(), job) })
	return r
}

// take enters a request under an ID of its own.
func (e *Engine) addRequest(class int, giveUpAt, arrivedAt decide.Time, payload any, client Client) *Request {
	for e.lastRequestID++; e.lastRequestID == 0 || e.requests[e.lastRequestID] != nil; e.lastRequestID++ {
	}
	r := &Request{ID: e.lastRequestID, Class: class, GiveUpAt: giveUpAt, Payload: payload, client: client, arrivedAt: arrivedAt, open: true}
	e.requests[r.ID] = r
	e.openRequests++
	e.Counts.Accepted++
	return r
}

// Hangup takes in that the client has gone away.
func (e *Engine) Hangup(r *Request) {
	if r.open {
		e.Counts.Hangups++
		e.finish(r, 3)
		e.call(func() { e.dispatcher.Hangup(e.Now(), r.ID) })
	}
}

// finish ends a request. Its attempts still report to the module, but no second answer can follow.
func (e *Engine) finish(r *Request, outcome int) {
	if e.Meter != nil {
		e.Meter.Answer(r.Class, outcome, e.Now()-r.arrivedAt)
	}
	if outcome < len(e.Counts.Ended) {
		e.Counts.Ended[outcome][r.Class]++
	}
	r.open = false
	e.openRequests--
	for _, a := range r.attempts { // nobody waits for it: what has not gone out stays here
		if !a.ended && e.workers.Withdraw(a) {
			a.End(decide.Moot, nil, decide.Report{})
		}
	}
	e.forgetIfDone(r)
}

func (e *Engine) forgetIfDone(r *Request) {
	if !r.open && r.inFlight == 0 {
		delete(e.requests, r.ID)
	}
}

// Announce takes in news of the worker list.
func (e *Engine) Announce(kind decide.ListKind, entries []Entry) {
	if e.Overlay != nil && kind != decide.ListFailed {
		entries = e.Overlay.Apply(kind, entries)
	}
	if kind == decide.ListFailed {
		e.Counts.ListFailed++
	} else {
		e.Counts.ListUpdates++
	}
	list := e.applyEntries(kind, entries)
	e.call(func() { e.dispatcher.Announce(e.Now(), kind, list) })
	e.forgetGoneWorkers()
}

// OverlayChanged takes in entries that the overlay sees otherwise from now on. Discovery has not spoken: whether the watch
// stands is not touched.
func (e *Engine) OverlayChanged(entries []Entry) {
	e.applyNews(decide.ListDelta, entries)
}

// Told takes in news of the list that another process of this scheduler has heard: the overlay goes over it, and whether
// our own watch stands is not touched.
func (e *Engine) AnnounceRelayed(kind decide.ListKind, entries []Entry) {
	if e.Overlay != nil {
		entries = e.Overlay.Apply(kind, entries)
	}
	e.Counts.ListUpdates++
	e.applyNews(kind, entries)
}

func (e *Engine) applyNews(kind decide.ListKind, entries []Entry) {
	list := e.applyEntries(kind, entries)
	e.call(func() { e.dispatcher.TakeNews(e.Now(), kind, list) })
	e.forgetGoneWorkers()
}

// AddPeerEvidence tells the module that peers have fared badly at a worker. One that our own list has not named is passed over.
func (e *Engine) AddPeerEvidence(worker string) {
	w := e.workersByName[worker]
	if w == nil || w.State != decide.Ready {
		return
	}
	e.call(func() {
		for peer := range maxPeerReports {
			e.dispatcher.Told(e.Now(), peer, binary.BigEndian.AppendUint64(nil, uint64(w.ID)))
		}
	})
}

// believed is how many peers' complaints the module believes; the caller of AddPeerEvidence has weighed those of more.
const maxPeerReports = 2

// ReadyWorkers is how many workers take jobs by the list.
func (e *Engine) ReadyWorkers() (n int) {
	e.EachReadyAddr(func(string) { n++ })
	return n
}

// Avoided is how many workers that would take jobs the module leaves alone just now, whatever the job.
func (e *Engine) Avoided() int { return e.dispatcher.Avoided(e.Now()) }

func (e *Engine) applyEntries(kind decide.ListKind, entries []Entry) []decide.Worker {
	list := make([]decide.Worker, 0, len(entries))
	if kind == decide.ListFull || kind == decide.ListCached {
		for _, w := range e.workersByName {
			w.State = decide.Gone // unless it is named below
		}
	}
	for _, in := range entries {
		w := e.workersByName[in.Name]
		if w == nil {
			e.lastWorkerID++
			w = &Worker{ID: e.lastWorkerID, Name: in.Name}
			e.workersByName[in.Name], e.workersByID[w.ID] = w, w
		}
		if in.Addr != "" && in.Addr != w.Addr || in.StartedAt != w.startedAt {
			w.incarnation++
		}
		if in.Addr != "" {
			w.Addr = in.Addr
		}
		w.State, w.startedAt = in.State, in.StartedAt
		e.everReady = e.everReady || w.State == decide.Ready
		list = append(list, decide.Worker{ID: w.ID, Zone: indexOf(e.zones, in.Zone), Kind: indexOf(e.kinds, in.Kind),
			Cell: in.Cell, State: in.State, Weight: in.Weight, StartedAt: in.StartedAt})
	}
	return list
}

func (e *Engine) forgetGoneWorkers() {
	for name, w := range e.workersByName { // names come and go for as long as the scheduler runs
		if w.State == decide.Gone && w.inFlight == 0 {
			delete(e.workersByName, name)
			delete(e.workersByID, w.ID)
		}
	}
}

func indexOf(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return -1
}

// EachReadyAddr calls f with the address of every worker that takes jobs.
func (e *Engine) EachReadyAddr(f func(addr string)) {
	for _, w := range e.workersByName {
		if w.State == decide.Ready {
			f(w.Addr)
		}
	}
}

// Sendable reports whether the attempt may still be sent: connecting takes time, and meanwhile the worker
// may have been told to be draining or gone or have started anew, the request answered, its client gone, its time run
// out, or the time for which its key is known.
func (a *Attempt) Sendable() bool {
	return !a.ended && a.Request.open && a.Worker.State == decide.Ready && a.Worker.incarnation == a.incarnation && a.Remaining() > 0 &&
		(a.sendDeadline == 0 || a.engine.Now() < a.sendDeadline) && !a.Request.client.Gone()
}

// Remaining is the time that the client will still wait.
func (a *Attempt) Remaining() time.Duration {
	return time.Duration(a.Request.GiveUpAt-a.engine.Now()) * time.Microsecond
}

// limit ends the attempt as timed out after the span.
func (a *Attempt) setTimeout(timeout decide.Time) {
	a.timer = a.engine.After(time.Duration(timeout)*time.Microsecond, func() {
		a.engine.workers.Cancel(a)
		a.End(decide.TimedOut, nil, decide.Report{})
	})
}

// Started takes in that the job runs.
func (a *Attempt) Started() {
	if !a.ended {
		if a.engine.Trace != nil {
			a.engine.Trace("started", a.Request.ID, "attempt", a.index, "worker", a.Worker.Name, "after_us", a.engine.Now()-a.sentAt)
		}
		a.engine.call(func() { a.engine.dispatcher.Note(a.engine.Now(), a.Request.ID, a.index, decide.NoteStarted, 0) })
	}
}

// Progress takes in the share that is done.
func (a *Attempt) Progress(share float64) {
	if !a.ended {
		a.engine.call(func() { a.engine.dispatcher.Note(a.engine.Now(), a.Request.ID, a.index, decide.NoteProgress, share) })
	}
}

// End takes in how the attempt ended; the result is that of a Served one. Only the first call counts.
func (a *Attempt) End(s decide.Status, result []byte, report decide.Report) {
	if a.ended {
		return
	}
	e, r := a.engine, a.Request
	a.ended, a.mayHaveRun = true, !s.NeverRan()
	a.timer.Stop()
	r.inFlight--
	a.Worker.inFlight--
	e.Counts.Outcomes[s]++
	if e.Trace != nil {
		e.Trace("attempt ended", r.ID, "attempt", a.index, "worker", a.Worker.Name, "outcome", StatusNames[s], "took_us", e.Now()-a.sentAt)
	}
	if e.Meter != nil {
		e.Meter.Attempt(r.Class, s, e.Now()-a.sentAt)
	}
	if e.OnOutcome != nil {
		e.OnOutcome(a.Worker.Name, true, s)
	}
	if s == decide.Served && r.open {
		e.finish(r, 0)
		e.Counts.Served++
		r.client.Served(result)
	}
	now := e.Now()
	e.call(func() {
		e.dispatcher.Outcome(now, decide.Outcome{Job: r.ID, Attempt: a.index, Worker: a.Worker.ID, Status: s, Closed: !r.open,
			Latency: now - a.sentAt, Report: report})
	})
	e.forgetIfDone(r)
}

// End takes in the answer to a probe, or that none came. Only the first call counts.
func (p *Probe) End(s decide.Status, report decide.Report) {
	if p.ended {
		return
	}
	p.ended = true
	p.Worker.inFlight--
	p.engine.Counts.Probes[s]++
	now := p.engine.Now()
	if p.engine.Trace != nil {
		p.engine.Trace("probe ended", p.request, "worker", p.Worker.Name, "outcome", StatusNames[s], "took_us", now-p.sentAt)
	}
	if p.engine.OnOutcome != nil {
		p.engine.OnOutcome(p.Worker.Name, false, s)
	}
	if p.engine.Meter != nil {
		p.engine.Meter.Probe(s, now-p.sentAt)
	}
	p.engine.call(func() { p.engine.dispatcher.ProbeResult(now, p.Worker.ID, s, now-p.sentAt, report) })
}

// callFor makes a call that is about one request.
func (e *Engine) callForRequest(request uint32, f func()) {
	e.call(func() {
		e.tracedRequest = request
		f()
		e.tracedRequest = 0
	})
}

// call makes a call of the module and then carries out what it asked for, in order. An action may lead to
// further calls; none is made while the module is still at work.
func (e *Engine) call(f func()) {
	if e.dispatching {
		e.pending = append(e.pending, f)
		return
	}
	e.dispatching = true
	if e.OnBusy != nil {
		began := time.Now()
		defer func() { e.OnBusy(time.Since(began)) }()
	}
	f()
	for len(e.pending) > 0 {
		next := e.pending[0]
		e.pending = e.pending[1:]
		next()
	}
	e.pending, e.dispatching = nil, false
}

// actions queues what the module asks for.
type actions struct{ engine *Engine }

func (x actions) enqueue(f func()) { x.engine.pending = append(x.engine.pending, f) }

func (x actions) Push(id uint32, worker decide.WorkerID, timeout decide.Time) {
	x.enqueue(func() {
		e := x.engine
		r, w := e.requests[id], e.workersByID[worker]
		if r == nil || w == nil {
			slog.Error("push of a request or to a worker that is not known", "request", id, "worker", worker)
			return
		}
		a := &Attempt{Request: r, Worker: w, index: len(r.attempts), incarnation: w.incarnation, sentAt: e.Now(), engine: e}
		if c := e.classes[r.Class]; c.Effect == decide.Keyed {
			for _, b := range r.attempts { // repeats are dropped from the first attempt that may have run on
				if by := b.sentAt + c.MemorySpan - keyLookupMargin; (!b.ended || b.mayHaveRun) && (a.sendDeadline == 0 || by < a.sendDeadline) {
					a.sendDeadline = by
				}
			}
		}
		r.attempts = append(r.attempts, a)
		r.inFlight++
		w.inFlight++
		e.Counts.Pushes++
		if e.Meter != nil && a.index == 0 {
			e.Meter.Wait(r.Class, a.sentAt-r.arrivedAt)
		}
		if e.Trace != nil {
			e.Trace("attempt", r.ID, "attempt", a.index, "worker", w.Name, "left_us", timeout)
		}
		a.setTimeout(timeout)
		if a.index > 0 && e.MayRetry != nil && !e.MayRetry(r.Class) {
			a.End(decide.Moot, nil, decide.Report{})
			return
		}
		e.workers.Push(a)
	})
}

func (x actions) Probe(worker decide.WorkerID) {
	request := x.engine.tracedRequest
	x.enqueue(func() {
		if w := x.engine.workersByID[worker]; w != nil {
			w.inFlight++
			if x.engine.Trace != nil {
				x.engine.Trace("probe", request, "worker", w.Name)
			}
			x.engine.workers.Probe(&Probe{Worker: w, request: request, sentAt: x.engine.Now(), engine: x.engine})
		}
	})
}

func (x actions) Cancel(id uint32, n int) {
	x.enqueue(func() {
		if r := x.engine.requests[id]; r != nil && n >= 0 && n < len(r.attempts) && !r.attempts[n].ended {
			x.engine.workers.Cancel(r.attempts[n])
			r.attempts[n].End(decide.Cancelled, nil, decide.Report{})
		}
	})
}

func (x actions) Refuse(id uint32, retryAfter decide.Time) {
	x.enqueue(func() {
		if r := x.engine.requests[id]; r != nil && r.open {
			x.engine.finish(r, 1)
			x.engine.Counts.Refused++
			if x.engine.Trace != nil {
				x.engine.Trace("refused", id, "retry_after_us", retryAfter)
			}
			r.client.Refused(time.Duration(retryAfter) * time.Microsecond)
		}
	})
}

func (x actions) Fail(id uint32) {
	x.enqueue(func() {
		if r := x.engine.requests[id]; r != nil && r.open {
			x.engine.finish(r, 2)
			x.engine.Counts.Failed++
			if x.engine.Trace != nil {
				x.engine.Trace("failed", id)
			}
			r.client.Failed()
		}
	})
}

func (x actions) Watch(on bool) { x.enqueue(func() { x.engine.directory.Watch(on) }) }
func (x actions) Reload()       { x.enqueue(x.engine.directory.Reload) }

func (x actions) Wake(after decide.Time, token uint64) {
	x.enqueue(func() {
		x.engine.After(time.Duration(after)*time.Microsecond, func() {
			x.engine.callForRequest(decide.JobOf(token), func() { x.engine.dispatcher.Wake(x.engine.Now(), token) })
		})
	})
}

// Tell is not carried out: the protocol gives schedulers no way to talk to each other, and the settings
// say so to the module.
func (x actions) Tell(int, []byte) {}
