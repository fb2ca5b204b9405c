package fleet

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// This file contains the sockets below memberlist: one address for datagrams and streams, bounds on the traffic, and the relay
// that fault tests use. It must not read the content of the traffic.

// Bounds on the sockets. Traffic beyond them is dropped and counted. memberlist treats dropped datagrams as lost and retries.
const (
	maxDatagram      = 2 << 10   // memberlist sends up to 1,400 bytes; encryption and the label add some
	byteBurst        = 256 << 10 // bytes of datagrams at once, in each direction
	maxStreams       = 16        // concurrent streams that other members opened
	maxStreamBytes   = 4 << 20   // the state of 1,024 members takes a tenth of that
	streamTimeout    = 15 * time.Second
	maxAddress       = 64
	maxQueuedPackets = 256 // datagrams that wait for memberlist
)

// Traffic counts what went through the sockets.
type Traffic struct {
	BytesIn, BytesOut     int64 // of datagrams and streams
	DroppedIn, DroppedOut int64 // datagrams beyond the rate or the size, and streams beyond maxStreams
}

// transport implements memberlist.Transport.
type transport struct {
	bind       string
	relay      string // "" for direct connections
	udp        *net.UDPConn
	tcp        net.Listener
	packets    chan *memberlist.Packet
	streams    chan net.Conn
	in, out    *rate.Limiter // bytes of datagrams
	stop       chan struct{}
	once       sync.Once
	goroutines sync.WaitGroup

	mu          sync.Mutex
	traffic     Traffic
	openStreams int // that other members opened
}

// listen opens both sockets. byteRate limits the datagrams in each direction, in bytes per second.
func listen(bind, relay string, byteRate int) (*transport, error) {
	addr, err := net.ResolveUDPAddr("udp", bind)
	if err != nil {
		return nil, err
	}
	t := &transport{bind: bind, relay: relay, packets: make(chan *memberlist.Packet, maxQueuedPackets),
		streams: make(chan net.Conn), in: rate.NewLimiter(rate.Limit(byteRate), byteBurst),
		out: rate.NewLimiter(rate.Limit(byteRate), byteBurst), stop: make(chan struct{})}
	if t.tcp, err = net.Listen("tcp", bind); err != nil {
		return nil, err
	}
	if t.udp, err = net.ListenUDP("udp", addr); err != nil {
		t.tcp.Close()
		return nil, err
	}
	t.goroutines.Go(t.readPackets)
	t.goroutines.Go(t.accept)
	return t, nil
}

func (t *transport) count(update func(*Traffic)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	update(&t.traffic)
}

// Traffic returns the counts since the start.
func (t *transport) Traffic() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.traffic
}

func (t *transport) readPackets() {
	buf := make([]byte, maxDatagram+1)
	for {
		n, from, err := t.udp.ReadFromUDP(buf)
		now := time.Now()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue // an error such as an unreachable port of a peer does not concern this socket
		}
		if n > maxDatagram || n == 0 || !t.in.AllowN(now, n) {
			t.count(func(traffic *Traffic) { traffic.DroppedIn++ })
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: now}
		select {
		case t.packets <- p:
			t.count(func(traffic *Traffic) { traffic.BytesIn += int64(n) })
		default:
			t.count(func(traffic *Traffic) { traffic.DroppedIn++ })
		}
	}
}

func (t *transport) accept() {
	for {
		c, err := t.tcp.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			select { // the process may be out of file descriptors for a while
			case <-time.After(50 * time.Millisecond):
				continue
			case <-t.stop:
				return
			}
		}
		t.mu.Lock()
		full := t.openStreams >= maxStreams
		if full {
			t.traffic.DroppedIn++
		} else {
			t.openStreams++
		}
		t.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		c.SetDeadline(time.Now().Add(streamTimeout))
		select {
		case t.streams <- &stream{Conn: c, transport: t, inbound: true, remaining: maxStreamBytes}:
		case <-t.stop:
			c.Close()
		}
	}
}

