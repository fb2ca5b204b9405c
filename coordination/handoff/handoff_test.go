package handoff

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/coordination/sim"
	"weldscale/coordination/sim/simtest"
)

type number uint64

func (n number) Less(other number) bool { return n < other }

type hint = Hint[number, string]

var largeLimits = Limits{Hints: 100, Bytes: 1000, Age: time.Minute}

func addAll(t *testing.T, store *Store[number, string], peer string, hints ...hint) {
	t.Helper()
	for _, hint := range hints {
		require.True(t, store.Add(0, peer, hint))
	}
}

func TestHintsAreReturnedInVersionOrder(t *testing.T) {
	store := New[number, string](largeLimits)
	addAll(t, store, "a", hint{Key: "y", Version: 7}, hint{Key: "x", Version: 3}, hint{Key: "z", Version: 5})
	addAll(t, store, "b", hint{Key: "x", Version: 4})
	require.Equal(t, []hint{{Key: "x", Version: 3}, {Key: "z", Version: 5}, {Key: "y", Version: 7}}, store.HintsFor(0, "a"))
	require.Len(t, store.HintsFor(0, "a"), 3, "hints stay until they are known to be delivered")
	store.MarkDelivered("a", "z", 5)
	store.MarkDelivered("a", "y", 6)
	require.Equal(t, []hint{{Key: "x", Version: 3}, {Key: "y", Version: 7}}, store.HintsFor(0, "a"))
	store.MarkDelivered("a", "x", 9)
	store.RemovePeer("b")
	require.Equal(t, 1, store.Len())
	require.Zero(t, store.Drops())
}

func TestNewestVersionOfKeyReplacesOlder(t *testing.T) {
	store := New[number, string](largeLimits)
	addAll(t, store, "a", hint{Key: "x", Version: 3, Payload: "old", Bytes: 5}, hint{Key: "x", Version: 4, Payload: "new", Bytes: 7})
	require.False(t, store.Add(0, "a", hint{Key: "x", Version: 4, Payload: "double"}))
	require.False(t, store.Add(0, "a", hint{Key: "x", Version: 2, Payload: "late"}))
	require.Equal(t, []hint{{Key: "x", Version: 4, Payload: "new", Bytes: 7}}, store.HintsFor(0, "a"))
	require.Equal(t, 7, store.Bytes())
	require.Equal(t, Drops{Superseded: 1}, store.Drops())
}

func TestSupersedeDropsOlderHints(t *testing.T) {
	store := New[number, string](largeLimits)
	addAll(t, store, "a", hint{Key: "x", Version: 3}, hint{Key: "y", Version: 3})
	addAll(t, store, "b", hint{Key: "x", Version: 4})
	store.Supersede("x", 4)
	require.Equal(t, []hint{{Key: "y", Version: 3}}, store.HintsFor(0, "a"))
	require.Len(t, store.HintsFor(0, "b"), 1)
}

func TestOldestHintsAreEvicted(t *testing.T) {
	store := New[number, string](Limits{Hints: 3, Bytes: 10, Age: time.Minute})
	addAll(t, store, "a", hint{Key: "1", Version: 9, Bytes: 4}, hint{Key: "2", Version: 8, Bytes: 4})
	addAll(t, store, "b", hint{Key: "3", Version: 7, Bytes: 4})
	require.Equal(t, []hint{{Key: "2", Version: 8, Bytes: 4}}, store.HintsFor(0, "a"))
	addAll(t, store, "b", hint{Key: "4", Version: 1}, hint{Key: "5", Version: 2})
	require.Empty(t, store.HintsFor(0, "a"))
	require.Equal(t, Drops{Evicted: 2}, store.Drops())
	require.False(t, store.Add(0, "a", hint{Key: "6", Bytes: 11}), "the hint alone exceeds the limit")
	require.Equal(t, 3, store.Len())
}

func TestHintsExpire(t *testing.T) {
	store := New[number, string](largeLimits)
	addAll(t, store, "a", hint{Key: "x", Version: 3})
	require.Len(t, store.HintsFor(largeLimits.Age-1, "a"), 1)
	require.Empty(t, store.HintsFor(largeLimits.Age, "a"))
	require.Equal(t, Drops{Expired: 1}, store.Drops())
	require.False(t, New[number, string](Limits{}).Add(0, "a", hint{}))
}

