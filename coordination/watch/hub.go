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
	// DefaultMaxWait is the longest time that a hub holds a poll. A subscriber that gets no reply within this time and a grace
	// period treats the hub as failed.
	DefaultMaxWait = 400 * time.Millisecond
	// DefaultMaxQuorumAge is the age of the last quorum contact beyond which a hub counts as stale. It covers a few missed
	// heartbeats of the replicas and leaves subscribers time to fail over to another hub within the propagation bound.
	DefaultMaxQuorumAge = time.Second
	// RelayMaxQuorumAge is the bound for a hub that is fed by a follower, and for its subscribers. It covers the quorum age
	// that a healthy source may report, the time that a poll is held and a failover to another source.
	RelayMaxQuorumAge = 2 * time.Second
)

// HubOptions configures a Hub.
type HubOptions struct {
	// QuorumAge returns the time since the last contact with a majority of the replicas; nil: always 0.
	QuorumAge func() time.Duration
	// MaxQuorumAge is the quorum age from which the hub answers all polls without delay; 0: DefaultMaxQuorumAge.
	MaxQuorumAge time.Duration
	// MaxWait caps the time that a poll is held; 0: DefaultMaxWait.
	MaxWait time.Duration
	// OnPoll is called with each poll before it is answered; nil: no callback. It must not block.
	OnPoll func(request *fleetwire.WatchRequest)
	// Doubts returns the suspected workers to report to a subscriber; nil: none. It must not block.
	Doubts func(request *fleetwire.WatchRequest) []fleetwire.Doubt
}

// Hub holds the current state and answers long polls. It is safe for use by several goroutines.
type Hub struct {
	options   HubOptions
	closed    chan struct{}
	closeOnce sync.Once

	writeMutex   sync.Mutex  // serializes updates of state
	publishMutex sync.Mutex  // serializes PublishInstances and PublishSteps; acquired before writeMutex
	listCorrupt  atomic.Bool // the full list can't be built from the steps that a follower relayed
	state        atomic.Pointer[state]
}

// state is the state of a hub or a follower at one moment. Updates replace it as a whole.
type state struct {
	snapshot     Snapshot // its ages and At are set when it is read
	packedConfig fleetwire.Packed
	packedList   *packedList   // nil without a list
	digest       uint64        // of the decoded list; 0 if the list is not decoded
	confirmedAt  time.Time     // when the platform confirmed the list; zero: never
	changed      chan struct{} // closed when a newer version replaces this one
}

// NewHub returns a hub with an empty state.
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

// Register adds the handler of long polls to mux.
func (h *Hub) Register(mux *http.ServeMux) {
	mux.Handle("POST "+fleetwire.PathWatch, transport.Handle(h.Serve))
}

// Close makes the hub answer all current and later polls without delay and report its quorum contact as stale, so that
// subscribers fail over at once. It may be called more than once.
func (h *Hub) Close() { h.closeOnce.Do(func() { close(h.closed) }) }

// Current returns the current snapshot. The snapshot holds no configuration and no instances if the hub is fed by a Follower
// without OnChange, which does not decode them.
func (h *Hub) Current() *Snapshot {
	current := h.state.Load()
	snapshot := current.snapshot
	snapshot.At = time.Now()
	snapshot.QuorumAge = h.quorumAge()
	snapshot.ListAge = ageAt(snapshot.At, current.confirmedAt)
	return &snapshot
}

// PublishConfig distributes a configuration that the register has committed. It ignores a revision that is not newer than the
// current one.
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

