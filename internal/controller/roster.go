package controller

import (
	"slices"
	"sync"
	"time"
)

const (
	// maxSlowdown bounds the pace of heartbeats to silent addresses that are no replicas.
	maxSlowdown = 2 * time.Second
	// replicaSlowdown keeps the pace of heartbeats to silent replicas up: they may be back at any moment.
	replicaSlowdown = 400 * time.Millisecond
	// rumourSpan is how long an address that another controller told of is kept.
	rumourSpan = 10 * time.Second
)

// roster knows the addresses of the other controllers and when each is due for a heartbeat.
type roster struct {
	self string

	mutex    sync.Mutex
	replicas []string
	seeds    []string
	rumours  map[string]time.Time // told by others, last time
	contacts map[string]*contact
}

type contact struct {
	busy     bool // a heartbeat is under way
	failures int
	next     time.Time
}

func newRoster(self string, seeds []string) *roster {
	return &roster{
		self:     self,
		seeds:    seeds,
		rumours:  make(map[string]time.Time),
		contacts: make(map[string]*contact),
	}
}

func (r *roster) setReplicas(addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.replicas = addresses
}

func (r *roster) setSeeds(addresses []string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.seeds = addresses
}

// heard notes a message from an address, which is therefore alive.
func (r *roster) heard(now time.Time, address string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.rumours[address] = now
}

// known returns the addresses of controllers to tell others of: the replicas, this one, and those heard lately.
func (r *roster) known(now time.Time) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.forget(now)
	known := append([]string{r.self}, r.replicas...)
	for address := range r.rumours {
		known = append(known, address)
	}
	return sorted(known)
}

// others returns the addresses of the other controllers that are known, apart from mere seeds.
func (r *roster) others(now time.Time) []string {
	return slices.DeleteFunc(r.known(now), func(address string) bool { return address == r.self })
}

// due returns the addresses that are to be sent a heartbeat now and marks them busy. With everyone, the pace doesn't count.
func (r *roster) due(now time.Time, everyone bool) []string {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	r.forget(now)
	var due []string
	for _, address := range r.targets() {
		known := r.contact(address)
		if !everyone && (known.busy || now.Before(known.next)) {
			continue
		}
		known.busy = true
		due = append(due, address)
	}
	return due
}

// done notes the outcome of a heartbeat.
func (r *roster) done(now time.Time, address string, err error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	known := r.contact(address)
	known.busy = false
	if err == nil {
		known.failures = 0
		known.next = now
		return
	}
	known.failures++
	slowest := maxSlowdown
	if slices.Contains(r.replicas, address) {
		slowest = replicaSlowdown
	}
	known.next = now.Add(min(heartbeatInterval<<min(known.failures-1, 10), slowest))
}

func (r *roster) contact(address string) *contact {
	known := r.contacts[address]
	if known == nil {
		known = &contact{}
		r.contacts[address] = known
	}
	return known
}

func (r *roster) targets() []string {
	targets := slices.Concat(r.replicas, r.seeds)
	for address := range r.rumours {
		targets = append(targets, address)
	}
	targets = slices.DeleteFunc(targets, func(address string) bool { return address == r.self })
	return sorted(targets)
}

func (r *roster) forget(now time.Time) {
	for address, at := range r.rumours {
		if now.Sub(at) > rumourSpan {
			delete(r.rumours, address)
			delete(r.contacts, address)
		}
	}
}

func sorted(addresses []string) []string {
	slices.Sort(addresses)
	return slices.Compact(addresses)
}
