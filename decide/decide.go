// The decisions. Interface: api.go; what is remembered: state.go; the reasons at length: docs/DESIGN.md.

package decide

import "encoding/binary"

// The settings of the decisions, each with its reason.
const (
	ms Time = 1000

	holderWait   = 15 * ms    // for the holder of a job alone, before another is asked as well
	probeWait    = 60 * ms    // both answers or this: longer than any round trip inside one operator's network
	backoffMin   = 15 * ms    // a first no is often the bad luck of one pair
	backoffMax   = 120 * ms   // by then the fleet is busy, and asking more often only costs it work
	reportLag    = 250 * ms   // a report may not show a push younger than this, unless they prove fresher
	tightSpan    = 150 * ms   // a full worker frees a slot in some hundreds of ms, and asking costs it work
	sizeNoise    = 0.75       // a worker's size is known from noisy reports
	lookSpan     = 110 * ms   // the first look is 210 ms after the push, when no report is older
	blockedBy    = 2.5        // a job waits beside free slots only behind a wide one that waits for a third
	brokenFrom   = 3          // attempts broken in a row: the worker breaks them
	lostFrom     = 2          // one look may come at a bad moment
	startSoon    = 100 * ms   // a job not started by then met a slot that was not free
	denyFirst    = 2000 * ms  // a drain lasts for seconds; a worker that is asked too much just now is soon back
	ejectFirst   = 4000 * ms  // the first term: a stumble is often over by then
	ejectMax     = 20000 * ms // long enough to be rid of it, short enough to notice its return
	ejectShare   = 0.4        // more suspects than this share have a common cause: eject nobody further
	drawTries    = 24         // random picks before the whole list is searched
	coldShare    = 1.6        // a cold worker gets this part of a warm one's load, times its sure warmth
	coldJob      = 0.25       // no single job may take more than this part of a cold worker's fall budget
	learnRate    = 0.1        // weight of the newest in a running mean
	priceUp      = 1.2        // a few draws without room in a row must tell
	priceDown    = 0.95       // each start in time shows that slots are to be had
	priceFade    = 0.9        // a second: a price that lets nothing through would never learn better
	nearPerPrice = 1.5        // near draws only, for this part of the slack times the price of crossing
	shareBurst   = 8          // seconds of a tenant's share may come at once: a node sees few jobs, unevenly
	lagFresh     = 300 * ms   // by older reports a second copy meets a taken slot as often as the first
	lagMost      = 1000 * ms  // a report older than that says nothing, and claims must not outlive it
	usualRun     = 100 * ms   // the spans above suit jobs that run at least as long
	hearsaySpan  = 10000 * ms // two peers' complaints of a worker within this span are believed
	slowFrom     = 2          // probes vary by less than this while all is well
	comeBack     = 2000 * ms  // a refused job met a fleet that stayed full for all of its slack
	busyRate     = 0.02       // a node draws tens of times a second when it is busy
	shortRun     = 0.3        // of the mean: about every third run is that short
	queueShare   = 0.3        // of its slots: a queue that keeps a worker at work until the next push
	failsFew     = 0.15       // of the jobs that a worker was sent: one failure happens, two tell
)

// Announce takes in news of the worker list.
func (d *Dispatcher) Announce(now Time, kind ListKind, list []Worker) {
	d.tick(now)
	if kind == ListFailed {
		d.watched = false
		d.asks++
		d.askLater()
		return
	}
	d.takeList(kind, list)
	if kind == ListCached && d.s.MustAsk {
		d.askLater()
	} else {
		d.watched, d.asks = d.s.MustAsk, 0
	}
}

// askLater asks for the list soon. Its capacity is small, so calls are spread out and back off; but never
// so far that our silence would count as having been told of a drain.
func (d *Dispatcher) askLater() {
	if d.s.MustAsk {
		span := min(d.s.AskWithin/16<<min(d.asks, 2), d.s.AskWithin/4)
		d.act.Wake(span/4+d.rng.Int64N(span+1), wakeAsk)
	}
}

