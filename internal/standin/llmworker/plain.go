package llmworker

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"time"

	"weldscale/internal/standin/judge"
)

// places are the slots and the queue of a plain worker.
type places struct {
	slots chan struct{}
	mu    sync.Mutex
	wait  int
	most  int
}

func newPlaces(slots, queue int) *places {
	return &places{slots: make(chan struct{}, slots), most: queue}
}

// enqueue lines up for a slot; false means that the queue is full.
func (p *places) enqueue() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.wait >= p.most && len(p.slots) == cap(p.slots) {
		return false
	}
	p.wait++
	return true
}

func (p *places) dequeue() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.wait--
}

func (p *places) load() (running, waiting int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.slots), p.wait
}

// servePlain works on a request of a plain worker.
func (w *Worker) servePlain(rw http.ResponseWriter, r *http.Request, in *incoming) {
	if !w.plain.enqueue() {
		w.arrived(in, false)
		w.notExecuted(rw, http.StatusServiceUnavailable)
		return
	}
	w.arrived(in, true)
	deadline := time.NewTimer(in.left())
	defer deadline.Stop()
	select {
	case w.plain.slots <- struct{}{}:
		w.plain.dequeue()
		defer func() { <-w.plain.slots }()
	case <-deadline.C:
		w.plain.dequeue()
		w.notExecuted(rw, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		w.plain.dequeue()
		return
	case <-w.crashed:
		w.plain.dequeue()
		panic(http.ErrAbortHandler)
	}
	w.work(rw, r, in, deadline)
}

// work runs a request that has its slot.
func (w *Worker) work(rw http.ResponseWriter, r *http.Request, in *incoming, deadline *time.Timer) {
	stamp := w.stamp()
	w.ran(in, stamp, 0)
	work := time.NewTimer(w.config.Work)
	defer work.Stop()
	select {
	case <-work.C:
	case <-deadline.C:
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	case <-w.crashed:
		panic(http.ErrAbortHandler)
	}
	if w.misbehave(rw, r, in.fault) {
		return
	}
	w.answer(rw, in, stamp)
}

// answer sends the answer of a plain worker, or what the planned fault makes of it.
func (w *Worker) answer(rw http.ResponseWriter, in *incoming, stamp string) {
	body := bytes.Repeat([]byte(stamp+" "), w.config.AnswerBytes/(len(stamp)+1)+1)[:w.config.AnswerBytes]
	header := rw.Header()
	header.Set("Response-Signature", stamp)
	header.Set("Content-Type", "application/octet-stream")
	w.config.Judge.MadeAnswer(judge.WorkerAnswer{ID: in.id, Stamp: stamp, Status: http.StatusOK, Digest: judge.Digest(body)})
	if in.fault == FaultDuplicateAnswer {
		w.answerTwice(rw, header, body)
		return
	}
	header.Set("Content-Length", strconv.Itoa(len(body)))
	if in.fault == FaultTruncate {
		_, _ = rw.Write(body[:len(body)/2])
		_ = http.NewResponseController(rw).Flush()
		panic(http.ErrAbortHandler)
	}
	_, _ = rw.Write(body)
}
