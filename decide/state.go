package decide

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// What a dispatcher remembers, and the bookkeeping of it. No decision is made in this file.

// worker is what this node knows of one worker.
type worker struct {
	Worker
	listed    bool
	out       int       // own attempts not yet ended
	held      float64   // the slots that those need
	size      float64   // its slots, as it shows when idle; 0: not seen yet
	recent    []claim   // own pushes that its reports may not show yet
	probes    []probe   // sent and not answered
	badUntil  Time      // ejected until then
	shuns     []shunned // by class
	lost      int       // probes lost in a row
	denied    int       // probes refused in a row
	broken    int       // attempts broken off in a row
	level     int       // grows the next term of ejection
	fails     float64   // share of attempts that it failed, lately
	credit    float64   // work that this node may still send it while it is cold
	shown     Report    // its last report
	shownAt   Time
	shownOut  int // out, as that report came
	heard     int // peers' complaints of it lately
	heardAt   Time
	creditAt  Time
	late      int  // own attempts whose start is overdue
	fullUntil Time // turned a job away

	tightUntil Time    // a probe showed no room ...
	tightFor   float64 // ... for a job of that many slots
}

// shunned tells until when a class is kept off a worker that did not start its jobs.
type shunned struct {
	until   Time
	strikes int
}

type claim struct {
	at            Time
	job           uint32
	attempt       int
	slots, memory float64
}

type probe struct {
	at   Time
	job  uint32
	draw uint16
	look int // the number of the attempt that it is to look after, from 1; 0: none
}

type attempt struct {
	w            *worker
	sent         Time
	startedAt    Time // or sent, until it has
	out, started bool
	late         bool // its start is overdue
	looks        int  // in a row that showed room for it, though it has not started
	mayHaveRun   bool
}

// job is one request in our hands.
type job struct {
	Job
	class     *Class
	work      Time // expected running time
	zone      int  // where draws begin
	nearUntil Time // draws stay in that zone until then
	aimAt     Time // an answer after this, and Stretch x its work, comes late
	latest    Time // a push after this comes to nothing
	over      bool // beyond its tenant's share
	attempts  []attempt
	out       int
	pair      [2]*worker
	load      [2]Report
	echo      [2]Time // how long each probe took
	answered  [2]bool
	drawing   bool   // a pair is being probed or a redraw waits
	unasked   bool   // the second of the pair is asked only where the holder's answer is not enough
	draw      uint16 // number of the present draw; answers and timers of earlier ones are stale
	misses    int    // draws that showed no room
	closed    bool
	streamed  bool // the client receives an answer: no deadline any more
}

// Dispatcher makes the decisions of one node.
type Dispatcher struct {
	s               Settings
	act             Actions
	rng             *rand.Rand
	now             Time
	workers         map[WorkerID]*worker // looked up only; draws go by the slices
	listed          []*worker            // all that the list names, in order of arrival
	ready           []*worker
	near            [][]*worker // the ready ones, by zone
	scratch         []*worker
	jobs            map[uint32]*job
	spare           []*job
	runs            []float64  // mean run of each class, in us
	run             float64    // of all lately
	share           float64    // largest part of a class's deadline that a client was seen to grant
	bear            [2]float64 // work a second that we send to one warm worker, in us: of our zone, of another
	measured        float64    // how often that was measured
	pushed          [2]float64 // work sent since bearAt
	bearAt          Time
	tokens          []float64 // requests left in each tenant's share
	tokenAt         []Time
	message         [8]byte
	lag             Time            // how long a report stands, on the mean
	looked, changed float64         // the looks behind it
	usual           []float64       // median time of a probe, by zone
	sizes           map[int]float64 // slots of a worker on the mean, by kind
	widest          float64         // slots of the widest job seen
	canTry          bool            // some class may be repeated
	price           float64         // what a second of work must be worth to get a contended slot for sure
	busy            float64         // share of draws that found no room, lately
	cheapest        float64         // the least value of a job seen
	watched         bool
	askedAt         Time
	asks            int // calls failed in a row
}

// New returns a dispatcher that knows no worker yet. An error names the setting at fault.
func New(s Settings, seed uint64, act Actions) (*Dispatcher, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{s: s, act: act, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		workers: make(map[WorkerID]*worker), jobs: make(map[uint32]*job), runs: make([]float64, len(s.Classes)),
		tokens: make([]float64, len(s.Tenants)), tokenAt: make([]Time, len(s.Tenants))}
	d.lag, d.looked, d.changed = reportLag, float64(reportLag), 1
	d.price, d.run = 1e-9, float64(usualRun)
	d.sizes = map[int]float64{}
	d.usual = make([]float64, max(1, s.Zones))
	d.near = make([][]*worker, len(d.usual))
	for i, c := range s.Classes {
		d.runs[i] = float64(c.Aim) // a guess until the first run is seen
		d.canTry = d.canTry || c.Effect != Unsafe
	}
	return d, nil
}

