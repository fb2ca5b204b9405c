package emulator

import (
	"fmt"
	"slices"

	"weldscale/decide"
)

// This file contains the boxes that run jobs, and the schedulers. Each scheduler runs a dispatcher and carries out the
// duties of its caller.

// box is a simulated worker.
type box struct {
	sim            *Simulation
	index          int
	kind           *BoxKind
	zone           int
	startedAt      Time // time of the last start; 0: long ago
	slotsInUse     int
	slotsInTransit int // slots of attempts in transit to the box; used by the oracle policy
	queue          []*attempt
	active         []*attempt
	slowdowns      []float64 // one factor for each active trouble
	failureShares  []float64 // shares of jobs that fail, one for each active trouble
	silences       int       // active troubles that keep it unresponsive
	stops          int       // active troubles that keep its process down
	collapsed      bool
	drains         int           // active troubles that drain it
	coldArrivals   []arrivedWork // work that arrived within OverloadSpan while the box was cold
	lastReport     decide.Report
	lastReportAt   Time
	pausedUntil    Time // the box runs nothing until then
	stream         string
}

type arrivedWork struct {
	at   Time
	work float64
}

func (x *Simulation) addBox(kind *BoxKind) {
	b := &box{sim: x, index: len(x.boxes), kind: kind, zone: len(x.boxes) % len(x.script.Zones)}
	b.stream = fmt.Sprint("box ", b.index)
	x.boxes = append(x.boxes, b)
	x.workerList = append(x.workerList, decide.Worker{ID: decide.WorkerID(b.index + 1), Zone: b.zone, State: decide.Ready, Weight: 1})
}

// up reports whether the box responds.
func (b *box) up() bool { return b.silences == 0 && b.stops == 0 && !b.collapsed }

// speed returns the work that a slot does per unit of time at present.
func (b *box) speed() float64 {
	speed := b.kind.Speed * b.warmth()
	for _, f := range b.slowdowns {
		speed /= f
	}
	return speed
}

// warmth returns the share of its capacity that a box has at present: less than 1 while it is cold.
func (b *box) warmth() float64 {
	s := b.sim.script
	if age := b.sim.now - b.startedAt; b.startedAt > 0 && age < s.ColdSpan {
		return s.ColdFrom + (1-s.ColdFrom)*float64(age)/float64(s.ColdSpan)
	}
	return 1
}

// receive handles an attempt that arrives at the box.
func (b *box) receive(a *attempt) {
	sim := b.sim
	if !b.up() {
		if b.stops > 0 || b.collapsed {
			a.sendOutcome(decide.ConnectFailed)
		} // a silent box sends nothing: the attempt ends by its timeout or a cancellation
		a.lost = true
		return
	}
	sim.logEvent("land %d.%d box=%d work=%d", a.request.id, a.number, b.index, a.request.job.work*Time(a.request.job.slots))
	if b.overloaded(float64(a.request.job.work) * float64(a.request.job.slots)) {
		b.collapse()
		return
	}
	if a.request.job.slots > b.kind.Slots || len(b.queue) >= b.kind.Queue {
		a.sendOutcome(decide.Full)
		return
	}
	for _, share := range b.failureShares {
		if r := sim.stream(b.stream); r.Float64() < share {
			sim.logEvent("fail %d.%d box=%d", a.request.id, a.number, b.index)
			a.ended = true
			sim.schedule(Time(10*ms+20*ms*r.Float64()), func() { a.sendOutcome(decide.Error) })
			return
		}
	}
	b.queue = append(b.queue, a)
	b.startQueued()
}

// cancel removes a queued attempt. It stops a running one only if the script has CancelsRunning.
func (b *box) cancel(a *attempt) {
	b.queue = slices.DeleteFunc(b.queue, func(v *attempt) bool { return v == a })
	if i := slices.Index(b.active, a); i >= 0 && b.sim.script.CancelsRunning {
		a.ended = true
		b.slotsInUse -= a.request.job.slots
		b.active = slices.Delete(b.active, i, i+1)
		b.startQueued()
	}
}

