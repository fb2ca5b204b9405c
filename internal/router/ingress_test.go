package router

import (
	"io"
	"net"
	"net/http"
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

func viewOf(t require.TestingT, prefixes ...string) *view {
	config := &fleetwire.Config{}
	for i, prefix := range prefixes {
		config.Routes = append(config.Routes, fleetwire.Route{Name: itoa(i), Hostname: "A.example", PathPrefix: prefix})
	}
	made, faults := newView(nil, &watch.Snapshot{Config: config})
	require.Empty(t, faults)
	return made
}

func TestLongestPrefixOfTheHostWins(t *testing.T) {
	made := viewOf(t, "/", "/a/", "/a/b/")
	for path, want := range map[string]string{
		"/": "/", "/a": "/", "/ab/": "/", "/a/": "/a/", "/a/b": "/a/", "/a/b/": "/a/b/", "/a/b/c/d": "/a/b/", "/a/bc/": "/a/",
	} {
		found := made.findRoute("a.EXAMPLE:80", path)
		require.NotNil(t, found, path)
		require.Equal(t, want, found.PathPrefix, path)
	}
	require.Nil(t, made.findRoute("b.example", "/a/"))
	require.Nil(t, viewOf(t, "/a/").findRoute("a.example", "/a"))
}

func TestRouteIsTheLongestPrefixThatBeginsThePath(t *testing.T) {
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
	made := &view{services: map[string]*fleetwire.Service{"a": {Name: "a"}, "b": {Name: "b"}, "off": {Name: "off"}}}
	split := &fleetwire.Route{Split: []fleetwire.WeightedService{{Service: "off"}, {Service: "a", Weight: 9}, {Service: "b", Weight: 1}}}
	counts := map[string]int{}
	for range 2000 {
		counts[made.pickService(split, "").Name]++
	}
	require.Zero(t, counts["off"])
	require.InDelta(t, 200, counts["b"], 100)
	split.Sticky = true
	for i := range 100 {
		session := itoa(i)
		require.Same(t, made.pickService(split, session), made.pickService(split, session))
	}
}

func TestAnswersOfTheRouterItself(t *testing.T) {
	f := newFixture(t)
	response, _ := f.get(http.MethodGet, "/none/x", "id-1")
	require.Equal(t, http.StatusNotFound, response.StatusCode)
	response = f.send(f.request(http.MethodPost, "/safe/x", "id-2", strings.Repeat("x", 1001)))
	require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode)
	chunked := f.request(http.MethodPost, "/safe/x", "id-3", "")
	chunked.Body, chunked.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 1001))), -1
	require.Equal(t, http.StatusRequestEntityTooLarge, f.send(chunked).StatusCode)
	long := f.request(http.MethodGet, "/safe/x", "id-4", "")
	long.Header.Set("Long", strings.Repeat("x", 5000))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, f.send(long).StatusCode)
	response, _ = f.get(http.MethodGet, "/safe/x", "id-5") // no worker at all
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, "0.25", response.Header.Get("Retry-After"))
	require.Empty(t, response.Header.Get("Date"))
}

func TestWithoutASnapshotNothingIsReadyOrServed(t *testing.T) {
	f := newFixture(t)
	fresh := New(Options{Placer: f.placer})
	require.False(t, fresh.Ready())
	f.router = fresh
	f.server.Config.Handler = fresh
	response, _ := f.get(http.MethodGet, "/safe/x", "id-1")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	fresh.Update(&watch.Snapshot{Version: fleetwire.Version{ConfigRevision: 2}, Config: f.config})
	require.False(t, fresh.Ready(), "a list is needed too")
	newer := &watch.Snapshot{Version: fleetwire.Version{ConfigRevision: 2, Instances: fleetwire.ListVersion{Token: 1}}, Config: f.config}
	fresh.Update(newer)
	require.True(t, fresh.Ready())
	fresh.Update(&watch.Snapshot{Version: fleetwire.Version{ConfigRevision: 1, Instances: fleetwire.ListVersion{Token: 9}}, Config: f.config})
	require.Same(t, newer, fresh.view.Load().snapshot, "a router never goes back")
	fresh.beginShutdown(time.Now())
	require.False(t, fresh.Ready())
}

func TestRequestAndAnswerPassUnchanged(t *testing.T) {
	f := newFixture(t)
	type sight struct {
		request *http.Request
		body    string
	}
	seen := make(chan sight, 1)
	address := f.worker("", func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		seen <- sight{r, string(body)}
		stamped(w, r, "stamp")
		w.Header().Set("Server-Load", "1,0,8")
		w.Header().Set("Keep-Alive", "timeout=5")
		w.WriteHeader(http.StatusAccepted)
		_, _ = io.WriteString(w, "<html>bytes")
	})
	request := f.request("PATCH", "/unsafe/a%2Fb/../c?x=%20&y", "id-7", "payload")
	request.URL.Opaque = "/unsafe/a%2Fb/../c"
	request.Header.Set("Other", "kept")
	request.Header.Set("Connection", "Secret")
	request.Header.Set("Secret", "dropped")
	request.Header.Set("Kv-From", "1.2.3.4:5/x")
	request.Header.Set("Serving-Stage", "prefill")
	request.Header["User-Agent"] = nil
	response := f.send(request)
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, http.StatusAccepted, response.StatusCode)
	require.Equal(t, "<html>bytes", string(body))
	require.Equal(t, "stamp", response.Header.Get("Response-Signature"))
	require.Empty(t, response.Header.Get("Keep-Alive"))
	got := <-seen
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
	left, err := strconv.Atoi(got.request.Header.Get("Deadline-Ms"))
	require.NoError(t, err)
	require.LessOrEqual(t, left, 6000)
	require.Greater(t, left, 1000)
}

func TestDoubleSlashPathIsNoAuthority(t *testing.T) {
	require.Equal(t, "//x/y?q=%20", workerURL("1.2.3.4:5", "//x/y?q=%20").RequestURI())
	require.Equal(t, "/x%2F?q", workerURL("1.2.3.4:5", "/x%2F?q").RequestURI())
}

func TestClientLeavingEndsThePush(t *testing.T) {
	f := newFixture(t)
	begun, left := make(chan struct{}), make(chan struct{})
	f.worker("", func(_ http.ResponseWriter, r *http.Request) {
		close(begun)
		<-r.Context().Done()
		close(left)
	})
	client, err := net.Dial("tcp", f.server.Listener.Addr().String())
	require.NoError(t, err)
	_, err = io.WriteString(client, "GET /unsafe/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\nDeadline-Ms: 5000\r\n\r\n")
	require.NoError(t, err)
	<-begun
	require.NoError(t, client.Close())
	select {
	case <-left:
	case <-time.After(testTimeout):
		t.Fatal("the worker's connection stays open")
	}
}

func TestADrainingWorkerGetsNothing(t *testing.T) {
	f := newFixture(t)
	f.worker("", func(http.ResponseWriter, *http.Request) { t.Error("the worker was called") })
	f.placer.ready = func() bool { return false }
	response, _ := f.get(http.MethodGet, "/unsafe/x", "id")
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Equal(t, []placement.Result{placement.ResultNotExecuted}, f.placer.seen())
}
