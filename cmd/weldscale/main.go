// Command weldscale is one scheduler: it takes jobs from clients over HTTP and pushes each to a worker as the
// decision module says. This file owns the wiring of the parts, the process's limits and its signals. It
// must hold no behaviour that a part could hold.
package main

import (
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	operator "weldscale/internal/config"
	"weldscale/internal/engine"
	"weldscale/internal/jobs"
	"weldscale/internal/net"
	"weldscale/internal/pace"
	"weldscale/internal/pool"
)

const (
	// openFor is how long the door stays open: the front learns of the stop only by and by. It closes whoever still
	// comes, or those who never stop coming would have requests taken that the end then cuts short.
	openFor = 600 * time.Millisecond
	// lastWords is how long the last answers have to leave.
	lastWords = 100 * time.Millisecond
	// unsentFor is how long after the signal answers that clients take slowly may hold up the end.
	unsentFor = 3500 * time.Millisecond
)

// cli is the command line.
type cli struct {
	Config string `help:"The operator's file, in HCL; see deploy/weldscale.hcl. None is needed." placeholder:"FILE"`
}

func main() {
	slog.SetDefault(slog.New(slog.NewTextHandler(os.Stderr, nil)))
	var args cli
	kong.Parse(&args, kong.Name("weldscale"), kong.Description("A job scheduler. GW_CONFIG names its configuration."))
	if err := run(args); err != nil {
		for line := range strings.Lines(err.Error()) {
			fmt.Fprintln(os.Stderr, "weldscale:", strings.TrimSuffix(line, "\n"))
		}
		os.Exit(1)
	}
}

// read reads the platform's configuration and the operator's file.
func (args cli) read() (*config, error) {
	c, err := load(os.Getenv)
	if err != nil {
		return nil, err
	}
	c.file = operator.Default(c.Limits.MemoryMB << 20)
	if args.Config != "" {
		c.file, err = operator.Read(args.Config, c.Limits.MemoryMB<<20)
	}
	return c, err
}

func run(args cli) error {
	// First of all, since unheard they would end the program. A reload that is asked for while one waits is the
	// same one, but must not take the place of a stop.
	hups, signals := make(chan os.Signal, 1), make(chan os.Signal, 4)
	signal.Notify(hups, syscall.SIGHUP)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	c, err := args.read()
	if err != nil {
		return err
	}
	// One core is ours. The second P lets the loop go on while the first waits in the poller's system call.
	runtime.GOMAXPROCS(2)
	debug.SetGCPercent(400) // live state is small; the limit below bounds what that lets pile up
	setMemory(c)
	s, err := start(c)
	if err != nil {
		return err
	}
	slog.Info("serving", "name", c.Name, "listen", s.driver.Addr())
	go func() {
		for range hups {
			c, err := args.read()
			s.loop.Post(func() { s.reload(c, err) })
		}
	}()
	go func() {
		for got := range signals {
			s.loop.Post(func() {
				if got == syscall.SIGUSR1 {
					slog.Info("counters", "counts", s.server.Stats())
				} else {
					slog.Info("stopping", "signal", got.String(), "open", s.inHand())
					s.stop()
				}
			})
		}
	}()
	s.loop.Run()
	slog.Info("stopped", "open", s.inHand(), "counts", s.server.Stats())
	return nil
}

func setMemory(c *config) { debug.SetMemoryLimit(int64(c.Limits.MemoryMB) << 20 * 6 / 10) }

// scheduler is the parts, wired.
type scheduler struct {
	c         *config // in force
	loop      *engine.Loop
	e         *engine.Engine
	driver    *net.Driver
	server    *jobs.Server
	workers   *jobs.Workers
	discovery *jobs.Discovery
	services  map[string]*service // that the operator's file names
	leaving   []*service          // that it named before and that have requests in hand
	open      *pool.Budget        // of requests in hand
	clock     *pool.Clock         // of the loop's time
	stopping  time.Time           // when the stop began
	closed    bool                // the door is
}

// start wires the parts and listens. Nothing is served before the loop runs.
func start(c *config) (*scheduler, error) {
	loop := engine.NewLoop()
	e, err := engine.New(loop, c.engine)
	if err != nil {
		return nil, err
	}
	driver := net.New(loop, net.Config{Descriptors: c.Limits.Sockets, ConnectTimeout: c.connectTimeout, IdleLimit: c.idleLimit})
	server := jobs.NewServer(jobs.NewService("", e, c.classes))
	server.Pace = pace.New(c.file.SlowPeers)
	driver.Accepted = server.Serve
	driver.ShedIdle = server.MakeRoom
	driver.Counted = func(dials, failed, shed int) {
		e.Counts.Dials += dials
		e.Counts.DialsFailed += failed
		e.Counts.Shed += shed
	}
	discovery := &jobs.Discovery{Engine: e, Dialer: driver, Addr: c.Discovery}
	workers := &jobs.Workers{Engine: e, Dialer: driver, Reports: c.reports, Host: "app.svc", Pace: c.file.Workers}
	e.Use(workers, discovery)
	if err := discovery.Known(c.Known); err != nil {
		return nil, err
	}
	s := &scheduler{c: c, loop: loop, e: e, driver: driver, server: server, workers: workers, discovery: discovery, clock: &pool.Clock{}}
	server.Stats = func() string {
		return fmt.Sprintf("%s %s goroutines=%d%s", &e.Counts, server.Pace.Counts(), runtime.NumGoroutine(), s.serviceStats())
	}
	if err := s.apply(c.file); err != nil {
		return nil, err
	}
	return s, driver.Listen(c.Listen)
}

// reload puts a new configuration in force, as far as a running scheduler can: where discovery is and the
// limits. Everything in hand goes on. One that can't be used changes nothing.
func (s *scheduler) reload(c *config, err error) {
	if err != nil {
		slog.Error("new configuration not taken", "why", err)
		return
	}
	old := s.c
	limits := old.Limits
	old.Limits = c.Limits
	if err := s.apply(c.file); err != nil {
		old.Limits = limits
		slog.Error("new configuration not taken", "why", err)
		return
	}
	slog.Info("new configuration", "discovery", c.Discovery, "restart_needed", c.Name != old.Name ||
		c.Listen != old.Listen || !reflect.DeepEqual(c.engine.Settings, old.engine.Settings))
	old.Discovery, old.Limits, old.file = c.Discovery, c.Limits, c.file
	setMemory(old)
	s.server.Pace.SetLimits(c.file.SlowPeers)
	s.workers.Pace = c.file.Workers
	s.driver.SetDescriptors(c.Limits.Sockets)
	s.discovery.Move(c.Discovery)
}

// stop serves for openFor, then answers what was taken, then ends the loop.
func (s *scheduler) stop() {
	if s.stopping.IsZero() {
		s.stopping = time.Now()
		s.server.Closing()
		s.stopped()
	}
}

func (s *scheduler) stopped() {
	if !s.closed && time.Since(s.stopping) >= openFor {
		s.closed = true
		s.driver.StopListening()
		s.server.Shut()
		s.server.CloseIdle()
	}
	if s.closed && s.inHand() == 0 && (s.driver.Unsent() == 0 || time.Since(s.stopping) >= unsentFor) {
		// The last answers are with the system; the exit must not overtake their way there.
		s.loop.After(lastWords, s.loop.Stop)
		return
	}
	s.loop.After(20*time.Millisecond, s.stopped)
}
