package hollow

import (
	"context"
	"slices"
	"syscall"
	"time"

	"weldscale/internal/standin/fleet"
)

// Recovery is how long the fleet took to get over a failure.
type Recovery struct {
	Failure string
	Took    DurationStats // over the members that it concerned
	Missed  int           // members that had not got over it in recoveryTimeout
}

// What fails, and when a member is over it.
const (
	failureReaderKilled      = "reader of the list killed: until a change after it is there"
	failureKilled            = "controller killed: until its agents follow another"
	failureFrozen            = "controller frozen: until its agents follow another"
	failureSchedulersStopped = "schedulers ended: until the others count them no more"
)

const (
	// recoveryTimeout bounds the wait for each.
	recoveryTimeout = 12 * time.Second
	// rejoinSpan is how long a controller that was started again gets to be back.
	rejoinSpan = 3 * time.Second
	// stoppedDivisor is the part of the schedulers that end at once: a rack.
	stoppedDivisor = 20
)

// injectFailures lets controllers and schedulers fail, one kind after the other.
func (r *round) injectFailures(ctx context.Context) error {
	for _, play := range []func(context.Context) error{r.killReader, r.killController, r.freezeController, r.stopSchedulers} {
		if err := play(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *round) recordRecovery(what string, took []time.Duration, missed int) {
	recovery := Recovery{Failure: what, Took: newDurationStats(took), Missed: missed}
	r.result.Recoveries = append(r.result.Recoveries, recovery)
	r.reportProgress("%s: %v at worst", what, recovery.Took.Worst.Round(time.Millisecond))
}

func (r *round) killReader(ctx context.Context) error {
	at := max(r.reader(ctx), 0)
	process := r.fleet.Controllers[at]
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

// mostFollowed returns the controller with most agents, the reader aside, and these.
func (r *round) mostFollowed(ctx context.Context) (*fleet.Process, []*member) {
	reader := r.reader(ctx)
	most := 0
	followers := make([][]*member, len(r.fleet.Controllers))
	for i, address := range r.fleet.Internals() {
		followers[i] = slices.DeleteFunc(slices.Clone(r.members), func(m *member) bool { return m.agent.Source() != address })
		if i != reader && (len(followers[i]) > len(followers[most]) || most == reader) {
			most = i
		}
	}
	return r.fleet.Controllers[most], followers[most]
}

// leaving makes a controller fail and measures how long its agents take until each follows another one.
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

// stopSchedulers ends some members without a word and measures how long the others take to be told the new number.
func (r *round) stopSchedulers(ctx context.Context) error {
	stopping := max(1, len(r.members)/stoppedDivisor)
	ended := time.Now()
	for _, m := range r.members[:stopping] {
		m.shutDown(r.tracker)
	}
	r.members = r.members[stopping:]
	want := len(r.members) + r.options.Samples
	left := slices.Clone(r.members)
	var took []time.Duration
	_ = waitUntil(ctx, recoveryTimeout, func() bool {
		left = slices.DeleteFunc(left, func(m *member) bool {
			done := m.latest.Load().Routers == want
			if done {
				took = append(took, time.Since(ended))
			}
			return done
		})
		return len(left) == 0
	})
	r.recordRecovery(failureSchedulersStopped, took, len(left))
	return nil
}
