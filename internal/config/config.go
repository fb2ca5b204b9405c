// Package config reads the operator's HCL file into plain types. It defines the names, units, bounds and defaults of all
// settings and reports every error with file, line, column and the allowed values. It makes no decisions and caches nothing:
// each call reads the file again.
package config

import (
	"cmp"
	"errors"
	"fmt"
	"math"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/dustin/go-humanize"
	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/gohcl"
	"github.com/hashicorp/hcl/v2/hclparse"
	"github.com/zclconf/go-cty/cty"

	"weldscale/internal/pace"
	"weldscale/internal/route"
)

// File holds the settings of an operator's file, with defaults for those that are not set.
type File struct {
	SlowPeers pace.Limits // including the links
	Workers   pace.Rate
	InFlight  int // maximum requests in flight of all services together; 0: a third of the descriptors
	Services  []Service
	Metrics   bool         // whether /-/metrics is served
	Scheduler *Scheduler   // used if the platform gives no configuration; nil if there is no scheduler block
	Fleet     *Fleet       // nil: the scheduler is not part of a fleet
	Control   string       // path of the control socket; "": none
	Platform  []route.Rule // rules of the service that the platform's configuration describes
	Routes    *route.Table // rules of all services; nil if there is no service block
}

// Scheduler holds the scheduler block. With it the scheduler can start without a configuration from the platform.
type Scheduler struct {
	Name     string
	Listen   string
	MemoryMB int
	Sockets  int
}

// Default returns the settings that apply without a file, for a scheduler with the given memory in bytes.
func Default(memory int) File {
	return File{SlowPeers: pace.Defaults(memory / 8), Workers: pace.DefaultWorkerRate()}
}

// unit is the unit of a setting, which determines how its value may be written.
type unit string

const (
	rate   unit = "rate"   // "4KiB", in bytes per second
	span   unit = "span"   // "2.5s"
	size   unit = "size"   // "512KiB"
	count  unit = "count"  // 64
	number unit = "number" // 0.5
	word   unit = "word"   // "safe"
)

// Setting describes a setting of a block.
type Setting struct {
	Block, Name string
	Unit        unit
	Min, Max    float64 // in bytes per second, microseconds or bytes, or a plain number
	Doc         string
	target      func(*File) any // returns a *float64, *pace.Time or *int
}

const (
	minute = 60e6
	hour   = 60 * minute
	gib    = 1 << 30
)

// Settings lists the settings of the blocks that occur at most once.
var Settings = []Setting{
	{"shared", "open", count, 1, 1 << 20, "requests in hand of all services together; a third of the descriptors unless set", func(f *File) any { return &f.InFlight }},
	{"slow_peers", "least_rate_in", rate, 1, gib, "least rate at which a client's request comes in", func(f *File) any { return &f.SlowPeers.In.Least }},
	{"slow_peers", "least_rate_out", rate, 1, gib, "least rate at which a client takes its answer", func(f *File) any { return &f.SlowPeers.Out.Least }},
	{"slow_peers", "grace_in", span, 1e5, hour, "how long a request may bring nothing at its start, the first one since the connection", func(f *File) any { return &f.SlowPeers.In.Grace }},
	{"slow_peers", "grace_out", span, 1e5, hour, "how long nothing of an answer may be taken at its start", func(f *File) any { return &f.SlowPeers.Out.Grace }},
	{"slow_peers", "span_in", span, 1e5, hour, "how long a request may bring nothing later; bytes ahead of the rate count for as much", func(f *File) any { return &f.SlowPeers.In.Span }},
	{"slow_peers", "span_out", span, 1e5, hour, "the same of an answer", func(f *File) any { return &f.SlowPeers.Out.Span }},
	{"slow_peers", "ceiling_in", span, 0, 24 * hour, "how long a request may take in all; 0: as long as it keeps its rate", func(f *File) any { return &f.SlowPeers.In.Ceiling }},
	{"slow_peers", "ceiling_out", span, 0, 24 * hour, "how long an answer may take in all; 0: as long as it keeps its rate", func(f *File) any { return &f.SlowPeers.Out.Ceiling }},
	{"slow_peers", "total", size, 64 << 10, 64 * gib, "bytes that may wait for all clients; an eighth of the memory unless set", func(f *File) any { return &f.SlowPeers.TotalBytes }},
	{"slow_peers", "per_prefix", size, 64 << 10, 64 * gib, "bytes that may wait for one network prefix; half of total unless set", func(f *File) any { return &f.SlowPeers.PrefixBytes }},
	{"slow_peers", "per_peer", size, 64 << 10, gib, "bytes that may wait for one connection", func(f *File) any { return &f.SlowPeers.PeerBytes }},
	{"slow_peers", "most", count, 1, 1 << 20, "how many peers may be slow at once; the least promising is cut beyond", func(f *File) any { return &f.SlowPeers.SlowPeers }},
	{"slow_peers", "most_per_prefix", count, 1, 1 << 20, "how many of one prefix", func(f *File) any { return &f.SlowPeers.SlowPerPrefix }},
	{"slow_peers", "prefix_v4", count, 8, 32, "bits of an IPv4 prefix", func(f *File) any { return &f.SlowPeers.V4Bits }},
	{"slow_peers", "prefix_v6", count, 16, 128, "bits of an IPv6 prefix", func(f *File) any { return &f.SlowPeers.V6Bits }},
	{"slow_peers", "hurry", span, 1e4, minute, "how long a transfer is spared while descriptors or memory run short", func(f *File) any { return &f.SlowPeers.EvictionGrace }},
	{"slow_peers", "fresh", span, 0, minute, "how long a new connection is spared then", func(f *File) any { return &f.SlowPeers.NewPeerGrace }},
	{"slow_peers", "crowd", count, 1, 100, "per cent of all connections from which on a prefix is spared no time then", func(f *File) any { return &f.SlowPeers.CrowdPercent }},
	{"slow_peers", "remember", count, 1, 1 << 20, "how many addresses that were cut are remembered", func(f *File) any { return &f.SlowPeers.RememberedAddrs }},
	{"slow_peers", "forgive", span, 1e6, 24 * hour, "for how long; each cut halves the grace", func(f *File) any { return &f.SlowPeers.StrikeTTL }},
	{"slow_peers", "least_grace", span, 1e5, hour, "the grace that is left to such an address at least", func(f *File) any { return &f.SlowPeers.LeastGrace }},
	{"workers", "least_rate", rate, 1, gib, "least rate at which a worker takes a request or writes a line of its answer", func(f *File) any { return &f.Workers.Least }},
	{"workers", "grace", span, 1e5, hour, "how long nothing may pass at its start", func(f *File) any { return &f.Workers.Grace }},
	{"workers", "span", span, 1e5, hour, "how long nothing may pass later", func(f *File) any { return &f.Workers.Span }},
	{"workers", "ceiling", span, 0, 24 * hour, "how long a request or a line may take in all; 0: as long as it keeps its rate", func(f *File) any { return &f.Workers.Ceiling }},
}

