package lease

import (
	"hash/fnv"
	"math/bits"
)

// Owner chooses the owner of a key among members by rendezvous hashing: all who know the same members choose alike, and a
// member that leaves moves only its own keys. It returns "" for no members.
func Owner(key string, members []string) string {
	var owner string
	var best uint64
	for _, member := range members {
		weight := rendezvousWeight(key, member)
		if owner == "" || weight > best || (weight == best && member < owner) {
			owner, best = member, weight
		}
	}
	return owner
}

func rendezvousWeight(key, member string) uint64 {
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(key))
	_, _ = hash.Write([]byte{0})
	_, _ = hash.Write([]byte(member))
	return mix(hash.Sum64())
}

// mix spreads the bits of FNV, which are weak for inputs that differ in their last bytes only.
func mix(value uint64) uint64 {
	high, low := bits.Mul64(value^0x9e3779b97f4a7c15, 0xbf58476d1ce4e5b9)
	return high ^ low
}
