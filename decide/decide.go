// The decisions. Interface: api.go; what is remembered: state.go; the reasons at length: docs/DESIGN.md.

package decide

import "encoding/binary"

// The settings of the decisions, each with its reason.
const (
	ms Time = 1000

	holderTimeout   = 15 * ms    // for the holder of a job alone, before another is asked as well
	probeTimeout    = 60 * ms    // both answers or this: longer than any round trip inside one operator's network
	backoffMin      = 15 * ms    // a first no is often the bad luck of one pair
	backoffMax      = 120 * ms   // by then the fleet is busy, and asking more often only costs it work
	reportLag       = 250 * ms   // a report may not show a push younger than this, unless they prove fresher
	noRoomSpan      = 150 * ms   // a full worker frees a slot in some hundreds of ms, and asking costs it work
	slotNoise       = 0.75       // a worker's size is known from noisy reports
	checkInterval   = 110 * ms   // the first look is 210 ms after the push, when no report is older
	blockedInFlight = 2.5        // a job waits beside free slots only behind a wide one that waits for a third
	resetsToEject   = 3          // attempts broken in a row: the worker breaks them
	lossesToEject   = 2          // one look may come at a bad moment
	startTimeout    = 100 * ms   // a job not started by then met a slot that was not free
	refusedMin      = 2000 * ms  // a drain lasts for seconds; a worker that is asked too much just now is soon back
	ejectMin        = 4000 * ms  // the first term: a stumble is often over by then
	ejectMax        = 20000 * ms // long enough to be rid of it, short enough to notice its return
	ejectMaxShare   = 0.4        // more suspects than this share have a common cause: eject nobody further
	drawTries       = 24         // random picks before the whole list is searched
	coldShare       = 1.6        // a cold worker gets this part of a warm one's load, times its sure warmth
	coldJobShare    = 0.25       // no single job may take more than this part of a cold worker's fall budget
	learnRate       = 0.1        // weight of the newest in a running mean
	priceRise       = 1.2        // a few draws without room in a row must tell
	priceDrop       = 0.95       // each start in time shows that slots are to be had
	priceDecay      = 0.9        // a second: a price that lets nothing through would never learn better
	drawZoneFactor  = 1.5        // near draws only, for this part of the slack times the price of crossing
	tenantBurst     = 8          // seconds of a tenant's share may come at once: a node sees few jobs, unevenly
	hedgeMaxRefresh = 300 * ms   // by older reports a second copy meets a taken slot as often as the first
	maxRefresh      = 1000 * ms  // a report older than that says nothing, and claims must not outlive it
	referenceRun    = 100 * ms   // the spans above suit jobs that run at least as long
	complaintWindow = 10000 * ms // two peers' complaints of a worker within this span are believed
	slowFactor      = 2          // probes vary by less than this while all is well
	retryAfter      = 2000 * ms  // a refused job met a fleet that stayed full for all of its slack
	slowLearnRate   = 0.02       // a node draws tens of times a second when it is busy
	shortRunShare   = 0.3        // of the mean: about every third run is that short
	queueShare      = 0.3        // of its slots: a queue that keeps a worker at work until the next push
	lowFailureRate  = 0.15       // of the jobs that a worker was sent: one failure happens, two tell
)

// Announce takes in news of the worker list.
func (d *Dispatcher) Announce(now Time, kind ListKind, list []Worker) {
	d.advance(now)
	if kind == ListFailed {
		d.watching = false
		d.failedWatches++
		d.scheduleWatch()
		return
	}
	d.updateList(kind, list)
	if kind == ListCached && d.settings.MustAsk {
		d.scheduleWatch()
	} else {
		d.watching, d.failedWatches = d.settings.MustAsk, 0
	}
}

