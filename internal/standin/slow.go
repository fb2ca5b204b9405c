package standin

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

// This file owns the peers that are slow: they send a few bytes at a time, or read so, on purpose or by a poor line.

// SlowClients is a crowd of clients at the end of a slow line. Each brings one request after the other.
type SlowClients struct {
	Target string
	From   string // the loopback address that they come from; "": the system's choice
	Name   string // starts the ids of their jobs
	Peers  int
	Kind   JobKind // of their jobs; Kind.Body is what a sender drags out, Kind.Task.Size what a reader does
	// Send and Read are bytes a second; 0: as fast as it goes.
	Send, Read float64
	// Every is how often a peer sends or reads a piece; 0: ten times a second.
	Every time.Duration
	// Pause stops each reader once, halfway through its answer.
	Pause time.Duration
	// Again is how long one that was turned away or cut waits before it comes again; 0: it does not.
	Again time.Duration
	// Over is the span over which the peers come, evenly; 0: all at once.
	Over time.Duration
	// Once ends a peer after an answer; else it goes on with its next request.
	Once bool
}

// SlowTally is how a slow crowd's requests ended.
type SlowTally struct {
	Came     int // connections that came up
	Served   int // whole answers of 200, with their own result
	Answered map[int]int
	Cut      int // closed without a whole answer
	Refused  int // connections that did not come up
}

func (t *SlowTally) String() string {
	return fmt.Sprintf("came=%d served=%d answered=%v cut=%d refused=%d", t.Came, t.Served, t.Answered, t.Cut, t.Refused)
}

// Run plays the crowd until the context ends, or until each peer has ended by itself.
func (s SlowClients) Run(ctx context.Context) *SlowTally {
	t := &SlowTally{Answered: map[int]int{}}
	if s.Every == 0 {
		s.Every = 100 * time.Millisecond
	}
	var mu sync.Mutex
	var all sync.WaitGroup
	for i := range s.Peers {
		all.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(s.Over * time.Duration(i) / time.Duration(s.Peers)):
			}
			for n := 0; ctx.Err() == nil; n++ {
				more := s.connection(ctx, fmt.Sprintf("%sslow%d-%d", s.Name, i, n), t, &mu)
				if !more && s.Again == 0 {
					return
				}
				if !more {
					select {
					case <-ctx.Done():
					case <-time.After(s.Again):
					}
				}
			}
		})
	}
	all.Wait()
	return t
}

// connection plays one connection to its end and reports whether the peer goes on at once.
func (s SlowClients) connection(ctx context.Context, id string, t *SlowTally, mu *sync.Mutex) bool {
	note := func(f func()) {
		mu.Lock()
		defer mu.Unlock()
		f()
	}
	d := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
		if s.Read == 0 {
			return nil
		}
		var err error
		if e := c.Control(func(fd uintptr) { err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, 2<<10) }); e != nil {
			return e
		}
		return err
	}}
	if s.From != "" {
		d.LocalAddr = &net.TCPAddr{IP: net.ParseIP(s.From)}
	}
	c, err := d.DialContext(ctx, "tcp", s.Target)
	if err != nil {
		note(func() { t.Refused++ })
		return false
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	note(func() { t.Came++ })
	for n := 0; ; n++ {
		own := fmt.Sprintf("%s-%d", id, n)
		answers := make(chan *http.Response, 1)
		in := bufio.NewReaderSize(&dragged{c, s, 0}, 512)
		go func() { // an answer may come before the request is whole
			r, err := http.ReadResponse(in, nil)
			if err != nil {
				r = nil
				c.Close()
			}
			answers <- r
		}()
		sent := s.send(c, own)
		r := <-answers
		if r == nil {
			if ctx.Err() == nil {
				note(func() { t.Cut++ })
			}
			return false
		}
		body, err := io.ReadAll(r.Body)
		switch {
		case err != nil && ctx.Err() != nil:
			return false
		case err != nil:
			note(func() { t.Cut++ })
			return false
		case r.StatusCode == 200 && string(body) == Result(own, s.Kind.Task.Size):
			note(func() { t.Served++; t.Answered[200]++ })
		default:
			note(func() { t.Answered[r.StatusCode]++ })
		}
		if r.Close || sent != nil || s.Once {
			return false
		}
	}
}

// send writes one request at the crowd's pace.
func (s SlowClients) send(c net.Conn, id string) error {
	info := ""
	if s.Kind.Task.Run > 0 {
		info = fmt.Sprintf("X-Call-Cost: %d\r\n", s.Kind.Task.Run.Microseconds())
	}
	text := fmt.Sprintf("POST /api/1?%s HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\n%sContent-Length: %d\r\n\r\n%s",
		s.Kind.Task.Query(), id, s.Kind.Class, s.Kind.Budget.Milliseconds(), info, s.Kind.Body, strings.Repeat("x", s.Kind.Body))
	if s.Send == 0 {
		_, err := io.WriteString(c, text)
		return err
	}
	began := time.Now()
	for n := 0; n < len(text); time.Sleep(s.Every) {
		due := min(len(text), int(s.Send*(time.Since(began)+s.Every).Seconds())) // what the rate asks for by now
		if due > n {
			if _, err := io.WriteString(c, text[n:due]); err != nil {
				return err
			}
			n = due
		}
	}
	return nil
}

// dragged reads from a connection at the crowd's pace.
type dragged struct {
	net.Conn
	s    SlowClients
	seen int
}

func (d *dragged) Read(b []byte) (int, error) {
	if d.s.Read == 0 {
		return d.Conn.Read(b)
	}
	if half := d.s.Kind.Task.Size / 2; d.s.Pause > 0 && d.seen > half {
		time.Sleep(d.s.Pause)
		d.s.Pause = 0
	}
	piece := max(1, int(d.s.Read*d.s.Every.Seconds()))
	n, err := d.Conn.Read(b[:min(len(b), piece)])
	d.seen += n
	time.Sleep(time.Duration(float64(n) / d.s.Read * float64(time.Second)))
	return n, err
}
