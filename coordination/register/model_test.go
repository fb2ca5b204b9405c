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

// replicaDefects are mistakes that the checks have to catch.
type replicaDefects struct {
	answersBeforeSync bool
	keepsIdentity     bool // a wiped replica comes back under its old identity
	skipsJoint        bool // a set changes in one step, with the majority of the old one or the new one alone
}

const (
	modelFounders       = 3
	modelMaxNodes       = 5 // processes
	modelTarget         = 3
	immediateRetryOneIn = 4 // one in so many tries again at once
	maxFaultRate        = 20
	modelSteps          = 2500
	recoveryTurnSteps   = 500 // steps
	recoveryTurns       = 8   // of each node
	maxInFlight         = 40
	checkTimeout        = 20 * time.Second
)

// envelope is a request or a reply on its way.
type envelope struct {
	to          int // node
	incarnation int // of the node that a reply goes to
	request     *Request
	from        int // node that a reply to the request goes to
	reply       *Reply
	operation   *operation // that sent the request
}

// modelNode is a process with a disk.
type modelNode struct {
	at          int
	address     string
	id          string
	incarnation int

	machine *sim.Machine // for its disk
	disk    Disk         // of the present life

	up           bool
	acceptor     *Acceptor
	chosen       Accepted
	ballots      *BallotGenerator
	step         *Step // waits for the disk
	stepEnvelope envelope

	operation *operation
}

// operation is an append, a read or a step of the set under way.
type operation struct {
	proposer     *Proposer
	reader       *Reader
	historyIndex int // index into the history; -1 for a step of the set
}

// historyEntry is an operation as its client saw it.
type historyEntry struct {
	client             int
	called, ended      int64
	id                 string // empty for a read
	result             string
	finished, excluded bool // void: it failed for certain, or it is a read without an answer
}

type modelWorld struct {
	draw          func(n int) int
	disks         *sim.World
	founders      []Replica
	faultRate     int  // of a thousand steps, those that are faults
	catchesUp     bool // nodes write chosen values that they were not asked to accept
	defects       replicaDefects
	nodes         []*modelNode
	inFlight      []envelope
	history       []historyEntry
	clock         int64
	proposerCount uint64
	diskCount     int
	wipeCount     int
	recovering    bool // no more faults, and one proposer at a time
	turn          int  // whose turn it is then

	acceptedBy map[Ballot]map[string]bool
	values     map[Ballot]Value
	chosen     []Accepted // all ballots that were chosen, in the order of the moments
	newest     Accepted
	violation  string
}

func newModelWorld(draw func(n int) int, faults replicaDefects) *modelWorld {
	w := &modelWorld{draw: draw, defects: faults, acceptedBy: map[Ballot]map[string]bool{}, values: map[Ballot]Value{}}
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
		return // the disk is full or fails
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

// founderSet is what an empty disk is marked with.
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

// wipe takes a disk away.
func (w *modelWorld) wipe(n *modelNode) {
	n.up = false
	w.wipeCount++
	n.machine.Wipe()
	if !w.defects.keepsIdentity {
		n.id = w.newID()
	}
}

// allDisksInSet reports whether nothing else is lost: every disk is in the set that is chosen.
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
	case e.reply != nil && e.reply.Kind == Query && e.operation != n.operation: // a read is given replies to its own questions only
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
			w.enqueue(e) // it waits for the disk
			return
		}
		step := n.acceptor.Begin(request)
		if step.Write == nil {
			w.reply(n, e, step.Reply)
			return
		}
		n.step, n.stepEnvelope = &step, e
		if w.defects.answersBeforeSync {
			n.files().LosesSyncs = true
			w.write(n)
		}
	}
}

func (w *modelWorld) reply(n *modelNode, to envelope, reply Reply) {
	reply.Chosen = n.chosen.Ballot
	w.enqueue(envelope{to: to.from, incarnation: to.incarnation, reply: &reply, operation: to.operation})
}

// write lets the disk of a node take the write that waits.
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

// catchUp has a node write the chosen value that it knows, whatever it has promised.
func (w *modelWorld) catchUp(n *modelNode) {
	if step := n.acceptor.Learn(n.chosen); step.Write != nil {
		n.step, n.stepEnvelope = &step, envelope{to: n.at, from: n.at, incarnation: n.incarnation}
	}
}

