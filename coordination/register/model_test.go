package register

import (
	"bytes"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/coordination/sim"
)

// replicaDefects are implementation errors that the checks must detect.
type replicaDefects struct {
	repliesBeforeSync bool
	keepsIdentity     bool // a wiped replica restarts under its old identity
	skipsJoint        bool // a reconfiguration takes one step, without a joint set that needs both majorities
}

const (
	modelFounders       = 3
	modelMaxNodes       = 5 // processes
	modelTarget         = 3
	immediateRetryOneIn = 4  // one retry in so many has no backoff
	maxFaultRate        = 20 // faults in a thousand steps
	modelSteps          = 2500
	recoveryTurnSteps   = 500 // steps in which one node alone may propose
	recoveryTurns       = 8   // turns of each node
	maxInFlight         = 40
	checkTimeout        = 20 * time.Second
)

// envelope is a request or a reply in flight.
type envelope struct {
	to          int // index of the receiving node
	incarnation int // incarnation of the node that gets the reply
	request     *Request
	from        int // index of the node that sent the request
	reply       *Reply
	operation   *operation // operation that sent the request
}

// modelNode is a process with a disk.
type modelNode struct {
	at          int
	address     string
	id          string
	incarnation int

	machine *sim.Machine // simulates the disk
	disk    Disk         // state of the current incarnation

	up           bool
	acceptor     *Acceptor
	chosen       Accepted
	ballots      *BallotGenerator
	step         *Step    // waiting for the disk
	stepEnvelope envelope // request of step

	operation *operation
}

// operation is an append, a read or a step of a reconfiguration in progress.
type operation struct {
	proposer     *Proposer
	reader       *Reader
	historyIndex int // index into the history, or -1 for a reconfiguration
}

// historyEntry is an operation as observed by its client.
type historyEntry struct {
	client             int
	called, ended      int64
	id                 string // empty for a read
	result             string
	finished, excluded bool // excluded: it certainly had no effect, or it is a read without a result
}

// modelWorld is a simulated register with its nodes, disks and network, and the checks on it.
type modelWorld struct {
	draw          func(n int) int
	disks         *sim.World
	founders      []Replica
	faultRate     int  // faults in a thousand steps
	catchesUp     bool // nodes write chosen values that they did not accept
	defects       replicaDefects
	nodes         []*modelNode
	inFlight      []envelope
	history       []historyEntry
	clock         int64
	proposerCount uint64
	diskCount     int
	wipeCount     int
	recovering    bool // no faults, and one proposer at a time
	turn          int  // index of the node that may propose while recovering

	acceptedBy map[Ballot]map[string]bool // identities that have accepted the value of a ballot
	values     map[Ballot]Value
	chosen     []Accepted // all chosen values, in the order in which they were chosen
	newest     Accepted   // chosen value with the highest ballot
	violation  string     // rule that was violated, empty if none
}

func newModelWorld(draw func(n int) int, defects replicaDefects) *modelWorld {
	w := &modelWorld{draw: draw, defects: defects, acceptedBy: map[Ballot]map[string]bool{}, values: map[Ballot]Value{}}
	w.disks = sim.New(uint64(draw(math.MaxInt)))
	w.faultRate = 1 + draw(maxFaultRate)
	for at := range modelFounders + draw(modelMaxNodes-modelFounders+1) {
		address := fmt.Sprintf("node%d", at)
		n := &modelNode{at: at, address: address, machine: w.disks.AddMachine(address)}
		n.id = w.newID()
		if at < modelFounders {
			n.id = FounderID(n.address)
			w.founders = append(w.founders, n.self())
		}
		w.nodes = append(w.nodes, n)
	}
	w.newest = Genesis(w.founders)
	for _, n := range w.nodes {
		w.start(n)
	}
	return w
}

func (w *modelWorld) newID() string {
	w.diskCount++
	return fmt.Sprintf("disk%d", w.diskCount)
}

func (w *modelWorld) start(n *modelNode) {
	n.disk = NewDisk(n.files())
	acceptor, err := n.disk.Load(n.address)
	if acceptor == nil && err == nil {
		acceptor, err = n.disk.Initialize(n.id, n.address, w.founderSet(n))
	}
	if err != nil {
		return // the disk is full or failed
	}
	n.up = true
	n.incarnation++
	w.proposerCount++
	n.ballots = NewBallotGenerator(w.proposerCount)
	n.chosen = Accepted{}
	n.step, n.operation = nil, nil
	n.acceptor = acceptor
	accepted := acceptor.Accepted()
	if accepted.Ballot == genesisBallot {
		n.chosen = accepted
	} else if genesisBallot.Less(accepted.Ballot) {
		w.recordAccept(n.id, accepted) // a write that was reported as failed may have reached the disk
	}
}

