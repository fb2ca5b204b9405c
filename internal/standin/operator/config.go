// Package operator stands in for the operator of a fleet: it sends configurations to the controllers, again where an answer
// is lost, and reads back what is in force.
package operator

// Config is a configuration as the operator writes it.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route leads requests of a host and prefix to a service, or to several by weight.
type Route struct {
	Name            string
	Hostname        string
	PathPrefix      string
	RouteType       string
	TimeoutMs       int64
	TargetLatencyMs int64
	Priority        int
	Service         string   `json:",omitempty"`
	TrafficSplit    []Weight `json:",omitempty"`
	MaxAttempts     int
	Sticky          bool
	Resumable       bool
	GapAimMs        int64 `json:"gap_aim_ms,omitempty"`
}

// Weight is one service of a split route.
type Weight struct {
	Service string
	Weight  int64
}

// Service is a service with its workers' bounds.
type Service struct {
	Name           string
	HealthCheck    string
	MaxConnections int
	Protocol       string
	TLS            bool    `json:"Tls"`
	Engine         *Engine `json:",omitempty"`
}

// Engine describes the engine of a service's workers.
type Engine struct {
	Slots        int
	KvTokens     int
	KvTokenBytes int
	LinkMbps     float64
	Stride       int     `json:"stride"`
	HandleTTLS   float64 `json:"HandleTtlS"`
	SwitchS      float64
	Models       []ModelName
}

// ModelName names a model.
type ModelName struct{ Name string }

// Limits bound clients.
type Limits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs int64
	IdleTimeoutMs   int64
}

// DefaultLimits are those of the small deployments.
var DefaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
