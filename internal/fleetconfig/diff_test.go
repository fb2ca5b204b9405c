package fleetconfig

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"weldscale/internal/fleetwire"
)

func TestDiffListsAllChanges(t *testing.T) {
	old, next := exampleConfig(), exampleConfig()
	next.Version = 9
	next.Limits.IdleTimeoutMs = 20000
	next.Services[1].MaxConnections = 120
	next.Routes[0].Split[0].Weight = 50
	next.Routes[1].PathPrefix = "/notices/"
	assert.Equal(t, []Difference{
		{Part: "version", What: "Version", Old: "7", New: "9"},
		{Part: "limits", What: "IdleTimeoutMs", Old: "15000", New: "20000"},
		{Part: "service", Name: "plain", What: "MaxConnections", Old: "110", New: "120"},
		{Part: "route", Name: "shop.example/briefs/", What: "removed"},
		{Part: "route", Name: "shop.example/notices/", What: "added"},
		{Part: "route", Name: "shop.example/proofs/", What: "Split",
			Old: `[{"Service":"engine","Weight":90},{"Service":"plain","Weight":10}]`,
			New: `[{"Service":"engine","Weight":50},{"Service":"plain","Weight":10}]`},
	}, Diff(old, next))
}

// TestDiffTellsRoutesApartAsParseDoes guards against two accepted routes that the diff takes for one.
func TestDiffTellsRoutesApartAsParseDoes(t *testing.T) {
	old, next := exampleConfig(), exampleConfig()
	old.Routes[0].Hostname, old.Routes[0].PathPrefix = "shop.example/proofs", "/"
	old.Routes[1].Hostname, old.Routes[1].PathPrefix = "shop.example", "/proofs/"
	next.Routes = old.Routes[:1]
	assert.Equal(t, []Difference{{Part: "route", Name: "shop.example/proofs/", What: "removed"}}, Diff(old, next))
}

func TestDiffOfEqualConfigurationsIsEmpty(t *testing.T) {
	assert.Empty(t, Diff(exampleConfig(), exampleConfig()))
	assert.Empty(t, Diff(&fleetwire.Config{}, &fleetwire.Config{}))
}
