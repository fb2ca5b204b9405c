package emulator

import (
	"maps"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"

	"weldscale/decide"
	"weldscale/internal/config"
)

// This file reads scripts, which describe a fleet and its troubles in HCL.

// Script describes a fleet, its clients, its network and its troubles.
type Script struct {
	Duration    Time
	Zones       []string
	Schedulers  int
	Boxes       []*BoxKind
	Classes     []Class
	Rate        float64   // requests per second of all clients
	Curve       []float64 // factors of Rate at points evenly spread over Duration
	Retries     int       // retries of a client per job
	WorthPerJob bool      // a job's worth is per job, not per unit of work
	OmitHints   bool      // requests carry no hint about their work
	RetryWait   Time

	SameZoneDelay, CrossZoneDelay Time // one-way network delays within a zone and between zones
	Jitter                        float64
	ListDelay                     Time // shortest delay of list updates; the longest is 1.5 times as long
	ReportInterval                Time // how long a load report is reused before it is refreshed
	ReportNoise                   float64
	ProbeTimeout                  Time
	ColdFrom                      float64 // share of its capacity that a box has at its start
	ColdSpan                      Time
	OverloadMultiple              float64
	OverloadSpan                  Time
	DrainGrace                    Time

	Backfill       bool // boxes start any queued job that fits, not only the first
	ReportsQueue   bool // load reports include the queue length
	CancelsRunning bool // running work stops when its attempt is cancelled or times out
	SecondCopies   bool
	MaxAttempts    int  // attempts per request
	ProbeWork      Time // work of answering a probe, on a slot of speed 1

	Troubles []Trouble
}

// BoxKind is a kind of box. Boxes are assigned to the zones in turn.
type BoxKind struct {
	Name  string
	Count int
	Slots int
	Queue int
	Speed float64
}

// Class is a class of jobs.
type Class struct {
	Name   string
	Share  float64
	Work   Time    // mean, on a slot of speed 1
	Spread float64 // standard deviation of the work, as a share of the mean
	Slots  []int   // each equally likely
	Terms  decide.Class
}

// Trouble is a fault that the simulation injects from From to To.
type Trouble struct {
	Kind     string
	From, To Time
	Part     float64 // share of the boxes, schedulers or jobs that are affected
	Times    float64 // factor of the slowdown or of the work
	Takes    float64 // share of a box that another program uses, or of its jobs that fail
	Zone     string
	Class    string
	Pause    Time // duration of one pause of a box
	Every    Time
	Balancer bool // the schedulers of the zone are lost too
}

// troubleSettings lists the settings of each kind of trouble, except from and for.
var troubleSettings = map[string][]string{
	"vanish":         {"part"},
	"slow":           {"part", "times"},
	"pauses":         {"part", "pause", "every"},
	"heavy_tail":     {"part", "times", "class"},
	"zone_loss":      {"zone", "with_schedulers"},
	"drain":          {"part"},
	"restart":        {"every"},
	"discovery_down": {},
	"flapping":       {"part", "every"},
	"fast_errors":    {"part", "takes"},
	"neighbour":      {"part", "takes", "every"},
	"shared_slow":    {"times"},
	"balancer_crash": {"part"},
}

// Settings returns the settings of a scheduler in the given zone.
func (s *Script) Settings(zone int) decide.Settings {
	out := decide.Settings{Nodes: s.Schedulers, Zone: zone, Zones: len(s.Zones), CanProbe: true, CanCancel: true, MaxAttempts: s.MaxAttempts,
		SecondCopies:  s.SecondCopies,
		MaxRetryAfter: 2e6, DrainGrace: s.DrainGrace, ColdFrom: s.ColdFrom, ColdSpan: s.ColdSpan, OverloadMultiple: s.OverloadMultiple,
		OverloadSpan: s.OverloadSpan, AnswerSlack: 16e3, Tick: 4e3, TellsStart: true, WorthByWork: !s.WorthPerJob, CrossZoneCost: 0.03}
	for _, c := range s.Classes {
		out.Classes = append(out.Classes, c.Terms)
	}
	return out
}

