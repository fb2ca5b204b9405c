// Package soak runs the fleet's programs as processes between stand-ins, while signals, restarts and changes of configuration
// come in series that overlap. A seed names a run's plan and load. What breaks a rule is told by package judge, by the
// operator's acknowledgements and by the processes' ends.
package soak

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"time"

	"weldscale/internal/pause"
	"weldscale/internal/standin/client"
	"weldscale/internal/standin/fleet"
	"weldscale/internal/standin/judge"
)

// Options describe a run.
type Options struct {
	Programs    string // directory of the built programs
	Seed        uint64
	Length      time.Duration // of the load, before what was stopped is back
	Routers     int
	Controllers int
	Kills       bool
	Quota       float64 // of a core for each process, full speed until it is spent; 0: none
	Log         bool    // pass the programs' logs on to standard error
}

// Report is what became of a run.
type Report struct {
	Seed      uint64
	Processes int
	Events    int
	Restarts  int
	Changes   int // acknowledged
	Unclear   int // changes without a clear answer
	Requests  client.Row
	Found     []string // what broke a rule
}

// Passed reports whether no rule was broken.
func (r *Report) Passed() bool { return len(r.Found) == 0 }

func (r *Report) String() string {
	text := fmt.Sprintf("seed %d: %d processes, %d events, %d restarts, %d changes, %d unclear; %v", r.Seed, r.Processes, r.Events,
		r.Restarts, r.Changes, r.Unclear, r.Requests)
	if r.Passed() {
		return text + "; passed"
	}
	return text + "; FAILED\n  " + strings.Join(r.Found, "\n  ")
}

const (
	startTimeout = 60 * time.Second
	// settledAfter is how long a machine must have run undisturbed before bounds of time hold for it.
	settledAfter = 3 * time.Second
	// ackWithin and propagation are the bounds of a change in calm.
	ackWithin   = 4 * time.Second
	propagation = 2 * time.Second
	// leastServed is the share that is served of the requests that find a router. A series of stops may close all doors at once.
	leastServed = 0.9
)

// run is one that is under way.
type run struct {
	Options
	bounds     judge.Bounds
	fleet      *fleet.Fleet
	supervisor *supervisor
	operations *operations
	books      *client.Books
	found      []string
}

// Run plays one seed. An error says that it could not be played.
func Run(ctx context.Context, options Options) (*Report, error) {
	r := &run{Options: options, bounds: judge.DefaultBounds, books: client.NewBooks()}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	events := Plan(r.Seed, Shape{Routers: r.Routers, Controllers: r.Controllers, Length: r.Length, Kills: r.Kills})
	r.play(ctx, events)
	return r.report(events), ctx.Err()
}

func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	started, err := fleet.Start(fleet.Options{Programs: r.Programs, Routers: r.Routers, Controllers: r.Controllers, Log: r.Log})
	if err != nil {
		return err
	}
	r.fleet, r.supervisor = started, newSupervisor(r.bounds.Grace)
	r.operations = &operations{operator: started.Operator, controls: started.Controls}
	err = r.begin(ctx)
	if err != nil {
		started.Close()
	}
	return err
}

func (r *run) begin(ctx context.Context) error {
	if _, err := r.fleet.AddSmallWorkers(); err != nil {
		return err
	}
	if err := r.operations.first(ctx); err != nil {
		return err
	}
	return r.fleet.AwaitReady(ctx, r.Routers)
}

// play runs the load through the events, and the checks of the calm after them.
func (r *run) play(ctx context.Context, events []Event) {
	loading, unload := context.WithCancel(ctx)
	defer unload()
	var crowds sync.WaitGroup
	for i, zone := range []string{"a", "b"} {
		crowd := &client.Crowd{Name: fmt.Sprintf("c%d", i), Zone: zone, Seed: r.Seed*2 + uint64(i), Pick: r.fleet.Entry.Pick,
			Judge: r.fleet.Judge, Kinds: Kinds(), OnResult: r.books.Add, Holds: true}
		crowds.Go(func() { crowd.Run(loading) })
	}
	throttled := r.throttle(ctx)
	defer throttled()
	r.act(ctx, events)
	r.supervisor.settle()
	r.checkCalm(ctx)
	unload()
	crowds.Wait()
}

// throttle begins to give the processes quotas, if there are any, and returns what ends it.
func (r *run) throttle(ctx context.Context) (end func()) {
	if r.Quota <= 0 {
		return func() {}
	}
	ctx, stop := context.WithCancel(ctx)
	var throttling sync.WaitGroup
	throttling.Go(func() { throttle(ctx, r.processes(), r.Quota) })
	return func() {
		stop()
		throttling.Wait()
	}
}

