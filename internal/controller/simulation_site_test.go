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

// Addresses of a simulated site.
const (
	simControlPort = "7000"
	simPlatform    = "10.8.0.1"
	simOperators   = "10.7.0.1"
	simService     = "engine"
	simWorkers     = 6
	simSeeds       = 3
)

var simInternalPorts = [2]int{8000, 8001}

// simSeedLag is how much later than the machines the list of seeds is.
const simSeedLag = 3 * time.Second

// seeds returns the control addresses that a settings file names now: those of the oldest core machines, as they were a while ago.
func (s *simSite) seeds() []string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	var seeds []string
	for _, m := range s.cores {
		if gone := m.removed && time.Since(m.removedAt) > simSeedLag; !gone && len(seeds) < simSeeds {
			seeds = append(seeds, m.settings.Listen.Control)
		}
	}
	return seeds
}

// simMachine is a machine of the simulated site, with the program that runs on it.
type simMachine struct {
	machine  *live.Machine
	settings settings.Settings
	removed  bool
	// removedAt is when it was removed for good.
	removedAt time.Time
	life      atomic.Pointer[simLife] // of the program of a core machine; nil while none runs
	follower  atomic.Pointer[watch.Follower]
	crash     context.CancelFunc // of the follower of a frontend
}

// simLife is one life of the program of a core machine.
type simLife struct {
	process *live.Process
	program atomic.Pointer[process] // nil until it is open
	signal  context.CancelFunc      // SIGTERM
	crashed context.Context         // done once the machine has ended it
	crash   context.CancelFunc
	stopped chan struct{}
}

func (m *simMachine) control() string { return m.settings.Listen.Control }

// program returns the program that runs, or nil.
func (m *simMachine) program() *process {
	if life := m.life.Load(); life != nil {
		return life.program.Load()
	}
	return nil
}

// simSite is a deployment of the program in service on simulated machines: controllers, a follower on each frontend machine, the
// platform, its workers, and two operators.
type simSite struct {
	t         *testing.T
	random    *rand.Rand
	network   *live.Network
	tolerance int
	began     time.Time
	checks    *simChecks

	power     sync.Mutex // orders starts and ends
	mutex     sync.Mutex
	cores     []*simMachine
	frontends []*simMachine
	outer     []*live.Machine // of the platform, its workers and the operators
	events    []string
	running   sync.WaitGroup // parts of programs that have been ended

	platform *simPlatformList
	acked    chan struct{} // told of acknowledgements, if anyone waits
	ended    context.Context
	end      context.CancelFunc
}

func newSimSite(t *testing.T, seed uint64, tolerance int) *simSite {
	s := &simSite{
		t:         t,
		random:    rand.New(rand.NewPCG(seed, 3)),
		network:   live.NewNetwork(seed),
		tolerance: tolerance,
		began:     time.Now(),
		acked:     make(chan struct{}),
	}
	s.ended, s.end = context.WithCancel(context.Background())
	s.checks = newSimChecks(s)
	s.startOuter()
	for range 2*tolerance + 1 {
		s.addCore(true)
	}
	for i := range 3 {
		s.frontends = append(s.frontends, &simMachine{machine: s.network.AddMachine(fmt.Sprintf("10.1.0.%d", i+1))})
	}
	for _, core := range s.cores {
		s.startCore(core)
	}
	for _, frontend := range s.frontends {
		s.startFrontend(frontend)
	}
	return s
}

// logf notes an event for the story that a failure tells.
func (s *simSite) logf(format string, arguments ...any) {
	line := fmt.Sprintf("%8.3f ", time.Since(s.began).Seconds()) + fmt.Sprintf(format, arguments...)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.events = append(s.events, line)
}

func (s *simSite) story() string {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	const longest = 400
	return strings.Join(s.events[max(0, len(s.events)-longest):], "\n")
}

// chance, number and between draw what befalls the site.
func (s *simSite) chance(probability float64) bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.Float64() < probability
}

func (s *simSite) number(below int) int {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return s.random.IntN(below)
}

func (s *simSite) between(shortest, longest time.Duration) time.Duration {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return shortest + time.Duration(s.random.Int64N(int64(longest-shortest)+1))
}

func simCoreIP(number int) string { return fmt.Sprintf("10.0.0.%d", number+1) }

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
		Cloud:          settings.Cloud{Address: simPlatform + ":80"},
	}
	s.mutex.Lock()
	defer s.mutex.Unlock()
	s.cores = append(s.cores, added)
	return added
}

// startCore starts the program of a core machine, with the settings of the moment, unless it runs.
func (s *simSite) startCore(m *simMachine) {
	s.power.Lock()
	defer s.power.Unlock()
	if m.removed || m.life.Load() != nil || s.ended.Err() != nil {
		return
	}
	life := &simLife{process: m.machine.Start(), stopped: make(chan struct{})}
	signalled, signal := context.WithCancel(context.Background())
	life.signal = signal
	life.crashed, life.crash = context.WithCancel(context.Background())
	m.life.Store(life)
	m.settings.Seeds = s.seeds()
	current := m.settings
	m.settings.Bootstrap = false
	s.running.Go(func() { s.runCore(signalled, m, life, &current) })
}

