package controller

import (
	"context"
	"net"
	"path/filepath"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"weldscale/coordination/register"
	"weldscale/coordination/store"
	"weldscale/coordination/transport"
	"weldscale/internal/settings"
)

const (
	// gcPercent is below Go's default to keep the heap small on small machines.
	gcPercent      = 50
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 15 * time.Second // long enough for a large configuration over a slow link
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// releaseTimeout bounds the last heartbeats, which tell the other controllers that this controller's roles are vacant.
	releaseTimeout = 300 * time.Millisecond
	// lastWriteTimeout bounds the wait for a disk write at shutdown.
	lastWriteTimeout = 300 * time.Millisecond
	// operatorGrace is how long the operator's calls in flight may take once the servers shut down.
	operatorGrace = 700 * time.Millisecond
	// answerGrace is the part of operatorGrace that is reserved for sending the last answers.
	answerGrace = 100 * time.Millisecond
	// internalGrace is how long other processes' calls in flight may take after those of the operator have ended.
	internalGrace = 100 * time.Millisecond
	// registerDirectory is the directory of the register within the data directory.
	registerDirectory = "register"
)

// Run runs a controller until ctx is done. It then releases the roles, answers the calls in flight and returns.
func Run(ctx context.Context, current *settings.Settings, log *zap.Logger) error {
	debug.SetGCPercent(gcPercent)
	if err := current.CheckControl(); err != nil {
		return eris.Wrap(err, "settings")
	}
	opened, err := open(ctx, current, systemHost(current), log)
	if err != nil {
		return err
	}
	watcher := settings.NewWatcher(current, opened.controller.applySettings, log)
	return opened.run(ctx, watcher.Run)
}

// process is a controller together with the resources that it has opened.
type process struct {
	controller *controller
	node       *register.Node
	client     *transport.Client
	listeners  listeners
	stop       context.CancelFunc // stops all background tasks at once
}

// host gives access to the resources of the machine that a controller runs on. Simulations provide their own.
type host struct {
	listen func(address string) (net.Listener, error)
	dial   transport.DialFunc
	files  func() (store.Files, error) // opens the files of the register
}

// systemHost returns the host that uses the operating system.
func systemHost(current *settings.Settings) host {
	return host{
		listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		dial:   transport.TCPDial(),
		files: func() (store.Files, error) {
			return store.OpenDirectory(filepath.Join(current.DataDir, registerDirectory))
		},
	}
}

// open opens the listeners and the register and creates the controller. Nothing runs yet.
func open(ctx context.Context, current *settings.Settings, machine host, log *zap.Logger) (*process, error) {
	opened, err := listen(current, machine.listen)
	if err != nil {
		return nil, err
	}
	var latest atomic.Pointer[settings.Settings]
	latest.Store(current)
	client := transport.NewClientWithDial(machine.dial)
	node, err := openRegister(&latest, machine, client, log)
	if err != nil {
		opened.close()
		return nil, eris.Wrap(err, "open the register")
	}
	// The background tasks outlive ctx, because calls in flight are answered and roles are released before they stop.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	return &process{
		controller: newController(running, &latest, node, client, machine.dial, log),
		node:       node,
		client:     client,
		listeners:  opened,
		stop:       stop,
	}, nil
}

// run serves until ctx is done and runs the given tasks alongside.
func (p *process) run(ctx context.Context, tasks ...func(context.Context)) error {
	defer p.client.Close()
	defer p.stop()
	return p.controller.serve(ctx, p.stop, p.listeners, append(tasks, p.node.Run)...)
}

// listen opens the listeners of both servers.
func listen(current *settings.Settings, open func(address string) (net.Listener, error)) (listeners, error) {
	internal, err := open(current.InternalAddress())
	if err != nil {
		return listeners{}, eris.Wrap(err, "listen on the internal address")
	}
	control, err := open(current.Listen.Control)
	if err != nil {
		_ = internal.Close()
		return listeners{}, eris.Wrap(err, "listen on the control address")
	}
	return listeners{internal: internal, control: control}, nil
}

// openRegister opens this machine's replica of the register.
func openRegister(
	latest *atomic.Pointer[settings.Settings], machine host, client *transport.Client, log *zap.Logger,
) (*register.Node, error) {
	files, err := machine.files()
	if err != nil {
		return nil, err
	}
	return register.Open(registerOptions(latest, files, client, log))
}

func registerOptions(
	latest *atomic.Pointer[settings.Settings], files store.Files, client *transport.Client, log *zap.Logger,
) register.Options {
	current := latest.Load()
	return register.Options{
		Files:          files,
		Address:        current.InternalAddress(),
		Founders:       current.SeedInternalAddresses(),
		Bootstrap:      current.Bootstrap,
		TargetReplicas: targetReplicas(current.FaultTolerance),
		Seeds:          func() []string { return latest.Load().SeedInternalAddresses() },
		Client:         client,
		Log:            log,
	}
}

// targetReplicas returns the number of replicas of which a majority remains when the tolerated number of machines is lost at
// once.
func targetReplicas(tolerance settings.FaultTolerance) int { return 2*max(tolerance.Machines, 1) + 1 }
