package router

import (
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
	"weldscale/internal/router/upstream"
)

// requestCounter counts the requests that workers received, by ID.
type requestCounter struct {
	mutex  sync.Mutex
	counts map[string]int
}

// add counts a request and returns its new count.
func (c *requestCounter) add(id string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.counts == nil {
		c.counts = map[string]int{}
	}
	c.counts[id]++
	return c.counts[id]
}

func (c *requestCounter) count(id string) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.counts[id]
}

// breakingWorker answers the first request on a connection and closes the connection after reading the second one.
func breakingWorker(received *requestCounter) func(net.Conn, func() *http.Request) {
	return func(conn net.Conn, next func() *http.Request) {
		for number := 0; ; number++ {
			request := next()
			if request == nil {
				return
			}
			id := request.Header.Get("Request-Id")
			received.add(id)
			if number == 1 {
				return
			}
			_, _ = io.WriteString(conn, validResponse(id, "ok"))
		}
	}
}

// Guards against a request that runs twice. When a reused connection breaks, the worker may have received the request.
// http.Transport sends such a request again if its method is idempotent. The router must not.
func TestRequestIsNotResentWhenReusedConnectionBreaks(t *testing.T) {
	t.Run("control: http.Transport resends", func(t *testing.T) {
		fixture, received := newFixture(t), &requestCounter{}
		address := fixture.addRawWorker("", breakingWorker(received))
		transport := &http.Transport{DisableCompression: true}
		defer transport.CloseIdleConnections()
		for _, id := range []string{"first", "second"} {
			request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, "http://"+address+"/", nil)
			require.NoError(t, err)
			request.Header.Set("Request-Id", id)
			response, err := transport.RoundTrip(request)
			require.NoError(t, err)
			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())
		}
		require.Equal(t, 2, received.count("second"), "the cases below prove nothing unless http.Transport resends")
	})
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodOptions} {
		t.Run(method, func(t *testing.T) {
			fixture, received := newFixture(t), &requestCounter{}
			fixture.addRawWorker("", breakingWorker(received))
			response, body := fixture.exchange(method, "/unsafe/x", "first")
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "ok", body)
			response, _ = fixture.exchange(method, "/unsafe/x", "second")
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Equal(t, 1, received.count("second"))
			require.Equal(t, []placement.Result{placement.ResultServed, placement.ResultConnectionBroken}, fixture.placer.pushResults())
		})
	}
}

func TestConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	fixture, received := newFixture(t), &requestCounter{}
	closed := make(chan struct{}, 2)
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		request := next()
		if request == nil {
			return
		}
		id := request.Header.Get("Request-Id")
		received.add(id)
		_, _ = io.WriteString(conn, validResponse(id, "ok"))
		_ = conn.Close()
		closed <- struct{}{}
	})
	fixture.exchange(http.MethodGet, "/unsafe/x", "first")
	<-closed
	pool := fixture.router.options.Pool
	require.Eventually(t, func() bool { // until the pool returns a new connection instead of the closed one
		conn, err := pool.Acquire(context.Background(), fixture.placer.targets[""][0].Address, 1, upstream.AnyIdleTime)
		if err != nil {
			return false
		}
		defer conn.Discard()
		return !conn.Sent()
	}, testTimeout, time.Millisecond)
	response, _ := fixture.exchange(http.MethodGet, "/unsafe/x", "second")
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestResponseToAnotherRequestIsNotRelayed(t *testing.T) {
	fixture, received := newFixture(t), &requestCounter{}
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		request := next()
		if request == nil {
			return
		}
		id := request.Header.Get("Request-Id")
		received.add(id)
		_, _ = io.WriteString(conn, validResponse("another", "secret"))
		require.Nil(t, next(), "the router must close the connection")
	})
	response, body := fixture.exchange(http.MethodGet, "/unsafe/x", "id")
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, body)
	require.Empty(t, response.Header.Get("Response-Signature"))
	require.Equal(t, []placement.Result{placement.ResultConnectionBroken}, fixture.placer.pushResults())
}

