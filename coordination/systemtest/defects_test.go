package systemtest

import (
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"weldscale/coordination/sim/simtest"
)

// maxSeeds is how many seeds are tried until a check detects a defect.
const maxSeeds = 400

// scenario runs a simulation with a seed and injected defects, and returns the first violation as an error.
type scenario func(seed uint64, defects injectedDefects) (*deployment, error)

func runAllFaults(seed uint64, defects injectedDefects) (*deployment, error) {
	return runUnderFaults(seed, defects, allFaults)
}

func runReconfigurationFaults(seed uint64, defects injectedDefects) (*deployment, error) {
	return runUnderFaults(seed, defects, reconfigurationFaults)
}

func runPowerLosses(seed uint64, defects injectedDefects) (*deployment, error) {
	return runFailures(seed, defects, lo.Filter(failures, func(f failure, _ int) bool { return f.name == "power loss of all" }))
}

// registerViolations are texts of the violations that a defect of the register may cause.
var registerViolations = []string{"two values chosen", "does not extend", "is lost", "linearizable", "was learned as chosen"}

// TestChecksDetectDefects injects each defect into a driver of the state machines. One of the expected checks must detect it.
func TestChecksDetectDefects(t *testing.T) {
	for name, test := range map[string]struct {
		defects    injectedDefects
		run        scenario
		violations []string // texts; the detected violation must contain one of them
	}{
		"replies before the sync":                {injectedDefects{repliesBeforeSync: true}, runPowerLosses, registerViolations},
		"keeps its identity when wiped":          {injectedDefects{keepsIdentity: true}, runWipes, registerViolations},
		"reconfigures in one step":               {injectedDefects{skipsJoint: true}, runReconfigurationFaults, registerViolations},
		"takes a role without raising the token": {injectedDefects{reusesToken: true}, runAllFaults, []string{"acted under token"}},
		"follower loses its snapshot":            {injectedDefects{resetsFollower: true}, runAllFaults, []string{"went back"}},
	} {
		t.Run(name, func(t *testing.T) {
			seed, violation := firstDetectingSeed(test.run, test.defects, test.violations)
			require.NotEmpty(t, violation, "not detected with %d seeds", maxSeeds)
			t.Logf("detected with seed %d: %.160s", seed, violation)
		})
	}
}

// firstDetectingSeed returns the first seed whose run ends with an error that contains one of the texts, and the text of that
// error. It returns an empty error text if there is no such seed.
func firstDetectingSeed(run scenario, defects injectedDefects, violations []string) (uint64, string) {
	for seed := uint64(1); seed <= maxSeeds; seed++ {
		_, err := run(seed, defects)
		if err == nil {
			continue
		}
		for _, text := range violations {
			if strings.Contains(err.Error(), text) {
				return seed, err.Error()
			}
		}
	}
	return 0, ""
}

// TestSeedIsReproducible checks that two runs with the same seed are equal. Only then can a failure be reproduced.
func TestSeedIsReproducible(t *testing.T) {
	simtest.Run(t, simtest.Seeds{Fixed: 3, Fresh: 3}, func(t *testing.T, seed uint64) {
		first, err := runAllFaults(seed, injectedDefects{})
		require.NoError(t, err)
		second, err := runAllFaults(seed, injectedDefects{})
		require.NoError(t, err)
		require.Equal(t, first.describe(), second.describe())
		require.Equal(t, formatHistory(first.checker.history), formatHistory(second.checker.history))
	})
}
