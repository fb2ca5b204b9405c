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

// simulation runs holders and voters in simulated time. Messages may be lost, duplicated and delayed, and each member's clock
// runs at its own rate.
type simulation struct {
	t               require.TestingT
	config          Config
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
	at     time.Duration
	units  float64
	holder *Holder
}

// clock returns the reading of a member's clock at a true time.
func clock(now time.Duration, clockRate float64) time.Duration {
	return time.Duration(float64(now) * clockRate)
}

// newSimulation returns a simulation with n holders. clockRate returns the clock rate of a holder by its index, and of the
// voters by the indexes -1, -2 and so on.
func newSimulation(t require.TestingT, c Config, n int, clockRate func(int) float64) *simulation {
	sim := &simulation{t: t, config: c}
	for i, name := range c.Voters {
		voter, err := NewVoter(c, name, 0)
		require.NoError(t, err)
		sim.voters = append(sim.voters, &simulatedVoter{Voter: voter, clockRate: clockRate(-1 - i)})
	}
	for i := range n {
		sim.holders = append(sim.holders, &simulatedHolder{clockRate: clockRate(i)})
		sim.startHolder(i)
	}
	return sim
}

// startHolder starts or restarts a holder, which loses its state.
func (sim *simulation) startHolder(i int) {
	sim.lastIncarnation++
	holder := sim.holders[i]
	h, err := NewHolder(sim.config, fmt.Sprint("h", i), sim.lastIncarnation, clock(sim.now, holder.clockRate))
	require.NoError(sim.t, err)
	holder.Holder = h
}

// beginRound sends the requests of one holder to all voters. delay returns the delay of each message, or a negative value if
// the message is lost.
func (sim *simulation) beginRound(i int, delay func() time.Duration) {
	holder := sim.holders[i]
	if holder.stalled {
		return
	}
	request := holder.BeginRound(clock(sim.now, holder.clockRate))
	for to := range sim.voters {
		if d := delay(); d >= 0 {
			sim.messages = append(sim.messages, message{at: sim.now + d, to: to, request: &request})
		}
	}
}

// deliver delivers the messages that are due, and sends the replies with the given delay.
func (sim *simulation) deliver(delay func() time.Duration) {
	for {
		i := slices.IndexFunc(sim.messages, func(queued message) bool { return queued.at <= sim.now })
		if i < 0 {
			return
		}
		next := sim.messages[i]
		sim.messages = slices.Delete(sim.messages, i, i+1)
		if next.request != nil {
			voter := sim.voters[next.to]
			from := 0
			fmt.Sscanf(next.request.From, "h%d", &from)
			if voter.partitioned || sim.holders[from].partitioned {
				continue
			}
			reply := voter.HandleRequest(clock(sim.now, voter.clockRate), *next.request)
			if d := delay(); d >= 0 {
				sim.messages = append(sim.messages, message{at: sim.now + d, to: from, reply: &reply})
			}
			continue
		}
		if holder := sim.holders[next.to]; !holder.partitioned && !holder.stalled {
			holder.HandleReply(clock(sim.now, holder.clockRate), *next.reply)
		}
	}
}

func (sim *simulation) spend(i int, units float64) bool {
	holder := sim.holders[i]
	if holder.stalled || !holder.Spend(clock(sim.now, holder.clockRate), units) {
		return false
	}
	sim.spent = append(sim.spent, spending{sim.now, units, holder.Holder})
	if sim.config.MaxUse > 0 {
		sim.inUse = append(sim.inUse, spending{sim.now + time.Duration(float64(sim.config.MaxUse)*0.98), units, holder.Holder})
	}
	return true
}

// checkInvariants checks in true time that no chunk has two holders, and that no more than the budget is spent.
func (sim *simulation) checkInvariants() {
	for i := range sim.config.Chunks {
		holders := 0
		for _, holder := range sim.holders {
			if clock(sim.now, holder.clockRate) < holder.leaseEnds[i] {
				holders++
			}
		}
		require.LessOrEqual(sim.t, holders, 1, "chunk %d has more than one holder", i)
	}
	for _, holder := range sim.holders {
		for i, tokens := range holder.tokens {
			require.GreaterOrEqual(sim.t, tokens, 0.0, "tokens of chunk %d", i)
		}
	}
	const tolerance = 1.05 // for clocks that run too fast
	if sim.config.MaxUse > 0 {
		sum := 0.0
		sim.inUse = slices.DeleteFunc(sim.inUse, func(s spending) bool {
			if s.at <= sim.now {
				s.holder.Return(s.units)
			}
			return s.at <= sim.now
		})
		for _, s := range sim.inUse {
			sum += s.units
		}
		require.LessOrEqual(sim.t, sum, sim.config.Budget+1e-6, "units in use at once")
		return
	}
	sum, window := 0.0, time.Second
	for n := len(sim.spent) - 1; n >= 0 && sim.spent[n].at > sim.now-window; n-- {
		sum += sim.spent[n].units
	}
	require.LessOrEqual(sim.t, sum, tolerance*sim.config.Budget*(window.Seconds()+sim.config.Burst)+float64(sim.config.MaxMembers),
		"units spent in one second")
}

