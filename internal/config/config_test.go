package config

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/decide"
	"weldscale/internal/pace"
	"weldscale/internal/pool"
	"weldscale/internal/route"
)

const memory = 64 << 20

func writeFile(t *testing.T, text string) string {
	path := filepath.Join(t.TempDir(), "w.hcl")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// The example file must contain every setting with its default, since operators start from it.
func TestExample(t *testing.T) {
	f, err := Read("../../deploy/weldscale.hcl", memory)
	require.NoError(t, err)
	want := Default(memory)
	want.SlowPeers.Links = f.SlowPeers.Links
	assert.Equal(t, want, f)
	assert.NotEmpty(t, f.SlowPeers.Links)
	text, err := os.ReadFile("../../deploy/weldscale.hcl")
	require.NoError(t, err)
	for _, s := range Settings {
		assert.Contains(t, string(text), s.Name+" ", "the example does not contain a setting")
	}
}

func TestRead(t *testing.T) {
	f, err := Read(writeFile(t, `slow_peers {
  least_rate_in = "10KB/s"
  grace_in      = "300ms"
  total         = 1000000
  most          = 7
}
workers { least_rate = 512 }
link "murun" {
  prefixes   = ["10.5.0.0/16", "fd00:5::/32"]
  least_rate = "1KiB"
}`), memory)
	require.NoError(t, err)
	assert.Equal(t, 10000.0, f.SlowPeers.In.Least)
	assert.Equal(t, pace.Time(300000), f.SlowPeers.In.Grace)
	assert.Equal(t, 1000000, f.SlowPeers.TotalBytes)
	assert.Equal(t, 500000, f.SlowPeers.PrefixBytes, "half of the total unless set")
	assert.Equal(t, 7, f.SlowPeers.SlowPeers)
	assert.Equal(t, 512.0, f.Workers.Least)
	assert.Equal(t, 1024.0, f.SlowPeers.Links[0].Out)
	assert.Equal(t, Default(memory).SlowPeers.Out, f.SlowPeers.Out)
}

// Every error of a file must be reported with its position and the allowed values.
func TestReadErrors(t *testing.T) {
	_, err := Read(writeFile(t, `slow_peers {
  grace_in  = 3
  span_in   = "1h30m"
  least_rate_in = "fast"
  most      = 1.5
  sope      = 1
  total     = "64KiB/s"
  prefix_v4 = 33
}
link "a" {
  prefixes   = ["10.5.0.0/8", "nowhere"]
  least_rate = 0
}
link "a" {
  prefixes   = "10.0.0.0/8"
  least_rate = "1KB"
}
link "b" {
  prefixes   = ["10.0.0.0/8", "10.0.0.0/8"]
  least_rate = "1KB"
}`), memory)
	require.Error(t, err)
	lines := strings.Split(err.Error(), "\n")
	want := []string{":2:15: allowed is a span", `:3:15: out of range; allowed is 100ms to 1h0m0s`, ":4:19: allowed is bytes a second",
		":5:15: allowed is a whole number", ":6:3: sope: no such setting; allowed: least_rate_in", ":7:15: allowed is bytes, such",
		":8:15: out of range; allowed is 8 to 32", `:11:17: "10.5.0.0/8" has bits set beyond its length; allowed is 10.0.0.0/8`,
		`:11:31: "nowhere" is not a valid prefix`, ":12:16: out of range; allowed is 1B to 1.0GiB", `:15:16: link "a" is declared twice`,
		":15:16: allowed is a list of prefixes", `:19:16: prefix 10.0.0.0/8 already belongs to link "b"`}
	require.Len(t, lines, len(want), err.Error())
	for i, w := range want {
		assert.Contains(t, lines[i], w)
	}
	for text, want := range map[string]string{
		"slow_peers {":                      ":1:", // unclosed block
		"slow_peers = 1":                    "Unsupported argument",
		"fast_peers {}":                     "fast_peers",
		"slow_peers {}\n" + "slow_peers {}": "Duplicate slow_peers block",
		"link \"x\" {}":                     "prefixes",
	} {
		_, err := Read(writeFile(t, text), memory)
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want)
			for _, line := range strings.Split(err.Error(), "\n") {
				assert.Regexp(t, `w\.hcl:\d+:\d+: `, line)
			}
		}
	}
	_, err = Read(t.TempDir(), memory)
	assert.ErrorContains(t, err, "is a directory")
}

