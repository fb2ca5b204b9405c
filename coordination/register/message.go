package register

// Kind tells requests apart.
type Kind uint8

// Kinds of requests.
const (
	// Query asks for ballots, and for the accepted value if WantValue is set and it is newer than Known.
	Query Kind = iota + 1
	// Prepare asks for the promise to accept nothing below Ballot.
	Prepare
	// Accept asks to accept Value under Ballot.
	Accept
	// Commit tells that the value accepted under Ballot is chosen.
	Commit
	// FetchChosen asks for the newest value known to be chosen, if it is newer than Known. Whoever knows one answers, replica or not.
	FetchChosen
)

// Refusal is the reason for a refusal.
type Refusal uint8

// Reasons.
const (
	// NoRefusal is no refusal.
	NoRefusal Refusal = iota
	// Superseded says that a higher ballot was promised.
	Superseded
	// IdentityMismatch says that the message is meant for an identity that this process does not have.
	IdentityMismatch
	// Busy says that too many requests wait for the disk.
	Busy
	// DiskFull says that the disk has no room.
	DiskFull
	// DiskFailed says that the disk failed.
	DiskFailed
	// Unreachable stands for an answer that did not come. It is made by drivers.
	Unreachable
)

// Request is what one process asks of another.
type Request struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Kind      Kind
	To        string // identity that is meant; empty for Query and Learn means whoever is there
	From      Replica
	Ballot    Ballot
	Known     Ballot // the reply carries no value up to this ballot
	WantValue bool
	Value     *Value
}

// Reply answers a request.
type Reply struct {
	//lint:ignore U1000 msgpack reads its tag
	_msgpack struct{} `msgpack:",as_array"`

	Kind     Kind   // of the request
	Ballot   Ballot // of the request
	From     Replica
	Refusal  Refusal
	Promised Ballot
	Accepted Ballot // ballot of the accepted value; for Learn, of the chosen one
	Chosen   Ballot // highest ballot known to be chosen; zero if none
	Revision uint64 // of the accepted value
	Value    *Value // under Accepted
}

// Message is a request on its way to a replica.
type Message struct {
	To      Replica
	Request Request
}
