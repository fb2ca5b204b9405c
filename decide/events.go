package decide

import "encoding/binary"

// This file dispatches events to the jobs, attempts and workers that they concern. The decisions are in decide.go.

// The purposes of timers. The top byte of a token holds the purpose.
const (
	wakeGiveUp uint64 = iota << 56
	wakeProbes
	wakeRedraw
	wakeStartDue
	wakeWatch
	wakeCheck
)

// UpdateWorkers applies changes of worker entries that come from the caller, not from an answer of the list service. It does
// not change whether the watch counts as established.
func (d *Dispatcher) UpdateWorkers(now Time, kind ListKind, list []Worker) {
	d.advance(now)
	d.updateList(kind, list)
}

// ProbeResult handles the answer to a probe, or its failure.
func (d *Dispatcher) ProbeResult(now Time, id WorkerID, status Status, latency Time, r Report) {
	d.advance(now)
	w := d.workers[id]
	if w == nil {
		return
	}
	probe, ok := w.takeProbe(now - latency)
	if !ok {
		return
	}
	d.forgetWorker(w)
	if status == Served && latency > 0 {
		d.learnRTT(w, latency)
		d.learnRefresh(w, r)
	}
	d.learnProbe(w, status, latency)
	j := d.jobs[probe.job]
	if probe.checkedAttempt > 0 && j != nil && probe.checkedAttempt <= len(j.attempts) {
		d.afterCheck(j, probe.checkedAttempt-1, status, r)
		return
	}
	if j == nil || j.closed || !j.drawing || j.drawNumber != probe.drawNumber {
		return
	}
	for i, member := range j.pair {
		if member == w {
			j.answered[i], j.reports[i], j.rtt[i] = status == Served, r, latency
			if status != Served {
				j.pair[i] = nil // it drops out of the pair
			}
		}
	}
	switch {
	case j.secondUnprobed && !d.holderSuffices(j):
		d.probeSecond(j)
	case j.secondUnprobed, (j.pair[0] == nil || j.answered[0]) && (j.pair[1] == nil || j.answered[1]):
		d.resolveDraw(j)
	}
}

// Note handles a notification about a running attempt.
func (d *Dispatcher) Note(now Time, id uint32, n int, kind NoteKind, _ float64) {
	d.advance(now)
	j := d.jobs[id]
	if j == nil || n < 0 || n >= len(j.attempts) || kind != NoteStarted && kind != NoteProgress {
		return
	}
	if a := &j.attempts[n]; a.inFlight && !a.started {
		d.markStarted(j, n)
	}
}

// Outcome handles the end of an attempt.
func (d *Dispatcher) Outcome(now Time, o Outcome) {
	d.advance(now)
	j := d.jobs[o.Job]
	if j == nil || o.Attempt < 0 || o.Attempt >= len(j.attempts) || !j.attempts[o.Attempt].inFlight {
		return
	}
	a := &j.attempts[o.Attempt]
	a.inFlight, a.mayHaveRun = false, !o.Status.NeverRan()
	j.inFlight--
	a.w.inFlight--
	a.w.heldSlots -= j.Slots
	a.w.releaseClaim(d.now, j.ID, o.Attempt, j.Slots)
	a.clearOverdue()
	d.learnOutcome(j, a, o.Status)
	d.forgetWorker(a.w)
	switch {
	case j.closed:
		d.forgetJob(j)
	case o.Closed || o.Status == Served:
		d.closeJob(j)
	default:
		d.afterAttempt(j, a, o.Status)
	}
}

// StreamStarted records that the client began to receive an answer; no other copy of the job may follow.
func (d *Dispatcher) StreamStarted(now Time, id uint32, n int) {
	d.Note(now, id, n, NoteStarted, 0)
	if j := d.jobs[id]; j != nil && n >= 0 && n < len(j.attempts) && !j.closed {
		j.streamed, j.drawing = true, false
	}
}

// Hangup records that the client disconnected: the job is finished.
func (d *Dispatcher) Hangup(now Time, id uint32) {
	d.advance(now)
	if j := d.jobs[id]; j != nil && !j.closed {
		d.closeJob(j)
	}
}

// GiveUp gives a job its final answer at once, whatever its deadline, for example when the scheduler shuts down.
func (d *Dispatcher) GiveUp(now Time, id uint32) {
	d.advance(now)
	if j := d.jobs[id]; j != nil && !j.closed {
		d.giveUp(j)
	}
}

// PeerMessage handles a message of another dispatcher: the ID of a worker that failed its jobs. Other messages are ignored.
func (d *Dispatcher) PeerMessage(now Time, _ int, data []byte) {
	d.advance(now)
	if len(data) != 8 {
		return
	}
	if w := d.workers[WorkerID(binary.BigEndian.Uint64(data))]; w != nil {
		d.addComplaint(w)
	}
}

// JobOf returns the ID of the job that a timer's token belongs to, or 0.
func JobOf(token uint64) uint32 {
	if token>>56<<56 == wakeWatch {
		return 0
	}
	return uint32(token)
}

// Wake handles a timer. A stale timer has no effect.
func (d *Dispatcher) Wake(now Time, token uint64) {
	d.advance(now)
	if token>>56<<56 == wakeWatch {
		d.requestWatch()
		return
	}
	j := d.jobs[uint32(token)]
	if j == nil || j.closed {
		return
	}
	number := uint16(token >> 32)
	switch token >> 56 << 56 {
	case wakeGiveUp:
		if !j.streamed {
			d.giveUp(j)
		}
	case wakeProbes:
		switch {
		case !j.drawing || j.drawNumber != number:
		case j.secondUnprobed:
			d.probeSecond(j)
		default:
			d.resolveDraw(j)
		}
	case wakeRedraw:
		if j.drawing && j.drawNumber == number {
			d.drawPair(j)
		}
	case wakeStartDue:
		d.startOverdue(j, int(number))
	case wakeCheck:
		if n := int(number); n < len(j.attempts) && j.attempts[n].inFlight && !j.attempts[n].started {
			d.checkWorker(j.attempts[n].w, j, n)
		}
	}
}

// advance moves the clock on and updates the rate of work per warm worker about once a second.
func (d *Dispatcher) advance(now Time) {
	d.now = max(d.now, now)
	if d.warmRateAt == 0 {
		d.warmRateAt = d.now
	}
	if span := d.now - d.warmRateAt; span > 1000*ms {
		d.updateWarmRate(float64(span))
	}
}
