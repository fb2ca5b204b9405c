package router

import (
	"net/http"
	"strconv"
	"time"
)

// ErrorKind is a reason for an answer of the router's own.
type ErrorKind uint8

// The closed list of kinds.
const (
	ErrorNoConfiguration ErrorKind = iota // nothing is known of routes yet
	ErrorNoRoute                          // no route of the configuration is for the request
	ErrorHeaderTooLarge                   // the head is beyond MaxHeaderBytes
	ErrorBodyTooLarge                     // the body is beyond MaxBodyBytes
	ErrorBodyTimedOut                     // the body did not come within HeaderTimeoutMs
	ErrorBodyMalformed                    // the body is not well formed
	ErrorNoWorker                         // no worker can take it now; it has not run and never will
	ErrorWorkerFailed                     // the worker's answer broke; it may have run
	ErrorTimedOut                         // no answer came in time; it may have run
	ErrorDraining                         // this process ends before the request might; it has not run and never will
	ErrorAborted                          // this process ends; the request may have run
	errorKindCount
)

// answerOf is what the client is told for each kind.
var answerOf = [errorKindCount]struct {
	status int
	retry  bool // says Retry-After
	close  bool // the connection can't be used any more
}{
	ErrorNoConfiguration: {status: http.StatusServiceUnavailable, retry: true},
	ErrorNoRoute:         {status: http.StatusNotFound},
	ErrorHeaderTooLarge:  {status: http.StatusRequestHeaderFieldsTooLarge, close: true},
	ErrorBodyTooLarge:    {status: http.StatusRequestEntityTooLarge, close: true},
	ErrorBodyTimedOut:    {status: http.StatusRequestTimeout, close: true},
	ErrorBodyMalformed:   {status: http.StatusBadRequest, close: true},
	ErrorNoWorker:        {status: http.StatusServiceUnavailable, retry: true},
	ErrorWorkerFailed:    {status: http.StatusBadGateway},
	ErrorTimedOut:        {status: http.StatusGatewayTimeout},
	ErrorDraining:        {status: http.StatusServiceUnavailable, retry: true, close: true},
	ErrorAborted:         {status: http.StatusBadGateway, close: true},
}

// writeKind answers the client at once.
func writeKind(w http.ResponseWriter, requestID string, kind ErrorKind, retryAfter time.Duration) {
	answer := answerOf[kind]
	header := w.Header()
	header["Date"] = nil
	header.Set("Content-Length", "0")
	if requestID != "" {
		header.Set(headerRequestID, requestID)
	}
	if answer.retry {
		header.Set(headerRetryAfter, strconv.FormatFloat(max(0, retryAfter.Seconds()), 'f', -1, 64))
	}
	if answer.close {
		header.Set("Connection", "close")
	}
	w.WriteHeader(answer.status)
}
