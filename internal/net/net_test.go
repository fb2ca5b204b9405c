package net

import (
	"bytes"
	"io"
	stdnet "net"
	"runtime"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"weldscale/internal/engine"
	"weldscale/internal/jobs"
)

const patience = 20 * time.Second

// rig is a driver on a running loop.
type rig struct {
	t    *testing.T
	loop *engine.Loop
	d    *Driver
	dead chan struct{} // gets one for each connection that ended
}

func newRig(t *testing.T, c Config) *rig {
	c.ConnectTimeout = patience
	g := &rig{t: t, loop: engine.NewLoop(), dead: make(chan struct{}, 1000)}
	g.d = New(g.loop, c)
	g.d.Counted = func(int, int, int) {}
	g.d.ShedIdle = func(int, bool) int { return 0 }
	end := make(chan struct{})
	go func() { g.loop.Run(); close(end) }()
	t.Cleanup(func() { g.loop.Post(g.loop.Stop); <-end })
	return g
}

func (g *rig) Data([]byte) {}
func (g *rig) Closed()     { g.dead <- struct{}{} }

// do runs f on the loop and waits for it.
func (g *rig) do(f func()) {
	done := make(chan struct{})
	g.loop.Post(func() { f(); close(done) })
	<-done
}

func (g *rig) get(addr string) jobs.Conn {
	got := make(chan jobs.Conn, 1)
	g.do(func() { g.d.Get(addr, false, func(c jobs.Conn) { got <- c }) })
	return <-got
}

// peer listens and hands over what it accepts.
func peer(t *testing.T) (string, chan stdnet.Conn) {
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	conns := make(chan stdnet.Conn, 1000)
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			conns <- c
		}
	}()
	return ln.Addr().String(), conns
}

// ended waits for the other side to close or reset.
func ended(t *testing.T, c stdnet.Conn) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(patience)))
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	nerr, ok := err.(stdnet.Error)
	assert.False(t, ok && nerr.Timeout(), "it stayed open")
}

