package share

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func rate(members, chunks int) Config {
	return Config{Budget: 400, Floor: 40 / float64(members), MaxMembers: members, Chunks: chunks, Voters: []string{"k0", "k1", "k2"},
		LeaseDuration: 2 * time.Second, Drift: 0.02, Burst: 0.5}
}

func count(members, chunks int) Config {
	c := rate(members, chunks)
	c.Burst, c.MaxUse = 0, 1500*ms
	return c
}

// A fleet in simulated time: every message may be lost, doubled or late, every clock runs at its own pace.
type fleet struct {
	t       require.TestingT
	c       Config
	now     time.Duration // true time
	holders []*member
	keepers []*keeper
	mail    []letter
	lives   uint64
	spent   []spend
	uses    []spend // of a count: until when, at the latest
}

type member struct {
	*Holder
	pace  float64
	cut   bool
	stall bool
}

type keeper struct {
	*Voter
	pace float64
	cut  bool
}

type letter struct {
	at     time.Duration
	to     int // keeper of an ask, holder of an answer
	ask    *VoteRequest
	answer *VoteReply
}

type spend struct {
	at    time.Duration
	units float64
	by    *Holder
}

func clock(now time.Duration, pace float64) time.Duration { return time.Duration(float64(now) * pace) }

func newFleet(t require.TestingT, c Config, n int, pace func(int) float64) *fleet {
	f := &fleet{t: t, c: c}
	for i, name := range c.Voters {
		k, err := NewVoter(c, name, 0)
		require.NoError(t, err)
		f.keepers = append(f.keepers, &keeper{Voter: k, pace: pace(-1 - i)})
	}
	for i := range n {
		f.holders = append(f.holders, &member{pace: pace(i)})
		f.start(i)
	}
	return f
}

// start is a start of a holder, or a restart: it knows nothing.
func (f *fleet) start(i int) {
	f.lives++
	m := f.holders[i]
	h, err := NewHolder(f.c, fmt.Sprint("h", i), f.lives, clock(f.now, m.pace))
	require.NoError(f.t, err)
	m.Holder = h
}

// round has one holder ask every keeper; late is how long each letter takes, negative: it is lost.
func (f *fleet) round(i int, late func() time.Duration) {
	m := f.holders[i]
	if m.stall {
		return
	}
	a := m.BeginRound(clock(f.now, m.pace))
	for k := range f.keepers {
		if d := late(); d >= 0 {
			f.mail = append(f.mail, letter{at: f.now + d, to: k, ask: &a})
		}
	}
}

// deliver hands over what is due, in any order that its times give.
func (f *fleet) deliver(late func() time.Duration) {
	for {
		i := slices.IndexFunc(f.mail, func(l letter) bool { return l.at <= f.now })
		if i < 0 {
			return
		}
		l := f.mail[i]
		f.mail = slices.Delete(f.mail, i, i+1)
		if l.ask != nil {
			k := f.keepers[l.to]
			from := 0
			fmt.Sscanf(l.ask.From, "h%d", &from)
			if k.cut || f.holders[from].cut {
				continue
			}
			out := k.HandleRequest(clock(f.now, k.pace), *l.ask)
			if d := late(); d >= 0 {
				f.mail = append(f.mail, letter{at: f.now + d, to: from, answer: &out})
			}
			continue
		}
		if m := f.holders[l.to]; !m.cut && !m.stall {
			m.HandleReply(clock(f.now, m.pace), *l.answer)
		}
	}
}

func (f *fleet) spend(i int, units float64) bool {
	m := f.holders[i]
	if m.stall || !m.Spend(clock(f.now, m.pace), units) {
		return false
	}
	f.spent = append(f.spent, spend{f.now, units, m.Holder})
	if f.c.MaxUse > 0 {
		f.uses = append(f.uses, spend{f.now + time.Duration(float64(f.c.MaxUse)*0.98), units, m.Holder})
	}
	return true
}

// check holds the promise against the truth: no chunk with two, nothing spent beyond the budget.
func (f *fleet) check() {
	for i := range f.c.Chunks {
		by := 0
		for _, m := range f.holders {
			if clock(f.now, m.pace) < m.until[i] {
				by++
			}
		}
		require.LessOrEqual(f.t, by, 1, "chunk %d may be spent by two", i)
	}
	for _, m := range f.holders {
		for i, tokens := range m.tokens {
			require.GreaterOrEqual(f.t, tokens, 0.0, "chunk %d", i)
		}
	}
	const slack = 1.05 // of clocks that run too fast
	if f.c.MaxUse > 0 {
		sum := 0.0
		f.uses = slices.DeleteFunc(f.uses, func(s spend) bool {
			if s.at <= f.now {
				s.by.Return(s.units)
			}
			return s.at <= f.now
		})
		for _, s := range f.uses {
			sum += s.units
		}
		require.LessOrEqual(f.t, sum, f.c.Budget+1e-6, "in use at once")
		return
	}
	sum, window := 0.0, time.Second
	for n := len(f.spent) - 1; n >= 0 && f.spent[n].at > f.now-window; n-- {
		sum += f.spent[n].units
	}
	require.LessOrEqual(f.t, sum, slack*f.c.Budget*(window.Seconds()+f.c.Burst)+float64(f.c.MaxMembers), "in a second")
}

