package fleet

import (
	"encoding/json"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/hashicorp/memberlist"

	"weldscale/internal/evidence"
)

// This file exchanges evidence on workers over a Link: reports are broadcast by gossip, and each member forwards those that are
// new to it. Package evidence decides which workers are suspected, and the decision module which worker gets a job.

// Evidence holds one member's evidence on the workers of each service. Its methods are safe for concurrent use and do not wait
// for the network.
type Evidence struct {
	name, zone  string
	incarnation uint64
	config      evidence.Config
	link        func() *Link
	started     time.Time

	mu          sync.Mutex
	aggregators map[string]*evidence.Aggregator // by service
	lastTick    time.Duration                   // of any service
	malformed   int
	suspects    map[string][]string // by service, as of its last tick
}

// stallThreshold is the time between two ticks that counts as a stall of this process. Ticks normally come several times a
// second.
const stallThreshold = time.Second

// evidenceMark is the first byte of a message of evidence. Messages of budgets start with a brace.
const evidenceMark = 'E'

// evidenceMessage is the encoding of an evidence.Report. The sender's name is in the header of the message.
type evidenceMessage struct {
	Service string `json:"s"`
	Zone    string `json:"z,omitempty"`
	Worker  string `json:"w"`
	Life    uint64 `json:"l"`
	Seq     uint64 `json:"n"`
	AgeMS   int64  `json:"a"`
	Kind    int    `json:"k"`
}

// NewEvidence returns the evidence of the member with the given name, none at first, in a fleet of at most the given number of
// members. link is called whenever the link is needed, not before the first Tick.
func NewEvidence(name, zone string, incarnation uint64, members int, link func() *Link) *Evidence {
	return &Evidence{name: name, zone: zone, incarnation: incarnation, config: evidence.DefaultConfig(members),
		link: link, started: time.Now(), aggregators: map[string]*evidence.Aggregator{}, suspects: map[string][]string{}}
}

// aggregator returns the evidence of a service, and creates it if needed. The caller must hold the lock.
func (v *Evidence) aggregator(service string) *evidence.Aggregator {
	a := v.aggregators[service]
	if a == nil {
		a, _ = evidence.NewAggregator(v.config, v.name, v.zone, v.incarnation) // the default configuration is valid
		v.aggregators[service] = a
	}
	return a
}

// Record records the outcome of a job or a probe at a worker of a service.
func (v *Evidence) Record(service, worker string, k evidence.Kind) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.aggregator(service).Record(time.Since(v.started), worker, k)
}

// Tick broadcasts the reports of a service that are due, new ones and repeated ones, and returns the suspected workers. It must be called several times a
// second. knownWorkers is the number of workers of the service.
func (v *Evidence) Tick(service string, knownWorkers int) []string {
	link := v.link()
	zoneMembers := 0
	for _, m := range link.Members() {
		if m.Zone == v.zone {
			zoneMembers++
		}
	}
	v.mu.Lock()
	now := time.Since(v.started)
	if now-v.lastTick > stallThreshold { // after a stall, this comes before any use of the evidence
		for _, a := range v.aggregators {
			a.DiscardOwn()
		}
	}
	v.lastTick = now
	aggregator := v.aggregator(service)
	due := append(aggregator.DueReports(now), aggregator.RepeatedReports(now)...)
	suspects := aggregator.Suspects(now, knownWorkers, zoneMembers)
	v.suspects[service] = suspects
	v.mu.Unlock()
	for _, r := range due {
		text, _ := json.Marshal(evidenceMessage{service, r.Zone, r.Worker, r.Incarnation, r.Seq, r.Age.Milliseconds(), int(r.Kind)})
		link.Broadcast(service+"/"+r.Worker, append([]byte{evidenceMark}, text...))
	}
	return suspects
}

// ResendAll makes the next ticks broadcast all current reports once more, for a member that has joined since they were sent.
func (v *Evidence) ResendAll() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, a := range v.aggregators {
		a.ResendAll()
	}
}

// HandleMessage processes a message of a member if it contains evidence. It returns whether it does, and whether the message is
// new and should be forwarded.
func (v *Evidence) HandleMessage(from string, data []byte) (isEvidence, forward bool) {
	if len(data) == 0 || data[0] != evidenceMark {
		return false, false
	}
	var message evidenceMessage
	err := json.Unmarshal(data[1:], &message)
	v.mu.Lock()
	defer v.mu.Unlock()
	a := v.aggregators[message.Service]
	if err != nil || a == nil || len(message.Worker) > maxWorkerName || message.AgeMS < 0 || message.AgeMS > time.Hour.Milliseconds() {
		v.malformed++
		return true, false
	}
	r := evidence.Report{From: from, Zone: message.Zone, Worker: message.Worker, Incarnation: message.Life, Seq: message.Seq,
		Age: time.Duration(message.AgeMS) * time.Millisecond, Kind: evidence.Kind(message.Kind)}
	return true, a.Receive(time.Since(v.started), r)
}

// maxWorkerName bounds the name of a worker in a message, in bytes.
const maxWorkerName = 256

// Suspects returns the suspected workers as sorted service/worker names, and the number of messages that were malformed or
// exceeded a bound.
func (v *Evidence) Suspects() (names []string, malformed int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for service, suspects := range v.suspects {
		for _, w := range suspects {
			names = append(names, service+"/"+w)
		}
	}
	for _, a := range v.aggregators {
		malformed += a.Dropped
	}
	slices.Sort(names)
	return names, malformed + v.malformed
}

// gossip is a message that memberlist sends to a few other members at a time. It replaces a queued one with the same key.
type gossip struct {
	key  string
	data []byte
}

func (g *gossip) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*gossip)
	return ok && other.key == g.key
}
func (g *gossip) Name() string    { return g.key }
func (g *gossip) Message() []byte { return g.data }
func (g *gossip) Finished()       {}

// maxQueuedGossip bounds the queue of gossip. The oldest messages are dropped.
const maxQueuedGossip = 1024

// Broadcast sends a message to all members by gossip. It replaces a message of this member with the same key that is still
// queued. Messages that are too large are dropped.
func (l *Link) Broadcast(key string, data []byte) {
	if len(data) <= maxMessage {
		l.enqueue(l.config.Name+" "+key, l.withSender(data))
	}
}

// enqueue adds a message with its sender's name to the queue of gossip.
func (l *Link) enqueue(key string, b []byte) {
	l.gossip.QueueBroadcast(&gossip{key, b})
	l.gossip.Prune(maxQueuedGossip)
}

// forward queues a message of another member for gossip. The key is the same as at the sender, so that a newer report of that
// member on the same worker replaces it.
func (l *Link) forward(b []byte) {
	from, data := string(b[2:2+b[1]]), b[2+b[1]:]
	var message evidenceMessage
	if len(data) > 0 && json.Unmarshal(data[1:], &message) == nil {
		l.enqueue(strings.Join([]string{from, message.Service + "/" + message.Worker}, " "), slices.Clone(b))
	}
}
