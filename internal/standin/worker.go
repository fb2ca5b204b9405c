// Package standin implements the programs around a scheduler, on loopback addresses only: workers, discovery and
// clients, as docs and PROTOCOL describe them. Tests, benchmarks and trials use it; the scheduler never imports it.
// A stand-in does what its configuration says and records what it saw. It must not judge: the test that uses it
// decides what is right or wrong.
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

// Task is what a stand-in worker is asked to do. It is sent in the query of a request's target, which schedulers
// forward unchanged.
type Task struct {
	Run   time.Duration // running time on a warm worker with speed 1
	Slots int           // slots it takes while it runs; 0 counts as 1
	Size  int           // length of the result in bytes
}

// Query returns the task as the query of a request's target.
func (t Task) Query() string {
	return fmt.Sprintf("run=%dus&slots=%d&size=%d", t.Run.Microseconds(), max(1, t.Slots), t.Size)
}

func parseTask(u *url.URL) Task {
	q := u.Query()
	t := Task{Slots: 1}
	t.Run, _ = time.ParseDuration(q.Get("run"))
	if n, err := strconv.Atoi(q.Get("slots")); err == nil {
		t.Slots = max(1, n)
	}
	t.Size, _ = strconv.Atoi(q.Get("size"))
	return t
}

// WorkerConfig describes a worker. A zero field means the default in its comment.
type WorkerConfig struct {
	Name  string
	Zone  string        // default "here"
	Slots int           // default 4
	Queue int           // how many jobs may wait for a slot; more are rejected as full; 0: none may wait
	Speed float64       // default 1
	Cold  float64       // share of its speed that a worker has right after a restart; default 1
	Warms time.Duration // time after a restart until it has its full speed
	// Refresh is the interval between updates of the load report, Lag the minimum age of the state in it. If Refresh is 0,
	// each report shows the present state.
	Refresh, Lag time.Duration
	TellsStart   bool // it sends a line when a job starts
	// Answer, if set, handles all requests but probes. It writes to the connection itself.
	Answer func(r *http.Request, c net.Conn)
	// Receive is the size of the sockets' receive buffer in bytes; 0: the system's default.
	Receive int
	// Stops, if set, are its sync points: "accepted" (a connection), "probe" (before its answer) and "job" (received in
	// full, not yet recorded).
	Stops *SyncPoints
}

// ReceivedJob is one job that a worker received in full.
type ReceivedJob struct {
	ID      string
	At      time.Time
	Started time.Time // zero: not started
	Full    bool      // rejected: the queue was full, or the job too large
}

// Worker is a running stand-in of a worker.
type Worker struct {
	config    WorkerConfig
	listener  net.Listener
	stop      chan struct{}
	closeOnce sync.Once // closes stop
	mu        sync.Mutex
	conns     map[net.Conn]struct{}
	restarted time.Time     // time of the last restart; zero: none
	slowdown  float64       // how many times slower it runs at present
	silence   chan struct{} // not nil while the worker is silent; closed by Restart
	freeSlots int
	queue     []*queuedJob
	reports   []report // oldest first
	received  []ReceivedJob
	probes    int // how many probes have come
}

type queuedJob struct {
	slots int
	start chan struct{}
}

// report is the worker's load at some moment.
type report struct {
	at                          time.Time
	freeSlots, inFlight, queued int
}

// StartWorker starts a warm worker. Close stops it.
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
	w := &Worker{config: c, listener: ln, stop: make(chan struct{}), conns: map[net.Conn]struct{}{}, slowdown: 1, freeSlots: c.Slots}
	if c.Refresh > 0 {
		w.reports = []report{{freeSlots: c.Slots}}
		go w.refreshReports()
	}
	go w.accept()
	return w, nil
}

// Entry returns the worker's entry for discovery.
func (w *Worker) Entry(status string) Entry {
	w.mu.Lock()
	defer w.mu.Unlock()
	e := Entry{Name: w.config.Name, Address: w.Addr(), Zone: w.config.Zone, Type: "box", Status: status, Weight: 1}
	if !w.restarted.IsZero() {
		e.SinceMS = w.restarted.UnixMilli()
	}
	return e
}

// Addr returns the address that it listens on.
func (w *Worker) Addr() string { return w.listener.Addr().String() }

