package lease

import "weldscale/coordination/rendezvous"

// Owner chooses the owner of a key among members by rendezvous hashing: all who know the same members choose alike, and a
// member that leaves moves only its own keys. It returns "" for no members.
func Owner(key string, members []string) string {
	var owner string
	var best uint64
	for _, member := range members {
		weight := rendezvous.Weight(key, member)
		if owner == "" || weight > best || (weight == best && member < owner) {
			owner, best = member, weight
		}
	}
	return owner
}
