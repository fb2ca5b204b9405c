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

// Timeouts, intervals and limits of a node, as in register.Node.
const (
	roundTimeout          = register.DefaultRoundTimeout
	registerHeartbeat     = register.DefaultHeartbeat
	removeAfter           = register.DefaultRemoveAfter
	heartbeatTimeout      = 600 * time.Millisecond
	queryTimeout          = 300 * time.Millisecond
	callTimeout           = 2 * time.Second
	quorumLostAfter       = 600 * time.Millisecond
	minBackoff            = 15 * time.Millisecond
	initialBackoff        = 20 * time.Millisecond
	maxBackoff            = 400 * time.Millisecond
	upkeepInterval        = 50 * time.Millisecond
	upkeepTimeout         = 3 * time.Second
	joinProbeTimeout      = 500 * time.Millisecond
	rankDelay             = 400 * time.Millisecond
	doubtTimeout          = time.Second
	failedCallsForSilence = 3
	catchUpAfter          = 300 * time.Millisecond
	maxDiskQueue          = 16
)

// node runs the register in one process, like register.Node.
type node struct {
	process        *sim.Process
	deployment     *deployment
	disk           register.Disk
	proposerNumber uint64 // drawn at random at each start
	ballots        *register.BallotGenerator

	acceptor  *register.Acceptor // nil until the disk has an identity
	diskQueue []func()           // writes that wait for the disk
	writing   bool
	chosen    register.Accepted
	peers     map[string]*peer
	current   *operation
	queue     []*operation // operations that wait for current to end
	onChosen  func()

	upkeepPending bool
	jointOrigin   register.Ballot
	jointSince    time.Duration
	doubtSince    time.Duration
	probeSince    time.Duration
	// behindSince is when the local disk began to lack the chosen value, 0 if it does not lack it.
	behindSince   time.Duration
	lastHeartbeat time.Duration
}

// peer is the state that a node keeps about the process at an address.
type peer struct {
	id               string
	replied          bool          // it has replied at least once
	lastAnswered     time.Duration // when the latest request with a reply was sent
	accepted         register.Ballot
	failedCalls      int // consecutive calls without a reply
	failingSince     time.Duration
	heartbeatPending bool
	fetchPending     bool
}

var errNoQuorum = eris.New("no quorum")
var errInDoubt = eris.New("in doubt")

func newNode(process *sim.Process, deployment *deployment) *node {
	number := process.World().Uint64()
	n := &node{
		process:        process,
		deployment:     deployment,
		disk:           register.NewDisk(process.Disk().Files()),
		proposerNumber: number,
		ballots:        register.NewBallotGenerator(number),
		peers:          map[string]*peer{},
	}
	return n
}

// start loads the disk and starts the periodic tick.
func (n *node) start() {
	n.load()
	n.process.Every(upkeepInterval, n.tick)
}

func (n *node) load() {
	acceptor, err := n.disk.Load(n.process.Name())
	if err != nil {
		n.process.After(upkeepInterval, n.load)
		return
	}
	if acceptor != nil {
		n.adopt(acceptor)
	} else {
		n.initializeDisk()
	}
}

