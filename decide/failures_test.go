package decide

import "testing"

// Guards against incident i784a17: in a large fleet each dispatcher had to find each fast-failing worker by itself.
func TestTwoComplaintsEjectAWorker(t *testing.T) {
	settings := testSettings()
	settings.CanMessagePeers = true
	dispatcher, r := newDispatcher(t, settings, fleet(10)...)
	complaint := []byte{0, 0, 0, 0, 0, 0, 0, 3}
	dispatcher.PeerMessage(startTime, 1, complaint)
	if dispatcher.workers[3].ejectedUntil > startTime {
		t.Error("a single complaint ejected the worker")
	}
	dispatcher.PeerMessage(startTime+second, 2, complaint)
	if dispatcher.workers[3].ejectedUntil <= startTime {
		t.Error("two complaints did not eject the worker")
	}
	dispatcher.PeerMessage(startTime, 2, []byte("garbage"))
	dispatcher.PeerMessage(startTime, 2, []byte{9, 9, 9, 9, 9, 9, 9, 9})
	r.take("")
	dispatcher.eject(dispatcher.workers[5])
	if n := countKind(r.take(""), "tell"); n != 1 {
		t.Errorf("%d complaints sent", n)
	}
	settings.CanMessagePeers = false
	dispatcher, r = newDispatcher(t, settings, fleet(10)...)
	dispatcher.eject(dispatcher.workers[5])
	if n := countKind(r.take(""), "tell"); n != 0 {
		t.Error("sent a message to peers where that is not allowed")
	}
}

// After an ejection a worker is tried with repeatable jobs before an unsafe job is risked on it.
func TestEjectedWorkerIsTriedWithRepeatableJobs(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(10)...)
	w := dispatcher.workers[1]
	dispatcher.eject(w)
	dispatcher.now = w.ejectedUntil + 1
	unsafe, safe := &job{class: &dispatcher.settings.Classes[1]}, &job{class: &dispatcher.settings.Classes[0]}
	if dispatcher.eligible(unsafe, w) || !dispatcher.eligible(safe, w) {
		t.Error("a worker back from ejection is tried with the wrong kind of job")
	}
	w.ejectionLevel = 0
	if !dispatcher.eligible(unsafe, w) {
		t.Error("a worker that served is still not eligible")
	}
	s := testSettings()
	s.Classes = s.Classes[1:2]
	dispatcher, _ = newDispatcher(t, s, fleet(10)...)
	dispatcher.eject(dispatcher.workers[1])
	dispatcher.now = dispatcher.workers[1].ejectedUntil + 1
	if !dispatcher.eligible(&job{class: &dispatcher.settings.Classes[0]}, dispatcher.workers[1]) {
		t.Error("with unsafe classes alone an ejected worker is never eligible again")
	}
	_ = r
}

// Where reports are a second old, a second copy is placed no better than the first.
func TestNoHedgingWithOldReports(t *testing.T) {
	for every, want := range map[Time]bool{100 * ms: true, 1000 * ms: false} {
		dispatcher, _ := newDispatcher(t, testSettings(), fleet(3)...)
		w := dispatcher.workers[1]
		for i := range Time(300) {
			dispatcher.now += 50 * ms
			w.inFlight++ // our own jobs there have changed
			dispatcher.learnRefresh(w, freeSlots(1+float64(i*50*ms/every%7)/10))
		}
		j := &job{class: &dispatcher.settings.Classes[0], attempts: []attempt{{w: w, inFlight: true}}}
		if dispatcher.startOverdue(j, 0); j.drawing != want {
			t.Errorf("reports every %d ms: second copies %v", every/ms, !want)
		}
	}
}

// A machine whose cores are taken by another program reports free slots, but answers probes slowly.
func TestSlowWorkerIsAvoided(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(2)...)
	for range 50 {
		dispatcher.learnRTT(dispatcher.workers[1], ms)
	}
	dispatcher.meanRunByClass[0] = float64(200 * ms)
	probes := arrive(dispatcher, r, 0)
	dispatcher.ProbeResult(startTime+ms, probes[0].worker, Served, ms, freeSlots(1))
	dispatcher.ProbeResult(startTime+8*ms, probes[1].worker, Served, 8*ms, freeSlots(3))
	if got := r.take("push"); len(got) != 1 || got[0].worker != probes[0].worker {
		t.Errorf("pushes %+v, want one to the fast worker", got)
	}
}

// Guards against incident i59d148: a wide job that does not fit waits at the head of the worker's queue and blocks it.
func TestWideJobNeedsAllItsSlots(t *testing.T) {
	dispatcher, _ := newDispatcher(t, testSettings(), fleet(2)...)
	j := &job{Job: Job{Slots: 4}, class: &dispatcher.settings.Classes[0]}
	if _, _, fits := dispatcher.estimateRoom(j, dispatcher.workers[1], freeSlots(3.4)); fits {
		t.Error("a job of four slots fits in 3.4 free slots")
	}
	if _, _, fits := dispatcher.estimateRoom(j, dispatcher.workers[1], freeSlots(3.6)); !fits {
		t.Error("a job of four slots does not fit in 3.6 free slots, which a noisy report of an idle worker may show")
	}
	j.Slots = 1
	if _, _, fits := dispatcher.estimateRoom(j, dispatcher.workers[1], freeSlots(0.7)); !fits {
		t.Error("a job of one slot does not fit in 0.7 free slots, which a noisy report of one free slot may show")
	}
}

