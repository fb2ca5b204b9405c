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

var roomy = Limits{Hints: 100, Bytes: 1000, Age: time.Minute}

func keepAll(t *testing.T, keeper *Keeper[number, string], peer string, hints ...hint) {
	t.Helper()
	for _, hint := range hints {
		require.True(t, keeper.Keep(0, peer, hint))
	}
}

func TestHintsComeInTheOrderOfTheirVersions(t *testing.T) {
	keeper := New[number, string](roomy)
	keepAll(t, keeper, "a", hint{Key: "y", Version: 7}, hint{Key: "x", Version: 3}, hint{Key: "z", Version: 5})
	keepAll(t, keeper, "b", hint{Key: "x", Version: 4})
	require.Equal(t, []hint{{Key: "x", Version: 3}, {Key: "z", Version: 5}, {Key: "y", Version: 7}}, keeper.For(0, "a"))
	require.Len(t, keeper.For(0, "a"), 3, "they stay until they are known to have come")
	keeper.Holds("a", "z", 5)
	keeper.Holds("a", "y", 6)
	require.Equal(t, []hint{{Key: "x", Version: 3}, {Key: "y", Version: 7}}, keeper.For(0, "a"))
	keeper.Holds("a", "x", 9)
	keeper.Forget("b")
	require.Equal(t, 1, keeper.Len())
	require.Zero(t, keeper.Drops())
}

func TestTheNewestOfAKeyWins(t *testing.T) {
	keeper := New[number, string](roomy)
	keepAll(t, keeper, "a", hint{Key: "x", Version: 3, Payload: "old", Bytes: 5}, hint{Key: "x", Version: 4, Payload: "new", Bytes: 7})
	require.False(t, keeper.Keep(0, "a", hint{Key: "x", Version: 4, Payload: "double"}))
	require.False(t, keeper.Keep(0, "a", hint{Key: "x", Version: 2, Payload: "late"}))
	require.Equal(t, []hint{{Key: "x", Version: 4, Payload: "new", Bytes: 7}}, keeper.For(0, "a"))
	require.Equal(t, 7, keeper.Bytes())
	require.Equal(t, Drops{Superseded: 1}, keeper.Drops())
}

func TestWhatIsSupersededGoes(t *testing.T) {
	keeper := New[number, string](roomy)
	keepAll(t, keeper, "a", hint{Key: "x", Version: 3}, hint{Key: "y", Version: 3})
	keepAll(t, keeper, "b", hint{Key: "x", Version: 4})
	keeper.Supersede("x", 4)
	require.Equal(t, []hint{{Key: "y", Version: 3}}, keeper.For(0, "a"))
	require.Len(t, keeper.For(0, "b"), 1)
}

func TestTheOldestMakeRoom(t *testing.T) {
	keeper := New[number, string](Limits{Hints: 3, Bytes: 10, Age: time.Minute})
	keepAll(t, keeper, "a", hint{Key: "1", Version: 9, Bytes: 4}, hint{Key: "2", Version: 8, Bytes: 4})
	keepAll(t, keeper, "b", hint{Key: "3", Version: 7, Bytes: 4})
	require.Equal(t, []hint{{Key: "2", Version: 8, Bytes: 4}}, keeper.For(0, "a"))
	keepAll(t, keeper, "b", hint{Key: "4", Version: 1}, hint{Key: "5", Version: 2})
	require.Empty(t, keeper.For(0, "a"))
	require.Equal(t, Drops{Crowded: 2}, keeper.Drops())
	require.False(t, keeper.Keep(0, "a", hint{Key: "6", Bytes: 11}), "alone beyond the limit")
	require.Equal(t, 3, keeper.Len())
}

func TestHintsExpire(t *testing.T) {
	keeper := New[number, string](roomy)
	keepAll(t, keeper, "a", hint{Key: "x", Version: 3})
	require.Len(t, keeper.For(roomy.Age-1, "a"), 1)
	require.Empty(t, keeper.For(roomy.Age, "a"))
	require.Equal(t, Drops{Expired: 1}, keeper.Drops())
	require.False(t, New[number, string](Limits{}).Keep(0, "a", hint{}))
}

