// Package fleet connects the schedulers of one fleet: it keeps the list of live members by gossip and carries small messages
// between them. It owns the sockets, UDP and TCP on one address below memberlist, and bounds the traffic. It must not decide
// anything, and must not let a message of a member name a worker to use: what the messages mean is up to packages share and
// evidence. It is used only if the scheduler's file has a fleet block.
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

// Config configures a member of a fleet.
type Config struct {
	// Fleet is the name of the fleet. Members of other fleets cannot join.
	Fleet string
	// Name is the name of this member. It stays the same after a restart.
	Name string
	// Incarnation differs for each start of the member.
	Incarnation uint64
	Zone        string
	// Bind is the address and port of both sockets. Other members use the same address.
	Bind string
	// Relay is the address of a relay for all traffic, which fault tests use. If it is "", members connect directly.
	Relay string
	// Join are addresses of members. One live member among them is enough to join.
	Join []string
	// Key encrypts the traffic. It has 16, 24 or 32 bytes, or none for no encryption.
	Key []byte
	// MaxMembers is the maximum number of members that run at once.
	MaxMembers int
	// OnMessage is called with each message of a member, from several goroutines, and returns whether a message that came by
	// gossip should be forwarded. It must not keep data.
	OnMessage func(from string, data []byte) (forward bool)
	// OnJoin, if set, is called when another member is found to be alive. It must neither wait nor call the link.
	OnJoin func()
}

const (
	maxName        = 64
	maxMessage     = 1200 // fits a datagram with all headers
	messageRate    = 60   // per second from one member
	messageBurst   = 120
	rejoinInterval = 2 * time.Second
	leaveTimeout   = time.Second
	version        = 1
	// baseByteRate and memberByteRate limit the datagrams in each direction, in bytes per second: baseByteRate for the traffic
	// of memberlist, and memberByteRate for each member, whose vote requests reach a voter twice a second.
	baseByteRate, memberByteRate = 64 << 10, 4 << 10
	// gossipInterval is how often queued gossip is sent, to three members. A message reaches a hundred members in about four
	// intervals. Nothing is sent if the queue is empty.
	gossipInterval = 50 * time.Millisecond
)

// Member is a member as this one knows it.
type Member struct {
	Name, Zone, Address string
	Incarnation         uint64
	LastMessageAge      time.Duration // 0 for this member and for one that has sent no message
}

// Counts are the numbers of messages by what became of them.
type Counts struct{ Sent, Received, Malformed, OverLimit, UnknownSender int }

// Link is a running member of a fleet. Its methods are safe for concurrent use.
type Link struct {
	config     Config
	list       atomic.Pointer[memberlist.Memberlist] // nil until Start has created it; messages may arrive before
	transport  *transport
	gossip     memberlist.TransmitLimitedQueue
	stop       chan struct{}
	goroutines sync.WaitGroup

	mu      sync.Mutex
	counts  Counts
	senders map[string]*sender
}

type sender struct {
	limit         *rate.Limiter
	lastMessageAt time.Time
}

// meta is what a member announces about itself by memberlist.
type meta struct {
	Zone string `json:"zone"`
	Life uint64 `json:"life"`
}

// Start binds the sockets and joins the fleet. It succeeds even if no other member replies; the link keeps trying to join.
func Start(c Config) (*Link, error) {
	if c.Name == "" || len(c.Name) > maxName || c.Fleet == "" || c.MaxMembers < 1 {
		return nil, fmt.Errorf("fleet: name, fleet or maximum number of members is missing or out of range")
	}
	link := &Link{config: c, stop: make(chan struct{}), senders: map[string]*sender{}}
	link.gossip.RetransmitMult = 2
	link.gossip.NumNodes = func() int {
		if list := link.list.Load(); list != nil {
			return list.NumMembers()
		}
		return 1
	}
	var err error
	if link.transport, err = listen(c.Bind, c.Relay, baseByteRate+memberByteRate*c.MaxMembers); err != nil {
		return nil, fmt.Errorf("fleet: bind %q: %w", c.Bind, err)
	}
	listConfig := memberlist.DefaultLANConfig()
	listConfig.Name, listConfig.Label, listConfig.Transport = c.Name, c.Fleet, link.transport
	listConfig.GossipInterval = gossipInterval
	listConfig.SecretKey = c.Key
	listConfig.Delegate, listConfig.Events, listConfig.Conflict = delegate{link}, events{link}, nil
	listConfig.Logger = log.New(io.Discard, "", 0) // Counts and Members show what operators need
	listConfig.DeadNodeReclaimTime = time.Second   // a restarted member may have another address
	list, err := memberlist.Create(listConfig)
	if err != nil {
		link.transport.Shutdown()
		return nil, fmt.Errorf("fleet: %w", err)
	}
	link.list.Store(list)
	link.goroutines.Go(link.rejoin)
	return link, nil
}

// rejoin tries to join the configured addresses that belong to no live member. This covers the first join, the end of a network
// partition and a restart of all members.
func (l *Link) rejoin() {
	for {
		known := map[string]bool{l.config.Bind: true}
		for _, m := range l.list.Load().Members() {
			known[m.Address()] = true
		}
		for _, addr := range l.config.Join {
			if !known[addr] {
				l.list.Load().Join([]string{addr}) // a failed join is tried again in the next interval
			}
		}
		select {
		case <-l.stop:
			return
		case <-time.After(rejoinInterval):
		}
	}
}

