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

// readFile reads an operator's file from its text.
func readFile(t *testing.T, text string) operator.File {
	path := filepath.Join(t.TempDir(), "weldscale.hcl")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	f, err := operator.Read(path, 64<<20)
	require.NoError(t, err)
	return f
}

// block is a service block for a host with these workers.
func block(name string, more string, workers ...*standin.Worker) string {
	list := ""
	for _, w := range workers {
		list += fmt.Sprintf("    worker %q { address = %q }\n", w.Name(), w.Addr())
	}
	return fmt.Sprintf("service %q {\n  match { host = \"%s.example.org\" }\n  workers {\n%s  }\n  class \"view\" { effect = \"safe\" }\n"+
		"  class \"send\" { effect = \"once\" }\n%s}\n", name, name, list, more)
}

// to asks for a job of a service and returns status, body and the advised wait.
func (b *bench) to(host, path, id, class string, budget time.Duration) (int, string, string) {
	r, err := http.NewRequest("POST", "http://"+b.addr+path, strings.NewReader("sheet"))
	require.NoError(b.t, err)
	r.Host = host
	r.Header.Set("X-Call-Id", id)
	r.Header.Set("X-Call-Class", class)
	r.Header.Set("X-Budget", fmt.Sprintf("%dm", budget.Milliseconds()))
	resp, err := (&http.Client{Timeout: patience}).Do(r)
	if !assert.NoError(b.t, err) {
		return 0, "", ""
	}
	defer resp.Body.Close()
	body := make([]byte, 100)
	n, _ := resp.Body.Read(body)
	return resp.StatusCode, string(body[:n]), resp.Header.Get("Retry-After")
}

// apply puts a file in force, as a reload does.
func (b *bench) apply(f operator.File) (err error) {
	b.s.loop.Do(func() { err = b.s.applyServices(f) })
	return err
}

// A request goes to the workers of its service and no others; one that matches no route gets a clear refusal.
func TestServices(t *testing.T) {
	main, shop, proofs := startWorker(t, standin.WorkerConfig{Name: "m"}), startWorker(t, standin.WorkerConfig{Name: "w"}),
		startWorker(t, standin.WorkerConfig{Name: "w"})
	f := readFile(t, "platform {\n match { host = \"app.svc\" }\n}\n"+block("shop", "  limits { rate = 0.01 }\n", shop)+
		block("proofs", "", proofs))
	b := startBenchWith(t, []standin.Entry{main.Entry("SERVING")}, func(c *config) { c.file = f })
	for i, c := range []struct {
		host, path, class string
		status            int
		says              string
	}{
		{"app.svc", "/api/1", "view", 200, "made of 0"},
		{"shop.example.org:80", "/api/1", "view", 200, "made of 1"},
		{"shop.example.org", "/api/1", "view", 429, "too many a second"},
		{"proofs.example.org", "/api/1", "view", 200, "made of 3"},
		{"proofs.example.org", "/api/1", "other", 400, "unknown class"},
		{"elsewhere.example.org", "/api/1", "view", 421, "no service for this host"},
		{"", "/api/1", "view", 421, "no service for this host"}, // the address it was sent to
	} {
		status, body, wait := b.to(c.host, c.path, fmt.Sprint(i), c.class, patience)
		assert.Equal(t, c.status, status, "%+v", c)
		assert.Contains(t, body, c.says, "%+v", c)
		assert.Equal(t, status == 429, wait != "", "%+v: %s", c, wait)
	}
	assert.Equal(t, []string{"0"}, main.IDs())
	assert.Equal(t, []string{"1"}, shop.IDs())
	assert.Equal(t, []string{"3"}, proofs.IDs())
	c, err := net.Dial("tcp", b.addr)
	require.NoError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /api/1 HTTP/1.1\r\nX-Call-Id: x\r\nX-Call-Class: view\r\nX-Budget: 9m\r\nContent-Length: 0\r\n\r\n")
	head := make([]byte, 12)
	_, err = c.Read(head)
	require.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 400", string(head), "no Host")
	var stats string
	b.s.loop.Do(func() { stats = b.s.server.Stats() })
	assert.Contains(t, stats, "\nservice=shop open=0 begun=1 over_rate=1")
}

// A service whose boxes are all gone, and then all silent, answers its own requests and costs its neighbour none.
func TestOnePoolLosesAllItsBoxes(t *testing.T) {
	gone, well := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "b"})
	silent := startWorker(t, standin.WorkerConfig{Name: "c"})
	b := startBenchWith(t, nil, func(c *config) {
		c.file = readFile(t, block("gone", "", gone)+block("silent", "", silent)+block("well", "", well))
	})
	gone.Close()
	silent.Silence()
	var all sync.WaitGroup
	for i := range 30 {
		for _, host := range []string{"gone", "silent"} {
			all.Go(func() {
				status, _, _ := b.to(host+".example.org", "/api/1", fmt.Sprint(host, i), "send", 2*time.Second)
				assert.Contains(t, []int{500, 503}, status)
			})
		}
		all.Go(func() {
			status, _, _ := b.to("well.example.org", "/api/1", fmt.Sprint("well", i), "send", patience)
			assert.Equal(t, 200, status)
		})
	}
	all.Wait()
	assert.Len(t, well.IDs(), 30)
	b.s.loop.Do(func() { assert.Zero(t, b.s.openRequests()) })
}

