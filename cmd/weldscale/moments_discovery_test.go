package main

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/standin"
)

// awaitDiscoveryCalls waits until discovery has had n calls and returns all that it has had.
func (ts *testScheduler) awaitDiscoveryCalls(n int) []string {
	require.Eventually(ts.t, func() bool { return len(ts.discovery.Calls()) >= n }, testTimeout, time.Millisecond)
	return ts.discovery.Calls()
}

// A watch gets no answer: from its start, after an earlier answer, or twice in a row. The scheduler must start another before
// it counts as informed of the changes that this one missed, which is two seconds after the hold time. The test does not
// measure that; TestCadenceBounds bounds the time spans from which it follows.
func TestWatchFallsSilent(t *testing.T) {
	for name, silentCalls := range map[string][]int{"at its start": {2}, "after an answer": {3}, "twice in a row": {2, 3}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workerA, workerZ := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
			discovery := startDiscovery(t, workerA.Entry("SERVING"), workerZ.Entry("SERVING"))
			silenced, cancelled := make(chan struct{}, 9), make(chan struct{}, 9)
			discovery.Intercept(func(n int, w http.ResponseWriter, r *http.Request) bool {
				if !slices.Contains(silentCalls, n) {
					return false
				}
				silenced <- struct{}{}
				<-r.Context().Done() // no byte until the scheduler gives the call up
				cancelled <- struct{}{}
				return true
			})
			ts := startSchedulerAt(t, discovery, discovery.Known())
			if silentCalls[0] == 3 {
				ts.awaitDiscoveryCalls(2)
				discovery.Set(workerZ.Entry("SERVING")) // answers the watch
			}
			<-silenced
			discovery.Set(workerA.Entry("DRAINING"))
			<-cancelled
			if name != "twice in a row" {
				ts.onLoop(func() {
					// The loop iteration that gave the call up sent the next. On a slow machine that has been answered by now, and another
					// watch has been started.
					assert.GreaterOrEqual(t, ts.scheduler.engine.Counts.ListCalls, silentCalls[0]+1)
				})
			}
			require.Eventually(t, func() (ok bool) {
				ts.onLoop(func() { ok = ts.scheduler.engine.ReadyWorkers() == 1 })
				return ok
			}, testTimeout, time.Millisecond)
			assert.Contains(t, ts.discovery.Calls()[silentCalls[0]], "hold_ms=1", "a call that is answered at once")
			for i := range 10 {
				status, _ := ts.ask(fmt.Sprint(i), "view", testTimeout)
				assert.Equal(t, 200, status)
			}
			assert.Empty(t, workerA.IDs())
		})
	}
}

// The first two calls get no whole answer, and the third brings the list. The test does not measure that this takes less than
// 6 s where few schedulers share discovery; TestCadenceBounds bounds the time spans from which it follows.
func TestFirstCallsAreSilent(t *testing.T) {
	t.Parallel()
	workerA := startWorker(t, standin.WorkerConfig{Name: "a"})
	discovery := startDiscovery(t, workerA.Entry("SERVING"))
	known := discovery.Known()
	discovery.Set(workerA.Entry("DRAINING"))
	discovery.Intercept(func(n int, w http.ResponseWriter, r *http.Request) bool {
		switch n {
		case 1:
			<-r.Context().Done()
		case 2: // silent in the middle of the body
			c, _, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return true
			}
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"index\":9,\"sna")
			_, _ = c.Read(make([]byte, 1))
			c.Close()
		default:
			return false
		}
		return true
	})
	ts := startSchedulerAt(t, discovery, known)
	require.Eventually(t, func() (ok bool) {
		ts.onLoop(func() { ok = ts.scheduler.engine.ReadyWorkers() == 0 })
		return ok
	}, testTimeout, time.Millisecond)
	ts.onLoop(func() { assert.Equal(t, 2, ts.scheduler.engine.Counts.ListFailed) })
}

// An answer whose version is older than the scheduler's must not make a draining worker ready again. The scheduler ignores it
// and requests the whole list.
func TestListGoesBack(t *testing.T) {
	a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	d := startDiscovery(t, a.Entry("SERVING"), z.Entry("SERVING"))
	d.Set(a.Entry("DRAINING"))
	d.Intercept(func(n int, w http.ResponseWriter, r *http.Request) bool {
		if n != 2 {
			return false
		}
		fmt.Fprintf(w, `{"index":1,"snapshot":false,"endpoints":[{"name":"a","address":%q,"zone":"here","type":"box","status":"SERVING","weight":1,"since_ms":0}]}`, a.Addr())
		return true
	})
	ts := startSchedulerAt(t, d, d.Known())
	calls := ts.awaitDiscoveryCalls(3)
	assert.Equal(t, "", calls[2], "the whole list")
	require.Eventually(t, func() bool { return len(ts.discovery.Calls()) >= 4 }, testTimeout, time.Millisecond)
	ts.onLoop(func() { assert.Equal(t, 1, ts.scheduler.engine.ReadyWorkers(), "the worker is still draining") })
}

