// Package eventstream defines what a worker's stream of server-sent events may contain and when it is whole. Sound framing of
// the HTTP body proves neither: a worker in trouble sends other bytes within it.
//
// A stream is a series of events as in the WHATWG HTML standard, "Server-sent events", with these limits: each event has data
// and exactly one ID, a whole number above the ID of the event before; lines end with LF or CRLF; an event has at most
// MaxEventBytes. A stream is whole if it ends after an event. docs/design/STREAMS.md gives the reasons.
package eventstream

import (
	"bytes"
	"strconv"
)

// MaxEventBytes is the largest size of an event, with the empty line at its end.
const MaxEventBytes = 256 << 10

// Event is one whole event. Raw is valid until the next call of Feed.
type Event struct {
	Raw []byte // as the worker sent it, including the empty line at its end
	ID  string // a whole number
}

// Resume tells from which event on a stream was requested. The zero value stands for its beginning.
type Resume struct {
	Requested bool   // the request had a Last-Event-Id, so that the stream may have no event left
	After     string // events up to this ID are skipped, because the client has them; none if it is not a whole number
	// Relayed is true if the event After was relayed, so that it is an event of this stream, which can't end before it. It is
	// false if the client alone names it.
	Relayed bool
}

// Scanner checks a stream and splits it into events. The stream may be fed in pieces of any size.
type Scanner struct {
	buffer  []byte // bytes that were fed and may still be needed
	start   int    // offset of the current event
	line    int    // offset of the current line
	current eventFields

	mayBeEmpty bool
	after      uint64 // value of Resume.After
	hasAfter   bool
	relayed    bool // value of Resume.Relayed

	found  bool   // the stream has had an event
	lastID uint64 // its ID
	err    error
}

// NewScanner returns a scanner of a stream.
func NewScanner(resume Resume) *Scanner {
	after, err := strconv.ParseUint(resume.After, 10, 64)
	return &Scanner{mayBeEmpty: resume.Requested, after: after, hasAfter: err == nil, relayed: resume.Relayed}
}

// Feed appends the next bytes of the stream.
func (s *Scanner) Feed(data []byte) {
	if s.start > 0 {
		kept := copy(s.buffer, s.buffer[s.start:])
		s.buffer = s.buffer[:kept]
		s.line -= s.start
		s.start = 0
	}
	s.buffer = append(s.buffer, data...)
}

// Next returns the next whole event. It skips events up to Resume.After, because a worker may resume earlier than requested. It
// returns false if no event is complete or the stream is malformed, as told by Err.
func (s *Scanner) Next() (Event, bool) {
	for s.err == nil {
		length := bytes.IndexByte(s.buffer[s.line:], '\n')
		if length < 0 {
			s.checkSize(len(s.buffer))
			return Event{}, false
		}
		line := bytes.TrimSuffix(s.buffer[s.line:s.line+length], carriageReturn)
		s.line += length + 1
		if !s.checkSize(s.line) {
			return Event{}, false
		}
		if len(line) > 0 {
			s.fail(s.current.add(line), line)
			continue
		}
		if event, isNew := s.endEvent(); isNew {
			return event, true
		}
	}
	return Event{}, false
}

var carriageReturn = []byte{'\r'}

// endEvent checks the current event, which ends at the current line, and starts the next one. It returns false for an event
// that is to be skipped and for a defect.
func (s *Scanner) endEvent() (Event, bool) {
	raw, fields := s.buffer[s.start:s.line], s.current
	s.start, s.current = s.line, eventFields{}
	switch {
	case !fields.hasID:
		return Event{}, s.fail(DefectNoID, raw)
	case !fields.hasData:
		return Event{}, s.fail(DefectNoData, raw)
	case s.found && fields.number <= s.lastID:
		return Event{}, s.fail(DefectOrder, raw)
	}
	s.found, s.lastID = true, fields.number
	return Event{Raw: raw, ID: fields.id}, !s.hasAfter || fields.number > s.after
}

// checkSize reports whether the current event, up to the offset end, is within MaxEventBytes.
func (s *Scanner) checkSize(end int) bool {
	if end-s.start <= MaxEventBytes {
		return true
	}
	return s.fail(DefectTooLarge, s.buffer[s.start:end])
}

// fail records a defect, if there is one. It returns false, so that a check can return its result.
func (s *Scanner) fail(defect Defect, context []byte) bool {
	if defect != "" {
		s.err = newMalformedError(defect, context)
	}
	return false
}

// Err returns a *MalformedError if the stream is malformed, otherwise nil.
func (s *Scanner) Err() error { return s.err }

// Finish checks that a stream whose framing has ended soundly is whole, after Next has returned false. It returns a
// *MalformedError if not.
func (s *Scanner) Finish() error {
	rest := s.buffer[s.start:]
	switch {
	case s.err != nil:
	case len(rest) > 0:
		s.fail(DefectUnfinished, rest)
	case !s.found && !s.mayBeEmpty:
		s.fail(DefectEmpty, nil)
	case s.found && s.relayed && s.lastID < s.after:
		s.fail(DefectBehind, nil)
	}
	return s.err
}
