// Package route decides which service a request belongs to: by host, path, class and header fields. It owns the table
// and what makes one rule closer than another. A table is immutable; a new one takes its place whole, and whoever
// still holds the old one goes on by it. It must never see a socket or a message, and never fall back on a service
// that no rule names: what matches nothing is told so.
package route

import (
	"cmp"
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"unsafe"

	iradix "github.com/hashicorp/go-immutable-radix/v2"
)

// Rule sends what matches to a service. What is left empty matches everything.
type Rule struct {
	Service string
	// Host is a name, or "*." and the end of one, which stands for one label or more before it. Case does not matter,
	// and a port of the request is passed over.
	Host string
	// Path is a prefix of whole segments: "/api" stands for "/api" and "/api/x", not for "/apis".
	Path  string
	Class string
	// Header is fields that must have these values, names in lower case.
	Header map[string]string
	// Position is where the rule stands, for faults.
	Position string
}

// Request is what a table looks at.
type Request struct {
	Host, Path, Class string
	Header            func(name string) string
}

// Miss tells why a request matches nothing.
type Miss uint8

// The misses.
const (
	Matched     Miss = iota
	UnknownHost      // no rule is for that host
	NoRoute          // there are rules for it, and none matches
)

// Table is an immutable set of rules.
type Table struct {
	exact map[string]*paths // by host
	wild  map[string]*paths // by what stands behind "*."
	any   *paths
	rules int
}

// paths is the rules of one host, by prefix; those of one prefix with the closest first.
type paths struct{ tree *iradix.Tree[[]Rule] }

// New makes a table, or returns every fault of the rules.
func New(rules []Rule) (*Table, []error) {
	t := &Table{exact: map[string]*paths{}, wild: map[string]*paths{}, any: &paths{iradix.New[[]Rule]()}, rules: len(rules)}
	var faults []error
	fault := func(r Rule, format string, args ...any) {
		faults = append(faults, fmt.Errorf("%s: %s", r.Position, fmt.Sprintf(format, args...)))
	}
	for _, r := range rules {
		r.Host = strings.ToLower(r.Host)
		if why := r.unusable(); why != "" {
			fault(r, "%s", why)
			continue
		}
		p := t.host(r.Host)
		key := []byte(key(r.Path))
		old, _ := p.tree.Get(key)
		if i := slices.IndexFunc(old, r.same); i >= 0 {
			if old[i].Service != r.Service {
				fault(r, "the same match as that of service %q at %s: a request can't go to both", old[i].Service, old[i].Position)
			} else {
				fault(r, "the same match as at %s: it would never be looked at", old[i].Position)
			}
			continue
		}
		list := append(slices.Clone(old), r)
		slices.SortStableFunc(list, closer)
		p.tree, _, _ = p.tree.Insert(key, list)
	}
	return t, faults
}

// unusable says why a rule can never match, or "".
func (r Rule) unusable() string {
	name := strings.TrimPrefix(r.Host, "*.")
	switch {
	case r.Host != "" && !isHost(name):
		return fmt.Sprintf("%q is no host; allowed is a name without a port, or \"*.\" and a name", r.Host)
	case r.Path != "" && (r.Path[0] != '/' || strings.ContainsAny(r.Path, "?# ")):
		return fmt.Sprintf("%q is no path; allowed is a prefix that begins with /, without a query", r.Path)
	case r.Path == "/-" || strings.HasPrefix(r.Path, "/-/"):
		return "paths below /-/ are weldscale's own: it would never be looked at"
	}
	return ""
}

func isHost(s string) bool {
	if _, err := netip.ParseAddr(s); err == nil {
		return true
	}
	for label := range strings.SplitSeq(s, ".") {
		if label == "" || strings.Trim(label, "abcdefghijklmnopqrstuvwxyz0123456789-_") != "" {
			return false
		}
	}
	return len(s) <= 253
}

// key is a prefix without the slashes at its end: "/api/" is the same as "/api", and "/" as "".
func key(path string) string { return strings.TrimRight(path, "/") }

func (r Rule) same(o Rule) bool {
	if r.Class != o.Class || len(r.Header) != len(o.Header) {
		return false
	}
	for name, value := range r.Header {
		if v, ok := o.Header[name]; !ok || v != value {
			return false
		}
	}
	return true
}

// closer orders the rules of one host and prefix: by class, then by how many fields they ask for. Two that ask for
// different fields and both match are taken in the order of the file.
func closer(a, b Rule) int {
	return cmp.Or(cmp.Compare(min(1, len(b.Class)), min(1, len(a.Class))), cmp.Compare(len(b.Header), len(a.Header)))
}

func (t *Table) host(name string) *paths {
	by := t.exact
	if rest, ok := strings.CutPrefix(name, "*."); ok {
		by, name = t.wild, rest
	} else if name == "" {
		return t.any
	}
	if by[name] == nil {
		by[name] = &paths{iradix.New[[]Rule]()}
	}
	return by[name]
}

// Len is how many rules the table has.
func (t *Table) Len() int { return t.rules }

// Match returns the service of the closest rule: the one with the closest host, then with the longest path, then with a
// class, then with the most fields. A host's own rules go before those of a wider one, and where none of them matches
// the wider ones are asked.
func (t *Table) Match(r Request) (service string, miss Miss) {
	name := hostOf(r.Host)
	known := t.any.tree.Len() > 0
	if p := t.exact[name]; p != nil {
		known = true
		if s, ok := p.match(&r); ok {
			return s, Matched
		}
	}
	for rest := name; ; {
		_, after, ok := strings.Cut(rest, ".")
		if !ok {
			break
		}
		if p := t.wild[after]; p != nil {
			known = true
			if s, ok := p.match(&r); ok {
				return s, Matched
			}
		}
		rest = after
	}
	if s, ok := t.any.match(&r); ok {
		return s, Matched
	}
	if known {
		return "", NoRoute
	}
	return "", UnknownHost
}

func (p *paths) match(r *Request) (service string, ok bool) {
	path := unsafe.Slice(unsafe.StringData(r.Path), len(r.Path)) // a view: the tree only compares it
	// The walk goes from the shortest prefix to the longest, and the last that matches is the closest.
	p.tree.Root().WalkPath(path, func(prefix []byte, rules []Rule) bool {
		if len(prefix) < len(path) && path[len(prefix)] != '/' {
			return false // it ends within a segment
		}
		for i := range rules {
			if rules[i].matches(r) {
				service, ok = rules[i].Service, true
				break
			}
		}
		return false
	})
	return service, ok
}

func (r *Rule) matches(in *Request) bool {
	if r.Class != "" && r.Class != in.Class {
		return false
	}
	for name, value := range r.Header {
		if in.Header == nil || in.Header(name) != value {
			return false
		}
	}
	return true
}

// hostOf is the name in a Host field: in lower case, without a port or the dot of the root.
func hostOf(field string) string {
	if strings.HasPrefix(field, "[") { // an IPv6 address
		field, _, _ = strings.Cut(field[1:], "]")
	} else {
		field, _, _ = strings.Cut(field, ":")
	}
	return strings.TrimSuffix(strings.ToLower(field), ".")
}
