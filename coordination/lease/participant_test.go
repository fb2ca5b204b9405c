package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const key = "role"

var timing = DefaultTiming()

// testGroup is a group of participants without a network. Tests pass the messages between them.
type testGroup struct {
	t            *testing.T
	now          time.Duration
	voters       []string
	participants map[string]*Participant
	record       Record
}

func newTestGroup(t *testing.T, addresses ...string) *testGroup {
	group := &testGroup{t: t, voters: addresses, participants: make(map[string]*Participant)}
	for _, address := range addresses {
		group.participants[address] = New(Member{address, "1"}, []string{key}, timing, 0, true)
	}
	group.learn()
	for _, participant := range group.participants {
		participant.MarkSynced()
	}
	return group
}

func (g *testGroup) learn() {
	for _, participant := range g.participants {
		participant.Learn(g.now, g.voters, map[string]Record{key: g.record})
	}
}

// exchangeHeartbeats advances the time by 200 ms, sends the heartbeats of all senders to all receivers, delivers the replies,
// and returns the senders that then claim the role.
func (g *testGroup) exchangeHeartbeats(senders, receivers []string) []string {
	g.now += 200 * time.Millisecond
	for _, from := range senders {
		message := g.participants[from].Heartbeat(g.now, true)
		for _, to := range receivers {
			if to != from {
				g.participants[from].HandleReply(g.now, g.now, g.participants[to].Receive(g.now, message))
			}
		}
	}
	var claiming []string
	for _, address := range senders {
		for _, claim := range g.participants[address].Claims(g.now) {
			require.Equal(g.t, Claim{Key: key, Previous: g.record.Token}, claim)
			claiming = append(claiming, address)
		}
	}
	return claiming
}

func (g *testGroup) recordHolder(address string) {
	g.record = Record{Holder: g.participants[address].self, Token: g.record.Token + 1}
	g.learn()
}

func (g *testGroup) holders() []string {
	var holding []string
	for _, address := range g.voters {
		if _, held := g.participants[address].Holds(g.now, key); held {
			holding = append(holding, address)
		}
	}
	return holding
}

// electFirstHolder runs the group until it has its first holder, and returns the holder and the other members.
func (g *testGroup) electFirstHolder() (holder string, others []string) {
	g.exchangeHeartbeats(g.voters, g.voters)
	claiming := g.exchangeHeartbeats(g.voters, g.voters)
	if len(claiming) == 0 { // the claim was made in the first exchange
		claiming = []string{Owner(key, g.voters)}
	}
	require.Len(g.t, claiming, 1)
	g.recordHolder(claiming[0])
	g.exchangeHeartbeats(g.voters, g.voters)
	require.Equal(g.t, claiming, g.holders())
	for _, address := range g.voters {
		if address != claiming[0] {
			others = append(others, address)
		}
	}
	return claiming[0], others
}

func TestReachableHolderKeepsItsRole(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, _ := group.electFirstHolder()
	for range 50 {
		require.Empty(t, group.exchangeHeartbeats(group.voters, group.voters))
		require.Equal(t, []string{holder}, group.holders())
	}
}

func TestSilentHolderIsReplacedWithinOneSecond(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, others := group.electFirstHolder()
	lostAt := group.now
	var claiming []string
	for len(claiming) == 0 {
		claiming = group.exchangeHeartbeats(others, others)
		require.LessOrEqual(t, group.now-lostAt, time.Second)
	}
	require.Len(t, claiming, 1)
	require.NotContains(t, claiming, holder)
	require.Empty(t, group.holders(), "the former holder stops before its successor can start")
	group.recordHolder(claiming[0])
	group.exchangeHeartbeats(others, others)
	require.Equal(t, claiming, group.holders())
	require.LessOrEqual(t, group.now-lostAt, 1200*time.Millisecond)
}

