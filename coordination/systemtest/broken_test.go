package systemtest

import (
	"strings"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"weldscale/coordination/sim/simtest"
)

// mostPlays bounds the search for a play in which a mistake shows.
const mostPlays = 400

// player plays a seed with mistakes.
type player func(seed uint64, broken mistakes) (*site, error)

func throughChaos(seed uint64, broken mistakes) (*site, error) {
	return play(seed, broken, allTroubles)
}

func throughTurnover(seed uint64, broken mistakes) (*site, error) {
	return play(seed, broken, turnover)
}

func withoutAnyPower(seed uint64, broken mistakes) (*site, error) {
	return playLosses(seed, broken, lo.Filter(losses, func(l loss, _ int) bool { return l.name == "all without power" }))
}

// forgetful are complaints about the register.
var forgetful = []string{"two values chosen", "does not hold what", "is lost", "linearizable", "was taken for chosen"}

// Each mistake is made by a driver of the deciders, and found by a check that names it.
func TestMistakesAreCaught(t *testing.T) {
	for name, mistake := range map[string]struct {
		broken mistakes
		play   player
		found  []string // what the complaint says, one of these
	}{
		"answers before its sync":                  {mistakes{answersBeforeSync: true}, withoutAnyPower, forgetful},
		"keeps its identity when its disk is lost": {mistakes{keepsIdentity: true}, playWiped, forgetful},
		"changes its set in one step":              {mistakes{skipsJoint: true}, throughTurnover, forgetful},
		"takes a role without raising the token":   {mistakes{keepsToken: true}, throughChaos, []string{"acted under token"}},
		"follower goes back":                       {mistakes{goesBack: true}, throughChaos, []string{"went back"}},
	} {
		t.Run(name, func(t *testing.T) {
			seed, problem := firstCaught(mistake.play, mistake.broken, mistake.found)
			require.NotEmpty(t, problem, "not caught in %d plays", mostPlays)
			t.Logf("caught by seed %d: %.160s", seed, problem)
		})
	}
}

// firstCaught returns the first seed whose play ends in one of the complaints.
func firstCaught(play player, broken mistakes, found []string) (uint64, string) {
	for seed := uint64(1); seed <= mostPlays; seed++ {
		_, err := play(seed, broken)
		if err == nil {
			continue
		}
		for _, words := range found {
			if strings.Contains(err.Error(), words) {
				return seed, err.Error()
			}
		}
	}
	return 0, ""
}

// The same seed plays the same story, so that a failure can be looked into.
func TestASeedPlaysTheSameStory(t *testing.T) {
	simtest.Run(t, simtest.Seeds{Fixed: 3, Fresh: 3}, func(t *testing.T, seed uint64) {
		first, err := throughChaos(seed, mistakes{})
		require.NoError(t, err)
		second, err := throughChaos(seed, mistakes{})
		require.NoError(t, err)
		require.Equal(t, first.describe(), second.describe())
		require.Equal(t, describe(first.checks.history), describe(second.checks.history))
	})
}
