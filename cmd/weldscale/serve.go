package main

import (
	"fmt"
	"log/slog"
	"math/rand/v2"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"weldscale/decide"
	operator "weldscale/internal/config"
	"weldscale/internal/engine"
	"weldscale/internal/jobs"
	"weldscale/internal/logs"
	"weldscale/internal/metrics"
	"weldscale/internal/net"
	"weldscale/internal/pace"
	"weldscale/internal/pool"
)

// This file wires the components of the scheduler and handles the process's limits and signals. Behaviour that a component
// could implement does not belong here.

const (
	// acceptPeriod is how long after the signal new requests are still served, because the front end learns of the stop
	// with a delay. New requests are refused afterwards. Otherwise a client that keeps sending would have requests accepted
	// that the exit then cuts off.
	acceptPeriod = 600 * time.Millisecond
	// gracePeriod is how long after the signal arriving requests must still be answered, if only with a refusal.
	gracePeriod = 700 * time.Millisecond
	// backlogPeriod is how much longer the listener stays open for connections that wait to be accepted, if time permits.
	backlogPeriod = time.Second
	// maxDeadline and killMargin: the platform kills the process no sooner than gracePeriod and the longest deadline, of which
	// at most maxDeadline counts, after the signal. killMargin before that, open requests are given up with a last answer.
	maxDeadline = 3 * time.Second
	killMargin  = 250 * time.Millisecond
	// flushDelay is the time for the last answers to be transmitted.
	flushDelay = 100 * time.Millisecond
	// unsentPeriod is how long after the signal answers that clients read slowly may delay the exit.
	unsentPeriod = 3500 * time.Millisecond
)

// serveCmd runs the scheduler. It is the default command.
type serveCmd struct {
	Config string `help:"The operator's file, in HCL; see deploy/weldscale.hcl. None is needed." placeholder:"FILE"`
}

// read reads the platform's configuration, if there is one, and the operator's file.
func (c serveCmd) read() (*config, error) {
	if os.Getenv("GW_CONFIG") == "" && c.Config != "" {
		return loadOperatorFile(c.Config)
	}
	conf, err := loadConfig(os.Getenv)
	if err != nil {
		return nil, err
	}
	conf.file = operator.Default(conf.Limits.MemoryMB << 20)
	if c.Config != "" {
		conf.file, err = operator.Read(c.Config, conf.Limits.MemoryMB<<20)
	}
	return conf, err
}

// Run implements the command.
func (c serveCmd) Run() error {
	// The handlers are installed first, because the default action of these signals ends the program. A reload request is
	// merged with one that is already pending. It has its own channel so that it can't displace a stop.
	hups, signals := make(chan os.Signal, 1), make(chan os.Signal, 4)
	signal.Notify(hups, syscall.SIGHUP)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	conf, err := c.read()
	if err != nil {
		return err
	}
	// The process has one core. The second P lets the loop run while the first is blocked in the poller's system call.
	runtime.GOMAXPROCS(2)
	debug.SetGCPercent(400) // the live heap is small, and divideLimits sets a memory limit that bounds the garbage
	scheduler, err := start(conf)
	if err != nil {
		return err
	}
	if path := conf.file.Control; path != "" {
		socket, err := startControl(scheduler, path, c.read)
		if err != nil {
			return err
		}
		defer socket.close()
	}
	slog.Info("serving", "name", conf.Name, "listen", scheduler.driver.Addr())
	go func() {
		for range hups {
			conf, err := c.read()
			scheduler.loop.Post(func() { _ = scheduler.reload(conf, err) })
		}
	}()
	go func() {
		for got := range signals {
			scheduler.loop.Post(func() {
				if got == syscall.SIGUSR1 {
					slog.Info("counters", "counts", scheduler.server.Stats())
				} else {
					slog.Info("stopping", "signal", got.String(), "open", scheduler.openRequests())
					scheduler.stop()
				}
			})
		}
	}()
	scheduler.loop.Post(scheduler.updateTrace)
	scheduler.loop.Run()
	scheduler.fleet.close()
	slog.Info("stopped", "open", scheduler.openRequests(), "counts", scheduler.server.Stats())
	return nil
}

// updateTrace makes the engines log the events of each request if the log level is debug. An engine only checks whether its
// Trace is nil.
func (s *scheduler) updateTrace() {
	set := func(name string, e *engine.Engine) {
		e.Trace = nil
		if logs.Debug() {
			e.Trace = func(event string, request uint32, args ...any) {
				slog.Debug(event, append([]any{"service", name, "request", request}, args...)...)
			}
		}
	}
	set("", s.engine)
	for name, v := range s.services {
		set(name, v.engine)
	}
}

