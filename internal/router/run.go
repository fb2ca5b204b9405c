package router

import (
	"context"
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
	// gcPercent keeps the heap near what is live: memory at its peak is priced above the collections.
	gcPercent = 40
	// agentMaxQuorumAge is the age beyond which an agent is not believed by a router that has no snapshot yet. It lies above
	// the age at which an agent leaves a controller of its own.
	agentMaxQuorumAge = 3 * time.Second
	// maxHeaderBytes bounds what the server reads of a head; the configuration's limit lies below and is checked after.
	maxHeaderBytes = 256 << 10
	housekeeping   = 5 * time.Second
)

// Run runs a router until ctx is done, then lets it leave in order.
func Run(ctx context.Context, current *settings.Settings, log *zap.Logger) error {
	debug.SetGCPercent(gcPercent)
	quietNetHTTP()
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) // it must not end the process; nothing here comes from the file
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
		Placer:   placer,
		Distrust: placer.Distrust,
		Answered: placer.Answered,
		Pool:     upstream.New(upstream.Options{}),
		Log:      log,
	})
	return router.run(ctx, current, frontend, readiness)
}

// run serves on the listeners and follows the agent until ctx is done.
func (r *Router) run(ctx context.Context, current *settings.Settings, frontend, readiness net.Listener) error {
	following, stopFollowing := context.WithCancel(context.Background())
	defer stopFollowing()
	go r.follow(following, current)
	clients := r.clientServer()
	probes := &http.Server{Handler: r.ReadinessHandler(), IdleTimeout: defaultIdleAllowed}
	failed := make(chan error, 2)
	go func() { failed <- clients.Serve(frontend) }()
	go func() { failed <- probes.Serve(readiness) }()
	go r.keepHouse(following)
	r.options.Log.Info("router serves", zap.String("address", frontend.Addr().String()))
	select {
	case err := <-failed:
		return eris.Wrap(err, "serve")
	case <-ctx.Done():
	}
	r.leave(clients, probes, leaveTimes(current.Bounds.Grace()))
	return nil
}

func (r *Router) clientServer() *http.Server {
	return &http.Server{Handler: r, MaxHeaderBytes: maxHeaderBytes, ConnContext: r.conns.attach, ConnState: r.conns.track}
}

// follow keeps this router up to date, and tells what it saw of workers.
func (r *Router) follow(ctx context.Context, current *settings.Settings) {
	options := followerOptions(current, r.Update, r.options.Log)
	options.BeforePoll = r.observations.hint
	options.OnDoubts = func(doubts []fleetwire.Doubt) {
		if distrusted := r.observations.doubted(doubts); len(distrusted) > 0 && r.options.Distrust != nil {
			r.options.Distrust(distrusted)
		}
	}
	watch.NewFollower(options).Run(ctx)
}

// Follow calls onChange with each new snapshot of the agent of this machine until ctx is done.
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

// keepHouse closes what nobody uses.
func (r *Router) keepHouse(ctx context.Context) {
	ticker := time.NewTicker(housekeeping)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			r.conns.closeResting(r.idleAllowed())
			r.sweep()
		}
	}
}
