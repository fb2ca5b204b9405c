package hollow

import (
	"context"
	"slices"
	"syscall"
	"time"

	"weldscale/internal/standin/fleet"
)

// Recovery holds how long the fleet took to recover from a failure.
type Recovery struct {
	Failure string
	Took    DurationStats // over the affected members
	Missed  int           // affected members that had not recovered within recoveryTimeout
}

// The injected failures, each with the condition under which a member has recovered.
const (
	failureReaderKilled      = "reader of the list killed: until a change after it is there"
	failureKilled            = "controller killed: until its agents follow another"
	failureFrozen            = "controller frozen: until its agents follow another"
	failureSchedulersStopped = "schedulers ended: until the others count them no more"
)

const (
	// recoveryTimeout limits the wait for the recovery from each failure.
	recoveryTimeout = 12 * time.Second
	// rejoinSpan is the time given to a restarted or resumed controller to rejoin.
	rejoinSpan = 3 * time.Second
	// stoppedDivisor sets the number of schedulers that stop at once: 1 in 20, as in the loss of a rack.
	stoppedDivisor = 20
)

// injectFailures injects the failures one after the other and records each recovery.
func (r *round) injectFailures(ctx context.Context) error {
	for _, inject := range []func(context.Context) error{r.killReader, r.killController, r.freezeController, r.stopSchedulers} {
		if err := inject(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *round) recordRecovery(failure string, took []time.Duration, missed int) {
	recovery := Recovery{Failure: failure, Took: newDurationStats(took), Missed: missed}
	r.result.Recoveries = append(r.result.Recoveries, recovery)
	r.reportProgress("%s: %v at worst", failure, recovery.Took.Worst.Round(time.Millisecond))
}

func (r *round) killReader(ctx context.Context) error {
	index := max(r.reader(ctx), 0)
	process := r.fleet.Controllers[index]
	process.Kill()
	r.changeList()
	took, missed := r.awaitChangesWithin(ctx, recoveryTimeout)
	r.recordRecovery(failureReaderKilled, took, missed)
	return r.restartController(ctx, process)
}

func (r *round) awaitChangesWithin(ctx context.Context, span time.Duration) ([]time.Duration, int) {
	for _, c := range r.tracker.pending() {
		_ = waitUntil(ctx, span, func() bool { return isClosed(c.allSeen) })
	}
	return r.tracker.finish()
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func (r *round) restartController(ctx context.Context, process *fleet.Process) error {
	if err := process.Start(); err != nil {
		return err
	}
	return sleep(ctx, rejoinSpan)
}

func (r *round) killController(ctx context.Context) error {
	process, followers := r.mostFollowed(ctx)
	took, missed := r.measureFailover(ctx, followers, func() error { process.Kill(); return nil })
	r.recordRecovery(failureKilled, took, missed)
	return r.restartController(ctx, process)
}

func (r *round) freezeController(ctx context.Context) error {
	process, followers := r.mostFollowed(ctx)
	took, missed := r.measureFailover(ctx, followers, func() error { return process.Signal(syscall.SIGSTOP) })
	r.recordRecovery(failureFrozen, took, missed)
	if err := process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	return sleep(ctx, rejoinSpan)
}

// mostFollowed returns the controller with the most agents, not counting the reader, and the members of these agents.
func (r *round) mostFollowed(ctx context.Context) (*fleet.Process, []*member) {
	reader := r.reader(ctx)
	most := 0
	followers := make([][]*member, len(r.fleet.Controllers))
	for i, address := range r.fleet.InternalAddresses() {
		followers[i] = slices.DeleteFunc(slices.Clone(r.members), func(m *member) bool { return m.agent.Source() != address })
		if i != reader && (len(followers[i]) > len(followers[most]) || most == reader) {
			most = i
		}
	}
	return r.fleet.Controllers[most], followers[most]
}

// measureFailover makes a controller fail and measures how long each of its agents takes to follow another one. If the failure
// can't be injected, all followers count as missed.
func (r *round) measureFailover(ctx context.Context, followers []*member, fail func() error) (took []time.Duration, missed int) {
	before := make(map[*member]string, len(followers))
	for _, m := range followers {
		before[m] = m.agent.Source()
	}
	failed := time.Now()
	if fail() != nil {
		return nil, len(followers)
	}
	_ = waitUntil(ctx, recoveryTimeout, func() bool {
		for m, source := range before {
			if now := m.agent.Source(); now != "" && now != source {
				took = append(took, time.Since(failed))
				delete(before, m)
			}
		}
		return len(before) == 0
	})
	return took, len(before)
}

// stopSchedulers stops some members without notice to the controllers and measures how long the others take to receive the new
// number of routers.
func (r *round) stopSchedulers(ctx context.Context) error {
	stopping := max(1, len(r.members)/stoppedDivisor)
	stopped := time.Now()
	for _, m := range r.members[:stopping] {
		m.shutDown(r.tracker)
	}
	r.members = r.members[stopping:]
	wantRouters := len(r.members) + r.options.Samples
	remaining := slices.Clone(r.members)
	var took []time.Duration
	_ = waitUntil(ctx, recoveryTimeout, func() bool {
		remaining = slices.DeleteFunc(remaining, func(m *member) bool {
			done := m.latest.Load().Routers == wantRouters
			if done {
				took = append(took, time.Since(stopped))
			}
			return done
		})
		return len(remaining) == 0
	})
	r.recordRecovery(failureSchedulersStopped, took, len(remaining))
	return nil
}
