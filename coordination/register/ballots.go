package register

import "sync"

// BallotGenerator hands out the ballots of one proposer, each once. It is safe for use by several goroutines.
type BallotGenerator struct {
	mu       sync.Mutex
	round    uint64
	proposer uint64
}

// NewBallotGenerator returns the ballots of a proposer, whose number must never have been used before: drivers draw it at random
// at each start.
func NewBallotGenerator(proposer uint64) *BallotGenerator {
	return &BallotGenerator{round: genesisBallot.Round, proposer: proposer}
}

// Next returns a ballot above all that were returned or seen.
func (b *BallotGenerator) Next() Ballot {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.round++
	return Ballot{Round: b.round, Proposer: b.proposer}
}

// Observe takes note of a ballot of anyone.
func (b *BallotGenerator) Observe(ballot Ballot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.round = max(b.round, ballot.Round)
}
