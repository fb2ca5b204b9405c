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

// rateConfig returns the configuration of a budget that is a rate.
func rateConfig(members, chunks int) Config {
	return Config{Budget: 400, Floor: 40 / float64(members), MaxMembers: members, Chunks: chunks, Voters: []string{"k0", "k1", "k2"},
		LeaseDuration: 2 * time.Second, Drift: 0.02, Burst: 0.5}
}

// countConfig returns the configuration of a budget that is a count.
func countConfig(members, chunks int) Config {
	c := rateConfig(members, chunks)
	c.Burst, c.MaxUse = 0, 1500*ms
	return c
}

// simulation runs holders and voters in simulated time. Messages may be lost, duplicated and delayed, and each member's clock runs
// at its own rate.
type simulation struct {
	t               require.TestingT
	c               Config
	now             time.Duration // true time
	holders         []*simulatedHolder
	voters          []*simulatedVoter
	messages        []message // in transit
	lastIncarnation uint64
	spent           []spending
	inUse           []spending // of a count: at is when the use ends at the latest
}

type simulatedHolder struct {
	*Holder
	clockRate   float64
	partitioned bool
	stalled     bool
}

type simulatedVoter struct {
	*Voter
	clockRate   float64
	partitioned bool
}

type message struct {
	at      time.Duration // when it arrives
	to      int           // index of the voter of a request, or of the holder of a reply
	request *VoteRequest
	reply   *VoteReply
}

type spending struct {
	at    time.Duration
	units float64
	by    *Holder
}

// clock returns the reading of a member's clock at a true time.
func clock(now time.Duration, clockRate float64) time.Duration {
	return time.Duration(float64(now) * clockRate)
}

// newSimulation returns a simulation with n holders. clockRate returns the clock rate of a holder by its index, and of the voters
// by the indexes -1, -2 and so on.
func newSimulation(t require.TestingT, c Config, n int, clockRate func(int) float64) *simulation {
	f := &simulation{t: t, c: c}
	for i, name := range c.Voters {
		voter, err := NewVoter(c, name, 0)
		require.NoError(t, err)
		f.voters = append(f.voters, &simulatedVoter{Voter: voter, clockRate: clockRate(-1 - i)})
	}
	for i := range n {
		f.holders = append(f.holders, &simulatedHolder{clockRate: clockRate(i)})
		f.startHolder(i)
	}
	return f
}

// startHolder starts or restarts a holder, which loses its state.
func (f *simulation) startHolder(i int) {
	f.lastIncarnation++
	m := f.holders[i]
	h, err := NewHolder(f.c, fmt.Sprint("h", i), f.lastIncarnation, clock(f.now, m.clockRate))
	require.NoError(f.t, err)
	m.Holder = h
}

// beginRound sends the requests of one holder to all voters. delay returns the delay of each message, or a negative value if the
// message is lost.
func (f *simulation) beginRound(i int, delay func() time.Duration) {
	m := f.holders[i]
	if m.stalled {
		return
	}
	request := m.BeginRound(clock(f.now, m.clockRate))
	for k := range f.voters {
		if d := delay(); d >= 0 {
			f.messages = append(f.messages, message{at: f.now + d, to: k, request: &request})
		}
	}
}

// deliver delivers the messages that are due, and sends the replies with the given delay.
func (f *simulation) deliver(delay func() time.Duration) {
	for {
		i := slices.IndexFunc(f.messages, func(l message) bool { return l.at <= f.now })
		if i < 0 {
			return
		}
		l := f.messages[i]
		f.messages = slices.Delete(f.messages, i, i+1)
		if l.request != nil {
			k := f.voters[l.to]
			from := 0
			fmt.Sscanf(l.request.From, "h%d", &from)
			if k.partitioned || f.holders[from].partitioned {
				continue
			}
			reply := k.HandleRequest(clock(f.now, k.clockRate), *l.request)
			if d := delay(); d >= 0 {
				f.messages = append(f.messages, message{at: f.now + d, to: from, reply: &reply})
			}
			continue
		}
		if m := f.holders[l.to]; !m.partitioned && !m.stalled {
			m.HandleReply(clock(f.now, m.clockRate), *l.reply)
		}
	}
}

