package decide

import "testing"

// Incident i784a17: in a large fleet every node had to meet each fast-failing worker itself.
func TestTwoComplaintsAreBelieved(t *testing.T) {
	s := testSettings()
	s.CanMessagePeers = true
	d, r := newNode(t, s, fleet(10)...)
	msg := []byte{0, 0, 0, 0, 0, 0, 0, 3}
	d.PeerMessage(start, 1, msg)
	if d.workers[3].badUntil > start {
		t.Error("one complaint was believed")
	}
	d.PeerMessage(start+second, 2, msg)
	if d.workers[3].badUntil <= start {
		t.Error("two complaints were not believed")
	}
	d.PeerMessage(start, 2, []byte("garbage"))
	d.PeerMessage(start, 2, []byte{9, 9, 9, 9, 9, 9, 9, 9})
	r.take("")
	d.eject(d.workers[5])
	if n := count(r.take(""), "tell"); n != 1 {
		t.Errorf("%d complaints sent", n)
	}
	s.CanMessagePeers = false
	d, r = newNode(t, s, fleet(10)...)
	d.eject(d.workers[5])
	if n := count(r.take(""), "tell"); n != 0 {
		t.Error("told peers where that is not allowed")
	}
}

// A worker that failed is tried with what may be repeated before an unsafe job is risked on it.
func TestEjectedWorkerIsTriedWithRepeatableJobs(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(10)...)
	w := d.workers[1]
	d.eject(w)
	d.now = w.badUntil + 1
	unsafe, safe := &job{class: &d.s.Classes[1]}, &job{class: &d.s.Classes[0]}
	if d.usable(unsafe, w) || !d.usable(safe, w) {
		t.Error("the trial goes to the wrong kind of job")
	}
	w.level = 0
	if !d.usable(unsafe, w) {
		t.Error("a worker that served stays shut")
	}
	s := testSettings()
	s.Classes = s.Classes[1:2]
	d, _ = newNode(t, s, fleet(10)...)
	d.eject(d.workers[1])
	d.now = d.workers[1].badUntil + 1
	if !d.usable(&job{class: &d.s.Classes[0]}, d.workers[1]) {
		t.Error("with unsafe classes alone an ejected worker never returns")
	}
	_ = r
}

// Where a report stands for a second, a second copy is aimed no better than the first.
func TestNoSecondCopyByOldReports(t *testing.T) {
	for every, want := range map[Time]bool{100 * ms: true, 1000 * ms: false} {
		d, _ := newNode(t, testSettings(), fleet(3)...)
		w := d.workers[1]
		for i := range Time(300) {
			d.now += 50 * ms
			w.out++ // something of ours is new there
			d.learnLag(w, free(1+float64(i*50*ms/every%7)/10))
		}
		j := &job{class: &d.s.Classes[0], attempts: []attempt{{w: w, out: true}}}
		if d.overdue(j, 0); j.drawing != want {
			t.Errorf("reports every %d ms: second copies %v", every/ms, !want)
		}
	}
}

// A machine that lost its cores to another program shows free slots, and is slow to answer a probe.
func TestSlowWorkerIsPassedOver(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(2)...)
	for range 50 {
		d.learnEcho(d.workers[1], ms)
	}
	d.runs[0] = float64(200 * ms)
	probes := arrive(d, r, 0)
	d.ProbeResult(start+ms, probes[0].worker, Served, ms, free(1))
	d.ProbeResult(start+8*ms, probes[1].worker, Served, 8*ms, free(3))
	if got := r.take("push"); len(got) != 1 || got[0].worker != probes[0].worker {
		t.Errorf("pushes %+v, wanted the quick worker", got)
	}
}

// Incident i59d148: a wide job that does not fit waits at the head of the queue and blocks its worker.
func TestWideJobNeedsAllItsSlots(t *testing.T) {
	d, _ := newNode(t, testSettings(), fleet(2)...)
	j := &job{Job: Job{Slots: 4}, class: &d.s.Classes[0]}
	if _, _, fits := d.room(j, d.workers[1], free(3.4)); fits {
		t.Error("four slots in 3.4")
	}
	if _, _, fits := d.room(j, d.workers[1], free(3.6)); !fits {
		t.Error("reports are noisy: every other idle worker of four slots shows 3.9 or less")
	}
	j.Slots = 1
	if _, _, fits := d.room(j, d.workers[1], free(0.7)); !fits {
		t.Error("reports are noisy: 0.7 free slots are one")
	}
}

