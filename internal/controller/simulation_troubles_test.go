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

// Spans of the troubles.
const (
	longestRestBetween = 4 * time.Second
	longestOutage      = 5 * time.Second
	longestCut         = 30 * time.Second
	longestAckWait     = 5 * time.Second
	longestAckStrike   = 400 * time.Millisecond
	flapSpan           = 700 * time.Millisecond
	mostCores          = 12
	slowStep           = 60 * time.Millisecond
	slowPath           = 150 * time.Millisecond
)

// simTrouble has something befall a site, and returns what ends it.
type simTrouble struct {
	name   string
	strike func(s *simSite, hit *simMachine) (end func())
	// longest bounds how long it lasts; 0: longestOutage.
	longest time.Duration
}

// simTroubles are drawn alike.
var simTroubles = []simTrouble{
	{name: "kill", strike: (*simSite).kill},
	{name: "power", strike: (*simSite).losePower},
	{name: "all cores killed", strike: (*simSite).killCores},
	{name: "all cores without power", strike: (*simSite).darkenCores},
	{name: "everything without power", strike: (*simSite).darkenAll},
	{name: "disk lost", strike: (*simSite).wipe},
	{name: "disks lost, all others without power", strike: (*simSite).wipeAndDarken},
	{name: "behind, then the disk of another is lost", strike: (*simSite).wipeBesideCut, longest: longestCut},
	{name: "replaced", strike: (*simSite).replace},
	{name: "replaced by plan", strike: (*simSite).replaceByPlan},
	{name: "stopped and started", strike: (*simSite).restart},
	{name: "cut off from all", strike: (*simSite).cutFromAll, longest: longestCut},
	{name: "cut off from all", strike: (*simSite).cutFromAll, longest: longestCut},
	{name: "cut off from the core", strike: (*simSite).cutFromCores, longest: longestCut},
	{name: "heard, not hearing", strike: (*simSite).cutInbound, longest: longestCut},
	{name: "hearing, not heard", strike: (*simSite).cutOutbound, longest: longestCut},
	{name: "two halves", strike: (*simSite).split, longest: longestCut},
	{name: "flapping", strike: (*simSite).flap, longest: longestCut},
	{name: "slow paths", strike: (*simSite).slowPaths},
	{name: "disk full", strike: (*simSite).fillDisk},
	{name: "disk failing", strike: (*simSite).failDisk},
	{name: "disk stalled", strike: (*simSite).stallDisk},
	{name: "disk slow", strike: (*simSite).slowDisk},
	{name: "planned leaving in a cut", strike: (*simSite).leaveInCut, longest: longestCut},
}

// simEnd ends a trouble at its time.
type simEnd struct {
	at  time.Time
	act func()
}

// befall has troubles strike until the context is done, some right after an acknowledgement, and then ends all of them.
func (s *simSite) befall(ctx context.Context, kinds []simTrouble) {
	var ends []simEnd
	strikeAt := time.Now()
	for {
		next := strikeAt
		for _, end := range ends {
			if end.at.Before(next) {
				next = end.at
			}
		}
		alive := pause.For(ctx, max(0, time.Until(next)))
		ends = s.endDue(ends, !alive)
		if !alive {
			return
		}
		if time.Now().Before(strikeAt) {
			continue
		}
		if s.chance(0.4) {
			s.awaitAck(ctx)
		}
		if end, lasting := s.strike(kinds[s.number(len(kinds))]); lasting {
			ends = append(ends, end)
		}
		strikeAt = time.Now().Add(s.between(0, longestRestBetween))
	}
}

// endDue ends the troubles whose time has come, or all, and returns the others.
func (s *simSite) endDue(ends []simEnd, all bool) []simEnd {
	var left []simEnd
	for _, end := range ends {
		if all || !end.at.After(time.Now()) {
			end.act()
		} else {
			left = append(left, end)
		}
	}
	return left
}

func (s *simSite) strike(trouble simTrouble) (simEnd, bool) {
	cores := s.present()
	hit := cores[s.number(len(cores))]
	s.logf("-- %s: %s", trouble.name, hit.settings.NodeName)
	act := trouble.strike(s, hit)
	if act == nil {
		return simEnd{}, false
	}
	longest := trouble.longest
	if longest == 0 {
		longest = longestOutage
	}
	return simEnd{at: time.Now().Add(s.between(0, longest)), act: func() {
		s.logf("-- end of %s: %s", trouble.name, hit.settings.NodeName)
		act()
	}}, true
}

