package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"
	"go.uber.org/zap"

	"weldscale/internal/fleetwire"
)

// Caller sends a message and decodes the answer. *transport.Client is one.
type Caller interface {
	Call(ctx context.Context, address, path string, request, reply any) error
}

// FollowerOptions sets up a follower.
type FollowerOptions struct {
	Self    fleetwire.Member
	Sources func() []string // the addresses that are known from outside: read anew for each poll
	Client  Caller
	// OnChange is called with each new snapshot whose version, controllers or number of routers changed, one at a time, by
	// the goroutine of Run. With nil, configurations and lists are not decoded.
	OnChange func(*Snapshot)
	// Relay is a hub that is given all that the follower learns; nil: none.
	Relay *Hub
	// MaxQuorumAge is the age beyond which a source is left, and from beyond which no first snapshot is taken; 0: the default.
	MaxQuorumAge time.Duration
	Wait         time.Duration // how long a source may hold a poll; 0: the default
	Grace        time.Duration // beyond the wait until a source counts as silent; 0: the default
	// Jitter spreads the polls of followers, in [0, 1); nil: at random.
	Jitter func() float64
	// BeforePoll may add to each request before it is sent; nil: nothing is added.
	BeforePoll func(*fleetwire.WatchRequest)
	// OnDoubts is called with the doubts of each answer, even if there are none, by the goroutine of Run; nil: nobody is told.
	OnDoubts func([]fleetwire.Doubt)
	Log      *zap.Logger // nil: nothing is logged
}

// Follower keeps a snapshot up to date by polling one of several sources. Run drives it; a simulation may do so instead, by
// Next, Answered and Failed, which take the time and use no clock, socket or goroutine.
type Follower struct {
	options FollowerOptions
	choice  *Choice
	known   []string // controllers that sources told of
	held    state
	// needsWhole is set after steps that didn't fit, until a whole list is there.
	needsWhole bool
	current    atomic.Pointer[Snapshot]
	heard      atomic.Pointer[time.Time] // the newest moment at which a majority was heard by a source
	source     atomic.Pointer[string]
}

// NewFollower returns a follower that holds nothing.
func NewFollower(options FollowerOptions) *Follower {
	if options.MaxQuorumAge == 0 {
		options.MaxQuorumAge = DefaultMaxQuorumAge
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	if options.Jitter == nil {
		options.Jitter = rand.Float64
	}
	follower := &Follower{options: options}
	follower.choice = NewChoice(ChoiceOptions{
		Node:         options.Self.Name,
		Wait:         options.Wait,
		Grace:        options.Grace,
		MaxQuorumAge: options.MaxQuorumAge,
		Jitter:       options.Jitter,
	})
	return follower
}

// Current returns the newest snapshot, or nil before the first.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// QuorumAge tells how long ago a majority was heard by a source, as far as this follower knows.
func (f *Follower) QuorumAge() time.Duration { return f.quorumAgeAt(time.Now()) }

func (f *Follower) quorumAgeAt(now time.Time) time.Duration {
	heard := f.heard.Load()
	if heard == nil {
		return unknownAge
	}
	return ageAt(now, *heard)
}

// Run polls until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		ask, request := f.NextPoll(time.Now())
		if !sleep(ctx, ask.Delay) || ask.Address == "" {
			continue
		}
		f.poll(ctx, ask, &request)
		f.noteSource()
	}
}

// NextPoll returns the next poll. Without an address there is nobody to ask, and NextPoll is to be called again after the delay.
func (f *Follower) NextPoll(now time.Time) (Ask, fleetwire.WatchRequest) {
	ask := f.choice.Next(now, f.known, f.options.Sources())
	request := fleetwire.WatchRequest{Have: f.held.snapshot.Version, WaitMs: ask.Wait.Milliseconds(), Member: f.options.Self,
		Steps: true}
	if f.options.Relay != nil && f.options.Relay.listBroken.Load() {
		f.needsWhole = true
	}
	if f.needsWhole {
		request.Have.Instances = fleetwire.ListVersion{}
	}
	return ask, request
}

