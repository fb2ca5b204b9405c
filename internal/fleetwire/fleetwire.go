// Package fleetwire defines the messages that the programs of the fleet exchange, encoded as msgpack by
// coordination/transport. Its only logic is the comparison of versions.
package fleetwire

// Paths of the internal calls. All calls use POST with a msgpack body.
const (
	// PathWatch is the long poll for newer versions. Controllers serve it to agents, and an agent serves it to its router.
	PathWatch = "/internal/watch"
	// PathInstances transfers the list of instances from the controller that reads it from the platform to the other ones.
	PathInstances = "/internal/instances"
	// PathStatus returns the state of the fleet as the process knows it.
	PathStatus = "/internal/status"
)

// Route assigns the requests for a host and a path prefix to one or more services.
type Route struct {
	Name            string
	Hostname        string
	PathPrefix      string // starts and ends with a slash
	RouteType       string // "safe", "unsafe" or "streaming"
	TimeoutMs       int64
	TargetLatencyMs int64
	Priority        int // 0 is the highest priority
	Split           []WeightedService
	MaxAttempts     int
	Sticky          bool
	Resumable       bool
	GapAimMs        int64
}

// WeightedService is a target of a route and its share of the requests.
type WeightedService struct {
	Service string
	Weight  int64
}

// Service is a group of workers that do the same work.
type Service struct {
	Name           string
	HealthCheck    string
	MaxConnections int
	Engine         *Engine // nil for a service that generates no tokens
}

// Engine describes the model engine of a service's workers.
type Engine struct {
	Slots        int
	KvTokens     int64
	KvTokenBytes int64
	LinkMbps     float64
	Stride       int // tokens per event
	HandleTTLS   float64
	SwitchS      float64
	Models       []string
}

// Limits bounds the size and the duration of client requests.
type Limits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs int64
	IdleTimeoutMs   int64
}

// Config is the validated configuration of the operator in the form that routers use.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Instance is a worker from the platform's list of instances.
type Instance struct {
	ID              string
	Service         string
	Address         string // IP:PORT
	Zone            string
	Version         string
	Slots           int
	State           string // "ready" or "draining"
	ColdRemainingMs int64
	Stage           string // "prefill", "decode" or empty
	Models          []Model
}

// Model is a model that is loaded on a worker.
type Model struct {
	Name    string
	Version int64
}

// Values of Instance.State.
const (
	InstanceReady    = "ready"
	InstanceDraining = "draining"
)

// Values of Instance.Stage for the workers of a service with a model engine.
const (
	StagePrefill = "prefill"
	StageDecode  = "decode"
)

// ListVersion orders lists of instances by the fencing token of the controller that read the list, and then by the sequence
// number that this controller assigned.
type ListVersion struct {
	Token    uint64
	Sequence uint64
}

// Less reports whether v is older than other.
func (v ListVersion) Less(other ListVersion) bool {
	if v.Token != other.Token {
		return v.Token < other.Token
	}
	return v.Sequence < other.Sequence
}

// Version identifies the state that a subscriber holds. The zero value identifies the empty state.
type Version struct {
	ConfigRevision uint64 // revision of the register
	Instances      ListVersion
}

// WatchRequest asks for parts of the state that are newer than Have. The reply is sent at once if there are any, and otherwise
// after at most WaitMs.
type WatchRequest struct {
	Have   Version
	WaitMs int64
	Member Member // the subscriber
	Steps  bool   // the subscriber accepts the list of instances as steps from its own version
	// Observations are the latest observations of workers by the router on the subscriber's machine.
	Observations []Observation
}

// Observation is the latest outcome that one router observed at one worker. It replaces earlier observations of the same worker
// by the same router.
type Observation struct {
	Worker   string // ID of the instance
	Kind     int    // an evidence.Kind
	AgeMs    int64
	Life     uint64 // incarnation of the router: identifies one run of its process
	Sequence uint64 // orders the observations of this run
}

// Doubt names a suspected worker: some routers have reported failures of it.
type Doubt struct {
	Worker string // ID of the instance
	// Avoid is set if enough routers report failures. Otherwise routers that use the worker successfully are asked to report so.
	Avoid bool
}

// Packed is a value that package watch encoded once for all subscribers. Only package watch decodes it.
type Packed []byte

// ListStep is a delta from one version of the list of instances to a newer one.
type ListStep struct {
	From, To ListVersion
	Digest   uint64 // digest of the list at To, computed by package watch
	Body     Packed // a packed ListDelta
}

// ListDelta contains the differences between two lists of instances. Both fields are sorted by ID.
type ListDelta struct {
	Put     []Instance // new or changed instances
	Removed []string   // IDs of removed instances
}

// WatchReply is the reply to a WatchRequest. Config, Instances and Steps are nil unless they are newer than the subscriber's
// version.
type WatchReply struct {
	Now         Version
	Config      Packed // a packed Config
	Instances   Packed // the full list, a packed []Instance; nil if Steps is set
	Steps       []ListStep
	Controllers []string // internal addresses of the known controllers, IP:PORT
	Routers     int      // number of routers that the controllers know to be alive; 0: not known yet
	// QuorumAgeMs is the time since the controller at the origin of this reply last had contact with a majority of the replicas.
	// A subscriber fails over to another source when this age exceeds its bound.
	QuorumAgeMs int64
	// ListAgeMs is the time since the platform last confirmed the list.
	ListAgeMs int64
	// Doubts are the workers that routers in the subscriber's zone suspect.
	Doubts []Doubt
	// HeldMs is the time that the poll was held. The rest of the call's duration bounds the time that the reply was in transit,
	// which the subscriber adds to the ages.
	HeldMs int64
}

// Member identifies a process of the fleet.
type Member struct {
	Name    string
	Address string // internal address, IP:PORT
	Role    string // one of the Role constants
	Zone    string
	Region  string
}

// Values of Member.Role.
const (
	RoleController = "controller"
	RoleAgent      = "agent"
	RoleRouter     = "router"
)