// awaitAck waits for an acknowledgement, and a moment after it.
func (s *simSite) awaitAck(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, longestAckWait)
	defer cancel()
	select {
	case <-s.acked:
		pause.For(ctx, s.between(0, longestAckStrike))
	case <-ctx.Done():
	}
}

func (s *simSite) kill(hit *simMachine) func() {
	s.endCore(hit, (*live.Machine).Kill)
	return func() { s.startCore(hit) }
}

func (s *simSite) losePower(hit *simMachine) func() {
	s.endCore(hit, (*live.Machine).LosePower)
	return func() { s.startCore(hit) }
}

func (s *simSite) startAll(cores []*simMachine) func() {
	return func() {
		for _, m := range cores {
			s.startCore(m)
		}
	}
}

func (s *simSite) killCores(*simMachine) func() {
	cores := s.present()
	for _, m := range cores {
		s.endCore(m, (*live.Machine).Kill)
	}
	return s.startAll(cores)
}

func (s *simSite) darkenCores(*simMachine) func() {
	cores := s.present()
	for _, m := range cores {
		s.endCore(m, (*live.Machine).LosePower)
	}
	return s.startAll(cores)
}

func (s *simSite) darkenAll(hit *simMachine) func() {
	startCores, startFrontends := s.darkenCores(hit), s.darkenFrontends()
	return func() {
		startCores()
		startFrontends()
	}
}

// darkenFrontends takes the power of all frontend machines, and returns what gives it back.
func (s *simSite) darkenFrontends() func() {
	for _, m := range s.frontends {
		s.endFrontend(m, (*live.Machine).LosePower)
	}
	return func() {
		for _, m := range s.frontends {
			s.startFrontend(m)
		}
	}
}

// mayLose reports whether so many more disks may be lost: no more are than the site bears, as far as the set has not yet got
// others in their place, and a majority of each set is left.
func (s *simSite) mayLose(count int) bool {
	newest := s.newestValue()
	existing := s.existingDisks()
	for _, set := range [][]register.Replica{newest.Replicas, newest.Previous} {
		here := existingOf(set, existing)
		missing := len(set) - here
		if len(set) > 0 && (missing+count > s.tolerance || 2*(here-count) <= len(set)) {
			return false
		}
	}
	return len(newest.Replicas) > 0
}

func (s *simSite) wipe(hit *simMachine) func() {
	if !s.mayLose(1) {
		return nil
	}
	s.logf("disk of %s is lost", hit.settings.NodeName)
	s.endCore(hit, (*live.Machine).Wipe)
	return func() { s.startCore(hit) }
}

// wipeAndDarken has as many disks lost as the site bears while all other machines lose power.
func (s *simSite) wipeAndDarken(hit *simMachine) func() {
	if !s.mayLose(s.tolerance) {
		return nil
	}
	cores := s.present()
	first := slices.Index(cores, hit)
	for i := range cores {
		m := cores[(first+i)%len(cores)]
		if i < s.tolerance {
			s.logf("disk of %s is lost", m.settings.NodeName)
			s.endCore(m, (*live.Machine).Wipe)
		} else {
			s.endCore(m, (*live.Machine).LosePower)
		}
	}
	startFrontends := s.darkenFrontends()
	return func() {
		s.startAll(cores)()
		startFrontends()
	}
}

// wipeBesideCut has a machine miss changes behind a cut; then another loses its disk and the rest are dark for a while.
func (s *simSite) wipeBesideCut(hit *simMachine) func() {
	heal := s.cutFromCores(hit)
	pause.For(s.ended, s.between(time.Second, longestOutage))
	others := lo.Without(s.present(), hit)
	if !s.mayLose(1) || len(others) == 0 {
		return heal
	}
	s.logf("disk of %s is lost", others[0].settings.NodeName)
	s.endCore(others[0], (*live.Machine).Wipe)
	for _, m := range others[1:] {
		s.endCore(m, (*live.Machine).LosePower)
	}
	s.startCore(others[0])
	heal()
	return s.startAll(others)
}

// replace removes a machine for good; an empty one comes a second later at another address.
func (s *simSite) replace(hit *simMachine) func() {
	if !s.mayLose(1) || len(s.cores) >= mostCores {
		return nil
	}
	s.endCore(hit, (*live.Machine).Wipe)
	s.remove(hit)
	pause.For(s.ended, time.Second)
	s.startCore(s.addCore(false))
	return nil
}

