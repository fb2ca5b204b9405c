package router

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
	"weldscale/internal/router/upstream"
)

// workerBehavior is what a worker does with the request under test, over a real socket.
type workerBehavior struct {
	name string
	// serve serves the connection after the response to the warm-up request, if there is one. Once it has read bytes of the
	// request under test, it calls received before it writes anything.
	serve func(conn net.Conn, reader *bufio.Reader, received func())
	// outcome is what the worker's response means for the request.
	outcome responseOutcome
}

// responseOutcome is what a worker's response means for a request.
type responseOutcome int

const (
	outcomeNone     responseOutcome = iota // nothing to relay; the request may have run, if it was sent
	outcomeRejected                        // the request has not run
	outcomeServed                          // the client gets the response
	outcomeFailed                          // the client gets the worker's error response
)

// readRequest reads a request and its body. It returns nil if there is none.
func readRequest(reader *bufio.Reader) *http.Request {
	request, err := http.ReadRequest(reader)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, request.Body)
	return request
}

// resetConn closes a connection with a TCP reset.
func resetConn(conn net.Conn) {
	_ = conn.(*net.TCPConn).SetLinger(0)
	_ = conn.Close()
}

// afterRequest returns a serve function that reads the request and then calls respond with its ID.
func afterRequest(respond func(conn net.Conn, id string)) func(net.Conn, *bufio.Reader, func()) {
	return func(conn net.Conn, reader *bufio.Reader, received func()) {
		if request := readRequest(reader); request != nil {
			received()
			respond(conn, request.Header.Get("Request-Id"))
		}
	}
}

// respondWith returns a serve function that reads the request and then writes the response. Each "ID" in it is replaced by the
// request's ID.
func respondWith(response string) func(net.Conn, *bufio.Reader, func()) {
	return afterRequest(func(conn net.Conn, id string) { _, _ = io.WriteString(conn, strings.ReplaceAll(response, "ID", id)) })
}

// responseHead returns the head of a response for respondWith. fields are further header lines, each with its line end.
func responseHead(status, fields string, length int) string {
	return fmt.Sprintf("HTTP/1.1 %s\r\nRequest-Id: ID\r\n%sContent-Length: %d\r\n\r\n", status, fields, length)
}

const (
	signatureLine = "Response-Signature: first\r\n"
	firstBody     = "id: 1\ndata: a\n\n"
	secondBody    = "id: 2\ndata: b\n\n"
)

// workerBehaviors are the ways in which a worker may handle a request or fail to.
var workerBehaviors = []workerBehavior{
	{name: "closed before the head", serve: func(net.Conn, *bufio.Reader, func()) {}},
	{name: "reset before the head", serve: func(conn net.Conn, _ *bufio.Reader, _ func()) { resetConn(conn) }},
	{name: "reset at the first byte", serve: func(conn net.Conn, reader *bufio.Reader, received func()) {
		if _, err := reader.ReadByte(); err == nil {
			received()
			resetConn(conn)
		}
	}},
	{name: "reset at the last byte", serve: afterRequest(func(conn net.Conn, _ string) { resetConn(conn) })},
	{name: "closed after the request", serve: afterRequest(func(net.Conn, string) {})},
	{name: "closed in the head", serve: respondWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\nResp")},
	{name: "closed in the body", serve: respondWith(responseHead("200 OK", signatureLine, 20) + "half")},
	{name: "reset in the body", serve: afterRequest(func(conn net.Conn, id string) {
		_, _ = io.WriteString(conn, strings.ReplaceAll(responseHead("200 OK", signatureLine, 20)+"half", "ID", id))
		resetConn(conn)
	})},
	{name: "silent", serve: func(_ net.Conn, reader *bufio.Reader, received func()) {
		if readRequest(reader) != nil {
			received()
			_, _ = reader.ReadByte() // until the router gives up
		}
	}},
	{name: "garbage", serve: respondWith("\x00\x01 no response\r\n\r\n")},
	{name: "response to another request", serve: respondWith("HTTP/1.1 200 OK\r\nRequest-Id: other\r\n" + signatureLine + "Content-Length: 6\r\n\r\nsecret")},
	{name: "no request ID", serve: respondWith("HTTP/1.1 200 OK\r\n" + signatureLine + "Content-Length: 6\r\n\r\nsecret")},
	{name: "no signature", serve: respondWith(responseHead("200 OK", "", 2) + "ok")},
	{name: "no length", serve: respondWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + signatureLine + "\r\nunmeasured")},
	{name: "truncated chunk", serve: respondWith("HTTP/1.1 200 OK\r\nRequest-Id: ID\r\n" + signatureLine + "Transfer-Encoding: chunked\r\n\r\n9\r\nid: 1\nda")},
	{name: "response after 100 and 103", outcome: outcomeServed,
		serve: respondWith("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n" + responseHead("200 OK", signatureLine, len(firstBody)) + firstBody)},
	{name: "valid response", outcome: outcomeServed, serve: respondWith(responseHead("200 OK", signatureLine, len(firstBody)) + firstBody)},
	{name: "response and a surplus one", outcome: outcomeServed,
		serve: respondWith(responseHead("200 OK", signatureLine, len(firstBody)) + firstBody + responseHead("200 OK", signatureLine, 6) + "second")},
	{name: "rejection", outcome: outcomeRejected, serve: respondWith(responseHead("503 Full", "Not-Executed: 1\r\n", 0))},
	{name: "rejection twice", outcome: outcomeRejected,
		serve: respondWith(responseHead("503 Full", "Not-Executed: 1\r\n", 0) + responseHead("503 Full", "Not-Executed: 1\r\n", 0))},
	{name: "another instance", outcome: outcomeRejected, serve: respondWith(responseHead("421 Other", "", 0))},
	{name: "503 without Not-Executed", serve: respondWith(responseHead("503 Full", signatureLine, 0))},
	{name: "429 without Not-Executed", serve: respondWith(responseHead("429 Slow", signatureLine, 0))},
	{name: "error of the worker", outcome: outcomeFailed, serve: respondWith(responseHead("500 Broken", signatureLine, 0))},
	{name: "rejection of another request", serve: respondWith("HTTP/1.1 503 Full\r\nRequest-Id: other\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n")},
}