// An idle worker once looked too small for a wide job because its report was noisy.
func TestIdleWorkerHasAllItsSlots(t *testing.T) {
	dispatcher, _ := newDispatcher(t, testSettings(), fleet(1)...)
	w, j := dispatcher.workers[1], &job{Job: Job{Slots: 4}, class: &dispatcher.settings.Classes[0]}
	idle := Report{Has: HasFreeSlots | HasInFlight}
	for _, shown := range []float64{4.4, 3.6, 4} {
		idle.FreeSlots = shown
		dispatcher.learnRefresh(w, idle)
	}
	idle.FreeSlots = 3.1
	if _, _, fits := dispatcher.estimateRoom(j, w, idle); !fits {
		t.Errorf("no room on an idle worker with %.1f slots", w.capacity)
	}
	idle.InFlight = 1
	if _, _, fits := dispatcher.estimateRoom(j, w, idle); fits {
		t.Error("room for four slots beside a job in flight")
	}
}

// Redraws once probed workers that a probe had just shown full, and workers filled by our own jobs, at the cost of a probe and
// of work for the worker: half of all probes were for wide jobs that had no chance.
func TestNoProbeOfWorkersWithoutRoom(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(2)...)
	for _, p := range arrive(dispatcher, r, 0) {
		dispatcher.ProbeResult(startTime+ms, p.worker, Served, ms, freeSlots(0))
	}
	timers := r.take("wake")
	fireTimers(dispatcher, timers, wakeRedraw, startTime+50*ms)
	if probes := r.take("probe"); len(probes) != 0 {
		t.Errorf("probes %+v of workers that were just seen full", probes)
	}
	dispatcher.Arrive(startTime+2*noRoomSpan, Job{ID: 2, GiveUpAt: startTime + 5*second})
	if probes := r.take("probe"); len(probes) != 2 {
		t.Errorf("probes %+v long after the workers were seen full", probes)
	}
	for _, w := range dispatcher.ready {
		w.noRoomUntil, w.capacity, w.heldSlots = 0, 4, 3
	}
	for slots, want := range map[float64]int{1: 2, 2: 0} {
		dispatcher.Arrive(startTime+2*noRoomSpan, Job{ID: 10 + uint32(slots), Slots: slots, GiveUpAt: startTime + 5*second})
		if probes := r.take("probe"); len(probes) != want {
			t.Errorf("%g slots where our jobs hold 3 of 4: probes %+v", slots, probes)
		}
	}
}

// A high price also saves probes, and admits a job of high worth.
func TestPriceLimitsProbes(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(4)...)
	dispatcher.price = 1e6
	if probes := arrive(dispatcher, r, 0); len(probes) != 0 {
		t.Errorf("probes %+v for a job that can't afford a slot", probes)
	}
	dispatcher.price = 1e-3
	dispatcher.Arrive(startTime, Job{ID: 2, GiveUpAt: startTime + 5*second})
	if n := countKind(r.take(""), "probe"); n != 2 {
		t.Errorf("%d probes", n)
	}
}

// After a long time without answers to probes most workers stay in draws, and the dispatcher recovers without intervention
// once they answer.
func TestRecoveryAfterLostProbes(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(10)...)
	now := startTime
	for id := uint32(1); id <= 40; id++ { // no worker answers
		dispatcher.Arrive(now, Job{ID: id, Class: 1, GiveUpAt: now + 5*second})
		for _, a := range r.take("probe") {
			dispatcher.ProbeResult(now+250*ms, a.worker, TimedOut, 250*ms, Report{})
		}
		now += 300 * ms
	}
	available := 0
	for _, w := range dispatcher.ready {
		if w.ejectedUntil <= dispatcher.now {
			available++
		}
	}
	if available < 6 {
		t.Errorf("only %d of 10 workers are left in draws", available)
	}
	now = dispatcher.now + 30*second
	pushed := 0
	for id := uint32(100); id < 120; id++ {
		r.take("")
		dispatcher.Arrive(now, Job{ID: id, GiveUpAt: now + 5*second})
		for _, a := range r.take("probe") {
			dispatcher.ProbeResult(now, a.worker, Served, 0, freeSlots(4))
		}
		pushed += len(r.take("push"))
		now += 100 * ms
	}
	if pushed != 20 {
		t.Errorf("%d of 20 jobs pushed after recovery", pushed)
	}
}

// The first pair is drawn from the zone of the dispatcher; other zones are included once it shows no room.
func TestFirstDrawStaysInTheZone(t *testing.T) {
	s := testSettings()
	s.Zones = 2
	dispatcher, r := newDispatcher(t, s, Worker{}, Worker{}, Worker{}, Worker{Zone: 1}, Worker{Zone: 1}, Worker{Zone: 1})
	for _, p := range arrive(dispatcher, r, 0) {
		if p.worker > 3 {
			t.Errorf("the first draw took worker %d of another zone", p.worker)
		}
	}
	j := dispatcher.jobs[1]
	j.failedDraws = 3
	otherZone := false
	for range 40 {
		otherZone = otherZone || dispatcher.pickWorker(j, nil).Zone == 1
	}
	if !otherZone {
		t.Error("no worker of another zone in 40 draws")
	}
}

