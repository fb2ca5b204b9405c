package pool

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

// Admit must refuse requests over each limit with the right status and retry time, and reserve nothing for refused requests.
func TestAdmit(t *testing.T) {
	for name, c := range map[string]struct {
		all, class Limits
		requests   int // requests that arrive at the same time
		bytes      int
		admitted   int
		status     int
		after      Time
	}{
		"no limit":              {Limits{}, Limits{}, 100, 9, 100, 0, 0},
		"open":                  {Limits{InFlight: 3}, Limits{}, 5, 9, 3, 503, second},
		"in flight, class":      {Limits{InFlight: 9}, Limits{InFlight: 2}, 5, 9, 2, 503, second},
		"bytes":                 {Limits{Bytes: 30}, Limits{}, 5, 9, 3, 503, second},
		"rate":                  {Limits{Rate: 10, Burst: 2}, Limits{}, 5, 9, 2, 429, second / 10},
		"rate, class":           {Limits{}, Limits{Rate: 1}, 5, 9, 1, 429, second},
		"shared budget used up": {Limits{}, Limits{}, 20, 9, 10, 503, second},
	} {
		var share *Share
		if name == "shared budget used up" {
			b := NewBudget(13)
			share = b.Share(4)
			b.Share(3) // the reserve of another pool, which is not available to this one
		}
		pool := New("p", c.all, []Limits{c.class, {}}, share, nil)
		admitted := 0
		var last Verdict
		for range c.requests {
			if v := pool.Admit(0, 0, c.bytes); !v.Refused() {
				admitted++
			} else {
				last = v
			}
		}
		assert.Equal(t, c.admitted, admitted, name)
		assert.Equal(t, admitted, pool.InFlight(), name)
		assert.Equal(t, c.status, last.Status, name)
		assert.InDelta(t, c.after, last.RetryAfter, 2, name)
		for range admitted {
			pool.Done(0, c.bytes, Unbooked{})
		}
		assert.Zero(t, pool.all.inFlight+pool.all.bytes+pool.classes[0].inFlight+pool.classes[0].bytes, name)
		if c.status == 429 {
			assert.False(t, pool.Admit(last.RetryAfter+1, 0, 1).Refused(), "%s: a request is admitted after RetryAfter", name)
		}
	}
}

// Retries must be limited to a share of the admitted requests plus a floor per second, and be unlimited without limits.
func TestRetries(t *testing.T) {
	p := New("p", Limits{Retries: 0.2, RetryFloor: 2}, []Limits{{}}, nil, nil)
	retries := func(now Time) (n int) {
		for n < 1000 && p.AdmitRetry(now, 0) {
			n++
		}
		return n
	}
	assert.Equal(t, 2, retries(0), "the floor")
	for range 50 {
		p.Admit(0, 0, 0)
	}
	assert.Equal(t, 10, retries(0))
	assert.Equal(t, 2, retries(second))
	for range 10000 {
		p.Admit(second, 0, 0)
	}
	assert.Equal(t, maxBalance, retries(second), "the saved balance is bounded")
	assert.Equal(t, 4, p.Counts.RetriesDenied)
	p.SetLimits(Limits{Retries: 0.5}, []Limits{{}})
	assert.Zero(t, retries(2*second))
	p.SetLimits(Limits{}, []Limits{{}})
	assert.Equal(t, 1000, retries(2*second))
}

// The amount in use must never exceed the total, and a share's reserve must always be available to it immediately.
func TestBudget(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		total := rapid.IntRange(0, 50).Draw(t, "total")
		b := NewBudget(total)
		var shares []*Share
		for range rapid.IntRange(1, 100).Draw(t, "steps") {
			if len(shares) == 0 || b.used == 0 && rapid.IntRange(0, 3).Draw(t, "new") == 0 {
				shares = append(shares, b.Share(rapid.IntRange(0, 20).Draw(t, "reserve")))
			}
			share := rapid.SampledFrom(shares).Draw(t, "share")
			n := rapid.IntRange(1, 5).Draw(t, "n")
			used := 0
			for _, v := range shares {
				used += v.used
			}
			switch rapid.IntRange(0, 4).Draw(t, "op") {
			case 0, 1, 2:
				reserved := share.used+n <= share.reserve
				if got := share.Acquire(n); reserved && !got {
					t.Fatalf("acquiring %d within a reserve of %d, %d in use, failed", n, share.reserve, share.used)
				} else if got && used+n > total {
					t.Fatalf("%d of %d in use", used+n, total)
				}
			case 3:
				share.Release(min(n, share.used))
			case 4:
				if used == 0 { // a reload changes the reserve once nothing is in use under the old one
					share.SetReserve(n)
				}
			}
			reserved, above := 0, 0
			for _, v := range shares {
				reserved += v.reserve
				above += v.aboveReserve()
			}
			if b.used > total {
				t.Fatalf("%d of %d in use", b.used, total)
			}
			if reserved != b.reserved || above != b.common || reserved > total {
				t.Fatalf("the shares have %d reserved and %d above the reserves; the budget has %+v", reserved, above, *b)
			}
		}
	})
}