// scheduleWatch asks for the list soon. Its capacity is small, so calls are spread out and back off; but never
// so far that our silence would count as having been told of a drain.
func (d *Dispatcher) scheduleWatch() {
	if d.settings.MustAsk {
		span := min(d.settings.AskWithin/16<<min(d.failedWatches, 2), d.settings.AskWithin/4)
		d.actions.Wake(span/4+d.rng.Int64N(span+1), wakeWatch)
	}
}

// requestWatch calls for the watch unless we have it or a call is under way. Each call also sets the next look: an
// requestWatch skipped for a call that then fails unseen once left a node without a watch, deaf to drains.
func (d *Dispatcher) requestWatch() {
	if d.watching || (d.watchAskedAt > 0 && d.now-d.watchAskedAt < d.settings.AskWithin/64) {
		return
	}
	d.watchAskedAt = d.now
	d.actions.Watch(true)
	d.actions.Wake(d.settings.AskWithin/3, wakeWatch)
}

// Arrive takes a job.
func (d *Dispatcher) Arrive(now Time, in Job) {
	d.advance(now)
	if d.jobs[in.ID] != nil {
		return
	}
	d.widestJob = max(d.widestJob, in.Slots)
	if in.Class < 0 || in.Class >= len(d.settings.Classes) || in.GiveUpAt <= now+2*d.settings.Tick {
		d.actions.Refuse(in.ID, min(retryAfter, d.settings.MaxRetryAfter))
		return
	}
	j := d.newJob(in)
	d.estimate(j)
	d.actions.Wake(in.GiveUpAt-2*d.settings.Tick-now, wakeGiveUp|uint64(in.ID))
	d.drawPair(j)
}

// estimate sets what we expect of a job: its running time, and how late a push still makes sense.
func (d *Dispatcher) estimate(j *job) {
	j.expectedRun = Time(d.meanRunByClass[j.Job.Class])
	if j.Hint > 0 {
		j.expectedRun = j.Hint
	}
	// The client has been waiting since its first try; what is left of its patience tells since when.
	d.deadlineShare = max(d.deadlineShare, min(1, float64(j.GiveUpAt-d.now)/float64(j.class.Deadline)))
	origin := min(d.now, j.GiveUpAt-Time(d.deadlineShare*float64(j.class.Deadline)))
	j.aimAt = origin + j.class.Aim
	j.latestPush = min(d.latestStart(j, 1), j.GiveUpAt-j.expectedRun)
	j.drawZoneUntil = d.now + Time(min(1, drawZoneFactor*d.settings.CrossZoneCost)*float64(j.latestPush-d.now))
	j.overShare = !d.takeTenantToken(j.Tenant)
	if v := d.slotValue(j); d.minSlotValue == 0 || v < d.minSlotValue {
		d.minSlotValue = v
	}
}

// takeTenantToken takes a request from the part of its tenant's share that falls to this node.
func (d *Dispatcher) takeTenantToken(t int) bool {
	if t < 0 || t >= len(d.settings.Tenants) {
		return true
	}
	rate := d.settings.Tenants[t].Allowance / float64(d.settings.Nodes) / 1e6
	d.tenantTokens[t] = min(d.tenantTokens[t]+rate*float64(d.now-d.tenantTokensAt[t]), tenantBurst*(1+rate*1e6))
	d.tenantTokensAt[t] = d.now
	within := d.tenantTokens[t] >= 1
	if within {
		d.tenantTokens[t]--
	}
	return within
}

// drawPair is the mechanism: two distinct ready workers at random, both probed. Where one is the holder and
// may be so good that the other's answer can't matter, it is asked first.
func (d *Dispatcher) drawPair(j *job) {
	j.drawNumber++
	j.drawing = true
	j.pair, j.answered = [2]*worker{}, [2]bool{}
	if d.admitByPrice(j) {
		j.pair[0] = d.pickHolder(j)
		if j.pair[0] == nil {
			j.pair[0] = d.pickWorker(j, nil)
		}
	}
	if j.pair[0] != nil {
		j.pair[1] = d.pickWorker(j, j.pair[0])
	}
	if j.pair[0] == nil {
		d.backOff(j)
		return
	}
	if !d.settings.CanProbe {
		j.answered, j.reports = [2]bool{true, true}, [2]Report{}
		d.resolveDraw(j)
		return
	}
	d.sendProbe(j, j.pair[0])
	j.secondUnprobed = j.EnoughSlots > 0 && j.pair[0].ID == j.Holder && j.pair[1] != nil
	if j.secondUnprobed {
		d.actions.Wake(holderTimeout, wakeProbes|uint64(j.drawNumber)<<32|uint64(j.ID))
		return
	}
	d.probeSecond(j)
}

