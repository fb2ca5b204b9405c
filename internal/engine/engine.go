// Package engine executes the decisions of package decide for one scheduler. It holds the open requests and their
// attempts, the workers' names and addresses, and the counters. It guarantees that a request gets exactly one final
// answer, that an attempt is sent only while it is still valid, and that a shutdown loses no request. It contains no
// protocol, socket or placement code: clients, workers and the worker list are behind the interfaces below. All code
// runs on one Loop.
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

// Client is the origin of one request. The engine calls exactly one of Served, Refused and Failed, once, unless the
// client has disconnected before.
type Client interface {
	// Served answers with the result of a worker.
	Served(result []byte)
	// Refused answers that the job was not done and may be retried without harm, after retryAfter if that is above 0.
	Refused(retryAfter time.Duration)
	// Failed answers that the request failed; the job may have run.
	Failed()
	// Gone reports whether the client has disconnected, even if Hangup has not been called yet.
	Gone() bool
}

// Workers sends attempts and probes to workers. It reports back through the methods of Attempt and Probe, during the
// call or later.
type Workers interface {
	// Push sends a.Request to a.Worker. It must check a.Sendable immediately before it writes the first byte.
	Push(a *Attempt)
	// Cancel aborts an attempt. When it returns, no open connection carries the attempt any more.
	Cancel(a *Attempt)
	// Withdraw aborts an attempt if its last byte has certainly not been sent, and reports whether it did.
	Withdraw(a *Attempt) bool
	// Probe requests the load of p.Worker.
	Probe(p *Probe)
}

// Meter records durations, in microseconds.
type Meter interface {
	// Wait records the time from a request's arrival to its first attempt.
	Wait(class int, t decide.Time)
	Probe(s decide.Status, t decide.Time)
	Attempt(class int, s decide.Status, t decide.Time)
	// Answer records the time from a request's arrival to its final answer. The outcome is 0 for served, 1 for
	// refused, 2 for failed and 3 for none because the client disconnected.
	Answer(class, outcome int, t decide.Time)
}

// Directory fetches the worker list. It reports through Engine.Announce.
type Directory interface {
	Watch(on bool)
	Reload()
}

// Overlay modifies the worker list before the engine sees it.
type Overlay interface {
	// Apply returns the entries as the engine is to see them.
	Apply(kind decide.ListKind, entries []Entry) []Entry
}

// Worker is a worker of the list. Its address may change; its name and ID do not.
type Worker struct {
	ID       decide.WorkerID
	Name     string
	Addr     string
	State    decide.State
	inFlight int // attempts and probes that have not ended

	startedAt   decide.Time
	incarnation int // grows when the address or the start time changes, which means that another process has the name
}

// Entry is a worker in an update of the list.
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
	Payload   any // passed from the client's protocol to the workers' protocol
	client    Client
	arrivedAt decide.Time
	attempts  []*Attempt
	inFlight  int // attempts that have not ended
	open      bool
}

// Attempt is one push of a request to a worker.
type Attempt struct {
	Request      *Request
	Worker       *Worker
	State        any // used by Workers
	index        int
	incarnation  int // of the worker when it was chosen
	sentAt       decide.Time
	sendDeadline decide.Time // 0: no limit but the client's deadline
	ended        bool
	mayHaveRun   bool // set when the attempt ends
	engine       *Engine
	timer        *Timer
}

// keyLookupMargin is the time that a request may need from its first byte sent here until the worker looks up its
// key.
const keyLookupMargin = decide.Time(50 * time.Millisecond / time.Microsecond)

// Probe is one load query to a worker.
type Probe struct {
	Worker  *Worker
	request uint32 // the request that it is for; 0: none
	sentAt  decide.Time
	ended   bool
	engine  *Engine
}

// Engine executes the decisions for one scheduler. All methods must be called on the loop.
type Engine struct {
	*Loop
	Counts Counts
	// MayRetry, if set, is called before an attempt after the first is sent. If it returns false, the attempt ends
	// unsent.
	MayRetry func(class int) bool
	// Meter, if set, records durations of requests, attempts and probes.
	Meter Meter
	// OnOutcome, if set, is called with the worker's name and the status when an attempt (job is true) or a probe
	// ends.
	OnOutcome func(worker string, job bool, s decide.Status)
	// Trace, if set, is called for each event of a request, with the request's ID.
	Trace func(event string, request uint32, args ...any)
	// Overlay, if set, modifies each update of the worker list before it is used.
	Overlay Overlay
	// OnBusy, if set, is called with the time that the loop has spent on a call for this engine.
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
	requests      map[uint32]*Request // open, or with an attempt in flight
	openRequests  int
	lastRequestID uint32
	tracedRequest uint32   // the request that the current dispatcher call is about, if known; for Trace
	pending       []func() // actions requested by the dispatcher that have not been executed yet
	dispatching   bool
	everReady     bool // a list has contained a worker in state Ready
}

