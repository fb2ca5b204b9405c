package net

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"weldscale/internal/mgmt"
)

// This file owns the second address. It is apart from netpoll, whose one poller waits for the loop while a client's bytes
// are taken: a call must not wait behind the load that it asks about. It must never hold more than secondConns
// connections, nor one for longer than its time.

const (
	secondConns = 16 // descriptors set apart for it, the listener's too
	secondTime  = 3 * time.Second
	acceptPause = 20 * time.Millisecond // after an accept that failed: no descriptors are left just now
)

// ManagementServer is the listener of the second address.
type ManagementServer struct {
	ln      net.Listener
	control mgmt.Control

	mu      sync.Mutex
	waiting []net.Conn // those whose call is not whole, the one that came first in front
	open    int
	closed  bool
}

// ListenManagement takes calls at the address until Close.
func ListenManagement(addr string, control mgmt.Control) (*ManagementServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &ManagementServer{ln: ln, control: control}
	go s.accept()
	return s, nil
}

// Addr is the address that it took.
func (s *ManagementServer) Addr() string { return s.ln.Addr().String() }

// Close ends the listener; calls that are being answered go on.
func (s *ManagementServer) Close() {
	s.mu.Lock()
	s.closed = true
	s.mu.Unlock()
	s.ln.Close()
}

func (s *ManagementServer) accept() {
	for {
		c, err := s.ln.Accept()
		switch {
		case errors.Is(err, net.ErrClosed):
			return
		case err != nil:
			slog.Warn("second address: accept failed", "why", err)
			time.Sleep(acceptPause)
		case !s.enter(c):
			c.Close() // all are being answered
		default:
			go s.serve(c)
		}
	}
}

// enter makes room for a connection: the one that has been silent longest goes.
func (s *ManagementServer) enter(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open >= secondConns-2 {
		if len(s.waiting) == 0 {
			return false
		}
		s.waiting[0].Close() // its reader ends it in the books
		s.waiting = s.waiting[1:]
		s.open--
	}
	s.open++
	s.waiting = append(s.waiting, c)
	return true
}

// heard takes a connection out of those that wait, and reports whether it was still among them.
func (s *ManagementServer) heard(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, w := range s.waiting {
		if w == c {
			s.waiting = append(s.waiting[:i:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

func (s *ManagementServer) left() {
	s.mu.Lock()
	s.open--
	s.mu.Unlock()
}

// serve answers the one call of a connection.
func (s *ManagementServer) serve(c net.Conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(secondTime))
	call, b := mgmt.NewCall(), make([]byte, 2<<10)
	for {
		n, err := c.Read(b)
		request, answer := call.Feed(b[:n])
		if request == nil && answer == nil && err == nil {
			continue
		}
		if !s.heard(c) {
			return // another took its place
		}
		defer s.left()
		if request != nil {
			answer = request.Do(s.control).Bytes()
		}
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		// What the caller has sent beyond its call must not turn the close into a reset that takes the answer along.
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(secondTime / 10))
		for left := 64 << 10; left > 0; left -= n {
			if n, err = c.Read(b); err != nil {
				return
			}
		}
		return
	}
}
