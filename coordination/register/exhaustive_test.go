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

// exhaustiveStates bounds the search: it ends with the number of events at which it has met as many states. In CI that takes
// some seconds.
var exhaustiveStates = flag.Int("register.states", 30_000, "states of each story of the exhaustive model")

// The exhaustive model goes through all stories of a few events: all orders in which requests arrive, if they do, with answers that
// are lost, proposers that give up and try again, a disk that is lost, and a replica that writes a chosen value it was not asked
// for, at any moment. An event is a request that arrives, with its answer or without; requests that never arrive need none, since
// each story is checked at each step. What is left out: answers that come after others have (they count as lost), doubled requests,
// which acceptors answer alike, and commits, which only tell early what answers tell later.

// searchState is one state of the model.
type searchState struct {
	replicas    []searchReplica
	proposers   []searchProposer
	inFlight    []searchMessage
	wipesLeft   int // disks that may yet be lost
	learnsLeft  int // values that replicas may yet write unasked
	acceptances []acceptance
}

// searchReplica is an acceptor at an address. A lost disk gives it another identity.
type searchReplica struct {
	acceptor Acceptor
	wiped    bool
}

// searchProposer drives operations one after the other.
type searchProposer struct {
	operations  []Change // operations that are left, the present one first
	current     Proposer
	ballots     *BallotGenerator
	replica     Replica
	retriesLeft int // that it may yet make
	done        bool
}

// searchMessage is a request on its way to a replica.
type searchMessage struct {
	to       int // of replicas
	from     int // the proposer that asked
	request  *Request
	encoding string
}

// acceptance are the identities that have ever held a value under a ballot.
type acceptance struct {
	accepted Accepted
	ids      []string
}

// searchScenario is what a search begins with.
type searchScenario struct {
	name      string
	proposers [][]Change
	// joiningProposer is the proposer that begins once a disk is lost, at that replica; -1: none.
	joiningProposer int
	wipes           int
	learns          int
	retries         int // of each proposer
	// broken variants, which the search has to catch
	keepsIdentity bool
}

var searchFounders = []Replica{{ID: "A", Address: "a"}, {ID: "B", Address: "b"}, {ID: "C", Address: "c"}}

// searchJoiner is a fourth machine that joins.
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

// stateSearch goes through the states.
type stateSearch struct {
	scenario  searchScenario
	seed      maphash.Seed
	seen      map[[2]uint64]bool
	frontier  []searchState // states of one more event than those that are looked at
	violation string
	buffer    []byte
}

// run looks at all states of one event after the other, and returns the number of events of which it has seen all stories.
func (s *stateSearch) run(story searchScenario, mostStates int) (events int, whole bool) {
	s.scenario = story
	s.seed = maphash.MakeSeed()
	s.seen = map[[2]uint64]bool{}
	s.enqueue(s.initialState())
	for ; len(s.frontier) > 0 && s.violation == ""; events++ {
		present := s.frontier
		s.frontier = nil
		for i := range present {
			s.expand(&present[i])
			if len(s.seen) > mostStates {
				return events, false
			}
		}
	}
	return events, true
}

// enqueue keeps a state to be looked at, if it was not met before.
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
	for number, plan := range s.scenario.proposers {
		p := searchProposer{operations: plan, retriesLeft: s.scenario.retries, replica: state.replicas[number].acceptor.self}
		p.ballots = NewBallotGenerator(uint64(number + 1))
		state.proposers = append(state.proposers, p)
	}
	state.acceptances = []acceptance{{accepted: genesis, ids: []string{"A", "B", "C"}}}
	for number := range state.proposers {
		if number != s.scenario.joiningProposer {
			s.begin(&state, number, genesis)
		}
	}
	return state
}

// begin starts the next operation of a proposer.
func (s *stateSearch) begin(state *searchState, number int, known Accepted) {
	p := &state.proposers[number]
	if len(p.operations) == 0 {
		p.done = true
		return
	}
	p.current = *NewProposer(p.replica, p.ballots, known, known.Ballot, p.operations[0])
	p.operations = p.operations[1:]
	s.handleOutput(state, number, p.current.Start())
}