// Name returns the worker's name in discovery.
func (w *Worker) Name() string { return w.config.Name }

// Close stops the worker and resets its connections. It may be called more than once.
func (w *Worker) Close() {
	w.closeOnce.Do(func() { close(w.stop) })
	w.listener.Close()
	w.resetConns()
}

// SetSlowdown makes the worker run factor times slower from now on; 1 is its usual speed.
func (w *Worker) SetSlowdown(factor float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowdown = factor
}

// Silence makes the worker answer nothing any more, on open and new connections, until Restart.
func (w *Worker) Silence() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.silence == nil {
		w.silence = make(chan struct{})
	}
}

// Restart makes the worker cold, resets every connection and ends a silence. Jobs that run keep their slots until their
// running time is over.
func (w *Worker) Restart() {
	w.mu.Lock()
	w.restarted = time.Now()
	if w.silence != nil {
		close(w.silence)
		w.silence = nil
	}
	w.mu.Unlock()
	w.resetConns()
}

func (w *Worker) resetConns() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

// ReceivedJobs returns the jobs received so far, in order of arrival.
func (w *Worker) ReceivedJobs() []ReceivedJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]ReceivedJob(nil), w.received...)
}

// IDs returns the call ids of the jobs received so far, in order of arrival.
func (w *Worker) IDs() []string {
	ids := []string{}
	for _, j := range w.ReceivedJobs() {
		ids = append(ids, j.ID)
	}
	return ids
}

// Probes returns how many probes the worker has received.
func (w *Worker) Probes() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.probes
}

func (w *Worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = struct{}{}
		w.mu.Unlock()
		go func() {
			w.config.Stops.wait("accepted")
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
		if !w.waitOutSilence() {
			return
		}
		if strings.HasPrefix(r.URL.Path, "/-/") {
			w.config.Stops.wait("probe")
			w.mu.Lock()
			w.probes++
			w.mu.Unlock()
			if w.answerProbe(c) != nil {
				return
			}
			continue
		}
		w.config.Stops.wait("job")
		w.mu.Lock()
		w.received = append(w.received, ReceivedJob{ID: r.Header.Get("X-Call-Id"), At: time.Now()})
		index := len(w.received) - 1
		w.mu.Unlock()
		if w.config.Answer != nil {
			w.config.Answer(r, c)
			continue
		}
		if w.runJob(r, c, index) != nil {
			return
		}
	}
}

// waitOutSilence blocks while the worker is silent. It reports whether the connection may still be used.
func (w *Worker) waitOutSilence() bool {
	w.mu.Lock()
	silence := w.silence
	w.mu.Unlock()
	if silence == nil {
		return true
	}
	select {
	case <-silence:
	case <-w.stop:
	}
	return false // Restart and Close reset the connections that were open during the silence
}

// runJob runs the job at index in received and writes the lines of its answer.
func (w *Worker) runJob(r *http.Request, c net.Conn, index int) error {
	t := parseTask(r.URL)
	queued := w.enqueue(t)
	if queued == nil {
		w.mu.Lock()
		w.received[index].Full = true
		w.mu.Unlock()
		_, err := io.WriteString(c, "HTTP/1.1 503 Full\r\nX-Rejected: 1\r\nContent-Length: 0\r\n\r\n")
		return err
	}
	select {
	case <-queued.start:
	case <-w.stop:
		return net.ErrClosed
	}
	w.mu.Lock()
	w.received[index].Started = time.Now()
	run := time.Duration(float64(t.Run) / w.speed())
	w.mu.Unlock()
	id := r.Header.Get("X-Call-Id")
	if w.config.TellsStart && w.waitOutSilence() {
		// The job goes on after an error here, since a worker does not stop when its client has gone.
		_, _ = c.Write(AppendLines([]byte(responseHead), fmt.Sprintf(`{"id":%q,"state":"started"}`, id)))
	}
	if run > 0 {
		time.Sleep(run)
	}
	w.releaseSlots(t.Slots)
	if !w.waitOutSilence() {
		return net.ErrClosed
	}
	var out []byte
	if !w.config.TellsStart {
		out = []byte(responseHead)
	}
	out = AppendLines(out, fmt.Sprintf(`{"id":%q,"state":"done","result":%q}`, id, Result(id, t.Size)))
	_, err := c.Write(append(out, "0\r\n\r\n"...))
	return err
}