// Services come, change and go while requests are in hand: what was taken ends where it is, what is new goes by the
// new table, and a file that can't be used changes nothing.
func TestReloadOfServices(t *testing.T) {
	release := make(chan struct{})
	held := standin.WorkerConfig{Name: "a", Answer: func(r *http.Request, c net.Conn) {
		if r.Header.Get("X-Call-Id") == "held" {
			<-release
		}
		standin.WriteAnswer(r, c)
	}}
	old, other, third := startWorker(t, held), startWorker(t, standin.WorkerConfig{Name: "z"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	b := startBenchWith(t, nil, func(c *config) { c.file = readFile(t, block("shop", "", old)) })
	answered := make(chan int)
	go func() {
		status, _, _ := b.to("shop.example.org", "/api/1", "held", "send", patience)
		answered <- status
	}()
	require.Eventually(t, func() bool { return slices.Contains(old.IDs(), "held") }, patience, time.Millisecond)
	bad := readFile(t, block("shop", "", other))
	bad.Services[0].Classes[0].Terms.Deadline = 0
	assert.ErrorContains(t, b.apply(bad), "deadline")
	status, _, _ := b.to("shop.example.org", "/api/1", "1", "view", patience)
	assert.Equal(t, 200, status)
	assert.Contains(t, old.IDs(), "1")

	// Other workers under the same terms: the same service goes on.
	require.NoError(t, b.apply(readFile(t, block("shop", "", other))))
	status, _, _ = b.to("shop.example.org", "/api/1", "2", "view", patience)
	assert.Equal(t, 200, status)
	assert.Equal(t, []string{"2"}, other.IDs())

	// Other classes: another service of that name; then none.
	require.NoError(t, b.apply(readFile(t, block("shop", "class \"more\" { effect = \"safe\" }\n", third))))
	status, _, _ = b.to("shop.example.org", "/api/1", "3", "more", patience)
	assert.Equal(t, 200, status)
	assert.Equal(t, []string{"3"}, third.IDs())
	require.NoError(t, b.apply(readFile(t, block("desks", "", other))))
	status, _, _ = b.to("shop.example.org", "/api/1", "4", "view", patience)
	assert.Equal(t, 421, status)
	b.s.loop.Do(func() { assert.Equal(t, 1, b.s.openRequests()) })
	close(release)
	assert.Equal(t, 200, <-answered)
	require.Eventually(t, func() (left bool) {
		b.s.loop.Do(func() { left = len(b.s.draining) == 0 })
		return left
	}, patience, 10*time.Millisecond)
}

// A worker file is watched; one that is half written, or lists a worker without an address, changes nothing.
func TestWorkerFile(t *testing.T) {
	a, z := startWorker(t, standin.WorkerConfig{Name: "a"}), startWorker(t, standin.WorkerConfig{Name: "z"})
	path := filepath.Join(t.TempDir(), "workers.json")
	write := func(text string) {
		require.NoError(t, os.WriteFile(path+".new", []byte(text), 0o600))
		require.NoError(t, os.Rename(path+".new", path))
	}
	list := func(w *standin.Worker, status string) string {
		return fmt.Sprintf(`{"endpoints":[{"name":%q,"address":%q,"status":%q}]}`, w.Name(), w.Addr(), status)
	}
	write(list(a, "SERVING"))
	text := strings.Replace(block("shop", ""), "workers {\n", fmt.Sprintf("workers {\n file = %q\n", path), 1)
	b := startBenchWith(t, nil, func(c *config) { c.file = readFile(t, text) })
	names := func() (out []string) {
		b.s.loop.Do(func() { b.s.services["shop"].engine.EachReadyAddr(func(addr string) { out = append(out, addr) }) })
		return out
	}
	require.Eventually(t, func() bool { return slices.Equal(names(), []string{a.Addr()}) }, patience, time.Millisecond)
	write(`{"endpoints":[`)
	write(`{"endpoints":[{"name":"z"}]}`)
	status, _, _ := b.to("shop.example.org", "/api/1", "1", "view", patience)
	assert.Equal(t, 200, status)
	write(list(z, "SERVING"))
	require.Eventually(t, func() bool { return slices.Equal(names(), []string{z.Addr()}) }, patience, time.Millisecond)
	write(list(z, "DRAINING"))
	require.Eventually(t, func() bool { return len(names()) == 0 }, patience, time.Millisecond)
	f := readFile(t, strings.Replace(text, "workers.json", "nowhere.json", 1))
	assert.ErrorContains(t, b.apply(f), "no such file")
}
