package hollow

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

func withConfig(version int64) *watch.Snapshot {
	return &watch.Snapshot{Version: fleetwire.Version{ConfigRevision: uint64(version)}}
}

// The latency of a change runs from its acknowledgement to a member's first snapshot that contains it. Members that start later
// are left out.
func TestTracker(t *testing.T) {
	start := time.Now()
	tracker := newChangeTracker()
	early, slow, late := &member{started: start.Add(-2)}, &member{started: start.Add(-1)}, &member{started: start.Add(time.Hour)}
	tracker.add(early)
	tracker.add(slow)
	c := tracker.track(true, hasConfig(7))
	acknowledged := start.Add(time.Second)
	tracker.setStart(c, acknowledged)
	tracker.add(late)

	tracker.observe(early, withConfig(6), acknowledged.Add(1))
	tracker.observe(early, withConfig(7), acknowledged.Add(-5))
	tracker.observe(early, withConfig(8), acknowledged.Add(9))
	assert.False(t, isClosed(c.allSeen))
	tracker.observe(late, withConfig(8), acknowledged.Add(2))
	assert.False(t, isClosed(c.allSeen), "a member that started later must not count")
	tracker.observe(slow, withConfig(9), acknowledged.Add(3))
	assert.True(t, isClosed(c.allSeen))

	took, missed := tracker.finish()
	assert.ElementsMatch(t, []time.Duration{0, 3}, took)
	assert.Zero(t, missed)
	assert.Empty(t, tracker.pending())
}

// Changes don't wait for a stopped member, and a member that never saw a change counts as missed.
func TestTrackerWithStoppedMembers(t *testing.T) {
	tracker := newChangeTracker()
	stopped, running := &member{started: time.Now().Add(-2)}, &member{started: time.Now().Add(-1)}
	tracker.add(stopped)
	tracker.add(running)
	first := tracker.track(true, hasConfig(1))
	tracker.observe(running, withConfig(1), time.Now())
	tracker.remove(stopped)
	assert.True(t, isClosed(first.allSeen))
	tracker.track(true, hasConfig(2))
	_, missed := tracker.finish()
	assert.Equal(t, 1, missed)
}

// Light members count only for changes that apply to them.
func TestTrackerWithLightMembers(t *testing.T) {
	tracker := newChangeTracker()
	full, light := &member{started: time.Now().Add(-2)}, &member{started: time.Now().Add(-1), light: true}
	tracker.add(full)
	tracker.add(light)
	c := tracker.track(false, hasConfig(1))
	tracker.observe(light, withConfig(1), time.Now())
	assert.False(t, isClosed(c.allSeen))
	tracker.observe(full, withConfig(1), time.Now())
	assert.True(t, isClosed(c.allSeen))
	tracker.track(true, hasConfig(2))
	took, missed := tracker.finish()
	assert.Len(t, took, 1)
	assert.Equal(t, 2, missed)
}

func TestSnapshotConditions(t *testing.T) {
	snapshot := &watch.Snapshot{Instances: []fleetwire.Instance{{ID: "a", Version: "v1"}, {ID: "c", Version: "c3"}}}
	assert.True(t, hasInstance("c", "c3")(snapshot))
	assert.False(t, hasInstance("c", "c4")(snapshot))
	assert.False(t, hasInstance("b", "c3")(snapshot))
	assert.False(t, hasConfig(1)(snapshot))
}
