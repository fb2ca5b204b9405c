package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"weldscale/internal/standin"
)

// These tests send signals to a separate process at moments that are rare in operation.

// awaitAddr waits until the program serves and returns its address. A port chosen before the start could be taken by then.
func (l *programLog) awaitAddr(t testing.TB) string {
	l.await(t, "serving")
	l.mu.Lock()
	defer l.mu.Unlock()
	match := regexp.MustCompile(`"?listen"?[:=]"?(127\.0\.0\.1:\d+)`).FindStringSubmatch(l.text)
	require.Len(t, match, 2, l.text)
	return match[1]
}

// Signals overlap: two reloads at once, a reload of an invalid file between valid ones, a reload just before SIGTERM and one
// after it, a second SIGTERM. An accepted request is answered, and the program exits with status 0.
func TestOverlappingSignals(t *testing.T) {
	release := make(chan struct{})
	w := startWorker(t, standin.WorkerConfig{Name: "a", Answer: holdFinish(release)})
	first, second := startDiscovery(t, w.Entry("SERVING")), startDiscovery(t, w.Entry("SERVING"))
	path := filepath.Join(t.TempDir(), "config.json")
	schedulerConfig := standin.SchedulerConfig{Discovery: first.Addr(), Known: first.Known()}
	writeConfig(t, path, schedulerConfig)
	cmd, log := startTestBinary(t, "program", "GW_CONFIG="+path)
	addr := log.awaitAddr(t)
	answered := make(chan int, 1)
	go func() {
		status, _, _ := standin.SendJob(client(), addr, "", "open", &standin.JobKind{Class: "view", Budget: testTimeout, Body: 5})
		answered <- status
	}()
	require.Eventually(t, func() bool { return len(w.IDs()) == 1 }, testTimeout, time.Millisecond)
	require.NoError(t, os.WriteFile(path, []byte(`{"half`), 0o600))
	require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	log.await(t, "new configuration not taken")
	schedulerConfig.Discovery = second.Addr()
	writeConfig(t, path, schedulerConfig)
	for range 2 {
		require.NoError(t, cmd.Process.Signal(syscall.SIGHUP))
	}
	require.Eventually(t, func() bool { return len(second.Calls()) > 1 }, testTimeout, time.Millisecond)
	assert.Equal(t, "", second.Calls()[0])
	for _, sig := range []os.Signal{syscall.SIGHUP, syscall.SIGTERM, syscall.SIGHUP, syscall.SIGTERM} {
		require.NoError(t, cmd.Process.Signal(sig))
	}
	log.await(t, "stopping")
	close(release)
	assert.Equal(t, 200, <-answered)
	assert.NoError(t, cmd.Wait())
}

// The program serves a job with the settings that other customers may have, and ignores unknown keys.
func TestOtherSettings(t *testing.T) {
	base := string(standin.SchedulerConfig{Discovery: "DISCOVERY", Known: []byte(`"KNOWN"`)}.JSON())
	oneClass := `"classes":[{"name":"view","effect":"read_like","worth":1,"aim_stretch":2,"aim_us":5000000,"deadline_us":9000000}]`
	classes := base[strings.Index(base, `"classes":`):]
	classes = classes[:strings.Index(classes, "]")+1]
	for name, c := range map[string]struct{ old, new, class string }{
		"no change":         {"", "", "view"},
		"unknown keys":      {`"settings":{`, `"settings":{"colour":"red","deep":{"er":[1,{"x":2}]},`, "view"},
		"one class":         {classes, oneClass, "view"},
		"a shared prefix":   {`"name":"send"`, `"name":"view-send"`, "view-send"},
		"an odd name":       {`"name":"view"`, `"name":"view, large (A3)"`, "view, large (A3)"},
		"zones as a string": {`"zones":["here"]`, `"zones":"there,here"`, "view"},
		"an odd zone":       {`"zones":["here"]`, `"zones":["over, there","here"]`, "view"},
		"another effect":    {`"name":"view"`, `"name":"read-only"`, "read-only"},
		"short deadlines":   {`"deadline_us":9000000`, `"deadline_us":150000`, "view"},
		"no known workers":  {`"known":"KNOWN"`, `"known":{}`, "view"},
		"no zones":          {`"zones":["here"]`, `"zones":[]`, "view"},
		"no probes":         {`"probes":true`, `"probes":false`, "view"},
		"one attempt":       {`"max_attempts":4`, `"max_attempts":1`, "view"},
		"no cancelling":     {`"cancel":true`, `"cancel":false`, "view"},
		"fewest sockets":    {`"sockets":1024`, `"sockets":64`, "view"},
		"least memory":      {`"memory_mb":192`, `"memory_mb":16`, "view"},
		"no advice":         {`"retry_after":true`, `"retry_after":false`, "view"},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			a := startWorker(t, standin.WorkerConfig{Name: "a"})
			d := startDiscovery(t, a.Entry("SERVING"))
			text := strings.Replace(base, c.old, c.new, 1)
			require.True(t, c.old == "" || text != base, "the replacement changes nothing")
			text = strings.NewReplacer("DISCOVERY", d.Addr(), `"KNOWN"`, string(d.Known())).Replace(text)
			path := filepath.Join(t.TempDir(), "config.json")
			require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
			cmd, log := startTestBinary(t, "program", "GW_CONFIG="+path)
			addr := log.awaitAddr(t)
			status := 0
			require.Eventually(t, func() bool { // refused while no worker is known, until the list arrives
				status, _, _ = standin.SendJob(client(), addr, "", standin.Result(name, 0)+time.Now().String()[:26], &standin.JobKind{Class: c.class, Budget: testTimeout, Body: 5})
				return status != 503
			}, testTimeout, 10*time.Millisecond)
			assert.Equal(t, 200, status)
			require.NoError(t, cmd.Process.Signal(syscall.SIGTERM))
			assert.NoError(t, cmd.Wait())
		})
	}
	// With an invalid setting the program logs a single line and does not start.
	path := filepath.Join(t.TempDir(), "bad.json")
	require.NoError(t, os.WriteFile(path, []byte(strings.Replace(strings.Replace(base, "DISCOVERY", "127.0.0.1:1", 1), `"conn_idle_us":10000000`, `"conn_idle_us":"soon"`, 1)), 0o600))
	cmd := exec.Command(os.Args[0])
	var output bytes.Buffer
	cmd.Env, cmd.Stderr = append(os.Environ(), "WELDSCALE_TEST=program", "GW_CONFIG="+path), &output
	assert.Error(t, cmd.Run())
	assert.Equal(t, 1, strings.Count(output.String(), "\n"), output.String())
	assert.Contains(t, output.String(), "conn_idle_us")
}
