package main

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cloudwego/netpoll"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"weldscale/decide"
	"weldscale/internal/standin"
)

// openRequests returns the number of requests in flight.
func (ts *testScheduler) openRequests() (n int) {
	ts.onLoop(func() { n = ts.scheduler.openRequests() })
	return n
}

// A client disconnects while its request waits for room on a worker: the request is dropped and never sent.
func TestClientLeavesWaitingForRoom(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, disconnect func(*standin.ClientConn), change func(*config)) {
		w := startWorker(t, standin.WorkerConfig{Name: "a", Slots: 1, TellsStart: true})
		ts := startSchedulerWith(t, []standin.Entry{w.Entry("DRAINING")}, change)
		c := ts.connect()
		require.NoError(t, c.Send(standin.RequestText("gone", "view", 8*time.Second, "x")))
		ts.awaitAccepted(1)
		disconnect(c)
		ts.awaitIdle()
		ts.discovery.Set(w.Entry("SERVING"))
		status, _ := ts.ask("next", "view", testTimeout)
		assert.Equal(t, 200, status)
		assert.Equal(t, []string{"next"}, w.IDs())
	})
}

// A client disconnects while its worker is probed for its load: the request is dropped and never sent.
func TestClientLeavesDuringTheProbe(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, disconnect func(*standin.ClientConn), change func(*config)) {
		syncPoints := &standin.SyncPoints{}
		syncPoints.Hold("probe")
		w := startWorker(t, standin.WorkerConfig{Name: "a", Stops: syncPoints})
		ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, change)
		c := ts.connect()
		require.NoError(t, c.Send(standin.RequestText("gone", "view", 8*time.Second, "x")))
		awaitReached(t, syncPoints, "probe")
		disconnect(c)
		ts.awaitIdle()
		syncPoints.Release("probe")
		status, _ := ts.ask("next", "view", testTimeout)
		assert.Equal(t, 200, status)
		assert.Equal(t, []string{"next"}, w.IDs())
	})
}

// A client disconnects while a connection to its worker is being opened. The slot that its job reserved must be free at once,
// not when the dial ends.
func TestClientLeavesDuringTheDial(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, disconnect func(*standin.ClientConn), change func(*config)) {
		syncPoints := &standin.SyncPoints{}
		w := startWorker(t, standin.WorkerConfig{Name: "a"})
		ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, change, withoutProbes)
		syncPoints.Hold("dial")
		ts.holdDials(syncPoints, nil)
		c := ts.connect()
		require.NoError(t, c.Send(standin.RequestText("gone", "send", 8*time.Second, "x")))
		awaitReached(t, syncPoints, "dial")
		disconnect(c)
		ts.awaitIdle()
		ts.onLoop(func() {
			assert.Equal(t, 1, ts.scheduler.engine.Counts.Outcomes[decide.NotSent]+ts.scheduler.engine.Counts.Outcomes[decide.Cancelled], "the attempt has ended while the dial goes on")
		})
		syncPoints.Release("dial")
		status, _ := ts.ask("next", "view", testTimeout)
		assert.Equal(t, 200, status)
		assert.Equal(t, []string{"next"}, w.IDs())
	})
}

// withoutProbes disables probes, so that a request is sent in the same loop iteration in which it arrives.
func withoutProbes(c *config) { c.engine.Settings.CanProbe = false }

// A client disconnects while part of its request is buffered here, since the socket's send buffer is full: the rest of the
// request is never sent.
func TestClientLeavesDuringTheWrite(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, disconnect func(*standin.ClientConn), change func(*config)) {
		syncPoints := &standin.SyncPoints{}
		syncPoints.Hold("accepted") // the worker reads nothing
		w := startWorker(t, standin.WorkerConfig{Name: "a", Stops: syncPoints, Receive: 4 << 10})
		ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, change, withoutProbes)
		ts.holdDials(syncPoints, func(c netpoll.Connection) {
			_ = unix.SetsockoptInt(c.(netpoll.Conn).Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, 4<<10)
		})
		c := ts.connect()
		require.NoError(t, c.Send(standin.RequestText("gone", "view", 8*time.Second, strings.Repeat("x", 60<<10))))
		awaitReached(t, syncPoints, "accepted")
		ts.awaitAccepted(1)
		require.Eventually(t, func() (ok bool) { ts.onLoop(func() { ok = ts.scheduler.driver.Unsent() > 0 }); return ok }, testTimeout, time.Millisecond)
		disconnect(c)
		ts.awaitIdle()
		ts.onLoop(func() { assert.Zero(t, ts.scheduler.driver.Unsent(), "no part of the request stays buffered") })
		syncPoints.Release("accepted")
		status, _ := ts.ask("next", "view", testTimeout)
		assert.Equal(t, 200, status)
		assert.Equal(t, []string{"next"}, w.IDs())
	})
}

