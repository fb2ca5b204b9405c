package membership

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// newLoopbackNode returns a node on a loopback address, without running it, and the member that it represents.
func newLoopbackNode(t *testing.T, name string) (*Node, Member) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	self := Member{Name: name, Address: conn.LocalAddr().String()}
	return NewNode(Options{Self: self}, conn, zap.NewNop()), self
}

func TestNodesDiscoverEachOther(t *testing.T) {
	first, firstSelf := newLoopbackNode(t, "first")
	second, secondSelf := newLoopbackNode(t, "second")
	buffer := make([]byte, maxDatagram)
	first.AddMembers([]Member{secondSelf})
	first.tick()
	require.NoError(t, second.receiveOne(buffer)) // heartbeat
	require.NoError(t, second.receiveOne(buffer)) // probe
	require.NoError(t, first.receiveOne(buffer))  // reply
	require.Equal(t, []Member{secondSelf}, first.LiveMembers())
	require.Equal(t, []Member{firstSelf}, second.LiveMembers())
}

func TestNodeIgnoresMalformedDatagram(t *testing.T) {
	first, firstSelf := newLoopbackNode(t, "first")
	second, secondSelf := newLoopbackNode(t, "second")
	address, err := net.ResolveUDPAddr("udp4", firstSelf.Address)
	require.NoError(t, err)
	_, err = second.conn.WriteTo([]byte{0xc1, 1, 2}, address)
	require.NoError(t, err)
	buffer := make([]byte, maxDatagram)
	require.Error(t, first.receiveOne(buffer))
	second.AddMembers([]Member{firstSelf})
	second.tick()
	require.NoError(t, first.receiveOne(buffer))
	require.Equal(t, []Member{secondSelf}, first.LiveMembers())
}

func TestNodeStopsWithItsContext(t *testing.T) {
	node, _ := newLoopbackNode(t, "alone")
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	node.Run(ctx)
	_, err := node.conn.WriteTo([]byte{0}, node.conn.LocalAddr())
	require.ErrorIs(t, err, net.ErrClosed)
}
