package jobs

import (
	"bytes"
	"encoding/json"
	"log/slog"
	"slices"
	"strconv"
	"time"

	"weldscale/decide"
	"weldscale/internal/engine"
	"weldscale/internal/http1"
	"weldscale/internal/pace"
)

// This file implements the workers' side: it sends attempts and probes and maps the responses to outcomes. Unless a
// request's last byte has certainly not been sent, the outcome must say that the job may have run.

const (
	probeTimeout        = 500 * time.Millisecond
	probeRetryDelay     = 150 * time.Millisecond // without an answer by then the connection may be dead while the worker is healthy
	responseTailTimeout = time.Second            // to the end of a response after its final line
	maxLineBytes        = 256 << 10              // of one line of a response
	maxConcurrentProbes = 4                      // per worker; further probes share the answer to the last one
)

// Workers implements engine.Workers over HTTP.
type Workers struct {
	Engine  *engine.Engine
	Dialer  Dialer
	Reports *LoadReportParser
	Host    string // value of the Host header
	Service string // name in the log; "" for the platform's service
	// Pace is the minimum pace at which a worker must read a request or write a line of its response. Between two
	// lines the worker is running the job and no pace is required.
	Pace pace.Rate

	// RetainResponses makes exchanges keep what they have received of a response, so that their attempts can be
	// handed over.
	RetainResponses bool

	pendingProbes map[*engine.Worker][]*exchange // probes without an answer
}

// exchange is one request and its response on one connection to a worker.
type exchange struct {
	workers       *Workers
	worker        *engine.Worker
	addr          string
	conn          Conn
	cancelDial    func() // cancels the wait for a connection
	parser        *http1.Parser
	written       bool
	closedEarly   bool // closed before the result of the write was known
	retried       bool // using its second connection
	ended         bool
	attempt       *engine.Attempt
	probe         *engine.Probe
	sharedProbes  []*engine.Probe // probes that wait for the same answer
	timer         *engine.Timer
	meter         pace.Meter // of the request while it is sent, then of a partial line
	paceTimer     *engine.Timer
	paceDue       decide.Time
	unacked       int // bytes of the request at the last check
	lineBuffer    []byte
	rawResponse   []byte // the response so far, up to the limit for a handover
	result        []byte
	status        decide.Status
	report        decide.Report
	finalLineSeen bool // the line that ends the attempt has arrived
}

func (w *Workers) newExchange(to *engine.Worker) *exchange {
	x := &exchange{workers: w, worker: to, addr: to.Addr, parser: http1.NewResponseParser()}
	x.parser.OnBody = x.onBody // needed for probes too: without it the load of every worker was once read as unknown
	return x
}

// Push implements engine.Workers.
func (w *Workers) Push(a *engine.Attempt) {
	x := w.newExchange(a.Worker)
	x.attempt, a.State = a, x
	x.connect()
}

// Cancel implements engine.Workers.
func (w *Workers) Cancel(a *engine.Attempt) {
	if x, ok := a.State.(*exchange); ok {
		x.drop()
	}
}

// Withdraw implements engine.Workers. A request that waits for a connection or for the system to accept it has not
// been sent in full.
func (w *Workers) Withdraw(a *engine.Attempt) bool {
	x, ok := a.State.(*exchange)
	if !ok || x.ended || x.conn != nil && x.conn.Queued() == 0 {
		return false
	}
	x.drop()
	return true
}

