package controller

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxBackoff bounds the backoff of heartbeats to addresses that do not answer and are not replicas.
	maxBackoff = 2 * time.Second
	// maxReplicaBackoff bounds the backoff of heartbeats to replicas that do not answer. It is short because a replica may return
	// at any time.
	maxReplicaBackoff = 400 * time.Millisecond
	// contactTTL is how long an address is kept after its last message.
	contactTTL = 10 * time.Second
)

// peers holds the addresses of the other controllers and schedules the heartbeats to them. It is safe for concurrent use.
type peers struct {
	self string

	mutex       sync.Mutex
	replicas    []string
	seeds       []string
	lastContact map[string]time.Time // time of the last message, by the sender's address
	heartbeats  map[string]*heartbeatState
}

// heartbeatState is the state of the heartbeats to one address.
type heartbeatState struct {
	inFlight bool // a heartbeat was sent and its call has not ended
	failures int
	nextAt   time.Time
}

func newPeers(self string, seeds []string) *peers {
	return &peers{
		self:        self,
		seeds:       seeds,
		lastContact: make(map[string]time.Time),
		heartbeats:  make(map[string]*heartbeatState),
	}
}

// setReplicas sets the addresses of the register's replicas.
func (r *peers) setReplicas(addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replicas = addresses
}

// setSeeds sets the addresses of the seeds.
func (r *peers) setSeeds(addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seeds = addresses
}

// recordContact records a message from an address, which proves that the controller there is alive.
func (r *peers) recordContact(now time.Time, address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastContact[address] = now
}

// addresses returns the known controllers: the replicas, this controller, and the senders of recent messages.
func (r *peers) addresses(now time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(now)
	addresses := append([]string{r.self}, r.replicas...)
	for address := range r.lastContact {
		addresses = append(addresses, address)
	}
	return sortedUnique(addresses)
}

// others returns the known controllers except this one. A seed is included only if it is also a replica or sent a recent message.
func (r *peers) others(now time.Time) []string {
	return slices.DeleteFunc(r.addresses(now), func(address string) bool { return address == r.self })
}

// due returns the addresses to send a heartbeat to now and marks them as in flight. With toAll it returns every address, even if
// a heartbeat is in flight or the backoff has not ended.
func (r *peers) due(now time.Time, toAll bool) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.expire(now)
	var due []string
	for _, address := range r.targets() {
		state := r.stateOf(address)
		if !toAll && (state.inFlight || now.Before(state.nextAt)) {
			continue
		}
		state.inFlight = true
		due = append(due, address)
	}
	return due
}

// recordResult records the outcome of a heartbeat and schedules the next one. The backoff doubles with each failure in a row.
func (r *peers) recordResult(now time.Time, address string, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	state := r.stateOf(address)
	state.inFlight = false
	if err == nil {
		state.failures = 0
		state.nextAt = now
		return
	}
	state.failures++
	longest := maxBackoff
	if slices.Contains(r.replicas, address) {
		longest = maxReplicaBackoff
	}
	state.nextAt = now.Add(min(heartbeatInterval<<min(state.failures-1, 10), longest))
}

// stateOf returns the heartbeat state of an address. The caller must hold the lock.
func (r *peers) stateOf(address string) *heartbeatState {
	state := r.heartbeats[address]
	if state == nil {
		state = &heartbeatState{}
		r.heartbeats[address] = state
	}
	return state
}

// targets returns the addresses that get heartbeats. The caller must hold the lock.
func (r *peers) targets() []string {
	targets := slices.Concat(r.replicas, r.seeds)
	for address := range r.lastContact {
		targets = append(targets, address)
	}
	targets = slices.DeleteFunc(targets, func(address string) bool { return address == r.self })
	return sortedUnique(targets)
}

// expire removes the addresses without a recent message. The caller must hold the lock.
func (r *peers) expire(now time.Time) {
	for address, at := range r.lastContact {
		if now.Sub(at) > contactTTL {
			delete(r.lastContact, address)
			delete(r.heartbeats, address)
		}
	}
}

// sortedUnique sorts the addresses in place and removes duplicates.
func sortedUnique(addresses []string) []string {
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
