package decide

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
)

// This file holds the state of a dispatcher and its bookkeeping. It makes no decisions.

// worker is the state of one worker as seen by this dispatcher.
type worker struct {
	Worker
	listed             bool
	inFlight           int             // own attempts that have not ended
	heldSlots          float64         // the slots that those need
	capacity           float64         // its number of slots, as reported when idle; 0: not seen yet
	claims             []claim         // own pushes that its reports may not show yet
	probes             []probe         // sent and not answered
	ejectedUntil       Time            // end of its ejection
	classEjections     []classEjection // by class
	lostProbes         int             // in a row
	refusedProbes      int             // in a row
	resets             int             // attempts in a row whose connection broke
	ejectionLevel      int             // the term of the next ejection grows with it
	failureRate        float64         // share of recent attempts that it failed
	coldCredit         float64         // work that this dispatcher may still send it while it is cold
	lastReport         Report
	lastReportAt       Time
	lastReportInFlight int // inFlight when that report arrived
	complaints         int // recent complaints of peers about it
	complaintAt        Time
	coldCreditAt       Time
	overdueStarts      int  // own attempts whose start is overdue
	fullUntil          Time // it rejected a job or refused a probe

	noRoomUntil Time    // a probe showed no room ...
	noRoomSlots float64 // ... for a job with this many slots
}

// classEjection is the time until which a class is kept off a worker that did not start its jobs.
type classEjection struct {
	until   Time
	strikes int
}

// claim is room on a worker that its reports may not account for yet.
type claim struct {
	at            Time
	job           uint32
	attempt       int
	slots, memory float64
}

// probe is a probe in flight.
type probe struct {
	at             Time
	job            uint32
	drawNumber     uint16
	checkedAttempt int // one plus the number of the attempt whose start it checks; 0: none
}

// attempt is one push of a job to a worker.
type attempt struct {
	w                 *worker
	sent              Time
	startedAt         Time // the time of the push until the start is reported
	inFlight, started bool
	overdue           bool // its start is overdue
	failedChecks      int  // checks in a row that showed room for it though it has not started
	mayHaveRun        bool
}

// job is an unfinished request, or a finished one with attempts in flight.
type job struct {
	Job
	class          *Class
	expectedRun    Time // expected running time
	drawZone       int  // the zone in which draws begin
	drawZoneUntil  Time // draws stay in that zone until then
	aimAt          Time // an answer after this plus Stretch x its running time is late
	latestPush     Time // a later push can't succeed
	overShare      bool // beyond its tenant's share
	attempts       []attempt
	inFlight       int
	pair           [2]*worker
	reports        [2]Report
	rtt            [2]Time // round trip of each probe
	answered       [2]bool
	drawing        bool   // a pair is being probed or a redraw is scheduled
	secondUnprobed bool   // the second of the pair is probed only if the holder has too little room
	drawNumber     uint16 // number of the present draw; answers and timers of earlier draws are stale
	failedDraws    int    // draws that found no room
	closed         bool
	streamed       bool // the client is receiving an answer: the deadline no longer applies
}

// Dispatcher makes the decisions of one scheduler. It is not safe for concurrent use.
type Dispatcher struct {
	settings                    Settings
	actions                     Actions
	rng                         *rand.Rand
	now                         Time
	workers                     map[WorkerID]*worker // for lookups only; draws use the slices, whose order is fixed
	listed                      []*worker            // all entries of the worker list, in order of arrival
	ready                       []*worker
	readyByZone                 [][]*worker
	candidates                  []*worker // scratch space of pickWorker
	jobs                        map[uint32]*job
	freeJobs                    []*job     // finished entries for reuse
	meanRunByClass              []float64  // mean running time of each class, in us
	meanRun                     float64    // mean running time of recent jobs, in us
	deadlineShare               float64    // largest part of a class's deadline that a client was seen to grant
	warmRate                    [2]float64 // work in us that we send per second to a warm worker: of our zone, of another
	warmRateSamples             float64    // number of samples behind it
	sentWork                    [2]float64 // work sent since warmRateAt, in us
	warmRateAt                  Time
	tokens                      []float64 // requests left in each tenant's share
	tokensAt                    []Time
	messageBuffer               [8]byte
	refresh                     Time            // mean time for which a report stays the same
	observedSpan, reportChanges float64         // the samples behind it; see learnRefresh
	medianRTT                   []float64       // median round trip of a probe in us, by zone
	capacityByKind              map[int]float64 // mean number of slots of a worker, by kind
	widestJob                   float64         // slots of the widest job seen
	anyRepeatable               bool            // at least one class may be repeated
	price                       float64         // value per slot second from which a job is always admitted to a draw
	noRoomShare                 float64         // share of recent draws that found no room
	minSlotValue                float64         // the least slotValue of a job seen
	watching                    bool
	watchRequestedAt            Time
	failedWatches               int // failed requests in a row
}

