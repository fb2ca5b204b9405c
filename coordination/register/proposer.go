package register

import (
	"bytes"
	"slices"
)

// Change computes the next value from a chosen one. An operation may call it more than once, also on a value to which an earlier
// call was already applied, if that proposal was in doubt. Only Replicas, Previous and Data of the result are used. If all
// three are equal to those of the chosen value, the operation ends without a write. An error also ends the operation, which
// returns it.
type Change func(chosen Value) (Value, error)

// Unchanged is the Change of a read: it returns the chosen value.
func Unchanged(chosen Value) (Value, error) { return chosen, nil }

// Output tells the driver of a Proposer or Reader what to do next.
type Output struct {
	Messages []Message
	Retry    bool // the driver calls Proposer.Retry after a random backoff
	Done     bool // the operation has ended
}

type phase uint8

const (
	idle       phase = iota
	preparing        // collecting promises
	completing       // proposing the base again, because it is in doubt
	accepting        // proposing the result of the change
	ended
)

// Proposer applies one change to the chosen value, with as many ballots as needed. It is a pure state machine.
type Proposer struct {
	self    Replica
	ballots *BallotGenerator
	change  Change

	base    Accepted // known value with the highest ballot
	chosen  Ballot   // highest ballot known to be chosen
	learned Accepted // chosen value from another source, to be used by the next ballot

	phase     phase
	ballot    Ballot
	proposal  Value
	requested map[string]bool
	replies   map[string]Reply

	doubtful doubtfulProposals
	result   Accepted
	err      error
}

// doubtfulProposals records the proposals that this proposer sent and gave up. Another proposer may still complete such a proposal
// under a later ballot, even if no majority accepted it under its own. Only a value chosen under a higher ballot rules that out.
type doubtfulProposals struct {
	origins        []Ballot // origins of the proposals; empty if none is in doubt
	highest        Ballot   // highest ballot of the proposals
	lowestRevision uint64   // lowest revision of the proposals
}

func (d *doubtfulProposals) add(proposal *Value) {
	if len(d.origins) == 0 {
		d.lowestRevision = proposal.Revision
	}
	d.origins = append(d.origins, proposal.Origin)
	d.highest = proposal.Origin
	d.lowestRevision = min(d.lowestRevision, proposal.Revision)
}

// pending reports whether one of the proposals may still be chosen on top of the chosen value.
func (d *doubtfulProposals) pending(chosen *Accepted) bool {
	return len(d.origins) > 0 && chosen.Ballot.Less(d.highest)
}

// ruledOut reports whether none of the proposals was or can be chosen. If the chosen revision is above the lowest of theirs, one
// of them may be part of the chosen value, which only the change can detect.
func (d *doubtfulProposals) ruledOut(chosen *Accepted) bool {
	return !d.pending(chosen) && chosen.Value.Revision <= d.lowestRevision
}

// NewProposer returns the proposer of one operation. Known is the value with the highest ballot that the driver has; its replica
// set is asked first. Chosen is the highest ballot that the driver knows to be chosen.
func NewProposer(self Replica, ballots *BallotGenerator, known Accepted, chosen Ballot, change Change) *Proposer {
	ballots.Observe(known.Ballot)
	return &Proposer{self: self, ballots: ballots, base: known, chosen: chosen, change: change}
}

// Start begins the first ballot.
func (p *Proposer) Start() Output { return p.prepare() }

// Retry abandons the current ballot and begins another.
func (p *Proposer) Retry() Output {
	if p.phase == ended {
		return Output{Done: true}
	}
	p.recordDoubt()
	return p.prepare()
}

// Learn takes a chosen value from another source. It reports whether the driver should call Retry because the current ballot is
// obsolete: the chosen value has a higher ballot or other members.
func (p *Proposer) Learn(chosen Accepted) bool {
	if p.phase == ended || !p.base.Ballot.Less(chosen.Ballot) || !p.learned.Ballot.Less(chosen.Ballot) {
		return false
	}
	p.ballots.Observe(chosen.Ballot)
	p.learned = chosen // not yet the base: the current ballot may be below it
	return p.ballot.Less(chosen.Ballot) || !slices.Equal(p.base.Value.Members(), chosen.Value.Members())
}

