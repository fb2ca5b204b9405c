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

func book(t require.TestingT, members int, name, zone string) *Aggregator {
	b, err := NewAggregator(DefaultConfig(members), name, zone, 1)
	require.NoError(t, err)
	return b
}

// report is one of a member whose latest try at a worker was bad or not.
func report(from, worker string, seq uint64, age time.Duration, bad bool) Report {
	r := Report{From: from, Zone: "here", Worker: worker, Incarnation: 1, Seq: seq, Age: age}
	if bad {
		r.Kind = Failed
	}
	return r
}

// Whom the evidence speaks against, of 40 workers and 100 members, by what they say of one worker.
func TestWhomItSpeaksAgainst(t *testing.T) {
	type said struct {
		members int
		age     time.Duration
		bad     bool
	}
	for name, c := range map[string]struct {
		said []said
		zone string
		bad  bool
	}{
		"nobody complains":                     {[]said{{50, 0, false}}, "here", false},
		"one":                                  {[]said{{1, 0, true}}, "here", false},
		"as many as may lie":                   {[]said{{4, 0, true}}, "here", false},
		"one more, and nobody else has tried":  {[]said{{5, 0, true}}, "here", true},
		"more, and the others fare well":       {[]said{{6, 0, true}, {20, 0, false}}, "here", false},
		"it begins to fail":                    {[]said{{90, second, false}, {6, 0, true}}, "here", true},
		"it is well again":                     {[]said{{90, second, true}, {6, 0, false}}, "here", false},
		"it fails four in five":                {[]said{{40, 0, true}, {10, second, false}}, "here", true},
		"those of another zone fare badly":     {[]said{{40, 0, true}}, "there", false},
		"ill ones, who complain of everything": {[]said{{-30, 0, true}}, "here", false},
	} {
		b := book(t, 100, "me", "here")
		n := 0
		for _, s := range c.said {
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
					r := report(fmt.Sprint("s", n), w, 1, s.age, s.bad)
					r.Zone = c.zone
					require.True(t, b.Receive(2*second, r))
				}
			}
		}
		names := b.Suspects(2*second, 40, 100)
		assert.Equal(t, c.bad, len(names) == 1, "%s: %v", name, names)
		assert.Empty(t, b.Suspects(b.c.MaxAge+2*second, 40, 100), "%s: all of it is too old", name)
	}
}

// Own evidence counts like another's, and ends by its age and with a stall. Who has fared well speaks up once others complain, and
// nobody says the same again.
func TestOwnEvidence(t *testing.T) {
	b := book(t, 2, "me", "here")
	b.Record(0, "w", TimedOut)
	b.Record(0, "good", Succeeded)
	due := b.DueReports(second)
	require.Len(t, due, 1, "of a good one there is nothing to say")
	assert.Equal(t, Report{"me", "here", "w", 1, 1, second, TimedOut}, due[0])
	assert.Empty(t, b.DueReports(9*second), "nothing new")
	b.ResendAll()
	assert.Len(t, b.DueReports(9*second), 1, "once more, for a member that has joined")
	assert.Empty(t, b.DueReports(9*second), "and only once")
	b.Record(second, "w", Failed)
	assert.Len(t, b.DueReports(second+1), 1, "another kind")
	b.Record(second+2, "w", Failed)
	assert.Empty(t, b.DueReports(second+2), "the same so soon")
	assert.Len(t, b.DueReports(second+2+b.c.MinRepeatInterval), 1)
	assert.Empty(t, b.Suspects(second, 10, 2), "one is not enough")
	b.Receive(second, report("s", "w", 1, 0, true))
	b.Receive(second, report("s", "good", 1, 0, true))
	assert.Equal(t, []string{"w"}, b.Suspects(second, 10, 2))
	due = b.DueReports(2 * second)
	require.Len(t, due, 1, "the good one too")
	assert.Equal(t, Succeeded, due[0].Kind)
	assert.Empty(t, b.Suspects(second, 2, 2), "no more than a part of the workers: of two, none")
	b.DiscardOwn()
	assert.Empty(t, b.Suspects(second, 10, 2))
	b.Record(second, "w", Unreachable)
	assert.Equal(t, []string{"w"}, b.Suspects(second, 10, 2))
	assert.Empty(t, b.Suspects(second+b.c.MaxAge, 10, 2))
	assert.Empty(t, b.DueReports(second+b.c.MaxAge))
}

