package jobs

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/engine"
	"weldscale/internal/pool"
)

// A job can be handed over at every point of the worker's response, and the client gets the answer once, from the
// other process. A job whose request has not been written in full or that has ended is not handed over.
func TestHandoverAtEveryPointOfTheResponse(t *testing.T) {
	const request = "POST /p/k?q=1 HTTP/1.1\r\nHost: h\r\nX-Call-Id: one\r\nX-Call-Class: send\r\nX-Budget: 9000m\r\nContent-Length: 2\r\n\r\nhi"
	chunk := func(s string) string { return fmt.Sprintf("%x\r\n%s\r\n", len(s), s) }
	answer := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk(`{"id":"one","state":"sta`) + chunk("rted\"}\n") +
		chunk("{\"id\":\"one\",\"state\":\"done\",\"result\":\"made\"}\n") + "0\r\n\r\n"
	for cut := range len(answer) - len("0\r\n\r\n") {
		old, next := newHarness(t), newHarness(t)
		old.workers.RetainResponses = true
		worker := &fakeConn{writeAtOnce: true}
		old.dialer.conn = worker
		c := old.client()
		c.handler.Data([]byte(request + "POST /next"))
		require.Len(t, old.pushed, 1)
		handedOver := 0
		give := func(p *HandoverJob, client, w Conn) bool {
			handedOver++
			text, err := json.Marshal(p)
			require.NoError(t, err)
			received := new(HandoverJob)
			require.NoError(t, json.Unmarshal(text, received))
			newClient, newWorker := &fakeConn{writeAtOnce: true}, &fakeConn{writeAtOnce: true}
			next.server.Main.Workers = next.workers
			next.server.Adopt(next.server.Main, received, newClient, newWorker)
			require.Equal(t, 1, next.engine.OpenRequests())
			newWorker.handler.Data([]byte(answer[cut:]))
			assert.Contains(t, newClient.out, "HTTP/1.1 200 OK", "cut at %d", cut)
			assert.Contains(t, newClient.out, "\r\n\r\nmade", "cut at %d", cut)
			newClient.handler.Data([]byte(" HTTP/1.1\r\nHost: h\r\nX-Call-Id: two\r\nX-Call-Class: view\r\nX-Budget: 9000m\r\nContent-Length: 0\r\n\r\n"))
			assert.Len(t, next.pushed, 1, "the client's pipelined data is handed over")
			return true
		}
		old.server.HandOverJobs(give)
		require.Zero(t, handedOver, "an attempt that is not written is not handed over")
		old.workers.Push(old.pushed[0])
		worker.handler.Data([]byte(answer[:cut]))
		if c.out != "" {
			old.server.HandOverJobs(give)
			require.Zero(t, handedOver, "an answered request is not handed over")
			continue
		}
		old.server.HandOverJobs(give)
		require.Equal(t, 1, handedOver, "cut at %d", cut)
		assert.Zero(t, old.engine.OpenRequests())
		assert.True(t, worker.closed && c.closed, "this process's descriptors")
		assert.Empty(t, c.out)
		assert.Equal(t, []int{1, 1, 0}, []int{old.engine.Counts.Accepted, old.engine.Counts.HandedOver, old.engine.Counts.Hangups})
	}
}

// An update relayed by another process is applied unless the local list is newer. An older answer to a call that
// began before the update does not revert it.
func TestRelayedListUpdates(t *testing.T) {
	harness := newHarness(t)
	readyWorkers := func() (ready int) {
		harness.engine.EachReadyAddr(func(string) { ready++ })
		return ready
	}
	harness.discovery.Watch(true)
	require.NoError(t, harness.discovery.ApplyRelayed(2, []byte(`{"endpoints":[{"name":"a","address":"x:1","status":"DRAINING"}]}`)))
	assert.Equal(t, 1, readyWorkers(), "older than the local list")
	require.NoError(t, harness.discovery.ApplyRelayed(9, []byte(`{"index":9,"endpoints":[{"name":"a","address":"x:1","zone":"here","status":"DRAINING"}]}`)))
	assert.Zero(t, readyWorkers())
	harness.discovery.ApplyRelayed(9, []byte(`{"endpoints":[{"name":"a","address":"x:1","status":"SERVING"}]}`))
	harness.discovery.relayedAt = harness.engine.Now() + 1 // within the same microsecond
	body := `{"index":4,"snapshot":true,"endpoints":[{"name":"a","address":"x:1","zone":"here","type":"box","status":"SERVING"}]}`
	harness.dialer.conn.handler.Data([]byte("HTTP/1.1 200 OK\r\nContent-Length: " + formatInt(int64(len(body))) + "\r\n\r\n" + body))
	assert.Zero(t, readyWorkers(), "older than the relayed update")
	assert.EqualValues(t, 9, harness.discovery.Index())
	assert.Error(t, harness.discovery.ApplyRelayed(10, []byte(`{`)))
	require.NoError(t, harness.discovery.ApplyRelayed(10, []byte(`{"snapshot":true,"endpoints":[{"name":"b","address":"y:1","zone":"here","status":"SERVING"}]}`)))
	assert.Equal(t, 1, readyWorkers())
}

// A job adopted from another process is booked in its pool and released once. It was once released without having
// been booked, which freed capacity that other jobs were using.
func TestAdoptedJobIsBooked(t *testing.T) {
	harness := newHarness(t)
	p := pool.New("", pool.Limits{FleetInFlight: 9}, make([]pool.Limits, 2), nil, nil)
	open := 0
	p.TakeFleet = func(k pool.FleetKind, _ int) bool { open++; return true }
	p.ReturnFleet = func(int) { open-- }
	harness.server.Main.Pool, harness.server.Main.Workers = p, harness.workers
	for _, ending := range []string{"answered", "left"} {
		client, worker := &fakeConn{writeAtOnce: true}, &fakeConn{writeAtOnce: true}
		job := &HandoverJob{Class: "send", Method: "POST", Target: "/p", ID: ending, Body: []byte("hi"), KeepAlive: true,
			Job: engine.HandoverRequest{GiveUpAt: harness.engine.Now() + 9e6, Came: harness.engine.Now(), Tried: []engine.HandoverAttempt{{Worker: "a", Addr: "x:1", Sent: harness.engine.Now(), Out: true, MayHaveRun: true}}}}
		harness.server.Adopt(harness.server.Main, job, client, worker)
		assert.Equal(t, []int{1, 1}, []int{p.InFlight(), open}, ending)
		if ending == "left" {
			client.handler.Closed()
		} else {
			line := fmt.Sprintf("{\"id\":%q,\"state\":\"done\",\"result\":\"made\"}\n", ending)
			worker.handler.Data([]byte(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(line), line)))
			assert.Contains(t, client.out, "200 OK")
		}
		assert.Equal(t, []int{0, 0}, []int{p.InFlight(), open}, ending)
	}
}
