package membership

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
)

// startNode returns a node on loopback that doesn't run yet, and itself as a member.
func startNode(t *testing.T, name string) (*Node, Member) {
	conn, err := net.ListenPacket("udp4", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	t.Cleanup(func() { _ = conn.Close() })
	self := Member{Name: name, Address: conn.LocalAddr().String()}
	return NewNode(Options{Self: self}, conn, zap.NewNop()), self
}

func TestNodesFindEachOther(t *testing.T) {
	first, firstSelf := startNode(t, "first")
	second, secondSelf := startNode(t, "second")
	buffer := make([]byte, maxDatagram)
	first.AddMembers([]Member{secondSelf})
	first.tick()
	require.NoError(t, second.receiveOne(buffer)) // the heartbeat
	require.NoError(t, second.receiveOne(buffer)) // the question
	require.NoError(t, first.receiveOne(buffer))  // the answer
	require.Equal(t, []Member{secondSelf}, first.LiveMembers())
	require.Equal(t, []Member{firstSelf}, second.LiveMembers())
}

func TestANodePassesDamageOver(t *testing.T) {
	first, firstSelf := startNode(t, "first")
	second, secondSelf := startNode(t, "second")
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

func TestANodeEndsWithItsContext(t *testing.T) {
	node, _ := startNode(t, "alone")
	ctx, stop := context.WithCancel(t.Context())
	stop()
	node.Run(ctx)
	_, err := node.conn.WriteTo([]byte{0}, node.conn.LocalAddr())
	require.ErrorIs(t, err, net.ErrClosed)
}
