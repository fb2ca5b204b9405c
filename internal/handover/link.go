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

// This file owns the links: one Unix packet socket a process, in the directory that the processes share, and a link to
// each other process that lives.

const (
	helloWait = time.Second // a process that does not say hello by then hangs, and is not linked
	queueSize = 256         // messages without descriptors that wait to be sent
	maxFDs    = 2
	maxPath   = 100 // of a socket's address
)

// Handler takes what comes. Its methods are called from one goroutine a link, in the order in which the other side sent.
type Handler interface {
	// Hello is how this process stands, for another one.
	Hello() Hello
	// LinkUp says that another process is there.
	LinkUp(l *Link)
	// Message takes one; the descriptors are the handler's.
	Message(l *Link, m Message, fds []int)
	// LinkDown says that a link has ended.
	LinkDown(l *Link)
}

// Link is a link to another process.
type Link struct {
	Peer Hello // as it stood at first

	c       *net.UnixConn
	raw     rawConn
	greeted atomic.Bool // our hello is on its way: nothing goes before it
	queue   chan []byte
	ended   chan struct{}
	once    sync.Once
}

type rawConn interface {
	Write(func(fd uintptr) bool) error
}

// Node is this process among those of a directory.
type Node struct {
	Process string

	ln      *net.UnixListener
	path    string
	handler Handler
	dir     *os.File
}

// Open takes a place in the directory, for processes of the scheduler of that name, and links to all others that are there;
// those that start later link to it. It returns once each has said hello or failed to.
func Open(dir, name string, h Handler) (*Node, error) {
	var word [6]byte
	_, _ = rand.Read(word[:])
	n := &Node{Process: hex.EncodeToString(word[:]), handler: h}
	var err error
	if n.dir, err = os.Open(dir); err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	prefix := fileName(name) + "-"
	others, err := filepath.Glob(filepath.Join(dir, prefix+"*.sock"))
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	n.path = filepath.Join(dir, prefix+n.Process+".sock")
	n.ln, err = net.ListenUnix("unixpacket", &net.UnixAddr{Name: n.address(n.path), Net: "unixpacket"})
	if err != nil {
		return nil, fmt.Errorf("handover: %w", err)
	}
	n.ln.SetUnlinkOnClose(false)
	go n.accept()
	for _, path := range others {
		c, err := net.DialUnix("unixpacket", nil, &net.UnixAddr{Name: n.address(path), Net: "unixpacket"})
		if err != nil {
			slog.Info("handover: no process behind a socket", "path", path, "why", err)
			_ = os.Remove(path)
			continue
		}
		if l := n.greet(c, false); l != nil {
			go n.serve(l)
		}
	}
	return n, nil
}

// address is a name for the path that a socket can have, however long the path is.
func (n *Node) address(path string) string {
	if len(path) <= maxPath {
		return path
	}
	return fmt.Sprintf("/proc/self/fd/%d/%s", n.dir.Fd(), filepath.Base(path))
}

// Close leaves the directory; links go on.
func (n *Node) Close() {
	n.ln.Close()
	_ = os.Remove(n.path)
	n.dir.Close()
}

func (n *Node) accept() {
	for {
		c, err := n.ln.AcceptUnix()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			slog.Warn("handover: accept failed", "why", err)
			time.Sleep(helloWait / 10)
			continue
		}
		go func() {
			if l := n.greet(c, true); l != nil {
				n.serve(l)
			}
		}()
	}
}

// greet makes a link of a connection, once both sides have said hello. Who was there first says so last, with the link in its
// books: the other is ready then, and the first may be told to end in the same moment.
func (n *Node) greet(c *net.UnixConn, first bool) *Link {
	l := &Link{c: c, queue: make(chan []byte, queueSize), ended: make(chan struct{})}
	linked := false
	fail := func(err error) *Link {
		slog.Warn("handover: no link", "why", err)
		l.Close()
		if linked {
			n.handler.LinkDown(l)
		}
		return nil
	}
	_ = c.SetDeadline(time.Now().Add(helloWait))
	var err error
	if l.raw, err = c.SyscallConn(); err != nil {
		return fail(err)
	}
	_ = c.SetWriteBuffer(2 * MaxMessage)
	say := func() error {
		mine := n.handler.Hello()
		mine.Process = n.Process
		b, err := Encode(Message{Kind: KindHello, Hello: &mine})
		if err == nil {
			_, err = c.Write(b)
		}
		l.greeted.Store(err == nil)
		return err
	}
	if !first {
		if err := say(); err != nil {
			return fail(err)
		}
	}
	m, fds, err := l.read(make([]byte, MaxMessage))
	closeAll(fds)
	if err != nil {
		return fail(err)
	}
	if m.Kind != KindHello {
		return fail(fmt.Errorf("%s before hello", m.Kind))
	}
	l.Peer = *m.Hello
	n.handler.LinkUp(l)
	linked = true
	if first {
		if err := say(); err != nil {
			return fail(err)
		}
	}
	_ = c.SetDeadline(time.Time{})
	return l
}

// serve hands on what comes until the link ends.
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
	k, oobn, flags, _, err := l.c.ReadMsgUnix(b, oob)
	if oobn > 0 {
		if all, err := unix.ParseSocketControlMessage(oob[:oobn]); err == nil {
			for i := range all {
				got, _ := unix.ParseUnixRights(&all[i])
				fds = append(fds, got...)
			}
		}
	}
	for _, fd := range fds {
		unix.CloseOnExec(fd)
	}
	switch {
	case err != nil:
	case k == 0:
		err = errors.New("the other process has ended")
	case flags&(unix.MSG_TRUNC|unix.MSG_CTRUNC) != 0:
		err = errors.New("a message was cut short")
	default:
		m, err = Decode(b[:k])
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

// Send sends a message without descriptors, soon. Where the other side takes none for long the link ends.
func (l *Link) Send(m Message) {
	b, err := Encode(m)
	if err != nil {
		slog.Warn("handover: not said", "kind", m.Kind, "why", err)
		return
	}
	select {
	case l.queue <- b:
	default:
		slog.Warn("handover: the other process takes nothing", "other", l.Peer.Process)
		l.Close()
	}
}

func (l *Link) writeLoop() {
	for {
		select {
		case b := <-l.queue:
			if _, err := l.c.Write(b); err != nil {
				l.Close()
				return
			}
		case <-l.ended:
			return
		}
	}
}

// SendFDs sends a message with descriptors at once, or not at all: nil says that they are the other side's, and copies of
// them here may be closed.
func (l *Link) SendFDs(m Message, fds ...int) error {
	if !l.greeted.Load() {
		return errors.New("hello was not said yet")
	}
	b, err := Encode(m)
	if err != nil {
		return err
	}
	werr := l.raw.Write(func(fd uintptr) bool {
		err = unix.Sendmsg(int(fd), b, unix.UnixRights(fds...), nil, unix.MSG_DONTWAIT|unix.MSG_NOSIGNAL)
		return true
	})
	if werr != nil {
		return werr
	}
	return err
}

// Close ends the link.
func (l *Link) Close() {
	l.once.Do(func() {
		close(l.ended)
		l.c.Close()
	})
}