// BenchmarkJob measures one job from arrival to answer.
func BenchmarkJob(b *testing.B) {
	r := &recorder{}
	dispatcher, err := New(testSettings(), 1, r)
	if err != nil {
		b.Fatal(err)
	}
	ws := fleet(400)
	for i := range ws {
		ws[i] = Worker{ID: WorkerID(i + 1), State: Ready}
	}
	dispatcher.Announce(startTime, ListFull, ws)
	b.ReportAllocs()
	now := startTime
	for i := 0; b.Loop(); i++ {
		now += 10 * ms
		r.actions = r.actions[:0]
		id := uint32(i + 1)
		dispatcher.Arrive(now, Job{ID: id, GiveUpAt: now + 5*second})
		for k := 0; k < len(r.actions); k++ {
			switch a := r.actions[k]; a.kind {
			case "probe":
				dispatcher.ProbeResult(now, a.worker, Served, 0, freeSlots(2))
			case "push":
				dispatcher.Note(now, id, 0, NoteStarted, 0)
				dispatcher.Outcome(now, Outcome{Job: id, Worker: a.worker, Status: Served, Closed: true})
			}
		}
	}
}

// In overload a job backs off longer after each draw and is shed before its deadline, so retries do not accumulate.
func TestRetriesBackOffInOverload(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(20)...)
	dispatcher.meanRunByClass[0] = float64(500 * ms)
	r.take("")
	dispatcher.Arrive(startTime, Job{ID: 1, GiveUpAt: startTime + 5*second})
	probes, finals := 0, 0
	var timers []timer
	for now := startTime; now < startTime+6*second; now += 5 * ms {
		for _, a := range r.take("") {
			switch a.kind {
			case "wake":
				timers = append(timers, timer{now + a.span, a.token})
			case "probe":
				probes++
				dispatcher.ProbeResult(now, a.worker, Served, 0, freeSlots(0))
			case "refuse", "fail":
				finals++
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
	}
	if finals != 1 || probes < 6 || probes > 40 {
		t.Errorf("%d probes and %d answers for one job that found no room", probes, finals)
	}
}

// When the whole fleet slows down at once no worker counts as slow.
func TestNoWorkerIsSlowWhenAllAre(t *testing.T) {
	dispatcher, _ := newDispatcher(t, testSettings(), fleet(5)...)
	for range 100 {
		dispatcher.learnRTT(dispatcher.workers[1], ms)
	}
	if dispatcher.slowness(dispatcher.workers[2], 6*ms) < 5 {
		t.Error("a single slow worker is not detected")
	}
	for range 100 {
		dispatcher.learnRTT(dispatcher.workers[1], 6*ms)
	}
	if got := dispatcher.slowness(dispatcher.workers[2], 6*ms); got > 1 {
		t.Errorf("slowness %v though all workers are equally slow", got)
	}
}

// A zone is partitioned while the requests of the worker list fail: workers of our own zone still serve, and a worker
// receives no push after it was announced as draining.
func TestPartitionedZoneWhileListRequestsFail(t *testing.T) {
	settings := testSettings()
	settings.Zones, settings.MustAsk, settings.AskWithin = 2, true, 10*second
	dispatcher, r := newDispatcher(t, settings, Worker{}, Worker{}, Worker{}, Worker{Zone: 1}, Worker{Zone: 1}, Worker{Zone: 1})
	now, served := startTime, 0
	dispatcher.Announce(now, ListFailed, nil)
	dispatcher.Announce(now, ListDelta, []Worker{{ID: 3, State: Draining}})
	for id := uint32(1); id <= 50; id++ {
		now += 200 * ms
		r.take("")
		dispatcher.Arrive(now, Job{ID: id, GiveUpAt: now + 5*second})
		for _, a := range r.take("probe") {
			if a.worker > 3 {
				dispatcher.ProbeResult(now+250*ms, a.worker, ConnectFailed, 250*ms, Report{})
			} else {
				dispatcher.ProbeResult(now, a.worker, Served, 0, freeSlots(3))
			}
		}
		for _, a := range r.take("push") {
			if a.worker >= 3 {
				t.Fatalf("push to worker %d", a.worker)
			}
			served++
			dispatcher.Note(now, a.job, 0, NoteStarted, 0)
			dispatcher.Outcome(now, Outcome{Job: a.job, Worker: a.worker, Status: Served, Closed: true})
		}
	}
	if served < 45 {
		t.Errorf("%d of 50 jobs served in the zone", served)
	}
}

// When the fleet shrinks and grows several-fold, all listed workers stay in draws, and no others.
func TestFleetShrinksAndGrows(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(40)...)
	for _, n := range []int{10, 80, 5, 60} {
		list := fleet(n)
		for i := range list {
			list[i] = Worker{ID: WorkerID(i + 1), State: Ready}
		}
		dispatcher.Announce(startTime, ListFull, list)
		if len(dispatcher.ready) != n || len(dispatcher.workers) != n {
			t.Errorf("%d listed: %d ready, %d known", n, len(dispatcher.ready), len(dispatcher.workers))
		}
	}
	if p := arrive(dispatcher, r, 0); len(p) != 2 {
		t.Errorf("probes %+v", p)
	}
}

