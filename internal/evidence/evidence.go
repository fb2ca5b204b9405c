// Package evidence combines the latest observations of workers by the schedulers of a fleet, such as failed requests and lost
// probes, and names the workers that enough members complain about. It must not decide which worker gets a job: the decision
// module treats a suspected worker as reported by peers and has its own bounds.
//
// The package must not read a clock or use a socket. Times are readings of one monotonic clock of the process. The reasons for
// the design are in docs/design/shared-state.md.
package evidence

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"
)

// Kind is the kind of an observation of a worker.
type Kind int

// The kinds of observations. All but Succeeded are complaints about the worker.
const (
	Succeeded   Kind = iota // a job ended well
	Failed                  // a job ended with an error
	TimedOut                // a job did not end in time
	Unreachable             // a probe was lost or a connection failed
	kindCount
)

// Config configures an Aggregator. All members should use the same values.
type Config struct {
	// MaxMembers is the maximum number of schedulers that run at once. It bounds the reports that are kept of other members.
	MaxMembers int
	// MaxWorkers bounds the workers on which observations are kept.
	MaxWorkers int
	// MaxAge is how long an observation counts. If the first ejections by the decision modules end sooner, the schedulers do
	// not all return to the worker at once, because the evidence against it still counts.
	MaxAge time.Duration
	// MinRepeatInterval is the minimum time before a member reports the same kind of observation of a worker again.
	MinRepeatInterval time.Duration
	// SampleSize is how many members' latest observations of a worker are considered, the newest first. More are considered if
	// FaultyMemberShare requires it. Older ones are left out so that a worker that starts to fail, or recovers, is not judged
	// by its former state.
	SampleSize int
	// MinComplaintShare is the share of the considered observations that must be complaints before a worker is suspected.
	MinComplaintShare float64
	// FaultyMemberShare is the share of the members that may report wrongly. More members than that must complain about a
	// worker before it is suspected, and at least two.
	FaultyMemberShare float64
	// MaxSuspectShare is the maximum share of the workers that are suspected. A member that complains about more workers is
	// itself considered faulty and is ignored.
	MaxSuspectShare float64
}

// DefaultConfig returns the configuration for a fleet of at most the given number of members.
func DefaultConfig(members int) Config {
	return Config{MaxMembers: members, MaxWorkers: 4096, MaxAge: 15 * time.Second,
		MinRepeatInterval: 500 * time.Millisecond, SampleSize: 10, MinComplaintShare: 0.5, FaultyMemberShare: 0.04, MaxSuspectShare: 0.4}
}

// Check returns an error that names the first invalid field and the allowed values.
func (c *Config) Check() error {
	for _, f := range []struct {
		bad  bool
		text string
	}{
		{c.MaxMembers < 1 || c.MaxWorkers < 1 || c.SampleSize < 1, "MaxMembers, MaxWorkers and SampleSize must be at least 1"},
		{c.MaxAge <= 0 || c.MinRepeatInterval <= 0 || c.MinRepeatInterval > c.MaxAge,
			"MinRepeatInterval must be more than 0, and MaxAge must not be less than it"},
		{!(c.MinComplaintShare > 0 && c.MinComplaintShare <= 1) || !(c.MaxSuspectShare > 0 && c.MaxSuspectShare <= 1),
			"MinComplaintShare and MaxSuspectShare must be more than 0 and at most 1"},
		{!(c.FaultyMemberShare >= 0 && c.FaultyMemberShare < 0.5), "FaultyMemberShare must be at least 0 and less than 0.5"},
	} {
		if f.bad {
			return fmt.Errorf("evidence: %s", f.text)
		}
	}
	return nil
}

// Report is the latest observation of one worker by one member. A member has one report per worker, however many jobs it sent
// there.
type Report struct {
	From, Zone, Worker string
	Incarnation, Seq   uint64 // a higher Seq replaces a lower one of the same member and incarnation
	Age                time.Duration
	Kind               Kind
}

// observation is this member's latest observation of a worker, with the state of its report.
type observation struct {
	kind               Kind
	at                 time.Duration
	reportedKind       Kind
	reportedAt         time.Duration
	reportedObservedAt time.Duration // time of the observation that was reported
	reportedSeq        uint64
	repeatedAt         time.Duration // when the report was last sent
	reported           bool
}

