package watch

import (
	"cmp"
	"slices"
	"time"

	"weldscale/coordination/rendezvous"
)

const (
	// DefaultGrace is the time beyond the wait after which a hub that hasn't answered counts as silent.
	DefaultGrace = 700 * time.Millisecond
	// firstDeadline bounds the first call to a hub, which is answered at once. It doubles to maxFirstDeadline after a round
	// that failed, for the sake of slow links. It grows no further: a round over three silent hubs must end within the time
	// in which a machine has to be up to date after a cut.
	firstDeadline    = 150 * time.Millisecond
	maxFirstDeadline = 800 * time.Millisecond
	// The back-off between rounds in which no hub was good. Its upper end is small: while nothing is known, nothing is served.
	minBackoff = 40 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// probeEvery is the pace at which better ranked hubs that were bad are tried again while another one serves.
	probeEvery = 5 * time.Second
	// maxBehind is how long a hub may know an older configuration than its watcher.
	maxBehind = 700 * time.Millisecond
)

// ChoiceOptions sets up a choice.
type ChoiceOptions struct {
	Node         string         // the watcher's name: each has its own order of hubs
	Wait         time.Duration  // how long a good hub may hold a poll; 0: DefaultMaxWait
	Grace        time.Duration  // 0: DefaultGrace
	MaxQuorumAge time.Duration  // 0: DefaultMaxQuorumAge
	Jitter       func() float64 // in [0, 1)
}

// Choice decides which hub a watcher asks next and when it leaves one. It is pure: time comes in, asks come out.
//
// Hubs are ordered by rendezvous hashing of the watcher's name, so load spreads and moves little. A watcher stays with a hub
// while it answers in time, is in touch and isn't behind; better ranked ones are probed now and then.
type Choice struct {
	options  ChoiceOptions
	hubs     map[string]*hubRecord
	current  string // the hub that serves; empty: none
	failures int    // since the last good answer
}

type hubRecord struct {
	good        bool
	lastTried   time.Time
	behindSince time.Time // zero: not behind
}

// Ask is one poll to be sent.
type Ask struct {
	Address  string        // empty: no hub is known
	Delay    time.Duration // to wait before sending
	Wait     time.Duration // how long the hub may hold the poll
	Deadline time.Duration // from the sending
	Probe    bool          // the serving hub stays if this one is bad
}

// NewChoice returns a choice that knows no hub.
func NewChoice(options ChoiceOptions) *Choice {
	if options.Wait == 0 {
		options.Wait = DefaultMaxWait
	}
	if options.Grace == 0 {
		options.Grace = DefaultGrace
	}
	if options.MaxQuorumAge == 0 {
		options.MaxQuorumAge = DefaultMaxQuorumAge
	}
	if options.Jitter == nil {
		options.Jitter = func() float64 { return 0 }
	}
	return &Choice{options: options, hubs: map[string]*hubRecord{}}
}

// Next returns the next poll. Known hubs are those that hubs told of; seeds that aren't among them come last.
func (c *Choice) Next(now time.Time, known, seeds []string) Ask {
	preferred := rendezvous.Rank(c.options.Node, known)
	others := slices.DeleteFunc(rendezvous.Rank(c.options.Node, seeds), func(seed string) bool { return slices.Contains(preferred, seed) })
	order := slices.Concat(preferred, others)
	c.forget(order)
	if len(order) == 0 {
		return Ask{Delay: maxBackoff}
	}
	if c.current == "" {
		return c.search(order)
	}
	if better := c.probe(now, preferred); better != "" {
		return Ask{Address: better, Deadline: firstDeadline, Probe: true}
	}
	return Ask{Address: c.current, Wait: c.options.Wait, Deadline: c.options.Wait + c.options.Grace}
}

// forget drops what is known of hubs that are in use no more.
func (c *Choice) forget(order []string) {
	for address := range c.hubs {
		if !slices.Contains(order, address) {
			delete(c.hubs, address)
		}
	}
	if !slices.Contains(order, c.current) {
		c.current = ""
	}
}

// probe returns a hub that ranks before the serving one and is due for a try.
func (c *Choice) probe(now time.Time, preferred []string) string {
	for _, address := range preferred {
		if address == c.current {
			return ""
		}
		record := c.hubs[address]
		if record == nil || now.Sub(record.lastTried) >= probeEvery {
			return address
		}
	}
	return ""
}

// search returns a first poll to the most promising hub: one that was good when last asked, else one never asked, else the
// one whose failure is the oldest, so that all are tried in turn.
func (c *Choice) search(order []string) Ask {
	best := slices.MinFunc(order, func(a, b string) int {
		if byClass := cmp.Compare(c.class(a), c.class(b)); byClass != 0 {
			return byClass
		}
		if c.class(a) != classBad {
			return 0 // MinFunc keeps the first, which ranks higher
		}
		return c.hubs[a].lastTried.Compare(c.hubs[b].lastTried)
	})
	rounds := c.failures / len(order)
	return Ask{Address: best, Delay: c.backoff(rounds), Deadline: doubled(firstDeadline, rounds, maxFirstDeadline)}
}

// Classes of hubs, the most promising first.
const (
	classGood = iota
	classUntried
	classBad
)

func (c *Choice) class(address string) int {
	switch record := c.hubs[address]; {
	case record == nil:
		return classUntried
	case record.good:
		return classGood
	default:
		return classBad
	}
}

// backoff is nothing in the first round, and grows from round to round after it.
func (c *Choice) backoff(rounds int) time.Duration {
	if rounds == 0 {
		return 0
	}
	longest := doubled(minBackoff, rounds-1, maxBackoff)
	return longest/2 + time.Duration(c.options.Jitter()*float64(longest)/2)
}

// doubled returns start doubled so many times, at most limit.
func doubled(start time.Duration, times int, limit time.Duration) time.Duration {
	for ; times > 0 && start < limit; times-- {
		start *= 2
	}
	return min(start, limit)
}

// Answered notes an answer: the age of the majority that it told, and whether the hub knows an older configuration than
// the watcher.
func (c *Choice) Answered(now time.Time, ask Ask, quorumAge time.Duration, behind bool) {
	record := c.record(ask.Address)
	if !behind {
		record.behindSince = time.Time{}
	} else if record.behindSince.IsZero() {
		record.behindSince = now
	}
	lags := behind && now.Sub(record.behindSince) > maxBehind
	if quorumAge > c.options.MaxQuorumAge || lags {
		c.Failed(now, ask)
		return
	}
	record.good = true
	record.lastTried = now
	c.current = ask.Address
	c.failures = 0
}

// Failed notes that a hub didn't answer in time, refused, broke off or gave an answer that can't be used.
func (c *Choice) Failed(now time.Time, ask Ask) {
	record := c.record(ask.Address)
	record.good = false
	record.lastTried = now
	if ask.Probe {
		return
	}
	c.failures++
	if c.current == ask.Address {
		c.current = ""
	}
}

// Current returns the hub that serves, or nothing.
func (c *Choice) Current() string { return c.current }

func (c *Choice) record(address string) *hubRecord {
	record := c.hubs[address]
	if record == nil {
		record = &hubRecord{}
		c.hubs[address] = record
	}
	return record
}