// Source returns the address of the hub that serves, or nothing while none does.
func (f *Follower) Source() string {
	if source := f.source.Load(); source != nil {
		return *source
	}
	return ""
}

func (f *Follower) noteSource() {
	source := f.choice.Current()
	if source == f.Source() {
		return
	}
	f.source.Store(&source)
	f.options.Log.Info("watch source", zap.String("address", source))
}

// sleep reports whether ctx is still good after the delay.
func sleep(ctx context.Context, delay time.Duration) bool {
	if delay <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

func (f *Follower) poll(ctx context.Context, ask Ask, request *fleetwire.WatchRequest) {
	if f.options.BeforePoll != nil {
		f.options.BeforePoll(request)
	}
	callContext, cancel := context.WithTimeout(ctx, ask.Deadline)
	defer cancel()
	sent := time.Now()
	var reply fleetwire.WatchReply
	err := f.options.Client.Call(callContext, ask.Address, fleetwire.PathWatch, request, &reply)
	if err != nil {
		f.HandleFailure(time.Now(), ask)
		return
	}
	f.HandleReply(time.Now(), sent, ask, &reply)
}

// HandleFailure notes that a poll got no answer in time.
func (f *Follower) HandleFailure(now time.Time, ask Ask) { f.choice.Failed(now, ask) }

// HandleReply takes the answer to a poll that was sent at the given moment.
func (f *Follower) HandleReply(now, sent time.Time, ask Ask, reply *fleetwire.WatchReply) {
	if err := f.take(reply, sent, now); err != nil {
		f.options.Log.Warn("watch answer", zap.String("address", ask.Address), zap.Error(err))
		f.choice.Failed(now, ask)
		return
	}
	if f.options.OnDoubts != nil {
		f.options.OnDoubts(reply.Doubts)
	}
	age := fromMillis(reply.QuorumAgeMs) + transit(reply, sent, now)
	behind := reply.Now.ConfigRevision < f.held.snapshot.Version.ConfigRevision
	f.choice.Answered(now, ask, age, behind)
}

// transit bounds the time that an answer was on its way: all of the call that its source didn't hold it.
func transit(reply *fleetwire.WatchReply, sent, now time.Time) time.Duration {
	return max(now.Sub(sent)-fromMillis(reply.HeldMs), 0)
}

// take adopts what an answer brings. The first snapshot is taken only from a source in touch with the majority; after it,
// whatever is newer is taken from any, as what has once been chosen stays chosen.
func (f *Follower) take(reply *fleetwire.WatchReply, sent, now time.Time) error {
	onTheWay := transit(reply, sent, now)
	quorumAge := fromMillis(reply.QuorumAgeMs) + onTheWay
	inTouch := quorumAge <= f.options.MaxQuorumAge
	if !inTouch && f.current.Load() == nil {
		return nil
	}
	next := f.held
	confirmed := now.Add(-fromMillis(reply.ListAgeMs) - onTheWay)
	if err := f.merge(&next, reply, confirmed); err != nil {
		return err
	}
	if inTouch {
		f.setMembers(&next, reply)
	}
	f.noteHeard(now.Add(-quorumAge))
	f.adopt(&next, now)
	return nil
}

// merge adds the newer parts of an answer to a state.
func (f *Follower) merge(next *state, reply *fleetwire.WatchReply, confirmed time.Time) error {
	if reply.Config != nil && reply.Now.ConfigRevision > next.snapshot.Version.ConfigRevision {
		var config *fleetwire.Config
		if f.decodes() {
			if err := unpack(reply.Config, &config); err != nil {
				return err
			}
		}
		next.setConfig(reply.Now.ConfigRevision, config, reply.Config)
	}
	if err := f.mergeList(next, reply, confirmed); err != nil {
		return err
	}
	if reply.Now.Instances == next.snapshot.Version.Instances && confirmed.After(next.confirmed) {
		next.confirmed = confirmed
	}
	return nil
}

// mergeList takes a whole list, or steps from the list that is held. After steps that don't fit the whole list is asked for.
func (f *Follower) mergeList(next *state, reply *fleetwire.WatchReply, confirmed time.Time) error {
	held, now := next.snapshot.Version.Instances, reply.Now.Instances
	switch {
	case reply.Instances != nil && (held.Less(now) || f.needsWhole && held == now):
		list, err := f.wholeList(now, reply.Instances)
		if err != nil {
			return err
		}
		next.setList(list, confirmed)
		f.needsWhole = false
	case len(reply.Steps) > 0 && held.Less(now):
		list, err := f.steppedList(next.list(), reply.Steps)
		if err != nil || list.packed.version != now {
			f.needsWhole = true
			f.options.Log.Warn("steps of the list", zap.Error(err))
			return nil
		}
		next.setList(list, confirmed)
	}
	return nil
}

// wholeList returns a list that came whole.
func (f *Follower) wholeList(version fleetwire.ListVersion, packed fleetwire.Packed) (heldList, error) {
	list := heldList{packed: &packedList{version: version}}
	if f.options.Relay != nil {
		list.packed = newPackedList(version, packed)
	}
	if !f.decodes() {
		return list, nil
	}
	if err := unpack(packed, &list.decoded); err != nil {
		return heldList{}, err
	}
	list.digest = digestOf(list.decoded)
	return list, nil
}

// steppedList returns the list that steps lead to from the one held.
func (f *Follower) steppedList(held heldList, steps []fleetwire.ListStep) (heldList, error) {
	next := held
	if next.packed == nil {
		return heldList{}, eris.Wrap(ErrSteps, "no list is held")
	}
	var err error
	for _, step := range steps {
		if f.options.Relay != nil {
			next.packed, err = next.packed.with(step)
		} else {
			next.packed, err = next.packed.past(step)
		}
		if err != nil {
			return heldList{}, err
		}
	}
	if f.decodes() {
		next.decoded, next.digest, err = applySteps(next.decoded, next.digest, steps)
	}
	return next, err
}

func (f *Follower) decodes() bool { return f.options.OnChange != nil }

func (f *Follower) setMembers(next *state, reply *fleetwire.WatchReply) {
	if reply.Routers > 0 { // one that was just started can't tell, and what is held is better than nothing
		next.snapshot.Routers = reply.Routers
	}
	if len(reply.Controllers) == 0 || slices.Equal(reply.Controllers, f.known) {
		return
	}
	f.known = reply.Controllers
	next.snapshot.Controllers = reply.Controllers
}

// noteHeard keeps the newest moment at which a majority was heard.
func (f *Follower) noteHeard(moment time.Time) {
	if heard := f.heard.Load(); heard == nil || moment.After(*heard) {
		f.heard.Store(&moment)
	}
}

// adopt makes a state the current one and passes it on.
func (f *Follower) adopt(next *state, now time.Time) {
	previous := f.held.snapshot
	first := f.current.Load() == nil
	f.held = *next
	snapshot := next.snapshot
	snapshot.At = now
	snapshot.QuorumAge = f.quorumAgeAt(now)
	snapshot.ListAge = ageAt(now, next.confirmed)
	f.current.Store(&snapshot)
	if f.options.Relay != nil {
		f.options.Relay.relay(next)
	}
	changed := first || newer(snapshot.Version, previous.Version) || snapshot.Routers != previous.Routers ||
		!slices.Equal(snapshot.Controllers, previous.Controllers)
	if changed && f.options.OnChange != nil {
		f.options.OnChange(&snapshot)
	}
}

// relay takes over what a follower holds, without encoding it again.
func (h *Hub) relay(from *state) {
	h.update(func(next *state) {
		version := &from.snapshot.Version
		next.setConfig(version.ConfigRevision, from.snapshot.Config, from.packedConfig)
		if next.packedList != from.packedList {
			next.setList(from.list(), from.confirmed)
			h.listBroken.Store(false)
		}
		if version.Instances == next.snapshot.Version.Instances {
			next.confirmed = from.confirmed
		}
		next.snapshot.Controllers = from.snapshot.Controllers
		next.snapshot.Routers = from.snapshot.Routers
	})
}
