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

// sights counts the requests that workers saw, by id.
type sights struct {
	mutex sync.Mutex
	count map[string]int
}

func (s *sights) note(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	if s.count == nil {
		s.count = map[string]int{}
	}
	s.count[id]++
	return s.count[id]
}

func (s *sights) of(id string) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.count[id]
}

// dyingWorker answers the first request of a connection and closes it once it has read the second one.
func dyingWorker(seen *sights) func(net.Conn, func() *http.Request) {
	return func(conn net.Conn, next func() *http.Request) {
		for number := 0; ; number++ {
			request := next()
			if request == nil {
				return
			}
			id := request.Header.Get("Request-Id")
			seen.note(id)
			if number == 1 {
				return
			}
			_, _ = io.WriteString(conn, answerTo(id, "ok"))
		}
	}
}

// A kept connection that dies under a request may have carried it. net/http's Transport sends such a request again by
// itself if its method is idempotent; the router must not.
func TestNothingIsSentAgainOnADeadKeptConnection(t *testing.T) {
	t.Run("control: a Transport sends again", func(t *testing.T) {
		f, seen := newFixture(t), &sights{}
		address := f.rawWorker("", dyingWorker(seen))
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
		require.Equal(t, 2, seen.of("second"), "without this the test below proves nothing")
	})
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodOptions} {
		t.Run(method, func(t *testing.T) {
			f, seen := newFixture(t), &sights{}
			f.rawWorker("", dyingWorker(seen))
			response, body := f.get(method, "/unsafe/x", "first")
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, "ok", body)
			response, _ = f.get(method, "/unsafe/x", "second")
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Equal(t, 1, seen.of("second"))
			require.Equal(t, []placement.Result{placement.ResultServed, placement.ResultConnectionBroken}, f.placer.seen())
		})
	}
}

func TestAConnectionClosedWhileIdleIsNotUsed(t *testing.T) {
	f, seen := newFixture(t), &sights{}
	closed := make(chan struct{}, 2)
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		request := next()
		if request == nil {
			return
		}
		id := request.Header.Get("Request-Id")
		seen.note(id)
		_, _ = io.WriteString(conn, answerTo(id, "ok"))
		_ = conn.Close()
		closed <- struct{}{}
	})
	f.get(http.MethodGet, "/unsafe/x", "first")
	<-closed
	pool := f.router.options.Pool
	require.Eventually(t, func() bool { // the close has been seen by this side
		conn, err := pool.Acquire(context.Background(), f.placer.targets[""][0].Address, 1, upstream.AnyIdleTime)
		if err != nil {
			return false
		}
		defer conn.Discard()
		return !conn.Sent()
	}, testTimeout, time.Millisecond)
	response, _ := f.get(http.MethodGet, "/unsafe/x", "second")
	require.Equal(t, http.StatusOK, response.StatusCode)
}

func TestAnAnswerToAnotherRequestIsNotTheClients(t *testing.T) {
	f, seen := newFixture(t), &sights{}
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		request := next()
		if request == nil {
			return
		}
		id := request.Header.Get("Request-Id")
		seen.note(id)
		_, _ = io.WriteString(conn, answerTo("another", "secret"))
		require.Nil(t, next(), "the connection is given up")
	})
	response, body := f.get(http.MethodGet, "/unsafe/x", "id")
	require.Equal(t, http.StatusBadGateway, response.StatusCode)
	require.Empty(t, body)
	require.Empty(t, response.Header.Get("Response-Signature"))
	require.Equal(t, []placement.Result{placement.ResultConnectionBroken}, f.placer.seen())
}

