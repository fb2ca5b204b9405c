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

const start = 1000 * second

func newNode(t *testing.T, s Settings, workers ...Worker) (*Dispatcher, *recorder) {
	t.Helper()
	r := &recorder{}
	d, err := New(s, 1, r)
	if err != nil {
		t.Fatal(err)
	}
	for i := range workers {
		if workers[i].ID == 0 {
			workers[i].ID = WorkerID(i + 1)
		}
		workers[i].State = max(workers[i].State, Ready)
	}
	d.Announce(start, ListCached, workers)
	return d, r
}

func fleet(n int) []Worker { return make([]Worker, n) }

func free(n float64) Report { return Report{Has: HasFreeSlots, FreeSlots: n} }

// arrive hands in job 1 of a class and returns the probes it led to.
func arrive(d *Dispatcher, r *recorder, class int) []action {
	r.take("")
	d.Arrive(start, Job{ID: 1, Class: class, GiveUpAt: start + d.s.Classes[class].Deadline})
	return r.take("probe")
}

// pushTo brings job 1 onto a worker: both of the pair answer, the first with more room.
func pushTo(t *testing.T, d *Dispatcher, r *recorder, class int) WorkerID {
	t.Helper()
	probes := arrive(d, r, class)
	for i, p := range probes {
		d.ProbeResult(start+ms, p.worker, Served, ms, free(float64(3-i)))
	}
	pushes := r.take("push")
	if len(pushes) != 1 || pushes[0].worker != probes[0].worker {
		t.Fatalf("pushes %+v after probes %+v", pushes, probes)
	}
	return pushes[0].worker
}

func count(acts []action, kind string) int {
	n := 0
	for _, a := range acts {
		if a.kind == kind {
			n++
		}
	}
	return n
}

// wakeAll fires the timers asked for, at the latest of their times.
func wake(d *Dispatcher, acts []action, purpose uint64, at Time) {
	for _, a := range acts {
		if a.kind == "wake" && a.token>>56 == purpose>>56 {
			d.Wake(at, a.token)
		}
	}
}

func TestPairIsDistinctProbedAndLighterWins(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(5)...)
	probes := arrive(d, r, 0)
	if len(probes) != 2 || probes[0].worker == probes[1].worker {
		t.Fatalf("probes %+v", probes)
	}
	d.ProbeResult(start+ms, probes[0].worker, Served, ms, free(1))
	if got := r.take("push"); len(got) != 0 {
		t.Fatal("pushed before both answered")
	}
	d.ProbeResult(start+2*ms, probes[1].worker, Served, 2*ms, free(2))
	if got := r.take("push"); len(got) != 1 || got[0].worker != probes[1].worker {
		t.Errorf("pushes %+v, wanted the one with more free slots", got)
	}
}

func TestMissedProbeLosesThePair(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(5)...)
	d.Arrive(start, Job{ID: 1, GiveUpAt: start + 5*second})
	acts := r.take("")
	var probed []WorkerID
	for _, a := range acts {
		if a.kind == "probe" {
			probed = append(probed, a.worker)
		}
	}
	d.ProbeResult(start+ms, probed[1], Served, ms, free(1))
	wake(d, acts, wakeProbes, start+probeWait)
	if got := r.take("push"); len(got) != 1 || got[0].worker != probed[1] {
		t.Errorf("pushes %+v", got)
	}
}

func TestNoRoomHoldsAndDrawsAgain(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(5)...)
	for _, p := range arrive(d, r, 0) {
		d.ProbeResult(start+ms, p.worker, Served, ms, free(0))
	}
	acts := r.take("")
	if count(acts, "push")+count(acts, "refuse") != 0 {
		t.Fatalf("acts %+v", acts)
	}
	wake(d, acts, wakeRedraw, start+20*ms)
	if n := count(r.take(""), "probe"); n != 2 {
		t.Errorf("%d probes in the redraw", n)
	}
}

func TestMemoryCountsAsRoom(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(2)...)
	r.take("")
	d.Arrive(start, Job{ID: 1, Memory: 2, GiveUpAt: start + 5*second})
	for _, p := range r.take("probe") {
		d.ProbeResult(start+ms, p.worker, Served, ms, Report{Has: HasFreeSlots | HasFreeMemory, FreeSlots: 3, FreeMemory: 1})
	}
	if n := count(r.take(""), "push"); n != 0 {
		t.Error("pushed where its memory does not fit")
	}
}

