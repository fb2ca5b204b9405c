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

// patience bounds every wait of these tests; the bounds of the rules are checked by what they measure, not by it.
const patience = 20 * time.Second

// platform is a stand-in for the platform's list of instances.
type platform struct {
	server *httptest.Server

	mutex   sync.Mutex
	workers []map[string]any
}

func newPlatform(t *testing.T) *platform {
	p := &platform{}
	p.server = httptest.NewServer(http.HandlerFunc(p.serve))
	t.Cleanup(p.server.Close)
	return p
}

func (p *platform) set(workers ...map[string]any) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.workers = workers
}

func (p *platform) serve(w http.ResponseWriter, _ *http.Request) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	_ = json.NewEncoder(w).Encode(map[string]any{"Instances": p.workers, "NextPageToken": nil})
}

func worker(id, state string) map[string]any {
	return map[string]any{"Id": id, "Service": "s", "Address": "10.0.0.1:80", "Zone": "z", "Slots": 4, "State": state}
}

// fleet is a set of controllers on loopback, each at an address of its own.
type fleet struct {
	t        *testing.T
	platform *platform
	client   *transport.Client
	seeds    []string // Control addresses
	settings []*settings.Settings
	running  map[int]*runningController
}

type runningController struct {
	process *process
	cancel  context.CancelFunc
	ended   chan error
}

func freePort(t *testing.T) int {
	listener, err := net.Listen("tcp", "127.0.0.2:0")
	require.NoError(t, err)
	defer func() { _ = listener.Close() }()
	return listener.Addr().(*net.TCPAddr).Port
}

