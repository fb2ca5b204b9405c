package router

import (
	"context"
	"math"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"weldscale/coordination/transport"
	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
	"weldscale/internal/router/upstream"
	"weldscale/internal/settings"
)

const (
	// gcPercent keeps the heap close to its live size, because peak memory costs more than the extra collections.
	gcPercent = 40
	// agentMaxQuorumAge is the quorum age above which a router without a snapshot rejects the data of its agent. It is higher
	// than the age at which an agent switches to another controller.
	agentMaxQuorumAge = 3 * time.Second
	idleCheckInterval = 5 * time.Second
)

// Run serves clients and readiness probes until ctx is done, then shuts the router down gracefully.
func Run(ctx context.Context, current *settings.Settings, log *zap.Logger) error {
	debug.SetGCPercent(gcPercent)
	discardNetHTTPLog()
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) // SIGHUP must not end the process; a router reloads no settings
	frontend, err := net.Listen("tcp", current.Listen.Frontend)
	if err != nil {
		return eris.Wrap(err, "listen for clients")
	}
	readiness, err := net.Listen("tcp", current.Listen.Readiness)
	if err != nil {
		return eris.Wrap(err, "listen for readiness probes")
	}
	zones := make([]string, 0, len(current.Zones))
	for zone := range current.Zones {
		zones = append(zones, zone)
	}
	placer := placement.New(placement.Options{
		Zone:         current.Zone,
		Zones:        zones,
		BudgetRatio:  current.Bounds.RetryBudgetRatio,
		BudgetSlack:  current.Bounds.BudgetSlack,
		BudgetWindow: current.Bounds.BudgetWindow(),
		Log:          log,
	})
	router := New(Options{
		Placer:       placer,
		OnSuspects:   placer.MarkSuspect,
		OnLoadReport: placer.ObserveLoad,
		Pool:         upstream.New(upstream.Options{}),
		Log:          log,
	})
	return router.run(ctx, current, frontend, readiness)
}

// run serves on both listeners and follows the agent until ctx is done, then shuts down. It returns an error if a server
// fails.
func (r *Router) run(ctx context.Context, current *settings.Settings, frontend, readiness net.Listener) error {
	followCtx, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	go r.follow(followCtx, current)
	clients := r.newClientServer()
	probes := &http.Server{Handler: r.ReadinessHandler(), IdleTimeout: defaultIdleTimeout}
	serveErrors := make(chan error, 2)
	go func() { serveErrors <- clients.Serve(headLimitListener{frontend}) }()
	go func() { serveErrors <- probes.Serve(readiness) }()
	go r.closeIdleConns(followCtx)
	r.options.Log.Info("router serves", zap.String("address", frontend.Addr().String()))
	select {
	case err := <-serveErrors:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	r.shutDown(clients, probes, newShutdownSchedule(current.Bounds.Grace()))
	return nil
}

func (r *Router) newClientServer() *http.Server {
	return &http.Server{
		Handler:        r,
		MaxHeaderBytes: math.MaxInt32, // headLimitListener limits heads
		ConnContext:    r.conns.attach,
		ConnState: func(conn net.Conn, state http.ConnState) {
			r.trackHead(conn, state)
			r.conns.track(conn, state)
		},
		// Otherwise net/http answers "OPTIONS *" with a success of its own.
		DisableGeneralOptionsHandler: true,
	}
}

// follow applies the agent's snapshots to the router until ctx is done. Its polls carry the router's observations of workers,
// and the answers name the suspected workers.
func (r *Router) follow(ctx context.Context, current *settings.Settings) {
	options := followerOptions(current, r.Update, r.options.Log)
	options.BeforePoll = r.observations.addTo
	options.OnDoubts = func(doubts []fleetwire.Doubt) {
		if suspects := r.observations.newSuspects(doubts); len(suspects) > 0 && r.options.OnSuspects != nil {
			r.options.OnSuspects(suspects)
		}
	}
	watch.NewFollower(options).Run(ctx)
}

// Follow calls onChange with each new snapshot from this machine's agent until ctx is done.
func Follow(ctx context.Context, current *settings.Settings, onChange func(*watch.Snapshot), log *zap.Logger) {
	watch.NewFollower(followerOptions(current, onChange, log)).Run(ctx)
}

func followerOptions(current *settings.Settings, onChange func(*watch.Snapshot), log *zap.Logger) watch.FollowerOptions {
	agent := []string{current.AgentAddress()}
	return watch.FollowerOptions{
		Self: fleetwire.Member{
			Name:    current.NodeName,
			Address: current.InternalAddress(),
			Role:    fleetwire.RoleRouter,
			Zone:    current.Zone,
			Region:  current.Region,
		},
		Sources:      func() []string { return agent },
		Client:       transport.NewClient(),
		OnChange:     onChange,
		MaxQuorumAge: agentMaxQuorumAge,
		Log:          log,
	}
}

// closeIdleConns closes expired idle connections of clients and workers at every idleCheckInterval until ctx is done.
func (r *Router) closeIdleConns(ctx context.Context) {
	ticker := time.NewTicker(idleCheckInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.conns.closeIdle(r.clientIdleTimeout())
			r.sweepPool()
		}
	}
}
