package hollow

import (
	"context"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"weldscale/internal/fleetclient"
	"weldscale/internal/standin/fleet"
)

// runPhases runs the phases in sequence. Each starts once every member has the changes of the one before, or after
// lastChangeSpan.
func (r *round) runPhases(ctx context.Context) error {
	span := r.options.Phase
	count := func(every time.Duration) int { return int(span / every) }
	configs, lists, restarts := count(r.options.ConfigEvery), count(r.options.ListEvery), count(r.options.RestartEvery)
	phases := []Phase{
		{Name: phaseIdle, Span: span},
		{Name: phaseConfigs, Span: span, Configs: configs},
		{Name: phaseLists, Span: span, Lists: lists},
		{Name: phaseAll, Span: span, Configs: configs, Lists: lists, Restarts: restarts},
	}
	var configTook, listTook []time.Duration
	for _, phase := range phases {
		if err := r.runPhase(ctx, &phase); err != nil {
			return err
		}
		took, missed := r.awaitChanges(ctx)
		r.result.Missed += missed
		switch phase.Name {
		case phaseConfigs:
			configTook = append(configTook, took...)
		case phaseLists:
			listTook = append(listTook, took...)
		}
		r.result.Phases = append(r.result.Phases, phase)
		r.reportProgress("%s played", phase.Name)
	}
	r.result.Config, r.result.List = newDurationStats(configTook), newDurationStats(listTook)
	return nil
}

// awaitChanges waits up to lastChangeSpan for all members to see the open changes. It returns what changeTracker.finish
// returns.
func (r *round) awaitChanges(ctx context.Context) ([]time.Duration, int) {
	limit := time.After(lastChangeSpan)
	for _, c := range r.tracker.pending() {
		select {
		case <-c.allSeen:
		case <-limit:
			return r.tracker.finish()
		case <-ctx.Done():
			return r.tracker.finish()
		}
	}
	return r.tracker.finish()
}

// pending returns the open changes.
func (t *changeTracker) pending() []*change {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	return slices.Clone(t.open)
}

func (r *round) runPhase(ctx context.Context, phase *Phase) error {
	r.awaitReader(ctx)
	before, err := r.measure(ctx)
	if err != nil {
		return err
	}
	if err := r.applyChanges(ctx, phase); err != nil {
		return err
	}
	after, err := r.measure(ctx)
	if err != nil {
		return err
	}
	phase.setCosts(before, after, len(r.members))
	return nil
}

// applyChanges makes the changes of a phase and sets the phase's counts to the number actually made.
func (r *round) applyChanges(ctx context.Context, phase *Phase) error {
	var changers sync.WaitGroup
	failures := make([]error, 3)
	start := func(i int, count *int, do func(i int) error) {
		planned := *count
		*count = 0
		changers.Go(func() {
			failures[i] = pace(ctx, phase.Span, planned, func(at int) error {
				*count++
				return do(at)
			})
		})
	}
	start(0, &phase.Configs, func(int) error { return r.changeConfig(ctx) })
	start(1, &phase.Lists, func(int) error { r.changeList(); return nil })
	start(2, &phase.Restarts, r.restartMember)
	changers.Wait()
	for _, err := range failures {
		if err != nil {
			return err
		}
	}
	return sleep(ctx, phaseTail)
}

// phaseTail extends the measurement so that it includes the effect of a phase's last change.
const phaseTail = 700 * time.Millisecond

// measurement holds the cumulative resource usage of all processes at one time.
type measurement struct {
	at          time.Time
	reader      int // index of the controller that reads the list, -1 if none is known
	controllers []usage
	agents      []usage
	routers     []usage
	harness     usage
	read        int64 // bytes read by hollow agents from controllers
	written     int64 // bytes written by hollow agents to controllers
	calls       int   // to the platform's list
	limited     int   // calls rejected by the platform's rate limit
	roles       int   // role changes so far
}

