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

// fakeProber answers probes from a table, after a round trip of one millisecond.
type fakeProber struct {
	mu      sync.Mutex
	reports map[string]Report
	errs    map[string]error
	probed  []string
	delay   time.Duration // beyond the round trip
}

func (f *fakeProber) Probe(_ context.Context, target fleetwire.Instance) (Report, error) {
	time.Sleep(time.Millisecond + f.delay) // virtual: the tests run in a bubble
	f.mu.Lock()
	defer f.mu.Unlock()
	f.probed = append(f.probed, target.ID)
	return f.reports[target.ID], f.errs[target.ID]
}

func workers(stage string, n int) []fleetwire.Instance {
	var list []fleetwire.Instance
	for i := range n {
		list = append(list, fleetwire.Instance{ID: fmt.Sprintf("%s-%d", stage, i), Service: "llm", Stage: stage,
			Zone: fmt.Sprintf("z%d", i%2), State: fleetwire.InstanceReady, Slots: 8})
	}
	return list
}

func snapshot(sequence uint64, list []fleetwire.Instance) *watch.Snapshot {
	return &watch.Snapshot{
		Version: fleetwire.Version{ConfigRevision: 1, Instances: fleetwire.ListVersion{Token: 1, Sequence: sequence}},
		Config: &fleetwire.Config{Services: []fleetwire.Service{
			{Name: "llm", Engine: &fleetwire.Engine{Slots: 8, HandleTTLS: 5}}}},
		Instances: list,
		Routers:   1,
	}
}

func newTestPlacer(prober Prober) *Placer {
	return New(Options{Zone: "z0", Zones: []string{"z0", "z1"}, BudgetRatio: 0.2, BudgetSlack: 0,
		BudgetWindow: 10 * time.Second, Prober: prober, Log: zap.NewNop()})
}

func testJob(stage string) Job {
	now := time.Now()
	return Job{Service: "llm", Stage: stage, Arrived: now, Deadline: now.Add(2 * time.Second), PromptTokens: 3000,
		Route:      &fleetwire.Route{RouteType: "streaming", TimeoutMs: 2000, TargetLatencyMs: 500},
		Repeatable: true, MaxRuns: 2, FirstPushFree: true}
}

func TestTheLighterOfTwoProbedWorkersGetsThePush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{reports: map[string]Report{"decode-0": {Running: 6}, "decode-1": {Running: 1}}}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, workers("decode", 2)))
		var target string
		verdict := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, w fleetwire.Instance, ready func() bool) Result {
			require.True(t, ready())
			target = w.ID
			return ResultServed
		})
		require.Equal(t, DecisionServed, verdict.Decision)
		require.Equal(t, 1, verdict.Runs)
		require.Equal(t, "decode-1", target)
		slices.Sort(prober.probed)
		require.Equal(t, []string{"decode-0", "decode-1"}, prober.probed)
	})
}

func TestAWorkerThatDrainsBeforeTheFirstByteIsNotUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		list := workers("decode", 2)
		placer.Update(snapshot(1, list))
		var sent []string
		verdict := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, w fleetwire.Instance, ready func() bool) Result {
			if len(sent) == 0 {
				drained := slices.Clone(list)
				for i := range drained {
					if drained[i].ID == w.ID {
						drained[i].State = fleetwire.InstanceDraining
					}
				}
				placer.Update(snapshot(2, drained))
				sent = append(sent, "not "+w.ID)
			}
			if !ready() {
				return ResultNotExecuted
			}
			sent = append(sent, w.ID)
			return ResultServed
		})
		require.Equal(t, DecisionServed, verdict.Decision)
		require.Len(t, sent, 2)
		require.NotEqual(t, sent[0], "not "+sent[1])
	})
}

func TestWhatMayHaveRunIsNotSentAgainUnlessItMay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("decode", 4)))
		for _, result := range []Result{ResultConnectionBroken, ResultTimedOut, ResultFailed} {
			job := testJob("decode")
			job.Repeatable = false
			pushes := 0
			verdict := placer.Place(t.Context(), job, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				pushes++
				return result
			})
			require.Equal(t, DecisionFailed, verdict.Decision)
			require.Equal(t, 1, pushes)
		}
	})
}

func TestRefusalPromisesThatNothingRan(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("decode", 4)))
		job := testJob("decode")
		verdict := placer.Place(t.Context(), job, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			return ResultNotExecuted
		})
		require.Equal(t, DecisionRefused, verdict.Decision)
		require.Positive(t, verdict.RetryAfter)
		job = testJob("decode")
		job.Runs = 1
		verdict = placer.Place(t.Context(), job, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			return ResultNotExecuted
		})
		require.Equal(t, DecisionFailed, verdict.Decision)
	})
}

