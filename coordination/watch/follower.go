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

// Caller sends a request to an address and decodes the reply. *transport.Client implements it.
type Caller interface {
	Call(ctx context.Context, address, path string, request, reply any) error
}

// FollowerOptions configures a Follower.
type FollowerOptions struct {
	Self    fleetwire.Member
	Sources func() []string // returns the configured addresses of sources; called before each poll
	Client  Caller          // sends the polls of Run
	// OnChange is called on the goroutine of Run with each snapshot whose version, controllers or number of routers changed.
	// If it is nil, configurations and lists are not decoded.
	OnChange func(*Snapshot)
	// Relay is a hub that receives every update of the follower; nil: none.
	Relay *Hub
	// MaxQuorumAge is the quorum age beyond which the follower leaves a source, and beyond which it accepts no first snapshot;
	// 0: DefaultMaxQuorumAge.
	MaxQuorumAge time.Duration
	Wait         time.Duration // how long a source may hold a poll; 0: DefaultMaxWait
	Grace        time.Duration // time beyond Wait after which a source counts as failed; 0: DefaultGrace
	// Jitter returns a value in [0, 1) that spreads the polls of followers; nil: random values.
	Jitter func() float64
	// BeforePoll is called on the goroutine of Run and may add to each request before it is sent; nil: no callback.
	BeforePoll func(*fleetwire.WatchRequest)
	// OnDoubts is called on the goroutine of Run with the doubts in each reply, even if there are none; nil: no callback.
	OnDoubts func([]fleetwire.Doubt)
	Log      *zap.Logger // nil: no logging
}

// Follower keeps a snapshot up to date by polling one of several sources. Run drives it. A simulation may instead call
// NextPoll, HandleReply and HandleFailure, which take the time as an argument and use no clock, socket or goroutine. Current,
// QuorumAge and Source are safe for concurrent use.
type Follower struct {
	options          FollowerOptions
	selector         *SourceSelector
	knownControllers []string // addresses of the controllers, from the replies of sources
	state            state
	// needsFullList is set when steps could not be applied, until a full list arrives.
	needsFullList bool
	current       atomic.Pointer[Snapshot]
	quorumContact atomic.Pointer[time.Time] // the latest moment at which a source had contact with a majority
	source        atomic.Pointer[string]
}

// NewFollower returns a follower without a snapshot.
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
	follower.selector = NewSourceSelector(SourceSelectorOptions{
		Node:         options.Self.Name,
		Wait:         options.Wait,
		Grace:        options.Grace,
		MaxQuorumAge: options.MaxQuorumAge,
		Jitter:       options.Jitter,
	})
	return follower
}

// Current returns the newest snapshot, or nil before the first one.
func (f *Follower) Current() *Snapshot { return f.current.Load() }

// QuorumAge returns the time since the latest contact of any source with a majority of the replicas, as far as the replies to
// this follower tell it.
func (f *Follower) QuorumAge() time.Duration { return f.quorumAgeAt(time.Now()) }

func (f *Follower) quorumAgeAt(now time.Time) time.Duration {
	contact := f.quorumContact.Load()
	if contact == nil {
		return unknownAge
	}
	return ageAt(now, *contact)
}

// Run polls until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	for ctx.Err() == nil {
		poll, request := f.NextPoll(time.Now())
		if !sleep(ctx, poll.Delay) || poll.Address == "" {
			continue
		}
		f.poll(ctx, poll, &request)
		f.updateSource()
	}
}

// NextPoll returns the next poll and its request. A poll without an address means that no source is known; the caller must then
// call NextPoll again after the delay.
func (f *Follower) NextPoll(now time.Time) (Poll, fleetwire.WatchRequest) {
	poll := f.selector.NextPoll(now, f.knownControllers, f.options.Sources())
	request := fleetwire.WatchRequest{Have: f.state.snapshot.Version, WaitMs: poll.Wait.Milliseconds(), Member: f.options.Self,
		Steps: true}
	if f.options.Relay != nil && f.options.Relay.listCorrupt.Load() {
		f.needsFullList = true
	}
	if f.needsFullList {
		request.Have.Instances = fleetwire.ListVersion{}
	}
	return poll, request
}

