// Package engine models the engine of a language-model worker, small enough for tests: batches of slots, prompts read in
// pieces between the tokens of others, memory in blocks, cached parts of prompts, handles of read prompts, and orders. It
// is pure: it is told the time and answers with events. It holds no clock, no socket and no goroutine.
package engine

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// The stages of a worker. An engine without a stage neither hands out nor fetches memory.
const (
	StagePrefill = "prefill"
	StageDecode  = "decode"
)

const (
	decodeReadSlowdown = 2 // a decode worker reads prompts at half the pace
	decodePieceDivisor = 4 // and in pieces a quarter the size
	maxMoveWait        = 2 * time.Second
)

// Config describes an engine. Zero values are replaced by those that the comments name.
type Config struct {
	Stage          string
	Slots          int           // 8
	Queue          int           // 16: requests that wait for a slot
	Step           time.Duration // 3 ms: one token of each running request
	StepPerSlot    time.Duration // added for each running request
	TokensPerMs    float64       // 100: prompt tokens read in a millisecond
	PrefillChunk   int           // 2048: the most tokens read between two steps
	Block          int           // 16: tokens in a block of memory
	KvTokens       int           // 100000: the memory
	KvTokenBytes   int           // 35136
	LinkMbps       float64       // 1000000
	TransferSetup  time.Duration // before each move
	Stride         int           // 1: tokens in one event after the first
	ReportLag      time.Duration // how old a report is; negative: not at all; 100 ms
	HandleLifetime time.Duration // 5 s
	StageSwitch    time.Duration // from the last run's end to the new stage; 2 s
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

// Part is a part of a prompt, named by its hash. A part without an ID is never shared.
type Part struct {
	ID     string
	Tokens int
}

// Job is one request at the engine.
type Job struct {
	ID          string // unique among the jobs of this engine
	Model       string
	Parts       []Part // the prompt, in order
	Output      int    // tokens to make
	Done        int    // tokens made before, elsewhere: a resumed stream goes on after them
	Priority    int    // 0 is the most urgent
	Deadline    time.Duration
	PrefillOnly bool          // ends in a handle rather than in tokens
	Fetched     bool          // the prompt's memory comes by a move
	ReadyAt     time.Duration // when the move ends
}

// Kind tells what an Event says.
type Kind uint8

// The kinds of events.
const (
	KindTokens      Kind = iota // tokens From to To were made; the first one means that the job runs
	KindDone                    // the last token was made
	KindPrefilled               // a ReadOnly job ended in Handle
	KindNotExecuted             // the job left the queue without having begun: deadline or order
)

// Event is something that happened to a job.
type Event struct {
	Job      string
	Kind     Kind
	At       time.Duration
	From, To int
	Handle   string
	Tokens   int // of a KindRead
}

type phase uint8

const (
	phaseQueued phase = iota
	phaseReading
	phaseDecoding
)

type task struct {
	Job
	phase    phase
	order    int // of arrival
	toRead   int // prompt tokens still to be read
	made     int // tokens made, Done included
	sent     int // tokens told in events
	started  bool
	held     []*part // parts of the cache that it holds
	private  int     // blocks of its own
	missing  []Part  // parts that it reads
	refilled bool    // preempted before: reads its own tokens again
}

// Stats counts work for tests.
type Stats struct {
	TokensPrefilled, TokensCached, TokensGenerated, Preempted, Fetched, HandlesExpired int
}

// Engine is the model. It isn't safe for use by several goroutines.
type Engine struct {
	config    Config
	now       time.Duration
	tasks     []*task // in order of arrival
	arrivals  int
	stepEnds  time.Duration // 0: no step is under way
	decoding  []*task       // those that the step serves
	reading   *task         // whose piece the step reads
	piece     int
	cache     cache
	handles   map[string]*handle
	madeUp    int // handles so far
	linkFree  time.Duration
	order     orderState
	history   []stamped
	stats     Stats
	outgoing  []Event
	handleKey string
}

// New returns an idle engine. handleKey starts the names of its handles.
func New(config Config, handleKey string) *Engine {
	config.setDefaults()
	e := &Engine{config: config, handles: map[string]*handle{}, handleKey: handleKey}
	e.cache = newCache(config.KvTokens / config.Block)
	e.order.stage = config.Stage
	e.record()
	return e
}

// Rejection tells why a job was not taken.
type Rejection uint8

// The rejections. Each means that the job has not run.
const (
	Accepted Rejection = iota
	RejectedFull
	RejectedBusy  // an order is under way
	RejectedStage // 421
)

// Check reports whether job would be taken now.
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

// Submit takes a job at the time now, or says why not.
func (e *Engine) Submit(now time.Duration, job Job) Rejection {
	e.Advance(now)
	if reason := e.Check(job); reason != Accepted {
		return reason
	}
	e.arrivals++
	e.tasks = append(e.tasks, &task{Job: job, order: e.arrivals, made: job.Done, sent: job.Done})
	e.beginStep()
	e.record()
	return Accepted
}

// Cancel drops a job whose client left.
func (e *Engine) Cancel(now time.Duration, id string) {
	e.Advance(now)
	for _, t := range e.tasks {
		if t.ID == id {
			e.remove(t)
			break
		}
	}
	e.settleOrder()
	e.beginStep()
	e.record()
}

// Events returns and forgets what happened since the last call.
func (e *Engine) Events() []Event {
	out := e.outgoing
	e.outgoing = nil
	return out
}

// Stats returns the counts so far.
func (e *Engine) Stats() Stats { return e.stats }

// Next returns when something happens next without new input; false means never.
func (e *Engine) Next() (time.Duration, bool) {
	next, some := time.Duration(0), false
	consider := func(at time.Duration) {
		if at > 0 && (!some || at < next) {
			next, some = at, true
		}
	}
	consider(e.stepEnds)
	consider(e.order.switchAt)
	for _, h := range e.handles {
		consider(h.lapses)
	}
	for _, t := range e.tasks {
		if t.phase == phaseQueued {
			consider(t.Deadline)
			if t.ReadyAt > e.now {
				consider(t.ReadyAt)
			}
		}
	}
	return next, some
}

// Advance lets time pass until now.
func (e *Engine) Advance(now time.Duration) {
	for {
		next, some := e.Next()
		if !some || next > now {
			break
		}
		e.now = max(e.now, next)
		e.happen()
	}
	e.now = max(e.now, now)
}

// happen does what is due at e.now.
func (e *Engine) happen() {
	if e.stepEnds > 0 && e.stepEnds <= e.now {
		e.endStep()
	}
	e.lapseHandles()
	e.expireQueued()
	e.settleOrder()
	e.beginStep()
	e.record()
}

func (e *Engine) expireQueued() {
	for _, t := range slices.Clone(e.tasks) {
		if t.phase == phaseQueued && !t.started && t.Deadline > 0 && t.Deadline <= e.now {
			e.emit(Event{Job: t.ID, Kind: KindNotExecuted})
			e.remove(t)
		} else if t.phase == phaseQueued && t.Deadline > 0 && t.Deadline <= e.now {
			e.remove(t) // preempted in midstream: its client is gone
		}
	}
}

func (e *Engine) beginStep() {
	if e.stepEnds > 0 {
		return
	}
	e.admit()
	e.decoding, e.reading, e.piece = nil, nil, 0
	for _, t := range e.tasks {
		switch {
		case t.phase == phaseDecoding:
			e.decoding = append(e.decoding, t)
		case t.phase == phaseReading && (e.reading == nil || less(t, e.reading)):
			e.reading = t
		}
	}
	took := time.Duration(0)
	if n := len(e.decoding); n > 0 {
		took += e.config.Step + time.Duration(n)*e.config.StepPerSlot
	}
	if e.reading != nil {
		took += e.planPiece()
	}
	if took > 0 {
		e.stepEnds = e.now + took
	}
}

// planPiece chooses how much of the prompt is read in this step and returns how long that takes.
func (e *Engine) planPiece() time.Duration {
	size, pace := e.config.PrefillChunk, e.config.TokensPerMs
	if e.order.stage == StageDecode {
		size, pace = max(1, size/decodePieceDivisor), pace/decodeReadSlowdown
	}
	e.piece = min(size, e.reading.toRead)
	return max(time.Microsecond, time.Duration(float64(e.piece)/pace*float64(time.Millisecond)))
}

func (e *Engine) endStep() {
	e.stepEnds = 0
	if t := e.reading; t != nil && t.phase == phaseReading {
		t.toRead -= e.piece
		e.stats.TokensPrefilled += e.piece
		if t.toRead <= 0 {
			e.endReading(t)
		}
	}
	for _, t := range e.decoding {
		if t.phase == phaseDecoding {
			e.makeToken(t)
		}
	}
}

func (e *Engine) endReading(t *task) {
	e.keepParts(t)
	if t.PrefillOnly {
		e.makeHandle(t)
		return
	}
	t.phase = phaseDecoding
	e.makeToken(t) // the reading's end yields the first token
}

func (e *Engine) makeToken(t *task) {
	if !e.grow(t) {
		return
	}
	t.made++
	e.stats.TokensGenerated++
	first, last := !t.started, t.made >= t.Output
	t.started = true
	if first || last || t.made-t.sent >= e.config.Stride {
		e.emit(Event{Job: t.ID, Kind: KindTokens, From: t.sent + 1, To: t.made})
		t.sent = t.made
	}
	if last {
		e.emit(Event{Job: t.ID, Kind: KindDone})
		e.remove(t)
	}
}

func (e *Engine) emit(event Event) {
	event.At = e.now
	e.outgoing = append(e.outgoing, event)
}

// admit starts queued jobs, the most urgent first, as long as slots and memory last.
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
		t.phase = phaseReading
		if t.toRead == 0 { // all of it is kept or fetched: the next step makes its first token
			e.keepParts(t)
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
	t.phase = phaseQueued // a step that still holds it passes it over
	e.tasks = slices.DeleteFunc(e.tasks, func(other *task) bool { return other == t })
}

// less reports whether a goes before b.
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

// String helps a failing test.
func (e *Engine) String() string {
	return fmt.Sprintf("%s at %v: %d running, %d queued, %d of %d blocks used, %d handles",
		e.order.stage, e.now, e.runningCount(), e.queued(), e.cache.used(), e.cache.total, len(e.handles))
}