// A valid load report in a response is passed on whether the request ran or not. A malformed one, and one in a response to
// another request, is not.
func TestLoadReportInResponseIsPassedOn(t *testing.T) {
	for _, test := range []struct {
		serverLoad   string
		notExecuted  bool
		otherRequest bool
		reported     []placement.Load
	}{
		{serverLoad: "3,1,8", reported: []placement.Load{{Running: 3, Queued: 1}}},
		{serverLoad: "8, 24, 8", notExecuted: true, reported: []placement.Load{{Running: 8, Queued: 24}}},
		{serverLoad: "3,1,8", otherRequest: true},
		{serverLoad: ""},
		{serverLoad: "3"},
		{serverLoad: "3,x,8"},
		{serverLoad: "-1,0,8"},
	} {
		fixture := newFixture(t)
		var reported []placement.Load
		fixture.router.options.OnLoadReport = func(target *fleetwire.Instance, load placement.Load) {
			require.Equal(t, "plain", target.Service)
			reported = append(reported, load)
		}
		fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) {
			setValidHeader(w, r, "s")
			w.Header().Set("Server-Load", test.serverLoad)
			if test.otherRequest {
				w.Header().Set("Request-Id", "another")
			}
			if test.notExecuted {
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		fixture.exchange(http.MethodGet, "/unsafe/x", "id")
		require.Equal(t, test.reported, reported, "%+v", test)
	}
}

func TestSurplusResponsesAreNotRelayed(t *testing.T) {
	fixture := newFixture(t)
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		for request := next(); request != nil; request = next() {
			id := request.Header.Get("Request-Id")
			_, _ = io.WriteString(conn, validResponse(id, "body of "+id)+validResponse("surplus", "stray"))
		}
	})
	for _, id := range []string{"one", "two", "three", "four", "five", "six"} {
		response, body := fixture.exchange(http.MethodGet, "/safe/x", id)
		if response.StatusCode == http.StatusOK {
			require.Equal(t, "body of "+id, body)
		} else {
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
		}
	}
}

func TestSuccessNeedsSignatureAndLength(t *testing.T) {
	for name, rawResponse := range map[string]string{
		"no signature":    "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nContent-Length: 2\r\n\r\nok",
		"no length":       "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Signature: s\r\nConnection: close\r\n\r\nok",
		"encoded":         "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"truncated body":  "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Signature: s\r\nContent-Length: 20\r\n\r\nok",
		"truncated chunk": "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"no response":     "garbage\r\n\r\n",
		"silence":         "",
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
				if next() != nil {
					_, _ = io.WriteString(conn, rawResponse)
				}
			})
			response, body := fixture.exchange(http.MethodGet, "/unsafe/x", "id")
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Empty(t, body)
		})
	}
}

func TestTruncatedLargeResponseDoesNotLookComplete(t *testing.T) {
	fixture := newFixture(t)
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		if next() == nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Signature: s\r\nContent-Length: 3000000\r\n\r\n")
		_, _ = io.WriteString(conn, strings.Repeat("x", 2000000))
	})
	response := fixture.send(fixture.newRequest(http.MethodGet, "/safe/x", "id", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	_, err := io.ReadAll(response.Body)
	require.Error(t, err)
	require.Len(t, fixture.placer.pushResults(), 1)
}

func TestLargeResponseIsRelayedWhole(t *testing.T) {
	fixture := newFixture(t)
	large := strings.Repeat("0123456789", 300000)
	fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) {
		setValidHeader(w, r, "s")
		_, _ = io.WriteString(w, large)
	})
	_, body := fixture.exchange(http.MethodGet, "/safe/x", "id")
	require.True(t, large == body)
}

