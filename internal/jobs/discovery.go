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

// This file owns the watch on the worker list. It renews a watch as soon as it has been answered, so that no
// change falls between, and says so at once when one fails; when to ask again is the module's decision. It
// must never have two calls out, nor wait for an answer without end.

const (
	// firstHold asks a new watch to answer at once: the module waits for the answer to its call.
	immediateHold = time.Millisecond
	// watchHold is how long discovery may sit on a call. Word that is lost on the way counts as told two
	// seconds after the hold's end, so it must be short; every renewal is work for discovery, which has
	// little to spare, so it must not be too short.
	watchHold = 8 * time.Second
	// patience is how long an answer to a call that need not wait may take: discovery lets calls queue for some seconds.
	callTimeout = 3 * time.Second
	// alone is the same where few share discovery and nothing queues there.
	callTimeoutShort = 800 * time.Millisecond
	// overdue is how much longer than its hold a watch may take before it counts as silent. Two seconds after the hold what
	// it has missed counts as told: by then another call has to be answered. Where few share discovery there is time for
	// the call after that too, should the first one meet silence as well.
	holdSlack      = 1300 * time.Millisecond
	holdSlackShort = 500 * time.Millisecond
	// agentHold, agentPatience and agentPause are the same of an agent that lists are pushed to, and how soon a call that came
	// to nothing is followed by the next. It is silent while discovery is down, and what it gets at the return counts as told
	// at once: a call that meets its silence must not outlive that for long. Its calls cost discovery nothing.
	agentHold       = time.Second
	agentTimeout    = 200 * time.Millisecond
	agentRetryDelay = 50 * time.Millisecond
	// callShare is how long one call of one scheduler is taken to keep discovery, before anything is known of it.
	initialCallCost = 90 * time.Millisecond
	// burst is what discovery is let to work off at once: schedulers that all ask within it harm nobody.
	burstSpan = 800 * time.Millisecond
	// renewal is how soon after its answer a watch is renewed at the latest. For 200 ms it counts as standing, so that a
	// change within them counts as told: a pause there once had schedulers send to workers for seconds that they had
	// "been told" were gone.
	maxRenewalDelay = 120 * time.Millisecond
	// maxHold keeps a watch whose connection has died unseen from leaving us deaf for long.
	maxHold = 20 * time.Second
	// maxList bounds a list answer; a thousand workers take about a quarter of it.
	maxListBytes = 1 << 20
)

// Discovery implements engine.Directory over HTTP.
type Discovery struct {
	Engine *engine.Engine
	Dialer Dialer
	Addr   string
	// Service names the service in the log; "" is the platform's.
	Service string

	// FromAgent says that Addr is an agent's on this machine: it answers at once with what it has been sent, and all of that
	// counts as told. The module takes it that changes come on their own, and asks for no watch: this one stands from the
	// start, whatever becomes of its calls, and Cadence has no part in it.
	FromAgent bool

	// Rand spreads the calls; nil: they are not spread.
	Rand *rand.Rand
	// Cadence is how far apart the calls of this scheduler are.
	Cadence Cadence

	// News, if set, is told what this process has heard of discovery, in the form of its answers.
	OnUpdate func(index int64, list []byte)

	hasCalled    bool          // a call was made, or waits
	nextCall     *engine.Timer // for the moment of the next call
	index        int64
	needSnapshot bool // the index is not this discovery's: only a whole list can tell where we stand
	reloadWanted bool // a whole list was asked for while a call was out
	watching     bool
	pendingCall  *listCall
	relayedAt    decide.Time // when another process last told us of newer news than ours
}

// Cadence decides how far apart a scheduler's calls are. Discovery is one service for all and handles calls one after
// another, also those whose answers come too late to be taken: where every scheduler asks again at once, after a change
// of the list or a 503, all wait for calls that nobody wants any more, for good. So each leaves the others their turn,
// longer as calls fail, less long as answers come soon. The zero value leaves none.
type Cadence struct {
	Nodes      int           // schedulers that share discovery
	AskWithin  time.Duration // silence longer than this counts as having been told; four times that after a failed call
	span       time.Duration // over which one call of each scheduler is spread; 0: nothing was heard yet
	lastFailed bool          // the last call came to nothing
}

// all is how long discovery is taken to need for one call of each scheduler, before anything is known of it.
func (c *Cadence) initialSpan() time.Duration { return time.Duration(c.Nodes) * initialCallCost }

// Span is the time over which one call of each scheduler is spread.
func (c *Cadence) Span() time.Duration {
	if c.span == 0 {
		c.span = c.initialSpan()
	}
	return c.span
}

// Failed takes in that a call came to nothing.
func (c *Cadence) Failed() {
	c.lastFailed = true
	c.span = min(2*max(c.Span(), burstSpan), max(c.AskWithin, c.Span()))
}

// Silent takes in that nothing was said to a call. Where few share discovery it is no sign that others wait there too.
func (c *Cadence) TimedOut() {
	if c.Span() > burstSpan {
		c.Failed()
	}
}

