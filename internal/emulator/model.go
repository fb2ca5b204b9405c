// Package emulator rehearses a fleet in simulated time: schedulers with the real decision module, render boxes with
// slots, queues, cold starts and collapse, a network with delays and cuts, a list service that comes late, and clients.
// It owns the model and its event log; nothing of it is a measurement of real machines. It must never read a clock, use a
// random number that has no named stream, or walk a map where the order shows: the same script and seed give the same
// log, to the byte.
package emulator

import (
	"bufio"
	"container/heap"
	"fmt"
	"hash/fnv"
	"io"
	"math"
	"math/rand/v2"
	"slices"

	"weldscale/decide"
)

// Time is a moment or a span in microseconds, as in package decide.
type Time = decide.Time

// event is something that happens at a moment; those of one moment happen in the order in which they were asked for.
type event struct {
	at  Time
	seq uint64
	do  func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any {
	old := *q
	last := old[len(old)-1]
	old[len(old)-1] = event{}
	*q = old[:len(old)-1]
	return last
}

// World is one run of a script.
type Simulation struct {
	// Policy is one of Policies; "" is the decision module.
	Policy string
	// SampleEvery is how far apart the samples of a Result are; 0: there are none.
	SampleEvery Time
	// Watch, if set, is told what comes from outside of the schedulers: what another world has to play to be the same.
	OnExternalEvent func(ExternalEvent)

	script *Script
	seed   uint64
	now    Time
	queue  events
	seq    uint64
	log    *bufio.Writer
	logged func(line string)
	done   uint64 // events so far

	boxes  []*box
	nodes  []*node
	listed []decide.Worker // as the list service has them
	down   int             // troubles that keep the list service down just now
	heavy  []*Trouble      // of clients' work, just now
	lastID uint32
	rngs   map[string]*rand.Rand // by name; looked up only
	tries  []*try
	origin Time
	shots  []Sample
}

// Happening is one thing that comes from outside of the schedulers.
type ExternalEvent struct {
	At       Time // since the start
	Kind     ExternalEventKind
	Node     int // Arrival: the scheduler
	Box      int // all others
	Class    int // Arrival
	Work     Time
	Slots    int
	Slowdown float64      // Slowed: how many times slower it is from now on
	State    decide.State // Listed
}

// HappeningKind says what happens.
type ExternalEventKind uint8

// The kinds.
const (
	Arrival      ExternalEventKind = iota // a client's wish
	BoxSilent                             // a box says nothing more
	BoxStopped                            // a box's process ends
	BoxRestarted                          // a box begins anew, cold
	BoxSlowed                             // a box is slower, or no longer
	BoxListed                             // the list service takes in a box's state; it tells late
)

func (x *Simulation) happens(h ExternalEvent) {
	if x.OnExternalEvent != nil {
		h.At = x.now - x.origin
		x.OnExternalEvent(h)
	}
}

// origin of the clock: the module takes 0 for long ago.
const origin Time = 1000e6

// New makes a world of a script. Its log goes to w, which may be nil.
func New(s *Script, seed uint64, w io.Writer) (*Simulation, error) {
	return NewWithPolicy("", s, seed, w)
}

// NewWith makes one whose schedulers decide by another policy.
func NewWithPolicy(policy string, s *Script, seed uint64, w io.Writer) (*Simulation, error) {
	if w == nil {
		w = io.Discard
	}
	x := &Simulation{Policy: policy, script: s, seed: seed, now: origin, origin: origin, log: bufio.NewWriterSize(w, 1<<16), rngs: map[string]*rand.Rand{}}
	for _, kind := range s.Boxes {
		for range kind.Count {
			x.addBox(kind)
		}
	}
	for i := range s.Schedulers {
		n, err := x.addNode(i)
		if err != nil {
			return nil, err
		}
		x.nodes = append(x.nodes, n)
	}
	for i := range s.Troubles {
		x.plan(&s.Troubles[i])
	}
	return x, nil
}

// rng is the stream of that name. Streams are independent: a further box takes no numbers from the others.
func (x *Simulation) rng(name string) *rand.Rand {
	r := x.rngs[name]
	if r == nil {
		h := fnv.New64a()
		io.WriteString(h, name)
		r = rand.New(rand.NewPCG(x.seed, h.Sum64()))
		x.rngs[name] = r
	}
	return r
}

// after has f happen once the span has passed.
func (x *Simulation) after(span Time, f func()) {
	x.seq++
	heap.Push(&x.queue, event{x.now + max(0, span), x.seq, f})
}

// note writes a line of the event log: the time since the start, then words.
func (x *Simulation) note(format string, args ...any) {
	line := fmt.Sprintf("%d ", x.now-x.origin) + fmt.Sprintf(format, args...)
	x.log.WriteString(line)
	x.log.WriteByte('\n')
	if x.logged != nil {
		x.logged(line)
	}
}

// Run plays the script to its end and until everything in hand has its answer. Progress is told now and then.
func (x *Simulation) Run(progress func(done, of Time)) (*Result, error) {
	for _, n := range x.nodes {
		n.begin()
	}
	x.arrivals()
	next := x.now
	for len(x.queue) > 0 {
		e := heap.Pop(&x.queue).(event)
		x.sample(e.at)
		x.now = e.at
		if x.now > x.origin+x.script.Duration+x.longest() {
			break // what is left are the module's own timers and the list's news
		}
		e.do()
		x.done++
		if progress != nil && x.now >= next {
			progress(x.now-x.origin, x.script.Duration)
			next = x.now + 1e6
		}
	}
	if err := x.log.Flush(); err != nil {
		return nil, err
	}
	return x.result(), nil
}

// maxHeld is how many boxes a sample tells apart.
const maxHeld = 64

// sample takes pictures of the state up to a moment; between two events nothing changes.
func (x *Simulation) sample(until Time) {
	for x.SampleEvery > 0 {
		at := Time(len(x.shots)) * x.SampleEvery
		if at > x.script.Duration || x.origin+at > until {
			return
		}
		s := Sample{At: at}
		for i, b := range x.boxes {
			s.Queue += len(b.queue)
			if b.up() {
				s.Free += b.kind.Slots - b.running
				s.Up++
			}
			if i < maxHeld {
				s.Held = append(s.Held, len(b.active)+len(b.queue))
			}
		}
		x.shots = append(x.shots, s)
	}
}

// longest is how long after the last arrival something may still be in hand.
func (x *Simulation) longest() Time {
	most := Time(0)
	for _, c := range x.script.Classes {
		most = max(most, c.Terms.Deadline)
	}
	return most*Time(1+x.script.Retries) + 10e6
}

// delay is one way between two zones.
func (x *Simulation) delay(a, b int, stream string) Time {
	d := x.script.Same
	if a != b {
		d = x.script.Cross
	}
	return Time(float64(d) * (1 + x.script.Jitter*x.rng(stream).Float64()))
}

// arrivals starts the clients: a Poisson process for each scheduler, thinned by the curve.
func (x *Simulation) arrivals() {
	for i, n := range x.nodes {
		r := x.rng(fmt.Sprint("arrivals ", i))
		peak := slices.Max(x.script.Curve)
		var next func()
		next = func() {
			x.after(Time(r.ExpFloat64()/(x.script.Rate*peak/float64(len(x.nodes)))*1e6), func() {
				past := x.now - x.origin
				if past >= x.script.Duration {
					return
				}
				if r.Float64()*peak < x.curve(past) {
					x.arrive(n, r)
				}
				next()
			})
		}
		next()
	}
}

// curve is the part of the rate that comes at a moment, between the points of the script.
func (x *Simulation) curve(past Time) float64 {
	c := x.script.Curve
	if len(c) == 1 {
		return c[0]
	}
	at := float64(past) / float64(x.script.Duration) * float64(len(c)-1)
	i := min(int(at), len(c)-2)
	return c[i] + (c[i+1]-c[i])*(at-float64(i))
}

// try is one wish of a client, with all its requests.
type try struct {
	class    int
	work     Time
	slots    int
	aimAt    Time
	came     Time
	answered bool
	inTime   bool
	late     bool
	refused  bool
	failed   bool
	left     int // requests it may still make
	sent     int
	pushes   int
}

func (x *Simulation) arrive(n *node, r *rand.Rand) {
	t := &try{came: x.now, left: x.script.Retries}
	at := r.Float64()
	for i := range x.script.Classes {
		t.class = i
		if at -= x.script.Classes[i].Share; at < 0 {
			break
		}
	}
	c := &x.script.Classes[t.class]
	// A lognormal of that mean and spread.
	sigma := math.Sqrt(math.Log(1 + c.Spread*c.Spread))
	t.work = max(1000, Time(float64(c.Work)*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)))
	for _, h := range x.heavy {
		if (h.Class == "" || h.Class == c.Name) && r.Float64() < h.Part {
			t.work = Time(float64(t.work) * h.Times)
		}
	}
	t.slots = c.Slots[r.IntN(len(c.Slots))]
	t.aimAt = x.now + c.Terms.Aim + Time(c.Terms.Stretch*float64(t.work))
	x.tries = append(x.tries, t)
	x.happens(ExternalEvent{Kind: Arrival, Node: n.index, Class: t.class, Work: t.work, Slots: t.slots})
	x.request(n, t)
}

