// This file makes the decisions. Interface: api.go; state: state.go; the reasons in full: docs/DESIGN.md.

package decide

import "encoding/binary"

// The parameters of the decisions, each with its reason. Times are in microseconds.
const (
	ms Time = 1000

	holderTimeout   = 15 * ms    // the holder alone is probed for this long before a second worker is, too
	probeTimeout    = 60 * ms    // for both probes; longer than any round trip inside one operator's network
	backoffMin      = 15 * ms    // the first backoff; one pair without room is often just chance
	backoffMax      = 120 * ms   // by then the fleet is busy, and more probes only cost it work
	reportLag       = 250 * ms   // a report may not show a younger push, unless reports prove fresher
	noRoomSpan      = 150 * ms   // a full worker frees a slot in some hundreds of ms, and a probe costs it work
	slotNoise       = 0.75       // slots; a worker's capacity is learned from noisy reports
	checkInterval   = 110 * ms   // the first check is 210 ms after the push, when no report is older than it
	blockedInFlight = 2.5        // jobs; one waits beside free slots only behind a wide one, while a third runs
	resetsToEject   = 3          // resets in a row; that many are caused by the worker
	lossesToEject   = 2          // lost probes or failed checks in a row; a single one may be bad timing
	startTimeout    = 100 * ms   // a job that has not started by then did not find a free slot
	refusedMin      = 2000 * ms  // after a refused probe: a drain takes seconds, an overload is over soon
	ejectMin        = 4000 * ms  // the first term; a short fault is often over by then
	ejectMax        = 20000 * ms // long enough to avoid a bad worker, short enough to notice its recovery
	ejectMaxShare   = 0.4        // of the ready workers; more suspects have a common cause: eject no more
	drawTries       = 24         // random picks before the whole list is searched
	coldShare       = 1.6        // a cold worker gets this x its certain warmth x the load of a warm worker
	coldJobShare    = 0.25       // of a cold worker's overload budget, the most that a single job may take
	learnRate       = 0.1        // weight of the newest sample in a running mean
	priceRise       = 1.2        // factor per draw without room; a few in a row must have an effect
	priceDrop       = 0.95       // factor per start in time, which shows that slots are available
	priceDecay      = 0.9        // factor per second; a price that admits no job would otherwise never fall
	drawZoneFactor  = 1.5        // x CrossZoneCost: the part of the slack for which draws stay in the job's zone
	tenantBurst     = 8          // seconds of a tenant's share at once; one dispatcher sees few jobs, unevenly
	hedgeMaxRefresh = 300 * ms   // with older reports a second copy meets a taken slot as often as the first
	maxRefresh      = 1000 * ms  // an older report is worthless, and claims must not outlive it
	referenceRun    = 100 * ms   // the spans above suit jobs that run at least this long; see scaleSpan
	complaintWindow = 10000 * ms // two complaints from peers about a worker within this time eject it
	slowFactor      = 2          // x the median round trip; probes of healthy workers vary by less
	retryAfter      = 2000 * ms  // a refused job met a fleet that stayed full for all of the job's slack
	slowLearnRate   = 0.02       // weight per draw; a busy dispatcher draws tens of times a second
	shortRunShare   = 0.3        // of the mean run: about one job in three is that short
	queueShare      = 0.3        // of a worker's slots: a queue that keeps it busy until the next push
	lowFailureRate  = 0.15       // of recent attempts: a single failure can be chance, two rarely are
)

// Announce applies an update of the worker list.
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

// scheduleWatch requests the watch after a jittered backoff that spares the list service, which has little
// capacity. The wait stays below AskWithin: a dispatcher silent for that long counts as informed of drains.
func (d *Dispatcher) scheduleWatch() {
	if d.settings.MustAsk {
		span := min(d.settings.AskWithin/16<<min(d.failedWatches, 2), d.settings.AskWithin/4)
		d.actions.Wake(span/4+d.rng.Int64N(span+1), wakeWatch)
	}
}

// requestWatch requests the watch unless it stands or a request is under way. Each request schedules the next
// one: a request skipped because of another that failed unnoticed once left a dispatcher unaware of drains.
func (d *Dispatcher) requestWatch() {
	if d.watching || (d.watchRequestedAt > 0 && d.now-d.watchRequestedAt < d.settings.AskWithin/64) {
		return
	}
	d.watchRequestedAt = d.now
	d.actions.Watch(true)
	d.actions.Wake(d.settings.AskWithin/3, wakeWatch)
}

