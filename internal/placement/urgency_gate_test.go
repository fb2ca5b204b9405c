package placement

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
)

// gateLoad offers jobs of priority 0 and 1 to a gate in turn, each served with the probability of its kind, and returns the
// fraction of the less urgent ones that the gate refused in the last second.
func gateLoad(gate *urgencyGate, from time.Time, span time.Duration, served [2]float64) float64 {
	const interval = 10 * time.Millisecond
	refused, offered := 0, 0
	credit := [2]float64{}
	for now := from; now.Before(from.Add(span)); now = now.Add(interval) {
		for priority := range served {
			admitted := gate.admits(priority, now)
			if priority == 1 && now.After(from.Add(span-time.Second)) {
				offered++
				if !admitted {
					refused++
				}
			}
			if !admitted {
				continue
			}
			credit[priority] += served[priority]
			if credit[priority] >= 1 {
				credit[priority]--
				gate.record(priority, true, now)
			} else {
				gate.record(priority, false, now)
			}
		}
	}
	return float64(refused) / float64(max(1, offered))
}

func TestUrgencyGateRefusesNothingWithoutALead(t *testing.T) {
	start := time.Now()
	for _, shares := range [][2]float64{{1, 1}, {0.9, 0.9}, {0.9, 0.2}, {1, 0}} {
		require.Zero(t, gateLoad(newUrgencyGate(), start, 20*time.Second, shares), shares)
	}
}

// While the less urgent kind leads, the gate takes its share down to that of the more urgent one, but never wholly away. Once
// all jobs find workers again, it soon refuses nothing.
func TestUrgencyGateEndsTheLead(t *testing.T) {
	gate, start := newUrgencyGate(), time.Now()
	require.InDelta(t, 0.5, gateLoad(gate, start, 30*time.Second, [2]float64{0.4, 0.8}), 0.15)
	require.InDelta(t, maxRefusal, gateLoad(gate, start.Add(30*time.Second), 30*time.Second, [2]float64{0, 1}), 0.1)
	require.Less(t, gateLoad(gate, start.Add(60*time.Second), 20*time.Second, [2]float64{1, 1}), 0.05)
	gate.kinds[1].refusal = maxRefusal
	require.Zero(t, gateLoad(gate, start.Add(2*time.Hour), 2*time.Second, [2]float64{1, 1}), "after a pause")
}

// Guards against jobs that are refused after a pause, as if the lead from before it had lasted through it.
func TestLeadFromBeforeAPauseRefusesNothingAfterIt(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, shareWindow, time.Minute, time.Hour} {
		gate, start := newUrgencyGate(), time.Now()
		gateLoad(gate, start, time.Second, [2]float64{0.5, 1})
		before := gate.kinds[1].refusal
		gate.admits(1, start.Add(time.Second+pause))
		require.LessOrEqual(t, gate.kinds[1].refusal, before+refusalGain*maxLeadTime.Seconds(), pause)
		if pause > shareWindow {
			require.Zero(t, gate.kinds[1].refusal, pause)
		}
	}
}

func TestRefusalsAreLoggedInIntervals(t *testing.T) {
	gate, start := newUrgencyGate(), time.Now()
	require.Zero(t, gate.dueLog(start), "nothing was refused")
	gate.refused = 3
	require.Equal(t, 3, gate.dueLog(start))
	gate.refused = 2
	require.Zero(t, gate.dueLog(start.Add(refusalLogInterval/2)))
	require.Equal(t, 2, gate.dueLog(start.Add(refusalLogInterval)))
}

// Only jobs that found no worker count: refusing others does not help one that a worker has failed, nor a client that has left.
func TestOutcomesThatCountForUrgency(t *testing.T) {
	gone, leave := context.WithCancel(t.Context())
	leave()
	late, cancel := context.WithTimeout(t.Context(), 0)
	defer cancel()
	<-late.Done()
	for name, test := range map[string]struct {
		ctx     context.Context
		stage   string
		outcome JobOutcome
		want    bool
	}{
		"served":                   {t.Context(), fleetwire.StageDecode, JobOutcome{Decision: DecisionServed, Runs: 1}, true},
		"prompt read":              {t.Context(), fleetwire.StagePrefill, JobOutcome{Decision: DecisionServed, Runs: 1}, false},
		"no worker":                {t.Context(), fleetwire.StagePrefill, JobOutcome{Decision: DecisionRefused}, true},
		"no worker in time":        {late, "", JobOutcome{Decision: DecisionFailed}, true},
		"failed by a worker":       {t.Context(), "", JobOutcome{Decision: DecisionFailed, Runs: 1}, false},
		"the client left":          {gone, "", JobOutcome{Decision: DecisionFailed}, false},
		"the client left a stream": {gone, "", JobOutcome{Decision: DecisionFailed, Runs: 1}, false},
	} {
		require.Equal(t, test.want, countsForUrgency(test.ctx, &Job{Stage: test.stage}, test.outcome), name)
	}
}

// A request whose prompt has been read must not be refused for its urgency at the next stage: that would waste the reading.
func TestGateDoesNotRefuseARequestMidway(t *testing.T) {
	placer := newTestPlacer(&fakeProber{reports: map[string]Report{"decode-0": {}, "decode-1": {}}})
	placer.Update(snapshot(1, workers("decode", 2)))
	job := testJob("decode")
	job.Route.Priority = 1
	gate := placer.gateFor(job.Service)
	gate.random = func() float64 { return 0 }
	place := func() Decision {
		gate.kinds[1] = jobKind{refusal: maxRefusal, updatedAt: time.Now().Add(time.Hour)}
		return placer.Place(t.Context(), job, func(context.Context, fleetwire.Instance, func() bool) Result { return ResultServed }).Decision
	}
	require.Equal(t, DecisionRefused, place())
	job.Continues = true
	require.Equal(t, DecisionServed, place())
}