// repeatInterval is the time after which a complaint that still counts is sent again. A report reaches a few members directly,
// and the rest only if these forward it.
const repeatInterval = time.Second

// receivedReport is a report of another member.
type receivedReport struct {
	report     Report
	observedAt time.Duration // by the clock of this process
}

// Aggregator holds this member's observations and the reports of other members. It is not safe for concurrent use.
type Aggregator struct {
	config           Config
	name, zone       string
	incarnation, seq uint64
	own              map[string]*observation               // by worker
	received         map[string]map[string]*receivedReport // by worker and member
	Dropped          int                                   // reports that were invalid or exceeded a bound
}

// NewAggregator returns an empty aggregator for a member in a zone. The incarnation must differ for each start of the member.
func NewAggregator(c Config, name, zone string, incarnation uint64) (*Aggregator, error) {
	if err := c.Check(); err != nil {
		return nil, err
	}
	return &Aggregator{config: c, name: name, zone: zone, incarnation: incarnation, own: map[string]*observation{},
		received: map[string]map[string]*receivedReport{}}, nil
}

// Record records an observation of a worker by this member.
func (a *Aggregator) Record(now time.Duration, worker string, k Kind) {
	o := a.own[worker]
	if o == nil {
		if len(a.own) >= a.config.MaxWorkers {
			a.expireOwn(now)
		}
		if len(a.own) >= a.config.MaxWorkers {
			a.Dropped++
			return
		}
		o = &observation{}
		a.own[worker] = o
	}
	o.kind, o.at = k, now
}

// expireOwn removes this member's observations that are too old.
func (a *Aggregator) expireOwn(now time.Duration) {
	for name, o := range a.own {
		if now-o.at >= a.config.MaxAge {
			delete(a.own, name)
		}
	}
}

// DiscardOwn discards this member's observations. It is for use after this process has stalled, when timeouts and lost probes
// say nothing about the workers.
func (a *Aggregator) DiscardOwn() { a.own = map[string]*observation{} }

// ResendAll makes DueReports return all current reports once more, for a member that has joined since they were sent.
func (a *Aggregator) ResendAll() {
	for _, o := range a.own {
		o.reported = false
	}
}

// Receive processes a report of another member. It returns whether the report is new and should be forwarded.
func (a *Aggregator) Receive(now time.Duration, r Report) bool {
	if r.From == "" || r.Worker == "" || r.Age < 0 || r.Kind < 0 || r.Kind >= kindCount {
		a.Dropped++
		return false
	}
	if r.From == a.name || r.Age >= a.config.MaxAge {
		return false
	}
	reports := a.received[r.Worker]
	if reports == nil {
		if len(a.received) >= a.config.MaxWorkers {
			a.expireReceived(now)
		}
		if len(a.received) >= a.config.MaxWorkers {
			a.Dropped++
			return false
		}
		reports = map[string]*receivedReport{}
		a.received[r.Worker] = reports
	}
	previous := reports[r.From]
	if previous != nil && previous.report.Incarnation == r.Incarnation && previous.report.Seq >= r.Seq {
		return false
	}
	if previous == nil && len(reports) >= a.config.MaxMembers {
		a.expireReceived(now)
		if len(reports) >= a.config.MaxMembers {
			a.Dropped++
			return false
		}
		a.received[r.Worker] = reports
	}
	reports[r.From] = &receivedReport{r, now - r.Age}
	return true
}

// expireReceived removes the reports that are too old.
func (a *Aggregator) expireReceived(now time.Duration) {
	for worker, reports := range a.received {
		for from, received := range reports {
			if now-received.observedAt >= a.config.MaxAge {
				delete(reports, from)
			}
		}
		if len(reports) == 0 {
			delete(a.received, worker)
		}
	}
}

// DueReports returns the reports to send now, sorted by worker: this member's complaints, and its successes at workers that
// other members complain about, as evidence to the contrary.
func (a *Aggregator) DueReports(now time.Duration) (out []Report) {
	a.expireReceived(now)
	for worker, o := range a.own {
		if o.reported && (o.reportedObservedAt == o.at || o.reportedKind == o.kind && now-o.reportedAt < a.config.MinRepeatInterval) ||
			now-o.at >= a.config.MaxAge || o.kind == Succeeded && !a.hasComplaint(worker) {
			continue
		}
		o.reportedAt, o.reportedObservedAt, o.reportedKind, o.reported = now, o.at, o.kind, true
		a.seq++
		o.reportedSeq, o.repeatedAt = a.seq, now
		out = append(out, a.reportOf(worker, o, now))
	}
	sortByWorker(out)
	return out
}

