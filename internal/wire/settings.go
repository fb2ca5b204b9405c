package wire

import (
	"fmt"
	"math"
	"strconv"
	"strings"

	"weldscale/decide"
)

// Layout lists the report field at each position of a site's load reports. 0 marks a position that is
// not used.
type Layout []decide.Fields

// Report converts the values of an event to a load report. Values that are not finite are left out.
func (l Layout) Report(values []float32) decide.Report {
	var r decide.Report
	for i, field := range l {
		if i >= len(values) {
			break
		}
		value := float64(values[i])
		if math.IsNaN(value) || math.IsInf(value, 0) {
			continue
		}
		switch field {
		case decide.HasFreeSlots:
			r.FreeSlots = value
		case decide.HasFreeMemory:
			r.FreeMemory = value
		case decide.HasInFlight:
			r.InFlight = value
		case decide.HasQueue:
			r.Queue = value
		case decide.HasUtil:
			r.Util = value
		case decide.HasErrors:
			r.Errors = value
		case decide.HasServed:
			r.Served = value
		case decide.HasLatency:
			r.LatencyMS = value
		}
		r.Has |= field
	}
	return r
}

// settingsReader holds the parsed lines of the settings text and the first error found in them.
type settingsReader struct {
	values map[string]string
	err    error
}

func (p *settingsReader) setError(key, problem string) {
	if p.err == nil {
		p.err = fmt.Errorf("settings: %s: %s", key, problem)
	}
}

func (p *settingsReader) number(key string) float64 {
	text, ok := p.values[key]
	if !ok {
		p.setError(key, "missing")
		return 0
	}
	v, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.setError(key, fmt.Sprintf("%q is not a number", text))
	}
	return v
}

func (p *settingsReader) numberOr(key string, fallback float64) float64 {
	if p.values[key] == "" {
		return fallback
	}
	return p.number(key)
}

func (p *settingsReader) integer(key string) int64 {
	v := p.number(key)
	if v != math.Trunc(v) || math.Abs(v) > 1<<53 {
		p.setError(key, "not a whole number")
		return 0
	}
	return int64(v)
}

func (p *settingsReader) boolOr(key string, fallback bool) bool {
	switch text := p.values[key]; text {
	case "":
		return fallback
	case "true":
		return true
	case "false":
		return false
	default:
		p.setError(key, fmt.Sprintf("%q is neither true nor false", text))
		return fallback
	}
}

func (p *settingsReader) words(key string) []string {
	if p.values[key] == "" {
		return nil
	}
	return strings.Split(p.values[key], ",")
}

// numberAt reads one number of a comma-separated list. It returns fallback if the list is absent or too
// short.
func (p *settingsReader) numberAt(key string, i int, fallback float64) float64 {
	words := p.words(key)
	if i >= len(words) {
		return fallback
	}
	v, err := strconv.ParseFloat(words[i], 64)
	if err != nil || math.IsNaN(v) || math.IsInf(v, 0) {
		p.setError(key, fmt.Sprintf("%q is not a number", words[i]))
		return fallback
	}
	return v
}

