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

// The four rules on real sockets. One scheduler runs against stand-ins of discovery and of workers. Nothing here is
// judged by how long it takes.

const patience = 20 * time.Second

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

// bench is one scheduler and its surroundings.
type bench struct {
	t         *testing.T
	s         *scheduler
	addr      string
	discovery *standin.Discovery
	end       chan struct{} // closed when the loop has ended
}

func writeConfig(t *testing.T, path string, s standin.SchedulerConfig) {
	require.NoError(t, os.WriteFile(path, s.JSON(), 0o600))
}

// startBench starts a scheduler that knows these workers.
func startBench(t *testing.T, entries ...standin.Entry) *bench { return startBenchWith(t, entries) }

// startBenchWith does so with changes to its configuration.
func startBenchWith(t *testing.T, entries []standin.Entry, change ...func(*config)) *bench {
	b := &bench{t: t, end: make(chan struct{}), discovery: startDiscovery(t, entries...)}
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, standin.SchedulerConfig{Discovery: b.discovery.Addr(), Known: b.discovery.Known()})
	c, err := loadConfig(func(key string) string { return map[string]string{"GW_CONFIG": path}[key] })
	require.NoError(t, err)
	c.file = operator.Default(c.Limits.MemoryMB << 20)
	for _, f := range change {
		f(c)
	}
	b.s, err = start(c)
	require.NoError(t, err)
	b.addr = b.s.driver.Addr()
	go func() { b.s.loop.Run(); close(b.end) }()
	t.Cleanup(func() {
		select {
		case <-b.end:
		default:
			b.s.loop.Post(b.s.loop.Stop)
			<-b.end
		}
	})
	return b
}

// ask sends one request and returns status and body of its answer.
func (b *bench) ask(id, class string, budget time.Duration) (int, string) {
	status, body, err := standin.SendJob(&http.Client{Timeout: patience}, b.addr, "", id, &standin.JobKind{Class: class, Budget: budget, Body: 5})
	assert.NoError(b.t, err)
	return status, body
}

// Rule 1: every request that was taken gets its one answer, whatever the worker does, and also across SIGTERM.
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
	b := startBench(t, w.Entry("SERVING"))
	status, body := b.ask("plain", "view", patience)
	assert.Equal(t, 200, status)
	assert.Equal(t, "made of plain", body)
	status, _ = b.ask("silent", "send", 2*time.Second)
	if slices.Contains(w.IDs(), "silent") {
		assert.Equal(t, 500, status, "it may have run: no refusal")
	} else { // a machine too busy to send it in time
		assert.Equal(t, 503, status)
	}

	answered := make(chan int)
	go func() { status, _ := b.ask("late", "view", patience); answered <- status }()
	require.Eventually(t, func() bool { return slices.Contains(w.IDs(), "late") }, patience, time.Millisecond)
	b.s.loop.Post(b.s.stop)
	status, _ = b.ask("after the signal", "view", patience)
	assert.Equal(t, 200, status, "clients are served while they still come")
	close(release)
	assert.Equal(t, 200, <-answered)
	<-b.end
	assert.Zero(t, b.s.engine.OpenRequests())
}

// The door of a stopping scheduler once stayed open as long as anyone still came, and what it then took was lost at
// its end.
func TestTheDoorClosesWhoeverComes(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: holdFinish(release)})
	b := startBench(t, w.Entry("SERVING"))
	answered := make(chan int)
	go func() { status, _ := b.ask("open", "view", patience); answered <- status }()
	require.Eventually(t, func() bool { return len(w.IDs()) == 1 }, patience, time.Millisecond)
	b.s.loop.Post(b.s.stop)
	require.Eventually(t, func() bool {
		c, err := net.Dial("tcp", b.s.driver.Addr())
		if err == nil {
			c.Close()
		}
		return err != nil
	}, patience, 10*time.Millisecond)
	close(release)
	assert.Equal(t, 200, <-answered)
	<-b.end
}

// Rule 2: what may have run is sent again only if its class allows, and never while an attempt is out.
func TestNoEffectTwice(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) { c.Close() }})
	b := startBench(t, w.Entry("SERVING"))
	status, _ := b.ask("unsafe", "send", patience)
	assert.Equal(t, 500, status)
	assert.Equal(t, []string{"unsafe"}, w.IDs())

	var turned atomic.Int64
	w2 := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
		if turned.Add(1) == 1 {
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		standin.WriteAnswer(r, c)
	}})
	b = startBench(t, w2.Entry("SERVING"))
	status, _ = b.ask("turned away", "send", patience)
	assert.Equal(t, 200, status)
	assert.Equal(t, []string{"turned away", "turned away"}, w2.IDs(), "it never ran, so it may go again")
}

