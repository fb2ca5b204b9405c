// Package engine is a small, deterministic stand-in of a language-model inference engine: continuous batching, chunked prefill,
// block-based KV memory, prefix caching, handles of prefilled prompts, and stage orders. Callers pass in the time and
// collect events; the package uses no clock, socket or goroutine.
package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The stages of a worker. An engine without a stage neither exports nor fetches KV memory.
const (
	StagePrefill = "prefill"
	StageDecode  = "decode"
)

const (
	decodePrefillSlowdown = 2 // a decode worker prefills at half the rate
	decodeChunkDivisor    = 4 // a decode worker uses chunks of a quarter of the size
	maxTransferWait       = 2 * time.Second
)

// Config describes an engine. Zero values are replaced by the defaults given in the comments.
type Config struct {
	Stage          string
	Slots          int           // 8
	Queue          int           // 16: requests that may wait for a slot
	Step           time.Duration // 3 ms: the time to generate one token of each running request
	StepPerSlot    time.Duration // added to Step for each running request
	TokensPerMs    float64       // 100: prompt tokens prefilled in a millisecond
	PrefillChunk   int           // 2048: the most prompt tokens prefilled in one step
	Block          int           // 16: tokens in a block of KV memory
	KvTokens       int           // 100000: the capacity of the KV memory
	KvTokenBytes   int           // 35136
	LinkMbps       float64       // 1000000
	TransferSetup  time.Duration // latency before each KV transfer
	Stride         int           // 1: tokens in each event after the first event
	ReportLag      time.Duration // 100 ms: the age of the state that Report returns; negative: no lag
	HandleLifetime time.Duration // 5 s
	StageSwitch    time.Duration // 2 s: from the end of the last running job to the new stage
	Fencing        bool
	ModelVersion   int // 1
}

func (c *Config) setDefaults() {
	c.Slots = cmp.Or(c.Slots, 8)
	c.Queue = cmp.Or(c.Queue, 16)
	c.Step = cmp.Or(c.Step, 3*time.Millisecond)
	c.TokensPerMs = cmp.Or(c.TokensPerMs, 100)
	c.PrefillChunk = cmp.Or(c.PrefillChunk, 2048)
	c.Block = cmp.Or(c.Block, 16)
	c.KvTokens = cmp.Or(c.KvTokens, 100_000)
	c.KvTokenBytes = cmp.Or(c.KvTokenBytes, 35_136)
	c.LinkMbps = cmp.Or(c.LinkMbps, 1e6)
	c.Stride = cmp.Or(c.Stride, 1)
	c.ReportLag = cmp.Or(c.ReportLag, 100*time.Millisecond)
	c.HandleLifetime = cmp.Or(c.HandleLifetime, 5*time.Second)
	c.StageSwitch = cmp.Or(c.StageSwitch, 2*time.Second)
	c.ModelVersion = cmp.Or(c.ModelVersion, 1)
}

// Part is a segment of a prompt, identified by its hash. A part without an ID is never shared through the cache.
type Part struct {
	ID     string
	Tokens int
}

// Job is a request submitted to the engine.
type Job struct {
	ID          string // unique among the jobs of this engine
	Model       string
	Parts       []Part // the prompt, in order
	Output      int    // tokens to generate
	Done        int    // tokens that an earlier run generated; a resumed stream continues after them
	Priority    int    // 0 is the most urgent
	Deadline    time.Duration
	PrefillOnly bool          // the job ends with a handle instead of tokens
	Fetched     bool          // the prompt's KV memory is transferred from another worker
	ReadyAt     time.Duration // when the transfer ends
}

// Kind is the type of an Event.
type Kind uint8

// The kinds of events.
const (
	KindTokens      Kind = iota // tokens From to To were generated; the first such event shows that the job runs
	KindDone                    // the last token was generated
	KindPrefilled               // a PrefillOnly job ended with Handle
	KindNotExecuted             // the job left the queue before it started, because of its deadline or an order
)

// Event reports progress of a job.
type Event struct {
	Job      string
	Kind     Kind
	At       time.Duration
	From, To int
	Handle   string
	Tokens   int // prompt tokens, of a KindPrefilled event
}

type phase uint8

const (
	phaseQueued phase = iota
	phasePrefilling
	phaseDecoding
)

type task struct {
	Job
	phase         phase
	order         int // arrival order
	prefillLeft   int // prompt tokens still to be prefilled
	generated     int // tokens generated, Done included
	reported      int // tokens reported in events
	started       bool
	held          []*part // cached parts that the task references
	privateBlocks int     // blocks that only this task uses
	uncached      []Part  // prompt parts that were not cached when the task started
	preempted     bool    // the task was preempted and prefills its generated tokens again
}

