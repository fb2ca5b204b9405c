package llmworker

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"weldscale/internal/standin/engine"
	"weldscale/internal/standin/judge"
)

// serveModel submits a request to the engine: for prefill only, for prefill and decode, or for decode with KV memory that is
// fetched from another worker.
func (w *Worker) serveModel(rw http.ResponseWriter, r *http.Request, in *incoming) {
	job := engine.Job{ID: fmt.Sprintf("%s#%d", in.id, w.stamps.Add(1)), Model: in.model, Parts: in.prompt, Output: in.output,
		Done: min(in.resumeAfter, in.output-1), Priority: in.priority, Deadline: w.engineDeadline(in), PrefillOnly: in.prefillOnly,
		Fetched: in.kvFrom != ""}
	if job.Fetched {
		if reason := w.check(job); reason != engine.Accepted {
			w.reject(rw, in, reason)
			return
		}
		readyAt, fetched := w.fetchMemory(in)
		if !fetched {
			w.reportArrival(in, false)
			w.writeNotExecuted(rw, http.StatusServiceUnavailable)
			return
		}
		job.ReadyAt = readyAt
	}
	queue, reason := w.driver.submit(job)
	if reason != engine.Accepted {
		w.reject(rw, in, reason)
		return
	}
	defer w.driver.cancel(job.ID)
	w.reportArrival(in, true)
	s := &stream{worker: w, responseWriter: rw, incoming: in}
	s.writeEvents(r, queue)
}

func (w *Worker) check(job engine.Job) (reason engine.Rejection) {
	w.driver.withEngine(func(e *engine.Engine, _ time.Duration) { reason = e.Check(job) })
	return reason
}

func (w *Worker) reject(rw http.ResponseWriter, in *incoming, reason engine.Rejection) {
	if reason == engine.RejectedStage {
		w.config.Judge.Arrived(judge.Arrival{ID: in.id, Service: w.config.Service, Worker: w.id, At: in.began, Misdirected: true})
		w.writeNotExecuted(rw, http.StatusMisdirectedRequest)
		return
	}
	w.reportArrival(in, false)
	w.writeNotExecuted(rw, http.StatusServiceUnavailable)
}

// The factors by which the distance multiplies the time of a KV transfer.
const (
	sameZone    = 1
	crossZone   = 2
	crossRegion = 10
)

// fetchMemory takes the KV handle from its worker and reserves the transfer. It returns the time at which the transfer ends.
func (w *Worker) fetchMemory(in *incoming) (readyAt time.Duration, ok bool) {
	address, handle, _ := strings.Cut(in.kvFrom, "/")
	source := w.config.Neighbours.find(address)
	if source == nil || source.driver == nil || source == w {
		return 0, false
	}
	w.driver.withEngine(func(e *engine.Engine, now time.Duration) { ok = e.CanTransfer(now) })
	if !ok {
		return 0, false
	}
	factor := sameZone
	switch {
	case source.config.Region != w.config.Region:
		factor = crossRegion
	case source.config.Zone != w.config.Zone:
		factor = crossZone
	}
	var taken engine.TakenHandle
	source.driver.withEngine(func(e *engine.Engine, now time.Duration) { taken, ok = e.TakeHandle(now, handle, factor) })
	if !ok {
		return 0, false
	}
	prefilledFor, _, _ := strings.Cut(taken.Job, "#")
	w.config.Judge.HandleUsed(prefilledFor, in.id)
	w.driver.withEngine(func(e *engine.Engine, now time.Duration) {
		readyAt = e.ReserveTransfer(now, taken.Wait, taken.Tokens, factor)
	})
	return readyAt, true
}

// stream writes the answer to one job.
type stream struct {
	worker         *Worker
	responseWriter http.ResponseWriter
	incoming       *incoming
	stamp          string // empty until the first token
	events         int    // events of tokens so far
	held           []byte // the answer so far, if it is to be sent twice
}

// writeEvents writes the job's events to the client until the job ends.
func (s *stream) writeEvents(r *http.Request, queue *eventQueue) {
	deadline := time.NewTimer(s.incoming.remaining())
	defer deadline.Stop()
	for {
		select {
		case <-queue.ready:
		case <-r.Context().Done():
			return
		case <-s.worker.ended:
			s.abort()
		case <-deadline.C:
			s.expire(queue)
			return
		}
		for _, event := range queue.take() {
			if done := s.writeEvent(r, event); done {
				return
			}
		}
	}
}

// writeEvent writes one event and reports whether it was the last.
func (s *stream) writeEvent(r *http.Request, event engine.Event) (done bool) {
	switch event.Kind {
	case engine.KindNotExecuted:
		s.worker.writeNotExecuted(s.responseWriter, http.StatusServiceUnavailable)
	case engine.KindPrefilled:
		s.writePrefillAnswer(event)
	case engine.KindTokens:
		if s.stamp == "" {
			s.writeHeaders(event)
			if s.worker.applyFault(s.responseWriter, r, s.incoming.fault) {
				return true
			}
		}
		return s.writeTokens(event)
	}
	if s.held != nil {
		s.worker.answerTwice(s.responseWriter, s.responseWriter.Header(), s.held)
	}
	return true
}

