package controller

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

	"weldscale/coordination/register"
	"weldscale/coordination/transport"
	"weldscale/internal/fleetwire"
	"weldscale/internal/settings"
)

// waitTimeout bounds every wait of these tests. It is not one of the bounds that controllers must meet. The tests log the times
// that those bounds concern.
const waitTimeout = 20 * time.Second

// fakePlatform is an HTTP server that serves the platform's list of instances.
type fakePlatform struct {
	server *httptest.Server

	mutex   sync.Mutex
	workers []map[string]any
}

func newFakePlatform(t *testing.T) *fakePlatform {
	p := &fakePlatform{}
	p.server = httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(p.server.Close)
	return p
}

// set replaces the list.
func (p *fakePlatform) set(workers ...map[string]any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.workers = workers
}

func (p *fakePlatform) serve(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"Instances": p.workers, "NextPageToken": nil})
}

// worker returns an entry of the platform's list.
func worker(id, state string) map[string]any {
	return map[string]any{"Id": id, "Service": "s", "Address": "10.0.0.1:80", "Zone": "z", "Slots": 4, "State": state}
}

// fleet is a set of controllers on loopback addresses, one for each.
type fleet struct {
	t        *testing.T
	platform *fakePlatform
	client   *transport.Client
	seeds    []string // control addresses
	settings []*settings.Settings
	running  map[int]*runningController
}

// runningController is a controller that runs in this process.
type runningController struct {
	process *process
	cancel  context.CancelFunc
	ended   chan error
}

// freePort returns a TCP port that is free on a loopback address.
func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

// newFleet starts a fleet of new controllers and stops it when the test ends.
func newFleet(t *testing.T, count int) *fleet {
	f := &fleet{t: t, platform: newFakePlatform(t), client: transport.NewClient(), running: make(map[int]*runningController)}
	internal, control := freePort(t), freePort(t)
	const seeds = 3
	for i := range seeds {
		f.seeds = append(f.seeds, fmt.Sprintf("127.0.0.%d:%d", i+2, control))
	}
	for range count {
		f.addMachine(internal, control, true)
	}
	for i := range count {
		f.start(i)
	}
	t.Cleanup(f.stopAll)
	return f
}

// addMachine adds the settings of one more machine and returns its number.
func (f *fleet) addMachine(internal, control int, bootstrap bool) int {
	number := len(f.settings)
	ip := fmt.Sprintf("127.0.0.%d", number+2)
	f.settings = append(f.settings, &settings.Settings{
		NodeName:       "core-" + strconv.Itoa(number),
		IP:             ip,
		Zone:           "z",
		Listen:         settings.Listen{Control: net.JoinHostPort(ip, strconv.Itoa(control))},
		InternalPorts:  [2]int{internal, internal + 1},
		Seeds:          f.seeds,
		Bootstrap:      bootstrap,
		DataDir:        filepath.Join(f.t.TempDir(), "data"),
		FaultTolerance: settings.FaultTolerance{Machines: 1},
		Cloud:          settings.Cloud{Address: strings.TrimPrefix(f.platform.server.URL, "http://")},
	})
	return number
}

// addReplacement adds a machine with a new address and an empty disk, and returns its number.
func (f *fleet) addReplacement() int {
	address, err := netip.ParseAddrPort(f.settings[0].Listen.Control)
	require.NoError(f.t, err)
	return f.addMachine(f.settings[0].InternalPorts[0], int(address.Port()), false)
}

// restart starts a controller again after it has ended, without bootstrap.
func (f *fleet) restart(i int) {
	updated := *f.settings[i]
	updated.Bootstrap = false
	f.settings[i] = &updated
	f.start(i)
}

// isReplica reports whether a controller with its current disk is in a full set of replicas and the change of the set is
// finished. Only then does the fleet tolerate the loss of another machine.
func (f *fleet) isReplica(i int) bool {
	node := f.running[i].process.node
	replicas := node.Latest().Replicas
	return node.Formed() && len(replicas) == targetReplicas(f.settings[i].FaultTolerance) &&
		slices.ContainsFunc(replicas, func(replica register.Replica) bool { return replica.ID == node.ID() })
}

// start starts a controller.
func (f *fleet) start(i int) {
	process, err := open(f.t.Context(), f.settings[i], systemHost(f.settings[i]), zap.NewNop())
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	started := &runningController{process: process, cancel: cancel, ended: make(chan error, 1)}
	f.running[i] = started
	go func() { started.ended <- process.run(ctx) }()
}

// stop shuts a controller down as SIGTERM does.
func (f *fleet) stop(i int) {
	f.running[i].cancel()
	require.NoError(f.t, <-f.running[i].ended)
	delete(f.running, i)
}

// crash ends a controller without a message to the others.
func (f *fleet) crash(i int) {
	stopped := f.running[i]
	stopped.process.stop()
	stopped.process.listeners.close()
	<-stopped.ended
	stopped.cancel()
	delete(f.running, i)
}

