// Package rendezvous implements rendezvous hashing (highest random weight). All processes that know the same candidates make the
// same choice for a key, keys are distributed evenly over the candidates, and a candidate that joins or leaves moves only the
// keys that it gains or loses.
package rendezvous

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Weight returns the weight of a candidate for a key. The candidate with the highest weight is the key's first choice.
func Weight(key, candidate string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(candidate))
	return mix(hash.Sum64())
}

// First returns the name of a key's first choice among named candidates, or "" if there are none. It does not rank all of them.
func First[C any](key string, candidates []C, name func(*C) string) string {
	var first string
	var highest uint64
	for i := range candidates {
		candidate := name(&candidates[i])
		weight := Weight(key, candidate)
		if first == "" || weight > highest || weight == highest && candidate < first {
			first, highest = candidate, weight
		}
	}
	return first
}

// Rank returns the candidates in descending order of their weights for a key, without duplicates.
func Rank(key string, candidates []string) []string {
	type weighted struct {
		candidate string
		weight    uint64
	}
	ordered := make([]weighted, 0, len(candidates))
	for _, candidate := range candidates {
		ordered = append(ordered, weighted{candidate, Weight(key, candidate)})
	}
	slices.SortFunc(ordered, func(a, b weighted) int {
		if byWeight := cmp.Compare(b.weight, a.weight); byWeight != 0 {
			return byWeight
		}
		return cmp.Compare(a.candidate, b.candidate)
	})
	ranked := make([]string, 0, len(ordered))
	for _, entry := range ordered {
		ranked = append(ranked, entry.candidate)
	}
	return slices.Compact(ranked)
}

// mix finalizes an FNV hash, which mixes its bits poorly for inputs that differ only in their last bytes.
func mix(value uint64) uint64 {
	value ^= value >> 33
	value *= 0xff51afd7ed558ccd
	value ^= value >> 33
	value *= 0xc4ceb9fe1a85ec53
	value ^= value >> 33
	return value
}
