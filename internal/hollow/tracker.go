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
	since     time.Time // from when on it counts: the acknowledgement, or the entry in the platform's list
	light     bool      // light members see it as well
	visibleIn func(*watch.Snapshot) bool
	seen      map[*member]time.Time
	allSeen   chan struct{} // closed once all members that the book knew at the start have seen it
	remaining int
}

// changeTracker tracker when each member learned of each change.
type changeTracker struct {
	mutex   sync.Mutex
	members map[*member]bool
	open    []*change
}

func newChangeTracker() *changeTracker { return &changeTracker{members: map[*member]bool{}} }

func (t *changeTracker) add(m *member) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.members[m] = true
}

// remove drops a member that ends, and what it has not seen.
func (t *changeTracker) remove(m *member) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	delete(t.members, m)
	for _, c := range t.open {
		if _, done := c.seen[m]; !done && c.appliesTo(m) && m.started.Before(c.since) {
			c.countDown()
		}
	}
}

// begin opens a change that counts from now on. Light members see it if they are told to.
func (t *changeTracker) track(light bool, visibleIn func(*watch.Snapshot) bool) *change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c := &change{since: time.Now(), light: light, visibleIn: visibleIn, seen: make(map[*member]time.Time, len(t.members)),
		allSeen: make(chan struct{})}
	for m := range t.members {
		if c.appliesTo(m) {
			c.remaining++
		}
	}
	t.open = append(t.open, c)
	return c
}

func (c *change) appliesTo(m *member) bool { return c.light || !m.light }

// acknowledged moves the moment from which on a change counts.
func (t *changeTracker) setStart(c *change, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c.since = at
}

// learned tracker what a member holds now.
func (t *changeTracker) observe(m *member, snapshot *watch.Snapshot, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, c := range t.open {
		if _, done := c.seen[m]; done || !c.appliesTo(m) || !c.visibleIn(snapshot) {
			continue
		}
		c.seen[m] = at
		if m.started.Before(c.since) {
			c.countDown()
		}
	}
}

func (c *change) countDown() {
	if c.remaining--; c.remaining == 0 {
		close(c.allSeen)
	}
}

// close ends changes and returns how long each member took for each, and how many were never seen by a member that was there
// all the time.
func (t *changeTracker) finish() (took []time.Duration, missed int) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	for _, c := range t.open {
		for m := range t.members {
			if !c.appliesTo(m) || !m.started.Before(c.since) {
				continue
			}
			if at, done := c.seen[m]; done {
				took = append(took, max(at.Sub(c.since), 0))
			} else {
				missed++
			}
		}
	}
	t.open = nil
	return took, missed
}

// hasConfig tells whether a snapshot has a configuration of that revision or above. In a fleet that was only sent good
// configurations, one by one, it is their number.
func hasConfig(revision int64) func(*watch.Snapshot) bool {
	return func(s *watch.Snapshot) bool { return int64(s.Version.ConfigRevision) >= revision }
}

// hasInstance tells whether a snapshot lists a worker at that version.
func hasInstance(id, version string) func(*watch.Snapshot) bool {
	return func(s *watch.Snapshot) bool {
		at, found := slices.BinarySearchFunc(s.Instances, id, compareID)
		return found && s.Instances[at].Version == version
	}
}

func compareID(instance fleetwire.Instance, id string) int { return cmp.Compare(instance.ID, id) }
