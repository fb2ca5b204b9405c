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
	run func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
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

	script     *Script
	seed       uint64
	now        Time
	queue      eventQueue
	seq        uint64
	log        *bufio.Writer
	onLogLine  func(line string)
	eventCount uint64 // events so far

	boxes       []*box
	nodes       []*node
	workerList  []decide.Worker // as the list service has them
	listOutages int             // troubles that keep the list service down just now
	heavyTails  []*Trouble      // of clients' work, just now
	lastID      uint32
	streams     map[string]*rand.Rand // by name; looked up only
	jobs        []*clientJob
	startTime   Time
	samples     []Sample
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

func (x *Simulation) emit(h ExternalEvent) {
	if x.OnExternalEvent != nil {
		h.At = x.now - x.startTime
		x.OnExternalEvent(h)
	}
}

// origin of the clock: the module takes 0 for long ago.
const startTime Time = 1000e6

// New makes a world of a script. Its log goes to w, which may be nil.
func New(s *Script, seed uint64, w io.Writer) (*Simulation, error) {
	return NewWithPolicy("", s, seed, w)
}

// NewWith makes one whose schedulers decide by another policy.
func NewWithPolicy(policy string, s *Script, seed uint64, w io.Writer) (*Simulation, error) {
	if w == nil {
		w = io.Discard
	}
	x := &Simulation{Policy: policy, script: s, seed: seed, now: startTime, startTime: startTime, log: bufio.NewWriterSize(w, 1<<16), streams: map[string]*rand.Rand{}}
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
		x.scheduleTrouble(&s.Troubles[i])
	}
	return x, nil
}

// rng is the stream of that name. Streams are independent: a further box takes no numbers from the others.
func (x *Simulation) stream(name string) *rand.Rand {
	r := x.streams[name]
	if r == nil {
		hash := fnv.New64a()
		io.WriteString(hash, name)
		r = rand.New(rand.NewPCG(x.seed, hash.Sum64()))
		x.streams[name] = r
	}
	return r
}

// after has f happen once the span has passed.
func (x *Simulation) schedule(span Time, f func()) {
	x.seq++
	heap.Push(&x.queue, event{x.now + max(0, span), x.seq, f})
}

// note writes a line of the event log: the time since the start, then words.
func (x *Simulation) logEvent(format string, args ...any) {
	line := fmt.Sprintf("%d ", x.now-x.startTime) + fmt.Sprintf(format, args...)
	x.log.WriteString(line)
	x.log.WriteByte('\n')
	if x.onLogLine != nil {
		x.onLogLine(line)
	}
}

// Run plays the script to its end and until everything in hand has its answer. Progress is told now and then.
func (x *Simulation) Run(progress func(done, of Time)) (*Result, error) {
	for _, n := range x.nodes {
		n.announceCached()
	}
	x.startClients()
	nextProgress := x.now
	for len(x.queue) > 0 {
		e := heap.Pop(&x.queue).(event)
		x.takeSamples(e.at)
		x.now = e.at
		if x.now > x.startTime+x.script.Duration+x.maxTimeInFlight() {
			break // what is left are the module's own timers and the list's news
		}
		e.run()
		x.eventCount++
		if progress != nil && x.now >= nextProgress {
			progress(x.now-x.startTime, x.script.Duration)
			nextProgress = x.now + 1e6
		}
	}
	if err := x.log.Flush(); err != nil {
		return nil, err
	}
	return x.result(), nil
}

// maxHeld is how many boxes a sample tells apart.
const maxSampledBoxes = 64

// sample takes pictures of the state up to a moment; between two events nothing changes.
func (x *Simulation) takeSamples(until Time) {
	for x.SampleEvery > 0 {
		at := Time(len(x.samples)) * x.SampleEvery
		if at > x.script.Duration || x.startTime+at > until {
			return
		}
		s := Sample{At: at}
		for i, b := range x.boxes {
			s.Queue += len(b.queue)
			if b.up() {
				s.Free += b.kind.Slots - b.slotsInUse
				s.Up++
			}
			if i < maxSampledBoxes {
				s.Held = append(s.Held, len(b.active)+len(b.queue))
			}
		}
		x.samples = append(x.samples, s)
	}
}

// longest is how long after the last arrival something may still be in hand.
func (x *Simulation) maxTimeInFlight() Time {
	longest := Time(0)
	for _, c := range x.script.Classes {
		longest = max(longest, c.Terms.Deadline)
	}
	return longest*Time(1+x.script.Retries) + 10e6
}

// delay is one way between two zones.
func (x *Simulation) networkDelay(a, b int, stream string) Time {
	d := x.script.SameZoneDelay
	if a != b {
		d = x.script.CrossZoneDelay
	}
	return Time(float64(d) * (1 + x.script.Jitter*x.stream(stream).Float64()))
}

// arrivals starts the clients: a Poisson process for each scheduler, thinned by the curve.
func (x *Simulation) startClients() {
	for i, n := range x.nodes {
		r := x.stream(fmt.Sprint("arrivals ", i))
		peak := slices.Max(x.script.Curve)
		var scheduleNext func()
		scheduleNext = func() {
			x.schedule(Time(r.ExpFloat64()/(x.script.Rate*peak/float64(len(x.nodes)))*1e6), func() {
				elapsed := x.now - x.startTime
				if elapsed >= x.script.Duration {
					return
				}
				if r.Float64()*peak < x.rateFactor(elapsed) {
					x.newJob(n, r)
				}
				scheduleNext()
			})
		}
		scheduleNext()
	}
}

