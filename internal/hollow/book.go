package hollow

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

// change is something that each member should learn of.
type change struct {
	at    time.Time // from when on it counts: the acknowledgement, or the entry in the platform's list
	light bool      // light members see it as well
	holds func(*watch.Snapshot) bool
	seen  map[*member]time.Time
	all   chan struct{} // closed once all members that the book knew at the start have seen it
	left  int
}

// book notes when each member learned of each change.
type book struct {
	mutex   sync.Mutex
	members map[*member]bool
	open    []*change
}

func newBook() *book { return &book{members: map[*member]bool{}} }

func (b *book) add(m *member) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	b.members[m] = true
}

// remove drops a member that ends, and what it has not seen.
func (b *book) remove(m *member) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	delete(b.members, m)
	for _, c := range b.open {
		if _, done := c.seen[m]; !done && c.concerns(m) && m.started.Before(c.at) {
			c.countDown()
		}
	}
}

// begin opens a change that counts from now on. Light members see it if they are told to.
func (b *book) begin(light bool, holds func(*watch.Snapshot) bool) *change {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c := &change{at: time.Now(), light: light, holds: holds, seen: make(map[*member]time.Time, len(b.members)),
		all: make(chan struct{})}
	for m := range b.members {
		if c.concerns(m) {
			c.left++
		}
	}
	b.open = append(b.open, c)
	return c
}

func (c *change) concerns(m *member) bool { return c.light || !m.light }

// acknowledged moves the moment from which on a change counts.
func (b *book) acknowledged(c *change, at time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	c.at = at
}

// learned notes what a member holds now.
func (b *book) learned(m *member, snapshot *watch.Snapshot, at time.Time) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, c := range b.open {
		if _, done := c.seen[m]; done || !c.concerns(m) || !c.holds(snapshot) {
			continue
		}
		c.seen[m] = at
		if m.started.Before(c.at) {
			c.countDown()
		}
	}
}

func (c *change) countDown() {
	if c.left--; c.left == 0 {
		close(c.all)
	}
}

// close ends changes and returns how long each member took for each, and how many were never seen by a member that was there
// all the time.
func (b *book) close() (took []time.Duration, missed int) {
	b.mutex.Lock()
	defer b.mutex.Unlock()
	for _, c := range b.open {
		for m := range b.members {
			if !c.concerns(m) || !m.started.Before(c.at) {
				continue
			}
			if at, done := c.seen[m]; done {
				took = append(took, max(at.Sub(c.at), 0))
			} else {
				missed++
			}
		}
	}
	b.open = nil
	return took, missed
}

// holdsConfig tells whether a snapshot has a configuration of that revision or above. In a fleet that was only sent good
// configurations, one by one, it is their number.
func holdsConfig(revision int64) func(*watch.Snapshot) bool {
	return func(s *watch.Snapshot) bool { return int64(s.Version.ConfigRevision) >= revision }
}

// holdsInstance tells whether a snapshot lists a worker at that version.
func holdsInstance(id, version string) func(*watch.Snapshot) bool {
	return func(s *watch.Snapshot) bool {
		at, found := slices.BinarySearchFunc(s.Instances, id, compareID)
		return found && s.Instances[at].Version == version
	}
}

func compareID(instance fleetwire.Instance, id string) int { return cmp.Compare(instance.ID, id) }
