// Package watch distributes versioned state by long poll. A Hub holds the current state and answers watchers as soon as it
// has something newer than they hold; a Follower polls one of several hubs, leaves a hub that is silent or out of touch with
// the majority, and never goes back to an older version. A Follower can feed a Hub of its own, so hubs can be chained.
package watch

import (
	"time"

	"weldscale/internal/fleetwire"
)

// unknownAge stands for the age of what was never heard. It is large, and small enough to be added up without overflow.
const unknownAge = 1000 * time.Hour

// Snapshot is the state at one moment. It is immutable and swapped whole.
type Snapshot struct {
	Version     fleetwire.Version
	Config      *fleetwire.Config // nil while none is known
	Instances   []fleetwire.Instance
	Controllers []string
	Routers     int
	// QuorumAge tells how long before At a majority of the replicas was last heard.
	QuorumAge time.Duration
	// ListAge tells how long before At the platform confirmed the list of instances.
	ListAge time.Duration
	At      time.Time
}

// QuorumAgeAt returns how old the knowledge is at the given moment.
func (s *Snapshot) QuorumAgeAt(now time.Time) time.Duration { return s.QuorumAge + now.Sub(s.At) }

// ListAgeAt returns how long before the given moment the platform confirmed the list of instances.
func (s *Snapshot) ListAgeAt(now time.Time) time.Duration { return s.ListAge + now.Sub(s.At) }

// newer reports whether a holds a part that is newer than the same part of b.
func newer(a, b fleetwire.Version) bool {
	return a.ConfigRevision > b.ConfigRevision || b.Instances.Less(a.Instances)
}

// ageAt returns the age of a moment, and unknownAge for the zero moment.
func ageAt(now, moment time.Time) time.Duration {
	if moment.IsZero() {
		return unknownAge
	}
	return min(max(now.Sub(moment), 0), unknownAge)
}

// millis rounds an age up to whole milliseconds, so that it never looks younger on the wire.
func millis(age time.Duration) int64 {
	return (min(age, unknownAge) + time.Millisecond - 1).Milliseconds()
}

// fromMillis is the inverse of millis, bounded so that ages can be added.
func fromMillis(age int64) time.Duration {
	if age < 0 || age > unknownAge.Milliseconds() {
		return unknownAge
	}
	return time.Duration(age) * time.Millisecond
}