// probeSecond asks the second of the pair and gives both the time to answer.
func (d *Dispatcher) probeSecond(j *job) {
	j.secondUnprobed = false
	d.sendProbe(j, j.pair[1])
	d.actions.Wake(probeTimeout, wakeProbes|uint64(j.drawNumber)<<32|uint64(j.ID))
}

// holderSuffices tells whether the holder has answered and an answer of the other one would not matter.
func (d *Dispatcher) holderSuffices(j *job) bool {
	w := j.pair[0]
	if w == nil || !j.answered[0] || !d.eligible(j, w) || d.slowness(w, j.rtt[0]) > 1 {
		return false
	}
	r, _, fits := d.estimateRoom(j, w, j.reports[0])
	return fits && r.FreeSlots+j.SavedSlots >= j.EnoughSlots
}

// pickWorker draws one worker for j. Crossing zones costs time and money, so draws stay near at first: once at
// least, and for a part of the slack that grows with the price of crossing.
func (d *Dispatcher) pickWorker(j *job, other *worker) *worker {
	pool := d.ready
	if near := d.readyByZone[j.drawZone]; (j.failedDraws == 0 || d.now < j.drawZoneUntil) && len(near) > 1 {
		pool = near
	}
	for i := 0; i < drawTries && len(pool) > 0; i++ {
		if w := pool[d.rng.IntN(len(pool))]; w != other && d.eligible(j, w) && !d.lacksRoom(j, w) && d.admitCold(j, w) {
			return w
		}
	}
	d.candidates = d.candidates[:0]
	for _, w := range d.ready {
		if w != other && d.warmth(w) >= 1 && d.eligible(j, w) && !d.lacksRoom(j, w) {
			d.candidates = append(d.candidates, w)
		}
	}
	if len(d.candidates) == 0 {
		return nil
	}
	return d.candidates[d.rng.IntN(len(d.candidates))]
}

// pickHolder is the worker that is believed to hold what j would need anew elsewhere. It joins the first draw in
// the place of one random worker; a second draw means that it was full, and goes by chance alone.
func (d *Dispatcher) pickHolder(j *job) *worker {
	w := d.workers[j.Holder]
	if j.Holder == 0 || j.failedDraws > 0 || w == nil || !d.eligible(j, w) || d.lacksRoom(j, w) || !d.admitCold(j, w) {
		return nil
	}
	return w
}

// eligible tells whether j may go to w at all. One that was ejected is tried with jobs that may be repeated, if
// there are such, until it serves some: an unsafe job would be lost on it. One that only fails now and then
// is better than none to a job that found no room elsewhere and has attempts to spare.
func (d *Dispatcher) eligible(j *job, w *worker) bool {
	again := j.class.Effect != Unsafe
	spare := w.failureRate > lowFailureRate && w.lostProbes == 0 && again && j.failedDraws > 0 && len(j.attempts) < d.settings.MaxAttempts-1
	return w.State == Ready && (w.ejectedUntil <= d.now || spare) && w.fullUntil <= d.now && w.overdueStarts == 0 &&
		(w.ejectionLevel == 0 && w.failureRate < lowFailureRate || again || !d.anyRepeatable) && w.classEjections[j.Job.Class].until <= d.now &&
		(j.class.Kind < 0 || j.class.Kind == w.Kind) && d.mayRepeat(j, w)
}

