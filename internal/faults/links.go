// Package faults injects faults between real processes. Each link between two processes goes through a relay that can cut,
// blackhole, delay, lose, duplicate or reorder traffic, separately in each direction; processes can be stalled, killed and
// restarted. The package owns the relays, the processes it started and the event log of all of them. Checks read only that
// log. The package must not decide what a process should do, must not touch a process that it did not start, and must not
// be imported by the scheduler.
package faults

import (
	"hash/fnv"
	"math/rand/v2"
	"sync"
	"time"
)

// Fault describes the impairment of one direction of a link. The zero value is a healthy link.
type Fault struct {
	Cut          bool          // resets connections, refuses new ones and drops datagrams
	Blackhole    bool          // drops datagrams without an error; bytes of streams wait until the fault ends
	Delay        time.Duration // added to each datagram and to each chunk of a stream
	Jitter       time.Duration // upper bound of a random extra delay of datagrams, which may reorder them
	Loss         float64       // fraction of datagrams that are lost, 0 to 1
	Duplicate    float64       // fraction of datagrams that are delivered twice
	Reorder      float64       // fraction of datagrams that are held back for ReorderDelay
	ReorderDelay time.Duration
}

// combine returns the fault of a direction to which both f and g apply.
func (f Fault) combine(g Fault) Fault {
	return Fault{f.Cut || g.Cut, f.Blackhole || g.Blackhole, f.Delay + g.Delay, f.Jitter + g.Jitter, 1 - (1-f.Loss)*(1-g.Loss),
		1 - (1-f.Duplicate)*(1-g.Duplicate), 1 - (1-f.Reorder)*(1-g.Reorder), max(f.ReorderDelay, g.ReorderDelay)}
}

// Links holds the faults in effect and the traffic counts of all links. Use NewLinks to create one; the zero value is not
// usable. Its methods are safe for concurrent use.
type Links struct {
	seed uint64

	mu      sync.Mutex
	rules   []*rule
	rngs    map[[2]string]*rand.Rand // by direction, so that traffic of one direction does not affect the draws of another
	changed chan struct{}            // closed and replaced at each change
	traffic map[[2]string]*Traffic
}

// Traffic counts what was sent over one direction of a link, or over several. Lost counts datagrams.
type Traffic struct{ Datagrams, Bytes, Lost int64 }

// rule is a fault with the directions that it applies to.
type rule struct {
	match func(from, to string) bool
	fault Fault
}

// NewLinks returns links without faults. The seed determines which datagrams are lost, duplicated or delayed.
func NewLinks(seed uint64) *Links {
	return &Links{seed: seed, rngs: map[[2]string]*rand.Rand{}, changed: make(chan struct{}), traffic: map[[2]string]*Traffic{}}
}

// Inject applies a fault to all directions that match, until the returned function is called. Several faults on one
// direction add up.
func (l *Links) Inject(f Fault, match func(from, to string) bool) (end func()) {
	r := &rule{match, f}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules = append(l.rules, r)
	l.notifyChanged()
	return func() {
		l.mu.Lock()
		defer l.mu.Unlock()
		for i, v := range l.rules {
			if v == r {
				l.rules = append(l.rules[:i], l.rules[i+1:]...)
				l.notifyChanged()
				return
			}
		}
	}
}

// notifyChanged wakes all that wait for a change of faults. The caller holds l.mu.
func (l *Links) notifyChanged() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// FaultOn returns the fault of a direction, and a channel that is closed when it may have changed.
func (l *Links) FaultOn(from, to string) (Fault, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.faultOn(from, to), l.changed
}

// faultOn returns the combined fault of a direction. The caller holds l.mu.
func (l *Links) faultOn(from, to string) (f Fault) {
	for _, r := range l.rules {
		if r.match(from, to) {
			f = f.combine(r.fault)
		}
	}
	return f
}

// deliveries counts a datagram and returns the delay of each copy to be delivered, none if the datagram is lost. With the
// same seed and the same faults, the nth datagram of a direction always gets the same result.
func (l *Links) deliveries(from, to string, bytes int) (delays []time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	key := [2]string{from, to}
	rng, c := l.rngs[key], l.trafficOf(key)
	if rng == nil {
		hash := fnv.New64a()
		hash.Write([]byte(from + ">" + to))
		rng = rand.New(rand.NewPCG(l.seed, hash.Sum64()))
		l.rngs[key] = rng
	}
	lost, duplicated, held, jitter := rng.Float64(), rng.Float64(), rng.Float64(), rng.Float64()
	fault := l.faultOn(from, to)
	c.Datagrams++
	c.Bytes += int64(bytes)
	if fault.Cut || fault.Blackhole || lost < fault.Loss {
		c.Lost++
		return nil
	}
	delay := fault.Delay + time.Duration(jitter*float64(fault.Jitter))
	if held < fault.Reorder {
		delay += fault.ReorderDelay
	}
	delays = append(delays, delay)
	if duplicated < fault.Duplicate {
		delays = append(delays, delay+fault.Jitter)
	}
	return delays
}

// countStreamBytes counts bytes of a stream.
func (l *Links) countStreamBytes(from, to string, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.trafficOf([2]string{from, to}).Bytes += int64(bytes)
}

// trafficOf returns the counts of a direction and creates them at first use. The caller holds l.mu.
func (l *Links) trafficOf(key [2]string) *Traffic {
	c := l.traffic[key]
	if c == nil {
		c = &Traffic{}
		l.traffic[key] = c
	}
	return c
}

// TrafficFrom returns what one process has sent so far, summed over all receivers.
func (l *Links) TrafficFrom(from string) (sum Traffic) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for key, c := range l.traffic {
		if key[0] == from {
			sum.Datagrams, sum.Bytes, sum.Lost = sum.Datagrams+c.Datagrams, sum.Bytes+c.Bytes, sum.Lost+c.Lost
		}
	}
	return sum
}