// An idle worker once looked too small for a wide job by the noise of its report.
func TestIdleWorkerHasAllItsSlots(t *testing.T) {
	d, _ := newNode(t, testSettings(), fleet(1)...)
	w, j := d.workers[1], &job{Job: Job{Slots: 4}, class: &d.s.Classes[0]}
	idle := Report{Has: HasFreeSlots | HasInFlight}
	for _, shown := range []float64{4.4, 3.6, 4} {
		idle.FreeSlots = shown
		d.learnLag(w, idle)
	}
	idle.FreeSlots = 3.1
	if _, _, fits := d.room(j, w, idle); !fits {
		t.Errorf("nothing runs there, and it has %.1f slots", w.size)
	}
	idle.InFlight = 1
	if _, _, fits := d.room(j, w, idle); fits {
		t.Error("something runs there")
	}
}

// Redraws once asked workers again that a probe had just shown full, at the price of a probe and of their work,
// and workers whose slots our own jobs take up: half of all probes were made for wide jobs that had no chance.
func TestNoProbeWithoutAChance(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(2)...)
	for _, p := range arrive(d, r, 0) {
		d.ProbeResult(start+ms, p.worker, Served, ms, free(0))
	}
	timers := r.take("wake")
	wake(d, timers, wakeRedraw, start+50*ms)
	if probes := r.take("probe"); len(probes) != 0 {
		t.Errorf("probes %+v of workers just seen full", probes)
	}
	d.Arrive(start+2*tightSpan, Job{ID: 2, GiveUpAt: start + 5*second})
	if probes := r.take("probe"); len(probes) != 2 {
		t.Errorf("probes %+v when that is long ago", probes)
	}
	for _, w := range d.ready {
		w.tightUntil, w.size, w.held = 0, 4, 3
	}
	for slots, want := range map[float64]int{1: 2, 2: 0} {
		d.Arrive(start+2*tightSpan, Job{ID: 10 + uint32(slots), Slots: slots, GiveUpAt: start + 5*second})
		if probes := r.take("probe"); len(probes) != want {
			t.Errorf("%g slots where ours hold 3 of 4: probes %+v", slots, probes)
		}
	}
}

// A tight price keeps probes off workers too, and lets a job of high worth through.
func TestPriceSparesProbes(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(4)...)
	d.price = 1e6
	if probes := arrive(d, r, 0); len(probes) != 0 {
		t.Errorf("probes %+v for a job that can't afford a slot", probes)
	}
	d.price = 1e-3
	d.Arrive(start, Job{ID: 2, GiveUpAt: start + 5*second})
	if n := count(r.take(""), "probe"); n != 2 {
		t.Errorf("%d probes", n)
	}
}

// Late reports and fast failures at once, a cut zone, and most workers silent: the job still ends in time and
// recovery needs nobody.
func TestRecoveryUnaided(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(10)...)
	now := start
	for id := uint32(1); id <= 40; id++ { // nothing answers
		d.Arrive(now, Job{ID: id, Class: 1, GiveUpAt: now + 5*second})
		for _, a := range r.take("probe") {
			d.ProbeResult(now+250*ms, a.worker, TimedOut, 250*ms, Report{})
		}
		now += 300 * ms
	}
	open := 0
	for _, w := range d.ready {
		if w.badUntil <= d.now {
			open++
		}
	}
	if open < 6 {
		t.Errorf("only %d of 10 workers left in draws", open)
	}
	now = d.now + 30*second
	pushed := 0
	for id := uint32(100); id < 120; id++ {
		r.take("")
		d.Arrive(now, Job{ID: id, GiveUpAt: now + 5*second})
		for _, a := range r.take("probe") {
			d.ProbeResult(now, a.worker, Served, 0, free(4))
		}
		pushed += len(r.take("push"))
		now += 100 * ms
	}
	if pushed != 20 {
		t.Errorf("%d of 20 jobs pushed after recovery", pushed)
	}
}

// A near pair is drawn first; far workers come in when near shows no room.
func TestNearFirst(t *testing.T) {
	s := testSettings()
	s.Zones = 2
	d, r := newNode(t, s, Worker{}, Worker{}, Worker{}, Worker{Zone: 1}, Worker{Zone: 1}, Worker{Zone: 1})
	for _, p := range arrive(d, r, 0) {
		if p.worker > 3 {
			t.Errorf("first draw took far worker %d", p.worker)
		}
	}
	j := d.jobs[1]
	j.misses = 3
	far := false
	for range 40 {
		far = far || d.pick(j, nil).Zone == 1
	}
	if !far {
		t.Error("no far worker in 40 draws")
	}
}

