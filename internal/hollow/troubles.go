package hollow

import (
	"context"
	"slices"
	"syscall"
	"time"

	"weldscale/internal/standin/fleet"
)

// Notice is how long the fleet took to get over a failure.
type Notice struct {
	What   string
	Took   Spread // over the members that it concerned
	Missed int    // members that had not got over it in noticeSpan
}

// What fails, and when a member is over it.
const (
	noticeReader = "reader of the list killed: until a change after it is there"
	noticeKilled = "controller killed: until its agents follow another"
	noticeFrozen = "controller frozen: until its agents follow another"
	noticeEnded  = "schedulers ended: until the others count them no more"
)

const (
	// noticeSpan bounds the wait for each.
	noticeSpan = 12 * time.Second
	// returnSpan is how long a controller that was started again gets to be back.
	returnSpan = 3 * time.Second
	// endedShare is the part of the schedulers that end at once: a rack.
	endedShare = 20
)

// playTroubles lets controllers and schedulers fail, one kind after the other.
func (r *round) playTroubles(ctx context.Context) error {
	for _, play := range []func(context.Context) error{r.killReader, r.killController, r.freezeController, r.endSchedulers} {
		if err := play(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (r *round) notice(what string, took []time.Duration, missed int) {
	notice := Notice{What: what, Took: spreadOf(took), Missed: missed}
	r.result.Notices = append(r.result.Notices, notice)
	r.say("%s: %v at worst", what, notice.Took.Worst.Round(time.Millisecond))
}

func (r *round) killReader(ctx context.Context) error {
	at := max(r.reader(ctx), 0)
	process := r.fleet.Controllers[at]
	process.Kill()
	r.changeList()
	took, missed := r.closeChangesWithin(ctx, noticeSpan)
	r.notice(noticeReader, took, missed)
	return r.bringBack(ctx, process)
}

func (r *round) closeChangesWithin(ctx context.Context, span time.Duration) ([]time.Duration, int) {
	for _, c := range r.notes.pending() {
		_ = within(ctx, span, func() bool { return isClosed(c.all) })
	}
	return r.notes.close()
}

func isClosed(channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
		return false
	}
}

func (r *round) bringBack(ctx context.Context, process *fleet.Process) error {
	if err := process.Start(); err != nil {
		return err
	}
	return wait(ctx, returnSpan)
}

func (r *round) killController(ctx context.Context) error {
	process, followers := r.busiest(ctx)
	took, missed := r.leaving(ctx, followers, func() error { process.Kill(); return nil })
	r.notice(noticeKilled, took, missed)
	return r.bringBack(ctx, process)
}

func (r *round) freezeController(ctx context.Context) error {
	process, followers := r.busiest(ctx)
	took, missed := r.leaving(ctx, followers, func() error { return process.Signal(syscall.SIGSTOP) })
	r.notice(noticeFrozen, took, missed)
	if err := process.Signal(syscall.SIGCONT); err != nil {
		return err
	}
	return wait(ctx, returnSpan)
}

// busiest returns the controller with most agents, the reader aside, and these.
func (r *round) busiest(ctx context.Context) (*fleet.Process, []*member) {
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
func (r *round) leaving(ctx context.Context, followers []*member, fail func() error) (took []time.Duration, missed int) {
	before := make(map[*member]string, len(followers))
	for _, m := range followers {
		before[m] = m.agent.Source()
	}
	failed := time.Now()
	if fail() != nil {
		return nil, len(followers)
	}
	_ = within(ctx, noticeSpan, func() bool {
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

// endSchedulers ends some members without a word and measures how long the others take to be told the new number.
func (r *round) endSchedulers(ctx context.Context) error {
	ending := max(1, len(r.members)/endedShare)
	ended := time.Now()
	for _, m := range r.members[:ending] {
		m.end(r.notes)
	}
	r.members = r.members[ending:]
	want := len(r.members) + r.options.Samples
	left := slices.Clone(r.members)
	var took []time.Duration
	_ = within(ctx, noticeSpan, func() bool {
		left = slices.DeleteFunc(left, func(m *member) bool {
			done := m.newest.Load().Routers == want
			if done {
				took = append(took, time.Since(ended))
			}
			return done
		})
		return len(left) == 0
	})
	r.notice(noticeEnded, took, len(left))
	return nil
}
