package handover

import (
	"crypto/rand"
	"encoding/hex"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"
)

// This file implements the links. Each process listens on a Unix packet socket in a shared directory and has one link to
// every other running process.

const (
	helloTimeout  = time.Second // for the exchange of hello messages; a process that takes longer is considered hung and is not linked
	sendQueueSize = 256         // messages without descriptors that can wait to be sent on one link
	maxFDs        = 2
	maxSocketPath = 100 // in bytes; the system limits the path in a socket address to 107
)

// Handler receives the events of all links. The calls for one link are made one at a time, in the order in which the
// peer sent the messages; calls for different links are concurrent.
type Handler interface {
	// Hello returns the current state of this process, which is sent to a new peer.
	Hello() Hello
	// LinkUp reports a new link.
	LinkUp(l *Link)
	// Message delivers a message. The handler owns the descriptors and must close them.
	Message(l *Link, m Message, fds []int)
	// LinkDown reports that a link has been closed. It is called once for each link that was reported by LinkUp.
	LinkDown(l *Link)
}

// Link is a connection to another process of the same scheduler.
type Link struct {
	Peer Hello // the peer's state when the link was established

	conn      *net.UnixConn
	raw       rawConn
	helloSent atomic.Bool // our hello has been sent; no descriptors may be sent before it
	queue     chan []byte
	closed    chan struct{}
	closeOnce sync.Once
}

type rawConn interface {
	Write(func(fd uintptr) bool) error
}

// Node is this process's endpoint in the shared directory.
type Node struct {
	Process string

	listener *net.UnixListener
	path     string
	handler  Handler
	dir      *os.File
}

// Open creates the socket of this process in the directory and links to all running processes of the scheduler with the
// given name. Processes that start later link to this one. Open returns once the handshake with each running process has
// succeeded or failed. It removes the sockets of processes that are no longer running.
func Open(dir, name string, h Handler) (*Node, error) {
	var id [6]byte
	_, _ = rand.Read(id[:])
	n := &Node{Process: hex.EncodeToString(id[:]), handler: h}
	var err error
	if n.dir, err = os.Open(dir); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	prefix := filePrefix(name) + "-"
	paths, err := filepath.Glob(filepath.Join(dir, prefix+"*.sock"))
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	n.path = filepath.Join(dir, prefix+n.Process+".sock")
	n.listener, err = net.ListenUnix("unixpacket", &net.UnixAddr{Name: n.address(n.path), Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	n.listener.SetUnlinkOnClose(false)
	go n.acceptLoop()
	for _, path := range paths {
		c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: n.address(path), Net: "unixpacket"})
		if err != nil {
			slog.Info("handover: no process behind a socket", "path", path, "why", err)
			_ = os.Remove(path)
			continue
		}
		if l := n.handshake(c, false); l != nil {
			go n.serve(l)
		}
	}
	return n, nil
}

// address returns a socket address for the path. Paths that are too long are addressed through the descriptor of the
// directory in /proc.
func (n *Node) address(path string) string {
	if len(path) <= maxSocketPath {
		return path
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", n.dir.Fd(), filepath.Base(path))
}

// Close removes the socket of this process, so that no new links are made. Existing links stay open.
func (n *Node) Close() {
	n.listener.Close()
	_ = os.Remove(n.path)
	n.dir.Close()
}

func (n *Node) acceptLoop() {
	for {
		c, err := n.listener.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("handover: accept failed", "why", err)
			time.Sleep(helloTimeout / 10)
			continue
		}
		go func() {
			if l := n.handshake(c, true); l != nil {
				n.serve(l)
			}
		}()
	}
}