// overloaded adds the work of an arriving attempt and reports whether a cold box is overloaded: whether all work that
// arrived within OverloadSpan, accepted or not, exceeds OverloadMultiple times what the box can do in OverloadSpan at its
// present warmth.
func (b *box) overloaded(work float64) bool {
	s := b.sim.script
	if b.warmth() >= 1 {
		b.coldArrivals = nil
		return false
	}
	b.coldArrivals = slices.DeleteFunc(b.coldArrivals, func(w arrivedWork) bool { return b.sim.now-w.at > s.OverloadSpan })
	b.coldArrivals = append(b.coldArrivals, arrivedWork{b.sim.now, work})
	sum := 0.0
	for _, w := range b.coldArrivals {
		sum += w.work
	}
	return sum > s.OverloadMultiple*b.kind.Speed*b.warmth()*float64(b.kind.Slots)*float64(s.OverloadSpan)
}

// collapse ends all attempts of an overloaded box. The box stays down until it is restarted.
func (b *box) collapse() {
	b.sim.logEvent("fall box=%d", b.index)
	b.collapsed = true
	b.endAll(decide.Reset)
}

// endAll ends all running and queued attempts and reports the status to their schedulers.
func (b *box) endAll(s decide.Status) {
	for _, a := range append(slices.Clone(b.active), b.queue...) {
		a.ended = true
		a.sendOutcome(s)
	}
	b.active, b.queue, b.slotsInUse = nil, nil, 0
}

// startQueued starts queued attempts in order while they fit. With Backfill, attempts that fit overtake those that do not.
func (b *box) startQueued() {
	for b.up() {
		i := slices.IndexFunc(b.queue, func(a *attempt) bool { return b.slotsInUse+a.request.job.slots <= b.kind.Slots })
		if i < 0 || i > 0 && !b.sim.script.Backfill {
			return
		}
		a := b.queue[i]
		b.queue = slices.Delete(b.queue, i, i+1)
		b.slotsInUse += a.request.job.slots
		b.active = append(b.active, a)
		b.sim.logEvent("start %d.%d box=%d", a.request.id, a.number, b.index)
		a.sendStarted()
		b.run(a, float64(a.request.job.work))
	}
}

// workStep is the longest time for which the speed is assumed constant.
const workStep Time = 200e3

// run executes the remaining work of an attempt in steps of at most workStep.
func (b *box) run(a *attempt, remaining float64) {
	if a.ended {
		return
	}
	sim := b.sim
	if wait := b.pausedUntil - sim.now; wait > 0 {
		sim.schedule(wait, func() { b.run(a, remaining) })
		return
	}
	speed := b.speed()
	step := min(workStep, Time(remaining/speed)+1)
	sim.schedule(step, func() {
		if left := remaining - speed*float64(step); left > 0 {
			b.run(a, left)
		} else {
			b.finish(a)
		}
	})
}

func (b *box) finish(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	b.slotsInUse -= a.request.job.slots
	b.active = slices.DeleteFunc(b.active, func(v *attempt) bool { return v == a })
	b.sim.logEvent("end %d.%d box=%d", a.request.id, a.number, b.index)
	a.sendOutcome(decide.Served)
	b.startQueued()
}

// report returns the load report for a probe. It is refreshed at most every ReportInterval and has random noise.
func (b *box) report() decide.Report {
	sim := b.sim
	if b.lastReportAt == 0 || sim.now-b.lastReportAt >= sim.script.ReportInterval {
		r := sim.stream(b.stream)
		noisy := func(v float64) float64 { return max(0, v*(1+sim.script.ReportNoise*r.NormFloat64())) }
		b.lastReport = decide.Report{Has: decide.HasFreeSlots | decide.HasInFlight | decide.HasUtil,
			FreeSlots: noisy(float64(b.kind.Slots - b.slotsInUse)), InFlight: noisy(float64(len(b.active) + len(b.queue))),
			Util: min(1, noisy(float64(b.slotsInUse)/float64(b.kind.Slots)))}
		if sim.script.ReportsQueue {
			b.lastReport.Has |= decide.HasQueue
			b.lastReport.Queue = noisy(float64(len(b.queue)))
		}
		b.lastReportAt = sim.now
	}
	return b.lastReport
}

// restart starts the box again, cold.
func (b *box) restart() {
	b.startedAt, b.collapsed = b.sim.now, false
	b.coldArrivals, b.lastReportAt = nil, 0
	b.sim.logEvent("up box=%d", b.index)
	b.sim.emit(ExternalEvent{Kind: BoxRestarted, Box: b.index})
}

