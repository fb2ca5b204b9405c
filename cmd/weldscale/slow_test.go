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

// slowPeerCounts reads the counts of slow peers on the loop.
func (ts *testScheduler) slowPeerCounts() (c pace.Counts) {
	ts.scheduler.loop.Do(func() { c = ts.scheduler.server.Pace.Counts() })
	return c
}

// Peers that send or read too slowly are cut, whatever their job. Peers that keep the pace are not, nor those on a link that is
// configured as slow. A request whose answer was not read is not sent to a worker again.
func TestSlowPeers(t *testing.T) {
	fleet := startWorkerFleet(t, 4, standin.WorkerConfig{Queue: 8, TellsStart: true})
	ts := startSchedulerWith(t, fleet.Entries(), func(c *config) {
		c.file.SlowPeers.Links = []pace.Link{{Name: "murun", Prefixes: []netip.Prefix{netip.MustParsePrefix("127.0.3.0/24")},
			In: 64, Out: 64}}
	})
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
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
	tallies := make([]*standin.SlowTally, len(crowds))
	var onPace, slow sync.WaitGroup
	for i, c := range crowds {
		c.Target = ts.addr
		group := &slow
		if c.Once {
			group = &onPace
		}
		group.Go(func() { tallies[i] = c.Run(ctx) })
	}
	cut := func() int { c := ts.slowPeerCounts(); return c.CutIn + c.CutOut + c.CutCrowd }
	require.Eventually(t, func() bool { return cut() == 40 }, testTimeout, 10*time.Millisecond)
	onPace.Wait()
	cancel() // the kernel may still deliver what it has buffered for the slow readers
	slow.Wait()
	for i, c := range crowds {
		if i < 2 {
			assert.Zero(t, tallies[i].Served, "%s: %v", c.Name, tallies[i])
			continue
		}
		assert.Equal(t, c.Peers, tallies[i].Served, "%s: %v", c.Name, tallies[i])
	}
	assert.Equal(t, 40, cut())
	assert.Positive(t, ts.slowPeerCounts().CutOut)
	var ids []string
	for _, w := range fleet.Workers {
		ids = append(ids, w.IDs()...)
	}
	slices.Sort(ids)
	assert.Len(t, ids, 29, "20 slow readers and 9 that keep the pace")
	assert.Len(t, slices.Compact(ids), 29, "no job runs twice")
	require.Eventually(t, func() bool { return ts.slowPeerCounts().Bytes == 0 }, testTimeout, time.Millisecond, "no bytes stay counted")
}

// A scheduler in shutdown waits for clients that read their answers, even slowly.
func TestStopWhileAnAnswerIsTakenSlowly(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	ts := startScheduler(t, w.Entry("SERVING"))
	c, err := (&net.Dialer{}).Dial("tcp", ts.addr)
	require.NoError(t, err)
	defer c.Close()
	require.NoError(t, c.(*net.TCPConn).SetReadBuffer(4<<10))
	const size = 200000 // the queued part has to be accepted by the system within unsentPeriod
	_, err = io.WriteString(c, "POST /api/1?size=200000 HTTP/1.1\r\nHost: a\r\nX-Call-Id: 1\r\nX-Call-Class: send\r\nX-Budget: 9000m\r\nConnection: close\r\n\r\n")
	require.NoError(t, err)
	unsent := func() (n int) { ts.scheduler.loop.Do(func() { n = ts.scheduler.driver.Unsent() }); return n }
	require.Eventually(t, func() bool { return unsent() == 1 }, testTimeout, time.Millisecond, "part of the answer is buffered here")
	ts.scheduler.loop.Post(ts.scheduler.stop)
	require.Eventually(t, func() (closed bool) {
		ts.scheduler.loop.Do(func() { closed = ts.scheduler.listenerClosed })
		return closed
	}, testTimeout, time.Millisecond)
	require.NoError(t, c.SetReadDeadline(time.Now().Add(testTimeout)))
	got, err := io.ReadAll(c)
	require.NoError(t, err)
	assert.Greater(t, len(got), size)
	<-ts.ended
}