// Occasional resets once ejected a third of a healthy fleet.
func TestSingleResetsDoNotEject(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(6)...)
	w := dispatcher.workers[pushJob(t, dispatcher, r, 0)]
	for i := range resetsToEject {
		if w.ejectedUntil > dispatcher.now {
			t.Errorf("ejected after %d resets", i)
		}
		j := dispatcher.newJob(Job{ID: 10 + uint32(i), Class: 0, GiveUpAt: startTime + 5*second})
		dispatcher.push(j, w, 0)
		dispatcher.Outcome(startTime+2*ms, Outcome{Job: j.ID, Worker: w.ID, Status: Reset})
	}
	if w.ejectedUntil <= dispatcher.now {
		t.Error("not ejected after so many resets in a row")
	}
	probed := dispatcher.ready[0]
	if probed == w {
		probed = dispatcher.ready[1]
	}
	dispatcher.checkWorker(probed, nil, 0)
	for i := range Time(lossesToEject) {
		if probed.ejectedUntil > dispatcher.now {
			t.Errorf("ejected after %d lost probes", i)
		}
		dispatcher.ProbeResult(startTime+(i+3)*ms, probed.ID, Reset, ms, Report{})
	}
	if probed.ejectedUntil <= dispatcher.now {
		t.Error("not ejected after the second lost probe in a row")
	}
}

// A dead connection once kept its job until the client left, and its worker out of the draws for as long, because the start
// was never reported. A check shows that no job waits there.
func TestLostAttemptIsCancelled(t *testing.T) {
	for _, c := range []struct {
		name    string
		class   int
		shown   Report
		cancels int // expected cancels
		overdue int // overdue starts that remain
	}{
		{"room and next to nothing in flight", 0, Report{Has: HasFreeSlots | HasInFlight, FreeSlots: 3, InFlight: 1}, 1, 0},
		{"it must not run twice", 1, Report{Has: HasFreeSlots | HasInFlight, FreeSlots: 3, InFlight: 1}, 0, 0},
		{"no room", 0, Report{Has: HasFreeSlots | HasInFlight, InFlight: 1}, 0, 1},
		{"behind a wide job", 0, Report{Has: HasFreeSlots | HasInFlight, FreeSlots: 3, InFlight: 3}, 0, 1},
	} {
		settings := testSettings()
		settings.SecondCopies = false
		settings.Classes[c.class].Aim = 4 * second
		dispatcher, r := newDispatcher(t, settings, fleet(3)...)
		w := dispatcher.workers[pushJob(t, dispatcher, r, c.class)]
		timers := r.take("")
		dispatcher.Wake(startTime+startTimeout, wakeStartDue|1)
		for i := range Time(lossesToEject) {
			now := startTime + startTimeout + (i+1)*checkInterval
			dispatcher.Wake(now, wakeCheck|1)
			if probes := r.take("probe"); len(probes) != 1 || probes[0].worker != w.ID {
				t.Fatalf("%s: probes %+v after %+v", c.name, probes, timers)
			}
			dispatcher.ProbeResult(now+ms, w.ID, Served, ms, c.shown)
		}
		if n := len(r.take("cancel")); n != c.cancels || w.overdueStarts != c.overdue {
			t.Errorf("%s: %d cancels, %d overdue starts", c.name, n, w.overdueStarts)
		}
	}
}

// Two lost probes in a row mean that the machine failed without notice: repeatable jobs are retried elsewhere.
func TestJobsOfALostWorkerAreCancelledForRetry(t *testing.T) {
	s := testSettings()
	s.Classes[0].Aim = 4 * second
	dispatcher, r := newDispatcher(t, s, fleet(3)...)
	w := dispatcher.workers[pushJob(t, dispatcher, r, 0)]
	dispatcher.Note(startTime+2*ms, 1, 0, NoteStarted, 0)
	dispatcher.checkWorker(w, nil, 0)
	for i := range Time(lossesToEject) {
		if probes := r.take("probe"); len(probes) != 1 {
			t.Fatalf("%d probes in flight", len(probes))
		}
		dispatcher.ProbeResult(startTime+(i+1)*500*ms, w.ID, TimedOut, 500*ms, Report{})
	}
	if n := len(r.take("cancel")); n != 1 {
		t.Errorf("%d cancels", n)
	}
}

