package llmworker

import (
	"bytes"
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

// bed is a worker with a client of its own.
type bed struct {
	t         *testing.T
	judge     *judge.Checker
	transport *http.Transport
	neighbour *Neighbours
}

func newBed(t *testing.T) *bed {
	b := &bed{t: t, judge: judge.New(judge.DefaultBounds), transport: &http.Transport{DisableCompression: true},
		neighbour: &Neighbours{}}
	t.Cleanup(b.transport.CloseIdleConnections)
	return b
}

func (b *bed) start(config Config) *Worker {
	b.t.Helper()
	config.Judge, config.Neighbours, config.Service = b.judge, b.neighbour, "s"
	w, err := Start(config)
	require.NoError(b.t, err)
	b.t.Cleanup(w.Stop)
	return w
}

// send tells the judge of a request and sends it.
func (b *bed) send(w *Worker, id string, headers ...string) (*http.Response, error) {
	b.judge.Sent(judge.Request{ID: id, Services: []string{"s"}, Fingerprint: judge.Fingerprint("POST", "/p/x?q=1",
		[]byte("body")), At: time.Now()})
	return b.post(w, "/p/x?q=1", "body", append(headers, "Request-Id", id)...)
}

func (b *bed) post(w *Worker, path, body string, headers ...string) (*http.Response, error) {
	request, err := http.NewRequest(http.MethodPost, "http://"+w.Address()+path, strings.NewReader(body))
	require.NoError(b.t, err)
	for i := 0; i+1 < len(headers); i += 2 {
		request.Header.Set(headers[i], headers[i+1])
	}
	return b.transport.RoundTrip(request)
}

// body reads an answer to its end.
func (b *bed) body(response *http.Response, err error) string {
	b.t.Helper()
	require.NoError(b.t, err)
	defer func() { _ = response.Body.Close() }()
	text, err := io.ReadAll(response.Body)
	require.NoError(b.t, err)
	return string(text)
}

var engineConfig = engine.Config{Stage: engine.StageDecode, Step: time.Millisecond, Stride: 3, StageSwitch: time.Millisecond}

func withStage(stage string) *engine.Config {
	config := engineConfig
	config.Stage = stage
	return &config
}

func TestAStreamComesWhole(t *testing.T) {
	b := newBed(t)
	w := b.start(Config{Name: "d", Engine: withStage(engine.StageDecode)})
	response, err := b.send(w, "a", "Token-Count", "100,8", "Prefix-Hash", "aa:60,bb:40", "Expected-Instance", w.ID())
	text := b.body(response, err)
	require.Equal(t, "a", response.Header.Get("Request-Id"))
	var ends []int
	for event := range strings.SplitSeq(strings.TrimSuffix(text, "\n\n"), "\n\n") {
		piece, ok := ParseEvent(event)
		require.True(t, ok, event)
		require.Equal(t, response.Header.Get("Response-Signature"), piece.Stamp)
		ends = append(ends, piece.To)
	}
	require.Equal(t, []int{1, 4, 7, 8}, ends)
	resumed := b.body(b.send(w, "b", "Token-Count", "100,8", "Last-Event-Id", "4"))
	require.True(t, strings.HasPrefix(resumed, "id: 5\n"), resumed)
	require.Empty(t, b.judge.Report())
}

func TestReadHereRunThere(t *testing.T) {
	b := newBed(t)
	prefill := b.start(Config{Name: "p", Engine: withStage(engine.StagePrefill)})
	decode := b.start(Config{Name: "d", Engine: withStage(engine.StageDecode)})
	prompt := []string{"Token-Count", "100,3", "Prefix-Hash", "aa:100"}
	var read struct {
		KvHandle        string
		Tokens, Version int
	}
	require.NoError(t, json.Unmarshal([]byte(b.body(b.send(prefill, "a", append(prompt, "Serving-Stage", "prefill")...))), &read))
	require.Equal(t, 100, read.Tokens)
	from := []string{"Kv-From", prefill.Address() + "/" + read.KvHandle}
	require.Contains(t, b.body(b.send(decode, "a", append(prompt, from...)...)), "1-1/3")
	require.Equal(t, 100, decode.Stats().Fetched)
	require.Zero(t, decode.Stats().TokensPrefilled)
	again, err := b.send(decode, "a", append(prompt, from...)...)
	b.body(again, err)
	require.Equal(t, http.StatusServiceUnavailable, again.StatusCode)
	require.Equal(t, "1", again.Header.Get("Not-Executed"))

	misdirected, err := b.send(prefill, "a", prompt...)
	b.body(misdirected, err)
	require.Equal(t, http.StatusMisdirectedRequest, misdirected.StatusCode)
	require.Empty(t, b.judge.Report())
}

func TestTheHandleOfAnotherIsNoticed(t *testing.T) {
	b := newBed(t)
	prefill := b.start(Config{Name: "p", Engine: withStage(engine.StagePrefill)})
	decode := b.start(Config{Name: "d", Engine: withStage(engine.StageDecode)})
	var read struct{ KvHandle string }
	require.NoError(t, json.Unmarshal([]byte(b.body(b.send(prefill, "a", "Token-Count", "10,3", "Serving-Stage",
		"prefill"))), &read))
	b.body(b.send(decode, "b", "Token-Count", "10,3", "Kv-From", prefill.Address()+"/"+read.KvHandle))
	require.Contains(t, b.judge.Report(), "MIXED")
}

func TestAHandleIsFreed(t *testing.T) {
	b := newBed(t)
	w := b.start(Config{Name: "p", Engine: withStage(engine.StagePrefill)})
	var read struct{ KvHandle string }
	require.NoError(t, json.Unmarshal([]byte(b.body(b.send(w, "a", "Token-Count", "10,3", "Serving-Stage", "prefill"))), &read))
	request, err := http.NewRequest(http.MethodDelete, "http://"+w.Address()+"/kv-handle/"+read.KvHandle, nil)
	require.NoError(t, err)
	for _, status := range []int{http.StatusOK, http.StatusNotFound} {
		response, err := b.transport.RoundTrip(request)
		b.body(response, err)
		require.Equal(t, status, response.StatusCode)
	}
}

func TestOrdersAndReports(t *testing.T) {
	b := newBed(t)
	w := b.start(Config{Name: "w", Engine: withStage(engine.StageDecode)})
	order := `{"Operation":"Stage","Stage":"prefill","Holder":"n","FenceToken":1}`
	response, err := b.post(w, "/order", order)
	b.body(response, err)
	require.Equal(t, http.StatusAccepted, response.StatusCode)
	for w.driver.state().Busy {
		next := w.driver.next()
		timer := time.NewTimer(max(0, next-w.driver.now()))
		<-timer.C
	}
	response, err = b.post(w, "/order", order)
	b.body(response, err)
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, engine.StagePrefill, w.Instance().Stage)
	report, err := b.transport.RoundTrip(mustGet(t, w, "/report"))
	require.Contains(t, b.body(report, err), `"KvCapacity":100000`)
	require.Equal(t, 1, w.Probes())
}

