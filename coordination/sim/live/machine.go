package live

import (
	"context"
	"net"
	"sync"
)

// Machine has an address, a disk and power. One process runs on it at a time.
type Machine struct {
	network *Network
	ip      string
	disk    *Disk

	mutex   sync.Mutex
	process *Process // the present one, nil while none runs
	dark    bool     // without power
	former  []*conn  // of processes that have ended, whose other ends may not know it
}

// AddMachine adds a machine with an empty disk, on which nothing runs.
func (n *Network) AddMachine(ip string) *Machine {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	machine := &Machine{network: n, ip: ip, disk: newDisk(n.random.Uint64(), n.stepped)}
	n.machines[ip] = machine
	return machine
}

// IP returns the address.
func (m *Machine) IP() string { return m.ip }

// Disk returns the disk.
func (m *Machine) Disk() *Disk { return m.disk }

func (m *Machine) powered() bool {
	m.mutex.Lock()
	defer m.mutex.Unlock()
	return !m.dark
}

// Start gives the machine power and begins a process. The one before has to be ended.
func (m *Machine) Start() *Process {
	m.mutex.Lock()
	former := m.former
	m.former = nil
	m.dark = false
	started := &Process{machine: m, listeners: map[string]*listener{}, conns: map[*conn]struct{}{}}
	started.files = m.disk.begin()
	m.process = started
	m.mutex.Unlock()
	for _, left := range former {
		left.resetPeer() // the machine answers again, and knows nothing of these
	}
	return started
}

// Kill ends the process: its files stay as they are, and its connections are reset.
func (m *Machine) Kill() {
	for _, open := range m.end(false) {
		open.resetPeer()
	}
}

// LosePower ends the process without a word to anyone. What it has not synced may be lost or torn.
func (m *Machine) LosePower() {
	ended := m.end(true)
	m.mutex.Lock()
	m.former = append(m.former, ended...)
	m.mutex.Unlock()
	m.disk.losePower()
}

// Wipe ends the process without a word and empties the disk.
func (m *Machine) Wipe() {
	m.LosePower()
	m.disk.wipe()
}

func (m *Machine) end(dark bool) []*conn {
	m.mutex.Lock()
	ended := m.process
	m.process = nil
	m.dark = dark
	m.mutex.Unlock()
	m.disk.end()
	if ended == nil {
		return nil
	}
	return ended.end()
}

// accept connects a process to a listener of this machine.
func (m *Machine) accept(from *Process, address string) (net.Conn, error) {
	m.mutex.Lock()
	process, dark := m.process, m.dark
	m.mutex.Unlock()
	if dark {
		return nil, errNoPower
	}
	if process == nil {
		return nil, refused(address)
	}
	return process.accept(from, address)
}

// Process is one life of a program on a machine: its sockets and its files.
type Process struct {
	machine *Machine
	files   *Files

	mutex     sync.Mutex
	ended     bool
	listeners map[string]*listener
	conns     map[*conn]struct{}
}

// Files returns the files of the disk, for as long as this process lives.
func (p *Process) Files() *Files { return p.files }

// Dial opens a connection, as net.Dialer.DialContext does.
func (p *Process) Dial(ctx context.Context, _, address string) (net.Conn, error) {
	if p.hasEnded() {
		return nil, net.ErrClosed
	}
	return p.machine.network.dial(ctx, p, address)
}

// Listen listens at an address of the machine.
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

func (p *Process) hasEnded() bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	return p.ended
}

// end closes all sockets on this side and returns the connections that were open.
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
	for one := range conns {
		one.dropSilently()
		open = append(open, one)
	}
	return open
}

func (p *Process) accept(from *Process, address string) (net.Conn, error) {
	p.mutex.Lock()
	opened := p.listeners[address]
	p.mutex.Unlock()
	if opened == nil {
		return nil, refused(address)
	}
	near, far := newConnPair(from, p, address)
	if !from.hold(near) || !p.hold(far) {
		near.dropSilently()
		return nil, refused(address)
	}
	select {
	case opened.queue <- far:
		return near, nil
	case <-opened.closed:
	default: // the queue is full
	}
	_ = far.Close()
	return nil, refused(address)
}

// hold notes an open connection; it reports whether the process lives.
func (p *Process) hold(one *conn) bool {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	if p.ended {
		return false
	}
	p.conns[one] = struct{}{}
	return true
}

func (p *Process) release(one *conn) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	delete(p.conns, one)
}

// listenBacklog is how many connections wait to be accepted.
const listenBacklog = 128

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
	case one := <-l.queue:
		return one, nil
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