// PublishInstances distributes a list of instances that the platform has just returned. It ignores a version that is not newer
// than the current one.
func (h *Hub) PublishInstances(version fleetwire.ListVersion, instances []fleetwire.Instance) error {
	h.publishMutex.Lock()
	defer h.publishMutex.Unlock()
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

// StepsSince returns the steps from a version of the list to the newest one. It returns nil if they are not kept or not much
// smaller than the full list.
func (h *Hub) StepsSince(have fleetwire.ListVersion) []fleetwire.ListStep {
	list := h.state.Load().packedList
	if list == nil {
		return nil
	}
	return list.smallStepsSince(have)
}

// PublishSteps applies steps that StepsSince of another hub returned, and distributes and returns the resulting list. It fails
// with ErrStepMismatch if the steps do not apply to the current list.
func (h *Hub) PublishSteps(steps []fleetwire.ListStep) ([]fleetwire.Instance, error) {
	h.publishMutex.Lock()
	defer h.publishMutex.Unlock()
	next := h.state.Load().list()
	if next.packed == nil {
		return nil, eris.Wrap(ErrStepMismatch, "there is no list yet")
	}
	var err error
	for _, step := range steps {
		if next.packed, err = next.packed.withStep(step); err != nil {
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

// nextList returns the list to publish after the current one. It adds a step if both lists are sorted by ID and the step is
// much smaller than the full list. Otherwise it starts from a new full list.
func nextList(current *state, version fleetwire.ListVersion, instances []fleetwire.Instance) (instanceList, error) {
	if current.packedList != nil && sortedByID(current.snapshot.Instances) && sortedByID(instances) {
		step, decoded, err := newStep(current, version, instances)
		if err != nil {
			return instanceList{}, err
		}
		if float64(len(step.Body)) <= maxStepsRatio*float64(len(current.packedList.base)) {
			packed, err := current.packedList.withStep(step)
			return instanceList{packed: packed, decoded: decoded, digest: step.Digest}, err
		}
	}
	full, err := pack(instances)
	if err != nil {
		return instanceList{}, err
	}
	return instanceList{packed: newPackedList(version, full), decoded: instances, digest: listDigest(instances)}, nil
}

// ConfirmInstances records that the platform returned the current list again at the given moment. It does not end any poll.
func (h *Hub) ConfirmInstances(at time.Time) {
	h.update(func(next *state) {
		if at.After(next.confirmedAt) {
			next.confirmedAt = at
		}
	})
}

// SetControllers sets the internal addresses of the controllers. Later replies carry them; the call does not end any poll.
func (h *Hub) SetControllers(addresses []string) {
	if slices.Equal(h.state.Load().snapshot.Controllers, addresses) {
		return
	}
	cloned := slices.Clone(addresses)
	h.update(func(next *state) { next.snapshot.Controllers = cloned })
}

// SetRouters sets the number of live routers; 0: not known yet. Later replies carry it; the call does not end any poll.
func (h *Hub) SetRouters(count int) {
	if h.state.Load().snapshot.Routers == max(count, 0) {
		return
	}
	h.update(func(next *state) { next.snapshot.Routers = max(count, 0) })
}

// update replaces the state by a changed copy, and ends the held polls if its version is newer.
func (h *Hub) update(change func(next *state)) {
	h.writeMutex.Lock()
	defer h.writeMutex.Unlock()
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

// setConfig stores a configuration unless its revision is not newer than the current one.
func (s *state) setConfig(revision uint64, config *fleetwire.Config, packed fleetwire.Packed) {
	if revision <= s.snapshot.Version.ConfigRevision {
		return
	}
	s.snapshot.Version.ConfigRevision = revision
	s.snapshot.Config = config
	s.packedConfig = packed
}

// instanceList is a list of instances in packed and decoded form. A relay has only the packed form.
type instanceList struct {
	packed  *packedList
	decoded []fleetwire.Instance
	digest  uint64 // of decoded
}

// list returns the list of the state.
func (s *state) list() instanceList {
	return instanceList{packed: s.packedList, decoded: s.snapshot.Instances, digest: s.digest}
}

// setList stores a list that the platform confirmed at the given moment. It ignores a list older than the current one.
func (s *state) setList(list instanceList, at time.Time) {
	if list.packed == nil || list.packed.version.Less(s.snapshot.Version.Instances) {
		return
	}
	s.snapshot.Version.Instances = list.packed.version
	s.snapshot.Instances = list.decoded
	s.packedList, s.digest = list.packed, list.digest
	s.confirmedAt = at
}

// Serve answers one poll. It replies at once if the hub has a newer version than the subscriber or its quorum contact is stale.
// Otherwise it holds the poll until one of these occurs, the hub is closed or the requested wait is over. It returns an error
// if ctx is done first.
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
		if err := h.waitForChange(ctx, current.changed, remaining); err != nil {
			return fleetwire.WatchReply{}, err
		}
		if h.isClosed() {
			return h.reply(current, &request, received)
		}
	}
}

// waitForChange returns nil once changed is closed, the hub is closed or the timeout is over, and an error if ctx is done
// first.
func (h *Hub) waitForChange(ctx context.Context, changed <-chan struct{}, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
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

// isClosed reports whether Close was called.
func (h *Hub) isClosed() bool {
	select {
	case <-h.closed:
		return true
	default:
		return false
	}
}

// quorumAge returns the quorum age that replies report. It is unknownAge, which exceeds every bound, once the hub is closed.
func (h *Hub) quorumAge() time.Duration {
	if h.isClosed() {
		return unknownAge
	}
	return min(h.options.QuorumAge(), unknownAge)
}

// reply builds the reply to a poll. It contains the configuration and the list only if they are newer than those of the
// subscriber, and the list as steps if the subscriber accepts them and they are much smaller.
func (h *Hub) reply(current *state, request *fleetwire.WatchRequest, received time.Time) (fleetwire.WatchReply, error) {
	now, have := time.Now(), request.Have
	reply := fleetwire.WatchReply{
		Now:         current.snapshot.Version,
		Controllers: current.snapshot.Controllers,
		Routers:     current.snapshot.Routers,
		QuorumAgeMs: millis(h.quorumAge()),
		ListAgeMs:   millis(ageAt(now, current.confirmedAt)),
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
		reply.Steps = current.packedList.smallStepsSince(have.Instances)
	}
	if len(reply.Steps) > 0 {
		return reply, nil
	}
	full, err := current.packedList.full()
	if err != nil {
		h.listCorrupt.Store(true)
		return fleetwire.WatchReply{}, err
	}
	reply.Instances = full
	return reply, nil
}
