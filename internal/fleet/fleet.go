// Package fleet is the link between the schedulers of one fleet: who is a member, and small messages between members. It
// owns those sockets (UDP and TCP on one address, under memberlist) and bounds what goes through them. It must never decide anything,
// nor have a member's word name a worker; what a message means is its taker's matter. Without a fleet block none of it
// exists.
package fleet

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/memberlist"
	"golang.org/x/time/rate"
)

// Config is a member's place in its fleet.
type Config struct {
	// Fleet names the fleet: members of another one are never let in.
	Fleet string
	// Name is the member's own, the same after a restart.
	Name string
	// Incarnation tells one start of that name from another.
	Incarnation uint64
	Zone        string
	// Bind is the address and port for both UDP and TCP, and the one that others reach it by.
	Bind string
	// Relay is a relay that everything goes by, as rehearsals of faults want it; "": straight.
	Relay string
	// Join are addresses of members; any living one will do.
	Join []string
	// Key encrypts what is said: 16, 24 or 32 bytes, or none.
	Key []byte
	// MaxMembers is how many there may be at most.
	MaxMembers int
	// OnMessage is given each message of a member, on one of several goroutines, and reports whether one that came by gossip is
	// to be passed on. It must not keep data.
	OnMessage func(from string, data []byte) (passOn bool)
	// OnJoin, if set, is called as a member is found to be alive. It must neither wait nor ask the link anything.
	OnJoin func()
}

// Bounds on what comes in.
const (
	maxName     = 64
	maxMessage  = 1200 // fits a datagram with all that goes around it
	messageRate = 60   // a second from one member
	messageOnce = 120  // at once
	rejoinEvery = 2 * time.Second
	leaveFor    = time.Second
	version     = 1
	// bytesBase and bytesEach are the datagrams that are borne each way, in bytes a second: of the list's own talk, and for
	// each member, whose asks and answers come to a keeper twice a second.
	bytesBase, bytesEach = 64 << 10, 4 << 10
	// gossipEvery is how often what is to be passed on goes out, to three members; where there is nothing nothing goes. Some
	// four of these bring news to a hundred.
	gossipEvery = 50 * time.Millisecond
)

// Member is a member as this one sees it.
type Member struct {
	Name, Zone, Address string
	Incarnation         uint64
	LastMessageAge      time.Duration // ago; 0 for oneself and one that has said nothing
}

// Counts is what went in and out.
type Counts struct{ Sent, Received, Malformed, OverLimit, UnknownSender int }

// Link is one member's part in the fleet.
type Link struct {
	c    Config
	list atomic.Pointer[memberlist.Memberlist] // nil until it is made: it takes messages before that
	wire *transport
	// gossip is what this member passes to others, a few at a time.
	gossip memberlist.TransmitLimitedQueue
	stop   chan struct{}
	done   sync.WaitGroup

	mu      sync.Mutex
	counts  Counts
	senders map[string]*sender
}

type sender struct {
	limit *rate.Limiter
	heard time.Time
}

type meta struct {
	Zone string `json:"zone"`
	Life uint64 `json:"life"`
}

