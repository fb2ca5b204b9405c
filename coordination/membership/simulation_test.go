package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"pgregory.net/rapid"
)

const (
	interval         = time.Second
	stepsPerInterval = 4 // simulation steps in one interval
)

// simulation runs a fleet on a network with loss and delay, in steps of a fraction of an interval. The seed determines the run.
type simulation struct {
	random   *rand.Rand
	now      time.Time
	step     int
	loss     float64
	nodes    []*simulatedNode
	inFlight []delivery
}

type simulatedNode struct {
	member    Member
	detector  *Detector
	phase     int // the step of an interval at which it ticks
	down      bool
	suspended bool
	partition int // nodes in different partitions cannot reach each other
	sent      int // in the current interval
	received  int
	inbox     []Message // messages that arrived while it was suspended
}

type delivery struct {
	due           int
	fromPartition int
	envelope      Envelope
}

func drawSimulation(t *rapid.T, fleet int) *simulation {
	return newSimulation(rapid.Uint64().Draw(t, "seed"), fleet)
}

func newSimulation(seed uint64, fleet int) *simulation {
	s := &simulation{random: rand.New(rand.NewPCG(seed, 1)), now: time.Now()}
	for i := range fleet {
		s.add(i)
	}
	// Each node knows only its neighbour at first and learns of the others by gossip.
	for i, node := range s.nodes {
		node.detector.AddMembers(s.now, []Member{s.nodes[(i+1)%fleet].member})
	}
	return s
}

func (s *simulation) add(i int) {
	member := Member{Name: fmt.Sprintf("frontend-%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i)}
	s.nodes = append(s.nodes, &simulatedNode{
		member:   member,
		detector: NewDetector(Options{Self: member, Interval: interval}),
		phase:    s.random.IntN(stepsPerInterval),
	})
}

// run simulates a number of intervals and calls check after each.
func (s *simulation) run(intervals int, check func()) {
	for range intervals * stepsPerInterval {
		s.step++
		s.now = s.now.Add(interval / stepsPerInterval)
		s.deliver()
		for _, node := range s.nodes {
			s.tick(node)
		}
		if check != nil && s.step%stepsPerInterval == 0 {
			check()
		}
	}
}

func (s *simulation) tick(node *simulatedNode) {
	if node.down || node.suspended || s.step%stepsPerInterval != node.phase {
		return
	}
	node.sent, node.received = 0, 0
	s.send(node, node.detector.Tick(s.now))
}

func (s *simulation) send(node *simulatedNode, envelopes []Envelope) {
	node.sent += len(envelopes)
	for _, envelope := range envelopes {
		if s.random.Float64() >= s.loss {
			due := s.step + 1 + s.random.IntN(2)
			s.inFlight = append(s.inFlight, delivery{due: due, fromPartition: node.partition, envelope: envelope})
		}
	}
}

func (s *simulation) deliver() {
	inFlight := s.inFlight
	s.inFlight = nil
	for _, delivery := range inFlight {
		if delivery.due > s.step {
			s.inFlight = append(s.inFlight, delivery)
			continue
		}
		node := s.nodeByName(delivery.envelope.To.Name)
		if node.down || node.partition != delivery.fromPartition {
			continue
		}
		node.inbox = append(node.inbox, delivery.envelope.Message)
	}
	for _, node := range s.nodes {
		s.receive(node)
	}
}

func (s *simulation) receive(node *simulatedNode) {
	if node.suspended {
		return
	}
	messages := node.inbox
	node.inbox = nil
	for _, message := range messages {
		node.received++
		s.send(node, node.detector.Receive(s.now, message))
	}
}

func (s *simulation) nodeByName(name string) *simulatedNode {
	return s.nodes[slices.IndexFunc(s.nodes, func(node *simulatedNode) bool { return node.member.Name == name })]
}

// disagreement returns the first difference between the live members of a running node and the other running nodes, or "" if
// there is none.
func (s *simulation) disagreement() string {
	for _, node := range s.nodes {
		if node.down || node.suspended {
			continue
		}
		live := map[string]bool{}
		for _, member := range node.detector.LiveMembers() {
			live[member.Name] = true
		}
		for _, other := range s.nodes {
			alive := live[other.member.Name]
			expected := other != node && !other.down && !other.suspended
			if alive != expected {
				return fmt.Sprintf("%s considers %s alive: %v", node.member.Name, other.member.Name, alive)
			}
		}
	}
	return ""
}

func (s *simulation) requireAgreement(t *rapid.T, when string) {
	if mismatch := s.disagreement(); mismatch != "" {
		t.Fatalf("%s: %s", when, mismatch)
	}
}
