package router

import (
	"net/http"
	"strconv"
	"time"
)

// ErrorKind is the reason for an error response that the router generates itself.
type ErrorKind uint8

// All kinds of error responses.
const (
	ErrorNoConfiguration   ErrorKind = iota // no configuration has been received yet
	ErrorNoRoute                            // no route matches the request
	ErrorTargetUnsupported                  // a worker would read another path than the client sent
	ErrorHeaderTooLarge                     // the header exceeds MaxHeaderBytes
	ErrorBodyTooLarge                       // the body exceeds MaxBodyBytes
	ErrorBodyTimedOut                       // the body was not received within HeaderTimeoutMs plus bodyTransferMargin
	ErrorBodyMalformed                      // the body is malformed
	ErrorNoWorker                           // no worker can accept the request now; it has not run and will not run
	ErrorWorkerFailed                       // the worker failed or its response broke off; the request may have run
	ErrorTimedOut                           // there was no response before the deadline; the request may have run
	ErrorDraining                           // the router might exit before the request ends; it has not run and will not run
	ErrorAborted                            // the router aborted the request at shutdown; the request may have run
	errorKindCount
)

// errorResponses defines the response for each kind.
var errorResponses = [errorKindCount]struct {
	status int
	retry  bool // sends Retry-After
	close  bool // closes the connection after the response
}{
	ErrorNoConfiguration:   {status: http.StatusServiceUnavailable, retry: true},
	ErrorNoRoute:           {status: http.StatusNotFound},
	ErrorTargetUnsupported: {status: http.StatusBadRequest},
	ErrorHeaderTooLarge:    {status: http.StatusRequestHeaderFieldsTooLarge, close: true},
	ErrorBodyTooLarge:      {status: http.StatusRequestEntityTooLarge, close: true},
	ErrorBodyTimedOut:      {status: http.StatusRequestTimeout, close: true},
	ErrorBodyMalformed:     {status: http.StatusBadRequest, close: true},
	ErrorNoWorker:          {status: http.StatusServiceUnavailable, retry: true},
	ErrorWorkerFailed:      {status: http.StatusBadGateway},
	ErrorTimedOut:          {status: http.StatusGatewayTimeout},
	ErrorDraining:          {status: http.StatusServiceUnavailable, retry: true, close: true},
	ErrorAborted:           {status: http.StatusBadGateway, close: true},
}

// writeErrorResponse writes the whole error response of a kind. retryAfter is sent only for kinds with Retry-After.
func writeErrorResponse(w http.ResponseWriter, requestID string, kind ErrorKind, retryAfter time.Duration) {
	response := errorResponses[kind]
	header := w.Header()
	header["Date"] = nil
	header.Set("Content-Length", "0")
	if requestID != "" {
		header.Set(headerRequestID, requestID)
	}
	if response.retry {
		header.Set(headerRetryAfter, strconv.FormatFloat(max(0, retryAfter.Seconds()), 'f', -1, 64))
	}
	if response.close {
		header.Set("Connection", "close")
	}
	w.WriteHeader(response.status)
}
