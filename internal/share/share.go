// Package share divides a fleet-wide budget among the schedulers of a fleet. The budget is cut into chunks, and a holder may
// spend a chunk only while it has a lease on it, which takes the votes of a majority of the voters. No two holders have a lease
// on the same chunk at once, so what all holders may spend never adds up to more than the budget, even if messages are lost,
// duplicated, delayed or reordered.
//
// The package must not read a clock or use a socket or a disk. Times are readings of one monotonic clock of the process. The
// reasons for the design are in docs/design/shared-state.md.
package share

import (
	"fmt"
	"math"
	"slices"
	"time"
)

// Config describes one budget of a fleet. All members must use the same values, or their shares do not add up to the budget.
type Config struct {
	// Budget is the number of units per second of a rate, or of units in use at once of a count.
	Budget float64
	// Floor is what a member may always spend, even if it reaches no other member. Floor x MaxMembers is taken off the budget
	// before the rest is cut into chunks. The floor of a rate accumulates up to at least one unit, since a smaller floor would
	// never allow a request.
	Floor float64
	// MaxMembers is the maximum number of schedulers that run at once. The operator must ensure that there are not more.
	MaxMembers int
	// Chunks is the number of equal pieces into which the budget is cut after the floors are taken off.
	Chunks int
	// Voters are the names of the members that vote, an odd number. Operators configure them as keepers.
	Voters []string
	// LeaseDuration is how long a holder may spend a chunk after it sent the request for it, by its own clock.
	LeaseDuration time.Duration
	// Drift bounds how much faster or slower than real time a clock runs, as a fraction: 0.01 is one in a hundred.
	Drift float64
	// Burst is how many seconds of a rate may be spent at once. It is 0 for a count.
	Burst float64
	// MaxUse is the longest time that a unit of a count stays in use after it was spent. It is 0 for a rate.
	MaxUse time.Duration
}

// maxChunks bounds the size of a message and the memory of a member.
const maxChunks = 4096

// Check returns an error that names the first invalid field and the allowed values.
func (c *Config) Check() error {
	for _, f := range []struct {
		bad  bool
		text string
	}{
		{!(c.Budget > 0 && c.Budget < 1e12), "Budget must be more than 0"},
		{!(c.Floor >= 0) || c.MaxMembers < 1, "Floor must not be negative, and MaxMembers must be at least 1"},
		{c.Floor*float64(c.MaxMembers) > c.Budget, "Floor x MaxMembers must not be more than Budget"},
		{c.Chunks < 1 || c.Chunks > maxChunks, fmt.Sprintf("Chunks must be 1 to %d", maxChunks)},
		{len(c.Voters)%2 == 0, "Voters must be an odd number of names"},
		{c.LeaseDuration <= 0, "LeaseDuration must be more than 0"},
		{!(c.Drift >= 0 && c.Drift < 0.5), "Drift must be at least 0 and less than 0.5"},
		{!(c.Burst >= 0) || c.MaxUse < 0 || (c.Burst == 0) == (c.MaxUse == 0),
			"one of Burst (a rate) and MaxUse (a count) must be more than 0"},
	} {
		if f.bad {
			return fmt.Errorf("share: %s", f.text)
		}
	}
	for i, name := range c.Voters {
		if name == "" || slices.Contains(c.Voters[:i], name) {
			return fmt.Errorf("share: Voters must be different names")
		}
	}
	return nil
}

// chunkSize returns the number of units in a chunk.
func (c *Config) chunkSize() float64 {
	return (c.Budget - c.Floor*float64(c.MaxMembers)) / float64(c.Chunks)
}

// voteDuration returns how long a vote binds a voter, by the voter's clock. It covers a lease that is measured by the slowest
// allowed clock while the voter's clock is the fastest allowed one, and then the use of units that were spent at the end of the
// lease.
func (c *Config) voteDuration() time.Duration {
	return time.Duration(float64(c.LeaseDuration+c.MaxUse)*(1+c.Drift)/(1-c.Drift)) + time.Millisecond
}

// VoteRequest is what a holder sends to every voter in a round. Wanted are the chunks that it asks votes for, those it holds
// included, and Released those that it gives back. Round numbers the holder's requests; a reply counts only for the round that
// it names.
type VoteRequest struct {
	From               string
	Incarnation, Round uint64
	Wanted, Released   []int
	Shortfall          int // number of chunks by which the holder is below an even share
	UnmetDemand        int // number of chunks that the holder would use beyond those it has
}

