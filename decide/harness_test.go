package decide

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
)

// action is one action that a dispatcher requested, as recorded by the tests.
type action struct {
	kind    string
	job     uint32
	worker  WorkerID
	attempt int
	span    Time
	token   uint64
}

// recorder records the requested actions.
type recorder struct{ actions []action }

func (r *recorder) add(a action) { r.actions = append(r.actions, a) }
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

// take returns and removes the recorded actions; it returns those of one kind, or all if kind is empty.
func (r *recorder) take(kind string) []action {
	var out []action
	for _, a := range r.actions {
		if kind == "" || a.kind == kind {
			out = append(out, a)
		}
	}
	r.actions = r.actions[:0]
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

// simulation is the caller of one dispatcher. It passes in random valid events and checks the rules on every action: one final
// answer in time (rule 1), no unsafe repeat (rule 2), and no push to a draining worker (rule 3), beside the limits of the
// settings. It does not check the quality of the decisions.
type simulation struct {
	t            *testing.T
	rng          *rand.Rand
	settings     Settings
	dispatcher   *Dispatcher
	recorder     recorder
	now          Time
	workers      []Worker
	drainSeenAt  map[WorkerID]Time // when the dispatcher was informed that the worker drains or is gone
	watching     bool
	listRequests int // not answered
	timers       []timer
	probes       []sentProbe
	jobs         map[uint32]*simulatedJob
	openJobs     []*simulatedJob
	nextJob      uint32
	pushes       int
	fields       Fields  // the figures in reports
	roomChance   float64 // probability that a probe shows room
	log          []string
}

type timer struct {
	at    Time
	token uint64
}

type sentProbe struct {
	worker WorkerID
	at     Time
}

type simulatedAttempt struct {
	worker     Worker
	pushedAt   Time
	end        Time
	inFlight   bool
	mayHaveRun bool
}

type simulatedJob struct {
	Job
	closed   bool
	answers  int
	attempts []simulatedAttempt
}

func newSimulation(t *testing.T, s Settings, seed uint64, n int) *simulation {
	sim := &simulation{fields: 255, t: t, rng: rand.New(rand.NewPCG(seed, 1)), settings: s, now: 1000 * second, roomChance: 0.7,
		drainSeenAt: map[WorkerID]Time{}, jobs: map[uint32]*simulatedJob{}}
	dispatcher, err := New(s, seed, &sim.recorder)
	if err != nil {
		t.Fatal(err)
	}
	sim.dispatcher = dispatcher
	for i := range n {
		e := Worker{ID: WorkerID(i + 1), Zone: i % s.Zones, Kind: i % 2, Cell: i / 3, State: Ready, Weight: 1}
		if sim.rng.IntN(4) == 0 {
			e.StartedAt = sim.now - sim.rng.Int64N(20*second)
		}
		sim.workers = append(sim.workers, e)
	}
	dispatcher.Announce(sim.now, ListCached, sim.workers)
	sim.handleActions()
	return sim
}

// fatalf ends the test with a message that starts with the simulated time.
func (sim *simulation) fatalf(format string, args ...any) {
	sim.t.Helper()
	sim.t.Fatalf("at %d: "+format, append([]any{sim.now}, args...)...)
}

func (sim *simulation) worker(id WorkerID) *Worker {
	for i := range sim.workers {
		if sim.workers[i].ID == id {
			return &sim.workers[i]
		}
	}
	return nil
}

// handleActions carries out and checks the actions that the dispatcher requested.
func (sim *simulation) handleActions() {
	for _, a := range sim.recorder.take("") {
		sim.log = append(sim.log, fmt.Sprint(sim.now, a))
		switch a.kind {
		case "wake":
			sim.timers = append(sim.timers, timer{sim.now + max(1, a.span), a.token})
		case "probe":
			if !sim.settings.CanProbe {
				sim.fatalf("probe though probes are not allowed")
			}
			sim.probes = append(sim.probes, sentProbe{a.worker, sim.now})
		case "watch", "reload":
			sim.listRequests++
		case "tell":
			if !sim.settings.CanMessagePeers {
				sim.fatalf("message though messages are not allowed")
			}
		case "push":
			sim.checkPush(a)
		case "cancel":
			j := sim.jobs[a.job]
			if !sim.settings.CanCancel || j == nil || a.attempt < 0 || a.attempt >= len(j.attempts) {
				sim.fatalf("cancel of an attempt that was not sent, or though it is not allowed: %+v", a)
			}
			if cancelled := &j.attempts[a.attempt]; cancelled.inFlight {
				cancelled.end = sim.now // it ends as cancelled
			}
		case "refuse", "fail":
			sim.checkFinal(a)
		}
	}
}

// checkFinal checks a refusal or a failure.
func (sim *simulation) checkFinal(a action) {
	j := sim.jobs[a.job]
	if j == nil || j.closed {
		sim.fatalf("rule 1: final answer for a finished or unknown job: %+v", a)
	}
	if a.kind == "refuse" {
		c := sim.settings.Classes[j.Class]
		for _, earlier := range j.attempts {
			if earlier.mayHaveRun && c.Effect != Safe && !(c.Effect == Keyed && c.Scope == ScopeAll) {
				sim.fatalf("rule 2: refusal of a job that may have run: %+v", j)
			}
		}
	}
	j.answers++
	j.closed = true
}

func (sim *simulation) checkPush(a action) {
	j, target := sim.jobs[a.job], sim.worker(a.worker)
	if j == nil || j.closed {
		sim.fatalf("rule 1: push of a finished or unknown job: %+v", a)
	}
	if target == nil {
		sim.fatalf("push to a worker that was never listed")
	}
	if informedAt, informed := sim.drainSeenAt[a.worker]; informed && sim.now > informedAt+sim.settings.DrainGrace {
		sim.fatalf("rule 3: push to worker %d, whose drain was announced at %d", a.worker, informedAt)
	}
	if len(j.attempts) >= sim.settings.MaxAttempts {
		sim.fatalf("attempt %d past the limit", len(j.attempts))
	}
	c := sim.settings.Classes[j.Class]
	if c.Kind >= 0 && c.Kind != target.Kind {
		sim.fatalf("push to a worker of the wrong kind")
	}
	for _, earlier := range j.attempts {
		if earlier.inFlight && !sim.settings.SecondCopies {
			sim.fatalf("rule 2: second copy though copies are not allowed")
		}
		if !earlier.mayHaveRun || c.Effect == Safe {
			continue
		}
		sameScope := c.Effect == Keyed && (c.Scope == ScopeAll || c.Scope == ScopeZone && earlier.worker.Zone == target.Zone ||
			c.Scope == ScopeCell && earlier.worker.Cell == target.Cell)
		if !sameScope || sim.now-earlier.pushedAt > c.MemorySpan {
			sim.fatalf("rule 2: repeat outside its scope or span: %+v to %+v", j, target)
		}
	}
	sim.pushes++
	end := sim.now + a.span
	if sim.rng.IntN(3) > 0 {
		end = sim.now + sim.rng.Int64N(second)
	}
	j.attempts = append(j.attempts, simulatedAttempt{worker: *target, pushedAt: sim.now, end: min(end, sim.now+a.span),
		inFlight: true, mayHaveRun: true})
}

func (sim *simulation) randomReport() Report {
	r := Report{Has: 255, InFlight: float64(sim.rng.IntN(9)), Queue: float64(sim.rng.IntN(3)),
		Errors: float64(sim.rng.IntN(2)), Served: 5 * sim.rng.Float64(), FreeMemory: 4 * sim.rng.Float64(), Util: sim.rng.Float64()}
	if sim.rng.Float64() < sim.roomChance {
		r.FreeSlots = 1 + 3*sim.rng.Float64()
	}
	r.Has &= sim.fields
	return r
}

// step advances the time by a random span, passes in the events that are due, and some random ones.
func (sim *simulation) step() {
	sim.now += 1 + sim.rng.Int64N(20*ms)
	kept := sim.timers[:0:0]
	due := []timer{}
	for _, tm := range sim.timers {
		if tm.at <= sim.now {
			due = append(due, tm)
		} else {
			kept = append(kept, tm)
		}
	}
	sim.timers = kept
	for _, tm := range due {
		sim.dispatcher.Wake(sim.now, tm.token)
		sim.handleActions()
	}
	sim.endAttempts()
	sim.answerProbes()
	for sim.listRequests > 0 {
		sim.listRequests--
		kind := ListDelta
		sim.watching = sim.rng.IntN(3) > 0
		if !sim.watching {
			kind = ListFailed
		}
		sim.dispatcher.Announce(sim.now, kind, nil)
		sim.handleActions()
	}
	if sim.rng.IntN(40) == 0 {
		sim.changeWorker()
	}
	if sim.settings.CanMessagePeers && sim.rng.IntN(30) == 0 {
		sim.dispatcher.PeerMessage(sim.now, sim.rng.IntN(9), []byte{0, 0, 0, 0, 0, 0, 0, byte(sim.rng.IntN(40))})
		sim.handleActions()
	}
	if sim.rng.IntN(400) == 0 { // all workers restart or drain at once, and the whole list is sent
		sim.replaceList(State(1 + sim.rng.IntN(2)))
	}
	if sim.rng.IntN(200) == 0 {
		sim.handOver()
	}
	sim.checkDeadlines()
}

// handOver replaces the dispatcher by another one that continues its jobs, as in an upgrade. The rules hold across both.
func (sim *simulation) handOver() {
	dispatcher, err := New(sim.settings, sim.rng.Uint64(), &sim.recorder)
	if err != nil {
		sim.t.Fatal(err)
	}
	sim.timers, sim.probes, sim.listRequests = nil, nil, 0
	dispatcher.Announce(sim.now, ListCached, sim.workers)
	want := sim.dispatcher.Learnt()
	dispatcher.Learn(sim.now, want)
	if got := dispatcher.Learnt(); !equalLearnt(got, want) {
		sim.fatalf("the new dispatcher has the state %+v, want %+v", got, want)
	}
	for _, j := range sim.openJobs {
		in, attempts, ok := sim.dispatcher.OpenJob(j.ID)
		if ok == j.closed {
			sim.fatalf("job %d: open in the dispatcher %v, closed in the simulation %v", j.ID, ok, j.closed)
		}
		if ok {
			dispatcher.Adopt(sim.now, in, attempts)
		}
	}
	sim.dispatcher = dispatcher
	sim.handleActions()
}

// equalLearnt compares two states, except for the order of workers and for workers that only one of them lists.
func equalLearnt(a, b Learnt) bool {
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

// answerProbes answers probes at random: most are served, some rejected or timed out.
func (sim *simulation) answerProbes() {
	kept := sim.probes[:0:0]
	for _, p := range sim.probes {
		status := Served
		switch sim.rng.IntN(12) {
		case 0:
			status = Full
		case 1, 2:
			if sim.now-p.at < 250*ms {
				kept = append(kept, p)
				continue
			}
			status = TimedOut
		}
		sim.dispatcher.ProbeResult(sim.now, p.worker, status, sim.now-p.at, sim.randomReport())
		sim.handleActions()
	}
	sim.probes = append(kept, sim.probes[len(sim.probes):]...)
}

// endAttempts ends the attempts that are due with a random status, and reports some starts.
func (sim *simulation) endAttempts() {
	for _, j := range sim.openJobs {
		for i := range j.attempts {
			attempt := &j.attempts[i]
			if !attempt.inFlight {
				continue
			}
			if attempt.end > sim.now {
				if sim.rng.IntN(20) == 0 {
					sim.dispatcher.Note(sim.now, j.ID, i, NoteStarted, 0)
					sim.handleActions()
				}
				continue
			}
			status := []Status{Served, Served, Served, Error, Full, Reset, ConnectFailed, TimedOut}[sim.rng.IntN(8)]
			if j.closed {
				status = Cancelled
			}
			attempt.inFlight, attempt.mayHaveRun = false, !status.NeverRan()
			if status == Served && !j.closed {
				j.closed = true
				j.answers++
			}
			sim.dispatcher.Outcome(sim.now, Outcome{Job: j.ID, Attempt: i, Worker: attempt.worker.ID, Status: status, Closed: j.closed})
			sim.handleActions()
		}
	}
}

// changeWorker drains, removes or restarts a random worker.
func (sim *simulation) changeWorker() {
	e := &sim.workers[sim.rng.IntN(len(sim.workers))]
	switch sim.rng.IntN(3) {
	case 0:
		e.State = Draining
	case 1:
		e.State = Gone
	case 2:
		e.State, e.StartedAt = Ready, sim.now-sim.rng.Int64N(second)
		delete(sim.drainSeenAt, e.ID)
	}
	if _, informed := sim.drainSeenAt[e.ID]; e.State != Ready && !informed {
		sim.drainSeenAt[e.ID] = sim.now
	}
	if sim.settings.MustAsk && !sim.watching {
		delete(sim.drainSeenAt, e.ID) // the dispatcher can't be informed yet; the announcement below informs it
	}
	sim.dispatcher.Announce(sim.now, ListDelta, []Worker{*e})
	if e.State != Ready {
		sim.drainSeenAt[e.ID] = sim.now
	}
	sim.handleActions()
}

// replaceList sets the state of all workers, as freshly started processes, and sends the whole list.
func (sim *simulation) replaceList(state State) {
	for i := range sim.workers {
		e := &sim.workers[i]
		e.State, e.StartedAt = state, sim.now-1
		if state == Ready {
			delete(sim.drainSeenAt, e.ID)
		} else if _, informed := sim.drainSeenAt[e.ID]; !informed {
			sim.drainSeenAt[e.ID] = sim.now
		}
	}
	sim.dispatcher.Announce(sim.now, ListFull, sim.workers)
	sim.handleActions()
}

// checkDeadlines checks that each job has its final answer in time, and forgets those that have ended.
func (sim *simulation) checkDeadlines() {
	kept := sim.openJobs[:0]
	for _, j := range sim.openJobs {
		if !j.closed && sim.now > j.GiveUpAt+sim.settings.AnswerSlack+25*ms { // a step takes up to 20 ms
			sim.fatalf("rule 1: no final answer by %d: %+v", j.GiveUpAt, j)
		}
		inFlight := false
		for _, a := range j.attempts {
			inFlight = inFlight || a.inFlight
		}
		if inFlight || !j.closed {
			kept = append(kept, j)
		}
	}
	sim.openJobs = kept
}

// arrive passes in a random job.
func (sim *simulation) arrive() {
	sim.nextJob++
	class := sim.rng.IntN(len(sim.settings.Classes))
	j := &simulatedJob{Job: Job{ID: sim.nextJob, Class: class, Slots: float64(int(1) << sim.rng.IntN(4)),
		Hint: sim.rng.Int64N(300 * ms), Memory: sim.rng.Float64(),
		GiveUpAt: sim.now + 1 + sim.rng.Int64N(sim.settings.Classes[class].Deadline)}}
	if len(sim.settings.Tenants) > 0 {
		j.Tenant = sim.rng.IntN(len(sim.settings.Tenants))
	}
	sim.jobs[j.ID] = j
	sim.openJobs = append(sim.openJobs, j)
	sim.dispatcher.Arrive(sim.now, j.Job)
	sim.handleActions()
}
