package router

import (
	"net/http"
	"strconv"
	"strings"

	"weldscale/internal/placement"
)

// Header fields of the protocol between clients, routers and workers.
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

// hopByHopFields are the hop-by-hop header fields, apart from those that a Connection field names.
var hopByHopFields = []string{
	"Connection", "Keep-Alive", "Proxy-Connection", "Proxy-Authenticate", "Proxy-Authorization",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// routerFields are removed from client requests. Only the router may set the fields of the protocol among them, because a
// client could use them to affect other clients' requests. Accept-Encoding is removed because the router relays no encoded
// bodies, Expect because the router has already read the body when it forwards the request.
var routerFields = []string{
	headerExpectedInstance, headerExpectVersion, headerServingStage, headerKvFrom, "Accept-Encoding", "Content-Length", "Expect",
}

// removeHopByHopFields removes the hop-by-hop fields and those that a Connection field names. Request-Id always stays.
func removeHopByHopFields(header http.Header) {
	for _, list := range header["Connection"] {
		for name := range strings.SplitSeq(list, ",") {
			if name = strings.TrimSpace(name); name != "" && !strings.EqualFold(name, headerRequestID) {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHopFields {
		delete(header, name)
	}
}

// forwardedHeader returns the header that is sent to a worker for a client's header.
func forwardedHeader(incoming http.Header) http.Header {
	header := incoming.Clone()
	removeHopByHopFields(header)
	for _, name := range routerFields {
		delete(header, name)
	}
	if _, present := header["User-Agent"]; !present {
		header["User-Agent"] = nil // keeps net/http from adding its own
	}
	return header
}

// copyResponseHeader copies a worker's header fields to the client's response. The response keeps its own Connection field.
func copyResponseHeader(to, from http.Header) {
	removeHopByHopFields(from)
	for name, values := range from {
		to[name] = values
	}
	for _, name := range []string{"Date", "Content-Type"} {
		if _, present := to[name]; !present {
			to[name] = nil // keeps net/http from adding its own
		}
	}
}

// promptInfo holds the token counts and the prefix hashes that a client states for a generation request.
type promptInfo struct {
	inputTokens, outputTokens int
	parts                     []placement.PromptPart
}

// parsePrompt parses Token-Count and Prefix-Hash. It ignores malformed values, because the fields are only hints.
func parsePrompt(header http.Header) promptInfo {
	var info promptInfo
	in, out, _ := strings.Cut(header.Get(headerTokens), ",")
	info.inputTokens, _ = strconv.Atoi(strings.TrimSpace(in))
	info.outputTokens, _ = strconv.Atoi(strings.TrimSpace(out))
	field := header.Get(headerPrefix)
	if field == "" {
		return info
	}
	info.parts = make([]placement.PromptPart, 0, strings.Count(field, ",")+1)
	for part := range strings.SplitSeq(field, ",") {
		id, size, found := strings.Cut(strings.TrimSpace(part), ":")
		tokens, err := strconv.Atoi(size)
		if !found || err != nil {
			info.parts = nil
			return info
		}
		info.parts = append(info.parts, placement.PromptPart{ID: id, Tokens: tokens})
	}
	return info
}

// sessionKey returns the key by which a sticky route groups requests: the ID of the last prompt part, which belongs to one
// request or session. It is empty without prompt parts.
func (p *promptInfo) sessionKey() string {
	if len(p.parts) == 0 {
		return ""
	}
	return p.parts[len(p.parts)-1].ID
}

// parseServerLoad parses a worker's load report "running,waiting,slots". It ignores the slots.
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
