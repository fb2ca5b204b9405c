package register

// Kind is the kind of a request.
type Kind uint8

// Kinds of requests.
const (
	// Query asks for the ballots of a replica, and for its accepted value if WantValue is set and the value is newer than Known.
	Query Kind = iota + 1
	// Prepare asks for a promise to accept no ballot below Ballot.
	Prepare
	// Accept asks to accept Value under Ballot.
	Accept
	// Commit announces that the value accepted under Ballot is chosen.
	Commit
	// FetchChosen asks for the newest value known to be chosen, if it is newer than Known. Any process that knows one returns
	// it, whether it is a replica or not.
	FetchChosen
)

// Refusal is the reason why a request was refused.
type Refusal uint8

// Reasons for a refusal.
const (
	// NoRefusal means that the request was granted.
	NoRefusal Refusal = iota
	// Superseded means that a higher ballot was promised.
	Superseded
	// IdentityMismatch means that the request names an identity that the process does not have.
	IdentityMismatch
	// Busy means that another write is open, that too many requests wait for the disk, or that the wait was too long.
	Busy
	// DiskFull means that the disk has no space left.
	DiskFull
	// DiskFailed means that the disk returned another error.
	DiskFailed
	// Unreachable means that no reply arrived. Drivers create it.
	Unreachable
)

// Request is a request from one process to another.
type Request struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Kind      Kind
	To        string // identity of the recipient; may be empty for Query and FetchChosen, which then address any process
	From      Replica
	Ballot    Ballot
	Known     Ballot // the reply carries a value only if its ballot is above this one
	WantValue bool
	Value     *Value
}

// Reply is the reply to a request.
type Reply struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Kind     Kind   // kind of the request
	Ballot   Ballot // ballot of the request
	From     Replica
	Refusal  Refusal
	Promised Ballot
	Accepted Ballot // ballot of the accepted value; for FetchChosen, of the chosen value
	Chosen   Ballot // highest ballot known to be chosen; zero if none
	Revision uint64 // revision of the accepted value; for FetchChosen, of the chosen value
	Value    *Value // value under the ballot Accepted; may be nil
}

// Message is a request with the replica that it is sent to.
type Message struct {
	To      Replica
	Request Request
}
