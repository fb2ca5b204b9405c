package llmworker

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/standin/engine"
	"weldscale/internal/standin/judge"
)

// fixture starts workers and sends requests to them.
type fixture struct {
	t          *testing.T
	judge      *judge.Checker
	transport  *http.Transport
	neighbours *Neighbours
}

func newFixture(t *testing.T) *fixture {
	f := &fixture{t: t, judge: judge.New(judge.DefaultBounds), transport: &http.Transport{DisableCompression: true},
		neighbours: &Neighbours{}}
	t.Cleanup(f.transport.CloseIdleConnections)
	return f
}

func (f *fixture) start(config Config) *Worker {
	f.t.Helper()
	config.Judge, config.Neighbours, config.Service = f.judge, f.neighbours, "s"
	w, err := Start(config)
	require.NoError(f.t, err)
	f.t.Cleanup(w.Stop)
	return w
}

// send reports a request to the judge and sends it.
func (f *fixture) send(w *Worker, id string, headers ...string) (*http.Response, error) {
	f.judge.Sent(judge.Request{ID: id, Services: []string{"s"}, Fingerprint: judge.Fingerprint("POST", "/p/x?q=1",
		[]byte("body")), At: time.Now()})
	return f.post(w, "/p/x?q=1", "body", append(headers, "Request-Id", id)...)
}

func (f *fixture) post(w *Worker, path, body string, headers ...string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+w.Address()+path, strings.NewReader(body))
	require.NoError(f.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return f.transport.RoundTrip(request)
}

// body reads an answer completely.
func (f *fixture) body(response *http.Response, err error) string {
	f.t.Helper()
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(f.t, err)
	return string(text)
}

var engineConfig = engine.Config{Stage: engine.StageDecode, Step: time.Millisecond, Stride: 3, StageSwitch: time.Millisecond}

func withStage(stage string) *engine.Config {
	config := engineConfig
	config.Stage = stage
	return &config
}

func TestStreamIsComplete(t *testing.T) {
	f := newFixture(t)
	w := f.start(Config{Name: "d", Engine: withStage(engine.StageDecode)})
	response, err := f.send(w, "a", "Token-Count", "100,8", "Prefix-Hash", "aa:60,bb:40", "Expected-Instance", w.ID())
	text := f.body(response, err)
	require.Equal(t, "a", response.Header.Get("Request-Id"))
	var ends []int
	for event := range strings.SplitSeq(strings.TrimSuffix(text, "\n\n"), "\n\n") {
		piece, ok := ParseEvent(event)
		require.True(t, ok, event)
		require.Equal(t, response.Header.Get("Response-Signature"), piece.Stamp)
		ends = append(ends, piece.To)
	}
	require.Equal(t, []int{1, 4, 7, 8}, ends)
	resumed := f.body(f.send(w, "b", "Token-Count", "100,8", "Last-Event-Id", "4"))
	require.True(t, strings.HasPrefix(resumed, "id: 5\n"), resumed)
	require.Empty(t, f.judge.Report())
}

// A worker runs requests with any path. net/http's ServeMux would redirect these.
func TestRequestsWithUnusualPathsRun(t *testing.T) {
	f := newFixture(t)
	w := f.start(Config{Name: "plain"})
	for _, path := range []string{"//p/x", "/p//x", "/p/../x", "/-/p/x"} {
		f.judge.Sent(judge.Request{ID: path, Services: []string{"s"}, Fingerprint: judge.Fingerprint("POST", path, []byte("body")),
			At: time.Now()})
		response, err := f.post(w, path, "body", "Request-Id", path)
		f.body(response, err)
		require.Equal(t, http.StatusOK, response.StatusCode, path)
	}
	require.Empty(t, f.judge.Report())
}