// InDoubt reports whether a proposal of this operation may be chosen without the operation knowing it.
func (p *Proposer) InDoubt() bool { return len(p.doubtful.origins) > 0 || p.phase == accepting }

// Result returns the outcome of a finished operation: the chosen value, and the error of the change if there was one.
func (p *Proposer) Result() (Accepted, error) { return p.result, p.err }

// Deliver handles a reply. It ignores duplicates and replies to earlier ballots or phases.
func (p *Proposer) Deliver(reply Reply) Output {
	p.ballots.Observe(reply.Promised)
	if reply.Ballot != p.ballot || !p.expects(reply.Kind) || !p.requested[reply.From.ID] {
		return Output{Done: p.phase == ended}
	}
	if old, replied := p.replies[reply.From.ID]; replied && old.Refusal == NoRefusal {
		return Output{}
	}
	p.replies[reply.From.ID] = reply
	if p.phase == preparing {
		return p.onPromise(reply)
	}
	if reply.Refusal != NoRefusal {
		return p.onRefusal(reply, &p.proposal)
	}
	return p.onAccept()
}

func (p *Proposer) expects(kind Kind) bool {
	switch p.phase {
	case preparing:
		return kind == Prepare
	case completing, accepting:
		return kind == Accept
	}
	return false
}

func (p *Proposer) prepare() Output {
	p.phase = preparing
	if p.base.Ballot.Less(p.learned.Ballot) {
		p.base, p.chosen = p.learned, p.learned.Ballot
	}
	p.ballot = p.ballots.Next()
	p.requested = map[string]bool{}
	p.replies = map[string]Reply{}
	return Output{Messages: p.messagesTo(Request{Kind: Prepare, Known: p.base.Ballot}, p.base.Value.Members())}
}

// messagesTo returns a request for each of the replicas that has not had one in this phase.
func (p *Proposer) messagesTo(request Request, replicas []Replica) []Message {
	var messages []Message
	for _, replica := range replicas {
		if p.requested[replica.ID] {
			continue
		}
		p.requested[replica.ID] = true
		request.To, request.From, request.Ballot = replica.ID, p.self, p.ballot
		messages = append(messages, Message{To: replica, Request: request})
	}
	return messages
}

func (p *Proposer) onPromise(reply Reply) Output {
	if p.chosen.Less(reply.Chosen) {
		p.chosen = reply.Chosen
	}
	if reply.Refusal != NoRefusal {
		return p.onRefusal(reply, &p.base.Value)
	}
	if reply.Value != nil && p.base.Ballot.Less(reply.Accepted) {
		p.base = Accepted{Ballot: reply.Accepted, Value: *reply.Value}
	}
	// A newer value may have another set, whose members have to promise as well.
	messages := p.messagesTo(Request{Kind: Prepare, Known: p.base.Ballot}, p.base.Value.Members())
	if !p.base.Value.Quorum(p.hasAgreed) {
		return Output{Messages: messages}
	}
	output := p.propose()
	output.Messages = append(messages, output.Messages...)
	return output
}

func (p *Proposer) hasAgreed(id string) bool {
	reply, replied := p.replies[id]
	return replied && reply.Refusal == NoRefusal
}

// onRefusal requests a retry if a higher ballot was promised or if the refusals leave no majority. During the backoff before the
// retry, more replies may arrive and complete a majority, and the ballot then continues.
func (p *Proposer) onRefusal(reply Reply, value *Value) Output {
	return Output{Retry: reply.Refusal == Superseded || p.quorumImpossible(value)}
}

// quorumImpossible reports whether the replicas that have not refused are no majority.
func (p *Proposer) quorumImpossible(value *Value) bool {
	return !value.Quorum(func(id string) bool {
		reply, replied := p.replies[id]
		return !replied || reply.Refusal == NoRefusal
	})
}

