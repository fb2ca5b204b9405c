package controller

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"weldscale/coordination/lease"
	"weldscale/coordination/transport"
	"weldscale/internal/fleetwire"
)

// servers are the two HTTP servers of a controller.
type servers struct {
	internal *http.Server // serves the register, heartbeats, lists and subscribers
	control  *http.Server // serves the operator
	failed   chan error
}

// listeners are the listening sockets of the two servers.
type listeners struct {
	internal net.Listener
	control  net.Listener
}

func (l listeners) close() {
	_ = l.internal.Close()
	_ = l.control.Close()
}

// serve runs the controller until ctx is done or a server fails. Only in the first case does it release the roles. In both
// cases it then answers the calls in flight, ends the background tasks by calling stop, and returns.
func (c *controller) serve(ctx context.Context, stop func(), open listeners, tasks ...func(context.Context)) error {
	serving := c.startServers(open)
	var running sync.WaitGroup
	for _, task := range append(tasks, c.followRegister, c.initialSync, c.runHeartbeats, c.poller.Run, c.rebalancer.Run) {
		running.Go(func() { task(c.ctx) })
	}
	c.log.Info("controller serves", zap.String("internal", c.self.Address), zap.String("life", c.self.Life))
	var failure error
	select {
	case <-ctx.Done():
		c.leave()
	case failure = <-serving.failed:
	}
	serving.shutdown(c.operator.cancelCalls)
	stop()
	running.Wait()
	c.closeRegister()
	return eris.Wrap(failure, "serve")
}

// closeRegister waits for a disk write of the register that is in progress. Calls of other controllers may have begun one whose
// proposer no longer waits for it.
func (c *controller) closeRegister() {
	ctx, cancel := context.WithTimeout(context.Background(), lastWriteTimeout)
	defer cancel()
	c.node.Close(ctx)
}

// startServers starts both servers on their listeners.
func (c *controller) startServers(open listeners) *servers {
	operator := http.NewServeMux()
	c.operator.registerHandlers(operator)
	serving := &servers{
		internal: newServer(c.internalHandler()),
		control:  newServer(operator),
		failed:   make(chan error, 2),
	}
	go func() { serving.failed <- serving.internal.Serve(open.internal) }()
	go func() { serving.failed <- serving.control.Serve(open.control) }()
	return serving
}

func newServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
}

// internalHandler serves the calls of other processes of the fleet.
func (c *controller) internalHandler() http.Handler {
	mux := http.NewServeMux()
	c.node.Register(mux)
	c.hub.Register(mux)
	mux.Handle("POST "+pathHeartbeat, transport.Handle(c.serveHeartbeat))
	mux.Handle("POST "+pathList, transport.Handle(c.serveList))
	mux.Handle("POST "+pathSteps, transport.Handle(c.serveSteps))
	mux.Handle("POST "+fleetwire.PathInstances, transport.Handle(c.serveInstances))
	mux.Handle("POST "+fleetwire.PathStatus, transport.Handle(c.serveStatus))
	return mux
}

// leave releases the roles, informs the other controllers by a heartbeat, ends the polls of the subscribers, and removes this
// replica from the register's set if enough others remain.
func (c *controller) leave() {
	c.leases.withParticipant(func(participant *lease.Participant, _ time.Duration) { participant.ReleaseAll() })
	c.hub.Close()
	ctx, cancel := context.WithTimeout(c.ctx, releaseTimeout)
	defer cancel()
	heartbeats := c.sendHeartbeats(ctx, true)
	if err := c.node.Leave(ctx); err != nil {
		c.log.Info("the replica stays in the register's set", zap.String("cause", err.Error()))
	}
	heartbeats.Wait()
}

// shutdown stops both servers. It first waits for the operator's calls in flight, which still need the register and therefore
// the internal server. Calls that take too long are ended by cancelCalls, so that they are answered too.
func (s *servers) shutdown(cancelCalls func()) {
	timer := time.AfterFunc(operatorGrace-answerGrace, cancelCalls)
	defer timer.Stop()
	shutdownServer(s.control, operatorGrace)
	shutdownServer(s.internal, internalGrace)
}

// shutdownServer stops a server and closes its connections after the grace period.
func shutdownServer(server *http.Server, grace time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), grace)
	defer cancel()
	if err := server.Shutdown(ctx); errors.Is(err, context.DeadlineExceeded) {
		_ = server.Close()
	}
}