const (
	maxLinks  = 256
	maxSocket = 100 // in bytes; the system's limit is 107
)

// layout describes the blocks of the file for gohcl.
type layout struct {
	Shared    *block          `hcl:"shared,block"`
	SlowPeers *block          `hcl:"slow_peers,block"`
	Workers   *block          `hcl:"workers,block"`
	Links     []*link         `hcl:"link,block"`
	Platform  *platformBlock  `hcl:"platform,block"`
	Scheduler *schedulerBlock `hcl:"scheduler,block"`
	Control   *controlBlock   `hcl:"control,block"`
	Fleet     *fleetBlock     `hcl:"fleet,block"`
	Metrics   *struct{}       `hcl:"metrics,block"`
	Services  []*serviceBlock `hcl:"service,block"`
}

type schedulerBlock struct {
	Name    hcl.Expression `hcl:"name,optional"`
	Listen  hcl.Expression `hcl:"listen"`
	Memory  hcl.Expression `hcl:"memory_mb,optional"`
	Sockets hcl.Expression `hcl:"sockets,optional"`
}

type controlBlock struct {
	Socket hcl.Expression `hcl:"socket"`
}

type block struct {
	Body hcl.Body `hcl:",remain"`
}

type link struct {
	Name     string         `hcl:"name,label"`
	Prefixes hcl.Expression `hcl:"prefixes"`
	Rate     hcl.Expression `hcl:"least_rate"`
}

