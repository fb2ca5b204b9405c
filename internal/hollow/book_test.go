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

// A change counts from its acknowledgement for each member that was there, at the first snapshot that holds it.
func TestBook(t *testing.T) {
	start := time.Now()
	notes := newBook()
	early, slow, late := &member{started: start.Add(-2)}, &member{started: start.Add(-1)}, &member{started: start.Add(time.Hour)}
	notes.add(early)
	notes.add(slow)
	c := notes.begin(true, holdsConfig(7))
	acknowledged := start.Add(time.Second)
	notes.acknowledged(c, acknowledged)
	notes.add(late)

	notes.learned(early, withConfig(6), acknowledged.Add(1))
	notes.learned(early, withConfig(7), acknowledged.Add(-5))
	notes.learned(early, withConfig(8), acknowledged.Add(9))
	assert.False(t, isClosed(c.all))
	notes.learned(late, withConfig(8), acknowledged.Add(2))
	assert.False(t, isClosed(c.all), "one that came later doesn't count")
	notes.learned(slow, withConfig(9), acknowledged.Add(3))
	assert.True(t, isClosed(c.all))

	took, missed := notes.close()
	assert.ElementsMatch(t, []time.Duration{0, 3}, took)
	assert.Zero(t, missed)
	assert.Empty(t, notes.pending())
}

// A member that ends isn't awaited, and one that never learned counts as missed.
func TestBookOfMembersThatEnd(t *testing.T) {
	notes := newBook()
	ends, stays := &member{started: time.Now().Add(-2)}, &member{started: time.Now().Add(-1)}
	notes.add(ends)
	notes.add(stays)
	first := notes.begin(true, holdsConfig(1))
	notes.learned(stays, withConfig(1), time.Now())
	notes.remove(ends)
	assert.True(t, isClosed(first.all))
	notes.begin(true, holdsConfig(2))
	_, missed := notes.close()
	assert.Equal(t, 1, missed)
}

// Light members count only for changes that they can see.
func TestBookOfLightMembers(t *testing.T) {
	notes := newBook()
	full, light := &member{started: time.Now().Add(-2)}, &member{started: time.Now().Add(-1), light: true}
	notes.add(full)
	notes.add(light)
	c := notes.begin(false, holdsConfig(1))
	notes.learned(light, withConfig(1), time.Now())
	assert.False(t, isClosed(c.all))
	notes.learned(full, withConfig(1), time.Now())
	assert.True(t, isClosed(c.all))
	notes.begin(true, holdsConfig(2))
	took, missed := notes.close()
	assert.Len(t, took, 1)
	assert.Equal(t, 2, missed)
}

func TestHoldsInstance(t *testing.T) {
	snapshot := &watch.Snapshot{Instances: []fleetwire.Instance{{ID: "a", Version: "v1"}, {ID: "c", Version: "c3"}}}
	assert.True(t, holdsInstance("c", "c3")(snapshot))
	assert.False(t, holdsInstance("c", "c4")(snapshot))
	assert.False(t, holdsInstance("b", "c3")(snapshot))
	assert.False(t, holdsConfig(1)(snapshot))
}