// Source returns the address of the source in use, or an empty string if there is none.
func (f *Follower) Source() string {
	if source := f.source.Load(); source != nil {
		return *source
	}
	return ""
}

// updateSource publishes the source in use to Source and logs a change.
func (f *Follower) updateSource() {
	source := f.selector.Current()
	if source == f.Source() {
		return
	}
	f.source.Store(&source)
	f.options.Log.Info("watch source", zap.String("address", source))
}

// sleep waits for the delay and returns true, or returns false as soon as ctx is done.
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

// poll sends one poll and handles its reply or failure.
func (f *Follower) poll(ctx context.Context, poll Poll, request *fleetwire.WatchRequest) {
	if f.options.BeforePoll != nil {
		f.options.BeforePoll(request)
	}
	callContext, cancel := context.WithTimeout(ctx, poll.Deadline)
	defer cancel()
	sent := time.Now()
	var reply fleetwire.WatchReply
	err := f.options.Client.Call(callContext, poll.Address, fleetwire.PathWatch, request, &reply)
	if err != nil {
		f.HandleFailure(time.Now(), poll)
		return
	}
	f.HandleReply(time.Now(), sent, poll, &reply)
}

// HandleFailure records that a poll failed or got no reply in time.
func (f *Follower) HandleFailure(now time.Time, poll Poll) { f.selector.RecordFailure(now, poll) }

// HandleReply processes the reply to a poll that was sent at the given moment. A reply that cannot be decoded counts as a
// failure of its source.
func (f *Follower) HandleReply(now, sent time.Time, poll Poll, reply *fleetwire.WatchReply) {
	if err := f.apply(reply, sent, now); err != nil {
		f.options.Log.Warn("watch answer", zap.String("address", poll.Address), zap.Error(err))
		f.selector.RecordFailure(now, poll)
		return
	}
	if f.options.OnDoubts != nil {
		f.options.OnDoubts(reply.Doubts)
	}
	age := fromMillis(reply.QuorumAgeMs) + transit(reply, sent, now)
	behind := reply.Now.ConfigRevision < f.state.snapshot.Version.ConfigRevision
	f.selector.RecordReply(now, poll, age, behind)
}

// transit returns an upper bound of the time that a reply spent in transit: the duration of the call without the time that the
// source held the poll.
func transit(reply *fleetwire.WatchReply, sent, now time.Time) time.Duration {
	return max(now.Sub(sent)-fromMillis(reply.HeldMs), 0)
}

// apply applies a reply to the state. The first snapshot is accepted only from a source with recent quorum contact. After that,
// newer versions are accepted from any source, because a committed version stays committed.
func (f *Follower) apply(reply *fleetwire.WatchReply, sent, now time.Time) error {
	transitTime := transit(reply, sent, now)
	quorumAge := fromMillis(reply.QuorumAgeMs) + transitTime
	quorumFresh := quorumAge <= f.options.MaxQuorumAge
	if !quorumFresh && f.current.Load() == nil {
		return nil
	}
	next := f.state
	confirmedAt := now.Add(-fromMillis(reply.ListAgeMs) - transitTime)
	if err := f.merge(&next, reply, confirmedAt); err != nil {
		return err
	}
	if quorumFresh {
		f.setMembers(&next, reply)
	}
	f.recordQuorumContact(now.Add(-quorumAge))
	f.install(&next, now)
	return nil
}

// merge adds the newer parts of a reply to a state. confirmedAt is when the platform confirmed the source's list.
func (f *Follower) merge(next *state, reply *fleetwire.WatchReply, confirmedAt time.Time) error {
	if reply.Config != nil && reply.Now.ConfigRevision > next.snapshot.Version.ConfigRevision {
		var config *fleetwire.Config
		if f.decodes() {
			if err := unpack(reply.Config, &config); err != nil {
				return err
			}
		}
		next.setConfig(reply.Now.ConfigRevision, config, reply.Config)
	}
	if err := f.mergeList(next, reply, confirmedAt); err != nil {
		return err
	}
	if reply.Now.Instances == next.snapshot.Version.Instances && confirmedAt.After(next.confirmedAt) {
		next.confirmedAt = confirmedAt
	}
	return nil
}

