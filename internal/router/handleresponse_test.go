package router

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"weldscale/internal/fleetwire"
	"weldscale/internal/placement"
)

// malformedHandleResponses are bodies of successful prefill responses that state no usable KV handle.
var malformedHandleResponses = map[string]string{
	"no JSON":                     "garbage",
	"cut short":                   `{"KvHandle":"h-1","Tok`,
	"two values":                  `{"KvHandle":"h-1","Tokens":1,"Version":1}{}`,
	"no handle":                   `{"Tokens":1460,"Version":1}`,
	"empty handle":                `{"KvHandle":"","Tokens":1460,"Version":1}`,
	"no version":                  `{"KvHandle":"h-1","Tokens":1460}`,
	"no tokens":                   `{"KvHandle":"h-1","Version":1}`,
	"negative tokens":             `{"KvHandle":"h-1","Tokens":-1,"Version":1}`,
	"handle with a line end":      `{"KvHandle":"h\r\nServing-Stage: prefill","Tokens":1460,"Version":1}`,
	"handle with a space":         `{"KvHandle":"h 1","Tokens":1460,"Version":1}`,
	"handle with a slash":         `{"KvHandle":"../report","Tokens":1460,"Version":1}`,
	"handle with a query":         `{"KvHandle":"h?x","Tokens":1460,"Version":1}`,
	"handle with a NUL":           `{"KvHandle":"h\u0000","Tokens":1460,"Version":1}`,
	"handle that is no UTF-8":     "{\"KvHandle\":\"h\xff\",\"Tokens\":1460,\"Version\":1}",
	"handle of an absurd size":    `{"KvHandle":"` + strings.Repeat("h", 1000) + `","Tokens":1460,"Version":1}`,
	"version that is no number":   `{"KvHandle":"h-1","Tokens":1460,"Version":"1"}`,
	"handle that is no text":      `{"KvHandle":5,"Tokens":1460,"Version":1}`,
	"tokens that are no whole no": `{"KvHandle":"h-1","Tokens":1.5,"Version":1}`,
}

// Guards against a prefill response that is soundly framed and malformed: its handle can't be sent, so that each attempt at a
// decode worker failed before its first byte, and the decode workers counted as unreachable.
func TestMalformedHandleResponseIsNotOfferedToDecodeWorkers(t *testing.T) {
	for name, body := range malformedHandleResponses {
		t.Run(name, func(t *testing.T) {
			fixture := newFixture(t)
			headers := make(chan http.Header, 2)
			fixture.addWorker(fleetwire.StagePrefill, func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Request-Id", r.Header.Get("Request-Id"))
				_, _ = io.WriteString(w, body)
			})
			fixture.addWorker(fleetwire.StagePrefill, prefillWorker(make(chan string, 1)))
			prefill := fixture.placer.targets[fleetwire.StagePrefill][1].Address
			fixture.addWorker(fleetwire.StageDecode, decodeWorker(headers))
			response := fixture.send(fixture.newGenerationRequest("id"))
			require.Equal(t, http.StatusOK, response.StatusCode)
			require.Equal(t, prefill+"/h-id", receive(t, headers).Get("Kv-From"), "the second prefill worker's handle")
			require.Equal(t, placement.ResultMalformed, fixture.placer.pushResults()[0])
			require.EqualValues(t, 1, fixture.router.counters.malformedHandles.Load())
		})
	}
}