// Probe implements engine.Workers. A worker that does not answer would hold one descriptor per probe; the probes of a
// busy service once used up the descriptors of other services. So while maxConcurrentProbes are pending, a further
// probe shares the answer to the last of them. That answer is as fresh as its own would be, because the worker
// measures its load when it answers.
func (w *Workers) Probe(p *engine.Probe) {
	if pending := w.pendingProbes[p.Worker]; len(pending) >= maxConcurrentProbes {
		last := pending[len(pending)-1]
		last.sharedProbes = append(last.sharedProbes, p)
		return
	}
	x := w.newExchange(p.Worker)
	x.probe = p
	if w.pendingProbes == nil {
		w.pendingProbes = map[*engine.Worker][]*exchange{}
	}
	w.pendingProbes[p.Worker] = append(w.pendingProbes[p.Worker], x)
	x.timer = w.Engine.After(probeRetryDelay, func() {
		x.timer = w.Engine.After(probeTimeout-probeRetryDelay, func() { x.end(decide.TimedOut) })
		if x.conn != nil && x.parser.Idle() {
			x.retryOnFreshConn()
		}
	})
	x.connect()
}

// connect requests a connection. An idle connection may have died without notice, and the outcome of a job whose
// connection breaks is unknown. A job that must not run twice therefore gets a fresh connection.
func (x *exchange) connect() {
	fresh := x.retried || x.attempt != nil && x.attempt.Request.Payload.(*payload).atMostOnce
	x.cancelDial = x.workers.Dialer.Get(x.addr, fresh, x.connected)
}

// retryOnFreshConn retries on a fresh connection what can't have had an effect: a probe without any byte of an
// answer, or a job whose last byte has certainly not been sent. A dead connection says nothing about its worker. It
// reports whether the exchange is retried; each exchange is retried at most once.
func (x *exchange) retryOnFreshConn() bool {
	if x.retried {
		return false
	}
	x.retried = true
	if x.conn != nil {
		x.conn.Close()
		x.conn = nil
	}
	x.written, x.closedEarly = false, false
	x.meter.Stop()
	x.connect()
	return true
}

// connected sends the request, if it may still be sent.
func (x *exchange) connected(c Conn) {
	x.cancelDial = nil
	if x.ended {
		if c != nil {
			x.workers.Dialer.Put(x.addr, c)
		}
		return
	}
	if c == nil {
		x.end(decide.ConnectFailed)
		return
	}
	host := http1.Field{Name: "Host", Value: x.workers.Host}
	var b []byte
	if attempt := x.attempt; attempt != nil {
		if !attempt.Sendable() {
			x.ended = true
			x.workers.Dialer.Put(x.addr, c)
			attempt.End(decide.NotSent, nil, decide.Report{})
			return
		}
		request := attempt.Request.Payload.(*payload)
		fields := []http1.Field{host, {Name: "X-Call-Id", Value: request.id}, {Name: "X-Budget", Value: formatBudget(attempt.Remaining())}}
		if request.key != "" {
			fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: request.key})
		}
		body := request.body
		if body == nil {
			body = []byte{}
		}
		b = http1.AppendRequest(nil, request.method, request.target, body, fields...)
	} else {
		b = http1.AppendRequest(nil, "GET", "/-/load", nil, host)
	}
	x.conn = c
	c.SetHandler(x)
	c.Write(b, func(result WriteResult) { x.writeEnded(c, result) })
	if x.conn == c && c.Queued() > 0 {
		x.unacked = len(b)
		x.meter.Begin(x.workers.Engine.Now(), x.workers.Pace)
		x.armPaceTimer()
	}
}

// armPaceTimer sets the timer for the next pace check.
func (x *exchange) armPaceTimer() {
	now := x.workers.Engine.Now()
	if due := x.meter.Deadline(); due != pace.Never && x.paceTimer == nil {
		x.paceDue = due
		x.paceTimer = x.workers.Engine.After(time.Duration(due-now)*time.Microsecond, x.checkPace)
	}
}

