package live

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// windowBytes is the number of bytes in transit or unread in one direction at which writes block.
const windowBytes = 256 << 10

// conn is one end of a connection. It implements net.Conn.
type conn struct {
	process *Process
	local   net.Addr
	remote  net.Addr
	in      *stream // read by this end
	out     *stream // written by this end
}

// newConnPair returns both ends of a connection from a process to the address of a listener of another process.
func newConnPair(from, to *Process, address string) (dialed, accepted *conn) {
	network := from.machine.network
	toServer := newStream(network, direction{from.machine.ip, to.machine.ip})
	toClient := newStream(network, direction{to.machine.ip, from.machine.ip})
	clientAddress := net.Addr(&net.TCPAddr{IP: net.ParseIP(from.machine.ip)})
	serverAddress := tcpAddress(address)
	dialed = &conn{process: from, local: clientAddress, remote: serverAddress, in: toClient, out: toServer}
	accepted = &conn{process: to, local: serverAddress, remote: clientAddress, in: toServer, out: toClient}
	return dialed, accepted
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) { return c.in.read(buffer) }

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) { return c.out.write(data) }

// Close implements net.Conn. Bytes that were written still arrive. If received bytes were not read, Close resets the connection
// instead, as TCP does.
func (c *conn) Close() error {
	c.process.untrack(c)
	if c.in.closeRead() {
		c.out.reset()
	} else {
		c.out.closeWrite()
	}
	return nil
}

// dropSilently closes this end without notifying the peer.
func (c *conn) dropSilently() {
	c.in.closeRead()
	c.out.abandon()
}

// resetPeer resets the connection at the peer. If the path is cut, the reset arrives after Heal.
func (c *conn) resetPeer() { c.out.reset() }

// LocalAddr implements net.Conn.
func (c *conn) LocalAddr() net.Addr { return c.local }

// RemoteAddr implements net.Conn.
func (c *conn) RemoteAddr() net.Addr { return c.remote }

// SetDeadline implements net.Conn.
func (c *conn) SetDeadline(at time.Time) error {
	c.in.setReadDeadline(at)
	c.out.setWriteDeadline(at)
	return nil
}

// SetReadDeadline implements net.Conn.
func (c *conn) SetReadDeadline(at time.Time) error {
	c.in.setReadDeadline(at)
	return nil
}

// SetWriteDeadline implements net.Conn.
func (c *conn) SetWriteDeadline(at time.Time) error {
	c.out.setWriteDeadline(at)
	return nil
}

// segment is a unit of transmission: bytes, the end of the stream, or a reset.
type segment struct {
	data []byte
	end  error // io.EOF or ECONNRESET; nil for bytes
}

// stream is one direction of a connection.
type stream struct {
	network *Network
	path    direction

	mutex         sync.Mutex
	changed       chan struct{} // closed and replaced at each change
	inTransit     []segment     // in the order of writing
	delivering    bool          // a timer for the delivery of inTransit is running
	received      []byte        // not read yet
	end           error         // returned by reads after the received bytes
	size          int           // bytes in transit or unread
	closed        bool          // by the writer
	readerClosed  bool
	readDeadline  time.Time
	writeDeadline time.Time
}

func newStream(network *Network, path direction) *stream {
	created := &stream{network: network, path: path, changed: make(chan struct{})}
	network.register(created)
	return created
}

// broadcast wakes all blocked reads and writes. The caller must hold the mutex.
func (s *stream) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// read blocks until bytes, the end of the stream or an error can be returned.
func (s *stream) read(buffer []byte) (int, error) {
	for {
		s.mutex.Lock()
		count, err, ready := s.tryRead(buffer)
		changed, deadline := s.changed, s.readDeadline
		s.mutex.Unlock()
		if ready {
			return count, err
		}
		waitForChange(changed, deadline)
	}
}

