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

// faultsOfReplicas are mistakes that the checks have to catch.
type faultsOfReplicas struct {
	answersBeforeSync bool
	keepsIdentity     bool // a wiped replica comes back under its old identity
	skipsJoint        bool // a set changes in one step, with the majority of the old one or the new one alone
}

const (
	modelFounders = 3
	modelMost     = 5 // processes
	modelTarget   = 3
	retryOdds     = 4 // one in so many tries again at once
	mostHostile   = 20
	modelSteps    = 2500
	calmTurn      = 500 // steps
	calmTurns     = 8   // of each node
	maxInFlight   = 40
	checkTimeout  = 20 * time.Second
)

// envelope is a request or a reply on its way.
type envelope struct {
	to      int // node
	life    int // of the node that a reply goes to
	request *Request
	from    int // node that a reply to the request goes to
	reply   *Reply
	asked   *operation // that sent the request
}

// modelNode is a process with a disk.
type modelNode struct {
	at      int
	address string
	id      string
	lives   int

	machine *sim.Machine // for its disk
	disk    Disk         // of the present life

	up       bool
	acceptor *Acceptor
	chosen   Accepted
	ballots  *BallotGenerator
	step     *Step // waits for the disk
	stepOf   envelope

	operation *operation
}

// operation is an append, a read or a step of the set under way.
type operation struct {
	proposer *Proposer
	reader   *Reader
	record   int // index into the history; -1 for a step of the set
}

// record is an operation as its client saw it.
type record struct {
	client         int
	called, ended  int64
	id             string // empty for a read
	seen           string
	finished, void bool // void: it failed for certain, or it is a read without an answer
}

type world struct {
	draw      func(n int) int
	disks     *sim.World
	founders  []Replica
	hostility int  // of a thousand steps, those that are faults
	keeps     bool // nodes write chosen values that they were not asked to accept
	faults    faultsOfReplicas
	nodes     []*modelNode
	flying    []envelope
	history   []record
	clock     int64
	proposers uint64
	names     int
	wipes     int
	calm      bool // no more faults, and one proposer at a time
	turn      int  // whose turn it is then

	accepts map[Ballot]map[string]bool
	values  map[Ballot]Value
	chosen  []Accepted // all ballots that were chosen, in the order of the moments
	newest  Accepted
	broken  string
}

