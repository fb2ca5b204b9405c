package placement

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	urgencyLevels = 10 // priorities beyond the last level share it
	// shareWindow is the time constant with which past jobs lose their weight in the share of a kind that was served.
	shareWindow = 5 * time.Second
	// minShareWeight is the number of jobs below which a share is mostly chance.
	minShareWeight = 20
	// maxShareLead is how much more often a kind may be served than a more urgent one before some of its jobs are refused.
	maxShareLead = 0.02
	// refusalGain is the change per second of the refused fraction, for each unit by which the lead exceeds maxShareLead.
	refusalGain = 0.5
	// maxLeadTime is the longest time between two jobs of a kind for which its lead counts as having lasted.
	maxLeadTime = time.Second
	// maxRefusal leaves every kind a part of the workers, however badly a more urgent one fares.
	maxRefusal = 0.9
	// refusalLogInterval is the least time between two log messages about refusals of one service.
	refusalLogInterval = 10 * time.Second
)

// urgencyGate refuses a fraction of the less urgent jobs of one service while they are served more often than more urgent ones.
// That happens where workers are full: waiting jobs draw workers at one pace, so that those with more time get more draws. The
// fraction grows and shrinks until the shares are about equal, and is zero while all jobs are served. The gate is safe for
// concurrent use.
type urgencyGate struct {
	mutex  sync.Mutex
	kinds  [urgencyLevels]jobKind // by priority, the most urgent first
	random func() float64
	// refused is the number of refusals since the last log message about them, at loggedAt.
	refused  int
	loggedAt time.Time
}

// jobKind is what the gate knows of the jobs of one priority.
type jobKind struct {
	offered, served float64 // decaying numbers of jobs
	refusal         float64 // fraction of the jobs that are refused
	updatedAt       time.Time
}

func newUrgencyGate() *urgencyGate { return &urgencyGate{random: rand.Float64} }

func urgencyLevel(priority int) int { return min(max(priority, 0), urgencyLevels-1) }

// admits reports whether a job may be placed. A refused job counts as one that was not served.
func (g *urgencyGate) admits(priority int, now time.Time) bool {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	level := urgencyLevel(priority)
	g.update(level, now)
	kind := &g.kinds[level]
	if kind.refusal == 0 || g.random() >= kind.refusal {
		return true
	}
	kind.offered++
	g.refused++
	return false
}

// dueLog returns the number of refusals since the last call that returned one, if a log message about them is due, and 0
// otherwise.
func (g *urgencyGate) dueLog(now time.Time) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if g.refused == 0 || now.Sub(g.loggedAt) < refusalLogInterval {
		return 0
	}
	refused := g.refused
	g.refused, g.loggedAt = 0, now
	return refused
}

// record adds the outcome of a job that was placed.
func (g *urgencyGate) record(priority int, served bool, now time.Time) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	level := urgencyLevel(priority)
	g.update(level, now)
	g.kinds[level].offered++
	if served {
		g.kinds[level].served++
	}
}

// update brings a kind up to the present: its decayed numbers and its refused fraction. The caller holds the mutex.
func (g *urgencyGate) update(level int, now time.Time) {
	kind := &g.kinds[level]
	passed := now.Sub(kind.updatedAt)
	if kind.updatedAt.IsZero() || passed <= 0 {
		kind.updatedAt = now
		return
	}
	kind.updatedAt = now
	kind.decay(passed)
	if passed > shareWindow { // the lead is that of a time long gone
		kind.refusal = 0
		return
	}
	lead := g.shareLead(level, now)
	kind.refusal += refusalGain * min(passed, maxLeadTime).Seconds() * (lead - maxShareLead)
	kind.refusal = min(max(kind.refusal, 0), maxRefusal)
}

// shareLead returns how much more often the jobs of a kind are served than those of the more urgent kind that is served least.
// Without such a kind it is the negative refused fraction, which lets that fraction fade. The caller holds the mutex.
func (g *urgencyGate) shareLead(level int, now time.Time) float64 {
	own := g.kinds[level]
	lead := -own.refusal
	if own.offered < minShareWeight {
		return lead
	}
	for _, urgent := range g.kinds[:level] {
		urgent.decay(now.Sub(urgent.updatedAt)) // a copy
		if urgent.offered >= minShareWeight {
			lead = max(lead, own.share()-urgent.share())
		}
	}
	return lead
}

func (k *jobKind) share() float64 { return k.served / k.offered }

func (k *jobKind) decay(passed time.Duration) {
	weight := math.Exp(-passed.Seconds() / shareWindow.Seconds())
	k.offered *= weight
	k.served *= weight
}
