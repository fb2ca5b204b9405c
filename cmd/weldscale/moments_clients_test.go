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

// open is how many requests are in hand.
func (b *bench) open() (n int) {
	b.onLoop(func() { n = b.s.openRequests() })
	return n
}

// A client that leaves while its request waits for room takes it along.
func TestClientLeavesWaitingForRoom(t *testing.T) {
	quietly(t, func(t *testing.T, away func(*standin.ClientConn), change func(*config)) {
		w := startWorker(t, standin.WorkerConfig{Name: "a", Slots: 1, TellsStart: true})
		b := startBenchWith(t, []standin.Entry{w.Entry("DRAINING")}, change)
		c := b.call()
		require.NoError(t, c.Send(standin.RequestText("gone", "view", 8*time.Second, "x")))
		b.arrived(1)
		away(c)
		b.settled()
		b.discovery.Set(w.Entry("SERVING"))
		status, _ := b.ask("next", "view", patience)
		assert.Equal(t, 200, status)
		assert.Equal(t, []string{"next"}, w.IDs())
	})
}

// ... while its worker is asked for its load.
func TestClientLeavesDuringTheProbe(t *testing.T) {
	quietly(t, func(t *testing.T, away func(*standin.ClientConn), change func(*config)) {
		stops := &standin.SyncPoints{}
		stops.Hold("probe")
		w := startWorker(t, standin.WorkerConfig{Name: "a", Stops: stops})
		b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, change)
		c := b.call()
		require.NoError(t, c.Send(standin.RequestText("gone", "view", 8*time.Second, "x")))
		reached(t, stops, "probe")
		away(c)
		b.settled()
		stops.Release("probe")
		status, _ := b.ask("next", "view", patience)
		assert.Equal(t, 200, status)
		assert.Equal(t, []string{"next"}, w.IDs())
	})
}

// ... while a connection to its worker is being opened. What was booked for it is free at once, not when the dial ends.
func TestClientLeavesDuringTheDial(t *testing.T) {
	quietly(t, func(t *testing.T, away func(*standin.ClientConn), change func(*config)) {
		stops := &standin.SyncPoints{}
		w := startWorker(t, standin.WorkerConfig{Name: "a"})
		b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, change, withoutProbes)
		stops.Hold("dial")
		b.heldDials(stops, nil)
		c := b.call()
		require.NoError(t, c.Send(standin.RequestText("gone", "send", 8*time.Second, "x")))
		reached(t, stops, "dial")
		away(c)
		b.settled()
		b.onLoop(func() {
			assert.Equal(t, 1, b.s.engine.Counts.Outcomes[decide.NotSent]+b.s.engine.Counts.Outcomes[decide.Cancelled], "the attempt is over while the dial is under way")
		})
		stops.Release("dial")
		status, _ := b.ask("next", "view", patience)
		assert.Equal(t, 200, status)
		assert.Equal(t, []string{"next"}, w.IDs())
	})
}

// withoutProbes has a request pushed in the turn of the loop in which it came.
func withoutProbes(c *config) { c.engine.Settings.CanProbe = false }

// ... while a part of its request waits here, since the system takes no more: its last byte never goes out.
func TestClientLeavesDuringTheWrite(t *testing.T) {
	quietly(t, func(t *testing.T, away func(*standin.ClientConn), change func(*config)) {
		stops := &standin.SyncPoints{}
		stops.Hold("accepted") // nothing is read
		w := startWorker(t, standin.WorkerConfig{Name: "a", Stops: stops, Receive: 4 << 10})
		b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, change, withoutProbes)
		b.heldDials(stops, func(c netpoll.Connection) {
			_ = unix.SetsockoptInt(c.(netpoll.Conn).Fd(), unix.SOL_SOCKET, unix.SO_SNDBUF, 4<<10)
		})
		c := b.call()
		require.NoError(t, c.Send(standin.RequestText("gone", "view", 8*time.Second, strings.Repeat("x", 60<<10))))
		reached(t, stops, "accepted")
		b.arrived(1)
		require.Eventually(t, func() (is bool) { b.onLoop(func() { is = b.s.driver.Unsent() > 0 }); return is }, patience, time.Millisecond)
		away(c)
		b.settled()
		b.onLoop(func() { assert.Zero(t, b.s.driver.Unsent(), "nothing of it waits any more") })
		stops.Release("accepted")
		status, _ := b.ask("next", "view", patience)
		assert.Equal(t, 200, status)
		assert.Equal(t, []string{"next"}, w.IDs())
	})
}

