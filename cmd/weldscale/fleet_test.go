package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	operator "weldscale/internal/config"
	"weldscale/internal/standin"
)

// Three schedulers of a fleet, each a process of its own, have one rate between them. All demand is at one: it gets nearly
// all; it goes on as one keeper is killed with all it knew; without a majority it is left its floor; and never does it
// begin more than the rate and its burst allow.
func TestFleetRate(t *testing.T) {
	const rate, burst, members = 40, 0.5, 3
	w := startWorker(t, standin.WorkerConfig{Name: "w", Slots: 64})
	dir := t.TempDir()
	binds := []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	serves := freeAddr(t)
	socket := func(name string) string { return filepath.Join(dir, name) }
	start := func(i int) *os.Process {
		name, listen := string(rune('a'+i)), serves
		if i > 0 {
			listen = freeAddr(t)
		}
		text := fmt.Sprintf("scheduler {\n name = %q\n listen = %q\n}\ncontrol {\n socket = %q\n}\nfleet \"print\" {\n bind = %q\n"+
			" join = [%q, %q, %q]\n members = %d\n keepers = [\"a\", \"b\", \"c\"]\n term = \"800ms\"\n burst = %v\n}\n", name, listen,
			socket(name), binds[i], binds[0], binds[1], binds[2], members, burst) + block("shop", fmt.Sprintf("  limits { fleet_rate = %d }\n", rate), w)
		file := socket(name + ".hcl")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		cmd, log := program(t, "program", "GW_CONFIG=", "WELDSCALE_FILE="+file)
		log.await(t, "serving")
		return cmd.Process
	}
	part := func() (v float64) {
		text, stderr, status := command(t, nil, "fleet", socket("a"))
		require.Zero(t, status, stderr)
		_, after, _ := strings.Cut(text, "part=")
		fmt.Sscan(after, &v)
		return v
	}
	begun := time.Now()
	start(0)
	b, c := start(1), start(2)

	var served atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	from := &bench{t: t, addr: serves}
	for i := range 4 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				if status, _, _ := from.to("shop.example.org", "/api/1", fmt.Sprint(i, "-", n), "view", patience); status == 200 {
					served.Add(1)
				}
			}
		})
	}
	most := func(why string) {
		require.Eventually(t, func() bool { return part() > 0.75*rate }, patience, 100*time.Millisecond, why)
	}
	most("all demand is here")
	require.NoError(t, c.Kill())
	time.Sleep(2 * time.Second)
	most("two of three keepers are a majority")
	require.NoError(t, b.Signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool { return part() < 0.1*rate }, patience, 50*time.Millisecond, "no majority: the floor is left")
	require.NoError(t, b.Signal(syscall.SIGCONT))
	most("the second keeper is back")
	c = start(2)
	most("so is the third, which knows nothing")
	close(stop)
	clients.Wait()
	assert.LessOrEqual(t, float64(served.Load()), 1.02*rate*(time.Since(begun).Seconds()+burst)+members)
	assert.Greater(t, served.Load(), int64(rate))
}

func TestFleetFaults(t *testing.T) {
	for text, want := range map[string]string{
		"fleet \"x\" {\n members = 3\n keepers = [\"a\"]\n}":                                        "fleet \"x\" has no bind",
		"fleet \"x\" {\n bind = \"here:1\"\n members = 3\n keepers = [\"a\"]\n}":                    "names are not looked up",
		"fleet \"x\" {\n bind = \"127.0.0.1:1\"\n members = 3\n keepers = [\"a\", \"a\", \"b\"]\n}": "odd number of different names",
		"fleet \"x\" {\n bind = \"127.0.0.1:1\"\n members = 0\n keepers = [\"a\"]\n}":               "out of range; allowed is 1 to 1024",
		"service \"s\" {\n limits { fleet_rate = 3 }\n}":                                            "fleet_rate without a fleet block",
	} {
		path := filepath.Join(t.TempDir(), "w.hcl")
		require.NoError(t, os.WriteFile(path, []byte(text+"\n"), 0o600))
		_, err := operator.Read(path, 64<<20)
		if assert.Error(t, err, text) {
			assert.Contains(t, err.Error(), want)
			assert.Regexp(t, `^\S+w\.hcl:\d+:\d+: `, err.Error())
		}
	}
}