// Stats holds work counters for tests.
type Stats struct {
	TokensPrefilled, TokensCached, TokensGenerated, Preempted, Fetched, HandlesExpired int
}

// Engine simulates an inference engine. It is not safe for concurrent use.
type Engine struct {
	config        Config
	now           time.Duration
	tasks         []*task // in arrival order
	arrivals      int
	stepEnds      time.Duration // 0: no step is running
	decoding      []*task       // tasks that get a token in the current step
	prefilling    *task         // task that is prefilled in the current step
	prefillTokens int           // prompt tokens that are prefilled in the current step
	cache         cache
	handles       map[string]*handle
	handleCount   int           // handles created so far
	linkFreeAt    time.Duration // when the transfers reserved so far end
	order         orderState
	history       []timedReport // oldest first
	stats         Stats
	events        []Event
	handleKey     string
}

// New returns an idle engine. handleKey is the prefix of its handle IDs.
func New(config Config, handleKey string) *Engine {
	config.setDefaults()
	e := &Engine{config: config, handles: map[string]*handle{}, handleKey: handleKey}
	e.cache = newCache(config.KvTokens / config.Block)
	e.order.stage = config.Stage
	e.record()
	return e
}

// Rejection is the reason for not accepting a job.
type Rejection uint8

// The rejections. A rejected job has not run.
const (
	Accepted Rejection = iota
	RejectedFull
	RejectedBusy  // an order is in progress
	RejectedStage // the stage can't run the job; answered with status 421
)

// Check returns Accepted if the engine would accept job now, or the reason for a rejection.
func (e *Engine) Check(job Job) Rejection {
	switch {
	case e.order.busy:
		return RejectedBusy
	case job.PrefillOnly && e.order.stage != StagePrefill, !job.PrefillOnly && e.order.stage == StagePrefill,
		job.Fetched && e.order.stage != StageDecode:
		return RejectedStage
	case e.blocksOf(promptTokens(job)+job.Output) > e.cache.total, e.queued() >= e.config.Queue && !e.slotFree():
		return RejectedFull
	}
	return Accepted
}

// Submit queues a job at the time now, or returns the reason for its rejection.
func (e *Engine) Submit(now time.Duration, job Job) Rejection {
	e.Advance(now)
	if reason := e.Check(job); reason != Accepted {
		return reason
	}
	e.arrivals++
	e.tasks = append(e.tasks, &task{Job: job, order: e.arrivals, generated: job.Done, reported: job.Done})
	e.beginStep()
	e.record()
	return Accepted
}

// Cancel removes a job whose client disconnected.
func (e *Engine) Cancel(now time.Duration, id string) {
	e.Advance(now)
	for _, t := range e.tasks {
		if t.ID == id {
			e.remove(t)
			break
		}
	}
	e.advanceOrder()
	e.beginStep()
	e.record()
}

// Events returns the events since the last call and clears them.
func (e *Engine) Events() []Event {
	out := e.events
	e.events = nil
	return out
}

// Stats returns the counters.
func (e *Engine) Stats() Stats { return e.stats }

// Next returns the time of the next state change without new input. It returns false if there is none.
func (e *Engine) Next() (time.Duration, bool) {
	next, pending := time.Duration(0), false
	consider := func(at time.Duration) {
		if at > 0 && (!pending || at < next) {
			next, pending = at, true
		}
	}
	consider(e.stepEnds)
	consider(e.order.switchAt)
	for _, h := range e.handles {
		consider(h.expiresAt)
	}
	for _, t := range e.tasks {
		if t.phase == phaseQueued {
			consider(t.Deadline)
			if t.ReadyAt > e.now {
				consider(t.ReadyAt)
			}
		}
	}
	return next, pending
}

// Advance simulates the engine up to the time now.
func (e *Engine) Advance(now time.Duration) {
	for {
		next, pending := e.Next()
		if !pending || next > now {
			break
		}
		e.now = max(e.now, next)
		e.processDue()
	}
	e.now = max(e.now, now)
}

// processDue handles everything that is due at e.now.
func (e *Engine) processDue() {
	if e.stepEnds > 0 && e.stepEnds <= e.now {
		e.endStep()
	}
	e.expireHandles()
	e.expireQueued()
	e.advanceOrder()
	e.beginStep()
	e.record()
}

func (e *Engine) expireQueued() {
	for _, t := range slices.Clone(e.tasks) {
		if t.phase == phaseQueued && !t.started && t.Deadline > 0 && t.Deadline <= e.now {
			e.emit(Event{Job: t.ID, Kind: KindNotExecuted})
			e.remove(t)
		} else if t.phase == phaseQueued && t.Deadline > 0 && t.Deadline <= e.now {
			e.remove(t) // preempted after it had started; past its deadline its client has left
		}
	}
}

