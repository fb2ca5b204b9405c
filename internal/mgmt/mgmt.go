// Package mgmt is the second address: the calls of those who operate a scheduler, as a state machine that is fed bytes,
// and the figures that they read, as JSON. It owns paths, methods, statuses and the form of the figures. It must never
// touch a socket, a clock or the loop's state: what a call asks for is done by a Control.
package mgmt

import (
	"encoding/json"
	"errors"
	"net/url"
	"strings"

	"weldscale/internal/http1"
)

// Kind is what a call asks for.
type Kind uint8

// The calls.
const (
	Ready    Kind = iota // GET /control/ready
	Counters             // GET /control/counters
	Offline              // POST /control/workers/ID/offline
	Online               // POST /control/workers/ID/online
)

// Request is one call.
type Request struct {
	Kind   Kind
	Worker string // of Offline and Online
}

// Figures are what a scheduler has done since its start, and how it stands. The JSON names are those that operators'
// tools read.
type Figures struct {
	Served          map[string]int `json:"served"`  // jobs, by class
	Refused         map[string]int `json:"refused"` // jobs, by class
	Failed          map[string]int `json:"failed"`  // jobs, by class
	Attempts        int            `json:"attempts"`
	InFlight        int            `json:"in_flight"`
	WorkersKnown    int            `json:"workers_known"`
	WorkersExcluded int            `json:"workers_excluded"`
}

// Errors of a Control.
var (
	// ErrUnknown says that there is no such worker.
	ErrUnknown = errors.New("no such worker")
	// ErrLate says that nothing was done, since the scheduler did not get to it in time.
	ErrLate = errors.New("not done: the scheduler did not get to it in time")
)

// Control does what calls ask for. Its methods may wait, for less than a second.
type Control interface {
	Ready() (bool, error)
	Figures() (Figures, error)
	// SetOut takes a worker out or puts it back. Without an error it is in force.
	SetOut(worker string, out bool) error
}

// maxBody is how much a call may bring with it; no call needs any.
const maxBody = 4 << 10

// Call is one call on one connection.
type Call struct {
	parser *http1.Parser
	over   bool
}

// NewCall returns a call of which nothing has come.
func NewCall() *Call {
	c := &Call{parser: http1.NewRequestParser()}
	n := 0
	c.parser.OnBody = func(b []byte) { n += len(b); c.over = c.over || n > maxBody }
	return c
}

// Feed takes in bytes, in pieces of any size. Once the call is whole it returns what is asked for, or else the answer to
// give at once; before that, neither.
func (c *Call) Feed(b []byte) (request *Request, answer []byte) {
	_, whole, err := c.parser.Feed(b)
	var fault *http1.Error
	switch {
	case errors.As(err, &fault):
		return nil, Answer(fault.Status, fault.Reason)
	case err != nil:
		return nil, Answer(400, err.Error())
	case c.over:
		return nil, Answer(413, "too long")
	case !whole:
		return nil, nil
	}
	return c.read()
}

func (c *Call) read() (*Request, []byte) {
	m := &c.parser.Msg
	path, _, _ := strings.Cut(m.Target, "?")
	r, method := &Request{}, "GET"
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
			return nil, Answer(404, "unknown path")
		}
		r.Kind, r.Worker, method = kind, name, "POST"
	}
	if m.Method != method {
		return nil, Answer(405, "only "+method+" here")
	}
	return r, nil
}

// Do has a request carried out and returns the answer.
func (r *Request) Do(c Control) []byte {
	var err error
	switch r.Kind {
	case Ready:
		ready, err := c.Ready()
		if err == nil && !ready {
			return Answer(503, "not ready")
		}
		return result(err, "ready")
	case Counters:
		f, err := c.Figures()
		if err != nil {
			return result(err, "")
		}
		text, err := json.Marshal(f)
		if err != nil {
			return Answer(500, err.Error())
		}
		return http1.AppendResponse(nil, 200, false, append(text, '\n'), http1.Field{Name: "Content-Type", Value: "application/json"})
	case Offline:
		err = c.SetOut(r.Worker, true)
	case Online:
		err = c.SetOut(r.Worker, false)
	}
	return result(err, "done")
}

func result(err error, yes string) []byte {
	switch {
	case err == nil:
		return Answer(200, yes)
	case errors.Is(err, ErrUnknown):
		return Answer(404, err.Error())
	}
	return Answer(503, err.Error())
}

// Answer is a whole answer of one line, the last on its connection.
func Answer(status int, text string) []byte {
	return http1.AppendResponse(nil, status, false, []byte(text+"\n"))
}
