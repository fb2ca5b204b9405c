package router

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// ServeHTTP takes one request of a client.
func (r *Router) ServeHTTP(w http.ResponseWriter, incoming *http.Request) {
	arrived := time.Now()
	if abandoned(incoming) {
		panic(http.ErrAbortHandler)
	}
	if r.stopping() {
		w.Header().Set("Connection", "close")
	}
	id := incoming.Header.Get(headerRequestID)
	current := r.awaitStart(incoming.Context())
	if current == nil {
		writeKind(w, id, ErrorNoConfiguration, r.options.RetryAfter)
		return
	}
	limits := &current.snapshot.Config.Limits
	if headTooLarge(incoming, limits) {
		writeKind(w, id, ErrorHeaderTooLarge, 0)
		return
	}
	chosen := current.find(incoming.Host, wirePath(incoming))
	if chosen == nil {
		writeKind(w, id, ErrorNoRoute, 0)
		return
	}
	body, kind, ok := readBody(w, incoming, limits)
	if !ok {
		if incoming.Context().Err() != nil {
			panic(http.ErrAbortHandler)
		}
		writeKind(w, id, kind, 0)
		return
	}
	r.serve(w, incoming, current, chosen, body, arrived)
}

func (r *Router) serve(
	w http.ResponseWriter, incoming *http.Request, current *view, chosen *fleetwire.Route, body []byte, arrived time.Time,
) {
	read := parsePrompt(incoming.Header)
	service := current.service(chosen, read.session())
	if service == nil {
		writeKind(w, incoming.Header.Get(headerRequestID), ErrorNoRoute, 0)
		return
	}
	giveUpAt := giveUpTime(incoming, chosen, arrived)
	ctx, cancel := context.WithDeadline(incoming.Context(), giveUpAt)
	defer cancel()
	exchange := &request{
		router:   r,
		view:     current,
		route:    chosen,
		service:  service,
		incoming: incoming,
		id:       incoming.Header.Get(headerRequestID),
		target:   wireTarget(incoming),
		header:   forwardedHeader(incoming.Header),
		body:     body,
		prompt:   read,
		arrived:  arrived,
		giveUpAt: giveUpAt,
		abandon:  cancel,
		reply:    reply{writer: w, controller: http.NewResponseController(w)},
	}
	if r.outlasts(giveUpAt) || !r.inHand.add(exchange) {
		r.refusedLeaving.Add(1)
		exchange.answer(ErrorDraining, leavingRetryAfter)
		return
	}
	defer r.inHand.remove(exchange)
	// A client that does not read holds no connection longer than its request may last.
	_ = exchange.reply.controller.SetWriteDeadline(giveUpAt.Add(writeSlack))
	var verdict placement.JobOutcome
	if service.Engine != nil {
		verdict = exchange.generate(ctx)
	} else {
		verdict = exchange.place(ctx)
	}
	exchange.finish(verdict)
}

// leavingRetryAfter is what a refusal says when other routers are there at once.
const leavingRetryAfter = 10 * time.Millisecond

// writeSlack is the time past a request's end within which its last bytes may still leave.
const writeSlack = 200 * time.Millisecond

// giveUpTime is the earlier of the client's deadline and the route's timeout.
func giveUpTime(incoming *http.Request, chosen *fleetwire.Route, arrived time.Time) time.Time {
	held := time.Duration(chosen.TimeoutMs) * time.Millisecond
	deadline, err := strconv.ParseFloat(incoming.Header.Get(headerDeadline), 64)
	if err == nil && deadline >= 0 && deadline < float64(chosen.TimeoutMs) {
		held = time.Duration(deadline * float64(time.Millisecond))
	}
	return arrived.Add(held)
}

// wirePath is the path as the client wrote it.
func wirePath(incoming *http.Request) string {
	path, _, _ := strings.Cut(wireTarget(incoming), "?")
	return path
}

// wireTarget is path and query as the client wrote them.
func wireTarget(incoming *http.Request) string {
	if strings.HasPrefix(incoming.RequestURI, "/") {
		return incoming.RequestURI
	}
	return incoming.URL.RequestURI()
}

// workerURL names the same path and query at a worker, byte for byte.
func workerURL(address, target string) *url.URL {
	if strings.HasPrefix(target, "//") { // Opaque would be taken for an authority
		path, query, found := strings.Cut(target, "?")
		return &url.URL{Scheme: "http", Host: address, Path: path, RawPath: path, RawQuery: query, ForceQuery: found && query == ""}
	}
	return &url.URL{Scheme: "http", Host: address, Opaque: target}
}

// headTooLarge reports whether a head is beyond the configuration's limit.
func headTooLarge(incoming *http.Request, limits *fleetwire.Limits) bool {
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

// bodySlack is added to the time in which a client must have sent its body, for the way that it takes.
const bodySlack = time.Second

// readBody reads the client's body whole.
func readBody(w http.ResponseWriter, incoming *http.Request, limits *fleetwire.Limits) (body []byte, kind ErrorKind, ok bool) {
	if incoming.ContentLength == 0 {
		return nil, 0, true
	}
	largest := limits.MaxBodyBytes
	if largest > 0 && incoming.ContentLength > largest {
		return nil, ErrorBodyTooLarge, false
	}
	controller := http.NewResponseController(w)
	if limits.HeaderTimeoutMs > 0 {
		allowed := time.Duration(limits.HeaderTimeoutMs)*time.Millisecond + bodySlack
		_ = controller.SetReadDeadline(time.Now().Add(allowed))
		// The connection is watched for the client's leaving from here on, which must not end at the deadline.
		defer func() { _ = controller.SetReadDeadline(time.Time{}) }()
	}
	body, err := readWhole(incoming, largest)
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

var errBodyTooLarge = errors.New("body beyond the limit")

func readWhole(incoming *http.Request, largest int64) ([]byte, error) {
	if incoming.ContentLength > 0 {
		body := make([]byte, incoming.ContentLength)
		_, err := io.ReadFull(incoming.Body, body)
		return body, err
	}
	if largest <= 0 {
		return io.ReadAll(incoming.Body)
	}
	body, err := io.ReadAll(io.LimitReader(incoming.Body, largest+1))
	if err == nil && int64(len(body)) > largest {
		err = errBodyTooLarge
	}
	return body, err
}
