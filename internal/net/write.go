package net

import (
	"errors"
	"log/slog"

	"github.com/cloudwego/netpoll"
	"golang.org/x/sys/unix"

	"weldscale/internal/engine"
	"weldscale/internal/jobs"
)

// This file implements writing. Data goes to the system at once as far as it accepts it; the rest is queued on the
// connection and counted, and one goroutine for all connections waits for sockets to become writable. A peer that does
// not read must not occupy a goroutine, nor delay the data of others.

type chunk struct {
	data []byte
	done func(jobs.WriteResult)
}

// withDescriptor calls f with the connection's descriptor. It returns EPIPE without calling f if the descriptor may
// belong to another connection by now.
func (c *Conn) withDescriptor(f func(fd int) error) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	fd, ok := c.conn.(netpoll.Conn)
	if !ok || c.released {
		return unix.EPIPE
	}
	return f(fd.Fd())
}

// Write implements jobs.Conn.
func (c *Conn) Write(b []byte, done func(jobs.WriteResult)) {
	if c.ended {
		if done != nil {
			c.driver.loop.Defer(func() { done(jobs.WriteIncomplete) })
		}
		return
	}
	c.queuedBytes += len(b)
	if c.writeQueue = append(c.writeQueue, chunk{b, done}); len(c.writeQueue) == 1 {
		c.driver.unsent++
		c.flush()
	}
}

// flush writes queued data until the system accepts no more.
func (c *Conn) flush() {
	for len(c.writeQueue) > 0 {
		first := &c.writeQueue[0]
		n := 0
		err := c.withDescriptor(func(fd int) (err error) {
			n, err = unix.Write(fd, first.data)
			return err
		})
		if n > 0 {
			first.data = first.data[n:]
			c.queuedBytes -= n
		}
		switch {
		case err == unix.EINTR:
		case err == unix.EAGAIN:
			c.awaitWritable()
			return
		case err != nil:
			c.driver.loop.Defer(c.failQueue) // none of the rest was sent; the poller reports the end
			return
		case len(first.data) == 0:
			c.finishChunk(jobs.Written)
		}
	}
	if c.closeAfterWrite {
		c.shutdownWrite()
	}
}

// finishChunk removes the first chunk and schedules its done callback to run after the current event.
func (c *Conn) finishChunk(result jobs.WriteResult) {
	done := c.writeQueue[0].done
	c.writeQueue[0] = chunk{}
	if c.writeQueue = c.writeQueue[1:]; len(c.writeQueue) == 0 {
		c.writeQueue = nil
		c.driver.unsent--
	}
	if done != nil {
		c.driver.loop.Defer(func() { done(result) })
	}
}

// failQueue drops the queue and reports every chunk as incomplete: at least one byte of each has certainly not been
// sent.
func (c *Conn) failQueue() {
	var callbacks []func(jobs.WriteResult)
	for _, w := range c.writeQueue {
		if w.done != nil {
			callbacks = append(callbacks, w.done)
		}
	}
	c.dropQueue()
	for _, done := range callbacks {
		done(jobs.WriteIncomplete)
	}
}

// dropQueue drops the queue without calling the done callbacks.
func (c *Conn) dropQueue() {
	if len(c.writeQueue) > 0 {
		c.driver.unsent--
	}
	c.writeQueue, c.queuedBytes = nil, 0
	c.driver.watcher.remove(c)
}

// awaitWritable registers the connection for a call of flush once the socket is writable.
func (c *Conn) awaitWritable() {
	if err := c.withDescriptor(func(fd int) error { return c.driver.watcher.add(c, fd) }); err != nil && !errors.Is(err, unix.EPIPE) {
		slog.Error("descriptor can't be watched", "why", err)
		c.Close()
	}
}

// Queued implements jobs.Conn.
func (c *Conn) Queued() int { return c.queuedBytes }

// Unacked implements jobs.Conn.
func (c *Conn) Unacked() int {
	system := 0
	_ = c.withDescriptor(func(fd int) (err error) {
		system, err = unix.IoctlGetInt(fd, unix.SIOCOUTQ)
		return err
	})
	return c.queuedBytes + system
}

// Unsent returns the number of connections with data that the system has not accepted.
func (d *Driver) Unsent() int { return d.unsent }

// writeWatcher waits with epoll for sockets to become writable. Its goroutine uses only loop and epoll; the other fields
// are used on the loop only.
type writeWatcher struct {
	loop   *engine.Loop
	epoll  int
	lastID uint64
	conns  map[uint64]*Conn
}

func newWriteWatcher(loop *engine.Loop) *writeWatcher {
	return &writeWatcher{loop: loop, epoll: -1, conns: map[uint64]*Conn{}}
}

// add registers the connection for one event. Connections are identified by IDs and not by descriptors, since a
// descriptor may belong to another connection by the time an event is read. The system removes a descriptor from the
// epoll set when it is closed.
func (w *writeWatcher) add(c *Conn, fd int) error {
	if w.epoll < 0 {
		epoll, err := unix.EpollCreate1(unix.EPOLL_CLOEXEC)
		if err != nil {
			return err
		}
		w.epoll = epoll
		go w.run()
	}
	op := unix.EPOLL_CTL_MOD
	if c.watchID == 0 {
		w.lastID++
		c.watchID, op = w.lastID, unix.EPOLL_CTL_ADD
	}
	w.conns[c.watchID] = c
	return unix.EpollCtl(w.epoll, op, fd, &unix.EpollEvent{Events: unix.EPOLLOUT | unix.EPOLLONESHOT,
		Fd: int32(c.watchID), Pad: int32(c.watchID >> 32)})
}

func (w *writeWatcher) remove(c *Conn) {
	if c.watchID != 0 {
		delete(w.conns, c.watchID)
	}
}

// run passes events to the loop for the lifetime of the process.
func (w *writeWatcher) run() {
	events := make([]unix.EpollEvent, 128)
	for {
		n, err := unix.EpollWait(w.epoll, events, -1)
		if err != nil && err != unix.EINTR {
			slog.Error("waiting for writable sockets failed", "why", err)
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
			for _, id := range ready {
				if c := w.conns[id]; c != nil {
					c.flush()
				}
			}
		})
	}
}
