package register

import (
	"bytes"
	"slices"
)

// Change makes the next value from a chosen one. It may be called more than once in an operation, also on a value that
// holds its own earlier work, if that was in doubt. Of its result Replicas, Previous and Data count. A result that is equal
// in all three ends the operation with the value as it is, and so does an error, which the operation returns.
type Change func(chosen Value) (Value, error)

// Unchanged is the change of a read.
func Unchanged(chosen Value) (Value, error) { return chosen, nil }

// Output is what a Proposer or Reader asks of its driver.
type Output struct {
	Messages []Message
	Retry    bool // call Proposer.Retry after a random back-off
	Done     bool
}

type phase uint8

const (
	idle       phase = iota
	preparing        // asking for promises
	completing       // sending out again what others have left in doubt
	accepting        // sending out the own proposal
	ended
)

// Proposer brings one change to a chosen value, over as many ballots as it takes. It is pure.
type Proposer struct {
	self    Replica
	ballots *BallotGenerator
	change  Change

	base    Accepted // highest value known
	chosen  Ballot   // highest ballot known to be chosen
	learned Accepted // a chosen value that came from elsewhere, for the next ballot

	phase     phase
	ballot    Ballot
	proposal  Value
	requested map[string]bool
	replies   map[string]Reply

	doubtful doubtfulProposals
	result   Accepted
	err      error
}

// doubtfulProposals is what became of own proposals that were sent out and given up. A proposal that no majority has accepted under
// its ballot may still be completed by anyone under a later one. Only a value chosen above it puts an end to that.
type doubtfulProposals struct {
	origins        []Ballot // of the proposals; none: nothing is in doubt
	highest        Ballot
	lowestRevision uint64 // the lowest of theirs
}

func (d *doubtfulProposals) add(proposal *Value) {
	if len(d.origins) == 0 {
		d.lowestRevision = proposal.Revision
	}
	d.origins = append(d.origins, proposal.Origin)
	d.highest = proposal.Origin
	d.lowestRevision = min(d.lowestRevision, proposal.Revision)
}

// pending reports whether one of the proposals may be chosen after the chosen value.
func (d *doubtfulProposals) pending(chosen *Accepted) bool {
	return len(d.origins) > 0 && chosen.Ballot.Less(d.highest)
}

// ruledOut reports whether none of the proposals was or will be chosen. Above their revision, only the change can tell.
func (d *doubtfulProposals) ruledOut(chosen *Accepted) bool {
	return !d.pending(chosen) && chosen.Value.Revision <= d.lowestRevision
}

// NewProposer returns an operation. Known is the highest value that the driver has, with the set to begin with; chosen is
// the highest ballot that the driver knows to be chosen.
func NewProposer(self Replica, ballots *BallotGenerator, known Accepted, chosen Ballot, change Change) *Proposer {
	ballots.Observe(known.Ballot)
	return &Proposer{self: self, ballots: ballots, base: known, chosen: chosen, change: change}
}

// Start begins the first ballot.
func (p *Proposer) Start() Output { return p.prepare() }

// Retry gives the current ballot up and begins another.
func (p *Proposer) Retry() Output {
	if p.phase == ended {
		return Output{Done: true}
	}
	p.recordDoubt()
	return p.prepare()
}

// Learn takes a chosen value that came from elsewhere. It reports whether the current ballot is in vain, so that the driver
// had better call Retry: a higher one was chosen, or the set has moved on.
func (p *Proposer) Learn(chosen Accepted) bool {
	if p.phase == ended || !p.base.Ballot.Less(chosen.Ballot) || !p.learned.Ballot.Less(chosen.Ballot) {
		return false
	}
	p.ballots.Observe(chosen.Ballot)
	p.learned = chosen // not the base of a ballot that may be below it
	return p.ballot.Less(chosen.Ballot) || !slices.Equal(p.base.Value.Members(), chosen.Value.Members())
}

// InDoubt reports whether an own proposal may yet be chosen without this operation knowing.
func (p *Proposer) InDoubt() bool { return len(p.doubtful.origins) > 0 || p.phase == accepting }

// Result returns the end of an operation that is done: the chosen value, and the error of the change if it gave one.
func (p *Proposer) Result() (Accepted, error) { return p.result, p.err }

