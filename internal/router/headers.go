package router

import (
	"net/http"
	"strconv"
	"strings"

	"weldscale/internal/placement"
)

// Header fields of the protocol.
const (
	headerRequestID        = "Request-Id"
	headerDeadline         = "Deadline-Ms"
	headerExpectedInstance = "Expected-Instance"
	headerExpectVersion    = "Expect-Version"
	headerNotExecuted      = "Not-Executed"
	headerSignature        = "Response-Signature"
	headerServingStage     = "Serving-Stage"
	headerKvFrom           = "Kv-From"
	headerLastEventID      = "Last-Event-Id"
	headerModel            = "Model-Name"
	headerTokens           = "Token-Count"
	headerPrefix           = "Prefix-Hash"
	headerPriority         = "Priority"
	headerRetryAfter       = "Retry-After"
	headerServerLoad       = "Server-Load"
)

// connectionFields concern one connection only, beside those that a Connection field names.
var connectionFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// ownFields are set by the router alone; from a client they would reach into others' requests. Accept-Encoding goes
// because an encoded answer is not the worker's body, Expect because the body is here by the time it is sent on.
var ownFields = []string{
	headerExpectedInstance, headerExpectVersion, headerServingStage, headerKvFrom, "Accept-Encoding", "Content-Length", "Expect",
}

// removeConnectionFields drops what concerns one connection only.
func removeConnectionFields(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, headerRequestID) {
				header.Del(name)
			}
		}
	}
	for _, name := range connectionFields {
		delete(header, name)
	}
}

// forwardedHeader is what a client's fields become on the way to a worker.
func forwardedHeader(incoming http.Header) http.Header {
	header := incoming.Clone()
	removeConnectionFields(header)
	for _, name := range ownFields {
		delete(header, name)
	}
	if _, named := header["User-Agent"]; !named {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return header
}

// returnedHeader moves a worker's fields to the client's answer, whose own Connection field stays.
func returnedHeader(to, from http.Header) {
	removeConnectionFields(from)
	for name, values := range from {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, named := to[name]; !named {
			to[name] = nil // keeps net/http from adding its own
		}
	}
}

// prompt is what a generation's fields tell of its size.
type prompt struct {
	input, output int
	parts         []placement.PromptPart
}

// parsePrompt reads Token-Count and Prefix-Hash. What can't be read is left out: it is only advice.
func parsePrompt(header http.Header) prompt {
	var read prompt
	in, out, _ := strings.Cut(header.Get(headerTokens), ",")
	read.input, _ = strconv.Atoi(strings.TrimSpace(in))
	read.output, _ = strconv.Atoi(strings.TrimSpace(out))
	field := header.Get(headerPrefix)
	if field == "" {
		return read
	}
	read.parts = make([]placement.PromptPart, 0, strings.Count(field, ",")+1)
	for part := range strings.SplitSeq(field, ",") {
		id, size, found := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.Atoi(size)
		if !found || err != nil {
			read.parts = nil
			return read
		}
		read.parts = append(read.parts, placement.PromptPart{ID: id, Tokens: tokens})
	}
	return read
}

// session names what a sticky route keeps together: the last part of the prompt, which is the request's own.
func (p *prompt) session() string {
	if len(p.parts) == 0 {
		return ""
	}
	return p.parts[len(p.parts)-1].ID
}

// parseServerLoad reads the requests running and waiting of a worker's statement of its load; its slots follow.
func parseServerLoad(value string) (load placement.Load, ok bool) {
	running, rest, _ := strings.Cut(value, ",")
	waiting, _, ok := strings.Cut(rest, ",")
	if !ok {
		return placement.Load{}, false
	}
	var err, waitingErr error
	load.Running, err = strconv.Atoi(strings.TrimSpace(running))
	load.Queued, waitingErr = strconv.Atoi(strings.TrimSpace(waiting))
	return load, err == nil && waitingErr == nil && load.Running >= 0 && load.Queued >= 0
}
