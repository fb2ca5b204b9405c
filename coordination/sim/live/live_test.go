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

// pair is a network of a server and a client.
type pair struct {
	network        *Network
	server, client *Machine
}

func newPair() *pair {
	network := NewNetwork(1)
	return &pair{network: network, server: network.AddMachine(serverIP), client: network.AddMachine(clientIP)}
}

// serve starts a process on the server that answers each request with the request's body.
func (p *pair) serve(t *testing.T) {
	listener, err := p.server.Start().Listen(serverPort)
	require.NoError(t, err)
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(w, r.Body)
	})}
	go func() { _ = server.Serve(listener) }()
}

// stop ends both processes and their connections, and waits in virtual time until the goroutines of net/http have returned.
func (p *pair) stop() {
	p.server.Kill()
	p.client.Kill()
	time.Sleep(time.Minute)
}

// call sends a request to the server and returns the body of the answer.
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

func TestHTTPBodiesArriveComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := newPair()
		defer p.stop()
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

func TestCutDelaysBytesUntilHealed(t *testing.T) {
	for _, path := range []direction{{clientIP, serverIP}, {serverIP, clientIP}} {
		synctest.Test(t, func(t *testing.T) {
			p := newPair()
			defer p.stop()
			p.serve(t)
			transport := &http.Transport{DialContext: p.client.Start().Dial}
			defer transport.CloseIdleConnections()
			_, err := call(t.Context(), transport, []byte("first"))
			require.NoError(t, err)
			const cutDuration = 20 * time.Second
			p.network.Cut(path.from, path.to)
			time.AfterFunc(cutDuration, func() { p.network.Heal(path.from, path.to) })
			start := time.Now()
			answer, err := call(t.Context(), transport, []byte("second"))
			require.NoError(t, err)
			require.Equal(t, "second", string(answer))
			require.GreaterOrEqual(t, time.Since(start), cutDuration)
		})
	}
}

func TestKillResetsConnectionsAndPowerLossIsSilent(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pair := newPair()
		defer pair.stop()
		pair.serve(t)
		client := pair.client.Start()
		conn, err := client.Dial(t.Context(), "tcp", serverPort)
		require.NoError(t, err)
		pair.server.Kill()
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET)
		_, err = client.Dial(t.Context(), "tcp", serverPort)
		require.ErrorIs(t, err, syscall.ECONNREFUSED)

		pair.serve(t)
		conn, err = client.Dial(t.Context(), "tcp", serverPort)
		require.NoError(t, err)
		pair.server.LosePower()
		require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Minute)))
		_, err = conn.Read(make([]byte, 1))
		var timeout net.Error
		require.ErrorAs(t, err, &timeout)
		require.True(t, timeout.Timeout(), "no reset was received")
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		_, err = client.Dial(ctx, "tcp", serverPort)
		require.ErrorIs(t, err, context.DeadlineExceeded)

		pair.serve(t)
		require.NoError(t, conn.SetReadDeadline(time.Time{}))
		_, err = conn.Read(make([]byte, 1))
		require.ErrorIs(t, err, syscall.ECONNRESET, "the restarted machine does not know the connection")
	})
}

func TestDiskServesOnlyTheRunningProcess(t *testing.T) {
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
		require.Error(t, first.Sync(), "the process of these files has ended")
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
