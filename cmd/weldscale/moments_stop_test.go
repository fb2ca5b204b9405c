package main

import (
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/pace"
	"weldscale/internal/standin"
)

// A request that has come whole within the grace of a stop gets an answer though the loop is late: on a kept connection
// that is about to be closed, and on one that waits with the system to be accepted.
func TestStopLeavesNothingUnread(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		t.Run(fmt.Sprint("fresh ", fresh), func(t *testing.T) {
			t.Parallel()
			for !stopWithUnread(t, fresh) {
				t.Log("the machine was too slow for the request to come within the grace; once more")
			}
		})
	}
}

// stopWithUnread stops a scheduler whose loop does not come to anything until its grace is over, and reports whether the
// last request came within it.
func stopWithUnread(t *testing.T, fresh bool) bool {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	b := startBench(t, w.Entry("SERVING"))
	c, poller := b.call(), b.call()
	for i, x := range []*standin.ClientConn{c, poller} {
		require.NoError(t, x.Send(standin.RequestText(fmt.Sprint("warm", i), "view", 8*time.Second, "x")))
		status, _, err := x.ReadAnswer(patience)
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	at, let := make(chan struct{}), make(chan struct{})
	b.s.loop.Post(func() { b.s.stop(); close(at); <-let })
	<-at
	began := time.Now()
	// The poller waits with what one client has sent until the loop takes it: it accepts and reads nobody else.
	require.NoError(t, poller.Send("POST /"))
	require.Eventually(t, func() bool { return b.s.loop.QueueLen() > 0 }, patience, time.Millisecond)
	if fresh {
		c = b.call()
	}
	require.NoError(t, c.Send(standin.RequestText("last", "view", 8*time.Second, "x")))
	within := time.Since(began) < gracePeriod-50*time.Millisecond
	time.Sleep(time.Until(began.Add(gracePeriod + 50*time.Millisecond))) // the loop comes late to the end of the grace
	close(let)
	status, _, err := c.ReadAnswer(patience)
	if within {
		require.NoError(t, err, "an answer, not a reset")
		assert.Contains(t, []int{200, 503}, status)
	}
	poller.Close()
	<-b.end
	return within
}

// Connections are let go as descriptors run short, while a request has come on them that nobody has read: on one that was kept
// and on one that never brought any. Both are answered.
func TestRoomIsNotMadeOverARequest(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	b := startBench(t, w.Entry("SERVING"))
	kept, fresh, poller := b.call(), b.call(), b.call()
	require.NoError(t, kept.Send(standin.RequestText("warm", "view", 8*time.Second, "x")))
	status, _, err := kept.ReadAnswer(patience)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Eventually(t, func() (is bool) { b.onLoop(func() { is = b.s.server.Pace.Counts().Peers == 3 }); return is }, patience, time.Millisecond)
	at, let := make(chan struct{}), make(chan struct{})
	b.s.loop.Post(func() {
		close(at)
		<-let
		l := pace.Defaults(1 << 20)
		l.NewPeerGrace, l.EvictionGrace = 0, 0
		b.s.server.Pace.SetLimits(l)
		assert.Zero(t, b.s.server.EvictClients(9, false))
	})
	<-at
	// The poller waits with what one client has sent until the loop takes it: it reads nobody else.
	require.NoError(t, poller.Send("POST /"))
	require.Eventually(t, func() bool { return b.s.loop.QueueLen() > 0 }, patience, time.Millisecond)
	for id, c := range map[string]*standin.ClientConn{"kept": kept, "fresh": fresh} {
		require.NoError(t, c.Send(standin.RequestText(id, "view", 8*time.Second, "x")))
	}
	close(let)
	for _, c := range []*standin.ClientConn{kept, fresh} {
		status, _, err := c.ReadAnswer(patience)
		require.NoError(t, err, "an answer, not a reset")
		assert.Equal(t, 200, status)
	}
}

// A stop answers what hanging workers leave, before the platform kills: what may have run fails, what can't have is refused.
func TestStopGivesUpInTime(t *testing.T) {
	t.Parallel()
	w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) { standin.WriteStarted(r, c) }})
	b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, func(c *config) {
		for i := range c.engine.Settings.Classes {
			c.engine.Settings.Classes[i].Deadline = 25e6
		}
	})
	hanging, waiting := b.call(), b.call()
	require.NoError(t, hanging.Send(standin.RequestText("hangs", "send", 25*time.Second, "x")))
	require.Eventually(t, func() bool { return len(w.IDs()) == 1 }, patience, time.Millisecond)
	b.discovery.Set(w.Entry("DRAINING"))
	require.Eventually(t, func() (is bool) { b.onLoop(func() { is = b.s.engine.ReadyWorkers() == 0 }); return is }, patience, time.Millisecond)
	require.NoError(t, waiting.Send(standin.RequestText("waits", "send", 25*time.Second, "x")))
	b.arrived(2)
	began := time.Now()
	b.s.loop.Post(b.s.stop)
	status, _, err := waiting.ReadAnswer(patience)
	require.NoError(t, err)
	assert.Equal(t, 503, status)
	status, _, err = hanging.ReadAnswer(patience)
	require.NoError(t, err)
	assert.Equal(t, 500, status)
	<-b.end
	assert.Less(t, time.Since(began), 10*time.Second, "long before their clients would have given up")
	assert.Equal(t, []string{"hangs"}, w.IDs())
}

// holdFinish starts each job and ends it once it is let.
func holdFinish(release chan struct{}) func(*http.Request, net.Conn) {
	return func(r *http.Request, c net.Conn) {
		standin.WriteStarted(r, c)
		<-release
		standin.WriteDone(r, c)
	}
}

// A stop finds a dial under way: the job is sent once that comes up, and answered.
func TestStopDuringADial(t *testing.T) {
	stops := &standin.SyncPoints{}
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes)
	stops.Hold("dial")
	b.heldDials(stops, nil)
	c := b.call()
	require.NoError(t, c.Send(standin.RequestText("job", "send", 8*time.Second, "x")))
	reached(t, stops, "dial")
	b.s.loop.Do(b.s.stop)
	stops.Release("dial")
	status, _, err := c.ReadAnswer(patience)
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	<-b.end
	assert.Equal(t, []string{"job"}, w.IDs())
}

// A client that has gone on sending does not take its answer before the process is gone: it gets it whole, no reset over it.
func TestAnswerOutlivesTheProcess(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	d := startDiscovery(t, w.Entry("SERVING"))
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, standin.SchedulerConfig{Discovery: d.Addr(), Known: d.Known()})
	cmd, log := program(t, "program", "GW_CONFIG="+path)
	addr := log.listens(t)
	c, err := standin.Dial(addr)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.Send(standin.RequestText("job", "view", patience, "x")))
	require.Eventually(t, func() bool { return len(w.IDs()) == 1 }, patience, time.Millisecond)
	require.NoError(t, c.Send("POST /half"))
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, cmd.Wait())
	status, body, err := c.ReadAnswer(patience)
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	assert.Equal(t, "made of job", body)
}