// BenchmarkJob takes a job from arrival to its answer.
func BenchmarkJob(b *testing.B) {
	r := &recorder{}
	d, err := New(testSettings(), 1, r)
	if err != nil {
		b.Fatal(err)
	}
	ws := fleet(400)
	for i := range ws {
		ws[i] = Worker{ID: WorkerID(i + 1), State: Ready}
	}
	d.Announce(start, ListFull, ws)
	b.ReportAllocs()
	now := start
	for i := 0; b.Loop(); i++ {
		now += 10 * ms
		r.acts = r.acts[:0]
		id := uint32(i + 1)
		d.Arrive(now, Job{ID: id, GiveUpAt: now + 5*second})
		for k := 0; k < len(r.acts); k++ {
			switch a := r.acts[k]; a.kind {
			case "probe":
				d.ProbeResult(now, a.worker, Served, 0, free(2))
			case "push":
				d.Note(now, id, 0, NoteStarted, 0)
				d.Outcome(now, Outcome{Job: id, Worker: a.worker, Status: Served, Closed: true})
			}
		}
	}
}

// In overload a held job asks less and less often, and ends before its time: retries do not pile up.
func TestRetriesBackOffInOverload(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(20)...)
	d.runs[0] = float64(500 * ms)
	r.take("")
	d.Arrive(start, Job{ID: 1, GiveUpAt: start + 5*second})
	probes, finals := 0, 0
	var timers []timer
	for now := start; now < start+6*second; now += 5 * ms {
		for _, a := range r.take("") {
			switch a.kind {
			case "wake":
				timers = append(timers, timer{now + a.span, a.token})
			case "probe":
				probes++
				d.ProbeResult(now, a.worker, Served, 0, free(0))
			case "refuse", "fail":
				finals++
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
	}
	if finals != 1 || probes < 6 || probes > 40 {
		t.Errorf("%d probes and %d answers for one job that found no room", probes, finals)
	}
}

// When the whole fleet slows at once nobody is slow beside the others, and work goes on.
func TestAllSlowAtOnce(t *testing.T) {
	d, _ := newNode(t, testSettings(), fleet(5)...)
	for range 100 {
		d.learnEcho(d.workers[1], ms)
	}
	if d.slowness(d.workers[2], 6*ms) < 5 {
		t.Error("one slow worker is not seen")
	}
	for range 100 {
		d.learnEcho(d.workers[1], 6*ms)
	}
	if got := d.slowness(d.workers[2], 6*ms); got > 1 {
		t.Errorf("slowness %v though all are alike", got)
	}
}

// A zone is cut off while the list must be asked for and the asks fail: near workers still serve, and nothing
// goes to a worker once its drain is told.
func TestZoneCutWithAskedDiscovery(t *testing.T) {
	s := testSettings()
	s.Zones, s.MustAsk, s.AskWithin = 2, true, 10*second
	d, r := newNode(t, s, Worker{}, Worker{}, Worker{}, Worker{Zone: 1}, Worker{Zone: 1}, Worker{Zone: 1})
	now, served := start, 0
	d.Announce(now, ListFailed, nil)
	d.Announce(now, ListDelta, []Worker{{ID: 3, State: Draining}})
	for id := uint32(1); id <= 50; id++ {
		now += 200 * ms
		r.take("")
		d.Arrive(now, Job{ID: id, GiveUpAt: now + 5*second})
		for _, a := range r.take("probe") {
			if a.worker > 3 {
				d.ProbeResult(now+250*ms, a.worker, ConnectFailed, 250*ms, Report{})
			} else {
				d.ProbeResult(now, a.worker, Served, 0, free(3))
			}
		}
		for _, a := range r.take("push") {
			if a.worker >= 3 {
				t.Fatalf("push to worker %d", a.worker)
			}
			served++
			d.Note(now, a.job, 0, NoteStarted, 0)
			d.Outcome(now, Outcome{Job: a.job, Worker: a.worker, Status: Served, Closed: true})
		}
	}
	if served < 45 {
		t.Errorf("%d of 50 jobs served near by", served)
	}
}

// A fleet that shrinks and grows several-fold keeps every worker in draws that is listed, and no other.
func TestFleetShrinksAndGrows(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(40)...)
	for _, n := range []int{10, 80, 5, 60} {
		list := fleet(n)
		for i := range list {
			list[i] = Worker{ID: WorkerID(i + 1), State: Ready}
		}
		d.Announce(start, ListFull, list)
		if len(d.ready) != n || len(d.workers) != n {
			t.Errorf("%d listed: %d ready, %d known", n, len(d.ready), len(d.workers))
		}
	}
	if p := arrive(d, r, 0); len(p) != 2 {
		t.Errorf("probes %+v", p)
	}
}

