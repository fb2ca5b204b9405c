package router

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"weldscale/internal/eventstream"
)

// Guards against streams of which neither log nor counters tell whether the worker broke off or sent other bytes.
func TestEndOfEachWorkerStreamIsCountedAndLogged(t *testing.T) {
	const sound = "id: 1\ndata: a\n\n"
	cases := map[string]struct {
		chunks []string // an empty one ends the stream; without it the connection is cut
		want   streamEnd
		defect eventstream.Defect
	}{
		"whole":                      {chunks: []string{sound, ""}, want: streamWhole},
		"cut after an event":         {chunks: []string{sound}, want: streamBroken},
		"cut within an event":        {chunks: []string{sound, "id: 2\nda"}, want: streamBroken},
		"other bytes, sound framing": {chunks: []string{sound, "garbage\n\n", ""}, want: streamMalformed, defect: eventstream.DefectField},
		"other bytes, then cut":      {chunks: []string{sound, "data: x\n\n"}, want: streamMalformed, defect: eventstream.DefectNoID},
		"unfinished, sound framing":  {chunks: []string{sound, "id: 2\nda", ""}, want: streamMalformed, defect: eventstream.DefectUnfinished},
	}
	for name, each := range cases {
		t.Run(name, func(t *testing.T) {
			core, logged := observer.New(zap.WarnLevel)
			fixture := newFixture(t)
			fixture.router.options.Log = zap.New(core)
			address := fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
				writeStreamHead(conn, next().Header.Get("Request-Id"), "s")
				for _, chunk := range each.chunks {
					writeChunk(conn, chunk)
				}
			})
			response := fixture.send(fixture.newRequest(http.MethodPost, "/stream/x", "id", ""))
			_, _ = io.ReadAll(response.Body)
			require.Eventually(t, func() bool { return fixture.router.inFlight.count() == 0 }, testTimeout, time.Millisecond)
			require.EqualValues(t, 1, fixture.router.counters.streams[each.want].Load())
			lines := logged.FilterMessage("worker stream not whole").All()
			if each.want == streamWhole {
				require.Empty(t, lines)
				return
			}
			require.Len(t, lines, 1)
			fields := lines[0].ContextMap()
			require.Equal(t, string(each.want), fields["end"])
			require.Equal(t, "i-"+address, fields["worker"])
			require.Equal(t, true, fields["chunked"])
			if each.defect != "" {
				require.EqualValues(t, 1, fixture.router.counters.defects[each.defect].Load())
				require.Contains(t, fields["error"], string(each.defect))
			}
		})
	}
}

func TestStreamThatEndsWithItsConnectionIsUnusable(t *testing.T) {
	fixture := newFixture(t)
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nRequest-Id: "+next().Header.Get("Request-Id")+
			"\r\nResponse-Signature: s\r\n\r\nid: 1\ndata: a\n\n")
	})
	response, body := fixture.exchange(http.MethodPost, "/stream/x", "id")
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, body)
	require.EqualValues(t, 1, fixture.router.counters.streams[streamUnusable].Load())
}

func TestReadinessAddressServesCounters(t *testing.T) {
	router := New(Options{})
	router.counters.countStream(streamMalformed, &eventstream.MalformedError{Defect: eventstream.DefectNoID})
	recorder := httptest.NewRecorder()
	router.ReadinessHandler().ServeHTTP(recorder, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/metrics", nil))
	require.Equal(t, http.StatusOK, recorder.Code)
	require.Contains(t, recorder.Body.String(), "weldrouter_worker_streams_total{end=\"malformed\"} 1\n")
	require.Contains(t, recorder.Body.String(), "weldrouter_malformed_streams_total{defect=\"no_id\"} 1\n")
	require.Contains(t, recorder.Body.String(), "weldrouter_malformed_streams_total{defect=\"order\"} 0\n")
}
