// Package share decides how much of a fleet-wide budget one scheduler may spend just now. A budget is cut into chunks; a
// chunk may be spent by one holder at a time, who has it by the votes of a majority of the keepers, for a term. It owns
// the votes, the terms and what is left to spend. It must never read a clock, use a socket or a disk, or trust that a
// message came once, in order or at all: whatever is lost, doubled or late, the chunks that may be spent add up to no
// more than the budget. docs/design/shared-state.md has the reasons.
package share

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Config is one budget of a fleet. All members must have the same, or their parts don't add up.
type Config struct {
	// Budget is units a second for a rate, or units at once for a count.
	Budget float64
	// Floor is what a member may always spend, whoever it hears; Floor x Members is taken off the budget before it is cut.
	// Of a rate it saves up one unit at least, or it would never be enough for one.
	Floor float64
	// MaxMembers is how many schedulers may live at most; the operator answers for it.
	MaxMembers int
	// Chunks is how many pieces the rest is cut into.
	Chunks int
	// Voters are the names of the members that vote, an odd number.
	Voters []string
	// LeaseDuration is how long a holder may spend a chunk after it asked for it, by its own clock.
	LeaseDuration time.Duration
	// Drift bounds how much faster or slower than real time a clock runs, as a part: 0.01 is one in a hundred.
	Drift float64
	// Burst is how many seconds of a rate may be spent at once; 0 for a count.
	Burst float64
	// MaxUse is the longest that a unit of a count stays in use after it was taken; 0 for a rate.
	MaxUse time.Duration
}

// maxChunks bounds a message and a member's memory.
const maxChunks = 4096

// Check names the field at fault and what is allowed.
func (c *Config) Check() error {
	for _, f := range []struct {
		bad  bool
		text string
	}{
		{!(c.Budget > 0 && c.Budget < 1e12), "Budget must be more than 0"},
		{!(c.Floor >= 0) || c.MaxMembers < 1, "Floor must not be negative, and Members at least 1"},
		{c.Floor*float64(c.MaxMembers) > c.Budget, "Floor x Members must not be more than Budget"},
		{c.Chunks < 1 || c.Chunks > maxChunks, fmt.Sprintf("Chunks must be 1 to %d", maxChunks)},
		{len(c.Voters)%2 == 0, "Keepers must be an odd number of names"},
		{c.LeaseDuration <= 0, "Term must be more than 0"},
		{!(c.Drift >= 0 && c.Drift < 0.5), "Drift must be 0 to 0.5"},
		{!(c.Burst >= 0) || c.MaxUse < 0 || (c.Burst == 0) == (c.MaxUse == 0), "one of Burst (a rate) and Use (a count) must be more than 0"},
	} {
		if f.bad {
			return fmt.Errorf("share: %s", f.text)
		}
	}
	for i, k := range c.Voters {
		if k == "" || slices.Contains(c.Voters[:i], k) {
			return fmt.Errorf("share: Keepers must be different names")
		}
	}
	return nil
}

// chunk is the size of one.
func (c *Config) chunk() float64 {
	return (c.Budget - c.Floor*float64(c.MaxMembers)) / float64(c.Chunks)
}

// guard is how long a keeper is bound by a vote, by its own clock: the term on a clock as slow as may be, seen on one as fast
// as may be, and as long as what was taken in the last moment of the term stays in use.
func (c *Config) guard() time.Duration {
	return time.Duration(float64(c.LeaseDuration+c.MaxUse)*(1+c.Drift)/(1-c.Drift)) + time.Millisecond
}

// VoteRequest is what a holder says to a keeper: the chunks it wants votes for, held ones included, and those it gives back. Round
// numbers its asks; an answer counts for the round it names only.
type VoteRequest struct {
	From               string
	Incarnation, Round uint64
	Wanted, Released   []int
	Shortfall          int // chunks it lacks of an even part
	UnmetDemand        int // chunks it would take in all
}

