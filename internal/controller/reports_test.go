package controller

import (
	"context"
	"fmt"
	"net"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/internal/evidence"
	"weldscale/internal/fleetwire"
)

// testServices maps the workers w0, w1 and so on to one service.
func testServices(count int) map[string]string {
	services := map[string]string{}
	for i := range count {
		services["w"+strconv.Itoa(i)] = "s"
	}
	return services
}

// constantServices returns a function that always returns the same services.
func constantServices(services map[string]string) func() map[string]string {
	return func() map[string]string { return services }
}

// testRouter returns the member that polls for a router of a zone.
func testRouter(number int, zone string) fleetwire.Member {
	return fleetwire.Member{Name: fmt.Sprintf("%s-%d", zone, number), Zone: zone, Role: fleetwire.RoleAgent}
}

// testObservation returns one observation of a worker as sent by a router.
func testObservation(worker string, kind evidence.Kind, sequence uint64) []fleetwire.Observation {
	return []fleetwire.Observation{{Worker: worker, Kind: int(kind), Life: 1, Sequence: sequence}}
}

// avoidedWorkers returns the workers to avoid.
func avoidedWorkers(doubts []fleetwire.Doubt) []string {
	var names []string
	for _, doubt := range doubts {
		if doubt.Avoid {
			names = append(names, doubt.Worker)
		}
	}
	return names
}

func TestWorkerIsAvoidedWhenEnoughRoutersOfAZoneComplain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := testServices(30)
		r := newReports(time.Now())
		const routers = 23
		for i := range 3 {
			r.recordObservations(testRouter(i, "a"), testObservation("w1", evidence.Failed, 1), services)
		}
		require.Equal(t, []fleetwire.Doubt{{Worker: "w1"}}, r.doubts("a", constantServices(services), routers), "three complaints are too few")
		r.recordObservations(testRouter(3, "a"), testObservation("w1", evidence.TimedOut, 1), services)
		require.Equal(t, []string{"w1"}, avoidedWorkers(r.doubts("a", constantServices(services), routers)))
		require.Empty(t, r.doubts("b", constantServices(services), routers), "the worker may serve another zone well")
		for i := 4; i < 20; i++ {
			r.recordObservations(testRouter(i, "a"), testObservation("w1", evidence.Succeeded, 1), services)
		}
		require.Empty(t, avoidedWorkers(r.doubts("a", constantServices(services), routers)), "most routers report success")
		time.Sleep(reportSpan)
		require.Empty(t, r.doubts("a", constantServices(services), routers), "expired reports must not count")
	})
}

func TestOneRouterCannotEjectAWorker(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		services := testServices(rapid.IntRange(1, 20).Draw(t, "workers"))
		routers := rapid.IntRange(1, 30).Draw(t, "routers")
		r := newReports(time.Now())
		for sequence := range uint64(rapid.IntRange(1, 60).Draw(t, "reports")) {
			worker := fmt.Sprintf("w%d", rapid.IntRange(0, 25).Draw(t, "worker"))
			kind := evidence.Kind(rapid.IntRange(0, 3).Draw(t, "kind"))
			r.recordObservations(testRouter(0, "a"), testObservation(worker, kind, sequence), services)
			if avoidedWorkers(r.doubts("a", constantServices(services), routers)) != nil {
				t.Fatal("the reports of one router were enough to avoid a worker")
			}
		}
	})
}

func TestAvoidedWorkersStayWithinTheirShare(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		workers := rapid.IntRange(1, 40).Draw(t, "workers")
		services := testServices(workers)
		r := newReports(time.Now())
		for i := range 12 {
			for sequence := range uint64(workers) {
				if rapid.Bool().Draw(t, "complains") {
					r.recordObservations(testRouter(i, "a"), testObservation(fmt.Sprintf("w%d", sequence), evidence.Failed, sequence+1), services)
				}
			}
		}
		if n := len(avoidedWorkers(r.doubts("a", constantServices(services), 12))); float64(n) > maxAvoidedShare*float64(workers) {
			t.Fatalf("%d of %d workers are avoided", n, workers)
		}
	})
}

func TestReportsAreForwardedForALimitedTimeAndOnlyOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		services := testServices(5)
		first, second := newReports(time.Now()), newReports(time.Now())
		first.recordObservations(testRouter(0, "a"), testObservation("w1", evidence.Failed, 1), services)
		first.recordObservations(testRouter(0, "a"), testObservation("gone", evidence.Failed, 2), services)
		time.Sleep(heartbeatInterval)
		forwarded := first.toForward()
		require.Len(t, forwarded, 1, "reports on a worker that is not listed must be dropped")
		require.Equal(t, heartbeatInterval.Milliseconds(), forwarded[0].Seen.AgeMs)
		second.recordForwarded(forwarded, services)
		require.Equal(t, []fleetwire.Doubt{{Worker: "w1"}}, second.doubts("a", constantServices(services), 3))
		require.Empty(t, second.toForward(), "only the controller that a router polls forwards its reports")
		time.Sleep(forwardSpan)
		require.Empty(t, first.toForward())
	})
}

func TestRouterObservationsReachRoutersOfOtherControllers(t *testing.T) {
	f := newFleet(t, 3)
	f.platform.set(worker("w0", "ready"), worker("w1", "ready"), worker("w2", "ready"))
	require.Equal(t, 200, f.replace(0, 0, configBody(1)))
	f.eventually("the list at every controller", f.everywhere(showsWorker("w1", "ready")))
	poll := func(at, number int, observations []fleetwire.Observation) fleetwire.WatchReply {
		var reply fleetwire.WatchReply
		request := fleetwire.WatchRequest{Member: testRouter(number, "z"), Observations: observations}
		address := net.JoinHostPort(f.settings[at].IP, strconv.Itoa(f.settings[at].InternalPorts[0]))
		require.NoError(t, f.client.Call(context.Background(), address, fleetwire.PathWatch, request, &reply))
		return reply
	}
	poll(0, 0, testObservation("w1", evidence.Failed, 1))
	poll(1, 1, testObservation("w1", evidence.Unreachable, 1))
	f.eventually("the third controller to report the worker", func() bool {
		doubts := poll(2, 2, nil).Doubts
		return len(doubts) == 1 && doubts[0] == fleetwire.Doubt{Worker: "w1", Avoid: true}
	})
}