// stopAll shuts all running controllers down.
func (f *fleet) stopAll() {
	for _, started := range f.running {
		started.cancel()
	}
	for _, started := range f.running {
		<-started.ended
	}
	f.client.Close()
}

// replace sends a change to a controller until there is a definite answer, as operators do, and returns its status.
func (f *fleet) replace(i int, base int64, body string) int {
	deadline := time.Now().Add(waitTimeout)
	for time.Now().Before(deadline) {
		request, err := http.NewRequest(http.MethodPost, "http://"+f.settings[i].Listen.Control+pathReplace, strings.NewReader(body))
		require.NoError(f.t, err)
		request.Header.Set(headerBase, strconv.FormatInt(base, 10))
		response, err := http.DefaultTransport.RoundTrip(request)
		if err != nil {
			continue
		}
		_, _ = io.Copy(io.Discard, response.Body)
		_ = response.Body.Close()
		if response.StatusCode != http.StatusServiceUnavailable {
			return response.StatusCode
		}
	}
	require.Fail(f.t, "no definite answer")
	return 0
}

// read returns the configuration that a controller returns to operators.
func (f *fleet) read(i int) string {
	response, err := http.Get("http://" + f.settings[i].Listen.Control + pathRead)
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	require.NoError(f.t, err)
	return body.String()
}

// eventually polls until a condition holds and returns how long that took.
func (f *fleet) eventually(what string, holds func() bool) time.Duration {
	begun := time.Now()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for time.Since(begun) < waitTimeout {
		if holds() {
			return time.Since(begun)
		}
		<-ticker.C
	}
	require.Fail(f.t, "the condition did not hold in time", what)
	return 0
}

// everywhere returns a condition that holds when each running controller fulfills the given one.
func (f *fleet) everywhere(holds func(c *controller) bool) func() bool {
	return func() bool {
		for _, started := range f.running {
			if !holds(started.process.controller) {
				return false
			}
		}
		return true
	}
}

// reader returns the number of the controller that holds the reader's role, or -1.
func (f *fleet) reader() int {
	for i, started := range f.running {
		if _, held := started.process.controller.leases.holds(roleReader); held {
			return i
		}
	}
	return -1
}

// hasReader reports whether a controller holds the reader's role.
func (f *fleet) hasReader() bool { return f.reader() >= 0 }

// hasVersion returns a condition: the controller publishes the given version of the configuration.
func hasVersion(version int64) func(c *controller) bool {
	return func(c *controller) bool {
		config := c.hub.Current().Config
		return config != nil && config.Version == version
	}
}

// showsWorker returns a condition: the controller publishes the worker in the given state.
func showsWorker(id, state string) func(c *controller) bool {
	return func(c *controller) bool {
		return slices.ContainsFunc(c.hub.Current().Instances, func(instance fleetwire.Instance) bool {
			return instance.ID == id && instance.State == state
		})
	}
}

// configBody returns a minimal configuration.
func configBody(version int64) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[],"Services":[],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,`+
		`"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version)
}

func TestThreeControllersAcceptAndServeAConfiguration(t *testing.T) {
	f := newFleet(t, 3)
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(3)))
	f.eventually("the configuration at every controller", f.everywhere(hasVersion(3)))
	for i := range 3 {
		require.Equal(t, configBody(3), f.read(i))
		require.Equal(t, http.StatusOK, f.replace(i, 0, configBody(3)), "resent without a change")
	}
	require.Equal(t, http.StatusPreconditionFailed, f.replace(1, 0, configBody(4)))
	require.Equal(t, http.StatusBadRequest, f.replace(1, 3, configBody(3)))
	require.Equal(t, http.StatusOK, f.replace(2, 3, configBody(7)))
	f.eventually("the next configuration at every controller", f.everywhere(hasVersion(7)))
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(3)), "the first change resent after the next one")
}

// Guards against accepting two different changes on the same base version.
func TestTwoOperatorsOnOneBase(t *testing.T) {
	f := newFleet(t, 3)
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(1)))
	for round := range int64(10) {
		base := 1 + 10*round
		statuses := make(chan int, 2)
		go func() { statuses <- f.replace(0, base, configBody(base+10)) }()
		go func() { statuses <- f.replace(1, base, configBody(base+10)+" ") }()
		got := []int{<-statuses, <-statuses}
		require.ElementsMatch(t, []int{http.StatusOK, http.StatusPreconditionFailed}, got)
	}
}

