package register

import (
	"context"
	"net/http"

	"weldscale/coordination/transport"
)

// PathMessage is the path of all calls between nodes.
const PathMessage = "/internal/register/message"

// maxWaiting bounds the requests that wait for the disk, so that a hung one costs no memory.
const maxWaiting = 16

// Register mounts the calls of other nodes.
func (n *Node) Register(mux *http.ServeMux) {
	mux.Handle(PathMessage, transport.Handle(n.serve))
}

func (n *Node) serve(ctx context.Context, request Request) (*Reply, error) {
	reply := n.answer(ctx, request)
	return &reply, nil
}

// answer takes a request of another node or of an own operation. It never waits for the disk on a Query or Learn.
func (n *Node) answer(ctx context.Context, request Request) Reply {
	n.heardOf(request.From)
	switch request.Kind {
	case Query:
		return n.query(request)
	case Prepare, Accept:
		return n.write(ctx, request)
	case Commit:
		return n.commit(request)
	}
	return n.teach(request)
}

func (n *Node) query(request Request) Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptor == nil {
		return n.refusal(request, IdentityMismatch)
	}
	reply := n.acceptor.Begin(request).Reply
	reply.Chosen = n.chosen.Ballot
	return reply
}

// refusal needs the lock.
func (n *Node) refusal(request Request, refusal Refusal) Reply {
	reply := Reply{Kind: request.Kind, Ballot: request.Ballot, Refusal: refusal, Chosen: n.chosen.Ballot}
	reply.From.Address = n.options.Address
	if n.acceptor != nil {
		reply.From = n.acceptor.Self()
	}
	return reply
}

// write takes a request that may need the disk. The disk has one user at a time.
func (n *Node) write(ctx context.Context, request Request) Reply {
	if refusal := n.awaitDisk(ctx); refusal != NoRefusal {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.refusal(request, refusal)
	}
	defer func() { <-n.writing }()
	step := n.begin(request)
	if step.Write == nil {
		return step.Reply
	}
	return n.finish(step)
}

// finish makes the write of a step durable. The caller has the disk.
func (n *Node) finish(step Step) Reply {
	refusal := n.disk.Write(step.Write)
	n.mu.Lock()
	defer n.mu.Unlock()
	var reply Reply
	if refusal == NoRefusal {
		reply = n.acceptor.Finish(step)
	} else {
		reply = n.acceptor.Abandon(step, refusal)
	}
	reply.Chosen = n.chosen.Ballot
	return reply
}

func (n *Node) begin(request Request) Step {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptor == nil {
		return Step{Reply: n.refusal(request, IdentityMismatch)}
	}
	step := n.acceptor.Begin(request)
	step.Reply.Chosen = n.chosen.Ballot
	return step
}

func (n *Node) awaitDisk(ctx context.Context) Refusal {
	if !n.queueForDisk() {
		return Busy
	}
	defer n.leaveQueue()
	select {
	case n.writing <- struct{}{}:
		return NoRefusal
	case <-ctx.Done():
		return Busy
	}
}

// Close lets the write that is under way end, and no other begins: the process, or a successor on the same disk, may go on without
// this node. It waits until ctx is done at most, since a disk may hang.
func (n *Node) Close(ctx context.Context) {
	select {
	case n.writing <- struct{}{}:
	case <-ctx.Done():
	}
}

func (n *Node) queueForDisk() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.waiting == maxWaiting {
		return false
	}
	n.waiting++
	return true
}

func (n *Node) leaveQueue() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.waiting--
}

// commit learns what is chosen: from the own acceptor if it holds that ballot, else from the proposer.
func (n *Node) commit(request Request) Reply {
	if !n.confirm(request.Ballot) {
		n.fetchChosen(request.Ballot, request.From.Address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.refusal(request, NoRefusal)
}

// confirm learns that a ballot is chosen, if the own acceptor holds its value. It reports whether there is nothing to fetch.
func (n *Node) confirm(ballot Ballot) bool {
	n.mu.Lock()
	known := !n.chosen.Ballot.Less(ballot)
	var accepted Accepted
	if n.acceptor != nil {
		accepted = n.acceptor.Accepted()
	}
	n.mu.Unlock()
	if known {
		return true
	}
	if accepted.Ballot != ballot {
		return false
	}
	n.learnChosen(accepted)
	return true
}

// teach answers a Learn.
func (n *Node) teach(request Request) Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	reply := n.refusal(request, NoRefusal)
	reply.Accepted = n.chosen.Ballot
	reply.Revision = n.chosen.Value.Revision
	if request.Known.Less(n.chosen.Ballot) {
		value := n.chosen.Value
		reply.Value = &value
	}
	return reply
}
