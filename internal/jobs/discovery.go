package jobs

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"math/rand/v2"
	"time"

	"weldscale/decide"
	"weldscale/internal/engine"
	"weldscale/internal/http1"
)

// This file implements the watch on the worker list. A watch is renewed as soon as it has been answered, so that no
// change is missed, and a failed call is reported at once; the dispatcher decides when to call again. There is at
// most one call at a time, and each has a timeout. A change counts as delivered to this scheduler if its watch
// counted as open at the time, even if the answer was lost; the time limits below follow from that.

const (
	// immediateHold makes discovery answer a new watch at once, because the dispatcher waits for the answer.
	immediateHold = time.Millisecond
	// watchHold is how long discovery may hold a call open. An update that is lost counts as delivered two seconds
	// after the end of the hold, so the hold must be short. Each renewal costs discovery time, of which it has little
	// to spare, so the hold must not be too short.
	watchHold = 8 * time.Second
	// callTimeout is the timeout of a call that discovery should answer at once. Calls may queue at discovery for
	// some seconds.
	callTimeout = 3 * time.Second
	// callTimeoutShort replaces callTimeout if few schedulers share discovery and no calls queue there.
	callTimeoutShort = 800 * time.Millisecond
	// holdSlack is how much longer than its hold a watch may take before it counts as failed. An update that it
	// missed counts as delivered two seconds after the hold, and by then another call must have been answered. If few
	// schedulers share discovery, holdSlackShort leaves time for one more call in case that one gets no answer
	// either.
	holdSlack      = 1300 * time.Millisecond
	holdSlackShort = 500 * time.Millisecond
	// agentHold and agentTimeout are the hold and the timeout of calls to an agent, to which discovery pushes lists.
	// agentRetryDelay is the delay before a failed call is repeated. The agent does not answer while discovery is
	// down, and what it receives afterwards counts as delivered at once, so a call without an answer must end soon
	// after that. Calls to an agent cost discovery nothing.
	agentHold       = time.Second
	agentTimeout    = 200 * time.Millisecond
	agentRetryDelay = 50 * time.Millisecond
	// initialCallCost is the time that discovery is assumed to need for one call of one scheduler until it has been
	// measured.
	initialCallCost = 90 * time.Millisecond
	// burstSpan is the amount of work that discovery may be given at once. Schedulers whose calls all fit in it need
	// not be spread.
	burstSpan = 800 * time.Millisecond
	// maxRenewalDelay is the longest delay before an answered watch is renewed. A watch counts as open for 200 ms
	// after its answer, so changes in that time count as delivered. A longer delay once made schedulers send for
	// seconds to workers whose removal counted as delivered.
	maxRenewalDelay = 120 * time.Millisecond
	// maxHold limits how long a watch whose connection has died without notice can miss updates.
	maxHold = 20 * time.Second
	// maxListBytes limits a list answer; a thousand workers take about a quarter of it.
	maxListBytes = 1 << 20
)

// Discovery implements engine.Directory over HTTP.
type Discovery struct {
	Engine *engine.Engine
	Dialer Dialer
	Addr   string
	// Service is the service's name in the log; "" is the platform's service.
	Service string

	// FromAgent says that Addr belongs to an agent on this machine. The agent answers at once with what discovery has
	// pushed to it, and all of that counts as delivered. The dispatcher expects changes without asking for a watch,
	// so the watch is open from the start and stays open after failed calls. Cadence is not used.
	FromAgent bool

	// Rand randomizes the delays between calls. If nil, there are no random delays.
	Rand *rand.Rand
	// Cadence computes the delays between the calls of this scheduler.
	Cadence Cadence

	// OnUpdate, if set, is called with each list update that this process has received from discovery, in the form of
	// discovery's answers.
	OnUpdate func(index int64, list []byte)

	hasCalled    bool          // a call has been made or scheduled
	nextCall     *engine.Timer // timer of the next call
	index        int64
	needSnapshot bool // index is that of another discovery, so only a whole list can be applied
	reloadWanted bool // Reload was called during a call
	watching     bool
	pendingCall  *listCall
	relayedAt    decide.Time // when another process last relayed an update newer than index
}

