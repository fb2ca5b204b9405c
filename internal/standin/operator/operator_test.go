package operator

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"
)

// controllers starts two servers that together answer with the given statuses in order. It returns their addresses and the
// requests that they got.
func controllers(t *testing.T, statuses ...int) (func() []string, *[]string) {
	var addresses []string
	requests := &[]string{}
	for range 2 {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			body := make([]byte, r.ContentLength)
			_, _ = r.Body.Read(body)
			*requests = append(*requests, r.Host+" "+r.Header.Get("Base-Version")+" "+string(body))
			w.WriteHeader(statuses[0])
			statuses = statuses[1:]
		}))
		t.Cleanup(server.Close)
		addresses = append(addresses, server.Listener.Addr().String())
	}
	return func() []string { return addresses }, requests
}

func TestLostAnswerIsRetriedAtAnotherController(t *testing.T) {
	known, requests := controllers(t, 200, 200)
	o := New(known)
	o.DropAnswers(1)
	status, err := o.ReplaceRaw(context.Background(), 3, []byte("{}"))
	require.NoError(t, err)
	require.Equal(t, http.StatusOK, status)
	require.ElementsMatch(t, []string{known()[0] + " 3 {}", known()[1] + " 3 {}"}, *requests)
}

func TestConclusiveAndRetriedStatuses(t *testing.T) {
	for statuses, want := range map[[2]int]int{{500, 412}: 412, {429, 200}: 200, {408, 400}: 400, {422, 200}: 422} {
		known, _ := controllers(t, statuses[:]...)
		status, err := New(known).ReplaceRaw(context.Background(), 0, nil)
		require.NoError(t, err)
		require.Equal(t, want, status)
	}
	known, _ := controllers(t, 404, 404, 404)
	o := New(known)
	status, err := o.ReplaceRaw(context.Background(), 0, nil)
	require.NoError(t, err)
	require.Equal(t, 404, status)
	require.Equal(t, 3, o.Calls())
}
