package register

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// nodeWithContacts returns node a1 with a chosen value and contacts with other identities of the given ages.
func nodeWithContacts(value Value, ages map[string]time.Duration) *Node {
	now := time.Now()
	n := &Node{
		options:  Options{Address: "a"},
		acceptor: NewAcceptor(Replica{ID: "a1", Address: "a"}, Ballot{}, Accepted{}),
		chosen:   Accepted{Ballot: ballot(2), Value: value},
		peers:    map[string]*peer{},
	}
	for id, age := range ages {
		n.peers[id[:1]] = &peer{id: id, lastAnswered: now.Add(-age)}
	}
	return n
}

// members returns replicas with the given identities. The first letter of an identity is its address.
func members(ids ...string) []Replica {
	var replicas []Replica
	for _, id := range ids {
		replicas = append(replicas, Replica{ID: id, Address: id[:1]})
	}
	return replicas
}

func TestQuorumAgeCountsAMajorityOfTheIdentities(t *testing.T) {
	const recent, old = time.Second, time.Minute
	for name, test := range map[string]struct {
		value Value
		ages  map[string]time.Duration
		want  time.Duration
	}{
		"alone":                         {Value{Replicas: members("a1")}, nil, 0},
		"no set":                        {Value{}, map[string]time.Duration{"b1": recent}, NoContact},
		"no replies":                    {Value{Replicas: members("a1", "b1", "c1")}, nil, NoContact},
		"one of two others":             {Value{Replicas: members("a1", "b1", "c1")}, map[string]time.Duration{"b1": recent}, recent},
		"the most recent of two others": {Value{Replicas: members("a1", "b1", "c1")}, map[string]time.Duration{"b1": old, "c1": recent}, recent},
		"four members need two others":  {Value{Replicas: members("a1", "b1", "c1", "d1")}, map[string]time.Duration{"b1": recent, "c1": old}, old},
		"another disk at the address":   {Value{Replicas: members("a1", "b1", "c1")}, map[string]time.Duration{"b2": recent}, NoContact},
		"not a member itself":           {Value{Replicas: members("b1", "c1", "d1")}, map[string]time.Duration{"b1": recent}, NoContact},
		"majority of the new set only":  {Value{Replicas: members("a1", "d1", "e1"), Previous: members("a1", "b1", "c1")}, map[string]time.Duration{"d1": recent}, NoContact},
		"majorities of both sets":       {Value{Replicas: members("a1", "d1", "e1"), Previous: members("a1", "b1", "c1")}, map[string]time.Duration{"d1": recent, "c1": old}, old},
	} {
		t.Run(name, func(t *testing.T) {
			age := nodeWithContacts(test.value, test.ages).QuorumAge()
			if test.want == NoContact {
				require.Equal(t, NoContact, age)
				return
			}
			require.InDelta(t, test.want.Seconds(), age.Seconds(), 0.5)
		})
	}
}

// TestStateAgeCountsFromTheLastAgreement guards against a node that was cut off and takes itself to be up to date as soon as it
// hears of a majority, although a replica of it has accepted a newer value that may be chosen.
func TestStateAgeCountsFromTheLastAgreement(t *testing.T) {
	const recent, old = 100 * time.Millisecond, time.Minute
	value := Value{Replicas: members("a1", "b1", "c1")}
	now := time.Now()
	for name, test := range map[string]struct {
		peer     peer   // at address b
		accepted Ballot // of the node's own replica
		want     time.Duration
	}{
		"the peer agrees":                {peer{reported: ballot(2), reportedAt: now.Add(-recent)}, Ballot{}, recent},
		"the peer is behind":             {peer{reported: ballot(1), reportedAt: now.Add(-recent)}, Ballot{}, recent},
		"the peer has reported nothing":  {peer{}, Ballot{}, NoContact},
		"a newer value is being written": {peer{reported: ballot(3), reportedAt: now, agreedAt: now.Add(-recent)}, Ballot{}, 0},
		"a newer value stays in doubt":   {peer{reported: ballot(3), reportedAt: now, agreedAt: now.Add(-old)}, Ballot{}, old},
		"it never agreed":                {peer{reported: ballot(3), reportedAt: now}, Ballot{}, NoContact},
		"the own replica is in doubt":    {peer{reported: ballot(2), reportedAt: now}, ballot(3), NoContact},
	} {
		t.Run(name, func(t *testing.T) {
			n := nodeWithContacts(value, nil)
			if test.accepted != (Ballot{}) {
				n.acceptor = NewAcceptor(Replica{ID: "a1", Address: "a"}, Ballot{}, Accepted{Ballot: test.accepted, Value: value})
			}
			test.peer.id, test.peer.lastAnswered = "b1", now
			n.peers["b"] = &test.peer
			age := n.StateAge()
			if test.want == NoContact {
				require.Equal(t, NoContact, age)
				return
			}
			require.InDelta(t, test.want.Seconds(), age.Seconds(), 0.05)
		})
	}
}

// The time of the last agreement stays when the peer reports a newer value, and moves on once that value is known to be chosen.
func TestAgreementMovesOnWithTheChosenValue(t *testing.T) {
	n := nodeWithContacts(Value{Replicas: members("a1", "b1", "c1")}, map[string]time.Duration{"b1": 0})
	peer, start := n.peers["b"], time.Now().Add(-time.Hour)
	at := func(minutes int) time.Time { return start.Add(time.Duration(minutes) * time.Minute) }
	peer.report(ballot(2), at(1), n.chosen.Ballot)
	require.Equal(t, at(1), peer.agreedAt)
	peer.report(ballot(3), at(2), n.chosen.Ballot)
	require.Equal(t, at(1), peer.agreedAt)
	n.chosen.Ballot = ballot(3)
	peer.report(ballot(4), at(3), n.chosen.Ballot)
	require.Equal(t, at(2), peer.agreedAt, "by now its report of ballot 3 is known to be of a chosen value")
	peer.report(ballot(1), at(0), n.chosen.Ballot)
	require.Equal(t, ballot(4), peer.reported, "a reply that was overtaken reports nothing new")
}

// A replica that has accepted another set than the newest chosen one can't know which of the two is in force.
func TestReplicaSetIsInDoubtAfterAnotherWasAccepted(t *testing.T) {
	chosen := Value{Revision: 2, Replicas: members("a1", "b1", "c1")}
	other := Value{Revision: 3, Replicas: members("a1", "b1", "d1"), Previous: chosen.Replicas}
	sameSet := Value{Revision: 3, Replicas: chosen.Replicas, Data: []byte("x")}
	for _, test := range []struct {
		accepted Accepted
		want     bool
	}{
		{Accepted{Ballot: ballot(2), Value: chosen}, false},
		{Accepted{Ballot: ballot(3), Value: sameSet}, false},
		{Accepted{Ballot: ballot(3), Value: other}, true},
		{Accepted{Ballot: ballot(1), Value: other}, false}, // older than the chosen value
	} {
		n := nodeWithContacts(chosen, nil)
		n.acceptor = NewAcceptor(Replica{ID: "a1", Address: "a"}, Ballot{}, test.accepted)
		require.Equal(t, test.want, n.ReplicaSetInDoubt(), "%+v", test.accepted)
	}
}
