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

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/decide"
	"weldscale/internal/standin"
)

// A worker sends a second answer, a 408 or a lone byte on an idle connection, or closes it, just as the connection is to be
// used again. Those bytes must not be taken as the answer of the next job. That job must be sent once, on another connection.
func TestKeptConnectionEndsAsItIsUsed(t *testing.T) {
	for name, interfere := range map[string]func(c net.Conn){
		"a second answer": func(c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"a 408":       func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 408 Timeout\r\nContent-Length: 0\r\n\r\n") },
		"a close":     func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
		"a lone byte": func(c net.Conn) { fmt.Fprint(c, "x") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var attempts []string // id and connection
			conns := make(chan net.Conn, 8)
			w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
				mu.Lock()
				attempts = append(attempts, r.Header.Get("X-Call-Id")+" "+c.RemoteAddr().String())
				mu.Unlock()
				standin.WriteAnswer(r, c)
				conns <- c
			}})
			ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes)
			status, _ := ts.ask("first", "view", testTimeout)
			assert.Equal(t, 200, status)
			idle := <-conns
			c := ts.connect()
			ts.onLoop(func() {})
			release := ts.holdLoop()
			require.NoError(t, c.Send(standin.RequestText("next", "view", 8*time.Second, "x")))
			require.Eventually(t, func() bool { return ts.scheduler.loop.QueueLen() > 0 }, testTimeout, time.Millisecond)
			interfere(idle)
			release()
			status, body, err := c.ReadAnswer(testTimeout)
			require.NoError(t, err)
			assert.Equal(t, 200, status)
			assert.Equal(t, "made of next", body)
			mu.Lock()
			defer mu.Unlock()
			require.Len(t, attempts, 2, "sent once")
			assert.NotEqual(t, strings.Fields(attempts[0])[1], strings.Fields(attempts[1])[1], "on another connection")
		})
	}
}

// A worker announces that it keeps the connection open, then closes or resets it right after its answer. The worker must not
// become suspect for that, and no job may be lost.
func TestKeepAliveThenTheEnd(t *testing.T) {
	for name, closeConn := range map[string]func(c *net.TCPConn){
		"FIN":   func(c *net.TCPConn) { _ = c.CloseWrite() },
		"close": func(c *net.TCPConn) { c.Close() },
		"reset": func(c *net.TCPConn) { _ = c.SetLinger(0); c.Close() },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
				id := r.Header.Get("X-Call-Id")
				_, _ = c.Write(append(standin.AppendLines([]byte(head200), fmt.Sprintf(`{"id":%q,"state":"started"}`, id),
					fmt.Sprintf(`{"id":%q,"state":"done","result":%q}`, id, standin.Result(id, 0))), "0\r\n\r\n"...))
				closeConn(c.(*net.TCPConn))
			}})
			ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes)
			for i := range 20 { // a job that crosses the close is sent again, since its class is view
				id := fmt.Sprint(i)
				status, body := ts.ask(id, "view", testTimeout)
				if name == "reset" && status != 200 {
					continue // the reset may overtake the answer of each attempt
				}
				assert.Equal(t, "200 made of "+id, fmt.Sprint(status, " ", body))
			}
			ts.onLoop(func() { assert.Zero(t, ts.scheduler.engine.Avoided()) })
		})
	}
}

// The list gives a worker a new address and a new start time while a job runs on it. The answer on the open connection still
// counts, and the next job goes to the new address.
func TestWorkerMovesWithAJobOut(t *testing.T) {
	release := make(chan struct{})
	old := startWorker(t, standin.WorkerConfig{Name: "a", Answer: holdFinish(release)})
	moved := startWorker(t, standin.WorkerConfig{Name: "a"})
	ts := startScheduler(t, old.Entry("SERVING"))
	ts.awaitDiscoveryCalls(2)
	c := ts.connect()
	require.NoError(t, c.Send(standin.RequestText("out", "send", 8*time.Second, "x")))
	require.Eventually(t, func() bool { return len(old.IDs()) == 1 }, testTimeout, time.Millisecond)
	e := moved.Entry("SERVING")
	e.SinceMS = time.Now().Add(-time.Hour).UnixMilli()
	ts.discovery.Set(e)
	ts.awaitDiscoveryCalls(3)
	status, _ := ts.ask("next", "view", testTimeout)
	assert.Equal(t, 200, status)
	close(release)
	status, body, err := c.ReadAnswer(testTimeout)
	require.NoError(t, err)
	assert.Equal(t, "200 made of out", fmt.Sprint(status, " ", body))
	assert.Equal(t, []string{"out"}, old.IDs())
	assert.Equal(t, []string{"next"}, moved.IDs())
}

