package engine

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const ms = time.Millisecond

func job(id string, output int, parts ...Part) Job {
	return Job{ID: id, Model: "m", Parts: parts, Output: output}
}

// kindsOf lists the kinds of a job's events.
func kindsOf(events []Event, id string) (kinds []Kind) {
	for _, event := range events {
		if event.Job == id {
			kinds = append(kinds, event.Kind)
		}
	}
	return kinds
}

func TestPrefillThenTokens(t *testing.T) {
	e := New(Config{Stage: StageDecode, TokensPerMs: 100, PrefillChunk: 4000, Step: 3 * ms, Stride: 2}, "h")
	require.Equal(t, Accepted, e.Submit(0, job("a", 4, Part{"p", 1000})))
	e.Advance(19 * ms) // a decode worker prefills at half the rate: 20 ms
	require.Empty(t, e.Events())
	e.Advance(100 * ms)
	events := e.Events()
	require.Equal(t, Event{Job: "a", Kind: KindTokens, At: 20 * ms, From: 1, To: 1}, events[0])
	require.Equal(t, Event{Job: "a", Kind: KindTokens, At: 26 * ms, From: 2, To: 3}, events[1])
	require.Equal(t, Event{Job: "a", Kind: KindTokens, At: 29 * ms, From: 4, To: 4}, events[2])
	require.Equal(t, KindDone, events[3].Kind)
	require.True(t, e.Cached("m", Part{"p", 1000}))
	_, pending := e.Next()
	require.False(t, pending, "an idle engine has no next event")
}

func TestStepTimeGrowsWithRunningJobs(t *testing.T) {
	e := New(Config{Step: 3 * ms, StepPerSlot: ms}, "h")
	for i := range 2 {
		e.Submit(0, job(fmt.Sprint(i), 3))
	}
	e.Advance(14 * ms)
	var at []time.Duration
	for _, event := range e.Events() {
		if event.Job == "0" && event.Kind == KindTokens {
			at = append(at, event.At)
		}
	}
	require.Equal(t, []time.Duration{4 * ms, 9 * ms, 14 * ms}, at, "the first step runs one job, the others two")
}

func TestCachedPartIsNotPrefilledAgain(t *testing.T) {
	e := New(Config{Stage: StagePrefill}, "h")
	prompt := []Part{{"shared", 320}, {"own", 64}}
	prefill := job("a", 1, prompt...)
	prefill.PrefillOnly = true
	e.Submit(0, prefill)
	e.Advance(time.Second)
	require.Equal(t, 384, e.Stats().TokensPrefilled)
	prefill.ID, prefill.Parts = "b", []Part{{"shared", 320}, {"other", 64}}
	e.Submit(time.Second, prefill)
	e.Advance(2 * time.Second)
	require.Equal(t, 448, e.Stats().TokensPrefilled)
	require.Equal(t, 320, e.Stats().TokensCached)
}

func TestCachedPartNeedsMatchingPrefix(t *testing.T) {
	e := New(Config{KvTokens: 64}, "h")
	e.Submit(0, job("a", 1, Part{"x", 16}, Part{"y", 16}))
	e.Advance(time.Second)
	require.True(t, e.Cached("m", Part{"x", 16}, Part{"y", 16}))
	require.False(t, e.Cached("m", Part{"other", 16}, Part{"y", 16}))
	require.False(t, e.Cached("other model", Part{"x", 16}))
}

func TestLeastRecentlyUsedPartsAreEvicted(t *testing.T) {
	e := New(Config{KvTokens: 64}, "h") // 4 blocks, one of them for the generated tokens
	for i, id := range []string{"x", "y", "x", "z", "w"} {
		at := time.Duration(i) * time.Second
		e.Submit(at, job(fmt.Sprint(i), 1, Part{id, 16}))
		e.Advance(at + 900*ms)
	}
	require.True(t, e.Cached("m", Part{"w", 16}))
	require.True(t, e.Cached("m", Part{"z", 16}))
	require.True(t, e.Cached("m", Part{"x", 16}))
	require.False(t, e.Cached("m", Part{"y", 16}))
}

