// Package net is the driver between sockets and the state machines that are fed their bytes, on
// cloudwego/netpoll. It owns the listener, dialling, the pool of connections to workers and the budget of
// descriptors. It must never read meaning into the bytes, never send a byte twice, and never make the loop
// wait: what can block (a dial) runs on a goroutine of its own and comes back to the loop by Post. Writes go to the
// system from the loop as far as it takes them; what it does not take waits, and one goroutine for all tells when
// there is room again (write.go).
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
	reserved    = 32          // descriptors kept for the poller, the listener and the log
	margin      = 64          // below the budget, where shedding idle connections starts; of a small one a quarter
	linger      = time.Second // for a peer to take our last answer before the close
	idlePerHost = 8
	bufferSize  = 4 << 10  // of a connection's reads at first
	receive     = 64 << 10 // what the system may hold of a client's bytes unread
	transmit    = 64 << 10 // what it may hold of an answer that the client does not take; it doubles the figure
	maxUnread   = 2 << 20  // what netpoll may: it reads on while the loop is busy, but from clients
	maxIgnored  = 1 << 20  // of what a client sends after its last answer
	maxHosts    = 256      // before those without a connection at rest are forgotten
)

// Config says within which bounds a Driver works.
type Config struct {
	Descriptors    int           // of the process
	ConnectTimeout time.Duration // for a dial
	IdleLimit      time.Duration // after which a worker closes an idle connection
}

// Driver owns the sockets of a scheduler. Its methods are for code on the loop.
type Driver struct {
	loop   *engine.Loop
	c      Config
	hosts  map[string]*host
	idle   []*Conn // idle connections to workers, the longest idle first
	own    account // of what is dialled on no service's account
	open   atomic.Int64
	room   atomic.Int64 // descriptors for connections
	kept   int          // descriptors for the second address
	ln     netpoll.Listener
	shared *shared // in place of ln
	door   *door
	watch  *watch // of descriptors that take no more just now
	unsent int    // connections with bytes that the system has not taken

	// Accepted takes over a client's connection.
	Accepted func(jobs.Conn)
	// ShedIdle closes up to n idle connections of clients and returns how many; with strangers only those of
	// clients that have brought nothing to do.
	ShedIdle func(n int, strangers bool) int
	// Dial opens a connection to a worker; it may wait. netpoll's unless a test holds it.
	Dial func(addr string, timeout time.Duration) (netpoll.Connection, error)
	// Counted is told of dials and of shed connections.
	Counted func(dials, failed, shed int)
}

// host is what the driver keeps for one address.
type host struct {
	addr    string
	idle    []*Conn // the latest used last
	waiting []*waiter
}

type waiter struct {
	fresh   bool // takes only the connection dialled for it
	ready   func(jobs.Conn)
	account *account
}

// account counts the connections that were dialled for one service, and bounds them: what a service in trouble holds open
// must not be what its neighbours need.
type account struct {
	limit   atomic.Int64 // 0: none but the driver's
	open    atomic.Int64
	pending []func() // dials that wait until one of its connections ends; the loop's
}

// full reports whether the account bears no further connection.
func (a *account) full() bool {
	limit := a.limit.Load()
	return limit > 0 && a.open.Load() >= limit
}

// next goes on with dials that wait, as far as the account bears them. Only for code on the loop.
func (a *account) next() {
	for len(a.pending) > 0 && !a.full() {
		dial := a.pending[0]
		a.pending = a.pending[1:]
		dial()
	}
}

// Dialer is the driver's dialling on one service's account.
type Dialer struct {
	*Driver
	account account
}

// Dialer returns a dialler that holds no more than so many connections; 0: as many as the driver bears.
func (d *Driver) Dialer(limit int) *Dialer {
	out := &Dialer{Driver: d}
	out.SetLimit(limit)
	return out
}

// SetLimit changes the bound; what is open stays open.
func (d *Dialer) SetLimit(n int) { d.account.limit.Store(int64(n)) }

// OpenConns is how many connections are on the account.
func (d *Dialer) OpenConns() int { return int(d.account.open.Load()) }

// Get implements jobs.Dialer.
func (d *Dialer) Get(addr string, fresh bool, ready func(jobs.Conn)) (giveUp func()) {
	return d.get(addr, fresh, ready, &d.account)
}

var configure sync.Once

// New returns a driver for the loop.
func New(loop *engine.Loop, c Config) *Driver {
	configure.Do(func() {
		_ = netpoll.Configure(netpoll.Config{PollerNum: 1, BufferSize: bufferSize, Runner: run, LoggerOutput: os.Stderr})
	})
	d := &Driver{loop: loop, c: c, hosts: map[string]*host{}, watch: newWatch(loop), Dial: dial}
	d.SetDescriptors(c.Descriptors)
	return d
}

