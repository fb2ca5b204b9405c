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

// A request that arrives in full within gracePeriod of a shutdown gets an answer, even if the loop is late: both on an idle
// connection that is about to be closed, and on a new one that the scheduler has not accepted yet.
func TestStopLeavesNothingUnread(t *testing.T) {
	for _, fresh := range []bool{false, true} {
		t.Run(fmt.Sprint("fresh ", fresh), func(t *testing.T) {
			t.Parallel()
			for !stopWithUnreadRequest(t, fresh) {
				t.Log("the machine was too slow for the request to arrive within the grace period; trying again")
			}
		})
	}
}

// stopWithUnreadRequest shuts a scheduler down while its loop is blocked until the grace period is over. It reports whether the
// last request was sent within that period.
func stopWithUnreadRequest(t *testing.T, fresh bool) bool {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	ts := startScheduler(t, w.Entry("SERVING"))
	c, poller := ts.connect(), ts.connect()
	for i, client := range []*standin.ClientConn{c, poller} {
		require.NoError(t, client.Send(standin.RequestText(fmt.Sprint("warm", i), "view", 8*time.Second, "x")))
		status, _, err := client.ReadAnswer(testTimeout)
		require.NoError(t, err)
		require.Equal(t, 200, status)
	}
	blocked, resume := make(chan struct{}), make(chan struct{})
	ts.scheduler.loop.Post(func() { ts.scheduler.stop(); close(blocked); <-resume })
	<-blocked
	began := time.Now()
	// The network poller waits until the loop takes what this client has sent; until then it accepts and reads no other client.
	require.NoError(t, poller.Send("POST /"))
	require.Eventually(t, func() bool { return ts.scheduler.loop.QueueLen() > 0 }, testTimeout, time.Millisecond)
	if fresh {
		c = ts.connect()
	}
	require.NoError(t, c.Send(standin.RequestText("last", "view", 8*time.Second, "x")))
	inTime := time.Since(began) < gracePeriod-50*time.Millisecond
	time.Sleep(time.Until(began.Add(gracePeriod + 50*time.Millisecond))) // the loop is late for the end of the grace period
	close(resume)
	status, _, err := c.ReadAnswer(testTimeout)
	if inTime {
		require.NoError(t, err, "an answer, not a reset")
		assert.Contains(t, []int{200, 503}, status)
	}
	poller.Close()
	<-ts.ended
	return inTime
}

// Descriptors run short while two client connections have unread requests: an idle connection, and a new one with its first
// request. Neither may be evicted; both requests are answered.
func TestEvictionSparesUnreadRequests(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	ts := startScheduler(t, w.Entry("SERVING"))
	idle, fresh, poller := ts.connect(), ts.connect(), ts.connect()
	require.NoError(t, idle.Send(standin.RequestText("warm", "view", 8*time.Second, "x")))
	status, _, err := idle.ReadAnswer(testTimeout)
	require.NoError(t, err)
	require.Equal(t, 200, status)
	require.Eventually(t, func() (ok bool) { ts.onLoop(func() { ok = ts.scheduler.server.Pace.Counts().Peers == 3 }); return ok }, testTimeout, time.Millisecond)
	blocked, resume := make(chan struct{}), make(chan struct{})
	ts.scheduler.loop.Post(func() {
		close(blocked)
		<-resume
		limits := pace.Defaults(1 << 20)
		limits.NewPeerGrace, limits.EvictionGrace = 0, 0
		ts.scheduler.server.Pace.SetLimits(limits)
		assert.Zero(t, ts.scheduler.server.EvictClients(9, false))
	})
	<-blocked
	// The network poller waits until the loop takes what this client has sent; until then it reads no other client.
	require.NoError(t, poller.Send("POST /"))
	require.Eventually(t, func() bool { return ts.scheduler.loop.QueueLen() > 0 }, testTimeout, time.Millisecond)
	for id, c := range map[string]*standin.ClientConn{"kept": idle, "fresh": fresh} {
		require.NoError(t, c.Send(standin.RequestText(id, "view", 8*time.Second, "x")))
	}
	close(resume)
	for _, c := range []*standin.ClientConn{idle, fresh} {
		status, _, err := c.ReadAnswer(testTimeout)
		require.NoError(t, err, "an answer, not a reset")
		assert.Equal(t, 200, status)
	}
}

