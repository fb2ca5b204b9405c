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

// said returns what the next poll says.
func said(o *observations) map[string]evidence.Kind {
	var request fleetwire.WatchRequest
	o.addTo(&request)
	kinds := map[string]evidence.Kind{}
	for _, seen := range request.Observations {
		kinds[seen.Worker] = evidence.Kind(seen.Kind)
	}
	return kinds
}

func TestComplaintsAreSaidAndPraiseOnlyWhereOthersComplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObservations()
		o.record("fails", placement.ResultFailed)
		o.record("breaks", placement.ResultConnectionBroken)
		o.record("hangs", placement.ResultTimedOut)
		o.record("gone", placement.ResultConnectFailed)
		o.record("full", placement.ResultNotExecuted)
		o.record("left", placement.ResultCancelled)
		o.record("serves", placement.ResultServed)
		require.Equal(t, map[string]evidence.Kind{
			"fails": evidence.Failed, "breaks": evidence.Failed, "hangs": evidence.Late, "gone": evidence.Lost,
		}, said(o))
		require.Empty(t, said(o), "nothing is new")
		require.Empty(t, o.newSuspects([]fleetwire.Doubt{{Worker: "serves"}}))
		require.Equal(t, map[string]evidence.Kind{"serves": evidence.Fine}, said(o))
		time.Sleep(observationSpan)
		require.Empty(t, said(o))
	})
}

func TestAWorkerInDoubtIsDistrustedAnewAtAPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		o := newObservations()
		doubts := []fleetwire.Doubt{{Worker: "a", Avoid: true}, {Worker: "b"}}
		require.Equal(t, []string{"a"}, o.newSuspects(doubts))
		require.Empty(t, o.newSuspects(doubts))
		time.Sleep(suspectInterval)
		require.Equal(t, []string{"a"}, o.newSuspects(doubts))
		require.Empty(t, o.newSuspects(nil))
		require.Equal(t, []string{"a"}, o.newSuspects(doubts), "it is in doubt once more")
	})
}

func TestWhatIsSaidAtOnceIsBounded(t *testing.T) {
	o := newObservations()
	for i := range 3 * maxObservationsPerPoll {
		o.record(itoa(i), placement.ResultFailed)
	}
	require.Len(t, said(o), maxObservationsPerPoll)
}

func TestEachPushIsObserved(t *testing.T) {
	f := newFixture(t)
	address := f.worker("", func(w http.ResponseWriter, r *http.Request) {
		stamped(w, r, "s")
		w.WriteHeader(http.StatusInternalServerError)
	})
	f.get(http.MethodPost, "/unsafe/x", "r1")
	require.Equal(t, map[string]evidence.Kind{"i-" + address: evidence.Failed}, said(f.router.observations))
}

func TestALimitOfOnesOwnSaysNothingOfTheWorker(t *testing.T) {
	f := newFixture(t)
	f.config.Services[0].MaxConnections = 1
	entered, release := make(chan struct{}), make(chan struct{})
	f.worker("", func(w http.ResponseWriter, r *http.Request) {
		close(entered)
		<-release
		stamped(w, r, "s")
	})
	first := make(chan int, 1)
	go func() {
		response, _ := f.get(http.MethodPost, "/unsafe/x", "r1")
		first <- response.StatusCode
	}()
	<-entered
	second, _ := f.get(http.MethodPost, "/unsafe/x", "r2")
	require.Equal(t, http.StatusServiceUnavailable, second.StatusCode)
	require.Equal(t, []placement.Result{placement.ResultNotExecuted}, f.placer.seen())
	close(release)
	require.Equal(t, http.StatusOK, <-first)
	require.Empty(t, said(f.router.observations))
}

func TestAClientThatLeavesASilentWorkerCountsAgainstIt(t *testing.T) {
	for _, test := range []struct {
		aim, waited time.Duration
		counts      bool
	}{
		{aim: 250 * time.Millisecond, waited: time.Second, counts: false},
		{aim: 250 * time.Millisecond, waited: 2 * time.Second, counts: true},
		{aim: time.Second, waited: 2 * time.Second, counts: false},
		{aim: time.Second, waited: 4 * time.Second, counts: true},
	} {
		require.Equal(t, test.counts, gaveUpWaiting(test.aim, test.waited), "%+v", test)
	}
}
