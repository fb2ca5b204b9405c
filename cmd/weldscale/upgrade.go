package main

import (
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"runtime/debug"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"golang.org/x/sys/unix"

	"weldscale/internal/engine"
	"weldscale/internal/handover"
	"weldscale/internal/jobs"
)

// This file implements the cooperation of several processes of one scheduler while a new process replaces an old one. It is
// active only if the platform passes the clients' listening socket. It must not close a connection that another process could
// take over, and must not delay the shutdown to wait for another process.

const (
	handoverInterval = 20 * time.Millisecond
	// jobHandoverDelay is how long after the signal open jobs finish in this process. The remaining ones are handed over,
	// because a job of many seconds would be cut off.
	jobHandoverDelay = 1500 * time.Millisecond
	// handoverPeriod is how long after the signal a stopping process hands over connections. The remaining ones are shut down
	// as without another process.
	handoverPeriod = 3300 * time.Millisecond
	offlineTimeout = 200 * time.Millisecond // for other processes to acknowledge that a worker is offline
)

// upgrade holds the links to the other processes. mu guards links, stopping and acks, and serializes writes of the
// file of offline workers. The counts at the end belong to the loop.
type upgrade struct {
	scheduler *scheduler
	dir       string // of the processes' sockets and the file of offline workers
	node      *handover.Node
	started   int64 // Unix time in microseconds
	links     []*handover.Link
	stopping  map[*handover.Link]bool // processes that have announced their own stop

	number atomic.Uint64 // of the last request for an acknowledgement
	mu     sync.Mutex
	acks   map[uint64]chan struct{} // closed when the request of that number is acknowledged

	clients, jobs, failed int // idle connections and jobs handed over, and connections that could not be sent at once
}

// joinProcesses links this process to the others of the scheduler and takes over the state of the oldest one.
func (s *scheduler) joinProcesses() error {
	u := &upgrade{scheduler: s, dir: os.TempDir(), started: time.Now().UnixMicro(), acks: map[uint64]chan struct{}{},
		stopping: map[*handover.Link]bool{}}
	if err := s.driver.EnableHandover(); err != nil {
		return err
	}
	offline, err := handover.LoadOffline(u.dir, s.config.Name)
	if err != nil {
		slog.Warn("workers taken out earlier can't be read: all workers are online", "why", err)
	}
	s.upgrade = u
	if u.node, err = handover.Open(u.dir, s.config.Name, u); err != nil {
		return err
	}
	slog.SetDefault(slog.Default().With("process", u.node.Process)) // two processes may write to one log
	// The loop does not run yet, so its state may be changed here.
	if oldest := u.oldest(); oldest != nil {
		offline = oldest.Out
		if err := s.discovery.LoadKnown(oldest.List); err != nil {
			slog.Warn("the worker list of the other process can't be read", "why", err)
		}
		var learned engine.LearnedState
		if err := json.Unmarshal(oldest.Learnt, &learned); err != nil {
			slog.Warn("the learned state of the other process can't be read", "why", err)
		}
		s.engine.RestoreLearned(learned)
		slog.Info("beside another process", "other", oldest.Process, "out", offline, "list", s.discovery.Index())
	}
	s.restoreOffline(offline)
	return nil
}

// oldest returns the oldest of the linked processes, or nil without one.
func (u *upgrade) oldest() *handover.Hello {
	u.mu.Lock()
	defer u.mu.Unlock()
	var oldest *handover.Hello
	for _, l := range u.links {
		if oldest == nil || l.Peer.Started < oldest.Started {
			oldest = &l.Peer
		}
	}
	return oldest
}

// Hello implements handover.Handler.
func (u *upgrade) Hello() handover.Hello {
	h := handover.Hello{Started: u.started}
	u.scheduler.loop.DoUrgent(operationTimeout, func() {
		var err error
		if h.Learnt, err = json.Marshal(u.scheduler.engine.LearnedState()); err != nil {
			slog.Warn("the learned state can't be sent to another process", "why", err)
			h.Learnt = json.RawMessage("{}")
		}
		h.Open, h.Out, h.List = u.scheduler.driver.OpenDescriptors(), u.scheduler.offlineWorkers(), u.scheduler.overlay.Snapshot(u.scheduler.discovery.Index())
	})
	return h
}

// LinkUp implements handover.Handler.
func (u *upgrade) LinkUp(l *handover.Link) {
	u.mu.Lock()
	u.links = append(u.links, l)
	u.mu.Unlock()
	go u.scheduler.loop.Post(u.scheduler.divideLimits)
}

// LinkDown implements handover.Handler.
func (u *upgrade) LinkDown(l *handover.Link) {
	u.mu.Lock()
	u.links = slices.DeleteFunc(u.links, func(m *handover.Link) bool { return m == l })
	delete(u.stopping, l)
	u.mu.Unlock()
	u.scheduler.loop.Post(u.scheduler.divideLimits)
}

