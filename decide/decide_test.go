package decide

import (
	"bufio"
	"math"
	"math/rand/v2"
	"os"
	"strings"
	"testing"
)

func newTestRand(seed uint64) func(n int) int {
	r := rand.New(rand.NewPCG(seed, 99))
	return r.IntN
}

const startTime = 1000 * second

// newDispatcher returns a dispatcher with the given ready workers, and the recorder of its actions.
func newDispatcher(t *testing.T, s Settings, workers ...Worker) (*Dispatcher, *recorder) {
	t.Helper()
	r := &recorder{}
	dispatcher, err := New(s, 1, r)
	if err != nil {
		t.Fatal(err)
	}
	for i := range workers {
		if workers[i].ID == 0 {
			workers[i].ID = WorkerID(i + 1)
		}
		workers[i].State = max(workers[i].State, Ready)
	}
	dispatcher.Announce(startTime, ListCached, workers)
	return dispatcher, r
}

func fleet(n int) []Worker { return make([]Worker, n) }

func freeSlots(n float64) Report { return Report{Has: HasFreeSlots, FreeSlots: n} }

// arrive passes in job 1 of a class and returns the probes that followed.
func arrive(dispatcher *Dispatcher, r *recorder, class int) []action {
	r.take("")
	dispatcher.Arrive(startTime, Job{ID: 1, Class: class, GiveUpAt: startTime + dispatcher.settings.Classes[class].Deadline})
	return r.take("probe")
}

// pushJob pushes job 1 to a worker: both workers of the pair answer, the first with more room.
func pushJob(t *testing.T, dispatcher *Dispatcher, r *recorder, class int) WorkerID {
	t.Helper()
	probes := arrive(dispatcher, r, class)
	for i, p := range probes {
		dispatcher.ProbeResult(startTime+ms, p.worker, Served, ms, freeSlots(float64(3-i)))
	}
	pushes := r.take("push")
	if len(pushes) != 1 || pushes[0].worker != probes[0].worker {
		t.Fatalf("pushes %+v after probes %+v", pushes, probes)
	}
	return pushes[0].worker
}

func countKind(actions []action, kind string) int {
	n := 0
	for _, a := range actions {
		if a.kind == kind {
			n++
		}
	}
	return n
}

// fireTimers fires the recorded timers of one purpose at the given time.
func fireTimers(dispatcher *Dispatcher, actions []action, purpose uint64, at Time) {
	for _, a := range actions {
		if a.kind == "wake" && a.token>>56 == purpose>>56 {
			dispatcher.Wake(at, a.token)
		}
	}
}

func TestDrawPushesToLessLoadedOfTwoDistinctWorkers(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(5)...)
	probes := arrive(dispatcher, r, 0)
	if len(probes) != 2 || probes[0].worker == probes[1].worker {
		t.Fatalf("probes %+v", probes)
	}
	dispatcher.ProbeResult(startTime+ms, probes[0].worker, Served, ms, freeSlots(1))
	if got := r.take("push"); len(got) != 0 {
		t.Fatal("pushed before both answered")
	}
	dispatcher.ProbeResult(startTime+2*ms, probes[1].worker, Served, 2*ms, freeSlots(2))
	if got := r.take("push"); len(got) != 1 || got[0].worker != probes[1].worker {
		t.Errorf("pushes %+v, want one to the worker with more free slots", got)
	}
}

func TestWorkerWithoutProbeAnswerIsNotChosen(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(5)...)
	dispatcher.Arrive(startTime, Job{ID: 1, GiveUpAt: startTime + 5*second})
	actions := r.take("")
	var probed []WorkerID
	for _, a := range actions {
		if a.kind == "probe" {
			probed = append(probed, a.worker)
		}
	}
	dispatcher.ProbeResult(startTime+ms, probed[1], Served, ms, freeSlots(1))
	fireTimers(dispatcher, actions, wakeProbes, startTime+probeTimeout)
	if got := r.take("push"); len(got) != 1 || got[0].worker != probed[1] {
		t.Errorf("pushes %+v, want one to the worker that answered", got)
	}
}

