package controller

import (
	"context"
	"slices"
	"time"

	"github.com/samber/lo"

	"weldscale/coordination/register"
	"weldscale/coordination/sim/live"
	"weldscale/internal/pause"
)

// Durations of the faults and of the pauses between them.
const (
	maxPauseBetweenFaults = 4 * time.Second
	maxOutage             = 5 * time.Second
	maxPartition          = 30 * time.Second
	maxAckWait            = 5 * time.Second
	maxDelayAfterAck      = 400 * time.Millisecond
	maxFlapPhase          = 700 * time.Millisecond
	maxCores              = 12
	slowDiskDelay         = 60 * time.Millisecond
	slowPathDelay         = 150 * time.Millisecond
)

// simFault is a kind of fault.
type simFault struct {
	name string
	// inject injects the fault. It returns the function that ends the fault, or nil if nothing remains to be ended.
	inject func(s *simSite, target *simMachine) (end func())
	// maxDuration bounds the duration of the fault. Zero stands for maxOutage.
	maxDuration time.Duration
}

// simFaults lists the faults that are drawn with equal probability. A kind that is listed twice is drawn twice as often.
var simFaults = []simFault{
	{name: "kill", inject: (*simSite).kill},
	{name: "power loss", inject: (*simSite).losePower},
	{name: "all controllers killed", inject: (*simSite).killCores},
	{name: "power loss of all controllers", inject: (*simSite).powerOffCores},
	{name: "power loss of all machines", inject: (*simSite).powerOffAll},
	{name: "disk lost", inject: (*simSite).wipe},
	{name: "disks lost, power loss of all others", inject: (*simSite).wipeAndPowerOff},
	{name: "partitioned, then the disk of another is lost", inject: (*simSite).wipeDuringPartition, maxDuration: maxPartition},
	{name: "replaced", inject: (*simSite).replace},
	{name: "planned replacement", inject: (*simSite).replacePlanned},
	{name: "stopped and started", inject: (*simSite).restart},
	{name: "partitioned from all", inject: (*simSite).partitionFromAll, maxDuration: maxPartition},
	{name: "partitioned from all", inject: (*simSite).partitionFromAll, maxDuration: maxPartition},
	{name: "partitioned from the controllers", inject: (*simSite).partitionFromCores, maxDuration: maxPartition},
	{name: "inbound blocked", inject: (*simSite).blockInbound, maxDuration: maxPartition},
	{name: "outbound blocked", inject: (*simSite).blockOutbound, maxDuration: maxPartition},
	{name: "two halves", inject: (*simSite).splitCores, maxDuration: maxPartition},
	{name: "flapping", inject: (*simSite).flap, maxDuration: maxPartition},
	{name: "slow paths", inject: (*simSite).slowPaths},
	{name: "disk full", inject: (*simSite).fillDisk},
	{name: "disk failing", inject: (*simSite).failDisk},
	{name: "disk stalled", inject: (*simSite).stallDisk},
	{name: "disk slow", inject: (*simSite).slowDisk},
	{name: "planned stop during a partition", inject: (*simSite).leaveDuringPartition, maxDuration: maxPartition},
}

// simRecovery is the scheduled end of a fault.
type simRecovery struct {
	at  time.Time
	end func()
}

// injectFaults injects random faults until ctx is done, some of them right after an acknowledgement. It then ends all of them.
func (s *simSite) injectFaults(ctx context.Context, faults []simFault) {
	var recoveries []simRecovery
	injectAt := time.Now()
	for {
		next := injectAt
		for _, recovery := range recoveries {
			if recovery.at.Before(next) {
				next = recovery.at
			}
		}
		running := pause.For(ctx, max(0, time.Until(next)))
		recoveries = s.recoverDue(recoveries, !running)
		if !running {
			return
		}
		if time.Now().Before(injectAt) {
			continue
		}
		if s.chance(0.4) {
			s.awaitAck(ctx)
		}
		if recovery, lasting := s.injectFault(faults[s.randomInt(len(faults))]); lasting {
			recoveries = append(recoveries, recovery)
		}
		injectAt = time.Now().Add(s.randomDuration(0, maxPauseBetweenFaults))
	}
}

