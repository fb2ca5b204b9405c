// Package jobs implements the HTTP protocol between clients, schedulers, workers and discovery on top of package
// engine: client requests, attempts, probes and the watch on the worker list. It maps headers, paths, JSON bodies and
// response statuses to engine calls and outcomes. Connections come from a Dialer and a driver; the package opens no
// sockets and chooses no workers. A job of which a byte may have reached a worker is never sent again here. All code
// runs on the engine's loop.
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

// Conn is one connection. Its owner sets a Handler, which the driver calls on the loop.
type Conn interface {
	SetHandler(Handler)
	// Write sends b. If done is not nil, it is called on the loop with the result.
	Write(b []byte, done func(WriteResult))
	// CloseAfterWrite closes the connection once everything given to Write has been sent.
	CloseAfterWrite()
	// Close closes the connection at once. The handler is not called any more, and data that the system has not
	// accepted yet is lost.
	Close()
	// Queued returns the number of bytes given to Write that the system has not accepted yet.
	Queued() int
	// Unacked returns the number of bytes, here and in the system, that the peer is not known to have received.
	Unacked() int
	// Peer returns the address of the other side.
	Peer() netip.Addr
	// PeerClosed reports whether the other side has shut down its sending side or closed the connection, even if the
	// handler has not been called yet.
	PeerClosed() bool
	// Unread reports whether data or the end of the connection has arrived that the handler has not received yet.
	Unread() bool
}

// Transferable is a connection that can be handed over to another process.
type Transferable interface {
	// DupFD returns a duplicate of the connection's descriptor, which the caller must close. It fails while bytes of
	// the connection are buffered here.
	DupFD() (fd int, ok bool)
}

// Handler receives the events of a connection.
type Handler interface {
	Data([]byte)
	// Closed is called when the connection has ended other than by Close.
	Closed()
}

// WriteResult is the result of a write.
type WriteResult uint8

// The results of a write.
const (
	Written         WriteResult = iota // the system has accepted the last byte
	WriteIncomplete                    // the last byte has certainly not been sent
	WriteUnknown                       // the last byte may have been sent
)

// Dialer provides connections for one exchange each.
type Dialer interface {
	// Get calls ready with a connection, or with nil if none could be made in time. It uses an idle connection if
	// there is one and fresh is false. It may call ready before it returns. The returned function cancels the wait.
	Get(addr string, fresh bool, ready func(Conn)) (giveUp func())
	// Put returns a connection whose exchange ended cleanly.
	Put(addr string, c Conn)
}

// LoadReportParser parses load reports. On the wire a field has either the name from the settings or the protocol's
// name, depending on the deployment.
type LoadReportParser struct {
	Fields []string                             // names from the settings
	Make   func(values []float32) decide.Report // from values in the order of Fields; NaN marks a missing one
}

// protocolNames maps the field names of the settings to those of the protocol.
var protocolNames = map[string]string{"active": "inflight", "waiting": "queue", "cpu": "util", "avg_ms": "latency_ms",
	"rps": "qps", "err_rps": "eps"}

func (r *LoadReportParser) read(text []byte) decide.Report {
	var fields map[string]float32
	if json.Unmarshal(text, &fields) != nil {
		return decide.Report{}
	}
	values := make([]float32, len(r.Fields))
	for i, name := range r.Fields {
		v, ok := fields[name]
		if !ok {
			v, ok = fields[protocolNames[name]]
		}
		if !ok {
			v = float32(math.NaN())
		}
		values[i] = v
	}
	return r.Make(values)
}

// resultText returns the result of a line. If it is a JSON string, v holds it already decoded, since it may be long;
// any other JSON value is returned as it is written in the line.
func resultText(v any, line []byte) []byte {
	if s, ok := v.(string); ok {
		return []byte(s)
	}
	var parsed struct {
		Result json.RawMessage `json:"result"`
	}
	_ = json.Unmarshal(line, &parsed) // the line has been parsed before
	return bytes.TrimSpace(parsed.Result)
}

// formatBudget formats a duration for the X-Budget header.
func formatBudget(left time.Duration) string {
	return strconv.FormatInt(int64(max(left, time.Microsecond)/time.Microsecond), 10) + "u"
}

// payload is the part of a client's request that is passed to the worker unchanged.
type payload struct {
	method, target, id, key string
	body                    []byte
	atMostOnce              bool // the job must never run twice
}

// withService puts the service's name, if there is one, before the other attributes of a log line.
func withService(service string, args ...any) []any {
	if service == "" {
		return args
	}
	return append([]any{"service", service}, args...)
}