// Workers that never started the jobs of one class but served all others were still drawn for that class, and each of its jobs
// was lost until its client's deadline.
func TestClassIsKeptOffAWorkerThatDoesNotStartIt(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(3)...)
	w := dispatcher.workers[pushJob(t, dispatcher, r, 0)]
	dispatcher.Outcome(startTime+5*second, Outcome{Job: 1, Worker: w.ID, Status: TimedOut})
	j, other := dispatcher.newJob(Job{ID: 2, Class: 0}), dispatcher.newJob(Job{ID: 3, Class: 2})
	if dispatcher.eligible(j, w) || !dispatcher.eligible(other, w) {
		t.Error("want that class, and no other, kept off the worker")
	}
	first := w.classEjections[0].until - dispatcher.now
	dispatcher.ejectForClass(w, 0)
	if second := w.classEjections[0].until - dispatcher.now; second <= first {
		t.Errorf("the second term is %d ms after a first of %d ms", second/ms, first/ms)
	}
	dispatcher.now = w.classEjections[0].until
	if !dispatcher.eligible(j, w) {
		t.Error("the class is still kept off after the term")
	}
	dispatcher.push(j, w, 0)
	dispatcher.Outcome(dispatcher.now+ms, Outcome{Job: 2, Worker: w.ID, Status: Served})
	if w.classEjections[0].strikes != 0 {
		t.Error("the strikes remain after a served job")
	}
}

// An idle fleet once refused four jobs in ten at 150 short jobs a second: each claim held a slot for a quarter of a second
// after the end of its attempt, since a report might not show the end yet.
func TestClaimEndsWithItsAttempt(t *testing.T) {
	for name, c := range map[string]struct {
		end  func(dispatcher *Dispatcher)
		fits bool
	}{
		"runs":    {func(dispatcher *Dispatcher) {}, false},
		"started": {func(dispatcher *Dispatcher) { dispatcher.Note(startTime+10*ms, 1, 0, NoteStarted, 0) }, false},
		"served":  {func(dispatcher *Dispatcher) { dispatcher.Outcome(startTime+10*ms, Outcome{Job: 1, Status: Served}) }, true},
		"failed":  {func(dispatcher *Dispatcher) { dispatcher.Outcome(startTime+10*ms, Outcome{Job: 1, Status: Full}) }, true},
		"cancelled": {func(dispatcher *Dispatcher) {
			dispatcher.Hangup(startTime, 1)
			dispatcher.Outcome(startTime, Outcome{Job: 1, Status: Cancelled})
		}, true},
		"end of another attempt": {func(dispatcher *Dispatcher) {
			dispatcher.Outcome(startTime+10*ms, Outcome{Job: 1, Attempt: 1, Status: Served})
		}, false},
	} {
		dispatcher, r := newDispatcher(t, testSettings(), fleet(2)...)
		w := dispatcher.workers[pushJob(t, dispatcher, r, 0)]
		c.end(dispatcher)
		if _, _, fits := dispatcher.estimateRoom(&job{Job: Job{Slots: 1}}, w, freeSlots(1)); fits != c.fits {
			t.Errorf("%s: room for another job in the one free slot: %v", name, fits)
		}
		if dispatcher.now = startTime + reportLag + 2*ms; len(w.claims) == 0 != c.fits {
			t.Errorf("%s: claims %+v", name, w.claims)
		}
		if _, _, fits := dispatcher.estimateRoom(&job{Job: Job{Slots: 1}}, w, freeSlots(1)); !fits {
			t.Errorf("%s: no room though reports show the push by then", name)
		}
	}
}

// An idle fleet reports the same figures for ever. Such reports were once taken for ever older ones.
func TestRefreshIsLearnedWhereReportsMustDiffer(t *testing.T) {
	for name, c := range map[string]struct {
		change func(w *worker, i int)
		want   Time
	}{
		"idle":           {func(w *worker, i int) {}, 0},
		"pushed, ended":  {func(w *worker, i int) { w.inFlight++; w.inFlight-- }, 0},
		"more and less":  {func(w *worker, i int) { w.inFlight = i % 2 }, 50 * ms},
		"never reported": {func(w *worker, i int) { w.inFlight = i }, maxRefresh},
	} {
		dispatcher, _ := newDispatcher(t, testSettings(), fleet(1)...)
		w := dispatcher.workers[1]
		for i := range 1000 {
			c.change(w, i)
			dispatcher.now += 50 * ms
			r := Report{Has: HasFreeSlots, FreeSlots: 4}
			if c.want == 50*ms {
				r.FreeSlots -= float64(w.inFlight)
			}
			dispatcher.learnRefresh(w, r)
		}
		if c.want == 0 {
			c.want = reportLag // the initial value
		}
		if dispatcher.refresh > c.want+c.want/10 || dispatcher.refresh < c.want-c.want/10 {
			t.Errorf("%s: reports stay the same for %d us, want %d", name, dispatcher.refresh, c.want)
		}
	}
}

// Where jobs take a few ms, a full worker soon has room again. The waits were once those for long jobs.
func TestSpansScaleWithRunningTimes(t *testing.T) {
	for run, want := range map[Time][3]Time{1000 * ms: {reportLag, noRoomSpan, backoffMin}, 20 * ms: {50 * ms, 30 * ms, 3 * ms},
		0: {ms, ms, ms}} {
		dispatcher, _ := newDispatcher(t, testSettings(), fleet(1)...)
		j := &job{class: &dispatcher.settings.Classes[0]}
		a := &attempt{w: dispatcher.workers[1], started: true}
		for range 1000 {
			a.startedAt = dispatcher.now - run
			dispatcher.learnOutcome(j, a, Served)
		}
		for i, span := range []Time{reportLag, noRoomSpan, backoffMin} {
			if got := dispatcher.scaleSpan(span); max(got-want[i], want[i]-got) > ms/100 {
				t.Errorf("jobs of %d us: a span of %d us, want %d", run, got, want[i])
			}
		}
	}
}

