// Package standin plays the parties around a scheduler, on loopback addresses alone: workers, discovery and
// clients, as docs and PROTOCOL describe them. Tests, benchmarks and trials use it; the scheduler never imports it.
// A stand-in does what its configuration says and records what it saw. It must never judge: what is right or wrong
// is for the test that uses it to say.
package standin

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Task is what a stand-in worker is asked to do. It travels in the query of a request's target, which schedulers
// pass through untouched.
type Task struct {
	Run   time.Duration // running time on a warm worker of speed 1
	Slots int           // taken while it runs; 0 counts as 1
	Size  int           // bytes of the result
}

// Query is the task as the query of a target.
func (t Task) Query() string {
	return fmt.Sprintf("run=%dus&slots=%d&size=%d", t.Run.Microseconds(), max(1, t.Slots), t.Size)
}

func readTask(u *url.URL) Task {
	q := u.Query()
	t := Task{Slots: 1}
	t.Run, _ = time.ParseDuration(q.Get("run"))
	if n, err := strconv.Atoi(q.Get("slots")); err == nil {
		t.Slots = max(1, n)
	}
	t.Size, _ = strconv.Atoi(q.Get("size"))
	return t
}

// WorkerConfig describes a worker. Zero values stand for what its comment says.
type WorkerConfig struct {
	Name  string
	Zone  string        // "here"
	Slots int           // 4
	Queue int           // jobs that wait for a slot beyond which it says full; 0: none wait
	Speed float64       // 1
	Cold  float64       // the part of its speed that a worker just started has; 1
	Warms time.Duration // how long until it has all of it
	// Refresh is how long a load report stands, Lag how old the state that it shows is at least; 0: live.
	Refresh, Lag time.Duration
	TellsStart   bool
	// Answer, if set, takes over whatever comes but probes: it writes to the connection itself.
	Answer func(r *http.Request, c net.Conn)
	// Receive is how many bytes the system may hold of what comes unread; 0: as many as it likes.
	Receive int
	// Stops, if set, are where it waits until it is let go on: "accepted", "probe" (before the answer), "job" (whole, and
	// not yet noted).
	Stops *SyncPoints
}

// ReceivedJob is one job that reached a worker whole.
type ReceivedJob struct {
	ID      string
	At      time.Time
	Started time.Time // zero: it has not
	Full    bool      // turned away
}

// Worker is a running stand-in of a worker.
type Worker struct {
	c     WorkerConfig
	ln    net.Listener
	stop  chan struct{}
	once  sync.Once // of stop
	mu    sync.Mutex
	conns map[net.Conn]struct{}
	began time.Time // its last start
	slow  float64   // how many times slower it runs just now
	quiet chan struct{}
	free  int
	queue []*waiting
	shots []shot // states, the latest last
	seen  []ReceivedJob
	asked int // probes
}

type waiting struct {
	slots int
	start chan struct{}
}

type shot struct {
	at              time.Time
	free, in, queue int
}

// StartWorker starts a worker that is warm. Close ends it.
func StartWorker(c WorkerConfig) (*Worker, error) {
	listen := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) (err error) {
		if c.Receive > 0 {
			_ = raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, c.Receive)
			})
		}
		return err
	}}
	ln, err := listen.Listen(context.Background(), "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	if c.Slots == 0 {
		c.Slots = 4
	}
	if c.Speed == 0 {
		c.Speed = 1
	}
	if c.Cold == 0 {
		c.Cold = 1
	}
	if c.Zone == "" {
		c.Zone = "here"
	}
	w := &Worker{c: c, ln: ln, stop: make(chan struct{}), conns: map[net.Conn]struct{}{}, slow: 1, free: c.Slots}
	if c.Refresh > 0 {
		w.shots = []shot{{free: c.Slots}}
		go w.refresh()
	}
	go w.accept()
	return w, nil
}

