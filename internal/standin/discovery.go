package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// This file owns discovery and the configuration that a scheduler is started with.

// Entry is a worker as discovery names it.
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
	srv   *http.Server
	addr  string
	stop  chan struct{}
	mu    sync.Mutex
	index int64
	list  []listed
	news  chan struct{} // closed with each change
	calls []string
	at    []time.Time // of each
	down  bool
	take  func(n int, w http.ResponseWriter, r *http.Request) bool
}

type listed struct {
	Entry
	index int64 // of its last change
}

// StartDiscovery starts one that names these workers. Close ends it.
func StartDiscovery(entries ...Entry) (*Discovery, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	d := &Discovery{addr: ln.Addr().String(), stop: make(chan struct{}), news: make(chan struct{}), index: 1}
	d.Set(entries...)
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", d.serve)
	d.srv = &http.Server{Handler: mux}
	go func() { _ = d.srv.Serve(ln) }()
	return d, nil
}

// Addr is where it listens.
func (d *Discovery) Addr() string { return d.addr }

// Close ends it, with the watches that it holds.
func (d *Discovery) Close() {
	close(d.stop)
	d.srv.Close()
}

// Set changes or adds entries, by name, and tells the watches.
func (d *Discovery) Set(entries ...Entry) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.index++
	for _, e := range entries {
		at := -1
		for i := range d.list {
			if d.list[i].Name == e.Name {
				at = i
			}
		}
		if at < 0 {
			at = len(d.list)
			d.list = append(d.list, listed{})
		}
		d.list[at] = listed{e, d.index}
	}
	close(d.news)
	d.news = make(chan struct{})
}

// Intercept has f see each call first, by its number from 1 on; where it returns true it has answered, or not, as it likes.
func (d *Discovery) Intercept(f func(n int, w http.ResponseWriter, r *http.Request) bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.take = f
}

// CallTimes returns when each call came.
func (d *Discovery) CallTimes() []time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]time.Time(nil), d.at...)
}

// SetDown makes every call fail with 503 until it is lifted; watches that are held fail too.
func (d *Discovery) SetDown(down bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.down = down
	close(d.news)
	d.news = make(chan struct{})
}

// Calls returns the query of each call so far.
func (d *Discovery) Calls() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]string(nil), d.calls...)
}

// Known is the list as a scheduler's configuration carries it.
func (d *Discovery) Known() json.RawMessage {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.answer(0)
}

// answer is the list of what changed after that version; of 0, the whole. mu is held.
func (d *Discovery) answer(from int64) json.RawMessage {
	out := struct {
		Index     int64   `json:"index"`
		Snapshot  bool    `json:"snapshot"`
		Endpoints []Entry `json:"endpoints"`
	}{d.index, from == 0, []Entry{}}
	for _, e := range d.list {
		if e.index > from && (from > 0 || e.Status != "DELETED") {
			out.Endpoints = append(out.Endpoints, e.Entry)
		}
	}
	text, _ := json.Marshal(out)
	return text
}

func (d *Discovery) serve(w http.ResponseWriter, r *http.Request) {
	from, _ := strconv.ParseInt(r.URL.Query().Get("from"), 10, 64)
	hold, _ := strconv.Atoi(r.URL.Query().Get("hold_ms"))
	limit := time.NewTimer(time.Duration(hold) * time.Millisecond)
	defer limit.Stop()
	d.mu.Lock()
	d.calls, d.at = append(d.calls, r.URL.RawQuery), append(d.at, time.Now())
	if take, n := d.take, len(d.calls); take != nil {
		d.mu.Unlock()
		if take(n, w, r) {
			return
		}
		d.mu.Lock()
	}
	for held := true; held && !d.down && from > 0 && d.index <= from; {
		news := d.news
		d.mu.Unlock()
		select {
		case <-news:
		case <-limit.C:
			held = false
		case <-r.Context().Done():
			held = false
		case <-d.stop:
			held = false
		}
		d.mu.Lock()
	}
	defer d.mu.Unlock()
	if d.down {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	_, _ = w.Write(d.answer(from))
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

// SchedulerConfig is what a scheduler is started with.
type SchedulerConfig struct {
	Name      string // "n0"
	Listen    string // "127.0.0.1:0"
	Discovery string
	Classes   []Class // Classes()
	MemoryMB  int     // 192
	Sockets   int     // 1024
	Known     json.RawMessage
	Pushed    bool          // lists are pushed: Discovery is an agent
	Zones     []string      // "here"
	Zone      int           // the scheduler's
	Nodes     int           // 1
	ColdSpan  time.Duration // 10 minutes: a worker once cold stays so for the length of a test
}

// Classes are two: view may be repeated, send must never run twice.
func Classes() []Class {
	return []Class{{Name: "view", Effect: "read_like", Aim: 5 * time.Second, Deadline: 9 * time.Second, Worth: 1, Stretch: 2},
		{Name: "send", Effect: "non_idempotent", Aim: 5 * time.Second, Deadline: 9 * time.Second, Worth: 1, Stretch: 2}}
}

// JSON is the configuration as the file that GW_CONFIG names.
func (s SchedulerConfig) JSON() []byte {
	def := func(v *string, otherwise string) {
		if *v == "" {
			*v = otherwise
		}
	}
	def(&s.Name, "n0")
	def(&s.Listen, "127.0.0.1:0")
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
	how := "subscribe"
	if s.Pushed {
		how = "automatic"
	}
	type m = map[string]any
	text, _ := json.Marshal(m{
		"name": s.Name, "listen": s.Listen, "discovery": s.Discovery, "seed": "1", "known": s.Known,
		"limits": m{"cores": 1, "memory_mb": s.MemoryMB, "sockets": s.Sockets},
		"settings": m{
			"balancers": max(1, s.Nodes), "zone": s.Zone, "zones": s.Zones, "kinds": []string{"box"}, "discovery": how,
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
