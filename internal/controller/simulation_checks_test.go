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

// Bounds of the rules, as the small sites have them.
const (
	simPropagation = 2 * time.Second
	simAck         = 4 * time.Second
	simCatchUp     = 4 * time.Second
	sampleEvery    = 10 * time.Millisecond
)

// simChecks look at all that happens, from where no program can. The first violation ends the play.
type simChecks struct {
	site *simSite

	mutex     sync.Mutex
	violation string
	found     chan struct{} // closed with the first violation
	chain     []digest      // the changes that were taken, in order
	history   []simCall
	acks      []simAcked        // in the order of their times
	bodies    map[string]digest // of the changes that were sent
	actors    map[uint64]string
	highest   map[string]uint64 // token that was held, by role
}

// simAcked is an acknowledgement as the operator saw it.
type simAcked struct {
	at     time.Time
	change digest
}

// simCall is a call of an operator, as it saw it.
type simCall struct {
	begun, ended time.Time
	change       digest // taken, refused or read
	verdict      simVerdict
}

type simVerdict int

const (
	simTaken simVerdict = iota + 1
	simRefused
	simRead
)

func newSimChecks(site *simSite) *simChecks {
	return &simChecks{site: site, found: make(chan struct{}), bodies: map[string]digest{}, actors: map[uint64]string{}, highest: map[string]uint64{}}
}

func (c *simChecks) failf(format string, arguments ...any) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.fail(format, arguments...)
}

// fail needs the lock.
func (c *simChecks) fail(format string, arguments ...any) {
	if c.violation == "" {
		c.violation = fmt.Sprintf(format, arguments...)
		close(c.found)
	}
}

func (c *simChecks) failed() string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return c.violation
}

