package main

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/mgmt"
	"weldscale/internal/standin"
)

func withSecond(c *config) { c.Mgmt = "127.0.0.1:0" }

// operator makes a call of the second address.
func (b *bench) operator(method, path string) (int, string) {
	client := &http.Client{Timeout: patience, Transport: &http.Transport{DisableKeepAlives: true}}
	req, err := http.NewRequest(method, "http://"+b.s.management.Addr()+path, nil)
	require.NoError(b.t, err)
	resp, err := client.Do(req)
	require.NoError(b.t, err)
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	require.NoError(b.t, err)
	return resp.StatusCode, string(text)
}

func (b *bench) figures() (f mgmt.Figures) {
	status, text := b.operator("GET", "/control/counters")
	require.Equal(b.t, 200, status)
	require.NoError(b.t, json.Unmarshal([]byte(text), &f))
	return f
}

// A worker taken out by hand gets nothing, whatever the list says, until it is put back; and all of it can be read.
func TestWorkerTakenOutByHand(t *testing.T) {
	a, w := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "w"})
	b := startBenchWith(t, []standin.Entry{a.Entry("SERVING"), w.Entry("SERVING")}, withSecond)
	status, _ := b.operator("GET", "/control/ready")
	assert.Equal(t, 200, status)
	for _, path := range []string{"/control/workers/nobody/offline", "/control/workers/nobody/online", "/control/else"} {
		status, _ := b.operator("POST", path)
		assert.Equal(t, 404, status, path)
	}
	for range 2 { // twice is once
		status, _ := b.operator("POST", "/control/workers/a/offline")
		require.Equal(t, 200, status)
	}
	b.discovery.Set(standin.Entry{Name: "a", Status: "DELETED"})
	b.discovery.Set(a.Entry("SERVING")) // as it says while the worker is restarted
	b.discovery.Set(standin.Entry{Name: "last", Address: "127.0.0.1:1", Status: "DRAINING"})
	require.Eventually(t, func() bool { return b.figures().WorkersKnown == 3 }, patience, time.Millisecond)
	for i := range 20 {
		status, _ := b.ask("out"+itoa(i), "view", patience)
		assert.Equal(t, 200, status)
	}
	assert.Empty(t, a.IDs())
	f := b.figures()
	assert.Equal(t, map[string]int{"view": 20, "send": 0}, f.Served)
	assert.Equal(t, []int{20, 0, 3, 1}, []int{f.Attempts, f.InFlight, f.WorkersKnown, f.WorkersExcluded})

	status, _ = b.operator("POST", "/control/workers/a/online")
	require.Equal(t, 200, status)
	for i := 0; len(a.IDs()) == 0 && i < 200; i++ {
		status, _ := b.ask("back"+itoa(i), "view", patience)
		assert.Equal(t, 200, status)
	}
	assert.NotEmpty(t, a.IDs())
	assert.Zero(t, b.figures().WorkersExcluded)
	b.s.loop.Post(b.s.stop)
	require.Eventually(t, func() bool { status, _ := b.operator("GET", "/control/ready"); return status == 503 }, patience, time.Millisecond)
}

func itoa(n int) string { return string(rune('a'+n/26)) + string(rune('a'+n%26)) }

// The second address answers beside callers that say nothing or half a call, and while the loop has a long queue.
func TestSecondAddressUnderLoad(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, withSecond)
	for i := range 3 * 16 {
		c, err := net.Dial("tcp", b.s.management.Addr())
		require.NoError(t, err)
		defer c.Close()
		if i%2 == 0 {
			_, _ = c.Write([]byte("GET /control/re"))
		}
	}
	status, _ := b.operator("GET", "/control/ready")
	assert.Equal(t, 200, status)

	// While the loop is at a piece of work a queue forms; the call comes right after that piece.
	begun, release, order := make(chan struct{}), make(chan struct{}), make(chan string, 2000)
	b.s.loop.Post(func() { close(begun); <-release })
	<-begun
	for range 1000 {
		b.s.loop.Post(func() { order <- "queue" })
	}
	called := make(chan bool)
	go func() { called <- b.s.loop.DoUrgent(patience, func() { order <- "call" }) }()
	require.Eventually(t, func() bool { return b.s.loop.UrgentQueueLen() == 1 }, patience, time.Millisecond)
	close(release)
	assert.True(t, <-called)
	assert.Equal(t, "call", <-order)

	// What can't be done in time is not done later either.
	begun, release = make(chan struct{}), make(chan struct{})
	b.s.loop.Post(func() { close(begun); <-release })
	<-begun
	status, _ = b.operator("POST", "/control/workers/a/offline")
	assert.Equal(t, 503, status)
	close(release)
	assert.Zero(t, b.figures().WorkersExcluded)
}

// Every request taken is served, refused, failed, left or in flight, whatever became of it.
func TestFiguresAddUp(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
		switch id := r.Header.Get("X-Call-Id"); {
		case strings.HasPrefix(id, "fail"):
			_, _ = c.Write([]byte("HTTP/1.1 500 x\r\nContent-Length: 0\r\n\r\n"))
		case strings.HasPrefix(id, "stay"):
			<-release
			standin.WriteAnswer(r, c)
		default:
			standin.WriteAnswer(r, c)
		}
	}})
	b := startBenchWith(t, []standin.Entry{w.Entry("SERVING")}, withSecond)
	stayed := make(chan int)
	defer func() { close(release); <-stayed }()
	b.ask("ok", "view", patience)
	go func() { status, _ := b.ask("stay", "send", patience); stayed <- status }()
	require.Eventually(t, func() bool { return slices.Contains(w.IDs(), "stay") }, patience, time.Millisecond)
	gone, err := net.Dial("tcp", b.addr)
	require.NoError(t, err)
	_, _ = gone.Write([]byte("POST /x HTTP/1.1\r\nHost: x\r\nX-Call-Id: stay gone\r\nX-Call-Class: send\r\nX-Budget: 9000m\r\nContent-Length: 0\r\n\r\n"))
	require.Eventually(t, func() bool { return slices.Contains(w.IDs(), "stay gone") }, patience, time.Millisecond)
	gone.Close()
	b.ask("bad", "no such class", patience)
	b.ask("late", "view", time.Millisecond)
	status, _ := b.ask("fail", "send", patience)
	assert.Equal(t, 500, status)
	require.Eventually(t, func() bool { return b.figures().InFlight == 1 }, patience, time.Millisecond)
	f := b.figures()
	assert.Equal(t, []int{1, 0, 1, 0, 0, 1}, []int{f.Served["view"], f.Served["send"], f.Refused["view"], f.Refused["send"], f.Failed["view"], f.Failed["send"]})
	assert.Equal(t, 4, f.Attempts)
	b.s.loop.Do(func() {
		c := &b.s.engine.Counts
		assert.Equal(t, c.Accepted, c.Served+c.Refused+c.Failed+c.Hangups+b.s.engine.OpenRequests())
	})
}
