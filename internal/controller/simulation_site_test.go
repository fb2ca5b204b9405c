package controller

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"weldscale/coordination/register"
	"weldscale/coordination/sim/live"
	"weldscale/coordination/store"
	"weldscale/coordination/transport"
	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
	"weldscale/internal/settings"
)

// Addresses and sizes of a simulated site.
const (
	simControlPort = "7000"
	simPlatformIP  = "10.8.0.1"
	simOperatorIP  = "10.7.0.1"
	simService     = "engine"
	simWorkerCount = 6
	simSeedCount   = 3
)

var simInternalPorts = [2]int{8000, 8001}

// simSeedLag is how long a removed machine stays in the list of seeds.
const simSeedLag = 3 * time.Second

// seeds returns the control addresses that a settings file lists now: those of the oldest core machines. A removed machine
// stays in the list for simSeedLag.
func (s *simSite) seeds() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var seeds []string
	for _, m := range s.cores {
		if gone := m.removed && time.Since(m.removedAt) > simSeedLag; !gone && len(seeds) < simSeedCount {
			seeds = append(seeds, m.settings.Listen.Control)
		}
	}
	return seeds
}

// simMachine is a core or frontend machine of the simulated site with the program that runs on it.
type simMachine struct {
	machine  *live.Machine
	settings settings.Settings
	removed  bool
	// removedAt is the time at which the machine was removed for good.
	removedAt time.Time
	run       atomic.Pointer[simRun] // run of a core machine's program; nil while none runs
	follower  atomic.Pointer[watch.Follower]
	crash     context.CancelFunc // ends the follower of a frontend machine
}

// simRun is one run of the program on a core machine, from its start to its end.
type simRun struct {
	process *live.Process
	program atomic.Pointer[process] // nil until it is open
	signal  context.CancelFunc      // acts like SIGTERM
	crashed context.Context         // done once the process has crashed
	crash   context.CancelFunc
	stopped chan struct{}
}

// control returns the address for operators.
func (m *simMachine) control() string { return m.settings.Listen.Control }

// program returns the running controller process, or nil.
func (m *simMachine) program() *process {
	if run := m.run.Load(); run != nil {
		return run.program.Load()
	}
	return nil
}

// simSite is a deployment of the real controllers on simulated machines. It also has a follower on each frontend machine, the
// platform, its workers and the operators.
type simSite struct {
	t         *testing.T
	random    *rand.Rand
	network   *live.Network
	tolerance int
	startedAt time.Time
	checks    *simChecks

	lifecycle sync.Mutex // serializes starts and ends of processes
	mutex     sync.Mutex
	cores     []*simMachine
	frontends []*simMachine
	external  []*live.Machine // machines of the platform, its workers and the operators
	events    []string
	running   sync.WaitGroup // goroutines of programs and scenarios, including those of ended programs

	platform *simPlatformAPI
	acked    chan struct{}   // receives a value per acknowledgement if a fault waits for one
	ctx      context.Context // done when the site shuts down
	cancel   context.CancelFunc
}

// newSimSite starts a site that tolerates the loss of the given number of machines.
func newSimSite(t *testing.T, seed uint64, tolerance int) *simSite {
	site := &simSite{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 3)),
		network:   live.NewNetwork(seed),
		tolerance: tolerance,
		startedAt: time.Now(),
		acked:     make(chan struct{}),
	}
	site.ctx, site.cancel = context.WithCancel(context.Background())
	site.checks = newSimChecks(site)
	site.startExternalMachines()
	for range 2*tolerance + 1 {
		site.addCore(true)
	}
	for i := range 3 {
		site.frontends = append(site.frontends, &simMachine{machine: site.network.AddMachine(fmt.Sprintf("10.1.0.%d", i+1))})
	}
	for _, core := range site.cores {
		site.startCore(core)
	}
	for _, frontend := range site.frontends {
		site.startFrontend(frontend)
	}
	return site
}

// logf adds an event to the log that is printed after a failure.
func (s *simSite) logf(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(s.startedAt).Seconds()) + fmt.Sprintf(format, arguments...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events = append(s.events, line)
}

// eventLog returns the latest events.
func (s *simSite) eventLog() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	const maxEvents = 400
	return strings.Join(s.events[max(0, len(s.events)-maxEvents):], "\n")
}

// chance returns true with the given probability.
func (s *simSite) chance(probability float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < probability
}