// VoteReply is a voter's reply to a VoteRequest. It contains the chunks that it votes for, chunks that no vote binds, the sums
// of the other holders' shortfalls and unmet demands, and the number of holders that send requests.
type VoteReply struct {
	Voter                  string
	Incarnation, Round     uint64
	Granted                []int
	Available              []int // at most maxAvailable
	Shortfall, UnmetDemand int
	Requesters             int
}

// maxAvailable bounds the available chunks in a reply.
const maxAvailable = 64

// Voter grants votes to holders. It keeps them in memory only. After a start it therefore grants nothing until the votes of its
// previous run have expired. It is not safe for concurrent use.
type Voter struct {
	config     Config
	name       string
	mutedUntil time.Duration // no vote is granted before
	votes      []vote        // by chunk
	requesters map[string]requester
}

type vote struct {
	holder      string
	incarnation uint64
	round       uint64
	expiresAt   time.Duration
}

type requester struct {
	shortfall, unmetDemand int
	lastRequestAt          time.Duration
}

// NewVoter returns the voter with the given name. now is the reading of a monotonic clock, as in all calls of its methods.
func NewVoter(c Config, name string, now time.Duration) (*Voter, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if !slices.Contains(c.Voters, name) {
		return nil, fmt.Errorf("share: %q is not one of the voters", name)
	}
	return &Voter{config: c, name: name, mutedUntil: now + c.voteDuration(), votes: make([]vote, c.Chunks),
		requesters: map[string]requester{}}, nil
}

// HandleRequest processes a holder's request and returns the reply. It ignores chunks that are out of range.
func (v *Voter) HandleRequest(now time.Duration, request VoteRequest) VoteReply {
	reply := VoteReply{Voter: v.name, Incarnation: request.Incarnation, Round: request.Round}
	for _, i := range request.Released {
		// A delayed request of an earlier round must not release what a later one has requested again.
		if v.isChunk(i) && v.votes[i].holder == request.From && v.votes[i].incarnation == request.Incarnation &&
			v.votes[i].round <= request.Round {
			v.votes[i].expiresAt = min(v.votes[i].expiresAt, now)
		}
	}
	for name, other := range v.requesters {
		if now-other.lastRequestAt > 2*v.config.LeaseDuration {
			delete(v.requesters, name)
		}
	}
	if _, known := v.requesters[request.From]; known || len(v.requesters) < v.config.MaxMembers {
		v.requesters[request.From] = requester{max(0, min(request.Shortfall, v.config.Chunks)),
			max(0, min(request.UnmetDemand, v.config.Chunks)), now}
	}
	reply.Requesters = len(v.requesters)
	for name, other := range v.requesters {
		if name != request.From {
			reply.Shortfall += other.shortfall
			reply.UnmetDemand += other.unmetDemand
		}
	}
	if now < v.mutedUntil {
		return reply
	}
	for _, i := range request.Wanted {
		if !v.isChunk(i) {
			continue
		}
		current := &v.votes[i]
		sameHolder := current.holder == request.From && current.incarnation == request.Incarnation
		if current.expiresAt > now && !sameHolder || sameHolder && current.round > request.Round {
			continue
		}
		*current = vote{request.From, request.Incarnation, request.Round, max(current.expiresAt, now+v.config.voteDuration())}
		reply.Granted = append(reply.Granted, i)
	}
	// The list starts at another chunk in each reply, so that concurrent requesters do not all want the same chunks.
	for n := range v.votes {
		i := (n + int(request.Round*7+uint64(len(request.From)*13)) + int(hashName(request.From))) % len(v.votes)
		if len(reply.Available) < maxAvailable && v.votes[i].expiresAt <= now {
			reply.Available = append(reply.Available, i)
		}
	}
	return reply
}

func (v *Voter) isChunk(i int) bool { return i >= 0 && i < len(v.votes) }

// hashName returns a hash of a name that spreads load. It is not cryptographic.
func hashName(s string) (h uint32) {
	for _, b := range []byte(s) {
		h = h*31 + uint32(b)
	}
	return h >> 4
}

// Holder is a scheduler's state of a budget: what it may spend, and which chunks to request. It is not safe for concurrent use.
type Holder struct {
	config            Config
	name              string
	incarnation       uint64 // differs for each start: votes for an earlier incarnation do not count
	round             uint64
	rounds            [recentRounds]round
	leaseEnds         []time.Duration // by chunk, which may be spent before that time
	tokens            []float64       // of a rate: accumulated by each chunk
	refilledAt        time.Duration   // when the tokens were last updated
	floorTokens       float64         // of a rate: accumulated by the floor
	inUse             float64         // units of a count in use
	requestedUnits    float64         // units that Spend was asked for since the last round, denied ones included
	roundStartedAt    time.Duration
	available         []int // chunks that voters reported as available
	demand            float64
	othersShortfall   int // sum of the other holders' shortfalls, as voters reported
	othersUnmetDemand int // sum of the other holders' unmet demands, as voters reported
	requesters        int
	randomState       uint64
}

