package faults

import (
	"bytes"
	"errors"
	"io"
	"net"
	"sync"
	"time"

	"weldscale/internal/fleet"
)

// This file owns the relays' sockets: one for all that members of a fleet say to each other, and one for each further link.

const (
	dialFor  = 2 * time.Second
	pieceMax = 16 << 10
	// mostHeld bounds the datagrams that wait for their time; what is beyond is lost, as on a full line.
	mostHeld = 1 << 16
)

// relay is what both kinds have.
type relay struct {
	links *Links
	tcp   net.Listener
	stop  chan struct{}
	done  sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
}

func (r *relay) keep(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

func (r *relay) drop(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

// Close ends the relay with all that goes through it.
func (r *relay) close() {
	close(r.stop)
	r.tcp.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.conns = nil
	r.mu.Unlock()
	r.done.Wait()
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// accept hands each connection to serve.
func (r *relay) accept(serve func(net.Conn)) {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if !r.keep(c) {
			c.Close()
			return
		}
		r.done.Go(func() {
			defer r.drop(c)
			serve(c)
		})
	}
}

// join carries bytes between two ends until one of them ends or the link is cut.
func (r *relay) join(a net.Conn, from string, toAddr, to string) {
	for { // a link that swallows never lets a connection come up
		f, changed := r.links.FaultOn(from, to)
		back, _ := r.links.FaultOn(to, from)
		if f.Cut || back.Cut {
			reset(a)
			return
		}
		if !f.Blackhole && !back.Blackhole {
			break
		}
		select {
		case <-changed:
		case <-r.stop:
			return
		}
	}
	b, err := net.DialTimeout("tcp", toAddr, dialFor)
	if err != nil {
		reset(a)
		return
	}
	if !r.keep(b) {
		b.Close()
		return
	}
	defer r.drop(b)
	over := make(chan struct{})
	var once sync.Once
	end := func(hard bool) {
		once.Do(func() {
			if hard {
				reset(a)
				reset(b)
			}
			close(over)
		})
	}
	var both sync.WaitGroup
	both.Go(func() { r.carry(a, b, from, to, over, end) })
	both.Go(func() { r.carry(b, a, to, from, over, end) })
	both.Go(func() { // a cut takes effect at once, also where nobody says anything
		for {
			f, changed := r.links.FaultOn(from, to)
			if back, _ := r.links.FaultOn(to, from); f.Cut || back.Cut {
				end(true)
				return
			}
			select {
			case <-changed:
			case <-over:
				return
			case <-r.stop:
				end(true)
				return
			}
		}
	})
	both.Wait()
}

// carry is one direction of a stream. An end of sending is passed on; the other direction goes on until its own.
func (r *relay) carry(from, to net.Conn, name, other string, over chan struct{}, end func(bool)) {
	buf := make([]byte, pieceMax)
	for {
		n, err := from.Read(buf)
		for n > 0 {
			f, changed := r.links.FaultOn(name, other)
			if !f.Blackhole {
				if f.Delay > 0 && !sleep(f.Delay, over) {
					return
				}
				break
			}
			select {
			case <-changed:
			case <-over:
				return
			}
		}
		if n > 0 {
			r.links.stream(name, other, n)
			if _, err := to.Write(buf[:n]); err != nil {
				end(true)
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				if tcp, ok := to.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
					select { // the one who has ended its sending may still be told something
					case <-over:
					case <-time.After(dialFor):
					}
				}
			}
			end(err != io.EOF)
			from.SetDeadline(time.Now())
			to.SetDeadline(time.Now())
			return
		}
	}
}

func sleep(span time.Duration, over <-chan struct{}) bool {
	select {
	case <-time.After(span):
		return true
	case <-over:
		return false
	}
}

// Hub is the relay of all links between members of a fleet: their fleet blocks name it as via.
type Hub struct {
	relay
	udp   *net.UDPConn
	names map[string]string // of addresses
	held  chan struct{}
}

// StartHub starts one. names are the members' names by the addresses that they bind.
func StartHub(links *Links, names map[string]string) (*Hub, error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	udp, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(tcp.Addr().(*net.TCPAddr).AddrPort()))
	if err != nil {
		tcp.Close()
		return nil, err
	}
	udp.SetReadBuffer(4 << 20)
	h := &Hub{relay: relay{links: links, tcp: tcp, stop: make(chan struct{}), conns: map[net.Conn]struct{}{}}, udp: udp, names: names,
		held: make(chan struct{}, mostHeld)}
	h.done.Go(func() {
		h.accept(func(c net.Conn) {
			c.SetReadDeadline(time.Now().Add(dialFor))
			to, from, err := fleet.ReadRelayHeader(c)
			if err != nil || names[to] == "" {
				reset(c)
				return
			}
			c.SetReadDeadline(time.Time{})
			h.join(c, names[from], to, names[to])
		})
	})
	h.done.Go(h.datagrams)
	return h, nil
}

// Addr is what members name as via.
func (h *Hub) Addr() string { return h.tcp.Addr().String() }

// Close ends it.
func (h *Hub) Close() {
	h.udp.Close()
	h.close()
}

func (h *Hub) datagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := h.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		rest := bytes.NewReader(buf[:n])
		to, from, err := fleet.ReadRelayHeader(rest)
		if err != nil || h.names[to] == "" || h.names[from] == "" {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp", to)
		if err != nil {
			continue
		}
		data := buf[n-rest.Len() : n]
		for _, wait := range h.links.datagram(h.names[from], h.names[to], len(data)) {
			if wait == 0 {
				h.udp.WriteToUDP(data, addr)
				continue
			}
			select {
			case h.held <- struct{}{}:
			default:
				continue
			}
			late := append([]byte(nil), data...)
			time.AfterFunc(wait, func() {
				<-h.held
				h.udp.WriteToUDP(late, addr)
			})
		}
	}
}

// TCPRelay is the relay of one further link, such as a scheduler's to a worker: who dials Addr reaches the target.
type TCPRelay struct{ relay }

// StartTCPRelay starts one between the parties of those names.
func StartTCPRelay(links *Links, from, to, target string) (*TCPRelay, error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &TCPRelay{relay{links: links, tcp: tcp, stop: make(chan struct{}), conns: map[net.Conn]struct{}{}}}
	p.done.Go(func() { p.accept(func(c net.Conn) { p.join(c, from, target, to) }) })
	return p, nil
}

// Addr is where it is dialled.
func (p *TCPRelay) Addr() string { return p.tcp.Addr().String() }

// Close ends it.
func (p *TCPRelay) Close() { p.close() }
