// Package evidence weighs what the schedulers of a fleet have seen last of each worker: a job that ended well, an error, one
// that did not end in time or a probe that was lost, by whom and how long ago. It owns what this member has seen and what others say they have, and names
// the workers that the whole of it speaks against. It must never read a clock, use a socket, or decide who gets a job: the
// module that decides is told as by peers, and has its own bounds. docs/design/shared-state.md has the reasons.
package evidence

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Kind is one thing seen of a worker.
type Kind int

// What is seen. A job that ended well is Succeeded; the others speak against the worker.
const (
	Succeeded Kind = iota
	Failed
	TimedOut
	Unreachable
	kinds
)

// Config is how evidence is weighed. All members should have the same.
type Config struct {
	// MaxMembers is how many schedulers may live at most; what is kept of others is bounded by it.
	MaxMembers int
	// MaxWorkers bounds the workers of which anything is kept.
	MaxWorkers int
	// MaxAge is how old evidence may be. Where the module's first terms of ejection are over sooner, they don't all come back to
	// a worker at once, since it is still spoken against.
	MaxAge time.Duration
	// MinRepeatInterval is how often a member speaks of the same worker at most.
	MinRepeatInterval time.Duration
	// SampleSize is how many members' latest tries count at least, the newest first: a worker that begins to fail, or is well
	// again, is not judged by what was before.
	SampleSize int
	// MinComplaintShare is the share of those that must speak against a worker.
	MinComplaintShare float64
	// FaultyMemberShare is the share of the members who may say what is not so: more must complain before it counts. Two always must.
	FaultyMemberShare float64
	// MaxSuspectShare is the share of the workers that are named at most. Who complains of more is ill itself and not believed.
	MaxSuspectShare float64
}

// DefaultConfig is what holds for a fleet of so many.
func DefaultConfig(members int) Config {
	return Config{MaxMembers: members, MaxWorkers: 4096, MaxAge: 15 * time.Second, MinRepeatInterval: 500 * time.Millisecond, SampleSize: 10, MinComplaintShare: 0.5, FaultyMemberShare: 0.04, MaxSuspectShare: 0.4}
}

// Check names the field at fault and what is allowed.
func (c *Config) Check() error {
	for _, f := range []struct {
		bad  bool
		text string
	}{
		{c.MaxMembers < 1 || c.MaxWorkers < 1 || c.SampleSize < 1, "Members, Workers and Latest must be at least 1"},
		{c.MaxAge <= 0 || c.MinRepeatInterval <= 0 || c.MinRepeatInterval > c.MaxAge, "Every must be more than 0, and Span at least that"},
		{!(c.MinComplaintShare > 0 && c.MinComplaintShare <= 1) || !(c.MaxSuspectShare > 0 && c.MaxSuspectShare <= 1), "Bad and Most must be more than 0, and 1 at most"},
		{!(c.FaultyMemberShare >= 0 && c.FaultyMemberShare < 0.5), "Liars must be 0 to 0.5"},
	} {
		if f.bad {
			return fmt.Errorf("evidence: %s", f.text)
		}
	}
	return nil
}

// Report is what one member has seen last of one worker. One voice is one report, however much it has seen.
type Report struct {
	From, Zone, Worker string
	Incarnation, Seq   uint64 // a later one of the same member goes before an earlier one
	Age                time.Duration
	Kind               Kind
}

type own struct {
	kind     Kind
	at       time.Duration
	saidKind Kind
	said     time.Duration
	saidAt   time.Duration // of what was said
	spoke    bool
}

type heard struct {
	r  Report
	at time.Duration // when it was seen, by our clock
}

// Aggregator is a member's evidence.
type Aggregator struct {
	c          Config
	name, zone string
	life, seq  uint64
	own        map[string]*own
	heard      map[string]map[string]*heard // by worker, by member
	Dropped    int                          // reports that made no sense or found no room
}

// NewAggregator is an empty one of a member in a zone. life tells its starts apart.
func NewAggregator(c Config, name, zone string, life uint64) (*Aggregator, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return &Aggregator{c: c, name: name, zone: zone, life: life, own: map[string]*own{}, heard: map[string]map[string]*heard{}}, nil
}

// Record takes in what this member has seen itself.
func (b *Aggregator) Record(now time.Duration, worker string, k Kind) {
	o := b.own[worker]
	if o == nil {
		if len(b.own) >= b.c.MaxWorkers {
			b.forget(now)
		}
		if len(b.own) >= b.c.MaxWorkers {
			b.Dropped++
			return
		}
		o = &own{}
		b.own[worker] = o
	}
	o.kind, o.at = k, now
}

// forget makes room.
func (b *Aggregator) forget(now time.Duration) {
	for name, o := range b.own {
		if now-o.at >= b.c.MaxAge {
			delete(b.own, name)
		}
	}
}

// DiscardOwn drops what this member has seen: after a stall of its own, what looked late or lost says nothing of workers.
func (b *Aggregator) DiscardOwn() { b.own = map[string]*own{} }