// SetDescriptors changes the budget of descriptors; what is open stays open until room is needed.
func (d *Driver) SetDescriptors(n int) { d.room.Store(int64(n - reserved - d.kept)) }

// OpenDescriptors is how many descriptors are in use, with those that are set apart.
func (d *Driver) OpenDescriptors() int { return int(d.open.Load()) + reserved + d.kept }

// ReserveForManagement sets apart what the second address needs.
func (d *Driver) ReserveForManagement() {
	d.kept = secondConns
	d.room.Add(-secondConns)
}

type connKey struct{}

// run starts what netpoll does for a connection that has bytes to read. The poller reads on meanwhile, faster than
// anyone takes the bytes, and a few large bodies once could have filled the memory; so for a client it waits until
// the loop has taken them. A connection that is being closed waits for the poller in turn, and lets it go.
func run(ctx context.Context, f func()) {
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
	case <-c.leaving:
	}
}

// Conn is one connection. Only the loop uses it, but for what is under mu and the flags.
type Conn struct {
	d       *Driver
	nc      netpoll.Connection
	handler jobs.Handler
	host    *host         // of a connection to a worker
	account *account      // of the service that it was dialled for
	retire  *engine.Timer // of an idle one
	rests   time.Time     // since when
	closed  atomic.Bool   // by us
	deaf    atomic.Bool   // nothing that comes counts any more
	leaving chan struct{} // closed when the system's end is near
	ended   bool          // as the loop knows it
	copied  bool          // another process may have it too: to end the sending would end it there
	ignored int           // bytes that came while deaf

	out        []chunk // what the system has not taken yet
	queued     int     // bytes of it
	watched    uint64  // the number that the watch knows it by; 0: it does not
	closeAfter bool

	reading atomic.Int32 // hand-overs of bytes to the loop that are under way
	untold  atomic.Int32 // those of them that the loop has not come to

	mu       sync.Mutex
	released bool // the descriptor may be another's by now
}

// SetHandler implements jobs.Conn.
func (c *Conn) SetHandler(h jobs.Handler) { c.handler = h }

// Peer implements jobs.Conn.
func (c *Conn) Peer() netip.Addr {
	a, err := netip.ParseAddrPort(c.nc.RemoteAddr().String())
	if err != nil {
		return netip.Addr{}
	}
	return a.Addr().Unmap()
}

// PeerClosed implements jobs.Conn. The poller may not have come to it yet, or wait for the loop.
func (c *Conn) PeerClosed() bool { return c.ended || c.shows(unix.POLLRDHUP) }

// shows reports whether the system has one of the events for the connection just now, or its end.
func (c *Conn) shows(events int16) bool {
	p := []unix.PollFd{{Events: events}}
	err := c.system(func(fd int) error {
		p[0].Fd = int32(fd)
		_, err := unix.Poll(p, 0)
		return err
	})
	return err == unix.EPIPE || p[0].Revents != 0
}

// Unread implements jobs.Conn.
func (c *Conn) Unread() bool {
	return !c.ended && (c.untold.Load() > 0 || c.nc.Reader().Len() > 0 || c.shows(unix.POLLIN|unix.POLLRDHUP))
}

// quiet reports whether nothing has come on a connection beyond what the loop was told, nor its end. One that the worker
// has ended would take a request along, and what comes unasked would be read as the next one's answer.
func (c *Conn) quiet() bool {
	return c.nc.IsActive() && !c.Unread()
}

// CloseAfterWrite implements jobs.Conn.
func (c *Conn) CloseAfterWrite() {
	c.handler = discard{}
	c.deaf.Store(true)
	c.closeAfter = true
	if len(c.out) == 0 {
		c.finish()
	}
}

// finish ends our sending and leaves the peer a moment to read: a close with bytes unread would reset the
// connection and could take the last answer with it.
func (c *Conn) finish() {
	if c.ended {
		return
	}
	_ = c.system(func(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) })
	c.d.loop.After(linger, c.Close)
}

type discard struct{}

func (discard) Data([]byte) {}
func (discard) Closed()     {}

// Close implements jobs.Conn.
func (c *Conn) Close() {
	if c.ended {
		return
	}
	c.end()
	c.closed.Store(true)
	if c.account != nil && !c.copied { // netpoll closes after a read that is at work, which may wait for us: what was given up must not be out
		_ = c.system(func(fd int) error { return unix.Shutdown(fd, unix.SHUT_WR) })
	}
	_ = c.nc.Close()
}

