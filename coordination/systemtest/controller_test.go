package systemtest

import (
	"context"
	"fmt"
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/vmihailenco/msgpack/v5"

	"weldscale/coordination/lease"
	"weldscale/coordination/register"
	"weldscale/coordination/sim"
	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

// Intervals and timeouts of a controller.
const (
	leaseHeartbeat    = 200 * time.Millisecond
	leaseCallTimeout  = 400 * time.Millisecond
	claimTimeout      = time.Second
	operatorTimeout   = 1500 * time.Millisecond
	listReadInterval  = 500 * time.Millisecond
	maxListReadTime   = 300 * time.Millisecond
	pollCheckInterval = 20 * time.Millisecond
	roleReader        = "reader"
)

// state is the data of the register: a log of changes, of which the last one is the configuration, and the record of the role.
type state struct {
	Log    []string
	Reader lease.Record
}

func decodeState(data []byte) state {
	var decoded state
	if len(data) > 0 {
		must(msgpack.Unmarshal(data, &decoded))
	}
	return decoded
}

func (s state) encode() []byte {
	data, err := msgpack.Marshal(s)
	must(err)
	return data
}

func must(err error) {
	if err != nil {
		panic(err)
	}
}

// Messages between controllers and from clients, in addition to those of the packages.
type (
	heartbeat struct {
		Lease    lease.Message
		Revision uint64
		List     listMessage
	}
	heartbeatReply struct {
		Lease    lease.Reply
		Revision uint64
		List     listMessage
	}
	listMessage struct {
		Version fleetwire.ListVersion
		Content string
	}
	// clientRequest appends an identifier to the log, or reads the log if the identifier is empty.
	clientRequest struct{ Append string }
	clientReply   struct {
		Log   []string
		Error error
	}
)

// controller is a replica of the register with a lease participant and a watch hub.
type controller struct {
	process           *sim.Process
	deployment        *deployment
	node              *node
	self              lease.Member
	participant       *lease.Participant
	hub               *watch.Hub
	list              listMessage
	readCount         int
	heartbeatsPending map[string]bool
	polls             []*heldPoll
	synced            bool // the register was read once since the start
	readPending       bool // a read for a newer revision is in progress
}

// heldPoll is a long poll that is not answered yet.
type heldPoll struct {
	request    fleetwire.WatchRequest
	receivedAt time.Duration
	answer     func(any)
}

func startController(process *sim.Process, deployment *deployment) *controller {
	c := &controller{process: process, deployment: deployment, heartbeatsPending: map[string]bool{}}
	c.self = lease.Member{Address: process.Name(), Life: fmt.Sprint(process.Incarnation())}
	c.participant = lease.New(c.self, []string{roleReader}, lease.DefaultTiming(), process.Monotonic(), deployment.bootstrap)
	c.node = newNode(process, deployment)
	c.hub = watch.NewHub(watch.HubOptions{QuorumAge: c.node.quorumAge})
	c.node.onChosen = c.publish
	process.OnCall(c.serve)
	c.node.start()
	process.Every(leaseHeartbeat, c.sendHeartbeats)
	process.Every(listReadInterval, c.readList)
	process.Every(pollCheckInterval, c.answerPolls)
	process.Every(leaseHeartbeat, c.sync)
	return c
}

func (c *controller) serve(_ string, request any, answer func(any)) {
	switch request := request.(type) {
	case register.Request:
		c.node.serve(request, func(reply register.Reply) { answer(reply) })
	case heartbeat:
		c.participant.SetVotersInDoubt(c.node.replicaSetInDoubt())
		reply := c.participant.Receive(c.process.Monotonic(), request.Lease)
		c.handlePeerState(request.Revision, request.List)
		answer(heartbeatReply{Lease: reply, Revision: c.node.chosen.Value.Revision, List: c.list})
	case listMessage:
		c.adoptList(request)
		answer(listMessage{})
	case fleetwire.WatchRequest:
		c.polls = append(c.polls, &heldPoll{request: request, receivedAt: c.process.Monotonic(), answer: answer})
		c.answerPolls()
	case clientRequest:
		c.serveClient(request, answer)
	}
}

func (c *controller) serveClient(request clientRequest, answer func(any)) {
	done := func(chosen register.Accepted, err error) {
		if err != nil {
			answer(clientReply{Error: err})
			return
		}
		answer(clientReply{Log: decodeState(chosen.Value.Data).Log})
	}
	if request.Append == "" {
		c.node.read(operatorTimeout, done)
		return
	}
	c.update(func(s state) state {
		if !slices.Contains(s.Log, request.Append) {
			s.Log = append(slices.Clone(s.Log), request.Append)
		}
		return s
	}, operatorTimeout, done)
}

func (c *controller) update(change func(state) state, timeout time.Duration, done func(register.Accepted, error)) {
	c.node.propose(func(value register.Value) (register.Value, error) {
		before := decodeState(value.Data)
		after := change(before)
		if len(after.Log) == len(before.Log) && after.Reader == before.Reader {
			return value, nil
		}
		value.Data, value.Previous = after.encode(), nil
		return value, nil
	}, timeout, done)
}

// publish passes a newly chosen state to the lease participant and the hub.
func (c *controller) publish() {
	value := c.node.chosen.Value
	current := decodeState(value.Data)
	replicas := c.voters()
	c.participant.Learn(c.process.Monotonic(), replicas, map[string]lease.Record{roleReader: current.Reader})
	if changes := len(current.Log); changes > 0 {
		config := &fleetwire.Config{Version: int64(changes), Routes: []fleetwire.Route{{Name: current.Log[changes-1]}}}
		must(c.hub.PublishConfig(uint64(changes), config))
	}
	c.hub.SetControllers(replicas)
	c.answerPolls()
}

// voters returns the sorted addresses of the replicas.
func (c *controller) voters() []string {
	addresses := lo.Map(c.node.chosen.Value.Replicas, func(r register.Replica, _ int) string { return r.Address })
	return slices.Compact(slices.Sorted(slices.Values(addresses)))
}

// sync reads the register until one read has succeeded since the start.
func (c *controller) sync() {
	if !c.synced {
		c.node.read(claimTimeout, func(_ register.Accepted, err error) {
			if err == nil {
				c.synced = true
				c.participant.MarkSynced()
			}
		})
	}
}

func (c *controller) peerAddresses() []string {
	replicas := lo.Map(c.node.chosen.Value.Members(), func(r register.Replica, _ int) string { return r.Address })
	return lo.Without(lo.Uniq(append(replicas, c.deployment.seeds...)), c.process.Name())
}

// sendHeartbeats sends heartbeats to the other controllers and claims vacant roles.
func (c *controller) sendHeartbeats() {
	now := c.process.Monotonic()
	healthy := c.node.quorumAge() <= watch.DefaultMaxQuorumAge
	c.participant.SetVotersInDoubt(c.node.replicaSetInDoubt())
	message := heartbeat{Lease: c.participant.Heartbeat(now, healthy), Revision: c.node.chosen.Value.Revision, List: c.list}
	for _, address := range c.peerAddresses() {
		if c.heartbeatsPending[address] {
			continue
		}
		c.heartbeatsPending[address] = true
		c.process.Call(address, message, leaseCallTimeout, func(answer any, err error) {
			c.heartbeatsPending[address] = false
			if err == nil {
				reply := answer.(heartbeatReply)
				c.participant.HandleReply(now, c.process.Monotonic(), reply.Lease)
				c.handlePeerState(reply.Revision, reply.List)
			}
		})
	}
	for _, claim := range c.participant.Claims(now) {
		c.claimRole(claim)
	}
}

func (c *controller) claimRole(claim lease.Claim) {
	c.update(func(s state) state {
		if s.Reader.Token == claim.Previous {
			s.Reader = lease.Record{Holder: c.self, Token: claim.Previous + 1}
		}
		return s
	}, claimTimeout, func(register.Accepted, error) {})
}

// handlePeerState adopts the list of another controller, and reads the register if that controller knows a newer revision.
func (c *controller) handlePeerState(revision uint64, list listMessage) {
	c.adoptList(list)
	if revision > c.node.chosen.Value.Revision && !c.readPending {
		c.readPending = true
		c.node.read(claimTimeout, func(register.Accepted, error) { c.readPending = false })
	}
}

// holds reports whether this controller may act in the role now, and under which token.
func (c *controller) holds() (uint64, bool) {
	token, held := c.participant.Holds(c.process.Monotonic(), roleReader)
	if held && c.deployment.defects.reusesToken {
		token = 1 // each holder acts under the same token
	}
	return token, held
}

// readList reads a list of workers if this controller holds the role. The result is discarded if the controller has lost the
// role during the read.
func (c *controller) readList() {
	token, held := c.holds()
	if !held {
		return
	}
	c.readCount++
	content := fmt.Sprintf("%s/%s/%d", c.self.Address, c.self.Life, c.readCount)
	c.process.After(c.process.World().Between(0, maxListReadTime), func() {
		if tokenNow, held := c.holds(); !held || tokenNow != token || token < c.list.Version.Token {
			return
		}
		sequence := uint64(1)
		if token == c.list.Version.Token {
			sequence = c.list.Version.Sequence + 1
		}
		message := listMessage{Version: fleetwire.ListVersion{Token: token, Sequence: sequence}, Content: content}
		c.deployment.checker.checkAction(c.self, message)
		c.adoptList(message)
		for _, address := range c.peerAddresses() {
			c.process.Call(address, message, leaseCallTimeout, func(any, error) {})
		}
	})
}

func (c *controller) adoptList(message listMessage) {
	if !c.list.Version.Less(message.Version) {
		return
	}
	c.list = message
	must(c.hub.PublishInstances(message.Version, []fleetwire.Instance{{ID: message.Content}}))
	c.answerPolls()
}

// answerPolls answers the long polls for which there is a newer version or whose wait is over. It answers all of them if the
// quorum contact is stale.
func (c *controller) answerPolls() {
	now := c.process.Monotonic()
	version := c.hub.Current().Version
	c.polls = slices.DeleteFunc(c.polls, func(p *heldPoll) bool {
		have, wait := p.request.Have, time.Duration(p.request.WaitMs)*time.Millisecond
		newer := version.ConfigRevision > have.ConfigRevision || have.Instances.Less(version.Instances)
		if !newer && now-p.receivedAt < wait && c.node.quorumAge() < watch.DefaultMaxQuorumAge {
			return false
		}
		request := p.request
		request.WaitMs = 0
		reply, err := c.hub.Serve(context.Background(), request)
		must(err)
		reply.HeldMs, reply.ListAgeMs = (now - p.receivedAt).Milliseconds(), 0 // the hub measured these with the real clock
		p.answer(reply)
		return true
	})
}
