// Package route maps requests to services by host, path, class and header fields. Tables are immutable: a new table replaces
// the old one as a whole, and holders of the old one can go on using it. There is no default service: a request that
// matches no rule is reported as a miss. The package does no I/O and does not parse messages.
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

// Rule sends matching requests to a service. Empty fields match every request.
type Rule struct {
	Service string
	// Host is a host name, or "*." and a domain, which matches hosts with one or more labels before that domain. The match
	// ignores case and the port of the request.
	Host string
	// Path is a prefix of whole segments: "/api" matches "/api" and "/api/x" but not "/apis".
	Path  string
	Class string
	// Header maps field names in lower case to the values that they must have.
	Header map[string]string
	// Position is the rule's position in its file, for error messages.
	Position string
}

// Request holds the properties of a request that rules match on.
type Request struct {
	Host, Path, Class string
	Header            func(name string) string
}

// Miss is the reason why a request matches no rule.
type Miss uint8

// The values of Miss.
const (
	Matched     Miss = iota
	UnknownHost      // no rule matches the host
	NoRoute          // rules match the host, but none of them matches the request
)

// Table is an immutable set of rules. It is safe for concurrent use.
type Table struct {
	exact    map[string]*paths // by host
	wildcard map[string]*paths // by the domain after "*."
	any      *paths
	rules    int
}

// paths holds the rules of one host by path prefix. The rules of one prefix are sorted with the most specific first.
type paths struct{ tree *iradix.Tree[[]Rule] }

// New builds a table. It also returns an error for each invalid rule; these rules are not in the table.
func New(rules []Rule) (*Table, []error) {
	t := &Table{exact: map[string]*paths{}, wildcard: map[string]*paths{}, any: &paths{iradix.New[[]Rule]()}, rules: len(rules)}
	var errs []error
	addError := func(r Rule, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", r.Position, fmt.Sprintf(format, args...)))
	}
	for _, r := range rules {
		r.Host = strings.ToLower(r.Host)
		if reason := r.invalidReason(); reason != "" {
			addError(r, "%s", reason)
			continue
		}
		paths := t.host(r.Host)
		key := []byte(key(r.Path))
		old, _ := paths.tree.Get(key)
		if i := slices.IndexFunc(old, r.same); i >= 0 {
			if old[i].Service != r.Service {
				addError(r, "the same match as that of service %q at %s: a request can't go to both", old[i].Service, old[i].Position)
			} else {
				addError(r, "the same match as at %s: it would never be looked at", old[i].Position)
			}
			continue
		}
		list := append(slices.Clone(old), r)
		slices.SortStableFunc(list, compareSpecificity)
		paths.tree, _, _ = paths.tree.Insert(key, list)
	}
	return t, errs
}

// invalidReason returns why a rule is invalid, or "".
func (r Rule) invalidReason() string {
	name := strings.TrimPrefix(r.Host, "*.")
	switch {
	case r.Host != "" && !isHost(name):
		return fmt.Sprintf("%q is not a valid host; allowed is a name without a port, or \"*.\" and a name", r.Host)
	case r.Path != "" && (r.Path[0] != '/' || strings.ContainsAny(r.Path, "?# ")):
		return fmt.Sprintf("%q is not a valid path; allowed is a prefix that begins with /, without a query", r.Path)
	case r.Path == "/-" || strings.HasPrefix(r.Path, "/-/"):
		return "paths below /-/ are reserved for weldscale: the rule would never match"
	}
	return ""
}

// isHost reports whether s is an IP address or a host name in lower case.
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

// key returns a path prefix without trailing slashes: "/api/" is the same as "/api", and "/" the same as "".
func key(path string) string { return strings.TrimRight(path, "/") }

// same reports whether two rules with the same host and path match the same requests.
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

// compareSpecificity orders the rules of one host and prefix: rules with a class first, then by the number of header fields.
// Rules that ask for equally many but different fields keep their order in the file, so that the first one wins if both match.
func compareSpecificity(a, b Rule) int {
	return cmp.Or(cmp.Compare(min(1, len(b.Class)), min(1, len(a.Class))), cmp.Compare(len(b.Header), len(a.Header)))
}

// host returns the paths of a host pattern, which it creates if necessary.
func (t *Table) host(name string) *paths {
	hosts := t.exact
	if rest, ok := strings.CutPrefix(name, "*."); ok {
		hosts, name = t.wildcard, rest
	} else if name == "" {
		return t.any
	}
	if hosts[name] == nil {
		hosts[name] = &paths{iradix.New[[]Rule]()}
	}
	return hosts[name]
}

// Len returns the number of rules that the table was built from.
func (t *Table) Len() int { return t.rules }

// Match returns the service of the most specific matching rule: by host, then the longest path, then a class, then the most
// header fields. Rules of an exact host come before those of a wildcard, longer wildcards before shorter ones, and rules
// without a host last. Less specific hosts are tried if no rule of a more specific one matches.
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
		if p := t.wildcard[after]; p != nil {
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

// match returns the service of the most specific matching rule of one host.
func (p *paths) match(r *Request) (service string, ok bool) {
	path := unsafe.Slice(unsafe.StringData(r.Path), len(r.Path)) // no copy: the tree only reads it
	// The walk goes from the shortest prefix to the longest, so the last match is the most specific.
	p.tree.Root().WalkPath(path, func(prefix []byte, rules []Rule) bool {
		if len(prefix) < len(path) && path[len(prefix)] != '/' {
			return false // the prefix ends within a segment
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

// hostOf returns the host of a Host field in lower case, without the port and a trailing dot.
func hostOf(field string) string {
	if strings.HasPrefix(field, "[") { // an IPv6 address
		field, _, _ = strings.Cut(field[1:], "]")
	} else {
		field, _, _ = strings.Cut(field, ":")
	}
	return strings.TrimSuffix(strings.ToLower(field), ".")
}
