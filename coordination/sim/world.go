package sim

import (
	"container/heap"
	"math/rand/v2"
	"time"
)

// World holds the machines and the queue of what happens to them. It is used by one goroutine.
type World struct {
	random   *rand.Rand
	now      time.Duration
	queue    eventQueue
	sequence uint64
	machines []*Machine
	network  *Network
	// TimerSlack is the most by which timers of programs fire late.
	TimerSlack time.Duration
}

// DefaultTimerSlack is what timers of a busy machine are late by.
const DefaultTimerSlack = 2 * time.Millisecond

// New returns an empty world.
func New(seed uint64) *World {
	w := &World{random: rand.New(rand.NewPCG(seed, 0)), TimerSlack: DefaultTimerSlack}
	w.network = newNetwork(w)
	return w
}

// Now returns the true time since the world began, which no program can read.
func (w *World) Now() time.Duration { return w.now }

// Network returns the network between all machines.
func (w *World) Network() *Network { return w.network }

// Machines returns all machines in the order in which they were added.
func (w *World) Machines() []*Machine { return w.machines }

// AddMachine adds a machine with an empty disk, which is off.
func (w *World) AddMachine(name string) *Machine {
	m := &Machine{world: w, name: name}
	m.disk = newDisk(w)
	m.steadyOffset = w.Between(0, maxSteadyOffset)
	w.machines = append(w.machines, m)
	return m
}

// Machine returns the machine of a name, or nil.
func (w *World) Machine(name string) *Machine {
	for _, m := range w.machines {
		if m.name == name {
			return m
		}
	}
	return nil
}

// IntN draws a number in [0, n).
func (w *World) IntN(n int) int { return w.random.IntN(n) }

// Float64 draws a number in [0, 1).
func (w *World) Float64() float64 { return w.random.Float64() }

// Uint64 draws a number.
func (w *World) Uint64() uint64 { return w.random.Uint64() }

// Chance reports true with a probability.
func (w *World) Chance(probability float64) bool {
	return probability > 0 && w.random.Float64() < probability
}

// Between draws a duration from shortest to longest, both included.
func (w *World) Between(shortest, longest time.Duration) time.Duration {
	if longest <= shortest {
		return shortest
	}
	return shortest + time.Duration(w.random.Int64N(int64(longest-shortest)+1))
}

// After has something happen to the world after a time.
func (w *World) After(delay time.Duration, act func()) {
	w.sequence++
	heap.Push(&w.queue, event{at: w.now + max(delay, 0), sequence: w.sequence, act: act})
}

// Run lets a time pass.
func (w *World) Run(duration time.Duration) { w.RunUntil(duration, nil) }

// RunUntil lets a time pass, but no longer than until done holds, which is asked after each event. It reports whether done
// held.
func (w *World) RunUntil(duration time.Duration, done func() bool) bool {
	end := w.now + duration
	for len(w.queue) > 0 && w.queue[0].at <= end {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.act()
		if done != nil && done() {
			return true
		}
	}
	w.now = end
	return done != nil && done()
}

// event is something that happens at a time. Events of one time happen in the order in which they were set.
type event struct {
	at       time.Duration
	sequence uint64
	act      func()
}

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