// Arrive accepts a job. It refuses one of an unknown class or without time left.
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

// estimate sets a job's expected running time and the latest push that still makes sense.
func (d *Dispatcher) estimate(j *job) {
	j.expectedRun = Time(d.meanRunByClass[j.Job.Class])
	if j.Hint > 0 {
		j.expectedRun = j.Hint
	}
	// The client has waited since its first try. The time left until its deadline shows when that was.
	d.deadlineShare = max(d.deadlineShare, min(1, float64(j.GiveUpAt-d.now)/float64(j.class.Deadline)))
	firstTryAt := min(d.now, j.GiveUpAt-Time(d.deadlineShare*float64(j.class.Deadline)))
	j.aimAt = firstTryAt + j.class.Aim
	j.latestPush = min(d.latestStart(j, 1), j.GiveUpAt-j.expectedRun)
	j.drawZoneUntil = d.now + Time(min(1, drawZoneFactor*d.settings.CrossZoneCost)*float64(j.latestPush-d.now))
	j.overShare = !d.takeTenantToken(j.Tenant)
	if v := d.slotValue(j); d.minSlotValue == 0 || v < d.minSlotValue {
		d.minSlotValue = v
	}
}

// takeTenantToken takes a token from this dispatcher's part of the tenant's share, if there is one left.
func (d *Dispatcher) takeTenantToken(tenant int) bool {
	if tenant < 0 || tenant >= len(d.settings.Tenants) {
		return true
	}
	rate := d.settings.Tenants[tenant].Allowance / float64(d.settings.Nodes) / 1e6
	d.tokens[tenant] = min(d.tokens[tenant]+rate*float64(d.now-d.tokensAt[tenant]), tenantBurst*(1+rate*1e6))
	d.tokensAt[tenant] = d.now
	available := d.tokens[tenant] >= 1
	if available {
		d.tokens[tenant]--
	}
	return available
}

// drawPair draws two distinct random ready workers and probes both. If the first is the holder of the job and
// may be so good that the other's answer can't matter, only the holder is probed at first.
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

// probeSecond probes the second worker of the pair and sets the timeout of both probes.
func (d *Dispatcher) probeSecond(j *job) {
	j.secondUnprobed = false
	d.sendProbe(j, j.pair[1])
	d.actions.Wake(probeTimeout, wakeProbes|uint64(j.drawNumber)<<32|uint64(j.ID))
}

// holderSuffices reports whether the holder answered and the other worker's answer can't matter.
func (d *Dispatcher) holderSuffices(j *job) bool {
	w := j.pair[0]
	if w == nil || !j.answered[0] || !d.eligible(j, w) || d.slowness(w, j.rtt[0]) > 1 {
		return false
	}
	r, _, fits := d.estimateRoom(j, w, j.reports[0])
	return fits && r.FreeSlots+j.SavedSlots >= j.EnoughSlots
}

// pickWorker draws one worker for j. Crossing zones costs time and money, so draws stay in the job's zone at
// first: for one draw at least, and for a part of the slack that grows with the cost of crossing.
func (d *Dispatcher) pickWorker(j *job, other *worker) *worker {
	pool := d.ready
	if near := d.readyByZone[j.drawZone]; (j.failedDraws == 0 || d.now < j.drawZoneUntil) && len(near) > 1 {
		pool = near
	}
	for i := 0; i < drawTries && len(pool) > 0; i++ {
		if w := pool[d.rng.IntN(len(pool))]; w != other && d.eligible(j, w) &&
			!d.lacksRoom(j, w) && d.admitCold(j, w) {
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

// pickHolder returns the worker believed to hold state that j would need to build anew elsewhere. It joins
// the first draw in place of a random worker. A second draw means that it was full, and is purely random.
func (d *Dispatcher) pickHolder(j *job) *worker {
	w := d.workers[j.Holder]
	if j.Holder == 0 || j.failedDraws > 0 || w == nil ||
		!d.eligible(j, w) || d.lacksRoom(j, w) || !d.admitCold(j, w) {
		return nil
	}
	return w
}

// eligible reports whether j may go to w. After an ejection a worker only gets repeatable jobs, if there are
// any, until it has served some: an unsafe job would be lost on it. A worker that fails only some jobs is
// better than none for a job that found no room elsewhere and has attempts to spare.
func (d *Dispatcher) eligible(j *job, w *worker) bool {
	repeatable := j.class.Effect != Unsafe
	lastResort := w.failureRate > lowFailureRate && w.lostProbes == 0 && repeatable && j.failedDraws > 0 &&
		len(j.attempts) < d.settings.MaxAttempts-1
	return w.State == Ready && (w.ejectedUntil <= d.now || lastResort) && w.fullUntil <= d.now &&
		w.overdueStarts == 0 && (w.ejectionLevel == 0 && w.failureRate < lowFailureRate ||
		repeatable || !d.anyRepeatable) && w.classEjections[j.Job.Class].until <= d.now &&
		(j.class.Kind < 0 || j.class.Kind == w.Kind) && d.mayRepeat(j, w)
}

// lacksRoom reports whether probing w for j is wasted work: w was just seen too full, or our jobs fill it.
func (d *Dispatcher) lacksRoom(j *job, w *worker) bool {
	seenFull := d.now < w.noRoomUntil && j.Slots >= w.noRoomSlots
	return seenFull || w.capacity > 0 && w.heldSlots+j.Slots > w.capacity+slotNoise
}

// mayRepeat enforces the effect rule: a job that may have run is repeated only where that does no harm.
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
			sameScope := j.class.Scope == ScopeAll || j.class.Scope == ScopeZone && w.Zone == a.w.Zone ||
				j.class.Scope == ScopeCell && w.Cell == a.w.Cell && w.Zone == a.w.Zone
			if !sameScope || d.now-a.sent >= j.class.MemorySpan-startTimeout {
				return false
			}
		}
	}
	return true
}

