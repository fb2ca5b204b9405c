package live

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

// windowBytes is how much may be on its way or unread in one direction.
const windowBytes = 256 << 10

// conn is one end of a connection.
type conn struct {
	process *Process
	local   net.Addr
	remote  net.Addr
	in      *half // read here
	out     *half // written here
}

// newConnPair returns the ends of a connection from a process to a listener's address.
func newConnPair(from, to *Process, address string) (near, far *conn) {
	network := from.machine.network
	there := newHalf(network, direction{from.machine.ip, to.machine.ip})
	back := newHalf(network, direction{to.machine.ip, from.machine.ip})
	client := net.Addr(&net.TCPAddr{IP: net.ParseIP(from.machine.ip)})
	server := tcpAddress(address)
	near = &conn{process: from, local: client, remote: server, in: back, out: there}
	far = &conn{process: to, local: server, remote: client, in: there, out: back}
	return near, far
}

// Read implements net.Conn.
func (c *conn) Read(buffer []byte) (int, error) { return c.in.read(buffer) }

// Write implements net.Conn.
func (c *conn) Write(data []byte) (int, error) { return c.out.write(data) }

// Close implements net.Conn. What was written still arrives. Unread bytes make it a reset.
func (c *conn) Close() error {
	c.process.release(c)
	if c.in.stopReading() {
		c.out.fail()
	} else {
		c.out.finish()
	}
	return nil
}

// dropSilently ends this side alone, as the end of its process does.
func (c *conn) dropSilently() {
	c.in.stopReading()
	c.out.abandon()
}

// resetPeer has the other side learn that the connection is gone, once that gets through.
func (c *conn) resetPeer() { c.out.fail() }

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

// segment is what travels at once: bytes, the end of the stream, or a reset.
type segment struct {
	data []byte
	end  error // io.EOF or a reset; nil: bytes
}

// half is one direction of a connection.
type half struct {
	network *Network
	way     direction

	mutex     sync.Mutex
	changed   chan struct{} // closed at each change
	sent      []segment     // on their way, in order
	moving    bool          // the first of them is due after its delay
	arrived   []byte
	end       error // what the reader gets after the bytes
	size      int   // bytes sent and unread
	closed    bool  // the writer has ended it
	gone      bool  // the reader reads no more
	readBy    time.Time
	writtenBy time.Time
}

func newHalf(network *Network, way direction) *half {
	one := &half{network: network, way: way, changed: make(chan struct{})}
	network.register(one)
	return one
}

// broadcast needs the lock.
func (h *half) broadcast() {
	close(h.changed)
	h.changed = make(chan struct{})
}

func (h *half) read(buffer []byte) (int, error) {
	for {
		h.mutex.Lock()
		count, err, ready := h.take(buffer)
		changed, deadline := h.changed, h.readBy
		h.mutex.Unlock()
		if ready {
			return count, err
		}
		await(changed, deadline)
	}
}

// take needs the lock.
func (h *half) take(buffer []byte) (count int, err error, ready bool) {
	switch {
	case h.gone:
		return 0, net.ErrClosed, true
	case passed(h.readBy):
		return 0, os.ErrDeadlineExceeded, true
	case len(h.arrived) > 0 && h.end != syscall.ECONNRESET:
		count = copy(buffer, h.arrived)
		h.arrived = h.arrived[count:]
		h.size -= count
		h.broadcast()
		return count, nil, true
	case h.end == io.EOF:
		return 0, io.EOF, true
	case h.end != nil:
		return 0, &net.OpError{Op: "read", Net: "tcp", Err: h.end}, true
	}
	return 0, nil, len(buffer) == 0
}

func (h *half) write(data []byte) (int, error) {
	for {
		h.mutex.Lock()
		err, ready := h.put(data)
		changed, deadline := h.changed, h.writtenBy
		h.mutex.Unlock()
		if ready && err != nil {
			return 0, err
		}
		if ready {
			h.resume()
			return len(data), nil
		}
		await(changed, deadline)
	}
}

// put needs the lock.
func (h *half) put(data []byte) (err error, ready bool) {
	switch {
	case h.closed:
		return net.ErrClosed, true
	case passed(h.writtenBy):
		return os.ErrDeadlineExceeded, true
	case h.gone && len(h.sent) == 0:
		return &net.OpError{Op: "write", Net: "tcp", Err: syscall.EPIPE}, true
	case h.size >= windowBytes:
		return nil, false
	}
	h.sent = append(h.sent, segment{data: append([]byte(nil), data...)})
	h.size += len(data)
	return nil, true
}

// resume sends the first segment on its way, if none is.
func (h *half) resume() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	if h.moving || len(h.sent) == 0 {
		return
	}
	h.moving = true
	time.AfterFunc(h.network.delay(h.way), h.deliver)
}

// deliver has all that was sent arrive, if anything gets through. Heal calls resume for the rest.
func (h *half) deliver() {
	open, _ := h.network.open(h.way)
	if h.arrive(open) {
		h.network.forget(h)
	}
	if open {
		h.network.stepped()
	}
}

// arrive reports whether nothing more will come.
func (h *half) arrive(open bool) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.moving = false
	if !open {
		return false
	}
	for _, next := range h.sent {
		h.arrived = append(h.arrived, next.data...)
		if next.end != nil && h.end == nil {
			h.end = next.end
		}
	}
	h.sent = nil
	h.broadcast()
	return h.end != nil
}

// finish ends the stream after what was written.
func (h *half) finish() { h.close(segment{end: io.EOF}, false) }

// fail resets the connection. Bytes that are on their way are lost.
func (h *half) fail() { h.close(segment{end: syscall.ECONNRESET}, true) }

func (h *half) close(last segment, drop bool) {
	h.mutex.Lock()
	if h.closed && !drop {
		h.mutex.Unlock()
		return
	}
	h.closed = true
	if drop {
		h.sent = nil
	}
	h.sent = append(h.sent, last)
	h.broadcast()
	h.mutex.Unlock()
	h.resume()
}

// abandon ends the writer's side without a word: what is on its way is lost.
func (h *half) abandon() {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.closed = true
	h.sent = nil
	h.broadcast()
}

// stopReading reports whether bytes are left unread.
func (h *half) stopReading() bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	left := len(h.arrived) > 0 && !h.gone
	h.gone = true
	h.broadcast()
	return left
}

func (h *half) setReadDeadline(at time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.readBy = at
	h.broadcast()
}

func (h *half) setWriteDeadline(at time.Time) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.writtenBy = at
	h.broadcast()
}

func passed(deadline time.Time) bool { return !deadline.IsZero() && !time.Now().Before(deadline) }

// await waits for a change, until a deadline at most.
func await(changed <-chan struct{}, deadline time.Time) {
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