// follow looks at each state that a controller takes for chosen.
func (c *simChecks) follow(ctx context.Context, program *process) {
	for {
		changed := program.node.Changed()
		c.chosen(program.controller.self.Address, program.node.Latest())
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// chosen checks that a state extends, or is part of, all that was chosen before.
func (c *simChecks) chosen(by string, state register.State) {
	decoded, err := decodeState(state.Data)
	if err != nil {
		c.failf("%s holds a state that can't be read: %v", by, err)
		return
	}
	var changes []digest
	for one := range slices.Chunk(decoded.Digests, digestBytes) {
		changes = append(changes, digest(one))
	}
	before := int(decoded.Changes) - len(changes) // changes whose digests are kept no more
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if before < 0 || before > len(c.chain) {
		c.fail("%s holds %d changes and %d digests, %d are known", by, decoded.Changes, len(changes), len(c.chain))
		return
	}
	for i, one := range changes {
		switch at := before + i; {
		case at == len(c.chain):
			c.chain = append(c.chain, one)
		case c.chain[at] != one:
			c.fail("%s holds another change %d than was chosen", by, at+1)
			return
		}
	}
}

// place returns the number of a change in the chain, from 1; 0 if it isn't there. It needs the lock.
func (c *simChecks) place(change digest) int { return 1 + slices.Index(c.chain, change) }

// called notes the end of a call of an operator.
func (c *simChecks) called(call simCall) {
	call.ended = time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.history = append(c.history, call)
	if call.verdict == simTaken {
		c.acks = append(c.acks, simAcked{at: call.ended, change: call.change})
	}
	if call.verdict == simRefused && c.place(call.change) > 0 {
		c.fail("change %d was taken and is refused", c.place(call.change))
	}
}

// followed checks a step of a follower: it never goes back.
func (c *simChecks) followed(name string, before fleetwire.Version, after *watch.Snapshot) {
	if after.Version.ConfigRevision < before.ConfigRevision || after.Version.Instances.Less(before.Instances) {
		c.failf("%s went back from %v to %v", name, before, after.Version)
	}
}

// ordered checks who gives orders: a token is one holder's, and none is used after a higher one.
func (c *simChecks) ordered(w *simWorker, holder string, token uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if actor, used := c.actors[token]; used && actor != holder {
		c.fail("%s and %s order workers under token %d", actor, holder, token)
	}
	c.actors[token] = holder
	if token < w.token {
		c.fail("%s orders a worker under token %d after %d", holder, token, w.token)
	}
}

// sample looks at the whole site now and then until the context is done.
func (c *simChecks) sample(ctx context.Context) {
	ticker := time.NewTicker(sampleEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return
		}
		for _, role := range roles {
			c.holders(role)
		}
		c.disks()
		c.freshness()
	}
}

// holders checks that no two hold a role at one moment, and that tokens rise.
func (c *simChecks) holders(role string) {
	var names []string
	for _, m := range c.site.present() {
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
		if token < c.highest[role] {
			c.fail("%s holds %s under token %d after %d", m.settings.NodeName, role, token, c.highest[role])
		}
		c.highest[role] = max(c.highest[role], token)
		c.mutex.Unlock()
	}
	if len(names) > 1 {
		c.failf("%v hold %s at once", names, role)
	}
}

// disks checks that a majority of the disks of the set exist.
func (c *simChecks) disks() {
	newest := c.site.newest()
	if len(newest.Replicas) == 0 {
		return
	}
	disks := c.site.existingDisks()
	existing := existingOf(newest.Replicas, disks)
	if 2*existing <= len(newest.Replicas) {
		c.failf("%d of the %d disks of the set exist: %v, %v", existing, len(newest.Replicas), newest.Replicas, disks)
	}
}

// freshness checks that a follower that counts itself in touch has what was acknowledged some time before.
func (c *simChecks) freshness() {
	now := time.Now()
	c.mutex.Lock()
	defer c.mutex.Unlock()
	wanted := 0
	for _, ack := range c.acks {
		if now.Sub(ack.at) > simPropagation {
			wanted = max(wanted, c.place(ack.change))
		}
	}
	for _, m := range c.site.frontends {
		follower := m.follower.Load()
		if follower == nil || follower.QuorumAge() > watch.DefaultMaxQuorumAge {
			continue
		}
		if snapshot := follower.Current(); snapshot != nil && int(snapshot.Version.ConfigRevision) < wanted {
			c.fail("%s follows a hub in touch and has change %d; %d was acknowledged %v ago", m.machine.IP(),
				snapshot.Version.ConfigRevision, wanted, simPropagation)
		}
	}
}

// linearizable checks the history against the chain, which is the order of the changes: a call that began after the end of
// another one saw its effect, and what was refused never took place.
func (c *simChecks) linearizable() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	byEnd := slices.Clone(c.history)
	slices.SortFunc(byEnd, func(a, b simCall) int { return a.ended.Compare(b.ended) })
	first := map[digest]time.Time{} // when a change was first sent
	for _, call := range c.history {
		if begun, sent := first[call.change]; call.verdict != simRead && (!sent || call.begun.Before(begun)) {
			first[call.change] = call.begun
		}
	}
	byBegin := slices.Clone(c.history)
	slices.SortFunc(byBegin, func(a, b simCall) int { return a.begun.Compare(b.begun) })
	seen, next := 0, 0
	for _, call := range byBegin {
		for next < len(byEnd) && byEnd[next].ended.Before(call.begun) {
			if byEnd[next].verdict != simRefused {
				seen = max(seen, c.place(byEnd[next].change))
			}
			next++
		}
		at := c.place(call.change)
		switch {
		case call.verdict == simRefused && at > 0:
			c.fail("change %d was refused at %v", at, call.ended.Sub(c.site.began))
		case call.verdict == simTaken && at == 0:
			c.fail("a change acknowledged at %v is lost", call.ended.Sub(c.site.began))
		case call.verdict == simTaken && at <= seen && first[call.change].Equal(call.begun):
			c.fail("change %d was acknowledged after change %d, and first sent later", at, seen)
		case call.verdict == simRead && at < seen:
			c.fail("a read from %v to %v gave change %d after %d", call.begun.Sub(c.site.began), call.ended.Sub(c.site.began), at, seen)
		}
	}
}

// settled returns what is not yet as it is to be once troubles have ended: the set holds each machine's disk, each disk holds
// the newest state, and someone holds each role.
func (c *simChecks) settled() string {
	newest := c.site.newest()
	held := map[string]bool{}
	for _, m := range c.site.present() {
		program := m.program()
		if program == nil {
			return m.settings.NodeName + " does not run"
		}
		if !program.node.Formed() {
			return fmt.Sprintf("%s does not know a whole set: %v", m.settings.NodeName, program.node.Latest().Replicas)
		}
		id, accepted := m.diskState()
		if !slices.ContainsFunc(newest.Replicas, func(r register.Replica) bool { return r.ID == id }) {
			return fmt.Sprintf("%s with disk %s is not in the set %v", m.settings.NodeName, id, newest.Replicas)
		}
		if accepted.Value.Revision != newest.Revision || !bytes.Equal(accepted.Value.Data, newest.Data) {
			return fmt.Sprintf("%s has revision %d on its disk, the newest is %d", m.settings.NodeName, accepted.Value.Revision,
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

// read notes a configuration that was read. It is told by its bytes, which are each change's own.
func (c *simChecks) read(begun time.Time, body []byte) {
	c.mutex.Lock()
	change, known := c.bodies[string(body)]
	if !known {
		c.fail("a configuration was read that nobody sent")
	}
	c.mutex.Unlock()
	c.called(simCall{begun: begun, change: change, verdict: simRead})
}

// sending notes a change that is about to be sent.
func (c *simChecks) sending(wanted change) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.bodies[string(wanted.Body)] = wanted.Digest
}
