package fleet

import (
	"net"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/evidence"
	"weldscale/internal/share"
)

const testTimeout = 30 * time.Second

// freeAddress returns a loopback address with a free port.
func freeAddress(t *testing.T) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	return ln.Addr().String()
}

func start(t *testing.T, c Config) *Link {
	if c.OnMessage == nil {
		c.OnMessage = func(string, []byte) bool { return false }
	}
	c.MaxMembers = 3
	l, err := Start(c)
	require.NoError(t, err)
	t.Cleanup(l.Stop)
	return l
}

// Checks that members find each other by the address of any live member and exchange messages, and that members with another
// fleet name or key cannot join.
func TestMembership(t *testing.T) {
	addressA, addressB, addressX, addressY := freeAddress(t), freeAddress(t), freeAddress(t), freeAddress(t)
	received := make(chan string, 10)
	memberA := start(t, Config{Fleet: "print", Name: "a", Bind: addressA, Join: []string{addressB}, Incarnation: 7, Zone: "murun",
		OnMessage: func(from string, data []byte) bool { received <- from + " " + string(data); return false }})
	start(t, Config{Fleet: "other", Name: "x", Bind: addressX, Join: []string{addressA}})
	start(t, Config{Fleet: "print", Name: "y", Bind: addressY, Join: []string{addressA}, Key: make([]byte, 16)})
	assert.Len(t, memberA.Members(), 1, "no other member of the fleet runs")
	memberB := start(t, Config{Fleet: "print", Name: "b", Bind: addressB}) // member a joins it
	require.Eventually(t, func() bool { return len(memberA.Members()) == 2 && len(memberB.Members()) == 2 },
		testTimeout, 20*time.Millisecond)
	assert.Equal(t, Member{Name: "a", Zone: "murun", Address: addressA, Incarnation: 7}, memberB.Members()[0])
	require.Eventually(t, func() bool {
		require.NoError(t, memberB.Send("a", []byte("hello")))
		select {
		case got := <-received:
			return assert.Equal(t, "b hello", got)
		case <-time.After(100 * time.Millisecond):
			return false
		}
	}, testTimeout, time.Millisecond)
	assert.Error(t, memberB.Send("x", []byte("hello")))
	assert.Error(t, memberB.Send("a", make([]byte, maxMessage+1)))
	assert.Len(t, memberA.Members(), 2)
}

// Checks that a member receives the reports on a worker that were sent before it joined. They would otherwise never reach it:
// the members avoid the suspected worker, so they make no new observations of it.
func TestJoiningMemberReceivesEarlierReports(t *testing.T) {
	const service, worker, knownWorkers = "shop", "bad", 5
	first, firstEvidence := startWithEvidence(t, "a", Config{Bind: freeAddress(t)})
	firstEvidence.Tick(service, knownWorkers)
	firstEvidence.Record(service, worker, evidence.Failed)
	for range 3 {
		firstEvidence.Tick(service, knownWorkers) // broadcasts the report while there is no other member
	}
	first.gossip.Reset() // empties the queue, as after the last transmission of the report

	_, secondEvidence := startWithEvidence(t, "b", Config{Bind: freeAddress(t), Join: []string{first.config.Bind}})
	secondEvidence.Tick(service, knownWorkers)
	secondEvidence.Record(service, worker, evidence.Failed)
	require.Eventually(t, func() bool {
		firstEvidence.Tick(service, knownWorkers)
		return slices.Equal([]string{worker}, secondEvidence.Tick(service, knownWorkers))
	}, testTimeout, 10*time.Millisecond, "the second member suspects the worker only with the first member's complaint")
}

// startWithEvidence starts a member that exchanges evidence over its link.
func startWithEvidence(t *testing.T, name string, c Config) (*Link, *Evidence) {
	var link *Link
	const incarnation = 1
	observations := NewEvidence(name, "", incarnation, 3, func() *Link { return link })
	c.Fleet, c.Name, c.Incarnation, c.OnJoin = "print", name, incarnation, observations.ResendAll
	c.OnMessage = func(from string, data []byte) bool {
		_, forward := observations.HandleMessage(from, data)
		return forward
	}
	link = start(t, c)
	return link, observations
}

// Checks that malformed messages, messages of unknown senders and messages beyond the rate limit are dropped and counted.
func TestInvalidMessagesAreDropped(t *testing.T) {
	link := start(t, Config{Fleet: "print", Name: "a", Bind: freeAddress(t)})
	for _, b := range [][]byte{nil, {1}, {2, 1, 'a'}, {1, 0}, {1, 200, 'a'}, append([]byte{1, 1, 'a'}, make([]byte, 60<<10)...)} {
		_, _, ok := link.acceptMessage(b)
		assert.False(t, ok)
	}
	_, _, ok := link.acceptMessage([]byte{1, 1, 'z', 'x'})
	assert.False(t, ok)
	for range 10000 {
		link.acceptMessage([]byte{1, 1, 'a', 'x'})
	}
	c := link.Counts()
	assert.Equal(t, 6, c.Malformed)
	assert.Equal(t, 1, c.UnknownSender)
	assert.LessOrEqual(t, c.Received, 10000-c.OverLimit)
	assert.Greater(t, c.OverLimit, 5000)
	b := NewBudgets("a", 1, func(string, []byte) error { return nil })
	require.NoError(t, b.Add("shop", share.Config{Budget: 10, MaxMembers: 1, Chunks: 4, Voters: []string{"a"},
		LeaseDuration: time.Hour, Burst: 1}))
	defer b.Stop()
	assert.Error(t, b.Add("shop", share.Config{Budget: 10, MaxMembers: 1, Chunks: 4, Voters: []string{"a"},
		LeaseDuration: time.Hour, Burst: 1}))
	for _, text := range []string{"", "{", `{"b":"other","q":{}}`, `{"b":"shop"}`, `{"b":"shop","q":{"w":7}}`} {
		b.HandleMessage("z", []byte(text))
	}
	b.HandleMessage("z", []byte(`{"b":"shop","a":{"l":1,"r":1,"y":"//////8="}}`)) // the sender is not a voter
	assert.Equal(t, 5, b.Status()["shop"].Malformed)
	assert.Zero(t, b.Status()["shop"].Share)
	assert.Equal(t, []int{0, 9, 1023}, decodeChunks(encodeChunks([]int{0, 9, 1023})))
	assert.LessOrEqual(t, len(decodeChunks(make([]byte, 1<<20))), MaxChunks)
}
