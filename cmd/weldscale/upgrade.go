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

// This file owns what two processes of this scheduler do for one another while one takes the other's place. It is at work
// only where the platform passes the clients' listening socket. It must never end a connection that the other could take,
// nor keep the stop waiting for the other.

const (
	passEvery = 20 * time.Millisecond
	// jobsFrom is how long after the signal jobs in hand are answered where they are; those that are left then are passed
	// on, since a job of many seconds would be cut off.
	jobsFrom = 1500 * time.Millisecond
	// passFor is how long after the signal a stopping process goes on passing connections; what is left then ends as
	// it does where no other process is there.
	passFor  = 3300 * time.Millisecond
	bindWait = 200 * time.Millisecond // for another process to have a worker out too
)

// upgrade is the links to the other processes. The loop owns it but for waiting.
type upgrade struct {
	s     *scheduler
	dir   string
	node  *handover.Node
	began int64
	links []*handover.Link
	ends  map[*handover.Link]bool // that have said so

	number  atomic.Uint64
	mu      sync.Mutex
	waiting map[uint64]chan struct{} // for others' word that a worker is out

	clients, jobs, failed int // connections passed on, with a job in hand, and that the other did not take at once
}

// joinOthers takes this process's place among those of the scheduler, and takes over what the eldest knows.
func (s *scheduler) joinOthers() error {
	u := &upgrade{s: s, dir: os.TempDir(), began: time.Now().UnixMicro(), waiting: map[uint64]chan struct{}{},
		ends: map[*handover.Link]bool{}}
	if err := s.driver.EnableHandover(); err != nil {
		return err
	}
	out, err := handover.LoadOffline(u.dir, s.c.Name)
	if err != nil {
		slog.Warn("workers taken out earlier can't be read: none are out", "why", err)
	}
	s.up = u
	if u.node, err = handover.Open(u.dir, s.c.Name, u); err != nil {
		return err
	}
	slog.SetDefault(slog.Default().With("process", u.node.Process)) // two may write to one log
	// Nothing else runs yet but what waits for the loop.
	if elder := u.elder(); elder != nil {
		out = elder.Out
		if err := s.discovery.LoadKnown(elder.List); err != nil {
			slog.Warn("the other process's list can't be read", "why", err)
		}
		var l engine.LearnedState
		if err := json.Unmarshal(elder.Learnt, &l); err != nil {
			slog.Warn("what the other process has learnt can't be read", "why", err)
		}
		s.e.RestoreLearned(l)
		slog.Info("beside another process", "other", elder.Process, "out", out, "list", s.discovery.Index())
	}
	s.restore(out)
	return nil
}

// elder is the process that has been there longest, of those that we linked to at our start.
func (u *upgrade) elder() *handover.Hello {
	u.mu.Lock()
	defer u.mu.Unlock()
	var eldest *handover.Hello
	for _, l := range u.links {
		if eldest == nil || l.Peer.Started < eldest.Started {
			eldest = &l.Peer
		}
	}
	return eldest
}

// Hello implements handover.Handler.
func (u *upgrade) Hello() handover.Hello {
	h := handover.Hello{Started: u.began}
	u.s.loop.DoUrgent(callWait, func() {
		var err error
		if h.Learnt, err = json.Marshal(u.s.e.LearnedState()); err != nil {
			slog.Warn("what was learnt can't be passed on", "why", err)
			h.Learnt = json.RawMessage("{}")
		}
		h.Open, h.Out, h.List = u.s.driver.OpenDescriptors(), u.s.out(), u.s.overlay.Snapshot(u.s.discovery.Index())
	})
	return h
}

// LinkUp implements handover.Handler.
func (u *upgrade) LinkUp(l *handover.Link) {
	u.mu.Lock()
	u.links = append(u.links, l)
	u.mu.Unlock()
	go u.s.loop.Post(u.s.shareLimits)
}