// ask calls for the watch unless we have it or a call is under way. Each call also sets the next look: an
// ask skipped for a call that then fails unseen once left a node without a watch, deaf to drains.
func (d *Dispatcher) ask() {
	if d.watched || (d.askedAt > 0 && d.now-d.askedAt < d.s.AskWithin/64) {
		return
	}
	d.askedAt = d.now
	d.act.Watch(true)
	d.act.Wake(d.s.AskWithin/3, wakeAsk)
}

// Arrive takes a job.
func (d *Dispatcher) Arrive(now Time, in Job) {
	d.tick(now)
	if d.jobs[in.ID] != nil {
		return
	}
	d.widest = max(d.widest, in.Slots)
	if in.Class < 0 || in.Class >= len(d.s.Classes) || in.GiveUpAt <= now+2*d.s.Tick {
		d.act.Refuse(in.ID, min(comeBack, d.s.MaxRetryAfter))
		return
	}
	j := d.newJob(in)
	d.appraise(j)
	d.act.Wake(in.GiveUpAt-2*d.s.Tick-now, wakeGiveUp|uint64(in.ID))
	d.drawPair(j)
}

// appraise sets what we expect of a job: its running time, and how late a push still makes sense.
func (d *Dispatcher) appraise(j *job) {
	j.work = Time(d.runs[j.Job.Class])
	if j.Hint > 0 {
		j.work = j.Hint
	}
	// The client has been waiting since its first try; what is left of its patience tells since when.
	d.share = max(d.share, min(1, float64(j.GiveUpAt-d.now)/float64(j.class.Deadline)))
	origin := min(d.now, j.GiveUpAt-Time(d.share*float64(j.class.Deadline)))
	j.aimAt = origin + j.class.Aim
	j.latest = min(d.startBy(j, 1), j.GiveUpAt-j.work)
	j.nearUntil = d.now + Time(min(1, nearPerPrice*d.s.CrossZoneCost)*float64(j.latest-d.now))
	j.over = !d.withinShare(j.Tenant)
	if v := d.value(j); d.cheapest == 0 || v < d.cheapest {
		d.cheapest = v
	}
}

// withinShare takes a request from the part of its tenant's share that falls to this node.
func (d *Dispatcher) withinShare(t int) bool {
	if t < 0 || t >= len(d.s.Tenants) {
		return true
	}
	rate := d.s.Tenants[t].Allowance / float64(d.s.Nodes) / 1e6
	d.tokens[t] = min(d.tokens[t]+rate*float64(d.now-d.tokenAt[t]), shareBurst*(1+rate*1e6))
	d.tokenAt[t] = d.now
	within := d.tokens[t] >= 1
	if within {
		d.tokens[t]--
	}
	return within
}

// drawPair is the mechanism: two distinct ready workers at random, both probed. Where one is the holder and
// may be so good that the other's answer can't matter, it is asked first.
func (d *Dispatcher) drawPair(j *job) {
	j.draw++
	j.drawing = true
	j.pair, j.answered = [2]*worker{}, [2]bool{}
	if d.affords(j) {
		j.pair[0] = d.holder(j)
		if j.pair[0] == nil {
			j.pair[0] = d.pick(j, nil)
		}
	}
	if j.pair[0] != nil {
		j.pair[1] = d.pick(j, j.pair[0])
	}
	if j.pair[0] == nil {
		d.hold(j)
		return
	}
	if !d.s.CanProbe {
		j.answered, j.load = [2]bool{true, true}, [2]Report{}
		d.settle(j)
		return
	}
	d.probe(j, j.pair[0])
	j.unasked = j.EnoughSlots > 0 && j.pair[0].ID == j.Holder && j.pair[1] != nil
	if j.unasked {
		d.act.Wake(holderWait, wakeProbes|uint64(j.draw)<<32|uint64(j.ID))
		return
	}
	d.probeSecond(j)
}

// probeSecond asks the second of the pair and gives both the time to answer.
func (d *Dispatcher) probeSecond(j *job) {
	j.unasked = false
	d.probe(j, j.pair[1])
	d.act.Wake(probeWait, wakeProbes|uint64(j.draw)<<32|uint64(j.ID))
}

