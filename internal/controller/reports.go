package controller

import (
	"sync"
	"time"

	"weldscale/internal/evidence"
	"weldscale/internal/fleetwire"
)

const (
	// reportSpan is how long a router's latest report on a worker counts.
	reportSpan = 6 * time.Second
	// forwardSpan is how long a report is forwarded to the other controllers. It covers several heartbeats, since some may be
	// lost.
	forwardSpan = 3 * heartbeatInterval
	// maxPendingReports bounds the reports that are forwarded at once.
	maxPendingReports = 512
	// A worker is avoided if at least minComplaintShare of the latest reports on it are complaints, and if more routers complain
	// than faultyRouterShare of those in the zone, since that many may report wrongly.
	minComplaintShare = 0.3
	faultyRouterShare = 0.1
	maxAvoidedShare   = 0.4  // share of a service's workers that may be avoided
	maxRouters        = 1024 // routers whose reports are kept, in each aggregator
	maxWorkers        = 4096 // workers on which reports are kept, in each aggregator
	// reportRepeatInterval must be set but has no effect here: it limits the reports of a member's own observations, and a
	// controller makes none.
	reportRepeatInterval = 500 * time.Millisecond
)

// report is an observation of a worker with the router that made it.
type report struct {
	Router string
	Zone   string
	Seen   fleetwire.Observation
}

// reports evaluates the routers' reports on workers, with one aggregator for each zone of routers and each service: a worker
// may fail requests from one zone only, and the bound on avoided workers applies per service. It is safe for concurrent use.
type reports struct {
	started time.Time

	mutex       sync.Mutex
	aggregators map[aggregatorKey]*evidence.Aggregator
	pending     []pendingReport // reports to forward, oldest first
}

// aggregatorKey identifies the aggregator of the reports by a zone's routers on a service's workers.
type aggregatorKey struct{ zone, service string }

// pendingReport is a report to forward with the time at which it arrived.
type pendingReport struct {
	report     report
	receivedAt time.Duration
}

func newReports(started time.Time) *reports {
	return &reports{started: started, aggregators: map[aggregatorKey]*evidence.Aggregator{}}
}

// now returns the monotonic time since the start.
func (r *reports) now() time.Duration { return time.Since(r.started) }

// recordObservations records the observations of a router that polls this controller, and keeps them for forwarding to the
// other controllers. services maps each worker to its service.
func (r *reports) recordObservations(router fleetwire.Member, observations []fleetwire.Observation, services map[string]string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, observation := range observations {
		received := report{Router: router.Name, Zone: router.Zone, Seen: observation}
		if r.record(now, received, services) && len(r.pending) < maxPendingReports {
			r.pending = append(r.pending, pendingReport{report: received, receivedAt: now})
		}
	}
}

// recordForwarded records reports that another controller has forwarded. They are not forwarded again.
func (r *reports) recordForwarded(forwarded []report, services map[string]string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for _, received := range forwarded {
		r.record(now, received, services)
	}
}

// record passes a report to its aggregator and returns whether it is new. It ignores workers that are not listed. The caller
// must hold the lock.
func (r *reports) record(now time.Duration, received report, services map[string]string) bool {
	service, listed := services[received.Seen.Worker]
	if !listed {
		return false
	}
	return r.aggregator(aggregatorKey{received.Zone, service}).Receive(now, evidence.Report{
		From:        received.Router,
		Zone:        received.Zone,
		Worker:      received.Seen.Worker,
		Incarnation: received.Seen.Life,
		Seq:         received.Seen.Sequence,
		Age:         milliseconds(received.Seen.AgeMs),
		Kind:        evidence.Kind(received.Seen.Kind),
	})
}

// aggregator returns the aggregator of a zone and a service, and creates it if needed. The caller must hold the lock.
func (r *reports) aggregator(key aggregatorKey) *evidence.Aggregator {
	known := r.aggregators[key]
	if known == nil {
		known, _ = evidence.NewAggregator(evidence.Config{
			MaxMembers: maxRouters, MaxWorkers: maxWorkers, MaxAge: reportSpan, MinRepeatInterval: reportRepeatInterval,
			SampleSize: 10, MinComplaintShare: minComplaintShare, FaultyMemberShare: faultyRouterShare, MaxSuspectShare: maxAvoidedShare,
		}, "", key.zone, 0)
		r.aggregators[key] = known
	}
	return known
}

// toForward returns the reports to forward now, with their ages brought up to date.
func (r *reports) toForward() []report {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	for len(r.pending) > 0 && now-r.pending[0].receivedAt > forwardSpan {
		r.pending = r.pending[1:]
	}
	if len(r.pending) == 0 {
		r.pending = nil
		return nil
	}
	forwarded := make([]report, len(r.pending))
	for i := range r.pending {
		forwarded[i] = r.pending[i].report
		forwarded[i].Seen.AgeMs += (now - r.pending[i].receivedAt).Milliseconds()
	}
	return forwarded
}

// doubts returns the workers that routers of a zone complain about, and which of them to avoid. services maps each worker to
// its service, and routers is the number of routers in the zone.
func (r *reports) doubts(zone string, services func() map[string]string, routers int) []fleetwire.Doubt {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	now := r.now()
	var doubts []fleetwire.Doubt
	for key, aggregator := range r.aggregators {
		if key.zone != zone {
			continue
		}
		complained := aggregator.WithComplaints(now)
		if len(complained) == 0 {
			continue
		}
		avoided := map[string]bool{}
		for _, worker := range aggregator.Suspects(now, workerCount(services(), key.service), routers) {
			avoided[worker] = true
		}
		for _, worker := range complained {
			doubts = append(doubts, fleetwire.Doubt{Worker: worker, Avoid: avoided[worker]})
		}
	}
	return doubts
}

// workerCount returns the number of workers of a service.
func workerCount(services map[string]string, service string) int {
	count := 0
	for _, name := range services {
		if name == service {
			count++
		}
	}
	return count
}