// Start binds and joins. That no other member answers is no fault: it goes on trying.
func Start(c Config) (*Link, error) {
	if c.Name == "" || len(c.Name) > maxName || c.Fleet == "" || c.MaxMembers < 1 {
		return nil, fmt.Errorf("fleet: name, fleet or members missing or out of range")
	}
	l := &Link{c: c, stop: make(chan struct{}), senders: map[string]*sender{}}
	l.gossip.RetransmitMult = 2
	l.gossip.NumNodes = func() int {
		if list := l.list.Load(); list != nil {
			return list.NumMembers()
		}
		return 1
	}
	var err error
	if l.wire, err = listen(c.Bind, c.Relay, bytesBase+bytesEach*c.MaxMembers); err != nil {
		return nil, fmt.Errorf("fleet: bind %q: %w", c.Bind, err)
	}
	m := memberlist.DefaultLANConfig()
	m.Name, m.Label, m.Transport = c.Name, c.Fleet, l.wire
	m.GossipInterval = gossipEvery
	m.SecretKey = c.Key
	m.Delegate, m.Events, m.Conflict = delegate{l}, events{l}, nil
	m.Logger = log.New(io.Discard, "", 0) // what matters is counted, and told by Members
	m.DeadNodeReclaimTime = time.Second   // a restart may come back on another address
	list, err := memberlist.Create(m)
	if err != nil {
		l.wire.Shutdown()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	l.list.Store(list)
	l.done.Go(l.rejoin)
	return l, nil
}

// rejoin keeps asking the addresses that stand for nobody alive: at the start, after a split, after a restart of all.
func (l *Link) rejoin() {
	for {
		known := map[string]bool{l.c.Bind: true}
		for _, m := range l.list.Load().Members() {
			known[m.Address()] = true
		}
		for _, addr := range l.c.Join {
			if !known[addr] {
				l.list.Load().Join([]string{addr}) // it is tried again if nobody answers
			}
		}
		select {
		case <-l.stop:
			return
		case <-time.After(rejoinEvery):
		}
	}
}

// Stop leaves the fleet, so that others need not find out.
func (l *Link) Stop() {
	close(l.stop)
	l.done.Wait()
	l.list.Load().Leave(leaveFor)
	l.list.Load().Shutdown()
}

// Send tells a member something, if it is one; whether it arrives is not known. Oneself is told at once.
func (l *Link) Send(to string, data []byte) error {
	if len(data) > maxMessage {
		return fmt.Errorf("fleet: a message of %d bytes; allowed are %d", len(data), maxMessage)
	}
	if to == l.c.Name {
		l.c.OnMessage(to, data)
		return nil
	}
	for _, m := range l.list.Load().Members() {
		if m.Name == to {
			l.mu.Lock()
			l.counts.Sent++
			l.mu.Unlock()
			return l.list.Load().SendBestEffort(m, l.headed(data))
		}
	}
	return fmt.Errorf("fleet: no member %q", to)
}

// headed is a message with its sender's name.
func (l *Link) headed(data []byte) []byte {
	head := append([]byte{version, byte(len(l.c.Name))}, l.c.Name...)
	return append(head, data...)
}

// Members are all that are alive as far as this one knows, by name.
func (l *Link) Members() (out []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.list.Load().Members() {
		var v meta
		json.Unmarshal(m.Meta, &v) // one that says nothing of itself has neither
		member := Member{Name: m.Name, Zone: v.Zone, Address: m.Address(), Incarnation: v.Life}
		if s := l.senders[m.Name]; s != nil {
			member.LastMessageAge = time.Since(s.heard)
		}
		out = append(out, member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Counts are the figures so far.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Traffic is what went through the sockets so far.
func (l *Link) Traffic() Traffic { return l.wire.Wire() }

// sender names who sent a message, if it may be taken.
func (l *Link) sender(b []byte) (from string, data []byte, ok bool) {
	if len(b) < 2 || b[0] != version || len(b) < 2+int(b[1]) || b[1] == 0 || int(b[1]) > maxName || len(b) > 2+maxName+maxMessage {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.counts.Malformed++
		return "", nil, false
	}
	from, data = string(b[2:2+b[1]]), b[2+b[1]:]
	list := l.list.Load()
	member := list != nil && slices.ContainsFunc(list.Members(), func(m *memberlist.Node) bool { return m.Name == from })
	l.mu.Lock()
	defer l.mu.Unlock()
	if !member {
		l.counts.UnknownSender++
		return "", nil, false
	}
	s := l.senders[from]
	if s == nil {
		if len(l.senders) >= l.c.MaxMembers {
			for name, old := range l.senders { // who has been silent for long may come back as new
				if time.Since(old.heard) > time.Minute {
					delete(l.senders, name)
				}
			}
		}
		if len(l.senders) >= l.c.MaxMembers {
			l.counts.OverLimit++
			return "", nil, false
		}
		s = &sender{limit: rate.NewLimiter(messageRate, messageOnce)}
		l.senders[from] = s
	}
	s.heard = time.Now()
	if !s.limit.Allow() {
		l.counts.OverLimit++
		return "", nil, false
	}
	l.counts.Received++
	return from, data, true
}

// delegate is what memberlist asks for.
type delegate struct{ l *Link }

func (d delegate) NodeMeta(limit int) []byte {
	b, _ := json.Marshal(meta{d.l.c.Zone, d.l.c.Incarnation})
	if len(b) > limit {
		return nil
	}
	return b
}

func (d delegate) NotifyMsg(b []byte) {
	if from, data, ok := d.l.sender(b); ok && d.l.c.OnMessage(from, data) {
		d.l.passOn(b)
	}
}

func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.l.gossip.GetBroadcasts(overhead, limit)
}

// LocalState is empty: nothing here is exchanged whole.
func (delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState takes nothing.
func (delegate) MergeRemoteState([]byte, bool) {}

// events is told by memberlist who comes and goes.
type events struct{ l *Link }

func (e events) NotifyJoin(member *memberlist.Node) {
	if e.l.c.OnJoin != nil && member.Name != e.l.c.Name {
		e.l.c.OnJoin()
	}
}

func (events) NotifyLeave(*memberlist.Node)  {}
func (events) NotifyUpdate(*memberlist.Node) {}