// withPushedList configures a scheduler whose discovery is an agent to which the list is pushed.
func withPushedList(c *config) { c.engine.Settings.MustAsk, c.engine.Settings.AskWithin = false, 0 }

// Where the list is pushed to an agent, the scheduler counts as informed of whatever the agent has, from its start on, though
// no setting tells it to watch. So it must learn each change, whatever happened to its earlier calls. Probes are disabled, as
// they would also keep jobs from a worker that drains.
func TestPushedListIsFollowed(t *testing.T) {
	for name, intercept := range map[string]func(n int, w http.ResponseWriter, r *http.Request) bool{
		"each call answered": func(int, http.ResponseWriter, *http.Request) bool { return false },
		"first call silent":  func(n int, _ http.ResponseWriter, r *http.Request) bool { return n == 1 && neverAnswer(r) },
		"silent three times": func(n int, _ http.ResponseWriter, r *http.Request) bool { return n <= 3 && neverAnswer(r) },
		"the watch silent":   func(n int, _ http.ResponseWriter, r *http.Request) bool { return n == 2 && neverAnswer(r) },
		"503 and a reset": func(n int, w http.ResponseWriter, r *http.Request) bool {
			if n == 1 || n == 3 {
				w.WriteHeader(http.StatusServiceUnavailable)
			} else if n == 2 {
				c, _, _ := http.NewResponseController(w).Hijack()
				_ = c.(*net.TCPConn).SetLinger(0)
				c.Close()
			}
			return n <= 3
		},
		"half an answer": func(n int, w http.ResponseWriter, r *http.Request) bool {
			if n > 2 {
				return false
			}
			c, _, _ := http.NewResponseController(w).Hijack()
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 400\r\n\r\n{\"index\":9,\"sna")
			_, _ = c.Read(make([]byte, 1)) // until the peer closes
			c.Close()
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workerA, workerZ := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
			discovery := startDiscovery(t, workerA.Entry("SERVING"))
			known := discovery.Known()
			discovery.Set(workerA.Entry("DRAINING"), workerZ.Entry("SERVING"))
			discovery.Intercept(intercept)
			ts := startSchedulerWith(t, nil, withPushedList, withoutProbes, func(c *config) { c.Discovery, c.Known = discovery.Addr(), known })
			awaitReady := func(n int, wantAddr string) {
				require.Eventually(t, func() (ok bool) {
					ts.onLoop(func() {
						readyAddr := ""
						ts.scheduler.engine.EachReadyAddr(func(addr string) { readyAddr = addr })
						ok = ts.scheduler.engine.ReadyWorkers() == n && readyAddr == wantAddr
					})
					return ok
				}, testTimeout, time.Millisecond)
			}
			awaitReady(1, workerZ.Addr())
			for i := range 5 {
				status, _ := ts.ask(fmt.Sprint(i), "view", testTimeout)
				assert.Equal(t, 200, status)
			}
			assert.Empty(t, workerA.IDs())
			discovery.Set(workerA.Entry("SERVING"), workerZ.Entry("DELETED")) // later changes are learned too
			awaitReady(1, workerA.Addr())
			status, _ := ts.ask("later", "view", testTimeout)
			assert.Equal(t, 200, status)
			assert.Equal(t, []string{"later"}, workerA.IDs())
		})
	}
}

// neverAnswer holds a call without an answer until its caller cancels it.
func neverAnswer(r *http.Request) bool {
	<-r.Context().Done()
	return true
}

// The agent answers no call while discovery is down: neither the watch that it holds nor the calls that follow. Once it is back
// with new entries, the next call must bring them, and no call may go on waiting because of an outage that is over.
func TestPushedListAfterAnOutage(t *testing.T) {
	workerA, workerZ := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	discovery := startDiscovery(t, workerA.Entry("SERVING"), workerZ.Entry("SERVING"))
	var down atomic.Bool
	silentCalls := make(chan struct{}, 64) // calls that got no answer
	discovery.Intercept(func(n int, _ http.ResponseWriter, r *http.Request) bool {
		if n < 2 || n > 2 && !down.Load() {
			return false
		}
		down.Store(true)
		silentCalls <- struct{}{}
		return neverAnswer(r)
	})
	ts := startSchedulerWith(t, nil, withPushedList, withoutProbes, func(c *config) { c.Discovery, c.Known = discovery.Addr(), discovery.Known() })
	for range 4 { // the watch and three further calls
		select {
		case <-silentCalls:
		case <-time.After(testTimeout):
			require.FailNow(t, "no call came")
		}
	}
	down.Store(false)
	discovery.Set(workerA.Entry("DRAINING"))
	require.Eventually(t, func() (ok bool) { ts.onLoop(func() { ok = ts.scheduler.engine.ReadyWorkers() == 1 }); return ok }, testTimeout, time.Millisecond)
	for i := range 5 {
		status, _ := ts.ask(fmt.Sprint(i), "view", testTimeout)
		assert.Equal(t, 200, status)
	}
	assert.Empty(t, workerA.IDs())
}

