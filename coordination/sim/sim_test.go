package sim_test

import (
	"fmt"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/coordination/sim"
)

// echo answers each call with its request and notes each message.
func echo(heard *[]any) func(*sim.Process) {
	return func(process *sim.Process) {
		process.OnCall(func(_ string, request any, answer func(any)) { answer(request) })
		process.OnMessage(func(_ string, message any) { *heard = append(*heard, message) })
	}
}

// pair returns a world of two machines that run echo, and what the second has heard.
func pair(seed uint64) (*sim.World, *sim.Machine, *sim.Machine, *[]any) {
	world := sim.New(seed)
	a, b := world.AddMachine("a"), world.AddMachine("b")
	heard := new([]any)
	a.Start(echo(new([]any)))
	b.Start(echo(heard))
	return world, a, b, heard
}

// story plays a busy world and tells all that happened in it.
func story(seed uint64) string {
	var told strings.Builder
	world := sim.New(seed)
	world.Network().SetDefaultLink(sim.Link{MaxDelay: time.Second, Loss: 0.2, Duplicate: 0.2, DelaySpike: 0.1, MaxDelaySpike: time.Second})
	for _, name := range []string{"a", "b", "c"} {
		world.AddMachine(name).Start(func(process *sim.Process) {
			process.OnMessage(func(from string, message any) {
				fmt.Fprintf(&told, "%v %s>%s %v\n", world.Now(), from, name, message)
			})
			process.Every(100*time.Millisecond, func() { process.Send([]string{"a", "b", "c"}[world.IntN(3)], world.IntN(100)) })
			process.Disk().Submit(process, func(files *sim.Files) error { return files.Write("x", []byte("data")) }, func(error) {})
		})
	}
	world.After(2*time.Second, world.Machine("a").LosePower)
	world.After(3*time.Second, world.Machine("b").Freeze)
	world.After(4*time.Second, world.Machine("b").Thaw)
	world.Run(6 * time.Second)
	return told.String()
}

func TestOneSeedTellsOneStory(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		first := story(seed)
		require.NotEmpty(t, first)
		require.Equal(t, first, story(seed))
	})
	require.NotEqual(t, story(1), story(2))
}

func TestACallEndsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world, a, b, _ := pair(rapid.Uint64().Draw(t, "seed"))
		world.Network().SetDefaultLink(sim.Link{MaxDelay: time.Second, Loss: 0.3, Duplicate: 0.5})
		if rapid.Bool().Draw(t, "killed") {
			world.After(world.Between(0, time.Second), b.Kill)
		}
		ends := 0
		a.Process().Call("b", 7, time.Second, func(reply any, err error) {
			ends++
			require.Equal(t, err == nil, reply == 7)
		})
		world.Run(time.Minute)
		require.Equal(t, 1, ends)
	})
}

func TestACallWhereNothingRunsIsRefused(t *testing.T) {
	world, a, b, _ := pair(1)
	b.Kill()
	var got error
	a.Process().Call("b", 7, time.Second, func(_ any, err error) { got = err })
	world.Run(100 * time.Millisecond)
	require.ErrorIs(t, got, sim.ErrRefused)
}

func TestACutGoesOneWay(t *testing.T) {
	world, a, b, heard := pair(1)
	heardByA := new([]any)
	a.Kill()
	a.Start(echo(heardByA))
	world.Network().Cut("a", "b")
	a.Process().Send("b", 1)
	b.Process().Send("a", 2)
	var got error
	b.Process().Call("a", 3, time.Second, func(_ any, err error) { got = err })
	world.Run(2 * time.Second)
	require.Empty(t, *heard)
	require.Equal(t, []any{2}, *heardByA)
	require.ErrorIs(t, got, sim.ErrTimeout)
	world.Network().HealAll()
	a.Process().Send("b", 4)
	world.Run(time.Second)
	require.Equal(t, []any{4}, *heard)
}

func TestALinkLosesDoublesAndReorders(t *testing.T) {
	world, a, _, heard := pair(1)
	world.Network().SetLink("a", "b", sim.Link{MaxDelay: time.Second, Loss: 0.2, Duplicate: 0.2})
	for number := range 200 {
		a.Process().Send("b", number)
	}
	world.Run(2 * time.Second)
	seen := map[any]int{}
	for _, message := range *heard {
		seen[message]++
	}
	require.Less(t, len(seen), 200)
	require.Greater(t, len(*heard), len(seen))
	require.False(t, slices.IsSortedFunc(*heard, func(a, b any) int { return a.(int) - b.(int) }))
}

