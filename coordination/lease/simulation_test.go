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
	simulatedStep = 10 * time.Millisecond
	beatSteps     = 20
)

// simulation runs a group over a network that loses and delays, with members that freeze, restart and are cut off. The
// register is linearizable: a claim succeeds at one moment, and each member learns of it some time later.
type simulation struct {
	random  *rand.Rand // its seed is drawn, so that a failure can be run again
	calm    bool       // nothing is lost or late
	now     time.Duration
	voters  []string
	members map[string]*simulated
	record  Record
	flying  []flight
	mute    map[[2]string]time.Duration // until when nothing goes from the one to the other
}

// simulated is one member. Its steady clock has a reading of its own.
type simulated struct {
	decider *Participant
	life    int
	offset  time.Duration
	thawsAt time.Duration
	cut     bool
}

type flight struct {
	at   time.Duration
	from string
	to   string
	act  func(member *simulated)
}

func newSimulation(t *rapid.T) *simulation {
	seed := rapid.Uint64().Draw(t, "seed")
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), members: make(map[string]*simulated)}
	s.mute = make(map[[2]string]time.Duration)
	count := rapid.SampledFrom([]int{3, 5}).Draw(t, "members")
	for i := range count {
		address := "m" + strconv.Itoa(i)
		s.voters = append(s.voters, address)
		s.members[address] = &simulated{offset: time.Duration(s.draw(0, 5000)) * time.Millisecond}
	}
	for _, address := range s.voters {
		s.start(address, true)
	}
	return s
}

// draw returns a number from low to high, both included.
func (s *simulation) draw(low, high int) int { return low + s.random.IntN(high-low+1) }

func (s *simulation) start(address string, fresh bool) {
	member := s.members[address]
	member.life++
	self := Member{Address: address, Life: fmt.Sprint(member.life)}
	member.decider = New(self, []string{key}, timing, s.now+member.offset, fresh)
	s.learn(address, s.record)
	member.decider.MarkSynced()
}

func (s *simulation) learn(address string, record Record) {
	member := s.members[address]
	member.decider.Learn(s.now+member.offset, s.voters, map[string]Record{key: record})
}

func (s *simulation) send(from, to string, act func(member *simulated)) {
	if s.members[from].cut || s.members[to].cut || (!s.calm && s.draw(0, 19) == 0) {
		return
	}
	if s.now < s.mute[[2]string{from, to}] {
		return
	}
	delay := time.Duration(s.draw(1, 30)) * simulatedStep / 2
	if !s.calm && s.draw(0, 9) == 0 {
		delay += time.Duration(s.draw(0, 150)) * simulatedStep
	}
	life := s.members[to].life
	s.flying = append(s.flying, flight{at: s.now + delay, from: from, to: to, act: func(member *simulated) {
		if member.life == life {
			act(member)
		}
	}})
}

func (s *simulation) beat(address string) {
	member := s.members[address]
	sentAt := s.now + member.offset
	message := member.decider.Heartbeat(sentAt, !member.cut)
	for _, other := range s.voters {
		if other == address {
			continue
		}
		s.send(address, other, func(receiver *simulated) {
			reply := receiver.decider.Receive(s.now+receiver.offset, message)
			s.send(other, address, func(sender *simulated) {
				sender.decider.HandleReply(sentAt, s.now+sender.offset, reply)
			})
		})
	}
	for _, claim := range member.decider.Claims(s.now + member.offset) {
		s.claim(address, claim, member.decider.self)
	}
}

func (s *simulation) claim(address string, claim Claim, claimant Member) {
	s.send(address, address, func(*simulated) {
		if s.record.Token != claim.Previous {
			return
		}
		s.record = Record{Holder: claimant, Token: claim.Previous + 1}
		for _, other := range s.voters {
			record := s.record
			s.send(address, other, func(*simulated) { s.learn(other, record) })
		}
	})
}

// trouble draws what befalls the group in this step.
func (s *simulation) trouble() {
	if s.draw(0, 29) != 0 {
		return
	}
	address := s.voters[s.draw(0, len(s.voters)-1)]
	member := s.members[address]
	switch s.draw(0, 5) {
	case 0:
		member.thawsAt = s.now + time.Duration(s.draw(1, 200))*simulatedStep
	case 1:
		member.cut = !member.cut
	case 2:
		s.start(address, false)
	case 3:
		member.decider.ReleaseAll()
	case 4:
		s.mute[[2]string{address, s.voters[s.draw(0, len(s.voters)-1)]}] = s.now + 2*time.Second
	case 5:
		// Safety must not hang on when a claim is made: anybody takes the role at any time.
		s.claim(address, Claim{Key: key, Previous: s.record.Token}, member.decider.self)
	}
}

func (s *simulation) step(number int) {
	s.now += simulatedStep
	due := slices.Clone(s.flying)
	s.flying = s.flying[:0]
	for _, message := range due {
		if message.at > s.now || s.now < s.members[message.to].thawsAt {
			s.flying = append(s.flying, message)
			continue
		}
		message.act(s.members[message.to])
	}
	for i, address := range s.voters {
		if s.now >= s.members[address].thawsAt && number%beatSteps == i {
			s.beat(address)
		}
	}
}

// holding returns the tokens under which members that run may act now.
func (s *simulation) holding() []uint64 {
	var tokens []uint64
	for _, address := range s.voters {
		member := s.members[address]
		if s.now < member.thawsAt {
			continue
		}
		if token, held := member.decider.Holds(s.now+member.offset, key); held {
			tokens = append(tokens, token)
		}
	}
	return tokens
}

func TestAtMostOneHolderActsAndTokensRise(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		highest := uint64(0)
		for number := range 1500 {
			s.trouble()
			s.step(number)
			tokens := s.holding()
			require.LessOrEqual(t, len(tokens), 1, "holders at %v", s.now)
			if len(tokens) == 1 {
				require.GreaterOrEqual(t, tokens[0], highest)
				highest = tokens[0]
			}
		}
	})
}

func TestACalmGroupFindsAHolder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		number := 0
		for range s.draw(0, 800) {
			s.trouble()
			s.step(number)
			number++
		}
		s.calm = true
		clear(s.mute)
		for _, address := range s.voters {
			member := s.members[address]
			member.cut = false
			member.thawsAt = 0
			if member.decider.leaving {
				s.start(address, false)
			}
			s.learn(address, s.record)
		}
		for range 600 {
			s.step(number)
			number++
			if len(s.holding()) == 1 {
				return
			}
		}
		require.Fail(t, "no holder after six calm seconds")
	})
}
