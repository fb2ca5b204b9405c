package fleetconfig

import (
	"errors"
	"net/http"
	"strconv"
)

// Kind classifies the error that makes a configuration invalid. No other kinds exist.
type Kind uint8

// The kinds of errors.
const (
	KindUnreadable     Kind = iota + 1 // not JSON, truncated, trailing bytes, a value of the wrong type, or a missing list
	KindVersion                        // the version is missing or not positive
	KindVersionNotNew                  // the version is not above the current one
	KindTimeout                        // a route has no timeout above 0
	KindNoService                      // a route names no service
	KindUnknownService                 // a route names a service that does not exist
	KindWeights                        // the weights of a route sum to 0, or a weight is negative or infinite
	KindDuplicateRoute                 // two routes have the same hostname and path prefix
	KindTooLarge                       // the configuration is larger than MaxBytes
)

// kinds maps each kind to its name and its HTTP status.
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
	KindTooLarge:       {"too-large", http.StatusRequestEntityTooLarge},
}

// String returns the name of the kind.
func (k Kind) String() string {
	if known, ok := kinds[k]; ok {
		return known.name
	}
	return "kind " + strconv.Itoa(int(k))
}

// Status returns the HTTP status of the response to a configuration with this error.
func (k Kind) Status() int {
	if known, ok := kinds[k]; ok {
		return known.status
	}
	return http.StatusInternalServerError
}

// Error describes why a configuration is invalid and where.
type Error struct {
	Kind   Kind
	Route  string // name of the invalid route; empty if the error is not in a route
	Field  string // invalid key; empty if the error has no single key
	Detail string
}

// Error returns the description as a single line.
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

// StatusOf returns the HTTP status of err: the status of its kind if it wraps an *Error, and 500 otherwise.
func StatusOf(err error) int {
	var invalid *Error
	if errors.As(err, &invalid) {
		return invalid.Kind.Status()
	}
	return http.StatusInternalServerError
}
