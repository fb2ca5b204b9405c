package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	operator "weldscale/internal/config"
	"weldscale/internal/standin"
)

// These tests check the four rules of job dispatch over real sockets: one scheduler runs against stand-ins of discovery and
// of workers. None of them asserts how long something takes.

const testTimeout = 20 * time.Second

func startWorker(t *testing.T, c standin.WorkerConfig) *standin.Worker {
	w, err := standin.StartWorker(c)
	require.NoError(t, err)
	t.Cleanup(w.Close)
	return w
}

func startDiscovery(t *testing.T, entries ...standin.Entry) *standin.Discovery {
	d, err := standin.StartDiscovery(entries...)
	require.NoError(t, err)
	t.Cleanup(d.Close)
	return d
}

// testScheduler is the scheduler under test. If it runs in a process of its own, only t and addr are set.
type testScheduler struct {
	t         *testing.T
	scheduler *scheduler
	addr      string
	discovery *standin.Discovery // its discovery stand-in
	ended     chan struct{}      // closed when the loop has ended
}

func writeConfig(t *testing.T, path string, s standin.SchedulerConfig) {
	require.NoError(t, os.WriteFile(path, s.JSON(), 0o600))
}

// startScheduler starts a scheduler whose configuration and discovery list these workers.
func startScheduler(t *testing.T, entries ...standin.Entry) *testScheduler {
	return startSchedulerWith(t, entries)
}

// startSchedulerWith is startScheduler with changes to the configuration.
func startSchedulerWith(t *testing.T, entries []standin.Entry, change ...func(*config)) *testScheduler {
	ts := &testScheduler{t: t, ended: make(chan struct{}), discovery: startDiscovery(t, entries...)}
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, standin.SchedulerConfig{Discovery: ts.discovery.Addr(), Known: ts.discovery.Known()})
	c, err := loadConfig(func(key string) string { return map[string]string{"GW_CONFIG": path}[key] })
	require.NoError(t, err)
	c.file = operator.Default(c.Limits.MemoryMB << 20)
	for _, f := range change {
		f(c)
	}
	ts.scheduler, err = start(c)
	require.NoError(t, err)
	ts.addr = ts.scheduler.driver.Addr()
	go func() { ts.scheduler.loop.Run(); close(ts.ended) }()
	t.Cleanup(func() {
		select {
		case <-ts.ended:
		default:
			ts.scheduler.loop.Post(ts.scheduler.loop.Stop)
			<-ts.ended
		}
	})
	return ts
}

// ask sends one request and returns status and body of its answer.
func (ts *testScheduler) ask(id, class string, budget time.Duration) (int, string) {
	status, body, err := standin.SendJob(&http.Client{Timeout: testTimeout}, ts.addr, "", id, &standin.JobKind{Class: class, Budget: budget, Body: 5})
	assert.NoError(ts.t, err)
	return status, body
}

// Rule 1: each accepted request gets exactly one answer, whatever its worker does, also during a shutdown by SIGTERM.
func TestNoRequestIsDropped(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
		switch r.Header.Get("X-Call-Id") {
		case "silent":
		case "late":
			<-release
			standin.WriteAnswer(r, c)
		default:
			standin.WriteAnswer(r, c)
		}
	}})
	ts := startScheduler(t, w.Entry("SERVING"))
	status, body := ts.ask("plain", "view", testTimeout)
	assert.Equal(t, 200, status)
	assert.Equal(t, "made of plain", body)
	status, _ = ts.ask("silent", "send", 2*time.Second)
	if slices.Contains(w.IDs(), "silent") {
		assert.Equal(t, 500, status, "a job that may have run is not refused")
	} else { // the machine was too busy to send it in time
		assert.Equal(t, 503, status)
	}

	answered := make(chan int)
	go func() { status, _ := ts.ask("late", "view", testTimeout); answered <- status }()
	require.Eventually(t, func() bool { return slices.Contains(w.IDs(), "late") }, testTimeout, time.Millisecond)
	ts.scheduler.loop.Post(ts.scheduler.stop)
	status, _ = ts.ask("after the signal", "view", testTimeout)
	assert.Equal(t, 200, status, "requests that arrive early in the shutdown are served")
	close(release)
	assert.Equal(t, 200, <-answered)
	<-ts.ended
	assert.Zero(t, ts.scheduler.engine.OpenRequests())
}