// request brings one request of a try to a scheduler that lives.
func (x *Simulation) request(n *node, t *try) {
	if n.dead { // the front sends it to the next one
		for i := range x.nodes {
			if m := x.nodes[(n.index+i)%len(x.nodes)]; !m.dead {
				n = m
				break
			}
		}
	}
	c := &x.script.Classes[t.class]
	x.lastID++
	q := &request{id: x.lastID, try: t, node: n, giveUp: x.now + c.Terms.Deadline}
	t.sent++
	n.requests[q.id] = q
	x.note("arrive %d class=%s node=%d give_up=%d again=%d", q.id, c.Name, n.index, q.giveUp-x.origin, t.sent-1)
	n.call(func(d dispatcher) {
		hint := t.work
		if x.script.NoHints {
			hint = 0
		}
		d.Arrive(x.now, decide.Job{ID: q.id, Class: t.class, GiveUpAt: q.giveUp, Hint: hint, Slots: float64(t.slots)})
	})
}

// answer ends a request; the client may come again.
func (x *Simulation) answer(q *request, how string, retryAfter Time) {
	if q.over {
		return
	}
	q.over = true
	x.note("answer %d %s", q.id, how)
	t := q.try
	q.node.forget(q)
	if how == "served" {
		if !t.answered {
			t.answered = true
			t.inTime = x.now <= t.aimAt
			t.late = !t.inTime
		}
		return
	}
	// What must not run twice comes again only where it was refused; late ones only where that still earns something.
	terms := &x.script.Classes[t.class].Terms
	again := how == "refused" || terms.Effect != decide.Unsafe
	if again && t.left > 0 && (x.now < t.aimAt || terms.LateWorth > 0 && x.now < t.came+terms.Deadline) {
		t.left--
		x.after(max(x.script.RetryWait, retryAfter), func() { x.request(q.node, t) })
		return
	}
	t.refused, t.failed = how == "refused", how != "refused"
}

