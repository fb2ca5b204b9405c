package watch

import (
	"cmp"
	"slices"
	"time"

	"weldscale/coordination/rendezvous"
)

const (
	// DefaultGrace is the time beyond the wait after which a source that has not replied counts as failed.
	DefaultGrace = 700 * time.Millisecond
	// initialDeadline bounds the first call to a source, which the source answers without delay. The deadline doubles after
	// each failed round, up to maxInitialDeadline, to allow for slow links. It grows no further because a round over three
	// unresponsive sources must end within the time in which a machine has to be up to date after a partition heals.
	initialDeadline    = 150 * time.Millisecond
	maxInitialDeadline = 800 * time.Millisecond
	// minBackoff and maxBackoff bound the backoff between rounds in which every source failed. The upper bound is small because
	// a process without a snapshot serves nothing.
	minBackoff = 40 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
	// probeInterval is the interval at which failed sources that rank above the current one are probed again.
	probeInterval = 5 * time.Second
	// maxConfigLag is how long a source may hold an older configuration than its subscriber before it counts as failed.
	maxConfigLag = 700 * time.Millisecond
)

// SourceSelectorOptions configures a SourceSelector.
type SourceSelectorOptions struct {
	Node         string         // name of the subscriber, which determines its order of sources
	Wait         time.Duration  // how long the current source may hold a poll; 0: DefaultMaxWait
	Grace        time.Duration  // time beyond Wait after which a source counts as failed; 0: DefaultGrace
	MaxQuorumAge time.Duration  // a source whose quorum contact is older counts as failed; 0: DefaultMaxQuorumAge
	Jitter       func() float64 // returns a value in [0, 1); nil: no jitter
}

// SourceSelector decides which source a subscriber polls next and when it fails over to another one. It uses no clock, socket
// or goroutine: callers pass in the time and send the polls that it returns. It is not safe for concurrent use.
//
// Sources are ordered by rendezvous hashing of the subscriber's name. Subscribers therefore spread evenly over the sources,
// and few of them move when the set of sources changes. A subscriber stays with a source while the source replies in time, has
// recent quorum contact and does not lag. Sources that rank higher are probed from time to time.
type SourceSelector struct {
	options  SourceSelectorOptions
	sources  map[string]*sourceState
	current  string // address of the source in use; empty: none
	failures int    // failed polls since the last usable reply, without failed probes
}

// sourceState is the outcome of the polls to one source.
type sourceState struct {
	healthy      bool
	lastTried    time.Time
	laggingSince time.Time // zero: not lagging
}

// Poll describes one poll to send.
type Poll struct {
	Address  string        // empty: no source is known
	Delay    time.Duration // how long to wait before sending
	Wait     time.Duration // how long the source may hold the poll
	Deadline time.Duration // timeout of the call, counted from sending
	Probe    bool          // the current source stays in use if this poll fails
}

// NewSourceSelector returns a selector without a current source.
func NewSourceSelector(options SourceSelectorOptions) *SourceSelector {
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
	return &SourceSelector{options: options, sources: map[string]*sourceState{}}
}

// NextPoll returns the next poll. The known addresses come from earlier replies. Seeds that are not among them rank last.
func (s *SourceSelector) NextPoll(now time.Time, known, seeds []string) Poll {
	preferred := rendezvous.Rank(s.options.Node, known)
	remaining := slices.DeleteFunc(rendezvous.Rank(s.options.Node, seeds), func(seed string) bool { return slices.Contains(preferred, seed) })
	order := slices.Concat(preferred, remaining)
	s.pruneSources(order)
	if len(order) == 0 {
		return Poll{Delay: maxBackoff}
	}
	if s.current == "" {
		return s.initialPoll(order)
	}
	if better := s.dueProbe(now, preferred); better != "" {
		return Poll{Address: better, Deadline: initialDeadline, Probe: true}
	}
	return Poll{Address: s.current, Wait: s.options.Wait, Deadline: s.options.Wait + s.options.Grace}
}

