package decide

import (
	"reflect"
	"testing"
)

// randomSettings returns random valid settings and a number of workers.
func randomSettings(intN func(n int) int) (Settings, int) {
	s := testSettings()
	flip := func() bool { return intN(2) == 0 }
	s.Nodes, s.Zones = 1+intN(300), 1+intN(4)
	s.Zone = intN(s.Zones)
	s.CanProbe, s.CanCancel, s.SecondCopies, s.TellsStart = intN(5) > 0, flip(), flip(), flip()
	s.MaxAttempts = 1 + intN(5)
	s.MustAsk, s.AskWithin = flip(), 8*second
	s.WorthByWork, s.CanMessagePeers = flip(), flip()
	for i := range s.Classes {
		if intN(3) == 0 {
			s.Classes[i].Kind = intN(2)
		}
	}
	for range intN(4) {
		s.Tenants = append(s.Tenants, Tenant{Allowance: float64(1 + intN(200))})
	}
	return s, 1 + intN(30)
}

// The rules hold on random sequences of valid events under random valid settings. The test was seen to fail with each guard
// removed on its own: mayRepeat, the limit of attempts, the check before a refusal, and the Fail in giveUp. Drains have two
// guards, the list of ready workers and eligible, and it fails with both removed.
func TestRulesHoldOnRandomEvents(t *testing.T) {
	pushes := 0
	for seed := range uint64(150) {
		rng := newTestRand(seed)
		s, n := randomSettings(rng)
		sim := newSimulation(t, s, seed, n)
		sim.fields = Fields(rng(256)) // any set of figures, or none
		for i := range 1200 {
			if i < 1000 && rng(3) == 0 {
				sim.arrive()
			}
			sim.step()
		}
		pushes += sim.pushes
	}
	if pushes < 4000 {
		t.Errorf("only %d pushes, too few for a meaningful test", pushes)
	}
}

// The same events and the same seed lead to the same actions.
func TestDispatcherIsDeterministic(t *testing.T) {
	run := func() []string {
		sim := newSimulation(t, testSettings(), 7, 12)
		for range 800 {
			if sim.rng.IntN(2) == 0 {
				sim.arrive()
			}
			sim.step()
		}
		return sim.log
	}
	if a, b := run(), run(); !reflect.DeepEqual(a, b) {
		t.Error("two runs with the same events differ")
	}
}

// After a long run with many changes of the fleet and an idle end, no state remains of jobs, attempts, probes and removed
// workers.
func TestStateIsReleased(t *testing.T) {
	settings := testSettings()
	sim := newSimulation(t, settings, 3, 20)
	for i := range 20000 {
		if i < 19000 && i%2 == 0 {
			sim.arrive()
		}
		sim.step()
	}
	for range 1000 {
		sim.now += 50 * ms
		sim.step()
	}
	if len(sim.dispatcher.jobs) != 0 {
		t.Errorf("%d jobs left", len(sim.dispatcher.jobs))
	}
	ready := 0
	for _, e := range sim.workers {
		if e.State != Gone {
			ready++
		}
	}
	if len(sim.dispatcher.workers) != ready || len(sim.dispatcher.listed) != ready {
		t.Errorf("%d workers known, %d listed, %d exist", len(sim.dispatcher.workers), len(sim.dispatcher.listed), ready)
	}
	for _, v := range sim.dispatcher.listed {
		if v.inFlight != 0 || v.overdueStarts != 0 || len(v.probes) != 0 || len(v.claims) > 64 {
			t.Errorf("worker %d: in flight %d, overdue starts %d, probes %d, claims %d", v.ID, v.inFlight, v.overdueStarts, len(v.probes), len(v.claims))
		}
	}
	if n := len(sim.dispatcher.freeJobs); n > 2000 {
		t.Errorf("%d entries of finished jobs kept", n)
	}
}

// A cold worker that looks idle to all dispatchers receives less from them in total than would overload it.
func TestColdWorkerIsNotOverloaded(t *testing.T) {
	for _, nodes := range []int{1, 40} {
		settings := testSettings()
		settings.Nodes = nodes
		var dispatchers []*Dispatcher
		var recorders []*recorder
		now := 1000 * second
		fleet := []Worker{}
		for i := range 10 {
			fleet = append(fleet, Worker{ID: WorkerID(i + 1), State: Ready})
		}
		for i := range nodes {
			r := &recorder{}
			dispatcher, err := New(settings, uint64(i), r)
			if err != nil {
				t.Fatal(err)
			}
			dispatcher.Announce(now, ListCached, fleet)
			recorders, dispatchers = append(recorders, r), append(dispatchers, dispatcher)
		}
		const run = 200 * ms
		id, restartAt, coldPushes := uint32(0), now+20*second, 0
		gap := 5 * ms // 200 jobs of 0.2 s per second for 10 workers of four cores, which are nearly full
		sent := map[Time]float64{}
		for step := range 6000 {
			now += gap
			if now >= restartAt && now < restartAt+gap {
				fleet[0].StartedAt = now
				for _, dispatcher := range dispatchers {
					dispatcher.Announce(now, ListDelta, fleet[:1])
				}
			}
			i := step % nodes
			dispatcher, r := dispatchers[i], recorders[i]
			for other, v := range recorders {
				for _, a := range v.take("wake") {
					if a.token>>56 == wakeRedraw>>56 {
						dispatchers[other].Wake(now, a.token)
					}
				}
			}
			id++
			dispatcher.Arrive(now, Job{ID: id, Class: 1, GiveUpAt: now + 5*second})
			for range 4 {
				for _, a := range r.take("") {
					switch a.kind {
					case "probe":
						free := 1.0
						if a.worker == 1 {
							free = 4
						}
						dispatcher.ProbeResult(now, a.worker, Served, 0, Report{Has: HasFreeSlots, FreeSlots: free})
					case "push":
						if a.worker == 1 && now >= restartAt {
							sent[(now-restartAt)/second] += float64(run)
							coldPushes++
						}
						dispatcher.Note(now, a.job, 0, NoteStarted, 0)
						dispatcher.Outcome(now+run, Outcome{Job: a.job, Worker: a.worker, Status: Served, Closed: true})
						dispatcher.now = now
					}
				}
			}
		}
		for sec, work := range sent {
			warmth := settings.ColdFrom + (1-settings.ColdFrom)*float64(sec)/20
			if limit := settings.OverloadMultiple * warmth * 4 * float64(second); work > limit {
				t.Errorf("%d dispatchers: %.0f us of work in second %d, over a budget of %.0f", nodes, work, sec, limit)
			}
		}
		if coldPushes == 0 {
			t.Errorf("%d dispatchers: the cold worker never received a job", nodes)
		}
	}
}