// Cadence computes how far apart the calls of a scheduler are. All schedulers share one discovery, which handles
// calls one after another, including those whose callers have already timed out. If all schedulers called again at
// once after a change of the list or a 503, the queue would consist of abandoned calls and never drain. So each
// scheduler spreads its calls over a span, which grows with failed calls and shrinks with fast answers. The zero
// value does not delay calls.
type Cadence struct {
	Nodes      int           // schedulers that share discovery
	AskWithin  time.Duration // time after the last contact from which changes count as delivered; four times that after a failed call
	span       time.Duration // time over which the schedulers spread one call each; 0: nothing measured yet
	lastFailed bool          // the last call failed
}

// initialSpan is the time that discovery is assumed to need for one call of each scheduler until it has been
// measured.
func (c *Cadence) initialSpan() time.Duration { return time.Duration(c.Nodes) * initialCallCost }

// Span returns the time over which the schedulers spread one call each.
func (c *Cadence) Span() time.Duration {
	if c.span == 0 {
		c.span = c.initialSpan()
	}
	return c.span
}

// Failed records a failed call.
func (c *Cadence) Failed() {
	c.lastFailed = true
	c.span = min(2*max(c.Span(), burstSpan), max(c.AskWithin, c.Span()))
}

// TimedOut records a call without an answer. If few schedulers share discovery, this does not indicate a queue there.
func (c *Cadence) TimedOut() {
	if c.Span() > burstSpan {
		c.Failed()
	}
}

// CallTimeout returns the timeout of a call that discovery should answer at once.
func (c *Cadence) CallTimeout() time.Duration {
	if c.Span() > burstSpan {
		return callTimeout
	}
	return callTimeoutShort
}

// HoldSlack returns how much longer than its hold a watch may take before it counts as failed.
func (c *Cadence) HoldSlack() time.Duration {
	if c.Span() > burstSpan {
		return holdSlack
	}
	return holdSlackShort
}

// Answered records that a call was answered after the given time. If queued is set, the answer was available before
// the call, so the time shows how long discovery's queue is; otherwise it includes the wait for a change. The load
// that the other schedulers put on discovery thus decides how far apart this one calls.
func (c *Cadence) Answered(took time.Duration, queued bool) {
	c.lastFailed = false
	switch {
	case took < burstSpan/8:
		c.span = max(c.Span()/2, c.initialSpan()/8)
	case took < burstSpan/2:
		c.span = max(c.Span()*7/8, c.initialSpan()/8)
	case took > burstSpan && queued:
		c.span = min(c.Span()*3/2, max(c.AskWithin, c.Span()))
	}
}

// FirstDelay returns the delay before the first call; jitter is from 0 to 1. New schedulers have the oldest list and
// use a shorter delay. The call is made before AskWithin has passed, after which changes count as delivered.
func (c *Cadence) FirstDelay(jitter float64) time.Duration {
	if c.Span() <= burstSpan {
		return 0
	}
	return min(time.Duration(jitter*float64(c.Span())), c.AskWithin*17/20)
}

// NextDelay returns the delay before the next call; jitter is from 0 to 1. It is 0 if all schedulers may call at
// once. After an answer it is short enough that the watch still counts as open; otherwise changes in between would
// count as delivered.
func (c *Cadence) NextDelay(jitter float64) time.Duration {
	limit := maxRenewalDelay
	if c.lastFailed {
		limit = c.AskWithin * 2
	}
	return min(time.Duration(2*jitter*float64(max(0, c.Span()-burstSpan))), limit)
}

// Hold returns how long discovery may hold a call open. The more schedulers share discovery, the longer it is.
func (c *Cadence) Hold(jitter float64) time.Duration {
	hold := min(max(watchHold, 5*c.Span()), maxHold)
	if hold > watchHold {
		hold -= time.Duration(jitter * float64(hold-watchHold) / 2)
	}
	return hold
}