// propose continues after a majority of the set of the base has promised: it completes a base in doubt or applies the change.
func (p *Proposer) propose() Output {
	if !p.baseIsChosen() {
		return p.complete()
	}
	return p.onChosen(true)
}

// baseIsChosen reports whether a majority has accepted the base under its ballot, or whether it is already known to be chosen.
func (p *Proposer) baseIsChosen() bool {
	if p.chosen == p.base.Ballot { // a higher chosen ballot does not imply that the base is chosen
		return true
	}
	return p.base.Value.Quorum(func(id string) bool {
		reply, replied := p.replies[id]
		return replied && reply.Refusal == NoRefusal && reply.Accepted == p.base.Ballot
	})
}

// onChosen continues from a base that is chosen. If there are promises that the change can use, it proposes the changed value,
// else it begins a new ballot.
func (p *Proposer) onChosen(promised bool) Output {
	if slices.Contains(p.doubtful.origins, p.base.Value.Origin) {
		return p.finish(p.base, nil) // a proposal of this operation that was in doubt has been chosen
	}
	if p.doubtful.ruledOut(&p.base) {
		p.doubtful = doubtfulProposals{}
	}
	next, err := p.change(p.base.Value)
	unchanged := err != nil || sameContent(&next, &p.base.Value)
	switch {
	case unchanged && !p.doubtful.pending(&p.base):
		return p.finish(p.base, err)
	case !promised:
		return p.prepare()
	case unchanged:
		return p.complete() // choosing the base again, under a higher ballot, rules out the proposals in doubt
	}
	next.Revision = p.base.Value.Revision + 1
	next.DataRevision = p.base.Value.DataRevision
	if !bytes.Equal(next.Data, p.base.Value.Data) {
		next.DataRevision = next.Revision
	}
	next.Origin = p.ballot
	p.proposal = next
	return p.accept(accepting)
}

func sameContent(a, b *Value) bool {
	return bytes.Equal(a.Data, b.Data) && slices.Equal(a.Replicas, b.Replicas) && slices.Equal(a.Previous, b.Previous)
}

// complete proposes the base again under the current ballot.
func (p *Proposer) complete() Output {
	p.proposal = p.base.Value
	return p.accept(completing)
}

func (p *Proposer) accept(as phase) Output {
	p.phase = as
	p.requested = map[string]bool{}
	p.replies = map[string]Reply{}
	value := p.proposal
	return Output{Messages: p.messagesTo(Request{Kind: Accept, Known: p.ballot, Value: &value}, value.Members())}
}

func (p *Proposer) onAccept() Output {
	if !p.proposal.Quorum(p.hasAgreed) {
		return Output{}
	}
	previousMembers := p.base.Value.Members()
	p.base = Accepted{Ballot: p.ballot, Value: p.proposal}
	p.chosen = p.ballot
	var output Output
	commits := p.commit(previousMembers)
	if p.phase == accepting {
		output = p.finish(p.base, nil)
	} else {
		output = p.onChosen(false)
	}
	output.Messages = append(commits, output.Messages...)
	return output
}

// commit returns the commits to the members of the chosen value and to the members of the previous one.
func (p *Proposer) commit(previousMembers []Replica) []Message {
	p.requested = map[string]bool{}
	request := Request{Kind: Commit}
	messages := p.messagesTo(request, p.base.Value.Members())
	return append(messages, p.messagesTo(request, previousMembers)...)
}

func (p *Proposer) finish(result Accepted, err error) Output {
	p.phase = ended
	p.doubtful = doubtfulProposals{}
	p.result, p.err = result, err
	return Output{Done: true}
}

// recordDoubt records the current proposal if it is abandoned while it may still be chosen.
func (p *Proposer) recordDoubt() {
	if p.phase == accepting {
		p.doubtful.add(&p.proposal)
	}
}
