// Package client is a stand-in of a fleet's clients. It sends several kinds of requests in open loops, retries them as the
// protocol allows and counts how they ended. It reports each attempt to the judge.
package client

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"weldscale/internal/pause"
	"weldscale/internal/standin/judge"
	"weldscale/internal/standin/llmworker"
	"weldscale/internal/standin/operator"
)

// Kind is one kind of request.
type Kind struct {
	Name          string
	Route         operator.Route
	Services      []string // that may run it under some configuration; default: those of Route
	PerSecond     float64  // mean rate
	Deadline      time.Duration
	Retries       int
	Body          int // size in bytes
	Output        int // tokens to generate, on a streaming route
	SharedTokens  int // size of the first part of the prompt, which all requests of the kind share
	SubjectTokens int // size of the second part, which requests on the same subject share
	Subjects      int // number of subjects
	OwnTokens     int // size of the last part, which only this request has
}

func (k *Kind) services() []string {
	if len(k.Services) > 0 {
		return k.Services
	}
	if k.Route.Service != "" {
		return []string{k.Route.Service}
	}
	var names []string
	for _, weight := range k.Route.TrafficSplit {
		names = append(names, weight.Service)
	}
	return names
}

func (k *Kind) streaming() bool { return k.Route.RouteType == "streaming" }

func (k *Kind) idempotent() bool {
	return k.Route.RouteType == "safe" || k.streaming() && k.Route.Resumable
}

// prompt returns the Token-Count and Prefix-Hash headers of a prompt. own identifies its last part.
func (k *Kind) prompt(rng *rand.Rand, own string) (tokenCount, prefixHash string) {
	subject := rng.IntN(max(1, k.Subjects))
	parts := []string{fmt.Sprintf("%s5:%d", hexOf(k.Name), k.SharedTokens),
		fmt.Sprintf("%s%02x:%d", hexOf(k.Name), subject, k.SubjectTokens), fmt.Sprintf("%s:%d", hexOf(own), k.OwnTokens)}
	return fmt.Sprintf("%d,%d", k.SharedTokens+k.SubjectTokens+k.OwnTokens, k.Output), strings.Join(parts, ",")
}

func hexOf(text string) string { return fmt.Sprintf("%x", text) }

// RouterSelector returns the Frontend address for a new connection of a client. attempt is the number of earlier attempts.
type RouterSelector func(zone string, client uint64, attempt int) string

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	Served  Outcome = iota // in time
	Late                   // served, but the latency or a gap between events exceeded the target
	Refused                // the last attempt was rejected, which means that it has not run
	Failed                 // the last attempt was answered with another error
	Cut                    // the last attempt's connection was closed before the end of an answer
)

// Result describes how one request ended.
type Result struct {
	Kind     *Kind
	ID       string
	Outcome  Outcome
	Status   int           // of the last attempt
	Cause    string        // error that cut the last attempt
	Unsent   bool          // no connection could be opened for the last attempt
	Latency  time.Duration // to the first event, or to the complete answer if it is no stream
	Attempts int
	Began    time.Time
}

// Group is a group of clients in one zone.
type Group struct {
	Name         string // prefix of the request ids
	Zone         string
	Seed         uint64
	SelectRouter RouterSelector
	Judge        *judge.Checker
	Kinds        []*Kind
	// OnResult, if set, is called at the end of each request.
	OnResult func(Result)
	// ReuseAnyConnection lets a request use any idle connection of the group, whichever router it leads to, until the router
	// closes it. Otherwise a request goes to the router that SelectRouter returns, on an idle connection to it if there is one.
	ReuseAnyConnection bool

	initOnce        sync.Once
	pooledTransport *http.Transport
	pool            *connectionPool
}

// Run sends requests until ctx is done, and returns once every request has ended.
func (g *Group) Run(ctx context.Context) {
	defer g.Close()
	var running sync.WaitGroup
	for i, kind := range g.Kinds {
		running.Go(func() { g.sendLoop(ctx, kind, rand.New(rand.NewPCG(g.Seed, uint64(i))), &running) })
	}
	running.Wait()
}

