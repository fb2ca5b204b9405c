package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/mgmt"
	"weldscale/internal/standin"
)

func withManagement(c *config) { c.Mgmt = "127.0.0.1:0" }

// callManagement sends a request to the management address and returns status and body.
func (ts *testScheduler) callManagement(method, path string) (int, string) {
	client := &http.Client{Timeout: testTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+ts.scheduler.management.Addr()+path, nil)
	require.NoError(ts.t, err)
	resp, err := client.Do(req)
	require.NoError(ts.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(ts.t, err)
	return resp.StatusCode, string(text)
}

// figures returns the counters that the management address shows.
func (ts *testScheduler) figures() (f mgmt.Figures) {
	status, text := ts.callManagement("GET", "/control/counters")
	require.Equal(ts.t, 200, status)
	require.NoError(ts.t, json.Unmarshal([]byte(text), &f))
	return f
}

// An offline worker gets no jobs, whatever the worker list says, until it is online again. The counters show it.
func TestOfflineWorkerGetsNoJobs(t *testing.T) {
	workerA, workerW := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "w"})
	ts := startSchedulerWith(t, []standin.Entry{workerA.Entry("SERVING"), workerW.Entry("SERVING")}, withManagement)
	status, _ := ts.callManagement("GET", "/control/ready")
	assert.Equal(t, 200, status)
	for _, path := range []string{"/control/workers/nobody/offline", "/control/workers/nobody/online", "/control/else"} {
		status, _ := ts.callManagement("POST", path)
		assert.Equal(t, 404, status, path)
	}
	for range 2 { // the second call changes nothing
		status, _ := ts.callManagement("POST", "/control/workers/a/offline")
		require.Equal(t, 200, status)
	}
	ts.discovery.Set(standin.Entry{Name: "a", Status: "DELETED"})
	ts.discovery.Set(workerA.Entry("SERVING")) // the updates that a restart of the worker causes
	ts.discovery.Set(standin.Entry{Name: "last", Address: "127.0.0.1:1", Status: "DRAINING"})
	require.Eventually(t, func() bool { return ts.figures().WorkersKnown == 3 }, testTimeout, time.Millisecond)
	for i := range 20 {
		status, _ := ts.ask("out"+twoLetters(i), "view", testTimeout)
		assert.Equal(t, 200, status)
	}
	assert.Empty(t, workerA.IDs())
	f := ts.figures()
	assert.Equal(t, map[string]int{"view": 20, "send": 0}, f.Served)
	assert.Equal(t, []int{20, 0, 3, 1}, []int{f.Attempts, f.InFlight, f.WorkersKnown, f.WorkersExcluded})

	status, _ = ts.callManagement("POST", "/control/workers/a/online")
	require.Equal(t, 200, status)
	for i := 0; len(workerA.IDs()) == 0 && i < 200; i++ {
		status, _ := ts.ask("back"+twoLetters(i), "view", testTimeout)
		assert.Equal(t, 200, status)
	}
	assert.NotEmpty(t, workerA.IDs())
	assert.Zero(t, ts.figures().WorkersExcluded)
	ts.scheduler.loop.Post(ts.scheduler.stop)
	require.Eventually(t, func() bool { status, _ := ts.callManagement("GET", "/control/ready"); return status == 503 }, testTimeout, time.Millisecond)
}

func twoLetters(n int) string { return string(rune('a'+n/26)) + string(rune('a'+n%26)) }

// The management address answers while other callers send nothing or only part of a request, and while the loop has a long
// queue.
func TestManagementAddressUnderLoad(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, withManagement)
	for i := range 3 * 16 {
		c, err := net.Dial("tcp", ts.scheduler.management.Addr())
		require.NoError(t, err)
		defer c.Close()
		if i%2 == 0 {
			_, _ = c.Write([]byte("GET /control/re"))
		}
	}
	status, _ := ts.callManagement("GET", "/control/ready")
	assert.Equal(t, 200, status)

	// A queue forms while the loop is busy with one task. The call runs right after that task.
	begun, release, order := make(chan struct{}), make(chan struct{}), make(chan string, 2000)
	ts.scheduler.loop.Post(func() { close(begun); <-release })
	<-begun
	for range 1000 {
		ts.scheduler.loop.Post(func() { order <- "queue" })
	}
	called := make(chan bool)
	go func() { called <- ts.scheduler.loop.DoUrgent(testTimeout, func() { order <- "call" }) }()
	require.Eventually(t, func() bool { return ts.scheduler.loop.UrgentQueueLen() == 1 }, testTimeout, time.Millisecond)
	close(release)
	assert.True(t, <-called)
	assert.Equal(t, "call", <-order)

	// A call that the loop does not reach in time is not run later.
	begun, release = make(chan struct{}), make(chan struct{})
	ts.scheduler.loop.Post(func() { close(begun); <-release })
	<-begun
	status, _ = ts.callManagement("POST", "/control/workers/a/offline")
	assert.Equal(t, 503, status)
	close(release)
	assert.Zero(t, ts.figures().WorkersExcluded)
}

// Each accepted request counts as exactly one of served, refused, failed, hung up by its client, or in flight.
func TestFiguresAddUp(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
		switch id := r.Header.Get("X-Call-Id"); {
		case strings.HasPrefix(id, "fail"):
			_, _ = c.Write([]byte("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"))
		case strings.HasPrefix(id, "stay"):
			<-release
			standin.WriteAnswer(r, c)
		default:
			standin.WriteAnswer(r, c)
		}
	}})
	ts := startSchedulerWith(t, []standin.Entry{w.Entry("SERVING")}, withManagement)
	answered := make(chan int)
	defer func() { close(release); <-answered }()
	ts.ask("ok", "view", testTimeout)
	go func() { status, _ := ts.ask("stay", "send", testTimeout); answered <- status }()
	require.Eventually(t, func() bool { return slices.Contains(w.IDs(), "stay") }, testTimeout, time.Millisecond)
	gone, err := net.Dial("tcp", ts.addr)
	require.NoError(t, err)
	_, _ = gone.Write([]byte("POST /x HTTP/1.1\r\nHost: x\r\nX-Call-Id: stay gone\r\nX-Call-Class: send\r\nX-Budget: 9000m\r\nContent-Length: 0\r\n\r\n"))
	require.Eventually(t, func() bool { return slices.Contains(w.IDs(), "stay gone") }, testTimeout, time.Millisecond)
	gone.Close()
	ts.ask("bad", "no such class", testTimeout)
	ts.ask("late", "view", time.Millisecond)
	status, _ := ts.ask("fail", "send", testTimeout)
	assert.Equal(t, 500, status)
	require.Eventually(t, func() bool { return ts.figures().InFlight == 1 }, testTimeout, time.Millisecond)
	f := ts.figures()
	assert.Equal(t, []int{1, 0, 1, 0, 0, 1}, []int{f.Served["view"], f.Served["send"], f.Refused["view"], f.Refused["send"], f.Failed["view"], f.Failed["send"]})
	assert.Equal(t, 4, f.Attempts)
	ts.scheduler.loop.Do(func() {
		c := &ts.scheduler.engine.Counts
		assert.Equal(t, c.Accepted, c.Served+c.Refused+c.Failed+c.Hangups+ts.scheduler.engine.OpenRequests())
	})
}
