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

// calls waits until discovery has had so many calls.
func (b *bench) calls(n int) []string {
	require.Eventually(b.t, func() bool { return len(b.discovery.Calls()) >= n }, patience, time.Millisecond)
	return b.discovery.Calls()
}

// A watch that falls silent is opened anew before what it misses counts as told, two seconds after its hold: one that was
// silent from its opening, one after an answer, and one of which the next call meets silence too. That this is in time follows
// from the spans, which TestCadenceBounds bounds.
func TestWatchFallsSilent(t *testing.T) {
	for name, silent := range map[string][]int{"at its opening": {2}, "after an answer": {3}, "twice running": {2, 3}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
			d := startDiscovery(t, a.Entry("SERVING"), z.Entry("SERVING"))
			fell, gaveUp := make(chan struct{}, 9), make(chan struct{}, 9)
			d.Intercept(func(n int, w http.ResponseWriter, r *http.Request) bool {
				if !slices.Contains(silent, n) {
					return false
				}
				fell <- struct{}{}
				<-r.Context().Done() // not a word, until the scheduler gives it up
				gaveUp <- struct{}{}
				return true
			})
			b := startBenchAt(t, d, d.Known())
			if silent[0] == 3 {
				b.calls(2)
				d.Set(z.Entry("SERVING")) // an answer
			}
			<-fell
			d.Set(a.Entry("DRAINING"))
			<-gaveUp
			if name != "twice running" {
				b.onLoop(func() {
					// In the turn that gave it up; on a slow machine it has been answered, and the watch renewed, by now.
					assert.GreaterOrEqual(t, b.s.engine.Counts.ListCalls, silent[0]+1)
				})
			}
			require.Eventually(t, func() (is bool) {
				b.onLoop(func() { is = b.s.engine.ReadyWorkers() == 1 })
				return is
			}, patience, time.Millisecond)
			assert.Contains(t, b.discovery.Calls()[silent[0]], "hold_ms=1", "answered at once")
			for i := range 10 {
				status, _ := b.ask(fmt.Sprint(i), "view", patience)
				assert.Equal(t, 200, status)
			}
			assert.Empty(t, a.IDs())
		})
	}
}

