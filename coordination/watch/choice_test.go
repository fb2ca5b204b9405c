package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/coordination/rendezvous"
)

var start = time.Now()

func controllers(count int) []string {
	addresses := make([]string, 0, count)
	for i := range count {
		addresses = append(addresses, fmt.Sprintf("10.%d.0.%d:7720", i+1, 16+9*i))
	}
	return addresses
}

func TestChoiceSpreadsWatchersAndMovesFew(t *testing.T) {
	all := controllers(3)
	counts := map[string]int{}
	for i := range 300 {
		node := fmt.Sprintf("frontend-hall-%d", i)
		order := rendezvous.Rank(node, all)
		counts[order[0]]++
		without := rendezvous.Rank(node, all[:2])
		if order[0] != all[2] {
			require.Equal(t, order[0], without[0], "a watcher moved although its hub stayed")
		}
	}
	for _, address := range all {
		require.Greater(t, counts[address], 60, "too few watchers at %s", address)
	}
}

func TestChoiceTriesEveryHubInEachRound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := controllers(rapid.IntRange(1, 6).Draw(t, "hubs"))
		known := all[:rapid.IntRange(0, len(all)).Draw(t, "known")]
		choice := NewChoice(ChoiceOptions{Node: "node", Jitter: func() float64 { return 0.99 }})
		now := start
		for round := range 6 {
			asked := map[string]bool{}
			for range all {
				ask := choice.Next(now, known, all)
				if ask.Delay > maxBackoff || (round == 0 && ask.Delay != 0) {
					t.Fatalf("round %d: delay %v", round, ask.Delay)
				}
				asked[ask.Address] = true
				now = now.Add(ask.Delay + time.Millisecond)
				choice.Failed(now, ask)
			}
			if len(asked) != len(all) {
				t.Fatalf("round %d: %d of %d hubs were asked", round, len(asked), len(all))
			}
		}
	})
}

// TestChoiceHoldsItsPromises plays random outcomes: asks go to listed hubs only, are bounded in time, and a hub that is
// asked to hold a poll was good when it was last asked.
func TestChoiceHoldsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := controllers(5)
		jitter := rapid.Float64Range(0, 0.999)
		choice := NewChoice(ChoiceOptions{Node: "node", Jitter: func() float64 { return jitter.Draw(t, "jitter") }})
		good := map[string]bool{}
		now := start
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			known := all[:rapid.IntRange(0, 3).Draw(t, "known")]
			seeds := all[rapid.IntRange(1, 4).Draw(t, "seeds"):]
			ask := choice.Next(now, known, seeds)
			listed := false
			for _, address := range append(append([]string{}, known...), seeds...) {
				listed = listed || address == ask.Address
			}
			switch {
			case !listed:
				t.Fatalf("%q is not listed", ask.Address)
			case ask.Wait > 0 && !good[ask.Address]:
				t.Fatalf("long poll to %s, which was bad", ask.Address)
			case ask.Delay > maxBackoff || ask.Deadline <= ask.Wait || ask.Deadline-ask.Wait > maxFirstDeadline:
				t.Fatalf("ask out of bounds: %+v", ask)
			}
			now = now.Add(ask.Delay + time.Duration(rapid.IntRange(0, 2000).Draw(t, "took"))*time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "outcome") {
			case 0:
				choice.Failed(now, ask)
				good[ask.Address] = false
			case 1:
				choice.Answered(now, ask, 2*DefaultMaxQuorumAge, false)
				good[ask.Address] = false
			default:
				choice.Answered(now, ask, 0, false)
				good[ask.Address] = true
			}
		}
	})
}

func TestChoiceReturnsToItsFirstHub(t *testing.T) {
	all := controllers(3)
	order := rendezvous.Rank("node", all)
	choice := NewChoice(ChoiceOptions{Node: "node"})
	first := choice.Next(start, all, nil)
	require.Equal(t, order[0], first.Address)
	choice.Failed(start, first)
	second := choice.Next(start, all, nil)
	require.Equal(t, order[1], second.Address)
	choice.Answered(start, second, 0, false)
	require.Equal(t, order[1], choice.Next(start.Add(probeEvery/2), all, nil).Address)

	probe := choice.Next(start.Add(probeEvery), all, nil)
	require.Equal(t, order[0], probe.Address)
	require.True(t, probe.Probe)
	choice.Failed(start.Add(probeEvery), probe)
	require.Equal(t, order[1], choice.Current(), "a failed probe changes nothing")

	again := choice.Next(start.Add(2*probeEvery), all, nil)
	require.True(t, again.Probe)
	choice.Answered(start.Add(2*probeEvery), again, 0, false)
	require.Equal(t, order[0], choice.Current())
}

func TestChoiceLeavesAHubThatStaysBehind(t *testing.T) {
	choice := NewChoice(ChoiceOptions{Node: "node"})
	all := controllers(2)
	ask := choice.Next(start, all, nil)
	choice.Answered(start, ask, 0, true)
	require.Equal(t, ask.Address, choice.Current(), "it may learn of the newest in a moment")
	choice.Answered(start.Add(maxBehind+time.Millisecond), ask, 0, true)
	require.Empty(t, choice.Current())
	require.NotEqual(t, ask.Address, choice.Next(start.Add(time.Second), all, nil).Address)
}

func TestChoiceWithoutHubsWaits(t *testing.T) {
	ask := NewChoice(ChoiceOptions{}).Next(start, nil, nil)
	require.Empty(t, ask.Address)
	require.Equal(t, maxBackoff, ask.Delay)
}
