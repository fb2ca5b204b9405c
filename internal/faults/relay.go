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

// This file holds the relays: a Hub for all links between members of a fleet, and a TCPRelay for each other link.

const (
	ioTimeout     = 2 * time.Second
	maxChunkBytes = 16 << 10
	// maxDelayedDatagrams bounds the datagrams that wait for their delivery. More are dropped, as on a congested link.
	maxDelayedDatagrams = 1 << 16
)

// relay is the common part of Hub and TCPRelay: a listener and the connections that go through it.
type relay struct {
	links      *Links
	tcp        net.Listener
	stop       chan struct{}
	goroutines sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{} // nil once the relay is closed
}

// track registers a connection so that close closes it. It reports false if the relay is closed already.
func (r *relay) track(c net.Conn) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.conns == nil {
		return false
	}
	r.conns[c] = struct{}{}
	return true
}

// closeConn closes a connection and removes it from the tracked ones.
func (r *relay) closeConn(c net.Conn) {
	r.mu.Lock()
	delete(r.conns, c)
	r.mu.Unlock()
	c.Close()
}

// close closes the listener and all connections, and waits for their goroutines.
func (r *relay) close() {
	close(r.stop)
	r.tcp.Close()
	r.mu.Lock()
	for c := range r.conns {
		c.Close()
	}
	r.conns = nil
	r.mu.Unlock()
	r.goroutines.Wait()
}

// reset closes a connection; if it is a TCP connection, the peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		tcp.SetLinger(0)
	}
	c.Close()
}

// accept runs serve in a goroutine for each new connection, until the relay is closed.
func (r *relay) accept(serve func(net.Conn)) {
	for {
		c, err := r.tcp.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		if !r.track(c) {
			c.Close()
			return
		}
		r.goroutines.Go(func() {
			defer r.closeConn(c)
			serve(c)
		})
	}
}

// forward dials toAddr and copies bytes in both directions until a connection ends, the link is cut or the relay is closed.
// from and to name the two processes.
func (r *relay) forward(client net.Conn, from string, toAddr, to string) {
	for { // no connection is established over a link that is blackholed in either direction
		fault, changed := r.links.FaultOn(from, to)
		reverse, _ := r.links.FaultOn(to, from)
		if fault.Cut || reverse.Cut {
			reset(client)
			return
		}
		if !fault.Blackhole && !reverse.Blackhole {
			break
		}
		select {
		case <-changed:
		case <-r.stop:
			return
		}
	}
	server, err := net.DialTimeout("tcp", toAddr, ioTimeout)
	if err != nil {
		reset(client)
		return
	}
	if !r.track(server) {
		server.Close()
		return
	}
	defer r.closeConn(server)
	done := make(chan struct{})
	var once sync.Once
	end := func(abort bool) {
		once.Do(func() {
			if abort {
				reset(client)
				reset(server)
			}
			close(done)
		})
	}
	var tasks sync.WaitGroup
	tasks.Go(func() { r.copyDirection(client, server, from, to, done, end) })
	tasks.Go(func() { r.copyDirection(server, client, to, from, done, end) })
	tasks.Go(func() { // a cut takes effect at once, also on idle connections
		for {
			fault, changed := r.links.FaultOn(from, to)
			if reverse, _ := r.links.FaultOn(to, from); fault.Cut || reverse.Cut {
				end(true)
				return
			}
			select {
			case <-changed:
			case <-done:
				return
			case <-r.stop:
				end(true)
				return
			}
		}
	})
	tasks.Wait()
}