// lacksRoom tells whether asking w for room for j would waste its work and the price of a probe: it was seen too
// full a moment ago, or our own jobs there leave too little.
func (d *Dispatcher) lacksRoom(j *job, w *worker) bool {
	full := d.now < w.noRoomUntil && j.Slots >= w.noRoomSlots
	return full || w.capacity > 0 && w.heldSlots+j.Slots > w.capacity+slotNoise
}

// mayRepeat keeps the effect rule: what may have run goes again only where a repeat does no harm.
func (d *Dispatcher) mayRepeat(j *job, w *worker) bool {
	for i := range j.attempts {
		a := &j.attempts[i]
		if !a.mayHaveRun {
			continue
		}
		if a.inFlight && (!d.settings.SecondCopies || a.w == w) {
			return false
		}
		switch {
		case j.class.Effect == Unsafe:
			return false
		case j.class.Effect == Keyed:
			same := j.class.Scope == ScopeAll || j.class.Scope == ScopeZone && w.Zone == a.w.Zone ||
				j.class.Scope == ScopeCell && w.Cell == a.w.Cell && w.Zone == a.w.Zone
			if !same || d.now-a.sent >= j.class.MemorySpan-startTimeout {
				return false
			}
		}
	}
	return true
}

// warmth is the part of its capacity that w is sure to have by now.
func (d *Dispatcher) warmth(w *worker) float64 {
	age := d.now - w.StartedAt
	if w.StartedAt <= 0 || age >= d.settings.ColdSpan {
		return 1
	}
	return d.settings.ColdFrom + (1-d.settings.ColdFrom)*max(0, float64(age))/float64(d.settings.ColdSpan)
}

// admitCold lets a cold worker into a draw as often as keeps it standing. Idle, it would win every pair. So it
// saves up credit at the rate that we send work to a warm one, times its warmth, and each draw that meets it
// stakes all on one throw: on average we send what was saved, however many nodes do the same.
func (d *Dispatcher) admitCold(j *job, w *worker) bool {
	warmth := d.warmth(w)
	if warmth >= 1 {
		return true
	}
	w.coldCredit += coldShare * warmth * d.warmRate[d.remoteIndex(w)] / 1e6 * float64(d.now-w.coldCreditAt)
	w.coldCreditAt = d.now
	budget := d.settings.OverloadMultiple * warmth * d.sustainedRate(w) * float64(d.settings.OverloadSpan)
	if float64(j.expectedRun)*j.Slots > coldJobShare*budget {
		return false
	}
	won := d.rng.Float64()*float64(j.expectedRun)*j.Slots < w.coldCredit
	w.coldCredit = 0
	return won
}

// resolveDraw pushes to the lighter of the pair that has room, where the job should end sooner, or holds the job.
func (d *Dispatcher) resolveDraw(j *job) {
	var best *worker
	var bestWait, bestEnd Time
	var bestFree float64
	for i, w := range j.pair {
		if w == nil || !j.answered[i] || !d.eligible(j, w) {
			continue
		}
		slow := d.slowness(w, j.rtt[i])
		r, queue, fits := d.estimateRoom(j, w, j.reports[i])
		if w.ID == j.Holder {
			r.FreeSlots += j.SavedSlots // what it need not do again counts as room
		}
		if !fits {
			w.noRoomUntil, w.noRoomSlots = d.now+d.scaleSpan(noRoomSpan), j.Slots
		}
		wait := Time(slow * queue)
		end := wait + Time(slow*float64(j.expectedRun))
		// What is too late already must keep nobody waiting.
		fits = fits && (d.now+wait <= d.latestStart(j, slow) || wait == 0 && d.now > d.latestStart(j, 1))
		if fits && (best == nil || end < bestEnd || end == bestEnd && (r.FreeSlots > bestFree ||
			r.FreeSlots == bestFree && w.inFlight < best.inFlight)) {
			best, bestWait, bestEnd, bestFree = w, wait, end, r.FreeSlots
		}
	}
	if best == nil {
		d.noRoomShare += slowLearnRate * (1 - d.noRoomShare)
		if d.slotValue(j) >= d.price && (j.answered[0] || j.answered[1]) { // silence says nothing of slots
			d.price *= 1 + (priceRise-1)*d.noRoomShare*d.noRoomShare
		}
		d.backOff(j)
		return
	}
	d.noRoomShare -= slowLearnRate * d.noRoomShare
	d.push(j, best, bestWait)
}

