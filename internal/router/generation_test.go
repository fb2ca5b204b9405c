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

// prefillWorker reads prompts and tells of the handles that are given back to it.
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

func decodeWorker(seen chan<- http.Header) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		stamped(w, r, "decoded")
		_, _ = io.WriteString(w, "id: 1\ndata: a\n\n")
	}
}

// rejecting is a decode worker that takes nothing.
func rejecting(seen chan<- http.Header) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		seen <- r.Header.Clone()
		w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (f *fixture) generation(id string) *http.Request {
	request := f.request(http.MethodPost, "/generate/x", id, "prompt")
	request.Header.Set("Model-Name", "m")
	request.Header.Set("Token-Count", "1460,80")
	request.Header.Set("Prefix-Hash", "5c1e07a2:800,91bd3f06:660")
	return request
}

func receive[T any](t *testing.T, from <-chan T) T {
	t.Helper()
	select {
	case value := <-from:
		return value
	case <-time.After(testTimeout):
		t.Fatal("nothing came")
		panic("unreachable")
	}
}

func TestAPromptIsReadThenItsMemoryHandedOn(t *testing.T) {
	f := newFixture(t)
	freed, seen := make(chan string, 1), make(chan http.Header, 1)
	prefill := f.worker(fleetwire.StagePrefill, prefillWorker(freed))
	decode := f.worker(fleetwire.StageDecode, decodeWorker(seen))
	response := f.send(f.generation("id"))
	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.Equal(t, "id: 1\ndata: a\n\n", string(body))
	require.Equal(t, "decoded", response.Header.Get("Response-Signature"))
	header := receive(t, seen)
	require.Equal(t, prefill+"/h-id", header.Get("Kv-From"))
	require.Equal(t, "1", header.Get("Expect-Version"))
	require.Equal(t, "3", header.Get("Priority"))
	require.Equal(t, "i-"+decode, header.Get("Expected-Instance"))
	require.NotContains(t, header, "Serving-Stage")
	require.Empty(t, freed, "what was taken is not freed")
	jobs := f.placer.jobs
	require.Len(t, jobs, 2)
	require.Equal(t, fleetwire.StagePrefill, jobs[0].Stage)
	require.True(t, jobs[0].Repeatable)
	require.Equal(t, []placement.PromptPart{{ID: "5c1e07a2", Tokens: 800}, {ID: "91bd3f06", Tokens: 660}}, jobs[0].PromptParts)
	require.Equal(t, 1460, jobs[1].PromptTokens)
	require.Equal(t, 80, jobs[1].OutputTokens)
	require.Equal(t, "z-"+prefill, jobs[1].PreferredZone)
	require.False(t, jobs[1].Repeatable)
	require.Zero(t, jobs[1].Runs, "the first reading is no run")
}

func TestAHandleThatIsNotTakenIsOfferedAgainThenLeftOutAndFreed(t *testing.T) {
	f := newFixture(t)
	freed, seen := make(chan string, 1), make(chan http.Header, 3)
	f.worker(fleetwire.StagePrefill, prefillWorker(freed))
	f.worker(fleetwire.StageDecode, rejecting(seen))
	f.worker(fleetwire.StageDecode, rejecting(seen))
	f.worker(fleetwire.StageDecode, decodeWorker(seen))
	body, err := io.ReadAll(f.send(f.generation("id")).Body)
	require.NoError(t, err)
	require.NotEmpty(t, body)
	require.NotEmpty(t, receive(t, seen).Get("Kv-From"))
	require.NotEmpty(t, receive(t, seen).Get("Kv-From"))
	require.Empty(t, receive(t, seen).Get("Kv-From"))
	require.Equal(t, "h-id", receive(t, freed))
}

func TestARunAfterAReadingThatBrokeIsNotTheFirstArrival(t *testing.T) {
	for name, worker := range map[string]struct {
		prefill http.HandlerFunc
		free    bool
	}{
		"read":   {prefillWorker(make(chan string, 1)), true},
		"broken": {func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			seen := make(chan http.Header, 1)
			f.worker(fleetwire.StagePrefill, worker.prefill)
			f.worker(fleetwire.StageDecode, decodeWorker(seen))
			f.send(f.generation("id"))
			receive(t, seen)
			require.Len(t, f.placer.jobs, 2)
			require.True(t, f.placer.jobs[0].FirstPushFree)
			require.Equal(t, worker.free, f.placer.jobs[1].FirstPushFree, "a reading that no worker took up counts as an arrival")
		})
	}
}