// The first call, and the next after it, meet silence: the third brings the list. That this is within 6 s where few share
// discovery follows from the spans, which TestCadenceBounds bounds.
func TestFirstCallsAreSilent(t *testing.T) {
	t.Parallel()
	a := startWorker(t, standin.WorkerConfig{Name: "a"})
	d := startDiscovery(t, a.Entry("SERVING"))
	known := d.Known()
	d.Set(a.Entry("DRAINING"))
	d.Intercept(func(n int, w http.ResponseWriter, r *http.Request) bool {
		switch n {
		case 1:
			<-r.Context().Done()
		case 2: // in mid-body
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
	b := startBenchAt(t, d, known)
	require.Eventually(t, func() (is bool) {
		b.onLoop(func() { is = b.s.engine.ReadyWorkers() == 0 })
		return is
	}, patience, time.Millisecond)
	b.onLoop(func() { assert.Equal(t, 2, b.s.engine.Counts.ListFailed) })
}

// Changes up to a version older than ours bring nothing back to life: the whole list is asked for.
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
	b := startBenchAt(t, d, d.Known())
	calls := b.calls(3)
	assert.Equal(t, "", calls[2], "the whole list")
	require.Eventually(t, func() bool { return len(b.discovery.Calls()) >= 4 }, patience, time.Millisecond)
	b.onLoop(func() { assert.Equal(t, 1, b.s.engine.ReadyWorkers(), "the drain stands") })
}

// pushed has the lists pushed: the discovery is an agent's.
func pushed(c *config) { c.engine.Settings.MustAsk, c.engine.Settings.AskWithin = false, 0 }

// Where lists are pushed nobody tells us to watch, and yet what the agent has counts as told: from the first moment of the
// process on, whatever became of the calls before. Without probes nothing else would keep jobs from a worker that drains.
func TestPushedListIsHeard(t *testing.T) {
	for name, spoil := range map[string]func(n int, w http.ResponseWriter, r *http.Request) bool{
		"at once":            func(int, http.ResponseWriter, *http.Request) bool { return false },
		"first call silent":  func(n int, _ http.ResponseWriter, r *http.Request) bool { return n == 1 && silence(r) },
		"silent three times": func(n int, _ http.ResponseWriter, r *http.Request) bool { return n <= 3 && silence(r) },
		"the watch silent":   func(n int, _ http.ResponseWriter, r *http.Request) bool { return n == 2 && silence(r) },
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
			_, _ = c.Read(make([]byte, 1)) // its end
			c.Close()
			return true
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
			d := startDiscovery(t, a.Entry("SERVING"))
			known := d.Known()
			d.Set(a.Entry("DRAINING"), z.Entry("SERVING"))
			d.Intercept(spoil)
			b := startBenchWith(t, nil, pushed, withoutProbes, func(c *config) { c.Discovery, c.Known = d.Addr(), known })
			ready := func(n int, on string) {
				require.Eventually(t, func() (is bool) {
					b.onLoop(func() {
						at := ""
						b.s.engine.EachReadyAddr(func(addr string) { at = addr })
						is = b.s.engine.ReadyWorkers() == n && at == on
					})
					return is
				}, patience, time.Millisecond)
			}
			ready(1, z.Addr())
			for i := range 5 {
				status, _ := b.ask(fmt.Sprint(i), "view", patience)
				assert.Equal(t, 200, status)
			}
			assert.Empty(t, a.IDs())
			d.Set(a.Entry("SERVING"), z.Entry("DELETED")) // and whatever comes later
			ready(1, a.Addr())
			status, _ := b.ask("later", "view", patience)
			assert.Equal(t, 200, status)
			assert.Equal(t, []string{"later"}, a.IDs())
		})
	}
}

// silence answers a call with nothing until its caller gives it up.
func silence(r *http.Request) bool {
	<-r.Context().Done()
	return true
}

// The agent is silent for as long as discovery is down, under a watch that is held and under every call that follows, and
// has new entries at the return: the first call from then on brings them, and no call waits out a silence that is over.
func TestPushedListAfterAnOutage(t *testing.T) {
	a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	d := startDiscovery(t, a.Entry("SERVING"), z.Entry("SERVING"))
	var down atomic.Bool
	met := make(chan struct{}, 64) // calls that met the silence
	d.Intercept(func(n int, _ http.ResponseWriter, r *http.Request) bool {
		if n < 2 || n > 2 && !down.Load() {
			return false
		}
		down.Store(true)
		met <- struct{}{}
		return silence(r)
	})
	b := startBenchWith(t, nil, pushed, withoutProbes, func(c *config) { c.Discovery, c.Known = d.Addr(), d.Known() })
	for range 4 { // the watch, and three calls anew
		select {
		case <-met:
		case <-time.After(patience):
			require.FailNow(t, "no call")
		}
	}
	down.Store(false)
	d.Set(a.Entry("DRAINING"))
	require.Eventually(t, func() (is bool) { b.onLoop(func() { is = b.s.engine.ReadyWorkers() == 1 }); return is }, patience, time.Millisecond)
	for i := range 5 {
		status, _ := b.ask(fmt.Sprint(i), "view", patience)
		assert.Equal(t, 200, status)
	}
	assert.Empty(t, a.IDs())
}

// A reload moves the agent's address: the new one is asked at once for the whole list, and its news goes on coming.
func TestPushedListMoves(t *testing.T) {
	a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	b := startBenchWith(t, []standin.Entry{a.Entry("SERVING")}, pushed)
	b.calls(2)
	second := startDiscovery(t, a.Entry("DRAINING"), z.Entry("SERVING"))
	second.Intercept(func(n int, _ http.ResponseWriter, r *http.Request) bool { return n == 1 && silence(r) })
	b.onLoop(func() { b.s.discovery.Move(second.Addr()) })
	require.Eventually(t, func() bool { return len(second.Calls()) > 2 }, patience, time.Millisecond)
	assert.Equal(t, []string{"", ""}, second.Calls()[:2], "the whole list, until it has come")
	second.Set(z.Entry("DRAINING"))
	require.Eventually(t, func() (is bool) { b.onLoop(func() { is = b.s.engine.ReadyWorkers() == 0 }); return is }, patience, time.Millisecond)
}

