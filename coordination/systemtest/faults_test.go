package systemtest

import (
	"fmt"
	"time"

	"github.com/samber/lo"

	"weldscale/coordination/sim"
)

const (
	faultPeriod      = 15 * time.Second
	maxFaultInterval = 600 * time.Millisecond
	maxFaultDuration = 3 * time.Second
	slowDiskLatency  = 300 * time.Millisecond
	maxHosts         = 14
)

// fault injects a fault, usually into the target, and schedules its end.
type fault func(d *deployment, target *host)

// allFaults are drawn with equal probability. Faults that are listed twice are twice as likely.
var allFaults = []fault{
	kill, losePower, loseAllPower, wipe, replace, freeze, freeze, isolate, isolate, cutOneWay, cutOneWay,
	partition, fillDisk, failDisk, stallDisk, slowDisk, stepWallClock,
}

// reconfigurationFaults cause reconfigurations of the replica set while messages and writes are delayed.
var reconfigurationFaults = []fault{wipe, wipe, replace, isolate, cutOneWay, partition, partition, slowDisk}

// suspendFaults also stop the monotonic clock. They are listed twice to be drawn twice as often.
var suspendFaults = []fault{suspend, suspend}

// endLater ends a fault after a random time.
func (d *deployment) endLater(end func()) { d.world.After(d.world.Between(0, maxFaultDuration), end) }

func kill(d *deployment, target *host) {
	target.machine.Kill()
	d.endLater(func() { d.start(target) })
}

func losePower(d *deployment, target *host) {
	target.machine.LosePower()
	d.endLater(func() { d.start(target) })
}

func loseAllPower(d *deployment, _ *host) {
	if d.world.Chance(0.7) {
		return
	}
	for _, host := range d.hosts {
		host.machine.LosePower()
		d.world.After(d.world.Between(0, time.Second), func() { d.start(host) })
	}
}

func wipe(d *deployment, target *host) {
	if target.core && d.mayWipe() {
		d.wipeCount++
		target.machine.Wipe()
		d.endLater(func() { d.start(target) })
	}
}

func replace(d *deployment, target *host) {
	if target.core && d.mayWipe() && len(d.hosts) < maxHosts {
		d.wipeCount++
		d.replaceHost(target)
	}
}

func freeze(d *deployment, target *host) {
	target.machine.Freeze()
	d.endLater(target.machine.Thaw)
}

func suspend(d *deployment, target *host) {
	d.clocksNeverStopped = false
	target.machine.Suspend()
	d.endLater(target.machine.Thaw)
}

func isolate(d *deployment, target *host) {
	d.world.Network().Isolate(target.machine.Name())
	d.endLater(func() { d.reconnect(target.machine.Name()) })
}

// partition divides the machines into two sides that cannot reach each other.
func partition(d *deployment, _ *host) {
	side := lo.Map(d.hosts, func(*host, int) bool { return d.world.Chance(0.5) })
	forCrossLinks := func(act func(from, to string)) {
		for i, from := range side {
			for j, to := range side {
				if from != to {
					act(d.hosts[i].machine.Name(), d.hosts[j].machine.Name())
				}
			}
		}
	}
	forCrossLinks(d.world.Network().Cut)
	d.endLater(func() { forCrossLinks(d.world.Network().Heal) })
}

func cutOneWay(d *deployment, target *host) {
	name, other := target.machine.Name(), d.hosts[d.world.IntN(len(d.hosts))].machine.Name()
	d.world.Network().Cut(name, other)
	d.endLater(func() { d.world.Network().Heal(name, other) })
}

func fillDisk(d *deployment, target *host) {
	files := target.machine.Disk().Files()
	files.Full = true
	d.endLater(func() { files.Full = false })
}

func failDisk(d *deployment, target *host) {
	files := target.machine.Disk().Files()
	files.FailSyncs = true
	d.endLater(func() { files.FailSyncs = false })
}

func stallDisk(d *deployment, target *host) {
	disk := target.machine.Disk()
	disk.Stall()
	d.endLater(disk.Resume)
}

func slowDisk(d *deployment, target *host) {
	disk := target.machine.Disk()
	disk.MaxLatency = slowDiskLatency
	d.endLater(func() { disk.MaxLatency = sim.DefaultMaxDiskLatency })
}

func stepWallClock(d *deployment, target *host) {
	target.machine.StepWallClock(d.world.Between(-time.Hour, time.Hour))
}

// reconnect ends all cuts between a machine and the others.
func (d *deployment) reconnect(name string) {
	for _, other := range d.world.Machines() {
		d.world.Network().Heal(name, other.Name())
		d.world.Network().Heal(other.Name(), name)
	}
}

// mayWipe reports whether a disk may be lost: the chosen set contains the current disk of each controller, so that no other
// disk is missing.
func (d *deployment) mayWipe() bool { return d.formed() }

// replaceHost removes a controller permanently and starts another one at a new address.
func (d *deployment) replaceHost(old *host) {
	old.machine.LosePower()
	old.removed = true
	d.seeds = lo.Map(d.coreHosts(), func(host *host, _ int) string { return host.machine.Name() })
	replacement := d.add(fmt.Sprintf("core%d", len(d.hosts)), true)
	d.world.After(d.world.Between(0, time.Second), func() { d.start(replacement) })
}

// injectFaults injects random faults, which may overlap, over a network that delays, loses and duplicates messages.
func (d *deployment) injectFaults(duration time.Duration, faults []fault) error {
	d.world.Network().SetDefaultLink(sim.Link{
		MinDelay: 200 * time.Microsecond, MaxDelay: d.world.Between(time.Millisecond, 60*time.Millisecond),
		Loss: 0.05 * d.world.Float64(), Duplicate: 0.1 * d.world.Float64(),
		DelaySpike: 0.1 * d.world.Float64(), MaxDelaySpike: 2 * time.Second,
	})
	for end := d.world.Now() + duration; d.world.Now() < end; {
		if target := d.hosts[d.world.IntN(len(d.hosts))]; !target.removed {
			faults[d.world.IntN(len(faults))](d, target)
		}
		if err := d.run(d.world.Between(0, maxFaultInterval)); err != nil {
			return err
		}
	}
	return nil
}

// healAll ends all faults and starts all programs that are not running.
func (d *deployment) healAll() {
	network := d.world.Network()
	network.HealAll()
	network.SetDefaultLink(sim.DefaultLink())
	for _, host := range d.hosts {
		host.machine.Disk().ClearFaults()
		host.machine.Thaw()
		d.start(host)
	}
}