// enough tells whether the holder has answered and an answer of the other one would not matter.
func (d *Dispatcher) enough(j *job) bool {
	w := j.pair[0]
	if w == nil || !j.answered[0] || !d.usable(j, w) || d.slowness(w, j.echo[0]) > 1 {
		return false
	}
	r, _, fits := d.room(j, w, j.load[0])
	return fits && r.FreeSlots+j.SavedSlots >= j.EnoughSlots
}

// pick draws one worker for j. Crossing zones costs time and money, so draws stay near at first: once at
// least, and for a part of the slack that grows with the price of crossing.
func (d *Dispatcher) pick(j *job, other *worker) *worker {
	pool := d.ready
	if near := d.near[j.zone]; (j.misses == 0 || d.now < j.nearUntil) && len(near) > 1 {
		pool = near
	}
	for i := 0; i < drawTries && len(pool) > 0; i++ {
		if w := pool[d.rng.IntN(len(pool))]; w != other && d.usable(j, w) && !d.tight(j, w) && d.admit(j, w) {
			return w
		}
	}
	d.scratch = d.scratch[:0]
	for _, w := range d.ready {
		if w != other && d.warmth(w) >= 1 && d.usable(j, w) && !d.tight(j, w) {
			d.scratch = append(d.scratch, w)
		}
	}
	if len(d.scratch) == 0 {
		return nil
	}
	return d.scratch[d.rng.IntN(len(d.scratch))]
}

// holder is the worker that is believed to hold what j would need anew elsewhere. It joins the first draw in
// the place of one random worker; a second draw means that it was full, and goes by chance alone.
func (d *Dispatcher) holder(j *job) *worker {
	w := d.workers[j.Holder]
	if j.Holder == 0 || j.misses > 0 || w == nil || !d.usable(j, w) || d.tight(j, w) || !d.admit(j, w) {
		return nil
	}
	return w
}

// usable tells whether j may go to w at all. One that was ejected is tried with jobs that may be repeated, if
// there are such, until it serves some: an unsafe job would be lost on it. One that only fails now and then
// is better than none to a job that found no room elsewhere and has attempts to spare.
func (d *Dispatcher) usable(j *job, w *worker) bool {
	again := j.class.Effect != Unsafe
	spare := w.fails > failsFew && w.lost == 0 && again && j.misses > 0 && len(j.attempts) < d.s.MaxAttempts-1
	return w.State == Ready && (w.badUntil <= d.now || spare) && w.fullUntil <= d.now && w.late == 0 &&
		(w.level == 0 && w.fails < failsFew || again || !d.canTry) && w.shuns[j.Job.Class].until <= d.now &&
		(j.class.Kind < 0 || j.class.Kind == w.Kind) && d.mayRepeat(j, w)
}

// tight tells whether asking w for room for j would waste its work and the price of a probe: it was seen too
// full a moment ago, or our own jobs there leave too little.
func (d *Dispatcher) tight(j *job, w *worker) bool {
	full := d.now < w.tightUntil && j.Slots >= w.tightFor
	return full || w.size > 0 && w.held+j.Slots > w.size+sizeNoise
}

// mayRepeat keeps the effect rule: what may have run goes again only where a repeat does no harm.
func (d *Dispatcher) mayRepeat(j *job, w *worker) bool {
	for i := range j.attempts {
		a := &j.attempts[i]
		if !a.mayHaveRun {
			continue
		}
		if a.out && (!d.s.SecondCopies || a.w == w) {
			return false
		}
		switch {
		case j.class.Effect == Unsafe:
			return false
		case j.class.Effect == Keyed:
			same := j.class.Scope == ScopeAll || j.class.Scope == ScopeZone && w.Zone == a.w.Zone ||
				j.class.Scope == ScopeCell && w.Cell == a.w.Cell && w.Zone == a.w.Zone
			if !same || d.now-a.sent >= j.class.MemorySpan-startSoon {
				return false
			}
		}
	}
	return true
}

// warmth is the part of its capacity that w is sure to have by now.
func (d *Dispatcher) warmth(w *worker) float64 {
	age := d.now - w.StartedAt
	if w.StartedAt <= 0 || age >= d.s.ColdSpan {
		return 1
	}
	return d.s.ColdFrom + (1-d.s.ColdFrom)*max(0, float64(age))/float64(d.s.ColdSpan)
}

