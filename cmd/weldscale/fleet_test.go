package main

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
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
	"weldscale/internal/faults"
	"weldscale/internal/standin"
)

// Three schedulers of a fleet, each in its own process, share one rate limit. All requests come to one of them. It gets nearly
// the whole rate, also after one voter of the budget has been killed and has lost its state. Without a majority of the voters
// it keeps only its floor. It never starts more jobs than the rate and the burst allow.
func TestFleetRate(t *testing.T) {
	const rate, burst, members = 40, 0.5, 3
	w := startWorker(t, standin.WorkerConfig{Name: "w", Slots: 64})
	dir := t.TempDir()
	binds := []string{freeAddr(t), freeAddr(t), freeAddr(t)}
	clientAddr := freeAddr(t) // of the scheduler that gets the requests
	socket := func(name string) string { return filepath.Join(dir, name) }
	start := func(i int) *os.Process {
		name, listen := string(rune('a'+i)), clientAddr
		if i > 0 {
			listen = freeAddr(t)
		}
		text := fmt.Sprintf("scheduler {\n name = %q\n listen = %q\n}\ncontrol {\n socket = %q\n}\nfleet \"print\" {\n bind = %q\n"+
			" join = [%q, %q, %q]\n members = %d\n keepers = [\"a\", \"b\", \"c\"]\n term = \"800ms\"\n burst = %v\n}\n", name, listen,
			socket(name), binds[i], binds[0], binds[1], binds[2], members, burst) + serviceBlock("shop", fmt.Sprintf("  limits { fleet_rate = %d }\n", rate), w)
		file := socket(name + ".hcl")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		cmd, log := startTestBinary(t, "program", "GW_CONFIG=", "WELDSCALE_FILE="+file)
		log.await(t, "serving")
		return cmd.Process
	}
	share := func() (share float64) {
		text, stderr, status := runProgram(t, nil, "fleet", socket("a"))
		require.Zero(t, status, stderr)
		_, after, _ := strings.Cut(text, "part=")
		fmt.Sscan(after, &share)
		return share
	}
	started := time.Now()
	start(0)
	b, c := start(1), start(2)

	var served atomic.Int64
	stop := make(chan struct{})
	var clients sync.WaitGroup
	first := &testScheduler{t: t, addr: clientAddr}
	for i := range 4 {
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(5 * time.Millisecond):
				}
				if status, _, _ := first.askService("shop.example.org", "/api/1", fmt.Sprint(i, "-", n), "view", testTimeout); status == 200 {
					served.Add(1)
				}
			}
		})
	}
	awaitLargeShare := func(why string) {
		require.Eventually(t, func() bool { return share() > 0.75*rate }, testTimeout, 100*time.Millisecond, why)
	}
	awaitLargeShare("all requests come here")
	require.NoError(t, c.Kill())
	time.Sleep(2 * time.Second)
	awaitLargeShare("two of three voters are a majority")
	require.NoError(t, b.Signal(syscall.SIGSTOP))
	require.Eventually(t, func() bool { return share() < 0.1*rate }, testTimeout, 50*time.Millisecond, "without a majority only the floor is left")
	require.NoError(t, b.Signal(syscall.SIGCONT))
	awaitLargeShare("the second voter is back")
	start(2)
	awaitLargeShare("the third voter is back without its state")
	close(stop)
	clients.Wait()
	assert.LessOrEqual(t, float64(served.Load()), 1.02*rate*(time.Since(started).Seconds()+burst)+members)
	assert.Greater(t, served.Load(), int64(rate))
}

// schedulerFleet is schedulers of one fleet, each in its own process, with a relay on each link between them.
type schedulerFleet struct {
	processes []*faults.Process
	addrs     []string // for clients, in the order of processes
	dir       string
	links     *faults.Links
	log       *faults.Log
}

