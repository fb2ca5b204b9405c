package fleet

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"weldscale/internal/standin/client"
	"weldscale/internal/standin/llmworker"
	"weldscale/internal/standin/operator"
)

// programs is the directory of the fleet's programs, which TestMain builds.
var programs string

func TestMain(m *testing.M) { os.Exit(buildAndRun(m)) }

func buildAndRun(m *testing.M) int {
	directory, remove, err := ProgramsIn("")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer remove()
	programs = directory
	return m.Run()
}

// testFleet is a fleet that serves the small site, with clients.
type testFleet struct {
	*Fleet
	t          *testing.T
	ctx        context.Context
	workers    SmallSiteWorkers
	tallies    *client.Tallies
	cancelLoad context.CancelFunc
	loadGroups sync.WaitGroup
}

const (
	testTimeout  = 30 * time.Second
	graceTimeout = 8 * time.Second
	// propagationTimeout limits the time from the acknowledgement of a change until every router applies it.
	propagationTimeout = 2 * time.Second
)

// startTestFleet starts a fleet with workers and its first configuration, and waits until all routers serve clients. The tests
// don't run in parallel: a dozen processes on the real clock are enough load for a machine that also builds other packages.
func startTestFleet(t *testing.T, options Options) *testFleet {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	t.Cleanup(cancel)
	options.Programs = programs
	started, err := Start(options)
	require.NoError(t, err)
	f := &testFleet{Fleet: started, t: t, ctx: ctx, tallies: client.NewTallies()}
	t.Cleanup(f.shutDown)
	f.workers, err = started.AddSmallSiteWorkers()
	require.NoError(t, err)
	f.replaceConfig(0, SmallSiteConfig(1))
	require.NoError(t, started.AwaitReady(ctx, len(started.Routers)))
	f.awaitServed(SmallSiteKinds()...)
	return f
}

// shutDown stops the fleet and prints the programs' logs if the test failed.
func (f *testFleet) shutDown() {
	if f.cancelLoad != nil {
		f.cancelLoad()
		f.loadGroups.Wait()
	}
	f.Close()
	if f.t.Failed() {
		_ = f.forEachProcess(func(process *Process) error { f.t.Logf("%s:\n%s", process.Name, process.Log()); return nil })
	}
}

// replaceConfig sends a configuration, which must be accepted.
func (f *testFleet) replaceConfig(base int64, config operator.Config) {
	f.t.Helper()
	status, err := f.Operator.Replace(f.ctx, base, config)
	require.NoError(f.t, err)
	require.Equal(f.t, http.StatusOK, status)
}

// newGroup returns a client group whose results are counted. selectRouter chooses the routers for its connections.
func (f *testFleet) newGroup(name, zone string, selectRouter client.RouterSelector, kinds []*client.Kind) *client.Group {
	return &client.Group{Name: name, Zone: zone, Seed: 1, SelectRouter: selectRouter, Judge: f.Judge, Kinds: kinds,
		OnResult: f.tallies.Add}
}

// startLoad starts a client group in each zone.
func (f *testFleet) startLoad(kinds []*client.Kind) {
	ctx, cancel := context.WithCancel(f.ctx)
	f.cancelLoad = cancel
	for _, zone := range f.options.Zones {
		group := f.newGroup("in-"+zone, zone, f.Entry.SelectRouter, kinds)
		f.loadGroups.Go(func() { group.Run(ctx) })
	}
}

// stopLoad stops the client groups and waits for their last answers.
func (f *testFleet) stopLoad() {
	f.cancelLoad()
	f.loadGroups.Wait()
	f.cancelLoad = nil
}

// awaitResults waits until that many more requests have ended.
func (f *testFleet) awaitResults(more int) {
	f.t.Helper()
	for target := f.tallies.Total().Sent + more; ; {
		changed := f.tallies.Changed()
		if f.tallies.Total().Sent >= target {
			return
		}
		select {
		case <-changed:
		case <-f.ctx.Done():
			require.NoError(f.t, f.ctx.Err(), "results: %v", f.tallies.Total())
		}
	}
}

// awaitServed sends requests of these kinds to every router until each is served. Clients have no other way to learn this.
func (f *testFleet) awaitServed(kinds ...*client.Kind) {
	f.t.Helper()
	for _, frontend := range f.FrontendAddresses() {
		for _, kind := range kinds {
			var last client.Result
			f.await(fmt.Sprintf("%s serves %s", frontend, kind.Name), func() bool {
				last = f.sendTo(frontend, kind)
				return last.Outcome <= client.Late
			}, &last)
		}
	}
}

var probeCount counter

