// Package decide makes the decisions of one dispatcher node that pushes jobs to workers.
//
// The mechanism is the power of two choices as practised at Mixpanel: for each job draw two
// distinct random ready workers, probe both for their present load, and push to the lighter.
//
// # What the caller owes
//
// A [Dispatcher] has no clock, no goroutine and no I/O of its own. The caller turns what happens on
// its network into method calls, each with the present time, and carries out the [Actions] that the
// dispatcher asks for while the call runs.
//
//   - Calls on one Dispatcher are made one at a time; it holds no lock. Dispatchers share nothing.
//   - Time never goes backwards. A call whose time does is treated as happening at the latest time seen.
//   - Each Push gets exactly one [Dispatcher.Outcome], each Probe one [Dispatcher.ProbeResult], each Wake
//     one [Dispatcher.Wake] at or after its time, and each Watch or Reload one [Dispatcher.Announce].
//     A second outcome for one attempt is ignored.
//   - The attempts of a job are numbered 0, 1, 2 in the order of their Push.
//   - The first Served outcome answers the client by itself; the caller marks that outcome Closed.
//   - Actions must not call back into the dispatcher.
//
// # What it gets
//
// Each job taken by Arrive receives exactly one final answer before its GiveUpAt: a Served outcome, a
// Refuse or a Fail. Events for unknown or finished jobs, attempts and workers are ignored, and so are
// reports with absurd values. The same seed and the same calls give the same actions.
package decide

// Time is a moment or a span in whole microseconds. The zero of the clock means nothing.
type Time = int64

// WorkerID names a worker. It carries no meaning; a restarted process keeps its ID.
type WorkerID uint64

// Effect tells what repeating a job of a class does.
type Effect uint8

// The kinds of effect.
const (
	Safe   Effect = iota // may be repeated and refused as one likes
	Keyed                // repeats are dropped inside a scope, for a while
	Unsafe               // must never run twice
)

// Scope tells which workers drop the repeats of a keyed job.
type Scope uint8

// The scopes of a key.
const (
	ScopeAll  Scope = iota // every worker
	ScopeZone              // the workers of one zone
	ScopeCell              // the workers of one cell
)

// Class holds what is known of one class of jobs.
type Class struct {
	Effect     Effect
	Scope      Scope   // for Keyed
	MemorySpan Time    // for Keyed: how long repeats are dropped, from the first attempt that may have run
	Aim        Time    // answered within Aim + Stretch x its own work, a job earns its full Worth
	Stretch    float64 // see Aim
	Deadline   Time    // the client's whole patience, over all its tries
	Worth      float64
	LateWorth  float64 // the share of Worth earned by an answer after the aim
	Kind       int     // the kind of worker that runs it, or -1 for any
}

// Tenant holds what is known of one tenant.
type Tenant struct {
	Allowance float64 // jobs a second within its share, over all nodes together
}

// Settings are the facts handed to a dispatcher at its start.
type Settings struct {
	Nodes   int // dispatchers in all, this one too
	Zone    int // the zone of this node
	Zones   int
	Classes []Class
	Tenants []Tenant

	CanProbe        bool
	CanCancel       bool
	CanMessagePeers bool // nodes may send each other messages
	SecondCopies    bool // a job may have two attempts out
	MaxAttempts     int
	MaxRetryAfter   Time // the longest wait that clients respect after a refusal; 0: they are told none

	MustAsk          bool // the worker list comes only when asked for
	AskWithin        Time // with MustAsk: silence longer than this counts as having been told
	DrainGrace       Time // how long a told node may go on sending to a draining worker
	ColdFrom         float64
	ColdSpan         Time    // a worker starts at ColdFrom of its capacity and is warm after ColdSpan
	OverloadMultiple float64 // sent more than this multiple of its present capacity for OverloadSpan ...
	OverloadSpan     Time    // ... a cold worker falls over
	AnswerSlack      Time
	Tick             Time    // the shortest time between two calls with different times
	TellsStart       bool    // workers note the start of a job
	OverShareWorth   float64 // the part of its worth that a job beyond its tenant's share keeps
	WorthByWork      bool    // worth counts for each unit of work, not for each job
	Unpriced         bool    // slots have no price: no job is held back for one that is worth more
	RTTNoise         Time    // a round trip within twice that tells nothing of a worker's pace
	CrossZoneCost    float64 // what crossing zones costs, in shares of a job's worth
}