func (f *simulation) spend(i int, units float64) bool {
	m := f.holders[i]
	if m.stalled || !m.Spend(clock(f.now, m.clockRate), units) {
		return false
	}
	f.spent = append(f.spent, spending{f.now, units, m.Holder})
	if f.c.MaxUse > 0 {
		f.inUse = append(f.inUse, spending{f.now + time.Duration(float64(f.c.MaxUse)*0.98), units, m.Holder})
	}
	return true
}

// checkInvariants checks in true time that no chunk has two holders, and that no more than the budget is spent.
func (f *simulation) checkInvariants() {
	for i := range f.c.Chunks {
		holders := 0
		for _, m := range f.holders {
			if clock(f.now, m.clockRate) < m.leaseEnds[i] {
				holders++
			}
		}
		require.LessOrEqual(f.t, holders, 1, "chunk %d has more than one holder", i)
	}
	for _, m := range f.holders {
		for i, tokens := range m.tokens {
			require.GreaterOrEqual(f.t, tokens, 0.0, "tokens of chunk %d", i)
		}
	}
	const tolerance = 1.05 // for clocks that run too fast
	if f.c.MaxUse > 0 {
		sum := 0.0
		f.inUse = slices.DeleteFunc(f.inUse, func(s spending) bool {
			if s.at <= f.now {
				s.by.Return(s.units)
			}
			return s.at <= f.now
		})
		for _, s := range f.inUse {
			sum += s.units
		}
		require.LessOrEqual(f.t, sum, f.c.Budget+1e-6, "units in use at once")
		return
	}
	sum, window := 0.0, time.Second
	for n := len(f.spent) - 1; n >= 0 && f.spent[n].at > f.now-window; n-- {
		sum += f.spent[n].units
	}
	require.LessOrEqual(f.t, sum, tolerance*f.c.Budget*(window.Seconds()+f.c.Burst)+float64(f.c.MaxMembers),
		"units spent in one second")
}

// Checks that the shares never add up to more than the budget, and that no more than the budget and its burst is spent, under
// message loss, duplication, delay, partitions, stalls and restarts. Without faults, nearly the whole budget must be held again.
func TestSharesNeverExceedBudget(t *testing.T) {
	for name, c := range map[string]Config{"rate": rateConfig(5, 24), "count": countConfig(5, 24)} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				f := newSimulation(t, c, 5, func(i int) float64 {
					return 1 + rapid.Float64Range(-c.Drift, c.Drift).Draw(t, "pace")
				})
				randomState := rapid.Uint64().Draw(t, "seed")
				random := func(n int) int {
					randomState = randomState*6364136223846793005 + 1442695040888963407
					return int(randomState>>33) % n
				}
				delay := func() time.Duration {
					switch random(12) {
					case 0:
						return -1
					case 1:
						return time.Duration(random(4000)) * ms
					}
					return time.Duration(random(80)) * ms
				}
				steps := rapid.IntRange(50, 250).Draw(t, "steps")
				for range steps {
					f.now += time.Duration(random(60)) * ms
					f.deliver(delay)
					i := random(len(f.holders))
					switch m := f.holders[i]; random(30) {
					case 0:
						m.partitioned = !m.partitioned
					case 1:
						m.stalled = !m.stalled
					case 2: // a crash and restart: units that it spent before stay in use
						f.startHolder(i)
					case 3:
						k := f.voters[random(len(f.voters))]
						if k.partitioned = !k.partitioned; k.partitioned {
							restarted, err := NewVoter(c, k.name, clock(f.now, k.clockRate))
							require.NoError(t, err)
							k.Voter = restarted
						}
					case 4:
						if len(f.messages) > 0 { // duplicates a message
							l := f.messages[random(len(f.messages))]
							l.at += time.Duration(random(3000)) * ms
							f.messages = append(f.messages, l)
						}
					case 5, 6, 7, 8, 9, 10:
						f.beginRound(i, delay)
					default:
						for range random(40) {
							f.spend(i, 1)
						}
					}
					f.checkInvariants()
				}
				for _, m := range f.holders {
					m.partitioned, m.stalled = false, false
				}
				for _, k := range f.voters {
					k.partitioned = false
				}
				assert.GreaterOrEqual(t, f.runWithoutFaults(40, func(int) float64 { return 2 * c.Budget / 5 }), 0.9)
			})
		})
	}
}