// founderSet returns the founders that are written to an empty disk.
func (w *modelWorld) founderSet(n *modelNode) []Replica {
	if n.id != FounderID(n.address) {
		return nil
	}
	return w.founders
}

func (n *modelNode) files() *sim.Files { return n.machine.Disk().Files() }

func (n *modelNode) crash() {
	n.up = false
	n.machine.LosePower()
}

func (n *modelNode) self() Replica { return Replica{ID: n.id, Address: n.address} }

func (n *modelNode) known() Accepted {
	if n.chosen.Ballot.Less(n.acceptor.Accepted().Ballot) {
		return n.acceptor.Accepted()
	}
	return n.chosen
}

func (n *modelNode) learn(chosen Accepted) {
	if n.chosen.Ballot.Less(chosen.Ballot) {
		n.chosen = chosen
	}
}

// wipe replaces the disk of a node by an empty one.
func (w *modelWorld) wipe(n *modelNode) {
	n.up = false
	w.wipeCount++
	n.machine.Wipe()
	if !w.defects.keepsIdentity {
		n.id = w.newID()
	}
}

// allDisksInSet reports whether every disk is in the newest chosen set, so that no other disk loss is pending.
func (w *modelWorld) allDisksInSet() bool {
	set := w.newest.Value
	return !set.Joint() && len(set.Replicas) == len(w.nodes) &&
		lo.EveryBy(w.nodes, func(n *modelNode) bool { return set.HasReplica(n.id) })
}

func (w *modelWorld) indexOf(address string) int {
	return slices.IndexFunc(w.nodes, func(n *modelNode) bool { return n.address == address })
}

func (w *modelWorld) send(n *modelNode, messages []Message) {
	for _, message := range messages {
		request := message.Request
		w.enqueue(envelope{to: w.indexOf(message.To.Address), from: n.at, incarnation: n.incarnation, request: &request, operation: n.operation})
	}
}

func (w *modelWorld) enqueue(e envelope) {
	if len(w.inFlight) >= maxInFlight {
		w.inFlight = slices.Delete(w.inFlight, 0, 1)
	}
	w.inFlight = append(w.inFlight, e)
}

func (w *modelWorld) deliver(e envelope) {
	n := w.nodes[e.to]
	switch {
	case !n.up:
	case e.reply != nil && e.reply.Kind == Query && e.operation != n.operation: // a Reader must get replies to its own messages only
	case e.reply != nil && e.incarnation == n.incarnation:
		w.handleReply(n, *e.reply)
	case e.request != nil:
		w.handleRequest(n, e)
	}
}

func (w *modelWorld) handleRequest(n *modelNode, e envelope) {
	request := *e.request
	switch request.Kind {
	case Commit:
		if n.acceptor.Accepted().Ballot == request.Ballot {
			n.learn(n.acceptor.Accepted())
		}
	case FetchChosen:
		value := n.chosen.Value
		reply := Reply{Kind: FetchChosen, From: n.self(), Accepted: n.chosen.Ballot, Value: &value}
		w.enqueue(envelope{to: e.from, incarnation: e.incarnation, reply: &reply})
	default:
		if n.step != nil {
			w.enqueue(e) // it waits until the disk is free
			return
		}
		step := n.acceptor.Begin(request)
		if step.Write == nil {
			w.reply(n, e, step.Reply)
			return
		}
		n.step, n.stepEnvelope = &step, e
		if w.defects.repliesBeforeSync {
			n.files().IgnoreSyncs = true
			w.write(n)
		}
	}
}

func (w *modelWorld) reply(n *modelNode, to envelope, reply Reply) {
	reply.Chosen = n.chosen.Ballot
	w.enqueue(envelope{to: to.from, incarnation: to.incarnation, reply: &reply, operation: to.operation})
}

