package controller

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"weldscale/coordination/lease"
	"weldscale/coordination/transport"
	"weldscale/internal/settings"
)

// lone returns a controller that was restarted, without the others of its group, and its register.
func lone(t *testing.T) (*controller, *fakeRegister) {
	var latest atomic.Pointer[settings.Settings]
	latest.Store(&settings.Settings{IP: "127.0.0.2", InternalPorts: [2]int{7000, 7001}})
	client := transport.NewClient()
	t.Cleanup(client.Close)
	node := newFakeRegister()
	return newController(t.Context(), &latest, node, client, transport.TCPDial(), zap.NewNop()), node
}

func (c *controller) learnReader(holder lease.Member, token uint64) {
	c.leases.with(func(decider *lease.Participant, now time.Duration) {
		voters := []string{c.self.Address, "127.0.0.3:7000", "127.0.0.4:7000"}
		decider.Learn(now, voters, map[string]lease.Record{roleReader: {Holder: holder, Token: token}})
	})
}

// After a loss of power of all, the voters grant nothing for a while; nobody can be served before there is a list.
func TestTheFirstListIsReadWithoutGrants(t *testing.T) {
	c, _ := lone(t)
	c.learnReader(c.self, 5)
	_, held := c.leases.holds(roleReader)
	require.False(t, held, "nobody has granted it")
	token, allowed := c.mayRead()
	require.True(t, allowed)
	require.Equal(t, uint64(5), token)

	require.True(t, c.lists.read(time.Now(), token, nil))
	_, allowed = c.mayRead()
	require.False(t, allowed, "from the second reading on, it takes grants")
}

func TestOnlyTheRecordedReaderInTouchReadsWithoutGrants(t *testing.T) {
	c, node := lone(t)
	_, allowed := c.mayRead()
	require.False(t, allowed, "no record")

	c.learnReader(lease.Member{Address: c.self.Address, Life: "an earlier one"}, 4)
	_, allowed = c.mayRead()
	require.False(t, allowed, "of an earlier life")

	c.learnReader(c.self, 5)
	node.quorumAge = 2 * maxQuorumAge
	_, allowed = c.mayRead()
	require.False(t, allowed, "cut off")
	node.quorumAge = 0

	c.learnReader(lease.Member{Address: "127.0.0.3:7000", Life: "x"}, 6)
	_, allowed = c.mayRead()
	require.False(t, allowed, "superseded")
}