// request is one request of a client at a scheduler.
type request struct {
	id          uint32
	job         *clientJob
	node        *node
	giveUpAt    Time
	answered    bool
	attempts    []*attempt
	attemptsOut int
}

// attempt is one push of a request to a box.
type attempt struct {
	request  *request
	number   int
	box      *box
	node     *node
	sentAt   Time
	reported bool // the scheduler knows its outcome
	ended    bool // it no longer runs on the box
	lost     bool // the box was down on arrival, or became silent with it
}

// sendOutcome reports the outcome to the scheduler after the network delay.
func (a *attempt) sendOutcome(s decide.Status) {
	sim := a.box.sim
	sim.schedule(sim.networkDelay(a.box.zone, a.node.zone, a.node.stream), func() { a.receiveOutcome(s) })
}

// sendStarted reports the start of the job to the scheduler after the network delay.
func (a *attempt) sendStarted() {
	sim := a.box.sim
	sim.schedule(sim.networkDelay(a.box.zone, a.node.zone, a.node.stream), func() {
		if !a.reported && !a.node.crashed {
			a.node.call(func(d dispatcher) { d.Note(sim.now, a.request.id, a.number, decide.NoteStarted, 0) })
		}
	})
}

// receiveOutcome handles an outcome at the scheduler. Only the first outcome of an attempt counts.
func (a *attempt) receiveOutcome(s decide.Status) {
	if a.reported || a.node.crashed {
		return
	}
	sim, q := a.box.sim, a.request
	a.reported = true
	q.attemptsOut--
	sim.logEvent("outcome %d.%d %s", q.id, a.number, statusNames[s])
	closed := q.answered
	if s == decide.Served {
		closed = true
	}
	a.node.call(func(d dispatcher) {
		d.Outcome(sim.now, decide.Outcome{Job: q.id, Attempt: a.number, Worker: decide.WorkerID(a.box.index + 1), Status: s, Closed: closed,
			Latency: sim.now - a.sentAt})
	})
	if s == decide.Served {
		sim.answer(q, "served", 0)
	}
	a.node.removeIfDone(q)
}

