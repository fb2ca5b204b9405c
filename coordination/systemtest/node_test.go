package systemtest

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"weldscale/coordination/register"
	"weldscale/coordination/sim"
)

// Spans of a node, as register.Node has them.
const (
	roundTimeout     = register.DefaultRoundTimeout
	registerBeat     = register.DefaultHeartbeat
	removeAfter      = register.DefaultRemoveAfter
	heartbeatTimeout = 600 * time.Millisecond
	queryTimeout     = 300 * time.Millisecond
	callTimeout      = 2 * time.Second
	lostAfter        = 600 * time.Millisecond
	leastBackoff     = 15 * time.Millisecond
	firstBackoff     = 20 * time.Millisecond
	maxBackoff       = 400 * time.Millisecond
	upkeepTick       = 50 * time.Millisecond
	upkeepBudget     = 3 * time.Second
	joinProbe        = 500 * time.Millisecond
	rankDelay        = 400 * time.Millisecond
	doubtAfter       = time.Second
	missesForSilence = 3
	keepAfter        = 300 * time.Millisecond
	maxWaiting       = 16
)

// node is a process's share in the register.
type node struct {
	process *sim.Process
	site    *site
	disk    register.Disk
	number  uint64 // of this life as a proposer
	ballots *register.BallotGenerator

	acceptor *register.Acceptor // nil until the disk has an identity
	waiting  []func()           // requests that wait for the disk
	writing  bool
	chosen   register.Accepted
	peers    map[string]*peer
	current  *operation
	queue    []*operation // operations that wait for their turn
	onChosen func()

	upkeepRuns bool
	jointSeen  register.Ballot
	jointSince time.Duration
	doubtSince time.Duration
	probeSince time.Duration
	// behindSince is when the own disk began to lack what is chosen; 0: it has it.
	behindSince time.Duration
	lastBeat    time.Duration
}

// peer is what a node knows of the process at an address.
type peer struct {
	id          string
	heard       bool
	answered    time.Duration // when the last question that it answered was sent
	accepted    register.Ballot
	missed      int
	missedSince time.Duration
	asking      bool
	fetching    bool
}

var errNoQuorum = eris.New("no quorum")
var errInDoubt = eris.New("in doubt")

func newNode(process *sim.Process, site *site) *node {
	number := process.World().Uint64()
	n := &node{
		process: process,
		site:    site,
		disk:    register.NewDisk(process.Disk().Files()),
		number:  number,
		ballots: register.NewBallotGenerator(number),
		peers:   map[string]*peer{},
	}
	return n
}

// start reads the disk and begins to take part.
func (n *node) start() {
	n.load()
	n.process.Every(upkeepTick, n.tick)
}

func (n *node) load() {
	acceptor, err := n.disk.Load(n.process.Name())
	if err != nil {
		n.process.After(upkeepTick, n.load)
		return
	}
	if acceptor != nil {
		n.adopt(acceptor)
	} else {
		n.mark()
	}
}

// mark gives an empty disk its identity.
func (n *node) mark() {
	id, founders := fmt.Sprintf("disk%x", n.process.World().Uint64()), []register.Replica(nil)
	if n.site.bootstrap && slices.Contains(n.site.founders, n.process.Name()) {
		id, founders = register.FounderID(n.process.Name()), register.FoundingSet(n.site.founders)
	}
	if n.site.broken.keepsIdentity {
		id = "disk of " + n.process.Name()
		if slices.Contains(n.site.founders, n.process.Name()) {
			id, founders = register.FounderID(n.process.Name()), register.FoundingSet(n.site.founders)
		}
	}
	var acceptor *register.Acceptor
	work := func(*sim.Files) (err error) {
		acceptor, err = n.disk.Initialize(id, n.process.Name(), founders)
		return err
	}
	n.process.Disk().Submit(n.process, work, func(err error) {
		if err != nil {
			n.process.After(upkeepTick, n.mark)
			return
		}
		n.adopt(acceptor)
	})
}

func (n *node) adopt(acceptor *register.Acceptor) {
	n.acceptor = acceptor
	accepted := acceptor.Accepted()
	n.ballots.Observe(accepted.Ballot)
	if accepted.Ballot == (register.Ballot{}) {
		return
	}
	if accepted.Ballot == register.Genesis(nil).Ballot {
		n.learn(accepted)
		return
	}
	n.site.checks.accepted(acceptor.Self().ID, accepted)
}

func (n *node) id() string { return n.self().ID }

func (n *node) self() register.Replica {
	if n.acceptor == nil {
		return register.Replica{Address: n.process.Name()}
	}
	return n.acceptor.Self()
}

func (n *node) known() register.Accepted {
	if n.acceptor != nil && n.chosen.Ballot.Less(n.acceptor.Accepted().Ballot) {
		return n.acceptor.Accepted()
	}
	return n.chosen
}

