package register

// Reader asks a majority which ballot it has accepted. If it is the same one, its value is chosen, and no write is needed.
// It is pure. Its driver hands it replies to the messages of this read only: a reply to an earlier read may be older than a
// write that has ended since.
type Reader struct {
	self    Replica
	known   Accepted
	asked   map[string]bool
	fetched map[string]bool
	answers map[string]Reply
}

// NewReader returns a read. Known is the highest value that the driver has.
func NewReader(self Replica, known Accepted) *Reader {
	return &Reader{self: self, known: known, asked: map[string]bool{}, fetched: map[string]bool{}, answers: map[string]Reply{}}
}

// Start asks the known set.
func (r *Reader) Start() Output { return Output{Messages: r.ask()} }

// Deliver takes a reply to a message of this read.
func (r *Reader) Deliver(reply Reply) Output {
	if reply.Kind != Query || reply.Refusal != NoRefusal || !r.asked[reply.From.ID] {
		return Output{}
	}
	r.answers[reply.From.ID] = reply
	var messages []Message
	switch {
	case !r.known.Ballot.Less(reply.Accepted):
	case reply.Value != nil:
		r.known = Accepted{Ballot: reply.Accepted, Value: *reply.Value}
		messages = r.ask()
	case !r.fetched[reply.From.ID]:
		r.fetched[reply.From.ID] = true
		messages = []Message{r.message(reply.From, true)}
	}
	return Output{Messages: messages, Done: r.Done()}
}

// Done reports whether a majority holds the known value, which is then chosen.
func (r *Reader) Done() bool {
	return r.known.Value.Quorum(func(id string) bool {
		answer, answered := r.answers[id]
		return answered && answer.Accepted == r.known.Ballot
	})
}

// Known returns the highest value seen. It is chosen if Done.
func (r *Reader) Known() Accepted { return r.known }

func (r *Reader) ask() []Message {
	var messages []Message
	for _, replica := range r.known.Value.Members() {
		if !r.asked[replica.ID] {
			r.asked[replica.ID] = true
			messages = append(messages, r.message(replica, false))
		}
	}
	return messages
}

func (r *Reader) message(to Replica, wantValue bool) Message {
	request := Request{Kind: Query, To: to.ID, From: r.self, Known: r.known.Ballot, WantValue: wantValue}
	return Message{To: to, Request: request}
}
