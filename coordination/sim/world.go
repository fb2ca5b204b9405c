package sim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// World is a simulation: its machines, its network, its virtual clock and its event queue. It must be used by one goroutine
// only.
type World struct {
	random   *rand.Rand
	now      time.Duration
	queue    eventQueue
	sequence uint64
	machines []*Machine
	network  *Network
	// TimerSlack is the maximum delay with which timers of programs fire.
	TimerSlack time.Duration
}

// DefaultTimerSlack is the maximum timer delay of a busy machine.
const DefaultTimerSlack = 2 * time.Millisecond

// New returns a world without machines, whose random decisions all derive from seed.
func New(seed uint64) *World {
	w := &World{random: rand.New(rand.NewPCG(seed, 0)), TimerSlack: DefaultTimerSlack}
	w.network = newNetwork(w)
	return w
}

// Now returns the virtual time since the start of the simulation. Programs read the clocks of their Process instead.
func (w *World) Now() time.Duration { return w.now }

// Network returns the network that connects all machines.
func (w *World) Network() *Network { return w.network }

// Machines returns all machines in the order of their addition.
func (w *World) Machines() []*Machine { return w.machines }

// AddMachine adds a machine with an empty disk, on which no program runs.
func (w *World) AddMachine(name string) *Machine {
	m := &Machine{world: w, name: name}
	m.disk = newDisk(w)
	m.monotonicOffset = w.Between(0, maxMonotonicOffset)
	w.machines = append(w.machines, m)
	return m
}

// Machine returns the machine with the given name, or nil if there is none.
func (w *World) Machine(name string) *Machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// IntN returns a random number in [0, n).
func (w *World) IntN(n int) int { return w.random.IntN(n) }

// Float64 returns a random number in [0, 1).
func (w *World) Float64() float64 { return w.random.Float64() }

// Uint64 returns a random number.
func (w *World) Uint64() uint64 { return w.random.Uint64() }

// Chance returns true with the given probability.
func (w *World) Chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

// Between returns a random duration in [shortest, longest], or shortest if the interval is empty.
func (w *World) Between(shortest, longest time.Duration) time.Duration {
	if longest <= shortest {
		return shortest
	}
	return shortest + time.Duration(w.random.Int64N(int64(longest-shortest)+1))
}

// After schedules callback to run after delay. A negative delay counts as 0.
func (w *World) After(delay time.Duration, callback func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now + max(delay, 0), sequence: w.sequence, callback: callback})
}

// Run processes the events of the next duration and advances the virtual clock by it.
func (w *World) Run(duration time.Duration) { w.RunUntil(duration, nil) }

// RunUntil is like Run, but stops early as soon as done returns true. It calls done after each event and at the end, and
// reports whether done returned true. done may be nil.
func (w *World) RunUntil(duration time.Duration, done func() bool) bool {
	end := w.now + duration
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.callback()
		if done != nil && done() {
			return true
		}
	}
	w.now = end
	return done != nil && done()
}

// event is a callback that is due at a virtual time. Events with equal times run in the order in which they were scheduled.
type event struct {
	at       time.Duration
	sequence uint64
	callback func()
}

// eventQueue is a heap of events, ordered by time and then by sequence number.
type eventQueue []event

func (q eventQueue) Len() int      { return len(q) }
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

// Push implements heap.Interface.
func (q *eventQueue) Push(x any) { *q = append(*q, x.(event)) }

// Pop implements heap.Interface.
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	(*q)[len(*q)-1] = event{}
	*q = (*q)[:len(*q)-1]
	return last
}
