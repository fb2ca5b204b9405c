package net

import (
	"errors"
	"log/slog"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"weldscale/internal/engine"
	"weldscale/internal/jobs"
)

// This file owns the bytes on their way out. They go to the system at once as far as it takes them; the rest waits
// with its connection and is counted, and a descriptor that takes no more is watched by one goroutine for all. No
// peer that takes nothing may hold a goroutine, nor delay another's bytes.

type chunk struct {
	b    []byte
	done func(jobs.WriteResult)
}

// system does something to the descriptor, unless it may be another's by now.
func (c *Conn) system(f func(fd int) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	fd, ok := c.nc.(netpoll.Conn)
	if !ok || c.released {
		return unix.EPIPE
	}
	return f(fd.Fd())
}

// Write implements jobs.Conn.
func (c *Conn) Write(b []byte, done func(jobs.WriteResult)) {
	if c.ended {
		if done != nil {
			c.d.loop.Defer(func() { done(jobs.WriteIncomplete) })
		}
		return
	}
	c.queued += len(b)
	if c.out = append(c.out, chunk{b, done}); len(c.out) == 1 {
		c.d.unsent++
		c.flush()
	}
}

// flush gives the system what it takes.
func (c *Conn) flush() {
	for len(c.out) > 0 {
		first := &c.out[0]
		n := 0
		err := c.system(func(fd int) (err error) {
			n, err = unix.Write(fd, first.b)
			return err
		})
		if n > 0 {
			first.b = first.b[n:]
			c.queued -= n
		}
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			c.await()
			return
		case err != nil:
			c.d.loop.Defer(c.failOut) // the system took none of the rest; the poller tells the connection's end
			return
		case len(first.b) == 0:
			c.wrote(jobs.Written)
		}
	}
	if c.closeAfter {
		c.finish()
	}
}

// wrote takes the first chunk out and tells how it went, after the work at hand.
func (c *Conn) wrote(end jobs.WriteResult) {
	done := c.out[0].done
	c.out[0] = chunk{}
	if c.out = c.out[1:]; len(c.out) == 0 {
		c.out = nil
		c.d.unsent--
	}
	if done != nil {
		c.d.loop.Defer(func() { done(end) })
	}
}

// failOut ends what waits: of each chunk a byte at least has surely not left.
func (c *Conn) failOut() {
	var all []func(jobs.WriteResult)
	for _, w := range c.out {
		if w.done != nil {
			all = append(all, w.done)
		}
	}
	c.forgetOut()
	for _, done := range all {
		done(jobs.WriteIncomplete)
	}
}

// forgetOut drops what waits without a word.
func (c *Conn) forgetOut() {
	if len(c.out) > 0 {
		c.d.unsent--
	}
	c.out, c.queued = nil, 0
	c.d.watch.forget(c)
}

// await has the connection's flush called once the system takes bytes again.
func (c *Conn) await() {
	if err := c.system(func(fd int) error { return c.d.watch.add(c, fd) }); err != nil && !errors.Is(err, unix.EPIPE) {
		slog.Error("descriptor can't be watched", "why", err)
		c.Close()
	}
}

// Queued implements jobs.Conn.
func (c *Conn) Queued() int { return c.queued }

// Unacked implements jobs.Conn.
func (c *Conn) Unacked() int {
	system := 0
	_ = c.system(func(fd int) (err error) {
		system, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return c.queued + system
}

// Unsent returns how many connections hold bytes that the system has not taken.
func (d *Driver) Unsent() int { return d.unsent }

// watch tells when descriptors take bytes again. The loop owns it but for the descriptor of the epoll itself.
type watch struct {
	loop  *engine.Loop
	epoll int
	last  uint64
	conns map[uint64]*Conn
}

func newWatch(loop *engine.Loop) *watch {
	return &watch{loop: loop, epoll: -1, conns: map[uint64]*Conn{}}
}

// add watches for one event. Numbers, not descriptors, name a connection: a descriptor may be another's by the time an
// event is read. The system forgets a descriptor with its close.
func (w *watch) add(c *Conn, fd int) error {
	if w.epoll < 0 {
		epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
		if err != nil {
			return err
		}
		w.epoll = epoll
		go w.run()
	}
	op := unix.EPOLL_CTL_MOD
	if c.watched == 0 {
		w.last++
		c.watched, op = w.last, unix.EPOLL_CTL_ADD
	}
	w.conns[c.watched] = c
	return unix.EpollCtl(w.epoll, op, fd, &unix.EpollEvent{Events: unix.EPOLLOUT | unix.EPOLLONESHOT,
		Fd: int32(c.watched), Pad: int32(c.watched >> 32)})
}

func (w *watch) forget(c *Conn) {
	if c.watched != 0 {
		delete(w.conns, c.watched)
	}
}

// run hands on what the system tells, for as long as the process lives.
func (w *watch) run() {
	events := make([]unix.EpollEvent, 128)
	for {
		n, err := unix.EpollWait(w.epoll, events, -1)
		if err != nil && err != unix.EINTR {
			slog.Error("watch of descriptors ended", "why", err)
			return
		}
		if n <= 0 {
			continue
		}
		ready := make([]uint64, n)
		for i, e := range events[:n] {
			ready[i] = uint64(uint32(e.Fd)) | uint64(uint32(e.Pad))<<32
		}
		w.loop.Post(func() {
			for _, number := range ready {
				if c := w.conns[number]; c != nil {
					c.flush()
				}
			}
		})
	}
}