func TestHandleIsTakenOnceAndExpires(t *testing.T) {
	engine := New(Config{Stage: StagePrefill, HandleLifetime: time.Second}, "h")
	prefill := func(at time.Duration, id string) string {
		j := job(id, 1, Part{id, 160})
		j.PrefillOnly = true
		engine.Submit(at, j)
		engine.Advance(at + 100*ms)
		events := engine.Events()
		require.Equal(t, []Kind{KindPrefilled}, kindsOf(events, id))
		return events[0].Handle
	}
	first := prefill(0, "a")
	require.Equal(t, 1, engine.State().KvHandles)
	require.Equal(t, 176, engine.State().KvUsed)
	taken, ok := engine.TakeHandle(200*ms, first, 1)
	require.True(t, ok)
	require.Equal(t, TakenHandle{Job: "a", Tokens: 160}, taken)
	_, ok = engine.TakeHandle(200*ms, first, 1)
	require.False(t, ok)

	second := prefill(300*ms, "b")
	engine.Advance(2 * time.Second)
	_, ok = engine.TakeHandle(2*time.Second, second, 1)
	require.False(t, ok)
	require.Equal(t, 1, engine.Stats().HandlesExpired)
	third := prefill(3*time.Second, "c")
	require.True(t, engine.FreeHandle(3200*ms, third))
	require.False(t, engine.FreeHandle(3200*ms, third))
	require.Zero(t, engine.State().KvUsed)
}

func TestTransfersShareTheLinkInSequence(t *testing.T) {
	e := New(Config{Stage: StagePrefill, KvTokenBytes: 1000, LinkMbps: 8}, "h") // 1 ms per token
	var handles []string
	for i := range 4 {
		j := job(fmt.Sprint(i), 1, Part{fmt.Sprint(i), 800})
		j.PrefillOnly = true
		e.Submit(0, j)
	}
	e.Advance(time.Second)
	for _, event := range e.Events() {
		handles = append(handles, event.Handle)
	}
	for i, wait := range []time.Duration{0, 800 * ms, 1600 * ms} {
		taken, ok := e.TakeHandle(time.Second, handles[i], 1)
		require.True(t, ok)
		require.Equal(t, wait, taken.Wait)
	}
	_, ok := e.TakeHandle(time.Second, handles[3], 1)
	require.False(t, ok, "a transfer that would wait for more than two seconds is rejected")

	decode := New(Config{Stage: StageDecode, KvTokenBytes: 1000, LinkMbps: 8}, "h")
	require.Equal(t, 2100*ms, decode.ReserveTransfer(ms*500, 0, 800, 2))
	require.Equal(t, 2900*ms, decode.ReserveTransfer(ms*500, 0, 800, 1))
}

func TestFullQueueRejectsAndPriorityOrders(t *testing.T) {
	e := New(Config{Slots: 1, Queue: 2, Step: ms}, "h")
	late := job("late", 1)
	late.Priority = 5
	urgent := job("urgent", 1)
	require.Equal(t, Accepted, e.Submit(0, job("running", 3)))
	require.Equal(t, Accepted, e.Submit(0, late))
	require.Equal(t, Accepted, e.Submit(0, urgent))
	require.Equal(t, RejectedFull, e.Submit(0, job("more", 1)))
	require.Equal(t, RejectedFull, New(Config{KvTokens: 160}, "h").Submit(0, job("large", 1, Part{"p", 300})))
	e.Advance(time.Second)
	var done []string
	for _, event := range e.Events() {
		if event.Kind == KindDone {
			done = append(done, event.Job)
		}
	}
	require.Equal(t, []string{"running", "urgent", "late"}, done)
}

func TestDeadlineInQueueReportsNotExecuted(t *testing.T) {
	e := New(Config{Slots: 1, Step: ms}, "h")
	waits := job("waits", 1)
	waits.Deadline = 5 * ms
	e.Submit(0, job("runs", 100))
	e.Submit(0, waits)
	e.Advance(6 * ms)
	require.Equal(t, []Kind{KindNotExecuted}, kindsOf(e.Events(), "waits"))
}

func TestPreemptedJobResumesAtNextToken(t *testing.T) {
	e := New(Config{KvTokens: 96, Step: ms}, "h")
	e.Submit(0, job("old", 40, Part{"a", 16}))
	e.Submit(0, job("new", 40, Part{"b", 16}))
	e.Advance(time.Second)
	require.Positive(t, e.Stats().Preempted)
	events := e.Events()
	for _, id := range []string{"old", "new"} {
		next := 1
		for _, event := range events {
			if event.Job == id && event.Kind == KindTokens {
				require.Equal(t, next, event.From)
				next = event.To + 1
			}
		}
		require.Equal(t, 41, next)
	}
	require.Empty(t, e.tasks)
}