// runWithoutFaults runs rounds in which each holder spends at its demand, in units per second. It returns the fraction of the
// budget that the holders with demand have at the end.
func (f *simulation) runWithoutFaults(rounds int, demand func(int) float64) float64 {
	delay := func() time.Duration { return 5 * ms }
	interval := f.c.LeaseDuration / 4
	for range rounds {
		for step := range 10 {
			f.now += interval / 10
			f.deliver(delay)
			for i := range f.holders {
				if i%10 == step {
					f.beginRound(i, delay)
				}
				for units := demand(i) * interval.Seconds() / 10; units > 0; units-- {
					f.spend(i, min(1, units))
				}
			}
		}
		if len(f.holders) < 50 {
			f.checkInvariants()
		}
	}
	sum := 0.0
	for i, m := range f.holders {
		if demand(i) > 0 {
			sum += m.Share(clock(f.now, m.clockRate))
		}
	}
	return sum / f.c.Budget
}

// Checks that shares follow the demand and that no holder with demand starves. Holders that are partitioned keep their floor, and
// the others get the rest of the budget.
func TestSharesFollowDemand(t *testing.T) {
	f := newSimulation(t, rateConfig(10, 100), 10, func(int) float64 { return 1 })
	equal := func(i int) float64 { return 80 }
	assert.GreaterOrEqual(t, f.runWithoutFaults(40, equal), 0.95, "the demand is twice the budget")
	assert.GreaterOrEqual(t, f.runWithoutFaults(60, func(i int) float64 {
		if i == 3 {
			return 600
		}
		return 0.0
	}), 0.9, "only one holder has demand")
	for i := range f.holders {
		f.holders[i].partitioned = i == 3 || i == 4
	}
	f.runWithoutFaults(30, equal)
	sumOfShares := func(from, to int) (sum float64) {
		for _, m := range f.holders[from:to] {
			sum += m.Share(clock(f.now, m.clockRate))
		}
		return sum
	}
	assert.Equal(t, 2*f.c.Floor, sumOfShares(3, 5), "partitioned holders keep their floor")
	assert.GreaterOrEqual(t, sumOfShares(0, 3)+sumOfShares(5, 10), 0.95*(f.c.Budget-2*f.c.Floor))
	f.holders[3].partitioned, f.holders[4].partitioned = false, false
	f.runWithoutFaults(40, equal)
	for i, m := range f.holders {
		assert.Greater(t, m.Share(clock(f.now, m.clockRate)), 3*f.c.Floor, "share of holder %d", i)
	}
}

// Checks that leases have expired after a stall of the holder, that a restarted holder has its floor only, and that a restarted
// voter grants nothing until the votes of its previous run have expired.
func TestExpiredLeasesAreNotSpent(t *testing.T) {
	f := newSimulation(t, rateConfig(2, 10), 2, func(int) float64 { return 1 })
	f.runWithoutFaults(30, func(i int) float64 { return 400 * float64(1-i) })
	m := f.holders[0]
	require.Greater(t, m.Share(f.now), 300.0)
	f.now += f.c.LeaseDuration
	assert.Equal(t, f.c.Floor, m.Share(f.now), "share after a stall")
	before := len(f.spent)
	for f.spend(0, 1) {
	}
	assert.LessOrEqual(t, float64(len(f.spent)-before), f.c.Floor*f.c.Burst+1)
	f.runWithoutFaults(30, func(i int) float64 { return 400 * float64(1-i) })
	f.startHolder(0)
	assert.Equal(t, f.c.Floor, f.holders[0].Share(f.now), "share after a restart")
	assert.False(t, f.spend(0, 1), "a restarted holder has no tokens")
	voter, err := NewVoter(f.c, "k0", f.now)
	require.NoError(t, err)
	assert.Empty(t, voter.HandleRequest(f.now+f.c.LeaseDuration, VoteRequest{From: "h1", Incarnation: 9, Round: 1,
		Wanted: []int{1}}).Granted, "a restarted voter grants nothing at first")
	assert.Equal(t, []int{1}, voter.HandleRequest(f.now+f.c.voteDuration(), VoteRequest{From: "h1", Incarnation: 9, Round: 1,
		Wanted: []int{1, -1, 10, 1 << 40}}).Granted)
}

