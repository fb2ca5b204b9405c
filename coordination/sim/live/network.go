package live

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"syscall"
	"time"
)

// Spans of the network.
const (
	shortestDelay = 200 * time.Microsecond
	longestDelay  = 2 * time.Millisecond
	// openingRetry separates the tries to open a connection to a machine that says nothing.
	openingRetry = time.Second
)

// direction is one way of the path between two machines.
type direction struct{ from, to string }

// Network joins machines, which are named by their IP addresses.
type Network struct {
	mutex    sync.Mutex
	random   *rand.Rand
	machines map[string]*Machine
	cuts     map[direction]int // how many cuts hold at present
	slowness map[direction]time.Duration
	healed   chan struct{} // closed when a cut ends
	halves   map[*half]struct{}
	stepsTo  int    // steps until awaited is called; 0: nothing is
	awaited  func() // what happens then
}

// NewNetwork returns a network without machines.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:   rand.New(rand.NewPCG(seed, 1)),
		machines: map[string]*Machine{},
		cuts:     map[direction]int{},
		slowness: map[direction]time.Duration{},
		healed:   make(chan struct{}),
		halves:   map[*half]struct{}{},
	}
}

// Cut holds up all that goes from one machine to another, until Heal was called as often.
func (n *Network) Cut(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts[direction{from, to}]++
}

// Heal ends a Cut. What was held up arrives a moment later.
func (n *Network) Heal(from, to string) {
	for _, waiting := range n.uncut(direction{from, to}) {
		waiting.resume()
	}
}

// uncut ends one cut and returns the connections that wait for it, if it was the last one.
func (n *Network) uncut(way direction) []*half {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cuts[way]--; n.cuts[way] > 0 {
		return nil
	}
	delete(n.cuts, way)
	close(n.healed)
	n.healed = make(chan struct{})
	var waiting []*half
	for one := range n.halves {
		if one.way == way {
			waiting = append(waiting, one)
		}
	}
	return waiting
}

// SetExtraDelay adds a delay to what goes from one machine to another; 0 ends it.
func (n *Network) SetExtraDelay(from, to string, by time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.slowness[direction{from, to}] = by
}

// AfterSteps has an act done after so many more steps of the machines, in a goroutine of its own. A step is an arrival of bytes at
// another machine or a change of a disk.
func (n *Network) AfterSteps(count int, act func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.stepsTo, n.awaited = count, act
}

// stepped counts a step.
func (n *Network) stepped() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.stepsTo == 0 {
		return
	}
	if n.stepsTo--; n.stepsTo == 0 {
		go n.awaited()
	}
}

// open reports whether anything gets through, and else a channel that is closed when a cut ends.
func (n *Network) open(way direction) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cuts[way] == 0, n.healed
}

func (n *Network) delay(way direction) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if way.from == way.to {
		return shortestDelay
	}
	return n.slowness[way] + shortestDelay + time.Duration(n.random.Int64N(int64(longestDelay-shortestDelay)))
}

func (n *Network) register(one *half) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.halves[one] = struct{}{}
}

func (n *Network) forget(one *half) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.halves, one)
}

func (n *Network) machine(address string) *Machine {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.machines[ip]
}

// dial opens a connection from a process to an address.
func (n *Network) dial(ctx context.Context, from *Process, address string) (net.Conn, error) {
	target := n.machine(address)
	there := direction{from.machine.ip, hostOf(address)}
	back := direction{there.to, there.from}
	for {
		if err := pause(ctx, n.delay(there)); err != nil {
			return nil, err
		}
		forth, healed := n.open(there)
		home, _ := n.open(back)
		if !forth || !home || target == nil || !target.powered() {
			if err := waitFor(ctx, healed, openingRetry); err != nil {
				return nil, err
			}
			continue
		}
		if err := pause(ctx, n.delay(back)); err != nil {
			return nil, err
		}
		conn, err := target.accept(from, address)
		if errors.Is(err, errNoPower) {
			continue
		}
		return conn, err
	}
}

func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// pause waits, and returns the error of the context if it ends before.
func pause(ctx context.Context, span time.Duration) error { return waitFor(ctx, nil, span) }

// waitFor waits for an event, for a time at most.
func waitFor(ctx context.Context, event <-chan struct{}, span time.Duration) error {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-event:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

var errNoPower = errors.New("the machine has no power")

func refused(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: tcpAddress(address), Err: syscall.ECONNREFUSED}
}

func tcpAddress(address string) net.Addr {
	parsed, err := net.ResolveTCPAddr("tcp", address) // IP addresses only, so that nothing is looked up
	if err != nil {
		return &net.TCPAddr{}
	}
	return parsed
}
