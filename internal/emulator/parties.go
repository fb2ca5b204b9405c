package emulator

import (
	"fmt"
	"slices"

	"weldscale/decide"
)

// This file owns the parties of a world: the boxes that run jobs, and the schedulers, each a real Dispatcher with the
// caller's duties around it.

// box is a render box.
type box struct {
	x       *Simulation
	index   int
	kind    *BoxKind
	zone    int
	began   Time // its last start; 0: long ago
	running int  // slots in use
	coming  int  // slots of attempts on the way, for the oracle
	queue   []*attempt
	active  []*attempt
	slow    []float64 // factors, one for each trouble
	fails   []float64 // shares of jobs that fail, one for each trouble
	silent  int       // troubles that keep it silent
	dead    int       // troubles that keep its process down
	fallen  bool
	drains  int
	arrived []sentWork // to a cold one lately
	shown   decide.Report
	shownAt Time
	paused  Time // it stands still until then
	stream  string
}

type sentWork struct {
	at   Time
	work float64
}

func (x *Simulation) addBox(kind *BoxKind) {
	b := &box{x: x, index: len(x.boxes), kind: kind, zone: len(x.boxes) % len(x.script.Zones)}
	b.stream = fmt.Sprint("box ", b.index)
	x.boxes = append(x.boxes, b)
	x.listed = append(x.listed, decide.Worker{ID: decide.WorkerID(b.index + 1), Zone: b.zone, State: decide.Ready, Weight: 1})
}

// up reports whether it answers at all.
func (b *box) up() bool { return b.silent == 0 && b.dead == 0 && !b.fallen }

// speed is how much work a slot does in a unit of time just now.
func (b *box) speed() float64 {
	v := b.kind.Speed * b.warmth()
	for _, f := range b.slow {
		v /= f
	}
	return v
}

func (b *box) warmth() float64 {
	s := b.x.script
	if age := b.x.now - b.began; b.began > 0 && age < s.ColdSpan {
		return s.ColdFrom + (1-s.ColdFrom)*float64(age)/float64(s.ColdSpan)
	}
	return 1
}

// land takes an attempt that has reached the box.
func (b *box) land(a *attempt) {
	x := b.x
	if !b.up() {
		if b.dead > 0 || b.fallen {
			a.back(decide.ConnectFailed)
		} // a silent one says nothing: the attempt ends by its time, or as the box comes back
		a.lost = true
		return
	}
	x.note("land %d.%d box=%d work=%d", a.q.id, a.n, b.index, a.q.try.work*Time(a.q.try.slots))
	if b.pushedOver(float64(a.q.try.work) * float64(a.q.try.slots)) {
		b.fall()
		return
	}
	if a.q.try.slots > b.kind.Slots || len(b.queue) >= b.kind.Queue {
		a.back(decide.Full)
		return
	}
	for _, share := range b.fails {
		if r := x.rng(b.stream); r.Float64() < share {
			x.note("fail %d.%d box=%d", a.q.id, a.n, b.index)
			a.ended = true
			x.after(Time(10*ms+20*ms*r.Float64()), func() { a.back(decide.Error) })
			return
		}
	}
	b.queue = append(b.queue, a)
	b.next()
}

// stop ends an attempt that nobody waits for any more: one that waits is dropped, and where the script says so one that
// runs stops.
func (b *box) stop(a *attempt) {
	b.queue = slices.DeleteFunc(b.queue, func(v *attempt) bool { return v == a })
	if i := slices.Index(b.active, a); i >= 0 && b.x.script.Stops {
		a.ended = true
		b.running -= a.q.try.slots
		b.active = slices.Delete(b.active, i, i+1)
		b.next()
	}
}

// pushedOver books the work and reports whether a cold box gets more than it bears: what comes within the span, whether
// it is taken or not, against the multiple of what it can do now.
func (b *box) pushedOver(work float64) bool {
	s := b.x.script
	if b.warmth() >= 1 {
		b.arrived = nil
		return false
	}
	b.arrived = slices.DeleteFunc(b.arrived, func(w sentWork) bool { return b.x.now-w.at > s.FallSpan })
	b.arrived = append(b.arrived, sentWork{b.x.now, work})
	sum := 0.0
	for _, w := range b.arrived {
		sum += w.work
	}
	return sum > s.FallMultiple*b.kind.Speed*b.warmth()*float64(b.kind.Slots)*float64(s.FallSpan)
}

// fall is the collapse: what it has is lost, and it stays down.
func (b *box) fall() {
	b.x.note("fall box=%d", b.index)
	b.fallen = true
	b.loseAll(decide.Reset)
}

// loseAll ends everything in hand; those that hear of it hear that.
func (b *box) loseAll(s decide.Status) {
	for _, a := range append(slices.Clone(b.active), b.queue...) {
		a.ended = true
		a.back(s)
	}
	b.active, b.queue, b.running = nil, nil, 0
}

