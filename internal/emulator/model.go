// Package emulator simulates a fleet in simulated time: schedulers that run package decide, boxes (workers) with slots,
// queues, cold starts and collapse, network delays, a list service with delayed updates, and clients. Its results come
// from a model and are not measurements of real machines. The same script and seed produce the same event log byte for
// byte, so the package reads no clock, draws random numbers only from named streams, and lets map order affect nothing.
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

// Time is a point in time or a duration in microseconds, as in package decide.
type Time = decide.Time

// event is a function to run at a simulated time. Events of the same time run in the order in which they were scheduled.
type event struct {
	at  Time
	seq uint64
	run func()
}

// eventQueue is a heap of events, ordered by time and sequence number.
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

// Simulation is one run of a script.
type Simulation struct {
	// Policy is one of Policies; "" selects the decision module.
	Policy string
	// SampleEvery is the interval between the samples of a Result; 0 disables them.
	SampleEvery Time
	// OnExternalEvent, if set, is called for each event from outside the schedulers. Replaying these events elsewhere
	// reproduces the run's inputs.
	OnExternalEvent func(ExternalEvent)

	script     *Script
	seed       uint64
	now        Time
	queue      eventQueue
	seq        uint64
	log        *bufio.Writer
	onLogLine  func(line string)
	eventCount uint64 // events run so far

	boxes       []*box
	nodes       []*node
	workerList  []decide.Worker // as stored in the list service
	listOutages int             // active troubles that keep the list service down
	heavyTails  []*Trouble      // active heavy_tail troubles
	lastID      uint32
	streams     map[string]*rand.Rand // by name; never iterated
	jobs        []*clientJob
	startTime   Time
	samples     []Sample
}

// ExternalEvent is an event from outside the schedulers: a job's arrival or a change of a box.
type ExternalEvent struct {
	At       Time // since the start
	Kind     ExternalEventKind
	Node     int // Arrival: index of the scheduler
	Box      int // all other kinds: index of the box
	Class    int // Arrival
	Work     Time
	Slots    int
	Slowdown float64      // BoxSlowed: the factor by which the box is slower from now on
	State    decide.State // BoxListed
}

// ExternalEventKind is the kind of an ExternalEvent.
type ExternalEventKind uint8

// Kinds of external events.
const (
	Arrival      ExternalEventKind = iota // a client sends a new job
	BoxSilent                             // a box stops responding
	BoxStopped                            // the process of a box ends
	BoxRestarted                          // a box starts again, cold
	BoxSlowed                             // the slowdown of a box changes
	BoxListed                             // the list service stores a box's state; schedulers receive it later
)

func (x *Simulation) emit(e ExternalEvent) {
	if x.OnExternalEvent != nil {
		e.At = x.now - x.startTime
		x.OnExternalEvent(e)
	}
}

// startTime is the clock's value at the start. It is far from 0, which the decision module takes for long ago.
const startTime Time = 1000e6

// New returns a simulation of a script that uses the decision module. It writes its event log to w, which may be nil.
func New(s *Script, seed uint64, w io.Writer) (*Simulation, error) {
	return NewWithPolicy("", s, seed, w)
}

// NewWithPolicy is like New, but its schedulers use the given policy.
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

// stream returns the random number stream of that name. Streams are independent, so an additional box does not change
// the numbers that others draw.
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

// schedule runs f after the given time.
func (x *Simulation) schedule(span Time, f func()) {
	x.seq++
	heap.Push(&x.queue, event{x.now + max(0, span), x.seq, f})
}

// logEvent writes a line to the event log: the time since the start, a space and the formatted text.
func (x *Simulation) logEvent(format string, args ...any) {
	line := fmt.Sprintf("%d ", x.now-x.startTime) + fmt.Sprintf(format, args...)
	x.log.WriteString(line)
	x.log.WriteByte('\n')
	if x.onLogLine != nil {
		x.onLogLine(line)
	}
}

