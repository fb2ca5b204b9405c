package register

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// minBackoff is what a replica usually takes to write and answer.
	minBackoff    = 15 * time.Millisecond
	initialJitter = 20 * time.Millisecond
	maxJitter     = 400 * time.Millisecond
	// callTimeout is above the time-out of a round: a slow replica may still take what the others have decided.
	callTimeout = 2 * time.Second
	queryRounds = 2
	// queryRetryDelay lets a write in flight arrive before a read completes it.
	queryRetryDelay = 20 * time.Millisecond
	// queryTimeout bounds a round of questions, which never waits for a disk.
	queryTimeout = 300 * time.Millisecond
)

// Update changes the data by two quorum rounds. Change may be called again, also on data that holds its own earlier work,
// and it must then recognise that; it must not write into the data. If it returns equal data, nothing is written. An error
// of change is returned only after a linearizable read of the data that it was given. Other errors have ErrNoQuorum or
// ErrInDoubt as root.
func (n *Node) Update(ctx context.Context, change func(data []byte) ([]byte, error)) (State, error) {
	chosen, err := n.propose(ctx, func(value Value) (Value, error) {
		data, err := change(value.Data)
		if err != nil || bytes.Equal(data, value.Data) {
			return value, err
		}
		value.Data = data
		value.Previous = nil // on a chosen value, any write may finish a change of the set
		return value, nil
	})
	return stateOf(&chosen.Value), err
}

// Read returns the newest state by a quorum read. It completes what is in doubt.
func (n *Node) Read(ctx context.Context) (State, error) {
	for range queryRounds {
		if chosen, done := n.queryRound(ctx); done {
			return stateOf(&chosen.Value), nil
		}
		if !sleep(ctx, queryRetryDelay/2+rand.N(queryRetryDelay)) {
			return State{}, eris.Wrap(ErrNoQuorum, "read")
		}
	}
	chosen, err := n.propose(ctx, Unchanged)
	return stateOf(&chosen.Value), err
}

func (n *Node) queryRound(ctx context.Context) (Accepted, bool) {
	known, _ := n.known()
	reader := NewReader(n.self(), known)
	replies := newExchange(n)
	defer replies.close()
	timeout := time.NewTimer(queryTimeout)
	defer timeout.Stop()
	output := reader.Start()
	for {
		replies.send(output.Messages, queryTimeout)
		if output.Done {
			n.learnChosen(reader.Known())
			return reader.Known(), true
		}
		if replies.outstanding == 0 {
			return Accepted{}, false
		}
		select {
		case reply := <-replies.replies:
			replies.outstanding--
			output = reader.Deliver(reply)
		case <-timeout.C:
			return Accepted{}, false
		case <-ctx.Done():
			return Accepted{}, false
		}
	}
}

// propose drives a Proposer until it ends or ctx is done.
func (n *Node) propose(ctx context.Context, change Change) (Accepted, error) {
	select {
	case n.operationSlot <- struct{}{}:
		defer func() { <-n.operationSlot }()
	case <-ctx.Done():
		return Accepted{}, eris.Wrap(ErrNoQuorum, "wait for an operation")
	}
	if err := n.awaitReplicaSet(ctx); err != nil {
		return Accepted{}, err
	}
	known, chosen := n.known()
	proposer := NewProposer(n.self(), n.ballots, known, chosen, change)
	if !n.drive(ctx, proposer) {
		if proposer.InDoubt() {
			return Accepted{}, eris.Wrap(ErrInDoubt, "propose")
		}
		return Accepted{}, eris.Wrap(ErrNoQuorum, "propose")
	}
	return proposer.Result()
}

// drive reports whether the proposer came to its end.
func (n *Node) drive(ctx context.Context, proposer *Proposer) bool {
	replies := newExchange(n)
	defer replies.close()
	timer := time.NewTimer(n.options.RoundTimeout)
	defer timer.Stop()
	backoff := initialJitter
	output := proposer.Start()
	for {
		changed := n.Changed()
		if proposer.Learn(n.latestChosen()) {
			output.Retry = true // others may have learnt it, too: not all at once
		}
		replies.send(output.Messages, callTimeout)
		if output.Done {
			return true
		}
		if output.Retry {
			timer.Reset(minBackoff + rand.N(backoff))
			backoff = min(2*backoff, maxJitter)
		}
		select {
		case reply := <-replies.replies:
			output = proposer.Deliver(reply)
			n.learnResult(proposer, output)
			if sends(output, Prepare) || sends(output, Accept) {
				timer.Reset(n.options.RoundTimeout)
			}
		case <-timer.C:
			output = proposer.Retry()
			timer.Reset(n.options.RoundTimeout)
		case <-changed:
			output = Output{}
		case <-ctx.Done():
			return false
		}
	}
}

// learnResult learns the result before the commits are sent, so that whoever asks after them is answered.
func (n *Node) learnResult(proposer *Proposer, output Output) {
	if output.Done {
		result, _ := proposer.Result()
		n.learnChosen(result)
	}
}

// sends reports whether a new phase sends out its requests.
func sends(output Output, kind Kind) bool {
	for _, message := range output.Messages {
		if message.Request.Kind == kind {
			return true
		}
	}
	return false
}

// sleep reports whether it came to its end before ctx did.
func sleep(ctx context.Context, duration time.Duration) bool {
	timer := time.NewTimer(duration)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
