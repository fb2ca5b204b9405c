package controller

import (
	"bytes"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"weldscale/coordination/register"
	"weldscale/coordination/watch"
	"weldscale/internal/fleetwire"
)

// Time bounds that a site must meet, for small sites.
const (
	simPropagationBound = 2 * time.Second
	simAckBound         = 4 * time.Second
	simCatchUpBound     = 4 * time.Second
	sampleInterval      = 10 * time.Millisecond
)

// simChecks checks the whole site against its guarantees, with knowledge that no single process has. The first violation ends
// the simulation.
type simChecks struct {
	site *simSite

	mutex         sync.Mutex
	violation     string
	violated      chan struct{} // closed at the first violation
	committed     []digest      // committed changes, in order
	history       []simCall
	acks          []simAcknowledgement // in the order of their times
	digestByBody  map[string]digest    // digests of the changes that were sent
	holderByToken map[uint64]string    // controller that sent orders to workers under a token
	highestToken  map[string]uint64    // highest token under which a role was held, by role
}

// simAcknowledgement is an acknowledgement of a change as an operator received it.
type simAcknowledgement struct {
	at     time.Time
	change digest
}

// simCall is a call of an operator with the result that it received.
type simCall struct {
	begun, ended time.Time
	change       digest // the change that was committed, rejected or read
	result       simResult
}

// simResult is the result of an operator's call. Zero means that there was no definite answer.
type simResult int

const (
	simCommitted simResult = iota + 1
	simRejected
	simRead
)

func newSimChecks(site *simSite) *simChecks {
	return &simChecks{
		site: site, violated: make(chan struct{}), digestByBody: map[string]digest{}, holderByToken: map[uint64]string{}, highestToken: map[string]uint64{},
	}
}

// failf records a violation. Only the first one is kept.
func (c *simChecks) failf(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.failLocked(format, arguments...)
}

// failLocked is failf for callers that hold the lock.
func (c *simChecks) failLocked(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
		close(c.violated)
	}
}

// firstViolation returns the first violation, or an empty string.
func (c *simChecks) firstViolation() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.violation
}

// checkStates checks each chosen state that a controller learns until ctx is done.
func (c *simChecks) checkStates(ctx context.Context, program *process) {
	for {
		changed := program.node.Changed()
		c.checkChosen(program.controller.self.Address, program.node.Latest())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// checkChosen checks that the changes of a chosen state extend the known sequence of changes or are a part of it.
func (c *simChecks) checkChosen(address string, state register.State) {
	decoded, err := decodeState(state.Data)
	if err != nil {
		c.failf("%s holds a state that could not be decoded: %v", address, err)
		return
	}
	var changes []digest
	for stored := range slices.Chunk(decoded.Digests, digestBytes) {
		changes = append(changes, digest(stored))
	}
	dropped := int(decoded.Changes) - len(changes) // changes whose digests are no longer stored
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if dropped < 0 || dropped > len(c.committed) {
		c.failLocked("%s holds %d changes and %d digests, but %d changes are known", address, decoded.Changes, len(changes), len(c.committed))
		return
	}
	for i, change := range changes {
		switch at := dropped + i; {
		case at == len(c.committed):
			c.committed = append(c.committed, change)
		case c.committed[at] != change:
			c.failLocked("%s holds a change %d that differs from the chosen one", address, at+1)
			return
		}
	}
}

// position returns the position of a change in the sequence of committed changes, counted from 1, or 0 if it was not committed.
// The caller must hold the lock.
func (c *simChecks) position(change digest) int { return 1 + slices.Index(c.committed, change) }

// recordCall records an operator's call that has just ended.
func (c *simChecks) recordCall(call simCall) {
	call.ended = time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.history = append(c.history, call)
	if call.result == simCommitted {
		c.acks = append(c.acks, simAcknowledgement{at: call.ended, change: call.change})
	}
	if call.result == simRejected && c.position(call.change) > 0 {
		c.failLocked("change %d was committed and then rejected", c.position(call.change))
	}
}

// checkFollowerStep checks that the versions of a follower never decrease.
func (c *simChecks) checkFollowerStep(name string, before fleetwire.Version, after *watch.Snapshot) {
	if after.Version.ConfigRevision < before.ConfigRevision || after.Version.Instances.Less(before.Instances) {
		c.failf("%s went back from %v to %v", name, before, after.Version)
	}
}

// checkOrder checks the fencing token of an order to a worker: each token belongs to one holder, and no token is used after a
// higher one.
func (c *simChecks) checkOrder(w *simWorker, holder string, token uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if first, used := c.holderByToken[token]; used && first != holder {
		c.failLocked("%s and %s both send orders to workers under token %d", first, holder, token)
	}
	c.holderByToken[token] = holder
	if token < w.token {
		c.failLocked("%s sends an order to a worker under token %d after token %d", holder, token, w.token)
	}
}

// sample checks the whole site at each sampleInterval until ctx is done.
func (c *simChecks) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, role := range roles {
			c.checkHolders(role)
		}
		c.checkDisks()
		c.checkFreshness()
	}
}

// checkHolders checks that a role has at most one holder at any time, and that the tokens of its holders never decrease.
func (c *simChecks) checkHolders(role string) {
	var names []string
	for _, m := range c.site.currentCores() {
		program := m.program()
		if program == nil {
			continue
		}
		token, held := program.controller.leases.holds(role)
		if !held {
			continue
		}
		names = append(names, m.settings.NodeName)
		c.mutex.Lock()
		if token < c.highestToken[role] {
			c.failLocked("%s holds %s under token %d after token %d", m.settings.NodeName, role, token, c.highestToken[role])
		}
		c.highestToken[role] = max(c.highestToken[role], token)
		c.mutex.Unlock()
	}
	if len(names) > 1 {
		c.failf("%v hold %s at the same time", names, role)
	}
}