// copyDirection copies one direction of a stream, with the faults of the link from sender to receiver. At the end of the
// stream it closes the receiver's connection for writing, and gives the other direction up to ioTimeout to finish.
func (r *relay) copyDirection(from, to net.Conn, sender, receiver string, done chan struct{}, end func(bool)) {
	buf := make([]byte, maxChunkBytes)
	for {
		n, err := from.Read(buf)
		for n > 0 {
			fault, changed := r.links.FaultOn(sender, receiver)
			if !fault.Blackhole {
				if fault.Delay > 0 && !sleep(fault.Delay, done) {
					return
				}
				break
			}
			select {
			case <-changed:
			case <-done:
				return
			}
		}
		if n > 0 {
			r.links.countStreamBytes(sender, receiver, n)
			if _, err := to.Write(buf[:n]); err != nil {
				end(true)
				return
			}
		}
		if err != nil {
			if err == io.EOF {
				if tcp, ok := to.(*net.TCPConn); ok && tcp.CloseWrite() == nil {
					select { // after a half-close the other direction may still carry data
					case <-done:
					case <-time.After(ioTimeout):
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

// sleep waits for the duration. It reports false if done is closed before that.
func sleep(duration time.Duration, done <-chan struct{}) bool {
	select {
	case <-time.After(duration):
		return true
	case <-done:
		return false
	}
}

// Hub relays all links between the members of a fleet, TCP and UDP. The fleet blocks of the members name its address as via.
type Hub struct {
	relay
	udp     *net.UDPConn
	names   map[string]string // member names by address
	delayed chan struct{}     // semaphore of delayed datagrams
}

// StartHub starts a hub on a loopback port. names maps the addresses that the members bind to their names.
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
	hub := &Hub{relay: relay{links: links, tcp: tcp, stop: make(chan struct{}), conns: map[net.Conn]struct{}{}}, udp: udp, names: names,
		delayed: make(chan struct{}, maxDelayedDatagrams)}
	hub.goroutines.Go(func() {
		hub.accept(func(c net.Conn) {
			c.SetReadDeadline(time.Now().Add(ioTimeout))
			to, from, err := fleet.ReadRelayHeader(c)
			if err != nil || names[to] == "" {
				reset(c)
				return
			}
			c.SetReadDeadline(time.Time{})
			hub.forward(c, names[from], to, names[to])
		})
	})
	hub.goroutines.Go(hub.forwardDatagrams)
	return hub, nil
}

// Addr returns the address that the members name as via.
func (h *Hub) Addr() string { return h.tcp.Addr().String() }

// Close closes the sockets and all connections of the hub.
func (h *Hub) Close() {
	h.udp.Close()
	h.close()
}

// forwardDatagrams relays datagrams until the socket is closed. It ignores datagrams of or to unknown members.
func (h *Hub) forwardDatagrams() {
	buf := make([]byte, 64<<10)
	for {
		n, _, err := h.udp.ReadFromUDP(buf)
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			continue
		}
		reader := bytes.NewReader(buf[:n])
		to, from, err := fleet.ReadRelayHeader(reader)
		if err != nil || h.names[to] == "" || h.names[from] == "" {
			continue
		}
		addr, err := net.ResolveUDPAddr("udp", to)
		if err != nil {
			continue
		}
		data := buf[n-reader.Len() : n]
		for _, delay := range h.links.deliveries(h.names[from], h.names[to], len(data)) {
			if delay == 0 {
				h.udp.WriteToUDP(data, addr)
				continue
			}
			select {
			case h.delayed <- struct{}{}:
			default:
				continue
			}
			payload := append([]byte(nil), data...)
			time.AfterFunc(delay, func() {
				<-h.delayed
				h.udp.WriteToUDP(payload, addr)
			})
		}
	}
}

// TCPRelay relays one TCP link, such as that of a scheduler to a worker. A connection to Addr reaches the target.
type TCPRelay struct{ relay }

// StartTCPRelay starts a relay on a loopback port. from and to are the names of the two processes in Links, and target is the
// address to dial.
func StartTCPRelay(links *Links, from, to, target string) (*TCPRelay, error) {
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &TCPRelay{relay{links: links, tcp: tcp, stop: make(chan struct{}), conns: map[net.Conn]struct{}{}}}
	r.goroutines.Go(func() { r.accept(func(c net.Conn) { r.forward(c, from, target, to) }) })
	return r, nil
}

// Addr returns the address that the relay listens on.
func (r *TCPRelay) Addr() string { return r.tcp.Addr().String() }

// Close closes the listener and all connections of the relay.
func (r *TCPRelay) Close() { r.close() }