// Whatever is lost, doubled, late, cut off, stalled or restarted, the parts add up to no more than the budget, and what is
// spent to no more than it and its burst; and once all is well the whole of it is used again.
func TestNeverMoreThanTheBudget(t *testing.T) {
	for name, c := range map[string]Config{"rate": rate(5, 24), "count": count(5, 24)} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newFleet(t, c, 5, func(i int) float64 {
					return 1 + rapid.Float64Range(-c.Drift, c.Drift).Draw(t, "pace")
				})
				chance := rapid.Uint64().Draw(t, "seed")
				dice := func(n int) int {
					chance = chance*6364136223846793005 + 1442695040888963407
					return int(chance>>33) % n
				}
				late := func() time.Duration {
					switch dice(12) {
					case 0:
						return -1
					case 1:
						return time.Duration(dice(4000)) * ms
					}
					return time.Duration(dice(80)) * ms
				}
				steps := rapid.IntRange(50, 250).Draw(t, "steps")
				for range steps {
					f.now += time.Duration(dice(60)) * ms
					f.deliver(late)
					i := dice(len(f.holders))
					switch m := f.holders[i]; dice(30) {
					case 0:
						m.cut = !m.cut
					case 1:
						m.stall = !m.stall
					case 2: // killed and started again: what it had in use runs on
						f.start(i)
					case 3:
						k := f.keepers[dice(len(f.keepers))]
						if k.cut = !k.cut; k.cut {
							n, err := NewVoter(c, k.name, clock(f.now, k.pace))
							require.NoError(t, err)
							k.Voter = n
						}
					case 4:
						if len(f.mail) > 0 { // one comes twice
							l := f.mail[dice(len(f.mail))]
							l.at += time.Duration(dice(3000)) * ms
							f.mail = append(f.mail, l)
						}
					case 5, 6, 7, 8, 9, 10:
						f.round(i, late)
					default:
						for range dice(40) {
							f.spend(i, 1)
						}
					}
					f.check()
				}
				for _, m := range f.holders {
					m.cut, m.stall = false, false
				}
				for _, k := range f.keepers {
					k.cut = false
				}
				assert.GreaterOrEqual(t, f.calm(40, func(int) float64 { return 2 * c.Budget / 5 }), 0.9)
			})
		})
	}
}

// calm plays rounds without faults, each holder with its demand, and returns the part of the budget that is held at the end.
func (f *fleet) calm(rounds int, demand func(int) float64) float64 {
	soon := func() time.Duration { return 5 * ms }
	every := f.c.LeaseDuration / 4
	for range rounds {
		for step := range 10 {
			f.now += every / 10
			f.deliver(soon)
			for i := range f.holders {
				if i%10 == step {
					f.round(i, soon)
				}
				for units := demand(i) * every.Seconds() / 10; units > 0; units-- {
					f.spend(i, min(1, units))
				}
			}
		}
		if len(f.holders) < 50 {
			f.check()
		}
	}
	sum := 0.0
	for i, m := range f.holders {
		if demand(i) > 0 {
			sum += m.Share(clock(f.now, m.pace))
		}
	}
	return sum / f.c.Budget
}

// Parts go to where the demand is, nobody who asks gets nothing, and a holder that dies or is cut off leaves its floor
// to itself and the rest to the others.
func TestPartsFollowDemand(t *testing.T) {
	f := newFleet(t, rate(10, 100), 10, func(int) float64 { return 1 })
	all := func(i int) float64 { return 80 }
	assert.GreaterOrEqual(t, f.calm(40, all), 0.95, "all ask for twice the budget")
	assert.GreaterOrEqual(t, f.calm(60, func(i int) float64 {
		if i == 3 {
			return 600
		}
		return 0.0
	}), 0.9, "one asks for all")
	for i := range f.holders {
		f.holders[i].cut = i == 3 || i == 4
	}
	f.calm(30, all)
	held := func(from, to int) (sum float64) {
		for _, m := range f.holders[from:to] {
			sum += m.Share(clock(f.now, m.pace))
		}
		return sum
	}
	assert.Equal(t, 2*f.c.Floor, held(3, 5), "what hears nobody goes on with its floor")
	assert.GreaterOrEqual(t, held(0, 3)+held(5, 10), 0.95*(f.c.Budget-2*f.c.Floor))
	f.holders[3].cut, f.holders[4].cut = false, false
	f.calm(40, all)
	for i, m := range f.holders {
		assert.Greater(t, m.Share(clock(f.now, m.pace)), 3*f.c.Floor, "holder %d starves", i)
	}
}

