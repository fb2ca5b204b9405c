package router

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"os"
	"strconv"
	"time"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// ServeHTTP handles one client request. It panics with http.ErrAbortHandler if no response can be sent.
func (r *Router) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	arrived := time.Now()
	headRead(incoming)
	if readFromClosedConn(incoming) {
		panic(http.ErrAbortHandler)
	}
	if r.shuttingDown() {
		w.Header().Set("Connection", "close")
	}
	id := incoming.Header.Get(headerRequestID)
	current := r.awaitStart(incoming.Context())
	if current == nil {
		writeErrorResponse(w, id, ErrorNoConfiguration, r.options.RetryAfter)
		return
	}
	limits := &current.snapshot.Config.Limits
	if headerTooLarge(incoming, limits) {
		writeErrorResponse(w, id, ErrorHeaderTooLarge, 0)
		return
	}
	if !relaysUnchanged(wireTarget(incoming)) {
		writeErrorResponse(w, id, ErrorTargetUnsupported, 0)
		return
	}
	chosen := current.findRoute(incoming.Host, wirePath(incoming))
	if chosen == nil {
		writeErrorResponse(w, id, ErrorNoRoute, 0)
		return
	}
	body, kind, ok := readBody(w, incoming, limits)
	if !ok {
		if incoming.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		writeErrorResponse(w, id, kind, 0)
		return
	}
	r.serveRoute(w, incoming, current, chosen, body, arrived)
}

// serveRoute serves a request whose route is known and whose body has been read.
func (r *Router) serveRoute(
	w http.ResponseWriter, incoming *http.Request, current *view, chosen *fleetwire.Route, body []byte, arrived time.Time,
) {
	info := parsePrompt(incoming.Header)
	service := current.pickService(chosen, info.sessionKey())
	if service == nil {
		writeErrorResponse(w, incoming.Header.Get(headerRequestID), ErrorNoRoute, 0)
		return
	}
	deadline := requestDeadline(incoming, chosen, arrived)
	ctx, cancel := context.WithDeadline(incoming.Context(), deadline)
	defer cancel()
	accepted := &request{
		router:          r,
		view:            current,
		route:           chosen,
		service:         service,
		incoming:        incoming,
		id:              incoming.Header.Get(headerRequestID),
		target:          wireTarget(incoming),
		header:          forwardedHeader(incoming.Header),
		body:            body,
		prompt:          info,
		arrived:         arrived,
		deadline:        deadline,
		cancelPlacement: cancel,
		clientResponse:  clientResponse{writer: w, controller: http.NewResponseController(w)},
	}
	if r.mayOutlastShutdown(deadline) || !r.inFlight.add(accepted) {
		r.refusedDraining.Add(1)
		accepted.respondError(ErrorDraining, drainRetryAfter)
		return
	}
	defer r.inFlight.remove(accepted)
	// The write deadline keeps a client that does not read from holding the connection past the end of its request.
	_ = accepted.clientResponse.controller.SetWriteDeadline(deadline.Add(finalWriteMargin))
	var outcome placement.JobOutcome
	if service.Engine != nil {
		outcome = accepted.generate(ctx)
	} else {
		outcome = accepted.place(ctx)
	}
	accepted.finish(outcome)
}

// drainRetryAfter is the Retry-After of a refusal during shutdown. It is short because other routers are available at once.
const drainRetryAfter = 10 * time.Millisecond

// finalWriteMargin is the time after a request's deadline in which its last bytes may still be written.
const finalWriteMargin = 200 * time.Millisecond

// requestDeadline returns the earlier of the client's deadline and the end of the route's timeout.
func requestDeadline(incoming *http.Request, chosen *fleetwire.Route, arrived time.Time) time.Time {
	timeout := time.Duration(chosen.TimeoutMs) * time.Millisecond
	clientTimeoutMs, err := strconv.ParseFloat(incoming.Header.Get(headerDeadline), 64)
	if err == nil && clientTimeoutMs >= 0 && clientTimeoutMs < float64(chosen.TimeoutMs) {
		timeout = time.Duration(clientTimeoutMs * float64(time.Millisecond))
	}
	return arrived.Add(timeout)
}

// headerTooLarge reports whether the request target and header fields exceed the configured limit.
func headerTooLarge(incoming *http.Request, limits *fleetwire.Limits) bool {
	if limits.MaxHeaderBytes <= 0 {
		return false
	}
	size := len(incoming.RequestURI)
	for name, values := range incoming.Header {
		for _, value := range values {
			size += len(name) + len(value) + len(": \r\n")
		}
	}
	return size > limits.MaxHeaderBytes
}

// bodyTransferMargin is added to the time limit for sending the body, to allow for network latency.
const bodyTransferMargin = time.Second

// readBody reads the whole body of a client's request. If it fails, ok is false and kind is the error response to send.
func readBody(w http.ResponseWriter, incoming *http.Request, limits *fleetwire.Limits) (body []byte, kind ErrorKind, ok bool) {
	if incoming.ContentLength == 0 {
		return nil, 0, true
	}
	maxBytes := limits.MaxBodyBytes
	if maxBytes > 0 && incoming.ContentLength > maxBytes {
		return nil, ErrorBodyTooLarge, false
	}
	controller := http.NewResponseController(w)
	if limits.HeaderTimeoutMs > 0 {
		timeout := time.Duration(limits.HeaderTimeoutMs)*time.Millisecond + bodyTransferMargin
		_ = controller.SetReadDeadline(time.Now().Add(timeout))
		// From here on net/http reads the connection to detect that the client closes it. The read deadline must not end that.
		defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	}
	body, err := readLimited(incoming, maxBytes)
	switch {
	case err == nil:
		return body, 0, true
	case errors.Is(err, errBodyTooLarge):
		return nil, ErrorBodyTooLarge, false
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, ErrorBodyTimedOut, false
	default:
		return nil, ErrorBodyMalformed, false
	}
}

var errBodyTooLarge = errors.New("request body exceeds the configured limit")

func readLimited(incoming *http.Request, maxBytes int64) ([]byte, error) {
	if incoming.ContentLength > 0 {
		body := make([]byte, incoming.ContentLength)
		_, err := io.ReadFull(incoming.Body, body)
		return body, err
	}
	if maxBytes <= 0 {
		return io.ReadAll(incoming.Body)
	}
	body, err := io.ReadAll(io.LimitReader(incoming.Body, min(maxBytes, math.MaxInt64-1)+1))
	if err == nil && int64(len(body)) > maxBytes {
		err = errBodyTooLarge
	}
	return body, err
}