func TestNoRoomLeadsToBackoffAndRedraw(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(5)...)
	for _, p := range arrive(dispatcher, r, 0) {
		dispatcher.ProbeResult(startTime+ms, p.worker, Served, ms, freeSlots(0))
	}
	actions := r.take("")
	if countKind(actions, "push")+countKind(actions, "refuse") != 0 {
		t.Fatalf("actions %+v", actions)
	}
	fireTimers(dispatcher, actions, wakeRedraw, startTime+20*ms)
	if n := countKind(r.take(""), "probe"); n != 2 {
		t.Errorf("%d probes in the redraw", n)
	}
}

func TestJobNeedsFreeMemory(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(2)...)
	r.take("")
	dispatcher.Arrive(startTime, Job{ID: 1, Memory: 2, GiveUpAt: startTime + 5*second})
	for _, p := range r.take("probe") {
		dispatcher.ProbeResult(startTime+ms, p.worker, Served, ms, Report{Has: HasFreeSlots | HasFreeMemory, FreeSlots: 3, FreeMemory: 1})
	}
	if n := countKind(r.take(""), "push"); n != 0 {
		t.Error("pushed to a worker without enough memory")
	}
}

func TestSingleOrNoReadyWorker(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(1)...)
	if p := arrive(dispatcher, r, 0); len(p) != 1 {
		t.Fatalf("one worker: probes %+v", p)
	}
	dispatcher.ProbeResult(startTime+ms, 1, Served, ms, freeSlots(1))
	if got := r.take("push"); len(got) != 1 {
		t.Error("no push to the only worker, which has room")
	}
	for name, ws := range map[string][]Worker{"none": nil, "all draining": {{State: Draining}, {State: Draining}}} {
		dispatcher, r := newDispatcher(t, testSettings(), ws...)
		dispatcher.Arrive(startTime, Job{ID: 1, Class: 1, GiveUpAt: startTime + 5*second})
		for at := startTime; at < startTime+5*second; at += 50 * ms {
			actions := r.take("")
			if countKind(actions, "push")+countKind(actions, "probe") > 0 {
				t.Fatalf("%s: actions %+v", name, actions)
			}
			if countKind(actions, "refuse") == 1 {
				return
			}
			fireTimers(dispatcher, actions, wakeRedraw, at)
		}
		t.Errorf("%s: never answered", name)
	}
}

func TestPushWithoutProbes(t *testing.T) {
	s := testSettings()
	s.CanProbe = false
	dispatcher, r := newDispatcher(t, s, fleet(4)...)
	r.take("")
	dispatcher.Arrive(startTime, Job{ID: 1, GiveUpAt: startTime + 5*second})
	if actions := r.take(""); countKind(actions, "push") != 1 || countKind(actions, "probe") != 0 {
		t.Errorf("actions %+v", actions)
	}
}

func TestActionAfterOutcome(t *testing.T) {
	const safe, unsafe, keyed = 0, 1, 2
	for _, c := range []struct {
		name   string
		class  int
		status Status
		want   string // the action that follows at once, or "redraw"
	}{
		{"served", safe, Served, ""},
		{"safe error", safe, Error, "redraw"},
		{"unsafe error", unsafe, Error, "fail"},
		{"unsafe full never ran", unsafe, Full, "redraw"},
		{"unsafe no connection never ran", unsafe, ConnectFailed, "redraw"},
		{"unsafe not sent never ran", unsafe, NotSent, "redraw"},
		{"unsafe reset may have run", unsafe, Reset, "fail"},
		{"unsafe cancelled may have run", unsafe, Cancelled, "fail"},
		{"keyed reset", keyed, Reset, "redraw"},
		{"unsafe time-out", unsafe, TimedOut, "fail"},
		{"safe time-out", safe, TimedOut, "refuse"},
	} {
		dispatcher, r := newDispatcher(t, testSettings(), fleet(5)...)
		w := pushJob(t, dispatcher, r, c.class)
		dispatcher.Note(startTime+5*ms, 1, 0, NoteStarted, 0)
		r.take("")
		dispatcher.Outcome(startTime+50*ms, Outcome{Job: 1, Worker: w, Status: c.status, Closed: c.status == Served})
		actions := r.take("")
		finals := countKind(actions, "fail") + countKind(actions, "refuse")
		switch c.want {
		case "redraw":
			fireTimers(dispatcher, actions, wakeRedraw, startTime+100*ms)
			if finals != 0 || countKind(r.take(""), "probe") == 0 {
				t.Errorf("%s: %+v, want another draw", c.name, actions)
			}
		case "":
			if finals != 0 {
				t.Errorf("%s: %+v", c.name, actions)
			}
		default:
			if finals != 1 || countKind(actions, c.want) != 1 {
				t.Errorf("%s: %+v, want %s", c.name, actions, c.want)
			}
		}
	}
}

