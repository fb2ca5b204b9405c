package register

import (
	"testing"

	"github.com/stretchr/testify/require"
)

var self = Replica{ID: "me", Address: "1"}

func ballot(round uint64) Ballot { return Ballot{Round: round, Proposer: 7} }

func prepare(round uint64) Request { return Request{Kind: Prepare, To: self.ID, Ballot: ballot(round)} }

func accept(round uint64, data string) Request {
	value := &Value{Revision: round, Data: []byte(data)}
	return Request{Kind: Accept, To: self.ID, Ballot: ballot(round), Value: value}
}

// beginAndFinish begins a request that needs a write and finishes it as if the write were durable.
func beginAndFinish(t *testing.T, a *Acceptor, request Request) Reply {
	t.Helper()
	step := a.Begin(request)
	require.NotNil(t, step.Write)
	return a.Finish(step)
}

func TestAcceptorRepliesOnlyAfterItsWrite(t *testing.T) {
	a := NewAcceptor(self, Ballot{}, Accepted{})
	step := a.Begin(prepare(5))
	require.Equal(t, ballot(5), *step.Write.Promised)
	query := a.Begin(Request{Kind: Query}).Reply
	require.Equal(t, Ballot{}, query.Promised, "a promise must not be reported before it is durable")
	require.Equal(t, Busy, a.Begin(accept(6, "x")).Reply.Refusal)
	reply := a.Finish(step)
	require.Equal(t, NoRefusal, reply.Refusal)
	require.Equal(t, ballot(5), reply.Promised)

	step = a.Begin(accept(5, "five"))
	require.Equal(t, "five", string(step.Write.Accepted.Value.Data))
	require.Equal(t, Ballot{}, a.Accepted().Ballot)
	reply = a.Finish(step)
	require.Equal(t, NoRefusal, reply.Refusal)
	require.Equal(t, ballot(5), reply.Accepted)
	require.Equal(t, "five", string(a.Accepted().Value.Data))
}

func TestAcceptorKeepsItsPromise(t *testing.T) {
	a := NewAcceptor(self, Ballot{}, Accepted{})
	beginAndFinish(t, a, prepare(5))
	for _, request := range []Request{prepare(4), accept(4, "x")} {
		step := a.Begin(request)
		require.Nil(t, step.Write)
		require.Equal(t, Superseded, step.Reply.Refusal)
		require.Equal(t, ballot(5), step.Reply.Promised)
	}
	beginAndFinish(t, a, accept(6, "six"))
	require.Equal(t, Superseded, a.Begin(prepare(5)).Reply.Refusal, "accepting implies the promise")
}

func TestAcceptorRepeatsAReplyWithoutAWrite(t *testing.T) {
	a := NewAcceptor(self, Ballot{}, Accepted{})
	first := beginAndFinish(t, a, prepare(5))
	again := a.Begin(prepare(5))
	require.Nil(t, again.Write)
	require.Equal(t, first, again.Reply)
	first = beginAndFinish(t, a, accept(5, "five"))
	again = a.Begin(accept(5, "five"))
	require.Nil(t, again.Write)
	require.Equal(t, first, again.Reply)
}

func TestAcceptorKeepsItsStateWhenAWriteFails(t *testing.T) {
	a := NewAcceptor(self, Ballot{}, Accepted{})
	reply := a.Abandon(a.Begin(prepare(5)), DiskFull)
	require.Equal(t, DiskFull, reply.Refusal)
	require.Equal(t, Ballot{}, reply.Promised)
	beginAndFinish(t, a, prepare(3))
}

func TestAcceptorRewritesAnUnconfirmedValueBeforeAPromise(t *testing.T) {
	a := NewAcceptor(self, Ballot{}, Accepted{})
	reply := a.Abandon(a.Begin(accept(5, "five")), DiskFailed)
	require.Equal(t, Ballot{}, reply.Accepted, "the value may not be on the disk")
	step := a.Begin(prepare(6))
	require.Equal(t, ballot(5), step.Write.Accepted.Ballot, "the value may be on the disk")
	require.Equal(t, ballot(6), *step.Write.Promised)
	require.Equal(t, Ballot{}, a.Abandon(step, DiskFailed).Accepted)
	reply = beginAndFinish(t, a, prepare(7))
	require.Equal(t, "five", string(reply.Value.Data))
	require.Equal(t, ballot(7), reply.Promised)
	require.Nil(t, a.Begin(prepare(8)).Write.Accepted, "the value is durable now")
}

