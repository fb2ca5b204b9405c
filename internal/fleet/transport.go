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

// This file owns the sockets under memberlist: one address for datagrams and streams, bounds on what goes through them, and
// the way by a relay that rehearsals of faults take. It must never read what it carries.

// Bounds on the sockets. What is beyond them is dropped and counted; memberlist takes datagrams for lost, and asks again.
const (
	maxDatagram  = 2 << 10   // memberlist keeps to 1,400 bytes; a sealed and labeled one is somewhat longer
	bytesOnce    = 256 << 10 // of datagrams at once, each way
	maxStreams   = 16        // that others have open here at once
	maxStream    = 4 << 20   // bytes of one: the state of 1,024 members is a tenth of that
	streamFor    = 15 * time.Second
	maxAddress   = 64
	waitingInbox = 256 // datagrams that wait for memberlist
)

// Traffic counts what went through the sockets.
type Traffic struct {
	BytesIn, BytesOut     int64 // of datagrams and streams
	DroppedIn, DroppedOut int64 // datagrams beyond the rate or the size, and streams beyond the number
}

// transport is memberlist.Transport.
type transport struct {
	bind    string
	via     string // a relay; "": straight
	udp     *net.UDPConn
	tcp     net.Listener
	packets chan *memberlist.Packet
	streams chan net.Conn
	in, out *rate.Limiter // bytes of datagrams
	stop    chan struct{}
	once    sync.Once
	done    sync.WaitGroup

	mu   sync.Mutex
	wire Traffic
	open int // streams of others
}

// listen opens both sockets. bytes is the rate of datagrams that is borne each way, a second.
func listen(bind, via string, bytes int) (*transport, error) {
	addr, err := net.ResolveUDPAddr("udp", bind)
	if err != nil {
		return nil, err
	}
	t := &transport{bind: bind, via: via, packets: make(chan *memberlist.Packet, waitingInbox), streams: make(chan net.Conn),
		in: rate.NewLimiter(rate.Limit(bytes), bytesOnce), out: rate.NewLimiter(rate.Limit(bytes), bytesOnce), stop: make(chan struct{})}
	if t.tcp, err = net.Listen("tcp", bind); err != nil {
		return nil, err
	}
	if t.udp, err = net.ListenUDP("udp", addr); err != nil {
		t.tcp.Close()
		return nil, err
	}
	t.done.Go(t.readPackets)
	t.done.Go(t.accept)
	return t, nil
}

func (t *transport) count(f func(*Traffic)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	f(&t.wire)
}

// Wire is the counts so far.
func (t *transport) Wire() Traffic {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.wire
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
			continue // such as a port that was unreachable: it says nothing of this socket
		}
		if n > maxDatagram || n == 0 || !t.in.AllowN(now, n) {
			t.count(func(w *Traffic) { w.DroppedIn++ })
			continue
		}
		p := &memberlist.Packet{Buf: append([]byte(nil), buf[:n]...), From: from, Timestamp: now}
		select {
		case t.packets <- p:
			t.count(func(w *Traffic) { w.BytesIn += int64(n) })
		default:
			t.count(func(w *Traffic) { w.DroppedIn++ })
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
			select { // descriptors run short, or so
			case <-time.After(50 * time.Millisecond):
				continue
			case <-t.stop:
				return
			}
		}
		t.mu.Lock()
		full := t.open >= maxStreams
		if full {
			t.wire.DroppedIn++
		} else {
			t.open++
		}
		t.mu.Unlock()
		if full {
			c.Close()
			continue
		}
		c.SetDeadline(time.Now().Add(streamFor))
		select {
		case t.streams <- &stream{Conn: c, t: t, theirs: true, left: maxStream}:
		case <-t.stop:
			c.Close()
		}
	}
}

// stream is a bounded connection.
type stream struct {
	net.Conn
	t      *transport
	theirs bool
	left   int
	once   sync.Once
}

func (s *stream) Read(b []byte) (int, error) {
	if s.left <= 0 {
		return 0, fmt.Errorf("fleet: a stream of more than %d bytes", maxStream)
	}
	n, err := s.Conn.Read(b[:min(len(b), s.left)])
	s.left -= n
	s.t.count(func(w *Traffic) { w.BytesIn += int64(n) })
	return n, err
}

func (s *stream) Write(b []byte) (int, error) {
	n, err := s.Conn.Write(b)
	s.t.count(func(w *Traffic) { w.BytesOut += int64(n) })
	return n, err
}

func (s *stream) Close() error {
	s.once.Do(func() {
		if s.theirs {
			s.t.mu.Lock()
			s.t.open--
			s.t.mu.Unlock()
		}
	})
	return s.Conn.Close()
}

// RelayHeader is what stands before a datagram or a stream to a relay: where it is to go and whom it is of, each a byte for the
// length and a text.
func RelayHeader(to, from string) []byte {
	b := append([]byte{byte(len(to))}, to...)
	return append(append(b, byte(len(from))), from...)
}

// ReadRelayHeader reads it from the start of a stream.
func ReadRelayHeader(r io.Reader) (to, from string, err error) {
	var texts [2]string
	for i := range texts {
		var n [1]byte
		if _, err := io.ReadFull(r, n[:]); err != nil {
			return "", "", err
		}
		if n[0] > maxAddress {
			return "", "", fmt.Errorf("fleet: a heading with an address of %d bytes", n[0])
		}
		b := make([]byte, n[0])
		if _, err := io.ReadFull(r, b); err != nil {
			return "", "", err
		}
		texts[i] = string(b)
	}
	return texts[0], texts[1], nil
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
		t.count(func(w *Traffic) { w.DroppedOut++ })
		return now, nil // as lost on the way
	}
	t.count(func(w *Traffic) { w.BytesOut += int64(len(b)) })
	if t.via != "" {
		b, addr = append(RelayHeader(addr, t.bind), b...), t.via
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
	if t.via != "" {
		to = t.via
	}
	c, err := net.DialTimeout("tcp", to, timeout)
	if err != nil {
		return nil, err
	}
	c.SetDeadline(time.Now().Add(streamFor))
	if t.via != "" {
		if _, err := c.Write(RelayHeader(addr, t.bind)); err != nil {
			c.Close()
			return nil, err
		}
	}
	return &stream{Conn: c, t: t, left: maxStream}, nil
}

// StreamCh implements memberlist.Transport.
func (t *transport) StreamCh() <-chan net.Conn { return t.streams }

// Shutdown implements memberlist.Transport.
func (t *transport) Shutdown() error {
	t.once.Do(func() {
		close(t.stop)
		t.udp.Close()
		t.tcp.Close()
		t.done.Wait()
	})
	return nil
}