func mustGet(t *testing.T, w *Worker, path string) *http.Request {
	request, err := http.NewRequest(http.MethodGet, "http://"+w.Address()+path, nil)
	require.NoError(t, err)
	return request
}

func TestAPlainWorkerAnswers(t *testing.T) {
	b := newBed(t)
	w := b.start(Config{Name: "w", TellsLoad: true, AnswerBytes: 800})
	response, err := b.send(w, "a")
	body := b.body(response, err)
	require.Len(t, body, 800)
	b.judge.Answered(judge.Answer{ID: "a", Status: 200, Stamp: response.Header.Get("Response-Signature"),
		Digest: judge.Digest([]byte(body)), Complete: true})
	require.Equal(t, "1,0,4", strings.Replace(response.Header.Get("Server-Load"), "0,0", "1,0", 1))
	require.Equal(t, "timeout=5", response.Header.Get("Keep-Alive"))
	require.Empty(t, b.judge.Report())
}

func TestWhatIsNotExecutedSaysSo(t *testing.T) {
	b := newBed(t)
	w := b.start(Config{Name: "w"})
	for status, headers := range map[int][]string{
		http.StatusBadRequest:         {},
		http.StatusMisdirectedRequest: {"Request-Id", "a", "Expected-Instance", "i-other"},
	} {
		response, err := b.post(w, "/p/x", "", headers...)
		b.body(response, err)
		require.Equal(t, status, response.StatusCode)
		require.Equal(t, "1", response.Header.Get("Not-Executed"))
		require.Equal(t, w.ID(), response.Header.Get("Instance-Id"))
	}
	w.FailNext(FaultReject)
	response, err := b.send(w, "b")
	b.body(response, err)
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.Empty(t, b.judge.Runs("b"))
}

