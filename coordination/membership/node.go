package membership

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"
	"go.uber.org/zap"
)

// maxDatagram is small enough that no usual link fragments the datagram.
const maxDatagram = 1400

// Node runs a detector over UDP: it sends and receives datagrams and calls Tick once per interval. Its methods are safe for
// concurrent use.
type Node struct {
	conn     net.PacketConn
	interval time.Duration
	log      *zap.Logger

	mutex    sync.Mutex
	detector *Detector
}

// NewNode returns a node that uses the connection. Run closes the connection when it ends.
func NewNode(options Options, conn net.PacketConn, log *zap.Logger) *Node {
	detector := NewDetector(options)
	return &Node{conn: conn, interval: detector.options.Interval, log: log, detector: detector}
}

// Run takes part in the membership protocol until ctx is done.
func (n *Node) Run(ctx context.Context) {
	var receiver sync.WaitGroup
	receiver.Go(n.receive)
	ticker := time.NewTicker(n.interval)
	defer ticker.Stop()
	for {
		n.tick()
		select {
		case <-ticker.C:
		case <-ctx.Done():
			_ = n.conn.Close()
			receiver.Wait()
			return
		}
	}
}

// AddMembers adds members that are known from another source.
func (n *Node) AddMembers(members []Member) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.detector.AddMembers(time.Now(), members)
}

// LiveMembers returns the other members that are not known to be dead, sorted by name. The result must not be modified.
func (n *Node) LiveMembers() []Member {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.detector.LiveMembers()
}

func (n *Node) tick() {
	n.mutex.Lock()
	envelopes := n.detector.Tick(time.Now())
	n.mutex.Unlock()
	n.send(envelopes)
}

// receive handles datagrams until the connection is closed.
func (n *Node) receive() {
	buffer := make([]byte, maxDatagram)
	for {
		err := n.receiveOne(buffer)
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil: // a malformed datagram, or an ICMP error in response to an earlier one
			n.log.Debug("datagram", zap.Error(err))
		}
	}
}

// receiveOne handles one datagram and sends the replies to it.
func (n *Node) receiveOne(buffer []byte) error {
	size, _, err := n.conn.ReadFrom(buffer)
	if err != nil {
		return eris.Wrap(err, "receive")
	}
	message, err := decode(buffer[:size])
	if err != nil {
		return err
	}
	n.mutex.Lock()
	replies := n.detector.Receive(time.Now(), message)
	n.mutex.Unlock()
	n.send(replies)
	return nil
}

// send sends messages. Errors are ignored, because the protocol tolerates a message that is lost here like one that is lost on
// the network.
func (n *Node) send(envelopes []Envelope) {
	for _, envelope := range envelopes {
		address, err := netip.ParseAddrPort(envelope.To.Address)
		if err != nil {
			continue
		}
		body, err := encode(&envelope.Message)
		if err != nil {
			n.log.Warn("message not encoded", zap.Error(err))
			continue
		}
		_, _ = n.conn.WriteTo(body, net.UDPAddrFromAddrPort(address))
	}
}

// encode encodes a message as arrays, without field names.
func encode(message *Message) ([]byte, error) {
	var body bytes.Buffer
	encoder := msgpack.NewEncoder(&body)
	encoder.UseArrayEncodedStructs(true)
	encoder.UseCompactInts(true)
	err := encoder.Encode(message)
	return body.Bytes(), eris.Wrap(err, "encode message")
}

func decode(body []byte) (Message, error) {
	var message Message
	err := msgpack.Unmarshal(body, &message)
	return message, eris.Wrap(err, "decode message")
}