// randomInt returns a random number from 0 to below-1.
func (s *simSite) randomInt(below int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(below)
}

// randomDuration returns a random duration from shortest to longest.
func (s *simSite) randomDuration(shortest, longest time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)+1))
}

// simCoreIP returns the address of a core machine.
func simCoreIP(number int) string { return fmt.Sprintf("10.0.0.%d", number+1) }

// addCore adds a core machine at the next address. Nothing runs on it yet.
func (s *simSite) addCore(bootstrap bool) *simMachine {
	ip := simCoreIP(len(s.cores))
	added := &simMachine{machine: s.network.AddMachine(ip)}
	added.settings = settings.Settings{
		NodeName:       fmt.Sprintf("core-%d", len(s.cores)),
		IP:             ip,
		Zone:           "z",
		Zones:          map[string]string{"z": ""},
		Listen:         settings.Listen{Control: net.JoinHostPort(ip, simControlPort)},
		InternalPorts:  simInternalPorts,
		Bootstrap:      bootstrap,
		FaultTolerance: settings.FaultTolerance{Machines: s.tolerance},
		Bounds:         settings.DefaultBounds(),
		Cloud:          settings.Cloud{Address: simPlatformIP + ":80"},
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cores = append(s.cores, added)
	return added
}

// startCore starts the program on a core machine with the current settings. It does nothing if the program runs, the machine
// was removed, or the site shuts down.
func (s *simSite) startCore(m *simMachine) {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	if m.removed || m.run.Load() != nil || s.ctx.Err() != nil {
		return
	}
	run := &simRun{process: m.machine.Start(), stopped: make(chan struct{})}
	signalled, signal := context.WithCancel(context.Background())
	run.signal = signal
	run.crashed, run.crash = context.WithCancel(context.Background())
	m.run.Store(run)
	m.settings.Seeds = s.seeds()
	current := m.settings
	m.settings.Bootstrap = false
	s.running.Go(func() { s.runCore(signalled, m, run, &current) })
}

// runCore runs the program until it ends. If the program fails to start, it is started again later.
func (s *simSite) runCore(signalled context.Context, m *simMachine, run *simRun, current *settings.Settings) {
	defer close(run.stopped)
	machine := host{
		listen: run.process.Listen,
		dial:   run.process.Dial,
		files:  func() (store.Files, error) { return run.process.Files(), nil },
	}
	opened, err := open(context.Background(), current, machine, zap.NewNop())
	if err != nil {
		s.logf("%s failed to start: %v", current.NodeName, err)
		if run.crashed.Err() == nil {
			s.crashCore(m, (*live.Machine).Kill)
			s.restartLater(m)
		}
		return
	}
	run.program.Store(opened)
	stop := context.AfterFunc(run.crashed, opened.stop)
	defer stop()
	s.logf("%s started with disk %s", current.NodeName, opened.node.ID())
	_ = opened.run(signalled, func(ctx context.Context) { s.checks.checkStates(ctx, opened) })
}

// restartLater starts the program on a core machine after restartDelay.
func (s *simSite) restartLater(m *simMachine) {
	time.AfterFunc(restartDelay, func() { s.startCore(m) })
}

// restartDelay is the time before a machine restarts a program that failed to start.
const restartDelay = 300 * time.Millisecond

// crashCore ends the program on a core machine abruptly, in the given way.
func (s *simSite) crashCore(m *simMachine, crash func(*live.Machine)) {
	s.lifecycle.Lock()
	defer s.lifecycle.Unlock()
	crash(m.machine)
	if run := m.run.Swap(nil); run != nil {
		run.crash()
		run.signal()
	}
}

// terminate ends the program on a core machine as SIGTERM does. It kills the program after terminationGrace.
func (s *simSite) terminate(m *simMachine) {
	if run := m.run.Load(); run != nil {
		run.signal()
		select {
		case <-run.stopped:
		case <-time.After(terminationGrace):
		}
	}
	s.crashCore(m, (*live.Machine).Kill)
}

// terminationGrace is how long a terminated program may run before it is killed.
const terminationGrace = 8 * time.Second

// startFrontend starts a follower on a frontend machine. It does nothing if one runs.
func (s *simSite) startFrontend(m *simMachine) {
	if m.follower.Load() != nil {
		return
	}
	process := m.machine.Start()
	client := transport.NewClientWithDial(process.Dial)
	var last fleetwire.Version
	follower := watch.NewFollower(watch.FollowerOptions{
		Self: fleetwire.Member{Name: m.machine.IP(), Address: m.machine.IP() + ":1", Role: fleetwire.RoleAgent, Zone: "z"},
		Sources: func() []string {
			return (&settings.Settings{Seeds: s.seeds(), InternalPorts: simInternalPorts}).SeedInternalAddresses()
		},
		Client: client,
		OnChange: func(snapshot *watch.Snapshot) {
			s.checks.checkFollowerStep(m.machine.IP(), last, snapshot)
			last = snapshot.Version
		},
	})
	ctx, cancel := context.WithCancel(context.Background())
	m.follower.Store(follower)
	m.crash = cancel
	s.running.Go(func() {
		defer client.Close()
		follower.Run(ctx)
	})
}

// crashFrontend ends the follower on a frontend machine abruptly, in the given way.
func (s *simSite) crashFrontend(m *simMachine, crash func(*live.Machine)) {
	crash(m.machine)
	if m.follower.Swap(nil) != nil {
		m.crash()
	}
}

// addExternalMachine adds a machine without faults and serves HTTP on it.
func (s *simSite) addExternalMachine(ip string, handler http.Handler) {
	machine := s.network.AddMachine(ip)
	s.external = append(s.external, machine)
	listener, err := machine.Start().Listen(ip + ":80")
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.running.Go(func() { _ = server.Serve(listener) })
}

// startExternalMachines starts the platform and its workers.
func (s *simSite) startExternalMachines() {
	s.platform = &simPlatformAPI{}
	s.addExternalMachine(simPlatformIP, s.platform)
	for i := range simWorkerCount {
		w := &simWorker{site: s, ip: fmt.Sprintf("10.9.0.%d", i+1), stage: fleetwire.StageDecode}
		s.platform.workers = append(s.platform.workers, w)
		s.addExternalMachine(w.ip, w)
	}
}

// shutDown ends all programs and waits until their goroutines have ended.
func (s *simSite) shutDown() {
	s.cancel()
	for _, m := range s.cores {
		m.machine.Disk().Resume()
		s.crashCore(m, (*live.Machine).Kill)
	}
	for _, m := range s.frontends {
		s.crashFrontend(m, (*live.Machine).Kill)
	}
	for _, machine := range s.external {
		machine.Kill()
	}
	s.running.Wait()
	time.Sleep(time.Minute) // virtual time; goroutines of net/http end by timeout
}

// currentCores returns the core machines that have not been removed.
func (s *simSite) currentCores() []*simMachine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(s.cores), func(m *simMachine) bool { return m.removed })
}