// checkPace ends an exchange whose worker is too slow. While part of the request is still queued here, the last byte
// has certainly not been sent; after that the job may have run.
func (x *exchange) checkPace() {
	x.paceTimer = nil
	now := x.workers.Engine.Now()
	if late := now - x.paceDue; late > stallThreshold {
		x.meter.Extend(late)
	}
	if !x.written {
		unacked := x.conn.Unacked()
		x.meter.Add(now, max(0, x.unacked-unacked))
		x.unacked = unacked
	}
	if x.meter.State(now) != pace.Cut {
		x.armPaceTimer()
		return
	}
	x.workers.Engine.Counts.SlowWorkers++
	slog.Warn("slow worker cut off", withService(x.workers.Service, "worker", x.worker.Name, "request_sent", x.written)...)
	if x.written {
		x.end(decide.Reset)
	} else {
		x.end(decide.ConnectFailed)
	}
}

// writeEnded handles the result of a write.
func (x *exchange) writeEnded(conn Conn, result WriteResult) {
	if result == Written && x.attempt != nil {
		x.workers.Engine.Counts.Written++
	}
	switch {
	case x.ended || x.conn != conn: // a second connection is in use
	case x.probe != nil && (result != Written || x.closedEarly) && x.retryOnFreshConn():
	case result == WriteIncomplete && x.retryOnFreshConn():
	case result == WriteIncomplete:
		x.end(decide.ConnectFailed)
	case result == WriteUnknown || x.closedEarly:
		x.end(decide.Reset)
	default:
		x.written = true
		x.meter.Stop()
	}
}

// Data implements Handler.
func (x *exchange) Data(b []byte) {
	if x.ended {
		return
	}
	if x.workers.RetainResponses && x.attempt != nil && len(x.rawResponse) <= maxHandoverResponse {
		x.rawResponse = append(x.rawResponse, b...)
	}
	n, whole, err := x.parser.Feed(b)
	if x.ended {
		return
	}
	if err != nil {
		slog.Warn("bad response", withService(x.workers.Service, "worker", x.worker.Name, "why", err)...)
		x.end(decide.Reset)
		return
	}
	if whole {
		x.responseComplete(n == len(b))
	}
}

// Closed implements Handler.
func (x *exchange) Closed() {
	switch {
	case x.ended:
	case x.parser.End():
		x.responseComplete(false)
	case !x.written:
		x.closedEarly = true // the result of the write will tell whether the last byte was sent
	case x.probe != nil && x.parser.Idle() && x.retryOnFreshConn():
	default:
		x.end(decide.Reset)
	}
}

// onBody receives pieces of the response body and handles each line when it is complete.
func (x *exchange) onBody(b []byte) {
	if x.ended {
		return
	}
	if len(x.lineBuffer)+len(b) > maxLineBytes {
		x.end(decide.Reset)
		return
	}
	x.lineBuffer = append(x.lineBuffer, b...)
	if x.probe != nil || x.parser.Msg.Status != 200 {
		return // a single object, parsed at the end
	}
	for !x.finalLineSeen && !x.ended {
		i := bytes.IndexByte(x.lineBuffer, '\n')
		if i < 0 {
			x.measureLine(len(b))
			return
		}
		line := x.lineBuffer[:i]
		x.lineBuffer = x.lineBuffer[i+1:]
		x.meter.Stop()
		x.handleLine(line)
	}
}

// measureLine measures the pace of a partial line, of which n bytes have just arrived.
func (x *exchange) measureLine(n int) {
	switch {
	case !x.written:
	case len(x.lineBuffer) == 0:
		x.meter.Stop()
	default:
		now := x.workers.Engine.Now()
		if !x.meter.Running() {
			x.meter.Begin(now, x.workers.Pace)
		}
		x.meter.Add(now, n)
		x.armPaceTimer()
	}
}