// What makes no sense or finds no room changes nothing.
func TestBounds(t *testing.T) {
	c := DefaultConfig(2)
	c.MaxWorkers = 2
	b, err := NewAggregator(c, "me", "here", 1)
	require.NoError(t, err)
	for _, r := range []Report{{}, {From: "s", Worker: "w", Kind: -1}, {From: "s", Worker: "w", Kind: kinds}, {From: "s", Worker: "w", Age: -1}} {
		assert.False(t, b.Receive(0, r))
	}
	for i := range 9 {
		b.Receive(0, report(fmt.Sprint("s", i), "w", 1, 0, true))
		b.Record(0, fmt.Sprint("w", i), Succeeded)
		b.Receive(0, report("s0", fmt.Sprint("w", i), 1, 0, true))
	}
	assert.Len(t, b.heard["w"], 2)
	assert.Len(t, b.heard, 2)
	assert.Len(t, b.own, 2)
	assert.Positive(t, b.Dropped)
	later := 3 * c.MaxAge
	b.Record(later, "new", Succeeded)
	assert.True(t, b.Receive(later, report("s", "new", 1, 0, true)), "old ones make room")
	for _, c := range []Config{{}, {MaxMembers: 1, MaxWorkers: 1, SampleSize: 1, MaxAge: 1, MinRepeatInterval: 2, MinComplaintShare: 0.5, MaxSuspectShare: 0.5}} {
		_, err := NewAggregator(c, "me", "", 1)
		assert.Error(t, err)
	}
}

// Lost, doubled, late and out of order: members who have heard the latest of each say the same. Liars, as many as may lie, have
// no good worker named whatever they say and however often.
func TestLiarsAndOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		members := rapid.IntRange(5, 60).Draw(t, "members")
		liars := rapid.IntRange(0, max(1, members/25)).Draw(t, "liars")
		seed := rapid.Uint64().Draw(t, "seed")
		rng := rand.New(rand.NewPCG(seed, 1))
		const workers = 10
		var all []Report
		for m := range members {
			for w := range workers {
				if m < liars && w > 3 { // a liar that names too many is not believed anyway
					continue
				}
				for seq := range uint64(3) {
					bad := m < liars || w == 0 && (seq < 2 || rng.Float64() < 0.8) // worker 0 fails all but one in five
					all = append(all, report(fmt.Sprint("s", m), fmt.Sprint("w", w), seq+1, time.Duration(2-seq)*second, bad))
				}
			}
		}
		var said [2][]string
		for i := range said {
			b := book(t, members, "me", "here")
			order := append([]Report(nil), all...)
			order = append(order, all[:len(all)/2]...)
			rng.Shuffle(len(order), func(a, c int) { order[a], order[c] = order[c], order[a] })
			for k, r := range order {
				b.Receive(3*second, r)
				if k%97 == 0 { // nor on the way there
					for _, name := range b.Suspects(3*second, workers, members) {
						if name != "w0" {
							t.Fatal(name)
						}
					}
				}
			}
			said[i] = b.Suspects(4*second, workers, members)
		}
		if fmt.Sprint(said[0]) != fmt.Sprint(said[1]) {
			t.Fatalf("%v and %v", said[0], said[1])
		}
		for _, name := range said[0] {
			if name != "w0" {
				t.Fatalf("%v by %d liars of %d", said[0], liars, members)
			}
		}
	})
}

func TestComplainedNamesThoseSpokenAgainst(t *testing.T) {
	b, err := NewAggregator(DefaultConfig(5), "a", "z", 1)
	if err != nil {
		t.Fatal(err)
	}
	b.Receive(0, Report{From: "b", Zone: "z", Worker: "w2", Seq: 1, Kind: Failed})
	b.Receive(0, Report{From: "b", Zone: "z", Worker: "w1", Seq: 2, Kind: TimedOut})
	b.Receive(0, Report{From: "b", Zone: "z", Worker: "w3", Seq: 3, Kind: Succeeded})
	if names := b.WithComplaints(time.Second); len(names) != 2 || names[0] != "w1" || names[1] != "w2" {
		t.Fatal(names)
	}
	if names := b.WithComplaints(time.Minute); names != nil {
		t.Fatal("old complaints:", names)
	}
}
