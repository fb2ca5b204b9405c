package systemtest

import (
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"weldscale/coordination/sim/simtest"
)

const wipeRounds = 3

// runWipes lets two of three replicas accept a change, then wipes one of them and isolates the other. The third replica does
// not know the change. It and the empty disk must not form a quorum, which would lose the change.
func runWipes(seed uint64, defects injectedDefects) (*deployment, error) {
	d := newDeployment(seed, defects)
	if err := d.waitFormed(); err != nil {
		return d, err
	}
	d.bootstrap = false
	for range wipeRounds {
		for _, step := range []func() error{d.wipeAfterChange, d.checkRecovery} {
			if err := step(); err != nil {
				return d, err
			}
		}
	}
	return d, d.checkHistory()
}

// wipeAfterChange has a change acknowledged while one replica is isolated, and then wipes another one. It finally reconnects
// all.
func (d *deployment) wipeAfterChange() error {
	hosts := d.replicaHosts()
	shuffle(d, hosts)
	outdated, wiped, upToDate := hosts[0].machine, hosts[1], hosts[2].machine
	d.world.Network().Isolate(outdated.Name())
	if err := d.commitChange(); err != nil {
		return err
	}
	wiped.machine.Wipe()
	d.world.Network().Isolate(upToDate.Name())
	d.reconnect(outdated.Name())
	d.world.Network().Cut(upToDate.Name(), outdated.Name())
	d.world.Network().Cut(outdated.Name(), upToDate.Name())
	d.start(wiped)
	if err := d.run(maxOutage); err != nil {
		return err
	}
	d.reconnect(upToDate.Name())
	return nil
}

// replicaHosts returns the hosts of the replicas of the chosen set.
func (d *deployment) replicaHosts() []*host {
	set := d.checker.newest.Value
	return lo.Filter(d.coreHosts(), func(host *host, _ int) bool { return set.HasReplica(host.controller.node.id()) })
}

func shuffle(d *deployment, hosts []*host) {
	for i := len(hosts) - 1; i > 0; i-- {
		j := d.world.IntN(i + 1)
		hosts[i], hosts[j] = hosts[j], hosts[i]
	}
}

// TestWipedReplicaLosesNoChange checks that a replica that restarts with an empty disk does not count as the replica that it
// was before, because it has lost the values that it accepted.
func TestWipedReplicaLosesNoChange(t *testing.T) {
	simtest.Run(t, simtest.Seeds{Fixed: 40, Fresh: 10}, func(t *testing.T, seed uint64) {
		_, err := runWipes(seed, injectedDefects{})
		require.NoError(t, err)
	})
}
