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
	ID    decide.WorkerID
	Name  string
	Addr  string
	State decide.State
	out   int // attempts and probes not yet ended

	startedAt decide.Time
	life      int // grows as its address or its start changes: another process goes by the name
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
	ID       uint32
	Class    int
	GiveUpAt decide.Time
	Payload  any // what the client's protocol hands to the workers'
	client   Client
	came     decide.Time
	attempts []*Attempt
	out      int // attempts not yet ended
	open     bool
}

// Attempt is one push of a request to a worker.
type Attempt struct {
	Request *Request
	Worker  *Worker
	State   any // for Workers
	n       int
	life    int // of the worker, as it was chosen
	sentAt  decide.Time
	sendBy  decide.Time // 0: whenever the client still waits
	over    bool
	ran     bool // it may have
	e       *Engine
	timer   *Timer
}

// keyMargin is what a request may need from its first byte here to being looked up by its key at the worker.
const keyMargin = decide.Time(50 * time.Millisecond / time.Microsecond)

// Probe is one question for a worker's load.
type Probe struct {
	Worker  *Worker
	request uint32 // the request that it is for; 0: none
	sentAt  decide.Time
	over    bool
	e       *Engine
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

	d        *decide.Dispatcher
	classes  []decide.Class
	workers  Workers
	list     Directory
	zones    map[string]int
	kinds    map[string]int
	byName   map[string]*Worker
	byID     map[decide.WorkerID]*Worker
	nextID   decide.WorkerID
	requests map[uint32]*Request // open, or with an attempt out
	open     int
	lastID   uint32
	subject  uint32   // the request that the module is at, as far as the call tells; for the trace
	todo     []func() // actions the module has asked for and that are not carried out yet
	running  bool
	listed   bool // a list has named a worker that takes jobs
}

// Config is what New needs besides the settings of the decisions.
type Config struct {
	Settings     decide.Settings
	Seed         uint64
	Zones, Kinds []string // in the order of the settings
}

// New returns an engine that knows no worker yet. Use sets the ways out.
func New(loop *Loop, c Config) (*Engine, error) {
	e := &Engine{Loop: loop, classes: c.Settings.Classes, zones: numbered(c.Zones), kinds: numbered(c.Kinds), byName: map[string]*Worker{},
		byID: map[decide.WorkerID]*Worker{}, requests: map[uint32]*Request{}}
	for i := range e.Counts.Ended {
		e.Counts.Ended[i] = make([]int, len(e.classes))
	}
	if loop.lag == nil { // the first engine shows it for all
		loop.lag = &e.Counts.Lag
	}
	var err error
	e.d, err = decide.New(c.Settings, c.Seed, actions{e})
	return e, err
}

func numbered(names []string) map[string]int {
	m := make(map[string]int, len(names))
	for i, name := range names {
		m[name] = i
	}
	return m
}

// SetBackends sets the ways to the workers and to the worker list.
func (e *Engine) SetBackends(w Workers, d Directory) { e.workers, e.list = w, d }

// OpenRequests returns how many requests wait for their final answer.
func (e *Engine) OpenRequests() int { return e.open }

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
			e.call(func() { e.d.GiveUp(e.Now(), r.ID) })
		}
	}
}

// Class is what is known of a class, by its number.
func (e *Engine) Class(i int) decide.Class { return e.classes[i] }

// Ready reports whether there has been a worker to serve with: the front may send clients from then on.
func (e *Engine) Ready() bool { return e.listed }

// Submit takes a request of a client. The job's ID is set here.
func (e *Engine) Submit(j decide.Job, payload any, c Client) *Request {
	r := e.take(j.Class, j.GiveUpAt, e.Now(), payload, c)
	j.ID = r.ID
	if e.Trace != nil {
		e.Trace("arrival", r.ID, "class", j.Class, "left_us", j.GiveUpAt-e.Now(), "work_us", j.Hint, "slots", j.Slots)
	}
	e.callFor(r.ID, func() { e.d.Arrive(e.Now(), j) })
	return r
}