// setInDoubt reports whether the own replica has accepted a value with other replicas than the newest chosen one.
func (n *node) setInDoubt() bool {
	return !slices.Equal(n.known().Value.Replicas, n.chosen.Value.Replicas)
}

// learn takes a value that is chosen.
func (n *node) learn(chosen register.Accepted) {
	if !n.chosen.Ballot.Less(chosen.Ballot) {
		return
	}
	n.site.checks.learnt(chosen)
	n.chosen = chosen
	n.ballots.Observe(chosen.Ballot)
	if n.current != nil {
		n.current.learn()
	}
	if n.onChosen != nil {
		n.onChosen()
	}
}

// serve answers a request of another node or of an own operation.
func (n *node) serve(request register.Request, answer func(register.Reply)) {
	if from := request.From.Address; from != "" && from != n.process.Name() {
		n.peerAt(from)
	}
	switch request.Kind {
	case register.Query:
		if n.acceptor == nil {
			answer(n.refusal(request, register.IdentityMismatch))
			return
		}
		answer(n.toldChosen(n.acceptor.Begin(request).Reply))
	case register.Prepare, register.Accept:
		if len(n.waiting) >= maxWaiting {
			answer(n.refusal(request, register.Busy))
			return
		}
		n.waiting = append(n.waiting, func() { n.write(request, answer) })
		n.nextWrite()
	case register.Commit:
		if !n.confirm(request.Ballot) {
			n.fetch(request.Ballot, request.From.Address)
		}
		answer(n.refusal(request, register.NoRefusal))
	case register.FetchChosen:
		reply := n.refusal(request, register.NoRefusal)
		reply.Accepted = n.chosen.Ballot
		if request.Known.Less(n.chosen.Ballot) {
			value := n.chosen.Value
			reply.Value = &value
		}
		answer(reply)
	}
}

func (n *node) refusal(request register.Request, refusal register.Refusal) register.Reply {
	return register.Reply{Kind: request.Kind, Ballot: request.Ballot, Refusal: refusal, From: n.self(), Chosen: n.chosen.Ballot}
}

func (n *node) toldChosen(reply register.Reply) register.Reply {
	reply.Chosen = n.chosen.Ballot
	return reply
}

func (n *node) nextWrite() {
	if n.writing || len(n.waiting) == 0 {
		return
	}
	next := n.waiting[0]
	n.waiting = n.waiting[1:]
	n.writing = true
	next()
}

func (n *node) written() {
	n.writing = false
	n.nextWrite()
}

// write takes a request that may need the disk.
func (n *node) write(request register.Request, answer func(register.Reply)) {
	if n.acceptor == nil {
		answer(n.refusal(request, register.IdentityMismatch))
		n.written()
		return
	}
	n.perform(n.acceptor.Begin(request), answer)
}

// perform makes the write of a step durable, and answers.
func (n *node) perform(step register.Step, answer func(register.Reply)) {
	if step.Write == nil {
		answer(n.toldChosen(step.Reply))
		n.written()
		return
	}
	if n.site.broken.answersBeforeSync {
		answer(n.toldChosen(n.finish(step)))
		answer = func(register.Reply) {}
	}
	refusal := register.NoRefusal
	work := func(*sim.Files) error {
		refusal = n.disk.Write(step.Write)
		return nil
	}
	n.process.Disk().Submit(n.process, work, func(error) {
		switch {
		case n.site.broken.answersBeforeSync:
		case refusal == register.NoRefusal:
			answer(n.toldChosen(n.finish(step)))
		default:
			answer(n.toldChosen(n.acceptor.Abandon(step, refusal)))
		}
		n.written()
	})
}

func (n *node) finish(step register.Step) register.Reply {
	reply := n.acceptor.Finish(step)
	if step.Write.Accepted != nil {
		n.site.checks.accepted(n.id(), *step.Write.Accepted)
	}
	return reply
}

// confirm learns that a ballot is chosen if the own acceptor holds its value, and reports whether there is nothing to fetch.
func (n *node) confirm(ballot register.Ballot) bool {
	if !n.chosen.Ballot.Less(ballot) {
		return true
	}
	if n.acceptor == nil || n.acceptor.Accepted().Ballot != ballot {
		return false
	}
	n.learn(n.acceptor.Accepted())
	return true
}

// call carries a message to a replica, which may be this process itself.
func (n *node) call(message register.Message, timeout time.Duration, done func(register.Reply)) {
	take := func(reply register.Reply) {
		if reply.Refusal == register.IdentityMismatch {
			reply.From = message.To // the one that was meant does not live there any more
		}
		done(reply)
	}
	address, request := message.To.Address, message.Request
	if address == n.process.Name() {
		n.serve(request, take)
		return
	}
	sent := n.process.Monotonic()
	n.process.Call(address, request, timeout, func(answer any, err error) {
		if err != nil {
			n.missed(address)
			done(register.Reply{Kind: request.Kind, Ballot: request.Ballot, From: message.To, Refusal: register.Unreachable})
			return
		}
		reply := answer.(register.Reply)
		n.heard(address, sent, reply)
		take(reply)
	})
}

