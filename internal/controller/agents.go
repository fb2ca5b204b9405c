package controller

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// agentTTL is how long an agent counts as live after it was last seen, by a poll of this controller or by the report of another
// one. It spans several long polls.
const agentTTL = 3 * time.Second

// agentCounter counts the live agents across all controllers. An agent that polls several controllers counts once.
type agentCounter struct {
	mutex sync.Mutex
	local map[uint32]time.Time // time of the last poll of this controller, by hash of the agent's name
	all   map[uint32]time.Time // time of the last poll, or of the last report by another controller, by the same hash
}

func newAgentCounter() *agentCounter {
	return &agentCounter{local: make(map[uint32]time.Time), all: make(map[uint32]time.Time)}
}

// nameHash shortens an agent's name for the messages between controllers.
func nameHash(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum32()
}

// recordPoll records a poll of this controller. It ignores an empty name.
func (c *agentCounter) recordPoll(now time.Time, name string) {
	if name == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	hash := nameHash(name)
	c.local[hash] = now
	c.all[hash] = now
}

// recordRemote records the agents that polled another controller recently, as hashes of their names.
func (c *agentCounter) recordRemote(now time.Time, hashes []uint32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, hash := range hashes {
		c.all[hash] = now
	}
}

// recentLocal returns the hashes of the agents that polled this controller recently, in ascending order.
func (c *agentCounter) recentLocal(now time.Time) []uint32 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	prune(c.local, now)
	hashes := make([]uint32, 0, len(c.local))
	for hash := range c.local {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	return hashes
}

// count returns the number of live agents.
func (c *agentCounter) count(now time.Time) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	prune(c.all, now)
	return len(c.all)
}

// prune removes the agents that were last seen longer than agentTTL ago.
func prune(seen map[uint32]time.Time, now time.Time) {
	for hash, at := range seen {
		if now.Sub(at) > agentTTL {
			delete(seen, hash)
		}
	}
}
