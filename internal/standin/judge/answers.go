package judge

import "slices"

// Answered records what a client received.
func (c *Checker) Answered(answer Answer) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r := c.requests[answer.ID]
	if r == nil {
		return
	}
	switch {
	case slices.Contains([]int{408, 421, 429, 503}, answer.Status) && answer.Complete:
		r.rejection = answer.Status
		c.checkRejection(r)
	case answer.Status/100 == 2 && answer.Stream:
		c.checkStream(r, answer)
	case answer.Status/100 == 2:
		c.checkBody(r, answer)
	}
	if made, known := c.made[answer.Stamp]; known && answer.Status/100 != 2 && made.Status != answer.Status {
		c.addViolation(WrongAnswer, "%s: status %d under the stamp of an answer with %d", answer.ID, answer.Status, made.Status)
	}
}

func (c *Checker) checkBody(r *requestState, answer Answer) {
	made, known := c.made[answer.Stamp]
	switch {
	case !known:
		c.addViolation(WrongAnswer, "%s: success under the stamp %q, which no worker issued", r.ID, answer.Stamp)
	case made.ID != r.ID:
		c.addViolation(WrongAnswer, "%s: got the answer of %s", r.ID, made.ID)
	case made.Status != answer.Status:
		c.addViolation(WrongAnswer, "%s: status %d, but the worker sent %d", r.ID, answer.Status, made.Status)
	case answer.Complete && made.Digest != answer.Digest:
		c.addViolation(WrongAnswer, "%s: a complete body differs from the worker's", r.ID)
	}
}

func (c *Checker) checkStream(r *requestState, answer Answer) {
	if !slices.ContainsFunc(r.runs, func(run Run) bool { return run.Stamp == answer.Stamp }) {
		c.addViolation(WrongAnswer, "%s: stream under the stamp %q, which belongs to none of its runs", r.ID, answer.Stamp)
		return
	}
	if answer.Foreign != "" {
		c.addViolation(StreamOrder, "%s: an event that no run made: %.60q", r.ID, answer.Foreign)
	}
	if answer.Unparsed != "" && answer.Complete {
		c.addViolation(WrongAnswer, "%s: bytes outside of events: %.60q", r.ID, answer.Unparsed)
	}
	next := r.ResumeAfter + 1
	for i, piece := range answer.Pieces {
		switch {
		case !c.pieces[piece.Stamp][piece]:
			c.addViolation(WrongAnswer, "%s: piece %+v was never generated", r.ID, piece)
			return
		case piece.From != next:
			c.addViolation(StreamOrder, "%s: piece starts at %d, expected %d", r.ID, piece.From, next)
			return
		case i > 0 && piece.Stamp != answer.Pieces[i-1].Stamp && !r.Resumable:
			c.addViolation(StreamOrder, "%s: pieces of two runs are joined", r.ID)
			return
		}
		if i > 0 && piece.Stamp != answer.Pieces[i-1].Stamp {
			c.resumptions++
		}
		next = piece.To + 1
	}
	if answer.Complete && !endsStream(r, answer.Pieces) {
		c.addViolation(StreamOrder, "%s: ends as complete after %d tokens", r.ID, next-1)
	}
}

// endsStream reports whether the client has the whole stream with these pieces. A stream that resumes after its last piece has none.
func endsStream(r *requestState, pieces []Piece) bool {
	if len(pieces) == 0 {
		return r.ResumeTotal > 0 && r.ResumeAfter == r.ResumeTotal
	}
	last := pieces[len(pieces)-1]
	return last.To == last.Total
}

// checkRejection finds a non-idempotent request that was rejected and ran. It is called for each new run and rejection.
func (c *Checker) checkRejection(r *requestState) {
	if r.rejection != 0 && len(r.runs) > 0 && !r.Idempotent {
		c.addViolation(FalseRejection, "%s was answered %d and ran on %s", r.ID, r.rejection, r.runs[0].Worker)
	}
}