func TestHolderUnreachableByOneMemberKeepsItsRole(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, others := group.electFirstHolder()
	unreached := others[0]
	for range 30 {
		reached := []string{holder, others[1]}
		require.Empty(t, group.exchangeHeartbeats(reached, reached))
		group.now -= 200 * time.Millisecond
		require.Empty(t, group.exchangeHeartbeats(others, others))
		require.Equal(t, []string{holder}, group.holders())
		require.NotEqual(t, holder, unreached)
	}
}

func TestReleasedRoleIsClaimedImmediately(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, others := group.electFirstHolder()
	group.participants[holder].ReleaseAll()
	require.Empty(t, group.holders())
	require.Empty(t, group.exchangeHeartbeats([]string{holder}, group.voters), "a leaving member claims no role")
	claiming := group.exchangeHeartbeats(others, others)
	require.Len(t, claiming, 1)
	group.recordHolder(claiming[0])
	group.exchangeHeartbeats(others, others)
	require.Equal(t, claiming, group.holders())
}

func TestReleasedRoleIsTakenUnderHigherToken(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, _ := group.electFirstHolder()
	token := group.record.Token
	group.participants[holder].ReleaseRole(key, token-1)
	require.Equal(t, []string{holder}, group.holders(), "a release under another token is ignored")
	group.participants[holder].ReleaseRole(key, token)
	require.Empty(t, group.holders())
	claiming := group.exchangeHeartbeats(group.voters, group.voters)
	require.NotEmpty(t, claiming)
	group.recordHolder(claiming[0])
	group.exchangeHeartbeats(group.voters, group.voters)
	group.exchangeHeartbeats(group.voters, group.voters)
	require.Equal(t, []string{claiming[0]}, group.holders())
	require.Greater(t, group.record.Token, token)
}

func TestRoleOfRestartedHolderGetsNewToken(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, _ := group.electFirstHolder()
	group.participants[holder] = New(Member{holder, "2"}, []string{key}, timing, group.now, false)
	group.learn()
	group.participants[holder].MarkSynced()
	claiming := group.exchangeHeartbeats(group.voters, group.voters)
	require.NotEmpty(t, claiming)
	group.recordHolder(claiming[0])
	for range 5 {
		group.exchangeHeartbeats(group.voters, group.voters)
	}
	require.Equal(t, []string{claiming[0]}, group.holders())
	require.Equal(t, uint64(2), group.record.Token)
}

func TestRecordedHolderMayLackGrants(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, others := group.electFirstHolder()
	group.now += timing.GrantDuration
	token, recorded := group.participants[holder].RecordedToken(key)
	require.True(t, recorded, "the grants have expired but the record is unchanged")
	require.Equal(t, uint64(1), token)
	group.recordHolder(others[0])
	_, recorded = group.participants[holder].RecordedToken(key)
	require.False(t, recorded)
	group.participants[others[0]].ReleaseAll()
	_, recorded = group.participants[others[0]].RecordedToken(key)
	require.False(t, recorded, "the role was released")
}

func TestSuspendedHolderDetectsExpiredGrants(t *testing.T) {
	group := newTestGroup(t, "a", "b", "c")
	holder, _ := group.electFirstHolder()
	group.now += timing.GrantDuration
	_, held := group.participants[holder].Holds(group.now, key)
	require.False(t, held)
}

func TestRestartedVoterDelaysGrants(t *testing.T) {
	restarted := newVoter(timing.GrantDuration, timing.GrantDuration)
	require.False(t, restarted.tryGrant(timing.GrantDuration, RoleToken{key, 7}), "the register has not been read")
	restarted.synced = true
	require.False(t, restarted.tryGrant(timing.GrantDuration-1, RoleToken{key, 7}))
	require.True(t, restarted.tryGrant(timing.GrantDuration, RoleToken{key, 7}))
	restarted.observeToken(key, 8)
	require.False(t, restarted.tryGrant(timing.GrantDuration, RoleToken{key, 7}))
}

