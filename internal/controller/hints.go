package controller

import (
	"sync"
	"time"

	"weldscale/coordination/handoff"
	"weldscale/internal/fleetwire"
)

// listKey is the handoff key of the list of instances. It is the only key in use.
const listKey = "instances"

// hintLimits bound the hints. A controller that is unreachable for longer fetches the list once a heartbeat or a reply reports
// a newer version than its own.
var hintLimits = handoff.Limits{Hints: 16, Age: 30 * time.Second}

// hints records which controllers have missed a list. A hint carries no list, since a controller that is reachable again gets
// the newest one. It is safe for concurrent use.
type hints struct {
	started time.Time

	mutex sync.Mutex
	store *handoff.Store[fleetwire.ListVersion, struct{}]
}

func newHints() *hints {
	return &hints{started: time.Now(), store: handoff.New[fleetwire.ListVersion, struct{}](hintLimits)}
}

// add records that a list did not reach a controller.
func (h *hints) add(address string, version fleetwire.ListVersion) {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.store.Add(time.Since(h.started), address, handoff.Hint[fleetwire.ListVersion, struct{}]{Key: listKey, Version: version})
}

// takeMissed reports whether a controller that is reachable again and holds the given list has missed a newer one. It removes
// the hints for that controller.
func (h *hints) takeMissed(address string, held fleetwire.ListVersion) bool {
	h.mutex.Lock()
	defer h.mutex.Unlock()
	h.store.MarkDelivered(address, listKey, held)
	missed := len(h.store.HintsFor(time.Since(h.started), address)) > 0
	h.store.RemovePeer(address) // another failed delivery adds a new hint
	return missed
}
