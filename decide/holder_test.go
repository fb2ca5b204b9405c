package decide

import (
	"slices"
	"testing"
)

// placeJob has a dispatcher with six equal workers place one job. Each worker answers its probe with the report of show. It
// returns the workers that were probed and the one that received the push.
func placeJob(t *testing.T, seed uint64, j Job, show func(WorkerID) Report) (probed []WorkerID, pushed WorkerID) {
	t.Helper()
	var r recorder
	settings := testSettings()
	settings.Zones = 2
	dispatcher, err := New(settings, seed, &r)
	if err != nil {
		t.Fatal(err)
	}
	var list []Worker
	for id := WorkerID(1); id <= 6; id++ {
		list = append(list, Worker{ID: id, Zone: int(id % 2), State: Ready})
	}
	dispatcher.Announce(second, ListFull, list)
	dispatcher.Arrive(second, j)
	for _, a := range r.take("probe") {
		probed = append(probed, a.worker)
	}
	for _, id := range probed {
		dispatcher.ProbeResult(second+ms, id, Served, ms, show(id))
	}
	for _, a := range r.take("push") {
		pushed = a.worker
	}
	return probed, pushed
}

func TestHolderJoinsTheDrawAndLosesToALessLoadedWorker(t *testing.T) {
	job := Job{ID: 1, GiveUpAt: 5 * second, Holder: 5, SavedSlots: 4}
	for seed := range uint64(50) {
		probed, pushed := placeJob(t, seed, job, func(id WorkerID) Report {
			if id == 5 {
				return Report{Has: HasFreeSlots, FreeSlots: 7}
			}
			return Report{Has: HasFreeSlots, FreeSlots: 10}
		})
		if len(probed) != 2 || probed[0] != 5 || probed[1] == 5 {
			t.Fatalf("seed %d: probed %v, want the holder and another worker", seed, probed)
		}
		if pushed != 5 {
			t.Fatalf("seed %d: pushed to %d, though the saved slots of the holder outweigh its fewer free ones", seed, pushed)
		}
		_, pushed = placeJob(t, seed, job, func(id WorkerID) Report {
			if id == 5 {
				return Report{Has: HasFreeSlots, FreeSlots: 5}
			}
			return Report{Has: HasFreeSlots, FreeSlots: 10}
		})
		if pushed == 5 {
			t.Fatalf("seed %d: the holder got the job, though another worker has more room, saved slots included", seed)
		}
	}
}

func TestDrawsBeginInTheZoneOfTheJob(t *testing.T) {
	for seed := range uint64(50) {
		for zone := range 2 {
			probed, _ := placeJob(t, seed, Job{ID: 1, GiveUpAt: 5 * second, Zone: zone + 1}, func(WorkerID) Report {
				return Report{Has: HasFreeSlots, FreeSlots: 10}
			})
			for _, id := range probed {
				if int(id%2) != zone {
					t.Fatalf("seed %d: worker %d is not in zone %d", seed, id, zone)
				}
			}
		}
	}
}

func TestAddClassLeavesKnownWorkersUsable(t *testing.T) {
	var r recorder
	dispatcher, err := New(testSettings(), 1, &r)
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.Announce(second, ListFull, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Ready}})
	class := dispatcher.AddClass(Class{Effect: Unsafe, Aim: second, Deadline: 5 * second, Worth: 1, Kind: -1}, second/10)
	dispatcher.Arrive(second, Job{ID: 1, Class: class, GiveUpAt: 6 * second})
	for _, a := range r.take("probe") {
		dispatcher.ProbeResult(second+ms, a.worker, Served, ms, Report{Has: HasFreeSlots, FreeSlots: 4})
	}
	if pushes := r.take("push"); len(pushes) != 1 {
		t.Fatalf("%d pushes of a job of the added class", len(pushes))
	}
}

func TestUnpricedJobsAreNotThrottled(t *testing.T) {
	for _, unpriced := range []bool{false, true} {
		var r recorder
		s := testSettings()
		s.Unpriced = unpriced
		dispatcher, err := New(s, 1, &r)
		if err != nil {
			t.Fatal(err)
		}
		dispatcher.Announce(second, ListFull, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Ready}})
		dispatcher.price = 1e12
		drawn := 0
		for id := uint32(1); id <= 100; id++ {
			dispatcher.Arrive(second, Job{ID: id, GiveUpAt: 5 * second, Slots: 32})
			drawn += min(1, len(r.take("probe")))
		}
		if want := map[bool]int{false: 0, true: 100}[unpriced]; drawn != want {
			t.Errorf("unpriced %v: %d of 100 wide jobs got a draw, want %d", unpriced, drawn, want)
		}
	}
}