// The end of a job frees a slot of a full worker, so an earlier probe that showed it full no longer counts.
func TestJobEndVoidsALackOfRoom(t *testing.T) {
	dispatcher, r := newDispatcher(t, testSettings(), fleet(2)...)
	w := dispatcher.workers[pushJob(t, dispatcher, r, 0)]
	j := &job{Job: Job{Slots: 1}, class: &dispatcher.settings.Classes[0]}
	w.noRoomUntil, w.noRoomSlots = startTime+noRoomSpan, 1
	dispatcher.Note(startTime+5*ms, 1, 0, NoteStarted, 0)
	if !dispatcher.lacksRoom(j, w) {
		t.Error("a start voided the lack of room")
	}
	dispatcher.Outcome(startTime+10*ms, Outcome{Job: 1, Status: Served})
	if dispatcher.lacksRoom(j, w) {
		t.Error("still without room after the end of the job")
	}
}

// A report that already shows our own pushes, and claims for the same pushes, made a fleet look twice as full as it was: at
// 600 jobs of 20 ms a second over 32 slots one job in a hundred waited for half a second. A sole dispatcher knows all jobs of
// a worker; one of several does not, but learns how old reports are.
func TestOwnPushesCountOnce(t *testing.T) {
	for name, c := range map[string]struct {
		nodes   int
		refresh Time
		shown   float64 // free slots of four, with two jobs of ours in flight
		fits    bool
	}{
		"sole, shown":            {1, reportLag, 2, true},
		"sole, not shown yet":    {1, reportLag, 4, true},
		"sole, foreign work too": {1, reportLag, 0, false},
		"among others":           {4, reportLag, 2, false},
		"among others, live":     {4, ms, 2, true},
	} {
		settings := testSettings()
		settings.Nodes = c.nodes
		dispatcher, _ := newDispatcher(t, settings, fleet(2)...)
		w := dispatcher.workers[1]
		w.capacity, w.heldSlots, w.inFlight, dispatcher.refresh = 4, 2, 2, c.refresh
		w.claims = []claim{{at: dispatcher.now, job: 1, slots: 1}, {at: dispatcher.now, job: 2, slots: 1}}
		dispatcher.now += 10 * ms
		r, _, fits := dispatcher.estimateRoom(&job{Job: Job{Slots: 1}}, w, freeSlots(c.shown))
		if fits != c.fits || r.FreeSlots > c.shown {
			t.Errorf("%s: fits %v with %.1f free", name, fits, r.FreeSlots)
		}
	}
}

// With noisy reports three free slots of four once passed for four: of 25 jobs of four slots that were pushed beside a job in
// flight none started, and each kept the slots beside it idle. Dispatchers without jobs there went on pushing into that queue,
// since the reports showed free slots. A worker not seen idle yet gets the mean capacity of its kind.
func TestRoomBesideJobsInFlight(t *testing.T) {
	for name, c := range map[string]struct {
		capacity, kindCapacity, need, shown, inFlight float64
		fits                                          bool
	}{
		"all of four, none in flight":    {4, 0, 4, 3.6, 0, true},
		"all of four, one in flight":     {4, 0, 4, 3.9, 1, false},
		"the same, by its kind":          {0, 4, 4, 3.9, 1, false},
		"the same, capacity unknown":     {0, 0, 4, 3.9, 1, true},
		"four of five, one in flight":    {5, 0, 4, 4.1, 1, true},
		"two slots taken by two":         {4, 0, 1, 2.1, 2, true},
		"two slots taken, two more wait": {4, 0, 1, 2.1, 4.1, false},
		"one slot taken by two, noise":   {4, 0, 1, 3, 1.6, true},
	} {
		dispatcher, _ := newDispatcher(t, testSettings(), fleet(2)...)
		w := dispatcher.workers[1]
		w.capacity, dispatcher.capacityByKind[w.Kind] = c.capacity, c.kindCapacity
		load := Report{Has: HasFreeSlots | HasInFlight, FreeSlots: c.shown, InFlight: c.inFlight}
		if _, _, fits := dispatcher.estimateRoom(&job{Job: Job{Slots: c.need}}, w, load); fits != c.fits {
			t.Errorf("%s: fits %v", name, fits)
		}
	}
}