// A job whose start is overdue is hedged if it may be repeated, and not otherwise.
func TestOverdueStartHedgesRepeatableJobs(t *testing.T) {
	for class, hedges := range map[int]bool{0: true, 1: false, 2: true} {
		dispatcher, r := newDispatcher(t, testSettings(), fleet(6)...)
		probes := arrive(dispatcher, r, class)
		for _, p := range probes {
			dispatcher.ProbeResult(startTime+ms, p.worker, Served, ms, freeSlots(2))
		}
		actions := r.take("")
		fireTimers(dispatcher, actions, wakeStartDue, startTime+ms+startTimeout)
		if got := countKind(r.take(""), "probe") > 0; got != hedges {
			t.Errorf("class %d: hedged %v, want %v", class, got, hedges)
		}
		dispatcher.Note(startTime+150*ms, 1, 0, NoteStarted, 0)
		for _, w := range dispatcher.ready {
			if w.overdueStarts != 0 {
				t.Errorf("class %d: worker %d still counts as overdue after the start", class, w.ID)
			}
		}
	}
}

// Guards against incident i6ae661: a request for the watch that came shortly after another one was dropped, no further
// request followed, and the dispatcher was never informed of drains again.
func TestWatchIsRequestedUntilEstablished(t *testing.T) {
	settings := testSettings()
	settings.MustAsk, settings.AskWithin = true, 10*second
	dispatcher, r := newDispatcher(t, settings, fleet(3)...)
	now, lastRequest := startTime, startTime
	var timers []timer
	for now < startTime+200*second {
		now += 10 * ms
		for _, a := range r.take("") {
			switch a.kind {
			case "wake":
				timers = append(timers, timer{now + a.span, a.token})
			case "watch":
				lastRequest = now
				dispatcher.Announce(now, ListFailed, nil)
			}
		}
		kept := timers[:0:0]
		for _, tm := range timers {
			if tm.at <= now {
				dispatcher.Wake(now, tm.token)
			} else {
				kept = append(kept, tm)
			}
		}
		timers = kept
		if now-lastRequest > settings.AskWithin {
			t.Fatalf("no request of the watch for %d s", (now-lastRequest)/second)
		}
		if len(timers) > 50 {
			t.Fatal("requests of the watch accumulate")
		}
	}
}

// The price of a slot once started at a huge value if no job arrived in the first second.
func TestIdleStartSetsNoPrice(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(4)...)
	dispatcher.Wake(startTime+3*second, wakeWatch)
	dispatcher.Wake(startTime+5*second, wakeWatch)
	r.take("")
	dispatcher.Arrive(startTime+6*second, Job{ID: 1, GiveUpAt: startTime + 11*second})
	for _, p := range r.take("probe") {
		dispatcher.ProbeResult(startTime+6*second, p.worker, Served, 0, freeSlots(4))
	}
	if len(r.take("push")) != 1 {
		t.Error("the first job of an idle fleet was not pushed")
	}
}

// A price that short jobs had set once kept out all longer jobs that came after them. Without draws no job started, and no
// start lowered the price: an idle fleet refused everything for most of a minute. The price stays up only while an open job
// can pay it.
func TestPriceIsBoundedByOpenJobs(t *testing.T) {
	for _, canPay := range []bool{false, true} {
		dispatcher, r := newDispatcher(t, testSettings(), fleet(4)...)
		probe := func(now Time) (pushed int) {
			for _, p := range r.take("probe") {
				dispatcher.ProbeResult(now, p.worker, Served, 0, freeSlots(4))
			}
			return len(r.take("push"))
		}
		now, pushed := startTime, 0
		dispatcher.Arrive(now, Job{ID: 1, GiveUpAt: now + 60*second})
		if canPay { // the job stays open throughout
			j := dispatcher.jobs[1]
			dispatcher.price = dispatcher.slotValue(j)
		}
		probe(now)
		value := dispatcher.slotValue(dispatcher.jobs[1])
		if !canPay {
			dispatcher.Outcome(now, Outcome{Job: 1, Worker: 1, Status: Served})
			dispatcher.Hangup(now, 1)
			dispatcher.price = 300 * value
		}
		for id := uint32(2); id < 40; id++ {
			now += 100 * ms
			dispatcher.Arrive(now, Job{ID: id, GiveUpAt: now + 5*second})
			pushed += probe(now)
		}
		if pushed < 20 {
			t.Errorf("open job can pay %v: %d of 38 jobs pushed in 4 s though slots are free", canPay, pushed)
		}
		if canPay && dispatcher.price < value/2 {
			t.Errorf("an open job can pay the price, but it fell from %v to %v", value, dispatcher.price)
		}
	}
}