// A share that floods a busy loop must be held to its weight. Other shares, and all shares while the loop is idle, must not
// be delayed.
func TestTimeBudget(t *testing.T) {
	for name, c := range map[string]struct {
		cost, quiet Time    // loop time of one request of the flooding share and of the quiet one
		want        float64 // maximum part of the time that the flooding share may use
		limited     bool
	}{
		"idle":  {100, 100, 0.2, false},
		"flood": {1000, 1000, 0.55, true},
	} {
		budget := &TimeBudget{}
		flooding, quiet := budget.Share(0, 1), budget.Share(0, 1)
		var now, used Time
		limited, delayed := false, 0
		for step := range 10000 {
			now += max(1000, c.cost) // the loop has time for one request per ms
			if step%2 == 0 {         // the quiet share asks for at most half of it
				if quiet.Delay(now) > 0 {
					delayed++
				} else {
					quiet.Charge(now, c.quiet*9/10)
				}
			} else if flooding.Delay(now) > 0 {
				limited = true
			} else {
				flooding.Charge(now, 2*c.cost)
				used += 2 * c.cost
				now += c.cost
			}
		}
		assert.Equal(t, c.limited, limited, name)
		assert.Zero(t, delayed, "%s: the quiet share is never delayed", name)
		assert.LessOrEqual(t, float64(used)/float64(now), c.want, name)
	}
}

// Units of FleetInFlight must be returned when a later limit refuses the request and when the request ends. SetLimits must
// not change the fleet limits.
func TestFleetLimits(t *testing.T) {
	limits := Limits{FleetRate: 9, FleetInFlight: 3, FleetRetries: 1}
	pool := New("p", limits, []Limits{{FleetInFlight: 2}, {Rate: 1}}, nil, nil)
	taken, remaining := map[int]int{}, map[FleetKind]int{FleetRate: 4, FleetRetries: 1}
	pool.TakeFleet = func(k FleetKind, class int) bool {
		if k == FleetInFlight {
			limit := map[int]int{-1: 3, 0: 2}[class]
			if taken[class] >= limit {
				return false
			}
			taken[class]++
			return true
		}
		remaining[k]--
		return remaining[k] >= 0
	}
	pool.ReturnFleet = func(class int) { taken[class]-- }
	admit := func(class, status int) {
		t.Helper()
		assert.Equal(t, status, pool.Admit(0, class, 1).Status)
	}
	admit(0, 0)
	admit(0, 0)
	admit(0, 503)
	assert.Equal(t, map[int]int{-1: 2, 0: 2}, taken, "the unit of the service was returned")
	admit(1, 0)
	admit(1, 429) // refused by the class's own rate, before a fleet unit is taken
	pool.SetLimits(Limits{}, []Limits{{}, {}})
	admit(1, 503)
	pool.Done(0, 1, Unbooked{})
	admit(0, 0)
	pool.Done(0, 1, Unbooked{})
	admit(0, 429)
	assert.Equal(t, map[int]int{-1: 2, 0: 1}, taken, "nothing stays taken when the fleet rate is used up")
	pool.Done(0, 1, Unbooked{})
	pool.Done(1, 1, Unbooked{})
	assert.Equal(t, map[int]int{-1: 0, 0: 0}, taken)
	assert.True(t, pool.AdmitRetry(0, 0))
	assert.False(t, pool.AdmitRetry(0, 0))
	assert.Equal(t, 1, pool.Counts.RetriesDenied)
}

// Adopt must accept requests of another process even without room, and Done must release exactly what Adopt reserved.
func TestAdopt(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		budget := NewBudget(rapid.IntRange(0, 4).Draw(t, "total"))
		pool := New("", Limits{InFlight: 3, FleetInFlight: 2}, []Limits{{FleetInFlight: 1}}, budget.Share(0), nil)
		free := map[int]int{-1: rapid.IntRange(0, 3).Draw(t, "free"), 0: rapid.IntRange(0, 3).Draw(t, "free of the class")}
		before := map[int]int{-1: free[-1], 0: free[0]}
		pool.TakeFleet = func(_ FleetKind, class int) bool {
			if free[class] == 0 {
				return false
			}
			free[class]--
			return true
		}
		pool.ReturnFleet = func(class int) { free[class]++ }
		var adopted []Unbooked
		for range rapid.IntRange(1, 8).Draw(t, "jobs") {
			adopted = append(adopted, pool.Adopt(0, 5))
			assert.GreaterOrEqual(t, free[-1], 0)
		}
		assert.Equal(t, len(adopted), pool.InFlight())
		for _, unbooked := range adopted {
			pool.Done(0, 5, unbooked)
		}
		assert.Zero(t, pool.InFlight())
		assert.Zero(t, budget.used)
		assert.Equal(t, before, free)
	})
}