func TestWorkerStatusDeterminesResult(t *testing.T) {
	for name, test := range map[string]struct {
		head    string // status line and header fields, without the protocol version
		path    string
		status  int
		relayed bool
		result  placement.Result
	}{
		"rejected":                 {"503 X\r\nNot-Executed: 1", "/unsafe/x", 503, false, placement.ResultNotExecuted},
		"another instance":         {"421 X", "/unsafe/x", 503, false, placement.ResultNotExecuted},
		"503 without Not-Executed": {"503 X\r\nResponse-Signature: s", "/unsafe/x", 502, false, placement.ResultFailed},
		"429 without Not-Executed": {"429 X\r\nResponse-Signature: s", "/unsafe/x", 502, false, placement.ResultFailed},
		"error of the worker":      {"500 X\r\nResponse-Signature: s", "/unsafe/x", 500, true, placement.ResultFailed},
		"at the deadline":          {"504 X\r\nResponse-Signature: s", "/unsafe/x", 504, true, placement.ResultFailed},
		"bad request":              {"400 X\r\nResponse-Signature: s", "/unsafe/x", 400, true, placement.ResultServed},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
				for next() != nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+test.head+"\r\nRequest-Id: id\r\nContent-Length: 1\r\n\r\n!")
				}
			})
			response, body := fixture.exchange(http.MethodGet, test.path, "id")
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, test.relayed, response.Header.Get("Response-Signature") == "s")
			require.Equal(t, test.relayed, body == "!")
			require.Equal(t, []placement.Result{test.result}, fixture.placer.pushResults())
		})
	}
}

// Guards against a retry that takes a late response for its own. If a worker sends a rejection twice, the second one carries
// the request's ID too, so that a retry on the same connection would take it for its response.
func TestRetryDoesNotReuseItsConnection(t *testing.T) {
	fixture := newFixture(t)
	accepted := make(chan struct{}, 4)
	address := fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		accepted <- struct{}{}
		for next() != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: id\r\nContent-Length: 0\r\n\r\n")
		}
	})
	fixture.addTarget("", address)
	fixture.exchange(http.MethodGet, "/unsafe/x", "id")
	<-accepted
	<-accepted
	require.Equal(t, []placement.Result{placement.ResultNotExecuted, placement.ResultNotExecuted}, fixture.placer.pushResults())
}

func TestNoRequestIsLostAtWorkersConnectionLimit(t *testing.T) {
	fixture := newFixture(t)
	fixture.router.options.Pool = upstream.New(upstream.Options{VerifyMargin: 100 * time.Millisecond}) // to see the reset on a busy machine too
	var received requestCounter
	fullWorker, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = fullWorker.Close() })
	go func() { // accepts each connection and resets it at once
		for {
			conn, err := fullWorker.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	fixture.addTarget("", fullWorker.Addr().String())
	fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) {
		received.add(r.Header.Get("Request-Id"))
		setValidHeader(w, r, "s")
		_, _ = io.WriteString(w, "ok")
	})
	response, body := fixture.exchange(http.MethodPost, "/unsafe/x", "once")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "ok", body)
	require.Equal(t, 1, received.count("once"))
	results := fixture.placer.pushResults()
	require.Len(t, results, 2)
	unsentResults := []placement.Result{placement.ResultNotExecuted, placement.ResultConnectFailed}
	require.Contains(t, unsentResults, results[0], "the reset may come before or after the connection is established")
	require.Equal(t, placement.ResultServed, results[1])
}

func TestFailedConnectionGives503(t *testing.T) {
	fixture := newFixture(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	fixture.addTarget("", listener.Addr().String())
	require.NoError(t, listener.Close())
	response, _ := fixture.exchange(http.MethodPost, "/unsafe/x", "id")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, []placement.Result{placement.ResultConnectFailed}, fixture.placer.pushResults())
}

func TestDeadlineEndsRequest(t *testing.T) {
	fixture := newFixture(t)
	fixture.addWorker("", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	request := fixture.newRequest(http.MethodGet, "/unsafe/x", "id", "")
	request.Header.Set("Deadline-Ms", "40")
	require.Equal(t, http.StatusGatewayTimeout, fixture.send(request).StatusCode)
	require.Equal(t, []placement.Result{placement.ResultTimedOut}, fixture.placer.pushResults())
}