func TestOrders(t *testing.T) {
	fence := func(n uint64) *uint64 { return &n }
	engine := New(Config{Stage: StageDecode, Slots: 1, Step: ms, StageSwitch: time.Second, Fencing: true}, "h")
	order := Order{Operation: OperationStage, Stage: StagePrefill, Holder: "n", FenceToken: fence(7)}
	require.Equal(t, http.StatusBadRequest, engine.Order(0, Order{Operation: OperationStage, Stage: StagePrefill, Holder: "n"}))
	require.Equal(t, http.StatusBadRequest, engine.Order(0, Order{Operation: "Other", Holder: "n", FenceToken: fence(7)}))
	engine.Submit(0, job("runs", 10))
	engine.Submit(0, job("waits", 10))
	engine.Advance(ms)
	wrong := 5
	mismatched := order
	mismatched.IfRevision = &wrong
	require.Equal(t, http.StatusConflict, engine.Order(ms, mismatched))
	require.Equal(t, http.StatusAccepted, engine.Order(ms, order))
	require.Equal(t, http.StatusConflict, engine.Order(ms, order), "another order is in progress")
	require.Equal(t, []Kind{KindNotExecuted}, kindsOf(engine.Events(), "waits"))
	require.Equal(t, RejectedBusy, engine.Submit(2*ms, job("comes", 1)))
	order.FenceToken = fence(6)
	require.Equal(t, http.StatusPreconditionFailed, engine.Order(2*ms, order))
	engine.Advance(500 * ms)
	require.Equal(t, []Kind{KindDone}, kindsOf(engine.Events(), "runs")[9:], "running jobs complete before the switch")
	require.Equal(t, StageDecode, engine.Stage())
	engine.Advance(2 * time.Second)
	require.Equal(t, StagePrefill, engine.Stage())
	order.FenceToken = fence(7)
	require.Equal(t, http.StatusOK, engine.Order(2*time.Second, order))
	require.Equal(t, RejectedStage, engine.Submit(2*time.Second, job("comes", 1)))
}

func TestReportLag(t *testing.T) {
	e := New(Config{ReportLag: 100 * ms, Step: ms}, "h")
	e.Advance(time.Second)
	e.Submit(time.Second, job("a", 500))
	require.Zero(t, e.Report(1050*ms).Running)
	require.Equal(t, 1, e.Report(1150*ms).Running)
}

// TestMemoryIsConserved submits and cancels random jobs and checks the block counts after every operation.
func TestMemoryIsConserved(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		engine := New(Config{Stage: StagePrefill, Slots: 4, Queue: 4, KvTokens: 640, HandleLifetime: 50 * ms, Step: ms}, "h")
		if rapid.Bool().Draw(t, "decode") {
			engine.order.stage = StageDecode
		}
		now := time.Duration(0)
		for i := range rapid.IntRange(1, 40).Draw(t, "moves") {
			now += time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * ms
			id := fmt.Sprint(rapid.IntRange(0, i).Draw(t, "job"))
			switch rapid.IntRange(0, 2).Draw(t, "move") {
			case 0, 1:
				j := job(fmt.Sprint(i), rapid.IntRange(1, 60).Draw(t, "output"),
					Part{fmt.Sprint(rapid.IntRange(0, 3).Draw(t, "part")), 100}, Part{"", rapid.IntRange(0, 200).Draw(t, "own")})
				j.PrefillOnly = engine.order.stage == StagePrefill
				j.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
				engine.Submit(now, j)
			case 2:
				engine.Cancel(now, id)
			}
			if engine.cache.free() < 0 || engine.cache.privateBlocks < 0 || engine.cache.used() > engine.cache.total {
				t.Fatalf("inconsistent block counts: %v", engine)
			}
		}
		engine.Advance(now + time.Minute)
		if len(engine.tasks) > 0 || engine.cache.used() != 0 || engine.cache.privateBlocks != 0 {
			t.Fatalf("jobs or used blocks remain: %v", engine)
		}
	})
}
