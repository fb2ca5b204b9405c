package live

import (
	"context"
	"net"
	"sync"
)

// Machine is a simulated machine with an IP address and a disk. At most one process runs on it at a time.
type Machine struct {
	network *Network
	ip      string
	disk    *Disk

	mutex      sync.Mutex
	process    *Process // nil if none runs
	poweredOff bool
	staleConns []*conn // connections lost with the power, whose peers have not been notified
}

// AddMachine adds a machine with an empty disk, on which no process runs.
func (n *Network) AddMachine(ip string) *Machine {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	machine := &Machine{network: n, ip: ip, disk: newDisk(n.random.Uint64(), n.countStep)}
	n.machines[ip] = machine
	return machine
}

// IP returns the machine's IP address.
func (m *Machine) IP() string { return m.ip }

// Disk returns the machine's disk.
func (m *Machine) Disk() *Disk { return m.disk }

// powered reports whether the machine has power.
func (m *Machine) powered() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.poweredOff
}

// Start restores power if necessary and starts a process. The previous process must have ended.
func (m *Machine) Start() *Process {
	m.mutex.Lock()
	staleConns := m.staleConns
	m.staleConns = nil
	m.poweredOff = false
	started := &Process{machine: m, listeners: map[string]*listener{}, conns: map[*conn]struct{}{}}
	started.files = m.disk.attach()
	m.process = started
	m.mutex.Unlock()
	for _, stale := range staleConns {
		stale.resetPeer() // a restarted machine answers packets of unknown connections with a reset
	}
	return started
}

// Kill ends the process. Its files stay as they are, and its connections are reset.
func (m *Machine) Kill() {
	for _, open := range m.end(false) {
		open.resetPeer()
	}
}

// LosePower ends the process without notifying its peers. Data that was not synced may be lost or torn.
func (m *Machine) LosePower() {
	ended := m.end(true)
	m.mutex.Lock()
	m.staleConns = append(m.staleConns, ended...)
	m.mutex.Unlock()
	m.disk.losePower()
}

// Wipe is like LosePower, and also empties the disk.
func (m *Machine) Wipe() {
	m.LosePower()
	m.disk.wipe()
}

// end ends the process and returns the connections that it had open.
func (m *Machine) end(poweredOff bool) []*conn {
	m.mutex.Lock()
	ended := m.process
	m.process = nil
	m.poweredOff = poweredOff
	m.mutex.Unlock()
	m.disk.detach()
	if ended == nil {
		return nil
	}
	return ended.end()
}

// accept connects a process to a listener on this machine.
func (m *Machine) accept(from *Process, address string) (net.Conn, error) {
	m.mutex.Lock()
	process, poweredOff := m.process, m.poweredOff
	m.mutex.Unlock()
	if poweredOff {
		return nil, errNoPower
	}
	if process == nil {
		return nil, refusedError(address)
	}
	return process.accept(from, address)
}

// Process is one run of a program on a machine. It gives access to the machine's network address and files.
type Process struct {
	machine *Machine
	files   *Files

	mutex     sync.Mutex
	ended     bool
	listeners map[string]*listener
	conns     map[*conn]struct{}
}

// Files returns the files of the machine's disk. They return errors after the process has ended.
func (p *Process) Files() *Files { return p.files }

// Dial opens a connection like net.Dialer.DialContext. It ignores the network name.
func (p *Process) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	if p.hasEnded() {
		return nil, net.ErrClosed
	}
	return p.machine.network.dial(ctx, p, address)
}

// Listen opens a listener on an address of the machine.
func (p *Process) Listen(address string) (net.Listener, error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended {
		return nil, net.ErrClosed
	}
	opened := &listener{process: p, address: address, queue: make(chan *conn, listenBacklog), closed: make(chan struct{})}
	p.listeners[address] = opened
	return opened, nil
}

// hasEnded reports whether the process has ended.
func (p *Process) hasEnded() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ended
}

// end closes all sockets without notifying the peers and returns the connections that were open.
func (p *Process) end() []*conn {
	p.mutex.Lock()
	p.ended = true
	listeners, conns := p.listeners, p.conns
	p.listeners, p.conns = map[string]*listener{}, map[*conn]struct{}{}
	p.mutex.Unlock()
	for _, opened := range listeners {
		_ = opened.Close()
	}
	open := make([]*conn, 0, len(conns))
	for connection := range conns {
		connection.dropSilently()
		open = append(open, connection)
	}
	return open
}

// accept connects another process to a listener of this one. It refuses the connection if there is no such listener or its
// backlog is full.
func (p *Process) accept(from *Process, address string) (net.Conn, error) {
	p.mutex.Lock()
	opened := p.listeners[address]
	p.mutex.Unlock()
	if opened == nil {
		return nil, refusedError(address)
	}
	dialed, accepted := newConnPair(from, p, address)
	if !from.track(dialed) || !p.track(accepted) {
		dialed.dropSilently()
		return nil, refusedError(address)
	}
	select {
	case opened.queue <- accepted:
		return dialed, nil
	case <-opened.closed:
	default: // the backlog is full
	}
	_ = accepted.Close()
	return nil, refusedError(address)
}

// track registers an open connection. It returns false if the process has ended.
func (p *Process) track(connection *conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended {
		return false
	}
	p.conns[connection] = struct{}{}
	return true
}

// untrack removes a closed connection.
func (p *Process) untrack(connection *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, connection)
}

// listenBacklog is the maximum number of connections that wait for Accept.
const listenBacklog = 128

// listener implements net.Listener.
type listener struct {
	process *Process
	address string
	queue   chan *conn
	closing sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	select {
	case connection := <-l.queue:
		return connection, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close implements net.Listener.
func (l *listener) Close() error {
	l.closing.Do(func() {
		close(l.closed)
		l.process.mutex.Lock()
		if l.process.listeners[l.address] == l {
			delete(l.process.listeners, l.address)
		}
		l.process.mutex.Unlock()
	})
	return nil
}

// Addr implements net.Listener.
func (l *listener) Addr() net.Addr { return tcpAddress(l.address) }
