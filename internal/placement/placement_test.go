package placement

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

// fakeProber answers probes from a table after a round trip of one millisecond, and records the probed workers.
type fakeProber struct {
	mu      sync.Mutex
	reports map[string]Report
	errs    map[string]error
	probed  []string
	delay   time.Duration // added to the round trip
}

func (f *fakeProber) Probe(_ context.Context, target fleetwire.Instance) (Report, error) {
	time.Sleep(time.Millisecond + f.delay) // virtual time: the tests run in a synctest bubble
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probed = append(f.probed, target.ID)
	return f.reports[target.ID], f.errs[target.ID]
}

// workers returns n ready workers of a stage that alternate between two zones.
func workers(stage string, n int) []fleetwire.Instance {
	var instances []fleetwire.Instance
	for i := range n {
		instances = append(instances, fleetwire.Instance{ID: fmt.Sprintf("%s-%d", stage, i), Service: "llm", Stage: stage,
			Zone: fmt.Sprintf("z%d", i%2), State: fleetwire.InstanceReady, Slots: 8})
	}
	return instances
}

// snapshot returns a snapshot of a fleet with these workers and one router.
func snapshot(sequence uint64, instances []fleetwire.Instance) *watch.Snapshot {
	return &watch.Snapshot{
		Version: fleetwire.Version{ConfigRevision: 1, Instances: fleetwire.ListVersion{Token: 1, Sequence: sequence}},
		Config: &fleetwire.Config{Services: []fleetwire.Service{
			{Name: "llm", Engine: &fleetwire.Engine{Slots: 8, HandleTTLS: 5}}}},
		Instances: instances,
		Routers:   1,
	}
}

func newTestPlacer(prober Prober) *Placer {
	return New(Options{Zone: "z0", Zones: []string{"z0", "z1"}, BudgetRatio: 0.2, BudgetSlack: 0,
		BudgetWindow: 10 * time.Second, Prober: prober, Log: zap.NewNop()})
}

// testJob returns a repeatable job that arrives now.
func testJob(stage string) Job {
	now := time.Now()
	return Job{Service: "llm", Stage: stage, Arrived: now, Deadline: now.Add(2 * time.Second), PromptTokens: 3000,
		Route:      &fleetwire.Route{RouteType: "streaming", TimeoutMs: 2000, TargetLatencyMs: 500},
		Repeatable: true, MaxRuns: 2, FirstPushFree: true}
}

func TestPushGoesToLessLoadedOfTwoProbedWorkers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{reports: map[string]Report{"decode-0": {Running: 6}, "decode-1": {Running: 1}}}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, workers("decode", 2)))
		var target string
		outcome := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, worker fleetwire.Instance, ready func() bool) Result {
			require.True(t, ready())
			target = worker.ID
			return ResultServed
		})
		require.Equal(t, DecisionServed, outcome.Decision)
		require.Equal(t, 1, outcome.Runs)
		require.Equal(t, "decode-1", target)
		slices.Sort(prober.probed)
		require.Equal(t, []string{"decode-0", "decode-1"}, prober.probed)
	})
}

func TestWorkerDrainingBeforeFirstByteIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		instances := workers("decode", 2)
		placer.Update(snapshot(1, instances))
		var sent []string
		outcome := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, worker fleetwire.Instance, ready func() bool) Result {
			if len(sent) == 0 {
				drained := slices.Clone(instances)
				for i := range drained {
					if drained[i].ID == worker.ID {
						drained[i].State = fleetwire.InstanceDraining
					}
				}
				placer.Update(snapshot(2, drained))
				sent = append(sent, "not "+worker.ID)
			}
			if !ready() {
				return ResultNotExecuted
			}
			sent = append(sent, worker.ID)
			return ResultServed
		})
		require.Equal(t, DecisionServed, outcome.Decision)
		require.Len(t, sent, 2)
		require.NotEqual(t, sent[0], "not "+sent[1])
	})
}