// handleLine handles one line about a job.
func (x *exchange) handleLine(line []byte) {
	if len(bytes.TrimSpace(line)) == 0 {
		return
	}
	var parsed struct {
		ID     string          `json:"id"`
		State  string          `json:"state"`
		Share  float64         `json:"share"`
		Result any             `json:"result"`
		Load   json.RawMessage `json:"load"`
	}
	if err := json.Unmarshal(line, &parsed); err != nil || parsed.ID != "" && parsed.ID != x.attempt.Request.Payload.(*payload).id {
		slog.Warn("bad line of a job", withService(x.workers.Service, "worker", x.worker.Name)...)
		x.end(decide.Reset)
		return
	}
	switch parsed.State {
	case "started":
		x.attempt.Started()
		return
	case "running":
		x.attempt.Progress(parsed.Share)
		return
	case "done":
		x.status, x.result = decide.Served, resultText(parsed.Result, line)
	case "failed":
		x.status = decide.Error
	case "returned":
		x.status = decide.Full
	case "lost":
		x.status = decide.Reset
	default:
		return // a state unknown to this version does not end the attempt
	}
	x.finalLineSeen = true
	if len(parsed.Load) > 0 {
		x.report = x.workers.Reports.read(parsed.Load)
	}
	if text := x.parser.Msg.Get("x-load-report"); text != "" && len(parsed.Load) == 0 {
		x.report = x.workers.Reports.read([]byte(text))
	}
	// The result is known; the rest of the response only decides whether the connection can be reused.
	x.timer = x.workers.Engine.After(responseTailTimeout, x.drop)
	x.attempt.End(x.status, x.result, x.report)
}

// responseComplete handles the end of the response. It keeps the connection for reuse if nothing forbids it.
func (x *exchange) responseComplete(clean bool) {
	message := &x.parser.Msg
	if !x.finalLineSeen && x.attempt != nil && message.Status == 200 && len(x.lineBuffer) > 0 {
		x.handleLine(x.lineBuffer) // the final newline is missing
		x.lineBuffer = nil
	}
	if x.ended {
		return
	}
	if text := message.Get("x-load-report"); text != "" {
		x.report = x.workers.Reports.read([]byte(text))
	}
	switch {
	case x.finalLineSeen:
	case message.Status == 200 && x.probe != nil:
		x.status = decide.Served
		if len(x.lineBuffer) > 0 {
			x.report = x.workers.Reports.read(x.lineBuffer)
		}
	case message.Status == 200:
		x.status = decide.Reset // the response ended before its final line
	case (message.Status == 503 || message.Status == 504) && message.Get("x-rejected") == "1":
		x.status = decide.Full
	default:
		x.status = decide.Error
	}
	if x.finalLineSeen && len(bytes.TrimSpace(x.lineBuffer)) > 0 {
		clean = false // data followed the final line, so the start of the next response would be ambiguous
	}
	if clean && message.KeepAlive && !x.closedEarly {
		c := x.conn
		x.conn = nil
		x.workers.Dialer.Put(x.addr, c)
	}
	x.end(x.status)
}

// end closes the connection, if it is still open, and reports the outcome once.
func (x *exchange) end(s decide.Status) {
	if x.ended {
		return
	}
	x.drop()
	if x.attempt != nil {
		x.attempt.End(s, x.result, x.report)
	} else {
		x.workers.removeProbe(x)
		x.probe.End(s, x.report)
		for _, p := range x.sharedProbes {
			p.End(s, x.report)
		}
	}
}

// removeProbe removes an exchange from the pending probes.
func (w *Workers) removeProbe(x *exchange) {
	pending := slices.DeleteFunc(w.pendingProbes[x.worker], func(y *exchange) bool { return x == y })
	if len(pending) == 0 {
		delete(w.pendingProbes, x.worker)
	} else {
		w.pendingProbes[x.worker] = pending
	}
}

// drop ends the exchange without reporting to the engine.
func (x *exchange) drop() {
	x.ended = true
	x.timer.Stop()
	x.paceTimer.Stop()
	x.meter.Stop()
	if x.cancelDial != nil {
		x.cancelDial()
		x.cancelDial = nil
	}
	if x.conn != nil {
		x.conn.Close()
		x.conn = nil
	}
}

func formatInt(n int64) string { return strconv.FormatInt(n, 10) }
