// Package watch distributes versioned snapshots by long polling. A Hub holds the current state and replies to a subscriber as
// soon as it has a newer version than the subscriber. A Follower is a subscriber: it polls one of several hubs, its source,
// fails over when the source does not reply or has no recent contact with a quorum, and never returns to an older version.
// A Follower can feed a Hub of its own, so hubs can be chained.
package watch

import (
	"time"

	"weldscale/internal/fleetwire"
)

// unknownAge is the age of something that was never received. It exceeds every bound, and several such ages can be added
// without overflow.
const unknownAge = 1000 * time.Hour

// Snapshot is the distributed state at one moment. It is immutable; updates replace it as a whole.
type Snapshot struct {
	Version     fleetwire.Version
	Config      *fleetwire.Config // nil: not known yet, or not decoded
	Instances   []fleetwire.Instance
	Controllers []string // internal addresses of the controllers
	Routers     int      // number of live routers; 0: not known yet
	// QuorumAge is the time between the last contact with a majority of the replicas and At.
	QuorumAge time.Duration
	// ListAge is the time between the platform's last confirmation of the list of instances and At.
	ListAge time.Duration
	At      time.Time // when the snapshot was received, or read from a hub
}

// QuorumAgeAt returns the time from the last contact with a majority of the replicas to the given moment.
func (s *Snapshot) QuorumAgeAt(now time.Time) time.Duration { return s.QuorumAge + now.Sub(s.At) }

// ListAgeAt returns the time from the platform's last confirmation of the list of instances to the given moment.
func (s *Snapshot) ListAgeAt(now time.Time) time.Duration { return s.ListAge + now.Sub(s.At) }

// newer reports whether the configuration or the list of instances is newer in a than in b.
func newer(a, b fleetwire.Version) bool {
	return a.ConfigRevision > b.ConfigRevision || b.Instances.Less(a.Instances)
}

// ageAt returns the age of a moment, between 0 and unknownAge. The age of the zero time is unknownAge.
func ageAt(now, moment time.Time) time.Duration {
	if moment.IsZero() {
		return unknownAge
	}
	return min(max(now.Sub(moment), 0), unknownAge)
}

// millis rounds an age up to whole milliseconds, so that the wire never carries less than the real age.
func millis(age time.Duration) int64 {
	return (min(age, unknownAge) + time.Millisecond - 1).Milliseconds()
}

// fromMillis converts an age from the wire. A negative or too large value yields unknownAge, so that ages can be added.
func fromMillis(age int64) time.Duration {
	if age < 0 || age > unknownAge.Milliseconds() {
		return unknownAge
	}
	return time.Duration(age) * time.Millisecond
}