// others returns the links to the other processes.
func (u *upgrade) others() []*handover.Link {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.links)
}

// successor returns the link to the newest process that started after this one and is not stopping, or nil.
func (u *upgrade) successor() *handover.Link {
	u.mu.Lock()
	defer u.mu.Unlock()
	var newest *handover.Link
	for _, l := range u.links {
		if l.Peer.Started > u.started && !u.stopping[l] && (newest == nil || l.Peer.Started > newest.Peer.Started) {
			newest = l
		}
	}
	return newest
}

// divideLimits sets this process's share of the memory and the descriptors. The memory is halved for each other process. The
// descriptors are divided in half, except that the older process keeps what it has open, up to three quarters.
func (s *scheduler) divideLimits() {
	memory, descriptors := int64(s.config.Limits.MemoryMB)<<20*6/10, s.config.Limits.Sockets
	if s.upgrade != nil {
		for _, l := range s.upgrade.others() {
			memory /= 2
			if l.Peer.Started < s.upgrade.started { // the older process keeps its open descriptors
				descriptors -= min(max(descriptors/2, l.Peer.Open+32), descriptors*3/4)
			} else {
				descriptors = min(max(descriptors/2, s.driver.OpenDescriptors()+32), descriptors*3/4)
			}
		}
	}
	debug.SetMemoryLimit(memory)
	s.driver.SetDescriptors(descriptors)
}

// Message implements handover.Handler.
func (u *upgrade) Message(l *handover.Link, m handover.Message, fds []int) {
	loop := u.scheduler.loop
	switch m.Kind {
	case handover.KindOffline:
		if loop.DoUrgent(operationTimeout, func() { u.scheduler.setOffline(m.Worker, m.Away) }) {
			l.Send(handover.Message{Kind: handover.KindApplied, Number: m.Number})
		}
	case handover.KindApplied:
		u.mu.Lock()
		if done := u.acks[m.Number]; done != nil {
			delete(u.acks, m.Number)
			close(done)
		}
		u.mu.Unlock()
	case handover.KindStopping:
		u.mu.Lock()
		u.stopping[l] = true
		u.mu.Unlock()
	case handover.KindList:
		loop.DoUrgent(operationTimeout, func() {
			if err := u.scheduler.discovery.ApplyRelayed(m.Index, m.List); err != nil {
				slog.Warn("a worker list update of another process can't be read", "why", err)
			}
		})
	case handover.KindIdleClient:
		if len(fds) == 1 {
			fd := fds[0]
			fds = nil
			loop.Post(func() { u.scheduler.driver.Adopt(fd, u.scheduler.server.AdoptIdle) })
		}
	case handover.KindJob:
		handoverJob := new(jobs.HandoverJob)
		if err := json.Unmarshal(m.Job, handoverJob); err != nil || len(fds) == 0 {
			slog.Error("a job of another process can't be read", "why", err, "descriptors", len(fds))
			break
		}
		jobFDs := fds
		fds = nil
		loop.Post(func() { u.adopt(handoverJob, jobFDs) })
	default:
		slog.Warn("message of an unknown kind from another process", "kind", m.Kind)
	}
	for _, fd := range fds {
		unix.Close(fd)
	}
}

// adopt continues a job of another process. The first descriptor is the client's connection. The second, if present, is the
// connection of the attempt to its worker.
func (u *upgrade) adopt(handoverJob *jobs.HandoverJob, fds []int) {
	scheduler := u.scheduler
	service := scheduler.server.Main
	if handoverJob.Service != "" {
		if named := scheduler.services[handoverJob.Service]; named != nil {
			service = named.jobs
		}
	}
	closeWorker := func() {
		for _, fd := range fds[1:] {
			unix.Close(fd)
		}
	}
	scheduler.driver.Adopt(fds[0], func(c jobs.Conn) {
		if c == nil { // the client has disconnected, so the attempt ends too
			closeWorker()
			return
		}
		var worker jobs.Conn
		for _, t := range handoverJob.Job.Tried {
			if t.Out && len(fds) > 1 {
				worker = scheduler.driver.AdoptWorker(t.Addr, fds[1])
			}
		}
		scheduler.server.Adopt(service, handoverJob, c, worker)
	})
}