// ... before its request was read: behind a long queue of the loop it comes together with its client's end.
func TestClientLeavesBeforeItIsRead(t *testing.T) {
	quietly(t, func(t *testing.T, away func(*standin.ClientConn), change func(*config)) {
		w := startWorker(t, standin.WorkerConfig{Name: "a"})
		b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, change, withoutProbes)
		status, _ := b.ask("first", "view", patience) // its connection to the worker is kept: nothing is left to wait for
		assert.Equal(t, 200, status)
		c := b.call()
		b.onLoop(func() {})
		free := b.held()
		require.NoError(t, c.Send(standin.RequestText("gone", "view", 8*time.Second, "x")))
		require.Eventually(t, func() bool { return b.s.loop.QueueLen() > 0 }, patience, time.Millisecond)
		away(c) // on the loopback its end is there by the time that the call returns
		free()
		b.arrived(2)
		b.settled()
		status, _ = b.ask("next", "view", patience)
		assert.Equal(t, 200, status)
		assert.Equal(t, []string{"first", "next"}, w.IDs())
	})
}

// ... while it is the one that its service's pool bears: who comes meanwhile is refused at once, not held, and the place is free
// again once, with the id's and the service's own counts.
func TestClientLeavesItsPlaceInAPool(t *testing.T) {
	for name, away := range leave {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			stops := &standin.SyncPoints{}
			stops.Hold("probe")
			w := startWorker(t, standin.WorkerConfig{Name: "w", Stops: stops})
			b := startBenchWith(t, nil, func(c *config) { c.file = readFile(t, block("shop", "  limits { open = 1 }\n", w)) })
			job := func(id string) string {
				return strings.Replace(standin.RequestText(id, "view", 8*time.Second, "x"), "app.svc", "shop.example.org", 1)
			}
			shop := func() (open, engine, begun int) {
				b.onLoop(func() {
					v := b.s.services["shop"]
					open, engine, begun = v.jobs.Pool.InFlight(), v.engine.OpenRequests(), v.jobs.Pool.Counts.Admitted
				})
				return
			}
			gone, other := b.call(), b.call()
			require.NoError(t, gone.Send(job("gone")))
			reached(t, stops, "probe")
			require.NoError(t, other.Send(job("early")))
			status, body, err := other.ReadAnswer(patience)
			require.NoError(t, err)
			assert.Equal(t, "503 too many in hand\n", fmt.Sprint(status, " ", body))
			away(gone)
			require.Eventually(t, func() bool { open, engine, begun := shop(); return open == 0 && engine == 0 && begun == 1 }, patience, time.Millisecond)
			stops.Release("probe")
			for _, id := range []string{"next", "last"} { // the place is free once, and once more
				require.NoError(t, other.Send(job(id)))
				status, _, err = other.ReadAnswer(patience)
				require.NoError(t, err)
				assert.Equal(t, 200, status)
			}
			assert.Equal(t, []string{"next", "last"}, w.IDs())
			open, engine, begun := shop()
			assert.Equal(t, []int{0, 0, 3}, []int{open, engine, begun})
		})
	}
}

// 200 clients that leave in the same instant: none of their requests is sent, and all that was booked is free once.
func TestBurstOfClientsLeaves(t *testing.T) {
	stops := &standin.SyncPoints{}
	stops.Hold("probe")
	w := startWorker(t, standin.WorkerConfig{Name: "a", Slots: 400, Stops: stops})
	b := startBench(t, w.Entry("SERVING"))
	const n = 200
	calls := make([]*standin.ClientConn, n)
	for i := range calls {
		calls[i] = b.call()
		require.NoError(t, calls[i].Send(standin.RequestText(fmt.Sprint("gone", i), "view", 8*time.Second, "x")))
	}
	b.arrived(n)
	free := b.held()
	for i, c := range calls {
		[]func(*standin.ClientConn){(*standin.ClientConn).Close, (*standin.ClientConn).Reset, (*standin.ClientConn).HalfClose}[i%3](c)
	}
	free()
	b.settled()
	b.onLoop(func() {
		assert.Equal(t, n, b.s.engine.Counts.Hangups)
		assert.Zero(t, b.s.engine.Counts.Pushes)
	})
	stops.Release("probe")
	status, _ := b.ask("next", "view", patience)
	assert.Equal(t, 200, status)
	for _, id := range w.IDs() { // a slow machine may have it tried again
		assert.Equal(t, "next", id)
	}
}