// After any sequence of operations the limits hold, hints are returned in version order with at most one per key, and each stored
// hint is the newest that was added for its peer and key.
func TestStoreInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Hints: rapid.IntRange(1, 12).Draw(t, "hints"),
			Bytes: rapid.IntRange(1, 60).Draw(t, "bytes"),
			Age:   time.Duration(rapid.IntRange(1, 30).Draw(t, "age")) * time.Second,
		}
		store := New[number, string](limits)
		newest := map[[2]string]number{} // last added version, by peer and key
		now := time.Duration(0)
		peers, keys := rapid.SampledFrom([]string{"a", "b", "c"}), rapid.SampledFrom([]string{"x", "y"})
		t.Repeat(map[string]func(*rapid.T){
			"add": func(t *rapid.T) {
				peer := peers.Draw(t, "peer")
				hint := hint{Key: keys.Draw(t, "key"), Version: number(rapid.IntRange(0, 20).Draw(t, "version")),
					Bytes: rapid.IntRange(0, 70).Draw(t, "payload bytes")}
				if store.Add(now, peer, hint) {
					newest[[2]string{peer, hint.Key}] = hint.Version
				}
			},
			"mark delivered": func(t *rapid.T) {
				peer, key, version := peers.Draw(t, "peer"), keys.Draw(t, "key"), number(rapid.IntRange(0, 20).Draw(t, "version"))
				store.MarkDelivered(peer, key, version)
				for _, hint := range store.HintsFor(now, peer) {
					require.False(t, hint.Key == key && hint.Version <= version)
				}
			},
			"supersede": func(t *rapid.T) {
				key, version := keys.Draw(t, "key"), number(rapid.IntRange(0, 20).Draw(t, "version"))
				store.Supersede(key, version)
				for _, peer := range []string{"a", "b", "c"} {
					require.NotContains(t, areOlderVersions(store.HintsFor(now, peer), key, version), true)
				}
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				total, bytes := 0, 0
				for _, peer := range []string{"a", "b", "c"} {
					hints := store.HintsFor(now, peer)
					require.True(t, slices.IsSortedFunc(hints, func(a, b hint) int { return int(a.Version) - int(b.Version) }))
					seen := map[string]bool{}
					for _, hint := range hints {
						require.False(t, seen[hint.Key], "at most one hint per key")
						seen[hint.Key] = true
						require.Equal(t, newest[[2]string{peer, hint.Key}], hint.Version)
						total++
						bytes += hint.Bytes
					}
				}
				require.Equal(t, total, store.Len())
				require.Equal(t, bytes, store.Bytes())
				require.LessOrEqual(t, total, limits.Hints)
				require.LessOrEqual(t, bytes, limits.Bytes)
			},
		})
	})
}

func areOlderVersions(hints []hint, key string, version number) []bool {
	var older []bool
	for _, hint := range hints {
		older = append(older, hint.Key == key && hint.Version < version)
	}
	return older
}

// publisher sends new versions to its peers, stores hints for peers that do not reply, and sends the hints when a message of the
// peer arrives.
type publisher struct {
	process *sim.Process
	store   *Store[number, string]
	version number
}

func (p *publisher) publish(peers []string) {
	p.version++
	message := hint{Key: "list", Version: p.version}
	p.store.Supersede(message.Key, message.Version)
	for _, peer := range peers {
		p.send(peer, message)
	}
}

func (p *publisher) send(peer string, message hint) {
	p.process.Call(peer, message, time.Second, func(_ any, err error) {
		if err != nil {
			p.store.Add(p.process.Monotonic(), peer, message)
		} else {
			p.store.MarkDelivered(peer, message.Key, message.Version)
		}
	})
}

// A peer that was unreachable receives the newest version as soon as a message of it arrives. No other mechanism delivers it here.
func TestReturningPeerReceivesNewestVersion(t *testing.T) {
	simtest.Run(t, simtest.Seeds{Fixed: 50, Fresh: 10}, func(t *testing.T, seed uint64) {
		world := sim.New(seed)
		peers := []string{"p0", "p1", "p2"}
		received := map[string]number{}
		var sender *publisher
		stopped := false
		world.AddMachine("publisher").Start(func(process *sim.Process) {
			sender = &publisher{process: process, store: New[number, string](largeLimits)}
			process.OnMessage(func(from string, _ any) {
				for _, message := range sender.store.HintsFor(process.Monotonic(), from) {
					sender.send(from, message)
				}
			})
			process.Every(300*time.Millisecond, func() {
				if !stopped {
					sender.publish(peers)
				}
			})
		})
		for _, name := range peers {
			world.AddMachine(name).Start(func(process *sim.Process) {
				process.OnCall(func(_ string, request any, answer func(any)) {
					received[name] = max(received[name], request.(hint).Version)
					answer(nil)
				})
				process.Every(500*time.Millisecond, func() { process.Send("publisher", "alive") })
			})
		}
		for range 10 {
			name := peers[world.IntN(len(peers))]
			world.Network().Isolate(name)
			world.Run(world.Between(0, 3*time.Second))
			world.Network().HealAll()
		}
		world.Network().Isolate("p0")
		world.Run(2 * time.Second)
		require.Less(t, received["p0"], sender.version)
		stopped = true
		world.Run(2 * time.Second) // until the last calls have ended
		world.Network().HealAll()
		world.Run(time.Second)
		for _, name := range peers {
			require.Equal(t, sender.version, received[name], name)
		}
		require.Zero(t, sender.store.Len())
	})
}