// Entry is the worker as discovery names it.
func (w *Worker) Entry(status string) Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := Entry{Name: w.c.Name, Address: w.Addr(), Zone: w.c.Zone, Type: "box", Status: status, Weight: 1}
	if !w.began.IsZero() {
		e.SinceMS = w.began.UnixMilli()
	}
	return e
}

// Addr is where it listens.
func (w *Worker) Addr() string { return w.ln.Addr().String() }

// Name is the name by which discovery knows it.
func (w *Worker) Name() string { return w.c.Name }

// Close ends the worker and its connections, once or more often.
func (w *Worker) Close() {
	w.once.Do(func() { close(w.stop) })
	w.ln.Close()
	w.breakAll()
}

// SetSlowdown makes it run that many times slower from here on; 1 is usual.
func (w *Worker) SetSlowdown(times float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slow = times
}

// Silence stops every answer: nothing is said on open connections, and new ones are taken by nobody.
func (w *Worker) Silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.quiet == nil {
		w.quiet = make(chan struct{})
	}
}

// Restart ends what runs, resets every connection, ends a silence and begins again, cold.
func (w *Worker) Restart() {
	w.mu.Lock()
	w.began = time.Now()
	if w.quiet != nil {
		close(w.quiet)
		w.quiet = nil
	}
	w.mu.Unlock()
	w.breakAll()
}

func (w *Worker) breakAll() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// ReceivedJobs returns the jobs that have come, in order of arrival.
func (w *Worker) ReceivedJobs() []ReceivedJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]ReceivedJob(nil), w.seen...)
}

// IDs returns the call ids of the jobs that have come, in order of arrival.
func (w *Worker) IDs() []string {
	ids := []string{}
	for _, s := range w.ReceivedJobs() {
		ids = append(ids, s.ID)
	}
	return ids
}

// Probes returns how many probes have come.
func (w *Worker) Probes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.asked
}

func (w *Worker) accept() {
	for {
		c, err := w.ln.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go func() {
			w.c.Stops.at("accepted")
			w.serve(c)
		}()
	}
}

func (w *Worker) serve(c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		if !w.speak() {
			return
		}
		if strings.HasPrefix(r.URL.Path, "/-/") {
			w.c.Stops.at("probe")
			w.mu.Lock()
			w.asked++
			w.mu.Unlock()
			if w.tell(c) != nil {
				return
			}
			continue
		}
		w.c.Stops.at("job")
		w.mu.Lock()
		w.seen = append(w.seen, ReceivedJob{ID: r.Header.Get("X-Call-Id"), At: time.Now()})
		n := len(w.seen) - 1
		w.mu.Unlock()
		if w.c.Answer != nil {
			w.c.Answer(r, c)
			continue
		}
		if w.work(r, c, n) != nil {
			return
		}
	}
}

// speak waits a silence out and reports whether anything may still be said.
func (w *Worker) speak() bool {
	w.mu.Lock()
	quiet := w.quiet
	w.mu.Unlock()
	if quiet == nil {
		return true
	}
	select {
	case <-quiet:
	case <-w.stop:
	}
	return false // what was open when the silence began is reset
}