// admitByPrice throttles the jobs that are worth least for their work while a job worth the price of a slot finds
// none (settle): else the cheap ones take each slot as it comes free. Starts in time lower the price.
func (d *Dispatcher) admitByPrice(j *job) bool {
	part := d.slotValue(j) / d.price
	return d.settings.Unpriced || part >= 1 || d.rng.Float64() < part*part
}

// slotValue is what a job earns for a second of a slot.
func (d *Dispatcher) slotValue(j *job) float64 {
	worth := j.class.Worth
	if j.overShare {
		worth *= d.settings.OverShareWorth
	}
	if !d.settings.WorthByWork {
		worth /= float64(max(j.expectedRun, ms)) / 1e6
	}
	return worth / j.Slots
}

// slowness tells from the time a probe took how many times slower than usual w is, whatever slots it shows.
func (d *Dispatcher) slowness(w *worker, echo Time) float64 {
	usual := max(d.medianRTT[w.Zone], float64(d.settings.RTTNoise))
	if usual <= 0 || float64(echo) < slowFactor*usual {
		return 1 // jitter
	}
	return float64(echo) / usual
}

// latestStart is the last moment at which j may start and end in time on a worker that much slower than usual.
func (d *Dispatcher) latestStart(j *job, slow float64) Time {
	spare := (j.class.Stretch - slow) * float64(j.expectedRun)
	if j.Hint <= 0 {
		spare = min(spare, spare*shortRunShare)
	}
	return j.aimAt + Time(spare)
}

// estimateRoom takes our own pushes that the report can't show yet off what it shows. It tells how long j would queue
// and whether it fits. A worker's own queue is blind, so a job without estimateRoom waits here. Where it is told and
// no job is wider than a slot, a short one keeps slots from idling till the next look.
func (d *Dispatcher) estimateRoom(j *job, w *worker, r Report) (load Report, queue float64, fits bool) {
	// More jobs than slots taken: one too wide blocks the rest. Nor does noise make room for one beside another.
	if size := d.capacityOf(w); r.Has&HasInFlight != 0 && r.InFlight == 0 {
		r.FreeSlots = max(r.FreeSlots, w.capacity)
	} else if size > 0 && r.InFlight > size-r.FreeSlots+slotNoise {
		r.FreeSlots = 0
	} else if size > 0 && r.Has&HasInFlight != 0 {
		r.FreeSlots = min(r.FreeSlots, size-max(1, r.InFlight))
	}
	keep, shown, queues := w.claims[:0], r.FreeSlots, d.widestJob <= 1 && r.Has&HasQueue != 0
	for _, c := range w.claims {
		if (c.slots > 0 || queues) && d.now-c.at < min(2*d.refresh, max(reportLag, d.refresh)) {
			keep = append(keep, c)
			r.FreeSlots -= c.slots
			r.FreeMemory -= c.memory
		}
	}
	w.claims = keep
	if d.settings.Nodes == 1 { // all that it holds is ours, and some of that the report shows already
		r.FreeSlots = max(r.FreeSlots, min(shown, w.capacity-w.heldSlots))
	}
	need, ahead := j.Slots, 0.5
	if queues {
		r.FreeSlots -= r.Queue
		ahead = max(ahead, queueShare*d.capacityOf(w))
	}
	switch {
	case r.Has&HasFreeSlots != 0:
		queue = d.meanRun * max(0, 0.5-r.FreeSlots) / max(1, d.capacityOf(w))
		return r, queue, r.FreeSlots > need-ahead && (r.Has&HasFreeMemory == 0 || r.FreeMemory >= j.Memory)
	case r.Has&HasQueue != 0:
		r.FreeSlots = -r.Queue
		return r, 0, r.Queue < 1
	case r.Has&HasInFlight != 0:
		r.FreeSlots = -r.InFlight
	default:
		r.FreeSlots = -float64(w.inFlight)
	}
	return r, 0, r.Has&HasUtil == 0 || r.Util < 0.97
}

