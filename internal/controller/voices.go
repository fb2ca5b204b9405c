package controller

import (
	"sync"
	"time"

	"weldscale/internal/evidence"
	"weldscale/internal/fleetwire"
)

const (
	// voiceSpan is how long the latest try of a router counts.
	voiceSpan = 6 * time.Second
	// passSpan is how long a voice is passed on: a few heartbeats, of which some may be lost.
	passSpan = 3 * heartbeatInterval
	// mostVoices bounds what is passed on at once.
	mostVoices = 512
	// Of the latest voices on a worker, that part must be complaints, by more routers than may be mistaken.
	badVoices      = 0.3
	mistakenPart   = 0.1
	mostAvoided    = 0.4 // of a service's workers
	routersAtMost  = 1024
	workersAtMost  = 4096
	voicesRepeated = 500 * time.Millisecond
)

// voice is an observation with who made it.
type voice struct {
	Router string
	Zone   string
	Seen   fleetwire.Observation
}

// voices weighs what routers saw of workers, for each zone of routers and each service: a worker may fail the callers of one
// zone only, and the bound on avoided workers holds for each service.
type voices struct {
	started time.Time

	mutex   sync.Mutex
	books   map[bookKey]*evidence.Book
	waiting []heardVoice // to be passed on, oldest first
}

type bookKey struct{ zone, service string }

type heardVoice struct {
	voice voice
	at    time.Duration
}

func newVoices(started time.Time) *voices {
	return &voices{started: started, books: map[bookKey]*evidence.Book{}}
}

func (v *voices) now() time.Duration { return time.Since(v.started) }

// heard takes the observations of one router that polls here, which the other controllers are to be told. services tells of
// which service each worker is.
func (v *voices) heard(from fleetwire.Member, observations []fleetwire.Observation, services map[string]string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	for _, seen := range observations {
		told := voice{Router: from.Name, Zone: from.Zone, Seen: seen}
		if v.take(now, told, services) && len(v.waiting) < mostVoices {
			v.waiting = append(v.waiting, heardVoice{voice: told, at: now})
		}
	}
}

// told takes voices that another controller has heard.
func (v *voices) told(others []voice, services map[string]string) {
	v.mutex.Lock()
	defer v.mutex.Unlock()
	now := v.now()
	for _, other := range others {
		v.take(now, other, services)
	}
}

// take needs the lock. It reports whether the voice is news.
func (v *voices) take(now time.Duration, told voice, services map[string]string) bool {
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
func (v *voices) book(key bookKey) *evidence.Book {
	known := v.books[key]
	if known == nil {
		known, _ = evidence.NewBook(evidence.Config{
			Members: routersAtMost, Workers: workersAtMost, Span: voiceSpan, Every: voicesRepeated,
			Latest: 10, Bad: badVoices, Liars: mistakenPart, Most: mostAvoided,
		}, "", key.zone, 0)
		v.books[key] = known
	}
	return known
}

// passOn returns the voices to be passed on now.
func (v *voices) passOn() []voice {
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
	passed := make([]voice, len(v.waiting))
	for i := range v.waiting {
		passed[i] = v.waiting[i].voice
		passed[i].Seen.AgeMs += (now - v.waiting[i].at).Milliseconds()
	}
	return passed
}

// doubts returns what a router of a zone is told. services tells of which service each worker is, and routers is the number of
// those in the zone.
func (v *voices) doubts(zone string, services func() map[string]string, routers int) []fleetwire.Doubt {
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
