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

// newSingleController returns a controller that was restarted and has no contact with the others of its group, and its
// register.
func newSingleController(t *testing.T) (*controller, *fakeRegister) {
	var latest atomic.Pointer[settings.Settings]
	latest.Store(&settings.Settings{IP: "127.0.0.2", InternalPorts: [2]int{7000, 7001}})
	client := transport.NewClient()
	t.Cleanup(client.Close)
	node := newFakeRegister()
	return newController(t.Context(), &latest, node, client, transport.TCPDial(), zap.NewNop()), node
}

// setRecordedReader makes a member the recorded holder of the role that reads the list.
func (c *controller) setRecordedReader(holder lease.Member, token uint64) {
	c.leases.withParticipant(func(participant *lease.Participant, now time.Duration) {
		voters := []string{c.self.Address, "127.0.0.3:7000", "127.0.0.4:7000"}
		participant.Learn(now, voters, map[string]lease.Record{roleReader: {Holder: holder, Token: token}})
	})
}

// Guards against a late first list after a power loss of all machines: the voters grant nothing for a while after the restart,
// and no request can be served without a list.
func TestFirstListIsReadWithoutGrants(t *testing.T) {
	c, _ := newSingleController(t)
	c.setRecordedReader(c.self, 5)
	_, held := c.leases.holds(roleReader)
	require.False(t, held, "no voter has granted the role")
	token, allowed := c.mayReadList()
	require.True(t, allowed)
	require.Equal(t, uint64(5), token)

	require.True(t, c.lists.acceptRead(time.Now(), token, nil))
	_, allowed = c.mayReadList()
	require.False(t, allowed, "from the second read on, the role requires grants")
}

func TestOnlyRecordedReaderWithQuorumReadsWithoutGrants(t *testing.T) {
	c, node := newSingleController(t)
	_, allowed := c.mayReadList()
	require.False(t, allowed, "the role has no record")

	c.setRecordedReader(lease.Member{Address: c.self.Address, Life: "an earlier one"}, 4)
	_, allowed = c.mayReadList()
	require.False(t, allowed, "the record names an earlier incarnation of this controller")

	c.setRecordedReader(c.self, 5)
	node.quorumAge = 2 * maxQuorumAge
	_, allowed = c.mayReadList()
	require.False(t, allowed, "the controller is cut off from the majority")
	node.quorumAge = 0

	c.setRecordedReader(lease.Member{Address: "127.0.0.3:7000", Life: "x"}, 6)
	_, allowed = c.mayReadList()
	require.False(t, allowed, "the record names another controller")
}