// Deliver takes a reply. Replies to earlier ballots and doubles are ignored.
func (p *Proposer) Deliver(reply Reply) Output {
	p.ballots.Observe(reply.Promised)
	if reply.Ballot != p.ballot || !p.expects(reply.Kind) || !p.requested[reply.From.ID] {
		return Output{Done: p.phase == ended}
	}
	if old, answered := p.replies[reply.From.ID]; answered && old.Refusal == NoRefusal {
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

// messagesTo addresses a request to those who have not had it in this phase.
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
	// A newer value may have another set: its members have to promise, too.
	messages := p.messagesTo(Request{Kind: Prepare, Known: p.base.Ballot}, p.base.Value.Members())
	if !p.base.Value.Quorum(p.hasAgreed) {
		return Output{Messages: messages}
	}
	output := p.propose()
	output.Messages = append(messages, output.Messages...)
	return output
}

func (p *Proposer) hasAgreed(id string) bool {
	answer, answered := p.replies[id]
	return answered && answer.Refusal == NoRefusal
}

// onRefusal asks for another ballot if a higher one was met, or if no majority is left. The back-off before it leaves those
// who have not answered some time: if they make a majority, this ballot goes on.
func (p *Proposer) onRefusal(reply Reply, value *Value) Output {
	return Output{Retry: reply.Refusal == Superseded || p.quorumImpossible(value)}
}

// quorumImpossible reports whether the refusals leave no majority.
func (p *Proposer) quorumImpossible(value *Value) bool {
	return !value.Quorum(func(id string) bool {
		answer, answered := p.replies[id]
		return !answered || answer.Refusal == NoRefusal
	})
}

// propose decides what to send out, now that a majority of the set of the base has promised.
func (p *Proposer) propose() Output {
	if !p.baseIsChosen() {
		return p.complete()
	}
	return p.onChosen(true)
}

// baseIsChosen reports whether a majority holds the base under its ballot, or whether someone knows it to be chosen.
func (p *Proposer) baseIsChosen() bool {
	if p.chosen == p.base.Ballot { // a higher one would say nothing of the base
		return true
	}
	return p.base.Value.Quorum(func(id string) bool {
		answer, answered := p.replies[id]
		return answered && answer.Refusal == NoRefusal && answer.Accepted == p.base.Ballot
	})
}

// onChosen goes on from a base that is chosen: with the change, if there is a promise to use for it, else with a ballot.
func (p *Proposer) onChosen(promised bool) Output {
	if slices.Contains(p.doubtful.origins, p.base.Value.Origin) {
		return p.finish(p.base, nil) // the own proposal was chosen after all
	}
	if p.doubtful.ruledOut(&p.base) {
		p.doubtful = doubtfulProposals{}
	}
	next, err := p.change(p.base.Value)
	nothing := err != nil || sameContent(&next, &p.base.Value)
	switch {
	case nothing && !p.doubtful.pending(&p.base):
		return p.finish(p.base, err)
	case !promised:
		return p.prepare()
	case nothing:
		return p.complete() // chosen anew above the proposals in doubt, the base puts an end to them
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

// complete sends the base out again under the own ballot.
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
	former := p.base.Value.Members()
	p.base = Accepted{Ballot: p.ballot, Value: p.proposal}
	p.chosen = p.ballot
	var output Output
	commits := p.commit(former)
	if p.phase == accepting {
		output = p.finish(p.base, nil)
	} else {
		output = p.onChosen(false)
	}
	output.Messages = append(commits, output.Messages...)
	return output
}

// commit tells the members of the chosen value, and those that are no longer among them.
func (p *Proposer) commit(former []Replica) []Message {
	p.requested = map[string]bool{}
	request := Request{Kind: Commit}
	messages := p.messagesTo(request, p.base.Value.Members())
	return append(messages, p.messagesTo(request, former)...)
}

func (p *Proposer) finish(result Accepted, err error) Output {
	p.phase = ended
	p.doubtful = doubtfulProposals{}
	p.result, p.err = result, err
	return Output{Done: true}
}

// recordDoubt remembers an own proposal that is given up while it may yet be chosen.
func (p *Proposer) recordDoubt() {
	if p.phase == accepting {
		p.doubtful.add(&p.proposal)
	}
}