// The rate of a warm worker was once extrapolated from one scheduler's part of the traffic without a limit: a heavy job made
// it three times too high, and a job of 11 s of work overloaded a cold worker. After a release most workers are cold, and
// dispatchers that had just started never learned the rate: 36 new workers were idle beside 24 full ones. Draws stay in the
// zone, so a mean over all zones gave a cold worker in the zone a fifth of its part.
func TestColdWorkerAdmission(t *testing.T) {
	settings := testSettings()
	settings.Nodes, settings.Zones = 80, 2
	list := fleet(10)
	for i := range list {
		list[i].Zone = i % 2
		if i < 8 {
			list[i].StartedAt = startTime - settings.ColdSpan/2 // 0.6 warm
		}
	}
	dispatcher, _ := newDispatcher(t, settings, list...)
	dispatcher.sentWork = [2]float64{34e4, 0} // to five workers of our zone, one of them warm: 3.4 of warm capacity
	dispatcher.updateWarmRate(float64(second))
	if got := dispatcher.warmRate; got[0] < 0.99e5 || got[0] > 1.01e5 || got[1] != 0 {
		t.Errorf("rate per warm worker %v", got)
	}
	for id, want := range map[WorkerID][2]int{1: {430, 570}, 2: {0, 0}} { // own zone: 1.6 x 0.62 x 0.1 s of credit per 0.2 s
		w, n := dispatcher.workers[id], 0
		for range 1000 {
			w.coldCredit, w.coldCreditAt = 0, dispatcher.now-second
			if dispatcher.admitCold(&job{Job: Job{Slots: 1}, expectedRun: 200 * ms}, w) {
				n++
			}
		}
		if n < want[0] || n > want[1] {
			t.Errorf("worker %d: %d of 1000 admitted", id, n)
		}
	}
	for capacity, want := range map[float64]bool{0: true, 4: false} { // a job beyond its slots, though not beyond its traffic
		w := dispatcher.workers[1]
		w.capacity, dispatcher.warmRate[0], w.coldCredit = capacity, 3e6, 1e9
		if got := dispatcher.admitCold(&job{Job: Job{Slots: 4}, expectedRun: 2800 * ms}, w); got != want {
			t.Errorf("%v slots: admitted %v", capacity, got)
		}
	}
}

// In a release half of the probes went to workers that were draining or gone, and were refused. The list showed it seconds
// later, a refusal had no effect on draws, and the share of workers that may be ejected was used up.
func TestRefusedProbeKeepsAWorkerOutOfDraws(t *testing.T) {
	for name, c := range map[string]struct {
		status  Status
		rtt     Time
		keptOff bool
	}{"it drains": {Error, ms, true}, "it is gone": {ConnectFailed, ms, true}, "it may be far": {ConnectFailed, 250 * ms, false},
		"it answers": {Served, ms, false}, "the connection broke": {Reset, ms, false}} {
		dispatcher, r := newDispatcher(t, testSettings(), fleet(10)...)
		j := &job{class: &dispatcher.settings.Classes[1], Job: Job{Class: 1}}
		r.take("")
		for range 2 {
			for _, w := range dispatcher.ready { // all at once: the limit for shared causes does not apply
				dispatcher.learnProbe(w, c.status, c.rtt)
				if c.keptOff && (dispatcher.eligible(j, w) || w.fullUntil-dispatcher.now < refusedMin/2*Time(w.refusedProbes)) {
					t.Errorf("%s: still eligible, or not kept off for longer the second time", name)
				} else if !c.keptOff && w.refusedProbes > 0 {
					t.Errorf("%s: counted as a refused probe", name)
				}
			}
			if c.keptOff && countKind(r.take(""), "probe") > 0 {
				t.Errorf("%s: probed again", name)
			}
			if dispatcher.now += 4 * second; c.keptOff && dispatcher.ready[0].refusedProbes == 1 && !dispatcher.eligible(j, dispatcher.ready[0]) {
				t.Errorf("%s: not eligible after its term", name)
			}
		}
		dispatcher.updateList(ListDelta, []Worker{{ID: dispatcher.ready[0].ID, State: Ready, StartedAt: dispatcher.now}})
		if !dispatcher.eligible(j, dispatcher.ready[0]) {
			t.Errorf("%s: a new process is not eligible", name)
		}
	}
}

// Where workers report their queues and every job takes one slot, a slot once stayed idle from the end of a job until a draw
// met a report that showed it free, while two jobs in five were refused.
func TestShortQueueWhereQueuesAreReported(t *testing.T) {
	const reported = HasFreeSlots | HasQueue
	for name, c := range map[string]struct {
		has         Fields
		widestJob   float64
		free, queue float64
		endedSlots  float64
		fits        bool
	}{
		"full, none waits":                      {reported, 1, 0, 0, 0, true},
		"full, one waits":                       {reported, 1, 0, 1, 0, false},
		"full, one waits, one of ours ended":    {reported, 1, 0, 1, 1, true},
		"full, queue not reported":              {HasFreeSlots, 1, 0, 0, 0, false},
		"queue not reported, one of ours ended": {HasFreeSlots, 1, 0, 0, 1, false},
		"wide jobs":                             {reported, 2, 0, 0, 1, false},
	} {
		dispatcher, _ := newDispatcher(t, testSettings(), fleet(2)...)
		w := dispatcher.workers[1]
		w.capacity, dispatcher.widestJob = 4, c.widestJob
		if c.endedSlots > 0 {
			w.releaseClaim(dispatcher.now, 1, 0, c.endedSlots)
		}
		load := Report{Has: c.has, FreeSlots: c.free, Queue: c.queue}
		if _, _, fits := dispatcher.estimateRoom(&job{Job: Job{Slots: 1}}, w, load); fits != c.fits {
			t.Errorf("%s: fits %v", name, fits)
		}
	}
	dispatcher, r := newDispatcher(t, testSettings(), fleet(2)...)
	j := dispatcher.newJob(Job{ID: 1, GiveUpAt: startTime + 5*second})
	r.take("")
	dispatcher.push(j, dispatcher.workers[1], 300*ms)
	for _, a := range r.take("wake") {
		if a.token>>56 == wakeStartDue>>56 && a.span != startTimeout+300*ms {
			t.Errorf("the start is overdue after %d ms", a.span/ms)
		}
	}
}

