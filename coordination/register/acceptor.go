package register

// Write is what an acceptor needs to have on its disk before it answers. At least one of its fields is set; a value is
// written before a promise. Each is a record of its own: a later promise does not write the value again.
type Write struct {
	Promised *Ballot
	Accepted *Accepted
}

// Step is a request that an acceptor has begun. If Write is nil, Reply is the answer; otherwise Finish or Abandon gives it.
type Step struct {
	Write *Write
	Reply Reply

	request Request
}

// Acceptor holds the promises and the accepted value of one identity. It is pure, and it answers only by what is durable.
// A value whose write failed may come to light at the next start. It is written again before the next promise, so that no
// proposer who was promised something misses it.
type Acceptor struct {
	self         Replica
	promised     Ballot
	accepted     Accepted
	unconfirmed  *Accepted // its write failed, and may have reached the disk all the same
	writePending bool      // a step with a write has begun
}

// NewAcceptor returns an acceptor with what was found on its disk. Without an accepted value it is that of a newcomer.
func NewAcceptor(self Replica, promised Ballot, accepted Accepted) *Acceptor {
	if promised.Less(accepted.Ballot) {
		promised = accepted.Ballot // accepting implies the promise
	}
	return &Acceptor{self: self, promised: promised, accepted: accepted}
}

// Self returns the identity and address.
func (a *Acceptor) Self() Replica { return a.self }

// Accepted returns what is accepted and durable. Its value must not be changed.
func (a *Acceptor) Accepted() Accepted { return a.accepted }

// Begin takes a query, a prepare or an accept. Only one step with a write can be open at a time; others are refused as busy.
func (a *Acceptor) Begin(request Request) Step {
	switch {
	case request.Kind == Query && (request.To == "" || request.To == a.self.ID):
		return Step{Reply: a.newReply(request)}
	case request.To != a.self.ID:
		return Step{Reply: a.refuse(request, IdentityMismatch)}
	case request.Ballot.Less(a.promised):
		return Step{Reply: a.refuse(request, Superseded)}
	case a.writePending:
		return Step{Reply: a.refuse(request, Busy)}
	case request.Kind == Prepare && request.Ballot != a.promised:
		a.writePending = true
		return Step{Write: &Write{Accepted: a.unconfirmed, Promised: &request.Ballot}, request: request}
	case request.Kind == Accept && request.Ballot != a.accepted.Ballot:
		a.writePending = true
		accepted := &Accepted{Ballot: request.Ballot, Value: *request.Value}
		return Step{Write: &Write{Accepted: accepted}, request: request}
	}
	return Step{Reply: a.newReply(request)} // asked before: the promise or value is on the disk
}

// Learn begins to take over a chosen value that was accepted without this replica. No promise stands against it: whoever was
// promised something has found the value, or one above it, since it is chosen. It returns no write if the replica holds that value
// or one above it, or while another step is open.
func (a *Acceptor) Learn(chosen Accepted) Step {
	if a.writePending || !a.accepted.Ballot.Less(chosen.Ballot) {
		return Step{}
	}
	a.writePending = true
	return Step{Write: &Write{Accepted: &chosen}}
}

// Finish takes a step whose write is durable and returns its answer.
func (a *Acceptor) Finish(step Step) Reply {
	a.writePending = false
	if step.Write.Accepted != nil {
		a.accepted = *step.Write.Accepted
		a.unconfirmed = nil
		if a.promised.Less(a.accepted.Ballot) {
			a.promised = a.accepted.Ballot
		}
	}
	if step.Write.Promised != nil {
		a.promised = *step.Write.Promised
	}
	return a.newReply(step.request)
}

// Abandon takes a step whose write failed and returns its answer.
func (a *Acceptor) Abandon(step Step, refusal Refusal) Reply {
	a.writePending = false
	if lost := step.Write.Accepted; lost != nil && (a.unconfirmed == nil || a.unconfirmed.Ballot.Less(lost.Ballot)) {
		a.unconfirmed = lost
	}
	return a.refuse(step.request, refusal)
}

func (a *Acceptor) newReply(request Request) Reply {
	reply := Reply{
		Kind:     request.Kind,
		Ballot:   request.Ballot,
		From:     a.self,
		Promised: a.promised,
		Accepted: a.accepted.Ballot,
		Revision: a.accepted.Value.Revision,
	}
	wanted := request.Kind == Prepare || request.Kind == Query && request.WantValue
	if wanted && request.Known.Less(a.accepted.Ballot) {
		value := a.accepted.Value
		reply.Value = &value
	}
	return reply
}

func (a *Acceptor) refuse(request Request, refusal Refusal) Reply {
	reply := a.newReply(Request{Kind: request.Kind, Ballot: request.Ballot, Known: a.accepted.Ballot})
	reply.Refusal = refusal
	return reply
}
