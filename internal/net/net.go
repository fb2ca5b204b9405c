// Package net connects sockets, by way of cloudwego/netpoll, to the state machines that process their bytes. It owns
// the listener, dialling, the pool of connections to workers and the budget of descriptors. It must never interpret the
// bytes, never send a byte twice, and never block the loop: a call that can block (a dial) runs on a goroutine of its
// own and reports to the loop by Post. The loop writes directly to the sockets; data that the system does not accept is
// queued, and one goroutine for all connections reports when a socket is writable again (write.go).
package net

import (
	"context"
	"maps"
	"net/netip"
	"os"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"weldscale/internal/engine"
	"weldscale/internal/jobs"
)

const (
	reservedDescriptors = 32          // for the poller, the listener and the log
	shedMargin          = 64          // idle connections are shed from this far below the budget; see shedThreshold
	linger              = time.Second // time for a peer to read the last answer before the connection is closed
	maxIdlePerHost      = 8
	bufferSize          = 4 << 10  // initial read buffer of a connection
	receiveBuffer       = 64 << 10 // SO_RCVBUF of client connections
	sendBuffer          = 64 << 10 // SO_SNDBUF of client connections, which bounds unread answers; the system doubles it
	maxUnread           = 2 << 20  // netpoll's buffer per connection; it reads on while the loop is busy, except from clients
	maxDiscarded        = 1 << 20  // bytes that a client may send after its last answer
	maxHosts            = 256      // hosts without idle connections and waiters are removed beyond that
)

// Config holds the limits of a Driver.
type Config struct {
	Descriptors    int           // descriptor budget of the process
	ConnectTimeout time.Duration // for a dial
	IdleLimit      time.Duration // time after which a worker closes an idle connection
}

// Driver owns the sockets of a scheduler. Its methods must be called on the loop.
type Driver struct {
	loop              *engine.Loop
	config            Config
	hosts             map[string]*host
	idle              []*Conn   // idle connections to workers, longest idle first
	ownQuota          connQuota // for connections that are not dialled for a service
	openConns         atomic.Int64
	maxConns          atomic.Int64 // descriptors available for connections
	managementReserve int          // descriptors reserved for the management address
	ln                netpoll.Listener
	shared            *sharedListener // used instead of ln, if set
	pollerTasks       *taskListener
	watcher           *writeWatcher // waits for sockets to become writable
	unsent            int           // number of connections with a non-empty writeQueue

	// Accepted is called with each new client connection.
	Accepted func(jobs.Conn)
	// ShedIdle closes up to n client connections that are idle or behind their rate, and returns how many it closed.
	// With unproven it spares idle clients that have sent a job and those that have just connected.
	ShedIdle func(n int, unproven bool) int
	// Dial opens a connection to a worker and may block. It is netpoll's unless a test replaces it.
	Dial func(addr string, timeout time.Duration) (netpoll.Connection, error)
	// Counted is called with the numbers of new dials, failed dials and shed connections.
	Counted func(dials, failed, shed int)
}

// host holds the idle connections and the waiters of one worker address.
type host struct {
	addr    string
	idle    []*Conn // most recently used last
	waiters []*waiter
}

type waiter struct {
	fresh bool // accepts only the connection dialled for it
	ready func(jobs.Conn)
	quota *connQuota
}

// connQuota counts and limits the connections dialled for one service, so that a service in trouble can't use up the
// connections that other services need.
type connQuota struct {
	limit        atomic.Int64 // 0: only the driver's limit applies
	open         atomic.Int64
	pendingDials []func() // dials that wait until a connection of this quota ends; used on the loop only
}

// full reports whether the quota allows no further connection.
func (q *connQuota) full() bool {
	limit := q.limit.Load()
	return limit > 0 && q.open.Load() >= limit
}

// startPendingDials starts waiting dials as far as the quota allows. It must be called on the loop.
func (q *connQuota) startPendingDials() {
	for len(q.pendingDials) > 0 && !q.full() {
		dial := q.pendingDials[0]
		q.pendingDials = q.pendingDials[1:]
		dial()
	}
}

// Dialer dials through the driver within one service's quota.
type Dialer struct {
	*Driver
	quota connQuota
}

