package watch

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/internal/fleetwire"
)

// largeConfig returns a configuration with the given number of routes.
func largeConfig(routes int) *fleetwire.Config {
	config := &fleetwire.Config{Version: 7, Services: []fleetwire.Service{{Name: "service", HealthCheck: "/health"}}}
	for i := range routes {
		config.Routes = append(config.Routes, fleetwire.Route{
			Name:       fmt.Sprintf("route-%d", i),
			Hostname:   fmt.Sprintf("host-%d.example", i),
			PathPrefix: fmt.Sprintf("/path/%d/", i),
			RouteType:  "streaming",
			TimeoutMs:  8000,
			Split:      []fleetwire.WeightedService{{Service: "service", Weight: 1}},
		})
	}
	return config
}

func TestPackPreservesValues(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		config := rapid.Make[fleetwire.Config]().Draw(t, "config")
		packed, err := pack(&config)
		if err != nil {
			t.Fatal(err)
		}
		var decoded *fleetwire.Config
		if err := unpack(packed, &decoded); err != nil {
			t.Fatal(err)
		}
		repacked, err := pack(decoded)
		if err != nil {
			t.Fatal(err)
		}
		if string(packed) != string(repacked) {
			t.Fatalf("%+v became %+v", config, decoded)
		}
	})
}

func TestPackCompressesLargeConfigurations(t *testing.T) {
	config := largeConfig(350)
	packed, err := pack(config)
	require.NoError(t, err)
	require.Less(t, len(packed), 8<<10, "the configuration of 350 routes must fit slow links to 70 subscribers")
	var decoded *fleetwire.Config
	require.NoError(t, unpack(packed, &decoded))
	require.Equal(t, config, decoded)
}

func TestUnpackRejectsInvalidData(t *testing.T) {
	var config *fleetwire.Config
	require.Error(t, unpack(nil, &config))
	require.Error(t, unpack(fleetwire.Packed{9, 1, 2}, &config))
	require.Error(t, unpack(fleetwire.Packed{packedFlate, 1, 2}, &config))
	require.Error(t, unpack(fleetwire.Packed{packedPlain, 0xc1}, &config))
}
