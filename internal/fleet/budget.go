package fleet

import (
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"weldscale/internal/share"
)

// This file drives the budgets of internal/share over a link: it carries asks and answers, and reads the clock. What a
// member may spend is share's decision.

// Budgets are all budgets of one member. Its methods may be called from any goroutine and never wait for the network.
type Budgets struct {
	name  string
	life  uint64
	begun time.Time // its clock is the time since; it never steps
	send  func(to string, data []byte) error

	mu   sync.Mutex
	all  map[string]*budget
	bad  int
	stop chan struct{}
	done sync.WaitGroup
}

type budget struct {
	c      share.Config
	holder *share.Holder
	keeper *share.Voter // nil: this member is none
	spent  float64
	denied int
}

// letter is what members send each other. Chunks are bits of a text: a list of them would not fit a datagram.
type letter struct {
	Budget string        `json:"b"`
	Ask    *askLetter    `json:"q,omitempty"`
	Answer *answerLetter `json:"a,omitempty"`
}

type askLetter struct {
	Life  uint64 `json:"l"`
	Round uint64 `json:"r"`
	Want  []byte `json:"w,omitempty"`
	Free  []byte `json:"f,omitempty"`
	Short int    `json:"s,omitempty"`
	More  int    `json:"m,omitempty"`
}

type answerLetter struct {
	Life  uint64 `json:"l"`
	Round uint64 `json:"r"`
	Yes   []byte `json:"y,omitempty"`
	Open  []byte `json:"o,omitempty"`
	Short int    `json:"s,omitempty"`
	More  int    `json:"m,omitempty"`
	Ask   int    `json:"n,omitempty"`
}

// MaxChunks is how many chunks a budget may have here: three sets of them fit a datagram.
const MaxChunks = 1024

// NewBudgets are none yet. send is a Link's Send.
func NewBudgets(name string, life uint64, send func(string, []byte) error) *Budgets {
	return &Budgets{name: name, life: life, begun: time.Now(), send: send, all: map[string]*budget{}, stop: make(chan struct{})}
}

func (b *Budgets) now() time.Duration { return time.Since(b.begun) }

// Add begins a budget with its floor. All members must add it with the same terms.
func (b *Budgets) Add(name string, c share.Config) error {
	if c.Chunks > MaxChunks {
		return fmt.Errorf("fleet: budget %q: %d chunks; allowed are %d", name, c.Chunks, MaxChunks)
	}
	h, err := share.NewHolder(c, b.name, b.life, b.now())
	if err != nil {
		return err
	}
	v := &budget{c: c, holder: h}
	for _, k := range c.Voters {
		if k == b.name {
			if v.keeper, err = share.NewVoter(c, b.name, b.now()); err != nil {
				return err
			}
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.all[name] != nil {
		return fmt.Errorf("fleet: budget %q stands twice", name)
	}
	b.all[name] = v
	b.done.Go(func() { b.rounds(name, v) })
	return nil
}

// rounds asks the keepers again and again.
func (b *Budgets) rounds(name string, v *budget) {
	for {
		b.mu.Lock()
		a := v.holder.BeginRound(b.now())
		b.mu.Unlock()
		text, _ := json.Marshal(letter{Budget: name, Ask: &askLetter{a.Incarnation, a.Round, bits(a.Wanted), bits(a.Released), a.Shortfall, a.UnmetDemand}})
		for _, k := range v.c.Voters {
			b.send(k, text) // one that can't be reached does not answer
		}
		select {
		case <-b.stop:
			return
		case <-time.After(v.c.LeaseDuration / 4):
		}
	}
}

// HandleMessage takes in a message of a member. What makes no sense is counted, and changes nothing.
func (b *Budgets) HandleMessage(from string, data []byte) {
	var in letter
	err := json.Unmarshal(data, &in)
	b.mu.Lock()
	v := b.all[in.Budget]
	if err != nil || v == nil || in.Ask == nil && in.Answer == nil || in.Ask != nil && v.keeper == nil {
		b.bad++
		b.mu.Unlock()
		return
	}
	if in.Ask == nil {
		a := in.Answer
		v.holder.HandleReply(b.now(), share.VoteReply{Voter: from, Incarnation: a.Life, Round: a.Round, Granted: list(a.Yes), Available: list(a.Open), Shortfall: a.Short, UnmetDemand: a.More, Requesters: a.Ask})
		b.mu.Unlock()
		return
	}
	q := in.Ask
	a := v.keeper.HandleRequest(b.now(), share.VoteRequest{From: from, Incarnation: q.Life, Round: q.Round, Wanted: list(q.Want), Released: list(q.Free), Shortfall: q.Short, UnmetDemand: q.More})
	b.mu.Unlock()
	text, _ := json.Marshal(letter{Budget: in.Budget, Answer: &answerLetter{a.Incarnation, a.Round, bits(a.Granted), bits(a.Available), a.Shortfall, a.UnmetDemand, a.Requesters}})
	b.send(from, text)
}

// Spend takes units of a budget if they are there. There is none of an unknown one.
func (b *Budgets) Spend(name string, units float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	v := b.all[name]
	if v == nil || !v.holder.Spend(b.now(), units) {
		if v != nil {
			v.denied++
		}
		return false
	}
	v.spent += units
	return true
}

// Return gives back units of a count.
func (b *Budgets) Return(name string, units float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if v := b.all[name]; v != nil {
		v.holder.Return(units)
	}
}

// BudgetStatus is a budget as this member has it.
type BudgetStatus struct {
	Share, Floor, Budget float64
	Spent                float64
	Denied, Malformed    int
	Voter                bool
}

// Status tells of each budget.
func (b *Budgets) Status() map[string]BudgetStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := map[string]BudgetStatus{}
	for name, v := range b.all {
		out[name] = BudgetStatus{v.holder.Share(b.now()), v.c.Floor, v.c.Budget, v.spent, v.denied, b.bad, v.keeper != nil}
	}
	return out
}

// Stop ends the asking; what is held runs out by itself.
func (b *Budgets) Stop() {
	close(b.stop)
	b.done.Wait()
}

// bits and list write a set of chunks as bits, and read it.
func bits(chunks []int) (out []byte) {
	for _, i := range chunks {
		for len(out) <= i/8 {
			out = append(out, 0)
		}
		out[i/8] |= 1 << (i % 8)
	}
	return out
}

func list(set []byte) (out []int) {
	for i := range 8 * min(len(set), MaxChunks/8) {
		if set[i/8]>>(i%8)&1 == 1 {
			out = append(out, i)
		}
	}
	return out
}