// write performs the pending write of a node.
func (w *modelWorld) write(n *modelNode) {
	step := *n.step
	n.step = nil
	if refusal := n.disk.Write(step.Write); refusal != NoRefusal {
		w.reply(n, n.stepEnvelope, n.acceptor.Abandon(step, refusal))
		return
	}
	reply := n.acceptor.Finish(step)
	if step.Write.Accepted != nil {
		w.recordAccept(n.id, *step.Write.Accepted)
	}
	w.reply(n, n.stepEnvelope, reply)
}

// catchUp begins to write the chosen value that a node knows to its disk, whatever the node has promised.
func (w *modelWorld) catchUp(n *modelNode) {
	if step := n.acceptor.Learn(n.chosen); step.Write != nil {
		n.step, n.stepEnvelope = &step, envelope{to: n.at, from: n.at, incarnation: n.incarnation}
	}
}

// recordAccept records that an identity has accepted a value. If the value is now chosen, recordAccept checks that there is
// one value for each revision and that each extends the earlier ones.
func (w *modelWorld) recordAccept(id string, accepted Accepted) {
	if w.acceptedBy[accepted.Ballot] == nil {
		w.acceptedBy[accepted.Ballot] = map[string]bool{}
	}
	w.acceptedBy[accepted.Ballot][id] = true
	if !accepted.Value.Quorum(func(id string) bool { return w.acceptedBy[accepted.Ballot][id] }) {
		return
	}
	for _, other := range w.chosen {
		if other.Value.Revision == accepted.Value.Revision && other.Value.Origin != accepted.Value.Origin {
			w.violation = fmt.Sprintf("two values chosen as revision %d", other.Value.Revision)
		}
		older, newer := other.Value, accepted.Value
		if newer.Revision < older.Revision {
			older, newer = newer, older
		}
		if !bytes.HasPrefix(newer.Data, older.Data) {
			w.violation = fmt.Sprintf("chosen data %q does not extend chosen data %q", newer.Data, older.Data)
		}
	}
	w.chosen = append(w.chosen, accepted)
	if w.newest.Ballot.Less(accepted.Ballot) {
		w.newest = accepted
	}
}

func (w *modelWorld) handleReply(n *modelNode, reply Reply) {
	n.ballots.Observe(reply.Promised)
	if reply.Kind == FetchChosen && reply.Value != nil {
		n.learn(Accepted{Ballot: reply.Accepted, Value: *reply.Value})
	}
	if n.operation == nil {
		return
	}
	if n.operation.reader != nil {
		w.onReader(n, n.operation.reader.Deliver(reply))
	} else {
		w.onProposer(n, n.operation.proposer.Deliver(reply))
	}
}

func (w *modelWorld) onReader(n *modelNode, output Output) {
	w.send(n, output.Messages)
	if output.Done {
		n.learn(n.operation.reader.Known())
		w.finish(n, n.operation.reader.Known().Value)
	}
}

func (w *modelWorld) onProposer(n *modelNode, output Output) {
	if !output.Done && n.operation.proposer.Learn(n.chosen) && w.draw(2) == 0 {
		output = n.operation.proposer.Retry()
	}
	w.send(n, output.Messages)
	if output.Done {
		result, _ := n.operation.proposer.Result()
		n.learn(result)
		w.finish(n, result.Value)
	}
	if output.Retry && (w.recovering || w.draw(immediateRetryOneIn) == 0) {
		w.onProposer(n, n.operation.proposer.Retry())
	}
}

func (w *modelWorld) finish(n *modelNode, value Value) {
	if at := n.operation.historyIndex; at >= 0 {
		entry := &w.history[at]
		entry.finished, entry.ended, entry.result = true, w.tick(), string(value.Data)
		if entry.id != "" && !strings.Contains(entry.result, entry.id) {
			w.violation = fmt.Sprintf("append of %s was acknowledged, but the value lacks it: %s", entry.id, entry.result)
		}
	}
	n.operation = nil
}

func (w *modelWorld) tick() int64 {
	w.clock++
	return w.clock
}

// abandon ends an operation without a result.
func (w *modelWorld) abandon(n *modelNode) {
	if n.operation == nil {
		return
	}
	if at := n.operation.historyIndex; at >= 0 {
		p := n.operation.proposer
		w.history[at].excluded = w.history[at].id == "" || p != nil && !p.InDoubt()
	}
	n.operation = nil
}

func appendOnce(id string) Change {
	return func(value Value) (Value, error) {
		if !strings.Contains(string(value.Data), id) {
			value.Data = append(bytes.Clone(value.Data), id...)
		}
		return value, nil
	}
}