// Connections that break now and then once put a third of a sound fleet out of the draws.
func TestBrokenConnectionsEjectNobody(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(6)...)
	w := d.workers[pushTo(t, d, r, 0)]
	for i := range brokenFrom {
		if w.badUntil > d.now {
			t.Errorf("ejected after %d broken attempts", i)
		}
		j := d.newJob(Job{ID: 10 + uint32(i), Class: 0, GiveUpAt: start + 5*second})
		d.push(j, w, 0)
		d.Outcome(start+2*ms, Outcome{Job: j.ID, Worker: w.ID, Status: Reset})
	}
	if w.badUntil <= d.now {
		t.Error("that many in a row are no chance")
	}
	v := d.ready[0]
	if v == w {
		v = d.ready[1]
	}
	d.look(v, nil, 0)
	for i := range Time(lostFrom) {
		if v.badUntil > d.now {
			t.Errorf("ejected after %d lost probes", i)
		}
		d.ProbeResult(start+(i+3)*ms, v.ID, Reset, ms, Report{})
	}
	if v.badUntil <= d.now {
		t.Error("lost again when looked after at once")
	}
}

// A connection that fell silent once kept its job until the client left, and its worker out of the draws as long,
// for a start that did not come. A look tells that nothing waits there.
func TestLostAttemptIsCalledOff(t *testing.T) {
	for _, c := range []struct {
		name  string
		class int
		shown Report
		want  int // cancels
		late  int // what is still held against the worker
	}{
		{"room and next to nothing held", 0, Report{Has: HasFreeSlots | HasInFlight, FreeSlots: 3, InFlight: 1}, 1, 0},
		{"it must not run twice", 1, Report{Has: HasFreeSlots | HasInFlight, FreeSlots: 3, InFlight: 1}, 0, 0},
		{"no room", 0, Report{Has: HasFreeSlots | HasInFlight, InFlight: 1}, 0, 1},
		{"behind a wide one", 0, Report{Has: HasFreeSlots | HasInFlight, FreeSlots: 3, InFlight: 3}, 0, 1},
	} {
		s := testSettings()
		s.SecondCopies = false
		s.Classes[c.class].Aim = 4 * second
		d, r := newNode(t, s, fleet(3)...)
		w := d.workers[pushTo(t, d, r, c.class)]
		timers := r.take("")
		d.Wake(start+startSoon, wakeStart|1)
		for i := range Time(lostFrom) {
			now := start + startSoon + (i+1)*lookSpan
			d.Wake(now, wakeLook|1)
			if probes := r.take("probe"); len(probes) != 1 || probes[0].worker != w.ID {
				t.Fatalf("%s: looks %+v after %+v", c.name, probes, timers)
			}
			d.ProbeResult(now+ms, w.ID, Served, ms, c.shown)
		}
		if n := len(r.take("cancel")); n != c.want || w.late != c.late {
			t.Errorf("%s: %d cancels, %d late", c.name, n, w.late)
		}
	}
}

// Two probes lost in a row mean a machine that is gone without a word: what may be repeated goes elsewhere.
func TestLostWorkerIsLeft(t *testing.T) {
	s := testSettings()
	s.Classes[0].Aim = 4 * second
	d, r := newNode(t, s, fleet(3)...)
	w := d.workers[pushTo(t, d, r, 0)]
	d.Note(start+2*ms, 1, 0, NoteStarted, 0)
	d.look(w, nil, 0)
	for i := range Time(lostFrom) {
		if probes := r.take("probe"); len(probes) != 1 {
			t.Fatalf("%d probes in flight", len(probes))
		}
		d.ProbeResult(start+(i+1)*500*ms, w.ID, TimedOut, 500*ms, Report{})
	}
	if n := len(r.take("cancel")); n != 1 {
		t.Errorf("%d cancels", n)
	}
}