func TestNonRepeatableJobIsNotRetriedIfItMayHaveRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("decode", 4)))
		for _, result := range []Result{ResultConnectionBroken, ResultMalformed, ResultTimedOut, ResultFailed} {
			job := testJob("decode")
			job.Repeatable = false
			pushes := 0
			outcome := placer.Place(t.Context(), job, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				pushes++
				return result
			})
			require.Equal(t, DecisionFailed, outcome.Decision)
			require.Equal(t, 1, pushes)
		}
	})
}

func TestJobIsRefusedOnlyIfNothingRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("decode", 4)))
		job := testJob("decode")
		outcome := placer.Place(t.Context(), job, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			return ResultNotExecuted
		})
		require.Equal(t, DecisionRefused, outcome.Decision)
		require.Positive(t, outcome.RetryAfter)
		job = testJob("decode")
		job.Runs = 1
		outcome = placer.Place(t.Context(), job, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			return ResultNotExecuted
		})
		require.Equal(t, DecisionFailed, outcome.Decision)
	})
}

func TestMaxRunsLimitsRetries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("decode", 8)))
		for range 50 { // the retry budget grows with the requests
			placer.Place(t.Context(), testJob("decode"), func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				return ResultServed
			})
		}
		runs := 0
		outcome := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			runs++
			return ResultConnectionBroken
		})
		require.Equal(t, DecisionFailed, outcome.Decision)
		require.Equal(t, 2, runs)
	})
}

func TestPrefillPrefersPrefixHolderUnlessOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{reports: map[string]Report{}}
		placer := newTestPlacer(prober)
		instances := workers("prefill", 8)
		placer.Update(snapshot(1, instances))
		job := testJob("prefill")
		job.PromptParts = []PromptPart{{"head", 500}, {"book", 2000}, {"own", 500}}
		holder := prefixHolder("book", instances)
		recordTarget := func(targets *[]string) Push {
			return func(_ context.Context, worker fleetwire.Instance, ready func() bool) Result {
				ready()
				*targets = append(*targets, worker.ID)
				return ResultServed
			}
		}
		var targets []string
		for range 10 {
			job.Deadline = time.Now().Add(2 * time.Second)
			placer.Place(t.Context(), job, recordTarget(&targets))
			time.Sleep(time.Second)
		}
		require.Equal(t, slices.Repeat([]string{holder}, 10), targets)
		prober.reports[holder] = Report{Running: 8} // much more than the cached prefix saves and a second probe costs
		targets = nil
		job.Deadline = time.Now().Add(2 * time.Second)
		placer.Place(t.Context(), job, recordTarget(&targets))
		require.NotEqual(t, []string{holder}, targets)
	})
}

func TestClientDisconnectEndsJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("decode", 2)))
		ctx, cancel := context.WithCancel(t.Context())
		pushes := 0
		outcome := placer.Place(ctx, testJob("decode"), func(ctx context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			pushes++
			cancel()
			<-ctx.Done()
			return ResultCancelled
		})
		require.Equal(t, DecisionFailed, outcome.Decision)
		require.Equal(t, 1, pushes)
	})
}

func TestPrefixHolderIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := workers("prefill", rapid.IntRange(2, 40).Draw(t, "workers"))
		prefix := rapid.StringMatching(`[0-9a-f]{8}`).Draw(t, "prefix")
		holder := prefixHolder(prefix, instances)
		shuffled := slices.Clone(instances)
		rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if prefixHolder(prefix, shuffled) != holder {
			t.Fatal("the prefix holder depends on the order of the list")
		}
		removed := rapid.IntRange(0, len(instances)-1).Draw(t, "gone")
		if instances[removed].ID != holder && prefixHolder(prefix, slices.Delete(slices.Clone(instances), removed, removed+1)) != holder {
			t.Fatal("a prefix moved although its holder is still listed")
		}
	})
}

func TestRetryBudgetHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const window = 10 * time.Second
		ratio, slack := 0.2, float64(rapid.IntRange(0, 5).Draw(t, "slack"))
		budget := NewRetryBudget(ratio, slack, window)
		var requests, extras []time.Duration
		now := time.Duration(0)
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			now += time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond
			if rapid.Bool().Draw(t, "request") {
				budget.CountRequest(now)
				requests = append(requests, now)
			} else if budget.TrySpend(now) {
				extras = append(extras, now)
			}
			inWindow := func(times []time.Duration) (n float64) {
				for _, at := range times {
					if at > now-window {
						n++
					}
				}
				return n
			}
			// Requests and extras that left the window less than a bucket ago may still be counted.
			if spent, allowed := inWindow(extras), ratio*inWindow(requests)+slack; spent > allowed+1+ratio*20 {
				t.Fatalf("%v extras in a window, %v allowed", spent, allowed)
			}
		}
	})
}

func TestLargePromptIsPlacedBesideSmallJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{reports: map[string]Report{}}
		for i := range 4 {
			prober.reports[fmt.Sprintf("decode-%d", i)] = Report{Running: 3}
		}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, workers("decode", 4)))
		serve := func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			return ResultServed
		}
		for range 200 { // some small jobs get no slot, which must not raise the price of slots for the large one
			job := testJob("decode")
			placer.Place(t.Context(), job, serve)
		}
		large := testJob("decode")
		large.RunsPrefill = true
		large.PromptTokens = 60_000
		large.PromptParts = []PromptPart{{"head", 500}, {"book", 59_000}, {"own", 500}}
		outcome := placer.Place(t.Context(), large, serve)
		require.Equal(t, DecisionServed, outcome.Decision)
	})
}

// Guards against taking workers for slow, and so delaying jobs, only because a busy router handles the answers of its probes
// late.
func TestSlowProbesOnBusyRouterDoNotDelayJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, workers("prefill", 4)))
		serve := func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			time.Sleep(100 * time.Millisecond)
			return ResultServed
		}
		for range 50 {
			placer.Place(t.Context(), testJob("prefill"), serve)
		}
		prober.delay = 25 * time.Millisecond
		start := time.Now()
		outcome := placer.Place(t.Context(), testJob("prefill"), serve)
		require.Equal(t, DecisionServed, outcome.Decision)
		require.Less(t, time.Since(start), 130*time.Millisecond, "the job was delayed")
	})
}

func TestArrivalsAreCountedForEveryResult(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("prefill", 3)))
		for result, arrivals := range map[Result]int{ResultServed: 1, ResultConnectionBroken: 1, ResultMalformed: 1, ResultFailed: 1} {
			outcome := placer.Place(t.Context(), testJob("prefill"), func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				return result
			})
			require.Equal(t, arrivals, outcome.Arrivals, "the budget must not allow a second push")
		}
	})
}

func TestFailedConnectionCostsNoRetryBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("decode", 3)))
		unreachable := ""
		outcome := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, worker fleetwire.Instance, ready func() bool) Result {
			ready()
			if unreachable == "" || unreachable == worker.ID {
				unreachable = worker.ID
				return ResultConnectFailed
			}
			return ResultServed
		})
		require.Equal(t, DecisionServed, outcome.Decision)
		require.Equal(t, 1, outcome.Runs)
	})
}

func TestWorkerExecutingOrderGetsNoJobs(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{reports: map[string]Report{
			"decode-0": {Stage: "decode", Busy: true}, "decode-1": {Stage: "prefill"}, "decode-2": {Stage: "decode", Running: 7}}}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, workers("decode", 3)))
		for range 20 {
			outcome := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, worker fleetwire.Instance, ready func() bool) Result {
				ready()
				require.Equal(t, "decode-2", worker.ID)
				return ResultServed
			})
			require.Equal(t, DecisionServed, outcome.Decision)
		}
	})
}