// Checks that the shares never add up to more than the budget, and that no more than the budget and its burst is spent, under
// message loss, duplication, delay, partitions, stalls and restarts. Without faults, nearly the whole budget must be held
// again.
func TestSharesNeverExceedBudget(t *testing.T) {
	for name, c := range map[string]Config{"rate": rateConfig(5, 24), "count": countConfig(5, 24)} {
		t.Run(name, func(t *testing.T) {
			rapid.Check(t, func(t *rapid.T) {
				sim := newSimulation(t, c, 5, func(i int) float64 {
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
					sim.now += time.Duration(random(60)) * ms
					sim.deliver(delay)
					i := random(len(sim.holders))
					switch holder := sim.holders[i]; random(30) {
					case 0:
						holder.partitioned = !holder.partitioned
					case 1:
						holder.stalled = !holder.stalled
					case 2: // a crash and restart: units that it spent before stay in use
						sim.startHolder(i)
					case 3:
						voter := sim.voters[random(len(sim.voters))]
						if voter.partitioned = !voter.partitioned; voter.partitioned {
							restarted, err := NewVoter(c, voter.name, clock(sim.now, voter.clockRate))
							require.NoError(t, err)
							voter.Voter = restarted
						}
					case 4:
						if len(sim.messages) > 0 {
							duplicate := sim.messages[random(len(sim.messages))]
							duplicate.at += time.Duration(random(3000)) * ms
							sim.messages = append(sim.messages, duplicate)
						}
					case 5, 6, 7, 8, 9, 10:
						sim.beginRound(i, delay)
					default:
						for range random(40) {
							sim.spend(i, 1)
						}
					}
					sim.checkInvariants()
				}
				for _, holder := range sim.holders {
					holder.partitioned, holder.stalled = false, false
				}
				for _, voter := range sim.voters {
					voter.partitioned = false
				}
				assert.GreaterOrEqual(t, sim.runWithoutFaults(40, func(int) float64 { return 2 * c.Budget / 5 }), 0.9)
			})
		})
	}
}

// runWithoutFaults runs rounds in which each holder spends at its demand, in units per second. It returns the fraction of the
// budget that the holders with demand have at the end.
func (sim *simulation) runWithoutFaults(rounds int, demand func(int) float64) float64 {
	delay := func() time.Duration { return 5 * ms }
	interval := sim.config.LeaseDuration / 4
	for range rounds {
		for step := range 10 {
			sim.now += interval / 10
			sim.deliver(delay)
			for i := range sim.holders {
				if i%10 == step {
					sim.beginRound(i, delay)
				}
				for units := demand(i) * interval.Seconds() / 10; units > 0; units-- {
					sim.spend(i, min(1, units))
				}
			}
		}
		if len(sim.holders) < 50 {
			sim.checkInvariants()
		}
	}
	sum := 0.0
	for i, holder := range sim.holders {
		if demand(i) > 0 {
			sum += holder.Share(clock(sim.now, holder.clockRate))
		}
	}
	return sum / sim.config.Budget
}

// Checks that shares follow the demand and that no holder with demand starves. Holders that are partitioned keep their floor,
// and the others get the rest of the budget.
func TestSharesFollowDemand(t *testing.T) {
	sim := newSimulation(t, rateConfig(10, 100), 10, func(int) float64 { return 1 })
	equal := func(i int) float64 { return 80 }
	assert.GreaterOrEqual(t, sim.runWithoutFaults(40, equal), 0.95, "the demand is twice the budget")
	assert.GreaterOrEqual(t, sim.runWithoutFaults(60, func(i int) float64 {
		if i == 3 {
			return 600
		}
		return 0.0
	}), 0.9, "only one holder has demand")
	for i := range sim.holders {
		sim.holders[i].partitioned = i == 3 || i == 4
	}
	sim.runWithoutFaults(30, equal)
	sumOfShares := func(from, to int) (sum float64) {
		for _, holder := range sim.holders[from:to] {
			sum += holder.Share(clock(sim.now, holder.clockRate))
		}
		return sum
	}
	assert.Equal(t, 2*sim.config.Floor, sumOfShares(3, 5), "partitioned holders keep their floor")
	assert.GreaterOrEqual(t, sumOfShares(0, 3)+sumOfShares(5, 10), 0.95*(sim.config.Budget-2*sim.config.Floor))
	sim.holders[3].partitioned, sim.holders[4].partitioned = false, false
	sim.runWithoutFaults(40, equal)
	for i, holder := range sim.holders {
		assert.Greater(t, holder.Share(clock(sim.now, holder.clockRate)), 3*sim.config.Floor, "share of holder %d", i)
	}
}

// Checks that leases have expired after a stall of the holder, that a restarted holder has its floor only, and that a restarted
// voter grants nothing until the votes of its previous run have expired.
func TestExpiredLeasesAreNotSpent(t *testing.T) {
	sim := newSimulation(t, rateConfig(2, 10), 2, func(int) float64 { return 1 })
	sim.runWithoutFaults(30, func(i int) float64 { return 400 * float64(1-i) })
	holder := sim.holders[0]
	require.Greater(t, holder.Share(sim.now), 300.0)
	sim.now += sim.config.LeaseDuration
	assert.Equal(t, sim.config.Floor, holder.Share(sim.now), "share after a stall")
	before := len(sim.spent)
	for sim.spend(0, 1) {
	}
	assert.LessOrEqual(t, float64(len(sim.spent)-before), sim.config.Floor*sim.config.Burst+1)
	sim.runWithoutFaults(30, func(i int) float64 { return 400 * float64(1-i) })
	sim.startHolder(0)
	assert.Equal(t, sim.config.Floor, sim.holders[0].Share(sim.now), "share after a restart")
	assert.False(t, sim.spend(0, 1), "a restarted holder has no tokens")
	voter, err := NewVoter(sim.config, "k0", sim.now)
	require.NoError(t, err)
	assert.Empty(t, voter.HandleRequest(sim.now+sim.config.LeaseDuration, VoteRequest{From: "h1", Incarnation: 9, Round: 1,
		Wanted: []int{1}}).Granted, "a restarted voter grants nothing at first")
	assert.Equal(t, []int{1}, voter.HandleRequest(sim.now+sim.config.voteDuration(), VoteRequest{From: "h1", Incarnation: 9, Round: 1,
		Wanted: []int{1, -1, 10, 1 << 40}}).Granted)
}

// Checks that invalid messages change nothing, and that the memory and the figures of a voter stay bounded.
func TestInvalidMessagesAreIgnored(t *testing.T) {
	c := rateConfig(3, 10)
	holder, err := NewHolder(c, "h0", 1, 0)
	require.NoError(t, err)
	holder.Spend(0, 100)
	request := holder.BeginRound(time.Second)
	for _, invalid := range []VoteReply{
		{Voter: "k0", Incarnation: 2, Round: request.Round, Available: []int{1}},
		{Voter: "stranger", Incarnation: 1, Round: request.Round, Available: []int{1}},
		{Voter: "k0", Incarnation: 1, Round: 1 << 63, Available: []int{1}},
		{Voter: "k0", Incarnation: 1, Round: 0, Granted: []int{1}},
		{Voter: "k0", Incarnation: 1, Round: request.Round, Granted: []int{-1, 99, 1 << 40},
			Available: []int{-5, 1 << 40}, Shortfall: -3, Requesters: 1 << 40},
	} {
		holder.HandleReply(time.Second, invalid)
	}
	assert.Empty(t, holder.available)
	assert.LessOrEqual(t, holder.requesters, c.MaxMembers)
	assert.Equal(t, c.Floor, holder.Share(time.Second))
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

// Checks that a fleet of 500 members uses nearly the whole budget if the demand is twice the budget, half of it from one member
// in twenty.
func TestFiveHundredMembers(t *testing.T) {
	c := rateConfig(500, 2000)
	sim := newSimulation(t, c, 500, func(int) float64 { return 1 })
	heldFraction := sim.runWithoutFaults(40, func(i int) float64 {
		if i < 25 {
			return c.Budget / 25
		}
		return c.Budget / 475
	})
	t.Logf("%.3f of the budget is held after 40 rounds", heldFraction)
	assert.GreaterOrEqual(t, heldFraction, 0.95)
}
