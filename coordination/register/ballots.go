package register

import "sync"

// BallotGenerator generates the ballots of one proposer, each of them once. It is safe for concurrent use.
type BallotGenerator struct {
	mu       sync.Mutex
	round    uint64
	proposer uint64
}

// NewBallotGenerator returns the generator of a proposer. The proposer's number must never have been used before: drivers
// draw it at random at each start.
func NewBallotGenerator(proposer uint64) *BallotGenerator {
	return &BallotGenerator{round: genesisBallot.Round, proposer: proposer}
}

// Next returns a ballot above all ballots that were returned or observed.
func (b *BallotGenerator) Next() Ballot {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.round++
	return Ballot{Round: b.round, Proposer: b.proposer}
}

// Observe raises later ballots above the given ballot of any proposer.
func (b *BallotGenerator) Observe(ballot Ballot) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.round = max(b.round, ballot.Round)
}
