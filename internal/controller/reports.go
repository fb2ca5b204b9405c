package controller

import (
	"sync"
	"time"

	"weldscale/internal/evidence"
	"weldscale/internal/fleetwire"
)

const (
	// reportSpan is how long the latest try of a router counts.
	reportSpan = 6 * time.Second
	// passSpan is how long a report is passed on: a few heartbeats, of which some may be lost.
	forwardSpan = 3 * heartbeatInterval
	// mostReports bounds what is passed on at once.
	maxPendingReports = 512
	// Of the latest reports on a worker, that part must be complaints, by more routers than may be mistaken.
	suspectShare         = 0.3
	faultyRouterShare    = 0.1
	maxAvoidedShare      = 0.4 // of a service's workers
	maxRouters           = 1024
	maxWorkers           = 4096
	reportRepeatInterval = 500 * time.Millisecond
)

// report is an observation with who made it.
type report struct {
	Router string
	Zone   string
	Seen   fleetwire.Observation
}

// reports weighs what routers saw of workers, for each zone of routers and each service: a worker may fail the callers of one
// zone only, and the bound on avoided workers holds for each service.
type reports struct {
	started time.Time

	mutex   sync.Mutex
	books   map[bookKey]*evidence.Book
	pending []pendingReport // to be passed on, oldest first
}

type bookKey struct{ zone, service string }

type pendingReport struct {
	report     report
	receivedAt time.Duration
}

func newReports(started time.Time) *reports {
	return &reports{started: started, books: map[bookKey]*evidence.Book{}}
}

func (v *reports) now() time.Duration { return time.Since(v.started) }

// heard takes the observations of one router that polls here, which the other controllers are to be told. services tells of
// which service each worker is.
func (v *reports) recordObservations(router fleetwire.Member, observations []fleetwire.Observation, services map[string]string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	for _, observation := range observations {
		received := report{Router: router.Name, Zone: router.Zone, Seen: observation}
		if v.record(now, received, services) && len(v.pending) < maxPendingReports {
			v.pending = append(v.pending, pendingReport{report: received, receivedAt: now})
		}
	}
}

// told takes reports that another controller has heard.
func (v *reports) recordForwarded(forwarded []report, services map[string]string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	for _, received := range forwarded {
		v.record(now, received, services)
	}
}

// take needs the lock. It reports whether the report is news.
func (v *reports) record(now time.Duration, received report, services map[string]string) bool {
	service, listed := services[received.Seen.Worker]
	if !listed {
		return false
	}
	return v.book(bookKey{received.Zone, service}).Take(now, evidence.Report{
		From:   received.Router,
		Zone:   received.Zone,
		Worker: received.Seen.Worker,
		Life:   received.Seen.Life,
		Seq:    received.Seen.Sequence,
		Age:    milliseconds(received.Seen.AgeMs),
		Kind:   evidence.Kind(received.Seen.Kind),
	})
}

// book needs the lock.
func (v *reports) book(key bookKey) *evidence.Book {
	known := v.books[key]
	if known == nil {
		known, _ = evidence.NewBook(evidence.Config{
			Members: maxRouters, Workers: maxWorkers, Span: reportSpan, Every: reportRepeatInterval,
			Latest: 10, Bad: suspectShare, Liars: faultyRouterShare, Most: maxAvoidedShare,
		}, "", key.zone, 0)
		v.books[key] = known
	}
	return known
}

// passOn returns the reports to be passed on now.
func (v *reports) toForward() []report {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	for len(v.pending) > 0 && now-v.pending[0].receivedAt > forwardSpan {
		v.pending = v.pending[1:]
	}
	if len(v.pending) == 0 {
		v.pending = nil
		return nil
	}
	forwarded := make([]report, len(v.pending))
	for i := range v.pending {
		forwarded[i] = v.pending[i].report
		forwarded[i].Seen.AgeMs += (now - v.pending[i].receivedAt).Milliseconds()
	}
	return forwarded
}

// doubts returns what a router of a zone is told. services tells of which service each worker is, and routers is the number of
// those in the zone.
func (v *reports) doubts(zone string, services func() map[string]string, routers int) []fleetwire.Doubt {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	var doubts []fleetwire.Doubt
	for key, book := range v.books {
		if key.zone != zone {
			continue
		}
		complained := book.Complained(now)
		if len(complained) == 0 {
			continue
		}
		avoided := map[string]bool{}
		for _, worker := range book.Bad(now, workerCount(services(), key.service), routers) {
			avoided[worker] = true
		}
		for _, worker := range complained {
			doubts = append(doubts, fleetwire.Doubt{Worker: worker, Avoid: avoided[worker]})
		}
	}
	return doubts
}

func workerCount(services map[string]string, service string) int {
	count := 0
	for _, name := range services {
		if name == service {
			count++
		}
	}
	return count
}
