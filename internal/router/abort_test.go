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

func TestAbortCause(t *testing.T) {
	disconnected, disconnect := context.WithCancel(t.Context())
	disconnect()
	connected := t.Context()
	inAnHour := time.Now().Add(time.Hour)
	for _, test := range []struct {
		name        string
		context     context.Context
		writeFailed bool
		timedOut    bool
		stopped     bool
		malformed   bool
		deadline    time.Time
		cause       abortCause
	}{
		{"client closed its connection", disconnected, true, true, false, false, inAnHour, abortedByClient},
		{"write to the client failed", connected, true, false, false, false, inAnHour, abortedByWriteFailure},
		{"worker was silent until the deadline", connected, false, true, false, false, inAnHour, abortedByDeadline},
		{"deadline passed", connected, false, false, false, true, time.Now(), abortedByDeadline},
		{"router shuts down", connected, false, false, true, true, inAnHour, abortedByShutdown},
		{"worker sent no event stream", connected, false, false, false, true, inAnHour, abortedByMalformed},
		{"worker broke off", connected, false, false, false, false, inAnHour, abortedByWorker},
	} {
		router := New(Options{})
		if test.stopped {
			router.inFlight.stop()
		}
		request := &request{router: router, incoming: httptest.NewRequestWithContext(test.context, http.MethodPost, "/", nil), timedOut: test.timedOut, malformed: test.malformed,
			deadline: test.deadline, clientResponse: clientResponse{writeFailed: test.writeFailed}}
		require.Equal(t, test.cause, request.abortCause(), test.name)
	}
}

func TestAbortLogLinesAreLimited(t *testing.T) {
	core, logged := observer.New(zap.InfoLevel)
	router := New(Options{Log: zap.New(core)})
	q := &request{router: router, incoming: httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil),
		route: &fleetwire.Route{}, view: &view{snapshot: &watch.Snapshot{Config: &fleetwire.Config{}}}, deadline: time.Now().Add(time.Hour)}
	started := time.Now()
	for range 10 * maxLogLinesPerSecond {
		q.logAbort()
	}
	seconds := int(time.Since(started)/time.Second) + 2 // upper limit of the clock seconds that the loop ran in
	require.LessOrEqual(t, logged.Len(), seconds*maxLogLinesPerSecond)
	require.Positive(t, logged.Len())
}
