package router

import (
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/evidence"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// polledKinds returns the kinds of the observations in the next poll, by worker.
func polledKinds(o *observations) map[string]evidence.Kind {
	var request fleetwire.WatchRequest
	o.addTo(&request)
	kinds := map[string]evidence.Kind{}
	for _, observation := range request.Observations {
		kinds[observation.Worker] = evidence.Kind(observation.Kind)
	}
	return kinds
}

func TestSuccessesAreReportedOnlyForDoubtedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObservations()
		o.record("fails", placement.ResultFailed)
		o.record("breaks", placement.ResultConnectionBroken)
		o.record("spoils", placement.ResultMalformed)
		o.record("hangs", placement.ResultTimedOut)
		o.record("gone", placement.ResultConnectFailed)
		o.record("full", placement.ResultNotExecuted)
		o.record("cancelled", placement.ResultCancelled)
		o.record("serves", placement.ResultServed)
		require.Equal(t, map[string]evidence.Kind{
			"fails": evidence.Failed, "breaks": evidence.Failed, "spoils": evidence.Failed, "hangs": evidence.TimedOut, "gone": evidence.Unreachable,
		}, polledKinds(o))
		require.Empty(t, polledKinds(o), "there are no new observations")
		require.Empty(t, o.newSuspects([]fleetwire.Doubt{{Worker: "serves"}}))
		require.Equal(t, map[string]evidence.Kind{"serves": evidence.Succeeded}, polledKinds(o))
		time.Sleep(observationSpan)
		require.Empty(t, polledKinds(o))
	})
}

func TestSuspectIsPassedOnAgainAfterInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObservations()
		doubts := []fleetwire.Doubt{{Worker: "a", Avoid: true}, {Worker: "b"}}
		require.Equal(t, []string{"a"}, o.newSuspects(doubts))
		require.Empty(t, o.newSuspects(doubts))
		time.Sleep(suspectInterval)
		require.Equal(t, []string{"a"}, o.newSuspects(doubts))
		require.Empty(t, o.newSuspects(nil))
		require.Equal(t, []string{"a"}, o.newSuspects(doubts), "the worker came under suspicion again")
	})
}

func TestObservationsPerPollAreLimited(t *testing.T) {
	o := newObservations()
	for i := range 3 * maxObservationsPerPoll {
		o.record(itoa(i), placement.ResultFailed)
	}
	require.Len(t, polledKinds(o), maxObservationsPerPoll)
}

func TestPushResultIsRecorded(t *testing.T) {
	fixture := newFixture(t)
	address := fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) {
		setValidHeader(w, r, "s")
		w.WriteHeader(http.StatusInternalServerError)
	})
	fixture.exchange(http.MethodPost, "/unsafe/x", "r1")
	require.Equal(t, map[string]evidence.Kind{"i-" + address: evidence.Failed}, polledKinds(fixture.router.observations))
}

func TestOwnConnectionLimitIsNotRecorded(t *testing.T) {
	fixture := newFixture(t)
	fixture.config.Services[0].MaxConnections = 1
	entered, release := make(chan struct{}), make(chan struct{})
	fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-release
		setValidHeader(w, r, "s")
	})
	first := make(chan int, 1)
	go func() {
		response, _ := fixture.exchange(http.MethodPost, "/unsafe/x", "r1")
		first <- response.StatusCode
	}()
	<-entered
	second, _ := fixture.exchange(http.MethodPost, "/unsafe/x", "r2")
	require.Equal(t, http.StatusServiceUnavailable, second.StatusCode)
	require.Equal(t, []placement.Result{placement.ResultNotExecuted}, fixture.placer.pushResults())
	close(release)
	require.Equal(t, http.StatusOK, <-first)
	require.Empty(t, polledKinds(fixture.router.observations))
}

func TestGaveUpWaiting(t *testing.T) {
	for _, test := range []struct {
		targetLatency, waited time.Duration
		want                  bool
	}{
		{targetLatency: 250 * time.Millisecond, waited: time.Second, want: false},
		{targetLatency: 250 * time.Millisecond, waited: 2 * time.Second, want: true},
		{targetLatency: time.Second, waited: 2 * time.Second, want: false},
		{targetLatency: time.Second, waited: 4 * time.Second, want: true},
	} {
		require.Equal(t, test.want, gaveUpWaiting(test.targetLatency, test.waited), "%+v", test)
	}
}
