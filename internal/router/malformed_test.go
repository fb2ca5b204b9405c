package router

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"weldscale/internal/placement"
)

// malformedTails are chunks that follow the first event "id: 1" of a stream and are not what the protocol allows. An empty chunk
// ends the stream; without it the connection is cut.
var malformedTails = map[string][]string{
	"other bytes":                        {"\x01 garbage without fields\n\n", ""},
	"other bytes without a line end":     {"garbage without fields", ""},
	"other bytes, then cut":              {"garbage without fields\n\n"},
	"other bytes, then the next event":   {"garbage without fields\n\n", "id: 2\ndata: b\n\n", ""},
	"the head of another response":       {"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", ""},
	"an event without an ID":             {"data: b\n\n", "id: 3\ndata: c\n\n", ""},
	"an ID that goes back":               {"id: 0\ndata: b\n\n", "id: 2\ndata: b\n\n", ""},
	"an event that is not finished":      {"id: 2\nda", ""},
	"an event that comes twice":          {"id: 1\ndata: a\n\n", "id: 2\ndata: b\n\n", ""},
	"an event of which the data is gone": {"id: 2\n\n", "id: 3\ndata: c\n\n", ""},
}

// addStreamWorker adds a raw worker that streams the chunks. It sends the Last-Event-Id of each request to lastIDs.
func (f *fixture) addStreamWorker(stage, signature string, lastIDs chan<- string, chunks ...string) {
	f.addRawWorker(stage, func(conn net.Conn, next func() *http.Request) {
		request := next()
		lastIDs <- request.Header.Get("Last-Event-Id")
		writeStreamHead(conn, request.Header.Get("Request-Id"), signature)
		for _, chunk := range chunks {
			writeChunk(conn, chunk)
		}
	})
}

// Guards against a violation of ORDER: bytes that were no event, within the sound framing of a worker's stream, reached the
// client, and the response looked complete.
func TestMalformedStreamIsCutAfterItsLastSoundEvent(t *testing.T) {
	for name, tail := range malformedTails {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			lastIDs := make(chan string, 2)
			for range 2 { // the second worker must get no request
				fixture.addStreamWorker("", "s", lastIDs, append([]string{"id: 1\ndata: a\n\n"}, tail...)...)
			}
			response := fixture.send(fixture.newRequest(http.MethodPost, "/stream/x", "id", ""))
			body, err := io.ReadAll(response.Body)
			require.Error(t, err)
			require.Equal(t, "id: 1\ndata: a\n\n", string(body))
			results := fixture.placer.pushResults()
			require.Len(t, results, 1)
			require.Equal(t, placement.ResultMalformed, results[0])
		})
	}
}

// Guards against a violation of ORDER: a resumable stream went on at another worker behind bytes that were no event.
func TestMalformedStreamResumesAfterItsLastSoundEvent(t *testing.T) {
	for name, tail := range malformedTails {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			lastIDs := make(chan string, 2)
			fixture.addStreamWorker("", "first", lastIDs, append([]string{"id: 1\ndata: a\n\n"}, tail...)...)
			fixture.addStreamWorker("", "second", lastIDs, "id: 2\ndata: b\n\n", "id: 3\ndata: c\n\n", "")
			response, body := fixture.exchange(http.MethodPost, "/resume/x", "id")
			require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\n", body)
			require.Equal(t, "first", response.Header.Get("Response-Signature"))
			require.Empty(t, <-lastIDs)
			require.Equal(t, "1", <-lastIDs)
		})
	}
}