// end takes a connection out of the books.
func (c *Conn) end() {
	c.ended = true
	c.forgetOut()
	c.d.forgetIdle(c)
}

// wire has the connection's bytes and end reported on the loop. The driver's count of open descriptors
// falls when the system's does.
func (c *Conn) wire() {
	var once sync.Once
	gone := func() {
		once.Do(func() {
			close(c.leaving)
			c.mu.Lock()
			c.released = true
			c.mu.Unlock()
			c.d.open.Add(-1)
			if a := c.account; a != nil {
				if a.open.Add(-1); a.limit.Load() > 0 {
					go c.d.loop.Post(a.next) // this may be the loop, which must not wait for itself
				}
			}
			if c.closed.Load() {
				return
			}
			c.d.loop.Post(func() {
				c.failOut() // what that leads to may close it in turn
				if !c.ended {
					c.end()
					c.handler.Closed()
				}
			})
		})
	}
	_ = c.nc.AddCloseCallback(func(netpoll.Connection) error { gone(); return nil })
	_ = c.nc.SetOnRequest(func(_ context.Context, nc netpoll.Connection) error {
		c.read(nc)
		return nil
	})
	if !c.nc.IsActive() { // it ended before the callback stood
		_ = c.nc.Close()
		gone()
	}
}

// read hands on what has come and waits until the loop has taken it: the bytes are netpoll's.
func (c *Conn) read(nc netpoll.Connection) {
	c.reading.Add(1)
	defer c.reading.Add(-1)
	r := nc.Reader()
	n := r.Len()
	if c.deaf.Load() {
		_ = r.Skip(n)
		_ = r.Release()
		if c.ignored += n; c.ignored > maxIgnored {
			_ = nc.Close()
		}
		return
	}
	if n > maxUnread {
		_ = nc.Close()
		return
	}
	c.untold.Add(1)
	b, err := r.Next(n)
	if err != nil {
		c.untold.Add(-1)
		return
	}
	c.d.loop.Do(func() {
		c.untold.Add(-1)
		if !c.ended {
			c.handler.Data(b)
		}
	})
	_ = r.Release()
}

// Listen accepts clients at the address.
func (d *Driver) Listen(addr string) error {
	ln, err := netpoll.CreateListener("tcp", addr)
	if err != nil {
		return err
	}
	d.ln = ln
	// Connections inherit it. What a client sends ahead of our reading stays with the client.
	if err := syscall.SetsockoptInt(ln.Fd(), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receive); err != nil {
		return err
	}
	if err := syscall.SetsockoptInt(ln.Fd(), syscall.SOL_SOCKET, syscall.SO_SNDBUF, transmit); err != nil {
		return err
	}
	return d.serve(ln)
}

// Addr is the address that Listen took.
func (d *Driver) Addr() string {
	if d.shared != nil {
		return d.shared.Addr().String()
	}
	return d.ln.Addr().String()
}

// HasPendingClients reports whether connections of clients wait with the system to be accepted.
func (d *Driver) HasPendingClients() bool {
	if d.ln == nil {
		return false // what waits on a shared socket is the other processes'
	}
	p := []unix.PollFd{{Fd: int32(d.ln.Fd()), Events: unix.POLLIN}}
	n, err := unix.Poll(p, 0)
	return err == nil && n > 0
}

// StopListening refuses new connections from here on.
func (d *Driver) StopListening() {
	if d.LeaveSharedListener() {
		return
	}
	// Not ln.Close: netpoll would close the descriptor twice, and the number may be another's by then.
	_ = syscall.Shutdown(d.ln.Fd(), syscall.SHUT_RD)
}

// Get implements jobs.Dialer.
func (d *Driver) Get(addr string, fresh bool, ready func(jobs.Conn)) (giveUp func()) {
	return d.get(addr, fresh, ready, &d.own)
}

func (d *Driver) get(addr string, fresh bool, ready func(jobs.Conn), acc *account) (giveUp func()) {
	h := d.host(addr)
	for !fresh && len(h.idle) > 0 {
		c := h.idle[len(h.idle)-1]
		if !c.quiet() || time.Since(c.rests) >= d.restFor() { // its timer may not have had its turn
			c.Close()
			continue
		}
		d.forgetIdle(c)
		ready(c)
		return func() {}
	}
	w := &waiter{fresh, ready, acc}
	h.waiting = append(h.waiting, w)
	d.dial(h, w)
	return func() { h.leave(w) }
}

func (d *Driver) host(addr string) *host {
	h := d.hosts[addr]
	if h == nil {
		if len(d.hosts) >= maxHosts { // addresses come and go for as long as the scheduler runs
			maps.DeleteFunc(d.hosts, func(_ string, h *host) bool { return len(h.idle)+len(h.waiting) == 0 })
		}
		h = &host{addr: addr}
		d.hosts[addr] = h
	}
	return h
}

