package decide_test

import (
	"fmt"

	"weldscale/decide"
)

// printer is the caller. It prints the requested actions and records those that need an answer.
type printer struct {
	probes []decide.WorkerID
	pushed decide.WorkerID
	wakes  []uint64
}

func (p *printer) Push(job uint32, w decide.WorkerID, _ decide.Time) {
	p.pushed = w
	fmt.Println("push job", job)
}
func (p *printer) Probe(w decide.WorkerID)          { p.probes = append(p.probes, w) }
func (p *printer) Wake(_ decide.Time, token uint64) { p.wakes = append(p.wakes, token) }
func (p *printer) Cancel(job uint32, attempt int)   { fmt.Println("cancel", job, attempt) }
func (p *printer) Refuse(job uint32, _ decide.Time) { fmt.Println("refuse", job) }
func (p *printer) Fail(job uint32)                  { fmt.Println("fail", job) }
func (p *printer) Watch(bool)                       {}
func (p *printer) Reload()                          {}
func (p *printer) SendPeer(int, []byte)             {}

// A job from its arrival to its final answer: the first worker rejects it as full, and a worker of a new pair serves it.
func Example() {
	settings := decide.Settings{
		Nodes: 1, Zones: 1, CanProbe: true, CanCancel: true, MaxAttempts: 3,
		ColdFrom: 0.2, ColdSpan: 10e6, OverloadMultiple: 3, OverloadSpan: 1e6, DrainGrace: 500e3, Tick: 1000,
		Classes: []decide.Class{{Effect: decide.Unsafe, Aim: 200e3, Stretch: 2, Deadline: 5e6, Worth: 1, Kind: -1}},
	}
	caller := &printer{}
	dispatcher, err := decide.New(settings, 1, caller)
	if err != nil {
		fmt.Println(err)
		return
	}
	now := decide.Time(1e6)
	dispatcher.Announce(now, decide.ListFull, []decide.Worker{
		{ID: 1, State: decide.Ready}, {ID: 2, State: decide.Ready}, {ID: 3, State: decide.Ready}})

	answer := func() { // the probed workers report two free slots each
		fmt.Println("probes:", len(caller.probes))
		for _, w := range caller.probes {
			dispatcher.ProbeResult(now, w, decide.Served, 500, decide.Report{Has: decide.HasFreeSlots, FreeSlots: 2})
		}
		caller.probes = nil
	}
	dispatcher.Arrive(now, decide.Job{ID: 7, GiveUpAt: now + 5e6})
	answer()
	caller.wakes = nil
	dispatcher.Outcome(now, decide.Outcome{Job: 7, Worker: caller.pushed, Status: decide.Full})
	now += 50e3
	for _, token := range caller.wakes {
		dispatcher.Wake(now, token)
	}
	answer()
	now += 300e3
	dispatcher.Outcome(now, decide.Outcome{Job: 7, Attempt: 1, Worker: caller.pushed, Status: decide.Served, Closed: true})
	fmt.Println("served")
	// Output:
	// probes: 2
	// push job 7
	// probes: 2
	// push job 7
	// served
}