// The worker's last line and the client's end in one turn of the loop, either first: one outcome, and the worker's connection
// is kept or closed but never in doubt.
func TestAnswerAgainstDeparture(t *testing.T) {
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
			b := startBench(t, w.Entry("SERVING"))
			c := b.call()
			require.NoError(t, c.Send(standin.RequestText("both", "view", 8*time.Second, "x")))
			require.Eventually(t, func() bool { return len(w.IDs()) == 1 }, patience, time.Millisecond)
			b.onLoop(func() {})
			free := b.held()
			comes := func(n int) {
				require.Eventually(t, func() bool { return b.s.loop.QueueLen() >= n }, patience, time.Millisecond)
			}
			if answerFirst {
				close(finish)
				comes(1)
				c.Close()
			} else {
				c.Close()
				comes(1)
				close(finish)
				require.Eventually(t, written.Load, patience, time.Millisecond)
			}
			free()
			b.settled()
			status, _ := b.ask("next", "view", patience)
			assert.Equal(t, 200, status)
			assert.Equal(t, []string{"both", "next"}, w.IDs())
			b.onLoop(func() {
				n := b.s.engine.Counts
				assert.Equal(t, n.Accepted, n.Served+n.Hangups+n.Refused+n.Failed)
				assert.Zero(t, n.Refused+n.Failed)
			})
		})
	}
}

// Wherever a worker breaks an attempt, and whatever the class allows: the rule's starts and no more, counted at the workers.
func TestNeverTwoStarts(t *testing.T) {
	// Whether what each breaks may have run, by what had gone out.
	breaks := map[string]struct {
		answer func(r *http.Request, c net.Conn)
		ran    bool
	}{
		"after the last byte": {func(r *http.Request, c net.Conn) { c.Close() }, true},
		"reset after it":      {func(r *http.Request, c net.Conn) { _ = c.(*net.TCPConn).SetLinger(0); c.Close() }, true},
		"in mid-answer":       {func(r *http.Request, c net.Conn) { standin.WriteStarted(r, c); c.Close() }, true},
		"failed": {func(r *http.Request, c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 500 Failed\r\nContent-Length: 0\r\n\r\n")
		}, true},
		"turned away": {func(r *http.Request, c net.Conn) {
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		}, false},
	}
	for effect, set := range effects {
		for name, broken := range breaks {
			t.Run(effect+", "+name, func(t *testing.T) {
				t.Parallel()
				var first atomic.Bool
				var at atomic.Value // the name of the worker that broke it
				answer := func(worker string) func(r *http.Request, c net.Conn) {
					return func(r *http.Request, c net.Conn) {
						if first.CompareAndSwap(false, true) {
							at.Store(worker)
							broken.answer(r, c)
							return
						}
						standin.WriteAnswer(r, c)
					}
				}
				a := startWorker(t, standin.WorkerConfig{Name: "a", Answer: answer("a")})
				z := startWorker(t, standin.WorkerConfig{Name: "z", Zone: "there", Answer: answer("z")})
				ea, ez := a.Entry("SERVING"), z.Entry("SERVING")
				ez.Group = 1 // a cell of its own
				b := startBenchWith(t, []standin.Entry{ea, ez}, twoZones, func(c *config) { set(&c.engine.Settings.Classes[0]) })
				c := b.call()
				require.NoError(t, c.Send(standin.RequestText("job", "view", 6*time.Second, "x", "Idempotency-Key: k")))
				status, _, err := c.ReadAnswer(patience)
				require.NoError(t, err)
				starts := len(a.IDs()) + len(z.IDs())
				switch {
				case broken.ran && effect == "once":
					assert.Equal(t, 500, status)
					assert.Equal(t, 1, starts)
				case broken.ran && (effect == "key, cell" || effect == "key, zone"):
					assert.LessOrEqual(t, min(len(a.IDs()), len(z.IDs())), 0, "the other cell or zone does not know the key")
				default:
					assert.Contains(t, []int{200, 503}, status)
					assert.Equal(t, status == 200, starts == 2)
				}
			})
		}
	}
}

