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

// Spans of a controller.
const (
	leaseBeat        = 200 * time.Millisecond
	leaseCallTimeout = 400 * time.Millisecond
	claimBudget      = time.Second
	operatorBudget   = 1500 * time.Millisecond
	readEvery        = 500 * time.Millisecond
	longestReading   = 300 * time.Millisecond
	pollCheck        = 20 * time.Millisecond
	roleReader       = "reader"
)

// state is what the register holds: a log of changes, the last of which is the configuration, and the roles.
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

// Messages of controllers and their clients, beside those of the packages.
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
	// clientRequest appends an identifier to the log, or reads the log if it is empty.
	clientRequest struct{ Append string }
	clientReply   struct {
		Log   []string
		Error error
	}
)

// controller is a replica with the leases and the hub of watchers.
type controller struct {
	process  *sim.Process
	site     *site
	node     *node
	self     lease.Member
	decider  *lease.Participant
	hub      *watch.Hub
	list     listMessage
	readings int
	beating  map[string]bool
	polls    []*heldPoll
	synced   bool
	catching bool
}

type heldPoll struct {
	request fleetwire.WatchRequest
	since   time.Duration
	answer  func(any)
}

func startController(process *sim.Process, site *site) *controller {
	c := &controller{process: process, site: site, beating: map[string]bool{}}
	c.self = lease.Member{Address: process.Name(), Life: fmt.Sprint(process.Incarnation())}
	c.decider = lease.New(c.self, []string{roleReader}, lease.DefaultTiming(), process.Monotonic(), site.bootstrap)
	c.node = newNode(process, site)
	c.hub = watch.NewHub(watch.HubOptions{QuorumAge: c.node.quorumAge})
	c.node.onChosen = c.publish
	process.OnCall(c.serve)
	c.node.start()
	process.Every(leaseBeat, c.beat)
	process.Every(readEvery, c.readList)
	process.Every(pollCheck, c.answerPolls)
	process.Every(leaseBeat, c.sync)
	return c
}

func (c *controller) serve(_ string, request any, answer func(any)) {
	switch request := request.(type) {
	case register.Request:
		c.node.serve(request, func(reply register.Reply) { answer(reply) })
	case heartbeat:
		c.decider.SetVotersInDoubt(c.node.setInDoubt())
		reply := c.decider.Receive(c.process.Monotonic(), request.Lease)
		c.hear(request.Revision, request.List)
		answer(heartbeatReply{Lease: reply, Revision: c.node.chosen.Value.Revision, List: c.list})
	case listMessage:
		c.offer(request)
		answer(listMessage{})
	case fleetwire.WatchRequest:
		c.polls = append(c.polls, &heldPoll{request: request, since: c.process.Monotonic(), answer: answer})
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
		c.node.read(operatorBudget, done)
		return
	}
	c.update(func(s state) state {
		if !slices.Contains(s.Log, request.Append) {
			s.Log = append(slices.Clone(s.Log), request.Append)
		}
		return s
	}, operatorBudget, done)
}

func (c *controller) update(change func(state) state, budget time.Duration, done func(register.Accepted, error)) {
	c.node.propose(func(value register.Value) (register.Value, error) {
		before := decodeState(value.Data)
		after := change(before)
		if len(after.Log) == len(before.Log) && after.Reader == before.Reader {
			return value, nil
		}
		value.Data, value.Previous = after.encode(), nil
		return value, nil
	}, budget, done)
}

// publish passes a newly chosen state on.
func (c *controller) publish() {
	value := c.node.chosen.Value
	current := decodeState(value.Data)
	replicas := c.voters()
	c.decider.Learn(c.process.Monotonic(), replicas, map[string]lease.Record{roleReader: current.Reader})
	if changes := len(current.Log); changes > 0 {
		config := &fleetwire.Config{Version: int64(changes), Routes: []fleetwire.Route{{Name: current.Log[changes-1]}}}
		must(c.hub.PublishConfig(uint64(changes), config))
	}
	c.hub.SetControllers(replicas)
	c.answerPolls()
}

// voters returns the addresses of the replicas, in order.
func (c *controller) voters() []string {
	addresses := lo.Map(c.node.chosen.Value.Replicas, func(r register.Replica, _ int) string { return r.Address })
	return slices.Compact(slices.Sorted(slices.Values(addresses)))
}