// scheduler holds the components of a running scheduler.
type scheduler struct {
	config         *config // in force
	loop           *engine.Loop
	engine         *engine.Engine // of the platform's service
	driver         *net.Driver
	server         *jobs.Server
	overlay        *jobs.Overlay         // workers that an operator has taken offline
	management     *net.ManagementServer // nil if no management address is configured
	upgrade        *upgrade              // nil if the platform passes no listening socket
	workers        *jobs.Workers
	discovery      *jobs.Discovery
	services       map[string]*service // services of the operator's file, by name
	draining       []*service          // services that a reload removed or replaced and that still have open requests
	inFlightBudget *pool.Budget        // limits the requests in flight of all services
	timeBudget     *pool.TimeBudget    // divides the loop's time among the services
	fleet          *fleetMember        // nil if the file has no fleet block
	metrics        *metrics.Registry   // nil if metrics are off
	stopping       time.Time           // start of the shutdown, or zero
	refusing       bool                // new requests are refused
	listenerClosed bool
	gaveUp         bool // all open requests have been given up
}

// start creates the components and listens. Requests are served only once the loop runs.
func start(c *config) (*scheduler, error) {
	s := &scheduler{}
	loop := engine.NewLoop()
	mainEngine, err := engine.New(loop, c.engine)
	if err != nil {
		return nil, err
	}
	driver := net.New(loop, net.Config{Descriptors: c.Limits.Sockets, ConnectTimeout: c.connectTimeout, IdleLimit: c.idleLimit})
	server := jobs.NewServer(jobs.NewService("", mainEngine, c.classes))
	server.SetPace(pace.New(c.file.SlowPeers))
	driver.Accepted = server.Serve
	server.Ready = s.ready
	driver.ShedIdle = server.EvictClients
	driver.Counted = func(dials, failed, shed int) {
		mainEngine.Counts.Dials += dials
		mainEngine.Counts.DialsFailed += failed
		mainEngine.Counts.Shed += shed
	}
	discovery := &jobs.Discovery{Engine: mainEngine, Dialer: driver, Addr: c.Discovery, Rand: rand.New(rand.NewPCG(c.engine.Seed, 1)),
		Cadence: jobs.Cadence{Nodes: c.engine.Settings.Nodes, AskWithin: time.Duration(c.engine.Settings.AskWithin) * time.Microsecond}}
	discovery.FromAgent = !c.engine.Settings.MustAsk
	workers := &jobs.Workers{Engine: mainEngine, Dialer: driver, Reports: c.reports, Host: "app.svc", Pace: c.file.Workers}
	workers.RetainResponses = c.listenFD >= 0
	server.Main.Workers = workers
	overlay := jobs.NewOverlay(mainEngine)
	mainEngine.SetBackends(workers, discovery)
	if err := discovery.LoadKnown(c.Known); err != nil {
		return nil, err
	}
	*s = scheduler{config: c, loop: loop, engine: mainEngine, driver: driver, server: server, workers: workers, discovery: discovery, overlay: overlay, timeBudget: &pool.TimeBudget{}}
	server.Stats = func() string {
		return fmt.Sprintf("%s %s goroutines=%d log_dropped=%d%s", &mainEngine.Counts, server.Pace.Counts(), runtime.NumGoroutine(),
			logs.Dropped(), s.serviceStats())
	}
	if c.file.Metrics {
		s.metrics = metrics.New()
		s.metrics.Stats = func() (text string) {
			loop.Do(func() { text = s.server.Stats() })
			return text
		}
		server.Metrics = s.metrics.Text
		mainEngine.Meter = s.metrics.Service("", c.classes, engine.StatusNames[:])
	}
	if s.fleet, err = newFleetMember(c); err != nil {
		return nil, err
	}
	if err := s.applyServices(c.file); err != nil {
		s.fleet.close()
		return nil, err
	}
	if err := s.listen(); err != nil {
		s.fleet.close()
		return nil, err
	}
	s.divideLimits()
	if s.upgrade != nil {
		discovery.OnUpdate = s.upgrade.relayList
	}
	if discovery.FromAgent && c.Discovery != "" {
		discovery.Watch(true)
	}
	if c.Mgmt != "" {
		driver.ReserveForManagement()
		s.management, err = net.ListenManagement(c.Mgmt, operations{s})
	}
	return s, err
}