// CallTimeout is how long an answer to a call that need not wait may take.
func (c *Cadence) CallTimeout() time.Duration {
	if c.Span() > burstSpan {
		return callTimeout
	}
	return callTimeoutShort
}

// HoldSlack is how much longer than its hold a watch may take before it counts as silent.
func (c *Cadence) HoldSlack() time.Duration {
	if c.Span() > burstSpan {
		return holdSlack
	}
	return holdSlackShort
}

// Answered takes in that one was answered within so long; queued says that the answer was there before the call, which
// then shows how long discovery's queue is. What others make it do tells how far apart to ask.
func (c *Cadence) Answered(within time.Duration, queued bool) {
	c.lastFailed = false
	switch {
	case within < burstSpan/8:
		c.span = max(c.Span()/2, c.initialSpan()/8)
	case within < burstSpan/2:
		c.span = max(c.Span()*7/8, c.initialSpan()/8)
	case within > burstSpan && queued:
		c.span = min(c.Span()*3/2, max(c.AskWithin, c.Span()))
	}
}

// FirstDelay is how long to wait before the first call; luck is from 0 to 1. Who has just started knows least and goes first;
// the call comes before our silence counts as having been told.
func (c *Cadence) FirstDelay(jitter float64) time.Duration {
	if c.Span() <= burstSpan {
		return 0
	}
	return min(time.Duration(jitter*float64(c.Span())), c.AskWithin*17/20)
}

// NextDelay is how long to wait before the next call; luck is from 0 to 1. It is none where all may as well ask at once, and
// after an answer never so long that the watch has ended: what changed meanwhile would count as told.
func (c *Cadence) NextDelay(jitter float64) time.Duration {
	limit := maxRenewalDelay
	if c.lastFailed {
		limit = c.AskWithin * 2
	}
	return min(time.Duration(2*jitter*float64(max(0, c.Span()-burstSpan))), limit)
}

// Hold is how long discovery may sit on a call: the more share it, the longer.
func (c *Cadence) Hold(jitter float64) time.Duration {
	hold := min(max(watchHold, 5*c.Span()), maxHold)
	if hold > watchHold {
		hold -= time.Duration(jitter * float64(hold-watchHold) / 2)
	}
	return hold
}

// listCall is one call and its answer.
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
	extended   bool // it was given more time
	startedAt  decide.Time
}

// list is a list answer or the known list of the configuration.
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
	for _, in := range l.Endpoints {
		state, ok := statusStates[in.Status]
		if !ok {
			state = decide.Draining // whatever it is, it does not say that new work is wanted
		}
		out = append(out, engine.Entry{Name: in.Name, Addr: in.Address, Zone: in.Zone, Kind: in.Type, Cell: in.Group,
			State: state, Weight: in.Weight, StartedAt: decide.Time(in.SinceMS * 1000)})
	}
	return out
}

// ReadList reads a list answer. A worker without a name or an address, or with a name that stands twice, is an error: half
// a list is worse than the last one.
func ReadList(text []byte) ([]engine.Entry, error) {
	var l listMessage
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, err
	}
	names := map[string]bool{}
	for i, e := range l.Endpoints {
		if e.Name == "" || e.Address == "" || names[e.Name] {
			return nil, fmt.Errorf("endpoint %d (%q): no name of its own, or no address", i, e.Name)
		}
		if _, ok := statusStates[e.Status]; !ok {
			return nil, fmt.Errorf("endpoint %d (%q): status %q; allowed: SERVING, DRAINING, DELETED", i, e.Name, e.Status)
		}
		names[e.Name] = true
	}
	return l.entries(), nil
}

// Close ends the watch, without a word to the module.
func (d *Discovery) Close() {
	d.watching = false
	d.nextCall.Stop()
	d.nextCall = nil
	if d.pendingCall != nil {
		d.pendingCall.drop()
	}
}

// Known takes in the list of the configuration.
func (d *Discovery) LoadKnown(text []byte) error {
	var l listMessage
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	d.index = l.Index
	d.Engine.Announce(decide.ListCached, l.entries())
	return nil
}

// Index is the version of the list that this process has.
func (d *Discovery) Index() int64 { return d.index }

// ApplyRelayed takes in news that another process of this scheduler has heard. What is older than ours says nothing.
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

// luck is a random number from 0 to 1.
func (d *Discovery) jitter() float64 {
	if d.Rand == nil {
		return 0
	}
	return d.Rand.Float64()
}

// later makes the next call of the watch when it is our turn.
func (d *Discovery) scheduleNext(newWatch bool) {
	next := d.Cadence.NextDelay
	if !d.hasCalled {
		next = d.Cadence.FirstDelay
	}
	d.hasCalled = true
	pause := next(d.jitter())
	if d.FromAgent {
		pause = 0
	}
	d.scheduleAfter(pause, newWatch)
}

