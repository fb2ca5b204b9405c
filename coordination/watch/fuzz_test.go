package watch

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

// FuzzAnswers applies arbitrary replies to a follower. The follower applies or rejects each of them, and the version of its
// state never decreases.
func FuzzAnswers(f *testing.F) {
	config, err := pack(&fleetwire.Config{Version: 3})
	require.NoError(f, err)
	list, err := pack([]fleetwire.Instance{{ID: "a"}, {ID: "b"}})
	require.NoError(f, err)
	delta, err := pack(fleetwire.ListDelta{Put: []fleetwire.Instance{{ID: "c"}}, Removed: []string{"a"}})
	require.NoError(f, err)
	f.Add([]byte(config), []byte(list), []byte(delta), uint64(1), uint64(2), uint64(7))
	f.Add([]byte{packedFlate}, []byte{packedPlain}, []byte{packedPlain, 0x92}, uint64(0), uint64(0), uint64(0))
	f.Add([]byte{9}, []byte{}, []byte{packedFlate, 1, 2, 3}, uint64(5), uint64(1), uint64(1))
	f.Fuzz(func(t *testing.T, config, list, delta []byte, revision, sequence, digest uint64) {
		follower := NewFollower(FollowerOptions{OnChange: func(*Snapshot) {}})
		now := time.Now()
		first := fleetwire.ListVersion{Token: 1, Sequence: 1}
		last := fleetwire.ListVersion{Token: 1, Sequence: sequence}
		for _, reply := range []fleetwire.WatchReply{
			{Now: fleetwire.Version{ConfigRevision: revision, Instances: first}, Config: config, Instances: list},
			{Now: fleetwire.Version{Instances: last}, Steps: []fleetwire.ListStep{{From: first, To: last, Digest: digest, Body: delta}}},
			{Now: fleetwire.Version{ConfigRevision: revision / 2, Instances: first}, Config: config, Instances: list},
		} {
			before := follower.state.snapshot.Version
			_ = follower.apply(&reply, now, now)
			after := follower.state.snapshot.Version
			require.GreaterOrEqual(t, after.ConfigRevision, before.ConfigRevision)
			require.False(t, after.Instances.Less(before.Instances))
		}
	})
}