func TestAHandleIsFreedWhenNoWorkerTakesTheRequest(t *testing.T) {
	f := newFixture(t)
	freed, seen := make(chan string, 1), make(chan http.Header, 3)
	f.worker(fleetwire.StagePrefill, prefillWorker(freed))
	f.worker(fleetwire.StageDecode, rejecting(seen))
	response := f.send(f.generation("id"))
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.NotEmpty(t, response.Header.Get("Retry-After"))
	require.Equal(t, "h-id", receive(t, freed))
}

func TestAHandleIsFreedWhenTheClientLeaves(t *testing.T) {
	f := newFixture(t)
	freed, begun := make(chan string, 1), make(chan struct{})
	f.worker(fleetwire.StagePrefill, prefillWorker(freed))
	f.worker(fleetwire.StageDecode, func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // a server sees the end of a connection only behind the body
		close(begun)
		<-r.Context().Done()
	})
	ctx, leave := context.WithCancel(context.Background())
	request := f.generation("id").WithContext(ctx)
	go func() {
		<-begun
		leave()
	}()
	_, err := http.DefaultTransport.RoundTrip(request)
	require.Error(t, err)
	require.Equal(t, "h-id", receive(t, freed))
}

func TestWithoutPrefillTheDecodeWorkerReads(t *testing.T) {
	for name, prepare := range map[string]func(f *fixture){
		"no prefill worker": func(*fixture) {},
		"prefill breaks": func(f *fixture) {
			f.worker(fleetwire.StagePrefill, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
		},
		"prefill fails": func(f *fixture) {
			f.worker(fleetwire.StagePrefill, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				w.WriteHeader(http.StatusInternalServerError)
			})
		},
		"handle of another": func(f *fixture) {
			f.worker(fleetwire.StagePrefill, func(w http.ResponseWriter, _ *http.Request) {
				w.Header().Set("Request-Id", "another")
				_, _ = io.WriteString(w, `{"KvHandle":"theirs","Tokens":1,"Version":1}`)
			})
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newFixture(t)
			seen := make(chan http.Header, 1)
			prepare(f)
			f.worker(fleetwire.StageDecode, decodeWorker(seen))
			response := f.send(f.generation("id"))
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.NotContains(t, receive(t, seen), "Kv-From")
		})
	}
}

func TestAPromptOfUntoldSizeIsReadByTheDecodeWorker(t *testing.T) {
	f := newFixture(t)
	seen := make(chan http.Header, 1)
	f.worker(fleetwire.StagePrefill, func(http.ResponseWriter, *http.Request) { f.t.Error("called") })
	f.worker(fleetwire.StageDecode, decodeWorker(seen))
	request := f.generation("id")
	request.Header.Del("Token-Count")
	response := f.send(request)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.NotContains(t, receive(t, seen), "Kv-From")
}

func TestMemoryOfOtherWeightsIsNotOffered(t *testing.T) {
	held := kvHandle{version: 2}
	target := fleetwire.Instance{Models: []fleetwire.Model{{Name: "m", Version: 1}}}
	require.False(t, held.matchesVersion(&target, "m"))
	require.True(t, held.matchesVersion(&target, "other"))
	target.Models[0].Version = 2
	require.True(t, held.matchesVersion(&target, "m"))
}

func TestFurtherReadingsCountAsAttempts(t *testing.T) {
	f := newFixture(t)
	seen := make(chan http.Header, 1)
	for range 2 {
		f.worker(fleetwire.StagePrefill, func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) })
	}
	f.worker(fleetwire.StageDecode, decodeWorker(seen))
	require.Equal(t, http.StatusOK, f.send(f.generation("id")).StatusCode)
	require.Equal(t, 2, f.placer.jobs[1].MaxRuns, fmt.Sprint(f.placer.seen()))
	require.Zero(t, f.placer.jobs[1].Runs)
}
