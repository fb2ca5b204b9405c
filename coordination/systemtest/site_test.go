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
	startWithin    = 300 * time.Millisecond
	holderTick     = 10 * time.Millisecond
	attemptTimeout = 1800 * time.Millisecond
	maxOperations  = 40
	operatorName   = "operator"
)

// mistakes are those of broken variants, which the checks have to catch.
type mistakes struct {
	answersBeforeSync bool
	keepsIdentity     bool // a wiped replica comes back under its old identity
	skipsJoint        bool // a set changes in one step
	keepsToken        bool // a role is taken without raising the token
	goesBack          bool // a follower forgets what it holds
}

// seat is a machine with what runs on it.
type seat struct {
	machine    *sim.Machine
	controller *controller // of the present life
	frontend   *frontend
	core       bool
	removed    bool
}

// site is a whole deployment, with an operator that nothing befalls.
type site struct {
	world     *sim.World
	broken    mistakes
	checks    *checks
	founders  []string
	seeds     []string
	bootstrap bool
	seats     []*seat
	operator  *sim.Process
	asked     int
	idle      bool // the operator asks nothing by itself
	clocksRun bool // no steady clock has stood still
	wipes     int  // disks lost
}

func newSite(seed uint64, broken mistakes) *site {
	s := &site{world: sim.New(seed), broken: broken, bootstrap: true, clocksRun: true}
	for i := range targetReplicas {
		s.founders = append(s.founders, fmt.Sprintf("core%d", i))
	}
	s.seeds = s.founders
	s.checks = newChecks(s.founders)
	for i := range targetReplicas + s.world.IntN(3) {
		s.add(fmt.Sprintf("core%d", i), true)
	}
	for i := range 3 {
		s.add(fmt.Sprintf("front%d", i), false)
	}
	for _, seat := range s.seats {
		s.world.After(s.world.Between(0, startWithin), func() { s.start(seat) })
	}
	s.world.AddMachine(operatorName).Start(func(process *sim.Process) { s.operator = process })
	s.watchHolders()
	s.operate()
	return s
}

func (s *site) add(name string, core bool) *seat {
	added := &seat{machine: s.world.AddMachine(name), core: core}
	s.seats = append(s.seats, added)
	// Nothing befalls the operator's connections: a refusal has to mean that nothing was begun.
	s.world.Network().SetLink(operatorName, name, sim.DefaultLink())
	s.world.Network().SetLink(name, operatorName, sim.DefaultLink())
	return added
}

func (s *site) start(seat *seat) {
	if seat.removed {
		return
	}
	seat.machine.Start(func(process *sim.Process) {
		if seat.core {
			seat.controller = startController(process, s)
		} else {
			seat.frontend = startFrontend(process, s)
		}
	})
}

func (s *site) cores() []*seat {
	return lo.Filter(s.seats, func(seat *seat, _ int) bool { return seat.core && !seat.removed })
}

func (s *site) frontends() []*seat {
	return lo.Filter(s.seats, func(seat *seat, _ int) bool { return !seat.core && !seat.removed })
}

// neighbour is the next frontend in a ring.
func (s *site) neighbour(name string) string {
	all := s.frontends()
	for i, seat := range all {
		if seat.machine.Name() == name {
			return all[(i+1)%len(all)].machine.Name()
		}
	}
	return all[0].machine.Name()
}

// watchHolders looks for two holders of the role at one moment.
func (s *site) watchHolders() {
	var tokens []uint64
	for _, seat := range s.cores() {
		if process := seat.machine.Process(); process != nil && process.Running() {
			if token, held := seat.controller.holds(); held {
				tokens = append(tokens, token)
			}
		}
	}
	if s.clocksRun {
		s.checks.holders(tokens)
	}
	s.world.After(holderTick, s.watchHolders)
}

// operate has the operator append and read now and then.
func (s *site) operate() {
	s.world.After(s.world.Between(0, 1200*time.Millisecond), func() {
		if !s.idle && s.asked < maxOperations {
			id := ""
			if s.world.Chance(0.6) {
				id = s.nextID()
			}
			s.ask(id, 1+s.world.IntN(3), func(clientReply) {})
		}
		s.operate()
	})
}

func (s *site) nextID() string {
	s.asked++
	return fmt.Sprintf("c%d", s.asked)
}

