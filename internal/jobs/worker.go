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

// This file owns the workers' side: attempts and probes, and which outcome what comes back stands for. When
// it is not sure that a request's last byte stayed here, it must say that the job may have run.

const (
	probeTimeout        = 500 * time.Millisecond
	probeRetryDelay     = 150 * time.Millisecond // without an answer the connection may be dead, and the worker well
	responseTailTimeout = time.Second            // for the end of a response whose last line has come
	maxLineBytes        = 256 << 10              // one line of a worker
	maxConcurrentProbes = 4                      // to one worker; further ones wait for the answer to the last of those
)

// Workers implements engine.Workers over HTTP.
type Workers struct {
	Engine  *engine.Engine
	Dialer  Dialer
	Reports *LoadReportParser
	Host    string // of the Host header
	Service string // names the service in the log; "" is the platform's
	// Pace is how slowly a worker may take a request or write a line of its answer. Between two lines it is at work,
	// and nothing is asked of it.
	Pace pace.Rate

	// RetainResponses has what comes of an answer kept, so that its attempt can be passed on.
	RetainResponses bool

	pendingProbes map[*engine.Worker][]*exchange // probes not answered yet
}

// exchange is one request and its response on one connection to a worker.
type exchange struct {
	workers       *Workers
	worker        *engine.Worker
	addr          string
	conn          Conn
	cancelDial    func() // of the wait for a connection
	parser        *http1.Parser
	written       bool
	closedEarly   bool // closed before the write's end was known
	retried       bool // on its second connection
	ended         bool
	attempt       *engine.Attempt
	probe         *engine.Probe
	sharedProbes  []*engine.Probe // that wait for the same answer
	timer         *engine.Timer
	meter         pace.Meter // of the request on its way out, then of a line that is not whole
	paceTimer     *engine.Timer
	paceDue       decide.Time
	unacked       int // bytes of the request, as last seen
	lineBuffer    []byte
	rawResponse   []byte // of the answer, as far as it may be passed on
	result        []byte
	status        decide.Status
	report        decide.Report
	finalLineSeen bool // the line that ends the attempt has come
}