// Workers that swallow the jobs of one class and serve all others kept being drawn for it, each job lost for the
// whole of its client's patience.
func TestClassIsKeptOffAWorkerThatDoesNotStartIt(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(3)...)
	w := d.workers[pushTo(t, d, r, 0)]
	d.Outcome(start+5*second, Outcome{Job: 1, Worker: w.ID, Status: TimedOut})
	j, other := d.newJob(Job{ID: 2, Class: 0}), d.newJob(Job{ID: 3, Class: 2})
	if d.usable(j, w) || !d.usable(other, w) {
		t.Error("that class, and no other, stays away")
	}
	first := w.shuns[0].until - d.now
	d.shun(w, 0)
	if second := w.shuns[0].until - d.now; second <= first {
		t.Errorf("a second time for %d ms after %d ms", second/ms, first/ms)
	}
	d.now = w.shuns[0].until
	if !d.usable(j, w) {
		t.Error("it must be tried again")
	}
	d.push(j, w, 0)
	d.Outcome(d.now+ms, Outcome{Job: 2, Worker: w.ID, Status: Served})
	if w.shuns[0].strikes != 0 {
		t.Error("served: nothing is held against it")
	}
}

// An idle fleet once refused four jobs in ten at 150 short jobs a second: each held a slot for a quarter of a second
// after its end, since a report might not show it yet.
func TestClaimEndsWithItsAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(d *Dispatcher)
		fits bool
	}{
		"runs":      {func(d *Dispatcher) {}, false},
		"started":   {func(d *Dispatcher) { d.Note(start+10*ms, 1, 0, NoteStarted, 0) }, false},
		"served":    {func(d *Dispatcher) { d.Outcome(start+10*ms, Outcome{Job: 1, Status: Served}) }, true},
		"failed":    {func(d *Dispatcher) { d.Outcome(start+10*ms, Outcome{Job: 1, Status: Full}) }, true},
		"cancelled": {func(d *Dispatcher) { d.Hangup(start, 1); d.Outcome(start, Outcome{Job: 1, Status: Cancelled}) }, true},
		"another's": {func(d *Dispatcher) { d.Outcome(start+10*ms, Outcome{Job: 1, Attempt: 1, Status: Served}) }, false},
	} {
		d, r := newNode(t, testSettings(), fleet(2)...)
		w := d.workers[pushTo(t, d, r, 0)]
		c.end(d)
		if _, _, fits := d.room(&job{Job: Job{Slots: 1}}, w, free(1)); fits != c.fits {
			t.Errorf("%s: room for another job in the one free slot: %v", name, fits)
		}
		if d.now = start + reportLag + 2*ms; len(w.recent) == 0 != c.fits {
			t.Errorf("%s: claims %+v", name, w.recent)
		}
		if _, _, fits := d.room(&job{Job: Job{Slots: 1}}, w, free(1)); !fits {
			t.Errorf("%s: by then the report shows it", name)
		}
	}
}

// A fleet that idles the same way shows the same figures for good; that once taught ever older reports.
func TestLagIsLearntWhereReportsMustDiffer(t *testing.T) {
	for name, c := range map[string]struct {
		change func(w *worker, i int)
		want   Time
	}{
		"idle":           {func(w *worker, i int) {}, 0},
		"pushed, ended":  {func(w *worker, i int) { w.out++; w.out-- }, 0},
		"more and less":  {func(w *worker, i int) { w.out = i % 2 }, 50 * ms},
		"never reported": {func(w *worker, i int) { w.out = i }, lagMost},
	} {
		d, _ := newNode(t, testSettings(), fleet(1)...)
		w := d.workers[1]
		for i := range 1000 {
			c.change(w, i)
			d.now += 50 * ms
			r := Report{Has: HasFreeSlots, FreeSlots: 4}
			if c.want == 50*ms {
				r.FreeSlots -= float64(w.out)
			}
			d.learnLag(w, r)
		}
		if c.want == 0 {
			c.want = reportLag // as before the first look
		}
		if d.lag > c.want+c.want/10 || d.lag < c.want-c.want/10 {
			t.Errorf("%s: reports stand for %d us, wanted %d", name, d.lag, c.want)
		}
	}
}

// Where jobs take some ms, a worker seen full is not so for long; the waits were once those of long jobs.
func TestSpansFollowTheJobs(t *testing.T) {
	for run, want := range map[Time][3]Time{1000 * ms: {reportLag, tightSpan, backoffMin}, 20 * ms: {50 * ms, 30 * ms, 3 * ms},
		0: {ms, ms, ms}} {
		d, _ := newNode(t, testSettings(), fleet(1)...)
		j := &job{class: &d.s.Classes[0]}
		a := &attempt{w: d.workers[1], started: true}
		for range 1000 {
			a.startedAt = d.now - run
			d.judge(j, a, Served)
		}
		for i, span := range []Time{reportLag, tightSpan, backoffMin} {
			if got := d.brief(span); max(got-want[i], want[i]-got) > ms/100 {
				t.Errorf("jobs of %d us: a span of %d us, wanted %d", run, got, want[i])
			}
		}
	}
}

