package faults

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// This file holds the event log of a trial and the checks over it. A check reads nothing but the log.

// Event is one entry of the log.
type Event struct {
	At   time.Duration `json:"at"` // since the start of the log
	Who  string        `json:"who"`
	What string        `json:"what"`
	N    float64       `json:"n,omitempty"`
	Text string        `json:"text,omitempty"`
}

// Log collects the events of all processes, up to a maximum number. Its methods are safe for concurrent use.
type Log struct {
	started   time.Time
	maxEvents int

	mu      sync.Mutex
	events  []Event
	dropped int
}

// NewLog returns an empty log that starts now and keeps at most maxEvents events.
func NewLog(maxEvents int) *Log { return &Log{started: time.Now(), maxEvents: maxEvents} }

// Now returns the time since the start of the log.
func (l *Log) Now() time.Duration { return time.Since(l.started) }

// Add adds an event at the current time.
func (l *Log) Add(who, what string, n float64, text string) {
	l.AddAt(time.Now(), who, what, n, text)
}

// AddAt adds an event that was observed at the given time. A full log drops the event and counts it.
func (l *Log) AddAt(at time.Time, who, what string, n float64, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) >= l.maxEvents {
		l.dropped++
		return
	}
	l.events = append(l.events, Event{at.Sub(l.started), who, what, n, text})
}

// Events returns a copy of all events so far, sorted by time, and the number of events dropped because the log was full.
// The result of a check is not valid if events were dropped.
func (l *Log) Events() ([]Event, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.events)
	slices.SortStableFunc(out, func(a, b Event) int { return int(a.At - b.At) })
	return out, l.dropped
}

// Write writes the events as JSON, one object per line. It returns an error if events were dropped.
func (l *Log) Write(w io.Writer) error {
	events, dropped := l.Events()
	out := json.NewEncoder(w)
	for _, e := range events {
		if err := out.Encode(e); err != nil {
			return err
		}
	}
	if dropped > 0 {
		return fmt.Errorf("faults: the log was full, %d events were dropped", dropped)
	}
	return nil
}

// ReadLog reads events that Write has written. With an error it also returns the events before the faulty one.
func ReadLog(r io.Reader) (out []Event, err error) {
	in := json.NewDecoder(r)
	for {
		var e Event
		if err := in.Decode(&e); err == io.EOF {
			return out, nil
		} else if err != nil {
			return out, fmt.Errorf("faults: reading event %d of the log: %w", len(out)+1, err)
		}
		out = append(out, e)
	}
}

// CheckRate compares the events of one kind with the bound of a token bucket: at most rate x span + burst events within any
// span. It returns the largest excess over the bound, in events, and the time at which that span ended. The excess is
// negative if the bound was never reached.
func CheckRate(events []Event, what string, rate, burst float64) (excess float64, at time.Duration) {
	excess = -burst
	level, last := 0.0, time.Duration(0)
	for _, e := range events {
		if e.What != what {
			continue
		}
		level = max(0, level-rate*(e.At-last).Seconds()) + 1
		last = e.At
		if level-burst > excess {
			excess, at = level-burst, e.At
		}
	}
	return excess, at
}

// EventRate returns the number of events of one kind per second, over the span that starts at from and ends before to.
func EventRate(events []Event, what string, from, to time.Duration) float64 {
	n := 0
	for _, e := range events {
		if e.What == what && e.At >= from && e.At < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}