// Dialer returns a Dialer that opens at most limit connections; 0 means that only the driver's limit applies.
func (d *Driver) Dialer(limit int) *Dialer {
	dialer := &Dialer{Driver: d}
	dialer.SetLimit(limit)
	return dialer
}

// SetLimit changes the limit. Open connections stay open.
func (d *Dialer) SetLimit(n int) { d.quota.limit.Store(int64(n)) }

// OpenConns returns how many connections of the quota are open.
func (d *Dialer) OpenConns() int { return int(d.quota.open.Load()) }

// Get implements jobs.Dialer.
func (d *Dialer) Get(addr string, fresh bool, ready func(jobs.Conn)) (giveUp func()) {
	return d.get(addr, fresh, ready, &d.quota)
}

var configureOnce sync.Once

// New returns a Driver for the loop.
func New(loop *engine.Loop, c Config) *Driver {
	configureOnce.Do(func() {
		_ = netpoll.Configure(netpoll.Config{PollerNum: 1, BufferSize: bufferSize, Runner: runReader, LoggerOutput: os.Stderr})
	})
	d := &Driver{loop: loop, config: c, hosts: map[string]*host{}, watcher: newWriteWatcher(loop), Dial: dial}
	d.SetDescriptors(c.Descriptors)
	return d
}

// SetDescriptors changes the budget of descriptors. Open connections stay open until their descriptors are needed.
func (d *Driver) SetDescriptors(n int) {
	d.maxConns.Store(int64(n - reservedDescriptors - d.managementReserve))
}

// OpenDescriptors returns how many descriptors are in use, including the reserved ones.
func (d *Driver) OpenDescriptors() int {
	return int(d.openConns.Load()) + reservedDescriptors + d.managementReserve
}

// ReserveForManagement reserves the descriptors that the management address needs.
func (d *Driver) ReserveForManagement() {
	d.managementReserve = managementConns
	d.maxConns.Add(-managementConns)
}

type connKey struct{}

// runReader runs netpoll's read task f of a connection. For a client it blocks the poller until the loop has processed
// the data. Otherwise the poller would keep reading faster than the data is processed, and a few large bodies could
// fill the memory. A connection that is being closed waits for the poller in turn, so runReader returns when the
// closing starts.
func runReader(ctx context.Context, f func()) {
	c, _ := ctx.Value(connKey{}).(*Conn)
	if c == nil {
		go f()
		return
	}
	done := make(chan struct{})
	go func() {
		f()
		close(done)
	}()
	select {
	case <-done:
	case <-c.ending:
	}
}

// Conn is one connection. It is used on the loop only, except for the atomic fields, discardedBytes and the field under
// mu.
type Conn struct {
	driver         *Driver
	conn           netpoll.Connection
	handler        jobs.Handler
	host           *host         // nil for client connections
	quota          *connQuota    // quota it was dialled under; nil for client connections
	idleTimer      *engine.Timer // closes the connection when it has been idle too long
	idleSince      time.Time     // when it became idle
	closeCalled    atomic.Bool   // Close was called
	discarding     atomic.Bool   // input is discarded
	ending         chan struct{} // closed when netpoll starts to close the connection
	ended          bool          // closed from the loop's point of view
	duplicated     bool          // another process may have the connection too; a shutdown would end it there as well
	discardedBytes int           // bytes discarded so far; used by the reading goroutine only

	writeQueue      []chunk // data that the system has not accepted yet
	queuedBytes     int     // bytes in writeQueue
	watchID         uint64  // ID in the writeWatcher; 0: not registered
	closeAfterWrite bool

	activeReads atomic.Int32 // calls of read in progress
	undelivered atomic.Int32 // those of them whose data the loop has not processed yet

	mu       sync.Mutex
	released bool // the descriptor may belong to another connection by now
}

// SetHandler implements jobs.Conn.
func (c *Conn) SetHandler(h jobs.Handler) { c.handler = h }