func (e *Engine) beginStep() {
	if e.stepEnds > 0 {
		return
	}
	e.admit()
	e.decoding, e.prefilling, e.prefillTokens = nil, nil, 0
	for _, t := range e.tasks {
		switch {
		case t.phase == phaseDecoding:
			e.decoding = append(e.decoding, t)
		case t.phase == phasePrefilling && (e.prefilling == nil || less(t, e.prefilling)):
			e.prefilling = t
		}
	}
	stepTime := time.Duration(0)
	if n := len(e.decoding); n > 0 {
		stepTime += e.config.Step + time.Duration(n)*e.config.StepPerSlot
	}
	if e.prefilling != nil {
		stepTime += e.planPrefill()
	}
	if stepTime > 0 {
		e.stepEnds = e.now + stepTime
	}
}

// planPrefill sets the number of prompt tokens to prefill in this step and returns the time that takes.
func (e *Engine) planPrefill() time.Duration {
	chunk, tokensPerMs := e.config.PrefillChunk, e.config.TokensPerMs
	if e.order.stage == StageDecode {
		chunk, tokensPerMs = max(1, chunk/decodeChunkDivisor), tokensPerMs/decodePrefillSlowdown
	}
	e.prefillTokens = min(chunk, e.prefilling.prefillLeft)
	return max(time.Microsecond, time.Duration(float64(e.prefillTokens)/tokensPerMs*float64(time.Millisecond)))
}

func (e *Engine) endStep() {
	e.stepEnds = 0
	if t := e.prefilling; t != nil && t.phase == phasePrefilling {
		t.prefillLeft -= e.prefillTokens
		e.stats.TokensPrefilled += e.prefillTokens
		if t.prefillLeft <= 0 {
			e.finishPrefill(t)
		}
	}
	for _, t := range e.decoding {
		if t.phase == phaseDecoding {
			e.generateToken(t)
		}
	}
}

func (e *Engine) finishPrefill(t *task) {
	e.cacheParts(t)
	if t.PrefillOnly {
		e.makeHandle(t)
		return
	}
	t.phase = phaseDecoding
	e.generateToken(t) // the end of the prefill yields the first token
}

func (e *Engine) generateToken(t *task) {
	if !e.grow(t) {
		return
	}
	t.generated++
	e.stats.TokensGenerated++
	first, last := !t.started, t.generated >= t.Output
	t.started = true
	if first || last || t.generated-t.reported >= e.config.Stride {
		e.emit(Event{Job: t.ID, Kind: KindTokens, From: t.reported + 1, To: t.generated})
		t.reported = t.generated
	}
	if last {
		e.emit(Event{Job: t.ID, Kind: KindDone})
		e.remove(t)
	}
}

func (e *Engine) emit(event Event) {
	event.At = e.now
	e.events = append(e.events, event)
}

// admit starts queued jobs by priority, then arrival, while slots and memory are available.
func (e *Engine) admit() {
	var waiting []*task
	for _, t := range e.tasks {
		if t.phase == phaseQueued && t.ReadyAt <= e.now {
			waiting = append(waiting, t)
		}
	}
	slices.SortStableFunc(waiting, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(a.order, b.order))
	})
	for _, t := range waiting {
		if !e.slotFree() || !e.reserve(t) {
			return
		}
		t.phase = phasePrefilling
		if t.prefillLeft == 0 { // the prompt is cached or fetched: the next step generates the first token
			e.cacheParts(t)
			if t.PrefillOnly {
				e.makeHandle(t)
			} else {
				t.phase = phaseDecoding
			}
		}
	}
}

func (e *Engine) slotFree() bool { return e.runningCount() < e.config.Slots }

func (e *Engine) runningCount() int {
	n := 0
	for _, t := range e.tasks {
		if t.phase != phaseQueued {
			n++
		}
	}
	return n
}

func (e *Engine) queued() int { return len(e.tasks) - e.runningCount() }

func (e *Engine) remove(t *task) {
	e.release(t)
	t.phase = phaseQueued // a running step that includes the task skips it
	e.tasks = slices.DeleteFunc(e.tasks, func(other *task) bool { return other == t })
}

// less reports whether a has precedence over b.
func less(a, b *task) bool {
	return a.Priority < b.Priority || a.Priority == b.Priority && a.order < b.order
}

func promptTokens(job Job) int {
	total := 0
	for _, p := range job.Parts {
		total += p.Tokens
	}
	return total
}

func (e *Engine) blocksOf(tokens int) int { return (tokens + e.config.Block - 1) / e.config.Block }

// String describes the engine's state in failure messages of tests.
func (e *Engine) String() string {
	return fmt.Sprintf("%s at %v: %d running, %d queued, %d of %d blocks used, %d handles",
		e.order.stage, e.now, e.runningCount(), e.queued(), e.cache.used(), e.cache.total, len(e.handles))
}
