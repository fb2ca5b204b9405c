package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	operator "weldscale/internal/config"
	"weldscale/internal/standin"
)

// operatorFile parses the text of an operator's file.
func operatorFile(t *testing.T, text string) operator.File {
	path := filepath.Join(t.TempDir(), "weldscale.hcl")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	f, err := operator.Read(path, 64<<20)
	require.NoError(t, err)
	return f
}

// serviceBlock returns the service block of the host NAME.example.org with these workers and the further lines more.
func serviceBlock(name string, more string, workers ...*standin.Worker) string {
	list := ""
	for _, w := range workers {
		list += fmt.Sprintf("    worker %q { address = %q }\n", w.Name(), w.Addr())
	}
	return fmt.Sprintf("service %q {\n  match { host = \"%s.example.org\" }\n  workers {\n%s  }\n  class \"view\" { effect = \"safe\" }\n"+
		"  class \"send\" { effect = \"once\" }\n%s}\n", name, name, list, more)
}

// askService sends a request with this Host header and returns the status, the start of the body and the Retry-After header.
func (ts *testScheduler) askService(host, path, id, class string, budget time.Duration) (int, string, string) {
	r, err := http.NewRequest("POST", "http://"+ts.addr+path, strings.NewReader("sheet"))
	require.NoError(ts.t, err)
	r.Host = host
	r.Header.Set("X-Call-Id", id)
	r.Header.Set("X-Call-Class", class)
	r.Header.Set("X-Budget", fmt.Sprintf("%dm", budget.Milliseconds()))
	resp, err := (&http.Client{Timeout: testTimeout}).Do(r)
	if !assert.NoError(ts.t, err) {
		return 0, "", ""
	}
	defer resp.Body.Close()
	body := make([]byte, 100)
	n, _ := resp.Body.Read(body)
	return resp.StatusCode, string(body[:n]), resp.Header.Get("Retry-After")
}

// applyFile applies an operator's file, as a reload does.
func (ts *testScheduler) applyFile(f operator.File) (err error) {
	ts.scheduler.loop.Do(func() { err = ts.scheduler.applyServices(f) })
	return err
}

// A request goes only to the workers of its service. One that matches no route is refused with an error that says so.
func TestServices(t *testing.T) {
	main, shop, proofs := startWorker(t, standin.WorkerConfig{Name: "m"}), startWorker(t, standin.WorkerConfig{Name: "w"}),
		startWorker(t, standin.WorkerConfig{Name: "w"})
	f := operatorFile(t, "platform {\n match { host = \"app.svc\" }\n}\n"+serviceBlock("shop", "  limits { rate = 0.01 }\n", shop)+
		serviceBlock("proofs", "", proofs))
	ts := startSchedulerWith(t, []standin.Entry{main.Entry("SERVING")}, func(c *config) { c.file = f })
	for i, c := range []struct {
		host, path, class string
		status            int
		wantBody          string
	}{
		{"app.svc", "/api/1", "view", 200, "made of 0"},
		{"shop.example.org:80", "/api/1", "view", 200, "made of 1"},
		{"shop.example.org", "/api/1", "view", 429, "too many a second"},
		{"proofs.example.org", "/api/1", "view", 200, "made of 3"},
		{"proofs.example.org", "/api/1", "other", 400, "unknown class"},
		{"elsewhere.example.org", "/api/1", "view", 421, "no service for this host"},
		{"", "/api/1", "view", 421, "no service for this host"}, // the Host header is the address of the scheduler
	} {
		status, body, retryAfter := ts.askService(c.host, c.path, fmt.Sprint(i), c.class, testTimeout)
		assert.Equal(t, c.status, status, "%+v", c)
		assert.Contains(t, body, c.wantBody, "%+v", c)
		assert.Equal(t, status == 429, retryAfter != "", "%+v: %s", c, retryAfter)
	}
	assert.Equal(t, []string{"0"}, main.IDs())
	assert.Equal(t, []string{"1"}, shop.IDs())
	assert.Equal(t, []string{"3"}, proofs.IDs())
	c, err := net.Dial("tcp", ts.addr)
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /api/1 HTTP/1.1\r\nX-Call-Id: x\r\nX-Call-Class: view\r\nX-Budget: 9m\r\nContent-Length: 0\r\n\r\n")
	head := make([]byte, 12)
	_, err = c.Read(head)
	require.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 400", string(head), "a request without Host")
	var stats string
	ts.scheduler.loop.Do(func() { stats = ts.scheduler.server.Stats() })
	assert.Contains(t, stats, "\nservice=shop open=0 begun=1 over_rate=1")
}

// The worker of one service has ended, that of another never answers. Both services answer their own requests with errors, and
// a third service serves all of its requests.
func TestServicesWithoutWorkingWorkers(t *testing.T) {
	gone, well := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "b"})
	silent := startWorker(t, standin.WorkerConfig{Name: "c"})
	ts := startSchedulerWith(t, nil, func(c *config) {
		c.file = operatorFile(t, serviceBlock("gone", "", gone)+serviceBlock("silent", "", silent)+serviceBlock("well", "", well))
	})
	gone.Close()
	silent.Silence()
	var requests sync.WaitGroup
	for i := range 30 {
		for _, host := range []string{"gone", "silent"} {
			requests.Go(func() {
				status, _, _ := ts.askService(host+".example.org", "/api/1", fmt.Sprint(host, i), "send", 2*time.Second)
				assert.Contains(t, []int{500, 503}, status)
			})
		}
		requests.Go(func() {
			status, _, _ := ts.askService("well.example.org", "/api/1", fmt.Sprint("well", i), "send", testTimeout)
			assert.Equal(t, 200, status)
		})
	}
	requests.Wait()
	assert.Len(t, well.IDs(), 30)
	ts.scheduler.loop.Do(func() { assert.Zero(t, ts.scheduler.openRequests()) })
}