func (s *stateSearch) handleOutput(state *searchState, number int, output Output) {
	p := &state.proposers[number]
	for _, message := range output.Messages {
		if message.Request.Kind == Commit {
			continue
		}
		to := slices.IndexFunc(state.replicas, func(r searchReplica) bool { return r.acceptor.self.Address == message.To.Address })
		request := message.Request
		state.send(searchMessage{to: to, from: number, request: &request})
	}
	if output.Done {
		result, _ := p.current.Result()
		s.check(chosenIn(state, result), "a proposer took revision %d for chosen", result.Value.Revision)
		s.begin(state, number, result)
	}
}

func (state *searchState) send(message searchMessage) {
	message.encoding = message.encode()
	state.inFlight = append(state.inFlight, message)
}

// chosenIn reports whether a majority holds, or held, a value under its ballot.
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

// clone copies what events change. Values are never changed, and are shared.
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

// expand goes on from a state by each event that is possible.
func (s *stateSearch) expand(state *searchState) {
	for at := range state.inFlight {
		for _, answered := range []bool{true, false} {
			next := state.clone()
			message := next.inFlight[at]
			next.inFlight = slices.Delete(next.inFlight, at, at+1)
			s.deliver(&next, message, answered)
			s.enqueue(next)
		}
	}
	for number := range state.proposers {
		if p := &state.proposers[number]; p.retriesLeft > 0 && !p.done && p.current.phase != idle && p.current.phase != ended {
			next := state.clone()
			next.proposers[number].retriesLeft--
			s.handleOutput(&next, number, next.proposers[number].current.Retry())
			s.enqueue(next)
		}
	}
	for at := range searchFounders {
		s.expandDisk(state, at)
	}
}

// expandDisk goes on by what befalls the disk of a replica.
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

func (s *stateSearch) deliver(state *searchState, message searchMessage, answered bool) {
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
	if p := &state.proposers[message.from]; answered && !p.done {
		s.handleOutput(state, message.from, p.current.Deliver(reply))
	}
}

// recordAccept notes that an identity holds a value, and checks that chosen values follow one another.
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
		s.check(bytes.HasPrefix(newer.Data, older.Data), "revision %d has %q, %d had %q", newer.Revision, newer.Data, older.Revision, older.Data)
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
	accepts := slices.Clone(state.acceptances)
	slices.SortFunc(accepts, func(a, b acceptance) int { return lo.Ternary(a.accepted.Ballot.Less(b.accepted.Ballot), -1, 1) })
	for _, known := range accepts {
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
		answer, answered := c.replies[id]
		into = append(into, id...)
		into = append(into, lo.Ternary[byte](answered, 1, 0), byte(answer.Refusal))
		into = appendBallot(into, answer.Accepted)
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
	{name: "two change", proposers: [][]Change{{searchAppend("x")}, {searchAppend("y")}}, joiningProposer: -1},
	{name: "two change, and may try again", proposers: [][]Change{{searchAppend("x")}, {searchAppend("y")}}, joiningProposer: -1, retries: 1},
	{name: "two change, a value is learnt unasked", proposers: [][]Change{{searchAppend("x")}, {searchAppend("y")}}, joiningProposer: -1, learns: 1},
	{name: "one changes, a newcomer joins", joiningProposer: -1,
		proposers: [][]Change{{searchAppend("x")}, {searchPlan(searchJoiner), searchPlan(searchJoiner)}}},
	{name: "one changes, a disk is lost and joins anew", proposers: [][]Change{{searchAppend("x"), searchAppend("y")}, nil}, joiningProposer: 1, wipes: 1},
}

func TestExhaustiveSearchFindsNoViolation(t *testing.T) {
	for _, story := range searchScenarios {
		t.Run(story.name, func(t *testing.T) {
			t.Parallel()
			var search stateSearch
			begun := time.Now()
			events, whole := search.run(story, *exhaustiveStates)
			require.Empty(t, search.violation)
			t.Logf("%d states, all stories of %d events (to their end: %v), %v", len(search.seen), events, whole,
				time.Since(begun).Round(time.Millisecond))
		})
	}
}

func TestExhaustiveSearchDetectsDefectiveReplicas(t *testing.T) {
	const mostStates = 400_000
	for name, story := range map[string]searchScenario{
		"keeps its identity when its disk is lost": {proposers: [][]Change{{searchAppend("x")}, {searchAppend("y")}}, joiningProposer: -1, wipes: 1, keepsIdentity: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var search stateSearch
			events, _ := search.run(story, mostStates)
			require.NotEmpty(t, search.violation, "%d events", events)
			t.Logf("%d states, %d events: %s", len(search.seen), events, search.violation)
		})
	}
}
