package fleetconfig

import (
	"errors"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

// example is a configuration as an operator sends it.
const example = `{"Version":7,"Routes":[` + firstRoute + `,` + secondRoute + `],"Services":[` + services + `],` +
	`"Limits":` + limits + `}`

const (
	firstRoute = `{"Name":"first","Hostname":"shop.example","PathPrefix":"/proofs/","RouteType":"streaming","TimeoutMs":8000,` +
		`"TargetLatencyMs":500,"Priority":1,"TrafficSplit":[{"Service":"engine","Weight":90},{"Service":"plain","Weight":10}],` +
		`"MaxAttempts":1,"Sticky":true,"Resumable":false,"gap_aim_ms":300}`
	secondRoute = `{"Name":"second","Hostname":"shop.example","PathPrefix":"/briefs/","RouteType":"unsafe","TimeoutMs":2500,` +
		`"TargetLatencyMs":300,"Priority":0,"Service":"plain","MaxAttempts":2,"Sticky":true,"Resumable":true,"gap_aim_ms":250}`
	services = `{"Name":"engine","HealthCheck":"/healthz","MaxConnections":630,"Protocol":"h1","Tls":false,"Engine":{"Slots":128,` +
		`"KvTokens":940121,"KvTokenBytes":35136,"LinkMbps":1100000.0,"stride":11,"HandleTtlS":5.0,"SwitchS":2.6,` +
		`"Models":[{"Name":"m"}]}},{"Name":"plain","HealthCheck":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}`
	limits = `{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}`
)

func exampleConfig() *fleetwire.Config {
	return &fleetwire.Config{
		Version: 7,
		Routes: []fleetwire.Route{
			{
				Name: "first", Hostname: "shop.example", PathPrefix: "/proofs/", RouteType: "streaming", TimeoutMs: 8000,
				TargetLatencyMs: 500, Priority: 1, MaxAttempts: 1, Sticky: true, GapAimMs: 300,
				Split: []fleetwire.WeightedService{{Service: "engine", Weight: 90}, {Service: "plain", Weight: 10}},
			},
			{
				Name: "second", Hostname: "shop.example", PathPrefix: "/briefs/", RouteType: "unsafe", TimeoutMs: 2500,
				TargetLatencyMs: 300, MaxAttempts: 2, Sticky: true, Resumable: true, GapAimMs: 250,
				Split: []fleetwire.WeightedService{{Service: "plain", Weight: 1}},
			},
		},
		Services: []fleetwire.Service{
			{Name: "engine", HealthCheck: "/healthz", MaxConnections: 630, Engine: &fleetwire.Engine{
				Slots: 128, KvTokens: 940121, KvTokenBytes: 35136, LinkMbps: 1100000, Stride: 11, HandleTTLS: 5, SwitchS: 2.6,
				Models: []string{"m"},
			}},
			{Name: "plain", HealthCheck: "/healthz", MaxConnections: 110},
		},
		Limits: fleetwire.Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 4194304, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000},
	}
}

func TestParseReadsEveryKey(t *testing.T) {
	config, err := Parse([]byte(example))
	require.NoError(t, err)
	assert.Equal(t, exampleConfig(), config)
}

// replaced returns the example with one occurrence of old replaced by changed.
func replaced(t *testing.T, old, changed string) string {
	t.Helper()
	require.Contains(t, example, old)
	return strings.Replace(example, old, changed, 1)
}

