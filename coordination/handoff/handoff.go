// Package handoff implements hinted handoff: it stores updates (hints) for unreachable peers until the peers are reachable again.
// Hints are limited in number, bytes and age, so that a peer that stays away costs little. A dropped hint has to reach its peer in
// another way, such as a comparison of versions when the peer returns.
//
// Only the newest version is stored per peer and key. A peer that returns is sent its hints in the order of their versions. Each
// hint is sent again until the peer is known to have that version or a newer one.
//
// The package contains no clock, socket or goroutine. Times are readings of one monotonic clock, and the embedder sends the hints.
package handoff

import (
	"cmp"
	"slices"
	"time"
)

// Version orders the updates of a key. Less must be a strict total order of all versions.
type Version[V any] interface {
	comparable
	Less(other V) bool
}

// Hint is an update to be delivered to a peer.
type Hint[V Version[V], P any] struct {
	Key     string
	Version V
	Payload P
	Bytes   int // size of the payload, counted towards Limits.Bytes
}

// Limits bounds the stored hints. If Hints or Age is zero, nothing is stored. If Bytes is zero, only hints of size zero are stored.
type Limits struct {
	Hints int // total of all peers
	Bytes int // total of all peers
	Age   time.Duration
}

// Drops counts the hints that were dropped before they were delivered.
type Drops struct {
	Expired    int // their age reached the limit
	Evicted    int // they were the oldest when a limit was exceeded
	Superseded int // a newer version replaced them
}

// Store stores hints. It is not safe for concurrent use.
type Store[V Version[V], P any] struct {
	limits Limits
	hints  []storedHint[V, P] // in the order in which they were added, oldest first
	bytes  int
	drops  Drops
}

type storedHint[V Version[V], P any] struct {
	Hint[V, P]
	peer     string
	storedAt time.Duration
}

// New returns an empty store.
func New[V Version[V], P any](limits Limits) *Store[V, P] { return &Store[V, P]{limits: limits} }

// Add stores a hint for a peer. It returns false if a hint of the same peer and key with this or a newer version is stored, or if
// the hint alone exceeds the limits. Where necessary it evicts the oldest hints of all peers.
func (s *Store[V, P]) Add(now time.Duration, peer string, hint Hint[V, P]) bool {
	s.Expire(now)
	if s.limits.Hints < 1 || s.limits.Age <= 0 || hint.Bytes > s.limits.Bytes {
		return false
	}
	index := slices.IndexFunc(s.hints, func(stored storedHint[V, P]) bool { return stored.peer == peer && stored.Key == hint.Key })
	if index >= 0 {
		if !s.hints[index].Version.Less(hint.Version) {
			return false
		}
		s.remove(index)
		s.drops.Superseded++
	}
	for len(s.hints) >= s.limits.Hints || s.bytes+hint.Bytes > s.limits.Bytes {
		s.remove(0)
		s.drops.Evicted++
	}
	s.hints = append(s.hints, storedHint[V, P]{Hint: hint, peer: peer, storedAt: now})
	s.bytes += hint.Bytes
	return true
}

// HintsFor returns the hints of a peer in the order of their versions. They stay stored until MarkDelivered, or until they expire
// or are dropped.
func (s *Store[V, P]) HintsFor(now time.Duration, peer string) []Hint[V, P] {
	s.Expire(now)
	var hints []Hint[V, P]
	for _, stored := range s.hints {
		if stored.peer == peer {
			hints = append(hints, stored.Hint)
		}
	}
	slices.SortStableFunc(hints, func(a, b Hint[V, P]) int {
		switch {
		case a.Version.Less(b.Version):
			return -1
		case b.Version.Less(a.Version):
			return 1
		}
		return cmp.Compare(a.Key, b.Key)
	})
	return hints
}

// MarkDelivered records that a peer has a version of a key, and removes its hint for the key if the hint is not newer.
func (s *Store[V, P]) MarkDelivered(peer, key string, version V) {
	s.removeIf(func(stored *storedHint[V, P]) bool {
		return stored.peer == peer && stored.Key == key && !version.Less(stored.Version)
	})
}

// Supersede drops the hints of all peers for a key that are older than the given version, because they are obsolete.
func (s *Store[V, P]) Supersede(key string, version V) {
	s.drops.Superseded += s.removeIf(func(stored *storedHint[V, P]) bool { return stored.Key == key && stored.Version.Less(version) })
}

// RemovePeer removes the hints of a peer, such as one that has left permanently. They do not count in Drops.
func (s *Store[V, P]) RemovePeer(peer string) {
	s.removeIf(func(stored *storedHint[V, P]) bool { return stored.peer == peer })
}

// Expire drops the hints whose age has reached the limit.
func (s *Store[V, P]) Expire(now time.Duration) {
	s.drops.Expired += s.removeIf(func(stored *storedHint[V, P]) bool { return now-stored.storedAt >= s.limits.Age })
}

// Len returns the number of hints.
func (s *Store[V, P]) Len() int { return len(s.hints) }

// Bytes returns the total size of the payloads.
func (s *Store[V, P]) Bytes() int { return s.bytes }

// Drops returns the numbers of dropped hints since New.
func (s *Store[V, P]) Drops() Drops { return s.drops }

func (s *Store[V, P]) remove(index int) {
	s.bytes -= s.hints[index].Bytes
	s.hints = slices.Delete(s.hints, index, index+1)
}

func (s *Store[V, P]) removeIf(matches func(stored *storedHint[V, P]) bool) int {
	before := len(s.hints)
	s.hints = slices.DeleteFunc(s.hints, func(stored storedHint[V, P]) bool {
		if matches(&stored) {
			s.bytes -= stored.Bytes
			return true
		}
		return false
	})
	return before - len(s.hints)
}