// A worker's statement of its load is passed on, whatever became of the request; what is no statement is not, nor one that came
// with another request's answer.
func TestTheLoadInAnAnswerIsPassedOn(t *testing.T) {
	for _, trial := range []struct {
		stated      string
		notExecuted bool
		stranger    bool
		told        []placement.Load
	}{
		{stated: "3,1,8", told: []placement.Load{{Running: 3, Queued: 1}}},
		{stated: "8, 24, 8", notExecuted: true, told: []placement.Load{{Running: 8, Queued: 24}}},
		{stated: "3,1,8", stranger: true},
		{stated: ""},
		{stated: "3"},
		{stated: "3,x,8"},
		{stated: "-1,0,8"},
	} {
		f := newFixture(t)
		var told []placement.Load
		f.router.options.OnLoadReport = func(target *fleetwire.Instance, load placement.Load) {
			require.Equal(t, "plain", target.Service)
			told = append(told, load)
		}
		f.worker("", func(w http.ResponseWriter, r *http.Request) {
			stamped(w, r, "s")
			w.Header().Set("Server-Load", trial.stated)
			if trial.stranger {
				w.Header().Set("Request-Id", "another")
			}
			if trial.notExecuted {
				w.Header().Set("Not-Executed", "1")
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		f.get(http.MethodGet, "/unsafe/x", "id")
		require.Equal(t, trial.told, told, "%+v", trial)
	}
}

func TestSurplusBytesReachNobody(t *testing.T) {
	f := newFixture(t)
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		for request := next(); request != nil; request = next() {
			id := request.Header.Get("Request-Id")
			_, _ = io.WriteString(conn, answerTo(id, "body of "+id)+answerTo("surplus", "stray"))
		}
	})
	for _, id := range []string{"one", "two", "three", "four", "five", "six"} {
		response, body := f.get(http.MethodGet, "/safe/x", id)
		if response.StatusCode == http.StatusOK {
			require.Equal(t, "body of "+id, body)
		} else {
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
		}
	}
}

func TestASuccessNeedsItsStampAndAMeasure(t *testing.T) {
	for name, answer := range map[string]string{
		"no stamp":   "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nContent-Length: 2\r\n\r\nok",
		"no measure": "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Signature: s\r\nConnection: close\r\n\r\nok",
		"encoded":    "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Signature: s\r\nContent-Encoding: gzip\r\nContent-Length: 2\r\n\r\nok",
		"cut":        "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Signature: s\r\nContent-Length: 20\r\n\r\nok",
		"cut chunk":  "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Signature: s\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
		"no answer":  "garbage\r\n\r\n",
		"silence":    "",
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
				if next() != nil {
					_, _ = io.WriteString(conn, answer)
				}
			})
			response, body := f.get(http.MethodGet, "/unsafe/x", "id")
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Empty(t, body)
		})
	}
}

func TestALargeAnswerThatBreaksNeverLooksComplete(t *testing.T) {
	f := newFixture(t)
	f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		if next() == nil {
			return
		}
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nRequest-Id: id\r\nResponse-Signature: s\r\nContent-Length: 3000000\r\n\r\n")
		_, _ = io.WriteString(conn, strings.Repeat("x", 2000000))
	})
	response := f.send(f.request(http.MethodGet, "/safe/x", "id", ""))
	require.Equal(t, http.StatusOK, response.StatusCode)
	_, err := io.ReadAll(response.Body)
	require.Error(t, err)
	require.Len(t, f.placer.seen(), 1)
}

func TestALargeAnswerPassesWhole(t *testing.T) {
	f := newFixture(t)
	whole := strings.Repeat("0123456789", 300000)
	f.worker("", func(w http.ResponseWriter, r *http.Request) {
		stamped(w, r, "s")
		_, _ = io.WriteString(w, whole)
	})
	_, body := f.get(http.MethodGet, "/safe/x", "id")
	require.True(t, whole == body)
}

