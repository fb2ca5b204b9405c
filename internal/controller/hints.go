package controller

import (
	"sync"
	"time"

	"weldscale/coordination/handoff"
	"weldscale/internal/fleetwire"
)

// listKey is the key of the list of instances, which is all that is handed over.
const listKey = "instances"

// hintLimits bound the hints. Whoever is away for longer is brought up to date by its first heartbeat alone.
var hintLimits = handoff.Limits{Hints: 16, Age: 30 * time.Second}

// hints remembers which controllers missed a list. A hint holds no list: whoever is back gets the newest.
type hints struct {
	started time.Time

	mutex  sync.Mutex
	keeper *handoff.Keeper[fleetwire.ListVersion, struct{}]
}

func newHints() *hints {
	return &hints{started: time.Now(), keeper: handoff.New[fleetwire.ListVersion, struct{}](hintLimits)}
}

// missed notes that a list did not reach a controller.
func (h *hints) add(address string, version fleetwire.ListVersion) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.keeper.Keep(time.Since(h.started), address, handoff.Hint[fleetwire.ListVersion, struct{}]{Key: listKey, Version: version})
}

// take reports whether a controller that is back, and tells which list it holds, has missed a newer one.
func (h *hints) takeMissed(address string, held fleetwire.ListVersion) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.keeper.Holds(address, listKey, held)
	missed := len(h.keeper.For(time.Since(h.started), address)) > 0
	h.keeper.Forget(address) // if it is missed again, there will be another hint
	return missed
}