// LinkDown implements handover.Handler.
func (u *upgrade) LinkDown(l *handover.Link) {
	u.mu.Lock()
	u.links = slices.DeleteFunc(u.links, func(m *handover.Link) bool { return m == l })
	delete(u.ends, l)
	u.mu.Unlock()
	u.s.loop.Post(u.s.shareLimits)
}

func (u *upgrade) others() []*handover.Link {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.links)
}

// successor is the youngest process that started after us and does not end itself.
func (u *upgrade) successor() *handover.Link {
	u.mu.Lock()
	defer u.mu.Unlock()
	var youngest *handover.Link
	for _, l := range u.links {
		if l.Peer.Started > u.began && !u.ends[l] && (youngest == nil || l.Peer.Started > youngest.Peer.Started) {
			youngest = l
		}
	}
	return youngest
}

// shareLimits puts this process's part of the memory and the descriptors in force: half of them while another lives, or
// what it has open, if that is more; the whole otherwise.
func (s *scheduler) shareLimits() {
	memory, descriptors := int64(s.c.Limits.MemoryMB)<<20*6/10, s.c.Limits.Sockets
	if s.up != nil {
		for _, l := range s.up.others() {
			memory /= 2
			if l.Peer.Started < s.up.began { // the elder keeps what it has
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
	loop := u.s.loop
	switch m.Kind {
	case handover.KindOffline:
		if loop.DoUrgent(callWait, func() { u.s.setOut(m.Worker, m.Away) }) {
			l.Send(handover.Message{Kind: handover.KindApplied, Number: m.Number})
		}
	case handover.KindApplied:
		u.mu.Lock()
		if done := u.waiting[m.Number]; done != nil {
			delete(u.waiting, m.Number)
			close(done)
		}
		u.mu.Unlock()
	case handover.KindStopping:
		u.mu.Lock()
		u.ends[l] = true
		u.mu.Unlock()
	case handover.KindList:
		loop.DoUrgent(callWait, func() {
			if err := u.s.discovery.ApplyRelayed(m.Index, m.List); err != nil {
				slog.Warn("another process's news can't be read", "why", err)
			}
		})
	case handover.KindIdleClient:
		if len(fds) == 1 {
			fd := fds[0]
			fds = nil
			loop.Post(func() { u.s.driver.Adopt(fd, u.s.server.AdoptIdle) })
		}
	case handover.KindJob:
		p := new(jobs.HandoverJob)
		if err := json.Unmarshal(m.Job, p); err != nil || len(fds) == 0 {
			slog.Error("another process's job can't be read", "why", err, "descriptors", len(fds))
			break
		}
		got := fds
		fds = nil
		loop.Post(func() { u.adopt(p, got) })
	default:
		slog.Warn("another process says what this one does not know", "kind", m.Kind)
	}
	for _, fd := range fds {
		unix.Close(fd)
	}
}

// adopt goes on with a job of another process: the client's connection comes first, a worker's second.
func (u *upgrade) adopt(p *jobs.HandoverJob, fds []int) {
	s := u.s
	v := s.server.Main
	if p.Service != "" {
		if named := s.services[p.Service]; named != nil {
			v = named.jobs
		}
	}
	closeWorker := func() {
		for _, fd := range fds[1:] {
			unix.Close(fd)
		}
	}
	s.driver.Adopt(fds[0], func(c jobs.Conn) {
		if c == nil { // the client has gone: so does the attempt
			closeWorker()
			return
		}
		var worker jobs.Conn
		for _, t := range p.Job.Tried {
			if t.Out && len(fds) > 1 {
				worker = s.driver.AdoptWorker(t.Addr, fds[1])
			}
		}
		s.server.Adopt(v, p, c, worker)
	})
}

// bind has a worker out, or back, in the other processes too, and keeps it for those to come. A process that does not
// answer hangs and sends nothing; it hears of this before anything else once it goes on.
func (u *upgrade) bind(worker string, out bool) error {
	var all []chan struct{}
	for _, l := range u.others() {
		n, done := u.number.Add(1), make(chan struct{})
		u.mu.Lock()
		u.waiting[n] = done
		u.mu.Unlock()
		l.Send(handover.Message{Kind: handover.KindOffline, Number: n, Worker: worker, Away: out})
		all = append(all, done)
		defer func() { u.mu.Lock(); delete(u.waiting, n); u.mu.Unlock() }()
	}
	late := time.After(bindWait)
	for _, done := range all {
		select {
		case <-done:
		case <-late:
			slog.Warn("another process does not say that it has a worker out", "worker", worker, "out", out)
			late = nil
		}
		if late == nil {
			break
		}
	}
	var names []string
	if !u.s.loop.DoUrgent(bindWait, func() { names = u.s.out() }) {
		return nil // the call is in force; the file follows with the next one
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	if err := handover.SaveOffline(u.dir, u.s.c.Name, names); err != nil {
		return fmt.Errorf("taken out, but not kept for another process: %w", err)
	}
	return nil
}

// tell passes on news of the worker list.
func (u *upgrade) tell(index int64, list []byte) {
	for _, l := range u.others() {
		l.Send(handover.Message{Kind: handover.KindList, Index: index, List: list})
	}
}

// passOn begins to pass connections on to the process that takes our place, and reports whether there is one. No other is to
// pass any to us: what came as we end would be lost.
func (s *scheduler) passOn() bool {
	if s.up == nil {
		return false
	}
	for _, l := range s.up.others() {
		l.Send(handover.Message{Kind: handover.KindStopping})
	}
	if s.up.successor() == nil {
		return false
	}
	s.driver.LeaveSharedListener()
	s.up.pass()
	return true
}

// pass gives away what can be given, again and again until nothing is left or there is no time.
func (u *upgrade) pass() {
	s := u.s
	to := u.successor()
	if to == nil || time.Since(s.stopping) > passFor { // as where there never was one
		slog.Warn("connections left at the stop", "other_lives", to != nil, "peers", s.server.Pace.Counts().Peers, "open", s.inHand(),
			"clients", u.clients, "jobs", u.jobs)
		s.server.StartClosing()
		s.stopped()
		return
	}
	s.driver.WithReadsPaused(func() {
		left := s.server.HandOverIdle(func(c jobs.Conn) bool {
			ok := u.give(to, handover.Message{Kind: handover.KindIdleClient}, c)
			if ok {
				u.clients++
			}
			return ok
		})
		if time.Since(s.stopping) > jobsFrom {
			s.server.HandOverJobs(u.giveJob(to))
			left = s.server.Pace.Counts().Peers
		}
		if left == 0 && s.inHand() == 0 && s.driver.Unsent() == 0 {
			slog.Info("all passed on", "clients", u.clients, "jobs", u.jobs, "again", u.failed, "took", time.Since(s.stopping))
			s.loop.After(lastWords, s.loop.Stop)
			return
		}
		s.loop.After(passEvery, u.pass)
	})
}

// giveJob passes a client's connection with its job, and the attempt's.
func (u *upgrade) giveJob(to *handover.Link) func(*jobs.HandoverJob, jobs.Conn, jobs.Conn) bool {
	return func(p *jobs.HandoverJob, client, worker jobs.Conn) bool {
		text, err := json.Marshal(p)
		if err != nil {
			slog.Error("a job can't be passed on", "why", err)
			return false
		}
		conns := []jobs.Conn{client}
		if worker != nil {
			conns = append(conns, worker)
		}
		ok := u.give(to, handover.Message{Kind: handover.KindJob, Job: text}, conns...)
		if ok {
			u.jobs++
		}
		return ok
	}
}

// give passes connections, all or none. Those that the other does not take at once stay ours.
func (u *upgrade) give(to *handover.Link, m handover.Message, conns ...jobs.Conn) bool {
	var fds []int
	defer func() {
		for _, fd := range fds {
			unix.Close(fd)
		}
	}()
	for _, c := range conns {
		p, can := c.(jobs.Transferable)
		if !can {
			return false
		}
		fd, ok := p.DupFD()
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