// A client disconnects before its request was read: the loop is busy, and finds the request and the end of the connection
// together.
func TestClientLeavesBeforeItIsRead(t *testing.T) {
	forEachDisconnect(t, func(t *testing.T, disconnect func(*standin.ClientConn), change func(*config)) {
		w := startWorker(t, standin.WorkerConfig{Name: "a"})
		ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, change, withoutProbes)
		status, _ := ts.ask("first", "view", testTimeout) // leaves an idle connection, so that the next request needs no dial
		assert.Equal(t, 200, status)
		c := ts.connect()
		ts.onLoop(func() {})
		release := ts.holdLoop()
		require.NoError(t, c.Send(standin.RequestText("gone", "view", 8*time.Second, "x")))
		require.Eventually(t, func() bool { return ts.scheduler.loop.QueueLen() > 0 }, testTimeout, time.Millisecond)
		disconnect(c) // over loopback the close has arrived when the call returns
		release()
		ts.awaitAccepted(2)
		ts.awaitIdle()
		status, _ = ts.ask("next", "view", testTimeout)
		assert.Equal(t, 200, status)
		assert.Equal(t, []string{"first", "next"}, w.IDs())
	})
}

// A client disconnects while its request is the only one that its service's pool admits. A request that comes meanwhile is
// refused at once and not queued. The place in the pool, and the counts of the request id and of the service, must each be
// released exactly once.
func TestClientLeavesAFullPool(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			syncPoints := &standin.SyncPoints{}
			syncPoints.Hold("probe")
			w := startWorker(t, standin.WorkerConfig{Name: "w", Stops: syncPoints})
			ts := startSchedulerWith(t, nil, func(c *config) { c.file = operatorFile(t, serviceBlock("shop", "  limits { open = 1 }\n", w)) })
			job := func(id string) string {
				return strings.Replace(standin.RequestText(id, "view", 8*time.Second, "x"), "app.svc", "shop.example.org", 1)
			}
			shopCounts := func() (inPool, inEngine, admitted int) {
				ts.onLoop(func() {
					shop := ts.scheduler.services["shop"]
					inPool, inEngine, admitted = shop.jobs.Pool.InFlight(), shop.engine.OpenRequests(), shop.jobs.Pool.Counts.Admitted
				})
				return
			}
			gone, other := ts.connect(), ts.connect()
			require.NoError(t, gone.Send(job("gone")))
			awaitReached(t, syncPoints, "probe")
			require.NoError(t, other.Send(job("early")))
			status, body, err := other.ReadAnswer(testTimeout)
			require.NoError(t, err)
			assert.Equal(t, "503 too many in hand\n", fmt.Sprint(status, " ", body))
			disconnect(gone)
			require.Eventually(t, func() bool {
				inPool, inEngine, admitted := shopCounts()
				return inPool == 0 && inEngine == 0 && admitted == 1
			}, testTimeout, time.Millisecond)
			syncPoints.Release("probe")
			for _, id := range []string{"next", "last"} { // the place is free for each of them in turn
				require.NoError(t, other.Send(job(id)))
				status, _, err = other.ReadAnswer(testTimeout)
				require.NoError(t, err)
				assert.Equal(t, 200, status)
			}
			assert.Equal(t, []string{"next", "last"}, w.IDs())
			inPool, inEngine, admitted := shopCounts()
			assert.Equal(t, []int{0, 0, 3}, []int{inPool, inEngine, admitted})
		})
	}
}

