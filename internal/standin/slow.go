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

// This file implements slow clients, which send or read a few bytes at a time, on purpose or because of a slow line.

// SlowClients describes a group of clients on a slow line. Each sends one request after the other.
type SlowClients struct {
	Target string
	From   string // the clients' loopback address; "": the system's choice
	Name   string // prefix of the job ids
	Peers  int
	Kind   JobKind // of their jobs; Kind.Body is the size of what senders send slowly, Kind.Task.Size of what readers read slowly
	// Send and Read are bytes a second; 0: no limit.
	Send, Read float64
	// Every is the interval between two pieces that a client sends or reads; 0: 100 ms.
	Every time.Duration
	// Pause is how long a reader stops reading, once in each answer, halfway through it.
	Pause time.Duration
	// Again is how long a client waits after a refused or ended connection before it connects again; 0: it doesn't.
	Again time.Duration
	// Over is the time over which the clients connect, evenly; 0: all at once.
	Over time.Duration
	// Once ends a connection after one answer; otherwise the next request follows on it.
	Once bool
}

// SlowTally counts how the requests of slow clients ended.
type SlowTally struct {
	Came     int         // connections that were opened
	Served   int         // complete answers with status 200 and the job's own result
	Answered map[int]int // complete answers by status
	Cut      int         // connections closed without a complete answer
	Refused  int         // connections that could not be opened
}

func (t *SlowTally) String() string {
	return fmt.Sprintf("came=%d served=%d answered=%v cut=%d refused=%d", t.Came, t.Served, t.Answered, t.Cut, t.Refused)
}

// Run runs the clients until the context ends or each client has ended by itself.
func (s SlowClients) Run(ctx context.Context) *SlowTally {
	t := &SlowTally{Answered: map[int]int{}}
	if s.Every == 0 {
		s.Every = 100 * time.Millisecond
	}
	var mu sync.Mutex
	var peers sync.WaitGroup
	for i := range s.Peers {
		peers.Go(func() {
			select {
			case <-ctx.Done():
			case <-time.After(s.Over * time.Duration(i) / time.Duration(s.Peers)):
			}
			for n := 0; ctx.Err() == nil; n++ {
				reconnect := s.runConnection(ctx, fmt.Sprintf("%sslow%d-%d", s.Name, i, n), t, &mu)
				if !reconnect && s.Again == 0 {
					return
				}
				if !reconnect {
					select {
					case <-ctx.Done():
					case <-time.After(s.Again):
					}
				}
			}
		})
	}
	peers.Wait()
	return t
}

// runConnection runs one connection to its end. It always returns false: no client connects again without a wait.
func (s SlowClients) runConnection(ctx context.Context, id string, t *SlowTally, mu *sync.Mutex) bool {
	record := func(f func()) {
		mu.Lock()
		defer mu.Unlock()
		f()
	}
	dialer := net.Dialer{Timeout: 5 * time.Second, Control: func(_, _ string, c syscall.RawConn) error {
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
		dialer.LocalAddr = &net.TCPAddr{IP: net.ParseIP(s.From)}
	}
	c, err := dialer.DialContext(ctx, "tcp", s.Target)
	if err != nil {
		record(func() { t.Refused++ })
		return false
	}
	defer c.Close()
	defer context.AfterFunc(ctx, func() { c.Close() })()
	record(func() { t.Came++ })
	for n := 0; ; n++ {
		jobID := fmt.Sprintf("%s-%d", id, n)
		answers := make(chan *http.Response, 1)
		in := bufio.NewReaderSize(&slowReader{c, s, 0}, 512)
		go func() { // an answer may come before the request is complete
			r, err := http.ReadResponse(in, nil)
			if err != nil {
				r = nil
				c.Close()
			}
			answers <- r
		}()
		sent := s.send(c, jobID)
		r := <-answers
		if r == nil {
			if ctx.Err() == nil {
				record(func() { t.Cut++ })
			}
			return false
		}
		body, err := io.ReadAll(r.Body)
		switch {
		case err != nil && ctx.Err() != nil:
			return false
		case err != nil:
			record(func() { t.Cut++ })
			return false
		case r.StatusCode == 200 && string(body) == Result(jobID, s.Kind.Task.Size):
			record(func() { t.Served++; t.Answered[200]++ })
		default:
			record(func() { t.Answered[r.StatusCode]++ })
		}
		if r.Close || sent != nil || s.Once {
			return false
		}
	}
}

// send writes one request at Send bytes a second.
func (s SlowClients) send(c net.Conn, id string) error {
	costField := ""
	if s.Kind.Task.Run > 0 {
		costField = fmt.Sprintf("X-Call-Cost: %d\r\n", s.Kind.Task.Run.Microseconds())
	}
	request := fmt.Sprintf("POST /api/1?%s HTTP/1.1\r\nHost: app.svc\r\nX-Call-Id: %s\r\nX-Call-Class: %s\r\nX-Budget: %dm\r\n%sContent-Length: %d\r\n\r\n%s",
		s.Kind.Task.Query(), id, s.Kind.Class, s.Kind.Budget.Milliseconds(), costField, s.Kind.Body, strings.Repeat("x", s.Kind.Body))
	if s.Send == 0 {
		_, err := io.WriteString(c, request)
		return err
	}
	began := time.Now()
	for n := 0; n < len(request); time.Sleep(s.Every) {
		due := min(len(request), int(s.Send*(time.Since(began)+s.Every).Seconds())) // bytes due at this rate by now
		if due > n {
			if _, err := io.WriteString(c, request[n:due]); err != nil {
				return err
			}
			n = due
		}
	}
	return nil
}

// slowReader reads from a connection at Read bytes a second.
type slowReader struct {
	net.Conn
	clients  SlowClients // a copy for this reader; its Pause is 0 once it has paused
	received int
}

func (r *slowReader) Read(b []byte) (int, error) {
	if r.clients.Read == 0 {
		return r.Conn.Read(b)
	}
	if half := r.clients.Kind.Task.Size / 2; r.clients.Pause > 0 && r.received > half {
		time.Sleep(r.clients.Pause)
		r.clients.Pause = 0
	}
	piece := max(1, int(r.clients.Read*r.clients.Every.Seconds()))
	n, err := r.Conn.Read(b[:min(len(b), piece)])
	r.received += n
	time.Sleep(time.Duration(float64(n) / r.clients.Read * float64(time.Second)))
	return n, err
}
