package emulator

import (
	"fmt"
	"math/rand/v2"

	"weldscale/decide"
)

// This file contains the baseline policies that the decision module is compared with. Except for the oracle, they use
// only information that a real scheduler has. They keep the rules in the simplest way: they push nothing to a box that
// is announced as draining or gone, repeat a job that may have run only if it is safe, and refuse a job without attempts
// left.

// dispatcher is the interface that a node needs from a policy. *decide.Dispatcher implements it.
type dispatcher interface {
	Announce(now Time, kind decide.ListKind, list []decide.Worker)
	Arrive(now Time, in decide.Job)
	Outcome(now Time, o decide.Outcome)
	Note(now Time, id uint32, n int, kind decide.NoteKind, share float64)
	ProbeResult(now Time, id decide.WorkerID, s decide.Status, latency Time, r decide.Report)
	Wake(now Time, token uint64)
}

// Policies lists the names of the policies. module is package decide.
var Policies = []string{"module", "random", "round_robin", "least_outstanding", "oracle"}

// newDispatcher returns a dispatcher of the simulation's policy for a node.
func (x *Simulation) newDispatcher(n *node, s decide.Settings, seed uint64) (dispatcher, error) {
	switch x.Policy {
	case "", "module":
		return decide.New(s, seed, actions{n})
	case "random", "round_robin", "least_outstanding", "oracle":
		return &baseline{sim: x, settings: s, act: actions{n}, rng: rand.New(rand.NewPCG(seed, 1)), ready: map[decide.WorkerID]bool{},
			outstanding: map[decide.WorkerID]int{}, jobs: map[uint32]*baselineJob{}}, nil
	}
	return nil, fmt.Errorf("no policy %q", x.Policy)
}

// baselineJob is an open job of a baseline policy.
type baselineJob struct {
	decide.Job
	attempts int
	worker   decide.WorkerID
}

// baseline implements the policies other than module.
type baseline struct {
	sim          *Simulation
	settings     decide.Settings
	act          decide.Actions
	rng          *rand.Rand
	arrivalOrder []decide.WorkerID // boxes in the order in which they were first announced
	ready        map[decide.WorkerID]bool
	outstanding  map[decide.WorkerID]int
	jobs         map[uint32]*baselineJob
	picks        int
}

const baselineTimeout = Time(1) << 60 // longer than any job's remaining time

func (p *baseline) Announce(_ Time, kind decide.ListKind, list []decide.Worker) {
	if kind == decide.ListFull || kind == decide.ListCached {
		clear(p.ready)
	}
	for _, w := range list {
		if _, known := p.outstanding[w.ID]; !known {
			p.arrivalOrder = append(p.arrivalOrder, w.ID)
			p.outstanding[w.ID] = 0
		}
		p.ready[w.ID] = w.State == decide.Ready
	}
}

func (p *baseline) Arrive(now Time, in decide.Job) {
	j := &baselineJob{Job: in}
	p.jobs[in.ID] = j
	p.act.Wake(in.GiveUpAt-now-2*p.settings.Tick, uint64(in.ID))
	p.pushNext(now, j)
}

// pushNext pushes a job to a box, or ends it if no box, attempt or time is left.
func (p *baseline) pushNext(now Time, j *baselineJob) {
	w, ok := p.pick()
	if !ok || j.attempts >= p.settings.MaxAttempts || now >= j.GiveUpAt-4*p.settings.Tick {
		p.finish(j, true)
		return
	}
	j.attempts++
	j.worker = w
	p.outstanding[w]++
	p.act.Push(j.ID, w, min(baselineTimeout, j.GiveUpAt-now-p.settings.Tick))
}

// pick selects a ready box by the policy.
func (p *baseline) pick() (decide.WorkerID, bool) {
	var ready []decide.WorkerID
	for _, w := range p.arrivalOrder {
		if p.ready[w] {
			ready = append(ready, w)
		}
	}
	if len(ready) == 0 {
		return 0, false
	}
	p.picks++
	best := ready[p.rng.IntN(len(ready))] // ties are broken at random
	switch p.sim.Policy {
	case "round_robin":
		best = ready[p.picks%len(ready)]
	case "least_outstanding":
		for _, w := range ready {
			if p.outstanding[w] < p.outstanding[best] {
				best = w
			}
		}
	case "oracle":
		load := func(w decide.WorkerID) float64 {
			b := p.sim.boxes[w-1]
			if !b.up() {
				return 1e9
			}
			waits := 0
			for _, a := range b.queue {
				waits += a.request.job.slots
			}
			return float64(b.slotsInUse+waits+b.slotsInTransit) / (float64(b.kind.Slots) * b.speed())
		}
		least := load(best)
		for _, w := range ready {
			if v := load(w); v < least {
				best, least = w, v
			}
		}
	}
	return best, true
}

func (p *baseline) Outcome(now Time, o decide.Outcome) {
	j := p.jobs[o.Job]
	if j == nil {
		return
	}
	p.outstanding[o.Worker]--
	switch {
	case o.Closed:
		delete(p.jobs, o.Job)
	case o.Status.NeverRan() || p.settings.Classes[j.Class].Effect == decide.Safe && o.Status != decide.TimedOut:
		p.pushNext(now, j)
	default:
		p.finish(j, p.settings.Classes[j.Class].Effect == decide.Safe)
	}
}

// finish ends a job with a refusal if retrying it is harmless, and with a failure otherwise.
func (p *baseline) finish(j *baselineJob, harmless bool) {
	delete(p.jobs, j.ID)
	if harmless {
		p.act.Refuse(j.ID, p.settings.MaxRetryAfter)
	} else {
		p.act.Fail(j.ID)
	}
}

// Wake ends a job shortly before its deadline.
func (p *baseline) Wake(_ Time, token uint64) {
	if j := p.jobs[uint32(token)]; j != nil {
		p.outstanding[j.worker]--
		p.finish(j, p.settings.Classes[j.Class].Effect == decide.Safe)
		p.act.Cancel(j.ID, j.attempts-1)
	}
}

func (p *baseline) Note(Time, uint32, int, decide.NoteKind, float64)                      {}
func (p *baseline) ProbeResult(Time, decide.WorkerID, decide.Status, Time, decide.Report) {}
