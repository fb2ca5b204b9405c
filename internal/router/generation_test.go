package router

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// prefillWorker returns a prefill worker that answers each prompt with a KV handle and sends the handles that it is asked to
// free to freed.
func prefillWorker(freed chan<- string) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if handle, found := strings.CutPrefix(r.URL.Path, "/kv-handle/"); found && r.Method == http.MethodDelete {
			freed <- handle
			return
		}
		if r.Header.Get("Serving-Stage") != "prefill" {
			w.WriteHeader(http.StatusMisdirectedRequest)
			return
		}
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		_, _ = io.WriteString(w, `{"KvHandle":"h-`+r.Header.Get("Request-Id")+`","Tokens":1460,"Version":1}`)
	}
}

// decodeWorker returns a decode worker that sends the header of each request to headers and answers with one event.
func decodeWorker(headers chan<- http.Header) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		headers <- r.Header.Clone()
		setValidHeader(w, r, "decoded")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	}
}

// rejectingDecodeWorker returns a decode worker that sends the header of each request to headers and rejects the request.
func rejectingDecodeWorker(headers chan<- http.Header) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		headers <- r.Header.Clone()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// newGenerationRequest returns a client request to the engine service.
func (f *fixture) newGenerationRequest(id string) *http.Request {
	request := f.newRequest(http.MethodPost, "/generate/x", id, "prompt")
	request.Header.Set("Model-Name", "m")
	request.Header.Set("Token-Count", "1460,80")
	request.Header.Set("Prefix-Hash", "5c1e07a2:800,91bd3f06:660")
	return request
}

// receive returns the next value of a channel. It fails the test if there is none within testTimeout.
func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		t.Fatal("no value received in time")
		panic("unreachable")
	}
}

func TestPrefillHandsKVHandleToDecodeWorker(t *testing.T) {
	fixture := newFixture(t)
	freed, headers := make(chan string, 1), make(chan http.Header, 1)
	prefill := fixture.addWorker(fleetwire.StagePrefill, prefillWorker(freed))
	decode := fixture.addWorker(fleetwire.StageDecode, decodeWorker(headers))
	response := fixture.send(fixture.newGenerationRequest("id"))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(body))
	require.Equal(t, "decoded", response.Header.Get("Response-Signature"))
	header := receive(t, headers)
	require.Equal(t, prefill+"/h-id", header.Get("Kv-From"))
	require.Equal(t, "1", header.Get("Expect-Version"))
	require.Equal(t, "3", header.Get("Priority"))
	require.Equal(t, "i-"+decode, header.Get("Expected-Instance"))
	require.NotContains(t, header, "Serving-Stage")
	require.Empty(t, freed, "a KV handle that was fetched must not be freed")
	jobs := fixture.placer.jobs
	require.Len(t, jobs, 2)
	require.Equal(t, fleetwire.StagePrefill, jobs[0].Stage)
	require.True(t, jobs[0].Repeatable)
	require.Equal(t, []placement.PromptPart{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 660}}, jobs[0].PromptParts)
	require.Equal(t, 1460, jobs[1].PromptTokens)
	require.Equal(t, 80, jobs[1].OutputTokens)
	require.Equal(t, "z-"+prefill, jobs[1].PreferredZone)
	require.False(t, jobs[1].Repeatable)
	require.Zero(t, jobs[1].Runs, "the prefill must not count as a run")
}

func TestRejectedKVHandleIsOfferedTwiceThenFreed(t *testing.T) {
	fixture := newFixture(t)
	freed, headers := make(chan string, 1), make(chan http.Header, 3)
	fixture.addWorker(fleetwire.StagePrefill, prefillWorker(freed))
	fixture.addWorker(fleetwire.StageDecode, rejectingDecodeWorker(headers))
	fixture.addWorker(fleetwire.StageDecode, rejectingDecodeWorker(headers))
	fixture.addWorker(fleetwire.StageDecode, decodeWorker(headers))
	body, err := io.ReadAll(fixture.send(fixture.newGenerationRequest("id")).Body)
	require.NoError(t, err)
	require.NotEmpty(t, body)
	require.NotEmpty(t, receive(t, headers).Get("Kv-From"))
	require.NotEmpty(t, receive(t, headers).Get("Kv-From"))
	require.Empty(t, receive(t, headers).Get("Kv-From"))
	require.Equal(t, "h-id", receive(t, freed))
}