// Under scarcity the job of less value for its work yields: a draw without room raises the price by the recent share of such
// draws, and only for a job that can pay it. The price once rose with late starts instead, which found no scarcity where
// queues are short.
func TestPriceRisesOnlyUnderScarcity(t *testing.T) {
	dispatcher, _ := newDispatcher(t, testSettings(), fleet(4)...)
	drawWithoutRoom := func(class int) float64 {
		j := dispatcher.newJob(Job{ID: uint32(len(dispatcher.jobs) + 1), Class: class, GiveUpAt: dispatcher.now + 5*second})
		dispatcher.estimate(j)
		j.pair[0], j.answered[0] = dispatcher.workers[1], true
		j.reports[0] = freeSlots(0)
		before := dispatcher.price
		dispatcher.resolveDraw(j)
		return dispatcher.price / before
	}
	if factor := drawWithoutRoom(2); factor > 1.01 {
		t.Errorf("the price rose %v times with free slots everywhere", factor)
	}
	dispatcher.noRoomShare = 1
	if factor := drawWithoutRoom(2); factor < 1.1 {
		t.Errorf("the price rose only %v times though slots are contended", factor)
	}
	silent := dispatcher.newJob(Job{ID: 80, Class: 2, GiveUpAt: dispatcher.now + 5*second})
	dispatcher.estimate(silent)
	silent.pair[0] = dispatcher.workers[1]
	before := dispatcher.price
	if dispatcher.resolveDraw(silent); dispatcher.price != before {
		t.Error("the price changed after a lost probe")
	}
	dispatcher.price = 1e6
	if factor := drawWithoutRoom(2); factor != 1 {
		t.Errorf("the price rose %v times for a job that can't pay it", factor)
	}
	j := dispatcher.newJob(Job{ID: 90, GiveUpAt: dispatcher.now + second})
	dispatcher.push(j, dispatcher.workers[2], 0)
	if dispatcher.Note(dispatcher.now, 90, 0, NoteStarted, 0); dispatcher.price >= 1e6 {
		t.Error("a start in time did not lower the price")
	}
}

// A full list after a cached one once duplicated every entry.
func TestFullListDoesNotDuplicate(t *testing.T) {
	dispatcher, _ := newDispatcher(t, testSettings(), Worker{ID: 1}, Worker{ID: 2}, Worker{ID: 3})
	for range 3 {
		dispatcher.Announce(startTime, ListFull, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Draining}})
	}
	if len(dispatcher.ready) != 1 || len(dispatcher.listed) != 2 || len(dispatcher.workers) != 2 {
		t.Errorf("ready %d listed %d known %d", len(dispatcher.ready), len(dispatcher.listed), len(dispatcher.workers))
	}
	dispatcher.Announce(startTime, ListDelta, []Worker{{ID: 2, State: Ready}})
	if len(dispatcher.ready) != 2 {
		t.Error("a drained worker that is ready again is not drawn")
	}
}

// With a shared cause all workers look bad; ejecting all of them would leave none to draw.
func TestEjectionIsLimitedOnASharedCause(t *testing.T) {
	dispatcher, _ := newDispatcher(t, testSettings(), fleet(10)...)
	for _, w := range dispatcher.ready {
		dispatcher.eject(w)
	}
	ejected := 0
	for _, w := range dispatcher.ready {
		if w.ejectedUntil > dispatcher.now {
			ejected++
		}
	}
	if ejected == 0 || ejected > 4 {
		t.Errorf("%d of 10 ejected", ejected)
	}
}

