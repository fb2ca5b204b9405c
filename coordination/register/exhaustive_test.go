package register

import (
	"bytes"
	"encoding/binary"
	"flag"
	"fmt"
	"hash/maphash"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

// exhaustiveStates limits the search: it stops once it has visited this many states. The default takes some seconds in CI.
var exhaustiveStates = flag.Int("register.states", 30_000, "maximum number of states for each scenario of the exhaustive search")

// The exhaustive search explores all runs of a few events, breadth first: all orders in which requests arrive or get lost, lost
// replies, proposers that give up and retry, a lost disk, and a replica that writes a chosen value that it was not asked to
// accept, at any moment. An event is the arrival of a request, with its reply delivered at once or lost. A request that never
// arrives needs no event, because each run is checked after each event. The search leaves out delayed replies (they count as
// lost), duplicated requests (acceptors reply to them in the same way) and commits (they only tell earlier what replies tell
// later).

// searchState is one state of the search.
type searchState struct {
	replicas    []searchReplica
	proposers   []searchProposer
	inFlight    []searchMessage
	wipesLeft   int // number of disks that may still be lost
	learnsLeft  int // number of chosen values that replicas may still learn without a request
	acceptances []acceptance
}

// searchReplica is an acceptor at an address. A lost disk gives it another identity.
type searchReplica struct {
	acceptor Acceptor
	wiped    bool
}

// searchProposer runs operations one after the other.
type searchProposer struct {
	operations  []Change // operations that have not started
	current     Proposer
	ballots     *BallotGenerator
	replica     Replica
	retriesLeft int // number of retries that it may still make
	done        bool
}

// searchMessage is a request in flight.
type searchMessage struct {
	to       int // index of the receiving replica
	from     int // index of the sending proposer
	request  *Request
	encoding string
}

// acceptance holds the identities that have ever accepted a value under its ballot.
type acceptance struct {
	accepted Accepted
	ids      []string
}

// searchScenario configures a search.
type searchScenario struct {
	name      string
	proposers [][]Change
	// joiningProposer is the index of the proposer that begins when a disk is lost, at that replica, or -1 for none.
	joiningProposer int
	wipes           int
	learns          int
	retries         int // number of retries of each proposer
	// defect that the search must detect
	keepsIdentity bool
}

var searchFounders = []Replica{{ID: "A", Address: "a"}, {ID: "B", Address: "b"}, {ID: "C", Address: "c"}}

// searchJoiner is a fourth replica, which joins.
var searchJoiner = Replica{ID: "D", Address: "d"}

func searchAppend(text string) Change {
	return func(chosen Value) (Value, error) {
		if !bytes.Contains(chosen.Data, []byte(text)) {
			chosen.Data = append(slices.Clone(chosen.Data), text...)
		}
		return chosen, nil
	}
}

func searchPlan(self Replica) Change {
	planner := Planner{Self: self, TargetReplicas: 3, MaxReplicas: 6, SilentFor: func(Replica) time.Duration { return 0 }}
	return func(chosen Value) (Value, error) { return planner.Next(chosen), nil }
}

// stateSearch is a breadth-first search through the states of a scenario.
type stateSearch struct {
	scenario  searchScenario
	seed      maphash.Seed
	seen      map[[2]uint64]bool
	frontier  []searchState // states that are one event further than those being expanded
	violation string
	buffer    []byte
}

// run expands the states level by level. It returns the number of events up to which it has explored all runs, and whether it
// has explored the scenario completely.
func (s *stateSearch) run(scenario searchScenario, maxStates int) (events int, complete bool) {
	s.scenario = scenario
	s.seed = maphash.MakeSeed()
	s.seen = map[[2]uint64]bool{}
	s.enqueue(s.initialState())
	for ; len(s.frontier) > 0 && s.violation == ""; events++ {
		current := s.frontier
		s.frontier = nil
		for i := range current {
			s.expand(&current[i])
			if len(s.seen) > maxStates {
				return events, false
			}
		}
	}
	return events, true
}

// enqueue adds a state to the frontier if it was not visited before.
func (s *stateSearch) enqueue(state searchState) {
	if s.violation == "" && !s.visited(&state) {
		s.frontier = append(s.frontier, state)
	}
}

func (s *stateSearch) initialState() searchState {
	genesis := Genesis(searchFounders)
	state := searchState{wipesLeft: s.scenario.wipes, learnsLeft: s.scenario.learns}
	for _, replica := range append(slices.Clone(searchFounders), searchJoiner) {
		accepted := genesis
		if replica == searchJoiner {
			accepted = Accepted{}
		}
		state.replicas = append(state.replicas, searchReplica{acceptor: *NewAcceptor(replica, Ballot{}, accepted)})
	}
	for index, operations := range s.scenario.proposers {
		p := searchProposer{operations: operations, retriesLeft: s.scenario.retries, replica: state.replicas[index].acceptor.self}
		p.ballots = NewBallotGenerator(uint64(index + 1))
		state.proposers = append(state.proposers, p)
	}
	state.acceptances = []acceptance{{accepted: genesis, ids: []string{"A", "B", "C"}}}
	for index := range state.proposers {
		if index != s.scenario.joiningProposer {
			s.begin(&state, index, genesis)
		}
	}
	return state
}

// begin starts the next operation of a proposer.
func (s *stateSearch) begin(state *searchState, index int, known Accepted) {
	p := &state.proposers[index]
	if len(p.operations) == 0 {
		p.done = true
		return
	}
	p.current = *NewProposer(p.replica, p.ballots, known, known.Ballot, p.operations[0])
	p.operations = p.operations[1:]
	s.handleOutput(state, index, p.current.Start())
}

func (s *stateSearch) handleOutput(state *searchState, index int, output Output) {
	p := &state.proposers[index]
	for _, message := range output.Messages {
		if message.Request.Kind == Commit {
			continue
		}
		to := slices.IndexFunc(state.replicas, func(r searchReplica) bool { return r.acceptor.self.Address == message.To.Address })
		request := message.Request
		state.send(searchMessage{to: to, from: index, request: &request})
	}
	if output.Done {
		result, _ := p.current.Result()
		s.check(chosenIn(state, result), "a proposer reported revision %d as chosen without a majority", result.Value.Revision)
		s.begin(state, index, result)
	}
}

func (state *searchState) send(message searchMessage) {
	message.encoding = message.encode()
	state.inFlight = append(state.inFlight, message)
}

// chosenIn reports whether a majority has ever accepted a value under its ballot.
func chosenIn(state *searchState, accepted Accepted) bool {
	for _, known := range state.acceptances {
		if known.accepted.Ballot == accepted.Ballot {
			return known.accepted.Value.Quorum(func(id string) bool { return slices.Contains(known.ids, id) })
		}
	}
	return false
}

func (s *stateSearch) check(holds bool, format string, arguments ...any) {
	if !holds && s.violation == "" {
		s.violation = fmt.Sprintf(format, arguments...)
	}
}

// clone copies the parts of a state that events modify. Values are never modified and are shared.
func (state *searchState) clone() searchState {
	next := *state
	next.replicas = slices.Clone(state.replicas)
	next.proposers = slices.Clone(state.proposers)
	for i := range next.proposers {
		p := &next.proposers[i]
		p.ballots = &BallotGenerator{round: p.ballots.round, proposer: p.ballots.proposer}
		p.current.ballots = p.ballots
		p.current.requested = maps.Clone(p.current.requested)
		p.current.replies = maps.Clone(p.current.replies)
		p.current.doubtful.origins = slices.Clone(p.current.doubtful.origins)
	}
	next.inFlight = slices.Clone(state.inFlight)
	next.acceptances = slices.Clone(state.acceptances)
	return next
}

// expand enqueues the states that follow by each possible event.
func (s *stateSearch) expand(state *searchState) {
	for at := range state.inFlight {
		for _, replyArrives := range []bool{true, false} {
			next := state.clone()
			message := next.inFlight[at]
			next.inFlight = slices.Delete(next.inFlight, at, at+1)
			s.deliver(&next, message, replyArrives)
			s.enqueue(next)
		}
	}
	for index := range state.proposers {
		if p := &state.proposers[index]; p.retriesLeft > 0 && !p.done && p.current.phase != idle && p.current.phase != ended {
			next := state.clone()
			next.proposers[index].retriesLeft--
			s.handleOutput(&next, index, next.proposers[index].current.Retry())
			s.enqueue(next)
		}
	}
	for at := range searchFounders {
		s.expandDisk(state, at)
	}
}

// expandDisk enqueues the states that follow by a lost disk or a learned value at a replica.
func (s *stateSearch) expandDisk(state *searchState, at int) {
	if state.wipesLeft > 0 && !state.replicas[at].wiped {
		next := state.clone()
		s.wipe(&next, at)
		s.enqueue(next)
	}
	if state.learnsLeft == 0 {
		return
	}
	for _, known := range state.acceptances {
		if chosenIn(state, known.accepted) && state.replicas[at].acceptor.accepted.Ballot.Less(known.accepted.Ballot) {
			next := state.clone()
			next.learnsLeft--
			s.learn(&next, at, known.accepted)
			s.enqueue(next)
		}
	}
}

func (s *stateSearch) wipe(state *searchState, at int) {
	state.wipesLeft--
	replica := &state.replicas[at]
	replica.wiped = true
	self := replica.acceptor.self
	if !s.scenario.keepsIdentity {
		self.ID += "'"
	}
	accepted := Accepted{}
	if s.scenario.keepsIdentity {
		accepted = Genesis(searchFounders)
	}
	replica.acceptor = *NewAcceptor(self, Ballot{}, accepted)
	if s.scenario.joiningProposer >= 0 {
		p := &state.proposers[s.scenario.joiningProposer]
		p.replica = self
		p.operations = []Change{searchPlan(self), searchPlan(self)}
		s.begin(state, s.scenario.joiningProposer, Genesis(searchFounders))
	}
}

func (s *stateSearch) learn(state *searchState, at int, chosen Accepted) {
	acceptor := &state.replicas[at].acceptor
	if !chosen.Value.HasMember(acceptor.self.ID) {
		return
	}
	step := acceptor.Learn(chosen)
	acceptor.Finish(step)
	s.recordAccept(state, acceptor.self.ID, chosen)
}

func (s *stateSearch) deliver(state *searchState, message searchMessage, replyArrives bool) {
	replica := &state.replicas[message.to]
	step := replica.acceptor.Begin(*message.request)
	reply := step.Reply
	if step.Write != nil {
		reply = replica.acceptor.Finish(step)
		if step.Write.Accepted != nil {
			s.recordAccept(state, replica.acceptor.self.ID, *step.Write.Accepted)
		}
	}
	if reply.Refusal == IdentityMismatch {
		reply.From.ID = message.request.To
	}
	if p := &state.proposers[message.from]; replyArrives && !p.done {
		s.handleOutput(state, message.from, p.current.Deliver(reply))
	}
}

// recordAccept records that an identity has accepted a value. If the value is now chosen, recordAccept checks that there is
// one value for each revision and that each extends the earlier ones.
func (s *stateSearch) recordAccept(state *searchState, id string, accepted Accepted) {
	at := slices.IndexFunc(state.acceptances, func(a acceptance) bool { return a.accepted.Ballot == accepted.Ballot })
	if at < 0 {
		state.acceptances = append(state.acceptances, acceptance{accepted: accepted})
		at = len(state.acceptances) - 1
	}
	if slices.Contains(state.acceptances[at].ids, id) {
		return
	}
	state.acceptances[at].ids = append(slices.Clone(state.acceptances[at].ids), id)
	if !chosenIn(state, accepted) {
		return
	}
	for _, other := range state.acceptances {
		if !chosenIn(state, other.accepted) {
			continue
		}
		older, newer := &other.accepted.Value, &accepted.Value
		if newer.Revision < older.Revision {
			older, newer = newer, older
		}
		s.check(older.Revision != newer.Revision || older.Origin == newer.Origin, "two values chosen as revision %d", older.Revision)
		s.check(bytes.HasPrefix(newer.Data, older.Data), "revision %d has data %q, but revision %d had %q", newer.Revision, newer.Data, older.Revision, older.Data)
	}
}

// visited reports whether a state was visited before.
func (s *stateSearch) visited(state *searchState) bool {
	s.buffer = state.encode(s.buffer[:0])
	var hash maphash.Hash
	hash.SetSeed(s.seed)
	_, _ = hash.Write(s.buffer)
	first := hash.Sum64()
	_ = hash.WriteByte(1)
	key := [2]uint64{first, hash.Sum64()}
	known := s.seen[key]
	s.seen[key] = true
	return known
}

func (state *searchState) encode(into []byte) []byte {
	for i := range state.replicas {
		a := &state.replicas[i].acceptor
		into = append(into, a.self.ID...)
		into = appendBallot(into, a.promised, a.accepted.Ballot)
	}
	for i := range state.proposers {
		into = state.proposers[i].encode(into)
	}
	encodings := lo.Map(state.inFlight, func(m searchMessage, _ int) string { return m.encoding })
	slices.Sort(encodings)
	for _, encoding := range encodings {
		into = append(into, encoding...)
	}
	into = append(into, byte(state.wipesLeft), byte(state.learnsLeft))
	acceptances := slices.Clone(state.acceptances)
	slices.SortFunc(acceptances, func(a, b acceptance) int { return lo.Ternary(a.accepted.Ballot.Less(b.accepted.Ballot), -1, 1) })
	for _, known := range acceptances {
		into = appendBallot(into, known.accepted.Ballot)
		for _, id := range slices.Sorted(slices.Values(known.ids)) {
			into = append(into, id...)
		}
	}
	return into
}

func (p *searchProposer) encode(into []byte) []byte {
	c := &p.current
	into = append(into, byte(len(p.operations)), byte(p.retriesLeft), byte(c.phase), lo.Ternary[byte](p.done, 1, 0))
	into = binary.AppendUvarint(into, p.ballots.round)
	into = append(into, p.replica.ID...)
	into = appendBallot(into, c.base.Ballot, c.chosen, c.ballot, c.proposal.Origin, c.doubtful.highest)
	into = appendBallot(into, c.doubtful.origins...)
	into = binary.AppendUvarint(into, c.proposal.Revision)
	for _, id := range slices.Sorted(maps.Keys(c.requested)) {
		reply, replied := c.replies[id]
		into = append(into, id...)
		into = append(into, lo.Ternary[byte](replied, 1, 0), byte(reply.Refusal))
		into = appendBallot(into, reply.Accepted)
	}
	return into
}

func (m *searchMessage) encode() string {
	into := []byte{byte(m.to), byte(m.from), byte(m.request.Kind)}
	into = append(into, m.request.To...)
	return string(appendBallot(into, m.request.Ballot, m.request.Known))
}

func appendBallot(into []byte, ballots ...Ballot) []byte {
	for _, b := range ballots {
		into = binary.AppendUvarint(into, b.Round)
		into = binary.AppendUvarint(into, b.Proposer)
	}
	return append(into, '|')
}

var searchScenarios = []searchScenario{
	{name: "two writers", proposers: [][]Change{{searchAppend("x")}, {searchAppend("y")}}, joiningProposer: -1},
	{name: "two writers with retries", proposers: [][]Change{{searchAppend("x")}, {searchAppend("y")}}, joiningProposer: -1, retries: 1},
	{name: "two writers, a replica learns a chosen value", proposers: [][]Change{{searchAppend("x")}, {searchAppend("y")}}, joiningProposer: -1, learns: 1},
	{name: "one writer, a replica joins", joiningProposer: -1,
		proposers: [][]Change{{searchAppend("x")}, {searchPlan(searchJoiner), searchPlan(searchJoiner)}}},
	{name: "one writer, a replica loses its disk and rejoins", proposers: [][]Change{{searchAppend("x"), searchAppend("y")}, nil}, joiningProposer: 1, wipes: 1},
}

func TestExhaustiveSearchFindsNoViolation(t *testing.T) {
	for _, scenario := range searchScenarios {
		t.Run(scenario.name, func(t *testing.T) {
			t.Parallel()
			var search stateSearch
			started := time.Now()
			events, complete := search.run(scenario, *exhaustiveStates)
			require.Empty(t, search.violation)
			t.Logf("%d states, all runs of %d events (complete: %v), %v", len(search.seen), events, complete,
				time.Since(started).Round(time.Millisecond))
		})
	}
}

func TestExhaustiveSearchDetectsDefectiveReplicas(t *testing.T) {
	const maxStates = 400_000
	for name, scenario := range map[string]searchScenario{
		"keeps its identity when its disk is lost": {proposers: [][]Change{{searchAppend("x")}, {searchAppend("y")}}, joiningProposer: -1, wipes: 1, keepsIdentity: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var search stateSearch
			events, _ := search.run(scenario, maxStates)
			require.NotEmpty(t, search.violation, "%d events", events)
			t.Logf("%d states, %d events: %s", len(search.seen), events, search.violation)
		})
	}
}
