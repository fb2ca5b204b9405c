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
func newSingleController(t *testing.T) (*controller, *fakeRegister) {
	var latest atomic.Pointer[settings.Settings]
	latest.Store(&settings.Settings{IP: "127.0.0.2", InternalPorts: [2]int{7000, 7001}})
	client := transport.NewClient()
	t.Cleanup(client.Close)
	node := newFakeRegister()
	return newController(t.Context(), &latest, node, client, transport.TCP(), zap.NewNop()), node
}

func (c *controller) setRecordedReader(holder lease.Member, token uint64) {
	c.leases.withDecider(func(decider *lease.Decider, now time.Duration) {
		voters := []string{c.self.Address, "127.0.0.3:7000", "127.0.0.4:7000"}
		decider.Learn(now, voters, map[string]lease.Record{roleReader: {Holder: holder, Token: token}})
	})
}

// After a loss of power of all, the voters grant nothing for a while; nobody can be served before there is a list.
func TestFirstListIsReadWithoutGrants(t *testing.T) {
	c, _ := newSingleController(t)
	c.setRecordedReader(c.self, 5)
	_, held := c.leases.holds(roleReader)
	require.False(t, held, "nobody has granted it")
	token, allowed := c.mayReadList()
	require.True(t, allowed)
	require.Equal(t, uint64(5), token)

	require.True(t, c.lists.acceptRead(time.Now(), token, nil))
	_, allowed = c.mayReadList()
	require.False(t, allowed, "from the second reading on, it takes grants")
}

func TestOnlyRecordedReaderWithQuorumReadsWithoutGrants(t *testing.T) {
	c, node := newSingleController(t)
	_, allowed := c.mayReadList()
	require.False(t, allowed, "no record")

	c.setRecordedReader(lease.Member{Address: c.self.Address, Life: "an earlier one"}, 4)
	_, allowed = c.mayReadList()
	require.False(t, allowed, "of an earlier life")

	c.setRecordedReader(c.self, 5)
	node.quorumAge = 2 * maxQuorumAge
	_, allowed = c.mayReadList()
	require.False(t, allowed, "cut off")
	node.quorumAge = 0

	c.setRecordedReader(lease.Member{Address: "127.0.0.3:7000", Life: "x"}, 6)
	_, allowed = c.mayReadList()
	require.False(t, allowed, "superseded")
}