// stream is a connection that returns an error after maxStreamBytes have been read, and counts its traffic.
type stream struct {
	net.Conn
	transport *transport
	inbound   bool // opened by another member
	remaining int  // bytes that may still be read
	once      sync.Once
}

func (s *stream) Read(b []byte) (int, error) {
	if s.remaining <= 0 {
		return 0, fmt.Errorf("fleet: stream is larger than the maximum of %d bytes", maxStreamBytes)
	}
	n, err := s.Conn.Read(b[:min(len(b), s.remaining)])
	s.remaining -= n
	s.transport.count(func(traffic *Traffic) { traffic.BytesIn += int64(n) })
	return n, err
}

func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.transport.count(func(traffic *Traffic) { traffic.BytesOut += int64(n) })
	return n, err
}

func (s *stream) Close() error {
	s.once.Do(func() {
		if s.inbound {
			s.transport.mu.Lock()
			s.transport.openStreams--
			s.transport.mu.Unlock()
		}
	})
	return s.Conn.Close()
}

// RelayHeader returns the header of a datagram or a stream to a relay. It contains the addresses of the receiver and the
// sender, each with a length byte before it.
func RelayHeader(to, from string) []byte {
	b := append([]byte{byte(len(to))}, to...)
	return append(append(b, byte(len(from))), from...)
}

// ReadRelayHeader reads the header that RelayHeader returns.
func ReadRelayHeader(r io.Reader) (to, from string, err error) {
	var addresses [2]string
	for i := range addresses {
		var n [1]byte
		if _, err := io.ReadFull(r, n[:]); err != nil {
			return "", "", err
		}
		if n[0] > maxAddress {
			return "", "", fmt.Errorf("fleet: relay header has an address of %d bytes, more than the maximum of %d", n[0], maxAddress)
		}
		b := make([]byte, n[0])
		if _, err := io.ReadFull(r, b); err != nil {
			return "", "", err
		}
		addresses[i] = string(b)
	}
	return addresses[0], addresses[1], nil
}

// FinalAdvertiseAddr implements memberlist.Transport.
func (t *transport) FinalAdvertiseAddr(string, int) (net.IP, int, error) {
	a := t.udp.LocalAddr().(*net.UDPAddr)
	return a.IP, a.Port, nil
}

// WriteTo implements memberlist.Transport.
func (t *transport) WriteTo(b []byte, addr string) (time.Time, error) {
	now := time.Now()
	if !t.out.AllowN(now, len(b)) {
		t.count(func(traffic *Traffic) { traffic.DroppedOut++ })
		return now, nil // memberlist treats the datagram as lost in the network
	}
	t.count(func(traffic *Traffic) { traffic.BytesOut += int64(len(b)) })
	if t.relay != "" {
		b, addr = append(RelayHeader(addr, t.bind), b...), t.relay
	}
	to, err := net.ResolveUDPAddr("udp", addr)
	if err == nil {
		_, err = t.udp.WriteToUDP(b, to)
	}
	return now, err
}

// PacketCh implements memberlist.Transport.
func (t *transport) PacketCh() <-chan *memberlist.Packet { return t.packets }

// DialTimeout implements memberlist.Transport.
func (t *transport) DialTimeout(addr string, timeout time.Duration) (net.Conn, error) {
	to := addr
	if t.relay != "" {
		to = t.relay
	}
	c, err := net.DialTimeout("tcp", to, timeout)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(streamTimeout))
	if t.relay != "" {
		if _, err := c.Write(RelayHeader(addr, t.bind)); err != nil {
			c.Close()
			return nil, err
		}
	}
	return &stream{Conn: c, transport: t, remaining: maxStreamBytes}, nil
}

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown implements memberlist.Transport.
func (t *transport) Shutdown() error {
	t.once.Do(func() {
		close(t.stop)
		t.udp.Close()
		t.tcp.Close()
		t.goroutines.Wait()
	})
	return nil
}