// transport returns the transport that keeps idle connections by router.
func (g *Group) transport() *http.Transport {
	g.initTransports()
	return g.pooledTransport
}

func (g *Group) initTransports() {
	g.initOnce.Do(func() {
		g.pooledTransport = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
		g.pool = newConnectionPool(g.Seed)
	})
}

// Close closes the idle connections.
func (g *Group) Close() {
	g.transport().CloseIdleConnections()
	g.pool.close()
}

// sendLoop sends requests of a kind, at exponentially distributed intervals.
func (g *Group) sendLoop(ctx context.Context, kind *Kind, rng *rand.Rand, running *sync.WaitGroup) {
	timer := time.NewTimer(0)
	defer timer.Stop()
	due := time.Now()
	for n := 0; ; n++ {
		due = due.Add(time.Duration(rng.ExpFloat64() / kind.PerSecond * float64(time.Second)))
		timer.Reset(time.Until(due))
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		id := fmt.Sprintf("%s-%s-%d", g.Name, kind.Name, n)
		seed := rng.Uint64()
		running.Go(func() { g.Send(kind, id, seed) })
	}
}

// request is one request with all its attempts.
type request struct {
	*Kind
	group                  *Group
	id                     string
	client                 uint64
	began                  time.Time
	tokenCount, prefixHash string
	body                   []byte
	received               int // stream tokens received so far
	total                  int // tokens of the whole stream, as the events tell
	lastEvent              time.Time
	latency                time.Duration
	gapExceeded            bool // a gap between two events exceeded the target
}

// Send sends one request, with retries, and returns how it ended.
func (g *Group) Send(kind *Kind, id string, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 7))
	q := &request{Kind: kind, group: g, id: id, client: seed, began: time.Now(), body: bytes.Repeat([]byte("x"), kind.Body)}
	if kind.streaming() {
		q.tokenCount, q.prefixHash = kind.prompt(rng, id)
	}
	result := q.run()
	if g.OnResult != nil {
		g.OnResult(result)
	}
	return result
}

func (q *request) run() Result {
	ctx, cancel := context.WithDeadline(context.Background(), q.began.Add(q.Deadline))
	defer cancel()
	out := Result{Kind: q.Kind, ID: q.id, Began: q.began}
	for out.Attempts < q.Retries+1 {
		answer, retryAfter := q.runAttempt(ctx, out.Attempts)
		out.Attempts++
		out.Outcome, out.Status, out.Cause, out.Latency = q.outcome(answer), answer.Status, answer.cause, q.latency
		out.Unsent = answer.unsent
		if !q.mayRetry(answer) || !pause.For(ctx, min(retryAfter, q.remaining()/3)) {
			break
		}
	}
	return out
}

func (q *request) remaining() time.Duration { return max(0, time.Until(q.began.Add(q.Deadline))) }

// mayRetry reports whether the protocol allows another attempt after that answer.
func (q *request) mayRetry(answer answer) bool {
	switch {
	case answer.Complete && (answer.Status/100 == 2 || slices.Contains([]int{400, 401, 404, 413, 431}, answer.Status)):
		return false
	case q.idempotent():
		return true
	}
	return answer.unsent || answer.Complete && isRejection(answer.Status)
}

