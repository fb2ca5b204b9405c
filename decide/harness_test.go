package decide

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// action is one thing that a dispatcher asked for, as the tests record it.
type action struct {
	kind    string
	job     uint32
	worker  WorkerID
	attempt int
	span    Time
	token   uint64
}

// recorder keeps the actions asked for.
type recorder struct{ acts []action }

func (r *recorder) add(a action) { r.acts = append(r.acts, a) }
func (r *recorder) Push(job uint32, w WorkerID, timeout Time) {
	r.add(action{kind: "push", job: job, worker: w, span: timeout})
}
func (r *recorder) Probe(w WorkerID) { r.add(action{kind: "probe", worker: w}) }
func (r *recorder) Cancel(job uint32, attempt int) {
	r.add(action{kind: "cancel", job: job, attempt: attempt})
}
func (r *recorder) Refuse(job uint32, after Time) {
	r.add(action{kind: "refuse", job: job, span: after})
}
func (r *recorder) Fail(job uint32) { r.add(action{kind: "fail", job: job}) }
func (r *recorder) Watch(bool)      { r.add(action{kind: "watch"}) }
func (r *recorder) Reload()         { r.add(action{kind: "reload"}) }
func (r *recorder) Wake(after Time, token uint64) {
	r.add(action{kind: "wake", span: after, token: token})
}
func (r *recorder) SendPeer(int, []byte) { r.add(action{kind: "tell"}) }

// take returns the actions since the last take, of one kind or all.
func (r *recorder) take(kind string) []action {
	var out []action
	for _, a := range r.acts {
		if kind == "" || a.kind == kind {
			out = append(out, a)
		}
	}
	r.acts = r.acts[:0]
	return out
}

const second = 1000 * ms

func testSettings() Settings {
	return Settings{
		Nodes: 4, Zones: 1, CanProbe: true, CanCancel: true, SecondCopies: true, MaxAttempts: 4,
		DrainGrace: 500 * ms, ColdFrom: 0.2, ColdSpan: 20 * second, OverloadMultiple: 3, OverloadSpan: second,
		AnswerSlack: 8 * ms, Tick: ms, TellsStart: true, OverShareWorth: 0.1,
		Classes: []Class{
			{Effect: Safe, Aim: 200 * ms, Stretch: 2, Deadline: 5 * second, Worth: 1, Kind: -1},
			{Effect: Unsafe, Aim: 200 * ms, Stretch: 2, Deadline: 5 * second, Worth: 2, Kind: -1},
			{Effect: Keyed, Scope: ScopeAll, MemorySpan: 2 * second, Aim: 200 * ms, Stretch: 2, Deadline: 5 * second,
				Worth: 3, Kind: -1},
			{Effect: Keyed, Scope: ScopeCell, MemorySpan: 3 * second, Aim: 200 * ms, Stretch: 2, Deadline: 5 * second,
				Worth: 1, Kind: -1},
			{Effect: Keyed, Scope: ScopeZone, MemorySpan: 3 * second, Aim: 200 * ms, Stretch: 2, Deadline: 5 * second,
				Worth: 1, Kind: -1},
		},
	}
}

// world plays the caller of one dispatcher: it hands in events at random, all of them legal, and checks
// the four rules on every action. It judges nothing else.
type world struct {
	t        *testing.T
	rng      *rand.Rand
	s        Settings
	d        *Dispatcher
	rec      recorder
	now      Time
	workers  []Worker
	toldAt   map[WorkerID]Time // told that it drains or is gone
	watching bool
	pending  int // asks not answered
	timers   []timer
	probes   []sentProbe
	jobs     map[uint32]*seen
	order    []*seen
	nextJob  uint32
	pushes   int
	fields   Fields  // the figures that reports carry
	probesOK float64 // chance that a probe shows room
	log      []string
}

type timer struct {
	at    Time
	token uint64
}

type sentProbe struct {
	w  WorkerID
	at Time
}