func newWorld(draw func(n int) int, faults faultsOfReplicas) *world {
	w := &world{draw: draw, faults: faults, accepts: map[Ballot]map[string]bool{}, values: map[Ballot]Value{}}
	w.disks = sim.New(uint64(draw(math.MaxInt)))
	w.hostility = 1 + draw(mostHostile)
	for at := range modelFounders + draw(modelMost-modelFounders+1) {
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

func (w *world) newID() string {
	w.names++
	return fmt.Sprintf("disk%d", w.names)
}

func (w *world) start(n *modelNode) {
	n.disk = NewDisk(n.files())
	acceptor, err := n.disk.Load(n.address)
	if acceptor == nil && err == nil {
		acceptor, err = n.disk.Initialize(n.id, n.address, w.firstSet(n))
	}
	if err != nil {
		return // the disk is full or fails
	}
	n.up = true
	n.lives++
	w.proposers++
	n.ballots = NewBallotGenerator(w.proposers)
	n.chosen = Accepted{}
	n.step, n.operation = nil, nil
	n.acceptor = acceptor
	accepted := acceptor.Accepted()
	if accepted.Ballot == genesisBallot {
		n.chosen = accepted
	} else if genesisBallot.Less(accepted.Ballot) {
		w.noteAccept(n.id, accepted) // a write that was reported as failed may have reached the disk
	}
}

// firstSet is what an empty disk is marked with.
func (w *world) firstSet(n *modelNode) []Replica {
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
func (w *world) wipe(n *modelNode) {
	n.up = false
	w.wipes++
	n.machine.Wipe()
	if !w.faults.keepsIdentity {
		n.id = w.newID()
	}
}

// mayWipe reports whether nothing else is lost: every disk is in the set that is chosen.
func (w *world) mayWipe() bool {
	set := w.newest.Value
	return !set.Joint() && len(set.Replicas) == len(w.nodes) &&
		lo.EveryBy(w.nodes, func(n *modelNode) bool { return set.HasReplica(n.id) })
}

func (w *world) node(address string) int {
	return slices.IndexFunc(w.nodes, func(n *modelNode) bool { return n.address == address })
}

func (w *world) send(n *modelNode, messages []Message) {
	for _, message := range messages {
		request := message.Request
		w.fly(envelope{to: w.node(message.To.Address), from: n.at, life: n.lives, request: &request, asked: n.operation})
	}
}

func (w *world) fly(e envelope) {
	if len(w.flying) >= maxInFlight {
		w.flying = slices.Delete(w.flying, 0, 1)
	}
	w.flying = append(w.flying, e)
}

func (w *world) deliver(e envelope) {
	n := w.nodes[e.to]
	switch {
	case !n.up:
	case e.reply != nil && e.reply.Kind == Query && e.asked != n.operation: // a read is given replies to its own questions only
	case e.reply != nil && e.life == n.lives:
		w.takeReply(n, *e.reply)
	case e.request != nil:
		w.takeRequest(n, e)
	}
}

func (w *world) takeRequest(n *modelNode, e envelope) {
	request := *e.request
	switch request.Kind {
	case Commit:
		if n.acceptor.Accepted().Ballot == request.Ballot {
			n.learn(n.acceptor.Accepted())
		}
	case FetchChosen:
		value := n.chosen.Value
		reply := Reply{Kind: FetchChosen, From: n.self(), Accepted: n.chosen.Ballot, Value: &value}
		w.fly(envelope{to: e.from, life: e.life, reply: &reply})
	default:
		if n.step != nil {
			w.fly(e) // it waits for the disk
			return
		}
		step := n.acceptor.Begin(request)
		if step.Write == nil {
			w.reply(n, e, step.Reply)
			return
		}
		n.step, n.stepOf = &step, e
		if w.faults.answersBeforeSync {
			n.files().IgnoreSyncs = true
			w.write(n)
		}
	}
}

func (w *world) reply(n *modelNode, to envelope, reply Reply) {
	reply.Chosen = n.chosen.Ballot
	w.fly(envelope{to: to.from, life: to.life, reply: &reply, asked: to.asked})
}

// write lets the disk of a node take the write that waits.
func (w *world) write(n *modelNode) {
	step := *n.step
	n.step = nil
	if refusal := n.disk.Write(step.Write); refusal != NoRefusal {
		w.reply(n, n.stepOf, n.acceptor.Abandon(step, refusal))
		return
	}
	reply := n.acceptor.Finish(step)
	if step.Write.Accepted != nil {
		w.noteAccept(n.id, *step.Write.Accepted)
	}
	w.reply(n, n.stepOf, reply)
}

// keep has a node write the chosen value that it knows, whatever it has promised.
func (w *world) keep(n *modelNode) {
	if step := n.acceptor.Learn(n.chosen); step.Write != nil {
		n.step, n.stepOf = &step, envelope{to: n.at, from: n.at, life: n.lives}
	}
}

// noteAccept keeps what is chosen and checks that one value follows another.
func (w *world) noteAccept(id string, accepted Accepted) {
	if w.accepts[accepted.Ballot] == nil {
		w.accepts[accepted.Ballot] = map[string]bool{}
	}
	w.accepts[accepted.Ballot][id] = true
	if !accepted.Value.Quorum(func(id string) bool { return w.accepts[accepted.Ballot][id] }) {
		return
	}
	for _, other := range w.chosen {
		if other.Value.Revision == accepted.Value.Revision && other.Value.Origin != accepted.Value.Origin {
			w.broken = fmt.Sprintf("two values chosen as revision %d", other.Value.Revision)
		}
		older, newer := other.Value, accepted.Value
		if newer.Revision < older.Revision {
			older, newer = newer, older
		}
		if !bytes.HasPrefix(newer.Data, older.Data) {
			w.broken = fmt.Sprintf("%q was chosen as well as %q", newer.Data, older.Data)
		}
	}
	w.chosen = append(w.chosen, accepted)
	if w.newest.Ballot.Less(accepted.Ballot) {
		w.newest = accepted
	}
}

func (w *world) takeReply(n *modelNode, reply Reply) {
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

func (w *world) onReader(n *modelNode, output Output) {
	w.send(n, output.Messages)
	if output.Done {
		n.learn(n.operation.reader.Known())
		w.finish(n, n.operation.reader.Known().Value)
	}
}

func (w *world) onProposer(n *modelNode, output Output) {
	if !output.Done && n.operation.proposer.Learn(n.chosen) && w.draw(2) == 0 {
		output = n.operation.proposer.Retry()
	}
	w.send(n, output.Messages)
	if output.Done {
		result, _ := n.operation.proposer.Result()
		n.learn(result)
		w.finish(n, result.Value)
	}
	if output.Retry && (w.calm || w.draw(retryOdds) == 0) {
		w.onProposer(n, n.operation.proposer.Retry())
	}
}

func (w *world) finish(n *modelNode, value Value) {
	if at := n.operation.record; at >= 0 {
		r := &w.history[at]
		r.finished, r.ended, r.seen = true, w.tick(), string(value.Data)
		if r.id != "" && !strings.Contains(r.seen, r.id) {
			w.broken = fmt.Sprintf("%s acknowledged without it: %s", r.id, r.seen)
		}
	}
	n.operation = nil
}

func (w *world) tick() int64 {
	w.clock++
	return w.clock
}

// abandon ends an operation without an answer.
func (w *world) abandon(n *modelNode) {
	if n.operation == nil {
		return
	}
	if at := n.operation.record; at >= 0 {
		p := n.operation.proposer
		w.history[at].void = w.history[at].id == "" || p != nil && !p.InDoubt()
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

func (w *world) startAppend(n *modelNode) {
	id := fmt.Sprintf("<%d>", len(w.history))
	w.history = append(w.history, record{client: n.at, called: w.tick(), id: id})
	w.propose(n, appendOnce(id), len(w.history)-1)
}

func (w *world) propose(n *modelNode, change Change, record int) {
	p := NewProposer(n.self(), n.ballots, n.known(), n.chosen.Ballot, change)
	n.operation = &operation{proposer: p, record: record}
	w.onProposer(n, p.Start())
}

func (w *world) startRead(n *modelNode) {
	w.history = append(w.history, record{client: n.at, called: w.tick()})
	n.operation = &operation{reader: NewReader(n.self(), n.known()), record: len(w.history) - 1}
	w.onReader(n, n.operation.reader.Start())
}

func (w *world) startUpkeep(n *modelNode) {
	if len(n.chosen.Value.Replicas) == 0 {
		other := w.draw(len(w.nodes))
		w.fly(envelope{to: other, from: n.at, life: n.lives, request: &Request{Kind: FetchChosen, From: n.self()}})
		if len(n.known().Value.Replicas) > 0 {
			w.propose(n, Unchanged, -1)
		}
		return
	}
	plan := Planner{Self: n.self(), TargetReplicas: modelTarget, MaxReplicas: 2 * modelTarget,
		SilentFor: w.silence, RemoveAfter: time.Second}
	w.propose(n, func(value Value) (Value, error) {
		next := plan.Next(value)
		if w.faults.skipsJoint {
			next.Previous = nil
		}
		return next, nil
	}, -1)
}

func (w *world) silence(replica Replica) time.Duration {
	if w.nodes[w.node(replica.Address)].up {
		return 0
	}
	return time.Minute
}

// act takes one step at random.
func (w *world) act() {
	n := w.nodes[w.draw(len(w.nodes))]
	choice := w.draw(1000)
	if choice < w.hostility {
		w.fault(n)
		return
	}
	if w.calm && n.at != w.turn && choice >= 850 && n.up {
		w.abandon(n)
		return
	}
	switch {
	case choice < 600:
		w.network()
	case choice < 850:
		if n.up && n.step != nil {
			w.write(n)
		} else if n.up && w.keeps {
			w.keep(n)
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

func (w *world) startClient(n *modelNode) {
	if len(w.history) >= 40 || w.calm {
		return
	}
	if w.draw(2) == 0 {
		w.startAppend(n)
	} else {
		w.startRead(n)
	}
}

// network delivers a message, any of those in flight; at times it loses it or delivers it again.
func (w *world) network() {
	if len(w.flying) == 0 {
		return
	}
	at := w.draw(len(w.flying))
	e := w.flying[at]
	fate := w.draw(20)
	if fate != 0 || w.calm {
		w.flying = slices.Delete(w.flying, at, at+1)
	}
	if fate != 1 || w.calm {
		w.deliver(e)
	}
}

func (w *world) fault(n *modelNode) {
	if w.calm {
		return
	}
	switch w.draw(6) {
	case 0, 1:
		w.abandon(n)
		n.crash()
	case 2:
		if w.mayWipe() {
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

// run plays faults, then a calm time in which the register has to work.
func (w *world) run() error {
	for range modelSteps {
		if w.act(); w.broken != "" {
			return eris.New(w.broken)
		}
	}
	w.calm = true
	for _, n := range w.nodes {
		n.machine.Disk().ClearFaults()
	}
	return w.check()
}

// recover plays a calm time and checks that all disks come back into the set.
func (w *world) recover() error {
	for step := range calmTurn * calmTurns * len(w.nodes) {
		w.turn = step / calmTurn % len(w.nodes)
		if w.act(); w.broken != "" {
			return eris.New(w.broken)
		}
		if w.mayWipe() && lo.EveryBy(w.nodes, func(n *modelNode) bool { return n.chosen.Value.Revision == w.newest.Value.Revision }) {
			return nil
		}
	}
	return eris.Errorf("not recovered: %+v", w.newest.Value)
}

// check looks for an order of the history in which each operation takes effect at once.
func (w *world) check() error {
	var operations []porcupine.Operation
	for client, r := range w.history {
		if r.void || r.id == "" && !r.finished {
			continue
		}
		operation := porcupine.Operation{ClientId: client, Input: r.id, Output: r.seen, Call: r.called, Return: r.ended}
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
		w := newWorld(random.IntN, faultsOfReplicas{})
		w.keeps = true
		require.NoError(t, w.run())
		require.NoError(t, w.recover())
		finished += lo.CountBy(w.history, func(r record) bool { return r.finished })
		lost += w.wipes
		plays++
	})
	t.Logf("%d plays: %d operations answered, %d disks lost", plays, finished, lost)
	require.Positive(t, lost)
	require.Greater(t, finished, plays)
}

// TestModelOnSeedsThatFailed plays seeds in which replicas come back with writes that their disks had reported as failed.
func TestModelOnSeedsThatFailed(t *testing.T) {
	for name, seed := range map[string]uint64{
		"a majority holds a value only since such a start": 0x11b9,
		"a promise was made while such a write was hidden": 0x70c,
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(rand.New(rand.NewPCG(seed, 0)).IntN, faultsOfReplicas{})
			require.NoError(t, w.run())
			require.NoError(t, w.recover())
		})
	}
}

// caught reports after how many plays the checks find a mistake.
func caught(faults faultsOfReplicas, first, most uint64) (uint64, error) {
	for seed := first; seed < most; seed++ {
		w := newWorld(rand.New(rand.NewPCG(seed, 1)).IntN, faults)
		if err := w.run(); err != nil {
			return seed, err
		}
	}
	return most, nil
}

func TestModelCatchesBrokenReplicas(t *testing.T) {
	const most = 2000
	for name, broken := range map[string]struct {
		faults faultsOfReplicas
		first  uint64 // where a longer search found one, to save time
	}{
		"answers before its sync":       {faults: faultsOfReplicas{answersBeforeSync: true}},
		"keeps its identity when wiped": {faults: faultsOfReplicas{keepsIdentity: true}},
		"changes its set in one step":   {faults: faultsOfReplicas{skipsJoint: true}, first: 700},
	} {
		t.Run(name, func(t *testing.T) {
			seed, err := caught(broken.faults, broken.first, most)
			require.Error(t, err)
			t.Logf("caught by play %d: %.200s", seed, err.Error())
		})
	}
}
