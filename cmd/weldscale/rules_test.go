package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
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
)

// The four rules on real sockets. One scheduler runs against a stub of discovery and stub workers, each a
// list of what it has seen and one function that answers. Nothing here is judged by how long it takes.

const patience = 20 * time.Second

const settings = `{"balancers":1,"zone":0,"zones":["here"],"kinds":["box"],"discovery":"subscribe","resolution_us":4000,
 "limits":{"probes":true,"cancel":true,"max_attempts":4,"retry_after":true,"max_retry_after_us":2000000,
  "connect_timeout_us":250000,"conn_idle_us":10000000},
 "obligations":{"answer_slack_us":16000,"ask_within_us":10000000,"cold_from":0.3,"cold_us":600000000,
  "drain_grace_us":300000,"overload_for_us":1500000,"tip_multiple":4.0},
 "report":{"fields":["active","cpu","x0"],"how":"pull"},"family_info":{"report_x0":"free_slots","tells_start":true},
 "classes":[
  {"name":"view","effect":"read_like","aim_us":5000000,"deadline_us":9000000,"worth":1,"aim_stretch":2},
  {"name":"send","effect":"non_idempotent","aim_us":5000000,"deadline_us":9000000,"worth":1,"aim_stretch":2}]}`

// worker is a stub; answer gets the request and the connection to write on, and may keep it as long as it likes.
type worker struct {
	addr   string
	answer func(r *http.Request, c net.Conn)
	mu     sync.Mutex
	jobs   []string // call ids, in order of arrival
}

func (w *worker) seen() []string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]string{}, w.jobs...)
}

// say writes a response of chunks, one line each.
func say(c net.Conn, lines ...string) {
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for _, l := range lines {
		fmt.Fprintf(c, "%x\r\n%s\n\r\n", len(l)+1, l)
	}
	fmt.Fprint(c, "0\r\n\r\n")
}

func done(r *http.Request, c net.Conn) {
	id := r.Header.Get("X-Call-Id")
	say(c, `{"id":"`+id+`","state":"started"}`, `{"id":"`+id+`","state":"done","result":"made of `+id+`"}`)
}

// listen serves HTTP by hand: net/http would hide what happens to a connection.
func listen(t *testing.T, answer func(r *http.Request, c net.Conn)) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				for in := bufio.NewReader(c); ; {
					r, err := http.ReadRequest(in)
					if err != nil {
						return
					}
					body, _ := io.ReadAll(r.Body)
					r.Body = io.NopCloser(strings.NewReader(string(body)))
					answer(r, c)
				}
			}()
		}
	}()
	return ln.Addr().String()
}

func startWorker(t *testing.T, answer func(r *http.Request, c net.Conn)) *worker {
	w := &worker{answer: answer}
	w.addr = listen(t, func(r *http.Request, c net.Conn) {
		if r.URL.Path == "/-/load" {
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nContent-Length: 30\r\n\r\n"+`{"active":0,"cpu":0,"x0":4000}`)
			return
		}
		w.mu.Lock()
		w.jobs = append(w.jobs, r.Header.Get("X-Call-Id"))
		w.mu.Unlock()
		w.answer(r, c)
	})
	return w
}

// bench is one scheduler and its surroundings.
type bench struct {
	t    *testing.T
	s    *scheduler
	url  string
	news chan string   // lists that a held watch answers with
	end  chan struct{} // closed when the loop has ended
}

func entry(name string, w *worker, status string, since time.Time) string {
	ms := int64(0)
	if !since.IsZero() {
		ms = since.UnixMilli()
	}
	return fmt.Sprintf(`{"name":%q,"address":%q,"zone":"here","type":"box","status":%q,"weight":1,"since_ms":%d}`,
		name, w.addr, status, ms)
}

func writeConfig(t *testing.T, path, listen, discovery string, entries ...string) {
	text, err := json.Marshal(map[string]any{"name": "n0", "listen": listen, "discovery": discovery, "seed": "1",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "settings": json.RawMessage(settings),
		"known": json.RawMessage(`{"index":7,"snapshot":true,"endpoints":[` + strings.Join(entries, ",") + `]}`)})
	require.NoError(t, err)
	require.NoError(t, os.WriteFile(path, text, 0o600))
}