// runCore runs one life of a program. One that can't start is started again.
func (s *simSite) runCore(signalled context.Context, m *simMachine, life *simLife, current *settings.Settings) {
	defer close(life.stopped)
	on := host{
		listen: life.process.Listen,
		dial:   life.process.Dial,
		files:  func() (store.Files, error) { return life.process.Files(), nil },
	}
	opened, err := open(context.Background(), current, on, zap.NewNop())
	if err != nil {
		s.logf("%s does not start: %v", current.NodeName, err)
		if life.crashed.Err() == nil {
			s.endCore(m, (*live.Machine).Kill)
			s.startLater(m)
		}
		return
	}
	life.program.Store(opened)
	stop := context.AfterFunc(life.crashed, opened.stop)
	defer stop()
	s.logf("%s starts, disk %s", current.NodeName, opened.node.ID())
	_ = opened.run(signalled, func(ctx context.Context) { s.checks.follow(ctx, opened) })
}

func (s *simSite) startLater(m *simMachine) {
	time.AfterFunc(restartPause, func() { s.startCore(m) })
}

// restartPause is how long a machine waits before it starts a process that has ended.
const restartPause = 300 * time.Millisecond

// endCore ends the program of a core machine without a word to it.
func (s *simSite) endCore(m *simMachine, by func(*live.Machine)) {
	s.power.Lock()
	defer s.power.Unlock()
	by(m.machine)
	if life := m.life.Swap(nil); life != nil {
		life.crash()
		life.signal()
	}
}

// terminate ends the program of a core machine as SIGTERM does, and kills it after a while.
func (s *simSite) terminate(m *simMachine) {
	if life := m.life.Load(); life != nil {
		life.signal()
		select {
		case <-life.stopped:
		case <-time.After(simGrace):
		}
	}
	s.endCore(m, (*live.Machine).Kill)
}

const simGrace = 8 * time.Second

// startFrontend starts a follower on a frontend machine, unless one runs.
func (s *simSite) startFrontend(m *simMachine) {
	if m.follower.Load() != nil {
		return
	}
	life := m.machine.Start()
	client := transport.NewClientWithDial(life.Dial)
	var last fleetwire.Version
	follower := watch.NewFollower(watch.FollowerOptions{
		Self: fleetwire.Member{Name: m.machine.IP(), Address: m.machine.IP() + ":1", Role: fleetwire.RoleAgent, Zone: "z"},
		Sources: func() []string {
			return (&settings.Settings{Seeds: s.seeds(), InternalPorts: simInternalPorts}).SeedInternalAddresses()
		},
		Client: client,
		OnChange: func(snapshot *watch.Snapshot) {
			s.checks.followed(m.machine.IP(), last, snapshot)
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

// endFrontend ends the follower of a frontend machine.
func (s *simSite) endFrontend(m *simMachine, by func(*live.Machine)) {
	by(m.machine)
	if m.follower.Swap(nil) != nil {
		m.crash()
	}
}

// outerMachine adds a machine that nothing befalls and serves HTTP on it.
func (s *simSite) outerMachine(ip string, handler http.Handler) {
	machine := s.network.AddMachine(ip)
	s.outer = append(s.outer, machine)
	listener, err := machine.Start().Listen(ip + ":80")
	if err != nil {
		s.t.Fatal(err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	s.running.Go(func() { _ = server.Serve(listener) })
}

func (s *simSite) startOuter() {
	s.platform = &simPlatformList{}
	s.outerMachine(simPlatform, s.platform)
	for i := range simWorkers {
		w := &simWorker{site: s, ip: fmt.Sprintf("10.9.0.%d", i+1), stage: fleetwire.StageDecode}
		s.platform.workers = append(s.platform.workers, w)
		s.outerMachine(w.ip, w)
	}
}

// shutDown ends all programs and waits for what they leave behind.
func (s *simSite) shutDown() {
	s.end()
	for _, m := range s.cores {
		m.machine.Disk().Resume()
		s.endCore(m, (*live.Machine).Kill)
	}
	for _, m := range s.frontends {
		s.endFrontend(m, (*live.Machine).Kill)
	}
	for _, machine := range s.outer {
		machine.Kill()
	}
	s.running.Wait()
	time.Sleep(time.Minute) // virtual: net/http's own goroutines end by time
}

// present returns the core machines that have not been removed.
func (s *simSite) present() []*simMachine {
	s.mutex.Lock()
	defer s.mutex.Unlock()
	return slices.DeleteFunc(slices.Clone(s.cores), func(m *simMachine) bool { return m.removed })
}

// newestValue returns the newest chosen value with its former set, as the disks have it: register.State shows the set alone.
func (s *simSite) newestValue() register.Value {
	revision := s.newest().Revision
	var found register.Value
	for _, m := range s.present() {
		_, accepted := m.diskState()
		if accepted.Value.Revision <= revision && accepted.Value.Revision >= found.Revision && len(accepted.Value.Replicas) > 0 {
			found = accepted.Value
		}
	}
	return found
}

// existingDisks returns the identities of the disks of the machines that are there.
func (s *simSite) existingDisks() map[string]bool {
	existing := map[string]bool{}
	for _, m := range s.present() {
		if id, _ := m.diskState(); id != "" {
			existing[id] = true
		}
	}
	return existing
}

// existingOf counts the replicas whose disks are among those that exist.
func existingOf(replicas []register.Replica, existing map[string]bool) int {
	return lo.CountBy(replicas, func(r register.Replica) bool { return existing[r.ID] })
}

// newest returns the newest state that any controller knows to be chosen.
func (s *simSite) newest() register.State {
	var newest register.State
	for _, m := range s.present() {
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

// diskState loads what a machine would find on its disk if it started now.
func (m *simMachine) diskState() (id string, accepted register.Accepted) {
	acceptor, err := register.NewDisk(m.machine.Disk().Snapshot()).Load(m.settings.InternalAddress())
	if err != nil || acceptor == nil {
		return "", register.Accepted{}
	}
	return acceptor.Self().ID, acceptor.Accepted()
}
