package platform

import (
	"context"
	"net/http"
	"sync"
	"time"
)

const (
	readinessEvery   = time.Second
	missesUntilOut   = 2
	readinessTimeout = time.Second
)

// Router is a router as the entry knows it.
type Router struct {
	Zone      string
	Frontend  string // IP:PORT
	Readiness string
}

// Entry picks routers for new connections of clients.
type Entry struct {
	transport *http.Transport
	stop      context.CancelFunc
	done      sync.WaitGroup

	mu      sync.Mutex
	routers []*routerState
	news    chan struct{}
}

type routerState struct {
	Router
	in     bool
	misses int
}

// StartEntry starts the checks of readiness. Close ends them.
func StartEntry(routers []Router) *Entry {
	ctx, stop := context.WithCancel(context.Background())
	e := &Entry{transport: &http.Transport{DisableCompression: true}, stop: stop, news: make(chan struct{})}
	for _, router := range routers {
		state := &routerState{Router: router}
		e.routers = append(e.routers, state)
		e.done.Go(func() { e.watch(ctx, state) })
	}
	return e
}

// Close ends it.
func (e *Entry) Close() {
	e.stop()
	e.done.Wait()
	e.transport.CloseIdleConnections()
}

func (e *Entry) watch(ctx context.Context, state *routerState) {
	every := time.NewTicker(readinessEvery)
	defer every.Stop()
	for {
		e.book(state, e.ask(ctx, state.Readiness))
		select {
		case <-ctx.Done():
			return
		case <-every.C:
		}
	}
}

func (e *Entry) ask(ctx context.Context, address string) bool {
	ctx, cancel := context.WithTimeout(ctx, readinessTimeout)
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

func (e *Entry) book(state *routerState, ready bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	before := state.in
	if ready {
		state.in, state.misses = true, 0
	} else if state.misses++; state.misses >= missesUntilOut {
		state.in = false
	}
	if before != state.in {
		close(e.news)
		e.news = make(chan struct{})
	}
}

// Ready returns how many routers are in, and a channel that is closed when that changes.
func (e *Entry) Ready() (int, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, state := range e.routers {
		if state.in {
			n++
		}
	}
	return n, e.news
}

// Pick returns the Frontend address for a new connection of a client; try is the number of its tries before.
func (e *Entry) Pick(zone string, client uint64, try int) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	all, in := e.ofZone(zone)
	switch {
	case len(in)*2 >= len(all) && len(in) > 0:
	case len(in) > 0:
		in = all
	default:
		for _, state := range e.routers {
			if state.in {
				in = append(in, state)
			}
		}
	}
	if len(in) == 0 {
		in = e.routers
	}
	return in[(mix(client)+uint64(try))%uint64(len(in))].Frontend
}

func (e *Entry) ofZone(zone string) (all, in []*routerState) {
	for _, state := range e.routers {
		if state.Zone == zone {
			all = append(all, state)
			if state.in {
				in = append(in, state)
			}
		}
	}
	return all, in
}

// mix spreads small numbers.
func mix(n uint64) uint64 {
	n = (n ^ n>>30) * 0xbf58476d1ce4e5b9
	return n ^ n>>31
}