// Rule 3: nothing new goes to a worker once discovery has told that it drains.
func TestNothingNewToADrainingWorker(t *testing.T) {
	a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	b := startBench(t, a.Entry("SERVING"), z.Entry("SERVING"))
	b.discovery.Set(a.Entry("DRAINING"))
	require.Eventually(t, func() bool {
		told := make(chan int)
		b.s.loop.Post(func() { n := 0; b.s.engine.EachReadyAddr(func(string) { n++ }); told <- n })
		return <-told == 1
	}, patience, time.Millisecond)
	before := len(a.IDs())
	for i := range 20 {
		status, _ := b.ask(fmt.Sprint(i), "view", patience)
		assert.Equal(t, 200, status)
	}
	assert.Len(t, a.IDs(), before)
	assert.Len(t, z.IDs(), 20)
}

// Rule 4: a worker's start is a wall time; read as a moment of our clock it keeps a cold worker from work
// that nobody has yet seen a warm one carry.
func TestColdWorkerIsNotPushedOver(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	entry := w.Entry("SERVING")
	entry.SinceMS = time.Now().UnixMilli()
	b := startBench(t, entry)
	status, _ := b.ask("1", "view", 500*time.Millisecond)
	assert.Equal(t, 503, status, "the only worker is cold")
	assert.Empty(t, w.IDs())
	entry.SinceMS = time.Now().Add(-time.Hour).UnixMilli()
	b = startBench(t, entry)
	status, _ = b.ask("2", "view", patience)
	assert.Equal(t, 200, status)
}

// An almost idle fleet once refused every job of a closed loop of short ones. How fast it goes is for the benchmark.
func TestShortJobsFindRoom(t *testing.T) {
	f := startFleet(t, 4, standin.WorkerConfig{Queue: 8, TellsStart: true})
	b := startBench(t, f.Entries()...)
	kind := standin.JobKind{Class: "view", Share: 1, Task: standin.Task{Run: time.Millisecond}, Budget: 5 * time.Second}
	r := standin.Load{Target: b.addr, Seed: 1, For: time.Second, Clients: 8, Kinds: []standin.JobKind{kind}}.Run(t.Context())
	assert.Equal(t, r.Sent, r.Served, r)
	assert.Zero(t, r.Wrong)
	assert.Greater(t, r.Sent, 100)
}

// TestMain lets a test start this program as a process of its own, which signals go to.
func TestMain(m *testing.M) {
	switch os.Getenv("WELDSCALE_TEST") {
	case "program":
		os.Args = os.Args[:1] // of the test binary's flags
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

// SIGHUP once ended the program with all it had taken. It moves the watch, with a call that the old discovery
// holds or not, keeps what is open, and leaves all as it is where the new file can't be used.
func TestReload(t *testing.T) {
	release := make(chan struct{})
	a := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) { <-release; standin.WriteAnswer(r, c) }})
	z := startWorker(t, standin.WorkerConfig{Name: "z"})
	first, second := startDiscovery(t, a.Entry("SERVING")), startDiscovery(t, z.Entry("SERVING"))

	b := &bench{t: t, addr: freeAddr(t)}
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, standin.SchedulerConfig{Listen: b.addr, Discovery: first.Addr(), Known: first.Known()})
	cmd, log := program(t, "program", "GW_CONFIG="+path, "GW_DISCOVERY="+first.Addr())
	log.await(t, "serving")
	require.Eventually(t, func() bool { // until the watch is held
		return slices.ContainsFunc(first.Calls(), func(q string) bool { return strings.HasSuffix(q, "hold_ms=8000") })
	}, patience, time.Millisecond)
	answered := make(chan int)
	go func() { status, _ := b.ask("open", "view", patience); answered <- status }()
	require.Eventually(t, func() bool { return slices.Contains(a.IDs(), "open") }, patience, time.Millisecond)

	require.NoError(t, os.WriteFile(path, []byte(`{"half`), 0o600))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	log.await(t, "new configuration not taken")
	writeConfig(t, path, standin.SchedulerConfig{Listen: b.addr, Discovery: second.Addr(), Known: first.Known()})
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	require.Eventually(t, func() bool { return len(second.Calls()) > 1 }, patience, time.Millisecond)
	assert.Equal(t, "", second.Calls()[0], "the whole list: the other's index means nothing here")
	assert.Contains(t, second.Calls()[1], "from=2&", "then the watch")
	status, body := b.ask("next", "view", patience)
	assert.Equal(t, 200, status)
	assert.Equal(t, "made of next", body)
	assert.Equal(t, []string{"next"}, z.IDs())
	close(release)
	assert.Equal(t, 200, <-answered, "what was open is answered")
	require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NoError(t, cmd.Wait())
}

// logged is the log of a program that is running.
type logged struct {
	mu   sync.Mutex
	text string
	news chan struct{}
}

func (l *logged) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.text += string(b)
	select {
	case l.news <- struct{}{}:
	default:
	}
	return len(b), nil
}

func (l *logged) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text
}

func (l *logged) await(t testing.TB, text string) {
	for limit := time.After(patience); ; {
		l.mu.Lock()
		all := l.text
		l.mu.Unlock()
		if strings.Contains(all, text) {
			return
		}
		select {
		case <-l.news:
		case <-limit:
			require.Contains(t, all, text)
		}
	}
}
