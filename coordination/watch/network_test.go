package watch

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"weldscale/internal/fleetwire"
)

// latency is the duration of a call over the test network, without the time that the hub holds the poll.
const latency = 2 * time.Millisecond

var errRefused = eris.New("refused")

// linkState is the state of the network path to one hub.
type linkState int

const (
	linkUp      linkState = iota
	linkSilent            // calls get no reply until their context is done
	linkRefused           // calls fail at once
)

// network is an in-memory Caller for tests under synctest. It encodes replies as the real transport does.
type network struct {
	mutex sync.Mutex
	hubs  map[string]*Hub
	links map[string]linkState
	down  map[string]chan struct{} // closed when a hub's link leaves linkUp
	calls map[string]int
}

func newNetwork() *network {
	return &network{hubs: map[string]*Hub{}, links: map[string]linkState{}, down: map[string]chan struct{}{}, calls: map[string]int{}}
}

func (n *network) add(address string, hub *Hub) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.hubs[address] = hub
	n.down[address] = make(chan struct{})
}

// setLink changes the state of a link. Calls in progress see the new state.
func (n *network) setLink(address string, next linkState) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.links[address] == linkUp && next != linkUp {
		close(n.down[address])
	}
	if next == linkUp {
		n.down[address] = make(chan struct{})
	}
	n.links[address] = next
}

// callCount returns the number of calls to a hub so far.
func (n *network) callCount(address string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.calls[address]
}

// lookup counts a call to a hub and returns the hub, the state of its link and the channel that is closed when the link goes
// down.
func (n *network) lookup(address string) (*Hub, linkState, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.calls[address]++
	return n.hubs[address], n.links[address], n.down[address]
}

func (n *network) linkOf(address string) linkState {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.links[address]
}

// Call implements Caller.
func (n *network) Call(ctx context.Context, address, _ string, request, reply any) error {
	hub, state, down := n.lookup(address)
	if hub == nil || state == linkRefused {
		return errRefused
	}
	if state == linkSilent {
		<-ctx.Done()
		return ctx.Err()
	}
	if !sleep(ctx, latency) {
		return ctx.Err()
	}
	type outcome struct {
		reply fleetwire.WatchReply
		err   error
	}
	done := make(chan outcome, 1)
	go func() {
		watchReply, err := hub.Serve(ctx, *request.(*fleetwire.WatchRequest))
		done <- outcome{watchReply, err}
	}()
	select {
	case result := <-done:
		if result.err != nil {
			return result.err
		}
		return copyEncoded(result.reply, reply)
	case <-down:
		if n.linkOf(address) == linkRefused {
			return errRefused
		}
		<-ctx.Done()
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

// copyEncoded copies a message by encoding and decoding it.
func copyEncoded(from, to any) error {
	body, err := msgpack.Marshal(from)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(body, to)
}

// quorumLink is the contact of a hub with its majority, as tests set it.
type quorumLink struct {
	mutex sync.Mutex
	lost  time.Time // when contact was lost; zero: there is contact
}

func (q *quorumLink) age() time.Duration {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	if q.lost.IsZero() {
		return 0
	}
	return time.Since(q.lost)
}

func (q *quorumLink) lose() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.lost = time.Now()
}

func (q *quorumLink) regain() {
	q.mutex.Lock()
	defer q.mutex.Unlock()
	q.lost = time.Time{}
}

// testConfig returns a configuration whose version is the given revision.
func testConfig(revision uint64) *fleetwire.Config {
	return &fleetwire.Config{
		Version:  int64(revision),
		Routes:   []fleetwire.Route{{Name: "route", Split: []fleetwire.WeightedService{{Service: "service", Weight: 1}}}},
		Services: []fleetwire.Service{{Name: "service", Engine: &fleetwire.Engine{Slots: 4}}},
	}
}

// testList returns a list that contains one worker.
func testList(id string) []fleetwire.Instance {
	return []fleetwire.Instance{{ID: id, Service: "service", State: fleetwire.InstanceReady}}
}