// AddClass makes one more class of jobs known and returns its number. Its jobs are taken to run for that long until the first
// ones have.
func (d *Dispatcher) AddClass(c Class, run Time) int {
	d.s.Classes = append(d.s.Classes, c)
	d.runs = append(d.runs, float64(run))
	d.canTry = d.canTry || c.Effect != Unsafe
	for _, w := range d.workers {
		w.shuns = append(w.shuns, shunned{})
	}
	return len(d.s.Classes) - 1
}

// Check names the setting that is out of range, if one is.
func (s *Settings) Check() error {
	type check struct {
		bad bool
		key string
	}
	all := []check{
		{s.Nodes < 1, "balancers"}, {s.Zone < 0 || s.Zone >= max(1, s.Zones), "zone"}, {len(s.Classes) == 0, "classes"},
		{s.MaxAttempts < 1, "max_attempts"}, {s.DrainGrace < 0, "drain_grace"}, {s.Tick < 0, "resolution"},
		{s.ColdFrom <= 0 || s.ColdFrom > 1, "cold_from"}, {s.ColdSpan < 0, "cold"}, {s.OverloadMultiple <= 0, "tip_multiple"},
		{s.OverloadSpan <= 0, "overload_for"}, {s.MustAsk && s.AskWithin <= 0, "ask_within"}}
	for i, c := range s.Classes {
		of := fmt.Sprintf("classes.%d.", i)
		all = append(all, check{c.Deadline <= 0, of + "deadline"}, check{c.Aim < 0, of + "aim"}, check{c.Stretch < 0, of + "aim_stretch"},
			check{c.Effect == Keyed && c.MemorySpan <= 0, of + "memory_span"})
	}
	for _, c := range all {
		if c.bad {
			return fmt.Errorf("settings: %s: out of range", c.key)
		}
	}
	return nil
}

// takeList brings the known workers up to date. The lists that draws go by keep the order of arrival.
func (d *Dispatcher) takeList(kind ListKind, list []Worker) {
	if kind != ListDelta {
		for _, w := range d.listed {
			w.State = Gone // unless the list names it below
		}
	}
	for _, e := range list {
		e.Zone = min(max(e.Zone, 0), len(d.usual)-1)
		w := d.workers[e.ID]
		if w == nil {
			w = &worker{shuns: make([]shunned, len(d.s.Classes))}
			d.workers[e.ID] = w
		}
		if !w.listed {
			w.listed = true
			d.listed = append(d.listed, w)
		}
		if w.StartedAt != e.StartedAt { // a fresh process: nothing held against it, nothing saved up
			w.badUntil, w.fullUntil, w.level, w.denied = 0, 0, 0, 0
			w.credit, w.creditAt = 0, max(e.StartedAt, d.now-d.s.OverloadSpan/2)
			clear(w.shuns)
		}
		w.Worker = e
	}
	keep := d.listed[:0]
	d.ready = d.ready[:0]
	for i := range d.near {
		d.near[i] = d.near[i][:0]
	}
	for _, w := range d.listed {
		if w.State == Gone {
			w.listed = false
			d.drop(w)
			continue
		}
		keep = append(keep, w)
		if w.State == Ready {
			d.ready = append(d.ready, w)
			d.near[w.Zone] = append(d.near[w.Zone], w)
		}
	}
	clear(d.listed[len(keep):])
	d.listed = keep
}

// Avoided is how many ready workers get nothing just now, whatever the job: suspected, refusing, or late with a start.
func (d *Dispatcher) Avoided(now Time) int {
	n := 0
	for _, w := range d.ready {
		if w.badUntil > now || w.fullUntil > now || w.late > 0 {
			n++
		}
	}
	return n
}

// learnSize takes in what an idle worker shows: all its slots are free.
func (d *Dispatcher) learnSize(w *worker, r Report) {
	if r.Has&HasInFlight == 0 || r.Has&HasFreeSlots == 0 || r.InFlight != 0 {
		return
	}
	if w.size == 0 {
		w.size = r.FreeSlots
	}
	w.size += learnRate * (r.FreeSlots - w.size)
	if d.sizes[w.Kind] == 0 {
		d.sizes[w.Kind] = w.size
	}
	d.sizes[w.Kind] += learnRate * (w.size - d.sizes[w.Kind])
}

// sizeOf is how many slots w has, or its kind where it was not seen idle yet: many schedulers meet a worker seldom. 0: not
// known.
func (d *Dispatcher) sizeOf(w *worker) float64 {
	if w.size > 0 {
		return w.size
	}
	return d.sizes[w.Kind]
}

// jitter spreads a span by half of it either way.
func (d *Dispatcher) jitter(span Time) Time { return span/2 + d.rng.Int64N(span+1) }

// far is 0 for a worker of our own zone and 1 for any other.
func (d *Dispatcher) far(w *worker) int {
	if w.Zone == d.s.Zone {
		return 0
	}
	return 1
}