// ParseSettings reads the settings of a CodeInstanceBegin event. Unknown keys are ignored. An error names
// the key.
func ParseSettings(text []byte) (decide.Settings, Layout, error) {
	reader := settingsReader{values: make(map[string]string, 160)}
	for line := range strings.Lines(string(text)) {
		if key, value, ok := strings.Cut(strings.TrimRight(line, "\r\n"), "="); ok {
			reader.values[key] = value
		}
	}
	settings := decide.Settings{
		Nodes:            int(reader.integer("balancers")),
		Zone:             int(reader.integer("zone")),
		Zones:            max(1, len(reader.words("zones"))),
		CanProbe:         reader.boolOr("limits.probes", false),
		CanCancel:        reader.boolOr("limits.cancel", false),
		CanMessagePeers:  reader.boolOr("limits.peers", false),
		SecondCopies:     reader.boolOr("limits.second_copies", false),
		MaxAttempts:      int(reader.integer("limits.max_attempts")),
		DrainGrace:       reader.integer("obligations.drain_grace_us"),
		ColdFrom:         reader.number("obligations.cold_from"),
		ColdSpan:         reader.integer("obligations.cold_us"),
		OverloadMultiple: reader.number("obligations.tip_multiple"),
		OverloadSpan:     reader.integer("obligations.overload_for_us"),
		AnswerSlack:      decide.Time(reader.numberOr("obligations.answer_slack_us", 0)),
		Tick:             reader.integer("resolution_us"),
		TellsStart:       reader.boolOr("family_info.tells_start", false),
		OverShareWorth:   reader.numberOr("over_share_worth", 1),
		WorthByWork:      reader.values["counted_by"] == "work",
		CrossZoneCost:    reader.numberOr("prices.cross_zone", 0),
	}
	if reader.boolOr("limits.retry_after", false) {
		settings.MaxRetryAfter = max(0, decide.Time(reader.numberOr("limits.max_retry_after_us", 0)))
	}
	switch mode := reader.values["discovery"]; mode {
	case "automatic":
	case "subscribe":
		settings.MustAsk = true
		settings.AskWithin = reader.integer("obligations.ask_within_us")
	default:
		reader.setError("discovery", fmt.Sprintf("%q is neither automatic nor subscribe", mode))
	}
	reader.readClasses(&settings)
	reader.readTenants(&settings)
	return settings, reader.readLayout(), reader.err
}

// maxCount is the largest count that the settings may contain. It keeps a damaged count from causing a
// huge allocation.
const maxCount = 65536

func (p *settingsReader) readCount(key string) int {
	n := p.integer(key)
	if n < 0 || n > maxCount {
		p.setError(key, "out of range")
		return 0
	}
	return int(n)
}

func (p *settingsReader) readClasses(s *decide.Settings) {
	for i := range p.readCount("classes.count") {
		if p.err != nil {
			return
		}
		prefix := "classes." + strconv.Itoa(i) + "."
		c := decide.Class{
			Aim:        p.integer(prefix + "aim_us"),
			Deadline:   p.integer(prefix + "deadline_us"),
			Worth:      p.number(prefix + "worth"),
			LateWorth:  p.numberOr(prefix+"late_worth", 0),
			MemorySpan: decide.Time(p.numberOr(prefix+"memory_span_us", 0)),
			Stretch:    p.numberOr(prefix+"aim_stretch", p.numberAt("family_info.class_stretch", i, 0)),
			Kind:       int(p.numberAt("family_info.class_kind", i, -1)),
		}
		switch effect := p.values[prefix+"effect"]; effect {
		case "read_like":
			c.Effect = decide.Safe
		case "idempotency_key":
			c.Effect = decide.Keyed
			p.integer(prefix + "memory_span_us")
		case "non_idempotent":
			c.Effect = decide.Unsafe
		default:
			p.setError(prefix+"effect", fmt.Sprintf("unknown effect %q", effect))
		}
		switch scope := p.values[prefix+"key_scope"]; scope {
		case "all", "":
			c.Scope = decide.ScopeAll
		case "zone":
			c.Scope = decide.ScopeZone
		case "cell":
			c.Scope = decide.ScopeCell
		default:
			p.setError(prefix+"key_scope", fmt.Sprintf("unknown scope %q", scope))
		}
		s.Classes = append(s.Classes, c)
	}
}

func (p *settingsReader) readTenants(s *decide.Settings) {
	if p.values["accounts.count"] == "" {
		return
	}
	for i := range p.readCount("accounts.count") {
		if p.err != nil {
			return
		}
		s.Tenants = append(s.Tenants, decide.Tenant{Allowance: p.number("accounts." + strconv.Itoa(i) + ".allowance_per_s")})
	}
}

func (p *settingsReader) readLayout() Layout {
	var l Layout
	for _, name := range p.words("report.fields") {
		l = append(l, p.reportField(name))
	}
	return l
}

func (p *settingsReader) reportField(name string) decide.Fields {
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