// sendTo sends one request to one router, without counting its result.
func (f *testFleet) sendTo(frontend string, kind *client.Kind) client.Result {
	group := f.newGroup("probe", "", func(string, uint64, int) string { return frontend }, nil)
	group.OnResult = nil
	defer group.Close()
	once := *kind
	once.Retries = 0
	return group.Send(&once, fmt.Sprintf("probe-%d", probeCount.next()), 1)
}

// await polls condition until it holds. It is for conditions that no channel signals. A failure message shows the details.
func (f *testFleet) await(description string, condition func() bool, details ...any) {
	f.t.Helper()
	every := time.NewTicker(20 * time.Millisecond)
	defer every.Stop()
	for !condition() {
		select {
		case <-every.C:
		case <-f.ctx.Done():
			require.Fail(f.t, "timed out waiting until "+description, "%+v", details)
		}
	}
}

// requireAllServed checks that every request was served.
func (f *testFleet) requireAllServed() {
	f.t.Helper()
	total := f.tallies.Total()
	if total.Served+total.Late < total.Sent {
		require.Fail(f.t, "not all requests were served", "%v\n%s", total, f.tallies)
	}
}

// requireNoViolation checks that no rule was broken.
func (f *testFleet) requireNoViolation() {
	f.t.Helper()
	require.Empty(f.t, f.Judge.Report())
}

// counter returns consecutive numbers.
type counter struct {
	mu   sync.Mutex
	last int
}

func (c *counter) next() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.last++
	return c.last
}

func kindNamed(name string) *client.Kind {
	for _, kind := range SmallSiteKinds() {
		if kind.Name == name {
			return kind
		}
	}
	panic("no request kind " + name)
}

func TestFleetWithoutFaultsServesAllRequests(t *testing.T) {
	f := startTestFleet(t, Options{})
	f.startLoad(SmallSiteKinds())
	f.awaitResults(200)
	f.stopLoad()
	f.requireAllServed()
	require.Positive(t, f.workers.Decode[0].Stats().Fetched+f.workers.Decode[1].Stats().Fetched,
		"KV memory is transferred from prefill workers")
	f.requireNoViolation()
}

func TestConfigurationReachesAllRoutersInTime(t *testing.T) {
	fleet := startTestFleet(t, Options{Routers: 3})
	kinds := SmallSiteKinds()
	for _, kind := range kinds {
		if kind.Name == KindPlainSafe || kind.Name == KindPlainUnsafe {
			kind.Services = []string{ServicePlain, ServiceOther}
		}
	}
	fleet.startLoad(kinds)
	fleet.awaitResults(60)

	next := SmallSiteConfig(7)
	for i := range next.Routes {
		if next.Routes[i].Service == ServicePlain {
			next.Routes[i].Service = ServiceOther
		}
	}
	added := *kindNamed(KindPlainSafe)
	added.Name, added.Services = "added", []string{ServiceOther}
	added.Route.Name, added.Route.PathPrefix, added.Route.Service = "r-added", "/added/", ServiceOther
	next.Routes = append(next.Routes, added.Route)
	for _, frontend := range fleet.FrontendAddresses() {
		require.Equal(t, http.StatusNotFound, fleet.sendTo(frontend, &added).Status, "the route doesn't exist yet")
	}
	fleet.replaceConfig(1, next)
	acknowledged := time.Now()
	fleet.awaitServed(&added)
	require.Less(t, time.Since(acknowledged), propagationTimeout)
	moved := *kindNamed(KindPlainSafe)
	moved.Services = []string{ServiceOther} // the judge reports a run at the old service as a violation
	for _, frontend := range fleet.FrontendAddresses() {
		require.LessOrEqual(t, fleet.sendTo(frontend, &moved).Outcome, client.Late)
	}
	fleet.awaitResults(60)
	fleet.stopLoad()
	fleet.requireAllServed()
	fleet.requireNoViolation()
}

// TestEveryAcknowledgedRouteIsServed guards against routes that a controller acknowledges and routers leave out, so that another
// service runs their requests or nobody does.
func TestEveryAcknowledgedRouteIsServed(t *testing.T) {
	f := startTestFleet(t, Options{})
	next := SmallSiteConfig(2)
	var added []*client.Kind
	addRoute := func(hostname, prefix, service string) {
		kind := *kindNamed(KindPlainSafe)
		kind.Name, kind.Services = fmt.Sprintf("added-%d", len(added)), []string{service}
		kind.Route.Name, kind.Route.Hostname, kind.Route.PathPrefix, kind.Route.Service = "r-"+kind.Name, hostname, prefix, service
		next.Routes = append(next.Routes, kind.Route)
		added = append(added, &kind)
	}
	addRoute(Host, "/", ServicePlain)
	addRoute(Host, "/-/orders/", ServiceOther)
	addRoute(Host, "/orders/", ServicePlain)
	addRoute(Host, "/orders//", ServiceOther)
	addRoute("orders.example", "/-/orders/", ServiceOther)
	addRoute("orders.example:8080", "/-/orders/", ServicePlain)
	f.replaceConfig(1, next)
	f.awaitServed(added...)
	for _, kind := range added {
		for _, frontend := range f.FrontendAddresses() {
			require.LessOrEqual(t, f.sendTo(frontend, kind).Outcome, client.Late, kind.Route.Hostname+kind.Route.PathPrefix)
		}
	}
	f.requireNoViolation()
}

