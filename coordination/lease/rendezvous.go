package lease

import "weldscale/coordination/rendezvous"

// Owner returns the member that owns a key by rendezvous hashing. All processes that know the same members get the same
// result, and a member that leaves moves only its own keys. Owner returns "" if there are no members.
func Owner(key string, members []string) string {
	return rendezvous.First(key, members, func(member *string) string { return *member })
}
