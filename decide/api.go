// Package decide makes the load-balancing decisions of one scheduler that pushes jobs to workers.
// It probes two random ready workers for each job and pushes the job to the less loaded one (the
// power of two choices, as practised at Mixpanel).
//
// # Duties of the caller
//
// A [Dispatcher] has no clock, no goroutine and no I/O of its own. The caller turns network events
// into method calls, each with the present time, and carries out the [Actions] that the dispatcher
// requests during the call.
//
//   - Calls on one Dispatcher must not overlap; it holds no lock. Dispatchers share no state.
//   - Time must not go backwards. A call with an earlier time is handled as of the latest time seen.
//   - Each Push leads to exactly one [Dispatcher.Outcome], each Probe to one [Dispatcher.ProbeResult],
//     each Wake to one [Dispatcher.Wake] at or after its time, and each Watch or Reload to one
//     [Dispatcher.Announce]. A second outcome of the same attempt is ignored.
//   - The attempts of a job are numbered 0, 1, 2 in the order of their Push.
//   - The caller answers the client with the first Served outcome and marks that outcome Closed.
//   - Actions must not call back into the dispatcher.
//
// # Guarantees
//
// Each job passed to Arrive receives exactly one final answer before its GiveUpAt: a Served outcome, a
// Refuse or a Fail. Events for unknown or finished jobs, attempts and workers are ignored, and so are
// reports with absurd values. The same seed and the same calls give the same actions.
package decide

// Time is a point in time or a duration in whole microseconds. Points in time count from an arbitrary origin.
type Time = int64

// WorkerID identifies a worker. Its value carries no meaning; a restarted process keeps its ID.
type WorkerID uint64

// Effect classifies jobs by the effect of running them more than once.
type Effect uint8

// The kinds of effect.
const (
	Safe   Effect = iota // may be repeated and refused without limit
	Keyed                // workers deduplicate repeats by key, within a scope and for a limited time
	Unsafe               // must never run twice
)

// Scope is the set of workers that deduplicate the repeats of a keyed job.
type Scope uint8

// The deduplication scopes.
const (
	ScopeAll  Scope = iota // all workers
	ScopeZone              // the workers of one zone
	ScopeCell              // the workers of one cell
)

// Class holds the properties of one class of jobs.
type Class struct {
	Effect     Effect
	Scope      Scope   // for Keyed
	MemorySpan Time    // for Keyed: how long repeats are deduplicated, from the first attempt that may have run
	Aim        Time    // a job answered within Aim + Stretch x its own running time earns its full Worth
	Stretch    float64 // see Aim
	Deadline   Time    // how long the client waits in total, over all its tries
	Worth      float64
	LateWorth  float64 // the share of Worth earned by an answer after the aim
	Kind       int     // the kind of worker that runs it, or -1 for any
}

// Tenant holds the properties of one tenant.
type Tenant struct {
	Allowance float64 // jobs per second in its share, over all dispatchers together
}

// Settings configure a dispatcher at its start.
type Settings struct {
	Nodes   int // number of dispatchers, including this one
	Zone    int // the zone of this dispatcher
	Zones   int
	Classes []Class
	Tenants []Tenant

	CanProbe        bool
	CanCancel       bool
	CanMessagePeers bool // dispatchers may send each other messages
	SecondCopies    bool // hedging: a job may have two attempts in flight
	MaxAttempts     int
	MaxRetryAfter   Time // the longest Retry-After that clients respect; 0: refusals carry none

	MustAsk          bool // the worker list is only sent on request
	AskWithin        Time // with MustAsk: a dispatcher that sent no request for this long counts as informed of every change
	DrainGrace       Time // how long a dispatcher may go on pushing to a worker after it was informed of its drain
	ColdFrom         float64
	ColdSpan         Time    // a worker starts with ColdFrom of its capacity and is warm after ColdSpan
	OverloadMultiple float64 // a cold worker fails when it receives more than this multiple of its present capacity ...
	OverloadSpan     Time    // ... during this time
	AnswerSlack      Time
	Tick             Time    // the shortest time between two calls with different times
	TellsStart       bool    // workers report the start of a job
	OverShareWorth   float64 // the part of its worth that a job beyond its tenant's share keeps
	WorthByWork      bool    // a job's worth is per unit of work, not per job
	Unpriced         bool    // slots have no price: no job is held back in favour of one that is worth more
	RTTNoise         Time    // a probe round trip shorter than twice this does not mark a worker as slow
	CrossZoneCost    float64 // the cost of a push to another zone, as a share of a job's worth
}

