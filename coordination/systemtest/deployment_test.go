package systemtest

import (
	"fmt"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"weldscale/coordination/register"
	"weldscale/coordination/sim"
)

const (
	maxStartDelay       = 300 * time.Millisecond
	holderCheckInterval = 10 * time.Millisecond
	attemptTimeout      = 1800 * time.Millisecond
	maxChanges          = 40
	operatorName        = "operator"
)

// injectedDefects are implementation errors that the checks must detect.
type injectedDefects struct {
	repliesBeforeSync bool
	keepsIdentity     bool // a wiped replica restarts under its old identity
	skipsJoint        bool // a reconfiguration takes one step, without a joint set that needs both majorities
	reusesToken       bool // a role is taken over without a higher token
	resetsFollower    bool // a follower loses its snapshot before each poll
}

// host is a machine with the program that runs on it.
type host struct {
	machine    *sim.Machine
	controller *controller // of the current run
	frontend   *frontend
	core       bool // it runs a controller, else a frontend
	removed    bool // it was replaced and never starts again
}

// deployment is a simulated fleet of controllers and frontends, with an operator whose machine has no faults.
type deployment struct {
	world              *sim.World
	defects            injectedDefects
	checker            *checker
	founders           []string // addresses of the first replica set
	seeds              []string // configured addresses of controllers
	bootstrap          bool     // it starts for the first time; founders with an empty disk form the replica set
	hosts              []*host
	operator           *sim.Process
	changeCount        int  // changes that got an identifier; the operator stops at maxChanges
	idle               bool // the operator sends no requests by itself
	clocksNeverStopped bool // no monotonic clock has been stopped
	wipeCount          int  // disks that were lost
}

func newDeployment(seed uint64, defects injectedDefects) *deployment {
	d := &deployment{world: sim.New(seed), defects: defects, bootstrap: true, clocksNeverStopped: true}
	for i := range targetReplicas {
		d.founders = append(d.founders, fmt.Sprintf("core%d", i))
	}
	d.seeds = d.founders
	d.checker = newChecker(d.founders)
	for i := range targetReplicas + d.world.IntN(3) {
		d.add(fmt.Sprintf("core%d", i), true)
	}
	for i := range 3 {
		d.add(fmt.Sprintf("front%d", i), false)
	}
	for _, host := range d.hosts {
		d.world.After(d.world.Between(0, maxStartDelay), func() { d.start(host) })
	}
	d.world.AddMachine(operatorName).Start(func(process *sim.Process) { d.operator = process })
	d.monitorHolders()
	d.runOperator()
	return d
}

func (d *deployment) add(name string, core bool) *host {
	added := &host{machine: d.world.AddMachine(name), core: core}
	d.hosts = append(d.hosts, added)
	// Apart from cuts, the operator's links neither lose nor duplicate messages, so a refused call has certainly had no effect.
	d.world.Network().SetLink(operatorName, name, sim.DefaultLink())
	d.world.Network().SetLink(name, operatorName, sim.DefaultLink())
	return added
}

func (d *deployment) start(host *host) {
	if host.removed {
		return
	}
	host.machine.Start(func(process *sim.Process) {
		if host.core {
			host.controller = startController(process, d)
		} else {
			host.frontend = startFrontend(process, d)
		}
	})
}

func (d *deployment) coreHosts() []*host {
	return lo.Filter(d.hosts, func(host *host, _ int) bool { return host.core && !host.removed })
}

func (d *deployment) frontendHosts() []*host {
	return lo.Filter(d.hosts, func(host *host, _ int) bool { return !host.core && !host.removed })
}

// nextFrontend returns the name of the next frontend in a ring.
func (d *deployment) nextFrontend(name string) string {
	all := d.frontendHosts()
	for i, host := range all {
		if host.machine.Name() == name {
			return all[(i+1)%len(all)].machine.Name()
		}
	}
	return all[0].machine.Name()
}

// monitorHolders periodically checks the holders of the role. A process whose monotonic clock was stopped may wrongly believe
// that it still holds the role, so the check ends with the first suspension.
func (d *deployment) monitorHolders() {
	var tokens []uint64
	for _, host := range d.coreHosts() {
		if process := host.machine.Process(); process != nil && process.Running() {
			if token, held := host.controller.holds(); held {
				tokens = append(tokens, token)
			}
		}
	}
	if d.clocksNeverStopped {
		d.checker.checkHolders(tokens)
	}
	d.world.After(holderCheckInterval, d.monitorHolders)
}

// runOperator makes the operator append or read at random intervals.
func (d *deployment) runOperator() {
	d.world.After(d.world.Between(0, 1200*time.Millisecond), func() {
		if !d.idle && d.changeCount < maxChanges {
			id := ""
			if d.world.Chance(0.6) {
				id = d.nextID()
			}
			d.submit(id, 1+d.world.IntN(3), func(clientReply) {})
		}
		d.runOperator()
	})
}