// recentRounds is the number of rounds, the current one included, whose replies still count.
const recentRounds = 4

type round struct {
	number uint64
	sentAt time.Duration
	wanted []int
	votes  []int           // number of votes for each entry of wanted
	voters map[string]bool // voters that have replied, since only the first reply of each counts
}

// NewHolder returns a holder that may spend its floor only. No earlier start under the same name may have used the same
// incarnation; a random number is sufficient.
func NewHolder(c Config, name string, incarnation uint64, now time.Duration) (*Holder, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	if name == "" {
		return nil, fmt.Errorf("share: the holder's name is empty")
	}
	return &Holder{config: c, name: name, incarnation: incarnation, leaseEnds: make([]time.Duration, c.Chunks),
		tokens: make([]float64, c.Chunks), refilledAt: now, roundStartedAt: now, randomState: incarnation ^ uint64(hashName(name))}, nil
}

// Share returns what this holder may spend now: units per second of a rate, or units in use at once of a count.
func (h *Holder) Share(now time.Duration) float64 {
	return h.config.Floor + float64(h.heldChunks(now))*h.config.chunkSize()
}

func (h *Holder) heldChunks(now time.Duration) (n int) {
	for _, leaseEnd := range h.leaseEnds {
		if now < leaseEnd {
			n++
		}
	}
	return n
}

// Spend takes units if they are available, and reports whether it did. Units of a count must be given back by Return.
func (h *Holder) Spend(now time.Duration, units float64) bool {
	h.requestedUnits += units
	if h.config.Burst == 0 {
		if h.inUse+units > h.Share(now)+1e-9 {
			return false
		}
		h.inUse += units
		return true
	}
	h.refill(now)
	available := h.floorTokens
	for i, tokens := range h.tokens {
		if now < h.leaseEnds[i] {
			available += tokens
		}
	}
	if available+1e-9 < units {
		return false
	}
	for i := range h.tokens {
		if now < h.leaseEnds[i] {
			taken := min(units, h.tokens[i])
			h.tokens[i] -= taken
			units -= taken
		}
	}
	h.floorTokens -= min(units, h.floorTokens)
	return true
}

// Return gives back units of a count.
func (h *Holder) Return(units float64) { h.inUse = max(0, h.inUse-units) }

// refill adds the tokens of the time since the last refill. A chunk accumulates tokens only while it is held, because its
// previous holder may have spent all of it just before.
func (h *Holder) refill(now time.Duration) {
	size := h.config.chunkSize()
	for i := range h.tokens {
		if now >= h.leaseEnds[i] {
			h.tokens[i] = 0
			continue
		}
		h.tokens[i] = min(size*h.config.Burst, h.tokens[i]+size*(now-h.refilledAt).Seconds())
	}
	maxFloorTokens := h.config.Floor * h.config.Burst
	if h.config.Floor > 0 {
		maxFloorTokens = max(1, maxFloorTokens)
	}
	h.floorTokens = min(maxFloorTokens, h.floorTokens+h.config.Floor*(now-h.refilledAt).Seconds())
	h.refilledAt = max(h.refilledAt, now)
}

const (
	headroom = 1.25 // multiple of its demand that a holder keeps, so that it need not request chunks for each job
	// demandWeight is the weight of the latest round in the mean demand. A round sees few jobs, and a holder that followed its
	// peaks would hoard chunks.
	demandWeight = 0.25
	// releaseDivisor sets the part of the chunks beyond an even share that a holder releases in a round. Shares would oscillate
	// if it released all of them at once.
	releaseDivisor = 4
)