// VoteReply is what a keeper says: the chunks of that round it votes for, those that are free as far as it knows, how many
// others lack of an even part and would take in all, and how many members ask.
type VoteReply struct {
	Voter                  string
	Incarnation, Round     uint64
	Granted                []int
	Available              []int // at most openMost
	Shortfall, UnmetDemand int
	Requesters             int
}

// openMost bounds an answer.
const openMost = 64

// Voter gives votes. It remembers nothing over a restart: it is silent for as long as an earlier life's votes may bind.
type Voter struct {
	c      Config
	name   string
	mute   time.Duration // until then no vote
	votes  []vote
	askers map[string]asker
}

type vote struct {
	holder string
	life   uint64
	round  uint64
	until  time.Duration
}

type asker struct {
	short, more int
	at          time.Duration
}

// NewVoter begins at a moment of its own steady clock; moments never go backwards.
func NewVoter(c Config, name string, now time.Duration) (*Voter, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if !slices.Contains(c.Voters, name) {
		return nil, fmt.Errorf("share: %q is no keeper", name)
	}
	return &Voter{c: c, name: name, mute: now + c.guard(), votes: make([]vote, c.Chunks), askers: map[string]asker{}}, nil
}

// HandleRequest takes in an ask and gives the answer. What is out of range is passed over.
func (k *Voter) HandleRequest(now time.Duration, a VoteRequest) VoteReply {
	out := VoteReply{Voter: k.name, Incarnation: a.Incarnation, Round: a.Round}
	for _, i := range a.Released {
		// A late ask of an earlier round must not give back what a later one has asked for again.
		if k.valid(i) && k.votes[i].holder == a.From && k.votes[i].life == a.Incarnation && k.votes[i].round <= a.Round {
			k.votes[i].until = min(k.votes[i].until, now)
		}
	}
	for name, b := range k.askers {
		if now-b.at > 2*k.c.LeaseDuration {
			delete(k.askers, name)
		}
	}
	if _, known := k.askers[a.From]; known || len(k.askers) < k.c.MaxMembers {
		k.askers[a.From] = asker{max(0, min(a.Shortfall, k.c.Chunks)), max(0, min(a.UnmetDemand, k.c.Chunks)), now}
	}
	out.Requesters = len(k.askers)
	for name, b := range k.askers {
		if name != a.From {
			out.Shortfall += b.short
			out.UnmetDemand += b.more
		}
	}
	if now < k.mute {
		return out
	}
	for _, i := range a.Wanted {
		if !k.valid(i) {
			continue
		}
		v := &k.votes[i]
		mine := v.holder == a.From && v.life == a.Incarnation
		if v.until > now && !mine || mine && v.round > a.Round {
			continue
		}
		*v = vote{a.From, a.Incarnation, a.Round, max(v.until, now+k.c.guard())}
		out.Granted = append(out.Granted, i)
	}
	// Each answer begins elsewhere, so that those who ask at once do not all go for the same chunks.
	for n := range k.votes {
		i := (n + int(a.Round*7+uint64(len(a.From)*13)) + int(hash(a.From))) % len(k.votes)
		if len(out.Available) < openMost && k.votes[i].until <= now {
			out.Available = append(out.Available, i)
		}
	}
	return out
}

func (k *Voter) valid(i int) bool { return i >= 0 && i < len(k.votes) }

// hash spreads names; it guards nothing.
func hash(s string) (h uint32) {
	for _, b := range []byte(s) {
		h = h*31 + uint32(b)
	}
	return h >> 4
}

// Holder is one scheduler's view of a budget: what it may spend, and what to ask for.
type Holder struct {
	c      Config
	name   string
	life   uint64 // another one for each start: votes for an earlier life are not ours
	round  uint64
	rounds [keptRounds]round
	until  []time.Duration // of each chunk: it may be spent before that moment
	tokens []float64       // of a rate: what each chunk has saved up
	at     time.Duration   // when that was reckoned
	floor  float64         // tokens of the floor
	inUse  float64         // of a count
	want   float64         // units that were asked of it since the last round, beyond its part too
	since  time.Duration
	open   []int // chunks that keepers said are free
	demand float64
	short  int // what others lack of an even part, as keepers said
	more   int // what they would take in all
	askers int
	seed   uint64
}