// Workers that failed four jobs in five within 30 ms were once ejected for 20 s: a quarter of the slots were idle while jobs
// were refused, though the repeat of a keyed job costs next to nothing. Unsafe jobs avoid such a worker until it has served
// several jobs in a row: a single success by chance once brought the next unsafe job to a faulty worker.
func TestFailingWorkerIsTheLastResort(t *testing.T) {
	dispatcher, _ := newDispatcher(t, testSettings(), fleet(10)...)
	w := dispatcher.workers[1]
	end := func(s Status) {
		j := dispatcher.newJob(Job{ID: uint32(dispatcher.now), Class: 0, GiveUpAt: dispatcher.now + second})
		dispatcher.push(j, w, 0)
		dispatcher.Outcome(dispatcher.now+ms, Outcome{Job: j.ID, Status: s, Closed: true})
	}
	end(Error)
	end(Error)
	keyed, unsafe := &job{class: &dispatcher.settings.Classes[2]}, &job{class: &dispatcher.settings.Classes[1]}
	if dispatcher.eligible(keyed, w) {
		t.Error("eligible for the first draw")
	}
	keyed.failedDraws, unsafe.failedDraws = 1, 1
	if !dispatcher.eligible(keyed, w) || dispatcher.eligible(unsafe, w) {
		t.Error("without room elsewhere, want it eligible for repeatable jobs only")
	}
	keyed.attempts = make([]attempt, dispatcher.settings.MaxAttempts-1)
	for i := range keyed.attempts {
		keyed.attempts[i] = attempt{w: w, sent: dispatcher.now, mayHaveRun: true}
	}
	if dispatcher.eligible(keyed, w) {
		t.Error("eligible for the last attempt")
	}
	dispatcher.now = w.ejectedUntil + 1
	for w.ejectionLevel > 0 {
		end(Served)
	}
	if dispatcher.eligible(unsafe, w) {
		t.Error("eligible for unsafe jobs after too few served jobs")
	}
	for range 3 {
		end(Served)
	}
	if !dispatcher.eligible(unsafe, w) {
		t.Error("a worker that serves again is not eligible for unsafe jobs")
	}
	w.ejectedUntil, w.lostProbes, w.failureRate = dispatcher.now+second, lossesToEject, 1
	if keyed.attempts = nil; dispatcher.eligible(keyed, w) {
		t.Error("eligible though it answers no probe")
	}
}

// Where late answers have some worth, and where clients retry late, jobs that could no longer end in time once took places in
// queues from jobs that could. A job without a hint was expected to run for the mean time, so a short one that was pushed
// at the last moment for a job of the mean was late.
func TestLateJobsDoNotQueue(t *testing.T) {
	for name, c := range map[string]struct {
		slow, queue float64 // slowness of the worker; jobs in its queue
		hint, late  Time    // time since the latest start
		pushed      bool
	}{
		"in time":                                    {1, 0, 0, -50 * ms, true},
		"in time, a queue":                           {1, 1, 0, -50 * ms, true},
		"the queue is too long":                      {1, 1, 0, -10 * ms, false},
		"late, a slot is free":                       {1, 0, 0, 50 * ms, true},
		"late, a queue":                              {1, 1, 0, 50 * ms, false},
		"in time, on a slow one":                     {2.5, 0, 100 * ms, -160 * ms, true},
		"too late on a slow one":                     {2.5, 0, 100 * ms, -140 * ms, false},
		"its running time is known and is not short": {1, 1, 200 * ms, -30 * ms, true},
	} {
		dispatcher, r := newDispatcher(t, testSettings(), fleet(4)...)
		w := dispatcher.workers[1]
		w.capacity, dispatcher.meanRun, dispatcher.meanRunByClass[0], dispatcher.widestJob = 4, 100e3, 100e3, 1
		j := dispatcher.newJob(Job{ID: 1, GiveUpAt: startTime + 5*second, Hint: c.hint, Slots: 1})
		dispatcher.estimate(j)
		slack := Time(shortRunShare * float64(dispatcher.meanRunByClass[0]))
		if c.hint > 0 {
			slack = c.hint
		}
		if got := dispatcher.latestStart(j, 1) - j.aimAt; got != slack || c.hint == 0 && got == j.expectedRun {
			t.Errorf("%s: %d ms of slack, want %d", name, got/ms, slack/ms)
		}
		dispatcher.now = dispatcher.latestStart(j, 1) + c.late
		dispatcher.medianRTT[0] = float64(10 * ms)
		j.pair[0], j.answered[0], j.rtt[0] = w, true, Time(c.slow*float64(10*ms))
		j.reports[0] = Report{Has: HasFreeSlots | HasQueue, FreeSlots: 1 - c.queue}
		r.take("")
		dispatcher.resolveDraw(j)
		if pushed := countKind(r.take(""), "push") == 1; pushed != c.pushed {
			t.Errorf("%s: pushed %v", name, pushed)
		}
	}
}
