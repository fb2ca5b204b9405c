package lease

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const key = "role"

var timing = DefaultTiming()

// table is a group of deciders without a network: tests pass the messages.
type table struct {
	t        *testing.T
	now      time.Duration
	voters   []string
	deciders map[string]*Participant
	record   Record
}

func newTable(t *testing.T, addresses ...string) *table {
	set := &table{t: t, voters: addresses, deciders: make(map[string]*Participant)}
	for _, address := range addresses {
		set.deciders[address] = New(Member{address, "1"}, []string{key}, timing, 0, true)
	}
	set.learn()
	for _, decider := range set.deciders {
		decider.MarkSynced()
	}
	return set
}

func (s *table) learn() {
	for _, decider := range s.deciders {
		decider.Learn(s.now, s.voters, map[string]Record{key: s.record})
	}
}

// round has the senders exchange heartbeats with the receivers, and returns who claims the role then.
func (s *table) round(senders, receivers []string) []string {
	s.now += 200 * time.Millisecond
	for _, from := range senders {
		message := s.deciders[from].Heartbeat(s.now, true)
		for _, to := range receivers {
			if to != from {
				s.deciders[from].HandleReply(s.now, s.now, s.deciders[to].Receive(s.now, message))
			}
		}
	}
	var claiming []string
	for _, address := range senders {
		for _, claim := range s.deciders[address].Claims(s.now) {
			require.Equal(s.t, Claim{Key: key, Previous: s.record.Token}, claim)
			claiming = append(claiming, address)
		}
	}
	return claiming
}

func (s *table) take(address string) {
	s.record = Record{Holder: s.deciders[address].self, Token: s.record.Token + 1}
	s.learn()
}

func (s *table) holders() []string {
	var holding []string
	for _, address := range s.voters {
		if _, held := s.deciders[address].Holds(s.now, key); held {
			holding = append(holding, address)
		}
	}
	return holding
}

// settle brings the group to a first holder and returns it with the others.
func (s *table) settle() (holder string, others []string) {
	s.round(s.voters, s.voters)
	claiming := s.round(s.voters, s.voters)
	if len(claiming) == 0 { // the first round, in which the members met, had the claim
		claiming = []string{Owner(key, s.voters)}
	}
	require.Len(s.t, claiming, 1)
	s.take(claiming[0])
	s.round(s.voters, s.voters)
	require.Equal(s.t, claiming, s.holders())
	for _, address := range s.voters {
		if address != claiming[0] {
			others = append(others, address)
		}
	}
	return claiming[0], others
}

func TestAHolderStaysAsLongAsItIsHeard(t *testing.T) {
	set := newTable(t, "a", "b", "c")
	holder, _ := set.settle()
	for range 50 {
		require.Empty(t, set.round(set.voters, set.voters))
		require.Equal(t, []string{holder}, set.holders())
	}
}

func TestASilentHolderIsReplacedWithinASecond(t *testing.T) {
	set := newTable(t, "a", "b", "c")
	holder, others := set.settle()
	cutAt := set.now
	var claiming []string
	for len(claiming) == 0 {
		claiming = set.round(others, others)
		require.LessOrEqual(t, set.now-cutAt, time.Second)
	}
	require.Len(t, claiming, 1)
	require.NotContains(t, claiming, holder)
	require.Empty(t, set.holders(), "the former holder stopped before its successor can begin")
	set.take(claiming[0])
	set.round(others, others)
	require.Equal(t, claiming, set.holders())
	require.LessOrEqual(t, set.now-cutAt, 1200*time.Millisecond)
}

func TestAHolderThatOneMemberDoesNotHearStays(t *testing.T) {
	set := newTable(t, "a", "b", "c")
	holder, others := set.settle()
	deaf := others[0]
	for range 30 {
		hearing := []string{holder, others[1]}
		require.Empty(t, set.round(hearing, hearing))
		set.now -= 200 * time.Millisecond
		require.Empty(t, set.round(others, others))
		require.Equal(t, []string{holder}, set.holders())
		require.NotEqual(t, holder, deaf)
	}
}

func TestAReleasedRoleIsTakenAtOnce(t *testing.T) {
	set := newTable(t, "a", "b", "c")
	holder, others := set.settle()
	set.deciders[holder].ReleaseAll()
	require.Empty(t, set.holders())
	require.Empty(t, set.round([]string{holder}, set.voters), "who leaves takes nothing")
	claiming := set.round(others, others)
	require.Len(t, claiming, 1)
	set.take(claiming[0])
	set.round(others, others)
	require.Equal(t, claiming, set.holders())
}

func TestARoleThatIsGivenUpIsTakenUnderAnotherToken(t *testing.T) {
	set := newTable(t, "a", "b", "c")
	holder, _ := set.settle()
	token := set.record.Token
	set.deciders[holder].ReleaseRole(key, token-1)
	require.Equal(t, []string{holder}, set.holders(), "another token")
	set.deciders[holder].ReleaseRole(key, token)
	require.Empty(t, set.holders())
	claiming := set.round(set.voters, set.voters)
	require.NotEmpty(t, claiming)
	set.take(claiming[0])
	set.round(set.voters, set.voters)
	set.round(set.voters, set.voters)
	require.Equal(t, []string{claiming[0]}, set.holders())
	require.Greater(t, set.record.Token, token)
}

