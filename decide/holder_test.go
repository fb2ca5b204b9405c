package decide

import (
	"slices"
	"testing"
)

// place lets a dispatcher with six equal workers place one job; each worker answers its probe by show. It returns the
// workers that were probed and the one that got the push.
func place(t *testing.T, seed uint64, j Job, show func(WorkerID) Report) (probed []WorkerID, pushed WorkerID) {
	t.Helper()
	var r recorder
	s := testSettings()
	s.Zones = 2
	d, err := New(s, seed, &r)
	if err != nil {
		t.Fatal(err)
	}
	var list []Worker
	for id := WorkerID(1); id <= 6; id++ {
		list = append(list, Worker{ID: id, Zone: int(id % 2), State: Ready})
	}
	d.Announce(second, ListFull, list)
	d.Arrive(second, j)
	for _, a := range r.take("probe") {
		probed = append(probed, a.worker)
	}
	for _, id := range probed {
		d.ProbeResult(second+ms, id, Served, ms, show(id))
	}
	for _, a := range r.take("push") {
		pushed = a.worker
	}
	return probed, pushed
}

func TestHolderJoinsTheDrawAndLosesToALighterWorker(t *testing.T) {
	job := Job{ID: 1, GiveUpAt: 5 * second, Holder: 5, SavedSlots: 4}
	for seed := range uint64(50) {
		probed, pushed := place(t, seed, job, func(id WorkerID) Report {
			if id == 5 {
				return Report{Has: HasFreeSlots, FreeSlots: 7}
			}
			return Report{Has: HasFreeSlots, FreeSlots: 10}
		})
		if len(probed) != 2 || probed[0] != 5 || probed[1] == 5 {
			t.Fatalf("seed %d: probed %v, want the holder and one other", seed, probed)
		}
		if pushed != 5 {
			t.Fatalf("seed %d: pushed to %d, though the holder saves more than it lacks", seed, pushed)
		}
		_, pushed = place(t, seed, job, func(id WorkerID) Report {
			if id == 5 {
				return Report{Has: HasFreeSlots, FreeSlots: 5}
			}
			return Report{Has: HasFreeSlots, FreeSlots: 10}
		})
		if pushed == 5 {
			t.Fatalf("seed %d: the holder got the job, though another is lighter by more than it saves", seed)
		}
	}
}

func TestDrawsBeginInTheZoneOfTheJob(t *testing.T) {
	for seed := range uint64(50) {
		for zone := range 2 {
			probed, _ := place(t, seed, Job{ID: 1, GiveUpAt: 5 * second, Zone: zone + 1}, func(WorkerID) Report {
				return Report{Has: HasFreeSlots, FreeSlots: 10}
			})
			for _, id := range probed {
				if int(id%2) != zone {
					t.Fatalf("seed %d: worker %d is not of zone %d", seed, id, zone)
				}
			}
		}
	}
}

func TestAddClassLeavesKnownWorkersUsable(t *testing.T) {
	var r recorder
	d, err := New(testSettings(), 1, &r)
	if err != nil {
		t.Fatal(err)
	}
	d.Announce(second, ListFull, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Ready}})
	class := d.AddClass(Class{Effect: Unsafe, Aim: second, Deadline: 5 * second, Worth: 1, Kind: -1}, second/10)
	d.Arrive(second, Job{ID: 1, Class: class, GiveUpAt: 6 * second})
	for _, a := range r.take("probe") {
		d.ProbeResult(second+ms, a.worker, Served, ms, Report{Has: HasFreeSlots, FreeSlots: 4})
	}
	if pushes := r.take("push"); len(pushes) != 1 {
		t.Fatalf("%d pushes of a job of the added class", len(pushes))
	}
}

