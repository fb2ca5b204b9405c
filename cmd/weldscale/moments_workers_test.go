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

// What a kept connection brings in the moment in which it is to be used - a second answer, a 408, the worker's end - is not
// the answer of the next job, nor does that job go along with it.
func TestKeptConnectionEndsAsItIsUsed(t *testing.T) {
	for name, say := range map[string]func(c net.Conn){
		"a second answer": func(c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		},
		"a 408":       func(c net.Conn) { fmt.Fprint(c, "HTTP/1.1 408 Timeout\r\nContent-Length: 0\r\n\r\n") },
		"its end":     func(c net.Conn) { _ = c.(*net.TCPConn).CloseWrite() },
		"a lone byte": func(c net.Conn) { fmt.Fprint(c, "x") },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			var mu sync.Mutex
			var on []string // id and connection
			conns := make(chan net.Conn, 8)
			w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
				mu.Lock()
				on = append(on, r.Header.Get("X-Call-Id")+" "+c.RemoteAddr().String())
				mu.Unlock()
				standin.WriteAnswer(r, c)
				conns <- c
			}})
			b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes)
			status, _ := b.ask("first", "view", patience)
			assert.Equal(t, 200, status)
			kept := <-conns
			c := b.call()
			b.onLoop(func() {})
			free := b.held()
			require.NoError(t, c.Send(standin.RequestText("next", "view", 8*time.Second, "x")))
			require.Eventually(t, func() bool { return b.s.loop.QueueLen() > 0 }, patience, time.Millisecond)
			say(kept)
			free()
			status, body, err := c.ReadAnswer(patience)
			require.NoError(t, err)
			assert.Equal(t, 200, status)
			assert.Equal(t, "made of next", body)
			mu.Lock()
			defer mu.Unlock()
			require.Len(t, on, 2, "sent once")
			assert.NotEqual(t, strings.Fields(on[0])[1], strings.Fields(on[1])[1], "on a connection of its own")
		})
	}
}

// A worker says that it keeps the connection, and ends it at once: that says nothing of the worker, and no job is lost with it.
func TestKeepAliveThenTheEnd(t *testing.T) {
	for name, end := range map[string]func(c *net.TCPConn){
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
				end(c.(*net.TCPConn))
			}})
			b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes)
			for i := range 20 { // where its end crosses the next job that goes again: it is a view
				id := fmt.Sprint(i)
				status, body := b.ask(id, "view", patience)
				if name == "reset" && status != 200 {
					continue // it may overtake each try's answer
				}
				assert.Equal(t, "200 made of "+id, fmt.Sprint(status, " ", body))
			}
			b.onLoop(func() { assert.Zero(t, b.s.engine.Avoided()) })
		})
	}
}

// A worker moves to a new address, or its process starts anew by the list, while it has a job: the answer on the connection
// that is open counts, and what comes next goes to the new address.
func TestWorkerMovesWithAJobOut(t *testing.T) {
	release := make(chan struct{})
	old := startWorker(t, standin.WorkerConfig{Name: "a", Answer: holdFinish(release)})
	moved := startWorker(t, standin.WorkerConfig{Name: "a"})
	b := startBench(t, old.Entry("SERVING"))
	b.calls(2)
	c := b.call()
	require.NoError(t, c.Send(standin.RequestText("out", "send", 8*time.Second, "x")))
	require.Eventually(t, func() bool { return len(old.IDs()) == 1 }, patience, time.Millisecond)
	e := moved.Entry("SERVING")
	e.SinceMS = time.Now().Add(-time.Hour).UnixMilli()
	b.discovery.Set(e)
	b.calls(3)
	status, _ := b.ask("next", "view", patience)
	assert.Equal(t, 200, status)
	close(release)
	status, body, err := c.ReadAnswer(patience)
	require.NoError(t, err)
	assert.Equal(t, "200 made of out", fmt.Sprint(status, " ", body))
	assert.Equal(t, []string{"out"}, old.IDs())
	assert.Equal(t, []string{"next"}, moved.IDs())
}

