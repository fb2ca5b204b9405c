package register

import (
	"context"
	"net/http"

	"weldscale/coordination/transport"
)

// PathMessage is the HTTP path of all calls between nodes.
const PathMessage = "/internal/register/message"

// maxDiskQueue limits the number of requests that wait for the disk, so that a hung disk does not exhaust memory.
const maxDiskQueue = 16

// Register mounts the handler for the calls of other nodes.
func (n *Node) Register(mux *http.ServeMux) {
	mux.Handle(PathMessage, transport.Handle(n.serve))
}

func (n *Node) serve(ctx context.Context, request Request) (*Reply, error) {
	reply := n.handle(ctx, request)
	return &reply, nil
}

// handle serves a request from another node or from an operation of this node. Only Prepare and Accept wait for the disk.
func (n *Node) handle(ctx context.Context, request Request) Reply {
	n.recordRequester(request.From)
	switch request.Kind {
	case Query:
		return n.handleQuery(request)
	case Prepare, Accept:
		return n.handleWrite(ctx, request)
	case Commit:
		return n.handleCommit(request)
	}
	return n.handleFetch(request)
}

func (n *Node) handleQuery(request Request) Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptor == nil {
		return n.newReply(request, IdentityMismatch)
	}
	reply := n.acceptor.Begin(request).Reply
	reply.Chosen = n.chosen.Ballot
	return reply
}

// newReply returns a reply without ballots of the acceptor. The caller holds n.mu.
func (n *Node) newReply(request Request, refusal Refusal) Reply {
	reply := Reply{Kind: request.Kind, Ballot: request.Ballot, Refusal: refusal, Chosen: n.chosen.Ballot}
	reply.From.Address = n.options.Address
	if n.acceptor != nil {
		reply.From = n.acceptor.Self()
	}
	return reply
}

// handleWrite serves a Prepare or Accept, which may need the disk. It holds the disk slot meanwhile.
func (n *Node) handleWrite(ctx context.Context, request Request) Reply {
	if refusal := n.acquireDisk(ctx); refusal != NoRefusal {
		n.mu.Lock()
		defer n.mu.Unlock()
		return n.newReply(request, refusal)
	}
	defer func() { <-n.diskSlot }()
	step := n.beginStep(request)
	if step.Write == nil {
		return step.Reply
	}
	return n.persist(step)
}

// persist makes the write of a step durable and returns the reply. The caller holds the disk slot.
func (n *Node) persist(step Step) Reply {
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

func (n *Node) beginStep(request Request) Step {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.acceptor == nil {
		return Step{Reply: n.newReply(request, IdentityMismatch)}
	}
	step := n.acceptor.Begin(request)
	step.Reply.Chosen = n.chosen.Ballot
	return step
}

func (n *Node) acquireDisk(ctx context.Context) Refusal {
	if !n.enterDiskQueue() {
		return Busy
	}
	defer n.leaveDiskQueue()
	select {
	case n.diskSlot <- struct{}{}:
		return NoRefusal
	case <-ctx.Done():
		return Busy
	}
}

// Close waits for the write in progress and prevents later ones, so that the disk can be used without this node, for example by a
// successor. It stops waiting when ctx is done, because a disk may hang; later writes are then not prevented.
func (n *Node) Close(ctx context.Context) {
	select {
	case n.diskSlot <- struct{}{}:
	case <-ctx.Done():
	}
}

func (n *Node) enterDiskQueue() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.diskQueueLength == maxDiskQueue {
		return false
	}
	n.diskQueueLength++
	return true
}

func (n *Node) leaveDiskQueue() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.diskQueueLength--
}

// handleCommit learns the chosen value, from the local acceptor if it holds the ballot, else by a fetch from the proposer.
func (n *Node) handleCommit(request Request) Reply {
	if !n.confirmChosen(request.Ballot) {
		n.fetchChosen(request.Ballot, request.From.Address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newReply(request, NoRefusal)
}

// confirmChosen learns that a ballot is chosen if the local acceptor holds its value. It returns false if the value has to be
// fetched.
func (n *Node) confirmChosen(ballot Ballot) bool {
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

// handleFetch serves a FetchChosen.
func (n *Node) handleFetch(request Request) Reply {
	n.mu.Lock()
	defer n.mu.Unlock()
	reply := n.newReply(request, NoRefusal)
	reply.Accepted = n.chosen.Ballot
	reply.Revision = n.chosen.Value.Revision
	if request.Known.Less(n.chosen.Ballot) {
		value := n.chosen.Value
		reply.Value = &value
	}
	return reply
}