func TestARestartedHolderTakesANewToken(t *testing.T) {
	set := newTable(t, "a", "b", "c")
	holder, _ := set.settle()
	set.deciders[holder] = New(Member{holder, "2"}, []string{key}, timing, set.now, false)
	set.learn()
	set.deciders[holder].MarkSynced()
	claiming := set.round(set.voters, set.voters)
	require.NotEmpty(t, claiming)
	set.take(claiming[0])
	for range 5 {
		set.round(set.voters, set.voters)
	}
	require.Equal(t, []string{claiming[0]}, set.holders())
	require.Equal(t, uint64(2), set.record.Token)
}

func TestARecordedHolderMayBeWithoutGrants(t *testing.T) {
	set := newTable(t, "a", "b", "c")
	holder, others := set.settle()
	set.now += timing.Grant
	token, recorded := set.deciders[holder].RecordedToken(key)
	require.True(t, recorded, "its grants have run out, its record stands")
	require.Equal(t, uint64(1), token)
	set.take(others[0])
	_, recorded = set.deciders[holder].RecordedToken(key)
	require.False(t, recorded)
	set.deciders[others[0]].ReleaseAll()
	_, recorded = set.deciders[others[0]].RecordedToken(key)
	require.False(t, recorded, "it was given up")
}

func TestAFrozenHolderSeesThatItsGrantsRanOut(t *testing.T) {
	set := newTable(t, "a", "b", "c")
	holder, _ := set.settle()
	set.now += timing.Grant
	_, held := set.deciders[holder].Holds(set.now, key)
	require.False(t, held)
}

func TestAVoterThatStartedAnewGrantsNothingYet(t *testing.T) {
	restarted := newVoter(timing.Grant, timing.Grant)
	require.False(t, restarted.ask(timing.Grant, RoleToken{key, 7}), "not read from the register")
	restarted.synced = true
	require.False(t, restarted.ask(timing.Grant-1, RoleToken{key, 7}))
	require.True(t, restarted.ask(timing.Grant, RoleToken{key, 7}))
	restarted.saw(key, 8)
	require.False(t, restarted.ask(timing.Grant, RoleToken{key, 7}))
}

func TestAVoterGrantsOneTokenAtATime(t *testing.T) {
	member := newVoter(timing.Grant, 0)
	member.synced = true
	require.True(t, member.ask(0, RoleToken{key, 1}))
	require.True(t, member.ask(100, RoleToken{key, 1}))
	require.False(t, member.ask(200, RoleToken{key, 2}), "granted to 1")
	require.False(t, member.ask(300, RoleToken{key, 1}), "2 was asked for: 1 is not renewed")
	require.True(t, member.ask(100+timing.Grant, RoleToken{key, 2}))
	require.False(t, member.ask(100+timing.Grant, RoleToken{key, 1}))
	member.release(200+timing.Grant, RoleToken{key, 1})
	require.False(t, member.ask(200+timing.Grant, RoleToken{key, 3}), "a late release of 1 does not end the grant of 2")
	member.release(200+timing.Grant, RoleToken{key, 2})
	require.True(t, member.ask(200+timing.Grant, RoleToken{key, 3}))
}

func TestOwnerMovesOnlyTheKeysOfTheMemberThatLeft(t *testing.T) {
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

// A member that was restarted has forgotten what it granted in its former life; one that starts with the whole group has granted
// nothing.
func TestARestartedMemberGrantsOnlyAfterTheGrantsOfItsFormerLife(t *testing.T) {
	asker, voters := Member{Address: "a", Life: "1"}, []string{"a", "b", "c"}
	ask := Message{From: asker, Healthy: true, Group: groupOf(voters), Asks: []RoleToken{{Key: key, Token: 3}}}
	for _, fresh := range []bool{false, true} {
		const started = 100 * time.Second
		voter := New(Member{Address: "b", Life: "2"}, []string{key}, timing, started, fresh)
		voter.Learn(started, voters, map[string]Record{key: {Holder: asker, Token: 3}})
		voter.MarkSynced()
		require.Equal(t, fresh, len(voter.Receive(started, ask).Granted) == 1)
		require.Equal(t, fresh, len(voter.Receive(started+timing.Grant-1, ask).Granted) == 1)
		require.Len(t, voter.Receive(started+timing.Grant, ask).Granted, 1)
	}
}

// A grant holds from the moment at which it was asked for: the voter counts from when it was asked, which is later.
func TestAGrantIsAsOldAsItsQuestion(t *testing.T) {
	self, voters := Member{Address: "a", Life: "1"}, []string{"a", "b", "c"}
	holder := New(self, []string{key}, timing, 0, true)
	holder.Learn(0, voters, map[string]Record{key: {Holder: self, Token: 1}})
	holder.MarkSynced()
	const sent, slow = 100 * time.Millisecond, 400 * time.Millisecond
	holder.HandleReply(sent, sent+slow, Reply{From: Member{Address: "b", Life: "1"}, Granted: []RoleToken{{Key: key, Token: 1}}})
	holder.HandleReply(sent, sent+slow, Reply{From: Member{Address: "c", Life: "1"}, Granted: []RoleToken{{Key: key, Token: 1}}})
	ends := sent + timing.Grant - timing.Margin
	_, held := holder.Holds(ends-1, key)
	require.True(t, held)
	_, held = holder.Holds(ends, key)
	require.False(t, held)
}