// take enters a request under an ID of its own.
func (e *Engine) take(class int, giveUpAt, came decide.Time, payload any, c Client) *Request {
	for e.lastID++; e.lastID == 0 || e.requests[e.lastID] != nil; e.lastID++ {
	}
	r := &Request{ID: e.lastID, Class: class, GiveUpAt: giveUpAt, Payload: payload, client: c, came: came, open: true}
	e.requests[r.ID] = r
	e.open++
	e.Counts.Accepted++
	return r
}

// Hangup takes in that the client has gone away.
func (e *Engine) Hangup(r *Request) {
	if r.open {
		e.Counts.Hangups++
		e.finish(r, 3)
		e.call(func() { e.d.Hangup(e.Now(), r.ID) })
	}
}

// finish ends a request. Its attempts still report to the module, but no second answer can follow.
func (e *Engine) finish(r *Request, outcome int) {
	if e.Meter != nil {
		e.Meter.Answer(r.Class, outcome, e.Now()-r.came)
	}
	if outcome < len(e.Counts.Ended) {
		e.Counts.Ended[outcome][r.Class]++
	}
	r.open = false
	e.open--
	for _, a := range r.attempts { // nobody waits for it: what has not gone out stays here
		if !a.over && e.workers.Withdraw(a) {
			a.End(decide.NotSent, nil, decide.Report{})
		}
	}
	e.forget(r)
}

