// Package agent runs the small process beside each router. It follows one of the controllers and offers what it learns to
// the router over loopback, so that a restarted router has its state at once and controllers serve one watcher a machine.
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
	// gcPercent keeps the heap small: an agent allocates little, so frequent collections cost less than memory does.
	gcPercent       = 25
	headerTimeout   = 5 * time.Second
	maxHeaderBytes  = 8 << 10
	shutdownTimeout = 200 * time.Millisecond
	// An agent that is told to end stays while its router polls: a router that drains must still hear of workers that do.
	lingerPoll   = 100 * time.Millisecond
	lingerSilent = 900 * time.Millisecond // a router that lives polls again within its longest wait and the way
	lingerSpare  = time.Second            // of the grace, for the end itself
)

// Agent is the process beside a router.
type Agent struct {
	settings atomic.Pointer[settings.Settings]
	log      *zap.Logger
	client   *transport.Client
	hub      *watch.Hub
	evidence evidence
	follower *watch.Follower
	polled   atomic.Pointer[time.Time] // when the router polled last
}

// Run runs an agent until ctx is done.
func Run(ctx context.Context, current *settings.Settings, log *zap.Logger) error {
	debug.SetGCPercent(gcPercent)
	listener, err := net.Listen("tcp", current.AgentAddress())
	if err != nil {
		return eris.Wrap(err, "listen for the router")
	}
	return New(current, log).Serve(ctx, listener)
}

// New returns an agent that knows nothing yet.
func New(current *settings.Settings, log *zap.Logger) *Agent {
	return NewWithClient(current, transport.NewClient(), log)
}

// NewWithClient returns an agent that calls the controllers by a client of the caller's. The agent closes it in the end.
func NewWithClient(current *settings.Settings, client *transport.Client, log *zap.Logger) *Agent {
	agent := &Agent{log: log, client: client}
	agent.settings.Store(current)
	agent.hub = watch.NewHub(watch.HubOptions{
		QuorumAge:    func() time.Duration { return agent.follower.QuorumAge() },
		MaxQuorumAge: watch.RelayMaxQuorumAge,
		OnPoll:       agent.sawPoll,
		Doubts:       func(*fleetwire.WatchRequest) []fleetwire.Doubt { return agent.evidence.doubts(time.Now()) },
	})
	agent.follower = watch.NewFollower(watch.FollowerOptions{
		Self:       self(current),
		Sources:    func() []string { return agent.settings.Load().SeedInternalAddresses() },
		Client:     agent.client,
		Relay:      agent.hub,
		BeforePoll: func(request *fleetwire.WatchRequest) { request.Observations = agent.evidence.take() },
		OnDoubts:   func(doubts []fleetwire.Doubt) { agent.evidence.told(time.Now(), doubts) },
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

// Source returns the internal address of the controller that the agent follows, or nothing while it follows none.
func (a *Agent) Source() string { return a.follower.Source() }

// Serve follows the controllers and serves the router at the listener until ctx is done.
func (a *Agent) Serve(ctx context.Context, listener net.Listener) error {
	ended := ctx.Done()
	ctx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	server := &http.Server{Handler: a.handler(), ReadHeaderTimeout: headerTimeout, MaxHeaderBytes: maxHeaderBytes}
	go a.follower.Run(ctx)
	go settings.NewWatcher(a.settings.Load(), a.settings.Store, a.log).Run(ctx)
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(listener) }()
	a.log.Info("agent serves", zap.String("address", listener.Addr().String()))
	select {
	case <-ended:
		a.linger()
		return a.shutdown(server)
	case err := <-failed:
		return eris.Wrap(err, "serve the router")
	}
}

func (a *Agent) handler() http.Handler {
	mux := http.NewServeMux()
	a.hub.Register(mux)
	mux.Handle("POST "+fleetwire.PathStatus, transport.Handle(a.status))
	return mux
}

func (a *Agent) sawPoll(request *fleetwire.WatchRequest) {
	now := time.Now()
	a.polled.Store(&now)
	a.evidence.seen(request.Observations)
}

// linger returns once the router has stopped polling, or the grace is nearly over.
func (a *Agent) linger() {
	latest := time.Now().Add(a.settings.Load().Bounds.Grace() - lingerSpare)
	ticker := time.NewTicker(lingerPoll)
	defer ticker.Stop()
	for now := time.Now(); now.Before(latest); now = <-ticker.C {
		polled := a.polled.Load()
		if polled == nil || now.Sub(*polled) > lingerSilent {
			return
		}
	}
}

// shutdown ends the router's poll with an answer and closes; the router lives on with what it has.
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
