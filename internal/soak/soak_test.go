package soak

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/standin/fleet"
)

// Guards against a violation of the judge's rule LOST: a draining router had accepted a request, which was cut off when the
// router's process exited.
func TestOverlappingStopsAndChangesBreakNoRule(t *testing.T) {
	runAll(t, map[string]Options{
		"stops and changes":            {Seed: 1},
		"stops, changes and kills":     {Seed: 2, Kills: true},
		"other series":                 {Seed: 3},
		"other series, with kills too": {Seed: 4, Kills: true},
	})
}

// Guards against broken rules on machines where a share of a core is a quota: a process runs at full speed until it has used up
// its quota, and not at all for the rest of each 100 ms.
func TestCPUQuotasBreakNoRule(t *testing.T) {
	runAll(t, map[string]Options{
		"two fifths of a core": {Seed: 5, Quota: 0.4},
		"a fifth of a core":    {Seed: 6, Quota: 0.2},
	})
}

// spoiltShare is the share of requests whose answers the workers of all runs break off or spoil. It guards against a violation of
// the judge's rule ORDER: a router passed on what its workers had sent within a sound framing, whatever it was.
const spoiltShare = 0.03

// runAll executes the runs in parallel. None may break a rule.
func runAll(t *testing.T, runs map[string]Options) {
	programs := t.TempDir()
	require.NoError(t, fleet.Build(programs))
	for name, options := range runs {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			options.Programs, options.Length, options.Routers, options.Controllers = programs, 12*time.Second, 4, 3
			options.Spoil = spoiltShare
			report, err := Run(t.Context(), options)
			require.NoError(t, err)
			t.Log(report)
			require.Empty(t, report.Violations)
		})
	}
}