// A worker reports a job as done twice, resets the connection after reporting it, or leaves its answer without an end. Then it
// is not known which bytes on the connection come next, so it must not be used again; but the worker must not become suspect.
func TestMalformedAnswerEndsItsConnection(t *testing.T) {
	done := func(r *http.Request) string {
		id := r.Header.Get("X-Call-Id")
		return fmt.Sprintf(`{"id":%q,"state":"done","result":%q}`, id, standin.Result(id, 0))
	}
	for name, answer := range map[string]func(r *http.Request, c net.Conn){
		"done twice": func(r *http.Request, c net.Conn) {
			_, _ = c.Write(append(standin.AppendLines([]byte(head200), done(r), done(r)), "0\r\n\r\n"...))
		},
		"done, then reset": func(r *http.Request, c net.Conn) {
			_, _ = c.Write(standin.AppendLines([]byte(head200), done(r)))
			_ = c.(*net.TCPConn).SetLinger(0)
			c.Close()
		},
		"no end": func(r *http.Request, c net.Conn) { _, _ = c.Write(standin.AppendLines([]byte(head200), done(r))) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			connections := map[string]string{}
			w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
				mu.Lock()
				connections[r.Header.Get("X-Call-Id")] = c.RemoteAddr().String()
				mu.Unlock()
				if r.Header.Get("X-Call-Id") == "spoilt" {
					answer(r, c)
				} else {
					standin.WriteAnswer(r, c)
				}
			}})
			ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes)
			for _, id := range []string{"spoilt", "next"} {
				status, _ := ts.ask(id, "view", testTimeout)
				if name == "done, then reset" && id == "spoilt" && status != 200 {
					continue // the reset may overtake the line; the client gets one answer all the same
				}
				assert.Equal(t, 200, status, id)
			}
			mu.Lock()
			defer mu.Unlock()
			assert.NotEqual(t, connections["spoilt"], connections["next"])
			ts.onLoop(func() { assert.Zero(t, ts.scheduler.engine.Avoided()) })
		})
	}
}

// The list changes while a connection to a worker is being opened: the worker drains, is removed, starts again at the same
// address, or another process has its name at another address. No job may go to a worker that the list no longer gives.
func TestWorkerChangesDuringTheDial(t *testing.T) {
	for _, name := range []string{"drains", "moves", "starts again", "is removed"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			syncPoints := &standin.SyncPoints{}
			old, other := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "b"})
			ts := startSchedulerWith(t, []standin.Entry{old.Entry("SERVING")}, withoutProbes)
			syncPoints.Hold("dial")
			ts.holdDials(syncPoints, nil)
			c, began := ts.connect(), time.Now()
			require.NoError(t, c.Send(standin.RequestText("job", "send", 8*time.Second, "x")))
			awaitReached(t, syncPoints, "dial")
			entry := old.Entry("SERVING")
			switch name {
			case "drains":
				entry.Status = "DRAINING"
			case "moves":
				entry.Address = other.Addr()
			case "starts again":
				entry.SinceMS = time.Now().UnixMilli()
			case "is removed":
				entry.Status = "DELETED"
			}
			ts.discovery.Set(entry)
			var index int64
			require.Eventually(t, func() bool { ts.onLoop(func() { index = ts.scheduler.discovery.Index() }); return index >= 3 }, testTimeout, time.Millisecond)
			syncPoints.Release("dial")
			if name != "moves" {
				ts.discovery.Set(other.Entry("SERVING"))
			}
			status, _, err := c.ReadAnswer(testTimeout)
			require.NoError(t, err)
			if status == 200 {
				assert.Equal(t, []string{"job"}, other.IDs())
			} else { // the machine was too slow for the job to be in time on the other worker
				assert.Equal(t, 503, status)
				assert.Greater(t, time.Since(began), 2*time.Second)
				assert.Empty(t, other.IDs())
			}
			assert.Empty(t, old.IDs())
		})
	}
}

// A worker remembers an idempotency key only for its memory span. A second attempt that was decided within the span, but whose
// connection comes up after it, must not be sent: the worker would take it for a new job.
func TestRepeatConnectsAfterTheMemorySpan(t *testing.T) {
	const span = 3 * time.Second
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			t.Parallel()
			syncPoints := &standin.SyncPoints{}
			var firstAttempt atomic.Int64
			w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
				if firstAttempt.CompareAndSwap(0, time.Now().UnixNano()) {
					syncPoints.Hold("dial")
					c.Close() // the job may have run
					return
				}
				standin.WriteAnswer(r, c)
			}})
			ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes, func(c *config) {
				s := &c.engine.Settings.Classes[0]
				s.Effect, s.Scope, s.MemorySpan = decide.Keyed, decide.ScopeAll, decide.Time(span/time.Microsecond)
			})
			ts.holdDials(syncPoints, nil)
			c := ts.connect()
			require.NoError(t, c.Send(standin.RequestText("job", "view", 8*time.Second, "x", "Idempotency-Key: k")))
			awaitReached(t, syncPoints, "dial")
			if late {
				at := time.Unix(0, firstAttempt.Load()).Add(span)
				time.Sleep(time.Until(at)) // the span is over, even on a busy machine
			}
			syncPoints.Release("dial")
			status, _, err := c.ReadAnswer(testTimeout)
			require.NoError(t, err)
			if late {
				assert.NotEqual(t, 200, status)
				assert.Len(t, w.IDs(), 1, "never two starts")
			} else if status != 200 { // the machine was too busy for a second attempt within the span
				assert.Len(t, w.IDs(), 1)
			}
		})
	}
}
