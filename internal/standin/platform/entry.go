package platform

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	probeInterval        = time.Second
	failuresUntilRemoval = 2 // consecutive failed probes that take a router out of rotation
	probeTimeout         = time.Second
)

// Router describes a router to the entry.
type Router struct {
	Zone      string
	Frontend  string // IP:PORT
	Readiness string
}

// Entry is a stand-in of the platform's load balancer. It picks ready routers for new connections of clients.
type Entry struct {
	transport *http.Transport
	stop      context.CancelFunc
	done      sync.WaitGroup

	mu      sync.Mutex
	routers []*routerState
	changed chan struct{} // closed and replaced when a router enters or leaves the rotation
}

type routerState struct {
	Router
	inRotation bool
	failures   int
}

// StartEntry starts the readiness probes of the routers. Close stops them.
func StartEntry(routers []Router) *Entry {
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{transport: &http.Transport{DisableCompression: true}, stop: stop, changed: make(chan struct{})}
	for _, router := range routers {
		state := &routerState{Router: router}
		e.routers = append(e.routers, state)
		e.done.Go(func() { e.probeLoop(ctx, state) })
	}
	return e
}

// Close stops the readiness probes and waits for them to end.
func (e *Entry) Close() {
	e.stop()
	e.done.Wait()
	e.transport.CloseIdleConnections()
}

func (e *Entry) probeLoop(ctx context.Context, state *routerState) {
	every := time.NewTicker(probeInterval)
	defer every.Stop()
	for {
		e.recordProbe(state, e.probe(ctx, state.Readiness))
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

func (e *Entry) probe(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/ready", nil)
	if err != nil {
		return false
	}
	response, err := e.transport.RoundTrip(request)
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func (e *Entry) recordProbe(state *routerState, ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := state.inRotation
	if ready {
		state.inRotation, state.failures = true, 0
	} else if state.failures++; state.failures >= failuresUntilRemoval {
		state.inRotation = false
	}
	if before != state.inRotation {
		close(e.changed)
		e.changed = make(chan struct{})
	}
}

// Ready returns how many routers are in rotation, and a channel that is closed when that changes.
func (e *Entry) Ready() (int, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, state := range e.routers {
		if state.inRotation {
			n++
		}
	}
	return n, e.changed
}

// SelectRouter returns the Frontend address for a new connection of a client; attempt is the number of earlier attempts. It
// uses the routers of the zone that are in rotation, or all of the zone if fewer than half are. If none of them is, it uses
// the routers of other zones that are in rotation, and if there are none, all routers.
func (e *Entry) SelectRouter(zone string, client uint64, attempt int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	all, in := e.ofZone(zone)
	switch {
	case len(in)*2 >= len(all) && len(in) > 0:
	case len(in) > 0:
		in = all
	default:
		for _, state := range e.routers {
			if state.inRotation {
				in = append(in, state)
			}
		}
	}
	if len(in) == 0 {
		in = e.routers
	}
	return in[(hash(client)+uint64(attempt))%uint64(len(in))].Frontend
}

// ofZone returns all routers of a zone, and those of them that are in rotation.
func (e *Entry) ofZone(zone string) (all, in []*routerState) {
	for _, state := range e.routers {
		if state.Zone == zone {
			all = append(all, state)
			if state.inRotation {
				in = append(in, state)
			}
		}
	}
	return all, in
}

// hash distributes small numbers over the whole range.
func hash(n uint64) uint64 {
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	return n ^ n>>31
}
