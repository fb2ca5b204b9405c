package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

func TestEvidencePassesEachObservationOnOnce(t *testing.T) {
	var h evidence
	h.seen([]fleetwire.Observation{{Worker: "a"}})
	h.seen([]fleetwire.Observation{{Worker: "b"}})
	require.Len(t, h.take(), 2)
	require.Empty(t, h.take())
	h.seen(make([]fleetwire.Observation, 2*mostObservations))
	require.Len(t, h.take(), mostObservations)
}

func TestDoubtsEndWhenTheControllersAreNotHeard(t *testing.T) {
	var h evidence
	now := time.Now()
	doubts := []fleetwire.Doubt{{Worker: "a", Avoid: true}}
	require.Empty(t, h.doubts(now))
	h.told(now, doubts)
	require.Equal(t, doubts, h.doubts(now.Add(doubtsKept)))
	require.Empty(t, h.doubts(now.Add(doubtsKept+time.Millisecond)))
	h.told(now.Add(time.Minute), nil)
	require.Empty(t, h.doubts(now.Add(time.Minute)))
}
