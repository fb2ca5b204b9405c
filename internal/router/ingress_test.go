package router

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

func itoa(n int) string { return strconv.Itoa(n) }

// viewOf returns a view with one route of host A.example per prefix.
func viewOf(t require.TestingT, prefixes ...string) *view {
	config := &fleetwire.Config{}
	for i, prefix := range prefixes {
		config.Routes = append(config.Routes, fleetwire.Route{Name: itoa(i), Hostname: "A.example", PathPrefix: prefix})
	}
	built := newView(nil, &watch.Snapshot{Config: config})
	require.Equal(t, len(prefixes), built.table.Len(), "every route must be in the table")
	return built
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	routes := viewOf(t, "/", "/a/", "/a/b/")
	for path, want := range map[string]string{
		"/": "/", "/a": "/", "/ab/": "/", "/a/": "/a/", "/a/b": "/a/", "/a/b/": "/a/b/", "/a/b/c/d": "/a/b/", "/a/bc/": "/a/",
	} {
		found := routes.findRoute("a.EXAMPLE:80", path)
		require.NotNil(t, found, path)
		require.Equal(t, want, found.PathPrefix, path)
	}
	require.Nil(t, routes.findRoute("b.example", "/a/"))
	require.Nil(t, viewOf(t, "/a/").findRoute("a.example", "/a"))
}

func TestRouteHasLongestMatchingPrefix(t *testing.T) {
	segment := rapid.SampledFrom([]string{"a", "b", "ab"})
	rapid.Check(t, func(t *rapid.T) {
		prefixes := map[string]bool{}
		for _, segments := range rapid.SliceOfN(rapid.SliceOfN(segment, 1, 3), 1, 6).Draw(t, "prefixes") {
			prefixes["/"+strings.Join(segments, "/")+"/"] = true
		}
		var list []string
		for prefix := range prefixes {
			list = append(list, prefix)
		}
		path := "/" + strings.Join(rapid.SliceOfN(segment, 0, 4).Draw(t, "path"), "/")
		if rapid.Bool().Draw(t, "slash") && path != "/" {
			path += "/"
		}
		want := ""
		for prefix := range prefixes {
			if strings.HasPrefix(path, prefix) && len(prefix) > len(want) {
				want = prefix
			}
		}
		got := ""
		if found := viewOf(t, list...).findRoute("a.example", path); found != nil {
			got = found.PathPrefix
		}
		require.Equal(t, want, got, path)
	})
}

func TestSplitFollowsWeightsAndSessions(t *testing.T) {
	current := &view{services: map[string]*fleetwire.Service{"a": {Name: "a"}, "b": {Name: "b"}, "off": {Name: "off"}}}
	weighted := &fleetwire.Route{Split: []fleetwire.WeightedService{{Service: "off"}, {Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	counts := map[string]int{}
	for range 2000 {
		counts[current.pickService(weighted, "").Name]++
	}
	require.Zero(t, counts["off"])
	require.InDelta(t, 200, counts["b"], 100)
	weighted.Sticky = true
	for i := range 100 {
		session := itoa(i)
		require.Same(t, current.pickService(weighted, session), current.pickService(weighted, session))
	}
}

func TestErrorResponsesOfRouter(t *testing.T) {
	fixture := newFixture(t)
	response, _ := fixture.exchange(http.MethodGet, "/none/x", "id-1")
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	response = fixture.send(fixture.newRequest(http.MethodPost, "/safe/x", "id-2", strings.Repeat("x", 1001)))
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	chunked := fixture.newRequest(http.MethodPost, "/safe/x", "id-3", "")
	chunked.Body, chunked.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), -1
	require.Equal(t, http.StatusRequestEntityTooLarge, fixture.send(chunked).StatusCode)
	long := fixture.newRequest(http.MethodGet, "/safe/x", "id-4", "")
	long.Header.Set("Long", strings.Repeat("x", 5000))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, fixture.send(long).StatusCode)
	response, _ = fixture.exchange(http.MethodGet, "/safe/x", "id-5") // the service has no workers
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "0.25", response.Header.Get("Retry-After"))
	require.Empty(t, response.Header.Get("Date"))
}

func TestNothingIsReadyOrServedWithoutSnapshot(t *testing.T) {
	fixture := newFixture(t)
	router := New(Options{Placer: fixture.placer})
	require.False(t, router.Ready())
	fixture.router = router
	fixture.server.Config.Handler = router
	response, _ := fixture.exchange(http.MethodGet, "/safe/x", "id-1")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	router.Update(&watch.Snapshot{Version: fleetwire.Version{ConfigRevision: 2}, Config: fixture.config})
	require.False(t, router.Ready(), "an instance list is needed too")
	newer := &watch.Snapshot{Version: fleetwire.Version{ConfigRevision: 2, Instances: fleetwire.ListVersion{Token: 1}}, Config: fixture.config}
	router.Update(newer)
	require.True(t, router.Ready())
	router.Update(&watch.Snapshot{Version: fleetwire.Version{ConfigRevision: 1, Instances: fleetwire.ListVersion{Token: 9}}, Config: fixture.config})
	require.Same(t, newer, router.view.Load().snapshot, "a snapshot with an older configuration must be ignored")
	router.beginShutdown(time.Now())
	require.False(t, router.Ready())
}