// A full worker frees a slot when a job there ends, so what a probe showed before that counts no more.
func TestAnEndFreesAWorkerSeenFull(t *testing.T) {
	d, r := newNode(t, testSettings(), fleet(2)...)
	w := d.workers[pushTo(t, d, r, 0)]
	j := &job{Job: Job{Slots: 1}, class: &d.s.Classes[0]}
	w.tightUntil, w.tightFor = start+tightSpan, 1
	d.Note(start+5*ms, 1, 0, NoteStarted, 0)
	if !d.tight(j, w) {
		t.Error("a start frees nothing")
	}
	d.Outcome(start+10*ms, Outcome{Job: 1, Status: Served})
	if d.tight(j, w) {
		t.Error("still passed over after the end")
	}
}

// A report that shows our own pushes already, and claims for them too, made a fleet look twice as full as it was: at
// 600 jobs of 20 ms a second over 32 slots one in a hundred waited for half a second. Where nobody else sends, a
// worker holds what we have there; a node among others can't tell, but learns how old reports are.
func TestOwnPushesCountOnce(t *testing.T) {
	for name, c := range map[string]struct {
		nodes int
		lag   Time
		shown float64 // free slots of four, two of ours out
		fits  bool
	}{
		"sole, shown":              {1, reportLag, 2, true},
		"sole, not shown yet":      {1, reportLag, 4, true},
		"sole, another's work too": {1, reportLag, 0, false},
		"among others":             {4, reportLag, 2, false},
		"among others, live":       {4, ms, 2, true},
	} {
		s := testSettings()
		s.Nodes = c.nodes
		d, _ := newNode(t, s, fleet(2)...)
		w := d.workers[1]
		w.size, w.held, w.out, d.lag = 4, 2, 2, c.lag
		w.recent = []claim{{at: d.now, job: 1, slots: 1}, {at: d.now, job: 2, slots: 1}}
		d.now += 10 * ms
		r, _, fits := d.room(&job{Job: Job{Slots: 1}}, w, free(c.shown))
		if fits != c.fits || r.FreeSlots > c.shown {
			t.Errorf("%s: fits %v with %.1f free", name, fits, r.FreeSlots)
		}
	}
}

// Where free slots are told with noise, three of four once passed for four: of 25 jobs of four slots that were pushed
// beside one in flight none started, and each kept the slots beside it idle. Nodes that had no job there went on
// pushing into that queue, since free slots were shown. A worker not seen idle yet goes by its kind.
func TestRoomBesideJobsInFlight(t *testing.T) {
	for name, c := range map[string]struct {
		size, kind, need, shown, inFlight float64
		fits                              bool
	}{
		"all of four, none there":        {4, 0, 4, 3.6, 0, true},
		"all of four, one there":         {4, 0, 4, 3.9, 1, false},
		"the same, by its kind":          {0, 4, 4, 3.9, 1, false},
		"the same, nothing known":        {0, 0, 4, 3.9, 1, true},
		"four of five, one there":        {5, 0, 4, 4.1, 1, true},
		"two slots taken by two":         {4, 0, 1, 2.1, 2, true},
		"two slots taken, two more wait": {4, 0, 1, 2.1, 4.1, false},
		"one slot taken by two, noise":   {4, 0, 1, 3, 1.6, true},
	} {
		d, _ := newNode(t, testSettings(), fleet(2)...)
		w := d.workers[1]
		w.size, d.sizes[w.Kind] = c.size, c.kind
		load := Report{Has: HasFreeSlots | HasInFlight, FreeSlots: c.shown, InFlight: c.inFlight}
		if _, _, fits := d.room(&job{Job: Job{Slots: c.need}}, w, load); fits != c.fits {
			t.Errorf("%s: fits %v", name, fits)
		}
	}
}

