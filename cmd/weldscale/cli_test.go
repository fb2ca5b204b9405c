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

// runProgram runs the program with these arguments and returns its output and exit status.
func runProgram(t *testing.T, env []string, args ...string) (stdout, stderr string, status int) {
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

// Invalid input causes one line for each error and an exit status other than zero. Nothing is started.
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
	valid := file("good.json", string(standin.SchedulerConfig{Discovery: "127.0.0.1:1"}.JSON()))
	portInUse := file("used.json", string(standin.SchedulerConfig{Discovery: "127.0.0.1:1", Listen: ln.Addr().String()}.JSON()))
	tenErrors := file("ten.hcl", "slow_peers {\n"+strings.Repeat("", 1)+"  grace_in = 1\n  span_in = 1\n  total = \"x\"\n  most = 0.5\n  hurry = 2\n  fresh = 3\n"+
		"  crowd = 200\n  remember = 0\n  forgive = true\n  no_such = 1\n}\n")
	for name, c := range map[string]struct {
		env   string
		args  []string
		lines int
		want  string
	}{
		"no configuration":     {"", nil, 1, "weldscale: config: GW_CONFIG is not set"},
		"unknown flag":         {"", []string{"--speed", "9"}, 1, "unknown flag --speed"},
		"unknown command":      {"", []string{"fly"}, 1, "fly"},
		"bad level":            {"", []string{"--log-level", "loud"}, 1, "--log-level must be one of"},
		"no such file":         {valid, []string{"serve", "--config", filepath.Join(dir, "nowhere.hcl")}, 1, "no such file"},
		"a directory":          {valid, []string{"serve", "--config", dir}, 1, "is a directory"},
		"a directory as JSON":  {dir, nil, 1, "is a directory"},
		"ten errors":           {valid, []string{"serve", "--config", tenErrors}, 10, ":11:3: no_such: no such setting"},
		"ten errors, check":    {"", []string{"check", tenErrors}, 10, ":2:14: allowed is a span"},
		"port in use":          {portInUse, nil, 1, "address already in use"},
		"no scheduler":         {"", []string{"stats", filepath.Join(dir, "no.sock")}, 1, "no scheduler answers there"},
		"load without clients": {"", []string{"load", "127.0.0.1:1", "--clients", "0"}, 1, "--clients at least 1"},
	} {
		stdout, stderr, status := runProgram(t, []string{"GW_CONFIG=" + c.env}, c.args...)
		assert.NotZero(t, status, name)
		assert.Empty(t, stdout, name)
		assert.Contains(t, stderr, c.want, name)
		assert.Len(t, strings.Split(strings.TrimSpace(stderr), "\n"), c.lines, "%s: %s", name, stderr)
	}
	stdout, _, status := runProgram(t, nil, "check", valid)
	assert.Zero(t, status)
	assert.Contains(t, stdout, "view, send")
	stdout, _, status = runProgram(t, nil, "check", "../../deploy/weldscale.hcl")
	assert.Zero(t, status)
	assert.Regexp(t, `slow_peers.hurry +250ms +default`, stdout)
}

// Only its owner may access the control socket. One left behind by a killed process is replaced, that of a running one is not.
func TestControlSocket(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	discovery := startDiscovery(t, w.Entry("SERVING"))
	dir := t.TempDir()
	socket, file := filepath.Join(dir, "control"), filepath.Join(dir, "w.hcl")
	write := func(text string) { require.NoError(t, os.WriteFile(file, []byte(text), 0o600)) }
	valid := "control { socket = \"" + socket + "\" }\nmetrics {}\n"
	write(valid)
	stale, err := net.Listen("unix", socket) // as a killed process leaves it
	require.NoError(t, err)
	stale.(*net.UnixListener).SetUnlinkOnClose(false)
	stale.Close()
	schedulerConfig := standin.SchedulerConfig{Discovery: discovery.Addr(), Known: discovery.Known()}
	cmd, addr := startSchedulerProcess(t, schedulerConfig, "WELDSCALE_FILE="+file)
	info, err := os.Stat(socket)
	require.NoError(t, err)
	assert.Equal(t, os.FileMode(0o600), info.Mode().Perm())

	runCommand := func(args ...string) (string, string, int) { return runProgram(t, nil, args...) }
	stdout, _, status := runCommand("stats", socket)
	assert.Zero(t, status)
	assert.Contains(t, stdout, "taken=0")
	for _, c := range []struct{ command, worker, want string }{{"ready", "", "ready"}, {"offline", "a", "done"}, {"counters", "", `"workers_excluded":1`},
		{"online", "a", "done"}, {"counters", "", `"workers_excluded":0`}} {
		stdout, _, status := runCommand(strings.Fields(c.command + " " + socket + " " + c.worker)...)
		assert.Zero(t, status)
		assert.Contains(t, stdout, c.want)
	}
	_, unknownWorker, status := runCommand("offline", socket, "nobody")
	assert.Equal(t, 1, status)
	assert.Contains(t, unknownWorker, "no such worker")
	_, _, status = runCommand("level", socket, "debug")
	assert.Zero(t, status)
	kind := standin.JobKind{Class: "view", Budget: testTimeout}
	code, _, err := standin.SendJob(http.DefaultClient, addr, "", "traced", &kind)
	require.NoError(t, err)
	assert.Equal(t, 200, code)
	log := cmd.Stderr.(*programLog)
	for _, line := range []string{`"call_id":"traced"`, `"msg":"probe","service":"","request":1`, `"msg":"probe ended","service":"","request":1`,
		`"msg":"attempt"`, `"outcome":"served"`} {
		log.await(t, line)
	}
	_, stderr, status := runCommand("reload", socket)
	assert.Zero(t, status, stderr)
	write(valid + "slow_peers { most = 0 }")
	_, stderr, status = runCommand("reload", socket)
	assert.Equal(t, 1, status)
	assert.Contains(t, stderr, "w.hcl:3:21: out of range")

	resp, err := http.Get("http://" + addr + "/-/metrics")
	require.NoError(t, err)
	text, err := io.ReadAll(resp.Body)
	require.NoError(t, err)
	assert.Contains(t, string(text), `weldscale_answer_seconds_count{class="view",outcome="served",service=""} 1`)
	assert.Contains(t, string(text), `weldscale_taken{service=""} 1`)

	stdout, _, status = runCommand("load", addr, "--for=1s", "--clients=2", "--slow-senders=2", "--slow-readers=2", "--slow-rate=100000")
	assert.Zero(t, status)
	for _, line := range []string{"slow senders: came=", "slow readers: came="} {
		assert.Contains(t, stdout, line)
	}

	path := filepath.Join(dir, "second.json")
	require.NoError(t, os.WriteFile(path, schedulerConfig.JSON(), 0o600))
	write(valid)
	_, stderr, status = runProgram(t, []string{"GW_CONFIG=" + path}, "serve", "--config", file)
	assert.Equal(t, 1, status)
	assert.Contains(t, stderr, "in use by a running program")
	_, _, status = runCommand("drain", socket)
	assert.Zero(t, status)
	assert.NoError(t, cmd.Wait())
	_, err = os.Stat(socket)
	assert.ErrorIs(t, err, os.ErrNotExist)
}