func TestVoterGrantsOneTokenAtATime(t *testing.T) {
	member := newVoter(timing.GrantDuration, 0)
	member.synced = true
	require.True(t, member.tryGrant(0, RoleToken{key, 1}))
	require.True(t, member.tryGrant(100, RoleToken{key, 1}))
	require.False(t, member.tryGrant(200, RoleToken{key, 2}), "token 1 has the grant")
	require.False(t, member.tryGrant(300, RoleToken{key, 1}), "token 1 is not renewed after a request for token 2")
	require.True(t, member.tryGrant(100+timing.GrantDuration, RoleToken{key, 2}))
	require.False(t, member.tryGrant(100+timing.GrantDuration, RoleToken{key, 1}))
	member.release(200+timing.GrantDuration, RoleToken{key, 1})
	require.False(t, member.tryGrant(200+timing.GrantDuration, RoleToken{key, 3}), "a late release of token 1 does not end the grant of token 2")
	member.release(200+timing.GrantDuration, RoleToken{key, 2})
	require.True(t, member.tryGrant(200+timing.GrantDuration, RoleToken{key, 3}))
}

func TestOwnerMovesOnlyKeysOfDepartedMember(t *testing.T) {
	members := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	counts := make(map[string]int)
	for i := range 300 {
		name := fmt.Sprintf("key-%d", i)
		owner := Owner(name, members)
		counts[owner]++
		if owner != members[2] {
			require.Equal(t, owner, Owner(name, members[:2]))
		}
	}
	for _, member := range members {
		require.Greater(t, counts[member], 50)
	}
	require.Empty(t, Owner(key, nil))
}

// A restarted member does not know what it granted in its previous run, and must wait until those grants have expired. A member
// that starts with the whole group has granted nothing and need not wait.
func TestRestartedMemberWaitsForGrantsOfItsPreviousRun(t *testing.T) {
	requester, voters := Member{Address: "a", Life: "1"}, []string{"a", "b", "c"}
	request := Message{From: requester, Healthy: true, Group: hashVoters(voters), Asks: []RoleToken{{Key: key, Token: 3}}}
	for _, newGroup := range []bool{false, true} {
		const started = 100 * time.Second
		voter := New(Member{Address: "b", Life: "2"}, []string{key}, timing, started, newGroup)
		voter.Learn(started, voters, map[string]Record{key: {Holder: requester, Token: 3}})
		voter.MarkSynced()
		require.Equal(t, newGroup, len(voter.Receive(started, request).Granted) == 1)
		require.Equal(t, newGroup, len(voter.Receive(started+timing.GrantDuration-1, request).Granted) == 1)
		require.Len(t, voter.Receive(started+timing.GrantDuration, request).Granted, 1)
	}
}

// The holder counts the duration of a grant from when it sent the request. The voter counts from when the request arrived,
// which is later, so the holder stops first.
func TestGrantDurationCountsFromRequest(t *testing.T) {
	self, voters := Member{Address: "a", Life: "1"}, []string{"a", "b", "c"}
	holder := New(self, []string{key}, timing, 0, true)
	holder.Learn(0, voters, map[string]Record{key: {Holder: self, Token: 1}})
	holder.MarkSynced()
	const sentAt, delay = 100 * time.Millisecond, 400 * time.Millisecond
	holder.HandleReply(sentAt, sentAt+delay, Reply{From: Member{Address: "b", Life: "1"}, Granted: []RoleToken{{Key: key, Token: 1}}})
	holder.HandleReply(sentAt, sentAt+delay, Reply{From: Member{Address: "c", Life: "1"}, Granted: []RoleToken{{Key: key, Token: 1}}})
	expiresAt := sentAt + timing.GrantDuration - timing.ExpiryMargin
	_, held := holder.Holds(expiresAt-1, key)
	require.True(t, held)
	_, held = holder.Holds(expiresAt, key)
	require.False(t, held)
}
