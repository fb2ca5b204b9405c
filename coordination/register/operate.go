package register

import (
	"bytes"
	"context"
	"math/rand/v2"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// minBackoff is the time that a replica usually takes to write and reply.
	minBackoff    = 15 * time.Millisecond
	initialJitter = 20 * time.Millisecond
	maxJitter     = 400 * time.Millisecond
	// callTimeout is longer than the timeout of a round, so that a slow replica can still accept what the others have chosen.
	callTimeout = 2 * time.Second
	queryRounds = 2
	// queryRetryDelay is the mean delay between query rounds. A write in flight can finish meanwhile, so that the read need not
	// complete it.
	queryRetryDelay = 20 * time.Millisecond
	// queryTimeout bounds a query round, which never waits for a disk.
	queryTimeout = 300 * time.Millisecond
)

// Update changes the data with two quorum rounds. It may call change more than once, also on data to which an earlier call was
// already applied; change must detect that. It must not modify its argument. If it returns equal data, nothing is written.
// Update returns an error of change only after a linearizable read of the data that change was given. The root of any other
// error is ErrNoQuorum or ErrInDoubt.
func (n *Node) Update(ctx context.Context, change func(data []byte) ([]byte, error)) (State, error) {
	chosen, err := n.propose(ctx, func(value Value) (Value, error) {
		data, err := change(value.Data)
		if err != nil || bytes.Equal(data, value.Data) {
			return value, err
		}
		value.Data = data
		value.Previous = nil // any write on top of a chosen joint value may finish the reconfiguration
		return value, nil
	})
	return stateOf(&chosen.Value), err
}

// Read returns the newest state by a quorum read. If the query rounds find no majority for one ballot, it proposes an unchanged
// value, which completes a value in doubt.
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
	calls := newExchange(n)
	defer calls.close()
	timeout := time.NewTimer(queryTimeout)
	defer timeout.Stop()
	output := reader.Start()
	for {
		calls.send(output.Messages, queryTimeout)
		if output.Done {
			n.learnChosen(reader.Known())
			return reader.Known(), true
		}
		if calls.outstanding == 0 {
			return Accepted{}, false
		}
		select {
		case reply := <-calls.replies:
			calls.outstanding--
			output = reader.Deliver(reply)
		case <-timeout.C:
			return Accepted{}, false
		case <-ctx.Done():
			return Accepted{}, false
		}
	}
}

// propose drives a Proposer until it is done or ctx is done. Only one proposer of a node runs at a time.
func (n *Node) propose(ctx context.Context, change Change) (Accepted, error) {
	select {
	case n.operationSlot <- struct{}{}:
		defer func() { <-n.operationSlot }()
	case <-ctx.Done():
		return Accepted{}, eris.Wrap(ErrNoQuorum, "wait for another operation of this node")
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

// drive runs the proposer and reports whether it finished before ctx was done.
func (n *Node) drive(ctx context.Context, proposer *Proposer) bool {
	calls := newExchange(n)
	defer calls.close()
	timer := time.NewTimer(n.options.RoundTimeout)
	defer timer.Stop()
	jitter := initialJitter
	output := proposer.Start()
	for {
		changed := n.Changed()
		if proposer.Learn(n.latestChosen()) {
			output.Retry = true // retry after a random backoff: other proposers may have learned it at the same time
		}
		calls.send(output.Messages, callTimeout)
		if output.Done {
			return true
		}
		if output.Retry {
			timer.Reset(minBackoff + rand.N(jitter))
			jitter = min(2*jitter, maxJitter)
		}
		select {
		case reply := <-calls.replies:
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

// learnResult records the result before the commits are sent, so that the node can serve the value to replicas that fetch it
// after their commit.
func (n *Node) learnResult(proposer *Proposer, output Output) {
	if output.Done {
		result, _ := proposer.Result()
		n.learnChosen(result)
	}
}

// sends reports whether the output has requests of a kind.
func sends(output Output, kind Kind) bool {
	for _, message := range output.Messages {
		if message.Request.Kind == kind {
			return true
		}
	}
	return false
}

// sleep waits for a duration. It returns false if ctx was done first.
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
