package emulator

import (
	"fmt"
	"math/rand/v2"

	"weldscale/decide"
)

// This file owns the plain policies that the decision module is held against. They know only what a real one could, but
// for the oracle, and keep the rules in the plainest way: nothing to a box that is told to drain or be gone, nothing
// again that may have run unless it is safe, a refusal where no attempt is left.

// dispatcher is what a node needs of a decision module; decide.Dispatcher is one.
type dispatcher interface {
	Announce(now Time, kind decide.ListKind, list []decide.Worker)
	Arrive(now Time, in decide.Job)
	Outcome(now Time, o decide.Outcome)
	Note(now Time, id uint32, n int, kind decide.NoteKind, share float64)
	ProbeResult(now Time, id decide.WorkerID, s decide.Status, latency Time, r decide.Report)
	Wake(now Time, token uint64)
}

// Policies are the names of the policies; module is weldscale's own.
var Policies = []string{"module", "random", "round_robin", "least_outstanding", "oracle"}

// newDispatcher makes a node's decisions by the world's policy.
func (x *Simulation) newDispatcher(n *node, s decide.Settings, seed uint64) (dispatcher, error) {
	switch x.Policy {
	case "", "module":
		return decide.New(s, seed, actions{n})
	case "random", "round_robin", "least_outstanding", "oracle":
		return &baseline{x: x, s: s, act: actions{n}, rng: rand.New(rand.NewPCG(seed, 1)), ready: map[decide.WorkerID]bool{},
			outstanding: map[decide.WorkerID]int{}, jobs: map[uint32]*baselineJob{}}, nil
	}
	return nil, fmt.Errorf("no policy %q", x.Policy)
}

type baselineJob struct {
	decide.Job
	attempts int
	worker   decide.WorkerID
}

// plain is one of the plain policies.
type baseline struct {
	x            *Simulation
	s            decide.Settings
	act          decide.Actions
	rng          *rand.Rand
	arrivalOrder []decide.WorkerID // in order of arrival
	ready        map[decide.WorkerID]bool
	outstanding  map[decide.WorkerID]int
	jobs         map[uint32]*baselineJob
	picks        int
}

const baselineTimeout = Time(1) << 60 // a job's own time ends first

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
	p.act.Wake(in.GiveUpAt-now-2*p.s.Tick, uint64(in.ID))
	p.pushNext(now, j)
}

func (p *baseline) pushNext(now Time, j *baselineJob) {
	w, ok := p.pick()
	if !ok || j.attempts >= p.s.MaxAttempts || now >= j.GiveUpAt-4*p.s.Tick {
		p.finish(j, true)
		return
	}
	j.attempts++
	j.worker = w
	p.outstanding[w]++
	p.act.Push(j.ID, w, min(baselineTimeout, j.GiveUpAt-now-p.s.Tick))
}

// pick chooses a box by the policy.
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
	best := ready[p.rng.IntN(len(ready))] // ties go by chance
	switch p.x.Policy {
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
			b := p.x.boxes[w-1]
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
	case o.Status.NeverRan() || p.s.Classes[j.Class].Effect == decide.Safe && o.Status != decide.TimedOut:
		p.pushNext(now, j)
	default:
		p.finish(j, p.s.Classes[j.Class].Effect == decide.Safe)
	}
}

func (p *baseline) finish(j *baselineJob, harmless bool) {
	delete(p.jobs, j.ID)
	if harmless {
		p.act.Refuse(j.ID, p.s.MaxRetryAfter)
	} else {
		p.act.Fail(j.ID)
	}
}

// Wake ends a job whose time is up.
func (p *baseline) Wake(_ Time, token uint64) {
	if j := p.jobs[uint32(token)]; j != nil {
		p.outstanding[j.worker]--
		p.finish(j, p.s.Classes[j.Class].Effect == decide.Safe)
		p.act.Cancel(j.ID, j.attempts-1)
	}
}

func (p *baseline) Note(Time, uint32, int, decide.NoteKind, float64)                      {}
func (p *baseline) ProbeResult(Time, decide.WorkerID, decide.Status, Time, decide.Report) {}