// 200 clients disconnect at the same moment: none of their requests is sent, and each reservation is released exactly once.
func TestBurstOfClientsLeaves(t *testing.T) {
	syncPoints := &standin.SyncPoints{}
	syncPoints.Hold("probe")
	w := startWorker(t, standin.WorkerConfig{Name: "a", Slots: 400, Stops: syncPoints})
	ts := startScheduler(t, w.Entry("SERVING"))
	const n = 200
	clients := make([]*standin.ClientConn, n)
	for i := range clients {
		clients[i] = ts.connect()
		require.NoError(t, clients[i].Send(standin.RequestText(fmt.Sprint("gone", i), "view", 8*time.Second, "x")))
	}
	ts.awaitAccepted(n)
	release := ts.holdLoop()
	for i, c := range clients {
		[]func(*standin.ClientConn){(*standin.ClientConn).Close, (*standin.ClientConn).Reset, (*standin.ClientConn).HalfClose}[i%3](c)
	}
	release()
	ts.awaitIdle()
	ts.onLoop(func() {
		assert.Equal(t, n, ts.scheduler.engine.Counts.Hangups)
		assert.Zero(t, ts.scheduler.engine.Counts.Pushes)
	})
	syncPoints.Release("probe")
	status, _ := ts.ask("next", "view", testTimeout)
	assert.Equal(t, 200, status)
	for _, id := range w.IDs() { // on a slow machine it may be sent a second time
		assert.Equal(t, "next", id)
	}
}

// The last line of the worker's answer and the client's disconnect are handled in one loop iteration, in either order. The
// request gets one outcome, and the worker's connection becomes idle or is closed, never left in an unknown state.
func TestAnswerRacesDisconnect(t *testing.T) {
	for _, answerFirst := range []bool{true, false} {
		t.Run(fmt.Sprint("answer first ", answerFirst), func(t *testing.T) {
			t.Parallel()
			finish := make(chan struct{})
			var written atomic.Bool
			w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
				standin.WriteStarted(r, c)
				if r.Header.Get("X-Call-Id") == "both" {
					<-finish
				}
				standin.WriteDone(r, c)
				written.Store(true)
			}})
			ts := startScheduler(t, w.Entry("SERVING"))
			c := ts.connect()
			require.NoError(t, c.Send(standin.RequestText("both", "view", 8*time.Second, "x")))
			require.Eventually(t, func() bool { return len(w.IDs()) == 1 }, testTimeout, time.Millisecond)
			ts.onLoop(func() {})
			release := ts.holdLoop()
			awaitQueued := func(n int) {
				require.Eventually(t, func() bool { return ts.scheduler.loop.QueueLen() >= n }, testTimeout, time.Millisecond)
			}
			if answerFirst {
				close(finish)
				awaitQueued(1)
				c.Close()
			} else {
				c.Close()
				awaitQueued(1)
				close(finish)
				require.Eventually(t, written.Load, testTimeout, time.Millisecond)
			}
			release()
			ts.awaitIdle()
			status, _ := ts.ask("next", "view", testTimeout)
			assert.Equal(t, 200, status)
			assert.Equal(t, []string{"both", "next"}, w.IDs())
			ts.onLoop(func() {
				counts := ts.scheduler.engine.Counts
				assert.Equal(t, counts.Accepted, counts.Served+counts.Hangups+counts.Refused+counts.Failed)
				assert.Zero(t, counts.Refused+counts.Failed)
			})
		})
	}
}