func TestProbeReportIsReused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{reports: map[string]Report{"decode-0": {Running: 2}, "decode-1": {Running: 2}}}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, workers("decode", 2)))
		var targets []string
		finish := make(chan struct{})
		placeJob := func() {
			placer.Place(t.Context(), testJob("decode"), func(_ context.Context, worker fleetwire.Instance, ready func() bool) Result {
				ready()
				targets = append(targets, worker.ID)
				<-finish
				return ResultServed
			})
		}
		for range 4 {
			go placeJob()
			time.Sleep(2 * time.Millisecond)
			synctest.Wait()
		}
		require.Len(t, prober.probed, 2, "later choices must reuse one report of each worker")
		slices.Sort(targets)
		require.Equal(t, []string{"decode-0", "decode-0", "decode-1", "decode-1"}, targets, "own pushes must count in addition to the reused report")
		time.Sleep(probeReuse)
		go placeJob()
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		require.Len(t, prober.probed, 4, "an old report must not be reused")
		close(finish)
		synctest.Wait()
	})
}

func TestCachedPrefixOutweighsItsPrefill(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := workers("prefill", 8)
		job := testJob("prefill")
		job.PromptTokens = 6000
		job.PromptParts = []PromptPart{{"head", 512}, {"book", 4608}, {"own", 880}} // 4608 + 512 tokens are 5 cached units
		holder := prefixHolder("book", instances)
		for _, running := range []int{1, 7} { // 4 units each: below and above what 5 cached units and a second probe are worth
			prober := &fakeProber{reports: map[string]Report{holder: {Running: running}}}
			placer := newTestPlacer(prober)
			update := snapshot(1, instances)
			update.Config.Services[0].Engine.Slots = 128
			placer.Update(update)
			var target string
			job.Deadline = time.Now().Add(2 * time.Second)
			placer.Place(t.Context(), job, func(_ context.Context, worker fleetwire.Instance, ready func() bool) Result {
				ready()
				target = worker.ID
				return ResultServed
			})
			require.Equal(t, running == 1, target == holder, "%d jobs run at the holder", running)
		}
	})
}

func TestRejectedPrefillsCountAsArrivals(t *testing.T) {
	require.Positive(t, countRetries(t, 50), "few rejected prefills leave room for retries")
	countRetries(t, 3)
}

// countRetries places requests with a rejected prefill in one of rejectOneIn pushes and a rejected decode in half of them. It
// returns the number of retries and checks that the budget allowed each. The first rejected push can't be avoided, but counts
// as an extra arrival.
func countRetries(t *testing.T, rejectOneIn int) int {
	t.Helper()
	retries := 0
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, append(workers("prefill", 8), workers("decode", 8)...)))
		const requests = 200
		extras := 0
		countRetry := func(request int) {
			require.LessOrEqual(t, float64(extras+1), 0.2*float64(request+1)+1)
			retries++
		}
		for request := range requests {
			pushes := 0
			prefill := testJob("prefill")
			prefill.MaxRuns = 4
			placer.Place(t.Context(), prefill, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				if pushes++; pushes > 1 {
					countRetry(request)
				}
				if rand.IntN(rejectOneIn) == 0 {
					extras++
					return ResultNotExecuted
				}
				return ResultServed
			})
			pushes = 0
			decode := testJob("decode")
			placer.Place(t.Context(), decode, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				if pushes++; pushes > 1 {
					countRetry(request)
					extras++
				}
				if rand.IntN(2) == 0 {
					return ResultNotExecuted
				}
				return ResultServed
			})
		}
	})
	return retries
}

func TestDecodePrefersZoneOfKVCacheUnlessOverloaded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := workers("decode", 9)
		for i := range instances {
			instances[i].Zone = "z0"
		}
		instances[8].Zone = "z1"
		for _, running := range []int{3, 20} {
			prober := &fakeProber{reports: map[string]Report{"decode-8": {Running: running}}}
			placer := newTestPlacer(prober)
			update := snapshot(1, instances)
			update.Config.Services[0].Engine.Slots = 128
			placer.Update(update)
			for range 20 {
				job := testJob("decode")
				job.PreferredZone = "z1"
				target := ""
				placer.Place(t.Context(), job, func(_ context.Context, worker fleetwire.Instance, ready func() bool) Result {
					ready()
					target = worker.ID
					return ResultServed
				})
				require.Equal(t, running == 3, target == "decode-8", "%d jobs run at the near worker", running)
				time.Sleep(time.Second)
			}
		}
	})
}