func TestInstanceListReachesAllControllersAndSurvivesItsReader(t *testing.T) {
	f := newFleet(t, 3)
	f.platform.set(worker("i-1", fleetwire.InstanceReady))
	f.eventually("the first list at every controller", f.everywhere(showsWorker("i-1", fleetwire.InstanceReady)))
	f.eventually("a holder of the reader's role", f.hasReader) // the recorded holder reads the first list before it holds the lease
	first := f.reader()

	f.crash(first)
	f.platform.set(worker("i-1", fleetwire.InstanceDraining))
	took := f.eventually("the draining worker at every controller", f.everywhere(showsWorker("i-1", fleetwire.InstanceDraining)))
	t.Logf("a list from another reader %v after a crash", took)

	f.eventually("another holder of the reader's role", f.hasReader)
	second := f.reader()
	f.restart(first)
	f.eventually("the list at the restarted controller", f.everywhere(showsWorker("i-1", fleetwire.InstanceDraining)))
	f.stop(second)
	f.platform.set(worker("i-2", fleetwire.InstanceReady))
	took = f.eventually("the new worker at every controller", f.everywhere(showsWorker("i-2", fleetwire.InstanceReady)))
	t.Logf("a list from another reader %v after a SIGTERM", took)
}

func TestOneControllerOfThreeHasNoQuorum(t *testing.T) {
	f := newFleet(t, 3)
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(1)))
	f.crash(1)
	f.crash(2)
	f.eventually("the loss of the quorum", func() bool { return !hasQuorum(f.running[0].process.node) })
	request, err := http.NewRequest(http.MethodPost, "http://"+f.settings[0].Listen.Control+pathReplace, strings.NewReader(configBody(2)))
	require.NoError(t, err)
	request.Header.Set(headerBase, "1")
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	f.restart(1)
	require.Equal(t, http.StatusOK, f.replace(0, 1, configBody(2)))
	require.Equal(t, configBody(2), f.read(1))
}

func TestRemovedMachineIsReplacedByOneAtANewAddress(t *testing.T) {
	f := newFleet(t, 3)
	f.platform.set(worker("i-1", fleetwire.InstanceReady))
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(1)))
	f.crash(0)
	added := f.addReplacement()
	f.start(added)
	took := f.eventually("the new replica", func() bool { return f.isReplica(added) })
	t.Logf("the replacement joined the replica set after %v", took)
	f.eventually("the configuration and the list at the replacement", func() bool {
		c := f.running[added].process.controller
		return hasVersion(1)(c) && showsWorker("i-1", fleetwire.InstanceReady)(c)
	})
	f.crash(1)
	require.Equal(t, http.StatusOK, f.replace(added, 1, configBody(2)), "with one founder and the replacement")
	f.platform.set(worker("i-2", fleetwire.InstanceReady))
	f.eventually("the new list at every controller", f.everywhere(showsWorker("i-2", fleetwire.InstanceReady)))
}

func TestWipedMachineRejoinsAsANewReplica(t *testing.T) {
	f := newFleet(t, 3)
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(1)))
	f.crash(2)
	require.NoError(t, os.RemoveAll(f.settings[2].DataDir))
	f.restart(2)
	took := f.eventually("the wiped machine as a new replica", func() bool {
		return f.isReplica(2) && hasVersion(1)(f.running[2].process.controller)
	})
	t.Logf("the wiped machine joined the replica set after %v", took)
	f.crash(0)
	require.Equal(t, http.StatusOK, f.replace(2, 1, configBody(2)))
	require.Equal(t, configBody(2), f.read(1))
}

func TestFiveControllersWithThreeReplicas(t *testing.T) {
	f := newFleet(t, 5)
	f.platform.set(worker("i-1", fleetwire.InstanceReady))
	require.Equal(t, http.StatusOK, f.replace(4, 0, configBody(1)), "sent to a controller that is not a replica")
	took := f.eventually("the configuration at every controller", f.everywhere(hasVersion(1)))
	t.Logf("the configuration was at every controller %v after the acknowledgement", took)
	f.eventually("the list at every controller", f.everywhere(showsWorker("i-1", fleetwire.InstanceReady)))
	require.Equal(t, http.StatusOK, f.replace(0, 1, configBody(2)))
	took = f.eventually("the next configuration at every controller", f.everywhere(hasVersion(2)))
	t.Logf("the next configuration was at every controller %v after the acknowledgement", took)
}

func TestAcknowledgedChangesSurviveACrashOfAllControllers(t *testing.T) {
	f := newFleet(t, 3)
	f.platform.set(worker("i-1", fleetwire.InstanceReady))
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(1)))
	require.Equal(t, http.StatusOK, f.replace(1, 1, configBody(2)))
	f.eventually("the list at every controller", f.everywhere(showsWorker("i-1", fleetwire.InstanceReady)))
	for i := range 3 {
		f.crash(i)
	}
	for i := range 3 {
		f.restart(i)
	}
	took := f.eventually("the configuration at every controller", f.everywhere(hasVersion(2)))
	t.Logf("the configuration was restored after %v", took)
	took = f.eventually("the list at every controller", f.everywhere(showsWorker("i-1", fleetwire.InstanceReady)))
	t.Logf("the list was restored %v later", took)
	require.Equal(t, http.StatusOK, f.replace(2, 1, configBody(2)), "resent without a change")
	require.Equal(t, http.StatusOK, f.replace(2, 2, configBody(3)))
}
