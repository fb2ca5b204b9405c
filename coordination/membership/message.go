package membership

// State is the state of a member in the view of another.
type State uint8

// The states of a member. Only the monitor of a suspect knows of the suspicion. Alive and dead are gossiped to others.
const (
	StateAlive State = iota
	StateSuspect
	StateDead
)

// Member is one process of the fleet.
type Member struct {
	Name    string
	Address string // where it receives datagrams, IP:PORT
}

// Notice is the state of a member in one of its incarnations.
type Notice struct {
	Member      Member
	Incarnation uint64
	State       State
}

// overrides reports whether the notice n is newer than the notice m about the same member. Dead overrides alive within one
// incarnation. Only the member itself starts the next incarnation.
func (n Notice) overrides(m Notice) bool {
	if n.Incarnation != m.Incarnation {
		return n.Incarnation > m.Incarnation
	}
	return n.State == StateDead && m.State != StateDead
}

// Message is a heartbeat, a probe or a reply, with the notices that are piggybacked on it.
type Message struct {
	From        Member
	Incarnation uint64
	Ping        bool // the sender requests a reply
	Notices     []Notice
}

// Envelope is a message and the member to send it to.
type Envelope struct {
	To      Member
	Message Message
}
