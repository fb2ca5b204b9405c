package standin

import "sync"

// This file lets a test force an order of events: a stand-in waits at a sync point until the test releases it. Nothing here
// may sleep in the hope that something happens meanwhile.

// SyncPoints are named points at which a stand-in can be held. A nil *SyncPoints holds nowhere.
type SyncPoints struct {
	mu     sync.Mutex
	points map[string]*syncPoint
}

type syncPoint struct {
	hold    chan struct{} // closed on release; nil: the point is open
	reached chan struct{} // receives a value for each arrival while the point was held
}

func (s *SyncPoints) point(name string) *syncPoint {
	if s.points == nil {
		s.points = map[string]*syncPoint{}
	}
	if s.points[name] == nil {
		s.points[name] = &syncPoint{reached: make(chan struct{}, 1<<10)}
	}
	return s.points[name]
}

// Hold makes each caller of Wait at this point block until Release.
func (s *SyncPoints) Hold(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.point(name); p.hold == nil {
		p.hold = make(chan struct{})
	}
}

// Release ends the wait of all callers at the point and opens it.
func (s *SyncPoints) Release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.point(name); p.hold != nil {
		close(p.hold)
		p.hold = nil
	}
}

// Reached returns a channel that receives a value for each arrival at the point while it was held.
func (s *SyncPoints) Reached(name string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.point(name).reached
}

// Wait blocks while the point is held. It is for tests that add points to code of their own.
func (s *SyncPoints) Wait(name string) { s.wait(name) }

func (s *SyncPoints) wait(name string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	p := s.point(name)
	hold := p.hold
	s.mu.Unlock()
	if hold == nil {
		return
	}
	select {
	case p.reached <- struct{}{}:
	default:
	}
	<-hold
}