func (s *stream) writePrefillAnswer(event engine.Event) {
	s.responseWriter.Header().Set("Content-Type", "application/json")
	answer := fmt.Sprintf(`{"KvHandle":%q,"Tokens":%d,"Version":1}`, event.Handle, event.Tokens)
	if s.incoming.fault.spoilsAnswer() {
		s.worker.config.Judge.AnswerAborted(s.incoming.id)
		answer = spoiledPrefillAnswer(s.incoming.fault, answer)
	}
	_, _ = s.responseWriter.Write([]byte(answer))
}

// writeHeaders sets the headers and reports the run to the judge: a request counts as run from its first token.
func (s *stream) writeHeaders(event engine.Event) {
	s.stamp = s.worker.newStamp()
	s.worker.reportRun(s.incoming, s.stamp, event.From-1)
	header := s.responseWriter.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Response-Signature", s.stamp)
	header.Set("Versions", "1")
}

// writeTokens writes an event of tokens and reports whether the stream ends with it.
func (s *stream) writeTokens(event engine.Event) (done bool) {
	piece := judge.Piece{Stamp: s.stamp, From: event.From, To: event.To, Total: s.incoming.output}
	s.worker.config.Judge.MadePiece(piece)
	text := FormatEvent(piece)
	s.events++
	switch {
	case s.events != spoiledEvent:
	case s.incoming.fault == FaultTruncate:
		s.write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	case s.incoming.fault.spoilsAnswer():
		return s.writeSpoiled(text)
	}
	s.write(text)
	return false
}

func (s *stream) write(text string) {
	if s.incoming.fault == FaultDuplicateAnswer {
		s.held = append(s.held, text...)
		return
	}
	_, _ = s.responseWriter.Write([]byte(text))
	_ = http.NewResponseController(s.responseWriter).Flush()
}

// abort ends the stream within an event, as a crash does.
func (s *stream) abort() {
	if s.stamp != "" {
		s.write("id: 9")
	}
	panic(http.ErrAbortHandler)
}

// expire ends a request at its deadline. If the request was still queued, the engine has reported that it did not run.
func (s *stream) expire(queue *eventQueue) {
	if s.stamp != "" {
		panic(http.ErrAbortHandler)
	}
	for _, event := range queue.take() {
		if event.Kind == engine.KindNotExecuted {
			s.worker.writeNotExecuted(s.responseWriter, http.StatusServiceUnavailable)
			return
		}
	}
	s.responseWriter.WriteHeader(http.StatusGatewayTimeout)
}

// FormatEvent formats a piece as an event of a stream. The event's id is the number of the last token.
func FormatEvent(piece judge.Piece) string {
	return fmt.Sprintf("id: %d\ndata: %s %d-%d/%d\n\n", piece.To, piece.Stamp, piece.From, piece.To, piece.Total)
}

// ParseEvent parses the output of FormatEvent without the blank line at its end.
func ParseEvent(text string) (judge.Piece, bool) {
	var piece judge.Piece
	var id int
	lines := strings.Split(text, "\n")
	if len(lines) > 0 && strings.HasPrefix(lines[0], "versions:") {
		lines = lines[1:]
	}
	if len(lines) != 2 {
		return piece, false
	}
	if _, err := fmt.Sscanf(lines[0], "id: %d", &id); err != nil {
		return piece, false
	}
	stamp, span, _ := strings.Cut(strings.TrimPrefix(lines[1], "data: "), " ")
	piece.Stamp = stamp
	if _, err := fmt.Sscanf(span, "%d-%d/%d", &piece.From, &piece.To, &piece.Total); err != nil {
		return piece, false
	}
	return piece, id == piece.To && "data: "+stamp+" "+span == lines[1] && FormatEvent(piece) == strings.Join(lines, "\n")+"\n\n"
}

func (w *Worker) serveReport(rw http.ResponseWriter, r *http.Request) {
	w.probes.Add(1)
	w.setCommonHeaders(rw, r)
	report := w.driver.report()
	report.Models = []engine.Model{{Name: "m", Version: 1, Adapters: []string{}}}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(report)
}

func (w *Worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	w.setCommonHeaders(rw, r)
	var order engine.Order
	if !w.matchesExpected(r) {
		w.writeNotExecuted(rw, http.StatusMisdirectedRequest)
		return
	}
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		rw.WriteHeader(http.StatusBadRequest)
		return
	}
	if order.Holder != "" && order.FenceToken != nil {
		w.config.Judge.Ordered(w.id, order.Holder, *order.FenceToken, w.config.Engine.Fencing, time.Now())
	}
	var status int
	w.driver.withEngine(func(e *engine.Engine, now time.Duration) { status = e.Order(now, order) })
	rw.Header().Set("Content-Length", strconv.Itoa(0))
	rw.WriteHeader(status)
}

func (w *Worker) serveFreeHandle(rw http.ResponseWriter, r *http.Request) {
	w.setCommonHeaders(rw, r)
	freed := false
	w.driver.withEngine(func(e *engine.Engine, now time.Duration) { freed = e.FreeHandle(now, r.PathValue("id")) })
	if !freed {
		rw.WriteHeader(http.StatusNotFound)
	}
}
