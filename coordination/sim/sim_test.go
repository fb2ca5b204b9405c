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

// echo returns a program that answers each call with its request and appends each message to received.
func echo(received *[]any) func(*sim.Process) {
	return func(process *sim.Process) {
		process.OnCall(func(_ string, request any, answer func(any)) { answer(request) })
		process.OnMessage(func(_ string, message any) { *received = append(*received, message) })
	}
}

// newEchoPair returns a world of two machines that run echo, and the messages that the second one receives.
func newEchoPair(seed uint64) (*sim.World, *sim.Machine, *sim.Machine, *[]any) {
	world := sim.New(seed)
	a, b := world.AddMachine("a"), world.AddMachine("b")
	received := new([]any)
	a.Start(echo(new([]any)))
	b.Start(echo(received))
	return world, a, b, received
}

// runTrace simulates three machines on a bad network with faults and returns a log of all received messages.
func runTrace(seed uint64) string {
	var trace strings.Builder
	world := sim.New(seed)
	world.Network().SetDefaultLink(sim.Link{MaxDelay: time.Second, Loss: 0.2, Duplicate: 0.2, DelaySpike: 0.1, MaxDelaySpike: time.Second})
	for _, name := range []string{"a", "b", "c"} {
		world.AddMachine(name).Start(func(process *sim.Process) {
			process.OnMessage(func(from string, message any) {
				fmt.Fprintf(&trace, "%v %s>%s %v\n", world.Now(), from, name, message)
			})
			process.Every(100*time.Millisecond, func() { process.Send([]string{"a", "b", "c"}[world.IntN(3)], world.IntN(100)) })
			process.Disk().Submit(process, func(files *sim.Files) error { return files.Write("x", []byte("data")) }, func(error) {})
		})
	}
	world.After(2*time.Second, world.Machine("a").LosePower)
	world.After(3*time.Second, world.Machine("b").Freeze)
	world.After(4*time.Second, world.Machine("b").Thaw)
	world.Run(6 * time.Second)
	return trace.String()
}

func TestSameSeedGivesSameTrace(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Uint64().Draw(t, "seed")
		first := runTrace(seed)
		require.NotEmpty(t, first)
		require.Equal(t, first, runTrace(seed))
	})
	require.NotEqual(t, runTrace(1), runTrace(2))
}

// TestCallEndsExactlyOnce checks that a call ends exactly once, even if its request or reply is duplicated or lost or its
// target is killed.
func TestCallEndsExactlyOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		world, a, b, _ := newEchoPair(rapid.Uint64().Draw(t, "seed"))
		world.Network().SetDefaultLink(sim.Link{MaxDelay: time.Second, Loss: 0.3, Duplicate: 0.5})
		if rapid.Bool().Draw(t, "killed") {
			world.After(world.Between(0, time.Second), b.Kill)
		}
		completions := 0
		a.Process().Call("b", 7, time.Second, func(reply any, err error) {
			completions++
			require.Equal(t, err == nil, reply == 7)
		})
		world.Run(time.Minute)
		require.Equal(t, 1, completions)
	})
}

func TestCallToStoppedMachineIsRefused(t *testing.T) {
	world, a, b, _ := newEchoPair(1)
	b.Kill()
	var got error
	a.Process().Call("b", 7, time.Second, func(_ any, err error) { got = err })
	world.Run(100 * time.Millisecond)
	require.ErrorIs(t, got, sim.ErrRefused)
}

func TestCutAffectsOneDirection(t *testing.T) {
	world, a, b, received := newEchoPair(1)
	receivedByA := new([]any)
	a.Kill()
	a.Start(echo(receivedByA))
	world.Network().Cut("a", "b")
	a.Process().Send("b", 1)
	b.Process().Send("a", 2)
	var got error
	b.Process().Call("a", 3, time.Second, func(_ any, err error) { got = err })
	world.Run(2 * time.Second)
	require.Empty(t, *received)
	require.Equal(t, []any{2}, *receivedByA)
	require.ErrorIs(t, got, sim.ErrTimeout)
	world.Network().HealAll()
	a.Process().Send("b", 4)
	world.Run(time.Second)
	require.Equal(t, []any{4}, *received)
}

func TestLinkLosesDuplicatesAndReorders(t *testing.T) {
	world, a, _, received := newEchoPair(1)
	world.Network().SetLink("a", "b", sim.Link{MaxDelay: time.Second, Loss: 0.2, Duplicate: 0.2})
	for number := range 200 {
		a.Process().Send("b", number)
	}
	world.Run(2 * time.Second)
	seen := map[any]int{}
	for _, message := range *received {
		seen[message]++
	}
	require.Less(t, len(seen), 200)
	require.Greater(t, len(*received), len(seen))
	require.False(t, slices.IsSortedFunc(*received, func(a, b any) int { return a.(int) - b.(int) }))
}

