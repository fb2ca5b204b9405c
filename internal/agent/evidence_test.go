package agent

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

func TestEachObservationIsForwardedOnce(t *testing.T) {
	var e evidence
	e.add([]fleetwire.Observation{{Worker: "a"}})
	e.add([]fleetwire.Observation{{Worker: "b"}})
	require.Len(t, e.take(), 2)
	require.Empty(t, e.take())
	e.add(make([]fleetwire.Observation, 2*maxPendingObservations))
	require.Len(t, e.take(), maxPendingObservations)
}

func TestSuspectsExpireWithoutRepliesFromControllers(t *testing.T) {
	var e evidence
	now := time.Now()
	suspects := []fleetwire.Doubt{{Worker: "a", Avoid: true}}
	require.Empty(t, e.suspects(now))
	e.setSuspects(now, suspects)
	require.Equal(t, suspects, e.suspects(now.Add(suspectTTL)))
	require.Empty(t, e.suspects(now.Add(suspectTTL+time.Millisecond)))
	e.setSuspects(now.Add(time.Minute), nil)
	require.Empty(t, e.suspects(now.Add(time.Minute)))
}