// initializeDisk writes an identity to an empty disk.
func (n *node) initializeDisk() {
	id, founders := fmt.Sprintf("disk%x", n.process.World().Uint64()), []register.Replica(nil)
	if n.deployment.bootstrap && slices.Contains(n.deployment.founders, n.process.Name()) {
		id, founders = register.FounderID(n.process.Name()), register.FoundingSet(n.deployment.founders)
	}
	if n.deployment.defects.keepsIdentity {
		id = "disk of " + n.process.Name()
		if slices.Contains(n.deployment.founders, n.process.Name()) {
			id, founders = register.FounderID(n.process.Name()), register.FoundingSet(n.deployment.founders)
		}
	}
	var acceptor *register.Acceptor
	work := func(*sim.Files) (err error) {
		acceptor, err = n.disk.Initialize(id, n.process.Name(), founders)
		return err
	}
	n.process.Disk().Submit(n.process, work, func(err error) {
		if err != nil {
			n.process.After(upkeepInterval, n.initializeDisk)
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
	n.deployment.checker.recordAccept(acceptor.Self().ID, accepted)
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

// replicaSetInDoubt reports whether the local replica has accepted a value with another replica set than that of the newest
// chosen value.
func (n *node) replicaSetInDoubt() bool {
	return !slices.Equal(n.known().Value.Replicas, n.chosen.Value.Replicas)
}

// learn records a chosen value if it is newer than the known one.
func (n *node) learn(chosen register.Accepted) {
	if !n.chosen.Ballot.Less(chosen.Ballot) {
		return
	}
	n.deployment.checker.checkLearned(chosen)
	n.chosen = chosen
	n.ballots.Observe(chosen.Ballot)
	if n.current != nil {
		n.current.learn()
	}
	if n.onChosen != nil {
		n.onChosen()
	}
}

// serve handles a request of another node or of a local operation.
func (n *node) serve(request register.Request, answer func(register.Reply)) {
	if from := request.From.Address; from != "" && from != n.process.Name() {
		n.peerAt(from)
	}
	switch request.Kind {
	case register.Query:
		if n.acceptor == nil {
			answer(n.newReply(request, register.IdentityMismatch))
			return
		}
		answer(n.withChosen(n.acceptor.Begin(request).Reply))
	case register.Prepare, register.Accept:
		if len(n.diskQueue) >= maxDiskQueue {
			answer(n.newReply(request, register.Busy))
			return
		}
		n.diskQueue = append(n.diskQueue, func() { n.handleWrite(request, answer) })
		n.startNextWrite()
	case register.Commit:
		if !n.confirmChosen(request.Ballot) {
			n.fetchChosen(request.Ballot, request.From.Address)
		}
		answer(n.newReply(request, register.NoRefusal))
	case register.FetchChosen:
		reply := n.newReply(request, register.NoRefusal)
		reply.Accepted = n.chosen.Ballot
		if request.Known.Less(n.chosen.Ballot) {
			value := n.chosen.Value
			reply.Value = &value
		}
		answer(reply)
	}
}

func (n *node) newReply(request register.Request, refusal register.Refusal) register.Reply {
	return register.Reply{Kind: request.Kind, Ballot: request.Ballot, Refusal: refusal, From: n.self(), Chosen: n.chosen.Ballot}
}

func (n *node) withChosen(reply register.Reply) register.Reply {
	reply.Chosen = n.chosen.Ballot
	return reply
}

func (n *node) startNextWrite() {
	if n.writing || len(n.diskQueue) == 0 {
		return
	}
	next := n.diskQueue[0]
	n.diskQueue = n.diskQueue[1:]
	n.writing = true
	next()
}

func (n *node) finishWrite() {
	n.writing = false
	n.startNextWrite()
}

// handleWrite handles a request that may need a write. The caller has reserved the disk.
func (n *node) handleWrite(request register.Request, answer func(register.Reply)) {
	if n.acceptor == nil {
		answer(n.newReply(request, register.IdentityMismatch))
		n.finishWrite()
		return
	}
	n.persist(n.acceptor.Begin(request), answer)
}

// persist makes the write of a step durable and sends the reply.
func (n *node) persist(step register.Step, answer func(register.Reply)) {
	if step.Write == nil {
		answer(n.withChosen(step.Reply))
		n.finishWrite()
		return
	}
	if n.deployment.defects.repliesBeforeSync {
		answer(n.withChosen(n.finishStep(step)))
		answer = func(register.Reply) {}
	}
	refusal := register.NoRefusal
	work := func(*sim.Files) error {
		refusal = n.disk.Write(step.Write)
		return nil
	}
	n.process.Disk().Submit(n.process, work, func(error) {
		switch {
		case n.deployment.defects.repliesBeforeSync:
		case refusal == register.NoRefusal:
			answer(n.withChosen(n.finishStep(step)))
		default:
			answer(n.withChosen(n.acceptor.Abandon(step, refusal)))
		}
		n.finishWrite()
	})
}

func (n *node) finishStep(step register.Step) register.Reply {
	reply := n.acceptor.Finish(step)
	if step.Write.Accepted != nil {
		n.deployment.checker.recordAccept(n.id(), *step.Write.Accepted)
	}
	return reply
}

// confirmChosen learns that the value of a ballot is chosen if the local acceptor holds it. It reports whether nothing needs to
// be fetched.
func (n *node) confirmChosen(ballot register.Ballot) bool {
	if !n.chosen.Ballot.Less(ballot) {
		return true
	}
	if n.acceptor == nil || n.acceptor.Accepted().Ballot != ballot {
		return false
	}
	n.learn(n.acceptor.Accepted())
	return true
}

// call sends a message to a replica, which may be the local one, and calls done with the reply.
func (n *node) call(message register.Message, timeout time.Duration, done func(register.Reply)) {
	handle := func(reply register.Reply) {
		if reply.Refusal == register.IdentityMismatch {
			reply.From = message.To // the intended replica is no longer at this address
		}
		done(reply)
	}
	address, request := message.To.Address, message.Request
	if address == n.process.Name() {
		n.serve(request, handle)
		return
	}
	sent := n.process.Monotonic()
	n.process.Call(address, request, timeout, func(answer any, err error) {
		if err != nil {
			n.recordFailedCall(address)
			done(register.Reply{Kind: request.Kind, Ballot: request.Ballot, From: message.To, Refusal: register.Unreachable})
			return
		}
		reply := answer.(register.Reply)
		n.recordReply(address, sent, reply)
		handle(reply)
	})
}

func (n *node) peerAt(address string) *peer {
	if n.peers[address] == nil {
		n.peers[address] = &peer{}
	}
	return n.peers[address]
}

func (n *node) recordReply(address string, sent time.Duration, reply register.Reply) {
	n.ballots.Observe(reply.Promised)
	p := n.peerAt(address)
	p.id, p.failedCalls, p.replied = reply.From.ID, 0, true
	p.lastAnswered = max(p.lastAnswered, sent)
	if reply.Refusal == register.NoRefusal && reply.Kind != register.FetchChosen && reply.Kind != register.Commit {
		p.accepted = reply.Accepted
	}
	if !n.confirmChosen(reply.Chosen) && reply.Kind != register.FetchChosen {
		n.fetchChosen(reply.Chosen, address)
	}
}

func (n *node) recordFailedCall(address string) {
	p := n.peerAt(address)
	if p.failedCalls == 0 {
		p.failingSince = n.process.Monotonic()
	}
	p.failedCalls++
}

// fetchChosen fetches the chosen value from an address if this node lacks the value of the ballot.
func (n *node) fetchChosen(ballot register.Ballot, address string) {
	p := n.peerAt(address)
	if !n.chosen.Ballot.Less(ballot) || p.fetchPending || address == "" || address == n.process.Name() {
		return
	}
	p.fetchPending = true
	request := register.Request{Kind: register.FetchChosen, From: n.self(), Known: n.chosen.Ballot}
	n.call(register.Message{To: register.Replica{Address: address}, Request: request}, callTimeout, func(reply register.Reply) {
		p.fetchPending = false
		if reply.Refusal == register.NoRefusal && reply.Value != nil {
			n.learn(register.Accepted{Ballot: reply.Accepted, Value: *reply.Value})
		}
	})
}

// silentFor returns how long a replica has been silent, or zero if it is not.
func (n *node) silentFor(replica register.Replica) time.Duration {
	p := n.peers[replica.Address]
	if replica.Address == n.process.Name() || p == nil || p.failedCalls == 0 || p.failedCalls < failedCallsForSilence && p.replied {
		return 0
	}
	return max(1, n.process.Monotonic()-p.failingSince)
}

// quorumAge returns the time since the last contact with a majority of the replica set, or of both sets of a joint value.
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
	ages := lo.Map(replicas, func(replica register.Replica, _ int) time.Duration { return n.contactAge(replica) })
	slices.SortFunc(ages, cmp.Compare[time.Duration])
	return ages[len(ages)/2]
}

func (n *node) contactAge(replica register.Replica) time.Duration {
	if replica.ID == n.id() {
		return 0
	}
	p := n.peers[replica.Address]
	if p == nil || p.id != replica.ID || !p.replied {
		return register.NoContact
	}
	return n.process.Monotonic() - p.lastAnswered
}

func (n *node) inSetOrStandby() bool {
	value := n.known().Value
	return value.HasReplica(n.id()) || len(value.Replicas) >= 2*targetReplicas
}

func (n *node) sendHeartbeats() {
	value := n.known().Value
	addresses := lo.Map(value.Members(), func(r register.Replica, _ int) string { return r.Address })
	if !value.HasReplica(n.id()) || n.quorumAge() > quorumLostAfter {
		addresses = append(addresses, n.deployment.seeds...)
		addresses = append(addresses, slices.Sorted(mapKeys(n.peers))...)
	}
	for _, address := range lo.Uniq(addresses) {
		if p := n.peerAt(address); address != n.process.Name() && !p.heartbeatPending {
			p.heartbeatPending = true
			n.sendHeartbeat(address, p)
		}
	}
}

func (n *node) sendHeartbeat(address string, p *peer) {
	request := register.Request{Kind: register.Query, From: n.self()}
	n.call(register.Message{To: register.Replica{Address: address}, Request: request}, heartbeatTimeout, func(register.Reply) {
		p.heartbeatPending = false
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
