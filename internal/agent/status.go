package agent

import (
	"context"
	"time"

	"weldscale/internal/fleetwire"
)

// Status is an agent's reply at fleetwire.PathStatus.
type Status struct {
	Member      fleetwire.Member
	Version     fleetwire.Version
	Source      string // internal address of the current source; empty: none
	Controllers []string
	Routers     int
	QuorumAgeMs int64
	ListAgeMs   int64
}

// StatusRequest is the empty request for a Status.
type StatusRequest struct{}

func (a *Agent) status(context.Context, StatusRequest) (Status, error) {
	snapshot := a.hub.Current()
	return Status{
		Member:      self(a.settings.Load()),
		Version:     snapshot.Version,
		Source:      a.follower.Source(),
		Controllers: snapshot.Controllers,
		Routers:     snapshot.Routers,
		QuorumAgeMs: snapshot.QuorumAge.Milliseconds(),
		ListAgeMs:   snapshot.ListAgeAt(time.Now()).Milliseconds(),
	}, nil
}
