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

const patience = 30 * time.Second

// free is an address of a loopback host of its own, so that members do not meet at ports.
func free(t *testing.T) string {
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

// Members find each other by any that lives; those of another fleet, or with another key, stay out.
func TestWhoIsIn(t *testing.T) {
	a, b, c, d := free(t), free(t), free(t), free(t)
	heard := make(chan string, 10)
	one := start(t, Config{Fleet: "print", Name: "a", Bind: a, Join: []string{b}, Incarnation: 7, Zone: "murun",
		OnMessage: func(from string, data []byte) bool { heard <- from + " " + string(data); return false }})
	start(t, Config{Fleet: "other", Name: "x", Bind: c, Join: []string{a}})
	start(t, Config{Fleet: "print", Name: "y", Bind: d, Join: []string{a}, Key: make([]byte, 16)})
	assert.Len(t, one.Members(), 1, "nobody answers at the start")
	two := start(t, Config{Fleet: "print", Name: "b", Bind: b}) // a finds it by itself
	require.Eventually(t, func() bool { return len(one.Members()) == 2 && len(two.Members()) == 2 }, patience, 20*time.Millisecond)
	assert.Equal(t, Member{Name: "a", Zone: "murun", Address: a, Incarnation: 7}, two.Members()[0])
	require.Eventually(t, func() bool {
		require.NoError(t, two.Send("a", []byte("hello")))
		select {
		case got := <-heard:
			return assert.Equal(t, "b hello", got)
		case <-time.After(100 * time.Millisecond):
			return false
		}
	}, patience, time.Millisecond)
	assert.Error(t, two.Send("x", []byte("hello")))
	assert.Error(t, two.Send("a", make([]byte, maxMessage+1)))
	assert.Len(t, one.Members(), 2)
}

// What was seen of a worker before a member joined reaches that member too: nobody tries the worker again meanwhile, so nothing
// new would be said of it.
func TestAMemberThatJoinsLateHearsStandingEvidence(t *testing.T) {
	const service, worker, known = "shop", "bad", 5
	first, firstEvidence := startWithEvidence(t, "a", Config{Bind: free(t)})
	firstEvidence.Tick(service, known)
	firstEvidence.Record(service, worker, evidence.Failed)
	for range 3 {
		firstEvidence.Tick(service, known) // said to nobody
	}
	first.gossip.Reset() // as after its last transmission

	_, secondEvidence := startWithEvidence(t, "b", Config{Bind: free(t), Join: []string{first.c.Bind}})
	secondEvidence.Tick(service, known)
	secondEvidence.Record(service, worker, evidence.Failed)
	require.Eventually(t, func() bool {
		firstEvidence.Tick(service, known)
		return slices.Equal([]string{worker}, secondEvidence.Tick(service, known))
	}, patience, 10*time.Millisecond, "two complaints are enough, and the second member has only its own")
}

// startWithEvidence starts a member whose evidence goes over its link.
func startWithEvidence(t *testing.T, name string, c Config) (*Link, *Evidence) {
	var link *Link
	const life = 1
	books := NewEvidence(name, "", life, 3, func() *Link { return link })
	c.Fleet, c.Name, c.Incarnation, c.OnJoin = "print", name, life, books.ResendAll
	c.OnMessage = func(from string, data []byte) bool {
		_, news := books.HandleMessage(from, data)
		return news
	}
	link = start(t, c)
	return link, books
}

// A message that makes no sense, of nobody or of one who shouts is dropped and counted.
func TestPoison(t *testing.T) {
	l := start(t, Config{Fleet: "print", Name: "a", Bind: free(t)})
	for _, b := range [][]byte{nil, {1}, {2, 1, 'a'}, {1, 0}, {1, 200, 'a'}, append([]byte{1, 1, 'a'}, make([]byte, 60<<10)...)} {
		_, _, ok := l.sender(b)
		assert.False(t, ok)
	}
	_, _, ok := l.sender([]byte{1, 1, 'z', 'x'})
	assert.False(t, ok)
	for range 10000 {
		l.sender([]byte{1, 1, 'a', 'x'})
	}
	c := l.Counts()
	assert.Equal(t, 6, c.Malformed)
	assert.Equal(t, 1, c.UnknownSender)
	assert.LessOrEqual(t, c.Received, 10000-c.OverLimit)
	assert.Greater(t, c.OverLimit, 5000)
	b := NewBudgets("a", 1, func(string, []byte) error { return nil })
	require.NoError(t, b.Add("shop", share.Config{Budget: 10, MaxMembers: 1, Chunks: 4, Voters: []string{"a"}, LeaseDuration: time.Hour, Burst: 1}))
	defer b.Stop()
	assert.Error(t, b.Add("shop", share.Config{Budget: 10, MaxMembers: 1, Chunks: 4, Voters: []string{"a"}, LeaseDuration: time.Hour, Burst: 1}))
	for _, text := range []string{"", "{", `{"b":"other","q":{}}`, `{"b":"shop"}`, `{"b":"shop","q":{"w":7}}`} {
		b.HandleMessage("z", []byte(text))
	}
	b.HandleMessage("z", []byte(`{"b":"shop","a":{"l":1,"r":1,"y":"//////8="}}`)) // of no keeper
	assert.Equal(t, 5, b.Status()["shop"].Malformed)
	assert.Zero(t, b.Status()["shop"].Share)
	assert.Equal(t, []int{0, 9, 1023}, list(bits([]int{0, 9, 1023})))
	assert.LessOrEqual(t, len(list(make([]byte, 1<<20))), MaxChunks)
}
