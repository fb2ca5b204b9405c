package standin

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// This file owns the means by which a test causes a moment: points at which a stand-in waits until it is let go on, and a
// client of which every byte and every end is the test's. It must never let time pass in the hope that something happens.

// SyncPoints are named points of a stand-in. A nil one stops nowhere.
type SyncPoints struct {
	mu     sync.Mutex
	points map[string]*stop
}

type stop struct {
	held    chan struct{} // nil: it lets through
	reached chan struct{}
}

func (s *SyncPoints) point(name string) *stop {
	if s.points == nil {
		s.points = map[string]*stop{}
	}
	if s.points[name] == nil {
		s.points[name] = &stop{reached: make(chan struct{}, 1<<10)}
	}
	return s.points[name]
}

// Hold stops whoever comes to the point from now on, until Release.
func (s *SyncPoints) Hold(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.point(name); p.held == nil {
		p.held = make(chan struct{})
	}
}

// Release lets go on whoever waits at the point, and lets through whoever comes.
func (s *SyncPoints) Release(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p := s.point(name); p.held != nil {
		close(p.held)
		p.held = nil
	}
}

// Reached tells of each arrival at a point while it was held.
func (s *SyncPoints) Reached(name string) <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.point(name).reached
}

// Wait waits at the point while it is held. For parties that a test plays itself.
func (s *SyncPoints) Wait(name string) { s.at(name) }

func (s *SyncPoints) at(name string) {
	if s == nil {
		return
	}
	s.mu.Lock()
	p := s.point(name)
	held := p.held
	s.mu.Unlock()
	if held == nil {
		return
	}
	select {
	case p.reached <- struct{}{}:
	default:
	}
	<-held
}

// ClientConn is one connection of a client.
type ClientConn struct {
	c  *net.TCPConn
	in *bufio.Reader
}

// Dial opens a connection.
func Dial(addr string) (*ClientConn, error) {
	c, err := net.DialTimeout("tcp", addr, 10*time.Second)
	if err != nil {
		return nil, err
	}
	return &ClientConn{c.(*net.TCPConn), bufio.NewReader(c)}, nil
}

// RequestText is the bytes of a request.
func RequestText(id, class string, budget time.Duration, body string, fields ...string) string {
	more := strings.Join(fields, "\r\n")
	if more != "" {
		more += "\r\n"
	}
	return fmt.Sprintf("POST /api/1 HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\n%sContent-Length: %d\r\n\r\n%s",
		id, class, budget.Milliseconds(), more, len(body), body)
}

// Send writes bytes.
func (c *ClientConn) Send(text string) error {
	_, err := io.WriteString(c.c, text)
	return err
}

// HalfClose ends the sending and goes on reading.
func (c *ClientConn) HalfClose() { _ = c.c.CloseWrite() }

// Close ends the connection.
func (c *ClientConn) Close() { _ = c.c.Close() }

// Reset breaks it.
func (c *ClientConn) Reset() {
	_ = c.c.SetLinger(0)
	_ = c.c.Close()
}

// ReadAnswer reads one answer.
func (c *ClientConn) ReadAnswer(patience time.Duration) (status int, body string, err error) {
	_ = c.c.SetReadDeadline(time.Now().Add(patience))
	r, err := http.ReadResponse(c.in, nil)
	if err != nil {
		return 0, "", err
	}
	defer r.Body.Close()
	b, err := io.ReadAll(r.Body)
	return r.StatusCode, string(b), err
}

// ReadN reads so many bytes and takes no more.
func (c *ClientConn) ReadN(n int) error {
	_ = c.c.SetReadBuffer(4 << 10)
	_, err := io.ReadFull(c.c, make([]byte, n))
	return err
}