// A scheduler in shutdown once left its listener open as long as clients still connected. The requests that it accepted
// meanwhile were lost when it ended.
func TestStopClosesListenerWhileClientsConnect(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: holdFinish(release)})
	ts := startScheduler(t, w.Entry("SERVING"))
	answered := make(chan int)
	go func() { status, _ := ts.ask("open", "view", testTimeout); answered <- status }()
	require.Eventually(t, func() bool { return len(w.IDs()) == 1 }, testTimeout, time.Millisecond)
	ts.scheduler.loop.Post(ts.scheduler.stop)
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", ts.scheduler.driver.Addr())
		if err == nil {
			c.Close()
		}
		return err != nil
	}, testTimeout, 10*time.Millisecond)
	close(release)
	assert.Equal(t, 200, <-answered)
	<-ts.ended
}

// Rule 2: a job that may have run is sent again only if its class allows that, and never while an attempt is in flight.
func TestNoEffectTwice(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) { c.Close() }})
	ts := startScheduler(t, w.Entry("SERVING"))
	status, _ := ts.ask("unsafe", "send", testTimeout)
	assert.Equal(t, 500, status)
	assert.Equal(t, []string{"unsafe"}, w.IDs())

	var attempts atomic.Int64
	w2 := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
		if attempts.Add(1) == 1 {
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		standin.WriteAnswer(r, c)
	}})
	ts = startScheduler(t, w2.Entry("SERVING"))
	status, _ = ts.ask("rejected by worker", "send", testTimeout)
	assert.Equal(t, 200, status)
	assert.Equal(t, []string{"rejected by worker", "rejected by worker"}, w2.IDs(), "it never ran, so it may be sent again")
}

// Rule 3: once discovery has reported that a worker drains, no new job goes to it.
func TestNothingNewToADrainingWorker(t *testing.T) {
	a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	ts := startScheduler(t, a.Entry("SERVING"), z.Entry("SERVING"))
	ts.discovery.Set(a.Entry("DRAINING"))
	require.Eventually(t, func() bool {
		ready := make(chan int)
		ts.scheduler.loop.Post(func() { n := 0; ts.scheduler.engine.EachReadyAddr(func(string) { n++ }); ready <- n })
		return <-ready == 1
	}, testTimeout, time.Millisecond)
	before := len(a.IDs())
	for i := range 20 {
		status, _ := ts.ask(fmt.Sprint(i), "view", testTimeout)
		assert.Equal(t, 200, status)
	}
	assert.Len(t, a.IDs(), before)
	assert.Len(t, z.IDs(), 20)
}

// Rule 4: a worker in its cold start gets no load that no warm worker has been seen to bear yet. Its start time comes from the
// wall clock and is converted to the scheduler's monotonic clock.
func TestColdWorkerIsNotOverloaded(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	entry := w.Entry("SERVING")
	entry.SinceMS = time.Now().UnixMilli()
	ts := startScheduler(t, entry)
	status, _ := ts.ask("1", "view", 500*time.Millisecond)
	assert.Equal(t, 503, status, "the only worker is cold")
	assert.Empty(t, w.IDs())
	entry.SinceMS = time.Now().Add(-time.Hour).UnixMilli()
	ts = startScheduler(t, entry)
	status, _ = ts.ask("2", "view", testTimeout)
	assert.Equal(t, 200, status)
}

// A closed loop of short jobs was once refused entirely by an almost idle fleet. BenchmarkServe measures the throughput.
func TestShortJobsFindRoom(t *testing.T) {
	f := startWorkerFleet(t, 4, standin.WorkerConfig{Queue: 8, TellsStart: true})
	ts := startScheduler(t, f.Entries()...)
	kind := standin.JobKind{Class: "view", Share: 1, Task: standin.Task{Run: time.Millisecond}, Budget: 5 * time.Second}
	r := standin.Load{Target: ts.addr, Seed: 1, For: time.Second, Clients: 8, Kinds: []standin.JobKind{kind}}.Run(t.Context())
	assert.Equal(t, r.Sent, r.Served, r)
	assert.Zero(t, r.Wrong)
	assert.Greater(t, r.Sent, 100)
}

