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
	// ErrUnknownWorker says that there is no such worker.
	ErrUnknownWorker = errors.New("no such worker")
	// ErrTimeout says that nothing was done, since the scheduler did not get to it in time.
	ErrTimeout = errors.New("not done: the scheduler did not get to it in time")
)

// Control does what calls ask for. Its methods may wait, for less than a second.
type Control interface {
	Ready() (bool, error)
	Figures() (Figures, error)
	// SetOffline takes a worker out or puts it back. Without an error it is in force.
	SetOffline(worker string, out bool) error
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
	request, no := ParseRequest(c.parser.Msg.Method, c.parser.Msg.Target)
	if request == nil {
		return nil, Answer(no.Status, no.Text)
	}
	return request, nil
}

// Reply is what a call is answered with.
type Reply struct {
	Status int
	Text   string // a line, or JSON
	JSON   bool
}

// ParseRequest reads a method and a target as a call, or says why they are none.
func ParseRequest(method, target string) (*Request, Reply) {
	path, _, _ := strings.Cut(target, "?")
	r, want := &Request{}, "GET"
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
		r.Kind, r.Worker, want = kind, name, "POST"
	}
	if method != want {
		return nil, Reply{Status: 405, Text: "only " + want + " here"}
	}
	return r, Reply{}
}

// Do has a request carried out.
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

func reply(err error, yes string) Reply {
	switch {
	case err == nil:
		return Reply{Status: 200, Text: yes}
	case errors.Is(err, ErrUnknownWorker):
		return Reply{Status: 404, Text: err.Error()}
	}
	return Reply{Status: 503, Text: err.Error()}
}

// Bytes is the reply as a whole answer, the last on its connection.
func (r Reply) Bytes() []byte {
	kind := "text/plain"
	if r.JSON {
		kind = "application/json"
	}
	return http1.AppendResponse(nil, r.Status, false, []byte(r.Text+"\n"), http1.Field{Name: "Content-Type", Value: kind})
}

// Answer is a whole answer of one line.
func Answer(status int, text string) []byte { return Reply{Status: status, Text: text}.Bytes() }
