package lease

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	simulatedStep  = 10 * time.Millisecond
	heartbeatSteps = 20
)

// simulation runs a group over a network that loses and delays messages, with members that are suspended, restarted and
// isolated. The register is linearizable: a claim succeeds at one instant, and each member learns of it some time later.
type simulation struct {
	random       *rand.Rand // its seed is drawn, so that a failure can be reproduced
	reliable     bool       // no message is lost or delayed beyond the normal delay
	now          time.Duration
	voters       []string
	members      map[string]*simulatedMember
	record       Record
	inFlight     []delivery
	blockedUntil map[[2]string]time.Duration // until when messages from the first to the second are lost
}

// simulatedMember is one member. Its monotonic clock has its own offset.
type simulatedMember struct {
	participant *Participant
	incarnation int
	offset      time.Duration
	resumesAt   time.Duration
	isolated    bool
}

type delivery struct {
	dueAt  time.Duration
	from   string
	to     string
	handle func(member *simulatedMember)
}

func newSimulation(t *rapid.T) *simulation {
	seed := rapid.Uint64().Draw(t, "seed")
	sim := &simulation{random: rand.New(rand.NewPCG(seed, 1)), members: make(map[string]*simulatedMember)}
	sim.blockedUntil = make(map[[2]string]time.Duration)
	count := rapid.SampledFrom([]int{3, 5}).Draw(t, "members")
	for i := range count {
		address := "m" + strconv.Itoa(i)
		sim.voters = append(sim.voters, address)
		sim.members[address] = &simulatedMember{offset: time.Duration(sim.draw(0, 5000)) * time.Millisecond}
	}
	for _, address := range sim.voters {
		sim.start(address, true)
	}
	return sim
}

// draw returns a random number from low to high, both included.
func (s *simulation) draw(low, high int) int { return low + s.random.IntN(high-low+1) }

func (s *simulation) start(address string, newGroup bool) {
	member := s.members[address]
	member.incarnation++
	self := Member{Address: address, Life: fmt.Sprint(member.incarnation)}
	member.participant = New(self, []string{key}, timing, s.now+member.offset, newGroup)
	s.learn(address, s.record)
	member.participant.MarkSynced()
}

func (s *simulation) learn(address string, record Record) {
	member := s.members[address]
	member.participant.Learn(s.now+member.offset, s.voters, map[string]Record{key: record})
}

func (s *simulation) send(from, to string, handle func(member *simulatedMember)) {
	if s.members[from].isolated || s.members[to].isolated || (!s.reliable && s.draw(0, 19) == 0) {
		return
	}
	if s.now < s.blockedUntil[[2]string{from, to}] {
		return
	}
	delay := time.Duration(s.draw(1, 30)) * simulatedStep / 2
	if !s.reliable && s.draw(0, 9) == 0 {
		delay += time.Duration(s.draw(0, 150)) * simulatedStep
	}
	incarnation := s.members[to].incarnation
	s.inFlight = append(s.inFlight, delivery{dueAt: s.now + delay, from: from, to: to, handle: func(member *simulatedMember) {
		if member.incarnation == incarnation {
			handle(member)
		}
	}})
}

func (s *simulation) sendHeartbeat(address string) {
	member := s.members[address]
	sentAt := s.now + member.offset
	message := member.participant.Heartbeat(sentAt, !member.isolated)
	for _, other := range s.voters {
		if other == address {
			continue
		}
		s.send(address, other, func(receiver *simulatedMember) {
			reply := receiver.participant.Receive(s.now+receiver.offset, message)
			s.send(other, address, func(sender *simulatedMember) {
				sender.participant.HandleReply(sentAt, s.now+sender.offset, reply)
			})
		})
	}
	for _, claim := range member.participant.Claims(s.now + member.offset) {
		s.submitClaim(address, claim, member.participant.self)
	}
}

func (s *simulation) submitClaim(address string, claim Claim, claimant Member) {
	s.send(address, address, func(*simulatedMember) {
		if s.record.Token != claim.Previous {
			return
		}
		s.record = Record{Holder: claimant, Token: claim.Previous + 1}
		for _, other := range s.voters {
			record := s.record
			s.send(address, other, func(*simulatedMember) { s.learn(other, record) })
		}
	})
}

// injectFault injects a random fault into the group in some of the steps.
func (s *simulation) injectFault() {
	if s.draw(0, 29) != 0 {
		return
	}
	address := s.voters[s.draw(0, len(s.voters)-1)]
	member := s.members[address]
	switch s.draw(0, 5) {
	case 0:
		member.resumesAt = s.now + time.Duration(s.draw(1, 200))*simulatedStep
	case 1:
		member.isolated = !member.isolated
	case 2:
		s.start(address, false)
	case 3:
		member.participant.ReleaseAll()
	case 4:
		s.blockedUntil[[2]string{address, s.voters[s.draw(0, len(s.voters)-1)]}] = s.now + 2*time.Second
	case 5:
		// Safety must not depend on when a claim is made, so any member may take the role at any time.
		s.submitClaim(address, Claim{Key: key, Previous: s.record.Token}, member.participant.self)
	}
}

func (s *simulation) step(number int) {
	s.now += simulatedStep
	pending := slices.Clone(s.inFlight)
	s.inFlight = s.inFlight[:0]
	for _, message := range pending {
		if message.dueAt > s.now || s.now < s.members[message.to].resumesAt {
			s.inFlight = append(s.inFlight, message)
			continue
		}
		message.handle(s.members[message.to])
	}
	for i, address := range s.voters {
		if s.now >= s.members[address].resumesAt && number%heartbeatSteps == i {
			s.sendHeartbeat(address)
		}
	}
}

// heldTokens returns the tokens under which running members may act now.
func (s *simulation) heldTokens() []uint64 {
	var tokens []uint64
	for _, address := range s.voters {
		member := s.members[address]
		if s.now < member.resumesAt {
			continue
		}
		if token, held := member.participant.Holds(s.now+member.offset, key); held {
			tokens = append(tokens, token)
		}
	}
	return tokens
}

func TestAtMostOneHolderActsAndTokensRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		highest := uint64(0)
		for number := range 1500 {
			sim.injectFault()
			sim.step(number)
			tokens := sim.heldTokens()
			require.LessOrEqual(t, len(tokens), 1, "holders at %v", sim.now)
			if len(tokens) == 1 {
				require.GreaterOrEqual(t, tokens[0], highest)
				highest = tokens[0]
			}
		}
	})
}

func TestGroupElectsHolderAfterFaultsEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t)
		number := 0
		for range sim.draw(0, 800) {
			sim.injectFault()
			sim.step(number)
			number++
		}
		sim.reliable = true
		clear(sim.blockedUntil)
		for _, address := range sim.voters {
			member := sim.members[address]
			member.isolated = false
			member.resumesAt = 0
			if member.participant.leaving {
				sim.start(address, false)
			}
			sim.learn(address, sim.record)
		}
		for range 600 {
			sim.step(number)
			number++
			if len(sim.heldTokens()) == 1 {
				return
			}
		}
		require.Fail(t, "no holder six seconds after the last fault")
	})
}