// tryRead reads without blocking. ready is false if the caller has to wait. The caller must hold the mutex.
func (s *stream) tryRead(buffer []byte) (count int, err error, ready bool) {
	switch {
	case s.readerClosed:
		return 0, net.ErrClosed, true
	case expired(s.readDeadline):
		return 0, os.ErrDeadlineExceeded, true
	case len(s.received) > 0 && s.end != syscall.ECONNRESET:
		count = copy(buffer, s.received)
		s.received = s.received[count:]
		s.size -= count
		s.broadcast()
		return count, nil, true
	case s.end == io.EOF:
		return 0, io.EOF, true
	case s.end != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: s.end}, true
	}
	return 0, nil, len(buffer) == 0
}

// write blocks until the window has room and queues all of the data.
func (s *stream) write(data []byte) (int, error) {
	for {
		s.mutex.Lock()
		err, ready := s.tryWrite(data)
		changed, deadline := s.changed, s.writeDeadline
		s.mutex.Unlock()
		if ready && err != nil {
			return 0, err
		}
		if ready {
			s.startDelivery()
			return len(data), nil
		}
		waitForChange(changed, deadline)
	}
}

// tryWrite queues data without blocking. ready is false if the caller has to wait. The caller must hold the mutex.
func (s *stream) tryWrite(data []byte) (err error, ready bool) {
	switch {
	case s.closed:
		return net.ErrClosed, true
	case expired(s.writeDeadline):
		return os.ErrDeadlineExceeded, true
	case s.readerClosed && len(s.inTransit) == 0:
		return &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}, true
	case s.size >= windowBytes:
		return nil, false
	}
	s.inTransit = append(s.inTransit, segment{data: append([]byte(nil), data...)})
	s.size += len(data)
	return nil, true
}

// startDelivery starts the timer of the next delivery, unless one is running or nothing is in transit.
func (s *stream) startDelivery() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.delivering || len(s.inTransit) == 0 {
		return
	}
	s.delivering = true
	time.AfterFunc(s.network.delay(s.path), s.deliver)
}

// deliver delivers all segments in transit, unless the path is cut. In that case Heal calls startDelivery.
func (s *stream) deliver() {
	open, _ := s.network.isOpen(s.path)
	if s.receive(open) {
		s.network.unregister(s)
	}
	if open {
		s.network.countStep()
	}
}

// receive ends a delivery, and receives all segments in transit if the path is open. It reports whether the stream has ended.
func (s *stream) receive(open bool) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.delivering = false
	if !open {
		return false
	}
	for _, next := range s.inTransit {
		s.received = append(s.received, next.data...)
		if next.end != nil && s.end == nil {
			s.end = next.end
		}
	}
	s.inTransit = nil
	s.broadcast()
	return s.end != nil
}

// closeWrite ends the stream after the bytes that were written.
func (s *stream) closeWrite() { s.close(segment{end: io.EOF}, false) }

// reset resets the connection. Bytes in transit are lost.
func (s *stream) reset() { s.close(segment{end: syscall.ECONNRESET}, true) }

// close queues the last segment of the stream. If drop is set, the segments in transit are lost.
func (s *stream) close(last segment, drop bool) {
	s.mutex.Lock()
	if s.closed && !drop {
		s.mutex.Unlock()
		return
	}
	s.closed = true
	if drop {
		s.inTransit = nil
	}
	s.inTransit = append(s.inTransit, last)
	s.broadcast()
	s.mutex.Unlock()
	s.startDelivery()
}

// abandon closes the writer's end without notifying the reader. Bytes in transit are lost.
func (s *stream) abandon() {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.closed = true
	s.inTransit = nil
	s.broadcast()
}

// closeRead closes the reader's end. It reports whether received bytes were not read.
func (s *stream) closeRead() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	unread := len(s.received) > 0 && !s.readerClosed
	s.readerClosed = true
	s.broadcast()
	return unread
}

func (s *stream) setReadDeadline(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.readDeadline = at
	s.broadcast()
}

func (s *stream) setWriteDeadline(at time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.writeDeadline = at
	s.broadcast()
}

// expired reports whether a deadline is set and has passed.
func expired(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// waitForChange blocks until changed is closed or the deadline, if any, has passed.
func waitForChange(changed <-chan struct{}, deadline time.Time) {
	if deadline.IsZero() {
		<-changed
		return
	}
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}