// Peer implements jobs.Conn.
func (c *Conn) Peer() netip.Addr {
	a, err := netip.ParseAddrPort(c.conn.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

// PeerClosed implements jobs.Conn. It asks the system, since the poller may not have noticed the end yet or may wait
// for the loop.
func (c *Conn) PeerClosed() bool { return c.ended || c.hasEvent(unix.POLLRDHUP) }

// hasEvent reports whether the system shows one of the poll events for the connection, or its end.
func (c *Conn) hasEvent(events int16) bool {
	p := []unix.PollFd{{Events: events}}
	err := c.withDescriptor(func(fd int) error {
		p[0].Fd = int32(fd)
		_, err := unix.Poll(p, 0)
		return err
	})
	return err == unix.EPIPE || p[0].Revents != 0
}

// Unread implements jobs.Conn.
func (c *Conn) Unread() bool {
	return !c.ended && (c.undelivered.Load() > 0 || c.conn.Reader().Len() > 0 || c.hasEvent(unix.POLLIN|unix.POLLRDHUP))
}

// reusable reports whether the connection is open and has no unread data. A request on a connection that the worker has
// closed would be lost, and unsolicited data would be read as the answer to the next request.
func (c *Conn) reusable() bool {
	return c.conn.IsActive() && !c.Unread()
}

// CloseAfterWrite implements jobs.Conn.
func (c *Conn) CloseAfterWrite() {
	c.handler = discardHandler{}
	c.discarding.Store(true)
	c.closeAfterWrite = true
	if len(c.writeQueue) == 0 {
		c.shutdownWrite()
	}
}

// shutdownWrite shuts down the sending side and closes the connection after the linger time. Closing it at once with
// unread input would reset the connection, and the peer could lose the last answer.
func (c *Conn) shutdownWrite() {
	if c.ended {
		return
	}
	_ = c.withDescriptor(func(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) })
	c.driver.loop.After(linger, c.Close)
}

type discardHandler struct{}

func (discardHandler) Data([]byte) {}
func (discardHandler) Closed()     {}

// Close implements jobs.Conn.
func (c *Conn) Close() {
	if c.ended {
		return
	}
	c.unregister()
	c.closeCalled.Store(true)
	// netpoll closes only after a read in progress, which may wait for the loop. An abandoned attempt must end at once.
	if c.quota != nil && !c.duplicated {
		_ = c.withDescriptor(func(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) })
	}
	_ = c.conn.Close()
}

// unregister marks the connection as ended, drops its queued data and removes it from the idle pool.
func (c *Conn) unregister() {
	c.ended = true
	c.dropQueue()
	c.driver.removeIdle(c)
}

// registerCallbacks registers the callbacks that deliver the connection's data and its end to the loop. The count of
// open connections is decremented when the descriptor is closed.
func (c *Conn) registerCallbacks() {
	var once sync.Once
	onEnd := func() {
		once.Do(func() {
			close(c.ending)
			c.mu.Lock()
			c.released = true
			c.mu.Unlock()
			c.driver.openConns.Add(-1)
			if q := c.quota; q != nil {
				if q.open.Add(-1); q.limit.Load() > 0 {
					go c.driver.loop.Post(q.startPendingDials) // on its own goroutine: the loop, which may run this, must not wait for itself
				}
			}
			if c.closeCalled.Load() {
				return
			}
			c.driver.loop.Post(func() {
				c.failQueue() // its callbacks may close the connection
				if !c.ended {
					c.unregister()
					c.handler.Closed()
				}
			})
		})
	}
	_ = c.conn.AddCloseCallback(func(netpoll.Connection) error { onEnd(); return nil })
	_ = c.conn.SetOnRequest(func(_ context.Context, nc netpoll.Connection) error {
		c.read(nc)
		return nil
	})
	if !c.conn.IsActive() { // it ended before the callback was registered
		_ = c.conn.Close()
		onEnd()
	}
}