// recoverDue ends the faults that are due, or all of them, and returns the remaining ones.
func (s *simSite) recoverDue(recoveries []simRecovery, all bool) []simRecovery {
	var remaining []simRecovery
	for _, recovery := range recoveries {
		if all || !recovery.at.After(time.Now()) {
			recovery.end()
		} else {
			remaining = append(remaining, recovery)
		}
	}
	return remaining
}

// injectFault injects a fault on a random machine. It reports whether the fault lasts until its recovery.
func (s *simSite) injectFault(fault simFault) (simRecovery, bool) {
	cores := s.currentCores()
	target := cores[s.randomInt(len(cores))]
	s.logf("-- %s: %s", fault.name, target.settings.NodeName)
	end := fault.inject(s, target)
	if end == nil {
		return simRecovery{}, false
	}
	maxDuration := fault.maxDuration
	if maxDuration == 0 {
		maxDuration = maxOutage
	}
	return simRecovery{at: time.Now().Add(s.randomDuration(0, maxDuration)), end: func() {
		s.logf("-- end of %s: %s", fault.name, target.settings.NodeName)
		end()
	}}, true
}

// awaitAck waits for an acknowledgement and for a short random time after it.
func (s *simSite) awaitAck(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, maxAckWait)
	defer cancel()
	select {
	case <-s.acked:
		pause.For(ctx, s.randomDuration(0, maxDelayAfterAck))
	case <-ctx.Done():
	}
}

// kill kills the process of a machine.
func (s *simSite) kill(target *simMachine) func() {
	s.crashCore(target, (*live.Machine).Kill)
	return func() { s.startCore(target) }
}

// losePower cuts the power of a machine.
func (s *simSite) losePower(target *simMachine) func() {
	s.crashCore(target, (*live.Machine).LosePower)
	return func() { s.startCore(target) }
}

// startAll returns a function that starts the machines.
func (s *simSite) startAll(cores []*simMachine) func() {
	return func() {
		for _, m := range cores {
			s.startCore(m)
		}
	}
}

// killCores kills the processes of all core machines.
func (s *simSite) killCores(*simMachine) func() {
	cores := s.currentCores()
	for _, m := range cores {
		s.crashCore(m, (*live.Machine).Kill)
	}
	return s.startAll(cores)
}

// powerOffCores cuts the power of all core machines.
func (s *simSite) powerOffCores(*simMachine) func() {
	cores := s.currentCores()
	for _, m := range cores {
		s.crashCore(m, (*live.Machine).LosePower)
	}
	return s.startAll(cores)
}

// powerOffAll cuts the power of all core and frontend machines.
func (s *simSite) powerOffAll(target *simMachine) func() {
	startCores, startFrontends := s.powerOffCores(target), s.powerOffFrontends()
	return func() {
		startCores()
		startFrontends()
	}
}

// powerOffFrontends cuts the power of all frontend machines and returns the function that restores it.
func (s *simSite) powerOffFrontends() func() {
	for _, m := range s.frontends {
		s.crashFrontend(m, (*live.Machine).LosePower)
	}
	return func() {
		for _, m := range s.frontends {
			s.startFrontend(m)
		}
	}
}

// canLoseDisks reports whether the site tolerates the loss of count more disks. In the current set of replicas and in the
// previous one, no more disks than the tolerance may be missing, and a majority must remain. A lost disk no longer counts once
// the set has a replacement for it.
func (s *simSite) canLoseDisks(count int) bool {
	newest := s.newestChosenValue()
	existing := s.existingDisks()
	for _, set := range [][]register.Replica{newest.Replicas, newest.Previous} {
		remaining := countExisting(set, existing)
		missing := len(set) - remaining
		if len(set) > 0 && (missing+count > s.tolerance || 2*(remaining-count) <= len(set)) {
			return false
		}
	}
	return len(newest.Replicas) > 0
}