// carries is how much work a second a warm worker like w is sure to do: what all schedulers send to one, as far as this
// one's part tells, but with few jobs of its own that says little, so no more than its slots at the speed of one core.
func (d *Dispatcher) carries(w *worker) float64 {
	zones := float64(max(1, d.s.Zones))
	sent := (d.bear[0] + d.bear[1]*(zones-1)) / zones / 1e6 * float64(d.s.Nodes)
	if size := d.sizeOf(w); size > 0 {
		return min(sent, size)
	}
	return sent
}

// drop forgets a departed worker once nothing of ours is out on it.
func (d *Dispatcher) drop(w *worker) {
	if w.State == Gone && !w.listed && w.out == 0 && len(w.probes) == 0 {
		delete(d.workers, w.ID)
	}
}

// newJob takes the entry of a finished job, or a fresh one.
func (d *Dispatcher) newJob(in Job) *job {
	var j *job
	if n := len(d.spare); n > 0 {
		j, d.spare = d.spare[n-1], d.spare[:n-1]
	} else {
		j = new(job)
	}
	*j = job{Job: in, class: &d.s.Classes[in.Class], attempts: j.attempts[:0], zone: d.s.Zone}
	if in.Zone > 0 && in.Zone <= len(d.near) {
		j.zone = in.Zone - 1
	}
	if !(in.Slots > 0 && in.Slots < 1e6) {
		j.Slots = 1
	}
	if !(in.Memory > 0 && in.Memory < 1e6) {
		j.Memory = 0
	}
	d.jobs[in.ID] = j
	return j
}

// forget drops a job that has its final answer and no attempt out.
func (d *Dispatcher) forget(j *job) {
	if j.closed && j.out == 0 {
		delete(d.jobs, j.ID)
		d.spare = append(d.spare, j)
	}
}

// on returns the jobs with an attempt out on w, in order of arrival.
func (d *Dispatcher) on(w *worker) []*job {
	var out []*job
	for _, j := range d.jobs {
		if slices.ContainsFunc(j.attempts, func(a attempt) bool { return a.out && a.w == w }) {
			out = append(out, j)
		}
	}
	slices.SortFunc(out, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

// probe asks w, if there is one, for the sake of j's present draw.
func (d *Dispatcher) probe(j *job, w *worker) {
	if w != nil {
		w.probes = append(w.probes, probe{at: d.now, job: j.ID, draw: j.draw})
		d.act.Probe(w.ID)
	}
}

// takeProbe removes and returns the probe that an answer belongs to: the one sent nearest to sentAt.
func (w *worker) takeProbe(sentAt Time) (probe, bool) {
	if len(w.probes) == 0 {
		return probe{}, false
	}
	best := 0
	for i, p := range w.probes {
		if abs(sentAt-p.at) < abs(sentAt-w.probes[best].at) {
			best = i
		}
	}
	p := w.probes[best]
	w.probes = append(w.probes[:best], w.probes[best+1:]...)
	return p, true
}

// freed ends the claim of an attempt: what has ended holds no slot, however young it was. If its report may show it
// still, the end is noted as a claim of less than nothing. It also ends what an earlier probe told of a lack of room.
func (w *worker) freed(now Time, job uint32, attempt int, slots float64) {
	claims := len(w.recent)
	w.recent = slices.DeleteFunc(w.recent, func(c claim) bool { return c.job == job && c.attempt == attempt })
	if len(w.recent) == claims {
		w.recent = append(w.recent, claim{at: now, slots: -slots})
	}
	w.tightUntil = 0
}

func abs(t Time) Time { return max(t, -t) }

// dearest is the most that a job in hand would pay for a slot; without any there is no bound.
func (d *Dispatcher) dearest() float64 {
	most := 0.0
	for _, j := range d.jobs {
		if !j.closed {
			most = max(most, d.value(j))
		}
	}
	if most == 0 {
		return math.Inf(1)
	}
	return most
}

// learnEcho keeps the median time of a probe for each zone: a step up or down with each answer.
func (d *Dispatcher) learnEcho(w *worker, echo Time) {
	usual := &d.usual[w.Zone]
	switch {
	case *usual == 0:
		*usual = float64(echo)
	case float64(echo) > *usual:
		*usual *= 1 + learnRate/2
	default:
		*usual /= 1 + learnRate/2
	}
}

// onTime ends the wait for a start note, and what was held against the worker for it.
func (a *attempt) onTime() {
	if a.late {
		a.late = false
		a.w.late--
	}
}

// measure updates bear, for our own zone and the others: draws stay near, so a near worker gets far more than
// others. A cold one counts for as much as it is warm, so bear is never more than what it can take.
func (d *Dispatcher) measure(span float64) {
	var warm [2]float64
	for _, w := range d.ready {
		warm[d.far(w)] += d.warmth(w)
	}
	d.measured++
	for i, n := range warm {
		if n > 0 {
			d.bear[i] += max(0.2, 1/d.measured) * (d.pushed[i]/span*1e6/n - d.bear[i]) // the first seconds count alike
		}
	}
	d.pushed, d.bearAt = [2]float64{}, d.now
	d.price = max(min(d.price*priceFade, d.dearest()*priceUp), d.cheapest/2) // or all are kept out
}
