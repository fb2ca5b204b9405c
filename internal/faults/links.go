// Package faults puts faults between real processes: each link between two of them goes through a relay here that drops,
// delays, cuts, swallows, loses, doubles or reorders, one direction apart from the other, and processes are stalled, killed
// and started again. It owns the relays, the processes it started and the log of what all of them did; a checker reads that
// log and nothing else. It must never judge on its own what a process should do, touch a process that it did not start, or
// be imported by the scheduler.
package faults

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// Fault is what is wrong with one direction of a link.
type Fault struct {
	Cut          bool          // connections are reset, new ones are refused, datagrams vanish
	Blackhole    bool          // what is sent does not arrive, and nobody says so; bytes of streams wait until it ends
	Delay        time.Duration // of each datagram, and each piece of a stream
	Jitter       time.Duration // at most so much more; datagrams overtake each other by it
	Loss         float64       // of datagrams, 0 to 1
	Duplicate    float64       // of datagrams
	Reorder      float64       // of datagrams: so many are held back for Hold
	ReorderDelay time.Duration
}

// and is both at once.
func (f Fault) and(g Fault) Fault {
	return Fault{f.Cut || g.Cut, f.Blackhole || g.Blackhole, f.Delay + g.Delay, f.Jitter + g.Jitter, 1 - (1-f.Loss)*(1-g.Loss),
		1 - (1-f.Duplicate)*(1-g.Duplicate), 1 - (1-f.Reorder)*(1-g.Reorder), max(f.ReorderDelay, g.ReorderDelay)}
}

// Links are the faults of all links just now. The zero value is not ready; NewLinks is.
type Links struct {
	seed uint64

	mu      sync.Mutex
	rules   []*rule
	dice    map[[2]string]*rand.Rand // of each direction, so that one's datagrams do not change another's luck
	changed chan struct{}            // closed and made anew at each change
	counts  map[[2]string]*Traffic
}

// Traffic is what went over one direction of a link.
type Traffic struct{ Datagrams, Bytes, Lost int64 }

type rule struct {
	match func(from, to string) bool
	fault Fault
}

// NewLinks are links without a fault.
func NewLinks(seed uint64) *Links {
	return &Links{seed: seed, dice: map[[2]string]*rand.Rand{}, changed: make(chan struct{}), counts: map[[2]string]*Traffic{}}
}

// Inject puts a fault on all directions that match, until the returned function is called.
func (l *Links) Inject(f Fault, match func(from, to string) bool) (end func()) {
	r := &rule{match, f}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules = append(l.rules, r)
	l.news()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for i, v := range l.rules {
			if v == r {
				l.rules = append(l.rules[:i], l.rules[i+1:]...)
				l.news()
				return
			}
		}
	}
}

func (l *Links) news() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// FaultOn is what is wrong with a direction, and a channel that is closed when that may have changed.
func (l *Links) FaultOn(from, to string) (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.at(from, to), l.changed
}

func (l *Links) at(from, to string) (f Fault) {
	for _, r := range l.rules {
		if r.match(from, to) {
			f = f.and(r.fault)
		}
	}
	return f
}

// datagram decides what becomes of one: after which spans it arrives, none if it is lost. The nth datagram of a direction
// meets the same luck whenever the seed is the same.
func (l *Links) datagram(from, to string, bytes int) (after []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{from, to}
	rng, c := l.dice[key], l.passed(key)
	if rng == nil {
		h := fnv.New64a()
		h.Write([]byte(from + ">" + to))
		rng = rand.New(rand.NewPCG(l.seed, h.Sum64()))
		l.dice[key] = rng
	}
	lost, double, held, jitter := rng.Float64(), rng.Float64(), rng.Float64(), rng.Float64()
	f := l.at(from, to)
	c.Datagrams++
	c.Bytes += int64(bytes)
	if f.Cut || f.Blackhole || lost < f.Loss {
		c.Lost++
		return nil
	}
	wait := f.Delay + time.Duration(jitter*float64(f.Jitter))
	if held < f.Reorder {
		wait += f.ReorderDelay
	}
	after = append(after, wait)
	if double < f.Duplicate {
		after = append(after, wait+f.Jitter)
	}
	return after
}

// stream counts bytes of a stream.
func (l *Links) stream(from, to string, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.passed([2]string{from, to}).Bytes += int64(bytes)
}

// passed is the account of a direction.
func (l *Links) passed(key [2]string) *Traffic {
	c := l.counts[key]
	if c == nil {
		c = &Traffic{}
		l.counts[key] = c
	}
	return c
}

// TrafficFrom is what one sent, to whomever, so far.
func (l *Links) TrafficFrom(from string) (sum Traffic) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, c := range l.counts {
		if key[0] == from {
			sum.Datagrams, sum.Bytes, sum.Lost = sum.Datagrams+c.Datagrams, sum.Bytes+c.Bytes, sum.Lost+c.Lost
		}
	}
	return sum
}