// New returns a dispatcher that knows no worker yet. The error names the setting that is out of range.
func New(s Settings, seed uint64, actions Actions) (*Dispatcher, error) {
	if err := s.Check(); err != nil {
		return nil, err
	}
	d := &Dispatcher{settings: s, actions: actions, rng: rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15)),
		workers: make(map[WorkerID]*worker), jobs: make(map[uint32]*job), meanRunByClass: make([]float64, len(s.Classes)),
		tokens: make([]float64, len(s.Tenants)), tokensAt: make([]Time, len(s.Tenants))}
	d.refresh, d.observedSpan, d.reportChanges = reportLag, float64(reportLag), 1
	d.price, d.meanRun = 1e-9, float64(referenceRun)
	d.capacityByKind = map[int]float64{}
	d.medianRTT = make([]float64, max(1, s.Zones))
	d.readyByZone = make([][]*worker, len(d.medianRTT))
	for i, c := range s.Classes {
		d.meanRunByClass[i] = float64(c.Aim) // an estimate until the first job has run
		d.anyRepeatable = d.anyRepeatable || c.Effect != Unsafe
	}
	return d, nil
}

// AddClass adds a class of jobs and returns its number. Its jobs are expected to run for the time run until the first ones
// have run.
func (d *Dispatcher) AddClass(c Class, run Time) int {
	d.settings.Classes = append(d.settings.Classes, c)
	d.meanRunByClass = append(d.meanRunByClass, float64(run))
	d.anyRepeatable = d.anyRepeatable || c.Effect != Unsafe
	for _, w := range d.workers {
		w.classEjections = append(w.classEjections, classEjection{})
	}
	return len(d.settings.Classes) - 1
}

// Check returns an error that names the first setting that is out of range, if there is one.
func (s *Settings) Check() error {
	type check struct {
		outOfRange bool
		key        string
	}
	checks := []check{
		{s.Nodes < 1, "balancers"}, {s.Zone < 0 || s.Zone >= max(1, s.Zones), "zone"}, {len(s.Classes) == 0, "classes"},
		{s.MaxAttempts < 1, "max_attempts"}, {s.DrainGrace < 0, "drain_grace"}, {s.Tick < 0, "resolution"},
		{s.ColdFrom <= 0 || s.ColdFrom > 1, "cold_from"}, {s.ColdSpan < 0, "cold"}, {s.OverloadMultiple <= 0, "tip_multiple"},
		{s.OverloadSpan <= 0, "overload_for"}, {s.MustAsk && s.AskWithin <= 0, "ask_within"}}
	for i, c := range s.Classes {
		prefix := fmt.Sprintf("classes.%d.", i)
		checks = append(checks, check{c.Deadline <= 0, prefix + "deadline"}, check{c.Aim < 0, prefix + "aim"},
			check{c.Stretch < 0, prefix + "aim_stretch"},
			check{c.Effect == Keyed && c.MemorySpan <= 0, prefix + "memory_span"})
	}
	for _, c := range checks {
		if c.outOfRange {
			return fmt.Errorf("settings: %s: out of range", c.key)
		}
	}
	return nil
}