// checkDisks checks that, in the newest chosen set of replicas, the disks of a majority exist.
func (c *simChecks) checkDisks() {
	newest := c.site.newestState()
	if len(newest.Replicas) == 0 {
		return
	}
	disks := c.site.existingDisks()
	existing := countExisting(newest.Replicas, disks)
	if 2*existing <= len(newest.Replicas) {
		c.failf("%d of %d disks of the replicas exist: %v, %v", existing, len(newest.Replicas), newest.Replicas, disks)
	}
}

// checkFreshness checks that each follower with recent quorum contact has all changes that were acknowledged longer ago than
// the propagation bound.
func (c *simChecks) checkFreshness() {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	required := 0
	for _, ack := range c.acks {
		if now.Sub(ack.at) > simPropagationBound {
			required = max(required, c.position(ack.change))
		}
	}
	for _, m := range c.site.frontends {
		follower := m.follower.Load()
		if follower == nil || follower.QuorumAge() > watch.DefaultMaxQuorumAge {
			continue
		}
		if snapshot := follower.Current(); snapshot != nil && int(snapshot.Version.ConfigRevision) < required {
			c.failLocked("%s has recent quorum contact but only change %d; change %d was acknowledged more than %v ago", m.machine.IP(),
				snapshot.Version.ConfigRevision, required, simPropagationBound)
		}
	}
}

// checkLinearizable checks the history of calls against the sequence of committed changes. A call that began after the end of
// another one must see its effect, and a rejected change must never be committed.
func (c *simChecks) checkLinearizable() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	byEnd := slices.Clone(c.history)
	slices.SortFunc(byEnd, func(a, b simCall) int { return a.ended.Compare(b.ended) })
	firstSent := map[digest]time.Time{} // when a change was first sent
	for _, call := range c.history {
		if begun, sent := firstSent[call.change]; call.result != simRead && (!sent || call.begun.Before(begun)) {
			firstSent[call.change] = call.begun
		}
	}
	byBegin := slices.Clone(c.history)
	slices.SortFunc(byBegin, func(a, b simCall) int { return a.begun.Compare(b.begun) })
	seen, next := 0, 0
	for _, call := range byBegin {
		for next < len(byEnd) && byEnd[next].ended.Before(call.begun) {
			if byEnd[next].result != simRejected {
				seen = max(seen, c.position(byEnd[next].change))
			}
			next++
		}
		at := c.position(call.change)
		switch {
		case call.result == simRejected && at > 0:
			c.failLocked("change %d was committed although it was rejected at %v", at, call.ended.Sub(c.site.startedAt))
		case call.result == simCommitted && at == 0:
			c.failLocked("a change acknowledged at %v is lost", call.ended.Sub(c.site.startedAt))
		case call.result == simCommitted && at <= seen && firstSent[call.change].Equal(call.begun):
			c.failLocked("change %d was first sent after change %d was seen, but precedes it", at, seen)
		case call.result == simRead && at < seen:
			c.failLocked("a read from %v to %v returned change %d after change %d was seen",
				call.begun.Sub(c.site.startedAt), call.ended.Sub(c.site.startedAt), at, seen)
		}
	}
}

// unsettled returns what is missing for the site to be settled after the faults, or an empty string. In a settled site the
// replica set contains each machine's disk, each disk holds the newest state, and each role has a holder.
func (c *simChecks) unsettled() string {
	newest := c.site.newestState()
	held := map[string]bool{}
	for _, m := range c.site.currentCores() {
		program := m.program()
		if program == nil {
			return m.settings.NodeName + " is not running"
		}
		if !program.node.Formed() {
			return fmt.Sprintf("%s does not know a fully formed replica set: %v", m.settings.NodeName, program.node.Latest().Replicas)
		}
		id, accepted := m.diskState()
		if !slices.ContainsFunc(newest.Replicas, func(r register.Replica) bool { return r.ID == id }) {
			return fmt.Sprintf("%s with disk %s is not in the replica set %v", m.settings.NodeName, id, newest.Replicas)
		}
		if accepted.Value.Revision != newest.Revision || !bytes.Equal(accepted.Value.Data, newest.Data) {
			return fmt.Sprintf("%s has revision %d on its disk, but the newest is %d", m.settings.NodeName, accepted.Value.Revision,
				newest.Revision)
		}
		for _, role := range program.controller.heldRoles() {
			held[role] = true
		}
	}
	if len(held) != len(roles) {
		return fmt.Sprintf("roles held: %v", held)
	}
	return ""
}

// recordRead records a configuration that was read. Its bytes identify the change, since they differ for each change.
func (c *simChecks) recordRead(begun time.Time, body []byte) {
	c.mutex.Lock()
	change, known := c.digestByBody[string(body)]
	if !known {
		c.failLocked("a configuration was read that no operator sent")
	}
	c.mutex.Unlock()
	c.recordCall(simCall{begun: begun, change: change, result: simRead})
}

// recordSent records a change that is about to be sent.
func (c *simChecks) recordSent(requested change) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.digestByBody[string(requested.Body)] = requested.Digest
}