// ResendAll has Due return each standing report once more, for a member that was not there when it was sent.
func (b *Aggregator) ResendAll() {
	for _, o := range b.own {
		o.spoke = false
	}
}

// Receive takes in another member's report and reports whether it is news, which is worth passing on.
func (b *Aggregator) Receive(now time.Duration, r Report) bool {
	if r.From == "" || r.Worker == "" || r.Age < 0 || r.Kind < 0 || r.Kind >= kinds {
		b.Dropped++
		return false
	}
	if r.From == b.name || r.Age >= b.c.MaxAge {
		return false
	}
	of := b.heard[r.Worker]
	if of == nil {
		if len(b.heard) >= b.c.MaxWorkers {
			b.expire(now)
		}
		if len(b.heard) >= b.c.MaxWorkers {
			b.Dropped++
			return false
		}
		of = map[string]*heard{}
		b.heard[r.Worker] = of
	}
	old := of[r.From]
	if old != nil && old.r.Incarnation == r.Incarnation && old.r.Seq >= r.Seq {
		return false
	}
	if old == nil && len(of) >= b.c.MaxMembers {
		b.expire(now)
		if len(of) >= b.c.MaxMembers {
			b.Dropped++
			return false
		}
		b.heard[r.Worker] = of
	}
	of[r.From] = &heard{r, now - r.Age}
	return true
}

// expire forgets what is too old.
func (b *Aggregator) expire(now time.Duration) {
	for worker, of := range b.heard {
		for from, h := range of {
			if now-h.at >= b.c.MaxAge {
				delete(of, from)
			}
		}
		if len(of) == 0 {
			delete(b.heard, worker)
		}
	}
}

// DueReports are the reports to send now: of workers that this member's latest try speaks against, and of those that others complain
// of, since who has fared well there is to be heard too.
func (b *Aggregator) DueReports(now time.Duration) (out []Report) {
	b.expire(now)
	for worker, o := range b.own {
		if o.spoke && (o.saidAt == o.at || o.saidKind == o.kind && now-o.said < b.c.MinRepeatInterval) || now-o.at >= b.c.MaxAge ||
			o.kind == Succeeded && !b.complained(worker) {
			continue
		}
		o.said, o.saidAt, o.saidKind, o.spoke = now, o.at, o.kind, true
		b.seq++
		out = append(out, Report{b.name, b.zone, worker, b.life, b.seq, now - o.at, o.kind})
	}
	slices.SortFunc(out, func(x, y Report) int { return cmp.Compare(x.Worker, y.Worker) })
	return out
}

// WithComplaints names the workers that some member's latest try speaks against, in order.
func (b *Aggregator) WithComplaints(now time.Duration) (names []string) {
	b.expire(now)
	for worker := range b.heard {
		if b.complained(worker) {
			names = append(names, worker)
		}
	}
	slices.Sort(names)
	return names
}

func (b *Aggregator) complained(worker string) bool {
	for _, h := range b.heard[worker] {
		if h.r.Kind != Succeeded {
			return true
		}
	}
	return false
}

// voice is one member's latest try at a worker.
type voice struct {
	from string
	at   time.Duration
	bad  bool
}

// Suspects names the workers that the evidence of this member's zone speaks against, the worst first. known is how many workers
// there are, and zone how many members of this zone live.
func (b *Aggregator) Suspects(now time.Duration, known, zone int) (names []string) {
	b.expire(now)
	most := int(b.c.MaxSuspectShare * float64(known))
	all, complaints := map[string][]voice{}, map[string]int{} // complaints by member, ourselves too
	hear := func(worker string, v voice) {
		all[worker] = append(all[worker], v)
		if v.bad {
			complaints[v.from]++
		}
	}
	for worker, o := range b.own {
		if now-o.at < b.c.MaxAge {
			hear(worker, voice{b.name, o.at, o.kind != Succeeded})
		}
	}
	for worker, of := range b.heard {
		for from, h := range of {
			if h.r.Zone == b.zone {
				hear(worker, voice{from, h.at, h.r.Kind != Succeeded})
			}
		}
	}
	need := max(2, int(math.Ceil(b.c.FaultyMemberShare*float64(zone)))+1)
	shares := map[string]float64{}
	for worker, voices := range all {
		voices = slices.DeleteFunc(voices, func(v voice) bool { return complaints[v.from] > most }) // it is ill itself, or cut off
		slices.SortFunc(voices, func(x, y voice) int { return cmp.Or(cmp.Compare(y.at, x.at), cmp.Compare(x.from, y.from)) })
		voices = voices[:min(len(voices), max(b.c.SampleSize, 2*need))]
		bad := 0
		for _, v := range voices {
			if v.bad {
				bad++
			}
		}
		if bad >= need && float64(bad) >= b.c.MinComplaintShare*float64(len(voices)) {
			names = append(names, worker)
			shares[worker] = float64(bad) / float64(len(voices))
		}
	}
	slices.SortFunc(names, func(x, y string) int { return cmp.Or(cmp.Compare(shares[y], shares[x]), cmp.Compare(x, y)) })
	return names[:min(len(names), most)]
}