// push sends j to w, where it is expected to wait that long in the queue.
func (d *Dispatcher) push(j *job, w *worker, wait Time) {
	if len(j.attempts) >= d.settings.MaxAttempts {
		d.backOff(j)
		return
	}
	j.drawing = false
	n := len(j.attempts)
	j.attempts = append(j.attempts, attempt{w: w, sent: d.now, startedAt: d.now, inFlight: true, mayHaveRun: true})
	j.inFlight++
	w.inFlight++
	w.heldSlots += j.Slots
	w.claims = append(w.claims, claim{d.now, j.ID, n, j.Slots, j.Memory})
	d.sentWork[d.remoteIndex(w)] += float64(j.expectedRun) * j.Slots
	d.actions.Push(j.ID, w.ID, j.GiveUpAt-d.now)
	if d.settings.TellsStart {
		d.actions.Wake(startTimeout+wait, wakeStartDue|uint64(n)<<32|uint64(j.ID))
	}
}

// backOff keeps a job that found no room and draws a fresh pair after a jittered backoff, or sheds it if late.
func (d *Dispatcher) backOff(j *job) {
	j.drawNumber++
	j.failedDraws++
	wait := d.jitter(d.scaleSpan(min(backoffMin<<min(j.failedDraws/2, 10), backoffMax)))
	if len(j.attempts) >= d.settings.MaxAttempts || d.now+wait > j.latestPush {
		j.drawing = false
		if j.inFlight == 0 {
			d.giveUp(j)
		}
		return
	}
	j.drawing = true
	d.actions.Wake(wait, wakeRedraw|uint64(j.drawNumber)<<32|uint64(j.ID))
}

// scaleSpan shortens a span where jobs are short: a full worker frees a slot as soon as one of them ends.
func (d *Dispatcher) scaleSpan(span Time) Time {
	return max(min(span, Time(float64(span)*d.meanRun/float64(referenceRun))), d.settings.Tick)
}

// giveUp gives the final answer, at once. A refusal promises that nothing ran, and says when to come back.
func (d *Dispatcher) giveUp(j *job) {
	refuse, safe := true, j.class.Effect == Safe || j.class.Effect == Keyed && j.class.Scope == ScopeAll
	for _, a := range j.attempts {
		refuse = refuse && (safe || !a.mayHaveRun)
	}
	if refuse {
		d.actions.Refuse(j.ID, min(retryAfter, d.settings.MaxRetryAfter))
	} else {
		d.actions.Fail(j.ID)
	}
	d.closeJob(j)
}

// closeJob ends a job and calls off what is still out; the entry stays until every attempt has ended.
func (d *Dispatcher) closeJob(j *job) {
	j.closed, j.drawing = true, false
	d.cancelOthers(j, -1, false)
	d.forgetJob(j)
}

func (d *Dispatcher) cancelOthers(j *job, but int, waitingOnly bool) {
	for i := range j.attempts {
		if a := &j.attempts[i]; i != but && a.inFlight && d.settings.CanCancel && !(waitingOnly && a.started) {
			d.actions.Cancel(j.ID, i)
		}
	}
}

// afterAttempt decides what follows an attempt that came to nothing.
func (d *Dispatcher) afterAttempt(j *job, a *attempt, s Status) {
	switch {
	case j.inFlight > 0 || j.drawing:
		return
	case s == TimedOut || a.mayHaveRun && j.class.Effect == Unsafe:
		d.giveUp(j)
	default:
		d.backOff(j)
	}
}

