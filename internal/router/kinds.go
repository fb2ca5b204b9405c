package router

import (
	"net/http"
	"strconv"
	"time"
)

// Kind is a reason for an answer of the router's own.
type Kind uint8

// The closed list of kinds.
const (
	KindNoConfiguration Kind = iota // nothing is known of routes yet
	KindNoRoute                     // no route of the configuration is for the request
	KindHeaderTooLarge              // the head is beyond MaxHeaderBytes
	KindBodyTooLarge                // the body is beyond MaxBodyBytes
	KindBodyTimedOut                // the body did not come within HeaderTimeoutMs
	KindBodyBroken                  // the body is not well formed
	KindRefused                     // no worker can take it now; it has not run and never will
	KindWorkerBroken                // the worker's answer broke; it may have run
	KindTimedOut                    // no answer came in time; it may have run
	KindLeaving                     // this process ends before the request might; it has not run and never will
	KindEnded                       // this process ends; the request may have run
	kindCount
)

// answerOf is what the client is told for each kind.
var answerOf = [kindCount]struct {
	status int
	retry  bool // says Retry-After
	close  bool // the connection can't be used any more
}{
	KindNoConfiguration: {status: http.StatusServiceUnavailable, retry: true},
	KindNoRoute:         {status: http.StatusNotFound},
	KindHeaderTooLarge:  {status: http.StatusRequestHeaderFieldsTooLarge, close: true},
	KindBodyTooLarge:    {status: http.StatusRequestEntityTooLarge, close: true},
	KindBodyTimedOut:    {status: http.StatusRequestTimeout, close: true},
	KindBodyBroken:      {status: http.StatusBadRequest, close: true},
	KindRefused:         {status: http.StatusServiceUnavailable, retry: true},
	KindWorkerBroken:    {status: http.StatusBadGateway},
	KindTimedOut:        {status: http.StatusGatewayTimeout},
	KindLeaving:         {status: http.StatusServiceUnavailable, retry: true, close: true},
	KindEnded:           {status: http.StatusBadGateway, close: true},
}

// writeKind answers the client at once.
func writeKind(w http.ResponseWriter, requestID string, kind Kind, retryAfter time.Duration) {
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
