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

// incoming is a request that was read.
type incoming struct {
	id          string
	fingerprint string
	began       time.Time
	deadline    time.Duration // since began
	output      int
	prompt      []engine.Part
	model       string
	priority    int
	readsOnly   bool
	from        string // Kv-From
	resumeAfter int
	fault       Fault
}

const (
	noDeadline      = time.Hour
	defaultPriority = 5
)

// left is how long the worker may still work.
func (in *incoming) left() time.Duration { return in.deadline - time.Since(in.began) }

// read takes a request in; it reports false if the request is not in the protocol.
func (w *Worker) read(r *http.Request) (*incoming, bool) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return nil, false
	}
	in := &incoming{id: r.Header.Get("Request-Id"), began: time.Now(), deadline: noDeadline, priority: defaultPriority,
		model: r.Header.Get("Model-Name"), readsOnly: r.Header.Get("Serving-Stage") == engine.StagePrefill, from: r.Header.Get("Kv-From"),
		fingerprint: judge.Fingerprint(r.Method, r.URL.RequestURI(), body)}
	if ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64); err == nil {
		in.deadline = time.Duration(ms * float64(time.Millisecond))
	}
	if priority, err := strconv.Atoi(r.Header.Get("Priority")); err == nil {
		in.priority = priority
	}
	in.resumeAfter, _ = strconv.Atoi(r.Header.Get("Last-Event-Id"))
	in.prompt, in.output = prompt(r.Header.Get("Token-Count"), r.Header.Get("Prefix-Hash"))
	return in, in.id != ""
}

// prompt reads the parts of a prompt and the tokens to make.
func prompt(count, hashes string) (parts []engine.Part, output int) {
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

// serveRequest takes up whatever is no call of the protocol between schedulers and workers.
func (w *Worker) serveRequest(rw http.ResponseWriter, r *http.Request) {
	w.head(rw, r)
	in, proper := w.read(r)
	switch {
	case !proper:
		w.notExecuted(rw, http.StatusBadRequest)
		return
	case !w.expected(r):
		w.config.Judge.Arrived(judge.Arrival{ID: in.id, Service: w.config.Service, Worker: w.id, At: in.began, Misdirected: true})
		w.notExecuted(rw, http.StatusMisdirectedRequest)
		return
	}
	in.fault = w.faults.draw()
	if in.fault.breaksOff() {
		w.config.Judge.AnswerAborted(in.id)
	}
	switch {
	case in.fault == FaultReject:
		w.arrived(in, false)
		w.notExecuted(rw, http.StatusServiceUnavailable)
	case w.driver == nil:
		w.servePlain(rw, r, in)
	default:
		w.serveModel(rw, r, in)
	}
}

// arrived tells the judge of a request at the door.
func (w *Worker) arrived(in *incoming, taken bool) {
	w.config.Judge.Arrived(judge.Arrival{ID: in.id, Service: w.config.Service, Worker: w.id, At: in.began,
		PrefillOnly: in.readsOnly, Accepted: taken})
}

// ran tells the judge of a run.
func (w *Worker) ran(in *incoming, stamp string, after int) {
	w.config.Judge.Ran(judge.Run{ID: in.id, Service: w.config.Service, Worker: w.id, Stamp: stamp,
		Fingerprint: in.fingerprint, After: after,
		At: time.Now()})
}

// engineDeadline is the deadline by the engine's clock.
func (w *Worker) engineDeadline(in *incoming) time.Duration {
	if in.deadline >= noDeadline {
		return time.Duration(math.MaxInt64)
	}
	return max(1, w.driver.now()+in.left())
}
