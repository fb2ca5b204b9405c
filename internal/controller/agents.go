package controller

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// censusWindow is how long a watcher counts after it was last seen: several long polls.
const agentTTL = 3 * time.Second

// census counts the live watchers of all controllers, each once, whichever controllers it polls.
type agentCounter struct {
	mutex sync.Mutex
	local map[uint32]time.Time // last seen here
	all   map[uint32]time.Time // last seen here or told by another controller
}

func newAgentCounter() *agentCounter {
	return &agentCounter{local: make(map[uint32]time.Time), all: make(map[uint32]time.Time)}
}

func nameHash(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum32()
}

// saw notes a poll.
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

// told notes what another controller has seen.
func (c *agentCounter) recordRemote(now time.Time, hashes []uint32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, hash := range hashes {
		c.all[hash] = now
	}
}

// seenHere returns the watchers that were seen here lately, in order.
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

// count returns the number of live watchers.
func (c *agentCounter) count(now time.Time) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	prune(c.all, now)
	return len(c.all)
}

func prune(seen map[uint32]time.Time, now time.Time) {
	for hash, at := range seen {
		if now.Sub(at) > agentTTL {
			delete(seen, hash)
		}
	}
}
