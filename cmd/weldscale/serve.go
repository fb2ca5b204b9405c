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

// This file owns the scheduler as a program: the wiring of its parts, the process's limits and its signals. It must
// hold no behaviour that a part could hold.

const (
	// openFor is how long the door stays open: the front learns of the stop only by and by. It closes whoever still
	// comes, or those who never stop coming would have requests taken that the end then cuts short.
	openFor = 600 * time.Millisecond
	// graceFor is how long after the signal requests may come that have to be answered, if only by a refusal.
	graceFor = 700 * time.Millisecond
	// waitFor is how much longer the door stays open for those that wait to be accepted, where there is time.
	waitFor = time.Second
	// longestWait and endMargin: the platform kills no sooner than the longest deadline, at most longestWait, and graceFor
	// after the signal. So long before that what is still in hand gets its last answer.
	longestWait = 3 * time.Second
	endMargin   = 250 * time.Millisecond
	// lastWords is how long the last answers have to leave.
	lastWords = 100 * time.Millisecond
	// unsentFor is how long after the signal answers that clients take slowly may hold up the end.
	unsentFor = 3500 * time.Millisecond
)

// serveCmd is the scheduler; it is what runs where no command is given.
type serveCmd struct {
	Config string `help:"The operator's file, in HCL; see deploy/weldscale.hcl. None is needed." placeholder:"FILE"`
}