// listCall is one call to discovery and its answer.
type listCall struct {
	discovery  *Discovery
	addr       string
	conn       Conn
	cancelDial func()
	parser     *http1.Parser
	timer      *engine.Timer
	newWatch   bool
	reload     bool
	body       []byte
	ended      bool
	extended   bool // the timeout has been extended once
	startedAt  decide.Time
}

// listMessage is a list answer, or the known list of the configuration.
type listMessage struct {
	Index     int64      `json:"index"`
	Snapshot  bool       `json:"snapshot"`
	Endpoints []endpoint `json:"endpoints"`
}

type endpoint struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	SinceMS float64 `json:"since_ms"`
}

var statusStates = map[string]decide.State{"SERVING": decide.Ready, "DRAINING": decide.Draining, "DELETED": decide.Gone}

func (l *listMessage) entries() []engine.Entry {
	out := make([]engine.Entry, 0, len(l.Endpoints))
	for _, listed := range l.Endpoints {
		state, ok := statusStates[listed.Status]
		if !ok {
			state = decide.Draining // an unknown status does not mean that the worker accepts new jobs
		}
		out = append(out, engine.Entry{Name: listed.Name, Addr: listed.Address, Zone: listed.Zone, Kind: listed.Type, Cell: listed.Group,
			State: state, Weight: listed.Weight, StartedAt: decide.Time(listed.SinceMS * 1000)})
	}
	return out
}

// ReadList parses a list answer. A missing name or address or a duplicate name is an error, because a partial list is
// worse than the previous one.
func ReadList(text []byte) ([]engine.Entry, error) {
	var l listMessage
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, err
	}
	names := map[string]bool{}
	for i, e := range l.Endpoints {
		if e.Name == "" || e.Address == "" || names[e.Name] {
			return nil, fmt.Errorf("endpoint %d (%q): name missing or not unique, or address missing", i, e.Name)
		}
		if _, ok := statusStates[e.Status]; !ok {
			return nil, fmt.Errorf("endpoint %d (%q): status %q; allowed: SERVING, DRAINING, DELETED", i, e.Name, e.Status)
		}
		names[e.Name] = true
	}
	return l.entries(), nil
}

// Close ends the watch without reporting to the dispatcher.
func (d *Discovery) Close() {
	d.watching = false
	d.nextCall.Stop()
	d.nextCall = nil
	if d.pendingCall != nil {
		d.pendingCall.drop()
	}
}

// LoadKnown applies the list from the configuration.
func (d *Discovery) LoadKnown(text []byte) error {
	var l listMessage
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	d.index = l.Index
	d.Engine.Announce(decide.ListCached, l.entries())
	return nil
}

// Index returns the version of this process's list.
func (d *Discovery) Index() int64 { return d.index }

// ApplyRelayed applies an update that another process of this scheduler has received. An update that is not newer
// than this process's list is ignored.
func (d *Discovery) ApplyRelayed(index int64, text []byte) error {
	var l listMessage
	if err := json.Unmarshal(text, &l); err != nil {
		return err
	}
	if index <= d.index || d.needSnapshot {
		return nil
	}
	d.index, d.relayedAt = index, d.Engine.Now()
	kind := decide.ListDelta
	if l.Snapshot {
		kind = decide.ListFull
	}
	d.Engine.AnnounceRelayed(kind, l.entries())
	return nil
}

// Watch implements engine.Directory.
func (d *Discovery) Watch(on bool) {
	d.watching = on
	if on && d.pendingCall == nil && d.nextCall == nil {
		d.scheduleNext(true)
	}
}

// jitter returns a random number from 0 to 1, or 0 if Rand is nil.
func (d *Discovery) jitter() float64 {
	if d.Rand == nil {
		return 0
	}
	return d.Rand.Float64()
}