// keptRounds is how many rounds back an answer still counts.
const keptRounds = 4

type round struct {
	n      uint64
	sent   time.Duration
	want   []int
	yes    []int           // votes for each of want
	voters map[string]bool // one answer each
}

// NewHolder begins with its floor. A life is a number that no earlier start of that name had: a random one will do.
func NewHolder(c Config, name string, life uint64, now time.Duration) (*Holder, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if name == "" {
		return nil, fmt.Errorf("share: a holder needs a name")
	}
	return &Holder{c: c, name: name, life: life, until: make([]time.Duration, c.Chunks), tokens: make([]float64, c.Chunks), at: now, since: now,
		seed: life ^ uint64(hash(name))}, nil
}

// Share is what may be spent just now: units a second, or units at once.
func (h *Holder) Share(now time.Duration) float64 {
	return h.c.Floor + float64(h.held(now))*h.c.chunk()
}

func (h *Holder) held(now time.Duration) (n int) {
	for _, until := range h.until {
		if now < until {
			n++
		}
	}
	return n
}

// Spend takes units if they are there. Units of a count come back by Return.
func (h *Holder) Spend(now time.Duration, units float64) bool {
	h.want += units
	if h.c.Burst == 0 {
		if h.inUse+units > h.Share(now)+1e-9 {
			return false
		}
		h.inUse += units
		return true
	}
	h.save(now)
	left := h.floor
	for i, t := range h.tokens {
		if now < h.until[i] {
			left += t
		}
	}
	if left+1e-9 < units {
		return false
	}
	for i := range h.tokens {
		if now < h.until[i] {
			take := min(units, h.tokens[i])
			h.tokens[i] -= take
			units -= take
		}
	}
	h.floor -= min(units, h.floor)
	return true
}

// Return gives back units of a count.
func (h *Holder) Return(units float64) { h.inUse = max(0, h.inUse-units) }

// save adds what time brought. A chunk saves only while it is held: its last holder may have spent all of it just before.
func (h *Holder) save(now time.Duration) {
	size := h.c.chunk()
	for i := range h.tokens {
		if now >= h.until[i] {
			h.tokens[i] = 0
			continue
		}
		h.tokens[i] = min(size*h.c.Burst, h.tokens[i]+size*(now-h.at).Seconds())
	}
	most := h.c.Floor * h.c.Burst
	if h.c.Floor > 0 {
		most = max(1, most)
	}
	h.floor = min(most, h.floor+h.c.Floor*(now-h.at).Seconds())
	h.at = max(h.at, now)
}

const (
	spare = 1.25 // of its demand that a holder keeps, so that it need not ask for each job
	// newest is the weight of a round in the mean demand: a round sees few jobs, and its peaks would hoard chunks.
	newest = 0.25
	yield  = 4 // part of what is beyond an even part that goes at once: all of it would swing
)

