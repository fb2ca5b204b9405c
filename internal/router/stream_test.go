package router

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"weldscale/internal/placement"
)

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"

// writeStreamHead writes the head of a streamed worker response.
func writeStreamHead(conn net.Conn, id, signature string) {
	_, _ = io.WriteString(conn, streamHead+"Request-Id: "+id+"\r\nResponse-Signature: "+signature+"\r\n\r\n")
}

// writeChunk writes one chunk of less than 256 bytes. An empty chunk ends the stream.
func writeChunk(conn net.Conn, data string) {
	const hex = "0123456789abcdef"
	_, _ = io.WriteString(conn, string([]byte{hex[len(data)/16], hex[len(data)%16]})+"\r\n"+data+"\r\n")
}

func TestEventsAreRelayedWithoutDelay(t *testing.T) {
	fixture := newFixture(t)
	firstRelayed := make(chan struct{})
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		writeStreamHead(conn, next().Header.Get("Request-Id"), "s")
		writeChunk(conn, "id: 1\ndata: a\n\nid: 2\nda")
		<-firstRelayed
		writeChunk(conn, "ta: b\n\n")
		writeChunk(conn, "")
		next()
	})
	response := fixture.send(fixture.newRequest(http.MethodPost, "/stream/x", "id", "prompt"))
	require.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	reader := bufio.NewReader(response.Body)
	for _, want := range []string{"id: 1\n", "data: a\n", "\n"} {
		line, err := reader.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, want, line)
	}
	close(firstRelayed)
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Equal(t, "id: 2\ndata: b\n\n", string(rest))
}

func TestBrokenStreamDoesNotLookComplete(t *testing.T) {
	fixture := newFixture(t)
	for range 2 { // the second worker must get no request
		fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
			writeStreamHead(conn, next().Header.Get("Request-Id"), "s")
			writeChunk(conn, "id: 1\ndata: a\n\nid: 2\nda")
		})
	}
	response := fixture.send(fixture.newRequest(http.MethodPost, "/stream/x", "id", ""))
	body, err := io.ReadAll(response.Body)
	require.Error(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(body))
	require.Equal(t, []placement.Result{placement.ResultConnectionBroken}, fixture.placer.pushResults())
}

func TestStreamBrokenBeforeFirstEventGives502(t *testing.T) {
	fixture := newFixture(t)
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		writeStreamHead(conn, next().Header.Get("Request-Id"), "s")
		writeChunk(conn, "id: 1\nda")
	})
	response, body := fixture.exchange(http.MethodPost, "/stream/x", "id")
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, body)
}

func TestResumableStreamContinuesAtAnotherWorker(t *testing.T) {
	fixture := newFixture(t)
	resumedAt := make(chan string, 1)
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		writeStreamHead(conn, next().Header.Get("Request-Id"), "first")
		writeChunk(conn, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n")
	})
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		request := next()
		resumedAt <- request.Header.Get("Last-Event-Id")
		writeStreamHead(conn, request.Header.Get("Request-Id"), "second")
		writeChunk(conn, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n") // resumes one event too early
		writeChunk(conn, "id: 4\ndata: d\n\n")
		writeChunk(conn, "")
		next()
	})
	response, body := fixture.exchange(http.MethodPost, "/resume/x", "id")
	require.Equal(t, "first", response.Header.Get("Response-Signature"))
	require.Equal(t, "2", <-resumedAt)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n", body)
	require.Equal(t, []placement.Result{placement.ResultConnectionBroken, placement.ResultServed}, fixture.placer.pushResults())
}

func TestResumableStreamBrokenBeforeFirstEventRestarts(t *testing.T) {
	fixture := newFixture(t)
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		writeStreamHead(conn, next().Header.Get("Request-Id"), "first")
	})
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		request := next()
		require.NotContains(t, request.Header, "Last-Event-Id")
		writeStreamHead(conn, request.Header.Get("Request-Id"), "second")
		writeChunk(conn, "id: 1\ndata: a\n\n")
		writeChunk(conn, "")
		next()
	})
	response, body := fixture.exchange(http.MethodPost, "/resume/x", "id")
	require.Equal(t, "second", response.Header.Get("Response-Signature"), "the head and the body must come from the same run")
	require.Equal(t, "id: 1\ndata: a\n\n", body)
}

func TestResumableStreamIsAbortedIfNoWorkerResumesIt(t *testing.T) {
	fixture := newFixture(t)
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		writeStreamHead(conn, next().Header.Get("Request-Id"), "first")
		writeChunk(conn, "id: 1\ndata: a\n\n")
	})
	fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusInternalServerError)
	})
	response := fixture.send(fixture.newRequest(http.MethodPost, "/resume/x", "id", ""))
	body, err := io.ReadAll(response.Body)
	require.Error(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(body))
}

func TestRejectedResumptionIsNotRelayed(t *testing.T) {
	fixture := newFixture(t)
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		writeStreamHead(conn, next().Header.Get("Request-Id"), "first")
		writeChunk(conn, "id: 1\ndata: a\n\n")
	})
	fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	response := fixture.send(fixture.newRequest(http.MethodPost, "/resume/x", "id", ""))
	_, err := io.ReadAll(response.Body)
	require.Error(t, err)
}
