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

// exState is one state of the model.
type exState struct {
	replicas  []exReplica
	proposers []exProposer
	flying    []exMessage
	wipes     int // disks that may yet be lost
	learns    int // values that replicas may yet write unasked
	accepts   []exAccepts
}

// exReplica is an acceptor at an address. A lost disk gives it another identity.
type exReplica struct {
	acceptor Acceptor
	wiped    bool
}

// exProposer drives operations one after the other.
type exProposer struct {
	plan    []Change // operations that are left, the present one first
	current Proposer
	ballots *BallotGenerator
	at      Replica
	retries int // that it may yet make
	done    bool
}

// exMessage is a request on its way to a replica.
type exMessage struct {
	to       int // of replicas
	from     int // the proposer that asked
	request  *Request
	encoding string
}

// exAccepts are the identities that have ever held a value under a ballot.
type exAccepts struct {
	accepted Accepted
	ids      []string
}

// exStory is what a search begins with.
type exStory struct {
	name      string
	proposers [][]Change
	// joins is the proposer that begins once a disk is lost, at that replica; -1: none.
	joins   int
	wipes   int
	learns  int
	retries int // of each proposer
	// broken variants, which the search has to catch
	keepsIdentity bool
}

var exReplicas = []Replica{{ID: "A", Address: "a"}, {ID: "B", Address: "b"}, {ID: "C", Address: "c"}}

// exNewcomer is a fourth machine that joins.
var exNewcomer = Replica{ID: "D", Address: "d"}

func exAppend(text string) Change {
	return func(chosen Value) (Value, error) {
		if !bytes.Contains(chosen.Data, []byte(text)) {
			chosen.Data = append(slices.Clone(chosen.Data), text...)
		}
		return chosen, nil
	}
}

func exPlan(self Replica) Change {
	planner := Planner{Self: self, TargetReplicas: 3, MaxReplicas: 6, SilentFor: func(Replica) time.Duration { return 0 }}
	return func(chosen Value) (Value, error) { return planner.Next(chosen), nil }
}

// exSearch goes through the states.
type exSearch struct {
	story    exStory
	seed     maphash.Seed
	seen     map[[2]uint64]bool
	next     []exState // states of one more event than those that are looked at
	violated string
	buffer   []byte
}

// run looks at all states of one event after the other, and returns the number of events of which it has seen all stories.
func (s *exSearch) run(story exStory, mostStates int) (events int, whole bool) {
	s.story = story
	s.seed = maphash.MakeSeed()
	s.seen = map[[2]uint64]bool{}
	s.add(s.first())
	for ; len(s.next) > 0 && s.violated == ""; events++ {
		present := s.next
		s.next = nil
		for i := range present {
			s.visit(&present[i])
			if len(s.seen) > mostStates {
				return events, false
			}
		}
	}
	return events, true
}

// add keeps a state to be looked at, if it was not met before.
func (s *exSearch) add(state exState) {
	if s.violated == "" && !s.met(&state) {
		s.next = append(s.next, state)
	}
}

func (s *exSearch) first() exState {
	genesis := Genesis(exReplicas)
	state := exState{wipes: s.story.wipes, learns: s.story.learns}
	for _, replica := range append(slices.Clone(exReplicas), exNewcomer) {
		accepted := genesis
		if replica == exNewcomer {
			accepted = Accepted{}
		}
		state.replicas = append(state.replicas, exReplica{acceptor: *NewAcceptor(replica, Ballot{}, accepted)})
	}
	for number, plan := range s.story.proposers {
		p := exProposer{plan: plan, retries: s.story.retries, at: state.replicas[number].acceptor.self}
		p.ballots = NewBallotGenerator(uint64(number + 1))
		state.proposers = append(state.proposers, p)
	}
	state.accepts = []exAccepts{{accepted: genesis, ids: []string{"A", "B", "C"}}}
	for number := range state.proposers {
		if number != s.story.joins {
			s.begin(&state, number, genesis)
		}
	}
	return state
}

// begin starts the next operation of a proposer.
func (s *exSearch) begin(state *exState, number int, known Accepted) {
	p := &state.proposers[number]
	if len(p.plan) == 0 {
		p.done = true
		return
	}
	p.current = *NewProposer(p.at, p.ballots, known, known.Ballot, p.plan[0])
	p.plan = p.plan[1:]
	s.output(state, number, p.current.Start())
}

