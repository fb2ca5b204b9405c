package router

import (
	"encoding/json"
	"errors"
	"strconv"
	"time"

	"go.uber.org/zap"
)

// handleResponse is the body of a successful prefill response.
type handleResponse struct {
	KvHandle string
	Tokens   *int64
	Version  *int64
}

// maxHandleBytes limits a KV handle. Handles of known workers have 12 bytes.
const maxHandleBytes = 256

// Errors of parseHandleResponse.
var (
	errHandleMalformed = errors.New("the KV handle is missing, too long, or has other characters than a token")
	errHandleFigures   = errors.New("the KV cache's tokens or version are missing or negative")
)

// parseHandleResponse parses the body of a successful prefill response. The handle becomes a part of header fields and paths, so
// only a token of unreserved characters (RFC 3986) is accepted.
func parseHandleResponse(body []byte) (*handleResponse, error) {
	var parsed handleResponse
	if err := json.Unmarshal(body, &parsed); err != nil {
		return nil, err
	}
	if !isHandle(parsed.KvHandle) {
		return nil, errHandleMalformed
	}
	if parsed.Tokens == nil || *parsed.Tokens < 0 || parsed.Version == nil || *parsed.Version < 0 {
		return nil, errHandleFigures
	}
	return &parsed, nil
}

func isHandle(text string) bool {
	if text == "" || len(text) > maxHandleBytes {
		return false
	}
	for _, c := range []byte(text) {
		switch {
		case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9', c == '-', c == '_', c == '.', c == '~':
		default:
			return false
		}
	}
	return true
}

// recordMalformedHandle counts and logs a malformed prefill response.
func (q *request) recordMalformedHandle(worker string, body []byte, err error) {
	q.router.counters.malformedHandles.Add(1)
	if q.router.streamLogLimiter.allow(time.Now()) {
		q.logWarning("prefill response malformed", zap.Error(err), zap.String("worker", worker),
			zap.String("body", strconv.QuoteToASCII(string(body[:min(len(body), maxLoggedBodyBytes)]))))
	}
}

// maxLoggedBodyBytes limits the part of a malformed body that is logged.
const maxLoggedBodyBytes = 64