func (e *Engine) forget(r *Request) {
	if !r.open && r.out == 0 {
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
	list := e.takeList(kind, entries)
	e.call(func() { e.d.Announce(e.Now(), kind, list) })
	e.forgetGone()
}

// OverlayChanged takes in entries that the overlay sees otherwise from now on. Discovery has not spoken: whether the watch
// stands is not touched.
func (e *Engine) OverlayChanged(entries []Entry) {
	e.takeNews(decide.ListDelta, entries)
}

// Told takes in news of the list that another process of this scheduler has heard: the overlay goes over it, and whether
// our own watch stands is not touched.
func (e *Engine) AnnounceRelayed(kind decide.ListKind, entries []Entry) {
	if e.Overlay != nil {
		entries = e.Overlay.Apply(kind, entries)
	}
	e.Counts.ListUpdates++
	e.takeNews(kind, entries)
}

func (e *Engine) takeNews(kind decide.ListKind, entries []Entry) {
	list := e.takeList(kind, entries)
	e.call(func() { e.d.UpdateWorkers(e.Now(), kind, list) })
	e.forgetGone()
}

// AddPeerEvidence tells the module that peers have fared badly at a worker. One that our own list has not named is passed over.
func (e *Engine) AddPeerEvidence(worker string) {
	w := e.byName[worker]
	if w == nil || w.State != decide.Ready {
		return
	}
	e.call(func() {
		for peer := range believed {
			e.d.PeerMessage(e.Now(), peer, binary.BigEndian.AppendUint64(nil, uint64(w.ID)))
		}
	})
}

// believed is how many peers' complaints the module believes; the caller of AddPeerEvidence has weighed those of more.
const believed = 2

// ReadyWorkers is how many workers take jobs by the list.
func (e *Engine) ReadyWorkers() (n int) {
	e.EachReadyAddr(func(string) { n++ })
	return n
}

// Avoided is how many workers that would take jobs the module leaves alone just now, whatever the job.
func (e *Engine) Avoided() int { return e.d.Avoided(e.Now()) }

func (e *Engine) takeList(kind decide.ListKind, entries []Entry) []decide.Worker {
	list := make([]decide.Worker, 0, len(entries))
	if kind == decide.ListFull || kind == decide.ListCached {
		for _, w := range e.byName {
			w.State = decide.Gone // unless it is named below
		}
	}
	for _, in := range entries {
		w := e.byName[in.Name]
		if w == nil {
			e.nextID++
			w = &Worker{ID: e.nextID, Name: in.Name}
			e.byName[in.Name], e.byID[w.ID] = w, w
		}
		if in.Addr != "" && in.Addr != w.Addr || in.StartedAt != w.startedAt {
			w.life++
		}
		if in.Addr != "" {
			w.Addr = in.Addr
		}
		w.State, w.startedAt = in.State, in.StartedAt
		e.listed = e.listed || w.State == decide.Ready
		list = append(list, decide.Worker{ID: w.ID, Zone: index(e.zones, in.Zone), Kind: index(e.kinds, in.Kind),
			Cell: in.Cell, State: in.State, Weight: in.Weight, StartedAt: in.StartedAt})
	}
	return list
}

func (e *Engine) forgetGone() {
	for name, w := range e.byName { // names come and go for as long as the scheduler runs
		if w.State == decide.Gone && w.out == 0 {
			delete(e.byName, name)
			delete(e.byID, w.ID)
		}
	}
}

func index(m map[string]int, name string) int {
	if i, ok := m[name]; ok {
		return i
	}
	return -1
}

// EachReadyAddr calls f with the address of every worker that takes jobs.
func (e *Engine) EachReadyAddr(f func(addr string)) {
	for _, w := range e.byName {
		if w.State == decide.Ready {
			f(w.Addr)
		}
	}
}

// Sendable reports whether the attempt may still be sent: connecting takes time, and meanwhile the worker
// may have been told to be draining or gone or have started anew, the request answered, its client gone, its time run
// out, or the time for which its key is known.
func (a *Attempt) Sendable() bool {
	return !a.over && a.Request.open && a.Worker.State == decide.Ready && a.Worker.life == a.life && a.Remaining() > 0 &&
		(a.sendBy == 0 || a.e.Now() < a.sendBy) && !a.Request.client.Gone()
}

// Remaining is the time that the client will still wait.
func (a *Attempt) Remaining() time.Duration {
	return time.Duration(a.Request.GiveUpAt-a.e.Now()) * time.Microsecond
}

// limit ends the attempt as timed out after the span.
func (a *Attempt) limit(span decide.Time) {
	a.timer = a.e.After(time.Duration(span)*time.Microsecond, func() {
		a.e.workers.Cancel(a)
		a.End(decide.TimedOut, nil, decide.Report{})
	})
}

// Started takes in that the job runs.
func (a *Attempt) Started() {
	if !a.over {
		if a.e.Trace != nil {
			a.e.Trace("started", a.Request.ID, "attempt", a.n, "worker", a.Worker.Name, "after_us", a.e.Now()-a.sentAt)
		}
		a.e.call(func() { a.e.d.Note(a.e.Now(), a.Request.ID, a.n, decide.NoteStarted, 0) })
	}
}

// Progress takes in the share that is done.
func (a *Attempt) Progress(share float64) {
	if !a.over {
		a.e.call(func() { a.e.d.Note(a.e.Now(), a.Request.ID, a.n, decide.NoteProgress, share) })
	}
}

// End takes in how the attempt ended; the result is that of a Served one. Only the first call counts.
func (a *Attempt) End(s decide.Status, result []byte, report decide.Report) {
	if a.over {
		return
	}
	e, r := a.e, a.Request
	a.over, a.ran = true, !s.NeverRan()
	a.timer.Stop()
	r.out--
	a.Worker.out--
	e.Counts.Outcomes[s]++
	if e.Trace != nil {
		e.Trace("attempt ended", r.ID, "attempt", a.n, "worker", a.Worker.Name, "outcome", StatusNames[s], "took_us", e.Now()-a.sentAt)
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
		e.d.Outcome(now, decide.Outcome{Job: r.ID, Attempt: a.n, Worker: a.Worker.ID, Status: s, Closed: !r.open,
			Latency: now - a.sentAt, Report: report})
	})
	e.forget(r)
}

// End takes in the answer to a probe, or that none came. Only the first call counts.
func (p *Probe) End(s decide.Status, report decide.Report) {
	if p.over {
		return
	}
	p.over = true
	p.Worker.out--
	p.e.Counts.Probes[s]++
	now := p.e.Now()
	if p.e.Trace != nil {
		p.e.Trace("probe ended", p.request, "worker", p.Worker.Name, "outcome", StatusNames[s], "took_us", now-p.sentAt)
	}
	if p.e.OnOutcome != nil {
		p.e.OnOutcome(p.Worker.Name, false, s)
	}
	if p.e.Meter != nil {
		p.e.Meter.Probe(s, now-p.sentAt)
	}
	p.e.call(func() { p.e.d.ProbeResult(now, p.Worker.ID, s, now-p.sentAt, report) })
}

// callFor makes a call that is about one request.
func (e *Engine) callFor(request uint32, f func()) {
	e.call(func() {
		e.subject = request
		f()
		e.subject = 0
	})
}

