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
	// gcPercent keeps the heap small on a small machine.
	gcPercent      = 50
	headerTimeout  = 5 * time.Second
	bodyTimeout    = 15 * time.Second // a large configuration over a narrow link
	idleTimeout    = 60 * time.Second
	maxHeaderBytes = 16 << 10
	// releaseTimeout bounds the last heartbeats, which tell the others that this controller's roles are free.
	releaseTimeout = 300 * time.Millisecond
	// lastWriteTimeout bounds the wait for a disk as the process ends.
	lastWriteTimeout = 300 * time.Millisecond
	// operatorGrace is how long calls of the operator that are in hand may go on after the end was asked for.
	operatorGrace = 700 * time.Millisecond
	// answerTime is the part of it in which the last answers leave.
	answerTime    = 100 * time.Millisecond
	internalGrace = 100 * time.Millisecond
	// registerDirectory holds the register under the data directory.
	registerDirectory = "register"
)

// Run runs a controller until ctx is done.
func Run(ctx context.Context, current *settings.Settings, log *zap.Logger) error {
	debug.SetGCPercent(gcPercent)
	if err := current.CheckControl(); err != nil {
		return eris.Wrap(err, "settings")
	}
	opened, err := open(ctx, current, hostOf(current), log)
	if err != nil {
		return err
	}
	watcher := settings.NewWatcher(current, opened.controller.settingsChanged, log)
	return opened.run(ctx, watcher.Run)
}

// process is a controller with what it has opened.
type process struct {
	controller *controller
	node       *register.Node
	client     *transport.Client
	listeners  listeners
	stop       context.CancelFunc // ends all parts at once
}

// host is what a controller uses of its machine.
type host struct {
	listen func(address string) (net.Listener, error)
	dial   transport.DialFunc
	files  func() (store.Files, error) // of the register
}

// hostOf returns the machine that the process runs on.
func hostOf(current *settings.Settings) host {
	return host{
		listen: func(address string) (net.Listener, error) { return net.Listen("tcp", address) },
		dial:   transport.TCPDial(),
		files: func() (store.Files, error) {
			return store.OpenDirectory(filepath.Join(current.DataDir, registerDirectory))
		},
	}
}

func open(ctx context.Context, current *settings.Settings, on host, log *zap.Logger) (*process, error) {
	opened, err := listen(current, on.listen)
	if err != nil {
		return nil, err
	}
	var latest atomic.Pointer[settings.Settings]
	latest.Store(current)
	client := transport.NewClientWithDial(on.dial)
	node, err := openRegister(&latest, on, client, log)
	if err != nil {
		opened.close()
		return nil, eris.Wrap(err, "open the register")
	}
	// The parts outlive ctx: calls in hand are answered and roles are given up first.
	running, stop := context.WithCancel(context.WithoutCancel(ctx))
	return &process{
		controller: newController(running, &latest, node, client, on.dial, log),
		node:       node,
		client:     client,
		listeners:  opened,
		stop:       stop,
	}, nil
}

func (p *process) run(ctx context.Context, parts ...func(context.Context)) error {
	defer p.client.Close()
	defer p.stop()
	return p.controller.serve(ctx, p.stop, p.listeners, append(parts, p.node.Run)...)
}

func listen(current *settings.Settings, open func(address string) (net.Listener, error)) (listeners, error) {
	internal, err := open(current.InternalAddress())
	if err != nil {
		return listeners{}, eris.Wrap(err, "listen for the fleet")
	}
	control, err := open(current.Listen.Control)
	if err != nil {
		_ = internal.Close()
		return listeners{}, eris.Wrap(err, "listen for the operator")
	}
	return listeners{internal: internal, control: control}, nil
}

func openRegister(
	latest *atomic.Pointer[settings.Settings], on host, client *transport.Client, log *zap.Logger,
) (*register.Node, error) {
	files, err := on.files()
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

// targetReplicas is the number of replicas of which a majority is left when as many as may be lost at once are.
func targetReplicas(tolerance settings.FaultTolerance) int { return 2*max(tolerance.Machines, 1) + 1 }