// warmth returns the part of its capacity that w has certainly reached by now.
func (d *Dispatcher) warmth(w *worker) float64 {
	age := d.now - w.StartedAt
	if w.StartedAt <= 0 || age >= d.settings.ColdSpan {
		return 1
	}
	return d.settings.ColdFrom + (1-d.settings.ColdFrom)*max(0, float64(age))/float64(d.settings.ColdSpan)
}

// admitCold admits a cold worker to a draw as often as it can bear; while idle, it would win every pair. It
// earns credit at the rate of work that we send to a warm worker, times its warmth. A draw spends all of the
// credit on one random trial: on average we send what it earned, however many dispatchers do the same.
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
	admitted := d.rng.Float64()*float64(j.expectedRun)*j.Slots < w.coldCredit
	w.coldCredit = 0
	return admitted
}

// resolveDraw pushes j to the worker of the pair that has room and should end it sooner, or backs off.
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
			r.FreeSlots += j.SavedSlots // work that the holder need not repeat counts as room
		}
		if !fits {
			w.noRoomUntil, w.noRoomSlots = d.now+d.scaleSpan(noRoomSpan), j.Slots
		}
		wait := Time(slow * queue)
		end := wait + Time(slow*float64(j.expectedRun))
		// A job that can't end in time any more may take a free slot, but must not make others queue.
		fits = fits && (d.now+wait <= d.latestStart(j, slow) || wait == 0 && d.now > d.latestStart(j, 1))
		if fits && (best == nil || end < bestEnd || end == bestEnd && (r.FreeSlots > bestFree ||
			r.FreeSlots == bestFree && w.inFlight < best.inFlight)) {
			best, bestWait, bestEnd, bestFree = w, wait, end, r.FreeSlots
		}
	}
	if best == nil {
		d.noRoomShare += slowLearnRate * (1 - d.noRoomShare)
		if d.slotValue(j) >= d.price && (j.answered[0] || j.answered[1]) { // a lost probe is no sign of full slots
			d.price *= 1 + (priceRise-1)*d.noRoomShare*d.noRoomShare
		}
		d.backOff(j)
		return
	}
	d.noRoomShare -= slowLearnRate * d.noRoomShare
	d.push(j, best, bestWait)
}

// admitByPrice throttles the jobs of least value for their work while a job that is worth the price of a slot
// finds none (see resolveDraw): else cheap jobs take each slot that frees up. Starts in time lower the price.
func (d *Dispatcher) admitByPrice(j *job) bool {
	ratio := d.slotValue(j) / d.price
	return d.settings.Unpriced || ratio >= 1 || d.rng.Float64() < ratio*ratio
}

// slotValue is what a job earns per second of a slot.
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

// slowness estimates from a probe's round trip how many times slower than usual w is, even with free slots.
func (d *Dispatcher) slowness(w *worker, rtt Time) float64 {
	baseline := max(d.medianRTT[w.Zone], float64(d.settings.RTTNoise))
	if baseline <= 0 || float64(rtt) < slowFactor*baseline {
		return 1 // jitter
	}
	return float64(rtt) / baseline
}

