package platform

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

type page struct {
	Instances     []Instance
	NextPageToken *string
}

// call requests a page from the handler, without a socket.
func call(t *testing.T, p *Platform, query string) (int, page) {
	t.Helper()
	recorder := httptest.NewRecorder()
	p.serveInstances(recorder, httptest.NewRequest(http.MethodGet, "/instances?"+query, nil))
	var got page
	if recorder.Code == http.StatusOK {
		require.NoError(t, json.Unmarshal(recorder.Body.Bytes(), &got))
	}
	return recorder.Code, got
}

func start(t *testing.T, config Config) *Platform {
	t.Helper()
	p, err := Start(config)
	require.NoError(t, err)
	t.Cleanup(p.Close)
	return p
}

func TestPagesAndZones(t *testing.T) {
	p := start(t, Config{PageSize: 2})
	for i := range 5 {
		p.Put(Instance{ID: fmt.Sprint(i), Zone: fmt.Sprintf("z%d", i%2), State: StateReady})
	}
	_, first := call(t, p, "")
	require.Len(t, first.Instances, 2)
	p.Remove("4") // later pages still come from the same version
	_, second := call(t, p, "PageToken="+*first.NextPageToken)
	_, third := call(t, p, "PageToken="+*second.NextPageToken)
	require.Equal(t, "4", third.Instances[0].ID)
	require.Nil(t, third.NextPageToken)
	_, zone := call(t, p, "Zone=z1")
	require.Len(t, zone.Instances, 2)
	require.Nil(t, zone.NextPageToken)
	code, _ := call(t, p, "PageToken=nonsense")
	require.Equal(t, http.StatusBadRequest, code)
}

func TestLagRateAndDown(t *testing.T) {
	now := time.Now()
	listed := map[string]time.Time{}
	p := start(t, Config{Lag: time.Second, RatePerS: 2, Now: func() time.Time { return now },
		OnListed: func(id string, at time.Time) { listed[id] = at }})
	p.Put(Instance{ID: "a", State: StateReady})
	_, got := call(t, p, "")
	require.Empty(t, got.Instances)
	now = now.Add(time.Second)
	_, got = call(t, p, "")
	require.Len(t, got.Instances, 1)
	p.Drain("a")
	require.Equal(t, map[string]time.Time{"a": now.Add(time.Second)}, listed)
	call(t, p, "")
	code, _ := call(t, p, "")
	require.Equal(t, http.StatusTooManyRequests, code)
	_, limited := p.Calls()
	require.Equal(t, 1, limited)
	now = now.Add(time.Minute)
	p.SetDown(true)
	code, _ = call(t, p, "")
	require.Equal(t, http.StatusServiceUnavailable, code)
}

func TestEntryUsesReadyRouters(t *testing.T) {
	var ready [3]atomic.Bool
	var routers []Router
	for i := range ready {
		ready[i].Store(true)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			if !ready[i].Load() {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		}))
		defer server.Close()
		routers = append(routers, Router{Zone: fmt.Sprint("z", i/2), Frontend: fmt.Sprint(i),
			Readiness: server.Listener.Addr().String()})
	}
	entry := StartEntry(routers)
	defer entry.Close()
	for n, changed := entry.Ready(); n < 3; n, changed = entry.Ready() {
		<-changed
	}
	seen := map[string]bool{}
	for client := range uint64(50) {
		seen[entry.SelectRouter("z0", client, 0)] = true
		require.Equal(t, "2", entry.SelectRouter("z1", client, 0))
		require.NotEqual(t, entry.SelectRouter("z0", client, 0), entry.SelectRouter("z0", client, 1), "another attempt gets another router")
	}
	require.Equal(t, map[string]bool{"0": true, "1": true}, seen)
}

func TestTwoFailedProbesRemoveRouter(t *testing.T) {
	e := &Entry{changed: make(chan struct{}), routers: []*routerState{{Router: Router{Zone: "z", Frontend: "0"}},
		{Router: Router{Zone: "y", Frontend: "1"}}}}
	one, other := e.routers[0], e.routers[1]
	e.recordProbe(one, true)
	e.recordProbe(other, true)
	e.recordProbe(one, false)
	require.True(t, one.inRotation)
	e.recordProbe(one, false)
	require.False(t, one.inRotation)
	require.Equal(t, "1", e.SelectRouter("z", 1, 0), "a router of another zone is used")
	e.recordProbe(other, false)
	e.recordProbe(other, false)
	require.NotEmpty(t, e.SelectRouter("z", 1, 0), "all routers are used if none is in rotation")
}
