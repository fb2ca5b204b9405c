package evidence

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const second = time.Second

func newTestAggregator(t require.TestingT, members int, name, zone string) *Aggregator {
	a, err := NewAggregator(DefaultConfig(members), name, zone, 1)
	require.NoError(t, err)
	return a
}

// newReport returns a member's report on a worker, either a complaint or a success.
func newReport(from, worker string, seq uint64, age time.Duration, complaint bool) Report {
	r := Report{From: from, Zone: "here", Worker: worker, Incarnation: 1, Seq: seq, Age: age}
	if complaint {
		r.Kind = Failed
	}
	return r
}

// Checks when a worker is suspected, in a fleet of 100 members and 40 workers, by what the members report on it.
func TestSuspects(t *testing.T) {
	type reports struct {
		members   int // negative: these members also complain about 20 other workers
		age       time.Duration
		complaint bool
	}
	for name, c := range map[string]struct {
		reports   []reports
		zone      string
		suspected bool
	}{
		"no complaint":                          {[]reports{{50, 0, false}}, "here", false},
		"one":                                   {[]reports{{1, 0, true}}, "here", false},
		"no more than the faulty member share":  {[]reports{{4, 0, true}}, "here", false},
		"one more, without other observations":  {[]reports{{5, 0, true}}, "here", true},
		"outweighed by successes":               {[]reports{{6, 0, true}, {20, 0, false}}, "here", false},
		"starts to fail":                        {[]reports{{90, second, false}, {6, 0, true}}, "here", true},
		"has recovered":                         {[]reports{{90, second, true}, {6, 0, false}}, "here", false},
		"fails four jobs in five":               {[]reports{{40, 0, true}, {10, second, false}}, "here", true},
		"complaints from another zone":          {[]reports{{40, 0, true}}, "there", false},
		"members that complain of many workers": {[]reports{{-30, 0, true}}, "here", false},
	} {
		aggregator := newTestAggregator(t, 100, "me", "here")
		n := 0
		for _, s := range c.reports {
			workers := []string{"w"}
			if s.members < 0 {
				s.members = -s.members
				for i := range 20 {
					workers = append(workers, fmt.Sprint("v", i))
				}
			}
			for range s.members {
				n++
				for _, w := range workers {
					r := newReport(fmt.Sprint("s", n), w, 1, s.age, s.complaint)
					r.Zone = c.zone
					require.True(t, aggregator.Receive(2*second, r))
				}
			}
		}
		names := aggregator.Suspects(2*second, 40, 100)
		assert.Equal(t, c.suspected, len(names) == 1, "%s: %v", name, names)
		assert.Empty(t, aggregator.Suspects(aggregator.config.MaxAge+2*second, 40, 100), "%s: all reports are too old", name)
	}
}

// Checks that this member's observations count like those of others until they are too old or discarded, that successes are
// reported only once others complain, and that no report is repeated without need.
func TestOwnObservations(t *testing.T) {
	aggregator := newTestAggregator(t, 2, "me", "here")
	aggregator.Record(0, "w", TimedOut)
	aggregator.Record(0, "good", Succeeded)
	due := aggregator.DueReports(second)
	require.Len(t, due, 1, "a success without complaints is not reported")
	assert.Equal(t, Report{"me", "here", "w", 1, 1, second, TimedOut}, due[0])
	assert.Empty(t, aggregator.DueReports(9*second), "no new observation")
	aggregator.ResendAll()
	assert.Len(t, aggregator.DueReports(9*second), 1, "after ResendAll")
	assert.Empty(t, aggregator.DueReports(9*second), "only once after ResendAll")
	aggregator.Record(second, "w", Failed)
	assert.Len(t, aggregator.DueReports(second+1), 1, "another kind")
	aggregator.Record(second+2, "w", Failed)
	assert.Empty(t, aggregator.DueReports(second+2), "the same kind within MinRepeatInterval")
	assert.Len(t, aggregator.DueReports(second+2+aggregator.config.MinRepeatInterval), 1)
	assert.Empty(t, aggregator.Suspects(second, 10, 2), "a single complaint is not enough")
	aggregator.Receive(second, newReport("s", "w", 1, 0, true))
	aggregator.Receive(second, newReport("s", "good", 1, 0, true))
	assert.Equal(t, []string{"w"}, aggregator.Suspects(second, 10, 2))
	due = aggregator.DueReports(2 * second)
	require.Len(t, due, 1, "the success, since another member complains")
	assert.Equal(t, Succeeded, due[0].Kind)
	assert.Empty(t, aggregator.Suspects(second, 2, 2), "MaxSuspectShare allows none of two workers")
	aggregator.DiscardOwn()
	assert.Empty(t, aggregator.Suspects(second, 10, 2))
	aggregator.Record(second, "w", Unreachable)
	assert.Equal(t, []string{"w"}, aggregator.Suspects(second, 10, 2))
	assert.Empty(t, aggregator.Suspects(second+aggregator.config.MaxAge, 10, 2))
	assert.Empty(t, aggregator.DueReports(second+aggregator.config.MaxAge))
}

