package systemtest

import (
	"time"

	"weldscale/coordination/register"
	"weldscale/coordination/sim"
)

// operation drives a proposer until it is done or the deadline has passed.
type operation struct {
	node     *node
	change   register.Change
	proposer *register.Proposer
	timer    *sim.Timer
	deadline *sim.Timer
	backoff  time.Duration
	done     func(register.Accepted, error)
}

// propose queues an operation. A node runs one operation at a time, so that its proposers do not compete.
func (n *node) propose(change register.Change, timeout time.Duration, done func(register.Accepted, error)) {
	o := &operation{node: n, change: change, backoff: initialBackoff, done: done}
	o.deadline = n.process.After(timeout, o.expire)
	n.queue = append(n.queue, o)
	n.nextOperation()
}

func (n *node) nextOperation() {
	if n.current != nil || len(n.queue) == 0 {
		return
	}
	n.current = n.queue[0]
	n.queue = n.queue[1:]
	n.current.start()
}

func (o *operation) start() {
	n := o.node
	known := n.known()
	if len(known.Value.Replicas) == 0 {
		o.end(register.Accepted{}, errNoQuorum)
		return
	}
	o.proposer = register.NewProposer(n.self(), n.ballots, known, n.chosen.Ballot, o.change)
	o.setTimer(roundTimeout)
	o.handleOutput(o.proposer.Start())
}

func (o *operation) running() bool { return o.node.current == o }

func (o *operation) setTimer(delay time.Duration) {
	o.timer.Stop()
	o.timer = o.node.process.After(delay, func() {
		if o.running() {
			o.setTimer(roundTimeout)
			o.handleOutput(o.proposer.Retry())
		}
	})
}

func (o *operation) handleOutput(output register.Output) {
	if output.Done {
		result, _ := o.proposer.Result()
		o.node.learn(result)
	}
	for _, message := range output.Messages {
		if message.Request.Kind == register.Prepare || message.Request.Kind == register.Accept {
			o.setTimer(roundTimeout)
			break
		}
	}
	for _, message := range output.Messages {
		if message.Request.Kind == register.Commit && message.To.ID == o.node.id() {
			continue
		}
		o.node.call(message, callTimeout, o.deliver)
	}
	switch {
	case !o.running():
	case output.Done:
		o.end(o.proposer.Result())
	case output.Retry:
		o.retryLater()
	}
}

func (o *operation) retryLater() {
	o.setTimer(minBackoff + o.node.process.World().Between(0, o.backoff))
	o.backoff = min(2*o.backoff, maxBackoff)
}

func (o *operation) deliver(reply register.Reply) {
	if o.running() {
		o.handleOutput(o.proposer.Deliver(reply))
	}
}

// learn passes a newer chosen value to the proposer.
func (o *operation) learn() {
	if o.proposer.Learn(o.node.chosen) {
		o.retryLater()
	}
}

// expire ends the operation at its deadline. The outcome is in doubt if its proposal may still be chosen.
func (o *operation) expire() {
	if !o.running() {
		o.node.queue = without(o.node.queue, o)
		o.end(register.Accepted{}, errNoQuorum)
		return
	}
	err := errNoQuorum
	if o.proposer.InDoubt() {
		err = errInDoubt
	}
	o.end(register.Accepted{}, err)
}

func (o *operation) end(result register.Accepted, err error) {
	o.timer.Stop()
	o.deadline.Stop()
	if o.running() {
		o.node.current = nil
	}
	o.done(result, err)
	o.node.nextOperation()
}

// read performs a quorum read. If two query rounds find no majority for one ballot, it proposes an unchanged value, which
// completes a value in doubt.
func (n *node) read(timeout time.Duration, done func(register.Accepted, error)) {
	n.queryRound(2, timeout, done)
}

func (n *node) queryRound(rounds int, timeout time.Duration, done func(register.Accepted, error)) {
	if rounds == 0 {
		n.propose(register.Unchanged, timeout, done)
		return
	}
	reader := register.NewReader(n.self(), n.known())
	finished := false
	finish := func(then func()) {
		if !finished {
			finished = true
			then()
		}
	}
	var handleOutput func(output register.Output)
	handleOutput = func(output register.Output) {
		if output.Done {
			finish(func() {
				n.learn(reader.Known())
				done(reader.Known(), nil)
			})
			return
		}
		for _, message := range output.Messages {
			n.call(message, queryTimeout, func(reply register.Reply) {
				if !finished {
					handleOutput(reader.Deliver(reply))
				}
			})
		}
	}
	n.process.After(queryTimeout, func() {
		finish(func() { n.queryRound(rounds-1, timeout, done) })
	})
	handleOutput(reader.Start())
}