func TestRequestAndResponsePassUnchanged(t *testing.T) {
	fixture := newFixture(t)
	type receivedRequest struct {
		request *http.Request
		body    string
	}
	received := make(chan receivedRequest, 1)
	address := fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		received <- receivedRequest{r, string(body)}
		setValidHeader(w, r, "stamp")
		w.Header().Set("Server-Load", "1,0,8")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, "<html>bytes")
	})
	request := fixture.newRequest("PATCH", "/unsafe/a%2Fb/../c?x=%20&y", "id-7", "payload")
	request.URL.Opaque = "/unsafe/a%2Fb/../c"
	request.Header.Set("Other", "kept")
	request.Header.Set("Connection", "Secret")
	request.Header.Set("Secret", "dropped")
	request.Header.Set("Kv-From", "1.2.3.4:5/x")
	request.Header.Set("Serving-Stage", "prefill")
	request.Header["User-Agent"] = nil
	response := fixture.send(request)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, response.StatusCode)
	require.Equal(t, "<html>bytes", string(body))
	require.Equal(t, "stamp", response.Header.Get("Response-Signature"))
	require.Empty(t, response.Header.Get("Keep-Alive"))
	got := <-received
	require.Equal(t, "PATCH", got.request.Method)
	require.Equal(t, "/unsafe/a%2Fb/../c?x=%20&y", got.request.RequestURI)
	require.Equal(t, "a.example", got.request.Host)
	require.Equal(t, "payload", got.body)
	require.Equal(t, "id-7", got.request.Header.Get("Request-Id"))
	require.Equal(t, "i-"+address, got.request.Header.Get("Expected-Instance"))
	require.Equal(t, "kept", got.request.Header.Get("Other"))
	for _, dropped := range []string{"Secret", "Connection", "Kv-From", "Serving-Stage", "User-Agent", "Accept-Encoding"} {
		require.NotContains(t, got.request.Header, dropped)
	}
	remainingMs, err := strconv.Atoi(got.request.Header.Get("Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, remainingMs, 6000)
	require.Greater(t, remainingMs, 1000)
}

// exchangeTarget sends a request with a target as it is, over a connection of its own, and returns the status of the answer.
func (f *fixture) exchangeTarget(method, target, id string) int {
	f.t.Helper()
	conn, err := net.Dial("tcp", f.server.Listener.Addr().String())
	require.NoError(f.t, err)
	defer func() { _ = conn.Close() }()
	require.NoError(f.t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, err = io.WriteString(conn, method+" "+target+" HTTP/1.1\r\nHost: a.example\r\nRequest-Id: "+id+"\r\nContent-Length: 0\r\n\r\n")
	require.NoError(f.t, err)
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	require.NoError(f.t, err)
	return response.StatusCode
}

// targetFixture returns a router with the route "/" and a worker that sends each target it reads to the channel.
func targetFixture(t *testing.T) (*fixture, chan string) {
	fixture := newFixture(t)
	changed := *fixture.config // a view reuses the table of the same configuration
	root := changed.Routes[0]
	root.Name, root.PathPrefix = "root", "/"
	changed.Routes = []fleetwire.Route{root}
	fixture.config = &changed
	targets := make(chan string, 1)
	fixture.addRawWorker("", func(conn net.Conn, next func() *http.Request) {
		for request := next(); request != nil; request = next() {
			targets <- request.RequestURI
			_, _ = io.WriteString(conn, validResponse(request.Header.Get("Request-Id"), "x"))
		}
	})
	return fixture, targets
}

// TestWorkerReadsTargetOfClient guards against a path or query that is encoded or normalized on its way to the worker.
func TestWorkerReadsTargetOfClient(t *testing.T) {
	fixture, targets := targetFixture(t)
	for i, target := range []string{
		"/plates/2026/12?x=1%2F2", "/plates/2026%2F12", "/plates//2026%2f12", "/plates/../a%2E", "/-/x%20y?", "/a\"b|c",
		"//plates/2026/12?x=1%2F2", "//plates/2026%2F12?x=1%2F2", "//plates/proof%20sheet", "//%25", "///a%2Fb?", "//a?b//c%20\"d",
	} {
		require.Equal(t, http.StatusOK, fixture.exchangeTarget(http.MethodPost, target, "id-"+itoa(i)), target)
		require.Equal(t, target, <-targets)
	}
}

// TestWorkerReadsPathOfAbsoluteForm guards against a path that changes because the client named the host in the target.
func TestWorkerReadsPathOfAbsoluteForm(t *testing.T) {
	fixture, targets := targetFixture(t)
	for target, want := range map[string]string{
		"http://a.example/a%2Fb?x=%20": "/a%2Fb?x=%20", "http://a.example:80//a%2Fb": "//a%2Fb", "http://a.example/a\"b|c": "/a\"b|c",
		"http://a.example": "/", "http://a.example?x=/y": "/?x=/y",
	} {
		require.Equal(t, http.StatusOK, fixture.exchangeTarget(http.MethodPost, target, "id-"+want), target)
		require.Equal(t, want, <-targets)
	}
}

// TestServerOptionsRequestIsNotAnsweredAsServed guards against a success that no worker has given: net/http's own 200.
func TestServerOptionsRequestIsNotAnsweredAsServed(t *testing.T) {
	fixture := newFixture(t)
	fixture.server.Close()
	fixture.server = httptest.NewUnstartedServer(nil)
	fixture.server.Config = fixture.router.newClientServer()
	fixture.server.Start()
	t.Cleanup(fixture.server.Close)
	require.Equal(t, http.StatusNotFound, fixture.exchangeTarget(http.MethodOptions, "*", "id"))
}

// TestTargetThatWouldChangeIsRefused guards against a changed target where net/http can't send the client's.
func TestTargetThatWouldChangeIsRefused(t *testing.T) {
	fixture, targets := targetFixture(t)
	for i, target := range []string{"//a\"b", "//a|b%2F", "//\xc3\xa9"} {
		require.Equal(t, http.StatusBadRequest, fixture.exchangeTarget(http.MethodPost, target, "id-"+itoa(i)), target)
	}
	require.Equal(t, http.StatusNotFound, fixture.exchangeTarget(http.MethodConnect, "b.example:80", "id-connect"))
	require.Equal(t, http.StatusNotFound, fixture.exchangeTarget(http.MethodPost, "mailto:a", "id-opaque"))
	require.Equal(t, http.StatusNotFound, fixture.exchangeTarget(http.MethodPost, "http:/a", "id-no-host"))
	require.Empty(t, targets)
}

func TestDoubleSlashPathIsNotAnAuthority(t *testing.T) {
	require.Equal(t, "//x/y?q=%20", workerURL("1.2.3.4:5", "//x/y?q=%20").RequestURI())
	require.Equal(t, "/x%2F?q", workerURL("1.2.3.4:5", "/x%2F?q").RequestURI())
}

func TestClientDisconnectEndsPush(t *testing.T) {
	fixture := newFixture(t)
	started, closed := make(chan struct{}), make(chan struct{})
	fixture.addWorker("", func(_ http.ResponseWriter, r *http.Request) {
		close(started)
		<-r.Context().Done()
		close(closed)
	})
	client, err := net.Dial("tcp", fixture.server.Listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(client, "GET /unsafe/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\nDeadline-Ms: 5000\r\n\r\n")
	require.NoError(t, err)
	<-started
	require.NoError(t, client.Close())
	select {
	case <-closed:
	case <-time.After(testTimeout):
		t.Fatal("the worker's connection is still open")
	}
}

func TestDrainingWorkerGetsNoRequest(t *testing.T) {
	fixture := newFixture(t)
	fixture.addWorker("", func(http.ResponseWriter, *http.Request) { t.Error("the worker was called") })
	fixture.placer.ready = func() bool { return false }
	response, _ := fixture.exchange(http.MethodGet, "/unsafe/x", "id")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, []placement.Result{placement.ResultNotExecuted}, fixture.placer.pushResults())
}

// Guards against a changed body: with the largest possible limit, the limit of the reader overflowed and cut chunked bodies to
// nothing.
func TestChunkedBodyIsForwardedUnderAnyLimit(t *testing.T) {
	for _, limit := range []int64{0, 6, math.MaxInt64 - 1, math.MaxInt64} {
		fixture := newFixture(t)
		fixture.config.Limits.MaxBodyBytes = limit
		fixture.update()
		bodies := make(chan string, 1)
		fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) {
			body, _ := io.ReadAll(r.Body)
			bodies <- string(body)
			setValidHeader(w, r, "stamp")
		})
		request := fixture.newRequest(http.MethodPost, "/unsafe/x", "id", "prompt")
		request.ContentLength, request.TransferEncoding = -1, []string{"chunked"}
		require.Equal(t, http.StatusOK, fixture.send(request).StatusCode)
		require.Equal(t, "prompt", receive(t, bodies), limit)
	}
}