// Config holds the parameters of New.
type Config struct {
	Settings     decide.Settings
	Seed         uint64
	Zones, Kinds []string // in the order of the settings
}

// New returns an engine that knows no workers yet. SetBackends must be called before it is used.
func New(loop *Loop, c Config) (*Engine, error) {
	e := &Engine{Loop: loop, classes: c.Settings.Classes, zones: indexByName(c.Zones), kinds: indexByName(c.Kinds), workersByName: map[string]*Worker{},
		workersByID: map[decide.WorkerID]*Worker{}, requests: map[uint32]*Request{}}
	for i := range e.Counts.Ended {
		e.Counts.Ended[i] = make([]int, len(e.classes))
	}
	if loop.maxLag == nil { // the first engine on the loop counts the lag for all
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

// SetBackends sets the implementations that send to workers and fetch the worker list.
func (e *Engine) SetBackends(w Workers, d Directory) { e.workers, e.directory = w, d }

// OpenRequests returns the number of requests without a final answer.
func (e *Engine) OpenRequests() int { return e.openRequests }

// LongestDeadline returns the longest deadline of all classes.
func (e *Engine) LongestDeadline() (longest decide.Time) {
	for _, c := range e.classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// GiveUpAll makes the dispatcher end every open request now, because the shutdown has no time left.
func (e *Engine) GiveUpAll() {
	for _, r := range slices.SortedFunc(maps.Values(e.requests), func(a, b *Request) int { return cmp.Compare(a.ID, b.ID) }) {
		if r.open {
			e.call(func() { e.dispatcher.GiveUp(e.Now(), r.ID) })
		}
	}
}

// Class returns the settings of the class with index i.
func (e *Engine) Class(i int) decide.Class { return e.classes[i] }

// Ready reports whether the list has ever contained a ready worker. From then on the front end may send clients.
func (e *Engine) Ready() bool { return e.everReady }

// Submit adds a client's request and passes the job to the dispatcher. It sets the job's ID.
func (e *Engine) Submit(job decide.Job, payload any, client Client) *Request {
	r := e.addRequest(job.Class, job.GiveUpAt, e.Now(), payload, client)
	job.ID = r.ID
	if e.Trace != nil {
		e.Trace("arrival", r.ID, "class", job.Class, "left_us", job.GiveUpAt-e.Now(), "work_us", job.Hint, "slots", job.Slots)
	}
	e.callForRequest(r.ID, func() { e.dispatcher.Arrive(e.Now(), job) })
	return r
}

// addRequest registers a request under an unused ID.
func (e *Engine) addRequest(class int, giveUpAt, arrivedAt decide.Time, payload any, client Client) *Request {
	for e.lastRequestID++; e.lastRequestID == 0 || e.requests[e.lastRequestID] != nil; e.lastRequestID++ {
	}
	r := &Request{ID: e.lastRequestID, Class: class, GiveUpAt: giveUpAt, Payload: payload, client: client, arrivedAt: arrivedAt, open: true}
	e.requests[r.ID] = r
	e.openRequests++
	e.Counts.Accepted++
	return r
}

// Hangup ends a request whose client has disconnected.
func (e *Engine) Hangup(r *Request) {
	if r.open {
		e.Counts.Hangups++
		e.finish(r, 3)
		e.call(func() { e.dispatcher.Hangup(e.Now(), r.ID) })
	}
}

// finish ends a request. Its attempts still report to the dispatcher, but no second answer can follow.
func (e *Engine) finish(r *Request, outcome int) {
	if e.Meter != nil {
		e.Meter.Answer(r.Class, outcome, e.Now()-r.arrivedAt)
	}
	if outcome < len(e.Counts.Ended) {
		e.Counts.Ended[outcome][r.Class]++
	}
	r.open = false
	e.openRequests--
	for _, a := range r.attempts { // no client waits for them: unsent attempts are not sent
		if !a.ended && e.workers.Withdraw(a) {
			a.End(decide.NotSent, nil, decide.Report{})
		}
	}
	e.forgetIfDone(r)
}

func (e *Engine) forgetIfDone(r *Request) {
	if !r.open && r.inFlight == 0 {
		delete(e.requests, r.ID)
	}
}

// Announce applies an update of the worker list.
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

// OverlayChanged applies entries whose overlay has changed. The change does not come from discovery, so the state
// of the watch stays as it is.
func (e *Engine) OverlayChanged(entries []Entry) {
	e.applyUpdate(decide.ListDelta, entries)
}

// AnnounceRelayed applies a list update that another process of this scheduler has received. The overlay is applied
// to it, and the state of this process's watch does not change.
func (e *Engine) AnnounceRelayed(kind decide.ListKind, entries []Entry) {
	if e.Overlay != nil {
		entries = e.Overlay.Apply(kind, entries)
	}
	e.Counts.ListUpdates++
	e.applyUpdate(kind, entries)
}

func (e *Engine) applyUpdate(kind decide.ListKind, entries []Entry) {
	list := e.applyEntries(kind, entries)
	e.call(func() { e.dispatcher.UpdateWorkers(e.Now(), kind, list) })
	e.forgetGoneWorkers()
}

// AddPeerEvidence reports to the dispatcher that peers have seen a worker fail. A worker that is not ready in this
// process's list is ignored.
func (e *Engine) AddPeerEvidence(worker string) {
	w := e.workersByName[worker]
	if w == nil || w.State != decide.Ready {
		return
	}
	e.call(func() {
		for peer := range complaintsToEject {
			e.dispatcher.PeerMessage(e.Now(), peer, binary.BigEndian.AppendUint64(nil, uint64(w.ID)))
		}
	})
}

// complaintsToEject is the number of peers' complaints after which the dispatcher ejects a worker. The caller of
// AddPeerEvidence has weighed the complaints of more peers before.
const complaintsToEject = 2

// ReadyWorkers returns the number of workers that the list has as ready.
func (e *Engine) ReadyWorkers() (n int) {
	e.EachReadyAddr(func(string) { n++ })
	return n
}

// Avoided returns the number of ready workers that the dispatcher currently avoids for all jobs.
func (e *Engine) Avoided() int { return e.dispatcher.Avoided(e.Now()) }

func (e *Engine) applyEntries(kind decide.ListKind, entries []Entry) []decide.Worker {
	list := make([]decide.Worker, 0, len(entries))
	if kind == decide.ListFull || kind == decide.ListCached {
		for _, w := range e.workersByName {
			w.State = decide.Gone // unless it is named below
		}
	}
	for _, entry := range entries {
		w := e.workersByName[entry.Name]
		if w == nil {
			e.lastWorkerID++
			w = &Worker{ID: e.lastWorkerID, Name: entry.Name}
			e.workersByName[entry.Name], e.workersByID[w.ID] = w, w
		}
		if entry.Addr != "" && entry.Addr != w.Addr || entry.StartedAt != w.startedAt {
			w.incarnation++
		}
		if entry.Addr != "" {
			w.Addr = entry.Addr
		}
		w.State, w.startedAt = entry.State, entry.StartedAt
		e.everReady = e.everReady || w.State == decide.Ready
		list = append(list, decide.Worker{ID: w.ID, Zone: indexOf(e.zones, entry.Zone), Kind: indexOf(e.kinds, entry.Kind),
			Cell: entry.Cell, State: entry.State, Weight: entry.Weight, StartedAt: entry.StartedAt})
	}
	return list
}

func (e *Engine) forgetGoneWorkers() {
	for name, w := range e.workersByName { // removed names would otherwise accumulate for as long as the scheduler runs
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

// EachReadyAddr calls f with the address of every ready worker.
func (e *Engine) EachReadyAddr(f func(addr string)) {
	for _, w := range e.workersByName {
		if w.State == decide.Ready {
			f(w.Addr)
		}
	}
}

// Sendable reports whether the attempt may still be sent. While the connection was being made, the worker may have
// begun to drain, left the list or restarted, the request may have been answered, its client may have disconnected,
// or its deadline or the time for which its key is remembered may have passed.
func (a *Attempt) Sendable() bool {
	return !a.ended && a.Request.open && a.Worker.State == decide.Ready && a.Worker.incarnation == a.incarnation && a.Remaining() > 0 &&
		(a.sendDeadline == 0 || a.engine.Now() < a.sendDeadline) && !a.Request.client.Gone()
}

// Remaining returns the time until the client's deadline.
func (a *Attempt) Remaining() time.Duration {
	return time.Duration(a.Request.GiveUpAt-a.engine.Now()) * time.Microsecond
}

// setTimeout ends the attempt with status TimedOut after the timeout.
func (a *Attempt) setTimeout(timeout decide.Time) {
	a.timer = a.engine.After(time.Duration(timeout)*time.Microsecond, func() {
		a.engine.workers.Cancel(a)
		a.End(decide.TimedOut, nil, decide.Report{})
	})
}

// Started records that the job has started.
func (a *Attempt) Started() {
	if !a.ended {
		if a.engine.Trace != nil {
			a.engine.Trace("started", a.Request.ID, "attempt", a.index, "worker", a.Worker.Name, "after_us", a.engine.Now()-a.sentAt)
		}
		a.engine.call(func() { a.engine.dispatcher.Note(a.engine.Now(), a.Request.ID, a.index, decide.NoteStarted, 0) })
	}
}

// Progress records the share of the job that is done.
func (a *Attempt) Progress(share float64) {
	if !a.ended {
		a.engine.call(func() { a.engine.dispatcher.Note(a.engine.Now(), a.Request.ID, a.index, decide.NoteProgress, share) })
	}
}

// End records how the attempt ended. The result is set if the status is Served. Only the first call has an effect.
func (a *Attempt) End(s decide.Status, result []byte, report decide.Report) {
	if a.ended {
		return
	}
	engine, r := a.engine, a.Request
	a.ended, a.mayHaveRun = true, !s.NeverRan()
	a.timer.Stop()
	r.inFlight--
	a.Worker.inFlight--
	engine.Counts.Outcomes[s]++
	if engine.Trace != nil {
		engine.Trace("attempt ended", r.ID, "attempt", a.index, "worker", a.Worker.Name, "outcome", StatusNames[s], "took_us", engine.Now()-a.sentAt)
	}
	if engine.Meter != nil {
		engine.Meter.Attempt(r.Class, s, engine.Now()-a.sentAt)
	}
	if engine.OnOutcome != nil {
		engine.OnOutcome(a.Worker.Name, true, s)
	}
	if s == decide.Served && r.open {
		engine.finish(r, 0)
		engine.Counts.Served++
		r.client.Served(result)
	}
	now := engine.Now()
	engine.call(func() {
		engine.dispatcher.Outcome(now, decide.Outcome{Job: r.ID, Attempt: a.index, Worker: a.Worker.ID, Status: s, Closed: !r.open,
			Latency: now - a.sentAt, Report: report})
	})
	engine.forgetIfDone(r)
}

// End records the answer to a probe, or that there was none. Only the first call has an effect.
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

// callForRequest makes a dispatcher call that is about one request.
func (e *Engine) callForRequest(request uint32, f func()) {
	e.call(func() {
		e.tracedRequest = request
		f()
		e.tracedRequest = 0
	})
}

// call makes a call to the dispatcher and then executes the actions that it requested, in order. An action may make
// further calls; they are queued until the current one has returned.
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

// actions queues the actions that the dispatcher requests.
type actions struct{ engine *Engine }

func (x actions) enqueue(f func()) { x.engine.pending = append(x.engine.pending, f) }

func (x actions) Push(id uint32, worker decide.WorkerID, timeout decide.Time) {
	x.enqueue(func() {
		engine := x.engine
		r, w := engine.requests[id], engine.workersByID[worker]
		if r == nil || w == nil {
			slog.Error("push of a request or to a worker that is not known", "request", id, "worker", worker)
			return
		}
		attempt := &Attempt{Request: r, Worker: w, index: len(r.attempts), incarnation: w.incarnation, sentAt: engine.Now(), engine: engine}
		if c := engine.classes[r.Class]; c.Effect == decide.Keyed {
			for _, b := range r.attempts { // the worker drops repeats only for MemorySpan from the first attempt that may have run
				if deadline := b.sentAt + c.MemorySpan - keyLookupMargin; (!b.ended || b.mayHaveRun) && (attempt.sendDeadline == 0 || deadline < attempt.sendDeadline) {
					attempt.sendDeadline = deadline
				}
			}
		}
		r.attempts = append(r.attempts, attempt)
		r.inFlight++
		w.inFlight++
		engine.Counts.Pushes++
		if engine.Meter != nil && attempt.index == 0 {
			engine.Meter.Wait(r.Class, attempt.sentAt-r.arrivedAt)
		}
		if engine.Trace != nil {
			engine.Trace("attempt", r.ID, "attempt", attempt.index, "worker", w.Name, "left_us", timeout)
		}
		attempt.setTimeout(timeout)
		if attempt.index > 0 && engine.MayRetry != nil && !engine.MayRetry(r.Class) {
			attempt.End(decide.NotSent, nil, decide.Report{})
			return
		}
		engine.workers.Push(attempt)
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

// SendPeer does nothing: the protocol has no messages between schedulers, and the settings tell the dispatcher so.
func (x actions) SendPeer(int, []byte) {}
