package faults

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"
	"time"
)

// This file owns the log of a trial and the checks that read it. A check knows nothing but the log.

// Event is something that happened.
type Event struct {
	At   time.Duration `json:"at"` // since the log began
	Who  string        `json:"who"`
	What string        `json:"what"`
	N    float64       `json:"n,omitempty"`
	Text string        `json:"text,omitempty"`
}

// Log is the events of all processes. Its methods may be called from any goroutine.
type Log struct {
	begun time.Time
	most  int

	mu     sync.Mutex
	events []Event
	lost   int
}

// NewLog begins a log that keeps so many events.
func NewLog(most int) *Log { return &Log{begun: time.Now(), most: most} }

// Now is the time of the log.
func (l *Log) Now() time.Duration { return time.Since(l.begun) }

// Add adds an event of now.
func (l *Log) Add(who, what string, n float64, text string) {
	l.AddAt(time.Now(), who, what, n, text)
}

// AddAt adds one that somebody else has seen.
func (l *Log) AddAt(at time.Time, who, what string, n float64, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.events) >= l.most {
		l.lost++
		return
	}
	l.events = append(l.events, Event{at.Sub(l.begun), who, what, n, text})
}

// Events are all so far, by time, and how many there was no room for. A check of a log that lost some proves nothing.
func (l *Log) Events() ([]Event, int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := slices.Clone(l.events)
	slices.SortStableFunc(out, func(a, b Event) int { return int(a.At - b.At) })
	return out, l.lost
}

// Write writes them, a JSON object a line.
func (l *Log) Write(w io.Writer) error {
	events, lost := l.Events()
	out := json.NewEncoder(w)
	for _, e := range events {
		if err := out.Encode(e); err != nil {
			return err
		}
	}
	if lost > 0 {
		return fmt.Errorf("faults: %d events found no room in the log", lost)
	}
	return nil
}

// ReadLog reads what Write wrote.
func ReadLog(r io.Reader) (out []Event, err error) {
	in := json.NewDecoder(r)
	for {
		var e Event
		if err := in.Decode(&e); err == io.EOF {
			return out, nil
		} else if err != nil {
			return out, fmt.Errorf("faults: event %d: %w", len(out)+1, err)
		}
		out = append(out, e)
	}
}

// CheckRate reads the events of a kind and tells the worst that began beyond rate x span + burst over any span, in events, and
// when that span ended; over is negative where the bound was never met. It's the bound of a bucket that holds burst.
func CheckRate(events []Event, what string, rate, burst float64) (over float64, at time.Duration) {
	over = -burst
	level, last := 0.0, time.Duration(0)
	for _, e := range events {
		if e.What != what {
			continue
		}
		level = max(0, level-rate*(e.At-last).Seconds()) + 1
		last = e.At
		if level-burst > over {
			over, at = level-burst, e.At
		}
	}
	return over, at
}

// EventRate is how many events of a kind there were a second.
func EventRate(events []Event, what string, from, to time.Duration) float64 {
	n := 0
	for _, e := range events {
		if e.What == what && e.At >= from && e.At < to {
			n++
		}
	}
	return float64(n) / (to - from).Seconds()
}
