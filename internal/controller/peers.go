package controller

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSlowdown bounds the pace of heartbeats to silent addresses that are no replicas.
	maxBackoff = 2 * time.Second
	// replicaSlowdown keeps the pace of heartbeats to silent replicas up: they may be back at any moment.
	maxReplicaBackoff = 400 * time.Millisecond
	// rumourSpan is how long an address that another controller told of is kept.
	contactTTL = 10 * time.Second
)

// roster knows the addresses of the other controllers and when each is due for a heartbeat.
type peers struct {
	self string

	mutex       sync.Mutex
	replicas    []string
	seeds       []string
	lastContact map[string]time.Time // told by others, last time
	heartbeats  map[string]*heartbeatState
}

type heartbeatState struct {
	inFlight bool // a heartbeat is under way
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

func (r *peers) setReplicas(addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replicas = addresses
}

func (r *peers) setSeeds(addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seeds = addresses
}

// heard notes a message from an address, which is therefore alive.
func (r *peers) recordContact(now time.Time, address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.lastContact[address] = now
}

// known returns the addresses of controllers to tell others of: the replicas, this one, and those heard lately.
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

// others returns the addresses of the other controllers that are known, apart from mere seeds.
func (r *peers) others(now time.Time) []string {
	return slices.DeleteFunc(r.addresses(now), func(address string) bool { return address == r.self })
}

// due returns the addresses that are to be sent a heartbeat now and marks them busy. With everyone, the pace doesn't count.
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

// done notes the outcome of a heartbeat.
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

func (r *peers) stateOf(address string) *heartbeatState {
	state := r.heartbeats[address]
	if state == nil {
		state = &heartbeatState{}
		r.heartbeats[address] = state
	}
	return state
}

func (r *peers) targets() []string {
	targets := slices.Concat(r.replicas, r.seeds)
	for address := range r.lastContact {
		targets = append(targets, address)
	}
	targets = slices.DeleteFunc(targets, func(address string) bool { return address == r.self })
	return sortedUnique(targets)
}

func (r *peers) expire(now time.Time) {
	for address, at := range r.lastContact {
		if now.Sub(at) > contactTTL {
			delete(r.lastContact, address)
			delete(r.heartbeats, address)
		}
	}
}

func sortedUnique(addresses []string) []string {
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