func TestRunsAreBoundedForEachTry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("decode", 8)))
		for range 50 { // requests that make room in the budget
			placer.Place(t.Context(), testJob("decode"), func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				return ResultServed
			})
		}
		runs := 0
		verdict := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			runs++
			return ResultConnectionBroken
		})
		require.Equal(t, DecisionFailed, verdict.Decision)
		require.Equal(t, 2, runs)
	})
}

func TestPromptsGoToTheWorkerThatKeepsTheirPrefix(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{reports: map[string]Report{}}
		placer := newTestPlacer(prober)
		list := workers("prefill", 8)
		placer.Update(snapshot(1, list))
		job := testJob("prefill")
		job.PromptParts = []PromptPart{{"head", 500}, {"book", 2000}, {"own", 500}}
		keeper := prefixHolder("book", list)
		push := func(targets *[]string) Push {
			return func(_ context.Context, w fleetwire.Instance, ready func() bool) Result {
				ready()
				*targets = append(*targets, w.ID)
				return ResultServed
			}
		}
		var targets []string
		for range 10 {
			job.Deadline = time.Now().Add(2 * time.Second)
			placer.Place(t.Context(), job, push(&targets))
			time.Sleep(time.Second)
		}
		require.Equal(t, slices.Repeat([]string{keeper}, 10), targets)
		prober.reports[keeper] = Report{Running: 8} // by far more than the prefix saves and a probe is worth
		targets = nil
		job.Deadline = time.Now().Add(2 * time.Second)
		placer.Place(t.Context(), job, push(&targets))
		require.NotEqual(t, []string{keeper}, targets)
	})
}

func TestAPartingClientEndsTheJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("decode", 2)))
		ctx, cancel := context.WithCancel(t.Context())
		pushes := 0
		verdict := placer.Place(ctx, testJob("decode"), func(ctx context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			pushes++
			cancel()
			<-ctx.Done()
			return ResultCancelled
		})
		require.Equal(t, DecisionFailed, verdict.Decision)
		require.Equal(t, 1, pushes)
	})
}

func TestRoutersNameTheSameHomeAndOnlyMoveWhatTheyMust(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		list := workers("prefill", rapid.IntRange(2, 40).Draw(t, "workers"))
		prefix := rapid.StringMatching(`[0-9a-f]{8}`).Draw(t, "prefix")
		keeper := prefixHolder(prefix, list)
		shuffled := slices.Clone(list)
		rand.Shuffle(len(shuffled), func(i, j int) { shuffled[i], shuffled[j] = shuffled[j], shuffled[i] })
		if prefixHolder(prefix, shuffled) != keeper {
			t.Fatal("the home depends on the order of the list")
		}
		gone := rapid.IntRange(0, len(list)-1).Draw(t, "gone")
		if list[gone].ID != keeper && prefixHolder(prefix, slices.Delete(slices.Clone(list), gone, gone+1)) != keeper {
			t.Fatal("a prefix moved though its worker stayed")
		}
	})
}

func TestBudgetNeverExceedsItsShareOfAnyWindow(t *testing.T) {
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
			inWindow := func(list []time.Duration) (n float64) {
				for _, at := range list {
					if at > now-window {
						n++
					}
				}
				return n
			}
			// What fell out of the window less than a slot ago may still be counted, on either side.
			if got, most := inWindow(extras), ratio*inWindow(requests)+slack; got > most+1+ratio*20 {
				t.Fatalf("%v extras in a window, %v allowed", got, most)
			}
		}
	})
}

func TestAWidePromptFindsRoomBesideShortOnes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{reports: map[string]Report{}}
		for i := range 4 {
			prober.reports[fmt.Sprintf("decode-%d", i)] = Report{Running: 3}
		}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, workers("decode", 4)))
		served := func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			return ResultServed
		}
		for range 200 { // short ones, some of which find no room: they must not price the wide one out
			job := testJob("decode")
			placer.Place(t.Context(), job, served)
		}
		wide := testJob("decode")
		wide.RunsPrefill = true
		wide.PromptTokens = 60_000
		wide.PromptParts = []PromptPart{{"head", 500}, {"book", 59_000}, {"own", 500}}
		verdict := placer.Place(t.Context(), wide, served)
		require.Equal(t, DecisionServed, verdict.Decision)
	})
}

func TestSlowProbesOfABusyRouterDoNotMakeWorkersLookSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, workers("prefill", 4)))
		served := func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
			ready()
			time.Sleep(100 * time.Millisecond)
			return ResultServed
		}
		for range 50 {
			placer.Place(t.Context(), testJob("prefill"), served)
		}
		prober.delay = 25 * time.Millisecond
		began := time.Now()
		verdict := placer.Place(t.Context(), testJob("prefill"), served)
		require.Equal(t, DecisionServed, verdict.Decision)
		require.Less(t, time.Since(began), 130*time.Millisecond, "it was held back")
	})
}