var statusNames = [...]string{"error", "served", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// node is a simulated scheduler.
type node struct {
	sim            *Simulation
	index          int
	zone           int
	dispatcher     dispatcher
	requests       map[uint32]*request // never iterated in an order that matters
	pendingActions []func()
	executing      bool
	crashed        bool
	generation     int // incremented by each restart, which invalidates older timers
	pushes         int
	probes         int
	cross          int
	stream         string
}

func (x *Simulation) addNode(i int) (*node, error) {
	n := &node{sim: x, index: i, zone: i % len(x.script.Zones), stream: fmt.Sprint("node ", i)}
	return n, n.reset()
}

// reset creates a new dispatcher without any requests.
func (n *node) reset() error {
	s := n.sim.script.Settings(n.zone)
	n.requests, n.pendingActions = map[uint32]*request{}, nil
	n.generation++
	var err error
	n.dispatcher, err = n.sim.newDispatcher(n, s, n.sim.stream(n.stream).Uint64())
	return err
}

// announceCached announces the list service's present list, as a cached one, to the dispatcher.
func (n *node) announceCached() {
	n.call(func(d dispatcher) { d.Announce(n.sim.now, decide.ListCached, n.sim.workerList) })
}

// call calls the dispatcher and then carries out the actions that it requested, in order. A call made during another
// one is queued.
func (n *node) call(f func(dispatcher)) {
	if n.executing {
		n.pendingActions = append(n.pendingActions, func() { f(n.dispatcher) })
		return
	}
	n.executing = true
	f(n.dispatcher)
	for len(n.pendingActions) > 0 {
		next := n.pendingActions[0]
		n.pendingActions = n.pendingActions[1:]
		next()
	}
	n.executing = false
}

// removeIfDone forgets a request that is answered and has no attempts in flight.
func (n *node) removeIfDone(q *request) {
	if q.answered && q.attemptsOut == 0 {
		delete(n.requests, q.id)
	}
}

// announceLate announces changes of the worker list after a delay.
func (n *node) announceLate(list []decide.Worker, delay Time) {
	n.sim.schedule(delay, func() {
		if n.crashed {
			return
		}
		for _, w := range list {
			n.sim.logEvent("told node=%d box=%d state=%d", n.index, w.ID-1, w.State)
		}
		n.call(func(d dispatcher) { d.Announce(n.sim.now, decide.ListDelta, list) })
	})
}

// actions implements decide.Actions for a node.
type actions struct{ node *node }

// enqueue defers an action until the present call of the dispatcher returns.
func (a actions) enqueue(f func()) { a.node.pendingActions = append(a.node.pendingActions, f) }

func (a actions) Push(id uint32, w decide.WorkerID, timeout Time) {
	a.enqueue(func() {
		node, sim := a.node, a.node.sim
		request := node.requests[id]
		if request == nil {
			return
		}
		attempt := &attempt{request: request, number: len(request.attempts), box: sim.boxes[w-1], node: node, sentAt: sim.now}
		request.attempts = append(request.attempts, attempt)
		request.attemptsOut++
		request.job.pushes++
		node.pushes++
		if attempt.box.zone != node.zone {
			node.cross++
		}
		sim.logEvent("push %d.%d node=%d box=%d", id, attempt.number, node.index, attempt.box.index)
		sim.schedule(timeout, func() {
			if !attempt.reported {
				attempt.receiveOutcome(decide.TimedOut)
				attempt.box.cancel(attempt)
			}
		})
		attempt.box.slotsInTransit += request.job.slots
		sim.schedule(sim.networkDelay(node.zone, attempt.box.zone, node.stream), func() {
			attempt.box.slotsInTransit -= request.job.slots
			attempt.box.receive(attempt)
		})
	})
}

func (a actions) Probe(w decide.WorkerID) {
	a.enqueue(func() {
		node, sim, generation := a.node, a.node.sim, a.node.generation
		b, sent := sim.boxes[w-1], sim.now
		node.probes++
		finished := false
		finish := func(s decide.Status, r decide.Report) {
			if !finished && node.generation == generation && !node.crashed {
				finished = true
				node.call(func(d dispatcher) { d.ProbeResult(sim.now, w, s, sim.now-sent, r) })
			}
		}
		sim.schedule(sim.script.ProbeTimeout, func() { finish(decide.TimedOut, decide.Report{}) })
		sim.schedule(sim.networkDelay(node.zone, b.zone, node.stream), func() {
			switch {
			case b.stops > 0 || b.collapsed:
				sim.schedule(sim.networkDelay(b.zone, node.zone, node.stream), func() { finish(decide.ConnectFailed, decide.Report{}) })
			case b.silences > 0:
			default:
				wait := max(0, b.pausedUntil-sim.now)
				if sim.script.ProbeWork > 0 {
					wait += Time(float64(sim.script.ProbeWork) / b.speed())
				} else {
					for _, f := range b.slowdowns {
						wait += Time(f * 1000) // a slowed box also answers probes late
					}
				}
				sim.schedule(wait+sim.networkDelay(b.zone, node.zone, node.stream), func() { finish(decide.Served, b.report()) })
			}
		})
	})
}

func (a actions) Cancel(id uint32, i int) {
	a.enqueue(func() {
		q := a.node.requests[id]
		if q == nil || i >= len(q.attempts) || q.attempts[i].reported {
			return
		}
		attempt := q.attempts[i]
		attempt.receiveOutcome(decide.Cancelled)
		sim := a.node.sim
		sim.schedule(sim.networkDelay(a.node.zone, attempt.box.zone, a.node.stream), func() { attempt.box.cancel(attempt) })
	})
}

func (a actions) Refuse(id uint32, after Time) {
	a.enqueue(func() {
		if q := a.node.requests[id]; q != nil {
			a.node.sim.answer(q, "refused", after)
		}
	})
}

func (a actions) Fail(id uint32) {
	a.enqueue(func() {
		if q := a.node.requests[id]; q != nil {
			a.node.sim.answer(q, "failed", 0)
		}
	})
}

func (a actions) Wake(after Time, token uint64) {
	n, generation := a.node, a.node.generation
	a.enqueue(func() {
		n.sim.schedule(max(after, 1), func() {
			if n.generation == generation && !n.crashed {
				n.call(func(d dispatcher) { d.Wake(n.sim.now, token) })
			}
		})
	})
}

// Here the list service sends changes unasked, and schedulers send each other no messages.
func (a actions) Watch(bool)           {}
func (a actions) Reload()              {}
func (a actions) SendPeer(int, []byte) {}
