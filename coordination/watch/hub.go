package watch

import (
	"context"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rotisserie/eris"

	"weldscale/coordination/transport"
	"weldscale/internal/fleetwire"
)

const (
	// DefaultMaxWait is the longest time that a hub holds a poll: a watcher tells silence from quiet by it.
	DefaultMaxWait = 400 * time.Millisecond
	// DefaultMaxQuorumAge is the age from which a hub counts as out of touch with the majority. It covers a few missed
	// heartbeats of the replicas and leaves watchers time to find another hub within the bound of propagation.
	DefaultMaxQuorumAge = time.Second
	// RelayMaxQuorumAge is the bound for a hub that is fed by a follower, and for its watchers. It covers what a good hub may
	// show, the time that a poll is held and the change to another hub.
	RelayMaxQuorumAge = 2 * time.Second
)

// HubOptions sets up a hub.
type HubOptions struct {
	// QuorumAge tells how long ago a majority of the replicas was heard; nil: always in touch.
	QuorumAge func() time.Duration
	// MaxQuorumAge is the age beyond which all polls are ended at once; 0: DefaultMaxQuorumAge.
	MaxQuorumAge time.Duration
	// MaxWait caps the time that a poll is held; 0: DefaultMaxWait.
	MaxWait time.Duration
	// OnPoll is told of each poll; nil: nobody is. It must not block.
	OnPoll func(request *fleetwire.WatchRequest)
	// Doubts returns what a watcher is told of workers that others complain of; nil: nothing. It must not block.
	Doubts func(request *fleetwire.WatchRequest) []fleetwire.Doubt
}

// Hub holds the current state and answers long polls. It is safe for use by several goroutines.
type Hub struct {
	options HubOptions
	closed  chan struct{}
	closing sync.Once

	mutex      sync.Mutex  // orders writers
	publishing sync.Mutex  // orders publishers of lists
	listBroken atomic.Bool // the list that a follower gave can't be made whole
	state      atomic.Pointer[state]
}

// state is what a hub holds at one moment; it is replaced whole.
type state struct {
	snapshot     Snapshot // its ages and At are set on reading
	packedConfig fleetwire.Packed
	packedList   *packedList   // nil without a list
	digest       uint64        // of the list, where it is decoded
	confirmed    time.Time     // when the platform confirmed the list; zero: never
	changed      chan struct{} // closed once a newer version is there
}

// NewHub returns a hub that holds nothing.
func NewHub(options HubOptions) *Hub {
	if options.QuorumAge == nil {
		options.QuorumAge = func() time.Duration { return 0 }
	}
	if options.MaxQuorumAge == 0 {
		options.MaxQuorumAge = DefaultMaxQuorumAge
	}
	if options.MaxWait == 0 {
		options.MaxWait = DefaultMaxWait
	}
	hub := &Hub{options: options, closed: make(chan struct{})}
	hub.state.Store(&state{changed: make(chan struct{})})
	return hub
}

// Register mounts the long poll.
func (h *Hub) Register(mux *http.ServeMux) {
	mux.Handle("POST "+fleetwire.PathWatch, transport.Handle(h.Serve))
}

// Close ends all polls, now and later, as those of a hub that is out of touch: watchers leave at once.
func (h *Hub) Close() { h.closing.Do(func() { close(h.closed) }) }

// Current returns the state. A hub that is fed by a Follower without OnChange has no decoded configuration and list.
func (h *Hub) Current() *Snapshot {
	current := h.state.Load()
	snapshot := current.snapshot
	snapshot.At = time.Now()
	snapshot.QuorumAge = h.quorumAge()
	snapshot.ListAge = ageAt(snapshot.At, current.confirmed)
	return &snapshot
}

// PublishConfig makes a chosen configuration known. One that isn't newer than the current one is ignored.
func (h *Hub) PublishConfig(revision uint64, config *fleetwire.Config) error {
	if revision <= h.state.Load().snapshot.Version.ConfigRevision {
		return nil
	}
	packed, err := pack(config)
	if err != nil {
		return err
	}
	h.update(func(next *state) { next.setConfig(revision, config, packed) })
	return nil
}