// Read reads an operator's file for a scheduler with the given memory in bytes. Its error has one line for each problem
// found in the file.
func Read(path string, memory int) (File, error) {
	file := Default(memory)
	text, err := os.ReadFile(path)
	if err != nil {
		return file, err
	}
	r := reader{file: &file, path: path}
	parsed, diags := hclparse.NewParser().ParseHCL(text, path)
	r.diags = diags
	if parsed != nil && !diags.HasErrors() {
		var l layout
		schema, _ := gohcl.ImpliedBodySchema(l)
		r.content, _ = parsed.Body.Content(schema)
		blockDiags := gohcl.DecodeBody(parsed.Body, nil, &l)
		r.diags = append(r.diags, blockDiags...)
		r.block("shared", l.Shared)
		r.block("slow_peers", l.SlowPeers)
		r.block("workers", l.Workers)
		r.links(l.Links)
		file.Metrics = l.Metrics != nil
		if b := l.Scheduler; b != nil && !blockDiags.HasErrors() {
			file.Scheduler = &Scheduler{MemoryMB: 192, Sockets: 1024, Name: cmp.Or(r.optionalText(b.Name, "a name"), "weldscale"), Listen: r.address(b.Listen)}
			r.optionalNumber(b.Memory, count, 16, 1<<20, &file.Scheduler.MemoryMB)
			r.optionalNumber(b.Sockets, count, 64, 1<<20, &file.Scheduler.Sockets)
			if len(l.Services) == 0 {
				r.addError(b.Listen.Range(), "a scheduler block without a service block: there would be nothing to serve")
			}
		}
		if l.Control != nil && l.Control.Socket != nil {
			file.Control = r.optionalText(l.Control.Socket, "the path of a socket")
			if file.Control != "" && (!filepath.IsAbs(file.Control) || len(file.Control) > maxSocket) {
				r.addError(l.Control.Socket.Range(), "allowed is an absolute path of at most %d bytes", maxSocket)
			}
		}
		if l.Fleet != nil && !blockDiags.HasErrors() {
			r.fleet(l.Fleet)
		}
		if len(l.Services) > 0 && !blockDiags.HasErrors() { // after errors, fields that the services need may be missing
			r.services(l.Services, l.Platform)
		}
	}
	return file, r.err()
}

// reader collects the settings and the errors of a file.
type reader struct {
	path    string
	file    *File
	content *hcl.BodyContent
	diags   hcl.Diagnostics
}

// addErrorAt adds an error at a position in text form, FILE:LINE:COLUMN.
func (r *reader) addErrorAt(position, format string, args ...any) {
	at := hcl.Range{Filename: r.path}
	parts := strings.Split(position, ":")
	if n := len(parts); n >= 3 {
		at.Start.Line, _ = strconv.Atoi(parts[n-2])
		at.Start.Column, _ = strconv.Atoi(parts[n-1])
	}
	r.addError(at, format, args...)
}

// addError adds an error at a position.
func (r *reader) addError(at hcl.Range, format string, args ...any) {
	r.diags = append(r.diags, &hcl.Diagnostic{Severity: hcl.DiagError, Summary: fmt.Sprintf(format, args...), Subject: &at})
}

// field describes a setting to read and where its value goes.
type field struct {
	name     string
	unit     unit
	min, max float64
	dest     any // *float64, *pace.Time, *int or *string
}

// assign stores v in a *float64, *pace.Time or *int.
func assign(to any, v float64) {
	switch to := to.(type) {
	case *float64:
		*to = v
	case *pace.Time:
		*to = pace.Time(v)
	case *int:
		*to = int(v)
	}
}

// fields reads the settings of a body and returns the names of those that are set. Unknown settings are errors.
func (r *reader) fields(body hcl.Body, fields []field) map[string]bool {
	attrs, diags := body.JustAttributes()
	r.diags = append(r.diags, diags...)
	var known []string
	set := map[string]bool{}
	for _, f := range fields {
		known = append(known, f.name)
		a := attrs[f.name]
		if a == nil {
			continue
		}
		delete(attrs, f.name)
		if text, ok := f.dest.(*string); ok {
			*text = r.optionalText(a.Expr, "a word")
		} else if v, ok := r.number(a.Expr, f.unit, f.min, f.max); ok {
			assign(f.dest, v)
		}
		set[f.name] = true
	}
	for _, a := range attrs {
		r.addError(a.NameRange, "%s: no such setting; allowed: %s", a.Name, strings.Join(known, ", "))
	}
	return set
}

// block reads the settings of a block that occurs at most once.
func (r *reader) block(name string, b *block) {
	if b == nil || b.Body == nil {
		return
	}
	var fields []field
	for _, s := range Settings {
		if s.Block == name {
			fields = append(fields, field{s.Name, s.Unit, s.Min, s.Max, s.target(r.file)})
		}
	}
	set := r.fields(b.Body, fields)
	if p := &r.file.SlowPeers; set["total"] && !set["per_prefix"] {
		p.PrefixBytes = p.TotalBytes / 2
	}
	if p := &r.file.SlowPeers; set["total"] && !set["per_peer"] {
		p.PeerBytes = min(p.PeerBytes, p.PrefixBytes)
	}
}

// expectedForms describes the valid values of each unit in error messages.
var expectedForms = map[unit]string{rate: `bytes a second, such as 4096 or "4KiB"`, span: `a span, such as "2.5s" or "300ms"`,
	size: `bytes, such as 65536 or "64KiB"`, count: "a whole number", number: "a number"}

// number reads a number and checks its bounds.
func (r *reader) number(e hcl.Expression, u unit, lower, upper float64) (float64, bool) {
	v, diags := e.Value(nil)
	r.diags = append(r.diags, diags...)
	if diags.HasErrors() {
		return 0, false
	}
	f, ok := parseNumber(v, u)
	if !ok {
		r.addError(e.Range(), "allowed is %s", expectedForms[u])
		return 0, false
	}
	if f < lower || f > upper {
		r.addError(e.Range(), "out of range; allowed is %s to %s", format(lower, u), format(upper, u))
		return 0, false
	}
	return f, true
}

