package rendezvous

import (
	"fmt"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

func candidates(count int) []string {
	names := make([]string, 0, count)
	for i := range count {
		names = append(names, fmt.Sprintf("10.%d.0.%d:7720", i+1, 16+9*i))
	}
	return names
}

func TestKeysAreDistributedEvenly(t *testing.T) {
	counts := map[string]int{}
	for i := range 3000 {
		counts[Rank(fmt.Sprintf("frontend-hall-%d", i), candidates(3))[0]]++
	}
	for _, candidate := range candidates(3) {
		require.InDelta(t, 1000, counts[candidate], 120)
	}
}

func TestDepartedCandidateMovesOnlyItsOwnKeys(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(2, 20).Draw(t, "candidates"))
		key := rapid.String().Draw(t, "key")
		departed := rapid.SampledFrom(all).Draw(t, "departed")
		without := func(from []string) []string {
			return slices.DeleteFunc(slices.Clone(from), func(candidate string) bool { return candidate == departed })
		}
		if !slices.Equal(without(Rank(key, all)), Rank(key, without(all))) {
			t.Fatal("the order of the remaining candidates changed")
		}
	})
}

func TestRankIgnoresInputOrderAndDuplicates(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := candidates(rapid.IntRange(1, 20).Draw(t, "candidates"))
		shuffled := rapid.Permutation(all).Draw(t, "shuffled")
		if !slices.Equal(Rank("key", all), Rank("key", append(shuffled, all...))) {
			t.Fatal("the ranking depends on input order or duplicates")
		}
	})
}

func TestFirstMatchesRank(t *testing.T) {
	identity := func(candidate *string) string { return *candidate }
	require.Empty(t, First("key", nil, identity))
	rapid.Check(t, func(t *rapid.T) {
		key := rapid.String().Draw(t, "key")
		candidates := rapid.SliceOfN(rapid.StringMatching(`[a-z]{1,8}`), 1, 20).Draw(t, "candidates")
		require.Equal(t, Rank(key, candidates)[0], First(key, candidates, identity))
	})
}