// One scheduler's part of the traffic says little: a heavy job of its own once had it believe that workers carry three
// times what they do, and a job of 11 s of work pushed a cold one over. After a release most of a fleet is cold, and who
// had just started never learnt what one bears: 36 new workers stood idle beside 24 full ones. And draws stay near, so
// the mean over all zones gave a cold worker a fifth of its part where it is near.
func TestWhatAColdWorkerBears(t *testing.T) {
	s := testSettings()
	s.Nodes, s.Zones = 80, 2
	list := fleet(10)
	for i := range list {
		list[i].Zone = i % 2
		if i < 8 {
			list[i].StartedAt = start - s.ColdSpan/2 // 0.6 warm
		}
	}
	d, _ := newNode(t, s, list...)
	d.pushed = [2]float64{34e4, 0} // to five near ones, of which one is warm: 3.4 of them in all
	d.measure(float64(second))
	if got := d.bear; got[0] < 0.99e5 || got[0] > 1.01e5 || got[1] != 0 {
		t.Errorf("bear %v", got)
	}
	for id, want := range map[WorkerID][2]int{1: {430, 570}, 2: {0, 0}} { // near: 1.6 x 0.62 x 0.1 s saved for each 0.2 s
		w, n := d.workers[id], 0
		for range 1000 {
			w.credit, w.creditAt = 0, d.now-second
			if d.admit(&job{Job: Job{Slots: 1}, work: 200 * ms}, w) {
				n++
			}
		}
		if n < want[0] || n > want[1] {
			t.Errorf("worker %d: %d of 1000 admitted", id, n)
		}
	}
	for size, want := range map[float64]bool{0: true, 4: false} { // a job beyond its slots, which its traffic bears
		w := d.workers[1]
		w.size, d.bear[0], w.credit = size, 3e6, 1e9
		if got := d.admit(&job{Job: Job{Slots: 4}, work: 2800 * ms}, w); got != want {
			t.Errorf("%v slots: admitted %v", size, got)
		}
	}
}

// In a release half of the probes went to workers that drained or were gone, and were refused: the list told of it
// seconds later, a refusal was held against nobody, and the share of suspects that may be ejected was used up.
func TestARefusedProbeKeepsAway(t *testing.T) {
	for name, c := range map[string]struct {
		status Status
		echo   Time
		out    bool
	}{"it drains": {Error, ms, true}, "it is gone": {ConnectFailed, ms, true}, "it may be far": {ConnectFailed, 250 * ms, false},
		"it answers": {Served, ms, false}, "the connection broke": {Reset, ms, false}} {
		d, r := newNode(t, testSettings(), fleet(10)...)
		j := &job{class: &d.s.Classes[1], Job: Job{Class: 1}}
		r.take("")
		for range 2 {
			for _, w := range d.ready { // all at once, and none of them for a cause that is shared
				d.judgeProbe(w, c.status, c.echo)
				if c.out && (d.usable(j, w) || w.fullUntil-d.now < denyFirst/2*Time(w.denied)) {
					t.Errorf("%s: not kept off, or no longer the second time", name)
				} else if !c.out && w.denied > 0 {
					t.Errorf("%s: held against it", name)
				}
			}
			if c.out && count(r.take(""), "probe") > 0 {
				t.Errorf("%s: looked at again", name)
			}
			if d.now += 4 * second; c.out && d.ready[0].denied == 1 && !d.usable(j, d.ready[0]) {
				t.Errorf("%s: not back after its term", name)
			}
		}
		d.takeList(ListDelta, []Worker{{ID: d.ready[0].ID, State: Ready, StartedAt: d.now}})
		if !d.usable(j, d.ready[0]) {
			t.Errorf("%s: held against a fresh process", name)
		}
	}
}

// Where workers tell their queues and every job takes one slot, a slot once stood idle from a job's end until a draw met
// a report that showed it, while two in five jobs were refused.
func TestAShortQueueWhereItIsTold(t *testing.T) {
	const told = HasFreeSlots | HasQueue
	for name, c := range map[string]struct {
		has         Fields
		widest      float64
		free, queue float64
		ends        float64
		fits        bool
	}{
		"full, nobody waits":              {told, 1, 0, 0, 0, true},
		"full, one waits":                 {told, 1, 0, 1, 0, false},
		"full, one waits, one of us left": {told, 1, 0, 1, 1, true},
		"full, the queue is not told":     {HasFreeSlots, 1, 0, 0, 0, false},
		"not told, one of us left":        {HasFreeSlots, 1, 0, 0, 1, false},
		"wide jobs":                       {told, 2, 0, 0, 1, false},
	} {
		d, _ := newNode(t, testSettings(), fleet(2)...)
		w := d.workers[1]
		w.size, d.widest = 4, c.widest
		if c.ends > 0 {
			w.freed(d.now, 1, 0, c.ends)
		}
		load := Report{Has: c.has, FreeSlots: c.free, Queue: c.queue}
		if _, _, fits := d.room(&job{Job: Job{Slots: 1}}, w, load); fits != c.fits {
			t.Errorf("%s: fits %v", name, fits)
		}
	}
	d, r := newNode(t, testSettings(), fleet(2)...)
	j := d.newJob(Job{ID: 1, GiveUpAt: start + 5*second})
	r.take("")
	d.push(j, d.workers[1], 300*ms)
	for _, a := range r.take("wake") {
		if a.token>>56 == wakeStart>>56 && a.span != startSoon+300*ms {
			t.Errorf("its start is late after %d ms", a.span/ms)
		}
	}
}