// parseNumber converts a value to a number in the base unit of u and reports whether it is valid.
func parseNumber(v cty.Value, u unit) (float64, bool) {
	switch {
	case v.IsNull() || !v.IsKnown():
		return 0, false
	case v.Type() == cty.Number:
		f, _ := v.AsBigFloat().Float64()
		return f, u != span && (u == rate || u == number || f == math.Trunc(f))
	case v.Type() == cty.String && u == span:
		d, err := time.ParseDuration(v.AsString())
		return float64(d / time.Microsecond), err == nil
	case v.Type() == cty.String && u != count && u != number:
		text, isRate := strings.CutSuffix(v.AsString(), "/s")
		n, err := humanize.ParseBytes(text)
		return float64(n), err == nil && (u == rate || !isRate)
	}
	return 0, false
}

// format returns a number as an operator would write it.
func format(v float64, u unit) string {
	switch u {
	case span:
		return (time.Duration(v) * time.Microsecond).String()
	case count, number:
		return strconv.FormatFloat(v, 'f', -1, 64)
	}
	return strings.ReplaceAll(humanize.IBytes(uint64(v)), " ", "")
}

// Default returns the default of the setting as an operator would write it, for a scheduler with the given memory in bytes.
func (s Setting) Default(memory int) string {
	f := Default(memory)
	return s.Value(&f)
}

// Allowed returns the range of the setting as text.
func (s Setting) Allowed() string { return format(s.Min, s.Unit) + " to " + format(s.Max, s.Unit) }

// Value returns the value of the setting in f as an operator would write it.
func (s Setting) Value(f *File) string {
	switch at := s.target(f).(type) {
	case *float64:
		return format(*at, s.Unit)
	case *pace.Time:
		return format(float64(*at), s.Unit)
	default:
		return format(float64(*at.(*int)), s.Unit)
	}
}

// links reads the link blocks.
func (r *reader) links(links []*link) {
	owners := map[netip.Prefix]string{}
	names := map[string]bool{}
	for i, l := range links {
		if i == maxLinks {
			r.addError(l.Prefixes.Range(), "more than %d links", maxLinks)
			return
		}
		if names[l.Name] {
			r.addError(l.Prefixes.Range(), "link %q is declared twice", l.Name)
		}
		names[l.Name] = true
		out := pace.Link{Name: l.Name}
		out.In, _ = r.number(l.Rate, rate, 1, gib)
		out.Out = out.In
		for _, p := range r.prefixes(l.Prefixes) {
			if other, ok := owners[p]; ok {
				r.addError(l.Prefixes.Range(), "prefix %v already belongs to link %q", p, other)
			}
			owners[p] = l.Name
			out.Prefixes = append(out.Prefixes, p)
		}
		r.file.SlowPeers.Links = append(r.file.SlowPeers.Links, out)
	}
}

// prefixes reads a list of network prefixes.
func (r *reader) prefixes(e hcl.Expression) (out []netip.Prefix) {
	const form = `allowed is a list of prefixes, such as ["10.5.0.0/16", "fd00:5::/32"]`
	items, diags := hcl.ExprList(e)
	if diags.HasErrors() || len(items) == 0 {
		r.addError(e.Range(), form)
		return nil
	}
	for _, item := range items {
		var text string
		if gohcl.DecodeExpression(item, nil, &text).HasErrors() {
			r.addError(item.Range(), form)
			continue
		}
		p, err := netip.ParsePrefix(text)
		switch {
		case err != nil:
			r.addError(item.Range(), "%q is not a valid prefix; %s", text, form)
		case p != p.Masked():
			r.addError(item.Range(), "%q has bits set beyond its length; allowed is %v", text, p.Masked())
		default:
			out = append(out, p)
		}
	}
	return out
}

// err returns all errors joined into one, in the order of their positions, or nil.
func (r *reader) err() error {
	slices.SortStableFunc(r.diags, func(a, b *hcl.Diagnostic) int {
		if a.Subject == nil || b.Subject == nil {
			return 0
		}
		return cmp.Compare(a.Subject.Start.Byte, b.Subject.Start.Byte)
	})
	var all []error
	for _, d := range r.diags {
		text := d.Summary
		if d.Detail != "" {
			text += ": " + d.Detail
		}
		text = strings.Join(strings.Fields(text), " ")
		if d.Subject != nil {
			text = fmt.Sprintf("%s:%d:%d: %s", d.Subject.Filename, d.Subject.Start.Line, d.Subject.Start.Column, text)
		}
		all = append(all, errors.New(text))
	}
	return errors.Join(all...)
}
