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

// This file spreads evidence on workers over a link: each report goes by the members' gossip, and each member passes on what
// is news to it. What it weighs is evidence's decision, and who gets a job the module's.

// Evidence is one member's books, one for each service. Its methods may be called from any goroutine and never wait.
type Evidence struct {
	name, zone string
	life       uint64
	c          evidence.Config
	link       func() *Link
	begun      time.Time

	mu    sync.Mutex
	books map[string]*evidence.Aggregator
	last  time.Duration // the latest round, of whichever service
	bad   int
	names map[string][]string // by service: whom the evidence speaks against, as last weighed
}

// stalled is how far apart two rounds are after a stall; they come several times a second.
const stalled = time.Second

// evidenceMark is the first byte of its messages; those of budgets begin with a brace.
const evidenceMark = 'E'

type evidenceMessage struct {
	Service string `json:"s"`
	Zone    string `json:"z,omitempty"`
	Worker  string `json:"w"`
	Life    uint64 `json:"l"`
	Seq     uint64 `json:"n"`
	AgeMS   int64  `json:"a"`
	Kind    int    `json:"k"`
}

// NewEvidence are no books yet. link is asked once messages go out.
func NewEvidence(name, zone string, life uint64, members int, link func() *Link) *Evidence {
	return &Evidence{name: name, zone: zone, life: life, c: evidence.DefaultConfig(members), link: link, begun: time.Now(),
		books: map[string]*evidence.Aggregator{}, names: map[string][]string{}}
}

func (v *Evidence) book(service string) *evidence.Aggregator {
	b := v.books[service]
	if b == nil {
		b, _ = evidence.NewAggregator(v.c, v.name, v.zone, v.life) // the usual ones are in order
		v.books[service] = b
	}
	return b
}

// Record takes in what became of a job, or of a probe, at a worker of a service.
func (v *Evidence) Record(service, worker string, k evidence.Kind) {
	v.mu.Lock()
	defer v.mu.Unlock()
	v.book(service).Record(time.Since(v.begun), worker, k)
}

// Tick says what is due and returns whom the evidence speaks against. It is called several times a second; known is how
// many workers the service has.
func (v *Evidence) Tick(service string, known int) []string {
	link := v.link()
	members := 0
	for _, m := range link.Members() {
		if m.Zone == v.zone {
			members++
		}
	}
	v.mu.Lock()
	now := time.Since(v.begun)
	if now-v.last > stalled { // the first act after a stall looks at the clock
		for _, b := range v.books {
			b.DiscardOwn()
		}
	}
	v.last = now
	b := v.book(service)
	due := b.DueReports(now)
	names := b.Suspects(now, known, members)
	v.names[service] = names
	v.mu.Unlock()
	for _, r := range due {
		text, _ := json.Marshal(evidenceMessage{service, r.Zone, r.Worker, r.Incarnation, r.Seq, r.Age.Milliseconds(), int(r.Kind)})
		link.Broadcast(service+"/"+r.Worker, append([]byte{evidenceMark}, text...))
	}
	return names
}

// ResendAll sends each standing report once more with the next rounds, for a member that has joined since.
func (v *Evidence) ResendAll() {
	v.mu.Lock()
	defer v.mu.Unlock()
	for _, b := range v.books {
		b.ResendAll()
	}
}

// HandleMessage takes in a message of a member if it is evidence, and reports whether it is and whether it is to be passed on.
func (v *Evidence) HandleMessage(from string, data []byte) (mine, news bool) {
	if len(data) == 0 || data[0] != evidenceMark {
		return false, false
	}
	var in evidenceMessage
	err := json.Unmarshal(data[1:], &in)
	v.mu.Lock()
	defer v.mu.Unlock()
	b := v.books[in.Service]
	if err != nil || b == nil || len(in.Worker) > maxWorker || in.AgeMS < 0 || in.AgeMS > time.Hour.Milliseconds() {
		v.bad++
		return true, false
	}
	r := evidence.Report{From: from, Zone: in.Zone, Worker: in.Worker, Incarnation: in.Life, Seq: in.Seq,
		Age: time.Duration(in.AgeMS) * time.Millisecond, Kind: evidence.Kind(in.Kind)}
	return true, b.Receive(time.Since(v.begun), r)
}

const maxWorker = 256

// Suspects names the workers that the evidence speaks against, as service/worker, and counts the messages without sense.
func (v *Evidence) Suspects() (names []string, bad int) {
	v.mu.Lock()
	defer v.mu.Unlock()
	for service, list := range v.names {
		for _, w := range list {
			names = append(names, service+"/"+w)
		}
	}
	for _, b := range v.books {
		bad += b.Dropped
	}
	slices.Sort(names)
	return names, bad + v.bad
}

// gossip is a message that memberlist passes to a few others at a time. A later one of the same member and key takes its place.
type gossip struct {
	key string
	b   []byte
}

func (g *gossip) Invalidates(o memberlist.Broadcast) bool {
	other, ok := o.(*gossip)
	return ok && other.key == g.key
}
func (g *gossip) Name() string    { return g.key }
func (g *gossip) Message() []byte { return g.b }
func (g *gossip) Finished()       {}

// mostGossip bounds the messages that wait to be passed on; the oldest go.
const mostGossip = 1024

// Broadcast tells all members something, by and by; a later message of that key takes the place of one that is still on its way
// out of here.
func (l *Link) Broadcast(key string, data []byte) {
	if len(data) <= maxMessage {
		l.pass(l.c.Name+" "+key, l.headed(data))
	}
}

func (l *Link) pass(key string, b []byte) {
	l.gossip.QueueBroadcast(&gossip{key, b})
	l.gossip.Prune(mostGossip)
}

// passOn hands on a message of another member, which was news here.
func (l *Link) passOn(b []byte) {
	// The key is that of the sender's own: who and what, without the figures.
	from, data := string(b[2:2+b[1]]), b[2+b[1]:]
	var in evidenceMessage
	if len(data) > 0 && json.Unmarshal(data[1:], &in) == nil {
		l.pass(strings.Join([]string{from, in.Service + "/" + in.Worker}, " "), slices.Clone(b))
	}
}
