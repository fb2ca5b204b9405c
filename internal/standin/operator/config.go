// Package operator is a stand-in of the fleet's operator. It sends configurations to the controllers, retries when an answer
// is lost, and reads back the configuration in force.
package operator

// Config is a configuration in the format that the operator sends.
type Config struct {
	Version  int64
	Routes   []Route
	Services []Service
	Limits   Limits
}

// Route routes requests for a host and path prefix to one service or, by weight, to several.
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

// Weight is the share of one service in a traffic split.
type Weight struct {
	Service string
	Weight  int64
}

// Service is a service with the limits of its workers.
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

// ModelName is the name of a model.
type ModelName struct{ Name string }

// Limits are the limits on requests and connections of clients.
type Limits struct {
	MaxHeaderBytes  int
	MaxBodyBytes    int64
	HeaderTimeoutMs int64
	IdleTimeoutMs   int64
}

// DefaultLimits are the limits of the small deployments.
var DefaultLimits = Limits{MaxHeaderBytes: 16 << 10, MaxBodyBytes: 4 << 20, HeaderTimeoutMs: 3000, IdleTimeoutMs: 15000}
