package register

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// nodeWithContacts is a node in a set that heard some of its members a while ago.
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

// members are named by their disk, at the address that its first letter is.
func members(ids ...string) []Replica {
	var replicas []Replica
	for _, id := range ids {
		replicas = append(replicas, Replica{ID: id, Address: id[:1]})
	}
	return replicas
}

func TestQuorumAgeCountsAMajorityOfTheIdentities(t *testing.T) {
	const near, far = time.Second, time.Minute
	for name, test := range map[string]struct {
		value Value
		ages  map[string]time.Duration
		want  time.Duration
	}{
		"alone":                         {Value{Replicas: members("a1")}, nil, 0},
		"no set":                        {Value{}, map[string]time.Duration{"b1": near}, NoContact},
		"nobody heard":                  {Value{Replicas: members("a1", "b1", "c1")}, nil, NoContact},
		"one of two":                    {Value{Replicas: members("a1", "b1", "c1")}, map[string]time.Duration{"b1": near}, near},
		"the nearer of both":            {Value{Replicas: members("a1", "b1", "c1")}, map[string]time.Duration{"b1": far, "c1": near}, near},
		"two of four are needed":        {Value{Replicas: members("a1", "b1", "c1", "d1")}, map[string]time.Duration{"b1": near, "c1": far}, far},
		"another disk at the address":   {Value{Replicas: members("a1", "b1", "c1")}, map[string]time.Duration{"b2": near}, NoContact},
		"not a member itself":           {Value{Replicas: members("b1", "c1", "d1")}, map[string]time.Duration{"b1": near}, NoContact},
		"the set alone that it becomes": {Value{Replicas: members("a1", "d1", "e1"), Previous: members("a1", "b1", "c1")}, map[string]time.Duration{"d1": near}, NoContact},
		"both sets":                     {Value{Replicas: members("a1", "d1", "e1"), Previous: members("a1", "b1", "c1")}, map[string]time.Duration{"d1": near, "c1": far}, far},
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

// A replica that has accepted another set than the newest chosen one can't tell which of both is in force.
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
		{Accepted{Ballot: ballot(1), Value: other}, false}, // older than what is chosen
	} {
		n := nodeWithContacts(chosen, nil)
		n.acceptor = NewAcceptor(Replica{ID: "a1", Address: "a"}, Ballot{}, test.accepted)
		require.Equal(t, test.want, n.ReplicaSetInDoubt(), "%+v", test.accepted)
	}
}