func TestAFrozenProgramGoesOnWhenItThaws(t *testing.T) {
	for _, stops := range []bool{false, true} {
		world, a, b, heard := pair(1)
		fired := time.Duration(0)
		before := b.Process().Monotonic()
		b.Process().After(time.Second, func() { fired = world.Now() })
		if stops {
			b.Suspend()
		} else {
			b.Freeze()
		}
		a.Process().Send("b", 1)
		world.Run(5 * time.Second)
		require.Empty(t, *heard)
		require.Zero(t, fired)
		b.Thaw()
		world.Run(5 * time.Second)
		require.Equal(t, []any{1}, *heard)
		wanted, passed := 5*time.Second, 10*time.Second
		if stops {
			wanted, passed = 6*time.Second, 5*time.Second
		}
		require.InDelta(t, wanted, fired, float64(10*time.Millisecond))
		require.Equal(t, passed, b.Process().Monotonic()-before)
	}
}

func TestStepsOfTheTimeOfDayLeaveTheSteadyClockAlone(t *testing.T) {
	world, a, _, _ := pair(1)
	steady, day := a.Process().Monotonic(), a.Process().WallTime()
	a.StepWallClock(-time.Hour)
	world.Run(time.Second)
	require.Equal(t, time.Second, a.Process().Monotonic()-steady)
	require.Equal(t, time.Second-time.Hour, a.Process().WallTime().Sub(day))
}

func TestNothingHappensToAProcessAfterItsEnd(t *testing.T) {
	world, a, b, heard := pair(1)
	old := b.Process()
	old.After(time.Second, func() { t.Error("a timer of a former life") })
	old.Call("a", 1, time.Second, func(any, error) { t.Error("a call of a former life") })
	old.Disk().Submit(old, func(*sim.Files) error { return nil }, func(error) { t.Error("a job of a former life") })
	a.Process().Send("b", "for whoever runs on arrival")
	b.LosePower()
	require.False(t, b.Up())
	b.Start(echo(heard))
	world.Run(time.Minute)
	require.Equal(t, 2, b.Process().Incarnation())
	require.Len(t, *heard, 1)
}

// What is written and synced is there after a loss of power; what isn't may be there, torn or not at all.
func TestALossOfPowerKeepsWhatIsSynced(t *testing.T) {
	outcomes := map[string]int{}
	for seed := range uint64(200) {
		world := sim.New(seed)
		machine := world.AddMachine("a")
		files := machine.Disk().Files()
		require.NoError(t, files.Write("synced", []byte("data")))
		require.NoError(t, files.Write("renamed", []byte("data")))
		files.IgnoreSyncs = true
		require.NoError(t, files.Write("unsynced", []byte("data")))
		require.NoError(t, files.Rename("renamed", "other"))
		machine.LosePower()
		data, err := files.Read("synced")
		require.NoError(t, err)
		require.Equal(t, "data", string(data))
		_, first := files.Read("renamed")
		_, second := files.Read("other")
		require.NotEqual(t, first == nil, second == nil)
		outcomes[fmt.Sprint("renamed ", second == nil)]++
		data, err = files.Read("unsynced")
		switch {
		case err != nil:
			outcomes["lost"]++
		case string(data) == "data":
			outcomes["kept"]++
		default:
			outcomes["torn"]++
		}
	}
	require.Len(t, outcomes, 5, "%v", outcomes)
}

func TestAJobIsDoneInPartWhenItsProcessEnds(t *testing.T) {
	names := map[int]bool{}
	for seed := range uint64(100) {
		machine := sim.New(seed).AddMachine("a")
		machine.Start(func(process *sim.Process) {
			process.Disk().Submit(process, func(files *sim.Files) error {
				for i := range 3 {
					if err := files.Write(fmt.Sprint(i), []byte("x")); err != nil {
						return err
					}
				}
				return nil
			}, func(error) { t.Error("its process has ended") })
		})
		machine.Kill()
		list, err := machine.Disk().Files().List()
		require.NoError(t, err)
		names[len(list)] = true
	}
	require.Len(t, names, 4, "from none to all three")
}

func TestTroublesOfADisk(t *testing.T) {
	world := sim.New(1)
	machine := world.AddMachine("a")
	machine.Start(func(*sim.Process) {})
	process, disk := machine.Process(), machine.Disk()
	var ends []error
	write := func() {
		disk.Submit(process, func(files *sim.Files) error {
			if err := files.Write("x", []byte("data")); err != nil {
				return err
			}
			return files.Sync()
		}, func(err error) { ends = append(ends, err) })
	}
	disk.Files().Full = true
	write()
	world.Run(time.Second)
	require.ErrorIs(t, ends[0], syscall.ENOSPC)
	disk.Files().Full, disk.Files().FailSyncs = false, true
	write()
	world.Run(time.Second)
	require.ErrorIs(t, ends[1], syscall.EIO)
	disk.ClearFaults()
	disk.Stall()
	write()
	write()
	world.Run(time.Minute)
	require.Len(t, ends, 2)
	disk.Resume()
	world.Run(time.Second)
	require.Len(t, ends, 4)
	require.NoError(t, ends[3])
	machine.Wipe()
	names, err := machine.Disk().Files().List()
	require.NoError(t, err)
	require.Empty(t, names)
}
