// Package soak runs the fleet's programs as processes between stand-ins, under overlapping series of signals, restarts and
// configuration changes. The seed determines the plan and the load of a run. Broken rules are found by package judge, from
// the answers to configuration changes and from the exits of processes.
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
	"weldscale/internal/standin/llmworker"
)

// Options describes a run.
type Options struct {
	Programs    string // directory of the built programs
	Seed        uint64
	Length      time.Duration // of the load, without the time until stopped processes are back
	Routers     int
	Controllers int
	Kills       bool
	Quota       float64 // share of a core for each process, which runs at full speed until it is used up; 0: no limit
	Spoil       float64 // share of the requests whose answers the workers break off or spoil
	Log         bool    // pass the programs' logs on to standard error
}

// Report is the result of a run.
type Report struct {
	Seed       uint64
	Processes  int
	Events     int
	Restarts   int
	Changes    int // acknowledged changes
	Unclear    int // changes without a clear answer
	Requests   client.Tally
	Violations []string // broken rules
}

// Passed reports whether no rule was broken.
func (r *Report) Passed() bool { return len(r.Violations) == 0 }

func (r *Report) String() string {
	text := fmt.Sprintf("seed %d: %d processes, %d events, %d restarts, %d changes, %d unclear; %v", r.Seed, r.Processes, r.Events,
		r.Restarts, r.Changes, r.Unclear, r.Requests)
	if r.Passed() {
		return text + "; passed"
	}
	return text + "; FAILED\n  " + strings.Join(r.Violations, "\n  ")
}

const (
	startTimeout = 60 * time.Second
	// settleTime is how long a machine must have run undisturbed before time limits apply to it.
	settleTime = 3 * time.Second
	// ackTimeout and propagationTimeout are the time limits of a change on a settled fleet.
	ackTimeout         = 4 * time.Second
	propagationTimeout = 2 * time.Second
	// minServedShare is the least share of served requests among those that find a router. It is below 1 because a series of
	// stops may make all routers refuse requests at once.
	minServedShare = 0.9
)

// run is the state of a run in progress.
type run struct {
	Options
	bounds     judge.Bounds
	fleet      *fleet.Fleet
	supervisor *supervisor
	changes    *configChanges
	workers    []*llmworker.Worker
	tallies    *client.Tallies
	violations []string
}

// Run executes one run and reports the rules it broke. An error means that the run could not start or that ctx ended.
func Run(ctx context.Context, options Options) (*Report, error) {
	r := &run{Options: options, bounds: judge.DefaultBounds, tallies: client.NewTallies()}
	if err := r.start(ctx); err != nil {
		return nil, err
	}
	defer r.fleet.Close()
	events := Plan(r.Seed, PlanOptions{Routers: r.Routers, Controllers: r.Controllers, Length: r.Length, Kills: r.Kills})
	r.play(ctx, events)
	return r.report(events), ctx.Err()
}

// start starts the processes and waits until the fleet serves.
func (r *run) start(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	started, err := fleet.Start(fleet.Options{Programs: r.Programs, Routers: r.Routers, Controllers: r.Controllers, Log: r.Log})
	if err != nil {
		return err
	}
	r.fleet, r.supervisor = started, newSupervisor(r.bounds.Grace)
	r.changes = &configChanges{operator: started.Operator, controls: started.ControlAddresses}
	err = r.prepare(ctx)
	if err != nil {
		started.Close()
	}
	return err
}

// prepare adds the workers and the first configuration, and waits until all routers are ready.
func (r *run) prepare(ctx context.Context) error {
	workers, err := r.fleet.AddSmallSiteWorkers()
	if err != nil {
		return err
	}
	r.workers = slices.Concat(workers.Prefill, workers.Decode, workers.Plain, workers.Other)
	r.spoilAnswers(r.Spoil)
	if err := r.changes.initialize(ctx); err != nil {
		return err
	}
	return r.fleet.AwaitReady(ctx, r.Routers)
}

// spoilAnswers makes the workers break off or spoil a share of their answers from now on.
func (r *run) spoilAnswers(share float64) {
	for i, worker := range r.workers {
		worker.FailRandomly(share, r.Seed<<faultSeedShift+uint64(i), llmworker.AnswerFaults...)
	}
}

// faultSeedShift leaves each worker of a run a seed of its own.
const faultSeedShift = 8

// play applies the load during the events and the checks that follow them.
func (r *run) play(ctx context.Context, events []Event) {
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var groups sync.WaitGroup
	for i, zone := range []string{"a", "b"} {
		group := &client.Group{Name: fmt.Sprintf("c%d", i), Zone: zone, Seed: r.Seed*2 + uint64(i), SelectRouter: r.fleet.Entry.SelectRouter,
			Judge: r.fleet.Judge, Kinds: Kinds(), OnResult: r.tallies.Add, ReuseAnyConnection: true}
		groups.Go(func() { group.Run(loadCtx) })
	}
	stopThrottle := r.throttle(ctx)
	defer stopThrottle()
	r.applyEvents(ctx, events)
	r.supervisor.awaitRestarts()
	r.checkSettled(ctx)
	stopLoad()
	groups.Wait()
}