// Without a metrics block there is no metrics page.
func TestNoMetricsUnlessAsked(t *testing.T) {
	ts := startScheduler(t, startWorker(t, standin.WorkerConfig{Name: "a"}).Entry("SERVING"))
	resp, err := http.Get("http://" + ts.addr + "/-/metrics")
	require.NoError(t, err)
	defer resp.Body.Close()
	assert.Equal(t, 404, resp.StatusCode)
}

// The results of the load command against workers that answer every job, with open and with closed loops.
func TestLoadCommand(t *testing.T) {
	f := startWorkerFleet(t, 2, standin.WorkerConfig{Queue: 100, TellsStart: true})
	ts := startScheduler(t, f.Entries()...)
	out := filepath.Join(t.TempDir(), "figures.json")
	for _, c := range []loadCmd{{Rate: 50}, {Clients: 4}, {Clients: 4, Against: out}} {
		c.Target, c.For, c.Class, c.Budget, c.JSON, c.HDR = ts.addr, time.Second, "view", testTimeout, out, out+".hdr"
		require.NoError(t, c.Run(context.Background()))
		text, err := os.ReadFile(out)
		require.NoError(t, err)
		assert.Contains(t, string(text), `"in_time": 1`)
		text, err = os.ReadFile(out + ".hdr")
		require.NoError(t, err)
		assert.Contains(t, string(text), "Interval_Compressed_Histogram")
	}
}

// The reference page matches the code. UPDATE_REFERENCE=1 generates it again.
func TestReferencePage(t *testing.T) {
	const page = "../../docs/REFERENCE.md"
	if os.Getenv("UPDATE_REFERENCE") != "" {
		require.NoError(t, os.WriteFile(page, []byte(reference()), 0o644))
	}
	text, err := os.ReadFile(page)
	require.NoError(t, err)
	assert.Equal(t, reference(), string(text), "run UPDATE_REFERENCE=1 go test ./cmd/weldscale -run Reference")
}

// The scheduler starts with only an operator's file if that has a scheduler block.
func TestFileAlone(t *testing.T) {
	w := startWorker(t, standin.WorkerConfig{Name: "a"})
	addr, file := freeAddr(t), filepath.Join(t.TempDir(), "w.hcl")
	text := serviceBlock("shop", "", w)
	require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	_, stderr, status := runProgram(t, []string{"GW_CONFIG="}, "serve", "--config", file)
	assert.Equal(t, 1, status)
	assert.Contains(t, stderr, "no scheduler block to stand in for it")
	require.NoError(t, os.WriteFile(file, []byte("scheduler {\n listen = \""+addr+"\"\n}\n"+text), 0o600))
	cmd, log := startTestBinary(t, "program", "GW_CONFIG=", "WELDSCALE_FILE="+file)
	log.await(t, "serving")
	ts := &testScheduler{t: t, addr: addr}
	code, body, _ := ts.askService("shop.example.org", "/api/1", "1", "view", testTimeout)
	assert.Equal(t, 200, code)
	assert.Equal(t, "made of 1", body)
	code, _, _ = ts.askService("other.example.org", "/api/1", "2", "view", testTimeout)
	assert.Equal(t, 421, code)
	resp, err := http.Get("http://" + addr + "/-/ready")
	require.NoError(t, err)
	resp.Body.Close()
	assert.Equal(t, 200, resp.StatusCode)
	require.NoError(t, cmd.Process.Signal(os.Interrupt))
	assert.NoError(t, cmd.Wait())
}