// Result is what became of a run.
type Result struct {
	Events   uint64
	Tries    int
	InTime   float64 // worth answered in time, of all that was asked for
	Earned   float64 // that, and what late answers earn
	Late     int
	Refused  int
	Failed   int
	Unserved int // neither: their time ran out
	Pushes   int
	Probes   int
	Cross    float64 // share of the pushes that crossed zones
	Fallen   int     // boxes that were pushed over
	Classes  []ClassResult
	Windows  []Window
	Samples  []Sample
}

// Sample is the boxes at a moment.
type Sample struct {
	At    Time  // since the start
	Queue int   // attempts that wait at boxes
	Free  int   // slots of boxes that are up
	Up    int   // boxes
	Held  []int // attempts at each of the first boxes
}

// ClassResult is one class of a Result.
type ClassResult struct {
	Name   string
	Tries  int
	InTime float64 // share of tries
	Worth  float64
}

// Window is five seconds of a Result.
type Window struct {
	From           Time
	Tries, InTime  int
	Worth, Reached float64
}

const windowSpan Time = 5e6

func (x *Simulation) result() *Result {
	r := &Result{Events: x.done, Tries: len(x.tries), Samples: x.shots}
	worth, reached, earned := 0.0, 0.0, 0.0
	for _, c := range x.script.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name})
	}
	for _, t := range x.tries {
		c := &r.Classes[t.class]
		terms := &x.script.Classes[t.class].Terms
		w := terms.Worth
		if !x.script.ByRequest {
			w *= float64(t.work) / 1e6
		}
		i := int((t.came - x.origin) / windowSpan)
		for len(r.Windows) <= i {
			r.Windows = append(r.Windows, Window{From: Time(len(r.Windows)) * windowSpan})
		}
		c.Tries++
		worth += w
		c.Worth += w
		r.Windows[i].Tries++
		r.Windows[i].Worth += w
		switch {
		case t.inTime:
			reached += w
			c.InTime++
			r.Windows[i].InTime++
			r.Windows[i].Reached += w
		case t.late:
			r.Late++
			earned += w * terms.LateWorth
		case t.refused:
			r.Refused++
		case t.failed:
			r.Failed++
		default:
			r.Unserved++
		}
	}
	for i := range r.Classes {
		r.Classes[i].InTime /= float64(max(1, r.Classes[i].Tries))
	}
	cross := 0
	for _, n := range x.nodes {
		r.Pushes += n.pushes
		r.Probes += n.probes
		cross += n.cross
	}
	for _, b := range x.boxes {
		if b.fallen {
			r.Fallen++
		}
	}
	r.Cross = float64(cross) / float64(max(1, r.Pushes))
	r.InTime = reached / max(worth, 1e-9)
	r.Earned = (reached + earned) / max(worth, 1e-9)
	return r
}