// work runs one job and writes its lines.
func (w *Worker) work(r *http.Request, c net.Conn, n int) error {
	t := readTask(r.URL)
	place := w.enter(t)
	if place == nil {
		w.mu.Lock()
		w.seen[n].Full = true
		w.mu.Unlock()
		_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	select {
	case <-place.start:
	case <-w.stop:
		return net.ErrClosed
	}
	w.mu.Lock()
	w.seen[n].Started = time.Now()
	run := time.Duration(float64(t.Run) / w.speed())
	w.mu.Unlock()
	id := r.Header.Get("X-Call-Id")
	if w.c.TellsStart && w.speak() {
		// An error here does not end the work: it goes on when nobody listens any more.
		_, _ = c.Write(AppendLines([]byte(responseHead), fmt.Sprintf(`{"id":%q,"state":"started"}`, id)))
	}
	if run > 0 {
		time.Sleep(run)
	}
	w.leave(t.Slots)
	if !w.speak() {
		return net.ErrClosed
	}
	var out []byte
	if !w.c.TellsStart {
		out = []byte(responseHead)
	}
	out = AppendLines(out, fmt.Sprintf(`{"id":%q,"state":"done","result":%q}`, id, Result(id, t.Size)))
	_, err := c.Write(append(out, "0\r\n\r\n"...))
	return err
}

// Result is what a worker makes of a job.
func Result(id string, size int) string {
	made := "made of " + id
	if size > len(made) {
		made += strings.Repeat(".", size-len(made))
	}
	return made
}

const responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// AppendLines appends one chunk for each line of an answer.
func AppendLines(b []byte, lines ...string) []byte {
	for _, l := range lines {
		b = fmt.Appendf(b, "%x\r\n%s\n\r\n", len(l)+1, l)
	}
	return b
}

// WriteAnswer writes the whole answer of a job that was started and done.
func WriteAnswer(r *http.Request, c net.Conn) {
	WriteStarted(r, c)
	WriteDone(r, c)
}

// WriteStarted writes the answer of a job as far as its start.
func WriteStarted(r *http.Request, c net.Conn) {
	_, _ = c.Write(AppendLines([]byte(responseHead), fmt.Sprintf(`{"id":%q,"state":"started"}`, r.Header.Get("X-Call-Id"))))
}

// WriteDone writes the rest.
func WriteDone(r *http.Request, c net.Conn) {
	id := r.Header.Get("X-Call-Id")
	_, _ = c.Write(append(AppendLines(nil, fmt.Sprintf(`{"id":%q,"state":"done","result":%q}`, id, Result(id, 0))), "0\r\n\r\n"...))
}

// speed is the present speed; mu is held.
func (w *Worker) speed() float64 {
	warmth := 1.0
	if age := time.Since(w.began); !w.began.IsZero() && age < w.c.Warms {
		warmth = w.c.Cold + (1-w.c.Cold)*float64(age)/float64(w.c.Warms)
	}
	return w.c.Speed * warmth / w.slow
}

// enter takes a place in the queue, or none if it is full or the job can never run.
func (w *Worker) enter(t Task) *waiting {
	w.mu.Lock()
	defer w.mu.Unlock()
	fits := len(w.queue) == 0 && t.Slots <= w.free
	if t.Slots > w.c.Slots || !fits && len(w.queue) >= w.c.Queue {
		return nil
	}
	p := &waiting{slots: t.Slots, start: make(chan struct{})}
	w.queue = append(w.queue, p)
	w.next()
	return p
}

func (w *Worker) leave(slots int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.free += slots
	w.next()
}

// next starts waiting jobs in order; the first waits until it fits. mu is held.
func (w *Worker) next() {
	for len(w.queue) > 0 && w.queue[0].slots <= w.free {
		w.free -= w.queue[0].slots
		close(w.queue[0].start)
		w.queue = w.queue[1:]
	}
}

// refresh takes a picture of the state every now and then.
func (w *Worker) refresh() {
	tick := time.NewTicker(w.c.Refresh)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case now := <-tick.C:
			w.mu.Lock()
			w.shots = append(w.shots, w.shot(now))
			for len(w.shots) > 1 && now.Sub(w.shots[1].at) >= w.c.Lag {
				w.shots = w.shots[1:]
			}
			w.mu.Unlock()
		}
	}
}

func (w *Worker) shot(now time.Time) shot {
	return shot{now, w.free, w.c.Slots - w.free + len(w.queue), len(w.queue)}
}

// tell answers a probe.
func (w *Worker) tell(c net.Conn) error {
	w.mu.Lock()
	s := w.shot(time.Now())
	if len(w.shots) > 0 {
		s = w.shots[0]
	}
	w.mu.Unlock()
	body := fmt.Sprintf(`{"inflight":%d,"queue":%d,"util":%.2f,"x0":%d}`, s.in, s.queue,
		float64(w.c.Slots-s.free)/float64(w.c.Slots), s.free)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}