// updateList applies an update of the worker list. The slices used by draws keep the order of arrival.
func (d *Dispatcher) updateList(kind ListKind, list []Worker) {
	if kind != ListDelta {
		for _, w := range d.listed {
			w.State = Gone // unless it is in the list
		}
	}
	for _, e := range list {
		e.Zone = min(max(e.Zone, 0), len(d.medianRTT)-1)
		w := d.workers[e.ID]
		if w == nil {
			w = &worker{classEjections: make([]classEjection, len(d.settings.Classes))}
			d.workers[e.ID] = w
		}
		if !w.listed {
			w.listed = true
			d.listed = append(d.listed, w)
		}
		if w.StartedAt != e.StartedAt { // a new process starts with a clean record and without credit
			w.ejectedUntil, w.fullUntil, w.ejectionLevel, w.refusedProbes = 0, 0, 0, 0
			w.coldCredit, w.coldCreditAt = 0, max(e.StartedAt, d.now-d.settings.OverloadSpan/2)
			clear(w.classEjections)
		}
		w.Worker = e
	}
	kept := d.listed[:0]
	d.ready = d.ready[:0]
	for i := range d.readyByZone {
		d.readyByZone[i] = d.readyByZone[i][:0]
	}
	for _, w := range d.listed {
		if w.State == Gone {
			w.listed = false
			d.forgetWorker(w)
			continue
		}
		kept = append(kept, w)
		if w.State == Ready {
			d.ready = append(d.ready, w)
			d.readyByZone[w.Zone] = append(d.readyByZone[w.Zone], w)
		}
	}
	clear(d.listed[len(kept):])
	d.listed = kept
}

// Avoided returns how many ready workers receive no jobs at present, whatever the job: they are ejected, have rejected a job
// or a probe, or are overdue with a start.
func (d *Dispatcher) Avoided(now Time) int {
	avoided := 0
	for _, w := range d.ready {
		if w.ejectedUntil > now || w.fullUntil > now || w.overdueStarts > 0 {
			avoided++
		}
	}
	return avoided
}

// learnCapacity learns the capacity of a worker from a report that shows it idle, with all its slots free.
func (d *Dispatcher) learnCapacity(w *worker, r Report) {
	if r.Has&HasInFlight == 0 || r.Has&HasFreeSlots == 0 || r.InFlight != 0 {
		return
	}
	if w.capacity == 0 {
		w.capacity = r.FreeSlots
	}
	w.capacity += learnRate * (r.FreeSlots - w.capacity)
	if d.capacityByKind[w.Kind] == 0 {
		d.capacityByKind[w.Kind] = w.capacity
	}
	d.capacityByKind[w.Kind] += learnRate * (w.capacity - d.capacityByKind[w.Kind])
}

// capacityOf returns the number of slots of w, or the mean of its kind if w was not seen idle yet: with many schedulers, each
// one rarely sees a given worker. 0 means unknown.
func (d *Dispatcher) capacityOf(w *worker) float64 {
	if w.capacity > 0 {
		return w.capacity
	}
	return d.capacityByKind[w.Kind]
}

// jitter returns a random time between half of span and one and a half of it.
func (d *Dispatcher) jitter(span Time) Time { return span/2 + d.rng.Int64N(span+1) }

// remoteIndex returns 0 for a worker in the zone of this dispatcher and 1 for any other.
func (d *Dispatcher) remoteIndex(w *worker) int {
	if w.Zone == d.settings.Zone {
		return 0
	}
	return 1
}

// sustainedRate returns how much work per second a warm worker like w is certain to do: what all schedulers together send to
// one, extrapolated from our own part. With few jobs of our own the extrapolation is unreliable, so it is limited to the
// worker's slots at the speed of one core each.
func (d *Dispatcher) sustainedRate(w *worker) float64 {
	zones := float64(max(1, d.settings.Zones))
	sent := (d.warmRate[0] + d.warmRate[1]*(zones-1)) / zones / 1e6 * float64(d.settings.Nodes)
	if capacity := d.capacityOf(w); capacity > 0 {
		return min(sent, capacity)
	}
	return sent
}

// forgetWorker deletes a removed worker once no attempt or probe of ours is in flight there.
func (d *Dispatcher) forgetWorker(w *worker) {
	if w.State == Gone && !w.listed && w.inFlight == 0 && len(w.probes) == 0 {
		delete(d.workers, w.ID)
	}
}

