package register

import (
	"context"
	"net/http"

	"weldscale/coordination/transport"
)

// PathMessage is the path of all calls between nodes.
const PathMessage = "/internal/register/message"

// maxDiskQueue bounds the requests that wait for the disk, so that a hung one costs no memory.
const maxDiskQueue = 16

// Register mounts the calls of other nodes.
func (n *Node) Register(mux *http.ServeMux) {
	mux.Handle(PathMessage, transport.Handle(n.serve))
}

func (n *Node) serve(ctx context.Context, request Request) (*Reply, error) {
	reply := n.handle(ctx, request)
	return &reply, nil
}

// handle takes a request of another node or of an own operation. It never waits for the disk on a Query or Learn.
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

// newReply needs the lock.
func (n *Node) newReply(request Request, refusal Refusal) Reply {
	reply := Reply{Kind: request.Kind, Ballot: request.Ballot, Refusal: refusal, Chosen: n.chosen.Ballot}
	reply.From.Address = n.options.Address
	if n.acceptor != nil {
		reply.From = n.acceptor.Self()
	}
	return reply
}

// handleWrite takes a request that may need the disk. The disk has one user at a time.
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

// persist makes the write of a step durable. The caller has the disk.
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

// Close lets the write that is under way end, and no other begins: the process, or a successor on the same disk, may go on without
// this node. It waits until ctx is done at most, since a disk may hang.
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

// handleCommit learns what is chosen: from the own acceptor if it holds that ballot, else from the proposer.
func (n *Node) handleCommit(request Request) Reply {
	if !n.confirmChosen(request.Ballot) {
		n.fetchChosen(request.Ballot, request.From.Address)
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.newReply(request, NoRefusal)
}

// confirmChosen learns that a ballot is chosen, if the own acceptor holds its value. It reports whether there is nothing to fetch.
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

// handleFetch answers a Learn.
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