// A worker that says done twice, or more than its answer, has said which bytes are next in a way that can't be told: its
// connection is not used again, and it is not taken for dead.
func TestSpoiltAnswersEndTheirConnection(t *testing.T) {
	done := func(r *http.Request) string {
		id := r.Header.Get("X-Call-Id")
		return fmt.Sprintf(`{"id":%q,"state":"done","result":%q}`, id, standin.Result(id, 0))
	}
	for name, spoil := range map[string]func(r *http.Request, c net.Conn){
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
			on := map[string]string{}
			w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
				mu.Lock()
				on[r.Header.Get("X-Call-Id")] = c.RemoteAddr().String()
				mu.Unlock()
				if r.Header.Get("X-Call-Id") == "spoilt" {
					spoil(r, c)
				} else {
					standin.WriteAnswer(r, c)
				}
			}})
			b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes)
			for _, id := range []string{"spoilt", "next"} {
				status, _ := b.ask(id, "view", patience)
				if name == "done, then reset" && id == "spoilt" && status != 200 {
					continue // the reset may overtake the line; it is one answer all the same
				}
				assert.Equal(t, 200, status, id)
			}
			mu.Lock()
			defer mu.Unlock()
			assert.NotEqual(t, on["spoilt"], on["next"])
			b.onLoop(func() { assert.Zero(t, b.s.engine.Avoided()) })
		})
	}
}

// News of a worker while a connection to it is being opened: a drain, another process under its name at another address, a
// cold start at the same. Nothing goes where the list no longer points.
func TestNewsOfAWorkerInMidDial(t *testing.T) {
	for _, name := range []string{"drains", "moves", "starts anew", "is gone"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stops := &standin.SyncPoints{}
			old, other := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "b"})
			b := startBenchWith(t, []standin.Entry{old.Entry("SERVING")}, withoutProbes)
			stops.Hold("dial")
			b.heldDials(stops, nil)
			c, began := b.call(), time.Now()
			require.NoError(t, c.Send(standin.RequestText("job", "send", 8*time.Second, "x")))
			reached(t, stops, "dial")
			e := old.Entry("SERVING")
			switch name {
			case "drains":
				e.Status = "DRAINING"
			case "moves":
				e.Address = other.Addr()
			case "starts anew":
				e.SinceMS = time.Now().UnixMilli()
			case "is gone":
				e.Status = "DELETED"
			}
			b.discovery.Set(e)
			var index int64
			require.Eventually(t, func() bool { b.onLoop(func() { index = b.s.discovery.Index() }); return index >= 3 }, patience, time.Millisecond)
			stops.Release("dial")
			if name != "moves" {
				b.discovery.Set(other.Entry("SERVING"))
			}
			status, _, err := c.ReadAnswer(patience)
			require.NoError(t, err)
			if status == 200 {
				assert.Equal(t, []string{"job"}, other.IDs())
			} else { // a machine too slow for the job to be in time elsewhere
				assert.Equal(t, 503, status)
				assert.Greater(t, time.Since(began), 2*time.Second)
				assert.Empty(t, other.IDs())
			}
			assert.Empty(t, old.IDs())
		})
	}
}

// A worker knows a key only for a time. A repeat that was decided within it and whose connection comes up after it is not
// sent: the worker would take it for a new job.
func TestRepeatComesUpAfterTheKeysSpan(t *testing.T) {
	const span = 3 * time.Second
	for _, late := range []bool{true, false} {
		t.Run(fmt.Sprint("late ", late), func(t *testing.T) {
			t.Parallel()
			stops := &standin.SyncPoints{}
			var first atomic.Int64
			w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
				if first.CompareAndSwap(0, time.Now().UnixNano()) {
					stops.Hold("dial")
					c.Close() // it may have run
					return
				}
				standin.WriteAnswer(r, c)
			}})
			b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes, func(c *config) {
				s := &c.engine.Settings.Classes[0]
				s.Effect, s.Scope, s.MemorySpan = decide.Keyed, decide.ScopeAll, decide.Time(span/time.Microsecond)
			})
			b.heldDials(stops, nil)
			c := b.call()
			require.NoError(t, c.Send(standin.RequestText("job", "view", 8*time.Second, "x", "Idempotency-Key: k")))
			reached(t, stops, "dial")
			if late {
				at := time.Unix(0, first.Load()).Add(span)
				time.Sleep(time.Until(at)) // the span is over, however busy the machine
			}
			stops.Release("dial")
			status, _, err := c.ReadAnswer(patience)
			require.NoError(t, err)
			if late {
				assert.NotEqual(t, 200, status)
				assert.Len(t, w.IDs(), 1, "never two starts")
			} else if status != 200 { // a machine too busy for the repeat within its span
				assert.Len(t, w.IDs(), 1)
			}
		})
	}
}