// TestComplaintIsRepeatedWhileItCounts guards against a member that never hears a complaint, because each report is sent to a
// few members only and a datagram may be lost. Members that have the report must not forward it again.
func TestComplaintIsRepeatedWhileItCounts(t *testing.T) {
	reporter, receiver := newTestAggregator(t, 4, "a", "here"), newTestAggregator(t, 4, "b", "here")
	reporter.Record(0, "bad", Failed)
	reporter.Record(0, "good", Succeeded)
	require.Empty(t, reporter.RepeatedReports(0), "nothing was reported yet")
	first := reporter.DueReports(0)
	require.Len(t, first, 1)
	require.Empty(t, reporter.RepeatedReports(repeatInterval-1))
	repeated := reporter.RepeatedReports(repeatInterval)
	require.Len(t, repeated, 1)
	require.Equal(t, first[0].Seq, repeated[0].Seq)
	require.Equal(t, repeatInterval, repeated[0].Age)
	require.Empty(t, reporter.RepeatedReports(repeatInterval+1))
	require.True(t, receiver.Receive(repeatInterval, repeated[0]), "the first one was lost")
	again := reporter.RepeatedReports(2 * repeatInterval)
	require.Len(t, again, 1)
	require.False(t, receiver.Receive(2*repeatInterval, again[0]), "it has the report")
	reporter.Record(3*repeatInterval, "bad", Failed)
	require.Empty(t, reporter.RepeatedReports(4*repeatInterval), "a new observation is due in its place")
	require.Len(t, reporter.DueReports(4*repeatInterval), 1)
	require.Empty(t, reporter.RepeatedReports(3*repeatInterval+reporter.config.MaxAge), "it counts no more")
	reporter.Record(5*repeatInterval, "bad", Succeeded)
	require.Empty(t, reporter.RepeatedReports(6*repeatInterval), "the complaint is out of date")
}

// Checks that invalid reports and those beyond the bounds are dropped, and that expired ones make room.
func TestBounds(t *testing.T) {
	c := DefaultConfig(2)
	c.MaxWorkers = 2
	aggregator, err := NewAggregator(c, "me", "here", 1)
	require.NoError(t, err)
	for _, r := range []Report{{}, {From: "s", Worker: "w", Kind: -1}, {From: "s", Worker: "w", Kind: kindCount},
		{From: "s", Worker: "w", Age: -1}} {
		assert.False(t, aggregator.Receive(0, r))
	}
	for i := range 9 {
		aggregator.Receive(0, newReport(fmt.Sprint("s", i), "w", 1, 0, true))
		aggregator.Record(0, fmt.Sprint("w", i), Succeeded)
		aggregator.Receive(0, newReport("s0", fmt.Sprint("w", i), 1, 0, true))
	}
	assert.Len(t, aggregator.received["w"], 2)
	assert.Len(t, aggregator.received, 2)
	assert.Len(t, aggregator.own, 2)
	assert.Positive(t, aggregator.Dropped)
	later := 3 * c.MaxAge
	aggregator.Record(later, "new", Succeeded)
	assert.True(t, aggregator.Receive(later, newReport("s", "new", 1, 0, true)), "expired reports make room")
	for _, c := range []Config{{}, {MaxMembers: 1, MaxWorkers: 1, SampleSize: 1, MaxAge: 1, MinRepeatInterval: 2,
		MinComplaintShare: 0.5, MaxSuspectShare: 0.5}} {
		_, err := NewAggregator(c, "me", "", 1)
		assert.Error(t, err)
	}
}

// Checks that members with the same reports suspect the same workers, in whatever order the reports arrive and however often.
// As many faulty members as the configuration allows must not get a good worker suspected.
func TestFaultyMembersAndReordering(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(5, 60).Draw(t, "members")
		faulty := rapid.IntRange(0, max(1, members/25)).Draw(t, "liars")
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		const workers = 10
		var all []Report
		for m := range members {
			for w := range workers {
				if m < faulty && w > 3 { // a member that complains about more workers is ignored anyway
					continue
				}
				for seq := range uint64(3) {
					complaint := m < faulty || w == 0 && (seq < 2 || rng.Float64() < 0.8) // worker 0 fails four jobs in five
					all = append(all, newReport(fmt.Sprint("s", m), fmt.Sprint("w", w), seq+1, time.Duration(2-seq)*second, complaint))
				}
			}
		}
		var suspects [2][]string
		for i := range suspects {
			aggregator := newTestAggregator(t, members, "me", "here")
			order := append([]Report(nil), all...)
			order = append(order, all[:len(all)/2]...)
			rng.Shuffle(len(order), func(x, y int) { order[x], order[y] = order[y], order[x] })
			for k, r := range order {
				aggregator.Receive(3*second, r)
				if k%97 == 0 { // checks intermediate states too
					for _, name := range aggregator.Suspects(3*second, workers, members) {
						if name != "w0" {
							t.Fatal(name)
						}
					}
				}
			}
			suspects[i] = aggregator.Suspects(4*second, workers, members)
		}
		if fmt.Sprint(suspects[0]) != fmt.Sprint(suspects[1]) {
			t.Fatalf("suspects differ by the order of reports: %v and %v", suspects[0], suspects[1])
		}
		for _, name := range suspects[0] {
			if name != "w0" {
				t.Fatalf("suspects are %v with %d faulty members of %d", suspects[0], faulty, members)
			}
		}
	})
}

func TestWithComplaints(t *testing.T) {
	a, err := NewAggregator(DefaultConfig(5), "a", "z", 1)
	if err != nil {
		t.Fatal(err)
	}
	a.Receive(0, Report{From: "b", Zone: "z", Worker: "w2", Seq: 1, Kind: Failed})
	a.Receive(0, Report{From: "b", Zone: "z", Worker: "w1", Seq: 2, Kind: TimedOut})
	a.Receive(0, Report{From: "b", Zone: "z", Worker: "w3", Seq: 3, Kind: Succeeded})
	if names := a.WithComplaints(time.Second); len(names) != 2 || names[0] != "w1" || names[1] != "w2" {
		t.Fatal(names)
	}
	if names := a.WithComplaints(time.Minute); names != nil {
		t.Fatal("expired complaints:", names)
	}
}
