// Package pace decides how long a peer may be slow, how many bytes may be buffered for it, and which peers are evicted
// when memory or descriptors run short. It owns the limits (least rates, grace, caps), the state of every peer and the
// record of addresses that were cut. It must never use a socket, a clock or a message: its caller reports the bytes
// that pass and when, and closes the peers that it returns. It never returns a peer whose request is a job in flight,
// nor one that keeps its rate.
//
// Each transfer is measured by one value, the time until which the peer may be silent. It starts one grace after the start
// of the transfer, moves on with each byte by the time that a byte takes at the least rate, and is never further ahead
// than the span. So a peer that keeps its rate is never cut, however unevenly its bytes arrive within the span, and one that
// stops is cut one span later at the latest, whatever it did before. Apache's mod_reqtimeout extends a timeout by a
// rate in the same way but without the span, so that a fast start there allows silence later.
package pace

// Time is a point in time or a duration in whole microseconds, as in package decide.
type Time = int64

const second Time = 1e6

// Never is later than every other Time.
const Never Time = 1<<63 - 1

// Rate holds the limits of transfers in one direction.
type Rate struct {
	// Least is the least acceptable rate in bytes per second. If it is 0, no rate is required and only Ceiling ends a
	// transfer.
	Least float64
	// Grace is how long nothing may pass at the start of a transfer.
	Grace Time
	// Span is how long nothing may pass later. Bytes ahead of the rate count for at most that long.
	Span Time
	// Ceiling is the longest duration of a transfer. 0 means that there is no limit while it keeps its rate.
	Ceiling Time
}

// State describes how a transfer keeps its rate.
type State uint8

// The states of a transfer.
const (
	Fine State = iota
	Slow       // behind its rate, with half of the allowed silence used up
	Cut        // the peer is to be closed
)

func (s State) String() string { return [...]string{"fine", "slow", "cut"}[s] }

// Meter measures one transfer against a Rate. The zero Meter measures nothing.
type Meter struct {
	rate     Rate
	start    Time
	cutAfter float64 // microseconds after start; the transfer is cut then if nothing more passes
	bytes    float64
}

// Begin starts measuring a transfer.
func (m *Meter) Begin(now Time, r Rate) {
	*m = Meter{rate: r, start: now, cutAfter: float64(r.Grace)}
}

// Stop ends the measuring. A stopped Meter is never slow or cut.
func (m *Meter) Stop() { *m = Meter{} }

// Running reports whether a transfer is being measured.
func (m *Meter) Running() bool { return m.rate.Least > 0 || m.rate.Ceiling > 0 }

// Add records that n bytes have passed.
func (m *Meter) Add(now Time, n int) {
	m.bytes += float64(n)
	if m.rate.Least <= 0 || n <= 0 {
		return
	}
	latest := float64(now-m.start) + float64(m.rate.Span)
	m.cutAfter = max(m.cutAfter, min(m.cutAfter+float64(n)/m.rate.Least*float64(second), latest))
}

// Extend moves the deadline by span: a time in which the caller could not observe the transfer does not count.
func (m *Meter) Extend(span Time) { m.start += span }

// Deadline returns when the transfer is cut if nothing more passes, or Never if none is measured.
func (m *Meter) Deadline() Time {
	end := Never
	if m.rate.Least > 0 {
		end = m.start + Time(m.cutAfter)
	}
	if m.rate.Ceiling > 0 {
		end = min(end, m.start+m.rate.Ceiling)
	}
	return end
}

// slowAt returns when the transfer counts as slow if nothing more passes.
func (m *Meter) slowAt() Time {
	end := m.Deadline()
	if end == Never {
		return end
	}
	return end - min(m.rate.Grace, m.rate.Span)/2
}

// State returns the state of the transfer.
func (m *Meter) State(now Time) State {
	switch {
	case !m.Running() || now < m.slowAt():
		return Fine
	case now < m.Deadline():
		return Slow
	}
	return Cut
}

// Progress returns the bytes passed as a fraction of those that the least rate requires by now, not counting an initial
// time of grace. It is 1 or more if the transfer keeps its rate.
func (m *Meter) Progress(now, grace Time) float64 {
	required := m.rate.Least * float64(now-m.start-grace) / float64(second)
	if required <= 0 {
		return 1
	}
	return m.bytes / required
}