// State is the state of a worker according to the worker list.
type State uint8

// The states of a worker.
const (
	Gone     State = iota // removed
	Ready                 // accepts jobs
	Draining              // accepts no new jobs
)

// Worker is one entry of the worker list.
type Worker struct {
	ID        WorkerID
	Zone      int
	Kind      int
	Cell      int // the workers of one cell share the record of keys for deduplication
	State     State
	Weight    float64
	StartedAt Time // 0: long ago
}

// ListKind classifies an update of the worker list.
type ListKind uint8

// The kinds of list updates.
const (
	ListDelta  ListKind = iota // the entries that changed
	ListFull                   // the entire list
	ListCached                 // the entire list as last known before a restart
	ListFailed                 // a request failed or the watch was lost; no entries
)

// Job is one request of a client.
type Job struct {
	ID       uint32 // never reused
	Class    int
	Tenant   int
	Key      uint64  // deduplication key; 0: none
	GiveUpAt Time    // deadline of the final answer
	Hint     Time    // expected running time; 0: unknown
	Slots    float64 // 0 counts as 1
	Memory   float64
	Zone     int      // one plus the zone in which draws begin; 0: the zone of the dispatcher
	Holder   WorkerID // a worker that holds state which others would have to build anew; it joins the first draw. 0: none
	// SavedSlots is how many slots the job needs less on the holder.
	SavedSlots float64
	// EnoughSlots is the number of free slots, SavedSlots included, with which the holder gets the job without a probe of a
	// second worker: a second one can't be better, or not by more than the probe costs. The holder is then probed first,
	// and the second worker only if the holder has less room. 0: both are probed at once.
	EnoughSlots float64
}

// Fields is the set of figures that a Report carries.
type Fields uint8

// The figures of a report.
const (
	HasFreeSlots Fields = 1 << iota
	HasFreeMemory
	HasInFlight
	HasQueue
	HasUtil
	HasErrors
	HasServed
	HasLatency
)

// Report is a worker's report of its own load. Only the figures in Has are valid.
type Report struct {
	Has        Fields
	FreeSlots  float64
	FreeMemory float64
	InFlight   float64
	Queue      float64
	Util       float64 // utilization of the cores, 0 to 1
	Errors     float64 // per second
	Served     float64 // per second
	LatencyMS  float64
}

// Status is the result of an attempt or a probe.
type Status uint8

// The results.
const (
	Error         Status = iota // the worker returned an error; the attempt may have run
	Served                      // answered
	Full                        // rejected by the worker before it ran
	TimedOut                    // no answer in time; the attempt may have run or may still be running
	ConnectFailed               // no connection; the attempt never ran
	Reset                       // the connection broke; the attempt may have run
	Cancelled                   // cancelled by the dispatcher; the attempt may have run
	NotSent                     // never sent; the attempt never ran
)

// NeverRan reports whether the status proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == Full || s == ConnectFailed || s == NotSent }

// Outcome is the end of one attempt.
type Outcome struct {
	Job     uint32
	Attempt int
	Worker  WorkerID
	Status  Status
	Closed  bool // the job is finished
	Latency Time
	Report  Report
}

// NoteKind is the kind of a notification about a running attempt.
type NoteKind uint8

// The notifications about a running attempt.
const (
	NoteStarted NoteKind = 1 + iota
	NoteProgress
)

// Actions are the operations that a dispatcher requests from its caller. The caller carries out each one
// at the time of the call that requested it, in the order of the requests.
type Actions interface {
	// Push sends the job to the worker as its next attempt. The attempt ends as TimedOut after timeout.
	Push(job uint32, worker WorkerID, timeout Time)
	// Probe requests a load report from a worker.
	Probe(worker WorkerID)
	// Cancel cancels an attempt. It may be called after the job's final answer.
	Cancel(job uint32, attempt int)
	// Refuse gives the final answer that the job was not done and may be retried without harm after
	// retryAfter; 0 gives no advice.
	Refuse(job uint32, retryAfter Time)
	// Fail gives the final answer that the job failed; it may have had an effect.
	Fail(job uint32)
	// Watch subscribes to changes of the worker list, or unsubscribes.
	Watch(on bool)
	// Reload requests the whole worker list once.
	Reload()
	// Wake requests a call of Dispatcher.Wake with the token after the given time. It can't be cancelled.
	Wake(after Time, token uint64)
	// SendPeer sends at most 256 bytes to the dispatcher with that number, or to all others with PeerAll.
	SendPeer(peer int, data []byte)
}

// PeerAll addresses all other dispatchers.
const PeerAll = -1
