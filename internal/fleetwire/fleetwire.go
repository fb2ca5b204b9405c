// Package fleetwire holds the messages that the programs of the fleet send each other, encoded as msgpack by
// coordination/transport. It holds no behaviour beyond comparing versions.
package fleetwire

// Paths of the internal calls. All are POST with a msgpack body.
const (
	// PathWatch is the long poll by version, served by controllers to agents and by an agent to its router.
	PathWatch = "/internal/watch"
	// PathInstances passes a list of instances from the controller that reads it to the others.
	PathInstances = "/internal/instances"
	// PathStatus tells what a process knows of the fleet.
	PathStatus = "/internal/status"
)

// Route sends requests of one host and path prefix to a service.
type Route struct {
	Name            string
	Hostname        string
	PathPrefix      string // begins and ends with a slash
	RouteType       string // "safe", "unsafe" or "streaming"
	TimeoutMs       int64
	TargetLatencyMs int64
	Priority        int // 0 is the most urgent
	Split           []WeightedService
	MaxAttempts     int
	Sticky          bool
	Resumable       bool
	GapAimMs        int64
}

// WeightedService is one target of a route.
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
	Stride       int // tokens in one event
	HandleTTLS   float64
	SwitchS      float64
	Models       []string
}

// Limits bound what a client may send and how long it may take.
type Limits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs int64
	IdleTimeoutMs   int64
}

// Config is a configuration of the operator, checked and in the form that routers use.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Instance is one worker as the platform lists it.
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

// Model is a model that a worker has loaded.
type Model struct {
	Name    string
	Version int64
}

// States of an instance.
const (
	InstanceReady    = "ready"
	InstanceDraining = "draining"
)

// Stages of a worker of an engine.
const (
	StagePrefill = "prefill"
	StageDecode  = "decode"
)

// ListVersion orders lists of instances: by the fencing token of their reader, then by its sequence.
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

// Version names the state that a watcher holds. The zero value is a watcher that holds nothing.
type Version struct {
	ConfigRevision uint64 // revision of the register
	Instances      ListVersion
}

// WatchRequest asks for what is newer than Have. The answer comes at once if there is something newer, otherwise within WaitMs.
type WatchRequest struct {
	Have   Version
	WaitMs int64
	Member Member // the asking process
	Steps  bool   // the list of instances may come as steps from the one that the watcher has
	// Observations are what the router beside the asking process saw last of some workers.
	Observations []Observation
}

// Observation is what one router saw last of one worker. A later one of the same router replaces an earlier one.
type Observation struct {
	Worker   string // ID of the instance
	Kind     int    // of package evidence
	AgeMs    int64
	Life     uint64 // of the router
	Sequence uint64
}

// Doubt names a worker that some routers complain of.
type Doubt struct {
	Worker string // ID of the instance
	// Avoid says that enough routers do. Without it, those that fare well there are asked to say so.
	Avoid bool
}

// Packed is a value that was encoded once for all watchers; package watch makes and reads it.
type Packed []byte

// ListStep leads from one list of instances to a newer one.
type ListStep struct {
	From, To ListVersion
	Digest   uint64 // of the list at To, made by package watch
	Body     Packed // of ListDelta
}

// ListDelta is what differs between two lists. Both parts are in the order of the ids.
type ListDelta struct {
	Put     []Instance // new or changed
	Removed []string   // ids
}

// WatchReply carries only the parts that are newer than what the watcher holds; the others are nil.
type WatchReply struct {
	Now         Version
	Config      Packed // of Config
	Instances   Packed // of the whole list of Instance; nil where there are Steps
	Steps       []ListStep
	Controllers []string // internal addresses of the known controllers, IP:PORT
	Routers     int      // routers that the controllers know to be alive; 0: not known yet
	// QuorumAgeMs tells how long ago the controller behind this answer last heard a majority of the replicas. A watcher
	// leaves a controller whose age grows beyond its bound.
	QuorumAgeMs int64
	// ListAgeMs tells how long ago the platform confirmed the list.
	ListAgeMs int64
	// Doubts are the workers that routers of the asking process's zone complain of.
	Doubts []Doubt
	// HeldMs tells how long the poll was held: the rest of the call's time the messages were on their way, and older by that.
	HeldMs int64
}

// Member is a process as others see it.
type Member struct {
	Name    string
	Address string // internal address, IP:PORT
	Role    string // RoleController, RoleAgent or RoleRouter
	Zone    string
	Region  string
}

// Roles of a member.
const (
	RoleController = "controller"
	RoleAgent      = "agent"
	RoleRouter     = "router"
)
