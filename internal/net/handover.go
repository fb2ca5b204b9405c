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

// This file implements the socket side of an upgrade: a listening socket that is shared with other processes, pauses in
// which the poller reads nothing, and connections that are handed over to or adopted from another process. It must
// never shut down the shared listening socket, nor hand over a connection with data that has been read but not
// processed.

// sharedListener is a listening socket from which other processes accept too.
type sharedListener struct {
	netpoll.Listener
	stopped atomic.Bool
}

var errStoppedAccepting = errors.New("this process no longer accepts from the shared socket")

// Accept implements net.Listener. After LeaveSharedListener it fails, which makes netpoll remove the socket from its
// poller. Pending connections are left to the other processes.
func (l *sharedListener) Accept() (net.Conn, error) {
	if l.stopped.Load() {
		return nil, errStoppedAccepting
	}
	return l.Listener.Accept()
}

// ListenOn accepts clients from a listening socket that this process inherited.
func (d *Driver) ListenOn(fd int) error {
	if listening, err := unix.GetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_ACCEPTCONN); err != nil || listening != 1 {
		return fmt.Errorf("descriptor %d is no listening socket", fd)
	}
	unix.CloseOnExec(fd)
	addr, err := unix.Getsockname(fd)
	if err != nil {
		return err
	}
	d.shared = &sharedListener{Listener: inheritedListener{fd: fd, addr: tcpAddr(addr)}}
	return d.serve(d.shared)
}

// inheritedListener is a listening socket that is known by its descriptor only.
type inheritedListener struct {
	fd   int
	addr net.Addr
}

func (l inheritedListener) Accept() (net.Conn, error) {
	// O_NONBLOCK is shared by all processes that have the socket. If it were off and another process had accepted the
	// client first, the poller would block here until the next client and would read from no connection meanwhile.
	if err := unix.SetNonblock(l.fd, true); err != nil {
		return nil, err
	}
	fd, from, err := unix.Accept4(l.fd, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)
	switch err {
	case nil:
		_ = unix.SetsockoptInt(fd, unix.IPPROTO_TCP, unix.TCP_NODELAY, 1)
		return &acceptedConn{fd: fd, local: l.addr, remote: tcpAddr(from)}, nil
	case unix.EAGAIN, unix.ECONNABORTED, unix.EINTR:
		return nil, nil // another process accepted the client, or the client is gone
	}
	return nil, err
}

func (l inheritedListener) Close() error   { return nil }
func (l inheritedListener) Addr() net.Addr { return l.addr }
func (l inheritedListener) Fd() int        { return l.fd }

// acceptedConn carries an accepted descriptor and its addresses to netpoll, which makes a connection from it.
type acceptedConn struct {
	net.Conn
	fd            int
	local, remote net.Addr
}

func (c *acceptedConn) Fd() int              { return c.fd }
func (c *acceptedConn) LocalAddr() net.Addr  { return c.local }
func (c *acceptedConn) RemoteAddr() net.Addr { return c.remote }