func TestArrivalsAreToldWhateverBecameOfThem(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("prefill", 3)))
		for result, arrivals := range map[Result]int{ResultServed: 1, ResultConnectionBroken: 1, ResultFailed: 1} {
			verdict := placer.Place(t.Context(), testJob("prefill"), func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				return result
			})
			require.Equal(t, arrivals, verdict.Arrivals, "no budget for a second one")
		}
	})
}

func TestAPushThatArrivesNowhereCostsNoBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, workers("decode", 3)))
		dead := ""
		verdict := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, w fleetwire.Instance, ready func() bool) Result {
			ready()
			if dead == "" || dead == w.ID {
				dead = w.ID
				return ResultConnectFailed
			}
			return ResultServed
		})
		require.Equal(t, DecisionServed, verdict.Decision)
		require.Equal(t, 1, verdict.Runs)
	})
}

func TestAWorkerWithAnOrderUnderWayTakesNothingNew(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{reports: map[string]Report{
			"decode-0": {Stage: "decode", Busy: true}, "decode-1": {Stage: "prefill"}, "decode-2": {Stage: "decode", Running: 7}}}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, workers("decode", 3)))
		for range 20 {
			verdict := placer.Place(t.Context(), testJob("decode"), func(_ context.Context, w fleetwire.Instance, ready func() bool) Result {
				ready()
				require.Equal(t, "decode-2", w.ID)
				return ResultServed
			})
			require.Equal(t, DecisionServed, verdict.Decision)
		}
	})
}

func TestProbesThatFollowCloselyShareAnAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		prober := &fakeProber{reports: map[string]Report{"decode-0": {Running: 2}, "decode-1": {Running: 2}}}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, workers("decode", 2)))
		var targets []string
		hold := make(chan struct{})
		place := func() {
			placer.Place(t.Context(), testJob("decode"), func(_ context.Context, w fleetwire.Instance, ready func() bool) Result {
				ready()
				targets = append(targets, w.ID)
				<-hold
				return ResultServed
			})
		}
		for range 4 {
			go place()
			time.Sleep(2 * time.Millisecond)
			synctest.Wait()
		}
		require.Len(t, prober.probed, 2, "one probe of each worker serves draws that follow within moments")
		slices.Sort(targets)
		require.Equal(t, []string{"decode-0", "decode-0", "decode-1", "decode-1"}, targets, "own pushes count beside the shared report")
		time.Sleep(probeReuse)
		go place()
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		require.Len(t, prober.probed, 4, "an old answer serves nobody")
		close(hold)
		synctest.Wait()
	})
}

func TestAHeldPrefixCountsMoreThanItsReading(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := workers("prefill", 8)
		job := testJob("prefill")
		job.PromptTokens = 6000
		job.PromptParts = []PromptPart{{"head", 512}, {"book", 4608}, {"own", 880}} // 5 units are held
		keeper := prefixHolder("book", list)
		for _, running := range []int{1, 7} { // 4 units each: less and more than what 5 held ones count and a probe is worth
			prober := &fakeProber{reports: map[string]Report{keeper: {Running: running}}}
			placer := newTestPlacer(prober)
			grown := snapshot(1, list)
			grown.Config.Services[0].Engine.Slots = 128
			placer.Update(grown)
			var target string
			job.Deadline = time.Now().Add(2 * time.Second)
			placer.Place(t.Context(), job, func(_ context.Context, w fleetwire.Instance, ready func() bool) Result {
				ready()
				target = w.ID
				return ResultServed
			})
			require.Equal(t, running == 1, target == keeper, "%d run at the holder", running)
		}
	})
}

func TestRejectedReadingsCountAsArrivals(t *testing.T) {
	require.Positive(t, sentAgain(t, 50), "there is room beside few rejected readings")
	sentAgain(t, 3)
}

// sentAgain places requests of which one reading in so many is shed, and half of the runs. It counts what was sent again and checks
// that there was room for it: what is rejected first can't be held back, but counts.
func sentAgain(t *testing.T, shedOneIn int) int {
	t.Helper()
	again := 0
	synctest.Test(t, func(t *testing.T) {
		placer := newTestPlacer(&fakeProber{})
		placer.Update(snapshot(1, append(workers("prefill", 8), workers("decode", 8)...)))
		const requests = 200
		extras := 0
		sendAgain := func(request int) {
			require.LessOrEqual(t, float64(extras+1), 0.2*float64(request+1)+1)
			again++
		}
		for request := range requests {
			pushes := 0
			read := testJob("prefill")
			read.MaxRuns = 4
			placer.Place(t.Context(), read, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				if pushes++; pushes > 1 {
					sendAgain(request)
				}
				if rand.IntN(shedOneIn) == 0 {
					extras++
					return ResultNotExecuted
				}
				return ResultServed
			})
			pushes = 0
			run := testJob("decode")
			placer.Place(t.Context(), run, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				if pushes++; pushes > 1 {
					sendAgain(request)
					extras++
				}
				if rand.IntN(2) == 0 {
					return ResultNotExecuted
				}
				return ResultServed
			})
		}
	})
	return again
}