// curve is the part of the rate that comes at a moment, between the points of the script.
func (x *Simulation) rateFactor(elapsed Time) float64 {
	c := x.script.Curve
	if len(c) == 1 {
		return c[0]
	}
	at := float64(elapsed) / float64(x.script.Duration) * float64(len(c)-1)
	i := min(int(at), len(c)-2)
	return c[i] + (c[i+1]-c[i])*(at-float64(i))
}

// try is one wish of a client, with all its requests.
type clientJob struct {
	class        int
	work         Time
	slots        int
	aimAt        Time
	arrivedAt    Time
	answered     bool
	inTime       bool
	late         bool
	refused      bool
	failed       bool
	retriesLeft  int // requests it may still make
	requestsSent int
	pushes       int
}

func (x *Simulation) newJob(n *node, r *rand.Rand) {
	job := &clientJob{arrivedAt: x.now, retriesLeft: x.script.Retries}
	draw := r.Float64()
	for i := range x.script.Classes {
		job.class = i
		if draw -= x.script.Classes[i].Share; draw < 0 {
			break
		}
	}
	c := &x.script.Classes[job.class]
	// A lognormal of that mean and spread.
	sigma := math.Sqrt(math.Log(1 + c.Spread*c.Spread))
	job.work = max(1000, Time(float64(c.Work)*math.Exp(sigma*r.NormFloat64()-sigma*sigma/2)))
	for _, h := range x.heavyTails {
		if (h.Class == "" || h.Class == c.Name) && r.Float64() < h.Part {
			job.work = Time(float64(job.work) * h.Times)
		}
	}
	job.slots = c.Slots[r.IntN(len(c.Slots))]
	job.aimAt = x.now + c.Terms.Aim + Time(c.Terms.Stretch*float64(job.work))
	x.jobs = append(x.jobs, job)
	x.emit(ExternalEvent{Kind: Arrival, Node: n.index, Class: job.class, Work: job.work, Slots: job.slots})
	x.sendRequest(n, job)
}

// request brings one request of a try to a scheduler that lives.
func (x *Simulation) sendRequest(n *node, job *clientJob) {
	if n.crashed { // the front sends it to the next one
		for i := range x.nodes {
			if other := x.nodes[(n.index+i)%len(x.nodes)]; !other.crashed {
				n = other
				break
			}
		}
	}
	c := &x.script.Classes[job.class]
	x.lastID++
	q := &request{id: x.lastID, job: job, node: n, giveUpAt: x.now + c.Terms.Deadline}
	job.requestsSent++
	n.requests[q.id] = q
	x.logEvent("arrive %d class=%s node=%d give_up=%d again=%d", q.id, c.Name, n.index, q.giveUpAt-x.startTime, job.requestsSent-1)
	n.call(func(d dispatcher) {
		hint := job.work
		if x.script.OmitHints {
			hint = 0
		}
		d.Arrive(x.now, decide.Job{ID: q.id, Class: job.class, GiveUpAt: q.giveUpAt, Hint: hint, Slots: float64(job.slots)})
	})
}

// answer ends a request; the client may come again.
func (x *Simulation) answer(q *request, result string, retryAfter Time) {
	if q.answered {
		return
	}
	q.answered = true
	x.logEvent("answer %d %s", q.id, result)
	job := q.job
	q.node.removeIfDone(q)
	if result == "served" {
		if !job.answered {
			job.answered = true
			job.inTime = x.now <= job.aimAt
			job.late = !job.inTime
		}
		return
	}
	// What must not run twice comes again only where it was refused; late ones only where that still earns something.
	terms := &x.script.Classes[job.class].Terms
	mayRetry := result == "refused" || terms.Effect != decide.Unsafe
	if mayRetry && job.retriesLeft > 0 && (x.now < job.aimAt || terms.LateWorth > 0 && x.now < job.arrivedAt+terms.Deadline) {
		job.retriesLeft--
		x.schedule(max(x.script.RetryWait, retryAfter), func() { x.sendRequest(q.node, job) })
		return
	}
	job.refused, job.failed = result == "refused", result != "refused"
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
	r := &Result{Events: x.eventCount, Tries: len(x.jobs), Samples: x.samples}
	worth, inTimeWorth, lateWorth := 0.0, 0.0, 0.0
	for _, c := range x.script.Classes {
		r.Classes = append(r.Classes, ClassResult{Name: c.Name})
	}
	for _, job := range x.jobs {
		c := &r.Classes[job.class]
		terms := &x.script.Classes[job.class].Terms
		jobWorth := terms.Worth
		if !x.script.WorthPerJob {
			jobWorth *= float64(job.work) / 1e6
		}
		i := int((job.arrivedAt - x.startTime) / windowSpan)
		for len(r.Windows) <= i {
			r.Windows = append(r.Windows, Window{From: Time(len(r.Windows)) * windowSpan})
		}
		c.Tries++
		worth += jobWorth
		c.Worth += jobWorth
		r.Windows[i].Tries++
		r.Windows[i].Worth += jobWorth
		switch {
		case job.inTime:
			inTimeWorth += jobWorth
			c.InTime++
			r.Windows[i].InTime++
			r.Windows[i].Reached += jobWorth
		case job.late:
			r.Late++
			lateWorth += jobWorth * terms.LateWorth
		case job.refused:
			r.Refused++
		case job.failed:
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
		if b.collapsed {
			r.Fallen++
		}
	}
	r.Cross = float64(cross) / float64(max(1, r.Pushes))
	r.InTime = inTimeWorth / max(worth, 1e-9)
	r.Earned = (inTimeWorth + lateWorth) / max(worth, 1e-9)
	return r
}