// The first worker says nothing of a job. A second copy goes out beside it only where the settings and the class's effect allow
// that, and inside the key's scope; elsewhere nothing starts while the first is out on an open connection.
func TestSecondCopies(t *testing.T) {
	for effect, set := range effects {
		for _, copies := range []bool{false, true} {
			for _, cancel := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, copies %v, cancel %v", effect, copies, cancel), func(t *testing.T) {
					t.Parallel()
					var mu sync.Mutex
					var out net.Conn // of the first attempt, and the worker that has it
					at, beside, elsewhere := "", 0, 0
					answer := func(worker string) func(r *http.Request, c net.Conn) {
						return func(r *http.Request, c net.Conn) {
							mu.Lock()
							first := out == nil
							if first {
								out, at = c, worker
							} else {
								if open(out) {
									beside++
								}
								if worker != at {
									elsewhere++
								}
							}
							mu.Unlock()
							if !first {
								standin.WriteAnswer(r, c)
							}
						}
					}
					a := startWorker(t, standin.WorkerConfig{Name: "a", Answer: answer("a")})
					z := startWorker(t, standin.WorkerConfig{Name: "z", Zone: "there", Answer: answer("z")})
					ea, ez := a.Entry("SERVING"), z.Entry("SERVING")
					ez.Group = 1 // a cell of its own
					b := startBenchWith(t, []standin.Entry{ea, ez}, twoZones, func(c *config) {
						set(&c.engine.Settings.Classes[0])
						c.engine.Settings.SecondCopies, c.engine.Settings.CanCancel = copies, cancel
					})
					c := b.call()
					require.NoError(t, c.Send(standin.RequestText("job", "view", 4*time.Second, "x", "Idempotency-Key: k")))
					status, _, err := c.ReadAnswer(patience)
					require.NoError(t, err)
					mu.Lock()
					defer mu.Unlock()
					starts := len(a.IDs()) + len(z.IDs())
					if effect == "once" {
						assert.Equal(t, 1, starts)
					}
					if effect == "key, cell" || effect == "key, zone" {
						assert.Zero(t, elsewhere, "the other cell or zone does not know the key")
					}
					if !copies {
						assert.Zero(t, beside, "one at a time")
					} else if effect == "read_like" || effect == "key, all" {
						// A machine too slow for reports to be fresh sends none; whom the first leaves unserved only a copy serves.
						assert.Equal(t, status == 200, starts == 2)
					}
				})
			}
		}
	}
}

// open reports whether the other side has neither ended nor reset a connection of a stand-in.
func open(c net.Conn) bool {
	raw, err := c.(*net.TCPConn).SyscallConn()
	if err != nil {
		return false
	}
	p := []unix.PollFd{{Events: unix.POLLRDHUP}}
	err = raw.Control(func(fd uintptr) { p[0].Fd = int32(fd); _, err = unix.Poll(p, 0) })
	return err == nil && p[0].Revents == 0
}

// An attempt waits for a descriptor of its service's part; its client leaves. It is out of every account, and the descriptor
// that comes free is another's.
func TestClientLeavesWaitingForADescriptor(t *testing.T) {
	for name, away := range leave {
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
			b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes, func(c *config) { c.engine.Settings.CanCancel = false })
			dials := b.s.driver.Dialer(1)
			b.onLoop(func() { b.s.workers.Dialer = dials })
			holds, gone := b.call(), b.call()
			require.NoError(t, holds.Send(standin.RequestText("holds", "view", 8*time.Second, "x")))
			require.Eventually(t, func() bool { return len(w.IDs()) == 1 }, patience, time.Millisecond)
			require.NoError(t, gone.Send(standin.RequestText("gone", "view", 8*time.Second, "x")))
			require.Eventually(t, func() (is bool) { b.onLoop(func() { is = b.s.engine.Counts.Pushes == 2 }); return is }, patience, time.Millisecond)
			away(gone)
			require.Eventually(t, func() bool { return b.open() == 1 }, patience, time.Millisecond)
			b.onLoop(func() { assert.Equal(t, 1, b.s.engine.Counts.Outcomes[decide.NotSent]) })
			close(release)
			status, _, err := holds.ReadAnswer(patience)
			require.NoError(t, err)
			assert.Equal(t, 200, status)
			status, _ = b.ask("next", "view", patience)
			assert.Equal(t, 200, status)
			assert.Equal(t, []string{"holds", "next"}, w.IDs())
			assert.Equal(t, 1, dials.OpenConns())
		})
	}
}

// A client that leaves with half of its answer taken ends its connection, and nothing else.
func TestClientLeavesWithHalfAnAnswer(t *testing.T) {
	for name, away := range leave {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := startWorker(t, standin.WorkerConfig{Name: "a"})
			b := startBench(t, w.Entry("SERVING"))
			c := b.call()
			job := strings.Replace(standin.RequestText("big", "view", 8*time.Second, "x"), "/api/1", "/api/1?run=1us&slots=1&size=200000", 1)
			require.NoError(t, c.Send(job))
			require.NoError(t, c.ReadN(1000))
			b.settled()
			away(c)
			require.Eventually(t, func() (is bool) { b.onLoop(func() { is = b.s.server.Pace.Counts().Peers == 0 }); return is }, patience, time.Millisecond)
			b.onLoop(func() { assert.Zero(t, b.s.driver.Unsent()) })
			status, _ := b.ask("next", "view", patience)
			assert.Equal(t, 200, status)
		})
	}
}