// A prefix holder that no other worker can beat is probed alone. A job without a cached prefix probes two workers.
func TestLightlyLoadedPrefixHolderIsProbedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := workers("prefill", 8)
		parts := []PromptPart{{"book", 4608}, {"own", 880}}
		holder := prefixHolder("book", instances)
		for _, test := range []struct {
			parts   []PromptPart
			running int // at the holder
			probes  int
		}{{parts, 0, 1}, {parts, 1, 1}, {parts, 8, 2}, {nil, 0, 2}} {
			prober := &fakeProber{reports: map[string]Report{holder: {Running: test.running}}}
			placer := newTestPlacer(prober)
			placer.Update(snapshot(1, instances))
			job := testJob("prefill")
			job.PromptParts = test.parts
			placer.Place(t.Context(), job, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				return ResultServed
			})
			require.Len(t, prober.probed, test.probes, "%d parts, %d jobs run at the holder", len(test.parts), test.running)
		}
	})
}

// The load that a worker states with an answer is current and costs nothing, so it replaces probes for a while. It does not
// include memory, so a report is still needed from time to time.
func TestLoadOfAnswerReplacesProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := workers("decode", 2)
		prober := &fakeProber{reports: map[string]Report{}}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, instances))
		placeJob := func() (target string) {
			placer.Place(t.Context(), testJob("decode"), func(_ context.Context, worker fleetwire.Instance, ready func() bool) Result {
				ready()
				target = worker.ID
				return ResultServed
			})
			return target
		}
		placer.ObserveLoad(&instances[0], Load{Running: 6})
		placeJob()
		require.Len(t, prober.probed, 2, "the load of an answer must not replace the first report")

		for start := time.Now(); time.Since(start) < maxReportAge-answerLoadReuse; time.Sleep(answerLoadReuse / 2) {
			placer.ObserveLoad(&instances[0], Load{Running: 5})
			placer.ObserveLoad(&instances[1], Load{Running: 2})
			require.Equal(t, "decode-1", placeJob())
			placer.ObserveLoad(&instances[1], Load{Running: 7})
			require.Equal(t, "decode-0", placeJob(), "the newest answer must count")
		}
		require.Len(t, prober.probed, 2)

		time.Sleep(maxReportAge)
		placer.ObserveLoad(&instances[0], Load{Running: 5})
		placer.ObserveLoad(&instances[1], Load{Running: 2})
		placeJob()
		require.Len(t, prober.probed, 4, "a report this old must be requested again")
	})
}

// Guards against overloading one worker: the load of an answer before the router's own push does not include this push, and the
// dispatcher adds it only for a short time. With a longer reuse, a burst of long generations went to the workers with the
// lowest stated load.
func TestLoadOfAnswerBeforePushExpiresEarly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		instances := workers("decode", 1)
		prober := &fakeProber{reports: map[string]Report{}}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, instances))
		finish := make(chan struct{})
		placeJob := func() {
			placer.Place(t.Context(), testJob("decode"), func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				<-finish
				return ResultServed
			})
		}
		go placeJob()
		time.Sleep(2 * time.Millisecond)
		placer.ObserveLoad(&instances[0], Load{Running: 1})
		go placeJob()
		time.Sleep(probeReuse + time.Millisecond)
		synctest.Wait()
		require.Len(t, prober.probed, 1)
		go placeJob()
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		require.Len(t, prober.probed, 2, "the answer is younger than answerLoadReuse but older than the push")
		close(finish)
		synctest.Wait()
	})
}