// admit lets a cold worker into a draw as often as keeps it standing. Idle, it would win every pair. So it
// saves up credit at the rate that we send work to a warm one, times its warmth, and each draw that meets it
// stakes all on one throw: on average we send what was saved, however many nodes do the same.
func (d *Dispatcher) admit(j *job, w *worker) bool {
	warmth := d.warmth(w)
	if warmth >= 1 {
		return true
	}
	w.credit += coldShare * warmth * d.bear[d.far(w)] / 1e6 * float64(d.now-w.creditAt)
	w.creditAt = d.now
	budget := d.s.OverloadMultiple * warmth * d.carries(w) * float64(d.s.OverloadSpan)
	if float64(j.work)*j.Slots > coldJob*budget {
		return false
	}
	won := d.rng.Float64()*float64(j.work)*j.Slots < w.credit
	w.credit = 0
	return won
}

// settle pushes to the lighter of the pair that has room, where the job should end sooner, or holds the job.
func (d *Dispatcher) settle(j *job) {
	var best *worker
	var bestWait, bestEnd Time
	var bestFree float64
	for i, w := range j.pair {
		if w == nil || !j.answered[i] || !d.usable(j, w) {
			continue
		}
		slow := d.slowness(w, j.echo[i])
		r, queue, fits := d.room(j, w, j.load[i])
		if w.ID == j.Holder {
			r.FreeSlots += j.SavedSlots // what it need not do again counts as room
		}
		if !fits {
			w.tightUntil, w.tightFor = d.now+d.brief(tightSpan), j.Slots
		}
		wait := Time(slow * queue)
		end := wait + Time(slow*float64(j.work))
		// What is too late already must keep nobody waiting.
		fits = fits && (d.now+wait <= d.startBy(j, slow) || wait == 0 && d.now > d.startBy(j, 1))
		if fits && (best == nil || end < bestEnd || end == bestEnd && (r.FreeSlots > bestFree ||
			r.FreeSlots == bestFree && w.out < best.out)) {
			best, bestWait, bestEnd, bestFree = w, wait, end, r.FreeSlots
		}
	}
	if best == nil {
		d.busy += busyRate * (1 - d.busy)
		if d.value(j) >= d.price && (j.answered[0] || j.answered[1]) { // silence says nothing of slots
			d.price *= 1 + (priceUp-1)*d.busy*d.busy
		}
		d.hold(j)
		return
	}
	d.busy -= busyRate * d.busy
	d.push(j, best, bestWait)
}

// affords throttles the jobs that are worth least for their work while a job worth the price of a slot finds
// none (settle): else the cheap ones take each slot as it comes free. Starts in time lower the price.
func (d *Dispatcher) affords(j *job) bool {
	part := d.value(j) / d.price
	return d.s.Unpriced || part >= 1 || d.rng.Float64() < part*part
}

// value is what a job earns for a second of a slot.
func (d *Dispatcher) value(j *job) float64 {
	worth := j.class.Worth
	if j.over {
		worth *= d.s.OverShareWorth
	}
	if !d.s.WorthByWork {
		worth /= float64(max(j.work, ms)) / 1e6
	}
	return worth / j.Slots
}

// slowness tells from the time a probe took how many times slower than usual w is, whatever slots it shows.
func (d *Dispatcher) slowness(w *worker, echo Time) float64 {
	usual := max(d.usual[w.Zone], float64(d.s.RTTNoise))
	if usual <= 0 || float64(echo) < slowFrom*usual {
		return 1 // jitter
	}
	return float64(echo) / usual
}

// startBy is the last moment at which j may start and end in time on a worker that much slower than usual.
func (d *Dispatcher) startBy(j *job, slow float64) Time {
	spare := (j.class.Stretch - slow) * float64(j.work)
	if j.Hint <= 0 {
		spare = min(spare, spare*shortRun)
	}
	return j.aimAt + Time(spare)
}

