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

// direct is a crowd that calls a worker without a fleet between them.
func direct(t *testing.T, config llmworker.Config) (*Group, *llmworker.Worker) {
	j := judge.New(judge.DefaultBounds)
	config.Judge, config.Service = j, "s"
	w, err := llmworker.Start(config)
	require.NoError(t, err)
	t.Cleanup(w.Stop)
	return &Group{Name: "c", Judge: j, SelectRouter: func(string, uint64, int) string { return w.Address() }}, w
}

func kind(routeType string, resumable bool) *Kind {
	return &Kind{Name: "k", Deadline: 10 * time.Second, Retries: 1, Body: 100, Output: 20, SharedTokens: 32, SubjectTokens: 32,
		Subjects: 2, OwnTokens: 16,
		PerSecond: 500,
		Route: operator.Route{Hostname: "h", PathPrefix: "/k/", RouteType: routeType, Service: "s", MaxAttempts: 1,
			Resumable:       resumable,
			TargetLatencyMs: 5000, GapAimMs: 5000}}
}

func model() llmworker.Config {
	return llmworker.Config{Name: "w", Engine: &engine.Config{Stage: engine.StageDecode, Step: time.Millisecond}}
}

func TestACutStreamIsTakenUpByTheClient(t *testing.T) {
	crowd, w := direct(t, model())
	w.FailNext(llmworker.FaultTruncate)
	result := crowd.Send(kind("streaming", true), "a", 1)
	require.Equal(t, Served, result.Outcome, result.Cause)
	require.Equal(t, 2, result.Attempts)
	require.Empty(t, crowd.Judge.Report())
}

func TestACutStreamThatCannotBeResumedIsCut(t *testing.T) {
	crowd, w := direct(t, model())
	w.FailNext(llmworker.FaultTruncate)
	require.Equal(t, Cut, crowd.Send(kind("streaming", false), "a", 1).Outcome)
	require.Empty(t, crowd.Judge.Report())
}

func TestAnUnsafeRequestIsTriedAgainOnlyAfterAPromise(t *testing.T) {
	crowd, w := direct(t, llmworker.Config{Name: "w"})
	w.FailNext(llmworker.FaultReject, llmworker.FaultNone, llmworker.FaultReset, llmworker.FaultNone)
	refused := crowd.Send(kind("unsafe", false), "a", 1)
	require.Equal(t, Served, refused.Outcome)
	require.Equal(t, 2, refused.Attempts)
	reset := crowd.Send(kind("unsafe", false), "b", 1)
	require.Equal(t, Cut, reset.Outcome)
	require.Equal(t, 1, reset.Attempts)
	require.Empty(t, crowd.Judge.Report())
}

func TestALoadIsBookedToTheLast(t *testing.T) {
	crowd, _ := direct(t, model())
	books := NewTallies()
	ctx, stop := context.WithCancel(context.Background())
	crowd.Kinds = []*Kind{kind("streaming", false)}
	crowd.OnResult = func(result Result) {
		books.Add(result)
		if books.Total().Sent == 20 {
			stop()
		}
	}
	crowd.Run(ctx)
	total := books.Total()
	require.GreaterOrEqual(t, total.Sent, 20)
	require.Equal(t, total.Sent, total.Served+total.Late+total.Refused, total.String())
	require.Empty(t, crowd.Judge.Report())
}
