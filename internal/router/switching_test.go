package router

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a request that never ends: after a status 101, net/http no longer ends the reading of the connection at the
// request's deadline.
func TestSwitchingProtocolsIsABrokenAnswer(t *testing.T) {
	for _, path := range []string{"/stream/x", "/resume/x", "/unsafe/x", "/safe/x", "/generate/x"} {
		t.Run(path, func(t *testing.T) {
			fixture := newFixture(t)
			release := make(chan struct{})
			defer close(release)
			for _, stage := range []string{"", "decode", "prefill"} {
				fixture.addRawWorker(stage, func(conn net.Conn, next func() *http.Request) {
					id := next().Header.Get("Request-Id")
					_, _ = io.WriteString(conn, "HTTP/1.1 101 Switching Protocols\r\nRequest-Id: "+id+"\r\nResponse-Signature: s\r\n"+
						"Connection: upgrade\r\nUpgrade: x\r\n\r\n")
					<-release
				})
			}
			started := time.Now()
			request := fixture.newGenerationRequest("id")
			request.URL.Path = path
			response := fixture.send(request)
			_, err := io.ReadAll(response.Body)
			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Less(t, time.Since(started), 3*time.Second, "it must not wait for the end of the connection")
		})
	}
}
