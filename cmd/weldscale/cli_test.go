package main

import (
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/standin"
)

// command runs the program with arguments and returns what it said, and how it ended.
func command(t *testing.T, env []string, args ...string) (stdout, stderr string, status int) {
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(append(os.Environ(), "WELDSCALE_TEST=program", "WELDSCALE_ARGS="+strings.Join(args, "\n")), env...)
	var out, errs strings.Builder
	cmd.Stdout, cmd.Stderr = &out, &errs
	err := cmd.Run()
	if _, ok := err.(*exec.ExitError); err != nil && !ok {
		require.NoError(t, err)
	}
	return out.String(), errs.String(), cmd.ProcessState.ExitCode()
}

// Bad input gets plain lines that name the fault, and a status that is not zero; nothing is started.
func TestBadCommandLines(t *testing.T) {
	dir := t.TempDir()
	file := func(name, text string) string {
		path := filepath.Join(dir, name)
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return path
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	good := file("good.json", string(standin.SchedulerConfig{Discovery: "127.0.0.1:1"}.JSON()))
	used := file("used.json", string(standin.SchedulerConfig{Discovery: "127.0.0.1:1", Listen: ln.Addr().String()}.JSON()))
	ten := file("ten.hcl", "slow_peers {\n"+strings.Repeat("", 1)+"  grace_in = 1\n  span_in = 1\n  total = \"x\"\n  most = 0.5\n  hurry = 2\n  fresh = 3\n"+
		"  crowd = 200\n  remember = 0\n  forgive = true\n  no_such = 1\n}\n")
	for name, c := range map[string]struct {
		env   string
		args  []string
		lines int
		says  string
	}{
		"no configuration":   {"", nil, 1, "weldscale: config: GW_CONFIG is not set"},
		"unknown flag":       {"", []string{"--speed", "9"}, 1, "unknown flag --speed"},
		"unknown command":    {"", []string{"fly"}, 1, "fly"},
		"bad level":          {"", []string{"--log-level", "loud"}, 1, "--log-level must be one of"},
		"no file":            {good, []string{"serve", "--config", filepath.Join(dir, "nowhere.hcl")}, 1, "no such file"},
		"a folder":           {good, []string{"serve", "--config", dir}, 1, "is a directory"},
		"a folder for JSON":  {dir, nil, 1, "is a directory"},
		"ten faults":         {good, []string{"serve", "--config", ten}, 10, ":11:3: no_such: no such setting"},
		"ten faults, check":  {"", []string{"check", ten}, 10, ":2:14: allowed is a span"},
		"port in use":        {used, nil, 1, "address already in use"},
		"nobody there":       {"", []string{"stats", filepath.Join(dir, "no.sock")}, 1, "no scheduler answers there"},
		"load without a way": {"", []string{"load", "127.0.0.1:1", "--clients", "0"}, 1, "--clients at least 1"},
	} {
		stdout, stderr, status := command(t, []string{"GW_CONFIG=" + c.env}, c.args...)
		assert.NotZero(t, status, name)
		assert.Empty(t, stdout, name)
		assert.Contains(t, stderr, c.says, name)
		assert.Len(t, strings.Split(strings.TrimSpace(stderr), "\n"), c.lines, "%s: %s", name, stderr)
	}
	stdout, _, status := command(t, nil, "check", good)
	assert.Zero(t, status)
	assert.Contains(t, stdout, "view, send")
	stdout, _, status = command(t, nil, "check", "../../deploy/weldscale.hcl")
	assert.Zero(t, status)
	assert.Regexp(t, `slow_peers.hurry +250ms +default`, stdout)
}

// The control socket is the owner's alone, is replaced when its owner has ended, and not while one runs.
func TestControlSocket(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	list := startDiscovery(t, w.Entry("SERVING"))
	dir := t.TempDir()
	socket, file := filepath.Join(dir, "control"), filepath.Join(dir, "w.hcl")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	good := "control { socket = \"" + socket + "\" }\nmetrics {}\n"
	write(good)
	left, err := net.Listen("unix", socket) // of one that was killed
	require.NoError(t, err)
	left.(*net.UnixListener).SetUnlinkOnClose(false)
	left.Close()
	site := standin.SchedulerConfig{Discovery: list.Addr(), Known: list.Known()}
	cmd, addr := startProgram(t, site, "WELDSCALE_FILE="+file)
	info, err := os.Stat(socket)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())

	say := func(args ...string) (string, string, int) { return command(t, nil, args...) }
	stdout, _, status := say("stats", socket)
	assert.Zero(t, status)
	assert.Contains(t, stdout, "taken=0")
	for _, c := range []struct{ verb, worker, says string }{{"ready", "", "ready"}, {"offline", "a", "done"}, {"counters", "", `"workers_excluded":1`},
		{"online", "a", "done"}, {"counters", "", `"workers_excluded":0`}} {
		stdout, _, status := say(strings.Fields(c.verb + " " + socket + " " + c.worker)...)
		assert.Zero(t, status)
		assert.Contains(t, stdout, c.says)
	}
	_, unknown, status := say("offline", socket, "nobody")
	assert.Equal(t, 1, status)
	assert.Contains(t, unknown, "no such worker")
	_, _, status = say("level", socket, "debug")
	assert.Zero(t, status)
	k := standin.JobKind{Class: "view", Budget: patience}
	code, _, err := standin.SendJob(http.DefaultClient, addr, "", "traced", &k)
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	log := cmd.Stderr.(*logged)
	for _, line := range []string{`"call_id":"traced"`, `"msg":"probe","service":"","request":1`, `"msg":"probe ended","service":"","request":1`,
		`"msg":"attempt"`, `"outcome":"served"`} {
		log.await(t, line)
	}
	_, stderr, status := say("reload", socket)
	assert.Zero(t, status, stderr)
	write(good + "slow_peers { most = 0 }")
	_, stderr, status = say("reload", socket)
	assert.Equal(t, 1, status)
	assert.Contains(t, stderr, "w.hcl:3:21: out of range")

	resp, err := http.Get("http://" + addr + "/-/metrics")
	require.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Contains(t, string(text), `weldscale_answer_seconds_count{class="view",outcome="served",service=""} 1`)
	assert.Contains(t, string(text), `weldscale_taken{service=""} 1`)

	stdout, _, status = say("load", addr, "--for=1s", "--clients=2", "--slow-senders=2", "--slow-readers=2", "--slow-rate=100000")
	assert.Zero(t, status)
	for _, line := range []string{"slow senders: came=", "slow readers: came="} {
		assert.Contains(t, stdout, line)
	}

	path := filepath.Join(dir, "second.json")
	require.NoError(t, os.WriteFile(path, site.JSON(), 0o600))
	write(good)
	_, stderr, status = command(t, []string{"GW_CONFIG=" + path}, "serve", "--config", file)
	assert.Equal(t, 1, status)
	assert.Contains(t, stderr, "in use by a running program")
	_, _, status = say("drain", socket)
	assert.Zero(t, status)
	assert.NoError(t, cmd.Wait())
	_, err = os.Stat(socket)
	assert.ErrorIs(t, err, os.ErrNotExist)
}