// sync reads the register once after the start.
func (c *controller) sync() {
	if !c.synced {
		c.node.read(claimBudget, func(_ register.Accepted, err error) {
			if err == nil {
				c.synced = true
				c.decider.MarkSynced()
			}
		})
	}
}

func (c *controller) others() []string {
	replicas := lo.Map(c.node.chosen.Value.Members(), func(r register.Replica, _ int) string { return r.Address })
	return lo.Without(lo.Uniq(append(replicas, c.site.seeds...)), c.process.Name())
}

// beat sends heartbeats and takes roles that are due.
func (c *controller) beat() {
	now := c.process.Monotonic()
	inTouch := c.node.quorumAge() <= watch.DefaultMaxQuorumAge
	c.decider.SetVotersInDoubt(c.node.setInDoubt())
	message := heartbeat{Lease: c.decider.Heartbeat(now, inTouch), Revision: c.node.chosen.Value.Revision, List: c.list}
	for _, address := range c.others() {
		if c.beating[address] {
			continue
		}
		c.beating[address] = true
		c.process.Call(address, message, leaseCallTimeout, func(answer any, err error) {
			c.beating[address] = false
			if err == nil {
				reply := answer.(heartbeatReply)
				c.decider.HandleReply(now, c.process.Monotonic(), reply.Lease)
				c.hear(reply.Revision, reply.List)
			}
		})
	}
	for _, claim := range c.decider.Claims(now) {
		c.take(claim)
	}
}

func (c *controller) take(claim lease.Claim) {
	c.update(func(s state) state {
		if s.Reader.Token == claim.Previous {
			s.Reader = lease.Record{Holder: c.self, Token: claim.Previous + 1}
		}
		return s
	}, claimBudget, func(register.Accepted, error) {})
}

// hear takes what another controller tells.
func (c *controller) hear(revision uint64, list listMessage) {
	c.offer(list)
	if revision > c.node.chosen.Value.Revision && !c.catching {
		c.catching = true
		c.node.read(claimBudget, func(register.Accepted, error) { c.catching = false })
	}
}

// holds returns the token under which this controller may act now.
func (c *controller) holds() (uint64, bool) {
	token, held := c.decider.Holds(c.process.Monotonic(), roleReader)
	if held && c.site.broken.keepsToken {
		token = 1 // takes roles without raising the token
	}
	return token, held
}

// readList reads a list of workers, which takes a while, if this controller holds the role.
func (c *controller) readList() {
	token, held := c.holds()
	if !held {
		return
	}
	c.readings++
	content := fmt.Sprintf("%s/%s/%d", c.self.Address, c.self.Life, c.readings)
	c.process.After(c.process.World().Between(0, longestReading), func() {
		if again, held := c.holds(); !held || again != token || token < c.list.Version.Token {
			return
		}
		sequence := uint64(1)
		if token == c.list.Version.Token {
			sequence = c.list.Version.Sequence + 1
		}
		message := listMessage{Version: fleetwire.ListVersion{Token: token, Sequence: sequence}, Content: content}
		c.site.checks.acted(c.self, message)
		c.offer(message)
		for _, address := range c.others() {
			c.process.Call(address, message, leaseCallTimeout, func(any, error) {})
		}
	})
}

func (c *controller) offer(message listMessage) {
	if !c.list.Version.Less(message.Version) {
		return
	}
	c.list = message
	must(c.hub.PublishInstances(message.Version, []fleetwire.Instance{{ID: message.Content}}))
	c.answerPolls()
}

// answerPolls answers the long polls that are due: there is something newer, the wait is over, or the majority is lost.
func (c *controller) answerPolls() {
	now := c.process.Monotonic()
	version := c.hub.Current().Version
	c.polls = slices.DeleteFunc(c.polls, func(p *heldPoll) bool {
		have, wait := p.request.Have, time.Duration(p.request.WaitMs)*time.Millisecond
		newer := version.ConfigRevision > have.ConfigRevision || have.Instances.Less(version.Instances)
		if !newer && now-p.since < wait && c.node.quorumAge() < watch.DefaultMaxQuorumAge {
			return false
		}
		request := p.request
		request.WaitMs = 0
		reply, err := c.hub.Serve(context.Background(), request)
		must(err)
		reply.HeldMs, reply.ListAgeMs = (now - p.since).Milliseconds(), 0 // the hub itself reads another clock
		p.answer(reply)
		return true
	})
}