// startSchedulerFleet starts schedulers that are named a, b and so on. The voters of the budgets are a, b and c. fleetSettings
// are further lines of the fleet block, services are the service blocks.
func startSchedulerFleet(t *testing.T, members int, fleetSettings, services string) *schedulerFleet {
	fleet := &schedulerFleet{dir: t.TempDir(), links: faults.NewLinks(7), log: faults.NewLog(1 << 16)}
	names, binds := map[string]string{}, []string{}
	for i := range members {
		binds = append(binds, freeAddr(t))
		names[binds[i]] = string(rune('a' + i))
	}
	hub, err := faults.StartHub(fleet.links, names)
	require.NoError(t, err)
	t.Cleanup(hub.Close)
	for i := range members {
		name, listen := names[binds[i]], freeAddr(t)
		text := fmt.Sprintf("scheduler {\n name = %q\n listen = %q\n}\ncontrol {\n socket = %q\n}\nfleet \"print\" {\n bind = %q\n via = %q\n"+
			" join = [%q, %q]\n members = %d\n keepers = [\"a\", \"b\", \"c\"]\n%s}\n", name, listen, filepath.Join(fleet.dir, name), binds[i], hub.Addr(),
			binds[0], binds[members-1], members, fleetSettings) + services
		file := filepath.Join(fleet.dir, name+".hcl")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		process := &faults.Process{Name: name, Path: os.Args[0], Dir: filepath.Join(fleet.dir, "of-"+name),
			Env: []string{"WELDSCALE_TEST=program", "GW_CONFIG=", "WELDSCALE_FILE=" + file}, Ready: func(context.Context) bool {
				resp, err := http.Get("http://" + listen + "/-/ready")
				if err == nil {
					resp.Body.Close()
				}
				return err == nil
			}}
		require.NoError(t, process.Start(fleet.log))
		t.Cleanup(process.Kill)
		fleet.processes, fleet.addrs = append(fleet.processes, process), append(fleet.addrs, listen)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	for _, p := range fleet.processes {
		require.NoError(t, p.AwaitReady(ctx))
	}
	return fleet
}

// startClients starts a client for each of these addresses. It sends one job after another, until stopClients is called.
func (f *schedulerFleet) startClients(t *testing.T, pause time.Duration, addrs ...string) (stopClients func()) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	stopClients = sync.OnceFunc(func() { close(stop); clients.Wait() })
	t.Cleanup(stopClients)
	for i, addr := range addrs {
		client := &http.Client{Timeout: 10 * time.Second}
		clients.Go(func() {
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				case <-time.After(pause):
				}
				_, _, _ = standin.SendJob(client, addr, "shop.example.org", fmt.Sprint(i, "-", n), &standin.JobKind{Class: "view", Budget: 2 * time.Second, Body: 5})
			}
		})
	}
	return stopClients
}

// Five schedulers share one rate limit during a partition with a majority of the budget's voters on the smaller side, a one-way
// partition, loss, duplication and reordering of datagrams, a stall longer than any lease, a kill of a voter that also deletes
// its directory, and a rolling restart. The workers never get jobs beyond the rate, and afterwards most of the rate is used.
func TestFleetOverFaultyLinks(t *testing.T) {
	const rate, burst, members = 60, 0.5, 5
	w := startWorker(t, standin.WorkerConfig{Name: "w", Slots: 256, Queue: 256})
	fleet := startSchedulerFleet(t, members, fmt.Sprintf(" term = \"600ms\"\n burst = %v\n", burst), serviceBlock("shop", fmt.Sprintf("  limits { fleet_rate = %d }\n", rate), w))
	stopClients := fleet.startClients(t, 8*time.Millisecond, fleet.addrs...)
	awaitMostOfRate := func(why string) {
		waitingSince := time.Now()
		require.Eventually(t, func() bool {
			recent := 0
			for _, s := range w.ReceivedJobs() {
				if s.At.After(time.Now().Add(-2 * time.Second)) {
					recent++
				}
			}
			return time.Since(waitingSince) > 2*time.Second && float64(recent) > 0.75*2*rate
		}, testTimeout, 100*time.Millisecond, why)
	}
	awaitMostOfRate("all schedulers run")
	path := filepath.Join(fleet.dir, "script.hcl")
	require.NoError(t, os.WriteFile(path, []byte("trouble \"split\" {\n for = \"4s\"\n who = \"a b\"\n}\n"+
		"trouble \"silence\" {\n from = \"5s\"\n for = \"2s\"\n who = \"c\"\n toward = \"a\"\n way = \"out\"\n}\n"+
		"trouble \"lossy\" {\n from = \"5s\"\n for = \"4s\"\n part = 1\n loss = 0.2\n double = 0.2\n reorder = 0.2\n hold = \"300ms\"\n}\n"+
		"trouble \"stall\" {\n from = \"9s\"\n for = \"2s\"\n who = \"a\"\n}\n"+
		"trouble \"kill\" {\n from = \"12s\"\n for = \"1s\"\n who = \"b\"\n keep = \"no\"\n}\n"+
		"trouble \"rolling\" {\n from = \"14s\"\n for = \"1s\"\n part = 1\n every = \"100ms\"\n}\n"), 0o600))
	script, err := faults.ReadScript(path)
	require.NoError(t, err)
	require.NoError(t, script.Play(t.Context(), 7, fleet.processes, fleet.links, fleet.log))
	awaitMostOfRate("all faults have ended")
	stopClients()
	for _, s := range w.ReceivedJobs() {
		fleet.log.AddAt(s.At, "w", "begun", 1, "")
	}
	events, lost := fleet.log.Events()
	require.Zero(t, lost)
	// A job may reach its worker up to a second after its admission, so one second of the rate is added to the burst. A share
	// that was spent twice during the partition would add four seconds.
	excess, at := faults.CheckRate(events, "begun", rate, rate*(burst+1)+members)
	assert.LessOrEqual(t, excess, 0.0, at)
	assert.Positive(t, fleet.links.TrafficFrom("a").Lost)
}

