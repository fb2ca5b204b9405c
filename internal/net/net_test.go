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

const testTimeout = 20 * time.Second

// testDriver is a driver on a running loop. It also serves as the handler of connections.
type testDriver struct {
	t      *testing.T
	loop   *engine.Loop
	driver *Driver
	ended  chan struct{} // gets one value for each connection that ended
}

func newTestDriver(t *testing.T, c Config) *testDriver {
	c.ConnectTimeout = testTimeout
	fixture := &testDriver{t: t, loop: engine.NewLoop(), ended: make(chan struct{}, 1000)}
	fixture.driver = New(fixture.loop, c)
	fixture.driver.Counted = func(int, int, int) {}
	fixture.driver.ShedIdle = func(int, bool) int { return 0 }
	end := make(chan struct{})
	go func() { fixture.loop.Run(); close(end) }()
	t.Cleanup(func() { fixture.loop.Post(fixture.loop.Stop); <-end })
	return fixture
}

func (g *testDriver) Data([]byte) {}
func (g *testDriver) Closed()     { g.ended <- struct{}{} }

// do runs f on the loop and waits for it.
func (g *testDriver) do(f func()) {
	done := make(chan struct{})
	g.loop.Post(func() { f(); close(done) })
	<-done
}

func (g *testDriver) get(addr string) jobs.Conn {
	got := make(chan jobs.Conn, 1)
	g.do(func() { g.driver.Get(addr, false, func(c jobs.Conn) { got <- c }) })
	return <-got
}

