package net

import (
	"context"
	"errors"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"weldscale/internal/jobs"
)

// This file owns what makes an upgrade possible at the sockets: a listening socket that is another's too, moments in
// which the poller reads nothing, and connections that leave the process or come into it open. It must never shut the
// listening socket down, nor let a connection go of which a byte has been read and not been acted on.

// shared is a listening socket that other processes accept from too.
type shared struct {
	netpoll.Listener
	left atomic.Bool
}

var errLeft = errors.New("closed for this process")

// Accept implements net.Listener. Once the socket is left it takes nothing more, and netpoll takes it out of the poll at
// that word; what waits in the socket's queue is the other processes'.
func (l *shared) Accept() (net.Conn, error) {
	if l.left.Load() {
		return nil, errLeft
	}
	return l.Listener.Accept()
}

// ListenOn accepts clients at a listening socket that this process was started with.
func (d *Driver) ListenOn(fd int) error {
	if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listening != 1 {
		return fmt.Errorf("descriptor %d is no listening socket", fd)
	}
	unix.CloseOnExec(fd)
	addr, err := unix.Getsockname(fd)
	if err != nil {
		return err
	}
	d.shared = &shared{Listener: inherited{fd: fd, addr: tcpAddr(addr)}}
	return d.serve(d.shared)
}

// inherited is a listening socket by its descriptor.
type inherited struct {
	fd   int
	addr net.Addr
}

func (l inherited) Accept() (net.Conn, error) {
	// Whether the socket blocks is one setting for all processes that have it. Where it does and another process was
	// quicker, the poller would wait here for the next client, and nobody's bytes would be read meanwhile.
	if err := unix.SetNonblock(l.fd, true); err != nil {
		return nil, err
	}
	fd, from, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch err {
	case nil:
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		return &accepted{fd: fd, local: l.addr, remote: tcpAddr(from)}, nil
	case unix.EAGAIN, unix.ECONNABORTED, unix.EINTR:
		return nil, nil // another process was quicker, or the client has gone
	}
	return nil, err
}

func (l inherited) Close() error   { return nil }
func (l inherited) Addr() net.Addr { return l.addr }
func (l inherited) Fd() int        { return l.fd }

// accepted is what netpoll makes a connection of.
type accepted struct {
	net.Conn
	fd            int
	local, remote net.Addr
}

func (c *accepted) Fd() int              { return c.fd }
func (c *accepted) LocalAddr() net.Addr  { return c.local }
func (c *accepted) RemoteAddr() net.Addr { return c.remote }

// passedAddr carries the taker of a passed connection through netpoll, which hands on no more than addresses.
type passedAddr struct {
	net.Addr
	taker func(jobs.Conn)
}

func tcpAddr(sa unix.Sockaddr) net.Addr {
	switch sa := sa.(type) {
	case *unix.SockaddrInet4:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom4(sa.Addr), uint16(sa.Port)))
	case *unix.SockaddrInet6:
		return net.TCPAddrFromAddrPort(netip.AddrPortFrom(netip.AddrFrom16(sa.Addr), uint16(sa.Port)))
	}
	return &net.TCPAddr{}
}

// door is a listener that netpoll takes for one more socket: what it accepts comes from the loop. netpoll's one poller
// calls Accept, so while that is at work nothing is read anywhere.
type door struct {
	d  *Driver
	fd int

	mu   sync.Mutex
	todo []func() net.Conn
}

func (d *Driver) openDoor() (*door, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC|unix.EFD_SEMAPHORE)
	if err != nil {
		return nil, err
	}
	x := &door{d: d, fd: fd}
	return x, d.serve(x)
}

func (x *door) Close() error   { return nil }
func (x *door) Addr() net.Addr { return &net.TCPAddr{} }
func (x *door) Fd() int        { return x.fd }

// Accept implements net.Listener.
func (x *door) Accept() (net.Conn, error) {
	var b [8]byte
	if _, err := unix.Read(x.fd, b[:]); err != nil {
		return nil, nil
	}
	x.mu.Lock()
	next := x.todo[0]
	x.todo = x.todo[1:]
	x.mu.Unlock()
	if c := next(); c != nil {
		return c, nil
	}
	return nil, nil
}

func (x *door) push(f func() net.Conn) {
	x.mu.Lock()
	x.todo = append(x.todo, f)
	x.mu.Unlock()
	if _, err := unix.Write(x.fd, []byte{1, 0, 0, 0, 0, 0, 0, 0}); err != nil {
		slog.Error("the poller can't be told", "why", err)
	}
}