// mergeList stores a full list, or applies steps to the current one. If the steps cannot be applied, the next poll requests the
// full list.
func (f *Follower) mergeList(next *state, reply *fleetwire.WatchReply, confirmedAt time.Time) error {
	current, now := next.snapshot.Version.Instances, reply.Now.Instances
	switch {
	case reply.Instances != nil && (current.Less(now) || f.needsFullList && current == now):
		list, err := f.newFullList(now, reply.Instances)
		if err != nil {
			return err
		}
		next.setList(list, confirmedAt)
		f.needsFullList = false
	case len(reply.Steps) > 0 && current.Less(now):
		list, err := f.advanceList(next.list(), reply.Steps)
		if err != nil || list.packed.version != now {
			f.needsFullList = true
			f.options.Log.Warn("steps of the list", zap.Error(err))
			return nil
		}
		next.setList(list, confirmedAt)
	}
	return nil
}

// newFullList returns the list in a full encoding, decoded if the follower decodes, and ready to be relayed if it has a relay.
func (f *Follower) newFullList(version fleetwire.ListVersion, packed fleetwire.Packed) (instanceList, error) {
	list := instanceList{packed: &packedList{version: version}}
	if f.options.Relay != nil {
		list.packed = newPackedList(version, packed)
	}
	if !f.decodes() {
		return list, nil
	}
	if err := unpack(packed, &list.decoded); err != nil {
		return instanceList{}, err
	}
	list.digest = listDigest(list.decoded)
	return list, nil
}

// advanceList returns the list that results from applying steps to the given one.
func (f *Follower) advanceList(current instanceList, steps []fleetwire.ListStep) (instanceList, error) {
	next := current
	if next.packed == nil {
		return instanceList{}, eris.Wrap(ErrStepMismatch, "there is no list yet")
	}
	var err error
	for _, step := range steps {
		if f.options.Relay != nil {
			next.packed, err = next.packed.withStep(step)
		} else {
			next.packed, err = next.packed.advanceVersion(step)
		}
		if err != nil {
			return instanceList{}, err
		}
	}
	if f.decodes() {
		next.decoded, next.digest, err = applySteps(next.decoded, next.digest, steps)
	}
	return next, err
}

// decodes reports whether the follower decodes configurations and lists. A follower that only relays them does not.
func (f *Follower) decodes() bool { return f.options.OnChange != nil }

// setMembers stores the controllers and the number of routers of a reply, if it has them.
func (f *Follower) setMembers(next *state, reply *fleetwire.WatchReply) {
	if reply.Routers > 0 { // a source that has just started does not know it yet; keep the previous number
		next.snapshot.Routers = reply.Routers
	}
	if len(reply.Controllers) == 0 || slices.Equal(reply.Controllers, f.knownControllers) {
		return
	}
	f.knownControllers = reply.Controllers
	next.snapshot.Controllers = reply.Controllers
}

// recordQuorumContact stores the moment of a source's contact with a majority if it is the latest one.
func (f *Follower) recordQuorumContact(moment time.Time) {
	if contact := f.quorumContact.Load(); contact == nil || moment.After(*contact) {
		f.quorumContact.Store(&moment)
	}
}

// install makes a state the current one, relays it, and calls OnChange if the version, controllers or number of routers
// changed.
func (f *Follower) install(next *state, now time.Time) {
	previous := f.state.snapshot
	first := f.current.Load() == nil
	f.state = *next
	snapshot := next.snapshot
	snapshot.At = now
	snapshot.QuorumAge = f.quorumAgeAt(now)
	snapshot.ListAge = ageAt(now, next.confirmedAt)
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

// relay copies the state of a follower to the hub, without encoding it again.
func (h *Hub) relay(from *state) {
	h.update(func(next *state) {
		version := &from.snapshot.Version
		next.setConfig(version.ConfigRevision, from.snapshot.Config, from.packedConfig)
		if next.packedList != from.packedList {
			next.setList(from.list(), from.confirmedAt)
			h.listCorrupt.Store(false)
		}
		if version.Instances == next.snapshot.Version.Instances {
			next.confirmedAt = from.confirmedAt
		}
		next.snapshot.Controllers = from.snapshot.Controllers
		next.snapshot.Routers = from.snapshot.Routers
	})
}