func TestWithoutAPriceNoJobIsHeldBackForADearerOne(t *testing.T) {
	for _, unpriced := range []bool{false, true} {
		var r recorder
		s := testSettings()
		s.Unpriced = unpriced
		d, err := New(s, 1, &r)
		if err != nil {
			t.Fatal(err)
		}
		d.Announce(second, ListFull, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Ready}})
		d.price = 1e12
		drawn := 0
		for id := uint32(1); id <= 100; id++ {
			d.Arrive(second, Job{ID: id, GiveUpAt: 5 * second, Slots: 32})
			drawn += min(1, len(r.take("probe")))
		}
		if want := map[bool]int{false: 0, true: 100}[unpriced]; drawn != want {
			t.Errorf("unpriced %v: %d of 100 wide jobs were drawn for, want %d", unpriced, drawn, want)
		}
	}
}

// holderDraw is a dispatcher that draws for a job whose holder, worker 1, is asked first.
type holderDraw struct {
	*Dispatcher
	acts    recorder
	timeout uint64 // of the first probe
}

func newHolderDraw(t *testing.T) *holderDraw {
	t.Helper()
	draw := &holderDraw{}
	d, err := New(testSettings(), 1, &draw.acts)
	if err != nil {
		t.Fatal(err)
	}
	draw.Dispatcher = d
	d.Announce(second, ListFull, []Worker{{ID: 1, State: Ready}, {ID: 2, State: Ready}})
	d.Arrive(second, Job{ID: 1, GiveUpAt: 6 * second, Holder: 1, SavedSlots: 2, EnoughSlots: 10})
	draw.timeout = draw.want(t, []WorkerID{1}, nil)
	return draw
}

// want compares the workers that were probed and pushed to since the last call, and returns the token of the last timer.
func (draw *holderDraw) want(t *testing.T, probed, pushed []WorkerID) (token uint64) {
	t.Helper()
	var gotProbed, gotPushed []WorkerID
	for _, a := range draw.acts.take("") {
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

func (draw *holderDraw) answer(after Time, id WorkerID, free float64) {
	draw.ProbeResult(second+after, id, Served, ms, Report{Has: HasFreeSlots, FreeSlots: free})
}

// What the holder saves counts: eight free slots and two saved are the ten that are enough.
func TestAHolderWithEnoughRoomGetsTheJobUnrivalled(t *testing.T) {
	draw := newHolderDraw(t)
	draw.answer(ms, 1, 8)
	draw.want(t, nil, []WorkerID{1})
}

func TestAHolderWithLessThanEnoughIsComparedWithAnother(t *testing.T) {
	draw := newHolderDraw(t)
	draw.answer(ms, 1, 7)
	draw.want(t, []WorkerID{2}, nil)
	draw.answer(2*ms, 2, 10)
	draw.want(t, nil, []WorkerID{2})
}

func TestAnotherIsAskedWhereTheHolderRefusesItsProbe(t *testing.T) {
	draw := newHolderDraw(t)
	draw.ProbeResult(second+ms, 1, ConnectFailed, ms, Report{})
	draw.want(t, []WorkerID{2}, nil)
	draw.answer(2*ms, 2, 10)
	draw.want(t, nil, []WorkerID{2})
}

func TestAnotherIsAskedWhereTheHolderIsSilent(t *testing.T) {
	draw := newHolderDraw(t)
	draw.Wake(second+holderWait, draw.timeout)
	timeout := draw.want(t, []WorkerID{2}, nil)
	draw.answer(holderWait+ms, 2, 10)
	draw.want(t, nil, nil) // the holder may still answer
	draw.Wake(second+holderWait+probeWait, timeout)
	draw.want(t, nil, []WorkerID{2})
}

func TestAloneTheHolderIsNotWaitedForTwice(t *testing.T) {
	var acts recorder
	d, err := New(testSettings(), 1, &acts)
	if err != nil {
		t.Fatal(err)
	}
	d.Announce(second, ListFull, []Worker{{ID: 1, State: Ready}})
	d.Arrive(second, Job{ID: 1, GiveUpAt: 6 * second, Holder: 1, EnoughSlots: 10})
	acts.take("")
	d.ProbeResult(second+ms, 1, Served, ms, Report{Has: HasFreeSlots, FreeSlots: 2})
	if pushes := acts.take("push"); len(pushes) != 1 {
		t.Fatalf("%d pushes, want one: there is no other worker", len(pushes))
	}
}