func newFleet(t *testing.T, count int) *fleet {
	f := &fleet{t: t, platform: newPlatform(t), client: transport.NewClient(), running: make(map[int]*runningController)}
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

// addMachine makes the settings of one more machine and returns its number.
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

// replacement adds a machine at a new address with an empty disk.
func (f *fleet) replacement() int {
	address, err := netip.ParseAddrPort(f.settings[0].Listen.Control)
	require.NoError(f.t, err)
	return f.addMachine(f.settings[0].InternalPorts[0], int(address.Port()), false)
}

// restart starts a controller again after it has ended.
func (f *fleet) restart(i int) {
	again := *f.settings[i]
	again.Bootstrap = false
	f.settings[i] = &again
	f.start(i)
}

// isReplica tells whether a controller is in the set of replicas that it knows, with its present disk, and the change of the
// set is finished: only then may the next machine be lost.
func (f *fleet) isReplica(i int) bool {
	node := f.running[i].process.node
	replicas := node.Latest().Replicas
	return node.Formed() && len(replicas) == targetReplicas(f.settings[i].FaultTolerance) &&
		slices.ContainsFunc(replicas, func(replica register.Replica) bool { return replica.ID == node.ID() })
}

func (f *fleet) start(i int) {
	process, err := open(f.t.Context(), f.settings[i], systemHost(f.settings[i]), zap.NewNop())
	require.NoError(f.t, err)
	ctx, cancel := context.WithCancel(context.Background())
	started := &runningController{process: process, cancel: cancel, ended: make(chan error, 1)}
	f.running[i] = started
	go func() { started.ended <- process.run(ctx) }()
}

// stop ends a controller as SIGTERM does.
func (f *fleet) stop(i int) {
	f.running[i].cancel()
	require.NoError(f.t, <-f.running[i].ended)
	delete(f.running, i)
}

// crash ends a controller without a word to the others.
func (f *fleet) crash(i int) {
	stopped := f.running[i]
	stopped.process.stop()
	stopped.process.listeners.close()
	<-stopped.ended
	stopped.cancel()
	delete(f.running, i)
}

func (f *fleet) stopAll() {
	for _, started := range f.running {
		started.cancel()
	}
	for _, started := range f.running {
		<-started.ended
	}
	f.client.Close()
}

// replace sends a change to a controller until the answer is clear, as the operator does.
func (f *fleet) replace(i int, base int64, body string) int {
	deadline := time.Now().Add(patience)
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
	require.Fail(f.t, "no clear answer")
	return 0
}

func (f *fleet) read(i int) string {
	response, err := http.Get("http://" + f.settings[i].Listen.Control + pathRead)
	require.NoError(f.t, err)
	defer func() { _ = response.Body.Close() }()
	var body bytes.Buffer
	_, err = body.ReadFrom(response.Body)
	require.NoError(f.t, err)
	return body.String()
}

// eventually polls a condition of running processes, and returns how long it took to come about.
func (f *fleet) eventually(what string, holds func() bool) time.Duration {
	begun := time.Now()
	ticker := time.NewTicker(5 * time.Millisecond)
	defer ticker.Stop()
	for time.Since(begun) < patience {
		if holds() {
			return time.Since(begun)
		}
		<-ticker.C
	}
	require.Fail(f.t, "waited in vain", what)
	return 0
}

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

// reader returns the controller that may read the list, or -1.
func (f *fleet) reader() int {
	for i, started := range f.running {
		if _, held := started.process.controller.leases.holds(roleReader); held {
			return i
		}
	}
	return -1
}

// hasReader reports whether a controller holds the role that reads the list.
func (f *fleet) hasReader() bool { return f.reader() >= 0 }

func hasVersion(version int64) func(c *controller) bool {
	return func(c *controller) bool {
		config := c.hub.Current().Config
		return config != nil && config.Version == version
	}
}

func showsWorker(id, state string) func(c *controller) bool {
	return func(c *controller) bool {
		return slices.ContainsFunc(c.hub.Current().Instances, func(instance fleetwire.Instance) bool {
			return instance.ID == id && instance.State == state
		})
	}
}

func configBody(version int64) string {
	return fmt.Sprintf(`{"Version":%d,"Routes":[],"Services":[],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":4194304,`+
		`"HeaderTimeoutMs":3000,"IdleTimeoutMs":15000}}`, version)
}

func TestThreeControllersTakeAConfigurationAndServeIt(t *testing.T) {
	f := newFleet(t, 3)
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(3)))
	f.eventually("the configuration everywhere", f.everywhere(hasVersion(3)))
	for i := range 3 {
		require.Equal(t, configBody(3), f.read(i))
		require.Equal(t, http.StatusOK, f.replace(i, 0, configBody(3)), "sent again")
	}
	require.Equal(t, http.StatusPreconditionFailed, f.replace(1, 0, configBody(4)))
	require.Equal(t, http.StatusBadRequest, f.replace(1, 3, configBody(3)))
	require.Equal(t, http.StatusOK, f.replace(2, 3, configBody(7)))
	f.eventually("the next configuration everywhere", f.everywhere(hasVersion(7)))
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(3)), "the first one sent once more")
}

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

func TestTheListReachesAllControllersAndOutlivesItsReader(t *testing.T) {
	f := newFleet(t, 3)
	f.platform.set(worker("i-1", fleetwire.InstanceReady))
	f.eventually("the first list", f.everywhere(showsWorker("i-1", fleetwire.InstanceReady)))
	f.eventually("a holder of the role", f.hasReader) // the first list is read by the recorded holder, without its grants
	first := f.reader()

	f.crash(first)
	f.platform.set(worker("i-1", fleetwire.InstanceDraining))
	took := f.eventually("the draining worker", f.everywhere(showsWorker("i-1", fleetwire.InstanceDraining)))
	t.Logf("a list by another reader after a crash: %v", took)

	f.eventually("another holder of the role", f.hasReader)
	second := f.reader()
	f.restart(first)
	f.eventually("the list at the one that is back", f.everywhere(showsWorker("i-1", fleetwire.InstanceDraining)))
	f.stop(second)
	f.platform.set(worker("i-2", fleetwire.InstanceReady))
	took = f.eventually("the new worker", f.everywhere(showsWorker("i-2", fleetwire.InstanceReady)))
	t.Logf("a list by another reader after a SIGTERM: %v", took)
}