func TestFewWorkers(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(1)...)
	if p := arrive(d, r, 0); len(p) != 1 {
		t.Fatalf("one worker: probes %+v", p)
	}
	d.ProbeResult(start+ms, 1, Served, ms, free(1))
	if got := r.take("push"); len(got) != 1 {
		t.Error("one worker with room: no push")
	}
	for name, ws := range map[string][]Worker{"none": nil, "all draining": {{State: Draining}, {State: Draining}}} {
		d, r := newNode(t, testSettings(), ws...)
		d.Arrive(start, Job{ID: 1, Class: 1, GiveUpAt: start + 5*second})
		for at := start; at < start+5*second; at += 50 * ms {
			acts := r.take("")
			if count(acts, "push")+count(acts, "probe") > 0 {
				t.Fatalf("%s: acts %+v", name, acts)
			}
			if count(acts, "refuse") == 1 {
				return
			}
			wake(d, acts, wakeRedraw, at)
		}
		t.Errorf("%s: never answered", name)
	}
}

func TestWithoutProbesAPairIsStillDrawn(t *testing.T) {
	s := testSettings()
	s.CanProbe = false
	d, r := newNode(t, s, fleet(4)...)
	r.take("")
	d.Arrive(start, Job{ID: 1, GiveUpAt: start + 5*second})
	if acts := r.take(""); count(acts, "push") != 1 || count(acts, "probe") != 0 {
		t.Errorf("acts %+v", acts)
	}
}

func TestOutcomes(t *testing.T) {
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
		{"unsafe moot never ran", unsafe, NotSent, "redraw"},
		{"unsafe reset may have run", unsafe, Reset, "fail"},
		{"unsafe cancelled may have run", unsafe, Cancelled, "fail"},
		{"keyed reset", keyed, Reset, "redraw"},
		{"unsafe time-out", unsafe, TimedOut, "fail"},
		{"safe time-out", safe, TimedOut, "refuse"},
	} {
		d, r := newNode(t, testSettings(), fleet(5)...)
		w := pushTo(t, d, r, c.class)
		d.Note(start+5*ms, 1, 0, NoteStarted, 0)
		r.take("")
		d.Outcome(start+50*ms, Outcome{Job: 1, Worker: w, Status: c.status, Closed: c.status == Served})
		acts := r.take("")
		finals := count(acts, "fail") + count(acts, "refuse")
		switch c.want {
		case "redraw":
			wake(d, acts, wakeRedraw, start+100*ms)
			if finals != 0 || count(r.take(""), "probe") == 0 {
				t.Errorf("%s: %+v, wanted another draw", c.name, acts)
			}
		case "":
			if finals != 0 {
				t.Errorf("%s: %+v", c.name, acts)
			}
		default:
			if finals != 1 || count(acts, c.want) != 1 {
				t.Errorf("%s: %+v, wanted %s", c.name, acts, c.want)
			}
		}
	}
}

// A start overdue hedges what may be repeated and leaves alone what may not.
func TestOverdueStart(t *testing.T) {
	for class, hedges := range map[int]bool{0: true, 1: false, 2: true} {
		d, r := newNode(t, testSettings(), fleet(6)...)
		probes := arrive(d, r, class)
		for _, p := range probes {
			d.ProbeResult(start+ms, p.worker, Served, ms, free(2))
		}
		acts := r.take("")
		wake(d, acts, wakeStart, start+ms+startSoon)
		if got := count(r.take(""), "probe") > 0; got != hedges {
			t.Errorf("class %d: hedged %v, wanted %v", class, got, hedges)
		}
		d.Note(start+150*ms, 1, 0, NoteStarted, 0)
		for _, w := range d.ready {
			if w.late != 0 {
				t.Errorf("class %d: worker %d still held late after its start", class, w.ID)
			}
		}
	}
}

// Incident i6ae661: an ask that fell close behind another was dropped, nothing asked again, and the node
// went deaf to drains.
func TestAsksGoOnUntilAnswered(t *testing.T) {
	s := testSettings()
	s.MustAsk, s.AskWithin = true, 10*second
	d, r := newNode(t, s, fleet(3)...)
	now, lastAsk := start, start
	var timers []timer
	for now < start+200*second {
		now += 10 * ms
		for _, a := range r.take("") {
			switch a.kind {
			case "wake":
				timers = append(timers, timer{now + a.span, a.token})
			case "watch":
				lastAsk = now
				d.Announce(now, ListFailed, nil)
			}
		}
		keep := timers[:0:0]
		for _, tm := range timers {
			if tm.at <= now {
				d.Wake(now, tm.token)
			} else {
				keep = append(keep, tm)
			}
		}
		timers = keep
		if now-lastAsk > s.AskWithin {
			t.Fatalf("no ask for %d s", (now-lastAsk)/second)
		}
		if len(timers) > 50 {
			t.Fatal("asks pile up")
		}
	}
}

