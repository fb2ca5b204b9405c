package llmworker

import (
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"weldscale/internal/standin/engine"
	"weldscale/internal/standin/judge"
)

// incoming is a request that has been read.
type incoming struct {
	id          string
	fingerprint string
	began       time.Time
	deadline    time.Duration // relative to began
	output      int
	prompt      []engine.Part
	model       string
	priority    int
	prefillOnly bool
	kvFrom      string // value of the Kv-From header
	resumeAfter int
	fault       Fault
}

const (
	noDeadline      = time.Hour
	defaultPriority = 5
)

// remaining returns the time until the deadline.
func (in *incoming) remaining() time.Duration { return in.deadline - time.Since(in.began) }

// readRequest reads a request. It reports false if the body can't be read or the Request-Id header is missing.
func (w *Worker) readRequest(r *http.Request) (*incoming, bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, false
	}
	in := &incoming{id: r.Header.Get("Request-Id"), began: time.Now(), deadline: noDeadline, priority: defaultPriority,
		model: r.Header.Get("Model-Name"), prefillOnly: r.Header.Get("Serving-Stage") == engine.StagePrefill,
		kvFrom: r.Header.Get("Kv-From"), fingerprint: judge.Fingerprint(r.Method, r.URL.RequestURI(), body)}
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		in.deadline = time.Duration(ms * float64(time.Millisecond))
	}
	if priority, err := strconv.Atoi(r.Header.Get("Priority")); err == nil {
		in.priority = priority
	}
	in.resumeAfter, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	in.prompt, in.output = parsePrompt(r.Header.Get("Token-Count"), r.Header.Get("Prefix-Hash"))
	return in, in.id != ""
}

// parsePrompt returns the parts of a prompt and the number of tokens to generate, from the Token-Count and Prefix-Hash headers.
func parsePrompt(count, hashes string) (parts []engine.Part, output int) {
	in, out, _ := strings.Cut(count, ",")
	total, _ := strconv.Atoi(in)
	output, _ = strconv.Atoi(out)
	for part := range strings.SplitSeq(hashes, ",") {
		id, tokens, _ := strings.Cut(part, ":")
		if n, err := strconv.Atoi(tokens); err == nil {
			parts = append(parts, engine.Part{ID: id, Tokens: n})
			total -= n
		}
	}
	if total > 0 {
		parts = append(parts, engine.Part{Tokens: total})
	}
	return parts, max(1, output)
}

// serveRequest serves the requests on all paths that routes doesn't register for a call of the protocol.
func (w *Worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	w.setCommonHeaders(rw, r)
	in, ok := w.readRequest(r)
	switch {
	case !ok:
		w.writeNotExecuted(rw, http.StatusBadRequest)
		return
	case !w.matchesExpected(r):
		w.config.Judge.Arrived(judge.Arrival{ID: in.id, Service: w.config.Service, Worker: w.id, At: in.began, Misdirected: true})
		w.writeNotExecuted(rw, http.StatusMisdirectedRequest)
		return
	}
	in.fault = w.faults.nextFault()
	if in.fault.abortsAnswer() {
		w.config.Judge.AnswerAborted(in.id)
	}
	switch {
	case in.fault == FaultReject:
		w.reportArrival(in, false)
		w.writeNotExecuted(rw, http.StatusServiceUnavailable)
	case w.driver == nil:
		w.servePlain(rw, r, in)
	default:
		w.serveModel(rw, r, in)
	}
}

// reportArrival reports to the judge that a request arrived and whether it was accepted.
func (w *Worker) reportArrival(in *incoming, accepted bool) {
	w.config.Judge.Arrived(judge.Arrival{ID: in.id, Service: w.config.Service, Worker: w.id, At: in.began,
		PrefillOnly: in.prefillOnly, Accepted: accepted})
}

// reportRun reports to the judge that a request runs.
func (w *Worker) reportRun(in *incoming, stamp string, after int) {
	w.config.Judge.Ran(judge.Run{ID: in.id, Service: w.config.Service, Worker: w.id, Stamp: stamp,
		Fingerprint: in.fingerprint, After: after,
		At: time.Now()})
}

// engineDeadline returns the deadline on the engine's clock.
func (w *Worker) engineDeadline(in *incoming) time.Duration {
	if in.deadline >= noDeadline {
		return time.Duration(math.MaxInt64)
	}
	return max(1, w.driver.now()+in.remaining())
}