// requestKind is a kind of route and request.
type requestKind struct {
	name, path string
	repeatable bool
	method     string
	header     string // a header field that allows http.Transport to repeat the request
}

var requestKinds = []requestKind{
	{name: "safe", path: "/safe/x", repeatable: true, method: http.MethodGet},
	{name: "safe with a body", path: "/safe/x", repeatable: true, method: http.MethodPost},
	{name: "unsafe", path: "/unsafe/x", method: http.MethodPost},
	{name: "unsafe GET", path: "/unsafe/x", method: http.MethodGet},
	{name: "unsafe with a key", path: "/unsafe/x", method: http.MethodPost, header: "Idempotency-Key"},
	{name: "stream", path: "/stream/x", method: http.MethodPost},
	{name: "resumable stream", path: "/resume/x", repeatable: true, method: http.MethodPost},
	{name: "generation", path: "/generate/x", method: http.MethodPost},
}

// requestCase is one combination of a request kind and a behavior of the first worker. The second worker serves every request.
type requestCase struct {
	*fixture
	kind     requestKind
	behavior workerBehavior
	reused   bool // a warm-up request has used the first worker's connection before

	mutex          sync.Mutex
	firstArrivals  int // of the request under test at the first worker
	secondArrivals int // of the request under test at the second worker
}

const (
	warmUpID       = "warm-up"
	underTestID    = "under-test"
	requestTimeout = 700 * time.Millisecond
)

// serveFirst serves a connection of the first worker. It answers the warm-up request, if there is one, and leaves the rest of
// the connection to behavior.
func (c *requestCase) serveFirst(conn net.Conn) {
	reader := bufio.NewReader(conn)
	if c.reused {
		request := readRequest(reader)
		if request == nil || request.Header.Get("Request-Id") != warmUpID {
			return
		}
		_, _ = io.WriteString(conn, validResponse(warmUpID, firstBody))
	}
	c.behavior.serve(conn, reader, func() {
		c.mutex.Lock()
		defer c.mutex.Unlock()
		c.firstArrivals++
	})
}

// serveSecond serves the request under test at the second worker.
func (c *requestCase) serveSecond(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Request-Id") != underTestID {
		return
	}
	c.mutex.Lock()
	c.secondArrivals++
	c.mutex.Unlock()
	setValidHeader(w, r, "second")
	_, _ = io.WriteString(w, secondBody)
}

// stage returns the stage of the workers, which is empty for services without stages.
func (c *requestCase) stage() string {
	if strings.HasPrefix(c.kind.path, "/generate/") {
		return fleetwire.StageDecode
	}
	return ""
}

// sendKind sends a request of the case's kind and reads the response. An error means that the connection was closed before the
// end of the response.
func (c *requestCase) sendKind(id string) (*http.Response, string, error) {
	body := "body of " + id
	if c.kind.method == http.MethodGet {
		body = ""
	}
	request := c.newRequest(c.kind.method, c.kind.path, id, body)
	request.Header.Set("Deadline-Ms", itoa(int(requestTimeout.Milliseconds())))
	if c.kind.header != "" {
		request.Header.Set(c.kind.header, "key")
	}
	response, err := http.DefaultTransport.RoundTrip(request)
	if err != nil {
		return nil, "", err
	}
	defer func() { _ = response.Body.Close() }()
	responseBody, err := io.ReadAll(response.Body)
	return response, string(responseBody), err
}

// run sends the warm-up request, if the connection is to be reused, and then the request under test.
func (c *requestCase) run() (*http.Response, string, error) {
	c.addConnWorker(c.stage(), c.serveFirst)
	if c.reused {
		_, _, err := c.sendKind(warmUpID)
		require.NoError(c.t, err)
	}
	c.addWorker(c.stage(), c.serveSecond)
	return c.sendKind(underTestID)
}

// arrivals returns the arrivals of the request under test at each worker.
func (c *requestCase) arrivals() (first, second int) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.firstArrivals, c.secondArrivals
}