// handoverAddr carries the callback for an adopted connection through netpoll, which preserves only the addresses.
type handoverAddr struct {
	net.Addr
	adopted func(jobs.Conn)
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

// taskListener is an eventfd that netpoll treats as a listening socket. It runs functions within netpoll's only poller,
// so nothing is read from any connection while one runs. A function may return a connection for netpoll to register.
type taskListener struct {
	driver *Driver
	fd     int

	mu    sync.Mutex
	tasks []func() net.Conn
}

func (d *Driver) startTaskListener() (*taskListener, error) {
	fd, err := unix.Eventfd(0, unix.EFD_NONBLOCK|unix.EFD_CLOEXEC|unix.EFD_SEMAPHORE)
	if err != nil {
		return nil, err
	}
	x := &taskListener{driver: d, fd: fd}
	return x, d.serve(x)
}

func (x *taskListener) Close() error   { return nil }
func (x *taskListener) Addr() net.Addr { return &net.TCPAddr{} }
func (x *taskListener) Fd() int        { return x.fd }

// Accept implements net.Listener.
func (x *taskListener) Accept() (net.Conn, error) {
	var b [8]byte
	if _, err := unix.Read(x.fd, b[:]); err != nil {
		return nil, nil
	}
	x.mu.Lock()
	next := x.tasks[0]
	x.tasks = x.tasks[1:]
	x.mu.Unlock()
	if c := next(); c != nil {
		return c, nil
	}
	return nil, nil
}

func (x *taskListener) push(f func() net.Conn) {
	x.mu.Lock()
	x.tasks = append(x.tasks, f)
	x.mu.Unlock()
	if _, err := unix.Write(x.fd, []byte{1, 0, 0, 0, 0, 0, 0, 0}); err != nil {
		slog.Error("poller can't be notified", "why", err)
	}
}

// WithReadsPaused schedules f to run on the loop while the poller reads from no connection. It returns before f has
// run. EnableHandover must have been called.
func (d *Driver) WithReadsPaused(f func()) {
	d.pollerTasks.push(func() net.Conn { d.loop.Do(f); return nil })
}

// EnableHandover prepares the driver for connections that are handed over from or to another process.
func (d *Driver) EnableHandover() (err error) {
	d.pollerTasks, err = d.startTaskListener()
	return err
}

// Adopt takes over a client connection from another process. It calls adopted on the loop, instead of Accepted, with
// the connection, or with nil if that has ended. If the client is already gone, it calls adopted(nil) at once.
func (d *Driver) Adopt(fd int, adopted func(jobs.Conn)) {
	remote, err := unix.Getpeername(fd)
	if err != nil { // the client is gone
		unix.Close(fd)
		adopted(nil)
		return
	}
	unix.CloseOnExec(fd)
	d.pollerTasks.push(func() net.Conn {
		return &acceptedConn{fd: fd, local: &net.TCPAddr{}, remote: handoverAddr{tcpAddr(remote), adopted}}
	})
}

// AdoptWorker takes over a worker connection from another process, on which an attempt continues. It returns nil on
// failure.
func (d *Driver) AdoptWorker(addr string, fd int) jobs.Conn {
	unix.CloseOnExec(fd)
	nc, err := netpoll.NewFDConnection(fd)
	if err != nil {
		slog.Warn("worker connection can't be adopted", "worker", addr, "why", err)
		unix.Close(fd)
		return nil
	}
	d.openConns.Add(1)
	d.ownQuota.open.Add(1)
	c := &Conn{driver: d, conn: nc, handler: discardHandler{}, ending: make(chan struct{}), host: d.host(addr), quota: &d.ownQuota}
	c.registerCallbacks()
	return c
}

// DupFD implements jobs.Transferable. It may only be called within WithReadsPaused.
func (c *Conn) DupFD() (fd int, ok bool) {
	if c.ended || c.closeCalled.Load() || len(c.writeQueue) > 0 || c.closeAfterWrite || !c.conn.IsActive() || c.activeReads.Load() > 0 || c.conn.Reader().Len() > 0 {
		return -1, false
	}
	err := c.withDescriptor(func(ownFD int) (err error) {
		fd, err = unix.FcntlInt(uintptr(ownFD), unix.F_DUPFD_CLOEXEC, 0)
		return err
	})
	if err != nil {
		return -1, false
	}
	c.duplicated = true
	return fd, true
}

// LeaveSharedListener stops accepting from a listening socket that is shared with other processes. It returns false if
// there is none.
func (d *Driver) LeaveSharedListener() bool {
	if d.shared != nil {
		d.shared.stopped.Store(true)
	}
	return d.shared != nil
}

// serve starts a netpoll event loop that accepts from the listener.
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

// prepare creates the Conn for a connection that netpoll has accepted. The loop must not get it yet: when the loop
// closed a connection before netpoll had registered it, netpoll registered it after its end, under a descriptor that by
// then belonged to another connection.
func (d *Driver) prepare(nc netpoll.Connection) context.Context {
	_, isAdopted := nc.RemoteAddr().(handoverAddr)
	if d.openConns.Add(1) > d.shedThreshold() {
		d.loop.Do(d.freeDescriptors) // further connections of a burst wait in the listen queue meanwhile
	}
	if !isAdopted && d.openConns.Load() > d.maxConns.Load() { // an adopted connection may have a job in flight
		d.openConns.Add(-1)
		_ = nc.Close()
		return nil
	}
	c := &Conn{driver: d, conn: nc, handler: discardHandler{}, ending: make(chan struct{})}
	c.registerCallbacks()
	return context.WithValue(context.Background(), connKey{}, c)
}

// connected gives a connection to the loop once netpoll has registered it. Its data is delivered afterwards.
func (d *Driver) connected(ctx context.Context, nc netpoll.Connection) context.Context {
	c := ctx.Value(connKey{}).(*Conn)
	accept := d.Accepted
	addr, isAdopted := nc.RemoteAddr().(handoverAddr)
	if isAdopted {
		accept = addr.adopted
	}
	d.loop.Post(func() {
		switch {
		case !c.ended:
			accept(c)
		case isAdopted:
			accept(nil) // lets the caller release what was handed over with it
		}
	})
	return ctx
}