func (w *Workers) newExchange(to *engine.Worker) *exchange {
	x := &exchange{workers: w, worker: to, addr: to.Addr, parser: http1.NewResponseParser()}
	x.parser.OnBody = x.onBody // probes too: one that left it out once read every load as unknown
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

// Withdraw implements engine.Workers. What waits for a connection or for the system to take it has not left whole.
func (w *Workers) Withdraw(a *engine.Attempt) bool {
	x, ok := a.State.(*exchange)
	if !ok || x.ended || x.conn != nil && x.conn.Queued() == 0 {
		return false
	}
	x.drop()
	return true
}

// Probe implements engine.Workers. A worker that answers none would hold a descriptor for each: those of a busy service
// once left its neighbours without. What is asked while probesAtOnce are out waits for the answer to the last of them,
// which is as fresh as its own would be, since the worker looks at its load when it answers.
func (w *Workers) Probe(p *engine.Probe) {
	if out := w.pendingProbes[p.Worker]; len(out) >= maxConcurrentProbes {
		last := out[len(out)-1]
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

// connect asks for a connection. One that was kept from an earlier exchange may have died unseen; what becomes of
// a job that breaks with it stays unknown, so that a job that must not run twice gets a fresh one.
func (x *exchange) connect() {
	fresh := x.retried || x.attempt != nil && x.attempt.Request.Payload.(*payload).atMostOnce
	x.cancelDial = x.workers.Dialer.Get(x.addr, fresh, x.connected)
}

// reconnect tries once more, on a fresh connection, what can't have had an effect: a probe without a byte of an
// answer, or a job whose last byte has surely not left. That a connection was dead says nothing of its worker. It
// reports whether there is such a second try.
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

// connected sends the request, if it still may be sent.
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
	if a := x.attempt; a != nil {
		if !a.Sendable() {
			x.ended = true
			x.workers.Dialer.Put(x.addr, c)
			a.End(decide.Moot, nil, decide.Report{})
			return
		}
		in := a.Request.Payload.(*payload)
		fields := []http1.Field{host, {Name: "X-Call-Id", Value: in.id}, {Name: "X-Budget", Value: formatBudget(a.Remaining())}}
		if in.key != "" {
			fields = append(fields, http1.Field{Name: "Idempotency-Key", Value: in.key})
		}
		body := in.body
		if body == nil {
			body = []byte{}
		}
		b = http1.AppendRequest(nil, in.method, in.target, body, fields...)
	} else {
		b = http1.AppendRequest(nil, "GET", "/-/load", nil, host)
	}
	x.conn = c
	c.SetHandler(x)
	c.Write(b, func(end WriteResult) { x.writeEnded(c, end) })
	if x.conn == c && c.Queued() > 0 {
		x.unacked = len(b)
		x.meter.Begin(x.workers.Engine.Now(), x.workers.Pace)
		x.armPaceTimer()
	}
}

// arm sets the timer for the next look at how fast the worker is.
func (x *exchange) armPaceTimer() {
	now := x.workers.Engine.Now()
	if due := x.meter.End(); due != pace.Never && x.paceTimer == nil {
		x.paceDue = due
		x.paceTimer = x.workers.Engine.After(time.Duration(due-now)*time.Microsecond, x.checkPace)
	}
}

// looked ends an exchange whose worker is too slow. While a part of the request waits here its last byte has surely not
// left; later the job may have run.
func (x *exchange) checkPace() {
	x.paceTimer = nil
	now := x.workers.Engine.Now()
	if late := now - x.paceDue; late > stallThreshold {
		x.meter.Extend(late)
	}
	if !x.written {
		left := x.conn.Unacked()
		x.meter.Add(now, max(0, x.unacked-left))
		x.unacked = left
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

// wrote takes in how the write on a connection ended.
func (x *exchange) writeEnded(on Conn, end WriteResult) {
	if end == Written && x.attempt != nil {
		x.workers.Engine.Counts.Written++
	}
	switch {
	case x.ended || x.conn != on: // a second connection is in use by now
	case x.probe != nil && (end != Written || x.closedEarly) && x.retryOnFreshConn():
	case end == WriteIncomplete && x.retryOnFreshConn():
	case end == WriteIncomplete:
		x.end(decide.ConnectFailed)
	case end == WriteUnknown || x.closedEarly:
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
		x.closedEarly = true // the end of the write tells whether the last byte had gone
	case x.probe != nil && x.parser.Idle() && x.retryOnFreshConn():
	default:
		x.end(decide.Reset)
	}
}

// body takes pieces of a response and reads its lines as they become whole.
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
		return // one object, read at the end
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

// pace measures a line that is not whole, of which n bytes have just come.
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

// news reads one line about a job.
func (x *exchange) handleLine(line []byte) {
	if len(bytes.TrimSpace(line)) == 0 {
		return
	}
	var in struct {
		ID     string          `json:"id"`
		State  string          `json:"state"`
		Share  float64         `json:"share"`
		Result any             `json:"result"`
		Load   json.RawMessage `json:"load"`
	}
	if err := json.Unmarshal(line, &in); err != nil || in.ID != "" && in.ID != x.attempt.Request.Payload.(*payload).id {
		slog.Warn("bad line of a job", withService(x.workers.Service, "worker", x.worker.Name)...)
		x.end(decide.Reset)
		return
	}
	switch in.State {
	case "started":
		x.attempt.Started()
		return
	case "running":
		x.attempt.Progress(in.Share)
		return
	case "done":
		x.status, x.result = decide.Served, resultText(in.Result, line)
	case "failed":
		x.status = decide.Error
	case "returned":
		x.status = decide.Full
	case "lost":
		x.status = decide.Reset
	default:
		return // a state that this version does not know ends nothing
	}
	x.finalLineSeen = true
	if len(in.Load) > 0 {
		x.report = x.workers.Reports.read(in.Load)
	}
	if text := x.parser.Msg.Get("x-load-report"); text != "" && len(in.Load) == 0 {
		x.report = x.workers.Reports.read([]byte(text))
	}
	// The answer is known; the rest of the response only tells whether the connection can be kept.
	x.timer = x.workers.Engine.After(responseTailTimeout, x.drop)
	x.attempt.End(x.status, x.result, x.report)
}

// whole takes in the end of the response. The connection is kept if nothing speaks against it.
func (x *exchange) responseComplete(clean bool) {
	m := &x.parser.Msg
	if !x.finalLineSeen && x.attempt != nil && m.Status == 200 && len(x.lineBuffer) > 0 {
		x.handleLine(x.lineBuffer) // its line end was left out
		x.lineBuffer = nil
	}
	if x.ended {
		return
	}
	if text := m.Get("x-load-report"); text != "" {
		x.report = x.workers.Reports.read([]byte(text))
	}
	switch {
	case x.finalLineSeen:
	case m.Status == 200 && x.probe != nil:
		x.status = decide.Served
		if len(x.lineBuffer) > 0 {
			x.report = x.workers.Reports.read(x.lineBuffer)
		}
	case m.Status == 200:
		x.status = decide.Reset // it ended before the last line
	case (m.Status == 503 || m.Status == 504) && m.Get("x-rejected") == "1":
		x.status = decide.Full
	default:
		x.status = decide.Error
	}
	if x.finalLineSeen && len(bytes.TrimSpace(x.lineBuffer)) > 0 {
		clean = false // it went on after its last line: what comes next on the connection can't be told from it
	}
	if clean && m.KeepAlive && !x.closedEarly {
		c := x.conn
		x.conn = nil
		x.workers.Dialer.Put(x.addr, c)
	}
	x.end(x.status)
}

// end closes what is still open and reports, once.
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

// answered takes a probe out of those that are under way.
func (w *Workers) removeProbe(x *exchange) {
	out := slices.DeleteFunc(w.pendingProbes[x.worker], func(y *exchange) bool { return x == y })
	if len(out) == 0 {
		delete(w.pendingProbes, x.worker)
	} else {
		w.pendingProbes[x.worker] = out
	}
}

// drop ends the exchange without a word to the engine.
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