type seenAttempt struct {
	w    Worker
	at   Time
	end  Time
	out  bool
	mayR bool
}

type seen struct {
	Job
	over     bool
	answers  int
	attempts []seenAttempt
}

func newWorld(t *testing.T, s Settings, seed uint64, n int) *world {
	w := &world{fields: 255, t: t, rng: rand.New(rand.NewPCG(seed, 1)), s: s, now: 1000 * second, probesOK: 0.7,
		toldAt: map[WorkerID]Time{}, jobs: map[uint32]*seen{}}
	d, err := New(s, seed, &w.rec)
	if err != nil {
		t.Fatal(err)
	}
	w.d = d
	for i := range n {
		e := Worker{ID: WorkerID(i + 1), Zone: i % s.Zones, Kind: i % 2, Cell: i / 3, State: Ready, Weight: 1}
		if w.rng.IntN(4) == 0 {
			e.StartedAt = w.now - w.rng.Int64N(20*second)
		}
		w.workers = append(w.workers, e)
	}
	d.Announce(w.now, ListCached, w.workers)
	w.drain()
	return w
}

func (w *world) broken(format string, args ...any) {
	w.t.Helper()
	w.t.Fatalf("at %d: "+format, append([]any{w.now}, args...)...)
}

func (w *world) worker(id WorkerID) *Worker {
	for i := range w.workers {
		if w.workers[i].ID == id {
			return &w.workers[i]
		}
	}
	return nil
}

// drain carries out and checks what the dispatcher asked for.
func (w *world) drain() {
	for _, a := range w.rec.take("") {
		w.log = append(w.log, fmt.Sprint(w.now, a))
		switch a.kind {
		case "wake":
			w.timers = append(w.timers, timer{w.now + max(1, a.span), a.token})
		case "probe":
			if !w.s.CanProbe {
				w.broken("probe where none is allowed")
			}
			w.probes = append(w.probes, sentProbe{a.worker, w.now})
		case "watch", "reload":
			w.pending++
		case "tell":
			if !w.s.CanMessagePeers {
				w.broken("message where none is allowed")
			}
		case "push":
			w.checkPush(a)
		case "cancel":
			j := w.jobs[a.job]
			if !w.s.CanCancel || j == nil || a.attempt < 0 || a.attempt >= len(j.attempts) {
				w.broken("cancel of what was not sent or where it is not allowed: %+v", a)
			}
			if at := &j.attempts[a.attempt]; at.out {
				at.end = w.now // comes back as cancelled
			}
		case "refuse", "fail":
			w.checkFinal(a)
		}
	}
}

func (w *world) checkFinal(a action) {
	j := w.jobs[a.job]
	if j == nil || j.over {
		w.broken("rule 1: a final answer for a job that is over or unknown: %+v", a)
	}
	if a.kind == "refuse" {
		c := w.s.Classes[j.Class]
		for _, at := range j.attempts {
			if at.mayR && c.Effect != Safe && !(c.Effect == Keyed && c.Scope == ScopeAll) {
				w.broken("rule 2: refused though it may have run: %+v", j)
			}
		}
	}
	j.answers++
	j.over = true
}

func (w *world) checkPush(a action) {
	j, e := w.jobs[a.job], w.worker(a.worker)
	if j == nil || j.over {
		w.broken("rule 1: push for a job that is over: %+v", a)
	}
	if e == nil {
		w.broken("push to a worker never listed")
	}
	if at, told := w.toldAt[a.worker]; told && w.now > at+w.s.DrainGrace {
		w.broken("rule 3: push to worker %d, told at %d", a.worker, at)
	}
	if len(j.attempts) >= w.s.MaxAttempts {
		w.broken("attempt %d past the limit", len(j.attempts))
	}
	c := w.s.Classes[j.Class]
	if c.Kind >= 0 && c.Kind != e.Kind {
		w.broken("push to a kind that can't run it")
	}
	for _, at := range j.attempts {
		if at.out && !w.s.SecondCopies {
			w.broken("rule 2: second copy where none is allowed")
		}
		if !at.mayR || c.Effect == Safe {
			continue
		}
		same := c.Effect == Keyed && (c.Scope == ScopeAll || c.Scope == ScopeZone && at.w.Zone == e.Zone ||
			c.Scope == ScopeCell && at.w.Cell == e.Cell)
		if !same || w.now-at.at > c.MemorySpan {
			w.broken("rule 2: repeat outside its scope or span: %+v to %+v", j, e)
		}
	}
	w.pushes++
	end := w.now + a.span
	if w.rng.IntN(3) > 0 {
		end = w.now + w.rng.Int64N(second)
	}
	j.attempts = append(j.attempts, seenAttempt{w: *e, at: w.now, end: min(end, w.now+a.span), out: true, mayR: true})
}