// RepeatedReports returns the complaints to send once more, sorted by worker: those that were sent at least repeatInterval ago
// and still are this member's latest observations. They keep their Seq, so that members which have them do not forward them.
func (a *Aggregator) RepeatedReports(now time.Duration) (out []Report) {
	for worker, o := range a.own {
		stands := o.reported && o.reportedObservedAt == o.at && o.kind != Succeeded && now-o.at < a.config.MaxAge
		if !stands || now-o.repeatedAt < repeatInterval {
			continue
		}
		o.repeatedAt = now
		out = append(out, a.reportOf(worker, o, now))
	}
	sortByWorker(out)
	return out
}

// reportOf returns the report of an observation under its last Seq.
func (a *Aggregator) reportOf(worker string, o *observation, now time.Duration) Report {
	return Report{a.name, a.zone, worker, a.incarnation, o.reportedSeq, now - o.at, o.kind}
}

func sortByWorker(reports []Report) {
	slices.SortFunc(reports, func(x, y Report) int { return cmp.Compare(x.Worker, y.Worker) })
}

// WithComplaints returns the workers that the latest report of at least one other member complains about, sorted by name.
func (a *Aggregator) WithComplaints(now time.Duration) (names []string) {
	a.expireReceived(now)
	for worker := range a.received {
		if a.hasComplaint(worker) {
			names = append(names, worker)
		}
	}
	slices.Sort(names)
	return names
}

// hasComplaint reports whether another member complains about a worker.
func (a *Aggregator) hasComplaint(worker string) bool {
	for _, received := range a.received[worker] {
		if received.report.Kind != Succeeded {
			return true
		}
	}
	return false
}

// vote is a member's latest observation of a worker, as Suspects counts it.
type vote struct {
	member    string
	at        time.Duration
	complaint bool
}

// Suspects returns the workers that the members of this member's zone suspect, those with the highest share of complaints
// first. knownWorkers is the number of all workers, and zoneMembers the number of live members in the zone.
func (a *Aggregator) Suspects(now time.Duration, knownWorkers, zoneMembers int) (names []string) {
	a.expireReceived(now)
	maxSuspects := int(a.config.MaxSuspectShare * float64(knownWorkers))
	votesOn, complaintsBy := map[string][]vote{}, map[string]int{} // by worker; by member, this one included
	add := func(worker string, v vote) {
		votesOn[worker] = append(votesOn[worker], v)
		if v.complaint {
			complaintsBy[v.member]++
		}
	}
	for worker, o := range a.own {
		if now-o.at < a.config.MaxAge {
			add(worker, vote{a.name, o.at, o.kind != Succeeded})
		}
	}
	for worker, reports := range a.received {
		for from, received := range reports {
			if received.report.Zone == a.zone {
				add(worker, vote{from, received.observedAt, received.report.Kind != Succeeded})
			}
		}
	}
	required := max(2, int(math.Ceil(a.config.FaultyMemberShare*float64(zoneMembers)))+1)
	complaintShares := map[string]float64{}
	for worker, votes := range votesOn {
		// A member that complains about too many workers is faulty or partitioned itself.
		votes = slices.DeleteFunc(votes, func(v vote) bool { return complaintsBy[v.member] > maxSuspects })
		slices.SortFunc(votes, func(x, y vote) int { return cmp.Or(cmp.Compare(y.at, x.at), cmp.Compare(x.member, y.member)) })
		votes = votes[:min(len(votes), max(a.config.SampleSize, 2*required))]
		complaints := 0
		for _, v := range votes {
			if v.complaint {
				complaints++
			}
		}
		if complaints >= required && float64(complaints) >= a.config.MinComplaintShare*float64(len(votes)) {
			names = append(names, worker)
			complaintShares[worker] = float64(complaints) / float64(len(votes))
		}
	}
	slices.SortFunc(names, func(x, y string) int {
		return cmp.Or(cmp.Compare(complaintShares[y], complaintShares[x]), cmp.Compare(x, y))
	})
	return names[:min(len(names), maxSuspects)]
}