// Services are added, changed and removed while a request is open. It is finished in the service that accepted it, later
// requests use the new routing table, and an invalid file changes nothing.
func TestReloadOfServices(t *testing.T) {
	release := make(chan struct{})
	holding := standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
		if r.Header.Get("X-Call-Id") == "held" {
			<-release
		}
		standin.WriteAnswer(r, c)
	}}
	old, other, third := startWorker(t, holding), startWorker(t, standin.WorkerConfig{Name: "z"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	ts := startSchedulerWith(t, nil, func(c *config) { c.file = operatorFile(t, serviceBlock("shop", "", old)) })
	answered := make(chan int)
	go func() {
		status, _, _ := ts.askService("shop.example.org", "/api/1", "held", "send", testTimeout)
		answered <- status
	}()
	require.Eventually(t, func() bool { return slices.Contains(old.IDs(), "held") }, testTimeout, time.Millisecond)
	invalid := operatorFile(t, serviceBlock("shop", "", other))
	invalid.Services[0].Classes[0].Terms.Deadline = 0
	assert.ErrorContains(t, ts.applyFile(invalid), "deadline")
	status, _, _ := ts.askService("shop.example.org", "/api/1", "1", "view", testTimeout)
	assert.Equal(t, 200, status)
	assert.Contains(t, old.IDs(), "1")

	// With other workers and unchanged classes the same service continues.
	require.NoError(t, ts.applyFile(operatorFile(t, serviceBlock("shop", "", other))))
	status, _, _ = ts.askService("shop.example.org", "/api/1", "2", "view", testTimeout)
	assert.Equal(t, 200, status)
	assert.Equal(t, []string{"2"}, other.IDs())

	// Other classes make another service of that name. Then the service is removed.
	require.NoError(t, ts.applyFile(operatorFile(t, serviceBlock("shop", "class \"more\" { effect = \"safe\" }\n", third))))
	status, _, _ = ts.askService("shop.example.org", "/api/1", "3", "more", testTimeout)
	assert.Equal(t, 200, status)
	assert.Equal(t, []string{"3"}, third.IDs())
	require.NoError(t, ts.applyFile(operatorFile(t, serviceBlock("desks", "", other))))
	status, _, _ = ts.askService("shop.example.org", "/api/1", "4", "view", testTimeout)
	assert.Equal(t, 421, status)
	ts.scheduler.loop.Do(func() { assert.Equal(t, 1, ts.scheduler.openRequests()) })
	close(release)
	assert.Equal(t, 200, <-answered)
	require.Eventually(t, func() (done bool) {
		ts.scheduler.loop.Do(func() { done = len(ts.scheduler.draining) == 0 })
		return done
	}, testTimeout, 10*time.Millisecond)
}

// Changes of a worker file are followed. An incomplete file, or one with a worker without address, changes nothing.
func TestWorkerFile(t *testing.T) {
	workerA, workerZ := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	path := filepath.Join(t.TempDir(), "workers.json")
	write := func(text string) {
		require.NoError(t, os.WriteFile(path+".new", []byte(text), 0o600))
		require.NoError(t, os.Rename(path+".new", path))
	}
	list := func(w *standin.Worker, status string) string {
		return fmt.Sprintf(`{"endpoints":[{"name":%q,"address":%q,"status":%q}]}`, w.Name(), w.Addr(), status)
	}
	write(list(workerA, "SERVING"))
	text := strings.Replace(serviceBlock("shop", ""), "workers {\n", fmt.Sprintf("workers {\n file = %q\n", path), 1)
	ts := startSchedulerWith(t, nil, func(c *config) { c.file = operatorFile(t, text) })
	readyAddrs := func() (addrs []string) {
		ts.scheduler.loop.Do(func() {
			ts.scheduler.services["shop"].engine.EachReadyAddr(func(addr string) { addrs = append(addrs, addr) })
		})
		return addrs
	}
	require.Eventually(t, func() bool { return slices.Equal(readyAddrs(), []string{workerA.Addr()}) }, testTimeout, time.Millisecond)
	write(`{"endpoints":[`)
	write(`{"endpoints":[{"name":"z"}]}`)
	status, _, _ := ts.askService("shop.example.org", "/api/1", "1", "view", testTimeout)
	assert.Equal(t, 200, status)
	write(list(workerZ, "SERVING"))
	require.Eventually(t, func() bool { return slices.Equal(readyAddrs(), []string{workerZ.Addr()}) }, testTimeout, time.Millisecond)
	write(list(workerZ, "DRAINING"))
	require.Eventually(t, func() bool { return len(readyAddrs()) == 0 }, testTimeout, time.Millisecond)
	f := operatorFile(t, strings.Replace(text, "workers.json", "nowhere.json", 1))
	assert.ErrorContains(t, ts.applyFile(f), "no such file")
}
