package watch

import (
	"context"
	"sync"
	"time"

	"github.com/rotisserie/eris"
	"github.com/vmihailenco/msgpack/v5"

	"weldscale/internal/fleetwire"
)

// latency is the time of one call over the network of tests, without what the hub holds it.
const latency = 2 * time.Millisecond

var errRefused = eris.New("refused")

// link is the state of the way to one hub.
type link int

const (
	linkUp link = iota
	linkSilent
	linkRefused
)

// network is an in-memory Caller for tests under synctest: it encodes messages as the real transport does.
type network struct {
	mutex sync.Mutex
	hubs  map[string]*Hub
	links map[string]link
	cut   map[string]chan struct{} // closed when a hub's link leaves linkUp
	calls map[string]int
}

func newNetwork() *network {
	return &network{hubs: map[string]*Hub{}, links: map[string]link{}, cut: map[string]chan struct{}{}, calls: map[string]int{}}
}

func (n *network) add(address string, hub *Hub) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.hubs[address] = hub
	n.cut[address] = make(chan struct{})
}

// set changes a link; calls that are on their way meet the new state.
func (n *network) set(address string, next link) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	if n.links[address] == linkUp && next != linkUp {
		close(n.cut[address])
	}
	if next == linkUp {
		n.cut[address] = make(chan struct{})
	}
	n.links[address] = next
}

func (n *network) callsOf(address string) int {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.calls[address]
}

func (n *network) look(address string) (*Hub, link, <-chan struct{}) {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	n.calls[address]++
	return n.hubs[address], n.links[address], n.cut[address]
}

func (n *network) linkOf(address string) link {
	n.mutex.Lock()
	defer n.mutex.Unlock()
	return n.links[address]
}

// Call implements Caller.
func (n *network) Call(ctx context.Context, address, _ string, request, reply any) error {
	hub, state, cut := n.look(address)
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
		answer, err := hub.Serve(ctx, *request.(*fleetwire.WatchRequest))
		done <- outcome{answer, err}
	}()
	select {
	case answer := <-done:
		if answer.err != nil {
			return answer.err
		}
		return recode(answer.reply, reply)
	case <-cut:
		if n.linkOf(address) == linkRefused {
			return errRefused
		}
		<-ctx.Done()
		return ctx.Err()
	case <-ctx.Done():
		return ctx.Err()
	}
}

func recode(from, to any) error {
	body, err := msgpack.Marshal(from)
	if err != nil {
		return err
	}
	return msgpack.Unmarshal(body, to)
}

// touch is the contact of a hub with its majority, as tests set it.
type touch struct {
	mutex sync.Mutex
	lost  time.Time // zero: in touch
}

func (t *touch) age() time.Duration {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	if t.lost.IsZero() {
		return 0
	}
	return time.Since(t.lost)
}

func (t *touch) lose() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lost = time.Now()
}

func (t *touch) regain() {
	t.mutex.Lock()
	defer t.mutex.Unlock()
	t.lost = time.Time{}
}

// configOf returns a configuration that tells its revision.
func configOf(revision uint64) *fleetwire.Config {
	return &fleetwire.Config{
		Version:  int64(revision),
		Routes:   []fleetwire.Route{{Name: "route", Split: []fleetwire.WeightedService{{Service: "service", Weight: 1}}}},
		Services: []fleetwire.Service{{Name: "service", Engine: &fleetwire.Engine{Slots: 4}}},
	}
}

// listOf returns a list with one worker.
func listOf(id string) []fleetwire.Instance {
	return []fleetwire.Instance{{ID: id, Service: "service", State: fleetwire.InstanceReady}}
}