func (w *world) randomReport() Report {
	r := Report{Has: 255, InFlight: float64(w.rng.IntN(9)), Queue: float64(w.rng.IntN(3)),
		Errors: float64(w.rng.IntN(2)), Served: 5 * w.rng.Float64(), FreeMemory: 4 * w.rng.Float64(), Util: w.rng.Float64()}
	if w.rng.Float64() < w.probesOK {
		r.FreeSlots = 1 + 3*w.rng.Float64()
	}
	r.Has &= w.fields
	return r
}

// step moves on by a random span and hands in what is due then, and some of what may happen at any time.
func (w *world) step() {
	w.now += 1 + w.rng.Int64N(20*ms)
	keep := w.timers[:0:0]
	due := []timer{}
	for _, tm := range w.timers {
		if tm.at <= w.now {
			due = append(due, tm)
		} else {
			keep = append(keep, tm)
		}
	}
	w.timers = keep
	for _, tm := range due {
		w.d.Wake(w.now, tm.token)
		w.drain()
	}
	w.endAttempts()
	w.answerProbes()
	for w.pending > 0 {
		w.pending--
		kind := ListDelta
		w.watching = w.rng.IntN(3) > 0
		if !w.watching {
			kind = ListFailed
		}
		w.d.Announce(w.now, kind, nil)
		w.drain()
	}
	if w.rng.IntN(40) == 0 {
		w.changeFleet()
	}
	if w.s.CanMessagePeers && w.rng.IntN(30) == 0 {
		w.d.PeerMessage(w.now, w.rng.IntN(9), []byte{0, 0, 0, 0, 0, 0, 0, byte(w.rng.IntN(40))})
		w.drain()
	}
	if w.rng.IntN(400) == 0 { // every worker restarts at once, or all drain, and the whole list comes
		w.restartAll(State(1 + w.rng.IntN(2)))
	}
	if w.rng.IntN(200) == 0 {
		w.pass()
	}
	w.overdue()
}

// pass has another dispatcher go on with all that this one holds, as at an upgrade: the rules hold over both.
func (w *world) pass() {
	d, err := New(w.s, w.rng.Uint64(), &w.rec)
	if err != nil {
		w.t.Fatal(err)
	}
	w.timers, w.probes, w.pending = nil, nil, 0
	d.Announce(w.now, ListCached, w.workers)
	want := w.d.Learnt()
	d.Learn(w.now, want)
	if got := d.Learnt(); !sameLearnt(got, want) {
		w.broken("learnt %+v, passed on %+v", got, want)
	}
	for _, j := range w.order {
		in, tried, ok := w.d.OpenJob(j.ID)
		if ok == j.over {
			w.broken("job %d: held %v, over %v", j.ID, ok, j.over)
		}
		if ok {
			d.Adopt(w.now, in, tried)
		}
	}
	w.d = d
	w.drain()
}

// sameLearnt compares all but the order of the workers, and those that only one of the two lists.
func sameLearnt(a, b Learnt) bool {
	known := map[WorkerID]LearntWorker{}
	for _, w := range a.Workers {
		known[w.ID] = w
	}
	for _, w := range b.Workers {
		if k, ok := known[w.ID]; ok && k != w {
			return false
		}
	}
	a.Workers, b.Workers = nil, nil
	return reflect.DeepEqual(a, b)
}

