// Package placement decides which worker runs a request, for each stage of it. It drives the dispatcher of package decide:
// two random ready workers of the needed stage, a probe of both, and the lighter one gets the push. It owns the retry
// budget and the table of workers; it never sees the message of a client: its caller sends the push and says how it ended.
package placement

import (
	"context"
	"time"

	"weldscale/internal/fleetwire"
)

// Result tells how a push to a worker ended.
type Result uint8

// The results of a push.
const (
	ResultServed           Result = iota // the worker's final answer was had (any answer that counts as run)
	ResultNotExecuted                    // the worker said that it did not run it: Not-Executed or 421
	ResultConnectFailed                  // no connection came about, nothing was sent
	ResultConnectionBroken               // sent, and the connection broke: it may have run
	ResultTimedOut                       // sent, and no answer came in time: it may have run, or may still
	ResultFailed                         // the worker answered with a failure of its own: it ran
	ResultCancelled                      // the client left
)

// mayHaveRun tells whether the worker may have begun the work.
func (r Result) mayHaveRun() bool {
	switch r {
	case ResultNotExecuted, ResultConnectFailed:
		return false
	default:
		return true
	}
}

// PromptPart is one shared piece of a prompt, named by its hash.
type PromptPart struct {
	ID     string
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
	PromptParts   []PromptPart // in order; nil where unknown
	PreferredZone string       // where the memory of the prompt lies; empty: no preference
	RunsPrefill   bool         // with StageDecode: the worker reads the prompt itself
	Repeatable    bool         // it may run more than once
	MaxRuns       int          // the largest number of workers that may run it
	// FirstPushFree says that the first push draws nothing from the retry budget: it is the request's first arrival at the
	// service, or the first reading of its prompt. It is false where an earlier call of Place has sent the request to the
	// service already.
	FirstPushFree bool
	Runs          int // workers that may have run it before this call
}

// Decision tells what the client is to be told when no worker served the job.
type Decision uint8

// The decisions.
const (
	DecisionServed  Decision = iota
	DecisionRefused          // it has not run and never will: 503 with Retry-After
	DecisionFailed           // it may have run: 502 or 504
)

// JobOutcome is the end of a placed job.
type JobOutcome struct {
	Decision   Decision
	RetryAfter time.Duration // with DecisionRefused
	Runs       int           // workers that may have run it, Job.Runs included
	Arrivals   int           // pushes of this call that arrived at a worker, taken up or not
}

// Push sends the job to the worker and returns once its part is over. It is called by Place, in Place's goroutine, one at
// a time. Before the first byte is sent it must call ready; if that returns false the worker must not be used any
// more (it drains by now, or is gone) and the push returns ResultNotExecuted unsent.
type Push func(ctx context.Context, target fleetwire.Instance, ready func() bool) Result
