// Package client stands in for the clients of a fleet: open loops of requests in several kinds, which are tried again as
// the protocol lets clients do, and the books of how they ended. Each try is told to the judge.
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
	Services      []string // that may run it under some configuration; empty: those of Route
	PerSecond     float64
	Deadline      time.Duration
	Retries       int
	Body          int // bytes
	Output        int // tokens, of a streaming route
	SharedTokens  int // tokens of the first part of each prompt
	SubjectTokens int // tokens of the part that requests of a subject share
	Subjects      int
	OwnTokens     int // tokens of the request's own part
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

// prompt returns the headers of one prompt.
func (k *Kind) prompt(rng *rand.Rand, own string) (count, hashes string) {
	subject := rng.IntN(max(1, k.Subjects))
	parts := []string{fmt.Sprintf("%s5:%d", hexOf(k.Name), k.SharedTokens), fmt.Sprintf("%s%02x:%d", hexOf(k.Name), subject, k.SubjectTokens),
		fmt.Sprintf("%s:%d", hexOf(own), k.OwnTokens)}
	return fmt.Sprintf("%d,%d", k.SharedTokens+k.SubjectTokens+k.OwnTokens, k.Output), strings.Join(parts, ",")
}

func hexOf(text string) string { return fmt.Sprintf("%x", text) }

// RouterSelector names a Frontend address for a new connection of a client.
type RouterSelector func(zone string, client uint64, try int) string

// Outcome is how a request ended.
type Outcome uint8

// The outcomes.
const (
	Served  Outcome = iota // in time
	Late                   // served after its objective, or with too long a pause
	Refused                // the last try was refused with a promise
	Failed                 // the last try was answered with another failure
	Cut                    // the last try's connection closed before the end of an answer
)

// Result is the end of one request.
type Result struct {
	Kind     *Kind
	ID       string
	Outcome  Outcome
	Status   int           // of the last try
	Cause    string        // of a cut
	Unsent   bool          // no connection came about for the last try
	Latency  time.Duration // to the first event, or to the answer
	Attempts int
	Began    time.Time
}

// Group is a crowd of clients in a zone.
type Group struct {
	Name         string // starts the ids
	Zone         string
	Seed         uint64
	SelectRouter RouterSelector
	Judge        *judge.Checker
	Kinds        []*Kind
	// OnResult, if set, is told of each end.
	OnResult func(Result)
	// ReuseAnyConnection lets clients use their open connections until the routers close them. Otherwise a request goes to the router
	// that SelectRouter returns, on a kept connection to it if there is one.
	ReuseAnyConnection bool

	opened sync.Once
	kept   *http.Transport
	held   *connections
}

// Run sends requests until ctx is done, and returns once every request has ended.
func (c *Group) Run(ctx context.Context) {
	defer c.Close()
	var all sync.WaitGroup
	for i, kind := range c.Kinds {
		all.Go(func() { c.loop(ctx, kind, rand.New(rand.NewPCG(c.Seed, uint64(i))), &all) })
	}
	all.Wait()
}

// transport holds the connections that the crowd keeps between requests.
func (c *Group) transport() *http.Transport {
	c.open()
	return c.kept
}

func (c *Group) open() {
	c.opened.Do(func() {
		c.kept = &http.Transport{DisableCompression: true, MaxIdleConnsPerHost: 64}
		c.held = newConnections(c.Seed)
	})
}

// Close closes the connections that are kept.
func (c *Group) Close() {
	c.transport().CloseIdleConnections()
	c.held.close()
}

// loop sends requests of a kind with exponential gaps.
func (c *Group) loop(ctx context.Context, kind *Kind, rng *rand.Rand, all *sync.WaitGroup) {
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
		id := fmt.Sprintf("%s-%s-%d", c.Name, kind.Name, n)
		seed := rng.Uint64()
		all.Go(func() { c.Send(kind, id, seed) })
	}
}

// request is one request with its tries.
type request struct {
	*Kind
	crowd         *Group
	id            string
	client        uint64
	began         time.Time
	count, hashes string
	body          []byte
	had           int // tokens that the client has
	lastEvent     time.Time
	first         time.Duration
	slow          bool // a pause was too long
}

// Send sends one request to its end.
func (c *Group) Send(kind *Kind, id string, seed uint64) Result {
	rng := rand.New(rand.NewPCG(seed, 7))
	q := &request{Kind: kind, crowd: c, id: id, client: seed, began: time.Now(), body: bytes.Repeat([]byte("x"), kind.Body)}
	if kind.streaming() {
		q.count, q.hashes = kind.prompt(rng, id)
	}
	result := q.run()
	if c.OnResult != nil {
		c.OnResult(result)
	}
	return result
}