// A whole list that is asked for while a call is open is asked for once that has ended.
func TestReloadDuringACall(t *testing.T) {
	a := startWorker(t, standin.WorkerConfig{Name: "a"})
	b := startBench(t, a.Entry("SERVING"))
	b.calls(2) // the watch is held
	b.onLoop(func() { b.s.discovery.Reload(); b.s.discovery.Reload() })
	assert.Len(t, b.discovery.Calls(), 2, "never two calls out")
	b.discovery.Set(a.Entry("SERVING")) // ends it
	assert.Equal(t, "", b.calls(3)[2])
	assert.Contains(t, b.calls(4)[3], "hold_ms=8000", "once, then the watch goes on")
}

// startBenchAt starts a scheduler at a discovery of the test's.
func startBenchAt(t *testing.T, d *standin.Discovery, known []byte) *bench {
	b := startBenchWith(t, nil, func(c *config) {
		c.Discovery = d.Addr()
		if known != nil {
			c.Known = known
		}
	})
	b.discovery = d
	return b
}

// A watch that is reset just before a worker drains, and a discovery that is down just as the watch is renewed and back while
// we pause: the drain is obeyed within the time that the settings give for asking (10 s), counted from the last call.
func TestWatchEndsBeforeADrain(t *testing.T) {
	for _, name := range []string{"reset", "down at the renewal"} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
			d := startDiscovery(t, a.Entry("SERVING"), z.Entry("SERVING"))
			let, ended := make(chan struct{}), make(chan time.Time, 1)
			d.Intercept(func(n int, w http.ResponseWriter, r *http.Request) bool {
				if n != 2 {
					return false
				}
				c, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					return false
				}
				if name == "reset" {
					<-let
					_ = c.(*net.TCPConn).SetLinger(0)
				} else { // the renewal goes out, and discovery goes down under it
					fmt.Fprint(c, "HTTP/1.1 503 Down\r\nContent-Length: 0\r\n\r\n")
				}
				c.Close()
				ended <- time.Now()
				return true
			})
			b := startBenchAt(t, d, d.Known())
			b.calls(2)
			close(let)
			at := <-ended
			d.Set(a.Entry("DRAINING"))
			require.Eventually(t, func() (is bool) { b.onLoop(func() { is = b.s.engine.ReadyWorkers() == 1 }); return is }, patience, time.Millisecond)
			assert.Less(t, d.CallTimes()[2].Sub(at), 10*time.Second)
		})
	}
}

// A reload that moves discovery while the old one is down, and while we pause after its failures: the new one is asked at
// once, for the whole list.
func TestDiscoveryMovesWhileDown(t *testing.T) {
	a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	b := startBench(t, a.Entry("SERVING"))
	b.calls(2)
	b.discovery.SetDown(true)
	require.Eventually(t, func() (is bool) { b.onLoop(func() { is = b.s.engine.Counts.ListFailed > 0 }); return is }, patience, time.Millisecond)
	second := startDiscovery(t, z.Entry("SERVING"))
	moved := time.Now()
	b.onLoop(func() { b.s.discovery.Move(second.Addr()) })
	require.Eventually(t, func() bool { return len(second.Calls()) > 1 }, patience, time.Millisecond)
	assert.Equal(t, "", second.Calls()[0])
	assert.Less(t, second.CallTimes()[0].Sub(moved), 4*time.Second)
	status, _ := b.ask("next", "view", patience)
	assert.Equal(t, 200, status)
	assert.Equal(t, []string{"next"}, z.IDs())
}