// scriptBlocks holds the top-level blocks of a script.
type scriptBlocks struct {
	World    *worldBlock     `hcl:"world,block"`
	Boxes    []*labeledBlock `hcl:"box,block"`
	Classes  []*labeledBlock `hcl:"class,block"`
	Troubles []*labeledBlock `hcl:"trouble,block"`
}

type worldBlock struct {
	Body hcl.Body `hcl:",remain"`
}

type labeledBlock struct {
	Name string   `hcl:"name,label"`
	Body hcl.Body `hcl:",remain"`
}

const (
	ms     = 1e3
	minute = 60e6
)

// Read reads a script. Its error has one line for each problem, which starts with its position in the file.
func Read(path string) (*Script, error) {
	var blocks scriptBlocks
	r, err := config.Open(path, &blocks)
	if err != nil {
		return nil, err
	}
	if !r.Valid() {
		return nil, r.Err()
	}
	script := &Script{Duration: minute, Schedulers: 5, Rate: 26, Curve: []float64{1}, RetryWait: 50 * ms, SameZoneDelay: 200, CrossZoneDelay: 6 * ms, Jitter: 0.2,
		ListDelay: 1e6, ReportInterval: 60 * ms, ReportNoise: 0.1, ProbeTimeout: 500 * ms, ColdFrom: 0.3, ColdSpan: 8.6e6, OverloadMultiple: 4, OverloadSpan: 1500 * ms,
		DrainGrace: 300 * ms, Zones: []string{"here"}, MaxAttempts: 4}
	if blocks.World != nil {
		zones, curve := "", ""
		var choices [6]string
		r.Fields(blocks.World.Body, config.Field{Name: "for", Unit: config.Span, Min: 1e6, Max: 60 * minute, To: &script.Duration},
			config.Field{Name: "zones", Unit: config.Word, To: &zones}, config.Field{Name: "curve", Unit: config.Word, To: &curve},
			config.Field{Name: "schedulers", Unit: config.Count, Min: 1, Max: 5000, To: &script.Schedulers},
			config.Field{Name: "rate", Unit: config.Number, Min: 0.01, Max: 1e6, To: &script.Rate},
			config.Field{Name: "retries", Unit: config.Count, Min: 0, Max: 10, To: &script.Retries},
			config.Field{Name: "retry_wait", Unit: config.Span, Min: ms, Max: minute, To: &script.RetryWait},
			config.Field{Name: "same", Unit: config.Span, Min: 1, Max: 1e6, To: &script.SameZoneDelay},
			config.Field{Name: "cross", Unit: config.Span, Min: 1, Max: 1e6, To: &script.CrossZoneDelay},
			config.Field{Name: "jitter", Unit: config.Number, Min: 0, Max: 10, To: &script.Jitter},
			config.Field{Name: "notice", Unit: config.Span, Min: 0, Max: minute, To: &script.ListDelay},
			config.Field{Name: "refresh", Unit: config.Span, Min: 0, Max: minute, To: &script.ReportInterval},
			config.Field{Name: "noise", Unit: config.Number, Min: 0, Max: 1, To: &script.ReportNoise},
			config.Field{Name: "attempts", Unit: config.Count, Min: 1, Max: 100, To: &script.MaxAttempts},
			config.Field{Name: "drain_grace", Unit: config.Span, Min: 0, Max: minute, To: &script.DrainGrace},
			config.Field{Name: "probe_work", Unit: config.Span, Min: 0, Max: 1e6, To: &script.ProbeWork},
			config.Field{Name: "worth_by", Unit: config.Word, To: &choices[0]}, config.Field{Name: "hints", Unit: config.Word, To: &choices[1]},
			config.Field{Name: "order", Unit: config.Word, To: &choices[2]}, config.Field{Name: "reports", Unit: config.Word, To: &choices[3]},
			config.Field{Name: "cancels", Unit: config.Word, To: &choices[4]}, config.Field{Name: "copies", Unit: config.Word, To: &choices[5]},
			config.Field{Name: "cold", Unit: config.Number, Min: 0.01, Max: 1, To: &script.ColdFrom},
			config.Field{Name: "warms", Unit: config.Span, Min: 0, Max: 10 * minute, To: &script.ColdSpan})
		for i, choice := range []struct {
			name, usual, other string
			to                 *bool
		}{{"worth_by", "work", "request", &script.WorthPerJob}, {"hints", "good", "none", &script.OmitHints}, {"order", "fifo", "backfill", &script.Backfill},
			{"reports", "slots", "queue", &script.ReportsQueue}, {"cancels", "queued", "all", &script.CancelsRunning}, {"copies", "one", "two", &script.SecondCopies}} {
			if choices[i] != "" && choices[i] != choice.usual && choices[i] != choice.other {
				r.AddError(blocks.World.Body, "%s: allowed is %q or %q", choice.name, choice.usual, choice.other)
			}
			*choice.to = choices[i] == choice.other
		}
		if zones != "" {
			script.Zones = strings.Fields(zones)
		}
		for _, word := range strings.Fields(curve) {
			v, ok := parseNumber(word)
			if !ok {
				r.AddError(blocks.World.Body, "curve: %q is not a number from 0 to 100; separate numbers by spaces", word)
			}
			script.Curve = append(script.Curve, v)
		}
		if curve != "" {
			script.Curve = script.Curve[1:]
		}
	}
	for _, b := range blocks.Boxes {
		kind := &BoxKind{Name: b.Name, Count: 1, Slots: 4, Queue: 24, Speed: 1}
		r.Fields(b.Body, config.Field{Name: "count", Unit: config.Count, Min: 1, Max: 100000, To: &kind.Count},
			config.Field{Name: "slots", Unit: config.Count, Min: 1, Max: 1024, To: &kind.Slots},
			config.Field{Name: "queue", Unit: config.Count, Min: 0, Max: 100000, To: &kind.Queue},
			config.Field{Name: "speed", Unit: config.Number, Min: 0.001, Max: 1000, To: &kind.Speed})
		script.Boxes = append(script.Boxes, kind)
	}
	script.readClasses(r, blocks.Classes)
	script.readTroubles(r, blocks.Troubles)
	if len(script.Boxes) == 0 || len(script.Classes) == 0 {
		body := hcl.EmptyBody()
		r.AddError(body, "a script needs at least one box block and one class block")
	}
	return script, r.Err()
}