// PublishInstances makes a list known that the platform gave just now. One that isn't newer than the current one is ignored.
func (h *Hub) PublishInstances(version fleetwire.ListVersion, instances []fleetwire.Instance) error {
	h.publishing.Lock()
	defer h.publishing.Unlock()
	current := h.state.Load()
	if !current.snapshot.Version.Instances.Less(version) {
		return nil
	}
	list, err := nextList(current, version, instances)
	if err != nil {
		return err
	}
	now := time.Now()
	h.update(func(next *state) { next.setList(list, now) })
	return nil
}

// StepsSince returns the steps from a version of the list to the newest, or nothing if they aren't known or not worth sending.
func (h *Hub) StepsSince(have fleetwire.ListVersion) []fleetwire.ListStep {
	list := h.state.Load().packedList
	if list == nil {
		return nil
	}
	return list.shortSince(have)
}

// PublishSteps makes a newer list known by the steps that StepsSince of another hub gave. It returns the list, or ErrSteps if
// they don't lead from the list that is held.
func (h *Hub) PublishSteps(steps []fleetwire.ListStep) ([]fleetwire.Instance, error) {
	h.publishing.Lock()
	defer h.publishing.Unlock()
	next := h.state.Load().list()
	if next.packed == nil {
		return nil, eris.Wrap(ErrSteps, "no list is held")
	}
	var err error
	for _, step := range steps {
		if next.packed, err = next.packed.with(step); err != nil {
			return nil, err
		}
	}
	if next.decoded, next.digest, err = applySteps(next.decoded, next.digest, steps); err != nil {
		return nil, err
	}
	now := time.Now()
	h.update(func(state *state) { state.setList(next, now) })
	return next.decoded, nil
}

// nextList returns the list that follows the current one, as a step from it where that is possible and much smaller.
func nextList(current *state, version fleetwire.ListVersion, instances []fleetwire.Instance) (heldList, error) {
	if current.packedList != nil && ordered(current.snapshot.Instances) && ordered(instances) {
		step, decoded, err := newStep(current, version, instances)
		if err != nil {
			return heldList{}, err
		}
		if float64(len(step.Body)) <= stepsShare*float64(len(current.packedList.base)) {
			packed, err := current.packedList.with(step)
			return heldList{packed: packed, decoded: decoded, digest: step.Digest}, err
		}
	}
	whole, err := pack(instances)
	if err != nil {
		return heldList{}, err
	}
	return heldList{packed: newPackedList(version, whole), decoded: instances, digest: digestOf(instances)}, nil
}

// ConfirmInstances notes that the platform gave the current list again at the given moment. It wakes nobody.
func (h *Hub) ConfirmInstances(at time.Time) {
	h.update(func(next *state) {
		if at.After(next.confirmed) {
			next.confirmed = at
		}
	})
}

// SetControllers makes the internal addresses of the controllers known. They go out with the next answers.
func (h *Hub) SetControllers(addresses []string) {
	if slices.Equal(h.state.Load().snapshot.Controllers, addresses) {
		return
	}
	own := slices.Clone(addresses)
	h.update(func(next *state) { next.snapshot.Controllers = own })
}

// SetRouters makes the number of living routers known; 0: it is not known yet. It goes out with the next answers.
func (h *Hub) SetRouters(count int) {
	if h.state.Load().snapshot.Routers == max(count, 0) {
		return
	}
	h.update(func(next *state) { next.snapshot.Routers = max(count, 0) })
}

// update swaps the state for a changed copy and wakes the polls if its version moved on.
func (h *Hub) update(change func(next *state)) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	current := h.state.Load()
	next := *current
	change(&next)
	if !newer(next.snapshot.Version, current.snapshot.Version) {
		h.state.Store(&next)
		return
	}
	next.changed = make(chan struct{})
	h.state.Store(&next)
	close(current.changed)
}

