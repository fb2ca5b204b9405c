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

// streamTo writes the head of a worker's stream.
func streamTo(conn net.Conn, id, stamp string) {
	_, _ = io.WriteString(conn, streamHead+"Request-Id: "+id+"\r\nResponse-Signature: "+stamp+"\r\n\r\n")
}

// chunk writes one chunk; an empty one ends the stream.
func chunk(conn net.Conn, data string) {
	const hex = "0123456789abcdef"
	_, _ = io.WriteString(conn, string([]byte{hex[len(data)/16], hex[len(data)%16]})+"\r\n"+data+"\r\n")
}

func TestEventsPassAtOnce(t *testing.T) {
	f := newFixture(t)
	more := make(chan struct{})
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		streamTo(conn, next().Header.Get("Request-Id"), "s")
		chunk(conn, "id: 1\ndata: a\n\nid: 2\nda")
		<-more
		chunk(conn, "ta: b\n\n")
		chunk(conn, "")
		next()
	})
	response := f.send(f.request(http.MethodPost, "/stream/x", "id", "prompt"))
	require.Equal(t, "text/event-stream", response.Header.Get("Content-Type"))
	reader := bufio.NewReader(response.Body)
	for _, want := range []string{"id: 1\n", "data: a\n", "\n"} {
		line, err := reader.ReadString('\n')
		require.NoError(t, err)
		require.Equal(t, want, line)
	}
	close(more)
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Equal(t, "id: 2\ndata: b\n\n", string(rest))
}

func TestACutStreamNeverLooksComplete(t *testing.T) {
	f := newFixture(t)
	for range 2 { // the second worker must get nothing
		f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
			streamTo(conn, next().Header.Get("Request-Id"), "s")
			chunk(conn, "id: 1\ndata: a\n\nid: 2\nda")
		})
	}
	response := f.send(f.request(http.MethodPost, "/stream/x", "id", ""))
	body, err := io.ReadAll(response.Body)
	require.Error(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(body))
	require.Equal(t, []placement.Result{placement.ResultConnectionBroken}, f.placer.seen())
}

func TestAStreamCutBeforeItsFirstEventIsAnsweredPlainly(t *testing.T) {
	f := newFixture(t)
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		streamTo(conn, next().Header.Get("Request-Id"), "s")
		chunk(conn, "id: 1\nda")
	})
	response, body := f.get(http.MethodPost, "/stream/x", "id")
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, body)
}

func TestAResumableStreamGoesOnAtAnotherWorker(t *testing.T) {
	f := newFixture(t)
	resumedAt := make(chan string, 1)
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		streamTo(conn, next().Header.Get("Request-Id"), "first")
		chunk(conn, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n")
	})
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		request := next()
		resumedAt <- request.Header.Get("Last-Event-Id")
		streamTo(conn, request.Header.Get("Request-Id"), "second")
		chunk(conn, "id: 2\ndata: b\n\nid: 3\ndata: c\n\n") // begins one event too early
		chunk(conn, "id: 4\ndata: d\n\n")
		chunk(conn, "")
		next()
	})
	response, body := f.get(http.MethodPost, "/resume/x", "id")
	require.Equal(t, "first", response.Header.Get("Response-Signature"))
	require.Equal(t, "2", <-resumedAt)
	require.Equal(t, "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid: 3\ndata: c\n\nid: 4\ndata: d\n\n", body)
	require.Equal(t, []placement.Result{placement.ResultConnectionBroken, placement.ResultServed}, f.placer.seen())
}

func TestAStreamCutBeforeItsFirstEventBeginsAnew(t *testing.T) {
	f := newFixture(t)
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		streamTo(conn, next().Header.Get("Request-Id"), "first")
	})
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		request := next()
		require.NotContains(t, request.Header, "Last-Event-Id")
		streamTo(conn, request.Header.Get("Request-Id"), "second")
		chunk(conn, "id: 1\ndata: a\n\n")
		chunk(conn, "")
		next()
	})
	response, body := f.get(http.MethodPost, "/resume/x", "id")
	require.Equal(t, "second", response.Header.Get("Response-Signature"), "head and body of one run")
	require.Equal(t, "id: 1\ndata: a\n\n", body)
}

func TestAResumableStreamThatNobodyTakesUpIsCut(t *testing.T) {
	f := newFixture(t)
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		streamTo(conn, next().Header.Get("Request-Id"), "first")
		chunk(conn, "id: 1\ndata: a\n\n")
	})
	f.worker("", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.WriteHeader(http.StatusInternalServerError)
	})
	response := f.send(f.request(http.MethodPost, "/resume/x", "id", ""))
	body, err := io.ReadAll(response.Body)
	require.Error(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(body))
}

func TestARejectionInsteadOfAResumptionIsNotTheClients(t *testing.T) {
	f := newFixture(t)
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		streamTo(conn, next().Header.Get("Request-Id"), "first")
		chunk(conn, "id: 1\ndata: a\n\n")
	})
	f.worker("", func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "full")
		w.WriteHeader(http.StatusServiceUnavailable)
	})
	response := f.send(f.request(http.MethodPost, "/resume/x", "id", ""))
	_, err := io.ReadAll(response.Body)
	require.Error(t, err)
}