func (d *deployment) nextID() string {
	d.changeCount++
	return fmt.Sprintf("c%d", d.changeCount)
}

// submit sends a request to one controller after the other until one succeeds or there were as many attempts, and records the
// outcome in the history.
func (d *deployment) submit(id string, attempts int, done func(clientReply)) {
	d.checker.history = append(d.checker.history, historyEntry{called: d.world.Now(), id: id})
	historyIndex := len(d.checker.history) - 1
	d.attempt(historyIndex, attempts, d.world.IntN(len(d.coreHosts())), true, done)
}

func (d *deployment) attempt(historyIndex, attempts, target int, noEffect bool, done func(clientReply)) {
	coreHosts := d.coreHosts()
	id := d.checker.history[historyIndex].id
	address := coreHosts[target%len(coreHosts)].machine.Name()
	d.operator.Call(address, clientRequest{Append: id}, attemptTimeout, func(answer any, err error) {
		reply, answered := answer.(clientReply)
		switch {
		case err == nil && answered && reply.Error == nil:
			d.recordFinished(historyIndex, reply)
			done(reply)
			return
		case err == nil && eris.Is(reply.Error, errNoQuorum), eris.Is(err, sim.ErrRefused):
		default:
			noEffect = false // the change may still be chosen
		}
		if attempts > 1 {
			d.attempt(historyIndex, attempts-1, target+1, noEffect, done)
			return
		}
		d.checker.history[historyIndex].excluded = noEffect || id == ""
		done(clientReply{Error: errNoQuorum})
	})
}

func (d *deployment) recordFinished(historyIndex int, reply clientReply) {
	entry := &d.checker.history[historyIndex]
	entry.finished, entry.ended = true, d.world.Now()
	if entry.id != "" {
		d.checker.acknowledged = append(d.checker.acknowledged, entry.id)
		return
	}
	entry.result = reply.Log
}

// formed reports whether all controllers are up, and the replica set has its target size and contains the current disk of each.
func (d *deployment) formed() bool {
	set := d.checker.newest.Value
	return !set.Joint() && len(set.Replicas) >= targetReplicas && lo.EveryBy(d.coreHosts(), func(host *host) bool {
		return host.machine.Up() && set.HasReplica(host.controller.node.id())
	})
}

// run advances the simulation and returns an error if a rule was violated.
func (d *deployment) run(duration time.Duration) error {
	d.world.RunUntil(duration, func() bool { return d.checker.violation != "" })
	return d.violationError()
}

// waitFor advances the simulation until a condition holds. It returns an error if that takes longer than the timeout or if a
// rule was violated.
func (d *deployment) waitFor(timeout time.Duration, condition string, holds func() bool) error {
	from := d.world.Now()
	d.world.RunUntil(timeout, func() bool { return d.checker.violation != "" || holds() })
	if err := d.violationError(); err != nil {
		return err
	}
	if !holds() {
		return eris.Errorf("condition not met within %v from %v: %s\n%s", timeout, from, condition, d.describe())
	}
	return nil
}

func (d *deployment) violationError() error {
	if d.checker.violation != "" {
		return eris.Errorf("at %v: %s\n%s", d.world.Now(), d.checker.violation, d.describe())
	}
	return nil
}

// describe returns the newest chosen state and the state of each machine as text.
func (d *deployment) describe() string {
	var text strings.Builder
	newest := d.checker.newest.Value
	fmt.Fprintf(&text, "newest: revision %d, log %v, set %v, previous set %v, reader %v\n", newest.Revision,
		decodeState(newest.Data).Log, replicaIDs(newest.Replicas), replicaIDs(newest.Previous), decodeState(newest.Data).Reader)
	for _, host := range d.hosts {
		machine := host.machine
		fmt.Fprintf(&text, "%s: up %v, frozen %v, removed %v", machine.Name(), machine.Up(), machine.Frozen(), host.removed)
		if machine.Up() && host.core {
			n := host.controller.node
			fmt.Fprintf(&text, ", id %s, chosen %d %v, known %v, quorum age %v", n.id(), n.chosen.Value.Revision, n.chosen.Ballot,
				n.known().Ballot, n.quorumAge())
		}
		if machine.Up() && !host.core {
			live := lo.Map(host.frontend.detector.LiveMembers(), func(m member, _ int) string { return m.Name })
			fmt.Fprintf(&text, ", revision %d, live members %v", host.frontend.configRevision(), live)
		}
		text.WriteString("\n")
	}
	return text.String()
}

func replicaIDs(replicas []register.Replica) []string {
	return lo.Map(replicas, func(r register.Replica, _ int) string { return r.ID + "@" + r.Address })
}

func wrapError(text string, err error) error { return eris.Wrap(err, text) }
