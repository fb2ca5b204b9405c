package fleet

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"weldscale/internal/share"
)

// This file runs the protocol of package share over a Link: it sends and receives its messages and supplies the clock. Package
// share decides what a member may spend.

// Budgets holds all budgets of one member. Its methods are safe for concurrent use and do not wait for the network.
type Budgets struct {
	name        string
	incarnation uint64
	started     time.Time // package share gets the monotonic time since then
	send        func(to string, data []byte) error

	mu         sync.Mutex
	budgets    map[string]*budget
	malformed  int
	stop       chan struct{}
	goroutines sync.WaitGroup
}

type budget struct {
	config share.Config
	holder *share.Holder
	voter  *share.Voter // nil if this member does not vote
	spent  float64
	denied int
}

// budgetMessage is a message between members. Chunks are encoded as a bitmap, since a list of them would not fit a datagram.
type budgetMessage struct {
	Budget string              `json:"b"`
	Ask    *voteRequestMessage `json:"q,omitempty"`
	Answer *voteReplyMessage   `json:"a,omitempty"`
}

// voteRequestMessage is the encoding of a share.VoteRequest.
type voteRequestMessage struct {
	Life  uint64 `json:"l"`
	Round uint64 `json:"r"`
	Want  []byte `json:"w,omitempty"`
	Free  []byte `json:"f,omitempty"`
	Short int    `json:"s,omitempty"`
	More  int    `json:"m,omitempty"`
}

// voteReplyMessage is the encoding of a share.VoteReply.
type voteReplyMessage struct {
	Life  uint64 `json:"l"`
	Round uint64 `json:"r"`
	Yes   []byte `json:"y,omitempty"`
	Open  []byte `json:"o,omitempty"`
	Short int    `json:"s,omitempty"`
	More  int    `json:"m,omitempty"`
	Ask   int    `json:"n,omitempty"`
}

// MaxChunks is the maximum number of chunks of a budget. Three bitmaps of that many chunks fit a datagram.
const MaxChunks = 1024

// NewBudgets returns the budgets of the member with the given name, none at first. send sends a message to a member; it is
// usually the method Send of a Link.
func NewBudgets(name string, incarnation uint64, send func(string, []byte) error) *Budgets {
	return &Budgets{name: name, incarnation: incarnation, started: time.Now(), send: send,
		budgets: map[string]*budget{}, stop: make(chan struct{})}
}

func (b *Budgets) now() time.Duration { return time.Since(b.started) }

// Add adds a budget, of which this member may spend its floor at first, and starts to request more of it. All members must add
// the budget with the same configuration.
func (b *Budgets) Add(name string, c share.Config) error {
	if c.Chunks > MaxChunks {
		return fmt.Errorf("fleet: budget %q has %d chunks, more than the maximum of %d", name, c.Chunks, MaxChunks)
	}
	h, err := share.NewHolder(c, b.name, b.incarnation, b.now())
	if err != nil {
		return err
	}
	added := &budget{config: c, holder: h}
	for _, voter := range c.Voters {
		if voter == b.name {
			if added.voter, err = share.NewVoter(c, b.name, b.now()); err != nil {
				return err
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.budgets[name] != nil {
		return fmt.Errorf("fleet: budget %q exists already", name)
	}
	b.budgets[name] = added
	b.goroutines.Go(func() { b.runRounds(name, added) })
	return nil
}

// runRounds sends requests for a budget to the voters, four times per lease duration, until Stop.
func (b *Budgets) runRounds(name string, entry *budget) {
	for {
		b.mu.Lock()
		request := entry.holder.BeginRound(b.now())
		b.mu.Unlock()
		text, _ := json.Marshal(budgetMessage{Budget: name, Ask: &voteRequestMessage{request.Incarnation, request.Round,
			encodeChunks(request.Wanted), encodeChunks(request.Released), request.Shortfall, request.UnmetDemand}})
		for _, voter := range entry.config.Voters {
			b.send(voter, text) // a failed send counts as no reply
		}
		select {
		case <-b.stop:
			return
		case <-time.After(entry.config.LeaseDuration / 4):
		}
	}
}

// HandleMessage processes a message of a member. It ignores and counts malformed messages.
func (b *Budgets) HandleMessage(from string, data []byte) {
	var message budgetMessage
	err := json.Unmarshal(data, &message)
	b.mu.Lock()
	entry := b.budgets[message.Budget]
	if err != nil || entry == nil || message.Ask == nil && message.Answer == nil || message.Ask != nil && entry.voter == nil {
		b.malformed++
		b.mu.Unlock()
		return
	}
	if message.Ask == nil {
		reply := message.Answer
		entry.holder.HandleReply(b.now(), share.VoteReply{Voter: from, Incarnation: reply.Life, Round: reply.Round,
			Granted: decodeChunks(reply.Yes), Available: decodeChunks(reply.Open), Shortfall: reply.Short, UnmetDemand: reply.More, Requesters: reply.Ask})
		b.mu.Unlock()
		return
	}
	request := message.Ask
	reply := entry.voter.HandleRequest(b.now(), share.VoteRequest{From: from, Incarnation: request.Life, Round: request.Round,
		Wanted: decodeChunks(request.Want), Released: decodeChunks(request.Free), Shortfall: request.Short, UnmetDemand: request.More})
	b.mu.Unlock()
	text, _ := json.Marshal(budgetMessage{Budget: message.Budget, Answer: &voteReplyMessage{reply.Incarnation, reply.Round,
		encodeChunks(reply.Granted), encodeChunks(reply.Available), reply.Shortfall, reply.UnmetDemand, reply.Requesters}})
	b.send(from, text)
}

// Spend takes units of a budget if they are available, and reports whether it did. It returns false for an unknown budget.
func (b *Budgets) Spend(name string, units float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	entry := b.budgets[name]
	if entry == nil || !entry.holder.Spend(b.now(), units) {
		if entry != nil {
			entry.denied++
		}
		return false
	}
	entry.spent += units
	return true
}

// Return gives back units of a count.
func (b *Budgets) Return(name string, units float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if entry := b.budgets[name]; entry != nil {
		entry.holder.Return(units)
	}
}

// BudgetStatus is the state of a budget at this member.
type BudgetStatus struct {
	Share, Floor, Budget float64 // what this member may spend now, what it may always spend, and the budget of the fleet
	Spent                float64 // units since the start
	Denied, Malformed    int     // denied calls of Spend, and malformed messages of all budgets
	Voter                bool    // whether this member votes
}

// Status returns the state of each budget by its name.
func (b *Budgets) Status() map[string]BudgetStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]BudgetStatus{}
	for name, entry := range b.budgets {
		out[name] = BudgetStatus{entry.holder.Share(b.now()), entry.config.Floor, entry.config.Budget, entry.spent,
			entry.denied, b.malformed, entry.voter != nil}
	}
	return out
}

// Stop stops sending requests and waits for the rounds to end. Leases that are held expire.
func (b *Budgets) Stop() {
	close(b.stop)
	b.goroutines.Wait()
}

// encodeChunks returns a set of chunks as a bitmap.
func encodeChunks(chunks []int) (out []byte) {
	for _, i := range chunks {
		for len(out) <= i/8 {
			out = append(out, 0)
		}
		out[i/8] |= 1 << (i % 8)
	}
	return out
}

// decodeChunks returns the chunks of a bitmap. It ignores those from MaxChunks on.
func decodeChunks(set []byte) (out []int) {
	for i := range 8 * min(len(set), MaxChunks/8) {
		if set[i/8]>>(i%8)&1 == 1 {
			out = append(out, i)
		}
	}
	return out
}