// wipe destroys the disk of a machine if the site tolerates it.
func (s *simSite) wipe(target *simMachine) func() {
	if !s.canLoseDisks(1) {
		return nil
	}
	s.logf("disk of %s is lost", target.settings.NodeName)
	s.crashCore(target, (*live.Machine).Wipe)
	return func() { s.startCore(target) }
}

// wipeAndPowerOff destroys as many disks as the site tolerates and cuts the power of all other machines.
func (s *simSite) wipeAndPowerOff(target *simMachine) func() {
	if !s.canLoseDisks(s.tolerance) {
		return nil
	}
	cores := s.currentCores()
	first := slices.Index(cores, target)
	for i := range cores {
		m := cores[(first+i)%len(cores)]
		if i < s.tolerance {
			s.logf("disk of %s is lost", m.settings.NodeName)
			s.crashCore(m, (*live.Machine).Wipe)
		} else {
			s.crashCore(m, (*live.Machine).LosePower)
		}
	}
	startFrontends := s.powerOffFrontends()
	return func() {
		s.startAll(cores)()
		startFrontends()
	}
}

// wipeDuringPartition makes a machine miss changes in a partition. Then another machine restarts with an empty disk,
// the partition heals, and all machines but these two are without power until the fault ends.
func (s *simSite) wipeDuringPartition(target *simMachine) func() {
	heal := s.partitionFromCores(target)
	pause.For(s.ctx, s.randomDuration(time.Second, maxOutage))
	others := lo.Without(s.currentCores(), target)
	if !s.canLoseDisks(1) || len(others) == 0 {
		return heal
	}
	s.logf("disk of %s is lost", others[0].settings.NodeName)
	s.crashCore(others[0], (*live.Machine).Wipe)
	for _, m := range others[1:] {
		s.crashCore(m, (*live.Machine).LosePower)
	}
	s.startCore(others[0])
	heal()
	return s.startAll(others)
}

// replace removes a machine for good. A new one with an empty disk starts a second later at another address.
func (s *simSite) replace(target *simMachine) func() {
	if !s.canLoseDisks(1) || len(s.cores) >= maxCores {
		return nil
	}
	s.crashCore(target, (*live.Machine).Wipe)
	s.remove(target)
	pause.For(s.ctx, time.Second)
	s.startCore(s.addCore(false))
	return nil
}

// replacePlanned starts a new machine first, and then stops and removes the one that it replaces.
func (s *simSite) replacePlanned(target *simMachine) func() {
	if len(s.cores) >= maxCores {
		return nil
	}
	s.startCore(s.addCore(false))
	pause.For(s.ctx, s.randomDuration(200*time.Millisecond, 2*time.Second))
	if !s.canLoseDisks(1) {
		return nil // too many other disks are lost by now, so this machine stays
	}
	s.terminate(target)
	s.crashCore(target, (*live.Machine).Wipe)
	s.remove(target)
	return nil
}

// remove marks a machine as removed for good.
func (s *simSite) remove(m *simMachine) {
	s.logf("%s is removed", m.settings.NodeName)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m.removed = true
	m.removedAt = time.Now()
}

// restart terminates the process of a machine and starts it again at the end of the fault.
func (s *simSite) restart(target *simMachine) func() {
	s.terminate(target)
	return func() { s.startCore(target) }
}

// block blocks the traffic from one group of addresses to another, or in both directions.
func (s *simSite) block(from, to []string, bothWays bool) func() {
	change := func(act func(from, to string)) {
		for _, a := range from {
			for _, b := range to {
				if a == b {
					continue
				}
				act(a, b)
				if bothWays {
					act(b, a)
				}
			}
		}
	}
	change(s.network.Cut)
	return func() { change(s.network.Heal) }
}

// addressesOf returns the IP addresses of machines.
func addressesOf(machines []*simMachine) []string {
	return lo.Map(machines, func(m *simMachine, _ int) string { return m.machine.IP() })
}