// call makes a call of the module and then carries out what it asked for, in order. An action may lead to
// further calls; none is made while the module is still at work.
func (e *Engine) call(f func()) {
	if e.running {
		e.todo = append(e.todo, f)
		return
	}
	e.running = true
	if e.OnBusy != nil {
		began := time.Now()
		defer func() { e.OnBusy(time.Since(began)) }()
	}
	f()
	for len(e.todo) > 0 {
		next := e.todo[0]
		e.todo = e.todo[1:]
		next()
	}
	e.todo, e.running = nil, false
}

// actions queues what the module asks for.
type actions struct{ e *Engine }

func (x actions) do(f func()) { x.e.todo = append(x.e.todo, f) }

func (x actions) Push(id uint32, worker decide.WorkerID, timeout decide.Time) {
	x.do(func() {
		e := x.e
		r, w := e.requests[id], e.byID[worker]
		if r == nil || w == nil {
			slog.Error("push of a request or to a worker that is not known", "request", id, "worker", worker)
			return
		}
		a := &Attempt{Request: r, Worker: w, n: len(r.attempts), life: w.life, sentAt: e.Now(), e: e}
		if c := e.classes[r.Class]; c.Effect == decide.Keyed {
			for _, b := range r.attempts { // repeats are dropped from the first attempt that may have run on
				if by := b.sentAt + c.MemorySpan - keyMargin; (!b.over || b.ran) && (a.sendBy == 0 || by < a.sendBy) {
					a.sendBy = by
				}
			}
		}
		r.attempts = append(r.attempts, a)
		r.out++
		w.out++
		e.Counts.Pushes++
		if e.Meter != nil && a.n == 0 {
			e.Meter.Wait(r.Class, a.sentAt-r.came)
		}
		if e.Trace != nil {
			e.Trace("attempt", r.ID, "attempt", a.n, "worker", w.Name, "left_us", timeout)
		}
		a.limit(timeout)
		if a.n > 0 && e.MayRetry != nil && !e.MayRetry(r.Class) {
			a.End(decide.NotSent, nil, decide.Report{})
			return
		}
		e.workers.Push(a)
	})
}

func (x actions) Probe(worker decide.WorkerID) {
	request := x.e.subject
	x.do(func() {
		if w := x.e.byID[worker]; w != nil {
			w.out++
			if x.e.Trace != nil {
				x.e.Trace("probe", request, "worker", w.Name)
			}
			x.e.workers.Probe(&Probe{Worker: w, request: request, sentAt: x.e.Now(), e: x.e})
		}
	})
}

func (x actions) Cancel(id uint32, n int) {
	x.do(func() {
		if r := x.e.requests[id]; r != nil && n >= 0 && n < len(r.attempts) && !r.attempts[n].over {
			x.e.workers.Cancel(r.attempts[n])
			r.attempts[n].End(decide.Cancelled, nil, decide.Report{})
		}
	})
}

func (x actions) Refuse(id uint32, retryAfter decide.Time) {
	x.do(func() {
		if r := x.e.requests[id]; r != nil && r.open {
			x.e.finish(r, 1)
			x.e.Counts.Refused++
			if x.e.Trace != nil {
				x.e.Trace("refused", id, "retry_after_us", retryAfter)
			}
			r.client.Refused(time.Duration(retryAfter) * time.Microsecond)
		}
	})
}

func (x actions) Fail(id uint32) {
	x.do(func() {
		if r := x.e.requests[id]; r != nil && r.open {
			x.e.finish(r, 2)
			x.e.Counts.Failed++
			if x.e.Trace != nil {
				x.e.Trace("failed", id)
			}
			r.client.Failed()
		}
	})
}

func (x actions) Watch(on bool) { x.do(func() { x.e.list.Watch(on) }) }
func (x actions) Reload()       { x.do(x.e.list.Reload) }

func (x actions) Wake(after decide.Time, token uint64) {
	x.do(func() {
		x.e.After(time.Duration(after)*time.Microsecond, func() {
			x.e.callFor(decide.JobOf(token), func() { x.e.d.Wake(x.e.Now(), token) })
		})
	})
}

// SendPeer is not carried out: the protocol gives schedulers no way to talk to each other, and the settings
// say so to the module.
func (x actions) SendPeer(int, []byte) {}
