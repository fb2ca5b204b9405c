package decide

import (
	"reflect"
	"testing"
)

// randomSettings draws legal settings that have nothing to do with any one deployment.
func randomSettings(w func(n int) int) (Settings, int) {
	s := testSettings()
	flip := func() bool { return w(2) == 0 }
	s.Nodes, s.Zones = 1+w(300), 1+w(4)
	s.Zone = w(s.Zones)
	s.CanProbe, s.CanCancel, s.SecondCopies, s.TellsStart = w(5) > 0, flip(), flip(), flip()
	s.MaxAttempts = 1 + w(5)
	s.MustAsk, s.AskWithin = flip(), 8*second
	s.WorthByWork, s.CanMessagePeers = flip(), flip()
	for i := range s.Classes {
		if w(3) == 0 {
			s.Classes[i].Kind = w(2)
		}
	}
	for range w(4) {
		s.Tenants = append(s.Tenants, Tenant{Allowance: float64(1 + w(200))})
	}
	return s, 1 + w(30)
}

// The four rules hold on random legal sequences of events, under random legal settings. With one guard taken
// out at a time (mayRepeat, the attempt limit, the refusal check and the Fail of giveUp) it was seen to fail; drains have two, the list of
// ready workers and usable, and it fails with both gone.
func TestRulesHoldOnRandomEvents(t *testing.T) {
	pushes := 0
	for seed := range uint64(150) {
		rng := newTestRand(seed)
		s, n := randomSettings(rng)
		w := newWorld(t, s, seed, n)
		w.fields = Fields(rng(256)) // any set of figures, none too
		for i := range 1200 {
			if i < 1000 && rng(3) == 0 {
				w.arrive()
			}
			w.step()
		}
		pushes += w.pushes
	}
	if pushes < 4000 {
		t.Errorf("only %d pushes: the test looks at too little", pushes)
	}
}

// The same events and the same seed give the same actions.
func TestSameEventsSameActions(t *testing.T) {
	run := func() []string {
		w := newWorld(t, testSettings(), 7, 12)
		for range 800 {
			if w.rng.IntN(2) == 0 {
				w.arrive()
			}
			w.step()
		}
		return w.log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs on the same events differ")
	}
}

// State is dropped: after a long run with churn and a quiet end nothing is left of jobs, attempts, probes
// and departed workers.
func TestNothingLeaks(t *testing.T) {
	s := testSettings()
	w := newWorld(t, s, 3, 20)
	for i := range 20000 {
		if i < 19000 && i%2 == 0 {
			w.arrive()
		}
		w.step()
	}
	for range 1000 {
		w.now += 50 * ms
		w.step()
	}
	if len(w.d.jobs) != 0 {
		t.Errorf("%d jobs left", len(w.d.jobs))
	}
	ready := 0
	for _, e := range w.workers {
		if e.State != Gone {
			ready++
		}
	}
	if len(w.d.workers) != ready || len(w.d.listed) != ready {
		t.Errorf("%d workers kept, %d listed, %d exist", len(w.d.workers), len(w.d.listed), ready)
	}
	for _, v := range w.d.listed {
		if v.out != 0 || v.late != 0 || len(v.probes) != 0 || len(v.recent) > 64 {
			t.Errorf("worker %d: out %d, late %d, probes %d, claims %d", v.ID, v.out, v.late, len(v.probes), len(v.recent))
		}
	}
	if n := len(w.d.spare); n > 2000 {
		t.Errorf("%d spare jobs kept", n)
	}
}

// A cold worker that looks idle to every node gets, from all of them together, less than makes it fall.
func TestColdWorkerIsNotPushedOver(t *testing.T) {
	for _, nodes := range []int{1, 40} {
		s := testSettings()
		s.Nodes = nodes
		var ds []*Dispatcher
		var recs []*recorder
		now := 1000 * second
		fleet := []Worker{}
		for i := range 10 {
			fleet = append(fleet, Worker{ID: WorkerID(i + 1), State: Ready})
		}
		for i := range nodes {
			r := &recorder{}
			d, err := New(s, uint64(i), r)
			if err != nil {
				t.Fatal(err)
			}
			d.Announce(now, ListCached, fleet)
			recs, ds = append(recs, r), append(ds, d)
		}
		const run = 200 * ms
		id, start, cold := uint32(0), now+20*second, 0
		gap := 5 * ms // 200 jobs of 0.2 s a second for 10 workers: four cores each, nearly full
		sent := map[Time]float64{}
		for step := range 6000 {
			now += gap
			if now >= start && now < start+gap {
				fleet[0].StartedAt = now
				for _, d := range ds {
					d.Announce(now, ListDelta, fleet[:1])
				}
			}
			i := step % nodes
			d, r := ds[i], recs[i]
			for other, v := range recs {
				for _, a := range v.take("wake") {
					if a.token>>56 == wakeRedraw>>56 {
						ds[other].Wake(now, a.token)
					}
				}
			}
			id++
			d.Arrive(now, Job{ID: id, Class: 1, GiveUpAt: now + 5*second})
			for range 4 {
				for _, a := range r.take("") {
					switch a.kind {
					case "probe":
						free := 1.0
						if a.worker == 1 {
							free = 4
						}
						d.ProbeResult(now, a.worker, Served, 0, Report{Has: HasFreeSlots, FreeSlots: free})
					case "push":
						if a.worker == 1 && now >= start {
							sent[(now-start)/second] += float64(run)
							cold++
						}
						d.Note(now, a.job, 0, NoteStarted, 0)
						d.Outcome(now+run, Outcome{Job: a.job, Worker: a.worker, Status: Served, Closed: true})
						d.now = now
					}
				}
			}
		}
		for sec, work := range sent {
			warmth := s.ColdFrom + (1-s.ColdFrom)*float64(sec)/20
			if limit := s.OverloadMultiple * warmth * 4 * float64(second); work > limit {
				t.Errorf("%d nodes: %.0f us of work in second %d, a fall budget of %.0f", nodes, work, sec, limit)
			}
		}
		if cold == 0 {
			t.Errorf("%d nodes: the cold worker never got a job", nodes)
		}
	}
}