// listen opens the clients' listening socket, or uses the one that the platform passes.
func (s *scheduler) listen() error {
	if s.config.listenFD < 0 {
		return s.driver.Listen(s.config.Listen)
	}
	if err := s.joinProcesses(); err != nil {
		return err
	}
	return s.driver.ListenOn(s.config.listenFD)
}

// reload applies the parts of a new configuration that can change at run time: the address of discovery, the limits and the
// operator's file. Open requests continue. If err is not nil or the configuration is not usable, nothing changes.
func (s *scheduler) reload(c *config, err error) error {
	if err != nil {
		slog.Error("new configuration not taken", "why", err)
		return err
	}
	old := s.config
	limits := old.Limits
	old.Limits = c.Limits
	if err := s.applyServices(c.file); err != nil {
		old.Limits = limits
		slog.Error("new configuration not taken", "why", err)
		return err
	}
	slog.Info("new configuration", "discovery", c.Discovery, "restart_needed", c.Name != old.Name ||
		c.Listen != old.Listen || !reflect.DeepEqual(c.engine.Settings, old.engine.Settings))
	old.Discovery, old.Limits, old.file = c.Discovery, c.Limits, c.file
	s.divideLimits()
	s.server.Pace.SetLimits(c.file.SlowPeers)
	s.workers.Pace = c.file.Workers
	s.discovery.Move(c.Discovery)
	s.updateTrace()
	return nil
}

// stop starts the shutdown: the scheduler serves for acceptPeriod, then answers the open requests, then stops the loop.
// If another process can take over, connections are handed over instead. Later calls have no effect.
func (s *scheduler) stop() {
	if s.stopping.IsZero() {
		s.stopping = time.Now()
		if s.startHandover() {
			return
		}
		s.server.StartClosing()
		s.continueStop()
	}
}

// continueStop performs the next step of the shutdown and reschedules itself. After acceptPeriod it refuses new requests.
// After gracePeriod it closes the listener, so that only requests on accepted connections remain, read or unread. Shortly
// before the platform kills the process, it gives up the open requests. Then it stops the loop.
func (s *scheduler) continueStop() {
	since, last := time.Since(s.stopping), s.giveUpDelay()
	if !s.refusing && since >= min(acceptPeriod, last) {
		s.refusing = true
		s.server.RefuseNew()
	}
	if !s.listenerClosed && since >= gracePeriod && (!s.driver.HasPendingClients() || since >= max(gracePeriod+flushDelay, min(gracePeriod+backlogPeriod, last))) {
		s.listenerClosed = true
		s.driver.StopListening()
	}
	unread := 0
	if s.listenerClosed {
		unread = s.server.CloseIdle()
	}
	if !s.gaveUp && since >= last {
		s.gaveUp = true
		for _, e := range s.engines() {
			e.GiveUpAll()
		}
	}
	if !s.listenerClosed || s.openRequests() > 0 || (unread > 0 || s.driver.Unsent() > 0) && since < min(unsentPeriod, last+flushDelay) {
		s.loop.After(20*time.Millisecond, s.continueStop)
		return
	}
	// The kernel still has to transmit the last answers before the process exits. A connection that was accepted late may
	// deliver a request in the meantime.
	delay := min(flushDelay, max(0, last+killMargin/2-since))
	s.loop.After(delay, func() {
		if delay > 0 && since < unsentPeriod && (s.openRequests() > 0 || s.server.CloseIdle() > 0) {
			s.continueStop()
			return
		}
		s.loop.Stop()
	})
}

// giveUpDelay returns the time from the signal until open requests are given up. Without a platform, nothing kills the
// process, so the delay is a day.
func (s *scheduler) giveUpDelay() time.Duration {
	if s.config.Discovery == "" {
		return 24 * time.Hour
	}
	longest := decide.Time(0)
	for _, e := range s.engines() {
		longest = max(longest, e.LongestDeadline())
	}
	return min(time.Duration(longest)*time.Microsecond, maxDeadline) + gracePeriod - killMargin
}

// engines returns the engines of all services, including the draining ones.
func (s *scheduler) engines() []*engine.Engine {
	all := []*engine.Engine{s.engine}
	for _, v := range s.services {
		all = append(all, v.engine)
	}
	for _, v := range s.draining {
		all = append(all, v.engine)
	}
	return all
}
