package router

import (
	"bufio"
	"io"
	"math"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// serveLimited serves the fixture's router on a listener of its own, as run does, and returns the address.
func (f *fixture) serveLimited() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(f.t, err)
	server := f.router.newClientServer()
	go func() { _ = server.Serve(headLimitListener{listener}) }()
	f.t.Cleanup(func() { _ = server.Close() })
	return listener.Addr().String()
}

// sendHead sends a request with a header field of the given size and a body over a connection, and returns the answer's status,
// or 0 if there is none.
func sendHead(t *testing.T, conn net.Conn, answers *bufio.Reader, size int, body string) int {
	require.NoError(t, conn.SetDeadline(time.Now().Add(testTimeout)))
	_, _ = io.WriteString(conn, "POST /safe/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: id\r\nContent-Length: "+itoa(len(body))+
		"\r\nLong: "+strings.Repeat("x", size)+"\r\n\r\n"+body)
	response, err := http.ReadResponse(answers, nil)
	if err != nil {
		return 0
	}
	_, err = io.Copy(io.Discard, response.Body)
	require.NoError(t, err)
	return response.StatusCode
}

// withMaxHeaderBytes applies a configuration with another limit of the header.
func (f *fixture) withMaxHeaderBytes(limit int) {
	changed := *f.config
	changed.Limits.MaxHeaderBytes, changed.Limits.MaxBodyBytes = limit, 1<<20
	f.config = &changed
	f.update()
}

// TestHeadIsReadUpToTheConfiguredLimit guards against requests that a fixed limit of the router refuses although the
// configuration allows them, and against heads that are read far beyond the configured limit.
func TestHeadIsReadUpToTheConfiguredLimit(t *testing.T) {
	fixture := newFixture(t)
	fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) { setValidHeader(w, r, "stamp") })
	address := fixture.serveLimited()
	for _, test := range []struct{ limit, size, want int }{
		{1 << 20, 600 << 10, http.StatusOK}, {1 << 20, 2 << 20, http.StatusRequestHeaderFieldsTooLarge},
		{16 << 10, 15 << 10, http.StatusOK}, {16 << 10, 17 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{16 << 10, 100 << 10, http.StatusRequestHeaderFieldsTooLarge},
		{math.MaxInt64, 100 << 10, http.StatusOK}, {math.MaxInt64 - headOverhead + 1, 100 << 10, http.StatusOK},
		{0, 100 << 10, http.StatusOK}, {0, 300 << 10, http.StatusRequestHeaderFieldsTooLarge},
	} {
		fixture.withMaxHeaderBytes(test.limit)
		conn, err := net.Dial("tcp", address)
		require.NoError(t, err)
		require.Equal(t, test.want, sendHead(t, conn, bufio.NewReader(conn), test.size, ""), "%+v", test)
		require.NoError(t, conn.Close())
	}
}

// Each head on a kept connection has the whole limit of the configuration in force then, and bodies do not count.
func TestHeadLimitOfKeptConnection(t *testing.T) {
	fixture := newFixture(t)
	fixture.addWorker("", func(w http.ResponseWriter, r *http.Request) { setValidHeader(w, r, "stamp") })
	fixture.withMaxHeaderBytes(16 << 10)
	conn, err := net.Dial("tcp", fixture.serveLimited())
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	answers := bufio.NewReader(conn)
	for range 5 {
		require.Equal(t, http.StatusOK, sendHead(t, conn, answers, 15<<10, strings.Repeat("b", 200<<10)))
	}
	fixture.withMaxHeaderBytes(64 << 10)
	require.Equal(t, http.StatusOK, sendHead(t, conn, answers, 1, ""), "its limit was set before the change")
	require.Equal(t, http.StatusOK, sendHead(t, conn, answers, 60<<10, ""))
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, sendHead(t, conn, answers, 120<<10, ""))
	require.Zero(t, sendHead(t, conn, answers, 1, ""), "the connection must be closed")
}