func (s *Script) readClasses(r *config.Reader, list []*labeledBlock) {
	effects := map[string]decide.Effect{"safe": decide.Safe, "keyed": decide.Keyed, "once": decide.Unsafe}
	names := map[string]bool{}
	for _, b := range list {
		c := Class{Name: b.Name, Share: 1, Work: 300 * ms, Spread: 1, Slots: []int{1}, Terms: decide.Class{Aim: 500 * ms, Stretch: 2,
			Deadline: 10e6, Worth: 1, Kind: -1, MemorySpan: 12e6}}
		effect, slots := "", ""
		r.Fields(b.Body, config.Field{Name: "share", Unit: config.Number, Min: 0.001, Max: 1, To: &c.Share},
			config.Field{Name: "work", Unit: config.Span, Min: ms, Max: 10 * minute, To: &c.Work},
			config.Field{Name: "spread", Unit: config.Number, Min: 0, Max: 10, To: &c.Spread},
			config.Field{Name: "slots", Unit: config.Word, To: &slots}, config.Field{Name: "effect", Unit: config.Word, To: &effect},
			config.Field{Name: "aim", Unit: config.Span, Min: ms, Max: 10 * minute, To: &c.Terms.Aim},
			config.Field{Name: "stretch", Unit: config.Number, Min: 0, Max: 100, To: &c.Terms.Stretch},
			config.Field{Name: "deadline", Unit: config.Span, Min: 10 * ms, Max: 10 * minute, To: &c.Terms.Deadline},
			config.Field{Name: "late", Unit: config.Number, Min: 0, Max: 1, To: &c.Terms.LateWorth},
			config.Field{Name: "memory", Unit: config.Span, Min: ms, Max: 60 * minute, To: &c.Terms.MemorySpan},
			config.Field{Name: "worth", Unit: config.Number, Min: 0.001, Max: 1e6, To: &c.Terms.Worth})
		effectValue, ok := effects[effect]
		if !ok {
			r.AddError(b.Body, "class %q: effect must be one of keyed, once, safe", b.Name)
		}
		c.Terms.Effect = effectValue
		if names[b.Name] {
			r.AddError(b.Body, "class %q is defined twice", b.Name)
		}
		names[b.Name] = true
		if slots != "" {
			c.Slots = nil
			for _, word := range strings.Fields(slots) {
				v, ok := parseNumber(word)
				if !ok || v < 1 || v != float64(int(v)) {
					r.AddError(b.Body, "class %q: slots: %q is not a whole number from 1; separate numbers by spaces", b.Name, word)
				}
				c.Slots = append(c.Slots, max(1, int(v)))
			}
		}
		s.Classes = append(s.Classes, c)
	}
}