func (w *modelWorld) startAppend(n *modelNode) {
	id := fmt.Sprintf("<%d>", len(w.history))
	w.history = append(w.history, historyEntry{client: n.at, called: w.tick(), id: id})
	w.propose(n, appendOnce(id), len(w.history)-1)
}

func (w *modelWorld) propose(n *modelNode, change Change, historyIndex int) {
	p := NewProposer(n.self(), n.ballots, n.known(), n.chosen.Ballot, change)
	n.operation = &operation{proposer: p, historyIndex: historyIndex}
	w.onProposer(n, p.Start())
}

func (w *modelWorld) startRead(n *modelNode) {
	w.history = append(w.history, historyEntry{client: n.at, called: w.tick()})
	n.operation = &operation{reader: NewReader(n.self(), n.known()), historyIndex: len(w.history) - 1}
	w.onReader(n, n.operation.reader.Start())
}

func (w *modelWorld) startUpkeep(n *modelNode) {
	if len(n.chosen.Value.Replicas) == 0 {
		other := w.draw(len(w.nodes))
		w.enqueue(envelope{to: other, from: n.at, incarnation: n.incarnation, request: &Request{Kind: FetchChosen, From: n.self()}})
		if len(n.known().Value.Replicas) > 0 {
			w.propose(n, Unchanged, -1)
		}
		return
	}
	plan := Planner{Self: n.self(), TargetReplicas: modelTarget, MaxReplicas: 2 * modelTarget,
		SilentFor: w.silence, RemoveAfter: time.Second}
	w.propose(n, func(value Value) (Value, error) {
		next := plan.Next(value)
		if w.defects.skipsJoint {
			next.Previous = nil
		}
		return next, nil
	}, -1)
}

func (w *modelWorld) silence(replica Replica) time.Duration {
	if w.nodes[w.indexOf(replica.Address)].up {
		return 0
	}
	return time.Minute
}

// step performs one random step.
func (w *modelWorld) step() {
	n := w.nodes[w.draw(len(w.nodes))]
	choice := w.draw(1000)
	if choice < w.faultRate {
		w.injectFault(n)
		return
	}
	if w.recovering && n.at != w.turn && choice >= 850 && n.up {
		w.abandon(n)
		return
	}
	switch {
	case choice < 600:
		w.deliverRandom()
	case choice < 850:
		if n.up && n.step != nil {
			w.write(n)
		} else if n.up && w.catchesUp {
			w.catchUp(n)
		}
	case choice < 870:
		if n.operation != nil && n.operation.proposer != nil {
			w.onProposer(n, n.operation.proposer.Retry())
		} else {
			w.abandon(n)
		}
	case choice < 920:
		if n.up && n.operation == nil && len(n.known().Value.Replicas) > 0 {
			w.startClient(n)
		}
	case choice < 970:
		if n.up && n.operation == nil {
			w.startUpkeep(n)
		}
	default:
		if !n.up {
			w.start(n)
		}
	}
}

func (w *modelWorld) startClient(n *modelNode) {
	if len(w.history) >= 40 || w.recovering {
		return
	}
	if w.draw(2) == 0 {
		w.startAppend(n)
	} else {
		w.startRead(n)
	}
}

// deliverRandom delivers a random message in flight. Sometimes it drops the message, or keeps it to be delivered again.
func (w *modelWorld) deliverRandom() {
	if len(w.inFlight) == 0 {
		return
	}
	at := w.draw(len(w.inFlight))
	e := w.inFlight[at]
	fate := w.draw(20)
	if fate != 0 || w.recovering {
		w.inFlight = slices.Delete(w.inFlight, at, at+1)
	}
	if fate != 1 || w.recovering {
		w.deliver(e)
	}
}

func (w *modelWorld) injectFault(n *modelNode) {
	if w.recovering {
		return
	}
	switch w.draw(6) {
	case 0, 1:
		w.abandon(n)
		n.crash()
	case 2:
		if w.allDisksInSet() {
			w.abandon(n)
			w.wipe(n)
		}
	case 3:
		n.files().Full = !n.files().Full
	case 4:
		n.files().FailSyncs = !n.files().FailSyncs
	default:
		w.abandon(n)
	}
}