// BeginRound begins a round: the ask for every keeper. Once in a third of a term is often enough to keep what is held.
func (h *Holder) BeginRound(now time.Duration) VoteRequest {
	if h.c.Burst > 0 {
		h.save(now)
	}
	if span := (now - h.since).Seconds(); span > 0 {
		came := h.want / span
		if h.c.Burst == 0 {
			came = h.inUse + h.want // those in use, and as many again as came meanwhile
		}
		h.demand += newest * (came - h.demand)
		h.want, h.since = 0, now
	}
	size := max(h.c.chunk(), 1e-12)
	ahead := spare
	if h.more > 0 && len(h.open) == 0 { // what is kept to spare is wanted elsewhere
		ahead = 1
	}
	wanted := max(0, min(h.c.Chunks, int(math.Ceil((h.demand*ahead-h.c.Floor)/size))))
	even := max(1, h.c.Chunks/max(1, h.askers))
	goal, held := wanted, h.held(now)
	if h.short > 0 { // others lack an even part: nobody takes more than that, and where nothing is free some comes back
		goal = min(wanted, max(held, even))
		if held > even && len(h.open) == 0 {
			goal = min(wanted, held-max(1, min(h.short, (held-even)/yield)))
		}
	}
	h.round++
	last := &h.rounds[(h.round-1)%keptRounds]
	a := VoteRequest{From: h.name, Incarnation: h.life, Round: h.round}
	r := round{n: h.round, sent: now, voters: map[string]bool{}}
	inUse := int(math.Ceil((h.inUse - h.c.Floor) / size))
	for i := range h.until {
		switch {
		case now >= h.until[i]:
		case len(r.want) < goal || h.c.Burst == 0 && len(r.want) < inUse:
			r.want = append(r.want, i)
		default: // given back: it is not ours from this moment on
			h.until[i], h.tokens[i] = 0, 0
			a.Released = append(a.Released, i)
		}
	}
	for _, i := range last.want { // votes that came to nothing would keep it from others
		if now >= h.until[i] && !slices.Contains(a.Released, i) {
			a.Released = append(a.Released, i)
		}
	}
	a.Shortfall, a.UnmetDemand = max(0, min(wanted, even)-len(r.want)), max(0, wanted-len(r.want))
	for n := goal - len(r.want); n > 0 && len(h.open) > 0; n-- {
		h.seed = h.seed*6364136223846793005 + 1442695040888963407
		at := int(h.seed>>33) % len(h.open)
		if i := h.open[at]; now >= h.until[i] && !slices.Contains(r.want, i) && !slices.Contains(a.Released, i) {
			r.want = append(r.want, i)
		}
		h.open = slices.Delete(h.open, at, at+1)
	}
	r.yes = make([]int, len(r.want))
	a.Wanted = slices.Clone(r.want)
	h.rounds[h.round%keptRounds] = r
	h.open, h.short, h.more, h.askers = h.open[:0], 0, 0, 0
	return a
}

// HandleReply takes in a keeper's answer. One of an old round, of another life or from no keeper changes nothing.
func (h *Holder) HandleReply(now time.Duration, a VoteReply) {
	r := &h.rounds[a.Round%keptRounds]
	if a.Incarnation != h.life || a.Round == 0 || r.n != a.Round || r.voters[a.Voter] || !slices.Contains(h.c.Voters, a.Voter) {
		return
	}
	r.voters[a.Voter] = true
	h.more = max(h.more, a.UnmetDemand)
	h.short, h.askers = max(h.short, max(0, a.Shortfall)), max(h.askers, min(a.Requesters, h.c.MaxMembers))
	for _, i := range a.Available {
		if i >= 0 && i < h.c.Chunks && len(h.open) < openMost && !slices.Contains(h.open, i) {
			h.open = append(h.open, i)
		}
	}
	for n, i := range r.want {
		if !slices.Contains(a.Granted, i) {
			continue
		}
		if r.yes[n]++; r.yes[n] != len(h.c.Voters)/2+1 {
			continue
		}
		// The term counts from the ask: the votes were given later than that.
		if until := r.sent + h.c.LeaseDuration; until > now && until > h.until[i] && !h.given(i, r.n) {
			if h.until[i] <= now {
				h.tokens[i] = 0
			}
			h.until[i] = until
		}
	}
	if h.c.Burst > 0 {
		h.save(now)
	}
}

// given reports whether a later round did not ask for i: then the votes for it may be with another one by now.
func (h *Holder) given(i int, after uint64) bool {
	for n := after + 1; n <= h.round; n++ {
		if r := &h.rounds[n%keptRounds]; r.n != n || !slices.Contains(r.want, i) {
			return true
		}
	}
	return false
}
