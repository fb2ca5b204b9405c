package main

import (
	"context"
	"io"
	"net"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/pace"
	"weldscale/internal/standin"
)

// counts reads the account of slow peers on the loop.
func (b *bench) counts() (c pace.Counts) {
	b.s.loop.Do(func() { c = b.s.server.Pace.Counts() })
	return c
}

// Slow senders and readers are cut, whatever their job; honest lines, one of them known to be slow, are not, and a
// request whose answer nobody took is not tried again.
func TestSlowPeers(t *testing.T) {
	f := startFleet(t, 4, standin.WorkerConfig{Queue: 8, TellsStart: true})
	b := startBenchWith(t, f.Entries(), func(c *config) {
		c.file.SlowPeers.Links = []pace.Link{{Name: "murun", Prefixes: []netip.Prefix{netip.MustParsePrefix("127.0.3.0/24")},
			In: 64, Out: 64}}
	})
	ctx, stop := context.WithTimeout(t.Context(), patience)
	defer stop()
	kind := func(class string, body, size int) standin.JobKind {
		return standin.JobKind{Class: class, Budget: 9 * time.Second, Body: body, Task: standin.Task{Size: size}}
	}
	crowds := []standin.SlowClients{
		{Name: "silent", From: "127.0.9.1", Peers: 20, Kind: kind("send", 5000, 0), Send: 20},
		{Name: "deaf", From: "127.0.9.2", Peers: 20, Kind: kind("send", 10, 250000), Read: 100},
		{Name: "branch", From: "127.0.4.1", Peers: 3, Kind: kind("view", 30000, 30000), Send: 20000, Read: 20000, Once: true},
		{Name: "known", From: "127.0.3.1", Peers: 3, Kind: kind("view", 2000, 2000), Send: 1000, Read: 1000, Once: true},
		{Name: "pauses", From: "127.0.5.1", Peers: 3, Kind: kind("view", 10, 250000), Read: 400000, Pause: time.Second / 2, Once: true},
	}
	ends := make([]*standin.SlowTally, len(crowds))
	var honest, slow sync.WaitGroup
	for i, c := range crowds {
		c.Target = b.addr
		group := &slow
		if c.Once {
			group = &honest
		}
		group.Go(func() { ends[i] = c.Run(ctx) })
	}
	cut := func() int { c := b.counts(); return c.CutIn + c.CutOut + c.CutCrowd }
	require.Eventually(t, func() bool { return cut() == 40 }, patience, 10*time.Millisecond)
	honest.Wait()
	stop() // the system may yet hand the deaf what it holds
	slow.Wait()
	for i, c := range crowds {
		if i < 2 {
			assert.Zero(t, ends[i].Served, "%s: %v", c.Name, ends[i])
			continue
		}
		assert.Equal(t, c.Peers, ends[i].Served, "%s: %v", c.Name, ends[i])
	}
	assert.Equal(t, 40, cut())
	assert.Positive(t, b.counts().CutOut)
	var ids []string
	for _, w := range f.Workers {
		ids = append(ids, w.IDs()...)
	}
	slices.Sort(ids)
	assert.Len(t, ids, 29, "20 deaf and 9 honest ones")
	assert.Len(t, slices.Compact(ids), 29, "none runs twice")
	require.Eventually(t, func() bool { return b.counts().Bytes == 0 }, patience, time.Millisecond, "nothing of them stays")
}

// A scheduler that stops waits for answers that are being taken, though slowly.
func TestStopWhileAnAnswerIsTakenSlowly(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	b := startBench(t, w.Entry("SERVING"))
	c, err := (&net.Dialer{}).Dial("tcp", b.addr)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	const size = 250000
	_, err = io.WriteString(c, "POST /api/1?size=250000 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\nX-Call-Class: send\r\nX-Budget: 9000m\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	unsent := func() (n int) { b.s.loop.Do(func() { n = b.s.driver.Unsent() }); return n }
	require.Eventually(t, func() bool { return unsent() == 1 }, patience, time.Millisecond, "a part waits here")
	b.s.loop.Post(b.s.stop)
	require.Eventually(t, func() (closed bool) { b.s.loop.Do(func() { closed = b.s.listenerClosed }); return closed }, patience, time.Millisecond)
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Greater(t, len(got), size)
	<-b.end
}