func TestPromptIsPrefilledAndDecodedByDifferentWorkers(t *testing.T) {
	f := newFixture(t)
	prefill := f.start(Config{Name: "p", Engine: withStage(engine.StagePrefill)})
	decode := f.start(Config{Name: "d", Engine: withStage(engine.StageDecode)})
	prompt := []string{"Token-Count", "100,3", "Prefix-Hash", "aa:100"}
	var prefilled struct {
		KvHandle        string
		Tokens, Version int
	}
	require.NoError(t, json.Unmarshal([]byte(f.body(f.send(prefill, "a", append(prompt, "Serving-Stage", "prefill")...))), &prefilled))
	require.Equal(t, 100, prefilled.Tokens)
	from := []string{"Kv-From", prefill.Address() + "/" + prefilled.KvHandle}
	require.Contains(t, f.body(f.send(decode, "a", append(prompt, from...)...)), "1-1/3")
	require.Equal(t, 100, decode.Stats().Fetched)
	require.Zero(t, decode.Stats().TokensPrefilled)
	second, err := f.send(decode, "a", append(prompt, from...)...)
	f.body(second, err)
	require.Equal(t, http.StatusServiceUnavailable, second.StatusCode)
	require.Equal(t, "1", second.Header.Get("Not-Executed"))

	misdirected, err := f.send(prefill, "a", prompt...)
	f.body(misdirected, err)
	require.Equal(t, http.StatusMisdirectedRequest, misdirected.StatusCode)
	require.Empty(t, f.judge.Report())
}

func TestJudgeReportsHandleOfAnotherRequest(t *testing.T) {
	f := newFixture(t)
	prefill := f.start(Config{Name: "p", Engine: withStage(engine.StagePrefill)})
	decode := f.start(Config{Name: "d", Engine: withStage(engine.StageDecode)})
	var prefilled struct{ KvHandle string }
	require.NoError(t, json.Unmarshal([]byte(f.body(f.send(prefill, "a", "Token-Count", "10,3", "Serving-Stage",
		"prefill"))), &prefilled))
	f.body(f.send(decode, "b", "Token-Count", "10,3", "Kv-From", prefill.Address()+"/"+prefilled.KvHandle))
	require.Contains(t, f.judge.Report(), "MIXED")
}

func TestFreeHandle(t *testing.T) {
	f := newFixture(t)
	w := f.start(Config{Name: "p", Engine: withStage(engine.StagePrefill)})
	var prefilled struct{ KvHandle string }
	require.NoError(t, json.Unmarshal([]byte(f.body(f.send(w, "a", "Token-Count", "10,3", "Serving-Stage", "prefill"))), &prefilled))
	request, err := http.NewRequest(http.MethodDelete, "http://"+w.Address()+"/kv-handle/"+prefilled.KvHandle, nil)
	require.NoError(t, err)
	for _, status := range []int{http.StatusOK, http.StatusNotFound} {
		response, err := f.transport.RoundTrip(request)
		f.body(response, err)
		require.Equal(t, status, response.StatusCode)
	}
}

func TestOrdersAndReports(t *testing.T) {
	f := newFixture(t)
	w := f.start(Config{Name: "w", Engine: withStage(engine.StageDecode)})
	order := `{"Operation":"Stage","Stage":"prefill","Holder":"n","FenceToken":1}`
	response, err := f.post(w, "/order", order)
	f.body(response, err)
	require.Equal(t, http.StatusAccepted, response.StatusCode)
	for w.driver.state().Busy {
		next := w.driver.next()
		timer := time.NewTimer(max(0, next-w.driver.now()))
		<-timer.C
	}
	response, err = f.post(w, "/order", order)
	f.body(response, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, engine.StagePrefill, w.Instance().Stage)
	report, err := f.transport.RoundTrip(newGetRequest(t, w, "/report"))
	require.Contains(t, f.body(report, err), `"KvCapacity":100000`)
	require.Equal(t, 1, w.Probes())
}

func newGetRequest(t *testing.T, w *Worker, path string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, "http://"+w.Address()+path, nil)
	require.NoError(t, err)
	return request
}

func TestPlainWorkerAnswers(t *testing.T) {
	f := newFixture(t)
	w := f.start(Config{Name: "w", TellsLoad: true, AnswerBytes: 800})
	response, err := f.send(w, "a")
	body := f.body(response, err)
	require.Len(t, body, 800)
	f.judge.Answered(judge.Answer{ID: "a", Status: 200, Stamp: response.Header.Get("Response-Signature"),
		Digest: judge.Digest([]byte(body)), Complete: true})
	require.Equal(t, "1,0,4", strings.Replace(response.Header.Get("Server-Load"), "0,0", "1,0", 1))
	require.Equal(t, "timeout=5", response.Header.Get("Keep-Alive"))
	require.Empty(t, f.judge.Report())
}