// Whatever is done, the bounds hold, hints come in order, and each peer has the newest hint of a key or something newer, if
// nothing had to make room.
func TestKeepersKeepTheirPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{
			Hints: rapid.IntRange(1, 12).Draw(t, "hints"),
			Bytes: rapid.IntRange(1, 60).Draw(t, "bytes"),
			Age:   time.Duration(rapid.IntRange(1, 30).Draw(t, "age")) * time.Second,
		}
		keeper := New[number, string](limits)
		newest := map[[2]string]number{} // kept or delivered, by peer and key
		now := time.Duration(0)
		peers, keys := rapid.SampledFrom([]string{"a", "b", "c"}), rapid.SampledFrom([]string{"x", "y"})
		t.Repeat(map[string]func(*rapid.T){
			"keep": func(t *rapid.T) {
				peer := peers.Draw(t, "peer")
				hint := hint{Key: keys.Draw(t, "key"), Version: number(rapid.IntRange(0, 20).Draw(t, "version")),
					Bytes: rapid.IntRange(0, 70).Draw(t, "weight")}
				if keeper.Keep(now, peer, hint) {
					newest[[2]string{peer, hint.Key}] = hint.Version
				}
			},
			"holds": func(t *rapid.T) {
				peer, key, version := peers.Draw(t, "peer"), keys.Draw(t, "key"), number(rapid.IntRange(0, 20).Draw(t, "version"))
				keeper.Holds(peer, key, version)
				for _, hint := range keeper.For(now, peer) {
					require.False(t, hint.Key == key && hint.Version <= version)
				}
			},
			"supersede": func(t *rapid.T) {
				key, version := keys.Draw(t, "key"), number(rapid.IntRange(0, 20).Draw(t, "version"))
				keeper.Supersede(key, version)
				for _, peer := range []string{"a", "b", "c"} {
					require.NotContains(t, versionsBelow(keeper.For(now, peer), key, version), true)
				}
			},
			"wait": func(t *rapid.T) { now += time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond },
			"": func(t *rapid.T) {
				total, weight := 0, 0
				for _, peer := range []string{"a", "b", "c"} {
					hints := keeper.For(now, peer)
					require.True(t, slices.IsSortedFunc(hints, func(a, b hint) int { return int(a.Version) - int(b.Version) }))
					seen := map[string]bool{}
					for _, hint := range hints {
						require.False(t, seen[hint.Key], "one of a key")
						seen[hint.Key] = true
						require.Equal(t, newest[[2]string{peer, hint.Key}], hint.Version)
						total++
						weight += hint.Bytes
					}
				}
				require.Equal(t, total, keeper.Len())
				require.Equal(t, weight, keeper.Bytes())
				require.LessOrEqual(t, total, limits.Hints)
				require.LessOrEqual(t, weight, limits.Bytes)
			},
		})
	})
}

func versionsBelow(hints []hint, key string, version number) []bool {
	var below []bool
	for _, hint := range hints {
		below = append(below, hint.Key == key && hint.Version < version)
	}
	return below
}

// teller tells its peers of versions, keeps hints for those that don't answer, and hands them over when it hears them.
type teller struct {
	process *sim.Process
	keeper  *Keeper[number, string]
	version number
}

func (l *teller) tell(peers []string) {
	l.version++
	message := hint{Key: "list", Version: l.version}
	l.keeper.Supersede(message.Key, message.Version)
	for _, peer := range peers {
		l.send(peer, message)
	}
}

func (l *teller) send(peer string, message hint) {
	l.process.Call(peer, message, time.Second, func(_ any, err error) {
		if err != nil {
			l.keeper.Keep(l.process.Monotonic(), peer, message)
		} else {
			l.keeper.Holds(peer, message.Key, message.Version)
		}
	})
}

// A peer that was away gets the newest version as soon as it is heard again, with nothing else to bring it.
func TestAPeerThatIsBackIsTold(t *testing.T) {
	simtest.Run(t, simtest.Seeds{Fixed: 50, Fresh: 10}, func(t *testing.T, seed uint64) {
		world := sim.New(seed)
		peers := []string{"p0", "p1", "p2"}
		held := map[string]number{}
		var l *teller
		quiet := false
		world.AddMachine("teller").Start(func(process *sim.Process) {
			l = &teller{process: process, keeper: New[number, string](roomy)}
			process.OnMessage(func(from string, _ any) {
				for _, message := range l.keeper.For(process.Monotonic(), from) {
					l.send(from, message)
				}
			})
			process.Every(300*time.Millisecond, func() {
				if !quiet {
					l.tell(peers)
				}
			})
		})
		for _, name := range peers {
			world.AddMachine(name).Start(func(process *sim.Process) {
				process.OnCall(func(_ string, request any, answer func(any)) {
					held[name] = max(held[name], request.(hint).Version)
					answer(nil)
				})
				process.Every(500*time.Millisecond, func() { process.Send("teller", "alive") })
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
		require.Less(t, held["p0"], l.version)
		quiet = true
		world.Run(2 * time.Second) // the last calls end
		world.Network().HealAll()
		world.Run(time.Second)
		for _, name := range peers {
			require.Equal(t, l.version, held[name], name)
		}
		require.Zero(t, l.keeper.Len())
	})
}