// processes are all processes of the fleet.
func (r *run) processes() []*fleet.Process {
	return slices.Concat(r.fleet.Controllers, r.fleet.Agents, r.fleet.Routers)
}

// act brings the events about, and returns at the end of the run's length.
func (r *run) act(ctx context.Context, events []Event) {
	began := time.Now()
	var changes sync.WaitGroup
	defer changes.Wait()
	for _, event := range append(slices.Clone(events), Event{At: r.Length, Action: actionNone}) {
		timer := time.NewTimer(time.Until(began.Add(event.At)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		r.bring(ctx, event, &changes)
	}
}

// actionNone marks the end of a run.
const actionNone = Action(255)

// bring brings one event about, without waiting for its end.
func (r *run) bring(ctx context.Context, event Event, changes *sync.WaitGroup) {
	switch event.Action {
	case ActionStopFrontend:
		stopped := time.Now()
		r.supervisor.stop(r.fleet.Agents[event.Target])
		if r.supervisor.stop(r.fleet.Routers[event.Target]) {
			r.fleet.Judge.RouterTerminated(r.fleet.Frontends()[event.Target], stopped)
		}
	case ActionReloadFrontend:
		r.supervisor.signal(r.fleet.Agents[event.Target], syscall.SIGHUP)
		r.supervisor.signal(r.fleet.Routers[event.Target], syscall.SIGHUP)
	case ActionKillFrontend:
		r.fleet.Judge.RouterKilled(r.fleet.Frontends()[event.Target], time.Now())
		r.supervisor.kill(r.fleet.Agents[event.Target])
		r.supervisor.kill(r.fleet.Routers[event.Target])
	case ActionStopController:
		r.supervisor.stop(r.fleet.Controllers[event.Target])
	case ActionReloadController:
		r.supervisor.signal(r.fleet.Controllers[event.Target], syscall.SIGHUP)
	case ActionKillController:
		r.supervisor.kill(r.fleet.Controllers[event.Target])
	case ActionChange:
		changes.Go(func() { r.operations.change(ctx) })
	case ActionRace:
		changes.Go(func() { r.operations.race(ctx) })
	}
}

// checkCalm waits until all machines are settled. Then a change has to be taken and to be in force everywhere in time.
func (r *run) checkCalm(ctx context.Context) {
	pause.For(ctx, settledAfter)
	r.supervisor.checkRunning(r.processes())
	config, probe := withProbe(configOf(r.operations.current.Version+1, 0))
	acking, cancel := context.WithTimeout(ctx, ackWithin)
	defer cancel()
	if !r.operations.take(acking, config) {
		r.found = append(r.found, "ACK: a change in calm was not acknowledged in time")
		return
	}
	acknowledged := time.Now()
	for i, frontend := range r.fleet.Frontends() {
		if !r.awaitServed(ctx, frontend, probe, acknowledged.Add(propagation), i) {
			r.found = append(r.found, fmt.Sprintf("CONFIG: %s does not act on version %d within %v", frontend, config.Version, propagation))
		}
	}
	r.operations.confirm(ctx)
}

// awaitServed tries a request at one router until it is served or the time is over.
func (r *run) awaitServed(ctx context.Context, frontend string, kind *client.Kind, until time.Time, number int) bool {
	crowd := &client.Crowd{Name: "probe", Judge: r.fleet.Judge, Pick: func(string, uint64, int) string { return frontend }}
	defer crowd.Close()
	for try := 0; ; try++ {
		result := crowd.Send(kind, fmt.Sprintf("probe-%d-%d", number, try), 1)
		if result.Outcome <= client.Late {
			return true
		}
		if result.Began.After(until) || ctx.Err() != nil {
			return false
		}
		pause.For(ctx, probePause)
	}
}

const probePause = 20 * time.Millisecond

func (r *run) report(events []Event) *Report {
	total := r.books.Total()
	report := &Report{
		Seed: r.Seed, Processes: len(r.processes()), Events: len(events),
		Restarts: r.supervisor.restarts, Changes: r.operations.acked, Unclear: r.operations.unclear, Requests: total,
		Found: slices.Concat(r.found, r.operations.problems, r.supervisor.problems),
	}
	for _, violation := range r.fleet.Judge.Violations() {
		report.Found = append(report.Found, violation.String())
	}
	if served, reached := total.Served+total.Late, total.Sent-total.Unsent; float64(served) < leastServed*float64(reached) {
		report.Found = append(report.Found, fmt.Sprintf("SERVED: %d of %d requests that found a router", served, reached))
	}
	return report
}

// lastLine is the last line of a log that is not empty.
func lastLine(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return lines[len(lines)-1]
}