// read reads the platform's configuration and the operator's file.
func (c serveCmd) read() (*config, error) {
	if os.Getenv("GW_CONFIG") == "" && c.Config != "" {
		return fromFile(c.Config)
	}
	conf, err := load(os.Getenv)
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
	// First of all, since unheard they would end the program. A reload that is asked for while one waits is the
	// same one, but must not take the place of a stop.
	hups, signals := make(chan os.Signal, 1), make(chan os.Signal, 4)
	signal.Notify(hups, syscall.SIGHUP)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGUSR1)
	conf, err := c.read()
	if err != nil {
		return err
	}
	// One core is ours. The second P lets the loop go on while the first waits in the poller's system call.
	runtime.GOMAXPROCS(2)
	debug.SetGCPercent(400) // live state is small; the limit below bounds what that lets pile up
	s, err := start(conf)
	if err != nil {
		return err
	}
	if path := conf.file.Control; path != "" {
		socket, err := startControl(s, path, c.read)
		if err != nil {
			return err
		}
		defer socket.close()
	}
	slog.Info("serving", "name", conf.Name, "listen", s.driver.Addr())
	go func() {
		for range hups {
			conf, err := c.read()
			s.loop.Post(func() { _ = s.reload(conf, err) })
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
	s.loop.Post(s.trace)
	s.loop.Run()
	s.fleet.close()
	slog.Info("stopped", "open", s.inHand(), "counts", s.server.Stats())
	return nil
}

// trace follows each request in the log while its level is debug. The engines ask no more than whether there is a trace.
func (s *scheduler) trace() {
	set := func(name string, e *engine.Engine) {
		e.Trace = nil
		if logs.Debug() {
			e.Trace = func(event string, request uint32, args ...any) {
				slog.Debug(event, append([]any{"service", name, "request", request}, args...)...)
			}
		}
	}
	set("", s.e)
	for name, v := range s.services {
		set(name, v.e)
	}
}

// scheduler is the parts, wired.
type scheduler struct {
	c         *config // in force
	loop      *engine.Loop
	e         *engine.Engine
	driver    *net.Driver
	server    *jobs.Server
	overlay   *jobs.Overlay         // of workers taken out by hand
	second    *net.ManagementServer // nil: the platform names no second address
	up        *upgrade              // nil: the platform passes no listening socket
	workers   *jobs.Workers
	discovery *jobs.Discovery
	services  map[string]*service // that the operator's file names
	leaving   []*service          // that it named before and that have requests in hand
	open      *pool.Budget        // of requests in hand
	clock     *pool.TimeBudget    // of the loop's time
	fleet     *fleetPart          // nil: the file names no fleet
	metrics   *metrics.Registry   // nil: none are kept
	stopping  time.Time           // when the stop began
	shut      bool                // what comes is refused
	closed    bool                // the door is
	calledOff bool                // what was in hand has had its last answer
}

// start wires the parts and listens. Nothing is served before the loop runs.
func start(c *config) (*scheduler, error) {
	s := &scheduler{}
	loop := engine.NewLoop()
	e, err := engine.New(loop, c.engine)
	if err != nil {
		return nil, err
	}
	driver := net.New(loop, net.Config{Descriptors: c.Limits.Sockets, ConnectTimeout: c.connectTimeout, IdleLimit: c.idleLimit})
	server := jobs.NewServer(jobs.NewService("", e, c.classes))
	server.SetPace(pace.New(c.file.SlowPeers))
	driver.Accepted = server.Serve
	server.Ready = s.ready
	driver.ShedIdle = server.EvictClients
	driver.Counted = func(dials, failed, shed int) {
		e.Counts.Dials += dials
		e.Counts.DialsFailed += failed
		e.Counts.Shed += shed
	}
	discovery := &jobs.Discovery{Engine: e, Dialer: driver, Addr: c.Discovery, Rand: rand.New(rand.NewPCG(c.engine.Seed, 1)),
		Cadence: jobs.Cadence{Nodes: c.engine.Settings.Nodes, AskWithin: time.Duration(c.engine.Settings.AskWithin) * time.Microsecond}}
	discovery.FromAgent = !c.engine.Settings.MustAsk
	workers := &jobs.Workers{Engine: e, Dialer: driver, Reports: c.reports, Host: "app.svc", Pace: c.file.Workers}
	workers.RetainResponses = c.passed >= 0
	server.Main.Workers = workers
	overlay := jobs.NewOverlay(e)
	e.SetBackends(workers, discovery)
	if err := discovery.LoadKnown(c.Known); err != nil {
		return nil, err
	}
	*s = scheduler{c: c, loop: loop, e: e, driver: driver, server: server, workers: workers, discovery: discovery, overlay: overlay, clock: &pool.TimeBudget{}}
	server.Stats = func() string {
		return fmt.Sprintf("%s %s goroutines=%d log_dropped=%d%s", &e.Counts, server.Pace.Counts(), runtime.NumGoroutine(),
			logs.Dropped(), s.serviceStats())
	}
	if c.file.Metrics {
		s.metrics = metrics.New()
		s.metrics.Stats = func() (text string) {
			loop.Do(func() { text = s.server.Stats() })
			return text
		}
		server.Metrics = s.metrics.Text
		e.Meter = s.metrics.Service("", c.classes, engine.StatusNames[:])
	}
	if s.fleet, err = joinFleet(c); err != nil {
		return nil, err
	}
	if err := s.apply(c.file); err != nil {
		s.fleet.close()
		return nil, err
	}
	if err := s.listen(); err != nil {
		s.fleet.close()
		return nil, err
	}
	s.shareLimits()
	if s.up != nil {
		discovery.OnUpdate = s.up.tell
	}
	if discovery.FromAgent && c.Discovery != "" {
		discovery.Watch(true)
	}
	if c.Mgmt != "" {
		driver.ReserveForManagement()
		s.second, err = net.ListenManagement(c.Mgmt, operate{s})
	}
	return s, err
}

// listen opens the door for clients, or goes on at the one that the platform passes.
func (s *scheduler) listen() error {
	if s.c.passed < 0 {
		return s.driver.Listen(s.c.Listen)
	}
	if err := s.joinOthers(); err != nil {
		return err
	}
	return s.driver.ListenOn(s.c.passed)
}

// reload puts a new configuration in force, as far as a running scheduler can: where discovery is and the
// limits. Everything in hand goes on. One that can't be used changes nothing.
func (s *scheduler) reload(c *config, err error) error {
	if err != nil {
		slog.Error("new configuration not taken", "why", err)
		return err
	}
	old := s.c
	limits := old.Limits
	old.Limits = c.Limits
	if err := s.apply(c.file); err != nil {
		old.Limits = limits
		slog.Error("new configuration not taken", "why", err)
		return err
	}
	slog.Info("new configuration", "discovery", c.Discovery, "restart_needed", c.Name != old.Name ||
		c.Listen != old.Listen || !reflect.DeepEqual(c.engine.Settings, old.engine.Settings))
	old.Discovery, old.Limits, old.file = c.Discovery, c.Limits, c.file
	s.shareLimits()
	s.server.Pace.SetLimits(c.file.SlowPeers)
	s.workers.Pace = c.file.Workers
	s.discovery.Move(c.Discovery)
	s.trace()
	return nil
}

// stop serves for openFor, then answers what was taken, then ends the loop.
func (s *scheduler) stop() {
	if s.stopping.IsZero() {
		s.stopping = time.Now()
		if s.passOn() {
			return
		}
		s.server.StartClosing()
		s.stopped()
	}
}

// stopped takes the next step of a stop: from openFor on what comes is refused; from graceFor on nothing is taken in but what
// is here already, read or not; before the platform kills, what is in hand is given up; then comes the end.
func (s *scheduler) stopped() {
	since, last := time.Since(s.stopping), s.lastCall()
	if !s.shut && since >= min(openFor, last) {
		s.shut = true
		s.server.RefuseNew()
	}
	if !s.closed && since >= graceFor && (!s.driver.HasPendingClients() || since >= max(graceFor+lastWords, min(graceFor+waitFor, last))) {
		s.closed = true
		s.driver.StopListening()
	}
	unread := 0
	if s.closed {
		unread = s.server.CloseIdle()
	}
	if !s.calledOff && since >= last {
		s.calledOff = true
		for _, e := range s.engines() {
			e.GiveUpAll()
		}
	}
	if !s.closed || s.inHand() > 0 || (unread > 0 || s.driver.Unsent() > 0) && since < min(unsentFor, last+lastWords) {
		s.loop.After(20*time.Millisecond, s.stopped)
		return
	}
	// The last answers are with the system; the exit must not overtake their way there. What was accepted last may come to
	// be read meanwhile.
	words := min(lastWords, max(0, last+endMargin/2-since))
	s.loop.After(words, func() {
		if words > 0 && since < unsentFor && (s.inHand() > 0 || s.server.CloseIdle() > 0) {
			s.stopped()
			return
		}
		s.loop.Stop()
	})
}

// lastCall is when after the signal what is still in hand is given up. Without a platform nobody kills.
func (s *scheduler) lastCall() time.Duration {
	if s.c.Discovery == "" {
		return 24 * time.Hour
	}
	longest := decide.Time(0)
	for _, e := range s.engines() {
		longest = max(longest, e.LongestDeadline())
	}
	return min(time.Duration(longest)*time.Microsecond, longestWait) + graceFor - endMargin
}

// engines are those of all services, with those that leave.
func (s *scheduler) engines() []*engine.Engine {
	all := []*engine.Engine{s.e}
	for _, v := range s.services {
		all = append(all, v.e)
	}
	for _, v := range s.leaving {
		all = append(all, v.e)
	}
	return all
}