// A stall of any length, a restart, a keeper that forgot: the first act afterwards looks at the clock.
func TestNothingIsSpentAfterItsTerm(t *testing.T) {
	f := newFleet(t, rate(2, 10), 2, func(int) float64 { return 1 })
	f.calm(30, func(i int) float64 { return 400 * float64(1-i) })
	m := f.holders[0]
	require.Greater(t, m.Share(f.now), 300.0)
	f.now += f.c.LeaseDuration
	assert.Equal(t, f.c.Floor, m.Share(f.now), "after a stall")
	before := len(f.spent)
	for f.spend(0, 1) {
	}
	assert.LessOrEqual(t, float64(len(f.spent)-before), f.c.Floor*f.c.Burst+1)
	f.calm(30, func(i int) float64 { return 400 * float64(1-i) })
	f.start(0)
	assert.Equal(t, f.c.Floor, f.holders[0].Share(f.now), "a restart mints nothing")
	assert.False(t, f.spend(0, 1), "nor has it saved up anything")
	k, err := NewVoter(f.c, "k0", f.now)
	require.NoError(t, err)
	assert.Empty(t, k.HandleRequest(f.now+f.c.LeaseDuration, VoteRequest{From: "h1", Incarnation: 9, Round: 1, Wanted: []int{1}}).Granted, "a keeper that forgot is silent")
	assert.Equal(t, []int{1}, k.HandleRequest(f.now+f.c.guard(), VoteRequest{From: "h1", Incarnation: 9, Round: 1, Wanted: []int{1, -1, 10, 1 << 40}}).Granted)
}

// What no sound member says changes nothing.
func TestPoisonedMessages(t *testing.T) {
	c := rate(3, 10)
	h, err := NewHolder(c, "h0", 1, 0)
	require.NoError(t, err)
	h.Spend(0, 100)
	a := h.BeginRound(time.Second)
	for _, bad := range []VoteReply{
		{Voter: "k0", Incarnation: 2, Round: a.Round, Available: []int{1}},
		{Voter: "stranger", Incarnation: 1, Round: a.Round, Available: []int{1}},
		{Voter: "k0", Incarnation: 1, Round: 1 << 63, Available: []int{1}},
		{Voter: "k0", Incarnation: 1, Round: 0, Granted: []int{1}},
		{Voter: "k0", Incarnation: 1, Round: a.Round, Granted: []int{-1, 99, 1 << 40}, Available: []int{-5, 1 << 40}, Shortfall: -3, Requesters: 1 << 40},
	} {
		h.HandleReply(time.Second, bad)
	}
	assert.Empty(t, h.open)
	assert.LessOrEqual(t, h.askers, c.MaxMembers)
	assert.Equal(t, c.Floor, h.Share(time.Second))
	k, err := NewVoter(c, "k0", 0)
	require.NoError(t, err)
	for i := range 100 { // a table that members fill is bounded by their number
		k.HandleRequest(c.guard(), VoteRequest{From: fmt.Sprint("liar", i), Incarnation: 1, Round: 1, Shortfall: 1 << 40, Released: []int{-1, 1 << 40}})
	}
	assert.LessOrEqual(t, len(k.askers), c.MaxMembers)
	assert.LessOrEqual(t, k.HandleRequest(c.guard(), VoteRequest{From: "h0"}).Shortfall, c.MaxMembers*c.Chunks)
}

func TestConfigFaults(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"Budget":          func(c *Config) { c.Budget = 0 },
		"Floor x Members": func(c *Config) { c.Floor = 300 },
		"Chunks":          func(c *Config) { c.Chunks = maxChunks + 1 },
		"odd number":      func(c *Config) { c.Voters = c.Voters[:2] },
		"different names": func(c *Config) { c.Voters = []string{"a", "b", "a"} },
		"Term":            func(c *Config) { c.LeaseDuration = 0 },
		"Drift":           func(c *Config) { c.Drift = 0.5 },
		"one of Burst":    func(c *Config) { c.MaxUse = time.Second },
	} {
		c := rate(2, 4)
		change(&c)
		assert.ErrorContains(t, c.Check(), want)
	}
}

// Five hundred members: half of the demand at one in twenty, the whole of it twice the budget.
func TestFiveHundredMembers(t *testing.T) {
	c := rate(500, 2000)
	f := newFleet(t, c, 500, func(int) float64 { return 1 })
	used := f.calm(40, func(i int) float64 {
		if i < 25 {
			return c.Budget / 25
		}
		return c.Budget / 475
	})
	t.Logf("%.3f of the budget in hand after 40 rounds", used)
	assert.GreaterOrEqual(t, used, 0.95)
}