// learnOutcome learns from how an attempt ended.
func (d *Dispatcher) learnOutcome(j *job, a *attempt, s Status) {
	switch s {
	case Served:
		a.w.ejectionLevel /= 2
		a.w.failureRate *= 1 - learnRate
		a.w.resets, a.w.classEjections[j.Job.Class].strikes = 0, 0
		run := float64(d.now - a.startedAt)
		d.meanRunByClass[j.Job.Class] += learnRate * (run - d.meanRunByClass[j.Job.Class])
		d.meanRun += slowLearnRate * (run - d.meanRun)
	case TimedOut:
		if !a.started {
			d.ejectForClass(a.w, j.Job.Class)
		}
	case Full:
		a.w.fullUntil = d.now + d.scaleSpan(reportLag)
	case Reset: // connections break on sound workers too, and those that are gone answer no probe
		if a.w.resets++; a.w.resets >= resetsToEject {
			d.eject(a.w)
		}
	case Error:
		a.w.failureRate += learnRate * (1 - a.w.failureRate)
		d.eject(a.w)
	case ConnectFailed:
		d.eject(a.w)
	}
}

// learnProbe suspects a worker if two probes in a row were lost; the second is asked for at once. One that
// refuses a probe tells that it drains or is gone, sooner than the list does: there no cause is shared.
func (d *Dispatcher) learnProbe(w *worker, s Status, echo Time) {
	if s == Error || s == ConnectFailed && echo < probeTimeout {
		w.fullUntil = d.now + d.jitter(min(refusedMin<<min(2*w.refusedProbes, 8), ejectMax))
		w.refusedProbes++
		return
	}
	if s != TimedOut && s != ConnectFailed && s != Reset {
		w.lostProbes, w.refusedProbes = 0, 0
		return
	}
	if w.lostProbes++; w.lostProbes < lossesToEject {
		d.checkWorker(w, nil, 0)
		return
	}
	d.eject(w)
	for _, j := range d.jobsOn(w) {
		for n := range j.attempts {
			if j.attempts[n].w == w {
				d.cancelForRetry(j, n)
			}
		}
	}
}

// checkWorker probes w for the sake of what we have there: of attempt n of j, which has not started, or of all.
func (d *Dispatcher) checkWorker(w *worker, j *job, n int) {
	p := probe{at: d.now}
	if j != nil {
		p.job, p.checkedAttempt = j.ID, n+1
	}
	if d.settings.CanProbe {
		w.probes = append(w.probes, p)
		d.actions.Probe(w.ID)
	}
}

// afterCheck takes in what a look at an attempt that has not started shows. A worker with room for it that
// holds next to nothing does not make it wait: the connection has fallen silent, or the job was lost.
func (d *Dispatcher) afterCheck(j *job, n int, s Status, r Report) {
	a := &j.attempts[n]
	if !a.inFlight || a.started {
		return
	}
	const has = HasFreeSlots | HasInFlight
	wait := checkInterval
	if s != Served || r.Has&has != has || r.FreeSlots <= j.Slots-0.5 || r.InFlight > blockedInFlight {
		a.failedChecks, wait = 0, 5*checkInterval
	} else if a.failedChecks++; a.failedChecks >= lossesToEject {
		a.clearOverdue()
		d.ejectForClass(a.w, j.Job.Class)
		d.cancelForRetry(j, n)
		return
	}
	d.actions.Wake(wait, wakeCheck|uint64(n)<<32|uint64(j.ID))
}

// cancelForRetry calls off an attempt that nothing more is expected of, if its job may and can still go elsewhere.
func (d *Dispatcher) cancelForRetry(j *job, n int) {
	if j.attempts[n].inFlight && !j.closed && d.settings.CanCancel && j.class.Effect != Unsafe &&
		len(j.attempts) < d.settings.MaxAttempts {
		d.actions.Cancel(j.ID, n)
	}
}

