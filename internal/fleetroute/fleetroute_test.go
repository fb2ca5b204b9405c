package fleetroute

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

// Two routes have one key exactly if their requests can't be told apart: the case of a host does not count, that of a path does.
func TestKey(t *testing.T) {
	require.Equal(t, NewKey("Shop.example", "/a/"), NewKey("shop.EXAMPLE", "/a/"))
	for _, other := range []Key{
		NewKey("shop.example", "/A/"), NewKey("shop.example", "/a//"), NewKey("shop.example:80", "/a/"), NewKey("", "/a/"),
		NewKey("shop.example/a", "/"),
	} {
		require.NotEqual(t, NewKey("shop.example", "/a/"), other)
	}
}

func TestHostOfRequest(t *testing.T) {
	for header, names := range map[string][2]string{
		"shop.example":       {"shop.example", "shop.example"},
		"shop.example:80":    {"shop.example", "shop.example"},
		"shop.example.:8080": {"shop.example.", "shop.example"},
		"[fd00::1]":          {"[fd00::1]", "fd00::1"},
		"[fd00::1]:80":       {"[fd00::1]", "fd00::1"},
		":80":                {"", ""},
		"":                   {"", ""},
		"[":                  {"[", ""},
	} {
		require.Equal(t, names[0], withoutPort(header), header)
		require.Equal(t, names[1], bareName(withoutPort(header)), header)
	}
}

// Requests of a host whose own name has routes must not fall back to the routes of a more general name.
func TestRoutesOfTheExactHostComeFirst(t *testing.T) {
	table := NewTable([]fleetwire.Route{
		{Name: "port", Hostname: "shop.example:8080", PathPrefix: "/admin/"}, {Name: "bare", Hostname: "shop.example", PathPrefix: "/"},
	})
	require.Equal(t, 2, table.Len())
	require.Equal(t, "port", table.Find("shop.example:8080", "/admin/x").Name)
	require.Nil(t, table.Find("shop.example:8080", "/other/x"))
	require.Equal(t, "bare", table.Find("shop.example:80", "/admin/x").Name)
	require.Nil(t, NewTable(nil).Find("shop.example", "/"))
}

func BenchmarkFind(b *testing.B) {
	var routes []fleetwire.Route
	for i := range 10000 {
		routes = append(routes, fleetwire.Route{Hostname: fmt.Sprintf("h%d.example.org", i%100), PathPrefix: fmt.Sprintf("/api/v%d/x/", i/100)})
	}
	table := NewTable(routes)
	b.ReportAllocs()
	for b.Loop() {
		if table.Find("h42.example.org:8080", "/api/v77/x/9b1f03aa5c7e2d41") == nil {
			b.Fatal("no route")
		}
	}
}
