package watch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/coordination/rendezvous"
)

var startTime = time.Now()

// controllerAddresses returns the internal addresses of the given number of controllers.
func controllerAddresses(count int) []string {
	addresses := make([]string, 0, count)
	for i := range count {
		addresses = append(addresses, fmt.Sprintf("10.%d.0.%d:7720", i+1, 16+9*i))
	}
	return addresses
}

func TestSubscribersSpreadOverSourcesAndFewMove(t *testing.T) {
	all := controllerAddresses(3)
	counts := map[string]int{}
	for i := range 300 {
		node := fmt.Sprintf("frontend-hall-%d", i)
		order := rendezvous.Rank(node, all)
		counts[order[0]]++
		without := rendezvous.Rank(node, all[:2])
		if order[0] != all[2] {
			require.Equal(t, order[0], without[0], "the subscriber moved although its source is still listed")
		}
	}
	for _, address := range all {
		require.Greater(t, counts[address], 60, "too few subscribers at %s", address)
	}
}

func TestSelectorTriesEverySourceInEachRound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := controllerAddresses(rapid.IntRange(1, 6).Draw(t, "hubs"))
		known := all[:rapid.IntRange(0, len(all)).Draw(t, "known")]
		selector := NewSourceSelector(SourceSelectorOptions{Node: "node", Jitter: func() float64 { return 0.99 }})
		now := startTime
		for round := range 6 {
			polled := map[string]bool{}
			for range all {
				poll := selector.NextPoll(now, known, all)
				if poll.Delay > maxBackoff || (round == 0 && poll.Delay != 0) {
					t.Fatalf("round %d: delay %v", round, poll.Delay)
				}
				polled[poll.Address] = true
				now = now.Add(poll.Delay + time.Millisecond)
				selector.RecordFailure(now, poll)
			}
			if len(polled) != len(all) {
				t.Fatalf("round %d: %d of %d sources were polled", round, len(polled), len(all))
			}
		}
	})
}

// TestSelectorInvariants runs the selector with random outcomes. Polls must go to listed sources only, their delays and
// deadlines must be bounded, and a long poll must go only to a source whose previous reply was usable.
func TestSelectorInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		all := controllerAddresses(5)
		jitter := rapid.Float64Range(0, 0.999)
		selector := NewSourceSelector(SourceSelectorOptions{Node: "node", Jitter: func() float64 { return jitter.Draw(t, "jitter") }})
		healthy := map[string]bool{}
		now := startTime
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			known := all[:rapid.IntRange(0, 3).Draw(t, "known")]
			seeds := all[rapid.IntRange(1, 4).Draw(t, "seeds"):]
			poll := selector.NextPoll(now, known, seeds)
			listed := false
			for _, address := range append(append([]string{}, known...), seeds...) {
				listed = listed || address == poll.Address
			}
			switch {
			case !listed:
				t.Fatalf("poll to %q, which is not listed", poll.Address)
			case poll.Wait > 0 && !healthy[poll.Address]:
				t.Fatalf("long poll to %s, whose previous poll failed", poll.Address)
			case poll.Delay > maxBackoff || poll.Deadline <= poll.Wait || poll.Deadline-poll.Wait > maxInitialDeadline:
				t.Fatalf("delay or deadline out of bounds: %+v", poll)
			}
			now = now.Add(poll.Delay + time.Duration(rapid.IntRange(0, 2000).Draw(t, "took"))*time.Millisecond)
			switch rapid.IntRange(0, 2).Draw(t, "outcome") {
			case 0:
				selector.RecordFailure(now, poll)
				healthy[poll.Address] = false
			case 1:
				selector.RecordReply(now, poll, 2*DefaultMaxQuorumAge, false)
				healthy[poll.Address] = false
			default:
				selector.RecordReply(now, poll, 0, false)
				healthy[poll.Address] = true
			}
		}
	})
}

func TestSelectorReturnsToPreferredSource(t *testing.T) {
	all := controllerAddresses(3)
	order := rendezvous.Rank("node", all)
	selector := NewSourceSelector(SourceSelectorOptions{Node: "node"})
	first := selector.NextPoll(startTime, all, nil)
	require.Equal(t, order[0], first.Address)
	selector.RecordFailure(startTime, first)
	second := selector.NextPoll(startTime, all, nil)
	require.Equal(t, order[1], second.Address)
	selector.RecordReply(startTime, second, 0, false)
	require.Equal(t, order[1], selector.NextPoll(startTime.Add(probeInterval/2), all, nil).Address)

	probe := selector.NextPoll(startTime.Add(probeInterval), all, nil)
	require.Equal(t, order[0], probe.Address)
	require.True(t, probe.Probe)
	selector.RecordFailure(startTime.Add(probeInterval), probe)
	require.Equal(t, order[1], selector.Current(), "a failed probe does not change the source")

	again := selector.NextPoll(startTime.Add(2*probeInterval), all, nil)
	require.True(t, again.Probe)
	selector.RecordReply(startTime.Add(2*probeInterval), again, 0, false)
	require.Equal(t, order[0], selector.Current())
}

func TestSelectorLeavesLaggingSource(t *testing.T) {
	selector := NewSourceSelector(SourceSelectorOptions{Node: "node"})
	all := controllerAddresses(2)
	poll := selector.NextPoll(startTime, all, nil)
	selector.RecordReply(startTime, poll, 0, true)
	require.Equal(t, poll.Address, selector.Current(), "a short lag is tolerated")
	selector.RecordReply(startTime.Add(maxConfigLag+time.Millisecond), poll, 0, true)
	require.Empty(t, selector.Current())
	require.NotEqual(t, poll.Address, selector.NextPoll(startTime.Add(time.Second), all, nil).Address)
}

func TestSelectorWithoutSourcesWaits(t *testing.T) {
	poll := NewSourceSelector(SourceSelectorOptions{}).NextPoll(startTime, nil, nil)
	require.Empty(t, poll.Address)
	require.Equal(t, maxBackoff, poll.Delay)
}
