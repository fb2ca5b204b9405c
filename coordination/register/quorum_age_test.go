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