// room takes our own pushes that the report can't show yet off what it shows. It tells how long j would queue
// and whether it fits. A worker's own queue is blind, so a job without room waits here. Where it is told and
// no job is wider than a slot, a short one keeps slots from idling till the next look.
func (d *Dispatcher) room(j *job, w *worker, r Report) (load Report, queue float64, fits bool) {
	// More jobs than slots taken: one too wide blocks the rest. Nor does noise make room for one beside another.
	if size := d.sizeOf(w); r.Has&HasInFlight != 0 && r.InFlight == 0 {
		r.FreeSlots = max(r.FreeSlots, w.size)
	} else if size > 0 && r.InFlight > size-r.FreeSlots+sizeNoise {
		r.FreeSlots = 0
	} else if size > 0 && r.Has&HasInFlight != 0 {
		r.FreeSlots = min(r.FreeSlots, size-max(1, r.InFlight))
	}
	keep, shown, queues := w.recent[:0], r.FreeSlots, d.widest <= 1 && r.Has&HasQueue != 0
	for _, c := range w.recent {
		if (c.slots > 0 || queues) && d.now-c.at < min(2*d.lag, max(reportLag, d.lag)) {
			keep = append(keep, c)
			r.FreeSlots -= c.slots
			r.FreeMemory -= c.memory
		}
	}
	w.recent = keep
	if d.s.Nodes == 1 { // all that it holds is ours, and some of that the report shows already
		r.FreeSlots = max(r.FreeSlots, min(shown, w.size-w.held))
	}
	need, ahead := j.Slots, 0.5
	if queues {
		r.FreeSlots -= r.Queue
		ahead = max(ahead, queueShare*d.sizeOf(w))
	}
	switch {
	case r.Has&HasFreeSlots != 0:
		queue = d.run * max(0, 0.5-r.FreeSlots) / max(1, d.sizeOf(w))
		return r, queue, r.FreeSlots > need-ahead && (r.Has&HasFreeMemory == 0 || r.FreeMemory >= j.Memory)
	case r.Has&HasQueue != 0:
		r.FreeSlots = -r.Queue
		return r, 0, r.Queue < 1
	case r.Has&HasInFlight != 0:
		r.FreeSlots = -r.InFlight
	default:
		r.FreeSlots = -float64(w.out)
	}
	return r, 0, r.Has&HasUtil == 0 || r.Util < 0.97
}

// push sends j to w, where it is expected to wait that long in the queue.
func (d *Dispatcher) push(j *job, w *worker, wait Time) {
	if len(j.attempts) >= d.s.MaxAttempts {
		d.hold(j)
		return
	}
	j.drawing = false
	n := len(j.attempts)
	j.attempts = append(j.attempts, attempt{w: w, sent: d.now, startedAt: d.now, out: true, mayHaveRun: true})
	j.out++
	w.out++
	w.held += j.Slots
	w.recent = append(w.recent, claim{d.now, j.ID, n, j.Slots, j.Memory})
	d.pushed[d.far(w)] += float64(j.work) * j.Slots
	d.act.Push(j.ID, w.ID, j.GiveUpAt-d.now)
	if d.s.TellsStart {
		d.act.Wake(startSoon+wait, wakeStart|uint64(n)<<32|uint64(j.ID))
	}
}

// hold keeps a job that found no room and draws a fresh pair after a jittered backoff, or sheds it if late.
func (d *Dispatcher) hold(j *job) {
	j.draw++
	j.misses++
	wait := d.jitter(d.brief(min(backoffMin<<min(j.misses/2, 10), backoffMax)))
	if len(j.attempts) >= d.s.MaxAttempts || d.now+wait > j.latest {
		j.drawing = false
		if j.out == 0 {
			d.giveUp(j)
		}
		return
	}
	j.drawing = true
	d.act.Wake(wait, wakeRedraw|uint64(j.draw)<<32|uint64(j.ID))
}

// brief shortens a span where jobs are short: a full worker frees a slot as soon as one of them ends.
func (d *Dispatcher) brief(span Time) Time {
	return max(min(span, Time(float64(span)*d.run/float64(usualRun))), d.s.Tick)
}