// handshake exchanges hello messages on a connection and returns the link, or nil on failure. The accepting process sends
// its hello last, after it has registered the link: the connecting process is ready once it has that hello, and the
// accepting process may be asked to stop at the same moment and must then know the link.
func (n *Node) handshake(c *net.UnixConn, accepted bool) *Link {
	link := &Link{conn: c, queue: make(chan []byte, sendQueueSize), closed: make(chan struct{})}
	reported := false
	fail := func(err error) *Link {
		slog.Warn("handover: no link", "why", err)
		link.Close()
		if reported {
			n.handler.LinkDown(link)
		}
		return nil
	}
	_ = c.SetDeadline(time.Now().Add(helloTimeout))
	var err error
	if link.raw, err = c.SyscallConn(); err != nil {
		return fail(err)
	}
	_ = c.SetWriteBuffer(2 * MaxMessage)
	sendHello := func() error {
		hello := n.handler.Hello()
		hello.Process = n.Process
		b, err := Encode(Message{Kind: KindHello, Hello: &hello})
		if err == nil {
			_, err = c.Write(b)
		}
		link.helloSent.Store(err == nil)
		return err
	}
	if !accepted {
		if err := sendHello(); err != nil {
			return fail(err)
		}
	}
	received, fds, err := link.read(make([]byte, MaxMessage))
	closeAll(fds)
	if err != nil {
		return fail(err)
	}
	if received.Kind != KindHello {
		return fail(fmt.Errorf("received message kind %q before hello", received.Kind))
	}
	link.Peer = *received.Hello
	n.handler.LinkUp(link)
	reported = true
	if accepted {
		if err := sendHello(); err != nil {
			return fail(err)
		}
	}
	_ = c.SetDeadline(time.Time{})
	return link
}

// serve delivers the messages of a link to the handler until the link ends.
func (n *Node) serve(l *Link) {
	go l.writeLoop()
	b := make([]byte, MaxMessage)
	for {
		m, fds, err := l.read(b)
		if err != nil {
			slog.Info("handover: link ended", "other", l.Peer.Process, "why", err)
			l.Close()
			n.handler.LinkDown(l)
			return
		}
		n.handler.Message(l, m, fds)
	}
}

func (l *Link) read(b []byte) (m Message, fds []int, err error) {
	oob := make([]byte, unix.CmsgSpace(maxFDs*4))
	size, oobn, flags, _, err := l.conn.ReadMsgUnix(b, oob)
	if oobn > 0 {
		if controls, err := unix.ParseSocketControlMessage(oob[:oobn]); err == nil {
			for i := range controls {
				got, _ := unix.ParseUnixRights(&controls[i])
				fds = append(fds, got...)
			}
		}
	}
	for _, fd := range fds {
		unix.CloseOnExec(fd)
	}
	switch {
	case err != nil:
	case size == 0:
		err = errors.New("the peer has closed the link")
	case flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0:
		err = errors.New("received a truncated message")
	default:
		m, err = Decode(b[:size])
	}
	if err != nil {
		closeAll(fds)
		fds = nil
	}
	return m, fds, err
}

func closeAll(fds []int) {
	for _, fd := range fds {
		unix.Close(fd)
	}
}

// Send queues a message without descriptors and does not block. If the queue is full because the peer does not read, the
// link is closed.
func (l *Link) Send(m Message) {
	b, err := Encode(m)
	if err != nil {
		slog.Warn("handover: message not encoded", "kind", m.Kind, "why", err)
		return
	}
	select {
	case l.queue <- b:
	default:
		slog.Warn("handover: send queue full, closing the link", "other", l.Peer.Process)
		l.Close()
	}
}

func (l *Link) writeLoop() {
	for {
		select {
		case b := <-l.queue:
			if _, err := l.conn.Write(b); err != nil {
				l.Close()
				return
			}
		case <-l.closed:
			return
		}
	}
}

// SendFDs sends a message with descriptors without blocking. If it returns nil, the peer owns the descriptors and the
// caller may close its copies; otherwise nothing was sent.
func (l *Link) SendFDs(m Message, fds ...int) error {
	if !l.helloSent.Load() {
		return errors.New("hello has not been sent yet")
	}
	b, err := Encode(m)
	if err != nil {
		return err
	}
	writeErr := l.raw.Write(func(fd uintptr) bool {
		err = unix.Sendmsg(int(fd), b, unix.UnixRights(fds...), nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		return true
	})
	if writeErr != nil {
		return writeErr
	}
	return err
}

// Close closes the link. Repeated calls have no effect.
func (l *Link) Close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		l.conn.Close()
	})
}
