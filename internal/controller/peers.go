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
func (p *peers) setReplicas(addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.replicas = addresses
}

// setSeeds sets the addresses of the seeds.
func (p *peers) setSeeds(addresses []string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.seeds = addresses
}

// recordContact records a message from an address, which proves that the controller there is alive.
func (p *peers) recordContact(now time.Time, address string) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.lastContact[address] = now
}

// addresses returns the known controllers: the replicas, this controller, and the senders of recent messages.
func (p *peers) addresses(now time.Time) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expire(now)
	addresses := append([]string{p.self}, p.replicas...)
	for address := range p.lastContact {
		addresses = append(addresses, address)
	}
	return sortedUnique(addresses)
}

// others returns the known controllers except this one. A seed is included only if it is also a replica or sent a recent
// message.
func (p *peers) others(now time.Time) []string {
	return slices.DeleteFunc(p.addresses(now), func(address string) bool { return address == p.self })
}

// due returns the addresses to send a heartbeat to now and marks them as in flight. With toAll it returns every address, even
// if a heartbeat is in flight or the backoff has not ended.
func (p *peers) due(now time.Time, toAll bool) []string {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	p.expire(now)
	var due []string
	for _, address := range p.targets() {
		state := p.stateOf(address)
		if !toAll && (state.inFlight || now.Before(state.nextAt)) {
			continue
		}
		state.inFlight = true
		due = append(due, address)
	}
	return due
}

// recordResult records the outcome of a heartbeat and schedules the next one. The backoff doubles with each failure in a row.
func (p *peers) recordResult(now time.Time, address string, err error) {
	p.mutex.Lock()
	defer p.mutex.Unlock()
	state := p.stateOf(address)
	state.inFlight = false
	if err == nil {
		state.failures = 0
		state.nextAt = now
		return
	}
	state.failures++
	longest := maxBackoff
	if slices.Contains(p.replicas, address) {
		longest = maxReplicaBackoff
	}
	state.nextAt = now.Add(min(heartbeatInterval<<min(state.failures-1, 10), longest))
}

// stateOf returns the heartbeat state of an address. The caller must hold the lock.
func (p *peers) stateOf(address string) *heartbeatState {
	state := p.heartbeats[address]
	if state == nil {
		state = &heartbeatState{}
		p.heartbeats[address] = state
	}
	return state
}

// targets returns the addresses that get heartbeats. The caller must hold the lock.
func (p *peers) targets() []string {
	targets := slices.Concat(p.replicas, p.seeds)
	for address := range p.lastContact {
		targets = append(targets, address)
	}
	targets = slices.DeleteFunc(targets, func(address string) bool { return address == p.self })
	return sortedUnique(targets)
}

// expire removes the addresses without a recent message. The caller must hold the lock.
func (p *peers) expire(now time.Time) {
	for address, at := range p.lastContact {
		if now.Sub(at) > contactTTL {
			delete(p.lastContact, address)
			delete(p.heartbeats, address)
		}
	}
}

// sortedUnique sorts the addresses in place and removes duplicates.
func sortedUnique(addresses []string) []string {
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
