package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	interval = time.Second
	steps    = 4 // of the simulation in one interval
)

// simulation is a fleet on a network with loss and delay, in steps of a part of an interval. It is deterministic by its seed.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	step    int
	loss    float64
	nodes   []*simulated
	flights []flight
}

type simulated struct {
	member   Member
	detector *Detector
	phase    int // the step of an interval at which it ticks
	down     bool
	frozen   bool
	side     int // nodes of different sides don't reach each other
	sent     int // in the current interval
	received int
	inbox    []Message // what arrived while it was frozen
}

type flight struct {
	due      int
	from     int // side
	envelope Envelope
}

func drawSimulation(t *rapid.T, fleet int) *simulation {
	return newSimulation(rapid.Uint64().Draw(t, "seed"), fleet)
}

func newSimulation(seed uint64, fleet int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), now: time.Now()}
	for i := range fleet {
		s.add(i)
	}
	// Each knows its neighbour only; the rest travels with the heartbeats.
	for i, node := range s.nodes {
		node.detector.AddMembers(s.now, []Member{s.nodes[(i+1)%fleet].member})
	}
	return s
}

func (s *simulation) add(i int) {
	member := Member{Name: fmt.Sprintf("frontend-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i)}
	s.nodes = append(s.nodes, &simulated{
		member:   member,
		detector: NewDetector(Options{Self: member, Interval: interval}),
		phase:    s.random.IntN(steps),
	})
}

// run lets some intervals pass, and calls check after each.
func (s *simulation) run(intervals int, check func()) {
	for range intervals * steps {
		s.step++
		s.now = s.now.Add(interval / steps)
		s.deliver()
		for _, node := range s.nodes {
			s.tick(node)
		}
		if check != nil && s.step%steps == 0 {
			check()
		}
	}
}

func (s *simulation) tick(node *simulated) {
	if node.down || node.frozen || s.step%steps != node.phase {
		return
	}
	node.sent, node.received = 0, 0
	s.send(node, node.detector.Tick(s.now))
}

func (s *simulation) send(node *simulated, envelopes []Envelope) {
	node.sent += len(envelopes)
	for _, envelope := range envelopes {
		if s.random.Float64() >= s.loss {
			due := s.step + 1 + s.random.IntN(2)
			s.flights = append(s.flights, flight{due: due, from: node.side, envelope: envelope})
		}
	}
}

func (s *simulation) deliver() {
	flights := s.flights
	s.flights = nil
	for _, flight := range flights {
		if flight.due > s.step {
			s.flights = append(s.flights, flight)
			continue
		}
		node := s.find(flight.envelope.To.Name)
		if node.down || node.side != flight.from {
			continue
		}
		node.inbox = append(node.inbox, flight.envelope.Message)
	}
	for _, node := range s.nodes {
		s.read(node)
	}
}

func (s *simulation) read(node *simulated) {
	if node.frozen {
		return
	}
	messages := node.inbox
	node.inbox = nil
	for _, message := range messages {
		node.received++
		s.send(node, node.detector.Receive(s.now, message))
	}
}

func (s *simulation) find(name string) *simulated {
	return s.nodes[slices.IndexFunc(s.nodes, func(node *simulated) bool { return node.member.Name == name })]
}

// disagreement returns what is wrong with the lists of the running members, which should hold just the running ones.
func (s *simulation) disagreement() string {
	for _, node := range s.nodes {
		if node.down || node.frozen {
			continue
		}
		living := map[string]bool{}
		for _, member := range node.detector.LiveMembers() {
			living[member.Name] = true
		}
		for _, other := range s.nodes {
			alive := living[other.member.Name]
			should := other != node && !other.down && !other.frozen
			if alive != should {
				return fmt.Sprintf("%s holds %s for alive: %v", node.member.Name, other.member.Name, alive)
			}
		}
	}
	return ""
}

func (s *simulation) requireAgreement(t *rapid.T, when string) {
	if wrong := s.disagreement(); wrong != "" {
		t.Fatalf("%s: %s", when, wrong)
	}
}