// Guards against a request that runs more than once though it is not repeatable, and against a client that gets the response to
// another request. Each case checks how often the request arrived at each worker and what the client got.
func TestCallsAreNeverRepeatedOrMixedUp(t *testing.T) {
	for _, kind := range requestKinds {
		for _, behavior := range workerBehaviors {
			for _, reused := range []bool{false, true} {
				name := fmt.Sprintf("%s/%s/reused %v", kind.name, behavior.name, reused)
				t.Run(name, func(t *testing.T) {
					t.Parallel()
					test := &requestCase{fixture: newFixture(t), kind: kind, behavior: behavior, reused: reused}
					test.router.options.Pool = upstream.New(upstream.Options{VerifyMargin: 100 * time.Millisecond}) // to see a reset on a busy machine too
					response, body, err := test.run()
					test.check(response, body, err)
				})
			}
		}
	}
}

// check checks the arrivals of the request and the client's response, or the error of reading it.
func (c *requestCase) check(response *http.Response, body string, err error) {
	first, second := c.arrivals()
	require.NotContains(c.t, body, "secret", "the client got the response to another request")
	require.NotContains(c.t, body, "second", "the client got a surplus response")
	require.LessOrEqual(c.t, first, 1)
	mayHaveRun := first > 0 && c.behavior.outcome != outcomeRejected
	if mayHaveRun && !c.kind.repeatable {
		require.Zero(c.t, second, "the request may have run and was sent again")
	}
	// The worker closed the reused connection while the request was on its way. The router can't know that it did not arrive.
	closedOnArrival := c.reused && first == 0 && !c.kind.repeatable && second == 0
	if err != nil { // the response was aborted
		require.True(c.t, mayHaveRun)
		return
	}
	signature := response.Header.Get("Response-Signature")
	switch {
	case second > 0:
		require.Equal(c.t, http.StatusOK, response.StatusCode)
		require.Equal(c.t, "second", signature)
		require.Equal(c.t, secondBody, body)
	case c.behavior.outcome == outcomeServed && first > 0:
		require.Equal(c.t, http.StatusOK, response.StatusCode)
		require.Equal(c.t, "first", signature)
		require.Equal(c.t, firstBody, body)
	case c.behavior.outcome == outcomeFailed && first > 0:
		require.Equal(c.t, http.StatusInternalServerError, response.StatusCode)
		require.Equal(c.t, "first", signature)
	case mayHaveRun, closedOnArrival:
		require.Contains(c.t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, response.StatusCode, "the request may have run")
		require.Empty(c.t, signature)
		require.Empty(c.t, body)
	default:
		require.Equal(c.t, http.StatusServiceUnavailable, response.StatusCode)
	}
	if first == 0 && !closedOnArrival || c.behavior.outcome == outcomeRejected || c.kind.repeatable && c.behavior.outcome == outcomeNone && c.behavior.name != "silent" {
		require.Equal(c.t, 1, second, "the second worker must serve the request")
	}
}

// Guards against a corrupted body. A worker may respond before it has read a long body, keep the connection open and read on
// later. If the router then sent the next request on the connection, the worker would read it as the rest of that body.
func TestEarlyResponseDoesNotCorruptBody(t *testing.T) {
	const bodyBytes = 8 << 20
	for _, path := range []string{"/unsafe/x", "/safe/x"} {
		fixture := newFixture(t)
		fixture.config.Limits.MaxBodyBytes = 2 * bodyBytes
		fixture.update()
		secondAnswered := make(chan struct{})
		corrupted := make(chan string, 1)
		fixture.addConnWorker("", func(conn net.Conn) {
			reader := bufio.NewReader(conn)
			request, err := http.ReadRequest(reader)
			if err != nil {
				return
			}
			id := request.Header.Get("Request-Id")
			_, _ = io.WriteString(conn, validResponse(id, "early "+id))
			if id == "first" {
				<-secondAnswered
			}
			body, _ := io.ReadAll(request.Body) // up to the end of the connection, if the router closes it
			if strings.Trim(string(body), "x") != "" {
				corrupted <- "the body contains other bytes"
			}
		})
		response, body := fixture.exchangeLargeBody(path, "first", bodyBytes)
		require.Contains(t, []int{http.StatusOK, http.StatusBadGateway}, response.StatusCode)
		if response.StatusCode == http.StatusOK {
			require.Equal(t, "early first", body)
		}
		second, body := fixture.exchangeLargeBody(path, "second", 10)
		close(secondAnswered)
		require.Equal(t, http.StatusOK, second.StatusCode)
		require.Equal(t, "early second", body)
		select {
		case failure := <-corrupted:
			t.Fatal(failure)
		default:
		}
	}
}

// exchangeLargeBody sends a POST request with a body of the size and reads the whole response.
func (f *fixture) exchangeLargeBody(path, id string, size int) (*http.Response, string) {
	f.t.Helper()
	response := f.send(f.newRequest(http.MethodPost, path, id, strings.Repeat("x", size)))
	body, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return response, string(body)
}
