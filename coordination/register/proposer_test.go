package register

import (
	"fmt"
	"testing"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"
	"github.com/stretchr/testify/require"
)

func replicas(names ...string) []Replica {
	return lo.Map(names, func(name string, _ int) Replica { return Replica{ID: name, Address: "at " + name} })
}

// cluster holds the acceptors for a proposer under test. Their writes are durable at once.
type cluster struct {
	t           *testing.T
	acceptors   map[string]*Acceptor
	unreachable map[string]bool // identities of replicas that get no messages
}

func newCluster(t *testing.T, first Accepted, names ...string) *cluster {
	c := &cluster{t: t, acceptors: map[string]*Acceptor{}, unreachable: map[string]bool{}}
	for _, replica := range replicas(names...) {
		accepted := first
		if !first.Value.HasReplica(replica.ID) {
			accepted = Accepted{}
		}
		c.acceptors[replica.ID] = NewAcceptor(replica, Ballot{}, accepted)
	}
	return c
}

// deliver delivers a message to its replica and returns the reply. It returns false if there is none.
func (c *cluster) deliver(message Message) (Reply, bool) {
	a := c.acceptors[message.To.ID]
	if c.unreachable[message.To.ID] || a == nil || message.Request.Kind == Commit {
		return Reply{}, false
	}
	step := a.Begin(message.Request)
	if step.Write == nil {
		return step.Reply, true
	}
	return a.Finish(step), true
}

// run delivers messages until none is left, or the proposer is done or requests a retry.
func (c *cluster) run(p *Proposer, output Output) Output {
	queue := output.Messages
	for len(queue) > 0 && !output.Done && !output.Retry {
		message := queue[0]
		queue = queue[1:]
		if reply, replied := c.deliver(message); replied {
			output = p.Deliver(reply)
			queue = append(queue, output.Messages...)
		}
	}
	return output
}

func setTo(data string) Change {
	return func(value Value) (Value, error) {
		value.Data = []byte(data)
		return value, nil
	}
}

func TestProposerWritesInTwoRounds(t *testing.T) {
	first := Genesis(replicas("a", "b", "c"))
	c := newCluster(t, first, "a", "b", "c")
	c.unreachable["c"] = true
	p := NewProposer(Replica{ID: "a"}, NewBallotGenerator(1), first, first.Ballot, setTo("x"))
	require.True(t, c.run(p, p.Start()).Done)
	result, err := p.Result()
	require.NoError(t, err)
	require.Equal(t, "x", string(result.Value.Data))
	require.EqualValues(t, 1, result.Value.Revision)
	require.EqualValues(t, 1, result.Value.DataRevision)
	require.False(t, p.InDoubt())
	require.Equal(t, result.Ballot, c.acceptors["b"].Accepted().Ballot)
}

func TestProposerSendsCommitsToAllMembers(t *testing.T) {
	first := Genesis(replicas("a", "b", "c"))
	c := newCluster(t, first, "a", "b", "c")
	p := NewProposer(Replica{ID: "a"}, NewBallotGenerator(1), first, first.Ballot, setTo("x"))
	output := c.run(p, p.Start())
	require.True(t, output.Done)
	require.Len(t, output.Messages, 3)
	for _, message := range output.Messages {
		require.Equal(t, Commit, message.Request.Kind)
		require.Nil(t, message.Request.Value)
	}
}

func TestProposerCompletesAValueInDoubtBeforeItsChange(t *testing.T) {
	first := Genesis(replicas("a", "b", "c"))
	c := newCluster(t, first, "a", "b", "c")
	old := Value{Revision: 1, Origin: ballot(3), Replicas: first.Value.Replicas, Data: []byte("old")}
	doubtful := Accepted{Ballot: ballot(3), Value: old}
	c.acceptors["a"] = NewAcceptor(replicas("a")[0], Ballot{}, doubtful)
	c.unreachable["c"] = true
	var seen []string
	p := NewProposer(Replica{ID: "b"}, NewBallotGenerator(1), first, first.Ballot, func(value Value) (Value, error) {
		seen = append(seen, string(value.Data))
		value.Data = []byte("new")
		return value, nil
	})
	output := c.run(p, p.Start())
	for !output.Done {
		output = c.run(p, p.Retry())
	}
	require.True(t, output.Done)
	result, _ := p.Result()
	require.EqualValues(t, 2, result.Value.Revision)
	require.NotContains(t, seen, "", "the change must be applied to chosen values only")
}