// isRejection reports whether an answer with that status means that the request has not run.
func isRejection(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

func (q *request) outcome(answer answer) Outcome {
	targetLatency := time.Duration(q.Route.TargetLatencyMs) * time.Millisecond
	switch {
	case !answer.Complete:
		return Cut
	case answer.Status/100 == 2 && (q.latency > targetLatency || q.gapExceeded):
		return Late
	case answer.Status/100 == 2:
		return Served
	case isRejection(answer.Status):
		return Refused
	}
	return Failed
}

// answer is what one attempt received.
type answer struct {
	judge.Answer
	cause  string
	unsent bool // no connection could be opened
}

// runAttempt makes one attempt and reads its answer. The first attempt may use an idle connection; later ones open a new one.
func (q *request) runAttempt(ctx context.Context, number int) (answer, time.Duration) {
	id := fmt.Sprintf("%s.%d", q.id, number)
	target := q.Route.PathPrefix + q.id
	q.group.Judge.Sent(judge.Request{ID: id, Services: q.services(), Idempotent: q.idempotent(), Resumable: q.Route.Resumable,
		MaxAttempts: q.Route.MaxAttempts, Fingerprint: judge.Fingerprint(http.MethodPost, target,
			q.body), ResumeAfter: q.received, ResumeTotal: q.total, At: time.Now()})
	sent := q.send(ctx, number, target, id)
	response, err := sent.response, sent.err
	if err != nil {
		sent.release(false)
		return q.reportAnswer(answer{Answer: judge.Answer{ID: id}, cause: err.Error(), unsent: sent.at.IsZero()}, sent), 0
	}
	defer func() { _ = response.Body.Close() }()
	got := answer{Answer: judge.Answer{ID: id, Status: response.StatusCode, Stamp: response.Header.Get("Response-Signature"),
		Stream: q.streaming()}}
	if got.Stream && got.Status/100 == 2 {
		err = q.readStream(response.Body, &got)
	} else {
		err = q.readBody(response.Body, &got)
	}
	if got.Complete = err == nil; err != nil {
		got.cause = err.Error()
	}
	sent.release(got.Complete)
	retryAfter, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return q.reportAnswer(got, sent), time.Duration(retryAfter * float64(time.Second))
}

func (q *request) newHTTPRequest(ctx context.Context, address, target, id string) *http.Request {
	httpRequest := (&http.Request{Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: target},
		Host:   q.Route.Hostname,
		Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(q.body)), ContentLength: int64(len(q.body))}).WithContext(ctx)
	httpRequest.Header.Set("Request-Id", id)
	httpRequest.Header.Set("Deadline-Ms", strconv.FormatInt(q.remaining().Milliseconds(), 10))
	httpRequest.Header["User-Agent"] = nil
	if q.streaming() {
		httpRequest.Header.Set("Model-Name", "m")
		httpRequest.Header.Set("Token-Count", q.tokenCount)
		httpRequest.Header.Set("Prefix-Hash", q.prefixHash)
	}
	if q.received > 0 {
		httpRequest.Header.Set("Last-Event-Id", strconv.Itoa(q.received))
	}
	return httpRequest
}

func (q *request) readBody(body io.Reader, got *answer) error {
	text, err := io.ReadAll(body)
	got.Digest = judge.Digest(text)
	q.latency = time.Since(q.began)
	return err
}

// readStream reads the events of a stream and records when they arrive.
func (q *request) readStream(body io.Reader, got *answer) error {
	var rest []byte
	buffer := make([]byte, 4096)
	for {
		n, err := body.Read(buffer)
		rest = append(rest, buffer[:n]...)
		for {
			event, remainder, complete := bytes.Cut(rest, []byte("\n\n"))
			if !complete {
				break
			}
			rest = remainder
			q.addEvent(string(event), got)
		}
		if err != nil {
			got.Unparsed += string(rest)
			if err == io.EOF {
				return nil
			}
			return err
		}
	}
}

func (q *request) addEvent(text string, got *answer) {
	piece, ok := llmworker.ParseEvent(text)
	if !ok {
		got.Foreign += text
		return
	}
	now := time.Now()
	if q.latency == 0 {
		q.latency = now.Sub(q.began)
	} else if gap := time.Duration(q.Route.GapAimMs) * time.Millisecond; gap > 0 && now.Sub(q.lastEvent) > gap {
		q.gapExceeded = true
	}
	q.lastEvent = now
	q.received, q.total = piece.To, piece.Total
	got.Pieces = append(got.Pieces, piece)
}
