package pool

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// What a pool refuses, with which status and when to come again; nothing is booked for what is refused.
func TestAdmit(t *testing.T) {
	for name, c := range map[string]struct {
		all, class Limits
		begin      int // how many ask at once
		bytes      int
		begun      int
		status     int
		after      Time
	}{
		"no limit":          {Limits{}, Limits{}, 100, 9, 100, 0, 0},
		"open":              {Limits{InFlight: 3}, Limits{}, 5, 9, 3, 503, second},
		"open of a class":   {Limits{InFlight: 9}, Limits{InFlight: 2}, 5, 9, 2, 503, second},
		"bytes":             {Limits{Bytes: 30}, Limits{}, 5, 9, 3, 503, second},
		"rate":              {Limits{Rate: 10, Burst: 2}, Limits{}, 5, 9, 2, 429, second / 10},
		"rate of a class":   {Limits{}, Limits{Rate: 1}, 5, 9, 1, 429, second},
		"the share is used": {Limits{}, Limits{}, 20, 9, 10, 503, second},
	} {
		var share *Share
		if name == "the share is used" {
			b := NewBudget(13)
			share = b.Share(4)
			b.Share(3) // another's, which is not lent
		}
		p := New("p", c.all, []Limits{c.class, {}}, share, nil)
		begun := 0
		var last Verdict
		for range c.begin {
			if v := p.Admit(0, 0, c.bytes); !v.Refused() {
				begun++
			} else {
				last = v
			}
		}
		assert.Equal(t, c.begun, begun, name)
		assert.Equal(t, begun, p.InFlight(), name)
		assert.Equal(t, c.status, last.Status, name)
		assert.InDelta(t, c.after, last.RetryAfter, 2, name)
		for range begun {
			p.Done(0, c.bytes, Unbooked{})
		}
		assert.Zero(t, p.all.open+p.all.bytes+p.classes[0].open+p.classes[0].bytes, name)
		if c.status == 429 {
			assert.False(t, p.Admit(last.RetryAfter+1, 0, 1).Refused(), "%s: the advice holds", name)
		}
	}
}

// Second tries are a share of first ones, with a floor; without limits there is no end to them.
func TestRetries(t *testing.T) {
	p := New("p", Limits{Retries: 0.2, RetryFloor: 2}, []Limits{{}}, nil, nil)
	tries := func(now Time) (n int) {
		for n < 1000 && p.AdmitRetry(now, 0) {
			n++
		}
		return n
	}
	assert.Equal(t, 2, tries(0), "the floor")
	for range 50 {
		p.Admit(0, 0, 0)
	}
	assert.Equal(t, 10, tries(0))
	assert.Equal(t, 2, tries(second))
	for range 10000 {
		p.Admit(second, 0, 0)
	}
	assert.Equal(t, maxSaved, tries(second), "a quiet time saves up only so many")
	assert.Equal(t, 4, p.Counts.RetriesDenied)
	p.SetLimits(Limits{Retries: 0.5}, []Limits{{}})
	assert.Zero(t, tries(2*second))
	p.SetLimits(Limits{}, []Limits{{}})
	assert.Equal(t, 1000, tries(2*second))
}

// Whatever the pools do, the budget is never passed, and what is reserved for one is there at once.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 50).Draw(t, "total")
		b := NewBudget(total)
		var shares []*Share
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if len(shares) == 0 || b.used == 0 && rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				shares = append(shares, b.Share(rapid.IntRange(0, 20).Draw(t, "reserve")))
			}
			s := rapid.SampledFrom(shares).Draw(t, "share")
			n := rapid.IntRange(1, 5).Draw(t, "n")
			inUse := 0
			for _, v := range shares {
				inUse += v.used
			}
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1, 2:
				reserved := s.used+n <= s.reserve
				if got := s.Acquire(n); reserved && !got {
					t.Fatalf("%d of a reserve of %d, %d in use, not to be had", n, s.reserve, s.used)
				} else if got && inUse+n > total {
					t.Fatalf("%d of %d in use", inUse+n, total)
				}
			case 3:
				s.Release(min(n, s.used))
			case 4:
				if inUse == 0 { // as a reload would, once nothing of the old terms is in hand
					s.SetReserve(n)
				}
			}
			reserved, above := 0, 0
			for _, v := range shares {
				reserved += v.reserve
				above += v.above()
			}
			if b.used > total {
				t.Fatalf("%d of %d in use", b.used, total)
			}
			if reserved != b.reserved || above != b.common || reserved > total {
				t.Fatalf("books: %d reserved, %d above; %+v", reserved, above, *b)
			}
		}
	})
}