// scheduleNext schedules the next call of the watch after the delay that Cadence computes.
func (d *Discovery) scheduleNext(newWatch bool) {
	delay := d.Cadence.NextDelay
	if !d.hasCalled {
		delay = d.Cadence.FirstDelay
	}
	d.hasCalled = true
	wait := delay(d.jitter())
	if d.FromAgent {
		wait = 0
	}
	d.scheduleAfter(wait, newWatch)
}

// scheduleAfter makes the next call of the watch after the delay.
func (d *Discovery) scheduleAfter(delay time.Duration, newWatch bool) {
	if delay == 0 {
		d.startCall(newWatch, false)
		return
	}
	d.nextCall = d.Engine.After(delay, func() {
		d.nextCall = nil
		if d.watching && d.pendingCall == nil {
			d.startCall(newWatch, false)
		}
	})
}

// Reload implements engine.Directory.
func (d *Discovery) Reload() {
	if d.pendingCall != nil { // the answer to the pending call may be older than this request
		d.reloadWanted = true
		return
	}
	d.startCall(false, true)
}

// Move switches to another discovery at once. A pending call to the old one is dropped without a report, because its
// answer or failure says nothing about the new one.
func (d *Discovery) Move(addr string) {
	if addr == d.Addr {
		return
	}
	if d.pendingCall != nil {
		d.pendingCall.drop()
	}
	d.Addr, d.needSnapshot, d.watching = addr, true, true
	d.startCall(true, true)
}

// timeouts returns how long discovery may hold a call open and how much longer its answer may take.
func (d *Discovery) timeouts(immediate bool) (hold, slack time.Duration) {
	switch {
	case d.FromAgent && immediate:
		return immediateHold, agentTimeout
	case d.FromAgent:
		return agentHold, agentTimeout
	case immediate:
		return immediateHold, d.Cadence.CallTimeout()
	}
	return d.Cadence.Hold(d.jitter()), d.Cadence.HoldSlack()
}

func (d *Discovery) startCall(newWatch, reload bool) {
	reload = reload || d.needSnapshot || d.reloadWanted
	d.reloadWanted = false
	d.nextCall.Stop()
	d.nextCall = nil
	call := &listCall{discovery: d, addr: d.Addr, startedAt: d.Engine.Now(), newWatch: newWatch, reload: reload, parser: http1.NewResponseParser()}
	d.pendingCall = call
	call.parser.OnBody = func(b []byte) {
		if len(call.body)+len(b) <= maxListBytes {
			call.body = append(call.body, b...)
		} else {
			call.end(nil, "list is too long")
		}
	}
	hold, slack := d.timeouts(newWatch || reload)
	d.Engine.Counts.ListCalls++
	call.timer = d.Engine.After(hold+slack, call.timedOut)
	call.cancelDial = d.Dialer.Get(call.addr, false, func(c Conn) {
		call.cancelDial = nil
		if call.ended {
			if c != nil {
				d.Dialer.Put(call.addr, c)
			}
			return
		}
		if c == nil {
			call.end(nil, "no connection")
			return
		}
		target := "/api/targets"
		if !reload {
			target += "?from=" + formatInt(d.index) + "&hold_ms=" + formatInt(int64(hold/time.Millisecond))
		}
		call.conn = c
		c.SetHandler(call)
		c.Write(http1.AppendRequest(nil, "GET", target, nil, http1.Field{Name: "Host", Value: call.addr}), nil)
	})
}

// Data implements Handler.
func (x *listCall) Data(b []byte) {
	n, whole, err := x.parser.Feed(b)
	switch {
	case x.ended:
	case err != nil:
		x.end(nil, err.Error())
	case whole:
		x.responseComplete(n == len(b))
	}
}

// Closed implements Handler.
func (x *listCall) Closed() {
	if x.ended {
		return
	}
	if x.parser.End() {
		x.responseComplete(false)
		return
	}
	x.end(nil, "connection broke")
}

