package systemtest

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"weldscale/coordination/sim"
	"weldscale/coordination/sim/simtest"
)

const (
	toleranceRounds = 6
	maxOutage       = 3 * time.Second
)

// failure is a kind of failure that a deployment without other faults must tolerate. While it lasts, changes are acknowledged
// and propagated to all frontends in time. After its end, the deployment recovers in time.
type failure struct {
	name  string
	begin func(d *deployment, target *host) (end func())
	all   bool // all controllers are down for a short time, in which no changes are expected
}

// failures affect one controller, or all controllers at once. At most one of them loses its disk.
var failures = []failure{
	{name: "killed", begin: func(d *deployment, target *host) func() {
		target.machine.Kill()
		return func() { d.start(target) }
	}},
	{name: "power loss", begin: func(d *deployment, target *host) func() {
		target.machine.LosePower()
		return func() { d.start(target) }
	}},
	{name: "disk lost", begin: func(d *deployment, target *host) func() {
		target.machine.Wipe()
		return func() { d.start(target) }
	}},
	{name: "replaced at another address", begin: func(d *deployment, target *host) func() {
		d.replaceHost(target)
		return func() {}
	}},
	{name: "frozen", begin: func(_ *deployment, target *host) func() {
		target.machine.Freeze()
		return target.machine.Thaw
	}},
	{name: "isolated from all", begin: func(d *deployment, target *host) func() {
		d.world.Network().Isolate(target.machine.Name())
		return func() { d.reconnect(target.machine.Name()) }
	}},
	{name: "outgoing messages lost", begin: func(d *deployment, target *host) func() {
		for _, other := range d.hosts {
			d.world.Network().Cut(target.machine.Name(), other.machine.Name())
		}
		return func() { d.reconnect(target.machine.Name()) }
	}},
	{name: "disk full", begin: func(_ *deployment, target *host) func() {
		target.machine.Disk().Files().Full = true
		return target.machine.Disk().ClearFaults
	}},
	{name: "disk stalled", begin: func(_ *deployment, target *host) func() {
		target.machine.Disk().Stall()
		return target.machine.Disk().ClearFaults
	}},
	{name: "disk syncs fail", begin: func(_ *deployment, target *host) func() {
		target.machine.Disk().Files().FailSyncs = true
		return target.machine.Disk().ClearFaults
	}},
	{name: "all killed", all: true, begin: func(d *deployment, _ *host) func() {
		lo.ForEach(d.coreHosts(), func(host *host, _ int) { host.machine.Kill() })
		return d.startAll
	}},
	{name: "power loss of all", all: true, begin: func(d *deployment, _ *host) func() {
		lo.ForEach(d.coreHosts(), func(host *host, _ int) { host.machine.LosePower() })
		return d.startAll
	}},
	{name: "power loss of all, one disk lost", all: true, begin: func(d *deployment, target *host) func() {
		lo.ForEach(d.coreHosts(), func(host *host, _ int) { host.machine.LosePower() })
		target.machine.Wipe()
		return d.startAll
	}},
}

func (d *deployment) startAll() {
	for _, host := range d.coreHosts() {
		d.world.After(d.world.Between(0, maxStartDelay), func() { d.start(host) })
	}
}

// checkTolerance injects a failure, right after a change was acknowledged or at any other time, and checks that the deployment
// tolerates it.
func (d *deployment) checkTolerance(f failure) error {
	target := d.coreHosts()[d.world.IntN(len(d.coreHosts()))]
	afterChange := d.world.Chance(0.5)
	if afterChange {
		if err := d.commitChange(); err != nil {
			return err
		}
	}
	end := f.begin(d, target)
	if !f.all {
		if err := d.checkService(afterChange); err != nil {
			return err
		}
	}
	end()
	if err := d.waitFor(catchUpTimeout+maxStartDelay, "formed again", d.formed); err != nil {
		return err
	}
	d.checker.checkAcknowledged()
	return d.violationError()
}

// checkService checks that the other controllers keep serving during a failure: they propagate the change that was acknowledged
// just before, and acknowledge and propagate another one.
func (d *deployment) checkService(afterChange bool) error {
	if afterChange {
		if err := d.checkPropagation(d.frontendHosts()); err != nil {
			return err
		}
	}
	if err := d.checkChange(ackTimeout, d.frontendHosts()); err != nil {
		return err
	}
	return d.run(d.world.Between(0, maxOutage))
}

// commitChange submits a change and returns at the moment of its acknowledgement.
func (d *deployment) commitChange() error {
	acknowledged := false
	d.submit(d.nextID(), 4, func(reply clientReply) { acknowledged = reply.Error == nil })
	return d.waitFor(ackTimeout, "the change is acknowledged", func() bool { return acknowledged })
}

// runFailures runs a deployment with one random failure after the other.
func runFailures(seed uint64, defects injectedDefects, failures []failure) (*deployment, error) {
	d := newDeployment(seed, defects)
	d.changeCount = d.world.IntN(maxChanges) // so the operator stops at a random time
	d.world.Network().SetDefaultLink(sim.Link{MinDelay: 200 * time.Microsecond,
		MaxDelay: d.world.Between(time.Millisecond, 10*time.Millisecond)})
	if err := d.waitFormed(); err != nil {
		return d, err
	}
	d.bootstrap = false
	if err := d.checkRecovery(); err != nil {
		return d, err
	}
	for range toleranceRounds {
		f := failures[d.world.IntN(len(failures))]
		if err := d.checkTolerance(f); err != nil {
			return d, wrapError(f.name, err)
		}
	}
	if err := d.checkRecovery(); err != nil {
		return d, err
	}
	return d, d.checkHistory()
}

// TestDeploymentToleratesFailureOfAnyController checks that neither the failure of a controller nor a short outage of all loses
// an acknowledged change, and that changes are acknowledged and propagated in time.
func TestDeploymentToleratesFailureOfAnyController(t *testing.T) {
	simtest.Run(t, simtest.Seeds{Fixed: 60, Fresh: 20}, func(t *testing.T, seed uint64) {
		_, err := runFailures(seed, injectedDefects{}, failures)
		require.NoError(t, err)
	})
}