func (s *state) setConfig(revision uint64, config *fleetwire.Config, packed fleetwire.Packed) {
	if revision <= s.snapshot.Version.ConfigRevision {
		return
	}
	s.snapshot.Version.ConfigRevision = revision
	s.snapshot.Config = config
	s.packedConfig = packed
}

// heldList is a list of instances in its forms. A relay has only the packed one.
type heldList struct {
	packed  *packedList
	decoded []fleetwire.Instance
	digest  uint64 // of decoded
}

func (s *state) list() heldList {
	return heldList{packed: s.packedList, decoded: s.snapshot.Instances, digest: s.digest}
}

// setList takes a list that isn't older than the one held.
func (s *state) setList(list heldList, at time.Time) {
	if list.packed == nil || list.packed.version.Less(s.snapshot.Version.Instances) {
		return
	}
	s.snapshot.Version.Instances = list.packed.version
	s.snapshot.Instances = list.decoded
	s.packedList, s.digest = list.packed, list.digest
	s.confirmed = at
}

// Serve answers one poll: at once if there is something newer or the hub is out of touch, otherwise when either comes about or
// the time to wait is over.
func (h *Hub) Serve(ctx context.Context, request fleetwire.WatchRequest) (fleetwire.WatchReply, error) {
	received := time.Now()
	if h.options.OnPoll != nil {
		h.options.OnPoll(&request)
	}
	wait := min(time.Duration(max(request.WaitMs, 0))*time.Millisecond, h.options.MaxWait)
	for {
		current := h.state.Load()
		remaining := min(wait-time.Since(received), h.options.MaxQuorumAge-h.quorumAge())
		if remaining <= 0 || newer(current.snapshot.Version, request.Have) {
			return h.reply(current, &request, received)
		}
		if err := h.waitFor(ctx, current.changed, remaining); err != nil {
			return fleetwire.WatchReply{}, err
		}
		if h.isClosed() {
			return h.reply(current, &request, received)
		}
	}
}

// waitFor returns once the state changed, the hub is closed or the time is over, and with an error when the watcher left.
func (h *Hub) waitFor(ctx context.Context, changed <-chan struct{}, longest time.Duration) error {
	timer := time.NewTimer(longest)
	defer timer.Stop()
	select {
	case <-changed:
	case <-h.closed:
	case <-timer.C:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

func (h *Hub) isClosed() bool {
	select {
	case <-h.closed:
		return true
	default:
		return false
	}
}

// quorumAge is the age that watchers are told: beyond every bound once the hub is closed.
func (h *Hub) quorumAge() time.Duration {
	if h.isClosed() {
		return unknownAge
	}
	return min(h.options.QuorumAge(), unknownAge)
}

func (h *Hub) reply(current *state, request *fleetwire.WatchRequest, received time.Time) (fleetwire.WatchReply, error) {
	now, have := time.Now(), request.Have
	reply := fleetwire.WatchReply{
		Now:         current.snapshot.Version,
		Controllers: current.snapshot.Controllers,
		Routers:     current.snapshot.Routers,
		QuorumAgeMs: millis(h.quorumAge()),
		ListAgeMs:   millis(ageAt(now, current.confirmed)),
		HeldMs:      now.Sub(received).Milliseconds(),
	}
	if h.options.Doubts != nil {
		reply.Doubts = h.options.Doubts(request)
	}
	if current.snapshot.Version.ConfigRevision > have.ConfigRevision {
		reply.Config = current.packedConfig
	}
	if !have.Instances.Less(current.snapshot.Version.Instances) {
		return reply, nil
	}
	if request.Steps {
		reply.Steps = current.packedList.shortSince(have.Instances)
	}
	if len(reply.Steps) > 0 {
		return reply, nil
	}
	whole, err := current.packedList.whole()
	if err != nil {
		h.listBroken.Store(true)
		return fleetwire.WatchReply{}, err
	}
	reply.Instances = whole
	return reply, nil
}