// holderDraw is a dispatcher with an open draw for a job whose holder, worker 1, is probed first.
type holderDraw struct {
	*Dispatcher
	actions recorder
	timeout uint64 // token of the timeout of the first probe
}

func newHolderDraw(t *testing.T) *holderDraw {
	t.Helper()
	draw := &holderDraw{}
	dispatcher, err := New(testSettings(), 1, &draw.actions)
	if err != nil {
		t.Fatal(err)
	}
	draw.Dispatcher = dispatcher
	dispatcher.Announce(second, ListFull, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Ready}})
	dispatcher.Arrive(second, Job{ID: 1, GiveUpAt: 6 * second, Holder: 1, SavedSlots: 2, EnoughSlots: 10})
	draw.timeout = draw.expect(t, []WorkerID{1}, nil)
	return draw
}

// expect checks which workers were probed and pushed to since the last call, and returns the token of the last timer.
func (draw *holderDraw) expect(t *testing.T, probed, pushed []WorkerID) (token uint64) {
	t.Helper()
	var gotProbed, gotPushed []WorkerID
	for _, a := range draw.actions.take("") {
		switch a.kind {
		case "probe":
			gotProbed = append(gotProbed, a.worker)
		case "push":
			gotPushed = append(gotPushed, a.worker)
		case "wake":
			token = a.token
		}
	}
	if !slices.Equal(gotProbed, probed) || !slices.Equal(gotPushed, pushed) {
		t.Fatalf("probed %v and pushed to %v, want %v and %v", gotProbed, gotPushed, probed, pushed)
	}
	return token
}

func (draw *holderDraw) answerProbe(after Time, id WorkerID, free float64) {
	draw.ProbeResult(second+after, id, Served, ms, Report{Has: HasFreeSlots, FreeSlots: free})
}

// SavedSlots count: eight free slots and two saved ones are the ten that are enough.
func TestHolderWithEnoughSlotsGetsTheJobAlone(t *testing.T) {
	draw := newHolderDraw(t)
	draw.answerProbe(ms, 1, 8)
	draw.expect(t, nil, []WorkerID{1})
}

func TestHolderWithTooFewSlotsIsComparedWithAnother(t *testing.T) {
	draw := newHolderDraw(t)
	draw.answerProbe(ms, 1, 7)
	draw.expect(t, []WorkerID{2}, nil)
	draw.answerProbe(2*ms, 2, 10)
	draw.expect(t, nil, []WorkerID{2})
}

func TestSecondWorkerIsProbedIfTheHolderRefusesItsProbe(t *testing.T) {
	draw := newHolderDraw(t)
	draw.ProbeResult(second+ms, 1, ConnectFailed, ms, Report{})
	draw.expect(t, []WorkerID{2}, nil)
	draw.answerProbe(2*ms, 2, 10)
	draw.expect(t, nil, []WorkerID{2})
}

func TestSecondWorkerIsProbedIfTheHolderDoesNotAnswer(t *testing.T) {
	draw := newHolderDraw(t)
	draw.Wake(second+holderTimeout, draw.timeout)
	timeout := draw.expect(t, []WorkerID{2}, nil)
	draw.answerProbe(holderTimeout+ms, 2, 10)
	draw.expect(t, nil, nil) // the answer of the holder is still awaited
	draw.Wake(second+holderTimeout+probeTimeout, timeout)
	draw.expect(t, nil, []WorkerID{2})
}

func TestSingleHolderGetsTheJobAfterItsAnswer(t *testing.T) {
	var actions recorder
	dispatcher, err := New(testSettings(), 1, &actions)
	if err != nil {
		t.Fatal(err)
	}
	dispatcher.Announce(second, ListFull, []Worker{{ID: 1, State: Ready}})
	dispatcher.Arrive(second, Job{ID: 1, GiveUpAt: 6 * second, Holder: 1, EnoughSlots: 10})
	actions.take("")
	dispatcher.ProbeResult(second+ms, 1, Served, ms, Report{Has: HasFreeSlots, FreeSlots: 2})
	if pushes := actions.take("push"); len(pushes) != 1 {
		t.Fatalf("%d pushes, want one: there is no other worker", len(pushes))
	}
}