// Checks that invalid messages change nothing, and that the memory and the figures of a voter stay bounded.
func TestInvalidMessagesAreIgnored(t *testing.T) {
	c := rateConfig(3, 10)
	h, err := NewHolder(c, "h0", 1, 0)
	require.NoError(t, err)
	h.Spend(0, 100)
	request := h.BeginRound(time.Second)
	for _, invalid := range []VoteReply{
		{Voter: "k0", Incarnation: 2, Round: request.Round, Available: []int{1}},
		{Voter: "stranger", Incarnation: 1, Round: request.Round, Available: []int{1}},
		{Voter: "k0", Incarnation: 1, Round: 1 << 63, Available: []int{1}},
		{Voter: "k0", Incarnation: 1, Round: 0, Granted: []int{1}},
		{Voter: "k0", Incarnation: 1, Round: request.Round, Granted: []int{-1, 99, 1 << 40},
			Available: []int{-5, 1 << 40}, Shortfall: -3, Requesters: 1 << 40},
	} {
		h.HandleReply(time.Second, invalid)
	}
	assert.Empty(t, h.available)
	assert.LessOrEqual(t, h.requesters, c.MaxMembers)
	assert.Equal(t, c.Floor, h.Share(time.Second))
	voter, err := NewVoter(c, "k0", 0)
	require.NoError(t, err)
	for i := range 100 {
		voter.HandleRequest(c.voteDuration(), VoteRequest{From: fmt.Sprint("liar", i), Incarnation: 1, Round: 1, Shortfall: 1 << 40,
			Released: []int{-1, 1 << 40}})
	}
	assert.LessOrEqual(t, len(voter.requesters), c.MaxMembers)
	assert.LessOrEqual(t, voter.HandleRequest(c.voteDuration(), VoteRequest{From: "h0"}).Shortfall, c.MaxMembers*c.Chunks)
}

func TestCheckNamesInvalidFields(t *testing.T) {
	for want, change := range map[string]func(*Config){
		"Budget":             func(c *Config) { c.Budget = 0 },
		"Floor x MaxMembers": func(c *Config) { c.Floor = 300 },
		"Chunks":             func(c *Config) { c.Chunks = maxChunks + 1 },
		"odd number":         func(c *Config) { c.Voters = c.Voters[:2] },
		"different names":    func(c *Config) { c.Voters = []string{"a", "b", "a"} },
		"LeaseDuration":      func(c *Config) { c.LeaseDuration = 0 },
		"Drift":              func(c *Config) { c.Drift = 0.5 },
		"one of Burst":       func(c *Config) { c.MaxUse = time.Second },
	} {
		c := rateConfig(2, 4)
		change(&c)
		assert.ErrorContains(t, c.Check(), want)
	}
}

// Checks that a fleet of 500 members uses nearly the whole budget if the demand is twice the budget, half of it from one member in
// twenty.
func TestFiveHundredMembers(t *testing.T) {
	c := rateConfig(500, 2000)
	f := newSimulation(t, c, 500, func(int) float64 { return 1 })
	heldFraction := f.runWithoutFaults(40, func(i int) float64 {
		if i < 25 {
			return c.Budget / 25
		}
		return c.Budget / 475
	})
	t.Logf("%.3f of the budget is held after 40 rounds", heldFraction)
	assert.GreaterOrEqual(t, heldFraction, 0.95)
}
