package lease

import "weldscale/coordination/rendezvous"

// Owner chooses the owner of a key among members by rendezvous hashing: all who know the same members choose alike, and a
// member that leaves moves only its own keys. It returns "" for no members.
func Owner(key string, members []string) string {
	return rendezvous.First(key, members, func(member *string) string { return *member })
}