func (w *world) answerProbes() {
	keep := w.probes[:0:0]
	for _, p := range w.probes {
		status := Served
		switch w.rng.IntN(12) {
		case 0:
			status = Full
		case 1, 2:
			if w.now-p.at < 250*ms {
				keep = append(keep, p)
				continue
			}
			status = TimedOut
		}
		w.d.ProbeResult(w.now, p.w, status, w.now-p.at, w.randomReport())
		w.drain()
	}
	w.probes = append(keep, w.probes[len(w.probes):]...)
}

func (w *world) endAttempts() {
	for _, j := range w.order {
		for i := range j.attempts {
			a := &j.attempts[i]
			if !a.out {
				continue
			}
			if a.end > w.now {
				if w.rng.IntN(20) == 0 {
					w.d.Note(w.now, j.ID, i, NoteStarted, 0)
					w.drain()
				}
				continue
			}
			status := []Status{Served, Served, Served, Error, Full, Reset, ConnectFailed, TimedOut}[w.rng.IntN(8)]
			if j.over {
				status = Cancelled
			}
			a.out, a.mayR = false, !status.NeverRan()
			if status == Served && !j.over {
				j.over = true
				j.answers++
			}
			w.d.Outcome(w.now, Outcome{Job: j.ID, Attempt: i, Worker: a.w.ID, Status: status, Closed: j.over})
			w.drain()
		}
	}
}

func (w *world) changeFleet() {
	e := &w.workers[w.rng.IntN(len(w.workers))]
	switch w.rng.IntN(3) {
	case 0:
		e.State = Draining
	case 1:
		e.State = Gone
	case 2:
		e.State, e.StartedAt = Ready, w.now-w.rng.Int64N(second)
		delete(w.toldAt, e.ID)
	}
	if _, told := w.toldAt[e.ID]; e.State != Ready && !told {
		w.toldAt[e.ID] = w.now
	}
	if w.s.MustAsk && !w.watching {
		delete(w.toldAt, e.ID) // it can't be told yet; the full list below tells
	}
	w.d.Announce(w.now, ListDelta, []Worker{*e})
	if e.State != Ready {
		w.toldAt[e.ID] = w.now
	}
	w.drain()
}

func (w *world) restartAll(state State) {
	for i := range w.workers {
		e := &w.workers[i]
		e.State, e.StartedAt = state, w.now-1
		if state == Ready {
			delete(w.toldAt, e.ID)
		} else if _, told := w.toldAt[e.ID]; !told {
			w.toldAt[e.ID] = w.now
		}
	}
	w.d.Announce(w.now, ListFull, w.workers)
	w.drain()
}

func (w *world) overdue() {
	keep := w.order[:0]
	for _, j := range w.order {
		if !j.over && w.now > j.GiveUpAt+w.s.AnswerSlack+25*ms { // a step of the world is up to 20 ms
			w.broken("rule 1: no final answer by %d: %+v", j.GiveUpAt, j)
		}
		out := false
		for _, a := range j.attempts {
			out = out || a.out
		}
		if out || !j.over {
			keep = append(keep, j)
		}
	}
	w.order = keep
}

func (w *world) arrive() {
	w.nextJob++
	class := w.rng.IntN(len(w.s.Classes))
	j := &seen{Job: Job{ID: w.nextJob, Class: class, Slots: float64(int(1) << w.rng.IntN(4)), Hint: w.rng.Int64N(300 * ms), Memory: w.rng.Float64(),
		GiveUpAt: w.now + 1 + w.rng.Int64N(w.s.Classes[class].Deadline)}}
	if len(w.s.Tenants) > 0 {
		j.Tenant = w.rng.IntN(len(w.s.Tenants))
	}
	w.jobs[j.ID] = j
	w.order = append(w.order, j)
	w.d.Arrive(w.now, j.Job)
	w.drain()
}
