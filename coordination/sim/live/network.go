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

// Network delays and intervals.
const (
	minDelay = 200 * time.Microsecond
	maxDelay = 2 * time.Millisecond
	// connectRetryInterval is the time between attempts to connect to a machine that does not respond.
	connectRetryInterval = time.Second
)

// direction identifies the path from one machine to another.
type direction struct{ from, to string }

// Network connects machines, which are identified by their IP addresses.
type Network struct {
	mutex        sync.Mutex
	random       *rand.Rand
	machines     map[string]*Machine
	cuts         map[direction]int // calls of Cut without a matching Heal
	extraDelays  map[direction]time.Duration
	healed       chan struct{} // closed and replaced when a cut ends
	streams      map[*stream]struct{}
	stepsLeft    int // steps until stepCallback is called; 0 if none is pending
	stepCallback func()
}

// NewNetwork returns a network without machines. The seed determines its delays and the faults of its disks.
func NewNetwork(seed uint64) *Network {
	return &Network{
		random:      rand.New(rand.NewPCG(seed, 1)),
		machines:    map[string]*Machine{},
		cuts:        map[direction]int{},
		extraDelays: map[direction]time.Duration{},
		healed:      make(chan struct{}),
		streams:     map[*stream]struct{}{},
	}
}

// Cut delays all traffic from one machine to another until Heal was called as often as Cut.
func (n *Network) Cut(from, to string) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.cuts[direction{from, to}]++
}

// Heal ends one Cut. When the last one ends, the delayed bytes arrive after the usual network delay.
func (n *Network) Heal(from, to string) {
	for _, waiting := range n.removeCut(direction{from, to}) {
		waiting.startDelivery()
	}
}

// removeCut ends one cut. If it was the last one of the path, it returns the streams of the path.
func (n *Network) removeCut(path direction) []*stream {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.cuts[path]--; n.cuts[path] > 0 {
		return nil
	}
	delete(n.cuts, path)
	close(n.healed)
	n.healed = make(chan struct{})
	var waiting []*stream
	for candidate := range n.streams {
		if candidate.path == path {
			waiting = append(waiting, candidate)
		}
	}
	return waiting
}

// SetExtraDelay sets an additional delay for all traffic from one machine to another. 0 removes it.
func (n *Network) SetExtraDelay(from, to string, by time.Duration) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.extraDelays[direction{from, to}] = by
}

// AfterSteps calls callback in a new goroutine after count more steps of the machines. A step is a delivery of bytes to a
// machine or a write access to a disk. A later call of AfterSteps replaces a pending one.
func (n *Network) AfterSteps(count int, callback func()) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.stepsLeft, n.stepCallback = count, callback
}

// countStep counts one step for AfterSteps.
func (n *Network) countStep() {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.stepsLeft == 0 {
		return
	}
	if n.stepsLeft--; n.stepsLeft == 0 {
		go n.stepCallback()
	}
}

// isOpen reports whether a path is not cut. The channel is closed when the next cut ends.
func (n *Network) isOpen(path direction) (bool, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.cuts[path] == 0, n.healed
}

// delay returns a random delay for a transmission on a path.
func (n *Network) delay(path direction) time.Duration {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if path.from == path.to {
		return minDelay
	}
	return n.extraDelays[path] + minDelay + time.Duration(n.random.Int64N(int64(maxDelay-minDelay)))
}

// register adds a stream whose delivery Heal resumes.
func (n *Network) register(added *stream) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.streams[added] = struct{}{}
}

// unregister removes a stream that has ended.
func (n *Network) unregister(ended *stream) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	delete(n.streams, ended)
}

// machine returns the machine with the IP address of address, or nil.
func (n *Network) machine(address string) *Machine {
	ip, _, err := net.SplitHostPort(address)
	if err != nil {
		return nil
	}
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.machines[ip]
}

// dial opens a connection from a process to an address. It retries until ctx is done while the target has no power or a path
// is cut.
func (n *Network) dial(ctx context.Context, from *Process, address string) (net.Conn, error) {
	target := n.machine(address)
	forward := direction{from.machine.ip, hostOf(address)}
	backward := direction{forward.to, forward.from}
	for {
		if err := sleep(ctx, n.delay(forward)); err != nil {
			return nil, err
		}
		forwardOpen, healed := n.isOpen(forward)
		backwardOpen, _ := n.isOpen(backward)
		if !forwardOpen || !backwardOpen || target == nil || !target.powered() {
			if err := waitFor(ctx, healed, connectRetryInterval); err != nil {
				return nil, err
			}
			continue
		}
		if err := sleep(ctx, n.delay(backward)); err != nil {
			return nil, err
		}
		conn, err := target.accept(from, address)
		if errors.Is(err, errNoPower) {
			continue
		}
		return conn, err
	}
}

// hostOf returns the host part of an address.
func hostOf(address string) string {
	host, _, _ := net.SplitHostPort(address)
	return host
}

// sleep waits for a duration. It returns the error of ctx if that is done earlier.
func sleep(ctx context.Context, duration time.Duration) error { return waitFor(ctx, nil, duration) }

// waitFor waits until event is closed or timeout has passed. It returns the error of ctx if that is done earlier.
func waitFor(ctx context.Context, event <-chan struct{}, timeout time.Duration) error {
	timer := time.NewTimer(timeout)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-event:
	case <-ctx.Done():
		return ctx.Err()
	}
	return nil
}

// errNoPower means that the machine has no power, so that it does not respond.
var errNoPower = errors.New("the machine has no power")

// refusedError returns the error of a dial to an address without a listener.
func refusedError(address string) error {
	return &net.OpError{Op: "dial", Net: "tcp", Addr: tcpAddress(address), Err: syscall.ECONNREFUSED}
}

// tcpAddress parses an address that consists of an IP address and a port.
func tcpAddress(address string) net.Addr {
	parsed, err := net.ResolveTCPAddr("tcp", address) // no DNS lookup, since addresses contain IP addresses only
	if err != nil {
		return &net.TCPAddr{}
	}
	return parsed
}