// A shutdown answers the requests that hanging workers leave open, and does so before the platform kills the process: a job
// that may have run fails, one that can't have run is refused.
func TestStopGivesUpInTime(t *testing.T) {
	t.Parallel()
	w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) { standin.WriteStarted(r, c) }})
	ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, func(c *config) {
		for i := range c.engine.Settings.Classes {
			c.engine.Settings.Classes[i].Deadline = 25e6
		}
	})
	hanging, waiting := ts.connect(), ts.connect()
	require.NoError(t, hanging.Send(standin.RequestText("hangs", "send", 25*time.Second, "x")))
	require.Eventually(t, func() bool { return len(w.IDs()) == 1 }, testTimeout, time.Millisecond)
	ts.discovery.Set(w.Entry("DRAINING"))
	require.Eventually(t, func() (ok bool) { ts.onLoop(func() { ok = ts.scheduler.engine.ReadyWorkers() == 0 }); return ok }, testTimeout, time.Millisecond)
	require.NoError(t, waiting.Send(standin.RequestText("waits", "send", 25*time.Second, "x")))
	ts.awaitAccepted(2)
	began := time.Now()
	ts.scheduler.loop.Post(ts.scheduler.stop)
	status, _, err := waiting.ReadAnswer(testTimeout)
	require.NoError(t, err)
	assert.Equal(t, 503, status)
	status, _, err = hanging.ReadAnswer(testTimeout)
	require.NoError(t, err)
	assert.Equal(t, 500, status)
	<-ts.ended
	assert.Less(t, time.Since(began), 10*time.Second, "well before the clients would have given up")
	assert.Equal(t, []string{"hangs"}, w.IDs())
}

// holdFinish starts each job and finishes it once release is closed.
func holdFinish(release chan struct{}) func(*http.Request, net.Conn) {
	return func(r *http.Request, c net.Conn) {
		standin.WriteStarted(r, c)
		<-release
		standin.WriteDone(r, c)
	}
}

// A shutdown begins during a dial: the job is sent when the connection comes up, and answered.
func TestStopDuringADial(t *testing.T) {
	syncPoints := &standin.SyncPoints{}
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, withoutProbes)
	syncPoints.Hold("dial")
	ts.holdDials(syncPoints, nil)
	c := ts.connect()
	require.NoError(t, c.Send(standin.RequestText("job", "send", 8*time.Second, "x")))
	awaitReached(t, syncPoints, "dial")
	ts.scheduler.loop.Do(ts.scheduler.stop)
	syncPoints.Release("dial")
	status, _, err := c.ReadAnswer(testTimeout)
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	<-ts.ended
	assert.Equal(t, []string{"job"}, w.IDs())
}

// A client goes on sending after its request, and reads its answer only when the process has ended. It must get the whole
// answer, not a reset.
func TestAnswerOutlivesTheProcess(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	d := startDiscovery(t, w.Entry("SERVING"))
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, standin.SchedulerConfig{Discovery: d.Addr(), Known: d.Known()})
	cmd, log := startTestBinary(t, "program", "GW_CONFIG="+path)
	addr := log.awaitAddr(t)
	c, err := standin.Dial(addr)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.Send(standin.RequestText("job", "view", testTimeout, "x")))
	require.Eventually(t, func() bool { return len(w.IDs()) == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, c.Send("POST /half"))
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, cmd.Wait())
	status, body, err := c.ReadAnswer(testTimeout)
	require.NoError(t, err)
	assert.Equal(t, 200, status)
	assert.Equal(t, "made of job", body)
}