func (s *exSearch) output(state *exState, number int, output Output) {
	p := &state.proposers[number]
	for _, message := range output.Messages {
		if message.Request.Kind == Commit {
			continue
		}
		to := slices.IndexFunc(state.replicas, func(r exReplica) bool { return r.acceptor.self.Address == message.To.Address })
		request := message.Request
		state.fly(exMessage{to: to, from: number, request: &request})
	}
	if output.Done {
		result, _ := p.current.Result()
		s.check(chosenIn(state, result), "a proposer took revision %d for chosen", result.Value.Revision)
		s.begin(state, number, result)
	}
}

func (state *exState) fly(message exMessage) {
	message.encoding = message.encode()
	state.flying = append(state.flying, message)
}

// chosenIn reports whether a majority holds, or held, a value under its ballot.
func chosenIn(state *exState, accepted Accepted) bool {
	for _, known := range state.accepts {
		if known.accepted.Ballot == accepted.Ballot {
			return known.accepted.Value.Quorum(func(id string) bool { return slices.Contains(known.ids, id) })
		}
	}
	return false
}

func (s *exSearch) check(holds bool, format string, arguments ...any) {
	if !holds && s.violated == "" {
		s.violated = fmt.Sprintf(format, arguments...)
	}
}

// clone copies what events change. Values are never changed, and are shared.
func (state *exState) clone() exState {
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
	next.flying = slices.Clone(state.flying)
	next.accepts = slices.Clone(state.accepts)
	return next
}

// visit goes on from a state by each event that is possible.
func (s *exSearch) visit(state *exState) {
	for at := range state.flying {
		for _, answered := range []bool{true, false} {
			next := state.clone()
			message := next.flying[at]
			next.flying = slices.Delete(next.flying, at, at+1)
			s.deliver(&next, message, answered)
			s.add(next)
		}
	}
	for number := range state.proposers {
		if p := &state.proposers[number]; p.retries > 0 && !p.done && p.current.phase != idle && p.current.phase != ended {
			next := state.clone()
			next.proposers[number].retries--
			s.output(&next, number, next.proposers[number].current.Retry())
			s.add(next)
		}
	}
	for at := range exReplicas {
		s.visitDisk(state, at)
	}
}

// visitDisk goes on by what befalls the disk of a replica.
func (s *exSearch) visitDisk(state *exState, at int) {
	if state.wipes > 0 && !state.replicas[at].wiped {
		next := state.clone()
		s.wipe(&next, at)
		s.add(next)
	}
	if state.learns == 0 {
		return
	}
	for _, known := range state.accepts {
		if chosenIn(state, known.accepted) && state.replicas[at].acceptor.accepted.Ballot.Less(known.accepted.Ballot) {
			next := state.clone()
			next.learns--
			s.learn(&next, at, known.accepted)
			s.add(next)
		}
	}
}

func (s *exSearch) wipe(state *exState, at int) {
	state.wipes--
	replica := &state.replicas[at]
	replica.wiped = true
	self := replica.acceptor.self
	if !s.story.keepsIdentity {
		self.ID += "'"
	}
	accepted := Accepted{}
	if s.story.keepsIdentity {
		accepted = Genesis(exReplicas)
	}
	replica.acceptor = *NewAcceptor(self, Ballot{}, accepted)
	if s.story.joins >= 0 {
		p := &state.proposers[s.story.joins]
		p.at = self
		p.plan = []Change{exPlan(self), exPlan(self)}
		s.begin(state, s.story.joins, Genesis(exReplicas))
	}
}

func (s *exSearch) learn(state *exState, at int, chosen Accepted) {
	acceptor := &state.replicas[at].acceptor
	if !chosen.Value.HasMember(acceptor.self.ID) {
		return
	}
	step := acceptor.Learn(chosen)
	acceptor.Finish(step)
	s.accepted(state, acceptor.self.ID, chosen)
}

func (s *exSearch) deliver(state *exState, message exMessage, answered bool) {
	replica := &state.replicas[message.to]
	step := replica.acceptor.Begin(*message.request)
	reply := step.Reply
	if step.Write != nil {
		reply = replica.acceptor.Finish(step)
		if step.Write.Accepted != nil {
			s.accepted(state, replica.acceptor.self.ID, *step.Write.Accepted)
		}
	}
	if reply.Refusal == IdentityMismatch {
		reply.From.ID = message.request.To
	}
	if p := &state.proposers[message.from]; answered && !p.done {
		s.output(state, message.from, p.current.Deliver(reply))
	}
}