// An attempt fails at each stage, for each effect of the class. The workers must see no more starts than rule 2 allows: a job
// that may have run is sent again only if its class allows that.
func TestNeverTwoStarts(t *testing.T) {
	// Each failure, and whether the job may have run then.
	failures := map[string]struct {
		answer     func(r *http.Request, c net.Conn)
		mayHaveRun bool
	}{
		"close after the last byte": {func(r *http.Request, c net.Conn) { c.Close() }, true},
		"reset after the last byte": {func(r *http.Request, c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() }, true},
		"in mid-answer":             {func(r *http.Request, c net.Conn) { standin.WriteStarted(r, c); c.Close() }, true},
		"failed": {func(r *http.Request, c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
		}, true},
		"rejected by worker": {func(r *http.Request, c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		}, false},
	}
	for effect, setEffect := range effects {
		for name, failure := range failures {
			t.Run(effect+", "+name, func(t *testing.T) {
				t.Parallel()
				var hasFailed atomic.Bool
				var failedWorker atomic.Value // the name of the worker that failed the attempt
				answer := func(worker string) func(r *http.Request, c net.Conn) {
					return func(r *http.Request, c net.Conn) {
						if hasFailed.CompareAndSwap(false, true) {
							failedWorker.Store(worker)
							failure.answer(r, c)
							return
						}
						standin.WriteAnswer(r, c)
					}
				}
				workerA := startWorker(t, standin.WorkerConfig{Name: "a", Answer: answer("a")})
				workerZ := startWorker(t, standin.WorkerConfig{Name: "z", Zone: "there", Answer: answer("z")})
				entryA, entryZ := workerA.Entry("SERVING"), workerZ.Entry("SERVING")
				entryZ.Group = 1 // another cell
				ts := startSchedulerWith(t, []standin.Entry{entryA, entryZ}, twoZones, func(c *config) { setEffect(&c.engine.Settings.Classes[0]) })
				c := ts.connect()
				require.NoError(t, c.Send(standin.RequestText("job", "view", 6*time.Second, "x", "Idempotency-Key: k")))
				status, _, err := c.ReadAnswer(testTimeout)
				require.NoError(t, err)
				starts := len(workerA.IDs()) + len(workerZ.IDs())
				switch {
				case failure.mayHaveRun && effect == "once":
					assert.Equal(t, 500, status)
					assert.Equal(t, 1, starts)
				case failure.mayHaveRun && (effect == "key, cell" || effect == "key, zone"):
					assert.LessOrEqual(t, min(len(workerA.IDs()), len(workerZ.IDs())), 0, "the worker in the other cell or zone does not know the key")
				default:
					assert.Contains(t, []int{200, 503}, status)
					assert.Equal(t, status == 200, starts == 2)
				}
			})
		}
	}
}

// The first worker never answers a job. A second copy is sent only where the settings and the effect of the class allow
// hedging, and only within the key's scope. Otherwise nothing starts while the first attempt's connection is open.
func TestSecondCopies(t *testing.T) {
	for effect, setEffect := range effects {
		for _, copies := range []bool{false, true} {
			for _, canCancel := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, copies %v, cancel %v", effect, copies, canCancel), func(t *testing.T) {
					t.Parallel()
					var mu sync.Mutex
					var firstConn net.Conn // of the first attempt; firstWorker is the worker that has it
					firstWorker, concurrent, onOtherWorker := "", 0, 0
					answer := func(worker string) func(r *http.Request, c net.Conn) {
						return func(r *http.Request, c net.Conn) {
							mu.Lock()
							first := firstConn == nil
							if first {
								firstConn, firstWorker = c, worker
							} else {
								if connectionOpen(firstConn) {
									concurrent++
								}
								if worker != firstWorker {
									onOtherWorker++
								}
							}
							mu.Unlock()
							if !first {
								standin.WriteAnswer(r, c)
							}
						}
					}
					workerA := startWorker(t, standin.WorkerConfig{Name: "a", Answer: answer("a")})
					workerZ := startWorker(t, standin.WorkerConfig{Name: "z", Zone: "there", Answer: answer("z")})
					entryA, entryZ := workerA.Entry("SERVING"), workerZ.Entry("SERVING")
					entryZ.Group = 1 // another cell
					ts := startSchedulerWith(t, []standin.Entry{entryA, entryZ}, twoZones, func(c *config) {
						setEffect(&c.engine.Settings.Classes[0])
						c.engine.Settings.SecondCopies, c.engine.Settings.CanCancel = copies, canCancel
					})
					c := ts.connect()
					require.NoError(t, c.Send(standin.RequestText("job", "view", 4*time.Second, "x", "Idempotency-Key: k")))
					status, _, err := c.ReadAnswer(testTimeout)
					require.NoError(t, err)
					mu.Lock()
					defer mu.Unlock()
					starts := len(workerA.IDs()) + len(workerZ.IDs())
					if effect == "once" {
						assert.Equal(t, 1, starts)
					}
					if effect == "key, cell" || effect == "key, zone" {
						assert.Zero(t, onOtherWorker, "the worker in the other cell or zone does not know the key")
					}
					if !copies {
						assert.Zero(t, concurrent, "one attempt at a time")
					} else if effect == "read_like" || effect == "key, all" {
						// Without fresh load reports (a slow machine) no copy is sent. Since the first attempt is not answered, only a
						// copy can serve the job.
						assert.Equal(t, status == 200, starts == 2)
					}
				})
			}
		}
	}
}