// BeginRound starts a round and returns the request to send to every voter. Three rounds per LeaseDuration are enough to keep
// the chunks that are held.
func (h *Holder) BeginRound(now time.Duration) VoteRequest {
	if h.config.Burst > 0 {
		h.refill(now)
	}
	if span := (now - h.roundStartedAt).Seconds(); span > 0 {
		roundDemand := h.requestedUnits / span
		if h.config.Burst == 0 {
			roundDemand = h.inUse + h.requestedUnits // allows for as many new units as were requested during the round
		}
		h.demand += demandWeight * (roundDemand - h.demand)
		h.requestedUnits, h.roundStartedAt = 0, now
	}
	size := max(h.config.chunkSize(), 1e-12)
	demandFactor := headroom
	if h.othersUnmetDemand > 0 && len(h.available) == 0 { // others need the headroom
		demandFactor = 1
	}
	needed := max(0, min(h.config.Chunks, int(math.Ceil((h.demand*demandFactor-h.config.Floor)/size))))
	evenShare := max(1, h.config.Chunks/max(1, h.requesters))
	target, held := needed, h.heldChunks(now)
	// If others lack an even share, no holder grows beyond one. If no chunk is available either, larger holders release some.
	if h.othersShortfall > 0 {
		target = min(needed, max(held, evenShare))
		if held > evenShare && len(h.available) == 0 {
			target = min(needed, held-max(1, min(h.othersShortfall, (held-evenShare)/releaseDivisor)))
		}
	}
	h.round++
	previous := &h.rounds[(h.round-1)%recentRounds]
	request := VoteRequest{From: h.name, Incarnation: h.incarnation, Round: h.round}
	r := round{number: h.round, sentAt: now, voters: map[string]bool{}}
	inUseChunks := int(math.Ceil((h.inUse - h.config.Floor) / size))
	for i := range h.leaseEnds {
		switch {
		case now >= h.leaseEnds[i]:
		case len(r.wanted) < target || h.config.Burst == 0 && len(r.wanted) < inUseChunks:
			r.wanted = append(r.wanted, i)
		default: // the holder must not spend a released chunk, so the lease ends now
			h.leaseEnds[i], h.tokens[i] = 0, 0
			request.Released = append(request.Released, i)
		}
	}
	// Chunks without a majority in the previous round are released, because single votes would block other holders.
	for _, i := range previous.wanted {
		if now >= h.leaseEnds[i] && !slices.Contains(request.Released, i) {
			request.Released = append(request.Released, i)
		}
	}
	request.Shortfall, request.UnmetDemand = max(0, min(needed, evenShare)-len(r.wanted)), max(0, needed-len(r.wanted))
	for n := target - len(r.wanted); n > 0 && len(h.available) > 0; n-- {
		h.randomState = h.randomState*6364136223846793005 + 1442695040888963407
		at := int(h.randomState>>33) % len(h.available)
		if i := h.available[at]; now >= h.leaseEnds[i] && !slices.Contains(r.wanted, i) && !slices.Contains(request.Released, i) {
			r.wanted = append(r.wanted, i)
		}
		h.available = slices.Delete(h.available, at, at+1)
	}
	r.votes = make([]int, len(r.wanted))
	request.Wanted = slices.Clone(r.wanted)
	h.rounds[h.round%recentRounds] = r
	h.available, h.othersShortfall, h.othersUnmetDemand, h.requesters = h.available[:0], 0, 0, 0
	return request
}

// HandleReply processes a voter's reply. It ignores replies to old rounds or to another incarnation, and those of members that
// are not voters.
func (h *Holder) HandleReply(now time.Duration, reply VoteReply) {
	r := &h.rounds[reply.Round%recentRounds]
	if reply.Incarnation != h.incarnation || reply.Round == 0 || r.number != reply.Round ||
		r.voters[reply.Voter] || !slices.Contains(h.config.Voters, reply.Voter) {
		return
	}
	r.voters[reply.Voter] = true
	h.othersUnmetDemand = max(h.othersUnmetDemand, reply.UnmetDemand)
	h.othersShortfall, h.requesters = max(h.othersShortfall, max(0, reply.Shortfall)),
		max(h.requesters, min(reply.Requesters, h.config.MaxMembers))
	for _, i := range reply.Available {
		if i >= 0 && i < h.config.Chunks && len(h.available) < maxAvailable && !slices.Contains(h.available, i) {
			h.available = append(h.available, i)
		}
	}
	for n, i := range r.wanted {
		if !slices.Contains(reply.Granted, i) {
			continue
		}
		if r.votes[n]++; r.votes[n] != len(h.config.Voters)/2+1 {
			continue
		}
		// The lease starts when the request was sent, which is before any vote was granted.
		if leaseEnd := r.sentAt + h.config.LeaseDuration; leaseEnd > now && leaseEnd > h.leaseEnds[i] && !h.droppedAfter(i, r.number) {
			if h.leaseEnds[i] <= now {
				h.tokens[i] = 0
			}
			h.leaseEnds[i] = leaseEnd
		}
	}
	if h.config.Burst > 0 {
		h.refill(now)
	}
}

// droppedAfter reports whether a round later than the given one did not request chunk i. The voters may have granted it to
// another holder since.
func (h *Holder) droppedAfter(i int, roundNumber uint64) bool {
	for n := roundNumber + 1; n <= h.round; n++ {
		if r := &h.rounds[n%recentRounds]; r.number != n || !slices.Contains(r.wanted, i) {
			return true
		}
	}
	return false
}