func TestProposerReturnsTheErrorOfTheChange(t *testing.T) {
	first := Genesis(replicas("a", "b", "c"))
	c := newCluster(t, first, "a", "b", "c")
	refused := eris.New("refused")
	refuse := func(value Value) (Value, error) { return value, refused }
	p := NewProposer(Replica{ID: "a"}, NewBallotGenerator(1), first, first.Ballot, refuse)
	require.True(t, c.run(p, p.Start()).Done)
	_, err := p.Result()
	require.ErrorIs(t, err, refused)
	require.Equal(t, genesisBallot, c.acceptors["a"].Accepted().Ballot)
}

func TestProposerRetriesAboveAnObservedBallot(t *testing.T) {
	first := Genesis(replicas("a", "b", "c"))
	c := newCluster(t, first, "a", "b", "c")
	for _, id := range []string{"a", "b"} {
		c.deliver(Message{To: Replica{ID: id}, Request: Request{Kind: Prepare, To: id, Ballot: ballot(50)}})
	}
	p := NewProposer(Replica{ID: "a"}, NewBallotGenerator(1), first, first.Ballot, setTo("x"))
	require.True(t, c.run(p, p.Start()).Retry)
	require.True(t, c.run(p, p.Retry()).Done)
	result, _ := p.Result()
	require.Greater(t, result.Ballot.Round, uint64(50))
}

// proposerInDoubt returns a proposer whose proposal was accepted by replica a only. The reply of a is lost.
func proposerInDoubt(c *cluster, first Accepted, change Change) *Proposer {
	p := NewProposer(Replica{ID: "a"}, NewBallotGenerator(1), first, first.Ballot, change)
	var accepts []Message
	for _, message := range p.Start().Messages {
		reply, _ := c.deliver(message)
		accepts = append(accepts, p.Deliver(reply).Messages...)
	}
	c.deliver(accepts[0]) // its reply is lost
	return p
}

func TestProposalInDoubtIsFoundChosen(t *testing.T) {
	first := Genesis(replicas("a", "b", "c"))
	c := newCluster(t, first, "a", "b", "c")
	calls := 0
	p := proposerInDoubt(c, first, func(value Value) (Value, error) {
		calls++
		value.Data = fmt.Appendf(nil, "%sx", value.Data)
		return value, nil
	})
	require.True(t, p.InDoubt())
	output := p.Retry()
	require.True(t, p.InDoubt())
	require.True(t, c.run(p, output).Done)
	result, _ := p.Result()
	require.Equal(t, "x", string(result.Value.Data))
	require.Equal(t, 1, calls)
	require.False(t, p.InDoubt())
}

func TestProposalInDoubtIsNotRuledOutByPromises(t *testing.T) {
	first := Genesis(replicas("a", "b", "c"))
	c := newCluster(t, first, "a", "b", "c")
	refused := eris.New("refused")
	calls := 0
	proposer := proposerInDoubt(c, first, func(value Value) (Value, error) {
		if calls++; calls > 1 {
			return value, refused
		}
		return setTo("x")(value)
	})
	c.unreachable["a"] = true
	output := proposer.Retry()
	var accepts []Message
	for _, message := range output.Messages[1:] {
		reply, _ := c.deliver(message)
		accepts = append(accepts, proposer.Deliver(reply).Messages...)
	}
	require.True(t, proposer.InDoubt(), "another proposer may still complete the value that a has accepted")
	require.NotEmpty(t, accepts)
	require.Equal(t, Accept, accepts[0].Request.Kind, "the base must be chosen again under a higher ballot")
	require.True(t, c.run(proposer, Output{Messages: accepts}).Done)
	_, err := proposer.Result()
	require.ErrorIs(t, err, refused)
	require.False(t, proposer.InDoubt())
}

