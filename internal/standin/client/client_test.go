package client

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/standin/engine"
	"weldscale/internal/standin/judge"
	"weldscale/internal/standin/llmworker"
	"weldscale/internal/standin/operator"
)

// startDirect starts a worker and returns a client group that calls it directly, without a fleet.
func startDirect(t *testing.T, config llmworker.Config) (*Group, *llmworker.Worker) {
	j := judge.New(judge.DefaultBounds)
	config.Judge, config.Service = j, "s"
	w, err := llmworker.Start(config)
	require.NoError(t, err)
	t.Cleanup(w.Stop)
	return &Group{Name: "c", Judge: j, SelectRouter: func(string, uint64, int) string { return w.Address() }}, w
}

func newKind(routeType string, resumable bool) *Kind {
	return &Kind{Name: "k", Deadline: 10 * time.Second, Retries: 1, Body: 100, Output: 20, SharedTokens: 32, SubjectTokens: 32,
		Subjects: 2, OwnTokens: 16,
		PerSecond: 500,
		Route: operator.Route{Hostname: "h", PathPrefix: "/k/", RouteType: routeType, Service: "s", MaxAttempts: 1,
			Resumable:       resumable,
			TargetLatencyMs: 5000, GapAimMs: 5000}}
}

func modelWorker() llmworker.Config {
	return llmworker.Config{Name: "w", Engine: &engine.Config{Stage: engine.StageDecode, Step: time.Millisecond}}
}

func TestClientResumesCutStream(t *testing.T) {
	group, w := startDirect(t, modelWorker())
	w.FailNext(llmworker.FaultTruncate)
	result := group.Send(newKind("streaming", true), "a", 1)
	require.Equal(t, Served, result.Outcome, result.Cause)
	require.Equal(t, 2, result.Attempts)
	require.Empty(t, group.Judge.Report())
}

func TestNonResumableStreamIsNotRetriedAfterCut(t *testing.T) {
	group, w := startDirect(t, modelWorker())
	w.FailNext(llmworker.FaultTruncate)
	require.Equal(t, Cut, group.Send(newKind("streaming", false), "a", 1).Outcome)
	require.Empty(t, group.Judge.Report())
}

func TestUnsafeRequestIsRetriedOnlyAfterRejection(t *testing.T) {
	group, w := startDirect(t, llmworker.Config{Name: "w"})
	w.FailNext(llmworker.FaultReject, llmworker.FaultNone, llmworker.FaultReset, llmworker.FaultNone)
	refused := group.Send(newKind("unsafe", false), "a", 1)
	require.Equal(t, Served, refused.Outcome)
	require.Equal(t, 2, refused.Attempts)
	reset := group.Send(newKind("unsafe", false), "b", 1)
	require.Equal(t, Cut, reset.Outcome)
	require.Equal(t, 1, reset.Attempts)
	require.Empty(t, group.Judge.Report())
}

func TestEveryRequestOfALoadIsCounted(t *testing.T) {
	group, _ := startDirect(t, modelWorker())
	tallies := NewTallies()
	ctx, stop := context.WithCancel(context.Background())
	group.Kinds = []*Kind{newKind("streaming", false)}
	group.OnResult = func(result Result) {
		tallies.Add(result)
		if tallies.Total().Sent == 20 {
			stop()
		}
	}
	group.Run(ctx)
	total := tallies.Total()
	require.GreaterOrEqual(t, total.Sent, 20)
	require.Equal(t, total.Sent, total.Served+total.Late+total.Refused, total.String())
	require.Empty(t, group.Judge.Report())
}