func TestParseRejectsInvalidConfigurations(t *testing.T) {
	for _, test := range []struct {
		name, old, changed string
		want               Error
	}{
		{"truncated object", `"IdleTimeoutMs":15000}}`, `"IdleTimeoutMs":15000}`, Error{Kind: KindUnreadable}},
		{"trailing bytes", `"IdleTimeoutMs":15000}}`, `"IdleTimeoutMs":15000}}x`, Error{Kind: KindUnreadable}},
		{"two documents", `"IdleTimeoutMs":15000}}`, `"IdleTimeoutMs":15000}}{}`, Error{Kind: KindUnreadable}},
		{"invalid JSON", `"Version":7`, `Version=7`, Error{Kind: KindUnreadable}},
		{"string for a number", `"TimeoutMs":8000`, `"TimeoutMs":"soon"`, Error{Kind: KindUnreadable}},
		{"object for a list", `"Routes":[`, `"Routes":{},"Others":[`, Error{Kind: KindUnreadable}},
		{"no routes", `"Routes":[`, `"Others":[`, Error{Kind: KindUnreadable, Field: "Routes"}},
		{"no services", `"Services":[`, `"Others":[`, Error{Kind: KindUnreadable, Field: "Services"}},
		{"no version", `"Version":7,`, ``, Error{Kind: KindVersion, Field: "Version"}},
		{"version 0", `"Version":7`, `"Version":0`, Error{Kind: KindVersion, Field: "Version"}},
		{"negative version", `"Version":7`, `"Version":-7`, Error{Kind: KindVersion, Field: "Version"}},
		{"timeout 0", `"TimeoutMs":8000`, `"TimeoutMs":0`, Error{Kind: KindTimeout, Route: "first", Field: "TimeoutMs"}},
		{"negative timeout", `"TimeoutMs":2500`, `"TimeoutMs":-1`, Error{Kind: KindTimeout, Route: "second", Field: "TimeoutMs"}},
		{"timeout NaN", `"TimeoutMs":2500`, `"TimeoutMs":"NaN"`,
			Error{Kind: KindTimeout, Route: "second", Field: "TimeoutMs"}},
		{"no timeout", `"TimeoutMs":8000,`, ``, Error{Kind: KindTimeout, Route: "first", Field: "TimeoutMs"}},
		{"no target", `"Service":"plain","MaxAttempts":2`, `"MaxAttempts":2`,
			Error{Kind: KindNoService, Route: "second", Field: "Service"}},
		{"empty split", `"TrafficSplit":[{"Service":"engine","Weight":90},{"Service":"plain","Weight":10}]`, `"TrafficSplit":[]`,
			Error{Kind: KindNoService, Route: "first", Field: "Service"}},
		{"unknown service", `"Service":"plain","MaxAttempts":2`, `"Service":"nobody","MaxAttempts":2`,
			Error{Kind: KindUnknownService, Route: "second", Field: "Service"}},
		{"unknown service in a split", `{"Service":"plain","Weight":10}`, `{"Service":"nobody","Weight":10}`,
			Error{Kind: KindUnknownService, Route: "first", Field: "TrafficSplit"}},
		{"weights sum to 0", `"Weight":90},{"Service":"plain","Weight":10}`, `"Weight":0},{"Service":"plain","Weight":0}`,
			Error{Kind: KindWeights, Route: "first", Field: "TrafficSplit"}},
		{"negative weight", `"Weight":10`, `"Weight":-90`, Error{Kind: KindWeights, Route: "first", Field: "TrafficSplit"}},
		{"infinite weight", `"Weight":10`, `"Weight":"Infinity"`, Error{Kind: KindWeights, Route: "first", Field: "TrafficSplit"}},
		{"duplicate hostname and prefix", `/briefs/`, `/proofs/`,
			Error{Kind: KindDuplicateRoute, Route: "second", Field: "PathPrefix"}},
		{"duplicate hostname in another case", `"shop.example","PathPrefix":"/briefs/"`, `"Shop.example","PathPrefix":"/proofs/"`,
			Error{Kind: KindDuplicateRoute, Route: "second", Field: "PathPrefix"}},
	} {
		t.Run(test.name, func(t *testing.T) {
			_, err := Parse([]byte(replaced(t, test.old, test.changed)))
			var invalid *Error
			require.ErrorAs(t, err, &invalid)
			assert.Equal(t, test.want.Kind, invalid.Kind, err)
			assert.Equal(t, test.want.Route, invalid.Route)
			assert.Equal(t, test.want.Field, invalid.Field)
			assert.NotContains(t, err.Error(), "\n")
			assert.Equal(t, http.StatusBadRequest, StatusOf(err))
		})
	}
}

func TestParseRejectsOtherDocuments(t *testing.T) {
	for _, body := range []string{
		``, ` `, `null`, `[]`, `7`, `"x"`, `{}`, `{"Version":7}`, `{"Version":7,"Routes":null,"Services":[]}`,
	} {
		_, err := Parse([]byte(body))
		assert.Error(t, err, body)
	}
}