// newestChosenValue returns the newest chosen value with its previous replica set. It reads the disks, because register.State
// has only the current set.
func (s *simSite) newestChosenValue() register.Value {
	revision := s.newestState().Revision
	var newest register.Value
	for _, m := range s.currentCores() {
		_, accepted := m.diskState()
		if accepted.Value.Revision <= revision && accepted.Value.Revision >= newest.Revision && len(accepted.Value.Replicas) > 0 {
			newest = accepted.Value
		}
	}
	return newest
}

// existingDisks returns the replica IDs on the disks of the current core machines.
func (s *simSite) existingDisks() map[string]bool {
	existing := map[string]bool{}
	for _, m := range s.currentCores() {
		if id, _ := m.diskState(); id != "" {
			existing[id] = true
		}
	}
	return existing
}

// countExisting returns the number of replicas whose disks exist.
func countExisting(replicas []register.Replica, existing map[string]bool) int {
	return lo.CountBy(replicas, func(r register.Replica) bool { return existing[r.ID] })
}

// newestState returns the newest chosen state that any running controller knows.
func (s *simSite) newestState() register.State {
	var newest register.State
	for _, m := range s.currentCores() {
		program := m.program()
		if program == nil {
			continue
		}
		if latest := program.node.Latest(); latest.Revision >= newest.Revision {
			newest = latest
		}
	}
	return newest
}

// diskState returns the replica ID and the accepted value that the program would load from the disk if it started now.
func (m *simMachine) diskState() (id string, accepted register.Accepted) {
	acceptor, err := register.NewDisk(m.machine.Disk().Snapshot()).Load(m.settings.InternalAddress())
	if err != nil || acceptor == nil {
		return "", register.Accepted{}
	}
	return acceptor.Self().ID, acceptor.Accepted()
}