// connectionOpen reports whether the peer has neither closed nor reset a stand-in's connection.
func connectionOpen(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	poll := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err = raw.Control(func(fd uintptr) { poll[0].Fd = int32(fd); _, err = unix.Poll(poll, 0) })
	return err == nil && poll[0].Revents == 0
}

// A client disconnects while its attempt waits for a file descriptor of its service's quota. The attempt must be removed from
// every count, and the descriptor that becomes free must go to another request.
func TestClientLeavesWaitingForADescriptor(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			release := make(chan struct{})
			w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
				if r.Header.Get("X-Call-Id") == "holds" {
					standin.WriteStarted(r, c)
					<-release
					standin.WriteDone(r, c)
					return
				}
				standin.WriteAnswer(r, c)
			}})
			ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes, func(c *config) { c.engine.Settings.CanCancel = false })
			dialer := ts.scheduler.driver.Dialer(1)
			ts.onLoop(func() { ts.scheduler.workers.Dialer = dialer })
			holder, gone := ts.connect(), ts.connect()
			require.NoError(t, holder.Send(standin.RequestText("holds", "view", 8*time.Second, "x")))
			require.Eventually(t, func() bool { return len(w.IDs()) == 1 }, testTimeout, time.Millisecond)
			require.NoError(t, gone.Send(standin.RequestText("gone", "view", 8*time.Second, "x")))
			require.Eventually(t, func() (ok bool) { ts.onLoop(func() { ok = ts.scheduler.engine.Counts.Pushes == 2 }); return ok }, testTimeout, time.Millisecond)
			disconnect(gone)
			require.Eventually(t, func() bool { return ts.openRequests() == 1 }, testTimeout, time.Millisecond)
			ts.onLoop(func() { assert.Equal(t, 1, ts.scheduler.engine.Counts.Outcomes[decide.NotSent]) })
			close(release)
			status, _, err := holder.ReadAnswer(testTimeout)
			require.NoError(t, err)
			assert.Equal(t, 200, status)
			status, _ = ts.ask("next", "view", testTimeout)
			assert.Equal(t, 200, status)
			assert.Equal(t, []string{"holds", "next"}, w.IDs())
			assert.Equal(t, 1, dialer.OpenConns())
		})
	}
}

// A client disconnects after it has read part of its answer. Its connection is closed, and nothing else is affected.
func TestClientLeavesWithHalfAnAnswer(t *testing.T) {
	for name, disconnect := range disconnects {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startWorker(t, standin.WorkerConfig{Name: "a"})
			ts := startScheduler(t, w.Entry("SERVING"))
			c := ts.connect()
			job := strings.Replace(standin.RequestText("big", "view", 8*time.Second, "x"), "/api/1", "/api/1?run=1us&slots=1&size=200000", 1)
			require.NoError(t, c.Send(job))
			require.NoError(t, c.ReadN(1000))
			ts.awaitIdle()
			disconnect(c)
			require.Eventually(t, func() (ok bool) { ts.onLoop(func() { ok = ts.scheduler.server.Pace.Counts().Peers == 0 }); return ok }, testTimeout, time.Millisecond)
			ts.onLoop(func() { assert.Zero(t, ts.scheduler.driver.Unsent()) })
			status, _ := ts.ask("next", "view", testTimeout)
			assert.Equal(t, 200, status)
		})
	}
}