func (r *round) measure(ctx context.Context) (*measurement, error) {
	out := &measurement{reader: r.reader(ctx), at: time.Now(),
		read: r.agentTraffic.read.Load(), written: r.agentTraffic.written.Load()}
	out.calls, out.limited = r.fleet.Platform.Calls()
	out.roles = r.rolesTaken()
	var err error
	if out.harness, err = readUsage(os.Getpid()); err != nil {
		return nil, err
	}
	for _, class := range []struct {
		into      *[]usage
		processes []*fleet.Process
	}{{&out.controllers, r.fleet.Controllers}, {&out.agents, r.fleet.Agents}, {&out.routers, r.fleet.Routers}} {
		for _, process := range class.processes {
			used, err := readUsage(process.PID())
			if err != nil {
				return nil, err
			}
			*class.into = append(*class.into, used)
		}
	}
	return out, nil
}

// rolesTaken counts the lines of the controllers' logs that report a role as taken.
func (r *round) rolesTaken() int {
	taken := 0
	for _, controller := range r.fleet.Controllers {
		taken += strings.Count(controller.Log(), "role taken")
	}
	return taken
}

// readerRole is the role of the controller that reads the platform's list.
const readerRole = "instances/reader"

// awaitReader waits until a controller holds the reader role, which may be moving between controllers on a busy machine.
func (r *round) awaitReader(ctx context.Context) {
	const span = 20 * time.Second
	if waitUntil(ctx, span, func() bool { return r.reader(ctx) >= 0 }) != nil {
		r.reportProgress("no controller reads the list")
	}
}

// reader returns the index of the controller that reads the platform's list, or -1.
func (r *round) reader(ctx context.Context) int {
	const surveyTimeout = 2 * time.Second
	ctx, cancel := context.WithTimeout(ctx, surveyTimeout)
	defer cancel()
	internals := r.fleet.InternalAddresses()
	for _, probe := range fleetclient.Survey(ctx, internals) {
		if probe.Err == nil && slices.Contains(probe.Status.Held, readerRole) {
			return slices.Index(internals, probe.Address)
		}
	}
	return -1
}

// setCosts computes the costs of a phase from the measurements before and after it.
func (p *Phase) setCosts(before, after *measurement, members int) {
	p.Span = after.at.Sub(before.at)
	var others []Cost
	for i := range after.controllers {
		cost := costOf(before.controllers[i], after.controllers[i], p.Span)
		if i == after.reader {
			p.Reader = cost
		} else {
			others = append(others, cost)
		}
	}
	p.Controller = meanCost(others)
	p.Agent = meanCost(costsOf(before.agents, after.agents, p.Span))
	p.Router = meanCost(costsOf(before.routers, after.routers, p.Span))
	p.Member = costOf(before.harness, after.harness, p.Span).dividedBy(members)
	p.Member.In = perSecond(float64(after.read-before.read), p.Span) / float64(members)
	p.Calls = perSecond(float64(after.calls-before.calls), p.Span)
	p.Limited = perSecond(float64(after.limited-before.limited), p.Span)
	p.RolesTaken = after.roles - before.roles
	p.Member.Out = perSecond(float64(after.written-before.written), p.Span) / float64(members)
}

func costsOf(before, after []usage, span time.Duration) []Cost {
	var costs []Cost
	for i := range after {
		costs = append(costs, costOf(before[i], after[i], span))
	}
	return costs
}

func costOf(before, after usage, span time.Duration) Cost {
	used := after.minus(before)
	return Cost{
		CPU:    perSecond(used.CPU.Seconds(), span),
		In:     perSecond(float64(used.Read), span),
		Out:    perSecond(float64(used.Written), span),
		Memory: float64(used.Resident),
	}
}

func (c Cost) dividedBy(count int) Cost {
	by := float64(count)
	return Cost{CPU: c.CPU / by, In: c.In / by, Out: c.Out / by, Memory: c.Memory / by}
}

func (c Cost) plus(other Cost) Cost {
	return Cost{CPU: c.CPU + other.CPU, In: c.In + other.In, Out: c.Out + other.Out, Memory: c.Memory + other.Memory}
}

func meanCost(costs []Cost) Cost {
	if len(costs) == 0 {
		return Cost{}
	}
	var sum Cost
	for _, cost := range costs {
		sum = sum.plus(cost)
	}
	return sum.dividedBy(len(costs))
}
