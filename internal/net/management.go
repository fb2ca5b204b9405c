package net

import (
	"errors"
	"log/slog"
	"net"
	"sync"
	"time"

	"weldscale/internal/mgmt"
)

// This file implements the listener of the management address. It doesn't use netpoll, whose single poller waits for
// the loop while a client's data is processed: a management call must not wait behind the load that it asks about. It
// must never hold more than managementConns connections, nor hold one longer than managementTimeout.

const (
	managementConns   = 16 // reserved descriptors, including the listener's
	managementTimeout = 3 * time.Second
	acceptPause       = 20 * time.Millisecond // delay after a failed accept, as when no descriptors are left
)

// ManagementServer serves management calls, one on each connection.
type ManagementServer struct {
	ln      net.Listener
	control mgmt.Control

	mu         sync.Mutex
	incomplete []net.Conn // connections without a complete call, oldest first
	openConns  int
	closed     bool
}

// ListenManagement serves management calls at addr until Close.
func ListenManagement(addr string, control mgmt.Control) (*ManagementServer, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &ManagementServer{ln: ln, control: control}
	go s.accept()
	return s, nil
}

// Addr returns the address of the listener.
func (s *ManagementServer) Addr() string { return s.ln.Addr().String() }

// Close closes the listener. Calls in progress continue.
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
		case !s.admit(c):
			c.Close() // every open connection has a complete call
		default:
			go s.serve(c)
		}
	}
}

// admit registers a connection and reports whether there is room for it. If necessary, it closes the oldest connection
// without a complete call.
func (s *ManagementServer) admit(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openConns >= managementConns-2 {
		if len(s.incomplete) == 0 {
			return false
		}
		s.incomplete[0].Close() // its reader gets an error and ends without calling release
		s.incomplete = s.incomplete[1:]
		s.openConns--
	}
	s.openConns++
	s.incomplete = append(s.incomplete, c)
	return true
}

// removeIncomplete removes a connection from incomplete and reports whether it was still listed.
func (s *ManagementServer) removeIncomplete(c net.Conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, listed := range s.incomplete {
		if listed == c {
			s.incomplete = append(s.incomplete[:i:i], s.incomplete[i+1:]...)
			return true
		}
	}
	return false
}

func (s *ManagementServer) release() {
	s.mu.Lock()
	s.openConns--
	s.mu.Unlock()
}

// serve answers the single call of a connection.
func (s *ManagementServer) serve(c net.Conn) {
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(managementTimeout))
	call, b := mgmt.NewCall(), make([]byte, 2<<10)
	for {
		n, err := c.Read(b)
		request, answer := call.Feed(b[:n])
		if request == nil && answer == nil && err == nil {
			continue
		}
		if !s.removeIncomplete(c) {
			return // admit closed it for a newer connection
		}
		defer s.release()
		if request != nil {
			answer = request.Do(s.control).Bytes()
		}
		if answer == nil {
			return
		}
		if _, err := c.Write(answer); err != nil {
			return
		}
		// Reads what the caller has sent after its call. If it stayed unread, the close would reset the connection and
		// the caller could lose the answer.
		_ = c.(*net.TCPConn).CloseWrite()
		_ = c.SetReadDeadline(time.Now().Add(managementTimeout / 10))
		for remaining := 64 << 10; remaining > 0; remaining -= n {
			if n, err = c.Read(b); err != nil {
				return
			}
		}
		return
	}
}
