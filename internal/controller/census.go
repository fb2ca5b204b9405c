package controller

import (
	"hash/fnv"
	"slices"
	"sync"
	"time"
)

// censusWindow is how long a watcher counts after it was last seen: several long polls.
const censusWindow = 3 * time.Second

// census counts the live watchers of all controllers, each once, whichever controllers it polls.
type census struct {
	mutex sync.Mutex
	own   map[uint32]time.Time // last seen here
	all   map[uint32]time.Time // last seen here or told by another controller
}

func newCensus() *census {
	return &census{own: make(map[uint32]time.Time), all: make(map[uint32]time.Time)}
}

func nameHash(name string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	return hash.Sum32()
}

// saw notes a poll.
func (c *census) saw(now time.Time, name string) {
	if name == "" {
		return
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	hash := nameHash(name)
	c.own[hash] = now
	c.all[hash] = now
}

// told notes what another controller has seen.
func (c *census) told(now time.Time, hashes []uint32) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, hash := range hashes {
		c.all[hash] = now
	}
}

// seenHere returns the watchers that were seen here lately, in order.
func (c *census) seenHere(now time.Time) []uint32 {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	prune(c.own, now)
	hashes := make([]uint32, 0, len(c.own))
	for hash := range c.own {
		hashes = append(hashes, hash)
	}
	slices.Sort(hashes)
	return hashes
}

// count returns the number of live watchers.
func (c *census) count(now time.Time) int {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	prune(c.all, now)
	return len(c.all)
}

func prune(seen map[uint32]time.Time, now time.Time) {
	for hash, at := range seen {
		if now.Sub(at) > censusWindow {
			delete(seen, hash)
		}
	}
}