// The price of a slot once began at a huge figure when the first second held no job.
func TestIdleStartSetsNoPrice(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(4)...)
	d.Wake(start+3*second, wakeAsk)
	d.Wake(start+5*second, wakeAsk)
	r.take("")
	d.Arrive(start+6*second, Job{ID: 1, GiveUpAt: start + 11*second})
	for _, p := range r.take("probe") {
		d.ProbeResult(start+6*second, p.worker, Served, 0, free(4))
	}
	if len(r.take("push")) != 1 {
		t.Error("the first job of an idle fleet was not pushed")
	}
}

// A price from when jobs were short once kept out all that came after one that ran long: nobody drew, so nobody started and
// showed that slots are to be had, and an idle fleet refused everything for most of a minute. Jobs that could pay it hold it.
func TestPriceFollowsWhatIsInHand(t *testing.T) {
	for _, dear := range []bool{false, true} {
		d, r := newNode(t, testSettings(), fleet(4)...)
		probe := func(now Time) (pushed int) {
			for _, p := range r.take("probe") {
				d.ProbeResult(now, p.worker, Served, 0, free(4))
			}
			return len(r.take("push"))
		}
		now, pushed := start, 0
		d.Arrive(now, Job{ID: 1, GiveUpAt: now + 60*second})
		if dear { // it is in hand all along
			j := d.jobs[1]
			d.price = d.value(j)
		}
		probe(now)
		value := d.value(d.jobs[1])
		if !dear {
			d.Outcome(now, Outcome{Job: 1, Worker: 1, Status: Served})
			d.Hangup(now, 1)
			d.price = 300 * value
		}
		for id := uint32(2); id < 40; id++ {
			now += 100 * ms
			d.Arrive(now, Job{ID: id, GiveUpAt: now + 5*second})
			pushed += probe(now)
		}
		if pushed < 20 {
			t.Errorf("dear %v: %d of 38 jobs pushed in 4 s though slots are free", dear, pushed)
		}
		if dear && d.price < value/2 {
			t.Errorf("a job that pays it is in hand, and the price fell from %v to %v", value, d.price)
		}
	}
}

// Under scarcity the job worth less for its work yields: a draw without room raises the price as far as draws found
// none lately, and only for a job that can pay it. Late starts once did, and found no scarcity where queues are short.
func TestPriceNeedsScarcity(t *testing.T) {
	d, _ := newNode(t, testSettings(), fleet(4)...)
	full := func(class int) float64 {
		j := d.newJob(Job{ID: uint32(len(d.jobs) + 1), Class: class, GiveUpAt: d.now + 5*second})
		d.appraise(j)
		j.pair[0], j.answered[0] = d.workers[1], true
		j.load[0] = free(0)
		before := d.price
		d.settle(j)
		return d.price / before
	}
	if up := full(2); up > 1.01 {
		t.Errorf("the price rises %v times with slots free everywhere", up)
	}
	d.busy = 1
	if up := full(2); up < 1.1 {
		t.Errorf("the price rises %v times though slots are contended", up)
	}
	silent := d.newJob(Job{ID: 80, Class: 2, GiveUpAt: d.now + 5*second})
	d.appraise(silent)
	silent.pair[0] = d.workers[1]
	before := d.price
	if d.settle(silent); d.price != before {
		t.Error("silence says nothing of slots")
	}
	d.price = 1e6
	if up := full(2); up != 1 {
		t.Errorf("the price rises %v times for a job that can't pay it", up)
	}
	j := d.newJob(Job{ID: 90, GiveUpAt: d.now + second})
	d.push(j, d.workers[2], 0)
	if d.Note(d.now, 90, 0, NoteStarted, 0); d.price >= 1e6 {
		t.Error("a start in time lowers it")
	}
}

// A full list after a cached one once doubled every entry.
func TestFullListDoesNotDuplicate(t *testing.T) {
	d, _ := newNode(t, testSettings(), Worker{ID: 1}, Worker{ID: 2}, Worker{ID: 3})
	for range 3 {
		d.Announce(start, ListFull, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Draining}})
	}
	if len(d.ready) != 1 || len(d.listed) != 2 || len(d.workers) != 2 {
		t.Errorf("ready %d listed %d known %d", len(d.ready), len(d.listed), len(d.workers))
	}
	d.Announce(start, ListDelta, []Worker{{ID: 2, State: Ready}})
	if len(d.ready) != 2 {
		t.Error("a drained worker that is ready again is not drawn")
	}
}