func TestRejectionsHaveNotExecutedHeader(t *testing.T) {
	f := newFixture(t)
	w := f.start(Config{Name: "w"})
	for status, headers := range map[int][]string{
		http.StatusBadRequest:         {},
		http.StatusMisdirectedRequest: {"Request-Id", "a", "Expected-Instance", "i-other"},
	} {
		response, err := f.post(w, "/p/x", "", headers...)
		f.body(response, err)
		require.Equal(t, status, response.StatusCode)
		require.Equal(t, "1", response.Header.Get("Not-Executed"))
		require.Equal(t, w.ID(), response.Header.Get("Instance-Id"))
	}
	w.FailNext(FaultReject)
	response, err := f.send(w, "b")
	f.body(response, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Empty(t, f.judge.Runs("b"))
}

func TestHealth(t *testing.T) {
	f := newFixture(t)
	w := f.start(Config{Name: "w"})
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, err := f.transport.RoundTrip(newGetRequest(t, w, "/healthz"))
		f.body(response, err)
		require.Equal(t, status, response.StatusCode)
		require.Equal(t, w.ID(), response.Header.Get("Instance-Id"))
		w.Drain()
	}
}

func TestFaultsBreakAnswers(t *testing.T) {
	for fault, wantErr := range map[Fault]string{FaultReset: "reset", FaultMalformed: "malformed"} {
		f := newFixture(t)
		w := f.start(Config{Name: "w"})
		w.FailNext(fault)
		_, err := f.send(w, "a")
		require.ErrorContains(t, err, wantErr)
		require.Len(t, f.judge.Runs("a"), 1)
	}
	for _, model := range []*engine.Config{nil, withStage(engine.StageDecode)} {
		f := newFixture(t)
		w := f.start(Config{Name: "w", Engine: model})
		w.FailNext(FaultTruncate)
		response, err := f.send(w, "a", "Token-Count", "10,20")
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

func TestFaultsSpoilAnswersWithinASoundFraming(t *testing.T) {
	const second = "data: %s 2-4/8\n\n"
	for fault, want := range map[Fault]struct{ stream, prefill string }{
		FaultForeignEnd:    {foreignBytes, foreignBytes},
		FaultForeignBreak:  {foreignBytes, `{"KvHandle":"no handle`},
		FaultUnfinishedEnd: {"id: 4\ndata: ", `{"KvHandle":"`},
		FaultLostID:        {second + "id: 7\n", "{}"},
		FaultRepeatedEvent: {"id: 4\n" + second + "id: 4\n" + second + "id: 7\n", `,"Version":1}{"KvHandle":"`},
	} {
		f := newFixture(t)
		decode, prefill := f.start(Config{Name: "d", Engine: withStage(engine.StageDecode)}), f.start(Config{Name: "p", Engine: withStage(engine.StagePrefill)})
		decode.FailNext(fault)
		prefill.FailNext(fault)
		response, err := f.send(decode, "a", "Token-Count", "10,8")
		require.NoError(t, err)
		text, err := io.ReadAll(response.Body)
		require.Equal(t, fault == FaultForeignBreak, err != nil, "the framing is sound unless the connection is closed")
		stamp := response.Header.Get("Response-Signature")
		_, afterFirst, _ := strings.Cut(string(text), "\n\n")
		require.True(t, strings.HasPrefix(afterFirst, strings.ReplaceAll(want.stream, "%s", stamp)), afterFirst)
		require.Contains(t, f.body(f.send(prefill, "b", "Token-Count", "10,8", "Serving-Stage", "prefill")), want.prefill)
	}
}

// Guards against a lost request that the judge excuses although its worker has spoilt nothing.
func TestOnlyASpoiltAnswerCountsAsAborted(t *testing.T) {
	for _, test := range []struct {
		model  *engine.Config
		tokens string
		lost   bool
	}{{nil, "", true}, {withStage(engine.StageDecode), "10,1", true}, {withStage(engine.StageDecode), "10,8", false}} {
		f := newFixture(t)
		w := f.start(Config{Name: "w", Engine: test.model})
		w.FailNext(FaultRepeatedEvent)
		f.body(f.send(w, "a", "Token-Count", test.tokens))
		f.judge.ConnectionCut(judge.Cut{ID: "a", Sent: time.Now(), Closed: time.Now(), DeadlineAt: time.Now().Add(time.Hour)})
		require.Equal(t, test.lost, strings.Contains(f.judge.Report(), string(judge.LostRequest)), "%+v", test)
	}
}

func TestRandomFaultsDependOnTheSeed(t *testing.T) {
	draws := func(seed uint64) (faults []Fault) {
		var w Worker
		w.FailRandomly(0.5, seed, AnswerFaults...)
		for range 100 {
			faults = append(faults, w.faults.nextFault())
		}
		return faults
	}
	require.Equal(t, draws(1), draws(1))
	require.NotEqual(t, draws(1), draws(2))
	require.Contains(t, draws(1), FaultNone)
	require.Contains(t, draws(1), FaultLostID)
}

func TestDuplicateAnswerReplacesTheNextAnswer(t *testing.T) {
	for _, model := range []*engine.Config{nil, withStage(engine.StageDecode)} {
		f := newFixture(t)
		w := f.start(Config{Name: "w", Engine: model})
		w.FailNext(FaultDuplicateAnswer)
		conn, err := net.Dial("tcp", w.Address())
		require.NoError(t, err)
		reader := bufio.NewReader(conn)
		var bodies []string
		for _, id := range []string{"a", "b"} {
			f.judge.Sent(judge.Request{ID: id, Services: []string{"s"}, Fingerprint: judge.Fingerprint("GET", "/", nil), At: time.Now()})
			_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\nToken-Count: 10,8\r\n\r\n", id)
			require.NoError(t, err)
			response, err := http.ReadResponse(reader, nil)
			require.NoError(t, err)
			require.Equal(t, "a", response.Header.Get("Request-Id"))
			require.Positive(t, response.ContentLength)
			body, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			bodies = append(bodies, string(body))
		}
		require.NoError(t, conn.Close())
		require.Equal(t, bodies[0], bodies[1])
		require.Equal(t, model != nil, strings.HasSuffix(bodies[0], "/8\n\n"), "a stream is whole")
	}
}

func TestCrashAbortsStreamWithinAnEvent(t *testing.T) {
	f := newFixture(t)
	w := f.start(Config{Name: "w", Engine: withStage(engine.StageDecode)})
	response, err := f.send(w, "a", "Token-Count", "10,50000")
	require.NoError(t, err)
	w.Crash()
	text, err := io.ReadAll(response.Body)
	require.Error(t, err, "%d %q", response.StatusCode, text)
	require.False(t, strings.HasSuffix(string(text), "\n\n"))
	next, err := w.Restart()
	require.NoError(t, err)
	defer next.Stop()
	require.NotEqual(t, w.ID(), next.ID())
	require.Equal(t, w.Address(), next.Address())
}

func TestConnectionsBeyondTheMaximumAreReset(t *testing.T) {
	f := newFixture(t)
	w := f.start(Config{Name: "w", MaxConnections: 1})
	first, err := net.Dial("tcp", w.Address())
	require.NoError(t, err)
	defer func() { _ = first.Close() }()
	second, err := net.Dial("tcp", w.Address())
	if err == nil { // otherwise the reset arrived before Dial returned
		defer func() { _ = second.Close() }()
		_, err = second.Read(make([]byte, 1))
	}
	require.ErrorContains(t, err, "reset")
}

func TestPlainWorkerStopsAtDeadline(t *testing.T) {
	f := newFixture(t)
	w := f.start(Config{Name: "w", Work: time.Minute})
	response, err := f.send(w, "a", "Deadline-Ms", "5")
	f.body(response, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.Empty(t, response.Header.Get("Not-Executed"))
	require.Len(t, f.judge.Runs("a"), 1)
}