// read delivers the available data to the loop and waits until it is processed, because netpoll owns the buffer.
func (c *Conn) read(nc netpoll.Connection) {
	c.activeReads.Add(1)
	defer c.activeReads.Add(-1)
	r := nc.Reader()
	n := r.Len()
	if c.discarding.Load() {
		_ = r.Skip(n)
		_ = r.Release()
		if c.discardedBytes += n; c.discardedBytes > maxDiscarded {
			_ = nc.Close()
		}
		return
	}
	if n > maxUnread {
		_ = nc.Close()
		return
	}
	c.undelivered.Add(1)
	b, err := r.Next(n)
	if err != nil {
		c.undelivered.Add(-1)
		return
	}
	c.driver.loop.Do(func() {
		c.undelivered.Add(-1)
		if !c.ended {
			c.handler.Data(b)
		}
	})
	_ = r.Release()
}

// Listen accepts clients at addr.
func (d *Driver) Listen(addr string) error {
	ln, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return err
	}
	d.ln = ln
	// Accepted connections inherit the buffer sizes. The receive buffer limits what a client can send ahead of the
	// reads.
	if err := syscall.SetsockoptInt(ln.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer); err != nil {
		return err
	}
	if err := syscall.SetsockoptInt(ln.Fd(), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer); err != nil {
		return err
	}
	return d.serve(ln)
}

// Addr returns the address of the listener.
func (d *Driver) Addr() string {
	if d.shared != nil {
		return d.shared.Addr().String()
	}
	return d.ln.Addr().String()
}

// HasPendingClients reports whether client connections wait to be accepted. It returns false for a shared socket.
func (d *Driver) HasPendingClients() bool {
	if d.ln == nil {
		return false // pending connections of a shared socket are left to the other processes
	}
	p := []unix.PollFd{{Fd: int32(d.ln.Fd()), Events: unix.POLLIN}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0
}

// StopListening stops accepting connections. It shuts down the listening socket unless that is shared.
func (d *Driver) StopListening() {
	if d.LeaveSharedListener() {
		return
	}
	// ln.Close is not used: netpoll would close the descriptor twice, and the number may belong to another file by
	// then.
	_ = syscall.Shutdown(d.ln.Fd(), syscall.SHUT_RD)
}

// Get implements jobs.Dialer.
func (d *Driver) Get(addr string, fresh bool, ready func(jobs.Conn)) (giveUp func()) {
	return d.get(addr, fresh, ready, &d.ownQuota)
}

func (d *Driver) get(addr string, fresh bool, ready func(jobs.Conn), quota *connQuota) (giveUp func()) {
	h := d.host(addr)
	for !fresh && len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if !c.reusable() || time.Since(c.idleSince) >= d.maxIdleTime() { // its idle timer may be late
			c.Close()
			continue
		}
		d.removeIdle(c)
		ready(c)
		return func() {}
	}
	w := &waiter{fresh, ready, quota}
	h.waiters = append(h.waiters, w)
	d.dial(h, w)
	return func() { h.removeWaiter(w) }
}

func (d *Driver) host(addr string) *host {
	h := d.hosts[addr]
	if h == nil {
		if len(d.hosts) >= maxHosts { // addresses change while the scheduler runs
			maps.DeleteFunc(d.hosts, func(_ string, h *host) bool { return len(h.idle)+len(h.waiters) == 0 })
		}
		h = &host{addr: addr}
		d.hosts[addr] = h
	}
	return h
}

// removeWaiter removes a waiter and reports whether it was still waiting.
func (h *host) removeWaiter(w *waiter) bool {
	i := slices.Index(h.waiters, w)
	if i < 0 {
		return false
	}
	h.waiters = slices.Delete(h.waiters, i, i+1)
	return true
}

func dial(addr string, timeout time.Duration) (netpoll.Connection, error) {
	return netpoll.DialConnection("tcp", addr, timeout)
}

// dial opens a connection for w, within the budget of descriptors and the quota.
func (d *Driver) dial(h *host, w *waiter) {
	d.freeDescriptors()
	if d.openConns.Load() >= d.maxConns.Load() {
		d.loop.After(0, func() { d.dialDone(h, w, nil) })
		return
	}
	if w.quota.full() {
		// Closes an idle connection of the same quota. If there is none, the dial waits: a failure would count against
		// the worker.
		if i := slices.IndexFunc(d.idle, func(c *Conn) bool { return c.quota == w.quota }); i >= 0 {
			d.idle[i].Close()
		}
	}
	if w.quota.full() {
		w.quota.pendingDials = append(w.quota.pendingDials, func() {
			if slices.Contains(h.waiters, w) { // not cancelled meanwhile
				d.dial(h, w)
			}
		})
		return
	}
	d.openConns.Add(1)
	w.quota.open.Add(1)
	go func() {
		nc, err := d.Dial(h.addr, d.config.ConnectTimeout)
		if err != nil {
			d.openConns.Add(-1)
			w.quota.open.Add(-1)
			nc = nil
		}
		d.loop.Post(func() { d.dialDone(h, w, nc) })
	}()
}