// next starts waiting jobs in order; the first waits until it fits, or lets by any that does.
func (b *box) next() {
	for b.up() {
		i := slices.IndexFunc(b.queue, func(a *attempt) bool { return b.running+a.q.try.slots <= b.kind.Slots })
		if i < 0 || i > 0 && !b.x.script.Backfill {
			return
		}
		a := b.queue[i]
		b.queue = slices.Delete(b.queue, i, i+1)
		b.running += a.q.try.slots
		b.active = append(b.active, a)
		b.x.note("start %d.%d box=%d", a.q.id, a.n, b.index)
		a.started()
		b.work(a, float64(a.q.try.work))
	}
}

// workStep is the longest stretch for which the speed is taken as constant.
const workStep Time = 200e3

// work does what is left of a job, a stretch at a time.
func (b *box) work(a *attempt, left float64) {
	if a.ended {
		return
	}
	x := b.x
	if wait := b.paused - x.now; wait > 0 {
		x.after(wait, func() { b.work(a, left) })
		return
	}
	v := b.speed()
	step := min(workStep, Time(left/v)+1)
	x.after(step, func() {
		if rest := left - v*float64(step); rest > 0 {
			b.work(a, rest)
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
	b.running -= a.q.try.slots
	b.active = slices.DeleteFunc(b.active, func(v *attempt) bool { return v == a })
	b.x.note("end %d.%d box=%d", a.q.id, a.n, b.index)
	a.back(decide.Served)
	b.next()
}

// report is the load as a probe shows it: refreshed now and then, and a little wrong.
func (b *box) report() decide.Report {
	x := b.x
	if b.shownAt == 0 || x.now-b.shownAt >= x.script.ReportInterval {
		r := x.rng(b.stream)
		noisy := func(v float64) float64 { return max(0, v*(1+x.script.Noise*r.NormFloat64())) }
		b.shown = decide.Report{Has: decide.HasFreeSlots | decide.HasInFlight | decide.HasUtil,
			FreeSlots: noisy(float64(b.kind.Slots - b.running)), InFlight: noisy(float64(len(b.active) + len(b.queue))),
			Util: min(1, noisy(float64(b.running)/float64(b.kind.Slots)))}
		if x.script.TellsQueue {
			b.shown.Has |= decide.HasQueue
			b.shown.Queue = noisy(float64(len(b.queue)))
		}
		b.shownAt = x.now
	}
	return b.shown
}

// restart begins anew, cold.
func (b *box) restart() {
	b.began, b.fallen = b.x.now, false
	b.arrived, b.shownAt = nil, 0
	b.x.note("up box=%d", b.index)
	b.x.happens(ExternalEvent{Kind: BoxRestarted, Box: b.index})
}

// request is one request in a scheduler's hands.
type request struct {
	id       uint32
	try      *try
	node     *node
	giveUp   Time
	over     bool
	attempts []*attempt
	out      int
}

// attempt is one push.
type attempt struct {
	q     *request
	n     int
	b     *box
	node  *node
	sent  Time
	over  bool // as its scheduler knows it
	ended bool // on the box
	lost  bool // it landed nowhere
}

// back tells the scheduler, a way later, how it ended.
func (a *attempt) back(s decide.Status) {
	x := a.b.x
	x.after(x.delay(a.b.zone, a.node.zone, a.node.stream), func() { a.outcome(s) })
}

func (a *attempt) started() {
	x := a.b.x
	x.after(x.delay(a.b.zone, a.node.zone, a.node.stream), func() {
		if !a.over && !a.node.dead {
			a.node.call(func(d dispatcher) { d.Note(x.now, a.q.id, a.n, decide.NoteStarted, 0) })
		}
	})
}

// outcome is the end of an attempt as its scheduler learns it. Only the first counts.
func (a *attempt) outcome(s decide.Status) {
	if a.over || a.node.dead {
		return
	}
	x, q := a.b.x, a.q
	a.over = true
	q.out--
	x.note("outcome %d.%d %s", q.id, a.n, statusNames[s])
	closed := q.over
	if s == decide.Served {
		closed = true
	}
	a.node.call(func(d dispatcher) {
		d.Outcome(x.now, decide.Outcome{Job: q.id, Attempt: a.n, Worker: decide.WorkerID(a.b.index + 1), Status: s, Closed: closed,
			Latency: x.now - a.sent})
	})
	if s == decide.Served {
		x.answer(q, "served", 0)
	}
	a.node.forget(q)
}

var statusNames = [...]string{"error", "served", "full", "timed_out", "connect_failed", "reset", "cancelled", "moot"}

// node is a scheduler.
type node struct {
	x        *Simulation
	index    int
	zone     int
	d        dispatcher
	requests map[uint32]*request // looked up only
	todo     []func()
	running  bool
	dead     bool
	life     int // grows with each restart: timers of an earlier one are void
	pushes   int
	probes   int
	cross    int
	stream   string
}

func (x *Simulation) addNode(i int) (*node, error) {
	n := &node{x: x, index: i, zone: i % len(x.script.Zones), stream: fmt.Sprint("node ", i)}
	return n, n.reset()
}

func (n *node) reset() error {
	s := n.x.script.Settings(n.zone)
	n.requests, n.todo = map[uint32]*request{}, nil
	n.life++
	var err error
	n.d, err = n.x.newDispatcher(n, s, n.x.rng(n.stream).Uint64())
	return err
}

func (n *node) begin() {
	n.call(func(d dispatcher) { d.Announce(n.x.now, decide.ListCached, n.x.listed) })
}

// call makes a call of the module and then carries out what it asked for, in order.
func (n *node) call(f func(dispatcher)) {
	if n.running {
		n.todo = append(n.todo, func() { f(n.d) })
		return
	}
	n.running = true
	f(n.d)
	for len(n.todo) > 0 {
		next := n.todo[0]
		n.todo = n.todo[1:]
		next()
	}
	n.running = false
}

func (n *node) forget(q *request) {
	if q.over && q.out == 0 {
		delete(n.requests, q.id)
	}
}

// tell brings news of the list, late.
func (n *node) tell(list []decide.Worker, late Time) {
	n.x.after(late, func() {
		if n.dead {
			return
		}
		for _, w := range list {
			n.x.note("told node=%d box=%d state=%d", n.index, w.ID-1, w.State)
		}
		n.call(func(d dispatcher) { d.Announce(n.x.now, decide.ListDelta, list) })
	})
}

// actions carries out what a node's module asks for.
type actions struct{ n *node }

func (a actions) do(f func()) { a.n.todo = append(a.n.todo, f) }

func (a actions) Push(id uint32, w decide.WorkerID, timeout Time) {
	a.do(func() {
		n, x := a.n, a.n.x
		q := n.requests[id]
		if q == nil {
			return
		}
		t := &attempt{q: q, n: len(q.attempts), b: x.boxes[w-1], node: n, sent: x.now}
		q.attempts = append(q.attempts, t)
		q.out++
		q.try.pushes++
		n.pushes++
		if t.b.zone != n.zone {
			n.cross++
		}
		x.note("push %d.%d node=%d box=%d", id, t.n, n.index, t.b.index)
		x.after(timeout, func() {
			if !t.over {
				t.outcome(decide.TimedOut)
				t.b.stop(t)
			}
		})
		t.b.coming += q.try.slots
		x.after(x.delay(n.zone, t.b.zone, n.stream), func() {
			t.b.coming -= q.try.slots
			t.b.land(t)
		})
	})
}

func (a actions) Probe(w decide.WorkerID) {
	a.do(func() {
		n, x, life := a.n, a.n.x, a.n.life
		b, sent := x.boxes[w-1], x.now
		n.probes++
		over := false
		end := func(s decide.Status, r decide.Report) {
			if !over && n.life == life && !n.dead {
				over = true
				n.call(func(d dispatcher) { d.ProbeResult(x.now, w, s, x.now-sent, r) })
			}
		}
		x.after(x.script.ProbeTimeout, func() { end(decide.TimedOut, decide.Report{}) })
		x.after(x.delay(n.zone, b.zone, n.stream), func() {
			switch {
			case b.dead > 0 || b.fallen:
				x.after(x.delay(b.zone, n.zone, n.stream), func() { end(decide.ConnectFailed, decide.Report{}) })
			case b.silent > 0:
			default:
				wait := max(0, b.paused-x.now)
				if x.script.ProbeWork > 0 {
					wait += Time(float64(x.script.ProbeWork) / b.speed())
				} else {
					for _, f := range b.slow {
						wait += Time(f * 1000) // a box without its cores is slow to answer too
					}
				}
				x.after(wait+x.delay(b.zone, n.zone, n.stream), func() { end(decide.Served, b.report()) })
			}
		})
	})
}

func (a actions) Cancel(id uint32, i int) {
	a.do(func() {
		q := a.n.requests[id]
		if q == nil || i >= len(q.attempts) || q.attempts[i].over {
			return
		}
		t := q.attempts[i]
		t.outcome(decide.Cancelled)
		x := a.n.x
		x.after(x.delay(a.n.zone, t.b.zone, a.n.stream), func() { t.b.stop(t) })
	})
}

func (a actions) Refuse(id uint32, after Time) {
	a.do(func() {
		if q := a.n.requests[id]; q != nil {
			a.n.x.answer(q, "refused", after)
		}
	})
}

func (a actions) Fail(id uint32) {
	a.do(func() {
		if q := a.n.requests[id]; q != nil {
			a.n.x.answer(q, "failed", 0)
		}
	})
}

func (a actions) Wake(after Time, token uint64) {
	n, life := a.n, a.n.life
	a.do(func() {
		n.x.after(max(after, 1), func() {
			if n.life == life && !n.dead {
				n.call(func(d dispatcher) { d.Wake(n.x.now, token) })
			}
		})
	})
}

// The list comes by itself here, and nodes do not talk.
func (a actions) Watch(bool)           {}
func (a actions) Reload()              {}
func (a actions) SendPeer(int, []byte) {}