// Three schedulers share a limit of twelve jobs in flight. One is killed and restarted, one is paused and continued, and one is
// partitioned from the others for a time. The workers never have more jobs at once, and afterwards most of the limit is used.
func TestFleetOpen(t *testing.T) {
	const limit = 12
	var mu sync.Mutex
	running, peak := 0, 0
	w := startWorker(t, standin.WorkerConfig{Name: "w", Answer: func(r *http.Request, c net.Conn) {
		mu.Lock()
		running++
		peak = max(peak, running)
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		running-- // before the scheduler learns of the end
		mu.Unlock()
		standin.WriteAnswer(r, c)
	}})
	fleet := startSchedulerFleet(t, 3, " term = \"600ms\"\n use = \"3s\"\n", serviceBlock("shop", fmt.Sprintf("  limits { fleet_open = %d }\n", limit), w))
	for range 10 {
		fleet.startClients(t, time.Millisecond, fleet.addrs...)
	}
	awaitUse := func(why string) {
		mu.Lock()
		peak = 0
		mu.Unlock()
		require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return peak >= 2*limit/3 }, testTimeout, 10*time.Millisecond, why)
	}
	awaitUse("all schedulers run")
	script := &faults.Script{Troubles: []faults.Trouble{{Kind: "kill", Targets: []string{"b"}, To: 2 * time.Second},
		{Kind: "stall", Targets: []string{"c"}, From: 3 * time.Second, To: 6 * time.Second},
		{Kind: "split", Targets: []string{"a"}, From: 7 * time.Second, To: 13 * time.Second, Fault: faults.Fault{Blackhole: true}}}}
	highest := 0
	stop := make(chan struct{})
	watcherDone := make(chan struct{})
	go func() {
		defer close(watcherDone)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				mu.Lock()
				highest = max(highest, running)
				mu.Unlock()
			}
		}
	}()
	require.NoError(t, script.Play(t.Context(), 1, fleet.processes, fleet.links, fleet.log))
	awaitUse("all faults have ended")
	close(stop)
	<-watcherDone
	assert.LessOrEqual(t, highest, limit)
	text, _, _ := runProgram(t, nil, "fleet", filepath.Join(fleet.dir, "a"))
	assert.Contains(t, text, `budget="shop open" `)
}

// A worker fails every job immediately and therefore always looks idle. Three schedulers detect it. The fourth has had no jobs
// until then. It gets their evidence and sends the worker none of its own jobs.
func TestEvidenceIsShared(t *testing.T) {
	bad := startWorker(t, standin.WorkerConfig{Name: "bad", Answer: func(_ *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
	}})
	workers := []*standin.Worker{bad}
	for i := range 5 {
		workers = append(workers, startWorker(t, standin.WorkerConfig{Name: fmt.Sprint("good", i), Slots: 64}))
	}
	fleet := startSchedulerFleet(t, 4, "", serviceBlock("shop", "", workers...))
	stopClients := fleet.startClients(t, 5*time.Millisecond, fleet.addrs[:3]...)
	received := assert.Eventually(t, func() bool {
		text, _, _ := runProgram(t, nil, "fleet", filepath.Join(fleet.dir, "d"))
		return strings.Contains(text, "evidence against=shop/bad ")
	}, testTimeout, 20*time.Millisecond)
	if !received {
		for _, member := range fleet.processes {
			text, _, _ := runProgram(t, nil, "fleet", filepath.Join(fleet.dir, member.Name))
			t.Logf("member %s says:\n%s", member.Name, text)
		}
		t.FailNow()
	}
	fourth := &testScheduler{t: t, addr: fleet.addrs[3]}
	for n := range 40 {
		status, _, _ := fourth.askService("shop.example.org", "/api/1", fmt.Sprint("d-", n), "view", testTimeout)
		assert.Equal(t, 200, status)
	}
	assert.NotContains(t, strings.Join(bad.IDs(), " "), "d-")
	stopClients()
}

// An invalid fleet block, or a fleet limit without one, is rejected with the position in the file.
func TestFleetConfigErrors(t *testing.T) {
	for text, want := range map[string]string{
		"fleet \"x\" {\n members = 3\n keepers = [\"a\"]\n}":                                        "fleet \"x\" has no bind",
		"fleet \"x\" {\n bind = \"here:1\"\n members = 3\n keepers = [\"a\"]\n}":                    "names are not looked up",
		"fleet \"x\" {\n bind = \"127.0.0.1:1\"\n members = 3\n keepers = [\"a\", \"a\", \"b\"]\n}": "odd number of different names",
		"fleet \"x\" {\n bind = \"127.0.0.1:1\"\n members = 0\n keepers = [\"a\"]\n}":               "out of range; allowed is 1 to 1024",
		"service \"s\" {\n limits { fleet_open = 3 }\n}":                                            "fleet_open requires a fleet block",
		"service \"s\" {\n limits { fleet_rate = 3 }\n}":                                            "fleet_rate requires a fleet block",
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