func (n *node) peerAt(address string) *peer {
	if n.peers[address] == nil {
		n.peers[address] = &peer{}
	}
	return n.peers[address]
}

func (n *node) heard(address string, sent time.Duration, reply register.Reply) {
	n.ballots.Observe(reply.Promised)
	p := n.peerAt(address)
	p.id, p.missed, p.heard = reply.From.ID, 0, true
	p.answered = max(p.answered, sent)
	if reply.Refusal == register.NoRefusal && reply.Kind != register.FetchChosen && reply.Kind != register.Commit {
		p.accepted = reply.Accepted
	}
	if !n.confirm(reply.Chosen) && reply.Kind != register.FetchChosen {
		n.fetch(reply.Chosen, address)
	}
}

func (n *node) missed(address string) {
	p := n.peerAt(address)
	if p.missed == 0 {
		p.missedSince = n.process.Monotonic()
	}
	p.missed++
}

// fetch asks for a value that is chosen.
func (n *node) fetch(ballot register.Ballot, address string) {
	p := n.peerAt(address)
	if !n.chosen.Ballot.Less(ballot) || p.fetching || address == "" || address == n.process.Name() {
		return
	}
	p.fetching = true
	request := register.Request{Kind: register.FetchChosen, From: n.self(), Known: n.chosen.Ballot}
	n.call(register.Message{To: register.Replica{Address: address}, Request: request}, callTimeout, func(reply register.Reply) {
		p.fetching = false
		if reply.Refusal == register.NoRefusal && reply.Value != nil {
			n.learn(register.Accepted{Ballot: reply.Accepted, Value: *reply.Value})
		}
	})
}

// silence returns how long a replica has been silent, and zero if it isn't.
func (n *node) silence(replica register.Replica) time.Duration {
	p := n.peers[replica.Address]
	if replica.Address == n.process.Name() || p == nil || p.missed == 0 || p.missed < missesForSilence && p.heard {
		return 0
	}
	return max(1, n.process.Monotonic()-p.missedSince)
}

// quorumAge returns how long ago a majority of the set was last heard.
func (n *node) quorumAge() time.Duration {
	known := n.chosen.Value
	if len(known.Replicas) == 0 {
		known = n.known().Value
	}
	age := n.majorityAge(known.Replicas)
	if known.Joint() {
		age = max(age, n.majorityAge(known.Previous))
	}
	return age
}

func (n *node) majorityAge(replicas []register.Replica) time.Duration {
	if len(replicas) == 0 {
		return register.NoContact
	}
	ages := lo.Map(replicas, func(replica register.Replica, _ int) time.Duration { return n.age(replica) })
	slices.SortFunc(ages, cmp.Compare[time.Duration])
	return ages[len(ages)/2]
}

func (n *node) age(replica register.Replica) time.Duration {
	if replica.ID == n.id() {
		return 0
	}
	p := n.peers[replica.Address]
	if p == nil || p.id != replica.ID || !p.heard {
		return register.NoContact
	}
	return n.process.Monotonic() - p.answered
}

func (n *node) placed() bool {
	value := n.known().Value
	return value.HasReplica(n.id()) || len(value.Replicas) >= 2*targetReplicas
}

func (n *node) beat() {
	value := n.known().Value
	addresses := lo.Map(value.Members(), func(r register.Replica, _ int) string { return r.Address })
	if !value.HasReplica(n.id()) || n.quorumAge() > lostAfter {
		addresses = append(addresses, n.site.seeds...)
		addresses = append(addresses, slices.Sorted(mapKeys(n.peers))...)
	}
	for _, address := range lo.Uniq(addresses) {
		if p := n.peerAt(address); address != n.process.Name() && !p.asking {
			p.asking = true
			n.ask(address, p)
		}
	}
}

func (n *node) ask(address string, p *peer) {
	request := register.Request{Kind: register.Query, From: n.self()}
	n.call(register.Message{To: register.Replica{Address: address}, Request: request}, heartbeatTimeout, func(register.Reply) {
		p.asking = false
		n.confirmByMajority()
	})
}

func (n *node) confirmByMajority() {
	if n.acceptor == nil {
		return
	}
	accepted := n.acceptor.Accepted()
	holds := func(id string) bool {
		return id == n.id() || lo.SomeBy(accepted.Value.Members(), func(r register.Replica) bool {
			p := n.peers[r.Address]
			return r.ID == id && p != nil && p.id == id && p.accepted == accepted.Ballot
		})
	}
	if n.chosen.Ballot.Less(accepted.Ballot) && accepted.Value.Quorum(holds) {
		n.learn(accepted)
	}
}