// ask sends a request to controllers in turn until one answers, and notes how it ended.
func (s *site) ask(id string, attempts int, done func(clientReply)) {
	s.checks.history = append(s.checks.history, record{called: s.world.Now(), id: id})
	at := len(s.checks.history) - 1
	s.attempt(at, attempts, s.world.IntN(len(s.cores())), true, done)
}

func (s *site) attempt(at, attempts, target int, certain bool, done func(clientReply)) {
	cores := s.cores()
	id := s.checks.history[at].id
	address := cores[target%len(cores)].machine.Name()
	s.operator.Call(address, clientRequest{Append: id}, attemptTimeout, func(answer any, err error) {
		reply, answered := answer.(clientReply)
		switch {
		case err == nil && answered && reply.Error == nil:
			s.finish(at, reply)
			done(reply)
			return
		case err == nil && eris.Is(reply.Error, errNoQuorum), eris.Is(err, sim.ErrRefused):
		default:
			certain = false // it may be chosen yet
		}
		if attempts > 1 {
			s.attempt(at, attempts-1, target+1, certain, done)
			return
		}
		s.checks.history[at].void = certain || id == ""
		done(clientReply{Error: errNoQuorum})
	})
}

func (s *site) finish(at int, reply clientReply) {
	record := &s.checks.history[at]
	record.finished, record.ended = true, s.world.Now()
	if record.id != "" {
		s.checks.acked = append(s.checks.acked, record.id)
		return
	}
	record.seen = reply.Log
}

// formed reports whether the set has its size and holds the present disk of each machine that is up.
func (s *site) formed() bool {
	set := s.checks.newest.Value
	return !set.Joint() && len(set.Replicas) >= targetReplicas && lo.EveryBy(s.cores(), func(seat *seat) bool {
		return seat.machine.Up() && set.HasReplica(seat.controller.node.id())
	})
}

// run lets time pass and returns what is wrong.
func (s *site) run(span time.Duration) error {
	s.world.RunUntil(span, func() bool { return s.checks.violation != "" })
	return s.verdict()
}

// reach lets time pass until something holds, and complains if that takes too long.
func (s *site) reach(bound time.Duration, what string, holds func() bool) error {
	from := s.world.Now()
	s.world.RunUntil(bound, func() bool { return s.checks.violation != "" || holds() })
	if err := s.verdict(); err != nil {
		return err
	}
	if !holds() {
		return eris.Errorf("not within %v, from %v: %s\n%s", bound, from, what, s.describe())
	}
	return nil
}

func (s *site) verdict() error {
	if s.checks.violation != "" {
		return eris.Errorf("at %v: %s\n%s", s.world.Now(), s.checks.violation, s.describe())
	}
	return nil
}

// describe tells what each machine holds.
func (s *site) describe() string {
	var text strings.Builder
	newest := s.checks.newest.Value
	fmt.Fprintf(&text, "newest: revision %d, log %v, set %v, before %v, reader %v\n", newest.Revision,
		decodeState(newest.Data).Log, replicaIDs(newest.Replicas), replicaIDs(newest.Previous), decodeState(newest.Data).Reader)
	for _, seat := range s.seats {
		machine := seat.machine
		fmt.Fprintf(&text, "%s: up %v, frozen %v, removed %v", machine.Name(), machine.Up(), machine.Frozen(), seat.removed)
		if machine.Up() && seat.core {
			n := seat.controller.node
			fmt.Fprintf(&text, ", id %s, chosen %d %v, known %v, quorum age %v", n.id(), n.chosen.Value.Revision, n.chosen.Ballot,
				n.known().Ballot, n.quorumAge())
		}
		if machine.Up() && !seat.core {
			living := lo.Map(seat.frontend.detector.LiveMembers(), func(m member, _ int) string { return m.Name })
			fmt.Fprintf(&text, ", revision %d, living %v", seat.frontend.revision(), living)
		}
		text.WriteString("\n")
	}
	return text.String()
}

func replicaIDs(replicas []register.Replica) []string {
	return lo.Map(replicas, func(r register.Replica, _ int) string { return r.ID + "@" + r.Address })
}

func errorIn(what string, err error) error { return eris.Wrap(err, what) }
