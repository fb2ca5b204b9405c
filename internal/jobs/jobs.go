// Package jobs gives PROTOCOL's HTTP messages their meaning: a client's request, an attempt on a worker, a
// probe, the watch on the worker list. It owns headers, paths, JSON forms and the mapping of what comes back
// to outcomes. It must never open a socket (connections come from a Dialer and are fed bytes by the
// driver), never send a job again of which a byte may have arrived, and never choose a worker. All of it runs on
// the engine's loop.
package jobs

import (
	"bytes"
	"encoding/json"
	"math"
	"net/netip"
	"strconv"
	"time"

	"weldscale/decide"
)

// Conn is one connection. Its owner gives it a Handler; the driver calls that on the loop.
type Conn interface {
	SetHandler(Handler)
	// Write sends the bytes; done, if not nil, is told on the loop how that went.
	Write(b []byte, done func(WriteResult))
	// CloseAfterWrite closes once what was given to Write has gone out.
	CloseAfterWrite()
	// Close closes at once: the handler hears no more, and what Write was given and the system has not taken is lost.
	Close()
	// Queued is how many bytes given to Write wait here, since the system does not take them.
	Queued() int
	// Unacked is how many wait here or with the system, as far as the peer is known to have taken them.
	Unacked() int
	// Peer is the address of the other side.
	Peer() netip.Addr
	// PeerClosed reports whether the other side has ended its sending or the connection, though the handler may not have
	// heard of it yet.
	PeerClosed() bool
	// Unread reports whether something has come, bytes or the end, that the handler has not been told.
	Unread() bool
}

// Transferable is a connection that can leave the process.
type Transferable interface {
	// DupFD returns a copy of its descriptor, the caller's; not where bytes of it are under way here.
	DupFD() (fd int, ok bool)
}

// Handler takes what a connection brings.
type Handler interface {
	Data([]byte)
	// Closed says that the connection has ended, not by our Close.
	Closed()
}

// WriteResult tells how a write ended.
type WriteResult uint8

// The ends of a write.
const (
	Written         WriteResult = iota // the last byte has gone to the system
	WriteIncomplete                    // the last byte has surely not
	WriteUnknown                       // it may have
)

// Dialer hands out connections for one exchange each.
type Dialer interface {
	// Get calls ready with a connection, an idle one if there is one and fresh is false, or with nil if none came
	// up in time. It may do so before it returns. The returned function gives up the wait.
	Get(addr string, fresh bool, ready func(Conn)) (giveUp func())
	// Put takes back a connection on which an exchange ended cleanly.
	Put(addr string, c Conn)
}

// LoadReportParser reads load reports. On sockets a figure goes by the name that the settings give it or by the one
// that PROTOCOL gives it; which one depends on the deployment.
type LoadReportParser struct {
	Fields []string                             // as the settings name them
	Make   func(values []float32) decide.Report // from values in the order of Fields; NaN marks a missing one
}

// sockets has PROTOCOL's names of the figures, by the settings' names.
var protocolNames = map[string]string{"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms",
	"rps": "qps", "err_rps": "eps"}

func (r *LoadReportParser) read(text []byte) decide.Report {
	var in map[string]float32
	if json.Unmarshal(text, &in) != nil {
		return decide.Report{}
	}
	values := make([]float32, len(r.Fields))
	for i, name := range r.Fields {
		v, ok := in[name]
		if !ok {
			v, ok = in[protocolNames[name]]
		}
		if !ok {
			v = float32(math.NaN())
		}
		values[i] = v
	}
	return r.Make(values)
}

// resultOf is the text of a line's result where that is a JSON string, which was read with the line (it may be long);
// any other JSON value is left as it stands.
func resultText(v any, line []byte) []byte {
	if s, ok := v.(string); ok {
		return []byte(s)
	}
	var in struct {
		Result json.RawMessage `json:"result"`
	}
	_ = json.Unmarshal(line, &in) // it was read before
	return bytes.TrimSpace(in.Result)
}

// budget formats a span as X-Budget has it.
func formatBudget(left time.Duration) string {
	return strconv.FormatInt(int64(max(left, time.Microsecond)/time.Microsecond), 10) + "u"
}

// call is what a client's request and a worker's attempt share: it passes through untouched.
type payload struct {
	method, target, id, key string
	body                    []byte
	atMostOnce              bool // it must never run twice
}

// named puts the service's name before the other words of a log line, where it has one.
func withService(service string, args ...any) []any {
	if service == "" {
		return args
	}
	return append([]any{"service", service}, args...)
}