// latestStart is the last time at which j may start on a worker that much slower than usual and end in time.
func (d *Dispatcher) latestStart(j *job, slow float64) Time {
	slack := (j.class.Stretch - slow) * float64(j.expectedRun)
	if j.Hint <= 0 {
		slack = min(slack, slack*shortRunShare)
	}
	return j.aimAt + Time(slack)
}

// estimateRoom subtracts our pushes that the report can't show yet. It returns the corrected load, how long
// j would queue, and whether j fits. A job without room waits here, not in a queue that we can't see. If the
// queue is reported and no job is wider than a slot, a short one keeps slots busy until the next probe.
func (d *Dispatcher) estimateRoom(j *job, w *worker, r Report) (load Report, queue float64, fits bool) {
	// More jobs than taken slots: one that is too wide blocks the rest. Beside a job, noise must not add room.
	if capacity := d.capacityOf(w); r.Has&HasInFlight != 0 && r.InFlight == 0 {
		r.FreeSlots = max(r.FreeSlots, w.capacity)
	} else if capacity > 0 && r.InFlight > capacity-r.FreeSlots+slotNoise {
		r.FreeSlots = 0
	} else if capacity > 0 && r.Has&HasInFlight != 0 {
		r.FreeSlots = min(r.FreeSlots, capacity-max(1, r.InFlight))
	}
	kept, reported, queueKnown := w.claims[:0], r.FreeSlots, d.widestJob <= 1 && r.Has&HasQueue != 0
	for _, c := range w.claims {
		if (c.slots > 0 || queueKnown) && d.now-c.at < min(2*d.refresh, max(reportLag, d.refresh)) {
			kept = append(kept, c)
			r.FreeSlots -= c.slots
			r.FreeMemory -= c.memory
		}
	}
	w.claims = kept
	if d.settings.Nodes == 1 { // all jobs there are ours, and the report shows some of them already
		r.FreeSlots = max(r.FreeSlots, min(reported, w.capacity-w.heldSlots))
	}
	need, tolerance := j.Slots, 0.5
	if queueKnown {
		r.FreeSlots -= r.Queue
		tolerance = max(tolerance, queueShare*d.capacityOf(w))
	}
	switch {
	case r.Has&HasFreeSlots != 0:
		queue = d.meanRun * max(0, 0.5-r.FreeSlots) / max(1, d.capacityOf(w))
		return r, queue, r.FreeSlots > need-tolerance && (r.Has&HasFreeMemory == 0 || r.FreeMemory >= j.Memory)
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

// push pushes j to w, where it is expected to queue for the time wait.
func (d *Dispatcher) push(j *job, w *worker, wait Time) {
	if len(j.attempts) >= d.settings.MaxAttempts {
		d.backOff(j)
		return
	}
	j.drawing = false
	n := len(j.attempts)
	j.attempts = append(j.attempts,
		attempt{w: w, sent: d.now, startedAt: d.now, inFlight: true, mayHaveRun: true})
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

// backOff draws a fresh pair for a job without room after a jittered backoff, or sheds the job if it is late.
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

// giveUp gives the final answer at once. A refusal promises that a retry is harmless, and says when to retry.
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

// closeJob ends a job and cancels its attempts in flight. Its entry stays until all of them have ended.
func (d *Dispatcher) closeJob(j *job) {
	j.closed, j.drawing = true, false
	d.cancelOthers(j, -1, false)
	d.forgetJob(j)
}

func (d *Dispatcher) cancelOthers(j *job, except int, onlyWaiting bool) {
	for i := range j.attempts {
		if a := &j.attempts[i]; i != except && a.inFlight && d.settings.CanCancel && !(onlyWaiting && a.started) {
			d.actions.Cancel(j.ID, i)
		}
	}
}

// afterAttempt decides what follows an attempt that was not served.
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

// learnOutcome updates the worker's record and the mean running times by the end of an attempt.
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
	case Reset: // connections to healthy workers break, too; a lost worker answers no probe
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

// learnProbe ejects a worker after two lost probes in a row; the second is sent at once. A refusal means that
// the worker drains or is gone, before the list shows it: no cause is shared, so eject's limit is skipped.
func (d *Dispatcher) learnProbe(w *worker, s Status, rtt Time) {
	if s == Error || s == ConnectFailed && rtt < probeTimeout {
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

// checkWorker probes w on behalf of attempt n of j, which has not started, or of all our attempts there.
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

// afterCheck handles the result of a check of an attempt that has not started. A worker with room for it and
// next to nothing in flight does not make it wait: the connection is dead, or the job was lost.
func (d *Dispatcher) afterCheck(j *job, n int, s Status, r Report) {
	a := &j.attempts[n]
	if !a.inFlight || a.started {
		return
	}
	const needed = HasFreeSlots | HasInFlight
	wait := checkInterval
	if s != Served || r.Has&needed != needed || r.FreeSlots <= j.Slots-0.5 || r.InFlight > blockedInFlight {
		a.failedChecks, wait = 0, 5*checkInterval
	} else if a.failedChecks++; a.failedChecks >= lossesToEject {
		a.clearOverdue()
		d.ejectForClass(a.w, j.Job.Class)
		d.cancelForRetry(j, n)
		return
	}
	d.actions.Wake(wait, wakeCheck|uint64(n)<<32|uint64(j.ID))
}

// cancelForRetry cancels an attempt that is taken as lost, if its job may and can still go elsewhere.
func (d *Dispatcher) cancelForRetry(j *job, n int) {
	if j.attempts[n].inFlight && !j.closed && d.settings.CanCancel && j.class.Effect != Unsafe &&
		len(j.attempts) < d.settings.MaxAttempts {
		d.actions.Cancel(j.ID, n)
	}
}

// ejectForClass keeps a class off a worker that did not start a job of it: some workers fail one class only.
func (d *Dispatcher) ejectForClass(w *worker, class int) {
	s := &w.classEjections[class]
	s.until = d.now + min(ejectMin<<min(2*s.strikes, 8), ejectMax)
	s.strikes++
}

// eject keeps a worker out of draws for a growing, jittered term. When many look bad at once, a shared cause
// is more likely (the network, a common dependency), and ejections would only overload the rest.
func (d *Dispatcher) eject(w *worker) {
	if w.ejectedUntil > d.now {
		return
	}
	ejected := 0
	for _, v := range d.ready {
		if v.ejectedUntil > d.now {
			ejected++
		}
	}
	if float64(ejected+1) > ejectMaxShare*float64(len(d.ready)) {
		return
	}
	w.ejectedUntil = d.now + d.jitter(min(ejectMin<<min(w.ejectionLevel, 8), ejectMax))
	w.ejectionLevel++
	if d.settings.CanMessagePeers && (w.complaints < 2 || d.now-w.complaintAt > complaintWindow) {
		d.actions.SendPeer(PeerAll, binary.BigEndian.AppendUint64(d.messageBuffer[:0], uint64(w.ID)))
	}
}

// addComplaint records a peer's complaint about a worker. A single one may be chance; two eject the worker.
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

// markStarted records the start of an attempt: no further copy is made, and waiting copies are cancelled.
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

// startOverdue handles a start that was not reported in time. Whatever the cause, the worker gets no more
// jobs while ours waits there, and a job that may be repeated is hedged on another worker.
func (d *Dispatcher) startOverdue(j *job, n int) {
	if n >= len(j.attempts) || !j.attempts[n].inFlight || j.attempts[n].started {
		return
	}
	a := &j.attempts[n]
	a.overdue = true
	a.w.overdueStarts++
	if j.class.Effect != Unsafe && d.settings.SecondCopies && !j.drawing && d.refresh < hedgeMaxRefresh {
		d.drawPair(j) // mayRepeat keeps the copy inside its key's scope
	}
	d.actions.Wake(checkInterval, wakeCheck|uint64(n)<<32|uint64(j.ID))
}

// learnRefresh estimates the mean time for which a report stays the same: the intervals of probes in quick
// succession between which our own jobs there changed (a new report must differ), over the new reports found.
func (d *Dispatcher) learnRefresh(w *worker, r Report) {
	gap, differs := d.now-w.lastReportAt, w.inFlight != w.lastReportInFlight
	if gap > 0 && gap <= reportLag && differs && r.FreeSlots+r.InFlight > 0 {
		d.observedSpan += float64(gap)
		if r != w.lastReport {
			d.reportChanges++
		}
		if d.observedSpan > 40*float64(reportLag) { // old samples fade
			d.observedSpan, d.reportChanges = d.observedSpan/2, d.reportChanges/2
		}
		d.refresh = min(Time(d.observedSpan/d.reportChanges), maxRefresh)
	}
	w.lastReport, w.lastReportAt, w.lastReportInFlight = r, d.now, w.inFlight
	d.learnCapacity(w, r)
}