// A reload changes the agent's address: the new agent is asked at once for the whole list, and its later changes arrive too.
func TestPushedListAddressChanges(t *testing.T) {
	a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	ts := startSchedulerWith(t, []standin.Entry{a.Entry("SERVING")}, withPushedList)
	ts.awaitDiscoveryCalls(2)
	second := startDiscovery(t, a.Entry("DRAINING"), z.Entry("SERVING"))
	second.Intercept(func(n int, _ http.ResponseWriter, r *http.Request) bool { return n == 1 && neverAnswer(r) })
	ts.onLoop(func() { ts.scheduler.discovery.Move(second.Addr()) })
	require.Eventually(t, func() bool { return len(second.Calls()) > 2 }, testTimeout, time.Millisecond)
	assert.Equal(t, []string{"", ""}, second.Calls()[:2], "the whole list, until it has come")
	second.Set(z.Entry("DRAINING"))
	require.Eventually(t, func() (ok bool) { ts.onLoop(func() { ok = ts.scheduler.engine.ReadyWorkers() == 0 }); return ok }, testTimeout, time.Millisecond)
}

// The whole list is requested again while a call is open: that request is sent when the call has ended, and only once.
func TestReloadDuringACall(t *testing.T) {
	a := startWorker(t, standin.WorkerConfig{Name: "a"})
	ts := startScheduler(t, a.Entry("SERVING"))
	ts.awaitDiscoveryCalls(2) // the watch is held
	ts.onLoop(func() { ts.scheduler.discovery.Reload(); ts.scheduler.discovery.Reload() })
	assert.Len(t, ts.discovery.Calls(), 2, "never two open calls")
	ts.discovery.Set(a.Entry("SERVING")) // ends the call
	assert.Equal(t, "", ts.awaitDiscoveryCalls(3)[2])
	assert.Contains(t, ts.awaitDiscoveryCalls(4)[3], "hold_ms=8000", "one reload, then the watch again")
}

// startSchedulerAt starts a scheduler that asks this discovery stand-in.
func startSchedulerAt(t *testing.T, d *standin.Discovery, known []byte) *testScheduler {
	ts := startSchedulerWith(t, nil, func(c *config) {
		c.Discovery = d.Addr()
		if known != nil {
			c.Known = known
		}
	})
	ts.discovery = d
	return ts
}

// A watch is reset just before a worker drains, or discovery is down just as the watch is renewed and up again before the next
// call. The drain must be learned within the time that the settings allow between two calls (10 s), counted from the last call.
func TestWatchEndsBeforeADrain(t *testing.T) {
	for _, name := range []string{"reset", "down at the renewal"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			workerA, workerZ := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
			discovery := startDiscovery(t, workerA.Entry("SERVING"), workerZ.Entry("SERVING"))
			release, endedAt := make(chan struct{}), make(chan time.Time, 1)
			discovery.Intercept(func(n int, w http.ResponseWriter, r *http.Request) bool {
				if n != 2 {
					return false
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return false
				}
				if name == "reset" {
					<-release
					_ = c.(*net.TCPConn).SetLinger(0)
				} else { // discovery goes down as the renewed watch arrives
					fmt.Fprint(c, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
				}
				c.Close()
				endedAt <- time.Now()
				return true
			})
			ts := startSchedulerAt(t, discovery, discovery.Known())
			ts.awaitDiscoveryCalls(2)
			close(release)
			watchEnd := <-endedAt
			discovery.Set(workerA.Entry("DRAINING"))
			require.Eventually(t, func() (ok bool) { ts.onLoop(func() { ok = ts.scheduler.engine.ReadyWorkers() == 1 }); return ok }, testTimeout, time.Millisecond)
			assert.Less(t, discovery.CallTimes()[2].Sub(watchEnd), 10*time.Second)
		})
	}
}

// A reload changes the address of discovery while the old one is down and the scheduler pauses after failed calls. The new one
// is asked at once, for the whole list.
func TestDiscoveryMovesWhileDown(t *testing.T) {
	a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	ts := startScheduler(t, a.Entry("SERVING"))
	ts.awaitDiscoveryCalls(2)
	ts.discovery.SetDown(true)
	require.Eventually(t, func() (ok bool) { ts.onLoop(func() { ok = ts.scheduler.engine.Counts.ListFailed > 0 }); return ok }, testTimeout, time.Millisecond)
	second := startDiscovery(t, z.Entry("SERVING"))
	moved := time.Now()
	ts.onLoop(func() { ts.scheduler.discovery.Move(second.Addr()) })
	require.Eventually(t, func() bool { return len(second.Calls()) > 1 }, testTimeout, time.Millisecond)
	assert.Equal(t, "", second.Calls()[0])
	assert.Less(t, second.CallTimes()[0].Sub(moved), 4*time.Second)
	status, _ := ts.ask("next", "view", testTimeout)
	assert.Equal(t, 200, status)
	assert.Equal(t, []string{"next"}, z.IDs())
}