func TestJointSetNeedsBothMajorities(t *testing.T) {
	first := Genesis(replicas("a", "b", "c"))
	c := newCluster(t, first, "a", "b", "c", "d", "e")
	c.unreachable["d"] = true
	toNew := func(value Value) (Value, error) {
		value.Previous, value.Replicas = value.Replicas, replicas("c", "d", "e")
		return value, nil
	}
	p := NewProposer(Replica{ID: "a"}, NewBallotGenerator(1), first, first.Ballot, toNew)
	c.unreachable["e"] = true
	require.False(t, c.run(p, p.Start()).Done, "a majority of the new set is missing")
	c.unreachable["e"] = false
	require.True(t, c.run(p, p.Retry()).Done)
	joint, _ := p.Result()
	require.True(t, joint.Value.Joint())

	finish := func(value Value) (Value, error) { value.Previous = nil; return value, nil }
	c.unreachable["a"], c.unreachable["b"] = true, true
	p = NewProposer(Replica{ID: "e"}, NewBallotGenerator(2), joint, joint.Ballot, finish)
	require.False(t, c.run(p, p.Start()).Done, "a majority of the old set is missing")
	c.unreachable["b"] = false
	require.True(t, c.run(p, p.Retry()).Done)
	simple, _ := p.Result()
	require.Equal(t, replicas("c", "d", "e"), simple.Value.Members())
}

func TestProposerFollowsAReconfiguredSet(t *testing.T) {
	first := Genesis(replicas("a", "b", "c"))
	c := newCluster(t, first, "a", "b", "c", "d")
	move := func(value Value) (Value, error) {
		if value.Joint() {
			value.Previous = nil
		} else {
			value.Previous, value.Replicas = value.Replicas, replicas("b", "c", "d")
		}
		return value, nil
	}
	known := first
	for range 2 {
		proposer := NewProposer(Replica{ID: "b"}, NewBallotGenerator(1), known, known.Ballot, move)
		require.True(t, c.run(proposer, proposer.Start()).Done)
		known, _ = proposer.Result()
	}
	stale := NewProposer(Replica{ID: "a"}, NewBallotGenerator(9), first, first.Ballot, setTo("x"))
	output := c.run(stale, stale.Start())
	for !output.Done {
		output = c.run(stale, stale.Retry())
	}
	require.True(t, output.Done)
	result, _ := stale.Result()
	require.Equal(t, replicas("b", "c", "d"), result.Value.Replicas)
	require.EqualValues(t, 3, result.Value.Revision)
	require.EqualValues(t, 3, result.Value.DataRevision)
}

func TestReaderNeedsOneBallotOnAMajority(t *testing.T) {
	first := Genesis(replicas("a", "b", "c"))
	newer := Accepted{Ballot: ballot(4), Value: Value{Revision: 1, Replicas: first.Value.Replicas, Data: []byte("x")}}
	c := newCluster(t, first, "a", "b", "c")
	c.acceptors["b"] = NewAcceptor(replicas("b")[0], Ballot{}, newer)
	r := NewReader(Replica{ID: "z"}, first)
	queue := r.Start().Messages
	require.Len(t, queue, 3)
	values := 0
	deliver := func() (output Output) {
		for len(queue) > 0 {
			reply, _ := c.deliver(queue[0])
			values += lo.Ternary(reply.Value != nil, 1, 0)
			output = r.Deliver(reply)
			queue = append(queue[1:], output.Messages...)
		}
		return output
	}
	require.True(t, deliver().Done == r.Done())
	require.False(t, r.Known().Ballot == newer.Ballot && r.Done(), "only one replica holds the newer value")
	c.acceptors["c"] = NewAcceptor(replicas("c")[0], Ballot{}, newer)
	r = NewReader(Replica{ID: "z"}, first)
	queue = r.Start().Messages
	values = 0
	deliver()
	require.True(t, r.Done())
	require.Equal(t, "x", string(r.Known().Value.Data))
	require.LessOrEqual(t, values, 2)
}