// accepted notes that an identity holds a value, and checks that chosen values follow one another.
func (s *exSearch) accepted(state *exState, id string, accepted Accepted) {
	at := slices.IndexFunc(state.accepts, func(a exAccepts) bool { return a.accepted.Ballot == accepted.Ballot })
	if at < 0 {
		state.accepts = append(state.accepts, exAccepts{accepted: accepted})
		at = len(state.accepts) - 1
	}
	if slices.Contains(state.accepts[at].ids, id) {
		return
	}
	state.accepts[at].ids = append(slices.Clone(state.accepts[at].ids), id)
	if !chosenIn(state, accepted) {
		return
	}
	for _, other := range state.accepts {
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

// met reports whether a state was met before.
func (s *exSearch) met(state *exState) bool {
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

func (state *exState) encode(into []byte) []byte {
	for i := range state.replicas {
		a := &state.replicas[i].acceptor
		into = append(into, a.self.ID...)
		into = appendBallot(into, a.promised, a.accepted.Ballot)
	}
	for i := range state.proposers {
		into = state.proposers[i].encode(into)
	}
	encodings := lo.Map(state.flying, func(m exMessage, _ int) string { return m.encoding })
	slices.Sort(encodings)
	for _, encoding := range encodings {
		into = append(into, encoding...)
	}
	into = append(into, byte(state.wipes), byte(state.learns))
	accepts := slices.Clone(state.accepts)
	slices.SortFunc(accepts, func(a, b exAccepts) int { return lo.Ternary(a.accepted.Ballot.Less(b.accepted.Ballot), -1, 1) })
	for _, known := range accepts {
		into = appendBallot(into, known.accepted.Ballot)
		for _, id := range slices.Sorted(slices.Values(known.ids)) {
			into = append(into, id...)
		}
	}
	return into
}

func (p *exProposer) encode(into []byte) []byte {
	c := &p.current
	into = append(into, byte(len(p.plan)), byte(p.retries), byte(c.phase), lo.Ternary[byte](p.done, 1, 0))
	into = binary.AppendUvarint(into, p.ballots.round)
	into = append(into, p.at.ID...)
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

func (m *exMessage) encode() string {
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

var exStories = []exStory{
	{name: "two change", proposers: [][]Change{{exAppend("x")}, {exAppend("y")}}, joins: -1},
	{name: "two change, and may try again", proposers: [][]Change{{exAppend("x")}, {exAppend("y")}}, joins: -1, retries: 1},
	{name: "two change, a value is learnt unasked", proposers: [][]Change{{exAppend("x")}, {exAppend("y")}}, joins: -1, learns: 1},
	{name: "one changes, a newcomer joins", joins: -1,
		proposers: [][]Change{{exAppend("x")}, {exPlan(exNewcomer), exPlan(exNewcomer)}}},
	{name: "one changes, a disk is lost and joins anew", proposers: [][]Change{{exAppend("x"), exAppend("y")}, nil}, joins: 1, wipes: 1},
}

func TestAllStoriesOfAFewEvents(t *testing.T) {
	for _, story := range exStories {
		t.Run(story.name, func(t *testing.T) {
			t.Parallel()
			var search exSearch
			begun := time.Now()
			events, whole := search.run(story, *exhaustiveStates)
			require.Empty(t, search.violated)
			t.Logf("%d states, all stories of %d events (to their end: %v), %v", len(search.seen), events, whole,
				time.Since(begun).Round(time.Millisecond))
		})
	}
}

func TestAllStoriesFindBrokenReplicas(t *testing.T) {
	const mostStates = 400_000
	for name, story := range map[string]exStory{
		"keeps its identity when its disk is lost": {proposers: [][]Change{{exAppend("x")}, {exAppend("y")}}, joins: -1, wipes: 1, keepsIdentity: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var search exSearch
			events, _ := search.run(story, mostStates)
			require.NotEmpty(t, search.violated, "%d events", events)
			t.Logf("%d states, %d events: %s", len(search.seen), events, search.violated)
		})
	}
}
