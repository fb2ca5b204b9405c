package register

// Reader queries the accepted ballots of the members. If a majority has accepted the same ballot, its value is chosen and the read
// needs no write. Reader is a pure state machine. Its driver must deliver replies to the messages of this read only: a reply
// to an earlier read may predate a write that has finished meanwhile, and would make the read stale.
type Reader struct {
	self           Replica
	known          Accepted
	requested      map[string]bool
	valueRequested map[string]bool
	replies        map[string]Reply
}

// NewReader returns the reader of one read. Known is the value with the highest ballot that the driver has.
func NewReader(self Replica, known Accepted) *Reader {
	return &Reader{self: self, known: known, requested: map[string]bool{}, valueRequested: map[string]bool{}, replies: map[string]Reply{}}
}

// Start queries the members of the known value.
func (r *Reader) Start() Output { return Output{Messages: r.queries()} }

// Deliver handles a reply to a message of this read.
func (r *Reader) Deliver(reply Reply) Output {
	if reply.Kind != Query || reply.Refusal != NoRefusal || !r.requested[reply.From.ID] {
		return Output{}
	}
	r.replies[reply.From.ID] = reply
	var messages []Message
	switch {
	case !r.known.Ballot.Less(reply.Accepted):
	case reply.Value != nil:
		r.known = Accepted{Ballot: reply.Accepted, Value: *reply.Value}
		messages = r.queries()
	case !r.valueRequested[reply.From.ID]:
		r.valueRequested[reply.From.ID] = true
		messages = []Message{r.query(reply.From, true)}
	}
	return Output{Messages: messages, Done: r.Done()}
}

// Done reports whether a majority has accepted the known value, which is then chosen.
func (r *Reader) Done() bool {
	return r.known.Value.Quorum(func(id string) bool {
		reply, replied := r.replies[id]
		return replied && reply.Accepted == r.known.Ballot
	})
}

// Known returns the value with the highest ballot so far. It is chosen if Done returns true.
func (r *Reader) Known() Accepted { return r.known }

func (r *Reader) queries() []Message {
	var messages []Message
	for _, replica := range r.known.Value.Members() {
		if !r.requested[replica.ID] {
			r.requested[replica.ID] = true
			messages = append(messages, r.query(replica, false))
		}
	}
	return messages
}

func (r *Reader) query(to Replica, wantValue bool) Message {
	request := Request{Kind: Query, To: to.ID, From: r.self, Known: r.known.Ballot, WantValue: wantValue}
	return Message{To: to, Request: request}
}
