package fleetconfig

import (
	"errors"
	"net/http"
	"strconv"
)

// Kind is the kind of fault that makes a configuration invalid. The list is closed.
type Kind uint8

// The kinds of faults.
const (
	KindUnreadable     Kind = iota + 1 // not JSON, cut short, trailing bytes, a value of the wrong type, a part missing
	KindVersion                        // no version, or one that is not positive
	KindVersionNotNew                  // the version is not above the current one
	KindTimeout                        // a route has no timeout above 0
	KindNoService                      // a route names no service
	KindUnknownService                 // a route names a service that is not there
	KindWeights                        // the weights of a route sum to 0, or one is below 0
	KindDuplicateRoute                 // two routes share host and path prefix
)

// kinds holds the name of each kind and the HTTP status that answers it.
var kinds = map[Kind]struct {
	name   string
	status int
}{
	KindUnreadable:     {"unreadable", http.StatusBadRequest},
	KindVersion:        {"version", http.StatusBadRequest},
	KindVersionNotNew:  {"version-not-new", http.StatusBadRequest},
	KindTimeout:        {"timeout", http.StatusBadRequest},
	KindNoService:      {"no-service", http.StatusBadRequest},
	KindUnknownService: {"unknown-service", http.StatusBadRequest},
	KindWeights:        {"weights", http.StatusBadRequest},
	KindDuplicateRoute: {"duplicate-route", http.StatusBadRequest},
}

// String returns the name of the kind.
func (k Kind) String() string {
	if known, ok := kinds[k]; ok {
		return known.name
	}
	return "kind " + strconv.Itoa(int(k))
}

// Status returns the HTTP status that answers a configuration with this fault.
func (k Kind) Status() int {
	if known, ok := kinds[k]; ok {
		return known.status
	}
	return http.StatusInternalServerError
}

// Error tells why a configuration is invalid, and where.
type Error struct {
	Kind   Kind
	Route  string // name of the route at fault; empty for faults of the whole
	Field  string // key at fault; empty where no single one is
	Detail string
}

// Error returns one plain line.
func (e *Error) Error() string {
	line := "invalid configuration (" + e.Kind.String() + ")"
	if e.Route != "" {
		line += ": route " + strconv.Quote(e.Route)
	}
	if e.Field != "" {
		line += ": " + e.Field
	}
	return line + ": " + e.Detail
}

// StatusOf returns the HTTP status for err: that of its kind, or 500 for an error of another type.
func StatusOf(err error) int {
	var invalid *Error
	if errors.As(err, &invalid) {
		return invalid.Kind.Status()
	}
	return http.StatusInternalServerError
}