// Run runs the script to its end and until all requests in flight are answered. It calls progress, if not nil, at most
// once per simulated second.
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
			break // only timers of the decision module and list updates are left
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

// maxSampledBoxes is the number of boxes that a sample lists individually.
const maxSampledBoxes = 64

// takeSamples records the samples due up to a time. The state does not change between two events.
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

// maxTimeInFlight returns how long after the last arrival a job may still be in flight.
func (x *Simulation) maxTimeInFlight() Time {
	longest := Time(0)
	for _, c := range x.script.Classes {
		longest = max(longest, c.Terms.Deadline)
	}
	return longest*Time(1+x.script.Retries) + 10e6
}

// networkDelay draws the one-way delay between two zones.
func (x *Simulation) networkDelay(a, b int, stream string) Time {
	d := x.script.SameZoneDelay
	if a != b {
		d = x.script.CrossZoneDelay
	}
	return Time(float64(d) * (1 + x.script.Jitter*x.stream(stream).Float64()))
}

// startClients starts a Poisson process of arrivals for each scheduler, thinned to follow the rate curve.
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

// rateFactor returns the factor of the rate at a time, interpolated linearly between the points of the curve.
func (x *Simulation) rateFactor(elapsed Time) float64 {
	c := x.script.Curve
	if len(c) == 1 {
		return c[0]
	}
	at := float64(elapsed) / float64(x.script.Duration) * float64(len(c)-1)
	i := min(int(at), len(c)-2)
	return c[i] + (c[i+1]-c[i])*(at-float64(i))
}

// clientJob is one job of a client, with all requests that the client sends for it.
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
	retriesLeft  int // requests that the client may still send
	requestsSent int
	pushes       int
}

// newJob draws a job by the script's classes and sends its first request to a scheduler.
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
	// The work has a lognormal distribution with the class's mean and spread.
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

// sendRequest delivers one request of a job to the scheduler, or to the next one that is running.
func (x *Simulation) sendRequest(n *node, job *clientJob) {
	if n.crashed { // a load balancer in front sends it to the next scheduler
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

// answer ends a request with its final answer. The client may then retry.
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
	// An unsafe job is retried only after a refusal. After the aim, a job is retried only if a late answer has worth.
	terms := &x.script.Classes[job.class].Terms
	mayRetry := result == "refused" || terms.Effect != decide.Unsafe
	if mayRetry && job.retriesLeft > 0 && (x.now < job.aimAt || terms.LateWorth > 0 && x.now < job.arrivedAt+terms.Deadline) {
		job.retriesLeft--
		x.schedule(max(x.script.RetryWait, retryAfter), func() { x.sendRequest(q.node, job) })
		return
	}
	job.refused, job.failed = result == "refused", result != "refused"
}

// Result holds the totals of a run.
type Result struct {
	Events   uint64
	Tries    int
	InTime   float64 // share of the worth of all jobs that was answered in time
	Earned   float64 // InTime plus the share earned by late answers
	Late     int
	Refused  int
	Failed   int
	Unserved int // jobs neither served, refused nor failed: their time ran out
	Pushes   int
	Probes   int
	Cross    float64 // share of the pushes that crossed zones
	Fallen   int     // boxes that collapsed from overload
	Classes  []ClassResult
	Windows  []Window
	Samples  []Sample
}

// Sample is the state of the boxes at one time.
type Sample struct {
	At    Time  // since the start
	Queue int   // attempts queued at boxes
	Free  int   // free slots of boxes that are up
	Up    int   // boxes that are up
	Held  []int // attempts at each of the first maxSampledBoxes boxes
}

// ClassResult holds the totals of one class of jobs.
type ClassResult struct {
	Name   string
	Tries  int
	InTime float64 // share of the jobs answered in time
	Worth  float64
}

// Window holds the totals of the jobs that arrived within one windowSpan.
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
