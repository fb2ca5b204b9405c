package watch

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"

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
	// Hint may add to each request before it is sent; nil: nothing is added.
	Hint func(*fleetwire.WatchRequest)
	Log  *zap.Logger // nil: nothing is logged
}

// Follower keeps a snapshot up to date by polling one of several sources. Run drives it; a simulation may do so instead, by
// Next, Answered and Failed, which take the time and use no clock, socket or goroutine.
type Follower struct {
	options FollowerOptions
	choice  *Choice
	known   []string // controllers that sources told of
	held    state
	current atomic.Pointer[Snapshot]
	heard   atomic.Pointer[time.Time] // the newest moment at which a majority was heard by a source
	source  atomic.Pointer[string]
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
		ask, request := f.Next(time.Now())
		if !sleep(ctx, ask.Delay) || ask.Address == "" {
			continue
		}
		f.poll(ctx, ask, &request)
		f.noteSource()
	}
}

// Next returns the next poll. Without an address there is nobody to ask, and Next is to be called again after the delay.
func (f *Follower) Next(now time.Time) (Ask, fleetwire.WatchRequest) {
	ask := f.choice.Next(now, f.known, f.options.Sources())
	request := fleetwire.WatchRequest{Have: f.held.snapshot.Version, WaitMs: ask.Wait.Milliseconds(), Member: f.options.Self}
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
	if f.options.Hint != nil {
		f.options.Hint(request)
	}
	callContext, cancel := context.WithTimeout(ctx, ask.Deadline)
	defer cancel()
	sent := time.Now()
	var reply fleetwire.WatchReply
	err := f.options.Client.Call(callContext, ask.Address, fleetwire.PathWatch, request, &reply)
	if err != nil {
		f.Failed(time.Now(), ask)
		return
	}
	f.Answered(time.Now(), sent, ask, &reply)
}

// Failed notes that a poll got no answer in time.
func (f *Follower) Failed(now time.Time, ask Ask) { f.choice.Failed(now, ask) }

// Answered takes the answer to a poll that was sent at the given moment.
func (f *Follower) Answered(now, sent time.Time, ask Ask, reply *fleetwire.WatchReply) {
	if err := f.take(reply, sent, now); err != nil {
		f.options.Log.Warn("watch answer", zap.String("address", ask.Address), zap.Error(err))
		f.choice.Failed(now, ask)
		return
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
	decode := f.options.OnChange != nil
	if reply.Config != nil && reply.Now.ConfigRevision > next.snapshot.Version.ConfigRevision {
		var config *fleetwire.Config
		if decode {
			if err := unpack(reply.Config, &config); err != nil {
				return err
			}
		}
		next.setConfig(reply.Now.ConfigRevision, config, reply.Config)
	}
	if reply.Instances != nil && next.snapshot.Version.Instances.Less(reply.Now.Instances) {
		var list []fleetwire.Instance
		if decode {
			if err := unpack(reply.Instances, &list); err != nil {
				return err
			}
		}
		next.setList(reply.Now.Instances, list, reply.Instances, confirmed)
	}
	if reply.Now.Instances == next.snapshot.Version.Instances && confirmed.After(next.confirmed) {
		next.confirmed = confirmed
	}
	return nil
}

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
		next.setList(version.Instances, from.snapshot.Instances, from.packedList, from.confirmed)
		if version.Instances == next.snapshot.Version.Instances {
			next.confirmed = from.confirmed
		}
		next.snapshot.Controllers = from.snapshot.Controllers
		next.snapshot.Routers = from.snapshot.Routers
	})
}
