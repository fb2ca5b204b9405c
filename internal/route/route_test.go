package route

import (
	"fmt"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func TestMatch(t *testing.T) {
	table, errs := New([]Rule{
		{Service: "shop", Host: "shop.example.org"},
		{Service: "proofs", Host: "Shop.example.org", Path: "/proof/"},
		{Service: "rush", Host: "shop.example.org", Path: "/proof", Class: "rush"},
		{Service: "beta", Host: "shop.example.org", Path: "/proof", Class: "rush", Header: map[string]string{"x-beta": "1"}},
		{Service: "desks", Host: "*.desk.example.org", Path: "/api"},
		{Service: "murun", Host: "*.murun.desk.example.org"},
		{Service: "press", Path: "/press"},
		{Service: "six", Host: "fd00::1"},
	})
	require.Empty(t, errs)
	require.Equal(t, 8, table.Len())
	for _, c := range []struct {
		host, path, class, beta, want string
		miss                          Miss
	}{
		{"shop.example.org", "/", "", "", "shop", Matched},
		{"SHOP.example.org.:8080", "/x", "", "", "shop", Matched},
		{"shop.example.org", "/proof", "", "", "proofs", Matched},
		{"shop.example.org", "/proof/7", "view", "", "proofs", Matched},
		{"shop.example.org", "/proofs", "", "", "shop", Matched},
		{"shop.example.org", "/proof/7", "rush", "", "rush", Matched},
		{"shop.example.org", "/proof/7", "rush", "1", "beta", Matched},
		{"a.desk.example.org", "/api/1", "", "", "desks", Matched},
		{"a.b.desk.example.org", "/api", "", "", "desks", Matched},
		{"a.murun.desk.example.org", "/other", "", "", "murun", Matched},
		{"desk.example.org", "/api", "", "", "", NoRoute},
		{"a.desk.example.org", "/apis", "", "", "", NoRoute},
		{"elsewhere.org", "/press/1", "", "", "press", Matched},
		{"a.desk.example.org", "/press", "", "", "press", Matched},
		{"elsewhere.org", "/", "", "", "", NoRoute},
		{"[fd00::1]:80", "/", "", "", "six", Matched},
	} {
		got, miss := table.Match(Request{c.host, c.path, c.class, func(name string) string {
			if name == "x-beta" {
				return c.beta
			}
			return ""
		}})
		assert.Equal(t, c.want, got, "%+v", c)
		assert.Equal(t, c.miss, miss, "%+v", c)
	}
	table, _ = New([]Rule{{Service: "shop", Host: "shop.example.org"}})
	_, miss := table.Match(Request{Host: "other.org", Path: "/"})
	assert.Equal(t, UnknownHost, miss)
	table, _ = New(nil)
	_, miss = table.Match(Request{Host: "other.org", Path: "/"})
	assert.Equal(t, UnknownHost, miss)
}

// New must report every invalid or conflicting rule with its position.
func TestInvalidRules(t *testing.T) {
	at := func(n int, r Rule) Rule { r.Position = fmt.Sprintf("f:%d", n); return r }
	_, errs := New([]Rule{
		at(1, Rule{Service: "a", Host: "x.org", Path: "/p"}),
		at(2, Rule{Service: "b", Host: "X.org", Path: "/p/"}),
		at(3, Rule{Service: "a", Host: "x.org", Path: "/p"}),
		at(4, Rule{Service: "a", Host: "x.org:80"}),
		at(5, Rule{Service: "a", Host: "*"}),
		at(6, Rule{Service: "a", Path: "p"}),
		at(7, Rule{Service: "a", Path: "/-/stats"}),
		at(8, Rule{Service: "a", Path: "/a?b"}),
	})
	want := []string{"f:2: the same match as that of service \"a\" at f:1", "f:3: the same match as at f:1", "f:4: \"x.org:80\" is not a valid host",
		"f:5: \"*\" is not a valid host", "f:6: \"p\" is not a valid path", "f:7: paths below /-/ are reserved", "f:8: \"/a?b\" is not a valid path"}
	require.Len(t, errs, len(want))
	for i, err := range errs {
		assert.ErrorContains(t, err, want[i])
	}
}

// Match must agree with a model that checks every rule in turn.
func TestMatchAgainstModel(t *testing.T) {
	hosts := []string{"", "a.org", "b.a.org", "*.a.org", "*.b.a.org", "*.org"}
	paths := []string{"", "/", "/x", "/x/", "/x/y", "/x/y/z", "/xy"}
	rapid.Check(t, func(t *rapid.T) {
		var rules []Rule
		for i := range rapid.IntRange(0, 12).Draw(t, "rules") {
			r := Rule{Service: fmt.Sprint("s", i), Host: rapid.SampledFrom(hosts).Draw(t, "host"),
				Path: rapid.SampledFrom(paths).Draw(t, "path"), Class: rapid.SampledFrom([]string{"", "c", "d"}).Draw(t, "class")}
			if rapid.Bool().Draw(t, "field") {
				r.Header = map[string]string{"h": rapid.SampledFrom([]string{"1", "2"}).Draw(t, "value")}
			}
			if _, errs := New(append(rules[:len(rules):len(rules)], r)); len(errs) == 0 {
				rules = append(rules, r)
			}
		}
		table, errs := New(rules)
		if len(errs) > 0 {
			t.Fatal(errs)
		}
		in := Request{Host: rapid.SampledFrom([]string{"a.org", "b.a.org", "c.b.a.org", "org", "x.net"}).Draw(t, "to"),
			Path:  rapid.SampledFrom([]string{"/", "/x", "/x/", "/x/y", "/x/yy", "/x/y/z/w", "/xyz"}).Draw(t, "at"),
			Class: rapid.SampledFrom([]string{"", "c", "d"}).Draw(t, "of")}
		field := rapid.SampledFrom([]string{"", "1", "2"}).Draw(t, "with")
		in.Header = func(string) string { return field }
		best, bestSpecificity, known := "", [4]int{-1}, false
		for _, r := range rules {
			hostRank := 0
			if rest, ok := strings.CutPrefix(r.Host, "*"); ok && strings.HasSuffix(in.Host, rest) {
				hostRank = len(rest)
			} else if r.Host == in.Host {
				hostRank = 1000
			} else if r.Host != "" {
				continue
			}
			known = true
			prefix := strings.TrimRight(r.Path, "/")
			if in.Path != prefix && !strings.HasPrefix(in.Path, prefix+"/") || r.Class != "" && r.Class != in.Class ||
				len(r.Header) > 0 && r.Header["h"] != field {
				continue
			}
			specificity := [4]int{hostRank, len(prefix), min(1, len(r.Class)), len(r.Header)}
			for i := range specificity {
				if specificity[i] != bestSpecificity[i] {
					if specificity[i] > bestSpecificity[i] {
						best, bestSpecificity = r.Service, specificity
					}
					break
				}
			}
		}
		got, miss := table.Match(in)
		if got != best || (miss == UnknownHost) != !known || (miss == Matched) != (best != "") {
			t.Fatalf("%q (%d), the model returns %q, known %v: %+v of %+v", got, miss, best, known, in, rules)
		}
	})
}

func BenchmarkMatch(b *testing.B) {
	var rules []Rule
	for i := range 10000 {
		rules = append(rules, Rule{Service: "s", Host: fmt.Sprintf("h%d.example.org", i%100), Path: fmt.Sprintf("/api/v%d/x", i/100)})
	}
	table, errs := New(rules)
	require.Empty(b, errs)
	in := Request{Host: "h42.example.org:8080", Path: "/api/v77/x/9b1f03aa5c7e2d41"}
	b.ReportAllocs()
	for b.Loop() {
		if s, _ := table.Match(in); s != "s" {
			b.Fatal(s)
		}
	}
}