// ejectForClass keeps a class off a worker that did not even start a job of it: some serve the others as ever.
func (d *Dispatcher) ejectForClass(w *worker, class int) {
	s := &w.classEjections[class]
	s.until = d.now + min(ejectMin<<min(2*s.strikes, 8), ejectMax)
	s.strikes++
}

// eject keeps a worker out of draws for a growing, jittered term. When many look bad at once the cause is
// likelier shared (the network, a common dependency) and ejecting would only crowd the rest.
func (d *Dispatcher) eject(w *worker) {
	if w.ejectedUntil > d.now {
		return
	}
	bad := 0
	for _, v := range d.ready {
		if v.ejectedUntil > d.now {
			bad++
		}
	}
	if float64(bad+1) > ejectMaxShare*float64(len(d.ready)) {
		return
	}
	w.ejectedUntil = d.now + d.jitter(min(ejectMin<<min(w.ejectionLevel, 8), ejectMax))
	w.ejectionLevel++
	if d.settings.CanMessagePeers && (w.complaints < 2 || d.now-w.complaintAt > complaintWindow) {
		d.actions.SendPeer(PeerAll, binary.BigEndian.AppendUint64(d.peerMessage[:0], uint64(w.ID)))
	}
}

// addComplaint takes a peer's word that a worker failed it. One peer may have had bad luck; two are believed.
func (d *Dispatcher) addComplaint(w *worker) {
	if d.now-w.complaintAt > complaintWindow {
		w.complaints = 0
	}
	w.complaints++
	w.complaintAt = d.now
	if w.complaints >= 2 {
		d.eject(w)
	}
}

// markStarted takes in that an attempt runs: no further copy is wanted, and those that wait are called off.
func (d *Dispatcher) markStarted(j *job, n int) {
	a := &j.attempts[n]
	a.started, a.startedAt = true, d.now
	if !a.overdue {
		d.price = max(d.price*priceDrop, d.minSlotValue/2)
	}
	a.clearOverdue()
	if !j.closed {
		j.drawing = false
		d.cancelOthers(j, n, true)
	}
}

// startOverdue acts on a start note that did not come in the time expected. Whatever the cause, nothing more goes
// there while our own job waits, and a job that may be repeated tries its luck elsewhere too.
func (d *Dispatcher) startOverdue(j *job, n int) {
	if n >= len(j.attempts) || !j.attempts[n].inFlight || j.attempts[n].started {
		return
	}
	a := &j.attempts[n]
	a.overdue = true
	a.w.overdueStarts++
	if j.class.Effect != Unsafe && d.settings.SecondCopies && !j.drawing && d.refresh < hedgeMaxRefresh {
		d.drawPair(j) // mayRepeat keeps it inside its key's scope
	}
	d.actions.Wake(checkInterval, wakeCheck|uint64(n)<<32|uint64(j.ID))
}

// learnRefresh keeps how long reports stand, on the mean: looks at one worker in quick succession, by their
// span, over those that found a new report. Only where what we hold there changed must there be one.
func (d *Dispatcher) learnRefresh(w *worker, r Report) {
	gap, differs := d.now-w.lastReportAt, w.inFlight != w.lastReportInFlight
	if gap > 0 && gap <= reportLag && differs && r.FreeSlots+r.InFlight > 0 {
		d.observedSpan += float64(gap)
		if r != w.lastReport {
			d.reportChanges++
		}
		if d.observedSpan > 40*float64(reportLag) { // old looks fade
			d.observedSpan, d.reportChanges = d.observedSpan/2, d.reportChanges/2
		}
		d.refresh = min(Time(d.observedSpan/d.reportChanges), maxRefresh)
	}
	w.lastReport, w.lastReportAt, w.lastReportInFlight = r, d.now, w.inFlight
	d.learnCapacity(w, r)
}
