package decide

import "encoding/binary"

// The events that need no more than to find what they are about; what follows is decided in decide.go.

// Purposes of a timer, kept in the top byte of its token.
const (
	wakeGiveUp uint64 = iota << 56
	wakeProbes
	wakeRedraw
	wakeStart
	wakeAsk
	wakeLook
)

// UpdateWorkers takes in entries that the caller sees otherwise from now on, though the worker list has not answered: whether
// the watch stands is not touched.
func (d *Dispatcher) UpdateWorkers(now Time, kind ListKind, list []Worker) {
	d.tick(now)
	d.takeList(kind, list)
}

// ProbeResult takes in the answer to a probe.
func (d *Dispatcher) ProbeResult(now Time, id WorkerID, status Status, latency Time, r Report) {
	d.tick(now)
	w := d.workers[id]
	if w == nil {
		return
	}
	p, ok := w.takeProbe(now - latency)
	if !ok {
		return
	}
	d.drop(w)
	if status == Served && latency > 0 {
		d.learnEcho(w, latency)
		d.learnLag(w, r)
	}
	d.judgeProbe(w, status, latency)
	j := d.jobs[p.job]
	if p.look > 0 && j != nil && p.look <= len(j.attempts) {
		d.afterLook(j, p.look-1, status, r)
		return
	}
	if j == nil || j.closed || !j.drawing || j.draw != p.draw {
		return
	}
	for i, v := range j.pair {
		if v == w {
			j.answered[i], j.load[i], j.echo[i] = status == Served, r, latency
			if status != Served {
				j.pair[i] = nil // it loses the pair
			}
		}
	}
	switch {
	case j.unasked && !d.enough(j):
		d.probeSecond(j)
	case j.unasked, (j.pair[0] == nil || j.answered[0]) && (j.pair[1] == nil || j.answered[1]):
		d.settle(j)
	}
}

// Note takes in news of a running attempt.
func (d *Dispatcher) Note(now Time, id uint32, n int, kind NoteKind, _ float64) {
	d.tick(now)
	j := d.jobs[id]
	if j == nil || n < 0 || n >= len(j.attempts) || kind != NoteStarted && kind != NoteProgress {
		return
	}
	if a := &j.attempts[n]; a.out && !a.started {
		d.started(j, n)
	}
}

// Outcome takes in the end of an attempt.
func (d *Dispatcher) Outcome(now Time, o Outcome) {
	d.tick(now)
	j := d.jobs[o.Job]
	if j == nil || o.Attempt < 0 || o.Attempt >= len(j.attempts) || !j.attempts[o.Attempt].out {
		return
	}
	a := &j.attempts[o.Attempt]
	a.out, a.mayHaveRun = false, !o.Status.NeverRan()
	j.out--
	a.w.out--
	a.w.held -= j.Slots
	a.w.freed(d.now, j.ID, o.Attempt, j.Slots)
	a.onTime()
	d.judge(j, a, o.Status)
	d.drop(a.w)
	switch {
	case j.closed:
		d.forget(j)
	case o.Closed || o.Status == Served:
		d.close(j)
	default:
		d.next(j, a, o.Status)
	}
}

// StreamStarted takes in that the client began to receive an answer; no other copy may follow.
func (d *Dispatcher) StreamStarted(now Time, id uint32, n int) {
	d.Note(now, id, n, NoteStarted, 0)
	if j := d.jobs[id]; j != nil && n >= 0 && n < len(j.attempts) && !j.closed {
		j.streamed, j.drawing = true, false
	}
}

// Hangup takes in that the client went away: the job is over.
func (d *Dispatcher) Hangup(now Time, id uint32) {
	d.tick(now)
	if j := d.jobs[id]; j != nil && !j.closed {
		d.close(j)
	}
}

// GiveUp takes in that there is no time left for a job, whatever its client would wait: the scheduler ends.
func (d *Dispatcher) GiveUp(now Time, id uint32) {
	d.tick(now)
	if j := d.jobs[id]; j != nil && !j.closed {
		d.giveUp(j)
	}
}

// PeerMessage takes in a message of another node: the ID of a worker that failed it. Anything else is passed over.
func (d *Dispatcher) PeerMessage(now Time, _ int, data []byte) {
	d.tick(now)
	if len(data) != 8 {
		return
	}
	if w := d.workers[WorkerID(binary.BigEndian.Uint64(data))]; w != nil {
		d.hear(w)
	}
}

// JobOf is the job that a timer's token is about, or 0.
func JobOf(token uint64) uint32 {
	if token>>56<<56 == wakeAsk {
		return 0
	}
	return uint32(token)
}

// Wake takes in a timer. A stale one does nothing.
func (d *Dispatcher) Wake(now Time, token uint64) {
	d.tick(now)
	if token>>56<<56 == wakeAsk {
		d.ask()
		return
	}
	j := d.jobs[uint32(token)]
	if j == nil || j.closed {
		return
	}
	mark := uint16(token >> 32)
	switch token >> 56 << 56 {
	case wakeGiveUp:
		if !j.streamed {
			d.giveUp(j)
		}
	case wakeProbes:
		switch {
		case !j.drawing || j.draw != mark:
		case j.unasked:
			d.probeSecond(j)
		default:
			d.settle(j)
		}
	case wakeRedraw:
		if j.drawing && j.draw == mark {
			d.drawPair(j)
		}
	case wakeStart:
		d.overdue(j, int(mark))
	case wakeLook:
		if n := int(mark); n < len(j.attempts) && j.attempts[n].out && !j.attempts[n].started {
			d.look(j.attempts[n].w, j, n)
		}
	}
}

// tick moves the clock on and keeps the measure of what a warm worker gets from us.
func (d *Dispatcher) tick(now Time) {
	d.now = max(d.now, now)
	if d.bearAt == 0 {
		d.bearAt = d.now
	}
	if span := d.now - d.bearAt; span > 1000*ms {
		d.measure(float64(span))
	}
}
