package register

import (
	"context"
	"time"
)

// exchange sends the messages of one operation and collects the replies. Calls that are open when it is closed continue
// until their own timeout, so that slow replicas still get the messages, and their late replies are dropped.
type exchange struct {
	node        *Node
	replies     chan Reply
	closed      chan struct{}
	outstanding int // calls without a reply; only queryRound decrements and reads it
}

func newExchange(node *Node) *exchange {
	return &exchange{node: node, replies: make(chan Reply), closed: make(chan struct{})}
}

func (e *exchange) close() { close(e.closed) }

func (e *exchange) send(messages []Message, timeout time.Duration) {
	for _, message := range messages {
		if message.Request.Kind == Commit && message.To.ID == e.node.ID() {
			continue // the driver has already learned the value
		}
		e.outstanding++
		go e.call(message, timeout)
	}
}

func (e *exchange) call(message Message, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	reply := e.node.call(ctx, message)
	select {
	case e.replies <- reply:
	case <-e.closed:
	}
}

// call sends a message to a replica, which may be this process, and returns its reply. A failed call returns the refusal
// Unreachable.
func (n *Node) call(ctx context.Context, message Message) Reply {
	request := message.Request
	if message.To.Address == n.options.Address {
		reply := n.handle(ctx, request)
		if reply.Refusal == IdentityMismatch {
			reply.From = message.To // a former identity of this process, whose disk was lost
		}
		return reply
	}
	sent := time.Now()
	var reply Reply
	if err := n.options.Client.Call(ctx, message.To.Address, PathMessage, &request, &reply); err != nil {
		n.recordFailedCall(message.To.Address)
		return Reply{Kind: request.Kind, Ballot: request.Ballot, From: message.To, Refusal: Unreachable}
	}
	n.recordReply(message.To.Address, sent, &reply)
	if reply.Refusal == IdentityMismatch {
		reply.From = message.To // the replica with this identity is no longer at the address
	}
	return reply
}