// recordAccept keeps what is chosen and checks that one value follows another.
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
			w.violation = fmt.Sprintf("%q was chosen as well as %q", newer.Data, older.Data)
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
		r := &w.history[at]
		r.finished, r.ended, r.result = true, w.tick(), string(value.Data)
		if r.id != "" && !strings.Contains(r.result, r.id) {
			w.violation = fmt.Sprintf("%s acknowledged without it: %s", r.id, r.result)
		}
	}
	n.operation = nil
}

func (w *modelWorld) tick() int64 {
	w.clock++
	return w.clock
}

// abandon ends an operation without an answer.
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

func (w *modelWorld) propose(n *modelNode, change Change, record int) {
	p := NewProposer(n.self(), n.ballots, n.known(), n.chosen.Ballot, change)
	n.operation = &operation{proposer: p, historyIndex: record}
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

// step takes one step at random.
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

// deliverRandom delivers a message, any of those in flight; at times it loses it or delivers it again.
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
		n.files().Failing = !n.files().Failing
	default:
		w.abandon(n)
	}
}

// run plays faults, then a calm time in which the register has to work.
func (w *modelWorld) run() error {
	for range modelSteps {
		if w.step(); w.violation != "" {
			return eris.New(w.violation)
		}
	}
	w.recovering = true
	for _, n := range w.nodes {
		n.machine.Disk().Heal()
	}
	return w.check()
}

// runRecovery plays a calm time and checks that all disks come back into the set.
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
	return eris.Errorf("not recovered: %+v", w.newest.Value)
}

// check looks for an order of the history in which each operation takes effect at once.
func (w *modelWorld) check() error {
	var operations []porcupine.Operation
	for client, r := range w.history {
		if r.excluded || r.id == "" && !r.finished {
			continue
		}
		operation := porcupine.Operation{ClientId: client, Input: r.id, Output: r.result, Call: r.called, Return: r.ended}
		if !r.finished {
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
		return eris.Errorf("not linearizable: %+v", w.history)
	}
	return nil
}

func TestModelIsLinearizableUnderFaults(t *testing.T) {
	var finished, lost, plays int
	rapid.Check(t, func(t *rapid.T) {
		// One seed in place of each draw: plays are long, and a seed reproduces them.
		random := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 0))
		w := newModelWorld(random.IntN, replicaDefects{})
		w.catchesUp = true
		require.NoError(t, w.run())
		require.NoError(t, w.runRecovery())
		finished += lo.CountBy(w.history, func(r historyEntry) bool { return r.finished })
		lost += w.wipeCount
		plays++
	})
	t.Logf("%d plays: %d operations answered, %d disks lost", plays, finished, lost)
	require.Positive(t, lost)
	require.Greater(t, finished, plays)
}

// TestModelOnRegressionSeeds plays seeds in which replicas come back with writes that their disks had reported as failed.
func TestModelOnRegressionSeeds(t *testing.T) {
	for name, seed := range map[string]uint64{
		"a majority holds a value only since such a start": 0x11b9,
		"a promise was made while such a write was hidden": 0x70c,
	} {
		t.Run(name, func(t *testing.T) {
			w := newModelWorld(rand.New(rand.NewPCG(seed, 0)).IntN, replicaDefects{})
			require.NoError(t, w.run())
			require.NoError(t, w.runRecovery())
		})
	}
}

// firstDetectingSeed reports after how many plays the checks find a mistake.
func firstDetectingSeed(faults replicaDefects, first, most uint64) (uint64, error) {
	for seed := first; seed < most; seed++ {
		w := newModelWorld(rand.New(rand.NewPCG(seed, 1)).IntN, faults)
		if err := w.run(); err != nil {
			return seed, err
		}
	}
	return most, nil
}

func TestModelDetectsDefectiveReplicas(t *testing.T) {
	const most = 2000
	for name, broken := range map[string]struct {
		faults replicaDefects
		first  uint64 // where a longer search found one, to save time
	}{
		"answers before its sync":       {faults: replicaDefects{answersBeforeSync: true}},
		"keeps its identity when wiped": {faults: replicaDefects{keepsIdentity: true}},
		"changes its set in one step":   {faults: replicaDefects{skipsJoint: true}, first: 700},
	} {
		t.Run(name, func(t *testing.T) {
			seed, err := firstDetectingSeed(broken.faults, broken.first, most)
			require.Error(t, err)
			t.Logf("caught by play %d: %.200s", seed, err.Error())
		})
	}
}
