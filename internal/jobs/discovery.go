package jobs

import (
	"encoding/json"
	"fmt"
	"log/slog"
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
	firstHold = time.Millisecond
	// watchHold is how long discovery may sit on a call. Word that is lost on the way counts as told two
	// seconds after the hold's end, so it must be short; every renewal is work for discovery, which has
	// little to spare, so it must not be too short.
	watchHold = 8 * time.Second
	// patience is how much longer an answer may take: discovery lets calls queue for some seconds.
	patience = 3 * time.Second
	// maxList bounds a list answer; a thousand workers take about a quarter of it.
	maxList = 1 << 20
)

// Discovery implements engine.Directory over HTTP.
type Discovery struct {
	Engine *engine.Engine
	Dialer Dialer
	Addr   string
	// Service names the service in the log; "" is the platform's.
	Service string

	index   int64
	foreign bool // the index is not this discovery's: only a whole list can tell where we stand
	on      bool
	calling *listCall
}

// listCall is one call and its answer.
type listCall struct {
	d      *Discovery
	addr   string
	conn   Conn
	giveUp func()
	parser *http1.Parser
	timer  *engine.Timer
	first  bool
	reload bool
	body   []byte
	over   bool
}

// list is a list answer or the known list of the configuration.
type list struct {
	Index     int64 `json:"index"`
	Snapshot  bool  `json:"snapshot"`
	Endpoints []struct {
		Name    string  `json:"name"`
		Address string  `json:"address"`
		Zone    string  `json:"zone"`
		Type    string  `json:"type"`
		Group   int     `json:"group"`
		Status  string  `json:"status"`
		Weight  float64 `json:"weight"`
		SinceMS float64 `json:"since_ms"`
	} `json:"endpoints"`
}

var states = map[string]decide.State{"SERVING": decide.Ready, "DRAINING": decide.Draining, "DELETED": decide.Gone}

func (l *list) entries() []engine.Entry {
	out := make([]engine.Entry, 0, len(l.Endpoints))
	for _, in := range l.Endpoints {
		state, ok := states[in.Status]
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
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return nil, err
	}
	names := map[string]bool{}
	for i, e := range l.Endpoints {
		if e.Name == "" || e.Address == "" || names[e.Name] {
			return nil, fmt.Errorf("endpoint %d (%q): no name of its own, or no address", i, e.Name)
		}
		if _, ok := states[e.Status]; !ok {
			return nil, fmt.Errorf("endpoint %d (%q): status %q; allowed: SERVING, DRAINING, DELETED", i, e.Name, e.Status)
		}
		names[e.Name] = true
	}
	return l.entries(), nil
}

// Close ends the watch, without a word to the module.
func (d *Discovery) Close() {
	d.on = false
	if d.calling != nil {
		d.calling.drop()
	}
}

// Known takes in the list of the configuration.
func (d *Discovery) Known(text []byte) error {
	var l list
	if err := json.Unmarshal(text, &l); err != nil {
		return fmt.Errorf("known: %w", err)
	}
	d.index = l.Index
	d.Engine.Announce(decide.ListCached, l.entries())
	return nil
}

// Watch implements engine.Directory.
func (d *Discovery) Watch(on bool) {
	d.on = on
	if on && d.calling == nil {
		d.call(true, false)
	}
}

// Reload implements engine.Directory.
func (d *Discovery) Reload() {
	if d.calling == nil {
		d.call(false, true)
	}
}

// Move goes on with another discovery, at once: a call that the old one holds is dropped without a word, since
// it would end with the old one's news or in a failure that says nothing of the new one.
func (d *Discovery) Move(addr string) {
	if addr == d.Addr {
		return
	}
	if d.calling != nil {
		d.calling.drop()
	}
	d.Addr, d.foreign, d.on = addr, true, true
	d.call(true, true)
}

func (d *Discovery) call(first, reload bool) {
	reload = reload || d.foreign
	x := &listCall{d: d, addr: d.Addr, first: first, reload: reload, parser: http1.NewResponseParser()}
	d.calling = x
	x.parser.OnBody = func(b []byte) {
		if len(x.body)+len(b) <= maxList {
			x.body = append(x.body, b...)
		} else {
			x.end(nil, "list is too long")
		}
	}
	hold := watchHold
	if first {
		hold = firstHold
	}
	x.timer = d.Engine.After(hold+patience, func() { x.end(nil, "no answer") })
	x.giveUp = d.Dialer.Get(x.addr, false, func(c Conn) {
		x.giveUp = nil
		if x.over {
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
			target += "?from=" + itoa(d.index) + "&hold_ms=" + itoa(int64(hold/time.Millisecond))
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
	case x.over:
	case err != nil:
		x.end(nil, err.Error())
	case whole:
		x.whole(n == len(b))
	}
}

// Closed implements Handler.
func (x *listCall) Closed() {
	if x.over {
		return
	}
	if x.parser.End() {
		x.whole(false)
		return
	}
	x.end(nil, "connection broke")
}

func (x *listCall) whole(clean bool) {
	if clean && x.parser.Msg.KeepAlive {
		c := x.conn
		x.conn = nil
		x.d.Dialer.Put(x.addr, c)
	}
	if s := x.parser.Msg.Status; s != 200 {
		x.end(nil, "status "+itoa(int64(s)))
		return
	}
	l := new(list)
	if err := json.Unmarshal(x.body, l); err != nil {
		x.end(nil, err.Error())
		return
	}
	x.end(l, "")
}

// end ends the call, renews the watch and tells the news, in that order: the renewal may not wait.
func (x *listCall) end(l *list, why string) {
	if x.over {
		return
	}
	d := x.d
	x.drop()
	if l == nil {
		slog.Warn("worker list call failed", named(d.Service, "why", why)...)
		d.Engine.Announce(decide.ListFailed, nil)
		return
	}
	d.index, d.foreign = l.Index, false
	if d.on {
		d.call(false, false)
	}
	switch {
	case l.Snapshot || x.reload:
		d.Engine.Announce(decide.ListFull, l.entries())
	case x.first || len(l.Endpoints) > 0:
		d.Engine.Announce(decide.ListDelta, l.entries())
	}
}

// drop ends the call without a word to the module.
func (x *listCall) drop() {
	x.over = true
	x.d.calling = nil
	x.timer.Stop()
	if x.giveUp != nil {
		x.giveUp()
	}
	if x.conn != nil {
		x.conn.Close()
	}
}