// Stop leaves the fleet and closes the sockets. It announces the departure, so that the other members need not detect it.
func (l *Link) Stop() {
	close(l.stop)
	l.goroutines.Wait()
	l.list.Load().Leave(leaveTimeout)
	l.list.Load().Shutdown()
}

// Send sends a message to a member. A nil error does not mean that the message arrives. Messages to this member itself are
// passed to OnMessage before Send returns.
func (l *Link) Send(to string, data []byte) error {
	if len(data) > maxMessage {
		return fmt.Errorf("fleet: message of %d bytes is larger than the maximum of %d", len(data), maxMessage)
	}
	if to == l.config.Name {
		l.config.OnMessage(to, data)
		return nil
	}
	for _, m := range l.list.Load().Members() {
		if m.Name == to {
			l.mu.Lock()
			l.counts.Sent++
			l.mu.Unlock()
			return l.list.Load().SendBestEffort(m, l.withSender(data))
		}
	}
	return fmt.Errorf("fleet: no member %q", to)
}

// withSender returns a message with a header that contains the version and the name of this member.
func (l *Link) withSender(data []byte) []byte {
	head := append([]byte{version, byte(len(l.config.Name))}, l.config.Name...)
	return append(head, data...)
}

// Members returns the members that this one considers alive, itself included, sorted by name.
func (l *Link) Members() (out []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, m := range l.list.Load().Members() {
		var announced meta
		json.Unmarshal(m.Meta, &announced) // without valid metadata, the zone and the incarnation are unknown
		member := Member{Name: m.Name, Zone: announced.Zone, Address: m.Address(), Incarnation: announced.Life}
		if s := l.senders[m.Name]; s != nil {
			member.LastMessageAge = time.Since(s.lastMessageAt)
		}
		out = append(out, member)
	}
	slices.SortFunc(out, func(a, b Member) int { return strings.Compare(a.Name, b.Name) })
	return out
}

// Counts returns the counts since the start.
func (l *Link) Counts() Counts {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.counts
}

// Traffic returns the traffic through the sockets since the start.
func (l *Link) Traffic() Traffic { return l.transport.Traffic() }

// acceptMessage splits a message into the name of its sender and its data, and reports whether it may be processed: it must be
// well-formed, its sender a member and the sender's rate within the limit.
func (l *Link) acceptMessage(b []byte) (from string, data []byte, ok bool) {
	if len(b) < 2 || b[0] != version || len(b) < 2+int(b[1]) || b[1] == 0 || int(b[1]) > maxName || len(b) > 2+maxName+maxMessage {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.counts.Malformed++
		return "", nil, false
	}
	from, data = string(b[2:2+b[1]]), b[2+b[1]:]
	list := l.list.Load()
	isMember := list != nil && slices.ContainsFunc(list.Members(), func(m *memberlist.Node) bool { return m.Name == from })
	l.mu.Lock()
	defer l.mu.Unlock()
	if !isMember {
		l.counts.UnknownSender++
		return "", nil, false
	}
	senderState := l.senders[from]
	if senderState == nil {
		if len(l.senders) >= l.config.MaxMembers {
			for name, old := range l.senders { // a sender that is removed here gets a new limiter with its next message
				if time.Since(old.lastMessageAt) > time.Minute {
					delete(l.senders, name)
				}
			}
		}
		if len(l.senders) >= l.config.MaxMembers {
			l.counts.OverLimit++
			return "", nil, false
		}
		senderState = &sender{limit: rate.NewLimiter(messageRate, messageBurst)}
		l.senders[from] = senderState
	}
	senderState.lastMessageAt = time.Now()
	if !senderState.limit.Allow() {
		l.counts.OverLimit++
		return "", nil, false
	}
	l.counts.Received++
	return from, data, true
}

// delegate implements memberlist.Delegate.
type delegate struct{ link *Link }

func (d delegate) NodeMeta(limit int) []byte {
	b, _ := json.Marshal(meta{d.link.config.Zone, d.link.config.Incarnation})
	if len(b) > limit {
		return nil
	}
	return b
}

func (d delegate) NotifyMsg(b []byte) {
	if from, data, ok := d.link.acceptMessage(b); ok && d.link.config.OnMessage(from, data) {
		d.link.forward(b)
	}
}

func (d delegate) GetBroadcasts(overhead, limit int) [][]byte {
	return d.link.gossip.GetBroadcasts(overhead, limit)
}

// LocalState returns nothing: members exchange no full state beyond the list of members.
func (delegate) LocalState(bool) []byte { return nil }

// MergeRemoteState ignores the state, because LocalState sends none.
func (delegate) MergeRemoteState([]byte, bool) {}

// events implements memberlist.EventDelegate.
type events struct{ link *Link }

func (e events) NotifyJoin(member *memberlist.Node) {
	if e.link.config.OnJoin != nil && member.Name != e.link.config.Name {
		e.link.config.OnJoin()
	}
}

func (events) NotifyLeave(*memberlist.Node)  {}
func (events) NotifyUpdate(*memberlist.Node) {}