// laterBy makes the next call of the watch after the pause.
func (d *Discovery) scheduleAfter(pause time.Duration, newWatch bool) {
	if pause == 0 {
		d.startCall(newWatch, false)
		return
	}
	d.nextCall = d.Engine.After(pause, func() {
		d.nextCall = nil
		if d.watching && d.pendingCall == nil {
			d.startCall(newWatch, false)
		}
	})
}

// Reload implements engine.Directory.
func (d *Discovery) Reload() {
	if d.pendingCall != nil { // what that one brings may be older than the wish
		d.reloadWanted = true
		return
	}
	d.startCall(false, true)
}

// Move goes on with another discovery, at once: a call that the old one holds is dropped without a word, since
// it would end with the old one's news or in a failure that says nothing of the new one.
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

// spans are how long discovery may sit on a call, and how much longer its answer may take.
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
	x := &listCall{discovery: d, addr: d.Addr, startedAt: d.Engine.Now(), newWatch: newWatch, reload: reload, parser: http1.NewResponseParser()}
	d.pendingCall = x
	x.parser.OnBody = func(b []byte) {
		if len(x.body)+len(b) <= maxListBytes {
			x.body = append(x.body, b...)
		} else {
			x.end(nil, "list is too long")
		}
	}
	hold, slack := d.timeouts(newWatch || reload)
	d.Engine.Counts.ListCalls++
	x.timer = d.Engine.After(hold+slack, x.timedOut)
	x.cancelDial = d.Dialer.Get(x.addr, false, func(c Conn) {
		x.cancelDial = nil
		if x.ended {
			if c != nil {
				d.Dialer.Put(x.addr, c)
			}
			return
		}
		if c == nil {
			x.end(nil, "no connection")
			return
		}
		target := "/api/targets"
		if !reload {
			target += "?from=" + formatInt(d.index) + "&hold_ms=" + formatInt(int64(hold/time.Millisecond))
		}
		x.conn = c
		c.SetHandler(x)
		c.Write(http1.AppendRequest(nil, "GET", target, nil, http1.Field{Name: "Host", Value: x.addr}), nil)
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
	l := new(listMessage)
	if err := json.Unmarshal(x.body, l); err != nil {
		x.end(nil, err.Error())
		return
	}
	x.end(l, "")
}

// silent ends a call to which nothing was said in its time. A watch of which that is so is broken, though its connection
// stands: it is opened anew at once, since what it has missed is about to count as told.
func (x *listCall) timedOut() {
	d := x.discovery
	if !x.extended && x.conn != nil && x.conn.Unread() { // it was us who were late
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

// end ends the call, renews the watch and tells the news, in that order: the renewal may not wait.
func (x *listCall) end(l *listMessage, why string) {
	if x.ended {
		return
	}
	d := x.discovery
	x.drop()
	took := time.Duration(d.Engine.Now()-x.startedAt) * time.Microsecond
	if l == nil {
		if why == noAnswer {
			d.Cadence.TimedOut()
		} else {
			d.Cadence.Failed()
		}
		slog.Warn("worker list call failed", withService(d.Service, "why", why)...)
		d.Engine.Announce(decide.ListFailed, nil)
		if d.FromAgent && d.watching && d.pendingCall == nil && d.nextCall == nil { // the module does not ask again
			d.scheduleAfter(agentRetryDelay, true)
		}
		return
	}
	slog.Debug("worker list", withService(d.Service, "index", l.Index, "from", d.index, "lines", len(l.Endpoints), "took", took)...)
	queued := x.newWatch || x.reload || l.Index > d.index+1
	d.Cadence.Answered(took, queued)
	if queued {
		d.Engine.Counts.ListWait = max(d.Engine.Counts.ListWait, took)
	}
	if !l.Snapshot && !x.reload && l.Index < d.index && d.relayedAt <= x.startedAt {
		// Changes up to a version before ours are not those that we lack: only the whole list tells where we stand.
		slog.Warn("worker list went back", withService(d.Service, "index", l.Index, "from", d.index)...)
		d.needSnapshot = true
		d.startCall(false, true)
		return
	}
	stale := d.relayedAt > x.startedAt && l.Index < d.index // another process has told us more meanwhile
	if stale {
		l.Index = d.index
	} else if d.OnUpdate != nil && (l.Snapshot || len(l.Endpoints) > 0) {
		d.OnUpdate(l.Index, x.body)
	}
	d.index, d.needSnapshot = l.Index, false
	switch {
	case d.reloadWanted:
		d.startCall(false, true)
	case d.watching:
		d.scheduleNext(false)
	}
	switch {
	case stale:
		d.Engine.Announce(decide.ListDelta, nil)
	case l.Snapshot || x.reload:
		d.Engine.Announce(decide.ListFull, l.entries())
	case x.newWatch || len(l.Endpoints) > 0:
		d.Engine.Announce(decide.ListDelta, l.entries())
	}
}

// drop ends the call without a word to the module.
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
