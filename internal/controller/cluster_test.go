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
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/zap"

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
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("127.0.0.%d:%d", i+2, control))
	}
	for i := range count {
		f.settings = append(f.settings, &settings.Settings{
			NodeName:       "core-" + strconv.Itoa(i),
			IP:             fmt.Sprintf("127.0.0.%d", i+2),
			Zone:           "z",
			Listen:         settings.Listen{Control: seeds[i]},
			InternalPorts:  [2]int{internal, internal + 1},
			Seeds:          seeds,
			Bootstrap:      true,
			DataDir:        filepath.Join(t.TempDir(), "data"),
			FaultTolerance: settings.FaultTolerance{Machines: 1},
			Cloud:          settings.Cloud{Address: strings.TrimPrefix(f.platform.server.URL, "http://")},
		})
	}
	for i := range count {
		f.start(i)
	}
	t.Cleanup(f.stopAll)
	return f
}

func (f *fleet) start(i int) {
	process, err := open(f.t.Context(), f.settings[i], zap.NewNop())
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
	first := f.reader()
	require.NotEqual(t, -1, first)

	f.crash(first)
	f.platform.set(worker("i-1", fleetwire.InstanceDraining))
	took := f.eventually("the draining worker", f.everywhere(showsWorker("i-1", fleetwire.InstanceDraining)))
	t.Logf("a list by another reader after a crash: %v", took)

	second := f.reader()
	f.settings[first].Bootstrap = false
	f.start(first)
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
	f.eventually("out of touch", func() bool { return !inTouch(f.running[0].process.node) })
	request, err := http.NewRequest(http.MethodPost, "http://"+f.settings[0].Listen.Control+pathReplace, strings.NewReader(configBody(2)))
	require.NoError(t, err)
	request.Header.Set(headerBase, "1")
	response, err := http.DefaultTransport.RoundTrip(request)
	require.NoError(t, err)
	_ = response.Body.Close()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	f.settings[1].Bootstrap = false
	f.start(1)
	require.Equal(t, http.StatusOK, f.replace(0, 1, configBody(2)))
	require.Equal(t, configBody(2), f.read(1))
}