// newJob adds an entry for a job, reusing that of a finished job if there is one.
func (d *Dispatcher) newJob(in Job) *job {
	var j *job
	if n := len(d.freeJobs); n > 0 {
		j, d.freeJobs = d.freeJobs[n-1], d.freeJobs[:n-1]
	} else {
		j = new(job)
	}
	*j = job{Job: in, class: &d.settings.Classes[in.Class], attempts: j.attempts[:0], drawZone: d.settings.Zone}
	if in.Zone > 0 && in.Zone <= len(d.readyByZone) {
		j.drawZone = in.Zone - 1
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

// forgetJob deletes a job that has its final answer and no attempt in flight.
func (d *Dispatcher) forgetJob(j *job) {
	if j.closed && j.inFlight == 0 {
		delete(d.jobs, j.ID)
		d.freeJobs = append(d.freeJobs, j)
	}
}

// jobsOn returns the jobs with an attempt in flight on w, in order of their IDs.
func (d *Dispatcher) jobsOn(w *worker) []*job {
	var jobs []*job
	for _, j := range d.jobs {
		if slices.ContainsFunc(j.attempts, func(a attempt) bool { return a.inFlight && a.w == w }) {
			jobs = append(jobs, j)
		}
	}
	slices.SortFunc(jobs, func(a, b *job) int { return cmp.Compare(a.ID, b.ID) })
	return jobs
}

// sendProbe probes w, if it is not nil, for the present draw of j.
func (d *Dispatcher) sendProbe(j *job, w *worker) {
	if w != nil {
		w.probes = append(w.probes, probe{at: d.now, job: j.ID, drawNumber: j.drawNumber})
		d.actions.Probe(w.ID)
	}
}

// takeProbe removes and returns the probe that an answer belongs to: the one sent closest to sentAt.
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

// releaseClaim ends the claim of an attempt: an attempt that has ended holds no slot, however recent its push. If the claim
// has expired, reports may still show the attempt, so its end is recorded as a negative claim. It also voids what an earlier
// probe showed of a lack of room.
func (w *worker) releaseClaim(now Time, job uint32, attempt int, slots float64) {
	before := len(w.claims)
	w.claims = slices.DeleteFunc(w.claims, func(c claim) bool { return c.job == job && c.attempt == attempt })
	if len(w.claims) == before {
		w.claims = append(w.claims, claim{at: now, slots: -slots})
	}
	w.noRoomUntil = 0
}

func abs(t Time) Time { return max(t, -t) }

// maxSlotValue returns the highest slotValue of the open jobs; it is infinite without open jobs.
func (d *Dispatcher) maxSlotValue() float64 {
	highest := 0.0
	for _, j := range d.jobs {
		if !j.closed {
			highest = max(highest, d.slotValue(j))
		}
	}
	if highest == 0 {
		return math.Inf(1)
	}
	return highest
}

// learnRTT updates the median round trip of a probe in the zone of w: one step up or down per answer.
func (d *Dispatcher) learnRTT(w *worker, rtt Time) {
	median := &d.medianRTT[w.Zone]
	switch {
	case *median == 0:
		*median = float64(rtt)
	case float64(rtt) > *median:
		*median *= 1 + learnRate/2
	default:
		*median /= 1 + learnRate/2
	}
}

// clearOverdue ends the wait for an overdue start, which kept further jobs off the worker.
func (a *attempt) clearOverdue() {
	if a.overdue {
		a.overdue = false
		a.w.overdueStarts--
	}
}

// updateWarmRate updates warmRate, for our own zone and for the others: draws stay in the zone, so a worker there gets far
// more than one elsewhere. A cold worker counts by its warmth, so warmRate never exceeds what one can take.
func (d *Dispatcher) updateWarmRate(span float64) {
	var warm [2]float64
	for _, w := range d.ready {
		warm[d.remoteIndex(w)] += d.warmth(w)
	}
	d.warmRateSamples++
	for i, n := range warm {
		if n > 0 {
			d.warmRate[i] += max(0.2, 1/d.warmRateSamples) * (d.sentWork[i]/span*1e6/n - d.warmRate[i]) // a plain mean at first
		}
	}
	d.sentWork, d.warmRateAt = [2]float64{}, d.now
	d.price = max(min(d.price*priceDecay, d.maxSlotValue()*priceRise), d.minSlotValue/2) // capped, as it could keep out all jobs
}
