package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// This file implements the stand-in of the discovery service, and the configuration that a scheduler is started with.

// Entry describes a worker as discovery lists it.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"` // SERVING, DRAINING or DELETED
	Weight  float64 `json:"weight"`
	SinceMS int64   `json:"since_ms"`
}

// Discovery is a running stand-in of the discovery service.
type Discovery struct {
	server    *http.Server
	addr      string
	stop      chan struct{}
	mu        sync.Mutex
	version   int64
	entries   []versionedEntry
	changed   chan struct{} // closed and replaced at each change
	queries   []string      // the raw query of each call
	callTimes []time.Time   // when each call came
	down      bool
	intercept func(n int, w http.ResponseWriter, r *http.Request) bool
}

type versionedEntry struct {
	Entry
	version int64 // of the list at the last change to the entry
}

// StartDiscovery starts a discovery service that lists these workers. Close stops it.
func StartDiscovery(entries ...Entry) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{addr: ln.Addr().String(), stop: make(chan struct{}), changed: make(chan struct{}), version: 1}
	d.Set(entries...)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.serve)
	d.server = &http.Server{Handler: mux}
	go func() { _ = d.server.Serve(ln) }()
	return d, nil
}

// Addr returns the address that it listens on.
func (d *Discovery) Addr() string { return d.addr }

// Close stops the service and the long polls that are open.
func (d *Discovery) Close() {
	close(d.stop)
	d.server.Close()
}

// Set adds entries or replaces those of the same name, and answers the open long polls.
func (d *Discovery) Set(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.version++
	for _, e := range entries {
		index := -1
		for i := range d.entries {
			if d.entries[i].Name == e.Name {
				index = i
			}
		}
		if index < 0 {
			index = len(d.entries)
			d.entries = append(d.entries, versionedEntry{})
		}
		d.entries[index] = versionedEntry{e, d.version}
	}
	close(d.changed)
	d.changed = make(chan struct{})
}

// Intercept passes each call to f first, with its number from 1 on. If f returns true, the call is done, answered or not.
func (d *Discovery) Intercept(f func(n int, w http.ResponseWriter, r *http.Request) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.intercept = f
}

// CallTimes returns the arrival time of each call so far.
func (d *Discovery) CallTimes() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time(nil), d.callTimes...)
}

// SetDown makes every call fail with 503, open long polls too, until it is called with false.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.changed)
	d.changed = make(chan struct{})
}

// Calls returns the query of each call so far.
func (d *Discovery) Calls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.queries...)
}

// Known returns the whole list, as a scheduler's configuration contains it.
func (d *Discovery) Known() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.changesAfter(0)
}

// changesAfter returns the entries that changed after a version, or the whole list for version 0. The caller holds mu.
func (d *Discovery) changesAfter(version int64) json.RawMessage {
	out := struct {
		Index     int64   `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []Entry `json:"endpoints"`
	}{d.version, version == 0, []Entry{}}
	for _, e := range d.entries {
		if e.version > version && (version > 0 || e.Status != "DELETED") {
			out.Endpoints = append(out.Endpoints, e.Entry)
		}
	}
	text, _ := json.Marshal(out)
	return text
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	holdMS, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	timeout := time.NewTimer(time.Duration(holdMS) * time.Millisecond)
	defer timeout.Stop()
	d.mu.Lock()
	d.queries, d.callTimes = append(d.queries, r.URL.RawQuery), append(d.callTimes, time.Now())
	if intercept, n := d.intercept, len(d.queries); intercept != nil {
		d.mu.Unlock()
		if intercept(n, w, r) {
			return
		}
		d.mu.Lock()
	}
	for waiting := true; waiting && !d.down && from > 0 && d.version <= from; {
		changed := d.changed
		d.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			waiting = false
		case <-r.Context().Done():
			waiting = false
		case <-d.stop:
			waiting = false
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	if d.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(d.changesAfter(from))
}

// Class is a class of jobs in a scheduler's settings.
type Class struct {
	Name     string        `json:"name"`
	Effect   string        `json:"effect"` // read_like or non_idempotent
	Aim      time.Duration `json:"-"`
	Deadline time.Duration `json:"-"`
	Worth    float64       `json:"worth"`
	Stretch  float64       `json:"aim_stretch"`

	AimUS      int64 `json:"aim_us"`
	DeadlineUS int64 `json:"deadline_us"`
}

// SchedulerConfig is the configuration that a scheduler is started with. A zero field means the default in its comment.
type SchedulerConfig struct {
	Name      string // default "n0"
	Listen    string // default "127.0.0.1:0"
	Discovery string
	Classes   []Class // default Classes()
	MemoryMB  int     // default 192
	Sockets   int     // default 1024
	Known     json.RawMessage
	Pushed    bool          // lists are pushed: Discovery is the address of an agent
	Zones     []string      // default "here"
	Zone      int           // index of the scheduler's zone in Zones
	Nodes     int           // how many schedulers there are; default 1
	ColdSpan  time.Duration // default 10 minutes, so that a restarted worker stays cold until a test ends
}

// Classes returns the two default classes: view may be repeated, send must never run twice.
func Classes() []Class {
	return []Class{{Name: "view", Effect: "read_like", Aim: 5 * time.Second, Deadline: 9 * time.Second, Worth: 1, Stretch: 2},
		{Name: "send", Effect: "non_idempotent", Aim: 5 * time.Second, Deadline: 9 * time.Second, Worth: 1, Stretch: 2}}
}

// JSON returns the content of the file that GW_CONFIG names.
func (s SchedulerConfig) JSON() []byte {
	setDefault := func(v *string, value string) {
		if *v == "" {
			*v = value
		}
	}
	setDefault(&s.Name, "n0")
	setDefault(&s.Listen, "127.0.0.1:0")
	if s.MemoryMB == 0 {
		s.MemoryMB = 192
	}
	if s.Sockets == 0 {
		s.Sockets = 1024
	}
	if s.Classes == nil {
		s.Classes = Classes()
	}
	if s.ColdSpan == 0 {
		s.ColdSpan = 10 * time.Minute
	}
	if s.Zones == nil {
		s.Zones = []string{"here"}
	}
	if s.Known == nil {
		s.Known = json.RawMessage(`{}`)
	}
	classes := append([]Class(nil), s.Classes...)
	for i := range classes {
		classes[i].AimUS, classes[i].DeadlineUS = classes[i].Aim.Microseconds(), classes[i].Deadline.Microseconds()
	}
	mode := "subscribe"
	if s.Pushed {
		mode = "automatic"
	}
	type m = map[string]any
	text, _ := json.Marshal(m{
		"name": s.Name, "listen": s.Listen, "discovery": s.Discovery, "seed": "1", "known": s.Known,
		"limits": m{"cores": 1, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"settings": m{
			"balancers": max(1, s.Nodes), "zone": s.Zone, "zones": s.Zones, "kinds": []string{"box"}, "discovery": mode,
			"resolution_us": 4000,
			"limits": m{"probes": true, "cancel": true, "max_attempts": 4, "retry_after": true,
				"max_retry_after_us": 2000000, "connect_timeout_us": 250000, "conn_idle_us": 10000000},
			"obligations": m{"answer_slack_us": 16000, "ask_within_us": 10000000, "cold_from": 0.3,
				"cold_us": s.ColdSpan.Microseconds(), "drain_grace_us": 300000, "overload_for_us": 1500000, "tip_multiple": 4.0},
			"report":      m{"fields": []string{"active", "cpu", "x0"}, "how": "pull"},
			"family_info": m{"report_x0": "free_slots", "tells_start": true},
			"classes":     classes,
		}})
	return text
}