func startBench(t *testing.T, entries ...string) *bench {
	b := &bench{t: t, news: make(chan string, 8), end: make(chan struct{})}
	var index atomic.Int64 // a call that waits and the next one run side by side
	index.Store(7)
	discovery := listen(t, func(r *http.Request, c net.Conn) {
		list := ""
		if r.URL.Query().Get("hold_ms") != "1" {
			list = <-b.news
		}
		body := fmt.Sprintf(`{"index":%d,"snapshot":false,"endpoints":[%s]}`, index.Add(1), list)
		fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	})
	t.Cleanup(func() { close(b.news) })
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, "127.0.0.1:0", discovery, entries...)
	c, err := load(func(key string) string { return map[string]string{"GW_CONFIG": path}[key] })
	require.NoError(t, err)
	b.s, err = start(c)
	require.NoError(t, err)
	b.url = "http://" + b.s.driver.Addr()
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
	r, err := http.NewRequest("POST", b.url+"/api/1", strings.NewReader("sheet"))
	require.NoError(b.t, err)
	r.Header.Set("X-Call-Id", id)
	r.Header.Set("X-Call-Class", class)
	r.Header.Set("X-Budget", fmt.Sprintf("%dm", budget.Milliseconds()))
	resp, err := (&http.Client{Timeout: patience}).Do(r)
	if !assert.NoError(b.t, err) {
		return 0, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	assert.NoError(b.t, err)
	return resp.StatusCode, string(body)
}

// Rule 1: every request that was taken gets its one answer, whatever the worker does, and also across SIGTERM.
func TestNoRequestIsDropped(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, func(r *http.Request, c net.Conn) {
		switch r.Header.Get("X-Call-Id") {
		case "silent":
		case "late":
			<-release
			done(r, c)
		default:
			done(r, c)
		}
	})
	b := startBench(t, entry("a", w, "SERVING", time.Time{}))
	status, body := b.ask("plain", "view", patience)
	assert.Equal(t, 200, status)
	assert.Equal(t, "made of plain", body)
	status, _ = b.ask("silent", "send", 2*time.Second)
	if slices.Contains(w.seen(), "silent") {
		assert.Equal(t, 500, status, "it may have run: no refusal")
	} else { // a machine too busy to send it in time
		assert.Equal(t, 503, status)
	}

	answered := make(chan int)
	go func() { status, _ := b.ask("late", "view", patience); answered <- status }()
	require.Eventually(t, func() bool { return slices.Contains(w.seen(), "late") }, patience, time.Millisecond)
	b.s.loop.Post(b.s.stop)
	status, _ = b.ask("after the signal", "view", patience)
	assert.Equal(t, 200, status, "clients are served while they still come")
	close(release)
	assert.Equal(t, 200, <-answered)
	<-b.end
	assert.Zero(t, b.s.e.Open())
}

// The door of a stopping scheduler once stayed open as long as anyone still came, and what it then took was lost at
// its end.
func TestTheDoorClosesWhoeverComes(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, func(r *http.Request, c net.Conn) { <-release; done(r, c) })
	b := startBench(t, entry("a", w, "SERVING", time.Time{}))
	answered := make(chan int)
	go func() { status, _ := b.ask("open", "view", patience); answered <- status }()
	require.Eventually(t, func() bool { return len(w.seen()) == 1 }, patience, time.Millisecond)
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
	w := startWorker(t, func(r *http.Request, c net.Conn) { c.Close() })
	b := startBench(t, entry("a", w, "SERVING", time.Time{}))
	status, _ := b.ask("unsafe", "send", patience)
	assert.Equal(t, 500, status)
	assert.Equal(t, []string{"unsafe"}, w.seen())

	var turned atomic.Int64
	w2 := startWorker(t, func(r *http.Request, c net.Conn) {
		if turned.Add(1) == 1 {
			fmt.Fprint(c, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
			return
		}
		done(r, c)
	})
	b = startBench(t, entry("a", w2, "SERVING", time.Time{}))
	status, _ = b.ask("turned away", "send", patience)
	assert.Equal(t, 200, status)
	assert.Equal(t, []string{"turned away", "turned away"}, w2.seen(), "it never ran, so it may go again")
}