// Result returns the result of a job, padded to size bytes.
func Result(id string, size int) string {
	result := "made of " + id
	if size > len(result) {
		result += strings.Repeat(".", size-len(result))
	}
	return result
}

const responseHead = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// AppendLines appends each line of an answer as one chunk.
func AppendLines(b []byte, lines ...string) []byte {
	for _, l := range lines {
		b = fmt.Appendf(b, "%x\r\n%s\n\r\n", len(l)+1, l)
	}
	return b
}

// WriteAnswer writes the complete answer of a job: started and done.
func WriteAnswer(r *http.Request, c net.Conn) {
	WriteStarted(r, c)
	WriteDone(r, c)
}

// WriteStarted writes the first part of an answer: the job has started.
func WriteStarted(r *http.Request, c net.Conn) {
	_, _ = c.Write(AppendLines([]byte(responseHead), fmt.Sprintf(`{"id":%q,"state":"started"}`, r.Header.Get("X-Call-Id"))))
}

// WriteDone writes the rest of an answer: the job is done.
func WriteDone(r *http.Request, c net.Conn) {
	id := r.Header.Get("X-Call-Id")
	_, _ = c.Write(append(AppendLines(nil, fmt.Sprintf(`{"id":%q,"state":"done","result":%q}`, id, Result(id, 0))), "0\r\n\r\n"...))
}

// speed returns the present speed. The caller holds mu.
func (w *Worker) speed() float64 {
	warmth := 1.0
	if age := time.Since(w.restarted); !w.restarted.IsZero() && age < w.config.Warms {
		warmth = w.config.Cold + (1-w.config.Cold)*float64(age)/float64(w.config.Warms)
	}
	return w.config.Speed * warmth / w.slowdown
}

// enqueue adds a job to the queue. It returns nil if the queue is full or the job needs more slots than the worker has.
func (w *Worker) enqueue(t Task) *queuedJob {
	w.mu.Lock()
	defer w.mu.Unlock()
	startsNow := len(w.queue) == 0 && t.Slots <= w.freeSlots
	if t.Slots > w.config.Slots || !startsNow && len(w.queue) >= w.config.Queue {
		return nil
	}
	job := &queuedJob{slots: t.Slots, start: make(chan struct{})}
	w.queue = append(w.queue, job)
	w.startQueued()
	return job
}

func (w *Worker) releaseSlots(slots int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.freeSlots += slots
	w.startQueued()
}

// startQueued starts queued jobs in order, until the first one that needs more slots than are free. The caller holds mu.
func (w *Worker) startQueued() {
	for len(w.queue) > 0 && w.queue[0].slots <= w.freeSlots {
		w.freeSlots -= w.queue[0].slots
		close(w.queue[0].start)
		w.queue = w.queue[1:]
	}
}

// refreshReports records the load every Refresh. It keeps the latest report that is at least Lag old, and all newer ones.
func (w *Worker) refreshReports() {
	tick := time.NewTicker(w.config.Refresh)
	defer tick.Stop()
	for {
		select {
		case <-w.stop:
			return
		case now := <-tick.C:
			w.mu.Lock()
			w.reports = append(w.reports, w.currentReport(now))
			for len(w.reports) > 1 && now.Sub(w.reports[1].at) >= w.config.Lag {
				w.reports = w.reports[1:]
			}
			w.mu.Unlock()
		}
	}
}

// currentReport returns the present load. The caller holds mu.
func (w *Worker) currentReport(now time.Time) report {
	return report{now, w.freeSlots, w.config.Slots - w.freeSlots + len(w.queue), len(w.queue)}
}

// answerProbe sends the oldest report kept, or the present load if reports are not refreshed.
func (w *Worker) answerProbe(c net.Conn) error {
	w.mu.Lock()
	load := w.currentReport(time.Now())
	if len(w.reports) > 0 {
		load = w.reports[0]
	}
	w.mu.Unlock()
	body := fmt.Sprintf(`{"inflight":%d,"queue":%d,"util":%.2f,"x0":%d}`, load.inFlight, load.queued,
		float64(w.config.Slots-load.freeSlots)/float64(w.config.Slots), load.freeSlots)
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
	return err
}