// systemAddresses returns the addresses of the core and frontend machines, the platform and its workers.
func (s *simSite) systemAddresses() []string {
	addresses := append(addressesOf(s.currentCores()), addressesOf(s.frontends)...)
	addresses = append(addresses, simPlatformIP)
	return append(addresses, lo.Map(s.platform.workers, func(w *simWorker, _ int) string { return w.ip })...)
}

// partitionFromAll blocks all traffic of a core machine with the rest of the system.
func (s *simSite) partitionFromAll(target *simMachine) func() {
	return s.block([]string{target.machine.IP()}, s.systemAddresses(), true)
}

// partitionFromCores blocks the traffic between a core machine and the other core machines.
func (s *simSite) partitionFromCores(target *simMachine) func() {
	return s.block([]string{target.machine.IP()}, addressesOf(s.currentCores()), true)
}

// blockInbound blocks the traffic from the other core machines to one of them.
func (s *simSite) blockInbound(target *simMachine) func() {
	return s.block(addressesOf(s.currentCores()), []string{target.machine.IP()}, false)
}

// blockOutbound blocks the traffic from one core machine to the others.
func (s *simSite) blockOutbound(target *simMachine) func() {
	return s.block([]string{target.machine.IP()}, addressesOf(s.currentCores()), false)
}

// splitCores blocks the traffic between two halves of the core machines. All other machines still reach both halves.
func (s *simSite) splitCores(*simMachine) func() {
	cores := addressesOf(s.currentCores())
	s.mutex.Lock()
	s.random.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	s.mutex.Unlock()
	half := len(cores) / 2
	return s.block(cores[:half], cores[half:], true)
}

// flap partitions a machine from the other core machines and reconnects it, in turns of random length.
func (s *simSite) flap(target *simMachine) func() {
	ctx, stop := context.WithCancel(s.ctx)
	flapped := make(chan struct{})
	go func() {
		defer close(flapped)
		for ctx.Err() == nil {
			heal := s.partitionFromCores(target)
			pause.For(ctx, s.randomDuration(0, maxFlapPhase))
			heal()
			pause.For(ctx, s.randomDuration(0, maxFlapPhase))
		}
	}()
	return func() {
		stop()
		<-flapped
	}
}

// slowPaths delays the traffic between a core machine and the others.
func (s *simSite) slowPaths(target *simMachine) func() {
	change := func(by time.Duration) {
		for _, other := range addressesOf(s.currentCores()) {
			s.network.SetExtraDelay(target.machine.IP(), other, by)
			s.network.SetExtraDelay(other, target.machine.IP(), by)
		}
	}
	change(slowPathDelay)
	return func() { change(0) }
}

// fillDisk makes the writes of a machine fail for lack of space.
func (s *simSite) fillDisk(target *simMachine) func() {
	target.machine.Disk().SetFull(true)
	return func() { target.machine.Disk().SetFull(false) }
}

// failDisk makes the syncs of a machine's disk fail.
func (s *simSite) failDisk(target *simMachine) func() {
	target.machine.Disk().SetFailSyncs(true)
	return func() { target.machine.Disk().SetFailSyncs(false) }
}

// stallDisk blocks the disk operations of a machine.
func (s *simSite) stallDisk(target *simMachine) func() {
	target.machine.Disk().Stall()
	return target.machine.Disk().Resume
}

// slowDisk delays the disk operations of a machine.
func (s *simSite) slowDisk(target *simMachine) func() {
	target.machine.Disk().SetExtraLatency(slowDiskDelay)
	return func() { target.machine.Disk().SetExtraLatency(0) }
}

// leaveDuringPartition terminates the process of a machine, as planned maintenance does, while another machine is partitioned.
func (s *simSite) leaveDuringPartition(target *simMachine) func() {
	others := lo.Without(s.currentCores(), target)
	if len(others) == 0 {
		return nil
	}
	heal := s.partitionFromAll(others[s.randomInt(len(others))])
	s.terminate(target)
	return func() {
		heal()
		s.startCore(target)
	}
}