// TestServicesOfOneNameAreReadAsTheLast guards against programs that take different ones of two services with one name.
func TestServicesOfOneNameAreReadAsTheLast(t *testing.T) {
	config, err := Parse([]byte(replaced(t, services, `{"Name":"plain","MaxConnections":1,"Engine":{"Slots":1}},`+services)))
	require.NoError(t, err)
	assert.Equal(t, exampleConfig().Services, config.Services)
}

func TestParseAcceptsWhatTheProtocolAllows(t *testing.T) {
	for _, test := range []struct{ name, old, changed string }{
		{"unknown keys", `"Version":7`, `"Version":7,"Later":{"a":[1,2]}`},
		{"unknown key in a route", `"Name":"first"`, `"Name":"first","Later":null`},
		{"version as a string", `"Version":7`, `"Version":"7"`},
		{"version with a zero fraction", `"Version":7`, `"Version":7.0`},
		{"integer for a fraction", `1100000.0`, `1100000`},
		{"zero fraction for an integer", `940121`, `940121.0`},
		{"unknown empty list", `"gap_aim_ms":300`, `"gap_aim_ms":300,"Later":[]`},
		{"service and traffic split", `"Priority":1`, `"Priority":1,"Service":"plain"`},
		{"target of weight 0", `{"Service":"plain","Weight":10}`,
			`{"Service":"plain","Weight":10},{"Service":"plain","Weight":0}`},
		{"trailing white space", `"IdleTimeoutMs":15000}}`, "\"IdleTimeoutMs\":15000}}\r\n "},
		{"another protocol", `"Protocol":"h1","Tls":false,"Engine"`, `"Protocol":2,"Tls":{},"Engine"`},
	} {
		t.Run(test.name, func(t *testing.T) {
			config, err := Parse([]byte(replaced(t, test.old, test.changed)))
			require.NoError(t, err)
			assert.Equal(t, exampleConfig(), config)
		})
	}
}

func TestParseAcceptsRoutesThatDifferInHostnameOrPrefixOnly(t *testing.T) {
	_, err := Parse([]byte(replaced(t, `"shop.example","PathPrefix":"/briefs/"`, `"other.example","PathPrefix":"/proofs/"`)))
	assert.NoError(t, err)
	_, err = Parse([]byte(replaced(t, `/briefs/`, `/proofs/late/`)))
	assert.NoError(t, err)
}

func TestParseAcceptsAConfigurationWithoutRoutes(t *testing.T) {
	config, err := Parse([]byte(`{"Version":3,"Routes":[],"Services":[]}`))
	require.NoError(t, err)
	assert.Equal(t, &fleetwire.Config{Version: 3}, config)
}

func TestParseKeepsFractionsOfWeightsAndTimes(t *testing.T) {
	fractions := replaced(t, `"Weight":90},{"Service":"plain","Weight":10}`, `"Weight":0.75},{"Service":"plain","Weight":0.25}`)
	config, err := Parse([]byte(fractions))
	require.NoError(t, err)
	assert.Equal(t, []fleetwire.WeightedService{{Service: "engine", Weight: 750_000}, {Service: "plain", Weight: 250_000}},
		config.Routes[0].Split)
	config, err = Parse([]byte(replaced(t, `"TimeoutMs":8000`, `"TimeoutMs":0.5`)))
	require.NoError(t, err)
	assert.Equal(t, int64(1), config.Routes[0].TimeoutMs)
}

func TestEveryKindHasANameAndA4xxStatus(t *testing.T) {
	for kind := KindUnreadable; kind <= KindDuplicateRoute; kind++ {
		assert.NotContains(t, kind.String(), "kind ")
		assert.GreaterOrEqual(t, kind.Status(), 400)
		assert.Less(t, kind.Status(), 500)
	}
	assert.Equal(t, http.StatusInternalServerError, Kind(0).Status())
	assert.Equal(t, http.StatusInternalServerError, StatusOf(errors.New("another")))
}

func TestCheckVersion(t *testing.T) {
	assert.NoError(t, CheckVersion(&fleetwire.Config{Version: 8}, 7))
	for _, version := range []int64{7, 6} {
		var invalid *Error
		require.ErrorAs(t, CheckVersion(&fleetwire.Config{Version: version}, 7), &invalid)
		assert.Equal(t, KindVersionNotNew, invalid.Kind)
	}
}