func (q *request) run() Result {
	ctx, cancel := context.WithDeadline(context.Background(), q.began.Add(q.Deadline))
	defer cancel()
	out := Result{Kind: q.Kind, ID: q.id, Began: q.began}
	for out.Attempts < q.Retries+1 {
		answer, retryAfter := q.try(ctx, out.Attempts)
		out.Attempts++
		out.Outcome, out.Status, out.Cause, out.Latency = q.outcome(answer), answer.Status, answer.cause, q.first
		out.Unsent = answer.unsent
		if !q.again(answer) || !pause.For(ctx, min(retryAfter, q.left()/3)) {
			break
		}
	}
	return out
}

func (q *request) left() time.Duration { return max(0, time.Until(q.began.Add(q.Deadline))) }

// again reports whether the protocol lets a client try again after that answer.
func (q *request) again(answer answer) bool {
	switch {
	case answer.Complete && (answer.Status/100 == 2 || slices.Contains([]int{400, 401, 404, 413, 431}, answer.Status)):
		return false
	case q.idempotent():
		return true
	}
	return answer.unsent || answer.Complete && promises(answer.Status)
}

func promises(status int) bool { return slices.Contains([]int{408, 421, 429, 503}, status) }

func (q *request) outcome(answer answer) Outcome {
	aim := time.Duration(q.Route.TargetLatencyMs) * time.Millisecond
	switch {
	case !answer.Complete:
		return Cut
	case answer.Status/100 == 2 && (q.first > aim || q.slow):
		return Late
	case answer.Status/100 == 2:
		return Served
	case promises(answer.Status):
		return Refused
	}
	return Failed
}

// answer is what one try got.
type answer struct {
	judge.Answer
	cause  string
	unsent bool // no connection came about
}

// try sends one try and reads its answer. The first may use a kept connection; later ones open a new one.
func (q *request) try(ctx context.Context, number int) (answer, time.Duration) {
	id := fmt.Sprintf("%s.%d", q.id, number)
	target := q.Route.PathPrefix + q.id
	q.crowd.Judge.Sent(judge.Request{ID: id, Services: q.services(), Idempotent: q.idempotent(), Resumable: q.Route.Resumable,
		MaxAttempts: q.Route.MaxAttempts, Fingerprint: judge.Fingerprint(http.MethodPost, target,
			q.body), ResumeAfter: q.had, At: time.Now()})
	sent := q.send(ctx, number, target, id)
	response, err := sent.response, sent.err
	if err != nil {
		sent.end(false)
		return q.judged(answer{Answer: judge.Answer{ID: id}, cause: err.Error(), unsent: sent.at.IsZero()}, sent), 0
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
	sent.end(got.Complete)
	retryAfter, _ := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
	return q.judged(got, sent), time.Duration(retryAfter * float64(time.Second))
}

func (q *request) message(ctx context.Context, address, target, id string) *http.Request {
	message := (&http.Request{Method: http.MethodPost, URL: &url.URL{Scheme: "http", Host: address, Path: target},
		Host:   q.Route.Hostname,
		Header: http.Header{}, Body: io.NopCloser(bytes.NewReader(q.body)), ContentLength: int64(len(q.body))}).WithContext(ctx)
	message.Header.Set("Request-Id", id)
	message.Header.Set("Deadline-Ms", strconv.FormatInt(q.left().Milliseconds(), 10))
	message.Header["User-Agent"] = nil
	if q.streaming() {
		message.Header.Set("Model-Name", "m")
		message.Header.Set("Token-Count", q.count)
		message.Header.Set("Prefix-Hash", q.hashes)
	}
	if q.had > 0 {
		message.Header.Set("Last-Event-Id", strconv.Itoa(q.had))
	}
	return message
}

func (q *request) readBody(body io.Reader, got *answer) error {
	text, err := io.ReadAll(body)
	got.Digest = judge.Digest(text)
	q.first = time.Since(q.began)
	return err
}

// readStream reads events as they come.
func (q *request) readStream(body io.Reader, got *answer) error {
	var rest []byte
	buffer := make([]byte, 4096)
	for {
		n, err := body.Read(buffer)
		rest = append(rest, buffer[:n]...)
		for {
			event, after, whole := bytes.Cut(rest, []byte("\n\n"))
			if !whole {
				break
			}
			rest = after
			q.event(string(event), got)
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

func (q *request) event(text string, got *answer) {
	piece, ok := llmworker.ParseEvent(text)
	if !ok {
		got.Unparsed += text
		return
	}
	now := time.Now()
	if q.first == 0 {
		q.first = now.Sub(q.began)
	} else if gap := time.Duration(q.Route.GapAimMs) * time.Millisecond; gap > 0 && now.Sub(q.lastEvent) > gap {
		q.slow = true
	}
	q.lastEvent = now
	q.had = piece.To
	got.Pieces = append(got.Pieces, piece)
}