// run performs the steps with faults, repairs the disks and checks the history.
func (w *modelWorld) run() error {
	for range modelSteps {
		if w.step(); w.violation != "" {
			return eris.New(w.violation)
		}
	}
	w.recovering = true
	for _, n := range w.nodes {
		n.machine.Disk().ClearFaults()
	}
	return w.check()
}

// runRecovery performs steps without faults and checks that all disks rejoin the set and learn the newest value.
func (w *modelWorld) runRecovery() error {
	for step := range recoveryTurnSteps * recoveryTurns * len(w.nodes) {
		w.turn = step / recoveryTurnSteps % len(w.nodes)
		if w.step(); w.violation != "" {
			return eris.New(w.violation)
		}
		if w.allDisksInSet() && lo.EveryBy(w.nodes, func(n *modelNode) bool { return n.chosen.Value.Revision == w.newest.Value.Revision }) {
			return nil
		}
	}
	return eris.Errorf("the set has not recovered: %+v", w.newest.Value)
}

// check verifies that the history is linearizable.
func (w *modelWorld) check() error {
	var operations []porcupine.Operation
	for client, entry := range w.history {
		if entry.excluded || entry.id == "" && !entry.finished {
			continue
		}
		operation := porcupine.Operation{ClientId: client, Input: entry.id, Output: entry.result, Call: entry.called, Return: entry.ended}
		if !entry.finished {
			operation.Return = math.MaxInt64
		}
		operations = append(operations, operation)
	}
	model := porcupine.Model{
		Init: func() any { return "" },
		Step: func(state, input, output any) (bool, any) {
			if id := input.(string); id != "" {
				return true, state.(string) + id
			}
			return state == output, state
		},
	}
	if porcupine.CheckOperationsTimeout(model, operations, checkTimeout) == porcupine.Illegal {
		return eris.Errorf("the history is not linearizable: %+v", w.history)
	}
	return nil
}

func TestModelIsLinearizableUnderFaults(t *testing.T) {
	var finished, lost, runs int
	rapid.Check(t, func(t *rapid.T) {
		// Rapid draws a single seed instead of each random number: runs are long, and the seed reproduces them.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		w := newModelWorld(random.IntN, replicaDefects{})
		w.catchesUp = true
		require.NoError(t, w.run())
		require.NoError(t, w.runRecovery())
		finished += lo.CountBy(w.history, func(entry historyEntry) bool { return entry.finished })
		lost += w.wipeCount
		runs++
	})
	t.Logf("%d runs: %d operations finished, %d disks lost", runs, finished, lost)
	require.Positive(t, lost)
	require.Greater(t, finished, runs)
}

// TestModelOnRegressionSeeds repeats runs that failed once. In them, replicas restart with writes that their disks had reported as
// failed.
func TestModelOnRegressionSeeds(t *testing.T) {
	for name, seed := range map[string]uint64{
		"a majority holds a value only after a failed write reappeared": 0x11b9,
		"a promise was made before a failed write reappeared":           0x70c,
	} {
		t.Run(name, func(t *testing.T) {
			w := newModelWorld(rand.New(rand.NewPCG(seed, 0)).IntN, replicaDefects{})
			require.NoError(t, w.run())
			require.NoError(t, w.runRecovery())
		})
	}
}

// firstDetectingSeed returns the first seed with which the checks detect the defect, with the error, or most if there is none.
func firstDetectingSeed(defects replicaDefects, first, most uint64) (uint64, error) {
	for seed := first; seed < most; seed++ {
		w := newModelWorld(rand.New(rand.NewPCG(seed, 1)).IntN, defects)
		if err := w.run(); err != nil {
			return seed, err
		}
	}
	return most, nil
}

func TestModelDetectsDefectiveReplicas(t *testing.T) {
	const most = 2000
	for name, test := range map[string]struct {
		defects replicaDefects
		first   uint64 // seed to start at, which saves time: a longer search found a failure from here on
	}{
		"replies before the sync":       {defects: replicaDefects{repliesBeforeSync: true}},
		"keeps its identity when wiped": {defects: replicaDefects{keepsIdentity: true}},
		"reconfigures in one step":      {defects: replicaDefects{skipsJoint: true}, first: 700},
	} {
		t.Run(name, func(t *testing.T) {
			seed, err := firstDetectingSeed(test.defects, test.first, most)
			require.Error(t, err)
			t.Logf("detected with seed %d: %.200s", seed, err.Error())
		})
	}
}