func TestNoMetricsUnlessAsked(t *testing.T) {
	b := startBench(t, startWorker(t, standin.WorkerConfig{Name: "a"}).Entry("SERVING"))
	resp, err := http.Get("http://" + b.addr + "/-/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, 404, resp.StatusCode)
}

// The load command's figures against a worker that answers all, in both kinds of loop.
func TestLoadCommand(t *testing.T) {
	f := startFleet(t, 2, standin.WorkerConfig{Queue: 100, TellsStart: true})
	b := startBench(t, f.Entries()...)
	out := filepath.Join(t.TempDir(), "figures.json")
	for _, c := range []loadCmd{{Rate: 50}, {Clients: 4}, {Clients: 4, Against: out}} {
		c.Target, c.For, c.Class, c.Budget, c.JSON, c.HDR = b.addr, time.Second, "view", patience, out, out+".hdr"
		require.NoError(t, c.Run(context.Background()))
		text, err := os.ReadFile(out)
		require.NoError(t, err)
		assert.Contains(t, string(text), `"in_time": 1`)
		text, err = os.ReadFile(out + ".hdr")
		require.NoError(t, err)
		assert.Contains(t, string(text), "Interval_Compressed_Histogram")
	}
}

// The reference page is what the code says; UPDATE_REFERENCE=1 writes it anew.
func TestReferencePage(t *testing.T) {
	const page = "../../docs/REFERENCE.md"
	if os.Getenv("UPDATE_REFERENCE") != "" {
		require.NoError(t, os.WriteFile(page, []byte(reference()), 0o644))
	}
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	assert.Equal(t, reference(), string(text), "run UPDATE_REFERENCE=1 go test ./cmd/weldscale -run Reference")
}

// An operator's file with a scheduler block is enough to start with.
func TestFileAlone(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	addr, file := freeAddr(t), filepath.Join(t.TempDir(), "w.hcl")
	text := block("shop", "", w)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	_, stderr, status := command(t, []string{"GW_CONFIG="}, "serve", "--config", file)
	assert.Equal(t, 1, status)
	assert.Contains(t, stderr, "no scheduler block to stand in for it")
	require.NoError(t, os.WriteFile(file, []byte("scheduler {\n listen = \""+addr+"\"\n}\n"+text), 0o600))
	cmd, log := program(t, "program", "GW_CONFIG=", "WELDSCALE_FILE="+file)
	log.await(t, "serving")
	b := &bench{t: t, addr: addr}
	code, body, _ := b.to("shop.example.org", "/api/1", "1", "view", patience)
	assert.Equal(t, 200, code)
	assert.Equal(t, "made of 1", body)
	code, _, _ = b.to("other.example.org", "/api/1", "2", "view", patience)
	assert.Equal(t, 421, code)
	resp, err := http.Get("http://" + addr + "/-/ready")
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, 200, resp.StatusCode)
	require.NoError(t, cmd.Process.Signal(os.Interrupt))
	assert.NoError(t, cmd.Wait())
}