// giveUp gives the final answer, at once. A refusal promises that nothing ran, and says when to come back.
func (d *Dispatcher) giveUp(j *job) {
	refuse, safe := true, j.class.Effect == Safe || j.class.Effect == Keyed && j.class.Scope == ScopeAll
	for _, a := range j.attempts {
		refuse = refuse && (safe || !a.mayHaveRun)
	}
	if refuse {
		d.act.Refuse(j.ID, min(comeBack, d.s.MaxRetryAfter))
	} else {
		d.act.Fail(j.ID)
	}
	d.close(j)
}

// close ends a job and calls off what is still out; the entry stays until every attempt has ended.
func (d *Dispatcher) close(j *job) {
	j.closed, j.drawing = true, false
	d.cancelOthers(j, -1, false)
	d.forget(j)
}

func (d *Dispatcher) cancelOthers(j *job, but int, waitingOnly bool) {
	for i := range j.attempts {
		if a := &j.attempts[i]; i != but && a.out && d.s.CanCancel && !(waitingOnly && a.started) {
			d.act.Cancel(j.ID, i)
		}
	}
}

// next decides what follows an attempt that came to nothing.
func (d *Dispatcher) next(j *job, a *attempt, s Status) {
	switch {
	case j.out > 0 || j.drawing:
		return
	case s == TimedOut || a.mayHaveRun && j.class.Effect == Unsafe:
		d.giveUp(j)
	default:
		d.hold(j)
	}
}

// judge learns from how an attempt ended.
func (d *Dispatcher) judge(j *job, a *attempt, s Status) {
	switch s {
	case Served:
		a.w.level /= 2
		a.w.fails *= 1 - learnRate
		a.w.broken, a.w.shuns[j.Job.Class].strikes = 0, 0
		run := float64(d.now - a.startedAt)
		d.runs[j.Job.Class] += learnRate * (run - d.runs[j.Job.Class])
		d.run += busyRate * (run - d.run)
	case TimedOut:
		if !a.started {
			d.shun(a.w, j.Job.Class)
		}
	case Full:
		a.w.fullUntil = d.now + d.brief(reportLag)
	case Reset: // connections break on sound workers too, and those that are gone answer no probe
		if a.w.broken++; a.w.broken >= brokenFrom {
			d.eject(a.w)
		}
	case Error:
		a.w.fails += learnRate * (1 - a.w.fails)
		d.eject(a.w)
	case ConnectFailed:
		d.eject(a.w)
	}
}

// judgeProbe suspects a worker if two probes in a row were lost; the second is asked for at once. One that
// refuses a probe tells that it drains or is gone, sooner than the list does: there no cause is shared.
func (d *Dispatcher) judgeProbe(w *worker, s Status, echo Time) {
	if s == Error || s == ConnectFailed && echo < probeWait {
		w.fullUntil = d.now + d.jitter(min(denyFirst<<min(2*w.denied, 8), ejectMax))
		w.denied++
		return
	}
	if s != TimedOut && s != ConnectFailed && s != Reset {
		w.lost, w.denied = 0, 0
		return
	}
	if w.lost++; w.lost < lostFrom {
		d.look(w, nil, 0)
		return
	}
	d.eject(w)
	for _, j := range d.on(w) {
		for n := range j.attempts {
			if j.attempts[n].w == w {
				d.abandon(j, n)
			}
		}
	}
}

// look probes w for the sake of what we have there: of attempt n of j, which has not started, or of all.
func (d *Dispatcher) look(w *worker, j *job, n int) {
	p := probe{at: d.now}
	if j != nil {
		p.job, p.look = j.ID, n+1
	}
	if d.s.CanProbe {
		w.probes = append(w.probes, p)
		d.act.Probe(w.ID)
	}
}

// afterLook takes in what a look at an attempt that has not started shows. A worker with room for it that
// holds next to nothing does not make it wait: the connection has fallen silent, or the job was lost.
func (d *Dispatcher) afterLook(j *job, n int, s Status, r Report) {
	a := &j.attempts[n]
	if !a.out || a.started {
		return
	}
	const has = HasFreeSlots | HasInFlight
	wait := lookSpan
	if s != Served || r.Has&has != has || r.FreeSlots <= j.Slots-0.5 || r.InFlight > blockedBy {
		a.looks, wait = 0, 5*lookSpan
	} else if a.looks++; a.looks >= lostFrom {
		a.onTime()
		d.shun(a.w, j.Job.Class)
		d.abandon(j, n)
		return
	}
	d.act.Wake(wait, wakeLook|uint64(n)<<32|uint64(j.ID))
}