const shop = `service "shop" {
  weight  = 2
  reserve = 50
  match { host = "shop.example.org" }
  match {
    path   = "/orders"
    class  = "submit"
    header = { X-Desk = "murun" }
  }
  workers {
    worker "a" { address = "127.0.0.1:3000" }
  }
  limits {
    rate    = 200.5
    bytes   = "4MiB"
    retries = 0.2
  }
  class "submit" {
    effect     = "keyed"
    key_memory = "12s"
    aim        = "300ms"
    open       = 20
  }
}
platform {
  match { host = "app.svc" }
}
`

func TestService(t *testing.T) {
	f, err := Read(writeFile(t, shop), memory)
	require.NoError(t, err)
	require.Len(t, f.Services, 1)
	s := f.Services[0]
	assert.Equal(t, Service{Name: "shop", Weight: 2, Reserve: 50, Rules: s.Rules, Workers: []Worker{{"a", "127.0.0.1:3000"}},
		Limits: pool.Limits{Rate: 200.5, Bytes: 4 << 20, Retries: 0.2}, Classes: []Class{{"submit", decide.Class{Effect: decide.Keyed,
			Scope: decide.ScopeAll, MemorySpan: 12e6, Kind: -1, Aim: 300e3, Stretch: 2, Deadline: 10e6, Worth: 1}, pool.Limits{InFlight: 20}}}}, s)
	for host, want := range map[string]string{"shop.example.org": "shop", "app.svc": ""} {
		got, miss := f.Routes.Match(route.Request{Host: host, Path: "/"})
		assert.Equal(t, route.Matched, miss)
		assert.Equal(t, want, got)
	}
	got, _ := f.Routes.Match(route.Request{Host: "x", Path: "/orders/1", Class: "submit", Header: func(name string) string {
		return map[string]string{"x-desk": "murun"}[name]
	}})
	assert.Equal(t, "shop", got)
	_, err = decide.New(s.Settings(), 1, nil)
	assert.NoError(t, err)
	other := s
	other.Limits.Rate = 1
	assert.True(t, s.Compatible(&other))
	other.File = "x"
	assert.False(t, s.Compatible(&other))
}

// Every error in a service block must be reported with its position.
func TestServiceErrors(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`service "shop"`, `service "Shop"`, `:1:1: service "Shop": allowed is a name`},
		{"weight  = 2", "weight  = 0", ":2:13: out of range; allowed is 0.001 to 1000000"},
		{`{ host = "shop.example.org" }`, "{}", `an empty match block would match every request`},
		{`"shop.example.org"`, `"shop.example.org:80"`, `:4:18: "shop.example.org:80" is not a valid host`},
		{`"/orders"`, `"orders"`, `:6:14: "orders" is not a valid path`},
		{`class  = "submit"`, `class  = "other"`, `service "shop" has no class "other"`},
		{`{ X-Desk = "murun" }`, `"murun"`, ":8:14: allowed is a map of fields"},
		{`"127.0.0.1:3000"`, `"box1:3000"`, ":11:28: \"box1:3000\": allowed is an address and a port"},
		{`worker "a" {`, "discovery = \"127.0.0.1:1\"\n worker \"a\" {", `:1:1: service "shop": its workers block must have exactly one`},
		{"rate    = 200.5", `rate    = "200/s"`, ":14:15: allowed is a number"},
		{"retries = 0.2", "retires = 0.2", ":16:5: retires: no such setting; allowed: rate, burst, open, fleet_rate, fleet_open, fleet_retries, bytes, retries, retry_floor"},
		{`"keyed"`, `"twice"`, "effect must be one of keyed, once, safe"},
		{`    key_memory = "12s"`, "", "a keyed class needs key_memory"},
		{"platform {", shop[:len(shop)-len("platform {\n  match { host = \"app.svc\" }\n}\n")] + "platform {", `service "shop" is declared twice`},
		{`"app.svc"`, `"shop.example.org"`, `the same match as that of service "" at`},
	} {
		require.Contains(t, shop, c.old)
		_, err := Read(writeFile(t, strings.Replace(shop, c.old, c.new, 1)), memory)
		if assert.Error(t, err, c.new) {
			assert.Contains(t, err.Error(), c.want, c.new)
			assert.Regexp(t, `^\S+w\.hcl:\d+:\d+: `, err.Error())
		}
	}
}
