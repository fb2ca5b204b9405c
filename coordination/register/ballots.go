package register

import "sync"

// Ballots hands out the ballots of one proposer, each once. It is safe for use by several goroutines.
type Ballots struct {
	mu       sync.Mutex
	round    uint64
	proposer uint64
}

// NewBallots returns the ballots of a proposer, whose number must never have been used before: drivers draw it at random
// at each start.
func NewBallots(proposer uint64) *Ballots {
	return &Ballots{round: genesisBallot.Round, proposer: proposer}
}

// Next returns a ballot above all that were returned or seen.
func (b *Ballots) Next() Ballot {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.round++
	return Ballot{Round: b.round, Proposer: b.proposer}
}

// Saw takes note of a ballot of anyone.
func (b *Ballots) Saw(ballot Ballot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.round = max(b.round, ballot.Round)
}
