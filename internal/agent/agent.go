// Package agent implements the process that runs beside each router. It subscribes to one of the controllers and relays
// configurations and worker lists to the router over loopback, so that a restarted router gets its state at once and
// controllers serve one subscriber per machine.
package agent

import (
	"context"
	"errors"
	"net"
	"net/http"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"weldscale/coordination/transport"
	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/settings"
)

const (
	// gcPercent keeps the heap small. An agent allocates little, so frequent collections cost less than a larger heap.
	gcPercent       = 25
	headerTimeout   = 5 * time.Second
	maxHeaderBytes  = 8 << 10
	shutdownTimeout = 200 * time.Millisecond
	// During shutdown the agent keeps serving while its router polls, because a router that drains still needs to know which
	// workers drain.
	drainPollInterval = 100 * time.Millisecond
	routerPollTimeout = 900 * time.Millisecond // above the longest wait of a poll and the round trip
	shutdownReserve   = time.Second            // the part of the grace period that is kept for closing the server
)

// Agent relays the state of the fleet from a controller to the router on the same machine.
type Agent struct {
	settings atomic.Pointer[settings.Settings]
	log      *zap.Logger
	client   *transport.Client
	hub      *watch.Hub
	evidence evidence
	follower *watch.Follower
	lastPoll atomic.Pointer[time.Time] // time of the router's latest poll
}

// Run listens at the agent's address and serves the router until ctx is done.
func Run(ctx context.Context, current *settings.Settings, log *zap.Logger) error {
	debug.SetGCPercent(gcPercent)
	listener, err := net.Listen("tcp", current.AgentAddress())
	if err != nil {
		return eris.Wrap(err, "listen for the router")
	}
	return New(current, log).Serve(ctx, listener)
}

// New returns an agent without any state.
func New(current *settings.Settings, log *zap.Logger) *Agent {
	return NewWithClient(current, transport.NewClient(), log)
}

// NewWithClient returns an agent that calls the controllers through the given client. Serve closes the client at shutdown.
func NewWithClient(current *settings.Settings, client *transport.Client, log *zap.Logger) *Agent {
	agent := &Agent{log: log, client: client}
	agent.settings.Store(current)
	agent.hub = watch.NewHub(watch.HubOptions{
		QuorumAge:    func() time.Duration { return agent.follower.QuorumAge() },
		MaxQuorumAge: watch.RelayMaxQuorumAge,
		OnPoll:       agent.recordPoll,
		Doubts:       func(*fleetwire.WatchRequest) []fleetwire.Doubt { return agent.evidence.suspects(time.Now()) },
	})
	agent.follower = watch.NewFollower(watch.FollowerOptions{
		Self:       self(current),
		Sources:    func() []string { return agent.settings.Load().SeedInternalAddresses() },
		Client:     agent.client,
		Relay:      agent.hub,
		BeforePoll: func(request *fleetwire.WatchRequest) { request.Observations = agent.evidence.take() },
		OnDoubts:   func(suspects []fleetwire.Doubt) { agent.evidence.setSuspects(time.Now(), suspects) },
		Log:        log,
	})
	return agent
}

func self(current *settings.Settings) fleetwire.Member {
	return fleetwire.Member{
		Name:    current.NodeName,
		Address: current.InternalAddress(),
		Role:    fleetwire.RoleAgent,
		Zone:    current.Zone,
		Region:  current.Region,
	}
}

// Source returns the internal address of the agent's current source, or an empty string without one.
func (a *Agent) Source() string { return a.follower.Source() }

// Serve polls the controllers and serves the router on the listener until ctx is done. It then keeps serving until the
// router stops polling or the grace period is nearly over.
func (a *Agent) Serve(ctx context.Context, listener net.Listener) error {
	done := ctx.Done()
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	server := &http.Server{Handler: a.handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	go a.follower.Run(ctx)
	go settings.NewWatcher(a.settings.Load(), a.settings.Store, a.log).Run(ctx)
	serveErr := make(chan error, 1)
	go func() { serveErr <- server.Serve(listener) }()
	a.log.Info("agent serves", zap.String("address", listener.Addr().String()))
	select {
	case <-done:
		a.waitForRouter()
		return a.shutdown(server)
	case err := <-serveErr:
		return eris.Wrap(err, "serve the router")
	}
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	a.hub.Register(mux)
	mux.Handle("POST "+fleetwire.PathStatus, transport.Handle(a.status))
	return mux
}

func (a *Agent) recordPoll(request *fleetwire.WatchRequest) {
	now := time.Now()
	a.lastPoll.Store(&now)
	a.evidence.add(request.Observations)
}

// waitForRouter returns once the router has stopped polling or the grace period is nearly over.
func (a *Agent) waitForRouter() {
	deadline := time.Now().Add(a.settings.Load().Bounds.Grace() - shutdownReserve)
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	for now := time.Now(); now.Before(deadline); now = <-ticker.C {
		lastPoll := a.lastPoll.Load()
		if lastPoll == nil || now.Sub(*lastPoll) > routerPollTimeout {
			return
		}
	}
}

// shutdown answers the router's pending poll and closes the server and the client. The router keeps its last state.
func (a *Agent) shutdown(server *http.Server) error {
	a.hub.Close()
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	err := server.Shutdown(ctx)
	if errors.Is(err, context.DeadlineExceeded) {
		err = server.Close()
	}
	a.client.Close()
	return eris.Wrap(err, "shut down")
}