// A lane that floods a busy loop is held to its weight; the others, and all while the loop is idle, are not held at all.
func TestLoopTime(t *testing.T) {
	for name, c := range map[string]struct {
		cost, quiet Time    // of one request, of the flood and of the others
		want        float64 // part of the time that the flood gets, at most
		held        bool
	}{
		"idle":  {100, 100, 0.2, false},
		"flood": {1000, 1000, 0.55, true},
	} {
		clock := &TimeBudget{}
		flood, quiet := clock.Share(0, 1), clock.Share(0, 1)
		var now, used Time
		held, turned := false, 0
		for step := range 10000 {
			now += max(1000, c.cost) // the loop has time for one request each ms
			if step%2 == 0 {         // the others ask for half of it at most
				if quiet.Delay(now) > 0 {
					turned++
				} else {
					quiet.Charge(now, c.quiet*9/10)
				}
			} else if flood.Delay(now) > 0 {
				held = true
			} else {
				flood.Charge(now, 2*c.cost)
				used += 2 * c.cost
				now += c.cost
			}
		}
		assert.Equal(t, c.held, held, name)
		assert.Zero(t, turned, "%s: the quiet one is never held", name)
		assert.LessOrEqual(t, float64(used)/float64(now), c.want, name)
	}
}

// What is taken of the fleet's jobs in hand comes back where a later gate refuses, and at the end; a reload does not change
// which limits the fleet keeps.
func TestFleetLimits(t *testing.T) {
	limits := Limits{FleetRate: 9, FleetInFlight: 3, FleetRetries: 1}
	p := New("p", limits, []Limits{{FleetInFlight: 2}, {Rate: 1}}, nil, nil)
	open, left := map[int]int{}, map[FleetKind]int{FleetRate: 4, FleetRetries: 1}
	p.TakeFleet = func(k FleetKind, class int) bool {
		if k == FleetInFlight {
			most := map[int]int{-1: 3, 0: 2}[class]
			if open[class] >= most {
				return false
			}
			open[class]++
			return true
		}
		left[k]--
		return left[k] >= 0
	}
	p.ReturnFleet = func(class int) { open[class]-- }
	ask := func(class, status int) {
		t.Helper()
		assert.Equal(t, status, p.Admit(0, class, 1).Status)
	}
	ask(0, 0)
	ask(0, 0)
	ask(0, 503)
	assert.Equal(t, map[int]int{-1: 2, 0: 2}, open, "the service's came back")
	ask(1, 0)
	ask(1, 429) // by its own rate, before the fleet is asked
	p.SetLimits(Limits{}, []Limits{{}, {}})
	ask(1, 503)
	p.Done(0, 1, Unbooked{})
	ask(0, 0)
	p.Done(0, 1, Unbooked{})
	ask(0, 429)
	assert.Equal(t, map[int]int{-1: 2, 0: 1}, open, "the rate is used up")
	p.Done(0, 1, Unbooked{})
	p.Done(1, 1, Unbooked{})
	assert.Equal(t, map[int]int{-1: 0, 0: 0}, open)
	assert.True(t, p.AdmitRetry(0, 0))
	assert.False(t, p.AdmitRetry(0, 0))
	assert.Equal(t, 1, p.Counts.RetriesDenied)
}

// What another process has let in is taken in whatever the room, and given back once: just what was booked.
func TestAdopt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(rapid.IntRange(0, 4).Draw(t, "total"))
		p := New("", Limits{InFlight: 3, FleetInFlight: 2}, []Limits{{FleetInFlight: 1}}, budget.Share(0), nil)
		free := map[int]int{-1: rapid.IntRange(0, 3).Draw(t, "free"), 0: rapid.IntRange(0, 3).Draw(t, "free of the class")}
		before := map[int]int{-1: free[-1], 0: free[0]}
		p.TakeFleet = func(_ FleetKind, class int) bool {
			if free[class] == 0 {
				return false
			}
			free[class]--
			return true
		}
		p.ReturnFleet = func(class int) { free[class]++ }
		var hands []Unbooked
		for range rapid.IntRange(1, 8).Draw(t, "jobs") {
			hands = append(hands, p.Adopt(0, 5))
			assert.GreaterOrEqual(t, free[-1], 0)
		}
		assert.Equal(t, len(hands), p.InFlight())
		for _, no := range hands {
			p.Done(0, 5, no)
		}
		assert.Zero(t, p.InFlight())
		assert.Zero(t, budget.used)
		assert.Equal(t, before, free)
	})
}
