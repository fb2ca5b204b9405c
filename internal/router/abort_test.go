package router

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

func TestTheCauseOfACutIsNamed(t *testing.T) {
	gone, leave := context.WithCancel(t.Context())
	leave()
	there := t.Context()
	soon := time.Now().Add(time.Hour)
	for _, each := range []struct {
		name     string
		context  context.Context
		failed   bool
		timedOut bool
		ended    bool
		giveUpAt time.Time
		cause    abortCause
	}{
		{"the client left", gone, true, true, false, soon, abortedByClient},
		{"the client's connection takes nothing", there, true, false, false, soon, abortedByWriteFailure},
		{"a worker was silent until the end", there, false, true, false, soon, abortedByDeadline},
		{"the time is over", there, false, false, false, time.Now(), abortedByDeadline},
		{"the process ends", there, false, false, true, soon, abortedByShutdown},
		{"the worker broke off", there, false, false, false, soon, abortedByWorker},
	} {
		router := New(Options{})
		if each.ended {
			router.inFlight.stop()
		}
		q := &request{router: router, incoming: httptest.NewRequestWithContext(each.context, http.MethodPost, "/", nil), timedOut: each.timedOut,
			deadline: each.giveUpAt, clientResponse: clientResponse{writeFailed: each.failed}}
		require.Equal(t, each.cause, q.abortCause(), each.name)
	}
}

func TestLinesAboutCutsAreBounded(t *testing.T) {
	lines, observed := observer.New(zap.InfoLevel)
	router := New(Options{Log: zap.New(lines)})
	q := &request{router: router, incoming: httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil),
		route: &fleetwire.Route{}, view: &view{snapshot: &watch.Snapshot{Config: &fleetwire.Config{}}}, deadline: time.Now().Add(time.Hour)}
	now := time.Now()
	for range 10 * maxLogLinesPerSecond {
		q.logAbort()
	}
	seconds := int(time.Since(now)/time.Second) + 2 // that the loop may have touched
	require.LessOrEqual(t, observed.Len(), seconds*maxLogLinesPerSecond)
	require.Positive(t, observed.Len())
}
