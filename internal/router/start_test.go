package router

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
	"weldscale/internal/router/upstream"
)

func TestEarlyRequestsWaitForInstanceList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := New(Options{Placer: &fakePlacer{}, Pool: upstream.New(upstream.Options{})})
		answered := make(chan *httptest.ResponseRecorder, 1)
		sendRequest := func() {
			recorder := httptest.NewRecorder()
			router.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://a.example/none/", nil))
			answered <- recorder
		}
		go sendRequest()
		time.Sleep(300 * time.Millisecond) // simulated
		require.Empty(t, answered)
		config := &fleetwire.Config{Version: 1, Limits: fleetwire.Limits{MaxHeaderBytes: 4096}}
		router.Update(&watch.Snapshot{Version: fleetwire.Version{ConfigRevision: 1}, Config: config})
		synctest.Wait()
		require.Empty(t, answered, "the instance list is still missing")
		router.Update(&watch.Snapshot{Config: config,
			Version: fleetwire.Version{ConfigRevision: 1, Instances: fleetwire.ListVersion{Token: 1, Sequence: 1}}})
		require.Equal(t, http.StatusNotFound, (<-answered).Code)
	})
}

func TestRequestsAreRefusedWithoutInstanceList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		router := New(Options{Placer: &fakePlacer{}, Pool: upstream.New(upstream.Options{})})
		started := time.Now()
		recorder := httptest.NewRecorder()
		router.ServeHTTP(recorder, httptest.NewRequest(http.MethodGet, "http://a.example/none/", nil))
		require.Equal(t, http.StatusServiceUnavailable, recorder.Code)
		require.NotEmpty(t, recorder.Header().Get("Retry-After"))
		require.Less(t, time.Since(started), time.Second, "clients give up on a request that has not been read within a second")
	})
}

func TestConnectionLimitAssumesRouterCountWhenUnknown(t *testing.T) {
	service := &fleetwire.Service{MaxConnections: 630}
	unknown := &view{snapshot: &watch.Snapshot{}}
	known := &view{snapshot: &watch.Snapshot{Routers: 9}}
	require.Equal(t, 630/placement.AssumedRouters-reservedProbeConnections, unknown.connectionLimit(service))
	require.Equal(t, 630/9-reservedProbeConnections, known.connectionLimit(service))
}