// replaceByPlan starts a new machine first, and then stops the one that it replaces for good.
func (s *simSite) replaceByPlan(hit *simMachine) func() {
	if len(s.cores) >= mostCores {
		return nil
	}
	s.startCore(s.addCore(false))
	pause.For(s.ended, s.between(200*time.Millisecond, 2*time.Second))
	if !s.mayLose(1) {
		return nil // others are lost by now: it stays
	}
	s.terminate(hit)
	s.endCore(hit, (*live.Machine).Wipe)
	s.remove(hit)
	return nil
}

func (s *simSite) remove(m *simMachine) {
	s.logf("%s is removed", m.settings.NodeName)
	s.mutex.Lock()
	defer s.mutex.Unlock()
	m.removed = true
	m.removedAt = time.Now()
}

func (s *simSite) restart(hit *simMachine) func() {
	s.terminate(hit)
	return func() { s.startCore(hit) }
}

// cut holds up what goes between two groups, each way or one way.
func (s *simSite) cut(from, to []string, bothWays bool) func() {
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

func addressesOf(machines []*simMachine) []string {
	return lo.Map(machines, func(m *simMachine, _ int) string { return m.machine.IP() })
}

// inner are the addresses of all machines of the system, and those of the platform and its workers.
func (s *simSite) inner() []string {
	inner := append(addressesOf(s.present()), addressesOf(s.frontends)...)
	inner = append(inner, simPlatform)
	return append(inner, lo.Map(s.platform.workers, func(w *simWorker, _ int) string { return w.ip })...)
}

func (s *simSite) cutFromAll(hit *simMachine) func() {
	return s.cut([]string{hit.machine.IP()}, s.inner(), true)
}

func (s *simSite) cutFromCores(hit *simMachine) func() {
	return s.cut([]string{hit.machine.IP()}, addressesOf(s.present()), true)
}

func (s *simSite) cutInbound(hit *simMachine) func() {
	return s.cut(addressesOf(s.present()), []string{hit.machine.IP()}, false)
}

func (s *simSite) cutOutbound(hit *simMachine) func() {
	return s.cut([]string{hit.machine.IP()}, addressesOf(s.present()), false)
}

// split cuts the core into two halves, which all others reach.
func (s *simSite) split(*simMachine) func() {
	cores := addressesOf(s.present())
	s.mutex.Lock()
	s.random.Shuffle(len(cores), func(i, j int) { cores[i], cores[j] = cores[j], cores[i] })
	s.mutex.Unlock()
	half := len(cores) / 2
	return s.cut(cores[:half], cores[half:], true)
}

// flap cuts a machine off and joins it again, by turns.
func (s *simSite) flap(hit *simMachine) func() {
	ctx, stop := context.WithCancel(s.ended)
	flapped := make(chan struct{})
	go func() {
		defer close(flapped)
		for ctx.Err() == nil {
			heal := s.cutFromCores(hit)
			pause.For(ctx, s.between(0, flapSpan))
			heal()
			pause.For(ctx, s.between(0, flapSpan))
		}
	}()
	return func() {
		stop()
		<-flapped
	}
}

func (s *simSite) slowPaths(hit *simMachine) func() {
	change := func(by time.Duration) {
		for _, other := range addressesOf(s.present()) {
			s.network.SetExtraDelay(hit.machine.IP(), other, by)
			s.network.SetExtraDelay(other, hit.machine.IP(), by)
		}
	}
	change(slowPath)
	return func() { change(0) }
}

func (s *simSite) fillDisk(hit *simMachine) func() {
	hit.machine.Disk().SetFull(true)
	return func() { hit.machine.Disk().SetFull(false) }
}

func (s *simSite) failDisk(hit *simMachine) func() {
	hit.machine.Disk().SetFailSyncs(true)
	return func() { hit.machine.Disk().SetFailSyncs(false) }
}

func (s *simSite) stallDisk(hit *simMachine) func() {
	hit.machine.Disk().Stall()
	return hit.machine.Disk().Resume
}

func (s *simSite) slowDisk(hit *simMachine) func() {
	hit.machine.Disk().SetExtraLatency(slowStep)
	return func() { hit.machine.Disk().SetExtraLatency(0) }
}

// leaveInCut stops a machine as planned work does while another is cut off.
func (s *simSite) leaveInCut(hit *simMachine) func() {
	others := lo.Without(s.present(), hit)
	if len(others) == 0 {
		return nil
	}
	heal := s.cutFromAll(others[s.number(len(others))])
	s.terminate(hit)
	return func() {
		heal()
		s.startCore(hit)
	}
}