// WithReadsPaused has f run on the loop, soon, while nothing is read from any connection. Only after OpenDoor.
func (d *Driver) WithReadsPaused(f func()) {
	d.door.push(func() net.Conn { d.loop.Do(f); return nil })
}

// EnableHandover makes ready for connections that come from another process or go to one.
func (d *Driver) EnableHandover() (err error) {
	d.door, err = d.openDoor()
	return err
}

// Adopt takes over a client's connection of another process: taker gets it on the loop, in place of Accepted, or nil.
func (d *Driver) Adopt(fd int, taker func(jobs.Conn)) {
	remote, err := unix.Getpeername(fd)
	if err != nil { // the client has gone meanwhile
		unix.Close(fd)
		taker(nil)
		return
	}
	unix.CloseOnExec(fd)
	d.door.push(func() net.Conn {
		return &accepted{fd: fd, local: &net.TCPAddr{}, remote: passedAddr{tcpAddr(remote), taker}}
	})
}

// AdoptWorker takes over a connection to a worker of another process, that the attempt on it goes on with.
func (d *Driver) AdoptWorker(addr string, fd int) jobs.Conn {
	unix.CloseOnExec(fd)
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil {
		slog.Warn("a worker's connection can't be taken over", "worker", addr, "why", err)
		unix.Close(fd)
		return nil
	}
	d.open.Add(1)
	d.own.open.Add(1)
	c := &Conn{d: d, nc: nc, handler: discard{}, leaving: make(chan struct{}), host: d.host(addr), account: &d.own}
	c.wire()
	return c
}

// DupFD implements jobs.Transferable. Only within Quiet.
func (c *Conn) DupFD() (fd int, ok bool) {
	if c.ended || c.closed.Load() || len(c.out) > 0 || c.closeAfter || !c.nc.IsActive() || c.reading.Load() > 0 || c.nc.Reader().Len() > 0 {
		return -1, false
	}
	err := c.system(func(own int) (err error) {
		fd, err = unix.FcntlInt(uintptr(own), unix.F_DUPFD_CLOEXEC, 0)
		return err
	})
	if err != nil {
		return -1, false
	}
	c.copied = true
	return fd, true
}

// LeaveSharedListener takes this process off a listening socket that it shares; false: it shares none.
func (d *Driver) LeaveSharedListener() bool {
	if d.shared != nil {
		d.shared.left.Store(true)
	}
	return d.shared != nil
}

// serve has netpoll accept from a listener.
func (d *Driver) serve(ln net.Listener) error {
	loop, err := netpoll.NewEventLoop(
		func(ctx context.Context, nc netpoll.Connection) error { return nil }, netpoll.WithOnPrepare(d.prepare), netpoll.WithOnConnect(d.connected))
	if err != nil {
		return err
	}
	go func() {
		if err := loop.Serve(ln); err != nil {
			slog.Info("listener closed", "why", err)
		}
	}()
	return nil
}

// prepare makes ours of a connection that netpoll has accepted. The loop must not have it yet: one that it closed before
// netpoll had entered it was entered after its end, under a descriptor that was another's by then.
func (d *Driver) prepare(nc netpoll.Connection) context.Context {
	_, passed := nc.RemoteAddr().(passedAddr)
	if d.open.Add(1) > d.shedFrom() {
		d.loop.Do(d.makeRoom) // the rest of a burst waits with the system meanwhile
	}
	if !passed && d.open.Load() > d.room.Load() { // one that was passed may have a job in hand
		d.open.Add(-1)
		_ = nc.Close()
		return nil
	}
	c := &Conn{d: d, nc: nc, handler: discard{}, leaving: make(chan struct{})}
	c.wire()
	return context.WithValue(context.Background(), connKey{}, c)
}

// connected hands a connection over once netpoll has entered it. What it brings follows.
func (d *Driver) connected(ctx context.Context, nc netpoll.Connection) context.Context {
	c := ctx.Value(connKey{}).(*Conn)
	taker := d.Accepted
	passed, ok := nc.RemoteAddr().(passedAddr)
	if ok {
		taker = passed.taker
	}
	d.loop.Post(func() {
		switch {
		case !c.ended:
			taker(c)
		case ok:
			taker(nil) // what was passed with it is to be let go
		}
	})
	return ctx
}
