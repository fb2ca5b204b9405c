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

// serveModel hands a request to the engine: to be read only, or to run from its own reading or from fetched memory.
func (w *Worker) serveModel(rw http.ResponseWriter, r *http.Request, in *incoming) {
	job := engine.Job{ID: fmt.Sprintf("%s#%d", in.id, w.stamps.Add(1)), Model: in.model, Parts: in.prompt, Output: in.output,
		Done: min(in.resumeAfter, in.output-1), Priority: in.priority, Deadline: w.engineDeadline(in), PrefillOnly: in.readsOnly,
		Fetched: in.from != ""}
	if job.Fetched {
		if reason := w.check(job); reason != engine.Accepted {
			w.reject(rw, in, reason)
			return
		}
		readyAt, fetched := w.fetch(in)
		if !fetched {
			w.arrived(in, false)
			w.notExecuted(rw, http.StatusServiceUnavailable)
			return
		}
		job.ReadyAt = readyAt
	}
	waiting, reason := w.driver.submit(job)
	if reason != engine.Accepted {
		w.reject(rw, in, reason)
		return
	}
	defer w.driver.forget(job.ID)
	w.arrived(in, true)
	s := &stream{worker: w, rw: rw, in: in}
	s.follow(r, waiting)
}

func (w *Worker) check(job engine.Job) (reason engine.Rejection) {
	w.driver.do(func(e *engine.Engine, _ time.Duration) { reason = e.Check(job) })
	return reason
}

func (w *Worker) reject(rw http.ResponseWriter, in *incoming, reason engine.Rejection) {
	if reason == engine.RejectedStage {
		w.config.Judge.Arrived(judge.Arrival{ID: in.id, Service: w.config.Service, Worker: w.id, At: in.began, Misdirected: true})
		w.notExecuted(rw, http.StatusMisdirectedRequest)
		return
	}
	w.arrived(in, false)
	w.notExecuted(rw, http.StatusServiceUnavailable)
}

// The factors by which a move takes longer.
const (
	sameZone       = 1
	betweenZones   = 2
	betweenRegions = 10
)

// fetch takes the handle at its worker and books the move. It returns when the memory will be here.
func (w *Worker) fetch(in *incoming) (readyAt time.Duration, ok bool) {
	address, handle, _ := strings.Cut(in.from, "/")
	source := w.config.Neighbours.at(address)
	if source == nil || source.driver == nil || source == w {
		return 0, false
	}
	w.driver.do(func(e *engine.Engine, now time.Duration) { ok = e.CanTransfer(now) })
	if !ok {
		return 0, false
	}
	factor := sameZone
	switch {
	case source.config.Region != w.config.Region:
		factor = betweenRegions
	case source.config.Zone != w.config.Zone:
		factor = betweenZones
	}
	var taken engine.TakenHandle
	source.driver.do(func(e *engine.Engine, now time.Duration) { taken, ok = e.TakeHandle(now, handle, factor) })
	if !ok {
		return 0, false
	}
	readFor, _, _ := strings.Cut(taken.Job, "#")
	w.config.Judge.HandleUsed(readFor, in.id)
	w.driver.do(func(e *engine.Engine, now time.Duration) {
		readyAt = e.ReserveTransfer(now, taken.Wait, taken.Tokens, factor)
	})
	return readyAt, true
}

// stream writes the answer of one job.
type stream struct {
	worker *Worker
	rw     http.ResponseWriter
	in     *incoming
	stamp  string
	events int
}

// follow writes what the engine says until the job's end.
func (s *stream) follow(r *http.Request, waiting *waiter) {
	deadline := time.NewTimer(s.in.left())
	defer deadline.Stop()
	for {
		select {
		case <-waiting.news:
		case <-r.Context().Done():
			return
		case <-s.worker.crashed:
			s.cut()
		case <-deadline.C:
			s.expire(waiting)
			return
		}
		for _, event := range waiting.take() {
			if over := s.on(r, event); over {
				return
			}
		}
	}
}

// on writes one event of the engine and reports whether it was the last.
func (s *stream) on(r *http.Request, event engine.Event) (over bool) {
	switch event.Kind {
	case engine.KindNotExecuted:
		s.worker.notExecuted(s.rw, http.StatusServiceUnavailable)
	case engine.KindPrefilled:
		s.rw.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(s.rw).Encode(map[string]any{"KvHandle": event.Handle, "Tokens": event.Tokens, "Version": 1})
	case engine.KindTokens:
		if s.stamp == "" {
			s.begin(event)
			if s.worker.misbehave(s.rw, r, s.in.fault) {
				return true
			}
		}
		s.tokens(event)
		return false
	}
	return true
}

// begin writes the head: the request starts running at its first token.
func (s *stream) begin(event engine.Event) {
	s.stamp = s.worker.stamp()
	s.worker.ran(s.in, s.stamp, event.From-1)
	header := s.rw.Header()
	header.Set("Content-Type", "text/event-stream")
	header.Set("Response-Signature", s.stamp)
	header.Set("Versions", "1")
}

func (s *stream) tokens(event engine.Event) {
	piece := judge.Piece{Stamp: s.stamp, From: event.From, To: event.To, Total: s.in.output}
	s.worker.config.Judge.MadePiece(piece)
	text := FormatEvent(piece)
	s.events++
	if s.in.fault == FaultTruncate && s.events == 2 {
		s.write(text[:len(text)/2])
		panic(http.ErrAbortHandler)
	}
	s.write(text)
}

func (s *stream) write(text string) {
	_, _ = s.rw.Write([]byte(text))
	_ = http.NewResponseController(s.rw).Flush()
}

// cut breaks the stream off within an event, as a crash does.
func (s *stream) cut() {
	if s.stamp != "" {
		s.write("id: 9")
	}
	panic(http.ErrAbortHandler)
}

// expire ends what reached its deadline. What waits in the queue has not run; the engine says so itself.
func (s *stream) expire(waiting *waiter) {
	if s.stamp != "" {
		panic(http.ErrAbortHandler)
	}
	for _, event := range waiting.take() {
		if event.Kind == engine.KindNotExecuted {
			s.worker.notExecuted(s.rw, http.StatusServiceUnavailable)
			return
		}
	}
	s.rw.WriteHeader(http.StatusGatewayTimeout)
}

// FormatEvent is a piece as an event of a stream. The id is that of its last token.
func FormatEvent(piece judge.Piece) string {
	return fmt.Sprintf("id: %d\ndata: %s %d-%d/%d\n\n", piece.To, piece.Stamp, piece.From, piece.To, piece.Total)
}

// ParseEvent reads what FormatEvent wrote, without its end.
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
	w.head(rw, r)
	report := w.driver.report()
	report.Models = []engine.Model{{Name: "m", Version: 1, Adapters: []string{}}}
	rw.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(rw).Encode(report)
}

func (w *Worker) serveOrder(rw http.ResponseWriter, r *http.Request) {
	w.head(rw, r)
	var order engine.Order
	if !w.expected(r) {
		w.notExecuted(rw, http.StatusMisdirectedRequest)
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
	w.driver.do(func(e *engine.Engine, now time.Duration) { status = e.Order(now, order) })
	rw.Header().Set("Content-Length", strconv.Itoa(0))
	rw.WriteHeader(status)
}

func (w *Worker) serveFreeHandle(rw http.ResponseWriter, r *http.Request) {
	w.head(rw, r)
	freed := false
	w.driver.do(func(e *engine.Engine, now time.Duration) { freed = e.FreeHandle(now, r.PathValue("id")) })
	if !freed {
		rw.WriteHeader(http.StatusNotFound)
	}
}
