// Package mgmt implements the HTTP API of a scheduler's management address: the parsing of requests from bytes, the
// responses, and the counters as JSON. It does no I/O, reads no clock and does not access the event loop's state: a Control
// executes the requests.
package mgmt

import (
	"encoding/json"
	"errors"
	"net/url"
	"strings"

	"weldscale/internal/http1"
)

// Kind is the operation of a request.
type Kind uint8

// The operations.
const (
	Ready    Kind = iota // GET /control/ready
	Counters             // GET /control/counters
	Offline              // POST /control/workers/ID/offline
	Online               // POST /control/workers/ID/online
)

// Request is a parsed request.
type Request struct {
	Kind   Kind
	Worker string // the worker's name, for Offline and Online
}

// Figures holds a scheduler's counters since its start and its current state. Operators' tools read the JSON names.
type Figures struct {
	Served          map[string]int `json:"served"`  // jobs, by class
	Refused         map[string]int `json:"refused"` // jobs, by class
	Failed          map[string]int `json:"failed"`  // jobs, by class
	Attempts        int            `json:"attempts"`
	InFlight        int            `json:"in_flight"`
	WorkersKnown    int            `json:"workers_known"`
	WorkersExcluded int            `json:"workers_excluded"`
}

// Errors that a Control returns.
var (
	// ErrUnknownWorker means that no worker has the given name.
	ErrUnknownWorker = errors.New("no such worker")
	// ErrTimeout means that the operation was not executed because the scheduler was busy for too long.
	ErrTimeout = errors.New("not done: the scheduler did not get to it in time")
)

// Control executes requests. Its methods may block for less than a second.
type Control interface {
	Ready() (bool, error)
	Figures() (Figures, error)
	// SetOffline sets a worker offline or online. If it returns nil, the change is in effect.
	SetOffline(worker string, offline bool) error
}

// maxBody is the maximum size of a request body in bytes. No operation needs a body.
const maxBody = 4 << 10

// Call parses the single request of a connection.
type Call struct {
	parser       *http1.Parser
	bodyTooLarge bool
}

// NewCall returns a Call that has received no bytes.
func NewCall() *Call {
	c := &Call{parser: http1.NewRequestParser()}
	size := 0
	c.parser.OnBody = func(b []byte) { size += len(b); c.bodyTooLarge = c.bodyTooLarge || size > maxBody }
	return c
}

// Feed parses the next bytes of the connection, in pieces of any size. It returns the request once it is complete, an encoded
// error response if it is invalid, or neither if more bytes are needed.
func (c *Call) Feed(b []byte) (request *Request, answer []byte) {
	_, complete, err := c.parser.Feed(b)
	var parseErr *http1.Error
	switch {
	case errors.As(err, &parseErr):
		return nil, Answer(parseErr.Status, parseErr.Reason)
	case err != nil:
		return nil, Answer(400, err.Error())
	case c.bodyTooLarge:
		return nil, Answer(413, "too long")
	case !complete:
		return nil, nil
	}
	request, errorReply := ParseRequest(c.parser.Msg.Method, c.parser.Msg.Target)
	if request == nil {
		return nil, Answer(errorReply.Status, errorReply.Text)
	}
	return request, nil
}

// Reply is the response to a request.
type Reply struct {
	Status int
	Text   string // the body: one line of text, or JSON
	JSON   bool
}

// ParseRequest parses a method and a request target. It returns a nil request and an error reply if they are invalid.
func ParseRequest(method, target string) (*Request, Reply) {
	path, _, _ := strings.Cut(target, "?")
	r, allowed := &Request{}, "GET"
	switch path {
	case "/control/ready":
	case "/control/counters":
		r.Kind = Counters
	default:
		rest, ok := strings.CutPrefix(path, "/control/workers/")
		id, verb, cut := strings.Cut(rest, "/")
		kinds := map[string]Kind{"offline": Offline, "online": Online}
		kind, known := kinds[verb]
		name, err := url.PathUnescape(id)
		if !ok || !cut || !known || name == "" || err != nil {
			return nil, Reply{Status: 404, Text: "unknown path"}
		}
		r.Kind, r.Worker, allowed = kind, name, "POST"
	}
	if method != allowed {
		return nil, Reply{Status: 405, Text: "only " + allowed + " here"}
	}
	return r, Reply{}
}

// Do executes the request on a Control and returns the reply.
func (r *Request) Do(c Control) Reply {
	switch r.Kind {
	case Ready:
		ready, err := c.Ready()
		if err == nil && !ready {
			return Reply{Status: 503, Text: "not ready"}
		}
		return reply(err, "ready")
	case Counters:
		f, err := c.Figures()
		if err != nil {
			return reply(err, "")
		}
		text, err := json.Marshal(f)
		if err != nil {
			return Reply{Status: 500, Text: err.Error()}
		}
		return Reply{Status: 200, Text: string(text), JSON: true}
	}
	return reply(c.SetOffline(r.Worker, r.Kind == Offline), "done")
}

// reply returns the reply for the result of a Control's method.
func reply(err error, success string) Reply {
	switch {
	case err == nil:
		return Reply{Status: 200, Text: success}
	case errors.Is(err, ErrUnknownWorker):
		return Reply{Status: 404, Text: err.Error()}
	}
	return Reply{Status: 503, Text: err.Error()}
}

// Bytes returns the encoded HTTP response, which closes the connection.
func (r Reply) Bytes() []byte {
	contentType := "text/plain"
	if r.JSON {
		contentType = "application/json"
	}
	return http1.AppendResponse(nil, r.Status, false, []byte(r.Text+"\n"), http1.Field{Name: "Content-Type", Value: contentType})
}

// Answer returns an encoded response with one line of text.
func Answer(status int, text string) []byte { return Reply{Status: status, Text: text}.Bytes() }