func TestFrozenProgramResumesAfterThaw(t *testing.T) {
	for _, suspended := range []bool{false, true} {
		world, a, b, received := newEchoPair(1)
		firedAt := time.Duration(0)
		before := b.Process().Monotonic()
		b.Process().After(time.Second, func() { firedAt = world.Now() })
		if suspended {
			b.Suspend()
		} else {
			b.Freeze()
		}
		a.Process().Send("b", 1)
		world.Run(5 * time.Second)
		require.Empty(t, *received)
		require.Zero(t, firedAt)
		b.Thaw()
		world.Run(5 * time.Second)
		require.Equal(t, []any{1}, *received)
		expectedFire, expectedElapsed := 5*time.Second, 10*time.Second
		if suspended {
			expectedFire, expectedElapsed = 6*time.Second, 5*time.Second
		}
		require.InDelta(t, expectedFire, firedAt, float64(10*time.Millisecond))
		require.Equal(t, expectedElapsed, b.Process().Monotonic()-before)
	}
}

func TestWallClockStepsDoNotAffectMonotonicClock(t *testing.T) {
	world, a, _, _ := newEchoPair(1)
	monotonic, wall := a.Process().Monotonic(), a.Process().WallTime()
	a.StepWallClock(-time.Hour)
	world.Run(time.Second)
	require.Equal(t, time.Second, a.Process().Monotonic()-monotonic)
	require.Equal(t, time.Second-time.Hour, a.Process().WallTime().Sub(wall))
}

// TestEndedProcessGetsNoCallbacks checks that timers, calls and disk operations of an ended process do not reach the next
// process on the same machine.
func TestEndedProcessGetsNoCallbacks(t *testing.T) {
	world, a, b, received := newEchoPair(1)
	ended := b.Process()
	ended.After(time.Second, func() { t.Error("a timer of the ended process fired") })
	ended.Call("a", 1, time.Second, func(any, error) { t.Error("a call of the ended process finished") })
	ended.Disk().Submit(ended, func(*sim.Files) error { return nil }, func(error) { t.Error("a disk operation of the ended process finished") })
	a.Process().Send("b", "for the process that runs on arrival")
	b.LosePower()
	require.False(t, b.Up())
	b.Start(echo(received))
	world.Run(time.Minute)
	require.Equal(t, 2, b.Process().Incarnation())
	require.Len(t, *received, 1)
}

// TestPowerLossKeepsSyncedData checks that synced data survives a power loss. Unsynced data may be kept, torn or lost, and each
// outcome must occur for some seed.
func TestPowerLossKeepsSyncedData(t *testing.T) {
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
		_, oldNameErr := files.Read("renamed")
		_, newNameErr := files.Read("other")
		require.NotEqual(t, oldNameErr == nil, newNameErr == nil)
		outcomes[fmt.Sprint("renamed ", newNameErr == nil)]++
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

func TestOperationIsPartlyDoneWhenItsProcessEnds(t *testing.T) {
	fileCounts := map[int]bool{}
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
			}, func(error) { t.Error("the process of the operation has ended") })
		})
		machine.Kill()
		list, err := machine.Disk().Files().List()
		require.NoError(t, err)
		fileCounts[len(list)] = true
	}
	require.Len(t, fileCounts, 4, "between none and all three files")
}

func TestDiskFaults(t *testing.T) {
	world := sim.New(1)
	machine := world.AddMachine("a")
	machine.Start(func(*sim.Process) {})
	process, disk := machine.Process(), machine.Disk()
	var results []error
	write := func() {
		disk.Submit(process, func(files *sim.Files) error {
			if err := files.Write("x", []byte("data")); err != nil {
				return err
			}
			return files.Sync()
		}, func(err error) { results = append(results, err) })
	}
	disk.Files().Full = true
	write()
	world.Run(time.Second)
	require.ErrorIs(t, results[0], syscall.ENOSPC)
	disk.Files().Full, disk.Files().FailSyncs = false, true
	write()
	world.Run(time.Second)
	require.ErrorIs(t, results[1], syscall.EIO)
	disk.ClearFaults()
	disk.Stall()
	write()
	write()
	world.Run(time.Minute)
	require.Len(t, results, 2)
	disk.Resume()
	world.Run(time.Second)
	require.Len(t, results, 4)
	require.NoError(t, results[3])
	machine.Wipe()
	names, err := machine.Disk().Files().List()
	require.NoError(t, err)
	require.Empty(t, names)
}
