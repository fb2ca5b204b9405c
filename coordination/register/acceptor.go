package register

// Write is the state that an acceptor must make durable before it replies. At least one field is set. The accepted value is
// written before the promise. They are separate records, so that a later promise does not write the value again.
type Write struct {
	Promised *Ballot
	Accepted *Accepted
}

// Step is a request that an acceptor has begun to handle. If Write is nil, Reply is the reply. Otherwise Finish or Abandon
// returns the reply.
type Step struct {
	Write *Write
	Reply Reply

	request Request
}

// Acceptor holds the promise and the accepted value of one replica identity. It is a pure state machine, and its replies
// report only durable state. A value whose write failed may still be found on the disk at the next start. The acceptor
// therefore writes that value again before its next promise, so that no proposer that gets the promise misses the value.
type Acceptor struct {
	self         Replica
	promised     Ballot
	accepted     Accepted
	unconfirmed  *Accepted // value whose write failed but may have reached the disk
	writePending bool      // a step with a write has begun and not ended
}

// NewAcceptor returns an acceptor with the state that was loaded from its disk. The accepted value of a joining replica is
// empty.
func NewAcceptor(self Replica, promised Ballot, accepted Accepted) *Acceptor {
	if promised.Less(accepted.Ballot) {
		promised = accepted.Ballot // accepting implies the promise
	}
	return &Acceptor{self: self, promised: promised, accepted: accepted}
}

// Self returns the identity and address of the replica.
func (a *Acceptor) Self() Replica { return a.self }

// Accepted returns the durable accepted value. The caller must not modify it.
func (a *Acceptor) Accepted() Accepted { return a.accepted }

// Begin handles a Query, Prepare or Accept request. Only one step with a write can be open at a time: until it ends, Prepare
// and Accept requests are refused as Busy.
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
	return Step{Reply: a.newReply(request)} // repeated request: the promise or value is already durable
}

// Learn begins to store a chosen value that this replica did not accept. A promise to a higher ballot does not forbid it:
// because the value is chosen, a proposer with a quorum of promises has found this value or a later one. The step has no
// write if the replica already holds the value or a later one, or while another step is open.
func (a *Acceptor) Learn(chosen Accepted) Step {
	if a.writePending || !a.accepted.Ballot.Less(chosen.Ballot) {
		return Step{}
	}
	a.writePending = true
	return Step{Write: &Write{Accepted: &chosen}}
}

// Finish ends a step whose write is durable and returns its reply.
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

// Abandon ends a step whose write failed and returns a reply with the refusal.
func (a *Acceptor) Abandon(step Step, refusal Refusal) Reply {
	a.writePending = false
	if failed := step.Write.Accepted; failed != nil && (a.unconfirmed == nil || a.unconfirmed.Ballot.Less(failed.Ballot)) {
		a.unconfirmed = failed
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
