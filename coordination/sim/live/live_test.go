package live

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	serverIP   = "10.0.0.1"
	clientIP   = "10.0.0.2"
	serverPort = serverIP + ":80"
)

// pair is a machine that serves and one that calls.
type pair struct {
	network        *Network
	server, client *Machine
}

func newPair() *pair {
	network := NewNetwork(1)
	return &pair{network: network, server: network.AddMachine(serverIP), client: network.AddMachine(clientIP)}
}

// serve starts a process that answers each request with its body.
func (p *pair) serve(t *testing.T) {
	listener, err := p.server.Start().Listen(serverPort)
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})}
	go func() { _ = server.Serve(listener) }()
}

// end ends both machines, and with them all connections, and waits in virtual time for what net/http does after that.
func (p *pair) end() {
	p.server.Kill()
	p.client.Kill()
	time.Sleep(time.Minute)
}

func call(ctx context.Context, transport http.RoundTripper, body []byte) ([]byte, error) {
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+serverPort+"/", bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	response, err := transport.RoundTrip(request)
	if err != nil {
		return nil, err
	}
	defer func() { _ = response.Body.Close() }()
	return io.ReadAll(response.Body)
}

func TestHTTPPassesWhole(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		defer p.end()
		p.serve(t)
		transport := &http.Transport{DialContext: p.client.Start().Dial}
		defer transport.CloseIdleConnections()
		for _, size := range []int{0, 1, 3 * windowBytes} {
			body := bytes.Repeat([]byte("x"), size)
			answer, err := call(t.Context(), transport, body)
			require.NoError(t, err)
			require.Len(t, answer, size)
		}
	})
}

func TestACutHoldsBytesUpUntilItHeals(t *testing.T) {
	for _, way := range []direction{{clientIP, serverIP}, {serverIP, clientIP}} {
		synctest.Test(t, func(t *testing.T) {
			p := newPair()
			defer p.end()
			p.serve(t)
			transport := &http.Transport{DialContext: p.client.Start().Dial}
			defer transport.CloseIdleConnections()
			_, err := call(t.Context(), transport, []byte("first"))
			require.NoError(t, err)
			const cutFor = 20 * time.Second
			p.network.Cut(way.from, way.to)
			time.AfterFunc(cutFor, func() { p.network.Heal(way.from, way.to) })
			begun := time.Now()
			answer, err := call(t.Context(), transport, []byte("second"))
			require.NoError(t, err)
			require.Equal(t, "second", string(answer))
			require.GreaterOrEqual(t, time.Since(begun), cutFor)
		})
	}
}

func TestAKilledProcessResetsAndADarkMachineIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		defer p.end()
		p.serve(t)
		client := p.client.Start()
		conn, err := client.Dial(t.Context(), "tcp", serverPort)
		require.NoError(t, err)
		p.server.Kill()
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = client.Dial(t.Context(), "tcp", serverPort)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)

		p.serve(t)
		conn, err = client.Dial(t.Context(), "tcp", serverPort)
		require.NoError(t, err)
		p.server.LosePower()
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = conn.Read(make([]byte, 1))
		var timeout net.Error
		require.ErrorAs(t, err, &timeout)
		require.True(t, timeout.Timeout(), "nothing was said")
		short, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = client.Dial(short, "tcp", serverPort)
		require.ErrorIs(t, err, context.DeadlineExceeded)

		p.serve(t)
		require.NoError(t, conn.SetReadDeadline(time.Time{}))
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET, "the machine is back and knows nothing of it")
	})
}

func TestADiskBelongsToOneProcess(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		machine := NewNetwork(1).AddMachine(serverIP)
		first := machine.Start().Files()
		require.NoError(t, first.Write("a", []byte("one")))
		require.NoError(t, first.Sync())
		machine.Disk().Stall()
		stalled := make(chan error)
		go func() { stalled <- first.Write("a", []byte("two")) }()
		synctest.Wait()
		machine.Kill()
		require.ErrorIs(t, <-stalled, errEnded)
		machine.Disk().Resume()

		second := machine.Start().Files()
		require.Error(t, first.Sync(), "its process has ended")
		machine.Disk().SetFull(true)
		require.ErrorIs(t, second.Write("b", []byte("long")), syscall.ENOSPC)
		machine.Disk().SetFull(false)
		machine.Wipe()
		names, err := machine.Start().Files().List()
		require.NoError(t, err)
		require.Empty(t, names)
		machine.Kill()
	})
}