// A shared cause makes the whole fleet look bad; ejecting it all would leave nothing to draw.
func TestEjectionSparesTheFleetOnASharedCause(t *testing.T) {
	d, _ := newNode(t, testSettings(), fleet(10)...)
	for _, w := range d.ready {
		d.eject(w)
	}
	bad := 0
	for _, w := range d.ready {
		if w.badUntil > d.now {
			bad++
		}
	}
	if bad == 0 || bad > 4 {
		t.Errorf("%d of 10 ejected", bad)
	}
}

func TestStrayEventsDoNothing(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(3)...)
	w := pushTo(t, d, r, 1)
	r.take("")
	d.Outcome(start, Outcome{Job: 99, Status: Error})
	d.Outcome(start, Outcome{Job: 1, Attempt: 7, Status: Error})
	d.Outcome(start, Outcome{Job: 1, Attempt: -1, Status: Error})
	d.Note(start, 1, 5, NoteStarted, 0)
	d.Note(start, 55, 0, NoteProgress, math.NaN())
	d.ProbeResult(start, 77, Served, 0, free(3))
	d.ProbeResult(start, w, Served, 0, free(math.Inf(1)))
	d.Hangup(start, 1234)
	d.PeerMessage(start, 3, []byte{1, 2, 3})
	d.StreamStarted(start, 8, 0)
	for _, purpose := range []uint64{wakeGiveUp, wakeProbes, wakeRedraw, wakeStart, 200 << 56} {
		d.Wake(start, purpose|77)
	}
	d.Wake(start, wakeRedraw|9<<32|1)
	if acts := r.take(""); len(acts) != 0 {
		t.Errorf("acts %+v", acts)
	}
	d.Outcome(start+ms, Outcome{Job: 1, Worker: w, Status: Served, Closed: true})
	d.Outcome(start+ms, Outcome{Job: 1, Worker: w, Status: Error})
	d.Arrive(start+ms, Job{ID: 2, Class: 50, GiveUpAt: start + second})
	d.Arrive(start+ms, Job{ID: 3, Slots: math.NaN(), Memory: math.Inf(1), GiveUpAt: start + second})
	if acts := r.take(""); count(acts, "refuse") != 1 {
		t.Errorf("acts %+v", acts)
	}
}

func TestNewNamesTheBadSetting(t *testing.T) {
	for key, spoil := range map[string]func(*Settings){
		"balancers":    func(s *Settings) { s.Nodes = 0 },
		"zone":         func(s *Settings) { s.Zone = 9 },
		"classes":      func(s *Settings) { s.Classes = nil },
		"max_attempts": func(s *Settings) { s.MaxAttempts = 0 },
		"cold_from":    func(s *Settings) { s.ColdFrom = 2 },
		"ask_within":   func(s *Settings) { s.MustAsk = true },
		"classes.2":    func(s *Settings) { s.Classes[2].MemorySpan = 0 },
	} {
		s := testSettings()
		spoil(&s)
		if _, err := New(s, 1, &recorder{}); err == nil || !strings.Contains(err.Error(), key) {
			t.Errorf("%s: error %v", key, err)
		}
	}
}

// The policy file is read aloud after outages: at most 630 lines that are not blank, of at most 110 characters.
func TestPolicyFileStaysReadable(t *testing.T) {
	f, err := os.Open("decide.go")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines, n := 0, 0
	for sc := bufio.NewScanner(f); sc.Scan(); {
		n++
		if strings.TrimSpace(sc.Text()) != "" {
			lines++
		}
		if len([]rune(sc.Text())) > 110 {
			t.Errorf("line %d is longer than 110 characters", n)
		}
	}
	if lines > 630 || lines < 100 {
		t.Errorf("%d lines", lines)
	}
}

// A refused client is told when to come back, within what the site's clients respect, and nothing where they
// respect nothing: without it the answer, given at once, brings the client straight back to a full fleet.
func TestARefusalSaysWhenToComeBack(t *testing.T) {
	for _, respected := range []Time{0, 300 * ms, 60 * second} {
		s := testSettings()
		s.MaxRetryAfter = respected
		d, r := newNode(t, s) // no worker: nothing can be done
		arrive(d, r, 0)
		d.Wake(start+second, wakeGiveUp|1)
		acts := r.take("refuse")
		if want := min(comeBack, respected); len(acts) != 1 || acts[0].span != want {
			t.Errorf("clients respect %d: %+v, want a wait of %d", respected, acts, want)
		}
	}
}
