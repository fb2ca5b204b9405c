// Package handoff keeps hints for peers that can't be reached: what they would have been told, until they are back. Hints are
// bounded in number, bytes and age, so that a peer that stays away costs little; what is dropped has to reach it in another
// way, as by the comparison of versions when it is back.
//
// For each peer and key the newest version alone is kept. A peer that is back gets its hints in the order of their versions,
// each again until it is known to hold that version or a newer one.
//
// The package holds no clock, socket or goroutine: times are readings of one steady clock, and the embedder sends.
package handoff

import (
	"cmp"
	"slices"
	"time"
)

// Version orders what is told under a key. Less must be a strict order of all versions.
type Version[V any] interface {
	comparable
	Less(other V) bool
}

// Hint is what a peer is to be told.
type Hint[V Version[V], P any] struct {
	Key     string
	Version V
	Payload P
	Bytes   int // what the payload weighs
}

// Limits bound what is kept. A limit of zero keeps nothing.
type Limits struct {
	Hints int // of all peers
	Bytes int // of all payloads
	Age   time.Duration
}

// Drops counts hints that were given up before their peer had them.
type Drops struct {
	Expired    int // they reached the greatest age
	Evicted    int // they were the oldest when there was no room
	Superseded int // a newer version took their place
}

// Store keeps hints. It is not safe for use by several goroutines.
type Store[V Version[V], P any] struct {
	limits Limits
	hints  []kept[V, P] // in the order in which they were kept, the oldest first
	bytes  int
	drops  Drops
}

type kept[V Version[V], P any] struct {
	Hint[V, P]
	peer  string
	since time.Duration
}

// New returns a keeper without hints.
func New[V Version[V], P any](limits Limits) *Store[V, P] { return &Store[V, P]{limits: limits} }

// Add keeps a hint for a peer. It reports false if the peer has one of the same key that is as new, or if the hint alone is
// beyond the limits. The oldest hints of all make room.
func (k *Store[V, P]) Add(now time.Duration, peer string, hint Hint[V, P]) bool {
	k.Expire(now)
	if k.limits.Hints < 1 || k.limits.Age <= 0 || hint.Bytes > k.limits.Bytes {
		return false
	}
	at := slices.IndexFunc(k.hints, func(held kept[V, P]) bool { return held.peer == peer && held.Key == hint.Key })
	if at >= 0 {
		if !k.hints[at].Version.Less(hint.Version) {
			return false
		}
		k.remove(at)
		k.drops.Superseded++
	}
	for len(k.hints) >= k.limits.Hints || k.bytes+hint.Bytes > k.limits.Bytes {
		k.remove(0)
		k.drops.Evicted++
	}
	k.hints = append(k.hints, kept[V, P]{Hint: hint, peer: peer, since: now})
	k.bytes += hint.Bytes
	return true
}

// HintsFor returns the hints for a peer that is back, in the order of their versions. They stay until Holds says that it has them.
func (k *Store[V, P]) HintsFor(now time.Duration, peer string) []Hint[V, P] {
	k.Expire(now)
	var hints []Hint[V, P]
	for _, held := range k.hints {
		if held.peer == peer {
			hints = append(hints, held.Hint)
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

// MarkDelivered notes that a peer has a version of a key: a hint up to that version is delivered.
func (k *Store[V, P]) MarkDelivered(peer, key string, version V) {
	k.removeIf(func(held *kept[V, P]) bool {
		return held.peer == peer && held.Key == key && !version.Less(held.Version)
	})
}

// Supersede notes that there is a newer version of a key: older hints of it are worth nothing to any peer.
func (k *Store[V, P]) Supersede(key string, version V) {
	k.drops.Superseded += k.removeIf(func(held *kept[V, P]) bool { return held.Key == key && held.Version.Less(version) })
}

// RemovePeer drops the hints for a peer that is gone for good.
func (k *Store[V, P]) RemovePeer(peer string) {
	k.removeIf(func(held *kept[V, P]) bool { return held.peer == peer })
}

// Expire drops the hints that have reached the greatest age.
func (k *Store[V, P]) Expire(now time.Duration) {
	k.drops.Expired += k.removeIf(func(held *kept[V, P]) bool { return now-held.since >= k.limits.Age })
}

// Len returns the number of hints.
func (k *Store[V, P]) Len() int { return len(k.hints) }

// Bytes returns what all payloads weigh.
func (k *Store[V, P]) Bytes() int { return k.bytes }

// Drops tells how many hints were given up.
func (k *Store[V, P]) Drops() Drops { return k.drops }

func (k *Store[V, P]) remove(at int) {
	k.bytes -= k.hints[at].Bytes
	k.hints = slices.Delete(k.hints, at, at+1)
}

func (k *Store[V, P]) removeIf(gone func(held *kept[V, P]) bool) int {
	before := len(k.hints)
	k.hints = slices.DeleteFunc(k.hints, func(held kept[V, P]) bool {
		if gone(&held) {
			k.bytes -= held.Bytes
			return true
		}
		return false
	})
	return before - len(k.hints)
}