func TestAcceptorDropsAnUnconfirmedValueAfterANewerAccept(t *testing.T) {
	a := NewAcceptor(self, Ballot{}, Accepted{})
	a.Abandon(a.Begin(accept(5, "five")), DiskFailed)
	beginAndFinish(t, a, accept(6, "six"))
	require.Nil(t, a.Begin(prepare(7)).Write.Accepted)
}

func TestAcceptorRefusesRequestsForOtherIdentities(t *testing.T) {
	a := NewAcceptor(self, Ballot{}, Accepted{})
	for _, request := range []Request{prepare(5), accept(5, "x"), {Kind: Query}} {
		request.To = "another replica"
		step := a.Begin(request)
		require.Nil(t, step.Write)
		require.Equal(t, IdentityMismatch, step.Reply.Refusal)
		require.Equal(t, self, step.Reply.From)
	}
	require.Equal(t, NoRefusal, a.Begin(Request{Kind: Query}).Reply.Refusal)
}

func TestAcceptorSendsItsValueOnlyAboveTheKnownBallot(t *testing.T) {
	a := NewAcceptor(self, ballot(2), Accepted{Ballot: ballot(4), Value: Value{Data: []byte("four")}})
	require.Equal(t, ballot(4), a.Begin(Request{Kind: Query}).Reply.Promised)
	require.Nil(t, a.Begin(Request{Kind: Query}).Reply.Value)
	require.NotNil(t, a.Begin(Request{Kind: Query, WantValue: true, Known: ballot(3)}).Reply.Value)
	require.Nil(t, a.Begin(Request{Kind: Query, WantValue: true, Known: ballot(4)}).Reply.Value)
	request := prepare(5)
	request.Known = ballot(4)
	require.Nil(t, beginAndFinish(t, a, request).Value)
	require.Equal(t, "four", string(beginAndFinish(t, a, prepare(6)).Value.Data))
}

func TestAcceptorLearnsAChosenValueAndKeepsItsPromise(t *testing.T) {
	a := NewAcceptor(self, Ballot{}, Accepted{})
	beginAndFinish(t, a, prepare(9))
	chosen := Accepted{Ballot: ballot(5), Value: Value{Revision: 5, Data: []byte("five")}}
	step := a.Learn(chosen)
	require.Equal(t, chosen, *step.Write.Accepted)
	require.Nil(t, a.Learn(chosen).Write, "only one step with a write may be open")
	a.Finish(step)
	require.Equal(t, chosen, a.Accepted())
	require.Equal(t, Superseded, a.Begin(accept(8, "x")).Reply.Refusal, "the promise must hold")
	require.Nil(t, a.Learn(chosen).Write)
	require.Equal(t, ballot(5), beginAndFinish(t, a, prepare(10)).Accepted, "a proposer must see the learned value")

	behind := NewAcceptor(self, Ballot{}, Accepted{})
	behind.Finish(behind.Learn(chosen))
	require.Equal(t, Superseded, behind.Begin(prepare(4)).Reply.Refusal, "a learned value implies the promise")
}

func TestAcceptorRewritesAnUnconfirmedLearnedValueBeforeAPromise(t *testing.T) {
	a := NewAcceptor(self, Ballot{}, Accepted{})
	chosen := Accepted{Ballot: ballot(5), Value: Value{Revision: 5, Data: []byte("five")}}
	a.Abandon(a.Learn(chosen), DiskFailed)
	require.Equal(t, Ballot{}, a.Accepted().Ballot)
	step := a.Begin(prepare(6))
	require.Equal(t, chosen, *step.Write.Accepted, "the value may be on the disk")
	require.Equal(t, ballot(5), a.Finish(step).Accepted)
}