func TestBrokenPrefillCountsAsArrival(t *testing.T) {
	for name, test := range map[string]struct {
		prefill       http.HandlerFunc
		firstPushFree bool
	}{
		"prefill succeeds": {prefillWorker(make(chan string, 1)), true},
		"prefill breaks":   {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			headers := make(chan http.Header, 1)
			fixture.addWorker(fleetwire.StagePrefill, test.prefill)
			fixture.addWorker(fleetwire.StageDecode, decodeWorker(headers))
			fixture.send(fixture.newGenerationRequest("id"))
			receive(t, headers)
			require.Len(t, fixture.placer.jobs, 2)
			require.True(t, fixture.placer.jobs[0].FirstPushFree)
			require.Equal(t, test.firstPushFree, fixture.placer.jobs[1].FirstPushFree, "a prefill that broke must count as an arrival")
		})
	}
}

func TestKVHandleIsFreedWhenDecodeIsRefused(t *testing.T) {
	fixture := newFixture(t)
	freed, headers := make(chan string, 1), make(chan http.Header, 3)
	fixture.addWorker(fleetwire.StagePrefill, prefillWorker(freed))
	fixture.addWorker(fleetwire.StageDecode, rejectingDecodeWorker(headers))
	response := fixture.send(fixture.newGenerationRequest("id"))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Equal(t, "h-id", receive(t, freed))
}

func TestKVHandleIsFreedWhenClientDisconnects(t *testing.T) {
	fixture := newFixture(t)
	freed, started := make(chan string, 1), make(chan struct{})
	fixture.addWorker(fleetwire.StagePrefill, prefillWorker(freed))
	fixture.addWorker(fleetwire.StageDecode, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // net/http detects a closed connection only after the body is read
		close(started)
		<-r.Context().Done()
	})
	ctx, disconnect := context.WithCancel(context.Background())
	request := fixture.newGenerationRequest("id").WithContext(ctx)
	go func() {
		<-started
		disconnect()
	}()
	_, err := http.DefaultTransport.RoundTrip(request)
	require.Error(t, err)
	require.Equal(t, "h-id", receive(t, freed))
}

func TestDecodeWorkerProcessesPromptWithoutPrefill(t *testing.T) {
	for name, prepare := range map[string]func(fixture *fixture){
		"no prefill worker": func(*fixture) {},
		"prefill breaks": func(fixture *fixture) {
			fixture.addWorker(fleetwire.StagePrefill, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		},
		"prefill fails": func(fixture *fixture) {
			fixture.addWorker(fleetwire.StagePrefill, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.WriteHeader(http.StatusInternalServerError)
			})
		},
		"handle of another request": func(fixture *fixture) {
			fixture.addWorker(fleetwire.StagePrefill, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Request-Id", "another")
				_, _ = io.WriteString(w, `{"KvHandle":"theirs","Tokens":1,"Version":1}`)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			headers := make(chan http.Header, 1)
			prepare(fixture)
			fixture.addWorker(fleetwire.StageDecode, decodeWorker(headers))
			response := fixture.send(fixture.newGenerationRequest("id"))
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.NotContains(t, receive(t, headers), "Kv-From")
		})
	}
}

func TestPromptOfUnknownSizeSkipsPrefill(t *testing.T) {
	fixture := newFixture(t)
	headers := make(chan http.Header, 1)
	fixture.addWorker(fleetwire.StagePrefill, func(http.ResponseWriter, *http.Request) { fixture.t.Error("the prefill worker was called") })
	fixture.addWorker(fleetwire.StageDecode, decodeWorker(headers))
	request := fixture.newGenerationRequest("id")
	request.Header.Del("Token-Count")
	response := fixture.send(request)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NotContains(t, receive(t, headers), "Kv-From")
}

func TestKVHandleMatchesModelVersion(t *testing.T) {
	handle := kvHandle{version: 2}
	target := fleetwire.Instance{Models: []fleetwire.Model{{Name: "m", Version: 1}}}
	require.False(t, handle.matchesVersion(&target, "m"))
	require.True(t, handle.matchesVersion(&target, "other"))
	target.Models[0].Version = 2
	require.True(t, handle.matchesVersion(&target, "m"))
}

func TestFurtherPrefillAttemptsReduceMaxRuns(t *testing.T) {
	fixture := newFixture(t)
	headers := make(chan http.Header, 1)
	for range 2 {
		fixture.addWorker(fleetwire.StagePrefill, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	fixture.addWorker(fleetwire.StageDecode, decodeWorker(headers))
	require.Equal(t, http.StatusOK, fixture.send(fixture.newGenerationRequest("id")).StatusCode)
	require.Equal(t, 2, fixture.placer.jobs[1].MaxRuns, fmt.Sprint(fixture.placer.pushResults()))
	require.Zero(t, fixture.placer.jobs[1].Runs)
}