func TestHealth(t *testing.T) {
	b := newBed(t)
	w := b.start(Config{Name: "w"})
	for _, status := range []int{http.StatusOK, http.StatusServiceUnavailable} {
		response, err := b.transport.RoundTrip(mustGet(t, w, "/healthz"))
		b.body(response, err)
		require.Equal(t, status, response.StatusCode)
		require.Equal(t, w.ID(), response.Header.Get("Instance-Id"))
		w.Drain()
	}
}

func TestFaultsBreakAnswers(t *testing.T) {
	for fault, broken := range map[Fault]string{FaultReset: "reset", FaultMalformed: "malformed"} {
		b := newBed(t)
		w := b.start(Config{Name: "w"})
		w.FailNext(fault)
		_, err := b.send(w, "a")
		require.ErrorContains(t, err, broken)
		require.Len(t, b.judge.Runs("a"), 1)
	}
	for _, model := range []*engine.Config{nil, withStage(engine.StageDecode)} {
		b := newBed(t)
		w := b.start(Config{Name: "w", Engine: model})
		w.FailNext(FaultTruncate)
		response, err := b.send(w, "a", "Token-Count", "10,20")
		require.NoError(t, err)
		_, err = io.ReadAll(response.Body)
		require.ErrorIs(t, err, io.ErrUnexpectedEOF)
	}
}

func TestASurplusAnswerComesInThePlaceOfTheNext(t *testing.T) {
	b := newBed(t)
	w := b.start(Config{Name: "w"})
	w.FailNext(FaultDuplicateAnswer)
	conn, err := net.Dial("tcp", w.Address())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	for _, id := range []string{"a", "b"} {
		_, err = fmt.Fprintf(conn, "GET / HTTP/1.1\r\nHost: h\r\nRequest-Id: %s\r\n\r\n", id)
		require.NoError(t, err)
		buffer := make([]byte, 4096)
		n, err := conn.Read(buffer)
		require.NoError(t, err)
		require.True(t, bytes.Contains(buffer[:n], []byte("Request-Id: a")), "%s", buffer[:n])
	}
}

func TestACrashCutsAStreamWithinAnEvent(t *testing.T) {
	b := newBed(t)
	w := b.start(Config{Name: "w", Engine: withStage(engine.StageDecode)})
	response, err := b.send(w, "a", "Token-Count", "10,50000")
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

func TestConnectionsBeyondTheMostAreReset(t *testing.T) {
	b := newBed(t)
	w := b.start(Config{Name: "w", MaxConnections: 1})
	first, err := net.Dial("tcp", w.Address())
	require.NoError(t, err)
	defer func() { _ = first.Close() }()
	second, err := net.Dial("tcp", w.Address())
	if err == nil { // else the reset came before the dialer looked
		defer func() { _ = second.Close() }()
		_, err = second.Read(make([]byte, 1))
	}
	require.ErrorContains(t, err, "reset")
}

func TestAtTheDeadlineAWorkerStops(t *testing.T) {
	b := newBed(t)
	w := b.start(Config{Name: "w", Work: time.Minute})
	response, err := b.send(w, "a", "Deadline-Ms", "5")
	b.body(response, err)
	require.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	require.Empty(t, response.Header.Get("Not-Executed"))
	require.Len(t, b.judge.Runs("a"), 1)
}
