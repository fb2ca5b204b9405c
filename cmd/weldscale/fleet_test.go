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
	start(2)
	most("so is the third, which knows nothing")
	close(stop)
	clients.Wait()
	assert.LessOrEqual(t, float64(served.Load()), 1.02*rate*(time.Since(begun).Seconds()+burst)+members)
	assert.Greater(t, served.Load(), int64(rate))
}

// testFleet is schedulers of one fleet, each a process of its own, with a relay on each link between them.
type testFleet struct {
	all   []*faults.Process
	serve []string // where clients come
	dir   string
	links *faults.Links
	log   *faults.Log
}

// startMembers starts some whose names are a, b and so on; a, b and c are keepers.
func startMembers(t *testing.T, members int, terms, services string) *testFleet {
	f := &testFleet{dir: t.TempDir(), links: faults.NewLinks(7), log: faults.NewLog(1 << 16)}
	names, binds := map[string]string{}, []string{}
	for i := range members {
		binds = append(binds, freeAddr(t))
		names[binds[i]] = string(rune('a' + i))
	}
	hub, err := faults.StartHub(f.links, names)
	require.NoError(t, err)
	t.Cleanup(hub.Close)
	for i := range members {
		name, listen := names[binds[i]], freeAddr(t)
		text := fmt.Sprintf("scheduler {\n name = %q\n listen = %q\n}\ncontrol {\n socket = %q\n}\nfleet \"print\" {\n bind = %q\n via = %q\n"+
			" join = [%q, %q]\n members = %d\n keepers = [\"a\", \"b\", \"c\"]\n%s}\n", name, listen, filepath.Join(f.dir, name), binds[i], hub.Addr(),
			binds[0], binds[members-1], members, terms) + services
		file := filepath.Join(f.dir, name+".hcl")
		require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
		p := &faults.Process{Name: name, Path: os.Args[0], Dir: filepath.Join(f.dir, "of-"+name),
			Env: []string{"WELDSCALE_TEST=program", "GW_CONFIG=", "WELDSCALE_FILE=" + file}, Ready: func(context.Context) bool {
				resp, err := http.Get("http://" + listen + "/-/ready")
				if err == nil {
					resp.Body.Close()
				}
				return err == nil
			}}
		require.NoError(t, p.Start(f.log))
		t.Cleanup(p.Kill)
		f.all, f.serve = append(f.all, p), append(f.serve, listen)
	}
	up, cancel := context.WithTimeout(t.Context(), patience)
	defer cancel()
	for _, p := range f.all {
		require.NoError(t, p.AwaitReady(up))
	}
	return f
}