func TestUnknownEventsAreIgnored(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(3)...)
	w := pushJob(t, dispatcher, r, 1)
	r.take("")
	dispatcher.Outcome(startTime, Outcome{Job: 99, Status: Error})
	dispatcher.Outcome(startTime, Outcome{Job: 1, Attempt: 7, Status: Error})
	dispatcher.Outcome(startTime, Outcome{Job: 1, Attempt: -1, Status: Error})
	dispatcher.Note(startTime, 1, 5, NoteStarted, 0)
	dispatcher.Note(startTime, 55, 0, NoteProgress, math.NaN())
	dispatcher.ProbeResult(startTime, 77, Served, 0, freeSlots(3))
	dispatcher.ProbeResult(startTime, w, Served, 0, freeSlots(math.Inf(1)))
	dispatcher.Hangup(startTime, 1234)
	dispatcher.PeerMessage(startTime, 3, []byte{1, 2, 3})
	dispatcher.StreamStarted(startTime, 8, 0)
	for _, purpose := range []uint64{wakeGiveUp, wakeProbes, wakeRedraw, wakeStartDue, 200 << 56} {
		dispatcher.Wake(startTime, purpose|77)
	}
	dispatcher.Wake(startTime, wakeRedraw|9<<32|1)
	if actions := r.take(""); len(actions) != 0 {
		t.Errorf("actions %+v", actions)
	}
	dispatcher.Outcome(startTime+ms, Outcome{Job: 1, Worker: w, Status: Served, Closed: true})
	dispatcher.Outcome(startTime+ms, Outcome{Job: 1, Worker: w, Status: Error})
	dispatcher.Arrive(startTime+ms, Job{ID: 2, Class: 50, GiveUpAt: startTime + second})
	dispatcher.Arrive(startTime+ms, Job{ID: 3, Slots: math.NaN(), Memory: math.Inf(1), GiveUpAt: startTime + second})
	if actions := r.take(""); countKind(actions, "refuse") != 1 {
		t.Errorf("actions %+v", actions)
	}
}

func TestNewNamesTheBadSetting(t *testing.T) {
	for key, corrupt := range map[string]func(*Settings){
		"balancers":    func(s *Settings) { s.Nodes = 0 },
		"zone":         func(s *Settings) { s.Zone = 9 },
		"classes":      func(s *Settings) { s.Classes = nil },
		"max_attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"cold_from":    func(s *Settings) { s.ColdFrom = 2 },
		"ask_within":   func(s *Settings) { s.MustAsk = true },
		"classes.2":    func(s *Settings) { s.Classes[2].MemorySpan = 0 },
	} {
		s := testSettings()
		corrupt(&s)
		if _, err := New(s, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v", key, err)
		}
	}
}

// The decision file is read aloud after outages, so it has at most 630 non-blank lines of at most 110 characters.
func TestDecisionFileStaysShort(t *testing.T) {
	file, err := os.Open("decide.go")
	if err != nil {
		t.Fatal(err)
	}
	defer file.Close()
	lines, n := 0, 0
	for scanner := bufio.NewScanner(file); scanner.Scan(); {
		n++
		if strings.TrimSpace(scanner.Text()) != "" {
			lines++
		}
		if len([]rune(scanner.Text())) > 110 {
			t.Errorf("line %d is longer than 110 characters", n)
		}
	}
	if lines > 630 || lines < 100 {
		t.Errorf("%d lines", lines)
	}
}

// A refusal carries a Retry-After up to the maximum that the clients respect, and none if they respect none. Without it a
// client that is refused at once would retry at once against a full fleet.
func TestRefusalCarriesRetryAfter(t *testing.T) {
	for _, respected := range []Time{0, 300 * ms, 60 * second} {
		s := testSettings()
		s.MaxRetryAfter = respected
		dispatcher, r := newDispatcher(t, s) // without workers the job is refused
		arrive(dispatcher, r, 0)
		dispatcher.Wake(startTime+second, wakeGiveUp|1)
		actions := r.take("refuse")
		if want := min(retryAfter, respected); len(actions) != 1 || actions[0].span != want {
			t.Errorf("clients respect %d: %+v, want a Retry-After of %d", respected, actions, want)
		}
	}
}