func (s *Script) readTroubles(r *config.Reader, list []*labeledBlock) {
	for _, b := range list {
		t := Trouble{Kind: b.Name, Part: 0.2, Times: 5, Takes: 0.5, Pause: 100 * ms, Every: 2e6}
		var duration Time = 10e6
		withSchedulers := ""
		allowed, ok := troubleSettings[b.Name]
		if !ok {
			r.AddError(b.Body, "no trouble %q; allowed: %s", b.Name, strings.Join(slices.Sorted(maps.Keys(troubleSettings)), ", "))
			continue
		}
		set := r.Fields(b.Body, config.Field{Name: "from", Unit: config.Span, Min: 0, Max: 60 * minute, To: &t.From},
			config.Field{Name: "for", Unit: config.Span, Min: ms, Max: 60 * minute, To: &duration},
			config.Field{Name: "part", Unit: config.Number, Min: 0.0001, Max: 1, To: &t.Part},
			config.Field{Name: "times", Unit: config.Number, Min: 1, Max: 1000, To: &t.Times},
			config.Field{Name: "takes", Unit: config.Number, Min: 0, Max: 0.99, To: &t.Takes},
			config.Field{Name: "zone", Unit: config.Word, To: &t.Zone}, config.Field{Name: "class", Unit: config.Word, To: &t.Class},
			config.Field{Name: "pause", Unit: config.Span, Min: ms, Max: minute, To: &t.Pause},
			config.Field{Name: "every", Unit: config.Span, Min: 10 * ms, Max: 10 * minute, To: &t.Every},
			config.Field{Name: "with_schedulers", Unit: config.Word, To: &withSchedulers})
		for _, name := range slices.Sorted(maps.Keys(set)) {
			if name != "from" && name != "for" && !slices.Contains(allowed, name) {
				r.AddError(b.Body, "trouble %q has no setting %s; allowed: from, for, %s", b.Name, name, strings.Join(allowed, ", "))
			}
		}
		t.To, t.Balancer = t.From+duration, withSchedulers == "yes"
		switch {
		case t.From >= s.Duration:
			r.AddError(b.Body, "trouble %q begins after the end of the script, which lasts %d s", b.Name, s.Duration/1e6)
		case withSchedulers != "" && withSchedulers != "yes" && withSchedulers != "no":
			r.AddError(b.Body, "trouble %q: with_schedulers: allowed is \"yes\" or \"no\"", b.Name)
		case b.Name == "zone_loss" && !slices.Contains(s.Zones, t.Zone):
			r.AddError(b.Body, "trouble %q: no zone %q; there are: %s", b.Name, t.Zone, strings.Join(s.Zones, ", "))
		case t.Class != "" && !slices.ContainsFunc(s.Classes, func(c Class) bool { return c.Name == t.Class }):
			r.AddError(b.Body, "trouble %q: no class %q", b.Name, t.Class)
		}
		s.Troubles = append(s.Troubles, t)
	}
}