// pruneSources removes the state of sources that are no longer listed.
func (s *SourceSelector) pruneSources(order []string) {
	for address := range s.sources {
		if !slices.Contains(order, address) {
			delete(s.sources, address)
		}
	}
	if !slices.Contains(order, s.current) {
		s.current = ""
	}
}

// dueProbe returns the first source that ranks above the current one and is due for a probe, or an empty string.
func (s *SourceSelector) dueProbe(now time.Time, preferred []string) string {
	for _, address := range preferred {
		if address == s.current {
			return ""
		}
		source := s.sources[address]
		if source == nil || now.Sub(source.lastTried) >= probeInterval {
			return address
		}
	}
	return ""
}

// initialPoll returns a poll, answered without delay, to the most promising source: one that was healthy when last tried, else
// one that was never tried, else the one that failed longest ago, so that all sources are tried in turn.
func (s *SourceSelector) initialPoll(order []string) Poll {
	best := slices.MinFunc(order, func(a, b string) int {
		if byHealth := cmp.Compare(s.health(a), s.health(b)); byHealth != 0 {
			return byHealth
		}
		if s.health(a) != healthBad {
			return 0 // MinFunc returns the first minimum, which ranks higher
		}
		return s.sources[a].lastTried.Compare(s.sources[b].lastTried)
	})
	rounds := s.failures / len(order)
	return Poll{Address: best, Delay: s.backoff(rounds), Deadline: doubleUpTo(initialDeadline, rounds, maxInitialDeadline)}
}

// Health states of a source, the most promising first.
const (
	healthGood = iota
	healthUntried
	healthBad
)

// health returns the health state of a source.
func (s *SourceSelector) health(address string) int {
	switch source := s.sources[address]; {
	case source == nil:
		return healthUntried
	case source.healthy:
		return healthGood
	default:
		return healthBad
	}
}

// backoff returns the delay before a poll after the given number of failed rounds. The delay is zero in the first round and
// doubles, with jitter, in each later round.
func (s *SourceSelector) backoff(rounds int) time.Duration {
	if rounds == 0 {
		return 0
	}
	ceiling := doubleUpTo(minBackoff, rounds-1, maxBackoff)
	return ceiling/2 + time.Duration(s.options.Jitter()*float64(ceiling)/2)
}

// doubleUpTo returns start doubled the given number of times, capped at limit.
func doubleUpTo(start time.Duration, times int, limit time.Duration) time.Duration {
	for ; times > 0 && start < limit; times-- {
		start *= 2
	}
	return min(start, limit)
}

// RecordReply records a reply. quorumAge is the age of the quorum contact that the reply reports, and behind reports whether
// the source holds an older configuration than the subscriber. A reply with stale quorum contact, or from a source that has
// lagged for longer than maxConfigLag, counts as a failure.
func (s *SourceSelector) RecordReply(now time.Time, poll Poll, quorumAge time.Duration, behind bool) {
	source := s.source(poll.Address)
	if !behind {
		source.laggingSince = time.Time{}
	} else if source.laggingSince.IsZero() {
		source.laggingSince = now
	}
	lagging := behind && now.Sub(source.laggingSince) > maxConfigLag
	if quorumAge > s.options.MaxQuorumAge || lagging {
		s.RecordFailure(now, poll)
		return
	}
	source.healthy = true
	source.lastTried = now
	s.current = poll.Address
	s.failures = 0
}

// RecordFailure records that a source did not reply in time, refused or broke the connection, or sent an unusable reply.
func (s *SourceSelector) RecordFailure(now time.Time, poll Poll) {
	source := s.source(poll.Address)
	source.healthy = false
	source.lastTried = now
	if poll.Probe {
		return
	}
	s.failures++
	if s.current == poll.Address {
		s.current = ""
	}
}

// Current returns the address of the source in use, or an empty string if there is none.
func (s *SourceSelector) Current() string { return s.current }

// source returns the state of a source and creates it if necessary.
func (s *SourceSelector) source(address string) *sourceState {
	source := s.sources[address]
	if source == nil {
		source = &sourceState{}
		s.sources[address] = source
	}
	return source
}