// State is what the worker list says of a worker.
type State uint8

// The states of a worker.
const (
	Gone     State = iota // removed
	Ready                 // takes jobs
	Draining              // takes nothing new
)

// Worker is one entry of the worker list.
type Worker struct {
	ID        WorkerID
	Zone      int
	Kind      int
	Cell      int // workers of one cell share which keys they have seen
	State     State
	Weight    float64
	StartedAt Time // 0: long ago
}

// ListKind tells how the entries of an Announce are meant.
type ListKind uint8

// The kinds of list news.
const (
	ListDelta  ListKind = iota // the entries that changed
	ListFull                   // the entire list
	ListCached                 // the entire list as last known before a restart
	ListFailed                 // a call failed or the watch was lost; no entries
)

// Job is one request of a client.
type Job struct {
	ID         uint32 // never used twice
	Class      int
	Tenant     int
	Key        uint64 // 0: none
	GiveUpAt   Time
	Hint       Time    // expected work, or 0
	Slots      float64 // 0 counts as 1
	Memory     float64
	Zone       int      // draws begin in the zone of that number less one; 0: in that of the node
	Holder     WorkerID // joins the first draw, since it holds what others would do anew; 0: none
	SavedSlots float64  // the slots that the holder saves
	// EnoughSlots is how many free slots of the holder, with what it saves, end the draw: another can't be better, or not by what
	// asking it costs. The holder is asked first then, and the other only where it has less. 0: both are asked at once.
	EnoughSlots float64
}

// Fields says which figures a Report carries.
type Fields uint8

// The figures that a report may carry.
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

// Report is the load that a worker tells of itself. Only the figures named in Has mean anything.
type Report struct {
	Has        Fields
	FreeSlots  float64
	FreeMemory float64
	InFlight   float64
	Queue      float64
	Util       float64 // busy share of the cores
	Errors     float64 // a second
	Served     float64 // a second
	LatencyMS  float64
}

// Status tells how an attempt or a probe ended.
type Status uint8

// The outcomes.
const (
	Error         Status = iota // the worker failed it; it may have run
	Served                      // answered
	Full                        // turned away unseen; it never ran
	TimedOut                    // no answer in time; it may have run, or may still
	ConnectFailed               // no connection; it never ran
	Reset                       // the connection broke; it may have run
	Cancelled                   // called off; it may have run
	NotSent                     // not sent at all; it never ran
)

// NeverRan reports whether the outcome proves that the attempt had no effect.
func (s Status) NeverRan() bool { return s == Full || s == ConnectFailed || s == NotSent }

// Outcome is the end of one attempt.
type Outcome struct {
	Job     uint32
	Attempt int
	Worker  WorkerID
	Status  Status
	Closed  bool // the job is over
	Latency Time
	Report  Report
}

// NoteKind tells what a Note is about.
type NoteKind uint8

// The notes about a running attempt.
const (
	NoteStarted NoteKind = 1 + iota
	NoteProgress
)

// Actions is what a dispatcher asks its caller to do. Each is carried out at the time of the call that
// asked for it, in the order asked.
type Actions interface {
	// Push sends the job to the worker: its next attempt. After timeout the attempt ends as TimedOut.
	Push(job uint32, worker WorkerID, timeout Time)
	// Probe asks a worker for its load.
	Probe(worker WorkerID)
	// Cancel stops waiting for an attempt, also after the job's final answer.
	Cancel(job uint32, attempt int)
	// Refuse is a final answer: not done, and trying again is harmless. retryAfter advises a wait; 0, none.
	Refuse(job uint32, retryAfter Time)
	// Fail is a final answer without a promise.
	Fail(job uint32)
	// Watch asks for changes of the worker list from now on, or stops them.
	Watch(on bool)
	// Reload asks for the whole worker list once.
	Reload()
	// Wake asks for a call of Dispatcher.Wake with the token, after the span. It can't be taken back.
	Wake(after Time, token uint64)
	// SendPeer sends at most 256 bytes to the node with that number, or to all others with PeerAll.
	SendPeer(peer int, data []byte)
}

// PeerAll addresses every other node.
const PeerAll = -1
