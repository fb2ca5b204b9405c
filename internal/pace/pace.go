// Package pace decides how long a peer may be slow, how much may wait for it, and whom to give up when room runs
// short. It owns the terms (least rates, grace, caps), the account of every peer and the memory of those that were
// cut off. It must never see a socket, a clock or a message: its caller tells it what came and went, and when, and
// carries out what it names. It never names a peer whose request is a job in hand, nor one that keeps its rate.
//
// The measure is one figure for each transfer: the moment until which the peer may say nothing. It starts a grace
// after the transfer, moves on with each byte by the time that a byte takes at the least rate, and is never further
// ahead than the span. So a peer that keeps its rate is never cut, however unevenly its bytes come within the span,
// and one that stops is cut a span later at the latest, whatever it did before. (Apache's mod_reqtimeout extends a
// time-out by a rate in the same way, without the span: a fast start there buys silence later.)
package pace

// Time is a moment or a span in whole microseconds, as in package decide.
type Time = int64

const second Time = 1e6

// Never is later than every moment.
const Never Time = 1<<63 - 1

// Rate is the terms of one direction.
type Rate struct {
	// Least is the least acceptable rate in bytes a second; 0: no rate is asked, and only Ceiling ends a transfer.
	Least float64
	// Grace is how long a transfer may bring nothing at its start.
	Grace Time
	// Span is how long it may bring nothing later: bytes ahead of the rate count for that much.
	Span Time
	// Ceiling is how long a transfer may take in all; 0: as long as it keeps its rate.
	Ceiling Time
}

// State is how a transfer stands.
type State uint8

// The states.
const (
	Fine State = iota
	Slow       // behind its rate, and half of what it may stay silent is used up
	Cut        // to be given up
)

func (s State) String() string { return [...]string{"fine", "slow", "cut"}[s] }

// Meter measures one transfer by a Rate. The zero Meter measures nothing.
type Meter struct {
	rate  Rate
	begun Time
	until float64 // microseconds after begun; with nothing more it is cut then
	bytes float64
}

// Begin starts a transfer.
func (m *Meter) Begin(now Time, r Rate) {
	*m = Meter{rate: r, begun: now, until: float64(r.Grace)}
}

// Stop ends it: whatever comes later, it is fine.
func (m *Meter) Stop() { *m = Meter{} }

// Running reports whether a transfer is measured.
func (m *Meter) Running() bool { return m.rate.Least > 0 || m.rate.Ceiling > 0 }

// Add takes in that n bytes have passed.
func (m *Meter) Add(now Time, n int) {
	m.bytes += float64(n)
	if m.rate.Least <= 0 || n <= 0 {
		return
	}
	ahead := float64(now-m.begun) + float64(m.rate.Span)
	m.until = max(m.until, min(m.until+float64(n)/m.rate.Least*float64(second), ahead))
}

// Extend moves the end on: for a span in which we did not look, nothing is held against the peer.
func (m *Meter) Extend(span Time) { m.begun += span }

// Deadline is when the transfer is cut if nothing more passes; never for one that is not measured.
func (m *Meter) Deadline() Time {
	end := Never
	if m.rate.Least > 0 {
		end = m.begun + Time(m.until)
	}
	if m.rate.Ceiling > 0 {
		end = min(end, m.begun+m.rate.Ceiling)
	}
	return end
}

// slowAt is when it counts as slow if nothing more passes.
func (m *Meter) slowAt() Time {
	end := m.Deadline()
	if end == Never {
		return end
	}
	return end - min(m.rate.Grace, m.rate.Span)/2
}

// State tells how the transfer stands.
func (m *Meter) State(now Time) State {
	switch {
	case !m.Running() || now < m.slowAt():
		return Fine
	case now < m.Deadline():
		return Slow
	}
	return Cut
}

// Progress is the part that has passed of what the least rate asks for by now, the first moments left out; 1 or more
// for one that keeps it.
func (m *Meter) Progress(now, lenient Time) float64 {
	asked := m.rate.Least * float64(now-m.begun-lenient) / float64(second)
	if asked <= 0 {
		return 1
	}
	return m.bytes / asked
}