func TestWorkersWords(t *testing.T) {
	for name, test := range map[string]struct {
		head   string // after the status
		path   string
		status int
		signed bool
		result placement.Result
	}{
		"rejected":           {"503 X\r\nNot-Executed: 1", "/unsafe/x", 503, false, placement.ResultNotExecuted},
		"another instance":   {"421 X", "/unsafe/x", 503, false, placement.ResultNotExecuted},
		"503 and it may run": {"503 X\r\nResponse-Signature: s", "/unsafe/x", 502, false, placement.ResultFailed},
		"429 and it may run": {"429 X\r\nResponse-Signature: s", "/unsafe/x", 502, false, placement.ResultFailed},
		"failure of its own": {"500 X\r\nResponse-Signature: s", "/unsafe/x", 500, true, placement.ResultFailed},
		"at the deadline":    {"504 X\r\nResponse-Signature: s", "/unsafe/x", 504, true, placement.ResultFailed},
		"bad request":        {"400 X\r\nResponse-Signature: s", "/unsafe/x", 400, true, placement.ResultServed},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
				for next() != nil {
					_, _ = io.WriteString(conn, "HTTP/1.1 "+test.head+"\r\nRequest-Id: id\r\nContent-Length: 1\r\n\r\n!")
				}
			})
			response, body := f.get(http.MethodGet, test.path, "id")
			require.Equal(t, test.status, response.StatusCode)
			require.Equal(t, test.signed, response.Header.Get("Response-Signature") == "s")
			require.Equal(t, test.signed, body == "!")
			require.Equal(t, []placement.Result{test.result}, f.placer.seen())
		})
	}
}

// The late second half of a doubled rejection carries the id of the request, so it would look like the answer to the
// second sending.
func TestARequestNeverTakesItsOwnConnectionTwice(t *testing.T) {
	f := newFixture(t)
	accepted := make(chan struct{}, 4)
	address := f.rawWorker("", func(conn net.Conn, next func() *http.Request) {
		accepted <- struct{}{}
		for next() != nil {
			_, _ = io.WriteString(conn, "HTTP/1.1 503 X\r\nNot-Executed: 1\r\nRequest-Id: id\r\nContent-Length: 0\r\n\r\n")
		}
	})
	f.at("", address)
	f.get(http.MethodGet, "/unsafe/x", "id")
	<-accepted
	<-accepted
	require.Equal(t, []placement.Result{placement.ResultNotExecuted, placement.ResultNotExecuted}, f.placer.seen())
}

func TestAConnectionOverTheWorkersCapLosesNoRequest(t *testing.T) {
	f := newFixture(t)
	f.router.options.Pool = upstream.New(upstream.Options{VerifyMargin: 100 * time.Millisecond}) // also on a busy machine
	var seen sights
	full, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = full.Close() })
	go func() { // it takes each connection and resets it at once
		for {
			conn, err := full.Accept()
			if err != nil {
				return
			}
			_ = conn.(*net.TCPConn).SetLinger(0)
			_ = conn.Close()
		}
	}()
	f.at("", full.Addr().String())
	f.worker("", func(w http.ResponseWriter, r *http.Request) {
		seen.note(r.Header.Get("Request-Id"))
		stamped(w, r, "s")
		_, _ = io.WriteString(w, "ok")
	})
	response, body := f.get(http.MethodPost, "/unsafe/x", "once")
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, "ok", body)
	require.Equal(t, 1, seen.of("once"))
	results := f.placer.seen()
	require.Len(t, results, 2)
	nothingSent := []placement.Result{placement.ResultNotExecuted, placement.ResultConnectFailed}
	require.Contains(t, nothingSent, results[0], "the reset may come before or after the connection has come about")
	require.Equal(t, placement.ResultServed, results[1])
}

func TestNothingSentIsSaidSo(t *testing.T) {
	f := newFixture(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	f.at("", listener.Addr().String())
	require.NoError(t, listener.Close())
	response, _ := f.get(http.MethodPost, "/unsafe/x", "id")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, []placement.Result{placement.ResultConnectFailed}, f.placer.seen())
}

func TestTheRouteTimeoutEndsARequest(t *testing.T) {
	f := newFixture(t)
	f.worker("", func(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() })
	request := f.request(http.MethodGet, "/unsafe/x", "id", "")
	request.Header.Set("Deadline-Ms", "40")
	require.Equal(t, http.StatusGatewayTimeout, f.send(request).StatusCode)
	require.Equal(t, []placement.Result{placement.ResultTimedOut}, f.placer.seen())
}