// TestMain lets a test start this test binary as the program, a worker or a proxy, in a process that it can send signals to.
func TestMain(m *testing.M) {
	switch os.Getenv("WELDSCALE_TEST") {
	case "program":
		os.Args = os.Args[:1] // without the test binary's flags
		if args := os.Getenv("WELDSCALE_ARGS"); args != "" {
			os.Args = append(os.Args, strings.Split(args, "\n")...)
		}
		if file := os.Getenv("WELDSCALE_FILE"); file != "" {
			os.Args = append(os.Args, "serve", "--config", file)
		}
		main()
		os.Exit(0)
	case "worker":
		w, err := standin.StartWorker(standin.WorkerConfig{Name: "w", Slots: 1 << 20, TellsStart: true})
		if err != nil {
			os.Exit(1)
		}
		fmt.Fprintln(os.Stderr, "serving at", w.Addr(), "now")
		select {}
	case "proxy":
		plainProxy()
		os.Exit(1)
	}
	os.Exit(m.Run())
}

// SIGHUP once ended the program with all its open requests. It must move the watch to the new discovery, even while the old
// one holds a call, keep the open requests, and change nothing if the new file is invalid.
func TestReload(t *testing.T) {
	release := make(chan struct{})
	workerA := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) { <-release; standin.WriteAnswer(r, c) }})
	workerZ := startWorker(t, standin.WorkerConfig{Name: "z"})
	first, second := startDiscovery(t, workerA.Entry("SERVING")), startDiscovery(t, workerZ.Entry("SERVING"))

	ts := &testScheduler{t: t, addr: freeAddr(t)}
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, standin.SchedulerConfig{Listen: ts.addr, Discovery: first.Addr(), Known: first.Known()})
	cmd, log := startTestBinary(t, "program", "GW_CONFIG="+path, "GW_DISCOVERY="+first.Addr())
	log.await(t, "serving")
	require.Eventually(t, func() bool { // until discovery holds the watch
		return slices.ContainsFunc(first.Calls(), func(q string) bool { return strings.HasSuffix(q, "hold_ms=8000") })
	}, testTimeout, time.Millisecond)
	answered := make(chan int)
	go func() { status, _ := ts.ask("open", "view", testTimeout); answered <- status }()
	require.Eventually(t, func() bool { return slices.Contains(workerA.IDs(), "open") }, testTimeout, time.Millisecond)

	require.NoError(t, os.WriteFile(path, []byte(`{"half`), 0o600))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	log.await(t, "new configuration not taken")
	writeConfig(t, path, standin.SchedulerConfig{Listen: ts.addr, Discovery: second.Addr(), Known: first.Known()})
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return len(second.Calls()) > 1 }, testTimeout, time.Millisecond)
	assert.Equal(t, "", second.Calls()[0], "the whole list, as the index of the other discovery does not apply here")
	assert.Contains(t, second.Calls()[1], "from=2&", "then the watch")
	status, body := ts.ask("next", "view", testTimeout)
	assert.Equal(t, 200, status)
	assert.Equal(t, "made of next", body)
	assert.Equal(t, []string{"next"}, workerZ.IDs())
	close(release)
	assert.Equal(t, 200, <-answered, "the open request is answered")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, cmd.Wait())
}

// programLog collects the log of a running program.
type programLog struct {
	mu      sync.Mutex
	text    string
	changed chan struct{}
}

func (l *programLog) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text += string(b)
	select {
	case l.changed <- struct{}{}:
	default:
	}
	return len(b), nil
}

func (l *programLog) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text
}

func (l *programLog) await(t testing.TB, text string) {
	for limit := time.After(testTimeout); ; {
		l.mu.Lock()
		all := l.text
		l.mu.Unlock()
		if strings.Contains(all, text) {
			return
		}
		select {
		case <-l.changed:
		case <-limit:
			require.Contains(t, all, text)
		}
	}
}
