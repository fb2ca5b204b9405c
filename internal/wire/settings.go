package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"weldscale/decide"
)

// Layout says which figure stands at each place of a site's load reports. 0 marks one that is not used.
type Layout []decide.Fields

// Report turns the values of an event into a report. Figures that are not finite are left out.
func (l Layout) Report(values []float32) decide.Report {
	var r decide.Report
	for i, field := range l {
		if i >= len(values) {
			break
		}
		v := float64(values[i])
		if math.IsNaN(v) || math.IsInf(v, 0) {
			continue
		}
		switch field {
		case decide.HasFreeSlots:
			r.FreeSlots = v
		case decide.HasFreeMemory:
			r.FreeMemory = v
		case decide.HasInFlight:
			r.InFlight = v
		case decide.HasQueue:
			r.Queue = v
		case decide.HasUtil:
			r.Util = v
		case decide.HasErrors:
			r.Errors = v
		case decide.HasServed:
			r.Served = v
		case decide.HasLatency:
			r.LatencyMS = v
		}
		r.Has |= field
	}
	return r
}

// params is the settings text, with the first fault met while reading it.
type params struct {
	values map[string]string
	err    error
}

func (p *params) fail(key, what string) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: %s: %s", key, what)
	}
}

func (p *params) num(key string) float64 {
	text, ok := p.values[key]
	if !ok {
		p.fail(key, "missing")
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fail(key, fmt.Sprintf("%q is not a number", text))
	}
	return v
}

func (p *params) numOr(key string, def float64) float64 {
	if p.values[key] == "" {
		return def
	}
	return p.num(key)
}

func (p *params) whole(key string) int64 {
	v := p.num(key)
	if v != math.Trunc(v) || math.Abs(v) > 1<<53 {
		p.fail(key, "not a whole number")
		return 0
	}
	return int64(v)
}

func (p *params) flagOr(key string, def bool) bool {
	switch text := p.values[key]; text {
	case "":
		return def
	case "true":
		return true
	case "false":
		return false
	default:
		p.fail(key, fmt.Sprintf("%q is neither true nor false", text))
		return def
	}
}

func (p *params) list(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}

// listNum reads one number of a joined list; a list that is too short or absent gives def.
func (p *params) listNum(key string, i int, def float64) float64 {
	l := p.list(key)
	if i >= len(l) {
		return def
	}
	v, err := strconv.ParseFloat(l[i], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.fail(key, fmt.Sprintf("%q is not a number", l[i]))
		return def
	}
	return v
}

// ParseSettings reads the settings of a Begin event. Unknown keys are passed over. An error names the key.
func ParseSettings(text []byte) (decide.Settings, Layout, error) {
	p := params{values: make(map[string]string, 160)}
	for line := range strings.Lines(string(text)) {
		if key, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			p.values[key] = value
		}
	}
	s := decide.Settings{
		Nodes:            int(p.whole("balancers")),
		Zone:             int(p.whole("zone")),
		Zones:            max(1, len(p.list("zones"))),
		CanProbe:         p.flagOr("limits.probes", false),
		CanCancel:        p.flagOr("limits.cancel", false),
		CanMessagePeers:  p.flagOr("limits.peers", false),
		SecondCopies:     p.flagOr("limits.second_copies", false),
		MaxAttempts:      int(p.whole("limits.max_attempts")),
		DrainGrace:       p.whole("obligations.drain_grace_us"),
		ColdFrom:         p.num("obligations.cold_from"),
		ColdSpan:         p.whole("obligations.cold_us"),
		OverloadMultiple: p.num("obligations.tip_multiple"),
		OverloadSpan:     p.whole("obligations.overload_for_us"),
		AnswerSlack:      decide.Time(p.numOr("obligations.answer_slack_us", 0)),
		Tick:             p.whole("resolution_us"),
		TellsStart:       p.flagOr("family_info.tells_start", false),
		OverShareWorth:   p.numOr("over_share_worth", 1),
		WorthByWork:      p.values["counted_by"] == "work",
		CrossZoneCost:    p.numOr("prices.cross_zone", 0),
	}
	if p.flagOr("limits.retry_after", false) {
		s.MaxRetryAfter = max(0, decide.Time(p.numOr("limits.max_retry_after_us", 0)))
	}
	switch how := p.values["discovery"]; how {
	case "automatic":
	case "subscribe":
		s.MustAsk = true
		s.AskWithin = p.whole("obligations.ask_within_us")
	default:
		p.fail("discovery", fmt.Sprintf("%q is neither automatic nor subscribe", how))
	}
	p.classes(&s)
	p.tenants(&s)
	return s, p.layout(), p.err
}

// maxListed bounds the counts that the settings may name, so that a damaged one can't make us allocate.
const maxListed = 65536

func (p *params) count(key string) int {
	n := p.whole(key)
	if n < 0 || n > maxListed {
		p.fail(key, "out of range")
		return 0
	}
	return int(n)
}

func (p *params) classes(s *decide.Settings) {
	for i := range p.count("classes.count") {
		if p.err != nil {
			return
		}
		at := "classes." + strconv.Itoa(i) + "."
		c := decide.Class{
			Aim:        p.whole(at + "aim_us"),
			Deadline:   p.whole(at + "deadline_us"),
			Worth:      p.num(at + "worth"),
			LateWorth:  p.numOr(at+"late_worth", 0),
			MemorySpan: decide.Time(p.numOr(at+"memory_span_us", 0)),
			Stretch:    p.numOr(at+"aim_stretch", p.listNum("family_info.class_stretch", i, 0)),
			Kind:       int(p.listNum("family_info.class_kind", i, -1)),
		}
		switch effect := p.values[at+"effect"]; effect {
		case "read_like":
			c.Effect = decide.Safe
		case "idempotency_key":
			c.Effect = decide.Keyed
			p.whole(at + "memory_span_us")
		case "non_idempotent":
			c.Effect = decide.Unsafe
		default:
			p.fail(at+"effect", fmt.Sprintf("unknown effect %q", effect))
		}
		switch scope := p.values[at+"key_scope"]; scope {
		case "all", "":
			c.Scope = decide.ScopeAll
		case "zone":
			c.Scope = decide.ScopeZone
		case "cell":
			c.Scope = decide.ScopeCell
		default:
			p.fail(at+"key_scope", fmt.Sprintf("unknown scope %q", scope))
		}
		s.Classes = append(s.Classes, c)
	}
}

func (p *params) tenants(s *decide.Settings) {
	if p.values["accounts.count"] == "" {
		return
	}
	for i := range p.count("accounts.count") {
		if p.err != nil {
			return
		}
		s.Tenants = append(s.Tenants, decide.Tenant{Allowance: p.num("accounts." + strconv.Itoa(i) + ".allowance_per_s")})
	}
}

func (p *params) layout() Layout {
	var l Layout
	for _, name := range p.list("report.fields") {
		l = append(l, p.field(name))
	}
	return l
}

func (p *params) field(name string) decide.Fields {
	switch name {
	case "active":
		return decide.HasInFlight
	case "waiting":
		return decide.HasQueue
	case "cpu":
		return decide.HasUtil
	case "avg_ms":
		return decide.HasLatency
	case "rps":
		return decide.HasServed
	case "err_rps":
		return decide.HasErrors
	case "x0", "x1":
		switch p.values["family_info.report_"+name] {
		case "free_slots":
			return decide.HasFreeSlots
		case "free_memory":
			return decide.HasFreeMemory
		}
	}
	return 0
}
