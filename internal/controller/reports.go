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
	passSpan = 3 * heartbeatInterval
	// mostReports bounds what is passed on at once.
	mostReports = 512
	// Of the latest reports on a worker, that part must be complaints, by more routers than may be mistaken.
	badReports      = 0.3
	mistakenPart    = 0.1
	mostAvoided     = 0.4 // of a service's workers
	routersAtMost   = 1024
	workersAtMost   = 4096
	reportsRepeated = 500 * time.Millisecond
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
	waiting []waitingReport // to be passed on, oldest first
}

type bookKey struct{ zone, service string }

type waitingReport struct {
	report report
	at     time.Duration
}

func newReports(started time.Time) *reports {
	return &reports{started: started, books: map[bookKey]*evidence.Book{}}
}

func (v *reports) now() time.Duration { return time.Since(v.started) }

// heard takes the observations of one router that polls here, which the other controllers are to be told. services tells of
// which service each worker is.
func (v *reports) heard(from fleetwire.Member, observations []fleetwire.Observation, services map[string]string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	for _, seen := range observations {
		told := report{Router: from.Name, Zone: from.Zone, Seen: seen}
		if v.take(now, told, services) && len(v.waiting) < mostReports {
			v.waiting = append(v.waiting, waitingReport{report: told, at: now})
		}
	}
}

// told takes reports that another controller has heard.
func (v *reports) told(others []report, services map[string]string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	for _, other := range others {
		v.take(now, other, services)
	}
}

// take needs the lock. It reports whether the report is news.
func (v *reports) take(now time.Duration, told report, services map[string]string) bool {
	service, listed := services[told.Seen.Worker]
	if !listed {
		return false
	}
	return v.book(bookKey{told.Zone, service}).Take(now, evidence.Report{
		From:   told.Router,
		Zone:   told.Zone,
		Worker: told.Seen.Worker,
		Life:   told.Seen.Life,
		Seq:    told.Seen.Sequence,
		Age:    milliseconds(told.Seen.AgeMs),
		Kind:   evidence.Kind(told.Seen.Kind),
	})
}

// book needs the lock.
func (v *reports) book(key bookKey) *evidence.Book {
	known := v.books[key]
	if known == nil {
		known, _ = evidence.NewBook(evidence.Config{
			Members: routersAtMost, Workers: workersAtMost, Span: reportSpan, Every: reportsRepeated,
			Latest: 10, Bad: badReports, Liars: mistakenPart, Most: mostAvoided,
		}, "", key.zone, 0)
		v.books[key] = known
	}
	return known
}

// passOn returns the reports to be passed on now.
func (v *reports) passOn() []report {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	for len(v.waiting) > 0 && now-v.waiting[0].at > passSpan {
		v.waiting = v.waiting[1:]
	}
	if len(v.waiting) == 0 {
		v.waiting = nil
		return nil
	}
	passed := make([]report, len(v.waiting))
	for i := range v.waiting {
		passed[i] = v.waiting[i].report
		passed[i].Seen.AgeMs += (now - v.waiting[i].at).Milliseconds()
	}
	return passed
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
		avoid := map[string]bool{}
		for _, worker := range book.Bad(now, workersOf(services(), key.service), routers) {
			avoid[worker] = true
		}
		for _, worker := range complained {
			doubts = append(doubts, fleetwire.Doubt{Worker: worker, Avoid: avoid[worker]})
		}
	}
	return doubts
}

func workersOf(services map[string]string, service string) int {
	count := 0
	for _, of := range services {
		if of == service {
			count++
		}
	}
	return count
}