// load has a client at each of these addresses ask for jobs, one after the other, until the returned function is called.
func (f *testFleet) load(t *testing.T, pause time.Duration, serve ...string) (halt func()) {
	stop := make(chan struct{})
	var clients sync.WaitGroup
	halt = sync.OnceFunc(func() { close(stop); clients.Wait() })
	t.Cleanup(halt)
	for i, addr := range serve {
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
	return halt
}

// Five schedulers with one rate between them: a split with a majority of the keepers on the smaller side, one dead direction,
// datagrams lost, doubled and out of order, a stall for longer than any term, a keeper killed with its directory, all restarted
// one after the other. What workers saw never goes beyond the rate; when all is over the whole rate is in use again.
func TestFleetOverFaultyLinks(t *testing.T) {
	const rate, burst, members = 60, 0.5, 5
	w := startWorker(t, standin.WorkerConfig{Name: "w", Slots: 256, Queue: 256})
	f := startMembers(t, members, fmt.Sprintf(" term = \"600ms\"\n burst = %v\n", burst), block("shop", fmt.Sprintf("  limits { fleet_rate = %d }\n", rate), w))
	halt := f.load(t, 8*time.Millisecond, f.serve...)
	settled := func(why string) {
		from := time.Now()
		require.Eventually(t, func() bool {
			n := 0
			for _, s := range w.ReceivedJobs() {
				if s.At.After(time.Now().Add(-2 * time.Second)) {
					n++
				}
			}
			return time.Since(from) > 2*time.Second && float64(n) > 0.75*2*rate
		}, patience, 100*time.Millisecond, why)
	}
	settled("all are up")
	path := filepath.Join(f.dir, "script.hcl")
	require.NoError(t, os.WriteFile(path, []byte("trouble \"split\" {\n for = \"4s\"\n who = \"a b\"\n}\n"+
		"trouble \"silence\" {\n from = \"5s\"\n for = \"2s\"\n who = \"c\"\n toward = \"a\"\n way = \"out\"\n}\n"+
		"trouble \"lossy\" {\n from = \"5s\"\n for = \"4s\"\n part = 1\n loss = 0.2\n double = 0.2\n reorder = 0.2\n hold = \"300ms\"\n}\n"+
		"trouble \"stall\" {\n from = \"9s\"\n for = \"2s\"\n who = \"a\"\n}\n"+
		"trouble \"kill\" {\n from = \"12s\"\n for = \"1s\"\n who = \"b\"\n keep = \"no\"\n}\n"+
		"trouble \"rolling\" {\n from = \"14s\"\n for = \"1s\"\n part = 1\n every = \"100ms\"\n}\n"), 0o600))
	script, err := faults.ReadScript(path)
	require.NoError(t, err)
	require.NoError(t, script.Play(t.Context(), 7, f.all, f.links, f.log))
	settled("all is over")
	halt()
	for _, s := range w.ReceivedJobs() {
		f.log.AddAt(s.At, "w", "begun", 1, "")
	}
	events, lost := f.log.Events()
	require.Zero(t, lost)
	// A job may reach its worker up to a second after it was let begin; a part that was spent twice in the split would be four.
	over, at := faults.CheckRate(events, "begun", rate, rate*(burst+1)+members)
	assert.LessOrEqual(t, over, 0.0, at)
	assert.Positive(t, f.links.TrafficFrom("a").Lost)
}

// Three schedulers may have twelve jobs in hand between them. One is killed, one stands still and goes on, one is cut off: what
// workers have at a time is never more, and most of it is used again in the end.
func TestFleetOpen(t *testing.T) {
	const most = 12
	var mu sync.Mutex
	now, peak := 0, 0
	w := startWorker(t, standin.WorkerConfig{Name: "w", Answer: func(r *http.Request, c net.Conn) {
		mu.Lock()
		now++
		peak = max(peak, now)
		mu.Unlock()
		time.Sleep(100 * time.Millisecond)
		mu.Lock()
		now-- // before the scheduler can know
		mu.Unlock()
		standin.WriteAnswer(r, c)
	}})
	f := startMembers(t, 3, " term = \"600ms\"\n use = \"3s\"\n", block("shop", fmt.Sprintf("  limits { fleet_open = %d }\n", most), w))
	for range 10 {
		f.load(t, time.Millisecond, f.serve...)
	}
	used := func(why string) {
		mu.Lock()
		peak = 0
		mu.Unlock()
		require.Eventually(t, func() bool { mu.Lock(); defer mu.Unlock(); return peak >= 2*most/3 }, patience, 10*time.Millisecond, why)
	}
	used("all are up")
	script := &faults.Script{Troubles: []faults.Trouble{{Kind: "kill", Targets: []string{"b"}, To: 2 * time.Second},
		{Kind: "stall", Targets: []string{"c"}, From: 3 * time.Second, To: 6 * time.Second},
		{Kind: "split", Targets: []string{"a"}, From: 7 * time.Second, To: 13 * time.Second, Fault: faults.Fault{Blackhole: true}}}}
	worst := 0
	stop := make(chan struct{})
	watched := make(chan struct{})
	go func() {
		defer close(watched)
		for {
			select {
			case <-stop:
				return
			case <-time.After(time.Millisecond):
				mu.Lock()
				worst = max(worst, now)
				mu.Unlock()
			}
		}
	}()
	require.NoError(t, script.Play(t.Context(), 1, f.all, f.links, f.log))
	used("all is over")
	close(stop)
	<-watched
	assert.LessOrEqual(t, worst, most)
	text, _, _ := command(t, nil, "fleet", filepath.Join(f.dir, "a"))
	assert.Contains(t, text, `budget="shop open" `)
}

// A worker fails every job at once, and so always looks idle. Three schedulers find out; the fourth, which has no job until
// then, hears of it and sends it none of its own.
func TestEvidenceIsShared(t *testing.T) {
	bad := startWorker(t, standin.WorkerConfig{Name: "bad", Answer: func(_ *http.Request, c net.Conn) {
		_, _ = io.WriteString(c, "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n")
	}})
	all := []*standin.Worker{bad}
	for i := range 5 {
		all = append(all, startWorker(t, standin.WorkerConfig{Name: fmt.Sprint("good", i), Slots: 64}))
	}
	f := startMembers(t, 4, "", block("shop", "", all...))
	halt := f.load(t, 5*time.Millisecond, f.serve[:3]...)
	heard := assert.Eventually(t, func() bool {
		text, _, _ := command(t, nil, "fleet", filepath.Join(f.dir, "d"))
		return strings.Contains(text, "evidence against=shop/bad ")
	}, patience, 20*time.Millisecond)
	if !heard {
		for _, member := range f.all {
			text, _, _ := command(t, nil, "fleet", filepath.Join(f.dir, member.Name))
			t.Logf("member %s says:\n%s", member.Name, text)
		}
		t.FailNow()
	}
	from := &bench{t: t, addr: f.serve[3]}
	for n := range 40 {
		status, _, _ := from.to("shop.example.org", "/api/1", fmt.Sprint("d-", n), "view", patience)
		assert.Equal(t, 200, status)
	}
	assert.NotContains(t, strings.Join(bad.IDs(), " "), "d-")
	halt()
}

func TestFleetFaults(t *testing.T) {
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
