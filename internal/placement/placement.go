// Package placement chooses the worker for each stage of a request by the power of two choices: it probes two random ready
// workers with a dispatcher of package decide and picks the less loaded one. It owns the retry budget and the table of workers;
// its caller sends the request to the chosen worker and reports the result, so it never sees the client's message.
package placement

import (
	"context"
	"time"

	"weldscale/internal/fleetwire"
)

// Result is the result of one push, that is one attempt to run a job on a worker.
type Result uint8

// The results of a push.
const (
	ResultServed           Result = iota // the worker's final answer arrived (any answer that counts as run)
	ResultNotExecuted                    // the worker answered that it did not run the job: Not-Executed or 421
	ResultConnectFailed                  // no connection was established, nothing was sent
	ResultConnectionBroken               // sent, but the connection broke: the job may have run
	ResultMalformed                      // sent, but what came is not an answer of the protocol: the job may have run
	ResultTimedOut                       // sent, but no answer came in time: the job may have run or still run
	ResultFailed                         // the worker answered with an error of its own: the job ran
	ResultCancelled                      // the client disconnected
)

// mayHaveRun reports whether the worker may have started the job.
func (r Result) mayHaveRun() bool {
	switch r {
	case ResultNotExecuted, ResultConnectFailed:
		return false
	default:
		return true
	}
}

// PromptPart is one part of a prompt that other prompts may share.
type PromptPart struct {
	ID     string // hash of the part
	Tokens int
}

// Job is one stage of a client's request.
type Job struct {
	Service       string
	Stage         string // fleetwire.StagePrefill, fleetwire.StageDecode, or empty for a service without stages
	Route         *fleetwire.Route
	Arrived       time.Time // when the client's request was read
	Deadline      time.Time // the earlier of the client's deadline and the route's timeout
	PromptTokens  int
	OutputTokens  int
	PromptParts   []PromptPart // in order; nil if unknown
	PreferredZone string       // zone of the worker that holds the prompt's KV cache; empty: no preference
	RunsPrefill   bool         // with StageDecode: the worker also runs the prefill
	Repeatable    bool         // the job may run more than once
	MaxRuns       int          // maximum number of workers that may run the job
	// FirstPushFree exempts the first push from the retry budget, because it is the request's first arrival at the service or
	// the first prefill of its prompt. It is false if an earlier call of Place has already sent the request to the service.
	FirstPushFree bool
	Runs          int // workers that may have run the job before this call
	// Continues is true if an earlier stage of the request has been done, which would be wasted by a refusal for urgency.
	Continues bool
}

// Decision says whether a worker served the job and, if none did, how to answer the client.
type Decision uint8

// The decisions.
const (
	DecisionServed  Decision = iota
	DecisionRefused          // the job has not run and never will: 503 with Retry-After
	DecisionFailed           // the job may have run: 502 or 504
)

// JobOutcome is the outcome of a call of Place.
type JobOutcome struct {
	Decision   Decision
	RetryAfter time.Duration // with DecisionRefused
	Runs       int           // workers that may have run the job, including Job.Runs
	Arrivals   int           // pushes of this call that reached a worker, accepted or not
}

// Push sends the job to the worker and returns its result once the worker's part is over. Place calls it in its own goroutine,
// one call at a time. Push must call ready before it sends the first byte. If ready returns false, the worker is draining or
// gone: Push must send nothing and return ResultNotExecuted.
type Push func(ctx context.Context, target fleetwire.Instance, ready func() bool) Result