func TestOneControllerOfThreeIsNoMajority(t *testing.T) {
	f := newFleet(t, 3)
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(1)))
	f.crash(1)
	f.crash(2)
	f.eventually("out of touch", func() bool { return !hasQuorum(f.running[0].process.node) })
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

func TestARemovedMachineIsReplacedByOneAtANewAddress(t *testing.T) {
	f := newFleet(t, 3)
	f.platform.set(worker("i-1", fleetwire.InstanceReady))
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(1)))
	f.crash(0)
	added := f.replacement()
	f.start(added)
	took := f.eventually("the new replica", func() bool { return f.isReplica(added) })
	t.Logf("a replacement is in the set after %v", took)
	f.eventually("configuration and list at the new one", func() bool {
		c := f.running[added].process.controller
		return hasVersion(1)(c) && showsWorker("i-1", fleetwire.InstanceReady)(c)
	})
	f.crash(1)
	require.Equal(t, http.StatusOK, f.replace(added, 1, configBody(2)), "with one founder and the new one")
	f.platform.set(worker("i-2", fleetwire.InstanceReady))
	f.eventually("a new list", f.everywhere(showsWorker("i-2", fleetwire.InstanceReady)))
}

func TestAWipedMachineIsTakenInAnew(t *testing.T) {
	f := newFleet(t, 3)
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(1)))
	f.crash(2)
	require.NoError(t, os.RemoveAll(f.settings[2].DataDir))
	f.restart(2)
	took := f.eventually("the wiped one as a new replica", func() bool {
		return f.isReplica(2) && hasVersion(1)(f.running[2].process.controller)
	})
	t.Logf("a wiped machine is in the set after %v", took)
	f.crash(0)
	require.Equal(t, http.StatusOK, f.replace(2, 1, configBody(2)))
	require.Equal(t, configBody(2), f.read(1))
}

func TestFiveControllersWithThreeReplicas(t *testing.T) {
	f := newFleet(t, 5)
	f.platform.set(worker("i-1", fleetwire.InstanceReady))
	require.Equal(t, http.StatusOK, f.replace(4, 0, configBody(1)), "by one that is no replica")
	took := f.eventually("the configuration everywhere", f.everywhere(hasVersion(1)))
	t.Logf("the configuration was everywhere %v after the acknowledgement", took)
	f.eventually("the list everywhere", f.everywhere(showsWorker("i-1", fleetwire.InstanceReady)))
	require.Equal(t, http.StatusOK, f.replace(0, 1, configBody(2)))
	took = f.eventually("the next configuration everywhere", f.everywhere(hasVersion(2)))
	t.Logf("the next configuration was everywhere %v after the acknowledgement", took)
}

func TestAllKilledAtOnceComeBackWithWhatWasAcknowledged(t *testing.T) {
	f := newFleet(t, 3)
	f.platform.set(worker("i-1", fleetwire.InstanceReady))
	require.Equal(t, http.StatusOK, f.replace(0, 0, configBody(1)))
	require.Equal(t, http.StatusOK, f.replace(1, 1, configBody(2)))
	f.eventually("the list everywhere", f.everywhere(showsWorker("i-1", fleetwire.InstanceReady)))
	for i := range 3 {
		f.crash(i)
	}
	for i := range 3 {
		f.restart(i)
	}
	took := f.eventually("the configuration everywhere", f.everywhere(hasVersion(2)))
	t.Logf("the configuration was back after %v", took)
	took = f.eventually("the list everywhere", f.everywhere(showsWorker("i-1", fleetwire.InstanceReady)))
	t.Logf("the list was back %v later", took)
	require.Equal(t, http.StatusOK, f.replace(2, 1, configBody(2)), "sent again")
	require.Equal(t, http.StatusOK, f.replace(2, 2, configBody(3)))
}
