package hollow

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

// change is a new configuration or worker-list entry that every member it applies to should receive.
type change struct {
	since     time.Time // start of the latency measurement: the acknowledgement, or the entry in the platform's list
	light     bool      // it applies to light members too
	visibleIn func(*watch.Snapshot) bool
	seen      map[*member]time.Time
	allSeen   chan struct{} // closed once all members that were registered when tracking began have seen it or stopped
	remaining int           // members that allSeen still waits for
}

// changeTracker records when each member received each change. It is safe for concurrent use.
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

// remove unregisters a member that stops. Open changes no longer wait for it.
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

// track opens a change whose latency is measured from now on. With light it applies to light members too.
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

// setStart sets the time from which the latency of a change is measured.
func (t *changeTracker) setStart(c *change, at time.Time) {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	c.since = at
}

// observe records the changes that are visible in a member's current snapshot.
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

// finish closes all open changes. It returns the latencies of each member and change, and the number of changes that a member
// missed. Members that started after a change are left out.
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

// hasConfig returns a condition that holds if a snapshot has the given configuration revision or a later one. The revision
// equals the number of configurations sent, as long as all of them are valid and sent one at a time.
func hasConfig(revision int64) func(*watch.Snapshot) bool {
	return func(s *watch.Snapshot) bool { return int64(s.Version.ConfigRevision) >= revision }
}

// hasInstance returns a condition that holds if a snapshot lists the given worker at the given version.
func hasInstance(id, version string) func(*watch.Snapshot) bool {
	return func(s *watch.Snapshot) bool {
		at, found := slices.BinarySearchFunc(s.Instances, id, compareID)
		return found && s.Instances[at].Version == version
	}
}

func compareID(instance fleetwire.Instance, id string) int { return cmp.Compare(instance.ID, id) }