func TestPool(t *testing.T) {
	addr, conns := peer(t)
	g := newRig(t, Config{Descriptors: 1024, IdleLimit: 100 * time.Millisecond})
	first := g.get(addr)
	theirs := <-conns
	g.do(func() {
		g.d.Put(addr, first)
		g.d.Get(addr, false, func(c jobs.Conn) { assert.Same(t, first, c, "an idle one is used again") })
		g.d.Put(addr, first)
	})
	other := make(chan jobs.Conn, 1)
	g.do(func() { g.d.Get(addr, true, func(c jobs.Conn) { other <- c }) })
	assert.NotSame(t, first, <-other, "a fresh one is dialled")
	<-conns
	ended(t, theirs) // before the worker would, or a request could be lost on it

	// One that the worker closes while it is idle is not handed out.
	g = newRig(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	first = g.get(addr)
	theirs = <-conns
	g.do(func() { g.d.Put(addr, first) })
	theirs.Close()
	require.Eventually(t, func() bool { return g.d.open.Load() == 0 }, patience, time.Millisecond)
	assert.NotSame(t, first, g.get(addr))
}

// The loop is late: a connection has rested for longer than the worker keeps it, and its timer has not had its turn. It is not
// used, though nothing of its end has come.
func TestRestIsOverAsItIsUsed(t *testing.T) {
	addr, conns := peer(t)
	const limit = 50 * time.Millisecond
	g := newRig(t, Config{Descriptors: 1024, IdleLimit: limit})
	rests := g.get(addr)
	theirs := <-conns
	got := make(chan jobs.Conn, 1)
	g.do(func() {
		g.d.Put(addr, rests)
		time.Sleep(limit) // the loop is at work
		g.d.Get(addr, false, func(c jobs.Conn) { got <- c })
	})
	assert.NotSame(t, rests, <-got)
	ended(t, theirs)
}

// heldListener holds netpoll as it enters a connection that it has accepted.
type heldListener struct {
	netpoll.Listener
	at, let chan struct{}
}

type heldConn struct {
	netpoll.Conn
	l     heldListener
	asked int
}

func (l heldListener) Accept() (stdnet.Conn, error) {
	c, err := l.Listener.Accept()
	if c == nil || err != nil {
		return nil, err
	}
	return &heldConn{Conn: c.(netpoll.Conn), l: l}, nil
}

// Fd is asked first as the connection is made, and then as it is entered.
func (c *heldConn) Fd() int {
	if c.asked++; c.asked == 2 {
		close(c.l.at)
		<-c.l.let
	}
	return c.Conn.Fd()
}

// A connection is not the loop's, which may close it, before netpoll has entered it.
func TestAcceptedOnceItIsEntered(t *testing.T) {
	g := newRig(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	accepted := make(chan jobs.Conn, 1)
	g.d.Accepted = func(c jobs.Conn) { c.Close(); accepted <- c }
	ln, err := netpoll.CreateListener("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	held := heldListener{ln, make(chan struct{}), make(chan struct{})}
	require.NoError(t, g.d.serve(held))
	c, err := stdnet.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	<-held.at
	g.do(func() {}) // whatever was posted before has run
	assert.Empty(t, accepted)
	close(held.let)
	<-accepted
	ended(t, c)
	require.Eventually(t, func() bool { return g.d.open.Load() == 0 }, patience, time.Millisecond)
}

// Hosts do not pile up while addresses change, and a connection that was out meanwhile comes back whole.
func TestHostsAreForgotten(t *testing.T) {
	addr, _ := peer(t)
	g := newRig(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	c := g.get(addr)
	g.do(func() {
		for i := range 3 * maxHosts {
			g.d.host(string(rune(i)))
		}
		assert.LessOrEqual(t, len(g.d.hosts), maxHosts)
		g.d.Put(addr, c)
		assert.Len(t, g.d.host(addr).idle, 1)
		g.d.Get(addr, false, func(again jobs.Conn) { assert.Same(t, c, again) })
		assert.Empty(t, g.d.host(addr).idle)
		assert.Empty(t, g.d.idle)
	})
}

func TestDialThatFails(t *testing.T) {
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close() // nobody listens there now
	g := newRig(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	assert.Nil(t, g.get(ln.Addr().String()))
	assert.Zero(t, g.d.open.Load())
	g = newRig(t, Config{Descriptors: reserved, IdleLimit: time.Hour})
	assert.Nil(t, g.get(ln.Addr().String()), "no descriptor is left")
}

// A broken connection says so, and a write on it that nothing of it has left.
func TestWriteAfterTheEnd(t *testing.T) {
	addr, conns := peer(t)
	g := newRig(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	c := g.get(addr)
	g.do(func() { c.SetHandler(g) })
	wrote := make(chan jobs.WriteResult, 1)
	g.do(func() { c.Write([]byte("x"), func(e jobs.WriteResult) { wrote <- e }) })
	assert.Equal(t, jobs.Written, <-wrote)
	(<-conns).Close()
	<-g.dead
	g.do(func() { c.Write([]byte("y"), func(e jobs.WriteResult) { wrote <- e }) })
	assert.Equal(t, jobs.WriteIncomplete, <-wrote)
}

// takes counts what a client sends.
type takes struct {
	*rig
	n int
}

func (k *takes) Data(b []byte) { k.n += len(b) }

// While the loop is busy, bytes stay with the client that sends them: large bodies once piled up here.
func TestBytesWaitWithTheClient(t *testing.T) {
	g := newRig(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	k := &takes{rig: g}
	accepted := make(chan jobs.Conn, 1)
	g.d.Accepted = func(c jobs.Conn) { c.SetHandler(k); accepted <- c }
	g.do(func() { require.NoError(t, g.d.Listen("127.0.0.1:0")) })
	c, err := stdnet.Dial("tcp", g.d.Addr())
	require.NoError(t, err)
	defer c.Close()
	conn := <-accepted
	release := make(chan struct{})
	go g.loop.Post(func() { <-release })
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
	const body = 64 << 20
	sent, err := c.Write(make([]byte, body))
	assert.Error(t, err, "all of it found room here")
	assert.Less(t, sent, body/4)
	close(release)
	require.Eventually(t, func() (all bool) { g.do(func() { all = k.n == sent }); return }, patience, time.Millisecond)

	// After the last answer it is not even looked at, and there is an end to that.
	g.do(func() { conn.Write([]byte("bye"), nil); conn.CloseAfterWrite() })
	require.NoError(t, c.SetDeadline(time.Now().Add(patience)))
	_, err = c.Write(make([]byte, body))
	assert.Error(t, err)
	require.Eventually(t, func() bool { return g.d.open.Load() == 0 }, patience, time.Millisecond)
	g.do(func() { assert.Equal(t, sent, k.n) })
}

// What we close to a worker has ended for it by the time that the call returns, though a read of it waits for the loop: the
// next attempt may go out in the same turn, and never two may be out at once.
func TestCloseEndsTheSendingAtOnce(t *testing.T) {
	addr, conns := peer(t)
	g := newRig(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	c, theirs := g.get(addr), <-conns
	at, come, closed, let := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	go g.do(func() { close(at); <-come; c.Close(); close(closed); <-let })
	<-at
	_, err := theirs.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return g.loop.QueueLen() > 0 }, patience, time.Millisecond)
	close(come)
	<-closed
	ended(t, theirs)
	close(let)
	require.Eventually(t, func() bool { return g.d.open.Load() == 0 }, patience, time.Millisecond)
}

// A client may leave, or be closed, while its bytes wait for the loop.
func TestEndWhileBytesWait(t *testing.T) {
	for _, ours := range []bool{true, false} {
		g := newRig(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
		accepted := make(chan jobs.Conn, 1)
		g.d.Accepted = func(c jobs.Conn) { c.SetHandler(g); accepted <- c }
		g.do(func() { require.NoError(t, g.d.Listen("127.0.0.1:0")) })
		for range 50 {
			c, err := stdnet.Dial("tcp", g.d.Addr())
			require.NoError(t, err)
			conn := <-accepted
			go c.Write(make([]byte, 1<<20))
			if ours {
				g.do(conn.Close)
				ended(t, c)
			}
			c.Close()
		}
		require.Eventually(t, func() bool { return g.d.open.Load() == 0 }, patience, time.Millisecond)
	}
}

// With few descriptors a connection at rest stays while there is room: the margin is a part of the budget. All that was idle
// once went at each new one.
func TestSmallBudgetKeepsWhatRests(t *testing.T) {
	for _, n := range []int{64, 96, 128, 320, 1024} {
		addr, conns := peer(t)
		g := newRig(t, Config{Descriptors: n, IdleLimit: time.Hour})
		rests := g.get(addr)
		theirs := <-conns
		g.do(func() { g.d.Put(addr, rests) })
		fresh := make(chan jobs.Conn, 1)
		for range 8 {
			g.do(func() { g.d.Get(addr, true, func(c jobs.Conn) { fresh <- c }) })
			require.NotNil(t, <-fresh)
			<-conns
		}
		g.do(func() { g.d.Get(addr, false, func(c jobs.Conn) { assert.Same(t, rests, c, n) }) })
		_ = theirs.Close()
	}
}

// With the budget of descriptors used up, idle connections to workers go first, then those of clients, and
// what is over the hard bound is turned away at once.
func TestBudgetOfDescriptors(t *testing.T) {
	addr, conns := peer(t)
	const room = 4
	g := newRig(t, Config{Descriptors: reserved + 4*margin, IdleLimit: time.Hour}) // a quarter of it is the margin
	g.do(func() { g.d.open.Add(3*margin - room) })                                 // as if as many were in use
	var accepted []jobs.Conn
	g.d.Accepted = func(c jobs.Conn) { c.SetHandler(g); accepted = append(accepted, c) }
	g.d.ShedIdle = func(n int, strangers bool) int {
		if strangers {
			return 0
		}
		n = min(n, max(0, len(accepted)-1)) // several may be open before the first is handed over
		for _, c := range accepted[:n] {
			c.Close()
		}
		accepted = accepted[n:]
		return n
	}
	g.do(func() { require.NoError(t, g.d.Listen("127.0.0.1:0")) })
	idle := g.get(addr)
	worker := <-conns
	g.do(func() { g.d.Put(addr, idle) })
	var clients []stdnet.Conn
	for range room + 1 {
		c, err := stdnet.Dial("tcp", g.d.Addr())
		require.NoError(t, err)
		defer c.Close()
		clients = append(clients, c)
	}
	ended(t, worker)
	c, err := stdnet.Dial("tcp", g.d.Addr())
	require.NoError(t, err)
	defer c.Close()
	ended(t, clients[0])
	g.do(func() { g.d.open.Add(margin + room) }) // as if as many were in use
	over, err := stdnet.Dial("tcp", g.d.Addr())
	require.NoError(t, err)
	ended(t, over)
	g.do(func() { g.d.open.Add(-margin - room) })

	g.do(g.d.StopListening)
	require.Eventually(t, func() bool {
		c, err := stdnet.Dial("tcp", g.d.Addr())
		if err == nil {
			c.Close()
		}
		return err != nil
	}, patience, time.Millisecond)
}

// A client that takes nothing of its answer holds no goroutine and no other's bytes; what it then takes comes whole
// and in order, and what it never takes has surely not left.
func TestSlowReaderHoldsNobodyUp(t *testing.T) {
	const readers, size = 40, 1 << 20
	g := newRig(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	accepted := make(chan jobs.Conn, readers+1)
	g.d.Accepted = func(c jobs.Conn) { c.SetHandler(g); accepted <- c }
	g.do(func() { require.NoError(t, g.d.Listen("127.0.0.1:0")) })
	answer := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	type end struct {
		i   int
		how jobs.WriteResult
	}
	ends := make(chan end, readers+1)
	var clients []stdnet.Conn
	before := 0
	for i := range readers + 1 {
		c, err := stdnet.Dial("tcp", g.d.Addr())
		require.NoError(t, err)
		defer c.Close()
		clients = append(clients, c)
		conn := <-accepted
		if i == 0 {
			g.do(func() { conn.Write(answer[:1], nil) })
		}
		g.do(func() {
			conn.Write(answer, func(how jobs.WriteResult) { ends <- end{i, how} })
			assert.Positive(t, conn.Queued(), "more than the system takes")
			assert.Greater(t, conn.Unacked(), conn.Queued(), "the system holds some")
		})
		if i == 0 {
			before = runtime.NumGoroutine() // the one that watches runs now
		}
	}
	assert.Less(t, runtime.NumGoroutine(), before+readers/2, "goroutines grow with the readers")
	g.do(func() { assert.Equal(t, readers+1, g.d.Unsent()) })

	got, err := io.ReadAll(io.LimitReader(clients[1], size))
	require.NoError(t, err)
	assert.True(t, bytes.Equal(answer, got))
	assert.Equal(t, end{1, jobs.Written}, <-ends)
	clients[2].Close()
	assert.Equal(t, end{2, jobs.WriteIncomplete}, <-ends)
	<-g.dead
	g.do(func() { assert.Equal(t, readers-1, g.d.Unsent()) })
}

// What one account holds open is bounded, and is given back with its connections; others are not touched by it.
func TestAccountOfAService(t *testing.T) {
	addr, conns := peer(t)
	g := newRig(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	d, other := g.d.Dialer(2), g.d.Dialer(0)
	get := func(d jobs.Dialer) jobs.Conn {
		got := make(chan jobs.Conn, 1)
		g.do(func() { d.Get(addr, true, func(c jobs.Conn) { got <- c }) })
		return <-got
	}
	first, second := get(d), get(d)
	require.NotNil(t, first)
	require.NotNil(t, second)
	third, gone := make(chan jobs.Conn, 1), make(chan jobs.Conn, 1)
	g.do(func() {
		giveUp := d.Get(addr, true, func(c jobs.Conn) { gone <- c })
		d.Get(addr, true, func(c jobs.Conn) { third <- c })
		giveUp()
	})
	assert.NotNil(t, get(other), "another's account")
	assert.Equal(t, 2, d.OpenConns())
	assert.Empty(t, third, "it waits")
	g.do(first.Close)
	assert.NotNil(t, <-third)
	g.do(func() { d.Put(addr, second) })
	assert.NotNil(t, get(d), "the idle one makes room")
	assert.Empty(t, gone)
	for range 5 {
		(<-conns).Close()
	}
	require.Eventually(t, func() bool { return d.OpenConns() == 0 }, patience, time.Millisecond)
}

// A passed socket may block, as another process has set it. An accept for a client that another process took must not wait
// for the next one: the poller reads nothing meanwhile.
func TestAcceptOnAPassedSocketNeverWaits(t *testing.T) {
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	file, err := ln.(*stdnet.TCPListener).File()
	require.NoError(t, err)
	defer file.Close()
	ln.Close()
	fd := int(file.Fd()) // which makes it block
	d := New(engine.NewLoop(), Config{Descriptors: 256})
	require.NoError(t, d.ListenOn(fd))
	for range 2 {
		require.NoError(t, unix.SetNonblock(fd, false))
		returned := make(chan struct{})
		go func() {
			c, err := d.shared.Accept()
			assert.NoError(t, err)
			assert.Nil(t, c)
			close(returned)
		}()
		select {
		case <-returned:
		case <-time.After(patience):
			t.Fatal("it waits")
		}
	}
	assert.True(t, d.LeaveSharedListener())
	_, err = d.shared.Accept()
	assert.ErrorIs(t, err, errLeft, "it takes nothing more, and leaves the queue to others")
	assert.ErrorContains(t, d.ListenOn(0), "no listening socket")
}

// A connection that was put back within the turn in which its answer came is used again in the same turn: that the goroutine
// which read the answer has not come to its end yet says nothing against it. Many were once closed for that.
func TestPutBackIsUsedAtOnce(t *testing.T) {
	addr, conns := peer(t)
	g := newRig(t, Config{Descriptors: 1024, ConnectTimeout: patience, IdleLimit: time.Hour})
	c := g.get(addr)
	worker := <-conns
	again := make(chan jobs.Conn, 1)
	g.do(func() {
		c.SetHandler(answered(func() {
			g.d.Put(addr, c)
			g.d.Get(addr, false, func(c jobs.Conn) { again <- c })
		}))
	})
	_, err := worker.Write([]byte("x"))
	require.NoError(t, err)
	assert.Same(t, c, <-again)
}

type answered func()

func (f answered) Data([]byte) { f() }
func (f answered) Closed()     {}