func TestADecodeWorkerNearTheMemoryWinsUnlessItIsMuchFuller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := workers("decode", 9)
		for i := range list {
			list[i].Zone = "z0"
		}
		list[8].Zone = "z1"
		for _, running := range []int{3, 20} {
			prober := &fakeProber{reports: map[string]Report{"decode-8": {Running: running}}}
			placer := newTestPlacer(prober)
			grown := snapshot(1, list)
			grown.Config.Services[0].Engine.Slots = 128
			placer.Update(grown)
			for range 20 {
				job := testJob("decode")
				job.PreferredZone = "z1"
				target := ""
				placer.Place(t.Context(), job, func(_ context.Context, w fleetwire.Instance, ready func() bool) Result {
					ready()
					target = w.ID
					return ResultServed
				})
				require.Equal(t, running == 3, target == "decode-8", "%d run at the near one", running)
				time.Sleep(time.Second)
			}
		}
	})
}

// A holder that an answer of another worker could not outdo is asked alone; work that is held nowhere asks two.
func TestAHolderWithLittleToDoIsProbedAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := workers("prefill", 8)
		parts := []PromptPart{{"book", 4608}, {"own", 880}}
		keeper := prefixHolder("book", list)
		for _, trial := range []struct {
			parts   []PromptPart
			running int // at the holder
			probes  int
		}{{parts, 0, 1}, {parts, 1, 1}, {parts, 8, 2}, {nil, 0, 2}} {
			prober := &fakeProber{reports: map[string]Report{keeper: {Running: trial.running}}}
			placer := newTestPlacer(prober)
			placer.Update(snapshot(1, list))
			job := testJob("prefill")
			job.PromptParts = trial.parts
			placer.Place(t.Context(), job, func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				return ResultServed
			})
			require.Len(t, prober.probed, trial.probes, "%d parts, %d run at the holder", len(trial.parts), trial.running)
		}
	})
}

// The load that a worker states with an answer is of that moment and costs nothing, so draws need no probe for a while. It
// tells nothing of memory, so a report has to come now and then.
func TestTheLoadOfAnAnswerStandsForAProbe(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := workers("decode", 2)
		prober := &fakeProber{reports: map[string]Report{}}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, list))
		place := func() (target string) {
			placer.Place(t.Context(), testJob("decode"), func(_ context.Context, w fleetwire.Instance, ready func() bool) Result {
				ready()
				target = w.ID
				return ResultServed
			})
			return target
		}
		placer.ObserveLoad(&list[0], Load{Running: 6})
		place()
		require.Len(t, prober.probed, 2, "an answer completes a report and does not replace it")

		for begun := time.Now(); time.Since(begun) < maxReportAge-answerLoadReuse; time.Sleep(answerLoadReuse / 2) {
			placer.ObserveLoad(&list[0], Load{Running: 5})
			placer.ObserveLoad(&list[1], Load{Running: 2})
			require.Equal(t, "decode-1", place())
			placer.ObserveLoad(&list[1], Load{Running: 7})
			require.Equal(t, "decode-0", place(), "the newest answer counts")
		}
		require.Len(t, prober.probed, 2)

		time.Sleep(maxReportAge)
		placer.ObserveLoad(&list[0], Load{Running: 5})
		placer.ObserveLoad(&list[1], Load{Running: 2})
		place()
		require.Len(t, prober.probed, 4, "a report this old is asked for again")
	})
}

// A load that an answer stated before our own push doesn't show that push, which is counted beside it only for a moment. A burst of
// long generations else went to the workers that had stated least.
func TestAnAnswerFromBeforeAPushStandsForNoProbeForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		list := workers("decode", 1)
		prober := &fakeProber{reports: map[string]Report{}}
		placer := newTestPlacer(prober)
		placer.Update(snapshot(1, list))
		hold := make(chan struct{})
		place := func() {
			placer.Place(t.Context(), testJob("decode"), func(_ context.Context, _ fleetwire.Instance, ready func() bool) Result {
				ready()
				<-hold
				return ResultServed
			})
		}
		go place()
		time.Sleep(2 * time.Millisecond)
		placer.ObserveLoad(&list[0], Load{Running: 1})
		go place()
		time.Sleep(probeReuse + time.Millisecond)
		synctest.Wait()
		require.Len(t, prober.probed, 1)
		go place()
		time.Sleep(2 * time.Millisecond)
		synctest.Wait()
		require.Len(t, prober.probed, 2, "the answer is younger than answerShare but older than our push")
		close(hold)
		synctest.Wait()
	})
}
