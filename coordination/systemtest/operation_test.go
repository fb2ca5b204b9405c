package systemtest

import (
	"time"

	"weldscale/coordination/register"
	"weldscale/coordination/sim"
)

// operation drives a proposer until it ends or its time is over.
type operation struct {
	node     *node
	change   register.Change
	proposer *register.Proposer
	timer    *sim.Timer
	deadline *sim.Timer
	backoff  time.Duration
	done     func(register.Accepted, error)
}

// propose queues an operation: a node does not compete with itself.
func (n *node) propose(change register.Change, budget time.Duration, done func(register.Accepted, error)) {
	o := &operation{node: n, change: change, backoff: firstBackoff, done: done}
	o.deadline = n.process.After(budget, o.giveUp)
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
	o.act(o.proposer.Start())
}

func (o *operation) running() bool { return o.node.current == o }

func (o *operation) setTimer(delay time.Duration) {
	o.timer.Stop()
	o.timer = o.node.process.After(delay, func() {
		if o.running() {
			o.setTimer(roundTimeout)
			o.act(o.proposer.Retry())
		}
	})
}

func (o *operation) act(output register.Output) {
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
		o.node.call(message, callTimeout, o.take)
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
	o.setTimer(leastBackoff + o.node.process.World().Between(0, o.backoff))
	o.backoff = min(2*o.backoff, maxBackoff)
}

func (o *operation) take(reply register.Reply) {
	if o.running() {
		o.act(o.proposer.Deliver(reply))
	}
}

// learn tells the proposer of a newer chosen value.
func (o *operation) learn() {
	if o.proposer.Learn(o.node.chosen) {
		o.retryLater()
	}
}

func (o *operation) giveUp() {
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

// read is a quorum read: two rounds of questions, then an operation that completes what is in doubt.
func (n *node) read(budget time.Duration, done func(register.Accepted, error)) {
	n.queryRound(2, budget, done)
}

func (n *node) queryRound(rounds int, budget time.Duration, done func(register.Accepted, error)) {
	if rounds == 0 {
		n.propose(register.Unchanged, budget, done)
		return
	}
	reader := register.NewReader(n.self(), n.known())
	ended := false
	end := func(act func()) {
		if !ended {
			ended = true
			act()
		}
	}
	var act func(output register.Output)
	act = func(output register.Output) {
		if output.Done {
			end(func() {
				n.learn(reader.Known())
				done(reader.Known(), nil)
			})
			return
		}
		for _, message := range output.Messages {
			n.call(message, queryTimeout, func(reply register.Reply) {
				if !ended {
					act(reader.Deliver(reply))
				}
			})
		}
	}
	n.process.After(queryTimeout, func() {
		end(func() { n.queryRound(rounds-1, budget, done) })
	})
	act(reader.Start())
}