func TestKilledControllerCatchesUpAfterRestart(t *testing.T) {
	f := startTestFleet(t, Options{})
	f.startLoad(SmallSiteKinds())
	f.awaitResults(60)
	f.Controllers[0].Kill()
	next := SmallSiteConfig(2)
	added := *kindNamed(KindPlainSafe)
	added.Route.Name, added.Route.PathPrefix = "r-added", "/added/"
	next.Routes = append(next.Routes, added.Route)
	f.replaceConfig(1, next)
	f.awaitServed(&added)
	require.NoError(t, f.Controllers[0].Start())
	f.await("the killed controller returns the new configuration", func() bool {
		restarted := operator.New(func() []string { return f.ControlAddresses()[:1] })
		ctx, cancel := context.WithTimeout(f.ctx, time.Second)
		defer cancel()
		config, err := restarted.Read(ctx)
		return err == nil && config.Version == 2
	})
	f.stopLoad()
	f.requireAllServed()
	f.requireNoViolation()
}

func TestDrainingWorkerGetsNoNewRequests(t *testing.T) {
	options := Options{}
	options.setDefaults()
	options.Bounds.DrainWithin = time.Second // stricter than the deployments' 3 s
	f := startTestFleet(t, options)
	f.startLoad(SmallSiteKinds())
	f.awaitResults(60)
	f.DrainWorker(f.workers.Decode[0])
	f.DrainWorker(f.workers.Prefill[0])
	f.DrainWorker(f.workers.Plain[0])
	drained := time.Now()
	f.await("twice the drain bound has passed", func() bool { return time.Since(drained) > 2*options.Bounds.DrainWithin })
	for _, worker := range []*llmworker.Worker{f.workers.Decode[0], f.workers.Prefill[0], f.workers.Plain[0]} {
		f.Platform.Remove(worker.ID())
		worker.Stop()
	}
	f.awaitResults(60)
	f.stopLoad()
	f.requireAllServed()
	f.requireNoViolation()
}

func TestAWorkerDiesWithinStreams(t *testing.T) {
	fleet := startTestFleet(t, Options{})
	group := fleet.newGroup("in", fleet.options.Zones[0], fleet.Entry.SelectRouter, nil)
	var streams sync.WaitGroup
	// One decode worker holds all of these streams at once, in its slots and in its KV cache, after the other has crashed.
	send := func(name string, requests, tokens int) {
		for i := range requests {
			long := *kindNamed(name)
			long.Output, long.Retries = tokens, 0
			streams.Go(func() { group.Send(&long, fmt.Sprintf("%s-%d", name, i), uint64(i)) })
		}
	}
	send(KindStream, 6, 1000)
	send(KindResumableStream, 10, 600)
	var crashed *llmworker.Worker
	fleet.await("two streams of each kind run on one worker", func() bool {
		for _, crashed = range fleet.workers.Decode {
			if fleet.Judge.RunsAt(crashed.ID(), KindStream) >= 2 && fleet.Judge.RunsAt(crashed.ID(), KindResumableStream) >= 2 {
				return true
			}
		}
		return false
	})
	crashed.Crash()
	streams.Wait()
	fleet.Platform.Remove(crashed.ID())
	stream, resumable := fleet.tallies.ByKind(KindStream), fleet.tallies.ByKind(KindResumableStream)
	require.Positive(t, stream.Cut, stream.String())
	// A stream without any event so far may be answered 502: it may have run, so that it must not run again.
	require.Equal(t, stream.Sent, stream.Cut+stream.Served+stream.Late+stream.Failed, stream.String())
	require.Equal(t, resumable.Sent, resumable.Served+resumable.Late, "other workers continue the resumable streams: %v", resumable)
	require.Positive(t, fleet.Judge.Resumptions(), "a run continues another's stream within one answer")
	fleet.requireNoViolation() // a cut stream that looked complete would be a violation
}