// abandon calls off an attempt that nothing more is expected of, if its job may and can still go elsewhere.
func (d *Dispatcher) abandon(j *job, n int) {
	if j.attempts[n].out && !j.closed && d.s.CanCancel && j.class.Effect != Unsafe &&
		len(j.attempts) < d.s.MaxAttempts {
		d.act.Cancel(j.ID, n)
	}
}

// shun keeps a class off a worker that did not even start a job of it: some serve the others as ever.
func (d *Dispatcher) shun(w *worker, class int) {
	s := &w.shuns[class]
	s.until = d.now + min(ejectFirst<<min(2*s.strikes, 8), ejectMax)
	s.strikes++
}

// eject keeps a worker out of draws for a growing, jittered term. When many look bad at once the cause is
// likelier shared (the network, a common dependency) and ejecting would only crowd the rest.
func (d *Dispatcher) eject(w *worker) {
	if w.badUntil > d.now {
		return
	}
	bad := 0
	for _, v := range d.ready {
		if v.badUntil > d.now {
			bad++
		}
	}
	if float64(bad+1) > ejectShare*float64(len(d.ready)) {
		return
	}
	w.badUntil = d.now + d.jitter(min(ejectFirst<<min(w.level, 8), ejectMax))
	w.level++
	if d.s.CanMessagePeers && (w.heard < 2 || d.now-w.heardAt > hearsaySpan) {
		d.act.SendPeer(PeerAll, binary.BigEndian.AppendUint64(d.message[:0], uint64(w.ID)))
	}
}

// hear takes a peer's word that a worker failed it. One peer may have had bad luck; two are believed.
func (d *Dispatcher) hear(w *worker) {
	if d.now-w.heardAt > hearsaySpan {
		w.heard = 0
	}
	w.heard++
	w.heardAt = d.now
	if w.heard >= 2 {
		d.eject(w)
	}
}

// started takes in that an attempt runs: no further copy is wanted, and those that wait are called off.
func (d *Dispatcher) started(j *job, n int) {
	a := &j.attempts[n]
	a.started, a.startedAt = true, d.now
	if !a.late {
		d.price = max(d.price*priceDown, d.cheapest/2)
	}
	a.onTime()
	if !j.closed {
		j.drawing = false
		d.cancelOthers(j, n, true)
	}
}

// overdue acts on a start note that did not come in the time expected. Whatever the cause, nothing more goes
// there while our own job waits, and a job that may be repeated tries its luck elsewhere too.
func (d *Dispatcher) overdue(j *job, n int) {
	if n >= len(j.attempts) || !j.attempts[n].out || j.attempts[n].started {
		return
	}
	a := &j.attempts[n]
	a.late = true
	a.w.late++
	if j.class.Effect != Unsafe && d.s.SecondCopies && !j.drawing && d.lag < lagFresh {
		d.drawPair(j) // mayRepeat keeps it inside its key's scope
	}
	d.act.Wake(lookSpan, wakeLook|uint64(n)<<32|uint64(j.ID))
}

// learnLag keeps how long reports stand, on the mean: looks at one worker in quick succession, by their
// span, over those that found a new report. Only where what we hold there changed must there be one.
func (d *Dispatcher) learnLag(w *worker, r Report) {
	gap, differs := d.now-w.shownAt, w.out != w.shownOut
	if gap > 0 && gap <= reportLag && differs && r.FreeSlots+r.InFlight > 0 {
		d.looked += float64(gap)
		if r != w.shown {
			d.changed++
		}
		if d.looked > 40*float64(reportLag) { // old looks fade
			d.looked, d.changed = d.looked/2, d.changed/2
		}
		d.lag = min(Time(d.looked/d.changed), lagMost)
	}
	w.shown, w.shownAt, w.shownOut = r, d.now, w.out
	d.learnSize(w, r)
}