// Rule 3: nothing new goes to a worker once discovery has told that it drains.
func TestNothingNewToADrainingWorker(t *testing.T) {
	a, z := startWorker(t, done), startWorker(t, done)
	b := startBench(t, entry("a", a, "SERVING", time.Time{}), entry("z", z, "SERVING", time.Time{}))
	b.news <- entry("a", a, "DRAINING", time.Time{})
	require.Eventually(t, func() bool {
		told := make(chan int)
		b.s.loop.Post(func() { n := 0; b.s.e.Each(func(string) { n++ }); told <- n })
		return <-told == 1
	}, patience, time.Millisecond)
	before := len(a.seen())
	for i := range 20 {
		status, _ := b.ask(fmt.Sprint(i), "view", patience)
		assert.Equal(t, 200, status)
	}
	assert.Len(t, a.seen(), before)
	assert.Len(t, z.seen(), 20)
}

// Rule 4: a worker's start is a wall time; read as a moment of our clock it keeps a cold worker from work
// that nobody has yet seen a warm one carry.
func TestColdWorkerIsNotPushedOver(t *testing.T) {
	cold, warm := startWorker(t, done), startWorker(t, done)
	b := startBench(t, entry("c", cold, "SERVING", time.Now()))
	status, _ := b.ask("1", "view", 500*time.Millisecond)
	assert.Equal(t, 503, status, "the only worker is cold")
	assert.Empty(t, cold.seen())
	b = startBench(t, entry("w", warm, "SERVING", time.Now().Add(-time.Hour)))
	status, _ = b.ask("2", "view", patience)
	assert.Equal(t, 200, status)
}

// TestMain lets a test start this program as a process of its own, which signals go to.
func TestMain(m *testing.M) {
	if os.Getenv("WELDSCALE_TEST") == "program" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// SIGHUP once ended the program with all it had taken. It moves the watch, with a call that the old discovery
// holds or not, keeps what is open, and leaves all as it is where the new file can't be used.
func TestReload(t *testing.T) {
	release := make(chan struct{})
	a := startWorker(t, func(r *http.Request, c net.Conn) { <-release; done(r, c) })
	z := startWorker(t, done)
	listing := func(called chan<- string, hold <-chan struct{}, list ...string) string {
		return listen(t, func(r *http.Request, c net.Conn) {
			called <- r.URL.RawQuery
			if strings.Contains(r.URL.RawQuery, "hold_ms") && !strings.HasSuffix(r.URL.RawQuery, "hold_ms=1") {
				<-hold
				return
			}
			body := `{"index":2,"snapshot":true,"endpoints":[` + strings.Join(list, ",") + `]}`
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
		})
	}
	end := make(chan struct{})
	defer close(end)
	calls := [2]chan string{make(chan string, 100), make(chan string, 100)}
	entryA, entryZ := entry("a", a, "SERVING", time.Time{}), entry("z", z, "SERVING", time.Time{})
	first, second := listing(calls[0], end, entryA), listing(calls[1], end, entryZ)

	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	b := &bench{t: t, url: "http://" + ln.Addr().String()}
	path := filepath.Join(t.TempDir(), "config.json")
	writeConfig(t, path, ln.Addr().String(), first, entryA)
	ln.Close()
	log := &logged{news: make(chan struct{}, 1)}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), "WELDSCALE_TEST=program", "GW_CONFIG="+path, "GW_DISCOVERY="+first)
	cmd.Stderr = log
	require.NoError(t, cmd.Start())
	defer cmd.Process.Kill()
	log.await(t, "serving")
	for q := range calls[0] { // until the watch is held
		if strings.HasSuffix(q, "hold_ms=8000") {
			break
		}
	}
	answered := make(chan int)
	go func() { status, _ := b.ask("open", "view", patience); answered <- status }()
	require.Eventually(t, func() bool { return slices.Contains(a.seen(), "open") }, patience, time.Millisecond)

	require.NoError(t, os.WriteFile(path, []byte(`{"half`), 0o600))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	log.await(t, "new configuration not taken")
	writeConfig(t, path, ln.Addr().String(), second, entryA)
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	assert.Equal(t, "", <-calls[1], "the whole list: the other's index means nothing here")
	assert.Contains(t, <-calls[1], "from=2&", "then the watch")
	status, body := b.ask("next", "view", patience)
	assert.Equal(t, 200, status)
	assert.Equal(t, "made of next", body)
	assert.Equal(t, []string{"next"}, z.seen())
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

func (l *logged) await(t *testing.T, text string) {
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