// dialDone handles the end of a dial. A new connection goes to its own waiter if that accepts no other one, else to the
// first waiter that accepts any connection, else into the idle pool. A failed dial fails only its own waiter.
func (d *Driver) dialDone(h *host, w *waiter, nc netpoll.Connection) {
	if nc == nil {
		d.Counted(1, 1, 0)
		if w != nil && h.removeWaiter(w) {
			w.ready(nil)
		}
		return
	}
	d.Counted(1, 0, 0)
	c := &Conn{driver: d, conn: nc, handler: discardHandler{}, ending: make(chan struct{}), host: h, quota: w.quota}
	c.registerCallbacks()
	if w != nil && w.fresh && h.removeWaiter(w) {
		w.ready(c)
		return
	}
	d.Put(h.addr, c)
}

// Put implements jobs.Dialer.
func (d *Driver) Put(addr string, in jobs.Conn) {
	c := in.(*Conn)
	h := d.host(addr)
	if c.ended || len(c.writeQueue) > 0 || !c.reusable() {
		c.Close()
		return
	}
	if i := slices.IndexFunc(h.waiters, func(w *waiter) bool { return !w.fresh }); i >= 0 {
		w := h.waiters[i]
		h.removeWaiter(w)
		w.ready(c)
		return
	}
	if len(h.idle) >= maxIdlePerHost {
		c.Close()
		return
	}
	c.host = h // the host it was dialled for may have been removed
	c.handler = idleHandler{c}
	h.idle = append(h.idle, c)
	d.idle = append(d.idle, c)
	c.idleSince = time.Now()
	c.idleTimer = d.loop.After(d.maxIdleTime(), c.Close)
}

// maxIdleTime returns how long a connection to a worker may be idle. It is shorter than the worker's limit, because a
// request on a connection that the worker is about to close could be lost.
func (d *Driver) maxIdleTime() time.Duration { return d.config.IdleLimit * 7 / 10 }

// idleHandler handles the events of an idle connection.
type idleHandler struct{ conn *Conn }

func (i idleHandler) Data([]byte) { i.conn.Close() } // unsolicited data: the connection can't be trusted
func (i idleHandler) Closed()     {}

func (d *Driver) removeIdle(c *Conn) {
	if c.host == nil || c.idleTimer == nil {
		return
	}
	c.idleTimer.Stop()
	c.idleTimer = nil
	if i := slices.Index(c.host.idle, c); i >= 0 {
		c.host.idle = slices.Delete(c.host.idle, i, i+1)
	}
	if i := slices.Index(d.idle, c); i >= 0 {
		d.idle = slices.Delete(d.idle, i, i+1)
	}
}

// shedThreshold returns the number of connections above which idle ones are shed. For a small budget the margin is a
// quarter of it: with the full margin every new connection shed all idle ones.
func (d *Driver) shedThreshold() int64 {
	limit := d.maxConns.Load()
	return limit - min(shedMargin, limit/4)
}

// freeDescriptors sheds idle connections when descriptors run short: first those of unproven clients, then those to
// workers, which can be dialled again at the cost of some time, then those of clients that have sent jobs.
func (d *Driver) freeDescriptors() {
	over := int(d.openConns.Load() - d.shedThreshold())
	if over <= 0 {
		return
	}
	shed := d.ShedIdle(over, true)
	for ; shed < over && len(d.idle) > 0; shed++ {
		d.idle[0].Close()
	}
	if shed < over {
		shed += d.ShedIdle(over-shed, false)
	}
	if shed > 0 {
		d.Counted(0, 0, shed)
	}
}