func TestLostAcknowledgementIsRepeatedByAnotherController(t *testing.T) {
	f := startTestFleet(t, Options{})
	before := f.Operator.Calls()
	f.Operator.DropAnswers(2)
	f.replaceConfig(1, SmallSiteConfig(5))
	require.Equal(t, 3, f.Operator.Calls()-before, "each controller is asked once")
	config, err := f.Operator.Read(f.ctx)
	require.NoError(t, err)
	require.Equal(t, SmallSiteConfig(5), config)
	other := SmallSiteConfig(6)
	other.Limits.IdleTimeoutMs++
	status, err := f.Operator.Replace(f.ctx, 1, other)
	require.NoError(t, err)
	require.Equal(t, http.StatusPreconditionFailed, status)
}

func TestOneOfTwoRacingOperatorsWins(t *testing.T) {
	f := startTestFleet(t, Options{})
	statuses := make([]int, 2)
	var operators sync.WaitGroup
	for i := range statuses {
		config := SmallSiteConfig(2)
		config.Limits.IdleTimeoutMs += int64(i)
		operators.Go(func() {
			statuses[i], _ = operator.New(f.ControlAddresses).Replace(f.ctx, 1, config)
		})
	}
	operators.Wait()
	require.ElementsMatch(t, []int{http.StatusOK, http.StatusPreconditionFailed}, statuses)
	config, err := f.Operator.Read(f.ctx)
	require.NoError(t, err)
	winner := 0
	if statuses[1] == http.StatusOK {
		winner = 1
	}
	require.Equal(t, SmallSiteConfig(2).Limits.IdleTimeoutMs+int64(winner), config.Limits.IdleTimeoutMs)
}

func TestRouterLosesNoRequestAtSIGTERM(t *testing.T) {
	f := startTestFleet(t, Options{Routers: 4})
	kinds := SmallSiteKinds()
	f.startLoad(kinds)
	f.awaitResults(60)
	require.NoError(t, f.Routers[0].Terminate(graceTimeout))
	f.awaitResults(60)
	f.stopLoad()
	total := f.tallies.Total()
	require.Zero(t, total.Cut+total.Failed, total.String())
	f.requireNoViolation()
}

func TestWorkerFaultsBreakNoRule(t *testing.T) {
	f := startTestFleet(t, Options{})
	f.startLoad(SmallSiteKinds())
	f.awaitResults(20)
	faults := []llmworker.Fault{llmworker.FaultReset, llmworker.FaultDuplicateAnswer, llmworker.FaultMalformed, llmworker.FaultServerError,
		llmworker.FaultTruncate, llmworker.FaultReject, llmworker.FaultSilent}
	for _, fault := range faults {
		for _, worker := range []*llmworker.Worker{f.workers.Plain[0], f.workers.Plain[1], f.workers.Decode[0], f.workers.Decode[1],
			f.workers.Prefill[0]} {
			worker.FailNext(fault)
		}
		f.awaitResults(15)
	}
	f.stopLoad()
	total := f.tallies.Total()
	require.GreaterOrEqual(t, total.Served+total.Late, total.Sent*3/4, "%v\n%v", total, f.tallies)
	f.requireNoViolation()
}

func TestAcknowledgedChangeSurvivesKillOfAllControllers(t *testing.T) {
	f := startTestFleet(t, Options{})
	f.startLoad(SmallSiteKinds())
	f.awaitResults(20)
	f.replaceConfig(1, SmallSiteConfig(9))
	for _, controller := range f.Controllers {
		controller.Kill()
	}
	f.awaitResults(40)
	for _, controller := range f.Controllers {
		require.NoError(t, controller.Start())
	}
	config, err := f.Operator.Read(f.ctx)
	require.NoError(t, err)
	require.Equal(t, SmallSiteConfig(9), config)
	f.replaceConfig(9, SmallSiteConfig(10))
	f.awaitResults(20)
	f.stopLoad()
	f.requireAllServed()
	f.requireNoViolation()
}

func TestRouterKeepsServingWithoutItsAgent(t *testing.T) {
	f := startTestFleet(t, Options{})
	f.startLoad(SmallSiteKinds())
	f.awaitResults(20)
	f.Agents[0].Kill()
	f.awaitResults(60)
	require.NoError(t, f.Agents[0].Start())
	added := *kindNamed(KindPlainSafe)
	added.Route.Name, added.Route.PathPrefix = "r-added", "/added/"
	next := SmallSiteConfig(2)
	next.Routes = append(next.Routes, added.Route)
	f.replaceConfig(1, next)
	acknowledged := time.Now()
	f.awaitServed(&added)
	require.Less(t, time.Since(acknowledged), propagationTimeout)
	f.stopLoad()
	f.requireAllServed()
	f.requireNoViolation()
}