// leave takes a waiter out and reports whether it was still waiting.
func (h *host) leave(w *waiter) bool {
	i := slices.Index(h.waiting, w)
	if i < 0 {
		return false
	}
	h.waiting = slices.Delete(h.waiting, i, i+1)
	return true
}

func dial(addr string, timeout time.Duration) (netpoll.Connection, error) {
	return netpoll.DialConnection("tcp", addr, timeout)
}

// dial opens a connection on behalf of w, if it is not nil.
func (d *Driver) dial(h *host, w *waiter) {
	d.makeRoom()
	if d.open.Load() >= d.room.Load() {
		d.loop.After(0, func() { d.dialled(h, w, nil) })
		return
	}
	if w.account.full() {
		// One that sits idle elsewhere makes room; else it waits. To fail it would be held against the worker.
		if i := slices.IndexFunc(d.idle, func(c *Conn) bool { return c.account == w.account }); i >= 0 {
			d.idle[i].Close()
		}
	}
	if w.account.full() {
		w.account.pending = append(w.account.pending, func() {
			if slices.Contains(h.waiting, w) { // not given up meanwhile
				d.dial(h, w)
			}
		})
		return
	}
	d.open.Add(1)
	w.account.open.Add(1)
	go func() {
		nc, err := d.Dial(h.addr, d.c.ConnectTimeout)
		if err != nil {
			d.open.Add(-1)
			w.account.open.Add(-1)
			nc = nil
		}
		d.loop.Post(func() { d.dialled(h, w, nc) })
	}()
}

// dialled hands a new connection to whoever it was dialled for, if that one takes no other, or else to whoever has
// waited longest. A dial that failed fails only its own.
func (d *Driver) dialled(h *host, w *waiter, nc netpoll.Connection) {
	if nc == nil {
		d.Counted(1, 1, 0)
		if w != nil && h.leave(w) {
			w.ready(nil)
		}
		return
	}
	d.Counted(1, 0, 0)
	c := &Conn{d: d, nc: nc, handler: discard{}, leaving: make(chan struct{}), host: h, account: w.account}
	c.wire()
	if w != nil && w.fresh && h.leave(w) {
		w.ready(c)
		return
	}
	d.Put(h.addr, c)
}

// Put implements jobs.Dialer.
func (d *Driver) Put(addr string, in jobs.Conn) {
	c := in.(*Conn)
	h := d.host(addr)
	if c.ended || len(c.out) > 0 || !c.quiet() {
		c.Close()
		return
	}
	if i := slices.IndexFunc(h.waiting, func(w *waiter) bool { return !w.fresh }); i >= 0 {
		w := h.waiting[i]
		h.leave(w)
		w.ready(c)
		return
	}
	if len(h.idle) >= idlePerHost {
		c.Close()
		return
	}
	c.host = h // the one it was dialled for may be forgotten
	c.handler = idleHandler{c}
	h.idle = append(h.idle, c)
	d.idle = append(d.idle, c)
	c.rests = time.Now()
	c.retire = d.loop.After(d.restFor(), c.Close)
}

// restFor is how long a connection to a worker may rest. A request on one that the worker is about to close may be lost with
// it, so ours ends first.
func (d *Driver) restFor() time.Duration { return d.c.IdleLimit * 7 / 10 }

// idleHandler watches over a connection that no exchange uses.
type idleHandler struct{ c *Conn }

func (i idleHandler) Data([]byte) { i.c.Close() } // nobody asked: what comes can't be trusted
func (i idleHandler) Closed()     {}

func (d *Driver) forgetIdle(c *Conn) {
	if c.host == nil || c.retire == nil {
		return
	}
	c.retire.Stop()
	c.retire = nil
	if i := slices.Index(c.host.idle, c); i >= 0 {
		c.host.idle = slices.Delete(c.host.idle, i, i+1)
	}
	if i := slices.Index(d.idle, c); i >= 0 {
		d.idle = slices.Delete(d.idle, i, i+1)
	}
}

// shedFrom is how many connections there may be before idle ones are shed. Of a small budget it leaves more than the margin
// would: all that is idle went at each new connection.
func (d *Driver) shedFrom() int64 {
	room := d.room.Load()
	return room - min(margin, room/4)
}

// makeRoom sheds idle connections once the budget of descriptors runs short: first those of clients that only sit
// there, then those to workers, since a new one costs no more than time, then those of clients that work with us.
func (d *Driver) makeRoom() {
	over := int(d.open.Load() - d.shedFrom())
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