// Workers that failed four in five jobs within 30 ms were left for 20 s; a quarter of a fleet's slots stood idle beside
// jobs that were refused, though a repeat of a keyed one costs next to nothing. What must not run twice keeps away
// until several in a row were served: one that was served by luck once brought the next to a sick worker.
func TestAFailingWorkerIsBetterThanNone(t *testing.T) {
	d, _ := newNode(t, testSettings(), fleet(10)...)
	w := d.workers[1]
	end := func(s Status) {
		j := d.newJob(Job{ID: uint32(d.now), Class: 0, GiveUpAt: d.now + second})
		d.push(j, w, 0)
		d.Outcome(d.now+ms, Outcome{Job: j.ID, Status: s, Closed: true})
	}
	end(Error)
	end(Error)
	keyed, unsafe := &job{class: &d.s.Classes[2]}, &job{class: &d.s.Classes[1]}
	if d.usable(keyed, w) {
		t.Error("drawn at first")
	}
	keyed.misses, unsafe.misses = 1, 1
	if !d.usable(keyed, w) || d.usable(unsafe, w) {
		t.Error("without room elsewhere: for what may be repeated, and for that only")
	}
	keyed.attempts = make([]attempt, d.s.MaxAttempts-1)
	for i := range keyed.attempts {
		keyed.attempts[i] = attempt{w: w, sent: d.now, mayHaveRun: true}
	}
	if d.usable(keyed, w) {
		t.Error("the last attempt goes to a sound worker")
	}
	d.now = w.badUntil + 1
	for w.level > 0 {
		end(Served)
	}
	if d.usable(unsafe, w) {
		t.Error("served by luck")
	}
	for range 3 {
		end(Served)
	}
	if !d.usable(unsafe, w) {
		t.Error("a worker that serves again stays shut")
	}
	w.badUntil, w.lost, w.fails = d.now+second, lostFrom, 1
	if keyed.attempts = nil; d.usable(keyed, w) {
		t.Error("one that answers no probe fails everything")
	}
}

// Where late answers earn something, and where clients come again late, a job that can't end in time any more once took
// places in queues from those that could. And a job whose work nobody tells was expected to be of the mean: a short one
// pushed at the last moment for such came late.
func TestWhatMayQueue(t *testing.T) {
	for name, c := range map[string]struct {
		slow, queue float64 // of the worker; in it
		hint, late  Time    // since the moment until which it might start
		pushed      bool
	}{
		"in time":                          {1, 0, 0, -50 * ms, true},
		"in time, a queue":                 {1, 1, 0, -50 * ms, true},
		"the queue is too long":            {1, 1, 0, -10 * ms, false},
		"late, a slot is free":             {1, 0, 0, 50 * ms, true},
		"late, a queue":                    {1, 1, 0, 50 * ms, false},
		"in time, on a slow one":           {2.5, 0, 100 * ms, -160 * ms, true},
		"too late on a slow one":           {2.5, 0, 100 * ms, -140 * ms, false},
		"its work is told: it is no short": {1, 1, 200 * ms, -30 * ms, true},
	} {
		d, r := newNode(t, testSettings(), fleet(4)...)
		w := d.workers[1]
		w.size, d.run, d.runs[0], d.widest = 4, 100e3, 100e3, 1
		j := d.newJob(Job{ID: 1, GiveUpAt: start + 5*second, Hint: c.hint, Slots: 1})
		d.appraise(j)
		spare := Time(shortRun * float64(d.runs[0]))
		if c.hint > 0 {
			spare = c.hint
		}
		if got := d.startBy(j, 1) - j.aimAt; got != spare || c.hint == 0 && got == j.work {
			t.Errorf("%s: %d ms to spare, wanted %d", name, got/ms, spare/ms)
		}
		d.now = d.startBy(j, 1) + c.late
		d.usual[0] = float64(10 * ms)
		j.pair[0], j.answered[0], j.echo[0] = w, true, Time(c.slow*float64(10*ms))
		j.load[0] = Report{Has: HasFreeSlots | HasQueue, FreeSlots: 1 - c.queue}
		r.take("")
		d.settle(j)
		if pushed := count(r.take(""), "push") == 1; pushed != c.pushed {
			t.Errorf("%s: pushed %v", name, pushed)
		}
	}
}