// Guards against a success without an event, or with bytes that are no event, where a worker's stream holds no sound event.
func TestStreamWithoutASoundEventIsNotRelayed(t *testing.T) {
	for name, chunks := range map[string][]string{
		"empty":       {""},
		"other bytes": {"garbage without fields\n\n", ""},
		"unfinished":  {"id: 1\ndata: a\n", ""},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.addStreamWorker("", "s", make(chan string, 1), chunks...)
			response, body := fixture.exchange(http.MethodPost, "/stream/x", "id")
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Empty(t, response.Header.Get("Response-Signature"))
			require.Empty(t, body)
		})
		t.Run(name+", resumable", func(t *testing.T) {
			fixture := newFixture(t)
			lastIDs := make(chan string, 2)
			fixture.addStreamWorker("", "first", lastIDs, chunks...)
			fixture.addStreamWorker("", "second", lastIDs, "id: 1\ndata: a\n\n", "")
			response, body := fixture.exchange(http.MethodPost, "/resume/x", "id")
			require.Equal(t, "second", response.Header.Get("Response-Signature"))
			require.Equal(t, "id: 1\ndata: a\n\n", body)
			require.Empty(t, <-lastIDs)
			require.Empty(t, <-lastIDs)
		})
	}
}

// Guards against a stream that resumes behind a part of an event: the part and the next event would be read as one.
func TestEventAboveTheLimitIsNotRelayedInParts(t *testing.T) {
	fixture := newFixture(t)
	lastIDs := make(chan string, 2)
	large := "id: 2\ndata: " + strings.Repeat("x", 200)
	chunks := []string{"id: 1\ndata: a\n\n", large}
	for range 2000 { // beyond 256 KiB
		chunks = append(chunks, strings.Repeat("x", 200))
	}
	fixture.addStreamWorker("", "first", lastIDs, chunks...)
	fixture.addStreamWorker("", "second", lastIDs, "id: 2\ndata: b\n\n", "")
	_, body := fixture.exchange(http.MethodPost, "/resume/x", "id")
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\n", body)
	require.Empty(t, <-lastIDs)
	require.Equal(t, "1", <-lastIDs)
}

// Guards against a HEAD request on a streaming route counting as an empty stream, and so against its worker.
func TestHeadRequestOnStreamingRouteIsNoStream(t *testing.T) {
	fixture := newFixture(t)
	fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) { setValidHeader(w, r, "s") })
	response, body := fixture.exchange(http.MethodHead, "/stream/x", "id")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "s", response.Header.Get("Response-Signature"))
	require.Empty(t, body)
	require.Equal(t, []placement.Result{placement.ResultServed}, fixture.placer.pushResults())
}

// Guards against a violation of ORDER: an event came twice, of a worker that resumed a stream at or before the event which the
// client had named. And against a worker that counts as malformed because of what a client claims to have.
func TestStreamThatTheClientResumesGoesOnAfterItsLastEvent(t *testing.T) {
	for name, each := range map[string]struct {
		lastEventID string
		chunks      []string
		want        string
	}{
		"nothing is left":          {"7", []string{""}, ""},
		"next events":              {"7", []string{"id: 8\ndata: a\n\n", ""}, "id: 8\ndata: a\n\n"},
		"the last event again":     {"7", []string{"id: 7\ndata: a\n\n", ""}, ""},
		"an ID that none has":      {"999", []string{"id: 8\ndata: a\n\n", ""}, ""},
		"an ID that is no number":  {"x", []string{"id: 1\ndata: a\n\n", ""}, "id: 1\ndata: a\n\n"},
		"a worker that ignores it": {"7", []string{"id: 1\ndata: a\n\n", "id: 8\ndata: b\n\n", ""}, "id: 8\ndata: b\n\n"},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			lastIDs := make(chan string, 1)
			fixture.addStreamWorker("", "s", lastIDs, each.chunks...)
			request := fixture.newRequest(http.MethodPost, "/resume/x", "id", "")
			request.Header.Set("Last-Event-Id", each.lastEventID)
			response := fixture.send(request)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, "s", response.Header.Get("Response-Signature"))
			require.Equal(t, each.want, string(body))
			require.Equal(t, each.lastEventID, <-lastIDs)
		})
	}
}