// listen returns the address of a new listener and a channel with the connections that it accepts.
func listen(t *testing.T) (string, chan stdnet.Conn) {
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

// requireEnded waits for the other side to close or reset the connection.
func requireEnded(t *testing.T, c stdnet.Conn) {
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	_, err := c.Read(make([]byte, 1))
	require.Error(t, err)
	nerr, ok := err.(stdnet.Error)
	assert.False(t, ok && nerr.Timeout(), "the connection stayed open")
}

func TestIdleConnectionsAreReused(t *testing.T) {
	addr, conns := listen(t)
	fixture := newTestDriver(t, Config{Descriptors: 1024, IdleLimit: 100 * time.Millisecond})
	first := fixture.get(addr)
	workerSide := <-conns
	fixture.do(func() {
		fixture.driver.Put(addr, first)
		fixture.driver.Get(addr, false, func(c jobs.Conn) { assert.Same(t, first, c, "an idle connection is reused") })
		fixture.driver.Put(addr, first)
	})
	other := make(chan jobs.Conn, 1)
	fixture.do(func() { fixture.driver.Get(addr, true, func(c jobs.Conn) { other <- c }) })
	assert.NotSame(t, first, <-other, "a fresh connection is dialled")
	<-conns
	requireEnded(t, workerSide) // before the worker closes it, or a request could be lost

	// A connection that the worker closes while it is idle is not returned by Get.
	fixture = newTestDriver(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	first = fixture.get(addr)
	workerSide = <-conns
	fixture.do(func() { fixture.driver.Put(addr, first) })
	workerSide.Close()
	require.Eventually(t, func() bool { return fixture.driver.openConns.Load() == 0 }, testTimeout, time.Millisecond)
	assert.NotSame(t, first, fixture.get(addr))
}

// An idle connection has expired, but its timer has not run since the loop is busy. Get must not return it, although no
// end of the connection has been seen.
func TestExpiredIdleConnectionIsNotReused(t *testing.T) {
	addr, conns := listen(t)
	const limit = 50 * time.Millisecond
	fixture := newTestDriver(t, Config{Descriptors: 1024, IdleLimit: limit})
	idle := fixture.get(addr)
	workerSide := <-conns
	got := make(chan jobs.Conn, 1)
	fixture.do(func() {
		fixture.driver.Put(addr, idle)
		time.Sleep(limit) // keeps the loop busy
		fixture.driver.Get(addr, false, func(c jobs.Conn) { got <- c })
	})
	assert.NotSame(t, idle, <-got)
	requireEnded(t, workerSide)
}

// blockingListener blocks netpoll while it registers an accepted connection.
type blockingListener struct {
	netpoll.Listener
	entered, release chan struct{}
}

type blockingConn struct {
	netpoll.Conn
	listener blockingListener
	fdCalls  int
}

func (l blockingListener) Accept() (stdnet.Conn, error) {
	c, err := l.Listener.Accept()
	if c == nil || err != nil {
		return nil, err
	}
	return &blockingConn{Conn: c.(netpoll.Conn), listener: l}, nil
}

// netpoll calls Fd first when it creates the connection, and again when it registers it.
func (c *blockingConn) Fd() int {
	if c.fdCalls++; c.fdCalls == 2 {
		close(c.listener.entered)
		<-c.listener.release
	}
	return c.Conn.Fd()
}

// The loop must not get a connection before netpoll has registered it. If the loop closed it earlier, netpoll would
// register it after its end, under a descriptor that may belong to another connection by then.
func TestAcceptedOnlyAfterRegistration(t *testing.T) {
	fixture := newTestDriver(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	accepted := make(chan jobs.Conn, 1)
	fixture.driver.Accepted = func(c jobs.Conn) { c.Close(); accepted <- c }
	ln, err := netpoll.CreateListener("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	blocking := blockingListener{ln, make(chan struct{}), make(chan struct{})}
	require.NoError(t, fixture.driver.serve(blocking))
	c, err := stdnet.Dial("tcp", ln.Addr().String())
	require.NoError(t, err)
	defer c.Close()
	<-blocking.entered
	fixture.do(func() {}) // everything posted before has run
	assert.Empty(t, accepted)
	close(blocking.release)
	<-accepted
	requireEnded(t, c)
	require.Eventually(t, func() bool { return fixture.driver.openConns.Load() == 0 }, testTimeout, time.Millisecond)
}

// Hosts must not accumulate while addresses change. A connection whose host was removed while it was in use returns to
// the idle pool.
func TestUnusedHostsAreRemoved(t *testing.T) {
	addr, _ := listen(t)
	fixture := newTestDriver(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	c := fixture.get(addr)
	fixture.do(func() {
		for i := range 3 * maxHosts {
			fixture.driver.host(string(rune(i)))
		}
		assert.LessOrEqual(t, len(fixture.driver.hosts), maxHosts)
		fixture.driver.Put(addr, c)
		assert.Len(t, fixture.driver.host(addr).idle, 1)
		fixture.driver.Get(addr, false, func(again jobs.Conn) { assert.Same(t, c, again) })
		assert.Empty(t, fixture.driver.host(addr).idle)
		assert.Empty(t, fixture.driver.idle)
	})
}

func TestFailedDial(t *testing.T) {
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	ln.Close() // the address refuses connections now
	fixture := newTestDriver(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	assert.Nil(t, fixture.get(ln.Addr().String()))
	assert.Zero(t, fixture.driver.openConns.Load())
	fixture = newTestDriver(t, Config{Descriptors: reservedDescriptors, IdleLimit: time.Hour})
	assert.Nil(t, fixture.get(ln.Addr().String()), "no descriptor is left")
}

// The handler is notified of a broken connection, and a later write on it reports that it was not sent.
func TestWriteAfterPeerClosed(t *testing.T) {
	addr, conns := listen(t)
	fixture := newTestDriver(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	c := fixture.get(addr)
	fixture.do(func() { c.SetHandler(fixture) })
	wrote := make(chan jobs.WriteResult, 1)
	fixture.do(func() { c.Write([]byte("x"), func(e jobs.WriteResult) { wrote <- e }) })
	assert.Equal(t, jobs.Written, <-wrote)
	(<-conns).Close()
	<-fixture.ended
	fixture.do(func() { c.Write([]byte("y"), func(e jobs.WriteResult) { wrote <- e }) })
	assert.Equal(t, jobs.WriteIncomplete, <-wrote)
}

// byteCounter counts the bytes that a client sends.
type byteCounter struct {
	*testDriver
	count int
}

func (k *byteCounter) Data(b []byte) { k.count += len(b) }

// While the loop is busy, the driver must stop reading, so that the client's writes block. Large bodies once
// accumulated in memory.
func TestBusyLoopStopsReading(t *testing.T) {
	fixture := newTestDriver(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	counter := &byteCounter{testDriver: fixture}
	accepted := make(chan jobs.Conn, 1)
	fixture.driver.Accepted = func(c jobs.Conn) { c.SetHandler(counter); accepted <- c }
	fixture.do(func() { require.NoError(t, fixture.driver.Listen("127.0.0.1:0")) })
	c, err := stdnet.Dial("tcp", fixture.driver.Addr())
	require.NoError(t, err)
	defer c.Close()
	conn := <-accepted
	release := make(chan struct{})
	go fixture.loop.Post(func() { <-release })
	require.NoError(t, c.SetWriteDeadline(time.Now().Add(time.Second)))
	const body = 64 << 20
	sent, err := c.Write(make([]byte, body))
	assert.Error(t, err, "the whole body was read or buffered")
	assert.Less(t, sent, body/4)
	close(release)
	require.Eventually(t, func() (all bool) { fixture.do(func() { all = counter.count == sent }); return }, testTimeout, time.Millisecond)

	// After the last answer input is discarded, and beyond maxDiscarded the connection is closed.
	fixture.do(func() { conn.Write([]byte("bye"), nil); conn.CloseAfterWrite() })
	require.NoError(t, c.SetDeadline(time.Now().Add(testTimeout)))
	_, err = c.Write(make([]byte, body))
	assert.Error(t, err)
	require.Eventually(t, func() bool { return fixture.driver.openConns.Load() == 0 }, testTimeout, time.Millisecond)
	fixture.do(func() { assert.Equal(t, sent, counter.count) })
}

// Close must end a worker connection for the worker before it returns, although a read of it waits for the loop. The
// next attempt may be sent in the same event, and two attempts must never be running at once.
func TestCloseShutsDownWorkerConnectionAtOnce(t *testing.T) {
	addr, conns := listen(t)
	fixture := newTestDriver(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	c, workerSide := fixture.get(addr), <-conns
	entered, dataQueued, closed, release := make(chan struct{}), make(chan struct{}), make(chan struct{}), make(chan struct{})
	go fixture.do(func() { close(entered); <-dataQueued; c.Close(); close(closed); <-release })
	<-entered
	_, err := workerSide.Write([]byte("x"))
	require.NoError(t, err)
	require.Eventually(t, func() bool { return fixture.loop.QueueLen() > 0 }, testTimeout, time.Millisecond)
	close(dataQueued)
	<-closed
	requireEnded(t, workerSide)
	close(release)
	require.Eventually(t, func() bool { return fixture.driver.openConns.Load() == 0 }, testTimeout, time.Millisecond)
}

// A connection may be closed by either side while its data waits for the loop. Its descriptor must be released.
func TestCloseWithPendingInput(t *testing.T) {
	for _, closeHere := range []bool{true, false} {
		fixture := newTestDriver(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
		accepted := make(chan jobs.Conn, 1)
		fixture.driver.Accepted = func(c jobs.Conn) { c.SetHandler(fixture); accepted <- c }
		fixture.do(func() { require.NoError(t, fixture.driver.Listen("127.0.0.1:0")) })
		for range 50 {
			c, err := stdnet.Dial("tcp", fixture.driver.Addr())
			require.NoError(t, err)
			conn := <-accepted
			go c.Write(make([]byte, 1<<20))
			if closeHere {
				fixture.do(conn.Close)
				requireEnded(t, c)
			}
			c.Close()
		}
		require.Eventually(t, func() bool { return fixture.driver.openConns.Load() == 0 }, testTimeout, time.Millisecond)
	}
}

// With a small budget an idle connection must stay open while there is room: the margin is a fraction of the budget.
// With a fixed margin every new connection once shed all idle ones.
func TestSmallBudgetKeepsIdleConnections(t *testing.T) {
	for _, n := range []int{64, 96, 128, 320, 1024} {
		addr, conns := listen(t)
		fixture := newTestDriver(t, Config{Descriptors: n, IdleLimit: time.Hour})
		idle := fixture.get(addr)
		workerSide := <-conns
		fixture.do(func() { fixture.driver.Put(addr, idle) })
		dialled := make(chan jobs.Conn, 1)
		for range 8 {
			fixture.do(func() { fixture.driver.Get(addr, true, func(c jobs.Conn) { dialled <- c }) })
			require.NotNil(t, <-dialled)
			<-conns
		}
		fixture.do(func() { fixture.driver.Get(addr, false, func(c jobs.Conn) { assert.Same(t, idle, c, n) }) })
		_ = workerSide.Close()
	}
}

// When descriptors run short and no unproven client is idle, idle connections to workers are shed first, then those of
// proven clients. A client connection above the hard limit is closed at once.
func TestDescriptorBudget(t *testing.T) {
	addr, conns := listen(t)
	const room = 4
	fixture := newTestDriver(t, Config{Descriptors: reservedDescriptors + 4*shedMargin, IdleLimit: time.Hour}) // the margin is a quarter of the budget
	fixture.do(func() { fixture.driver.openConns.Add(3*shedMargin - room) })                                   // as if as many were in use
	var accepted []jobs.Conn
	fixture.driver.Accepted = func(c jobs.Conn) { c.SetHandler(fixture); accepted = append(accepted, c) }
	fixture.driver.ShedIdle = func(n int, unproven bool) int {
		if unproven {
			return 0
		}
		n = min(n, max(0, len(accepted)-1)) // several may be open before Accepted gets the first
		for _, c := range accepted[:n] {
			c.Close()
		}
		accepted = accepted[n:]
		return n
	}
	fixture.do(func() { require.NoError(t, fixture.driver.Listen("127.0.0.1:0")) })
	idle := fixture.get(addr)
	workerSide := <-conns
	fixture.do(func() { fixture.driver.Put(addr, idle) })
	var clients []stdnet.Conn
	for range room + 1 {
		c, err := stdnet.Dial("tcp", fixture.driver.Addr())
		require.NoError(t, err)
		defer c.Close()
		clients = append(clients, c)
	}
	requireEnded(t, workerSide)
	c, err := stdnet.Dial("tcp", fixture.driver.Addr())
	require.NoError(t, err)
	defer c.Close()
	requireEnded(t, clients[0])
	fixture.do(func() { fixture.driver.openConns.Add(shedMargin + room) }) // as if as many were in use
	over, err := stdnet.Dial("tcp", fixture.driver.Addr())
	require.NoError(t, err)
	requireEnded(t, over)
	fixture.do(func() { fixture.driver.openConns.Add(-shedMargin - room) })

	fixture.do(fixture.driver.StopListening)
	require.Eventually(t, func() bool {
		c, err := stdnet.Dial("tcp", fixture.driver.Addr())
		if err == nil {
			c.Close()
		}
		return err != nil
	}, testTimeout, time.Millisecond)
}

// A client that does not read its answer must not occupy a goroutine or delay the answers of others. When it reads
// later, the answer arrives complete and in order. If the connection ends first, the write is reported as incomplete.
func TestSlowReadersDoNotBlockOthers(t *testing.T) {
	const readers, size = 40, 1 << 20
	fixture := newTestDriver(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	accepted := make(chan jobs.Conn, readers+1)
	fixture.driver.Accepted = func(c jobs.Conn) { c.SetHandler(fixture); accepted <- c }
	fixture.do(func() { require.NoError(t, fixture.driver.Listen("127.0.0.1:0")) })
	answer := bytes.Repeat([]byte("0123456789abcdef"), size/16)
	type end struct {
		client int
		result jobs.WriteResult
	}
	ends := make(chan end, readers+1)
	var clients []stdnet.Conn
	before := 0
	for i := range readers + 1 {
		c, err := stdnet.Dial("tcp", fixture.driver.Addr())
		require.NoError(t, err)
		defer c.Close()
		clients = append(clients, c)
		conn := <-accepted
		if i == 0 {
			fixture.do(func() { conn.Write(answer[:1], nil) })
		}
		fixture.do(func() {
			conn.Write(answer, func(result jobs.WriteResult) { ends <- end{i, result} })
			assert.Positive(t, conn.Queued(), "the answer exceeds the system's buffer")
			assert.Greater(t, conn.Unacked(), conn.Queued(), "the system holds a part")
		})
		if i == 0 {
			before = runtime.NumGoroutine() // includes the goroutine of the writeWatcher
		}
	}
	assert.Less(t, runtime.NumGoroutine(), before+readers/2, "the number of goroutines grows with the readers")
	fixture.do(func() { assert.Equal(t, readers+1, fixture.driver.Unsent()) })

	got, err := io.ReadAll(io.LimitReader(clients[1], size))
	require.NoError(t, err)
	assert.True(t, bytes.Equal(answer, got))
	assert.Equal(t, end{1, jobs.Written}, <-ends)
	clients[2].Close()
	assert.Equal(t, end{2, jobs.WriteIncomplete}, <-ends)
	<-fixture.ended
	fixture.do(func() { assert.Equal(t, readers-1, fixture.driver.Unsent()) })
}

// A quota limits the connections of one service and is released as they end. Other services are not affected.
func TestServiceQuota(t *testing.T) {
	addr, conns := listen(t)
	fixture := newTestDriver(t, Config{Descriptors: 1024, IdleLimit: time.Hour})
	dialer, other := fixture.driver.Dialer(2), fixture.driver.Dialer(0)
	get := func(d jobs.Dialer) jobs.Conn {
		got := make(chan jobs.Conn, 1)
		fixture.do(func() { d.Get(addr, true, func(c jobs.Conn) { got <- c }) })
		return <-got
	}
	first, second := get(dialer), get(dialer)
	require.NotNil(t, first)
	require.NotNil(t, second)
	third, cancelled := make(chan jobs.Conn, 1), make(chan jobs.Conn, 1)
	fixture.do(func() {
		giveUp := dialer.Get(addr, true, func(c jobs.Conn) { cancelled <- c })
		dialer.Get(addr, true, func(c jobs.Conn) { third <- c })
		giveUp()
	})
	assert.NotNil(t, get(other), "another service has a quota of its own")
	assert.Equal(t, 2, dialer.OpenConns())
	assert.Empty(t, third, "the third dial waits")
	fixture.do(first.Close)
	assert.NotNil(t, <-third)
	fixture.do(func() { dialer.Put(addr, second) })
	assert.NotNil(t, get(dialer), "an idle connection is closed to make room")
	assert.Empty(t, cancelled)
	for range 5 {
		(<-conns).Close()
	}
	require.Eventually(t, func() bool { return dialer.OpenConns() == 0 }, testTimeout, time.Millisecond)
}

// Another process may have set an inherited listening socket to blocking. Accept for a client that another process has
// taken must not wait for the next one, since the poller reads nothing meanwhile.
func TestAcceptOnInheritedSocketNeverBlocks(t *testing.T) {
	ln, err := stdnet.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	file, err := ln.(*stdnet.TCPListener).File()
	require.NoError(t, err)
	defer file.Close()
	ln.Close()
	fd := int(file.Fd()) // File.Fd sets the socket to blocking
	driver := New(engine.NewLoop(), Config{Descriptors: 256})
	require.NoError(t, driver.ListenOn(fd))
	for range 2 {
		require.NoError(t, unix.SetNonblock(fd, false))
		returned := make(chan struct{})
		go func() {
			c, err := driver.shared.Accept()
			assert.NoError(t, err)
			assert.Nil(t, c)
			close(returned)
		}()
		select {
		case <-returned:
		case <-time.After(testTimeout):
			t.Fatal("Accept blocks")
		}
	}
	assert.True(t, driver.LeaveSharedListener())
	_, err = driver.shared.Accept()
	assert.ErrorIs(t, err, errStoppedAccepting, "the rest of the queue is left to other processes")
	assert.ErrorContains(t, driver.ListenOn(0), "no listening socket")
}

// A connection that is put back while its answer is being processed must be reusable at once, although the goroutine
// that read the answer has not returned yet. Many connections were once closed for that reason.
func TestReturnedConnectionIsReusedAtOnce(t *testing.T) {
	addr, conns := listen(t)
	fixture := newTestDriver(t, Config{Descriptors: 1024, ConnectTimeout: testTimeout, IdleLimit: time.Hour})
	c := fixture.get(addr)
	workerSide := <-conns
	again := make(chan jobs.Conn, 1)
	fixture.do(func() {
		c.SetHandler(onData(func() {
			fixture.driver.Put(addr, c)
			fixture.driver.Get(addr, false, func(c jobs.Conn) { again <- c })
		}))
	})
	_, err := workerSide.Write([]byte("x"))
	require.NoError(t, err)
	assert.Same(t, c, <-again)
}

type onData func()

func (f onData) Data([]byte) { f() }
func (f onData) Closed()     {}
