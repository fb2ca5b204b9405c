package lease

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// requestGrant sends the heartbeat of the holder to a voter and returns the grants in the reply.
func (g *testGroup) requestGrant(holder, voter string) []RoleToken {
	return g.participants[voter].Receive(g.now, g.participants[holder].Heartbeat(g.now, true)).Granted
}

func (g *testGroup) learnVoters(address string, voters ...string) {
	g.participants[address].Learn(g.now, voters, map[string]Record{key: g.record})
}

func TestVoterGrantsOnlyToMembersWithSameVoters(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, others := group.electFirstHolder()
	voter := others[0]
	require.Len(t, group.requestGrant(holder, voter), 1)
	group.learnVoters(voter, holder, voter, "d")
	require.Empty(t, group.requestGrant(holder, voter), "the requester knows the former voters")
	group.learnVoters(holder, "d", voter, holder)
	require.Len(t, group.requestGrant(holder, voter), 1, "the order of the voters does not matter")
}

func TestNonVoterGrantsNothing(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, others := group.electFirstHolder()
	for _, address := range []string{holder, others[0]} {
		group.learnVoters(address, holder, others[1], "d")
	}
	require.Empty(t, group.requestGrant(holder, others[0]))
}

func TestVoterGrantsNothingWhileVotersAreInDoubt(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, others := group.electFirstHolder()
	group.participants[others[0]].SetVotersInDoubt(true)
	require.Empty(t, group.requestGrant(holder, others[0]))
	group.participants[others[0]].SetVotersInDoubt(false)
	require.Len(t, group.requestGrant(holder, others[0]), 1)
	group.participants[holder].SetVotersInDoubt(true)
	group.now += timing.GrantDuration
	require.Empty(t, group.requestGrant(others[0], holder))
	group.participants[holder].Heartbeat(group.now, true)
	require.Empty(t, group.holders(), "it grants nothing to itself either")
}

// The grants of the former voters may still be valid when the set of voters changes. Until they have expired, the voters of the
// new set renew existing grants only.
func TestChangeOfVotersDelaysNewGrants(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, others := group.electFirstHolder()
	for _, address := range group.voters {
		group.learnVoters(address, "a", "b", "c", "d")
	}
	require.Len(t, group.requestGrant(holder, others[0]), 1, "a valid grant is renewed")
	successor, voter := others[0], others[1]
	group.record = Record{Holder: group.participants[successor].self, Token: group.record.Token + 1}
	for _, address := range group.voters {
		group.learnVoters(address, "a", "b", "c", "e")
	}
	group.participants[holder].Heartbeat(group.now, true)
	group.now += timing.GrantDuration - time.Millisecond
	require.Empty(t, group.requestGrant(successor, voter))
	group.now += time.Millisecond
	require.Len(t, group.requestGrant(successor, voter), 1)
}

// A member that becomes a voter has granted nothing itself, but the grants of the former voters may still be valid. It grants
// nothing until they have expired. Without this rule, seed 436 of the site's turnover test had two holders.
func TestAddedVoterDelaysNewGrants(t *testing.T) {
	successor := Member{Address: "e", Life: "1"}
	former, next := []string{"a", "b", "c"}, []string{"c", "d", "e"}
	records := map[string]Record{key: {Holder: successor, Token: 4}}
	request := Message{From: successor, Healthy: true, Group: hashVoters(next), Asks: []RoleToken{{Key: key, Token: 4}}}
	const changedAt = time.Minute // long after its start
	voter := New(Member{Address: "d", Life: "1"}, []string{key}, timing, 0, false)
	voter.MarkSynced()
	voter.Learn(time.Second, former, map[string]Record{key: {Holder: Member{Address: "a", Life: "1"}, Token: 3}})
	voter.Learn(changedAt, next, records)
	require.Empty(t, voter.Receive(changedAt, request).Granted)
	require.Empty(t, voter.Receive(changedAt+timing.GrantDuration-1, request).Granted)
	require.Len(t, voter.Receive(changedAt+timing.GrantDuration, request).Granted, 1)
}