// propagateOffline takes a worker offline, or back online, in the other processes and saves the offline workers for later
// processes. A process that does not acknowledge in time hangs, so it sends nothing to the worker. It handles this message
// first when it continues.
func (u *upgrade) propagateOffline(worker string, offline bool) error {
	var pending []chan struct{}
	for _, l := range u.others() {
		n, done := u.number.Add(1), make(chan struct{})
		u.mu.Lock()
		u.acks[n] = done
		u.mu.Unlock()
		l.Send(handover.Message{Kind: handover.KindOffline, Number: n, Worker: worker, Away: offline})
		pending = append(pending, done)
		defer func() { u.mu.Lock(); delete(u.acks, n); u.mu.Unlock() }()
	}
	timeout := time.After(offlineTimeout)
	for _, done := range pending {
		select {
		case <-done:
		case <-timeout:
			slog.Warn("another process does not say that it has a worker out", "worker", worker, "out", offline)
			timeout = nil
		}
		if timeout == nil {
			break
		}
	}
	var names []string
	if !u.scheduler.loop.DoUrgent(offlineTimeout, func() { names = u.scheduler.offlineWorkers() }) {
		return nil // the change is in force, and the next call writes the file
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := handover.SaveOffline(u.dir, u.scheduler.config.Name, names); err != nil {
		return fmt.Errorf("the change is in force, but not saved for later processes: %w", err)
	}
	return nil
}

// relayList sends an update of the worker list to the other processes.
func (u *upgrade) relayList(index int64, list []byte) {
	for _, l := range u.others() {
		l.Send(handover.Message{Kind: handover.KindList, Index: index, List: list})
	}
}

// startHandover starts to hand connections over to the successor and reports whether there is one. It announces the stop to
// the other processes, because connections that they handed over to a stopping process would be lost.
func (s *scheduler) startHandover() bool {
	if s.upgrade == nil {
		return false
	}
	for _, l := range s.upgrade.others() {
		l.Send(handover.Message{Kind: handover.KindStopping})
	}
	if s.upgrade.successor() == nil {
		return false
	}
	s.driver.LeaveSharedListener()
	s.upgrade.handOver()
	return true
}

// handOver hands over all connections that can be and reschedules itself until none is left or handoverPeriod has passed.
func (u *upgrade) handOver() {
	scheduler := u.scheduler
	to := u.successor()
	if to == nil || time.Since(scheduler.stopping) > handoverPeriod { // continue as without a successor
		slog.Warn("connections left at the stop", "other_lives", to != nil, "peers", scheduler.server.Pace.Counts().Peers, "open", scheduler.openRequests(),
			"clients", u.clients, "jobs", u.jobs)
		scheduler.server.StartClosing()
		scheduler.continueStop()
		return
	}
	scheduler.driver.WithReadsPaused(func() {
		left := scheduler.server.HandOverIdle(func(c jobs.Conn) bool {
			ok := u.send(to, handover.Message{Kind: handover.KindIdleClient}, c)
			if ok {
				u.clients++
			}
			return ok
		})
		if time.Since(scheduler.stopping) > jobHandoverDelay {
			scheduler.server.HandOverJobs(u.sendJob(to))
			left = scheduler.server.Pace.Counts().Peers
		}
		if left == 0 && scheduler.openRequests() == 0 && scheduler.driver.Unsent() == 0 {
			slog.Info("all passed on", "clients", u.clients, "jobs", u.jobs, "again", u.failed, "took", time.Since(scheduler.stopping))
			scheduler.loop.After(flushDelay, scheduler.loop.Stop)
			return
		}
		scheduler.loop.After(handoverInterval, u.handOver)
	})
}

// sendJob returns a function that hands over a job with its client's connection and that of its attempt, if there is one.
func (u *upgrade) sendJob(to *handover.Link) func(*jobs.HandoverJob, jobs.Conn, jobs.Conn) bool {
	return func(handoverJob *jobs.HandoverJob, client, worker jobs.Conn) bool {
		text, err := json.Marshal(handoverJob)
		if err != nil {
			slog.Error("a job can't be handed over", "why", err)
			return false
		}
		conns := []jobs.Conn{client}
		if worker != nil {
			conns = append(conns, worker)
		}
		ok := u.send(to, handover.Message{Kind: handover.KindJob, Job: text}, conns...)
		if ok {
			u.jobs++
		}
		return ok
	}
}

// send sends a message with copies of the connections' descriptors, all or none. If the link can't send at once, it reports
// false and the connections stay in this process.
func (u *upgrade) send(to *handover.Link, m handover.Message, conns ...jobs.Conn) bool {
	var fds []int
	defer func() {
		for _, fd := range fds {
			unix.Close(fd)
		}
	}()
	for _, c := range conns {
		transferable, can := c.(jobs.Transferable)
		if !can {
			return false
		}
		fd, ok := transferable.DupFD()
		if !ok {
			return false
		}
		fds = append(fds, fd)
	}
	if err := to.SendFDs(m, fds...); err != nil {
		u.failed++
		return false
	}
	return true
}
