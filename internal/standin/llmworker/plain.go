package llmworker

import (
	"bytes"
	"net/http"
	"strconv"
	"sync"
	"time"

	"weldscale/internal/standin/judge"
)

// slotQueue holds the slots and the bounded queue of a plain worker.
type slotQueue struct {
	inUse      chan struct{}
	mu         sync.Mutex
	waiting    int
	maxWaiting int
}

func newSlotQueue(slots, queue int) *slotQueue {
	return &slotQueue{inUse: make(chan struct{}, slots), maxWaiting: queue}
}

// enqueue adds a request to the queue. It reports false if the queue is full.
func (q *slotQueue) enqueue() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting >= q.maxWaiting && len(q.inUse) == cap(q.inUse) {
		return false
	}
	q.waiting++
	return true
}

func (q *slotQueue) dequeue() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.waiting--
}

func (q *slotQueue) load() (running, waiting int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.inUse), q.waiting
}

// servePlain queues a request of a plain worker and runs it once a slot is free.
func (w *Worker) servePlain(rw http.ResponseWriter, r *http.Request, in *incoming) {
	if !w.slots.enqueue() {
		w.reportArrival(in, false)
		w.writeNotExecuted(rw, http.StatusServiceUnavailable)
		return
	}
	w.reportArrival(in, true)
	deadline := time.NewTimer(in.remaining())
	defer deadline.Stop()
	select {
	case w.slots.inUse <- struct{}{}:
		w.slots.dequeue()
		defer func() { <-w.slots.inUse }()
	case <-deadline.C:
		w.slots.dequeue()
		w.writeNotExecuted(rw, http.StatusServiceUnavailable)
		return
	case <-r.Context().Done():
		w.slots.dequeue()
		return
	case <-w.ended:
		w.slots.dequeue()
		panic(http.ErrAbortHandler)
	}
	w.runPlain(rw, r, in, deadline)
}

// runPlain runs a request that has a slot.
func (w *Worker) runPlain(rw http.ResponseWriter, r *http.Request, in *incoming, deadline *time.Timer) {
	stamp := w.newStamp()
	w.reportRun(in, stamp, 0)
	work := time.NewTimer(w.config.Work)
	defer work.Stop()
	select {
	case <-work.C:
	case <-deadline.C:
		rw.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	case <-w.ended:
		panic(http.ErrAbortHandler)
	}
	if w.applyFault(rw, r, in.fault) {
		return
	}
	w.sendAnswer(rw, in, stamp)
}

// sendAnswer sends the answer of a plain worker, altered by the planned fault if there is one.
func (w *Worker) sendAnswer(rw http.ResponseWriter, in *incoming, stamp string) {
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