func (x *listCall) responseComplete(clean bool) {
	if clean && x.parser.Msg.KeepAlive {
		c := x.conn
		x.conn = nil
		x.discovery.Dialer.Put(x.addr, c)
	}
	if s := x.parser.Msg.Status; s != 200 {
		x.end(nil, "status "+formatInt(int64(s)))
		return
	}
	answer := new(listMessage)
	if err := json.Unmarshal(x.body, answer); err != nil {
		x.end(nil, err.Error())
		return
	}
	x.end(answer, "")
}

// timedOut ends a call that was not answered in time. A watch without an answer is broken even if its connection is
// still open. It is reopened at once, because what it has missed is about to count as delivered.
func (x *listCall) timedOut() {
	d := x.discovery
	if !x.extended && x.conn != nil && x.conn.Unread() { // the delay was in this process
		x.extended = true
		x.timer = d.Engine.After(agentTimeout, x.timedOut)
		return
	}
	if x.newWatch || x.reload || !d.watching {
		x.end(nil, noAnswer)
		return
	}
	x.drop()
	d.Engine.Counts.ListFailed++
	slog.Warn("watch of the worker list has fallen silent", withService(d.Service, "after", d.Engine.Now()-x.startedAt)...)
	d.startCall(true, false)
}

const noAnswer = "no answer"

// end ends the call, renews the watch and reports the result, in that order, because the renewal must not be delayed.
func (x *listCall) end(answer *listMessage, reason string) {
	if x.ended {
		return
	}
	discovery := x.discovery
	x.drop()
	took := time.Duration(discovery.Engine.Now()-x.startedAt) * time.Microsecond
	if answer == nil {
		if reason == noAnswer {
			discovery.Cadence.TimedOut()
		} else {
			discovery.Cadence.Failed()
		}
		slog.Warn("worker list call failed", withService(discovery.Service, "why", reason)...)
		discovery.Engine.Announce(decide.ListFailed, nil)
		if discovery.FromAgent && discovery.watching && discovery.pendingCall == nil && discovery.nextCall == nil { // the dispatcher does not call again
			discovery.scheduleAfter(agentRetryDelay, true)
		}
		return
	}
	slog.Debug("worker list", withService(discovery.Service, "index", answer.Index, "from", discovery.index, "lines", len(answer.Endpoints), "took", took)...)
	queued := x.newWatch || x.reload || answer.Index > discovery.index+1
	discovery.Cadence.Answered(took, queued)
	if queued {
		discovery.Engine.Counts.ListWait = max(discovery.Engine.Counts.ListWait, took)
	}
	if !answer.Snapshot && !x.reload && answer.Index < discovery.index && discovery.relayedAt <= x.startedAt {
		// A delta up to an older index does not contain the missing changes; only a whole list is usable.
		slog.Warn("worker list went back", withService(discovery.Service, "index", answer.Index, "from", discovery.index)...)
		discovery.needSnapshot = true
		discovery.startCall(false, true)
		return
	}
	stale := discovery.relayedAt > x.startedAt && answer.Index < discovery.index // another process has relayed a newer update during the call
	if stale {
		answer.Index = discovery.index
	} else if discovery.OnUpdate != nil && (answer.Snapshot || len(answer.Endpoints) > 0) {
		discovery.OnUpdate(answer.Index, x.body)
	}
	discovery.index, discovery.needSnapshot = answer.Index, false
	switch {
	case discovery.reloadWanted:
		discovery.startCall(false, true)
	case discovery.watching:
		discovery.scheduleNext(false)
	}
	switch {
	case stale:
		discovery.Engine.Announce(decide.ListDelta, nil)
	case answer.Snapshot || x.reload:
		discovery.Engine.Announce(decide.ListFull, answer.entries())
	case x.newWatch || len(answer.Endpoints) > 0:
		discovery.Engine.Announce(decide.ListDelta, answer.entries())
	}
}

// drop ends the call without reporting to the dispatcher.
func (x *listCall) drop() {
	x.ended = true
	x.discovery.pendingCall = nil
	x.timer.Stop()
	if x.cancelDial != nil {
		x.cancelDial()
	}
	if x.conn != nil {
		x.conn.Close()
	}
}