// throttle starts to enforce the CPU quota, if there is one, and returns a function that ends it and waits.
func (r *run) throttle(ctx context.Context) (stop func()) {
	if r.Quota <= 0 {
		return func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	var throttling sync.WaitGroup
	throttling.Go(func() { throttle(ctx, r.processes(), r.Quota) })
	return func() {
		cancel()
		throttling.Wait()
	}
}

// processes returns all processes of the fleet.
func (r *run) processes() []*fleet.Process {
	return slices.Concat(r.fleet.Controllers, r.fleet.Agents, r.fleet.Routers)
}

// applyEvents applies each event at its time, and returns after r.Length once all changes are complete.
func (r *run) applyEvents(ctx context.Context, events []Event) {
	started := time.Now()
	var pendingChanges sync.WaitGroup
	defer pendingChanges.Wait()
	for _, event := range append(slices.Clone(events), Event{At: r.Length, Action: actionEnd}) {
		timer := time.NewTimer(time.Until(started.Add(event.At)))
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-timer.C:
		}
		r.apply(ctx, event, &pendingChanges)
	}
}

// actionEnd marks the end of a run.
const actionEnd = Action(255)

// apply applies one event without waiting for its completion.
func (r *run) apply(ctx context.Context, event Event, pendingChanges *sync.WaitGroup) {
	switch event.Action {
	case ActionStopFrontend:
		stopped := time.Now()
		r.supervisor.stop(r.fleet.Agents[event.Target])
		if r.supervisor.stop(r.fleet.Routers[event.Target]) {
			r.fleet.Judge.RouterTerminated(r.fleet.FrontendAddresses()[event.Target], stopped)
		}
	case ActionReloadFrontend:
		r.supervisor.signal(r.fleet.Agents[event.Target], syscall.SIGHUP)
		r.supervisor.signal(r.fleet.Routers[event.Target], syscall.SIGHUP)
	case ActionKillFrontend:
		r.fleet.Judge.RouterKilled(r.fleet.FrontendAddresses()[event.Target], time.Now())
		r.supervisor.kill(r.fleet.Agents[event.Target])
		r.supervisor.kill(r.fleet.Routers[event.Target])
	case ActionStopController:
		r.supervisor.stop(r.fleet.Controllers[event.Target])
	case ActionReloadController:
		r.supervisor.signal(r.fleet.Controllers[event.Target], syscall.SIGHUP)
	case ActionKillController:
		r.supervisor.kill(r.fleet.Controllers[event.Target])
	case ActionChange:
		pendingChanges.Go(func() { r.changes.change(ctx) })
	case ActionRace:
		pendingChanges.Go(func() { r.changes.race(ctx) })
	}
}

// checkSettled waits until all machines are settled. It then sends a change, which must be acknowledged and take effect on
// every router in time.
func (r *run) checkSettled(ctx context.Context) {
	r.spoilAnswers(0) // a router whose worker fails applies its configuration all the same
	pause.For(ctx, settleTime)
	r.supervisor.checkRunning(r.processes())
	config, probe := withProbe(newConfig(r.changes.current.Version+1, 0))
	ackCtx, cancel := context.WithTimeout(ctx, ackTimeout)
	defer cancel()
	if !r.changes.replace(ackCtx, config) {
		r.violations = append(r.violations, "ACK: a change on the settled fleet was not acknowledged in time")
		return
	}
	acknowledged := time.Now()
	for i, frontend := range r.fleet.FrontendAddresses() {
		if last, served := r.awaitServed(ctx, frontend, probe, acknowledged.Add(propagationTimeout), i); !served {
			r.violations = append(r.violations, fmt.Sprintf("CONFIG: %s does not apply version %d within %v: status %d, %s",
				frontend, config.Version, propagationTimeout, last.Status, last.Cause))
		}
	}
	r.changes.confirm(ctx)
}

// awaitServed retries a request at one router until it is served. It returns the last result, and false if a request that began
// after until has failed or ctx is done.
func (r *run) awaitServed(ctx context.Context, frontend string, kind *client.Kind, until time.Time, index int) (client.Result, bool) {
	group := &client.Group{Name: "probe", Judge: r.fleet.Judge, SelectRouter: func(string, uint64, int) string { return frontend }}
	defer group.Close()
	for attempt := 0; ; attempt++ {
		result := group.Send(kind, fmt.Sprintf("probe-%d-%d", index, attempt), 1)
		if result.Outcome <= client.Late {
			return result, true
		}
		if result.Began.After(until) || ctx.Err() != nil {
			return result, false
		}
		pause.For(ctx, probeInterval)
	}
}

const probeInterval = 20 * time.Millisecond

// report collects the figures and the broken rules of the run.
func (r *run) report(events []Event) *Report {
	total := r.tallies.Total()
	report := &Report{
		Seed: r.Seed, Processes: len(r.processes()), Events: len(events),
		Restarts: r.supervisor.restarts, Changes: r.changes.acknowledged, Unclear: r.changes.unclear, Requests: total,
		Violations: slices.Concat(r.violations, r.changes.problems, r.supervisor.problems),
	}
	for _, violation := range r.fleet.Judge.Violations() {
		report.Violations = append(report.Violations, violation.String())
	}
	if served, reached := total.Served+total.Late, total.Sent-total.Unsent; float64(served) < minServedShare*float64(reached) {
		report.Violations = append(report.Violations, fmt.Sprintf("SERVED: %d of %d requests that found a router", served, reached))
	}
	return report
}

// lastLine returns the last line of a log, apart from blank lines at its end.
func lastLine(log string) string {
	lines := strings.Split(strings.TrimSpace(log), "\n")
	return lines[len(lines)-1]
}
