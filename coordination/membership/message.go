package membership

// State is what is known of a member's life.
type State uint8

// The states of a member. A suspect is known as such to its monitor only; alive and dead are told to others.
const (
	StateAlive State = iota
	StateSuspect
	StateDead
)

// Member is one process of the fleet.
type Member struct {
	Name    string
	Address string // where it takes messages, IP:PORT
}

// Notice tells the state of a member in one of its incarnations.
type Notice struct {
	Member      Member
	Incarnation uint64
	State       State
}

// overrides reports whether the notice n says something newer than m of the same member. Dead beats alive within one
// incarnation; only the member itself begins the next one.
func (n Notice) overrides(m Notice) bool {
	if n.Incarnation != m.Incarnation {
		return n.Incarnation > m.Incarnation
	}
	return n.State == StateDead && m.State != StateDead
}

// Message is what members send each other.
type Message struct {
	From        Member
	Incarnation uint64
	Ping        bool // an answer is asked for
	Notices     []Notice
}

// Envelope is a message on its way to a member.
type Envelope struct {
	To      Member
	Message Message
}
